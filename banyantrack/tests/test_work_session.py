"""Tests of the scheduling of jobs during one leadership term."""

from __future__ import annotations

import testtools

from banyantrack.core import clock
from banyantrack.core import metrics
from banyantrack.daemons import work_session
from banyantrack.generated.settings import ttypes as settings
from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
from banyantrack.workload import crashes
from banyantrack.workload import layout
from banyantrack.workload import worker_client

Silence = worker_client.Silence


class _FakeReplica:
    """Member that leads.

    Attributes:
        lease: Whether its lease holds.
    """

    ready = True
    is_leader = True

    def __init__(self) -> None:
        self.term = 3
        self.lease = True

    def lease_holds(self) -> bool:
        """Whether no other leader can exist."""
        return self.lease


class _FakeLink:
    """Link to a worker that has crashed.

    Attributes:
        record: The worker.
        begun: Jobs whose starts were sent.
        contact_loss: Calls that were refused.
        started_s: Steady time at which the worker confirmed the starts; None
            if it did not.
    """

    was_reached = True

    def __init__(self, record: ttypes.WorkerRecord, *begun: str) -> None:
        self.record = record
        self.begun = begun
        self.started_s: float | None = clock.steady_s()
        self.contact_loss = crashes.ContactLoss(clock.steady_s())
        for silence in (Silence.CLOSED, Silence.REFUSED):
            self.contact_loss.note(silence, clock.steady_s())

    def may_have_begun(self, key: layout.TaskId, _: int) -> bool:
        return key.job_id in self.begun

    def started_at_s(self, *_: object) -> float | None:
        return self.started_s


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
                remote_factor=3.0,
                stop_ms=200,
                upkeep_s=2.0,
                preemption='least-loss',
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


class TestSuspects(SessionTest):
    """Only what may have crashed a worker is a suspect."""

    def roles(
        self, *begun: str, restarted: bool = True, confirmed: bool = True
    ) -> dict[str, int]:
        """Crashes the worker; returns roles by job.

        Args:
            begun: Jobs whose starts were sent.
            restarted: Whether another process has replaced the worker.
            confirmed: Whether the worker has confirmed the starts.
        """
        link = _FakeLink(self.state.workers['w1'], *begun)
        if not confirmed:
            link.started_s = None
        self.session._links['w1'] = link
        for name in 'ab':
            builders.submit(self.state, builders.job(name))
        builders.start(self.state, builders.plan(self.state))
        if restarted:
            successor = builders.worker('w1', incarnation=2)
            self.state.apply(
                ttypes.WorkCommand(workers=[successor]), builders.NOW_MS
            )
        loss = self.session._assess_loss(link)
        self.assertIs(crashes.LossCause.CRASH, loss.cause)
        return {run.task.job_id: role for run, role in loss.roles.items()}

    def test_start_that_was_never_sent(self) -> None:
        sole = ttypes.CrashRole.SOLE_SUSPECT
        self.assertEqual({'a': sole}, self.roles('a'))

    def test_start_that_was_not_confirmed(self) -> None:
        # The link may have reset the connection, and something else have
        # crashed the worker.
        self.assertEqual(
            {'a': ttypes.CrashRole.SUSPECT}, self.roles('a', confirmed=False)
        )

    def test_worker_that_refuses_and_has_no_successor_yet(self) -> None:
        # A cut may refuse connections too, so this is no proof of a crash.
        self.assertEqual(
            {'a': ttypes.CrashRole.SUSPECT}, self.roles('a', restarted=False)
        )


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
