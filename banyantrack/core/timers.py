"""Timer service that calls all callbacks from one task with a heap.

One sleeping task per deadline costs too much with many deadlines.
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
        callback: Coroutine function without arguments.
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
    """Calls subscribed callbacks when they are due.

    Callbacks run one after another in the task of `run` and must be short.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()
        self._earliest_changed = curio.Event()

    async def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Calls a callback once.

        Args:
            delay_s: Seconds from now.
            callback: Coroutine function without arguments.
        """
        subscription = Subscription(callback, None)
        await self._schedule(time.monotonic() + delay_s, subscription)
        return subscription

    async def every(self, period_s: float, callback: Callback) -> Subscription:
        """Calls a callback periodically.

        Args:
            period_s: Seconds between calls; the first is after one period.
            callback: Coroutine function without arguments.
        """
        subscription = Subscription(callback, period_s)
        await self._schedule(time.monotonic() + period_s, subscription)
        return subscription

    async def run(self) -> None:
        """Calls callbacks when they are due, until cancelled."""
        while True:
            self._earliest_changed.clear()
            await self._call_due()
            if self._earliest_changed.is_set():
                continue
            if not self._heap:
                await self._earliest_changed.wait()
                continue
            delay_s = self._heap[0][0] - time.monotonic()
            await curio.ignore_after(
                max(delay_s, 0), self._earliest_changed.wait
            )

    async def _schedule(
        self, due_s: float, subscription: Subscription
    ) -> None:
        item = (due_s, next(self._sequence), subscription)
        heapq.heappush(self._heap, item)
        if self._heap[0] is item:
            await self._earliest_changed.set()

    async def _call_due(self) -> None:
        now_s = time.monotonic()
        while self._heap and self._heap[0][0] <= now_s:
            due_s, _, subscription = heapq.heappop(self._heap)
            if not subscription.active:
                continue
            await subscription.callback()
            if subscription.period_s is not None and subscription.active:
                # Calls missed while the process was paused are skipped, not
                # made in a burst.
                next_s = max(due_s + subscription.period_s, time.monotonic())
                await self._schedule(next_s, subscription)
