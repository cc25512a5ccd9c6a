"""HTTP server with one task per connection."""

from __future__ import annotations

import collections.abc
import logging
import typing
import urllib.parse

from curio import io
import h11

from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.transport import http
from banyantrack.transport import listener

CALLER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 300.0
# A request body that the handler did not read is discarded up to this size to
# keep the connection usable; beyond it the connection is closed.
DRAIN_LIMIT_BYTES = 64 * 1024
REASON_PHRASES = {200: b'OK', 400: b'Bad Request', 503: b'Service Unavailable'}
_LOG = logging.getLogger(__name__)


class Request:
    """One request received by the server.

    Args:
        connection: Connection that the request was received on.
        head: Request line and headers.
        stopping: Returns whether responses must close their connections.

    Attributes:
        started: Whether the response has been started.
        closes_connection: Whether the response announced that the connection
            closes after it.
    """

    __slots__ = (
        '_connection',
        '_head',
        '_headers',
        '_stopping',
        'started',
        'closes_connection',
    )

    def __init__(
        self,
        connection: http.Connection,
        head: h11.Request,
        stopping: collections.abc.Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._stopping = stopping
        self._head = head
        # Each iteration over the headers of h11 builds new tuples, so they are
        # copied once.
        self._headers: http.Headers = list(head.headers)
        self.started = False
        self.closes_connection = False

    @property
    def connection(self) -> http.Connection:
        """Connection that the request was received on."""
        return self._connection

    @property
    def method(self) -> str:
        """HTTP method."""
        return self._head.method.decode('ascii')

    @property
    def target(self) -> str:
        """Path and query."""
        return self._head.target.decode('latin-1')

    @property
    def path(self) -> str:
        """Path of the target.

        Raises:
            ProtocolError: If the target cannot be read.
        """
        try:
            return urllib.parse.urlsplit(self.target).path
        except ValueError as error:
            raise http.ProtocolError(f'target: {error}') from error

    @property
    def headers(self) -> http.Headers:
        """Headers; names are in lower case."""
        return self._headers

    @property
    def has_body(self) -> bool:
        """Whether unread body data may follow."""
        return self._connection.state.their_state is h11.SEND_BODY and (
            http.header(self.headers, b'transfer-encoding') is not None
            or http.header(self.headers, b'content-length') not in (None, b'0')
        )

    def header(self, name: bytes) -> str | None:
        """Returns the first value of a header, given its lower-case name."""
        value = http.header(self.headers, name)
        return None if value is None else value.decode('latin-1')

    async def next_event(self) -> typing.Any:
        """Returns the next h11 event of the body.

        Sends the response `100 Continue` first if the caller waits for it.
        Raises the errors of `http.Connection.receive`.
        """
        state = self._connection.state
        if state.they_are_waiting_for_100_continue:
            await self._connection.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        return await self._connection.receive()

    async def read_body(self, limit_bytes: int) -> bytes:
        """Reads the whole body; see `http.read_body`."""
        return await http.read_body(self.next_event, limit_bytes)

    async def respond(
        self,
        status: int,
        headers: http.Headers,
        body: bytes = b'',
    ) -> None:
        """Sends a complete response.

        Args:
            status: Status code.
            headers: Headers without `Content-Length`.
            body: Whole body; not sent in response to HEAD.
        """
        length = (b'content-length', str(len(body)).encode())
        events = [self._response(status, [*headers, length])]
        if body and self._head.method != b'HEAD':
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        self.started = True
        await self._connection.send_all(*events)

    async def start_response(self, status: int, headers: http.Headers) -> None:
        """Sends the head of a response whose body is sent in parts."""
        self.started = True
        await self._connection.send(self._response(status, headers))

    async def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._connection.send(h11.Data(data=data))

    async def end_response(self) -> None:
        """Ends the body and thereby the response."""
        await self._connection.send(h11.EndOfMessage())

    def _response(self, status: int, headers: http.Headers) -> h11.Response:
        # The connection must stay open unless this response announces its
        # close, since the caller may reuse it immediately.
        self.closes_connection = self._stopping()
        if self.closes_connection:
            headers = [*headers, (b'connection', b'close')]
        return h11.Response(
            status_code=status,
            headers=headers,
            reason=REASON_PHRASES.get(status, b''),
        )


Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[None]]


