"""Run times learned from how declared and observed ones compare."""

from __future__ import annotations

import dataclasses

# Weight of the newest observation in the moving average of the ratio.
RATIO_WEIGHT = 0.2
RATIO_BOUNDS = (0.05, 20.0)
# Observations after which a customer's own ratio counts fully.
FULL_CONFIDENCE_JOBS = 8


@dataclasses.dataclass(slots=True)
class _Ratio:
    value: float = 1.0
    count: int = 0


class Estimates:
    """Moving average of observed over declared run time, by customer."""

    def __init__(self) -> None:
        self._ratios: dict[str, _Ratio] = {}

    def observe(
        self, customer: str, declared_ms: int, observed_ms: int
    ) -> None:
        """Learns from a finished job.

        Args:
            customer: Whose job it was.
            declared_ms: Declared run time.
            observed_ms: Time that it ran in all.
        """
        low, high = RATIO_BOUNDS
        ratio = min(max(observed_ms / max(declared_ms, 1), low), high)
        average = self._ratios.setdefault(customer, _Ratio())
        average.count += 1
        average.value += RATIO_WEIGHT * (ratio - average.value)

    def ratio(self, customer: str) -> float:
        """Returns the ratio that is expected of a customer's jobs."""
        average = self._ratios.get(customer)
        if average is None:
            return 1.0
        confidence = min(average.count / FULL_CONFIDENCE_JOBS, 1.0)
        return 1.0 + confidence * (average.value - 1.0)

    def remaining_ms(
        self, customer: str, declared_ms: int, progress_ms: int
    ) -> float:
        """Returns the expected time that a job still runs.

        A job that has outlived its estimate is expected to run as long
        again as it has outlived it.
        """
        expected_ms = declared_ms * self.ratio(customer)
        if progress_ms < expected_ms:
            return expected_ms - progress_ms
        return max(progress_ms - expected_ms, 0.1 * expected_ms)
