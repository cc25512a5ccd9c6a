"""Joining of members that the group does not replicate to."""

from __future__ import annotations

import typing

import curio

from banyantrack.core import clock
from banyantrack.generated.replication import ttypes
from banyantrack.replication import errors
from banyantrack.replication import quorum
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.replication import replica as replica_module

JOIN_RETRY_S = 0.3
# Number of election timeouts without a leader after which a member sends
# another join request.
REJOIN_ELECTION_TIMEOUTS = 4


async def join_when_needed(
    replica: replica_module.Replica, contacts: collections.abc.Iterable[str]
) -> None:
    """Sends join requests whenever the member needs to; until cancelled.

    Args:
        replica: The member.
        contacts: RPC addresses of members that may return the leader's
            address.
    """
    addresses: list[str] = []
    while True:
        if not addresses or not _needs_to_join(replica):
            own_address = replica.member.address
            addresses = [
                address for address in contacts if address != own_address
            ]
            await curio.sleep(JOIN_RETRY_S)
            continue
        reply = await _send_join_request(replica, addresses.pop(0))
        if reply and not reply.accepted and reply.leader_address:
            addresses.insert(0, reply.leader_address)
            await curio.sleep(JOIN_RETRY_S)


def _needs_to_join(replica: replica_module.Replica) -> bool:
    """Whether no leader replicates to a member that should be in the group.

    The entry that added the learner may have been replaced by that of a
    later leader, whose membership then lacks the learner.
    """
    if replica.storage.is_empty and not replica.membership.voters:
        return True
    own_id = replica.member.member_id
    learners = {member.member_id for member in replica.membership.learners}
    silent_s = clock.steady_s() - replica.election_timer_reset_at
    limit_s = REJOIN_ELECTION_TIMEOUTS * replica.options.election_timeout_s
    if silent_s <= limit_s or replica.is_leader:
        return False
    # With automatic membership, a member that was removed while it was
    # unreachable still has a log in which it is a voter.
    return own_id in learners or replica.options.target_voters > 0


async def _send_join_request(
    replica: replica_module.Replica, address: str
) -> ttypes.JoinReply | None:
    try:
        return await replica.transport.call(
            address,
            ttypes.JoinRequest(member=replica.member),
            timeout_s=replica.options.election_timeout_s,
        )
    except (rpc.TransportError, rpc.CallError):
        return None


async def receive_join(
    replica: replica_module.Replica, request: ttypes.JoinRequest
) -> ttypes.JoinReply:
    """Handles a join request: adds the sender as a learner, if leader."""
    if not replica.ready:
        leader = replica.leader
        address = leader.address if leader else ''
        return ttypes.JoinReply(accepted=False, leader_address=address)
    member_ids = {m.member_id for m in quorum.all_members(replica.membership)}
    if request.member.member_id not in member_ids:
        try:
            await replica.add_learner(request.member)
        except errors.ReplicationError:
            return ttypes.JoinReply(accepted=False, leader_address='')
    return ttypes.JoinReply(accepted=True, leader_address='')
