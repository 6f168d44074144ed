"""ASGI application that answers callers' requests about jobs."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

import attrs
from returns.result import Failure

from coltsfootpier.clock import Clock
from coltsfootpier.jobs import JobState
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.node._answers import Answer, AnswerStatus
from coltsfootpier.node._messages import Configuration, Route
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._peers import CancelJob, Question, ReadJob, ReadQueue, SubmitJob
from coltsfootpier.platform import (
    DEADLINE_HEADER,
    decode_job,
    encode_pending,
    encode_state,
    is_job_id,
)
from coltsfootpier.transport import (
    BodyError,
    HttpResponse,
    Scope,
    read_body,
    send_response,
)

# Reasons for which the caller's kind of work is asked to slow down; others are the system's.
_BUSY_REASONS = frozenset({"backlog", "tasks"})


class Asker(Protocol):
    """Puts questions to the owner of the cell, wherever it is."""

    async def ask(self, question: Question, due_ms: float) -> Answer:
        """Return the owner's answer, or one that is unknown or refused."""
        ...


def _retry_later(status: int, reason: str, retry_after_ms: float) -> HttpResponse:
    response = HttpResponse.of({"error": reason, "retry_after_ms": round(retry_after_ms)}, status)
    seconds = str(max(1, math.ceil(retry_after_ms / 1000)))
    return attrs.evolve(response, headers=((b"retry-after", seconds.encode()),))


class CallerApplication:
    """Takes jobs, cancels them and tells their state.

    Parameters
    ----------
    clock : Clock
        Time source.
    asker : Asker
        Reaches the owner.
    get_configuration : callable
        Returns the configuration in force, or None before the first.
    metrics : Metrics
        Counters of requests.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        asker: Asker,
        get_configuration: Callable[[], Configuration | None],
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._asker = asker
        self._get_configuration = get_configuration
        self.in_flight = 0
        self.draining = False

    async def __call__(self, scope: Scope, receive: Callable, send: Callable) -> None:
        if scope["type"] != "http":
            return
        self.in_flight += 1
        began_ms = self._clock.now_ms()
        try:
            response = await self._answer(scope, receive)
            method, status = scope["method"], str(response.status)
            self._metrics.count("requests", method=method, status=status)
            self._metrics.observe("request_ms", self._clock.now_ms() - began_ms)
            if self.draining:
                closing = (*response.headers, (b"connection", b"close"))
                response = attrs.evolve(response, headers=closing)
            await send_response(send, response)
        finally:
            self.in_flight -= 1

    async def _answer(self, scope: Scope, receive: Callable) -> HttpResponse:
        configuration = self._get_configuration()
        if configuration is None:
            return _retry_later(503, "no_configuration", _timing.RETRY_SOON_MS)
        headers = dict(scope["headers"])
        path = scope["path"]
        route = configuration.find_route(headers.get(b"host", b"").decode("latin-1"), path)
        if route is None:
            return HttpResponse.problem(404, "unknown_queue", path)
        due_ms = self._clock.now_ms() + self._read_left_ms(headers, route)
        try:
            body = await read_body(scope, receive, max_body=configuration.limits.max_body_bytes)
        except BodyError as error:
            return error.response
        name = path[len(route.prefix) :]
        method = scope["method"]
        if not name and method == "GET":
            return await self._read_queue(route, due_ms)
        if not is_job_id(name):
            return HttpResponse.problem(400, "bad_job_id", name[:64])
        if method == "POST":
            return await self._submit(name, route, body, due_ms)
        if method == "GET":
            return await self._read_state(name, due_ms)
        if method == "DELETE":
            return await self._cancel(name, due_ms)
        return HttpResponse.problem(405, "bad_method", method)

    def _read_left_ms(self, headers: dict[bytes, bytes], route: Route) -> float:
        try:
            deadline_ms = float(headers.get(DEADLINE_HEADER, b"") or math.inf)
        except ValueError:
            deadline_ms = math.inf
        left_ms = min(deadline_ms if deadline_ms > 0 else math.inf, route.timeout_ms)
        return max(0.0, left_ms - _timing.ANSWER_RESERVE_MS)

    async def _submit(self, job_id: str, route: Route, body: bytes, due_ms: float) -> HttpResponse:
        decoded = decode_job(body)
        if isinstance(decoded, Failure):
            log_event("job malformed", job=job_id, reason=decoded.failure())
            return HttpResponse.problem(400, "bad_job", decoded.failure())
        question = SubmitJob(
            job_id=job_id,
            queue=route.queue,
            spec=decoded.unwrap(),
            left_ms=due_ms - self._clock.now_ms(),
        )
        answer = await self._asker.ask(question, due_ms)
        if answer.status is AnswerStatus.ACCEPTED:
            return HttpResponse.of({"state": JobState.QUEUED.value})
        if answer.status is AnswerStatus.REFUSED:
            status = 429 if answer.reason in _BUSY_REASONS else 503
            return _retry_later(status, answer.reason, answer.retry_after_ms)
        log_event("job undecided", job=job_id, reason=answer.reason)
        return HttpResponse.problem(504, "undecided", answer.reason)

    async def _read_state(self, job_id: str, due_ms: float) -> HttpResponse:
        answer = await self._asker.ask(ReadJob(job_id=job_id), due_ms)
        if answer.status is AnswerStatus.KNOWN:
            return HttpResponse(body=encode_state(answer.state))
        if answer.status is AnswerStatus.MISSING:
            return HttpResponse.problem(410, "no_such_job", job_id)
        return _retry_later(503, "no_owner", _timing.RETRY_SOON_MS)

    async def _cancel(self, job_id: str, due_ms: float) -> HttpResponse:
        question = CancelJob(job_id=job_id, left_ms=due_ms - self._clock.now_ms())
        answer = await self._asker.ask(question, due_ms)
        if answer.status is AnswerStatus.KNOWN:
            return HttpResponse.of({"state": JobState.CANCELLED.value})
        if answer.status is AnswerStatus.MISSING:
            return HttpResponse.problem(410, "no_such_job", job_id)
        return HttpResponse.problem(504, "undecided", answer.reason)

    async def _read_queue(self, route: Route, due_ms: float) -> HttpResponse:
        answer = await self._asker.ask(ReadQueue(queue=route.queue.name), due_ms)
        if answer.status is AnswerStatus.KNOWN:
            return HttpResponse(body=encode_pending(answer.pending))
        return _retry_later(503, "no_owner", _timing.RETRY_SOON_MS)
