"""Tests of real daemons: kills, pauses, stops, leases, tokens."""

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

SETTLE_S = 20.0


class DaemonTest(testtools.TestCase):
    """Base that runs a coroutine on a system of real daemons."""

    def run_with(
        self,
        act: collections.abc.Callable[
            [system.System], collections.abc.Awaitable[typing.Any]
        ],
        **options: typing.Any,
    ) -> typing.Any:
        """Runs a coroutine function on a fresh system."""

        async def run() -> typing.Any:
            with tempfile.TemporaryDirectory() as folder:
                made = system.System(pathlib.Path(folder), **options)
                try:
                    await made.start()
                    return await act(made)
                finally:
                    made.stop()

        return curio.run(run)


async def _phase(made: system.System, job: str) -> str:
    document = await made.get(f'/v1/jobs/{job}')
    return document['status']['phase'] if document else ''


class TestControl(DaemonTest):
    """No accepted change is lost, whoever dies."""

    def test_kills_and_pauses_under_writes(self) -> None:
        async def act(made: system.System) -> None:
            rng = random.Random(3)
            accepted: dict[str, int] = {}
            for number in range(30):
                name = f'c{number}'
                if number in (5, 20):
                    (await made.leader()).kill()
                if number in (12, 25):
                    paused = rng.choice([p for p in made.control if p.running])
                    paused.pause()
                revision = await made.apply(
                    [{'kind': 'customer', 'name': name}]
                )
                self.assertGreater(revision, max(accepted.values(), default=0))
                accepted[name] = revision
                if number in (8, 23):
                    for process in made.control:
                        if not process.running:
                            process.start()
                if number in (15, 28):
                    paused.resume()
            await made.wait_voters(3)
            listed = await made.get('/v1/customers')
            found = {c['name']: c['revision'] for c in listed['items']}
            self.assertEqual(accepted, found)

        self.run_with(act, entries=1)

    def test_wiped_host_comes_back_as_another(self) -> None:
        async def act(made: system.System) -> None:
            await made.apply([{'kind': 'customer', 'name': 'a'}])
            before = {
                m['id'] for m in (await made.get('/v1/members'))['members']
            }
            victim = next(p for p in made.control if p is not made.control[0])
            victim.kill()
            victim.wipe()
            victim.start()

            async def swapped() -> bool:
                document = await made.get('/v1/members')
                if document is None or document['changing']:
                    return False
                ids = {m['id'] for m in document['members']}
                roles = {m['role'] for m in document['members']}
                return ids != before and 'learner' not in roles

            await system.wait_for(swapped, 'swap')
            # A second loss right after the repair.
            leader = await made.leader()
            other = next(p for p in made.control if p not in (victim, leader))
            other.kill()
            await made.apply([{'kind': 'customer', 'name': 'b'}])
            listed = await made.get('/v1/customers')
            self.assertEqual(2, len(listed['items']))

        self.run_with(act, entries=1)

    def test_planned_stop_hands_over(self) -> None:
        async def act(made: system.System) -> None:
            leader = await made.leader()
            leader.terminate()
            leader.terminate()
            self.assertEqual(0, leader.wait())
            self.assertIn(
                'event=leadership_handed_over done=true',
                leader.log.read_text(),
            )
            await made.apply([{'kind': 'customer', 'name': 'a'}])

        self.run_with(act, entries=1)


