"""Daemons stay alive, small and reachable under crowds of untrusted clients.

Each test starts real processes with lowered limits, holds one crowd of
connections against one listener, and checks what does not depend on the speed
of the machine. `make test` runs this module alone, one test at a time.
"""

from __future__ import annotations

import functools
import pathlib
import resource
import struct
import tempfile
import typing

import curio
import testtools

from banyantrack.testing import platform_system
from banyantrack.testing import system as system_module
from banyantrack.testing import untrusted_clients
from banyantrack.transport import http_client

JOB_TARGET = '/usual/' + 'f' * 16
WORKER_TARGET = '/v1/instances/i-9'
CONFIG_TARGET = '/v1/config'
REPORT_TARGET = '/v1/workers/w9/report'
ENTRY_LIMITS = {
    'memory_mb': 96,
    'descriptors': 256,
    'file_descriptors': 50,
}
CONTROL_LIMITS = {
    'memory_mb': 128,
    'descriptors': 256,
    'file_descriptors': 50,
}
# Crowds and bounds are chosen so that the code without limits exceeds the
# bounds; an idle entry or control member takes 32 MB.
ENTRY_MEMORY_MB = 90.0
CONTROL_MEMORY_MB = 110.0
DESCRIPTORS = 256
FEW_DESCRIPTORS = 100
ENTRY_CROWD = 150
CONTROL_CROWD = 30
REPORTING_CROWD = 400
IDLE_CROWD = 400
READING_CROWD = 120
MIB = 1024 * 1024
ENTRY_BODY_BYTES = 1000 * 1000
CONTROL_BODY_BYTES = 7 * MIB


class UntrustedTest(testtools.TestCase):
    """Runs one control member and one entry under a crowd."""

    def run_crowd(
        self,
        target: str,
        count: int,
        parts: untrusted_clients.Parts,
        *,
        config: dict[str, typing.Any] | None = None,
    ) -> None:
        """Holds a crowd against a listener and checks both daemons.

        Args:
            target: `entry`, `probe`, `entry_http`, `control`,
                `control_http` or `rpc`.
            count: Number of connections.
            parts: Returns what each connection sends.
            config: The configuration document; the default one if None.
        """

        async def main(folder: str) -> None:
            system = platform_system.PlatformSystem(
                pathlib.Path(folder), control=1, executors=0
            )
            system.entry.settings['limits'] = dict(ENTRY_LIMITS)
            system.control[0].settings['limits'] = dict(CONTROL_LIMITS)
            for process in system.processes:
                process.write()
            listeners = {
                'entry': system.entry_address,
                'probe': system.readiness_address,
                'entry_http': system.entry.http_address,
                'control': system.seeds[0],
                'control_http': system.control[0].http_address,
                'rpc': system.control[0].rpc_address,
            }
            async with system.running(config):
                crowd = untrusted_clients.Crowd(
                    listeners[target], count, parts
                )
                try:
                    await crowd.send()
                    self._note(system)
                    self._check_bounds(system)
                    await self._check_served(system)
                    self._check_bounds(system)
                finally:
                    await crowd.close()
            self.assertNotIn('Traceback', system.log_text())

        with tempfile.TemporaryDirectory() as folder:
            curio.run(main, folder)

    def _note(self, system: platform_system.PlatformSystem) -> None:
        for process in system.processes:
            if process.running:
                memory_mb = untrusted_clients.peak_memory_mb(process.pid)
                opened = untrusted_clients.open_descriptors(process.pid)
                print(f'{process.name}: {memory_mb:.0f} MB, {opened} fds')

    def _check_bounds(self, system: platform_system.PlatformSystem) -> None:
        for process, bound_mb in (
            (system.entry, ENTRY_MEMORY_MB),
            (system.control[0], CONTROL_MEMORY_MB),
        ):
            self.assertTrue(process.running, process.name)
            peak_mb = untrusted_clients.peak_memory_mb(process.pid)
            self.assertLess(peak_mb, bound_mb, process.name)
            opened = untrusted_clients.open_descriptors(process.pid)
            self.assertLessEqual(opened, DESCRIPTORS, process.name)

    async def _check_served(
        self, system: platform_system.PlatformSystem
    ) -> None:
        """Checks that each listener answers one ordinary request."""

        async def submitted() -> bool:
            step = {'count': 1, 'gpu': 1}
            return await system.submit('usual', 'a' * 16, step) == 200

        async def configured() -> bool:
            status, _ = await system.call(
                'GET', CONFIG_TARGET, address=system.seeds[0]
            )
            return status == 200

        async def measured(process: system_module.Process) -> bool:
            client = http_client.HttpClient(process.http_address)
            try:
                return (await client.request('GET', '/metrics')).status == 200
            except http_client.HttpError:
                return False
            finally:
                await client.close()

        await system_module.wait_for(submitted, 'job')
        await system_module.wait_for(configured, 'configuration')
        await system_module.wait_for(system._is_ready, 'readiness')
        for process in system.processes:
            await system_module.wait_for(
                functools.partial(measured, process), process.name
            )


