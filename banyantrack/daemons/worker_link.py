"""Orders to one worker that is called, under its lease.

The end of a lease is a time on the worker's own clock, which may be slow.
Nothing that a worker runs is taken to be over before that time has surely
passed, or the worker itself says so.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.core import signals
from banyantrack.generated.workload import ttypes
from banyantrack.workload import layout
from banyantrack.workload import port as port_module

if typing.TYPE_CHECKING:
    import collections.abc

# A worker's clock may be this much slow, as the platform states.
CLOCK_RATE = 0.98
# Besides the lease, for the error of an earlier leader's idea of the clock.
INHERITED_MARGIN_S = 0.5
# Longest time that a renewal waits for an end; progress is seen as often.
HOLD_WAIT_MS = 1000
RETRY_S = 0.15
# A worker that runs nothing is looked at this often, so that one that has
# become silent is known before work is sent there.
IDLE_LOOK_S = 2.0
# Starts that were not answered are sent again this often.
START_TRIES = 3
# After a refusal by an unhealthy worker, others are preferred this long.
UNHEALTHY_S = 5.0
_LOG = logging.getLogger(__name__)
End = ttypes.EndKind
Reason = port_module.Reason


class Owner(typing.Protocol):
    """What a link needs of the leader that opened it."""

    @property
    def token(self) -> int:
        """Fencing token."""

    def leads(self) -> bool:
        """Whether no other leader can have been elected."""

    async def record_ends(self, ends: list[ttypes.RunEnd]) -> bool:
        """Records ends; returns whether they are agreed."""

    async def fenced(self, worker_id: str) -> None:
        """Notes that a worker knows a higher token."""

    async def replaced(self, worker: ttypes.WorkerRecord) -> None:
        """Notes that a worker's address belongs to another one now."""

    def silent(self, worker: ttypes.WorkerRecord) -> None:
        """Notes that a worker has stopped answering."""

    async def changed(self) -> None:
        """Starts a round of planning soon."""

    def live_runs(
        self, worker_id: str, incarnation: int
    ) -> list[tuple[layout.TaskId, ttypes.TaskRecord]]:
        """Returns the runs that may be alive on a worker."""

    def spec_of(self, job_id: str) -> str | None:
        """Returns what the tasks of a job are told."""

    def current(self, start: ttypes.RunStart) -> bool:
        """Whether a run is still wanted."""

    def progress(self, worker_id: str, held: port_module.Held) -> None:
        """Takes in what a worker says of its runs."""


@dataclasses.dataclass(slots=True)
class _Order:
    """A start or stop that waits to be sent."""

    start: ttypes.RunStart | None = None
    stop: tuple[layout.TaskId, int] | None = None
    pace: tuple[layout.TaskId, int, int] | None = None


