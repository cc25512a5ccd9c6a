"""Tests of forecasts of run times."""

from __future__ import annotations

import math
import random
import time

import testtools

from banyantrack.core import metrics
from banyantrack.daemons import run_forecasts
from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
from banyantrack.workload import capacity
from banyantrack.workload import durations
from banyantrack.workload import layout
from banyantrack.workload import run_time_distribution as distribution
from banyantrack.workload import run_time_statistics
from banyantrack.workload import run_times

End = ttypes.EndKind


def record(
    job_id: str, *steps: ttypes.Step, **values: str
) -> ttypes.JobRecord:
    """Returns the record of a job that was just accepted."""
    state = builders.state()
    builders.submit(state, builders.job(job_id, *steps), **values)
    return state.jobs[job_id]


class _Jobs:
    """Jobs with log-normal run times; their estimates err in common.

    Args:
        seed: Seed of the jobs.
        bias: Logarithm of the usual ratio of run time to estimate.
        error: Standard deviation of the error of estimates, as a logarithm.
    """

    def __init__(
        self, seed: int, *, bias: float = 0.3, error: float = 0.3
    ) -> None:
        self._rng = random.Random(seed)
        self._bias = bias
        self._error = error
        self._count = 0

    def draw(
        self, *, tasks: int = 1, tail: float = 0.0, **values: str
    ) -> tuple[ttypes.JobRecord, list[float]]:
        """Returns a job and the run time of each task in milliseconds."""
        self._count += 1
        rng = self._rng
        usual_ms = 5000 * rng.lognormvariate(0, 0.4)
        estimated_ms = usual_ms * rng.lognormvariate(-self._bias, self._error)
        job = record(
            f'j{self._count}',
            builders.step(count=tasks, estimated_ms=int(estimated_ms)),
            **values,
        )
        return job, [
            usual_ms
            * rng.lognormvariate(0, 0.2)
            * (7 if rng.random() < tail else 1)
            for _ in range(tasks)
        ]


def learn(
    model: run_times.RunTimes,
    jobs: _Jobs,
    count: int,
    **values: object,
) -> None:
    """Lets a model learn from finished jobs."""
    for _ in range(count):
        job, tasks_ms = jobs.draw(**values)
        for ran_ms in tasks_ms:
            model.observe(job, job.job.steps[0], ran_ms)


class TestForecast(testtools.TestCase):
    """Quantiles and remaining times of one distribution."""

    def setUp(self) -> None:
        super().setUp()
        self.forecast = distribution.Forecast(
            (
                distribution.Part(0.97, math.log(2000), 0.04),
                distribution.Part(0.03, math.log(14_000), 0.04),
            ),
            10.0,
        )

    def test_quantiles(self) -> None:
        # Guards against a tail that widens the usual range.
        self.assertAlmostEqual(2000, self.forecast.median_ms, delta=40)
        self.assertLess(self.forecast.quantile_ms(0.9), 2800)
        self.assertGreater(self.forecast.quantile_ms(0.99), 12_000)

    def test_remaining(self) -> None:
        # Guards against a straggler that always seems about to end.
        usual_ms = self.forecast.remaining_ms(1000)
        self.assertAlmostEqual(1400, usual_ms, delta=100)
        self.assertGreater(self.forecast.remaining_ms(5000), 8000)

    def test_remaining_of_sampled_run_times(self) -> None:
        # Guards against a wrong mean of the truncated distribution.
        rng = random.Random(1)
        sampled = [
            (14_000 if rng.random() < 0.03 else 2000)
            * rng.lognormvariate(0, 0.2)
            for _ in range(100_000)
        ]
        for ran_ms in (0, 500, 1900, 2500, 6000, 15_000):
            alive = [value - ran_ms for value in sampled if value > ran_ms]
            self.assertAlmostEqual(
                sum(alive) / len(alive),
                self.forecast.remaining_ms(ran_ms),
                delta=0.1 * sum(alive) / len(alive) + 20,
            )

    def test_run_beyond_all_runs(self) -> None:
        # Guards against a division by a probability of zero.
        remaining_ms = self.forecast.remaining_ms(1e8)
        self.assertGreater(remaining_ms, 0)
        self.assertLess(remaining_ms, 1e9)


