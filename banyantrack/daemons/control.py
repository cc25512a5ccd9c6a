"""The control daemon: replicates intent, places gangs and records claims."""

from __future__ import annotations

import logging
import pathlib
import typing
import urllib.parse

import curio

from banyantrack.core import auth
from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.core import metrics as metrics_module
from banyantrack.core import settings as settings_module
from banyantrack.daemons import control_platform
from banyantrack.daemons import evacuation_orders
from banyantrack.daemons import leadership
from banyantrack.daemons import operator_api
from banyantrack.daemons import rollout as rollout_module
from banyantrack.daemons import worker_api
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.intent import ttypes as intent
from banyantrack.generated.replication import ttypes as replication
from banyantrack.intent import state as state_module
from banyantrack.membership import locator as locator_module
from banyantrack.replication import api as replication_api
from banyantrack.replication import errors as replication_errors
from banyantrack.replication import replica as replica_module
from banyantrack.replication import rpc_handlers
from banyantrack.replication import storage as storage_module
from banyantrack.transport import addresses
from banyantrack.transport import budget
from banyantrack.transport import http
from banyantrack.transport import http_server
from banyantrack.transport import problems
from banyantrack.transport import rpc

# Registers the routes of evacuations.
from banyantrack.daemons import evacuation_routes  # noqa: F401  isort: skip

if typing.TYPE_CHECKING:
    from banyantrack.generated.settings import ttypes as settings_types
    from banyantrack.generated.workload import ttypes as workload

HAND_OVER_TIMEOUT_S = 2.0
STOP_GRACE_S = 1.0
_WORKER_PREFIX = '/v1/workers/'
_WORKER_SUFFIX = '/report'
_LOG = logging.getLogger(__name__)


def replication_options(
    settings: settings_types.ControlSettings,
) -> replication_api.Options:
    """Returns the replication options of a control member's settings."""
    options = settings.replication
    return replication_api.Options(
        election_timeout_s=options.election_timeout_ms / 1000,
        heartbeat_s=options.heartbeat_ms / 1000,
        snapshot_entries=options.snapshot_entries,
        snapshot_chunk_bytes=options.snapshot_chunk_bytes,
        append_bytes=options.append_bytes,
        group_commit=options.group_commit,
        auto_admit=frozenset(m.name for m in settings.members),
        target_voters=(
            2 * settings.platform.tolerated_losses + 1
            if settings.platform is not None
            else 0
        ),
    )


