"""The entry daemon on the platform: accepts calls about task jobs."""

from __future__ import annotations

import logging
import pathlib
import typing

import curio

from banyantrack.core import logs
from banyantrack.core import metrics as metrics_module
from banyantrack.core import settings as settings_module
from banyantrack.daemons import job_gateway
from banyantrack.membership import locator as locator_module
from banyantrack.platform import entry_server
from banyantrack.transport import budget
from banyantrack.transport import http_server
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.generated.settings import ttypes as settings_types

# A stopping entry accepts calls for this long: the platform takes an entry
# out of rotation after two failed readiness probes, a second apart.
DRAIN_DELAY_S = 2.5
STOP_CHECK_S = 0.02
_LOG = logging.getLogger(__name__)


class PlatformEntryDaemon:
    """An entry that serves the platform's interface for jobs.

    Args:
        settings: Checked settings with a `platform` part.
        path: The settings file, read again for changed seeds; None if there
            is none.

    Raises:
        OSError: If an address cannot be bound.
    """

    def __init__(
        self,
        settings: settings_types.EntrySettings,
        *,
        path: pathlib.Path | None = None,
    ) -> None:
        self._settings = settings
        options = settings.platform
        self._metrics = metrics_module.Metrics()
        limits = budget.make_limits(settings.limits, self._metrics)
        self._pool = rpc.RpcPool()
        seeds = locator_module.rpc_addresses(
            options.seeds, options.control_rpc_port
        )
        seeds += settings.control
        self._locator = locator_module.Locator(
            seeds,
            self._pool,
            reload=locator_module.seed_reader(
                path,
                settings_module.load_entry,
                options.control_rpc_port,
                seeds,
            ),
            sender=settings.name,
        )
        self._gateway = job_gateway.JobGateway(
            self._locator, self._pool, self._metrics, name=settings.name
        )
        self._server = entry_server.EntryServer(
            options.address,
            options.readiness_address,
            self._gateway,
            limits,
        )
        # The platform assigns other ports each day, so metrics are served at
        # the fixed address in the settings.
        self._metrics_server = http_server.HttpServer(
            settings.http_address,
            self._serve_metrics,
            limit=limits.connections.operators,
            limits=limits,
        )

    async def _serve_metrics(self, request: http_server.Request) -> None:
        if request.target != '/metrics':
            await request.respond(404, [], b'')
            return
        body = self._metrics.render().encode()
        await request.respond(200, [(b'content-type', b'text/plain')], body)

    async def run(self, stop: curio.Event) -> None:
        """Serves until `stop` is set."""
        await self._server.start()
        await self._metrics_server.start()
        logs.event(
            _LOG,
            'started',
            name=self._settings.name,
            address=self._settings.platform.address,
        )
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                background = [
                    await tasks.spawn(work)
                    for work in (self._locator.run, self._gateway.run)
                ]
                await tasks.spawn(self._wait_stop, stop)
            for task in background:
                if isinstance(task.exception, Exception):
                    raise task.exception
        finally:
            # After a failure as well: a connection that is accepted while the
            # event loop ends its tasks would fail its shutdown.
            await self._server.close()
            await self._metrics_server.close()
            await self._pool.close()
        logs.event(_LOG, 'stopped', name=self._settings.name)

    async def _wait_stop(self, stop: curio.Event) -> None:
        await stop.wait()
        logs.event(_LOG, 'stopping', name=self._settings.name)
        self._gateway.stop()
        await curio.sleep(DRAIN_DELAY_S)
        self._server.start_closing()
        await self._server.stop_accepting()
        grace_s = self._settings.platform.stop_grace_ms / 1000 - DRAIN_DELAY_S
        async with curio.ignore_after(max(grace_s, 0)):
            while self._server.active:
                await curio.sleep(STOP_CHECK_S)
        if self._server.active:
            logs.event(
                _LOG,
                'stop_cut',
                level=logging.WARNING,
                requests=self._server.active,
            )
