"""Seeded load of jobs on a model of workers, played in virtual time.

The real planner decides; workers run what it starts, at speeds of their own.
Sizes, shares of gangs, wrong estimates and tails are those of the users'
sheets; a job earns what `workload.values` says by the time it ends.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
from banyantrack.workload import capacity
from banyantrack.workload import durations as durations_module
from banyantrack.workload import layout
from banyantrack.workload import planner as planner_module
from banyantrack.workload import state as state_module
from banyantrack.workload import values

if typing.TYPE_CHECKING:
    import collections.abc

START_MS = 1_000_000
# Time from a decision to its effect at a worker, and back.
ORDER_MS = 4.0
STOP_MS = 150.0
ROUND_MS = 10.0
IDLE_ROUND_MS = 100.0
# Progress is seen this often.
LOOK_MS = 1000.0
REMOTE_FACTOR = 3.0
CHECKPOINT_MS = 500.0
RESTORE_MS = 100.0
SETTLE_MS = 14_000.0
WINDOW_MS = 2000.0
SPEEDS = (1.0, 1.0, 1.3)
ACCELERATORS = (1, 2, 4, 8, 8)
MOST_GANG_ACCELERATORS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of job.

    Attributes:
        queue: Name of its queue.
        per_s: Jobs a second.
        tasks: Mean number of tasks of a step.
        work_ms: Mean run time of a task.
        spread: Spread of run times between jobs, as a logarithm.
        estimate_off: Spread of declared run times, as a logarithm.
        cpu_milli: Processors of a task.
        memory_mb: Memory of a task.
        gang: Share of jobs of more than one task that are gangs.
        same_rack: Share of gangs that belong in one rack.
        checkpointable: Share of jobs that save their progress.
        cancelled: Share of jobs that are cancelled within half a second.
        fails: Share of runs that fail.
        hopeless: Share of jobs of which each run fails.
        accelerators: What a task may use.
    """

    queue: str
    per_s: float
    tasks: float
    work_ms: float
    spread: float
    estimate_off: float
    cpu_milli: int
    memory_mb: int
    gang: float = 0.0
    same_rack: float = 0.0
    checkpointable: float = 0.0
    cancelled: float = 0.0
    fails: float = 0.02
    hopeless: float = 0.0
    accelerators: tuple[int, ...] = ACCELERATORS


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """One deployment.

    Attributes:
        workers: Number of workers.
        rack: Workers in a rack.
        kinds: Kinds of job.
    """

    workers: int
    rack: int
    kinds: tuple[Kind, ...]


def _site(workers: int, rack: int, loads: tuple[tuple, ...]) -> Site:
    urgent, usual, patient = loads
    return Site(
        workers,
        rack,
        (
            Kind(
                'urgent',
                *urgent,
                spread=0.5,
                estimate_off=0.9,
                cpu_milli=7500,
                memory_mb=39_000,
                gang=1.0,
                same_rack=0.8,
            ),
            Kind(
                'usual',
                *usual,
                spread=0.3,
                estimate_off=0.3,
                cpu_milli=26_000,
                memory_mb=75_000,
                gang=1.0,
                same_rack=0.6,
                checkpointable=0.45,
                cancelled=0.05,
                fails=0.05,
                hopeless=0.01,
            ),
            Kind(
                'patient',
                *patient,
                spread=0.3,
                estimate_off=0.5,
                cpu_milli=5600,
                memory_mb=16_000,
                checkpointable=0.45,
                cancelled=0.15,
                accelerators=(1,),
            ),
        ),
    )


# Jobs a second, tasks and run time of the urgent, usual and patient queue.
SITES = {
    'exchange': _site(
        24, 8, ((0.67, 3.4, 2100), (0.28, 5, 7200), (0.21, 20, 8100))
    ),
    'franchise': _site(
        24, 8, ((0.85, 3.4, 2100), (0.38, 4, 7200), (0.3, 15, 8100))
    ),
    'exchange-grown': _site(
        176, 12, ((3.1, 5, 2100), (0.91, 13, 7200), (0.72, 50, 8100))
    ),
    'franchise-grown': _site(
        176, 12, ((6.1, 5, 2100), (1.04, 10, 9400), (1.6, 39, 5200))
    ),
}


@dataclasses.dataclass(slots=True)
class _Job:
    """A job as its caller sees it."""

    kind: Kind
    job: ttypes.TaskJob
    sent_ms: float
    work_ms: list[float]
    hopeless: bool
    cancelled: bool
    finished_ms: float = math.inf
    failed: bool = False


