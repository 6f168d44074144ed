"""Many stand-in workers in one process, for capacity measurements."""

from __future__ import annotations

import sys

import anyio
import orjson
from absl import app, flags

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.transport import Application, Server
from standins.worker import Worker


async def serve(count: int, host: str, cores: float, memory_mb: int) -> None:
    """Serve `count` workers until cancelled, and print their ports as a JSON list.

    Parameters
    ----------
    count : int
        Number of workers.
    host : str
        IP address to listen on.
    cores : float
        Processors of each worker.
    memory_mb : int
        Memory of each worker in MB.
    """
    clock = MonotonicClock()
    ports = []
    async with anyio.create_task_group() as group:
        for index in range(count):
            worker = Worker(
                name=f"worker-{index}",
                host=host,
                clock=clock,
                cores=cores,
                memory_mb=memory_mb,
                accelerators=0,
            )
            routes = {"POST /v1/sync": worker.handle_sync}
            server = Server(
                app=Application(routes=routes, max_body_bytes=8_000_000), host=host, port=0
            )
            group.start_soon(worker.run)
            ports.append(await group.start(server.run))
        print(orjson.dumps(ports).decode(), flush=True)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    anyio.run(
        serve,
        options.count,
        "127.0.0.1",
        options.cores,
        options.memory_mb,
        backend_options={"use_uvloop": True},
    )
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("count", 24, "Number of workers.")
    flags.DEFINE_float("cores", 16.0, "Processors of each worker.")
    flags.DEFINE_integer("memory_mb", 60_000, "Memory of each worker in MB.")
    sys.exit(app.run(_run))
