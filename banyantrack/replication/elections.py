"""Elections: when to stand, how to vote, when to stop leading."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.core import states
from banyantrack.generated.replication import ttypes
from banyantrack.replication import errors
from banyantrack.replication import quorum
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.replication import replica

# Members look this many times in an election timeout whether it is over.
CHECKS_PER_TIMEOUT = 10
# Syncs take some ten milliseconds; a leader whose own take this long holds
# everyone up.
SLOW_SYNC_S = 0.15
# A leader that could not leave the lead tries again after this.
SLOW_DISK_PAUSE_S = 3.0
_LOG = logging.getLogger(__name__)


class Elections:
    """Starts elections for one member and checks its leadership.

    Args:
        owner: The member.
    """

    def __init__(self, owner: replica.Replica) -> None:
        self._owner = owner
        self._timeout_s = self._draw_timeout()
        self._disk_checked_s = float('-inf')
        self._tried_s = float('-inf')

    async def run(self) -> None:
        """Watches the time until cancelled."""
        pause_s = self._owner.options.election_timeout_s / CHECKS_PER_TIMEOUT
        while True:
            await curio.sleep(pause_s)
            if self._owner.is_leader:
                await self._check_quorum()
                await self._check_disk()
            elif self._is_due():
                self._timeout_s = self._draw_timeout()
                self._tried_s = clock.steady_s()
                await _campaign_if_possible(self._owner)

    def _draw_timeout(self) -> float:
        shortest_s = self._owner.options.election_timeout_s
        return self._owner.rng.uniform(shortest_s, 2 * shortest_s)

    def _is_due(self) -> bool:
        if self._owner.role is states.Role.LEARNER:
            return False
        # An own try says nothing of the leader: a member that counted it as
        # news would refuse its vote to others.
        since_s = max(self._owner.heard_at, self._tried_s)
        return clock.steady_s() - since_s >= self._timeout_s

    async def _check_disk(self) -> None:
        """Leaves the lead to a member whose disk is not as slow or full."""
        if self._owner.sync_s < SLOW_SYNC_S and not self._owner.disk_full:
            return
        now_s = clock.steady_s()
        if now_s < self._disk_checked_s + SLOW_DISK_PAUSE_S:
            return
        self._disk_checked_s = now_s
        logs.event(
            _LOG,
            'disk_full' if self._owner.disk_full else 'disk_slow',
            level=logging.WARNING,
            term=self._owner.term,
            sync_s=self._owner.sync_s,
        )
        await self._owner.spawn(self._hand_over)

    async def _hand_over(self) -> None:
        timeout_s = self._owner.options.election_timeout_s
        done = await self._owner.hand_over(timeout_s=timeout_s)
        logs.event(_LOG, 'leadership_handed_over', done=done)

    async def _check_quorum(self) -> None:
        """Stops leading before another member can have been elected."""
        silent_s = clock.steady_s() - self._owner.quorum_contact_at
        if silent_s < self._owner.options.election_timeout_s:
            return
        logs.event(
            _LOG,
            'quorum_lost',
            level=logging.WARNING,
            term=self._owner.term,
            silent_s=silent_s,
        )
        await self._owner.become_follower(self._owner.term, None)


async def campaign(owner: replica.Replica, *, hand_over: bool = False) -> None:
    """Stands for election, after asking whether it could be won.

    Args:
        owner: The member.
        hand_over: Whether the leader asked for it.
    """
    if not hand_over and not await _ask(owner, pre_vote=True):
        return
    if owner.is_leader:
        return
    owner.become_candidate()
    term = owner.term
    won = await _ask(owner, pre_vote=False, hand_over=hand_over)
    if won and owner.term == term and owner.role is states.Role.CANDIDATE:
        await owner.become_leader()


async def _ask(
    owner: replica.Replica, *, pre_vote: bool, hand_over: bool = False
) -> bool:
    """Asks all voters at once; returns whether a quorum agrees."""
    membership = owner.membership
    own_id = owner.member.member_id
    term = owner.term
    granted = {own_id}
    replies = curio.Queue()
    asked = [
        member
        for member in quorum.all_members(membership)
        if member.member_id in quorum.voter_ids(membership)
        and member.member_id != own_id
    ]
    for member in asked:
        request = ttypes.VoteRequest(
            sender=own_id,
            target=member.member_id,
            term=term + 1 if pre_vote else term,
            last_index=owner.storage.log.last_index,
            last_term=owner.storage.log.last_term,
            pre_vote=pre_vote,
            hand_over=hand_over,
        )
        await owner.spawn(_ask_one, owner, member, request, replies)
    for _ in asked:
        if quorum.has_quorum(membership, granted):
            break
        member_id, reply = await replies.get()
        if reply is None:
            continue
        if reply.term > owner.term:
            await owner.become_follower(reply.term, None)
            return False
        if reply.granted:
            granted.add(member_id)
    return owner.term == term and quorum.has_quorum(membership, granted)


async def _ask_one(
    owner: replica.Replica,
    member: ttypes.Member,
    request: ttypes.VoteRequest,
    replies: curio.Queue,
) -> None:
    try:
        reply = await owner.transport.call(
            member.address,
            request,
            timeout_s=owner.options.election_timeout_s,
        )
    except (rpc.TransportError, rpc.CallError):
        reply = None
    await replies.put((member.member_id, reply))


async def receive_vote(
    owner: replica.Replica, request: ttypes.VoteRequest
) -> ttypes.VoteReply:
    """Answers a candidate.

    Args:
        owner: The member that is asked.
        request: The candidate's request.
    """
    if request.target != owner.member.member_id:
        # Meant for the member that had this address before.
        return ttypes.VoteReply(term=0, granted=False)
    if not request.hand_over and _has_leader(owner):
        return ttypes.VoteReply(term=owner.term, granted=False)
    if request.pre_vote:
        granted = request.term > owner.term and _is_current(owner, request)
        return ttypes.VoteReply(term=owner.term, granted=granted)
    if request.term > owner.term:
        await owner.become_follower(request.term, None)
    granted = (
        request.term == owner.term
        and owner.storage.voted_for in ('', request.sender)
        and _is_current(owner, request)
    )
    if granted:
        owner.save_term(request.term, request.sender)
        owner.hear_leader()
    return ttypes.VoteReply(term=owner.term, granted=granted)


def _has_leader(owner: replica.Replica) -> bool:
    if owner.is_leader:
        return True
    silent_s = clock.steady_s() - owner.heard_at
    return (
        owner.leader is not None
        and silent_s < owner.options.election_timeout_s
    )


def _is_current(owner: replica.Replica, request: ttypes.VoteRequest) -> bool:
    """Whether the candidate's log is at least as new as the own one."""
    log = owner.storage.log
    return (request.last_term, request.last_index) >= (
        log.last_term,
        log.last_index,
    )


async def receive_hand_over(
    owner: replica.Replica, request: ttypes.HandOverRequest
) -> ttypes.HandOverReply:
    """Stands for election because the leader stops."""
    if (
        request.target == owner.member.member_id
        and request.term == owner.term
        and owner.role is states.Role.FOLLOWER
    ):
        await owner.spawn(_campaign_now, owner)
    return ttypes.HandOverReply(term=owner.term)


async def _campaign_now(owner: replica.Replica) -> None:
    await _campaign_if_possible(owner, hand_over=True)


async def _campaign_if_possible(
    owner: replica.Replica, *, hand_over: bool = False
) -> None:
    """Stands for election, unless the disk has no room for the vote."""
    try:
        await campaign(owner, hand_over=hand_over)
    except errors.DiskFullError as error:
        logs.event(_LOG, 'disk_full', level=logging.ERROR, error=error)
