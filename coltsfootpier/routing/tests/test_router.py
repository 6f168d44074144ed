"""Tests of the router."""

from __future__ import annotations

import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.routing import (
    AttemptResult,
    Feedback,
    Grant,
    Queued,
    Rejected,
    RejectionReason,
    Router,
    TicketSettledError,
    TicketState,
)
from tests.builders import build_runner, build_ticket


class RouterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.router = Router(clock=self.clock, availability_zone="z1", queue_length=1)
        self.router.observe_members("m1", {})
        self.router.observe_runners("r1", 1, [build_runner()])

    def acquire(self, **changes: object) -> Grant | Queued | Rejected:
        return self.router.acquire(build_ticket(self.clock, **changes))

    def fill_slots(self) -> list[Grant]:
        grants = []
        while isinstance(decision := self.acquire(), Grant):
            grants.append(decision)
        return grants

    def test_slots_are_never_exceeded(self) -> None:
        """Guards against a third request to a runner with two slots."""
        first, second, third = (self.acquire() for _ in range(3))
        self.assertIsInstance(first, Grant)
        self.assertIsInstance(second, Grant)
        self.assertIsInstance(third, Queued)
        self.assertEqual(len(self.router.release(first.runner.id, first.token)), 1)

    def test_queue_is_bounded(self) -> None:
        """Guards against an unbounded queue under overload."""
        decisions = [self.acquire() for _ in range(20)]
        self.assertEqual(decisions[-1], Rejected(reason=RejectionReason.QUEUE_FULL))

    def test_leaving_runner_gets_no_request(self) -> None:
        """Guards against new requests to a runner that is shutting down."""
        self.router.mark_leaving("service/web/0#1")
        self.assertIsInstance(self.acquire(), Queued)

    def test_leaving_mark_survives_a_table_update(self) -> None:
        """Guards against an outdated table that makes a leaving runner usable again."""
        self.router.mark_leaving("service/web/0#1")
        other = build_runner("service/other/0#1", service="other")
        self.router.observe_runners("r1", 2, [build_runner(), other])
        self.assertIsInstance(self.acquire(), Queued)

    def test_leaving_feedback_of_a_borrower_marks_the_runner(self) -> None:
        """Guards against a slot owner that continues to grant slots of a leaving runner."""
        grant = self.acquire(borrower="m2")
        self.router.release(grant.runner.id, grant.token, Feedback(leaving=True))
        self.assertIsInstance(self.acquire(), Queued)

    def test_lower_epoch_is_ignored(self) -> None:
        """Guards against a superseded shard owner whose table brings back old runners."""
        self.router.observe_runners("r1", 2, [])
        self.router.observe_runners("r1", 1, [build_runner()])
        self.assertEqual(self.router.runners(), [])

    def test_slot_is_borrowed_from_the_peer_with_most_free(self) -> None:
        """Guards against queueing requests while another daemon has free slots."""
        self.router.observe_members("m1", {"m2": "z1", "m3": "z2"})
        self.router.observe_peer("m2", {"web": 1})
        self.router.observe_peer("m3", {"web": 5})
        self.fill_slots()
        borrow = self.router.plan_borrows("web")[0]
        self.assertEqual(borrow.peer, "m3")

    def test_borrowed_slot_serves_the_waiting_request(self) -> None:
        """Guards against borrowed slots that no waiting request gets."""
        self.router.observe_members("m1", {"m2": "z1"})
        self.router.observe_peer("m2", {"web": 1})
        self.fill_slots()
        grant = Grant(runner=build_runner(), owner="m2", token=1)
        settlement = self.router.settle_borrow("m2", "web", grant, 0)
        self.assertEqual(settlement.decision, grant)
        self.assertIsNone(self.router.settle_borrow("m2", "web", grant, 0))

    def test_overload_does_not_query_peers_without_free_slots(self) -> None:
        """Guards against a number of calls to peers that grows with the waiting requests."""
        self.router.observe_members("m1", {"m2": "z1"})
        self.router.observe_peer("m2", {"web": 0})
        self.fill_slots()
        self.assertEqual(self.router.plan_borrows("web"), [])

    def test_daemon_without_slots_queues_at_an_owner(self) -> None:
        """Guards against requests that starve on an entry VM that owns no slot of their service."""
        self.router.observe_runners("r1", 2, [build_runner(slots=1)])
        self.router.observe_members("m1", {"m2": "z1"})
        self.assertEqual(self.router.count_owned_slots("web"), 0)
        self.assertIsInstance(self.acquire(), Queued)
        self.assertEqual([borrow.peer for borrow in self.router.plan_borrows("web")], ["m2"])
        self.assertEqual(self.router.plan_borrows("web"), [])

    def test_owner_that_declined_gets_no_second_request_at_once(self) -> None:
        """Guards against repeated calls without delay to an owner whose queue is full."""
        self.router.observe_runners("r1", 2, [build_runner(slots=1)])
        self.router.observe_members("m1", {"m2": "z1"})
        self.acquire()
        self.assertEqual(len(self.router.plan_borrows("web")), 1)
        self.router.settle_borrow("m2", "web", None, 1)
        self.assertEqual(self.router.plan_borrows("web"), [])
        self.clock.advance(200.0)
        self.assertEqual(len(self.router.plan_borrows("web")), 1)

    def test_slots_lent_to_a_removed_member_are_reclaimed(self) -> None:
        """Guards against losing the slots that a failed entry VM had borrowed."""
        self.router.observe_members("m1", {"m2": "z1"})
        self.assertIsInstance(self.acquire(borrower="m2"), Grant)
        self.router.observe_members("m1", {})
        self.assertEqual(self.router.count_free_slots(), {"web": 2})

    def test_overdue_attempt_keeps_its_slot_until_the_deadline(self) -> None:
        """Guards against requests to a runner that rejects them while an overdue one runs."""
        grant = self.acquire()
        overdue = Feedback(result=AttemptResult.OVERDUE, request_id="1")
        self.router.release(grant.runner.id, grant.token, overdue)
        self.assertEqual(self.router.count_free_slots(), {"web": 1})
        self.clock.advance(1_001.0)
        self.router.expire()
        self.assertEqual(self.router.count_free_slots(), {"web": 2})

    def test_late_request_is_rejected_not_granted(self) -> None:
        """Guards against granting a slot to a request that can't meet its deadline."""
        first, _ = self.fill_slots()
        self.clock.advance(1_000.0)
        settled = self.router.release(first.runner.id, first.token)
        self.assertTrue(settled)
        for settlement in settled:
            self.assertEqual(settlement.decision, Rejected(reason=RejectionReason.DEADLINE))
            self.assertIs(settlement.ticket.state, TicketState.REFUSED)

    def test_ticket_settles_once(self) -> None:
        """Guards against two decisions on one request."""
        ticket = build_ticket(self.clock)
        self.router.acquire(ticket)
        with self.assertRaises(TicketSettledError):
            self.router.acquire(ticket)

    def test_unreachable_runner_is_blocked_then_probed(self) -> None:
        """Guards against further requests to a runner that refuses connections."""
        grant = self.acquire()
        feedback = Feedback(result=AttemptResult.UNREACHABLE, request_id="1")
        self.router.release(grant.runner.id, grant.token, feedback)
        self.assertIsInstance(self.acquire(), Queued)
        self.clock.advance(1_001.0)
        self.assertIsInstance(self.acquire(), Grant)
        self.assertIsInstance(self.acquire(), Queued)


if __name__ == "__main__":
    unittest.main()
