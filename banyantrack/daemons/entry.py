"""The entry daemon: serves callers, backends and operators over HTTP."""

from __future__ import annotations

import json
import logging
import time
import typing
import urllib.parse

import curio

from banyantrack.core import auth
from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.core import metrics as metrics_module
from banyantrack.core import states
from banyantrack.core import timers as timers_module
from banyantrack.daemons import control as control_module
from banyantrack.daemons import operator_api
from banyantrack.dispatch import claims as claims_module
from banyantrack.dispatch import dispatcher as dispatcher_module
from banyantrack.dispatch import pools
from banyantrack.dispatch import proxy as proxy_module
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.membership import announcements
from banyantrack.membership import backends as backends_module
from banyantrack.membership import config as config_module
from banyantrack.membership import gossip as gossip_module
from banyantrack.transport import budget
from banyantrack.transport import http
from banyantrack.transport import http_server
from banyantrack.transport import problems
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.generated.settings import ttypes as settings_types

ANNOUNCE_PATH = '/v1/backends/announce'
ANNOUNCE_LIMIT_BYTES = 64 * 1024
OPERATOR_TIMEOUT_S = 15.0
# A stopping entry accepts requests for this long, until the platform's
# balancer has noticed that it is not ready.
DRAIN_DELAY_S = 1.0
STOP_CHECK_S = 0.02
_LOG = logging.getLogger(__name__)


