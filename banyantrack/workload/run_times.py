"""Forecasts of run times, learned from the runs that have ended.

Designed for 200 customers, 250 ends a second and a planning round each 10 ms
with hundreds of jobs. Forecasts are kept by job and step until something is
learned that moves them noticeably.

A forecast combines two independent sources by their certainty: the typical
run time of the queue and customer, and the declared estimate corrected by its
usual bias. Statistics of a customer are completed by those of its queue, which
count as `POOL_RUNS` runs and in which each customer has a bounded weight.
Tasks that have ended outweigh both for the other tasks of the same job, since
an error of a declared estimate is common to all tasks of a job.

The state is soft: it belongs to the leader, is trusted from the runs that the
leader has recorded as ended, and is invalidated by newer runs only. A wrong
history costs time, since no guarantee, lease or rule depends on it.
"""

from __future__ import annotations

import dataclasses
import math
import statistics
import typing

from banyantrack.workload import durations
from banyantrack.workload import layout

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes

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
# Parts of a forecast with a smaller weight are left out.
MIN_PART_WEIGHT = 0.002
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
# Ends of one job that are kept; the others add nothing to its forecast.
JOB_RUNS_LIMIT = 64
# Jobs whose ends are kept, the latest ones.
JOBS_LIMIT = 2000
# Customers of one queue that are kept, the latest ones.
CUSTOMERS_LIMIT = 1000
# Range of run times and declared estimates that is learned from.
MIN_MS = 1.0
MAX_MS = 1e9
# Least probability of a time at which a censored run is learned from.
MIN_CENSORED_WEIGHT = 0.2
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
        return 1.0 - _survival(self._parts, at)

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
            if 1.0 - _survival(self._parts, middle) < q:
                low = middle
            else:
                high = middle
        return (low + high) / 2


def _survival(parts: tuple[Part, ...], at: float) -> float:
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
    """

    typical: Moments = dataclasses.field(default_factory=Moments)
    bias: Moments = dataclasses.field(default_factory=Moments)
    parameters: Parameters | None = None
    checked: int = -1


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

    def customer(self, name: str) -> CustomerStatistics:
        """Returns the statistics of a customer, which are used now."""
        found = self.customers.pop(name, None) or CustomerStatistics()
        self.customers[name] = found
        if len(self.customers) > CUSTOMERS_LIMIT:
            oldest = next(iter(self.customers))
            self._pool(self.customers.pop(oldest), -1.0)
        return found

    def learn(
        self,
        customer: CustomerStatistics,
        typical: float,
        bias: float | None,
        weight: float,
    ) -> None:
        """Learns from one job, for the customer and for the pool.

        Args:
            customer: Statistics that `customer` has just returned.
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


@dataclasses.dataclass(slots=True)
class _StepRuns:
    """Ended runs of one step of a job.

    Attributes:
        step: The step. Holding it keeps its id from being used again.
        number: Number of the step in its job.
        finished: Logarithms of run times of finished runs.
        ends: Number of ended runs since the step was last learned from.
        learned: Whether the queue has learned from the step.
        level: Estimated median of the tasks, as a logarithm; None if unknown.
        level_variance: Variance of the error of `level`.
        forecast: The current forecast.
        basis: Parameters that `forecast` is based on.
        job_changes: Changes of the job that `forecast` is based on.
    """

    step: ttypes.Step
    number: int
    finished: list[float] = dataclasses.field(default_factory=list)
    ends: int = 0
    learned: bool = False
    level: float | None = None
    level_variance: float = 0.0
    forecast: Forecast | None = None
    basis: Parameters | None = None
    job_changes: int = 0


class _JobRuns:
    """Ended runs of one job."""

    __slots__ = ('changes', 'customer', 'customer_name', 'queue', 'steps')

    def __init__(self, queue: QueueStatistics, customer_name: str) -> None:
        self.queue = queue
        self.customer_name = customer_name
        self.customer = queue.customer(customer_name)
        self.steps: dict[int, _StepRuns] = {}
        self.changes = 0


