"""Memberships according to the log, so that a truncation takes them back."""

from __future__ import annotations

import typing

from banyantrack.core import codec
from banyantrack.generated.replication import ttypes
from banyantrack.replication import quorum

if typing.TYPE_CHECKING:
    import collections.abc


class Memberships:
    """Memberships by the index of their entry, oldest first.

    The newest one is in force as soon as it is in the log.
    """

    def __init__(self) -> None:
        self._known: list[tuple[int, ttypes.Membership]] = []
        self.reset(None)

    @property
    def current(self) -> ttypes.Membership:
        """The newest membership."""
        return self._known[-1][1]

    @property
    def index(self) -> int:
        """Index of its entry; 0 for nobody."""
        return self._known[-1][0]

    def reset(self, header: ttypes.SnapshotHeader | None) -> None:
        """Starts anew with the membership of a snapshot, if there is one."""
        if header is None:
            self._known = [(0, quorum.empty_membership())]
        else:
            self._known = [(header.index, header.membership)]

    def note(self, entry: ttypes.LogEntry) -> bool:
        """Takes in an entry that was added to the log.

        Returns:
            Whether it changes the membership.
        """
        if entry.kind != ttypes.EntryKind.MEMBERSHIP:
            return False
        membership = codec.decode(ttypes.Membership, entry.payload)
        self._known.append((entry.index, membership))
        return True

    def note_all(
        self, entries: collections.abc.Iterable[ttypes.LogEntry]
    ) -> bool:
        """Takes in several entries; returns whether any is a membership."""
        return any([self.note(entry) for entry in entries])

    def truncate_from(self, index: int) -> None:
        """Forgets memberships whose entries were dropped from the log."""
        while self._known[-1][0] >= index:
            self._known.pop()

    def at(self, index: int) -> ttypes.Membership:
        """Returns the membership up to an index."""
        for noted, membership in reversed(self._known):
            if noted <= index:
                return membership
        return self._known[0][1]

    def compact(self, header: ttypes.SnapshotHeader) -> None:
        """Forgets what a snapshot replaces."""
        later = [known for known in self._known if known[0] > header.index]
        self._known = [(header.index, header.membership), *later]
