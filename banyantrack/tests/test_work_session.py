"""Tests of the scheduling of jobs during one leadership term."""

from __future__ import annotations

import testtools

from banyantrack.core import metrics
from banyantrack.daemons import work_session
from banyantrack.generated.settings import ttypes as settings
from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders


class _FakeReplica:
    """Member that leads.

    Attributes:
        lease: Whether its lease holds.
    """

    ready = True

    def __init__(self) -> None:
        self.term = 3
        self.lease = True

    def lease_holds(self) -> bool:
        """Whether no other leader can exist."""
        return self.lease


class SessionTest(testtools.TestCase):
    """Base class: a session on a state with one worker."""

    def setUp(self) -> None:
        super().setUp()
        self.replica = _FakeReplica()
        self.state = builders.state(builders.worker('w1'))
        self.session = work_session.WorkSession(
            self.replica,
            self.state,
            None,
            settings.ControlPlatformSettings(
                remote_factor=3.0, stop_ms=200, upkeep_s=2.0
            ),
            None,
            metrics.Metrics(),
        )


class TestLeads(SessionTest):
    """Orders stop as soon as another member may lead."""

    def test_lease_that_has_run_out(self) -> None:
        # Guards against a member that resumes after a pause and sends orders
        # although others have elected a leader meanwhile.
        self.assertTrue(self.session.leads())
        self.replica.lease = False
        self.assertFalse(self.session.leads())

    def test_later_term(self) -> None:
        # Guards against a session that goes on with its fencing token after
        # its member was elected again.
        self.replica.term += 1
        self.assertFalse(self.session.leads())


class TestShrinkingWorker(SessionTest):
    """A worker whose capacity shrinks gets no start beyond it."""

    def test_start_that_was_placed_before(self) -> None:
        builders.submit(self.state, builders.job('a'))
        (start,) = builders.start(self.state, builders.plan(self.state))
        self.assertTrue(self.session.is_current(start))
        shrunk = builders.worker('w1', accelerators=0)
        self.state.apply(ttypes.WorkCommand(workers=[shrunk]), builders.NOW_MS)
        self.assertFalse(self.session.is_current(start))

    def test_nothing_is_placed_until_it_grows_again(self) -> None:
        for name in 'ab':
            builders.submit(self.state, builders.job(name))
        (first, _) = builders.start(self.state, builders.plan(self.state))
        for accelerators, starts in ((1, 0), (3, 1)):
            worker = builders.worker('w1', accelerators=accelerators)
            self.state.apply(
                ttypes.WorkCommand(workers=[worker]), builders.NOW_MS
            )
            builders.submit(self.state, builders.job('c'))
            planned = builders.plan(self.state)
            self.assertEqual(starts, len(planned.starts))
