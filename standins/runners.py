"""Stand-in for the users' runners: runs tasks as timers under leases and fencing tokens.

A task's payload is ``run_ms=N``, or ``run_ms=N fail`` for one that fails at its end. The runners
enter themselves in the store of `standins.platform`. ``GET /history`` of a runner returns each
run with its begin and end on the clock of the process. ``POST /end`` ends the runner's life; a new
one begins on the same VM after `standins.vms.UPKEEP_MS`.
"""

from __future__ import annotations

import re
import secrets
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
import orjson
from absl import app, flags
from returns.result import Success

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.platform import StoreClient, Write
from coltsfootpier.transport import (
    Application,
    HttpRequest,
    HttpResponse,
    LeanConnection,
    Server,
)
from standins.vms import UPKEEP_MS

_HEARTBEAT_MS = 500.0
_TICK_MS = 10.0
_CPU_MILLI = 8_000
_MEMORY_MB = 16_000
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
_RUN_MS = re.compile(r"run_ms=(\d+)")


@attrs.define
class _Run:
    task: str
    attempt: int
    begin_ms: float
    end_ms: float
    fails: bool


class Runner:
    """One runner.

    Parameters
    ----------
    name : str
        Identifier.
    """

    def __init__(self, *, name: str) -> None:
        self._clock = MonotonicClock()
        self.history: list[dict[str, Any]] = []
        self._ended = anyio.Event()
        # False while its VM has its upkeep.
        self.is_up = True
        self._begin_life(name)

    def _begin_life(self, name: str) -> None:
        """Begin with nothing, under a new identifier."""
        self.name = name
        self._born_ms = self._clock.now_ms()
        self.born_unix_ms = int(time.time() * 1000)
        self._token = 0
        self._deadline_ms = 0.0
        self._runs: dict[str, _Run] = {}
        self._ends: list[list[Any]] = []
        self._last_end = 0
        # Highest attempt of each task that was stopped or has ended.
        self._barred: dict[str, int] = {}

    async def end_life(self, _: HttpRequest) -> HttpResponse:
        """End everything at once, as the upkeep of a VM does."""
        for run in list(self._runs.values()):
            self._end(run, "killed")
        # Ends that nobody has acknowledged are lost with the runner.
        for row in self.history:
            row.setdefault("lost", not row["observed"])
        self.is_up = False
        self._begin_life(f"i-{secrets.token_hex(5)}")
        return HttpResponse.of({})

    def _now_ms(self) -> float:
        return self._clock.now_ms() - self._born_ms

    def _is_meant(self, request: HttpRequest) -> bool:
        """Return whether a call is for this life of the runner."""
        wanted = request.header(b"expect-instance")
        return self.is_up and wanted in ("", self.name)

    def guard(self, call: Handler) -> Handler:
        """Refuse calls that are for another life of the runner."""

        async def answer(request: HttpRequest) -> HttpResponse:
            return await call(request) if self._is_meant(request) else self._answer(421)

        return answer

    def _answer(self, status: int = 200, **fields: Any) -> HttpResponse:
        fields = {"clock_ms": int(self._now_ms()), "born": self.born_unix_ms, **fields}
        return HttpResponse.of(fields, status)

    def _take_token(self, body: dict[str, Any]) -> bool:
        token = body.get("fencing_token", 0)
        if token < self._token:
            return False
        self._token = token
        return True

    async def start(self, request: HttpRequest) -> HttpResponse:
        """Start a run."""
        body = orjson.loads(request.body)
        if not self._take_token(body):
            return self._answer(409, reason="fence")
        task, attempt, now_ms = body["task"], body["attempt"], self._now_ms()
        present = self._runs.get(task)
        if present is not None and present.attempt == attempt:
            return self._answer()
        if attempt <= self._barred.get(task, 0):
            return self._answer(409, reason="old")
        if body["deadline_ms"] <= now_ms:
            return self._answer(409, reason="late")
        self._deadline_ms = max(self._deadline_ms, body["deadline_ms"])
        found = _RUN_MS.search(body["spec"])
        duration_ms = float(found.group(1)) if found else 100.0
        self._runs[task] = _Run(task, attempt, now_ms, now_ms + duration_ms, "fail" in body["spec"])
        return self._answer()

    async def stop(self, request: HttpRequest) -> HttpResponse:
        """Stop a run, or bar it."""
        body = orjson.loads(request.body)
        if not self._take_token(body):
            return self._answer(409, reason="fence")
        task, attempt = body["task"], body["attempt"]
        self._barred[task] = max(attempt, self._barred.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.attempt <= attempt:
            self._end(run, "stopped")
        return self._answer()

    async def pace(self, request: HttpRequest) -> HttpResponse:
        """Accept a pace; the stand-in's tasks are timers and don't change."""
        accepted = self._take_token(orjson.loads(request.body))
        return self._answer() if accepted else self._answer(409, reason="fence")

    async def hold(self, request: HttpRequest) -> HttpResponse:
        """Extend what runs and list it."""
        body = orjson.loads(request.body)
        if not self._take_token(body):
            return self._answer(409, reason="fence")
        observed = body.get("observed", 0)
        self._ends = [end for end in self._ends if end[0] > observed]
        for row in self.history:
            row["observed"] = row["observed"] or row["number"] <= observed
        self._deadline_ms = max(self._deadline_ms, body.get("deadline_ms", 0))
        if not self._ends and body.get("wait_ms"):
            with anyio.move_on_after(body["wait_ms"] / 1000):
                await self._ended.wait()
        now_ms = self._now_ms()
        running = [
            [run.task, run.attempt, "", int(100 * self._share_done(run, now_ms)), 0]
            for run in self._runs.values()
        ]
        return self._answer(running=running, ended=self._ends[:500])

    def _share_done(self, run: _Run, now_ms: float) -> float:
        return min(0.99, (now_ms - run.begin_ms) / max(1.0, run.end_ms - run.begin_ms))

    async def read_history(self, _: HttpRequest) -> HttpResponse:
        """Return the runs that have ended and those that are present."""
        present = [
            {
                "task": run.task,
                "attempt": run.attempt,
                "begin_ms": self._born_ms + run.begin_ms,
            }
            for run in self._runs.values()
        ]
        return HttpResponse.of({"ended": self.history, "present": present})

    def _end(self, run: _Run, how: str) -> None:
        del self._runs[run.task]
        self._barred[run.task] = max(run.attempt, self._barred.get(run.task, 0))
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.attempt, how, ""])
        born_ms = self._born_ms
        self.history.append(
            {
                "task": run.task,
                "attempt": run.attempt,
                "how": how,
                "begin_ms": born_ms + run.begin_ms,
                "end_ms": born_ms + self._now_ms(),
                "number": self._last_end,
                "observed": False,
            }
        )
        self._ended.set()
        self._ended = anyio.Event()

    async def run(self) -> None:
        """End runs whose time or lease is over, until cancelled."""
        while True:
            await anyio.sleep(_TICK_MS / 1000)
            now_ms = self._now_ms()
            for run in list(self._runs.values()):
                if now_ms >= self._deadline_ms:
                    self._end(run, "lapsed")
                elif now_ms >= run.end_ms:
                    self._end(run, "failed" if run.fails else "done")

    async def _tell_platform(self, platform: LeanConnection, vm: str, port: int) -> None:
        body = orjson.dumps({"id": vm, "runner": self.name, "port": port})
        told = await platform.exchange("POST", "/worker", body=body, timeout_ms=5_000)
        if not isinstance(told, Success):
            print(f"platform not told: {told}", file=sys.stderr, flush=True)

    async def register(self, store: StoreClient, platform: LeanConnection, port: int) -> None:
        """Write the registry's entry again and again, until cancelled."""
        sequence, entered = 0, ""
        vm = f"m-{port}"
        while True:
            if not self.is_up:
                await store.commit(expect={}, remove=[f"servers/{entered}"])
                await anyio.sleep(UPKEEP_MS / 1000)
                self.is_up = True
            if entered != self.name:
                entered = self.name
                await self._tell_platform(platform, vm, port)
            sequence += 1
            entry = {
                "service": "web",
                "address": f"127.0.0.1:{port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": _CPU_MILLI, "mem_mb": _MEMORY_MB, "gpu": 0},
                "labels": ["a", "r1"],
                "seq": sequence,
                "born": self.born_unix_ms,
            }
            key = f"servers/{self.name}"
            result = await store.commit(expect={}, puts=[Write(key, orjson.dumps(entry))])
            if not isinstance(result, Success):
                print(f"entry not written: {result}", file=sys.stderr, flush=True)
            await anyio.sleep(_HEARTBEAT_MS / 1000)


