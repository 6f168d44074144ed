"""Tests of runner health: ejection, probes and the limit on ejections."""

from __future__ import annotations

import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.routing import AttemptResult, Feedback, RunnerHealth

RUNNERS = ("r1", "r2", "r3", "r4", "r5", "r6")


class RunnerHealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.health = RunnerHealth(clock=self.clock)

    def record_result(
        self, runner: str, request: int, result: AttemptResult = AttemptResult.FAILED
    ) -> None:
        feedback = Feedback(result=result, request_id=str(request), elapsed_ms=10.0)
        self.health.record_result("web", "read", runner, feedback, RUNNERS)

    def fail_distinct_requests(self, *runners: str) -> None:
        for runner in runners:
            for request in range(5):
                self.record_result(runner, request)

    def test_one_request_that_fails_everywhere_ejects_nothing(self) -> None:
        """Guards against ejecting a runner because one faulty request fails repeatedly."""
        for _ in range(20):
            self.record_result("r1", 1)
        self.assertEqual(self.health.list_ejected(), ())

    def test_distinct_failures_eject_and_a_successful_probe_readmits(self) -> None:
        """Guards against using a runner that fails all requests, and never readmitting it."""
        self.fail_distinct_requests("r1")
        self.assertFalse(self.health.is_usable("r1"))
        self.clock.advance(1_001.0)
        self.assertTrue(self.health.is_usable("r1"))
        self.health.record_request_sent("r1")
        self.assertFalse(self.health.is_usable("r1"))
        self.record_result("r1", 9, AttemptResult.ANSWERED)
        self.assertTrue(self.health.is_usable("r1"))
        self.assertEqual(self.health.list_ejected(), ())

    def test_success_between_failures_prevents_ejection(self) -> None:
        """Guards against ejecting a runner that fails only some requests."""
        for request in range(20):
            answered = request % 4 == 3
            self.record_result(
                "r1", request, AttemptResult.ANSWERED if answered else AttemptResult.FAILED
            )
        self.assertEqual(self.health.list_ejected(), ())

    def test_at_most_a_third_is_ejected(self) -> None:
        """Guards against ejecting all runners of a service when every request fails."""
        self.fail_distinct_requests(*RUNNERS)
        self.assertEqual(self.health.list_ejected(), ("r1", "r2"))

    def test_limit_on_ejections_includes_those_of_peers(self) -> None:
        """Guards against daemons that together eject more than a third of the runners."""
        self.health.observe_peer_ejections("m2", ["r5", "r6"])
        self.fail_distinct_requests("r1")
        self.assertEqual(self.health.list_ejected(), ())

    def test_simultaneous_ejections_are_reverted(self) -> None:
        """Guards against too many ejections when daemons eject different runners at once."""
        self.fail_distinct_requests("r3", "r4")
        self.health.observe_peer_ejections("m2", ["r1", "r2"])
        self.health.limit_ejections(RUNNERS)
        self.assertEqual(self.health.list_ejected(), ())
        self.assertTrue(self.health.is_usable("r3"))


if __name__ == "__main__":
    unittest.main()
