"""Table of the backends that announced themselves, with operators' labels.

The table does not decide whether a backend is down. A backend that stops
announcing itself lapses: it stays in the table, but other backends are
preferred. It is removed after `REMOVAL_AGE_S`, since its id may never be used
again.
"""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import clock
from banyantrack.core import ids
from banyantrack.generated.cluster import ttypes as cluster

if typing.TYPE_CHECKING:
    import collections.abc

# Age of the latest announcement at which a backend is removed.
REMOVAL_AGE_S = 600.0
State = cluster.BackendState


@dataclasses.dataclass(slots=True)
class Backend:
    """One backend.

    Attributes:
        backend_id: Its id.
        announcement: The latest announcement.
        announced_at: Monotonic time in seconds of the latest announcement.
        announced_version: `BackendTable.version` at the latest announcement.
        operator_labels: Labels that operators set.
    """

    backend_id: ids.BackendId
    announcement: cluster.Announcement
    announced_at: float
    announced_version: int
    operator_labels: dict[str, str]

    @property
    def address(self) -> str:
        """Address that serves requests."""
        return self.announcement.address

    @property
    def slots(self) -> int:
        """Number of requests that it runs concurrently."""
        return self.announcement.slots

    @property
    def zone(self) -> str:
        """Availability zone."""
        return self.announcement.zone

    @property
    def leaving(self) -> bool:
        """Whether it accepts no new requests."""
        return self.announcement.state == State.LEAVING

    @property
    def labels(self) -> dict[str, str]:
        """Announced labels, overridden by those of operators."""
        return {**(self.announcement.labels or {}), **self.operator_labels}


class BackendTable:
    """All backends that were announced.

    Args:
        lapse_s: Seconds without an announcement after which a backend
            lapses.
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
        """Number that increases with each change that affects routing."""
        return self._generation

    def get(self, backend_id: ids.BackendId) -> Backend | None:
        """Returns a backend, or None."""
        return self._backends.get(backend_id)

    def announce(
        self, announcement: cluster.Announcement, *, age_s: float = 0.0
    ) -> bool:
        """Records an announcement.

        An announcement of an older incarnation is ignored. Within one
        incarnation the state LEAVING is final, so a delayed announcement
        never sets the backend back to SERVING.

        Args:
            announcement: The announcement.
            age_s: Seconds since it was made.

        Returns:
            Whether the announcement was newer than the recorded one.
        """
        backend_id = ids.BackendId(announcement.backend_id)
        announced_at = clock.steady_s() - age_s
        current = self._backends.get(backend_id)
        if current is None:
            self._generation += 1
            self._version += 1
            self._backends[backend_id] = Backend(
                backend_id,
                announcement,
                announced_at,
                self._version,
                self._operator_labels.get(backend_id, {}),
            )
            return True
        if announcement.incarnation < current.announcement.incarnation:
            return False
        if announcement.incarnation == current.announcement.incarnation:
            if current.leaving and announcement.state != State.LEAVING:
                return False
        unchanged = announcement == current.announcement
        if unchanged and announced_at <= current.announced_at:
            return False
        if (
            not unchanged
            and announced_at < current.announced_at
            and (
                announcement.incarnation == current.announcement.incarnation
                and announcement.state == current.announcement.state
            )
        ):
            # A delayed announcement holds outdated labels or slots.
            return False
        self._update(current, announcement, announced_at, unchanged)
        return True

    def set_operator_labels(self, labels: dict[str, dict[str, str]]) -> None:
        """Replaces the labels that operators set, by backend id."""
        if labels == self._operator_labels:
            return
        self._operator_labels = labels
        self._generation += 1
        for backend in self._backends.values():
            backend.operator_labels = labels.get(backend.backend_id, {})

    def lapsed(self, backend: Backend) -> bool:
        """Returns whether the latest announcement is older than `lapse_s`."""
        return clock.steady_s() - backend.announced_at > self._lapse_s

    def remove_expired(self) -> list[ids.BackendId]:
        """Removes backends not announced for `REMOVAL_AGE_S`; returns them."""
        now_s = clock.steady_s()
        expired = [
            backend_id
            for backend_id, backend in self._backends.items()
            if now_s - backend.announced_at > REMOVAL_AGE_S
        ]
        for backend_id in expired:
            del self._backends[backend_id]
            self._generation += 1
        return expired

    def updated_after(self, version: int) -> list[Backend]:
        """Returns the backends that were announced after a version."""
        return [
            b for b in self._backends.values() if b.announced_version > version
        ]

    @property
    def version(self) -> int:
        """Number that increases with each recorded announcement."""
        return self._version

    def _update(
        self,
        current: Backend,
        announcement: cluster.Announcement,
        announced_at: float,
        unchanged: bool,
    ) -> None:
        was_lapsed = self.lapsed(current)
        current.announcement = announcement
        current.announced_at = max(announced_at, current.announced_at)
        self._version += 1
        current.announced_version = self._version
        if not unchanged or was_lapsed:
            self._generation += 1
