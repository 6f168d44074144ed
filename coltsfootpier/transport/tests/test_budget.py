"""Tests of the bounds that the connections of a process share."""

import asyncio
import unittest
from unittest import mock

from coltsfootpier.transport import ConnectionGroup, ProcessBudget, _budget
from coltsfootpier.transport._budget import ConnectionState


class FakeConnection:
    """Connection that records the limits for which it is closed."""

    def __init__(self, state=ConnectionState.IDLE):
        self.state = state
        self.closed = []
        self.checks = 0

    def evict(self, limit_name):
        """Record the limit."""
        self.closed.append(limit_name)

    def check_progress(self):
        """Count the check."""
        self.checks += 1


class ProcessBudgetTest(unittest.IsolatedAsyncioTestCase):
    """Which connections are closed when all together buffer too much."""

    async def test_largest_connections_are_closed(self):
        """Guards against ordinary callers that are closed for what others buffer."""
        budget = ProcessBudget(max_buffered_bytes=1_000)
        small, large, larger = FakeConnection(), FakeConnection(), FakeConnection()
        budget.update(small, 50)
        budget.update(large, 400)
        budget.update(larger, 500)
        self.assertEqual(larger.closed, [])
        budget.update(large, 490)
        self.assertEqual(
            [connection.closed for connection in (small, large, larger)],
            [[], [], ["process_bytes"]],
        )
        self.assertEqual(budget.buffered_bytes, 540)
        budget.remove(larger)
        budget.remove(large)
        self.assertEqual(budget.buffered_bytes, 50)

    async def test_idle_connections_are_closed_before_requests_in_progress(self):
        """Guards against ordinary requests that are closed because many connections are open."""
        budget = ProcessBudget(max_buffered_bytes=100_000)
        busy = FakeConnection(ConnectionState.BUSY)
        idle = [FakeConnection() for _ in range(5)]
        budget.update(busy, 30_000)
        for connection in idle:
            budget.update(connection, 15_000)
        self.assertEqual(busy.closed, [])
        self.assertEqual(sum(connection.closed == ["process_bytes"] for connection in idle), 2)

    async def test_idle_connections_stay_beside_clients_that_send_ahead(self):
        """Guards against connections of other daemons that are closed for what clients send."""
        budget = ProcessBudget(max_buffered_bytes=100_000)
        idle = FakeConnection()
        pipelining = [FakeConnection(ConnectionState.PIPELINING) for _ in range(5)]
        budget.update(idle, 30_000)
        for connection in pipelining:
            budget.update(connection, 15_000)
        self.assertEqual(idle.closed, [])
        self.assertEqual(
            sum(connection.closed == ["process_bytes"] for connection in pipelining), 2
        )

    async def test_memory_of_a_large_request_is_freed_first(self):
        """Guards against many small connections that are closed for what a large one buffers."""
        budget = ProcessBudget(max_buffered_bytes=200_000)
        large = FakeConnection(ConnectionState.BUSY)
        idle = [FakeConnection() for _ in range(5)]
        for connection in idle:
            budget.update(connection, 20_000)
        budget.update(large, 110_000)
        self.assertEqual(large.closed, ["process_bytes"])
        self.assertEqual([connection.closed for connection in idle], [[]] * 5)

    async def test_bound_follows_the_free_memory(self):
        """Guards against a share for connections that the state of the process needs."""
        state_bytes = 300_000

        def read_resident():
            # Four fifths of what connections use are resident.
            return state_bytes + budget.buffered_bytes * 4 // 5

        budget = ProcessBudget(
            max_buffered_bytes=250_000, memory_bytes=1_000_000, read_resident=read_resident
        )
        connections = [FakeConnection() for _ in range(6)]
        with mock.patch.object(_budget, "_CHECK_PERIOD_MS", 1.0):
            for connection in connections:
                budget.update(connection, 40_000, 8_000)
            self.assertEqual(budget.bound_bytes, 250_000)
            state_bytes = 692_000
            async with asyncio.timeout(20):
                while budget.bound_bytes == 250_000:
                    await asyncio.sleep(0.01)
        # The limit less an eighth and the state.
        self.assertEqual(budget.bound_bytes, 183_000)
        self.assertEqual(sum(bool(connection.closed) for connection in connections), 3)

    async def test_some_memory_is_left_to_connections(self):
        """Guards against a process that closes all connections because its state is large."""
        budget = ProcessBudget(
            max_buffered_bytes=250_000, memory_bytes=1_000_000, read_resident=lambda: 999_000
        )
        connection = FakeConnection(ConnectionState.BUSY)
        budget.update(connection, 20_000)
        self.assertEqual(connection.closed, [])
        self.assertEqual(budget.bound_bytes, 31_250)

    async def test_unknown_resident_memory_keeps_the_bound(self):
        """Guards against a bound of zero on a system that doesn't tell the resident memory."""
        budget = ProcessBudget(
            max_buffered_bytes=250_000, memory_bytes=1_000_000, read_resident=lambda: None
        )
        budget.update(FakeConnection(), 20_000)
        self.assertEqual(budget.bound_bytes, 250_000)

    async def test_released_memory_is_returned_to_the_system(self):
        """Guards against memory that the allocator keeps after a crowd has left."""
        budget = ProcessBudget(max_buffered_bytes=1_000)
        connections = [FakeConnection() for _ in range(4)]
        with (
            mock.patch.object(_budget, "_CHECK_PERIOD_MS", 1.0),
            mock.patch.object(_budget, "release_free_memory") as release,
        ):
            for connection in connections:
                budget.update(connection, 100)
            await asyncio.sleep(0.1)
            release.assert_not_called()
            for connection in connections:
                budget.remove(connection)
            async with asyncio.timeout(20):
                while not release.called:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            release.assert_called_once()

    async def test_connections_are_checked_periodically(self):
        """Guards against clients that stop reading and are never noticed."""
        budget = ProcessBudget(max_buffered_bytes=1_000)
        connection = FakeConnection()
        budget.update(connection, 10)
        async with asyncio.timeout(20):
            while connection.checks < 2:
                await asyncio.sleep(0.05)

    async def test_check_lets_other_tasks_run(self):
        """Guards against a check of thousands of connections that delays all requests."""
        budget = ProcessBudget(max_buffered_bytes=10_000)
        connections = [FakeConnection() for _ in range(1_000)]
        with mock.patch.object(_budget, "_CHECK_PERIOD_MS", 1.0):
            for connection in connections:
                budget.update(connection, 1)
        seen = []
        async with asyncio.timeout(20):
            while not seen or seen[-1] < len(connections):
                await asyncio.sleep(0)
                seen.append(sum(connection.checks for connection in connections))
        self.assertTrue(any(0 < checks < len(connections) for checks in seen))


