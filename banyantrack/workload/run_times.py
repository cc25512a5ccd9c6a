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

from banyantrack.generated.workload import ttypes
from banyantrack.workload import durations
from banyantrack.workload import layout
from banyantrack.workload import run_time_distribution as distribution
from banyantrack.workload import run_time_statistics as statistics_module

if typing.TYPE_CHECKING:
    import collections.abc

# Ends of one job that are kept; the others add nothing to its forecast.
JOB_RUNS_LIMIT = 64
# Least change of the logarithm of a projected run time.
PROJECTION_TOLERANCE = 0.05
# Jobs whose ends are kept, the latest ones.
JOBS_LIMIT = 2000
# Entries of one replicated change, about 10 KB.
MAX_SUMMARY_ENTRIES = 150
# Least probability of a time at which a censored run is learned from.
MIN_CENSORED_WEIGHT = 0.2
_NORMAL = statistics.NormalDist()


@dataclasses.dataclass(slots=True)
class _StepRuns:
    """Ended runs of one step of a job.

    Attributes:
        step: The step. Holding it keeps its id from being used again.
        number: Number of the step in its job.
        finished: Logarithms of run times of finished runs.
        projected: Logarithms of run times of active runs as their progress
            shows, by index of the task.
        ends: Number of ended runs since the step was last learned from.
        learned: Whether the queue has learned from the step.
        level: Estimated median of the tasks, as a logarithm; None if unknown.
        level_variance: Variance of the error of `level`.
        forecast: The current forecast.
        basis: statistics_module.Parameters that `forecast` is based on.
        job_changes: Changes of the job that `forecast` is based on.
    """

    step: ttypes.Step
    number: int
    finished: list[float] = dataclasses.field(default_factory=list)
    projected: dict[int, float] = dataclasses.field(default_factory=dict)
    ends: int = 0
    learned: bool = False
    level: float | None = None
    level_variance: float = 0.0
    forecast: distribution.Forecast | None = None
    basis: statistics_module.Parameters | None = None
    job_changes: int = 0


class _JobRuns:
    """Ended runs of one job."""

    __slots__ = ('changes', 'customer', 'customer_name', 'queue', 'steps')

    def __init__(
        self, queue: statistics_module.QueueStatistics, customer_name: str
    ) -> None:
        self.queue = queue
        self.customer_name = customer_name
        # Customers that no job has been learned from are not kept.
        self.customer = queue.customers.get(
            customer_name, statistics_module.CustomerStatistics()
        )
        self.steps: dict[int, _StepRuns] = {}
        self.changes = 0


