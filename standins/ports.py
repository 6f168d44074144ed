"""Ports that are reserved for processes that take fixed ports from their settings."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"


class PortReservations:
    """Ports on the loopback address that no other process is given until `close`.

    A socket that is bound to a port keeps the system from choosing the port for another one, and
    other processes from binding it without ``SO_REUSEADDR``. A process that sets this option can
    bind the port and listen on it, as long as the reserving socket doesn't listen.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self, count: int) -> list[int]:
        """Reserve consecutive ports that are free."""
        while True:
            reserved: list[socket.socket] = []
            try:
                for offset in range(count):
                    port = reserved[0].getsockname()[1] + offset if reserved else 0
                    reserved.append(_bind(port))
            except (OSError, OverflowError):
                # The next port is taken, or the first one was the last of all.
                for bound in reserved:
                    bound.close()
                continue
            self._sockets += reserved
            return [bound.getsockname()[1] for bound in reserved]

    def close(self) -> None:
        """End all reservations."""
        while self._sockets:
            self._sockets.pop().close()


def _bind(port: int) -> socket.socket:
    bound = socket.socket()
    try:
        bound.bind((HOST, port))
    except (OSError, OverflowError):
        bound.close()
        raise
    # Set after the bind, which thus fails if another process has reserved the port.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return bound
