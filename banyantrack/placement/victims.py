"""Which borrowed work gives way when a guarantee or urgent work needs room."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import registry

if typing.TYPE_CHECKING:
    import collections.abc

    Cost = collections.abc.Callable[['Candidate'], float]

COSTS: registry.Registry[Cost] = registry.Registry('victim choice')
# Each earlier reclaim of a job makes it this much more costly to reclaim.
RECLAIM_COST_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Borrowed work that could give way.

    Attributes:
        name: Name of the job.
        accelerators: Accelerators that its end frees.
        lost_ms: Time whose work is lost, for each accelerator.
        reclaims: How often it gave way already.
        over_share: Accelerators in use by its owner over the owner's
            weight, relative to all owners.
        started_ms: When this run started.
    """

    name: str
    accelerators: int
    lost_ms: float
    reclaims: int
    over_share: float
    started_ms: int


@COSTS.register('newest')
def newest(candidate: Candidate) -> float:
    """The run that started last; a baseline."""
    return -float(candidate.started_ms)


@COSTS.register('least-loss')
def least_loss(candidate: Candidate) -> float:
    """Least lost work, from owners with most borrowed, not the same again."""
    loss = (candidate.lost_ms + 1000.0) * candidate.accelerators
    again = RECLAIM_COST_FACTOR**candidate.reclaims
    return loss * again / (1.0 + candidate.over_share)
