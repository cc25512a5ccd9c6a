"""Tests of tasks that crash the executors that start them."""

from __future__ import annotations

import curio

from banyantrack.report import explain
from banyantrack.testing import fake_executor
from banyantrack.testing import platform_system
from banyantrack.tests import test_platform

JOB = 'a' * 16
CRASHING = {'ms': 150, 'crash': [0]}
ONE = {'count': 1, 'gpu': 1, 'estimatedMs': 150}


class TestShrinkingCapacity(test_platform.PlatformTest):
    """The observer rejects starts beyond a capacity that has shrunk."""

    def test_executor_shrinks_and_grows_under_load(self) -> None:
        async def scenario(system: platform_system.PlatformSystem) -> None:
            (executor,) = system.executors
            jobs = [f'{number:016x}' for number in range(24)]
            for number, job in enumerate(jobs):
                queue = ('urgent', 'usual', 'patient')[number % 3]
                await system.submit(
                    queue, job, ONE, behaviour={'ms': 400 + 50 * number}
                )
                if number == 4:
                    executor.resize(gpu=3)
                if number == 16:
                    system.leader().kill()
            await curio.sleep(fake_executor.SHRINK_GRACE_S)
            self.assertLessEqual(len(executor.running), 3)
            executor.resize(gpu=8)
            for number, job in enumerate(jobs):
                queue = ('urgent', 'usual', 'patient')[number % 3]
                await system.wait_state(queue, job, 'completed', timeout_s=60)

        self.run_with(scenario, executors=1)


class TestCrashingTask(test_platform.PlatformTest):
    """A task that crashes its executors is given up after a few of them."""

    def test_task_crashes_executor_after_executor(self) -> None:
        async def scenario(system: platform_system.PlatformSystem) -> None:
            await system.submit('usual', JOB, ONE, behaviour=CRASHING)
            await system.wait_state('usual', JOB, 'failed', timeout_s=30)
            crashes = system.observer.crashes
            self.assertTrue(2 <= crashes[f'{JOB}.0.0.0'] <= 3, crashes)

        self.run_with(scenario)

    def test_count_of_crashes_outlives_leaders(self) -> None:
        async def scenario(system: platform_system.PlatformSystem) -> None:
            await system.submit('usual', JOB, ONE, behaviour=CRASHING)
            task = f'{JOB}.0.0.0'
            killed = 0
            while await system.state('usual', JOB) != 'failed':
                if killed < system.observer.crashes[task] <= 2:
                    killed = system.observer.crashes[task]
                    leader = system.leader()
                    leader.kill()
                    await curio.sleep(0.5)
                    leader.start()
                await curio.sleep(0.05)
            self.assertTrue(killed)
            self.assertTrue(2 <= system.observer.crashes[task] <= 5)

        self.run_with(scenario)

    def test_crashing_gang(self) -> None:
        async def scenario(system: platform_system.PlatformSystem) -> None:
            gang = {'count': 3, 'gpu': 8, 'gang': True, 'estimatedMs': 150}
            behaviour = {
                'ms': 150,
                'gang': 3,
                'need': {'gpu': 8},
                'crash': [0],
            }
            await system.submit('usual', JOB, gang, behaviour=behaviour)
            await system.wait_state('usual', JOB, 'failed', timeout_s=60)
            self.assertLessEqual(system.observer.crashes[f'{JOB}.0.0.0'], 3)

        self.run_with(scenario, executors=5)

    def test_crashing_task_that_lasts(self) -> None:
        async def scenario(system: platform_system.PlatformSystem) -> None:
            lasting = {'count': 2, 'gpu': 1, 'longRunning': True}
            behaviour = CRASHING | {'ms': 60_000}
            await system.submit('usual', JOB, lasting, behaviour=behaviour)
            await system.wait_state('usual', JOB, 'failed', timeout_s=30)
            self.assertLessEqual(system.observer.crashes[f'{JOB}.0.0.0'], 3)

        self.run_with(scenario)

    def test_crashing_task_of_a_later_step(self) -> None:
        async def scenario(system: platform_system.PlatformSystem) -> None:
            steps = ({'count': 1, 'gpu': 1}, {'count': 2, 'dependsOn': [0]})
            behaviour = {'ms': 150, 'crash': [1]}
            await system.submit('usual', JOB, *steps, behaviour=behaviour)
            await system.wait_state('usual', JOB, 'failed', timeout_s=30)
            self.assertLessEqual(system.observer.crashes[f'{JOB}.0.1.1'], 3)

        self.run_with(scenario)

    def test_neighbours_of_a_crashing_task_complete(self) -> None:
        async def scenario(system: platform_system.PlatformSystem) -> None:
            others = [f'{number:016x}' for number in range(6)]
            for number, job in enumerate(others):
                step = {'count': 3, 'gpu': 1, 'estimatedMs': 3000}
                await system.submit('usual', job, step, behaviour={'ms': 3000})
                if number == 2:
                    await system.submit('usual', JOB, ONE, behaviour=CRASHING)
            await system.wait_state('usual', JOB, 'failed', timeout_s=30)
            for job in others:
                await system.wait_state(
                    'usual', job, 'completed', timeout_s=60
                )
            self.assertLessEqual(system.observer.crashes.total(), 3)

        self.run_with(scenario)

    def test_executor_that_crashes_again_and_again_fails_no_job(self) -> None:
        async def scenario(system: platform_system.PlatformSystem) -> None:
            faulty = system.executors[0]
            jobs = [f'{number:016x}' for number in range(6)]
            for job in jobs:
                step = {'count': 3, 'gpu': 1, 'estimatedMs': 800}
                await system.submit('usual', job, step, behaviour={'ms': 800})
            for _ in range(4):
                await curio.sleep(0.7)
                await faulty.restart()
            for job in jobs:
                await system.wait_state(
                    'usual', job, 'completed', timeout_s=60
                )

        self.run_with(scenario)

    def test_explanation_names_the_crash_and_what_decided_it(self) -> None:
        async def scenario(system: platform_system.PlatformSystem) -> None:
            await system.submit('usual', JOB, ONE, behaviour=CRASHING)
            await system.wait_state('usual', JOB, 'failed', timeout_s=30)
            timeline = explain.explain(
                JOB, [process.log for process in system.processes]
            )
            lines = [line.pairs for line in timeline.lines]
            lost = [p for p in lines if p['event'] == 'worker_lost']
            self.assertEqual({'crash'}, {pairs['cause'] for pairs in lost})
            suspected = [p for p in lines if p['event'] == 'crash_suspected']
            self.assertEqual('sole_suspect', suspected[-1]['role'])
            self.assertEqual('true', suspected[-1]['give_up'])

        self.run_with(scenario)
