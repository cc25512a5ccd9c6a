"""One attempt: a request to one backend and the answer to it."""

from __future__ import annotations

import dataclasses
import enum
import time
import typing

import curio
import h11

from banyantrack.core import errors
from banyantrack.transport import http

if typing.TYPE_CHECKING:
    from banyantrack.dispatch import pools
    from banyantrack.dispatch import requests as requests_module
    from banyantrack.dispatch import targets
    from banyantrack.transport import http_server

# Answers up to this size are checked to be whole before any of it is passed
# on; larger ones are passed on as they come.
WHOLE_ANSWER_BYTES = 64 * 1024
# While a caller still sends, it may hold a slot for this long without a
# byte.
STREAM_TIMEOUT_S = 2.0
_OWN_HEADERS = frozenset(
    (b'host', b'banyan-deadline-ms', b'banyan-request-id')
)


class Ran(enum.Enum):
    """What is known of a failed attempt."""

    NOT_SENT = 'not-sent'
    NOT_RUN = 'not-run'
    MAYBE = 'maybe'


class AttemptError(errors.BanyanError):
    """An attempt brought no whole answer.

    Attributes:
        ran: Whether the backend may have run the request.
        timed_out: Whether time ran out.
        run_s: Seconds since the request was sent.
    """

    def __init__(
        self,
        message: str,
        ran: Ran,
        *,
        timed_out: bool = False,
        run_s: float = 0.0,
    ) -> None:
        super().__init__(message)
        self.ran = ran
        self.timed_out = timed_out
        self.run_s = run_s


class CallerError(errors.BanyanError):
    """The caller did not send the rest of its request."""


@dataclasses.dataclass(slots=True)
class Answer:
    """The answer of a backend.

    Attributes:
        status: Its status.
        headers: Its headers, with names in lower case.
        body: What came of the body so far.
        complete: Whether that is all.
        run_s: Seconds from the request to the head.
    """

    status: int
    headers: http.Headers
    body: bytes
    complete: bool
    run_s: float


