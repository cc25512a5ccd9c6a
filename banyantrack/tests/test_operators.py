"""Tests of the operators' interface on daemon processes."""

from __future__ import annotations

import json
import pathlib
import sys
import typing

import curio
from curio import subprocess
import testtools

from banyantrack.cli import control as control_cli
from banyantrack.testing import fake_worker
from banyantrack.testing import system
from banyantrack.tests import test_daemons

MIN_KEPT_REVISIONS = 4096


class TestRaces(test_daemons.DaemonTest):
    """Of changes to one revision, one applies; resends repeat its answer."""

    def test_race_and_resend_through_fail_over(self) -> None:
        async def scenario(cluster: system.System) -> None:
            revision = await cluster.apply([{'kind': 'customer', 'name': 'a'}])
            statuses = []

            async def put(weight: int) -> None:
                answer = await self._put(cluster, weight, revision)
                statuses.append((answer.status, weight, answer.body))

            tasks = [await curio.spawn(put, weight) for weight in (2, 3, 4)]
            for task in tasks:
                await task.join()
            won = [found for found in statuses if found[0] == 200]
            self.assertEqual(1, len(won), statuses)
            lost = json.loads(
                next(body for status, _, body in statuses if status == 412)
            )
            self.assertEqual(won[0][1], lost['current']['weight'])
            (await cluster.leader()).kill()
            await cluster.wait_voters(2)
            again = await self._put(cluster, won[0][1], revision)
            self.assertEqual(200, again.status)
            self.assertEqual('true', again.header('idempotency-replayed'))
            self.assertEqual(json.loads(won[0][2]), json.loads(again.body))

        self.run_with(scenario, entries=1)

    async def _put(
        self, cluster: system.System, weight: int, revision: int
    ) -> typing.Any:
        while True:
            answer = await cluster.operate(
                'PUT',
                '/v1/customers/a',
                {'weight': weight},
                headers=[
                    ('if-match', f'"{revision}"'),
                    ('idempotency-key', f'key-{weight}'),
                ],
            )
            if answer is not None:
                return answer
            await curio.sleep(0.1)


class TestFindings(test_daemons.DaemonTest):
    """Invalid intent is rejected and nothing of it is applied."""

    def test_guarantee_that_workers_cannot_satisfy(self) -> None:
        async def scenario(cluster: system.System) -> None:
            fleet = fake_worker.make_fleet(4, cluster.control_http)
            tasks = [await curio.spawn(worker.run) for worker in fleet]

            async def registered() -> bool:
                status = await cluster.get('/v1/status')
                return bool(status) and status['workers']['known'] == 4

            await system.wait_for(registered, 'workers')
            answer = await cluster.operate(
                'POST',
                '/v1/apply',
                [
                    {'kind': 'customer', 'name': 'a'},
                    {
                        'kind': 'guarantee',
                        'name': 'g',
                        'customer': 'a',
                        'accelerators': 16,
                        'count': 3,
                    },
                ],
            )
            self.assertEqual(422, answer.status)
            self.assertIn(b'3 shapes of 16 accelerators', answer.body)
            listed = await cluster.get('/v1/customers')
            self.assertEqual([], listed['items'])
            for task in tasks:
                await task.cancel()

        self.run_with(scenario, control=1, entries=0)


class TestWatch(test_daemons.DaemonTest):
    """Watchers resume, or get the oldest revision that is kept."""

    def test_resume_and_compaction(self) -> None:
        async def scenario(cluster: system.System) -> None:
            first = await cluster.apply([{'kind': 'customer', 'name': 'a'}])
            second = await cluster.apply([{'kind': 'customer', 'name': 'b'}])
            found = await cluster.get(f'/v1/watch?from={first}')
            self.assertEqual(
                [('b', second)],
                [(c['name'], c['revision']) for c in found['changes']],
            )
            documents = [
                {'kind': 'customer', 'name': f'c{number}'}
                for number in range(MIN_KEPT_REVISIONS)
            ]
            await cluster.apply(documents)
            await cluster.apply([{'kind': 'customer', 'name': 'd'}])
            answer = await cluster.operate('GET', f'/v1/watch?from={first}')
            self.assertEqual(410, answer.status)
            oldest = json.loads(answer.body)['oldest_revision']
            found = await cluster.get(f'/v1/watch?from={oldest}')
            self.assertTrue(found['changes'])

        self.run_with(scenario, control=1, entries=0)


