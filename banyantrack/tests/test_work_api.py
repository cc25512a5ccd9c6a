"""Tests of the reports of workers, across changes of the leader."""

from __future__ import annotations

import curio
import testtools

from banyantrack.core import codec
from banyantrack.daemons import report_spread
from banyantrack.daemons import work_api
from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
from banyantrack.workload import state as state_module


class _FakeReplica:
    """Member that leads."""

    ready = True


class _FakeLeadership:
    """Applies commands to the state at once.

    Args:
        state: The state.

    Attributes:
        commands: Number of commands.
    """

    session = None

    def __init__(self, state: state_module.WorkState) -> None:
        self._state = state
        self.commands = 0

    async def propose(self, command: ttypes.WorkCommand) -> None:
        self.commands += 1
        self._state.apply(command, builders.NOW_MS)


class TestReports(testtools.TestCase):
    """A late report brings nothing back."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state()
        self.lead()

    def lead(self) -> None:
        """Lets a new leader take over, with the state from a snapshot."""
        data = codec.encode(self.state.snapshot())
        self.state.restore(codec.decode(ttypes.WorkSnapshot, data))
        self.leadership = _FakeLeadership(self.state)
        replica = _FakeReplica()
        self.api = work_api.WorkApi(
            replica,
            self.state,
            self.leadership,
            None,
            report_spread.ReportSpread(replica, self.state, 500),
        )

    def report(self, sequence: int, **values: object) -> None:
        """Sends a report of worker `w1`.

        Args:
            sequence: Its sequence.
            **values: Fields of the worker.
        """
        report = ttypes.WorkerReport(
            worker=builders.worker('w1', **values),
            sequence=sequence,
            clock_ms=0,
            remaining_ms=0,
        )
        request = ttypes.ReportRequest(
            report=report, leaving_worker_id='', leaving_incarnation=0
        )
        reply = curio.run(self.api.receive_report, request)
        self.assertTrue(reply.accepted)

    def leave(self, incarnation: int) -> None:
        """Sends the notice of worker `w1` that it ends."""
        request = ttypes.ReportRequest(
            leaving_worker_id='w1', leaving_incarnation=incarnation
        )
        curio.run(self.api.receive_report, request)
        self.assertNotIn('w1', self.state.workers)

    def test_late_report_of_a_worker_that_has_left(self) -> None:
        self.report(1)
        self.leave(1)
        self.report(2)
        self.assertNotIn('w1', self.state.workers)

    def test_late_report_of_a_worker_that_has_left_after_a_change_of_leader(
        self,
    ) -> None:
        self.report(1)
        self.leave(1)
        self.lead()
        self.report(2)
        self.assertNotIn('w1', self.state.workers)

    def test_worker_that_starts_again_after_it_has_left(self) -> None:
        self.report(7)
        self.leave(1)
        self.lead()
        self.report(1, incarnation=2)
        self.assertIn('w1', self.state.workers)

    def test_late_report_of_a_capacity_that_has_shrunk(self) -> None:
        self.report(1)
        self.report(3, accelerators=2)
        self.lead()
        self.report(2)
        self.assertEqual(2, self.state.workers['w1'].accelerators)
        self.report(4)
        self.assertEqual(8, self.state.workers['w1'].accelerators)

    def test_report_without_news_changes_nothing(self) -> None:
        for sequence in range(1, 5):
            self.report(sequence)
        self.assertEqual(1, self.leadership.commands)

    def test_worker_recorded_by_an_earlier_build(self) -> None:
        self.state.apply(
            ttypes.WorkCommand(workers=[builders.worker('w1')]),
            builders.NOW_MS,
        )
        self.report(1, accelerators=2)
        self.assertEqual(2, self.state.workers['w1'].accelerators)

    def test_departures_are_kept_up_to_a_limit(self) -> None:
        gone = ttypes.WorkerState.GONE
        for number in range(state_module.DEPARTURES_LIMIT + 1):
            worker = builders.worker(f'd{number}', state=gone, has_left=True)
            self.state.apply(
                ttypes.WorkCommand(workers=[worker]), builders.NOW_MS
            )
        self.assertFalse(self.state.has_left('d0', 1))
        self.assertTrue(self.state.has_left('d1', 1))
