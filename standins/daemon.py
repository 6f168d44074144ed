"""Runs `coltsfootpier.node` with network paths that can fail for this daemon alone.

A relay accepts connections on behalf of an unreachable target, and can't tell senders apart. Here
the connections of one daemon fail as on a network: those to a target that is cut off aren't opened,
and open ones fall silent. The file that `LINKS_VARIABLE` names maps target ports to a fault:

* ``cut``: nothing arrives in either direction;
* ``one_way``: requests on open connections arrive, responses don't, and no connection is opened;
* ``lossy``: some packets are delayed by retransmissions;
* ``refuse``: connections are reset and new ones are refused.
"""

from __future__ import annotations

import asyncio
import os
import random
from pathlib import Path
from typing import Any

import orjson
import uvloop

from coltsfootpier.node._main import main

LINKS_VARIABLE = "COLTSFOOTPIER_LINKS"
# Period at which connections that wait for a path check whether it works again.
_RETRY_MS = 20.0
# Share of the packets that a lossy path delays, and the range of the delay in ms.
_LOSS_SHARE = 0.3
_RETRANSMISSION_RANGE_MS = (200.0, 800.0)
_SILENT_FAULTS = frozenset({"cut", "one_way"})


class Links:
    """Faults of the paths to other ports, read from a file whenever it changes.

    Parameters
    ----------
    path : Path
        JSON file; a missing one means no faults.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._changed_ns = 0
        self._faults: dict[str, str] = {}

    def get_fault(self, port: int | None) -> str:
        """Return the fault of the path to a port; empty if it works."""
        try:
            changed_ns = self._path.stat().st_mtime_ns
        except FileNotFoundError:
            return ""
        if changed_ns != self._changed_ns:
            self._changed_ns = changed_ns
            self._faults = orjson.loads(self._path.read_bytes())
        return self._faults.get(str(port), "")


class _FaultyTransport:
    """Transport of a client connection whose written bytes may get lost or arrive late."""

    def __init__(self, transport: asyncio.Transport, connection: FaultyConnection) -> None:
        self._transport = transport
        self._connection = connection

    def write(self, data: bytes) -> None:
        self._connection.send(data, self._transport.write)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class FaultyConnection(asyncio.Protocol):
    """Protocol that passes the events of a client connection on, except lost ones.

    Parameters
    ----------
    protocol : asyncio.Protocol
        Protocol of the daemon.
    links : Links
        Faults of the paths.
    port : int
        Target port.
    """

    def __init__(self, protocol: asyncio.Protocol, links: Links, port: int) -> None:
        self.protocol = protocol
        self._links = links
        self._port = port
        # Set once bytes were lost; nothing that follows them can be delivered.
        self._is_sending_lost = False
        self._is_receiving_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.protocol.connection_made(_FaultyTransport(transport, self))  # type: ignore[arg-type]
        self._transport = transport

    def _delay_ms(self, fault: str) -> float:
        is_delayed = fault == "lossy" and random.random() < _LOSS_SHARE
        return random.uniform(*_RETRANSMISSION_RANGE_MS) if is_delayed else 0.0

    def send(self, data: bytes, write: Any) -> None:
        """Write bytes unless the path loses them."""
        fault = self._links.get_fault(self._port)
        if fault == "refuse":
            self._transport.abort()
        # The transport is also closed if the peer has closed it and the path lost that.
        is_lost = fault == "cut" or self._transport.is_closing()
        self._is_sending_lost = self._is_sending_lost or is_lost
        if self._is_sending_lost:
            return
        delay_ms = self._delay_ms(fault)
        if delay_ms:
            asyncio.get_running_loop().call_later(delay_ms / 1000, self._write_late, data, write)
        else:
            write(data)

    def _write_late(self, data: bytes, write: Any) -> None:
        if not self._transport.is_closing():
            write(data)

    def data_received(self, data: bytes) -> None:
        fault = self._links.get_fault(self._port)
        if fault == "refuse":
            self._transport.abort()
            return
        self._is_receiving_lost = self._is_receiving_lost or fault in _SILENT_FAULTS
        if self._is_receiving_lost:
            return
        delay_ms = self._delay_ms(fault)
        if delay_ms:
            # Keeps the order of the chunks, since nothing is read meanwhile.
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(delay_ms / 1000, self._receive_late, data)
        else:
            self.protocol.data_received(data)

    def _receive_late(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self.protocol.data_received(data)
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._is_receiving_lost and self._links.get_fault(self._port) not in _SILENT_FAULTS:
            self.protocol.connection_lost(exc)


class FaultyLoop(uvloop.Loop):
    """Event loop whose client connections use `links`."""

    links: Links

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: str, port: int, **options: Any
    ) -> tuple[Any, Any]:
        """Open a connection once the path works, or fail if it refuses connections."""
        while self.links.get_fault(port) in _SILENT_FAULTS:
            await asyncio.sleep(_RETRY_MS / 1000)
        if self.links.get_fault(port) == "refuse":
            raise ConnectionRefusedError(f"{host}:{port}")
        transport, connection = await super().create_connection(
            lambda: FaultyConnection(protocol_factory(), self.links, port), host, port, **options
        )
        return transport, connection.protocol


if __name__ == "__main__":
    FaultyLoop.links = Links(path=Path(os.environ[LINKS_VARIABLE]))
    uvloop.new_event_loop = FaultyLoop
    main()
