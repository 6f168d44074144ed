"""HTTP/1.1 client connections parsed by ``httptools``, for frequent calls.

An exchange takes about a twentieth of the CPU time of one through ``httpcore``
(docs/measurements.md). The protocol object is notified when the peer closes an idle connection,
so that no request is written to a closed one.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import httptools
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.transport._address import MAX_PORT
from coltsfootpier.transport._connection import Reply
from coltsfootpier.transport._errors import OVERDUE, BadReply, CallError, NotSent, Unanswered

# Maximum size of a response body; a range response of the store holds at most about 1 MB of values
# in base64.
_MAX_RESPONSE_BYTES = 4_000_000
# A connection whose sent bytes are not acknowledged within this time is closed by the operating
# system, because no reset arrives during a network partition.
_TCP_USER_TIMEOUT_MS = 4_000
# Number of times that the timeout of a long response starts again. With the usual 1 s for a call to
# the store, 4 MB may take 9 s, which are 3.6 Mbit/s.
_MAX_EXTENSIONS = 8


class _Protocol(asyncio.Protocol):
    """Parser of the responses on one connection."""

    def __init__(self, on_closed: Callable[[], None]) -> None:
        self._on_closed = on_closed
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.waiter: asyncio.Future[Result[Reply, CallError]] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._size = 0
        # Number of parts received.
        self.part_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.part_count += 1
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.finish(Failure(BadReply(f"not an HTTP answer: {error}")))
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self._on_closed()
        self.closed = True
        reason = "closed by the peer" if exc is None else repr(exc)
        self.finish(Failure(Unanswered(reason)))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > _MAX_RESPONSE_BYTES:
            self.finish(Failure(BadReply(f"body over {_MAX_RESPONSE_BYTES} bytes")))
            self.abort()
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        reply = Reply(status, tuple(self._headers), b"".join(self._chunks))
        self._headers, self._chunks, self._size = [], [], 0
        if not self._parser.should_keep_alive():
            self.abort()
        self.finish(Success(reply))

    def finish(self, result: Result[Reply, CallError]) -> None:
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(result)

    def abort(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class HttptoolsConnection:
    """A connection whose responses ``httptools`` parses, with one exchange at a time.

    It is owned by one task and takes far less CPU time than a `Connection`, which uses
    ``httpcore``. It is closed after an exchange without a complete response, so that a late
    response can't be mistaken for the response to a later request. The next exchange opens a new
    one.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    on_closed : callable, optional
        Called when the peer closes the connection.
    """

    def __init__(
        self, *, host: str, port: int, on_closed: Callable[[], None] = lambda: None
    ) -> None:
        self._host = host
        self._on_closed = on_closed
        self._port = port
        self._host_header = f"host: {host}:{port}\r\n".encode()
        self._protocol: _Protocol | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent without opening a connection first."""
        return self._protocol is not None and not self._protocol.closed

    def close(self) -> None:
        """Close the connection; a later exchange opens a new one."""
        protocol, self._protocol = self._protocol, None
        if protocol is not None:
            protocol.abort()

    async def exchange(
        self,
        method: str,
        target: str,
        *,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        timeout_ms: float,
        is_extended: bool = False,
    ) -> Result[Reply, CallError]:
        """Send one request and wait for the complete response.

        Parameters
        ----------
        method, target : str
            Request line.
        headers : tuple of (str, str)
            Additional headers; ``Host`` defaults to the address.
        body : bytes
            JSON body.
        timeout_ms : float
            Timeout of the exchange in ms, including connection set-up.
        is_extended : bool, default=False
            Whether the timeout starts again while parts of the response arrive, up to
            `_MAX_EXTENSIONS` times. A long response takes longer on a slow link than it may take
            to notice that there is none.

        Returns
        -------
        Result of Reply or CallError
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_ms / 1000
        if not self.is_open:
            self.close()
            opened = await self._open(deadline_s)
            if isinstance(opened, Failure):
                return opened
        protocol = self._protocol
        waiter: asyncio.Future[Result[Reply, CallError]] = loop.create_future()
        protocol.waiter = waiter
        lines = [f"{method} {target} HTTP/1.1\r\n".encode()]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append(self._host_header)
        lines += [f"{name}: {value}\r\n".encode() for name, value in headers]
        if body or method == "POST":
            lines.append(b"content-type: application/json\r\n")
            lines.append(f"content-length: {len(body)}\r\n".encode())
        protocol.transport.write(b"".join((*lines, b"\r\n", body)))
        part_count, extensions = protocol.part_count, 0

        def expire() -> None:
            nonlocal timer, part_count, extensions
            if is_extended and protocol.part_count > part_count and extensions < _MAX_EXTENSIONS:
                part_count, extensions = protocol.part_count, extensions + 1
                timer = loop.call_later(timeout_ms / 1000, expire)
            else:
                protocol.finish(Failure(OVERDUE))

        timer = loop.call_at(deadline_s, expire)
        completed = False
        try:
            result = await waiter
            completed = isinstance(result, Success)
            return result
        finally:
            timer.cancel()
            if not completed:
                protocol.waiter = None
                self.close()

    async def _open(self, deadline_s: float) -> Result[None, CallError]:
        loop = asyncio.get_running_loop()
        # The event loop would use the lowest 16 bits of a larger number.
        if not 0 < self._port <= MAX_PORT:
            return Failure(NotSent(f"{self._port} is not a TCP port", unreachable=True))
        try:
            async with asyncio.timeout_at(deadline_s):
                _, protocol = await loop.create_connection(
                    lambda: _Protocol(self._on_closed), self._host, self._port
                )
        except TimeoutError:
            return Failure(NotSent(f"no connection to {self._host}:{self._port} in time"))
        except (OSError, UnicodeError) as error:
            # A host that can't be encoded for a look-up is as unreachable as an unknown one.
            reason = f"can't connect to {self._host}:{self._port}: {error}"
            return Failure(NotSent(reason, unreachable=True))
        # Not every operating system supports the option. The timeout of the exchange applies in any
        # case.
        with contextlib.suppress(OSError):
            protocol.transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
            )
        self._protocol = protocol
        return Success(None)


class HttptoolsPool:
    """A bounded pool of connections to one address, each an `HttptoolsConnection`.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    clock : Clock
        Time source.
    connections : int
        Maximum number of concurrent exchanges; further ones wait within their timeout.
    """

    def __init__(self, *, host: str, port: int, clock: Clock, connections: int) -> None:
        self._clock = clock
        self._free = [HttptoolsConnection(host=host, port=port) for _ in range(connections)]
        self._slots = asyncio.Semaphore(connections)

    async def exchange(
        self,
        method: str,
        target: str,
        *,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        timeout_ms: float,
        is_extended: bool = False,
    ) -> Result[Reply, CallError]:
        """Send one request on a free connection; see `HttptoolsConnection.exchange`."""
        start_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._slots.acquire()
        except TimeoutError:
            return Failure(NotSent("no free connection in time"))
        # The most recently used connection is reused first, so that few stay open under light load.
        connection = self._free.pop()
        try:
            remaining_ms = timeout_ms - (self._clock.now_ms() - start_ms)
            return await connection.exchange(
                method,
                target,
                headers=headers,
                body=body,
                timeout_ms=remaining_ms,
                is_extended=is_extended,
            )
        finally:
            self._free.append(connection)
            self._slots.release()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._free:
            connection.close()
