"""Order in which connections have expensive input parsed."""

from __future__ import annotations

import asyncio
from itertools import chain, islice
from typing import Protocol

# Pieces that are parsed before the event loop runs other tasks, and those of them that are left to
# bodies while headers wait.
_MAX_PIECES = 8
_MIN_BODY_PIECES = 1


class ParsingConnection(Protocol):
    """Connection whose received bytes wait to be parsed."""

    def continue_parsing(self) -> None:
        """Parse one expensive piece, and what is cheap behind it."""
        ...


class ParseQueue:
    """Connections whose received bytes are expensive to parse, which take turns.

    Without it, the time that the event loop needs for one read of each connection would grow with
    the number of connections. Headers go before bodies: they are short and have a timeout of a few
    seconds.
    """

    def __init__(self) -> None:
        self._headers: dict[ParsingConnection, None] = {}
        self._bodies: dict[ParsingConnection, None] = {}
        self._handle: asyncio.Handle | None = None

    def __contains__(self, connection: ParsingConnection) -> bool:
        return connection in self._headers or connection in self._bodies

    def add(self, connection: ParsingConnection, *, is_header: bool) -> None:
        """Let a connection parse one expensive piece when it is its turn."""
        waiting, other = self._headers, self._bodies
        if not is_header:
            waiting, other = other, waiting
        other.pop(connection, None)
        waiting[connection] = None
        if self._handle is None:
            self._handle = asyncio.get_running_loop().call_soon(self._run)

    def remove(self, connection: ParsingConnection) -> None:
        """Remove a connection that doesn't wait any more."""
        self._headers.pop(connection, None)
        self._bodies.pop(connection, None)

    def _run(self) -> None:
        self._handle = None
        headers = islice(self._headers, _MAX_PIECES - _MIN_BODY_PIECES)
        # Other connections may leave the queue meanwhile.
        for connection in list(islice(chain(headers, self._bodies), _MAX_PIECES)):
            if connection in self:
                self.remove(connection)
                connection.continue_parsing()
        if (self._headers or self._bodies) and self._handle is None:
            self._handle = asyncio.get_running_loop().call_soon(self._run)
