"""Expected run times, learned from observed ones.

The accuracy of declared estimates ranges from nearly exact to useless and
differs by queue. So an estimate is blended with the typical run time of its
queue, weighted by their past errors.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from banyantrack.core import registry

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes

# Weight of the newest observation in the moving averages.
SMOOTHING_WEIGHT = 0.1
# Largest deviation of an observed from an expected run time that is learned
# from, as a natural logarithm; a larger one is a straggler and is cut to this.
MAX_LOG_ERROR = math.log(4)
# Errors before the first observation, such that estimates have more weight.
INITIAL_ESTIMATE_ERROR = 0.3
INITIAL_TYPICAL_ERROR = 1.0
# Run time of a step without an estimate.
DEFAULT_RUN_TIME_MS = 1000.0
# Models of run times, by value of the setting `run_time_forecasts`.
MODELS: registry.Registry[type] = registry.Registry('run time model')


@dataclasses.dataclass(slots=True)
class _QueueStatistics:
    """Moving averages of one queue; all values are natural logarithms.

    Attributes:
        estimate_ratio: Observed over declared run time.
        typical: Observed run time in milliseconds; None before the first.
        estimate_error: Absolute error of estimates that were corrected by
            `estimate_ratio`.
        typical_error: Absolute error of the typical run time.
    """

    estimate_ratio: float = 0.0
    typical: float | None = None
    estimate_error: float = INITIAL_ESTIMATE_ERROR
    typical_error: float = INITIAL_TYPICAL_ERROR


@MODELS.register('off')
class LearnedDurations:
    """Expected run times, learned by queue."""

    def __init__(self) -> None:
        self._by_queue: dict[str, _QueueStatistics] = {}

    def observe(
        self,
        record: ttypes.JobRecord,
        step: ttypes.Step,
        observed_ms: float,
    ) -> None:
        """Learns from the run time of a successful run, in milliseconds."""
        stats = self._by_queue.setdefault(
            record.queue.name, _QueueStatistics()
        )
        log_observed = math.log(max(observed_ms, 1.0))
        if stats.typical is None:
            stats.typical = log_observed
        log_declared = math.log(step.estimated_ms or DEFAULT_RUN_TIME_MS)
        estimate_deviation = _clamp(
            log_observed - log_declared - stats.estimate_ratio
        )
        typical_deviation = _clamp(log_observed - stats.typical)
        stats.estimate_ratio += SMOOTHING_WEIGHT * estimate_deviation
        stats.typical += SMOOTHING_WEIGHT * typical_deviation
        stats.estimate_error += SMOOTHING_WEIGHT * (
            abs(estimate_deviation) - stats.estimate_error
        )
        stats.typical_error += SMOOTHING_WEIGHT * (
            abs(typical_deviation) - stats.typical_error
        )

    def for_dry_run(self) -> LearnedDurations:
        """Returns a model whose answers change nothing of this one."""
        return self

    def expected_ms(
        self, record: ttypes.JobRecord, step: ttypes.Step
    ) -> float:
        """Returns the expected run time of a task, in milliseconds."""
        declared_ms = float(step.estimated_ms or DEFAULT_RUN_TIME_MS)
        stats = self._by_queue.get(record.queue.name)
        if stats is None or stats.typical is None:
            return declared_ms
        # Inverse-variance weighting, multiplied by both squared errors.
        estimate_weight = stats.typical_error**2 + 1e-6
        typical_weight = stats.estimate_error**2 + 1e-6
        log_expected = (
            estimate_weight * (math.log(declared_ms) + stats.estimate_ratio)
            + typical_weight * stats.typical
        ) / (estimate_weight + typical_weight)
        return math.exp(log_expected)


def _clamp(deviation: float) -> float:
    return min(max(deviation, -MAX_LOG_ERROR), MAX_LOG_ERROR)
