"""Consolidates small gangs so that whole workers become free.

Small gangs that end at different times leave every worker partly used. While
no waiting gang could use the fragments, the gangs of a little used worker are
checkpointed and restarted on the free parts of other workers.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.placement import allotments
    from banyantrack.placement import fleet as fleet_module

# Jobs with less expected run time left are not worth moving.
MIN_REMAINING_MS = 60_000
# Jobs that ran for less than this since their start or last checkpoint are
# not moved.
MIN_UNSAVED_MS = 60_000


class Movable(typing.Protocol):
    """Predicate that selects the jobs that may be moved."""

    def __call__(self, job: str, allotment: allotments.Allotment) -> bool:
        """Whether a job is running, can write a checkpoint and should move."""


def plan(
    workers: fleet_module.Fleet,
    gangs: collections.abc.Mapping[str, allotments.Allotment],
    movable: Movable,
) -> list[str]:
    """Returns the jobs to move so that one worker becomes free.

    Only workers that are at most half used are considered.

    Args:
        workers: Capacity and labels of the workers.
        gangs: Allotments of all placed gangs, by job name.
        movable: Selects the jobs that may be moved.

    Returns:
        Names of the jobs, sorted; empty if no worker can be emptied.
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
    """Whether all gangs of a worker fit on other partly used workers."""
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
    """Reserves capacity for a gang on the fullest worker where it fits.

    Args:
        workers: Capacity and labels of the workers.
        allotment: Allotment of the gang.
        capacity: Free accelerators, processors and memory in MB by worker
            number; reduced by the reservation.

    Returns:
        Whether the gang fits on any worker.
    """
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
