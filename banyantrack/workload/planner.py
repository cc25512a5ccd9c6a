"""Decides in each round which runs start on which workers.

Also decides which runs are preempted to free capacity for urgent tasks.
A round is computed from the whole state and keeps nothing for the next one:
capacity that is being freed for a unit is reserved again in each round until
the unit starts.
"""

from __future__ import annotations

import collections
import copy
import dataclasses
import enum
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.workload import advice
from banyantrack.workload import availability
from banyantrack.workload import capacity
from banyantrack.workload import headroom
from banyantrack.workload import isolation as isolation_module
from banyantrack.workload import layout
from banyantrack.workload import preemption
from banyantrack.workload import speed_placement
from banyantrack.workload import units as units_module
from banyantrack.workload import values as values_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import state as state_module

# Longest wait of a guaranteed job for a preferred placement. Guaranteed jobs
# must begin within about three seconds, even if they run far from their data.
GUARANTEED_LOCALITY_WAIT_MS = 1500
# Longest wait of any job for a preferred placement while most of its pool is
# free.
IDLE_POOL_LOCALITY_WAIT_MS = 2000
# Time that urgent tasks wait for runs to end by themselves before others are
# preempted. It is short because declared run times are too inaccurate to wait
# until the objective.
PREEMPTION_DELAY_MS = 250
# Usual time that a worker takes to stop a run, as a share of the longest.
USUAL_STOP_SHARE = 0.7


class Cause(enum.Enum):
    """Why tasks are pending."""

    ADVICE = 'advice'
    CHECKS = 'checks'
    NO_WORKER = 'no-worker'
    NO_CAPACITY = 'room'
    CAPACITY_BEING_FREED = 'room-being-freed'
    NOTHING_TO_STOP = 'nothing-to-stop'
    # It may crash its worker, on which other runs have just started.
    ISOLATION = 'isolation'


