"""Tests of scheduling quality in a seeded simulation of jobs and workers.

The bounds are the users' targets for days without lost workers: the share of
urgent jobs that end in time, and the share of work that is lost.
"""

from __future__ import annotations

import statistics

import testtools

from banyantrack.testing import job_model

SEEDS = range(4)
ARRIVALS_S = 40.0
MIN_URGENT_IN_TIME = 0.9
MAX_THROWN_AWAY = 0.05


class TestScheduling(testtools.TestCase):
    def test_urgent_jobs_are_in_time_and_little_work_is_lost(self) -> None:
        for name in ('exchange', 'franchise'):
            verdicts = [
                job_model.Simulation(
                    job_model.SITES[name], seed, load=1.0, length_s=ARRIVALS_S
                ).run()
                for seed in SEEDS
            ]
            urgent = statistics.fmean(v.in_time['urgent'] for v in verdicts)
            thrown_away = statistics.fmean(v.thrown_away for v in verdicts)
            self.assertGreaterEqual(urgent, MIN_URGENT_IN_TIME, name)
            self.assertLess(thrown_away, MAX_THROWN_AWAY, name)

    def test_same_seed_gives_the_same_results(self) -> None:
        first, second = (
            job_model.Simulation(
                job_model.SITES['exchange'], 1, load=1.0, length_s=10.0
            ).run()
            for _ in range(2)
        )
        self.assertEqual(first, second)


class TestWorkersOfThreeSpeeds(testtools.TestCase):
    """Load: 176 workers, a third each at 0.6, 1.0 and 1.6 times."""

    def run_site(self, name: str, seed: int, spread_min: float):
        return job_model.Simulation(
            job_model.SITES[name],
            seed,
            load=1.0,
            length_s=20.0,
            speed_spread_min=spread_min,
        ).run()

    def test_fewer_urgent_jobs_are_late(self) -> None:
        # Guards against urgent gangs on workers on which they are late. The
        # first seconds, before any speed is known, are included.
        late = {}
        worth = {}
        for spread_min in (0.0, 1.5):
            verdicts = [
                self.run_site('exchange-grown-mixed', seed, spread_min)
                for seed in range(2)
            ]
            late[spread_min] = statistics.fmean(
                1 - v.in_time['urgent'] for v in verdicts
            )
            worth[spread_min] = statistics.fmean(
                v.earned - v.price for v in verdicts
            )
        self.assertLess(late[1.5], 0.75 * late[0.0])
        self.assertGreater(worth[1.5], worth[0.0])

    def test_equal_workers_are_used_as_without_speeds(self) -> None:
        self.assertEqual(
            self.run_site('exchange-even', 0, 0.0),
            self.run_site('exchange-even', 0, 1.5),
        )
