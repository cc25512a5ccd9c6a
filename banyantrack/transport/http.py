"""HTTP/1.1 connections for servers and clients: h11 over curio sockets."""

from __future__ import annotations

import collections.abc
import socket
import struct
import time
import typing

import curio
from curio import io
import h11

from banyantrack.core import errors
from banyantrack.transport import parts

HEAD_LIMIT_BYTES = 16 * 1024
READ_BYTES = 64 * 1024
# Events of a connection after which other tasks run. Decoding a chunk takes
# 11 us, however small it is.
EVENTS_PER_SLICE = 32
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
MakeError = collections.abc.Callable[[], errors.BanyanError]


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


class ReceiveTimeoutError(errors.BanyanError):
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
        deadline_s: Monotonic time until which `receive` waits; None for no
            limit.
        read_bytes: Largest number of bytes that are read at once.
        sending_since_s: Monotonic time at which the write in progress began;
            None if there is none.
    """

    __slots__ = (
        '_socket',
        '_state',
        '_events',
        '_head_timeout_s',
        '_interruption',
        'timeout_s',
        'deadline_s',
        'read_bytes',
        'sending_since_s',
    )

    def __init__(self, sock: io.Socket, role: type[h11.Sentinel]) -> None:
        self._socket = sock
        self._state = h11.Connection(
            role, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )
        self._events = 0
        self._head_timeout_s: float | None = None
        self._interruption: MakeError | None = None
        self.timeout_s: float | None = None
        self.deadline_s: float | None = None
        self.read_bytes = READ_BYTES
        self.sending_since_s: float | None = None

    @property
    def state(self) -> h11.Connection:
        """The h11 state machine of this connection."""
        return self._state

    async def receive(self) -> typing.Any:
        """Returns the next h11 event.

        Raises:
            ProtocolError: If the peer violated the protocol.
            ClosedError: If the peer closed the connection within a message.
            ReceiveTimeoutError: If the peer sent nothing for `timeout_s`, or
                not all until `deadline_s`.
            BanyanError: What the argument of `interrupt` returned, if it was
                called.
            OSError: If the connection failed.
        """
        while True:
            if self._interruption is not None:
                raise self._interruption()
            self._events += 1
            if self._events % EVENTS_PER_SLICE == 0:
                # Reading and decoding wait for nothing while data is there.
                await curio.sleep(0)
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
            data = await self._read()
            if self.deadline_s is None and self._head_timeout_s is not None:
                self.deadline_s = time.monotonic() + self._head_timeout_s
            self._state.receive_data(data)

    def expect_head(self, timeout_s: float | None) -> None:
        """Limits the time from the first byte of a head to its last one.

        Args:
            timeout_s: The limit in seconds; None ends it.
        """
        self._head_timeout_s = timeout_s
        self.deadline_s = None
        if timeout_s is not None and self.has_partial_input():
            self.deadline_s = time.monotonic() + timeout_s

    def has_partial_input(self) -> bool:
        """Whether received data waits for more of its event."""
        return bool(self._state.trailing_data[0])

    def interrupt(self, make_error: MakeError) -> None:
        """Makes `receive` raise an error; a response can still be sent.

        Args:
            make_error: Returns the error. It is made when it is raised, since
                one that is kept holds the frames that it passed, and with
                them the body, until the garbage collector runs.
        """
        self._interruption = make_error
        self._shut_down(socket.SHUT_RD)

    async def send(self, event: typing.Any) -> None:
        """Sends one h11 event.

        Raises:
            h11.LocalProtocolError: If the event is invalid in this state.
            OSError: If the connection failed.
        """
        data = self._state.send(event)
        if data:
            await self._send(data)

    async def send_all(self, *events: typing.Any) -> None:
        """Sends several events with one write; see `send`."""
        data = b''.join(filter(None, map(self._state.send, events)))
        if data:
            await self._send(data)

    async def close(self) -> None:
        """Closes the socket."""
        await self._socket.close()

    def has_no_pending_input(self) -> bool:
        """Whether there is no unread data and the peer has not closed.

        Unread data on an idle connection is a late response to an earlier
        request, so the connection must not be used for another one.
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
        self._shut_down(socket.SHUT_RDWR)

    def peer_disconnected(self) -> bool:
        """Whether the peer has closed or reset the connection."""
        return _peek(self._socket) == b''

    def _shut_down(self, directions: int) -> None:
        try:
            with self._socket.blocking() as raw:
                raw.setblocking(False)
                raw.shutdown(directions)
        except OSError:
            pass

    async def _send(self, data: bytes) -> None:
        self.sending_since_s = time.monotonic()
        try:
            await self._socket.sendall(data)
        finally:
            self.sending_since_s = None

    async def _read(self) -> bytes:
        timeout_s = self.timeout_s
        if timeout_s is None:
            return await self._socket.recv(self.read_bytes)
        if self.deadline_s is not None:
            left_s = self.deadline_s - time.monotonic()
            if left_s <= 0:
                raise ReceiveTimeoutError('the request took too long')
            timeout_s = min(timeout_s, left_s)
        try:
            async with curio.timeout_after(timeout_s):
                return await self._socket.recv(self.read_bytes)
        except curio.TaskTimeout:
            raise ReceiveTimeoutError(
                f'no data received for {timeout_s:.3f} s'
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
    body = parts.PartBuffer()
    while True:
        event = await next_event()
        if isinstance(event, h11.Data):
            body.append(event.data)
            if len(body) > limit_bytes:
                raise BodyTooLargeError(
                    f'body exceeds the limit of {limit_bytes} bytes'
                )
        elif isinstance(event, h11.EndOfMessage):
            return body.join()
        elif isinstance(event, h11.ConnectionClosed):
            raise ClosedError('connection closed within the body')