class EntryDaemon:
    """An entry, which dispatches callers' requests to backends.

    Args:
        settings: Checked settings.

    Raises:
        OSError: If an address cannot be bound.
    """

    def __init__(self, settings: settings_types.EntrySettings) -> None:
        self._settings = settings
        dispatch = settings.dispatch
        self._metrics = metrics_module.Metrics()
        self._limits = budget.make_limits(settings.limits, self._metrics)
        self._auth = auth.Authenticator(settings.tokens)
        self._timers = timers_module.TimerService()
        self._rpc_pool = rpc.RpcPool()
        self._watch_pool = rpc.RpcPool()
        self._config = config_module.Config()
        self._control = config_module.ControlClient(
            settings.control, self._rpc_pool
        )
        watch_control = config_module.ControlClient(
            settings.control, self._watch_pool
        )
        self._backends = backends_module.BackendTable(
            lapse_s=dispatch.announcement_lapse_ms / 1000
        )
        self._dispatcher = dispatcher_module.Dispatcher(
            dispatch,
            self._backends,
            self._config,
            name=settings.name,
            zone=settings.zone,
        )
        self._gossip = gossip_module.Gossip(
            settings.name,
            settings.rpc_address,
            settings.peers,
            config=self._config,
            backends=self._backends,
            loads=self._dispatcher,
            control=watch_control,
            pool=self._rpc_pool,
            period_s=settings.gossip_ms / 1000,
        )
        self._dispatcher.attach(self._gossip)
        self._config_watcher = config_module.ConfigWatcher(
            self._config,
            watch_control,
            entry=settings.name,
            rpc_address=settings.rpc_address,
            http_address=settings.http_address,
            on_entries=self._add_peers,
        )
        self._pool = pools.ConnectionPool(dispatch)
        self._proxy = proxy_module.Proxy(
            self._dispatcher,
            self._pool,
            claims_module.ClaimClient(
                self._control, answer_limit=dispatch.claim_answer_bytes
            ),
            self._metrics,
            entry=f'{settings.name}-{int(time.time() * 1000):x}',
        )
        self._server: http_server.HttpServer | None = None
        self._stopping = False
        self._add_gauges()

    async def run(self, stop: curio.Event) -> None:
        """Serves until `stop` is set.

        Args:
            stop: Set when the daemon should stop.
        """
        settings = self._settings
        rpc_server = rpc.RpcServer(settings.rpc_address, limits=self._limits)
        rpc_server.handle(cluster.GossipRequest, self._gossip.receive)
        server = http_server.HttpServer(
            settings.http_address,
            self._serve,
            limit=min(
                settings.dispatch.caller_connections,
                self._limits.connections.clients,
            ),
            caller_timeout_s=settings.dispatch.caller_timeout_ms / 1000,
            limits=self._limits,
        )
        self._server = server
        await rpc_server.start()
        await server.start()
        await self._start_timers()
        logs.event(
            _LOG,
            'started',
            name=settings.name,
            http_address=settings.http_address,
            rpc_address=settings.rpc_address,
        )
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                background = [
                    await tasks.spawn(work)
                    for work in (
                        self._config_watcher.run,
                        self._follow_config,
                        self._gossip.run,
                        self._timers.run,
                    )
                ]
                await tasks.spawn(self._wait_stop, stop, server)
            for task in background:
                if isinstance(task.exception, Exception):
                    raise task.exception
        finally:
            # After a failure as well: a connection that is accepted while the
            # event loop ends its tasks would fail its shutdown.
            await server.close()
            await rpc_server.close()
            await self._pool.close()
            await self._rpc_pool.close()
            await self._watch_pool.close()
        logs.event(_LOG, 'stopped', name=settings.name)

    async def _start_timers(self) -> None:
        period_s = self._settings.gossip_ms / 1000
        await self._timers.every(period_s, self._rebalance)
        await self._timers.every(
            proxy_module.CALLER_CHECK_INTERVAL_S, self._proxy.check_callers
        )
        idle_s = self._settings.dispatch.connection_idle_ms / 1000
        await self._timers.every(idle_s / 2, self._pool.close_expired)

    async def _rebalance(self) -> None:
        self._dispatcher.refresh()
        self._dispatcher.update_owned_slots()
        if self._dispatcher.waiting:
            await self._dispatcher.serve_queues()

    async def _follow_config(self) -> None:
        while True:
            await self._config.wait(1.0)
            self._dispatcher.refresh()
            await self._dispatcher.serve_queues()

    async def _wait_stop(
        self, stop: curio.Event, server: http_server.HttpServer
    ) -> None:
        await stop.wait()
        logs.event(_LOG, 'stopping', name=self._settings.name)
        self._stopping = True
        await self._gossip.leave()
        server.start_closing()
        await curio.sleep(DRAIN_DELAY_S)
        await server.stop_accepting()
        grace_s = self._settings.dispatch.stop_grace_ms / 1000
        async with curio.ignore_after(grace_s):
            while server.active:
                await curio.sleep(STOP_CHECK_S)
        if server.active:
            logs.event(
                _LOG,
                'stop_cut',
                level=logging.WARNING,
                requests=server.active,
            )

    def _add_peers(self, addresses: list[str] | None) -> None:
        for address in addresses or ():
            self._gossip.add_peer(address)

    def _add_gauges(self) -> None:
        gauge = self._metrics.gauge
        gauge('banyan_in_flight', lambda: self._dispatcher.in_flight)
        gauge('banyan_owned_slots', lambda: self._dispatcher.owned_slots)
        gauge('banyan_waiting', lambda: self._dispatcher.waiting)
        gauge('banyan_revision', lambda: self._config.revision)
        gauge('banyan_backends', lambda: len(self._backends))
        gauge('banyan_idle_connections', lambda: self._pool.idle)
        gauge('banyan_peers', lambda: len(self._gossip.present_peers))

    # HTTP.

    async def _serve(self, request: http_server.Request) -> None:
        path = request.target.partition('?')[0]
        route = self._dispatcher.routes.find(path)
        if route is not None and not path.startswith('/v1/'):
            await self._serve_caller(request, route)
            return
        try:
            await self._serve_management(request, path)
        except http.BodyTooLargeError as error:
            await control_module.send_reply(
                request, problems.reply(413, str(error))
            )

    async def _serve_caller(
        self,
        request: http_server.Request,
        route: typing.Any,
    ) -> None:
        isolation_s = self._settings.dispatch.isolation_ms / 1000
        if self._gossip.is_isolated(isolation_s):
            reply = problems.reply(
                503,
                'this entry reaches neither control nor most entries, so its'
                ' configuration may be out of date',
                headers={'retry-after': '1'},
                cause=dispatcher_module.Cause.CUT_OFF.value,
            )
            await control_module.send_reply(request, reply)
            return
        await self._proxy.serve(request, route)

    async def _serve_management(
        self, request: http_server.Request, path: str
    ) -> None:
        if path == ANNOUNCE_PATH:
            await self._serve_announcement(request)
        elif path == '/metrics' and request.method == 'GET':
            body = self._metrics.render().encode()
            await request.respond(
                200, [(b'content-type', b'text/plain')], body
            )
        elif path == '/healthz':
            await self._serve_health(request)
        elif operator_api.is_operator_path(urllib.parse.unquote(path)):
            await self._serve_operator(request)
        elif not self._config.loaded:
            reply = problems.reply(
                503,
                'no configuration is in force yet',
                headers={'retry-after': '1'},
                cause=dispatcher_module.Cause.NO_CONFIG.value,
            )
            await control_module.send_reply(request, reply)
        else:
            await control_module.send_reply(
                request, problems.reply(404, f'no route matches {path}')
            )

    async def _serve_health(self, request: http_server.Request) -> None:
        ready = self._config.loaded and not self._stopping
        body = json.dumps(
            {'ready': ready, 'revision': self._config.revision}
        ).encode()
        headers = [(b'content-type', b'application/json')]
        await request.respond(200 if ready else 503, headers, body)

    async def _serve_announcement(self, request: http_server.Request) -> None:
        body = await request.read_body(ANNOUNCE_LIMIT_BYTES)
        if request.method != 'POST':
            reply = problems.reply(405, 'valid is POST')
            await control_module.send_reply(request, reply)
            return
        try:
            announcement = announcements.parse(body)
        except findings.FindingsError as error:
            reply = problems.reply(422, 'announcement', found=error.findings)
            await control_module.send_reply(request, reply)
            return
        known = self._backends.get(announcement.backend_id)
        was_leaving = known is not None and known.leaving
        newer = self._backends.announce(announcement)
        if newer and (
            known is None
            or was_leaving
            != (announcement.state == cluster.BackendState.LEAVING)
        ):
            logs.event(
                _LOG,
                'backend_announced',
                backend=announcement.backend_id,
                incarnation=announcement.incarnation,
                leaving=announcement.state == cluster.BackendState.LEAVING,
            )
            await self._gossip.send_now()
            await self._dispatcher.serve_queues()
        answer = json.dumps({'accepted': newer}).encode()
        await request.respond(
            200, [(b'content-type', b'application/json')], answer
        )

    async def _serve_operator(self, request: http_server.Request) -> None:
        request_or_reply = await control_module.to_operator_request(
            request, self._check_role
        )
        if isinstance(request_or_reply, cluster.OperatorRequest):
            request_or_reply = await self._forward(request_or_reply)
        await control_module.send_reply(request, request_or_reply)

    def _check_role(
        self, request: cluster.OperatorRequest
    ) -> cluster.OperatorReply | None:
        return control_module.check_role(self._auth, request)

    async def _forward(
        self, request: cluster.OperatorRequest
    ) -> cluster.OperatorReply:
        """Forwards an operator's request to the leader."""
        try:
            return await self._control.call(
                request, timeout_s=OPERATOR_TIMEOUT_S
            )
        except rpc.TransportError as error:
            if not error.sent or request.method == 'GET':
                return problems.reply(
                    503,
                    f'control does not answer: {error}',
                    headers={'retry-after': '1'},
                )
            return problems.reply(
                504,
                f'{error}; the request may have been applied; resend it with'
                ' the same Idempotency-Key to get its outcome',
                outcome=states.Outcome.UNKNOWN,
            )
        except rpc.CallError as error:
            return problems.reply(
                503, str(error), headers={'retry-after': '1'}
            )
