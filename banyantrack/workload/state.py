"""Replicated state of jobs, runs, workers and waves of upkeep.

A run is recorded before its order is sent, and an end before it is
acknowledged to the worker, so every leader has a record of each run that may
be alive.
"""

from __future__ import annotations

import copy
import typing

from banyantrack.core import findings
from banyantrack.generated.workload import ttypes
from banyantrack.workload import crashes
from banyantrack.workload import evacuations
from banyantrack.workload import layout
from banyantrack.workload import routing
from banyantrack.workload import run_time_summary
from banyantrack.workload import validation

if typing.TYPE_CHECKING:
    import collections.abc

# Finished jobs can be queried for this long. Callers query for up to the
# `status_s` of the platform, which is two minutes in all known deployments.
FINISHED_JOB_RETENTION_MS = 600_000
# Latest departures of workers that are kept, against reports that come late.
DEPARTURES_LIMIT = 1000
# A run that has lasted for this long shows that its task does not crash its
# worker at its start.
CLEARED_AFTER_MS = 5_000
# Kinds of ends that say nothing about how long the run lasted.
_ENDS_OF_UNKNOWN_TIME = frozenset((ttypes.EndKind.LOST, ttypes.EndKind.NEVER))
State = ttypes.JobState
Verdict = ttypes.JobVerdict
End = ttypes.EndKind
FINISHED = frozenset((State.COMPLETED, State.FAILED, State.CANCELLED))


class LiveRun(typing.NamedTuple):
    """A run that may be alive.

    Attributes:
        key: The task.
        record: The record of the job.
        task: The record of the task.
    """

    key: layout.TaskId
    record: ttypes.JobRecord
    task: ttypes.TaskRecord


