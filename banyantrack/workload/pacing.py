"""Slows filling tasks down so that serving tasks meet their targets.

Filling tasks use the idle processors of a worker and may disturb serving
tasks there, which have a target for their response times.
"""

from __future__ import annotations

import dataclasses

# Ratios of response time to target: above the first, filling tasks are
# suspended; below the second, they are sped up by one step.
SUSPEND_SHARE = 0.8
RESUME_SHARE = 0.5
# Percentage points by which the filling tasks of a worker are sped up.
RESUME_STEP_PERCENT = 25
# Shortest time between two steps; longer than the 0.5 s that the reported
# response times cover.
RESUME_STEP_INTERVAL_S = 1.5


@dataclasses.dataclass(slots=True)
class _Pace:
    percent: int
    changed_s: float


class Pacer:
    """Controls the pace of the filling tasks of each worker."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def percent(self, worker_id: str) -> int:
        """Returns the pace of a worker's filling tasks, in percent."""
        pace = self._paces.get(worker_id)
        return 100 if pace is None else pace.percent

    def observe(
        self, worker_id: str, worst_share: float, now_s: float
    ) -> bool:
        """Updates the pace from the response times of serving tasks.

        Args:
            worker_id: The worker.
            worst_share: Largest ratio of tail response time to target among
                the worker's serving tasks.
            now_s: Time on the monotonic clock, in seconds.

        Returns:
            Whether the pace changed.
        """
        pace = self._paces.setdefault(worker_id, _Pace(100, now_s))
        if worst_share > SUSPEND_SHARE:
            changed = pace.percent != 0
            pace.percent = 0
            pace.changed_s = now_s
            return changed
        if (
            worst_share < RESUME_SHARE
            and pace.percent < 100
            and now_s - pace.changed_s >= RESUME_STEP_INTERVAL_S
        ):
            pace.percent = min(pace.percent + RESUME_STEP_PERCENT, 100)
            pace.changed_s = now_s
            return True
        return False
