"""Cost of the hop through a daemon, compared with requests that go directly to the runners."""

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
_AVAILABILITY_ZONE = "zone-a"
_DECLARATION_TEXT = """
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
    """Results of concurrent callers.

    Parameters
    ----------
    latencies_ms : list of float
        Latencies of the requests that succeeded.
    failed_count : int
        Number of requests without a response of status 200.
    duration_s : float
        Time from the first request to the last response.
    """

    latencies_ms: list[float] = attrs.field(factory=list)
    failed_count: int = 0
    duration_s: float = 0.0

    def compute_percentile_ms(self, quantile: float) -> float:
        """Return a quantile, given as a share, of the latencies in milliseconds."""
        permilles_ms = statistics.quantiles(self.latencies_ms, n=1000)
        return permilles_ms[min(998, int(quantile * 1000) - 1)]

    @property
    def responses_per_s(self) -> float:
        """Number of successful responses per second."""
        return len(self.latencies_ms) / self.duration_s


async def run_load(
    ports: list[int], target: bytes, *, caller_count: int, duration_s: float
) -> LoadResult:
    """Send requests from concurrent callers; each waits for a response before its next request.

    Parameters
    ----------
    ports : list of int
        Ports on the loopback address, to which the callers are assigned in turn.
    target : bytes
        Path of the requests.
    caller_count : int
        Number of callers.
    duration_s : float
        Time in which requests are sent.
    """
    load_result = LoadResult()
    clock = MonotonicClock()
    end_s = time.monotonic() + duration_s

    async def run_caller(port: int) -> None:
        connection = Connection(host="127.0.0.1", port=port, clock=clock, max_body_bytes=1_000_000)
        while time.monotonic() < end_s:
            start_ms = clock.now_ms()
            result = await connection.exchange(
                method=b"POST", target=target, body=_BODY, timeout_ms=5_000, max_idle_ms=5_000
            )
            if isinstance(result, Success) and result.unwrap().status == 200:
                load_result.latencies_ms.append(clock.now_ms() - start_ms)
            else:
                load_result.failed_count += 1
        await connection.close()

    started_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for index in range(caller_count):
            group.start_soon(run_caller, ports[index % len(ports)])
    load_result.duration_s = time.monotonic() - started_s
    return load_result


async def _list_runner_ports(cluster: Cluster) -> list[int]:
    """Return the ports of the runners that the daemon publishes to its peers."""
    response = await call(
        cluster.daemons["entry-0"].ports["peers"], "POST", "/peer/v1/runners", body=b"{}"
    )
    shards = response.json().get("shards", ())
    return [
        int(runner["address"].rpartition(":")[2])
        for shard in shards
        for runner in shard.get("runners", ())
    ]


async def measure_hop() -> int:
    """Measure direct and forwarded requests, print a table and return the exit code."""
    cluster = Cluster(zones=(_AVAILABILITY_ZONE,))
    try:
        cluster.start_platform()
        for index in range(4):
            worker = await cluster.start_worker(f"worker-{index}", _AVAILABILITY_ZONE)
            await cluster.set_faults(worker, service_ms=_FLAGS.service_ms)
        daemon = cluster.start_daemon("entry-0", _AVAILABILITY_ZONE)
        await cluster.wait_ready()
        declaration_path = cluster.folder / "hop.ini"
        declaration_path.write_text(_DECLARATION_TEXT)
        cluster.run_tool(
            "apply", str(declaration_path), f"--daemon=127.0.0.1:{daemon.ports['operators']}"
        )

        async def are_runners_published() -> bool:
            return len(await _list_runner_ports(cluster)) == 4

        await wait_for(are_runners_published, timeout_s=30)
        runner_ports = await _list_runner_ports(cluster)
        print("| callers | way | answers/s | p50 ms | p99 ms | failed | daemon ms/request |")
        print("|---|---|---|---|---|---|---|")
        for caller_count in (1, 4, 16):
            direct = await run_load(
                runner_ports, b"/r", caller_count=caller_count, duration_s=_FLAGS.seconds
            )
            before_ms = read_cpu_ms(daemon.handle.pid)
            forwarded = await run_load(
                [daemon.ports["callers"]],
                b"/services/s/r",
                caller_count=caller_count,
                duration_s=_FLAGS.seconds,
            )
            cost_ms = (read_cpu_ms(daemon.handle.pid) - before_ms) / max(
                1, len(forwarded.latencies_ms)
            )
            for way, result, cost_text in (
                ("direct", direct, ""),
                ("daemon", forwarded, f"{cost_ms:.2f}"),
            ):
                print(
                    f"| {caller_count} | {way} | {result.responses_per_s:.0f} | "
                    f"{result.compute_percentile_ms(0.5):.1f} | "
                    f"{result.compute_percentile_ms(0.99):.1f} | {result.failed_count} | "
                    f"{cost_text} |"
                )
        return 0
    finally:
        cluster.stop()


def _run(_: list[str]) -> int:
    return anyio.run(measure_hop, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    flags.DEFINE_float("seconds", 5.0, "Duration of each measurement in seconds.")
    flags.DEFINE_float("service_ms", 5.0, "Service time of the runners in milliseconds.")
    sys.exit(app.run(_run))
