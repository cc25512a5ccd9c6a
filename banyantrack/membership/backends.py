"""Backends as they announce themselves, with the labels of operators.

Whether a backend is down is not decided here. One that stops announcing
keeps its place for a while and is used last; it is forgotten only after a
much longer time, since its id may never come back.
"""

from __future__ import annotations

import dataclasses
import time
import typing

from banyantrack.core import ids
from banyantrack.generated.cluster import ttypes as cluster

if typing.TYPE_CHECKING:
    import collections.abc

FORGET_S = 600.0
State = cluster.BackendState


@dataclasses.dataclass(slots=True)
class Backend:
    """One backend.

    Attributes:
        backend_id: Its id.
        announcement: The newest announcement.
        heard_at: Monotonic time when the announcement was made.
        changed: Goes up whenever anything changes.
        operator_labels: Labels that operators gave it.
    """

    backend_id: ids.BackendId
    announcement: cluster.Announcement
    heard_at: float
    changed: int
    operator_labels: dict[str, str]

    @property
    def address(self) -> str:
        """Where it takes requests."""
        return self.announcement.address

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""
        return self.announcement.slots

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self.announcement.zone

    @property
    def leaving(self) -> bool:
        """Whether it takes no new work."""
        return self.announcement.state == State.LEAVING

    @property
    def labels(self) -> dict[str, str]:
        """Its own labels, under those of operators."""
        return {**(self.announcement.labels or {}), **self.operator_labels}


class BackendTable:
    """All backends that were announced.

    Args:
        lapse_s: Seconds without an announcement after which a backend is
            used last.
    """

    def __init__(self, *, lapse_s: float) -> None:
        self._lapse_s = lapse_s
        self._backends: dict[ids.BackendId, Backend] = {}
        self._operator_labels: dict[str, dict[str, str]] = {}
        self._generation = 0
        self._version = 0

    def __iter__(self) -> collections.abc.Iterator[Backend]:
        return iter(self._backends.values())

    def __len__(self) -> int:
        return len(self._backends)

    @property
    def generation(self) -> int:
        """Goes up whenever something changes that decides on routing."""
        return self._generation

    def get(self, backend_id: ids.BackendId) -> Backend | None:
        """Returns a backend, or None."""
        return self._backends.get(backend_id)

    def announce(
        self, announcement: cluster.Announcement, *, age_s: float = 0.0
    ) -> bool:
        """Takes an announcement in.

        An older incarnation changes nothing. Within an incarnation leaving
        sticks, so a late announcement never brings the backend back.

        Args:
            announcement: The announcement.
            age_s: Seconds since it was made.

        Returns:
            Whether anything became newer.
        """
        backend_id = ids.BackendId(announcement.backend_id)
        heard_at = time.monotonic() - age_s
        known = self._backends.get(backend_id)
        if known is None:
            self._generation += 1
            self._version += 1
            self._backends[backend_id] = Backend(
                backend_id,
                announcement,
                heard_at,
                self._version,
                self._operator_labels.get(backend_id, {}),
            )
            return True
        if announcement.incarnation < known.announcement.incarnation:
            return False
        if announcement.incarnation == known.announcement.incarnation:
            if known.leaving and announcement.state != State.LEAVING:
                return False
        same = announcement == known.announcement
        if same and heard_at <= known.heard_at:
            return False
        if (
            not same
            and heard_at < known.heard_at
            and (
                announcement.incarnation == known.announcement.incarnation
                and announcement.state == known.announcement.state
            )
        ):
            # Labels or slots of before.
            return False
        self._renew(known, announcement, heard_at, same)
        return True

    def set_operator_labels(self, labels: dict[str, dict[str, str]]) -> None:
        """Replaces the labels that operators gave, by backend id."""
        if labels == self._operator_labels:
            return
        self._operator_labels = labels
        self._generation += 1
        for backend in self._backends.values():
            backend.operator_labels = labels.get(backend.backend_id, {})

    def lapsed(self, backend: Backend) -> bool:
        """Whether a backend has not announced itself for a while."""
        return time.monotonic() - backend.heard_at > self._lapse_s

    def forget_old(self) -> list[ids.BackendId]:
        """Forgets backends that stopped announcing long ago."""
        now_s = time.monotonic()
        old = [
            backend_id
            for backend_id, backend in self._backends.items()
            if now_s - backend.heard_at > FORGET_S
        ]
        for backend_id in old:
            del self._backends[backend_id]
            self._generation += 1
        return old

    def changed_after(self, version: int) -> list[Backend]:
        """Returns backends that changed after a version."""
        return [b for b in self._backends.values() if b.changed > version]

    @property
    def version(self) -> int:
        """Version of the latest change of any backend."""
        return self._version

    def _renew(
        self,
        known: Backend,
        announcement: cluster.Announcement,
        heard_at: float,
        same: bool,
    ) -> None:
        was_lapsed = self.lapsed(known)
        known.announcement = announcement
        known.heard_at = max(heard_at, known.heard_at)
        self._version += 1
        known.changed = self._version
        if not same or was_lapsed:
            self._generation += 1
