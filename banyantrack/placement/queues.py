"""Queue orders: in which order waiting jobs are considered."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import registry

if typing.TYPE_CHECKING:
    import collections.abc

    # Returns the sort key of a waiting job; the smallest comes first.
    Order = collections.abc.Callable[['WaitingJob'], tuple[float, ...]]

ORDERS: registry.Registry[Order] = registry.Registry('queue order')
# Growth of the divisor of a job's key while the job waits for as long as it
# is expected to run. After waiting a quarter of that, the divisor is 2.
AGING_RATE = 4.0
# Expected run times below this count as this long.
MIN_RUN_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingJob:
    """Properties of a waiting job that a queue order may use.

    Attributes:
        name: Name of the job.
        urgent: Whether the job precedes all jobs that are not urgent.
        entitled: Whether a guarantee of its customer covers the job.
        waited_ms: Time since the job was submitted.
        remaining_ms: Expected remaining run time.
        accelerators: Accelerators of the gang.
        share: Share of the fleet's accelerators that the customer uses,
            divided by the customer's weight.
        submitted_ms: Time of submission, in milliseconds since 1970.
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
    """Urgent jobs first, then first come, first served; a baseline."""
    return (not job.urgent, job.submitted_ms)


@ORDERS.register('aged-shortest')
def aged_shortest(job: WaitingJob) -> tuple[float, ...]:
    """Orders jobs by remaining run time, with aging and fairness.

    Urgent jobs come first, then those that a guarantee covers. A customer's
    share raises the key. Waiting lowers it, so that no job starves.
    """
    run_ms = max(job.remaining_ms, MIN_RUN_MS)
    age = 1.0 + AGING_RATE * job.waited_ms / run_ms
    fairness = 1.0 + job.share
    return (not job.urgent, not job.entitled, run_ms * fairness / age)
