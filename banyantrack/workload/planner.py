"""Decides which runs start where and which are stopped to make room.

A round looks at the whole state and decides anew, so it needs no memory of
its own: room that is being freed for a unit is set aside for it in each
round until it starts.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.workload import advice
from banyantrack.workload import availability
from banyantrack.workload import layout
from banyantrack.workload import reclaim
from banyantrack.workload import room as room_module
from banyantrack.workload import units as units_module
from banyantrack.workload import values as values_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import state as state_module

# A guaranteed job must begin within some three seconds, wherever it is.
GUARANTEED_PATIENCE_MS = 1500
# Where most of a pool is free, nothing waits longer for a better place.
IDLE_PATIENCE_MS = 2000
# Urgent tasks wait this long for runs that end by themselves before others
# are stopped; declared run times are too far off to use up the objective.
AWAIT_MS = 250


class Cause(enum.Enum):
    """Why tasks wait."""

    ADVICE = 'advice'
    NO_WORKER = 'no-worker'
    ROOM = 'room'
    ROOM_BEING_FREED = 'room-being-freed'
    NOTHING_TO_STOP = 'nothing-to-stop'


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Why a group waits.

    Attributes:
        cause: The cause.
        members: Tasks that wait.
        step: Their step.
        workers: Workers that may run them.
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
        stops: Runs to stop.
        awaited: Runs whose room is set aside for when they have ended.
        waiting: Why units wait, by group.
        advice_wanted: Workers that the policy service has to be asked
            about, by group.
    """

    starts: list[ttypes.RunStart] = dataclasses.field(default_factory=list)
    stops: list[reclaim.Stop] = dataclasses.field(default_factory=list)
    awaited: set[layout.RunId] = dataclasses.field(default_factory=set)
    waiting: dict[layout.GroupKey, Waiting] = dataclasses.field(
        default_factory=dict
    )
    advice_wanted: dict[layout.GroupKey, list[str]] = dataclasses.field(
        default_factory=dict
    )


