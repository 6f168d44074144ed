"""Tests of the queues of waiting requests."""

from __future__ import annotations

import unittest
from collections import Counter

from coltsfootpier.clock import VirtualClock
from coltsfootpier.routing import FairQueue, QueueContext, RejectionReason, Share, SlotUse, Ticket
from tests.builders import build_ticket


class FairQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        shares = {
            "urgent": Share(weight=1.0, guaranteed=0.3, priority=3),
            "low": Share(weight=1.0, guaranteed=0.3, priority=0),
        }
        self.queue = FairQueue(
            QueueContext(
                max_length=100,
                now_ms=self.clock.now_ms,
                response_ms=lambda _: 100.0,
                shares=shares,
            )
        )
        self.use = SlotUse(slots=10)

    def admit(self, kind: str, **changes: object) -> Ticket | RejectionReason:
        ticket = build_ticket(self.clock, kind=kind, **changes)
        return self.queue.admit(ticket, self.use) or ticket

    def pop_next(self) -> Ticket | None:
        return self.queue.pop_next(self.use, lambda _: True)

    def fill_slots(self, slots: int) -> Counter[str]:
        for _ in range(slots):
            popped = self.pop_next()
            self.use.busy[popped.team, popped.kind] += 1
        return Counter({kind: self.use.count_busy(kind) for kind in ("urgent", "low")})

    def test_overload_of_urgent_requests_leaves_the_guaranteed_share(self) -> None:
        """Guards against a high-priority kind that takes another kind's guaranteed share."""
        for _ in range(20):
            self.admit("urgent")
            self.admit("low")
        self.assertEqual(self.fill_slots(10), {"urgent": 5, "low": 5})

    def test_unused_share_is_lent_and_reclaimed(self) -> None:
        """Guards against idle slots under overload, and lent shares that aren't returned."""
        for _ in range(20):
            self.admit("low")
        self.assertEqual(self.fill_slots(10), {"urgent": 0, "low": 10})
        self.admit("urgent")
        self.use.busy["", "low"] -= 1
        self.assertEqual(self.pop_next().kind, "urgent")

    def test_urgent_kind_is_served_first_below_its_share(self) -> None:
        """Guards against urgent requests that wait behind others while their kind uses no slot."""
        self.admit("low")
        self.admit("urgent")
        self.assertEqual(self.pop_next().kind, "urgent")

    def test_priority_is_ignored_near_the_share(self) -> None:
        """Guards against an overloaded urgent kind that keeps the other kinds below their shares.

        This happens if its priority lets it take every slot up to its whole share.
        """
        self.use.busy.update({("", "urgent"): 4, ("", "low"): 3})
        self.admit("urgent")
        self.admit("low")
        self.assertEqual(self.pop_next().kind, "low")

    def test_teams_of_a_kind_take_turns(self) -> None:
        """Guards against a team whose burst of requests starves the other teams of the kind."""
        for _ in range(10):
            self.admit("low", team="a")
        self.admit("low", team="b")
        self.fill_slots(1)
        self.assertEqual(self.pop_next().team, "b")

    def test_request_that_cannot_meet_its_deadline_is_rejected_early(self) -> None:
        """Guards against callers that get a rejection only at the deadline of their request."""
        deadline_ms = self.clock.now_ms() + 150.0
        admitted = [self.admit("low", deadline_ms=deadline_ms) for _ in range(10)]
        self.assertIsInstance(admitted[0], Ticket)
        self.assertIs(admitted[-1], RejectionReason.DEADLINE)

    def test_newest_is_served_before_the_oldest_under_overload(self) -> None:
        """Guards against serving every request just after its deadline under overload."""
        oldest = self.admit("low")
        self.clock.advance(600.0)
        newest = self.admit("low")
        self.assertIs(self.pop_next(), newest)
        self.assertIs(self.pop_next(), oldest)

    def test_late_requests_are_dropped(self) -> None:
        """Guards against using slots for requests that can no longer meet their deadline."""
        oldest = self.admit("low")
        self.clock.advance(950.0)
        self.assertIsNone(self.pop_next())
        self.assertEqual(self.queue.drop_late(), [oldest])
        self.assertEqual(len(self.queue), 0)


if __name__ == "__main__":
    unittest.main()
