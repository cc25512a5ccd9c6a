"""Sends orders to one worker under a lease and follows its runs.

A worker stops its runs when its lease ends. That end is a time on the
worker's own clock, which may be slow. A run is recorded as ended only once
that time has certainly passed or the worker has reported the end.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import logging
import types
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.core import signals
from banyantrack.generated.workload import ttypes
from banyantrack.workload import crashes
from banyantrack.workload import layout
from banyantrack.workload import worker_client

if typing.TYPE_CHECKING:
    import collections.abc

# Slowest rate of a worker's clock, relative to ours, that the platform allows.
MIN_CLOCK_RATE = 0.98
# Added to the lease that a previous leader may have renewed, since that
# leader's estimate of the worker's clock may have been off.
PREVIOUS_LEADER_MARGIN_S = 0.5
# Longest time that a worker may delay the answer to a renewal until a run
# ends. The answer also carries the progress of runs.
HOLD_WAIT_MS = 1000
RETRY_DELAY_S = 0.15
# Longest delay before a loop that an unexpected error has ended runs again.
MAX_FAILURE_DELAY_S = 5.0
# Interval at which the lease of an idle worker is renewed, so that a silent
# worker is detected before runs are placed on it. In a large fleet it is
# longer, so that all idle workers together take at most this many renewals.
IDLE_HOLD_INTERVAL_S = 2.0
IDLE_HOLDS_PER_S = 300
# A worker that has answered within this time is not checked before a start.
RECENT_ANSWER_S = 0.3
# Attempts to send a start that is not answered.
START_ATTEMPTS = 3
# Longest time after which an order without an answer is still carried out.
LATE_ORDER_S = 12.0
# An unhealthy worker, or one that refuses connections, gets no new runs for
# this long.
UNHEALTHY_PERIOD_S = 5.0
_LOG = logging.getLogger(__name__)
End = ttypes.EndKind
OrderOutcome = worker_client.OrderOutcome


class Owner(typing.Protocol):
    """Interface of the leader that opened a link."""

    @property
    def token(self) -> int:
        """Fencing token."""

    @property
    def worker_count(self) -> int:
        """Number of workers that the leader has links to."""

    def leads(self) -> bool:
        """Whether no other leader can have been elected."""

    async def record_ends(self, ends: list[ttypes.RunEnd]) -> bool:
        """Records ends of runs; returns whether they are committed."""

    async def on_fenced(self, worker_id: str) -> None:
        """Called when a worker has seen a higher fencing token."""

    async def on_replaced(self, worker: ttypes.WorkerRecord) -> None:
        """Called when another worker has a worker's address."""

    async def on_superseded(
        self, worker: ttypes.WorkerRecord, incarnation: int
    ) -> None:
        """Called when another incarnation answers at a worker's address."""

    def on_silent(self, worker: ttypes.WorkerRecord) -> None:
        """Called when a worker stops answering."""

    def on_lapsed(self, worker: ttypes.WorkerRecord) -> None:
        """Called when the lease of a silent worker with runs has lapsed."""

    async def request_round(self) -> None:
        """Requests a planning round."""

    def live_runs(
        self, worker_id: str, incarnation: int
    ) -> list[tuple[layout.TaskId, ttypes.TaskRecord]]:
        """Returns the runs that may be alive on a worker."""

    def job_spec(self, job_id: str) -> str | None:
        """Returns the task specification of a job, or None."""

    def is_current(self, start: ttypes.RunStart) -> bool:
        """Whether a start is still that of the task's current run."""

    def on_progress(
        self, worker_id: str, lease_reply: worker_client.LeaseReply
    ) -> None:
        """Called with each list of runs that a worker answers."""


@dataclasses.dataclass(slots=True)
class _Order:
    """A pending order; exactly one attribute is set.

    Attributes:
        start: Run to start.
        stop: Task and run to stop.
        pace: Task, run and pace in percent of full speed.
        check: Whether to ask only if the worker answers.
    """

    start: ttypes.RunStart | None = None
    stop: tuple[layout.TaskId, int] | None = None
    pace: tuple[layout.TaskId, int, int] | None = None
    check: bool = False


