"""Entries that run in the process of a test, with fake backends."""

from __future__ import annotations

import collections.abc
import contextlib
import random
import time
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import documents
from banyantrack.core import metrics
from banyantrack.dispatch import claims as claims_module
from banyantrack.dispatch import dispatcher as dispatcher_module
from banyantrack.dispatch import pools
from banyantrack.dispatch import proxy as proxy_module
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import state as state_module
from banyantrack.membership import backends as backends_module
from banyantrack.membership import config as config_module
from banyantrack.testing import builders
from banyantrack.testing import fake_backend
from banyantrack.testing import load
from banyantrack.testing import system
from banyantrack.transport import http_server
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.dispatch import requests as requests_module

ROUTES = (
    builders.route('quick', prefix='/quick', deadline_ms=2000),
    builders.route('long', prefix='/long', service_class='long'),
)


class FakeControl:
    """Control group that applies commands to its own state.

    Attributes:
        state: The state.
        reachable: Whether calls are answered.
        lose_replies: Number of next replies that are lost after their command
            is applied.
        contact_at: Time of the last contact with control.
    """

    def __init__(self) -> None:
        self.state = state_module.IntentState()
        self.reachable = True
        self.lose_replies = 0
        self.contact_at = clock.steady_s()
        self._index = 0

    async def call(
        self, request: cluster.CommandRequest, *, timeout_s: float
    ) -> cluster.CommandReply:
        """Applies one command; see `config.ControlClient`."""
        if not self.reachable:
            await curio.sleep(min(timeout_s, 0.05))
            raise rpc.TransportError('control is unreachable', sent=True)
        self._index += 1
        request.command.now_ms = int(time.time() * 1000)
        payload = builders.codec.encode(request.command)
        result = self.state.apply(self._index, payload)
        if self.lose_replies:
            self.lose_replies -= 1
            raise rpc.TransportError('reply lost', sent=True)
        claim = result if isinstance(result, intent.ClaimResult) else None
        return cluster.CommandReply(index=self._index, claim=claim)


class Entry:
    """Dispatcher and proxy behind a real HTTP server.

    Args:
        address: `IP:PORT` to listen on.
        control: The control group.
        name: Its name.
        settings: Settings of dispatch that differ from the defaults.
        routes: The configured routes.
    """

    def __init__(
        self,
        address: str,
        control: FakeControl,
        *,
        name: str = 'e1',
        settings: dict[str, typing.Any] | None = None,
        routes: collections.abc.Iterable[intent.StoredObject] = ROUTES,
    ) -> None:
        model = documents.model('settings')
        self.settings = model.make('DispatchSettings', **(settings or {}))
        self.address = address
        self.config = config_module.Config()
        self.config.replace(1, list(routes))
        self.backends = backends_module.BackendTable(lapse_s=15.0)
        self.dispatcher = dispatcher_module.Dispatcher(
            self.settings,
            self.backends,
            self.config,
            name=name,
            zone='a',
            rng=random.Random(1),
        )
        self.pool = pools.ConnectionPool(self.settings)
        self.metrics = metrics.Metrics()
        self.proxy = proxy_module.Proxy(
            self.dispatcher,
            self.pool,
            claims_module.ClaimClient(
                control, answer_limit=self.settings.claim_answer_bytes
            ),
            self.metrics,
            entry=name,
        )
        self._server = http_server.HttpServer(
            address,
            self._serve,
            caller_timeout_s=self.settings.caller_timeout_ms / 1000,
        )

    async def start(self) -> None:
        """Starts to listen."""
        await self._server.start()

    async def close(self) -> None:
        """Stops."""
        await self._server.close()
        await self.pool.close()

    def announce(self, *backends: fake_backend.FakeBackend) -> None:
        """Records announcements of backends."""
        for number, backend in enumerate(backends):
            self.backends.announce(
                cluster.Announcement(
                    backend_id=backend.backend_id,
                    incarnation=1,
                    address=backend.address,
                    zone='a',
                    labels={'number': str(number)},
                    slots=8,
                    state=cluster.BackendState.SERVING,
                )
            )
        self.dispatcher.refresh()

    async def _serve(self, request: http_server.Request) -> None:
        path = request.target.partition('?')[0]
        route: requests_module.Route | None = self.dispatcher.routes.find(path)
        await self.proxy.serve(request, route)


class Setup:
    """Entries, backends and a client.

    Attributes:
        control: The control group.
        entries: The entries.
        backends: The backends.
        client: Sends requests to the entries.
    """

    def __init__(self, control: FakeControl, entries: list[Entry]) -> None:
        self.control = control
        self.entries = entries
        self.backends: list[fake_backend.FakeBackend] = []
        self.client = load.LoadClient([e.address for e in entries])

    @property
    def entry(self) -> Entry:
        """The first entry."""
        return self.entries[0]

    def runs(self, check: str) -> int:
        """Returns the number of runs of a request, given its token."""
        return fake_backend.run_counts(self.backends)[check]


@contextlib.asynccontextmanager
async def setup(
    *,
    entries: int = 1,
    backends: int = 2,
    settings: dict[str, typing.Any] | None = None,
) -> collections.abc.AsyncIterator[Setup]:
    """Runs entries and backends for a test.

    Args:
        entries: Number of entries.
        backends: Number of backends.
        settings: Settings of dispatch that differ from the defaults.
    """
    ports = system.reserve_ports(entries + backends)
    control = FakeControl()
    environment = Setup(
        control,
        [
            Entry(
                f'127.0.0.1:{port}',
                control,
                name=f'e{number}',
                settings=settings,
            )
            for number, port in enumerate(ports[:entries])
        ],
    )
    for number, port in enumerate(ports[entries:]):
        backend = fake_backend.FakeBackend(f'b{number}', f'127.0.0.1:{port}')
        await backend.start()
        environment.backends.append(backend)
    for entry in environment.entries:
        entry.announce(*environment.backends)
        await entry.start()
    try:
        yield environment
    finally:
        await environment.client.close()
        for entry in environment.entries:
            await entry.close()
        for backend in environment.backends:
            await backend.close()
