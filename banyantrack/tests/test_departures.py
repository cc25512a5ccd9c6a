"""Tests of notices that a worker leaves, which name no incarnation."""

from __future__ import annotations

import curio
import testtools

from banyantrack.daemons import departures
from banyantrack.testing import work_simulation as simulation

Fate = simulation.Fate


class DepartureTest(testtools.TestCase):
    """Base class: a task of 20 s runs on one of two executors."""

    def run_with_task(
        self,
        scenario: simulation.Scenario,
        *,
        state: str = 'ready',
    ) -> None:
        """Runs a scenario; afterwards the task must complete.

        Args:
            scenario: Receives the group.
            state: State that the executor reports while the task runs.
        """

        async def main(group: simulation.Group) -> None:
            executor, spare = group.executors
            await spare.crash()
            group.submit('a', accelerators=8, work_ms=20_000)
            await curio.sleep(1.0)
            self.assertEqual(['a.0.0.0'], executor.running)
            executor.state = state
            group.record(executor.record)
            await spare.open_again()
            group.record(spare.record)
            await curio.sleep(0.5)
            await scenario(group)
            await curio.sleep(60)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed'}, set(group.job_states()))

        simulation.run(main, executors=2)


class TestLateNotices(DepartureTest):
    """A late notice concerns an earlier incarnation and changes nothing."""

    def check_late(self, state: str) -> None:
        """Passes on a late notice while a task runs on the executor."""

        async def scenario(group: simulation.Group) -> None:
            executor = group.executors[0]
            await group.notify_departure(executor)
            await curio.sleep(departures.WATCH_DURATION_S + 0.5)
            self.assertIn(executor.name, group.state.workers)
            self.assertEqual([('a.0.0.0', 1)], group.observer.starts)

        self.run_with_task(scenario, state=state)

    def test_executor_that_runs_again(self) -> None:
        # Guards against a task that runs twice: a member that stood still
        # passed on the notice of the executor's earlier life, and the runs
        # of its next one were recorded as lost.
        self.check_late('ready')

    def test_executor_that_drains_again(self) -> None:
        self.check_late('draining')

    def test_executor_gets_work_again(self) -> None:
        # Guards against an executor that is out of use in its whole life.
        async def scenario(group: simulation.Group) -> None:
            executor, spare = group.executors
            await group.notify_departure(executor)
            await curio.sleep(departures.WATCH_DURATION_S + 0.5)
            for job in 'bc':
                group.submit(job, accelerators=8)
            await curio.sleep(30)
            self.assertEqual({'completed': 3}, group.job_states())
            group.submit('d', count=2, accelerators=8, work_ms=5000)
            await curio.sleep(2)
            self.assertEqual(1, len(executor.running))
            self.assertEqual(1, len(spare.running))

        self.run_with_task(scenario)

    def test_executor_that_a_cut_hides_meanwhile(self) -> None:
        # A cut may refuse connections, as the host of an ended process does.
        async def scenario(group: simulation.Group) -> None:
            executor = group.executors[0]
            group.fate = lambda called, _: (
                Fate.REFUSED if called is executor else Fate.ANSWERED
            )
            await group.notify_departure(executor)
            await curio.sleep(departures.WATCH_DURATION_S + 0.5)
            group.fate = lambda *_: Fate.ANSWERED
            self.assertEqual([('a.0.0.0', 1)], group.observer.starts)

        self.run_with_task(scenario)


class TestDepartures(DepartureTest):
    """An executor that ends as planned gives up its runs at once."""

    def test_task_starts_elsewhere(self) -> None:
        async def scenario(group: simulation.Group) -> None:
            executor = group.executors[0]
            record = executor.record
            await group.notify_departure(executor)
            await curio.sleep(0.02)
            await executor.crash()
            await curio.sleep(0.3)
            self.assertEqual(2, len(group.observer.starts))
            # A late report of it brings nothing back, whoever leads.
            self.assertNotIn(executor.name, group.state.workers)
            await group.elect()
            self.assertTrue(
                group.state.has_left(record.worker_id, record.incarnation)
            )

        self.run_with_task(scenario, state='draining')

    def test_notice_that_is_repeated(self) -> None:
        # It is sent again, to other members, until one acknowledges it.
        async def scenario(group: simulation.Group) -> None:
            executor = group.executors[0]
            for _ in range(4):
                await group.notify_departure(executor)
                await curio.sleep(1.0)
            self.assertIn(executor.name, group.state.workers)
            await executor.crash()
            await curio.sleep(0.3)
            self.assertNotIn(executor.name, group.state.workers)

        self.run_with_task(scenario, state='draining')
