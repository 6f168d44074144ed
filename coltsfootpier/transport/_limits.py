"""Limits that close slow and idle caller connections.

Without them, callers that open connections and send nothing, or send a request header byte by byte,
would hold a file descriptor and memory indefinitely.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """Limits of one caller connection.

    Parameters
    ----------
    max_header_bytes : int
        Maximum size of request line and headers together, in bytes.
    header_timeout_ms : float
        Time in ms from the first byte of a request until its header is complete.
    idle_timeout_ms : float
        Time in ms without a byte before the first request and between two requests.
    """

    max_header_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class LimitedProtocol(HttpToolsProtocol):
    """uvicorn HTTP protocol with limits that may change while the connection is open.

    `build_protocol` creates subclasses that define `get_limits` and `on_closed`.
    """

    get_limits: Callable[[], ConnectionLimits]
    # Called with the name of the limit that closed a connection.
    on_closed: Callable[[str], None]

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self._timer: asyncio.TimerHandle | None = None
        # Number of bytes received so far of an incomplete header.
        self._header_bytes = 0
        self._in_body = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the idle timeout of the first request."""
        super().connection_made(transport)
        self._start_timer(self._read_limits().idle_timeout_ms, "idle")

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the header limits."""
        if self._in_body:
            super().data_received(data)
            return
        limits = self._read_limits()
        if not self._header_bytes:
            self._start_timer(limits.header_timeout_ms, "header_timeout")
        self._header_bytes += len(data)
        super().data_received(data)
        # `on_headers_complete` has reset the count if the header is complete.
        if self._header_bytes > limits.max_header_bytes:
            self._close("header_bytes")

    def on_headers_complete(self) -> None:
        """Stop the header timeout and handle the request."""
        self._stop_timer()
        self._header_bytes = 0
        self._in_body = True
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Expect the header of the next request."""
        self._in_body = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Apply the current idle timeout until the next request."""
        self.timeout_keep_alive = self._read_limits().idle_timeout_ms / 1000
        super().on_response_complete()

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
        if not self.transport.is_closing():
            type(self).on_closed(limit_name)
            self.transport.close()


def build_protocol(
    get_limits: Callable[[], ConnectionLimits], on_closed: Callable[[str], None]
) -> type[LimitedProtocol]:
    """Build the protocol class of one server.

    Parameters
    ----------
    get_limits : callable
        Returns the current limits.
    on_closed : callable
        Called with the name of the limit that closed a connection.
    """
    attributes = {"get_limits": staticmethod(get_limits), "on_closed": staticmethod(on_closed)}
    return type("BoundProtocol", (LimitedProtocol,), attributes)