class TestRunTimes(testtools.TestCase):
    """What is learned from ended runs."""

    def setUp(self) -> None:
        super().setUp()
        self.model = run_times.RunTimes()

    def forecast(self, job: ttypes.JobRecord) -> distribution.Forecast:
        return self.model.forecast(job, job.job.steps[0])

    def test_nothing_learned(self) -> None:
        # Guards against a new system that ignores declared estimates.
        job = record('a', builders.step(estimated_ms=3000))
        forecast = self.forecast(job)
        self.assertAlmostEqual(3000, forecast.median_ms, delta=5)
        self.assertEqual(0, forecast.runs)

    def test_coverage_on_held_out_jobs(self) -> None:
        # Guards against ranges that are too narrow or too wide to decide on.
        jobs = _Jobs(1)
        learn(self.model, jobs, 150)
        within = {0.5: 0, 0.9: 0}
        for _ in range(400):
            job, tasks_ms = jobs.draw()
            forecast = self.forecast(job)
            for share in within:
                low_ms = forecast.quantile_ms(0.5 - share / 2)
                high_ms = forecast.quantile_ms(0.5 + share / 2)
                within[share] += low_ms <= tasks_ms[0] <= high_ms
        self.assertTrue(0.85 <= within[0.9] / 400 <= 0.95, within)
        self.assertTrue(0.42 <= within[0.5] / 400 <= 0.58, within)

    def test_bias_of_estimates(self) -> None:
        # Guards against estimates that are always wrong by the same factor
        # and are believed again and again.
        jobs = _Jobs(2, bias=math.log(10), error=0.1)
        learn(self.model, jobs, 40)
        job, tasks_ms = jobs.draw()
        self.assertAlmostEqual(
            0, math.log(self.forecast(job).median_ms / tasks_ms[0]), delta=0.6
        )

    def test_new_customer(self) -> None:
        # Guards against a new customer that starts from nothing.
        jobs = _Jobs(3, bias=0.7)
        learn(self.model, jobs, 60, customer='growers')
        job = record(
            'new', builders.step(estimated_ms=2500), customer='pickers'
        )
        self.assertAlmostEqual(5000, self.forecast(job).median_ms, delta=1000)

    def test_customers_do_not_change_each_other(self) -> None:
        # Guards against a customer whose wild run times and estimates change
        # the forecasts of the others.
        jobs = _Jobs(4, bias=0.0)
        learn(self.model, jobs, 60, customer='growers')
        job = record('x', builders.step(estimated_ms=5000))
        before_ms = self.forecast(job).median_ms
        p90_ms = self.forecast(job).quantile_ms(0.9)
        for number in range(500):
            wild = record(
                f'w{number}',
                builders.step(estimated_ms=10 ** (number % 9)),
                customer='pickers',
            )
            self.model.observe(wild, wild.job.steps[0], 1e6)
        forecast = self.forecast(job)
        self.assertAlmostEqual(before_ms, forecast.median_ms, delta=1000)
        self.assertAlmostEqual(
            p90_ms, forecast.quantile_ms(0.9), delta=0.5 * p90_ms
        )

    def test_unusable_estimates(self) -> None:
        # Guards against an estimate that stops a planning round.
        for estimated_ms in (0, -5, None, 2**63 - 1):
            job = record('a')
            job.job.steps[0].estimated_ms = estimated_ms
            for _ in range(3):
                forecast = self.forecast(job)
                self.assertTrue(math.isfinite(forecast.quantile_ms(0.95)))
                self.model.observe(job, job.job.steps[0], 2000)
                self.model.observe(job, job.job.steps[0], -1)
                self.model.observe(job, job.job.steps[0], float('inf'))
                self.model.observe(job, job.job.steps[0], float('nan'))

    def test_tasks_of_the_same_job(self) -> None:
        # Guards against an estimate that is believed although ended tasks of
        # the same job show that it is wrong.
        learn(self.model, _Jobs(5), 40, tasks=8)
        job = record('x', builders.step(count=20, estimated_ms=5000))
        before = self.forecast(job)
        for ran_ms in (14_000, 15_000, 16_000, 15_500):
            self.model.observe(job, job.job.steps[0], ran_ms)
        after = self.forecast(job)
        self.assertAlmostEqual(15_000, after.median_ms, delta=1500)
        self.assertLess(
            after.quantile_ms(0.9) / after.quantile_ms(0.1),
            before.quantile_ms(0.9) / before.quantile_ms(0.1),
        )

    def test_steps_of_the_same_job(self) -> None:
        # Guards against an error of the estimates of a job that is found
        # anew in each of its steps.
        learn(self.model, _Jobs(6, bias=0.0), 40)
        steps = [
            builders.step(estimated_ms=5000),
            builders.step(estimated_ms=6000, depends_on=[0]),
        ]
        job = record('x', *steps)
        second = job.job.steps[1]
        before_ms = self.model.forecast(job, second).median_ms
        self.model.observe(job, job.job.steps[0], 9000)
        after_ms = self.model.forecast(job, second).median_ms
        self.assertGreater(after_ms, 1.2 * before_ms)

    def test_first_ends_are_the_shorter_ones(self) -> None:
        # Guards against a job that is forecast too short because the
        # shortest of its tasks end first.
        learn(self.model, _Jobs(7), 60, tasks=8)
        rng = random.Random(7)
        errors = []
        for number in range(40):
            state = builders.state(
                builders.worker('w', accelerators=64, cpu_milli=10**6)
            )
            builders.submit(
                state,
                builders.job(
                    f'x{number}',
                    builders.step(count=30, estimated_ms=4000, memory_mb=1),
                ),
            )
            builders.start(state, builders.plan(state))
            job = state.jobs[f'x{number}']
            tasks_ms = sorted(
                5000 * rng.lognormvariate(0, 0.2) for _ in range(30)
            )
            for index in range(3):
                job.tasks[index].done = True
                job.tasks[index].worker_id = ''
                self.model.observe(
                    job,
                    job.job.steps[0],
                    tasks_ms[index],
                    now_ms=builders.NOW_MS + tasks_ms[index],
                )
            errors.append(math.log(self.forecast(job).median_ms / 5000))
        self.assertAlmostEqual(0, sum(errors) / 40, delta=0.1)

    def test_tail_is_kept_apart(self) -> None:
        # Guards against stragglers that make all tasks seem longer.
        learn(self.model, _Jobs(8, error=0.05), 120, tasks=20, tail=0.03)
        job = record('x', builders.step(count=20, estimated_ms=3700))
        for _ in range(6):
            self.model.observe(job, job.job.steps[0], 5000)
        forecast = self.forecast(job)
        self.assertAlmostEqual(5000, forecast.median_ms, delta=500)
        self.assertLess(forecast.quantile_ms(0.9), 8000)
        self.assertGreater(forecast.quantile_ms(0.99), 20_000)

    def test_runs_that_were_stopped(self) -> None:
        # Guards against stopped runs that count as short ones, and against
        # long jobs that are stopped more often and are left out.
        rng = random.Random(9)
        for number in range(200):
            job = record(f'x{number}', builders.step(estimated_ms=0))
            ran_ms = 5000 * rng.lognormvariate(0, 0.4)
            stopped_ms = rng.expovariate(1 / 8000)
            self.model.observe(
                job,
                job.job.steps[0],
                min(ran_ms, stopped_ms),
                censored=stopped_ms < ran_ms,
            )
        job = record('x', builders.step(estimated_ms=0))
        median_ms = self.forecast(job).median_ms
        self.assertAlmostEqual(0, math.log(median_ms / 5000), delta=0.2)

    def test_gang_counts_once(self) -> None:
        # Guards against large gangs that outweigh all other jobs.
        for number in range(10):
            job = record(
                f'x{number}',
                builders.step(count=64, gang=True, estimated_ms=4000),
            )
            for _ in range(64):
                self.model.observe(job, job.job.steps[0], 4000)
        self.assertLess(self.forecast(job).runs, 16)

    def test_slow_workers(self) -> None:
        # Guards against run times on slow workers that count as long jobs.
        for number in range(60):
            job = record(f'x{number}', builders.step(estimated_ms=0))
            speed = 0.5 if number % 2 else 1.0
            self.model.observe(job, job.job.steps[0], 3000 / speed, speed)
        job = record('x', builders.step(estimated_ms=0))
        self.assertAlmostEqual(3000, self.forecast(job).median_ms, delta=150)

    def test_change_of_run_times(self) -> None:
        # Guards against a history that never ends.
        for number in range(1200):
            job = record(f'x{number}', builders.step(estimated_ms=0))
            ran_ms = 2000 if number < 600 else 8000
            self.model.observe(job, job.job.steps[0], ran_ms)
        job = record('x', builders.step(estimated_ms=0))
        self.assertAlmostEqual(8000, self.forecast(job).median_ms, delta=1500)

    def test_forecast_is_kept(self) -> None:
        # Guards against forecasts that are computed anew in each round.
        learn(self.model, _Jobs(10), 150)
        job = record('x', builders.step(estimated_ms=4000))
        first = self.forecast(job)
        self.assertIs(first, self.forecast(job))
        kept = 0
        jobs = _Jobs(11)
        for _ in range(20):
            learn(self.model, jobs, 1)
            kept += self.forecast(job) is first
        self.assertGreater(kept, 2)

    def test_design_load(self) -> None:
        # Guards against forecasts that take up the planning round: 300 jobs
        # that are asked about in 100 rounds, with 20 ends in each.
        jobs = _Jobs(12)
        waiting = [jobs.draw()[0] for _ in range(300)]
        ending = [jobs.draw() for _ in range(2000)]
        started_s = time.process_time()
        for number in range(100):
            for job, tasks_ms in ending[20 * number : 20 * number + 20]:
                self.model.observe(job, job.job.steps[0], tasks_ms[0])
            for job in waiting:
                self.forecast(job)
        self.assertLess(time.process_time() - started_s, 3.0)

    def test_many_customers_and_jobs(self) -> None:
        # Guards against a history that grows without bound.
        for number in range(run_time_statistics.CUSTOMERS_LIMIT + 50):
            job = record(f'x{number}', builders.step(estimated_ms=1000))
            job.customer = f'c{number}'
            self.model.observe(job, job.job.steps[0], 1000)
        queue = self.model._queues['usual']
        self.assertEqual(
            run_time_statistics.CUSTOMERS_LIMIT, len(queue.customers)
        )
        self.assertAlmostEqual(
            run_time_statistics.CUSTOMERS_LIMIT, queue.typical.runs, delta=1
        )
        self.assertLessEqual(len(self.model._jobs), run_times.JOBS_LIMIT)


