"""Selects the runs to move out of evacuated zones.

Design load: a third of 6,100 workers with 45,000 runs is evacuated. A round
moves a tenth of a zone's runs at most, and does not search again for a kind
of task that has found no capacity in the round.
"""

from __future__ import annotations

import collections
import typing

from banyantrack.workload import capacity
from banyantrack.workload import layout
from banyantrack.workload import preemption

if typing.TYPE_CHECKING:
    import collections.abc

# Largest share of a zone's runs that is moved at once. A single run or gang
# is moved in any case, so that a zone with few runs empties as well.
MAX_SHARE = 0.1


class _FreeCapacity:
    """Capacity outside of evacuated zones that moved runs may take.

    Args:
        fleet: Workers; those of evacuated zones are not usable.
    """

    def __init__(self, fleet: capacity.Fleet) -> None:
        self._fleet = fleet
        self._free: dict[str, capacity.Resources] = {}
        # Kinds of tasks for which no worker has been found.
        self._exhausted: set[tuple[typing.Any, ...]] = set()

    def reserve(self, runs: list[capacity.RunAllocation]) -> bool:
        """Reserves capacity for runs of one step, or none at all.

        Returns:
            Whether there is capacity for each run.
        """
        taken: list[tuple[capacity.Resources, capacity.Resources]] = []
        on_worker: collections.Counter[str] = collections.Counter()
        for run in runs:
            free = self._find(run, on_worker)
            if free is None:
                if not taken and not run.step.max_per_worker:
                    self._exhausted.add(_kind(run))
                for resources, need in taken:
                    resources.add(need)
                return False
            need = capacity.resources_of(run.step)
            free.subtract(need)
            taken.append((free, need))
        return True

    def _find(
        self,
        run: capacity.RunAllocation,
        on_worker: collections.Counter[str],
    ) -> capacity.Resources | None:
        if _kind(run) in self._exhausted:
            return None
        need = capacity.resources_of(run.step)
        label = run.step.required_label
        limit = run.step.max_per_worker
        for worker in self._fleet.of_pool(run.record.queue.pool):
            worker_id = worker.record.worker_id
            if not worker.usable or (
                label and label not in worker.record.labels
            ):
                continue
            free = self._free.get(worker_id, worker.free)
            if not free.covers(need) or (
                limit and on_worker[worker_id] >= limit
            ):
                continue
            on_worker[worker_id] += 1
            return self._free.setdefault(worker_id, free.copy())
        return None


def select_moves(
    fleet: capacity.Fleet,
    zones: collections.abc.Container[str],
    *,
    stopping: collections.abc.Container[layout.RunId],
    count_absent: collections.abc.Callable[[layout.GroupKey], int],
) -> list[capacity.RunAllocation]:
    """Returns runs to stop now so that they start again in other zones.

    Runs that save their progress come first, then those that have run for the
    shortest time. Capacity is reserved for runs that are being stopped as
    well, since they have not been placed again yet. All members of a gang are
    moved together, also those in other zones.

    Args:
        fleet: Workers and their runs; workers of evacuated zones are not
            usable.
        zones: Evacuated zones whose runs are to be moved.
        stopping: Runs that are being stopped.
        count_absent: Returns the number of tasks of a group that are not
            running.
    """
    by_zone: dict[str, list[capacity.RunAllocation]] = {}
    for worker in fleet:
        if worker.record.zone in zones:
            by_zone.setdefault(worker.record.zone, []).extend(worker.runs)
    if not by_zone:
        return []
    free = _FreeCapacity(fleet)
    # Tasks that are being stopped or that this round moves, by group.
    leaving: collections.Counter[layout.GroupKey] = collections.Counter()
    moving: collections.Counter[str] = collections.Counter()
    for zone, runs in by_zone.items():
        for run in runs:
            if _run_id(run) in stopping:
                moving[zone] += 1
                leaving[run.key.group] += 1
                free.reserve([run])
    selected: dict[layout.RunId, capacity.RunAllocation] = {}
    for zone, runs in by_zone.items():
        limit = max(int(MAX_SHARE * len(runs)), 1)
        for run in sorted(runs, key=_move_order):
            if moving[zone] >= limit:
                break
            if _run_id(run) in stopping or _run_id(run) in selected:
                continue
            members = [
                member
                for member in preemption.with_gang(run)
                if _run_id(member) not in stopping
            ]
            # A gang that is larger than the limit is moved on its own.
            if moving[zone] and moving[zone] + len(members) > limit:
                continue
            if not _may_leave(
                run, len(members), leaving, count_absent
            ) or not free.reserve(members):
                continue
            moving[zone] += len(members)
            leaving[run.key.group] += len(members)
            selected.update((_run_id(member), member) for member in members)
    return list(selected.values())


def _may_leave(
    run: capacity.RunAllocation,
    members: int,
    leaving: collections.abc.Mapping[layout.GroupKey, int],
    count_absent: collections.abc.Callable[[layout.GroupKey], int],
) -> bool:
    """Whether tasks may be stopped within the allowed absences of their step.

    Args:
        run: One of the runs.
        members: Number of runs that are stopped together.
        leaving: Number of tasks that are being stopped, by group. Some may
            count as absent too, so that the sum is never too small.
        count_absent: Returns the number of tasks of a group that are not
            running.
    """
    if not run.step.long_running or run.step.may_miss <= 0:
        return True
    group = run.key.group
    absent = count_absent(group) + leaving[group]
    return absent + members <= run.step.may_miss


def _kind(run: capacity.RunAllocation) -> tuple[typing.Any, ...]:
    """Returns all that decides which workers a run fits on."""
    step = run.step
    return (
        run.record.queue.pool,
        step.required_label,
        step.accelerators,
        step.cpu_milli,
        step.memory_mb,
        step.fills,
    )


def _run_id(run: capacity.RunAllocation) -> layout.RunId:
    return layout.RunId(run.key, run.task.run)


def _move_order(run: capacity.RunAllocation) -> tuple[bool, int]:
    return (not run.step.checkpointable, -run.task.started_ms)
