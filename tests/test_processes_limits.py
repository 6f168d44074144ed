"""Process tests of clients that exceed the limits: the processes stay within their memory."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import ClassVar

from standins.nodes import HOST, PREFIX
from tests.clusters import ClusterTestCase, run_async
from tests.flooding import Flood, count_descriptors, open_flood, read_peak_memory_mb
from tests.limited import LimitedProcess, open_daemon, open_node, send_request

# Memory that each process may use, in its settings and as the bound of the tests.
_MEMORY_MB = 200
# File descriptors that each process may use, and the bound on those that are open.
_MAX_FDS = 256
_MAX_OPEN_FDS = 224
# Descriptors of the tests whose connections hold memory.
_MANY_FDS = 4_100
_SILENT_CONNECTIONS = 400
_CLIENTS = 8
_CHUNKED_HEAD = (
    f"POST {PREFIX}a HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
    "Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
).encode()
_TRAILERS = Flood(
    head=_CHUNKED_HEAD + b"0\r\n", unit=b"a: b\r\n", size_bytes=2_000_000, connections=_CLIENTS
)
_EXTENSIONS = Flood(
    head=_CHUNKED_HEAD + b"1;", unit=b"a=b;", size_bytes=20_000_000, connections=_CLIENTS
)
_UNROUTED = Flood(
    unit=f"GET /none HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 3000\r\n\r\n".encode(),
    size_bytes=4_000_000,
    connections=_CLIENTS,
)
_WITHOUT_HEADERS = Flood(
    unit=b"GET /none HTTP/1.1\r\n\r\n", size_bytes=2_000_000, connections=_CLIENTS
)
_SILENT = Flood(connections=_SILENT_CONNECTIONS)


def _build_queries(target: str) -> Flood:
    return Flood(
        unit=f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 3000\r\n\r\n".encode(),
        size_bytes=4_000_000,
        connections=_CLIENTS,
    )


def _build_bodies(target: str) -> Flood:
    """Build requests whose bodies are within the limits but stay incomplete."""
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
        "Deadline-Ms: 3000\r\nContent-Length: 262144\r\n\r\n"
    ).encode()
    return Flood(head=head, unit=b"x", size_bytes=len(head) + 262_143, connections=900)


class LimitsTestCase(unittest.TestCase):
    """Base class of tests that start one process for each kind of client."""

    runs_alone = True
    max_open_fds: ClassVar[int] = _MAX_OPEN_FDS
    ports: ClassVar[tuple[str, ...]]
    # Targets of ordinary queries by port.
    targets: ClassVar[dict[str, str]]

    def open_process(self) -> AbstractAsyncContextManager[LimitedProcess]:
        """Run a process."""
        raise NotImplementedError

    def check_ports(self, build: Callable[[str], Flood], ports: tuple[str, ...] = ()) -> None:
        """Check one process at the end of a flood at each port, before its connections are closed.

        Parameters
        ----------
        build : callable
            Returns the flood for the target of ordinary queries of a port.
        ports : tuple of str, optional
            Names of the ports; all by default.
        """

        async def check() -> None:
            async with self.open_process() as process:
                for port in ports or self.ports:
                    with self.subTest(port=port):
                        await self._check_flood(port, process, build(self.targets[port]))

        run_async(check)

    async def _check_flood(self, port: str, process: LimitedProcess, flood: Flood) -> None:
        number, handle = process.ports[port], process.handle
        with open_flood(number, flood) as sent_bytes:
            response = await send_request(number, self.targets[port])
            self.assertIsNone(handle.poll(), "the process has ended")
            memory_mb = read_peak_memory_mb(handle.pid)
            descriptors = count_descriptors(handle.pid)
        status = response.status if response is not None else None
        print(
            f"{type(self).__name__} {self._testMethodName} {port}: {sent_bytes / 1e6:.1f} MB "
            f"sent, peak memory {memory_mb:.0f} MB, {descriptors} descriptors, status {status}",
            flush=True,
        )
        self.assertLess(memory_mb, _MEMORY_MB)
        self.assertLess(descriptors, self.max_open_fds)
        self.assertIsNotNone(response, "an ordinary request got no response")


class _FloodTests:
    """Floods at each port that clients can reach."""

    def test_endless_trailers(self) -> None:
        """Guards against trailers that are collected without a limit."""
        self.check_ports(lambda _: _TRAILERS)

    def test_endless_chunk_extensions(self) -> None:
        """Guards against chunk extensions that are collected or read without a limit."""
        self.check_ports(lambda _: _EXTENSIONS)

    def test_pipelined_requests_without_a_route(self) -> None:
        """Guards against requests that are parsed without a limit while responses wait."""
        self.check_ports(lambda _: _UNROUTED)

    def test_pipelined_requests_without_headers(self) -> None:
        """Guards against minimal requests, thousands of which fit into one read."""
        self.check_ports(lambda _: _WITHOUT_HEADERS)

    def test_pipelined_queries_with_unread_responses(self) -> None:
        """Guards against ordinary requests that are read ahead without a limit."""
        self.check_ports(_build_queries)

    def test_many_silent_connections(self) -> None:
        """Guards against connections that use up the descriptors of the process."""
        self.check_ports(lambda _: _SILENT)


class _NodeTestCase(LimitsTestCase):
    """Base class of tests of `coltsfootpier.node`."""

    max_fds: ClassVar[int] = _MAX_FDS
    ports = ("front", "ready", "peers", "metrics")
    targets = {
        "front": PREFIX,
        "ready": "/coltsfootpier/ready",
        "peers": "/none",
        "metrics": "/metrics",
    }

    def open_process(self) -> AbstractAsyncContextManager[LimitedProcess]:
        """Run a store and a daemon."""
        return open_node(memory_mb=_MEMORY_MB, max_fds=self.max_fds)


class NodeLimitsTest(_FloodTests, _NodeTestCase):
    """Clients of `coltsfootpier.node`."""


class NodeBodiesTest(_NodeTestCase):
    """Many requests of `coltsfootpier.node` that are each within the limits."""

    max_fds = max_open_fds = _MANY_FDS

    def test_many_incomplete_bodies(self) -> None:
        """Guards against bodies that together exceed the memory of the process."""
        self.check_ports(lambda _: _build_bodies(f"{PREFIX}0123456789abcdef"), ports=("front",))


class DaemonLimitsTest(_FloodTests, LimitsTestCase):
    """Clients of `coltsfootpierd`."""

    ports = ("callers", "peers", "operators")
    targets = {"callers": "/services/none/read", "peers": "/none", "operators": "/v1/status"}

    def open_process(self) -> AbstractAsyncContextManager[LimitedProcess]:
        """Run a platform and a daemon."""
        return open_daemon(memory_mb=_MEMORY_MB, max_fds=_MAX_FDS)


class LargeResponseTest(ClusterTestCase):
    """Clients of `coltsfootpierd` that don't read large responses."""

    runs_alone = True
    _readers = 60

    def test_unread_large_responses(self) -> None:
        """Guards against large responses that wait in memory for callers that don't read."""
        flood = Flood(
            head=b"POST /services/web/read HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n",
            unit=b"POST /services/web/read HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n",
            size_bytes=200_000,
            connections=self._readers,
        )

        async def test() -> None:
            for worker in self.cluster.workers.values():
                await self.cluster.set_faults(worker, answer_bytes=6_000_000)
            daemon = self.cluster.daemons["entry-0"]
            with open_flood(daemon.ports["callers"], flood) as sent_bytes:
                response = await send_request(daemon.ports["callers"], "/services/none/read")
                self.assertIsNone(daemon.handle.poll(), "the process has ended")
                memory_mb = read_peak_memory_mb(daemon.handle.pid)
            print(
                f"{type(self).__name__}: {sent_bytes / 1e6:.1f} MB sent, peak memory "
                f"{memory_mb:.0f} MB",
                flush=True,
            )
            self.assertLess(memory_mb, _MEMORY_MB)
            self.assertIsNotNone(response, "an ordinary request got no response")
            for worker in self.cluster.workers.values():
                await self.cluster.set_faults(worker)
            self.assert_healthy("entry-0")

        run_async(test)
