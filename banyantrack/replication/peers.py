"""Replication from a leader to its peers, and membership changes."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.core import signals
from banyantrack.generated.replication import ttypes
from banyantrack.replication import errors
from banyantrack.replication import quorum
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.replication import replica as replica_module

MAX_VOTERS = 7
# Time without an answer after which a voter may be replaced. A voter that
# restarts with its log answers sooner.
SILENT_VOTER_TIMEOUT_S = 4.0
_LOG = logging.getLogger(__name__)


class PeerProgress:
    """Replication progress of one peer.

    Args:
        member: The peer.
        next_index: Index of the next entry to send.
        last_contact_at: Monotonic time at which the last message that the
            peer answered was sent, or a lower bound of it.

    Attributes:
        match_index: Index of the last entry known to be in the peer's log.
        requested_contact_at: Monotonic time at or after which a message
            must be sent, to confirm reads.
        snapshot_offset: Bytes of the current snapshot that the peer has.
        rejects_entries: Whether the peer could not append entries that
            match its log, as on a full disk.
        reachable: Whether the last message was answered.
        append_sent_at: Monotonic time at which a message with entries was
            sent that is not answered yet; None if there is none.
        last_append_s: Seconds until the last message with entries was
            answered or given up; infinity before the first.
    """

    __slots__ = (
        'member',
        'next_index',
        'match_index',
        'last_contact_at',
        'requested_contact_at',
        'snapshot_offset',
        'rejects_entries',
        'reachable',
        'append_sent_at',
        'last_append_s',
        '_signal',
    )

    def __init__(
        self, member: ttypes.Member, next_index: int, last_contact_at: float
    ) -> None:
        self.member = member
        self.next_index = next_index
        self.match_index = 0
        self.last_contact_at = last_contact_at
        self.requested_contact_at = 0.0
        self.snapshot_offset = 0
        self.rejects_entries = False
        self.reachable = True
        self.append_sent_at: float | None = None
        self.last_append_s = float('inf')
        self._signal = signals.Signal()

    @property
    def append_duration_s(self) -> float:
        """Current time to append entries, in seconds.

        It includes a sync of the peer's log. A message that is not answered
        yet counts if it takes longer than the last one.
        """
        if self.append_sent_at is None:
            return self.last_append_s
        elapsed_s = clock.steady_s() - self.append_sent_at
        return max(self.last_append_s, elapsed_s)

    async def wake(self) -> None:
        """Wakes the task that sends to the peer."""
        await self._signal.notify()

    async def wait(self, timeout_s: float) -> None:
        """Waits for `wake`, at most `timeout_s`."""
        await self._signal.wait_for(timeout_s)

    async def request_contact(self, at_s: float) -> None:
        """Requests a message that is sent at or after a monotonic time."""
        if at_s > self.requested_contact_at:
            self.requested_contact_at = at_s
            await self.wake()


def _is_replicating(
    replica: replica_module.Replica, peer: PeerProgress, term: int
) -> bool:
    return (
        replica.is_leader
        and replica.term == term
        and replica.peer(peer.member.member_id) is peer
    )


async def replicate(
    replica: replica_module.Replica, peer: PeerProgress, term: int
) -> None:
    """Sends entries and heartbeats to one peer while this member leads.

    Args:
        replica: The leader.
        peer: The peer.
        term: The leader's term.
    """
    # -1 forces a first heartbeat, which announces the leader.
    commit_sent = -1
    sent_at = float('-inf')
    while _is_replicating(replica, peer, term):
        log = replica.storage.log
        idle_s = clock.steady_s() - sent_at
        if (
            peer.next_index > log.last_index
            and commit_sent >= min(replica.commit_index, peer.match_index)
            and peer.requested_contact_at <= sent_at
            and idle_s < replica.options.heartbeat_s
        ):
            await peer.wait(replica.options.heartbeat_s - idle_s)
            continue
        sent_at = clock.steady_s()
        commit_sent = replica.commit_index
        if not await _send(replica, peer, term):
            await curio.sleep(replica.options.heartbeat_s / 4)
        elif peer.rejects_entries:
            # The peer cannot write entries; sends at the heartbeat rate.
            await curio.sleep(replica.options.heartbeat_s)


async def _send(
    replica: replica_module.Replica, peer: PeerProgress, term: int
) -> bool:
    """Sends one message; returns whether it was answered."""
    sent_at = clock.steady_s()
    previous = peer.next_index - 1
    previous_term = replica.storage.term_at(previous)
    try:
        if previous_term is None or previous < replica.storage.log.start_index:
            answered = await _send_snapshot(replica, peer, term)
        else:
            answered = await _send_entries(replica, peer, term, previous_term)
    except errors.DiskFullError as error:
        logs.event(_LOG, 'disk_full', level=logging.ERROR, error=error)
        return False
    except (rpc.TransportError, rpc.CallError) as error:
        if peer.reachable:
            peer.reachable = False
            logs.event(
                _LOG,
                'peer_lost',
                level=logging.WARNING,
                peer=peer.member.member_id,
                term=term,
                error=error,
            )
        return False
    if not peer.reachable:
        peer.reachable = True
        logs.event(
            _LOG,
            'peer_regained',
            peer=peer.member.member_id,
            silent_s=clock.steady_s() - peer.last_contact_at,
        )
    if answered:
        peer.last_contact_at = max(peer.last_contact_at, sent_at)
        await replica.advance_commit_index()
        await _maybe_promote(replica, peer)
    return answered


async def _send_entries(
    replica: replica_module.Replica,
    peer: PeerProgress,
    term: int,
    previous_term: int,
) -> bool:
    previous = peer.next_index - 1
    request = ttypes.AppendRequest(
        sender=replica.member.member_id,
        target=peer.member.member_id,
        term=term,
        previous_index=previous,
        previous_term=previous_term,
        entries=replica.storage.log.entries_from(
            peer.next_index, replica.options.append_bytes
        ),
        commit_index=replica.commit_index,
        leader_name=replica.member.name,
    )
    if request.entries:
        peer.append_sent_at = clock.steady_s()
    try:
        reply = await replica.transport.call(
            peer.member.address,
            request,
            timeout_s=replica.options.election_timeout_s,
        )
    finally:
        if peer.append_sent_at is not None:
            peer.last_append_s = clock.steady_s() - peer.append_sent_at
            peer.append_sent_at = None
    if not await _check_reply_term(replica, peer, term, reply.term):
        return False
    peer.rejects_entries = False
    if reply.success:
        peer.match_index = max(peer.match_index, reply.last_index)
        peer.next_index = max(peer.next_index, reply.last_index + 1)
    elif reply.last_index >= previous:
        # The log of the peer matches, but it could not append to it.
        peer.rejects_entries = True
    else:
        lowered = min(reply.last_index + 1, peer.next_index - 1)
        peer.next_index = max(lowered, peer.match_index + 1, 1)
    return True


async def _send_snapshot(
    replica: replica_module.Replica, peer: PeerProgress, term: int
) -> bool:
    content = replica.storage.snapshot_content()
    header = replica.storage.snapshot_header
    offset = min(peer.snapshot_offset, len(content))
    chunk = content[offset : offset + replica.options.snapshot_chunk_bytes]
    request = ttypes.SnapshotRequest(
        sender=replica.member.member_id,
        target=peer.member.member_id,
        term=term,
        header=header,
        file_size=len(content),
        offset=offset,
        chunk=chunk,
    )
    reply = await replica.transport.call(
        peer.member.address,
        request,
        timeout_s=replica.options.election_timeout_s,
    )
    if not await _check_reply_term(replica, peer, term, reply.term):
        return False
    peer.snapshot_offset = reply.next_offset
    if reply.installed:
        peer.snapshot_offset = 0
        peer.match_index = max(peer.match_index, header.index)
        peer.next_index = max(peer.next_index, header.index + 1)
        logs.event(
            _LOG,
            'snapshot_installed',
            peer=peer.member.member_id,
            index=header.index,
        )
    return True


async def _check_reply_term(
    replica: replica_module.Replica,
    peer: PeerProgress,
    term: int,
    reply_term: int,
) -> bool:
    """Whether a reply counts for the term; steps down for a later one."""
    if not _is_replicating(replica, peer, term):
        return False
    if reply_term > term:
        await replica.become_follower(reply_term, None)
    # A lower term means that another member answered, which returns term 0,
    # or that the peer has not adopted this term.
    return reply_term == term


def voting_peers(replica: replica_module.Replica) -> list[PeerProgress]:
    """Returns the progress of the peers that are voters."""
    voters = quorum.voter_ids(replica.membership)
    return [
        peer
        for member in quorum.all_members(replica.membership)
        if member.member_id in voters
        and (peer := replica.peer(member.member_id)) is not None
    ]


async def hand_over(replica: replica_module.Replica, term: int) -> None:
    """Requests an election by the voter with the longest matching log.

    Among several of these, the one that last answered entries soonest is
    chosen. Waits until that voter has the whole log of the leader.

    Args:
        replica: The leader, which rejects proposals meanwhile.
        term: The leader's term.
    """
    while replica.is_leader and replica.term == term:
        candidates = voting_peers(replica)
        if not candidates:
            return
        target_peer = max(
            candidates,
            key=lambda peer: (peer.match_index, -peer.append_duration_s),
        )
        if target_peer.match_index == replica.storage.log.last_index:
            request = ttypes.HandOverRequest(
                sender=replica.member.member_id,
                target=target_peer.member.member_id,
                term=term,
            )
            try:
                await replica.transport.call(
                    target_peer.member.address,
                    request,
                    timeout_s=replica.options.election_timeout_s,
                )
            except (rpc.TransportError, rpc.CallError):
                pass
            else:
                return
        await curio.sleep(replica.options.heartbeat_s / 4)


def _check_changeable(replica: replica_module.Replica) -> ttypes.Membership:
    """Returns the current membership; raises if it cannot change now."""
    if not replica.ready:
        raise replica.not_leader_error()
    membership = replica.membership
    if membership.outgoing or replica.membership_index > replica.commit_index:
        raise errors.MembershipError('another change is in progress')
    return membership


def joint_membership(
    replica: replica_module.Replica, *, add: str, remove: str
) -> ttypes.Membership:
    """Returns the joint membership that adds, removes or replaces a voter.

    Args:
        replica: The leader.
        add: Id of a learner, or empty.
        remove: Id of a voter, or empty.

    Raises:
        MembershipError: If the change is not possible now.
        NotLeaderError: If the member does not lead.
    """
    membership = _check_changeable(replica)
    voters = list(membership.voters)
    learners = list(membership.learners)
    if remove:
        kept = [m for m in voters if m.member_id != remove]
        if len(kept) == len(voters):
            raise errors.MembershipError(
                f'got {remove!r}; valid are voters: {_member_ids(voters)}'
            )
        voters = kept
    if add:
        added = [m for m in learners if m.member_id == add]
        if not added:
            raise errors.MembershipError(
                f'got {add!r}; valid are learners: {_member_ids(learners)}'
            )
        _check_caught_up(replica, add)
        learners = [m for m in learners if m.member_id != add]
        voters.extend(added)
    if not 1 <= len(voters) <= MAX_VOTERS:
        raise errors.MembershipError(
            f'got {len(voters)} voters; valid are 1 to {MAX_VOTERS}'
        )
    return ttypes.Membership(
        voters=voters, outgoing=membership.voters, learners=learners
    )


def _member_ids(members: list[ttypes.Member]) -> str:
    return ', '.join(member.member_id for member in members) or 'none'


def _check_caught_up(replica: replica_module.Replica, member_id: str) -> None:
    peer = replica.peer(member_id)
    if peer is None or peer.match_index < replica.commit_index:
        reached = peer.match_index if peer else 0
        raise errors.MembershipError(
            f'{member_id} has synced up to {reached};'
            f' valid is from {replica.commit_index} on'
        )


def with_learner(
    replica: replica_module.Replica, member: ttypes.Member
) -> ttypes.Membership:
    """Returns the membership with one more learner.

    An earlier learner of the same name is removed.

    Raises:
        MembershipError: If a change is in progress.
        NotLeaderError: If the member does not lead.
    """
    membership = _check_changeable(replica)
    learners = [m for m in membership.learners if m.name != member.name]
    return ttypes.Membership(
        voters=membership.voters,
        outgoing=[],
        learners=[*learners, member],
    )


def without_learner(
    replica: replica_module.Replica, learner_id: str
) -> ttypes.Membership:
    """Returns the membership without one learner.

    Raises:
        MembershipError: If there is no such learner or a change is in
            progress.
        NotLeaderError: If the member does not lead.
    """
    membership = _check_changeable(replica)
    learners = [m for m in membership.learners if m.member_id != learner_id]
    if len(learners) == len(membership.learners):
        raise errors.MembershipError(
            f'got {learner_id!r}; valid are learners:'
            f' {_member_ids(membership.learners)}'
        )
    return ttypes.Membership(
        voters=membership.voters, outgoing=[], learners=learners
    )


async def _maybe_promote(
    replica: replica_module.Replica, peer: PeerProgress
) -> None:
    """Promotes a learner that has caught up, if another voter is needed.

    A voter of the same name has lost its storage; the learner replaces it in
    one membership change.
    """
    member = peer.member
    target = replica.options.target_voters
    if member.name not in replica.options.auto_admit and not target:
        return
    if peer.match_index < replica.commit_index or not replica.ready:
        return
    learner_ids = {m.member_id for m in replica.membership.learners}
    if member.member_id not in learner_ids:
        return
    replaced = [
        m.member_id for m in replica.membership.voters if m.name == member.name
    ]
    if target and not replaced and len(replica.membership.voters) >= target:
        replaced = _silent_voters(replica)
        if not replaced:
            return
    await replica.spawn(_promote, replica, member.member_id, replaced)


def _silent_voters(replica: replica_module.Replica) -> list[str]:
    """Returns ids of voters past `SILENT_VOTER_TIMEOUT_S`, oldest first."""
    since_s = clock.steady_s() - SILENT_VOTER_TIMEOUT_S
    silent = [
        (peer.last_contact_at, member.member_id)
        for member in replica.membership.voters
        if (peer := replica.peer(member.member_id)) is not None
        and peer.last_contact_at < since_s
    ]
    return [member_id for _, member_id in sorted(silent)]


async def _promote(
    replica: replica_module.Replica, learner_id: str, replaced: list[str]
) -> None:
    remove = replaced[0] if replaced else ''
    try:
        await replica.change_voters(add=learner_id, remove=remove)
    except errors.ReplicationError as error:
        logs.event(
            _LOG,
            'admission_failed',
            level=logging.DEBUG,
            member=learner_id,
            error=error,
        )
    else:
        logs.event(_LOG, 'member_admitted', member=learner_id, replaced=remove)
