"""One member of a replicated log: election, replication, membership.

The protocol is Raft with pre-vote, check-quorum, joint membership changes
and reads confirmed by a round of heartbeats. There is one task for each
peer, one that writes the log, one that applies entries and one that starts
elections.
"""

from __future__ import annotations

import logging
import random
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import errors as core_errors
from banyantrack.core import logs
from banyantrack.core import signals
from banyantrack.core import states
from banyantrack.generated.replication import ttypes
from banyantrack.replication import api
from banyantrack.replication import elections
from banyantrack.replication import errors
from banyantrack.replication import joining
from banyantrack.replication import memberships
from banyantrack.replication import peers
from banyantrack.replication import proposals as proposals_module
from banyantrack.replication import quorum
from banyantrack.replication import storage as storage_module

if typing.TYPE_CHECKING:
    import collections.abc

    RunBlocking = collections.abc.Callable[
        ..., collections.abc.Awaitable[typing.Any]
    ]

APPLY_BATCH = 64
# Share of the election timeout for which a quorum's answer is a lease; the
# rest allows for clocks that differ in speed.
LEASE_SHARE = 0.9
# A disk counts as full for this long after it had no room.
DISK_FULL_S = 2.0
# A snapshot that found no room is tried again after this.
SNAPSHOT_RETRY_S = 5.0
_LOG = logging.getLogger(__name__)
_Kind = ttypes.EntryKind


