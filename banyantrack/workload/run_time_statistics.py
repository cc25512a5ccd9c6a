"""Statistics of run times of one queue, which forecasts are made from.

Statistics of a customer are completed by the pool of the queue, in which each
customer has a bounded weight.
"""

from __future__ import annotations

import dataclasses
import math
import statistics

from banyantrack.workload import durations
from banyantrack.workload import run_time_distribution as distribution

# Number of jobs after which an observation has lost most of its weight.
MEMORY_JOBS = 150.0
# Number of a customer's own jobs that the pool of its queue outweighs.
POOL_RUNS = 5.0
# Largest weight of one customer in the pool of its queue, in jobs.
CUSTOMER_POOL_LIMIT = 20.0
# Weight of the initial variances in a pool, in jobs.
PRIOR_RUNS = 3.0
# Initial variances of natural logarithms: of run times between the jobs of a
# queue, of the error of estimates, and of run times within a job.
INITIAL_TYPICAL_VARIANCE = 0.5**2
INITIAL_BIAS_VARIANCE = 0.3**2
INITIAL_TASK_VARIANCE = 0.2**2
# Variance of a run time of which nothing is known.
UNKNOWN_VARIANCE = 1.0
# Smallest variances; run times repeat no more exactly than this.
MIN_VARIANCE = 0.02**2
# Observations farther from the mean than this many standard deviations are
# cut to it, so that the tail and wild estimates widen no usual forecast.
CLIP_DEVIATIONS = 2.5
# Smallest excess of a run in the tail, as a natural logarithm.
TAIL_LOG = math.log(3.0)
INITIAL_TAIL_LOG = math.log(5.0)
# Initial share of tasks in the tail, and its weight in tasks.
INITIAL_TASK_TAIL = 0.01
TASK_TAIL_WEIGHT = 50.0
MEMORY_TASKS = 3000.0
# Initial share of jobs by (long for the queue, long for the estimate), and
# its weight in jobs.
INITIAL_SHARES = {
    (False, False): 0.97,
    (True, False): 0.01,
    (False, True): 0.01,
    (True, True): 0.01,
}
SHARES_WEIGHT = 30.0
# Largest effect of the shape of a step, as a natural logarithm. It bounds
# what one customer's runs change for the others of its queue.
MAX_SHAPE_LOG = math.log(2.0)
SHAPE_PRIOR_RUNS = 10.0
# Limits of the correction of the variance of forecasts. The typical run time
# and the estimate err in common by what the tasks of a job differ.
CALIBRATION_LIMITS = (0.7, 2.0)
MAX_CALIBRATION_SAMPLE = 12.0
# Limit of the excess of the tail, as a natural logarithm.
MAX_TAIL_LOG = math.log(30.0)
# Changes of the statistics below these leave forecasts as they are.
MEAN_TOLERANCE = 0.04
VARIANCE_TOLERANCE = 0.2
# Values in a summary are integers: thousandths of the value.
SUMMARY_SCALE = 1000
# Limits of values that are taken from a summary.
MAX_SUMMARY_MEAN = math.log(distribution.MAX_MS)
MAX_SUMMARY_VARIANCE = 25.0
# Customers of one queue that are kept, the latest ones.
CUSTOMERS_LIMIT = 1000


