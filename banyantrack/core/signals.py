"""A broadcast that wakes all tasks waiting for a change."""

from __future__ import annotations

import curio


class Signal:
    """Wakes all waiting tasks at each notification.

    Notifications are not stored. A waiter must check the state that it waits
    for and call `wait` without another `await` in between.
    """

    __slots__ = ('_event',)

    def __init__(self) -> None:
        self._event = curio.Event()

    async def notify(self) -> None:
        """Wakes all tasks that are waiting."""
        event = self._event
        self._event = curio.Event()
        await event.set()

    async def wait(self) -> None:
        """Waits for the next notification."""
        await self._event.wait()

    async def wait_for(self, timeout_s: float) -> bool:
        """Waits for the next notification, up to a timeout.

        Args:
            timeout_s: Seconds; returns at once if it is not positive.

        Returns:
            Whether a notification came before the timeout.
        """
        event = self._event
        if timeout_s <= 0:
            return False
        async with curio.ignore_after(timeout_s):
            await event.wait()
            return True
        return False
