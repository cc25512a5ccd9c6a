"""Life of jobs: waiting, placed as a gang under an epoch, finished."""

from __future__ import annotations

import typing

from banyantrack.core import errors
from banyantrack.generated.intent import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

# Finished jobs that are kept for operators to look at.
FINISHED_LIMIT = 1000
# Workers on which a job failed that are remembered.
FAILED_WORKERS_LIMIT = 8

Phase = ttypes.JobPhase
Allotment = ttypes.AllotmentState
Event = ttypes.JobEvent
Reason = ttypes.StopReason

FINISHED = frozenset((Phase.COMPLETED, Phase.FAILED, Phase.CANCELLED))
# Reasons that count against the job's retry limit.
_FAILURES = frozenset((Reason.MEMBER_FAILED, Reason.OVERRUN))
# Reasons after which the job does not wait again.
_FINAL_PHASES = {
    Reason.CANCELLED: Phase.CANCELLED,
    Reason.DEADLINE: Phase.FAILED,
}


class JobTable:
    """Status of all jobs, computed from the log."""

    def __init__(self) -> None:
        self._jobs: dict[str, ttypes.JobStatus] = {}
        self._finished: dict[str, None] = {}

    def __iter__(self) -> collections.abc.Iterator[ttypes.JobStatus]:
        return iter(self._jobs.values())

    def __len__(self) -> int:
        return len(self._jobs)

    def get(self, name: str) -> ttypes.JobStatus | None:
        """Returns the status of a job, or None."""
        return self._jobs.get(name)

    def submit(self, name: str, revision: int, now_ms: int) -> None:
        """Adds a job that waits."""
        self._finished.pop(name, None)
        self._jobs[name] = ttypes.JobStatus(
            job=name,
            phase=Phase.WAITING,
            submitted_ms=now_ms,
            epoch=0,
            allotment=Allotment.NONE,
            workers=b'',
            guarantee='',
            started_ms=0,
            finished_ms=0,
            attempts=0,
            progress_ms=0,
            reason=Reason.NONE,
            phase_since_ms=now_ms,
            reclaims=0,
            failed_workers=[],
            revision=revision,
        )

    def cancel(self, name: str, spec: ttypes.Job | None, now_ms: int) -> None:
        """Ends a job that waits; a placed one must stop first.

        Args:
            name: Name of the job.
            spec: Its specification, kept until it has stopped.
            now_ms: The time.
        """
        status = self._jobs.get(name)
        if status is None or status.phase in FINISHED:
            return
        status.reason = Reason.CANCELLED
        status.spec = spec
        if status.phase == Phase.WAITING:
            self._finish(status, Phase.CANCELLED, now_ms)
        elif status.allotment != Allotment.STOPPING:
            status.allotment = Allotment.STOPPING
            status.phase_since_ms = now_ms

    def place(
        self, command: ttypes.PlaceCommand, epoch: int, now_ms: int
    ) -> bool:
        """Gives a waiting job its members; returns whether it did."""
        status = self._jobs.get(command.job)
        if status is None or status.phase != Phase.WAITING:
            return False
        if status.revision != command.job_revision:
            return False
        errors.check_invariant(
            epoch > status.epoch,
            'epoch %d after %d of job %s',
            epoch,
            status.epoch,
            command.job,
        )
        status.phase = Phase.PLACED
        status.allotment = Allotment.HOLDING
        status.epoch = epoch
        status.workers = command.workers
        status.guarantee = command.guarantee
        status.reason = Reason.NONE
        status.phase_since_ms = now_ms
        return True

    def event(self, command: ttypes.JobEventCommand, now_ms: int) -> bool:
        """Applies what happened to a gang.

        An event of another epoch changes nothing.

        Returns:
            Whether anything changed.
        """
        status = self._jobs.get(command.job)
        if status is None or status.epoch != command.epoch:
            return False
        if status.phase == Phase.WAITING and command.event == Event.GIVEN_UP:
            status.reason = command.reason
            self._finish(status, Phase.FAILED, now_ms)
            return True
        if status.phase != Phase.PLACED:
            return False
        match command.event:
            case Event.STARTED:
                return self._started(status, now_ms)
            case Event.STOPPING:
                return self._stopping(status, command, now_ms)
            case Event.STOPPED:
                return self._stopped(status, command, now_ms)
            case Event.COMPLETED:
                return self._completed(status, now_ms)
        return False

    def statuses(self) -> list[ttypes.JobStatus]:
        """Returns all jobs; finished ones in the order they finished."""
        unfinished = [
            status
            for name, status in self._jobs.items()
            if name not in self._finished
        ]
        return [self._jobs[name] for name in self._finished] + unfinished

    def restore(
        self, statuses: collections.abc.Iterable[ttypes.JobStatus]
    ) -> None:
        """Replaces all jobs."""
        self._jobs = {status.job: status for status in statuses}
        self._finished = {
            name: None
            for name, status in self._jobs.items()
            if status.phase in FINISHED
        }

    def expire(self) -> list[str]:
        """Drops the oldest finished jobs beyond the limit.

        Returns:
            Their names.
        """
        dropped = []
        while len(self._finished) > FINISHED_LIMIT:
            name = next(iter(self._finished))
            del self._finished[name]
            del self._jobs[name]
            dropped.append(name)
        return dropped

    def _started(self, status: ttypes.JobStatus, now_ms: int) -> bool:
        if status.allotment != Allotment.HOLDING:
            return False
        status.allotment = Allotment.RUNNING
        status.started_ms = status.started_ms or now_ms
        status.phase_since_ms = now_ms
        return True

    def _stopping(
        self,
        status: ttypes.JobStatus,
        command: ttypes.JobEventCommand,
        now_ms: int,
    ) -> bool:
        if status.allotment == Allotment.STOPPING:
            return False
        status.allotment = Allotment.STOPPING
        status.reason = command.reason
        status.phase_since_ms = now_ms
        if command.failed_worker:
            failed = [*status.failed_workers, command.failed_worker]
            status.failed_workers = failed[-FAILED_WORKERS_LIMIT:]
        return True

    def _stopped(
        self,
        status: ttypes.JobStatus,
        command: ttypes.JobEventCommand,
        now_ms: int,
    ) -> bool:
        if status.allotment != Allotment.STOPPING:
            return False
        status.progress_ms = max(status.progress_ms, command.progress_ms)
        if status.reason in _FAILURES:
            status.attempts += 1
        if status.reason == Reason.RECLAIM:
            status.reclaims += 1
        final = _FINAL_PHASES.get(status.reason)
        if final is not None:
            self._finish(status, final, now_ms)
            return True
        status.phase = Phase.WAITING
        status.allotment = Allotment.NONE
        status.workers = b''
        status.phase_since_ms = now_ms
        return True

    def _completed(self, status: ttypes.JobStatus, now_ms: int) -> bool:
        # A gang may come to its end while it is asked to stop.
        if status.allotment not in (Allotment.RUNNING, Allotment.STOPPING):
            return False
        if status.reason == Reason.CANCELLED:
            self._finish(status, Phase.CANCELLED, now_ms)
            return True
        self._finish(status, Phase.COMPLETED, now_ms)
        return True

    def give_up(self, name: str, now_ms: int) -> None:
        """Ends a waiting job that failed too often."""
        self._finish(self._jobs[name], Phase.FAILED, now_ms)

    def _finish(
        self, status: ttypes.JobStatus, phase: int, now_ms: int
    ) -> None:
        status.phase = phase
        status.allotment = Allotment.NONE
        status.workers = b''
        status.spec = None
        status.finished_ms = now_ms
        status.phase_since_ms = now_ms
        self._finished[status.job] = None
