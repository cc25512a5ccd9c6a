"""Clocks that tolerate suspended hosts and steps of the wall clock.

`time.monotonic` does not advance while a host is suspended. Leases and the
age of a report must include that time, since other hosts kept running. The
wall clock may step by seconds and back; times of jobs must not follow each
step.
"""

from __future__ import annotations

import time

# A smaller change of the offset is slewing, which is followed at once.
STEP_THRESHOLD_S = 0.1
# A step that persists for longer is a correction of the clock, not a fault.
STEP_CONFIRMATION_S = 60.0


def steady_s() -> float:
    """Returns seconds since the host booted, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClock:
    """Wall clock that follows a step only after it has persisted."""

    def __init__(self) -> None:
        self._offset_s = time.time() - steady_s()
        self._stepped_at_s: float | None = None

    def now_s(self) -> float:
        """Returns seconds since the Unix epoch."""
        steady_now_s = steady_s()
        offset_s = time.time() - steady_now_s
        if abs(offset_s - self._offset_s) < STEP_THRESHOLD_S:
            self._offset_s = offset_s
            self._stepped_at_s = None
        elif self._stepped_at_s is None:
            self._stepped_at_s = steady_now_s
        elif steady_now_s - self._stepped_at_s > STEP_CONFIRMATION_S:
            self._offset_s = offset_s
            self._stepped_at_s = None
        return steady_now_s + self._offset_s


_wall_clock = WallClock()


def now_ms() -> int:
    """Returns the wall-clock time in milliseconds since the Unix epoch."""
    return int(_wall_clock.now_s() * 1000)
