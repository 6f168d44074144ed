"""Tests of queueing for slots and borrowing them from peers."""

from __future__ import annotations

import unittest
from typing import Any

import anyio
from returns.result import Result, Success

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.daemon._slots import SlotBroker
from coltsfootpier.peers import BorrowSlot, LentSlot, ReturnSlot
from coltsfootpier.routing import Feedback, Grant, Rejected, RejectionReason, Router, Ticket
from tests.builders import build_runner


class _Peer:
    """Peer client that passes messages directly to the broker of the peer."""

    def __init__(self, broker: SlotBroker) -> None:
        self._broker = broker
        self.borrow_count = 0

    async def borrow_slot(self, request: BorrowSlot) -> Result[LentSlot, Any]:
        self.borrow_count += 1
        return Success(await self._broker.lend(request))

    async def return_slot(self, request: ReturnSlot) -> Result[LentSlot, Any]:
        self._broker.free_returned_slot(request)
        return Success(LentSlot())


class SlotBrokerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = MonotonicClock()
        self.peers: dict[str, _Peer] = {}
        self.brokers = {}
        self.routers = {}
        # The only runner has one slot, which is assigned to member m2.
        for member in ("m1", "m2"):
            router = Router(clock=self.clock, availability_zone="z1", queue_length=4)
            router.observe_members(member, {"m1": "z1", "m2": "z1"})
            router.observe_runners("r1", 1, [build_runner(slots=1)])
            broker = SlotBroker(router=router, clock=self.clock, get_peer=self.peers.get)
            broker.member = member
            self.routers[member], self.brokers[member] = router, broker
            self.peers[member] = _Peer(broker)

    def build_ticket(self, timeout_ms: float) -> Ticket:
        now_ms = self.clock.now_ms()
        return Ticket(service="web", deadline_ms=now_ms + timeout_ms, arrived_ms=now_ms)

    def run_with_brokers(self, scenario: Any) -> None:
        async def run() -> None:
            with anyio.fail_after(10):
                async with anyio.create_task_group() as group:
                    for broker in self.brokers.values():
                        group.start_soon(broker.run)
                    await anyio.lowlevel.checkpoint()
                    await scenario()
                    group.cancel_scope.cancel()

        anyio.run(run)

    def test_waiting_request_borrows_once_and_gets_released_slot(self) -> None:
        """Guards against repeated borrow requests to peers for one waiting request."""

        async def scenario() -> None:
            grant = await self.brokers["m2"].acquire(self.build_ticket(5_000.0))
            decisions: list[Grant | Rejected] = []

            async def wait() -> None:
                decisions.append(await self.brokers["m1"].acquire(self.build_ticket(5_000.0)))

            async with anyio.create_task_group() as group:
                group.start_soon(wait)
                await anyio.sleep(0.2)
                self.assertEqual((self.peers["m2"].borrow_count, decisions), (1, []))
                await self.brokers["m2"].release(grant, Feedback())
            self.assertEqual(decisions[0].owner, "m2")
            await self.brokers["m1"].release(decisions[0], Feedback())
            await anyio.sleep(0.01)
            self.assertEqual(self.routers["m2"].count_free_slots(), {"web": 1})

        self.run_with_brokers(scenario)

    def test_slot_lent_after_cancellation_is_returned(self) -> None:
        """Guards against losing a slot that a peer lends after the request was cancelled."""

        async def scenario() -> None:
            grant = await self.brokers["m2"].acquire(self.build_ticket(5_000.0))
            with anyio.move_on_after(0.05):
                await self.brokers["m1"].acquire(self.build_ticket(5_000.0))
            await self.brokers["m2"].release(grant, Feedback())
            await anyio.sleep(0.05)
            self.assertEqual(self.routers["m2"].count_free_slots(), {"web": 1})

        self.run_with_brokers(scenario)

    def test_queued_request_is_rejected_at_its_deadline(self) -> None:
        """Guards against a request that stays queued after its deadline."""

        async def scenario() -> None:
            await self.brokers["m2"].acquire(self.build_ticket(5_000.0))
            decision = await self.brokers["m1"].acquire(self.build_ticket(50.0))
            self.assertEqual(decision, Rejected(reason=RejectionReason.DEADLINE))

        self.run_with_brokers(scenario)


if __name__ == "__main__":
    unittest.main()
