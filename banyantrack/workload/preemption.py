"""Selects runs to preempt so that urgent tasks can start.

When a burst of urgent jobs meets workers that are full of less urgent work,
the runs that lose the least work are stopped, and their capacity is reserved
until the urgent tasks start.
"""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.workload import capacity
from banyantrack.workload import layout
from banyantrack.workload import values

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import units as units_module

# Processors that one accelerator counts as when lost work is valued.
PROCESSORS_PER_ACCELERATOR = 8
# Most work of a checkpointable run that its last checkpoint does not hold.
MAX_UNSAVED_MS = 1000
# Time to stop a run and start it again, on top of the lost work.
RESTART_COST_MS = 300


@dataclasses.dataclass(slots=True)
class Stop:
    """A run to stop, with the reason for the log."""

    key: layout.TaskId
    run: int
    worker_id: str
    reason: str


@dataclasses.dataclass(slots=True)
class PreemptionPlan:
    """Runs to stop or wait for, and the capacity that this frees.

    Attributes:
        members: Number of tasks that will fit.
        loss: Value of the lost work, in the unit of `values`.
        stops: Runs to stop.
        workers: The worker of each task.
        freed: Worker and resources that the end of each run frees.
        awaited: Runs on these workers that are expected to end by themselves
            within the allowed wait.
    """

    members: int = 0
    loss: float = 0.0
    stops: list[Stop] = dataclasses.field(default_factory=list)
    workers: list[capacity.WorkerCapacity] = dataclasses.field(
        default_factory=list
    )
    freed: list[tuple[capacity.WorkerCapacity, capacity.Resources]] = (
        dataclasses.field(default_factory=list)
    )
    awaited: set[layout.RunId] = dataclasses.field(default_factory=set)

    def reserve_for_tasks(self, need: capacity.Resources) -> None:
        """Reserves the capacity for the tasks for the rest of the round."""
        for worker, amount in self.freed:
            worker.free_after_stops.add(amount)
        for worker in self.workers:
            worker.reserve(need)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A unit that does not fit, and where capacity may be freed for it.

    Attributes:
        unit: The unit.
        count: Number of its tasks that do not fit.
        scopes: Scopes to search in turn, from preferred to all workers. Each
            is a list of sets of workers; all tasks of a gang go to one set.
        now_ms: Time of day, in milliseconds since 1970.
        wait_ms: Longest wait for runs that end by themselves.
        stopping: Runs that are being stopped.
        reserved: Runs whose capacity this round has reserved already.
    """

    unit: units_module.Unit
    count: int
    scopes: list[list[list[capacity.WorkerCapacity]]]
    now_ms: int
    wait_ms: float
    stopping: collections.abc.Container[layout.RunId]
    reserved: collections.abc.Container[layout.RunId]


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether runs are stopped for a unit, with the inputs that decided.

    Attributes:
        job_id: The job of the unit.
        guaranteed: Whether its customer's guarantee covers the job.
        adopted: Whether the stops are carried out.
        gain: Value of starting after the stops instead of waiting.
        loss: Value that the stops cost.
        stops: Number of runs to stop.
        waited_ms: Time for which the job has waited.
    """

    job_id: str
    guaranteed: bool
    adopted: bool
    gain: float
    loss: float
    stops: int
    waited_ms: float


def choose(
    request: Request,
) -> tuple[PreemptionPlan | None, Decision | None]:
    """Decides which runs are stopped or awaited for a unit.

    Takes the plan with the least loss of the first scope that has room, if
    that loss is at most the gain: what the unit loses if it misses its latest
    start.

    Returns:
        The plan; None to leave the unit. And the decision for the log, if
        stops were weighed.
    """
    unit = request.unit
    for scope in request.scopes:
        options = [
            plan_preemption(
                unit,
                workers,
                request.count,
                now_ms=request.now_ms,
                wait_ms=request.wait_ms,
                stopping=request.stopping,
                reserved=request.reserved,
            )
            for workers in scope
        ]
        complete = [
            option for option in options if option.members == request.count
        ]
        if not complete and unit.step.gang:
            continue
        best = min(complete or options, key=lambda option: option.loss)
        if not best.stops:
            return best, None
        gain = unit.value - unit.value_if_late
        # Capacity that is being freed without further stops is used also
        # once the job is late.
        adopted = best.loss <= gain or unit.guaranteed
        decision = Decision(
            job_id=unit.key.job_id,
            guaranteed=unit.guaranteed,
            adopted=adopted,
            gain=gain,
            loss=best.loss,
            stops=len(best.stops),
            waited_ms=request.now_ms - unit.release_ms,
        )
        return (best if adopted else None), decision
    return None, None


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """Runs to stop so that one task fits on a worker.

    Attributes:
        loss: Value of the lost work.
        victims: Runs to stop; empty if the task fits already.
    """

    loss: float
    victims: list[capacity.RunAllocation]


