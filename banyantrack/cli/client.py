"""The operators' HTTP interface as the command line uses it."""

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
RESEND_PAUSE_S = 0.3
READ_METHODS = frozenset(('GET',))


class UnknownError(errors.BanyanError):
    """Nobody answered whether a change was applied."""


class UnavailableError(errors.BanyanError):
    """No server took the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer.

    Attributes:
        status: Status code.
        document: Its JSON.
        etag: Revision in its `ETag`, or empty.
    """

    status: int
    document: typing.Any
    etag: str


class OperatorClient:
    """Talks to any of several servers, and resends until it is answered.

    A change carries an idempotency key, so that resends are applied once.

    Args:
        servers: HTTP addresses of entries or control members.
        token: Operator's token; empty for none.
        timeout_s: Seconds until a request is given up.
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
        """Makes a request and returns the answer.

        Raises:
            UnavailableError: If no server took it.
            UnknownError: If a change may be applied or not.
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
        unknown = False
        last = 'no server was asked'
        position = 0
        while time.monotonic() < deadline:
            server = self._servers[position % len(self._servers)]
            position += 1
            try:
                answer = await self._ask(server, method, target, body, headers)
            except http_client.HttpError as error:
                unknown |= error.sent
                last = str(error)
            else:
                if answer.status not in (502, 503, 504):
                    return _reply(answer)
                unknown |= answer.header('banyan-outcome') == 'unknown'
                last = _detail(answer)
            await curio.sleep(RESEND_PAUSE_S)
        if unknown and method not in READ_METHODS:
            raise UnknownError(f'it may be applied or not: {last}')
        raise UnavailableError(last)

    async def _ask(
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
