"""Tests of a daemon's requests to the owner on another VM, and of its stop."""

import unittest
from unittest import mock

import anyio
from returns.result import Failure, Success

from coltsfootpier.cells import CellSettings
from coltsfootpier.clock import VirtualClock
from coltsfootpier.journal import OwnerInfo, decode_owner
from coltsfootpier.node import _timing
from coltsfootpier.node._daemon import Daemon
from coltsfootpier.node._responses import Response, ResponseStatus, build_rejection
from coltsfootpier.node.tests.builders import build_settings, build_submission
from coltsfootpier.platform import Item, StoreLease, StoreUnknown
from coltsfootpier.transport import HttpResponse, NotSent, Unanswered, send_response
from standins.ports import HOST, PortReservations

ADDRESS = "127.0.0.1:9"
# Servers that a daemon starts.
ENDPOINTS = ("callers", "readiness", "peers", "metrics")
TIMEOUT_S = 40
BACKLOG = build_rejection("backlog")
UNANSWERED = Failure(Unanswered("overdue"))


class FakePeer:
    """Owner on another VM that returns given results, one for each attempt."""

    address = ADDRESS

    def __init__(self, results):
        self._results = list(results)
        self.on_attempt = lambda: None

    async def send_request(self, request, *, timeout_ms):
        result = self._results.pop(0)
        self.on_attempt()
        return result


class ForwardedSubmissionTest(unittest.TestCase):
    """Responses to callers after several attempts to submit a job, without a network."""

    def setUp(self):
        self.daemon = Daemon(settings=build_settings(), cell_settings=CellSettings())
        self._set_owner(1)

    def _set_owner(self, generation):
        info = OwnerInfo(holder="other", address=ADDRESS, generation=generation)
        self.daemon._control.update_owner(info, generation)

    def _submit(self, *results, on_attempt=lambda: None):
        self.daemon._peer_client = peer = FakePeer(results)
        peer.on_attempt = on_attempt

        async def submit():
            deadline_ms = self.daemon._clock.now_ms() + 3_000.0
            return await self.daemon.send_request(build_submission(), deadline_ms)

        return anyio.run(submit)

    def test_rejection_after_unanswered_attempt_is_not_passed_on(self):
        """Guards against a job that starts after its rejection because a request arrived late."""
        response = self._submit(UNANSWERED, Success(BACKLOG))
        self.assertIs(response.status, ResponseStatus.UNKNOWN)

    def test_rejection_by_later_owner_is_passed_on(self):
        """Guards against a 504 response at each change of owner; no late request is processed."""
        response = self._submit(UNANSWERED, Success(BACKLOG), on_attempt=lambda: self._set_owner(2))
        self.assertEqual(response, BACKLOG)

    def test_rejection_after_unsent_attempt_is_passed_on(self):
        """Guards against a 504 response for a job that only one request can have submitted."""
        response = self._submit(Failure(NotSent("no connection in time")), Success(BACKLOG))
        self.assertEqual(response, BACKLOG)

    def test_acceptance_after_unanswered_attempt_is_passed_on(self):
        """Guards against callers that submit an accepted job again."""
        accepted = Response(status=ResponseStatus.ACCEPTED)
        self.assertEqual(self._submit(UNANSWERED, Success(accepted)), accepted)


class FrozenClaimStore:
    """Store that carries out a claim without a response, after a freeze during the first read."""

    def __init__(self, daemon):
        self._daemon = daemon

    async def get(self, key):
        self._daemon._clock.advance(5_000.0)
        return Success(Item(key))

    async def grant_lease(self, *, ttl_ms):
        return Success(StoreLease(7, ttl_ms))

    async def commit(self, *, expect, puts):
        self._daemon._control.update_owner(decode_owner(puts[1].value), 9)
        return Failure(StoreUnknown("overdue"))


class ClaimTest(unittest.TestCase):
    """Claims of the cell."""

    def test_claim_proves_nothing_after_the_head_was_read(self):
        """Guards against a proof by a claim without a response that took effect long before."""
        daemon = Daemon(settings=build_settings(), cell_settings=CellSettings())
        daemon._clock = VirtualClock(start_ms=1_000.0)
        daemon._store = FrozenClaimStore(daemon)
        daemon._run_owner = mock.AsyncMock()
        anyio.run(daemon._claim, 0)
        self.assertEqual(daemon._run_owner.await_args.kwargs["confirmed_ms"], 1_000.0)


class SlowCallers:
    """Application whose requests take a while, and which never counts one as in flight."""

    in_flight = 0
    is_draining = False

    def __init__(self):
        self.started = 0
        self.responded = 0

    async def __call__(self, scope, receive, send):
        self.started += 1
        await anyio.sleep(0.3)
        await send_response(send, HttpResponse())
        self.responded += 1


class StopTest(unittest.TestCase):
    """Stop of a daemon whose store is unreachable."""

    def test_request_that_arrives_after_the_last_check_is_finished(self):
        """Guards against status 500 for a request that arrives as the daemon exits."""
        reservations = PortReservations()
        self.addCleanup(reservations.close)
        address = (HOST, reservations.reserve(1)[0])
        settings = build_settings(callers=address, readiness=(HOST, 0), peer_port=0, metrics_port=0)
        daemon = Daemon(settings=settings, cell_settings=CellSettings())
        callers = daemon._callers = SlowCallers()

        async def test():
            with anyio.fail_after(TIMEOUT_S):
                await stop_during_request()
            self.assertEqual((callers.started, callers.responded), (1, 1))

        async def stop_during_request():
            async with anyio.create_task_group() as group:

                async def run():
                    await daemon.run()
                    group.cancel_scope.cancel()

                group.start_soon(run)
                while len(daemon._servers) < len(ENDPOINTS):
                    await anyio.sleep(0)
                async with await anyio.connect_tcp(*address) as stream:
                    daemon.stop()
                    await stream.send(b"GET /p/a HTTP/1.1\r\nhost: a.example\r\n\r\n")
                    received = await stream.receive()
                    self.assertIn(b"200", received.split(b"\r\n")[0])

        with mock.patch.object(_timing, "DRAIN_MS", 100.0):
            anyio.run(test)


if __name__ == "__main__":
    unittest.main()