@dataclasses.dataclass(slots=True)
class _Run:
    """A run on a worker."""

    start: ttypes.RunStart
    begun_ms: float
    needs_ms: float
    saved_ms: float
    fails: bool


@dataclasses.dataclass(slots=True)
class Verdict:
    """What came of one day.

    Attributes:
        earned: Worth over the worth that was owed.
        worst: The same over the two worst windows.
        in_time: Share of jobs in time, by queue.
        mean_ms: Mean completion time.
        thrown_away: Share of processor-seconds that were thrown away.
        price: Worth of those over the worth that was owed.
        stops: Runs that were stopped.
    """

    earned: float
    worst: float
    in_time: dict[str, float]
    mean_ms: float
    thrown_away: float
    price: float
    stops: int


class Day:
    """One day on one site.

    Args:
        site: The site.
        seed: Seed of everything that is drawn.
        load: Times the usual load.
        length_s: Seconds with arrivals.
    """

    def __init__(
        self, site: Site, seed: int, *, load: float, length_s: float
    ) -> None:
        self._rng = random.Random(seed)
        self._site = site
        self._ends_ms = START_MS + length_s * 1000
        self._state = state_module.WorkState()
        self._durations = durations_module.LearnedDurations()
        self._planner = planner_module.Planner(
            self._state, self._durations, remote_factor=REMOTE_FACTOR
        )
        self._events: list[tuple[float, int, typing.Any, tuple]] = []
        self._order = itertools.count()
        self._jobs: dict[str, _Job] = {}
        self._runs: dict[layout.RunId, _Run] = {}
        self._stopping: set[layout.RunId] = set()
        self._done_work = 0.0
        self._lost_work = 0.0
        self._stops = 0
        self._round_at_ms = 0.0
        self._speeds: dict[str, float] = {}
        self._make_workers()
        self._make_arrivals(load)

    def play(self) -> Verdict:
        """Plays the day to its end."""
        self._at(START_MS, self._round)
        until_ms = self._ends_ms + SETTLE_MS
        while self._events:
            now_ms, _, act, values_ = heapq.heappop(self._events)
            if now_ms > until_ms:
                break
            act(now_ms, *values_)
        return self._verdict()

    def _at(self, at_ms: float, act: typing.Any, *arguments: object) -> None:
        heapq.heappush(
            self._events, (at_ms, next(self._order), act, arguments)
        )

    def _make_workers(self) -> None:
        workers = []
        for number in range(self._site.workers):
            name = f'w{number}'
            self._speeds[name] = SPEEDS[number % len(SPEEDS)]
            rack = f'r{number // self._site.rack}'
            workers.append(builders.worker(name, labels=['a', rack]))
        queues = [
            builders.queue('urgent', 0, stretch=1.5, objective_ms=250),
            builders.queue('usual', 1, stretch=3.0, objective_ms=1000),
            builders.queue('patient', 2, stretch=3.0, objective_ms=3000),
        ]
        config = builders.config(queues=queues)
        for account in config.accounts:
            account.guaranteed_accelerators = self._site.workers * 4 // 3
        command = ttypes.WorkCommand(config=config, workers=workers)
        self._state.apply(command, START_MS)

    def _make_arrivals(self, load: float) -> None:
        for kind in self._site.kinds:
            at_ms = float(START_MS)
            while True:
                # A wave of 13 s, as the users' traffic has.
                swing = 1 + 0.55 * math.sin(at_ms / 13_000 * 2 * math.pi)
                gap_s = self._rng.expovariate(kind.per_s * load * swing)
                at_ms += gap_s * 1000
                if at_ms > self._ends_ms:
                    break
                self._at(at_ms, self._submit, kind)

    def _submit(self, now_ms: float, kind: Kind) -> None:
        rng = self._rng
        job_id = f'{rng.getrandbits(64):016x}'
        each = rng.choice(kind.accelerators)
        count = max(round(kind.tasks * rng.lognormvariate(-0.32, 0.8)), 1)
        gang = count > 1 and rng.random() < kind.gang
        if gang:
            count = min(count, max(MOST_GANG_ACCELERATORS // each, 1))
        usual_ms = kind.work_ms * rng.lognormvariate(
            -(kind.spread**2) / 2, kind.spread
        )
        if rng.random() < 0.03:
            usual_ms *= 7
        step = builders.step(
            count=count,
            accelerators=each,
            cpu_milli=kind.cpu_milli,
            memory_mb=kind.memory_mb,
            estimated_ms=int(
                usual_ms * rng.lognormvariate(-0.3, kind.estimate_off)
            ),
            gang=gang,
            same_rack=gang and rng.random() < kind.same_rack,
            checkpointable=rng.random() < kind.checkpointable,
        )
        job = builders.job(job_id, step)
        made = _Job(
            kind=kind,
            job=job,
            sent_ms=now_ms,
            work_ms=[
                usual_ms * rng.lognormvariate(0, 0.15) for _ in range(count)
            ],
            hopeless=rng.random() < kind.hopeless,
            cancelled=rng.random() < kind.cancelled,
        )
        self._jobs[job_id] = made
        builders.submit(
            self._state,
            job,
            name=kind.queue,
            customer=rng.choice(('growers', 'pickers')),
            now_ms=int(now_ms),
        )
        if made.cancelled:
            self._at(now_ms + rng.uniform(0, 500), self._cancel, job_id)
        self._soon(now_ms)

    def _cancel(self, now_ms: float, job_id: str) -> None:
        queue = self._jobs[job_id].kind.queue
        customer = self._state.jobs[job_id].customer
        command = ttypes.CancelCommand(
            host=builders.HOST,
            path=f'/{queue}/{job_id}',
            key=builders.KEYS[customer],
        )
        self._state.apply(ttypes.WorkCommand(cancel=command), int(now_ms))
        for run_id in list(self._runs):
            if run_id.task.job_id == job_id:
                self._stop(now_ms, run_id)

    # Rounds.

    def _soon(self, now_ms: float) -> None:
        if self._round_at_ms > now_ms + ROUND_MS:
            self._round_at_ms = now_ms + ROUND_MS
            self._at(self._round_at_ms, self._round)

    def _round(self, now_ms: float) -> None:
        if now_ms < self._round_at_ms:
            return
        self._round_at_ms = now_ms + IDLE_ROUND_MS
        self._at(self._round_at_ms, self._round)
        fleet = capacity.Fleet(
            self._state,
            stopping=self._stopping,
            usable=lambda _: True,
            penalty=lambda _: 0.0,
            remaining_ms=lambda run: self._remaining_ms(run, now_ms),
        )
        plan = self._planner.plan(
            fleet,
            now_ms=int(now_ms),
            blocked={},
            stopping=self._stopping,
            approvals={},
        )
        for stop in plan.stops:
            self._stop(now_ms, layout.RunId(stop.key, stop.run))
        if plan.starts:
            command = ttypes.WorkCommand(starts=plan.starts)
            self._state.apply(command, int(now_ms))
            self._begin(now_ms + ORDER_MS, plan.starts)

    def _remaining_ms(
        self, live: capacity.RunAllocation, now_ms: float
    ) -> float | None:
        """Returns what progress tells, which is seen now and then."""
        run = self._runs.get(layout.RunId(live.key, live.task.run))
        if run is None:
            return None
        looks = (now_ms - run.begun_ms) // LOOK_MS
        if looks < 1:
            return None
        return max(run.begun_ms + run.needs_ms - now_ms, 0.0)

    def _begin(self, at_ms: float, starts: list[ttypes.RunStart]) -> None:
        groups = collections.defaultdict(list)
        for start in starts:
            groups[layout.task_id(start.task).group].append(start)
        for group, members in groups.items():
            job = self._jobs[group.job_id]
            step = job.job.steps[group.step]
            factor = REMOTE_FACTOR if self._is_apart(step, members) else 1.0
            took = {
                start.task.index: self._left_ms(job, start) * factor
                for start in members
            }
            longest_ms = max(took.values())
            share = self._fails(job)
            for start in members:
                run_id = layout.RunId(layout.task_id(start.task), start.run)
                needs_ms = longest_ms if step.gang else took[start.task.index]
                fails = share if step.gang else self._fails(job)
                needs_ms *= 0.5 if fails else 1.0
                self._runs[run_id] = _Run(
                    start,
                    at_ms,
                    needs_ms,
                    float(start.checkpoint or 0),
                    fails,
                )
                self._at(at_ms + needs_ms, self._finish, run_id)

    def _left_ms(self, job: _Job, start: ttypes.RunStart) -> float:
        left_ms = job.work_ms[start.task.index] - float(start.checkpoint or 0)
        restore_ms = RESTORE_MS if start.checkpoint else 0.0
        speed = self._speeds[start.worker_id]
        return max(left_ms, 1.0) * speed + restore_ms

    def _fails(self, job: _Job) -> bool:
        return job.hopeless or self._rng.random() < job.kind.fails

    def _is_apart(
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
        self._stops += 1
        self._at(now_ms + ORDER_MS + STOP_MS, self._stopped, run_id)

    def _stopped(self, now_ms: float, run_id: layout.RunId) -> None:
        run = self._runs.pop(run_id, None)
        self._stopping.discard(run_id)
        if run is None:
            return
        job = self._jobs[run.start.task.job_id]
        step = job.job.steps[run.start.task.step]
        ran_ms = now_ms - run.begun_ms
        kept_ms = 0.0
        if step.checkpointable:
            kept_ms = ran_ms // CHECKPOINT_MS * CHECKPOINT_MS
            run.saved_ms += kept_ms / self._speeds[run.start.worker_id]
        width = 8 * step.accelerators + step.cpu_milli / 1000
        self._lost_work += width * (ran_ms - kept_ms) / 1000
        checkpoint = f'{run.saved_ms:.0f}' if step.checkpointable else ''
        self._end(now_ms, run, ttypes.EndKind.STOPPED, checkpoint)

    def _finish(self, now_ms: float, run_id: layout.RunId) -> None:
        run = self._runs.pop(run_id, None)
        if run is None:
            return
        self._stopping.discard(run_id)
        job = self._jobs[run.start.task.job_id]
        step = job.job.steps[run.start.task.step]
        width = 8 * step.accelerators + step.cpu_milli / 1000
        self._done_work += width * run.needs_ms / 1000
        kind = ttypes.EndKind.FAILED if run.fails else ttypes.EndKind.DONE
        if not run.fails and not run.start.checkpoint:
            record = self._state.jobs[job.job.job_id]
            self._durations.observe(record, step, run.needs_ms)
        self._end(now_ms, run, kind, '')

    def _end(
        self, now_ms: float, run: _Run, kind: int, checkpoint: str
    ) -> None:
        builders.end(self._state, run.start, kind, checkpoint=checkpoint)
        record = self._state.jobs[run.start.task.job_id]
        if record.state in state_module.FINISHED:
            job = self._jobs[record.job.job_id]
            job.finished_ms = min(job.finished_ms, now_ms)
            job.failed = record.state == ttypes.JobState.FAILED
        self._soon(now_ms)

    # Verdict.

    def _verdict(self) -> Verdict:
        owed: collections.Counter[str] = collections.Counter()
        earned: collections.Counter[str] = collections.Counter()
        counts: collections.Counter[str] = collections.Counter()
        in_time: collections.Counter[str] = collections.Counter()
        windows: dict[int, list[float]] = {}
        took = []
        for job in self._jobs.values():
            if job.cancelled or job.hopeless:
                continue
            queue = job.kind.queue
            full, got = self._worth(job)
            owed[queue] += full
            earned[queue] += got
            counts[queue] += 1
            in_time[queue] += got == full
            number = int((job.sent_ms - START_MS) // WINDOW_MS)
            window = windows.setdefault(number, [0.0, 0.0])
            window[0] += full
            window[1] += got
            last_ms = min(job.finished_ms, self._ends_ms + SETTLE_MS)
            took.append(last_ms - job.sent_ms)
        shares = sorted(got / full for full, got in windows.values())
        lost = self._lost_work
        total = owed.total()
        return Verdict(
            earned=earned.total() / total,
            worst=sum(shares[:2]) / 2,
            in_time={name: in_time[name] / counts[name] for name in counts},
            mean_ms=sum(took) / len(took),
            thrown_away=lost / (lost + self._done_work),
            price=lost * values.LOSS_PER_PROCESSOR_S / total,
            stops=self._stops,
        )

    def _worth(self, job: _Job) -> tuple[float, float]:
        """Returns what a job was worth at most, and what it earned."""
        queue = next(
            q for q in self._state.config.queues if q.name == job.kind.queue
        )
        objective_ms = queue.stretch * max(job.work_ms) + queue.objective_ms
        work = sum(job.work_ms) * job.job.steps[0].accelerators
        usual = job.kind.tasks * job.kind.work_ms
        usual *= sum(job.kind.accelerators) / len(job.kind.accelerators)
        size = min(0.3 + 0.7 * work / usual, values.MAX_SIZE_FACTOR)
        full = values.VALUE_IN_TIME[queue.priority] * size
        took_ms = job.finished_ms - job.sent_ms
        if job.failed or took_ms > values.LATE_FACTOR * objective_ms:
            return full, 0.0
        if took_ms > objective_ms:
            return full, values.VALUE_LATE[queue.priority] * size
        return full, full