def _check_head(request: Request) -> None:
    """Raises `ProtocolError` if a request head is too large.

    h11 limits incomplete heads only; a large head that is received at once
    passes it.
    """
    size = len(request.target) + sum(
        len(key) + len(value) for key, value in request.headers
    )
    if size > http.HEAD_LIMIT_BYTES:
        raise http.ProtocolError(
            f'request head has {size} bytes;'
            f' the limit is {http.HEAD_LIMIT_BYTES}',
            431,
        )


class HttpServer:
    """Serves HTTP on one address.

    Args:
        address: `IP:PORT` to listen on.
        handler: Responds to each request.
        limit: Maximum number of concurrent connections; further ones wait in
            the backlog.
        caller_timeout_s: Maximum time to wait for more bytes of a request.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        limit: int = 10_000,
        caller_timeout_s: float = CALLER_TIMEOUT_S,
    ) -> None:
        self._handler = handler
        self._caller_timeout_s = caller_timeout_s
        self._listener = listener.Listener(address, self._serve, limit=limit)
        self._stopping = False
        self._idle: set[http.Connection] = set()
        self._active: set[http.Connection] = set()

    @property
    def active(self) -> int:
        """Number of connections with a request in progress."""
        return len(self._active)

    @property
    def active_connections(self) -> frozenset[http.Connection]:
        """Connections with a request in progress."""
        return frozenset(self._active)

    async def start(self) -> None:
        """Starts accepting connections."""
        await self._listener.start()

    def start_closing(self) -> None:
        """Makes each connection close after its next response."""
        self._stopping = True

    async def stop_accepting(self) -> None:
        """Stops accepting connections; requests in progress continue.

        Open connections close after their next response.
        """
        self._stopping = True
        await self._listener.stop_accepting()

    async def close(self) -> None:
        """Stops accepting and closes all connections."""
        self._stopping = True
        await self._listener.close()

    async def _serve(self, client: io.Socket) -> None:
        connection = http.Connection(client, h11.SERVER)
        try:
            while await self._serve_one(connection):
                pass
        except http.ProtocolError as error:
            await self._reject(connection, error.status, str(error))
        except http.ReceiveTimeoutError as error:
            if connection.state.their_state is not h11.IDLE:
                await self._reject(connection, 408, str(error))
        except http.ClosedError as error:
            logs.event(_LOG, 'request_cut', level=logging.INFO, error=error)
        except (OSError, errors.InvariantError):
            raise
        except Exception as error:
            # The caller sees a broken connection: the outcome is unknown.
            logs.unexpected_error(_LOG, 'request_failed', error)
        finally:
            self._active.discard(connection)

    async def _serve_one(self, connection: http.Connection) -> bool:
        connection.timeout_s = IDLE_TIMEOUT_S
        head = await self._next_head(connection)
        if not isinstance(head, h11.Request):
            return False
        connection.timeout_s = self._caller_timeout_s
        request = Request(connection, head, lambda: self._stopping)
        _check_head(request)
        self._active.add(connection)
        try:
            await self._handler(request)
        finally:
            self._active.discard(connection)
        return (
            not request.closes_connection
            and await self._prepare_next_request(connection)
        )

    async def _next_head(self, connection: http.Connection) -> typing.Any:
        self._idle.add(connection)
        try:
            return await connection.receive()
        finally:
            self._idle.discard(connection)

    async def _prepare_next_request(self, connection: http.Connection) -> bool:
        """Discards unread body data.

        Returns:
            Whether another request may be read from the connection.
        """
        state = connection.state
        drained = 0
        while state.their_state is h11.SEND_BODY:
            if state.they_are_waiting_for_100_continue:
                return False
            event = await connection.receive()
            if isinstance(event, h11.Data):
                drained += len(event.data)
            if drained > DRAIN_LIMIT_BYTES:
                return False
        if state.our_state is not h11.DONE:
            return False
        if state.their_state is not h11.DONE:
            return False
        state.start_next_cycle()
        return True

    async def _reject(
        self, connection: http.Connection, status: int, message: str
    ) -> None:
        logs.event(
            _LOG,
            'bad_request',
            level=logging.WARNING,
            status=status,
            error=message,
        )
        if connection.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = message.encode()
        response = h11.Response(
            status_code=status,
            headers=[
                (b'content-type', b'text/plain'),
                (b'content-length', str(len(body)).encode()),
                (b'banyan-outcome', b'not-run'),
                (b'connection', b'close'),
            ],
        )
        await connection.send_all(
            response, h11.Data(data=body), h11.EndOfMessage()
        )
