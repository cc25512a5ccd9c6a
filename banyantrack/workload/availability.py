"""When there will be room, from how far the runs on workers are.

Answers full workers: what will be free soon is worth waiting for, where
running far from the data or stopping other work would cost more.
"""

from __future__ import annotations

import typing

from banyantrack.workload import room as room_module

if typing.TYPE_CHECKING:
    import collections.abc

# Share of its expected run time that a run without known progress still
# takes, at the least.
LEAST_SHARE = 0.25


def remaining_ms(
    run: room_module.LiveRun, expected_ms: float, now_ms: int
) -> float:
    """Returns how much longer a run is expected to take.

    Args:
        run: The run.
        expected_ms: How long such a run is expected to take in all.
        now_ms: Time of day.
    """
    if run.step.long_running:
        return float('inf')
    if run.remaining_ms is not None:
        return run.remaining_ms
    left_ms = expected_ms - (now_ms - run.task.started_ms)
    return max(left_ms, LEAST_SHARE * expected_ms)


def ready_in_ms(
    rooms: collections.abc.Iterable[room_module.WorkerRoom],
    need: room_module.Amount,
    count: int,
    *,
    limit: int,
    left_ms: collections.abc.Callable[[room_module.LiveRun], float],
) -> float:
    """Returns when tasks will fit on workers together.

    Args:
        rooms: The workers.
        need: What each task takes.
        count: Number of tasks.
        limit: Most of them on one worker; 0 if there is no limit.
        left_ms: Returns how much longer a run will take.

    Returns:
        Milliseconds from now; infinite if they never fit.
    """
    times: list[float] = []
    for room in rooms:
        times += _fit_times(room, need, limit or count, left_ms)
    if len(times) < count:
        return float('inf')
    times.sort()
    return times[count - 1]


def _fit_times(
    room: room_module.WorkerRoom,
    need: room_module.Amount,
    most: int,
    left_ms: collections.abc.Callable[[room_module.LiveRun], float],
) -> list[float]:
    """Returns when the first, second and further task fits on a worker."""
    left = room.free.copy()
    times: list[float] = []

    def fill(at_ms: float) -> None:
        while len(times) < most and left.fits(need):
            left.take(need)
            times.append(at_ms)

    fill(0.0)
    ends = sorted(
        ((left_ms(run), run) for run in room.runs), key=lambda end: end[0]
    )
    for at_ms, run in ends:
        left.add(room_module.need_of(run.step))
        fill(at_ms)
    return times
