"""Bounds of slow and silent connections.

The load that it answers: callers that open connections and send nothing, or send the header of a
request byte by byte. Each would hold a descriptor and memory for as long as it likes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """Bounds of one connection of a caller.

    Parameters
    ----------
    max_header_bytes : int
        Longest request line and headers.
    header_timeout_ms : float
        Time from the first byte of a request until its header is complete.
    idle_timeout_ms : float
        Time without a byte before the first request and between two.
    """

    max_header_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class LimitedProtocol(HttpToolsProtocol):
    """uvicorn's connection with bounds that may change while it is open.

    Subclasses from `build_protocol` tell where the bounds come from.
    """

    get_limits: Callable[[], ConnectionLimits]
    # Takes the name of the bound for which a connection was closed.
    on_closed: Callable[[str], None]

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self._timer: asyncio.TimerHandle | None = None
        # Bytes of a header that isn't complete, and whether a body is being received.
        self._header_bytes = 0
        self._in_body = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Wait for the first request."""
        super().connection_made(transport)
        self._start_timer(self._limits().idle_timeout_ms, "idle")

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes of a header or of a body."""
        if self._in_body:
            super().data_received(data)
            return
        limits = self._limits()
        if not self._header_bytes:
            self._start_timer(limits.header_timeout_ms, "header_timeout")
        self._header_bytes += len(data)
        super().data_received(data)
        # A header that is complete has set the count to 0.
        if self._header_bytes > limits.max_header_bytes:
            self._close("header_bytes")

    def on_headers_complete(self) -> None:
        """Begin the answer."""
        self._stop_timer()
        self._header_bytes = 0
        self._in_body = True
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Expect the next header."""
        self._in_body = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Wait for the next request."""
        self.timeout_keep_alive = self._limits().idle_timeout_ms / 1000
        super().on_response_complete()

    def _limits(self) -> ConnectionLimits:
        return type(self).get_limits()

    def _start_timer(self, timeout_ms: float, bound: str) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(timeout_ms / 1000, self._close, bound)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close(self, bound: str) -> None:
        self._stop_timer()
        if not self.transport.is_closing():
            type(self).on_closed(bound)
            self.transport.close()


def build_protocol(
    get_limits: Callable[[], ConnectionLimits], on_closed: Callable[[str], None]
) -> type[LimitedProtocol]:
    """Build the connections of one server.

    Parameters
    ----------
    get_limits : callable
        Returns the bounds in force.
    on_closed : callable
        Takes the name of the bound for which a connection was closed.
    """
    members = {"get_limits": staticmethod(get_limits), "on_closed": staticmethod(on_closed)}
    return type("BoundProtocol", (LimitedProtocol,), members)
