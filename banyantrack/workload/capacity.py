"""Free capacity of workers, now and after pending stops."""

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
class Resources:
    """Resources of a worker or a task.

    Attributes:
        accelerators: Number of accelerators.
        cpu_milli: Thousandths of a processor.
        memory_mb: Megabytes of memory.
    """

    accelerators: int
    cpu_milli: int
    memory_mb: int

    def covers(self, need: Resources) -> bool:
        """Whether these resources are enough for a need."""
        return (
            self.accelerators >= need.accelerators
            and self.cpu_milli >= need.cpu_milli
            and self.memory_mb >= need.memory_mb
        )

    def add(self, other: Resources) -> None:
        """Adds other resources to these."""
        self.accelerators += other.accelerators
        self.cpu_milli += other.cpu_milli
        self.memory_mb += other.memory_mb

    def subtract(self, other: Resources) -> None:
        """Subtracts other resources from these."""
        self.accelerators -= other.accelerators
        self.cpu_milli -= other.cpu_milli
        self.memory_mb -= other.memory_mb

    def copy(self) -> Resources:
        """Returns a copy."""
        return Resources(self.accelerators, self.cpu_milli, self.memory_mb)


def resources_of(step: ttypes.Step) -> Resources:
    """Returns the resources that one task of a step reserves.

    Filling tasks reserve no processors: they only use idle ones.
    """
    cpu_milli = 0 if step.fills else step.cpu_milli
    return Resources(step.accelerators, cpu_milli, step.memory_mb)


def fits(
    worker: ttypes.WorkerRecord, steps: collections.abc.Iterable[ttypes.Step]
) -> bool:
    """Whether a worker has the resources for one task of each given step."""
    free = Resources(worker.accelerators, worker.cpu_milli, worker.memory_mb)
    for step in steps:
        free.subtract(resources_of(step))
    return free.covers(Resources(0, 0, 0))


@dataclasses.dataclass(eq=False, slots=True)
class RunAllocation:
    """A run that occupies capacity of a worker.

    Attributes:
        key: The task.
        record: The record of the job.
        step: The step of the task.
        task: The record of the task.
        guaranteed: Whether its customer's guarantee covers the job.
        remaining_ms: Remaining run time in milliseconds, extrapolated from
            progress; None if unknown.
        speed: Speed of its worker.
    """

    key: layout.TaskId
    record: ttypes.JobRecord
    step: ttypes.Step
    task: ttypes.TaskRecord
    guaranteed: bool
    remaining_ms: float | None = None
    speed: float = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class WorkerCapacity:
    """Capacity of one worker in one round of planning.

    Attributes:
        record: The record of the worker.
        rack: Rack from the worker's labels; empty if there is none.
        usable: Whether new runs may start on the worker.
        free: Free resources now.
        free_after_stops: Free resources after the runs that are being
            stopped have ended. Reservations reduce both values; capacity
            that a preemption or an expected end will free is added only to
            this one.
        runs: Runs that occupy the worker.
        penalty: Weight of recent faults of the worker, at least 0; workers
            with a lower penalty are used first.
        answered_recently: Whether the worker needs no check before a start.
        speed: Relative speed; a task takes its expected run time divided by
            this.
        sure_speed: Speed that the worker reaches almost certainly.
    """

    record: ttypes.WorkerRecord
    rack: str
    usable: bool
    free: Resources
    free_after_stops: Resources
    runs: list[RunAllocation]
    penalty: float = 0.0
    answered_recently: bool = True
    speed: float = 1.0
    sure_speed: float = 1.0

    def reserve(self, need: Resources) -> None:
        """Reserves resources for a task."""
        self.free.subtract(need)
        self.free_after_stops.subtract(need)


