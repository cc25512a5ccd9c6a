"""Moves small work together, so that whole workers become free.

Small gangs that end at different times leave every worker partly used.
While nothing waits that could fill the pieces, the work of the least used
worker is checkpointed and started again in the free pieces of others.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.placement import allotments
    from banyantrack.placement import fleet as fleet_module

# Work that has less left than this is not worth moving.
SHORTEST_LEFT_MS = 60_000
# Work that has just started stays.
SHORTEST_RUN_MS = 60_000


class Movable(typing.Protocol):
    """Tells of a job whether it may move."""

    def __call__(self, job: str, allotment: allotments.Allotment) -> bool:
        """Whether a job is running, checkpointable and worth moving."""


def plan(
    workers: fleet_module.Fleet,
    gangs: collections.abc.Mapping[str, allotments.Allotment],
    movable: Movable,
) -> list[str]:
    """Returns jobs to move so that one worker becomes free.

    Args:
        workers: The workers.
        gangs: All placed gangs.
        movable: Whether a job may move.

    Returns:
        Names of the jobs; empty if no worker can be emptied.
    """
    here = _jobs_by_worker(gangs)
    free = workers.free_accelerators
    partial = sorted(
        (worker for worker in here if 0 < free[worker]),
        key=lambda worker: workers.accelerators[worker] - free[worker],
    )
    for worker in partial:
        if free[worker] * 2 < workers.accelerators[worker]:
            break
        if _can_empty(workers, gangs, here, worker, partial, movable):
            return sorted(here[worker])
    return []


def _jobs_by_worker(
    gangs: collections.abc.Mapping[str, allotments.Allotment],
) -> dict[int, list[str]]:
    here: dict[int, list[str]] = {}
    for name, allotment in gangs.items():
        if allotment.gang.need.accelerators:
            for worker in set(allotment.workers):
                here.setdefault(worker, []).append(name)
    return here


def _can_empty(
    workers: fleet_module.Fleet,
    gangs: collections.abc.Mapping[str, allotments.Allotment],
    here: dict[int, list[str]],
    worker: int,
    partial: list[int],
    movable: Movable,
) -> bool:
    """Whether all work of a worker may move into pieces of others."""
    room = {
        other: list(workers.free_of(other))
        for other in partial
        if other != worker
    }
    for name in here[worker]:
        allotment = gangs[name]
        if len(set(allotment.workers)) > 1 or not movable(name, allotment):
            return False
        if not _move(workers, allotment, room):
            return False
    return True


def _move(
    workers: fleet_module.Fleet,
    allotment: allotments.Allotment,
    room: dict[int, list[int]],
) -> bool:
    """Takes room for a gang on the fullest worker that has it."""
    gang = allotment.gang
    need = gang.need
    asked = (
        gang.accelerators,
        gang.members * need.processors,
        gang.members * need.memory_mb,
    )
    eligible = workers.eligible(gang.selector)
    fitting = [
        worker
        for worker, free in room.items()
        if eligible[worker]
        and all(f >= a for f, a in zip(free, asked, strict=True))
    ]
    if not fitting:
        return False
    best = min(fitting, key=lambda worker: room[worker][0])
    room[best] = [f - a for f, a in zip(room[best], asked, strict=True)]
    return True
