"""Interfaces, options and results of the replicated log."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import states

if typing.TYPE_CHECKING:
    from banyantrack.generated.replication import ttypes


class StateMachine(typing.Protocol):
    """Deterministic state that each member computes from the log."""

    def apply(self, index: int, payload: bytes) -> object:
        """Applies one entry; the result may depend on state and entry only.

        Args:
            index: Index of the entry.
            payload: The proposed payload.

        Returns:
            The result that is returned to the proposer.
        """

    def snapshot(self) -> bytes:
        """Returns the serialized state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""


class Transport(typing.Protocol):
    """Sends requests to other members."""

    async def call(
        self, address: str, request: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Sends a request and returns the reply.

        Raises:
            rpc.TransportError: If there is no reply within `timeout_s`.
            rpc.CallError: If the member replies with an error.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Timeouts and size limits.

    Attributes:
        election_timeout_s: Shortest time without a leader before an
            election; a leader without a quorum for that long steps down.
        heartbeat_s: Longest time between two messages to a peer.
        snapshot_entries: Number of entries applied between two snapshots.
        snapshot_chunk_bytes: Bytes of a snapshot in one message.
        append_bytes: Payload bytes of the entries in one message or batch.
        group_commit: Whether queued proposals are written and synced as one
            batch.
        auto_admit: Names of members that become voters once they have
            caught up, without an operator's command.
        target_voters: Number of voters up to which any learner that has
            caught up is promoted; at that number, a learner replaces a
            voter that has not answered for `peers.SILENT_VOTER_TIMEOUT_S`.
            0 leaves voters to operators and `auto_admit`.
    """

    election_timeout_s: float = 0.5
    heartbeat_s: float = 0.12
    snapshot_entries: int = 5000
    snapshot_chunk_bytes: int = 65536
    append_bytes: int = 262144
    group_commit: bool = True
    auto_admit: frozenset[str] = frozenset()
    target_voters: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Outcome of a proposal.

    Attributes:
        index: Index of its entry.
        result: Result of the state machine; None for an entry without a
            command.
    """

    index: int
    result: object


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaStatus:
    """State of one member from its own view.

    Attributes:
        member_id: Its id.
        role: Its role.
        term: Its term.
        leader: Leader of the term, or None if it is unknown.
        commit_index: Index of the last entry known to be committed.
        applied_index: Index of the last entry applied to the state machine.
        membership: Latest membership in its log.
        reachable: Ids of members that answered the leader within two
            election timeouts; empty on other members.
        survivable_losses: How many more voters may fail without losing the
            quorum, negative without a quorum; None if this member does not
            lead.
    """

    member_id: str
    role: states.Role
    term: int
    leader: ttypes.Member | None
    commit_index: int
    applied_index: int
    membership: ttypes.Membership
    reachable: frozenset[str]
    survivable_losses: int | None