class TestEntry(UntrustedTest):
    """Crowds at an entry."""

    def test_unfinished_bodies_of_permitted_size(self) -> None:
        """Buffered bodies add up without a bound."""
        self.run_crowd(
            'entry',
            ENTRY_CROWD,
            lambda: untrusted_clients.sized_body(
                'POST',
                JOB_TARGET,
                declared=ENTRY_BODY_BYTES,
                sent=ENTRY_BODY_BYTES - 1,
            ),
        )

    def test_unfinished_bodies_in_large_chunks(self) -> None:
        """A chunked body has no declared length to be refused by."""
        self.run_crowd(
            'entry',
            ENTRY_CROWD,
            lambda: untrusted_clients.chunked_body(
                'POST', JOB_TARGET, chunk=65536, sent=ENTRY_BODY_BYTES
            ),
        )

    def test_whole_bodies_of_permitted_size(self) -> None:
        """Whole bodies are held while their calls are in progress."""
        self.run_crowd(
            'entry',
            ENTRY_CROWD,
            lambda: untrusted_clients.sized_body(
                'POST',
                JOB_TARGET,
                declared=ENTRY_BODY_BYTES,
                sent=ENTRY_BODY_BYTES,
            ),
        )

    def test_chunks_of_one_byte(self) -> None:
        """Decoding many small chunks occupies the event loop."""
        self.run_crowd(
            'entry',
            8,
            lambda: untrusted_clients.chunked_body(
                'POST', JOB_TARGET, chunk=1, sent=ENTRY_BODY_BYTES
            ),
        )

    def test_idle_connections(self) -> None:
        """Idle connections take all descriptors."""
        self.run_crowd('entry', IDLE_CROWD, lambda: ())

    def test_unfinished_heads(self) -> None:
        """Connections whose request head never ends are not idle."""
        self.run_crowd(
            'entry',
            IDLE_CROWD,
            lambda: (b'POST ' + JOB_TARGET.encode() + b' HTTP/1.1\r\nHo',),
        )

    def test_idle_connections_of_probes(self) -> None:
        """Idle connections take all descriptors of the readiness probe."""
        self.run_crowd('probe', IDLE_CROWD, lambda: ())

    def test_idle_connections_of_metrics(self) -> None:
        """Idle connections take all descriptors of the metrics page."""
        self.run_crowd('entry_http', IDLE_CROWD, lambda: ())


