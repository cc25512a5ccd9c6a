"""Kept connections to backends, proven before they are used again."""

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

# A request that must not run twice goes only over a connection that
# answered within this time, or a fresh one.
PROVEN_S = 1.0
# The kernel gives a connection up whose bytes nobody acknowledges.
UNACKNOWLEDGED_TIMEOUT_MS = 1500


@dataclasses.dataclass(slots=True)
class PooledConnection:
    """A connection to a backend.

    Attributes:
        connection: The connection.
        address: Where it goes.
        proven_at: When it last answered; when it was opened before that.
        fresh: Whether it has not been used yet.
    """

    connection: http.Connection
    address: str
    proven_at: float
    fresh: bool = True


class Pool:
    """Idle connections by address.

    Args:
        settings: Limits.
    """

    def __init__(self, settings: settings_types.DispatchSettings) -> None:
        self._settings = settings
        self._idle: dict[str, list[PooledConnection]] = {}

    @property
    def idle(self) -> int:
        """Connections that are kept."""
        return sum(len(found) for found in self._idle.values())

    async def take(
        self, address: str, *, proven: bool, timeout_s: float
    ) -> PooledConnection:
        """Returns a connection that nothing speaks against.

        Args:
            address: Where it goes.
            proven: Whether it must have answered a moment ago or be fresh.
            timeout_s: Seconds until opening one is given up.

        Raises:
            OSError: If none can be opened.
        """
        found = self._idle.get(address)
        limit_s = self._settings.connection_idle_ms / 1000
        if proven:
            limit_s = min(limit_s, PROVEN_S)
        while found:
            pooled = found.pop()
            young = time.monotonic() - pooled.proven_at < limit_s
            if young and pooled.connection.looks_quiet():
                return pooled
            await pooled.connection.close()
        return await self.open(address, timeout_s=timeout_s)

    async def open(
        self, address: str, *, timeout_s: float
    ) -> PooledConnection:
        """Opens a fresh connection.

        Raises:
            OSError: If it cannot be opened.
        """
        limit_s = self._settings.connect_timeout_ms / 1000
        sock = await rpc.connect(address, timeout_s=min(timeout_s, limit_s))
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        )
        connection = http.Connection(sock, h11.CLIENT)
        return PooledConnection(connection, address, time.monotonic())

    async def give_back(self, pooled: PooledConnection) -> None:
        """Keeps a connection whose answer came whole, or closes it."""
        state = pooled.connection.state
        if (
            state.our_state is not h11.DONE
            or state.their_state is not h11.DONE
        ):
            await pooled.connection.close()
            return
        state.start_next_cycle()
        pooled.fresh = False
        pooled.proven_at = time.monotonic()
        self._idle.setdefault(pooled.address, []).append(pooled)

    async def close_old(self) -> None:
        """Closes connections that were idle for too long."""
        limit_s = self._settings.connection_idle_ms / 1000
        oldest = time.monotonic() - limit_s
        for address, found in list(self._idle.items()):
            kept = [p for p in found if p.proven_at >= oldest]
            for pooled in found:
                if pooled.proven_at < oldest:
                    await pooled.connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    async def close(self) -> None:
        """Closes all connections."""
        for found in self._idle.values():
            for pooled in found:
                await pooled.connection.close()
        self._idle.clear()
