"""Tests of listening sockets."""

import socket
import unittest
from unittest import mock

from returns.result import Failure

from coltsfootpier.transport import Application, Server, bind

HOST = "127.0.0.1"


class BindTest(unittest.TestCase):
    """Addresses on which another socket listens."""

    def setUp(self):
        self.other = socket.socket()
        self.addCleanup(self.other.close)
        self.other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.other.bind((HOST, 0))
        self.port = self.other.getsockname()[1]

    def test_other_socket_listens_before_bind(self):
        """Guards against a bind that doesn't report an address in use."""
        self.other.listen()
        self.assertIsInstance(bind(HOST, self.port), Failure)

    def test_other_socket_listens_between_bind_and_listen(self):
        """Guards against a server without a socket because the error of listen was discarded."""
        system_bind = socket.socket.bind

        def bind_before_other_listens(listener, address):
            system_bind(listener, address)
            self.other.listen()

        with mock.patch.object(socket.socket, "bind", bind_before_other_listens):
            result = bind(HOST, self.port)
        self.assertIsInstance(result, Failure)
        self.assertIn("in use", result.failure().reason)


class ReceiveBufferTest(unittest.TestCase):
    """Received bytes that the kernel holds."""

    def test_unread_bytes_are_bounded(self):
        """Guards against a client whose bytes wait in the kernel without a limit."""
        listener = bind(HOST, 0).unwrap()
        self.addCleanup(listener.close)
        Server(
            app=Application(routes={}, max_body_bytes=0),
            host=HOST,
            port=0,
            listener=listener,
            max_unread_bytes=8_192,
        )
        client = socket.create_connection(listener.getsockname())
        self.addCleanup(client.close)
        accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        client.settimeout(0.5)
        with self.assertRaises(TimeoutError):
            while True:
                client.send(b"x" * 10_000)
        # The client's kernel holds the rest.
        self.assertLessEqual(len(accepted.recv(1_000_000, socket.MSG_PEEK)), 8_192)


if __name__ == "__main__":
    unittest.main()