@dataclasses.dataclass(slots=True)
class Moments:
    """Decayed sums of a quantity.

    Attributes:
        runs: Sum of the weights.
        total: Weighted sum.
        squares: Weighted sum of squares.
    """

    runs: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    @property
    def mean(self) -> float:
        """Weighted mean; 0 without observations."""
        return self.total / self.runs if self.runs else 0.0

    @property
    def variance(self) -> float:
        """Weighted variance; 0 without observations."""
        if not self.runs:
            return 0.0
        return max(self.squares / self.runs - self.mean**2, 0.0)

    def observe(self, value: float, weight: float, memory: float) -> None:
        """Adds a value after the decay of the earlier ones."""
        keep = 1.0 - weight / memory
        self.runs = self.runs * keep + weight
        self.total = self.total * keep + weight * value
        self.squares = self.squares * keep + weight * value * value

    def add(self, other: Moments, factor: float) -> None:
        """Adds the sums of another, multiplied by a factor."""
        self.runs = max(self.runs + factor * other.runs, 0.0)
        self.total += factor * other.total
        self.squares += factor * other.squares

    def to_summary(self) -> list[int]:
        """Returns the runs, mean and variance as integers."""
        return [
            round(SUMMARY_SCALE * value)
            for value in (self.runs, self.mean, self.variance)
        ]

    @classmethod
    def from_summary(cls, values: list[int]) -> Moments:
        """Returns the sums of a summary, cut to valid values."""
        runs, mean, variance = (value / SUMMARY_SCALE for value in values)
        runs = min(max(runs, 0.0), MEMORY_TASKS)
        mean = _clamp(mean, MAX_SUMMARY_MEAN)
        variance = min(max(variance, 0.0), MAX_SUMMARY_VARIANCE)
        return cls(runs, runs * mean, runs * (variance + mean * mean))

    def pooled(self, runs: float, mean: float, variance: float) -> Moments:
        """Returns these sums with those of further runs.

        The further runs count less if they vary more than these.
        """
        own = (self.runs * self.variance + PRIOR_RUNS * variance) / (
            self.runs + PRIOR_RUNS
        )
        runs *= min(1.0, own / variance)
        return Moments(
            self.runs + runs,
            self.total + runs * mean,
            self.squares + runs * (variance + mean * mean),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """What is known of the jobs of one customer in one queue.

    All means are of natural logarithms of milliseconds or of ratios.

    Attributes:
        typical: Mean run time; None if no run has ended in the queue.
        typical_variance: Its variance between jobs.
        bias: Mean ratio of the run time to the declared estimate.
        bias_variance: Its variance between jobs.
        runs: Number of jobs that these are based on.
    """

    typical: float | None
    typical_variance: float
    bias: float
    bias_variance: float
    runs: float

    def resembles(self, other: Parameters) -> bool:
        """Whether forecasts from both are about the same."""
        if (self.typical is None) != (other.typical is None):
            return False
        return (
            abs((self.typical or 0.0) - (other.typical or 0.0))
            < MEAN_TOLERANCE
            and abs(self.bias - other.bias) < MEAN_TOLERANCE
            and _is_near(self.typical_variance, other.typical_variance)
            and _is_near(self.bias_variance, other.bias_variance)
        )


def _is_near(value: float, other: float) -> bool:
    return abs(value - other) <= VARIANCE_TOLERANCE * other


@dataclasses.dataclass(slots=True)
class CustomerStatistics:
    """Statistics of the jobs of one customer in one queue.

    Attributes:
        typical: Logarithm of run times in milliseconds.
        bias: Logarithm of the ratio of run time to declared estimate.
        parameters: The result, kept until it changes noticeably.
        checked: Number of changes of the queue at which it was computed.
        changes: Number of changes.
        published: Number of changes that a replicated summary includes.
    """

    typical: Moments = dataclasses.field(default_factory=Moments)
    bias: Moments = dataclasses.field(default_factory=Moments)
    parameters: Parameters | None = None
    checked: int = -1
    changes: int = 0
    published: int = 0

    def to_summary(self) -> list[int]:
        """Returns the statistics as integers."""
        return self.typical.to_summary() + self.bias.to_summary()


class QueueStatistics:
    """Statistics of the jobs of one queue.

    Attributes:
        customers: Statistics by customer, the latest used one last.
        typical: Pool of the customers' run times.
        bias: Pool of the customers' ratios of run time to estimate.
        shares: Decayed number of jobs by (long for the queue, long for the
            estimate).
        tail: Excess of jobs in the tail, as a logarithm.
        calibration: Square of the error of forecasts over their variance.
        task_variance: Variance of the run times within a job.
        task_tail: Share of tasks in the tail of their job.
        task_tail_log: Excess of these tasks, as a logarithm.
        shapes: Effect of the shape of a step, as a logarithm.
        changes: Number of changes.
    """

    def __init__(self) -> None:
        self.customers: dict[str, CustomerStatistics] = {}
        self.typical = Moments()
        self.bias = Moments()
        self.shares = {
            key: SHARES_WEIGHT * share for key, share in INITIAL_SHARES.items()
        }
        self.tail = Moments(2.0, 2 * INITIAL_TAIL_LOG)
        self.calibration = Moments(10.0, 10.0)
        self.task_variance = Moments(4.0, 4 * INITIAL_TASK_VARIANCE)
        self.task_tail = Moments(
            TASK_TAIL_WEIGHT, TASK_TAIL_WEIGHT * INITIAL_TASK_TAIL
        )
        self.task_tail_log = Moments(2.0, 2 * INITIAL_TAIL_LOG)
        self.shapes: dict[str, Moments] = {}
        self.changes = 0
        # Number of changes that a replicated summary includes.
        self.published = 0

    def to_summary(self) -> list[int]:
        """Returns as integers what all customers share, without shapes."""
        values = [
            round(SUMMARY_SCALE * self.shares[key]) for key in INITIAL_SHARES
        ]
        for moments in self._shared():
            values += moments.to_summary()
        return values

    def restore(self, values: list[int]) -> None:
        """Takes over what `to_summary` has returned.

        Args:
            values: The integers; ignored if their number is wrong.
        """
        shared = self._shared()
        count = len(INITIAL_SHARES)
        if len(values) != count + 3 * len(shared):
            return
        for key, value in zip(INITIAL_SHARES, values, strict=False):
            share = min(max(value / SUMMARY_SCALE, 1e-3), MEMORY_JOBS)
            self.shares[key] = share
        for number, moments in enumerate(shared):
            first = count + 3 * number
            restored = Moments.from_summary(values[first : first + 3])
            if restored.runs > 0 and restored.mean > 0:
                moments.runs = restored.runs
                moments.total = restored.total
                moments.squares = restored.squares

    def restore_customer(self, name: str, values: list[int]) -> None:
        """Takes over a customer's `to_summary`, also into the pool.

        Args:
            name: The customer.
            values: The integers; ignored if their number is wrong.
        """
        if len(values) != 6:
            return
        customer = self.customer(name)
        self._pool(customer, -1.0)
        customer.typical = Moments.from_summary(values[:3])
        customer.bias = Moments.from_summary(values[3:])
        self._pool(customer, 1.0)
        self.changes += 1

    def _shared(self) -> tuple[Moments, ...]:
        return (
            self.tail,
            self.calibration,
            self.task_variance,
            self.task_tail,
            self.task_tail_log,
        )

    def customer(self, name: str) -> CustomerStatistics:
        """Returns the statistics of a customer, which are used now."""
        found = self.customers.pop(name, None) or CustomerStatistics()
        self.customers[name] = found
        if len(self.customers) > CUSTOMERS_LIMIT:
            oldest = next(iter(self.customers))
            self._pool(self.customers.pop(oldest), -1.0)
        return found

    def parameters(
        self, customer: CustomerStatistics, common_bias: float
    ) -> Parameters:
        """Returns what is known of a customer, completed by the pool.

        Args:
            customer: Its statistics.
            common_bias: Bias of estimates if the queue has few jobs.
        """
        pool = self.bias.pooled(PRIOR_RUNS, common_bias, INITIAL_BIAS_VARIANCE)
        bias = customer.bias.pooled(POOL_RUNS, pool.mean, pool.variance)
        typical = None
        typical_variance = UNKNOWN_VARIANCE
        if self.typical.runs:
            pool = self.typical.pooled(
                PRIOR_RUNS, self.typical.mean, INITIAL_TYPICAL_VARIANCE
            )
            own = customer.typical.pooled(POOL_RUNS, pool.mean, pool.variance)
            typical = own.mean
            typical_variance = own.variance * (1 + 1 / own.runs)
        return Parameters(
            typical,
            max(typical_variance, MIN_VARIANCE),
            bias.mean,
            max(bias.variance * (1 + 1 / bias.runs), MIN_VARIANCE),
            customer.typical.runs + min(self.typical.runs, POOL_RUNS),
        )

    def observe_job(
        self,
        customer: CustomerStatistics,
        shape: str,
        level: float,
        declared: float | None,
        weight: float,
    ) -> None:
        """Learns from one job.

        Args:
            customer: Statistics that `customer` has just returned, with
                parameters.
            shape: Key of the shape of the step.
            level: Logarithm of the median run time of its tasks.
            declared: Logarithm of the declared estimate; None without one.
            weight: Weight of the job, at most 1.
        """
        known = customer.parameters
        typical = level - self.shape_log(shape)
        if known.typical is None:
            bias = None if declared is None else typical - declared
            self._learn(customer, typical, bias, weight)
            return
        excess = typical - known.typical
        deviation = math.sqrt(known.typical_variance)
        long_for_queue = _is_tail(excess, deviation)
        usual = known.typical + _clamp(excess, CLIP_DEVIATIONS * deviation)
        error = 0.0
        bias = None
        long_for_estimate = False
        if declared is not None:
            error = typical - declared - known.bias
            deviation = math.sqrt(known.bias_variance)
            long_for_estimate = _is_tail(error, deviation)
            bias = known.bias + _clamp(error, CLIP_DEVIATIONS * deviation)
        # What all customers share is changed by each with a bounded weight.
        shared = weight * min(
            1.0, CUSTOMER_POOL_LIMIT / max(customer.typical.runs, 1.0)
        )
        for key in self.shares:
            self.shares[key] *= 1 - shared / MEMORY_JOBS
        self.shares[long_for_queue, long_for_estimate] += shared
        if long_for_queue or long_for_estimate:
            self.tail.observe(
                min(excess if long_for_queue else error, MAX_TAIL_LOG),
                shared,
                MEMORY_JOBS,
            )
        else:
            expected = sum(
                part.weight * part.mean
                for part in prior_parts(self, known, declared)
            )
            self.shapes.setdefault(shape, Moments()).observe(
                _clamp(level - expected, TAIL_LOG), shared, MEMORY_JOBS
            )
            variance = _combined_variance(known, declared)
            self.calibration.observe(
                min(
                    (typical - expected) ** 2 / variance,
                    MAX_CALIBRATION_SAMPLE,
                ),
                shared,
                MEMORY_JOBS,
            )
        self._learn(customer, usual, bias, weight)

    def observe_tasks(self, values: list[float], level: float) -> None:
        """Learns how the tasks of one job differ from their median.

        Args:
            values: Logarithms of their run times.
            level: Logarithm of the median.
        """
        usual = [value for value in values if value - level <= TAIL_LOG]
        for value in values:
            is_tail = value - level > TAIL_LOG
            self.task_tail.observe(float(is_tail), 1.0, MEMORY_TASKS)
            if is_tail:
                excess = min(value - level, MAX_TAIL_LOG)
                self.task_tail_log.observe(excess, 1.0, MEMORY_JOBS)
        if len(usual) > 2:
            variance = max(statistics.variance(usual), MIN_VARIANCE)
            self.task_variance.observe(variance, 1.0, MEMORY_JOBS)

    def _learn(
        self,
        customer: CustomerStatistics,
        typical: float,
        bias: float | None,
        weight: float,
    ) -> None:
        """Learns from one job, for the customer and for the pool.

        Args:
            customer: Its statistics.
            typical: Logarithm of the run time in milliseconds.
            bias: Logarithm of its ratio to the declared estimate; None
                without an estimate.
            weight: Weight of the job, at most 1.
        """
        self._pool(customer, -1.0)
        customer.typical.observe(typical, weight, MEMORY_JOBS)
        if bias is not None:
            customer.bias.observe(bias, weight, MEMORY_JOBS)
        self._pool(customer, 1.0)
        customer.changes += 1
        self.changes += 1

    def shape_log(self, shape: str) -> float:
        """Returns the effect of the shape of a step, as a logarithm."""
        found = self.shapes.get(shape)
        if found is None:
            return 0.0
        effect = found.total / (found.runs + SHAPE_PRIOR_RUNS)
        return _clamp(effect, MAX_SHAPE_LOG)

    def _pool(self, customer: CustomerStatistics, sign: float) -> None:
        """Adds a customer to the pool with a bounded weight, or takes it out.

        Args:
            customer: Its statistics.
            sign: 1 to add, -1 to take out what was added.
        """
        for own, pool in (
            (customer.typical, self.typical),
            (customer.bias, self.bias),
        ):
            if own.runs:
                pool.add(own, sign * min(1.0, CUSTOMER_POOL_LIMIT / own.runs))


def prior_parts(
    queue: QueueStatistics, parameters: Parameters, declared: float | None
) -> list[distribution.Part]:
    """Returns the distribution of a job's run time before any of its ends.

    Args:
        queue: Statistics of the queue.
        parameters: Those of the customer.
        declared: Logarithm of the declared estimate; None if there is none.
    """
    typical, spread = parameters.typical, parameters.typical_variance
    tail = queue.tail.mean
    if declared is None:
        if typical is None:
            typical = math.log(durations.DEFAULT_RUN_TIME_MS)
        long = queue.shares[True, False] + queue.shares[True, True]
        share = long / sum(queue.shares.values())
        return [
            distribution.Part(1 - share, typical, spread),
            distribution.Part(share, typical + tail, spread),
        ]
    corrected = declared + parameters.bias
    error = parameters.bias_variance
    if typical is None:
        return [distribution.Part(1.0, corrected, error)]
    calibration = min(
        max(queue.calibration.mean, CALIBRATION_LIMITS[0]),
        CALIBRATION_LIMITS[1],
    )
    variance = _combined_variance(parameters, declared)
    weights = []
    means = []
    for (long_for_queue, long_for_estimate), share in queue.shares.items():
        by_queue = typical + (tail if long_for_queue else 0.0)
        by_estimate = corrected + (tail if long_for_estimate else 0.0)
        weights.append(
            math.log(share)
            - (by_queue - by_estimate) ** 2 / (2 * (spread + error))
        )
        means.append(variance * (by_queue / spread + by_estimate / error))
    return distribution.normalized(
        weights, means, [variance * calibration] * len(means)
    )


def _combined_variance(
    parameters: Parameters, declared: float | None
) -> float:
    """Returns the variance of a job's run time if both sources agree."""
    if declared is None:
        return parameters.typical_variance
    return 1 / (1 / parameters.typical_variance + 1 / parameters.bias_variance)


def _is_tail(excess: float, deviation: float) -> bool:
    return excess > max(TAIL_LOG, CLIP_DEVIATIONS * deviation)


def _clamp(value: float, limit: float) -> float:
    return min(max(value, -limit), limit)
