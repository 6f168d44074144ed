"""ASGI application that serves callers' requests about jobs."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

import anyio
import attrs
from returns.result import Failure

from coltsfootpier.clock import Clock
from coltsfootpier.jobs import JobState
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._peers import CancelJob, JobRequest, ReadJob, ReadQueue, SubmitJob
from coltsfootpier.node._responses import Response, ResponseStatus
from coltsfootpier.node._settings import Configuration, Route
from coltsfootpier.platform import (
    DEADLINE_HEADER,
    decode_job,
    encode_pending,
    encode_state,
    is_job_id,
)
from coltsfootpier.transport import (
    MAX_ECHO_CHARACTERS,
    BodyError,
    HttpResponse,
    Scope,
    read_body,
    send_response,
)

# Rejection reasons caused by the caller's load (429). All other reasons are caused by the system
# (503).
_OVERLOAD_REASONS = frozenset({"backlog", "capacity", "memory", "tasks"})


class OwnerClient(Protocol):
    """Client that sends requests to the owner of the cell, in this process or on another VM."""

    async def send_request(self, request: JobRequest, deadline_ms: float) -> Response:
        """Return the owner's response; if there is none, one with the status unknown or refused.

        `deadline_ms` is the local time until which to wait for a response.
        """
        ...


def _build_retry_response(status: int, reason: str, retry_after_ms: float) -> HttpResponse:
    response = HttpResponse.from_message(
        {"error": reason, "retry_after_ms": round(retry_after_ms)}, status
    )
    seconds = str(max(1, math.ceil(retry_after_ms / 1000)))
    return attrs.evolve(response, headers=((b"retry-after", seconds.encode()),))


def _build_interrupted_response(method: str) -> HttpResponse:
    """Return the response to a request that the exit of the process interrupts."""
    if method == "GET":
        response = _build_retry_response(503, "stopping", _timing.DEFAULT_RETRY_AFTER_MS)
    else:
        # The request may have been sent to an owner.
        response = HttpResponse.problem(504, "undecided", "stopping")
    return attrs.evolve(response, headers=(*response.headers, (b"connection", b"close")))


class CallerApplication:
    """ASGI application that submits and cancels jobs and reports their state.

    Parameters
    ----------
    clock : Clock
        Time source.
    owner_client : OwnerClient
        Client for requests to the owner.
    get_configuration : callable
        Returns the configuration in force, or None before the first.
    metrics : Metrics
        Request counters and latencies.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        owner_client: OwnerClient,
        get_configuration: Callable[[], Configuration | None],
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._owner_client = owner_client
        self._get_configuration = get_configuration
        self.in_flight = 0
        self.is_draining = False

    async def __call__(self, scope: Scope, receive: Callable, send: Callable) -> None:
        if scope["type"] != "http":
            return
        self.in_flight += 1
        started_ms = self._clock.now_ms()
        try:
            try:
                response = await self._route_request(scope, receive)
            except anyio.get_cancelled_exc_class():
                # The process exits. Otherwise the server would respond with status 500.
                await send_response(send, _build_interrupted_response(scope["method"]))
                raise
            method, status = scope["method"], str(response.status)
            self._metrics.count("requests", method=method, status=status)
            self._metrics.observe("request_ms", self._clock.now_ms() - started_ms)
            if self.is_draining:
                headers = (*response.headers, (b"connection", b"close"))
                response = attrs.evolve(response, headers=headers)
            await send_response(send, response)
        finally:
            self.in_flight -= 1

    async def _route_request(self, scope: Scope, receive: Callable) -> HttpResponse:
        configuration = self._get_configuration()
        if configuration is None:
            return _build_retry_response(503, "no_configuration", _timing.DEFAULT_RETRY_AFTER_MS)
        headers = dict(scope["headers"])
        path = scope["path"]
        route = configuration.find_route(headers.get(b"host", b"").decode("latin-1"), path)
        if route is None:
            return HttpResponse.problem(404, "unknown_queue", path[:MAX_ECHO_CHARACTERS])
        deadline_ms = self._clock.now_ms() + self._compute_remaining_ms(headers, route)
        try:
            body = await read_body(
                scope, receive, max_body_bytes=configuration.limits.max_body_bytes
            )
        except BodyError as error:
            return error.response
        name = path[len(route.prefix) :]
        method = scope["method"]
        if not name and method == "GET":
            return await self._read_queue(route, deadline_ms)
        if not is_job_id(name):
            return HttpResponse.problem(400, "bad_job_id", name[:64])
        if method == "POST":
            return await self._submit(name, route, body, deadline_ms)
        if method == "GET":
            return await self._read_state(name, deadline_ms)
        if method == "DELETE":
            return await self._cancel(name, deadline_ms)
        return HttpResponse.problem(405, "bad_method", method)

    def _compute_remaining_ms(self, headers: dict[bytes, bytes], route: Route) -> float:
        """Return the time in ms to process a request, less a reserve for sending the response.

        The shorter of the caller's and the route's time limit applies.
        """
        try:
            requested_ms = float(headers.get(DEADLINE_HEADER, b"") or math.inf)
        except ValueError:
            requested_ms = math.inf
        limit_ms = min(requested_ms if requested_ms > 0 else math.inf, route.timeout_ms)
        return max(0.0, limit_ms - _timing.RESPONSE_RESERVE_MS)

    async def _submit(
        self, job_id: str, route: Route, body: bytes, deadline_ms: float
    ) -> HttpResponse:
        decoded = decode_job(body)
        if isinstance(decoded, Failure):
            log_event("malformed job rejected", job=job_id, reason=decoded.failure())
            return HttpResponse.problem(400, "bad_job", decoded.failure())
        request = SubmitJob(
            job_id=job_id,
            queue=route.queue,
            spec=decoded.unwrap(),
            left_ms=deadline_ms - self._clock.now_ms(),
        )
        response = await self._owner_client.send_request(request, deadline_ms)
        if response.status is ResponseStatus.ACCEPTED:
            return HttpResponse.from_message({"state": JobState.QUEUED.value})
        if response.status is ResponseStatus.REFUSED:
            status = 429 if response.reason in _OVERLOAD_REASONS else 503
            return _build_retry_response(status, response.reason, response.retry_after_ms)
        log_event("job outcome unknown", job=job_id, reason=response.reason)
        return HttpResponse.problem(504, "undecided", response.reason)

    async def _read_state(self, job_id: str, deadline_ms: float) -> HttpResponse:
        response = await self._owner_client.send_request(ReadJob(job_id=job_id), deadline_ms)
        if response.status is ResponseStatus.KNOWN:
            return HttpResponse(body=encode_state(response.state))
        if response.status is ResponseStatus.MISSING:
            return HttpResponse.problem(410, "no_such_job", job_id)
        return _build_retry_response(503, "no_owner", _timing.DEFAULT_RETRY_AFTER_MS)

    async def _cancel(self, job_id: str, deadline_ms: float) -> HttpResponse:
        request = CancelJob(job_id=job_id, left_ms=deadline_ms - self._clock.now_ms())
        response = await self._owner_client.send_request(request, deadline_ms)
        if response.status is ResponseStatus.KNOWN:
            return HttpResponse.from_message({"state": JobState.CANCELLED.value})
        if response.status is ResponseStatus.MISSING:
            return HttpResponse.problem(410, "no_such_job", job_id)
        return HttpResponse.problem(504, "undecided", response.reason)

    async def _read_queue(self, route: Route, deadline_ms: float) -> HttpResponse:
        response = await self._owner_client.send_request(
            ReadQueue(queue=route.queue.name), deadline_ms
        )
        if response.status is ResponseStatus.KNOWN:
            return HttpResponse(body=encode_pending(response.pending))
        return _build_retry_response(503, "no_owner", _timing.DEFAULT_RETRY_AFTER_MS)