class Rejection(enum.Enum):
    """Why no task of a unit may start on a worker."""

    UNUSABLE = 'not usable'
    KEPT_FREE = 'kept free for urgent jobs'
    ISOLATED = 'isolated'
    LABEL = 'lacks the required label'


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Why a group of tasks is pending.

    Attributes:
        cause: The cause.
        members: Number of tasks that were ready in this round.
        step: The step of the tasks.
        workers: Number of workers that may run the tasks.
        guaranteed: Whether its customer's guarantee covers the job.
    """

    cause: Cause
    members: int
    step: ttypes.Step
    workers: int
    guaranteed: bool


@dataclasses.dataclass(slots=True)
class Plan:
    """Outcome of one round.

    Attributes:
        starts: Runs to start.
        stops: Runs to preempt.
        awaited: Runs that are expected to end soon by themselves and whose
            capacity is reserved for urgent tasks.
        waiting: Why tasks are pending, by group.
        advice_wanted: Ids of the workers to ask the policy service about,
            by group.
        checks: Ids of the workers that must answer a check before tasks
            start there.
        units: All units of the round, in scheduling order.
        kept_free: Workers that are kept free for urgent units, by pool.
        isolation: Workers that are closed to other jobs.
        decisions: Decisions to stop or not to stop runs for a group.
    """

    starts: list[ttypes.RunStart] = dataclasses.field(default_factory=list)
    stops: list[preemption.Stop] = dataclasses.field(default_factory=list)
    awaited: set[layout.RunId] = dataclasses.field(default_factory=set)
    waiting: dict[layout.GroupKey, Waiting] = dataclasses.field(
        default_factory=dict
    )
    advice_wanted: dict[layout.GroupKey, list[str]] = dataclasses.field(
        default_factory=dict
    )
    checks: set[str] = dataclasses.field(default_factory=set)
    units: list[units_module.Unit] = dataclasses.field(default_factory=list)
    kept_free: dict[str, set[capacity.WorkerCapacity]] = dataclasses.field(
        default_factory=dict
    )
    isolation: isolation_module.Isolation | None = None
    decisions: dict[layout.GroupKey, preemption.Decision] = dataclasses.field(
        default_factory=dict
    )

    def rejection(
        self, worker: capacity.WorkerCapacity, unit: units_module.Unit
    ) -> Rejection | None:
        """Returns why a unit may not start on a worker; None if it may."""
        pool = unit.record.queue.pool
        return _rejection(
            worker,
            unit,
            self.kept_free.get(pool, set()) if unit.priority > 0 else set(),
            self.isolation,
        )


class Planner:
    """Plans rounds.

    Args:
        state: The replicated state.
        durations: Expected run times.
        remote_factor: Run time away from the preferred workers (the rack of
            the data, or one rack for a gang) over the run time on them.
        stop_ms: Longest time that a worker takes to stop a run, in
            milliseconds.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        durations: units_module.Durations,
        *,
        remote_factor: float,
        stop_ms: int,
    ) -> None:
        self._state = state
        self._durations = durations
        self._values = values_module.JobValues()
        self._remote_factor = remote_factor
        self._usual_stop_ms = USUAL_STOP_SHARE * stop_ms
        self._usual_preemption_ms = PREEMPTION_DELAY_MS + self._usual_stop_ms

    def copy_for(
        self, state: state_module.WorkState, durations: units_module.Durations
    ) -> Planner:
        """Returns a planner for a hypothetical state.

        Its rounds change nothing of this planner.
        """
        planner = copy.copy(self)
        planner._state = state
        planner._durations = durations
        planner._values = copy.deepcopy(self._values)
        return planner

    def plan(
        self,
        fleet: capacity.Fleet,
        *,
        now_ms: int,
        blocked: collections.abc.Mapping[layout.GroupKey, float],
        stopping: collections.abc.Container[layout.RunId],
        approvals: collections.abc.Mapping[layout.GroupKey, advice.Approvals],
    ) -> Plan:
        """Runs one round.

        Args:
            fleet: Workers and their capacity; the round reserves capacity in
                it.
            now_ms: Time of day, in milliseconds since 1970.
            blocked: Groups that must not start yet, with the time in
                milliseconds since 1970 from which they may.
            stopping: Runs that are being stopped.
            approvals: Answers of the policy service by group, without
                expired tickets.
        """
        isolation = isolation_module.Isolation(fleet, now_ms)
        plan = Plan(isolation=isolation)
        kept_free = plan.kept_free
        urgent_demand = headroom.urgent_demand(self._state, now_ms)
        units = [
            part
            for unit in units_module.ready_units(
                self._state,
                self._durations,
                self._values,
                now_ms=now_ms,
                blocked=blocked,
            )
            for part in isolation_module.split_suspects(unit)
        ]
        plan.units = units
        for unit in units:
            if isolation_module.may_wait(unit, now_ms):
                _hold_for_suspects(fleet, unit, isolation)
        for unit in units:
            approved = None
            if unit.record.queue.advice is not None:
                approved = approvals.get(unit.key) or advice.Approvals()
            pool = unit.record.queue.pool
            # Urgent units come first, so that only what they leave is kept.
            if unit.priority > 0 and pool not in kept_free:
                kept_free[pool] = self._workers_to_keep_free(
                    fleet, pool, urgent_demand.get(pool)
                )
            excluded = kept_free[pool] if unit.priority > 0 else set()
            self._plan_unit(
                plan,
                fleet,
                unit,
                approved,
                excluded,
                isolation,
                now_ms,
                stopping,
            )
        return plan

    def _workers_to_keep_free(
        self,
        fleet: capacity.Fleet,
        pool: str,
        demand: headroom.UrgentDemand | None,
    ) -> set[capacity.WorkerCapacity]:
        """Returns the workers of a pool that urgent jobs will need soon."""
        if demand is None or fleet.is_mostly_idle(pool):
            return set()
        wait_s = (PREEMPTION_DELAY_MS + self._usual_stop_ms) / 1000
        workers = fleet.of_pool(pool)
        if fleet.uses_speeds:
            least = speed_placement.least_urgent_speed(self._state.config)
            workers = [w for w in workers if w.speed >= least]
        return headroom.workers_to_keep_free(workers, demand, wait_s)

    def _plan_unit(
        self,
        plan: Plan,
        fleet: capacity.Fleet,
        unit: units_module.Unit,
        approved: advice.Approvals | None,
        excluded: set[capacity.WorkerCapacity],
        isolation: isolation_module.Isolation,
        now_ms: int,
        stopping: collections.abc.Container[layout.RunId],
    ) -> None:
        """Adds the starts of a unit to a plan, or why it is pending.

        Args:
            plan: The plan.
            fleet: Workers and their capacity.
            unit: The unit.
            approved: Answers of the policy service about the unit; None if
                its queue has no policy service.
            excluded: Workers that are kept free for more urgent units.
            isolation: Workers that are closed to other jobs.
            now_ms: Time of day, in milliseconds since 1970.
            stopping: Runs that are being stopped.
        """
        eligible = [
            worker
            for worker in fleet.of_pool(unit.record.queue.pool)
            if _rejection(worker, unit, excluded, isolation) is None
        ]
        candidates = eligible
        if approved is not None:
            candidates = [w for w in eligible if approved.ticket(w.record)]
        candidates = _exclude_failed(unit, candidates)
        need = capacity.resources_of(unit.step)
        idle = fleet.is_mostly_idle(unit.record.queue.pool)
        apart = isolation.must_run_apart(
            unit.record.queue.pool,
            [unit.tasks[index] for index in unit.members[: unit.suspects]],
        )
        if apart:
            chosen = _choose_for_suspects(unit, candidates, need, isolation)
        elif fleet.uses_speeds:
            chosen = self._choose_by_speed(
                unit, candidates, need, now_ms, idle
            )
        else:
            chosen = self._choose(unit, candidates, need, now_ms, idle)
        if unit.step.gang and len(chosen) < len(unit.members):
            chosen = []
        if (
            apart
            and isolation_module.may_wait(unit, now_ms)
            and not isolation.are_quiet(unit, chosen)
        ):
            plan.waiting[unit.key] = _waiting(
                unit, Cause.ISOLATION, candidates
            )
            return
        for position, worker in enumerate(chosen):
            worker.reserve(need)
            isolation.note_start(
                worker,
                unit.key.job_id,
                apart=apart and position < unit.suspects,
            )
        unchecked = _unchecked(unit, chosen)
        if unchecked:
            plan.checks |= unchecked
            plan.waiting[unit.key] = _waiting(unit, Cause.CHECKS, candidates)
            return
        for index, worker in zip(unit.members, chosen, strict=False):
            plan.starts.append(_start(unit, index, worker, approved))
            unit.planned[worker.record.worker_id] += 1
        unplaced = unit.members[len(chosen) :]
        if not unplaced:
            return
        to_ask = (
            []
            if approved is None
            else advice.workers_to_ask(unit, eligible, approved)
        )
        if to_ask:
            wanted = plan.advice_wanted.setdefault(unit.key, [])
            wanted += [worker for worker in to_ask if worker not in wanted]
            plan.waiting[unit.key] = _waiting(unit, Cause.ADVICE, candidates)
            return
        cause = Cause.NO_CAPACITY if candidates else Cause.NO_WORKER
        if unit.priority == 0 and candidates:
            will_fit = self._preempt(
                plan,
                unit,
                self._preemption_candidates(fleet, unit, candidates, now_ms),
                len(unplaced),
                now_ms,
                stopping,
            )
            cause = (
                Cause.CAPACITY_BEING_FREED
                if will_fit
                else Cause.NOTHING_TO_STOP
            )
        plan.waiting[unit.key] = _waiting(unit, cause, candidates)

    def _choose(
        self,
        unit: units_module.Unit,
        candidates: list[capacity.WorkerCapacity],
        need: capacity.Resources,
        now_ms: int,
        idle: bool,
        *,
        by_speed: bool = False,
    ) -> list[capacity.WorkerCapacity]:
        """Returns a worker for each member.

        The list is shorter than the members if capacity is lacking.
        """
        step = unit.step
        locality_sets = _locality_sets(unit, candidates)
        assignments = [
            _assign_by_speed(unit, workers, need, len(unit.members))
            if by_speed
            else _assign_workers(unit, workers, need, len(unit.members))
            for workers in locality_sets
        ]
        complete = [a for a in assignments if len(a) == len(unit.members)]
        if complete:
            failed_on = _failed_on(unit)
            return min(
                complete,
                key=lambda a: (
                    _total_penalty(a, failed_on),
                    speed_placement.cost(unit, a) if by_speed else 0,
                    _free_accelerators(a),
                ),
            )
        if locality_sets == [candidates]:
            return assignments[0]
        if self._should_wait_for_locality(
            unit, locality_sets, need, now_ms, idle
        ):
            return [] if step.gang or not assignments else assignments[0]
        assign = _assign_by_speed if by_speed else _assign_workers
        return assign(unit, candidates, need, len(unit.members))

    def _choose_by_speed(
        self,
        unit: units_module.Unit,
        candidates: list[capacity.WorkerCapacity],
        need: capacity.Resources,
        now_ms: int,
        idle: bool,
    ) -> list[capacity.WorkerCapacity]:
        """Returns a worker for each member, with regard to their speeds.

        Workers on which the unit is in time come first. It waits for them if
        it is worth more at their end than on other workers now.
        """
        count = len(unit.members)
        chosen: list[capacity.WorkerCapacity] = []
        fast = candidates
        for workers in speed_placement.fast_enough(unit, candidates, now_ms):
            fast = workers
            chosen = _assign_locally_by_speed(unit, workers, need)
            if len(chosen) == count:
                return chosen
        if len(fast) == len(candidates):
            return self._choose(
                unit, candidates, need, now_ms, idle, by_speed=True
            )
        may_wait = speed_placement.may_wait(unit, now_ms)
        if (
            may_wait
            and unit.priority == 0
            and speed_placement.fast_enough(
                unit, candidates, now_ms, self._usual_preemption_ms
            )
        ):
            return [] if unit.step.gang else chosen
        other = self._choose(
            unit, candidates, need, now_ms, idle, by_speed=True
        )
        if unit.step.gang and len(other) < count:
            return []
        slower = (
            other if unit.step.gang else [w for w in other if w not in fast]
        )
        if may_wait:
            fast_end_ms = self._wait_ms(unit, fast, need, now_ms)
            fast_end_ms += speed_placement.run_time_ms(unit, fast)
            slower_ms = speed_placement.run_time_ms(unit, slower)
            if unit.value_after(fast_end_ms) > unit.value_after(slower_ms):
                return [] if unit.step.gang else chosen
        if unit.step.gang:
            return other
        return chosen + slower[: count - len(chosen)]

    def _preemption_candidates(
        self,
        fleet: capacity.Fleet,
        unit: units_module.Unit,
        candidates: list[capacity.WorkerCapacity],
        now_ms: int,
    ) -> list[capacity.WorkerCapacity]:
        """Returns the workers on which a unit is in time after a stop."""
        if not (fleet.uses_speeds and speed_placement.may_wait(unit, now_ms)):
            return candidates
        fast = speed_placement.fast_enough(
            unit, candidates, now_ms, self._usual_stop_ms
        )
        return fast[-1] if fast else candidates

    def _wait_ms(
        self,
        unit: units_module.Unit,
        workers: list[capacity.WorkerCapacity],
        need: capacity.Resources,
        now_ms: int,
    ) -> float:
        """Returns the time until a unit fits on workers, in milliseconds."""
        return availability.time_to_fit_ms(
            workers,
            need,
            len(unit.members),
            limit=unit.step.max_per_worker,
            run_remaining_ms=lambda run: self._remaining_ms(run, now_ms),
        )

    def _should_wait_for_locality(
        self,
        unit: units_module.Unit,
        locality_sets: list[list[capacity.WorkerCapacity]],
        need: capacity.Resources,
        now_ms: int,
        idle: bool,
    ) -> bool:
        """Whether to wait for a preferred placement, not start elsewhere."""
        waited_ms = now_ms - unit.release_ms
        if idle and waited_ms >= IDLE_POOL_LOCALITY_WAIT_MS:
            return False
        if unit.guaranteed and waited_ms >= GUARANTEED_LOCALITY_WAIT_MS:
            return False
        local_wait_ms = min(
            (
                availability.time_to_fit_ms(
                    workers,
                    need,
                    len(unit.members),
                    limit=unit.step.max_per_worker,
                    run_remaining_ms=lambda run: self._remaining_ms(
                        run, now_ms
                    ),
                )
                for workers in locality_sets
            ),
            default=float('inf'),
        )
        if local_wait_ms == float('inf'):
            return False
        remote_run_ms = self._remote_factor * unit.expected_ms
        local_value = unit.value_after(local_wait_ms + unit.expected_ms)
        # At equal value the unit waits, since a run away from the preferred
        # workers occupies capacity for longer.
        return local_value >= unit.value_after(remote_run_ms)

    def _remaining_ms(self, run: capacity.RunAllocation, now_ms: int) -> float:
        expected_ms = self._durations.expected_ms(run.record, run.step)
        expected_ms /= run.speed
        return availability.remaining_ms(run, expected_ms, now_ms)

    def _preempt(
        self,
        plan: Plan,
        unit: units_module.Unit,
        candidates: list[capacity.WorkerCapacity],
        count: int,
        now_ms: int,
        stopping: collections.abc.Container[layout.RunId],
    ) -> bool:
        """Reserves capacity for urgent tasks, preempting runs if needed.

        Returns:
            Whether the reserved capacity covers all tasks.
        """
        reserved = {layout.RunId(stop.key, stop.run) for stop in plan.stops}
        reserved |= plan.awaited
        wait_ms = (
            min(unit.latest_start_ms, unit.release_ms + PREEMPTION_DELAY_MS)
            - now_ms
        )
        best, decision = preemption.choose(
            preemption.Request(
                unit=unit,
                count=count,
                scopes=_preemption_scopes(unit, candidates),
                now_ms=now_ms,
                wait_ms=wait_ms,
                stopping=stopping,
                reserved=reserved,
            )
        )
        if decision is not None:
            plan.decisions[unit.key] = decision
        if best is None:
            return False
        best.reserve_for_tasks(capacity.resources_of(unit.step))
        plan.stops.extend(best.stops)
        plan.awaited |= best.awaited
        return best.members == count


