"""Tests of tasks that crash the executors that start them."""

from __future__ import annotations

import curio

from banyantrack.testing import platform_system
from banyantrack.tests import test_platform

JOB = 'a' * 16
NEIGHBOUR = 'b' * 16
CRASHING = {'ms': 150, 'crash': [0]}
ONE = {'count': 1, 'gpu': 1, 'estimatedMs': 150}


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