class WorkerLink:
    """Link to one incarnation of a worker, during one leadership term.

    A hold is a call that renews the worker's lease and returns its running
    and ended runs. The first complete list of a link reconciles the recorded
    runs with those that the worker lists.

    Invariant: a run that a list lacks has ended or will never begin only if
    the list is complete. A worker lists a limited number of ends at a time.

    Invariant: an order counts as carried out only on the answer that says so.
    A worker that refuses an order has done nothing, so a stop that it refuses
    neither ends the run nor prevents its start, and is sent again.

    Invariant: a start counts as carried out by this incarnation on its answer
    to that attempt or on its list, and as never to be carried out once this
    incarnation has answered a stop of the run. An attempt without an answer
    may be carried out for `LATE_ORDER_S`, also by the next incarnation, which
    has not heard of the stop. So such attempts are passed on from link to
    link, and each incarnation is ordered to stop these runs before it gets
    work, as soon as it answers for the former one.

    Args:
        record: The worker.
        client: Sends orders to the worker.
        owner: The leader.
        lease_ms: Longest lease that workers grant.
        open_starts_s: Steady times of starts that were sent to an earlier
            incarnation at the same address and not answered.
    """

    def __init__(
        self,
        record: ttypes.WorkerRecord,
        client: worker_client.WorkerClient,
        owner: Owner,
        *,
        lease_ms: int,
        open_starts_s: collections.abc.Mapping[layout.RunId, float] = (
            types.MappingProxyType({})
        ),
    ) -> None:
        self._record = record
        self._client = client
        self._owner = owner
        self._lease_ms = lease_ms
        self._orders: collections.deque[_Order] = collections.deque()
        # Order that is being sent.
        self._current_order: _Order | None = None
        self._order_signal = signals.Signal()
        self._hold_signal = signals.Signal()
        # Number of the last end in the worker's list that is recorded.
        self._last_end_recorded = 0
        self._reconciled = False
        # Last reading of the worker's clock, and the steady time of it.
        self._clock_ms: int | None = None
        self._clock_at_s = 0.0
        # Lease ends, on the worker's clock: the latest that may have been
        # granted, and those of orders without an answer yet.
        self._lease_end_ms = 0
        self._pending_lease_ends_ms: list[int] = []
        self._responsive = True
        # Steady time of the last answer to an order or a renewal.
        self._answered_at_s = float('-inf')
        self._check_queued = False
        # Whether a check or a start was not answered, and nothing since.
        self._unanswered = False
        self._contact_loss: crashes.ContactLoss | None = None
        self._opened_at_s = clock.steady_s()
        self._unhealthy_until_s = float('-inf')
        # Steady time at which the worker said that it has carried out a stop
        # of the run.
        self._stop_answered_s: dict[layout.RunId, float] = {}
        self._unanswered_starts: set[layout.RunId] = set()
        # Run whose start is on its way.
        self._sending: layout.RunId | None = None
        # Steady time of the last attempt to start the run that was not
        # answered.
        self._open_starts_s = dict(open_starts_s)
        # Runs that are not recorded here, or as lost, whose start may still
        # be carried out.
        self._lost_starts: set[layout.RunId] = set()
        # Runs that the worker lists, though none is recorded there.
        self._unrecorded: set[layout.RunId] = set()
        # Steady time at which the run was confirmed as started.
        self._confirmed: dict[layout.RunId, float] = {}
        # Confirmed runs that this leader has not started.
        self._inherited: set[layout.RunId] = set()
        # Pace of the run that was ordered last, in percent of full speed.
        self._paces: dict[layout.RunId, int] = {}
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
        """Whether new runs may be sent to the worker now."""
        return (
            self._reconciled
            and self._responsive
            and not self._unanswered
            # They use the worker's capacity until they have stopped.
            and not self._unrecorded
            and not self._lost_starts
            and self._clock_ms is not None
            and clock.steady_s() >= self._unhealthy_until_s
        )

    @property
    def contact_loss(self) -> crashes.ContactLoss | None:
        """Calls that were not answered since the last answer, or None."""
        return self._contact_loss

    @property
    def answered_recently(self) -> bool:
        """Whether a start can be sent without a check of the worker."""
        return clock.steady_s() - self._answered_at_s < RECENT_ANSWER_S

    def is_tracked(self, key: layout.TaskId, run: int) -> bool:
        """Whether a run needs no start order.

        It was sent one or is being stopped, or the worker has not listed its
        runs yet.
        """
        return (
            not self._reconciled
            or (key, run) in self._sent
            or (key, run) in self._confirmed
            or (key, run) in self._stopping
        )

    def may_start_on_next(self, key: layout.TaskId, run: int) -> bool:
        """Whether the next incarnation may carry out a run's start.

        The next incarnation has the same address and worker id. It may carry
        out any attempt that was not answered. An earlier leader may have sent
        others.
        """
        run_id = layout.RunId(key, run)
        return (
            not self._reconciled
            or run_id in self._inherited
            or run_id == self._sending
            or run_id in self.open_starts_s
        )

    @property
    def open_starts_s(self) -> dict[layout.RunId, float]:
        """Steady times of unanswered starts that may still be carried out."""
        since_s = clock.steady_s() - LATE_ORDER_S
        return {
            run: at_s
            for run, at_s in self._open_starts_s.items()
            if at_s >= since_s
        }

    def is_confirmed(self, key: layout.TaskId, run: int) -> bool:
        """Whether the worker has answered that a run started."""
        return (key, run) in self._confirmed

    def may_have_begun(self, key: layout.TaskId, run: int) -> bool:
        """Whether a run has started, or its start may be carried out."""
        run_id = (key, run)
        return (
            run_id in self._confirmed
            or run_id in self._unanswered_starts
            or run_id == self._sending
        )

    @property
    def was_reached(self) -> bool:
        """Whether the worker has listed its runs to this leader."""
        return self._reconciled

    def started_at_s(self, key: layout.TaskId, run: int) -> float | None:
        """Returns the steady time of a run's start; None if not confirmed.

        It is minus infinity for a run that an earlier leader had started.
        """
        if (key, run) in self._inherited:
            return float('-inf')
        return self._confirmed.get((key, run))

    def checkpoint(self, key: layout.TaskId) -> str:
        """Returns the latest checkpoint of a task; empty if none is known."""
        return self._checkpoints.get(key, '')

    async def open(self) -> None:
        """Starts to renew the worker's lease and to send orders."""
        for run in self._open_starts_s:
            self._lost_starts.add(run)
            await self.stop(*run)
        for work in (self._hold_loop, self._order_loop):
            self._tasks.append(
                await curio.spawn(self._supervise, work, daemon=True)
            )

    async def close(self) -> None:
        """Ends the link."""
        self._closed = True
        for task in self._tasks:
            await task.cancel()
        # No task waits for the connection any more.
        await self._client.close()

    def _note_clock(self, clock_ms: int | None) -> None:
        """Updates the estimate of the worker's clock from an answer.

        Args:
            clock_ms: The worker's clock; None if the answer has none.
        """
        if clock_ms is None:
            return
        now_s = clock.steady_s()
        if self._clock_ms is None or clock_ms >= self._min_worker_clock_ms():
            self._clock_ms = clock_ms
            self._clock_at_s = now_s

    async def start(self, start: ttypes.RunStart) -> None:
        """Queues a start of a run that has been recorded."""
        self._sent.add((layout.task_id(start.task), start.run))
        await self._order(_Order(start=start))

    async def stop(self, key: layout.TaskId, run: int) -> None:
        """Queues a stop of a run, unless it is being stopped already."""
        if (key, run) in self._stopping:
            return
        self._stopping.add(layout.RunId(key, run))
        await self._order(_Order(stop=(key, run)))

    def give_up(self, run: layout.RunId) -> bool:
        """Counts a run that is being stopped as lost, if its lease lapsed.

        Returns:
            Whether the run has ended with the lease of a silent worker.
        """
        if self._responsive or not self._lease_has_lapsed():
            return False
        self._lost_starts.add(run)
        return True

    async def pace(self, key: layout.TaskId, run: int, percent: int) -> None:
        """Queues a change of pace, in percent of full speed."""
        self._paces[layout.RunId(key, run)] = percent
        await self._order(_Order(pace=(key, run, percent)))

    async def check(self) -> None:
        """Queues a check whether the worker answers, unless one is queued.

        A planning round is requested when the outcome is known.
        """
        if not self._check_queued:
            self._check_queued = True
            await self._order(_Order(check=True))

    async def wake(self) -> None:
        """Makes an idle link renew the lease now."""
        await self._hold_signal.notify()

    async def _supervise(
        self,
        work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Runs a loop of this link again after an unexpected error.

        Whether an order that failed was carried out is unknown, so it counts
        as sent without an answer.
        """
        delay_s = RETRY_DELAY_S
        while not self._closed:
            try:
                await work()
            except errors.InvariantError as error:
                errors.report_invariant_error(error)
                return
            except Exception as error:
                logs.unexpected_error(
                    _LOG,
                    'link_failed',
                    error,
                    worker=self._record.worker_id,
                    work=work.__name__.strip('_'),
                )
                if work == self._order_loop:
                    await self._settle_failed_order()
                await curio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_FAILURE_DELAY_S)

    async def _settle_failed_order(self) -> None:
        """Takes up again the order that an unexpected error has ended."""
        order, self._current_order = self._current_order, None
        if order is None:
            return
        if order.start is not None:
            run = layout.RunId(
                layout.task_id(order.start.task), order.start.run
            )
            self._sending = None
            self._note_open_start(run)
            await self.stop(*run)
        elif order.stop is not None:
            self._orders.append(order)

    def _live_runs(self) -> list[tuple[layout.TaskId, ttypes.TaskRecord]]:
        return self._owner.live_runs(
            self._record.worker_id, self._record.incarnation
        )

    async def _order(self, order: _Order) -> None:
        self._orders.append(order)
        await self._order_signal.notify()

    def _note_answer(
        self, clock_ms: int | None, outcome: OrderOutcome
    ) -> None:
        """Records an answer to an order or a renewal.

        Answers of others tell nothing about the clock of this incarnation.
        """
        if outcome in worker_client.ANSWERS_OF_OTHERS:
            return
        self._note_clock(clock_ms)
        self._answered_at_s = clock.steady_s()
        self._unanswered = False
        self._contact_loss = None

    def _note_no_answer(self, error: worker_client.NoAnswerError) -> None:
        """Records that an order or a renewal was not answered."""
        now_s = clock.steady_s()
        if self._contact_loss is None:
            self._contact_loss = crashes.ContactLoss(now_s)
        self._contact_loss.note(error.silence, now_s)

    # The worker's clock and lease.

    def _min_worker_clock_ms(self) -> int:
        """Returns the earliest time that the worker's clock can show now."""
        passed_s = clock.steady_s() - self._clock_at_s
        return self._clock_ms + int(passed_s * 1000 * MIN_CLOCK_RATE)

    def _next_lease_end_ms(self) -> int:
        """Returns the lease end, on the worker's clock, to request now."""
        passed_s = clock.steady_s() - self._clock_at_s
        lease_end_ms = self._clock_ms + int(passed_s * 1000) + self._lease_ms
        return max(self._lease_end_ms, lease_end_ms)

    @contextlib.contextmanager
    def _pending_lease(
        self, lease_end_ms: int
    ) -> collections.abc.Iterator[None]:
        """Counts a requested lease end as possibly granted.

        It counts during the `with` block, in which the order is sent, and
        afterwards unless nothing of the order was sent.
        """
        self._pending_lease_ends_ms.append(lease_end_ms)
        sent = True
        try:
            yield
        except worker_client.NoAnswerError as error:
            sent = error.sent
            raise
        finally:
            self._pending_lease_ends_ms.remove(lease_end_ms)
            if sent:
                self._lease_end_ms = max(self._lease_end_ms, lease_end_ms)

    def _lease_has_lapsed(self) -> bool:
        """Whether every run that was started on the worker has ended.

        Orders carry the end of the lease as a time on the worker's clock, so
        no run outlives it, even if an order is carried out late.
        """
        # A previous leader may have renewed the lease until this election.
        inherited_lease_end_s = (
            self._opened_at_s
            + self._lease_ms / 1000 / MIN_CLOCK_RATE
            + PREVIOUS_LEADER_MARGIN_S
        )
        if not self._reconciled and clock.steady_s() < inherited_lease_end_s:
            return False
        latest_ms = max(self._lease_end_ms, *self._pending_lease_ends_ms, 0)
        return (
            self._clock_ms is None or self._min_worker_clock_ms() > latest_ms
        )

    # Lease renewal.

    async def _hold_loop(self) -> None:
        while not self._closed:
            if (
                self._reconciled
                and not self._unanswered
                and not self._stopping
                and not self._live_runs()
            ):
                self._clear_idle_state()
                if await self._hold_signal.wait_for(self._idle_interval_s()):
                    continue
            if not self._owner.leads():
                await curio.sleep(RETRY_DELAY_S)
                continue
            try:
                await self._hold_once()
            except worker_client.NoAnswerError as error:
                self._note_no_answer(error)
                await self._handle_silence(error)
                await curio.sleep(RETRY_DELAY_S)

    def _idle_interval_s(self) -> float:
        return max(
            IDLE_HOLD_INTERVAL_S, self._owner.worker_count / IDLE_HOLDS_PER_S
        )

    async def _hold_once(self) -> None:
        sent_s = clock.steady_s()
        answers = self._responsive and not self._unanswered
        wait_ms = HOLD_WAIT_MS if self._reconciled and answers else 0
        if self._stopping or self._stop_answered_s:
            wait_ms = min(wait_ms, 100)
        if self._may_renew():
            lease_end_ms = self._next_lease_end_ms()
            with self._pending_lease(lease_end_ms):
                lease_reply = await self._hold(lease_end_ms, wait_ms)
        else:
            lease_reply = await self._hold(self._lease_end_ms or None, wait_ms)
        self._note_answer(lease_reply.clock_ms, lease_reply.reason)
        if lease_reply.reason is OrderOutcome.FENCED:
            await self._owner.on_fenced(self._record.worker_id)
            await curio.sleep(RETRY_DELAY_S)
            return
        if lease_reply.reason is OrderOutcome.REPLACED:
            await self._owner.on_replaced(self._record)
            await curio.sleep(RETRY_DELAY_S)
            return
        if lease_reply.reason is OrderOutcome.OTHER_INCARNATION:
            await self._handle_superseded(lease_reply.incarnation)
        if lease_reply.reason is not OrderOutcome.DONE:
            logs.event(
                _LOG,
                'hold_refused',
                level=logging.WARNING,
                worker=self._record.worker_id,
                reason=lease_reply.reason.value,
            )
            await self._handle_silence(
                worker_client.NoAnswerError(lease_reply.reason.value)
            )
            await curio.sleep(RETRY_DELAY_S)
            return
        if not self._responsive:
            logs.event(_LOG, 'worker_regained', worker=self._record.worker_id)
            self._responsive = True
            await self._owner.request_round()
        await self._process_hold(lease_reply, sent_s)

    def _may_renew(self) -> bool:
        """Whether the next call may ask for a later end of the lease.

        Unanswered renewals may still be carried out, so a silent worker is not
        asked. Nor is one on which the start of a run that is recorded as lost
        may still be carried out: without a lease it refuses that start.
        """
        return (
            self._clock_ms is not None
            and self._responsive
            and not self._lost_starts
        )

    async def _hold(
        self, lease_end_ms: int | None, wait_ms: int
    ) -> worker_client.LeaseReply:
        return await self._client.renew_lease(
            token=self._owner.token,
            acknowledged=self._last_end_recorded,
            lease_end_ms=lease_end_ms,
            wait_ms=wait_ms,
        )

    async def _process_hold(
        self, lease_reply: worker_client.LeaseReply, sent_s: float
    ) -> None:
        first = not self._reconciled
        if first and lease_reply.clock_ms is not None:
            # A previous leader may have renewed the lease until this answer.
            self._lease_end_ms = max(
                self._lease_end_ms, lease_reply.clock_ms + self._lease_ms
            )
        self._open_starts_s = self.open_starts_s
        for running in lease_reply.running:
            if running.checkpoint:
                self._checkpoints[running.key] = running.checkpoint
        self._owner.on_progress(self._record.worker_id, lease_reply)
        ends = [
            self._reported_end(ended)
            for ended in lease_reply.ended
            if ended.number > self._last_end_recorded
        ]
        listed = {(r.key, r.run) for r in lease_reply.running}
        listed |= {(e.key, e.run) for e in lease_reply.ended}
        known = set()
        for key, task in self._live_runs():
            run = (key, task.run)
            known.add(run)
            if run in listed:
                if run not in self._confirmed and run not in self._sent:
                    self._inherited.add(run)
                self._confirmed.setdefault(run, sent_s)
            elif lease_reply.complete and self._is_permanently_absent(
                run, sent_s, first
            ):
                ends.append(self._make_end(key, task.run, End.NEVER))
        for running in lease_reply.running:
            run = (running.key, running.run)
            if run not in known and run not in self._stopping:
                self._unrecorded.add(layout.RunId(*run))
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
            # The worker lists the ends again in its next answer.
            await curio.sleep(RETRY_DELAY_S)
            return
        numbers = [ended.number for ended in lease_reply.ended]
        self._last_end_recorded = max(self._last_end_recorded, *numbers, 0)
        for end in ends:
            run = (layout.task_id(end.task), end.run)
            self._forget_run(run)
        for run in list(self._stopping):
            stop_answered_s = self._stop_answered_s.get(run)
            settled = stop_answered_s is not None and stop_answered_s < sent_s
            if settled and run not in known and run not in listed:
                self._forget_run(run)
        if lease_reply.complete:
            self._reconciled = True
        if ends or first:
            await self._owner.request_round()

    def _forget_run(self, run: layout.RunId) -> None:
        self._stopping.discard(run)
        self._sent.discard(run)
        self._stop_answered_s.pop(run, None)
        self._unanswered_starts.discard(run)
        self._lost_starts.discard(run)
        self._unrecorded.discard(run)
        self._confirmed.pop(run, None)
        self._inherited.discard(run)
        self._paces.pop(run, None)

    def _is_permanently_absent(
        self, run: layout.RunId, sent_s: float, first: bool
    ) -> bool:
        """Whether a run that the worker does not list will never be listed.

        The first renewal of this leader fences starts of previous leaders. A
        start of this leader is settled if its answer, or the answer that a
        stop of the run was carried out, came before the list was requested.

        Args:
            run: The run.
            sent_s: Steady time at which the list was requested.
            first: Whether no complete list was received before.
        """
        if first:
            return run not in self._unanswered_starts
        stop_answered_s = self._stop_answered_s.get(run)
        if stop_answered_s is not None and stop_answered_s < sent_s:
            return True
        confirmed_s = self._confirmed.get(run)
        return confirmed_s is not None and confirmed_s < sent_s

    def _reported_end(self, ended: worker_client.EndedTask) -> ttypes.RunEnd:
        checkpoint = ended.checkpoint or self.checkpoint(ended.key)
        return ttypes.RunEnd(
            task=layout.task_key(ended.key),
            run=ended.run,
            worker_id=self._record.worker_id,
            incarnation=self._record.incarnation,
            kind=ended.kind,
            checkpoint=checkpoint,
        )

    def _make_end(
        self, key: layout.TaskId, run: int, kind: int
    ) -> ttypes.RunEnd:
        return ttypes.RunEnd(
            task=layout.task_key(key),
            run=run,
            worker_id=self._record.worker_id,
            incarnation=self._record.incarnation,
            kind=kind,
            checkpoint=self.checkpoint(key),
        )

    def _clear_idle_state(self) -> None:
        self._checkpoints.clear()
        self._confirmed.clear()
        self._inherited.clear()

    async def _handle_silence(
        self, error: worker_client.NoAnswerError
    ) -> None:
        if self._responsive:
            logs.event(
                _LOG,
                'worker_silent',
                level=logging.WARNING,
                worker=self._record.worker_id,
                silence=error.silence.value,
                error=error,
            )
            self._owner.on_silent(self._record)
        self._responsive = False
        if not self._lease_has_lapsed():
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
        self._owner.on_lapsed(self._record)
        ends = [self._make_end(key, task.run, End.LOST) for key, task in lost]
        if await self._owner.record_ends(ends):
            for key, task in lost:
                await self._forget_lost_run(layout.RunId(key, task.run))
            await self._owner.request_round()

    async def _forget_lost_run(self, run: layout.RunId) -> None:
        """Forgets a run whose lease has lapsed, unless its start may come."""
        may_come = (
            run in self._unanswered_starts and run not in self._confirmed
        )
        self._forget_run(run)
        if may_come:
            self._lost_starts.add(run)
            await self.stop(*run)

    # Orders.

    async def _order_loop(self) -> None:
        while not self._closed:
            if not self._orders:
                await self._order_signal.wait()
                continue
            if not self._owner.leads():
                await curio.sleep(RETRY_DELAY_S)
                continue
            order = self._current_order = self._orders.popleft()
            if order.start is not None:
                await self._send_start(order.start)
            elif order.stop is not None:
                await self._send_stop(*order.stop)
            elif order.pace is not None:
                await self._send_pace(*order.pace)
            elif order.check:
                await self._send_check()
            self._current_order = None

    async def _send_start(self, start: ttypes.RunStart) -> None:
        key = layout.task_id(start.task)
        run = (key, start.run)
        spec = self._owner.job_spec(start.task.job_id)
        if spec is None or not self._owner.is_current(start):
            await self._record_never_began(run, 'no longer wanted')
            return
        # Further attempts request the same lease end until one is answered.
        lease_end_ms = self._next_lease_end_ms()
        refused = False
        for _ in range(START_ATTEMPTS):
            if (
                run in self._stopping
                or run in self._confirmed
                or not self._owner.leads()
                or not self._owner.is_current(start)
            ):
                break
            if not self._responsive and run not in self._unanswered_starts:
                break
            self._sending = run
            try:
                with self._pending_lease(lease_end_ms):
                    order_reply = await self._client.start(
                        start,
                        spec,
                        token=self._owner.token,
                        lease_end_ms=lease_end_ms,
                    )
            except worker_client.NoAnswerError as error:
                self._sending = None
                self._unanswered = True
                self._note_no_answer(error)
                refused = not error.sent
                if error.sent:
                    self._note_open_start(run)
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
                # A renewal detects a silent worker sooner than more attempts.
                await self._hold_signal.notify()
                await curio.sleep(RETRY_DELAY_S)
                continue
            self._sending = None
            await self._handle_start_answer(run, order_reply)
            return
        if run in self._confirmed or run not in self._sent:
            # A list of the worker's runs has shown the run or its end.
            return
        if run not in self._unanswered_starts:
            if self._responsive and refused:
                # The worker's address refuses connections.
                self._note_unhealthy()
            await self._record_never_began(run, 'never sent')
        elif run not in self._stopping:
            await self.stop(*run)

    def _note_unhealthy(self) -> None:
        self._unhealthy_until_s = clock.steady_s() + UNHEALTHY_PERIOD_S

    def _note_open_start(self, run: layout.RunId) -> None:
        self._unanswered_starts.add(run)
        self._open_starts_s[run] = clock.steady_s()

    async def _handle_start_answer(
        self, run: layout.RunId, order_reply: worker_client.OrderReply
    ) -> None:
        self._note_answer(order_reply.clock_ms, order_reply.reason)
        logs.event(
            _LOG,
            'run_started'
            if order_reply.reason is OrderOutcome.DONE
            else 'run_refused',
            worker=self._record.worker_id,
            task='.'.join(map(str, run[0])),
            run=run[1],
            reason=order_reply.reason.value,
        )
        if order_reply.reason is OrderOutcome.DONE:
            self._unanswered_starts.discard(run)
            self._confirmed[run] = clock.steady_s()
            await self._hold_signal.notify()
            return
        if order_reply.reason is OrderOutcome.FENCED:
            await self._owner.on_fenced(self._record.worker_id)
            return
        if order_reply.reason is OrderOutcome.OTHER_INCARNATION:
            if run not in self._unanswered_starts:
                await self._record_never_began(run, order_reply.reason.value)
            # Else the link to that incarnation stops the run there.
            await self._handle_superseded(order_reply.incarnation)
            return
        if order_reply.reason is OrderOutcome.REPLACED:
            await self._owner.on_replaced(self._record)
            return
        if order_reply.reason is OrderOutcome.UNHEALTHY:
            self._note_unhealthy()
        if run in self._unanswered_starts:
            # An earlier attempt may still be carried out.
            await self.stop(*run)
            return
        await self._record_never_began(run, order_reply.reason.value)

    async def _record_never_began(
        self, run: layout.RunId, reason: str
    ) -> None:
        """Records that a run never began, and frees its resources."""
        logs.event(
            _LOG,
            'run_never_began',
            worker=self._record.worker_id,
            task='.'.join(map(str, run[0])),
            run=run[1],
            reason=reason,
        )
        if await self._owner.record_ends([self._make_end(*run, End.NEVER)]):
            self._forget_run(run)
        else:
            # Once a stop has fenced the run, the next list of runs settles it.
            await self.stop(*run)
        await self._owner.request_round()

    async def _send_stop(self, key: layout.TaskId, run: int) -> None:
        """Sends a stop, again and again until it has been carried out.

        Other orders that are queued are sent in between.
        """
        if (key, run) not in self._stopping:
            return
        try:
            order_reply = await self._client.stop(
                key, run, token=self._owner.token
            )
        except worker_client.NoAnswerError as error:
            self._note_no_answer(error)
        else:
            self._note_answer(order_reply.clock_ms, order_reply.reason)
            if order_reply.reason is OrderOutcome.DONE:
                self._stop_answered_s[(key, run)] = clock.steady_s()
                await self._hold_signal.notify()
                return
            await self._handle_refusal('stop', key, run, order_reply)
        await self._order_again(_Order(stop=(key, run)))

    async def _handle_refusal(
        self,
        order: str,
        key: layout.TaskId,
        run: int,
        order_reply: worker_client.OrderReply,
    ) -> None:
        """Logs that a worker has not carried out an order, and why.

        Args:
            order: Kind of the order.
            key: Task of the run.
            run: Number of the run.
            order_reply: The worker's answer.
        """
        reason = order_reply.reason
        logs.event(
            _LOG,
            'order_refused',
            level=logging.WARNING,
            order=order,
            worker=self._record.worker_id,
            task='.'.join(map(str, key)),
            run=run,
            reason=reason.value,
        )
        if reason is OrderOutcome.FENCED:
            await self._owner.on_fenced(self._record.worker_id)
        elif reason is OrderOutcome.REPLACED:
            await self._owner.on_replaced(self._record)
        elif reason is OrderOutcome.OTHER_INCARNATION:
            await self._handle_superseded(order_reply.incarnation)

    async def _handle_superseded(self, incarnation: int) -> None:
        """Gives up this incarnation, since another one has answered."""
        self._responsive = False
        await self._owner.on_superseded(self._record, incarnation)

    async def _order_again(self, order: _Order) -> None:
        """Queues an order that was not carried out behind the others."""
        await curio.sleep(RETRY_DELAY_S)
        await self._order(order)

    async def _send_pace(
        self, key: layout.TaskId, run: int, percent: int
    ) -> None:
        if self._paces.get((key, run)) != percent:
            # A later order has another pace, or the run has ended.
            return
        try:
            order_reply = await self._client.pace(
                key, run, percent, token=self._owner.token
            )
        except worker_client.NoAnswerError as error:
            self._note_no_answer(error)
        else:
            self._note_answer(order_reply.clock_ms, order_reply.reason)
            if order_reply.reason is OrderOutcome.DONE:
                return
            await self._handle_refusal('pace', key, run, order_reply)
        await self._order_again(_Order(pace=(key, run, percent)))

    async def _send_check(self) -> None:
        self._check_queued = False
        if not self.answered_recently:
            try:
                order_reply = await self._client.check(
                    token=self._owner.token,
                    acknowledged=self._last_end_recorded,
                )
            except worker_client.NoAnswerError as error:
                await self._handle_failed_check(error)
            else:
                self._note_answer(order_reply.clock_ms, order_reply.reason)
                if order_reply.reason is OrderOutcome.FENCED:
                    await self._owner.on_fenced(self._record.worker_id)
                elif order_reply.reason is OrderOutcome.REPLACED:
                    await self._owner.on_replaced(self._record)
                elif order_reply.reason is OrderOutcome.OTHER_INCARNATION:
                    await self._handle_superseded(order_reply.incarnation)
                elif order_reply.reason is OrderOutcome.UNHEALTHY:
                    # It would refuse a start, too.
                    self._note_unhealthy()
        await self._owner.request_round()

    async def _handle_failed_check(
        self, error: worker_client.NoAnswerError
    ) -> None:
        logs.event(
            _LOG,
            'check_unanswered',
            level=logging.WARNING,
            worker=self._record.worker_id,
            answered_s=clock.steady_s() - self._answered_at_s,
            error=error,
        )
        self._unanswered = True
        self._note_no_answer(error)
        # A renewal finds out whether the worker is silent.
        await self._hold_signal.notify()
