"""Stand-in for runners of a service whose tasks last and may fail at any time.

It adds to `standins.runners`: a run goes on until it is stopped, lapses or fails, and is at work
(100 percent) after a startup. ``mean_s=N`` in the payload is the mean time until a run fails; a run
without it doesn't fail.
"""

from __future__ import annotations

import random
import re
import sys
from typing import Any

import anyio
import orjson
from absl import app, flags

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.platform import StoreClient, Write
from coltsfootpier.transport import (
    Application,
    HttpRequest,
    HttpResponse,
    HttptoolsConnection,
    Server,
)
from standins import runners as base

_STARTUP_MS = 300.0
_FAIL_PATTERN = re.compile(r"mean_s=(\d+)")


class LastingRunner(base.Runner):
    """A runner whose runs end only by a stop, a failure or the end of their lease."""

    def __init__(self, *, service: str, **keywords: Any) -> None:
        self._service = service
        super().__init__(**keywords)

    async def start_run(self, request: HttpRequest) -> HttpResponse:
        """Start a run that lasts."""
        response = await super().start_run(request)
        body = orjson.loads(request.body)
        run = self._runs.get((body["task"], body["attempt"]))
        if run is not None and not run.fails:
            match = _FAIL_PATTERN.search(body["spec"])
            run.fails = True
            run.end_ms = float("inf")
            if match is not None:
                run.end_ms = run.begin_ms + self._rng.expovariate(0.001 / int(match.group(1)))
        return response

    def _compute_progress_share(self, run: Any, now_ms: float) -> float:
        return 1.0 if now_ms - run.begin_ms > _STARTUP_MS else 0.5

    async def _write_entry(self, store: StoreClient, port: int, sequence: int) -> None:
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{port}",
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


async def serve(store_port: int, services: list[str]) -> None:
    """Serve a runner of each service until cancelled, and print the ports."""
    clock = MonotonicClock()
    store = StoreClient(host="127.0.0.1", port=store_port, clock=clock, timeout_ms=1_000.0)
    ports = []
    async with anyio.create_task_group() as group:
        for service in services:
            runner = LastingRunner(
                service=service,
                name=base._choose_name(),  # noqa: SLF001
                rng=random.Random(),
                clock=clock,
            )
            routes = {
                "POST /coltsfootpier/run-start": runner.handle_call(runner.start_run),
                "POST /coltsfootpier/run-stop": runner.handle_call(runner.stop_run),
                "POST /coltsfootpier/pace": runner.handle_call(runner.accept_pace),
                "POST /coltsfootpier/hold": runner.handle_call(runner.extend_lease),
                "GET /history": runner.read_history,
            }
            server = Server(
                app=Application(routes=routes, max_body_bytes=100_000), host="127.0.0.1", port=0
            )
            port = await group.start(server.run)
            ports.append(port)
            group.start_soon(runner.run)
            platform = HttptoolsConnection(host="127.0.0.1", port=store_port)
            group.start_soon(runner.register, store, platform, port)
        print("ports=" + ",".join(map(str, ports)), flush=True)


def _run(_: list[str]) -> int:
    anyio.run(serve, flags.FLAGS.store, flags.FLAGS.services)
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("store", 0, "TCP port of the store on the loopback address.")
    flags.DEFINE_list("services", ["web"], "Service of each runner.")
    sys.exit(app.run(_run))
