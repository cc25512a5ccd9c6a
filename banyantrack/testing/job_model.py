"""Simulation of job scheduling under a seeded load, in virtual time.

The planner of the product schedules; simulated workers of different speeds
run the tasks. Job sizes, the shares of gangs, errors of declared run times
and long tails follow the users' descriptions of their traffic. The value of
a job depends on its completion time, as in `workload.values`.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import itertools
import math
import random
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.testing import job_decisions
from banyantrack.testing import work_builders as builders
from banyantrack.workload import capacity
from banyantrack.workload import durations as durations_module
from banyantrack.workload import layout
from banyantrack.workload import run_times
from banyantrack.workload import speeds as speeds_module
from banyantrack.workload import state as state_module
from banyantrack.workload import values

if typing.TYPE_CHECKING:
    import collections.abc

# Simulated time at which arrivals begin.
START_MS = 1_000_000
# Time from a decision until a worker carries it out.
ORDER_DELAY_MS = 4.0
# Time until a stopped run has ended, as a share of the longest that the site
# allows, and the time until control notices.
STOP_SHARES = (0.4, 1.0)
STOP_NOTICE_MS = 50.0
# Delay of a round after an event, and interval of rounds without events.
ROUND_DELAY_MS = 10.0
IDLE_ROUND_INTERVAL_MS = 100.0
# Interval at which the planner receives the progress of a run.
PROGRESS_INTERVAL_MS = 1000.0
# Factor on the run time of a gang that belongs in one rack and spans several.
REMOTE_FACTOR = 3.0
# Interval at which some of the workers report progress.
PROGRESS_TICK_MS = 100.0
CHECKPOINT_INTERVAL_MS = 500.0
RESTORE_DURATION_MS = 100.0
# Time after the last arrival in which jobs may still finish.
SETTLE_MS = 14_000.0
# The same, so that the longest jobs end also on the slowest workers.
LONG_SETTLE_MS = 60_000.0
# Length of the windows of arrival of which Verdict.worst reports the worst.
WINDOW_MS = 2000.0
# Factors on run times, assigned to workers in turn.
RUN_TIME_FACTORS = (1.0, 1.0, 1.3)
# Accelerators of a task are drawn from these.
ACCELERATOR_CHOICES = (1, 2, 4, 8, 8)
MAX_GANG_ACCELERATORS = 32
# Run time of a straggler over that of the other tasks of its job.
STRAGGLER_FACTOR = 7
# Load of the contended sites at which demand exceeds their capacity for
# seconds: the model has no lost workers, so that the load of the deployment
# that they describe does not suffice.
CONTENDED_LOAD = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class JobKind:
    """One kind of job. All shares are from 0 to 1.

    Attributes:
        queue: Name of its queue.
        jobs_per_s: Mean arrivals a second.
        mean_tasks: Mean number of tasks of a job.
        mean_work_ms: Mean run time of a task.
        work_sigma: Standard deviation of the logarithm of the run time
            between jobs.
        estimate_sigma: Standard deviation of the logarithm of the ratio of
            declared to usual run time.
        cpu_milli: Processors of a task, in thousandths.
        memory_mb: Memory of a task.
        gang_share: Share of jobs of more than one task that are gangs.
        same_rack_share: Share of gangs that belong in one rack.
        checkpointable_share: Share of jobs that save their progress.
        cancelled_share: Share of jobs that are cancelled within 500 ms.
        failure_share: Share of runs that fail.
        always_failing_share: Share of jobs of which each run fails.
        accelerator_choices: The accelerators of a task are drawn from these.
        task_sigma: Standard deviation of the logarithm of the run time
            between the tasks of a job.
        straggler_share: Share of tasks that take `STRAGGLER_FACTOR` times as
            long as the others of their job.
    """

    queue: str
    jobs_per_s: float
    mean_tasks: float
    mean_work_ms: float
    work_sigma: float
    estimate_sigma: float
    cpu_milli: int
    memory_mb: int
    gang_share: float = 0.0
    same_rack_share: float = 0.0
    checkpointable_share: float = 0.0
    cancelled_share: float = 0.0
    failure_share: float = 0.02
    always_failing_share: float = 0.0
    accelerator_choices: tuple[int, ...] = ACCELERATOR_CHOICES
    task_sigma: float = 0.15
    straggler_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """One deployment.

    Attributes:
        workers: Number of workers.
        workers_per_rack: Number of workers in a rack.
        stop_ms: Longest time that a worker takes to stop a run.
        kinds: Kinds of job.
        run_time_factors: Factors on run times, assigned to workers in turn.
        customers: Names of the customers; one that is listed several times
            submits as many times as many jobs.
        guaranteed_accelerators: Guaranteed accelerators of each customer;
            None for a sixth of the site.
        cpu_milli: Processors of a worker, in thousandths.
        max_gang_accelerators: Most accelerators of a gang.
        settle_ms: Time after the last arrival in which jobs may still
            finish.
        late_values: Value of a job of typical size that ends late, by
            priority.
    """

    workers: int
    workers_per_rack: int
    stop_ms: int
    kinds: tuple[JobKind, ...]
    run_time_factors: tuple[float, ...] = RUN_TIME_FACTORS
    customers: tuple[str, ...] = ('growers', 'pickers')
    guaranteed_accelerators: int | None = None
    cpu_milli: int = 64_000
    max_gang_accelerators: int = MAX_GANG_ACCELERATORS
    settle_ms: float = SETTLE_MS
    late_values: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=lambda: values.VALUE_LATE
    )


def _site(
    workers: int,
    workers_per_rack: int,
    stop_ms: int,
    loads: tuple[tuple, ...],
) -> Site:
    urgent, usual, patient = loads
    return Site(
        workers,
        workers_per_rack,
        stop_ms,
        (
            JobKind(
                'urgent',
                *urgent,
                work_sigma=0.5,
                estimate_sigma=0.9,
                cpu_milli=7500,
                memory_mb=39_000,
                gang_share=1.0,
                same_rack_share=0.8,
            ),
            JobKind(
                'usual',
                *usual,
                work_sigma=0.3,
                estimate_sigma=0.3,
                cpu_milli=26_000,
                memory_mb=75_000,
                gang_share=1.0,
                same_rack_share=0.6,
                checkpointable_share=0.45,
                cancelled_share=0.05,
                failure_share=0.05,
                always_failing_share=0.01,
            ),
            JobKind(
                'patient',
                *patient,
                work_sigma=0.3,
                estimate_sigma=0.5,
                cpu_milli=5600,
                memory_mb=16_000,
                checkpointable_share=0.45,
                cancelled_share=0.15,
                accelerator_choices=(1,),
            ),
        ),
    )


# For the urgent, usual and patient queue: jobs a second, mean tasks of a job
# and mean run time of a task in ms.
SITES = {
    'exchange': _site(
        24, 8, 400, ((0.67, 3.4, 2100), (0.28, 5, 7200), (0.21, 20, 8100))
    ),
    'franchise': _site(
        24, 8, 200, ((0.85, 3.4, 2100), (0.38, 4, 7200), (0.3, 15, 8100))
    ),
    'exchange-grown': _site(
        176, 12, 400, ((3.1, 5, 2100), (0.91, 13, 7200), (0.72, 50, 8100))
    ),
    'franchise-grown': _site(
        176, 12, 200, ((6.1, 5, 2100), (1.04, 10, 9400), (1.6, 39, 5200))
    ),
    'plant': _site(
        24, 8, 900, ((0.67, 3.4, 2100), (0.22, 5, 9400), (0.33, 20, 5200))
    ),
    'exchange-large': _site(
        270, 8, 900, ((6.04, 5, 2100), (1.21, 13, 9400), (1.86, 49, 5200))
    ),
}
# Workers of three speeds, of two, and all alike, under the same load.
for _name, _factors in (
    ('mixed', (0.6, 1.0, 1.6)),
    ('usual', RUN_TIME_FACTORS),
    ('even', (1.0,)),
):
    SITES[f'exchange-grown-{_name}'] = dataclasses.replace(
        SITES['exchange-grown'],
        run_time_factors=_factors,
        settle_ms=LONG_SETTLE_MS,
    )
    SITES[f'exchange-{_name}'] = dataclasses.replace(
        SITES['exchange'],
        run_time_factors=_factors,
        workers_per_rack=12,
        settle_ms=LONG_SETTLE_MS,
    )


def _contended_site(
    workers: int,
    scale: float,
    customers: tuple[str, ...],
    max_gang_accelerators: int,
) -> Site:
    """Returns a site whose demand exceeds its capacity for seconds.

    Args:
        workers: Number of workers.
        scale: Factor on the arrivals of a site of 176 workers.
        customers: Customers, as in `Site`.
        max_gang_accelerators: Most accelerators of a gang.
    """
    return Site(
        workers,
        8,
        200,
        (
            JobKind(
                'urgent',
                jobs_per_s=4.5 * scale,
                mean_tasks=5,
                mean_work_ms=2500,
                work_sigma=0.5,
                estimate_sigma=0.9,
                cpu_milli=3700,
                memory_mb=16_000,
                gang_share=1.0,
                same_rack_share=0.8,
            ),
            JobKind(
                'usual',
                jobs_per_s=0.67 * 2.8 * scale,
                mean_tasks=13,
                mean_work_ms=11_000,
                work_sigma=0.3,
                estimate_sigma=0.3,
                cpu_milli=13_000,
                memory_mb=40_000,
                gang_share=1.0,
                same_rack_share=0.6,
                checkpointable_share=0.45,
                cancelled_share=0.05,
                failure_share=0.05,
                always_failing_share=0.01,
            ),
            JobKind(
                'patient',
                jobs_per_s=1.0 * scale,
                mean_tasks=39,
                mean_work_ms=6100,
                work_sigma=0.3,
                estimate_sigma=0.5,
                cpu_milli=2800,
                memory_mb=8000,
                checkpointable_share=0.45,
                cancelled_share=0.15,
                accelerator_choices=(1,),
            ),
        ),
        customers=customers,
        # A third of the site is guaranteed to its customers together.
        guaranteed_accelerators=workers * 8 // 3 // len(set(customers)),
        cpu_milli=32_000,
        max_gang_accelerators=max_gang_accelerators,
        settle_ms=40_000.0,
        late_values={0: 0.8, 1: 0.6, 2: 0.2},
    )


def _customers(count: int) -> tuple[str, ...]:
    """Returns customers of which a fifth submit three times as many jobs."""
    names = [f'customer-{number}' for number in range(count)]
    return (*names, *names[: count // 5], *names[: count // 5])


SITES['contended'] = _contended_site(176, 1.0, _customers(20), 128)
# Same proportions; small enough for tests. A gang fits in one rack.
SITES['contended-small'] = _contended_site(40, 40 / 176, _customers(10), 64)


@dataclasses.dataclass(slots=True)
class _SimulatedJob:
    """A job and its outcome.

    Attributes:
        kind: Its kind.
        job: The submitted job.
        submitted_ms: When it was submitted.
        work_ms: Run time of each task on a worker of factor 1.
        always_fails: Whether each run fails.
        cancelled: Whether it is cancelled.
        finished_ms: When it finished; infinite if it did not.
        failed: Whether it failed.
    """

    kind: JobKind
    job: ttypes.TaskJob
    submitted_ms: float
    work_ms: list[float]
    always_fails: bool
    cancelled: bool
    finished_ms: float = math.inf
    failed: bool = False


@dataclasses.dataclass(slots=True)
class _SimulatedRun:
    """A run on a worker.

    Attributes:
        start: The order to start it.
        started_ms: When it started.
        duration_ms: Run time unless it is stopped before.
        own_ms: Time until its progress shows 100; in a gang, it then waits
            for the slowest member.
        saved_ms: Work that its checkpoint holds.
        fails: Whether it fails at its end.
        speed: Run time on usual workers over that on its workers.
        remote_factor: Factor on the run time of a gang that spans racks.
    """

    start: ttypes.RunStart
    started_ms: float
    duration_ms: float
    own_ms: float
    saved_ms: float
    fails: bool
    speed: float = 1.0
    remote_factor: float = 1.0


@dataclasses.dataclass(slots=True)
class Verdict:
    """Result of a simulation.

    Attributes:
        earned: Earned value as a share of the value of all jobs in time.
        worst: Mean of this share over the two worst windows of arrival.
        in_time: Share of jobs in time, by queue.
        mean_ms: Mean completion time.
        thrown_away: Share of processor-seconds that were lost in stopped
            runs.
        price: Value of those as a share of the value of all jobs in time.
        stops: Number of runs that were stopped, also for cancelled jobs.
        preempted: Number of runs that were stopped for urgent jobs.
        runs: Number of runs that were started.
        worst_customers: Earned share of the worst tenth of the customers.
        largest_jobs: Earned share of the largest tenth of the jobs of each
            queue, together.
    """

    earned: float
    worst: float
    in_time: dict[str, float]
    mean_ms: float
    thrown_away: float
    price: float
    stops: int
    preempted: int
    runs: int
    worst_customers: float
    largest_jobs: float


def _began_s(run: _SimulatedRun) -> float | None:
    return None if run.start.checkpoint else run.started_ms / 1000


class Observer(typing.Protocol):
    """Observes the runs of a simulation."""

    def submitted(self, record: ttypes.JobRecord) -> None:
        """Notes that a job was accepted."""

    def started(
        self,
        record: ttypes.JobRecord,
        start: ttypes.RunStart,
        usual_ms: float,
    ) -> None:
        """Notes a start.

        Args:
            record: The record of the job.
            start: The start.
            usual_ms: Time from start to end of the whole work on usual
                workers, in milliseconds.
        """

    def ended(
        self,
        record: ttypes.JobRecord,
        run: _SimulatedRun,
        kind: int,
        now_ms: float,
    ) -> None:
        """Notes the end of a run, a value of `EndKind`."""


class Simulation:
    """One simulation of a site.

    Args:
        site: The site.
        seed: Seed of arrivals, sizes, run times and failures.
        load: Factor on the usual rate of arrivals.
        length_s: Simulated seconds with arrivals.
        speed_spread_min: Least spread at which speeds are used; 0 for never.
        forecasts: Value of the setting `run_time_forecasts`.
        observer: Is told of all runs.
        decision: Name in `job_decisions.DECISIONS`.
    """

    def __init__(
        self,
        site: Site,
        seed: int,
        *,
        load: float,
        length_s: float,
        speed_spread_min: float = 0.0,
        forecasts: str = 'off',
        observer: Observer | None = None,
        decision: str = 'least-loss',
    ) -> None:
        self._observer = observer
        self._rng = random.Random(seed)
        # Failures and stop times have an own generator, so that all decisions
        # are compared on the same arrivals.
        self._run_rng = random.Random(seed + 1_000_003)
        self._site = site
        self._last_arrival_ms = START_MS + length_s * 1000
        self._state = state_module.WorkState()
        self._durations = durations_module.MODELS.get(forecasts)()
        self._planner = job_decisions.DECISIONS.get(decision)(
            self._state,
            self._durations,
            remote_factor=REMOTE_FACTOR,
            stop_ms=site.stop_ms,
        )
        self._speeds = speeds_module.WorkerSpeeds(speed_spread_min)
        self._progress_ticks = itertools.count()
        self._events: list[tuple[float, int, typing.Any, tuple]] = []
        self._event_numbers = itertools.count()
        self._jobs: dict[str, _SimulatedJob] = {}
        self._runs: dict[layout.RunId, _SimulatedRun] = {}
        self._stopping: set[layout.RunId] = set()
        self._finished_processor_s = 0.0
        self._lost_processor_s = 0.0
        self._stop_count = 0
        self._preempted_count = 0
        self._run_count = 0
        self._next_round_ms = 0.0
        self._run_time_factors: dict[str, float] = {}
        self._make_workers()
        self._make_arrivals(load)

    def run(self) -> Verdict:
        """Runs the simulation to its end."""
        self._schedule(START_MS, self._round)
        if self._speeds.enabled:
            self._schedule(START_MS, self._report_progress)
        end_ms = self._last_arrival_ms + self._site.settle_ms
        while self._events:
            now_ms, _, callback, arguments = heapq.heappop(self._events)
            if now_ms > end_ms:
                break
            callback(now_ms, *arguments)
        return self._verdict()

    def _schedule(
        self, at_ms: float, callback: typing.Any, *arguments: object
    ) -> None:
        heapq.heappush(
            self._events,
            (at_ms, next(self._event_numbers), callback, arguments),
        )

    def _make_workers(self) -> None:
        workers = []
        for number in range(self._site.workers):
            name = f'w{number}'
            factors = self._site.run_time_factors
            self._run_time_factors[name] = factors[number % len(factors)]
            rack = f'r{number // self._site.workers_per_rack}'
            workers.append(
                builders.worker(
                    name,
                    labels=['a', rack],
                    cpu_milli=self._site.cpu_milli,
                )
            )
        queues = [
            builders.queue('urgent', 0, stretch=1.5, objective_ms=250),
            builders.queue('usual', 1, stretch=3.0, objective_ms=1000),
            builders.queue('patient', 2, stretch=3.0, objective_ms=3000),
        ]
        guaranteed = self._site.guaranteed_accelerators
        if guaranteed is None:
            guaranteed = self._site.workers * 4 // 3
        accounts = [
            ttypes.Account(
                name=name,
                keys=[builders.customer_key(name)],
                guaranteed_accelerators=guaranteed,
            )
            for name in dict.fromkeys(self._site.customers)
        ]
        config = builders.config(queues=queues, accounts=accounts)
        command = ttypes.WorkCommand(config=config, workers=workers)
        self._state.apply(command, START_MS)

    def _make_arrivals(self, load: float) -> None:
        for kind in self._site.kinds:
            at_ms = float(START_MS)
            while True:
                # The users' traffic varies with a period of about 13 s.
                rate_factor = 1 + 0.55 * math.sin(at_ms / 13_000 * 2 * math.pi)
                gap_s = self._rng.expovariate(
                    kind.jobs_per_s * load * rate_factor
                )
                at_ms += gap_s * 1000
                if at_ms > self._last_arrival_ms:
                    break
                self._schedule(at_ms, self._submit, kind)

    def _submit(self, now_ms: float, kind: JobKind) -> None:
        rng = self._rng
        job_id = f'{rng.getrandbits(64):016x}'
        task_accelerators = rng.choice(kind.accelerator_choices)
        count = max(round(kind.mean_tasks * rng.lognormvariate(-0.32, 0.8)), 1)
        gang = count > 1 and rng.random() < kind.gang_share
        if gang:
            count = min(
                count,
                max(self._site.max_gang_accelerators // task_accelerators, 1),
            )
        usual_ms = kind.mean_work_ms * rng.lognormvariate(
            -(kind.work_sigma**2) / 2, kind.work_sigma
        )
        if rng.random() < 0.03:
            usual_ms *= 7
        step = builders.step(
            count=count,
            accelerators=task_accelerators,
            cpu_milli=kind.cpu_milli,
            memory_mb=kind.memory_mb,
            estimated_ms=int(
                usual_ms * rng.lognormvariate(-0.3, kind.estimate_sigma)
            ),
            gang=gang,
            same_rack=gang and rng.random() < kind.same_rack_share,
            checkpointable=rng.random() < kind.checkpointable_share,
        )
        job = builders.job(job_id, step)
        simulated = _SimulatedJob(
            kind=kind,
            job=job,
            submitted_ms=now_ms,
            work_ms=[
                usual_ms * self._draw_task_factor(kind) for _ in range(count)
            ],
            always_fails=rng.random() < kind.always_failing_share,
            cancelled=rng.random() < kind.cancelled_share,
        )
        self._jobs[job_id] = simulated
        builders.submit(
            self._state,
            job,
            name=kind.queue,
            customer=rng.choice(self._site.customers),
            now_ms=int(now_ms),
        )
        if simulated.cancelled:
            self._schedule(now_ms + rng.uniform(0, 500), self._cancel, job_id)
        if self._observer is not None:
            self._observer.submitted(self._state.jobs[job_id])
        self._schedule_round(now_ms)

    def _draw_task_factor(self, kind: JobKind) -> float:
        factor = self._rng.lognormvariate(0, kind.task_sigma)
        if kind.straggler_share and self._rng.random() < kind.straggler_share:
            factor *= STRAGGLER_FACTOR
        return factor

    def _cancel(self, now_ms: float, job_id: str) -> None:
        queue = self._jobs[job_id].kind.queue
        customer = self._state.jobs[job_id].customer
        command = ttypes.CancelCommand(
            host=builders.HOST,
            path=f'/{queue}/{job_id}',
            key=builders.customer_key(customer),
        )
        self._state.apply(ttypes.WorkCommand(cancel=command), int(now_ms))
        for run_id in list(self._runs):
            if run_id.task.job_id == job_id:
                self._stop(now_ms, run_id)

    # Rounds.

    def _schedule_round(self, now_ms: float) -> None:
        if self._next_round_ms > now_ms + ROUND_DELAY_MS:
            self._next_round_ms = now_ms + ROUND_DELAY_MS
            self._schedule(self._next_round_ms, self._round)

    def _round(self, now_ms: float) -> None:
        if now_ms < self._next_round_ms:
            return
        self._next_round_ms = now_ms + IDLE_ROUND_INTERVAL_MS
        self._schedule(self._next_round_ms, self._round)
        fleet = capacity.Fleet(
            self._state,
            stopping=self._stopping,
            usable=lambda _: True,
            penalty=lambda _: 0.0,
            answered_recently=lambda _: True,
            remaining_ms=lambda run: self._remaining_ms(run, now_ms),
            speed=(lambda worker: self._speeds.bounds(worker.worker_id))
            if self._speeds.in_use
            else None,
        )
        plan = self._planner.plan(
            fleet,
            now_ms=int(now_ms),
            blocked={},
            stopping=self._stopping,
            approvals={},
        )
        self._preempted_count += len(plan.stops)
        for stop in plan.stops:
            self._stop(now_ms, layout.RunId(stop.key, stop.run))
        if plan.starts:
            command = ttypes.WorkCommand(starts=plan.starts)
            self._state.apply(command, int(now_ms))
            self._run_count += len(plan.starts)
            self._start_runs(now_ms + ORDER_DELAY_MS, plan.starts)

    def _report_progress(self, now_ms: float) -> None:
        """Feeds progress to the speeds; each worker reports in turn."""
        self._schedule(now_ms + PROGRESS_TICK_MS, self._report_progress)
        ticks = round(PROGRESS_INTERVAL_MS / PROGRESS_TICK_MS)
        turn = next(self._progress_ticks) % ticks
        by_worker: dict[str, list[speeds_module.RunSample]] = {}
        for run_id, run in self._runs.items():
            worker = run.start.worker_id
            if int(worker[1:]) % ticks != turn or now_ms < run.started_ms:
                continue
            record = self._state.jobs[run_id.task.job_id]
            step = record.job.steps[run_id.task.step]
            by_worker.setdefault(worker, []).append(
                speeds_module.RunSample(
                    run_id,
                    gang=step.gang,
                    percent=self._percent(run, now_ms),
                    expected_ms=self._durations.expected_ms(record, step),
                    began_s=functools.partial(_began_s, run),
                )
            )
        for worker, runs in by_worker.items():
            self._speeds.observe(
                worker, speeds_module.samples(runs), now_ms / 1000
            )
        self._speeds.update(now_ms / 1000)

    def _percent(self, run: _SimulatedRun, now_ms: float) -> int:
        """Returns the progress of a run, with the work it began from."""
        key = layout.task_id(run.start.task)
        work_ms = self._jobs[key.job_id].work_ms[key.index]
        saved = min(float(run.start.checkpoint or 0) / work_ms, 1.0)
        done = (now_ms - run.started_ms) / run.own_ms
        return min(int(100 * (saved + (1 - saved) * done)), 100)

    def _remaining_ms(
        self, live: capacity.RunAllocation, now_ms: float
    ) -> float | None:
        """Returns the remaining time of a run from its last progress report.

        None before the first report.
        """
        run = self._runs.get(layout.RunId(live.key, live.task.run))
        if run is None:
            return None
        reports = (now_ms - run.started_ms) // PROGRESS_INTERVAL_MS
        if reports < 1:
            return self._forecast_remaining_ms(live, run, now_ms)
        return max(run.started_ms + run.duration_ms - now_ms, 0.0)

    def _forecast_remaining_ms(
        self,
        live: capacity.RunAllocation,
        run: _SimulatedRun,
        now_ms: float,
    ) -> float | None:
        if not isinstance(self._durations, run_times.RunTimes):
            return None
        forecast = self._durations.forecast(live.record, live.step)
        ran_ms = max(now_ms - run.started_ms, 0.0) / run.remote_factor
        return run.remote_factor * self._durations.remaining_ms(
            forecast, ran_ms
        )

    def _start_runs(self, at_ms: float, starts: list[ttypes.RunStart]) -> None:
        groups = collections.defaultdict(list)
        for start in starts:
            groups[layout.task_id(start.task).group].append(start)
        for group, members in groups.items():
            job = self._jobs[group.job_id]
            step = job.job.steps[group.step]
            factor = REMOTE_FACTOR if self._spans_racks(step, members) else 1.0
            task_durations_ms = {
                start.task.index: self._remaining_work_ms(job, start) * factor
                for start in members
            }
            longest_ms = max(task_durations_ms.values())
            longest_work_ms = max(
                job.work_ms[start.task.index] for start in members
            )
            gang_fails = self._draw_failure(job)
            for start in members:
                run_id = layout.RunId(layout.task_id(start.task), start.run)
                duration_ms = (
                    longest_ms
                    if step.gang
                    else task_durations_ms[start.task.index]
                )
                fails = gang_fails if step.gang else self._draw_failure(job)
                usual_ms = (
                    longest_work_ms
                    if step.gang
                    else job.work_ms[start.task.index]
                )
                speed = usual_ms / duration_ms
                duration_ms *= 0.5 if fails else 1.0
                self._runs[run_id] = _SimulatedRun(
                    start,
                    at_ms,
                    duration_ms,
                    task_durations_ms[start.task.index],
                    float(start.checkpoint or 0),
                    fails,
                    speed,
                    factor,
                )
                if self._observer is not None:
                    record = self._state.jobs[group.job_id]
                    self._observer.started(record, start, usual_ms)
                self._schedule(at_ms + duration_ms, self._finish, run_id)

    def _remaining_work_ms(
        self, job: _SimulatedJob, start: ttypes.RunStart
    ) -> float:
        remaining_ms = job.work_ms[start.task.index] - float(
            start.checkpoint or 0
        )
        restore_ms = RESTORE_DURATION_MS if start.checkpoint else 0.0
        factor = self._run_time_factors[start.worker_id]
        return max(remaining_ms, 1.0) * factor + restore_ms

    def _draw_failure(self, job: _SimulatedJob) -> bool:
        return (
            job.always_fails or self._run_rng.random() < job.kind.failure_share
        )

    def _spans_racks(
        self, step: ttypes.Step, members: list[ttypes.RunStart]
    ) -> bool:
        if not step.same_rack:
            return False
        workers = self._state.workers
        racks = {
            capacity.rack_of(workers[start.worker_id]) for start in members
        }
        return len(racks) > 1

    def _stop(self, now_ms: float, run_id: layout.RunId) -> None:
        if run_id in self._stopping or run_id not in self._runs:
            return
        self._stopping.add(run_id)
        self._stop_count += 1
        stop_ms = self._run_rng.uniform(*STOP_SHARES) * self._site.stop_ms
        self._schedule(
            now_ms + ORDER_DELAY_MS + stop_ms + STOP_NOTICE_MS,
            self._stopped,
            run_id,
        )

    def _stopped(self, now_ms: float, run_id: layout.RunId) -> None:
        run = self._runs.pop(run_id, None)
        self._stopping.discard(run_id)
        if run is None:
            return
        job = self._jobs[run.start.task.job_id]
        step = job.job.steps[run.start.task.step]
        run_time_ms = now_ms - run.started_ms
        saved_run_time_ms = 0.0
        if step.checkpointable:
            saved_run_time_ms = (
                run_time_ms // CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS
            )
            run.saved_ms += (
                saved_run_time_ms / self._run_time_factors[run.start.worker_id]
            )
        processors = 8 * step.accelerators + step.cpu_milli / 1000
        self._lost_processor_s += (
            processors * (run_time_ms - saved_run_time_ms) / 1000
        )
        checkpoint = f'{run.saved_ms:09.0f}' if step.checkpointable else ''
        if isinstance(self._durations, run_times.RunTimes):
            self._learn(
                run,
                step,
                run_time_ms - self._site.stop_ms,
                now_ms,
                stopped=True,
            )
        self._end(now_ms, run, ttypes.EndKind.STOPPED, checkpoint)

    def _finish(self, now_ms: float, run_id: layout.RunId) -> None:
        run = self._runs.pop(run_id, None)
        if run is None:
            return
        self._stopping.discard(run_id)
        job = self._jobs[run.start.task.job_id]
        step = job.job.steps[run.start.task.step]
        processors = 8 * step.accelerators + step.cpu_milli / 1000
        self._finished_processor_s += processors * run.duration_ms / 1000
        kind = ttypes.EndKind.FAILED if run.fails else ttypes.EndKind.DONE
        if isinstance(self._durations, run_times.RunTimes):
            if not run.fails:
                self._learn(run, step, run.duration_ms, now_ms)
        elif not run.fails and not run.start.checkpoint:
            record = self._state.jobs[job.job.job_id]
            ran_ms = run.duration_ms * self._speed_of(run, step)
            self._durations.observe(record, step, ran_ms)
        self._end(now_ms, run, kind, '')

    def _speed_of(self, run: _SimulatedRun, step: ttypes.Step) -> float:
        """Returns the speed of a run; for a gang that of its slowest."""
        if not self._speeds.in_use:
            return 1.0
        worker_id = run.start.worker_id
        if step.gang:
            group = layout.task_id(run.start.task).group
            return self._speeds.gang_speed(group, worker_id)
        return self._speeds.speed(worker_id)

    def _learn(
        self,
        run: _SimulatedRun,
        step: ttypes.Step,
        ran_ms: float,
        now_ms: float,
        *,
        stopped: bool = False,
    ) -> None:
        self._durations.observe(
            self._state.jobs[run.start.task.job_id],
            step,
            ran_ms,
            speed=self._speed_of(run, step) / run.remote_factor,
            censored=stopped or bool(run.start.checkpoint),
            now_ms=now_ms,
        )

    def _end(
        self, now_ms: float, run: _SimulatedRun, kind: int, checkpoint: str
    ) -> None:
        builders.end(self._state, run.start, kind, checkpoint=checkpoint)
        record = self._state.jobs[run.start.task.job_id]
        if self._observer is not None:
            self._observer.ended(record, run, kind, now_ms)
        if record.state in state_module.FINISHED:
            job = self._jobs[record.job.job_id]
            job.finished_ms = min(job.finished_ms, now_ms)
            job.failed = record.state == ttypes.JobState.FAILED
        self._schedule_round(now_ms)

    # Verdict.

    def _verdict(self) -> Verdict:
        full_values: collections.Counter[str] = collections.Counter()
        earned_values: collections.Counter[str] = collections.Counter()
        counts: collections.Counter[str] = collections.Counter()
        in_time: collections.Counter[str] = collections.Counter()
        windows: dict[int, list[float]] = {}
        customers: dict[str, list[float]] = {}
        by_size: dict[str, list[tuple[float, float, float]]] = {}
        completion_times_ms = []
        for job in self._jobs.values():
            if job.cancelled or job.always_fails:
                continue
            queue = job.kind.queue
            full_value, earned_value = self._value(job)
            full_values[queue] += full_value
            earned_values[queue] += earned_value
            counts[queue] += 1
            in_time[queue] += earned_value == full_value
            number = int((job.submitted_ms - START_MS) // WINDOW_MS)
            window = windows.setdefault(number, [0.0, 0.0])
            window[0] += full_value
            window[1] += earned_value
            customer = self._state.jobs[job.job.job_id].customer
            total = customers.setdefault(customer, [0.0, 0.0])
            total[0] += full_value
            total[1] += earned_value
            work = sum(job.work_ms) * job.job.steps[0].accelerators
            by_size.setdefault(queue, []).append(
                (work, full_value, earned_value)
            )
            last_ms = min(
                job.finished_ms, self._last_arrival_ms + self._site.settle_ms
            )
            completion_times_ms.append(last_ms - job.submitted_ms)
        shares = sorted(
            earned_value / full_value
            for full_value, earned_value in windows.values()
        )
        customer_shares = sorted(
            earned_value / full_value
            for full_value, earned_value in customers.values()
        )
        tenth = max(len(customer_shares) // 10, 1)
        largest = [
            row
            for rows in by_size.values()
            for row in sorted(rows)[-max(len(rows) // 10, 1) :]
        ]
        lost = self._lost_processor_s
        total = full_values.total()
        return Verdict(
            earned=earned_values.total() / total,
            worst=sum(shares[:2]) / 2,
            in_time={name: in_time[name] / counts[name] for name in counts},
            mean_ms=sum(completion_times_ms) / len(completion_times_ms),
            thrown_away=lost / (lost + self._finished_processor_s),
            price=lost * values.LOSS_PER_PROCESSOR_S / total,
            stops=self._stop_count,
            preempted=self._preempted_count,
            runs=self._run_count,
            worst_customers=sum(customer_shares[:tenth]) / tenth,
            largest_jobs=sum(row[2] for row in largest)
            / sum(row[1] for row in largest),
        )

    def _value(self, job: _SimulatedJob) -> tuple[float, float]:
        """Returns the value of a job in time, and the value that it earned."""
        queue = next(
            q for q in self._state.config.queues if q.name == job.kind.queue
        )
        objective_ms = queue.stretch * max(job.work_ms) + queue.objective_ms
        work = sum(job.work_ms) * job.job.steps[0].accelerators
        usual_work = job.kind.mean_tasks * job.kind.mean_work_ms
        usual_work *= sum(job.kind.accelerator_choices) / len(
            job.kind.accelerator_choices
        )
        size = min(0.3 + 0.7 * work / usual_work, values.MAX_SIZE_FACTOR)
        full_value = values.VALUE_IN_TIME[queue.priority] * size
        completion_ms = job.finished_ms - job.submitted_ms
        if job.failed or completion_ms > values.LATE_FACTOR * objective_ms:
            return full_value, 0.0
        if completion_ms > objective_ms:
            return full_value, self._site.late_values[queue.priority] * size
        return full_value, full_value
