"""Order in which waiting jobs are considered."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import registry

if typing.TYPE_CHECKING:
    import collections.abc

    Order = collections.abc.Callable[['WaitingJob'], tuple[float, ...]]

ORDERS: registry.Registry[Order] = registry.Registry('queue order')
# Waiting this many times its run time doubles the weight of a job's age.
AGING_RATE = 4.0
MIN_RUN_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingJob:
    """What the order looks at.

    Attributes:
        name: Name of the job.
        urgent: Whether it starts before all that is not urgent.
        entitled: Whether its customer's guarantee covers it.
        waited_ms: Time that it has waited in all.
        remaining_ms: Expected time that it still runs.
        accelerators: Accelerators of the gang.
        share: Accelerators in use by its customer over the weight.
        submitted_ms: When it was submitted.
    """

    name: str
    urgent: bool
    entitled: bool
    waited_ms: float
    remaining_ms: float
    accelerators: int
    share: float
    submitted_ms: int


@ORDERS.register('fifo')
def fifo(job: WaitingJob) -> tuple[float, ...]:
    """First come, first served; a baseline."""
    return (not job.urgent, job.submitted_ms)


@ORDERS.register('aged-shortest')
def aged_shortest(job: WaitingJob) -> tuple[float, ...]:
    """Shortest remaining time first, divided by how long a job waited.

    Every job comes first in the end, since its key falls with its age.
    """
    run_ms = max(job.remaining_ms, MIN_RUN_MS)
    age = 1.0 + AGING_RATE * job.waited_ms / run_ms
    fairness = 1.0 + job.share
    return (not job.urgent, not job.entitled, run_ms * fairness / age)
