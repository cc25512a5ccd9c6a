"""Tests of explaining where a job would be placed."""

from __future__ import annotations

import copy
import io
import json
import pathlib
import tempfile
from unittest import mock

import curio
import testtools

from banyantrack.cli import client as client_module
from banyantrack.cli import operator
from banyantrack.core import findings
from banyantrack.core import states
from banyantrack.daemons import dry_run_api
from banyantrack.daemons import operator_api
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.replication import ttypes as replication
from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
from banyantrack.tests import test_work_session
from banyantrack.workload import dry_run
from banyantrack.workload import durations
from banyantrack.workload import planner as planner_module
from banyantrack.workload import run_times
from banyantrack.workload import state as state_module


class TestDryRun(testtools.TestCase):
    """A round of the planner with one more job."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state(
            builders.worker('w1'), builders.worker('w2', labels=['b', 'r2'])
        )
        self.model = run_times.RunTimes()
        self.planner = planner_module.Planner(
            self.state, self.model, remote_factor=3.0, stop_ms=200
        )

    def occupy(self) -> None:
        """Fills all workers with less urgent work of 4 s."""
        step = builders.step(count=2, accelerators=8, estimated_ms=4000)
        builders.submit(self.state, builders.job('busy', step), name='patient')
        builders.start(self.state, builders.plan(self.state))

    def explain(
        self, *steps: ttypes.Step, name: str = 'usual', passed_ms: int = 0
    ) -> dict[str, object]:
        queue = next(q for q in self.state.config.queues if q.name == name)
        now_ms = builders.NOW_MS + passed_ms
        return dry_run.explain(
            self.state,
            state_module.new_record(
                builders.job('new', *steps), queue, 'growers', now_ms
            ),
            self.planner,
            self.model,
            builders.fleet,
            now_ms=now_ms,
            blocked={},
            stopping=(),
            approvals={},
        )

    def test_free_worker(self) -> None:
        # Guards against an explanation that differs from the decision.
        document = self.explain(builders.step(accelerators=8))
        step = document['steps'][0]
        builders.submit(
            self.state,
            builders.job('new', builders.step(accelerators=8)),
        )
        starts = builders.plan(self.state).starts
        self.assertEqual({starts[0].worker_id: 1}, step['starts'])
        self.assertEqual(
            {'low': 0, 'expected': 0, 'high': 0}, step['start_ms']
        )
        self.assertEqual((1, 2), (step['position'], step['candidates']))

    def test_wait_for_capacity(self) -> None:
        # Guards against a wait without its cause, its workers or its range.
        self.occupy()
        document = self.explain(
            builders.step(accelerators=4, required_label='b'), passed_ms=1000
        )
        step = document['steps'][0]
        self.assertEqual({}, step['starts'])
        self.assertEqual('room', step['waits_for'])
        self.assertEqual(
            {
                'lacks capacity': {'workers': 1, 'named': ['w2']},
                'lacks the required label': {'workers': 1, 'named': ['w1']},
            },
            step['rejected'],
        )
        start_ms = step['start_ms']
        self.assertLess(start_ms['low'], start_ms['expected'])
        self.assertLess(start_ms['expected'], start_ms['high'])
        self.assertAlmostEqual(3200, start_ms['expected'], delta=300)

    def test_preemption(self) -> None:
        # Guards against stops that an operator learns of only afterwards.
        self.occupy()
        document = self.explain(
            builders.step(accelerators=4), name='urgent', passed_ms=100
        )
        step = document['steps'][0]
        self.assertEqual('room-being-freed', step['waits_for'])
        self.assertEqual(['busy'], [s['task'][:4] for s in step['stops']])

    def test_steps_that_depend_on_others(self) -> None:
        # Guards against a later step that seems to start at once.
        document = self.explain(builders.step(), builders.step(depends_on=[0]))
        self.assertEqual(
            [True, False], [step['ready'] for step in document['steps']]
        )

    def test_never_fits(self) -> None:
        # Guards against an expected start of a job that cannot run.
        document = self.explain(builders.step(accelerators=64))
        self.assertEqual(
            {'low': None, 'expected': None, 'high': None},
            document['steps'][0]['start_ms'],
        )

    def test_setting_off(self) -> None:
        # Guards against a tool that needs the setting.
        self.model = durations.LearnedDurations()
        self.occupy()
        start_ms = self.explain(builders.step())['steps'][0]['start_ms']
        self.assertIsNone(start_ms['low'])
        self.assertGreater(start_ms['expected'], 0)

    def test_state_is_unchanged(self) -> None:
        # Guards against a dry run that submits, starts, stops or learns.
        self.occupy()
        busy = self.state.jobs['busy']
        self.model.observe(busy, busy.job.steps[0], 4100)
        self.model.observe(busy, busy.job.steps[0], 3900)
        before = copy.deepcopy(self.state.snapshot())
        generation = self.state.generation
        learned = copy.deepcopy(self.model.snapshot())
        values = copy.deepcopy(vars(self.planner._values))
        for name in ('urgent', 'usual', 'patient'):
            self.explain(builders.step(count=3, accelerators=8), name=name)
        self.assertEqual(before, self.state.snapshot())
        self.assertEqual(generation, self.state.generation)
        self.assertEqual(learned, self.model.snapshot())
        self.assertEqual(values, vars(self.planner._values))
        self.assertNotIn('new', self.state.jobs)
        self.assertNotIn('new', self.model._jobs)


REQUEST = {
    'queue': 'usual',
    'customer': 'growers',
    'job': {'spec': 'work', 'steps': [{'count': 2, 'gpu': 4}]},
}


class _NamedSessionTest(test_work_session.SessionTest):
    """Base class: a session of a member with a name."""

    def setUp(self) -> None:
        super().setUp()
        self.replica.member = replication.Member(name='c1')


class TestRequest(_NamedSessionTest):
    """The operators' request, from the body to the answer."""

    def explain(self, document: object) -> dict[str, object]:
        return dry_run_api.explain(
            self.session, self.state, json.dumps(document).encode()
        )

    def test_answer(self) -> None:
        # Guards against a request that is not answered by the session.
        before = copy.deepcopy(self.state.snapshot())
        document = self.explain(REQUEST)
        self.assertEqual(0, document['view_age_ms'])
        self.assertEqual(self.session.name, document['member'])
        # Without a link, the only worker is not usable.
        rejected = document['steps'][0]['rejected']
        self.assertEqual(['not usable'], list(rejected))
        self.assertEqual(before, self.state.snapshot())

    def test_invalid_requests(self) -> None:
        # Guards against a request that ends the leader's connection.
        builders.submit(self.state, builders.job('known'))
        for document in (
            None,
            [],
            {},
            REQUEST | {'queue': 'other'},
            REQUEST | {'queue': ['usual']},
            REQUEST | {'customer': 'other'},
            REQUEST | {'customer': {}},
            REQUEST | {'id': 'known'},
            REQUEST | {'id': 'a/b'},
            REQUEST | {'job': None},
            REQUEST | {'job': {'steps': 5}},
            REQUEST | {'job': {'steps': [{'count': -1}]}},
        ):
            self.assertRaises(findings.FindingsError, self.explain, document)
        self.assertRaises(
            findings.FindingsError,
            dry_run_api.explain,
            self.session,
            self.state,
            b'{',
        )

    def answer(self, api: operator_api.OperatorApi) -> cluster.OperatorReply:
        request = cluster.OperatorRequest(
            method='POST',
            target='/v1/explain',
            headers={},
            body=json.dumps(REQUEST).encode(),
        )
        return curio.run(api.answer, request)

    def test_route(self) -> None:
        # Guards against a route that is not served.
        replica = mock.Mock()
        replica.read_barrier = mock.AsyncMock()
        api = operator_api.OperatorApi(replica, None, None, None, None, None)
        self.assertEqual(404, self.answer(api).status)
        api.dry_run = lambda body: dry_run_api.explain(
            self.session, self.state, body
        )
        reply = self.answer(api)
        self.assertEqual(200, reply.status)
        self.assertEqual('usual', json.loads(reply.body)['queue'])