class TestModels(testtools.TestCase):
    """Values of the setting `run_time_forecasts`."""

    def test_models(self) -> None:
        # Guards against a value of the setting without a model.
        self.assertEqual(['learned', 'off'], list(durations.MODELS))
        self.assertIs(durations.LearnedDurations, durations.MODELS.get('off'))


class TestRunForecasts(testtools.TestCase):
    """Forecasts of placed runs."""

    def setUp(self) -> None:
        super().setUp()
        self.model = run_times.RunTimes()
        self.metrics = metrics.Metrics()
        self.state = builders.state(
            builders.worker('w1', labels=['a', 'r1']),
            builders.worker('w2', labels=['a', 'r2']),
        )
        self.forecasts = run_forecasts.RunForecasts(
            self.state,
            self.model,
            self.metrics,
            remote_factor=3.0,
            lease_ms=2000,
            stop_ms=400,
        )

    def start(
        self, step: ttypes.Step
    ) -> tuple[ttypes.JobRecord, list[ttypes.RunStart]]:
        builders.submit(self.state, builders.job('a', step))
        starts = builders.start(self.state, builders.plan(self.state))
        return self.state.jobs['a'], starts

    def end(
        self,
        job: ttypes.JobRecord,
        start: ttypes.RunStart,
        kind: int,
        ran_ms: float,
    ) -> dict[str, object]:
        end = ttypes.RunEnd(task=start.task, run=start.run, kind=kind)
        return self.forecasts.ended(
            job,
            layout.task_id(start.task),
            end,
            ran_ms,
            builders.NOW_MS + ran_ms,
        )

    def learned_runs(self, job: ttypes.JobRecord) -> float:
        return self.model.forecast(job, job.job.steps[0]).runs

    def test_finished(self) -> None:
        # Guards against log lines without the forecast that was decided on.
        job, starts = self.start(builders.step(estimated_ms=2000))
        key = layout.task_id(starts[0].task)
        placed = self.forecasts.placed(job, key)
        self.assertAlmostEqual(2000, placed['expected_ms'], delta=5)
        self.assertGreater(placed['p90_ms'], 2000)
        self.assertEqual(placed, self.end(job, starts[0], End.DONE, 3000))
        ratio = self.metrics.histogram(
            'banyan_run_time_ratio_permille', queue='usual'
        )
        self.assertAlmostEqual(1500, ratio.quantile(50), delta=20)
        self.assertGreater(self.learned_runs(job), 0)

    def test_failed(self) -> None:
        # Guards against failed runs that count as short ones.
        job, starts = self.start(builders.step())
        self.forecasts.placed(job, layout.task_id(starts[0].task))
        self.end(job, starts[0], End.FAILED, 50)
        self.assertEqual(0, self.learned_runs(job))

    def test_remote_gang(self) -> None:
        # Guards against a gang in several racks whose run time counts as
        # usual.
        job, starts = self.start(
            builders.step(
                count=2,
                accelerators=8,
                gang=True,
                same_rack=True,
                estimated_ms=2000,
            )
        )
        if not starts:
            self.state.apply(
                ttypes.WorkCommand(
                    starts=[
                        ttypes.RunStart(
                            task=layout.task_key(
                                layout.TaskId('a', 0, 0, index)
                            ),
                            run=1,
                            worker_id=f'w{index + 1}',
                            incarnation=1,
                            checkpoint='',
                            ticket='',
                        )
                        for index in range(2)
                    ]
                ),
                builders.NOW_MS,
            )
        placed = self.forecasts.placed(job, layout.TaskId('a', 0, 0, 0))
        self.assertAlmostEqual(6000, placed['expected_ms'], delta=20)

    def test_remaining(self) -> None:
        # Guards against runs without progress reports that seem to end now.
        job, starts = self.start(builders.step(estimated_ms=4000))
        fleet = builders.fleet(self.state)
        run = fleet.get(starts[0].worker_id).runs[0]
        remaining_ms = self.forecasts.remaining_ms(run, builders.NOW_MS + 1000)
        self.assertAlmostEqual(3150, remaining_ms, delta=200)
        self.assertIsInstance(run, capacity.RunAllocation)

    def test_progress_of_the_same_job(self) -> None:
        # Guards against waiting tasks that are forecast by a wrong estimate
        # although active ones show that they take longer.
        job, starts = self.start(builders.step(count=30, estimated_ms=2000))
        self.assertEqual(16, len(starts))
        for start in starts:
            key = layout.task_id(start.task)
            self.forecasts.placed(job, key)
            self.forecasts.on_progress(
                job, layout.RunId(key, 1), 20, builders.NOW_MS + 1000
            )
        forecast = self.model.forecast(job, job.job.steps[0])
        self.assertAlmostEqual(5000, forecast.median_ms, delta=300)
        self.end(job, starts[0], End.DONE, 5000)
        self.assertAlmostEqual(
            5000,
            self.model.forecast(job, job.job.steps[0]).median_ms,
            delta=300,
        )
        self.assertEqual(0, len(self.model._queues['usual'].customers))

    def test_progress_that_tells_nothing(self) -> None:
        # Guards against a division by zero and against run times from early
        # or invalid progress.
        job, starts = self.start(builders.step(count=2, estimated_ms=2000))
        key = layout.task_id(starts[0].task)
        before = self.model.forecast(job, job.job.steps[0])
        for percent in (-5, 0, 1, 100, 2**31):
            self.forecasts.on_progress(
                job, layout.RunId(key, 1), percent, builders.NOW_MS
            )
        for other in (
            layout.RunId(key, 7),
            layout.RunId(layout.TaskId('a', 0, 9, 0), 1),
            layout.RunId(layout.TaskId('a', -1, 0, 99), 1),
        ):
            self.forecasts.on_progress(job, other, 50, builders.NOW_MS + 1000)
        self.assertIs(before, self.model.forecast(job, job.job.steps[0]))

    def test_resumed(self) -> None:
        # Guards against resumed runs that count as short ones.
        job, starts = self.start(builders.step(checkpointable=True))
        key = layout.task_id(starts[0].task)
        layout.find_task(job, key).checkpoint = 'c1'
        self.forecasts.placed(job, key)
        self.end(job, starts[0], End.DONE, 20)
        self.assertEqual(0, self.learned_runs(job))
