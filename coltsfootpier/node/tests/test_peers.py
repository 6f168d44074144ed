"""Tests of requests to an owner that is replaced before it responds."""

import unittest

import anyio
from returns.result import Success

from coltsfootpier.journal import OwnerInfo
from coltsfootpier.node._peers import ReadJob, request_while_owner
from coltsfootpier.node._responses import Response, ResponseStatus

OLD = OwnerInfo(holder="old", address="127.0.0.1:1", generation=1)
NEW = OwnerInfo(holder="new", address="127.0.0.1:2", generation=2)
KNOWN = Response(status=ResponseStatus.KNOWN)


class FakeWatch:
    """Source of an owner that a test changes."""

    def __init__(self):
        self.owner = OLD
        self._changed = anyio.Event()

    def change(self, owner):
        self.owner = owner
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait_change(self, timeout_ms):
        await self._changed.wait()


class FakePeer:
    """Peer that responds when a test releases it."""

    def __init__(self):
        self.release = anyio.Event()
        self.cancelled = False

    async def send_request(self, request, *, timeout_ms):
        try:
            await self.release.wait()
        except anyio.get_cancelled_exc_class():
            self.cancelled = True
            raise
        return Success(KNOWN)


class RequestWhileOwnerTest(unittest.TestCase):
    """Single requests, without a network."""

    def _send_request(self, *steps):
        peer, results = FakePeer(), []

        async def run_steps():
            watch = FakeWatch()
            async with anyio.create_task_group() as group:

                async def send_request():
                    results.append(
                        await request_while_owner(
                            peer, ReadJob(job_id="a"), info=OLD, watch=watch, timeout_ms=9e9
                        )
                    )

                group.start_soon(send_request)
                for step in steps:
                    await anyio.wait_all_tasks_blocked()
                    self.assertEqual(results, [])
                    step(peer, watch)

        anyio.run(run_steps)
        self.peer = peer
        return results[0]

    def test_later_owner_cancels_the_request(self):
        """Guards against callers that wait for an unreachable owner until their deadlines."""
        result = self._send_request(lambda peer, watch: watch.change(NEW))
        self.assertEqual(result.failure().reason, "another daemon owns the cell")
        self.assertTrue(self.peer.cancelled)

    def test_response_while_cell_has_no_owner(self):
        """Guards against dropping a response because the owner's lease expired in an outage."""
        result = self._send_request(
            lambda peer, watch: watch.change(None), lambda peer, watch: peer.release.set()
        )
        self.assertEqual(result.unwrap(), KNOWN)

    def test_unrelated_change_keeps_the_request(self):
        """Guards against requests that are cancelled by each new configuration."""
        result = self._send_request(
            lambda peer, watch: watch.change(OLD), lambda peer, watch: peer.release.set()
        )
        self.assertEqual(result.unwrap(), KNOWN)
