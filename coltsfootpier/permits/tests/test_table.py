"""Tests of permit tables of key group owners and of the copies on peers."""

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
    build_manager,
    build_settle,
)
from coltsfootpier.routing import Outcome

OWNER, PEER, THIRD = "n1.a.1", "n2.b.1", "n3.c.1"


def _reconcile(manager: PermitManager, *members: str) -> list[PermitTable]:
    # An infinite time keeps the listing from becoming outdated.
    return manager.reconcile(members, listed_ms=float("inf"), is_retired=lambda _: False)


def _take_ownership(manager: PermitManager, epoch: int, *others: str) -> PermitTable:
    member = manager.ownership.member
    manager.ownership.observe(OwnerTable({"keys/0": Ownership(member, epoch)}), epoch)
    (table,) = _reconcile(manager, member, *others)
    table.is_ready = True
    return table


def _acquire(manager: PermitManager, **changes: object) -> PermitReply:
    request = build_acquire(**changes)
    was_only_member = manager.is_only_member
    decision = manager.decide(request)
    if isinstance(decision, CopyRequired):
        table = manager.tables[request.group]
        return manager.decide_after_copy(
            table, decision.record, copied=True, was_only_member=was_only_member
        )
    return decision


class PermitTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.manager = build_manager(self.clock, OWNER)
        self.table = _take_ownership(self.manager, 1, PEER)

    def test_repeat_gets_the_recorded_outcome(self) -> None:
        """Guards against running a repeated request, and losing the outcome of the first one."""
        request = build_acquire()
        self.assertIs(_acquire(self.manager).verdict, Verdict.GRANTED)
        repeat = _acquire(self.manager, token="t2")
        self.assertEqual((repeat.verdict, repeat.outcome), (Verdict.KNOWN, Outcome.UNKNOWN))
        self.manager.settle(build_settle(request, Outcome.FAILED))
        repeat = _acquire(self.manager, token="t2")
        self.assertEqual((repeat.verdict, repeat.outcome), (Verdict.KNOWN, Outcome.FAILED))
        self.assertEqual(repeat.status, 200)

    def test_refused_outcome_frees_the_key_of_its_own_token_only(self) -> None:
        """Guards against a key that stays blocked, or that another request's outcome frees."""
        _acquire(self.manager)
        self.manager.settle(build_settle(build_acquire(token="other"), Outcome.REFUSED))
        self.assertIs(_acquire(self.manager, token="t2").verdict, Verdict.KNOWN)
        self.manager.settle(build_settle(build_acquire(), Outcome.REFUSED))
        self.assertIs(_acquire(self.manager, token="t2").verdict, Verdict.GRANTED)

    def test_different_request_with_a_known_key_is_rejected(self) -> None:
        """Guards against responding with the outcome of a different request."""
        _acquire(self.manager, fingerprint="a")
        reply = _acquire(self.manager, token="t2", fingerprint="b")
        self.assertIs(reply.verdict, Verdict.MISMATCH)

    def test_exclusive_key_stays_locked_for_the_maximum_run_time(self) -> None:
        """Guards against concurrent runs with an exclusive key after an unknown outcome."""
        first = build_acquire(kind=KeyKind.EXCLUSIVE, hold_ms=10_000.0)
        _acquire(self.manager, kind=KeyKind.EXCLUSIVE, hold_ms=10_000.0)
        self.manager.settle(build_settle(first, Outcome.UNKNOWN))
        self.clock.advance(10_500.0)
        reply = _acquire(self.manager, kind=KeyKind.EXCLUSIVE, token="t2")
        self.assertIs(reply.verdict, Verdict.BUSY)
        self.clock.advance(600.0)
        reply = _acquire(self.manager, kind=KeyKind.EXCLUSIVE, token="t2")
        self.assertIs(reply.verdict, Verdict.GRANTED)

    def test_grant_needs_a_copy_unless_the_store_lists_no_other_member(self) -> None:
        """Guards against grants that are lost when one daemon fails."""
        decision = self.manager.decide(build_acquire())
        reply = self.manager.decide_after_copy(
            self.table, decision.record, copied=False, was_only_member=self.manager.is_only_member
        )
        self.assertIs(reply.verdict, Verdict.NO_COPY)
        _reconcile(self.manager, OWNER)
        self.assertTrue(self.manager.is_only_member)
        self.manager.ownership.invalidate_lease()
        self.assertFalse(self.manager.is_only_member)

    def test_request_that_may_outlast_the_window_is_rejected(self) -> None:
        """Guards against a run that a later owner's history doesn't cover."""
        self.assertIs(_acquire(self.manager, hold_ms=WINDOW_MS).verdict, Verdict.TOO_LONG)

    def test_full_table_rejects_new_keys_and_evicts_none(self) -> None:
        """Guards against unbounded memory use and against evicting a key within its window."""
        manager = build_manager(self.clock, OWNER, capacity=2)
        _take_ownership(manager, 1, PEER)
        for key in ("a", "b"):
            self.assertIs(_acquire(manager, key=key).verdict, Verdict.GRANTED)
        self.assertIs(_acquire(manager, key="c").verdict, Verdict.FULL)
        self.assertIs(_acquire(manager, key="a", token="t2").verdict, Verdict.KNOWN)
        self.clock.advance(WINDOW_MS + 1)
        self.assertIs(_acquire(manager, key="c").verdict, Verdict.GRANTED)

    def test_second_grant_of_a_key_raises(self) -> None:
        """Guards against undetected double grants."""
        _acquire(self.manager)
        record = attrs.evolve(self.manager.copies.get("keys/0", "k"), token="t2", serial=99)
        self.manager.copies.store("keys/0", record)
        with self.assertRaises(DoubleGrantError):
            self.table.confirm(record)


class OwnerChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.old = build_manager(self.clock, OWNER)
        self.new = build_manager(self.clock, PEER)
        self.old_table = _take_ownership(self.old, 1, PEER, THIRD)

    def _pull(self) -> None:
        reply = self.old.handle_pull(PullPermits(group="keys/0", epoch=2))
        self.new.merge_pulled_copies(self.new.tables["keys/0"], reply)

    def test_new_owner_knows_the_keys_of_the_previous_owner(self) -> None:
        """Guards against running a repeated request after a change of the owner."""
        _acquire(self.old)
        _take_ownership(self.new, 2, OWNER, THIRD)
        self._pull()
        self.assertIs(_acquire(self.new, token="t2").verdict, Verdict.KNOWN)
        self.assertIs(_acquire(self.new, key="fresh").verdict, Verdict.GRANTED)

    def test_previous_owner_is_fenced(self) -> None:
        """Guards against two owners that grant the same key."""
        decision = self.old.decide(build_acquire())
        message = self.old.build_copy_message(self.old_table, (decision.record,))
        _take_ownership(self.new, 2, OWNER, THIRD)
        reply = self.new.receive_copies(message)
        self.assertEqual((reply.accepted, reply.epoch), (False, 2))
        self._pull()
        reply = self.old.decide_after_copy(
            self.old_table, decision.record, copied=True, was_only_member=False
        )
        self.assertIs(reply.verdict, Verdict.NOT_OWNER)

    def test_unknown_key_is_not_granted_while_the_history_is_incomplete(self) -> None:
        """Guards against running a repeated request while no daemon that knows its key responds."""
        _take_ownership(self.new, 2, OWNER, THIRD)
        self.assertIs(_acquire(self.new).verdict, Verdict.INCOMPLETE)
        self.clock.advance(WINDOW_MS + 10_001)
        self.new.ownership.record_renewal(sent_ms=self.clock.now_ms())
        _reconcile(self.new, PEER, OWNER, THIRD)
        table = self.new.tables["keys/0"]
        table.history.record_coverage(self.new.covered_ms())
        self.assertIs(_acquire(self.new).verdict, Verdict.INCOMPLETE)
        # Two daemons hold each grant, so one missing daemon hides none.
        pulled = build_manager(self.clock, THIRD).handle_pull(PullPermits(group="keys/0", epoch=2))
        self.new.merge_pulled_copies(table, pulled)
        self.assertIs(_acquire(self.new).verdict, Verdict.GRANTED)

    def test_time_of_grants_without_a_copy_is_not_covered(self) -> None:
        """Guards against a new owner that counts a time with grants without a copy as covered."""
        manager = build_manager(self.clock, OWNER)
        _reconcile(manager, OWNER)
        self.clock.advance(1.0)
        _take_ownership(manager, 1)
        self.assertGreater(manager.covered_ms(), WINDOW_MS)
        decision = manager.decide(build_acquire())
        reply = manager.decide_after_copy(
            manager.tables["keys/0"],
            decision.record,
            copied=False,
            was_only_member=manager.is_only_member,
        )
        self.assertIs(reply.verdict, Verdict.GRANTED)
        self.assertEqual(manager.covered_ms(), 0.0)

    def test_later_record_wins_in_any_order_of_arrival(self) -> None:
        """Guards against a delayed older copy that blocks a freed key, or frees a held one."""
        decision = self.old.decide(build_acquire())
        grant = self.old.build_copy_message(self.old_table, (decision.record,))
        self.old.decide_after_copy(
            self.old_table, decision.record, copied=True, was_only_member=False
        )
        self.old.settle(build_settle(build_acquire(), Outcome.REFUSED))
        self.new.receive_copies(self.old.build_copy_message(self.old_table, ()))
        self.new.receive_copies(grant)
        self.assertIs(self.new.copies.get("keys/0", "k").state, RecordState.FREE)


if __name__ == "__main__":
    unittest.main()
