"""Moving averages and quantiles used by the dispatcher."""

from __future__ import annotations

import math
import time


class DecayingRate:
    """Exponentially weighted rate of events, in events per second.

    Args:
        window_s: Time constant of the decay.
    """

    __slots__ = ('_window_s', '_value', '_updated_at')

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._value = 0.0
        self._updated_at = time.monotonic()

    @property
    def value(self) -> float:
        """Current rate in events per second."""
        self._decay(time.monotonic())
        return self._value

    def add(self, amount: float = 1.0) -> None:
        """Records an event."""
        self._decay(time.monotonic())
        self._value += amount / self._window_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_at
        if elapsed_s > 0:
            self._value *= math.exp(-elapsed_s / self._window_s)
            self._updated_at = now_s


class RunTimes:
    """Mean, median and a high quantile of run times.

    A quantile `q` is estimated by steps in proportion to its value: up by
    `QUANTILE_STEP * q` after a longer run, down by `QUANTILE_STEP * (1 - q)`
    after a shorter one.

    Args:
        quantile: The high quantile to estimate, from 0 to 1.
    """

    __slots__ = (
        '_mean_s',
        '_high_quantile_s',
        '_median_s',
        '_quantile',
        '_count',
    )

    MEAN_WEIGHT = 0.05
    QUANTILE_STEP = 0.05
    MIN_SAMPLES = 20

    def __init__(self, quantile: float = 0.98) -> None:
        self._mean_s = 0.0
        self._high_quantile_s = 0.0
        self._median_s = 0.0
        self._quantile = quantile
        self._count = 0

    @property
    def mean_s(self) -> float:
        """Mean run time in seconds; 0 before the first run."""
        return self._mean_s

    @property
    def median_s(self) -> float:
        """Median run time in seconds; 0 before the first run."""
        return self._median_s

    @property
    def high_quantile_s(self) -> float:
        """High quantile in seconds; 0 before the first run."""
        return self._high_quantile_s

    @property
    def has_enough_samples(self) -> bool:
        """Whether enough runs were recorded to rely on the estimates."""
        return self._count >= self.MIN_SAMPLES

    def add(self, run_s: float) -> None:
        """Records a run time in seconds."""
        self._count += 1
        if self._count == 1:
            self._mean_s = self._median_s = run_s
            self._high_quantile_s = 2 * run_s
            return
        weight = max(self.MEAN_WEIGHT, 1.0 / self._count)
        self._mean_s += weight * (run_s - self._mean_s)
        self._median_s = self._step_quantile(self._median_s, run_s, 0.5)
        self._high_quantile_s = self._step_quantile(
            self._high_quantile_s, run_s, self._quantile
        )

    def _step_quantile(
        self, value_s: float, run_s: float, quantile: float
    ) -> float:
        if run_s > value_s:
            return value_s * (1 + self.QUANTILE_STEP * quantile)
        return value_s * (1 - self.QUANTILE_STEP * (1 - quantile))