class ConnectionGroupTest(unittest.TestCase):
    """Which connection makes room for a new one."""

    def test_longest_waiting_connection_makes_room(self):
        """Guards against new callers that are turned away while silent connections stay."""
        group = ConnectionGroup(max_connections=5)
        connections = [FakeConnection() for _ in range(10)]
        states = (
            ConnectionState.BUSY,
            ConnectionState.PIPELINING,
            ConnectionState.STALLED,
            ConnectionState.RECEIVING,
            ConnectionState.IDLE,
        )
        for connection, state in zip(connections, states, strict=False):
            group.add(connection)
            group.update(connection, state)
        for new in connections[5:9]:
            group.add(new)
            group.update(new, ConnectionState.BUSY)
        closed = [connection.closed for connection in connections]
        self.assertEqual(closed[:5], [[], *[["connections"]] * 4])
        group.add(connections[9])
        self.assertEqual(connections[9].closed, ["connections"])
        self.assertEqual(len(group), 5)

    def test_oldest_of_a_state_makes_room_first(self):
        """Guards against closing connections that have just been opened."""
        group = ConnectionGroup(max_connections=2)
        first, second, third = (FakeConnection() for _ in range(3))
        group.add(first)
        group.add(second)
        group.update(first, ConnectionState.RECEIVING)
        group.update(first, ConnectionState.IDLE)
        group.add(third)
        self.assertEqual((first.closed, second.closed), ([], ["connections"]))

    def test_shares_of_descriptors(self):
        """Guards against ports that together take the descriptors of outgoing connections."""
        for max_files in (256, 4_100, 8_192):
            groups = [
                ConnectionGroup.from_limits(max_files=max_files, memory_mb=200, divisor=divisor)
                for divisor in (4, 4, 64, 64)
            ]
            total = sum(group.max_connections + group.backlog for group in groups)
            self.assertLessEqual(total, max_files * 3 / 4)
        limited = ConnectionGroup.from_limits(
            max_files=4_100, memory_mb=200, divisor=2, max_connections=7
        )
        self.assertEqual(limited.max_connections, 7)

    def test_memory_of_the_kernel(self):
        """Guards against received bytes that wait in the kernel and exceed the memory."""
        for max_files, memory_mb in ((1_024, 96), (4_100, 200), (8_192, 552), (1_048_576, 200)):
            for divisor in (2, 4, 64):
                group = ConnectionGroup.from_limits(
                    max_files=max_files, memory_mb=memory_mb, divisor=divisor
                )
                unread_bytes = (group.max_connections + group.backlog) * group.max_unread_bytes
                with self.subTest(max_files=max_files, memory_mb=memory_mb, divisor=divisor):
                    self.assertLessEqual(unread_bytes, memory_mb * 1_000_000 / 7)

    def test_connections_of_a_large_deployment_fit(self):
        """Guards against daemons that the owner turns away; 300 have 8 connections each."""
        peers = ConnectionGroup.from_limits(max_files=8_192, memory_mb=552, divisor=2)
        self.assertGreaterEqual(peers.max_connections, 300 * 8)


if __name__ == "__main__":
    unittest.main()
