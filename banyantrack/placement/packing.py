"""Chooses workers for a gang by adjacency and fragmentation."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import registry
from banyantrack.core import states

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.placement import fleet

    # Members that fit on a worker, by worker number; without zeros.
    Capacity = dict[int, int]
    # Returns the worker number of each member, or None if the gang does not
    # fit.
    ChooseWorkers = collections.abc.Callable[
        [fleet.Fleet, 'GangRequest', Capacity, 'BusyForecast'],
        list[int] | None,
    ]

SCORES: registry.Registry[ChooseWorkers] = registry.Registry('placement score')


@dataclasses.dataclass(frozen=True, slots=True)
class GangRequest:
    """Resources and constraints of a gang that is to be placed.

    Attributes:
        members: Number of members.
        need: Resources of each member.
        adjacency: Domain within which all members have to lie.
        selector: Label selector of the workers; empty for all.
    """

    members: int
    need: fleet.Need
    adjacency: states.Adjacency
    selector: str

    @property
    def accelerators(self) -> int:
        """Accelerators of all members."""
        return self.members * self.need.accelerators


@dataclasses.dataclass(frozen=True, slots=True)
class BusyForecast:
    """Expected run time of a gang and of the work that already runs.

    Attributes:
        run_ms: Expected run time of the gang.
        now_ms: Current time, in milliseconds since 1970.
        busy_until_ms: Expected end of all work on a worker, in milliseconds
            since 1970, by worker number; missing if it has none.
    """

    run_ms: float
    now_ms: float
    busy_until_ms: collections.abc.Mapping[int, float]

    def added_busy_ms(self, worker: int) -> float:
        """Returns the time by which the gang extends a worker's busy time."""
        until_ms = self.busy_until_ms.get(worker, 0.0)
        busy_ms = max(until_ms - self.now_ms, 0.0)
        return max(self.run_ms - busy_ms, 0.0)


