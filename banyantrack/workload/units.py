"""What may start now: whole gangs and single tasks, in order of need."""

from __future__ import annotations

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

# A job that is worth less will end too late to be of use.
HOPELESS_WORTH = 0.1


@dataclasses.dataclass(slots=True)
class Unit:
    """Tasks of one group that may start now.

    Attributes:
        record: The job.
        key: The group.
        step: The step.
        members: Numbers of the tasks; all of the step for a gang.
        guaranteed: Whether the job is urgent and within the accelerators
            that belong to its customer.
        due_ms: When the group could start, in milliseconds since 1970.
        latest_ms: When it must start to end within its objective.
        expected_ms: How long one of its tasks is expected to run.
        worth: What the job is worth if the unit starts now.
        waits_worth: What it is worth if it misses its latest start.
        worth_after: Returns what it is worth if the unit ends so many
            milliseconds from now.
    """

    record: ttypes.JobRecord
    key: layout.GroupKey
    step: ttypes.Step
    members: list[int]
    guaranteed: bool
    due_ms: int
    latest_ms: float
    expected_ms: float
    worth: float
    waits_worth: float
    worth_after: collections.abc.Callable[[float], float]

    @property
    def priority(self) -> int:
        """Priority of the queue; 0 comes first."""
        return self.record.queue.priority


class Durations(typing.Protocol):
    """Expected run times."""

    def expected_ms(
        self, record: ttypes.JobRecord, step: ttypes.Step
    ) -> float:
        """Returns how long a task of a step is expected to run."""


def chain_ms(record: ttypes.JobRecord, durations: Durations) -> list[float]:
    """Returns, for each step, the longest chain of work from its start."""
    steps = record.job.steps
    tail = [durations.expected_ms(record, step) for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for other in steps[number].depends_on:
            after = durations.expected_ms(record, steps[other])
            tail[other] = max(tail[other], after + tail[number])
    return tail


def occurrence_due_ms(record: ttypes.JobRecord, occurrence: int) -> int:
    """Returns when an occurrence of a job may start."""
    job = record.job
    if job.repeat_count <= 0:
        return record.accepted_ms
    return job.start_ms + occurrence * job.interval_ms


def ready_units(
    state: state_module.WorkState,
    durations: Durations,
    values: values_module.Values,
    *,
    now_ms: int,
    blocked: collections.abc.Mapping[layout.GroupKey, float],
) -> list[Unit]:
    """Returns what may start now, the most needed first.

    Args:
        state: The replicated state.
        durations: Expected run times.
        values: Worth of jobs.
        now_ms: Time of day.
        blocked: Groups that wait, with the time until which they do.
    """
    covered = guarantees.covered_jobs(state)
    found: list[Unit] = []
    for record in state.active.values():
        if record.state in state_module.FINISHED:
            continue
        tails = chain_ms(record, durations)
        job = record.job
        objective_ms = record.queue.objective_ms + (
            record.queue.stretch * max(tails)
        )
        whole = sum(
            step.count
            * step.accelerators
            * durations.expected_ms(record, step)
            for step in job.steps
        )
        for occurrence in range(layout.occurrences(job)):
            due_ms = occurrence_due_ms(record, occurrence)
            if due_ms > now_ms and job.repeat_count > 0:
                break
            # Another leader's clock may have been ahead at the acceptance.
            due_ms = min(due_ms, now_ms)
            for number, step in enumerate(job.steps):
                key = layout.GroupKey(job.job_id, occurrence, number)
                if blocked.get(key, 0) > now_ms:
                    continue
                members = _ready_members(record, key, step)
                if not members:
                    continue
                each_ms = durations.expected_ms(record, step)
                latest_ms = due_ms + objective_ms - tails[number]
                # What comes after the unit itself.
                rest_ms = tails[number] - each_ms
                worth_after = functools.partial(
                    _worth_after,
                    values,
                    record,
                    whole,
                    ends_from_ms=now_ms + rest_ms,
                    due_ms=due_ms,
                    objective_ms=objective_ms,
                )
                missed_ms = max(latest_ms - now_ms, 0) + each_ms + 1
                found.append(
                    Unit(
                        record=record,
                        key=key,
                        step=step,
                        members=members,
                        guaranteed=job.job_id in covered,
                        due_ms=due_ms,
                        latest_ms=latest_ms,
                        expected_ms=each_ms,
                        worth=worth_after(each_ms),
                        waits_worth=worth_after(missed_ms),
                        worth_after=worth_after,
                    )
                )
    found.sort(key=lambda unit: _order(unit, now_ms))
    return found


def _worth_after(
    values: values_module.Values,
    record: ttypes.JobRecord,
    whole: float,
    passed_ms: float,
    *,
    ends_from_ms: float,
    due_ms: int,
    objective_ms: float,
) -> float:
    return values.worth(
        record,
        whole,
        ends_ms=ends_from_ms + passed_ms,
        due_ms=due_ms,
        objective_ms=objective_ms,
    )


def _ready_members(
    record: ttypes.JobRecord, key: layout.GroupKey, step: ttypes.Step
) -> list[int]:
    tasks = layout.group_tasks(record, key.occurrence, key.step)
    waiting = [
        index
        for index, task in enumerate(tasks)
        if not task.done and not task.worker_id
    ]
    if not waiting or (step.gang and len(waiting) < len(tasks)):
        return []
    for other in step.depends_on:
        before = layout.group_tasks(record, key.occurrence, other)
        if not all(task.done for task in before):
            return []
    return waiting


def _order(unit: Unit, now_ms: int) -> tuple[float, ...]:
    """Returns a key that sorts what is most needed first.

    Guaranteed jobs come first, since they must begin in time, and what is
    worth nothing any more last. Of each priority, what can still end in
    time goes before what cannot.
    """
    return (
        0 if unit.guaranteed else 1,
        1 if unit.worth < HOPELESS_WORTH else 0,
        unit.priority,
        1 if now_ms > unit.latest_ms else 0,
        unit.latest_ms,
    )