def plan_preemption(
    unit: units_module.Unit,
    candidates: collections.abc.Sequence[capacity.WorkerCapacity],
    count: int,
    *,
    now_ms: int,
    wait_ms: float,
    stopping: collections.abc.Container[layout.RunId],
    reserved: collections.abc.Container[layout.RunId],
) -> PreemptionPlan:
    """Selects runs to stop so that tasks fit on some workers.

    Greedy: picks for one task after another the worker with the least loss.

    Args:
        unit: The unit that the tasks belong to.
        candidates: Workers that may run the tasks.
        count: Number of tasks.
        now_ms: Time of day, in milliseconds since 1970.
        wait_ms: Longest wait for runs that end by themselves.
        stopping: Runs that are being stopped.
        reserved: Runs whose capacity this round has reserved already.

    Returns:
        A plan for at most `count` tasks; fewer if no more runs may be
        stopped.
    """
    plan = PreemptionPlan()
    need = capacity.resources_of(unit.step)
    available = {
        id(worker): worker.free_after_stops.copy() for worker in candidates
    }
    by_worker_id = {worker.record.worker_id: worker for worker in candidates}
    counted: set[layout.RunId] = set()
    awaited = ending_runs(candidates, wait_ms, stopping, reserved)
    for worker, runs in awaited.items():
        for run in runs:
            available[id(worker)].add(capacity.resources_of(run.step))
            counted.add(layout.RunId(run.key, run.task.run))
    limit = unit.step.max_per_worker
    options: dict[capacity.WorkerCapacity, _Option] = {}
    stale = set(candidates)
    while plan.members < count:
        for worker in stale:
            options.pop(worker, None)
            if limit and plan.workers.count(worker) >= limit:
                continue
            victims = _select_victims(
                worker,
                unit,
                available[id(worker)],
                need,
                now_ms,
                lambda run_id: (
                    run_id in reserved
                    or run_id in stopping
                    or run_id in counted
                ),
            )
            if victims is not None:
                # Ties go to the worker with the fewest free accelerators.
                loss = _preemption_loss(victims, now_ms)
                loss += 1e-6 * available[id(worker)].accelerators
                options[worker] = _Option(loss, victims)
        if not options:
            break
        worker = min(
            options, key=lambda w: (options[w].loss, w.record.worker_id)
        )
        stale = {worker}
        plan.loss += options[worker].loss
        for run in options[worker].victims:
            for member in with_gang(run):
                run_id = layout.RunId(member.key, member.task.run)
                if run_id in counted:
                    continue
                counted.add(run_id)
                plan.stops.append(
                    Stop(
                        member.key,
                        member.task.run,
                        member.task.worker_id,
                        f'room for {unit.record.job.job_id}',
                    )
                )
                member_worker = by_worker_id.get(member.task.worker_id)
                if member_worker is not None:
                    stale.add(member_worker)
                    amount = capacity.resources_of(member.step)
                    available[id(member_worker)].add(amount)
                    plan.freed.append((member_worker, amount))
        available[id(worker)].subtract(need)
        plan.workers.append(worker)
        plan.members += 1
    for worker in set(plan.workers):
        for run in awaited.get(worker, ()):
            plan.awaited.add(layout.RunId(run.key, run.task.run))
            plan.freed.append((worker, capacity.resources_of(run.step)))
    return plan


