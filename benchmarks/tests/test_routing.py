"""Tests of the routing benchmark."""

from __future__ import annotations

import unittest

from benchmarks.routing import SCENARIOS, VARIANTS, run_case


class RoutingBenchmarkTest(unittest.TestCase):
    """Guards against comparisons of routing policies that mean nothing."""

    def test_same_seed_gives_same_figures(self) -> None:
        """Guards against runs of one seed that differ, so that policies face different loads."""
        first, second = (run_case("waitaha", "normal", "chosen", 3, 300.0) for _ in range(2))
        self.assertEqual(first, second)

    def test_every_variant_and_scenario_completes_requests(self) -> None:
        """Guards against cases in which no request completes, and requests counted twice."""
        cases = {("normal", variant) for variant in VARIANTS}
        cases |= {(scenario, "chosen") for scenario in SCENARIOS}
        for scenario, variant in sorted(cases):
            with self.subTest(scenario=scenario, variant=variant):
                tally = run_case("waitaha", scenario, variant, 1, 200.0)
                self.assertGreater(tally.completed.total(), 0)
                settled = tally.completed.total() + tally.rejected.total()
                self.assertLessEqual(settled, tally.offered.total())


if __name__ == "__main__":
    unittest.main()
