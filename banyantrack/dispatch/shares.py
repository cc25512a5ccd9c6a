"""Divides the slots of all backends among the entries.

Every entry computes the same division from the same gossip. The slots of a
backend are placed on a ring, rotated by a hash of the backend id, and each
entry owns an arc of the ring in proportion to its demand. While the entries'
views differ, arcs overlap slightly; slots change owner without a message.
"""

from __future__ import annotations

import bisect
import dataclasses
import typing
import zlib

if typing.TYPE_CHECKING:
    import collections.abc

# Share of the slots that is divided evenly among all entries, so that an entry
# without demand owns slots for its first requests.
EVEN_SHARE = 0.25
_HASH_RANGE = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one entry.

    Attributes:
        name: Name of the entry.
        demand: Slots in use plus queued requests, averaged.
    """

    name: str
    demand: float


class Division:
    """Division of every backend's slots among the entries.

    Args:
        demands: Demand of each present entry, this one included.
        own_name: Name of this entry.
    """

    def __init__(
        self, demands: collections.abc.Iterable[Demand], own_name: str
    ) -> None:
        ordered = sorted(demands, key=lambda demand: demand.name)
        total = sum(demand.demand for demand in ordered)
        even = EVEN_SHARE if total > 0 else 1.0
        self._arc_ends: list[float] = []
        self._names = [demand.name for demand in ordered]
        end = 0.0
        for demand in ordered:
            end += even / len(ordered)
            if total > 0:
                end += (1 - even) * demand.demand / total
            self._arc_ends.append(end)
        self._own_name = own_name

    def owned_slot_indices(
        self, backend_id: str, slots: int
    ) -> tuple[int, ...]:
        """Returns the indices of a backend's slots that this entry owns.

        Args:
            backend_id: Id of the backend.
            slots: Number of slots of the backend.
        """
        rotation = zlib.crc32(backend_id.encode()) / _HASH_RANGE
        return tuple(
            slot
            for slot in range(slots)
            if self._owner((slot / slots + rotation) % 1.0) == self._own_name
        )

    def _owner(self, point: float) -> str:
        position = bisect.bisect_right(self._arc_ends, point)
        return self._names[min(position, len(self._names) - 1)]
