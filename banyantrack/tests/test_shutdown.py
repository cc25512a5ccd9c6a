"""Tests of how a daemon process ends."""

from __future__ import annotations

import errno
import pathlib
import socket
import tempfile
from unittest import mock

import curio
import testtools

from banyantrack.cli import daemon
from banyantrack.core import settings as settings_module
from banyantrack.core import states
from banyantrack.daemons import entry_platform
from banyantrack.daemons import job_gateway
from banyantrack.generated.settings import ttypes
from banyantrack.testing import system
from banyantrack.transport import addresses
from banyantrack.transport import listener

CONNECTIONS = 20


class _FailingDaemon:
    """A daemon that fails with connections open and others to be accepted."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._clients: list[socket.socket] = []

    async def run(self, stop: curio.Event) -> None:
        """Fails at once, and leaves its listener open."""
        server = listener.Listener(self._address, self._serve)
        await server.start()
        for _ in range(CONNECTIONS):
            self._connect()
            await curio.sleep(0.001)
        raise OSError(errno.EMFILE, 'too many open files')

    def _connect(self) -> None:
        client = socket.socket()
        client.connect(addresses.parse(self._address))
        self._clients.append(client)

    async def _serve(self, client: object) -> None:
        try:
            await curio.sleep(60)
        finally:
            # Clients connect while the event loop cancels its tasks.
            self._connect()
            await curio.sleep(0.01)


class TestFailure(testtools.TestCase):
    def test_connection_accepted_while_the_event_loop_ends(self) -> None:
        """The assertion of the event loop hid why a daemon had failed."""
        (port,) = system.reserve_ports(1)
        failing = _FailingDaemon(f'127.0.0.1:{port}')
        self.assertEqual(states.ExitCode.REFUSED, daemon.run(lambda: failing))

    def test_failed_entry_accepts_nothing_more(self) -> None:
        """A failed daemon went on accepting while its tasks were ended."""
        ports = system.reserve_ports(4)
        text = (
            'name: e1\n'
            'zone: z1\n'
            f'http_address: 127.0.0.1:{ports[0]}\n'
            f'rpc_address: 127.0.0.1:{ports[1]}\n'
            'platform:\n'
            f'  address: 127.0.0.1:{ports[2]}\n'
            f'  readiness_address: 127.0.0.1:{ports[3]}\n'
            '  seeds: []\n'
            f'  control_rpc_port: {ports[1]}\n'
        )

        async def fail(gateway: job_gateway.JobGateway) -> None:
            raise OSError(errno.EMFILE, 'too many open files')

        async def run(settings: ttypes.EntrySettings) -> None:
            failing = entry_platform.PlatformEntryDaemon(settings)
            try:
                await failing.run(curio.Event())
            except OSError as error:
                self.assertEqual(errno.EMFILE, error.errno)
            for port in (ports[0], ports[2], ports[3]):
                with socket.socket() as client:
                    code = client.connect_ex(('127.0.0.1', port))
                    self.assertEqual(errno.ECONNREFUSED, code, port)

        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'entry.yaml'
            path.write_text(text)
            settings = settings_module.load_entry(path)
        with mock.patch.object(job_gateway.JobGateway, 'run', fail):
            curio.run(run, settings)
