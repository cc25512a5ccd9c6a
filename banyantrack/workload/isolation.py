"""Keeps tasks that may crash their workers apart from other new runs.

While a suspect's run is on probation, no run of another job starts on its
worker. If the worker crashes, there is no other suspect; if it does not, the
task is cleared. Workers are chosen so that a crash ends little other work.
"""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.workload import crashes

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import capacity
    from banyantrack.workload import units as units_module

# Time after the start of a suspect in which its worker is closed to other
# jobs. It is longer than `crashes.RECENT_START_S`, since a run starts some
# time after its start is recorded.
PROBATION_MS = 1500
# Cost of the loss of an urgent run, in other runs.
URGENT_RUN_COST = 100


def split_suspects(
    unit: units_module.Unit,
) -> collections.abc.Iterator[units_module.Unit]:
    """Yields the parts of a unit that are placed separately.

    The suspects of a unit are a part of their own. A gang has only one part.
    """
    tasks = unit.tasks
    suspects = [i for i in unit.members if crashes.is_suspect(tasks[i])]
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


class Isolation:
    """Workers that are closed to other jobs, in one round of planning.

    Args:
        fleet: Workers and their runs.
        now_ms: Time of day, in milliseconds since 1970.
    """

    def __init__(self, fleet: capacity.Fleet, now_ms: int) -> None:
        # Job that a worker is reserved for, by worker id.
        self._reserved: dict[str, str] = {}
        # Jobs with a run that has just started, by worker id.
        self._recent: dict[str, set[str]] = {}
        for worker in fleet:
            for run in worker.runs:
                if abs(now_ms - run.task.started_ms) >= PROBATION_MS:
                    continue
                self.note_start(
                    worker,
                    run.key.job_id,
                    suspect=crashes.is_suspect(run.task),
                )

    def allows(self, worker: capacity.WorkerCapacity, job_id: str) -> bool:
        """Whether runs of a job may start on a worker."""
        return self._reserved.get(worker.record.worker_id, job_id) == job_id

    def note_start(
        self,
        worker: capacity.WorkerCapacity,
        job_id: str,
        *,
        suspect: bool,
    ) -> None:
        """Records a start; that of a suspect reserves the worker."""
        worker_id = worker.record.worker_id
        self._recent.setdefault(worker_id, set()).add(job_id)
        if suspect:
            self._reserved[worker_id] = job_id

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
    return {host for task in unit.tasks for host in task.suspect_crashes or ()}


def _host(worker: capacity.WorkerCapacity) -> str:
    return worker.record.machine or worker.record.address


def _cost(run: capacity.RunAllocation) -> int:
    """Returns the cost of the loss of a run, in other runs."""
    if run.record.queue.priority == 0:
        return URGENT_RUN_COST
    # The other members of a gang end with it.
    return run.step.count if run.step.gang else 1