@durations.MODELS.register('learned')
class RunTimes:
    """Forecasts of run times by queue, customer, shape and estimate."""

    def __init__(self) -> None:
        self._queues: dict[str, statistics_module.QueueStatistics] = {}
        self._jobs: dict[str, _JobRuns] = {}

    def expected_ms(
        self, record: ttypes.JobRecord, step: ttypes.Step
    ) -> float:
        """Returns the median run time of a task, in milliseconds."""
        return self.forecast(record, step).median_ms

    def forecast(
        self, record: ttypes.JobRecord, step: ttypes.Step
    ) -> distribution.Forecast:
        """Returns the forecast of a task's run time at worker speed 1.0.

        Args:
            record: The record of the job.
            step: The step of the task, one of the job's.
        """
        job = self._jobs.get(record.job.job_id) or self._new_job(record)
        runs = job.steps.get(id(step)) or _new_step(job, record, step)
        customer = job.customer = job.queue.customers.get(
            job.customer_name, job.customer
        )
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

    def remaining_ms(
        self, forecast: distribution.Forecast, ran_ms: float
    ) -> float:
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
        log_ms = math.log(distribution.bounded(ran_ms * speed))
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

    def observe_progress(
        self,
        record: ttypes.JobRecord,
        step: ttypes.Step,
        index: int,
        total_ms: float | None,
        now_ms: float,
    ) -> None:
        """Learns from the progress of an active run for its own job only.

        Args:
            record: The record of the job, which is not repeated.
            step: The step of the task, not a gang.
            index: Index of the task.
            total_ms: Run time at speed 1.0 that its progress shows, in
                milliseconds; None once the run has ended.
            now_ms: Time of day, in milliseconds since 1970.
        """
        job = self._jobs.get(record.job.job_id) or self._new_job(record)
        runs = job.steps.get(id(step)) or _new_step(job, record, step)
        known = runs.projected.get(index)
        if total_ms is None:
            runs.projected.pop(index, None)
            return
        log_ms = math.log(distribution.bounded(total_ms))
        if known is not None and abs(log_ms - known) < PROJECTION_TOLERANCE:
            return
        if known is None and len(runs.projected) >= JOB_RUNS_LIMIT:
            return
        runs.projected[index] = log_ms
        _estimate_level(record, job.queue, runs, now_ms)
        job.changes += 1

    def for_dry_run(self) -> RunTimes:
        """Returns a model whose forecasts change nothing of this one."""
        model = RunTimes()
        model._queues = dict(self._queues)
        model._jobs = dict(self._jobs)
        return model

    def snapshot(self, *, only_changed: bool = False) -> ttypes.RunTimeSummary:
        """Returns a summary, from which a new leader starts.

        Args:
            only_changed: Whether to leave out what `mark_published` has
                marked and has not changed since, and to return at most
                `MAX_SUMMARY_ENTRIES` entries.
        """
        entries = []
        for queue_name, queue in self._queues.items():
            if queue.changes > queue.published or not only_changed:
                entries.append(
                    ttypes.RunTimeEntry(
                        queue=queue_name, values=queue.to_summary()
                    )
                )
            for name, customer in queue.customers.items():
                if customer.changes > customer.published or (
                    customer.typical.runs and not only_changed
                ):
                    entries.append(
                        ttypes.RunTimeEntry(
                            queue=queue_name,
                            customer=name,
                            values=customer.to_summary(),
                        )
                    )
        if only_changed:
            del entries[MAX_SUMMARY_ENTRIES:]
        return ttypes.RunTimeSummary(entries=entries)

    def mark_published(self, summary: ttypes.RunTimeSummary) -> None:
        """Notes that a summary is replicated.

        Runs that have ended since it was made are published with the next
        change.
        """
        for entry in summary.entries:
            queue = self._queues[entry.queue]
            if entry.customer is None:
                queue.published = queue.changes
            elif entry.customer in queue.customers:
                customer = queue.customers[entry.customer]
                customer.published = customer.changes

    def restore(
        self, entries: collections.abc.Iterable[ttypes.RunTimeEntry]
    ) -> None:
        """Takes over the entries of summaries; invalid ones are ignored."""
        for entry in entries:
            queue = self._queue(entry.queue)
            if entry.customer is None:
                queue.restore(entry.values)
            else:
                queue.restore_customer(entry.customer, entry.values)

    def _queue(self, name: str) -> statistics_module.QueueStatistics:
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = statistics_module.QueueStatistics()
        return queue

    def _new_job(self, record: ttypes.JobRecord) -> _JobRuns:
        queue = self._queue(record.queue.name)
        job = _JobRuns(queue, record.customer)
        self._jobs[record.job.job_id] = job
        if len(self._jobs) > JOBS_LIMIT:
            del self._jobs[next(iter(self._jobs))]
        return job

    def _refresh(
        self,
        queue: statistics_module.QueueStatistics,
        customer: statistics_module.CustomerStatistics,
    ) -> None:
        """Computes the parameters of a customer, kept if about the same."""
        customer.checked = queue.changes
        fresh = queue.parameters(customer, self._common_bias(queue))
        kept = customer.parameters
        if kept is None or not kept.resembles(fresh):
            customer.parameters = fresh

    def _common_bias(self, queue: statistics_module.QueueStatistics) -> float:
        """Returns the bias of all estimates for a queue with few jobs."""
        if queue.bias.runs >= statistics_module.POOL_RUNS:
            return 0.0
        everyone = statistics_module.Moments()
        for other in self._queues.values():
            everyone.add(other.bias, 1.0)
        return everyone.mean

    def _learn_step(self, job: _JobRuns, runs: _StepRuns) -> None:
        """Learns from the finished runs of a step, as one job."""
        queue = job.queue
        values = runs.finished
        level = values[len(values) // 2]
        if not runs.step.gang and len(values) > 2:
            queue.observe_tasks(values, level)
        self._learn_level(job, runs, level, 1.0)

    def _learn_level(
        self, job: _JobRuns, runs: _StepRuns, level: float, weight: float
    ) -> None:
        # The statistics that the job has used so far may have been dropped.
        job.customer = job.queue.customer(job.customer_name)
        self._refresh(job.queue, job.customer)
        job.queue.observe_job(
            job.customer,
            _shape(runs.step),
            level,
            _declared_log(runs.step),
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
        weight = 1.0 - distribution.survival(forecast.parts, log_ms)
        if weight < MIN_CENSORED_WEIGHT:
            return
        ran_ms = math.exp(log_ms)
        level = math.log(
            distribution.bounded(ran_ms + forecast.remaining_ms(ran_ms))
        )
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
    job: _JobRuns, runs: _StepRuns, parameters: statistics_module.Parameters
) -> distribution.Forecast:
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
            + statistics_module.INITIAL_TASK_VARIANCE / 2,
        )
    parts = [
        distribution.Part(part.weight, part.mean + effect, part.variance)
        for part in statistics_module.prior_parts(queue, parameters, declared)
    ]
    based_on = parameters.runs
    if runs.level is not None and not step.gang:
        parts = _updated(parts, runs)
        based_on += len(runs.finished)
    if step.count > 1 and not step.gang:
        parts = _with_task_tail(queue, parts)
    return distribution.Forecast(distribution.pruned(parts), based_on)