def _unchecked(
    unit: units_module.Unit, workers: list[capacity.WorkerCapacity]
) -> set[str]:
    """Returns the ids of workers to check before a unit starts on them.

    One silent worker holds up a whole gang, and an urgent task has no time
    to start a second time. Other tasks need no check.
    """
    if not unit.step.gang and unit.priority > 0:
        return set()
    return {
        worker.record.worker_id
        for worker in workers
        if not worker.answered_recently
    }


def _locality_sets(
    unit: units_module.Unit, candidates: list[capacity.WorkerCapacity]
) -> list[list[capacity.WorkerCapacity]]:
    """Returns sets of workers; a unit runs at full speed within one set."""
    preferred = candidates
    if unit.step.data_rack:
        preferred = [w for w in candidates if w.rack == unit.step.data_rack]
    if not (unit.step.gang and unit.step.same_rack):
        return [preferred]
    racks: dict[str, list[capacity.WorkerCapacity]] = {}
    for worker in preferred:
        racks.setdefault(worker.rack, []).append(worker)
    return list(racks.values())


def _preemption_scopes(
    unit: units_module.Unit, candidates: list[capacity.WorkerCapacity]
) -> list[list[list[capacity.WorkerCapacity]]]:
    """Returns scopes to search in turn, from preferred to all workers.

    Each scope is a list of sets of workers; all tasks of a gang go to one
    set.
    """
    locality_sets = _locality_sets(unit, candidates)
    scopes = [locality_sets]
    if unit.step.data_rack and len(locality_sets) > 1:
        scopes.append(
            [[worker for workers in locality_sets for worker in workers]]
        )
    scopes.append([candidates])
    return [scope for scope in scopes if scope and scope[0]]


