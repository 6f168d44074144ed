"""Runners of the project's stand-ins that register the addresses of proxies in front of them."""

from __future__ import annotations

import random
import secrets
import sys

import anyio
import orjson
from absl import app, flags

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.platform import StoreClient, Write
from coltsfootpier.transport import Application, HttptoolsConnection, Server
from standins.runners import Runner, _build_protocol


class ProxiedRunner(Runner):
    """Runner whose registry entry names the port of a proxy."""

    proxy_port = 0

    async def _write_entry(self, store: StoreClient, port: int, sequence: int) -> None:
        entry = {
            "service": "web",
            "address": f"127.0.0.1:{self.proxy_port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 8_000, "mem_mb": 16_000, "gpu": 0},
            "labels": ["a", "r1"],
            "seq": sequence,
            "born": self.start_unix_ms,
        }
        write = Write(f"servers/{self.name}", orjson.dumps(entry))
        await store.commit(expect={}, puts=[write])


async def serve(store_port: int, proxy_ports: list[int], seed: int) -> None:
    """Serve one runner for each proxy until cancelled, and print their ports."""
    clock = MonotonicClock()
    store = StoreClient(host="127.0.0.1", port=store_port, clock=clock, timeout_ms=1_000.0)
    ports = []
    async with anyio.create_task_group() as group:
        for number, proxy_port in enumerate(proxy_ports):
            runner = ProxiedRunner(
                name=f"i-{secrets.token_hex(5)}", rng=random.Random(f"{seed}/{number}"), clock=clock
            )
            runner.proxy_port = proxy_port
            routes = {
                "POST /coltsfootpier/run-start": runner.handle_call(runner.start_run),
                "POST /coltsfootpier/run-stop": runner.handle_call(runner.stop_run),
                "POST /coltsfootpier/pace": runner.handle_call(runner.accept_pace),
                "POST /coltsfootpier/hold": runner.handle_call(runner.extend_lease),
                "POST /restart": runner.restart,
                "POST /faults": runner.set_faults,
                "GET /history": runner.read_history,
            }
            server = Server(
                app=Application(routes=routes, max_body_bytes=100_000),
                host="127.0.0.1",
                port=0,
                protocol=_build_protocol(runner),
            )
            port = await group.start(server.run)
            ports.append(port)
            group.start_soon(runner.run)
            platform = HttptoolsConnection(host="127.0.0.1", port=store_port)
            group.start_soon(runner.register, store, platform, port)
        print("ports=" + ",".join(map(str, ports)), flush=True)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    proxy_ports = [int(port) for port in options.proxies]
    anyio.run(serve, options.store, proxy_ports, 8, backend_options={"use_uvloop": True})
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("store", 0, "TCP port of the store on the loopback address.")
    flags.DEFINE_list("proxies", [], "TCP ports of the proxies.")
    sys.exit(app.run(_run))
