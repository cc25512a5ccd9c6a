"""What a leader does for its peers: replication and membership changes."""

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
    from banyantrack.replication import replica

MAX_VOTERS = 7
# A voter that has not answered for this long may be replaced; a restart
# with its log takes less.
REPLACE_SILENT_S = 4.0
_LOG = logging.getLogger(__name__)


class PeerProgress:
    """How far one peer is.

    Args:
        member: The peer.
        next_index: First index to send.
        contact_at: Monotonic time when it is known to have followed.
    """

    __slots__ = (
        'member',
        'next_index',
        'match_index',
        'contact_at',
        'wanted_contact_at',
        'snapshot_offset',
        'refuses',
        'reachable',
        '_signal',
    )

    def __init__(
        self, member: ttypes.Member, next_index: int, contact_at: float
    ) -> None:
        self.member = member
        self.next_index = next_index
        self.match_index = 0
        # When the last message that it answered was sent.
        self.contact_at = contact_at
        self.wanted_contact_at = 0.0
        self.snapshot_offset = 0
        # Whether it lately could not add entries that fit its log.
        self.refuses = False
        self.reachable = True
        self._signal = signals.Signal()

    async def wake(self) -> None:
        """Makes the peer's task look for something to send."""
        await self._signal.notify()

    async def wait(self, timeout_s: float) -> None:
        """Waits until there may be something to send."""
        await self._signal.wait_for(timeout_s)

    async def request_contact(self, at_s: float) -> None:
        """Asks for a message that is sent at or after a time."""
        if at_s > self.wanted_contact_at:
            self.wanted_contact_at = at_s
            await self.wake()


def _leads(owner: replica.Replica, peer: PeerProgress, term: int) -> bool:
    return (
        owner.is_leader
        and owner.term == term
        and owner.peer(peer.member.member_id) is peer
    )


async def replicate(
    owner: replica.Replica, peer: PeerProgress, term: int
) -> None:
    """Sends entries and heartbeats to one peer while this member leads.

    Args:
        owner: The leader.
        peer: The peer.
        term: The leader's term.
    """
    # The first heartbeat announces the leader.
    commit_sent = -1
    sent_at = float('-inf')
    while _leads(owner, peer, term):
        log = owner.storage.log
        idle_s = clock.steady_s() - sent_at
        if (
            peer.next_index > log.last_index
            and commit_sent >= min(owner.commit_index, peer.match_index)
            and peer.wanted_contact_at <= sent_at
            and idle_s < owner.options.heartbeat_s
        ):
            await peer.wait(owner.options.heartbeat_s - idle_s)
            continue
        sent_at = clock.steady_s()
        commit_sent = owner.commit_index
        if not await _send(owner, peer, term):
            await curio.sleep(owner.options.heartbeat_s / 4)
        elif peer.refuses:
            # Its disk takes nothing more; heartbeats are enough.
            await curio.sleep(owner.options.heartbeat_s)


async def _send(owner: replica.Replica, peer: PeerProgress, term: int) -> bool:
    """Sends one message; returns whether it was answered."""
    sent_at = clock.steady_s()
    previous = peer.next_index - 1
    previous_term = owner.storage.term_at(previous)
    try:
        if previous_term is None or previous < owner.storage.log.start_index:
            answered = await _send_snapshot(owner, peer, term)
        else:
            answered = await _send_entries(owner, peer, term, previous_term)
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
            silent_s=clock.steady_s() - peer.contact_at,
        )
    if answered:
        peer.contact_at = max(peer.contact_at, sent_at)
        await owner.advance_commit()
        await _maybe_admit(owner, peer)
    return answered


