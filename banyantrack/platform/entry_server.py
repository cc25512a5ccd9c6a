"""The platform's interface of an entry: customers and readiness probes."""

from __future__ import annotations

import logging
import typing
import urllib.parse

from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.generated.workload import ttypes
from banyantrack.platform import jobs
from banyantrack.platform import wire
from banyantrack.transport import http
from banyantrack.transport import http_server

if typing.TYPE_CHECKING:
    from banyantrack.daemons import job_gateway

READINESS_PATH = '/v1/readiness'
BODY_LIMIT_BYTES = 1024 * 1024
# Deadline of callers that state none.
DEFAULT_DEADLINE_MS = 3000
_LOG = logging.getLogger(__name__)


class EntryServer:
    """Serves customers and probes at one entry.

    Args:
        address: `IP:PORT` for customers.
        readiness_address: `IP:PORT` for probes.
        gateway: Answers calls.
    """

    def __init__(
        self,
        address: str,
        readiness_address: str,
        gateway: job_gateway.JobGateway,
    ) -> None:
        self._gateway = gateway
        self._callers = http_server.HttpServer(address, self._serve)
        self._probes = http_server.HttpServer(
            readiness_address, self._serve_probe
        )

    @property
    def active(self) -> int:
        """Calls in progress."""
        return self._callers.active

    async def start(self) -> None:
        """Starts to accept connections."""
        await self._callers.start()
        await self._probes.start()

    def start_closing(self) -> None:
        """Closes each caller's connection after its next answer."""
        self._callers.start_closing()

    async def stop_accepting(self) -> None:
        """Accepts no more callers; calls in progress go on."""
        await self._callers.stop_accepting()

    async def close(self) -> None:
        """Ends all connections."""
        await self._callers.close()
        await self._probes.close()

    async def _serve_probe(self, request: http_server.Request) -> None:
        path = urllib.parse.urlsplit(request.target).path
        if path != READINESS_PATH:
            await _answer(request, 404, {'error': f'got {path}'})
            return
        status = 200 if self._gateway.serving else 503
        await request.respond(status, wire.JSON_TYPE, b'{}')

    async def _serve(self, request: http_server.Request) -> None:
        try:
            await self._serve_call(request)
        except http.BodyTooLargeError as error:
            await _answer(request, 413, {'error': str(error)})

    async def _serve_call(self, request: http_server.Request) -> None:
        path = urllib.parse.urlsplit(request.target).path
        body = await request.read_body(BODY_LIMIT_BYTES)
        asked = jobs.operation(request.method, path)
        if asked is None:
            await _answer(request, 405, {'error': 'valid: GET, POST, DELETE'})
            return
        call = ttypes.JobCall(
            operation=asked,
            request_id='',
            host=request.header(b'host') or '',
            path=path,
            key=jobs.key_of(request.header(b'authorization')),
        )
        found = findings.Findings()
        if asked == ttypes.JobOperation.SUBMIT:
            call.job = jobs.parse_job(path, body, found)
        deadline_ms = _deadline_ms(request)
        if found.found:
            # The queue and the key come first: 404 and 401 say more.
            call.operation = ttypes.JobOperation.COUNT
        outcome = await self._gateway.call(call, deadline_ms / 1000)
        if outcome.answer is None:
            await _answer(
                request,
                503 if outcome.not_taken else 504,
                {'error': outcome.detail},
                retry_after_s=1 if outcome.not_taken else 0,
            )
            return
        answer = outcome.answer
        if found.found and answer.verdict == ttypes.JobVerdict.DONE:
            text = '; '.join(str(finding) for finding in found.found)
            logs.event(
                _LOG,
                'job_refused',
                level=logging.WARNING,
                path=path,
                reason=text,
            )
            await _answer(request, 400, {'error': text})
            return
        await _answer(
            request,
            jobs.STATUSES[answer.verdict],
            jobs.answer_body(asked, answer),
            retry_after_s=answer.retry_after_s,
        )


def _deadline_ms(request: http_server.Request) -> int:
    # How long the caller still waits, not a time of day.
    text = request.header(b'deadline-ms') or ''
    return int(text) if text.isdecimal() else DEFAULT_DEADLINE_MS


async def _answer(
    request: http_server.Request,
    status: int,
    values: dict[str, typing.Any],
    *,
    retry_after_s: int = 0,
) -> None:
    headers = list(wire.JSON_TYPE)
    if retry_after_s:
        headers.append((b'retry-after', str(retry_after_s).encode()))
    await request.respond(status, headers, wire.encode(values))
