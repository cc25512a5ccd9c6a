"""Tests of gangs under leases: commands, events, epochs, overruns."""

from __future__ import annotations

import array
import time
from unittest import mock

import hypothesis
from hypothesis import strategies
import testtools

from banyantrack.core import errors
from banyantrack.core import findings
from banyantrack.daemons import worker_api
from banyantrack.generated.intent import ttypes as intent
from banyantrack.placement import allotments
from banyantrack.placement import gangs
from banyantrack.testing import builders

Action = gangs.Action
AllotState = intent.AllotmentState
Event = intent.JobEvent
Reason = intent.StopReason
State = gangs.TaskState
EPOCH = 7
LEASE_S = 3.0


class GangTest(testtools.TestCase):
    """Base class: one gang with two members on each of two workers."""

    def setUp(self) -> None:
        super().setUp()
        self.now_s = 1000.0
        patcher = mock.patch.object(
            time, 'monotonic', lambda: self.now_s, spec_set=True
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        job = builders.job(members=4, memory_mb=100, checkpointable=True).job
        workers = array.array('H', [0, 0, 1, 1])
        self.status = intent.JobStatus(
            job='j',
            epoch=EPOCH,
            allotment=AllotState.HOLDING,
            reason=Reason.NONE,
            progress_ms=0,
        )
        self.placed = {'j': allotments.Allotment(EPOCH, workers, job, '')}
        self.tracker = self.make()
        self.sequence = 0

    def make(self) -> gangs.GangTracker:
        """Returns a tracker as a new leader creates it."""
        tracker = gangs.GangTracker(
            {'j': self.status}.get,
            self.placed,
            lambda number: f'w{number}',
            lease_s=LEASE_S,
            grace_s=1.0,
        )
        tracker.sync()
        return tracker

    def task(self, state: State, **fields: int) -> gangs.TaskReport:
        """Returns the state of the members on one worker."""
        values = {
            'epoch': EPOCH,
            'progress_ms': 0,
            'saved_ms': 0,
            'memory_mb': 0,
        }
        return gangs.TaskReport('j', state=state, **(values | fields))

    def report(
        self, worker: int, *tasks: gangs.TaskReport
    ) -> list[gangs.TaskCommand]:
        """Sends the next report of a worker; returns the commands to it."""
        self.sequence += 1
        self.tracker.record_report(worker, 1, self.sequence, tasks)
        self.tracker.extend_lease(worker, self.now_s + LEASE_S)
        return self.tracker.commands(worker, tasks)

    def events(self) -> list[tuple[int, int]]:
        """Returns events and reasons since the last call."""
        return [(e.event, e.reason) for e in self.tracker.events()]

    def run_all(self) -> None:
        """Starts the gang on both workers."""
        for worker in (0, 1):
            self.report(worker, self.task(State.HELD))
        self.assertEqual([(Event.STARTED, Reason.NONE)], self.events())
        self.status.allotment = AllotState.RUNNING
        for worker in (0, 1):
            self.report(worker, self.task(State.RUNNING))


class TestStart(GangTest):
    """The gang starts once all members are held."""

    def test_hold_until_all_hold(self) -> None:
        (command,) = self.report(0)
        self.assertEqual(
            (Action.HOLD, EPOCH, 2),
            (command.action, command.epoch, command.members),
        )
        self.report(0, self.task(State.HELD))
        self.assertEqual([], self.events())
        self.report(1, self.task(State.HELD))
        self.assertEqual([(Event.STARTED, Reason.NONE)], self.events())
        self.assertEqual([], self.events())

    def test_start_only_once_running_is_replicated(self) -> None:
        for worker in (0, 1):
            self.report(worker, self.task(State.HELD))
        self.assertEqual([], self.report(0, self.task(State.HELD)))
        self.status.allotment = AllotState.RUNNING
        (command,) = self.report(0, self.task(State.HELD))
        self.assertEqual(Action.START, command.action)

    def test_lost_answer_is_repeated(self) -> None:
        first = self.report(0)
        self.assertEqual(first, self.report(0))

    def test_hold_times_out(self) -> None:
        self.report(0, self.task(State.HELD))
        for _ in range(6):
            self.now_s += 2.0
            self.report(0, self.task(State.HELD))
            self.report(1)
        self.assertEqual([(Event.STOPPING, Reason.HOLD_FAILED)], self.events())

    def test_partial_start_violates_an_invariant(self) -> None:
        gang = self.tracker._gangs['j']
        self.assertRaises(
            errors.InvariantError,
            self.tracker._make_event,
            'j',
            gang,
            Event.STARTED,
        )


class TestRunning(GangTest):
    """Completion, failure, lapsed leases and overruns of a running gang."""

    def test_completed_once_all_are_done(self) -> None:
        self.run_all()
        self.report(0, self.task(State.DONE))
        self.assertEqual([], self.events())
        self.report(1, self.task(State.DONE))
        self.assertEqual([(Event.COMPLETED, Reason.NONE)], self.events())

    def test_failed_member(self) -> None:
        self.run_all()
        self.report(1, self.task(State.FAILED))
        (event,) = self.tracker.events()
        self.assertEqual(Reason.MEMBER_FAILED, event.reason)
        self.assertEqual('w1', event.failed_worker)

    def test_silent_worker_stops_its_gang_only_after_the_lease(self) -> None:
        self.run_all()
        self.now_s += LEASE_S - 0.1
        self.report(0, self.task(State.RUNNING))
        self.assertEqual([], self.events())
        self.now_s += 0.2
        self.assertEqual(
            [(Event.STOPPING, Reason.LEASE_LAPSED)], self.events()
        )

    def test_new_leader_waits_out_leases(self) -> None:
        self.run_all()
        self.tracker = self.make()
        self.now_s += LEASE_S - 0.1
        self.assertEqual([], self.events())
        self.now_s += 0.2
        self.assertEqual(
            [(Event.STOPPING, Reason.LEASE_LAPSED)], self.events()
        )

    def test_worker_that_lost_its_tasks(self) -> None:
        self.run_all()
        self.tracker = self.make()
        self.report(0)
        self.assertEqual(
            [(Event.STOPPING, Reason.LEASE_LAPSED)], self.events()
        )

    def restart(self, worker: int) -> None:
        """Sends the first report of a worker that has restarted."""
        self.sequence += 1
        self.tracker.record_report(worker, 2, self.sequence, [])
        self.tracker.extend_lease(worker, self.now_s + LEASE_S)

    def test_gang_that_crashes_its_worker_counts_as_failed(self) -> None:
        for worker in (0, 1):
            self.report(worker, self.task(State.HELD))
        self.assertEqual([(Event.STARTED, Reason.NONE)], self.events())
        self.status.allotment = AllotState.RUNNING
        self.restart(0)
        self.assertEqual(
            [(Event.STOPPING, Reason.MEMBER_FAILED)], self.events()
        )

    def test_gang_on_a_worker_that_crashes_later_is_not_at_fault(self) -> None:
        self.run_all()
        self.restart(0)
        self.assertEqual(
            [(Event.STOPPING, Reason.LEASE_LAPSED)], self.events()
        )

    def lapse_while_starting(self) -> None:
        """Stops the gang after worker 0 was silent from its start on."""
        for worker in (0, 1):
            self.report(worker, self.task(State.HELD))
        self.events()
        self.status.allotment = AllotState.RUNNING
        self.report(1, self.task(State.RUNNING))
        self.now_s += LEASE_S / 2
        self.report(1, self.task(State.RUNNING))
        self.now_s += LEASE_S / 2 + 0.1
        self.assertEqual(
            [(Event.STOPPING, Reason.LEASE_LAPSED)], self.events()
        )
        self.status.allotment = AllotState.STOPPING
        self.status.reason = Reason.LEASE_LAPSED

    def test_worker_that_restarts_after_its_lease_lapsed(self) -> None:
        self.lapse_while_starting()
        del self.placed['j']
        self.tracker.sync()
        self.restart(0)
        self.assertTrue(self.tracker.events_due(0))
        (event,) = self.tracker.events()
        self.assertEqual(
            (Event.CRASHED, 'j', EPOCH, 'w0'),
            (event.event, event.job, event.epoch, event.failed_worker),
        )
        self.assertEqual([], self.tracker.events())

    def test_worker_that_answers_after_its_lease_lapsed(self) -> None:
        self.lapse_while_starting()
        del self.placed['j']
        self.tracker.sync()
        self.report(0)
        self.restart(0)
        self.assertEqual([], self.tracker.events())

    def test_gangs_that_crash_a_worker_together_start_apart(self) -> None:
        statuses = {
            name: intent.JobStatus(
                job=name,
                epoch=EPOCH,
                allotment=AllotState.HOLDING,
                reason=Reason.NONE,
                progress_ms=0,
            )
            for name in ('j', 'k')
        }
        self.placed['k'] = self.placed['j']
        tracker = gangs.GangTracker(
            statuses.get,
            self.placed,
            lambda number: f'w{number}',
            lease_s=LEASE_S,
            grace_s=1.0,
        )
        tracker.sync()
        held = [
            gangs.TaskReport(name, EPOCH, State.HELD, 0, 0, 0)
            for name in statuses
        ]
        for worker in (0, 1):
            tracker.record_report(worker, 1, 1, held)
            tracker.extend_lease(worker, self.now_s + LEASE_S)
        tracker.events()
        for status in statuses.values():
            status.allotment = AllotState.RUNNING
        tracker.record_report(0, 2, 1, [])
        self.assertEqual(
            {'j': Reason.LEASE_LAPSED, 'k': Reason.HOLD_FAILED},
            {event.job: event.reason for event in tracker.events()},
        )

    def test_old_epoch_changes_nothing(self) -> None:
        self.run_all()
        old = self.task(State.FAILED, epoch=EPOCH - 1)
        (command,) = self.report(0, old, self.task(State.RUNNING))
        self.assertEqual(
            (Action.STOP, EPOCH - 1), (command.action, command.epoch)
        )
        self.assertEqual([], self.events())

    def test_late_report_changes_nothing(self) -> None:
        self.run_all()
        tasks = [self.task(State.FAILED)]
        self.assertFalse(self.tracker.record_report(0, 1, 1, tasks))
        self.assertEqual([], self.events())

    def test_overrun_is_throttled_then_stopped(self) -> None:
        self.run_all()
        over = self.task(State.RUNNING, memory_mb=900)
        (command,) = self.report(0, over)
        self.assertEqual(Action.THROTTLE, command.action)
        self.assertEqual([], self.events())
        self.report(0, over)
        self.report(0, over)
        self.assertEqual([(Event.STOPPING, Reason.OVERRUN)], self.events())

    def test_one_lagging_report_is_no_overrun(self) -> None:
        self.run_all()
        self.report(0, self.task(State.RUNNING, memory_mb=900))
        self.report(0, self.task(State.RUNNING, memory_mb=100))
        self.assertEqual([], self.report(0, self.task(State.RUNNING)))


class TestStopping(GangTest):
    """Checkpoint, grace period and stop of a gang."""

    def _reclaim(self) -> None:
        self.run_all()
        self.status.allotment = AllotState.STOPPING
        self.status.reason = Reason.RECLAIM

    def _action(self, state: State) -> Action:
        (command,) = self.report(0, self.task(state))
        return command.action

    def test_checkpoint_then_stop(self) -> None:
        self._reclaim()
        self.assertEqual(Action.CHECKPOINT, self._action(State.RUNNING))
        self.assertEqual(Action.STOP, self._action(State.CHECKPOINTED))

    def test_stop_after_the_grace_period(self) -> None:
        self._reclaim()
        self._action(State.RUNNING)
        self.now_s += 1.1
        self.assertEqual(Action.STOP, self._action(State.RUNNING))

    def test_stopped_once_all_are_gone(self) -> None:
        self._reclaim()
        self.report(0, self.task(State.CHECKPOINTED, saved_ms=400))
        self.report(0)
        self.assertEqual([], self.events())
        self.report(1)
        (event,) = self.tracker.events()
        self.assertEqual(
            (Event.STOPPED, 400), (event.event, event.progress_ms)
        )

    def test_silent_worker_is_gone_after_its_lease(self) -> None:
        self._reclaim()
        self.report(0)
        self.assertEqual([], self.events())
        self.now_s += LEASE_S + 0.1
        self.assertEqual([(Event.STOPPED, Reason.NONE)], self.events())

    def test_completion_while_stopping_counts(self) -> None:
        self._reclaim()
        for worker in (0, 1):
            self.report(worker, self.task(State.DONE))
        self.assertEqual([(Event.COMPLETED, Reason.NONE)], self.events())


class TestReports(testtools.TestCase):
    """A report is validated as a whole, with all findings."""

    def test_all_findings_are_returned(self) -> None:
        error = self.assertRaises(
            findings.FindingsError,
            worker_api.parse_report,
            b'{"zone": 1, "incarnation": -1, "tasks": [{"state": "x"}]}',
        )
        self.assertGreater(len(error.findings), 6)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=60),
            strategies.text(alphabet='{}[]":,0aé', max_size=40).map(
                str.encode
            ),
        )
    )
    def test_any_bytes(self, body: bytes) -> None:
        self.assertRaises(
            findings.FindingsError, worker_api.parse_report, body
        )