def _waiting(
    unit: units_module.Unit,
    cause: Cause,
    candidates: list[capacity.WorkerCapacity],
) -> Waiting:
    return Waiting(
        cause=cause,
        members=len(unit.members),
        step=unit.step,
        workers=len(candidates),
        guaranteed=unit.guaranteed,
    )


def _choose_for_suspects(
    unit: units_module.Unit,
    candidates: list[capacity.WorkerCapacity],
    need: capacity.Resources,
    isolation: isolation_module.Isolation,
) -> list[capacity.WorkerCapacity]:
    """Returns workers for the members of a unit with suspects, in order.

    A unit with suspects does not wait for a preferred placement, and rather
    leaves its data than runs on a host that has crashed under it.
    """
    order = isolation.preference(unit)
    unharmed = isolation_module.without_crashed_hosts(unit, candidates)
    for workers in (
        *_locality_sets(unit, unharmed),
        unharmed,
        *_locality_sets(unit, candidates),
        candidates,
    ):
        chosen = _assign_workers(
            unit, workers, need, len(unit.members), order=order
        )
        if len(chosen) == len(unit.members):
            break
    return chosen


def _hold_for_suspects(
    fleet: capacity.Fleet,
    unit: units_module.Unit,
    isolation: isolation_module.Isolation,
) -> None:
    """Holds the workers on which the suspects of a unit will start next."""
    need = capacity.resources_of(unit.step)
    candidates = [
        worker
        for worker in fleet.of_pool(unit.record.queue.pool)
        if worker.usable
        and isolation.allows(worker, unit)
        and _may_run(worker, unit)
    ]
    isolation.hold(
        unit, _choose_for_suspects(unit, candidates, need, isolation)
    )


