"""Expected run times, learned from those that were seen."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes

# Weight of the newest observation in the moving average of the ratio.
WEIGHT = 0.2
RATIO_BOUNDS = (0.1, 10.0)
# Used where a step gives no estimate.
UNKNOWN_MS = 1000.0


class LearnedDurations:
    """Estimates corrected by how far those of their queue were off."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def observe(
        self,
        record: ttypes.JobRecord,
        step: ttypes.Step,
        observed_ms: float,
    ) -> None:
        """Learns from a run that ended well."""
        low, high = RATIO_BOUNDS
        ratio = observed_ms / max(step.estimated_ms, 1)
        ratio = min(max(ratio, low), high)
        known = self._ratios.get(record.queue.name, 1.0)
        self._ratios[record.queue.name] = known + WEIGHT * (ratio - known)

    def expected_ms(
        self, record: ttypes.JobRecord, step: ttypes.Step
    ) -> float:
        """Returns how long a task of a step is expected to run."""
        ratio = self._ratios.get(record.queue.name, 1.0)
        return (step.estimated_ms or UNKNOWN_MS) * ratio
