"""Tests of decisions under demand above capacity, without a network."""

from __future__ import annotations

import statistics

import testtools

from banyantrack.core import documents
from banyantrack.testing import job_model
from banyantrack.testing import work_builders as builders
from banyantrack.workload import contention
from banyantrack.workload import layout
from banyantrack.workload import planner as planner_module
from banyantrack.workload import preemption
from banyantrack.workload import state as state_module

# The target of urgent jobs on days without lost workers.
MIN_URGENT_IN_TIME = 0.9
WHOLE = {'accelerators': 8, 'cpu_milli': 8000}


def _start_all(state: state_module.WorkState) -> None:
    builders.start(state, builders.plan(state))


class NetGainTest(testtools.TestCase):
    """Base class: a planner that weighs gains."""

    def plan(
        self, state: state_module.WorkState, **options: object
    ) -> planner_module.Plan:
        """Runs one round with the policy `net-gain`."""
        options.setdefault('planner', builders.make_planner(state, 'net-gain'))
        return builders.plan(state, **options)

    def stopped(self, plan: planner_module.Plan) -> list[str]:
        """Returns the first letters of the jobs of which runs stop."""
        return sorted(stop.key.job_id[0] for stop in plan.stops)


class TestVictims(NetGainTest):
    """The victims are those whose stop costs least."""

    def test_one_gang_instead_of_one_member_of_each(self) -> None:
        # Guards against choosing a victim for each task by itself, which
        # stops the two gangs that have one member each in the rack.
        places = {
            'w0': ('r1', 'a'),
            'w1': ('r1', 'b'),
            'w2': ('r1', 'c'),
            'w3': ('r1', 'c'),
            'w4': ('r2', 'a'),
            'w5': ('r2', 'b'),
        }
        state = builders.state(
            *(
                builders.worker(name, labels=['k', f'only-{job}', rack])
                for name, (rack, job) in places.items()
            )
        )
        for name in 'abc':
            gang = builders.step(
                count=2, **WHOLE, gang=True, required_label=f'only-{name}'
            )
            builders.submit(state, builders.job(name * 16, gang))
        _start_all(state)
        whole = builders.step(count=2, **WHOLE, gang=True, same_rack=True)
        builders.submit(state, builders.job('u' * 16, whole), name='urgent')
        self.assertEqual(['c', 'c'], self.stopped(self.plan(state)))
        before = self.stopped(builders.plan(state))
        self.assertEqual(['a', 'a', 'b', 'b'], before)

    def test_checkpointed_gang_is_cheaper(self) -> None:
        state = builders.state(*(builders.worker(f'w{n}') for n in range(4)))
        for name, saves in (('a', False), ('b', True)):
            gang = builders.step(
                count=2,
                **WHOLE,
                gang=True,
                checkpointable=saves,
                estimated_ms=20_000,
            )
            builders.submit(state, builders.job(name * 16, gang))
        _start_all(state)
        whole = builders.step(count=2, **WHOLE, gang=True)
        now_ms = builders.NOW_MS + 5000
        builders.submit(
            state, builders.job('u' * 16, whole), name='urgent', now_ms=now_ms
        )
        plan = self.plan(state, now_ms=now_ms)
        self.assertEqual(['b', 'b'], self.stopped(plan))

    def test_nothing_is_stopped_unless_the_gang_fits(self) -> None:
        # Guards against discarding work for a gang that still cannot start.
        state = builders.state(builders.worker('w1'), builders.worker('w2'))
        builders.submit(state, builders.job('a' * 16, builders.step(**WHOLE)))
        _start_all(state)
        gang = builders.step(count=3, **WHOLE, gang=True)
        builders.submit(state, builders.job('u' * 16, gang), name='urgent')
        plan = self.plan(state)
        self.assertEqual([], plan.stops)
        self.assertEqual(
            planner_module.Cause.NOTHING_TO_STOP,
            plan.waiting[layout.GroupKey('u' * 16, 0, 0)].cause,
        )

    def test_all_members_of_a_victim_stop(self) -> None:
        state = builders.state(*(builders.worker(f'w{n}') for n in range(3)))
        gang = builders.step(count=3, **WHOLE, gang=True)
        builders.submit(state, builders.job('a' * 16, gang))
        _start_all(state)
        builders.submit(
            state,
            builders.job('u' * 16, builders.step(**WHOLE)),
            name='urgent',
        )
        self.assertEqual(['a', 'a', 'a'], self.stopped(self.plan(state)))

    def test_run_that_ends_within_the_stop_time_is_not_stopped(self) -> None:
        # Guards against stopping a run that would have freed its capacity
        # sooner than its stop does.
        state = builders.state(builders.worker('w1'))
        builders.submit(state, builders.job('a' * 16, builders.step(**WHOLE)))
        _start_all(state)
        builders.submit(
            state,
            builders.job('u' * 16, builders.step(**WHOLE)),
            name='urgent',
        )
        now_ms = builders.NOW_MS + planner_module.PREEMPTION_DELAY_MS + 1
        plan = self.plan(state, now_ms=now_ms, remaining_ms=100.0)
        self.assertEqual([], plan.stops)
        self.assertEqual(1, len(plan.awaited))
        # A run that stalls before its end seems to end soon all the time.
        now_ms = builders.NOW_MS + contention.FINISH_WAIT_MS
        plan = self.plan(state, now_ms=now_ms, remaining_ms=100.0)
        self.assertEqual(1, len(plan.stops))


