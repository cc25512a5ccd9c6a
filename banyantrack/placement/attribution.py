"""Attributes failures either to a worker or to a job.

A worker on which many jobs fail is avoided. A job that fails on many workers
is itself at fault.
"""

from __future__ import annotations

import collections
import time

# Distinct jobs that have failed on a worker, without a success in between,
# from which on the worker is avoided.
FAILED_JOBS_PER_WORKER = 3
# Distinct workers on which a job has failed, from which on the job is at
# fault and its failures no longer count against workers.
FAILED_WORKERS_PER_JOB = 3
# Time for which a worker is avoided.
AVOIDANCE_S = 600.0


class Attribution:
    """Tracks which jobs failed on which workers.

    An avoided worker is used only if a gang does not fit without it, and
    only for a limited time. Other modules detect workers that are down.
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
        """Records that a job failed on a worker.

        Returns:
            Whether the worker has to be avoided from now on.
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
        """Records that a job ran to completion.

        Returns:
            Numbers of the workers that are no longer avoided.
        """
        self._workers_failed_by.pop(job, None)
        cleared = []
        for worker in workers:
            self._jobs_failed_on.pop(worker, None)
            if self._avoid_until.pop(worker, None) is not None:
                cleared.append(worker)
        return cleared

    def expire(self) -> list[int]:
        """Returns and clears the workers that were avoided long enough."""
        now_s = time.monotonic()
        ended = [w for w, at in self._avoid_until.items() if at <= now_s]
        for worker in ended:
            del self._avoid_until[worker]
            self._jobs_failed_on.pop(worker, None)
        return ended

    def avoided(self) -> list[int]:
        """Returns the numbers of the avoided workers, sorted."""
        return sorted(self._avoid_until)

    def _clear_job(self, job: str) -> None:
        for jobs in self._jobs_failed_on.values():
            jobs.discard(job)
