"""ASGI application that handles the requests of callers."""

from __future__ import annotations

import math
import re
import secrets
from collections.abc import Callable
from typing import Protocol

import anyio
import attrs
from returns.result import Result, Success

from coltsfootpier.backend_servers import (
    MAX_BUFFERED_BODY_BYTES,
    NotStarted,
    RunnerPool,
    RunnerResponse,
)
from coltsfootpier.burn import RequestStats
from coltsfootpier.callers._permits import (
    Claim,
    Permits,
    RecordedOutcome,
    acquire_permits,
    list_claims,
    settle_permits,
)
from coltsfootpier.clock import Clock
from coltsfootpier.declaration import Declaration, RequestKind
from coltsfootpier.logs import log_event
from coltsfootpier.routing import (
    AttemptResult,
    Feedback,
    Grant,
    Outcome,
    Rejected,
    RejectionReason,
    Ticket,
)
from coltsfootpier.transport import (
    MAX_ECHO_CHARACTERS,
    BodyError,
    BodyStream,
    BodyTruncatedError,
    HttpResponse,
    NotSent,
    Scope,
    Unanswered,
    Upload,
    read_upload,
    send_large_response,
    send_response,
)

# Maximum number of attempts of one request, each on another runner.
_MAX_ATTEMPTS = 3
_STATUS_BY_REASON = {
    RejectionReason.UNKNOWN_SERVICE: 404,
    RejectionReason.BAD_REQUEST: 400,
    RejectionReason.SHARE: 429,
    RejectionReason.KEY_BUSY: 409,
    RejectionReason.DEADLINE: 504,
}
# Control characters other than the tab; the connection to the runner would reject them.
_CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_FORWARDED_HEADERS = frozenset({b"content-type", b"accept", b"idempotency-key", b"x-exclusive-key"})


class Slots(Protocol):
    """Source of slots, each of which lets one request use a runner."""

    async def acquire(self, ticket: Ticket) -> Grant | Rejected:
        """Wait for a slot, at most until the deadline of the ticket."""
        ...

    async def release(self, grant: Grant, feedback: Feedback) -> None:
        """Release a slot and report the feedback of the attempt about the runner."""
        ...

    def record_request(self, service: str) -> None:
        """Count a new request towards the retry budget."""
        ...

    def compute_attempt_timeout(self, service: str, kind: str, left_ms: float) -> float:
        """Return the timeout in ms of an attempt that may be retried."""
        ...

    def try_spend_retry(self, service: str, kind: str, deadline_ms: float) -> bool:
        """Spend a retry of the retry budget if the deadline allows one; return whether it did."""
        ...


@attrs.frozen(kw_only=True)
class _HandledRequest:
    """Outcome of a request, and the response to its caller.

    Parameters
    ----------
    reason : str
        Why the caller gets no complete response of a runner; empty if it gets one.
    waited_ms : float
        Time spent waiting for slots.
    rest : BodyStream, optional
        Remaining body of a large response.
    length : int, optional
        Length of the body of a large response in bytes.
    grant : Grant, optional
        Slot of the last attempt; with a large response it is held until the body has been sent.
    feedback : Feedback
        Feedback of the last attempt about its runner.
    """

    outcome: Outcome
    response: HttpResponse
    reason: str = ""
    waited_ms: float = 0.0
    rest: BodyStream | None = None
    length: int | None = None
    grant: Grant | None = None
    feedback: Feedback = attrs.field(factory=Feedback)


@attrs.frozen(kw_only=True)
class _Request:
    """A valid request with the values that are sent to a runner.

    Parameters
    ----------
    target : str
        Path and query without the prefix ``/services/SERVICE``.
    headers : tuple of (bytes, bytes)
        Headers of the caller that are forwarded.
    deadline_ms : float
        Deadline on the daemon's clock.
    """

    id: str
    kind: RequestKind
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | Upload
    deadline_ms: float

    @property
    def is_retryable(self) -> bool:
        """Whether the request may be resent while an earlier attempt may still be running."""
        return self.kind.idempotent and not self.kind.exclusive


