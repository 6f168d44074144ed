"""Resource use of real daemon processes, by number of peers and by number of workers."""

from __future__ import annotations

import anyio
import orjson

from benchmarks._linear_fit import LinearFit
from benchmarks._logic import build_declaration_text
from benchmarks._process import Usage, measure_usage
from standins.cluster import Cluster, call, wait_for

_MEASUREMENT_WINDOW_S = 8.0
_SETTLING_TIME_S = 4.0
_AVAILABILITY_ZONES = ("zone-a", "zone-b", "zone-c")


class FleetCluster(Cluster):
    """Cluster whose workers all run in one process."""

    async def start_fleet(self, count: int, *, rack_size: int = 8) -> None:
        """Start `count` workers, with `rack_size` workers in each rack."""
        process = self._spawn("fleet", ["-m", "standins.fleet", f"--count={count}"])
        for index, port in enumerate(orjson.loads(process.stdout.readline())):
            rack = index // rack_size
            await self.update_vm(
                name=f"worker-{index}",
                state="live",
                role="worker",
                availability_zone=_AVAILABILITY_ZONES[rack % 3],
                rack=f"rack-{rack}",
                address=f"127.0.0.1:{port}",
            )


async def _count_calls(cluster: Cluster) -> dict[str, int]:
    """Return the number of calls that the platform has received, by method and call."""
    return (await call(cluster.platform.ports["api"], "GET", "/counts")).json()


async def measure_peers(counts: tuple[int, ...]) -> list[LinearFit]:
    """Measure daemons without workers, by number of peers.

    Processor time and store calls are means over the daemons; memory is that of the largest daemon.

    Parameters
    ----------
    counts : tuple of int
        Numbers of daemons to start.
    """
    cpu_points, memory_points, call_points = [], [], []
    for count in counts:
        cluster = Cluster(zones=_AVAILABILITY_ZONES)
        try:
            cluster.start_platform()
            for index in range(count):
                cluster.start_daemon(f"entry-{index}", _AVAILABILITY_ZONES[index % 3])
            await cluster.wait_ready()
            await anyio.sleep(_SETTLING_TIME_S)
            calls_before = sum((await _count_calls(cluster)).values())
            usages: list[Usage] = []

            async def measure_daemon(pid: int, usages: list[Usage] = usages) -> None:
                usages.append(await measure_usage(pid, window_s=_MEASUREMENT_WINDOW_S))

            async with anyio.create_task_group() as group:
                for daemon in cluster.daemons.values():
                    group.start_soon(measure_daemon, daemon.handle.pid)
            calls_after = sum((await _count_calls(cluster)).values())
            cpu_points.append((count - 1, sum(usage.cpu_ms_per_s for usage in usages) / count))
            memory_points.append((count - 1, max(usage.memory_mb for usage in usages)))
            call_points.append(
                (count - 1, (calls_after - calls_before) / _MEASUREMENT_WINDOW_S / count)
            )
        finally:
            cluster.stop()
    return [
        LinearFit(
            name="daemon at rest: processor", unit="ms/s", per="peer", points=tuple(cpu_points)
        ),
        LinearFit(
            name="daemon at rest: memory", unit="MB", per="peer", points=tuple(memory_points)
        ),
        LinearFit(
            name="daemon at rest: store calls", unit="1/s", per="peer", points=tuple(call_points)
        ),
    ]


async def measure_workers(counts: tuple[int, ...]) -> list[LinearFit]:
    """Measure a single daemon that owns all shards, by number of workers.

    About 20 tasks are declared for each worker; the measurement starts when 18 of them are running.

    Parameters
    ----------
    counts : tuple of int
        Numbers of workers to start.
    """
    cpu_points, memory_points, call_points = [], [], []
    for count in counts:
        cluster = FleetCluster(zones=_AVAILABILITY_ZONES)
        try:
            cluster.start_platform()
            await cluster.start_fleet(count)
            daemon = cluster.start_daemon("entry-0", _AVAILABILITY_ZONES[0])
            await cluster.wait_ready()
            declaration_path = cluster.folder / "text.ini"
            declaration_path.write_text(build_declaration_text(workers=count, teams=min(8, count)))
            operators_address = f"127.0.0.1:{daemon.ports['operators']}"
            cluster.run_tool("apply", str(declaration_path), f"--daemon={operators_address}")

            async def are_tasks_running(cluster: Cluster = cluster, count: int = count) -> bool:
                return await cluster.count_running("entry-0", "") >= 18 * count

            await wait_for(are_tasks_running, timeout_s=120)
            await anyio.sleep(_SETTLING_TIME_S)
            calls_before = sum((await _count_calls(cluster)).values())
            usage = await measure_usage(daemon.handle.pid, window_s=_MEASUREMENT_WINDOW_S)
            calls_after = sum((await _count_calls(cluster)).values())
            cpu_points.append((count, usage.cpu_ms_per_s))
            memory_points.append((count, usage.memory_mb))
            call_points.append((count, (calls_after - calls_before) / _MEASUREMENT_WINDOW_S))
        finally:
            cluster.stop()
    return [
        LinearFit(
            name="owner of all workers: processor",
            unit="ms/s",
            per="worker",
            points=tuple(cpu_points),
        ),
        LinearFit(
            name="owner of all workers: memory",
            unit="MB",
            per="worker",
            points=tuple(memory_points),
        ),
        LinearFit(
            name="owner of all workers: store calls",
            unit="1/s",
            per="worker",
            points=tuple(call_points),
        ),
    ]