def ending_runs(
    candidates: collections.abc.Sequence[capacity.WorkerCapacity],
    wait_ms: float,
    stopping: collections.abc.Container[layout.RunId],
    reserved: collections.abc.Container[layout.RunId],
) -> dict[capacity.WorkerCapacity, list[capacity.RunAllocation]]:
    """Returns the runs expected to end within `wait_ms`, by worker."""
    found: dict[capacity.WorkerCapacity, list[capacity.RunAllocation]] = {}
    for worker in candidates:
        for run in worker.runs:
            run_id = layout.RunId(run.key, run.task.run)
            if (
                run.remaining_ms is not None
                and run.remaining_ms <= wait_ms
                and run_id not in stopping
                and run_id not in reserved
            ):
                found.setdefault(worker, []).append(run)
    return found


def _select_victims(
    worker: capacity.WorkerCapacity,
    unit: units_module.Unit,
    available: capacity.Resources,
    need: capacity.Resources,
    now_ms: int,
    is_ending: collections.abc.Callable[[layout.RunId], bool],
) -> list[capacity.RunAllocation] | None:
    """Returns the runs to stop so that one task fits on a worker.

    Returns:
        The runs; empty if the task fits already, None if it cannot fit.
    """
    if available.covers(need):
        return []
    free = available.copy()
    victims: list[capacity.RunAllocation] = []
    for run in sorted(
        worker.runs, key=lambda r: _loss_per_accelerator(r, now_ms)
    ):
        if is_ending(layout.RunId(run.key, run.task.run)):
            continue
        if not may_preempt(run, unit):
            continue
        victims.append(run)
        free.add(capacity.resources_of(run.step))
        if free.covers(need):
            return _minimal_victims(victims, available, need)
    return None


def _minimal_victims(
    victims: list[capacity.RunAllocation],
    available: capacity.Resources,
    need: capacity.Resources,
) -> list[capacity.RunAllocation]:
    """Drops victims that the task does not need."""
    kept = list(victims)
    # Victims are in ascending order of loss, so the costliest is checked
    # first.
    for run in reversed(victims):
        others = [other for other in kept if other is not run]
        free = available.copy()
        for other in others:
            free.add(capacity.resources_of(other.step))
        if free.covers(need):
            kept = others
    return kept


def may_preempt(run: capacity.RunAllocation, unit: units_module.Unit) -> bool:
    """Whether a run may be stopped for a unit.

    Runs of a lower priority may be, except that only a guaranteed unit may
    preempt a long-running task. A guaranteed unit may also preempt other
    runs that are not guaranteed. Tasks with allowed absences are never
    preempted.
    """
    if run.step.may_miss:
        return False
    if run.record.queue.priority > unit.priority:
        return unit.guaranteed or not run.step.long_running
    return unit.guaranteed and not run.guaranteed


def with_gang(run: capacity.RunAllocation) -> list[capacity.RunAllocation]:
    """Returns the run and, if it is in a gang, all other live members."""
    if not run.step.gang:
        return [run]
    group = run.key.group
    tasks = layout.group_tasks(run.record, group.occurrence, group.step)
    return [
        capacity.RunAllocation(
            layout.TaskId(*group, index),
            run.record,
            run.step,
            task,
            run.guaranteed,
        )
        for index, task in enumerate(tasks)
        if task.worker_id
    ]


def _loss_per_accelerator(run: capacity.RunAllocation, now_ms: int) -> float:
    """Returns the value lost with a run, for each of its accelerators."""
    return _preemption_loss([run], now_ms) / max(run.step.accelerators, 1)


def _preemption_loss(
    victims: list[capacity.RunAllocation], now_ms: int
) -> float:
    """Returns the value of the work that is lost if runs are stopped.

    Stopping one member of a gang loses the work of all its members; a gang
    with several victims counts once.
    """
    lost_processor_s = 0.0
    gangs: set[layout.GroupKey] = set()
    for run in victims:
        members = 1
        if run.step.gang:
            if run.key.group in gangs:
                continue
            gangs.add(run.key.group)
            members = run.step.count
        ran_ms = max(now_ms - run.task.started_ms, 0)
        if run.step.checkpointable:
            ran_ms = min(ran_ms, MAX_UNSAVED_MS)
        processors = (
            PROCESSORS_PER_ACCELERATOR * run.step.accelerators
            + run.step.cpu_milli / 1000
        )
        lost_processor_s += (
            members * processors * (ran_ms + RESTART_COST_MS) / 1000
        )
    return lost_processor_s * values.LOSS_PER_PROCESSOR_S
