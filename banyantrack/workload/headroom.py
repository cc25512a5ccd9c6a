"""Keeps whole workers free for urgent jobs that are about to arrive.

Load: urgent jobs arrive steadily at a pool that is full of less urgent work.
To stop a run takes longer than a short urgent job may wait, so a job that
needs a whole worker is late unless one is free when it arrives. As many
workers stay free as the jobs of one such wait need, at the rate at which
urgent jobs have arrived lately. A small pool keeps nothing: a worker or two
rarely hold a whole urgent gang, and gangs that cannot use them find less room
in one rack elsewhere.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

from banyantrack.workload import guarantees
from banyantrack.workload import state as state_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import capacity

# Period over which the rate of urgent arrivals is measured.
RATE_WINDOW_MS = 5000
# Largest share of a pool's workers that is kept free.
MAX_SHARE = 0.1
# Fewest urgent jobs of the usual size that kept workers must hold.
MIN_JOBS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class UrgentDemand:
    """What urgent jobs have asked of a pool lately.

    Attributes:
        jobs: Number of jobs in the last RATE_WINDOW_MS.
        accelerators: Sum of the accelerators that each of them uses at once.
    """

    jobs: int = 0
    accelerators: int = 0

    @property
    def accelerators_per_s(self) -> float:
        """Accelerators asked for in each second."""
        return 1000 * self.accelerators / RATE_WINDOW_MS

    @property
    def mean_accelerators(self) -> float:
        """Accelerators that a job uses at once, in the mean; 0 without any."""
        return self.accelerators / self.jobs if self.jobs else 0.0


def urgent_demand(
    state: state_module.WorkState, now_ms: int
) -> dict[str, UrgentDemand]:
    """Returns what urgent jobs have asked for lately, by pool.

    Args:
        state: The replicated state.
        now_ms: Time of day, in milliseconds since 1970.
    """
    jobs: collections.Counter[str] = collections.Counter()
    accelerators: collections.Counter[str] = collections.Counter()
    for record in state.jobs.values():
        if (
            record.queue.priority == 0
            and record.job.repeat_count <= 0
            and record.accepted_ms > now_ms - RATE_WINDOW_MS
        ):
            pool = record.queue.pool
            jobs[pool] += 1
            accelerators[pool] += guarantees.peak_accelerators(record.job)
    return {
        pool: UrgentDemand(jobs[pool], accelerators[pool]) for pool in jobs
    }


def workers_to_keep_free(
    workers: collections.abc.Sequence[capacity.WorkerCapacity],
    demand: UrgentDemand,
    wait_s: float,
) -> set[capacity.WorkerCapacity]:
    """Returns the workers on which no less urgent task may start.

    Only workers without any run are chosen, from as few racks as possible,
    since most urgent gangs need one rack.

    Args:
        workers: The workers of a pool.
        demand: What urgent jobs have asked of the pool lately.
        wait_s: Time for which the workers should last, in seconds.
    """
    largest = max((w.record.accelerators for w in workers), default=0)
    if not largest:
        return set()
    wanted = round(
        min(
            demand.accelerators_per_s * wait_s / largest,
            MAX_SHARE * len(workers),
        )
    )
    if wanted * largest < MIN_JOBS * demand.mean_accelerators:
        return set()
    free_by_rack: dict[str, list[capacity.WorkerCapacity]] = {}
    for worker in workers:
        if (
            worker.usable
            and not worker.penalty
            and worker.record.accelerators
            and worker.free.accelerators == worker.record.accelerators
        ):
            free_by_rack.setdefault(worker.rack, []).append(worker)
    kept: list[capacity.WorkerCapacity] = []
    for rack in sorted(
        free_by_rack, key=lambda name: (-len(free_by_rack[name]), name)
    ):
        kept += free_by_rack[rack][: wanted - len(kept)]
        if len(kept) >= wanted:
            break
    return set(kept)