async def _send_entries(
    owner: replica.Replica,
    peer: PeerProgress,
    term: int,
    previous_term: int,
) -> bool:
    previous = peer.next_index - 1
    request = ttypes.AppendRequest(
        sender=owner.member.member_id,
        target=peer.member.member_id,
        term=term,
        previous_index=previous,
        previous_term=previous_term,
        entries=owner.storage.log.entries_from(
            peer.next_index, owner.options.append_bytes
        ),
        commit_index=owner.commit_index,
        leader_name=owner.member.name,
    )
    reply = await owner.transport.call(
        peer.member.address,
        request,
        timeout_s=owner.options.election_timeout_s,
    )
    if not await _counts(owner, peer, term, reply.term):
        return False
    peer.refuses = False
    if reply.success:
        peer.match_index = max(peer.match_index, reply.last_index)
        peer.next_index = max(peer.next_index, reply.last_index + 1)
    elif reply.last_index >= previous:
        # It has what comes before, and could not add to it.
        peer.refuses = True
    else:
        lowered = min(reply.last_index + 1, peer.next_index - 1)
        peer.next_index = max(lowered, peer.match_index + 1, 1)
    return True


async def _send_snapshot(
    owner: replica.Replica, peer: PeerProgress, term: int
) -> bool:
    content = owner.storage.snapshot_content()
    header = owner.storage.snapshot_header
    offset = min(peer.snapshot_offset, len(content))
    chunk = content[offset : offset + owner.options.snapshot_chunk_bytes]
    request = ttypes.SnapshotRequest(
        sender=owner.member.member_id,
        target=peer.member.member_id,
        term=term,
        header=header,
        file_size=len(content),
        offset=offset,
        chunk=chunk,
    )
    reply = await owner.transport.call(
        peer.member.address,
        request,
        timeout_s=owner.options.election_timeout_s,
    )
    if not await _counts(owner, peer, term, reply.term):
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


async def _counts(
    owner: replica.Replica, peer: PeerProgress, term: int, reply_term: int
) -> bool:
    """Whether a reply is one to the leader of a term that still leads."""
    if not _leads(owner, peer, term):
        return False
    if reply_term > term:
        await owner.become_follower(reply_term, None)
    # A lower term is another member's, or of one that has not taken ours.
    return reply_term == term


async def hand_over(owner: replica.Replica, term: int) -> None:
    """Asks the voter that is furthest to stand for election.

    Args:
        owner: The leader, which takes no more proposals.
        term: Its term.
    """
    voters = quorum.voter_ids(owner.membership)
    while owner.is_leader and owner.term == term:
        peers = [
            peer
            for member in quorum.all_members(owner.membership)
            if member.member_id in voters
            and (peer := owner.peer(member.member_id)) is not None
        ]
        if not peers:
            return
        best = max(peers, key=lambda peer: peer.match_index)
        if best.match_index == owner.storage.log.last_index:
            request = ttypes.HandOverRequest(
                sender=owner.member.member_id,
                target=best.member.member_id,
                term=term,
            )
            try:
                await owner.transport.call(
                    best.member.address,
                    request,
                    timeout_s=owner.options.election_timeout_s,
                )
            except (rpc.TransportError, rpc.CallError):
                pass
            else:
                return
        await curio.sleep(owner.options.heartbeat_s / 4)


def _check_changeable(owner: replica.Replica) -> ttypes.Membership:
    """Returns the membership if it may be changed now."""
    if not owner.ready:
        raise owner.not_leader()
    membership = owner.membership
    if membership.outgoing or owner.membership_index > owner.commit_index:
        raise errors.MembershipError('another change is in progress')
    return membership


