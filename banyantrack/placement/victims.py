"""Costs of reclaiming borrowed work for a guarantee or an urgent job."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import registry

if typing.TYPE_CHECKING:
    import collections.abc

    # Returns the cost of reclaiming a candidate; lower costs come first.
    Cost = collections.abc.Callable[['Candidate'], float]

COSTS: registry.Registry[Cost] = registry.Registry('victim choice')
# Factor by which each earlier reclaim of a job raises its cost, so that the
# same job is not reclaimed again and again.
RECLAIM_COST_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Borrowed gang that may be reclaimed.

    Attributes:
        name: Name of the job.
        accelerators: Accelerators of the gang; at least 1.
        lost_ms: Run time since the last checkpoint, which would be lost.
        reclaims: How often the job was reclaimed before.
        over_share: Share of the fleet's accelerators that the customer
            uses, divided by the customer's weight.
        started_ms: Start of this run, in milliseconds since 1970.
    """

    name: str
    accelerators: int
    lost_ms: float
    reclaims: int
    over_share: float
    started_ms: int


@COSTS.register('newest')
def newest(candidate: Candidate) -> float:
    """Prefers the run that started last; a baseline."""
    return -float(candidate.started_ms)


@COSTS.register('least-loss')
def least_loss(candidate: Candidate) -> float:
    """Prefers little lost work, of customers that use more than their share.

    Jobs that were reclaimed before cost more.
    """
    loss = (candidate.lost_ms + 1000.0) * candidate.accelerators
    again = RECLAIM_COST_FACTOR**candidate.reclaims
    return loss * again / (1.0 + candidate.over_share)
