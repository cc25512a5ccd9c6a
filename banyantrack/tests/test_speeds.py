"""Tests of learned worker speeds and of placement by them."""

from __future__ import annotations

import math
import random
import statistics

import testtools

from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
from banyantrack.workload import layout
from banyantrack.workload import speed_placement
from banyantrack.workload import speeds as speeds_module

RUN_MS = 2000.0
SPEEDS = {
    f'w{number}': (0.625, 1.0, 1.667)[number % 3] for number in range(24)
}


class Traffic:
    """Feeds progress of gangs to speeds, as workers report it.

    Args:
        speeds: Receives the progress.
        true_speeds: Speed of each worker.
        seed: Seed of the placement, of the errors and of the report times.
    """

    def __init__(
        self,
        speeds: speeds_module.WorkerSpeeds,
        true_speeds: dict[str, float],
        seed: int = 0,
    ) -> None:
        self.speeds = speeds
        self.true_speeds = dict(true_speeds)
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self._jobs = 0

    def run_gang(self, *workers: str, gang: bool = True) -> None:
        """Runs a gang with a member on each worker to its end."""
        self._jobs += 1
        group = layout.GroupKey(f'{self._jobs:016x}', 0, 0)
        # The declared run time is wrong by the same factor for all members.
        work_s = RUN_MS / 1000 * self.rng.lognormvariate(0, 0.35)
        times_s = {
            worker: work_s
            * self.rng.lognormvariate(0, 0.15)
            / self.true_speeds[worker]
            for worker in workers
        }
        began_s = self.now_s
        phases_s = {worker: self.rng.random() for worker in workers}
        for second in range(math.ceil(max(times_s.values()))):
            for index, worker in enumerate(workers):
                at_s = began_s + second + phases_s[worker]
                percent = int(100 * (at_s - began_s) / times_s[worker])
                if not gang and percent >= 100:
                    continue
                self.report(worker, group, index, percent, at_s, began_s)
        self.now_s = began_s + max(times_s.values())

    def report(
        self,
        worker: str,
        group: layout.GroupKey,
        index: int,
        percent: float,
        at_s: float,
        began_s: float | None,
        incarnation: int = 0,
    ) -> None:
        """Reports the progress of one member."""
        run = layout.RunId(layout.TaskId(*group, index), 1)
        sample = speeds_module.RunSample(
            run,
            gang=True,
            percent=min(percent, 100),
            expected_ms=RUN_MS,
            began_s=lambda: began_s,
        )
        self.speeds.observe(
            worker,
            speeds_module.samples([sample]),
            at_s,
            incarnation=incarnation,
        )

    def run_rounds(self, rounds: int) -> None:
        """Runs one member on each worker in each round, in gangs of four."""
        for _ in range(rounds):
            names = list(self.true_speeds)
            self.rng.shuffle(names)
            for first in range(0, len(names), 4):
                self.run_gang(*names[first : first + 4])
            self.speeds.update(self.now_s)

    def errors(self) -> list[float]:
        """Returns the error of the logarithm of each speed."""
        return [
            math.log(self.speeds.speed(worker) / true_speed)
            for worker, true_speed in self.true_speeds.items()
        ]


