"""TCP proxy on loopback that delays, blocks or resets connections."""

from __future__ import annotations

import enum
import random
import socket
import struct

import curio
from curio import io

from banyantrack.transport import addresses
from banyantrack.transport import listener
from banyantrack.transport import rpc

CONNECT_TIMEOUT_S = 1.0
# With this value of SO_LINGER, closing a socket resets the connection.
_ZERO_LINGER = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """Treatment of the bytes that arrive at the proxy."""

    PASS = 'pass'
    DELAY = 'delay'
    # No bytes are forwarded in either direction; connections stay open.
    SILENT = 'silent'
    # Only bytes to the target are forwarded.
    NO_ANSWERS = 'no-answers'
    # New connections are reset; open ones are forwarded.
    RESET = 'reset'


class FaultProxy:
    """Forwards connections to one target.

    Args:
        address: `IP:PORT` to listen on.
        target: `IP:PORT` to forward to.
        rng: Source of delays.

    Attributes:
        mode: Current treatment of bytes and new connections.
    """

    def __init__(
        self, address: str, target: str, *, rng: random.Random
    ) -> None:
        self.address = address
        self.mode = Mode.PASS
        self._target = target
        self._rng = rng
        self._listener = listener.Listener(address, self._serve)
        self._open_sockets: set[io.Socket] = set()

    async def start(self) -> None:
        """Starts to accept connections."""
        await self._listener.start()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        await self._listener.close()

    async def reset_all(self) -> None:
        """Resets all open connections."""
        for sock in list(self._open_sockets):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
            await sock.shutdown(socket.SHUT_RDWR)

    async def _serve(self, client: io.Socket) -> None:
        if self.mode is Mode.RESET:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
            )
            return
        try:
            target = await rpc.connect(
                self._target, timeout_s=CONNECT_TIMEOUT_S
            )
        except OSError:
            return
        self._open_sockets |= {client, target}
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._forward, client, target, True)
                await tasks.spawn(self._forward, target, client, False)
        finally:
            self._open_sockets -= {client, target}
            await target.close()

    async def _forward(
        self, source: io.Socket, destination: io.Socket, from_client: bool
    ) -> None:
        try:
            while data := await source.recv(65536):
                if self.mode is Mode.DELAY:
                    await curio.sleep(self._rng.uniform(0.05, 0.8))
                if self.mode is Mode.SILENT or (
                    self.mode is Mode.NO_ANSWERS and not from_client
                ):
                    # The bytes are never forwarded, as in a network partition.
                    await curio.sleep(3600)
                await destination.sendall(data)
        except OSError:
            return


def host_of(address: str) -> str:
    """Returns the host of an `IP:PORT` address."""
    return addresses.parse(address).host
