"""Requests of callers: answers that must be true, and input that is refused."""

import unittest

import anyio
import orjson

from coltsfootpier.clock import VirtualClock
from coltsfootpier.jobs import JobState
from coltsfootpier.node._answers import Answer, AnswerStatus, refuse
from coltsfootpier.node._callers import CallerApplication
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._peers import CancelJob, ReadJob, ReadQueue, SubmitJob
from coltsfootpier.node.tests.builders import build_configuration

JOB_ID = "5c0e7a21d94b36f8"
BODY = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256}]}


class FakeAsker:
    """Gives a chosen answer and keeps the questions."""

    def __init__(self, answer):
        self.answer = answer
        self.questions = []

    async def ask(self, question, due_ms):
        self.questions.append(question)
        return self.answer


class CallerTest(unittest.TestCase):
    """One request each, without a network."""

    def _call(self, method, path, body=b"", answer=None, configuration=None, headers=()):
        asker = FakeAsker(answer or Answer(status=AnswerStatus.ACCEPTED))
        application = CallerApplication(
            clock=VirtualClock(),
            asker=asker,
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
        self.asker = asker
        return sent[0]["status"], sent[1]["body"]

    def _post(self, body, answer=None, path=f"/p/{JOB_ID}", **changes):
        encoded = body if isinstance(body, bytes) else orjson.dumps(body)
        configuration = changes.pop("configuration", build_configuration())
        return self._call("POST", path, encoded, answer, configuration, **changes)

    def test_without_configuration(self):
        """Guards against a 404 for a route that the daemon just hasn't read yet."""
        status, _ = self._post(BODY, configuration=None)
        self.assertEqual(status, 503)

    def test_longest_prefix_selects_the_queue(self):
        """Guards against a job in the wrong queue."""
        self._post(BODY, path=f"/p/q/{JOB_ID}")
        self.assertEqual(self.asker.questions[0].queue.name, "long")

    def test_unknown_route(self):
        """Guards against accepting what no route allows."""
        status, _ = self._post(BODY, path=f"/other/{JOB_ID}")
        self.assertEqual(status, 404)

    def test_outcomes(self):
        """Guards against a refusal for a job that may have been taken."""
        expected = {
            200: Answer(status=AnswerStatus.ACCEPTED),
            429: refuse("backlog", 1_200.0),
            503: refuse("store"),
            504: Answer(status=AnswerStatus.UNKNOWN),
        }
        for status, answer in expected.items():
            with self.subTest(status=status):
                self.assertEqual(self._post(BODY, answer)[0], status)

    def test_refusal_says_when_to_come_back(self):
        """Guards against callers that repeat at once."""
        _, body = self._post(BODY, refuse("backlog", 1_200.0))
        self.assertEqual(orjson.loads(body)["retry_after_ms"], 1_200)
        self.assertEqual(self.headers[b"retry-after"], b"2")

    def test_malformed_bodies(self):
        """Guards against bodies that stop the daemon or are stored."""
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
        ]
        for body in bodies:
            with self.subTest(body=str(body)[:60]):
                self.assertEqual(self._post(body)[0], 400)
                self.assertEqual(self.asker.questions, [])

    def test_bad_identifiers(self):
        """Guards against identifiers that don't fit the names of tasks."""
        for name in ("x", "5C0E7A21D94B36F8", JOB_ID + "0", "5c0e7a21d94b36.8", ""):
            with self.subTest(name=name):
                self.assertEqual(self._post(BODY, path=f"/p/{name}")[0], 400)

    def test_body_over_the_limit(self):
        """Guards against a body that takes the memory of the entry VM."""
        self.assertEqual(self._post(b"x" * 262_145)[0], 413)

    def test_state_and_pending(self):
        """Guards against answers under other names than the platform's."""
        known = Answer(status=AnswerStatus.KNOWN, state=JobState.RUNNING, pending=4)
        configuration = build_configuration()
        status, body = self._call("GET", f"/p/{JOB_ID}", b"", known, configuration)
        self.assertEqual((status, orjson.loads(body)), (200, {"state": "running"}))
        self.assertIsInstance(self.asker.questions[0], ReadJob)
        status, body = self._call("GET", "/p/", b"", known, configuration)
        self.assertEqual((status, orjson.loads(body)), (200, {"pending": 4}))
        self.assertIsInstance(self.asker.questions[0], ReadQueue)

    def test_gone_only_when_it_is_known(self):
        """Guards against a 410 for a job that the daemon can't ask about."""
        configuration = build_configuration()
        for status, expected in (("missing", 410), ("unknown", 503)):
            answer = Answer(status=AnswerStatus(status))
            found, _ = self._call("GET", f"/p/{JOB_ID}", b"", answer, configuration)
            self.assertEqual(found, expected)

    def test_cancel(self):
        """Guards against an acknowledged cancellation that isn't durable."""
        configuration = build_configuration()
        expected = {"known": 200, "missing": 410, "unknown": 504}
        for status, code in expected.items():
            answer = Answer(status=AnswerStatus(status))
            found, _ = self._call("DELETE", f"/p/{JOB_ID}", b"", answer, configuration)
            self.assertEqual(found, code)
            self.assertIsInstance(self.asker.questions[0], CancelJob)

    def test_deadline_bounds_the_wait(self):
        """Guards against an answer after the caller has left."""
        self._post(BODY, headers=[(b"deadline-ms", b"500")])
        question = self.asker.questions[0]
        self.assertIsInstance(question, SubmitJob)
        self.assertLessEqual(question.left_ms, 500)


if __name__ == "__main__":
    unittest.main()
