"""Client for one address: a bounded queue of calls and tasks that own the connections."""

from __future__ import annotations

from collections import deque

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.transport._connection import Connection, Headers, Reply
from coltsfootpier.transport._errors import OVERDUE, CallError, NotSent
from coltsfootpier.transport._stream import Upload

# Shorter than the keep-alive timeout of the daemons' servers (75 s), so that the client closes
# first.
_MAX_IDLE_MS = 30_000.0


@attrs.define(eq=False)
class _Exchange:
    """A call, from its submission to its result."""

    method: str
    target: str
    headers: Headers
    body: bytes | Upload
    deadline_ms: float
    max_idle_ms: float
    stream_threshold_bytes: int | None
    done: anyio.Event = attrs.field(factory=anyio.Event)
    started: bool = False
    sent_ms: float = 0.0
    abandoned: bool = False
    result: Result[Reply, CallError] = Failure(NotSent("not started"))

    def start_stream(self, reply: Reply) -> None:
        """Resolve with the first part of a large response."""
        if self.abandoned:
            reply.rest.close()
        self.resolve(Success(reply))

    def resolve(self, result: Result[Reply, CallError]) -> None:
        """Set the result once; a streamed response resolves at its start, not at its end."""
        if not self.done.is_set():
            self.result = result
            self.done.set()


@attrs.define(eq=False)
class _IdleConnection:
    """A connection task that waits for an exchange."""

    assigned: anyio.Event = attrs.field(factory=anyio.Event)
    exchange: _Exchange | None = None


class Channel:
    """Request-response calls to one address.

    The most recently used connection is reused first, so that at a low call rate only few
    connections are used, none of which is idle for long. After a timeout, every connection without
    a response since the overdue request was sent is replaced before its next use: a network fault
    that drops the packets of one connection usually affects all connections to the same address.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    clock : Clock
        Time source.
    connections : int, default=1
        Number of connections, each owned by a task; limits the concurrent calls.
    queue : int, default=64
        Maximum number of queued calls; a further call fails immediately with `NotSent`.
    max_body_bytes : int, default=4_000_000
        Maximum size of an accepted response body in bytes.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        clock: Clock,
        connections: int = 1,
        queue: int = 64,
        max_body_bytes: int = 4_000_000,
    ) -> None:
        self._host = host
        self._port = port
        self._clock = clock
        self._connection_count = connections
        self._max_body_bytes = max_body_bytes
        self._max_pending = queue
        self._pending: deque[_Exchange] = deque()
        self._idle: list[_IdleConnection] = []
        self._closed = False
        self._suspect_since_ms = float("-inf")

    async def run(self) -> None:
        """Run the connection tasks until cancelled or closed."""
        async with anyio.create_task_group() as group:
            for _ in range(self._connection_count):
                group.start_soon(self._run_connection)

    def close(self) -> None:
        """Reject further calls; `run` returns once the queued calls are finished."""
        self._closed = True
        while self._idle:
            self._idle.pop().assigned.set()

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes | Upload = b"",
        headers: Headers = (),
        timeout_ms: float,
        max_idle_ms: float = _MAX_IDLE_MS,
        stream_threshold_bytes: int | None = None,
    ) -> Result[Reply, CallError]:
        """Make one call.

        Parameters
        ----------
        method, target : str
            Request line.
        body : bytes or Upload
            Request body.
        headers : sequence of (bytes, bytes)
            Additional headers.
        timeout_ms : float
            Timeout in ms, including the wait for a free connection.
        max_idle_ms : float
            A connection whose last response is older than this (ms) is replaced first.
        stream_threshold_bytes : int, optional
            A body larger than this (bytes) is returned with its rest as a stream, which must be
            read or closed.

        Returns
        -------
        Result of Reply or CallError
            `NotSent` if no byte was sent, `Unanswered` if the outcome is unknown.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        exchange = _Exchange(
            method, target, headers, body, deadline_ms, max_idle_ms, stream_threshold_bytes
        )
        if self._closed:
            return Failure(NotSent("closed"))
        if self._idle:
            idle = self._idle.pop()
            idle.exchange = exchange
            idle.assigned.set()
        elif len(self._pending) >= self._max_pending:
            return Failure(NotSent("queue full"))
        else:
            self._pending.append(exchange)
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await exchange.done.wait()
        finally:
            # A queued call that is reported as not sent, or that the calling task has cancelled,
            # must not be sent later.
            exchange.abandoned = True
        if exchange.done.is_set():
            return exchange.result
        if not exchange.started:
            return Failure(NotSent("queued too long"))
        # Also set here, because the next call may be assigned before the connection task observes
        # the timeout.
        self._suspect_since_ms = max(self._suspect_since_ms, exchange.sent_ms)
        return Failure(OVERDUE)

    async def _get_next_exchange(self) -> _Exchange | None:
        if self._pending:
            return self._pending.popleft()
        if self._closed:
            return None
        idle = _IdleConnection()
        self._idle.append(idle)
        await idle.assigned.wait()
        return idle.exchange

    async def _run_connection(self) -> None:
        connection = Connection(
            host=self._host, port=self._port, clock=self._clock, max_body_bytes=self._max_body_bytes
        )
        try:
            while (exchange := await self._get_next_exchange()) is not None:
                remaining_ms = exchange.deadline_ms - self._clock.now_ms()
                if exchange.abandoned or remaining_ms <= 0:
                    exchange.resolve(Failure(NotSent("queued too long")))
                    continue
                exchange.started = True
                await self._execute(connection, exchange, remaining_ms)
        finally:
            await connection.close()

    async def _execute(
        self, connection: Connection, exchange: _Exchange, remaining_ms: float
    ) -> None:
        exchange.sent_ms = sent_ms = self._clock.now_ms()
        result = await connection.exchange(
            method=exchange.method.encode(),
            target=exchange.target.encode(),
            headers=exchange.headers,
            body=exchange.body,
            timeout_ms=remaining_ms,
            max_idle_ms=min(exchange.max_idle_ms, sent_ms - self._suspect_since_ms),
            stream_threshold_bytes=exchange.stream_threshold_bytes,
            on_large_response=exchange.start_stream,
        )
        if isinstance(result, Failure) and result.failure() == OVERDUE:
            self._suspect_since_ms = max(self._suspect_since_ms, sent_ms)
        exchange.resolve(result)
