"""Admission of members whose storage is empty."""

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

    from banyantrack.replication import replica

JOIN_RETRY_S = 0.3
# Election timeouts without a leader after which a learner asks again.
SILENT_TIMEOUTS = 4


async def ask_for_admission(
    owner: replica.Replica, contacts: collections.abc.Iterable[str]
) -> None:
    """Asks whenever a member needs it; until cancelled.

    Args:
        owner: The member.
        contacts: RPC addresses of members that may know the leader.
    """
    asked: list[str] = []
    while True:
        if not asked or not _needs_admission(owner):
            own = owner.member.address
            asked = [address for address in contacts if address != own]
            await curio.sleep(JOIN_RETRY_S)
            continue
        reply = await _ask(owner, asked.pop(0))
        if reply and not reply.accepted and reply.leader_address:
            asked.insert(0, reply.leader_address)
            await curio.sleep(JOIN_RETRY_S)


def _needs_admission(owner: replica.Replica) -> bool:
    """Whether no leader sends to a member that should be a learner.

    The entry that made it a learner may have been replaced by another
    leader, which then knows nothing of it.
    """
    if owner.storage.is_empty and not owner.membership.voters:
        return True
    own_id = owner.member.member_id
    learners = {member.member_id for member in owner.membership.learners}
    silent_s = clock.steady_s() - owner.heard_at
    limit_s = SILENT_TIMEOUTS * owner.options.election_timeout_s
    if silent_s <= limit_s or owner.is_leader:
        return False
    # Where members come and go by themselves, one that was removed while it
    # was away still takes itself for a voter.
    return own_id in learners or owner.options.target_voters > 0


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
