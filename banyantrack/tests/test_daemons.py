"""Tests of daemon processes: kills, pauses, stops, leases and tokens."""

from __future__ import annotations

import collections.abc
import hashlib
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import typing

import curio
import testtools

from banyantrack.testing import fake_worker
from banyantrack.testing import system

JOB_TIMEOUT_S = 20.0


class DaemonTest(testtools.TestCase):
    """Base class that runs a coroutine on a system of daemon processes."""

    def run_with(
        self,
        scenario: collections.abc.Callable[
            [system.System], collections.abc.Awaitable[typing.Any]
        ],
        **options: typing.Any,
    ) -> typing.Any:
        """Runs a coroutine function on a new system, then stops it."""

        async def run() -> typing.Any:
            with tempfile.TemporaryDirectory() as folder:
                cluster = system.System(pathlib.Path(folder), **options)
                try:
                    await cluster.start()
                    return await scenario(cluster)
                finally:
                    cluster.stop()

        return curio.run(run)


async def _phase(cluster: system.System, job: str) -> str:
    document = await cluster.get(f'/v1/jobs/{job}')
    return document['status']['phase'] if document else ''


class TestControl(DaemonTest):
    """No accepted change is lost when members are killed or paused."""

    def test_kills_and_pauses_under_writes(self) -> None:
        async def scenario(cluster: system.System) -> None:
            rng = random.Random(3)
            accepted: dict[str, int] = {}
            for number in range(30):
                name = f'c{number}'
                if number in (5, 20):
                    (await cluster.leader()).kill()
                if number in (12, 25):
                    paused = rng.choice(
                        [p for p in cluster.control if p.running]
                    )
                    paused.pause()
                revision = await cluster.apply(
                    [{'kind': 'customer', 'name': name}]
                )
                self.assertGreater(revision, max(accepted.values(), default=0))
                accepted[name] = revision
                if number in (8, 23):
                    for process in cluster.control:
                        if not process.running:
                            process.start()
                if number in (15, 28):
                    paused.resume()
            await cluster.wait_voters(3)
            listed = await cluster.get('/v1/customers')
            found = {c['name']: c['revision'] for c in listed['items']}
            self.assertEqual(accepted, found)

        self.run_with(scenario, entries=1)

    def test_wiped_host_rejoins_as_a_new_member(self) -> None:
        async def scenario(cluster: system.System) -> None:
            await cluster.apply([{'kind': 'customer', 'name': 'a'}])
            before = {
                m['id'] for m in (await cluster.get('/v1/members'))['members']
            }
            wiped = next(
                p for p in cluster.control if p is not cluster.control[0]
            )
            wiped.kill()
            wiped.wipe()
            wiped.start()

            async def replaced() -> bool:
                document = await cluster.get('/v1/members')
                if document is None or document['changing']:
                    return False
                ids = {m['id'] for m in document['members']}
                roles = {m['role'] for m in document['members']}
                return ids != before and 'learner' not in roles

            await system.wait_for(replaced, 'swap')
            # Another member fails right after the replacement.
            leader = await cluster.leader()
            other = next(
                p for p in cluster.control if p not in (wiped, leader)
            )
            other.kill()
            await cluster.apply([{'kind': 'customer', 'name': 'b'}])
            listed = await cluster.get('/v1/customers')
            self.assertEqual(2, len(listed['items']))

        self.run_with(scenario, entries=1)

    def test_planned_stop_hands_over(self) -> None:
        async def scenario(cluster: system.System) -> None:
            leader = await cluster.leader()
            leader.terminate()
            leader.terminate()
            self.assertEqual(0, leader.wait())
            self.assertIn(
                'event=leadership_handed_over done=true',
                leader.log.read_text(),
            )
            await cluster.apply([{'kind': 'customer', 'name': 'a'}])

        self.run_with(scenario, entries=1)


