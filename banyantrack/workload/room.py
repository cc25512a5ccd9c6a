"""Free capacity of workers, now and once what is being stopped has ended."""

from __future__ import annotations

import collections
import dataclasses
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.workload import guarantees
from banyantrack.workload import layout

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import state as state_module


@dataclasses.dataclass(slots=True)
class Amount:
    """Resources of a worker or a task.

    Attributes:
        accelerators: Whole accelerators.
        cpu_milli: Thousandths of a processor.
        memory_mb: Megabytes of memory.
    """

    accelerators: int
    cpu_milli: int
    memory_mb: int

    def fits(self, need: Amount) -> bool:
        """Whether a need is covered."""
        return (
            self.accelerators >= need.accelerators
            and self.cpu_milli >= need.cpu_milli
            and self.memory_mb >= need.memory_mb
        )

    def add(self, other: Amount) -> None:
        """Adds another amount to this one."""
        self.accelerators += other.accelerators
        self.cpu_milli += other.cpu_milli
        self.memory_mb += other.memory_mb

    def take(self, other: Amount) -> None:
        """Takes another amount from this one."""
        self.accelerators -= other.accelerators
        self.cpu_milli -= other.cpu_milli
        self.memory_mb -= other.memory_mb

    def copy(self) -> Amount:
        """Returns an equal amount."""
        return Amount(self.accelerators, self.cpu_milli, self.memory_mb)


def need_of(step: ttypes.Step) -> Amount:
    """Returns what one task of a step takes of a worker.

    Filling tasks only use processors that others leave idle.
    """
    cpu_milli = 0 if step.fills else step.cpu_milli
    return Amount(step.accelerators, cpu_milli, step.memory_mb)


@dataclasses.dataclass(eq=False, slots=True)
class LiveRun:
    """A run that takes room on a worker.

    Attributes:
        key: The task.
        record: Its job.
        step: Its step.
        task: Its record.
        guaranteed: Whether its customer's guarantee covers the job.
        remaining_ms: How much longer it will run, as its progress tells;
            None if that is not known.
    """

    key: layout.TaskId
    record: ttypes.JobRecord
    step: ttypes.Step
    task: ttypes.TaskRecord
    guaranteed: bool
    remaining_ms: float | None = None


@dataclasses.dataclass(eq=False, slots=True)
class WorkerRoom:
    """One worker in one round of planning.

    Attributes:
        record: The worker.
        rack: Its rack, from its labels; empty if it names none.
        usable: Whether new runs may start there.
        free: What is free now.
        later: What is free once the runs that are being stopped have ended;
            less than `free` where room is kept for something.
        runs: What takes its room.
        penalty: Preference; workers with less are used first.
    """

    record: ttypes.WorkerRecord
    rack: str
    usable: bool
    free: Amount
    later: Amount
    runs: list[LiveRun]
    penalty: float = 0.0

    def place(self, need: Amount) -> None:
        """Takes room for a run that starts now."""
        self.free.take(need)
        self.later.take(need)


class Fleet:
    """All workers in one round of planning.

    Args:
        state: The replicated state.
        stopping: Runs that are being stopped.
        usable: Tells whether new runs may start on a worker.
        penalty: Returns the preference of a worker.
        remaining_ms: Returns how much longer a run will take; None if that
            is not known.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        *,
        stopping: collections.abc.Container[layout.RunId],
        usable: collections.abc.Callable[[ttypes.WorkerRecord], bool],
        penalty: collections.abc.Callable[[ttypes.WorkerRecord], float],
        remaining_ms: collections.abc.Callable[[LiveRun], float | None],
    ) -> None:
        self._remaining_ms = remaining_ms
        self._workers: dict[str, WorkerRoom] = {}
        self._by_pool: dict[str, list[WorkerRoom]] = collections.defaultdict(
            list
        )
        for worker in state.workers.values():
            total = Amount(
                worker.accelerators, worker.cpu_milli, worker.memory_mb
            )
            room = WorkerRoom(
                record=worker,
                rack=rack_of(worker),
                usable=worker.state == ttypes.WorkerState.READY
                and usable(worker),
                free=total,
                later=total.copy(),
                runs=[],
                penalty=penalty(worker),
            )
            self._workers[worker.worker_id] = room
            self._by_pool[worker.pool].append(room)
        covered = guarantees.covered_jobs(state)
        for live in state.all_live_runs():
            self._add_run(live, stopping, live.key.job_id in covered)

    def get(self, worker_id: str) -> WorkerRoom | None:
        """Returns a worker, or None."""
        return self._workers.get(worker_id)

    def of_pool(self, pool: str) -> list[WorkerRoom]:
        """Returns the workers of a pool."""
        return self._by_pool.get(pool, [])

    def idle(self, pool: str) -> bool:
        """Whether less than half of each resource of a pool is in use."""
        total, free = Amount(0, 0, 0), Amount(0, 0, 0)
        for room in self.of_pool(pool):
            record = room.record
            total.add(
                Amount(record.accelerators, record.cpu_milli, record.memory_mb)
            )
            free.add(room.free)
        return free.fits(
            Amount(
                total.accelerators // 2,
                total.cpu_milli // 2,
                total.memory_mb // 2,
            )
        )

    def __iter__(self) -> collections.abc.Iterator[WorkerRoom]:
        return iter(self._workers.values())

    def _add_run(
        self,
        live: state_module.LiveRun,
        stopping: collections.abc.Container[layout.RunId],
        guaranteed: bool,
    ) -> None:
        room = self._workers.get(live.task.worker_id)
        if room is None:
            return
        step = live.record.job.steps[live.key.step]
        need = need_of(step)
        room.free.take(need)
        run = LiveRun(live.key, live.record, step, live.task, guaranteed)
        run.remaining_ms = self._remaining_ms(run)
        room.runs.append(run)
        if layout.RunId(live.key, live.task.run) not in stopping:
            room.later.take(need)


def rack_of(worker: ttypes.WorkerRecord) -> str:
    """Returns the rack that a worker's labels name.

    A worker has the label of its kind first and that of its rack last.
    """
    return worker.labels[-1] if len(worker.labels) > 1 else ''
