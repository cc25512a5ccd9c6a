"""Selects the runs to move out of evacuated zones.

Design load: a third of 6,100 workers with 45,000 runs is evacuated, while the
leader has to send a heartbeat every 120 ms. So a round moves a limited number
of runs, and looks at each worker about once for all tasks of a kind.
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
# Most runs that one round moves; rounds are at most 0.1 s apart.
MAX_PER_ROUND = 64
# All that decides which workers a task fits on.
_Kind = tuple[typing.Any, ...]


class _FreeCapacity:
    """Capacity outside of evacuated zones that moved runs may take.

    Args:
        fleet: Workers; those of evacuated zones are not usable.
    """

    def __init__(self, fleet: capacity.Fleet) -> None:
        self._fleet = fleet
        self._free: dict[str, capacity.Resources] = {}
        # Number of workers, in the order of the fleet, that have no capacity
        # for a kind of task.
        self._full: collections.Counter[_Kind] = collections.Counter()
        # Least number of tasks of a kind that did not fit together.
        self._too_many: dict[_Kind, int] = {}
        # Tasks on each worker, by group; only of steps with a limit.
        self._on_worker: dict[layout.GroupKey, collections.Counter[str]] = {}

    def reserve(self, runs: list[capacity.RunAllocation]) -> bool:
        """Reserves capacity for runs of one step, or none at all.

        Returns:
            Whether there is capacity for each run.
        """
        step = runs[0].step
        kind = _kind(runs[0])
        if len(runs) >= self._too_many.get(kind, len(runs) + 1):
            return False
        need = capacity.resources_of(step)
        on_worker = self._tasks_on_workers(runs[0])
        taken: list[str] = []
        for _ in runs:
            worker_id = self._find(runs[0], kind, need, on_worker)
            if worker_id is None:
                break
            self._free[worker_id].subtract(need)
            on_worker[worker_id] += 1
            taken.append(worker_id)
        if len(taken) == len(runs):
            return True
        for worker_id in taken:
            self._free[worker_id].add(need)
            on_worker[worker_id] -= 1
        if taken:
            self._full.clear()
        if not step.max_per_worker:
            self._too_many[kind] = len(runs)
        return False

    def _find(
        self,
        run: capacity.RunAllocation,
        kind: _Kind,
        need: capacity.Resources,
        on_worker: collections.Counter[str],
    ) -> str | None:
        """Returns the id of a worker with capacity for a task, or None."""
        label = run.step.required_label
        limit = run.step.max_per_worker
        workers = self._fleet.of_pool(run.record.queue.pool)
        for position in range(self._full[kind], len(workers)):
            worker = workers[position]
            worker_id = worker.record.worker_id
            if (
                worker.usable
                and (not label or label in worker.record.labels)
                and self._free.get(worker_id, worker.free).covers(need)
            ):
                if not limit or on_worker[worker_id] < limit:
                    self._free.setdefault(worker_id, worker.free.copy())
                    return worker_id
            elif position == self._full[kind]:
                self._full[kind] += 1
        return None

    def _tasks_on_workers(
        self, run: capacity.RunAllocation
    ) -> collections.Counter[str]:
        """Returns the tasks of a run's group by worker, if they matter."""
        if not run.step.max_per_worker:
            return collections.Counter()
        group = run.key.group
        if group not in self._on_worker:
            self._on_worker[group] = collections.Counter(
                task.worker_id
                for task in layout.group_tasks(
                    run.record, group.occurrence, group.step
                )
            )
        return self._on_worker[group]


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
    # Tasks that are being stopped or that this round moves, by group.
    leaving: collections.Counter[layout.GroupKey] = collections.Counter()
    stopped = {
        zone: [run for run in runs if _run_id(run) in stopping]
        for zone, runs in by_zone.items()
    }
    limits = {
        zone: max(int(MAX_SHARE * len(runs)), 1)
        for zone, runs in by_zone.items()
    }
    if all(len(stopped[zone]) >= limits[zone] for zone in by_zone):
        return []
    free = _FreeCapacity(fleet)
    for runs in stopped.values():
        for run in runs:
            leaving[run.key.group] += 1
            free.reserve([run])
    selected: dict[layout.RunId, capacity.RunAllocation] = {}
    for zone, runs in by_zone.items():
        limit = limits[zone]
        moving = len(stopped[zone])
        for run in sorted(runs, key=_move_order):
            if moving >= limit or len(selected) >= MAX_PER_ROUND:
                break
            if _run_id(run) in stopping or _run_id(run) in selected:
                continue
            members = [
                member
                for member in preemption.with_gang(run)
                if _run_id(member) not in stopping
            ]
            # A gang that is larger than the limit is moved on its own.
            if moving and moving + len(members) > limit:
                continue
            if not _may_leave(
                run, len(members), leaving, count_absent
            ) or not free.reserve(members):
                continue
            moving += len(members)
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


def _kind(run: capacity.RunAllocation) -> _Kind:
    """Returns the kind of a run's task."""
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
