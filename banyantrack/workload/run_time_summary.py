"""Replicated summary of what is known of run times.

The leader learns, and stores what has changed here; a new leader starts from
it. Nothing but forecasts depends on the entries.
"""

from __future__ import annotations

import typing

from banyantrack.generated.workload import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

# Largest size of all stored entries. Those that were changed least recently
# are dropped first.
MAX_BYTES = 64 * 1024
# Size of an entry without its names and values.
ENTRY_BYTES = 24
# Most values of an entry; larger ones are invalid.
MAX_VALUES = 32


class RunTimeEntries:
    """Entries by queue and customer."""

    def __init__(self) -> None:
        self._entries: dict[tuple[str, str | None], ttypes.RunTimeEntry] = {}
        self._bytes = 0

    def __iter__(self) -> collections.abc.Iterator[ttypes.RunTimeEntry]:
        return iter(self._entries.values())

    @property
    def size_bytes(self) -> int:
        """Size of all entries as they are stored, at most `MAX_BYTES`."""
        return self._bytes

    def merge(self, summary: ttypes.RunTimeSummary | None) -> None:
        """Stores the entries of a summary, which replace earlier ones."""
        if summary is None:
            return
        for entry in summary.entries or ():
            if len(entry.values) > MAX_VALUES:
                continue
            key = entry.queue, entry.customer
            self._drop(key)
            self._entries[key] = entry
            self._bytes += _size_bytes(entry)
        while self._bytes > MAX_BYTES:
            self._drop(next(iter(self._entries)))

    def snapshot(self) -> ttypes.RunTimeSummary | None:
        """Returns all entries; None if there are none."""
        if not self._entries:
            return None
        return ttypes.RunTimeSummary(entries=list(self._entries.values()))

    def _drop(self, key: tuple[str, str | None]) -> None:
        dropped = self._entries.pop(key, None)
        if dropped is not None:
            self._bytes -= _size_bytes(dropped)


def _size_bytes(entry: ttypes.RunTimeEntry) -> int:
    names = entry.queue + (entry.customer or '')
    return ENTRY_BYTES + len(names.encode()) + 4 * len(entry.values)