class Replica:
    """One member of a replicated log.

    Args:
        member: This member; its id is taken from the storage.
        storage: Its durable state.
        machine: The replicated state.
        transport: Calls to other members.
        options: Timing and sizes.
        contacts: RPC addresses to ask for admission while the storage is
            empty.
        rng: Source of election timeouts.
        run_blocking: Runs a function that blocks on the disk.
    """

    def __init__(
        self,
        member: ttypes.Member,
        storage: storage_module.Storage,
        machine: api.StateMachine,
        transport: api.Transport,
        *,
        options: api.Options,
        contacts: collections.abc.Iterable[str] = (),
        rng: random.Random | None = None,
        run_blocking: RunBlocking = curio.run_in_thread,
    ) -> None:
        member.member_id = storage.member_id
        self._member = member
        self._storage = storage
        self._machine = machine
        self._transport = transport
        self._options = options
        self._contacts = contacts
        self._rng = rng or random.Random()
        self._run_blocking = run_blocking
        self._role = states.Role.FOLLOWER
        self._leader: ttypes.Member | None = None
        self._heard_at = clock.steady_s()
        self._commit_index = storage.snapshot_index
        self._applied_index = 0
        self._synced_index = storage.log.last_index
        self._term_start_index = 0
        self._handing_over = False
        self._sync_started_s: float | None = None
        self._last_syncs_s = (0.0, 0.0)
        self._full_at_s = float('-inf')
        self._next_snapshot_s = float('-inf')
        self._stood_at = float('-inf')
        self._peers: dict[str, peers.PeerProgress] = {}
        self._proposals = proposals_module.Proposals()
        self._log_lock = curio.Lock()
        self._progressed = signals.Signal()
        self._committed = signals.Signal()
        self._applied = signals.Signal()
        self._failure: BaseException | None = None
        self._failed = curio.Event()
        self._tasks: set[curio.Task] = set()
        self._memberships = memberships.Memberships()
        self._restore()

    @property
    def member(self) -> ttypes.Member:
        """This member."""
        return self._member

    @property
    def storage(self) -> storage_module.Storage:
        """Its durable state."""
        return self._storage

    @property
    def options(self) -> api.Options:
        """Timing and sizes."""
        return self._options

    @property
    def transport(self) -> api.Transport:
        """Calls to other members."""
        return self._transport

    @property
    def rng(self) -> random.Random:
        """Source of randomness."""
        return self._rng

    @property
    def role(self) -> states.Role:
        """Its role; a member that does not vote is a learner."""
        if (
            self._role is states.Role.FOLLOWER
            and self._member.member_id not in quorum.voter_ids(self.membership)
        ):
            return states.Role.LEARNER
        return self._role

    @property
    def term(self) -> int:
        """Its term."""
        return self._storage.term

    @property
    def leader(self) -> ttypes.Member | None:
        """The leader that it follows or is."""
        return self._leader

    @property
    def commit_index(self) -> int:
        """Last index known to be agreed."""
        return self._commit_index

    @property
    def applied_index(self) -> int:
        """Last index in the state machine."""
        return self._applied_index

    @property
    def membership(self) -> ttypes.Membership:
        """Members according to the latest entry about them."""
        return self._memberships.current

    @property
    def membership_index(self) -> int:
        """Index of that entry."""
        return self._memberships.index

    @property
    def heard_at(self) -> float:
        """Monotonic time of the last message from a leader."""
        return self._heard_at

    @property
    def quorum_contact_at(self) -> float:
        """Monotonic time up to which a quorum confirmed this leader.

        Of each member, it is the time when the last message that it
        answered was sent, so no other leader can have been elected before.
        """
        contacts = {
            peer_id: peer.contact_at for peer_id, peer in self._peers.items()
        }
        contacts[self._member.member_id] = clock.steady_s()
        return quorum.agreed(self.membership, contacts, float('-inf'))

    @property
    def is_leader(self) -> bool:
        """Whether it leads, as far as it knows."""
        return self._role is states.Role.LEADER

    @property
    def ready(self) -> bool:
        """Whether it leads and has applied all entries of earlier terms."""
        return (
            self.is_leader
            and not self._handing_over
            and self._applied_index >= self._term_start_index > 0
        )

    def lease_holds(self) -> bool:
        """Whether no other member can have been elected since.

        Members that answered this leader grant no vote for the shortest
        election timeout after that.
        """
        silent_s = clock.steady_s() - self.quorum_contact_at
        return (
            self.is_leader
            and silent_s < LEASE_SHARE * self._options.election_timeout_s
        )

    async def step_down(self) -> None:
        """Stops leading, because a later leader is known to exist."""
        if self.is_leader:
            await self.become_follower(self.term, None)

    def status(self) -> api.ReplicaStatus:
        """Returns the state of this member as it sees itself."""
        reachable: set[str] = set()
        losses = None
        if self.is_leader:
            since = clock.steady_s() - 2 * self._options.election_timeout_s
            reachable = {
                peer_id
                for peer_id, peer in self._peers.items()
                if peer.contact_at >= since
            }
            reachable.add(self._member.member_id)
            losses = quorum.survivable_losses(self.membership, reachable)
        return api.ReplicaStatus(
            member_id=self._member.member_id,
            role=self.role,
            term=self.term,
            leader=self._leader,
            commit_index=self._commit_index,
            applied_index=self._applied_index,
            membership=self.membership,
            reachable=frozenset(reachable),
            survivable_losses=losses,
        )

    async def run(self) -> None:
        """Takes part until cancelled.

        Raises:
            StorageError: If the durable state fails.
            InvariantError: If something that must always hold does not.
        """
        self._heard_at = clock.steady_s()
        for work in (
            self._write_loop,
            self._apply_loop,
            elections.Elections(self).run,
        ):
            await self.spawn(work)
        await self.spawn(joining.ask_for_admission, self, self._contacts)
        try:
            await self._failed.wait()
            raise self._failure
        finally:
            for task in list(self._tasks):
                await task.cancel()

    async def spawn(
        self,
        work: collections.abc.Callable[..., typing.Any],
        *args: object,
    ) -> None:
        """Runs a coroutine function as part of this member.

        An exception in it ends `run`.
        """
        await curio.spawn(self._guard, work, args, daemon=True)

    async def _guard(
        self,
        work: collections.abc.Callable[..., typing.Any],
        args: tuple[object, ...],
    ) -> None:
        task = await curio.current_task()
        self._tasks.add(task)
        try:
            await work(*args)
        except curio.CancelledError:
            raise
        except Exception as error:
            await self.fail(error)
        finally:
            self._tasks.discard(task)

    async def fail(self, error: BaseException) -> None:
        """Ends this member because of an error that it cannot survive."""
        if self._failure is None:
            self._failure = error
            await self._failed.set()

    # Proposals and reads.

    async def propose(
        self, payload: bytes, *, timeout_s: float
    ) -> api.Applied:
        """Adds an entry and waits until it is applied.

        Args:
            payload: The entry for the state machine.
            timeout_s: Seconds to wait.

        Raises:
            NotLeaderError: If this member does not lead; not applied.
            NotAppliedError: If it was certainly not applied.
            UnknownOutcomeError: If it may be applied or not.
        """
        return await self._propose(_Kind.COMMAND, payload, timeout_s)

    async def read_barrier(self, *, timeout_s: float) -> int:
        """Waits until the state machine is as new as this call.

        Returns:
            The index up to which the state is at least applied.

        Raises:
            NotLeaderError: If this member does not lead, or a quorum did
                not confirm that it does in time.
        """
        started_at = clock.steady_s()
        deadline = started_at + timeout_s
        term = self.term
        while True:
            if not self.is_leader or self.term != term:
                raise self.not_leader()
            if (
                self._commit_index >= self._term_start_index > 0
                and self.quorum_contact_at >= started_at
            ):
                break
            for peer in self._peers.values():
                await peer.request_contact(started_at)
            left_s = deadline - clock.steady_s()
            if not await self._progressed.wait_for(left_s):
                if clock.steady_s() >= deadline:
                    raise self.not_leader()
        index = self._commit_index
        left_s = deadline - clock.steady_s()
        if not await self.wait_applied(index, timeout_s=left_s):
            raise self.not_leader()
        return index

    async def wait_applied(self, index: int, *, timeout_s: float) -> bool:
        """Waits until an index is applied here.

        Returns:
            Whether it is.
        """
        deadline = clock.steady_s() + timeout_s
        while self._applied_index < index:
            left_s = deadline - clock.steady_s()
            if left_s <= 0:
                return False
            await self._applied.wait_for(left_s)
        return True

    async def wait_change(self, timeout_s: float) -> None:
        """Waits until anything more is applied, or for a time."""
        await self._applied.wait_for(timeout_s)

    def not_leader(self) -> errors.NotLeaderError:
        """Returns the error that names the leader."""
        leader = None if self.is_leader else self._leader
        if leader is None:
            return errors.NotLeaderError('', '')
        return errors.NotLeaderError(leader.address, leader.service_address)

    async def _propose(
        self, kind: int, payload: bytes, timeout_s: float
    ) -> api.Applied:
        if not self.is_leader or self._handing_over:
            raise self.not_leader()
        if self._proposals.full:
            raise errors.NotAppliedError('too many proposals wait already')
        if kind == _Kind.MEMBERSHIP and self._proposals.waits(kind):
            raise errors.MembershipError('another change is in progress')
        proposal = proposals_module.Proposal(kind, payload)
        await self._proposals.add(proposal)
        try:
            async with curio.timeout_after(timeout_s):
                await proposal.done.wait()
        except curio.TaskTimeout:
            if self._proposals.withdraw(proposal):
                raise errors.NotAppliedError(
                    f'not written in {timeout_s:.3f} s'
                ) from None
            raise errors.UnknownOutcomeError(
                f'not agreed in {timeout_s:.3f} s'
            ) from None
        if proposal.error is not None:
            raise proposal.error
        return proposal.applied

    # Membership.

    async def change_voters(
        self,
        *,
        add: str = '',
        remove: str = '',
        timeout_s: float = 10.0,
    ) -> None:
        """Adds, removes or swaps one voter as one change.

        Args:
            add: Id of a learner that has caught up; empty for none.
            remove: Id of a voter; empty for none.
            timeout_s: Seconds to wait.

        Raises:
            MembershipError: If the change is not possible now.
            NotLeaderError: If this member does not lead.
            UnknownOutcomeError: If it may happen or not.
        """
        target = peers.changed_voters(self, add=add, remove=remove)
        payload = storage_module.codec.encode(target)
        await self._propose(_Kind.MEMBERSHIP, payload, timeout_s)

    async def remove_learner(self, learner_id: str) -> None:
        """Removes a learner.

        Raises:
            MembershipError: If there is no such learner.
            NotLeaderError: If this member does not lead.
        """
        target = peers.without_learner(self, learner_id)
        payload = storage_module.codec.encode(target)
        await self._propose(_Kind.MEMBERSHIP, payload, 10.0)

    async def add_learner(self, member: ttypes.Member) -> None:
        """Adds a member that receives the log without voting.

        Raises:
            MembershipError: If a change is in progress.
            NotLeaderError: If this member does not lead.
        """
        target = peers.with_learner(self, member)
        payload = storage_module.codec.encode(target)
        await self._propose(_Kind.MEMBERSHIP, payload, 10.0)

    def peer(self, peer_id: str) -> peers.PeerProgress | None:
        """Returns how far a peer is, on the leader."""
        return self._peers.get(peer_id)

    async def bootstrap(self) -> None:
        """Makes this member the only voter of a new group; done once.

        Raises:
            MembershipError: If the storage is not empty.
        """
        if not self._storage.is_empty:
            raise errors.MembershipError(
                f'{self._storage.folder}: not empty; bootstrap is done once'
            )
        membership = quorum.empty_membership()
        membership.voters = [self._member]
        self._storage.save_state(1, '')
        entry = ttypes.LogEntry(
            term=1,
            index=1,
            kind=_Kind.MEMBERSHIP,
            payload=storage_module.codec.encode(membership),
        )
        self._append([entry])
        self._storage.log.sync()
        self._synced_index = 1

    async def hand_over(self, *, timeout_s: float) -> bool:
        """Gives leadership to the member that is furthest.

        Returns:
            Whether another member took it, or this one did not lead.
        """
        if not self.is_leader:
            return True
        term = self.term
        self._handing_over = True
        try:
            async with curio.ignore_after(timeout_s):
                await peers.hand_over(self, term)
                while self.is_leader and self.term == term:
                    await self._progressed.wait()
                return True
            return False
        finally:
            self._handing_over = False

    # Changes of role.

    def save_term(self, term: int, voted_for: str) -> None:
        """Saves term and vote.

        Raises:
            InvariantError: If the term goes back or a vote changes.
        """
        core_errors.check_invariant(
            term >= self.term, 'term %d after %d', term, self.term
        )
        if term == self.term:
            core_errors.check_invariant(
                self._storage.voted_for in ('', voted_for),
                'vote for %s after %s in term %d',
                voted_for,
                self._storage.voted_for,
                term,
            )
        self._storage.save_state(term, voted_for)

    async def become_follower(
        self, term: int, leader: ttypes.Member | None
    ) -> None:
        """Follows a leader, or waits for one.

        Args:
            term: The term; saved if it is new.
            leader: The leader, if it is known.

        Raises:
            DiskFullError: If there is no room for a new term.
        """
        was_leader = self.is_leader
        self._role = states.Role.FOLLOWER
        self._leader = None
        try:
            if term > self.term:
                self.save_term(term, '')
            self._leader = leader
        finally:
            # Also where the new term cannot be saved: it has another leader.
            if was_leader:
                self._heard_at = clock.steady_s()
                await self._stop_leading()

    def become_candidate(self) -> None:
        """Stands for election in the next term, with its own vote.

        Raises:
            DiskFullError: If there is no room for the vote.
        """
        self.save_term(self.term + 1, self._member.member_id)
        self._role = states.Role.CANDIDATE
        self._leader = None
        self._stood_at = clock.steady_s()

    async def become_leader(self) -> None:
        """Leads the term in which a quorum voted for this member."""
        core_errors.check_invariant(
            self._role is states.Role.CANDIDATE,
            'leader of term %d from %s',
            self.term,
            self._role,
        )
        self._role = states.Role.LEADER
        self._leader = self._member
        self._peers = {}
        self._term_start_index = 0
        logs.event(_LOG, 'leader_elected', term=self.term)
        # When this member stood, no later term had a leader.
        await self._follow_membership(contact_at=self._stood_at)
        await self._proposals.add(proposals_module.Proposal(_Kind.NOOP, b''))

    async def _stop_leading(self) -> None:
        logs.event(_LOG, 'leader_stepped_down', term=self.term)
        self._peers = {}
        await self._proposals.refuse_queued(self.not_leader())
        await self._progressed.notify()

    def hear_leader(self) -> None:
        """Notes a message from the leader or a vote given."""
        self._heard_at = clock.steady_s()

    # The log.

    def _restore(self) -> None:
        snapshot = self._storage.load_snapshot()
        if snapshot is not None:
            self._machine.restore(snapshot.data)
            self._applied_index = snapshot.header.index
        self._memberships.reset(self._storage.snapshot_header)
        self._note_later_memberships(self._storage.snapshot_index)

    def _note_later_memberships(self, index: int) -> None:
        """Takes in the memberships in the log after an index."""
        log = self._storage.log
        first = max(index, log.start_index) + 1
        self._memberships.note_all(
            log.entry(at) for at in range(first, log.last_index + 1)
        )

    def _append(self, entries: list[ttypes.LogEntry]) -> bool:
        self._storage.log.append(entries)
        return self._memberships.note_all(entries)

    def _truncate_from(self, index: int) -> None:
        core_errors.check_invariant(
            index > self._commit_index,
            'truncation at %d, agreed up to %d',
            index,
            self._commit_index,
        )
        self._storage.log.truncate_from(index)
        self._memberships.truncate_from(index)

    @property
    def sync_s(self) -> float:
        """Seconds that the disk takes now; the longer of the last two syncs.

        A sync in progress counts as far as it has come.
        """
        # Set and cleared by the thread that syncs.
        started_s = self._sync_started_s
        running_s = 0.0
        if started_s is not None:
            running_s = clock.steady_s() - started_s
        return max(running_s, min(self._last_syncs_s))

    @property
    def disk_full(self) -> bool:
        """Whether entries could not be written for want of room of late."""
        return clock.steady_s() - self._full_at_s < DISK_FULL_S

    async def _sync(self) -> None:
        await self._run_blocking(self._timed_sync)

    def _timed_sync(self) -> None:
        """Syncs the log; measures the disk, not how busy this process is."""
        self._sync_started_s = started_s = clock.steady_s()
        try:
            self._storage.log.sync()
        finally:
            self._sync_started_s = None
            took_s = clock.steady_s() - started_s
            self._last_syncs_s = (self._last_syncs_s[1], took_s)

    async def _write_loop(self) -> None:
        while True:
            await self._proposals.wait()
            async with self._log_lock:
                if self.is_leader and self._proposals:
                    await self._write_batch()
            if not self._options.group_commit:
                await self._wait_agreed(self._storage.log.last_index)

    async def _wait_agreed(self, index: int) -> None:
        """Waits until an entry is agreed, while this member leads."""
        while self.is_leader and self._commit_index < index:
            await self._progressed.wait()

    async def _write_batch(self) -> None:
        """Appends what waits as one batch, syncs it and tells the peers."""
        term = self.term
        batch = self._proposals.take_batch(
            self._options.append_bytes, grouped=self._options.group_commit
        )
        first = self._storage.log.last_index + 1
        entries = [
            ttypes.LogEntry(
                term=term,
                index=first + offset,
                kind=proposal.kind,
                payload=proposal.payload,
            )
            for offset, proposal in enumerate(batch)
        ]
        try:
            membership_changed = self._append(entries)
        except errors.DiskFullError as error:
            await self._refuse(batch, error)
            return
        for entry, proposal in zip(entries, batch, strict=True):
            self._proposals.note_written(proposal, entry)
            if entry.kind == _Kind.NOOP:
                self._term_start_index = entry.index
        if membership_changed:
            await self._follow_membership()
        for peer in self._peers.values():
            await peer.wake()
        await self._sync()
        self._synced_index = entries[-1].index
        if self.is_leader and self.term == term:
            await self.advance_commit()

    async def _refuse(
        self,
        batch: list[proposals_module.Proposal],
        error: errors.DiskFullError,
    ) -> None:
        logs.event(_LOG, 'disk_full', level=logging.ERROR, error=error)
        self._full_at_s = clock.steady_s()
        noop = any(proposal.kind == _Kind.NOOP for proposal in batch)
        for proposal in batch:
            await proposal.fail(errors.NotAppliedError(str(error)))
        if noop:
            # A leader that cannot write its first entry can do nothing.
            await self.become_follower(self.term, None)

    async def advance_commit(self) -> None:
        """Agrees on what a quorum has synced."""
        matches = {
            peer_id: peer.match_index for peer_id, peer in self._peers.items()
        }
        matches[self._member.member_id] = self._synced_index
        index = quorum.agreed(self.membership, matches, 0)
        if (
            index > self._commit_index
            and self._storage.term_at(index) == self.term
        ):
            self._commit_index = index
            await self._committed.notify()
            for peer in self._peers.values():
                await peer.wake()
        await self._progressed.notify()

    async def _apply_loop(self) -> None:
        while True:
            while self._applied_index >= self._commit_index:
                await self._committed.wait()
            await self._apply_some()
            await self._applied.notify()
            await self._maybe_snapshot()
            await curio.sleep(0)

    async def _apply_some(self) -> None:
        end = min(self._commit_index, self._applied_index + APPLY_BATCH)
        while self._applied_index < end:
            entry = self._storage.log.entry(self._applied_index + 1)
            core_errors.check_invariant(
                entry.index == self._applied_index + 1,
                'entry %d applied after %d',
                entry.index,
                self._applied_index,
            )
            result = None
            if entry.kind == _Kind.COMMAND:
                result = self._machine.apply(entry.index, entry.payload)
            self._applied_index = entry.index
            if entry.kind == _Kind.MEMBERSHIP:
                await self._membership_agreed(entry.index)
            elif entry.kind == _Kind.NOOP:
                await self._membership_agreed(self.membership_index)
            await self._proposals.resolve(entry, result)

    async def _maybe_snapshot(self) -> None:
        since = self._applied_index - self._storage.snapshot_index
        if since < self._options.snapshot_entries:
            return
        if clock.steady_s() < self._next_snapshot_s:
            return
        index = self._applied_index
        data = self._machine.snapshot()
        header = ttypes.SnapshotHeader(
            index=index,
            term=self._storage.term_at(index),
            membership=self._memberships.at(index),
            size=len(data),
            version=storage_module.files.FORMAT_VERSION,
        )
        snapshot = storage_module.Snapshot(header, data)
        try:
            await self._run_blocking(self._storage.save_snapshot, snapshot)
        except errors.DiskFullError as error:
            logs.event(_LOG, 'disk_full', level=logging.ERROR, error=error)
            self._next_snapshot_s = clock.steady_s() + SNAPSHOT_RETRY_S
            return
        async with self._log_lock:
            if self._storage.snapshot_index < index:
                self._adopt_snapshot(header)

    def _adopt_snapshot(self, header: ttypes.SnapshotHeader) -> None:
        # Followers that lag a little get entries instead of the snapshot.
        keep = header.index - self._options.snapshot_entries // 2
        self._storage.adopt_snapshot(header, keep)
        self._memberships.compact(header)

    # Membership of a leader.

    async def _follow_membership(
        self, *, contact_at: float = float('-inf')
    ) -> None:
        """Starts tasks for new peers; those of removed ones end."""
        wanted = {
            member.member_id: member
            for member in quorum.all_members(self.membership)
            if member.member_id != self._member.member_id
        }
        for peer_id in list(self._peers):
            if peer_id not in wanted:
                peer = self._peers.pop(peer_id)
                await peer.wake()
        for peer_id, member in wanted.items():
            if peer_id not in self._peers:
                peer = peers.PeerProgress(
                    member, self._storage.log.last_index + 1, contact_at
                )
                self._peers[peer_id] = peer
                await self.spawn(peers.replicate, self, peer, self.term)

    async def _membership_agreed(self, index: int) -> None:
        """Goes on with a change once its entry is agreed."""
        if not self.is_leader or index != self.membership_index:
            return
        membership = self.membership
        if membership.outgoing:
            final = ttypes.Membership(
                voters=membership.voters,
                outgoing=[],
                learners=membership.learners,
            )
            payload = storage_module.codec.encode(final)
            await self._proposals.add(
                proposals_module.Proposal(_Kind.MEMBERSHIP, payload)
            )
        elif self._member.member_id not in quorum.voter_ids(membership):
            await self.become_follower(self.term, None)

    # Messages from a leader.

    async def receive_append(
        self, request: ttypes.AppendRequest
    ) -> ttypes.AppendReply:
        """Answers a leader's entries or heartbeat."""
        if request.target != self._member.member_id:
            return ttypes.AppendReply(term=0, success=False, last_index=-1)
        if request.term < self.term:
            return self._append_reply(False)
        await self._accept_leader(request.term, request.sender)
        async with self._log_lock:
            if request.term < self.term:
                return self._append_reply(False)
            reply = await self._take_entries(request)
        self.hear_leader()
        return reply

    async def _accept_leader(self, term: int, sender: str) -> None:
        if term == self.term:
            core_errors.check_invariant(
                not self.is_leader, 'two leaders in term %d', term
            )
            core_errors.check_invariant(
                self._leader is None or self._leader.member_id == sender,
                'leader %s and %s in term %d',
                self._leader,
                sender,
                term,
            )
        self.hear_leader()
        leader = self._known_member(sender)
        if term > self.term or self._role is not states.Role.FOLLOWER:
            await self.become_follower(term, leader)
        self._leader = leader

    def _known_member(self, member_id: str) -> ttypes.Member:
        for member in quorum.all_members(self.membership):
            if member.member_id == member_id:
                return member
        return ttypes.Member(
            member_id=member_id, name='', address='', service_address=''
        )

    async def _take_entries(
        self, request: ttypes.AppendRequest
    ) -> ttypes.AppendReply:
        log = self._storage.log
        if request.previous_index > log.last_index:
            return self._append_reply(False, log.last_index)
        entries = [
            entry
            for entry in request.entries
            if entry.index > max(log.start_index, self._commit_index)
        ]
        if request.previous_index > self._commit_index:
            found = self._storage.term_at(request.previous_index)
            if found != request.previous_term:
                return self._append_reply(
                    False, self._before_term(request.previous_index)
                )
        last = request.previous_index + len(request.entries)
        try:
            await self._add_new(entries)
        except errors.DiskFullError as error:
            logs.event(_LOG, 'disk_full', level=logging.ERROR, error=error)
            return self._append_reply(False, log.last_index)
        await self._learn_commit(min(request.commit_index, last))
        return self._append_reply(True, last)

    async def _add_new(self, entries: list[ttypes.LogEntry]) -> None:
        """Appends what the log does not have; replaces what differs."""
        log = self._storage.log
        fresh = []
        for position, entry in enumerate(entries):
            term = log.term_at(entry.index)
            if term != entry.term:
                fresh = entries[position:]
                break
            core_errors.check_invariant(
                log.entry(entry.index).payload == entry.payload,
                'two entries %d of term %d',
                entry.index,
                entry.term,
            )
        if not fresh:
            return
        if fresh[0].index <= log.last_index:
            self._truncate_from(fresh[0].index)
        self._append(fresh)
        await self._sync()
        self._synced_index = log.last_index

    async def _learn_commit(self, index: int) -> None:
        if index > self._commit_index:
            self._commit_index = index
            await self._committed.notify()

    def _before_term(self, index: int) -> int:
        """Returns the last index before the term of an entry."""
        term = self._storage.term_at(index)
        floor = max(self._storage.log.start_index, self._commit_index)
        while index > floor and self._storage.term_at(index) == term:
            index -= 1
        return index

    def _append_reply(
        self, success: bool, last_index: int | None = None
    ) -> ttypes.AppendReply:
        if last_index is None:
            last_index = self._storage.log.last_index
        return ttypes.AppendReply(
            term=self.term, success=success, last_index=last_index
        )

    async def receive_snapshot(
        self, request: ttypes.SnapshotRequest
    ) -> ttypes.SnapshotReply:
        """Answers a piece of a leader's snapshot."""
        header = request.header
        if request.target != self._member.member_id:
            return ttypes.SnapshotReply(term=0, next_offset=0, installed=False)
        if request.term < self.term:
            return ttypes.SnapshotReply(
                term=self.term, next_offset=0, installed=False
            )
        await self._accept_leader(request.term, request.sender)
        async with self._log_lock:
            if header.index <= self._commit_index:
                return ttypes.SnapshotReply(
                    term=self.term,
                    next_offset=request.file_size,
                    installed=True,
                )
            offset = self._storage.append_partial(
                header, request.offset, request.chunk
            )
            installed = offset >= request.file_size
            if installed:
                installed = await self._install(header)
                offset = offset if installed else 0
        self.hear_leader()
        return ttypes.SnapshotReply(
            term=self.term, next_offset=offset, installed=installed
        )

    async def _install(self, header: ttypes.SnapshotHeader) -> bool:
        try:
            snapshot = self._storage.install_partial(header)
        except errors.CorruptionError as error:
            logs.event(
                _LOG, 'snapshot_bad', level=logging.WARNING, error=error
            )
            return False
        self._machine.restore(snapshot.data)
        self._memberships.reset(header)
        self._note_later_memberships(header.index)
        self._applied_index = header.index
        self._commit_index = header.index
        self._synced_index = self._storage.log.last_index
        await self._proposals.lose(header.index)
        await self._applied.notify()
        return True
