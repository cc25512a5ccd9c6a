"""Why a job waits, in one sentence with figures."""

from __future__ import annotations

import typing

from banyantrack.placement import packing

if typing.TYPE_CHECKING:
    from banyantrack.placement import fleet


def _describe(gang: packing.GangRequest) -> str:
    where = f' on one {gang.adjacency.value}'
    if gang.adjacency.value == 'any':
        where = ''
    return (
        f'{gang.members} members of {gang.need.accelerators} accelerators,'
        f' {gang.need.processors} processors and {gang.need.memory_mb} MB'
        f'{where}'
    )


def infeasible(workers: fleet.Fleet, gang: packing.GangRequest) -> str:
    """Returns why a gang could not even run on empty workers, or ''."""
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
        f'can not run: asks for {_describe(gang)}; the {count} workers that'
        f' its selector matches hold at most {most} of its members there when'
        ' empty'
    )


def no_capacity(
    workers: fleet.Fleet, gang: packing.GangRequest, capacity: packing.Capacity
) -> str:
    """Returns why a gang does not fit now."""
    groups = packing.domains(workers, gang.adjacency, capacity)
    most = max(
        (sum(capacity[n] for n in group) for group in groups), default=0
    )
    return (
        f'waits for room: asks for {_describe(gang)}; now {most} of its'
        f' members fit there and {workers.total_free} of'
        f' {workers.total_accelerators} accelerators are free'
    )


def quota(customer: str, used: int, requested: int, limit: int) -> str:
    """Returns why a customer's quota holds a gang back."""
    return (
        f'waits for quota: customer {customer!r} uses {used} of {limit}'
        f' accelerators and the job asks for {requested}'
    )


def may_not_borrow(customer: str, requested: int, left: int) -> str:
    """Returns why a job that cannot be stopped has to wait."""
    return (
        f'waits for its guarantee: asks for {requested} accelerators, the'
        f' guarantees of customer {customer!r} have {left} left, and a job'
        ' that is neither checkpointable nor restartable may not borrow'
    )


def guarantees(requested: int) -> str:
    """Returns why a charged gang may not take what is free."""
    return (
        f'waits for room: {requested} accelerators are free, but taking them'
        " would leave another customer's guarantee without its shape"
    )


def reclaiming(victims: int, accelerators: int) -> str:
    """Returns that room is being made."""
    return (
        f'starts soon: {victims} jobs that borrowed {accelerators}'
        ' accelerators are stopping for it'
    )


def backoff(left_ms: float, attempts: int) -> str:
    """Returns that a job waits after a failure."""
    return (
        f'waits {max(left_ms, 0) / 1000:.1f} s more after {attempts} failed'
        ' attempts'
    )


def reserved_for(name: str, delay_s: float) -> str:
    """Returns that a job would delay one that has waited longer."""
    return (
        f'waits for room: what is free is kept for job {name!r}, which is'
        f' expected to start in {delay_s:.0f} s'
    )
