"""Tests of the request counters and the error-budget burn report."""

from __future__ import annotations

import unittest

from coltsfootpier.burn import RequestStats, build_report, format_report, render_html
from coltsfootpier.clock import VirtualClock
from coltsfootpier.routing import Outcome
from tests.builders import build_declaration

_MINUTE_MS = 60_000.0


class BurnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.stats = RequestStats(clock=self.clock)

    def _record(
        self, count: int, latency_ms: float = 10.0, outcome=Outcome.DONE, **overrides
    ) -> None:
        values = {"latency_ms": latency_ms, "waited_ms": 0.0, "objective_ms": 100.0, **overrides}
        for _ in range(count):
            self.stats.record("web", outcome, values.pop("reason", ""), **values)

    def _build_report(self, **options):
        snapshots = {"e1": self.stats.snapshot()}
        return build_report(declaration=build_declaration(), snapshots=snapshots, **options)

    def test_burn_rate_is_share_of_bad_requests_over_budget(self) -> None:
        """Guards against burn rates that aren't divided by the error budget, here 0.01."""
        self._record(95)
        self._record(5, latency_ms=150.0)
        burn = self._build_report().services[0]
        self.assertAlmostEqual(burn.burn["5m"], 5.0)
        self.assertEqual(burn.causes, {"slow_runner": 5})
        self.assertEqual(burn.alarm, "")

    def test_fixed_fault_does_not_page(self) -> None:
        """Guards against paging for a fault that was fixed 20 minutes ago.

        It still exceeds the threshold in the window of 60 minutes, but not in that of 5 minutes.
        """
        self._record(50, latency_ms=150.0)
        self.assertEqual(self._build_report().services[0].alarm, "page")
        self.clock.advance(20 * _MINUTE_MS)
        self._record(50)
        self.assertNotEqual(self._build_report().services[0].alarm, "page")

    def test_counts_expire_after_six_hours(self) -> None:
        """Guards against counters of the ring buffer that keep counts from six hours before."""
        self._record(10, latency_ms=150.0)
        self.clock.advance(361 * _MINUTE_MS)
        self.assertEqual(self._build_report().services[0].finished, 0)

    def test_causes_are_classified(self) -> None:
        """Guards against reports that show operators the wrong cause."""
        self._record(1, latency_ms=200.0, waited_ms=150.0)
        self._record(1, latency_ms=200.0, slowdown=2.0)
        self._record(1, outcome=Outcome.REFUSED, reason="no_runner")
        self._record(1, outcome=Outcome.UNKNOWN)
        causes = self._build_report().services[0].causes
        self.assertEqual(causes, {"queueing": 1, "interference": 1, "no_capacity": 1, "unknown": 1})

    def test_unresponsive_daemon_is_listed(self) -> None:
        """Guards against reports that don't say which daemon did not respond."""
        report = self._build_report(missing=["e2"])
        self.assertIn("e2", format_report(report))
        self.assertIn("e2", render_html(report))


if __name__ == "__main__":
    unittest.main()
