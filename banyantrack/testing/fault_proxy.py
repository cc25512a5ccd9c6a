"""A loopback proxy that delays, resets, silences or half cuts connections."""

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
# Closing with this option resets the connection.
_RESET = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What happens to bytes."""

    PASS = 'pass'
    DELAY = 'delay'
    # Nothing is passed on either way; connections stay open.
    SILENT = 'silent'
    # Requests arrive and their answers do not.
    NO_ANSWERS = 'no-answers'
    RESET = 'reset'


class FaultProxy:
    """Passes connections on to one target.

    Args:
        address: `IP:PORT` to listen on.
        target: `IP:PORT` that is passed on to.
        rng: Source of delays.
    """

    def __init__(
        self, address: str, target: str, *, rng: random.Random
    ) -> None:
        self.address = address
        self.mode = Mode.PASS
        self._target = target
        self._rng = rng
        self._listener = listener.Listener(address, self._serve)
        self._open: set[io.Socket] = set()

    async def start(self) -> None:
        """Starts to accept connections."""
        await self._listener.start()

    async def close(self) -> None:
        """Ends all connections."""
        await self._listener.close()

    async def reset_all(self) -> None:
        """Resets the connections that are open now."""
        for sock in list(self._open):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            await sock.shutdown(socket.SHUT_RDWR)

    async def _serve(self, client: io.Socket) -> None:
        if self.mode is Mode.RESET:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            return
        try:
            target = await rpc.connect(
                self._target, timeout_s=CONNECT_TIMEOUT_S
            )
        except OSError:
            return
        self._open |= {client, target}
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._pump, client, target, True)
                await tasks.spawn(self._pump, target, client, False)
        finally:
            self._open -= {client, target}
            await target.close()

    async def _pump(
        self, source: io.Socket, sink: io.Socket, asks: bool
    ) -> None:
        try:
            while data := await source.recv(65536):
                if self.mode is Mode.DELAY:
                    await curio.sleep(self._rng.uniform(0.05, 0.8))
                if self.mode is Mode.SILENT or (
                    self.mode is Mode.NO_ANSWERS and not asks
                ):
                    # Lost for good, as behind a partition.
                    await curio.sleep(3600)
                await sink.sendall(data)
        except OSError:
            return


def host_of(address: str) -> str:
    """Returns the host of an address."""
    return addresses.parse(address).host
