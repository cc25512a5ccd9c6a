"""Detects slow workers from the progress of their runs.

A worker may become slow, or its tasks may stall, while it reports itself
healthy; new runs are then placed on other workers first. The rate of a run
is compared with its own earlier rate, since declared run times may be
inaccurate.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import layout

# Shortest time between two samples of a run. Progress is reported in whole
# percents, so the rate over a shorter time is too coarse.
MIN_SAMPLE_INTERVAL_S = 0.4
# A run is slow below this share of its best rate.
SLOW_RATE_SHARE = 0.4
# A worker counts as slow for this long after the last sample that was slow.
SLOW_DURATION_S = 3.0


@dataclasses.dataclass(slots=True)
class _RunProgress:
    percent: int
    sampled_at_s: float
    first_percent: int
    first_sampled_at_s: float
    best_rate: float = 0.0
    slow: bool = False


class ProgressWatch:
    """Progress rates of the runs of each worker."""

    def __init__(self) -> None:
        self._progress: dict[str, dict[layout.RunId, _RunProgress]] = {}
        self._slow_until_s: dict[str, float] = {}

    def observe(
        self,
        worker_id: str,
        percents: collections.abc.Mapping[layout.RunId, int],
        now_s: float,
    ) -> None:
        """Records the progress of the runs of a worker.

        Args:
            worker_id: The worker.
            percents: Progress in percent of each run alive on the worker.
            now_s: Time on the monotonic clock, in seconds.
        """
        previous = self._progress.get(worker_id, {})
        current = {
            run: previous.get(run)
            or _RunProgress(percent, now_s, percent, now_s)
            for run, percent in percents.items()
        }
        self._progress[worker_id] = current
        for run, progress in current.items():
            span_s = now_s - progress.sampled_at_s
            if span_s < MIN_SAMPLE_INTERVAL_S:
                continue
            rate = (percents[run] - progress.percent) / span_s
            # A member of a gang shows 100 until the slowest one is through.
            progress.slow = (
                progress.best_rate > 0
                and percents[run] < 100
                and rate < SLOW_RATE_SHARE * progress.best_rate
            )
            progress.best_rate = max(progress.best_rate, rate)
            progress.percent = percents[run]
            progress.sampled_at_s = now_s
        slow = sum(progress.slow for progress in current.values())
        if slow and 2 * slow > len(current):
            self._slow_until_s[worker_id] = now_s + SLOW_DURATION_S

    def remaining_ms(
        self, worker_id: str, run: layout.RunId, now_s: float
    ) -> float | None:
        """Extrapolates the remaining time of a run from its mean rate.

        Args:
            worker_id: The worker.
            run: The run.
            now_s: Time on the monotonic clock, in seconds.

        Returns:
            Milliseconds; None if the run has made no observed progress.
        """
        progress = self._progress.get(worker_id, {}).get(run)
        if progress is None or progress.percent <= progress.first_percent:
            return None
        rate = (progress.percent - progress.first_percent) / (
            progress.sampled_at_s - progress.first_sampled_at_s
        )
        left_s = (100 - progress.percent) / rate - (
            now_s - progress.sampled_at_s
        )
        return max(left_s * 1000, 0.0)

    def is_slow(self, worker_id: str, now_s: float) -> bool:
        """Whether a worker was slow in the last `SLOW_DURATION_S` seconds."""
        return self._slow_until_s.get(worker_id, 0.0) > now_s
