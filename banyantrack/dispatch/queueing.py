"""Queue of requests waiting for a slot, fair among customers."""

from __future__ import annotations

import collections
import heapq
import itertools
import typing

import curio

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.dispatch import requests as requests_module
    from banyantrack.dispatch import targets


class Waiter:
    """A queued request.

    Attributes:
        request: The request.
        target: Backend that it was assigned to; None while it waits.
        refused: Whether it left the queue without a slot.
        event: Set when the request leaves the queue through `pop`.
        active: Whether the request is in the queue.
    """

    __slots__ = ('request', 'target', 'refused', 'event', 'active')

    def __init__(self, request: requests_module.CallerRequest) -> None:
        self.request = request
        self.target: targets.Target | None = None
        self.refused = False
        self.event = curio.Event()
        self.active = True


class LaneQueue:
    """Queued requests of one lane.

    Customers share slots by start-time fair queueing: the customer that was
    granted the fewest slots relative to its weight comes first. Requests of
    one customer are ordered by deadline, earliest first.

    Args:
        weight_of: Returns the weight of a customer.
    """

    def __init__(
        self, weight_of: collections.abc.Callable[[str], float]
    ) -> None:
        self._weight_of = weight_of
        self._heaps: dict[str, list[tuple[float, int, Waiter]]] = {}
        self._normalized_service: dict[str, float] = collections.defaultdict(
            float
        )
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, waiter: Waiter) -> None:
        """Adds a request."""
        request = waiter.request
        heap = self._heaps.setdefault(request.customer, [])
        if not heap:
            # A customer accrues no credit while it has no queued requests.
            self._normalized_service[request.customer] = max(
                self._normalized_service[request.customer], self._virtual_time
            )
        heapq.heappush(heap, (request.deadline, next(self._sequence), waiter))
        self._size += 1

    def discard(self, waiter: Waiter) -> None:
        """Removes a request, if it is still queued."""
        if waiter.active:
            waiter.active = False
            self._size -= 1

    def pop(
        self, can_leave: collections.abc.Callable[[Waiter], bool]
    ) -> Waiter | None:
        """Removes and returns the next request that can leave, or None.

        Args:
            can_leave: Whether a request can leave the queue now; called for
                the first request of each customer until one can.
        """
        for customer in sorted(
            self._heaps, key=lambda name: self._normalized_service[name]
        ):
            waiter = self._first_active(customer)
            if waiter is None or not can_leave(waiter):
                continue
            heapq.heappop(self._heaps[customer])
            self.discard(waiter)
            self._charge(customer, waiter.request.route.slots)
            return waiter
        return None

    def all_waiting(self) -> list[Waiter]:
        """Returns all queued requests."""
        return [
            waiter
            for heap in self._heaps.values()
            for _, _, waiter in heap
            if waiter.active
        ]

    def _first_active(self, customer: str) -> Waiter | None:
        heap = self._heaps[customer]
        while heap and not heap[0][2].active:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[customer]
            return None
        return heap[0][2]

    def _charge(self, customer: str, slots: int) -> None:
        weight = max(self._weight_of(customer), 1e-6)
        self._virtual_time = max(
            self._virtual_time, self._normalized_service[customer]
        )
        self._normalized_service[customer] += slots / weight
        # Drops customers without queued requests to bound memory.
        if len(self._normalized_service) > 4096:
            self._normalized_service = collections.defaultdict(
                float,
                {
                    name: value
                    for name, value in self._normalized_service.items()
                    if name in self._heaps
                },
            )
