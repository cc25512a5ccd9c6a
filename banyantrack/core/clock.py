"""A steady clock that also counts the time a host was suspended.

`time.monotonic` stands still while a host is suspended. Leases and the age
of a belief must not, since other hosts went on meanwhile.
"""

from __future__ import annotations

import time


def steady_s() -> float:
    """Returns seconds since the host started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_ms() -> int:
    """Returns the time of day in milliseconds since 1970."""
    return int(time.time() * 1000)