class TestBackup(test_daemons.DaemonTest):
    """A backup can be restored as a new control group."""

    def test_backup_and_restore(self) -> None:
        async def scenario(cluster: system.System) -> None:
            revision = await cluster.apply([{'kind': 'customer', 'name': 'a'}])
            process = cluster.control[0]
            folder = pathlib.Path(process.settings['data_folder'])
            file = folder.parent / 'backup'
            process.terminate()
            process.wait()
            self.assertEqual(
                0, control_cli.main(['backup', str(folder), str(file)])
            )
            process.wipe()
            config = str(folder.parent / f'{process.name}.yaml')
            restore = ['restore', '--config', config, str(file)]
            self.assertEqual(0, control_cli.main(restore))
            self.assertEqual(1, control_cli.main(restore))
            self.assertEqual(0, control_cli.main(['inspect', str(folder)]))
            process.start()
            await cluster.wait_voters(1)
            found = await cluster.get('/v1/customers/a')
            self.assertEqual(revision, found['revision'])

        self.run_with(scenario, control=1, entries=0)


class TestEntries(test_daemons.DaemonTest):
    """Without control, entries keep serving and reject changes."""

    def test_total_loss_of_control(self) -> None:
        async def scenario(cluster: system.System) -> None:
            await cluster.apply([{'kind': 'customer', 'name': 'a'}])
            for process in cluster.control:
                process.kill()
            await curio.sleep(7.0)
            for address in cluster.entry_http:
                answer = await system.send_request(address, 'GET', '/nowhere')
                self.assertEqual(404, answer.status)
                answer = await system.send_request(
                    address, 'PUT', '/v1/customers/b', b'{}', timeout_s=20.0
                )
                self.assertIn(answer.status, (503, 504))
                answer = await system.send_request(address, 'GET', '/healthz')
                self.assertEqual(200, answer.status)

        self.run_with(scenario, control=1, entries=2)


class TestEvacuations(test_daemons.DaemonTest):
    """Orders of the command line outlast the leader and are shown."""

    def test_begin_and_end_through_fail_over(self) -> None:
        async def scenario(cluster: system.System) -> None:
            answer = await cluster.operate('PUT', '/v1/evacuations/b', {})
            self.assertEqual(400, answer.status)
            answer = await cluster.operate('PUT', '/v1/evacuations/a%20b')
            self.assertEqual(422, answer.status)
            answer = await cluster.operate('PUT', '/v1/evacuations/b')
            self.assertEqual(200, answer.status)
            first = json.loads(answer.body)
            self.assertEqual(
                ('b', 'operator', 0, []),
                (
                    first['zone'],
                    first['requester'],
                    first['runs'],
                    first['affected_customers'],
                ),
            )
            (await cluster.leader()).kill()
            await cluster.wait_voters(2)
            again = await cluster.operate('PUT', '/v1/evacuations/b')
            self.assertEqual(first, json.loads(again.body))
            server = ','.join(cluster.entry_http)
            text = await self.command(server, 'get', 'evacuations')
            self.assertRegex(text, r'(?m)^b +\d+s +operator +0$')
            text = await self.command(server, 'status')
            self.assertIn('EVACUATED     b (0 runs)', text)
            text = await self.command(server, 'evacuate', 'c')
            self.assertIn('zone c evacuated, 0 runs remain', text)
            for _ in range(2):
                await self.command(server, 'evacuate', 'b', '--end')

            async def entry_knows() -> bool:
                text = cluster.entries[0].log.read_text()
                return (
                    'event=evacuated_zones zones="b,c"' in text
                    and 'event=evacuated_zones zones=c' in text
                )

            await system.wait_for(entry_knows, 'zones at the entry')
            found = await cluster.get('/v1/evacuations')
            self.assertEqual(['c'], [item['zone'] for item in found['items']])

        self.run_with(scenario, entries=1)

    async def command(self, server: str, *arguments: str) -> str:
        """Runs `banyan` and returns its output; it must succeed."""
        completed = await subprocess.run(
            [
                sys.executable,
                '-m',
                'banyantrack.cli.operator',
                '--server',
                server,
                *arguments,
            ],
            stdout=subprocess.PIPE,
            check=True,
        )
        return completed.stdout.decode()


class TestHelp(testtools.TestCase):
    """Completion of the command line."""

    def test_completion_lists_all_commands(self) -> None:
        from banyantrack.cli import completion
        from banyantrack.cli import operator

        script = completion.bash(operator.build_parser())
        for name in operator.COMMANDS:
            self.assertIn(f'{name}) words=', script)
