"""Plans which borrowed gangs to reclaim so that another gang fits."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.placement import fleet
from banyantrack.placement import packing
from banyantrack.placement import victims as victims_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.placement import allotments

# Groups of workers (see `packing.domains`) that are priced for one plan.
MAX_GROUPS = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Workers for one gang and the jobs to reclaim for it.

    Attributes:
        workers: Worker number of each member.
        victims: Names of the jobs that have to stop first, sorted.
        cost: Sum of the costs of reclaiming them.
    """

    workers: list[int]
    victims: tuple[str, ...]
    cost: float


@dataclasses.dataclass(slots=True)
class Reclaimable:
    """A gang that may be reclaimed.

    Attributes:
        name: Name of the job.
        allotment: Resources of the gang.
        cost: Cost of reclaiming it, relative to other gangs.
    """

    name: str
    allotment: allotments.Allotment
    cost: float


class Planner:
    """Finds gangs to reclaim at low cost.

    Args:
        workers: Capacity and labels of the workers.
        candidates: Gangs that may be reclaimed.
    """

    def __init__(
        self,
        workers: fleet.Fleet,
        candidates: collections.abc.Iterable[Reclaimable],
    ) -> None:
        self._fleet = workers
        self._on_worker: dict[int, list[Reclaimable]] = {}
        for candidate in candidates:
            for worker in set(candidate.allotment.workers):
                self._on_worker.setdefault(worker, []).append(candidate)

    def plan(
        self,
        gang: packing.GangRequest,
        *,
        max_members: dict[int, int] | None = None,
        excluded: collections.abc.Container[int] = frozenset(),
    ) -> Plan | None:
        """Returns the cheapest plan found, or None.

        Args:
            gang: Request of the gang to place.
            max_members: Upper bound of members by worker number; workers
                that are missing from it are not used. None for no bound.
            excluded: Workers that are reserved for other gangs.
        """
        capacity = self._reclaimable_capacity(gang, max_members, excluded)
        groups = [
            group
            for group in packing.domains(self._fleet, gang.adjacency, capacity)
            if sum(capacity[worker] for worker in group) >= gang.members
        ]
        groups.sort(key=lambda group: self._missing_key(gang, group))
        best: Plan | None = None
        for group in groups[:MAX_GROUPS]:
            found = self._plan_group(gang, group, capacity)
            if found and (best is None or found.cost < best.cost):
                best = found
        return best

    def _reclaimable_capacity(
        self,
        gang: packing.GangRequest,
        max_members: dict[int, int] | None,
        excluded: collections.abc.Container[int],
    ) -> packing.Capacity:
        eligible = self._fleet.eligible(gang.selector)
        numbers = (
            range(len(self._fleet)) if max_members is None else max_members
        )
        capacity = {}
        for worker in numbers:
            if not eligible[worker] or worker in excluded:
                continue
            if worker in self._fleet.silent:
                continue
            fit = self._members_that_fit(
                worker, gang, self._on_worker.get(worker, ())
            )
            if max_members is not None:
                fit = min(fit, max_members[worker])
            if fit:
                capacity[worker] = fit
        return capacity

    def _members_that_fit(
        self,
        worker: int,
        gang: packing.GangRequest,
        stopped: collections.abc.Iterable[Reclaimable],
    ) -> int:
        """Returns members that fit on a worker once gangs have stopped."""
        free = self._fleet.free_resources(worker)
        accelerators, processors, memory_mb = free
        for candidate in stopped:
            count = candidate.allotment.workers.count(worker)
            need = candidate.allotment.gang.need
            accelerators += count * need.accelerators
            processors += count * need.processors
            memory_mb += count * need.memory_mb
        return fleet.count_members(
            gang.need, accelerators, processors, memory_mb
        )

    def _missing_key(self, gang: packing.GangRequest, group: list[int]) -> int:
        """Sort key of groups: fewest missing free accelerators first."""
        free = self._fleet.free_accelerators
        return -min(sum(free[worker] for worker in group), gang.accelerators)

    def _plan_group(
        self,
        gang: packing.GangRequest,
        group: list[int],
        capacity: packing.Capacity,
    ) -> Plan | None:
        """Returns a plan on the cheapest workers of a group, or None."""
        priced = sorted(
            (self._worker_cost(worker, gang, capacity[worker]), worker)
            for worker in group
        )
        chosen: list[int] = []
        for _, worker in priced:
            count = min(capacity[worker], gang.members - len(chosen))
            chosen.extend([worker] * count)
            if len(chosen) == gang.members:
                break
        victims = self._victims(gang, chosen)
        if victims is None:
            return None
        return Plan(
            workers=chosen,
            victims=tuple(sorted(victims)),
            cost=sum(victims.values()),
        )

    def _worker_cost(
        self, worker: int, gang: packing.GangRequest, fit: int
    ) -> tuple[float, int]:
        """Returns a worker's cost per member, and the members that fit.

        The cost is 0 if the members fit without reclaiming. Otherwise it
        counts all reclaimable gangs on the worker, even if fewer suffice.
        """
        if self._members_that_fit(worker, gang, ()) >= fit:
            return (0.0, fit)
        cost = sum(c.cost for c in self._on_worker.get(worker, ()))
        return (cost / fit, fit)

    def _victims(
        self, gang: packing.GangRequest, chosen: list[int]
    ) -> dict[str, float] | None:
        """Returns the cost of each gang to reclaim, by job name.

        On each worker, gangs are added cheapest first until the members fit;
        gangs that were selected on an earlier worker count as stopped.

        Returns:
            None if the members do not fit.
        """
        stopped: dict[str, Reclaimable] = {}
        for worker in sorted(set(chosen)):
            needed = chosen.count(worker)
            selected = [
                c for c in self._on_worker.get(worker, ()) if c.name in stopped
            ]
            rest = sorted(
                (
                    c
                    for c in self._on_worker.get(worker, ())
                    if c.name not in stopped
                ),
                key=lambda c: (c.cost, c.name),
            )
            while self._members_that_fit(worker, gang, selected) < needed:
                if not rest:
                    return None
                selected.append(rest.pop(0))
            stopped.update(
                (candidate.name, candidate) for candidate in selected
            )
        return {name: candidate.cost for name, candidate in stopped.items()}


def make_reclaimable(
    name: str,
    allotment: allotments.Allotment,
    *,
    cost: victims_module.Cost,
    lost_ms: float,
    reclaims: int,
    over_share: float,
    started_ms: int,
) -> Reclaimable:
    """Returns a gang with the cost of reclaiming it.

    Args:
        name: Name of the job.
        allotment: Resources of the gang.
        cost: Function of `victims.COSTS`.
        lost_ms: Run time since the last checkpoint.
        reclaims: How often the job was reclaimed before.
        over_share: Share of the fleet's accelerators that the customer
            uses, divided by the customer's weight.
        started_ms: Start of this run, in milliseconds since 1970.
    """
    candidate = victims_module.Candidate(
        name=name,
        accelerators=max(allotment.gang.accelerators, 1),
        lost_ms=lost_ms,
        reclaims=reclaims,
        over_share=over_share,
        started_ms=started_ms,
    )
    return Reclaimable(name, allotment, cost(candidate))