class TestGain(NetGainTest):
    """Work is discarded only where that gains more."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state(
            *(builders.worker(f'w{n}') for n in range(3))
        )
        # A gang of three whole workers, and more than any guarantee covers.
        self.gang = builders.step(
            count=3, **WHOLE, gang=True, estimated_ms=20_000
        )
        builders.submit(self.state, builders.job('a' * 16, self.gang))
        _start_all(self.state)

    def urgent(self, now_ms: int, **values: object) -> None:
        """Submits an urgent gang of three workers."""
        step = builders.step(count=3, **WHOLE, gang=True, **values)
        builders.submit(
            self.state,
            builders.job('u' * 16, step),
            name='urgent',
            now_ms=now_ms,
        )

    def test_urgent_job_in_time_preempts(self) -> None:
        self.urgent(builders.NOW_MS)
        plan = self.plan(self.state)
        self.assertEqual(3, len(plan.stops))
        (decision,) = plan.decisions.values()
        self.assertTrue(decision.adopted)
        self.assertGreater(
            decision.gain, contention.MIN_GAIN_RATIO * decision.loss
        )

    def test_urgent_job_that_is_late_anyway_waits(self) -> None:
        # Guards against discarding work for a job that stays late.
        self.urgent(builders.NOW_MS, estimated_ms=2000)
        late_ms = builders.NOW_MS + 6000
        self.assertEqual([], self.plan(self.state, now_ms=late_ms).stops)

    def test_lost_work_above_the_gain_is_kept(self) -> None:
        now_ms = builders.NOW_MS + 19_000
        self.urgent(now_ms)
        plan = self.plan(self.state, now_ms=now_ms)
        self.assertEqual([], plan.stops)
        (decision,) = plan.decisions.values()
        self.assertFalse(decision.adopted)
        self.assertGreaterEqual(
            contention.MIN_GAIN_RATIO * decision.loss, decision.gain
        )

    def test_guarantee_preempts_in_any_case(self) -> None:
        # Guards against weighing the start that a guarantee promises.
        now_ms = builders.NOW_MS + 19_000
        step = builders.step(count=1, **WHOLE)
        builders.submit(
            self.state,
            builders.job('u' * 16, step),
            name='urgent',
            now_ms=now_ms,
        )
        plan = self.plan(self.state, now_ms=now_ms)
        self.assertEqual(3, len(plan.stops))
        late_ms = now_ms + 60_000
        plan = self.plan(self.state, now_ms=late_ms)
        self.assertEqual(3, len(plan.stops))


class TestRepeatedVictims(NetGainTest):
    """A victim is not stopped again and again."""

    def test_other_victim_is_preferred(self) -> None:
        # Guards against two urgent jobs that take turns in stopping one run.
        state = builders.state(builders.worker('w1'), builders.worker('w2'))
        planner = builders.make_planner(state, 'net-gain')
        whole = builders.step(**WHOLE, checkpointable=True)
        for name in 'ab':
            builders.submit(state, builders.job(name * 16, whole))
        _start_all(state)
        builders.submit(
            state,
            builders.job('u' * 16, builders.step(**WHOLE)),
            name='urgent',
        )
        first = self.stopped(self.plan(state, planner=planner))
        self.assertEqual(1, len(first))
        soon_ms = builders.NOW_MS + 1000
        self.assertEqual(first, self.stopped(self.plan(state, now_ms=soon_ms)))
        again = self.plan(state, planner=planner, now_ms=soon_ms)
        self.assertNotEqual(first, self.stopped(again))

    def test_earlier_stop_is_forgotten(self) -> None:
        # Guards against memory that grows with each stop.
        state = builders.state(builders.worker('w1'))
        planner = builders.make_planner(state, 'net-gain')
        builders.submit(state, builders.job('a' * 16, builders.step(**WHOLE)))
        _start_all(state)
        builders.submit(
            state,
            builders.job('u' * 16, builders.step(**WHOLE)),
            name='urgent',
        )
        losses = []
        for now_ms in (
            builders.NOW_MS,
            builders.NOW_MS + 1,
            builders.NOW_MS + 2 + contention.REPEAT_WINDOW_MS,
        ):
            plan = self.plan(state, planner=planner, now_ms=now_ms)
            (decision,) = plan.decisions.values()
            losses.append(decision.loss / decision.discarded)
        self.assertGreater(losses[1], 2 * losses[0])
        self.assertAlmostEqual(losses[0], losses[2], places=3)


class TestSettings(testtools.TestCase):
    def test_choices_are_the_registered_policies(self) -> None:
        # Guards against a valid setting that ends the first session of a
        # leader.
        field = next(
            f
            for f in documents.model('settings').fields(
                'ControlPlatformSettings'
            )
            if f.name == 'preemption'
        )
        self.assertEqual(list(preemption.POLICIES), sorted(field.choices))


class TestContendedSite(testtools.TestCase):
    """The load that the decisions are designed for."""

    SEEDS = range(6)

    def verdicts(self, decision: str) -> list[job_model.Verdict]:
        """Simulates the small site."""
        return [
            job_model.Simulation(
                job_model.SITES['contended-small'],
                seed,
                load=job_model.CONTENDED_LOAD,
                length_s=12.0,
                decision=decision,
            ).run()
            for seed in self.SEEDS
        ]

    def test_customers_are_served_better_than_without_stops(self) -> None:
        # Guards against a decision that refuses stops which urgent jobs need,
        # or that discards more than these gain.
        served = {
            decision: statistics.fmean(
                v.earned - v.price for v in self.verdicts(decision)
            )
            for decision in ('net-gain', 'first-fit', 'earliest-deadline')
        }
        self.assertGreater(served['net-gain'], served['first-fit'])
        self.assertGreater(served['net-gain'], served['earliest-deadline'])

    def test_urgent_jobs_are_in_time(self) -> None:
        in_time = statistics.fmean(
            v.in_time['urgent'] for v in self.verdicts('net-gain')
        )
        self.assertGreaterEqual(in_time, MIN_URGENT_IN_TIME)
