"""Many connections of clients that stall or break the limits."""

from __future__ import annotations

import collections.abc
import contextlib
import pathlib
import socket

import curio
from curio import io

from banyantrack.transport import addresses

# Each client stops sending after this time, whether or not its data is sent.
SEND_TIMEOUT_S = 8.0

Parts = collections.abc.Callable[[], collections.abc.Iterable[bytes]]


def head(
    method: str, target: str, *headers: str, host: str = 'jobs.example'
) -> bytes:
    """Returns an encoded request head."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}', *headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def sized_body(
    method: str, target: str, *, declared: int, sent: int
) -> collections.abc.Iterator[bytes]:
    """Yields a request whose body has a declared length.

    Args:
        method: HTTP method.
        target: Request target.
        declared: Value of Content-Length.
        sent: Bytes of the body that are sent.
    """
    yield head(method, target, f'Content-Length: {declared}')
    part = b' ' * 65536
    while sent > 0:
        yield part[:sent]
        sent -= len(part)


def chunked_body(
    method: str, target: str, *, chunk: int, sent: int
) -> collections.abc.Iterator[bytes]:
    """Yields a request whose chunked body does not end.

    Args:
        method: HTTP method.
        target: Request target.
        chunk: Bytes of each chunk.
        sent: Bytes of the body that are sent.
    """
    yield head(method, target, 'Transfer-Encoding: chunked')
    one = f'{chunk:x}\r\n'.encode() + b' ' * chunk + b'\r\n'
    per_part = max(65536 // len(one), 1)
    while sent > 0:
        count = min(per_part, max(sent // chunk, 1))
        yield one * count
        sent -= chunk * count


class Crowd:
    """Connections that send data and then stay open.

    Args:
        address: `IP:PORT` that they connect to.
        count: Number of connections.
        parts: Returns what each connection sends.
    """

    def __init__(self, address: str, count: int, parts: Parts) -> None:
        self._address = address
        self._count = count
        self._parts = parts
        self._sockets: list[io.Socket] = []

    async def send(self) -> None:
        """Opens all connections and sends until all have stopped.

        A connection that the server refuses or closes stops early.
        """
        async with curio.TaskGroup() as tasks:
            for _ in range(self._count):
                await tasks.spawn(self._run_client)

    async def close(self) -> None:
        """Closes all connections."""
        for sock in self._sockets:
            await sock.close()
        self._sockets.clear()

    async def _run_client(self) -> None:
        parsed = addresses.parse(self._address)
        raw = socket.socket(parsed.family, socket.SOCK_STREAM)
        raw.setblocking(False)
        sock = io.Socket(raw)
        self._sockets.append(sock)
        with contextlib.suppress(OSError):
            async with curio.ignore_after(SEND_TIMEOUT_S):
                await sock.connect(parsed)
                for part in self._parts():
                    await sock.sendall(part)


def peak_memory_mb(pid: int) -> float:
    """Returns the largest resident memory that a process has had, in MiB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) / 1024
    return 0.0


def open_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))
