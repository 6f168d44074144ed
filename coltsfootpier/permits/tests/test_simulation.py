"""Randomised simulations of several daemons that grant permits."""

from __future__ import annotations

import unittest
from collections import Counter

from coltsfootpier.permits.tests.builders import Simulation

# Seed 844 produces a former owner whose copies are not rejected, which few seeds do.
SEEDS = (*range(80), 844)
STEPS = 700


class SimulationTest(unittest.TestCase):
    def test_no_key_runs_twice(self) -> None:
        """Guards against running a key twice after message loss, daemon failure or owner change."""
        counts: Counter[str] = Counter()
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run(STEPS)
            self.assertEqual(simulation.double_runs, [], f"seed {seed}")
            counts += simulation.counts
        # The test proves nothing unless enough permits are granted.
        self.assertGreater(counts["run"], 10 * len(SEEDS))
        for verdict in ("known", "busy", "incomplete"):
            self.assertGreater(counts[verdict], len(SEEDS), verdict)


if __name__ == "__main__":
    unittest.main()
