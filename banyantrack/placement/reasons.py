"""Texts that state why a job waits."""

from __future__ import annotations

import typing

from banyantrack.placement import packing

if typing.TYPE_CHECKING:
    from banyantrack.placement import fleet


def _describe(gang: packing.GangRequest) -> str:
    """Returns the size and adjacency of a gang's request."""
    where = f' on one {gang.adjacency.value}'
    if gang.adjacency.value == 'any':
        where = ''
    return (
        f'{gang.members} members of {gang.need.accelerators} accelerators,'
        f' {gang.need.processors} processors and {gang.need.memory_mb} MB'
        f'{where}'
    )


def infeasible(workers: fleet.Fleet, gang: packing.GangRequest) -> str:
    """Returns why a gang would not fit on empty workers, or ''."""
    eligible = workers.eligible(gang.selector)
    count = sum(eligible)
    if not count:
        text = gang.selector or 'the default one'
        return (
            f'can not run: selector {text!r} matches 0 of'
            f' {len(workers)} workers'
        )
    capacity = packing.total_capacity(workers, gang)
    if packing.fits(workers, gang, capacity):
        return ''
    groups = packing.domains(workers, gang.adjacency, capacity)
    most = max(
        (sum(capacity[n] for n in group) for group in groups), default=0
    )
    return (
        f'can not run: requests {_describe(gang)}; the {count} workers that'
        f' its selector matches have capacity for at most {most} of its'
        ' members when empty'
    )


def no_capacity(
    workers: fleet.Fleet, gang: packing.GangRequest, capacity: packing.Capacity
) -> str:
    """Returns why a gang does not fit into the given capacity."""
    groups = packing.domains(workers, gang.adjacency, capacity)
    most = max(
        (sum(capacity[n] for n in group) for group in groups), default=0
    )
    return (
        f'waits for capacity: requests {_describe(gang)}; at most {most} of'
        f' its members fit now and {workers.total_free} of'
        f' {workers.total_accelerators} accelerators are free'
    )


def quota(customer: str, used: int, requested: int, limit: int) -> str:
    """Returns by how much a gang would exceed its customer's quota."""
    return (
        f'waits for quota: customer {customer!r} uses {used} of {limit}'
        f' accelerators and the job requests {requested}'
    )


def may_not_borrow(customer: str, requested: int, left: int) -> str:
    """Returns why a job that cannot be reclaimed has to wait."""
    return (
        f'waits for its guarantee: requests {requested} accelerators, the'
        f' guarantees of customer {customer!r} have {left} left, and a job'
        ' that is neither checkpointable nor restartable may not borrow'
    )


def guarantees(requested: int) -> str:
    """Returns why a charged gang may not use accelerators that are free."""
    return (
        f'waits for capacity: {requested} accelerators are free, but using'
        " them would leave another customer's guarantee without its shape"
    )


def reclaiming(victims: int, accelerators: int) -> str:
    """Returns how much borrowed work is being reclaimed for a job."""
    return (
        f'starts soon: {victims} jobs that borrow {accelerators}'
        ' accelerators are being stopped for it'
    )


def backoff(left_ms: float, attempts: int) -> str:
    """Returns for how long a job waits after a failure."""
    return (
        f'waits for {max(left_ms, 0) / 1000:.1f} s more after {attempts}'
        ' failed attempts'
    )


def reserved_for(name: str, delay_s: float) -> str:
    """Returns which job the free capacity is reserved for."""
    return (
        f'waits for capacity: free workers are reserved for job {name!r},'
        f' which is expected to start in {delay_s:.0f} s'
    )
