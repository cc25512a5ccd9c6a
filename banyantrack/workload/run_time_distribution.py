"""Distributions of run times: mixtures of log-normal parts."""

from __future__ import annotations

import math
import statistics
import typing

# Parts of a forecast with a smaller weight are left out.
MIN_PART_WEIGHT = 0.002
# Range of run times and declared estimates that is learned from.
MIN_MS = 1.0
MAX_MS = 1e9
# Remaining times are computed at this many steps up to the median, and as
# many for each doubling above it.
REMAINING_RESOLUTION = 32
# Tolerance of the logarithm of a quantile.
QUANTILE_TOLERANCE = 2e-3
_NORMAL = statistics.NormalDist()
_SQRT2 = math.sqrt(2.0)


class Part(typing.NamedTuple):
    """One normal distribution of the logarithm of the run time.

    Attributes:
        weight: Probability of the part.
        mean: Mean of the natural logarithm of milliseconds.
        variance: Variance of the natural logarithm.
    """

    weight: float
    mean: float
    variance: float


class Forecast:
    """Distribution of the run time of a task on a worker of speed 1.0.

    Args:
        parts: Parts of the distribution; their weights sum to 1.
        runs: Number of runs that the forecast is based on, after decay.
    """

    __slots__ = ('_median_ms', '_parts', '_quantiles', '_remaining', 'runs')

    def __init__(self, parts: tuple[Part, ...], runs: float) -> None:
        self._parts = parts
        self._quantiles: dict[float, float] = {}
        self._remaining: dict[int, float] = {}
        self.runs = runs
        self._median_ms = self.quantile_ms(0.5)

    @property
    def parts(self) -> tuple[Part, ...]:
        """Parts of the distribution."""
        return self._parts

    @property
    def median_ms(self) -> float:
        """Median run time in milliseconds."""
        return self._median_ms

    def quantile_ms(self, q: float) -> float:
        """Returns the time in milliseconds that a run stays within.

        Args:
            q: Probability, above 0 and below 1.
        """
        found = self._quantiles.get(q)
        if found is None:
            found = self._quantiles[q] = math.exp(self._quantile_log(q))
        return found

    def share_within(self, ran_ms: float) -> float:
        """Returns the probability of a run time of at most `ran_ms`."""
        at = math.log(max(ran_ms, MIN_MS))
        return 1.0 - survival(self._parts, at)

    def remaining_ms(self, ran_ms: float) -> float:
        """Returns the expected remaining time of an active run.

        Args:
            ran_ms: Time that the run has lasted, in milliseconds.
        """
        share = max(ran_ms, 0.0) / self._median_ms
        # Steps of equal length up to the median, and of equal ratio above.
        position = REMAINING_RESOLUTION * (
            share if share < 1 else 1 + math.log2(share)
        )
        bucket = int(position)
        low_ms = self._remaining_at(bucket)
        high_ms = self._remaining_at(bucket + 1)
        return low_ms + (position - bucket) * (high_ms - low_ms)

    def remaining_quantile_ms(self, ran_ms: float, q: float) -> float:
        """Returns the time that an active run's remaining time stays within.

        Args:
            ran_ms: Time that the run has lasted, in milliseconds.
            q: Probability, above 0 and below 1.
        """
        ended = self.share_within(ran_ms)
        if ended > 1 - 1e-6:
            return self.remaining_ms(ran_ms)
        log_ms = self._quantile_log(ended + q * (1 - ended))
        return max(math.exp(log_ms) - ran_ms, 0.0)

    def _remaining_at(self, bucket: int) -> float:
        """Returns the remaining time at the start of a step."""
        found = self._remaining.get(bucket)
        if found is None:
            edge = bucket / REMAINING_RESOLUTION
            found = self._remaining[bucket] = _mean_excess(
                self._parts,
                self._median_ms * (edge if edge < 1 else 2.0 ** (edge - 1)),
            )
        return found

    def _quantile_log(self, q: float) -> float:
        z = _NORMAL.inv_cdf(q)
        bounds = [
            mean + z * math.sqrt(variance) for _, mean, variance in self._parts
        ]
        low, high = min(bounds), max(bounds)
        while high - low > QUANTILE_TOLERANCE:
            middle = (low + high) / 2
            if 1.0 - survival(self._parts, middle) < q:
                low = middle
            else:
                high = middle
        return (low + high) / 2


def survival(parts: tuple[Part, ...], at: float) -> float:
    """Returns the probability of a logarithm of the run time above `at`."""
    alive = 0.0
    for weight, mean, variance in parts:
        alive += weight * math.erfc((at - mean) / math.sqrt(2 * variance))
    return alive / 2


def _mean_excess(parts: tuple[Part, ...], ran_ms: float) -> float:
    """Returns the mean of the run time above `ran_ms`, in milliseconds."""
    at = math.log(max(ran_ms, 1e-3))
    alive = 0.0
    total_ms = 0.0
    for part in parts:
        deviation = math.sqrt(part.variance)
        z = (at - part.mean) / deviation
        alive += part.weight * 0.5 * math.erfc(z / _SQRT2)
        total_ms += (
            part.weight
            * math.exp(part.mean + part.variance / 2)
            * 0.5
            * math.erfc((z - deviation) / _SQRT2)
        )
    if alive < 1e-9:
        # Longer than any run so far: the remaining time is taken to be in
        # proportion to the time that the run has lasted.
        return ran_ms / 2
    return max(total_ms / alive - ran_ms, 0.0)


def normalized(
    log_weights: list[float], means: list[float], variances: list[float]
) -> list[Part]:
    highest = max(log_weights)
    weights = [math.exp(weight - highest) for weight in log_weights]
    total = sum(weights)
    return [
        Part(weight / total, mean, variance)
        for weight, mean, variance in zip(
            weights, means, variances, strict=True
        )
    ]


def pruned(parts: list[Part]) -> tuple[Part, ...]:
    kept = [part for part in parts if part.weight >= MIN_PART_WEIGHT]
    total = sum(part.weight for part in kept)
    return tuple(
        Part(part.weight / total, part.mean, part.variance) for part in kept
    )


def bounded(value_ms: float) -> float:
    return min(max(value_ms, MIN_MS), MAX_MS)
