"""Results of operators' changes by idempotency key, kept for retries."""

from __future__ import annotations

import typing

from banyantrack.generated.intent import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

KEY_LIMIT = 8192
# Age up to which a key is kept in any case. While the table is full of younger
# keys, changes with a new key are rejected.
KEY_MIN_AGE_MS = 600_000
# Age from which a key is removed even if the table is not full.
KEY_MAX_AGE_MS = 86_400_000


class KeyTable:
    """Bounded table of first results by idempotency key.

    Args:
        limit: Maximum number of keys.
    """

    def __init__(self, *, limit: int = KEY_LIMIT) -> None:
        self._limit = limit
        self._records: dict[str, ttypes.KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> ttypes.KeyRecord | None:
        """Returns the record of a key, or None."""
        return self._records.get(key)

    def evict_expired(self, now_ms: int) -> bool:
        """Removes expired keys; returns whether there is space for one."""
        for key in list(self._records):
            age_ms = now_ms - self._records[key].at_ms
            full = len(self._records) >= self._limit
            if age_ms < (KEY_MIN_AGE_MS if full else KEY_MAX_AGE_MS):
                break
            del self._records[key]
        return len(self._records) < self._limit

    def put(self, record: ttypes.KeyRecord) -> None:
        """Adds a record; call `evict_expired` first."""
        self._records[record.key] = record

    def records(self) -> list[ttypes.KeyRecord]:
        """Returns all records, oldest first."""
        return list(self._records.values())

    def restore(
        self, records: collections.abc.Iterable[ttypes.KeyRecord]
    ) -> None:
        """Replaces all records."""
        self._records = {record.key: record for record in records}
