"""Tests of run estimates, pacing, upkeep waves and evacuation."""

from __future__ import annotations

import testtools

from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
from banyantrack.workload import capacity
from banyantrack.workload import durations
from banyantrack.workload import evacuation
from banyantrack.workload import layout
from banyantrack.workload import pacing
from banyantrack.workload import progress
from banyantrack.workload import waves


def run_id(index: int) -> layout.RunId:
    return layout.RunId(layout.TaskId('a' * 16, 0, 0, index), 1)


class TestProgress(testtools.TestCase):
    def test_worker_with_stalled_runs_is_slow(self) -> None:
        watch = progress.ProgressWatch()
        for second, percent in enumerate((0, 10, 20, 20)):
            watch.observe('w1', {run_id(0): percent}, float(second))
        self.assertTrue(watch.is_slow('w1', 3.0))
        self.assertFalse(watch.is_slow('w1', 3.0 + progress.SLOW_DURATION_S))

    def test_one_slow_run_of_several_does_not_make_a_worker_slow(self) -> None:
        watch = progress.ProgressWatch()
        for second in range(4):
            percents = {run_id(n): 10 * second for n in range(3)}
            percents[run_id(0)] = min(10 * second, 20)
            watch.observe('w1', percents, float(second))
        self.assertFalse(watch.is_slow('w1', 3.0))

    def test_run_that_waits_for_its_gang_is_not_slow(self) -> None:
        # Guards against a penalty for fast workers: a member of a gang shows
        # 100 percent until the slowest one is through.
        watch = progress.ProgressWatch()
        for second, percent in enumerate((0, 45, 90, 100, 100)):
            watch.observe('w1', {run_id(0): percent}, float(second))
        self.assertFalse(watch.is_slow('w1', 4.0))

    def test_constant_rate_is_not_slow(self) -> None:
        watch = progress.ProgressWatch()
        for second in range(8):
            watch.observe('w1', {run_id(0): second}, float(second))
        self.assertFalse(watch.is_slow('w1', 7.0))


class TestDurations(testtools.TestCase):
    def expected_run_time_ms(
        self, declared: list[int], observed: list[int]
    ) -> float:
        learned = durations.LearnedDurations()
        state = builders.state()
        builders.submit(state, builders.job('a' * 16))
        record = state.jobs['a' * 16]
        for estimate, observed_ms in zip(declared, observed, strict=True):
            step = builders.step(estimated_ms=estimate)
            learned.observe(record, step, observed_ms)
        return learned.expected_ms(record, builders.step(estimated_ms=500))

    def test_useless_estimates_yield_the_typical_run_time(self) -> None:
        declared = [200, 8000, 400, 9000, 300, 7000] * 10
        expected = self.expected_run_time_ms(declared, [2000] * 60)
        self.assertTrue(1500 < expected < 2500, expected)

    def test_accurate_estimates_are_used(self) -> None:
        declared = [200, 8000, 400, 9000, 300, 7000] * 10
        expected = self.expected_run_time_ms(declared, declared)
        self.assertTrue(450 < expected < 550, expected)


class TestPacing(testtools.TestCase):
    def test_filling_tasks_are_suspended_and_resumed_in_steps(self) -> None:
        pacer = pacing.Pacer()
        self.assertTrue(pacer.observe('w1', 0.9, 0.0))
        self.assertEqual(0, pacer.percent('w1'))
        self.assertFalse(
            pacer.observe('w1', 0.3, pacing.RESUME_STEP_INTERVAL_S / 2)
        )
        self.assertTrue(
            pacer.observe('w1', 0.3, pacing.RESUME_STEP_INTERVAL_S)
        )
        self.assertEqual(pacing.RESUME_STEP_PERCENT, pacer.percent('w1'))


