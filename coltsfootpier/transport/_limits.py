"""Limits of caller connections: time, memory and the number of requests that wait.

Without them, callers that open connections and send nothing, or send a request header byte by byte,
would hold a file descriptor and memory indefinitely. Callers that send requests without reading the
responses, or trailers without an end, would exhaust the memory of the process.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from coltsfootpier.transport._budget import (
    CONNECTION_BYTES,
    ConnectionGroup,
    ConnectionState,
    OnLimit,
    ProcessBudget,
    compute_budget_bytes,
)
from coltsfootpier.transport._chunks import ChunkScanner

# Ends a header. llhttp accepts no other line ends.
_TERMINATOR = b"\r\n\r\n"
# Most bytes of a header or of chunks, and of a body of known length, that are parsed at a time.
_PIECE_BYTES = 4_096
_BODY_PIECE_BYTES = 65_536
# Most pieces of one connection that are parsed before other connections get their turn. An ordinary
# request takes at most 6: one of the header and 5 of the body.
_MAX_PIECES = 8
# Bytes of a chunk's size line and line ends that don't count as trailers and chunk extensions: up
# to 8 digits and two line ends, rounded up.
_CHUNK_FRAMING_BYTES = 16
# Estimated memory in bytes of a parsed request and of one of its headers, besides their bytes.
# Measured with 592,000 requests and 2.7 million headers: 1,500 and 114 each.
_REQUEST_BYTES = 2_000
_HEADER_BYTES = 128


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """Limits of one caller connection.

    Parameters
    ----------
    max_header_bytes : int
        Maximum size of request line and headers together, in bytes. Trailers and chunk extensions
        of one request are limited to the same size.
    header_timeout_ms : float
        Time in ms from the first byte of a request until its header is complete.
    idle_timeout_ms : float
        Time in ms without a byte before the first request and between two requests, and from a
        response until the end of a body that it didn't wait for.
    write_timeout_ms : float
        Time in ms in which a client must read some of the responses that wait for it.
    """

    max_header_bytes: int = 16_384
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 75_000.0
    write_timeout_ms: float = 30_000.0


class _GatedFlowControl(FlowControl):
    """Flow control whose reading stays paused while received bytes wait to be parsed."""

    def __init__(self, transport: asyncio.Transport, on_resume: Callable[[], None]) -> None:
        super().__init__(transport)
        self._on_resume = on_resume
        self._is_held = False
        self._is_paused = False

    def pause_reading(self) -> None:
        self.read_paused = True
        self._apply()

    def resume_reading(self) -> None:
        if self.read_paused:
            self.read_paused = False
            self._on_resume()

    def hold(self, is_held: bool) -> None:
        """Pause or resume reading for the bytes that wait."""
        self._is_held = is_held
        self._apply()

    def _apply(self) -> None:
        is_paused = self.read_paused or self._is_held
        # A closed transport raises an error.
        if is_paused == self._is_paused or self._transport.is_closing():
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


class LimitedProtocol(HttpToolsProtocol):
    """uvicorn HTTP protocol with limits that may change while the connection is open.

    uvicorn parses all requests that it has received, and continues to read after each response
    although requests wait. Here received bytes are parsed up to the end of one header or body at a
    time, and only until a second request waits for its response. The rest of the bytes that were
    read (at most one read of the event loop, 256 KB) waits, and no more is read meanwhile.

    `build_protocol` creates subclasses that define the class attributes.
    """

    get_limits: Callable[[], ConnectionLimits]
    # Called with the name of the limit that closed a connection.
    on_closed: OnLimit
    # Called with the name of the limit for which a connection is read more slowly, once each.
    on_slowed: OnLimit
    budget: ProcessBudget
    group: ConnectionGroup

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self._timer: asyncio.TimerHandle | None = None
        # Number of bytes received so far of an incomplete header.
        self._header_bytes = 0
        self._in_body = False
        # Bytes that the body of known length still lacks.
        self._missing_body_bytes = 0
        self._chunks = ChunkScanner()
        # Bytes of the chunked body that are neither content nor ordinary framing.
        self._extra_bytes = 0
        # Received bytes of the body of the request that is processed.
        self._body_bytes = 0
        # Requests that wait for the end of their responses, and the memory of each header.
        self._pending: deque[tuple[RequestResponseCycle, int]] = deque()
        # Received bytes that wait to be parsed, from the offset.
        self._received = b""
        self._offset = 0
        # Up to 3 parsed bytes that may be the start of a terminator.
        self._parsed_end = b""
        self._is_parsing = False
        self._is_evicted = False
        self._is_slowed = False
        # Size of the write buffer at the last check, and the time since which it hasn't shrunk.
        self._unsent_bytes = 0
        self._unsent_since_s = 0.0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the idle timeout of the first request."""
        super().connection_made(transport)
        self.flow = _GatedFlowControl(transport, self._parse_received)
        self._unsent_since_s = self.loop.time()
        self._start_timer(self._read_limits().idle_timeout_ms, "idle")
        self.group.add(self)
        self._report()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer and return what the connection used."""
        self._stop_timer()
        self._is_evicted = True
        self._drop_pending()
        self.group.remove(self)
        self.budget.remove(self)
        super().connection_lost(exc)
        # uvicorn keeps its timer after a reset, and the timer would keep this object in memory.
        self._unset_keepalive_if_required()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes as far as the limits allow."""
        self._received = self._received[self._offset :] + data
        self._offset = 0
        self._parse_received()

    def continue_parsing(self) -> None:
        """Parse one expensive piece, and what is cheap behind it."""
        self._parse_received(expensive_pieces=1)

    def _parse_received(self, expensive_pieces: int = 0) -> None:
        """Parse the received bytes until a second request waits for its response.

        Parameters
        ----------
        expensive_pieces : int
            Number of expensive pieces that may be parsed; more wait for the connection's turn.
        """
        if self._is_parsing or self.parser is None:
            return
        self._is_parsing = True
        pieces = 0
        try:
            while (
                pieces < _MAX_PIECES
                and self._can_parse()
                and (expensive_pieces > 0 or not self._is_expensive())
            ):
                expensive_pieces -= self._is_expensive()
                piece = self._take_piece()
                if piece:
                    self._parse_piece(piece)
                pieces += 1
        finally:
            self._is_parsing = False
        if self._can_parse():
            self.budget.parse_queue.add(self, is_header=not self._in_body)
        else:
            self.budget.parse_queue.remove(self)
        is_held = self._offset < len(self._received)
        if not is_held or self.transport.is_closing():
            self._received, self._offset = b"", 0
        elif self.pipeline and not self._is_slowed:
            self._is_slowed = True
            type(self).on_slowed("pipelined")
        self.flow.hold(is_held or bool(self.pipeline))
        self._report()

    def _can_parse(self) -> bool:
        """Return whether received bytes wait only for their turn."""
        return (
            self._offset < len(self._received)
            and not self.flow.read_paused
            and not self.pipeline
            and not self.transport.is_closing()
        )

    def _is_expensive(self) -> bool:
        """Return whether the next piece may have many headers or chunks.

        Most headers end with their first piece, which is parsed at once.
        """
        if not self._in_body:
            return self._header_bytes > 0
        return not self._missing_body_bytes and self._chunks.missing_bytes < _PIECE_BYTES

    def _take_piece(self) -> bytes:
        """Return the next bytes to parse, which end with a header or body at the latest."""
        start = self._offset
        if self._in_body and self._missing_body_bytes:
            size = min(self._missing_body_bytes, _BODY_PIECE_BYTES)
            piece = self._received[start : start + size]
            self._missing_body_bytes -= len(piece)
        elif self._in_body:
            size = max(_PIECE_BYTES, min(self._chunks.missing_bytes, _BODY_PIECE_BYTES))
            stop = min(start + size, len(self._received))
            end = self._chunks.find_end(self._received, start, stop)
            piece = self._received[start : stop if end < 0 else end]
        else:
            piece = self._received[start : start + _PIECE_BYTES]
            if not self._header_bytes:
                # Line ends before a request are allowed, and don't begin a header.
                size = len(piece)
                piece = piece.lstrip(b"\r\n")
                self._offset += size - len(piece)
            end = (self._parsed_end + piece).find(_TERMINATOR)
            if end >= 0:
                piece = piece[: end + len(_TERMINATOR) - len(self._parsed_end)]
                self._parsed_end = b""
            else:
                self._parsed_end = (self._parsed_end + piece)[1 - len(_TERMINATOR) :]
        self._offset += len(piece)
        return piece

    def _parse_piece(self, piece: bytes) -> None:
        """Parse bytes and enforce the limits of headers, trailers and chunk extensions."""
        limits = self._read_limits()
        if self._in_body:
            # `on_body` and `on_chunk_header` subtract what doesn't count.
            self._extra_bytes += len(piece)
        else:
            if not self._header_bytes:
                self._start_timer(limits.header_timeout_ms, "header_timeout")
            self._header_bytes += len(piece)
        super().data_received(piece)
        # `on_headers_complete` has reset the count if the header is complete.
        if self._header_bytes > limits.max_header_bytes:
            self._close("header_bytes")
        elif self._extra_bytes > limits.max_header_bytes:
            self._close("trailer_bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; drop a trailer, which no application reads."""
        if not self._in_body:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Stop the header timeout and handle the request."""
        self._stop_timer()
        cost = _REQUEST_BYTES + self._header_bytes + _HEADER_BYTES * len(self.headers)
        # The scope holds the path as bytes and as text besides the URL.
        cost += 2 * len(self.url)
        self._header_bytes = 0
        self._in_body = True
        self._extra_bytes = 0
        self._chunks = ChunkScanner()
        self._missing_body_bytes = next(
            (int(value) for name, value in self.headers if name == b"content-length"), 0
        )
        super().on_headers_complete()
        self._pending.append((self.cycle, cost))

    def on_chunk_header(self) -> None:
        """Don't count the framing that each chunk needs."""
        self._extra_bytes = max(0, self._extra_bytes - _CHUNK_FRAMING_BYTES)

    def on_body(self, body: bytes) -> None:
        """Count the content of a body separately."""
        self._extra_bytes = max(0, self._extra_bytes - len(body))
        if not self.cycle.response_complete:
            self._body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect the header of the next request."""
        self._in_body = False
        self._extra_bytes = 0
        self._missing_body_bytes = 0
        self._stop_timer()
        super().on_message_complete()
        if self.cycle.response_complete:
            # The arrival of the body has ended the idle timeout that the response started.
            self._start_timer(self._read_limits().idle_timeout_ms, "idle")
            self._release_request()

    def on_response_complete(self) -> None:
        """Apply the current idle timeout until the next request, and parse what has waited."""
        self._body_bytes = 0
        if self._pending:
            self._pending.popleft()
        idle_timeout_ms = self._read_limits().idle_timeout_ms
        self.timeout_keep_alive = idle_timeout_ms / 1000
        is_discarding = self._in_body and not self.pipeline
        super().on_response_complete()
        if not self._pending:
            self._release_request()
        if is_discarding and not self.transport.is_closing():
            self._start_timer(idle_timeout_ms, "unread_body")
        self._parse_received()

    def pause_writing(self) -> None:
        """Report the write buffer, which holds a complete response."""
        super().pause_writing()
        self._unsent_since_s = self.loop.time()
        self._report()

    def resume_writing(self) -> None:
        """Report the smaller write buffer."""
        super().resume_writing()
        self._report()

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection when no request has followed the last one."""
        self._close("idle")

    def _release_request(self) -> None:
        """Release the last request, whose memory isn't counted any more.

        The application's task may still use its headers, so they are replaced, not cleared.
        """
        if self.cycle is not None:
            self.cycle.body = bytearray()
            if self._in_body and not self._is_evicted:
                # The parser drops the rest of the body because the cycle has its response.
                self.cycle.scope = {}
            else:
                self.cycle = None
        if not self._header_bytes or self._is_evicted:
            self.url, self.headers, self.scope = b"", [], {}

    def evict(self, limit_name: str) -> None:
        """Close the connection immediately and drop what it buffers."""
        if self._is_evicted:
            return
        self._is_evicted = True
        self._stop_timer()
        self._drop_pending()
        type(self).on_closed(limit_name)
        self.transport.abort()

    def _drop_pending(self) -> None:
        """Drop what is buffered, and stop all responses; uvicorn stops only the latest one."""
        self._received, self._offset = b"", 0
        for cycle, _ in self._pending:
            cycle.disconnected = True
            cycle.body = bytearray()
            cycle.message_event.set()
        self._pending.clear()
        self.pipeline.clear()
        self.budget.parse_queue.remove(self)
        self._release_request()

    def check_progress(self) -> None:
        """Close the connection if its client has read nothing for the write timeout."""
        size = self.transport.get_write_buffer_size()
        now_s = self.loop.time()
        if size == 0 or size < self._unsent_bytes:
            self._unsent_since_s = now_s
        self._unsent_bytes = size
        is_waiting = self.flow.write_paused or self.transport.is_closing()
        waited_ms = (now_s - self._unsent_since_s) * 1000
        if size and is_waiting and waited_ms > self._read_limits().write_timeout_ms:
            self.evict("write_timeout")
        self._report()

    def _report(self) -> None:
        """Report the memory and the state of the connection."""
        if self._is_evicted:
            return
        used_bytes = (
            CONNECTION_BYTES
            # The kernel may hold them at any time, also while reading is paused.
            + self.group.max_unread_bytes
            + len(self._received)
            + sum(cost for _, cost in self._pending)
            + self._body_bytes
            # The scanner and the parser each hold the received part of an incomplete line.
            + 2 * self._extra_bytes
            + self.transport.get_write_buffer_size()
        )
        if self._header_bytes:
            used_bytes += _REQUEST_BYTES + self._header_bytes
            used_bytes += _HEADER_BYTES * len(self.headers or ())
        self.group.update(self, self.state)
        self.budget.update(self, used_bytes, self.group.max_unread_bytes)

    @property
    def state(self) -> ConnectionState:
        """What the connection does."""
        if self.flow.write_paused or self.transport.is_closing():
            return ConnectionState.STALLED
        if self.pipeline or (self._received and self not in self.budget.parse_queue):
            return ConnectionState.PIPELINING
        if self._pending and not (self._in_body and not self.pipeline):
            return ConnectionState.BUSY
        if self._header_bytes or self._in_body:
            return ConnectionState.RECEIVING
        return ConnectionState.IDLE

    def _read_limits(self) -> ConnectionLimits:
        return type(self).get_limits()

    def _start_timer(self, timeout_ms: float, limit_name: str) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(timeout_ms / 1000, self._close, limit_name)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close(self, limit_name: str) -> None:
        self._stop_timer()
        if limit_name == "header_timeout" and self._pending:
            # The responses to earlier requests come first; the write timeout bounds the wait.
            self._start_timer(self._read_limits().header_timeout_ms, limit_name)
            return
        if not self.transport.is_closing():
            type(self).on_closed(limit_name)
            self.transport.close()


def build_protocol(
    get_limits: Callable[[], ConnectionLimits],
    on_closed: OnLimit,
    *,
    budget: ProcessBudget | None = None,
    group: ConnectionGroup | None = None,
    on_slowed: OnLimit = lambda _: None,
) -> type[LimitedProtocol]:
    """Build the protocol class of one server.

    Parameters
    ----------
    get_limits : callable
        Returns the current limits.
    on_closed : callable
        Called with the name of the limit that closed a connection.
    budget : ProcessBudget, optional
        Bound on the memory of all connections of the process; by default one of 50 MB for the
        server alone.
    group : ConnectionGroup, optional
        Bound on the connections of the server; 2,048 by default.
    on_slowed : callable, optional
        Called with the name of a limit for which a connection is read more slowly.
    """
    attributes = {
        "get_limits": staticmethod(get_limits),
        "on_closed": staticmethod(on_closed),
        "on_slowed": staticmethod(on_slowed),
        "budget": budget or ProcessBudget(max_buffered_bytes=compute_budget_bytes(200)),
        "group": ConnectionGroup() if group is None else group,
    }
    return type("BoundProtocol", (LimitedProtocol,), attributes)
