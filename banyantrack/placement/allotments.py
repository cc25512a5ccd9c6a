"""Allotments of workers to gangs, mirrored from the replicated state."""

from __future__ import annotations

import array
import collections
import typing

from banyantrack.core import states
from banyantrack.generated.intent import ttypes as intent
from banyantrack.placement import fleet as fleet_module
from banyantrack.placement import packing
from banyantrack.placement import witness as witness_module

if typing.TYPE_CHECKING:
    from banyantrack.intent import state as state_module

Kind = intent.ObjectKind
Phase = intent.JobPhase


class Allotment:
    """Workers and resources of one placed gang.

    Attributes:
        epoch: Epoch of the placement; 0 until its command is applied.
        workers: Worker number of each member.
        gang: Request that it was placed for.
        customer: Name of the customer that the job belongs to.
        guarantee: Guarantee that it is charged to; empty if it is borrowed.
        urgent: Whether the job is urgent.
        checkpointable: Whether the job can write a checkpoint.
        parameters: Parameters that its workers receive, or None.
    """

    __slots__ = (
        'checkpointable',
        'parameters',
        'epoch',
        'workers',
        'gang',
        'customer',
        'guarantee',
        'urgent',
    )

    def __init__(
        self,
        epoch: int,
        workers: array.array,
        job: intent.Job,
        guarantee: str,
    ) -> None:
        self.epoch = epoch
        self.workers = workers
        self.gang = gang_of(job)
        self.customer = job.customer
        self.guarantee = guarantee
        self.urgent = job.urgent
        self.checkpointable = job.checkpointable
        self.parameters = job.parameters or None

    @property
    def borrowed(self) -> bool:
        """Whether the gang is charged to no guarantee and so reclaimable."""
        return not self.guarantee

    def by_worker(self) -> dict[int, int]:
        """Returns the accelerators of the gang by worker number."""
        return accelerators_by_worker(self.workers, self.gang)


def accelerators_by_worker(
    workers: typing.Iterable[int], gang: packing.GangRequest
) -> dict[int, int]:
    """Returns the accelerators that a gang uses, by worker number.

    Args:
        workers: Worker number of each member.
        gang: Request of the gang.
    """
    by_worker: dict[int, int] = {}
    if gang.need.accelerators:
        for worker in workers:
            by_worker[worker] = (
                by_worker.get(worker, 0) + gang.need.accelerators
            )
    return by_worker


def gang_of(job: intent.Job) -> packing.GangRequest:
    """Returns the request of a job's gang."""
    return packing.GangRequest(
        members=job.members,
        need=fleet_module.Need(
            job.accelerators, job.processors, job.memory_mb
        ),
        adjacency=states.Adjacency(job.adjacency),
        selector=job.selector or '',
    )


