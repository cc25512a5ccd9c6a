"""Which runs to stop so that urgent tasks have room.

Answers bursts of urgent jobs on workers that less urgent work has filled:
the runs whose end throws away least are stopped, and the room is set aside
until the urgent tasks start.
"""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.workload import layout
from banyantrack.workload import room as room_module
from banyantrack.workload import values

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import units as units_module

# An accelerator counts as this many processors of thrown away work.
PROCESSORS_PER_ACCELERATOR = 8
# Work that a checkpoint does not hold yet, in milliseconds, at the most.
UNSAVED_MS = 1000
# Time that stopping and starting again takes, besides lost work.
RESTART_MS = 300


@dataclasses.dataclass(slots=True)
class Stop:
    """A run to stop, and why."""

    key: layout.TaskId
    run: int
    worker_id: str
    reason: str


@dataclasses.dataclass(slots=True)
class Way:
    """One way to have room for the tasks of a unit.

    Attributes:
        members: Tasks that there will be room for.
        loss: Worth of the work that is thrown away.
        stops: Runs to stop.
        rooms: The worker of each task.
        freed: Worker and amount that each end frees.
        awaited: Runs that will have ended soon enough by themselves.
    """

    members: int = 0
    loss: float = 0.0
    stops: list[Stop] = dataclasses.field(default_factory=list)
    rooms: list[room_module.WorkerRoom] = dataclasses.field(
        default_factory=list
    )
    freed: list[tuple[room_module.WorkerRoom, room_module.Amount]] = (
        dataclasses.field(default_factory=list)
    )
    awaited: set[layout.RunId] = dataclasses.field(default_factory=set)

    def set_aside(self, need: room_module.Amount) -> None:
        """Keeps the room for the tasks for the rest of a round."""
        for room, amount in self.freed:
            room.later.add(amount)
        for room in self.rooms:
            room.place(need)


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    """Room for one task on a worker, and what it costs."""

    loss: float
    victims: list[room_module.LiveRun]


def free_room(
    unit: units_module.Unit,
    candidates: collections.abc.Sequence[room_module.WorkerRoom],
    count: int,
    *,
    now_ms: int,
    wait_ms: float,
    stopping: collections.abc.Container[layout.RunId],
    taken: collections.abc.Container[layout.RunId],
) -> Way:
    """Finds a cheap way to have room for tasks among some workers.

    Args:
        unit: The unit that the tasks belong to.
        candidates: Workers that may run them.
        count: Number of tasks.
        now_ms: Time of day.
        wait_ms: How long the tasks may wait for runs that end by themselves.
        stopping: Runs that are being stopped.
        taken: Runs whose room this round has set aside already.
    """
    way = Way()
    need = room_module.need_of(unit.step)
    later = {id(room): room.later.copy() for room in candidates}
    by_id = {room.record.worker_id: room for room in candidates}
    stopped: set[layout.RunId] = set()
    awaited = _awaited(candidates, wait_ms, stopping, taken)
    for room, runs in awaited.items():
        for run in runs:
            later[id(room)].add(room_module.need_of(run.step))
            stopped.add(layout.RunId(run.key, run.task.run))
    limit = unit.step.max_per_worker
    offers: dict[room_module.WorkerRoom, _Offer] = {}
    changed = set(candidates)
    while way.members < count:
        for room in changed:
            offers.pop(room, None)
            if limit and way.rooms.count(room) >= limit:
                continue
            victims = _victims(
                room,
                unit,
                later[id(room)],
                need,
                now_ms,
                lambda run_id: (
                    run_id in taken or run_id in stopping or run_id in stopped
                ),
            )
            if victims is not None:
                # Among equal ones, the worker that is fullest afterwards.
                loss = _loss(victims, now_ms)
                loss += 1e-6 * later[id(room)].accelerators
                offers[room] = _Offer(loss, victims)
        if not offers:
            break
        room = min(offers, key=lambda r: (offers[r].loss, r.record.worker_id))
        changed = {room}
        way.loss += offers[room].loss
        for run in offers[room].victims:
            for member in with_gang(run):
                run_id = layout.RunId(member.key, member.task.run)
                if run_id in stopped:
                    continue
                stopped.add(run_id)
                way.stops.append(
                    Stop(
                        member.key,
                        member.task.run,
                        member.task.worker_id,
                        f'room for {unit.record.job.job_id}',
                    )
                )
                holder = by_id.get(member.task.worker_id)
                if holder is not None:
                    changed.add(holder)
                    amount = room_module.need_of(member.step)
                    later[id(holder)].add(amount)
                    way.freed.append((holder, amount))
        later[id(room)].take(need)
        way.rooms.append(room)
        way.members += 1
    for room in set(way.rooms):
        for run in awaited.get(room, ()):
            way.awaited.add(layout.RunId(run.key, run.task.run))
            way.freed.append((room, room_module.need_of(run.step)))
    return way


