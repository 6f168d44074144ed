"""HTTP client of workers; no other module depends on the protocol that they use."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.transport import (
    BadReply,
    CallError,
    Channel,
    MalformedMessageError,
    decode,
    encode,
)
from coltsfootpier.workers._messages import SyncReply, SyncRequest


class WorkerClient:
    """Client of one worker.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    clock : Clock
        Time source.
    timeout_ms : float
        Timeout of one request in milliseconds.
    """

    def __init__(self, *, host: str, port: int, clock: Clock, timeout_ms: float) -> None:
        self._channel = Channel(host=host, port=port, clock=clock)
        self._timeout_ms = timeout_ms

    async def run(self) -> None:
        """Manage the connection until cancelled."""
        await self._channel.run()

    async def sync(self, request: SyncRequest) -> Result[SyncReply, CallError]:
        """Send commands to the worker and return its state."""
        result = await self._channel.call(
            "POST", "/v1/sync", body=encode(request), timeout_ms=self._timeout_ms
        )
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if reply.status != 200:
            return Failure(BadReply("unexpected status", reply.status))
        try:
            return Success(decode(reply.body, SyncReply))
        except MalformedMessageError as error:
            return Failure(BadReply(str(error), reply.status))
