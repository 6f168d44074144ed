"""Requests between daemons: a daemon forwards callers' requests about jobs to the owner."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.jobs import JobSpec, Queue
from coltsfootpier.journal import OwnerInfo
from coltsfootpier.logs import log_event
from coltsfootpier.node._owner import Owner
from coltsfootpier.node._responses import NOT_OWNER, Response
from coltsfootpier.transport import (
    Application,
    BadReply,
    CallError,
    HttpRequest,
    HttpResponse,
    HttptoolsPool,
    MalformedMessageError,
    Unanswered,
    decode,
    encode,
    split_address,
)

# Maximum number of concurrent requests to the owner; others wait for a connection within their
# deadlines.
_MAX_CONNECTIONS = 8
_MAX_MESSAGE_BYTES = 1_000_000
# Lowest status that says that a server failed.
_FIRST_SERVER_ERROR = 500


@attrs.frozen(kw_only=True)
class SubmitJob:
    """Request to the owner to accept a job.

    Parameters
    ----------
    job_id : str
        Identifier that the caller chose.
    queue : Queue
        Queue as configured at the daemon that sends the request.
    spec : JobSpec
        Specification of the job.
    left_ms : float
        Remaining time in ms until the caller's deadline.
    generation : int
        Ownership that the request is sent to; 0 until it is sent to another daemon.
    """

    job_id: str
    queue: Queue
    spec: JobSpec
    left_ms: float
    generation: int = 0


@attrs.frozen(kw_only=True)
class CancelJob:
    """Request to the owner to cancel a job."""

    job_id: str
    left_ms: float


@attrs.frozen(kw_only=True)
class ReadJob:
    """Request to the owner for the state of a job."""

    job_id: str


@attrs.frozen(kw_only=True)
class ReadQueue:
    """Request to the owner for the number of pending jobs of a queue."""

    queue: str


JobRequest = SubmitJob | CancelJob | ReadJob | ReadQueue
_PATHS: dict[type, str] = {
    SubmitJob: "/submit",
    CancelJob: "/cancel",
    ReadJob: "/state",
    ReadQueue: "/pending",
}


async def pass_to_owner(owner: Owner, request: JobRequest) -> Response:
    """Pass a request to an owner in this process and return its response."""
    if isinstance(request, SubmitJob):
        return await owner.submit(request.job_id, request.queue, request.spec, request.left_ms)
    if isinstance(request, CancelJob):
        return await owner.cancel(request.job_id, request.left_ms)
    if isinstance(request, ReadJob):
        return await owner.read_state(request.job_id)
    return owner.read_pending(request.queue)


def build_peer_application(*, get_owner: Callable[[], Owner | None]) -> Application:
    """Build the application that serves requests of other daemons.

    A submission is processed only by the ownership that it was sent to. A partition may hold it
    until its sender has given it up, and the owner that the sender asked next has rejected the job.

    Parameters
    ----------
    get_owner : callable
        Returns the owner in this process, or None.
    """

    def build_handler(kind: type) -> Callable[[HttpRequest], Awaitable[HttpResponse]]:
        async def handle_request(http_request: HttpRequest) -> HttpResponse:
            request = decode(http_request.body, kind)
            owner = get_owner()
            if owner is None:
                return HttpResponse.from_message(NOT_OWNER)
            if isinstance(request, SubmitJob) and request.generation != owner.info.generation:
                log_event(
                    "submission for another ownership ignored",
                    job=request.job_id,
                    sent_to_generation=request.generation,
                    generation=owner.info.generation,
                )
                return HttpResponse.from_message(NOT_OWNER)
            return HttpResponse.from_message(await pass_to_owner(owner, request))

        return handle_request

    routes = {f"POST {path}": build_handler(kind) for kind, path in _PATHS.items()}
    return Application(routes=routes, max_body_bytes=_MAX_MESSAGE_BYTES)


class PeerClient:
    """Client of the daemon that owns the cell.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    clock : Clock
        Time source.
    """

    def __init__(self, *, address: str, clock: Clock) -> None:
        host, port = split_address(address)
        self.address = address
        self._pool = HttptoolsPool(host=host, port=port, clock=clock, connections=_MAX_CONNECTIONS)

    async def send_request(
        self, request: JobRequest, *, timeout_ms: float
    ) -> Result[Response, CallError]:
        """Send a request to the owner.

        A malformed response counts as `NOT_OWNER`. After a failure inside of the owner's process,
        such as its exit, the outcome is unknown.
        """
        result = await self._pool.exchange(
            "POST", _PATHS[type(request)], body=encode(request), timeout_ms=timeout_ms
        )
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if reply.status >= _FIRST_SERVER_ERROR:
            return Failure(BadReply("failed at the owner", reply.status))
        try:
            return Success(decode(reply.body, Response))
        except MalformedMessageError:
            return Success(NOT_OWNER)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()


class OwnerWatch(Protocol):
    """Source of the current owner of the cell."""

    owner: OwnerInfo | None

    async def wait_change(self, timeout_ms: float) -> None:
        """Wait until the owner may have changed, at most `timeout_ms`."""
        ...


class Peer(Protocol):
    """Daemon that requests are sent to."""

    async def send_request(
        self, request: JobRequest, *, timeout_ms: float
    ) -> Result[Response, CallError]:
        """Send a request to the daemon."""
        ...


async def request_while_owner(
    peer: Peer, request: JobRequest, *, info: OwnerInfo, watch: OwnerWatch, timeout_ms: float
) -> Result[Response, CallError]:
    """Send a request to an owner and cancel it when another daemon owns the cell.

    A request to an owner that is partitioned from the network would run into its time limit, while
    the next owner could respond. A job that was submitted to both is still one job, since the
    caller chose its identifier.

    Parameters
    ----------
    peer : Peer
        Daemon that owned the cell when the request was routed.
    request : JobRequest
        Request to send.
    info : OwnerInfo
        Ownership of that daemon.
    watch : OwnerWatch
        Source of later ownerships.
    timeout_ms : float
        Time limit for the response.
    """
    if isinstance(request, SubmitJob):
        request = attrs.evolve(request, generation=info.generation)
    result: Result[Response, CallError] = Failure(Unanswered("another daemon owns the cell"))
    async with anyio.create_task_group() as group:

        async def send_request() -> None:
            nonlocal result
            result = await peer.send_request(request, timeout_ms=timeout_ms)
            group.cancel_scope.cancel()

        group.start_soon(send_request)
        # While the cell has no owner, the response may still arrive: the owner's lease may have
        # expired because the store was unreachable.
        while watch.owner is None or watch.owner == info:
            await watch.wait_change(timeout_ms)
        group.cancel_scope.cancel()
    return result
