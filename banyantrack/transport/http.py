"""HTTP/1.1 connections for servers and clients: h11 over curio sockets."""

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
# Headers that concern one connection only; a proxy must not forward them.
HOP_BY_HOP_HEADERS = frozenset(
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
    """The peer violated the protocol.

    Attributes:
        status: HTTP status to respond with.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class ClosedError(errors.BanyanError):
    """The peer closed the connection within a message."""


class SilentError(errors.BanyanError):
    """The peer sent nothing within the timeout."""


class BodyTooLargeError(errors.BanyanError):
    """A body exceeds its size limit."""


class Connection:
    """One HTTP/1.1 connection.

    Args:
        sock: A connected socket.
        role: `h11.SERVER` or `h11.CLIENT`.

    Attributes:
        timeout_s: Seconds that `receive` waits for data; None waits without
            a limit.
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
        """The h11 state machine of this connection."""
        return self._state

    async def receive(self) -> typing.Any:
        """Returns the next h11 event.

        Raises:
            ProtocolError: If the peer violated the protocol.
            ClosedError: If the peer closed the connection within a message.
            SilentError: If the peer sent nothing for `timeout_s`.
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
        """Sends one h11 event.

        Raises:
            h11.LocalProtocolError: If the event is invalid in this state.
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
        """Whether an idle connection may carry another request.

        Unread data on an idle connection is a late response to an earlier
        request, so the connection must not be reused; neither must one that
        the peer has closed.
        """
        if self._state.trailing_data[0]:
            return False
        return _peek(self._socket) is None

    def reset(self) -> None:
        """Makes the next close send a TCP reset instead of a FIN."""
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )

    def shut_down(self) -> None:
        """Shuts down both directions, which wakes tasks that wait for data."""
        try:
            with self._socket.blocking() as raw:
                raw.setblocking(False)
                raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def peer_disconnected(self) -> bool:
        """Whether the peer has closed or reset the connection."""
        return _peek(self._socket) == b''

    async def _read(self) -> bytes:
        if self.timeout_s is None:
            return await self._socket.recv(READ_BYTES)
        try:
            async with curio.timeout_after(self.timeout_s):
                return await self._socket.recv(READ_BYTES)
        except curio.TaskTimeout:
            raise SilentError(
                f'no data received for {self.timeout_s:.3f} s'
            ) from None


def _peek(sock: io.Socket) -> bytes | None:
    """Returns one unread byte without consuming it.

    Returns:
        The byte; b'' if the peer closed or reset the connection; None if no
        data is available.
    """
    try:
        with sock.blocking() as raw:
            raw.setblocking(False)
            return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b''


def header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, given its lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that a proxy forwards (RFC 9110, section 7.6.1)."""
    connection_options: set[bytes] = set()
    for key, value in headers:
        if key == b'connection':
            connection_options.update(
                token.strip().lower() for token in value.split(b',')
            )
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP_HEADERS and key not in connection_options
    ]


async def read_body(
    next_event: collections.abc.Callable[
        [], collections.abc.Awaitable[typing.Any]
    ],
    limit_bytes: int,
) -> bytes:
    """Reads a whole message body.

    Args:
        next_event: Returns the next h11 event.
        limit_bytes: Largest accepted size of the body.

    Raises:
        BodyTooLargeError: If the body exceeds `limit_bytes`.
        ClosedError: If the connection was closed within the body.
    """
    body = bytearray()
    while True:
        event = await next_event()
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > limit_bytes:
                raise BodyTooLargeError(
                    f'body exceeds the limit of {limit_bytes} bytes'
                )
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        elif isinstance(event, h11.ConnectionClosed):
            raise ClosedError('connection closed within the body')