class ControlDaemon:
    """One member of the control group.

    Args:
        settings: Checked settings.
        path: The settings file, read again for changed seeds; None if there
            is none.

    Raises:
        StorageError: If the data folder cannot be used.
        OSError: If an address cannot be bound.
    """

    def __init__(
        self,
        settings: settings_types.ControlSettings,
        *,
        path: pathlib.Path | None = None,
    ) -> None:
        self._settings = settings
        self._metrics = metrics_module.Metrics()
        self._limits = budget.make_limits(settings.limits, self._metrics)
        self._auth = auth.Authenticator(settings.tokens)
        self._state = state_module.IntentState()
        self._storage = storage_module.Storage(
            pathlib.Path(settings.data_folder), settings.name
        )
        self._pool = rpc.RpcPool()
        self._locator = self._make_locator(path)
        self._replica = replica_module.Replica(
            replication.Member(
                member_id='',
                name=settings.name,
                address=settings.rpc_address,
                service_address=settings.http_address,
            ),
            self._storage,
            self._state,
            self._pool,
            options=replication_options(settings),
            contacts=self._locator,
        )
        self._placement = leadership.PlacementLeadership(
            self._replica, self._state, settings.placement, self._metrics
        )
        self._rollout = rollout_module.Rollout(self._replica, self._state)
        self._workers = worker_api.WorkerApi(self._replica, self._placement)
        platform = settings.platform
        self._operators = operator_api.OperatorApi(
            self._replica,
            self._state,
            self._placement,
            self._rollout,
            evacuation_orders.EvacuationOrders(
                self._replica,
                self._state.work,
                self._propose_work,
                zones=platform.zones if platform is not None else (),
                other_zones=self._worker_zones,
            ),
            self._auth.name,
        )
        self._platform: control_platform.ControlPlatform | None = None
        if settings.platform is not None:
            self._platform = control_platform.ControlPlatform(
                settings,
                self._replica,
                self._state.work,
                self._placement.propose,
                self._pool,
                self._metrics,
                self._limits,
            )
            self._operators.dry_run = self._platform.dry_run
        self._add_gauges()

    def _make_locator(
        self, path: pathlib.Path | None
    ) -> locator_module.Locator:
        settings = self._settings
        seeds = [member.address for member in settings.members]
        port = addresses.parse(settings.rpc_address).port
        if settings.platform is not None:
            seeds += locator_module.rpc_addresses(
                settings.platform.seeds, port
            )
        on_platform = settings.platform is not None
        return locator_module.Locator(
            seeds,
            self._pool,
            reload=locator_module.seed_reader(
                path if on_platform else None,
                settings_module.load_control,
                port,
                seeds,
            ),
            sender=settings.name,
        )

    @property
    def replica(self) -> replica_module.Replica:
        """The member of the replication group."""
        return self._replica

    async def run(self, stop: curio.Event) -> None:
        """Serves until `stop` is set.

        Args:
            stop: Set when the daemon should stop.

        Raises:
            BanyanError: If a background task failed.
        """
        limits = self._limits
        rpc_server = rpc.RpcServer(self._settings.rpc_address, limits=limits)
        rpc_handlers.register(rpc_server, self._replica)
        rpc_server.handle(
            cluster.WatchRequest, self._rollout.watch, concurrent=True
        )
        rpc_server.handle(
            cluster.CommandRequest, self._command, concurrent=True
        )
        rpc_server.handle(
            cluster.OperatorRequest, self._operator, concurrent=True
        )
        server = http_server.HttpServer(
            self._settings.http_address,
            self._serve,
            # Workers report here unless they use the platform's interface.
            limit=limits.connections.clients
            if self._platform is None
            else limits.connections.operators,
            limits=limits,
        )
        if self._platform is not None:
            self._platform.register(rpc_server)
        await rpc_server.start()
        await server.start()
        logs.event(
            _LOG,
            'started',
            name=self._settings.name,
            member=self._replica.member.member_id,
            rpc_address=self._settings.rpc_address,
            http_address=self._settings.http_address,
        )
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                replica_task = await tasks.spawn(self._replica.run)
                placement_task = await tasks.spawn(self._placement.run)
                background = [replica_task, placement_task]
                if self._platform is not None:
                    background.append(await tasks.spawn(self._platform.run))
                    background.append(await tasks.spawn(self._locator.run))
                await tasks.spawn(self._wait_stop, stop, server)
            for task in background:
                if isinstance(task.exception, Exception):
                    raise task.exception
        finally:
            # After a failure as well: a connection that is accepted while the
            # event loop ends its tasks would fail its shutdown.
            await server.close()
            if self._platform is not None:
                await self._platform.close()
            await rpc_server.close()
            await self._pool.close()
            self._storage.close()
        logs.event(_LOG, 'stopped', name=self._settings.name)

    async def _wait_stop(
        self, stop: curio.Event, server: http_server.HttpServer
    ) -> None:
        await stop.wait()
        logs.event(_LOG, 'stopping', name=self._settings.name)
        handed_over = await self._replica.hand_over(
            timeout_s=HAND_OVER_TIMEOUT_S
        )
        logs.event(_LOG, 'leadership_handed_over', done=handed_over)
        await server.stop_accepting()
        if self._platform is not None:
            await self._platform.stop()
        async with curio.ignore_after(STOP_GRACE_S):
            while server.active:
                await curio.sleep(0.02)

    def _add_gauges(self) -> None:
        replica = self._replica
        self._metrics.gauge('banyan_term', lambda: replica.term)
        self._metrics.gauge(
            'banyan_commit_index', lambda: replica.commit_index
        )
        self._metrics.gauge('banyan_leads', lambda: float(replica.is_leader))
        self._metrics.gauge('banyan_revision', lambda: self._state.revision)
        self._metrics.gauge('banyan_jobs', lambda: len(self._state.jobs))
        self._metrics.gauge('banyan_claims', lambda: len(self._state.claims))
        self._metrics.gauge(
            'banyan_evacuations',
            lambda: len(self._state.work.evacuations.in_force),
        )

    async def _propose_work(self, command: workload.WorkCommand) -> typing.Any:
        return await self._placement.propose(
            intent.Command(now_ms=leadership.now_ms(), work=command)
        )

    def _worker_zones(self) -> set[str]:
        """Returns the zones of workers that report to this API."""
        return {
            stored.worker.zone
            for stored in self._state.of_kind(intent.ObjectKind.WORKER)
        }

    # RPC from entries.

    async def _command(
        self, request: cluster.CommandRequest
    ) -> cluster.CommandReply:
        command = request.command
        command.now_ms = leadership.now_ms()
        if command.apply or command.place or command.job_events:
            raise rpc.CallError(
                cluster.ErrorCode.BAD_MESSAGE,
                'entries may only send commands about claims',
            )
        try:
            result = await self._placement.propose(command)
        except replication_errors.ReplicationError as error:
            raise _call_error(error) from error
        return cluster.CommandReply(index=0, claim=result)

    async def _operator(
        self, request: cluster.OperatorRequest
    ) -> cluster.OperatorReply:
        refusal = self._check_role(request)
        if refusal is not None:
            return refusal
        try:
            return await self._operators.answer(request)
        except replication_errors.ReplicationError as error:
            raise _call_error(error) from error

    def _check_role(
        self, request: cluster.OperatorRequest
    ) -> cluster.OperatorReply | None:
        return check_role(self._auth, request)

    # HTTP from workers and operators.

    async def _serve(self, request: http_server.Request) -> None:
        path = request.path
        try:
            if path == '/metrics' and request.method == 'GET':
                await self._serve_metrics(request)
            elif path.startswith(_WORKER_PREFIX) and path.endswith(
                _WORKER_SUFFIX
            ):
                await self._serve_report(request, path)
            else:
                await self._serve_operator(request)
        except replication_errors.NotLeaderError as error:
            await _redirect(request, error)
        except replication_errors.ReplicationError as error:
            await send_reply(request, problems.reply(503, str(error)))
        except http.BodyTooLargeError as error:
            await send_reply(request, problems.reply(413, str(error)))

    async def _serve_metrics(self, request: http_server.Request) -> None:
        body = self._metrics.render().encode()
        await request.respond(200, [(b'content-type', b'text/plain')], body)

    async def _serve_report(
        self, request: http_server.Request, path: str
    ) -> None:
        name = path.removeprefix(_WORKER_PREFIX).removesuffix(_WORKER_SUFFIX)
        body = await request.read_body(worker_api.REPORT_LIMIT_BYTES)
        if request.method != 'POST':
            await send_reply(request, problems.reply(405, 'valid is POST'))
            return
        try:
            report = worker_api.parse_report(body)
        except findings.FindingsError as error:
            reply = problems.reply(422, 'report', found=error.findings)
            await send_reply(request, reply)
            return
        answer = await self._workers.report(name, report)
        await request.respond(
            200, [(b'content-type', b'application/json')], answer
        )

    async def _serve_operator(self, request: http_server.Request) -> None:
        request_or_reply = await to_operator_request(request, self._check_role)
        if isinstance(request_or_reply, cluster.OperatorReply):
            await send_reply(request, request_or_reply)
            return
        await send_reply(
            request, await self._operators.answer(request_or_reply)
        )


