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

    def fill(self) -> list[Grant]:
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
        """Guards against a queue that grows with the load."""
        decisions = [self.acquire() for _ in range(20)]
        self.assertEqual(decisions[-1], Rejected(reason=RejectionReason.QUEUE_FULL))

    def test_leaving_runner_gets_no_request(self) -> None:
        """Guards against new work for a backend server that leaves."""
        self.router.mark_leaving("service/web/0#1")
        self.assertIsInstance(self.acquire(), Queued)

    def test_leaving_is_kept_when_the_table_changes(self) -> None:
        """Guards against a table from before the runner's own word that brings it back."""
        self.router.mark_leaving("service/web/0#1")
        other = build_runner("service/other/0#1", service="other")
        self.router.observe_runners("r1", 2, [build_runner(), other])
        self.assertIsInstance(self.acquire(), Queued)

    def test_word_of_a_borrower_marks_the_runner(self) -> None:
        """Guards against a slot owner that goes on granting a runner that leaves."""
        grant = self.acquire(borrower="m2")
        self.router.release(grant.runner.id, grant.token, Feedback(leaving=True))
        self.assertIsInstance(self.acquire(), Queued)

    def test_lower_epoch_is_ignored(self) -> None:
        """Guards against a superseded shard owner that brings back old runners."""
        self.router.observe_runners("r1", 2, [])
        self.router.observe_runners("r1", 1, [build_runner()])
        self.assertEqual(self.router.runners(), [])

    def test_slot_is_borrowed_from_the_peer_with_most_free(self) -> None:
        """Guards against a queue while another daemon has free slots."""
        self.router.observe_members("m1", {"m2": "z1", "m3": "z2"})
        self.router.observe_peer("m2", {"web": 1})
        self.router.observe_peer("m3", {"web": 5})
        self.fill()
        borrow = self.router.plan_borrows("web")[0]
        self.assertEqual(borrow.peer, "m3")

    def test_borrowed_slot_serves_the_waiting_request(self) -> None:
        """Guards against a borrowed slot that nobody uses."""
        self.router.observe_members("m1", {"m2": "z1"})
        self.router.observe_peer("m2", {"web": 1})
        self.fill()
        grant = Grant(runner=build_runner(), owner="m2", token=1)
        settlement = self.router.settle_borrow("m2", "web", grant, 0)
        self.assertEqual(settlement.decision, grant)
        self.assertIsNone(self.router.settle_borrow("m2", "web", grant, 0))

    def test_flood_asks_no_peer_without_free_slots(self) -> None:
        """Guards against calls to peers that grow with the number of waiting requests."""
        self.router.observe_members("m1", {"m2": "z1"})
        self.router.observe_peer("m2", {"web": 0})
        self.fill()
        self.assertEqual(self.router.plan_borrows("web"), [])

    def test_daemon_without_slots_waits_at_an_owner(self) -> None:
        """Guards against starving the callers of an entry VM that owns no slot of a service."""
        self.router.observe_runners("r1", 2, [build_runner(slots=1)])
        self.router.observe_members("m1", {"m2": "z1"})
        self.assertEqual(self.router.owned_slots("web"), 0)
        self.assertIsInstance(self.acquire(), Queued)
        self.assertEqual([borrow.peer for borrow in self.router.plan_borrows("web")], ["m2"])
        self.assertEqual(self.router.plan_borrows("web"), [])

    def test_owner_that_declined_is_left_alone_for_a_while(self) -> None:
        """Guards against calls in a tight loop to an owner whose queue is full."""
        self.router.observe_runners("r1", 2, [build_runner(slots=1)])
        self.router.observe_members("m1", {"m2": "z1"})
        self.acquire()
        self.assertEqual(len(self.router.plan_borrows("web")), 1)
        self.router.settle_borrow("m2", "web", None, 1)
        self.assertEqual(self.router.plan_borrows("web"), [])
        self.clock.advance(200.0)
        self.assertEqual(len(self.router.plan_borrows("web")), 1)

    def test_slots_lent_to_a_member_that_is_gone_are_free_again(self) -> None:
        """Guards against capacity that is lost when an entry VM dies with borrowed slots."""
        self.router.observe_members("m1", {"m2": "z1"})
        self.assertIsInstance(self.acquire(borrower="m2"), Grant)
        self.router.observe_members("m1", {})
        self.assertEqual(self.router.free_slots(), {"web": 2})

    def test_overdue_attempt_keeps_its_slot_until_the_deadline(self) -> None:
        """Guards against a next request that the still busy runner refuses."""
        grant = self.acquire()
        overdue = Feedback(result=AttemptResult.OVERDUE, request_id="1")
        self.router.release(grant.runner.id, grant.token, overdue)
        self.assertEqual(self.router.free_slots(), {"web": 1})
        self.clock.advance(1_001.0)
        self.router.expire()
        self.assertEqual(self.router.free_slots(), {"web": 2})

    def test_late_request_is_refused_not_granted(self) -> None:
        """Guards against a slot spent on a request that can't be answered in time."""
        first, _ = self.fill()
        self.clock.advance(1_000.0)
        settled = self.router.release(first.runner.id, first.token)
        self.assertTrue(settled)
        for one in settled:
            self.assertEqual(one.decision, Rejected(reason=RejectionReason.DEADLINE))
            self.assertIs(one.ticket.state, TicketState.REFUSED)

    def test_ticket_settles_once(self) -> None:
        """Guards against a grant for a request that was already answered."""
        ticket = build_ticket(self.clock)
        self.router.acquire(ticket)
        with self.assertRaises(TicketSettledError):
            self.router.acquire(ticket)

    def test_unreachable_runner_is_left_out_and_tried_again(self) -> None:
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
