"""What the policy service allows, and which workers it is asked about.

The service takes time for each worker that is named, so a step is asked for
on a few workers at a time: those that it would be placed on first.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.workload import ttypes
    from banyantrack.workload import room as room_module
    from banyantrack.workload import units as units_module

# Objectives of the platform count one call on so many workers a step.
ASKED_AT_ONCE = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Allows a worker to run a step.

    Attributes:
        text: What a start has to carry.
        incarnation: Life of the worker that it holds for.
        expires_s: Steady time when it ends.
    """

    text: str
    incarnation: int
    expires_s: float


class Approvals:
    """What the policy service said of one group."""

    def __init__(self) -> None:
        self._tickets: dict[str, Ticket] = {}
        self._asked: dict[str, int] = {}

    def add(
        self,
        asked: collections.abc.Iterable[ttypes.WorkerRecord],
        tickets: collections.abc.Mapping[str, str],
        expires_s: float,
    ) -> None:
        """Takes in an answer.

        Args:
            asked: Workers that were named.
            tickets: Ticket of each of them that may run the step.
            expires_s: Steady time when the tickets end.
        """
        for worker in asked:
            self._asked[worker.worker_id] = worker.incarnation
            text = tickets.get(worker.worker_id)
            if text is not None:
                self._tickets[worker.worker_id] = Ticket(
                    text, worker.incarnation, expires_s
                )

    def expire(self, now_s: float) -> None:
        """Forgets tickets that have ended, so that they are asked again."""
        for worker_id, ticket in list(self._tickets.items()):
            if ticket.expires_s <= now_s:
                del self._tickets[worker_id]
                del self._asked[worker_id]

    def ticket(self, worker: ttypes.WorkerRecord) -> str | None:
        """Returns a worker's ticket, or None if it may not run the step."""
        ticket = self._tickets.get(worker.worker_id)
        if ticket is None or ticket.incarnation != worker.incarnation:
            return None
        return ticket.text

    def is_known(self, worker: ttypes.WorkerRecord) -> bool:
        """Whether the service was asked about this life of a worker."""
        return self._asked.get(worker.worker_id) == worker.incarnation


def to_ask(
    unit: units_module.Unit,
    candidates: collections.abc.Iterable[room_module.WorkerRoom],
    known: Approvals,
) -> list[str]:
    """Returns workers to ask about next, those that fit best first.

    Args:
        unit: What is to be placed.
        candidates: Workers that may run it but for the policy.
        known: What the service has said already.
    """
    unknown = [room for room in candidates if not known.is_known(room.record)]
    free_of_rack: dict[str, int] = {}
    for room in unknown:
        free = max(room.free.accelerators, 0)
        free_of_rack[room.rack] = free_of_rack.get(room.rack, 0) + free
    data_rack = unit.step.data_rack
    unknown.sort(
        key=lambda room: (
            bool(data_rack) and room.rack != data_rack,
            -free_of_rack[room.rack] if unit.step.same_rack else 0,
            room.rack if unit.step.same_rack else '',
            -room.free.accelerators,
        )
    )
    return [room.record.worker_id for room in unknown[:ASKED_AT_ONCE]]