class Fleet:
    """All workers in one round of planning.

    Args:
        state: The replicated state.
        stopping: Runs that are being stopped.
        usable: Returns whether new runs may start on a worker.
        penalty: Returns the penalty of a worker.
        answered_recently: Returns whether a worker has answered recently.
        remaining_ms: Returns the remaining run time of a run in
            milliseconds; None if unknown.
        speed: Returns the relative speed of a worker, and the one that it
            reaches almost certainly; None if speeds are not used.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        *,
        stopping: collections.abc.Container[layout.RunId],
        usable: collections.abc.Callable[[ttypes.WorkerRecord], bool],
        penalty: collections.abc.Callable[[ttypes.WorkerRecord], float],
        answered_recently: collections.abc.Callable[
            [ttypes.WorkerRecord], bool
        ],
        remaining_ms: collections.abc.Callable[[RunAllocation], float | None],
        speed: collections.abc.Callable[
            [ttypes.WorkerRecord], tuple[float, float]
        ]
        | None = None,
    ) -> None:
        self._remaining_ms = remaining_ms
        self._evacuated = state.evacuations.in_force
        self._uses_speeds = speed is not None
        self._workers: dict[str, WorkerCapacity] = {}
        self._by_pool: dict[str, list[WorkerCapacity]] = (
            collections.defaultdict(list)
        )
        for worker in state.workers.values():
            total = Resources(
                worker.accelerators, worker.cpu_milli, worker.memory_mb
            )
            capacity = WorkerCapacity(
                record=worker,
                rack=rack_of(worker),
                usable=worker.state == ttypes.WorkerState.READY
                and worker.zone not in self._evacuated
                and usable(worker),
                free=total,
                free_after_stops=total.copy(),
                runs=[],
                penalty=penalty(worker),
                answered_recently=answered_recently(worker),
            )
            if speed is not None:
                capacity.speed, capacity.sure_speed = speed(worker)
            self._workers[worker.worker_id] = capacity
            self._by_pool[worker.pool].append(capacity)
        covered = guarantees.covered_jobs(state)
        for live in state.all_live_runs():
            self._add_run(live, stopping, live.key.job_id in covered)
        if self._uses_speeds:
            self._align_gangs()

    @property
    def uses_speeds(self) -> bool:
        """Whether placement depends on the speeds of the workers."""
        return self._uses_speeds

    def get(self, worker_id: str) -> WorkerCapacity | None:
        """Returns the capacity of a worker, or None."""
        return self._workers.get(worker_id)

    def of_pool(self, pool: str) -> list[WorkerCapacity]:
        """Returns the workers of a pool."""
        return self._by_pool.get(pool, [])

    def is_mostly_idle(self, pool: str) -> bool:
        """Whether less than half of each resource of a pool is in use.

        Evacuated zones do not count.
        """
        total, free = Resources(0, 0, 0), Resources(0, 0, 0)
        for capacity in self.of_pool(pool):
            record = capacity.record
            if record.zone in self._evacuated:
                continue
            total.add(
                Resources(
                    record.accelerators, record.cpu_milli, record.memory_mb
                )
            )
            free.add(capacity.free)
        return free.covers(
            Resources(
                total.accelerators // 2,
                total.cpu_milli // 2,
                total.memory_mb // 2,
            )
        )

    def __iter__(self) -> collections.abc.Iterator[WorkerCapacity]:
        return iter(self._workers.values())

    def _add_run(
        self,
        live: state_module.LiveRun,
        stopping: collections.abc.Container[layout.RunId],
        guaranteed: bool,
    ) -> None:
        capacity = self._workers.get(live.task.worker_id)
        if capacity is None:
            return
        step = live.record.job.steps[live.key.step]
        need = resources_of(step)
        capacity.free.subtract(need)
        run = RunAllocation(live.key, live.record, step, live.task, guaranteed)
        run.speed = capacity.speed
        run.remaining_ms = self._remaining_ms(run)
        capacity.runs.append(run)
        if layout.RunId(live.key, live.task.run) not in stopping:
            capacity.free_after_stops.subtract(need)

    def _align_gangs(self) -> None:
        """Gives all runs of a gang the remaining time of the slowest.

        A member on a fast worker shows 100 percent until the others are
        through, and keeps its capacity for as long. The time is unknown as
        long as that of any member is.
        """
        gangs: dict[layout.GroupKey, list[RunAllocation]] = {}
        for capacity in self._workers.values():
            for run in capacity.runs:
                if run.step.gang and run.step.count > 1:
                    gangs.setdefault(run.key.group, []).append(run)
        for runs in gangs.values():
            slowest = min(run.speed for run in runs)
            times_ms = [
                run.remaining_ms
                for run in runs
                if run.remaining_ms is not None
            ]
            whole = len(times_ms) == len(runs)
            for run in runs:
                run.speed = slowest
                run.remaining_ms = max(times_ms) if whole else None


def rack_of(worker: ttypes.WorkerRecord) -> str:
    """Returns the rack from a worker's labels; empty if there is none.

    The first label of a worker is its kind and the last one its rack.
    """
    return worker.labels[-1] if len(worker.labels) > 1 else ''
