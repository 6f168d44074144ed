"""Tests of the order in which connections have expensive input parsed."""

import asyncio
import unittest

from coltsfootpier.transport import _turns
from coltsfootpier.transport._turns import ParseQueue


class FakeConnection:
    """Connection with a number of expensive pieces, which records when they are parsed."""

    def __init__(self, queue, name, pieces, parsed, is_header=False):
        self.name, self.pieces, self.is_header = name, pieces, is_header
        self._queue, self._parsed = queue, parsed
        queue.add(self, is_header=is_header)

    def continue_parsing(self):
        """Parse a piece."""
        self.pieces -= 1
        self._parsed.append(self.name)
        if self.pieces:
            self._queue.add(self, is_header=self.is_header)


class ParseQueueTest(unittest.IsolatedAsyncioTestCase):
    """Which connections parse before the event loop runs other tasks."""

    async def test_other_tasks_run_between(self):
        """Guards against a turn of the event loop that grows with the number of connections."""
        parsed, seen = [], [0]
        queue = ParseQueue()
        connections = [FakeConnection(queue, name, 5, parsed) for name in range(100)]
        async with asyncio.timeout(20):
            while any(connection.pieces for connection in connections):
                await asyncio.sleep(0)
                seen.append(len(parsed))
        steps = [after - before for before, after in zip(seen, seen[1:], strict=False)]
        self.assertLessEqual(max(steps), _turns._MAX_PIECES)
        self.assertEqual(len(parsed), 500)

    async def test_connections_take_turns(self):
        """Guards against a connection that waits until another one has sent everything."""
        parsed = []
        queue = ParseQueue()
        FakeConnection(queue, "long", 1_000, parsed)
        short = FakeConnection(queue, "short", 2, parsed)
        async with asyncio.timeout(20):
            while short.pieces:
                await asyncio.sleep(0)
        self.assertLess(len(parsed), 10)

    async def test_headers_go_before_bodies(self):
        """Guards against long headers that time out while many bodies are parsed."""
        parsed = []
        queue = ParseQueue()
        bodies = [FakeConnection(queue, "body", 100, parsed) for _ in range(100)]
        headers = [FakeConnection(queue, "header", 3, parsed, is_header=True) for _ in range(20)]
        async with asyncio.timeout(20):
            while any(connection.pieces for connection in headers):
                await asyncio.sleep(0)
        # 60 pieces of headers, 7 at a time, leave room for one of a body each time.
        self.assertLessEqual(len(parsed), 80)
        self.assertIn("body", parsed)
        for connection in bodies:
            queue.remove(connection)

    async def test_removed_connection_is_not_parsed(self):
        """Guards against parsing for a connection that has been closed."""
        parsed = []
        queue = ParseQueue()
        connection = FakeConnection(queue, "closed", 1, parsed)
        self.assertIn(connection, queue)
        queue.remove(connection)
        await asyncio.sleep(0.01)
        self.assertEqual(parsed, [])


if __name__ == "__main__":
    unittest.main()
