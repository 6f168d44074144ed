"""Proxy in front of a runner, which can be cut off: bytes stay on their way and nothing answers."""

from __future__ import annotations

import asyncio
import contextlib


class Proxy:
    """TCP proxy on a loopback address.

    Attributes
    ----------
    port : int
        Port on which it listens.
    target : int
        Port to which it connects.
    is_cut : bool
        Whether nothing passes. What is held up is lost when its sender closes the connection.
    """

    def __init__(self) -> None:
        self.port = 0
        self.target = 0
        self.is_cut = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The cancellation is that of the end of the script.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            if not await self._wait_path(reader):
                writer.transport.abort()
                return
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
            tasks = [
                asyncio.ensure_future(self._pump(reader, target_writer)),
                asyncio.ensure_future(self._pump(target_reader, writer)),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
            target_writer.transport.abort()
        writer.transport.abort()

    async def _wait_path(self, reader: asyncio.StreamReader) -> bool:
        """Wait until the path works; return whether the sender is still there."""
        while self.is_cut:
            if reader.at_eof():
                return False
            await asyncio.sleep(0.02)
        return not reader.at_eof()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if not await self._wait_path(reader):
                    return
                writer.write(data)
                await writer.drain()