class Ledger:
    """Accounts for the use of the fleet by gangs, customers and guarantees.

    Args:
        state: The replicated state.
        default_selector: Label selector that every worker has to match.

    Attributes:
        fleet: Capacity, use and labels of the workers.
        witness: Witness of all guarantees.
        allotments: Allotments by job name.
        waiting: Status of each waiting job by job name.
        used_by_customer: Accelerators in use by customer name.
        used_by_guarantee: Accelerators charged by guarantee name.
    """

    def __init__(
        self, state: state_module.IntentState, default_selector: str
    ) -> None:
        self._state = state
        self.fleet = fleet_module.Fleet(default_selector)
        self.witness = witness_module.Witness(self.fleet)
        self.allotments: dict[str, Allotment] = {}
        self.waiting: dict[str, intent.JobStatus] = {}
        self.used_by_customer: dict[str, int] = collections.Counter()
        self.used_by_guarantee: dict[str, int] = collections.Counter()
        self._guarantees: dict[str, list[str]] = {}
        state.mark_all_dirty()

    def sync(self) -> bool:
        """Applies the changes of the replicated state since the last call.

        Returns:
            Whether anything changed.

        Raises:
            InvariantError: If the witness is not valid afterwards.
        """
        dirty = self._state.take_dirty()
        zones = frozenset(self._state.work.evacuations.in_force)
        zones_changed = self.fleet.set_closed_zones(zones)
        if not dirty.jobs and not dirty.objects and not zones_changed:
            return False
        for kind, name in sorted(dirty.objects):
            self._sync_object(kind, name)
        for name in sorted(dirty.jobs):
            self._sync_job(name)
        self.witness.repair()
        self.witness.check()
        return True

    def job(self, name: str) -> intent.Job | None:
        """Returns the specification of a job, or None if it was deleted."""
        stored = self._state.get(Kind.JOB, name)
        return None if stored is None else stored.job

    def grant(self, name: str, allotment: Allotment) -> None:
        """Adds an allotment and reserves its resources."""
        gang = allotment.gang
        self.fleet.allocate(
            allotment.workers, gang.need, borrowed=allotment.borrowed
        )
        self.allotments[name] = allotment
        self.waiting.pop(name, None)
        self.used_by_customer[allotment.customer] += gang.accelerators
        if allotment.guarantee:
            self.witness.charge(allotment.by_worker())
            self._add_guarantee_usage(allotment.guarantee, gang.accelerators)

    def release(self, name: str) -> None:
        """Removes an allotment and frees its resources."""
        allotment = self.allotments.pop(name)
        gang = allotment.gang
        self.fleet.deallocate(
            allotment.workers, gang.need, borrowed=allotment.borrowed
        )
        self.used_by_customer[allotment.customer] -= gang.accelerators
        if allotment.guarantee:
            self.witness.charge(allotment.by_worker(), -1)
            self._add_guarantee_usage(allotment.guarantee, -gang.accelerators)

    def entitlement_after(
        self, guarantee: str, accelerators: int
    ) -> witness_module.Entitlement | None:
        """Returns the entitlement of a guarantee after a charge.

        Args:
            guarantee: Name of the guarantee.
            accelerators: Accelerators to charge in addition; 0 for none.

        Returns:
            None if there is no such guarantee or it does not cover them.
        """
        stored = self._state.get(Kind.GUARANTEE, guarantee)
        if stored is None:
            return None
        found = stored.guarantee
        used = self.used_by_guarantee[guarantee] + accelerators
        remaining = found.count * found.accelerators - used
        if remaining < 0 and accelerators > 0:
            return None
        return witness_module.Entitlement(
            guarantee=guarantee,
            shape=found.accelerators,
            remaining=max(remaining, 0),
            adjacency=states.Adjacency(found.adjacency),
            selector=found.selector or '',
        )

    def guarantees_of(self, customer: str) -> list[str]:
        """Returns the names of a customer's guarantees, sorted."""
        return self._guarantees.get(customer, [])

    def weight(self, customer: str) -> int:
        """Returns the weight of a customer; 1 if it is unknown."""
        stored = self._state.get(Kind.CUSTOMER, customer)
        return stored.customer.weight if stored else 1

    def quota(self, customer: str) -> int:
        """Returns the quota of a customer in accelerators; 0 for none."""
        stored = self._state.get(Kind.CUSTOMER, customer)
        return stored.customer.quota_accelerators if stored else 0

    def _add_guarantee_usage(self, guarantee: str, accelerators: int) -> None:
        self.used_by_guarantee[guarantee] += accelerators
        self._update_entitlement(guarantee)

    def _update_entitlement(self, guarantee: str) -> None:
        entitlement = self.entitlement_after(guarantee, 0)
        if entitlement is None:
            self.witness.remove(guarantee)
        else:
            self.witness.set_entitlement(entitlement)

    def _sync_object(self, kind: int, name: str) -> None:
        if kind == Kind.GUARANTEE:
            self._update_entitlement(name)
            self._index_guarantees()
        elif kind in (Kind.WORKER, Kind.WORKER_LABELS):
            self._sync_worker(name)

    def _index_guarantees(self) -> None:
        self._guarantees = {}
        for stored in self._state.of_kind(Kind.GUARANTEE):
            names = self._guarantees.setdefault(stored.guarantee.customer, [])
            names.append(stored.name)
        for names in self._guarantees.values():
            names.sort()

    def _sync_worker(self, name: str) -> None:
        stored = self._state.get(Kind.WORKER, name)
        number = self.fleet.number(name)
        if stored is None:
            if number is not None:
                self.fleet.remove(number)
            return
        operators = self._state.get(Kind.WORKER_LABELS, name)
        labels = dict(stored.worker.own_labels or {})
        if operators is not None:
            labels.update(operators.labels.labels)
        self.fleet.put(stored.worker.number, name, stored.worker, labels)

    def _sync_job(self, name: str) -> None:
        status = self._state.jobs.get(name)
        job = self.job(name)
        placed = status is not None and status.phase == Phase.PLACED
        existing = self.allotments.get(name)
        if existing is not None:
            if placed and existing.epoch in (0, status.epoch):
                existing.epoch = status.epoch
                return
            self.release(name)
        self.waiting.pop(name, None)
        if placed:
            self._add_placed(name, status, job)
        elif (
            status is not None
            and job is not None
            and status.phase == Phase.WAITING
        ):
            self.waiting[name] = status

    def _add_placed(
        self, name: str, status: intent.JobStatus, job: intent.Job | None
    ) -> None:
        # A cancelled job keeps its workers until it has stopped.
        spec = job or status.spec
        workers = array.array('H', status.workers)
        allotment = Allotment(status.epoch, workers, spec, status.guarantee)
        self.grant(name, allotment)
