"""Tests of the proof that no later owner exists, by reads of the head record."""

import unittest
from unittest import mock

import anyio
from returns.result import Failure, Success

from coltsfootpier.clock import VirtualClock
from coltsfootpier.journal import Head
from coltsfootpier.node import _timing
from coltsfootpier.node._verifier import HeadReadSchedule, OwnershipVerifier
from coltsfootpier.node.keys import HEAD_KEY, OWNER_KEY
from coltsfootpier.platform import Item, StoreUnavailable
from coltsfootpier.transport import encode

# Much longer than needed; a test ends as soon as its condition holds.
TIMEOUT_S = 20
TIMEOUT_MS = 1_000.0 * TIMEOUT_S
OWN = Head(generation=3, holder="me")


def build_item(head, key=HEAD_KEY):
    """Build the item of a head record."""
    return Success(Item(key, encode(head), 7, 7))


class HeadReadScheduleTest(unittest.TestCase):
    """Times at which the head record is read."""

    def setUp(self):
        self.schedule = HeadReadSchedule(confirmed_ms=0.0)

    def test_frequent_changes_need_no_reads(self):
        """Guards against reads that the platform charges although changes prove the ownership."""
        for sent_ms in (100.0, 250.0):
            self.schedule.record_confirmation(sent_ms)
            self.assertEqual(self.schedule.compute_due_ms(), sent_ms + _timing.HEAD_READ_PERIOD_MS)

    def test_lost_response_does_not_delay_the_next_read(self):
        """Guards against an owner that loses its proof because of one lost response."""
        self.schedule.record_sent(200.0)
        self.assertEqual(self.schedule.compute_due_ms(), 400.0)

    def test_reads_in_flight_are_bounded(self):
        """Guards against an unbounded number of reads while the store doesn't respond."""
        for _ in range(6):
            self.schedule.record_sent(200.0)
        self.schedule.record_demand(300.0)
        self.assertEqual(self.schedule.compute_due_ms(), float("inf"))

    def test_demands_share_reads(self):
        """Guards against a charged read for each of many queries for unknown jobs."""
        self.schedule.record_demand(100.0)
        self.assertLessEqual(self.schedule.compute_due_ms(), 100.0)
        self.schedule.record_sent(100.5)
        self.assertGreater(self.schedule.compute_due_ms(), 300.0)
        for now_ms in (101.0, 102.0, 103.0):
            self.schedule.record_demand(now_ms)
        self.assertEqual(self.schedule.compute_due_ms(), 100.5 + _timing.HEAD_READ_PERIOD_MS)
        self.schedule.record_end()
        self.assertEqual(self.schedule.compute_due_ms(), 100.5 + _timing.HEAD_READ_PAUSE_MS)
        self.schedule.record_sent(151.0)
        self.schedule.record_end()
        self.assertGreater(self.schedule.compute_due_ms(), 300.0)


class FakeStore:
    """Store that gives a list of responses, then none; the clock moves on with each read."""

    def __init__(self, clock, *responses):
        self.clock = clock
        self.responses = list(responses)
        self.keys = []
        self.sent_ms = []

    async def probe(self, key, *, timeout_ms):
        """Return the next response; call it if it is a function."""
        self.keys.append(key)
        self.sent_ms.append(self.clock.now_ms())
        response = self.responses.pop(0) if self.responses else None
        self.clock.advance(1.0)
        if response is None:
            await anyio.sleep_forever()
        return response() if callable(response) else response


class VerifierTestCase(unittest.TestCase):
    """A verifier of an owner of generation 3."""

    def setUp(self):
        self.clock = VirtualClock(start_ms=10_000.0)
        self.confirmed = []
        self.replaced = []

    def run_with(self, responses, test, *, period_ms=1.0):
        """Run a test beside a verifier whose store gives some responses."""
        self.store = FakeStore(self.clock, *responses)
        self.verifier = OwnershipVerifier(
            store=self.store,
            clock=self.clock,
            head=OWN,
            confirmed_ms=0.0,
            on_confirmed=self.confirmed.append,
            on_replaced=self.replaced.append,
        )

        async def run():
            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as group:
                    group.start_soon(self.verifier.run)
                    await test()
                    group.cancel_scope.cancel()

        with mock.patch.multiple(_timing, HEAD_READ_PERIOD_MS=period_ms, HEAD_READ_PAUSE_MS=1.0):
            anyio.run(run)

    async def wait_for_reads(self, count):
        """Wait until a number of reads have been sent."""
        while len(self.store.keys) < count:
            self.clock.advance(1.0)
            await anyio.sleep(0.001)