class Planner:
    """Plans rounds.

    Args:
        state: The replicated state.
        durations: Expected run times.
        remote_factor: Times that a task takes longer away from its data.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        durations: units_module.Durations,
        *,
        remote_factor: float,
    ) -> None:
        self._state = state
        self._durations = durations
        self._values = values_module.Values()
        self._remote_factor = remote_factor

    def plan(
        self,
        fleet: room_module.Fleet,
        *,
        now_ms: int,
        blocked: collections.abc.Mapping[layout.GroupKey, float],
        stopping: collections.abc.Container[layout.RunId],
        approvals: collections.abc.Mapping[layout.GroupKey, advice.Approvals],
    ) -> Plan:
        """Runs one round.

        Args:
            fleet: Workers and their room; changed by the round.
            now_ms: Time of day.
            blocked: Groups that wait, with the time until which they do.
            stopping: Runs that are being stopped.
            approvals: What the policy service said of groups; holds no
                tickets that have ended.
        """
        plan = Plan()
        for unit in units_module.ready_units(
            self._state,
            self._durations,
            self._values,
            now_ms=now_ms,
            blocked=blocked,
        ):
            allowed = None
            if unit.record.queue.advice is not None:
                allowed = approvals.get(unit.key) or advice.Approvals()
            self._plan_unit(plan, fleet, unit, allowed, now_ms, stopping)
        return plan

    def _plan_unit(
        self,
        plan: Plan,
        fleet: room_module.Fleet,
        unit: units_module.Unit,
        allowed: advice.Approvals | None,
        now_ms: int,
        stopping: collections.abc.Container[layout.RunId],
    ) -> None:
        able = [
            room
            for room in fleet.of_pool(unit.record.queue.pool)
            if room.usable and _may_run(room, unit)
        ]
        candidates = able
        if allowed is not None:
            candidates = [r for r in able if allowed.ticket(r.record)]
        candidates = _without_failed(unit, candidates)
        need = room_module.need_of(unit.step)
        idle = fleet.idle(unit.record.queue.pool)
        chosen = self._choose(unit, candidates, need, now_ms, idle)
        if unit.step.gang and len(chosen) < len(unit.members):
            chosen = []
        for index, room in zip(unit.members, chosen, strict=False):
            room.place(need)
            plan.starts.append(_start(unit, index, room, allowed))
        missing = unit.members[len(chosen) :]
        if not missing:
            return
        asked = [] if allowed is None else advice.to_ask(unit, able, allowed)
        if asked:
            plan.advice_wanted[unit.key] = asked
            plan.waiting[unit.key] = _waiting(unit, Cause.ADVICE, candidates)
            return
        cause = Cause.ROOM if candidates else Cause.NO_WORKER
        if unit.priority == 0 and candidates:
            made = self._make_room(
                plan, unit, candidates, len(missing), now_ms, stopping
            )
            cause = Cause.ROOM_BEING_FREED if made else Cause.NOTHING_TO_STOP
        plan.waiting[unit.key] = _waiting(unit, cause, candidates)

    def _choose(
        self,
        unit: units_module.Unit,
        candidates: list[room_module.WorkerRoom],
        need: room_module.Amount,
        now_ms: int,
        idle: bool,
    ) -> list[room_module.WorkerRoom]:
        """Returns a worker for each member, as far as there is room."""
        step = unit.step
        together = _together(unit, candidates)
        found = [
            _spread(unit, rooms, need, len(unit.members)) for rooms in together
        ]
        whole = [f for f in found if len(f) == len(unit.members)]
        if whole:
            failed_on = _failed_on(unit)
            return min(
                whole, key=lambda f: (_doubt(f, failed_on), _tightness(f))
            )
        if together == [candidates]:
            return found[0]
        if self._better_waits(unit, together, need, now_ms, idle):
            return [] if step.gang or not found else found[0]
        return _spread(unit, candidates, need, len(unit.members))

    def _better_waits(
        self,
        unit: units_module.Unit,
        together: list[list[room_module.WorkerRoom]],
        need: room_module.Amount,
        now_ms: int,
        idle: bool,
    ) -> bool:
        """Whether to wait for a near place rather than start far away."""
        waited_ms = now_ms - unit.due_ms
        if idle and waited_ms >= IDLE_PATIENCE_MS:
            return False
        if unit.guaranteed and waited_ms >= GUARANTEED_PATIENCE_MS:
            return False
        near_ms = min(
            (
                availability.ready_in_ms(
                    rooms,
                    need,
                    len(unit.members),
                    limit=unit.step.max_per_worker,
                    left_ms=lambda run: self._left_ms(run, now_ms),
                )
                for rooms in together
            ),
            default=float('inf'),
        )
        if near_ms == float('inf'):
            return False
        far_ms = self._remote_factor * unit.expected_ms
        near_worth = unit.worth_after(near_ms + unit.expected_ms)
        # Running far away takes room from others for longer, too.
        return near_worth >= unit.worth_after(far_ms)

    def _left_ms(self, run: room_module.LiveRun, now_ms: int) -> float:
        expected_ms = self._durations.expected_ms(run.record, run.step)
        return availability.remaining_ms(run, expected_ms, now_ms)

    def _make_room(
        self,
        plan: Plan,
        unit: units_module.Unit,
        candidates: list[room_module.WorkerRoom],
        count: int,
        now_ms: int,
        stopping: collections.abc.Container[layout.RunId],
    ) -> bool:
        """Sets room aside for urgent tasks; stops others where needed.

        Returns:
            Whether there will be room for all of them.
        """
        taken = {layout.RunId(stop.key, stop.run) for stop in plan.stops}
        taken |= plan.awaited
        wait_ms = min(unit.latest_ms, unit.due_ms + AWAIT_MS) - now_ms
        for rooms in _near_first(unit, candidates):
            ways = [
                reclaim.free_room(
                    unit,
                    among,
                    count,
                    now_ms=now_ms,
                    wait_ms=wait_ms,
                    stopping=stopping,
                    taken=taken,
                )
                for among in rooms
            ]
            whole = [way for way in ways if way.members == count]
            if not whole and unit.step.gang:
                continue
            best = min(whole or ways, key=lambda way: way.loss)
            gain = unit.worth - unit.waits_worth
            if best.loss > gain and not unit.guaranteed:
                return False
            best.set_aside(room_module.need_of(unit.step))
            plan.stops.extend(best.stops)
            plan.awaited |= best.awaited
            return best.members == count
        return False


def _together(
    unit: units_module.Unit, candidates: list[room_module.WorkerRoom]
) -> list[list[room_module.WorkerRoom]]:
    """Returns sets of workers; a unit runs fast within one of them."""
    near = candidates
    if unit.step.data_rack:
        near = [r for r in candidates if r.rack == unit.step.data_rack]
    if not (unit.step.gang and unit.step.same_rack):
        return [near]
    racks: dict[str, list[room_module.WorkerRoom]] = {}
    for room in near:
        racks.setdefault(room.rack, []).append(room)
    return list(racks.values())


def _near_first(
    unit: units_module.Unit, candidates: list[room_module.WorkerRoom]
) -> list[list[list[room_module.WorkerRoom]]]:
    """Returns sets of workers to try together, the nearest ones first."""
    together = _together(unit, candidates)
    tries = [together]
    if unit.step.data_rack and len(together) > 1:
        tries.append([[room for rooms in together for room in rooms]])
    tries.append([candidates])
    return [rooms for rooms in tries if rooms and rooms[0]]


def _waiting(
    unit: units_module.Unit,
    cause: Cause,
    candidates: list[room_module.WorkerRoom],
) -> Waiting:
    return Waiting(
        cause=cause,
        members=len(unit.members),
        step=unit.step,
        workers=len(candidates),
        guaranteed=unit.guaranteed,
    )


def _may_run(room: room_module.WorkerRoom, unit: units_module.Unit) -> bool:
    label = unit.step.required_label
    return not label or label in room.record.labels


def _spread(
    unit: units_module.Unit,
    candidates: list[room_module.WorkerRoom],
    need: room_module.Amount,
    count: int,
) -> list[room_module.WorkerRoom]:
    """Picks workers for tasks, those that they fill best first."""
    limit = unit.step.max_per_worker
    tasks = layout.group_tasks(unit.record, unit.key.occurrence, unit.key.step)
    placed = collections.Counter(task.worker_id for task in tasks)
    failed_on = _failed_on(unit)
    chosen: list[room_module.WorkerRoom] = []
    ordered = sorted(
        candidates,
        key=lambda room: (
            room.record.worker_id in failed_on,
            room.penalty,
            room.free.accelerators,
            room.free.cpu_milli,
        ),
    )
    for room in ordered:
        free = room.free.copy()
        here = placed[room.record.worker_id]
        while (
            len(chosen) < count
            and free.fits(need)
            and (not limit or here < limit)
        ):
            free.take(need)
            here += 1
            chosen.append(room)
        if len(chosen) == count:
            break
    return chosen


def _failed_on(unit: units_module.Unit) -> set[str]:
    """Returns the workers on which tasks of a unit failed last."""
    tasks = layout.group_tasks(unit.record, unit.key.occurrence, unit.key.step)
    return {task.last_failed_on for task in tasks if task.failures}


def _without_failed(
    unit: units_module.Unit, candidates: list[room_module.WorkerRoom]
) -> list[room_module.WorkerRoom]:
    """Leaves out workers where a unit failed, if most others remain."""
    failed_on = _failed_on(unit)
    if not failed_on:
        return candidates
    others = [r for r in candidates if r.record.worker_id not in failed_on]
    return others if 2 * len(others) > len(candidates) else candidates


def _doubt(rooms: list[room_module.WorkerRoom], failed_on: set[str]) -> float:
    """Returns how much speaks against a choice of workers."""
    return sum(
        room.penalty + (room.record.worker_id in failed_on)
        for room in set(rooms)
    )


def _tightness(rooms: list[room_module.WorkerRoom]) -> int:
    """Returns the free accelerators of the workers that are touched."""
    touched = {id(room): room for room in rooms}
    return sum(room.free.accelerators for room in touched.values())


def _start(
    unit: units_module.Unit,
    index: int,
    room: room_module.WorkerRoom,
    allowed: advice.Approvals | None,
) -> ttypes.RunStart:
    tasks = layout.group_tasks(unit.record, unit.key.occurrence, unit.key.step)
    if unit.step.gang:
        run = max(task.run for task in tasks) + 1
        checkpoint = max(task.checkpoint for task in tasks)
    else:
        run = tasks[index].run + 1
        checkpoint = tasks[index].checkpoint
    ticket = '' if allowed is None else allowed.ticket(room.record)
    return ttypes.RunStart(
        task=layout.task_key(layout.TaskId(*unit.key, index)),
        run=run,
        worker_id=room.record.worker_id,
        incarnation=room.record.incarnation,
        checkpoint=checkpoint if unit.step.checkpointable else '',
        ticket=ticket or '',
    )
