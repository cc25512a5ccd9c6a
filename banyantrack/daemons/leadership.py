"""Places gangs and follows them while a control member is the leader."""

from __future__ import annotations

import logging
import time
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import codec
from banyantrack.core import logs
from banyantrack.core import signals
from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import objects
from banyantrack.placement import gangs
from banyantrack.placement import scheduler
from banyantrack.replication import errors as replication_errors

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.core import metrics as metrics_module
    from banyantrack.generated.settings import ttypes as settings
    from banyantrack.intent import state as state_module
    from banyantrack.replication import replica as replica_module

PROPOSE_TIMEOUT_S = 5.0
LEADER_CHECK_INTERVAL_S = 0.2
# Interval between checks for workers whose leases have lapsed.
SILENCE_CHECK_INTERVAL_S = 1.0
_LOG = logging.getLogger(__name__)


def now_ms() -> int:
    """Returns the time in milliseconds since 1970."""
    return clock.now_ms()


class PlacementSession:
    """Placement and gang tracking during one leadership term.

    Its state is not replicated and ends with the leadership.

    Args:
        state: The replicated state.
        options: Settings of placement.
    """

    def __init__(
        self,
        state: state_module.IntentState,
        options: settings.PlacementSettings,
    ) -> None:
        self._state = state
        self._tracker: gangs.GangTracker | None = None
        policies = scheduler.Policies(
            score=options.score,
            victims=options.victims,
            queue=options.queue,
        )
        self._scheduler = scheduler.Scheduler(
            state,
            self,
            policies=policies,
            default_selector=options.default_selector,
        )
        self._tracker = gangs.GangTracker(
            state.jobs.get,
            self._scheduler.ledger.allotments,
            state.worker_name,
            lease_s=options.lease_ms / 1000,
            grace_s=options.checkpoint_grace_ms / 1000,
        )
        self._silence_checked_at = 0.0

    @property
    def scheduler(self) -> scheduler.Scheduler:
        """The scheduler, which decides placement."""
        return self._scheduler

    @property
    def tracker(self) -> gangs.GangTracker:
        """The tracker of gangs and leases."""
        return self._tracker

    def progress_ms(self, job: str) -> int:
        """Returns how long a job has run in total, in milliseconds."""
        return self._tracker.progress_ms(job) if self._tracker else 0

    def unsaved_ms(self, job: str) -> int:
        """Returns a job's run time since its checkpoint, in milliseconds."""
        return self._tracker.unsaved_ms(job) if self._tracker else 0

    def refresh(self) -> None:
        """Applies changes of the replicated state."""
        if self._scheduler.ledger.sync():
            self._tracker.sync()

    def decide(self) -> intent.Command | None:
        """Runs one placement round.

        Returns:
            The command to propose; None if nothing changes.
        """
        self.refresh()
        self._check_silence()
        decisions = self._scheduler.decide(max(now_ms(), self._state.clock_ms))
        events = decisions.events + self._tracker.events()
        if not decisions.placements and not events:
            return None
        self._note_events(events)
        return intent.Command(
            now_ms=now_ms(),
            place=decisions.placements or None,
            job_events=events or None,
        )

    def _check_silence(self) -> None:
        now_s = time.monotonic()
        if now_s - self._silence_checked_at < SILENCE_CHECK_INTERVAL_S:
            return
        self._silence_checked_at = now_s
        fleet = self._scheduler.ledger.fleet
        known = (w for w in range(len(fleet)) if fleet.name(w))
        fleet.silent = self._tracker.workers_with_lapsed_lease(known)

    def _note_events(
        self, events: collections.abc.Iterable[intent.JobEventCommand]
    ) -> None:
        for event in events:
            if event.event == intent.JobEvent.COMPLETED:
                self._scheduler.record_completion(
                    event.job, self._tracker.progress_ms(event.job)
                )
            elif event.reason == intent.StopReason.MEMBER_FAILED:
                number = self._scheduler.ledger.fleet.number(
                    event.failed_worker
                )
                if number is not None:
                    self._scheduler.record_failure(event.job, number)