class TestCommand(_NamedSessionTest):
    """The command `banyan explain --dry-run`."""

    def run_command(self, *arguments: str) -> tuple[int, str]:
        """Runs a command on the session; returns exit code and output."""

        def request(
            _: object, method: str, target: str, *, body: bytes
        ) -> client_module.Reply:
            self.assertEqual(('POST', '/v1/explain'), (method, target))
            document = dry_run_api.explain(self.session, self.state, body)
            reply = mock.Mock(status=200)
            reply.document = json.loads(json.dumps(document))
            return reply

        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(
                client_module.OperatorClient, 'request', request
            ),
            mock.patch('sys.stdout', new_callable=io.StringIO) as output,
        ):
            path = pathlib.Path(folder) / 'job.yaml'
            path.write_text(json.dumps(REQUEST))
            code = operator.main(
                ['explain', '--dry-run', '-f', str(path), *arguments]
            )
            return code, output.getvalue()

    def test_table(self) -> None:
        # Guards against an answer that the command cannot show.
        code, text = self.run_command()
        self.assertEqual(states.ExitCode.DONE, code)
        self.assertIn('1 workers: not usable (w1)', text)
        self.assertIn('2 tasks, position 1, start in never', text)

    def test_json(self) -> None:
        # Guards against output that scripts cannot read.
        code, text = self.run_command('-o', 'json')
        self.assertEqual(states.ExitCode.DONE, code)
        self.assertEqual('growers', json.loads(text)['customer'])

    def test_arguments(self) -> None:
        # Guards against a dry run that is taken for a search in logs.
        for arguments in (
            ['explain'],
            ['explain', 'an-id'],
            ['explain', '--dry-run'],
            ['explain', '--dry-run', '-f', 'x', 'an-id'],
            ['explain', 'an-id', 'a.log', '-f', 'x'],
        ):
            with mock.patch('sys.stderr', new_callable=io.StringIO):
                error = self.assertRaises(SystemExit, operator.main, arguments)
            self.assertEqual(states.ExitCode.BAD_INPUT, error.code)
