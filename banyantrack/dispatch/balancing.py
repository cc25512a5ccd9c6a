"""Which of the backends with a free slot gets a request."""

from __future__ import annotations

import dataclasses
import random
import typing

from banyantrack.core import registry

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.dispatch import targets

    Balancer = collections.abc.Callable[
        [collections.abc.Sequence[targets.Target], 'Context'], targets.Target
    ]


@dataclasses.dataclass(slots=True)
class Context:
    """What a balancer may use besides the targets.

    Attributes:
        zone: Zone of this entry.
        rng: Source of randomness.
        counter: Goes up with each choice.
        gossip_period_s: Seconds between two reports of others' load.
    """

    zone: str
    rng: random.Random
    counter: int = 0
    gossip_period_s: float = 0.25


BALANCERS: registry.Registry[Balancer] = registry.Registry('balancer')
# Balancers that do not know of slots: they choose among all backends, and
# requests wait at the backend.
SLOTLESS = frozenset(('random', 'round-robin', 'least-in-flight'))

# Extra cost of a backend that failed of late, in units of its load.
FAILURE_COST = 1.0
OTHER_ZONE_COST = 0.02
# A backend is slower only if it takes this much longer than the others.
SLOWER_FACTOR = 1.2


@BALANCERS.register('random')
def choose_random(
    candidates: collections.abc.Sequence[targets.Target], context: Context
) -> targets.Target:
    """Chooses at random; a baseline."""
    return context.rng.choice(candidates)


@BALANCERS.register('round-robin')
def choose_round_robin(
    candidates: collections.abc.Sequence[targets.Target], context: Context
) -> targets.Target:
    """Chooses one after another; a baseline."""
    context.counter += 1
    return candidates[context.counter % len(candidates)]


@BALANCERS.register('least-in-flight')
def choose_least_in_flight(
    candidates: collections.abc.Sequence[targets.Target], context: Context
) -> targets.Target:
    """Chooses the least own in-flight; a baseline."""
    context.counter += 1
    start = context.counter % len(candidates)
    return min(
        (*candidates[start:], *candidates[:start]),
        key=lambda target: target.in_flight,
    )


@BALANCERS.register('least-expected-wait')
def choose_least_expected_wait(
    candidates: collections.abc.Sequence[targets.Target], context: Context
) -> targets.Target:
    """Chooses by load, observed run time, failures of late and zone."""
    context.counter += 1
    start = context.counter % len(candidates)
    usual_s = _usual_run_s(candidates)
    best = candidates[start]
    best_cost = _cost(best, usual_s, context.zone)
    for target in (*candidates[start + 1 :], *candidates[:start]):
        cost = _cost(target, usual_s, context.zone)
        if cost < best_cost:
            best, best_cost = target, cost
    return best


# Of the related paper: in-flight work counts linearly up to here and with
# this exponent beyond.
SUPERLINEAR_FROM = 10
SUPERLINEAR_EXPONENT = 1.5


@BALANCERS.register('superlinear')
def choose_superlinear(
    candidates: collections.abc.Sequence[targets.Target], context: Context
) -> targets.Target:
    """Chooses by a superlinear count of requests in flight.

    After "Result-metric penalties and superlinear in-flight in DP load
    balancing"; kept for comparison, see docs/design/0007-balancing.md.
    """
    context.counter += 1
    start = context.counter % len(candidates)
    return min(
        (*candidates[start:], *candidates[:start]),
        key=lambda target: _superlinear(target.in_flight + target.others),
    )


def _superlinear(in_flight: int) -> float:
    if in_flight <= SUPERLINEAR_FROM:
        return float(in_flight)
    beyond = in_flight - SUPERLINEAR_FROM
    return SUPERLINEAR_FROM + beyond**SUPERLINEAR_EXPONENT


def _usual_run_s(
    candidates: collections.abc.Sequence[targets.Target],
) -> float:
    """Returns the shortest median, below which nobody counts as slow."""
    medians = [
        target.run_times.median_s
        for target in candidates
        if target.run_times.trusted
    ]
    return min(medians, default=0.0)


def _cost(target: targets.Target, usual_s: float, zone: str) -> float:
    load = (target.in_flight + target.others) / max(target.backend.slots, 1)
    cost = load + FAILURE_COST * target.failures
    run_times = target.run_times
    if usual_s and run_times.trusted:
        slower = run_times.median_s / usual_s
        if slower > SLOWER_FACTOR:
            cost += load * (slower - 1.0)
    if target.backend.zone != zone:
        cost += OTHER_ZONE_COST
    return cost
