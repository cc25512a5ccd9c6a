"""HTTP server with one task per connection."""

from __future__ import annotations

import collections.abc
import logging
import time
import typing
import urllib.parse

import curio
from curio import io
import h11

from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.transport import budget
from banyantrack.transport import http
from banyantrack.transport import listener

CALLER_TIMEOUT_S = 10.0
# A request body that the handler did not read is discarded up to this size to
# keep the connection usable; beyond it the connection is closed.
DRAIN_LIMIT_BYTES = 64 * 1024
DRAIN_EVENTS = 256
DRAIN_TIMEOUT_S = 5.0
# Heads and chunks are read in smaller parts than bodies of a known length,
# since what follows them stays in memory meanwhile.
HEAD_READ_BYTES = 16 * 1024
SWEEP_INTERVAL_S = 1.0
REASON_PHRASES = {200: b'OK', 400: b'Bad Request', 503: b'Service Unavailable'}
_LOG = logging.getLogger(__name__)


class Request:
    """One request received by the server.

    Args:
        connection: Connection that the request was received on.
        head: Request line and headers.
        stopping: Returns whether responses must close their connections.
        limits: Limits of the process.
        source: Address of the client, without its port.

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
        '_limits',
        '_source',
        '_holding',
        'started',
        'closes_connection',
    )

    def __init__(
        self,
        connection: http.Connection,
        head: h11.Request,
        stopping: collections.abc.Callable[[], bool],
        limits: budget.Limits,
        source: str,
    ) -> None:
        self._limits = limits
        self._source = source
        self._holding: budget.Holding | None = None
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
        """Reads the whole body; see `http.read_body`.

        Raises:
            BudgetError: If the memory for requests is short.
            ProtocolError: If the body has too many small chunks.
            ReceiveTimeoutError: If the body took too long.
        """
        length = self._declared_length()
        if length is not None and length > limit_bytes:
            self._limits.refusals.add(
                budget.Refusal.LENGTH, bytes=length, limit_bytes=limit_bytes
            )
            raise http.BodyTooLargeError(
                f'body has {length} bytes; the limit is {limit_bytes} bytes'
            )
        if not self.has_body:
            return await http.read_body(self.next_event, limit_bytes)
        connection = self._connection
        connection.deadline_s = time.monotonic() + self._limits.body_timeout_s
        reader = _BodyReader(self, length, self._limits)
        body = await http.read_body(reader.next_event, limit_bytes)
        connection.deadline_s = None
        await self.hold(len(body))
        self.end_reading()
        return body

    async def hold(self, body_bytes: int) -> None:
        """Reserves memory for bytes of the body before they are read.

        Until `end_reading`, the request may be dropped for others.

        Args:
            body_bytes: Bytes of the body that are held from now on.

        Raises:
            BudgetError: If they cannot be reserved.
        """
        if self._holding is None:
            self._holding = budget.Holding(
                self._limits.clients, self._source, self._drop
            )
            self._holding.set_unfinished(True)
        size = budget.REQUEST_OVERHEAD_BYTES + budget.BODY_FACTOR * body_bytes
        if self._holding.resize(size):
            # The tasks of dropped requests free their memory.
            await curio.sleep(0)

    def end_reading(self) -> None:
        """Ends the time in which the request may be dropped for others."""
        if self._holding is not None:
            self._holding.set_unfinished(False)

    def drop_unfinished(self) -> bool:
        """Drops the request; returns whether it could be dropped."""
        if self._holding is None or not self._holding.unfinished:
            return False
        self._holding.drop()
        return True

    def release(self) -> None:
        """Returns the memory reserved for the request."""
        if self._holding is not None:
            self._holding.release()
            self._holding = None

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
        if len(body) > budget.SMALL_BYTES:
            await self._hold_response(len(body))
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

    async def _hold_response(self, size: int) -> None:
        """Reserves memory for a response until its client has read it.

        Raises:
            ConnectionError: If it cannot be reserved. The request may have
                been executed, so that it is not refused.
        """
        if self._holding is None:
            self._holding = budget.Holding(
                self._limits.clients, self._source, self._drop
            )
        self._holding.set_unfinished(True)
        try:
            if self._holding.resize(self._holding.held_bytes + size):
                await curio.sleep(0)
        except budget.BudgetError as error:
            self._limits.refusals.add(error.refusal, response_bytes=size)
            raise ConnectionError(str(error)) from error

    def _drop(self) -> None:
        if self.started:
            self._connection.shut_down()
            return
        self._connection.interrupt(budget.dropped_error)

    def _declared_length(self) -> int | None:
        length = http.header(self._headers, b'content-length')
        return None if length is None else int(length)

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


class _BodyReader:
    """Reserves memory before each read of a body that is kept whole.

    Args:
        request: The request.
        length: Declared length; None if the body is chunked.
        limits: Limits of the process.
    """

    __slots__ = ('_request', '_length', '_limits', '_size', '_held', '_chunks')

    def __init__(
        self, request: Request, length: int | None, limits: budget.Limits
    ) -> None:
        self._request = request
        self._length = length
        self._limits = limits
        self._size = 0
        self._held = 0
        self._chunks = 0

    async def next_event(self) -> typing.Any:
        """Returns the next event of the body; see `Request.next_event`."""
        if self._length is None:
            step = HEAD_READ_BYTES
        else:
            step = min(self._length - self._size, http.READ_BYTES)
        if self._size + step > self._held:
            self._held = self._size + step
            await self._request.hold(self._held)
        self._request.connection.read_bytes = max(step, HEAD_READ_BYTES)
        event = await self._request.next_event()
        if isinstance(event, h11.Data):
            self._size += len(event.data)
            self._chunks += event.chunk_start
            self._limits.check_chunks(self._chunks, self._size)
        return event


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
        limits: Limits of the process; default ones of its own if None.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        limit: int = 10_000,
        caller_timeout_s: float = CALLER_TIMEOUT_S,
        limits: budget.Limits | None = None,
    ) -> None:
        self._handler = handler
        self._caller_timeout_s = caller_timeout_s
        self._limits = limits or budget.Limits()
        self._listener = listener.Listener(
            address, self._serve, limit=limit, make_room=self._end_oldest
        )
        self._stopping = False
        self._sweeper: curio.Task | None = None
        self._connections: set[http.Connection] = set()
        # Connections that wait for a request head, the longest first.
        self._idle: dict[http.Connection, None] = {}
        # Requests in progress, the oldest first.
        self._active: dict[http.Connection, Request] = {}

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
        self._sweeper = await curio.spawn(self._sweep, daemon=True)

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
        if self._sweeper is not None:
            await self._sweeper.cancel()

    async def _sweep(self) -> None:
        """Ends connections whose clients do not read their responses."""
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            before_s = time.monotonic() - self._limits.send_timeout_s
            for connection in list(self._connections):
                since_s = connection.sending_since_s
                if since_s is not None and since_s < before_s:
                    self._limits.refusals.add(budget.Refusal.NOT_READING)
                    connection.shut_down()

    def _end_oldest(self) -> bool:
        """Ends the connection that has waited longest for a request head.

        A head that has not been received completely does not make it younger.
        Without such a connection, the oldest unfinished request is dropped.

        Returns:
            Whether there was one.
        """
        for connection in self._idle:
            if not (
                connection.has_partial_input()
                or connection.has_no_pending_input()
            ):
                # Its request has just arrived, or it is being closed.
                continue
            self._limits.refusals.add(budget.Refusal.CONNECTIONS)
            del self._idle[connection]
            connection.shut_down()
            return True
        for request in self._active.values():
            if request.drop_unfinished():
                self._limits.refusals.add(budget.Refusal.CONNECTIONS)
                return True
        return False

    async def _serve(self, client: io.Socket) -> None:
        connection = http.Connection(client, h11.SERVER)
        source = client.getpeername()[0]
        self._connections.add(connection)
        try:
            while await self._serve_one(connection, source):
                pass
        except budget.BudgetError as error:
            if error.refusal is not budget.Refusal.DROPPED:
                self._limits.refusals.add(error.refusal, source=source)
            await self._reject(connection, error.status, str(error))
        except http.ProtocolError as error:
            await self._reject(connection, error.status, str(error))
        except http.ReceiveTimeoutError as error:
            if connection.deadline_s is not None:
                self._limits.refusals.add(
                    budget.Refusal.DEADLINE, source=source
                )
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
            self._active.pop(connection, None)
            self._connections.discard(connection)

    async def _serve_one(
        self, connection: http.Connection, source: str
    ) -> bool:
        connection.timeout_s = self._limits.idle_timeout_s
        connection.read_bytes = HEAD_READ_BYTES
        connection.expect_head(self._limits.head_timeout_s)
        head = await self._next_head(connection)
        if not isinstance(head, h11.Request):
            return False
        connection.expect_head(None)
        connection.read_bytes = http.READ_BYTES
        connection.timeout_s = self._caller_timeout_s
        request = Request(
            connection, head, lambda: self._stopping, self._limits, source
        )
        _check_head(request)
        self._active[connection] = request
        try:
            await self._handler(request)
        finally:
            self._active.pop(connection, None)
            request.release()
        return (
            not request.closes_connection
            and await self._prepare_next_request(connection)
        )

    async def _next_head(self, connection: http.Connection) -> typing.Any:
        self._idle[connection] = None
        try:
            return await connection.receive()
        finally:
            self._idle.pop(connection, None)

    async def _prepare_next_request(self, connection: http.Connection) -> bool:
        """Discards unread body data.

        Returns:
            Whether another request may be read from the connection.
        """
        state = connection.state
        drained = 0
        events = 0
        if state.their_state is h11.SEND_BODY:
            connection.deadline_s = time.monotonic() + DRAIN_TIMEOUT_S
        while state.their_state is h11.SEND_BODY:
            if state.they_are_waiting_for_100_continue:
                return False
            event = await connection.receive()
            if isinstance(event, h11.Data):
                drained += len(event.data)
            events += 1
            if drained > DRAIN_LIMIT_BYTES or events > DRAIN_EVENTS:
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
        retry = [(b'retry-after', b'1')] if status == 503 else []
        response = h11.Response(
            status_code=status,
            headers=[
                (b'content-type', b'text/plain'),
                (b'content-length', str(len(body)).encode()),
                (b'banyan-outcome', b'not-run'),
                (b'connection', b'close'),
                *retry,
            ],
        )
        await connection.send_all(
            response, h11.Data(data=body), h11.EndOfMessage()
        )
