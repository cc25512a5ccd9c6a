"""The real decisions on a fake clock with fake workers.

Jobs arrive, run and end as events in time order; everything that decides is
the product's own code. Used by benchmarks and by tests of invariants.
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

# Time from a decision until all members run, and until a victim has stopped.
START_MS = 50
CHECKPOINT_MS = 1500
ROUND_MS = 500


@dataclasses.dataclass(slots=True)
class JobRecord:
    """What became of a job.

    Attributes:
        name: Its name.
        submitted_ms: When it was submitted.
        run_ms: How long it really runs.
        accelerators: Accelerators of its gang.
        started_ms: When it first ran; None if it never did.
        finished_ms: When it ended; None if it did not.
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
        check: Whether gangs and guarantees are checked at every step.
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
        self._order = itertools.count()
        self._progress: dict[str, float] = {}
        self._running_since: dict[str, int] = {}
        self._clock = mock.patch.object(
            time, 'monotonic', self._monotonic, spec_set=True
        )
        self.scheduler = self._make_scheduler()

    def progress_ms(self, job: str) -> int:
        """Returns how long a job has run in all."""
        since = self._running_since.get(job)
        ran_ms = 0 if since is None else self.now_ms - since
        return int(self._progress.get(job, 0) + ran_ms)

    def unsaved_ms(self, job: str) -> int:
        """Returns the work of a job since its last checkpoint."""
        since = self._running_since.get(job)
        return 0 if since is None else self.now_ms - since

    def change_leader(self) -> None:
        """Starts a new scheduler on the replicated state."""
        self.scheduler = self._make_scheduler()

    def apply(self, *targets: intent.StoredObject) -> intent.ApplyResult:
        """Applies objects."""
        return self._command(
            builders.apply_command(*targets, now_ms=self.now_ms)
        )

    def register(self, *workers: intent.StoredObject) -> None:
        """Makes workers known."""
        self._propose(
            intent.Command(now_ms=self.now_ms, workers=list(workers))
        )

    def submit(self, target: intent.StoredObject, *, run_ms: int) -> None:
        """Submits a job that really runs for a time."""
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
        """Places a gang that runs without end, without a decision."""
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
        self._event(name, epoch, Event.STARTED)

    def at(self, at_ms: int, act: collections.abc.Callable[[], None]) -> None:
        """Does something at a time."""
        heapq.heappush(self._events, (at_ms, next(self._order), act))

    def run_until(self, end_ms: int) -> None:
        """Lets time pass, with a round at each event and in between."""
        while self.now_ms < end_ms:
            next_ms = min(self.now_ms + ROUND_MS, end_ms)
            if self._events:
                next_ms = min(next_ms, max(self._events[0][0], self.now_ms))
            self.now_ms = next_ms
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
            self.round()

    def round(self) -> None:
        """Runs one round and puts its decisions into effect."""
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
            self._later(START_MS, self._start, place.job, status.epoch)
        for event in decisions.events:
            if event.event == Event.STOPPING:
                self._stop_later(event.job, event.epoch)
        if self._check:
            self.check()

    def cancel(self, name: str) -> None:
        """Cancels a job; a placed one stops soon."""
        from banyantrack.intent import objects

        status = self.state.jobs.get(name)
        epoch = status.epoch if status else 0
        self.apply(objects.tombstone(objects.KIND_BY_PLURAL['jobs'], name))
        if status is not None and status.phase == Phase.PLACED:
            self._stop_later(name, epoch)

    def fail(self, name: str, reason: int) -> None:
        """Lets a running gang fail."""
        status = self.state.jobs.get(name)
        if status is None or status.allotment != Allotment.RUNNING:
            return
        self._event(name, status.epoch, Event.STOPPING, reason=reason)
        self._stop_later(name, status.epoch)

    def check(self) -> None:
        """Counts broken guarantees and gangs without all members."""
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

    def note_fragmentation(self) -> None:
        """Notes free accelerators that no adjacent gang of 8 or 16 can use."""
        fleet = self.scheduler.ledger.fleet
        free = fleet.total_free
        racks = [
            sum(fleet.free_accelerators[worker] for worker in rack)
            for rack in fleet.racks
        ]
        whole = sum(count // 8 * 8 for count in fleet.free_accelerators)
        for_16 = sum(count // 16 * 16 for count in racks)
        self.fragmentation.append((free, free - whole, free - for_16))

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

    def _later(
        self,
        delay_ms: int,
        act: collections.abc.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        self.at(self.now_ms + delay_ms, lambda: act(*arguments))

    def _event(
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
        self._event(name, epoch, Event.STARTED)
        self._running_since[name] = self.now_ms
        record = self.records[name]
        if record.started_ms is None:
            record.started_ms = self.now_ms
        left_ms = max(record.run_ms - self._progress.get(name, 0), 1)
        self._later(int(left_ms), self._end, name, epoch)

    def _end(self, name: str, epoch: int) -> None:
        status = self.state.jobs.get(name)
        if status is None or status.epoch != epoch:
            return
        if status.allotment != Allotment.RUNNING:
            return
        self.records[name].finished_ms = self.now_ms
        with self._clock:
            self.scheduler.record_completion(name, self.progress_ms(name))
        self._running_since.pop(name, None)
        self._event(name, epoch, Event.COMPLETED)

    def _stop_later(self, name: str, epoch: int) -> None:
        stored = self.state.get(intent.ObjectKind.JOB, name)
        gentle = stored is not None and stored.job.checkpointable
        delay_ms = CHECKPOINT_MS if gentle else START_MS
        since = self._running_since.pop(name, None)
        if gentle and since is not None:
            ran_ms = self.now_ms - since
            self._progress[name] = self._progress.get(name, 0) + ran_ms
        self._later(delay_ms, self._stopped, name, epoch)

    def _stopped(self, name: str, epoch: int) -> None:
        self._event(
            name,
            epoch,
            Event.STOPPED,
            progress_ms=int(self._progress.get(name, 0)),
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
    """Adds workers in racks, a rack a zone in turn."""
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


def shapes_of_jobs(rng: random.Random) -> tuple[int, int, str]:
    """Returns members, accelerators a member and adjacency of a job."""
    draw = rng.random()
    if draw < 0.55:
        return 1, rng.choice((1, 1, 2, 4)), 'any'
    if draw < 0.80:
        return rng.choice((2, 4)), rng.choice((1, 2)), 'any'
    if draw < 0.93:
        return 8, 1, 'rack'
    return rng.choice((2, 3, 4)), 8, 'rack'
