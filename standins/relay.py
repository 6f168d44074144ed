"""Stand-in for a network path: forwards TCP connections and can silence them permanently.

A silenced connection stays open and receives bytes, but forwards nothing in either direction.
Connections that are opened later work.
"""

from __future__ import annotations

import threading

import anyio
from anyio.abc import ByteStream, SocketStream

_CHUNK_BYTES = 65_536
_START_TIMEOUT_S = 10.0


class Relay:
    """A TCP relay to one port that runs in a thread until `close`.

    Parameters
    ----------
    port : int
        Target port on the loopback address.

    Attributes
    ----------
    port : int
        Port that the relay listens on.
    accepted : int
        Number of connections accepted so far.
    """

    def __init__(self, *, port: int) -> None:
        self.target_port = port
        self.port = 0
        self.accepted = 0
        # Incremented by `silence`; connections of an earlier generation forward nothing.
        self._generation = 0
        self._listening = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=lambda: anyio.run(self._run), daemon=True)
        self._thread.start()
        if not self._listening.wait(_START_TIMEOUT_S):
            raise ConnectionError("the relay did not start")

    def silence(self) -> None:
        """Permanently stop forwarding on all connections that are open now."""
        self._generation += 1

    def close(self) -> None:
        """Close all connections and stop the thread."""
        self._closing.set()
        self._thread.join(_START_TIMEOUT_S)

    async def _run(self) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._listening.set()
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._serve)
            while not self._closing.is_set():
                await anyio.sleep(0.05)
            group.cancel_scope.cancel()

    async def _serve(self, incoming: SocketStream) -> None:
        self.accepted += 1
        generation = self._generation
        try:
            outgoing = await anyio.connect_tcp("127.0.0.1", self.target_port)
        except OSError:
            await incoming.aclose()
            return
        async with incoming, outgoing, anyio.create_task_group() as group:
            group.start_soon(self._forward, incoming, outgoing, generation)
            group.start_soon(self._forward, outgoing, incoming, generation)

    async def _forward(self, source: ByteStream, sink: ByteStream, generation: int) -> None:
        try:
            while True:
                chunk = await source.receive(_CHUNK_BYTES)
                if generation == self._generation:
                    await sink.send(chunk)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            if generation == self._generation:
                await sink.aclose()
                await source.aclose()
