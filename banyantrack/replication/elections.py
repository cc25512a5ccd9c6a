"""Leader election: election timeouts, votes, check-quorum and hand-over."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.core import states
from banyantrack.generated.replication import ttypes
from banyantrack.replication import errors
from banyantrack.replication import peers
from banyantrack.replication import quorum
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.replication import replica as replica_module

# Number of checks in the shortest election timeout.
CHECKS_PER_TIMEOUT = 10
# Duration of a log sync from which a leader hands over leadership, since each
# of its commits waits for the sync. Syncs usually take about 10 ms.
SLOW_SYNC_S = 0.15
# A peer is faster if it appends entries within this share of the duration of
# the leader's sync.
MAX_FAST_PEER_SHARE = 0.5
# Delay before a pre-vote that failed is repeated, as a share of an election
# timeout.
PRE_VOTE_RETRY_SHARE = 0.3
# Delay before a leader with a slow or full disk tries again to hand over.
HAND_OVER_RETRY_S = 3.0
_LOG = logging.getLogger(__name__)


class Elections:
    """Starts elections for one member and checks its leadership.

    Args:
        replica: The member.
    """

    def __init__(self, replica: replica_module.Replica) -> None:
        self._replica = replica
        self._timeout_s = self._random_timeout_s()
        self._last_hand_over_s = float('-inf')
        self._last_campaign_s = float('-inf')

    async def run(self) -> None:
        """Checks the election timeout or the leadership until cancelled."""
        interval_s = (
            self._replica.options.election_timeout_s / CHECKS_PER_TIMEOUT
        )
        while True:
            await curio.sleep(interval_s)
            if self._replica.is_leader:
                await self._check_quorum()
                await self._check_disk()
            elif self._election_due():
                self._timeout_s = self._random_timeout_s()
                self._last_campaign_s = clock.steady_s()
                if not await _try_campaign(self._replica):
                    # A pre-vote changes nothing, so it may be repeated soon.
                    self._timeout_s *= PRE_VOTE_RETRY_SHARE

    def _random_timeout_s(self) -> float:
        shortest_s = self._replica.options.election_timeout_s
        return self._replica.rng.uniform(shortest_s, 2 * shortest_s)

    def _election_due(self) -> bool:
        if self._replica.role is states.Role.LEARNER:
            return False
        # A campaign of this member delays its next one without resetting the
        # election timer: after a reset, a member that still names a leader
        # rejects the vote requests of others.
        since_s = max(
            self._replica.election_timer_reset_at, self._last_campaign_s
        )
        return clock.steady_s() - since_s >= self._timeout_s

    async def _check_disk(self) -> None:
        """Hands over leadership if this member's disk is slow or full.

        A leader with a slow disk keeps the leadership if no other voter is
        much faster, since an election then only delays commits.
        """
        if not self._replica.disk_full and not self._has_slower_disk():
            return
        now_s = clock.steady_s()
        if now_s < self._last_hand_over_s + HAND_OVER_RETRY_S:
            return
        self._last_hand_over_s = now_s
        logs.event(
            _LOG,
            'disk_full' if self._replica.disk_full else 'disk_slow',
            level=logging.WARNING,
            term=self._replica.term,
            sync_s=self._replica.sync_duration_s,
        )
        await self._replica.spawn(self._hand_over)

    def _has_slower_disk(self) -> bool:
        """Whether this member's disk is slow and that of a peer is not."""
        sync_s = self._replica.sync_duration_s
        return sync_s >= SLOW_SYNC_S and any(
            peer.reachable
            and peer.append_duration_s < MAX_FAST_PEER_SHARE * sync_s
            for peer in peers.voting_peers(self._replica)
        )

    async def _hand_over(self) -> None:
        timeout_s = self._replica.options.election_timeout_s
        done = await self._replica.hand_over(timeout_s=timeout_s)
        logs.event(_LOG, 'leadership_handed_over', done=done)

    async def _check_quorum(self) -> None:
        """Steps down if no quorum answered within the election timeout."""
        silent_s = clock.steady_s() - self._replica.quorum_contact_at
        if silent_s < self._replica.options.election_timeout_s:
            return
        logs.event(
            _LOG,
            'quorum_lost',
            level=logging.WARNING,
            term=self._replica.term,
            silent_s=silent_s,
        )
        await self._replica.become_follower(self._replica.term, None)


async def campaign(
    replica: replica_module.Replica, *, hand_over: bool = False
) -> bool:
    """Runs an election, with a pre-vote unless the leader requested it.

    Args:
        replica: The member.
        hand_over: Whether the leader requested it, to hand over leadership.

    Returns:
        Whether a quorum would vote for this member.
    """
    if not hand_over and not await _request_votes(replica, pre_vote=True):
        return False
    if replica.is_leader:
        return True
    replica.become_candidate()
    term = replica.term
    won = await _request_votes(replica, pre_vote=False, hand_over=hand_over)
    if won and replica.term == term and replica.role is states.Role.CANDIDATE:
        await replica.become_leader()
    return True


