"""Cost of a permit: latency and processor time of requests with and without a permit.

Run with ``.venv/bin/python -m benchmarks.permits``. Three daemons, two workers and the stand-in for
the platform run on loopback addresses. Requests of kind ``read`` are idempotent and need no permit,
those of kind ``write`` need one. They are sent one after another.
"""

from __future__ import annotations

import os
import statistics
import sys
import time
import tracemalloc
from pathlib import Path

import anyio

from coltsfootpier.clock import MonotonicClock, VirtualClock
from coltsfootpier.ownership import Ownership, OwnershipState, OwnerTable
from coltsfootpier.permits import AcquirePermit, CopyRequired, KeyKind, PermitManager
from coltsfootpier.transport import Connection
from standins.cluster import Cluster, wait_for

_REQUEST_COUNT = 400
_PERMIT_COUNT = 8_000
_DECLARATION_TEXT = """
[team a]
cores = 64
memory_mb = 64000

[service web]
team = a
runners = 2
cores = 2
memory_mb = 1000
latency_ms = 100

[request web/read]
idempotent = yes

[request web/write]
idempotent = no
"""


def _read_cpu_ms(cluster: Cluster) -> float:
    """Return the user and system time of all daemons in milliseconds."""
    ticks = 0
    for daemon in cluster.daemons.values():
        fields = Path(f"/proc/{daemon.handle.pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks * 1000 / os.sysconf("SC_CLK_TCK")


async def _send_request(connection: Connection, request_kind: str, key: str) -> float:
    """Send a request with an idempotency key and return its latency in milliseconds."""
    started_s = time.monotonic()
    result = await connection.exchange(
        method=b"POST",
        target=f"/services/web/{request_kind}".encode(),
        headers=((b"idempotency-key", key.encode()),),
        body=b"x" * 100,
        timeout_ms=10_000,
        max_idle_ms=10_000,
    )
    response = result.unwrap()
    if response.status != 200:
        raise RuntimeError(
            f"{request_kind} failed with status {response.status}: {response.body[:200]!r}"
        )
    return (time.monotonic() - started_s) * 1000


async def _measure_requests(
    cluster: Cluster, request_kind: str, round_number: int
) -> tuple[list[float], float]:
    """Return the latencies, and the processor time of all daemons per request, in milliseconds."""
    clock = MonotonicClock()
    connections = [
        Connection(
            host="127.0.0.1", port=daemon.ports["callers"], clock=clock, max_body_bytes=10_000
        )
        for daemon in cluster.daemons.values()
    ]
    before_ms = _read_cpu_ms(cluster)
    latencies_ms = [
        await _send_request(
            connections[number % len(connections)],
            request_kind,
            f"{round_number}/{request_kind}/{number}",
        )
        for number in range(_REQUEST_COUNT)
    ]
    used_ms = _read_cpu_ms(cluster) - before_ms
    for connection in connections:
        await connection.close()
    return latencies_ms, used_ms / _REQUEST_COUNT


async def _measure_cluster() -> None:
    cluster = Cluster(zones=("zone-a", "zone-b", "zone-c"))
    try:
        cluster.start_platform()
        for index in range(2):
            worker = await cluster.start_worker(f"worker-{index}", cluster.zones[index])
            await cluster.set_faults(worker, service_ms=0.0)
        for index, zone in enumerate(cluster.zones):
            cluster.start_daemon(f"entry-{index}", zone)
        await cluster.wait_ready()
        declaration_path = cluster.folder / "text.ini"
        declaration_path.write_text(_DECLARATION_TEXT)
        operators_port = cluster.daemons["entry-0"].ports["operators"]
        cluster.run_tool("apply", str(declaration_path), f"--daemon=127.0.0.1:{operators_port}")

        async def are_runners_running() -> bool:
            return await cluster.count_running("entry-0", "service/") == 2

        await wait_for(are_runners_running, timeout_s=60)
        await anyio.sleep(5)
        for round_number in range(3):
            for request_kind in ("read", "write"):
                latencies_ms, cpu_ms = await _measure_requests(cluster, request_kind, round_number)
                percentiles_ms = statistics.quantiles(latencies_ms, n=100)
                print(
                    f"{request_kind}: p50 {percentiles_ms[49]:.2f} ms, "
                    f"p99 {percentiles_ms[98]:.2f} ms, "
                    f"{cpu_ms:.2f} ms of processor time in all daemons for each request"
                )
    finally:
        cluster.stop()


def _grant_permits(manager: PermitManager) -> None:
    """Grant a permit for each of `_PERMIT_COUNT` keys."""
    for number in range(_PERMIT_COUNT):
        request = AcquirePermit(
            group="keys/0",
            kind=KeyKind.IDEMPOTENCY,
            key=f"idempotency/web/write/order-{number:032}",
            token=f"{number:016x}",
            fingerprint=f"{number:016x}",
            hold_ms=15_000.0,
        )
        decision = manager.decide(request)
        if not isinstance(decision, CopyRequired):
            raise RuntimeError(f"permit was not granted: {decision}")
        manager.decide_after_copy(
            manager.tables["keys/0"], decision.record, copied=True, was_only_member=False
        )


def _build_manager() -> PermitManager:
    """Build the permit manager of a daemon that owns one key group and has one peer."""
    clock = VirtualClock()
    ownership = OwnershipState(clock=clock, ttl_ms=6_000.0)
    ownership.join("a.1.1", sent_ms=0.0)
    ownership.observe(OwnerTable({"keys/0": Ownership("a.1.1", 1)}), 1)
    manager = PermitManager(
        clock=clock, ownership=ownership, window_ms=600_000.0, hold_over_ms=0.0, capacity=8_192
    )
    (table,) = manager.reconcile(["a.1.1", "b.1.1"], listed_ms=0.0, is_retired=lambda _: False)
    table.is_ready = True
    return manager


def _measure_decisions() -> None:
    """Print the processor time and the memory of a permit, without copies, JSON and HTTP."""
    manager = _build_manager()
    started_s = time.process_time()
    _grant_permits(manager)
    used_us = (time.process_time() - started_s) * 1e6 / _PERMIT_COUNT
    manager = _build_manager()
    tracemalloc.start()
    _grant_permits(manager)
    held_bytes = tracemalloc.get_traced_memory()[0] / _PERMIT_COUNT
    tracemalloc.stop()
    print(
        f"decision alone: {used_us:.0f} us for each grant, {held_bytes:.0f} bytes for each record"
    )


def main() -> int:
    """Measure the permit manager alone and requests to daemons, and return the exit code."""
    _measure_decisions()
    anyio.run(_measure_cluster)
    return 0


if __name__ == "__main__":
    sys.exit(main())
