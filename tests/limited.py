"""Processes of the system with lowered limits of memory and file descriptors."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from subprocess import Popen

import anyio
import attrs

from coltsfootpier.transport import HttptoolsConnection, Reply
from standins.cluster import Cluster, wait_for
from standins.nodes import HOST, Nodes
from tests.flooding import limit_descriptors
from tests.test_processes_nodes import ROUTE

# Generous limit for an ordinary request, which may find the process busy.
_TIMEOUT_MS = 60_000


@attrs.frozen(kw_only=True)
class LimitedProcess:
    """A process and its ports.

    Parameters
    ----------
    handle : Popen
        The process.
    ports : dict of str to int
        Ports by the name of what they serve.
    """

    handle: Popen
    ports: dict[str, int]


@contextlib.asynccontextmanager
async def open_node(*, memory_mb: int, max_fds: int) -> AsyncIterator[LimitedProcess]:
    """Run a store, a runner and a `coltsfootpier.node`, which owns the cell."""
    nodes = Nodes(memory_mb=memory_mb, max_fds=max_fds)
    try:
        nodes.start_platform(runners=1)
        await nodes.put_configuration(1, [ROUTE])
        with limit_descriptors(max_fds):
            node = nodes.start_node("n0")
        await nodes.wait_ready()

        async def has_owner() -> bool:
            response = await nodes.request("n0", "GET", "")
            return response is not None and response.status == 200

        await wait_for(has_owner, timeout_s=20)
        names = ("front", "ready", "peers", "metrics")
        ports = dict(zip(names, node.list_ports(), strict=True))
        yield LimitedProcess(handle=node.handle, ports=ports)
    finally:
        nodes.close()


@contextlib.asynccontextmanager
async def open_daemon(*, memory_mb: int, max_fds: int) -> AsyncIterator[LimitedProcess]:
    """Run a platform and a `coltsfootpierd`."""
    cluster = Cluster(zones=("zone-a",), settings={"bounds": {"memory_mb": memory_mb}})
    try:
        cluster.start_platform()
        with limit_descriptors(max_fds):
            await anyio.to_thread.run_sync(cluster.start_daemon, "entry-0", "zone-a")
        await cluster.wait_ready()
        daemon = cluster.daemons["entry-0"]
        yield LimitedProcess(handle=daemon.handle, ports=daemon.ports)
    finally:
        cluster.stop()


async def send_request(
    port: int, target: str, *, method: str = "GET", body: bytes = b""
) -> Reply | None:
    """Send an ordinary request on a new connection; return None if there is no response."""
    connection = HttptoolsConnection(host="127.0.0.1", port=port)
    result = await connection.exchange(
        method,
        target,
        headers=(("Host", HOST), ("Deadline-Ms", "3000")),
        body=body,
        timeout_ms=_TIMEOUT_MS,
    )
    connection.close()
    return result.value_or(None)