def check_role(
    authenticator: auth.Authenticator, request: cluster.OperatorRequest
) -> cluster.OperatorReply | None:
    """Returns a refusal if the token does not allow a request, or None."""
    path = urllib.parse.urlsplit(request.target).path
    authorization = request.headers.get('authorization', '')
    if authenticator.allows(authorization, request.method, path):
        return None
    return problems.reply(
        401,
        'no token in the request allows it',
        headers={'www-authenticate': 'Bearer'},
    )


async def to_operator_request(
    request: http_server.Request,
    check: typing.Callable[
        [cluster.OperatorRequest], cluster.OperatorReply | None
    ],
) -> cluster.OperatorRequest | cluster.OperatorReply:
    """Checks the token of an operator's request, then reads its body.

    Args:
        request: The HTTP request.
        check: Returns a refusal, or None, for a request without its body.

    Returns:
        The request, or the refusal.

    Raises:
        BodyTooLargeError: If its body is too large.
    """
    headers = {
        key.decode('latin-1'): value.decode('latin-1')
        for key, value in request.headers
    }
    operator_request = cluster.OperatorRequest(
        method=request.method,
        target=request.target,
        headers=headers,
        body=b'',
    )
    refusal = check(operator_request)
    if refusal is not None:
        return refusal
    operator_request.body = await request.read_body(
        operator_api.BODY_LIMIT_BYTES
    )
    return operator_request


def _call_error(
    error: replication_errors.ReplicationError,
) -> rpc.CallError:
    match error:
        case replication_errors.NotLeaderError():
            return rpc.CallError(
                cluster.ErrorCode.NOT_LEADER,
                str(error),
                leader_address=error.leader_address,
            )
        case replication_errors.UnknownOutcomeError():
            return rpc.CallError(cluster.ErrorCode.UNKNOWN_OUTCOME, str(error))
    return rpc.CallError(cluster.ErrorCode.NOT_APPLIED, str(error))


async def _redirect(
    request: http_server.Request, error: replication_errors.NotLeaderError
) -> None:
    address = error.leader_service_address
    if not address:
        reply = problems.reply(
            503, 'no leader is known', headers={'retry-after': '1'}
        )
        await send_reply(request, reply)
        return
    reply = problems.reply(
        307,
        f'the leader is at {address}',
        headers={'location': f'http://{address}{request.target}'},
    )
    await send_reply(request, reply)


async def send_reply(
    request: http_server.Request, reply: cluster.OperatorReply
) -> None:
    """Sends the answer to an operator's request over HTTP."""
    headers = [
        (key.encode('latin-1'), value.encode('latin-1', 'replace'))
        for key, value in reply.headers.items()
    ]
    await request.respond(reply.status, headers, reply.body)
