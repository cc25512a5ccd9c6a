"""Finds workers that have become slow, from how far their runs come.

Answers workers that turn slow or let tasks stand still while they look
well: new runs go elsewhere first. Runs are compared with their own earlier
pace, since declared run times may be far off.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import layout

# Shorter spans tell little, since progress comes in whole percents.
SHORTEST_S = 0.4
# A run at less than this share of its best pace has become slow.
SLOW_SHARE = 0.4
# A worker counts as slow for this long after it was last seen to be.
SLOW_S = 3.0


@dataclasses.dataclass(slots=True)
class _Pace:
    percent: int
    at_s: float
    first_percent: int
    first_at_s: float
    best: float = 0.0
    slow: bool = False


class ProgressWatch:
    """Paces of runs by worker."""

    def __init__(self) -> None:
        self._paces: dict[str, dict[layout.RunId, _Pace]] = {}
        self._slow_until_s: dict[str, float] = {}

    def observe(
        self,
        worker_id: str,
        percents: collections.abc.Mapping[layout.RunId, int],
        now_s: float,
    ) -> None:
        """Takes in how far the runs of a worker are.

        Args:
            worker_id: The worker.
            percents: Percent done of each run that is alive there.
            now_s: Steady time in seconds.
        """
        before = self._paces.get(worker_id, {})
        paces = {
            run: before.get(run) or _Pace(percent, now_s, percent, now_s)
            for run, percent in percents.items()
        }
        self._paces[worker_id] = paces
        for run, pace in paces.items():
            span_s = now_s - pace.at_s
            if span_s < SHORTEST_S:
                continue
            rate = (percents[run] - pace.percent) / span_s
            pace.slow = pace.best > 0 and rate < SLOW_SHARE * pace.best
            pace.best = max(pace.best, rate)
            pace.percent = percents[run]
            pace.at_s = now_s
        slow = sum(pace.slow for pace in paces.values())
        if slow and 2 * slow > len(paces):
            self._slow_until_s[worker_id] = now_s + SLOW_S

    def remaining_ms(
        self, worker_id: str, run: layout.RunId, now_s: float
    ) -> float | None:
        """Returns how much longer a run takes at its pace so far.

        Args:
            worker_id: The worker.
            run: The run.
            now_s: Steady time in seconds.

        Returns:
            None if its pace is not known.
        """
        pace = self._paces.get(worker_id, {}).get(run)
        if pace is None or pace.percent <= pace.first_percent:
            return None
        rate = (pace.percent - pace.first_percent) / (
            pace.at_s - pace.first_at_s
        )
        left_s = (100 - pace.percent) / rate - (now_s - pace.at_s)
        return max(left_s * 1000, 0.0)

    def is_slow(self, worker_id: str, now_s: float) -> bool:
        """Whether a worker has been slow of late."""
        return self._slow_until_s.get(worker_id, 0.0) > now_s
