"""Weighs what a stop of runs gains against all that it costs.

Load: demand above the capacity of a pool for seconds, with bursts of urgent
gangs, while about half of the other work saves no checkpoints. Stopping by
the loss of work alone then stops gangs for urgent jobs that will be late in
any case, or that would soon have started by themselves, and stops the same
gangs again and again.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

from banyantrack.workload import availability
from banyantrack.workload import capacity
from banyantrack.workload import layout
from banyantrack.workload import preemption
from banyantrack.workload import units as units_module
from banyantrack.workload import values as values_module

if typing.TYPE_CHECKING:
    import collections.abc

# A victim that was stopped within this time counts as dearer, so that two
# units do not take turns in stopping the same work.
REPEAT_WINDOW_MS = 10_000
REPEAT_FACTOR = 3.0
# Time after its release for which a unit lets runs finish that are expected
# to end before a stop would free their capacity. It is bounded because a run
# that stalls shortly before its end seems to end soon all the time.
FINISH_WAIT_MS = 1000
# Least gain of stops as a multiple of their loss. With 1.0 the small contended
# site lost 0.034 of its value in stopped runs, with 2.0 0.019, at the same
# share of value earned (24 seeds of 15 s). Under overload of 40 s less is
# earned than with `least-loss`; see docs/design/0013-demand-above-capacity.md.
MIN_GAIN_RATIO = 2.0
# Multiples of the expected run time at which the value of a start is averaged,
# since estimates of urgent tasks are wrong by about this much.
RUN_TIME_FACTORS = (0.5, 1.0, 2.0)
# Share of the value of a late end that a unit is expected to earn if nothing
# is stopped for it. Units that wait for capacity under contention may expire,
# since other units take much of what becomes free.
LATE_VALUE_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Victim:
    """Runs that can only be stopped together: a gang, or one other run.

    Attributes:
        discarded: Value of the discarded work.
        lateness: Value that the job loses because it ends later.
        factor: Factor on the loss, above 1 for a victim that was stopped
            lately.
    """

    discarded: float
    lateness: float
    factor: float

    @property
    def loss(self) -> float:
        """Loss if nothing else of the job is stopped."""
        return (self.discarded + self.lateness) * self.factor


# Members of a gang share one key; other runs have their own.
_VictimKey = layout.GroupKey | layout.TaskId


@dataclasses.dataclass(frozen=True, slots=True)
class _Occupant:
    """A run on a worker, as seen by the decisions of one round.

    Attributes:
        run: The run.
        run_id: Its id.
        key: Key of the victim that it belongs to.
        freed: Resources that its end frees.
    """

    run: capacity.RunAllocation
    run_id: layout.RunId
    key: _VictimKey
    freed: capacity.Resources


@dataclasses.dataclass(slots=True)
class _Selection:
    """Victims that make room for tasks in a set of workers.

    Attributes:
        request: The unit that needs the room.
        need: Resources of each task.
        limit: Most tasks on one worker.
        workers: The workers, by id.
        awaited: Runs that are expected to end by themselves, by worker.
        ending: Runs whose capacity is counted already.
        available: Resources on each worker after the stops.
        slots: Number of tasks that fit on each worker after the stops.
        total: Sum of the slots.
        victims: Keys of the victims.
        loss: Loss of the victims.
    """

    request: preemption.Request
    need: capacity.Resources
    limit: int
    workers: dict[str, capacity.WorkerCapacity]
    awaited: collections.abc.Mapping[
        capacity.WorkerCapacity, list[capacity.RunAllocation]
    ]
    ending: set[layout.RunId]
    available: dict[str, capacity.Resources]
    slots: dict[str, int]
    total: int
    victims: list[_VictimKey] = dataclasses.field(default_factory=list)
    loss: float = 0.0

    @property
    def complete(self) -> bool:
        """Whether all tasks fit."""
        return self.total >= self.request.count

    def is_ending(self, run_id: layout.RunId) -> bool:
        """Whether the capacity of a run is counted or reserved already."""
        return (
            run_id in self.ending
            or run_id in self.request.stopping
            or run_id in self.request.reserved
        )

    def update(self, available: dict[str, capacity.Resources]) -> None:
        """Replaces the available resources of some workers."""
        for name, resources in available.items():
            slots = _slots(resources, self.need, self.limit)
            self.total += slots - self.slots.get(name, 0)
            self.slots[name] = slots
            self.available[name] = resources


@preemption.POLICIES.register('net-gain')
class NetGain:
    """Stops runs for a unit only if that gains more than it costs.

    The gain is the value of a start after the stops over that of waiting. The
    cost is the discarded work of all members of each victim, and the value
    that victims lose if the time to do it again makes them late. A unit that
    a guarantee covers preempts in any case, with the same choice of victims.

    The times of earlier stops are soft state of the leader. A new leader does
    not know them and may stop a victim once more; no rule depends on them.

    Args:
        durations: Expected run times.
        values: Values of jobs.
    """

    def __init__(
        self,
        durations: units_module.Durations,
        values: values_module.JobValues,
    ) -> None:
        self._durations = durations
        self._values = values
        self._stopped_at_ms: dict[_VictimKey, int] = {}
        self._victims: dict[_VictimKey, _Victim] = {}
        self._occupants: dict[_VictimKey, list[_Occupant]] = {}
        self._ranked: dict[str, list[_Occupant]] = {}
        self._now_ms = 0
        self._fleet: list[capacity.WorkerCapacity] = []

    def begin_round(
        self,
        fleet: capacity.Fleet,
        units: collections.abc.Sequence[units_module.Unit],
        now_ms: int,
    ) -> None:
        """Prepares the decisions of one round; arguments as for `Policy`."""
        self._now_ms = now_ms
        self._victims = {}
        self._ranked = {}
        self._occupants = {}
        self._fleet = list(fleet)
        self._stopped_at_ms = {
            key: at_ms
            for key, at_ms in self._stopped_at_ms.items()
            if at_ms > now_ms - REPEAT_WINDOW_MS
        }

    def choose(
        self, request: preemption.Request
    ) -> tuple[preemption.PreemptionPlan | None, preemption.Decision | None]:
        """Returns the plan with the least loss, if that is below the gain."""
        unit = request.unit
        if not self._occupants:
            self._note_occupants()
        gain = _gain(unit, request.stop_ms)
        for scope in request.scopes:
            selections = [self._selection(request, set_) for set_ in scope]
            ready = [s for s in selections if s.complete]
            if ready:
                return self._as_plan(ready[0]), None
            if gain <= 0 and not unit.guaranteed:
                return None, None
            best: _Selection | None = None
            for selection in selections:
                self._select(selection, best.loss if best else float('inf'))
                if selection.complete and (
                    best is None or selection.loss < best.loss
                ):
                    best = selection
            if best is None:
                if unit.step.gang:
                    continue
                best = max(selections, key=lambda s: s.total)
            self._drop_needless(best)
            return self._decide(request, best, gain)
        return None, None

    def _decide(
        self, request: preemption.Request, selection: _Selection, gain: float
    ) -> tuple[preemption.PreemptionPlan | None, preemption.Decision | None]:
        unit = request.unit
        plan = self._as_plan(selection)
        if not plan.stops:
            return plan, None
        adopted = MIN_GAIN_RATIO * plan.loss < gain or unit.guaranteed
        decision = preemption.Decision(
            job_id=unit.key.job_id,
            guaranteed=unit.guaranteed,
            adopted=adopted,
            gain=gain,
            loss=plan.loss,
            discarded=sum(
                self._victim(key).discarded for key in selection.victims
            ),
            stops=len(plan.stops),
            waited_ms=request.now_ms - unit.release_ms,
        )
        if not adopted:
            return None, decision
        for key in selection.victims:
            self._stopped_at_ms[key] = request.now_ms
        return plan, decision

    def _note_occupants(self) -> None:
        for worker in self._fleet:
            for run in worker.runs:
                key = _victim_key(run)
                self._occupants.setdefault(key, []).append(
                    _Occupant(
                        run,
                        layout.RunId(run.key, run.task.run),
                        key,
                        capacity.resources_of(run.step),
                    )
                )

    def _remaining_ms(self, run: capacity.RunAllocation) -> float:
        expected_ms = self._durations.expected_ms(run.record, run.step)
        return availability.remaining_ms(run, expected_ms, self._now_ms)

    def _selection(
        self,
        request: preemption.Request,
        workers: collections.abc.Sequence[capacity.WorkerCapacity],
    ) -> _Selection:
        """Returns a set of workers without stops."""
        step = request.unit.step
        wait_ms = request.wait_ms
        if request.now_ms - request.unit.release_ms < FINISH_WAIT_MS:
            wait_ms = max(wait_ms, request.stop_ms)
        awaited = preemption.ending_runs(
            workers, wait_ms, request.stopping, request.reserved
        )
        selection = _Selection(
            request=request,
            need=capacity.resources_of(step),
            limit=step.max_per_worker or request.count,
            workers={worker.record.worker_id: worker for worker in workers},
            awaited=awaited,
            ending=set(),
            available={},
            slots={},
            total=0,
        )
        available: dict[str, capacity.Resources] = {}
        for name, worker in selection.workers.items():
            available[name] = worker.free_after_stops.copy()
            for run in awaited.get(worker, ()):
                available[name].add(capacity.resources_of(run.step))
                selection.ending.add(layout.RunId(run.key, run.task.run))
        selection.update(available)
        return selection

    def _select(self, selection: _Selection, max_loss: float) -> None:
        """Adds victims for one task after another, the cheapest first.

        Args:
            selection: The workers; victims are added to it.
            max_loss: Loss from which the selection is given up.
        """
        options: dict[str, tuple[float, list[_VictimKey]]] = {}
        stale: collections.abc.Iterable[str] = selection.workers
        while not selection.complete and selection.loss < max_loss:
            missing = selection.request.count - selection.total
            for name in stale:
                options.pop(name, None)
                keys = self._victims_on(selection, name)
                if keys is None:
                    continue
                freed = self._freed(selection, keys)
                added = sum(
                    _slots(resources, selection.need, selection.limit)
                    - selection.slots[worker]
                    for worker, resources in freed.items()
                )
                loss = self._loss([*selection.victims, *keys]) - selection.loss
                options[name] = (loss / min(max(added, 1), missing), keys)
            if not options:
                return
            best = min(options, key=lambda name: (options[name][0], name))
            keys = options[best][1]
            freed = self._freed(selection, keys)
            selection.update(freed)
            selection.victims += keys
            selection.loss = self._loss(selection.victims)
            stale = {best, *freed}

    def _victims_on(
        self, selection: _Selection, name: str
    ) -> list[_VictimKey] | None:
        """Returns the victims for one more task on a worker, or None."""
        used = selection.slots[name]
        if used >= selection.limit:
            return None
        need = selection.need
        free = selection.available[name].copy()
        for _ in range(used):
            free.subtract(need)
        chosen: list[_Occupant] = []
        for occupant in self._ranked_occupants(selection.workers[name]):
            if (
                occupant.key in selection.victims
                or not preemption.may_preempt(
                    occupant.run, selection.request.unit
                )
                or selection.is_ending(occupant.run_id)
            ):
                continue
            chosen.append(occupant)
            free.add(occupant.freed)
            if free.covers(need):
                break
        else:
            return None
        # Losses ascend, so the dearest victim is checked first.
        for occupant in reversed(chosen[:-1]):
            free.subtract(occupant.freed)
            if free.covers(need):
                chosen.remove(occupant)
            else:
                free.add(occupant.freed)
        return list(dict.fromkeys(occupant.key for occupant in chosen))

    def _ranked_occupants(
        self, worker: capacity.WorkerCapacity
    ) -> list[_Occupant]:
        """Returns the runs on a worker by loss for each accelerator."""
        name = worker.record.worker_id
        ranked = self._ranked.get(name)
        if ranked is None:
            ranked = self._ranked[name] = sorted(
                (
                    occupant
                    for key in dict.fromkeys(map(_victim_key, worker.runs))
                    for occupant in self._occupants[key]
                    if occupant.run.task.worker_id == name
                ),
                key=lambda occupant: (
                    self._victim(occupant.key).loss
                    / max(occupant.freed.accelerators, 1),
                    occupant.key,
                ),
            )
        return ranked

    def _freed(
        self, selection: _Selection, keys: list[_VictimKey]
    ) -> dict[str, capacity.Resources]:
        """Returns the available resources of workers after more stops."""
        freed: dict[str, capacity.Resources] = {}
        for key in keys:
            for occupant in self._occupants[key]:
                name = occupant.run.task.worker_id
                if name not in selection.available or selection.is_ending(
                    occupant.run_id
                ):
                    continue
                if name not in freed:
                    freed[name] = selection.available[name].copy()
                freed[name].add(occupant.freed)
        return freed

    def _drop_needless(self, selection: _Selection) -> None:
        """Drops victims without which the tasks fit, the dearest first."""
        for key in sorted(
            selection.victims, key=lambda key: -self._victim(key).loss
        ):
            kept: dict[str, capacity.Resources] = {}
            for occupant in self._occupants[key]:
                name = occupant.run.task.worker_id
                if name in selection.available and not selection.is_ending(
                    occupant.run_id
                ):
                    if name not in kept:
                        kept[name] = selection.available[name].copy()
                    kept[name].subtract(occupant.freed)
            lost = sum(
                selection.slots[name]
                - _slots(resources, selection.need, selection.limit)
                for name, resources in kept.items()
            )
            if selection.total - lost >= selection.request.count:
                selection.update(kept)
                selection.victims.remove(key)
        selection.loss = self._loss(selection.victims)

    def _as_plan(self, selection: _Selection) -> preemption.PreemptionPlan:
        request = selection.request
        plan = preemption.PreemptionPlan(loss=selection.loss)
        # Workers that hold more tasks first, then those with less capacity.
        for name in sorted(
            selection.workers,
            key=lambda n: (
                -selection.slots[n],
                selection.available[n].accelerators,
                n,
            ),
        ):
            count = min(selection.slots[name], request.count - plan.members)
            plan.workers += [selection.workers[name]] * count
            plan.members += count
        for key in selection.victims:
            for occupant in self._occupants[key]:
                run = occupant.run
                if (
                    occupant.run_id in request.stopping
                    or occupant.run_id in request.reserved
                ):
                    continue
                plan.stops.append(
                    preemption.Stop(
                        run.key,
                        run.task.run,
                        run.task.worker_id,
                        f'room for {request.unit.key.job_id}',
                    )
                )
                worker = selection.workers.get(run.task.worker_id)
                # The capacity of a run that is awaited is added below.
                if worker is not None and not selection.is_ending(
                    occupant.run_id
                ):
                    plan.freed.append((worker, occupant.freed))
        for worker in dict.fromkeys(plan.workers):
            for run in selection.awaited.get(worker, ()):
                plan.awaited.add(layout.RunId(run.key, run.task.run))
                plan.freed.append((worker, capacity.resources_of(run.step)))
        return plan

    def _loss(self, keys: list[_VictimKey]) -> float:
        """Returns the loss of stops; a job becomes late only once."""
        loss = 0.0
        lateness: dict[str, float] = {}
        for key in keys:
            victim = self._victim(key)
            loss += victim.discarded * victim.factor
            lateness[key.job_id] = max(
                lateness.get(key.job_id, 0.0), victim.lateness * victim.factor
            )
        return loss + sum(lateness.values())

    def _victim(self, key: _VictimKey) -> _Victim:
        found = self._victims.get(key)
        if found is None:
            found = self._victims[key] = self._assess(key)
        return found

    def _assess(self, key: _VictimKey) -> _Victim:
        """Returns what stopping a gang or a run costs."""
        runs = [occupant.run for occupant in self._occupants[key]]
        run = runs[0]
        step = run.step
        ran_ms = max(
            max(self._now_ms - other.task.started_ms, 0) for other in runs
        )
        if step.checkpointable:
            ran_ms = min(ran_ms, preemption.MAX_UNSAVED_MS)
        lost_ms = ran_ms + preemption.RESTART_COST_MS
        processors = (
            preemption.PROCESSORS_PER_ACCELERATOR * step.accelerators
            + step.cpu_milli / 1000
        )
        discarded = (
            len(runs) * processors * lost_ms / 1000
        ) * values_module.LOSS_PER_PROCESSOR_S
        factor = 1.0 if key not in self._stopped_at_ms else REPEAT_FACTOR
        remaining_ms = max(self._remaining_ms(other) for other in runs)
        lateness = 0.0
        if remaining_ms != float('inf'):
            lateness = self._lateness(run, remaining_ms, lost_ms)
        return _Victim(discarded, lateness, factor)

    def _lateness(
        self, run: capacity.RunAllocation, remaining_ms: float, lost_ms: float
    ) -> float:
        """Returns the value that a job loses if a run of it is stopped."""
        record = run.record
        paths_ms = units_module.critical_path_ms(record, self._durations)
        queue = record.queue
        work = sum(
            step.count
            * step.accelerators
            * self._durations.expected_ms(record, step)
            for step in record.job.steps
        )
        later_ms = paths_ms[run.key.step] - self._durations.expected_ms(
            record, run.step
        )

        def value(delay_ms: float) -> float:
            return self._values.job_value(
                record,
                work,
                ends_ms=self._now_ms + remaining_ms + later_ms + delay_ms,
                release_ms=units_module.occurrence_release_ms(
                    record, run.key.occurrence
                ),
                objective_ms=queue.objective_ms
                + queue.stretch * max(paths_ms),
            )

        return max(value(0.0) - value(lost_ms), 0.0)


def _gain(unit: units_module.Unit, stop_ms: float) -> float:
    """Returns the value of a start after stops over that of waiting.

    A task that takes longer may also start later, as the objective is a
    multiple of its run time.

    Args:
        unit: The unit.
        stop_ms: Usual time that a worker takes to stop a run.
    """
    slack_ms = (unit.record.queue.stretch - 1) * unit.expected_ms
    started = [
        unit.value_after(stop_ms + unit.expected_ms + slack_ms * (1 - factor))
        for factor in RUN_TIME_FACTORS
    ]
    return sum(started) / len(started) - LATE_VALUE_SHARE * unit.value_if_late


def _victim_key(run: capacity.RunAllocation) -> _VictimKey:
    return run.key.group if run.step.gang else run.key


def _slots(
    available: capacity.Resources, need: capacity.Resources, limit: int
) -> int:
    """Returns how many tasks fit, at most `limit`."""
    counts = [limit]
    for have, wanted in (
        (available.accelerators, need.accelerators),
        (available.cpu_milli, need.cpu_milli),
        (available.memory_mb, need.memory_mb),
    ):
        if have < 0 or have < wanted:
            return 0
        if wanted > 0:
            counts.append(have // wanted)
    return min(counts)