class Attempt:
    """A request to one backend.

    Args:
        request: The request.
        incoming: The caller's HTTP request.
        target: The backend.
        pool: Connections.
    """

    def __init__(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        target: targets.Target,
        pool: pools.Pool,
    ) -> None:
        self._request = request
        self._incoming = incoming
        self._target = target
        self._pool = pool
        self._pooled: pools.PooledConnection | None = None
        self._ran = Ran.NOT_SENT
        self._started_at = 0.0

    @property
    def target(self) -> targets.Target:
        """The backend."""
        return self._target

    async def send(self, *, fresh: bool = False) -> None:
        """Sends the request.

        Args:
            fresh: Whether only a new connection will do.

        Raises:
            AttemptError: If it could not be sent.
            CallerError: If the caller stopped sending.
        """
        address = self._target.backend.address
        left_s = max(self._request.left_s, 0.001)
        try:
            if fresh:
                pooled = await self._pool.open(address, timeout_s=left_s)
            else:
                pooled = await self._pool.take(
                    address,
                    proven=not self._request.idempotent,
                    timeout_s=left_s,
                )
        except OSError as error:
            raise AttemptError(str(error), Ran.NOT_SENT) from error
        self._pooled = pooled
        self._ran = Ran.MAYBE
        self._started_at = time.monotonic()
        try:
            if self._request.body_complete:
                # It fits into the socket's buffer, so it does not block.
                await self._send(pooled.connection)
            else:
                async with curio.timeout_after(left_s):
                    await self._send(pooled.connection)
        except curio.TaskTimeout:
            raise self._failure('sending took too long', True) from None
        except (OSError, h11.LocalProtocolError) as error:
            raise self._failure(str(error)) from error

    async def receive(self, *, timeout_s: float | None = None) -> Answer:
        """Waits for the answer.

        Args:
            timeout_s: Seconds after which `TaskTimeout` is raised, with the
                attempt still open; the deadline if None.

        Raises:
            AttemptError: If no whole answer came.
            curio.TaskTimeout: After `timeout_s`.
        """
        left_s = max(self._request.left_s, 0.001)
        if timeout_s is not None and timeout_s < left_s:
            async with curio.timeout_after(timeout_s):
                return await self._receive()
        try:
            async with curio.timeout_after(left_s):
                return await self._receive()
        except curio.TaskTimeout:
            raise self._failure(
                'no answer before the deadline', True
            ) from None

    async def next_data(self) -> bytes | None:
        """Returns the next piece of a body that did not come whole.

        Raises:
            AttemptError: If the answer broke off.
        """
        left_s = max(self._request.left_s, 0.001)
        try:
            async with curio.timeout_after(left_s):
                event = await self._pooled.connection.receive()
        except curio.TaskTimeout:
            raise self._failure('the answer took too long', True) from None
        except (OSError, http.ProtocolError, http.ClosedError) as error:
            raise self._failure(f'the answer broke off: {error}') from error
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise self._failure('the answer broke off')

    async def finish(self) -> None:
        """Keeps the connection if the answer came whole, else closes it."""
        pooled, self._pooled = self._pooled, None
        if pooled is not None:
            await self._pool.give_back(pooled)

    async def abort(self) -> None:
        """Closes the connection, so that a late answer meets nobody."""
        pooled, self._pooled = self._pooled, None
        if pooled is not None:
            await pooled.connection.close()

    def interrupt(self) -> None:
        """Makes a wait for the answer fail, from another task."""
        if self._pooled is not None:
            self._pooled.connection.shut_down()

    def _failure(self, message: str, timed_out: bool = False) -> AttemptError:
        run_s = time.monotonic() - self._started_at
        return AttemptError(
            message, self._ran, timed_out=timed_out, run_s=run_s
        )

    def _head(self) -> h11.Request:
        request = self._request
        headers = [
            (key, value)
            for key, value in http.end_to_end(self._incoming.headers)
            if key not in _OWN_HEADERS
        ]
        left_ms = max(int(request.left_s * 1000), 1)
        headers += [
            (b'host', self._target.backend.address.encode()),
            (b'banyan-deadline-ms', str(left_ms).encode()),
            (b'banyan-request-id', request.request_id.encode()),
        ]
        if not request.body_complete and not _has_length(headers):
            headers.append((b'transfer-encoding', b'chunked'))
        return h11.Request(
            method=self._incoming.method,
            target=self._incoming.target,
            headers=headers,
        )

    async def _send(self, connection: http.Connection) -> None:
        events: list[typing.Any] = [self._head()]
        if self._request.body:
            events.append(h11.Data(data=self._request.body))
        if self._request.body_complete:
            events.append(h11.EndOfMessage())
            await connection.send_all(*events)
            return
        await connection.send_all(*events)
        await self._send_rest(connection)

    async def _send_rest(self, connection: http.Connection) -> None:
        """Passes on the rest of a large body as it comes."""
        self._incoming.connection.timeout_s = STREAM_TIMEOUT_S
        while True:
            if not connection.looks_quiet():
                # The backend answers before it has read everything.
                return
            try:
                event = await self._incoming.next_event()
            except (
                OSError,
                http.ClosedError,
                http.ProtocolError,
                http.SilentError,
            ) as error:
                raise CallerError(f'the request broke off: {error}') from error
            await connection.send(event)
            if isinstance(event, h11.EndOfMessage):
                return

    async def _receive(self) -> Answer:
        connection = self._pooled.connection
        try:
            head = await connection.receive()
            while isinstance(head, h11.InformationalResponse):
                head = await connection.receive()
            if not isinstance(head, h11.Response):
                raise self._failure('closed before the answer')
            run_s = time.monotonic() - self._started_at
            headers = list(head.headers)
            self._check_identity(headers)
            body, complete = await self._read_start(connection)
        except (OSError, http.ProtocolError, http.ClosedError) as error:
            raise self._failure(f'no whole answer: {error}') from error
        if complete and _says_not_run(head.status_code, headers):
            raise AttemptError('the backend did not run it', Ran.NOT_RUN)
        return Answer(head.status_code, headers, body, complete, run_s)

    def _check_identity(self, headers: http.Headers) -> None:
        echoed = http.header(headers, b'banyan-request-id')
        if echoed is not None and echoed.decode('latin-1') != (
            self._request.request_id
        ):
            raise self._failure('the answer belongs to another request')

    async def _read_start(
        self, connection: http.Connection
    ) -> tuple[bytes, bool]:
        body = b''
        while len(body) <= WHOLE_ANSWER_BYTES:
            event = await connection.receive()
            if isinstance(event, h11.Data):
                body = body + event.data if body else bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return body, True
            else:
                raise self._failure('the answer broke off')
        return body, False


def _has_length(headers: http.Headers) -> bool:
    return http.header(headers, b'content-length') is not None


def _says_not_run(status: int, headers: http.Headers) -> bool:
    return (
        status == 503 and http.header(headers, b'banyan-outcome') == b'not-run'
    )
