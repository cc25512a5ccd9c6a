"""HTTP client that reads complete responses.

Used for requests to control and by tools. The dispatcher uses
`http.Connection` directly, since whether it may retry a failed request depends
on how much of the request was sent.
"""

from __future__ import annotations

import dataclasses
import enum
import errno
import typing

import curio
import h11

from banyantrack.core import errors
from banyantrack.transport import http
from banyantrack.transport import rpc

RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024


class NoResponse(enum.Enum):
    """Why no complete response was received."""

    TIMEOUT = 'timeout'
    # Nothing listens at the port, which its host says.
    REFUSED = 'refused'
    # The peer closed or reset the connection.
    CLOSED = 'closed'
    INVALID = 'invalid'


class HttpError(errors.BanyanError):
    """No complete response was received.

    Attributes:
        sent: Whether the peer may have received any byte of the request.
        cause: Why there is no response.
    """

    def __init__(
        self,
        message: str,
        *,
        sent: bool,
        cause: NoResponse = NoResponse.INVALID,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.cause = cause


@dataclasses.dataclass(slots=True)
class Answer:
    """A complete response.

    Attributes:
        status: Status code.
        headers: Headers; names are in lower case.
        body: Whole body.
    """

    status: int
    headers: http.Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, given its lower-case name."""
        value = http.header(self.headers, name.encode())
        return None if value is None else value.decode('latin-1')


class HttpClient:
    """Sends requests to one address over one persistent connection.

    Args:
        address: `IP:PORT`.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection: http.Connection | None = None
        self._in_use = False

    @property
    def in_use(self) -> bool:
        """Whether a request is in progress."""
        return self._in_use

    @property
    def is_open(self) -> bool:
        """Whether a connection is open that the peer has not closed."""
        return (
            self._connection is not None
            and self._connection.has_no_pending_input()
        )

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: typing.Sequence[tuple[str, str]] = (),
        body: bytes = b'',
        timeout_s: float = 10.0,
        host: str = '',
        only_if_open: bool = False,
    ) -> Answer:
        """Sends one request and reads the complete response.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Headers besides `Host` and `Content-Length`.
            body: Request body.
            timeout_s: Seconds until the request is aborted.
            host: Value of the `Host` header; empty sends the address.
            only_if_open: Whether the request fails, with nothing sent, unless
                a connection is open. Another process may listen at the
                address when the next one is opened.

        Raises:
            HttpError: If no complete response was received in time.
        """
        sent = False
        self._in_use = True
        try:
            async with curio.timeout_after(timeout_s):
                connection = await self._connect(timeout_s, only_if_open)
                sent = True
                headers = [('host', host or self._address), *headers]
                await self._send(connection, method, target, headers, body)
                answer = await self._receive(connection)
        except curio.TaskTimeout:
            await self.close()
            raise HttpError(
                f'{self._address}: no response within {timeout_s:.3f} s',
                sent=sent,
                cause=NoResponse.TIMEOUT,
            ) from None
        except (
            OSError,
            h11.LocalProtocolError,
            http.ProtocolError,
            http.ClosedError,
            http.BodyTooLargeError,
        ) as error:
            await self.close()
            raise HttpError(
                f'{self._address}: {error}', sent=sent, cause=_cause_of(error)
            ) from error
        except BaseException:
            await self.close()
            raise
        finally:
            self._in_use = False
        await self._reuse_or_close(connection)
        return answer

    async def close(self) -> None:
        """Closes the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()

    async def _connect(
        self, timeout_s: float, only_if_open: bool
    ) -> http.Connection:
        if self.is_open:
            return self._connection
        await self.close()
        if only_if_open:
            raise http.ClosedError('the peer has closed the connection')
        sock = await rpc.connect(self._address, timeout_s=timeout_s)
        self._connection = http.Connection(sock, h11.CLIENT)
        return self._connection

    async def _send(
        self,
        connection: http.Connection,
        method: str,
        target: str,
        headers: typing.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        events = [
            h11.Request(
                method=method,
                target=target,
                headers=[
                    ('content-length', str(len(body))),
                    *headers,
                ],
            )
        ]
        if body:
            events.append(h11.Data(data=body))
        await connection.send_all(*events, h11.EndOfMessage())

    async def _receive(self, connection: http.Connection) -> Answer:
        head = await connection.receive()
        while isinstance(head, h11.InformationalResponse):
            head = await connection.receive()
        if not isinstance(head, h11.Response):
            raise http.ClosedError('connection closed before a response')
        body = await http.read_body(connection.receive, RESPONSE_LIMIT_BYTES)
        return Answer(head.status_code, head.headers, body)

    async def _reuse_or_close(self, connection: http.Connection) -> None:
        state = connection.state
        if state.our_state is h11.DONE and state.their_state is h11.DONE:
            state.start_next_cycle()
        else:
            await self.close()


# Errors of a connection that its peer has ended.
_CLOSED_ERRNOS = frozenset((errno.ECONNRESET, errno.ECONNABORTED, errno.EPIPE))


def _cause_of(error: Exception) -> NoResponse:
    """Returns why a request failed, from the error that ended it."""
    if isinstance(error, OSError):
        if error.errno == errno.ECONNREFUSED:
            return NoResponse.REFUSED
        if error.errno in _CLOSED_ERRNOS:
            return NoResponse.CLOSED
        # Unreachable hosts say nothing about the peer's process either.
        return NoResponse.TIMEOUT
    if isinstance(error, http.ClosedError):
        return NoResponse.CLOSED
    return NoResponse.INVALID