def _rejection(
    worker: capacity.WorkerCapacity,
    unit: units_module.Unit,
    excluded: collections.abc.Container[capacity.WorkerCapacity],
    isolation: isolation_module.Isolation,
) -> Rejection | None:
    """Returns why a unit may not start on a worker; None if it may."""
    if not worker.usable:
        return Rejection.UNUSABLE
    if worker in excluded:
        return Rejection.KEPT_FREE
    if not isolation.allows(worker, unit):
        return Rejection.ISOLATED
    if not _may_run(worker, unit):
        return Rejection.LABEL
    return None


def _may_run(worker: capacity.WorkerCapacity, unit: units_module.Unit) -> bool:
    label = unit.step.required_label
    return not label or label in worker.record.labels


def _assign_workers(
    unit: units_module.Unit,
    candidates: list[capacity.WorkerCapacity],
    need: capacity.Resources,
    count: int,
    *,
    order: collections.abc.Callable[
        [capacity.WorkerCapacity], tuple[float, ...]
    ]
    | None = None,
) -> list[capacity.WorkerCapacity]:
    """Returns up to `count` workers for tasks, by best fit.

    Workers with the least free capacity come first, except that a higher
    penalty comes after a lower one, and workers on which the unit failed come
    last. A worker is listed once for each of its tasks.

    Args:
        unit: The unit.
        candidates: Workers to choose from.
        need: Resources of a task.
        count: Number of tasks.
        order: Sort key of the workers, instead of the best fit.
    """
    limit = unit.step.max_per_worker
    placed = unit.planned + collections.Counter(
        task.worker_id for task in unit.tasks
    )
    failed_on = _failed_on(unit)
    chosen: list[capacity.WorkerCapacity] = []

    def best_fit(worker: capacity.WorkerCapacity) -> tuple[float, ...]:
        return (
            worker.record.worker_id in failed_on,
            worker.penalty,
            worker.free.accelerators,
            worker.free.cpu_milli,
        )

    for worker in sorted(candidates, key=order or best_fit):
        free = worker.free.copy()
        on_worker = placed[worker.record.worker_id]
        while (
            len(chosen) < count
            and free.covers(need)
            and (not limit or on_worker < limit)
        ):
            free.subtract(need)
            on_worker += 1
            chosen.append(worker)
        if len(chosen) == count:
            break
    return chosen