@durations.MODELS.register('learned')
class RunTimes:
    """Forecasts of run times by queue, customer, shape and estimate."""

    def __init__(self) -> None:
        self._queues: dict[str, QueueStatistics] = {}
        self._jobs: dict[str, _JobRuns] = {}

    def expected_ms(
        self, record: ttypes.JobRecord, step: ttypes.Step
    ) -> float:
        """Returns the median run time of a task, in milliseconds."""
        return self.forecast(record, step).median_ms

    def forecast(
        self, record: ttypes.JobRecord, step: ttypes.Step
    ) -> Forecast:
        """Returns the forecast of a task's run time at worker speed 1.0.

        Args:
            record: The record of the job.
            step: The step of the task, one of the job's.
        """
        job = self._jobs.get(record.job.job_id) or self._new_job(record)
        runs = job.steps.get(id(step)) or _new_step(job, record, step)
        customer = job.customer
        if customer.checked != job.queue.changes:
            self._refresh(job.queue, customer)
        if (
            runs.forecast is None
            or runs.basis is not customer.parameters
            or runs.job_changes != job.changes
        ):
            runs.basis = customer.parameters
            runs.job_changes = job.changes
            runs.forecast = _forecast(job, runs, customer.parameters)
        return runs.forecast

    def remaining_ms(self, forecast: Forecast, ran_ms: float) -> float:
        """Returns the expected remaining time of an active run.

        Args:
            forecast: The forecast of the run time.
            ran_ms: Time that the run has lasted, in milliseconds at speed
                1.0.
        """
        return forecast.remaining_ms(ran_ms)

    def observe(
        self,
        record: ttypes.JobRecord,
        step: ttypes.Step,
        ran_ms: float,
        speed: float = 1.0,
        censored: bool = False,
        now_ms: float | None = None,
    ) -> None:
        """Learns from a run that has ended.

        Failed runs are left out, since their time says nothing about
        finished ones. All members of a gang are reported; they count once.

        Args:
            record: The record of the job.
            step: The step of the task, one of the job's.
            ran_ms: Time that the run has lasted, in milliseconds.
            speed: Speed of its worker; 1.0 is usual.
            censored: Whether the run was stopped, lost or moved, or was
                resumed from a checkpoint, so that the whole run time is at
                least `ran_ms`.
            now_ms: Time of the end, in milliseconds since 1970. With it the
                active runs of the step are accounted for: those that end
                first are the shorter ones.
        """
        if not (ran_ms > 0 and speed > 0):
            return
        job = self._jobs.get(record.job.job_id) or self._new_job(record)
        runs = job.steps.get(id(step)) or _new_step(job, record, step)
        log_ms = math.log(_bounded(ran_ms * speed))
        runs.ends += 1
        if censored:
            self._learn_censored(record, job, runs, log_ms)
        elif len(runs.finished) < JOB_RUNS_LIMIT:
            if not step.gang or not runs.finished:
                runs.finished.append(log_ms)
                runs.finished.sort()
                _estimate_level(record, job.queue, runs, now_ms)
                job.changes += 1
        if runs.finished and (step.gang or runs.ends >= step.count):
            if not runs.learned:
                self._learn_step(job, runs)
            runs.learned = True
        if runs.ends >= step.count and layout.occurrences(record.job) > 1:
            # The next occurrence of the step is learned from as well.
            runs.ends = 0
            runs.learned = False
            runs.finished = runs.finished[len(runs.finished) // 2 :][:1]

    def _new_job(self, record: ttypes.JobRecord) -> _JobRuns:
        queue = self._queues.get(record.queue.name)
        if queue is None:
            queue = self._queues[record.queue.name] = QueueStatistics()
        job = _JobRuns(queue, record.customer)
        self._jobs[record.job.job_id] = job
        if len(self._jobs) > JOBS_LIMIT:
            del self._jobs[next(iter(self._jobs))]
        return job

    def _refresh(
        self, queue: QueueStatistics, customer: CustomerStatistics
    ) -> None:
        """Computes the parameters of a customer, kept if about the same."""
        customer.checked = queue.changes
        fresh = self._parameters(queue, customer)
        kept = customer.parameters
        if kept is None or not kept.resembles(fresh):
            customer.parameters = fresh

    def _parameters(
        self, queue: QueueStatistics, customer: CustomerStatistics
    ) -> Parameters:
        everyone = Moments()
        if queue.bias.runs < POOL_RUNS:
            for other in self._queues.values():
                everyone.add(other.bias, 1.0)
        pool = queue.bias.pooled(
            PRIOR_RUNS, everyone.mean, INITIAL_BIAS_VARIANCE
        )
        bias = customer.bias.pooled(POOL_RUNS, pool.mean, pool.variance)
        typical = None
        typical_variance = UNKNOWN_VARIANCE
        if queue.typical.runs:
            pool = queue.typical.pooled(
                PRIOR_RUNS, queue.typical.mean, INITIAL_TYPICAL_VARIANCE
            )
            own = customer.typical.pooled(POOL_RUNS, pool.mean, pool.variance)
            typical = own.mean
            typical_variance = own.variance * (1 + 1 / own.runs)
        return Parameters(
            typical,
            max(typical_variance, MIN_VARIANCE),
            bias.mean,
            max(bias.variance * (1 + 1 / bias.runs), MIN_VARIANCE),
            customer.typical.runs + min(queue.typical.runs, POOL_RUNS),
        )

    def _learn_step(self, job: _JobRuns, runs: _StepRuns) -> None:
        """Learns from the finished runs of a step, as one job."""
        queue = job.queue
        values = runs.finished
        level = values[len(values) // 2]
        if not runs.step.gang and len(values) > 2:
            _learn_tasks(queue, values, level)
        self._learn_level(job, runs, level, 1.0)

    def _learn_level(
        self, job: _JobRuns, runs: _StepRuns, level: float, weight: float
    ) -> None:
        queue = job.queue
        # The statistics that the job has used so far may have been dropped.
        customer = job.customer = queue.customer(job.customer_name)
        self._refresh(queue, customer)
        parameters = customer.parameters
        shape = _shape(runs.step)
        typical = level - queue.shape_log(shape)
        declared = _declared_log(runs.step)
        if parameters.typical is None:
            bias = None if declared is None else typical - declared
            queue.learn(customer, typical, bias, weight)
            return
        parts = _prior_parts(queue, parameters, declared)
        expected = sum(part.weight * part.mean for part in parts)
        excess = typical - parameters.typical
        typical_deviation = math.sqrt(parameters.typical_variance)
        long_for_queue = _is_tail(excess, typical_deviation)
        error = 0.0
        bias = None
        long_for_estimate = False
        if declared is not None:
            error = typical - declared - parameters.bias
            deviation = math.sqrt(parameters.bias_variance)
            long_for_estimate = _is_tail(error, deviation)
            bias = parameters.bias + _clamp(error, CLIP_DEVIATIONS * deviation)
        shared = weight * min(
            1.0, CUSTOMER_POOL_LIMIT / max(customer.typical.runs, 1.0)
        )
        for key in queue.shares:
            queue.shares[key] *= 1 - shared / MEMORY_JOBS
        queue.shares[long_for_queue, long_for_estimate] += shared
        if long_for_queue or long_for_estimate:
            queue.tail.observe(
                min(excess if long_for_queue else error, MAX_TAIL_LOG),
                shared,
                MEMORY_JOBS,
            )
        else:
            queue.shapes.setdefault(shape, Moments()).observe(
                _clamp(level - expected, TAIL_LOG), shared, MEMORY_JOBS
            )
            queue.calibration.observe(
                min(
                    (typical - expected) ** 2
                    / _combined_variance(parameters, declared),
                    MAX_CALIBRATION_SAMPLE,
                ),
                shared,
                MEMORY_JOBS,
            )
        queue.learn(
            customer,
            parameters.typical
            + _clamp(excess, CLIP_DEVIATIONS * typical_deviation),
            bias,
            weight,
        )

    def _learn_censored(
        self,
        record: ttypes.JobRecord,
        job: _JobRuns,
        runs: _StepRuns,
        log_ms: float,
    ) -> None:
        """Learns from a run that would have lasted for longer.

        The run counts as one that ends at its expected time, given that it
        has lasted so long. A run that is cut off early tells nothing and has
        no weight.
        """
        forecast = self.forecast(record, runs.step)
        weight = 1.0 - _survival(forecast.parts, log_ms)
        if weight < MIN_CENSORED_WEIGHT:
            return
        ran_ms = math.exp(log_ms)
        level = math.log(_bounded(ran_ms + forecast.remaining_ms(ran_ms)))
        self._learn_level(job, runs, level, weight / max(runs.step.count, 1))


def _new_step(
    job: _JobRuns, record: ttypes.JobRecord, step: ttypes.Step
) -> _StepRuns:
    number = next(
        (
            number
            for number, other in enumerate(record.job.steps)
            if other is step
        ),
        0,
    )
    runs = job.steps[id(step)] = _StepRuns(step, number)
    return runs


def _forecast(
    job: _JobRuns, runs: _StepRuns, parameters: Parameters
) -> Forecast:
    queue = job.queue
    step = runs.step
    effect = queue.shape_log(_shape(step))
    declared = _declared_log(step)
    error = _error_of_other_steps(job, runs, parameters)
    if error is not None:
        parameters = dataclasses.replace(
            parameters,
            bias=parameters.bias + error,
            bias_variance=0.25 * parameters.bias_variance
            + INITIAL_TASK_VARIANCE / 2,
        )
    parts = [
        Part(part.weight, part.mean + effect, part.variance)
        for part in _prior_parts(queue, parameters, declared)
    ]
    based_on = parameters.runs
    if runs.level is not None and not step.gang:
        parts = _updated(parts, runs)
        based_on += len(runs.finished)
    if step.count > 1 and not step.gang:
        parts = _with_task_tail(queue, parts)
    return Forecast(_pruned(parts), based_on)


def _error_of_other_steps(
    job: _JobRuns, runs: _StepRuns, parameters: Parameters
) -> float | None:
    """Returns the error of the estimates of other steps, as a logarithm.

    The errors of the estimates of one job have a common part.
    """
    if len(job.steps) < 2:
        return None
    errors = []
    for other in job.steps.values():
        declared = _declared_log(other.step)
        if (
            other is not runs
            and other.level is not None
            and declared is not None
        ):
            effect = job.queue.shape_log(_shape(other.step))
            errors.append(other.level - effect - declared - parameters.bias)
    return statistics.fmean(errors) if errors else None


def _prior_parts(
    queue: QueueStatistics, parameters: Parameters, declared: float | None
) -> list[Part]:
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
            Part(1 - share, typical, spread),
            Part(share, typical + tail, spread),
        ]
    corrected = declared + parameters.bias
    error = parameters.bias_variance
    if typical is None:
        return [Part(1.0, corrected, error)]
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
    return _normalized(weights, means, [variance * calibration] * len(means))


def _combined_variance(
    parameters: Parameters, declared: float | None
) -> float:
    """Returns the variance of a job's run time if both sources agree."""
    if declared is None:
        return parameters.typical_variance
    return 1 / (1 / parameters.typical_variance + 1 / parameters.bias_variance)


def _updated(parts: list[Part], runs: _StepRuns) -> list[Part]:
    """Returns the parts of a job's level, given what its ends say."""
    level, error = runs.level, runs.level_variance
    weights = []
    means = []
    variances = []
    for part in parts:
        both = part.variance + error
        weights.append(
            math.log(max(part.weight, 1e-12))
            - (level - part.mean) ** 2 / (2 * both)
            - math.log(both) / 2
        )
        means.append((part.mean * error + level * part.variance) / both)
        variances.append(part.variance * error / both)
    return _normalized(weights, means, variances)


def _normalized(
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


def _with_task_tail(queue: QueueStatistics, parts: list[Part]) -> list[Part]:
    """Returns the run times of single tasks of a job of given level."""
    share = queue.task_tail.mean
    excess = queue.task_tail_log.mean
    variance = queue.task_variance.mean
    usual = [
        Part(part.weight * (1 - share), part.mean, part.variance + variance)
        for part in parts
    ]
    tail = [
        Part(part.weight * share, part.mean + excess, part.variance + variance)
        for part in parts
    ]
    return usual + tail


def _pruned(parts: list[Part]) -> tuple[Part, ...]:
    kept = [part for part in parts if part.weight >= MIN_PART_WEIGHT]
    total = sum(part.weight for part in kept)
    return tuple(
        Part(part.weight / total, part.mean, part.variance) for part in kept
    )


def _learn_tasks(
    queue: QueueStatistics, values: list[float], level: float
) -> None:
    """Learns how the tasks of one job differ from their median."""
    usual = [value for value in values if value - level <= TAIL_LOG]
    for value in values:
        is_tail = value - level > TAIL_LOG
        queue.task_tail.observe(float(is_tail), 1.0, MEMORY_TASKS)
        if is_tail:
            queue.task_tail_log.observe(value - level, 1.0, MEMORY_JOBS)
    if len(usual) > 2:
        variance = max(statistics.variance(usual), MIN_VARIANCE)
        queue.task_variance.observe(variance, 1.0, MEMORY_JOBS)


def _estimate_level(
    record: ttypes.JobRecord,
    queue: QueueStatistics,
    runs: _StepRuns,
    now_ms: float | None,
) -> None:
    """Estimates the median of a step's tasks from those that have ended.

    The runs that end first are shorter than the others. The rank of the
    median of the ended runs among all runs that have lasted at least so long
    gives its quantile.
    """
    values = runs.finished
    middle = (len(values) - 1) // 2
    at = values[middle]
    longer = len(values) - middle - 1
    if now_ms is not None and not runs.step.gang:
        longer += _active_beyond(record, runs, now_ms - math.exp(at))
    rank = (middle + 0.6) / (middle + 1 + longer + 0.2)
    z = _NORMAL.inv_cdf(rank)
    variance = queue.task_variance.mean
    runs.level = at - z * math.sqrt(variance)
    count = len(values)
    runs.level_variance = variance * (
        (1.0 if count == 1 else 1.57 / count) + (0.3 * z) ** 2
    )
    if count <= 2:
        # One of few ended runs may be in the tail of its job.
        runs.level_variance += queue.task_tail.mean * (
            queue.task_tail_log.mean**2
        )


def _active_beyond(
    record: ttypes.JobRecord, runs: _StepRuns, started_before_ms: float
) -> int:
    """Returns the number of active runs that started before a time."""
    count = 0
    for occurrence in range(layout.occurrences(record.job)):
        for task in layout.group_tasks(record, occurrence, runs.number):
            if (
                task.worker_id
                and not task.done
                and task.started_ms < started_before_ms
                and not task.checkpoint
            ):
                count += 1
    return count


def _shape(step: ttypes.Step) -> str:
    """Returns a key of the shape of a step.

    The run time of a gang is that of its longest member, so that it depends
    on the size of the gang.
    """
    kind = 'g' if step.gang else 't'
    return f'{kind}{step.count.bit_length()}.{step.accelerators.bit_length()}'


def _declared_log(step: ttypes.Step) -> float | None:
    """Returns the logarithm of the declared estimate, None if it is unfit."""
    if not step.estimated_ms or step.estimated_ms <= 0:
        return None
    return math.log(_bounded(float(step.estimated_ms)))


def _bounded(value_ms: float) -> float:
    return min(max(value_ms, MIN_MS), MAX_MS)


def _is_tail(excess: float, deviation: float) -> bool:
    return excess > max(TAIL_LOG, CLIP_DEVIATIONS * deviation)


def _clamp(value: float, limit: float) -> float:
    return min(max(value, -limit), limit)
