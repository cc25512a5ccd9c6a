"""Simulation of the placement of gangs in virtual time.

Submissions, starts and ends of jobs are simulated events in order of time.
Decisions are those of the scheduler of the product, which reads a fake
clock. Benchmarks and tests of invariants use it.
"""

from __future__ import annotations

import array
import dataclasses
import heapq
import itertools
import random
import time
import typing
from unittest import mock

from banyantrack.core import codec
from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import state as state_module
from banyantrack.placement import scheduler as scheduler_module
from banyantrack.testing import builders

if typing.TYPE_CHECKING:
    import collections.abc


Allotment = intent.AllotmentState
Event = intent.JobEvent
Phase = intent.JobPhase

# Time from a decision until all members of a gang run, or until a gang that
# does not save a checkpoint has stopped.
START_DELAY_MS = 50
# Time from a decision until a gang has saved a checkpoint and stopped.
CHECKPOINT_DELAY_MS = 1500
# Longest time between two rounds of the scheduler.
MAX_ROUND_INTERVAL_MS = 500


@dataclasses.dataclass(slots=True)
class JobRecord:
    """Submission and outcome of a job.

    Attributes:
        name: Its name.
        submitted_ms: When it was submitted.
        run_ms: Run time that it needs until it is completed, which may
            differ from the declared one.
        accelerators: Accelerators of all members together.
        started_ms: When it first ran; None if it never did.
        finished_ms: When it was completed; None if it was not.
    """

    name: str
    submitted_ms: int
    run_ms: int
    accelerators: int
    started_ms: int | None = None
    finished_ms: int | None = None


