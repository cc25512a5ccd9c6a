"""Requests that wait for a slot: earliest deadline first, fair by customer."""

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
    """A request that waits.

    Attributes:
        request: The request.
        target: Backend whose slot it got; None while it waits.
        refused: Whether it will get none.
    """

    __slots__ = ('request', 'target', 'refused', 'event', 'active')

    def __init__(self, request: requests_module.CallerRequest) -> None:
        self.request = request
        self.target: targets.Target | None = None
        self.refused = False
        self.event = curio.Event()
        self.active = True


class LaneQueue:
    """Waiting requests of one lane.

    Customers take turns by start-time fair queueing: the customer whose
    served work over its weight is least comes first. Within a customer the
    earliest deadline comes first.

    Args:
        weights: Returns the weight of a customer.
    """

    def __init__(
        self, weights: collections.abc.Callable[[str], float]
    ) -> None:
        self._weights = weights
        self._heaps: dict[str, list[tuple[float, int, Waiter]]] = {}
        self._served: dict[str, float] = collections.defaultdict(float)
        self._virtual = 0.0
        self._order = itertools.count()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, waiter: Waiter) -> None:
        """Adds a request."""
        request = waiter.request
        heap = self._heaps.setdefault(request.customer, [])
        if not heap:
            # Who was away does not come back with a claim on the past.
            self._served[request.customer] = max(
                self._served[request.customer], self._virtual
            )
        heapq.heappush(heap, (request.deadline, next(self._order), waiter))
        self._size += 1

    def discard(self, waiter: Waiter) -> None:
        """Removes a request that stopped waiting."""
        if waiter.active:
            waiter.active = False
            self._size -= 1

    def pop(
        self, fits: collections.abc.Callable[[Waiter], bool]
    ) -> Waiter | None:
        """Returns the next request that fits, or None.

        Args:
            fits: Whether a request could run now; asked once for each
                customer.
        """
        for customer in sorted(
            self._heaps, key=lambda name: self._served[name]
        ):
            waiter = self._first(customer)
            if waiter is None or not fits(waiter):
                continue
            heapq.heappop(self._heaps[customer])
            self.discard(waiter)
            self._charge(customer, waiter.request.route.slots)
            return waiter
        return None

    def all_waiting(self) -> list[Waiter]:
        """Returns all requests that wait."""
        return [
            waiter
            for heap in self._heaps.values()
            for _, _, waiter in heap
            if waiter.active
        ]

    def _first(self, customer: str) -> Waiter | None:
        heap = self._heaps[customer]
        while heap and not heap[0][2].active:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[customer]
            return None
        return heap[0][2]

    def _charge(self, customer: str, slots: int) -> None:
        weight = max(self._weights(customer), 1e-6)
        self._virtual = max(self._virtual, self._served[customer])
        self._served[customer] += slots / weight
        if len(self._served) > 4096:
            self._served = collections.defaultdict(
                float,
                {
                    name: value
                    for name, value in self._served.items()
                    if name in self._heaps
                },
            )
