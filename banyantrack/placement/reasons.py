"""Why a job waits, in one sentence with figures."""

from __future__ import annotations

import typing

from banyantrack.placement import places

if typing.TYPE_CHECKING:
    from banyantrack.placement import fleet


def _ask(gang: places.Gang) -> str:
    where = f' on one {gang.adjacency.value}'
    if gang.adjacency.value == 'any':
        where = ''
    return (
        f'{gang.members} members of {gang.need.accelerators} accelerators,'
        f' {gang.need.processors} processors and {gang.need.memory_mb} MB'
        f'{where}'
    )


def never(workers: fleet.Fleet, gang: places.Gang) -> str:
    """Returns why a gang could not even run on empty workers, or ''."""
    eligible = workers.eligible(gang.selector)
    count = sum(eligible)
    if not count:
        text = gang.selector or 'the default one'
        return (
            f'can not run: selector {text!r} matches 0 of'
            f' {len(workers)} workers'
        )
    room = places.empty_room(workers, gang)
    if places.fits(workers, gang, room):
        return ''
    groups = places.domains(workers, gang.adjacency, room)
    most = max((sum(room[n] for n in group) for group in groups), default=0)
    return (
        f'can not run: asks for {_ask(gang)}; the {count} workers that its'
        f' selector matches hold at most {most} of its members there when'
        ' empty'
    )


def no_room(workers: fleet.Fleet, gang: places.Gang, room: places.Room) -> str:
    """Returns why a gang does not fit now."""
    groups = places.domains(workers, gang.adjacency, room)
    most = max((sum(room[n] for n in group) for group in groups), default=0)
    return (
        f'waits for room: asks for {_ask(gang)}; now {most} of its members'
        f' fit there and {workers.total_free} of'
        f' {workers.total_accelerators} accelerators are free'
    )


def quota(customer: str, used: int, asked: int, limit: int) -> str:
    """Returns why a customer's quota holds a gang back."""
    return (
        f'waits for quota: customer {customer!r} uses {used} of {limit}'
        f' accelerators and the job asks for {asked}'
    )


def may_not_borrow(customer: str, asked: int, left: int) -> str:
    """Returns why a job that cannot be stopped has to wait."""
    return (
        f'waits for its guarantee: asks for {asked} accelerators, the'
        f' guarantees of customer {customer!r} have {left} left, and a job'
        ' that is neither checkpointable nor restartable may not borrow'
    )


def guarantees(asked: int) -> str:
    """Returns why a charged gang may not take what is free."""
    return (
        f'waits for room: {asked} accelerators are free, but taking them'
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


def behind(name: str, at_s: float) -> str:
    """Returns that a job would delay one that has waited longer."""
    return (
        f'waits for room: what is free is kept for job {name!r}, which is'
        f' expected to start in {at_s:.0f} s'
    )
