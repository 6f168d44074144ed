"""Calls between daemons about jobs: each daemon passes callers' requests on to the owner."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.jobs import JobSpec, Queue
from coltsfootpier.journal import OwnerInfo
from coltsfootpier.node._answers import NO_OWNER, Answer
from coltsfootpier.node._owner import Owner
from coltsfootpier.transport import (
    Application,
    CallError,
    HttpRequest,
    HttpResponse,
    LeanPool,
    MalformedMessageError,
    Unanswered,
    decode,
    encode,
    split_address,
)

# Exchanges with the owner at once; further requests wait within their deadline.
_CONNECTIONS = 8
_MAX_MESSAGE_BYTES = 1_000_000


@attrs.frozen(kw_only=True)
class SubmitJob:
    """Ask the owner to take a job."""

    job_id: str
    queue: Queue
    spec: JobSpec
    left_ms: float


@attrs.frozen(kw_only=True)
class CancelJob:
    """Ask the owner to cancel a job."""

    job_id: str
    left_ms: float


@attrs.frozen(kw_only=True)
class ReadJob:
    """Ask the owner for the state of a job."""

    job_id: str


@attrs.frozen(kw_only=True)
class ReadQueue:
    """Ask the owner for the number of jobs that wait in a queue."""

    queue: str


Question = SubmitJob | CancelJob | ReadJob | ReadQueue
_PATHS: dict[type, str] = {
    SubmitJob: "/submit",
    CancelJob: "/cancel",
    ReadJob: "/state",
    ReadQueue: "/pending",
}


async def ask_owner(owner: Owner, question: Question) -> Answer:
    """Put a question to an owner in this process."""
    if isinstance(question, SubmitJob):
        return await owner.submit(question.job_id, question.queue, question.spec, question.left_ms)
    if isinstance(question, CancelJob):
        return await owner.cancel(question.job_id, question.left_ms)
    if isinstance(question, ReadJob):
        return await owner.read_state(question.job_id)
    return owner.read_pending(question.queue)


def build_peer_application(*, get_owner: Callable[[], Owner | None]) -> Application:
    """Build what a daemon serves to the others.

    Parameters
    ----------
    get_owner : callable
        Returns the owner in this process, or None.
    """

    def handle(kind: type) -> Callable[[HttpRequest], Awaitable[HttpResponse]]:
        async def answer(request: HttpRequest) -> HttpResponse:
            question = decode(request.body, kind)
            owner = get_owner()
            if owner is None:
                return HttpResponse.of(NO_OWNER)
            return HttpResponse.of(await ask_owner(owner, question))

        return answer

    routes = {f"POST {path}": handle(kind) for kind, path in _PATHS.items()}
    return Application(routes=routes, max_body=_MAX_MESSAGE_BYTES)


class PeerClient:
    """Connections to the daemon that owns the cell.

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
        self._pool = LeanPool(host=host, port=port, clock=clock, connections=_CONNECTIONS)

    async def ask(self, question: Question, *, timeout_ms: float) -> Result[Answer, CallError]:
        """Put a question to the owner."""
        sent = await self._pool.exchange(
            "POST", _PATHS[type(question)], body=encode(question), timeout_ms=timeout_ms
        )
        if isinstance(sent, Failure):
            return sent
        try:
            return Success(decode(sent.unwrap().body, Answer))
        except MalformedMessageError:
            return Success(NO_OWNER)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()


class OwnerWatch(Protocol):
    """Where a daemon learns who owns the cell."""

    owner: OwnerInfo | None

    async def wait_change(self, timeout_ms: float) -> None:
        """Wait until the owner may have changed, at most `timeout_ms`."""
        ...


class Peer(Protocol):
    """A daemon that questions are put to."""

    async def ask(self, question: Question, *, timeout_ms: float) -> Result[Answer, CallError]:
        """Put a question to the daemon."""
        ...


async def ask_while_owner(
    peer: Peer, question: Question, *, info: OwnerInfo, watch: OwnerWatch, timeout_ms: float
) -> Result[Answer, CallError]:
    """Put a question to an owner and give it up when another daemon owns the cell.

    An owner that was cut off answers nothing until the time limit, while its successor could. A
    job that was handed to both is one job, since its identifier is the caller's.

    Parameters
    ----------
    peer : Peer
        The daemon that owned the cell when it was chosen.
    question : Question
        What to ask.
    info : OwnerInfo
        That ownership.
    watch : OwnerWatch
        Tells of later ones.
    timeout_ms : float
        Time for the answer.
    """
    result: Result[Answer, CallError] = Failure(Unanswered("another daemon owns the cell"))
    async with anyio.create_task_group() as group:

        async def ask() -> None:
            nonlocal result
            result = await peer.ask(question, timeout_ms=timeout_ms)
            group.cancel_scope.cancel()

        group.start_soon(ask)
        # While nobody owns the cell the answer may still come: the owner's lease may have ended
        # because the store was out of reach.
        while watch.owner is None or watch.owner == info:
            await watch.wait_change(timeout_ms)
        group.cancel_scope.cancel()
    return result
