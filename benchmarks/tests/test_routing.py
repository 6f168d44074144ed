"""Tests of the routing benchmark."""

from __future__ import annotations

import unittest

from benchmarks.routing import SCENARIOS, VARIANTS, run_case


class RoutingBenchmarkTest(unittest.TestCase):
    def test_same_seed_gives_same_figures(self) -> None:
        """Guards against policies that are compared under different loads."""
        first, second = (run_case("waitaha", "normal", "chosen", 3, 300.0) for _ in range(2))
        self.assertEqual(first, second)

    def test_every_variant_and_scenario_completes_requests(self) -> None:
        """Guards against rows in which no request completes, and against requests counted twice."""
        cases = {("normal", variant) for variant in VARIANTS}
        cases |= {(scenario, "chosen") for scenario in SCENARIOS}
        for scenario, variant in sorted(cases):
            with self.subTest(scenario=scenario, variant=variant):
                tally = run_case("waitaha", scenario, variant, 1, 200.0)
                self.assertGreater(tally.done.total(), 0)
                settled = tally.done.total() + tally.refused.total()
                self.assertLessEqual(settled, tally.offered.total())


if __name__ == "__main__":
    unittest.main()
