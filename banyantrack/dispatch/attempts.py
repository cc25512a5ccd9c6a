"""Sends a request to one backend and receives its answer."""

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

# Answers up to this size are buffered and forwarded only once complete;
# larger ones are streamed.
MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
# A caller that uploads a body while holding a slot may pause for at most this
# long.
UPLOAD_IDLE_TIMEOUT_S = 2.0
_OWN_REQUEST_HEADERS = frozenset(
    (b'host', b'banyan-deadline-ms', b'banyan-request-id')
)


class Execution(enum.Enum):
    """Whether the backend ran the request of a failed attempt.

    `NOT_SENT` and `NOT_RUN` are used only when certain; `NOT_RUN` means that
    the backend reported it.
    """

    NOT_SENT = 'not-sent'
    NOT_RUN = 'not-run'
    MAYBE = 'maybe'


class AttemptError(errors.BanyanError):
    """An attempt failed to get a complete answer.

    Attributes:
        execution: Whether the backend may have run the request.
        timed_out: Whether the deadline passed.
        run_s: Seconds from sending to the failure; 0 if not sent.
    """

    def __init__(
        self,
        message: str,
        execution: Execution,
        *,
        timed_out: bool = False,
        run_s: float = 0.0,
    ) -> None:
        super().__init__(message)
        self.execution = execution
        self.timed_out = timed_out
        self.run_s = run_s


class CallerError(errors.BanyanError):
    """The caller failed to send the rest of its request body."""


