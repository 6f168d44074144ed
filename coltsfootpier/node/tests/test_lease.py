"""Tests of the renewal of the owner's lease while the store loses responses."""

import unittest
from unittest import mock

import anyio
from returns.result import Failure, Success

from coltsfootpier.node import _timing
from coltsfootpier.node._lease import LeaseRenewer
from coltsfootpier.platform import LeaseLost, StoreLease

# Much longer than needed; a test ends as soon as its condition holds.
TIMEOUT_S = 20


class FakeStore:
    """Store with given responses to the first renewals; it confirms all others."""

    def __init__(self, *responses, ended=()):
        self.responses = list(responses)
        self.ended = ended
        self.renewed = []
        self.grants = 0

    async def renew_lease(self, lease):
        """Renew a lease; never return if the given response is None."""
        self.renewed.append(lease)
        if lease in self.ended:
            return Failure(LeaseLost(str(lease)))
        response = self.responses.pop(0) if self.responses else Success(1_300.0)
        if response is None:
            await anyio.sleep_forever()
        return response

    async def grant_lease(self, *, ttl_ms):
        """Grant a lease."""
        self.grants += 1
        # Long enough for other renewals to fail because the lease has expired.
        for _ in range(10):
            await anyio.sleep(0)
        return Success(StoreLease(100 + self.grants, ttl_ms))


class LeaseRenewerTest(unittest.TestCase):
    """Sent renewals and replaced leases."""

    def setUp(self):
        self.granted = []

    def _run(self, store, until):
        renewer = LeaseRenewer(
            store=store,
            lease=7,
            ttl_ms=1_300.0,
            on_granted=self.granted.append,
        )

        async def run():
            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as group:
                    group.start_soon(renewer.run)
                    while not until():
                        await anyio.sleep(0)
                    group.cancel_scope.cancel()

        with mock.patch.multiple(_timing, OWNER_RENEW_PERIOD_MS=0.0):
            anyio.run(run)

    def test_lost_response_does_not_delay_the_next_renewal(self):
        """Guards against an owner that loses its lease because of one lost response."""
        store = FakeStore(None)
        self._run(store, lambda: len(store.renewed) >= 3)

    def test_concurrent_renewals_are_bounded(self):
        """Guards against an unbounded number of renewals while the store doesn't respond."""
        store = FakeStore(*[None] * 100)
        rounds = iter(range(200))
        self._run(store, lambda: next(rounds) == 199)
        self.assertLessEqual(len(store.renewed), 6)

    def test_expired_lease_is_replaced_once(self):
        """Guards against several new leases when several renewals find the lease expired."""
        store = FakeStore(ended={7})
        self._run(store, lambda: 101 in store.renewed)
        self.assertGreater(store.renewed.count(7), 1)
        self.assertEqual(store.grants, 1)
        self.assertEqual(self.granted, [101])


if __name__ == "__main__":
    unittest.main()
