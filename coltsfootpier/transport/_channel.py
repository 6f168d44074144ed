"""Calls to one address through a bounded queue and tasks that own the connections."""

from __future__ import annotations

from collections import deque

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.transport._connection import Connection, Headers, Reply
from coltsfootpier.transport._errors import OVERDUE, CallError, NotSent
from coltsfootpier.transport._stream import Upload

# Kept under the keep-alive time of our servers (75 s), so that the client closes first.
_MAX_IDLE_MS = 30_000.0


@attrs.define(eq=False)
class _Exchange:
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

    def begin(self, reply: Reply) -> None:
        """Give the beginning of a large answer."""
        if self.abandoned:
            reply.rest.close()
        self.resolve(Success(reply))

    def resolve(self, result: Result[Reply, CallError]) -> None:
        """Give the result; the beginning of a streamed answer comes before its end."""
        if not self.done.is_set():
            self.result = result
            self.done.set()


@attrs.define(eq=False)
class _Idle:
    """A connection task that waits for an exchange."""

    handed: anyio.Event = attrs.field(factory=anyio.Event)
    exchange: _Exchange | None = None


class Channel:
    """Request-answer calls to one address.

    The connection that was used last is used first, so that at low rates few connections are
    in use and stay fresh. After an overdue answer, every connection that has not answered
    since the overdue request was sent is replaced before its next use: what silenced one
    connection has usually silenced the others to the same address.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    clock : Clock
        Time source.
    connections : int, default=1
        Number of connections, each owned by a task; also the number of calls at once.
    queue : int, default=64
        Calls that may wait; a further one fails at once with `NotSent`.
    max_body : int, default=4_000_000
        Largest accepted answer body in bytes.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        clock: Clock,
        connections: int = 1,
        queue: int = 64,
        max_body: int = 4_000_000,
    ) -> None:
        self._host = host
        self._port = port
        self._clock = clock
        self._size = connections
        self._max_body = max_body
        self._queue = queue
        self._pending: deque[_Exchange] = deque()
        self._idle: list[_Idle] = []
        self._closed = False
        self._suspect_ms = float("-inf")

    async def run(self) -> None:
        """Own the connections until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(self._size):
                group.start_soon(self._run_connection)

    def close(self) -> None:
        """Take no further calls; `run` ends after those that wait are finished."""
        self._closed = True
        while self._idle:
            self._idle.pop().handed.set()

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
            Further headers.
        timeout_ms : float
            Time allowed, waiting for a free connection included.
        max_idle_ms : float
            A connection whose last answer is older is replaced first.
        stream_over : int, optional
            A larger body (bytes) is returned with its rest as a stream, which must be read or
            closed.

        Returns
        -------
        Result of Reply or CallError
            `NotSent` when nothing was handed over, `Unanswered` when the outcome is unknown.
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
            idle.handed.set()
        elif len(self._pending) >= self._queue:
            return Failure(NotSent("queue full"))
        else:
            self._pending.append(exchange)
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await exchange.done.wait()
        finally:
            # Reported as not sent, or given up by the caller, so it must not be sent later.
            exchange.abandoned = True
        if exchange.done.is_set():
            return exchange.result
        if not exchange.started:
            return Failure(NotSent("queued too long"))
        # Noted here as well, because the next call may be handed over before the connection's
        # task finds out.
        self._suspect_ms = max(self._suspect_ms, exchange.sent_ms)
        return Failure(OVERDUE)

    async def _next(self) -> _Exchange | None:
        if self._pending:
            return self._pending.popleft()
        if self._closed:
            return None
        idle = _Idle()
        self._idle.append(idle)
        await idle.handed.wait()
        return idle.exchange

    async def _run_connection(self) -> None:
        connection = Connection(
            host=self._host, port=self._port, clock=self._clock, max_body=self._max_body
        )
        try:
            while (exchange := await self._next()) is not None:
                left_ms = exchange.deadline_ms - self._clock.now_ms()
                if exchange.abandoned or left_ms <= 0:
                    exchange.resolve(Failure(NotSent("queued too long")))
                    continue
                exchange.started = True
                await self._carry_out(connection, exchange, left_ms)
        finally:
            await connection.close()

    async def _carry_out(self, connection: Connection, exchange: _Exchange, left_ms: float) -> None:
        exchange.sent_ms = sent_ms = self._clock.now_ms()
        result = await connection.exchange(
            method=exchange.method.encode(),
            target=exchange.target.encode(),
            headers=exchange.headers,
            body=exchange.body,
            timeout_ms=left_ms,
            max_idle_ms=min(exchange.max_idle_ms, sent_ms - self._suspect_ms),
            stream_threshold_bytes=exchange.stream_threshold_bytes,
            on_large=exchange.begin,
        )
        if isinstance(result, Failure) and result.failure() == OVERDUE:
            self._suspect_ms = max(self._suspect_ms, sent_ms)
        exchange.resolve(result)