class TestLearning(testtools.TestCase):
    def test_two_gangs_tell_the_class_of_a_worker(self) -> None:
        # Guards against learning that is too slow: within ten seconds of
        # traffic a worker runs two to six tasks.
        wrong = total = 0
        for seed in range(5):
            traffic = Traffic(
                speeds_module.WorkerSpeeds(1.5), SPEEDS, seed=seed
            )
            traffic.run_rounds(2)
            self.assertTrue(traffic.speeds.in_use)
            for error in traffic.errors():
                total += 1
                wrong += abs(error) > math.log(1.6) / 2
        self.assertLess(wrong / total, 0.15)

    def test_error_after_six_gangs(self) -> None:
        errors = []
        for seed in range(5):
            traffic = Traffic(
                speeds_module.WorkerSpeeds(1.5), SPEEDS, seed=seed
            )
            traffic.run_rounds(6)
            errors += traffic.errors()
        error = math.sqrt(statistics.fmean(e * e for e in errors))
        self.assertLess(error, 0.15)

    def test_equal_workers_have_no_spread(self) -> None:
        # Guards against placement by noise in a fleet of equal workers.
        for seed in range(5):
            traffic = Traffic(
                speeds_module.WorkerSpeeds(1.5),
                dict.fromkeys(SPEEDS, 1.0),
                seed=seed,
            )
            for _ in range(6):
                traffic.run_rounds(1)
                self.assertLess(traffic.speeds.spread(), 1.35)
                self.assertFalse(traffic.speeds.in_use)

    def test_unknown_worker_has_speed_one(self) -> None:
        speeds = speeds_module.WorkerSpeeds(1.5)
        self.assertEqual(1.0, speeds.speed('w1'))
        speed, sure = speeds.bounds('w1')
        self.assertEqual(1.0, speed)
        self.assertLess(sure, 0.7)

    def test_new_leader_knows_no_speeds_and_learns_them_again(self) -> None:
        # Speeds are soft state of the leader.
        traffic = Traffic(speeds_module.WorkerSpeeds(1.5), SPEEDS)
        traffic.run_rounds(3)
        traffic.speeds = speeds_module.WorkerSpeeds(1.5)
        self.assertFalse(traffic.speeds.in_use)
        self.assertEqual(1.0, traffic.speeds.speed('w0'))
        traffic.run_rounds(2)
        self.assertTrue(traffic.speeds.in_use)

    def test_never_in_use_without_the_setting(self) -> None:
        traffic = Traffic(speeds_module.WorkerSpeeds(), SPEEDS)
        traffic.run_rounds(3)
        self.assertGreater(traffic.speeds.spread(), 2.0)
        self.assertFalse(traffic.speeds.in_use)

    def test_new_incarnation_makes_the_estimate_uncertain(self) -> None:
        # Another process on the host may get another share of its machine.
        traffic = Traffic(speeds_module.WorkerSpeeds(1.5), SPEEDS)
        traffic.run_rounds(6)
        before, sure = traffic.speeds.bounds('w1')
        traffic.speeds.observe('w1', [], traffic.now_s, incarnation=2)
        after, sure_after = traffic.speeds.bounds('w1')
        self.assertAlmostEqual(before, after, 0)
        self.assertLess(sure_after, sure)

    def test_host_that_is_gone_is_forgotten(self) -> None:
        # Guards against a leader that grows with each machine that leaves,
        # and against a lasting group that names such a machine.
        speeds = speeds_module.WorkerSpeeds(1.5)
        traffic = Traffic(speeds, SPEEDS)
        traffic.run_rounds(2)
        group = layout.GroupKey('f' * 16, 0, 0)
        began_s = traffic.now_s
        for second in range(0, 400, 10):
            at_s = began_s + second
            for worker in ('w0', 'w1') if second < 50 else ('w1',):
                traffic.report(
                    worker, group, 0, 5 + second / 5, at_s, began_s - 10
                )
            speeds.update(at_s)
        self.assertEqual(1.0, speeds.speed('w0'))
        self.assertEqual({'w1'}, set(speeds._hosts))

    def test_worker_that_becomes_slow_and_recovers(self) -> None:
        # A worker may become five times slower for some seconds.
        traffic = Traffic(speeds_module.WorkerSpeeds(1.5), SPEEDS)
        traffic.run_rounds(6)
        traffic.true_speeds['w2'] = SPEEDS['w2'] / 5
        for _ in range(3):
            traffic.run_gang('w0', 'w1', 'w2', 'w3')
        self.assertLess(traffic.speeds.speed('w2'), 1.0)
        traffic.true_speeds['w2'] = SPEEDS['w2']
        for _ in range(5):
            traffic.run_gang('w0', 'w1', 'w2', 'w3')
        self.assertGreater(traffic.speeds.speed('w2'), 1.25)


class TestRunVariance(testtools.TestCase):
    """Members on one worker tell how much runs differ by themselves."""

    def feed(self, *percents: int) -> speeds_module.WorkerSpeeds:
        speeds = speeds_module.WorkerSpeeds(1.5)
        for number in range(60):
            group = layout.GroupKey(f'{number:016x}', 0, 0)
            runs = [
                speeds_module.RunSample(
                    layout.RunId(layout.TaskId(*group, index), 1),
                    gang=True,
                    percent=percent,
                    expected_ms=RUN_MS,
                    began_s=lambda: 0.0,
                )
                for index, percent in enumerate(percents)
            ]
            speeds.observe('w1', speeds_module.samples(runs), 1.0)
        return speeds

    def test_like_members_make_estimates_certain_sooner(self) -> None:
        like, unlike = self.feed(44, 45, 44), self.feed(44, 58, 35)
        self.assertLess(like._run_variance, 0.01)
        self.assertGreater(unlike._run_variance, 0.03)

    def test_straggler_is_bounded(self) -> None:
        # Guards against a member that hardly progresses and makes all other
        # observations worthless.
        self.assertLess(
            self.feed(90, 90, 15)._run_variance,
            4 * speeds_module.RUN_VARIANCE + 1e-9,
        )


