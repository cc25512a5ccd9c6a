"""HTTP interface of an entry for the platform's customers and probes."""

from __future__ import annotations

import logging
import typing

from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.core import untrusted
from banyantrack.generated.workload import ttypes
from banyantrack.platform import jobs
from banyantrack.platform import wire
from banyantrack.transport import budget
from banyantrack.transport import http
from banyantrack.transport import http_server

if typing.TYPE_CHECKING:
    from banyantrack.daemons import job_gateway

READINESS_PATH = '/v1/readiness'
BODY_LIMIT_BYTES = 1024 * 1024
# Time limit of calls without the header `Deadline-Ms`.
DEFAULT_DEADLINE_MS = 3000
_LOG = logging.getLogger(__name__)


class EntryServer:
    """Serves customers and readiness probes at one entry.

    Args:
        address: `IP:PORT` for customers.
        readiness_address: `IP:PORT` for readiness probes.
        gateway: Forwards calls to the leader.
        limits: Limits of the process.
    """

    def __init__(
        self,
        address: str,
        readiness_address: str,
        gateway: job_gateway.JobGateway,
        limits: budget.Limits | None = None,
    ) -> None:
        self._gateway = gateway
        limits = limits or budget.Limits()
        self._customer_server = http_server.HttpServer(
            address,
            self._serve,
            limit=limits.connections.clients,
            limits=limits,
        )
        self._probe_server = http_server.HttpServer(
            readiness_address,
            self._serve_probe,
            limit=limits.connections.probes,
            limits=limits,
        )

    @property
    def active(self) -> int:
        """Number of connections with a call in progress."""
        return self._customer_server.active

    async def start(self) -> None:
        """Starts accepting connections."""
        await self._customer_server.start()
        await self._probe_server.start()

    def start_closing(self) -> None:
        """Makes each customer connection close after its next response."""
        self._customer_server.start_closing()

    async def stop_accepting(self) -> None:
        """Stops accepting customer connections; calls in progress continue.

        Readiness probes are still answered.
        """
        await self._customer_server.stop_accepting()

    async def close(self) -> None:
        """Stops accepting and closes all connections."""
        await self._customer_server.close()
        await self._probe_server.close()

    async def _serve_probe(self, request: http_server.Request) -> None:
        path = request.path
        if path != READINESS_PATH:
            await _respond(request, 404, {'error': f'no resource for {path}'})
            return
        status = 200 if self._gateway.serving else 503
        await request.respond(status, wire.JSON_TYPE, b'{}')

    async def _serve(self, request: http_server.Request) -> None:
        try:
            await self._serve_call(request)
        except http.BodyTooLargeError as error:
            await _respond(request, 413, {'error': str(error)})

    async def _serve_call(self, request: http_server.Request) -> None:
        path = request.path
        body = await request.read_body(BODY_LIMIT_BYTES)
        job_operation = jobs.parse_operation(request.method, path)
        if job_operation is None:
            await _respond(
                request, 405, {'error': 'valid methods: GET, POST, DELETE'}
            )
            return
        call = ttypes.JobCall(
            operation=job_operation,
            request_id='',
            host=request.header(b'host') or '',
            path=path,
            key=jobs.parse_key(request.header(b'authorization')),
        )
        found = findings.Findings()
        if job_operation == ttypes.JobOperation.SUBMIT:
            call.job = jobs.parse_job(path, body, found)
        deadline_ms = _deadline_ms(request)
        if found.found:
            # The leader only checks the queue and the key of an invalid job:
            # 404 and 401 take precedence over 400.
            call.operation = ttypes.JobOperation.COUNT
        outcome = await self._gateway.call(call, deadline_ms / 1000)
        if outcome.answer is None:
            await _respond(
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
            await _respond(request, 400, {'error': text})
            return
        await _respond(
            request,
            jobs.STATUS_BY_VERDICT[answer.verdict],
            jobs.answer_body(job_operation, answer),
            retry_after_s=answer.retry_after_s,
        )


def _deadline_ms(request: http_server.Request) -> int:
    # The header holds the remaining time of the caller, not a time of day.
    text = request.header(b'deadline-ms') or ''
    deadline_ms = untrusted.parse_decimal(text)
    return DEFAULT_DEADLINE_MS if deadline_ms is None else deadline_ms


async def _respond(
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
