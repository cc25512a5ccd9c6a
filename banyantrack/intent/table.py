"""Table of objects by kind and name."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.intent import ttypes


class ObjectTable:
    """Objects by kind and name; listing one kind visits no other kind."""

    def __init__(self) -> None:
        self._kinds: dict[int, dict[str, ttypes.StoredObject]] = (
            collections.defaultdict(dict)
        )

    def __iter__(self) -> collections.abc.Iterator[ttypes.StoredObject]:
        for kind in sorted(self._kinds):
            yield from self._kinds[kind].values()

    def get(self, kind: int, name: str) -> ttypes.StoredObject | None:
        """Returns an object, or None."""
        return self._kinds[kind].get(name)

    def of_kind(
        self, kind: int
    ) -> collections.abc.Collection[ttypes.StoredObject]:
        """Returns all objects of a kind."""
        return self._kinds[kind].values()

    def put(self, stored: ttypes.StoredObject) -> None:
        """Adds or replaces an object."""
        self._kinds[stored.kind][stored.name] = stored

    def pop(self, kind: int, name: str) -> ttypes.StoredObject | None:
        """Removes an object and returns it, or None."""
        return self._kinds[kind].pop(name, None)