class WorkState:
    """State machine of jobs and the workers that run their tasks."""

    def __init__(self) -> None:
        self._config: ttypes.WorkConfig | None = None
        self._router: routing.Router | None = None
        self._jobs: dict[str, ttypes.JobRecord] = {}
        self._active: dict[str, ttypes.JobRecord] = {}
        # Runs that may be alive, by worker; an index derived from the jobs.
        self._runs: dict[str, dict[layout.TaskId, ttypes.TaskRecord]] = {}
        self._workers: dict[str, ttypes.WorkerRecord] = {}
        # Incarnations of workers that have said that they end, by worker id,
        # in the order of their departure.
        self._departures: dict[str, int] = {}
        self._waves: dict[int, ttypes.Wave] = {}
        self._evacuations = evacuations.EvacuationTable()
        self._run_times = run_time_summary.RunTimeEntries()
        self._generation = 0

    @property
    def config(self) -> ttypes.WorkConfig | None:
        """The current configuration; None before the first."""
        return self._config

    @property
    def jobs(self) -> collections.abc.Mapping[str, ttypes.JobRecord]:
        """All jobs by id."""
        return self._jobs

    @property
    def active(self) -> collections.abc.Mapping[str, ttypes.JobRecord]:
        """Jobs by id that are unfinished or may still have a live run."""
        return self._active

    @property
    def workers(self) -> collections.abc.Mapping[str, ttypes.WorkerRecord]:
        """Records of all workers by id."""
        return self._workers

    @property
    def waves(self) -> collections.abc.Mapping[int, ttypes.Wave]:
        """Waves of upkeep by number."""
        return self._waves

    @property
    def evacuations(self) -> evacuations.EvacuationTable:
        """Evacuations of availability zones."""
        return self._evacuations

    @property
    def run_times(self) -> run_time_summary.RunTimeEntries:
        """What leaders have learned of run times."""
        return self._run_times

    @property
    def generation(self) -> int:
        """Counter that increases with each applied command or restore."""
        return self._generation

    def has_left(self, worker_id: str, incarnation: int) -> bool:
        """Whether a worker has said that this incarnation ends."""
        return incarnation <= self._departures.get(worker_id, -1)

    def task(self, key: layout.TaskId) -> ttypes.TaskRecord | None:
        """Returns the record of a task, or None."""
        record = self._jobs.get(key.job_id)
        return None if record is None else layout.find_task(record, key)

    def live_runs(
        self, worker_id: str, incarnation: int
    ) -> list[tuple[layout.TaskId, ttypes.TaskRecord]]:
        """Returns the runs that may be alive on an incarnation of a worker."""
        return [
            (key, task)
            for key, task in self._runs.get(worker_id, {}).items()
            if task.incarnation == incarnation
        ]

    def all_live_runs(self) -> list[LiveRun]:
        """Returns all runs that may be alive, grouped by worker."""
        return [
            LiveRun(key, self._jobs[key.job_id], task)
            for runs in self._runs.values()
            for key, task in runs.items()
        ]

    def with_job(self, record: ttypes.JobRecord) -> WorkState:
        """Returns a hypothetical state with one more job.

        It shares its records with this state and must not be changed.
        """
        state = copy.copy(self)
        state._jobs = self._jobs | {record.job.job_id: record}
        state._active = self._active | {record.job.job_id: record}
        return state

    def apply(self, command: ttypes.WorkCommand, now_ms: int) -> typing.Any:
        """Applies a command.

        Args:
            command: The command.
            now_ms: Time that was replicated with the command, in milliseconds
                since 1970.

        Returns:
            A `JobAnswer` for a submission or cancellation, an
            `evacuations.Verdict` for an evacuation, otherwise None.
        """
        self._generation += 1
        if command.config is not None:
            self._apply_config(command.config)
        self._run_times.merge(command.run_times)
        if command.submit is not None:
            return self._submit(command.submit, now_ms)
        if command.cancel is not None:
            return self._cancel(command.cancel, now_ms)
        if command.evacuation is not None:
            return self._evacuations.apply(command.evacuation, now_ms)
        for worker in command.workers or ():
            self._apply_worker(worker)
        for end in command.ends or ():
            self._apply_end(end, now_ms)
        for start in command.starts or ():
            self._apply_start(start, now_ms)
        if command.wave is not None:
            self._waves.setdefault(command.wave.number, command.wave)
        for begun in command.begun or ():
            self._apply_wave_begun(begun, now_ms)
        return None

    def snapshot(self) -> ttypes.WorkSnapshot:
        """Returns a snapshot of the whole state."""
        return ttypes.WorkSnapshot(
            config=self._config,
            jobs=list(self._jobs.values()),
            workers=list(self._workers.values()),
            waves=list(self._waves.values()),
            records_crashes=True,
            departures=[
                ttypes.Departure(worker_id=worker_id, incarnation=incarnation)
                for worker_id, incarnation in self._departures.items()
            ],
            evacuations=self._evacuations.snapshot(),
            run_times=self._run_times.snapshot(),
        )

    def restore(self, snapshot: ttypes.WorkSnapshot | None) -> None:
        """Replaces the state; None empties it.

        Crashes under unfinished tasks, and evacuations, are kept if the
        snapshot comes from a build that does not record them.
        """
        evacuations_before = self._evacuations
        crashes_before = {
            key: task.suspect_crashes
            for record in self._active.values()
            for key, task in layout.iter_tasks(record)
            if crashes.is_suspect(task)
        }
        self.__init__()
        self._generation += 1
        if snapshot is None:
            return
        if snapshot.config is not None:
            self._apply_config(snapshot.config)
        self._jobs = {record.job.job_id: record for record in snapshot.jobs}
        self._workers = {w.worker_id: w for w in snapshot.workers}
        self._waves = {wave.number: wave for wave in snapshot.waves}
        self._departures = {
            departure.worker_id: departure.incarnation
            for departure in snapshot.departures or ()
        }
        if snapshot.evacuations is None:
            self._evacuations = evacuations_before
        else:
            self._evacuations.restore(snapshot.evacuations)
        self._run_times.merge(snapshot.run_times)
        for record in snapshot.jobs:
            self._update_active(record)
            for key, task in layout.iter_tasks(record):
                if task.worker_id:
                    self._runs.setdefault(task.worker_id, {})[key] = task
        if snapshot.records_crashes:
            return
        for key, suspect_crashes in crashes_before.items():
            task = self.task(key)
            if task is not None:
                task.suspect_crashes = suspect_crashes

    # Configuration and customers' calls.

    def _apply_config(self, config: ttypes.WorkConfig) -> None:
        current_version = (
            self._config.version if self._config is not None else -1
        )
        if config.version > current_version:
            self._config = config
            self._router = routing.Router(config)

    def route(
        self, host: str, path: str, key: str
    ) -> routing.Routed | ttypes.JobAnswer:
        """Returns the queue and customer of a call, or the refusal.

        See `Router.route` for the arguments.
        """
        if self._router is None:
            return _answer(Verdict.NO_CONFIG, 'no configuration is in force')
        routed = self._router.route(host, path, key)
        if isinstance(routed, routing.Routed):
            return routed
        return _answer(routed)

    def _submit(
        self, command: ttypes.SubmitCommand, now_ms: int
    ) -> ttypes.JobAnswer:
        routed = self.route(command.host, command.path, command.key)
        if isinstance(routed, ttypes.JobAnswer):
            return routed
        job = command.job
        existing = self._jobs.get(job.job_id)
        if existing is not None:
            return _answer(Verdict.DONE, state=existing.state)
        found = findings.Findings()
        validation.check_job(job, found)
        if found.found:
            text = '; '.join(str(finding) for finding in found.found)
            return _answer(Verdict.INVALID, text)
        self._expire(now_ms)
        record = new_record(job, routed.queue, routed.customer, now_ms)
        self._jobs[job.job_id] = record
        self._active[job.job_id] = record
        return _answer(Verdict.DONE, state=State.QUEUED)

    def _cancel(
        self, command: ttypes.CancelCommand, now_ms: int
    ) -> ttypes.JobAnswer:
        routed = self.route(command.host, command.path, command.key)
        if isinstance(routed, ttypes.JobAnswer):
            return routed
        record = self._jobs.get(routed.rest)
        if record is None:
            return _answer(Verdict.NO_JOB)
        if record.state not in FINISHED:
            self._finish(record, State.CANCELLED, now_ms)
        return _answer(Verdict.DONE, state=record.state)

    def _expire(self, now_ms: int) -> None:
        """Deletes finished jobs past their retention time.

        Relies on `_jobs` holding finished jobs in the order in which they
        finished.
        """
        for job_id, record in list(self._jobs.items()):
            if record.state not in FINISHED:
                continue
            if record.finished_ms + FINISHED_JOB_RETENTION_MS > now_ms:
                break
            if job_id not in self._active:
                del self._jobs[job_id]

    def _finish(
        self, record: ttypes.JobRecord, state: int, now_ms: int
    ) -> None:
        record.state = state
        record.finished_ms = now_ms
        # Moves the job to the end; `_expire` relies on this order.
        self._jobs[record.job.job_id] = self._jobs.pop(record.job.job_id)
        self._update_active(record)

    def _update_active(self, record: ttypes.JobRecord) -> None:
        """Adds a job to the active ones, or removes it if it has ended.

        A finished job stays active until none of its runs may be alive.
        """
        job_id = record.job.job_id
        if record.state not in FINISHED or any(
            task.worker_id for task in record.tasks
        ):
            self._active[job_id] = record
        else:
            self._active.pop(job_id, None)

    # Runs.

    def _apply_start(self, start: ttypes.RunStart, now_ms: int) -> None:
        record = self._jobs.get(start.task.job_id)
        if record is None or record.state in FINISHED:
            return
        key = layout.task_id(start.task)
        task = layout.find_task(record, key)
        if task is None or task.done or task.worker_id:
            return
        if start.run <= task.run:
            return
        task.run = start.run
        task.worker_id = start.worker_id
        task.incarnation = start.incarnation
        task.checkpoint = start.checkpoint
        task.ticket = start.ticket
        task.started_ms = now_ms
        record.state = State.RUNNING
        self._runs.setdefault(start.worker_id, {})[key] = task

    def _apply_end(self, end: ttypes.RunEnd, now_ms: int) -> None:
        record = self._jobs.get(end.task.job_id)
        if record is None:
            return
        key = layout.task_id(end.task)
        task = layout.find_task(record, key)
        if (
            task is None
            or task.run != end.run
            or task.worker_id != end.worker_id
            or task.incarnation != end.incarnation
        ):
            return
        task.worker_id = ''
        del self._runs[end.worker_id][key]
        if not self._runs[end.worker_id]:
            del self._runs[end.worker_id]
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        self._record_crash(task, end, now_ms)
        step = record.job.steps[key.step]
        if end.kind == End.DONE and not step.long_running:
            self._mark_done(record, key, step)
        elif end.kind == End.FAILED:
            self._mark_failed(record, key, step, task, end.worker_id)
        if record.state not in FINISHED:
            if end.give_up:
                self._clear_other_suspects(task)
                self._finish(record, State.FAILED, now_ms)
            else:
                self._update_job_state(record, step, task, now_ms)
        self._update_active(record)

    def _record_crash(
        self, task: ttypes.TaskRecord, end: ttypes.RunEnd, now_ms: int
    ) -> None:
        """Records a crash under a suspect, or that a suspect is cleared."""
        if end.crash_role in (
            ttypes.CrashRole.SUSPECT,
            ttypes.CrashRole.SOLE_SUSPECT,
        ):
            crashes.add_crash(task, end)
        elif (
            task.suspect_crashes
            and end.kind not in _ENDS_OF_UNKNOWN_TIME
            and now_ms - task.started_ms >= CLEARED_AFTER_MS
        ):
            task.suspect_crashes = None

    def _clear_other_suspects(self, cause: ttypes.TaskRecord) -> None:
        """Removes the crashes of a task that is given up from the others."""
        explained = {
            (crash.host, crash.incarnation)
            for crash in cause.suspect_crashes or ()
        }
        for record in self._active.values():
            for task in record.tasks:
                if task is not cause and crashes.is_suspect(task):
                    crashes.clear_suspect(task, explained)

    def _mark_done(
        self,
        record: ttypes.JobRecord,
        key: layout.TaskId,
        step: ttypes.Step,
    ) -> None:
        if not step.gang:
            layout.find_task(record, key).done = True
            return
        # The members of a gang end together, so one end completes all.
        for task in layout.group_tasks(record, key.occurrence, key.step):
            task.done = True

    def _mark_failed(
        self,
        record: ttypes.JobRecord,
        key: layout.TaskId,
        step: ttypes.Step,
        task: ttypes.TaskRecord,
        worker_id: str,
    ) -> None:
        task.last_failed_on = worker_id
        if not step.gang:
            task.failures += 1
            return
        members = layout.group_tasks(record, key.occurrence, key.step)
        # Several members may fail in one run, which counts as one failure.
        if any(member.failed_run == task.run for member in members):
            return
        for member in members:
            member.failed_run = task.run
            member.failures += 1

    def _update_job_state(
        self,
        record: ttypes.JobRecord,
        step: ttypes.Step,
        task: ttypes.TaskRecord,
        now_ms: int,
    ) -> None:
        if (
            not step.long_running
            and not task.done
            and task.failures >= record.queue.attempts
        ):
            self._finish(record, State.FAILED, now_ms)
        elif task.done and all(task.done for task in record.tasks):
            self._finish(record, State.COMPLETED, now_ms)

    # Workers and waves.

    def _apply_worker(self, worker: ttypes.WorkerRecord) -> None:
        existing = self._workers.get(worker.worker_id)
        if existing is not None and existing.incarnation > worker.incarnation:
            return
        if worker.state == ttypes.WorkerState.GONE:
            self._workers.pop(worker.worker_id, None)
            if worker.has_left:
                self._add_departure(worker)
        else:
            self._workers[worker.worker_id] = worker

    def _add_departure(self, worker: ttypes.WorkerRecord) -> None:
        self._departures.pop(worker.worker_id, None)
        self._departures[worker.worker_id] = worker.incarnation
        if len(self._departures) > DEPARTURES_LIMIT:
            del self._departures[next(iter(self._departures))]

    def _apply_wave_begun(self, begun: ttypes.WaveBegun, now_ms: int) -> None:
        wave = self._waves.get(begun.number)
        if wave is None:
            return
        if begun.machine and begun.machine not in wave.begun:
            wave.begun.append(begun.machine)
            wave.begun_ms.append(now_ms)
        if not begun.machine:
            wave.state = ttypes.WaveState.COMPLETED


def new_record(
    job: ttypes.TaskJob, queue: ttypes.Queue, customer: str, now_ms: int
) -> ttypes.JobRecord:
    """Returns the record of a job that is accepted now."""
    count = layout.tasks_per_occurrence(job) * layout.occurrences(job)
    return ttypes.JobRecord(
        job=job,
        queue=queue,
        customer=customer,
        accepted_ms=now_ms,
        state=State.QUEUED,
        finished_ms=0,
        tasks=[_new_task() for _ in range(count)],
    )


def _new_task() -> ttypes.TaskRecord:
    return ttypes.TaskRecord(
        run=0,
        worker_id='',
        incarnation=0,
        failures=0,
        done=False,
        checkpoint='',
        ticket='',
        started_ms=0,
        last_failed_on='',
        failed_run=0,
    )


def _answer(
    verdict: int, detail: str = '', *, state: int = 0
) -> ttypes.JobAnswer:
    return ttypes.JobAnswer(
        verdict=verdict,
        state=state,
        pending=0,
        retry_after_s=0,
        detail=detail,
    )
