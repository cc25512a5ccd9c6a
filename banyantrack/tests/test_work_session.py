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


class _ConfirmedLink:
    """Link to a worker that has confirmed its starts at a given time."""

    def __init__(self, started_s: float | None) -> None:
        self.started_s = started_s

    def started_at_s(self, *_: object) -> float | None:
        return self.started_s


class TestSpeeds(testtools.TestCase):
    """Speeds are learned from the progress in answers of workers."""

    def setUp(self) -> None:
        super().setUp()
        self.speeds = {f'w{n}': (0.625, 1.0, 1.667)[n % 3] for n in range(9)}
        self.state = builders.state(*map(builders.worker, self.speeds))
        self.session = self.make_session()

    def make_session(self, spread_min: float = 1.5):
        options = settings.ControlPlatformSettings(
            remote_factor=3.0,
            stop_ms=200,
            upkeep_s=2.0,
            speed_spread_min=spread_min,
        )
        return work_session.WorkSession(
            _FakeReplica(),
            self.state,
            None,
            options,
            None,
            metrics.Metrics(),
        )

    def run_gangs(self, **steps: object) -> None:
        """Places a member on each worker; each reports after a second."""
        now_s = clock.steady_s()
        step = builders.step(
            count=len(self.speeds),
            accelerators=2,
            gang=True,
            max_per_worker=1,
            **steps,
        )
        for number in range(3):
            job = builders.job(f'{number:016x}', step)
            builders.submit(self.state, job)
            for start in builders.start(self.state, builders.plan(self.state)):
                self.session._links[start.worker_id] = _ConfirmedLink(
                    now_s - 1
                )
        self.report(50)

    def report(self, percent: float) -> None:
        for worker_id, speed in self.speeds.items():
            running = tuple(
                worker_client.RunningTask(
                    key, task.run, '', int(percent * speed), None
                )
                for key, task in self.state.live_runs(worker_id, 1)
            )
            reply = worker_client.LeaseReply(
                worker_client.OrderOutcome.DONE, 0, running
            )
            self.session.on_progress(worker_id, reply)

    def update(self) -> None:
        self.session._update_speeds()

    def test_one_report_of_three_gangs(self) -> None:
        self.run_gangs()
        self.update()
        worker = self.state.workers
        slow, _ = self.session._speed_bounds(worker['w0'])
        middle, _ = self.session._speed_bounds(worker['w1'])
        fast, _ = self.session._speed_bounds(worker['w2'])
        self.assertLess(slow, 0.75)
        self.assertAlmostEqual(1.0, middle, 1)
        self.assertGreater(fast, 1.4)
        self.assertTrue(self.session._speeds.in_use)

    def test_disabled_by_default(self) -> None:
        self.session = self.make_session(0.0)
        self.run_gangs()
        self.update()
        self.assertFalse(self.session._speeds.in_use)
        self.assertEqual(0, self.session._speeds.known)

    def test_start_that_is_not_confirmed(self) -> None:
        # Guards against a rate from the start of a gang that has waited for
        # its last member: the first report is the baseline then.
        self.run_gangs()
        self.session = self.make_session()
        self.session._links['w0'] = _ConfirmedLink(None)
        self.report(50)
        self.update()
        self.assertEqual(0, self.session._speeds.known)

    def test_readiness_of_long_running_tasks_tells_no_speed(self) -> None:
        self.run_gangs(long_running=True)
        self.update()
        self.assertEqual(0, self.session._speeds.known)

    def test_worker_that_becomes_slow_is_not_fast_meanwhile(self) -> None:
        self.run_gangs()
        self.update()
        self.session._progress._slow_until_s['w2'] = clock.steady_s() + 3
        speed, _ = self.session._speed_bounds(self.state.workers['w2'])
        self.assertLess(speed, 0.72)
