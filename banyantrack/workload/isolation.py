"""Keeps tasks that may crash their workers apart from other new runs.

While a suspect's run is on probation, no run of another job starts on its
worker. If the worker crashes, there is no other suspect; if it does not, the
task is cleared. Workers are chosen so that a crash ends little other work.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import typing

from banyantrack.workload import crashes

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.workload import ttypes
    from banyantrack.workload import capacity
    from banyantrack.workload import units as units_module

# Time after the start of a suspect in which its worker is closed to other
# jobs. It is longer than `crashes.RECENT_START_S`, since a run starts some
# time after its start is recorded.
PROBATION_MS = 1500
# Time since the start of its last run in which a suspect waits for a quiet
# worker: that of a crash and its detection, and of a probation.
MAX_QUIET_WAIT_MS = 10_000
# Share of a pool's workers that are closed for tasks with a single crash.
MAX_RESERVED_SHARE = 0.25
# Cost of the loss of an urgent run, in other runs.
URGENT_RUN_COST = 100


def split_suspects(
    unit: units_module.Unit,
) -> collections.abc.Iterator[units_module.Unit]:
    """Yields the parts of a unit that are placed separately.

    The suspects of a unit are a part of their own. A gang has only one part.
    """
    tasks = unit.tasks
    suspects = [i for i in unit.members if tasks[i].suspect_crashes]
    if not suspects:
        yield unit
    elif unit.step.gang or len(suspects) == len(unit.members):
        others = [i for i in unit.members if i not in suspects]
        yield dataclasses.replace(
            unit, members=suspects + others, suspects=len(suspects)
        )
    else:
        others = [i for i in unit.members if i not in suspects]
        yield dataclasses.replace(unit, members=others)
        yield dataclasses.replace(
            unit, members=suspects, suspects=len(suspects)
        )


def may_wait(unit: units_module.Unit, now_ms: int) -> bool:
    """Whether a unit waits for workers on which no other job has just started.

    Only tasks with two crashes do, so that the next crash proves the cause.

    Args:
        unit: The unit.
        now_ms: Time of day, in milliseconds since 1970.
    """
    if not unit.suspects:
        return False
    tasks = unit.tasks
    return any(
        crashes.crash_count(tasks[index]) > 1
        and now_ms - tasks[index].started_ms < MAX_QUIET_WAIT_MS
        for index in unit.members[: unit.suspects]
    )


class Isolation:
    """Workers that are closed to other jobs, in one round of planning.

    Args:
        fleet: Workers and their runs.
        now_ms: Time of day, in milliseconds since 1970.
    """

    def __init__(self, fleet: capacity.Fleet, now_ms: int) -> None:
        # Job that a worker is reserved for, by worker id.
        self._reserved: dict[str, str] = {}
        # Number of reserved workers, and of all workers, by pool.
        self._reserved_counts: collections.Counter[str] = collections.Counter()
        self._sizes = collections.Counter(w.record.pool for w in fleet)
        # Job of suspects that wait for a worker to be quiet, by worker id.
        self._held: dict[str, str] = {}
        # Jobs with a run that has just started, by worker id.
        self._recent: dict[str, set[str]] = {}
        for worker in fleet:
            for run in worker.runs:
                if abs(now_ms - run.task.started_ms) >= PROBATION_MS:
                    continue
                self.note_start(
                    worker,
                    run.key.job_id,
                    apart=self.must_run_apart(worker.record.pool, [run.task]),
                )

    def allows(
        self, worker: capacity.WorkerCapacity, unit: units_module.Unit
    ) -> bool:
        """Whether the runs of a unit may start on a worker."""
        job_id = unit.key.job_id
        worker_id = worker.record.worker_id
        if self._reserved.get(worker_id, job_id) != job_id:
            return False
        held_for = self._held.get(worker_id, job_id)
        return held_for == job_id or unit.priority == 0

    def hold(
        self,
        unit: units_module.Unit,
        workers: collections.abc.Iterable[capacity.WorkerCapacity],
    ) -> None:
        """Closes workers to jobs that are not urgent, until a suspect starts.

        Args:
            unit: Unit with the suspects.
            workers: Workers of its members, the suspects first.
        """
        for worker in itertools.islice(workers, unit.suspects):
            self._held.setdefault(worker.record.worker_id, unit.key.job_id)

    def are_quiet(
        self,
        unit: units_module.Unit,
        workers: collections.abc.Iterable[capacity.WorkerCapacity],
    ) -> bool:
        """Whether no other job has just started where suspects will run.

        Args:
            unit: Unit with the suspects.
            workers: Workers of its members, the suspects first.
        """
        return not any(
            self._recent.get(worker.record.worker_id, set())
            - {unit.key.job_id}
            for worker in itertools.islice(workers, unit.suspects)
        )

    def must_run_apart(
        self, pool: str, tasks: collections.abc.Iterable[ttypes.TaskRecord]
    ) -> bool:
        """Whether tasks have to run apart from new runs of other jobs.

        When many suspects start at once, most of them only ran beside the
        cause. So that urgent jobs still find workers, all but some of the
        tasks with one crash then start like others.

        Args:
            pool: Pool of the tasks.
            tasks: Tasks that start.
        """
        count = max((crashes.crash_count(task) for task in tasks), default=0)
        most = max(int(self._sizes[pool] * MAX_RESERVED_SHARE), 1)
        return count > 1 or (count == 1 and self._reserved_counts[pool] < most)

    def note_start(
        self, worker: capacity.WorkerCapacity, job_id: str, *, apart: bool
    ) -> None:
        """Records a start.

        Args:
            worker: The worker.
            job_id: The job of the run.
            apart: Whether the worker is closed to other jobs.
        """
        record = worker.record
        self._recent.setdefault(record.worker_id, set()).add(job_id)
        if apart:
            if record.worker_id not in self._reserved:
                self._reserved_counts[record.pool] += 1
            self._reserved[record.worker_id] = job_id

    def preference(
        self, unit: units_module.Unit
    ) -> collections.abc.Callable[
        [capacity.WorkerCapacity], tuple[float, ...]
    ]:
        """Returns the sort key of workers for a unit with suspects.

        First come hosts on which the unit has not crashed, workers without
        new runs of other jobs, and workers with little other work.
        """
        job_id = unit.key.job_id
        crashed = _crashed_hosts(unit)

        def key(worker: capacity.WorkerCapacity) -> tuple[float, ...]:
            record = worker.record
            recent = self._recent.get(record.worker_id, set()) - {job_id}
            return (
                _host(worker) in crashed,
                bool(recent),
                sum(
                    _cost(run)
                    for run in worker.runs
                    if run.key.job_id != job_id
                ),
                worker.penalty,
                worker.free.accelerators,
            )

        return key


def without_crashed_hosts(
    unit: units_module.Unit,
    workers: collections.abc.Iterable[capacity.WorkerCapacity],
) -> list[capacity.WorkerCapacity]:
    """Returns the workers on whose hosts no task of a unit was a suspect."""
    crashed = _crashed_hosts(unit)
    return [worker for worker in workers if _host(worker) not in crashed]


def _crashed_hosts(unit: units_module.Unit) -> set[str]:
    return {
        crash.host
        for task in unit.tasks
        for crash in task.suspect_crashes or ()
    }


def _host(worker: capacity.WorkerCapacity) -> str:
    return worker.record.machine or worker.record.address


def _cost(run: capacity.RunAllocation) -> int:
    """Returns the cost of the loss of a run, in other runs."""
    if run.record.queue.priority == 0:
        return URGENT_RUN_COST
    # The other members of a gang end with it.
    return run.step.count if run.step.gang else 1