def _error_of_other_steps(
    job: _JobRuns, runs: _StepRuns, parameters: statistics_module.Parameters
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


def _updated(
    parts: list[distribution.Part], runs: _StepRuns
) -> list[distribution.Part]:
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
    return distribution.normalized(weights, means, variances)


def _with_task_tail(
    queue: statistics_module.QueueStatistics, parts: list[distribution.Part]
) -> list[distribution.Part]:
    """Returns the run times of single tasks of a job of given level."""
    share = queue.task_tail.mean
    excess = queue.task_tail_log.mean
    variance = queue.task_variance.mean
    usual = [
        distribution.Part(
            part.weight * (1 - share), part.mean, part.variance + variance
        )
        for part in parts
    ]
    tail = [
        distribution.Part(
            part.weight * share, part.mean + excess, part.variance + variance
        )
        for part in parts
    ]
    return usual + tail


def _estimate_level(
    record: ttypes.JobRecord,
    queue: statistics_module.QueueStatistics,
    runs: _StepRuns,
    now_ms: float | None,
) -> None:
    """Estimates the median of a step's tasks from those that have ended.

    The runs that end first are shorter than the others. The rank of the
    median of the ended runs among all runs that have lasted at least so long
    gives its quantile.
    """
    values = sorted([*runs.finished, *runs.projected.values()])
    middle = (len(values) - 1) // 2
    at = values[middle]
    longer = len(values) - middle - 1
    is_repeated = layout.occurrences(record.job) > 1
    if now_ms is not None and not runs.step.gang and not is_repeated:
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
    """Returns the number of active runs that started before a time.

    Those whose progress is known are left out.
    """
    tasks = layout.group_tasks(record, 0, runs.number)
    return sum(
        bool(task.worker_id)
        and not task.done
        and task.started_ms < started_before_ms
        and not task.checkpoint
        and index not in runs.projected
        for index, task in enumerate(tasks)
    )


def _declared_log(step: ttypes.Step) -> float | None:
    """Returns the logarithm of the declared estimate, None if it is unfit."""
    if not step.estimated_ms or step.estimated_ms <= 0:
        return None
    return math.log(distribution.bounded(float(step.estimated_ms)))


def _shape(step: ttypes.Step) -> str:
    """Returns a key of the shape of a step.

    The run time of a gang is that of its longest member, so that it depends
    on the size of the gang.
    """
    kind = 'g' if step.gang else 't'
    return f'{kind}{step.count.bit_length()}.{step.accelerators.bit_length()}'
