"""Short runs of the platform soak test with seeds that failed before."""

from __future__ import annotations

import testtools

from banyantrack.testing import platform_soak

SECONDS = 8.0
# Seeds and the faults that they found. A run depends on its timing as well
# as on its seed, so each cause has a test of its own.
SEEDS = (
    # A start order for one incarnation of a worker was executed by the next.
    1,
    # The observer reported a start after an end that control had never
    # acknowledged as a violation.
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
