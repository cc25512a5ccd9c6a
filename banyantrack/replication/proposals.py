"""Proposals of a leader, from the queue until they are applied."""

from __future__ import annotations

import collections
import typing

import curio

from banyantrack.core import signals
from banyantrack.generated.replication import ttypes
from banyantrack.replication import api
from banyantrack.replication import errors

if typing.TYPE_CHECKING:
    import collections.abc

# Proposals that may wait to be written; further ones are rejected as not
# applied.
MAX_QUEUED_PROPOSALS = 20_000


class Proposal:
    """A payload to append to the log.

    Args:
        kind: Kind of the entry, an `EntryKind`.
        payload: Payload of the entry.

    Attributes:
        term: Term of the entry; 0 until it is written.
        done: Set once `applied` or `error` is set.
        applied: The outcome; None until the entry is applied.
        error: Why the outcome is unknown or the entry not applied, or None.
    """

    __slots__ = ('kind', 'payload', 'term', 'done', 'applied', 'error')

    def __init__(self, kind: int, payload: bytes) -> None:
        self.kind = kind
        self.payload = payload
        self.term = 0
        self.done = curio.Event()
        self.applied: api.Applied | None = None
        self.error: errors.ReplicationError | None = None

    async def fail(self, error: errors.ReplicationError) -> None:
        """Completes the proposal with an error."""
        self.error = error
        await self.done.set()


class Proposals:
    """Proposals that are queued, and those written but not yet applied."""

    def __init__(self) -> None:
        self._queue: collections.deque[Proposal] = collections.deque()
        self._written: dict[int, Proposal] = {}
        self._queued = signals.Signal()

    def __bool__(self) -> bool:
        return bool(self._queue)

    @property
    def full(self) -> bool:
        """Whether the queue is at its limit."""
        return len(self._queue) >= MAX_QUEUED_PROPOSALS

    def has_queued(self, kind: int) -> bool:
        """Whether a proposal of a kind is queued."""
        return any(proposal.kind == kind for proposal in self._queue)

    async def add(self, proposal: Proposal) -> None:
        """Queues a proposal."""
        self._queue.append(proposal)
        await self._queued.notify()

    async def wait(self) -> None:
        """Waits until a proposal is queued."""
        while not self._queue:
            await self._queued.wait()

    def withdraw(self, proposal: Proposal) -> bool:
        """Removes a proposal; returns whether it was still queued."""
        if proposal.term or proposal not in self._queue:
            return False
        self._queue.remove(proposal)
        return True

    def pop_batch(self, limit_bytes: int, *, grouped: bool) -> list[Proposal]:
        """Removes and returns the next proposals to write; at least one.

        Args:
            limit_bytes: Limit of the payloads in the batch, in bytes; a
                single larger payload is allowed.
            grouped: Whether the batch may hold more than one proposal.
        """
        batch = [self._queue.popleft()]
        size = len(batch[0].payload)
        while self._queue and grouped:
            size += len(self._queue[0].payload)
            if size > limit_bytes:
                break
            batch.append(self._queue.popleft())
        return batch

    def record_written(
        self, proposal: Proposal, entry: ttypes.LogEntry
    ) -> None:
        """Records the log entry of a proposal."""
        proposal.term = entry.term
        self._written[entry.index] = proposal

    async def fail_queued(self, error: errors.ReplicationError) -> None:
        """Fails all queued proposals."""
        while self._queue:
            await self._queue.popleft().fail(error)

    async def resolve(self, entry: ttypes.LogEntry, result: object) -> None:
        """Completes the proposal that waits for an applied entry, if any."""
        proposal = self._written.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.applied = api.Applied(entry.index, result)
            await proposal.done.set()
            return
        await proposal.fail(
            errors.NotAppliedError(
                f'another leader committed entry {entry.index}'
            )
        )

    async def fail_up_to(self, index: int) -> None:
        """Fails proposals up to an index that a snapshot replaced.

        Their outcome is unknown.
        """
        for at in [at for at in self._written if at <= index]:
            await self._written.pop(at).fail(
                errors.UnknownOutcomeError(
                    f'entry {at} was replaced by a snapshot'
                )
            )
