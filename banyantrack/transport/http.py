"""HTTP/1.1 connections: h11 over curio sockets, for both sides."""

from __future__ import annotations

import collections.abc
import socket
import struct
import typing

import curio
from curio import io
import h11

from banyantrack.core import errors

HEAD_LIMIT_BYTES = 16 * 1024
READ_BYTES = 64 * 1024
HopByHop = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

Headers = list[tuple[bytes, bytes]]


class ProtocolError(errors.BanyanError):
    """The other end broke the protocol.

    Attributes:
        status: Status that tells a caller so.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class ClosedError(errors.BanyanError):
    """The other end closed the connection within a message."""


class SilentError(errors.BanyanError):
    """The other end sent nothing for too long."""


class BodyTooLargeError(errors.BanyanError):
    """A body is larger than allowed."""


class Connection:
    """One HTTP/1.1 connection.

    Args:
        sock: A connected socket.
        role: `h11.SERVER` or `h11.CLIENT`.
    """

    __slots__ = ('_socket', '_state', 'timeout_s')

    def __init__(self, sock: io.Socket, role: type[h11.Sentinel]) -> None:
        self._socket = sock
        self._state = h11.Connection(
            role, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )
        self.timeout_s: float | None = None

    @property
    def state(self) -> h11.Connection:
        """State of the protocol."""
        return self._state

    async def receive(self) -> typing.Any:
        """Returns the next event of h11.

        Raises:
            ProtocolError: If the other end broke the protocol.
            ClosedError: If it closed within a message.
            SilentError: If it sent nothing for `timeout_s`.
            OSError: If the connection failed.
        """
        while True:
            try:
                event = self._state.next_event()
            except h11.RemoteProtocolError as error:
                if (
                    self._state.their_state is h11.ERROR
                    and (self._state.trailing_data[1])
                ):
                    raise ClosedError(str(error)) from error
                raise ProtocolError(
                    str(error), error.error_status_hint
                ) from error
            if event is not h11.NEED_DATA:
                return event
            self._state.receive_data(await self._read())

    async def send(self, event: typing.Any) -> None:
        """Sends one event of h11.

        Raises:
            h11.LocalProtocolError: If the event does not fit the state.
            OSError: If the connection failed.
        """
        data = self._state.send(event)
        if data:
            await self._socket.sendall(data)

    async def send_all(self, *events: typing.Any) -> None:
        """Sends several events with one write; see `send`."""
        data = b''.join(filter(None, map(self._state.send, events)))
        if data:
            await self._socket.sendall(data)

    async def close(self) -> None:
        """Closes the socket."""
        await self._socket.close()

    def looks_quiet(self) -> bool:
        """Whether neither data nor the end has come unasked.

        Data on an idle connection is a late answer, so the connection must
        not be used for another request.
        """
        if self._state.trailing_data[0]:
            return False
        return _peek(self._socket) is None

    def reset(self) -> None:
        """Makes the coming close a reset instead of an orderly end."""
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )

    def shut_down(self) -> None:
        """Ends both directions, so that a task that waits wakes up."""
        try:
            with self._socket.blocking() as raw:
                raw.setblocking(False)
                raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def peer_disconnected(self) -> bool:
        """Whether the other end has closed or reset the connection."""
        return _peek(self._socket) == b''

    async def _read(self) -> bytes:
        if self.timeout_s is None:
            return await self._socket.recv(READ_BYTES)
        try:
            async with curio.timeout_after(self.timeout_s):
                return await self._socket.recv(READ_BYTES)
        except curio.TaskTimeout:
            raise SilentError(
                f'nothing came for {self.timeout_s:.3f} s'
            ) from None


def _peek(sock: io.Socket) -> bytes | None:
    """Returns one waiting byte, b'' at the end, None if nothing waits."""
    try:
        with sock.blocking() as raw:
            raw.setblocking(False)
            return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b''


def header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the value of the first header of a name in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that a proxy passes on."""
    named: set[bytes] = set()
    for key, value in headers:
        if key == b'connection':
            named.update(token.strip().lower() for token in value.split(b','))
    return [
        (key, value)
        for key, value in headers
        if key not in HopByHop and key not in named
    ]


async def read_body(
    events: collections.abc.Callable[
        [], collections.abc.Awaitable[typing.Any]
    ],
    limit: int,
) -> bytes:
    """Reads a body to its end.

    Args:
        events: Returns the next event.
        limit: Most bytes that are kept.

    Raises:
        BodyTooLargeError: If there are more.
        ClosedError: If the connection ended within the body.
    """
    body = bytearray()
    while True:
        event = await events()
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > limit:
                raise BodyTooLargeError(
                    f'got more than {limit} bytes; valid are at most that'
                )
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        elif isinstance(event, h11.ConnectionClosed):
            raise ClosedError('the connection ended within the body')