def free_capacity(workers: fleet.Fleet, gang: GangRequest) -> Capacity:
    """Returns the members of a gang that fit on free resources, by worker."""
    eligible = workers.eligible(gang.selector)
    silent = workers.silent
    need = gang.need
    processors = workers.free_processors
    memory_mb = workers.free_memory
    capacity: Capacity = {}
    # Inlines `fleet.count_members`, since this loop runs over all workers for
    # each gang.
    for number, fit in enumerate(workers.free_accelerators):
        if fit < need.accelerators or not eligible[number]:
            continue
        fit = fit // need.accelerators if need.accelerators else gang.members
        if need.processors:
            fit = min(fit, processors[number] // need.processors)
        if need.memory_mb:
            fit = min(fit, memory_mb[number] // need.memory_mb)
        if fit > 0 and number not in silent:
            capacity[number] = fit
    return capacity


def total_capacity(workers: fleet.Fleet, gang: GangRequest) -> Capacity:
    """Returns the members of a gang that fit on empty workers, by worker."""
    eligible = workers.eligible(gang.selector)
    capacity: Capacity = {}
    for number in range(len(workers)):
        if eligible[number]:
            fit = workers.members_when_empty(number, gang.need)
            if fit:
                capacity[number] = fit
    return capacity


def domains(
    workers: fleet.Fleet, adjacency: states.Adjacency, capacity: Capacity
) -> list[list[int]]:
    """Returns the adjacency domains: groups of which a gang uses one."""
    if adjacency is states.Adjacency.WORKER:
        return [[number] for number in capacity]
    if adjacency is states.Adjacency.ANY:
        return [list(capacity)]
    groups: dict[int, list[int]] = {}
    for number in capacity:
        group = workers.rack_of(number)
        if adjacency is states.Adjacency.ZONE:
            group = workers.zone_of_rack(group)
        groups.setdefault(group, []).append(number)
    return list(groups.values())


def fits(workers: fleet.Fleet, gang: GangRequest, capacity: Capacity) -> bool:
    """Whether the whole gang fits into one domain of a capacity."""
    return any(
        sum(capacity[number] for number in group) >= gang.members
        for group in domains(workers, gang.adjacency, capacity)
    )


def _assign_in_order(
    order: collections.abc.Iterable[int], capacity: Capacity, members: int
) -> list[int] | None:
    """Returns the first workers that hold all members, or None."""
    chosen: list[int] = []
    for number in order:
        count = min(capacity[number], members - len(chosen))
        chosen.extend([number] * count)
        if len(chosen) == members:
            return chosen
    return None


@SCORES.register('first-fit')
def first_fit(
    workers: fleet.Fleet,
    gang: GangRequest,
    capacity: Capacity,
    forecast: BusyForecast,
) -> list[int] | None:
    """Uses the first domain in which the gang fits; a baseline."""
    for group in domains(workers, gang.adjacency, capacity):
        chosen = _assign_in_order(sorted(group), capacity, gang.members)
        if chosen is not None:
            return chosen
    return None


@SCORES.register('adjacent')
def adjacent(
    workers: fleet.Fleet,
    gang: GangRequest,
    capacity: Capacity,
    forecast: BusyForecast,
) -> list[int] | None:
    """Places members close together and keeps whole workers and racks free.

    A gang is placed on one worker if possible, else in one rack, else in as
    few racks as possible; each time with the best fit. Avoided workers are
    used only if the gang does not fit without them.
    """
    preferred = {
        number: fit
        for number, fit in capacity.items()
        if not workers.is_avoided(number)
    }
    chosen = _adjacent(workers, gang, preferred, forecast)
    if chosen is None and len(preferred) < len(capacity):
        chosen = _adjacent(workers, gang, capacity, forecast)
    return chosen


def _adjacent(
    workers: fleet.Fleet,
    gang: GangRequest,
    capacity: Capacity,
    forecast: BusyForecast,
) -> list[int] | None:
    if gang.adjacency is states.Adjacency.ANY:
        partial = _fill_partial_workers(workers, gang, capacity, forecast)
        if partial is not None:
            return partial
    single = _best_worker(workers, gang, capacity, forecast)
    if single is not None or gang.adjacency is states.Adjacency.WORKER:
        return single
    racks = _rack_capacity(workers, capacity)
    rack = _best_rack(workers, gang, racks)
    if rack is not None:
        return _fill_rack(workers, gang, capacity, racks[rack][1])
    if gang.adjacency is states.Adjacency.RACK:
        return None
    return _fill_racks(workers, gang, capacity, racks)


def _fill_partial_workers(
    workers: fleet.Fleet,
    gang: GangRequest,
    capacity: Capacity,
    forecast: BusyForecast,
) -> list[int] | None:
    """Places a gang without adjacency on partly used workers.

    Their fragments are of no use to gangs that need whole workers.
    """
    free = workers.free_accelerators
    total = workers.accelerators
    partial = {
        number: fit
        for number, fit in capacity.items()
        if free[number] < total[number]
    }
    single = _best_worker(workers, gang, partial, forecast)
    if single is not None:
        return single
    if sum(partial.values()) < gang.members:
        return None
    racks = _rack_capacity(workers, partial)
    rack = _best_rack(workers, gang, racks)
    if rack is not None:
        return _fill_rack(workers, gang, partial, racks[rack][1])
    return _fill_largest_racks(workers, gang, partial, racks, list(racks))


def _best_worker(
    workers: fleet.Fleet,
    gang: GangRequest,
    capacity: Capacity,
    forecast: BusyForecast,
) -> list[int] | None:
    """Returns the worker on which the gang causes least fragmentation.

    Fragmentation is the worker's accelerators that the gang does not use,
    times the time by which the gang extends the worker's busy time. Ties go
    to the worker with fewest free accelerators.
    """
    free = workers.free_accelerators
    total = workers.accelerators
    best = None
    best_key: tuple[float, int] | None = None
    for number, fit in capacity.items():
        if fit < gang.members:
            continue
        left_over = total[number] - gang.accelerators
        key = (forecast.added_busy_ms(number) * left_over, free[number])
        if best_key is None or key < best_key:
            best, best_key = number, key
    return None if best is None else [best] * gang.members


def _rack_capacity(
    workers: fleet.Fleet, capacity: Capacity
) -> dict[int, tuple[int, list[int]]]:
    """Returns the number of members that fit and the workers, by rack."""
    racks: dict[int, tuple[int, list[int]]] = {}
    for number, fit in capacity.items():
        rack = workers.rack_of(number)
        total, numbers = racks.get(rack, (0, []))
        numbers.append(number)
        racks[rack] = (total + fit, numbers)
    return racks


def _best_rack(
    workers: fleet.Fleet,
    gang: GangRequest,
    racks: dict[int, tuple[int, list[int]]],
) -> int | None:
    """Returns the rack with fewest free accelerators that fits, or None."""
    free = workers.free_accelerators
    fitting = [
        (sum(free[number] for number in numbers), rack)
        for rack, (total, numbers) in racks.items()
        if total >= gang.members
    ]
    return min(fitting)[1] if fitting else None


def _fill_rack(
    workers: fleet.Fleet,
    gang: GangRequest,
    capacity: Capacity,
    numbers: list[int],
) -> list[int]:
    """Fills the workers of a rack that has enough capacity.

    Workers are filled completely as long as enough members are left, those
    with the largest capacity first; the rest goes to the worker with fewest
    free accelerators on which it fits.
    """
    free = workers.free_accelerators
    by_size = sorted(
        numbers, key=lambda number: (-capacity[number], free[number])
    )
    chosen: list[int] = []
    remaining = gang.members
    for number in by_size:
        if capacity[number] <= remaining:
            chosen.extend([number] * capacity[number])
            remaining -= capacity[number]
    if remaining:
        taken = set(chosen)
        rest = [n for n in by_size if n not in taken]
        number = min(rest, key=lambda n: (capacity[n] < remaining, free[n]))
        chosen.extend([number] * remaining)
    return chosen


def _fill_racks(
    workers: fleet.Fleet,
    gang: GangRequest,
    capacity: Capacity,
    racks: dict[int, tuple[int, list[int]]],
) -> list[int] | None:
    """Fills racks of the zone with the best fit, or else of several zones.

    Several zones are used only for a gang without zone adjacency.
    """
    zones: dict[int, list[int]] = {}
    for rack in racks:
        zones.setdefault(workers.zone_of_rack(rack), []).append(rack)
    candidates = sorted(
        zones.values(),
        key=lambda group: sum(racks[rack][0] for rack in group),
    )
    for group in candidates:
        if sum(racks[rack][0] for rack in group) >= gang.members:
            return _fill_largest_racks(workers, gang, capacity, racks, group)
    if gang.adjacency is states.Adjacency.ZONE:
        return None
    if sum(total for total, _ in racks.values()) < gang.members:
        return None
    return _fill_largest_racks(workers, gang, capacity, racks, list(racks))


def _fill_largest_racks(
    workers: fleet.Fleet,
    gang: GangRequest,
    capacity: Capacity,
    racks: dict[int, tuple[int, list[int]]],
    group: list[int],
) -> list[int]:
    group.sort(key=lambda rack: -racks[rack][0])
    chosen: list[int] = []
    for position, rack in enumerate(group):
        remaining = gang.members - len(chosen)
        total, numbers = racks[rack]
        if total <= remaining:
            for number in numbers:
                chosen.extend([number] * capacity[number])
            if len(chosen) == gang.members:
                break
            continue
        # Place the rest in the rack with the least capacity that holds it.
        best = min(
            (
                other
                for other in group[position:]
                if racks[other][0] >= remaining
            ),
            key=lambda other: racks[other][0],
        )
        rest = dataclasses.replace(gang, members=remaining)
        chosen.extend(_fill_rack(workers, rest, capacity, racks[best][1]))
        break
    return chosen
