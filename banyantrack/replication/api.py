"""What a user of the replicated log provides and gets."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import states

if typing.TYPE_CHECKING:
    from banyantrack.generated.replication import ttypes


class StateMachine(typing.Protocol):
    """State that all members compute from the same entries."""

    def apply(self, index: int, payload: bytes) -> object:
        """Applies one entry; must depend on nothing but state and entry.

        Args:
            index: Index of the entry.
            payload: What was proposed.

        Returns:
            The result that the proposer gets.
        """

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state with one from `snapshot`."""


class Transport(typing.Protocol):
    """Calls between members."""

    async def call(
        self, address: str, request: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Makes one call; raises `rpc.TransportError` without a reply."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Timing and sizes.

    Attributes:
        election_timeout_s: Shortest time without a leader before an
            election; a leader without a quorum for that long steps down.
        heartbeat_s: Longest time between two messages to a follower.
        snapshot_entries: Entries applied between two snapshots.
        snapshot_chunk_bytes: Bytes of a snapshot in one message.
        append_bytes: Bytes of entries in one message or batch.
        group_commit: Whether waiting proposals are synced together.
        auto_admit: Names of members that become voters once they have
            caught up, without an operator's command.
        target_voters: Number of voters up to which any learner that has
            caught up becomes one; a voter that has been silent gives way
            to a further one. 0 leaves that to operators.
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
        result: What the state machine returned.
    """

    index: int
    result: object


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaStatus:
    """State of one member as it sees itself.

    Attributes:
        member_id: Its id.
        role: Its role.
        term: Its term.
        leader: The leader that it follows, if it knows one.
        commit_index: Last index known to be agreed.
        applied_index: Last index in the state machine.
        membership: Members according to its log.
        reachable: Ids of members that answered the leader of late; empty
            on other members.
        survivable_losses: How many more voters may be lost now; None where
            this member does not lead.
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
