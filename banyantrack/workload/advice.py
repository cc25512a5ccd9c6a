"""Answers of the policy service, and the workers to ask it about next.

The service needs time for each worker in a request, so a request names only
a few workers: those that are the best candidates for the step.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.workload import ttypes
    from banyantrack.workload import capacity
    from banyantrack.workload import units as units_module

# The objectives of the platform allow for one request about this many workers
# for each step.
MAX_WORKERS_PER_REQUEST = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission for one incarnation of a worker to run a step.

    Attributes:
        text: Text of the ticket, sent with the order to start a run.
        incarnation: Incarnation of the worker that the ticket is valid for.
        expires_s: Time of expiry on the monotonic clock, in seconds.
    """

    text: str
    incarnation: int
    expires_s: float


class Approvals:
    """Answers of the policy service about one group."""

    def __init__(self) -> None:
        self._tickets: dict[str, Ticket] = {}
        self._asked: dict[str, int] = {}

    def add(
        self,
        asked: collections.abc.Iterable[ttypes.WorkerRecord],
        tickets: collections.abc.Mapping[str, str],
        expires_s: float,
    ) -> None:
        """Records an answer.

        Args:
            asked: Workers that the request named.
            tickets: Ticket text by id of each worker that may run the step.
            expires_s: Time of expiry of the tickets on the monotonic clock,
                in seconds.
        """
        for worker in asked:
            self._asked[worker.worker_id] = worker.incarnation
            text = tickets.get(worker.worker_id)
            if text is not None:
                self._tickets[worker.worker_id] = Ticket(
                    text, worker.incarnation, expires_s
                )

    def expire(self, now_s: float) -> None:
        """Removes expired tickets, so that their workers are asked again.

        Args:
            now_s: Time on the monotonic clock, in seconds.
        """
        for worker_id, ticket in list(self._tickets.items()):
            if ticket.expires_s <= now_s:
                del self._tickets[worker_id]
                del self._asked[worker_id]

    def ticket(self, worker: ttypes.WorkerRecord) -> str | None:
        """Returns a worker's ticket text, or None if there is none."""
        ticket = self._tickets.get(worker.worker_id)
        if ticket is None or ticket.incarnation != worker.incarnation:
            return None
        return ticket.text

    def has_answer(self, worker: ttypes.WorkerRecord) -> bool:
        """Whether the service answered about this incarnation of a worker."""
        return self._asked.get(worker.worker_id) == worker.incarnation


def workers_to_ask(
    unit: units_module.Unit,
    candidates: collections.abc.Iterable[capacity.WorkerCapacity],
    approvals: Approvals,
) -> list[str]:
    """Returns the ids of the workers to ask about next, best first.

    Args:
        unit: The unit to place.
        candidates: Workers that may run it if the service approves.
        approvals: Earlier answers of the service.
    """
    undecided = [
        worker
        for worker in candidates
        if not approvals.has_answer(worker.record)
    ]
    free_by_rack: dict[str, int] = {}
    for worker in undecided:
        free = max(worker.free.accelerators, 0)
        free_by_rack[worker.rack] = free_by_rack.get(worker.rack, 0) + free
    data_rack = unit.step.data_rack
    undecided.sort(
        key=lambda worker: (
            bool(data_rack) and worker.rack != data_rack,
            -free_by_rack[worker.rack] if unit.step.same_rack else 0,
            worker.rack if unit.step.same_rack else '',
            -worker.free.accelerators,
        )
    )
    return [
        worker.record.worker_id
        for worker in undecided[:MAX_WORKERS_PER_REQUEST]
    ]