class TestWrongProgress(testtools.TestCase):
    """Wrong progress changes a speed by one bounded step at most."""

    def setUp(self) -> None:
        super().setUp()
        self.traffic = Traffic(speeds_module.WorkerSpeeds(1.5), SPEEDS)
        self.traffic.run_rounds(4)
        self.before = self.traffic.speeds.speed('w1')

    def feed(self, *percents: float, began: bool = True) -> None:
        now_s = self.traffic.now_s
        group = layout.GroupKey('f' * 16, 0, 0)
        for second, percent in enumerate(percents):
            self.traffic.report(
                'w1',
                group,
                0,
                percent,
                now_s + second + 0.5,
                now_s if began else None,
            )

    def assert_bounded(self) -> None:
        ratio = self.traffic.speeds.speed('w1') / self.before
        self.assertLess(ratio, speeds_module.MAX_STEP)
        self.assertGreater(ratio, 1 / speeds_module.MAX_STEP)

    def test_percent_that_jumps(self) -> None:
        self.feed(99, 99.5, 99.9)
        self.assert_bounded()

    def test_percent_that_falls(self) -> None:
        self.feed(60, 20, 80, 5, 90, 1)
        self.assert_bounded()

    def test_percent_that_stays_0(self) -> None:
        self.feed(*[0] * 20)
        self.assertAlmostEqual(self.before, self.traffic.speeds.speed('w1'), 1)

    def test_percent_that_creeps(self) -> None:
        self.feed(*[4 + second / 10 for second in range(20)])
        self.assert_bounded()

    def test_100_percent_tells_nothing(self) -> None:
        # A member shows 100 until the slowest of its gang is through.
        self.feed(100, 100, 100)
        self.assertAlmostEqual(self.before, self.traffic.speeds.speed('w1'), 1)


