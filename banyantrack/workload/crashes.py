"""Tells crashes of workers from other losses.

The runs of a worker are lost when it crashes, when it is cut off or silent
until its lease has lapsed, and when it leaves. Only a crash can be the fault
of a task.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from banyantrack.workload import worker_client

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes

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
    """

    since_s: float
    silences: set[Silence] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """The loss of one incarnation of a worker.

    Attributes:
        worker: The worker.
        cause: Why it was lost.
        since_s: Steady time of the first sign of the loss.
    """

    worker: ttypes.WorkerRecord
    cause: LossCause
    since_s: float


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
    silences = contact_loss.silences
    # A connection may also be reset between live processes, so a refused one
    # or a successor must confirm that the process has ended. A timeout shows
    # that the host was not reachable all the time.
    if silences <= _PROCESS_ENDED and (
        replaced or Silence.REFUSED in silences
    ):
        return LossCause.CRASH
    return LossCause.SILENCE
