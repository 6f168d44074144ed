"""Client of one peer."""

from __future__ import annotations

from typing import TypeVar

import anyio
from returns.result import Failure, Result, Success

from coltsfootpier.burn import StatsSnapshot
from coltsfootpier.clock import Clock
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
from coltsfootpier.transport import (
    BadReply,
    CallError,
    Channel,
    MalformedMessageError,
    decode,
    encode,
    split_address,
)

_T = TypeVar("_T")
_CONNECTIONS = 4
# Borrow requests are queued at the peer, so they use separate connections. Their number equals the
# router's limit of pending borrow requests to one peer.
_BORROW_CONNECTIONS = 8
_TIMEOUT_MS = 1_000.0
# The response to an exchange is sent after a write to the store, which may be slow.
_EXCHANGE_TIMEOUT_MS = 3_000.0
# The copies of a full key group occupy up to 4 MB.
_PULL_TIMEOUT_MS = 3_000.0


class PeerClient:
    """Client of one other daemon.

    Parameters
    ----------
    address : str
        ``IP:PORT`` at which the daemon listens for its peers.
    clock : Clock
        Time source.
    """

    def __init__(self, *, address: str, clock: Clock) -> None:
        host, port = split_address(address)
        self._channel = Channel(host=host, port=port, clock=clock, connections=_CONNECTIONS)
        self._borrow_channel = Channel(
            host=host, port=port, clock=clock, connections=_BORROW_CONNECTIONS
        )

    async def run(self) -> None:
        """Run the connections until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._channel.run)
            group.start_soon(self._borrow_channel.run)

    async def send_heartbeat(self, heartbeat: Heartbeat) -> Result[Heartbeat, CallError]:
        """Send a heartbeat; the response is the heartbeat of the peer."""
        return await self._post("heartbeat", heartbeat, Heartbeat)

    async def push_revision(self, revision: Revision) -> Result[Revision, CallError]:
        """Send a durable revision; the response is the revision in force at the peer."""
        return await self._post("revision", revision, Revision)

    async def pull_revision(self) -> Result[Revision, CallError]:
        """Read the newest revision that is known to the peer."""
        return await self._post("pull-revision", {}, Revision)

    async def pull_members(self) -> Result[MemberList, CallError]:
        """Read the members that are reachable from the peer."""
        return await self._post("members", {}, MemberList)

    async def pull_runners(self) -> Result[RunnerTable, CallError]:
        """Read the runners that the peer publishes."""
        return await self._post("runners", {}, RunnerTable)

    async def exchange(self, request: ExchangeRequest) -> Result[ExchangeReply, CallError]:
        """Send an exchange request of the dispatcher to the owner of a shard."""
        return await self._post("exchange", request, ExchangeReply, _EXCHANGE_TIMEOUT_MS)

    async def borrow_slot(self, request: BorrowSlot) -> Result[LentSlot, CallError]:
        """Request a slot; the peer may queue the request for up to `request.wait_ms`."""
        return await self._post(
            "borrow", request, LentSlot, request.wait_ms + _TIMEOUT_MS, self._borrow_channel
        )

    async def return_slot(self, request: ReturnSlot) -> Result[LentSlot, CallError]:
        """Return a borrowed slot."""
        return await self._post("return", request, LentSlot)

    async def acquire_permit(
        self, request: AcquirePermit, *, timeout_ms: float
    ) -> Result[PermitReply, CallError]:
        """Request a permit from the owner of a key group."""
        return await self._post("acquire-permit", request, PermitReply, timeout_ms)

    async def copy_permits(
        self, request: CopyPermits, *, timeout_ms: float
    ) -> Result[CopyReply, CallError]:
        """Send copies of permit records for the peer to store."""
        return await self._post("copy-permits", request, CopyReply, timeout_ms)

    async def settle_permit(self, request: SettlePermit) -> Result[SettleReply, CallError]:
        """Send the outcome of a request to the owner of its key group."""
        return await self._post("settle-permit", request, SettleReply)

    async def pull_permits(self, request: PullPermits) -> Result[PulledPermits, CallError]:
        """Announce the ownership of a key group and read the copies that the peer stores."""
        return await self._post("pull-permits", request, PulledPermits, _PULL_TIMEOUT_MS)

    async def read_status(self) -> Result[StatusReply, CallError]:
        """Read the state of all tasks from the peer that owns the dispatcher."""
        return await self._post("status", {}, StatusReply)

    async def pull_stats(self) -> Result[StatsSnapshot, CallError]:
        """Read the request counters of the peer."""
        return await self._post("stats", {}, StatsSnapshot)

    async def _post(
        self,
        name: str,
        message: object,
        response_type: type[_T],
        timeout_ms: float = _TIMEOUT_MS,
        channel: Channel | None = None,
    ) -> Result[_T, CallError]:
        result = await (channel or self._channel).call(
            "POST", f"/peer/v1/{name}", body=encode(message), timeout_ms=timeout_ms
        )
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if reply.status != 200:
            return Failure(BadReply(reply.body.decode("utf-8", "replace")[:200], reply.status))
        try:
            return Success(decode(reply.body, response_type))
        except MalformedMessageError as error:
            return Failure(BadReply(str(error), reply.status))
