"""Tests of the owner of a key group and of the copies for others."""

from __future__ import annotations

import unittest

import attrs

from coltsfootpier.clock import VirtualClock
from coltsfootpier.ownership import Ownership, OwnerTable
from coltsfootpier.permits import (
    CopyRequired,
    DoubleGrantError,
    KeyKind,
    PermitManager,
    PermitReply,
    PermitTable,
    PullPermits,
    RecordState,
    Verdict,
)
from coltsfootpier.permits.tests.builders import (
    WINDOW_MS,
    build_acquire,
    build_node,
    build_settle,
)
from coltsfootpier.routing import Outcome

OWNER, PEER, THIRD = "n1.a.1", "n2.b.1", "n3.c.1"


def _observe(node: PermitManager, *members: str) -> list[PermitTable]:
    # The listing never gets old in these tests.
    return node.reconcile(members, listed_ms=float("inf"), is_retired=lambda _: False)


def _own(node: PermitManager, epoch: int, *others: str) -> PermitTable:
    member = node.ownership.member
    node.ownership.observe(OwnerTable({"keys/0": Ownership(member, epoch)}), epoch)
    (table,) = _observe(node, member, *others)
    table.ready = True
    return table


def _acquire(node: PermitManager, **changes: object) -> PermitReply:
    request = build_acquire(**changes)
    was_only_member = node.is_only_member
    decision = node.decide(request)
    if isinstance(decision, CopyRequired):
        table = node.tables[request.group]
        return node.decide_after_copy(
            table, decision.record, copied=True, was_only_member=was_only_member
        )
    return decision


class PermitTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.node = build_node(self.clock, OWNER)
        self.table = _own(self.node, 1, PEER)

    def test_repeat_gets_the_recorded_outcome(self) -> None:
        """Guards against a second run, and against a lost outcome."""
        request = build_acquire()
        self.assertIs(_acquire(self.node).verdict, Verdict.GRANTED)
        repeat = _acquire(self.node, token="t2")
        self.assertEqual((repeat.verdict, repeat.outcome), (Verdict.KNOWN, Outcome.UNKNOWN))
        self.node.settle(build_settle(request, Outcome.FAILED))
        repeat = _acquire(self.node, token="t2")
        self.assertEqual((repeat.verdict, repeat.outcome), (Verdict.KNOWN, Outcome.FAILED))
        self.assertEqual(repeat.status, 200)

    def test_refused_outcome_frees_the_key_for_its_own_token_only(self) -> None:
        """Guards against a key that stays blocked, or that a late message frees."""
        _acquire(self.node)
        self.node.settle(build_settle(build_acquire(token="other"), Outcome.REFUSED))
        self.assertIs(_acquire(self.node, token="t2").verdict, Verdict.KNOWN)
        self.node.settle(build_settle(build_acquire(), Outcome.REFUSED))
        self.assertIs(_acquire(self.node, token="t2").verdict, Verdict.GRANTED)

    def test_different_request_with_a_known_key_is_refused(self) -> None:
        """Guards against an answer to a request that the caller did not send."""
        _acquire(self.node, fingerprint="a")
        reply = _acquire(self.node, token="t2", fingerprint="b")
        self.assertIs(reply.verdict, Verdict.MISMATCH)

    def test_exclusive_key_stays_locked_until_the_longest_run_is_over(self) -> None:
        """Guards against two runs at once after an unknown outcome."""
        first = build_acquire(kind=KeyKind.EXCLUSIVE, hold_ms=10_000.0)
        _acquire(self.node, kind=KeyKind.EXCLUSIVE, hold_ms=10_000.0)
        self.node.settle(build_settle(first, Outcome.UNKNOWN))
        self.clock.advance(10_500.0)
        reply = _acquire(self.node, kind=KeyKind.EXCLUSIVE, token="t2")
        self.assertIs(reply.verdict, Verdict.BUSY)
        self.clock.advance(600.0)
        reply = _acquire(self.node, kind=KeyKind.EXCLUSIVE, token="t2")
        self.assertIs(reply.verdict, Verdict.GRANTED)

    def test_grant_needs_a_copy_unless_the_store_lists_no_other_member(self) -> None:
        """Guards against a grant that the death of one daemon makes forgotten."""
        decision = self.node.decide(build_acquire())
        reply = self.node.decide_after_copy(
            self.table, decision.record, copied=False, was_only_member=self.node.is_only_member
        )
        self.assertIs(reply.verdict, Verdict.NO_COPY)
        _observe(self.node, OWNER)
        self.assertTrue(self.node.is_only_member)
        self.node.ownership.lose_lease()
        self.assertFalse(self.node.is_only_member)

    def test_request_that_may_outlast_the_window_is_refused(self) -> None:
        """Guards against a run that a later owner can't know of."""
        self.assertIs(_acquire(self.node, hold_ms=WINDOW_MS).verdict, Verdict.TOO_LONG)

    def test_full_table_refuses_and_keeps_what_it_holds(self) -> None:
        """Guards against unbounded memory and against evicting a key within its window."""
        node = build_node(self.clock, OWNER, capacity=2)
        _own(node, 1, PEER)
        for key in ("a", "b"):
            self.assertIs(_acquire(node, key=key).verdict, Verdict.GRANTED)
        self.assertIs(_acquire(node, key="c").verdict, Verdict.FULL)
        self.assertIs(_acquire(node, key="a", token="t2").verdict, Verdict.KNOWN)
        self.clock.advance(WINDOW_MS + 1)
        self.assertIs(_acquire(node, key="c").verdict, Verdict.GRANTED)

    def test_second_grant_of_a_key_breaks_an_invariant(self) -> None:
        """Guards against a fault of the table that goes unnoticed."""
        _acquire(self.node)
        record = attrs.evolve(self.node.copies.find("keys/0", "k"), token="t2", serial=99)
        self.node.copies.store("keys/0", record)
        with self.assertRaises(DoubleGrantError):
            self.table.confirm(record)


class TakeOverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.old = build_node(self.clock, OWNER)
        self.new = build_node(self.clock, PEER)
        self.old_table = _own(self.old, 1, PEER, THIRD)

    def _pull(self) -> None:
        reply = self.old.handle_pull(PullPermits(group="keys/0", epoch=2))
        self.new.merge_pulled_copies(self.new.tables["keys/0"], reply)

    def test_new_owner_knows_the_keys_of_the_previous_one(self) -> None:
        """Guards against a second run after a change of the owner."""
        _acquire(self.old)
        _own(self.new, 2, OWNER, THIRD)
        self._pull()
        self.assertIs(_acquire(self.new, token="t2").verdict, Verdict.KNOWN)
        self.assertIs(_acquire(self.new, key="fresh").verdict, Verdict.GRANTED)

    def test_previous_owner_is_fenced_off(self) -> None:
        """Guards against two owners that grant one key."""
        decision = self.old.decide(build_acquire())
        message = self.old.build_copy_message(self.old_table, (decision.record,))
        _own(self.new, 2, OWNER, THIRD)
        reply = self.new.receive_copies(message)
        self.assertEqual((reply.accepted, reply.epoch), (False, 2))
        self._pull()
        reply = self.old.decide_after_copy(
            self.old_table, decision.record, copied=True, was_only_member=False
        )
        self.assertIs(reply.verdict, Verdict.NOT_OWNER)

    def test_unknown_key_is_not_granted_while_the_history_is_incomplete(self) -> None:
        """Guards against a second run of a key whose holders did not answer."""
        _own(self.new, 2, OWNER, THIRD)
        self.assertIs(_acquire(self.new).verdict, Verdict.INCOMPLETE)
        self.clock.advance(WINDOW_MS + 10_001)
        self.new.ownership.record_renewal(sent_ms=self.clock.now_ms())
        _observe(self.new, PEER, OWNER, THIRD)
        table = self.new.tables["keys/0"]
        table.history.record_coverage(self.new.covered_ms())
        self.assertIs(_acquire(self.new).verdict, Verdict.INCOMPLETE)
        # A grant has two holders, so that one that is missing hides nothing.
        pulled = build_node(self.clock, THIRD).handle_pull(PullPermits(group="keys/0", epoch=2))
        self.new.merge_pulled_copies(table, pulled)
        self.assertIs(_acquire(self.new).verdict, Verdict.GRANTED)

    def test_time_of_grants_without_a_copy_is_not_covered(self) -> None:
        """Guards against a new owner that trusts a witness of grants that had no copy."""
        node = build_node(self.clock, OWNER)
        _observe(node, OWNER)
        self.clock.advance(1.0)
        _own(node, 1)
        self.assertGreater(node.covered_ms(), WINDOW_MS)
        decision = node.decide(build_acquire())
        reply = node.decide_after_copy(
            node.tables["keys/0"],
            decision.record,
            copied=False,
            was_only_member=node.is_only_member,
        )
        self.assertIs(reply.verdict, Verdict.GRANTED)
        self.assertEqual(node.covered_ms(), 0.0)

    def test_later_record_wins_whatever_the_order_of_arrival(self) -> None:
        """Guards against a delayed copy that brings a freed key back, or frees a used one."""
        decision = self.old.decide(build_acquire())
        grant = self.old.build_copy_message(self.old_table, (decision.record,))
        self.old.decide_after_copy(
            self.old_table, decision.record, copied=True, was_only_member=False
        )
        self.old.settle(build_settle(build_acquire(), Outcome.REFUSED))
        self.new.receive_copies(self.old.build_copy_message(self.old_table, ()))
        self.new.receive_copies(grant)
        self.assertIs(self.new.copies.find("keys/0", "k").state, RecordState.FREE)


if __name__ == "__main__":
    unittest.main()
