"""Process tests of many clients that exceed the limits together, each on one connection.

The memory of a process counts as on its machine: what is resident, and the bytes that have been
received and not yet read. Clients whose requests aren't read on leave theirs in the kernel.
"""

from __future__ import annotations

import contextlib
import secrets
import unittest
from collections.abc import Callable
from typing import ClassVar

import orjson

from coltsfootpier.transport import Reply
from standins.cluster import wait_for
from standins.nodes import HOST, PREFIX
from tests.clusters import run_async
from tests.flooding import (
    Flood,
    MemorySampler,
    count_descriptors,
    open_floods,
    read_used_memory_mb,
)
from tests.limited import LimitedProcess, open_daemon, open_node, send_request
from tests.test_processes_nodes import build_job_body

# Limits of memory and file descriptors in the settings of the processes. They have the proportions
# of a small entry VM, 200 MB and 4,100 descriptors, less the 43 MB of a process without clients.
_MEMORY_MB = 96
_MAX_FDS = 1_024
_MAX_OPEN_FDS = 896
# Limit of a process whose state takes two thirds of it, as that of a large cell's owner may.
_SCARCE_MEMORY_MB = 64
# Part of the limit that may stay in use above the idle process once the clients have left.
_RETAINED_DIVISOR = 8
# Connections of a flood at one port, and at each port when several are flooded at once.
_CLIENTS = 250
# Bytes that each client sends.
_CLIENT_BYTES = 400_000
# Generous limit; no result depends on the time that anything takes.
_SETTLE_S = 20
_READY_TARGET = "/coltsfootpier/ready"
_HOST_HEADERS = f"Host: {HOST}\r\nDeadline-Ms: 3000\r\n"


def _build_flood(unit: bytes, head: bytes = b"") -> Flood:
    return Flood(head=head, unit=unit, size_bytes=_CLIENT_BYTES, connections=_CLIENTS)


def _build_query(target: str, headers: str = _HOST_HEADERS) -> bytes:
    return f"GET {target} HTTP/1.1\r\n{headers}\r\n".encode()


def _build_trailers(target: str) -> Flood:
    head = f"POST {target} HTTP/1.1\r\n{_HOST_HEADERS}Transfer-Encoding: chunked\r\n\r\n0\r\n"
    return _build_flood(b"a: b\r\n", head.encode())


def _build_without_headers(_: str) -> Flood:
    return _build_flood(_build_query("/none", headers=""))


def _build_ready(_: str) -> Flood:
    return _build_flood(_build_query(_READY_TARGET))


def _build_queries(target: str) -> Flood:
    return _build_flood(_build_query(target))


def _build_long_lines(_: str) -> Flood:
    return _build_flood(_build_query(f"/none/{'x' * 15_000}"))


def _build_bodies(target: str) -> Flood:
    """Build requests whose bodies are within the limits and stay incomplete."""
    head = f"POST {target} HTTP/1.1\r\n{_HOST_HEADERS}Content-Length: 262144\r\n\r\n".encode()
    return Flood(head=head, unit=b"x", size_bytes=len(head) + 262_143, connections=_CLIENTS)


def _build_small_chunks(target: str) -> Flood:
    """Build a chunked body whose chunks have one byte each."""
    head = f"POST {target} HTTP/1.1\r\n{_HOST_HEADERS}Transfer-Encoding: chunked\r\n\r\n"
    return _build_flood(b"1\r\nx\r\n", head.encode())


