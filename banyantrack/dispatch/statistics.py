"""Moving averages that the dispatcher decides by."""

from __future__ import annotations

import math
import time


class DecayingRate:
    """Events a second, averaged over a time that lies back exponentially.

    Args:
        window_s: Time constant.
    """

    __slots__ = ('_window_s', '_value', '_at')

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._value = 0.0
        self._at = time.monotonic()

    @property
    def value(self) -> float:
        """The rate now."""
        self._decay(time.monotonic())
        return self._value

    def add(self, amount: float = 1.0) -> None:
        """Notes an event."""
        self._decay(time.monotonic())
        self._value += amount / self._window_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._at
        if elapsed_s > 0:
            self._value *= math.exp(-elapsed_s / self._window_s)
            self._at = now_s


class RunTimes:
    """Average and high quantile of run times.

    The quantile is followed by steps in proportion to the value: up by
    `q` where a run was longer, down by `1 - q` where it was shorter.

    Args:
        quantile: Which quantile, from 0 to 1.
    """

    __slots__ = ('_mean_s', '_high_s', '_median_s', '_quantile', '_count')

    WEIGHT = 0.05
    STEP = 0.05
    TRUSTED_COUNT = 20

    def __init__(self, quantile: float = 0.98) -> None:
        self._mean_s = 0.0
        self._high_s = 0.0
        self._median_s = 0.0
        self._quantile = quantile
        self._count = 0

    @property
    def mean_s(self) -> float:
        """Average of the run times in seconds; 0 before the first."""
        return self._mean_s

    @property
    def median_s(self) -> float:
        """Median of the run times in seconds; 0 before the first."""
        return self._median_s

    @property
    def high_s(self) -> float:
        """High quantile in seconds; 0 before the first."""
        return self._high_s

    @property
    def trusted(self) -> bool:
        """Whether enough runs were seen to decide by."""
        return self._count >= self.TRUSTED_COUNT

    def add(self, run_s: float) -> None:
        """Notes a run."""
        self._count += 1
        if self._count == 1:
            self._mean_s = self._median_s = run_s
            self._high_s = 2 * run_s
            return
        weight = max(self.WEIGHT, 1.0 / self._count)
        self._mean_s += weight * (run_s - self._mean_s)
        self._median_s = self._follow(self._median_s, run_s, 0.5)
        self._high_s = self._follow(self._high_s, run_s, self._quantile)

    def _follow(self, value_s: float, run_s: float, quantile: float) -> float:
        if run_s > value_s:
            return value_s * (1 + self.STEP * quantile)
        return value_s * (1 - self.STEP * (1 - quantile))
