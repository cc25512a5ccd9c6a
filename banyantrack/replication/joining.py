"""Admission of members whose storage is empty."""

from __future__ import annotations

import typing

import curio

from banyantrack.generated.replication import ttypes
from banyantrack.replication import errors
from banyantrack.replication import quorum
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.replication import replica

JOIN_RETRY_S = 0.3


async def ask_for_admission(
    owner: replica.Replica, contacts: collections.abc.Sequence[str]
) -> None:
    """Asks while nothing was ever replicated to a member.

    Args:
        owner: The member.
        contacts: RPC addresses of members that may know the leader.
    """
    asked = list(contacts)
    while owner.storage.is_empty and not owner.membership.voters:
        if not asked:
            asked = list(contacts)
            await curio.sleep(JOIN_RETRY_S)
            continue
        reply = await _ask(owner, asked.pop(0))
        if reply and not reply.accepted and reply.leader_address:
            asked.insert(0, reply.leader_address)
            await curio.sleep(JOIN_RETRY_S)


async def _ask(
    owner: replica.Replica, address: str
) -> ttypes.JoinReply | None:
    try:
        return await owner.transport.call(
            address,
            ttypes.JoinRequest(member=owner.member),
            timeout_s=owner.options.election_timeout_s,
        )
    except (rpc.TransportError, rpc.CallError):
        return None


async def receive_join(
    owner: replica.Replica, request: ttypes.JoinRequest
) -> ttypes.JoinReply:
    """Answers a member whose storage is empty."""
    if not owner.ready:
        leader = owner.leader
        address = leader.address if leader else ''
        return ttypes.JoinReply(accepted=False, leader_address=address)
    known = {m.member_id for m in quorum.all_members(owner.membership)}
    if request.member.member_id not in known:
        try:
            await owner.add_learner(request.member)
        except errors.ReplicationError:
            return ttypes.JoinReply(accepted=False, leader_address='')
    return ttypes.JoinReply(accepted=True, leader_address='')
