"""Decides which control member a worker reports to.

Load: a fleet with more workers than the leader has file descriptors and
processor time for. Its workers then report to the other members in turn, and
a member forwards only what changes the record of a worker.

Invariant: a member answers a report itself only if the replicated record of
the worker says the same, so the leader knows what is acknowledged. That holds
for as long as the record does: an entry of the log replaces it, and a member
that the leader has not contacted for `MAX_LEADER_SILENCE_S` may lack such an
entry and answers nothing itself. A departure or a draining worker is always
forwarded.
"""

from __future__ import annotations

import typing
import zlib

from banyantrack.core import clock
from banyantrack.generated.workload import ttypes
from banyantrack.replication import quorum

if typing.TYPE_CHECKING:
    from banyantrack.replication import replica as replica_module
    from banyantrack.workload import state as state_module

# A member answers reports without the leader for this long after the leader's
# last message; the leader sends one several times as often.
MAX_LEADER_SILENCE_S = 0.5


class ReportSpread:
    """Spreads the reports of a large fleet over the control members.

    Args:
        replica: The member.
        state: The replicated state.
        leader_reports: Number of workers up to which all report to the
            leader.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        state: state_module.WorkState,
        leader_reports: int,
    ) -> None:
        self._replica = replica
        self._state = state
        self._leader_reports = leader_reports

    def receiver(self, worker_id: str) -> str:
        """Returns the RPC address of the member for a worker's next reports.

        It is empty if none is known. A worker that reports to a member other
        than the leader stays there; it has chosen one that answers.
        """
        replica = self._replica
        leader = replica.leader
        if not self._is_spread():
            return '' if leader is None else leader.address
        if not replica.is_leader:
            return replica.member.address
        others = sorted(
            member.address
            for member in quorum.all_members(replica.membership)
            if member.member_id != replica.member.member_id
            and self._is_reachable(member.member_id)
        )
        if not others:
            return replica.member.address
        return others[zlib.crc32(worker_id.encode()) % len(others)]

    def is_known(self, report: ttypes.WorkerReport) -> bool:
        """Whether the replicated record of a worker says what a report does.

        Args:
            report: A report to a member that does not lead.
        """
        worker = report.worker
        known = self._state.workers.get(worker.worker_id)
        if (
            known is None
            or not self._is_spread()
            or worker.state != ttypes.WorkerState.READY
            # Only the leader keeps until when a worker is cold.
            or report.cold_remaining_ms
            or not self._hears_leader()
        ):
            return False
        # The record holds the sequence of the report that changed it last.
        worker.sequence = known.sequence
        return worker == known

    def _is_spread(self) -> bool:
        return len(self._state.workers) > self._leader_reports

    def _hears_leader(self) -> bool:
        silent_s = clock.steady_s() - self._replica.election_timer_reset_at
        return (
            self._replica.leader is not None
            and not self._replica.is_leader
            and silent_s < MAX_LEADER_SILENCE_S
        )

    def _is_reachable(self, member_id: str) -> bool:
        peer = self._replica.peer(member_id)
        return peer is not None and peer.reachable
