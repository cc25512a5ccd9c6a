"""Timer service: one task with a heap that other parts subscribe to.

A sleeping task for each deadline costs too much with many deadlines, so
parts subscribe callbacks here instead.
"""

from __future__ import annotations

import collections.abc
import heapq
import itertools
import time

import curio

Callback = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Subscription:
    """One subscribed callback.

    Args:
        callback: Coroutine function that is called when the time comes.
        period_s: Seconds between calls; None for a single call.
    """

    __slots__ = ('callback', 'period_s', '_active')

    def __init__(self, callback: Callback, period_s: float | None) -> None:
        self.callback = callback
        self.period_s = period_s
        self._active = True

    @property
    def active(self) -> bool:
        """Whether the callback will be called again."""
        return self._active

    def cancel(self) -> None:
        """Stops further calls."""
        self._active = False


class TimerService:
    """Calls subscribed callbacks at their times.

    Callbacks run one after another in the task of `run` and must be short.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._earlier = curio.Event()

    async def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Calls a callback once.

        Args:
            delay_s: Seconds from now.
            callback: Coroutine function without arguments.
        """
        subscription = Subscription(callback, None)
        await self._push(time.monotonic() + delay_s, subscription)
        return subscription

    async def every(self, period_s: float, callback: Callback) -> Subscription:
        """Calls a callback again and again.

        Args:
            period_s: Seconds between calls; the first comes after one period.
            callback: Coroutine function without arguments.
        """
        subscription = Subscription(callback, period_s)
        await self._push(time.monotonic() + period_s, subscription)
        return subscription

    async def run(self) -> None:
        """Serves subscriptions until cancelled."""
        while True:
            self._earlier.clear()
            await self._call_due()
            if self._earlier.is_set():
                continue
            if not self._heap:
                await self._earlier.wait()
                continue
            delay_s = self._heap[0][0] - time.monotonic()
            await curio.ignore_after(max(delay_s, 0), self._earlier.wait)

    async def _push(self, at_s: float, subscription: Subscription) -> None:
        item = (at_s, next(self._order), subscription)
        heapq.heappush(self._heap, item)
        if self._heap[0] is item:
            await self._earlier.set()

    async def _call_due(self) -> None:
        now_s = time.monotonic()
        while self._heap and self._heap[0][0] <= now_s:
            at_s, _, subscription = heapq.heappop(self._heap)
            if not subscription.active:
                continue
            await subscription.callback()
            if subscription.period_s is not None and subscription.active:
                # A pause of the process must not cause a burst of calls.
                next_s = max(at_s + subscription.period_s, time.monotonic())
                await self._push(next_s, subscription)