class WorkerLink:
    """One incarnation of a worker, during one time of leadership.

    Args:
        record: The worker.
        port: Orders to it.
        owner: The leader.
        lease_ms: Longest lease that workers grant.
    """

    def __init__(
        self,
        record: ttypes.WorkerRecord,
        port: port_module.WorkerPort,
        owner: Owner,
        *,
        lease_ms: int,
    ) -> None:
        self._record = record
        self._port = port
        self._owner = owner
        self._lease_ms = lease_ms
        self._orders: collections.deque[_Order] = collections.deque()
        self._ordered = signals.Signal()
        self._wake = signals.Signal()
        self._noted = 0
        self._reconciled = False
        self._clock_ms: int | None = None
        self._clock_at_s = 0.0
        self._until_ms = 0
        self._asked_ms: list[int] = []
        self._answered = True
        self._opened_s = clock.steady_s()
        self._unhealthy_until_s = float('-inf')
        self._fenced: dict[layout.RunId, float] = {}
        self._unanswered: set[layout.RunId] = set()
        self._confirmed: dict[layout.RunId, float] = {}
        self._stopping: set[layout.RunId] = set()
        self._sent: set[layout.RunId] = set()
        self._checkpoints: dict[layout.TaskId, str] = {}
        self._tasks: list[curio.Task] = []
        self._closed = False

    @property
    def record(self) -> ttypes.WorkerRecord:
        """The worker."""
        return self._record

    @property
    def stopping(self) -> frozenset[layout.RunId]:
        """Runs that are being stopped."""
        return frozenset(self._stopping)

    @property
    def usable(self) -> bool:
        """Whether new runs may be sent now."""
        return (
            self._reconciled
            and self._answered
            and self._clock_ms is not None
            and clock.steady_s() >= self._unhealthy_until_s
        )

    def knows(self, key: layout.TaskId, run: int) -> bool:
        """Whether a run was sent, or is yet to be found on the worker."""
        return (
            not self._reconciled
            or (key, run) in self._sent
            or (key, run) in self._confirmed
            or (key, run) in self._stopping
        )

    def may_have_reached_another(self, key: layout.TaskId, run: int) -> bool:
        """Whether a later incarnation may have carried out a run's start.

        It answers at the same address, and under the same id.
        """
        return (key, run) in self._sent and (key, run) not in self._confirmed

    def is_confirmed(self, key: layout.TaskId, run: int) -> bool:
        """Whether the worker said that a run has started."""
        return (key, run) in self._confirmed

    def checkpoint(self, key: layout.TaskId) -> str:
        """Returns the latest checkpoint seen of a task, or an empty one."""
        return self._checkpoints.get(key, '')

    async def open(self) -> None:
        """Starts to hold the worker and to send orders."""
        for work in (self._hold_loop, self._order_loop):
            self._tasks.append(await curio.spawn(work, daemon=True))

    async def close(self) -> None:
        """Ends the link."""
        self._closed = True
        for task in self._tasks:
            await task.cancel(blocking=False)
        await self._port.close()

    def note_clock(self, clock_ms: int | None) -> None:
        """Takes in the worker's clock from any answer or report."""
        if clock_ms is None:
            return
        now_s = clock.steady_s()
        if self._clock_ms is None or clock_ms >= self._now_there_ms():
            self._clock_ms = clock_ms
            self._clock_at_s = now_s

    async def start(self, start: ttypes.RunStart) -> None:
        """Sends a run that was recorded."""
        self._sent.add((layout.task_id(start.task), start.run))
        await self._order(_Order(start=start))

    async def stop(self, key: layout.TaskId, run: int) -> None:
        """Stops a run; does nothing if that is under way."""
        if (key, run) in self._stopping:
            return
        self._stopping.add(layout.RunId(key, run))
        await self._order(_Order(stop=(key, run)))

    async def pace(self, key: layout.TaskId, run: int, percent: int) -> None:
        """Lets a run work at a share of its speed."""
        await self._order(_Order(pace=(key, run, percent)))

    async def wake(self) -> None:
        """Makes the link look whether the worker runs anything."""
        await self._wake.notify()

    def _live_runs(self) -> list[tuple[layout.TaskId, ttypes.TaskRecord]]:
        return self._owner.live_runs(
            self._record.worker_id, self._record.incarnation
        )

    async def _order(self, order: _Order) -> None:
        self._orders.append(order)
        await self._ordered.notify()

    # The worker's clock and lease.

    def _now_there_ms(self) -> int:
        """Returns the least that the worker's clock shows now."""
        passed_s = clock.steady_s() - self._clock_at_s
        return self._clock_ms + int(passed_s * 1000 * CLOCK_RATE)

    def _next_until_ms(self) -> int:
        """Returns the end of a lease that is asked for now."""
        passed_s = clock.steady_s() - self._clock_at_s
        until_ms = self._clock_ms + int(passed_s * 1000) + self._lease_ms
        return max(self._until_ms, until_ms)

    @contextlib.contextmanager
    def _asking(self, until_ms: int) -> collections.abc.Iterator[None]:
        """Takes note of the end of a lease that is asked for within.

        It counts while the order is under way and afterwards, unless nothing
        of the order was sent.
        """
        self._asked_ms.append(until_ms)
        sent = True
        try:
            yield
        except port_module.NoAnswerError as error:
            sent = error.sent
            raise
        finally:
            self._asked_ms.remove(until_ms)
            if sent:
                self._until_ms = max(self._until_ms, until_ms)

    def _surely_lapsed(self) -> bool:
        """Whether nothing that was started before can be alive.

        Orders carry the end of the lease as a time on the worker's clock, so
        one that is carried out late lets nothing run beyond it.
        """
        # An earlier leader may have renewed the lease until we were elected.
        inherited_s = (
            self._opened_s
            + self._lease_ms / 1000 / CLOCK_RATE
            + INHERITED_MARGIN_S
        )
        if not self._reconciled and clock.steady_s() < inherited_s:
            return False
        latest_ms = max(self._until_ms, *self._asked_ms, 0)
        return self._clock_ms is None or self._now_there_ms() > latest_ms

    # Holding the worker.

    async def _hold_loop(self) -> None:
        while not self._closed:
            if (
                self._reconciled
                and not self._stopping
                and not self._live_runs()
            ):
                self._forget()
                if await self._wake.wait_for(IDLE_LOOK_S):
                    continue
            if not self._owner.leads():
                await curio.sleep(RETRY_S)
                continue
            try:
                await self._hold_once()
            except port_module.NoAnswerError as error:
                await self._note_silence(error)
                await curio.sleep(RETRY_S)

    async def _hold_once(self) -> None:
        sent_s = clock.steady_s()
        wait_ms = HOLD_WAIT_MS if self._reconciled and self._answered else 0
        if self._stopping or self._fenced:
            wait_ms = min(wait_ms, 100)
        if self._clock_ms is not None and self._answered:
            until_ms = self._next_until_ms()
            with self._asking(until_ms):
                held = await self._hold(until_ms, wait_ms)
        else:
            # What was asked in vain may still be carried out, so a silent
            # worker is not asked for more.
            held = await self._hold(self._until_ms or None, wait_ms)
        self.note_clock(held.clock_ms)
        if held.reason is Reason.FENCED:
            await self._owner.fenced(self._record.worker_id)
            await curio.sleep(RETRY_S)
            return
        if held.reason is Reason.REPLACED:
            await self._owner.replaced(self._record)
            await curio.sleep(RETRY_S)
            return
        if held.reason is not Reason.DONE:
            logs.event(
                _LOG,
                'hold_refused',
                level=logging.WARNING,
                worker=self._record.worker_id,
                reason=held.reason.value,
            )
            await self._note_silence(
                port_module.NoAnswerError(held.reason.value)
            )
            await curio.sleep(RETRY_S)
            return
        if not self._answered:
            logs.event(_LOG, 'worker_regained', worker=self._record.worker_id)
            self._answered = True
            await self._owner.changed()
        await self._take_in(held, sent_s)

    async def _hold(
        self, until_ms: int | None, wait_ms: int
    ) -> port_module.Held:
        return await self._port.hold(
            token=self._owner.token,
            noted=self._noted,
            until_ms=until_ms,
            wait_ms=wait_ms,
        )

    async def _take_in(self, held: port_module.Held, sent_s: float) -> None:
        first = not self._reconciled
        for running in held.running:
            if running.checkpoint:
                self._checkpoints[running.key] = running.checkpoint
        self._owner.progress(self._record.worker_id, held)
        ends = [self._end(ended) for ended in held.ended]
        listed = {(r.key, r.run) for r in held.running}
        listed |= {(e.key, e.run) for e in held.ended}
        known = set()
        for key, task in self._live_runs():
            run = (key, task.run)
            known.add(run)
            if run in listed:
                self._confirmed.setdefault(run, sent_s)
            elif self._surely_absent(run, sent_s, first):
                ends.append(self._gone(key, task.run, End.NEVER))
        for running in held.running:
            run = (running.key, running.run)
            if run not in known and run not in self._stopping:
                logs.event(
                    _LOG,
                    'unknown_run',
                    level=logging.WARNING,
                    worker=self._record.worker_id,
                    task='.'.join(map(str, running.key)),
                    run=running.run,
                )
                await self.stop(*run)
        if ends and not await self._owner.record_ends(ends):
            # The worker lists them again.
            await curio.sleep(RETRY_S)
            return
        numbers = [ended.number for ended in held.ended]
        self._noted = max(numbers, default=self._noted)
        for end in ends:
            run = (layout.task_id(end.task), end.run)
            self._drop(run)
        for run in list(self._stopping):
            fenced_s = self._fenced.get(run)
            settled = fenced_s is not None and fenced_s < sent_s
            if settled and run not in known and run not in listed:
                self._drop(run)
        self._reconciled = True
        if ends or first:
            await self._owner.changed()

    def _drop(self, run: layout.RunId) -> None:
        self._stopping.discard(run)
        self._sent.discard(run)
        self._fenced.pop(run, None)
        self._unanswered.discard(run)
        self._confirmed.pop(run, None)

    def _surely_absent(
        self, run: layout.RunId, sent_s: float, first: bool
    ) -> bool:
        """Whether a run that a worker does not list never will be.

        An earlier leader's order is fenced by our first renewal. One of our
        own is when it was answered, or a stop for it was, before the list
        was asked for.
        """
        if first:
            return run not in self._unanswered
        fenced_s = self._fenced.get(run)
        if fenced_s is not None and fenced_s < sent_s:
            return True
        confirmed_s = self._confirmed.get(run)
        return confirmed_s is not None and confirmed_s < sent_s

    def _end(self, ended: port_module.EndedTask) -> ttypes.RunEnd:
        checkpoint = ended.checkpoint or self.checkpoint(ended.key)
        return ttypes.RunEnd(
            task=layout.task_key(ended.key),
            run=ended.run,
            worker_id=self._record.worker_id,
            incarnation=self._record.incarnation,
            kind=ended.kind,
            checkpoint=checkpoint,
        )

    def _gone(self, key: layout.TaskId, run: int, kind: int) -> ttypes.RunEnd:
        return ttypes.RunEnd(
            task=layout.task_key(key),
            run=run,
            worker_id=self._record.worker_id,
            incarnation=self._record.incarnation,
            kind=kind,
            checkpoint=self.checkpoint(key),
        )

    def _forget(self) -> None:
        self._checkpoints.clear()
        self._confirmed.clear()

    async def _note_silence(self, error: port_module.NoAnswerError) -> None:
        if self._answered:
            logs.event(
                _LOG,
                'worker_silent',
                level=logging.WARNING,
                worker=self._record.worker_id,
                error=error,
            )
            self._owner.silent(self._record)
        self._answered = False
        if not self._surely_lapsed():
            return
        lost = self._live_runs()
        if not lost:
            return
        logs.event(
            _LOG,
            'worker_lapsed',
            level=logging.WARNING,
            worker=self._record.worker_id,
            runs=len(lost),
        )
        ends = [self._gone(key, task.run, End.LOST) for key, task in lost]
        if await self._owner.record_ends(ends):
            for key, task in lost:
                self._drop((key, task.run))
            await self._owner.changed()

    # Orders.

    async def _order_loop(self) -> None:
        while not self._closed:
            if not self._orders:
                await self._ordered.wait()
                continue
            if not self._owner.leads():
                await curio.sleep(RETRY_S)
                continue
            order = self._orders.popleft()
            if order.start is not None:
                await self._send_start(order.start)
            elif order.stop is not None:
                await self._send_stop(*order.stop)
            elif order.pace is not None:
                await self._send_pace(*order.pace)

    async def _send_start(self, start: ttypes.RunStart) -> None:
        key = layout.task_id(start.task)
        run = (key, start.run)
        spec = self._owner.spec_of(start.task.job_id)
        if spec is None or not self._owner.current(start):
            await self._reject(run, 'no longer wanted')
            return
        # Further tries ask for no more, as long as none is answered.
        until_ms = self._next_until_ms()
        for _ in range(START_TRIES):
            if run in self._stopping or not self._owner.leads():
                break
            if not self._answered and run not in self._unanswered:
                break
            try:
                with self._asking(until_ms):
                    ordered = await self._port.start(
                        start,
                        spec,
                        token=self._owner.token,
                        until_ms=until_ms,
                    )
            except port_module.NoAnswerError as error:
                if error.sent:
                    self._unanswered.add(run)
                logs.event(
                    _LOG,
                    'start_unanswered',
                    level=logging.WARNING,
                    worker=self._record.worker_id,
                    task='.'.join(map(str, key)),
                    run=start.run,
                    sent=error.sent,
                    error=error,
                )
                # The list of runs tells sooner whether the worker is there.
                await self._wake.notify()
                await curio.sleep(RETRY_S)
                continue
            await self._note_start(run, ordered)
            return
        if run not in self._unanswered:
            if self._answered:
                # Its address refuses connections; others are preferred.
                self._unhealthy_until_s = clock.steady_s() + UNHEALTHY_S
            await self._reject(run, 'never sent')
        elif run not in self._stopping:
            await self.stop(*run)

    async def _note_start(
        self, run: layout.RunId, ordered: port_module.Ordered
    ) -> None:
        self.note_clock(ordered.clock_ms)
        logs.event(
            _LOG,
            'run_started' if ordered.reason is Reason.DONE else 'run_refused',
            worker=self._record.worker_id,
            task='.'.join(map(str, run[0])),
            run=run[1],
            reason=ordered.reason.value,
        )
        if ordered.reason is Reason.DONE:
            self._unanswered.discard(run)
            self._confirmed[run] = clock.steady_s()
            await self._wake.notify()
            return
        if ordered.reason is Reason.FENCED:
            await self._owner.fenced(self._record.worker_id)
            return
        if ordered.reason is Reason.OTHER_INCARNATION:
            # It may run there; the link to that incarnation finds out.
            self._answered = False
            return
        if ordered.reason is Reason.REPLACED:
            await self._owner.replaced(self._record)
            return
        if ordered.reason is Reason.UNHEALTHY:
            self._unhealthy_until_s = clock.steady_s() + UNHEALTHY_S
        if run in self._unanswered:
            # An earlier try may still be carried out.
            await self.stop(*run)
            return
        await self._reject(run, ordered.reason.value)

    async def _reject(self, run: layout.RunId, reason: str) -> None:
        """Records that a run never began."""
        logs.event(
            _LOG,
            'run_never_began',
            worker=self._record.worker_id,
            task='.'.join(map(str, run[0])),
            run=run[1],
            reason=reason,
        )
        if await self._owner.record_ends([self._gone(*run, End.NEVER)]):
            self._drop(run)
        else:
            # The worker's list tells again, once a stop has fenced the run.
            await self.stop(*run)
        await self._owner.changed()

    async def _send_stop(self, key: layout.TaskId, run: int) -> None:
        while not self._closed and (key, run) in self._stopping:
            if not self._owner.leads():
                await curio.sleep(RETRY_S)
                continue
            try:
                ordered = await self._port.stop(
                    key, run, token=self._owner.token
                )
            except port_module.NoAnswerError:
                await curio.sleep(RETRY_S)
                continue
            self.note_clock(ordered.clock_ms)
            if ordered.reason is Reason.FENCED:
                await self._owner.fenced(self._record.worker_id)
            self._fenced[(key, run)] = clock.steady_s()
            await self._wake.notify()
            return

    async def _send_pace(
        self, key: layout.TaskId, run: int, percent: int
    ) -> None:
        try:
            ordered = await self._port.pace(
                key, run, percent, token=self._owner.token
            )
        except port_module.NoAnswerError:
            await curio.sleep(RETRY_S)
            await self.pace(key, run, percent)
            return
        self.note_clock(ordered.clock_ms)
