"""Order in which connections have expensive input parsed."""

from __future__ import annotations

import asyncio
from typing import Protocol

# Pieces that are parsed before the event loop runs other tasks.
_MAX_PIECES = 8


class ParsingConnection(Protocol):
    """Connection whose received bytes wait to be parsed."""

    def continue_parsing(self) -> None:
        """Parse one expensive piece, and what is cheap behind it."""
        ...


class ParseQueue:
    """Connections whose received bytes are expensive to parse, which take turns.

    Without it, the time that the event loop needs for one read of each connection would grow with
    the number of connections.
    """

    def __init__(self) -> None:
        self._waiting: dict[ParsingConnection, None] = {}
        self._handle: asyncio.Handle | None = None

    def __contains__(self, connection: ParsingConnection) -> bool:
        return connection in self._waiting

    def add(self, connection: ParsingConnection) -> None:
        """Let a connection parse one expensive piece when it is its turn."""
        self._waiting[connection] = None
        if self._handle is None:
            self._handle = asyncio.get_running_loop().call_soon(self._run)

    def remove(self, connection: ParsingConnection) -> None:
        """Remove a connection that doesn't wait any more."""
        self._waiting.pop(connection, None)

    def _run(self) -> None:
        self._handle = None
        for connection in list(self._waiting)[:_MAX_PIECES]:
            # An earlier one may have closed it.
            if connection in self._waiting:
                self.remove(connection)
                connection.continue_parsing()
        if self._waiting and self._handle is None:
            self._handle = asyncio.get_running_loop().call_soon(self._run)
