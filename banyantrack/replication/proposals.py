"""Payloads on their way into the log, and who waits for them."""

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

# Proposals that wait to be written; more are refused as not applied.
PROPOSAL_LIMIT = 20_000


class Proposal:
    """A payload on its way into the log.

    Args:
        kind: Kind of its entry.
        payload: The payload.
    """

    __slots__ = ('kind', 'payload', 'term', 'done', 'applied', 'error')

    def __init__(self, kind: int, payload: bytes) -> None:
        self.kind = kind
        self.payload = payload
        # Term of its entry; 0 until it is written.
        self.term = 0
        self.done = curio.Event()
        self.applied: api.Applied | None = None
        self.error: errors.ReplicationError | None = None

    async def fail(self, error: errors.ReplicationError) -> None:
        """Tells who waits that it will bring no result."""
        self.error = error
        await self.done.set()


class Proposals:
    """Proposals that wait to be written, and those that wait to be applied."""

    def __init__(self) -> None:
        self._queue: collections.deque[Proposal] = collections.deque()
        self._written: dict[int, Proposal] = {}
        self._queued = signals.Signal()

    def __bool__(self) -> bool:
        return bool(self._queue)

    @property
    def full(self) -> bool:
        """Whether no more may wait."""
        return len(self._queue) >= PROPOSAL_LIMIT

    def waits(self, kind: int) -> bool:
        """Whether a proposal of a kind waits to be written."""
        return any(proposal.kind == kind for proposal in self._queue)

    async def add(self, proposal: Proposal) -> None:
        """Adds a proposal."""
        self._queue.append(proposal)
        await self._queued.notify()

    async def wait(self) -> None:
        """Waits until there is a proposal to write."""
        while not self._queue:
            await self._queued.wait()

    def withdraw(self, proposal: Proposal) -> bool:
        """Takes a proposal back; returns whether it was not written."""
        if proposal.term or proposal not in self._queue:
            return False
        self._queue.remove(proposal)
        return True

    def take_batch(self, limit_bytes: int, *, grouped: bool) -> list[Proposal]:
        """Returns proposals that are written together; at least one.

        Args:
            limit_bytes: Bytes of payload after which the batch ends.
            grouped: Whether there may be more than one.
        """
        batch = [self._queue.popleft()]
        size = len(batch[0].payload)
        while self._queue and grouped:
            size += len(self._queue[0].payload)
            if size > limit_bytes:
                break
            batch.append(self._queue.popleft())
        return batch

    def note_written(self, proposal: Proposal, entry: ttypes.LogEntry) -> None:
        """Notes where in the log a proposal stands."""
        proposal.term = entry.term
        self._written[entry.index] = proposal

    async def refuse_queued(self, error: errors.ReplicationError) -> None:
        """Fails all that were not written."""
        while self._queue:
            await self._queue.popleft().fail(error)

    async def resolve(self, entry: ttypes.LogEntry, result: object) -> None:
        """Tells who waits for an entry that it is applied."""
        proposal = self._written.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.applied = api.Applied(entry.index, result)
            await proposal.done.set()
            return
        await proposal.fail(
            errors.NotAppliedError(
                f'another leader agreed on entry {entry.index}'
            )
        )

    async def lose(self, index: int) -> None:
        """Fails those whose entries came with a snapshot, as unknown."""
        for at in [at for at in self._written if at <= index]:
            await self._written.pop(at).fail(
                errors.UnknownOutcomeError(f'entry {at} came with a snapshot')
            )
