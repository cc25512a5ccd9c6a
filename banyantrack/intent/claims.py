"""Claims of non-idempotent requests: each runs at most once.

An entry claims a request before it dispatches it. A claim ends with the
recorded answer, as unknown, or is released when the request certainly did
not run.
"""

from __future__ import annotations

import typing

from banyantrack.core import errors
from banyantrack.generated.intent import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

CLAIM_LIMIT = 8192
CLAIM_BYTES_LIMIT = 4 * 1024 * 1024
# A claim is kept at least this long after it was made; when the table is
# full of younger ones, further claims are refused as not run.
CLAIM_MIN_AGE_MS = 600_000
CLAIM_MAX_AGE_MS = 86_400_000
RECORD_OVERHEAD_BYTES = 400

State = ttypes.ClaimState
Verdict = ttypes.ClaimVerdict


class ClaimTable:
    """Bounded table of claims by key.

    Args:
        limit: Most claims.
        bytes_limit: Most bytes of recorded answers and overhead.
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
        """Bytes of recorded answers and overhead."""
        return self._bytes

    def claim(
        self, command: ttypes.ClaimCommand, now_ms: int
    ) -> ttypes.ClaimResult:
        """Claims a request, or says why it must not run now."""
        record = self._records.get(command.key)
        if record is None:
            return self._claim_new(command, now_ms)
        if record.digest != command.digest:
            return _result(Verdict.MISMATCH)
        if record.state == State.DONE:
            return ttypes.ClaimResult(
                verdict=Verdict.RECORDED,
                status=record.status,
                content_type=record.content_type,
                body=record.body,
            )
        if record.state == State.UNKNOWN:
            return _result(Verdict.UNKNOWN)
        if record.claimant == command.claimant:
            return _result(Verdict.GRANTED)
        if now_ms > record.at_ms + record.deadline_ms:
            # The claimant went away without an answer.
            record.state = State.UNKNOWN
            return _result(Verdict.UNKNOWN)
        return _result(Verdict.IN_PROGRESS)

    def finish(self, command: ttypes.ClaimResultCommand) -> None:
        """Records how a claimed request ended.

        Raises:
            InvariantError: If it already ended with another answer.
        """
        record = self._records.get(command.key)
        if record is None or record.claimant != command.claimant:
            return
        if record.state == State.DONE:
            errors.check_invariant(
                command.state != State.DONE
                or (command.status, command.body)
                == (record.status, record.body),
                'two answers of claim %s',
                command.key,
            )
            return
        self._bytes -= _size(record)
        record.state = command.state
        record.status = command.status
        record.content_type = command.content_type
        record.body = command.body
        self._bytes += _size(record)

    def release(self, command: ttypes.ClaimReleaseCommand) -> None:
        """Frees the key of a request that certainly did not run."""
        record = self._records.get(command.key)
        if (
            record is not None
            and record.claimant == command.claimant
            and record.state == State.IN_PROGRESS
        ):
            self._drop(command.key)

    def records(self) -> list[ttypes.ClaimRecord]:
        """Returns all records, oldest first."""
        return list(self._records.values())

    def restore(
        self, records: collections.abc.Iterable[ttypes.ClaimRecord]
    ) -> None:
        """Replaces all records."""
        self._records = {record.key: record for record in records}
        self._bytes = sum(map(_size, self._records.values()))

    def _claim_new(
        self, command: ttypes.ClaimCommand, now_ms: int
    ) -> ttypes.ClaimResult:
        if not self._make_room(now_ms):
            return _result(Verdict.FULL)
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
        self._bytes += _size(record)
        return _result(Verdict.GRANTED)

    def _make_room(self, now_ms: int) -> bool:
        for key in list(self._records):
            record = self._records[key]
            limit_ms = CLAIM_MIN_AGE_MS if self._full else CLAIM_MAX_AGE_MS
            ended_by_ms = record.at_ms + max(record.deadline_ms, limit_ms)
            if now_ms < ended_by_ms:
                break
            self._drop(key)
        return not self._full

    @property
    def _full(self) -> bool:
        return (
            len(self._records) >= self._limit
            or self._bytes >= self._bytes_limit
        )

    def _drop(self, key: str) -> None:
        self._bytes -= _size(self._records.pop(key))


def _size(record: ttypes.ClaimRecord) -> int:
    return len(record.key) + len(record.body) + RECORD_OVERHEAD_BYTES


def _result(verdict: int) -> ttypes.ClaimResult:
    return ttypes.ClaimResult(
        verdict=verdict, status=0, content_type='', body=b''
    )