class TestWaves(testtools.TestCase):
    def plan(
        self,
        state,
        *,
        begin_pending=(),
        absent=0,
        now_ms=builders.NOW_MS,
    ) -> waves.WavePlan:
        fleet = capacity.Fleet(
            state,
            stopping=(),
            usable=lambda _: True,
            penalty=lambda _: 0.0,
            answered_recently=lambda _: True,
            remaining_ms=lambda _: None,
        )
        return waves.plan_waves(
            state,
            fleet,
            begin_pending=set(begin_pending),
            count_absent=lambda _: absent,
            now_ms=now_ms,
            upkeep_ms=2000,
        )

    def state_with_wave(self, *, at_once: int = 1):
        state = builders.state(builders.worker('w1'), builders.worker('w2'))
        wave = ttypes.Wave(
            number=1,
            machines=['m-w1', 'm-w2'],
            duration_s=20,
            at_once=at_once,
            accepted_ms=0,
            begun=[],
            begun_ms=[],
            state=ttypes.WaveState.RUNNING,
        )
        state.apply(ttypes.WorkCommand(wave=wave), builders.NOW_MS)
        return state

    def test_limit_of_concurrent_upkeeps(self) -> None:
        state = self.state_with_wave()
        self.assertEqual(1, len(self.plan(state).begin))
        self.assertEqual([], self.plan(state, begin_pending=['m-w1']).begin)

    def test_machine_is_in_upkeep_until_its_next_incarnation(self) -> None:
        # The state alone must show this, since a new leader has no other
        # source.
        state = self.state_with_wave()
        begun = ttypes.WaveBegun(number=1, machine='m-w1')
        state.apply(ttypes.WorkCommand(begun=[begun]), builders.NOW_MS)
        self.assertEqual([], self.plan(state).begin)
        back = builders.worker(
            'next', machine='m-w1', incarnation=builders.NOW_MS + 2000
        )
        state.apply(ttypes.WorkCommand(workers=[back]), builders.NOW_MS)
        self.assertEqual([(1, 'm-w2')], self.plan(state).begin)

    def test_machine_that_never_returns_does_not_block_a_wave(self) -> None:
        state = self.state_with_wave()
        begun = ttypes.WaveBegun(number=1, machine='m-w1')
        state.apply(ttypes.WorkCommand(begun=[begun]), builders.NOW_MS)
        later_ms = builders.NOW_MS + 60_000
        self.assertEqual(1, len(self.plan(state, now_ms=later_ms).begin))

    def test_machine_is_emptied_before_upkeep(self) -> None:
        state = self.state_with_wave(at_once=2)
        builders.submit(state, builders.job('a' * 16))
        run = builders.start(state, builders.plan(state))[0]
        plan = self.plan(state)
        self.assertEqual(
            [run.worker_id], [s.task.worker_id for s in plan.stops]
        )
        self.assertEqual(1, len(plan.begin))

    def test_stops_respect_allowed_absences(self) -> None:
        state = self.state_with_wave(at_once=2)
        long_running_step = builders.step(
            count=2, accelerators=8, long_running=True, may_miss=1
        )
        builders.submit(state, builders.job('a' * 16, long_running_step))
        builders.start(state, builders.plan(state))
        self.assertEqual(1, len(self.plan(state).stops))
        self.assertEqual([], self.plan(state, absent=1).stops)

    def test_wave_is_complete_once_all_have_begun(self) -> None:
        state = self.state_with_wave()
        begun = [
            ttypes.WaveBegun(number=1, machine=machine)
            for machine in ('m-w1', 'm-w2')
        ]
        state.apply(ttypes.WorkCommand(begun=begun), builders.NOW_MS)
        self.assertEqual([1], self.plan(state).completed)


class TestRemainingTime(testtools.TestCase):
    def test_remaining_time_follows_the_mean_rate(self):
        watch = progress.ProgressWatch()
        run = layout.RunId(layout.TaskId('a' * 16, 0, 0, 0), 1)
        watch.observe('w1', {run: 10}, 1.0)
        self.assertIsNone(watch.remaining_ms('w1', run, 1.0))
        watch.observe('w1', {run: 30}, 2.0)
        self.assertAlmostEqual(3500.0, watch.remaining_ms('w1', run, 2.0))
        self.assertAlmostEqual(3000.0, watch.remaining_ms('w1', run, 2.5))
        self.assertIsNone(watch.remaining_ms('w2', run, 2.0))


class TestEvacuation(testtools.TestCase):
    def is_evacuated(
        self,
        remaining_ms: float,
        worker_remaining_ms: float,
        saves_progress: bool,
    ) -> bool:
        return evacuation.must_evacuate(
            remaining_ms=remaining_ms,
            worker_remaining_ms=worker_remaining_ms,
            checkpointable=saves_progress,
        )

    def test_run_that_ends_in_time_is_not_stopped(self) -> None:
        self.assertFalse(self.is_evacuated(1500, 2000, False))
        self.assertFalse(self.is_evacuated(1500, 2000, True))

    def test_run_without_checkpoints_is_stopped_at_once(self) -> None:
        self.assertTrue(self.is_evacuated(8000, 2000, False))

    def test_checkpointable_run_is_stopped_just_before_the_end(self) -> None:
        self.assertFalse(self.is_evacuated(8000, 2000, True))
        self.assertTrue(self.is_evacuated(8000, 900, True))