@dataclasses.dataclass(slots=True)
class Answer:
    """The answer of a backend.

    Attributes:
        status: HTTP status code.
        headers: Response headers, with names in lower case.
        body: The part of the body received so far.
        complete: Whether `body` is the whole body.
        run_s: Seconds from sending the request to the response head.
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
        pool: Connections to backends.
    """

    def __init__(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        target: targets.Target,
        pool: pools.ConnectionPool,
    ) -> None:
        self._request = request
        self._incoming = incoming
        self._target = target
        self._pool = pool
        self._pooled: pools.PooledConnection | None = None
        self._execution = Execution.NOT_SENT
        self._started_at = 0.0

    @property
    def target(self) -> targets.Target:
        """The backend."""
        return self._target

    async def send(self, *, new_connection: bool = False) -> None:
        """Sends the request.

        Args:
            new_connection: Whether to open a connection instead of reusing
                a pooled one.

        Raises:
            AttemptError: If the request could not be sent.
            CallerError: If the caller stopped sending its body.
        """
        address = self._target.backend.address
        remaining_s = max(self._request.remaining_s, 0.001)
        try:
            if new_connection:
                pooled = await self._pool.open(address, timeout_s=remaining_s)
            else:
                pooled = await self._pool.acquire(
                    address,
                    require_recent=not self._request.idempotent,
                    timeout_s=remaining_s,
                )
        except OSError as error:
            raise AttemptError(str(error), Execution.NOT_SENT) from error
        self._pooled = pooled
        self._execution = Execution.MAYBE
        self._started_at = time.monotonic()
        try:
            if self._request.body_complete:
                # A complete body fits into the socket buffer, so sending it
                # does not block.
                await self._send(pooled.connection)
            else:
                async with curio.timeout_after(remaining_s):
                    await self._send(pooled.connection)
        except curio.TaskTimeout:
            raise self._failure(
                'deadline passed while sending the request', True
            ) from None
        except (OSError, h11.LocalProtocolError) as error:
            raise self._failure(str(error)) from error

    async def receive(self, *, timeout_s: float | None = None) -> Answer:
        """Waits for the answer.

        Args:
            timeout_s: Seconds after which `TaskTimeout` is raised, with the
                attempt still open; if None, the wait ends at the deadline.

        Raises:
            AttemptError: If no complete answer arrived by the deadline.
            curio.TaskTimeout: After `timeout_s`.
        """
        remaining_s = max(self._request.remaining_s, 0.001)
        if timeout_s is not None and timeout_s < remaining_s:
            async with curio.timeout_after(timeout_s):
                return await self._receive()
        try:
            async with curio.timeout_after(remaining_s):
                return await self._receive()
        except curio.TaskTimeout:
            raise self._failure(
                'no answer before the deadline', True
            ) from None

    async def next_data(self) -> bytes | None:
        """Returns the next chunk of a streamed body, or None at its end.

        Raises:
            AttemptError: If the answer ended early or the deadline passed.
        """
        remaining_s = max(self._request.remaining_s, 0.001)
        try:
            async with curio.timeout_after(remaining_s):
                event = await self._pooled.connection.receive()
        except curio.TaskTimeout:
            raise self._failure(
                'deadline passed while receiving the answer', True
            ) from None
        except (OSError, http.ProtocolError, http.ClosedError) as error:
            raise self._failure(f'the answer ended early: {error}') from error
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise self._failure('the answer ended early')

    async def finish(self) -> None:
        """Pools the connection if the answer is complete, else closes it."""
        pooled, self._pooled = self._pooled, None
        if pooled is not None:
            await self._pool.release(pooled)

    async def abort(self) -> None:
        """Closes the connection, so that no other request gets its answer."""
        pooled, self._pooled = self._pooled, None
        if pooled is not None:
            await pooled.connection.close()

    def interrupt(self) -> None:
        """Makes a pending `receive` in another task fail."""
        if self._pooled is not None:
            self._pooled.connection.shut_down()

    def _failure(self, message: str, timed_out: bool = False) -> AttemptError:
        run_s = time.monotonic() - self._started_at
        return AttemptError(
            message, self._execution, timed_out=timed_out, run_s=run_s
        )

    def _request_head(self) -> h11.Request:
        request = self._request
        headers = [
            (key, value)
            for key, value in http.end_to_end(self._incoming.headers)
            if key not in _OWN_REQUEST_HEADERS
        ]
        remaining_ms = max(int(request.remaining_s * 1000), 1)
        headers += [
            (b'host', self._target.backend.address.encode()),
            (b'banyan-deadline-ms', str(remaining_ms).encode()),
            (b'banyan-request-id', request.request_id.encode()),
        ]
        if not request.body_complete and not _has_content_length(headers):
            headers.append((b'transfer-encoding', b'chunked'))
        return h11.Request(
            method=self._incoming.method,
            target=self._incoming.target,
            headers=headers,
        )

    async def _send(self, connection: http.Connection) -> None:
        events: list[typing.Any] = [self._request_head()]
        if self._request.body:
            events.append(h11.Data(data=self._request.body))
        if self._request.body_complete:
            events.append(h11.EndOfMessage())
            await connection.send_all(*events)
            return
        await connection.send_all(*events)
        await self._send_remaining_body(connection)

    async def _send_remaining_body(self, connection: http.Connection) -> None:
        """Streams the rest of the body from the caller to the backend."""
        self._incoming.connection.timeout_s = UPLOAD_IDLE_TIMEOUT_S
        while True:
            if not connection.has_no_pending_input():
                # The backend answered or closed before the end of the body.
                return
            try:
                event = await self._incoming.next_event()
            except (
                OSError,
                http.ClosedError,
                http.ProtocolError,
                http.ReceiveTimeoutError,
            ) as error:
                raise CallerError(
                    f'the request body ended early: {error}'
                ) from error
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
                raise self._failure(
                    'backend closed the connection before answering'
                )
            run_s = time.monotonic() - self._started_at
            headers = list(head.headers)
            self._check_request_id(headers)
            body, complete = await self._read_body_start(connection)
        except (OSError, http.ProtocolError, http.ClosedError) as error:
            raise self._failure(f'no complete answer: {error}') from error
        if complete and _reports_not_run(head.status_code, headers):
            raise AttemptError(
                'the backend did not run the request', Execution.NOT_RUN
            )
        return Answer(head.status_code, headers, body, complete, run_s)

    def _check_request_id(self, headers: http.Headers) -> None:
        echoed_id = http.header(headers, b'banyan-request-id')
        if echoed_id is not None and echoed_id.decode('latin-1') != (
            self._request.request_id
        ):
            raise self._failure('the answer belongs to another request')

    async def _read_body_start(
        self, connection: http.Connection
    ) -> tuple[bytes, bool]:
        body = b''
        while len(body) <= MAX_BUFFERED_ANSWER_BYTES:
            event = await connection.receive()
            if isinstance(event, h11.Data):
                body = body + event.data if body else bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return body, True
            else:
                raise self._failure('the answer ended early')
        return body, False


def _has_content_length(headers: http.Headers) -> bool:
    return http.header(headers, b'content-length') is not None


def _reports_not_run(status: int, headers: http.Headers) -> bool:
    return (
        status == 503 and http.header(headers, b'banyan-outcome') == b'not-run'
    )
