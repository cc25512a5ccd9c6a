"""HTTP server: one task for each connection."""

from __future__ import annotations

import collections.abc
import logging
import typing

from curio import io
import h11

from banyantrack.core import logs
from banyantrack.transport import http
from banyantrack.transport import listener

CALLER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 300.0
# Bytes of a refused body that are read to keep the connection usable.
DRAIN_LIMIT_BYTES = 64 * 1024
REASONS = {200: b'OK', 400: b'Bad Request', 503: b'Service Unavailable'}
_LOG = logging.getLogger(__name__)


class Request:
    """One request on a server's connection.

    Args:
        connection: Where it came in.
        head: Its head.
        stopping: Returns whether the server closes its connections.
    """

    __slots__ = (
        '_connection',
        '_head',
        '_headers',
        '_stopping',
        'started',
        'closing',
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
        # Each pass over the headers of h11 makes them anew.
        self._headers: http.Headers = list(head.headers)
        self.started = False
        self.closing = False

    @property
    def connection(self) -> http.Connection:
        """The connection that it came in on."""
        return self._connection

    @property
    def method(self) -> str:
        """Its method."""
        return self._head.method.decode('ascii')

    @property
    def target(self) -> str:
        """Its target: path and query."""
        return self._head.target.decode('latin-1')

    @property
    def headers(self) -> http.Headers:
        """Its headers, with names in lower case."""
        return self._headers

    @property
    def has_body(self) -> bool:
        """Whether any body may follow."""
        return self._connection.state.their_state is h11.SEND_BODY and (
            http.header(self.headers, b'transfer-encoding') is not None
            or http.header(self.headers, b'content-length') not in (None, b'0')
        )

    def header(self, name: bytes) -> str | None:
        """Returns the first header of a name in lower case."""
        value = http.header(self.headers, name)
        return None if value is None else value.decode('latin-1')

    async def next_event(self) -> typing.Any:
        """Returns the next event of the body; see `http.Connection`."""
        state = self._connection.state
        if state.they_are_waiting_for_100_continue:
            await self._connection.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        return await self._connection.receive()

    async def read_body(self, limit: int) -> bytes:
        """Reads the body; see `http.read_body`."""
        return await http.read_body(self.next_event, limit)

    async def respond(
        self,
        status: int,
        headers: http.Headers,
        body: bytes = b'',
    ) -> None:
        """Sends a whole response.

        Args:
            status: Status code.
            headers: Headers without `Content-Length`.
            body: The body; not sent for HEAD.
        """
        length = (b'content-length', str(len(body)).encode())
        events = [self._response(status, [*headers, length])]
        if body and self._head.method != b'HEAD':
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        self.started = True
        await self._connection.send_all(*events)

    async def start_response(self, status: int, headers: http.Headers) -> None:
        """Sends the head of a response whose body follows in pieces."""
        self.started = True
        await self._connection.send(self._response(status, headers))

    async def send_data(self, data: bytes) -> None:
        """Sends a piece of the body."""
        await self._connection.send(h11.Data(data=data))

    async def end_response(self) -> None:
        """Ends the body."""
        await self._connection.send(h11.EndOfMessage())

    def _response(self, status: int, headers: http.Headers) -> h11.Response:
        # A connection that the answer does not close must stay open, since
        # the caller may use it again at once.
        self.closing = self._stopping()
        if self.closing:
            headers = [*headers, (b'connection', b'close')]
        return h11.Response(
            status_code=status,
            headers=headers,
            reason=REASONS.get(status, b''),
        )


Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[None]]


def _check_head(request: Request) -> None:
    """Refuses a head that came in one piece and is too large."""
    size = len(request.target) + sum(
        len(key) + len(value) for key, value in request.headers
    )
    if size > http.HEAD_LIMIT_BYTES:
        raise http.ProtocolError(
            f'got a head of {size} bytes;'
            f' valid are at most {http.HEAD_LIMIT_BYTES}',
            431,
        )


class HttpServer:
    """Serves HTTP on one address.

    Args:
        address: `IP:PORT` to listen on.
        handler: Answers each request.
        limit: Most connections at once.
        caller_timeout_s: Longest wait for the next bytes of a request.
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
        """Connections with a request in progress."""
        return len(self._active)

    @property
    def active_connections(self) -> frozenset[http.Connection]:
        """The connections with a request in progress."""
        return frozenset(self._active)

    async def start(self) -> None:
        """Starts to accept connections."""
        await self._listener.start()

    def start_closing(self) -> None:
        """Closes each connection after its next answer."""
        self._stopping = True

    async def stop_accepting(self) -> None:
        """Accepts no more; requests in progress go on, idle ones end."""
        self._stopping = True
        await self._listener.stop_accepting()

    async def close(self) -> None:
        """Ends all connections."""
        self._stopping = True
        await self._listener.close()

    async def _serve(self, client: io.Socket) -> None:
        connection = http.Connection(client, h11.SERVER)
        try:
            while await self._serve_one(connection):
                pass
        except http.ProtocolError as error:
            await self._refuse(connection, error.status, str(error))
        except http.SilentError as error:
            if connection.state.their_state is not h11.IDLE:
                await self._refuse(connection, 408, str(error))
        except http.ClosedError as error:
            logs.event(_LOG, 'request_cut', level=logging.INFO, error=error)
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
        return not request.closing and await self._finish(connection)

    async def _next_head(self, connection: http.Connection) -> typing.Any:
        self._idle.add(connection)
        try:
            return await connection.receive()
        finally:
            self._idle.discard(connection)

    async def _finish(self, connection: http.Connection) -> bool:
        """Prepares for the next request; returns whether one may come."""
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

    async def _refuse(
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
