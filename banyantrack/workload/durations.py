"""Expected run times, learned from those that were seen.

A declared estimate may be nearly right or worth nothing, and that differs
by queue. So it is blended with the usual run time of the queue, by how far
either was off before.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes

# Weight of the newest observation in the moving averages.
WEIGHT = 0.1
# Observed over expected, as a natural logarithm; more is a straggler and
# teaches nothing.
OFF_LIMIT = math.log(4)
# Errors before anything was seen: estimates count for more.
FIRST_ESTIMATE_ERROR = 0.3
FIRST_USUAL_ERROR = 1.0
# Used where a step gives no estimate.
UNKNOWN_MS = 1000.0


@dataclasses.dataclass(slots=True)
class _Learned:
    """What is known of one queue; all values are natural logarithms.

    Attributes:
        ratio: Observed over declared run time.
        usual: Observed run time in milliseconds; None before the first.
        estimate_error: How far corrected estimates were off.
        usual_error: How far the usual run time was off.
    """

    ratio: float = 0.0
    usual: float | None = None
    estimate_error: float = FIRST_ESTIMATE_ERROR
    usual_error: float = FIRST_USUAL_ERROR


class LearnedDurations:
    """Run times by queue."""

    def __init__(self) -> None:
        self._learned: dict[str, _Learned] = {}

    def observe(
        self,
        record: ttypes.JobRecord,
        step: ttypes.Step,
        observed_ms: float,
    ) -> None:
        """Learns from a run that ended well."""
        known = self._learned.setdefault(record.queue.name, _Learned())
        seen = math.log(max(observed_ms, 1.0))
        if known.usual is None:
            known.usual = seen
        declared = math.log(step.estimated_ms or UNKNOWN_MS)
        estimate_off = _limited(seen - declared - known.ratio)
        usual_off = _limited(seen - known.usual)
        known.ratio += WEIGHT * estimate_off
        known.usual += WEIGHT * usual_off
        known.estimate_error += WEIGHT * (
            abs(estimate_off) - known.estimate_error
        )
        known.usual_error += WEIGHT * (abs(usual_off) - known.usual_error)

    def expected_ms(
        self, record: ttypes.JobRecord, step: ttypes.Step
    ) -> float:
        """Returns how long a task of a step is expected to run."""
        declared_ms = float(step.estimated_ms or UNKNOWN_MS)
        known = self._learned.get(record.queue.name)
        if known is None or known.usual is None:
            return declared_ms
        # Weighed by the inverse of the squared errors.
        for_estimate = known.usual_error**2 + 1e-6
        for_usual = known.estimate_error**2 + 1e-6
        blended = (
            for_estimate * (math.log(declared_ms) + known.ratio)
            + for_usual * known.usual
        ) / (for_estimate + for_usual)
        return math.exp(blended)


def _limited(off: float) -> float:
    return min(max(off, -OFF_LIMIT), OFF_LIMIT)
