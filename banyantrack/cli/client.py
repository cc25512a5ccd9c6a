"""Client of the operators' HTTP API for the command line."""

from __future__ import annotations

import dataclasses
import json
import time
import typing
import uuid

import curio

from banyantrack.core import errors
from banyantrack.transport import http_client

if typing.TYPE_CHECKING:
    import collections.abc

MAX_REDIRECTS = 5
RETRY_DELAY_S = 0.3
READ_METHODS = frozenset(('GET',))


class UnconfirmedChangeError(errors.BanyanError):
    """No server confirmed whether a change was applied."""


class UnavailableError(errors.BanyanError):
    """No server accepted the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply of a server.

    Attributes:
        status: HTTP status code.
        document: Decoded JSON of the body.
        etag: Revision in the `ETag` header, or empty.
    """

    status: int
    document: typing.Any
    etag: str


class OperatorClient:
    """Sends requests to any of several servers and retries until a reply.

    A change has an idempotency key, so that retries are applied only once.

    Args:
        servers: HTTP addresses of entries or control members.
        token: Token of the operator; empty for none.
        timeout_s: Seconds until a request is aborted, including retries.
    """

    def __init__(
        self,
        servers: collections.abc.Sequence[str],
        *,
        token: str = '',
        timeout_s: float = 20.0,
    ) -> None:
        self._servers = list(servers)
        self._token = token
        self._timeout_s = timeout_s

    def request(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b'',
        headers: collections.abc.Sequence[tuple[str, str]] = (),
    ) -> Reply:
        """Makes a request and returns the reply.

        Args:
            method: HTTP method in upper case.
            target: Path with query.
            body: Body of the request.
            headers: Additional headers.

        Raises:
            UnavailableError: If no server accepted it.
            UnconfirmedChangeError: If a change may have been applied.
        """
        sent = list(headers)
        if self._token:
            sent.append(('authorization', f'Bearer {self._token}'))
        if method not in READ_METHODS:
            sent.append(('idempotency-key', uuid.uuid4().hex))
        return curio.run(self._request, method, target, body, sent)

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: list[tuple[str, str]],
    ) -> Reply:
        deadline = time.monotonic() + self._timeout_s
        may_be_applied = False
        last_error = 'no server was asked'
        attempt = 0
        while time.monotonic() < deadline:
            server = self._servers[attempt % len(self._servers)]
            attempt += 1
            try:
                answer = await self._send(
                    server, method, target, body, headers
                )
            except http_client.HttpError as error:
                may_be_applied |= error.sent
                last_error = str(error)
            else:
                if answer.status not in (502, 503, 504):
                    return _reply(answer)
                may_be_applied |= answer.header('banyan-outcome') == 'unknown'
                last_error = _detail(answer)
            await curio.sleep(RETRY_DELAY_S)
        if may_be_applied and method not in READ_METHODS:
            raise UnconfirmedChangeError(
                f'it may be applied or not: {last_error}'
            )
        raise UnavailableError(last_error)

    async def _send(
        self,
        server: str,
        method: str,
        target: str,
        body: bytes,
        headers: list[tuple[str, str]],
    ) -> http_client.Answer:
        for _ in range(MAX_REDIRECTS):
            client = http_client.HttpClient(server)
            try:
                answer = await client.request(
                    method,
                    target,
                    headers=headers,
                    body=body,
                    timeout_s=self._timeout_s,
                )
            finally:
                await client.close()
            if answer.status != 307:
                return answer
            location = answer.header('location') or ''
            server = location.removeprefix('http://').partition('/')[0]
        return answer


def _reply(answer: http_client.Answer) -> Reply:
    try:
        document = json.loads(answer.body)
    except ValueError:
        document = {'detail': answer.body.decode('utf-8', 'replace')}
    etag = (answer.header('etag') or '').strip('"')
    return Reply(answer.status, document, etag)


def _detail(answer: http_client.Answer) -> str:
    document = _reply(answer).document
    if isinstance(document, dict):
        return str(document.get('detail', answer.status))
    return str(answer.status)
