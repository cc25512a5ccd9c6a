"""Run time estimates from declared run times and past observations."""

from __future__ import annotations

import dataclasses

# Weight of the newest observation in the exponential moving average.
RATIO_WEIGHT = 0.2
# Bounds of a single observed ratio, which limit the effect of outliers.
RATIO_BOUNDS = (0.05, 20.0)
# Finished jobs of a customer after which its average is used in full; with
# fewer, the ratio is a blend of the average and 1.
FULL_CONFIDENCE_JOBS = 8


@dataclasses.dataclass(slots=True)
class _Ratio:
    """Moving average of observed over declared run time.

    Attributes:
        value: The average.
        count: Number of observations.
    """

    value: float = 1.0
    count: int = 0


class Estimates:
    """Estimates run times by customer."""

    def __init__(self) -> None:
        self._ratios: dict[str, _Ratio] = {}

    def observe(
        self, customer: str, declared_ms: int, observed_ms: int
    ) -> None:
        """Updates the average of a customer with a completed job.

        Args:
            customer: Name of the customer.
            declared_ms: Declared run time of the job.
            observed_ms: Total run time of the job.
        """
        low, high = RATIO_BOUNDS
        ratio = min(max(observed_ms / max(declared_ms, 1), low), high)
        average = self._ratios.setdefault(customer, _Ratio())
        average.count += 1
        average.value += RATIO_WEIGHT * (ratio - average.value)

    def ratio(self, customer: str) -> float:
        """Returns the expected ratio of observed to declared run time."""
        average = self._ratios.get(customer)
        if average is None:
            return 1.0
        confidence = min(average.count / FULL_CONFIDENCE_JOBS, 1.0)
        return 1.0 + confidence * (average.value - 1.0)

    def remaining_ms(
        self, customer: str, declared_ms: int, progress_ms: int
    ) -> float:
        """Returns the expected remaining run time of a job.

        A job that has exceeded its estimate is expected to run for as long as
        it has exceeded it so far, but at least for a tenth of the estimate.
        """
        expected_ms = declared_ms * self.ratio(customer)
        if progress_ms < expected_ms:
            return expected_ms - progress_ms
        return max(progress_ms - expected_ms, 0.1 * expected_ms)
