"""Proposes operators' orders to evacuate availability zones."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import logs
from banyantrack.generated.workload import ttypes
from banyantrack.replication import errors as replication_errors
from banyantrack.workload import evacuations
from banyantrack.workload import guarantees

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.core import findings
    from banyantrack.replication import replica as replica_module
    from banyantrack.workload import state as state_module

# Time for an order to be committed. A leader that has just been deposed never
# commits it, and an operator tries other members for 4 s at least.
ORDER_TIMEOUT_S = 2.0
_LOG = logging.getLogger(__name__)


class EvacuationOrders:
    """Checks orders and proposes them, at the leader.

    Args:
        replica: The member.
        state: The replicated state of jobs and evacuations.
        propose: Proposes a command and returns its result; raises
            `ReplicationError` if it is not committed.
        zones: Availability zones that can be evacuated; empty for any.
        other_zones: Returns zones of workers that `state` does not hold.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        state: state_module.WorkState,
        propose: collections.abc.Callable[
            [ttypes.WorkCommand], collections.abc.Awaitable[typing.Any]
        ],
        *,
        zones: collections.abc.Sequence[str] = (),
        other_zones: collections.abc.Callable[[], set[str]] = set,
    ) -> None:
        self._replica = replica
        self._state = state
        self._propose = propose
        self._zones = zones
        self._other_zones = other_zones

    async def begin(
        self, zone: str, requester: str, found: findings.Findings
    ) -> evacuations.Verdict | None:
        """Orders that no new runs start on the workers of a zone; idempotent.

        Args:
            zone: The zone.
            requester: Who gives the order.
            found: Receives a finding if there is no such zone.

        Returns:
            The outcome; None if there is no such zone.

        Raises:
            ReplicationError: If it is not committed.
        """
        if not self._replica.ready:
            raise self._replica.not_leader_error()
        known = {worker.zone for worker in self._state.workers.values()}
        known |= self._other_zones()
        known |= self._state.evacuations.in_force.keys()
        evacuations.check_zone(zone, self._zones, known, found)
        if found.found:
            return None
        return await self._order(zone, requester, end=False)

    async def end(self, zone: str, requester: str) -> None:
        """Ends the evacuation of a zone, if there is one; idempotent.

        Args:
            zone: The zone.
            requester: Who gives the order.

        Raises:
            ReplicationError: If it is not committed.
        """
        if not self._replica.ready:
            raise self._replica.not_leader_error()
        await self._order(zone, requester, end=True)

    async def _order(
        self, zone: str, requester: str, *, end: bool
    ) -> evacuations.Verdict:
        # An order that changes nothing is proposed as well, so that its
        # acknowledgement shows that this member still leads, and that no
        # earlier order is applied after it.
        command = ttypes.WorkCommand(
            evacuation=ttypes.EvacuationCommand(
                zone=zone, requester=requester, end=end
            )
        )
        try:
            async with curio.timeout_after(ORDER_TIMEOUT_S):
                verdict = await self._propose(command)
        except curio.TaskTimeout:
            raise replication_errors.UnknownOutcomeError(
                f'not committed within {ORDER_TIMEOUT_S} s'
            ) from None
        evacuation = self._state.evacuations.in_force.get(zone)
        workers = [
            worker
            for worker in self._state.workers.values()
            if worker.zone == zone
        ]
        logs.event(
            _LOG,
            'evacuation_end_ordered' if end else 'evacuation_ordered',
            zone=zone,
            requester=requester,
            verdict=verdict.value,
            accepted_ms=evacuation.accepted_ms if evacuation else None,
            in_force=len(self._state.evacuations.in_force),
            affected=','.join(guarantees.unproven_customers(self._state))
            or None,
            workers=len(workers),
            runs=sum(
                len(self._state.live_runs(w.worker_id, w.incarnation))
                for w in workers
            ),
        )
        return verdict
