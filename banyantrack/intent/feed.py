"""Recent changes of objects, for readers that watch them."""

from __future__ import annotations

import bisect
import collections
import typing

from banyantrack.core import errors

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.intent import ttypes

FEED_LIMIT = 4096


class CompactedError(errors.BanyanError):
    """Changes after a revision are no longer kept.

    Attributes:
        oldest_revision: Oldest revision after which all changes are kept.
    """

    def __init__(self, revision: int, oldest_revision: int) -> None:
        super().__init__(
            f'got revision {revision}; valid are from {oldest_revision} on'
        )
        self.oldest_revision = oldest_revision


class ChangeFeed:
    """Bounded list of changed objects in the order of their revisions.

    Args:
        limit: Maximum number of changes that are kept.
    """

    def __init__(self, *, limit: int = FEED_LIMIT) -> None:
        self._limit = limit
        self._changes: collections.deque[ttypes.StoredObject] = (
            collections.deque()
        )
        self._oldest_revision = 0

    @property
    def oldest_revision(self) -> int:
        """Oldest revision after which all changes are kept."""
        return self._oldest_revision

    def reset(self, revision: int) -> None:
        """Removes all changes; the feed restarts after a revision."""
        self._changes.clear()
        self._oldest_revision = revision

    def add(self, stored: ttypes.StoredObject) -> None:
        """Adds a change, and removes the oldest ones beyond the limit."""
        self._changes.append(stored)
        while len(self._changes) > self._limit:
            self._oldest_revision = self._changes.popleft().revision
        # The changes of one revision are removed together.
        while (
            self._changes
            and self._changes[0].revision <= self._oldest_revision
        ):
            self._changes.popleft()

    def after(self, revision: int) -> list[ttypes.StoredObject]:
        """Returns the changes after a revision.

        Raises:
            CompactedError: If some of them are no longer kept.
        """
        if revision < self._oldest_revision:
            raise CompactedError(revision, self._oldest_revision)
        start = bisect.bisect_right(
            self._changes, revision, key=lambda stored: stored.revision
        )
        return [self._changes[i] for i in range(start, len(self._changes))]
