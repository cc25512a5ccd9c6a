"""Short runs of the platform's soak; seeds that failed once stay here."""

from __future__ import annotations

import testtools

from banyantrack.testing import platform_soak

SECONDS = 8.0
# Seed, and what it found. What a seed draws depends on timing too, so each
# cause has a test of its own besides.
SEEDS = (
    # A start for one life of a worker was carried out by the next one.
    1,
    # The observer forbade starts after ends that nobody had noted.
    13,
)


class TestSoak(testtools.TestCase):
    def test_promises_hold_under_faults(self) -> None:
        for seed in SEEDS:
            verdict, logs = platform_soak.run(seed, SECONDS)
            if verdict['broken']:
                print(logs)
            self.assertEqual([], verdict['broken'], seed)
            self.assertTrue(verdict['accepted'])