async def serve(store_port: int, count: int) -> None:
    """Serve `count` runners until cancelled; prints their ports."""
    clock = MonotonicClock()
    store = StoreClient(host="127.0.0.1", port=store_port, clock=clock, timeout_ms=1_000.0)
    ports = []
    async with anyio.create_task_group() as group:
        for _ in range(count):
            runner = Runner(name=f"i-{secrets.token_hex(5)}")
            routes = {
                "POST /coltsfootpier/run-start": runner.guard(runner.start),
                "POST /coltsfootpier/run-stop": runner.guard(runner.stop),
                "POST /coltsfootpier/pace": runner.guard(runner.pace),
                "POST /coltsfootpier/hold": runner.guard(runner.hold),
                "POST /end": runner.end_life,
                "GET /history": runner.read_history,
            }
            server = Server(
                app=Application(routes=routes, max_body=100_000), host="127.0.0.1", port=0
            )
            port = await group.start(server.run)
            ports.append(port)
            group.start_soon(runner.run)
            platform = LeanConnection(host="127.0.0.1", port=store_port)
            group.start_soon(runner.register, store, platform, port)
        print("ports=" + ",".join(map(str, ports)), flush=True)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    anyio.run(serve, options.store, options.count, backend_options={"use_uvloop": True})
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("store", 0, "TCP port of the store on the loopback address.")
    flags.DEFINE_integer("count", 1, "Number of runners.")
    sys.exit(app.run(_run))