class CallerApplication:
    """ASGI application for requests to ``/services/SERVICE/KIND[/...]``.

    Parameters
    ----------
    clock : Clock
        Time source.
    slots : Slots
        Source of slots of runners.
    permits : Permits
        Source of permits for idempotency keys and exclusive keys.
    pool : RunnerPool
        Connections to runners.
    stats : RequestStats
        Counters.
    get_declaration : callable
        Function that returns the declaration in force.
    max_body_bytes : int
        Largest accepted body in bytes.
    default_deadline_ms : float
        Time allowed for a request without a deadline header.

    Attributes
    ----------
    in_flight : int
        Number of requests whose response has not been sent completely.
    is_draining : bool
        Whether responses ask callers to close their connections.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slots: Slots,
        permits: Permits,
        pool: RunnerPool,
        stats: RequestStats,
        get_declaration: Callable[[], Declaration],
        max_body_bytes: int,
        default_deadline_ms: float,
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._permits = permits
        self._pool = pool
        self._stats = stats
        self._get_declaration = get_declaration
        self._max_body_bytes = max_body_bytes
        self._default_deadline_ms = default_deadline_ms
        self.in_flight = 0
        self.is_draining = False

    async def __call__(self, scope: Scope, receive: Callable, send: Callable) -> None:
        if scope["type"] != "http":
            return
        self.in_flight += 1
        arrived_ms = self._clock.now_ms()
        headers = dict(scope["headers"])
        request_id = headers.get(b"x-request-id", b"").decode("latin-1") or secrets.token_hex(8)
        service = scope["path"].removeprefix("/services/").split("/", 1)[0]
        try:
            handled = await self._validate_and_run(scope, receive, headers, request_id, arrived_ms)
            extra_headers = (
                (b"x-request-id", request_id.encode("latin-1")),
                (b"x-outcome", handled.outcome.value.encode()),
            )
            if self.is_draining:
                # Callers move to another entry VM before the listener is closed, so that no request
                # is sent on a connection that is being closed at the same time.
                extra_headers = (*extra_headers, (b"connection", b"close"))
            response = handled.response
            response = attrs.evolve(response, headers=(*response.headers, *extra_headers))
            if handled.rest is None:
                self._record(service, handled, arrived_ms)
                await send_response(send, response)
                return
            try:
                await send_large_response(send, response, handled.rest, handled.length)
                self._record(service, handled, arrived_ms)
            except BodyTruncatedError as error:
                # The response stays incomplete and the connection is closed, so the caller can't
                # mistake it for a complete response.
                truncated = attrs.evolve(handled, outcome=Outcome.UNKNOWN, reason="answer_cut")
                self._record(service, truncated, arrived_ms)
                log_event("response cut off", request=request_id, reason=error.error.reason)
            finally:
                handled.rest.close()
                with anyio.CancelScope(shield=True):
                    await self._slots.release(handled.grant, handled.feedback)
        finally:
            self.in_flight -= 1

    def _record(self, service: str, handled: _HandledRequest, arrived_ms: float) -> None:
        declared = self._get_declaration().services.get(service)
        if declared is not None:
            self._stats.record(
                service,
                handled.outcome,
                handled.reason,
                latency_ms=self._clock.now_ms() - arrived_ms,
                waited_ms=handled.waited_ms,
                objective_ms=declared.latency_ms,
            )

    async def _validate_and_run(
        self,
        scope: Scope,
        receive: Callable,
        headers: dict[bytes, bytes],
        request_id: str,
        arrived_ms: float,
    ) -> _HandledRequest:
        """Read a request and run it if it is valid."""
        segments = scope["path"].split("/", 4)
        declaration = self._get_declaration()
        if (
            len(segments) < 4
            or segments[1] != "services"
            or segments[2] not in declaration.services
        ):
            return _build_rejection(
                RejectionReason.UNKNOWN_SERVICE, scope["path"][:MAX_ECHO_CHARACTERS]
            )
        kind = declaration.requests.get((segments[2], segments[3])) or RequestKind(
            service=segments[2],
            name=segments[3],
            # The effects of an undeclared kind are unknown, so it is never retried.
            idempotent=False,
            exclusive=False,
            max_run_ms=self._default_deadline_ms,
            weight=1.0,
            guaranteed_share=0.0,
            priority="normal",
        )
        try:
            left_ms = float(headers.get(b"x-deadline-ms", b"") or self._default_deadline_ms)
        except ValueError:
            left_ms = math.nan
        if not math.isfinite(left_ms):
            return _build_rejection(RejectionReason.BAD_REQUEST, "X-Deadline-Ms is not a number")
        # The path is forwarded as it was sent, because decoding it may introduce characters with
        # another meaning.
        path, query = scope["raw_path"], scope.get("query_string", b"")
        if not (path + query).isascii() or any(
            _CONTROL_CHARACTERS.search(value) for value in (path, query, *headers.values())
        ):
            return _build_rejection(
                RejectionReason.BAD_REQUEST, "characters that HTTP doesn't allow"
            )
        try:
            body = await read_upload(
                scope,
                receive,
                max_body_bytes=self._max_body_bytes,
                # Permits compare complete bodies, so only requests without permits are streamed.
                max_buffered_bytes=(
                    MAX_BUFFERED_BODY_BYTES
                    if kind.idempotent and not kind.exclusive
                    else self._max_body_bytes
                ),
                timeout_ms=left_ms,
            )
        except BodyError as error:
            return _HandledRequest(
                outcome=Outcome.REFUSED,
                response=error.response,
                reason=RejectionReason.BAD_REQUEST.value,
            )
        target = "/" + path.decode().split("/", 3)[3] + (f"?{query.decode()}" if query else "")
        request = _Request(
            id=request_id,
            kind=kind,
            method=scope["method"],
            target=target,
            headers=tuple(pair for pair in scope["headers"] if pair[0] in _FORWARDED_HEADERS),
            body=body,
            deadline_ms=arrived_ms + left_ms,
        )
        claims = list_claims(
            kind,
            declared=(kind.service, kind.name) in declaration.requests,
            headers=headers,
            content=(
                request.method.encode(),
                target.encode(),
                body if isinstance(body, bytes) else b"",
            ),
            deadline_ms=request.deadline_ms,
        )
        if isinstance(claims, Rejected):
            return _build_rejection(claims.reason, claims.detail)
        return await self._run_with_permits(request, claims, arrived_ms)

    async def _run_with_permits(
        self, request: _Request, claims: list[Claim], arrived_ms: float
    ) -> _HandledRequest:
        """Acquire the permits of a request, run it, and record its outcome for its keys."""
        acquired = await acquire_permits(self._permits, claims)
        if isinstance(acquired, Rejected):
            return _build_rejection(acquired.reason, acquired.detail)
        if isinstance(acquired, RecordedOutcome):
            return _build_replayed_outcome(acquired)
        ticket = Ticket(
            service=request.kind.service,
            kind=request.kind.name,
            deadline_ms=request.deadline_ms,
            arrived_ms=arrived_ms,
        )
        handled = await self._run_attempts(request, ticket)
        await settle_permits(self._permits, acquired, handled.outcome, handled.response.status)
        return attrs.evolve(handled, waited_ms=ticket.waited_ms)

    async def _run_attempts(self, request: _Request, ticket: Ticket) -> _HandledRequest:
        """Send a request to one runner after another until one responds or no retry is allowed."""
        kind = request.kind
        may_have_run = False
        reason = ""
        self._slots.record_request(kind.service)
        for attempt in range(_MAX_ATTEMPTS):
            if attempt and not self._slots.try_spend_retry(
                kind.service, kind.name, request.deadline_ms
            ):
                break
            wait_start_ms = self._clock.now_ms()
            # Each attempt gets a ticket of its own, because a ticket can be settled only once.
            grant = await self._slots.acquire(attrs.evolve(ticket))
            ticket.waited_ms += self._clock.now_ms() - wait_start_ms
            if isinstance(grant, Rejected):
                if may_have_run:
                    return _build_unknown_outcome(reason)
                return _build_rejection(grant.reason, grant.detail)
            feedback = Feedback()
            sent_ms = self._clock.now_ms()
            is_streamed = False
            try:
                result = await self._send_attempt(request, grant)
                feedback = _build_feedback(result, request.id, self._clock.now_ms() - sent_ms)
                is_streamed = isinstance(result, Success) and result.unwrap().rest is not None
            finally:
                if not is_streamed:
                    with anyio.CancelScope(shield=True):
                        await self._slots.release(grant, feedback)
            if isinstance(result, Success):
                return attrs.evolve(_build_response(result.unwrap(), grant), feedback=feedback)
            error = result.failure()
            reason = error.reason
            ticket.excluded.add(grant.runner.id)
            if not isinstance(error, NotSent | NotStarted):
                may_have_run = True
                if not request.is_retryable:
                    break
            if isinstance(request.body, Upload) and request.body.started:
                # The part that was sent isn't retained, so the request can't be resent.
                break
        if may_have_run:
            return _build_unknown_outcome(reason)
        return _build_rejection(RejectionReason.RUNNER_REFUSED, reason)

    async def _send_attempt(self, request: _Request, grant: Grant) -> Result:
        """Send a request to the runner of a slot."""
        left_ms = request.deadline_ms - self._clock.now_ms()
        timeout_ms = left_ms
        if request.is_retryable:
            timeout_ms = self._slots.compute_attempt_timeout(
                request.kind.service, request.kind.name, left_ms
            )
        return await self._pool.send(
            grant.runner,
            method=request.method,
            target=request.target,
            headers=(
                *request.headers,
                (b"x-request-id", request.id.encode("latin-1")),
                (b"x-deadline-ms", f"{left_ms:.0f}".encode()),
            ),
            body=request.body,
            timeout_ms=timeout_ms,
            retryable=request.is_retryable,
        )


def _build_feedback(result: Result, request_id: str, elapsed_ms: float) -> Feedback:
    """Return what the result of an attempt says about its runner."""
    leaving = False
    if isinstance(result, Success):
        response = result.unwrap()
        leaving = response.leaving
        failed = response.status >= 500
        attempt_result = AttemptResult.FAILED if failed else AttemptResult.ANSWERED
    else:
        error = result.failure()
        if isinstance(error, NotStarted):
            leaving = error.leaving
            attempt_result = AttemptResult.REFUSED
        elif isinstance(error, NotSent):
            attempt_result = AttemptResult.UNREACHABLE if error.unreachable else AttemptResult.NONE
        elif isinstance(error, Unanswered):
            attempt_result = AttemptResult.OVERDUE
        else:
            attempt_result = AttemptResult.FAILED
    return Feedback(
        result=attempt_result, elapsed_ms=elapsed_ms, request_id=request_id, leaving=leaving
    )


def _build_response(response: RunnerResponse, grant: Grant) -> _HandledRequest:
    """Return the response of a runner in the form in which the caller gets it."""
    content_type = next(
        (value for name, value in response.headers if name == b"content-type"), b"text/plain"
    )
    headers = tuple(pair for pair in response.headers if pair[0] != b"content-type")
    return _HandledRequest(
        outcome=Outcome.FAILED if response.status >= 500 else Outcome.DONE,
        response=HttpResponse(
            status=response.status, body=response.body, headers=headers, content_type=content_type
        ),
        rest=response.rest,
        length=response.length,
        grant=grant,
    )


def _build_rejection(reason: RejectionReason, detail: str) -> _HandledRequest:
    return _HandledRequest(
        outcome=Outcome.REFUSED,
        response=HttpResponse.problem(_STATUS_BY_REASON.get(reason, 503), reason.value, detail),
        reason=reason.value,
    )


def _build_replayed_outcome(recorded: RecordedOutcome) -> _HandledRequest:
    # Only the outcome of the earlier request is stored, which bounds the memory per key.
    is_unknown = recorded.outcome is Outcome.UNKNOWN
    outcome = {"outcome": recorded.outcome.value, "replayed": True}
    return _HandledRequest(
        outcome=recorded.outcome,
        response=attrs.evolve(
            HttpResponse.from_message(outcome, 502 if is_unknown else recorded.status),
            headers=((b"idempotent-replayed", b"true"),),
        ),
        reason="replayed",
    )


def _build_unknown_outcome(reason: str) -> _HandledRequest:
    return _HandledRequest(
        outcome=Outcome.UNKNOWN,
        response=HttpResponse.problem(502, "outcome_unknown", reason),
        reason="outcome_unknown",
    )
