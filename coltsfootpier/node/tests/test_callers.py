"""Tests of callers' requests: correct responses and rejection of invalid input."""

import asyncio
import contextlib
import unittest

import anyio
import orjson

from coltsfootpier.clock import VirtualClock
from coltsfootpier.jobs import JobState
from coltsfootpier.node._callers import CallerApplication
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._peers import CancelJob, ReadJob, ReadQueue, SubmitJob
from coltsfootpier.node._responses import Response, ResponseStatus, build_rejection
from coltsfootpier.node.tests.builders import build_configuration
from tests.entries import build_nested_text

JOB_ID = "5c0e7a21d94b36f8"
BODY = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256}]}


class FakeOwnerClient:
    """Client that returns a given response and records the requests."""

    def __init__(self, response):
        self.response = response
        self.requests = []

    async def send_request(self, request, deadline_ms):
        self.requests.append(request)
        return self.response


class CallerTest(unittest.TestCase):
    """Single requests, without a network."""

    def _call(self, method, path, body=b"", response=None, configuration=None, headers=()):
        owner_client = FakeOwnerClient(response or Response(status=ResponseStatus.ACCEPTED))
        application = CallerApplication(
            clock=VirtualClock(),
            owner_client=owner_client,
            get_configuration=lambda: configuration,
            metrics=Metrics(),
        )
        sent = []

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [(b"host", b"a.example"), *headers],
        }
        anyio.run(application, scope, receive, send)
        self.headers = dict(sent[0]["headers"])
        self.owner_client = owner_client
        return sent[0]["status"], sent[1]["body"]

    def _post(self, body, response=None, path=f"/p/{JOB_ID}", **changes):
        encoded = body if isinstance(body, bytes) else orjson.dumps(body)
        configuration = changes.pop("configuration", build_configuration())
        return self._call("POST", path, encoded, response, configuration, **changes)

    def test_without_configuration(self):
        """Guards against a 404 response for a route that the daemon hasn't read yet."""
        status, _ = self._post(BODY, configuration=None)
        self.assertEqual(status, 503)

    def test_longest_prefix_selects_the_queue(self):
        """Guards against a job that is routed to the wrong queue."""
        self._post(BODY, path=f"/p/q/{JOB_ID}")
        self.assertEqual(self.owner_client.requests[0].queue.name, "long")

    def test_unknown_route(self):
        """Guards against accepting a job for which there is no route."""
        status, _ = self._post(BODY, path=f"/other/{JOB_ID}")
        self.assertEqual(status, 404)

    def test_outcomes(self):
        """Guards against a rejection response for a job that may have been accepted."""
        expected = {
            200: Response(status=ResponseStatus.ACCEPTED),
            429: build_rejection("backlog", 1_200.0),
            503: build_rejection("store"),
            504: Response(status=ResponseStatus.UNKNOWN),
        }
        for status, response in expected.items():
            with self.subTest(status=status):
                self.assertEqual(self._post(BODY, response)[0], status)

    def test_rejection_has_retry_delay(self):
        """Guards against callers that retry immediately."""
        _, body = self._post(BODY, build_rejection("backlog", 1_200.0))
        self.assertEqual(orjson.loads(body)["retry_after_ms"], 1_200)
        self.assertEqual(self.headers[b"retry-after"], b"2")

    def test_malformed_bodies(self):
        """Guards against malformed bodies that crash the daemon or are stored."""
        step = {"count": 1, "cpu": 1}
        bodies = [
            b"{",
            b"[]",
            {"spec": "x"},
            {"spec": "x", "steps": []},
            {"spec": 7, "steps": [step]},
            {"spec": "x" * 4_001, "steps": [step]},
            {"spec": "x", "steps": [{"count": 0}]},
            {"spec": "x", "steps": [{"count": 1_000_000}]},
            {"spec": "x", "steps": [{"count": True}]},
            {"spec": "x", "steps": [{"count": 1, "cpu": "many"}]},
            {"spec": "x", "steps": [{"count": 1, "cpu": -1}]},
            {"spec": "x", "steps": [{"count": 1, "after": [0]}]},
            {"spec": "x", "steps": [step, {"count": 1, "after": [2]}]},
            {"spec": "x", "steps": [{"count": 1, "after": 0}]},
            {"spec": "x", "steps": [step], "repeat_count": 10**9},
            {"spec": "x", "steps": [step] * 65},
            {"spec": "x", "steps": ["step"]},
            {"spec": "x", "steps": [{"count": 1, "estimate_ms": 1e300}]},
            {"spec": "x", "steps": [{"count": 1, "cpu": 2**64 - 1}]},
            {"spec": "x", "steps": [step], "start_at_ms": -1e300},
            b'{"spec":%s,"steps":[{"count":1}]}' % build_nested_text(1_000),
            b'{"spec":"x","steps":[{"count":%s}]}' % build_nested_text(1_000),
            b'{"spec":"x","steps":[{"count":1,"after":%s}]}' % build_nested_text(1_000),
            b'{"spec":"x","steps":%s}' % build_nested_text(1_000),
        ]
        for body in bodies:
            with self.subTest(body=str(body)[:60]):
                self.assertEqual(self._post(body)[0], 400)
                self.assertEqual(self.owner_client.requests, [])

    def test_reasons_are_bounded(self):
        """Guards against a response and a log line as long as the value that they are about."""
        for body, reason in (
            (b"[]", b"the body isn't an object"),
            (b'{"spec":["%s"],"steps":[]}' % (b"x" * 100_000), b"spec is a list"),
            (b'{"spec":"","steps":[{"count":"%s"}]}' % (b"x" * 100_000), b"count is 'xxx"),
        ):
            with self.subTest(body=body[:30]):
                status, text = self._post(body)
                self.assertEqual(status, 400)
                self.assertIn(reason, text)
                self.assertLess(len(text), 300)

    def test_bad_identifiers(self):
        """Guards against job identifiers that can't be part of task names."""
        for name in ("x", JOB_ID + "\n", "5C0E7A21D94B36F8", JOB_ID + "0", "5c0e7a21d94b36.8", ""):
            with self.subTest(name=name):
                self.assertEqual(self._post(BODY, path=f"/p/{name}")[0], 400)

    def test_body_over_the_limit(self):
        """Guards against a body that exhausts the memory of the entry VM."""
        self.assertEqual(self._post(b"x" * 262_145)[0], 413)

    def test_state_and_pending(self):
        """Guards against responses whose field names differ from those of the platform."""
        known = Response(status=ResponseStatus.KNOWN, state=JobState.RUNNING, pending=4)
        configuration = build_configuration()
        status, body = self._call("GET", f"/p/{JOB_ID}", b"", known, configuration)
        self.assertEqual((status, orjson.loads(body)), (200, {"state": "running"}))
        self.assertIsInstance(self.owner_client.requests[0], ReadJob)
        status, body = self._call("GET", "/p/", b"", known, configuration)
        self.assertEqual((status, orjson.loads(body)), (200, {"pending": 4}))
        self.assertIsInstance(self.owner_client.requests[0], ReadQueue)

    def test_gone_only_if_known_to_be_missing(self):
        """Guards against a 410 response for a job whose state is unknown without an owner."""
        configuration = build_configuration()
        for status, expected in (("missing", 410), ("unknown", 503)):
            response = Response(status=ResponseStatus(status))
            found, _ = self._call("GET", f"/p/{JOB_ID}", b"", response, configuration)
            self.assertEqual(found, expected)

    def test_cancel(self):
        """Guards against confirming a cancellation that isn't durable."""
        configuration = build_configuration()
        expected = {"known": 200, "missing": 410, "unknown": 504}
        for status, code in expected.items():
            response = Response(status=ResponseStatus(status))
            found, _ = self._call("DELETE", f"/p/{JOB_ID}", b"", response, configuration)
            self.assertEqual(found, code)
            self.assertIsInstance(self.owner_client.requests[0], CancelJob)

    def test_deadline_bounds_the_wait(self):
        """Guards against a response after the caller's deadline."""
        self._post(BODY, headers=[(b"deadline-ms", b"500")])
        request = self.owner_client.requests[0]
        self.assertIsInstance(request, SubmitJob)
        self.assertLessEqual(request.left_ms, 500)


