"""Replicated state of the control group: objects, keys, claims and jobs."""

from __future__ import annotations

import array
import dataclasses
import typing

from banyantrack.core import codec
from banyantrack.core import errors
from banyantrack.core import findings
from banyantrack.generated.intent import ttypes
from banyantrack.intent import claims
from banyantrack.intent import feed
from banyantrack.intent import jobs
from banyantrack.intent import keys
from banyantrack.intent import objects
from banyantrack.intent import table
from banyantrack.intent import validation
from banyantrack.workload import state as work_state

if typing.TYPE_CHECKING:
    import collections.abc

SNAPSHOT_VERSION = 1
# Values of `Change.if_match` that are no revision.
ANY_REVISION = 0
MUST_NOT_EXIST = -1

Kind = ttypes.ObjectKind
Verdict = ttypes.Verdict


@dataclasses.dataclass(slots=True)
class Dirty:
    """Changes since the last call of `IntentState.take_dirty`.

    Attributes:
        jobs: Names of jobs whose status may have changed.
        objects: Kinds and names of changed objects.
    """

    jobs: set[str]
    objects: set[tuple[int, str]]


class IntentState:
    """State machine of the control group.

    Revisions are indexes of the replicated log, so they never decrease.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._clock_ms = 0
        self._objects = table.ObjectTable()
        self._keys = keys.KeyTable()
        self._claims = claims.ClaimTable()
        self._jobs = jobs.JobTable()
        self._feed = feed.ChangeFeed()
        self._generation = 0
        self._dirty = Dirty(set(), set())
        self._worker_names: dict[int, str] = {}
        self._next_worker_number = 0
        self._work = work_state.WorkState()

    @property
    def work(self) -> work_state.WorkState:
        """Workload state: jobs of tasks, on workers that the leader calls."""
        return self._work

    @property
    def revision(self) -> int:
        """Revision of the latest change of an object."""
        return self._revision

    @property
    def clock_ms(self) -> int:
        """Latest time of any command, in milliseconds since 1970."""
        return self._clock_ms

    @property
    def generation(self) -> int:
        """Number that increases with each applied command and each restore."""
        return self._generation

    @property
    def jobs(self) -> jobs.JobTable:
        """Status of all jobs."""
        return self._jobs

    @property
    def claims(self) -> claims.ClaimTable:
        """Claims of non-idempotent requests."""
        return self._claims

    @property
    def feed(self) -> feed.ChangeFeed:
        """Recent changes of objects."""
        return self._feed

    def key_record(self, key: str) -> ttypes.KeyRecord | None:
        """Returns the first result of an idempotency key, or None."""
        return self._keys.get(key)

    def take_dirty(self) -> Dirty:
        """Returns the changes since the last call, and clears them.

        A second reader would miss the changes that the first one received.
        """
        dirty, self._dirty = self._dirty, Dirty(set(), set())
        return dirty

    def mark_all_dirty(self) -> None:
        """Makes the next `take_dirty` return everything."""
        self._dirty = Dirty(
            {status.job for status in self._jobs},
            {(stored.kind, stored.name) for stored in self._objects},
        )

    def get(self, kind: int, name: str) -> ttypes.StoredObject | None:
        """Returns an object, or None."""
        return self._objects.get(kind, name)

    def of_kind(self, *kinds: int) -> list[ttypes.StoredObject]:
        """Returns all objects of the given kinds."""
        return [
            stored for kind in kinds for stored in self._objects.of_kind(kind)
        ]

    def apply(self, index: int, payload: bytes) -> object:
        """Applies a command; see `replication.StateMachine`.

        Returns:
            The result of changes of objects, of a claim or of a workload
            command; None for other commands.
        """
        command = codec.decode(ttypes.Command, payload)
        self._clock_ms = max(self._clock_ms, command.now_ms)
        self._generation += 1
        if command.apply is not None:
            return self._apply_changes(index, command.apply)
        if command.claim is not None:
            return self._claims.claim(command.claim, self._clock_ms)
        if command.claim_result is not None:
            self._claims.finish(command.claim_result)
        if command.claim_release is not None:
            self._claims.release(command.claim_release)
        if command.place is not None:
            self._place_jobs(index, command.place)
        if command.workers is not None:
            self._register_workers(index, command.workers)
        if command.job_events is not None:
            self._apply_job_events(index, command.job_events)
        if command.work is not None:
            return self._work.apply(command.work, self._clock_ms)
        return None

    def snapshot(self) -> bytes:
        """Returns the whole state; see `replication.StateMachine`."""
        return codec.encode(
            ttypes.IntentSnapshot(
                version=SNAPSHOT_VERSION,
                revision=self._revision,
                objects=list(self._objects),
                keys=self._keys.records(),
                claims=self._claims.records(),
                jobs=self._jobs.statuses(),
                clock_ms=self._clock_ms,
                work=self._work.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state; see `replication.StateMachine`."""
        snapshot = codec.decode(ttypes.IntentSnapshot, data)
        errors.check_invariant(
            snapshot.version == SNAPSHOT_VERSION,
            'got snapshot version %d; valid is %d',
            snapshot.version,
            SNAPSHOT_VERSION,
        )
        errors.check_invariant(
            snapshot.revision >= self._revision,
            'revision %d after %d',
            snapshot.revision,
            self._revision,
        )
        self._revision = snapshot.revision
        self._clock_ms = snapshot.clock_ms
        self._objects = table.ObjectTable()
        for stored in snapshot.objects:
            self._objects.put(stored)
        self._worker_names = {
            stored.worker.number: stored.name
            for stored in self.of_kind(Kind.WORKER)
        }
        self._next_worker_number = max(self._worker_names, default=-1) + 1
        self._keys.restore(snapshot.keys)
        self._claims.restore(snapshot.claims)
        self._jobs.restore(snapshot.jobs)
        self._work.restore(snapshot.work)
        self._feed.reset(snapshot.revision)
        self._generation += 1
        self.mark_all_dirty()

    # Changes of objects.

    def _apply_changes(
        self, index: int, command: ttypes.ApplyCommand
    ) -> ttypes.ApplyResult:
        key = command.idempotency_key
        if not key:
            return self._apply_once(index, command)
        record = self._keys.get(key)
        if record is not None:
            if record.digest != command.digest:
                return _rejection(Verdict.KEY_MISMATCH, self._revision)
            return _replayed(record.result)
        if not self._keys.evict_expired(self._clock_ms):
            return _rejection(Verdict.FULL, self._revision)
        result = self._apply_once(index, command)
        self._keys.put(
            ttypes.KeyRecord(
                key=key,
                digest=command.digest,
                at_ms=self._clock_ms,
                result=result,
            )
        )
        return result

    def _apply_once(
        self, index: int, command: ttypes.ApplyCommand
    ) -> ttypes.ApplyResult:
        for change in command.changes:
            if not self._precondition_holds(change):
                return self._conflict_result(change)
        changed = [change.object for change in command.changes]
        found = findings.Findings()
        view = validation.ObjectOverlay(self._objects, changed)
        validation.check_changes(view, changed, found)
        self._check_against_state(changed, found)
        if found.found:
            result = _rejection(Verdict.INVALID, self._revision)
            result.findings = [
                ttypes.Finding(place=f.place, message=f.message)
                for f in found.found
            ]
            return result
        for stored in changed:
            self._store(index, stored)
        self._remove_finished_jobs(index)
        return ttypes.ApplyResult(
            verdict=Verdict.APPLIED,
            revision=index,
            findings=[],
            replayed=False,
        )

    def _precondition_holds(self, change: ttypes.Change) -> bool:
        if change.if_match == ANY_REVISION:
            return True
        current = self._objects.get(change.object.kind, change.object.name)
        if change.if_match == MUST_NOT_EXIST:
            return current is None
        return current is not None and current.revision == change.if_match

    def _conflict_result(self, change: ttypes.Change) -> ttypes.ApplyResult:
        result = _rejection(Verdict.CONFLICT, self._revision)
        result.current = self._objects.get(
            change.object.kind, change.object.name
        )
        return result

    def _check_against_state(
        self,
        changed: collections.abc.Iterable[ttypes.StoredObject],
        found: findings.Findings,
    ) -> None:
        for stored in changed:
            if stored.kind == Kind.WORKER:
                self._check_worker_change(stored, found)
            if stored.kind != Kind.JOB or stored.deleted:
                continue
            status = self._jobs.get(stored.name)
            current = self._objects.get(Kind.JOB, stored.name)
            if (
                status is None
                or status.phase == jobs.Phase.WAITING
                or (current is None and status.phase in jobs.FINISHED_PHASES)
                or (current is not None and current.job == stored.job)
            ):
                continue
            found.add(
                f'jobs/{stored.name}',
                'a job cannot change after it was placed;'
                ' valid is another name, or to delete the job first',
            )

    def _check_worker_change(
        self, stored: ttypes.StoredObject, found: findings.Findings
    ) -> None:
        place = f'workers/{stored.name}'
        if not stored.deleted:
            found.add(place, 'workers register themselves; valid is delete')
            return
        worker_object = self._objects.get(Kind.WORKER, stored.name)
        if worker_object is None:
            return
        for status in self._jobs:
            if worker_object.worker.number in array.array('H', status.workers):
                found.add(
                    place,
                    f'job {status.job!r} has a member on this worker;'
                    ' valid is to cancel the job first',
                )
                return

    def _store(self, index: int, stored: ttypes.StoredObject) -> None:
        errors.check_invariant(
            index >= self._revision,
            'revision %d after %d',
            index,
            self._revision,
        )
        key = (stored.kind, stored.name)
        existed = self._objects.get(*key) is not None
        removed = None
        if stored.deleted:
            if not existed:
                return
            removed = self._objects.pop(*key)
            if removed.worker is not None:
                del self._worker_names[removed.worker.number]
                self._next_worker_number = (
                    max(self._worker_names, default=-1) + 1
                )
        else:
            self._objects.put(stored)
        stored.revision = index
        self._revision = index
        self._feed.add(stored)
        self._dirty.objects.add(key)
        if stored.kind == Kind.JOB:
            self._store_job(index, stored, removed, existed)

    def _store_job(
        self,
        index: int,
        stored: ttypes.StoredObject,
        removed: ttypes.StoredObject | None,
        existed: bool,
    ) -> None:
        status = self._jobs.get(stored.name)
        self._dirty.jobs.add(stored.name)
        if stored.deleted:
            self._jobs.cancel(stored.name, removed.job, self._clock_ms)
        elif status is None or not existed:
            self._jobs.submit(stored.name, index, self._clock_ms)
        else:
            status.revision = index

    def _remove_finished_jobs(self, index: int) -> None:
        """Removes the oldest finished jobs and their objects."""
        for name in self._jobs.remove_oldest_finished():
            stored = self._objects.pop(Kind.JOB, name)
            if stored is not None:
                self._revision = index
                kind = objects.KIND_BY_NUMBER[Kind.JOB]
                self._feed.add(objects.tombstone(kind, name, index))

    # Workers and placement.

    def _register_workers(
        self, index: int, workers: list[ttypes.StoredObject]
    ) -> None:
        """Adds workers, or replaces what they reported about themselves."""
        for stored in workers:
            current = self._objects.get(Kind.WORKER, stored.name)
            if current is None:
                stored.worker.number = self._allocate_worker_number()
            else:
                stored.worker.number = current.worker.number
            self._worker_names[stored.worker.number] = stored.name
            self._store(index, stored)

    def _allocate_worker_number(self) -> int:
        # Snapshots hold no counter, so the number is a function of the numbers
        # in use. Otherwise members that restored a snapshot would differ.
        if len(self._worker_names) == self._next_worker_number:
            self._next_worker_number += 1
            return self._next_worker_number - 1
        number = 0
        while number in self._worker_names:
            number += 1
        return number

    def worker_name(self, number: int) -> str:
        """Returns the name of the worker with a number."""
        return self._worker_names[number]

    def worker_names(self, status: ttypes.JobStatus) -> list[str]:
        """Returns the names of a gang's workers, one for each member."""
        numbers = array.array('H', status.workers)
        return [self._worker_names[number] for number in numbers]

    def _place_jobs(
        self, index: int, commands: list[ttypes.PlaceCommand]
    ) -> None:
        for command in commands:
            self._dirty.jobs.add(command.job)
            if self._objects.get(Kind.JOB, command.job) is not None:
                self._jobs.place(command, index, self._clock_ms)

    def _apply_job_events(
        self, index: int, commands: list[ttypes.JobEventCommand]
    ) -> None:
        for command in commands:
            if not self._jobs.apply_event(command, self._clock_ms):
                continue
            self._dirty.jobs.add(command.job)
            status = self._jobs.get(command.job)
            stored = self._objects.get(Kind.JOB, command.job)
            if (
                status.phase == jobs.Phase.WAITING
                and stored is not None
                and status.attempts > stored.job.retry_limit
            ):
                self._jobs.fail(command.job, self._clock_ms)
        self._remove_finished_jobs(index)


def _rejection(verdict: int, revision: int) -> ttypes.ApplyResult:
    return ttypes.ApplyResult(
        verdict=verdict, revision=revision, findings=[], replayed=False
    )


def _replayed(result: ttypes.ApplyResult) -> ttypes.ApplyResult:
    return ttypes.ApplyResult(
        verdict=result.verdict,
        revision=result.revision,
        findings=result.findings,
        current=result.current,
        replayed=True,
    )
