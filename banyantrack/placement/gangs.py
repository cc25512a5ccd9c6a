"""Tracks placed gangs through worker reports and leases.

Commands to a worker are derived from the difference between the replicated
state and the worker's report. No command is stored, so a lost answer or a
change of leader needs no recovery: the next report yields the same commands.
"""

from __future__ import annotations

import array
import dataclasses
import enum
import time
import typing

from banyantrack.core import errors
from banyantrack.generated.intent import ttypes as intent

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.placement import allotments

AllotState = intent.AllotmentState
Event = intent.JobEvent
Reason = intent.StopReason

# A gang whose members are not all held after this time is stopped, which
# frees its workers.
HOLD_TIMEOUT_S = 10.0
# Consecutive reports of too much memory after which a gang is stopped. Usage
# lags, so a single report may still include the previous task.
OVERRUN_REPORTS = 3
# Memory use above this multiple of the declared memory is an overrun.
OVERRUN_FACTOR = 1.1


class TaskState(enum.Enum):
    """State of a gang's members on one worker, as it reports them."""

    HELD = 'held'
    RUNNING = 'running'
    CHECKPOINTED = 'checkpointed'
    DONE = 'done'
    FAILED = 'failed'


class Action(enum.Enum):
    """Action of a command to a worker."""

    HOLD = 'hold'
    START = 'start'
    CHECKPOINT = 'checkpoint'
    THROTTLE = 'throttle'
    STOP = 'stop'


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """State of a gang's members on one worker, as reported by it.

    Attributes:
        job: Name of the gang's job.
        epoch: Epoch of the placement.
        state: State that all of these members have.
        progress_ms: Total run time of the job.
        saved_ms: Part of `progress_ms` that the last checkpoint covers.
        memory_mb: Memory in use by the members.
    """

    job: str
    epoch: int
    state: TaskState
    progress_ms: int
    saved_ms: int
    memory_mb: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCommand:
    """Command to a worker about a gang's members on it.

    Attributes:
        action: Action to perform.
        job: Name of the gang's job.
        epoch: Epoch of the placement.
        members: Members to hold; 0 unless the action is `HOLD`.
        accelerators: Accelerators of each member; 0 unless the action is
            `HOLD`.
        progress_ms: Run time that the job resumes from; 0 unless the action
            is `HOLD` or `START`.
        parameters: Parameters of the job, or None.
    """

    action: Action
    job: str
    epoch: int
    members: int = 0
    accelerators: int = 0
    progress_ms: int = 0
    parameters: dict[str, str] | None = None


class _TrackedGang:
    """Last reported state of a placed gang.

    Attributes:
        epoch: Epoch of the placement.
        workers: Distinct worker numbers, sorted.
        states: State code of each worker, in the order of `workers`;
            0 before its first report.
        progress_ms: Greatest progress that any worker reported.
        saved_ms: Greatest progress that any worker reported as saved.
        phase_since: Monotonic time in seconds at which the gang was first
            tracked or became ready to start.
        stopping_since: Monotonic time in seconds at which this leader first
            saw the gang stopping, or None.
        overruns: Consecutive reports with too much memory in use.
        pending: Event that was proposed and is not applied yet; 0 if none.
        crash: Worker that crashed as it started the members on it, and the
            reason to stop the gang; None if there is none.
    """

    __slots__ = (
        'epoch',
        'workers',
        'states',
        'progress_ms',
        'saved_ms',
        'phase_since',
        'stopping_since',
        'overruns',
        'pending',
        'crash',
    )

    def __init__(self, epoch: int, workers: array.array) -> None:
        self.epoch = epoch
        self.workers = array.array('H', sorted(set(workers)))
        self.states = bytearray(len(self.workers))
        self.progress_ms = 0
        self.saved_ms = 0
        self.phase_since = time.monotonic()
        self.overruns = 0
        self.stopping_since: float | None = None
        self.pending = 0
        self.crash: tuple[int, Reason] | None = None


