"""Decides which machines of a wave begin their upkeep, and what must move.

A machine is emptied first; its runs move as far as allowed absences let
them. Upkeep begins once nothing is left on it.
"""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.workload import layout

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import room as room_module
    from banyantrack.workload import state as state_module

# A machine that is not back after so many times the usual upkeep is lost.
LONGEST_UPKEEPS = 5


@dataclasses.dataclass(slots=True)
class WavePlan:
    """What the waves need now.

    Attributes:
        emptying: Workers that take no new runs.
        stops: Runs that must move.
        begin: Wave and machine of each upkeep that may begin.
        completed: Waves whose machines have all begun.
    """

    emptying: set[str] = dataclasses.field(default_factory=set)
    stops: list[room_module.LiveRun] = dataclasses.field(default_factory=list)
    begin: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    completed: list[int] = dataclasses.field(default_factory=list)


def plan_waves(
    state: state_module.WorkState,
    fleet: room_module.Fleet,
    *,
    calling: collections.abc.Set[str],
    away: collections.abc.Callable[[layout.GroupKey], int],
    now_ms: int,
    upkeep_ms: float,
) -> WavePlan:
    """Plans all waves that go on.

    Args:
        state: The replicated state.
        fleet: Workers and what runs on them.
        calling: Machines whose upkeep was asked for without an answer yet.
        away: Tasks of a group that are not at work.
        now_ms: Time of day.
        upkeep_ms: Time that an upkeep takes.
    """
    plan = WavePlan()
    by_machine = {
        room.record.machine: room for room in fleet if room.record.machine
    }
    moved: dict[layout.GroupKey, int] = {}
    for wave in state.waves.values():
        if wave.state == ttypes.WaveState.COMPLETED:
            continue
        left = [
            machine for machine in wave.machines if machine not in wave.begun
        ]
        present = [machine for machine in left if machine in by_machine]
        if not present and not left:
            plan.completed.append(wave.number)
            continue
        busy = len(calling & set(left)) + _down(
            wave, by_machine, now_ms, upkeep_ms
        )
        present = [machine for machine in present if machine not in calling]
        present.sort(key=lambda m: len(by_machine[m].runs))
        for machine in present[: max(wave.at_once - busy, 0)]:
            room = by_machine[machine]
            plan.emptying.add(room.record.worker_id)
            if not room.runs:
                plan.begin.append((wave.number, machine))
                continue
            for run in room.runs:
                if _may_move(run, moved, away):
                    plan.stops.append(run)
    return plan


def _down(
    wave: ttypes.Wave,
    by_machine: collections.abc.Mapping[str, room_module.WorkerRoom],
    now_ms: int,
    upkeep_ms: float,
) -> int:
    """Returns how many machines of a wave are down for their upkeep."""
    count = 0
    for machine, begun_ms in zip(wave.begun, wave.begun_ms, strict=True):
        room = by_machine.get(machine)
        if room is not None and room.record.incarnation >= begun_ms:
            continue
        count += now_ms < begun_ms + LONGEST_UPKEEPS * upkeep_ms
    return count


def _may_move(
    run: room_module.LiveRun,
    moved: dict[layout.GroupKey, int],
    away: collections.abc.Callable[[layout.GroupKey], int],
) -> bool:
    """Whether a run may be stopped without too many of its step away."""
    if not run.step.long_running or run.step.may_miss <= 0:
        return True
    group = run.key.group
    gone = away(group) + moved.get(group, 0)
    if gone >= run.step.may_miss:
        return False
    moved[group] = moved.get(group, 0) + 1
    return True
