"""What callers get on seeded days, played on a model of workers.

The bounds are the users' targets: urgent jobs in time on days without lost
workers, and little work thrown away.
"""

from __future__ import annotations

import statistics

import testtools

from banyantrack.testing import job_model

SEEDS = range(4)
LENGTH_S = 40.0
URGENT_IN_TIME = 0.9
THROWN_AWAY = 0.05


class TestUsualDays(testtools.TestCase):
    def test_urgent_jobs_are_in_time_and_little_is_thrown_away(self) -> None:
        for name in ('exchange', 'franchise'):
            verdicts = [
                job_model.Day(
                    job_model.SITES[name], seed, load=1.0, length_s=LENGTH_S
                ).play()
                for seed in SEEDS
            ]
            urgent = statistics.fmean(v.in_time['urgent'] for v in verdicts)
            thrown_away = statistics.fmean(v.thrown_away for v in verdicts)
            self.assertGreaterEqual(urgent, URGENT_IN_TIME, name)
            self.assertLess(thrown_away, THROWN_AWAY, name)

    def test_same_seed_same_day(self) -> None:
        first, second = (
            job_model.Day(
                job_model.SITES['exchange'], 1, load=1.0, length_s=10.0
            ).play()
            for _ in range(2)
        )
        self.assertEqual(first, second)