class TestGangs(DaemonTest):
    """A gang runs in one epoch at a time, despite fail-over and silence."""

    def _run(
        self,
        scenario: collections.abc.Callable[
            ..., collections.abc.Awaitable[None]
        ],
        *,
        lease_ms: int = 20_000,
    ) -> None:
        """Runs a coroutine function on a system with eight workers.

        By default the lease outlasts any fail-over, even on a busy machine.
        Tests of its end pass a shorter one.
        """

        async def run(cluster: system.System) -> None:
            observer = fake_worker.GangObserver()
            fleet = fake_worker.make_fleet(
                8, cluster.control_http, observer=observer
            )
            tasks = {w.name: await curio.spawn(w.run) for w in fleet}
            await cluster.apply([{'kind': 'customer', 'name': 'a'}])
            await scenario(cluster, observer, fleet, tasks)
            for task in tasks.values():
                await task.cancel()

        self.run_with(
            run,
            entries=1,
            control_settings={'placement': {'lease_ms': lease_ms}},
        )

    async def _submit(
        self, cluster: system.System, name: str, **fields: typing.Any
    ) -> None:
        await cluster.apply(
            [
                {
                    'kind': 'job',
                    'name': name,
                    'customer': 'a',
                    'members': 16,
                    'adjacency': 'rack',
                    'restartable': True,
                    'parameters': {'run_ms': '3000'},
                    **fields,
                }
            ]
        )

    async def _wait_completed(self, cluster: system.System, name: str) -> None:
        async def ended() -> bool:
            return await _phase(cluster, name) == 'completed'

        await system.wait_for(ended, name, timeout_s=JOB_TIMEOUT_S)

    async def _wait_running(
        self, observer: fake_worker.GangObserver, name: str
    ) -> set[str]:
        async def started() -> bool:
            return any(job == name for _, job, _ in observer.starts)

        await system.wait_for(started, name)
        await curio.sleep(0.3)
        return {w for w, job, _ in observer.starts if job == name}

    def test_fail_over_keeps_a_running_gang(self) -> None:
        async def scenario(cluster, observer, fleet, tasks) -> None:
            await self._submit(cluster, 'j')
            await self._wait_running(observer, 'j')
            (await cluster.leader()).kill()
            await self._wait_completed(cluster, 'j')
            self.assertEqual(1, observer.runs('j'))

        self._run(scenario)

    def test_silent_worker_ends_the_gang_after_its_lease(self) -> None:
        async def scenario(cluster, observer, fleet, tasks) -> None:
            await self._submit(cluster, 'j')
            workers = await self._wait_running(observer, 'j')
            silenced = min(workers)
            await tasks.pop(silenced).cancel()
            await self._wait_completed(cluster, 'j')
            self.assertEqual(2, observer.runs('j'))
            last = max(epoch for _, _, epoch in observer.starts)
            restarted_on = {
                w for w, _, epoch in observer.starts if epoch == last
            }
            self.assertNotIn(silenced, restarted_on)

        self._run(scenario, lease_ms=3000)

    def test_restarted_worker_ends_the_gang(self) -> None:
        async def scenario(cluster, observer, fleet, tasks) -> None:
            await self._submit(cluster, 'j')
            workers = await self._wait_running(observer, 'j')
            by_name = {worker.name: worker for worker in fleet}
            by_name[min(workers)].restart()
            await self._wait_completed(cluster, 'j')
            self.assertEqual(2, observer.runs('j'))

        self._run(scenario)

    def test_paused_leader_changes_nothing_afterwards(self) -> None:
        async def scenario(cluster, observer, fleet, tasks) -> None:
            await self._submit(cluster, 'j')
            await self._wait_running(observer, 'j')
            old = await cluster.leader()
            old.pause()
            await curio.sleep(3.0)
            old.resume()
            await self._wait_completed(cluster, 'j')
            await self._submit(cluster, 'k')
            await self._wait_completed(cluster, 'k')
            self.assertEqual(1, observer.runs('k'))

        self._run(scenario)

    def test_failing_job_ends_with_its_reason(self) -> None:
        async def scenario(cluster, observer, fleet, tasks) -> None:
            await self._submit(
                cluster,
                'j',
                retry_limit=0,
                parameters={'run_ms': '100', 'fail': '1'},
            )

            async def failed() -> bool:
                return await _phase(cluster, 'j') == 'failed'

            await system.wait_for(failed, 'j', timeout_s=JOB_TIMEOUT_S)
            document = await cluster.get('/v1/jobs/j')
            self.assertEqual('member-failed', document['status']['reason'])

        self._run(scenario)


