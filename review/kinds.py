"""Stand-in for runners of several kinds, whose next incarnation may be of another kind.

It adds to `standins.runners`: the first label is the kind, ``POST /kind`` sets the kind of the next
incarnation, and ``GET /kinds`` returns the kinds by id and start of the incarnation. A runner's
entry in the registry names its kind from the first write of an incarnation on. ``maintenance_ms``
is the time that the maintenance of a VM takes.
"""

from __future__ import annotations

import sys
from typing import Any

import anyio
import orjson
from absl import app, flags
from returns.result import Success

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


class KindRunner(base.Runner):
    """A runner whose incarnations have a kind."""

    def __init__(self, *, kind: str, maintenance_ms: float, **keywords: Any) -> None:
        self.kind = self._next_kind = kind
        self._maintenance_ms = maintenance_ms
        self._kinds: dict[str, str] = {}
        super().__init__(**keywords)

    def _start_incarnation(self, name: str) -> None:
        super()._start_incarnation(name)
        self.kind = self._next_kind
        self._kinds[f"{self.name}/{self.start_unix_ms}"] = self.kind

    async def set_next_kind(self, request: HttpRequest) -> HttpResponse:
        """Set the kind of the next incarnation."""
        self._next_kind = orjson.loads(request.body)["kind"]
        return HttpResponse.from_message({})

    async def read_kinds(self, _: HttpRequest) -> HttpResponse:
        """Return the kind of each incarnation by its id and start."""
        return HttpResponse.from_message(self._kinds)

    async def maintain(self, _: HttpRequest) -> HttpResponse:
        """End the incarnation as the maintenance of its VM does."""
        if self.is_up:
            self._end_incarnation(
                next_name=base._choose_name(), down_ms=self._maintenance_ms  # noqa: SLF001
            )
        return HttpResponse.from_message({})

    async def _write_entry(self, store: StoreClient, port: int, sequence: int) -> None:
        entry = {
            "service": "web",
            "address": f"127.0.0.1:{port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 8_000, "mem_mb": 16_000, "gpu": 0},
            "labels": [self.kind, "r1"],
            "seq": sequence,
            "born": self.start_unix_ms,
        }
        write = Write(f"servers/{self.name}", orjson.dumps(entry))
        result = await store.commit(expect={}, puts=[write])
        if not isinstance(result, Success):
            print(f"registry entry not written: {result}", file=sys.stderr, flush=True)


async def serve(store_port: int, kinds: list[str], maintenance_ms: float) -> None:
    """Serve a runner of each kind until cancelled, and print the ports."""
    clock = MonotonicClock()
    store = StoreClient(host="127.0.0.1", port=store_port, clock=clock, timeout_ms=1_000.0)
    ports = []
    async with anyio.create_task_group() as group:
        for kind in kinds:
            runner = KindRunner(
                kind=kind,
                maintenance_ms=maintenance_ms,
                name=base._choose_name(),  # noqa: SLF001
                rng=base.random.Random(len(ports)),
                clock=clock,
            )
            routes = {
                "POST /coltsfootpier/run-start": runner.handle_call(runner.start_run),
                "POST /coltsfootpier/run-stop": runner.handle_call(runner.stop_run),
                "POST /coltsfootpier/pace": runner.handle_call(runner.accept_pace),
                "POST /coltsfootpier/hold": runner.handle_call(runner.extend_lease),
                "POST /end": runner.maintain,
                "POST /restart": runner.restart,
                "POST /kind": runner.set_next_kind,
                "GET /history": runner.read_history,
                "GET /kinds": runner.read_kinds,
            }
            server = Server(
                app=Application(routes=routes, max_body_bytes=100_000),
                host="127.0.0.1",
                port=0,
                protocol=base._build_protocol(runner),  # noqa: SLF001
            )
            port = await group.start(server.run)
            ports.append(port)
            group.start_soon(runner.run)
            platform = HttptoolsConnection(host="127.0.0.1", port=store_port)
            group.start_soon(runner.register, store, platform, port)
        print("ports=" + ",".join(map(str, ports)), flush=True)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    anyio.run(serve, options.store, options.kinds, options.maintenance_ms)
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("store", 0, "TCP port of the store on the loopback address.")
    flags.DEFINE_list("kinds", ["a"], "Kind of each runner.")
    flags.DEFINE_float("maintenance_ms", 2_000.0, "Duration of the maintenance of a VM in ms.")
    sys.exit(app.run(_run))
