"""Tests of reserved ports."""

import socket
import unittest

from coltsfootpier.transport import bind
from standins.ports import HOST, PortReservations


class PortReservationsTest(unittest.TestCase):
    """Ports that are reserved for another process."""

    def setUp(self):
        self.reservations = PortReservations()
        self.addCleanup(self.reservations.close)

    def test_reserved_ports_can_not_be_taken(self):
        """Guards against another process that takes a port before the daemon listens on it."""
        ports = self.reservations.reserve(4)
        self.assertEqual(ports, list(range(ports[0], ports[0] + 4)))
        for port in ports:
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind((HOST, port))

    def test_daemon_listens_again_on_reserved_port(self):
        """Guards against a reservation that keeps a restarted daemon from its own port."""
        (port,) = self.reservations.reserve(1)
        for _ in range(2):
            with bind(HOST, port).unwrap(), socket.create_connection((HOST, port)):
                pass
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection((HOST, port))

    def test_system_never_chooses_reserved_port(self):
        """Guards against a listener on a port that the system chose while it was reserved."""
        ports = {port for _ in range(100) for port in self.reservations.reserve(2)}
        for _ in range(2_000):
            with socket.socket() as other:
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                other.bind((HOST, 0))
                self.assertNotIn(other.getsockname()[1], ports)


if __name__ == "__main__":
    unittest.main()
