"""Randomised simulations of several daemons that grant permits."""

from __future__ import annotations

import unittest
from collections import Counter

from coltsfootpier.permits.tests.builders import Simulation

# With seed 844, a peer accepts copies of a former owner, which happens with few seeds.
SEEDS = (*range(80), 844)
STEPS = 700


class SimulationTest(unittest.TestCase):
    def test_no_key_runs_twice(self) -> None:
        """Guards against running two requests with the same key.

        This may happen after lost messages, failures of daemons and changes of the owner.
        """
        counts: Counter[str] = Counter()
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run(STEPS)
            self.assertEqual(simulation.double_runs, [], f"seed {seed}")
            counts += simulation.counts
        # Without enough runs and rejections, the test would not show anything.
        self.assertGreater(counts["run"], 10 * len(SEEDS))
        for verdict in ("known", "busy", "incomplete"):
            self.assertGreater(counts[verdict], len(SEEDS), verdict)


if __name__ == "__main__":
    unittest.main()
