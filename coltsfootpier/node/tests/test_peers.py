"""Tests of requests to an owner that is replaced before it responds."""

import unittest

import anyio
from returns.result import Failure, Success

from coltsfootpier.clock import VirtualClock
from coltsfootpier.journal import OwnerInfo
from coltsfootpier.node._peers import (
    PeerClient,
    ReadJob,
    build_peer_application,
    request_while_owner,
)
from coltsfootpier.node._responses import NOT_OWNER, Response, ResponseStatus
from coltsfootpier.node.tests.builders import build_submission
from coltsfootpier.transport import NotSent, Reply, decode, encode

OLD = OwnerInfo(holder="old", address="127.0.0.1:1", generation=1)
NEW = OwnerInfo(holder="new", address="127.0.0.1:2", generation=2)
KNOWN = Response(status=ResponseStatus.KNOWN)
ACCEPTED = Response(status=ResponseStatus.ACCEPTED)


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
        self.requests = []

    async def send_request(self, request, *, timeout_ms):
        self.requests.append(request)
        try:
            await self.release.wait()
        except anyio.get_cancelled_exc_class():
            self.cancelled = True
            raise
        return Success(KNOWN)


class RequestWhileOwnerTest(unittest.TestCase):
    """Single requests, without a network."""

    def _send_request(self, *steps, request=None):
        peer, results = FakePeer(), []

        async def run_steps():
            watch = FakeWatch()
            async with anyio.create_task_group() as group:

                async def send_request():
                    results.append(
                        await request_while_owner(
                            peer,
                            request or ReadJob(job_id="a"),
                            info=OLD,
                            watch=watch,
                            timeout_ms=9e9,
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

    def test_submission_names_the_ownership_that_it_is_sent_to(self):
        """Guards against an owner that ignores every submission of other daemons."""
        self._send_request(
            lambda peer, watch: peer.release.set(), request=build_submission(generation=0)
        )
        self.assertEqual(self.peer.requests, [build_submission(generation=OLD.generation)])


class FakeOwner:
    """Owner that accepts every job and records them."""

    def __init__(self, info):
        self.info = info
        self.accepted = []

    async def submit(self, job_id, queue, spec, left_ms):
        self.accepted.append(job_id)
        return ACCEPTED


class PeerApplicationTest(unittest.TestCase):
    """Submissions that arrive at an owner from other daemons, without a network."""

    def _receive_submission(self, request, owner):
        sent = []

        async def receive():
            return {"type": "http.request", "body": encode(request), "more_body": False}

        async def send(message):
            sent.append(message)

        scope = {"type": "http", "method": "POST", "path": "/submit", "headers": []}
        anyio.run(build_peer_application(get_owner=lambda: owner), scope, receive, send)
        return decode(sent[1]["body"], Response)

    def test_submission_to_this_ownership_is_processed(self):
        """Guards against rejecting all jobs that callers submit to other daemons."""
        owner = FakeOwner(NEW)
        request = build_submission(generation=NEW.generation)
        self.assertEqual(self._receive_submission(request, owner), ACCEPTED)
        self.assertEqual(owner.accepted, [request.job_id])

    def test_late_submission_to_earlier_ownership_does_not_start_rejected_job(self):
        """Guards against starting a job that was rejected after its sender gave this request up."""
        owner = FakeOwner(NEW)
        request = build_submission(generation=OLD.generation)
        self.assertEqual(self._receive_submission(request, owner), NOT_OWNER)
        self.assertEqual(owner.accepted, [])


class FakePool:
    """Connections that return a given response."""

    def __init__(self, status, body):
        self._reply = Reply(status=status, headers=(), body=body)

    async def exchange(self, method, target, *, body, timeout_ms):
        return Success(self._reply)


class PeerClientTest(unittest.TestCase):
    """Responses of the owner on another VM, without a network."""

    def _submit(self, status, body):
        async def submit():
            client = PeerClient(address=OLD.address, clock=VirtualClock())
            client._pool = FakePool(status, body)
            return await client.send_request(build_submission(), timeout_ms=1_000.0)

        return anyio.run(submit)

    def test_submission_interrupted_at_the_owner_is_not_rejected(self):
        """Guards against a rejection of a job that the owner accepted before its process exited."""
        result = self._submit(500, b"Internal Server Error")
        self.assertIsInstance(result, Failure)
        self.assertNotIsInstance(result.failure(), NotSent)

    def test_request_that_the_peer_can_not_read_is_sent_again(self):
        """Guards against an unknown outcome of a request that no owner has processed."""
        self.assertEqual(self._submit(404, b'{"error": "unknown_path"}'), Success(NOT_OWNER))