def _assign_locally_by_speed(
    unit: units_module.Unit,
    candidates: list[capacity.WorkerCapacity],
    need: capacity.Resources,
) -> list[capacity.WorkerCapacity]:
    """Returns workers for the members of a unit in one locality set.

    The list is shorter than the members if capacity is lacking.
    """
    assignments = [
        _assign_by_speed(unit, workers, need, len(unit.members))
        for workers in _locality_sets(unit, candidates)
    ]
    complete = [a for a in assignments if len(a) == len(unit.members)]
    if not complete:
        return max(assignments, key=len, default=[])
    failed_on = _failed_on(unit)
    return min(
        complete,
        key=lambda a: (
            _total_penalty(a, failed_on),
            speed_placement.cost(unit, a),
            _free_accelerators(a),
        ),
    )


def _assign_by_speed(
    unit: units_module.Unit,
    candidates: list[capacity.WorkerCapacity],
    need: capacity.Resources,
    count: int,
) -> list[capacity.WorkerCapacity]:
    """Returns up to `count` workers for tasks, the slowest class first.

    Returns:
        Nothing if the free accelerators do not cover all members of a gang.
    """
    if unit.step.gang and need.accelerators:
        free = sum(worker.free.accelerators for worker in candidates)
        if free < need.accelerators * count:
            return []
    candidates = [w for w in candidates if w.free.covers(need)]
    failed_on = _failed_on(unit)

    def slowest_fit(worker: capacity.WorkerCapacity) -> tuple[float, ...]:
        return (
            worker.record.worker_id in failed_on,
            worker.penalty,
            speed_placement.speed_class(worker),
            worker.free.accelerators,
            worker.free.cpu_milli,
        )

    return speed_placement.choose(
        candidates,
        count,
        lambda workers: _assign_workers(
            unit, workers, need, count, order=slowest_fit
        ),
        gang=unit.step.gang,
    )


