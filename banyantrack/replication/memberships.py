"""Memberships in the log; truncating the log restores an earlier one."""

from __future__ import annotations

import typing

from banyantrack.core import codec
from banyantrack.generated.replication import ttypes
from banyantrack.replication import quorum

if typing.TYPE_CHECKING:
    import collections.abc


class MembershipHistory:
    """Memberships by the index of their log entry, oldest first.

    The newest one is in effect as soon as its entry is in the log, before it
    is committed.
    """

    def __init__(self) -> None:
        self._history: list[tuple[int, ttypes.Membership]] = []
        self.reset(None)

    @property
    def current(self) -> ttypes.Membership:
        """The newest membership."""
        return self._history[-1][1]

    @property
    def index(self) -> int:
        """Index of the newest membership's entry; 0 if there is none."""
        return self._history[-1][0]

    def reset(self, header: ttypes.SnapshotHeader | None) -> None:
        """Drops all; starts with the membership of a snapshot, if given."""
        if header is None:
            self._history = [(0, quorum.empty_membership())]
        else:
            self._history = [(header.index, header.membership)]

    def add(self, entry: ttypes.LogEntry) -> bool:
        """Adds the membership of an appended log entry.

        Returns:
            Whether the entry holds a membership.
        """
        if entry.kind != ttypes.EntryKind.MEMBERSHIP:
            return False
        membership = codec.decode(ttypes.Membership, entry.payload)
        self._history.append((entry.index, membership))
        return True

    def add_all(
        self, entries: collections.abc.Iterable[ttypes.LogEntry]
    ) -> bool:
        """Adds log entries; returns whether any holds a membership."""
        return any([self.add(entry) for entry in entries])

    def truncate_from(self, index: int) -> None:
        """Drops memberships of log entries from an index on."""
        while self._history[-1][0] >= index:
            self._history.pop()

    def at(self, index: int) -> ttypes.Membership:
        """Returns the membership in effect at an index."""
        for entry_index, membership in reversed(self._history):
            if entry_index <= index:
                return membership
        return self._history[0][1]

    def compact(self, header: ttypes.SnapshotHeader) -> None:
        """Replaces memberships up to a snapshot with that of the snapshot."""
        later = [known for known in self._history if known[0] > header.index]
        self._history = [(header.index, header.membership), *later]
