"""Resource use of real daemon processes by number of peers and of workers."""

from __future__ import annotations

import anyio
import orjson

from benchmarks._logic import build_declaration_text
from benchmarks._process import Usage, measure_usage
from benchmarks._slopes import Slope
from standins.cluster import Cluster, call, wait_for

_WINDOW_S = 8.0
_SETTLE_S = 4.0
_ZONES = ("zone-a", "zone-b", "zone-c")


class FleetCluster(Cluster):
    """Cluster that runs all of its workers in one process."""

    async def start_fleet(self, count: int, *, rack_size: int = 8) -> None:
        """Start `count` workers, with `rack_size` workers in each rack."""
        handle = self._spawn("fleet", ["-m", "standins.fleet", f"--count={count}"])
        for index, port in enumerate(orjson.loads(handle.stdout.readline())):
            rack = index // rack_size
            await self.list_vm(
                name=f"worker-{index}",
                state="live",
                role="worker",
                availability_zone=_ZONES[rack % 3],
                rack=f"rack-{rack}",
                address=f"127.0.0.1:{port}",
            )


async def _count_calls(cluster: Cluster) -> dict[str, int]:
    return (await call(cluster.platform.ports["api"], "GET", "/counts")).json()


async def measure_peers(counts: tuple[int, ...]) -> list[Slope]:
    """Measure daemons without workers, by number of peers; values are averages for one daemon.

    Memory is that of the largest daemon.
    """
    cpu, memory, calls = [], [], []
    for count in counts:
        cluster = Cluster(zones=_ZONES)
        try:
            cluster.start_platform()
            for index in range(count):
                cluster.start_daemon(f"entry-{index}", _ZONES[index % 3])
            await cluster.wait_ready()
            await anyio.sleep(_SETTLE_S)
            before = sum((await _count_calls(cluster)).values())
            usages: list[Usage] = []

            async def measure_daemon(pid: int, usages: list[Usage] = usages) -> None:
                usages.append(await measure_usage(pid, window_s=_WINDOW_S))

            async with anyio.create_task_group() as group:
                for daemon in cluster.daemons.values():
                    group.start_soon(measure_daemon, daemon.handle.pid)
            after = sum((await _count_calls(cluster)).values())
            cpu.append((count - 1, sum(usage.cpu_ms_per_s for usage in usages) / count))
            memory.append((count - 1, max(usage.memory_mb for usage in usages)))
            calls.append((count - 1, (after - before) / _WINDOW_S / count))
        finally:
            cluster.stop()
    return [
        Slope(name="daemon at rest: processor", unit="ms/s", per="peer", points=tuple(cpu)),
        Slope(name="daemon at rest: memory", unit="MB", per="peer", points=tuple(memory)),
        Slope(name="daemon at rest: store calls", unit="1/s", per="peer", points=tuple(calls)),
    ]


async def measure_workers(counts: tuple[int, ...]) -> list[Slope]:
    """Measure a single daemon that owns all shards, by number of workers with 20 tasks each."""
    cpu, memory, calls = [], [], []
    for count in counts:
        cluster = FleetCluster(zones=_ZONES)
        try:
            cluster.start_platform()
            await cluster.start_fleet(count)
            daemon = cluster.start_daemon("entry-0", _ZONES[0])
            await cluster.wait_ready()
            path = cluster.folder / "text.ini"
            path.write_text(build_declaration_text(workers=count, teams=min(8, count)))
            operators = f"127.0.0.1:{daemon.ports['operators']}"
            cluster.run_tool("apply", str(path), f"--daemon={operators}")

            async def has_running_tasks(cluster: Cluster = cluster, count: int = count) -> bool:
                return await cluster.count_running("entry-0", "") >= 18 * count

            await wait_for(has_running_tasks, timeout_s=120)
            await anyio.sleep(_SETTLE_S)
            before = sum((await _count_calls(cluster)).values())
            usage = await measure_usage(daemon.handle.pid, window_s=_WINDOW_S)
            after = sum((await _count_calls(cluster)).values())
            cpu.append((count, usage.cpu_ms_per_s))
            memory.append((count, usage.memory_mb))
            calls.append((count, (after - before) / _WINDOW_S))
        finally:
            cluster.stop()
    return [
        Slope(name="owner of all workers: processor", unit="ms/s", per="worker", points=tuple(cpu)),
        Slope(name="owner of all workers: memory", unit="MB", per="worker", points=tuple(memory)),
        Slope(
            name="owner of all workers: store calls", unit="1/s", per="worker", points=tuple(calls)
        ),
    ]
