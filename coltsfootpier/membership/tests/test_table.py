"""Tests of the member table."""

from __future__ import annotations

import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.membership import Member, MemberTable


def _build(name: str, session: int = 1) -> Member:
    return Member(f"{name}.i.{session}", name, "z1", "127.0.0.1:1")


class MemberTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.table = MemberTable(clock=self.clock, heartbeat_ms=1_000)
        self.table.observe_listing({"a.i.1": _build("a"), "b.i.1": _build("b")})

    def test_member_that_answers_outlives_its_lease(self) -> None:
        """Guards against daemons that lose each other when the store's leases end."""
        self.table.observe_member(_build("a"))
        self.table.observe_listing({})
        self.assertIn("a.i.1", self.table.reachable())
        self.clock.advance(4_000)
        self.table.remove_suspects()
        self.assertEqual(self.table.members, {})

    def test_member_that_leaves_is_dropped_with_its_key(self) -> None:
        """Guards against slots that are looked for at a daemon that has stopped."""
        self.table.mark_leaving("a.i.1")
        self.table.observe_listing({"b.i.1": _build("b")})
        self.assertEqual(list(self.table.members), ["b.i.1"])

    def test_member_that_the_store_does_not_list_is_heard(self) -> None:
        """Guards against a daemon, started in an outage, that nobody learns of."""
        self.assertTrue(self.table.observe_member(_build("c")))
        self.assertFalse(self.table.observe_member(_build("c")))
        self.assertIn("c.i.1", self.table.reachable())
        self.table.observe_listing({"c.i.2": _build("c", 2)})
        self.assertNotIn("c.i.1", self.table.members)