def _awaited(
    candidates: collections.abc.Sequence[room_module.WorkerRoom],
    wait_ms: float,
    stopping: collections.abc.Container[layout.RunId],
    taken: collections.abc.Container[layout.RunId],
) -> dict[room_module.WorkerRoom, list[room_module.LiveRun]]:
    """Returns, by worker, runs that will have ended within a time."""
    found: dict[room_module.WorkerRoom, list[room_module.LiveRun]] = {}
    for room in candidates:
        for run in room.runs:
            run_id = layout.RunId(run.key, run.task.run)
            if (
                run.remaining_ms is not None
                and run.remaining_ms <= wait_ms
                and run_id not in stopping
                and run_id not in taken
            ):
                found.setdefault(room, []).append(run)
    return found


def _victims(
    room: room_module.WorkerRoom,
    unit: units_module.Unit,
    later: room_module.Amount,
    need: room_module.Amount,
    now_ms: int,
    ending: collections.abc.Callable[[layout.RunId], bool],
) -> list[room_module.LiveRun] | None:
    """Returns the runs whose end makes room for one task, or None."""
    if later.fits(need):
        return []
    left = later.copy()
    victims: list[room_module.LiveRun] = []
    for run in sorted(room.runs, key=lambda r: _loss_each(r, now_ms)):
        if ending(layout.RunId(run.key, run.task.run)):
            continue
        if not _may_stop(run, unit):
            continue
        victims.append(run)
        left.add(room_module.need_of(run.step))
        if left.fits(need):
            return _needed(victims, later, need)
    return None


def _needed(
    victims: list[room_module.LiveRun],
    later: room_module.Amount,
    need: room_module.Amount,
) -> list[room_module.LiveRun]:
    """Leaves out victims without whom there is room enough, too."""
    kept = list(victims)
    # Those that throw away most were found last.
    for run in reversed(victims):
        others = [other for other in kept if other is not run]
        left = later.copy()
        for other in others:
            left.add(room_module.need_of(other.step))
        if left.fits(need):
            kept = others
    return kept


def _may_stop(run: room_module.LiveRun, unit: units_module.Unit) -> bool:
    if run.step.may_miss:
        return False
    if run.record.queue.priority > unit.priority:
        return unit.guaranteed or not run.step.long_running
    return unit.guaranteed and not run.guaranteed


def with_gang(run: room_module.LiveRun) -> list[room_module.LiveRun]:
    """Returns the runs that end with one: all of its gang."""
    if not run.step.gang:
        return [run]
    group = run.key.group
    tasks = layout.group_tasks(run.record, group.occurrence, group.step)
    return [
        room_module.LiveRun(
            layout.TaskId(*group, index),
            run.record,
            run.step,
            task,
            run.guaranteed,
        )
        for index, task in enumerate(tasks)
        if task.worker_id
    ]


def _loss_each(run: room_module.LiveRun, now_ms: int) -> float:
    """Returns what stopping a run throws away for each accelerator."""
    return _loss([run], now_ms) / max(run.step.accelerators, 1)


def _loss(victims: list[room_module.LiveRun], now_ms: int) -> float:
    """Returns what the work that is thrown away with runs was worth.

    All members of a gang count, once.
    """
    lost = 0.0
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
            ran_ms = min(ran_ms, UNSAVED_MS)
        width = (
            PROCESSORS_PER_ACCELERATOR * run.step.accelerators
            + run.step.cpu_milli / 1000
        )
        lost += members * width * (ran_ms + RESTART_MS) / 1000
    return lost * values.LOSS_PER_PROCESSOR_S
