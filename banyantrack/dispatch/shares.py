"""Divides the slots of all backends among the entries.

Every entry works out the same division from the same gossip: the slots of
a backend lie on a circle, turned by a hash of its id, and each entry has an
arc in proportion to its demand. Where views differ for a moment, arcs
overlap by little; no message is needed to hand a slot over.
"""

from __future__ import annotations

import bisect
import dataclasses
import typing
import zlib

if typing.TYPE_CHECKING:
    import collections.abc

# Share of the slots that is divided evenly, so that an entry whose demand
# rises from nothing can start at once.
EVEN_SHARE = 0.25
_HASH_RANGE = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What one entry asks for.

    Attributes:
        name: Name of the entry.
        demand: Its requests in flight and waiting.
    """

    name: str
    demand: float


class Division:
    """Arcs of all entries.

    Args:
        demands: Demand of each entry that is present.
        own: Name of this entry.
    """

    def __init__(
        self, demands: collections.abc.Iterable[Demand], own: str
    ) -> None:
        ordered = sorted(demands, key=lambda demand: demand.name)
        total = sum(demand.demand for demand in ordered)
        even = EVEN_SHARE if total > 0 else 1.0
        self._ends: list[float] = []
        self._names = [demand.name for demand in ordered]
        end = 0.0
        for demand in ordered:
            end += even / len(ordered)
            if total > 0:
                end += (1 - even) * demand.demand / total
            self._ends.append(end)
        self._own = own

    def owned(self, backend_id: str, slots: int) -> tuple[int, ...]:
        """Returns which slots of a backend this entry has.

        Args:
            backend_id: The backend.
            slots: How many slots it has.
        """
        turn = zlib.crc32(backend_id.encode()) / _HASH_RANGE
        return tuple(
            slot
            for slot in range(slots)
            if self._owner((slot / slots + turn) % 1.0) == self._own
        )

    def _owner(self, point: float) -> str:
        position = bisect.bisect_right(self._ends, point)
        return self._names[min(position, len(self._names) - 1)]