class FakePlacement:
    """Jobs and workers under one scheduler.

    Args:
        policies: Policies of the scheduler.
        check: Whether gangs and guarantees are checked after each round.

    Attributes:
        state: The replicated state.
        records: Records of the submitted jobs by name.
        now_ms: Simulated time.
        decide_s: Real duration of each round, in seconds.
        violations: Checks that found an infeasible guarantee.
        partial_gangs: Allotments with missing members and rounds with
            negative free capacity that checks found.
        fragmentation: For each call of record_fragmentation, the free
            accelerators, those that no gang of 8 on one worker can use, and
            those that no gang of 16 in one rack can use.
        scheduler: The current scheduler.
    """

    def __init__(
        self,
        *,
        policies: scheduler_module.Policies = scheduler_module.Policies(),
        check: bool = True,
    ) -> None:
        self.state = state_module.IntentState()
        self.records: dict[str, JobRecord] = {}
        self.now_ms = 1_000_000
        self.decide_s: list[float] = []
        self.violations = 0
        self.partial_gangs = 0
        self.fragmentation: list[tuple[int, int, int]] = []
        self._policies = policies
        self._check = check
        self._index = 0
        self._events: list[tuple[int, int, typing.Any]] = []
        self._event_numbers = itertools.count()
        self._saved_progress_ms: dict[str, float] = {}
        self._running_since_ms: dict[str, int] = {}
        self._clock = mock.patch.object(
            time, 'monotonic', self._monotonic, spec_set=True
        )
        self.scheduler = self._make_scheduler()

    def progress_ms(self, job: str) -> int:
        """Returns the run time of a job over all its runs, in ms."""
        since_ms = self._running_since_ms.get(job)
        ran_ms = 0 if since_ms is None else self.now_ms - since_ms
        return int(self._saved_progress_ms.get(job, 0) + ran_ms)

    def unsaved_ms(self, job: str) -> int:
        """Returns the run time of a job that no checkpoint holds, in ms."""
        since_ms = self._running_since_ms.get(job)
        return 0 if since_ms is None else self.now_ms - since_ms

    def change_leader(self) -> None:
        """Replaces the scheduler by a new one on the same state."""
        self.scheduler = self._make_scheduler()

    def apply(self, *targets: intent.StoredObject) -> intent.ApplyResult:
        """Applies objects to the state."""
        return self._command(
            builders.apply_command(*targets, now_ms=self.now_ms)
        )

    def register(self, *workers: intent.StoredObject) -> None:
        """Adds workers to the state."""
        self._propose(
            intent.Command(now_ms=self.now_ms, workers=list(workers))
        )

    def submit(self, target: intent.StoredObject, *, run_ms: int) -> None:
        """Submits a job.

        Args:
            target: The job.
            run_ms: Run time that it needs until it is completed.
        """
        job = target.job
        self.records[target.name] = JobRecord(
            target.name,
            self.now_ms,
            run_ms,
            job.members * job.accelerators,
        )
        self.apply(target)

    def place_directly(
        self, target: intent.StoredObject, workers: list[int]
    ) -> None:
        """Starts a gang that does not end, bypassing the scheduler.

        Args:
            target: The job.
            workers: Index of the worker of each member.
        """
        self.submit(target, run_ms=1 << 40)
        name = target.name
        self._propose(
            intent.Command(
                now_ms=self.now_ms,
                place=[
                    intent.PlaceCommand(
                        job=name,
                        workers=array.array('H', workers).tobytes(),
                        guarantee='',
                        job_revision=self.state.jobs.get(name).revision,
                    )
                ],
            )
        )
        epoch = self.state.jobs.get(name).epoch
        self._record_event(name, epoch, Event.STARTED)

    def at(
        self, at_ms: int, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Schedules a callback at a simulated time."""
        heapq.heappush(
            self._events, (at_ms, next(self._event_numbers), callback)
        )

    def run_until(self, end_ms: int) -> None:
        """Advances the simulated time, with a round at each event.

        Between events, rounds are at most MAX_ROUND_INTERVAL_MS apart.
        """
        while self.now_ms < end_ms:
            next_ms = min(self.now_ms + MAX_ROUND_INTERVAL_MS, end_ms)
            if self._events:
                next_ms = min(next_ms, max(self._events[0][0], self.now_ms))
            self.now_ms = next_ms
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
            self.round()

    def round(self) -> None:
        """Runs one round of the scheduler and executes its decisions."""
        with self._clock:
            started_at = time.perf_counter()
            decisions = self.scheduler.decide(self.now_ms)
            self.decide_s.append(time.perf_counter() - started_at)
        if decisions:
            self._propose(
                intent.Command(
                    now_ms=self.now_ms,
                    place=decisions.placements or None,
                    job_events=decisions.events or None,
                )
            )
        for place in decisions.placements:
            status = self.state.jobs.get(place.job)
            self._schedule_after(
                START_DELAY_MS, self._start, place.job, status.epoch
            )
        for event in decisions.events:
            if event.event == Event.STOPPING:
                self._stop_after_delay(event.job, event.epoch)
        if self._check:
            self.check()

    def cancel(self, name: str) -> None:
        """Cancels a job; if it is placed, its gang stops after a delay."""
        from banyantrack.intent import objects

        status = self.state.jobs.get(name)
        epoch = status.epoch if status else 0
        self.apply(objects.tombstone(objects.KIND_BY_PLURAL['jobs'], name))
        if status is not None and status.phase == Phase.PLACED:
            self._stop_after_delay(name, epoch)

    def fail(self, name: str, reason: int) -> None:
        """Makes a running gang fail.

        Args:
            name: Name of the job.
            reason: Reason of the event, a value of `intent.StopReason`.
        """
        status = self.state.jobs.get(name)
        if status is None or status.allotment != Allotment.RUNNING:
            return
        self._record_event(name, status.epoch, Event.STOPPING, reason=reason)
        self._stop_after_delay(name, status.epoch)

    def check(self) -> None:
        """Counts violated guarantees and gangs without all members."""
        ledger = self.scheduler.ledger
        with self._clock:
            ledger.sync()
        ledger.witness.check()
        if self.scheduler.infeasible_shapes():
            self.violations += 1
        for name, allotment in ledger.allotments.items():
            job = ledger.job(name)
            if job is not None and len(allotment.workers) != job.members:
                self.partial_gangs += 1
        fleet = ledger.fleet
        if len(fleet) and min(fleet.free_accelerators) < 0:
            self.partial_gangs += 1

    def record_fragmentation(self) -> None:
        """Appends the current fragmentation of free accelerators."""
        fleet = self.scheduler.ledger.fleet
        free = fleet.total_free
        racks = [
            sum(fleet.free_accelerators[worker] for worker in rack)
            for rack in fleet.racks
        ]
        usable_by_8 = sum(count // 8 * 8 for count in fleet.free_accelerators)
        usable_by_16 = sum(count // 16 * 16 for count in racks)
        self.fragmentation.append(
            (free, free - usable_by_8, free - usable_by_16)
        )

    def _make_scheduler(self) -> scheduler_module.Scheduler:
        return scheduler_module.Scheduler(
            self.state, self, policies=self._policies
        )

    def _monotonic(self) -> float:
        return self.now_ms / 1000

    def _command(self, payload: bytes) -> typing.Any:
        self._index += 1
        return self.state.apply(self._index, payload)

    def _propose(self, command: intent.Command) -> None:
        self._command(codec.encode(command))

    def _schedule_after(
        self,
        delay_ms: int,
        callback: collections.abc.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        self.at(self.now_ms + delay_ms, lambda: callback(*arguments))

    def _record_event(
        self,
        name: str,
        epoch: int,
        event: int,
        *,
        reason: int = 0,
        progress_ms: int = 0,
    ) -> None:
        self._propose(
            intent.Command(
                now_ms=self.now_ms,
                job_events=[
                    intent.JobEventCommand(
                        job=name,
                        epoch=epoch,
                        event=event,
                        reason=reason,
                        progress_ms=progress_ms,
                        failed_worker='',
                    )
                ],
            )
        )

    def _start(self, name: str, epoch: int) -> None:
        status = self.state.jobs.get(name)
        if status is None or status.epoch != epoch:
            return
        if status.allotment != Allotment.HOLDING:
            return
        self._record_event(name, epoch, Event.STARTED)
        self._running_since_ms[name] = self.now_ms
        record = self.records[name]
        if record.started_ms is None:
            record.started_ms = self.now_ms
        remaining_ms = max(
            record.run_ms - self._saved_progress_ms.get(name, 0), 1
        )
        self._schedule_after(int(remaining_ms), self._end, name, epoch)

    def _end(self, name: str, epoch: int) -> None:
        status = self.state.jobs.get(name)
        if status is None or status.epoch != epoch:
            return
        if status.allotment != Allotment.RUNNING:
            return
        self.records[name].finished_ms = self.now_ms
        with self._clock:
            self.scheduler.record_completion(name, self.progress_ms(name))
        self._running_since_ms.pop(name, None)
        self._record_event(name, epoch, Event.COMPLETED)

    def _stop_after_delay(self, name: str, epoch: int) -> None:
        stored = self.state.get(intent.ObjectKind.JOB, name)
        saves_checkpoint = stored is not None and stored.job.checkpointable
        delay_ms = CHECKPOINT_DELAY_MS if saves_checkpoint else START_DELAY_MS
        since_ms = self._running_since_ms.pop(name, None)
        if saves_checkpoint and since_ms is not None:
            ran_ms = self.now_ms - since_ms
            self._saved_progress_ms[name] = (
                self._saved_progress_ms.get(name, 0) + ran_ms
            )
        self._schedule_after(delay_ms, self._stopped, name, epoch)

    def _stopped(self, name: str, epoch: int) -> None:
        self._record_event(
            name,
            epoch,
            Event.STOPPED,
            progress_ms=int(self._saved_progress_ms.get(name, 0)),
        )


def add_fleet(
    target: FakePlacement,
    *,
    workers: int,
    accelerators: int = 8,
    per_rack: int = 8,
    processors: int = 64,
    memory_mb: int = 262_144,
) -> None:
    """Adds workers in racks; racks are assigned to three zones in turn.

    Args:
        target: The simulation.
        workers: Number of workers.
        accelerators: Accelerators of each worker.
        per_rack: Workers in a rack.
        processors: Processors of each worker.
        memory_mb: Memory of each worker.
    """
    target.register(
        *(
            builders.stored(
                'workers',
                f'w{number}',
                zone=f'z{number // per_rack % 3}',
                rack=f'r{number // per_rack}',
                accelerators=accelerators,
                processors=processors,
                memory_mb=memory_mb,
                own_labels={},
            )
            for number in range(workers)
        )
    )


def draw_job_shape(rng: random.Random) -> tuple[int, int, str]:
    """Draws the shape of a job.

    Returns:
        Members, accelerators of each member, and adjacency.
    """
    share = rng.random()
    if share < 0.55:
        return 1, rng.choice((1, 1, 2, 4)), 'any'
    if share < 0.80:
        return rng.choice((2, 4)), rng.choice((1, 2)), 'any'
    if share < 0.93:
        return 8, 1, 'rack'
    return rng.choice((2, 3, 4)), 8, 'rack'