class _CrowdTestCase(unittest.TestCase):
    """Base class of tests that start one process for each kind of client."""

    runs_alone = True
    memory_mb: ClassVar[int] = _MEMORY_MB
    ports: ClassVar[tuple[str, ...]]
    # Port of ordinary requests, and the port and target of the readiness check.
    front: ClassVar[str]
    ready: ClassVar[tuple[str, str]]
    # Targets of ordinary queries by port, and one of requests with a body at the front port.
    targets: ClassVar[dict[str, str]]
    body_target: ClassVar[str]
    # Status of an ordinary request on a calm process.
    ordinary_status: ClassVar[int] = 200

    def open_process(self) -> contextlib.AbstractAsyncContextManager[LimitedProcess]:
        """Run a process with the limits of the tests."""
        raise NotImplementedError

    async def send_ordinary(self, process: LimitedProcess) -> Reply | None:
        """Send an ordinary request as a caller; return None if there is no response."""
        raise NotImplementedError

    def check_ports(self, build: Callable[[str], Flood], ports: tuple[str, ...] = ()) -> None:
        """Check one process in and after a flood at each port, one port after the other.

        Parameters
        ----------
        build : callable
            Returns the flood for the target of ordinary queries of a port.
        ports : tuple of str, optional
            Names of the ports; all by default.
        """

        async def check() -> None:
            async with self.open_process() as process:
                idle_mb = read_used_memory_mb(process.handle.pid, process.ports.values())
                for port in ports or self.ports:
                    with self.subTest(port=port):
                        floods = [(process.ports[port], build(self.targets[port]))]
                        await self._check_floods(process, floods, idle_mb, name=port)

        run_async(check)

    def check_all_ports_at_once(self, builds: tuple[Callable[[str], Flood], ...]) -> None:
        """Check one process in and after floods at all ports at the same time."""

        async def check() -> None:
            async with self.open_process() as process:
                idle_mb = read_used_memory_mb(process.handle.pid, process.ports.values())
                for build in builds:
                    with self.subTest(flood=build.__name__):
                        floods = [
                            (process.ports[port], build(self.targets[port])) for port in self.ports
                        ]
                        await self._check_floods(process, floods, idle_mb, name=build.__name__)

        run_async(check)

    async def _check_floods(
        self,
        process: LimitedProcess,
        floods: list[tuple[int, Flood]],
        idle_mb: float,
        *,
        name: str,
    ) -> None:
        pid, ports = process.handle.pid, process.ports.values()
        with MemorySampler(pid, ports) as sampler, open_floods(floods) as sent_bytes:
            await self._check_service(process)
            descriptors = count_descriptors(pid)
        await self._check_service(process, is_calm=True)
        retained_mb = await self._wait_settled(process, idle_mb)
        print(
            f"{type(self).__name__} {self._testMethodName} {name}: {sent_bytes / 1e6:.0f} MB sent, "
            f"at most {sampler.peak_mb:.0f} MB used, {descriptors} descriptors, "
            f"{retained_mb:+.0f} MB afterwards",
            flush=True,
        )
        self.assertIsNone(process.handle.poll(), "the process has ended")
        self.assertLess(sampler.peak_mb, self.memory_mb)
        self.assertLess(descriptors, _MAX_OPEN_FDS)
        self.assertLess(retained_mb, self.memory_mb / _RETAINED_DIVISOR)

    async def _check_service(self, process: LimitedProcess, *, is_calm: bool = False) -> None:
        """Check that an ordinary request and the readiness check get a response."""
        ordinary = await self.send_ordinary(process)
        self.assertIsNone(process.handle.poll(), "the process has ended")
        self.assertIsNotNone(ordinary, "an ordinary request got no response")
        if is_calm:
            self.assertEqual(ordinary.status, self.ordinary_status)
        port, target = self.ready
        readiness = await send_request(process.ports[port], target)
        self.assertIsNotNone(readiness, "the readiness check got no response")
        self.assertEqual(readiness.status, 200)

    async def _wait_settled(self, process: LimitedProcess, idle_mb: float) -> float:
        """Wait until the memory of the crowd is released; return what is left of it in MB."""

        def read_retained_mb() -> float:
            return read_used_memory_mb(process.handle.pid, process.ports.values()) - idle_mb

        async def is_settled() -> bool:
            return read_retained_mb() < self.memory_mb / _RETAINED_DIVISOR

        with contextlib.suppress(TimeoutError):
            await wait_for(is_settled, timeout_s=_SETTLE_S)
        return read_retained_mb()