def changed_voters(
    owner: replica.Replica, *, add: str, remove: str
) -> ttypes.Membership:
    """Returns the membership while one voter is added, removed or swapped.

    Args:
        owner: The leader.
        add: Id of a learner, or empty.
        remove: Id of a voter, or empty.

    Raises:
        MembershipError: If the change is not possible now.
        NotLeaderError: If the member does not lead.
    """
    membership = _check_changeable(owner)
    voters = list(membership.voters)
    learners = list(membership.learners)
    if remove:
        kept = [m for m in voters if m.member_id != remove]
        if len(kept) == len(voters):
            raise errors.MembershipError(
                f'got {remove!r}; valid are voters: {_names(voters)}'
            )
        voters = kept
    if add:
        chosen = [m for m in learners if m.member_id == add]
        if not chosen:
            raise errors.MembershipError(
                f'got {add!r}; valid are learners: {_names(learners)}'
            )
        _check_caught_up(owner, add)
        learners = [m for m in learners if m.member_id != add]
        voters.extend(chosen)
    if not 1 <= len(voters) <= MAX_VOTERS:
        raise errors.MembershipError(
            f'got {len(voters)} voters; valid are 1 to {MAX_VOTERS}'
        )
    return ttypes.Membership(
        voters=voters, outgoing=membership.voters, learners=learners
    )


def _names(members: list[ttypes.Member]) -> str:
    return ', '.join(member.member_id for member in members) or 'none'


def _check_caught_up(owner: replica.Replica, member_id: str) -> None:
    peer = owner.peer(member_id)
    if peer is None or peer.match_index < owner.commit_index:
        reached = peer.match_index if peer else 0
        raise errors.MembershipError(
            f'{member_id} has synced up to {reached};'
            f' valid is from {owner.commit_index} on'
        )


def with_learner(
    owner: replica.Replica, member: ttypes.Member
) -> ttypes.Membership:
    """Returns the membership with one more learner.

    An earlier learner of the same name gives way.

    Raises:
        MembershipError: If a change is in progress.
        NotLeaderError: If the member does not lead.
    """
    membership = _check_changeable(owner)
    learners = [m for m in membership.learners if m.name != member.name]
    return ttypes.Membership(
        voters=membership.voters,
        outgoing=[],
        learners=[*learners, member],
    )


def without_learner(
    owner: replica.Replica, learner_id: str
) -> ttypes.Membership:
    """Returns the membership without one learner.

    Raises:
        MembershipError: If there is no such learner or a change is in
            progress.
        NotLeaderError: If the member does not lead.
    """
    membership = _check_changeable(owner)
    learners = [m for m in membership.learners if m.member_id != learner_id]
    if len(learners) == len(membership.learners):
        raise errors.MembershipError(
            f'got {learner_id!r}; valid are learners:'
            f' {_names(membership.learners)}'
        )
    return ttypes.Membership(
        voters=membership.voters, outgoing=[], learners=learners
    )


async def _maybe_admit(owner: replica.Replica, peer: PeerProgress) -> None:
    """Makes a learner that has caught up a voter, if there is a place.

    A voter of the same name is one whose storage was lost; the learner
    takes its place as one change.
    """
    member = peer.member
    target = owner.options.target_voters
    if member.name not in owner.options.auto_admit and not target:
        return
    if peer.match_index < owner.commit_index or not owner.ready:
        return
    learner_ids = {m.member_id for m in owner.membership.learners}
    if member.member_id not in learner_ids:
        return
    replaced = [
        m.member_id for m in owner.membership.voters if m.name == member.name
    ]
    if target and not replaced and len(owner.membership.voters) >= target:
        replaced = _silent_voters(owner)
        if not replaced:
            return
    await owner.spawn(_admit, owner, member.member_id, replaced)


def _silent_voters(owner: replica.Replica) -> list[str]:
    """Returns voters that have not answered for long, that longest first."""
    since_s = clock.steady_s() - REPLACE_SILENT_S
    silent = [
        (peer.contact_at, member.member_id)
        for member in owner.membership.voters
        if (peer := owner.peer(member.member_id)) is not None
        and peer.contact_at < since_s
    ]
    return [member_id for _, member_id in sorted(silent)]


async def _admit(
    owner: replica.Replica, learner_id: str, replaced: list[str]
) -> None:
    remove = replaced[0] if replaced else ''
    try:
        await owner.change_voters(add=learner_id, remove=remove)
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
