"""Demand above capacity: what customers get, without a network."""

from __future__ import annotations

import statistics

import testtools

from banyantrack.testing import job_model

# The target of urgent jobs on days without lost workers.
MIN_URGENT_IN_TIME = 0.9


class TestContendedSite(testtools.TestCase):
    """The load that the decisions are designed for."""

    SEEDS = range(6)

    def verdicts(self, decision: str) -> list[job_model.Verdict]:
        """Simulates the small site."""
        return [
            job_model.Simulation(
                job_model.SITES['contended-small'],
                seed,
                load=job_model.CONTENDED_LOAD,
                length_s=12.0,
                decision=decision,
            ).run()
            for seed in self.SEEDS
        ]

    def test_customers_are_served_better_than_without_stops(self) -> None:
        # Guards against a decision that refuses stops which urgent jobs need,
        # or that discards more than these gain.
        served = {
            decision: statistics.fmean(
                v.earned - v.price for v in self.verdicts(decision)
            )
            for decision in ('least-loss', 'first-fit', 'earliest-deadline')
        }
        self.assertGreater(served['least-loss'], served['first-fit'])
        self.assertGreater(served['least-loss'], served['earliest-deadline'])

    def test_urgent_jobs_are_in_time(self) -> None:
        in_time = statistics.fmean(
            v.in_time['urgent'] for v in self.verdicts('least-loss')
        )
        self.assertGreaterEqual(in_time, MIN_URGENT_IN_TIME)
