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
MIN_REMAINING_MS = 60_000
# Work that has just started stays.
MIN_UNSAVED_MS = 60_000


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
    jobs_by_worker = _jobs_by_worker(gangs)
    free = workers.free_accelerators
    partial = sorted(
        (worker for worker in jobs_by_worker if 0 < free[worker]),
        key=lambda worker: workers.accelerators[worker] - free[worker],
    )
    for worker in partial:
        if free[worker] * 2 < workers.accelerators[worker]:
            break
        if _can_empty(
            workers, gangs, jobs_by_worker, worker, partial, movable
        ):
            return sorted(jobs_by_worker[worker])
    return []


def _jobs_by_worker(
    gangs: collections.abc.Mapping[str, allotments.Allotment],
) -> dict[int, list[str]]:
    jobs_by_worker: dict[int, list[str]] = {}
    for name, allotment in gangs.items():
        if allotment.gang.need.accelerators:
            for worker in set(allotment.workers):
                jobs_by_worker.setdefault(worker, []).append(name)
    return jobs_by_worker


def _can_empty(
    workers: fleet_module.Fleet,
    gangs: collections.abc.Mapping[str, allotments.Allotment],
    jobs_by_worker: dict[int, list[str]],
    worker: int,
    partial: list[int],
    movable: Movable,
) -> bool:
    """Whether all work of a worker may move into pieces of others."""
    capacity = {
        other: list(workers.free_resources(other))
        for other in partial
        if other != worker
    }
    for name in jobs_by_worker[worker]:
        allotment = gangs[name]
        if len(set(allotment.workers)) > 1 or not movable(name, allotment):
            return False
        if not _reserve(workers, allotment, capacity):
            return False
    return True


def _reserve(
    workers: fleet_module.Fleet,
    allotment: allotments.Allotment,
    capacity: dict[int, list[int]],
) -> bool:
    """Takes room for a gang on the fullest worker that has it."""
    gang = allotment.gang
    need = gang.need
    requested = (
        gang.accelerators,
        gang.members * need.processors,
        gang.members * need.memory_mb,
    )
    eligible = workers.eligible(gang.selector)
    fitting = [
        worker
        for worker, free in capacity.items()
        if eligible[worker]
        and all(f >= a for f, a in zip(free, requested, strict=True))
    ]
    if not fitting:
        return False
    best = min(fitting, key=lambda worker: capacity[worker][0])
    capacity[best] = [
        f - a for f, a in zip(capacity[best], requested, strict=True)
    ]
    return True
