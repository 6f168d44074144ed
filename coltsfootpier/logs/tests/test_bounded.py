"""Tests of the bounded writer with slow or closed readers and frequent events."""

import os
import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.logs import BoundedWriter


class BoundedWriterTest(unittest.TestCase):
    """Lines above the rate limit or the limit of the buffer are dropped and counted."""

    def setUp(self):
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.clock = VirtualClock()

    def _close_write_fd(self):
        os.close(self.write_fd)

    def test_full_pipe_does_not_block(self):
        """Guards against a daemon that blocks because its logs aren't read."""
        self.addCleanup(self._close_write_fd)
        writer = BoundedWriter(
            descriptor=self.write_fd, clock=self.clock, lines_per_second=1_000_000
        )
        for _ in range(10_000):
            writer.write("e", "x" * 100)
        self.assertGreater(writer.dropped["e"], 0)
        os.read(self.read_fd, 10_000_000)
        self.clock.advance(1_001)
        writer.write("e", "after")
        output = b""
        while not output.endswith(b"after\n"):
            output = os.read(self.read_fd, 1_000_000)
            writer.flush()
        self.assertIn(b"lines dropped", output)

    def test_rate_limit_per_event(self):
        """Guards against a frequent event that crowds out all others."""
        self.addCleanup(self._close_write_fd)
        writer = BoundedWriter(descriptor=self.write_fd, clock=self.clock, lines_per_second=3)
        for _ in range(5):
            writer.write("flood", "f")
        writer.write("other", "o")
        self.assertEqual(os.read(self.read_fd, 1_000), b"f\nf\nf\no\n")
        self.clock.advance(1_001)
        writer.write("other", "p")
        self.assertEqual(
            os.read(self.read_fd, 1_000), b'event="lines dropped" counts="flood:2"\np\n'
        )

    def test_closed_descriptor(self):
        """Guards against a daemon that exits because its log descriptor is closed."""
        writer = BoundedWriter(descriptor=self.write_fd, clock=self.clock)
        self._close_write_fd()
        writer.write("e", "x")
        self.assertEqual(writer.dropped["closed"], 1)


if __name__ == "__main__":
    unittest.main()
