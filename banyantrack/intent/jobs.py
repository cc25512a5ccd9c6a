"""Phases of jobs: waiting, placed as a gang, finished.

Each placement of a job has an epoch, by which events of an earlier placement
are recognized.
"""

from __future__ import annotations

import typing

from banyantrack.core import errors
from banyantrack.generated.intent import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

# Finished jobs whose status is kept for operators.
FINISHED_JOBS_LIMIT = 1000
# Most recent workers on which a job failed that its status keeps.
FAILED_WORKERS_LIMIT = 8

Phase = ttypes.JobPhase
Allotment = ttypes.AllotmentState
Event = ttypes.JobEvent
Reason = ttypes.StopReason

FINISHED_PHASES = frozenset((Phase.COMPLETED, Phase.FAILED, Phase.CANCELLED))
# Stop reasons that count against the retry limit of the job.
_FAILURE_REASONS = frozenset((Reason.MEMBER_FAILED, Reason.OVERRUN))
# Final phase by stop reason; after other reasons the job waits again.
_FINAL_PHASES = {
    Reason.CANCELLED: Phase.CANCELLED,
    Reason.DEADLINE: Phase.FAILED,
}


class JobTable:
    """Status of all jobs, computed from the replicated log."""

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
        """Adds a waiting job.

        Args:
            name: Name of the job.
            revision: Revision of its object.
            now_ms: Current time in milliseconds since 1970.
        """
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
        """Cancels a job; a placed one first has to stop.

        Args:
            name: Name of the job.
            spec: Specification of the job, kept until it has stopped.
            now_ms: Current time in milliseconds since 1970.
        """
        status = self._jobs.get(name)
        if status is None or status.phase in FINISHED_PHASES:
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
        """Places a waiting job on workers.

        Args:
            command: Job, revision of its object, and workers.
            epoch: Epoch of the placement; higher than all before.
            now_ms: Current time in milliseconds since 1970.

        Returns:
            Whether the job was placed; False if it does not wait or its
            object changed after the decision.

        Raises:
            InvariantError: If the epoch is not higher.
        """
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

    def apply_event(
        self, command: ttypes.JobEventCommand, now_ms: int
    ) -> bool:
        """Applies an event of a gang.

        An event of another epoch is ignored, except that a crash is found
        out after the gang was stopped.

        Returns:
            Whether anything changed.
        """
        status = self._jobs.get(command.job)
        if status is None:
            return False
        if command.event == Event.CRASHED:
            return self._apply_crashed(status, command)
        if status.epoch != command.epoch:
            return False
        if status.phase == Phase.WAITING and command.event == Event.GIVEN_UP:
            status.reason = command.reason
            self._finish(status, Phase.FAILED, now_ms)
            return True
        if status.phase != Phase.PLACED:
            return False
        match command.event:
            case Event.STARTED:
                return self._apply_started(status, now_ms)
            case Event.STOPPING:
                return self._apply_stopping(status, command, now_ms)
            case Event.STOPPED:
                return self._apply_stopped(status, command, now_ms)
            case Event.COMPLETED:
                return self._apply_completed(status, now_ms)
        return False

    def statuses(self) -> list[ttypes.JobStatus]:
        """Returns all jobs, finished ones first, in order of finishing."""
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
            if status.phase in FINISHED_PHASES
        }

    def remove_oldest_finished(self) -> list[str]:
        """Removes the oldest finished jobs beyond `FINISHED_JOBS_LIMIT`.

        Returns:
            Names of the removed jobs.
        """
        removed = []
        while len(self._finished) > FINISHED_JOBS_LIMIT:
            name = next(iter(self._finished))
            del self._finished[name]
            del self._jobs[name]
            removed.append(name)
        return removed

    def _apply_started(self, status: ttypes.JobStatus, now_ms: int) -> bool:
        if status.allotment != Allotment.HOLDING:
            return False
        status.allotment = Allotment.RUNNING
        status.started_ms = status.started_ms or now_ms
        status.phase_since_ms = now_ms
        return True

    def _apply_stopping(
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
        _add_failed_worker(status, command)
        return True

    def _apply_stopped(
        self,
        status: ttypes.JobStatus,
        command: ttypes.JobEventCommand,
        now_ms: int,
    ) -> bool:
        if status.allotment != Allotment.STOPPING:
            return False
        status.progress_ms = max(status.progress_ms, command.progress_ms)
        if status.reason in _FAILURE_REASONS:
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

    def _apply_crashed(
        self, status: ttypes.JobStatus, command: ttypes.JobEventCommand
    ) -> bool:
        if status.phase in FINISHED_PHASES or command.epoch > status.epoch:
            return False
        status.attempts += 1
        _add_failed_worker(status, command)
        return True

    def _apply_completed(self, status: ttypes.JobStatus, now_ms: int) -> bool:
        # A gang may complete while it is stopping.
        if status.allotment not in (Allotment.RUNNING, Allotment.STOPPING):
            return False
        if status.reason == Reason.CANCELLED:
            self._finish(status, Phase.CANCELLED, now_ms)
            return True
        self._finish(status, Phase.COMPLETED, now_ms)
        return True

    def fail(self, name: str, now_ms: int) -> None:
        """Fails a waiting job that exceeded its retry limit."""
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


def _add_failed_worker(
    status: ttypes.JobStatus, command: ttypes.JobEventCommand
) -> None:
    if command.failed_worker:
        failed = [*status.failed_workers, command.failed_worker]
        status.failed_workers = failed[-FAILED_WORKERS_LIMIT:]