# Stop reasons that leave time for a checkpoint.
_CHECKPOINT_REASONS = frozenset(
    (Reason.RECLAIM, Reason.LABELS, Reason.CONSOLIDATE)
)
# Codes of states in `_TrackedGang.states`.
_CODES = {state: number for number, state in enumerate(TaskState, 1)}
_UNREPORTED = 0
_GONE = len(TaskState) + 1
_HELD = _CODES[TaskState.HELD]
_DONE = _CODES[TaskState.DONE]


class GangTracker:
    """Derives commands and job events from the reports of workers.

    Args:
        statuses: Returns the replicated status of a job, or None.
        gangs: Allotments by job name.
        worker_name: Returns the name of a worker by its number.
        lease_s: Duration of a lease, in seconds.
        grace_s: Time for writing a checkpoint, in seconds.
    """

    def __init__(
        self,
        statuses: collections.abc.Callable[[str], intent.JobStatus | None],
        gangs: collections.abc.Mapping[str, allotments.Allotment],
        worker_name: collections.abc.Callable[[int], str],
        *,
        lease_s: float,
        grace_s: float,
    ) -> None:
        self._statuses = statuses
        self._allotments = gangs
        self._worker_name = worker_name
        self._lease_s = lease_s
        self._grace_s = grace_s
        self._gangs: dict[str, _TrackedGang] = {}
        self._on_worker: dict[int, set[str]] = {}
        # A previous leader may have granted leases until just before this.
        self._started_at = time.monotonic()
        self._lease_until: dict[int, float] = {}
        self._last_reports: dict[int, tuple[int, int]] = {}
        # Gangs that were starting on a worker when its lease lapsed, as epochs
        # by job name, by worker.
        self._lapsed_starts: dict[int, dict[str, int]] = {}
        # Events of gangs that are no longer tracked.
        self._late_events: list[intent.JobEventCommand] = []

    def progress_ms(self, job: str) -> int:
        """Returns the total run time of a job."""
        gang = self._gangs.get(job)
        status = self._statuses(job)
        saved_ms = status.progress_ms if status else 0
        return max(gang.progress_ms if gang else 0, saved_ms)

    def unsaved_ms(self, job: str) -> int:
        """Returns the run time of a job since its last checkpoint."""
        gang = self._gangs.get(job)
        if gang is None:
            return 0
        return max(gang.progress_ms - gang.saved_ms, 0)

    def lease_until(self, worker: int) -> float:
        """Returns the monotonic time at which a worker's lease lapses.

        A worker that has not renewed its lease by then runs no tasks. One
        without a recorded lease may hold one from a previous leader.
        """
        return self._lease_until.get(worker, self._started_at + self._lease_s)

    def sync(self) -> None:
        """Adds gangs that were placed and removes those that have ended."""
        for name in list(self._gangs):
            allotment = self._allotments.get(name)
            if allotment is None or allotment.epoch != self._gangs[name].epoch:
                self._remove(name)
        for name, allotment in self._allotments.items():
            if allotment.epoch and name not in self._gangs:
                gang = _TrackedGang(allotment.epoch, allotment.workers)
                self._gangs[name] = gang
                for worker in gang.workers:
                    self._on_worker.setdefault(worker, set()).add(name)

    def record_report(
        self,
        worker: int,
        incarnation: int,
        sequence: int,
        tasks: collections.abc.Iterable[TaskReport],
    ) -> bool:
        """Records the report of a worker.

        Args:
            worker: Number of the worker.
            incarnation: Increases when the worker restarts.
            sequence: Increases with each report of an incarnation.
            tasks: All tasks that run or have just ended on the worker.

        Returns:
            Whether the report is newer than the previous ones; an older
            one is ignored.
        """
        version = (incarnation, sequence)
        last = self._last_reports.get(worker, (-1, -1))
        if version <= last:
            return False
        self._last_reports[worker] = version
        lapsed = self._lapsed_starts.pop(worker, {})
        if 0 <= last[0] < incarnation:
            self._note_restart(worker, lapsed)
        reported = {(task.job, task.epoch): task for task in tasks}
        for name in self._on_worker.get(worker, ()):
            gang = self._gangs[name]
            task = reported.get((name, gang.epoch))
            self._record_task(name, gang, worker, task)
        return True

    def workers_with_lapsed_lease(
        self, workers: collections.abc.Iterable[int]
    ) -> set[int]:
        """Returns the workers whose lease has lapsed."""
        now_s = time.monotonic()
        return {w for w in workers if now_s > self.lease_until(w)}

    def extend_lease(self, worker: int, until: float) -> None:
        """Extends the lease of a worker.

        Args:
            worker: Number of the worker.
            until: Monotonic time in seconds; a lease is never shortened.
        """
        self._lease_until[worker] = max(
            until, self._lease_until.get(worker, 0.0)
        )

    def commands(
        self, worker: int, tasks: collections.abc.Iterable[TaskReport]
    ) -> list[TaskCommand]:
        """Returns the commands that answer a report.

        Args:
            worker: Number of the worker.
            tasks: Tasks in its report.
        """
        commands = []
        expected = self._on_worker.get(worker, set())
        seen = set()
        for task in tasks:
            gang = self._gangs.get(task.job)
            current = gang is not None and gang.epoch == task.epoch
            if task.job not in expected or not current:
                # The epoch is old, or the gang has ended.
                commands.append(TaskCommand(Action.STOP, task.job, task.epoch))
                continue
            seen.add(task.job)
            command = self._next_command(gang, task)
            if command is not None:
                commands.append(command)
        for name in sorted(expected - seen):
            command = self._hold_command(name, worker)
            if command is not None:
                commands.append(command)
        return commands

    def events(self) -> list[intent.JobEventCommand]:
        """Returns the job events since the last call."""
        found, self._late_events = self._late_events, []
        for name, gang in self._gangs.items():
            status = self._statuses(name)
            if status is None or status.epoch != gang.epoch:
                continue
            event = self._due_event(name, gang, status)
            if event is not None and gang.pending != event.event:
                gang.pending = event.event
                found.append(event)
        return found

    def events_due(self, worker: int) -> bool:
        """Whether the last report of a worker may have caused an event.

        Checks only the gangs of that worker, since checking all gangs for
        each report would be slow.
        """
        if self._late_events:
            return True
        for name in self._on_worker.get(worker, ()):
            gang = self._gangs[name]
            status = self._statuses(name)
            if status is None or status.epoch != gang.epoch:
                continue
            event = self._due_event(name, gang, status)
            if event is not None and gang.pending != event.event:
                return True
        return False

    # Reports.

    def _record_task(
        self,
        name: str,
        gang: _TrackedGang,
        worker: int,
        task: TaskReport | None,
    ) -> None:
        position = gang.workers.index(worker)
        before = gang.states[position]
        if task is None:
            # A task that is missing from a report has ended, unless the
            # worker has not held it yet.
            status = self._statuses(name)
            holding = status and status.allotment == AllotState.HOLDING
            if before != _UNREPORTED or not holding:
                gang.states[position] = _GONE
            return
        if before == _GONE:
            return
        gang.states[position] = _CODES[task.state]
        gang.progress_ms = max(gang.progress_ms, task.progress_ms)
        gang.saved_ms = max(gang.saved_ms, task.saved_ms)
        self._record_usage(name, gang, task)

    def _note_restart(
        self, worker: int, lapsed: collections.abc.Mapping[str, int]
    ) -> None:
        """Finds the gangs that were starting on a worker that restarted.

        A single one counts as failed. Of several, one starts again at once
        and the others later, so that another crash has one suspect only.

        Args:
            worker: Number of the worker.
            lapsed: Gangs that were starting there when its lease lapsed, and
                were stopped for that; epochs by job name.
        """
        suspects = sorted(
            name
            for name in self._on_worker.get(worker, ())
            if self._is_starting(name, worker)
        )
        if len(lapsed) == 1 and not suspects:
            ((name, epoch),) = lapsed.items()
            self._late_events.append(
                intent.JobEventCommand(
                    job=name,
                    epoch=epoch,
                    event=Event.CRASHED,
                    reason=Reason.MEMBER_FAILED,
                    progress_ms=0,
                    failed_worker=self._worker_name(worker),
                )
            )
        for position, name in enumerate(suspects):
            if len(suspects) == 1 and not lapsed:
                reason = Reason.MEMBER_FAILED
            elif position == 0:
                reason = Reason.LEASE_LAPSED
            else:
                reason = Reason.HOLD_FAILED
            self._gangs[name].crash = (worker, reason)

    def _is_starting(self, name: str, worker: int) -> bool:
        """Whether a worker has to start a gang and has not reported it yet."""
        gang = self._gangs[name]
        status = self._statuses(name)
        return (
            status is not None
            and status.epoch == gang.epoch
            and status.allotment == AllotState.RUNNING
            and gang.states[gang.workers.index(worker)] == _HELD
        )

    def _record_usage(
        self, name: str, gang: _TrackedGang, task: TaskReport
    ) -> None:
        allotment = self._allotments[name]
        members = allotment.gang.members
        declared_mb = allotment.gang.need.memory_mb * members
        if task.memory_mb > declared_mb * OVERRUN_FACTOR > 0:
            gang.overruns += 1
        else:
            gang.overruns = 0

    # Commands.

    def _next_command(
        self, gang: _TrackedGang, task: TaskReport
    ) -> TaskCommand | None:
        status = self._statuses(task.job)
        if status is None or status.epoch != gang.epoch:
            return TaskCommand(Action.STOP, task.job, task.epoch)
        match status.allotment:
            case AllotState.RUNNING if task.state is TaskState.HELD:
                return TaskCommand(
                    Action.START,
                    task.job,
                    task.epoch,
                    progress_ms=status.progress_ms,
                )
            case AllotState.RUNNING if gang.overruns:
                return TaskCommand(Action.THROTTLE, task.job, task.epoch)
            case AllotState.STOPPING:
                return self._stop_command(status, gang, task)
        return None

    def _stop_command(
        self, status: intent.JobStatus, gang: _TrackedGang, task: TaskReport
    ) -> TaskCommand:
        may_checkpoint = (
            task.state is TaskState.RUNNING
            and status.reason in _CHECKPOINT_REASONS
            and self._allotments[task.job].checkpointable
            and self._stopping_s(gang) < self._grace_s
        )
        action = Action.CHECKPOINT if may_checkpoint else Action.STOP
        return TaskCommand(action, task.job, task.epoch)

    def _stopping_s(self, gang: _TrackedGang) -> float:
        """Returns for how many seconds a gang has been stopping."""
        now_s = time.monotonic()
        if gang.stopping_since is None:
            gang.stopping_since = now_s
        return now_s - gang.stopping_since

    def _hold_command(self, name: str, worker: int) -> TaskCommand | None:
        status = self._statuses(name)
        gang = self._gangs[name]
        if status is None or status.allotment != AllotState.HOLDING:
            return None
        allotment = self._allotments[name]
        return TaskCommand(
            Action.HOLD,
            name,
            gang.epoch,
            members=allotment.workers.count(worker),
            accelerators=allotment.gang.need.accelerators,
            progress_ms=status.progress_ms,
            parameters=allotment.parameters,
        )

    # Events.

    def _due_event(
        self, name: str, gang: _TrackedGang, status: intent.JobStatus
    ) -> intent.JobEventCommand | None:
        match status.allotment:
            case AllotState.HOLDING:
                return self._holding_event(name, gang)
            case AllotState.RUNNING:
                return self._running_event(name, gang)
            case AllotState.STOPPING:
                return self._stopping_event(name, gang)
        return None

    def _holding_event(
        self, name: str, gang: _TrackedGang
    ) -> intent.JobEventCommand | None:
        if all(state == _HELD for state in gang.states):
            gang.phase_since = time.monotonic()
            return self._make_event(name, gang, Event.STARTED)
        if self._lost_worker(gang) is not None:
            return self._make_event(
                name, gang, Event.STOPPING, reason=Reason.HOLD_FAILED
            )
        if time.monotonic() - gang.phase_since > HOLD_TIMEOUT_S:
            return self._make_event(
                name, gang, Event.STOPPING, reason=Reason.HOLD_FAILED
            )
        return None

    def _running_event(
        self, name: str, gang: _TrackedGang
    ) -> intent.JobEventCommand | None:
        if all(state == _DONE for state in gang.states):
            return self._make_event(name, gang, Event.COMPLETED)
        failed = _CODES[TaskState.FAILED]
        if failed in gang.states:
            worker = gang.workers[gang.states.index(failed)]
            return self._make_event(
                name,
                gang,
                Event.STOPPING,
                reason=Reason.MEMBER_FAILED,
                worker=worker,
            )
        if gang.crash is not None:
            worker, reason = gang.crash
            return self._make_event(
                name, gang, Event.STOPPING, reason=reason, worker=worker
            )
        lost = self._lost_worker(gang)
        if lost is not None:
            if self._is_starting(name, lost):
                starts = self._lapsed_starts.setdefault(lost, {})
                starts[name] = gang.epoch
            return self._make_event(
                name,
                gang,
                Event.STOPPING,
                reason=Reason.LEASE_LAPSED,
                worker=lost,
            )
        if gang.overruns >= OVERRUN_REPORTS:
            return self._make_event(
                name, gang, Event.STOPPING, reason=Reason.OVERRUN
            )
        return None

    def _lost_worker(self, gang: _TrackedGang) -> int | None:
        """Returns a worker that no longer runs its members, or None.

        Its members are gone, or its lease lapsed before they were done.
        """
        now_s = time.monotonic()
        for position, worker in enumerate(gang.workers):
            state = gang.states[position]
            if state == _GONE:
                return worker
            if state != _DONE and now_s > self.lease_until(worker):
                return worker
        return None

    def _stopping_event(
        self, name: str, gang: _TrackedGang
    ) -> intent.JobEventCommand | None:
        now_s = time.monotonic()
        self._stopping_s(gang)
        if all(state == _DONE for state in gang.states):
            return self._make_event(name, gang, Event.COMPLETED)
        for position, worker in enumerate(gang.workers):
            stopped = gang.states[position] in (_GONE, _DONE)
            if not stopped and now_s <= self.lease_until(worker):
                return None
        return self._make_event(
            name, gang, Event.STOPPED, progress_ms=gang.saved_ms
        )

    def _make_event(
        self,
        name: str,
        gang: _TrackedGang,
        event: int,
        *,
        reason: int = Reason.NONE,
        worker: int | None = None,
        progress_ms: int = 0,
    ) -> intent.JobEventCommand:
        errors.check_invariant(
            event != Event.STARTED
            or all(state == _HELD for state in gang.states),
            'gang %s would start while not all of its members are held',
            name,
        )
        return intent.JobEventCommand(
            job=name,
            epoch=gang.epoch,
            event=event,
            reason=reason,
            progress_ms=progress_ms,
            failed_worker='' if worker is None else self._worker_name(worker),
        )

    def _remove(self, name: str) -> None:
        gang = self._gangs.pop(name)
        for worker in gang.workers:
            jobs = self._on_worker.get(worker, set())
            jobs.discard(name)
            if not jobs:
                self._on_worker.pop(worker, None)
