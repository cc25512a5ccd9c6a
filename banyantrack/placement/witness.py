"""Proof that every guaranteed shape can be reclaimed.

For each shape that a customer may still claim there are concrete
accelerators on concrete workers, disjoint from those of every other shape.
Each of them is free or has work that can be reclaimed; work that is charged
to a guarantee is never among them.

The proof is kept while work and labels change: a change touches only the
shapes whose accelerators it takes away, and those are placed anew.
"""

from __future__ import annotations

import array
import collections
import dataclasses
import typing

from banyantrack.core import errors
from banyantrack.core import states

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.placement import fleet

    # Accelerators by worker number.
    Slots = dict[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Entitlement:
    """What a guarantee still may claim.

    Attributes:
        guarantee: Its name.
        shape: Accelerators of one whole shape.
        remaining: Accelerators that no work is charged with.
        adjacency: How closely the accelerators of a shape lie together.
        selector: Workers that may serve it.
    """

    guarantee: str
    shape: int
    remaining: int
    adjacency: states.Adjacency
    selector: str

    def sizes(self) -> list[int]:
        """Returns the accelerators of each shape that may be claimed."""
        whole, rest = divmod(self.remaining, self.shape)
        return [self.shape] * whole + ([rest] if rest else [])


@dataclasses.dataclass(slots=True)
class Shape:
    """One shape and the accelerators that prove it.

    Attributes:
        guarantee: Guarantee that it belongs to.
        size: Its accelerators.
        slots: Accelerators by worker number; empty if there is no proof.
    """

    guarantee: str
    size: int
    slots: Slots


class Change:
    """What a placement would change, to be tried against the witness.

    Attributes:
        pinned: Accelerators that become charged work, by worker.
        entitlement: The guarantee after it, if it is charged to one.
    """

    __slots__ = ('pinned', 'entitlement')

    def __init__(self, pinned: Slots, entitlement: Entitlement | None) -> None:
        self.pinned = pinned
        self.entitlement = entitlement


class Witness:
    """Shapes of all guarantees on the workers that prove them.

    Args:
        workers: The workers.
    """

    def __init__(self, workers: fleet.Fleet) -> None:
        self._fleet = workers
        # Accelerators of charged work, by worker.
        self._pinned = array.array('i')
        # Accelerators that shapes have, by worker.
        self._assigned = array.array('i')
        self._entitlements: dict[str, Entitlement] = {}
        self._shapes: dict[str, list[Shape]] = {}

    @property
    def infeasible(self) -> dict[str, int]:
        """Shapes without proof, by guarantee."""
        missing = {}
        for name, shapes in self._shapes.items():
            count = sum(not shape.slots for shape in shapes)
            if count:
                missing[name] = count
        return missing

    @property
    def guarantees(self) -> collections.abc.Iterable[str]:
        """Names of all guarantees."""
        return self._entitlements.keys()

    def shapes(self, guarantee: str) -> list[Shape]:
        """Returns the shapes that a guarantee may claim."""
        return self._shapes.get(guarantee, [])

    def entitlement(self, guarantee: str) -> Entitlement | None:
        """Returns what a guarantee still may claim, or None."""
        return self._entitlements.get(guarantee)

    def available(self, worker: int) -> int:
        """Returns the accelerators that shapes may use on a worker."""
        self._grow()
        return self._fleet.accelerators[worker] - self._pinned[worker]

    def pin(self, slots: Slots, sign: int = 1) -> None:
        """Notes charged work that starts, or ends with a sign of -1.

        The caller calls `repair` after all changes.
        """
        self._grow()
        for worker, count in slots.items():
            self._pinned[worker] += sign * count

    def set_entitlement(self, entitlement: Entitlement) -> None:
        """Adds a guarantee or changes what it may claim.

        The caller calls `repair` after all changes.
        """
        self._entitlements[entitlement.guarantee] = entitlement
        self._resize(entitlement)

    def remove(self, guarantee: str) -> None:
        """Forgets a guarantee."""
        for shape in self._shapes.pop(guarantee, []):
            self._release(shape)
        self._entitlements.pop(guarantee, None)

    def repair(self) -> bool:
        """Places the shapes anew that have lost their accelerators.

        Returns:
            Whether every shape has its proof.
        """
        self._grow()
        self._drop_broken()
        missing = self._missing()
        if not missing:
            return True
        if self._place_all(missing):
            return True
        return self._rebuild()

    def allows(self, change: Change) -> bool:
        """Whether every shape keeps its proof with a change.

        Nothing is changed. Shapes that have no proof already do not count
        against the change, but it must not take away another's.
        """
        self._grow()
        if self._takes_nothing(change):
            return True
        saved = self._save()
        before = sum(self.infeasible.values())
        self.pin(change.pinned)
        if change.entitlement is not None:
            self.set_entitlement(change.entitlement)
        self.repair()
        allowed = sum(self.infeasible.values()) <= before
        self._load(saved)
        self.pin(change.pinned, -1)
        return allowed

    def _takes_nothing(self, change: Change) -> bool:
        """Whether a change leaves the accelerators of all shapes alone.

        Fewer shapes of the same size need no new proof.
        """
        entitlement = change.entitlement
        if entitlement is not None:
            known = self._entitlements.get(entitlement.guarantee)
            if known is None or known.selector != entitlement.selector:
                return False
            if known.adjacency is not entitlement.adjacency:
                return False
            if not set(entitlement.sizes()) <= set(known.sizes()):
                return False
            if entitlement.remaining > known.remaining:
                return False
        return all(
            self._assigned[worker] + count <= self.available(worker)
            for worker, count in change.pinned.items()
        )

    def check(self) -> None:
        """Asserts that the proof holds for every shape that has one.

        Raises:
            InvariantError: If it does not.
        """
        self._grow()
        assigned: dict[int, int] = collections.defaultdict(int)
        for name, shapes in self._shapes.items():
            entitlement = self._entitlements[name]
            total = 0
            for shape in shapes:
                total += shape.size
                self._check_shape(entitlement, shape)
                for worker, count in shape.slots.items():
                    assigned[worker] += count
            errors.check_invariant(
                total == entitlement.remaining,
                'guarantee %s has shapes of %d for %d accelerators',
                name,
                total,
                entitlement.remaining,
            )
        for worker, count in assigned.items():
            errors.check_invariant(
                count <= self.available(worker),
                'worker %s is witness for %d accelerators of %d',
                self._fleet.name(worker),
                count,
                self.available(worker),
            )

    def _check_shape(self, entitlement: Entitlement, shape: Shape) -> None:
        if not shape.slots:
            return
        eligible = self._fleet.eligible(entitlement.selector)
        errors.check_invariant(
            sum(shape.slots.values()) == shape.size
            and all(eligible[worker] for worker in shape.slots)
            and self._is_adjacent(entitlement.adjacency, shape.slots),
            'witness %s of guarantee %s does not fit it',
            shape.slots,
            shape.guarantee,
        )

    def _is_adjacent(self, adjacency: states.Adjacency, slots: Slots) -> bool:
        return len({self._group(adjacency, w) for w in slots}) <= 1

    def _group(self, adjacency: states.Adjacency, worker: int) -> int:
        match adjacency:
            case states.Adjacency.WORKER:
                return worker
            case states.Adjacency.RACK:
                return self._fleet.rack_of(worker)
            case states.Adjacency.ZONE:
                return self._fleet.zone_of_rack(self._fleet.rack_of(worker))
        return 0

    def _grow(self) -> None:
        missing = len(self._fleet) - len(self._pinned)
        if missing > 0:
            self._pinned.extend([0] * missing)
            self._assigned.extend([0] * missing)

    def _save(self) -> tuple[object, ...]:
        shapes = {
            name: [Shape(s.guarantee, s.size, dict(s.slots)) for s in found]
            for name, found in self._shapes.items()
        }
        return (
            shapes,
            array.array('i', self._assigned),
            dict(self._entitlements),
        )

    def _load(self, saved: tuple[object, ...]) -> None:
        self._shapes, self._assigned, self._entitlements = saved

    def _resize(self, entitlement: Entitlement) -> None:
        """Keeps shapes whose size is still wanted."""
        wanted = entitlement.sizes()
        kept = []
        for shape in self._shapes.get(entitlement.guarantee, []):
            if shape.size in wanted:
                wanted.remove(shape.size)
                kept.append(shape)
            else:
                self._release(shape)
        kept.extend(Shape(entitlement.guarantee, size, {}) for size in wanted)
        self._shapes[entitlement.guarantee] = kept

    def _release(self, shape: Shape) -> None:
        for worker, count in shape.slots.items():
            self._assigned[worker] -= count
        shape.slots = {}

    def _drop_broken(self) -> None:
        for name, shapes in self._shapes.items():
            eligible = self._fleet.eligible(self._entitlements[name].selector)
            for shape in shapes:
                if any(
                    not eligible[worker]
                    or self._assigned[worker] > self.available(worker)
                    for worker in shape.slots
                ):
                    self._release(shape)

    def _missing(self) -> list[Shape]:
        return [
            shape
            for shapes in self._shapes.values()
            for shape in shapes
            if not shape.slots
        ]

    def _place_all(self, missing: list[Shape]) -> bool:
        missing.sort(key=self._difficulty)
        placed = [self._place(shape) for shape in missing]
        return all(placed)

    def _difficulty(self, shape: Shape) -> tuple[int, int, int]:
        """Orders shapes so that those with least choice come first."""
        entitlement = self._entitlements[shape.guarantee]
        order = list(states.Adjacency).index(entitlement.adjacency)
        eligible = self._fleet.eligible(entitlement.selector)
        return (order, sum(eligible), -shape.size)

    def _place(self, shape: Shape) -> bool:
        entitlement = self._entitlements[shape.guarantee]
        room = self._room(entitlement)
        groups: dict[int, Slots] = {}
        for worker, count in room.items():
            group = self._group(entitlement.adjacency, worker)
            groups.setdefault(group, {})[worker] = count
        fitting = [
            (total, group)
            for group, slots in groups.items()
            if (total := sum(slots.values())) >= shape.size
        ]
        if not fitting:
            return False
        slots = groups[min(fitting)[1]]
        needed = shape.size
        # Few workers in a shape, and the best filled ones.
        order = sorted(
            slots, key=lambda w: (slots[w] < needed, _waste(slots[w], needed))
        )
        for worker in order:
            count = min(slots[worker], needed)
            shape.slots[worker] = count
            self._assigned[worker] += count
            needed -= count
            if not needed:
                break
        return True

    def _room(self, entitlement: Entitlement) -> Slots:
        eligible = self._fleet.eligible(entitlement.selector)
        accelerators = self._fleet.accelerators
        room = {}
        for worker, capacity in enumerate(accelerators):
            if capacity and eligible[worker]:
                count = (
                    capacity - self._pinned[worker] - self._assigned[worker]
                )
                if count > 0:
                    room[worker] = count
        return room

    def _rebuild(self) -> bool:
        """Places all shapes anew, keeping the old proof if that is no worse.

        Greedy repair can fail where another arrangement exists.
        """
        saved = self._save()
        before = len(self._missing())
        for shapes in self._shapes.values():
            for shape in shapes:
                self._release(shape)
        if self._place_all(self._missing()):
            return True
        if len(self._missing()) >= before:
            self._load(saved)
        return False


def _waste(available: int, needed: int) -> int:
    return available - needed if available >= needed else -available
