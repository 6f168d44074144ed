"""Tests of the member table."""

from __future__ import annotations

import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.membership import Member, MemberTable


def _build_member(name: str, session: int = 1) -> Member:
    return Member(f"{name}.i.{session}", name, "z1", "127.0.0.1:1")


class MemberTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.table = MemberTable(clock=self.clock, heartbeat_ms=1_000)
        self.table.observe_listing({"a.i.1": _build_member("a"), "b.i.1": _build_member("b")})

    def test_responding_member_outlives_its_lease(self) -> None:
        """Guards against daemons that remove each other when their leases in the store expire."""
        self.table.observe_member(_build_member("a"))
        self.table.observe_listing({})
        self.assertIn("a.i.1", self.table.list_reachable())
        self.clock.advance(4_000)
        self.table.remove_suspects()
        self.assertEqual(self.table.members, {})

    def test_leaving_member_is_removed_with_its_store_key(self) -> None:
        """Guards against requests for slots that are sent to a daemon that has stopped."""
        self.table.mark_leaving("a.i.1")
        self.table.observe_listing({"b.i.1": _build_member("b")})
        self.assertEqual(list(self.table.members), ["b.i.1"])

    def test_unlisted_member_is_added_on_heartbeat(self) -> None:
        """Guards against a daemon that stays unknown because it started during a store outage."""
        self.assertTrue(self.table.observe_member(_build_member("c")))
        self.assertFalse(self.table.observe_member(_build_member("c")))
        self.assertIn("c.i.1", self.table.list_reachable())
        self.table.observe_listing({"c.i.2": _build_member("c", 2)})
        self.assertNotIn("c.i.1", self.table.members)
