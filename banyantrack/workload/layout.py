"""Keys of tasks, and positions of the tasks of a job in its record."""

from __future__ import annotations

import typing

from banyantrack.generated.workload import ttypes

if typing.TYPE_CHECKING:
    import collections.abc


class GroupKey(typing.NamedTuple):
    """The tasks of one step in one occurrence of a job.

    Attributes:
        job_id: The job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int


class TaskId(typing.NamedTuple):
    """One task, as a hashable key.

    Attributes:
        job_id: The job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        index: Number of the task in its step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def group(self) -> GroupKey:
        """The group that the task belongs to."""
        return GroupKey(self.job_id, self.occurrence, self.step)


class RunId(typing.NamedTuple):
    """One run of a task.

    Attributes:
        task: The task.
        run: Number of the run, from 1.
    """

    task: TaskId
    run: int


def task_id(key: ttypes.TaskKey) -> TaskId:
    """Returns the hashable key of a task in a message."""
    return TaskId(key.job_id, key.occurrence, key.step, key.index)


def task_key(task: TaskId) -> ttypes.TaskKey:
    """Returns the key of a task for a message."""
    return ttypes.TaskKey(
        job_id=task.job_id,
        occurrence=task.occurrence,
        step=task.step,
        index=task.index,
    )


def occurrences(job: ttypes.TaskJob) -> int:
    """Returns the number of occurrences of a job, at least 1."""
    return max(job.repeat_count, 1)


def tasks_per_occurrence(job: ttypes.TaskJob) -> int:
    """Returns the number of tasks in one occurrence."""
    return sum(step.count for step in job.steps)


def group_range(
    job: ttypes.TaskJob, occurrence: int, step: int
) -> tuple[int, int]:
    """Returns the half-open range of a group's tasks in the record."""
    first = occurrence * tasks_per_occurrence(job)
    first += sum(other.count for other in job.steps[:step])
    return first, first + job.steps[step].count


def find_task(
    record: ttypes.JobRecord, key: TaskId
) -> ttypes.TaskRecord | None:
    """Returns the record of a task, or None if the job has no such task."""
    job = record.job
    if not 0 <= key.step < len(job.steps):
        return None
    if not 0 <= key.occurrence < occurrences(job):
        return None
    if not 0 <= key.index < job.steps[key.step].count:
        return None
    first, _ = group_range(job, key.occurrence, key.step)
    return record.tasks[first + key.index]


def group_tasks(
    record: ttypes.JobRecord, occurrence: int, step: int
) -> list[ttypes.TaskRecord]:
    """Returns the records of the tasks of one group."""
    first, end = group_range(record.job, occurrence, step)
    return record.tasks[first:end]


def iter_tasks(
    record: ttypes.JobRecord,
) -> collections.abc.Iterator[tuple[TaskId, ttypes.TaskRecord]]:
    """Yields the key and record of all tasks of a job."""
    position = 0
    job = record.job
    for occurrence in range(occurrences(job)):
        for number, step in enumerate(job.steps):
            for index in range(step.count):
                key = TaskId(job.job_id, occurrence, number, index)
                yield key, record.tasks[position]
                position += 1
