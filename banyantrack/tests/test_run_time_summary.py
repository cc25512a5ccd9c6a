"""Tests of the replicated summary of run times."""

from __future__ import annotations

import copy
import math

import testtools

from banyantrack.core import metrics
from banyantrack.daemons import run_forecasts
from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
from banyantrack.workload import run_time_summary
from banyantrack.workload import run_times
from banyantrack.workload import state as state_module


def entry(customer: str, queue: str = 'usual') -> ttypes.RunTimeEntry:
    """Returns an entry of a customer."""
    return ttypes.RunTimeEntry(
        queue=queue, customer=customer, values=[1000, 8000, 100] * 2
    )


def record(job_id: str, customer: str = 'growers') -> ttypes.JobRecord:
    """Returns the record of a job that was just accepted."""
    state = builders.state()
    builders.submit(
        state, builders.job(job_id, builders.step(estimated_ms=3000))
    )
    state.jobs[job_id].customer = customer
    return state.jobs[job_id]


def learned(customers: int = 1, jobs: int = 30) -> run_times.RunTimes:
    """Returns a model that has learned from jobs that take 6 s."""
    model = run_times.RunTimes()
    for number in range(jobs):
        job = record(f'j{number}', f'c{number % customers}')
        model.observe(job, job.job.steps[0], 6000 * 1.01 ** (number % 9))
    return model


class TestEntries(testtools.TestCase):
    """Entries that are stored."""

    def test_size(self) -> None:
        # Guards against a state that grows with each customer.
        entries = run_time_summary.RunTimeEntries()
        for number in range(3000):
            entries.merge(ttypes.RunTimeSummary([entry(f'c{number}')]))
        entries.merge(ttypes.RunTimeSummary([entry('c2990')]))
        self.assertLessEqual(entries.size_bytes, run_time_summary.MAX_BYTES)
        names = [stored.customer for stored in entries]
        self.assertNotIn('c0', names)
        self.assertEqual(['c2999', 'c2990'], names[-2:])
        self.assertEqual(len(set(names)), len(names))

    def test_design_scale(self) -> None:
        # Guards against entries of 200 customers that drive out each other.
        entries = run_time_summary.RunTimeEntries()
        for queue in ('urgent', 'usual', 'patient'):
            for number in range(200):
                stored = entry(f'customer-{number}', queue)
                entries.merge(ttypes.RunTimeSummary([stored]))
        self.assertEqual(600, len(list(entries)))

    def test_oversized_entry(self) -> None:
        # Guards against one entry that drives out all others.
        entries = run_time_summary.RunTimeEntries()
        entries.merge(ttypes.RunTimeSummary([entry('a')]))
        large = entry('b')
        large.values = [1] * 100_000
        entries.merge(ttypes.RunTimeSummary([large]))
        self.assertEqual(['a'], [stored.customer for stored in entries])