async def _request_votes(
    replica: replica_module.Replica, *, pre_vote: bool, hand_over: bool = False
) -> bool:
    """Requests votes in parallel; returns whether a quorum granted them."""
    membership = replica.membership
    own_id = replica.member.member_id
    term = replica.term
    granted = {own_id}
    replies = curio.Queue()
    other_voters = [
        member
        for member in quorum.all_members(membership)
        if member.member_id in quorum.voter_ids(membership)
        and member.member_id != own_id
    ]
    for member in other_voters:
        request = ttypes.VoteRequest(
            sender=own_id,
            target=member.member_id,
            term=term + 1 if pre_vote else term,
            last_index=replica.storage.log.last_index,
            last_term=replica.storage.log.last_term,
            pre_vote=pre_vote,
            hand_over=hand_over,
        )
        await replica.spawn(_request_vote, replica, member, request, replies)
    for _ in other_voters:
        if quorum.has_quorum(membership, granted):
            break
        member_id, reply = await replies.get()
        if reply is None:
            continue
        if reply.term > replica.term:
            await replica.become_follower(reply.term, None)
            return False
        if reply.granted:
            granted.add(member_id)
    return replica.term == term and quorum.has_quorum(membership, granted)


async def _request_vote(
    replica: replica_module.Replica,
    member: ttypes.Member,
    request: ttypes.VoteRequest,
    replies: curio.Queue,
) -> None:
    try:
        reply = await replica.transport.call(
            member.address,
            request,
            timeout_s=replica.options.election_timeout_s,
        )
    except (rpc.TransportError, rpc.CallError):
        reply = None
    await replies.put((member.member_id, reply))


async def receive_vote(
    replica: replica_module.Replica, request: ttypes.VoteRequest
) -> ttypes.VoteReply:
    """Handles RequestVote, also of a pre-vote.

    Args:
        replica: The member that receives the request.
        request: The candidate's request.
    """
    if request.target != replica.member.member_id:
        # The request is for another member that had this address before.
        return ttypes.VoteReply(term=0, granted=False)
    if not request.hand_over and (
        _has_live_leader(replica) or _may_have_answered_leader(replica)
    ):
        return ttypes.VoteReply(term=replica.term, granted=False)
    if request.pre_vote:
        granted = request.term > replica.term and _is_log_up_to_date(
            replica, request
        )
        return ttypes.VoteReply(term=replica.term, granted=granted)
    if request.term > replica.term:
        await replica.become_follower(request.term, None)
    granted = (
        request.term == replica.term
        and replica.storage.voted_for in ('', request.sender)
        and _is_log_up_to_date(replica, request)
    )
    if granted:
        replica.save_term(request.term, request.sender)
        replica.reset_election_timer()
    return ttypes.VoteReply(term=replica.term, granted=granted)


def _has_live_leader(replica: replica_module.Replica) -> bool:
    if replica.is_leader:
        return True
    silent_s = clock.steady_s() - replica.election_timer_reset_at
    return (
        replica.leader is not None
        and silent_s < replica.options.election_timeout_s
    )


def _may_have_answered_leader(replica: replica_module.Replica) -> bool:
    """Whether a leader may count on an answer from before the last start.

    The lease of that leader forbids a vote for another one.
    """
    return replica.has_history and (
        clock.steady_s() - replica.started_at
        < replica.options.election_timeout_s
    )


def _is_log_up_to_date(
    replica: replica_module.Replica, request: ttypes.VoteRequest
) -> bool:
    """Whether the candidate's log is at least as up-to-date as ours."""
    log = replica.storage.log
    return (request.last_term, request.last_index) >= (
        log.last_term,
        log.last_index,
    )


async def receive_hand_over(
    replica: replica_module.Replica, request: ttypes.HandOverRequest
) -> ttypes.HandOverReply:
    """Starts an election at once, since the leader hands over."""
    if (
        request.target == replica.member.member_id
        and request.term == replica.term
        and replica.role is states.Role.FOLLOWER
    ):
        await replica.spawn(_campaign_for_hand_over, replica)
    return ttypes.HandOverReply(term=replica.term)


async def _campaign_for_hand_over(replica: replica_module.Replica) -> None:
    await _try_campaign(replica, hand_over=True)


async def _try_campaign(
    replica: replica_module.Replica, *, hand_over: bool = False
) -> bool:
    """Runs an election; logs an error if the disk is too full to vote.

    Returns:
        Whether votes were requested, not only a pre-vote.
    """
    try:
        return await campaign(replica, hand_over=hand_over)
    except errors.DiskFullError as error:
        logs.event(_LOG, 'disk_full', level=logging.ERROR, error=error)
        return True
