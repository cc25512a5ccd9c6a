"""Pool of idle connections to backends."""

from __future__ import annotations

import dataclasses
import socket
import time
import typing

import h11

from banyantrack.transport import http
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.generated.settings import ttypes as settings_types

# A non-idempotent request uses only a new connection or one that answered
# within this time.
MAX_NON_IDEMPOTENT_IDLE_S = 1.0
# TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
# unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 1500


@dataclasses.dataclass(slots=True)
class PooledConnection:
    """A connection to a backend.

    Attributes:
        connection: The connection.
        address: Address of the backend, as `IP:PORT`.
        last_answer_at: Monotonic time of the last answer; of the opening if
            there was none.
        fresh: Whether it has not carried an answer yet.
    """

    connection: http.Connection
    address: str
    last_answer_at: float
    fresh: bool = True


class ConnectionPool:
    """Idle connections by address.

    Args:
        settings: Dispatch settings.
    """

    def __init__(self, settings: settings_types.DispatchSettings) -> None:
        self._settings = settings
        self._idle: dict[str, list[PooledConnection]] = {}

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return sum(len(found) for found in self._idle.values())

    async def acquire(
        self, address: str, *, require_recent: bool, timeout_s: float
    ) -> PooledConnection:
        """Returns a usable idle connection, or a new one if there is none.

        Args:
            address: Address of the backend.
            require_recent: Whether an idle connection must have answered
                within `MAX_NON_IDEMPOTENT_IDLE_S`.
            timeout_s: Timeout for opening a connection.

        Raises:
            OSError: If no connection can be opened.
        """
        found = self._idle.get(address)
        max_idle_s = self._settings.connection_idle_ms / 1000
        if require_recent:
            max_idle_s = min(max_idle_s, MAX_NON_IDEMPOTENT_IDLE_S)
        while found:
            pooled = found.pop()
            recent = time.monotonic() - pooled.last_answer_at < max_idle_s
            if recent and pooled.connection.has_no_pending_input():
                return pooled
            await pooled.connection.close()
        return await self.open(address, timeout_s=timeout_s)

    async def open(
        self, address: str, *, timeout_s: float
    ) -> PooledConnection:
        """Opens a new connection.

        Raises:
            OSError: If it cannot be opened.
        """
        connect_timeout_s = self._settings.connect_timeout_ms / 1000
        sock = await rpc.connect(
            address, timeout_s=min(timeout_s, connect_timeout_s)
        )
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        )
        connection = http.Connection(sock, h11.CLIENT)
        return PooledConnection(connection, address, time.monotonic())

    async def release(self, pooled: PooledConnection) -> None:
        """Keeps a connection after a complete answer, else closes it."""
        state = pooled.connection.state
        if (
            state.our_state is not h11.DONE
            or state.their_state is not h11.DONE
        ):
            await pooled.connection.close()
            return
        state.start_next_cycle()
        pooled.fresh = False
        pooled.last_answer_at = time.monotonic()
        self._idle.setdefault(pooled.address, []).append(pooled)

    async def close_expired(self) -> None:
        """Closes connections idle longer than `connection_idle_ms`."""
        max_idle_s = self._settings.connection_idle_ms / 1000
        oldest = time.monotonic() - max_idle_s
        for address, found in list(self._idle.items()):
            kept = [p for p in found if p.last_answer_at >= oldest]
            for pooled in found:
                if pooled.last_answer_at < oldest:
                    await pooled.connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    async def close(self) -> None:
        """Closes all idle connections."""
        for found in self._idle.values():
            for pooled in found:
                await pooled.connection.close()
        self._idle.clear()
