"""Keeps serving tasks within their targets by pacing those that fill.

Answers load on workers where tasks that fill idle processors disturb tasks
with a target for their response times.
"""

from __future__ import annotations

import dataclasses

# Shares of the target: above the first, filling tasks are held back; below
# the second, they may go on a little faster.
HOLD_BACK_SHARE = 0.8
LET_GO_SHARE = 0.5
# Percent by which a held back worker's filling tasks speed up at a time.
STEP_PERCENT = 25
# Time between two such steps; usage covers the last half second.
STEP_S = 1.5


@dataclasses.dataclass(slots=True)
class _Pace:
    percent: int
    changed_s: float


class Pacer:
    """Paces the filling tasks of each worker."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def percent(self, worker_id: str) -> int:
        """Returns the pace of a worker's filling tasks."""
        pace = self._paces.get(worker_id)
        return 100 if pace is None else pace.percent

    def observe(
        self, worker_id: str, worst_share: float, now_s: float
    ) -> bool:
        """Takes in how near a worker's serving tasks are to their targets.

        Args:
            worker_id: The worker.
            worst_share: Largest ratio of tail to target.
            now_s: Steady time in seconds.

        Returns:
            Whether the pace changed.
        """
        pace = self._paces.setdefault(worker_id, _Pace(100, now_s))
        if worst_share > HOLD_BACK_SHARE:
            changed = pace.percent != 0
            pace.percent = 0
            pace.changed_s = now_s
            return changed
        if (
            worst_share < LET_GO_SHARE
            and pace.percent < 100
            and now_s - pace.changed_s >= STEP_S
        ):
            pace.percent = min(pace.percent + STEP_PERCENT, 100)
            pace.changed_s = now_s
            return True
        return False
