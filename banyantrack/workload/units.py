"""Units of scheduling: a whole gang, or the ready tasks of another step."""

from __future__ import annotations

import collections
import dataclasses
import functools
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.workload import guarantees
from banyantrack.workload import layout
from banyantrack.workload import state as state_module
from banyantrack.workload import values as values_module

if typing.TYPE_CHECKING:
    import collections.abc

# Jobs of a lower value will end too late to be useful and are sorted last.
MIN_USEFUL_VALUE = 0.1


@dataclasses.dataclass(slots=True)
class Unit:
    """Tasks of one group that are ready to start.

    All times of day are in milliseconds since 1970.

    Attributes:
        record: The record of the job.
        key: The group.
        step: The step of the tasks.
        members: Indexes of the tasks; all tasks of the step for a gang.
        guaranteed: Whether the job is urgent and covered by the guaranteed
            accelerators of its customer.
        release_ms: Time of day from which the occurrence of the job may
            start.
        latest_start_ms: Latest start at which the job can end within its
            objective.
        expected_ms: Expected run time of one task, in milliseconds.
        value: Value of the job if the unit starts now.
        value_if_late: Value of the job if the unit misses its latest start.
        value_after: Returns the value of the job if the unit ends the given
            number of milliseconds from now.
        suspects: Number of members, the first ones, that may crash their
            worker.
        planned: Number of members that start on each worker in this round,
            by worker id; shared by the parts of a unit.
    """

    record: ttypes.JobRecord
    key: layout.GroupKey
    step: ttypes.Step
    members: list[int]
    guaranteed: bool
    release_ms: int
    latest_start_ms: float
    expected_ms: float
    value: float
    value_if_late: float
    value_after: collections.abc.Callable[[float], float]
    suspects: int = 0
    planned: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def tasks(self) -> list[ttypes.TaskRecord]:
        """Records of all tasks of the group, by index."""
        return layout.group_tasks(
            self.record, self.key.occurrence, self.key.step
        )

    @property
    def priority(self) -> int:
        """Priority of the queue; 0 is the highest."""
        return self.record.queue.priority


class Durations(typing.Protocol):
    """Expected run times."""

    def expected_ms(
        self, record: ttypes.JobRecord, step: ttypes.Step
    ) -> float:
        """Returns the expected run time of a task, in milliseconds."""


def critical_path_ms(
    record: ttypes.JobRecord, durations: Durations
) -> list[float]:
    """Returns the critical path from the start of each step, by step.

    This is the expected time in milliseconds until the step and all steps
    that depend on it have ended.
    """
    steps = record.job.steps
    path_ms = [durations.expected_ms(record, step) for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for other in steps[number].depends_on:
            other_ms = durations.expected_ms(record, steps[other])
            path_ms[other] = max(path_ms[other], other_ms + path_ms[number])
    return path_ms


def occurrence_release_ms(record: ttypes.JobRecord, occurrence: int) -> int:
    """Returns when an occurrence may start, in milliseconds since 1970."""
    job = record.job
    if job.repeat_count <= 0:
        return record.accepted_ms
    return job.start_ms + occurrence * job.interval_ms


def ready_units(
    state: state_module.WorkState,
    durations: Durations,
    values: values_module.JobValues,
    *,
    now_ms: int,
    blocked: collections.abc.Mapping[layout.GroupKey, float],
) -> list[Unit]:
    """Returns the units that are ready to start, in scheduling order.

    Args:
        state: The replicated state.
        durations: Expected run times.
        values: Values of jobs.
        now_ms: Time of day, in milliseconds since 1970.
        blocked: Groups that must not start yet, with the time in
            milliseconds since 1970 from which they may.
    """
    covered = guarantees.covered_jobs(state)
    units: list[Unit] = []
    for record in state.active.values():
        if record.state in state_module.FINISHED:
            continue
        paths_ms = critical_path_ms(record, durations)
        job = record.job
        objective_ms = record.queue.objective_ms + (
            record.queue.stretch * max(paths_ms)
        )
        work = sum(
            step.count
            * step.accelerators
            * durations.expected_ms(record, step)
            for step in job.steps
        )
        for occurrence in range(layout.occurrences(job)):
            release_ms = occurrence_release_ms(record, occurrence)
            if release_ms > now_ms and job.repeat_count > 0:
                break
            # The leader that accepted the job may have had a faster clock.
            release_ms = min(release_ms, now_ms)
            for number, step in enumerate(job.steps):
                key = layout.GroupKey(job.job_id, occurrence, number)
                if blocked.get(key, 0) > now_ms:
                    continue
                members = _ready_members(record, key, step)
                if not members:
                    continue
                task_ms = durations.expected_ms(record, step)
                latest_start_ms = release_ms + objective_ms - paths_ms[number]
                # Expected time from the end of this step to that of the job.
                later_steps_ms = paths_ms[number] - task_ms
                value_after = functools.partial(
                    _value_after,
                    values,
                    record,
                    work,
                    base_end_ms=now_ms + later_steps_ms,
                    release_ms=release_ms,
                    objective_ms=objective_ms,
                )
                late_end_ms = max(latest_start_ms - now_ms, 0) + task_ms + 1
                units.append(
                    Unit(
                        record=record,
                        key=key,
                        step=step,
                        members=members,
                        guaranteed=job.job_id in covered,
                        release_ms=release_ms,
                        latest_start_ms=latest_start_ms,
                        expected_ms=task_ms,
                        value=value_after(task_ms),
                        value_if_late=value_after(late_end_ms),
                        value_after=value_after,
                    )
                )
    units.sort(key=lambda unit: _sort_key(unit, now_ms))
    return units


def _value_after(
    values: values_module.JobValues,
    record: ttypes.JobRecord,
    work: float,
    delay_ms: float,
    *,
    base_end_ms: float,
    release_ms: int,
    objective_ms: float,
) -> float:
    return values.job_value(
        record,
        work,
        ends_ms=base_end_ms + delay_ms,
        release_ms=release_ms,
        objective_ms=objective_ms,
    )


def _ready_members(
    record: ttypes.JobRecord, key: layout.GroupKey, step: ttypes.Step
) -> list[int]:
    tasks = layout.group_tasks(record, key.occurrence, key.step)
    pending = [
        index
        for index, task in enumerate(tasks)
        if not task.done and not task.worker_id
    ]
    if not pending or (step.gang and len(pending) < len(tasks)):
        return []
    for other in step.depends_on:
        dependency_tasks = layout.group_tasks(record, key.occurrence, other)
        if not all(task.done for task in dependency_tasks):
            return []
    return pending


def _sort_key(unit: Unit, now_ms: int) -> tuple[float, ...]:
    """Returns the sort key of scheduling order.

    Guaranteed jobs come first, since they must begin in time. Among these,
    and among the others, jobs that are too late to be useful come last.
    Within a priority, units that can still meet their objective come before
    those that cannot.
    """
    return (
        0 if unit.guaranteed else 1,
        1 if unit.value < MIN_USEFUL_VALUE else 0,
        unit.priority,
        1 if now_ms > unit.latest_start_ms else 0,
        unit.latest_start_ms,
    )
