"""HTTP application for messages from other daemons."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from returns.result import Failure, Result

from coltsfootpier.burn import StatsSnapshot
from coltsfootpier.configuration import Revision
from coltsfootpier.operators import StatusReply
from coltsfootpier.peers._messages import (
    BorrowSlot,
    Heartbeat,
    LentSlot,
    MemberList,
    ReturnSlot,
    RunnerTable,
)
from coltsfootpier.permits import (
    AcquirePermit,
    CopyPermits,
    CopyReply,
    PermitReply,
    PulledPermits,
    PullPermits,
    SettlePermit,
    SettleReply,
)
from coltsfootpier.placement import ExchangeReply, ExchangeRequest
from coltsfootpier.transport import Application, HttpRequest, HttpResponse, decode

# The limit must exceed the size of a complete configuration text, which the store limits to 1 MB.
_MAX_BODY_BYTES = 4_000_000


class PeerHandlers(Protocol):
    """Handlers for the messages of peers."""

    async def on_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Record the heartbeat of a peer; the response is the heartbeat of this daemon."""
        ...

    async def on_revision(self, revision: Revision) -> Revision:
        """Apply a durable revision and return the revision in force."""
        ...

    async def on_pull_revision(self) -> Revision:
        """Return the revision in force."""
        ...

    async def on_pull_members(self) -> MemberList:
        """Return the reachable members, including this daemon."""
        ...

    async def on_pull_runners(self) -> RunnerTable:
        """Return the published runners of all shards that this daemon owns."""
        ...

    async def on_exchange(self, request: ExchangeRequest) -> Result[ExchangeReply, Any]:
        """Forward an exchange request of the dispatcher to the task that owns the shard."""
        ...

    async def on_borrow(self, request: BorrowSlot) -> LentSlot:
        """Lend a slot to a peer; if none is free, queue the request for a limited time."""
        ...

    async def on_dispatch_status(self) -> StatusReply:
        """Return the state of all tasks if this daemon owns the dispatcher."""
        ...

    async def on_pull_stats(self) -> StatsSnapshot:
        """Return the request counters of this daemon."""
        ...

    async def on_return(self, request: ReturnSlot) -> LentSlot:
        """Free a lent slot that a peer returns."""
        ...

    async def on_acquire_permit(self, request: AcquirePermit) -> PermitReply:
        """Decide on a permit request if this daemon owns the key group."""
        ...

    async def on_copy_permits(self, request: CopyPermits) -> CopyReply:
        """Store copies of permit records for the owner of a key group."""
        ...

    async def on_settle_permit(self, request: SettlePermit) -> SettleReply:
        """Record the outcome of a request."""
        ...

    async def on_pull_permits(self, request: PullPermits) -> PulledPermits:
        """Record the epoch of the new owner of a key group and return the copies of its records."""
        ...


def build_peer_application(handlers: PeerHandlers) -> Application:
    """Return the HTTP application that serves the messages of peers."""

    def with_body(message_type: type, handler: Callable[[Any], Awaitable[object]]) -> Any:
        async def handle(request: HttpRequest) -> HttpResponse:
            return HttpResponse.from_message(await handler(decode(request.body, message_type)))

        return handle

    def without_body(handler: Callable[[], Awaitable[object]]) -> Any:
        async def handle(_: HttpRequest) -> HttpResponse:
            return HttpResponse.from_message(await handler())

        return handle

    async def exchange(request: HttpRequest) -> HttpResponse:
        result = await handlers.on_exchange(decode(request.body, ExchangeRequest))
        if isinstance(result, Failure):
            return HttpResponse.problem(409, "exchange_refused", str(result.failure()))
        return HttpResponse.from_message(result.unwrap())

    return Application(
        routes={
            "POST /peer/v1/heartbeat": with_body(Heartbeat, handlers.on_heartbeat),
            "POST /peer/v1/revision": with_body(Revision, handlers.on_revision),
            "POST /peer/v1/pull-revision": without_body(handlers.on_pull_revision),
            "POST /peer/v1/members": without_body(handlers.on_pull_members),
            "POST /peer/v1/runners": without_body(handlers.on_pull_runners),
            "POST /peer/v1/exchange": exchange,
            "POST /peer/v1/borrow": with_body(BorrowSlot, handlers.on_borrow),
            "POST /peer/v1/status": without_body(handlers.on_dispatch_status),
            "POST /peer/v1/stats": without_body(handlers.on_pull_stats),
            "POST /peer/v1/return": with_body(ReturnSlot, handlers.on_return),
            "POST /peer/v1/acquire-permit": with_body(AcquirePermit, handlers.on_acquire_permit),
            "POST /peer/v1/copy-permits": with_body(CopyPermits, handlers.on_copy_permits),
            "POST /peer/v1/settle-permit": with_body(SettlePermit, handlers.on_settle_permit),
            "POST /peer/v1/pull-permits": with_body(PullPermits, handlers.on_pull_permits),
        },
        max_body_bytes=_MAX_BODY_BYTES,
    )
