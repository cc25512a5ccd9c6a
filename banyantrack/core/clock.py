"""Clocks that go on while a host is suspended or its time of day jumps.

`time.monotonic` stands still while a host is suspended. Leases and the age
of a belief must not, since other hosts went on meanwhile. The time of day
may jump by seconds and back; times of jobs must not follow each jump.
"""

from __future__ import annotations

import time

# Offsets that differ by less are the usual slow correction of a clock.
STEP_S = 0.1
# A jump that lasts this long is a correction, not a fault.
ADOPT_S = 60.0


def steady_s() -> float:
    """Returns seconds since the host started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DayTime:
    """Time of day that ignores jumps until they have lasted."""

    def __init__(self) -> None:
        self._offset_s = time.time() - steady_s()
        self._stepped_at_s: float | None = None

    def now_s(self) -> float:
        """Returns seconds since 1970."""
        steady = steady_s()
        offset_s = time.time() - steady
        if abs(offset_s - self._offset_s) < STEP_S:
            self._offset_s = offset_s
            self._stepped_at_s = None
        elif self._stepped_at_s is None:
            self._stepped_at_s = steady
        elif steady - self._stepped_at_s > ADOPT_S:
            self._offset_s = offset_s
            self._stepped_at_s = None
        return steady + self._offset_s


_day_time = DayTime()


def now_ms() -> int:
    """Returns the time of day in milliseconds since 1970."""
    return int(_day_time.now_s() * 1000)