class TestState(testtools.TestCase):
    """The summary in the replicated state."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state()
        self.state.apply(ttypes.WorkCommand(run_times=learned().snapshot()), 0)

    def test_snapshot(self) -> None:
        # Guards against a member that forgets with its snapshot.
        restored = state_module.WorkState()
        restored.restore(self.state.snapshot())
        self.assertEqual(list(self.state.run_times), list(restored.run_times))
        self.assertEqual(2, len(list(restored.run_times)))

    def test_snapshot_of_a_previous_build(self) -> None:
        # Guards against a member that cannot start from such a snapshot.
        snapshot = copy.copy(self.state.snapshot())
        snapshot.run_times = None
        self.state.restore(snapshot)
        self.assertEqual([], list(self.state.run_times))

    def test_command_of_a_previous_build(self) -> None:
        # Guards against commands without the field that empty the summary.
        self.state.apply(ttypes.WorkCommand(starts=[]), 0)
        self.assertEqual(2, len(list(self.state.run_times)))


class TestModel(testtools.TestCase):
    """What a new leader starts with."""

    def forecast_ms(
        self, model: run_times.RunTimes, quantile: float = 0.5
    ) -> float:
        job = record('x', 'c0')
        return model.forecast(job, job.job.steps[0]).quantile_ms(quantile)

    def test_new_leader(self) -> None:
        # Guards against a new leader that starts from nothing.
        before = learned()
        after = run_times.RunTimes()
        after.restore(before.snapshot().entries)
        for quantile in (0.05, 0.5, 0.95):
            self.assertAlmostEqual(
                0,
                math.log(
                    self.forecast_ms(before, quantile)
                    / self.forecast_ms(after, quantile)
                ),
                delta=0.05,
            )

    def test_changes_only(self) -> None:
        # Guards against a summary that is sent again and again.
        model = learned(customers=5)
        summary = model.snapshot(only_changed=True)
        self.assertEqual(6, len(summary.entries))
        model.mark_published(summary)
        self.assertEqual([], model.snapshot(only_changed=True).entries)
        job = record('x', 'c3')
        model.observe(job, job.job.steps[0], 6000)
        changed = model.snapshot(only_changed=True).entries
        self.assertEqual([None, 'c3'], [found.customer for found in changed])

    def test_many_changes(self) -> None:
        # Guards against one command with the entries of all customers.
        model = learned(customers=400, jobs=400)
        sent = set()
        for _ in range(3):
            summary = model.snapshot(only_changed=True)
            self.assertLessEqual(
                len(summary.entries), run_times.MAX_SUMMARY_ENTRIES
            )
            sent |= {found.customer for found in summary.entries}
            model.mark_published(summary)
        self.assertEqual(401, len(sent))

    def test_poisoned_summary(self) -> None:
        # Guards against stored values that stop a planning round.
        for value in (-(2**31), -1, 0, 2**31 - 1):
            for count in (0, 3, 6, 19, 32):
                model = run_times.RunTimes()
                model.restore(
                    [
                        ttypes.RunTimeEntry(
                            queue='usual',
                            customer=name,
                            values=[value] * count,
                        )
                        for name in (None, 'c0', '')
                    ]
                )
                self.assertTrue(math.isfinite(self.forecast_ms(model, 0.95)))
                job = record('y', 'c0')
                for _ in range(20):
                    model.observe(job, job.job.steps[0], 5000)
                self.assertTrue(math.isfinite(self.forecast_ms(model, 0.95)))


class TestInterval(testtools.TestCase):
    """When the leader replicates a summary."""

    def setUp(self) -> None:
        super().setUp()
        self.model = learned()
        self.forecasts = run_forecasts.RunForecasts(
            builders.state(),
            self.model,
            metrics.Metrics(),
            remote_factor=3.0,
            lease_ms=2000,
            stop_ms=400,
        )

    def test_interval(self) -> None:
        # Guards against a summary with each start.
        summary = self.forecasts.changed_summary(100.0)
        self.forecasts.note_replicated(summary)
        job = record('x', 'c0')
        self.model.observe(job, job.job.steps[0], 6000)
        self.assertIsNone(self.forecasts.changed_summary(109.0))
        self.assertIsNotNone(self.forecasts.changed_summary(110.5))

    def test_commit_that_failed(self) -> None:
        # Guards against changes that are lost with a failed proposal.
        first = self.forecasts.changed_summary(100.0)
        self.forecasts.note_replicated(None)
        self.assertEqual(first, self.forecasts.changed_summary(111.0))

    def test_restored_once(self) -> None:
        # Guards against a leader that returns to an old summary.
        state = builders.state()
        state.apply(ttypes.WorkCommand(run_times=self.model.snapshot()), 0)
        model = run_times.RunTimes()
        forecasts = run_forecasts.RunForecasts(
            state,
            model,
            metrics.Metrics(),
            remote_factor=3.0,
            lease_ms=2000,
            stop_ms=400,
        )
        forecasts.restore()
        changes = model.snapshot()
        job = record('x', 'c0')
        model.observe(job, job.job.steps[0], 60)
        forecasts.restore()
        self.assertNotEqual(changes, model.snapshot())