class EvidenceTest(VerifierTestCase):
    """What each response of the store proves."""

    def test_proof_counts_from_before_the_read_was_sent(self):
        """Guards against a proof that covers a successor which claimed after the read."""
        self.run_with([build_item(OWN.next())], lambda: self.wait_for_reads(2))
        self.assertEqual(len(self.confirmed), 1)
        self.assertLessEqual(self.confirmed[0], self.store.sent_ms[0])
        self.assertEqual(set(self.store.keys), {HEAD_KEY})

    def test_later_head_stops_the_owner(self):
        """Guards against an owner that goes on beside its successor while the watch is silent."""
        for head in (OWN.claim("other"), Head(generation=3, holder="other")):
            with self.subTest(head=head):
                self.setUp()
                self.run_with([build_item(head)], lambda: self.wait_for_reads(2))
                self.assertEqual(self.replaced, [head])
                self.assertEqual(self.confirmed, [])

    def test_head_with_the_owner_s_raised_token_is_its_own(self):
        """Guards against an owner that takes its own change for that of a later owner."""
        raised = OWN.next(raises_token=True)
        later = raised.next(raises_token=True)

        async def test():
            self.verifier.record_head(raised)
            await self.wait_for_reads(3)

        self.run_with([build_item(OWN), build_item(raised), build_item(later)], test)
        self.assertEqual(len(self.confirmed), 2)
        self.assertEqual(self.replaced, [later])

    def test_odd_value_neither_proves_nor_stops(self):
        """Guards against one odd response that ends the only owner, or counts as a proof."""
        odd = (
            Success(Item(HEAD_KEY, b"[", 7, 7)),
            Success(Item(HEAD_KEY)),
            build_item(Head(generation=2, holder="me")),
            build_item(OWN, key=OWNER_KEY),
            Failure(StoreUnavailable("busy")),
        )
        self.run_with(odd, lambda: self.wait_for_reads(len(odd) + 1))
        self.assertEqual((self.confirmed, self.replaced), ([], []))


class ConfirmationTest(VerifierTestCase):
    """Confirmations for requests that must not be answered beside a later owner."""

    def test_read_that_was_sent_earlier_is_not_enough(self):
        """Guards against a 410 response for a job that a successor accepted after the read."""

        async def test():
            await self.wait_for_reads(1)
            self.clock.advance(5.0)
            async with anyio.create_task_group() as group:
                group.start_soon(respond)
                self.answer = await self.verifier.confirm(timeout_ms=TIMEOUT_MS)

        async def respond():
            await anyio.sleep(0)
            self.verifier.record_confirmation(self.store.sent_ms[0])

        self.run_with([None, build_item(OWN.claim("other"))], test)
        self.assertFalse(self.answer)
        self.assertEqual(len(self.replaced), 1)

    def test_later_change_is_enough(self):
        """Guards against a read for each request although a change was confirmed meanwhile."""

        async def test():
            async with anyio.create_task_group() as group:
                group.start_soon(commit)
                self.answer = await self.verifier.confirm(timeout_ms=TIMEOUT_MS)

        async def commit():
            self.clock.advance(5.0)
            self.verifier.record_confirmation(self.clock.now_ms())

        self.run_with([None] * 9, test)
        self.assertTrue(self.answer)

    def test_confirmation_after_a_freeze_is_too_late(self):
        """Guards against a command for a VM that is sent when a successor counts it as over."""

        def respond():
            self.clock.advance(TIMEOUT_MS + 5_000.0)
            return build_item(OWN)

        async def test():
            await self.wait_for_reads(1)
            self.clock.advance(5.0)
            self.answer = await self.verifier.confirm(timeout_ms=TIMEOUT_MS)

        self.run_with([None, None, respond], test)
        self.assertFalse(self.answer)

    def test_many_requests_share_a_read(self):
        """Guards against charged reads that grow with the number of queries for unknown jobs."""
        answers = []

        async def confirm():
            answers.append(await self.verifier.confirm(timeout_ms=TIMEOUT_MS))

        async def test():
            await self.wait_for_reads(1)
            async with anyio.create_task_group() as group:
                for _ in range(50):
                    group.start_soon(confirm)

        self.run_with([build_item(OWN)] * 50, test, period_ms=5_000.0)
        self.assertEqual(answers, [True] * 50)
        self.assertLess(len(self.store.keys), 5)

    def test_unreachable_store(self):
        """Guards against a caller that waits for good, or gets a proof without the store."""

        async def test():
            self.answer = await self.verifier.confirm(timeout_ms=20.0)

        self.run_with([Failure(StoreUnavailable("down"))], test)
        self.assertFalse(self.answer)


if __name__ == "__main__":
    unittest.main()