class HangingOwnerClient:
    """Client that never gets a response."""

    async def send_request(self, request, deadline_ms):
        await anyio.sleep_forever()


class InterruptedRequestTest(unittest.TestCase):
    """Requests that wait for the owner while the event loop ends, without a network."""

    def _interrupt(self, method):
        configuration = build_configuration()
        application = CallerApplication(
            clock=VirtualClock(),
            owner_client=HangingOwnerClient(),
            get_configuration=lambda: configuration,
            metrics=Metrics(),
        )
        scope = {
            "type": "http",
            "method": method,
            "path": f"/p/{JOB_ID}",
            "headers": [(b"host", b"a.example")],
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": orjson.dumps(BODY), "more_body": False}

        async def send(message):
            sent.append(message)

        async def cancel_request():
            task = asyncio.create_task(application(scope, receive, send))
            await anyio.wait_all_tasks_blocked()
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            self.assertTrue(task.cancelled())

        anyio.run(cancel_request)
        return [message["status"] for message in sent if "status" in message]

    def test_interrupted_requests_get_true_statuses(self):
        """Guards against status 500, and against a rejection of a job that may be accepted."""
        for method, status in (("GET", 503), ("POST", 504), ("DELETE", 504)):
            with self.subTest(method=method):
                self.assertEqual(self._interrupt(method), [status])


if __name__ == "__main__":
    unittest.main()
