"""Wakes all tasks that wait for a change."""

from __future__ import annotations

import curio


class Signal:
    """Tasks wait for the next notification.

    A waiter must look at the state that it waits for, then wait without
    giving up control in between.
    """

    __slots__ = ('_event',)

    def __init__(self) -> None:
        self._event = curio.Event()

    async def notify(self) -> None:
        """Wakes all tasks that wait now."""
        event = self._event
        self._event = curio.Event()
        await event.set()

    async def wait(self) -> None:
        """Waits for the next notification."""
        await self._event.wait()

    async def wait_for(self, timeout_s: float) -> bool:
        """Waits for the next notification or a time.

        Returns:
            Whether there was a notification.
        """
        event = self._event
        if timeout_s <= 0:
            return False
        async with curio.ignore_after(timeout_s):
            await event.wait()
            return True
        return False
