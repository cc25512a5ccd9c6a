"""One member of a Raft group: roles, log replication and membership.

Implements Raft with pre-vote, check-quorum, joint consensus for membership
changes and linearizable reads (ReadIndex). A replica runs one task for each
peer, one that writes the log, one that applies committed entries and one
that starts elections.
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

APPLY_BATCH_ENTRIES = 64
# Leader lease as a fraction of the election timeout; the rest is a margin for
# clocks that run at different rates.
LEASE_FRACTION = 0.9
# Time for which the disk counts as full after a write failed for lack of
# space.
DISK_FULL_HOLD_S = 2.0
# Delay before a snapshot that failed on a full disk is retried.
SNAPSHOT_RETRY_S = 5.0
_LOG = logging.getLogger(__name__)
_Kind = ttypes.EntryKind


class Replica:
    """One member of a Raft group.

    Args:
        member: This member; its `member_id` is set to that of the storage.
        storage: Term, vote, snapshot and log on disk.
        machine: State machine that committed entries are applied to.
        transport: Sends requests to other members.
        options: Timeouts and size limits.
        contacts: RPC addresses to send join requests to, while the storage
            is empty or no leader has contacted this member.
        rng: Source of randomness for election timeouts.
        run_blocking: Runs a blocking disk operation without blocking the
            event loop.
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
        self._state_machine = machine
        self._transport = transport
        self._options = options
        self._contacts = contacts
        self._rng = rng or random.Random()
        self._run_blocking = run_blocking
        self._role = states.Role.FOLLOWER
        self._leader: ttypes.Member | None = None
        self._started_at = clock.steady_s()
        self._has_history = not storage.is_empty
        self._election_timer_reset_at = self._started_at
        self._commit_index = storage.snapshot_index
        self._applied_index = 0
        self._synced_index = storage.log.last_index
        # Index of the no-op entry of the term that this member leads; 0 until
        # it is written.
        self._term_start_index = 0
        self._handing_over = False
        self._sync_started_at: float | None = None
        self._last_sync_durations_s = (0.0, 0.0)
        self._disk_full_at = float('-inf')
        self._next_snapshot_at = float('-inf')
        self._election_started_at = float('-inf')
        self._peers: dict[str, peers.PeerProgress] = {}
        self._proposals = proposals_module.Proposals()
        self._log_lock = curio.Lock()
        # Notified after an answer of a peer, a sync of the own log and the end
        # of leadership.
        self._progressed = signals.Signal()
        self._committed = signals.Signal()
        self._applied = signals.Signal()
        self._failure: BaseException | None = None
        self._failed = curio.Event()
        self._tasks: set[curio.Task] = set()
        self._memberships = memberships.MembershipHistory()
        self._restore()

    @property
    def member(self) -> ttypes.Member:
        """This member."""
        return self._member

    @property
    def storage(self) -> storage_module.Storage:
        """Term, vote, snapshot and log on disk."""
        return self._storage

    @property
    def options(self) -> api.Options:
        """Timeouts and size limits."""
        return self._options

    @property
    def transport(self) -> api.Transport:
        """Sends requests to other members."""
        return self._transport

    @property
    def rng(self) -> random.Random:
        """Source of randomness."""
        return self._rng

    @property
    def role(self) -> states.Role:
        """Current role; a follower without a vote is a learner."""
        if (
            self._role is states.Role.FOLLOWER
            and self._member.member_id not in quorum.voter_ids(self.membership)
        ):
            return states.Role.LEARNER
        return self._role

    @property
    def term(self) -> int:
        """Current term."""
        return self._storage.term

    @property
    def leader(self) -> ttypes.Member | None:
        """Leader of the current term, or None if it is unknown."""
        return self._leader

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied to the state machine."""
        return self._applied_index

    @property
    def membership(self) -> ttypes.Membership:
        """Membership of the latest membership entry in the log."""
        return self._memberships.current

    @property
    def membership_index(self) -> int:
        """Index of the latest membership entry in the log."""
        return self._memberships.index

    @property
    def started_at(self) -> float:
        """Steady time at which this object was created."""
        return self._started_at

    @property
    def has_history(self) -> bool:
        """Whether the storage held any entries at the start."""
        return self._has_history

    @property
    def election_timer_reset_at(self) -> float:
        """Monotonic time of the last leader message or granted vote."""
        return self._election_timer_reset_at

    @property
    def quorum_contact_at(self) -> float:
        """Monotonic time at which a quorum last confirmed this leader.

        A member confirms at the time when the last message that it answered
        was sent, so no other leader was elected before the returned time.
        """
        contacts = {
            peer_id: peer.last_contact_at
            for peer_id, peer in self._peers.items()
        }
        contacts[self._member.member_id] = clock.steady_s()
        return quorum.quorum_value(self.membership, contacts, float('-inf'))

    @property
    def is_leader(self) -> bool:
        """Whether it is the leader of its current term.

        A later term may have another leader already.
        """
        return self._role is states.Role.LEADER

    @property
    def ready(self) -> bool:
        """Whether it leads and has applied all entries of earlier terms.

        False during a leadership transfer.
        """
        return (
            self.is_leader
            and not self._handing_over
            and self._applied_index >= self._term_start_index > 0
        )

    def lease_holds(self) -> bool:
        """Whether the leader lease is valid: no other leader can exist.

        Members that answered this leader grant no vote within the shortest
        election timeout after the answer.
        """
        silent_s = clock.steady_s() - self.quorum_contact_at
        return (
            self.is_leader
            and silent_s < LEASE_FRACTION * self._options.election_timeout_s
        )

    async def step_down(self) -> None:
        """Steps down, so that a later term begins."""
        if self.is_leader:
            await self.become_follower(self.term, None)

    def status(self) -> api.ReplicaStatus:
        """Returns the state of this member from its own view."""
        reachable: set[str] = set()
        losses = None
        if self.is_leader:
            since = clock.steady_s() - 2 * self._options.election_timeout_s
            reachable = {
                peer_id
                for peer_id, peer in self._peers.items()
                if peer.last_contact_at >= since
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
        """Runs the tasks of this member until cancelled.

        Raises:
            StorageError: If the storage fails.
            InvariantError: If a safety invariant is violated.
        """
        self._election_timer_reset_at = clock.steady_s()
        for function in (
            self._write_loop,
            self._apply_loop,
            elections.Elections(self).run,
        ):
            await self.spawn(function)
        await self.spawn(joining.join_when_needed, self, self._contacts)
        try:
            await self._failed.wait()
            raise self._failure
        finally:
            for task in list(self._tasks):
                await task.cancel()

    async def spawn(
        self,
        function: collections.abc.Callable[..., typing.Any],
        *args: object,
    ) -> None:
        """Starts a task that ends with this member.

        An exception in the task is raised by `run`.
        """
        await curio.spawn(self._run_task, function, args, daemon=True)

    async def _run_task(
        self,
        function: collections.abc.Callable[..., typing.Any],
        args: tuple[object, ...],
    ) -> None:
        task = await curio.current_task()
        self._tasks.add(task)
        try:
            await function(*args)
        except curio.CancelledError:
            raise
        except Exception as error:
            await self.fail(error)
        finally:
            self._tasks.discard(task)

    async def fail(self, error: BaseException) -> None:
        """Stops this member with a fatal error, which `run` raises."""
        if self._failure is None:
            self._failure = error
            await self._failed.set()

    # Proposals and reads.

    async def propose(
        self, payload: bytes, *, timeout_s: float
    ) -> api.Applied:
        """Appends an entry and waits until it is committed and applied.

        Args:
            payload: The command for the state machine.
            timeout_s: Seconds to wait.

        Raises:
            NotLeaderError: If this member does not lead; not applied.
            NotAppliedError: If the entry was not and will not be applied.
            UnknownOutcomeError: If the entry may or may not be applied.
        """
        return await self._propose(_Kind.COMMAND, payload, timeout_s)

    async def read_barrier(self, *, timeout_s: float) -> int:
        """Waits until reads of the state machine are linearizable.

        Args:
            timeout_s: Seconds to wait.

        Returns:
            Read index: all entries up to it are applied.

        Raises:
            NotLeaderError: If this member does not lead, or if a quorum did
                not confirm its leadership before the timeout.
        """
        started_at = clock.steady_s()
        deadline = started_at + timeout_s
        term = self.term
        while True:
            if not self.is_leader or self.term != term:
                raise self.not_leader_error()
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
                    raise self.not_leader_error()
        index = self._commit_index
        left_s = deadline - clock.steady_s()
        if not await self.wait_applied(index, timeout_s=left_s):
            raise self.not_leader_error()
        return index

    async def wait_applied(self, index: int, *, timeout_s: float) -> bool:
        """Waits until this member has applied an entry.

        Args:
            index: Index of the entry.
            timeout_s: Seconds to wait.

        Returns:
            Whether the entry is applied.
        """
        deadline = clock.steady_s() + timeout_s
        while self._applied_index < index:
            left_s = deadline - clock.steady_s()
            if left_s <= 0:
                return False
            await self._applied.wait_for(left_s)
        return True

    async def wait_next_applied(self, timeout_s: float) -> None:
        """Waits until another entry is applied, at most `timeout_s`."""
        await self._applied.wait_for(timeout_s)

    def not_leader_error(self) -> errors.NotLeaderError:
        """Returns the error for callers, with the leader's addresses."""
        leader = None if self.is_leader else self._leader
        if leader is None:
            return errors.NotLeaderError('', '')
        return errors.NotLeaderError(leader.address, leader.service_address)

    async def _propose(
        self, kind: int, payload: bytes, timeout_s: float
    ) -> api.Applied:
        if not self.is_leader or self._handing_over:
            raise self.not_leader_error()
        if self._proposals.full:
            raise errors.NotAppliedError('proposal queue is full')
        if kind == _Kind.MEMBERSHIP and self._proposals.has_queued(kind):
            raise errors.MembershipError('another change is in progress')
        proposal = proposals_module.Proposal(kind, payload)
        await self._proposals.add(proposal)
        try:
            async with curio.timeout_after(timeout_s):
                await proposal.done.wait()
        except curio.TaskTimeout:
            if self._proposals.withdraw(proposal):
                raise errors.NotAppliedError(
                    f'not written to the log within {timeout_s:.3f} s'
                ) from None
            raise errors.UnknownOutcomeError(
                f'not committed within {timeout_s:.3f} s'
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
        """Adds, removes or replaces one voter in one membership change.

        Args:
            add: Id of a learner that has caught up; empty for none.
            remove: Id of a voter; empty for none.
            timeout_s: Seconds to wait.

        Raises:
            MembershipError: If the change is not possible now.
            NotLeaderError: If this member does not lead.
            UnknownOutcomeError: If the change may or may not take effect.
        """
        target = peers.joint_membership(self, add=add, remove=remove)
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
        """Adds a learner, which receives the log without voting.

        Raises:
            MembershipError: If a change is in progress.
            NotLeaderError: If this member does not lead.
        """
        target = peers.with_learner(self, member)
        payload = storage_module.codec.encode(target)
        await self._propose(_Kind.MEMBERSHIP, payload, 10.0)

    def peer(self, peer_id: str) -> peers.PeerProgress | None:
        """Returns the replication progress of a peer.

        None if there is no such peer or this member does not lead.
        """
        return self._peers.get(peer_id)

    async def bootstrap(self) -> None:
        """Makes this member the only voter of a new group.

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
        """Transfers leadership to the voter with the longest log.

        Args:
            timeout_s: Seconds to wait for the transfer.

        Returns:
            Whether this member no longer leads its term.
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
        """Saves term and vote durably.

        Args:
            term: The current term.
            voted_for: Id of the member voted for in the term, or empty.

        Raises:
            DiskFullError: If there is no space; nothing is changed.
            InvariantError: If the term decreases or a vote changes.
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
        """Becomes a follower.

        Args:
            term: The term; saved if it is later than the current one.
            leader: The leader of the term, or None if it is unknown.

        Raises:
            DiskFullError: If there is no space to save a new term.
        """
        was_leader = self.is_leader
        self._role = states.Role.FOLLOWER
        self._leader = None
        try:
            if term > self.term:
                self.save_term(term, '')
            self._leader = leader
        finally:
            # Also if the new term could not be saved: leading on would be
            # unsafe, since the new term may have another leader.
            if was_leader:
                self._election_timer_reset_at = clock.steady_s()
                await self._stop_leading()

    def become_candidate(self) -> None:
        """Starts the next term and votes for itself.

        Raises:
            DiskFullError: If there is no space to save the vote.
        """
        self.save_term(self.term + 1, self._member.member_id)
        self._role = states.Role.CANDIDATE
        self._leader = None
        self._election_started_at = clock.steady_s()

    async def become_leader(self) -> None:
        """Becomes leader of the current term, after winning its election."""
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
        # No later term had a leader when the election started.
        await self._update_peers(contact_at=self._election_started_at)
        await self._proposals.add(proposals_module.Proposal(_Kind.NOOP, b''))

    async def _stop_leading(self) -> None:
        logs.event(_LOG, 'leader_stepped_down', term=self.term)
        self._peers = {}
        await self._proposals.fail_queued(self.not_leader_error())
        await self._progressed.notify()

    def reset_election_timer(self) -> None:
        """Records a message from the leader or a granted vote."""
        self._election_timer_reset_at = clock.steady_s()

    # The log.

    def _restore(self) -> None:
        snapshot = self._storage.load_snapshot()
        if snapshot is not None:
            self._state_machine.restore(snapshot.data)
            self._applied_index = snapshot.header.index
        self._memberships.reset(self._storage.snapshot_header)
        self._load_memberships_after(self._storage.snapshot_index)

    def _load_memberships_after(self, index: int) -> None:
        """Reads the membership entries after an index from the log."""
        log = self._storage.log
        first = max(index, log.start_index) + 1
        self._memberships.add_all(
            log.entry(at) for at in range(first, log.last_index + 1)
        )

    def _append(self, entries: list[ttypes.LogEntry]) -> bool:
        self._storage.log.append(entries)
        return self._memberships.add_all(entries)

    def _truncate_from(self, index: int) -> None:
        core_errors.check_invariant(
            index > self._commit_index,
            'truncation at %d; committed up to %d',
            index,
            self._commit_index,
        )
        self._storage.log.truncate_from(index)
        self._memberships.truncate_from(index)

    @property
    def sync_duration_s(self) -> float:
        """Current duration of a log sync, in seconds.

        The shorter of the last two syncs or, if longer, the time since the
        start of a sync in progress.
        """
        # Set and cleared by the thread that runs the sync.
        started_at = self._sync_started_at
        elapsed_s = 0.0
        if started_at is not None:
            elapsed_s = clock.steady_s() - started_at
        return max(elapsed_s, min(self._last_sync_durations_s))

    @property
    def disk_full(self) -> bool:
        """Whether a batch failed on a full disk within `DISK_FULL_HOLD_S`."""
        return clock.steady_s() - self._disk_full_at < DISK_FULL_HOLD_S

    async def _sync(self) -> None:
        await self._run_blocking(self._timed_sync)

    def _timed_sync(self) -> None:
        """Syncs the log and records the duration.

        Runs in the thread that syncs, so that the duration excludes the
        delay until a busy event loop resumes.
        """
        self._sync_started_at = started_at = clock.steady_s()
        try:
            self._storage.log.sync()
        finally:
            self._sync_started_at = None
            duration_s = clock.steady_s() - started_at
            self._last_sync_durations_s = (
                self._last_sync_durations_s[1],
                duration_s,
            )

    async def _write_loop(self) -> None:
        while True:
            await self._proposals.wait()
            async with self._log_lock:
                if self.is_leader and self._proposals:
                    await self._write_batch()
            if not self._options.group_commit:
                await self._wait_committed(self._storage.log.last_index)

    async def _wait_committed(self, index: int) -> None:
        """Waits until an entry is committed, while this member leads."""
        while self.is_leader and self._commit_index < index:
            await self._progressed.wait()

    async def _write_batch(self) -> None:
        """Appends queued proposals as one batch, syncs and replicates it."""
        term = self.term
        batch = self._proposals.pop_batch(
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
            await self._reject_batch(batch, error)
            return
        for entry, proposal in zip(entries, batch, strict=True):
            self._proposals.record_written(proposal, entry)
            if entry.kind == _Kind.NOOP:
                self._term_start_index = entry.index
        if membership_changed:
            await self._update_peers()
        for peer in self._peers.values():
            await peer.wake()
        await self._sync()
        self._synced_index = entries[-1].index
        if self.is_leader and self.term == term:
            await self.advance_commit_index()

    async def _reject_batch(
        self,
        batch: list[proposals_module.Proposal],
        error: errors.DiskFullError,
    ) -> None:
        logs.event(_LOG, 'disk_full', level=logging.ERROR, error=error)
        self._disk_full_at = clock.steady_s()
        has_noop = any(proposal.kind == _Kind.NOOP for proposal in batch)
        for proposal in batch:
            await proposal.fail(errors.NotAppliedError(str(error)))
        if has_noop:
            # Without the no-op entry of its term a leader can commit nothing.
            await self.become_follower(self.term, None)

    async def advance_commit_index(self) -> None:
        """Commits the entries of this term that a quorum has synced."""
        match_indexes = {
            peer_id: peer.match_index for peer_id, peer in self._peers.items()
        }
        match_indexes[self._member.member_id] = self._synced_index
        index = quorum.quorum_value(self.membership, match_indexes, 0)
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
            await self._apply_batch()
            await self._applied.notify()
            await self._maybe_snapshot()
            await curio.sleep(0)

    async def _apply_batch(self) -> None:
        end = min(
            self._commit_index, self._applied_index + APPLY_BATCH_ENTRIES
        )
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
                result = self._state_machine.apply(entry.index, entry.payload)
            self._applied_index = entry.index
            if entry.kind == _Kind.MEMBERSHIP:
                await self._on_membership_committed(entry.index)
            elif entry.kind == _Kind.NOOP:
                await self._on_membership_committed(self.membership_index)
            await self._proposals.resolve(entry, result)

    async def _maybe_snapshot(self) -> None:
        entries_since = self._applied_index - self._storage.snapshot_index
        if entries_since < self._options.snapshot_entries:
            return
        if clock.steady_s() < self._next_snapshot_at:
            return
        index = self._applied_index
        data = self._state_machine.snapshot()
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
            self._next_snapshot_at = clock.steady_s() + SNAPSHOT_RETRY_S
            return
        async with self._log_lock:
            if self._storage.snapshot_index < index:
                self._adopt_snapshot(header)

    def _adopt_snapshot(self, header: ttypes.SnapshotHeader) -> None:
        # Keeps entries for followers that lag slightly, so that they need no
        # snapshot.
        keep_after = header.index - self._options.snapshot_entries // 2
        self._storage.adopt_snapshot(header, keep_after)
        self._memberships.compact(header)

    # Peers and membership changes of a leader.

    async def _update_peers(
        self, *, contact_at: float = float('-inf')
    ) -> None:
        """Starts tasks for new peers and ends those of removed peers."""
        expected_peers = {
            member.member_id: member
            for member in quorum.all_members(self.membership)
            if member.member_id != self._member.member_id
        }
        for peer_id in list(self._peers):
            if peer_id not in expected_peers:
                peer = self._peers.pop(peer_id)
                await peer.wake()
        for peer_id, member in expected_peers.items():
            if peer_id not in self._peers:
                peer = peers.PeerProgress(
                    member, self._storage.log.last_index + 1, contact_at
                )
                self._peers[peer_id] = peer
                await self.spawn(peers.replicate, self, peer, self.term)

    async def _on_membership_committed(self, index: int) -> None:
        """Continues a membership change once its entry is committed.

        Proposes the final membership after a joint one; steps down after a
        final one in which this member has no vote.
        """
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
        """Handles AppendEntries: entries or a heartbeat of a leader."""
        if request.target != self._member.member_id:
            return ttypes.AppendReply(term=0, success=False, last_index=-1)
        if request.term < self.term:
            return self._append_reply(False)
        await self._accept_leader(request.term, request.sender)
        async with self._log_lock:
            if request.term < self.term:
                return self._append_reply(False)
            reply = await self._accept_entries(request)
        self.reset_election_timer()
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
        self.reset_election_timer()
        leader = self._find_member(sender)
        if term > self.term or self._role is not states.Role.FOLLOWER:
            await self.become_follower(term, leader)
        self._leader = leader

    def _find_member(self, member_id: str) -> ttypes.Member:
        for member in quorum.all_members(self.membership):
            if member.member_id == member_id:
                return member
        return ttypes.Member(
            member_id=member_id, name='', address='', service_address=''
        )

    async def _accept_entries(
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
                    False, self._last_index_before_term(request.previous_index)
                )
        last = request.previous_index + len(request.entries)
        try:
            await self._append_missing(entries)
        except errors.DiskFullError as error:
            logs.event(_LOG, 'disk_full', level=logging.ERROR, error=error)
            return self._append_reply(False, log.last_index)
        await self._raise_commit_index(min(request.commit_index, last))
        return self._append_reply(True, last)

    async def _append_missing(self, entries: list[ttypes.LogEntry]) -> None:
        """Appends entries that the log lacks; replaces conflicting ones."""
        log = self._storage.log
        missing = []
        for position, entry in enumerate(entries):
            term = log.term_at(entry.index)
            if term != entry.term:
                missing = entries[position:]
                break
            core_errors.check_invariant(
                log.entry(entry.index).payload == entry.payload,
                'two entries %d of term %d',
                entry.index,
                entry.term,
            )
        if not missing:
            return
        if missing[0].index <= log.last_index:
            self._truncate_from(missing[0].index)
        self._append(missing)
        await self._sync()
        self._synced_index = log.last_index

    async def _raise_commit_index(self, index: int) -> None:
        if index > self._commit_index:
            self._commit_index = index
            await self._committed.notify()

    def _last_index_before_term(self, index: int) -> int:
        """Returns the last index before the term of an entry.

        The leader continues there, so that a conflicting term is skipped in
        one round trip. Not below the committed or compacted entries.
        """
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
        """Handles InstallSnapshot: a chunk of a leader's snapshot."""
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
                installed = await self._install_snapshot(header)
                offset = offset if installed else 0
        self.reset_election_timer()
        return ttypes.SnapshotReply(
            term=self.term, next_offset=offset, installed=installed
        )

    async def _install_snapshot(self, header: ttypes.SnapshotHeader) -> bool:
        try:
            snapshot = self._storage.install_partial(header)
        except errors.CorruptionError as error:
            logs.event(
                _LOG, 'snapshot_bad', level=logging.WARNING, error=error
            )
            return False
        self._state_machine.restore(snapshot.data)
        self._memberships.reset(header)
        self._load_memberships_after(header.index)
        self._applied_index = header.index
        self._commit_index = header.index
        self._synced_index = self._storage.log.last_index
        await self._proposals.fail_up_to(header.index)
        await self._applied.notify()
        return True
