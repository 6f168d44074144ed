"""Tests of partition ownership."""

from __future__ import annotations

import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.ownership import Ownership, OwnershipState, OwnerTable


def _build(clock: VirtualClock, member: str = "m1") -> OwnershipState:
    state = OwnershipState(clock=clock, ttl_ms=6_000.0)
    state.join(member, sent_ms=clock.now_ms())
    return state


class OwnershipStateTest(unittest.TestCase):
    def test_validity_counts_from_the_time_a_renewal_was_sent(self) -> None:
        """Guards against an owner that acts after its lease has expired in the store."""
        clock = VirtualClock()
        state = _build(clock)
        clock.advance(3_000.0)
        state.record_renewal(sent_ms=1_000.0)
        clock.advance(3_300.0)
        self.assertTrue(state.is_valid)
        clock.advance(100.0)
        self.assertFalse(state.is_valid)

    def test_partition_of_a_live_member_is_never_claimed(self) -> None:
        """Guards against two concurrent owners of one partition."""
        state = _build(VirtualClock())
        state.observe(OwnerTable({"shard/a": Ownership("m2", 4)}), 1)
        self.assertIsNone(state.plan_claims(["shard/a"], ["m1", "m2"]))
        table = state.plan_claims(["shard/a"], ["m1"])
        self.assertEqual(table.partitions["shard/a"], Ownership("m1", 5, ("m2",)))

    def test_suspect_is_passed_on_to_later_owners(self) -> None:
        """Guards against starting a task twice while an unreachable earlier owner renews it."""
        state = _build(VirtualClock(), "b.1.1")
        state.observe(OwnerTable({"shard/a": Ownership("a.1.1", 4)}), 1)
        claimed = state.plan_claims(["shard/a"], ["b.1.1", "c.1.1"])
        state.observe(claimed, 2)
        table = state.plan_handover(["b.1.1", "c.1.1"], leave=True)
        self.assertEqual(table.partitions["shard/a"], Ownership("c.1.1", 6, ("a.1.1",)))
        state.observe(OwnerTable({"shard/a": Ownership("d.1.1", 7, ("a.1.1",))}), 3)
        table = state.plan_claims(["shard/a"], ["b.1.1"], retired=["a.1.1"])
        self.assertEqual(table.partitions["shard/a"].suspects, ("d.1.1",))

    def test_leaving_member_assigns_new_owners(self) -> None:
        """Guards against partitions without an owner until a lease expires after a planned stop."""
        state = _build(VirtualClock())
        state.observe(OwnerTable({"a": Ownership("m1", 1), "b": Ownership("m1", 1)}), 1)
        table = state.plan_handover(["m1", "m2", "m3"], leave=True)
        self.assertEqual({item.member for item in table.partitions.values()}, {"m2", "m3"})

    def test_ended_epoch_needs_a_new_claim(self) -> None:
        """Guards against an owner that acts during or after a hand-over.

        It also guards against an exchange whose sequence numbers are reset within one epoch.
        """
        state = _build(VirtualClock())
        state.observe(OwnerTable({"a": Ownership("m1", 1)}), 1)
        self.assertTrue(state.may_act("a", 1))
        state.end_epoch("a", 1)
        self.assertFalse(state.may_act("a", 1))
        table = state.plan_claims(["a"], ["m1", "m2"])
        self.assertEqual(table.partitions["a"], Ownership("m1", 2))


if __name__ == "__main__":
    unittest.main()