def _failed_on(unit: units_module.Unit) -> set[str]:
    """Returns the ids of workers on which a task of a unit last failed."""
    tasks = layout.group_tasks(unit.record, unit.key.occurrence, unit.key.step)
    return {task.last_failed_on for task in tasks if task.failures}


def _exclude_failed(
    unit: units_module.Unit, candidates: list[capacity.WorkerCapacity]
) -> list[capacity.WorkerCapacity]:
    """Excludes workers on which a unit failed, if more than half remain."""
    failed_on = _failed_on(unit)
    if not failed_on:
        return candidates
    others = [w for w in candidates if w.record.worker_id not in failed_on]
    return others if 2 * len(others) > len(candidates) else candidates


def _total_penalty(
    workers: list[capacity.WorkerCapacity], failed_on: set[str]
) -> float:
    """Returns the sum of the penalties of the workers of an assignment.

    A worker on which the unit failed has an additional penalty of 1.
    """
    return sum(
        worker.penalty + (worker.record.worker_id in failed_on)
        for worker in set(workers)
    )


def _free_accelerators(workers: list[capacity.WorkerCapacity]) -> int:
    """Returns the free accelerators of an assignment's workers."""
    used = {id(worker): worker for worker in workers}
    return sum(worker.free.accelerators for worker in used.values())


def _start(
    unit: units_module.Unit,
    index: int,
    worker: capacity.WorkerCapacity,
    approved: advice.Approvals | None,
) -> ttypes.RunStart:
    tasks = layout.group_tasks(unit.record, unit.key.occurrence, unit.key.step)
    if unit.step.gang:
        run = max(task.run for task in tasks) + 1
        checkpoint = max(task.checkpoint for task in tasks)
    else:
        run = tasks[index].run + 1
        checkpoint = tasks[index].checkpoint
    ticket = '' if approved is None else approved.ticket(worker.record)
    return ttypes.RunStart(
        task=layout.task_key(layout.TaskId(*unit.key, index)),
        run=run,
        worker_id=worker.record.worker_id,
        incarnation=worker.record.incarnation,
        checkpoint=checkpoint if unit.step.checkpointable else '',
        ticket=ticket or '',
    )
