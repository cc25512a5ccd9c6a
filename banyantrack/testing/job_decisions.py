"""Decisions that the job model compares: those of the product and others.

Load: jobs of three priorities whose demand exceeds the capacity of their pool
for seconds. First fit and earliest deadline first stop nothing; they show
what preemption is worth.
"""

from __future__ import annotations

import collections
import typing

from banyantrack.core import registry
from banyantrack.generated.workload import ttypes
from banyantrack.workload import capacity
from banyantrack.workload import layout
from banyantrack.workload import planner as planner_module
from banyantrack.workload import units as units_module
from banyantrack.workload import values as values_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import state as state_module

# Planners by the name of their decision.
DECISIONS: registry.Registry[typing.Any] = registry.Registry('decision')

DECISIONS.register('least-loss')(planner_module.Planner)


class _ListPlanner:
    """Starts units in a fixed order on the first workers that fit.

    A gang that belongs in one rack waits for the first rack that holds it.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        durations: units_module.Durations,
        *,
        remote_factor: float,
        stop_ms: int,
    ) -> None:
        del remote_factor, stop_ms
        self._state = state
        self._durations = durations
        self._values = values_module.JobValues()

    def plan(
        self,
        fleet: capacity.Fleet,
        *,
        now_ms: int,
        blocked: collections.abc.Mapping[layout.GroupKey, float],
        stopping: collections.abc.Container[layout.RunId],
        approvals: object,
    ) -> planner_module.Plan:
        """Runs one round; arguments as for `planner.Planner.plan`."""
        del stopping, approvals
        plan = planner_module.Plan()
        units = units_module.ready_units(
            self._state,
            self._durations,
            self._values,
            now_ms=now_ms,
            blocked=blocked,
        )
        for unit in sorted(units, key=self._sort_key):
            for index, worker in zip(
                unit.members, _first_fit(fleet, unit), strict=False
            ):
                plan.starts.append(_start(unit, index, worker))
        return plan

    def _sort_key(self, unit: units_module.Unit) -> float:
        raise NotImplementedError


@DECISIONS.register('first-fit')
class FirstFitPlanner(_ListPlanner):
    """Starts units in the order in which they were accepted."""

    def _sort_key(self, unit: units_module.Unit) -> float:
        return unit.release_ms


@DECISIONS.register('earliest-deadline')
class EarliestDeadlinePlanner(_ListPlanner):
    """Starts units by their latest start, whatever their priority."""

    def _sort_key(self, unit: units_module.Unit) -> float:
        return unit.latest_start_ms


def _first_fit(
    fleet: capacity.Fleet, unit: units_module.Unit
) -> list[capacity.WorkerCapacity]:
    """Returns reserved workers for members; none for an incomplete gang."""
    need = capacity.resources_of(unit.step)
    workers = fleet.of_pool(unit.record.queue.pool)
    sets = [workers]
    if unit.step.gang and unit.step.same_rack:
        racks: dict[str, list[capacity.WorkerCapacity]] = (
            collections.defaultdict(list)
        )
        for worker in workers:
            racks[worker.rack].append(worker)
        sets = list(racks.values())
    for candidates in sets:
        chosen: list[capacity.WorkerCapacity] = []
        for worker in candidates:
            free = worker.free.copy()
            while len(chosen) < len(unit.members) and free.covers(need):
                free.subtract(need)
                chosen.append(worker)
        if len(chosen) == len(unit.members) or (chosen and not unit.step.gang):
            for worker in chosen:
                worker.reserve(need)
            return chosen
    return []


def _start(
    unit: units_module.Unit, index: int, worker: capacity.WorkerCapacity
) -> ttypes.RunStart:
    members = unit.tasks if unit.step.gang else [unit.tasks[index]]
    checkpoint = max(task.checkpoint for task in members)
    return ttypes.RunStart(
        task=layout.task_key(layout.TaskId(*unit.key, index)),
        run=max(task.run for task in members) + 1,
        worker_id=worker.record.worker_id,
        incarnation=worker.record.incarnation,
        checkpoint=checkpoint if unit.step.checkpointable else '',
    )
