"""Decides which machines of a wave begin upkeep and which runs must move.

A machine is emptied first: its runs are moved as far as the allowed absences
of their steps permit. Upkeep begins when no run is left on the machine.
"""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.workload import layout

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import capacity
    from banyantrack.workload import state as state_module

# A machine counts as lost, and no longer as in upkeep, if it is not back after
# this many times the duration of an upkeep.
MAX_UPKEEP_FACTOR = 5


@dataclasses.dataclass(slots=True)
class WavePlan:
    """Actions that the running waves require in this round.

    Attributes:
        cordoned: Ids of workers that must not start new runs.
        stops: Runs to stop so that they are restarted elsewhere.
        begin: Wave number and machine of each upkeep that may begin.
        completed: Numbers of waves in which every machine has begun.
    """

    cordoned: set[str] = dataclasses.field(default_factory=set)
    stops: list[capacity.RunAllocation] = dataclasses.field(
        default_factory=list
    )
    begin: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    completed: list[int] = dataclasses.field(default_factory=list)


def plan_waves(
    state: state_module.WorkState,
    fleet: capacity.Fleet,
    *,
    begin_pending: collections.abc.Set[str],
    count_absent: collections.abc.Callable[[layout.GroupKey], int],
    now_ms: int,
    upkeep_ms: float,
) -> WavePlan:
    """Plans all waves that are not completed.

    Args:
        state: The replicated state.
        fleet: Workers and their runs.
        begin_pending: Machines with a pending call to begin their upkeep.
        count_absent: Returns the number of tasks of a group that are not
            running.
        now_ms: Time of day, in milliseconds since 1970.
        upkeep_ms: Duration of an upkeep, in milliseconds.
    """
    plan = WavePlan()
    by_machine = {
        worker.record.machine: worker
        for worker in fleet
        if worker.record.machine
    }
    moved: dict[layout.GroupKey, int] = {}
    for wave in state.waves.values():
        if wave.state == ttypes.WaveState.COMPLETED:
            continue
        pending = [
            machine for machine in wave.machines if machine not in wave.begun
        ]
        present = [machine for machine in pending if machine in by_machine]
        if not present and not pending:
            plan.completed.append(wave.number)
            continue
        in_progress = len(begin_pending & set(pending)) + _count_in_upkeep(
            wave, by_machine, now_ms, upkeep_ms
        )
        present = [
            machine for machine in present if machine not in begin_pending
        ]
        present.sort(key=lambda m: len(by_machine[m].runs))
        for machine in present[: max(wave.at_once - in_progress, 0)]:
            worker = by_machine[machine]
            plan.cordoned.add(worker.record.worker_id)
            if not worker.runs:
                plan.begin.append((wave.number, machine))
                continue
            for run in worker.runs:
                if _may_move(run, moved, count_absent):
                    plan.stops.append(run)
    return plan


def _count_in_upkeep(
    wave: ttypes.Wave,
    by_machine: collections.abc.Mapping[str, capacity.WorkerCapacity],
    now_ms: int,
    upkeep_ms: float,
) -> int:
    """Returns the number of machines of a wave that are in upkeep.

    A machine is back when a worker on it has an incarnation after the begin
    of the upkeep; both are in milliseconds since 1970.
    """
    count = 0
    for machine, begun_ms in zip(wave.begun, wave.begun_ms, strict=True):
        worker = by_machine.get(machine)
        if worker is not None and worker.record.incarnation >= begun_ms:
            continue
        count += now_ms < begun_ms + MAX_UPKEEP_FACTOR * upkeep_ms
    return count


def _may_move(
    run: capacity.RunAllocation,
    moved: dict[layout.GroupKey, int],
    count_absent: collections.abc.Callable[[layout.GroupKey], int],
) -> bool:
    """Whether a run may be stopped within the allowed absences of its step.

    Args:
        run: The run.
        moved: Number of runs that this round stops, by group; a run that may
            be stopped is added.
        count_absent: Returns the number of tasks of a group that are not
            running.
    """
    if not run.step.long_running or run.step.may_miss <= 0:
        return True
    group = run.key.group
    absent = count_absent(group) + moved.get(group, 0)
    if absent >= run.step.may_miss:
        return False
    moved[group] = moved.get(group, 0) + 1
    return True