class TestTokens(DaemonTest):
    """Requests without a sufficient token all get the same refusal."""

    def test_roles(self) -> None:
        tokens = [
            {
                'name': role,
                'role': role,
                'sha256': hashlib.sha256(role.encode()).hexdigest(),
            }
            for role in ('operator', 'monitoring', 'read-only')
        ]

        async def run() -> None:
            with tempfile.TemporaryDirectory() as folder:
                cluster = system.System(
                    pathlib.Path(folder),
                    control=1,
                    entries=1,
                    control_settings={'tokens': tokens},
                    entry_settings={'tokens': tokens},
                )
                try:
                    cluster.control[0].bootstrap()
                    for process in cluster.processes:
                        process.start()
                    await cluster.wait_entries()
                    await self._check_roles(cluster)
                finally:
                    cluster.stop()

        curio.run(run)

    async def _check_roles(self, cluster: system.System) -> None:
        allowed_roles = {
            ('GET', '/v1/status'): ('operator', 'monitoring', 'read-only'),
            ('PUT', '/v1/customers/a'): ('operator',),
            ('PUT', '/v1/labels/workers/w1'): ('operator', 'monitoring'),
        }
        bodies = {
            '/v1/customers/a': b'{}',
            '/v1/labels/workers/w1': b'{"labels": {}}',
        }
        for address in (cluster.control_http[0], cluster.entry_http[0]):
            refusals = set()
            for (method, path), allowed in allowed_roles.items():
                for token in ('operator', 'monitoring', 'read-only', 'x', ''):
                    headers = [('authorization', f'Bearer {token}')]
                    answer = await system.send_request(
                        address,
                        method,
                        path,
                        bodies.get(path, b''),
                        headers if token else [],
                    )
                    self.assertEqual(
                        token in allowed, answer.status < 300, (path, token)
                    )
                    if token not in allowed:
                        refusals.add((answer.status, answer.body))
            self.assertEqual(1, len(refusals))


class TestCommandLine(testtools.TestCase):
    """Exit codes and messages of the commands."""

    def _run(
        self, module: str, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, '-m', f'banyantrack.cli.{module}']
        return subprocess.run(
            [*command, *arguments],
            capture_output=True,
            text=True,
            check=False,
        )

    def test_check(self) -> None:
        with tempfile.NamedTemporaryFile('w', suffix='.yaml') as file:
            file.write('name: c1\nzone: [a]\nnope: 1\n')
            file.flush()
            for module in ('control', 'entry'):
                done = self._run(module, '--config', file.name, '--check')
                self.assertEqual(2, done.returncode)
                self.assertIn(f'{file.name}:2:7', done.stderr)
                self.assertIn(f'{file.name}:3:1', done.stderr)

    def test_reload_while_starting_is_ignored(self) -> None:
        code = (
            'import os, signal\n'
            'import banyantrack.cli\n'
            'os.kill(os.getpid(), signal.SIGHUP)\n'
            'print("alive")\n'
        )
        done = subprocess.run(
            [sys.executable, '-c', code],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual('alive\n', done.stdout)

    def test_operator_without_server(self) -> None:
        done = self._run(
            'operator', '--server', '127.0.0.1:1', '--timeout', '0.5', 'status'
        )
        self.assertEqual(1, done.returncode)
        self.assertIn('not done', done.stderr)

    def test_operator_with_bad_file(self) -> None:
        with tempfile.NamedTemporaryFile('w', suffix='.yaml') as file:
            file.write(json.dumps([{'kind': 'job', 'name': 'x'}]))
            file.flush()
            done = self._run('operator', 'apply', '-f', file.name)
        self.assertEqual(2, done.returncode)
        self.assertIn("key 'customer' is missing", done.stderr)
