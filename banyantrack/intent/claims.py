"""Claims of non-idempotent requests, so that each runs at most once.

An entry claims a request before it dispatches it. A claim ends with the
recorded answer or with an unknown outcome, or is released if the request
certainly did not run.
"""

from __future__ import annotations

import typing

from banyantrack.core import errors
from banyantrack.generated.intent import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

CLAIM_LIMIT = 8192
CLAIM_BYTES_LIMIT = 4 * 1024 * 1024
# Age up to which a claim is kept in any case. While the table is full of
# younger claims, new claims are rejected and their requests do not run.
CLAIM_MIN_AGE_MS = 600_000
# Age from which a claim is removed even if the table is not full.
CLAIM_MAX_AGE_MS = 86_400_000
# Counted for each record in addition to its key and body.
RECORD_OVERHEAD_BYTES = 400

State = ttypes.ClaimState
Verdict = ttypes.ClaimVerdict


class ClaimTable:
    """Bounded table of claims by key.

    Args:
        limit: Maximum number of claims.
        bytes_limit: Bytes of all records, overhead included, from which the
            table is full.
    """

    def __init__(
        self,
        *,
        limit: int = CLAIM_LIMIT,
        bytes_limit: int = CLAIM_BYTES_LIMIT,
    ) -> None:
        self._limit = limit
        self._bytes_limit = bytes_limit
        self._bytes = 0
        self._records: dict[str, ttypes.ClaimRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def size_bytes(self) -> int:
        """Bytes of keys, recorded answers and overhead."""
        return self._bytes

    def claim(
        self, command: ttypes.ClaimCommand, now_ms: int
    ) -> ttypes.ClaimResult:
        """Claims a request.

        Args:
            command: The claim.
            now_ms: Current time in milliseconds since 1970.

        Returns:
            The verdict GRANTED if the request may run; otherwise the reason
            why it must not run now, or the recorded answer.
        """
        record = self._records.get(command.key)
        if record is None:
            return self._claim_new(command, now_ms)
        if record.digest != command.digest:
            return _verdict_only(Verdict.MISMATCH)
        if record.state == State.DONE:
            return ttypes.ClaimResult(
                verdict=Verdict.RECORDED,
                status=record.status,
                content_type=record.content_type,
                body=record.body,
            )
        if record.state == State.UNKNOWN:
            return _verdict_only(Verdict.UNKNOWN)
        if record.claimant == command.claimant:
            return _verdict_only(Verdict.GRANTED)
        if now_ms > record.at_ms + record.deadline_ms:
            # The claimant did not record an outcome before the deadline.
            record.state = State.UNKNOWN
            return _verdict_only(Verdict.UNKNOWN)
        return _verdict_only(Verdict.IN_PROGRESS)

    def finish(self, command: ttypes.ClaimResultCommand) -> None:
        """Records the outcome of a claimed request.

        An outcome for an unknown claim or of another claimant is ignored.

        Raises:
            InvariantError: If another answer is recorded already.
        """
        record = self._records.get(command.key)
        if record is None or record.claimant != command.claimant:
            return
        if record.state == State.DONE:
            errors.check_invariant(
                command.state != State.DONE
                or (command.status, command.body)
                == (record.status, record.body),
                'two different answers for claim %s',
                command.key,
            )
            return
        self._bytes -= _size_bytes(record)
        record.state = command.state
        record.status = command.status
        record.content_type = command.content_type
        record.body = command.body
        self._bytes += _size_bytes(record)

    def release(self, command: ttypes.ClaimReleaseCommand) -> None:
        """Removes the claim of a request that certainly did not run."""
        record = self._records.get(command.key)
        if (
            record is not None
            and record.claimant == command.claimant
            and record.state == State.IN_PROGRESS
        ):
            self._remove(command.key)

    def records(self) -> list[ttypes.ClaimRecord]:
        """Returns all records, oldest first."""
        return list(self._records.values())

    def restore(
        self, records: collections.abc.Iterable[ttypes.ClaimRecord]
    ) -> None:
        """Replaces all records."""
        self._records = {record.key: record for record in records}
        self._bytes = sum(map(_size_bytes, self._records.values()))

    def _claim_new(
        self, command: ttypes.ClaimCommand, now_ms: int
    ) -> ttypes.ClaimResult:
        if not self._evict_expired(now_ms):
            return _verdict_only(Verdict.FULL)
        record = ttypes.ClaimRecord(
            key=command.key,
            digest=command.digest,
            claimant=command.claimant,
            at_ms=now_ms,
            state=State.IN_PROGRESS,
            status=0,
            content_type='',
            body=b'',
            deadline_ms=command.deadline_ms,
        )
        self._records[command.key] = record
        self._bytes += _size_bytes(record)
        return _verdict_only(Verdict.GRANTED)

    def _evict_expired(self, now_ms: int) -> bool:
        """Removes expired claims; returns whether there is space for one."""
        for key in list(self._records):
            record = self._records[key]
            keep_ms = CLAIM_MIN_AGE_MS if self._is_full else CLAIM_MAX_AGE_MS
            removable_at_ms = record.at_ms + max(record.deadline_ms, keep_ms)
            if now_ms < removable_at_ms:
                break
            self._remove(key)
        return not self._is_full

    @property
    def _is_full(self) -> bool:
        return (
            len(self._records) >= self._limit
            or self._bytes >= self._bytes_limit
        )

    def _remove(self, key: str) -> None:
        self._bytes -= _size_bytes(self._records.pop(key))


def _size_bytes(record: ttypes.ClaimRecord) -> int:
    return len(record.key) + len(record.body) + RECORD_OVERHEAD_BYTES


def _verdict_only(verdict: int) -> ttypes.ClaimResult:
    return ttypes.ClaimResult(
        verdict=verdict, status=0, content_type='', body=b''
    )