class _CrowdTests:
    """Crowds at each port that clients can reach."""

    def test_endless_trailers(self) -> None:
        """Guards against trailers that are collected, or left in the kernel, without a limit."""
        self.check_ports(_build_trailers)

    def test_requests_without_headers(self) -> None:
        """Guards against minimal requests ahead of their responses."""
        self.check_ports(_build_without_headers)

    def test_ready_path(self) -> None:
        """Guards against readiness requests ahead of their responses, at all ports."""
        self.check_ports(_build_ready)

    def test_queries(self) -> None:
        """Guards against ordinary requests ahead of their responses."""
        self.check_ports(_build_queries)

    def test_long_request_lines(self) -> None:
        """Guards against requests whose paths the process holds several times."""
        self.check_ports(_build_long_lines)

    def test_incomplete_bodies(self) -> None:
        """Guards against bodies that are each within the limits and together exceed the memory."""
        self.check_ports(lambda _: _build_bodies(self.body_target), ports=(self.front,))

    def test_small_chunks(self) -> None:
        """Guards against long turns of the event loop for bodies of many chunks."""
        self.check_ports(lambda _: _build_small_chunks(self.body_target), ports=(self.front,))

    def test_all_ports_at_once(self) -> None:
        """Guards against bounds of each port that together exceed the limits of the process."""
        self.check_all_ports_at_once((_build_queries, _build_long_lines))


class _NodeTestCase(_CrowdTestCase):
    """Base class of tests of `coltsfootpier.node`."""

    ports = ("front", "ready", "peers", "metrics")
    front = "front"
    ready = ("ready", _READY_TARGET)
    targets = {
        "front": PREFIX,
        "ready": _READY_TARGET,
        "peers": "/none",
        "metrics": "/metrics",
    }
    body_target = f"{PREFIX}0123456789abcdef"

    def open_process(self) -> contextlib.AbstractAsyncContextManager[LimitedProcess]:
        """Run a store, a runner and a daemon."""
        return open_node(memory_mb=self.memory_mb, max_fds=_MAX_FDS)

    async def send_ordinary(self, process: LimitedProcess) -> Reply | None:
        """Submit a job."""
        body = orjson.dumps(build_job_body(run_ms=100, count=1))
        target = PREFIX + secrets.token_hex(8)
        return await send_request(process.ports["front"], target, method="POST", body=body)


class NodeCrowdTest(_CrowdTests, _NodeTestCase):
    """Clients of `coltsfootpier.node`."""


class NodeScarceMemoryTest(_NodeTestCase):
    """Clients of a `coltsfootpier.node` whose own state takes most of its memory."""

    memory_mb = _SCARCE_MEMORY_MB

    def test_queries(self) -> None:
        """Guards against a share for clients that ignores what else the process holds."""
        self.check_ports(_build_queries, ports=("front",))

    def test_long_request_lines(self) -> None:
        """Guards against the same with requests that are larger in the process."""
        self.check_ports(_build_long_lines, ports=("front",))

    def test_incomplete_bodies(self) -> None:
        """Guards against the same with bodies that are each within the limits."""
        self.check_ports(lambda _: _build_bodies(self.body_target), ports=("front",))


class DaemonCrowdTest(_CrowdTests, _CrowdTestCase):
    """Clients of `coltsfootpierd`."""

    ports = ("callers", "peers", "operators")
    front = "callers"
    ready = ("operators", "/readyz")
    targets = {"callers": "/services/none/read", "peers": "/none", "operators": "/v1/status"}
    body_target = "/services/none/read"
    ordinary_status = 404

    def open_process(self) -> contextlib.AbstractAsyncContextManager[LimitedProcess]:
        """Run a platform and a daemon."""
        return open_daemon(memory_mb=self.memory_mb, max_fds=_MAX_FDS)

    async def send_ordinary(self, process: LimitedProcess) -> Reply | None:
        """Send a request for a service that isn't declared, which the daemon answers itself."""
        port = process.ports["callers"]
        return await send_request(port, self.body_target, method="POST", body=b"x" * 1_000)