class TestGangs(DaemonTest):
    """Leases and epochs hold through fail-over and silence."""

    def _run(
        self,
        act: collections.abc.Callable[..., collections.abc.Awaitable[None]],
        *,
        lease_ms: int = 20_000,
    ) -> None:
        """Runs on eight workers.

        The lease outlasts any fail-over, however busy the machine is, unless
        a test is about its end.
        """

        async def run(made: system.System) -> None:
            observer = fake_worker.GangObserver()
            fleet = fake_worker.make_fleet(
                8, made.control_http, observer=observer
            )
            tasks = {w.name: await curio.spawn(w.run) for w in fleet}
            await made.apply([{'kind': 'customer', 'name': 'a'}])
            await act(made, observer, fleet, tasks)
            for task in tasks.values():
                await task.cancel()

        self.run_with(
            run,
            entries=1,
            control_settings={'placement': {'lease_ms': lease_ms}},
        )

    async def _submit(
        self, made: system.System, name: str, **fields: typing.Any
    ) -> None:
        await made.apply(
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

    async def _completed(self, made: system.System, name: str) -> None:
        async def ended() -> bool:
            return await _phase(made, name) == 'completed'

        await system.wait_for(ended, name, timeout_s=SETTLE_S)

    async def _running(
        self, observer: fake_worker.GangObserver, name: str
    ) -> set[str]:
        async def started() -> bool:
            return any(job == name for _, job, _ in observer.starts)

        await system.wait_for(started, name)
        await curio.sleep(0.3)
        return {w for w, job, _ in observer.starts if job == name}

    def test_fail_over_keeps_a_running_gang(self) -> None:
        async def act(made, observer, fleet, tasks) -> None:
            await self._submit(made, 'j')
            await self._running(observer, 'j')
            (await made.leader()).kill()
            await self._completed(made, 'j')
            self.assertEqual(1, observer.runs('j'))

        self._run(act)

    def test_silent_worker_ends_the_gang_after_its_lease(self) -> None:
        async def act(made, observer, fleet, tasks) -> None:
            await self._submit(made, 'j')
            workers = await self._running(observer, 'j')
            lost = min(workers)
            await tasks.pop(lost).cancel()
            await self._completed(made, 'j')
            self.assertEqual(2, observer.runs('j'))
            last = max(epoch for _, _, epoch in observer.starts)
            again = {w for w, _, epoch in observer.starts if epoch == last}
            self.assertNotIn(lost, again)

        self._run(act, lease_ms=3000)

    def test_restarted_worker_ends_the_gang(self) -> None:
        async def act(made, observer, fleet, tasks) -> None:
            await self._submit(made, 'j')
            workers = await self._running(observer, 'j')
            by_name = {worker.name: worker for worker in fleet}
            by_name[min(workers)].restart()
            await self._completed(made, 'j')
            self.assertEqual(2, observer.runs('j'))

        self._run(act)

    def test_paused_leader_changes_nothing_afterwards(self) -> None:
        async def act(made, observer, fleet, tasks) -> None:
            await self._submit(made, 'j')
            await self._running(observer, 'j')
            old = await made.leader()
            old.pause()
            await curio.sleep(3.0)
            old.resume()
            await self._completed(made, 'j')
            await self._submit(made, 'k')
            await self._completed(made, 'k')
            self.assertEqual(1, observer.runs('k'))

        self._run(act)

    def test_failing_job_gives_up_with_its_reason(self) -> None:
        async def act(made, observer, fleet, tasks) -> None:
            await self._submit(
                made,
                'j',
                retry_limit=0,
                parameters={'run_ms': '100', 'fail': '1'},
            )

            async def failed() -> bool:
                return await _phase(made, 'j') == 'failed'

            await system.wait_for(failed, 'j', timeout_s=SETTLE_S)
            document = await made.get('/v1/jobs/j')
            self.assertEqual('member-failed', document['status']['reason'])

        self._run(act)


class TestTokens(DaemonTest):
    """Tokens are checked before anything is read or changed."""

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
                made = system.System(
                    pathlib.Path(folder),
                    control=1,
                    entries=1,
                    control_settings={'tokens': tokens},
                    entry_settings={'tokens': tokens},
                )
                try:
                    made.control[0].bootstrap()
                    for process in made.processes:
                        process.start()
                    await made.wait_entries()
                    await self._check(made)
                finally:
                    made.stop()

        curio.run(run)

    async def _check(self, made: system.System) -> None:
        wanted = {
            ('GET', '/v1/status'): ('operator', 'monitoring', 'read-only'),
            ('PUT', '/v1/customers/a'): ('operator',),
            ('PUT', '/v1/labels/workers/w1'): ('operator', 'monitoring'),
        }
        bodies = {
            '/v1/customers/a': b'{}',
            '/v1/labels/workers/w1': b'{"labels": {}}',
        }
        for address in (made.control_http[0], made.entry_http[0]):
            refusals = set()
            for (method, path), allowed in wanted.items():
                for token in ('operator', 'monitoring', 'read-only', 'x', ''):
                    headers = [('authorization', f'Bearer {token}')]
                    answer = await system.ask(
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
    """Both daemons check their settings and start nothing."""

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

    def test_reload_while_starting_ends_nothing(self) -> None:
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
