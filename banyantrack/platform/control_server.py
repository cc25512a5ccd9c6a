"""HTTP interface of control for the platform's executors and operator."""

from __future__ import annotations

import logging
import typing
import urllib.parse

from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.core import untrusted
from banyantrack.platform import config as config_module
from banyantrack.platform import reports
from banyantrack.platform import wire
from banyantrack.replication import errors as replication_errors
from banyantrack.transport import addresses
from banyantrack.transport import budget
from banyantrack.transport import http
from banyantrack.transport import http_server
from banyantrack.workload import evacuations

if typing.TYPE_CHECKING:
    from banyantrack.daemons import work_api

CONFIG_PATH = '/v1/config'
WORKER_PREFIX = '/v1/instances/'
WAVE_START_PATH = '/v1/wave-start'
WAVE_PREFIX = '/v1/wave-get/'
EVACUATION_PREFIX = '/v1/evacuations/'
# Requester of evacuations that come in the platform's form, which names none.
PLATFORM_REQUESTER = 'platform'
BODY_LIMIT_BYTES = 8 * 1024 * 1024
_LOG = logging.getLogger(__name__)


class ControlServer:
    """Serves executors and the operator at one control member.

    Args:
        address: `IP:PORT` to listen on.
        api: Executes the requests.
        limits: Limits of the process.
    """

    def __init__(
        self,
        address: str,
        api: work_api.WorkApi,
        limits: budget.Limits | None = None,
    ) -> None:
        self._address = address
        self._api = api
        limits = limits or budget.Limits()
        self._server = http_server.HttpServer(
            address,
            self._serve,
            limit=limits.connections.clients,
            limits=limits,
        )

    @property
    def active(self) -> int:
        """Number of connections with a request in progress."""
        return self._server.active

    async def start(self) -> None:
        """Starts accepting connections."""
        await self._server.start()

    async def stop_accepting(self) -> None:
        """Stops accepting connections; requests in progress continue."""
        await self._server.stop_accepting()

    async def close(self) -> None:
        """Stops accepting and closes all connections."""
        await self._server.close()

    async def _serve(self, request: http_server.Request) -> None:
        path = request.path
        try:
            await self._route(request, path)
        except http.BodyTooLargeError as error:
            await _respond_error(request, 413, str(error))
        except replication_errors.NotLeaderError as error:
            await self._redirect(request, error)
        except replication_errors.ReplicationError as error:
            await _respond_error(request, 503, str(error))

    async def _route(self, request: http_server.Request, path: str) -> None:
        call = (request.method, path)
        if call == ('PUT', CONFIG_PATH):
            await self._put_config(request)
        elif call == ('GET', CONFIG_PATH):
            await self._get_config(request)
        elif path.startswith(WORKER_PREFIX):
            await self._serve_worker(request, path.removeprefix(WORKER_PREFIX))
        elif call == ('POST', WAVE_START_PATH):
            await self._start_wave(request)
        elif request.method == 'GET' and path.startswith(WAVE_PREFIX):
            await self._get_wave(request, path.removeprefix(WAVE_PREFIX))
        elif path.startswith(EVACUATION_PREFIX):
            await self._serve_evacuation(
                request,
                urllib.parse.unquote(path.removeprefix(EVACUATION_PREFIX)),
            )
        else:
            await _respond_error(
                request, 404, f'no resource for {request.method} {path}'
            )

    async def _put_config(self, request: http_server.Request) -> None:
        body = await request.read_body(BODY_LIMIT_BYTES)
        found = findings.Findings()
        config = config_module.parse_config(body, found)
        if config is not None:
            await self._api.put_config(config, found)
        if found.found:
            await _respond_findings(request, 'config_refused', found)
            return
        await request.respond(200, wire.JSON_TYPE, b'{}')

    async def _get_config(self, request: http_server.Request) -> None:
        config = await self._api.read_config()
        if config is None:
            await _respond_error(
                request, 503, 'no configuration is in force yet'
            )
            return
        await request.respond(200, wire.JSON_TYPE, config.document)

    async def _serve_worker(
        self, request: http_server.Request, worker_id: str
    ) -> None:
        body = await request.read_body(BODY_LIMIT_BYTES)
        if request.method == 'DELETE':
            incarnation = untrusted.parse_decimal(
                request.header(b'born') or ''
            )
            await self._api.leave(worker_id, incarnation or 0)
            await request.respond(200, wire.JSON_TYPE, b'{}')
            return
        if request.method != 'PUT':
            await _respond_error(request, 405, 'valid methods: PUT, DELETE')
            return
        found = findings.Findings()
        report = reports.parse_report(worker_id, body, found)
        if report is not None:
            await self._api.report(report, found)
        if found.found:
            await _respond_findings(request, 'report_refused', found)
            return
        answer = {}
        receiver = self._api.report_receiver(worker_id)
        if receiver:
            answer['heartbeatAddr'] = self._interface_address(receiver)
        await request.respond(200, wire.JSON_TYPE, wire.encode(answer))

    async def _start_wave(self, request: http_server.Request) -> None:
        body = await request.read_body(BODY_LIMIT_BYTES)
        found = findings.Findings()
        wave = config_module.parse_wave(body, found)
        if wave is None:
            await _respond_findings(request, 'wave_refused', found)
            return
        await self._api.start_wave(wave)
        await request.respond(200, wire.JSON_TYPE, b'{}')

    async def _get_wave(
        self, request: http_server.Request, number: str
    ) -> None:
        wave = None
        wave_number = untrusted.parse_decimal(number)
        if wave_number is not None:
            wave = await self._api.read_wave(wave_number)
        if wave is None:
            await _respond_error(request, 404, 'no such wave')
            return
        body = wire.encode(config_module.wave_body(wave))
        await request.respond(200, wire.JSON_TYPE, body)

    async def _serve_evacuation(
        self, request: http_server.Request, zone: str
    ) -> None:
        body = await request.read_body(BODY_LIMIT_BYTES)
        if request.method not in ('POST', 'DELETE'):
            await _respond_error(request, 405, 'valid methods: POST, DELETE')
            return
        found = findings.Findings()
        if body:
            found.add('body', f'got {len(body)} bytes; valid is none')
        elif request.method == 'DELETE':
            await self._api.evacuations.end(zone, PLATFORM_REQUESTER)
        else:
            verdict = await self._api.evacuations.begin(
                zone, PLATFORM_REQUESTER, found
            )
            if verdict is evacuations.Verdict.FULL:
                await _respond_error(
                    request,
                    409,
                    f'{evacuations.EVACUATIONS_LIMIT} zones are evacuated;'
                    ' valid are no more',
                )
                return
        if found.found:
            await _respond_findings(request, 'evacuation_refused', found)
            return
        await request.respond(200, wire.JSON_TYPE, b'{}')

    def _interface_address(self, rpc_address: str) -> str:
        """Returns the address of this interface at another member.

        All members serve the interface on the same port.
        """
        host = addresses.parse(rpc_address).host
        return f'{host}:{addresses.parse(self._address).port}'

    async def _redirect(
        self,
        request: http_server.Request,
        error: replication_errors.NotLeaderError,
    ) -> None:
        if not error.leader_address:
            await _respond_error(request, 503, 'no leader is known')
            return
        address = self._interface_address(error.leader_address)
        if address == self._address:
            await _respond_error(request, 503, 'no leader is known')
            return
        location = f'http://{address}{request.target}'
        await request.respond(
            307,
            [*wire.JSON_TYPE, (b'location', location.encode('latin-1'))],
            b'{}',
        )


async def _respond_error(
    request: http_server.Request, status: int, message: str
) -> None:
    headers = list(wire.JSON_TYPE)
    if status == 503:
        headers.append((b'retry-after', b'1'))
    body = wire.encode({'error': message})
    await request.respond(status, headers, body)


async def _respond_findings(
    request: http_server.Request, event: str, found: findings.Findings
) -> None:
    text = '; '.join(str(finding) for finding in found.found)
    logs.event(
        _LOG,
        event,
        level=logging.WARNING,
        target=request.target,
        reason=text,
    )
    await _respond_error(request, 400, text)
