"""Tells crashes of workers from other losses, and which runs are suspects.

The runs of a worker are lost when it crashes, when it is cut off or silent
until its lease has lapsed, and when it leaves. Only a crash can be the fault
of a task: of one that had started shortly before. A job is given up only
after crashes of several hosts, and suspects run apart from other new runs (see
`isolation`), so that one of these crashes has no other suspect.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.workload import layout
from banyantrack.workload import worker_client

if typing.TYPE_CHECKING:
    import collections.abc

# A run that started within this time before a crash is a suspect. A task that
# crashes at its start does so at once; the rest covers busy hosts and answers
# that are on their way.
RECENT_START_S = 1.0
# A crash proves something only within this time after a start; later, it may
# as well be a coincidence.
PROOF_START_S = 0.3
# A new leader that finds a worker gone suspects its latest runs only if they
# started within this time before: an election and a restart of the worker.
UNOBSERVED_START_S = 8.0
# A host that refuses connections within this time after the last answer was
# reachable when the process ended, even if links lose packets. Cuts and losses
# of power last longer.
REFUSED_SOON_S = 1.0
# Workers that crash within this time of each other have a common cause, unless
# each of them has a suspect of its own.
COMMON_CAUSE_S = 0.25
# Crashes with a suspect after which its job is given up in any case.
MAX_SUSPECT_CRASHES = 4
# The same if the last crash has no other suspect. Two are enough if neither
# has one and they were on two hosts.
MAX_SOLE_SUSPECT_CRASHES = 3
Role = ttypes.CrashRole
Silence = worker_client.Silence
# Signs that the process of a worker has ended while its host was reachable.
_PROCESS_ENDED = frozenset((Silence.CLOSED, Silence.REFUSED))


class LossCause(enum.Enum):
    """Why a worker and its runs were lost."""

    # Its process ended without notice, and its host was reachable.
    CRASH = 'crash'
    # Another process runs on its host; how it ended was not observed.
    RESTART = 'restart'
    # It did not answer until its lease had lapsed or it was replaced.
    SILENCE = 'silence'
    # It announced that it would leave, or its host was taken for upkeep.
    LEFT = 'left'


@dataclasses.dataclass(slots=True)
class ContactLoss:
    """Calls to a worker that were not answered since its last answer.

    Attributes:
        since_s: Steady time of the first of them.
        silences: How they failed.
        refused_soon: Whether one was refused soon after the first.
    """

    since_s: float
    silences: set[Silence] = dataclasses.field(default_factory=set)
    refused_soon: bool = False

    @property
    def process_ended(self) -> bool:
        """Whether the process has ended and its host was reachable then.

        This takes a connection that was refused, or a successor: connections
        may also be reset between live processes.
        """
        return self.refused_soon or self.silences <= _PROCESS_ENDED

    def note(self, silence: Silence, now_s: float) -> None:
        """Records a call that was not answered.

        Args:
            silence: How it failed.
            now_s: Steady time.
        """
        self.silences.add(silence)
        if (
            silence is Silence.REFUSED
            and now_s - self.since_s <= REFUSED_SOON_S
        ):
            self.refused_soon = True


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """The loss of one incarnation of a worker.

    Attributes:
        worker: The worker.
        cause: Why it was lost.
        since_s: Steady time of the first sign of the loss.
        roles: Roles of its runs; empty unless it crashed or was restarted.
    """

    worker: ttypes.WorkerRecord
    cause: LossCause
    since_s: float
    roles: collections.abc.Mapping[layout.RunId, Role] = dataclasses.field(
        default_factory=dict
    )

    @property
    def host(self) -> str:
        """Id of the host of the worker; its address if it has none."""
        return self.worker.machine or self.worker.address

    @property
    def has_suspects(self) -> bool:
        """Whether any of its runs is a suspect."""
        return any(role != Role.BESIDE for role in self.roles.values())


def loss_cause(
    contact_loss: ContactLoss | None, *, replaced: bool, announced: bool
) -> LossCause:
    """Returns why a worker was lost.

    Args:
        contact_loss: Unanswered calls to it; None if there were none.
        replaced: Whether another process runs at its address or on its host.
        announced: Whether it had announced that it would leave, or its host
            was taken for upkeep.
    """
    if announced:
        return LossCause.LEFT
    if contact_loss is None:
        return LossCause.RESTART if replaced else LossCause.LEFT
    if contact_loss.process_ended and (
        replaced or Silence.REFUSED in contact_loss.silences
    ):
        return LossCause.CRASH
    return LossCause.SILENCE


def is_recent(age_s: float | None) -> bool:
    """Whether a run had started shortly before a crash, or may have."""
    return age_s is None or age_s <= RECENT_START_S


def crash_roles(
    ages_s: collections.abc.Mapping[layout.RunId, float | None],
    *,
    observed: bool,
    replaced: bool,
    common_cause: bool,
) -> dict[layout.RunId, Role]:
    """Returns the role of each run of a worker in its crash.

    Args:
        ages_s: Seconds from the start of each run to the crash; None if the
            worker has not confirmed the start.
        observed: Whether the leader had been in contact with the worker until
            it crashed. Otherwise the time of the crash is not known, but no
            run can have started after it.
        replaced: Whether another process has replaced the worker. A worker
            that refuses connections may also be behind a cut.
        common_cause: Whether workers without a suspect crashed at the same
            time.
    """
    suspects: set[layout.RunId] = set()
    latest_s = min((age or 0.0 for age in ages_s.values()), default=0.0)
    if common_cause:
        pass
    elif observed:
        suspects = {r for r, age in ages_s.items() if is_recent(age)}
    elif latest_s <= UNOBSERVED_START_S:
        suspects = {
            r
            for r, age in ages_s.items()
            if (age or 0.0) <= latest_s + RECENT_START_S
        }
    jobs = {run.task.job_id for run in suspects}
    at_start = any(
        ages_s[run] is not None and ages_s[run] <= PROOF_START_S
        for run in suspects
    )
    proved = observed and replaced and at_start and len(jobs) == 1
    role = Role.SOLE_SUSPECT if proved else Role.SUSPECT
    return {run: role if run in suspects else Role.BESIDE for run in ages_s}


def crash_count(task: ttypes.TaskRecord) -> int:
    """Returns how many crashes a task is suspected of."""
    return len(task.suspect_crashes or ())


def is_suspect(task: ttypes.TaskRecord) -> bool:
    """Whether a worker may have crashed because of a task."""
    return crash_count(task) > 0


def must_give_up(task: ttypes.TaskRecord, role: Role, host: str) -> bool:
    """Whether a job is given up because of a crash under one of its tasks.

    Args:
        task: The task, before the crash is recorded.
        role: Its role in the crash.
        host: Host that crashed.
    """
    if role == Role.BESIDE:
        return False
    earlier = task.suspect_crashes or []
    count = len(earlier) + 1
    if role != Role.SOLE_SUSPECT:
        return count >= MAX_SUSPECT_CRASHES
    # A single host that crashes again and again may itself be the cause.
    return count >= MAX_SOLE_SUSPECT_CRASHES or any(
        crash.sole and crash.host != host for crash in earlier
    )


def add_crash(task: ttypes.TaskRecord, end: ttypes.RunEnd) -> None:
    """Records a crash with a task as a suspect.

    Args:
        task: The task.
        end: End of its run.
    """
    crash = ttypes.SuspectCrash(
        host=end.crashed_machine or '',
        incarnation=end.incarnation,
        sole=end.crash_role == Role.SOLE_SUSPECT,
    )
    task.suspect_crashes = [*(task.suspect_crashes or ()), crash]


def clear_suspect(
    task: ttypes.TaskRecord,
    explained: collections.abc.Container[tuple[str, int]],
) -> None:
    """Removes crashes from a suspect, since another task was the cause.

    Args:
        task: The suspect.
        explained: Host and incarnation of the crashes.
    """
    task.suspect_crashes = [
        crash
        for crash in task.suspect_crashes or ()
        if (crash.host, crash.incarnation) not in explained
    ] or None
