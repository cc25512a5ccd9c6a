"""Estimates when capacity on busy workers will be free.

The planner compares this wait with the cost of starting elsewhere, such as
far from the data.
"""

from __future__ import annotations

import typing

from banyantrack.workload import capacity

if typing.TYPE_CHECKING:
    import collections.abc

# Least remaining time of a run without progress reports, as a share of its
# expected run time.
MIN_REMAINING_SHARE = 0.25


def remaining_ms(
    run: capacity.RunAllocation, expected_ms: float, now_ms: int
) -> float:
    """Returns the expected remaining time of a run, in milliseconds.

    Args:
        run: The run.
        expected_ms: Expected run time from start to end, in milliseconds.
        now_ms: Time of day, in milliseconds since 1970.

    Returns:
        Infinity for a long-running task.
    """
    if run.step.long_running:
        return float('inf')
    if run.remaining_ms is not None:
        return run.remaining_ms
    estimate_ms = expected_ms - (now_ms - run.task.started_ms)
    return max(estimate_ms, MIN_REMAINING_SHARE * expected_ms)


def time_to_fit_ms(
    workers: collections.abc.Iterable[capacity.WorkerCapacity],
    need: capacity.Resources,
    count: int,
    *,
    limit: int,
    run_remaining_ms: collections.abc.Callable[
        [capacity.RunAllocation], float
    ],
) -> float:
    """Returns the time until a number of tasks fit on workers.

    Args:
        workers: The workers.
        need: Resources of each task.
        count: Number of tasks.
        limit: Most tasks on one worker; 0 if there is no limit.
        run_remaining_ms: Returns the remaining time of a run, in
            milliseconds.

    Returns:
        Milliseconds from now; infinity if the tasks never fit.
    """
    times: list[float] = []
    for worker in workers:
        times += _fit_times(worker, need, limit or count, run_remaining_ms)
    if len(times) < count:
        return float('inf')
    times.sort()
    return times[count - 1]


def _fit_times(
    worker: capacity.WorkerCapacity,
    need: capacity.Resources,
    max_tasks: int,
    run_remaining_ms: collections.abc.Callable[
        [capacity.RunAllocation], float
    ],
) -> list[float]:
    """Returns when each further task fits on a worker.

    Returns:
        Milliseconds from now in ascending order, for at most `max_tasks`
        tasks.
    """
    available = worker.free.copy()
    times: list[float] = []

    def place_tasks(at_ms: float) -> None:
        while len(times) < max_tasks and available.covers(need):
            available.subtract(need)
            times.append(at_ms)

    place_tasks(0.0)
    ends = sorted(
        ((run_remaining_ms(run), run) for run in worker.runs),
        key=lambda end: end[0],
    )
    for at_ms, run in ends:
        available.add(capacity.resources_of(run.step))
        place_tasks(at_ms)
    return times
