"""Tells workers that fail everything apart from jobs that fail everywhere."""

from __future__ import annotations

import collections
import time

# Distinct jobs that failed on a worker, without a success in between, after
# which the worker is used last.
FAILED_JOBS_PER_WORKER = 3
# Distinct workers on which a job failed, after which the job is at fault
# and its failures no longer count against workers.
FAILED_WORKERS_PER_JOB = 3
AVOIDANCE_S = 600.0


class Attribution:
    """Counts distinct pairs of job and worker that failed.

    A worker is only avoided for a bounded time; whether it is down is not
    decided here.
    """

    def __init__(self) -> None:
        self._jobs_failed_on: dict[int, set[str]] = collections.defaultdict(
            set
        )
        self._workers_failed_by: dict[str, set[int]] = collections.defaultdict(
            set
        )
        self._avoid_until: dict[int, float] = {}

    def record_failure(self, job: str, worker: int) -> bool:
        """Notes a failure.

        Returns:
            Whether the worker is avoided from now on.
        """
        self._workers_failed_by[job].add(worker)
        if len(self._workers_failed_by[job]) >= FAILED_WORKERS_PER_JOB:
            self._clear_job(job)
            return False
        self._jobs_failed_on[worker].add(job)
        if len(self._jobs_failed_on[worker]) < FAILED_JOBS_PER_WORKER:
            return False
        self._avoid_until[worker] = time.monotonic() + AVOIDANCE_S
        return True

    def record_success(self, job: str, workers: set[int]) -> list[int]:
        """Notes that a job ran to its end.

        Returns:
            Workers that are no longer avoided.
        """
        self._workers_failed_by.pop(job, None)
        cleared = []
        for worker in workers:
            self._jobs_failed_on.pop(worker, None)
            if self._avoid_until.pop(worker, None) is not None:
                cleared.append(worker)
        return cleared

    def expire(self) -> list[int]:
        """Returns workers whose time of being avoided has ended."""
        now_s = time.monotonic()
        ended = [w for w, at in self._avoid_until.items() if at <= now_s]
        for worker in ended:
            del self._avoid_until[worker]
            self._jobs_failed_on.pop(worker, None)
        return ended

    def avoided(self) -> list[int]:
        """Returns workers that are avoided now."""
        return sorted(self._avoid_until)

    def _clear_job(self, job: str) -> None:
        for jobs in self._jobs_failed_on.values():
            jobs.discard(job)
