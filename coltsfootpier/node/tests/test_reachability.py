"""Tests of the readiness of a daemon that can't reach the owner of the cell."""

import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.node._reachability import UNREACHABLE_AFTER_MS, OwnerReachability


class OwnerReachabilityTest(unittest.TestCase):
    """Recorded failures and responses, on a virtual clock."""

    def setUp(self):
        self.clock = VirtualClock()
        self.reachability = OwnerReachability(clock=self.clock)

    def _fail_for(self, duration_ms):
        self.reachability.record(responded=False)
        self.clock.advance(duration_ms)
        self.reachability.record(responded=False)

    def test_partitioned_daemon_is_not_ready(self):
        """Guards against callers that are sent to a daemon which rejects all jobs."""
        self._fail_for(UNREACHABLE_AFTER_MS)
        self.assertTrue(self.reachability.is_unreachable)

    def test_change_of_owner_keeps_daemons_ready(self):
        """Guards against all daemons leaving the rotation when an owner is killed."""
        self._fail_for(1_300.0)
        self.assertFalse(self.reachability.is_unreachable)
        self.reachability.reset()
        self._fail_for(1_300.0)
        self.assertFalse(self.reachability.is_unreachable)

    def test_single_failures_far_apart_do_not_count(self):
        """Guards against a daemon that leaves the rotation after two lost responses far apart."""
        self.reachability.record(responded=False)
        self.reachability.record(responded=True)
        self.clock.advance(60_000.0)
        self.reachability.record(responded=False)
        self.assertFalse(self.reachability.is_unreachable)

    def test_unresponsive_owner_gets_no_new_jobs(self):
        """Guards against callers that wait for a frozen owner until their deadlines.

        In the scenario of a frozen owner during a store outage (deploy/days), requests that wait
        until their deadlines were the largest part of the cost.
        """
        self.reachability.record(responded=False)
        self.assertFalse(self.reachability.is_unresponsive)
        self.clock.advance(600.0)
        self.assertTrue(self.reachability.is_unresponsive)
        self.reachability.record(responded=True)
        self.assertFalse(self.reachability.is_unresponsive)

    def test_response_restores_readiness(self):
        """Guards against a daemon that stays out of rotation after a network partition ended."""
        self._fail_for(UNREACHABLE_AFTER_MS)
        self.reachability.record(responded=True)
        self.assertFalse(self.reachability.is_unreachable)
