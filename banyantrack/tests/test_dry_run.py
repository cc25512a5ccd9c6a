"""Tests of explaining where a job would be placed."""

from __future__ import annotations

import copy

import testtools

from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
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
