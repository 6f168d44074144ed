"""Tests of the clients of runners and of the advice service, with odd responses."""

import unittest

import anyio
import orjson
from returns.result import Failure

from coltsfootpier.cells import AdviceRequest, RunId, StartOutcome, StartRun
from coltsfootpier.clock import MonotonicClock
from coltsfootpier.jobs import TaskKey
from coltsfootpier.platform import AdviceClient, Item, RunnerClient, decode_runner_entry
from coltsfootpier.transport import Application, HttpResponse, Server
from tests.entries import build_entry, build_nested_text

COMMAND = StartRun(
    runner_id="i-1", run=RunId("5c0e", TaskKey(0, 0, 0), 1), payload="", checkpoint=""
)
ADVICE = AdviceRequest(step_id=("5c0e", 0, 0), runner_ids=("i-1",))


class ClientTestCase(unittest.TestCase):
    """Calls to a local server that responds with a given body."""

    def call(self, body, status, call):
        """Return the result of a call of a client to a server with one response."""

        async def respond(_):
            return HttpResponse(status=status, body=body)

        async def run():
            app = Application(routes={"POST /": respond}, max_body_bytes=9_999)
            async with anyio.create_task_group() as group:
                port = await group.start(Server(app=app, host="127.0.0.1", port=0).run)
                result = await call(port)
                group.cancel_scope.cancel()
            return result

        return anyio.run(run)


class RunnerClientTest(ClientTestCase):
    """Commands to a runner."""

    async def _start(self, port):
        item = Item("servers/i-1", build_entry(address=f"127.0.0.1:{port}"))
        entry = decode_runner_entry(item).unwrap()
        client = RunnerClient(entry=entry, token=1, clock=MonotonicClock())
        outcome, _ = await client.start(COMMAND, deadline_ms=1.0, timeout_ms=2_000.0)
        client.close()
        return outcome

    def test_odd_reasons(self):
        """Guards against an owner that ends when the reason of a response isn't a text."""
        reasons = {b'"room"': StartOutcome.ROOM, b'"odd"': StartOutcome.REFUSED}
        for reason in (b"[1]", b"{}", b"null", b"7", build_nested_text(1_000)):
            reasons[reason] = StartOutcome.REFUSED
        for reason, outcome in reasons.items():
            with self.subTest(reason=reason[:20]):
                body = b'{"clock_ms":1,"reason":%s}' % reason
                self.assertIs(self.call(body, 409, self._start), outcome)

    def test_another_runner_responds(self):
        """Guards against a wait for a runner whose address another one has taken."""

        async def poll(port):
            item = Item("servers/i-1", build_entry(address=f"127.0.0.1:{port}"))
            entry = decode_runner_entry(item).unwrap()
            client = RunnerClient(entry=entry, token=1, clock=MonotonicClock())
            result = await client.poll_report(
                deadline_ms=None, observed=0, wait_ms=0, timeout_ms=2_000.0
            )
            client.close()
            return result.failure()

        self.assertIs(self.call(b'{"clock_ms":1}', 421, poll), StartOutcome.REPLACED)


class AdviceClientTest(ClientTestCase):
    """Requests for tickets."""

    async def _request(self, port):
        client = AdviceClient(host="127.0.0.1", port=port, clock=MonotonicClock())
        return await client.request_tickets(ADVICE, timeout_ms=2_000.0)

    def test_tickets(self):
        """Guards against tickets of another runner or with another validity."""
        body = orjson.dumps({"approved": [["i-1", "t"]], "valid_ms": 500})
        result = self.call(body, 200, self._request)
        self.assertEqual(result.unwrap(), ({"i-1": "t"}, 500.0))

    def test_odd_fields(self):
        """Guards against a ticket that a start command can't carry, which ends the owner."""
        for approved, valid_ms in (
            (b'[["i-1",[1]]]', b"500"),
            (b'[["i-1",%s]]' % build_nested_text(900), b"500"),
            (b'[[["i-1"],"t"]]', b"500"),
            (b'[["i-1","%s"]]' % (b"t" * 100_000), b"500"),
            (b'["ab"]', b"500"),
            (b'{"i-1":"t"}', b"500"),
            (b"[]", b'"nan"'),
            (b"[]", b"1e300"),
            (b"[]", b"-1"),
            (b"[]", b"true"),
        ):
            with self.subTest(approved=approved[:30], valid_ms=valid_ms):
                body = b'{"approved":%s,"valid_ms":%s}' % (approved, valid_ms)
                self.assertIsInstance(self.call(body, 200, self._request), Failure)


if __name__ == "__main__":
    unittest.main()