class TestPlacement(testtools.TestCase):
    """Placement by speeds of 0.625, 1.0 and 1.667."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state(
            *(
                builders.worker(name, labels=['a', f'r{number // 12}'])
                for number, name in enumerate(SPEEDS)
            )
        )
        queues = [
            builders.queue('urgent', 0, stretch=1.5, objective_ms=250),
            builders.queue('usual', 1),
            builders.queue('patient', 2, objective_ms=3000),
        ]
        config = builders.config(2, queues=queues)
        self.state.apply(ttypes.WorkCommand(config=config), builders.NOW_MS)

    def plan(self, **values: object):
        return builders.plan(self.state, speeds=SPEEDS, **values)

    def speeds_of(self, plan) -> list[float]:
        return sorted(SPEEDS[start.worker_id] for start in plan.starts)

    def submit_urgent(self, count: int, estimated_ms: int = 2100) -> None:
        step = builders.step(
            count=count,
            accelerators=8,
            gang=True,
            same_rack=True,
            estimated_ms=estimated_ms,
        )
        builders.submit(
            self.state, builders.job('a' * 16, step), name='urgent'
        )

    def use(self, name: str, speed: float, accelerators: int = 8) -> None:
        """Occupies all workers of a speed with runs of a queue."""
        count = sum(other == speed for other in SPEEDS.values())
        step = builders.step(
            count=count * 8 // accelerators, accelerators=accelerators
        )
        job = builders.job(f'{int(speed * 1000):016x}', step)
        builders.submit(self.state, job, name=name)
        only = {worker for worker, s in SPEEDS.items() if s == speed}
        plan = builders.plan(
            self.state,
            speeds=SPEEDS,
            penalties={w: 5.0 for w in SPEEDS if w not in only},
        )
        started = {start.worker_id for start in plan.starts}
        self.assertEqual(only, started)
        builders.start(self.state, plan)

    def test_urgent_gang_avoids_slow_workers(self) -> None:
        # Guards against urgent jobs that start at once on workers on which
        # they cannot be in time.
        self.submit_urgent(3)
        self.assertEqual([1.0] * 3, self.speeds_of(self.plan()))

    def test_urgent_gang_that_has_waited_gets_fast_workers(self) -> None:
        self.submit_urgent(3)
        plan = self.plan(now_ms=builders.NOW_MS + 1000)
        self.assertEqual([1.667] * 3, self.speeds_of(plan))

    def test_members_run_on_workers_of_similar_speed(self) -> None:
        # Guards against fast workers that are occupied for as long as the
        # slow ones of their gang.
        step = builders.step(
            count=5,
            accelerators=8,
            gang=True,
            same_rack=True,
            estimated_ms=7000,
        )
        self.use('usual', 0.625, 4)
        builders.submit(self.state, builders.job('b' * 16, step))
        speeds = self.speeds_of(self.plan())
        self.assertEqual(5, len(speeds))

    def test_patient_work_takes_slow_workers_first(self) -> None:
        step = builders.step(count=64)
        builders.submit(
            self.state, builders.job('c' * 16, step), name='patient'
        )
        self.assertEqual([0.625] * 64, self.speeds_of(self.plan()))

    def test_patient_work_uses_all_workers(self) -> None:
        # Guards against workers that are idle while work is pending.
        step = builders.step(count=24 * 8)
        builders.submit(
            self.state, builders.job('c' * 16, step), name='patient'
        )
        self.assertEqual(24 * 8, len(self.plan().starts))

    def test_urgent_gang_preempts_on_fast_workers(self) -> None:
        # Guards against a late start on idle slow workers while a stop on
        # fast ones is in time.
        self.use('patient', 1.0)
        self.use('patient', 1.667)
        self.submit_urgent(2)
        plan = self.plan(now_ms=builders.NOW_MS + 300)
        self.assertEqual([], plan.starts)
        self.assertEqual(2, len(plan.stops))
        self.assertGreaterEqual(
            min(SPEEDS[stop.worker_id] for stop in plan.stops), 1.0
        )

    def test_late_urgent_gang_starts_on_slow_workers(self) -> None:
        # Once it is late everywhere, it waits for nothing.
        self.use('urgent', 1.0)
        self.use('urgent', 1.667)
        self.submit_urgent(2)
        plan = self.plan(now_ms=builders.NOW_MS + 6000)
        self.assertEqual([0.625] * 2, self.speeds_of(plan))

    def test_guaranteed_gang_waits_a_bounded_time(self) -> None:
        # Guaranteed jobs must begin within about three seconds.
        self.use('urgent', 1.0)
        self.use('urgent', 1.667)
        step = builders.step(count=2, accelerators=8, estimated_ms=20_000)
        builders.submit(
            self.state,
            builders.job('a' * 16, step),
            name='urgent',
            customer='pickers',
        )
        plan = self.plan(
            now_ms=builders.NOW_MS
            + int(speed_placement.GUARANTEED_WAIT_MS)
            + 1
        )
        self.assertEqual(2, len(plan.starts))

    def test_guaranteed_gang_that_no_longer_waits_prefers_fast_workers(self):
        # Guards against a start on slow workers, on which it is late, while
        # faster ones are free.
        self.submit_urgent(2, estimated_ms=20_000)
        plan = self.plan(
            now_ms=builders.NOW_MS
            + int(speed_placement.GUARANTEED_WAIT_MS)
            + 100
        )
        self.assertEqual([1.0] * 2, self.speeds_of(plan))

    def test_unknown_workers_come_after_known_ones(self) -> None:
        # A worker of unknown speed is slow in one of three cases.
        self.submit_urgent(3)
        plan = self.plan(
            sure_speeds={w: 0.64 for w, s in SPEEDS.items() if s == 1.0}
        )
        self.assertEqual([1.667] * 3, self.speeds_of(plan))

    def test_without_speeds_placement_is_by_best_fit(self) -> None:
        self.submit_urgent(3)
        plan = builders.plan(self.state)
        workers = [start.worker_id for start in plan.starts]
        self.assertEqual(['w0', 'w1', 'w2'], workers)


class TestFleet(testtools.TestCase):
    def test_gang_remains_until_its_slowest_member(self) -> None:
        # Guards against waiting for a member that shows 100 percent while
        # its gang runs on.
        state = builders.state(builders.worker('w1'), builders.worker('w2'))
        gang = builders.step(count=2, accelerators=8, gang=True)
        builders.submit(state, builders.job('a' * 16, gang))
        builders.start(state, builders.plan(state))
        fleet = builders.fleet(
            state,
            speeds={'w1': 0.5, 'w2': 2.0},
            remaining_ms=lambda run: (
                3000.0 if run.task.worker_id == 'w1' else 0.0
            ),
        )
        runs = [run for worker in fleet for run in worker.runs]
        self.assertEqual([3000.0] * 2, [run.remaining_ms for run in runs])
        self.assertEqual([0.5] * 2, [run.speed for run in runs])
