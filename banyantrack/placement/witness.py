"""Witness that every guaranteed shape can be claimed at the same time.

The witness assigns to each shape that a customer may still claim concrete
accelerators on concrete workers, disjoint from those of every other shape.
Each of them is free or used by borrowed work that can be reclaimed; none is
used by work that is charged to a guarantee.

The witness is maintained incrementally as work and labels change: only the
shapes whose accelerators a change removes are assigned again.
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

    # Count of accelerators by worker number.
    AcceleratorsByWorker = dict[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Entitlement:
    """The part of a guarantee that may still be claimed.

    Attributes:
        guarantee: Name of the guarantee.
        shape: Accelerators of one whole shape.
        remaining: Accelerators of the guarantee that no work is charged to.
        adjacency: Domain within which the accelerators of a shape lie.
        selector: Label selector of the workers; empty for all.
    """

    guarantee: str
    shape: int
    remaining: int
    adjacency: states.Adjacency
    selector: str

    def sizes(self) -> list[int]:
        """Returns the accelerators of each shape that may be claimed.

        The last shape is a smaller one if work uses part of a shape.
        """
        whole, rest = divmod(self.remaining, self.shape)
        return [self.shape] * whole + ([rest] if rest else [])


@dataclasses.dataclass(slots=True)
class Shape:
    """One shape and the accelerators that are assigned to it.

    Attributes:
        guarantee: Name of the guarantee.
        size: Accelerators of the shape.
        by_worker: Assigned accelerators by worker number; empty if the
            shape has no witness.
    """

    guarantee: str
    size: int
    by_worker: AcceleratorsByWorker


class Change:
    """A change to be checked against the witness.

    Attributes:
        charged: Accelerators that work charged to a guarantee would use, by
            worker number.
        entitlement: Entitlement after the change; None if it stays.
    """

    __slots__ = ('charged', 'entitlement')

    def __init__(
        self, charged: AcceleratorsByWorker, entitlement: Entitlement | None
    ) -> None:
        self.charged = charged
        self.entitlement = entitlement


class Witness:
    """Shapes of all guarantees and the accelerators assigned to them.

    Args:
        workers: Capacity and labels of the workers.
    """

    def __init__(self, workers: fleet.Fleet) -> None:
        self._fleet = workers
        # Accelerators used by work that is charged to a guarantee, by worker.
        self._charged = array.array('i')
        # Accelerators assigned to shapes, by worker.
        self._assigned = array.array('i')
        self._entitlements: dict[str, Entitlement] = {}
        self._shapes: dict[str, list[Shape]] = {}

    @property
    def infeasible_shapes(self) -> dict[str, int]:
        """Number of shapes without a witness, by guarantee; no zeros."""
        missing = {}
        for name, shapes in self._shapes.items():
            count = sum(not shape.by_worker for shape in shapes)
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
        """Returns the entitlement of a guarantee, or None if unknown."""
        return self._entitlements.get(guarantee)

    def available(self, worker: int) -> int:
        """Returns the accelerators that shapes may have on a worker."""
        self._extend_arrays()
        return self._fleet.accelerators[worker] - self._charged[worker]

    def charge(self, by_worker: AcceleratorsByWorker, sign: int = 1) -> None:
        """Records the accelerators of charged work that starts or ends.

        The caller calls `repair` after all changes.

        Args:
            by_worker: Accelerators of the work, by worker number.
            sign: 1 if the work starts, -1 if it ends.
        """
        self._extend_arrays()
        for worker, count in by_worker.items():
            self._charged[worker] += sign * count

    def set_entitlement(self, entitlement: Entitlement) -> None:
        """Adds a guarantee or changes its entitlement.

        The caller calls `repair` after all changes.
        """
        self._entitlements[entitlement.guarantee] = entitlement
        self._resize(entitlement)

    def remove(self, guarantee: str) -> None:
        """Removes a guarantee and its shapes."""
        for shape in self._shapes.pop(guarantee, []):
            self._release(shape)
        self._entitlements.pop(guarantee, None)

    def repair(self) -> bool:
        """Assigns accelerators to the shapes that have lost theirs.

        Returns:
            Whether every shape has a witness.
        """
        self._extend_arrays()
        self._release_invalid()
        missing = self._unassigned_shapes()
        if not missing:
            return True
        if self._assign_all(missing):
            return True
        return self._reassign_all()

    def allows(self, change: Change) -> bool:
        """Whether a change adds no shape without a witness.

        Shapes that have none already do not count against the change. The
        witness itself stays as it is.
        """
        self._extend_arrays()
        if self._keeps_assignments(change):
            return True
        snapshot = self._snapshot()
        before = sum(self.infeasible_shapes.values())
        self.charge(change.charged)
        if change.entitlement is not None:
            self.set_entitlement(change.entitlement)
        self.repair()
        allowed = sum(self.infeasible_shapes.values()) <= before
        self._restore(snapshot)
        self.charge(change.charged, -1)
        return allowed

    def _keeps_assignments(self, change: Change) -> bool:
        """Whether all assignments stay valid under a change.

        This fast path avoids a copy of the witness. Fewer shapes of the same
        sizes, selector and adjacency need no new assignment.
        """
        entitlement = change.entitlement
        if entitlement is not None:
            current = self._entitlements.get(entitlement.guarantee)
            if current is None or current.selector != entitlement.selector:
                return False
            if current.adjacency is not entitlement.adjacency:
                return False
            if not set(entitlement.sizes()) <= set(current.sizes()):
                return False
            if entitlement.remaining > current.remaining:
                return False
        return all(
            self._assigned[worker] + count <= self.available(worker)
            for worker, count in change.charged.items()
        )

    def check(self) -> None:
        """Asserts that the witness is valid for every shape that has one.

        Raises:
            InvariantError: If an assignment is invalid, or the shapes of a
                guarantee do not add up to its entitlement.
        """
        self._extend_arrays()
        assigned: dict[int, int] = collections.defaultdict(int)
        for name, shapes in self._shapes.items():
            entitlement = self._entitlements[name]
            total = 0
            for shape in shapes:
                total += shape.size
                self._check_shape(entitlement, shape)
                for worker, count in shape.by_worker.items():
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
                'worker %s has %d accelerators assigned to shapes, of %d',
                self._fleet.name(worker),
                count,
                self.available(worker),
            )

    def _check_shape(self, entitlement: Entitlement, shape: Shape) -> None:
        if not shape.by_worker:
            return
        eligible = self._fleet.eligible(entitlement.selector)
        errors.check_invariant(
            sum(shape.by_worker.values()) == shape.size
            and all(eligible[worker] for worker in shape.by_worker)
            and self._is_adjacent(entitlement.adjacency, shape.by_worker),
            'witness %s of guarantee %s violates its size, selector or'
            ' adjacency',
            shape.by_worker,
            shape.guarantee,
        )

    def _is_adjacent(
        self, adjacency: states.Adjacency, by_worker: AcceleratorsByWorker
    ) -> bool:
        return len({self._group(adjacency, w) for w in by_worker}) <= 1

    def _group(self, adjacency: states.Adjacency, worker: int) -> int:
        match adjacency:
            case states.Adjacency.WORKER:
                return worker
            case states.Adjacency.RACK:
                return self._fleet.rack_of(worker)
            case states.Adjacency.ZONE:
                return self._fleet.zone_of_rack(self._fleet.rack_of(worker))
        return 0

    def _extend_arrays(self) -> None:
        missing = len(self._fleet) - len(self._charged)
        if missing > 0:
            self._charged.extend([0] * missing)
            self._assigned.extend([0] * missing)

    def _snapshot(self) -> tuple[object, ...]:
        shapes = {
            name: [
                Shape(s.guarantee, s.size, dict(s.by_worker)) for s in found
            ]
            for name, found in self._shapes.items()
        }
        return (
            shapes,
            array.array('i', self._assigned),
            dict(self._entitlements),
        )

    def _restore(self, snapshot: tuple[object, ...]) -> None:
        self._shapes, self._assigned, self._entitlements = snapshot

    def _resize(self, entitlement: Entitlement) -> None:
        """Replaces the shapes of a guarantee, keeping those that still fit.

        A shape keeps its assignment if the entitlement has one of its size.
        """
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
        for worker, count in shape.by_worker.items():
            self._assigned[worker] -= count
        shape.by_worker = {}

    def _release_invalid(self) -> None:
        for name, shapes in self._shapes.items():
            eligible = self._fleet.eligible(self._entitlements[name].selector)
            for shape in shapes:
                if any(
                    not eligible[worker]
                    or self._assigned[worker] > self.available(worker)
                    for worker in shape.by_worker
                ):
                    self._release(shape)

    def _unassigned_shapes(self) -> list[Shape]:
        return [
            shape
            for shapes in self._shapes.values()
            for shape in shapes
            if not shape.by_worker
        ]

    def _assign_all(self, missing: list[Shape]) -> bool:
        missing.sort(key=self._assignment_order)
        placed = [self._assign(shape) for shape in missing]
        return all(placed)

    def _assignment_order(self, shape: Shape) -> tuple[int, int, int]:
        """Sort key of shapes: those with the fewest choices come first."""
        entitlement = self._entitlements[shape.guarantee]
        order = list(states.Adjacency).index(entitlement.adjacency)
        eligible = self._fleet.eligible(entitlement.selector)
        return (order, sum(eligible), -shape.size)

    def _assign(self, shape: Shape) -> bool:
        entitlement = self._entitlements[shape.guarantee]
        unassigned = self._unassigned_accelerators(entitlement)
        groups: dict[int, AcceleratorsByWorker] = {}
        for worker, count in unassigned.items():
            group = self._group(entitlement.adjacency, worker)
            groups.setdefault(group, {})[worker] = count
        fitting = [
            (total, group)
            for group, by_worker in groups.items()
            if (total := sum(by_worker.values())) >= shape.size
        ]
        if not fitting:
            return False
        by_worker = groups[min(fitting)[1]]
        needed = shape.size
        # Prefer a single worker that is filled best, then the largest parts,
        # so that few workers are used.
        order = sorted(
            by_worker,
            key=lambda w: (
                by_worker[w] < needed,
                _fill_key(by_worker[w], needed),
            ),
        )
        for worker in order:
            count = min(by_worker[worker], needed)
            shape.by_worker[worker] = count
            self._assigned[worker] += count
            needed -= count
            if not needed:
                break
        return True

    def _unassigned_accelerators(
        self, entitlement: Entitlement
    ) -> AcceleratorsByWorker:
        eligible = self._fleet.eligible(entitlement.selector)
        accelerators = self._fleet.accelerators
        unassigned = {}
        for worker, capacity in enumerate(accelerators):
            if capacity and eligible[worker]:
                count = (
                    capacity - self._charged[worker] - self._assigned[worker]
                )
                if count > 0:
                    unassigned[worker] = count
        return unassigned

    def _reassign_all(self) -> bool:
        """Assigns all shapes again, for greedy repair may miss a solution.

        The previous assignment is restored if the new one has no fewer
        shapes without a witness.

        Returns:
            Whether every shape has a witness.
        """
        snapshot = self._snapshot()
        before = len(self._unassigned_shapes())
        for shapes in self._shapes.values():
            for shape in shapes:
                self._release(shape)
        if self._assign_all(self._unassigned_shapes()):
            return True
        if len(self._unassigned_shapes()) >= before:
            self._restore(snapshot)
        return False


def _fill_key(available: int, needed: int) -> int:
    """Sort key: least left over, or most available if less than needed."""
    return available - needed if available >= needed else -available
