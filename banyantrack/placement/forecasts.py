"""Forecasts when running work ends and where a gang can start earliest."""

from __future__ import annotations

import dataclasses
import time
import typing

from banyantrack.placement import estimates as estimates_module
from banyantrack.placement import packing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.intent import ttypes as intent
    from banyantrack.placement import allotments

# Age at which the expected ends of running work are computed again.
REFRESH_INTERVAL_S = 5.0


class Progress(typing.Protocol):
    """Reported progress of running jobs."""

    def progress_ms(self, job: str) -> int:
        """Returns the total run time of a job."""

    def unsaved_ms(self, job: str) -> int:
        """Returns the run time of a job since its last checkpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Expected start of a gang.

    Attributes:
        workers: Numbers of the workers on which the gang can start.
        delay_ms: Time until these workers are free, from the current round.
    """

    workers: frozenset[int]
    delay_ms: float


class Forecasts:
    """Expected ends of running work, by worker.

    Args:
        ledger: Allotments and the capacity that they use.
        progress: Reported progress of running jobs.
    """

    def __init__(self, ledger: allotments.Ledger, progress: Progress) -> None:
        self._ledger = ledger
        self._progress = progress
        self._estimates = estimates_module.Estimates()
        self._now_ms = 0
        self._busy_until_ms: dict[int, float] = {}
        self._refreshed_at = float('-inf')

    def set_time(self, now_ms: int) -> None:
        """Sets the time of the round, in milliseconds since 1970."""
        self._now_ms = now_ms

    def observe(self, job: intent.Job, observed_ms: int) -> None:
        """Updates the run time estimates with a completed job.

        Args:
            job: Specification of the job.
            observed_ms: Total run time of the job.
        """
        self._estimates.observe(job.customer, job.run_time_ms, observed_ms)

    def remaining_ms(self, job: intent.Job, progress_ms: int) -> float:
        """Returns the expected remaining run time of a job."""
        return self._estimates.remaining_ms(
            job.customer, job.run_time_ms, progress_ms
        )

    def forecast(self, run_ms: float) -> packing.BusyForecast:
        """Returns the expected busy times for the choice of workers.

        Args:
            run_ms: Expected run time of the gang.
        """
        self._refresh()
        return packing.BusyForecast(run_ms, self._now_ms, self._busy_until_ms)

    def note_start(
        self, workers: collections.abc.Iterable[int], run_ms: float
    ) -> None:
        """Extends the expected busy times by work that starts.

        Args:
            workers: Worker number of each member.
            run_ms: Expected run time of the work.
        """
        busy_until_ms = self._now_ms + run_ms
        for worker in workers:
            if busy_until_ms > self._busy_until_ms.get(worker, 0.0):
                self._busy_until_ms[worker] = busy_until_ms

    def earliest_start(self, gang: packing.GangRequest) -> Start | None:
        """Returns the earliest expected start of a gang, or None if none."""
        self._refresh()
        fleet = self._ledger.fleet
        busy_ms = {
            worker: busy_until_ms - self._now_ms
            for worker, busy_until_ms in self._busy_until_ms.items()
            if busy_until_ms > self._now_ms
        }
        capacity = packing.total_capacity(fleet, gang)
        starts = [
            start
            for group in packing.domains(fleet, gang.adjacency, capacity)
            if (
                start := _earliest_in_group(
                    group, capacity, busy_ms, gang.members
                )
            )
        ]
        return min(starts, key=lambda start: start.delay_ms, default=None)

    def _refresh(self) -> None:
        now_s = time.monotonic()
        if now_s - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now_s
        self._busy_until_ms = {}
        for name, allotment in self._ledger.allotments.items():
            job = self._ledger.job(name)
            if job is not None:
                progress_ms = self._progress.progress_ms(name)
                self.note_start(
                    allotment.workers, self.remaining_ms(job, progress_ms)
                )


def _earliest_in_group(
    group: list[int],
    capacity: packing.Capacity,
    busy_ms: dict[int, float],
    members: int,
) -> Start | None:
    """Returns the earliest start within a group, or None if it is too small.

    Args:
        group: Worker numbers of an adjacency domain.
        capacity: Members that fit on an empty worker, by worker number.
        busy_ms: Time until a worker is free, by worker number.
        members: Members of the gang.
    """
    order = sorted(group, key=lambda w: (busy_ms.get(w, 0.0), -capacity[w]))
    chosen = []
    for worker in order:
        chosen.append(worker)
        members -= capacity[worker]
        if members <= 0:
            return Start(frozenset(chosen), busy_ms.get(worker, 0.0))
    return None