class PlacementLeadership:
    """Runs placement while this member leads.

    Args:
        replica: The member.
        state: The replicated state.
        options: Settings of placement.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        state: state_module.IntentState,
        options: settings.PlacementSettings,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._replica = replica
        self._state = state
        self._options = options
        self._metrics = metrics
        self._session: PlacementSession | None = None
        self._round_signal = signals.Signal()
        self._command_signals: dict[int, signals.Signal] = {}

    @property
    def session(self) -> PlacementSession | None:
        """The session; None unless this member leads and is ready."""
        return self._session if self._replica.ready else None

    @property
    def options(self) -> settings.PlacementSettings:
        """Settings of placement."""
        return self._options

    async def run(self) -> None:
        """Runs sessions until cancelled."""
        while True:
            if self._replica.ready:
                await self._run_session(self._replica.term)
                self._session = None
            else:
                # No session reads the changed objects; drop their list.
                self._state.take_dirty()
                await self._replica.wait_next_applied(LEADER_CHECK_INTERVAL_S)

    async def request_round(self) -> None:
        """Requests a placement round."""
        await self._round_signal.notify()

    async def register(self, name: str, worker: intent.Worker) -> int:
        """Records a worker, if it is new or has changed.

        Args:
            name: Name of the worker.
            worker: Its description; its number is set here if it is known.

        Returns:
            Number of the worker.

        Raises:
            ReplicationError: If the change is not committed.
        """
        known = self._state.get(intent.ObjectKind.WORKER, name)
        if known is not None:
            worker.number = known.worker.number
            if known.worker == worker:
                return worker.number
        kind = objects.KIND_BY_NUMBER[intent.ObjectKind.WORKER]
        stored = objects.make(kind, name, worker)
        await self.propose(intent.Command(now_ms=now_ms(), workers=[stored]))
        await self._round_signal.notify()
        stored = self._state.get(intent.ObjectKind.WORKER, name)
        return stored.worker.number

    async def propose(self, command: intent.Command) -> typing.Any:
        """Proposes a command and returns its result.

        Raises:
            ReplicationError: If it is not committed.
        """
        started_at = time.monotonic()
        applied = await self._replica.propose(
            codec.encode(command), timeout_s=PROPOSE_TIMEOUT_S
        )
        self._metrics.histogram('banyan_propose_us').record(
            time.monotonic() - started_at
        )
        return applied.result

    def command_signal(self, worker: int) -> signals.Signal:
        """Returns the signal that new commands for a worker notify.

        Args:
            worker: Number of the worker.
        """
        found = self._command_signals.get(worker)
        if found is None:
            found = self._command_signals[worker] = signals.Signal()
        return found

    async def _run_session(self, term: int) -> None:
        self._session = session = PlacementSession(self._state, self._options)
        logs.event(_LOG, 'placement_started', term=term)
        while self._replica.ready and self._replica.term == term:
            started_at = time.monotonic()
            command = session.decide()
            self._metrics.histogram('banyan_round_us').record(
                time.monotonic() - started_at
            )
            if command is None:
                await self._round_signal.wait_for(
                    self._options.round_ms / 1000
                )
                continue
            try:
                await self.propose(command)
            except replication_errors.ReplicationError as error:
                # The command may or may not be committed. A new session
                # starts from the replicated state.
                logs.event(
                    _LOG,
                    'placement_unconfirmed',
                    level=logging.WARNING,
                    error=error,
                )
                return
            self._record_metrics(command)
            await self._wake_workers(command)
            # Lets other tasks run between rounds, so that reports and
            # operators are answered during a burst of placements.
            await curio.sleep(0)
        logs.event(_LOG, 'placement_ended', term=term)

    def _record_metrics(self, command: intent.Command) -> None:
        placed = len(command.place or ())
        self._metrics.counter('banyan_gangs_placed').add(placed)
        for event in command.job_events or ():
            name = intent.JobEvent._VALUES_TO_NAMES[event.event].lower()
            self._metrics.counter('banyan_job_events', event=name).add()
            logs.event(
                _LOG,
                'job_event',
                job=event.job,
                epoch=event.epoch,
                change=name,
                reason=intent.StopReason._VALUES_TO_NAMES[event.reason],
            )

    async def _wake_workers(self, command: intent.Command) -> None:
        names = {place.job for place in command.place or ()}
        names |= {event.job for event in command.job_events or ()}
        session = self._session
        session.refresh()
        for name in names:
            allotment = session.scheduler.ledger.allotments.get(name)
            if allotment is None:
                continue
            for worker in set(allotment.workers):
                await self.command_signal(worker).notify()