class TestControl(UntrustedTest):
    """Crowds at a control member."""

    def test_unfinished_reports_of_permitted_size(self) -> None:
        """Buffered reports add up without a bound."""
        self.run_crowd(
            'control',
            CONTROL_CROWD,
            lambda: untrusted_clients.sized_body(
                'PUT',
                WORKER_TARGET,
                declared=CONTROL_BODY_BYTES,
                sent=CONTROL_BODY_BYTES - 1,
            ),
        )

    def test_bodies_declared_far_over_the_limit(self) -> None:
        """A body is read up to its limit although its length is declared."""
        self.run_crowd(
            'control',
            CONTROL_CROWD,
            lambda: untrusted_clients.sized_body(
                'PUT',
                CONFIG_TARGET,
                declared=100 * MIB,
                sent=CONTROL_BODY_BYTES,
            ),
        )

    def test_unfinished_reports_in_large_chunks(self) -> None:
        """A chunked body has no declared length to be refused by."""
        self.run_crowd(
            'control',
            CONTROL_CROWD,
            lambda: untrusted_clients.chunked_body(
                'PUT', WORKER_TARGET, chunk=65536, sent=CONTROL_BODY_BYTES
            ),
        )

    def test_chunks_of_one_byte(self) -> None:
        """Decoding many small chunks occupies the event loop."""
        self.run_crowd(
            'control',
            8,
            lambda: untrusted_clients.chunked_body(
                'PUT', WORKER_TARGET, chunk=1, sent=MIB
            ),
        )

    def test_unfinished_reports_at_the_operators_address(self) -> None:
        """The listener of workers and operators buffers bodies as well."""
        self.run_crowd(
            'control_http',
            REPORTING_CROWD,
            lambda: untrusted_clients.sized_body(
                'POST', REPORT_TARGET, declared=MIB // 4, sent=MIB // 4 - 1
            ),
        )

    def test_unfinished_frames(self) -> None:
        """RPC frames are buffered up to 16 MiB each."""
        self.run_crowd(
            'rpc',
            CONTROL_CROWD,
            lambda: (
                struct.pack('>I', 15 * MIB),
                *(bytes(65536) for _ in range(CONTROL_BODY_BYTES // 65536)),
            ),
        )

    def test_responses_that_are_not_read(self) -> None:
        """A response is held until its client has read it."""
        config = dict(platform_system.DEFAULT_CONFIG)
        # A document of about 1 MiB.
        config['limits'] = {'note': 'x' * MIB}
        request = untrusted_clients.head('GET', CONFIG_TARGET)
        self.run_crowd(
            'control', READING_CROWD, lambda: (request * 12,), config=config
        )

    def test_idle_connections(self) -> None:
        """Idle connections take all descriptors."""
        self.run_crowd('control', IDLE_CROWD, lambda: ())

    def test_idle_connections_of_rpc(self) -> None:
        """Idle connections take all descriptors of members and entries."""
        self.run_crowd('rpc', IDLE_CROWD, lambda: ())


class TestDescriptors(UntrustedTest):
    """Connections leave descriptors for files and members."""

    def test_connections_take_no_descriptors_of_files(self) -> None:
        """A member that could not open a file for a snapshot ended."""

        async def main(folder: str) -> None:
            system = platform_system.PlatformSystem(
                pathlib.Path(folder), control=1, executors=1
            )
            limits = {
                'descriptors': FEW_DESCRIPTORS,
                'file_descriptors': FEW_DESCRIPTORS // 4,
            }
            for process in system.processes:
                process.settings['limits'] = limits
                process.write()
            member = system.control[0]
            member.settings['replication'] = {'snapshot_entries': 10}
            member.write()
            async with system.running():
                for process in system.processes:
                    resource.prlimit(
                        process.pid,
                        resource.RLIMIT_NOFILE,
                        (FEW_DESCRIPTORS, FEW_DESCRIPTORS),
                    )
                crowds = [
                    untrusted_clients.Crowd(
                        address, 2 * FEW_DESCRIPTORS, lambda: ()
                    )
                    for address in (
                        system.seeds[0],
                        member.rpc_address,
                        system.entry_address,
                    )
                ]
                try:
                    for crowd in crowds:
                        await crowd.send()
                    # Each job makes entries of the log, and snapshots.
                    for number in range(20):
                        await system.submit(
                            'usual', f'{number:016x}', {'count': 1, 'gpu': 1}
                        )
                    for process in system.processes:
                        self.assertTrue(process.running, system.log_text())
                    await self._check_served(system)
                finally:
                    for crowd in crowds:
                        await crowd.close()
                self.assertIn('snapshot', ' '.join(_names(folder)))
            self.assertNotIn('Traceback', system.log_text())

        with tempfile.TemporaryDirectory() as folder:
            curio.run(main, folder)


def _names(folder: str) -> list[str]:
    return [path.name for path in pathlib.Path(folder).rglob('*')]
