"""Load balancers: choose one of several candidate backends."""

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
    """State that balancers use besides the candidates.

    Attributes:
        zone: Zone of this entry.
        rng: Random number generator.
        counter: Number of choices made; rotates the starting candidate.
        gossip_period_s: Seconds between two load reports of a peer.
    """

    zone: str
    rng: random.Random
    counter: int = 0
    gossip_period_s: float = 0.25


BALANCERS: registry.Registry[Balancer] = registry.Registry('balancer')
# Balancers that ignore slots: they choose among all backends of a route, and
# requests queue at the backend.
SLOTLESS = frozenset(('random', 'round-robin', 'least-in-flight'))

# Costs are in units of load, the fraction of a backend's slots in use.
# `FAILURE_COST` is added for each recent failure of a backend.
FAILURE_COST = 1.0
OTHER_ZONE_COST = 0.02
# A backend counts as slow only if its median run time exceeds the shortest
# one by this factor.
SLOW_RUN_TIME_FACTOR = 1.2


@BALANCERS.register('random')
def choose_random(
    candidates: collections.abc.Sequence[targets.Target], context: Context
) -> targets.Target:
    """Chooses a random candidate; a baseline."""
    return context.rng.choice(candidates)


@BALANCERS.register('round-robin')
def choose_round_robin(
    candidates: collections.abc.Sequence[targets.Target], context: Context
) -> targets.Target:
    """Chooses the candidates in turn; a baseline."""
    context.counter += 1
    return candidates[context.counter % len(candidates)]


@BALANCERS.register('least-in-flight')
def choose_least_in_flight(
    candidates: collections.abc.Sequence[targets.Target], context: Context
) -> targets.Target:
    """Chooses the candidate with the fewest slots in use by this entry.

    A baseline.
    """
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
    """Chooses by load, median run time, recent failures and zone."""
    context.counter += 1
    start = context.counter % len(candidates)
    shortest_median_s = _shortest_median_s(candidates)
    best = candidates[start]
    best_cost = _cost(best, shortest_median_s, context.zone)
    for target in (*candidates[start + 1 :], *candidates[:start]):
        cost = _cost(target, shortest_median_s, context.zone)
        if cost < best_cost:
            best, best_cost = target, cost
    return best


# From the paper named below: slots in use count linearly up to the threshold
# and with the exponent beyond it.
SUPERLINEAR_THRESHOLD = 10
SUPERLINEAR_EXPONENT = 1.5


@BALANCERS.register('superlinear')
def choose_superlinear(
    candidates: collections.abc.Sequence[targets.Target], context: Context
) -> targets.Target:
    """Chooses by a superlinear function of the slots in use.

    Follows "Result-metric penalties and superlinear in-flight in DP load
    balancing"; kept for comparison, see docs/design/0007-balancing.md.
    """
    context.counter += 1
    start = context.counter % len(candidates)
    return min(
        (*candidates[start:], *candidates[:start]),
        key=lambda target: _superlinear_cost(
            target.in_flight + target.peer_in_flight
        ),
    )


def _superlinear_cost(in_flight: int) -> float:
    if in_flight <= SUPERLINEAR_THRESHOLD:
        return float(in_flight)
    beyond = in_flight - SUPERLINEAR_THRESHOLD
    return SUPERLINEAR_THRESHOLD + beyond**SUPERLINEAR_EXPONENT


def _shortest_median_s(
    candidates: collections.abc.Sequence[targets.Target],
) -> float:
    """Returns the shortest median run time of the candidates.

    It is 0 if no candidate has enough samples.
    """
    medians = [
        target.run_times.median_s
        for target in candidates
        if target.run_times.has_enough_samples
    ]
    return min(medians, default=0.0)


def _cost(
    target: targets.Target, shortest_median_s: float, zone: str
) -> float:
    load = (target.in_flight + target.peer_in_flight) / max(
        target.backend.slots, 1
    )
    cost = load + FAILURE_COST * target.failures
    run_times = target.run_times
    if shortest_median_s and run_times.has_enough_samples:
        slowdown = run_times.median_s / shortest_median_s
        if slowdown > SLOW_RUN_TIME_FACTOR:
            cost += load * (slowdown - 1.0)
    if target.backend.zone != zone:
        cost += OTHER_ZONE_COST
    return cost
