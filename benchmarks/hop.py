"""Cost of the hop through a daemon, compared with direct calls to the runners."""

from __future__ import annotations

import statistics
import sys
import time

import anyio
import attrs
from absl import app, flags
from returns.result import Success

from benchmarks._process import read_cpu_ms
from coltsfootpier.clock import MonotonicClock
from coltsfootpier.transport import Connection
from standins.cluster import Cluster, call, wait_for

_FLAGS = flags.FLAGS
_ZONE = "zone-a"
_DECLARATION = """
[team t]
cores = 64
memory_mb = 64000
[service s]
team = t
runners = 4
slots = 8
cores = 1
memory_mb = 100
latency_ms = 100
[request s/r]
idempotent = yes
"""
_BODY = b"x" * 140


@attrs.define(kw_only=True)
class LoadResult:
    """Results of a number of concurrent callers."""

    latencies_ms: list[float] = attrs.field(factory=list)
    failed: int = 0
    seconds: float = 0.0

    def percentile(self, share: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        quantiles = statistics.quantiles(self.latencies_ms, n=1000)
        return quantiles[min(998, int(share * 1000) - 1)]

    @property
    def rate(self) -> float:
        """Number of successful responses per second."""
        return len(self.latencies_ms) / self.seconds


async def run_load(ports: list[int], target: bytes, *, callers: int, seconds: float) -> LoadResult:
    """Send requests from concurrent callers, each waiting for its response before the next."""
    load = LoadResult()
    clock = MonotonicClock()
    end_s = time.monotonic() + seconds

    async def run_caller(port: int) -> None:
        connection = Connection(host="127.0.0.1", port=port, clock=clock, max_body=1_000_000)
        while time.monotonic() < end_s:
            start_ms = clock.now_ms()
            result = await connection.exchange(
                method=b"POST", target=target, body=_BODY, timeout_ms=5_000, max_idle_ms=5_000
            )
            if isinstance(result, Success) and result.unwrap().status == 200:
                load.latencies_ms.append(clock.now_ms() - start_ms)
            else:
                load.failed += 1
        await connection.close()

    started_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for index in range(callers):
            group.start_soon(run_caller, ports[index % len(ports)])
    load.seconds = time.monotonic() - started_s
    return load


async def _list_runner_ports(cluster: Cluster) -> list[int]:
    response = await call(
        cluster.daemons["entry-0"].ports["peers"], "POST", "/peer/v1/runners", body=b"{}"
    )
    shards = response.json().get("shards", ())
    return [
        int(runner["address"].rpartition(":")[2])
        for shard in shards
        for runner in shard.get("runners", ())
    ]


async def run() -> int:
    """Measure direct and forwarded requests and print a table."""
    cluster = Cluster(zones=(_ZONE,))
    try:
        cluster.start_platform()
        for index in range(4):
            worker = await cluster.start_worker(f"worker-{index}", _ZONE)
            await cluster.set_faults(worker, service_ms=_FLAGS.service_ms)
        daemon = cluster.start_daemon("entry-0", _ZONE)
        await cluster.wait_ready()
        path = cluster.folder / "hop.ini"
        path.write_text(_DECLARATION)
        cluster.run_tool("apply", str(path), f"--daemon=127.0.0.1:{daemon.ports['operators']}")

        async def are_runners_published() -> bool:
            return len(await _list_runner_ports(cluster)) == 4

        await wait_for(are_runners_published, timeout_s=30)
        runners = await _list_runner_ports(cluster)
        print("| callers | way | answers/s | p50 ms | p99 ms | failed | daemon ms/request |")
        print("|---|---|---|---|---|---|---|")
        for callers in (1, 4, 16):
            direct = await run_load(runners, b"/r", callers=callers, seconds=_FLAGS.seconds)
            before_ms = read_cpu_ms(daemon.handle.pid)
            hop = await run_load(
                [daemon.ports["callers"]],
                b"/services/s/r",
                callers=callers,
                seconds=_FLAGS.seconds,
            )
            cost_ms = (read_cpu_ms(daemon.handle.pid) - before_ms) / max(1, len(hop.latencies_ms))
            for route, load, cost in (("direct", direct, ""), ("daemon", hop, f"{cost_ms:.2f}")):
                print(
                    f"| {callers} | {route} | {load.rate:.0f} | {load.percentile(0.5):.1f} | "
                    f"{load.percentile(0.99):.1f} | {load.failed} | {cost} |"
                )
        return 0
    finally:
        cluster.stop()


def _run(_: list[str]) -> int:
    return anyio.run(run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    flags.DEFINE_float("seconds", 5.0, "Duration of each measurement in seconds.")
    flags.DEFINE_float("service_ms", 5.0, "Service time of the runners in milliseconds.")
    sys.exit(app.run(_run))
