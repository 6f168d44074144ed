"""Stand-in for the users' runners: runs tasks as timers under leases and fencing tokens.

A task's payload is ``run_ms=N``, or ``run_ms=N fail`` for a task that fails when its time is over.
The runners register in the store of `standins.platform`. ``GET /history`` of a runner returns each
run with its start and end times on the clock of the process. ``POST /end`` ends the incarnation of
the runner; a new one starts on the same VM after `standins.vms.MAINTENANCE_MS`.
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
    HttptoolsConnection,
    Server,
)
from standins.vms import MAINTENANCE_MS

_HEARTBEAT_MS = 500.0
_TICK_MS = 10.0
_CPU_MILLI = 8_000
_MEMORY_MB = 16_000
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
_RUN_MS_PATTERN = re.compile(r"run_ms=(\d+)")


@attrs.define
class _Run:
    task: str
    attempt: int
    start_ms: float
    end_ms: float
    fails: bool


class Runner:
    """A runner that starts a new incarnation, with another name, after each maintenance of its VM.

    Parameters
    ----------
    name : str
        Name of the first incarnation.

    Attributes
    ----------
    history : list of dict
        Ended runs of all incarnations, in the format of ``GET /history``.
    is_up : bool
        False while its VM is in maintenance.
    """

    def __init__(self, *, name: str) -> None:
        self._clock = MonotonicClock()
        self.history: list[dict[str, Any]] = []
        self._run_ended = anyio.Event()
        self.is_up = True
        self._start_incarnation(name)

    def _start_incarnation(self, name: str) -> None:
        """Reset all state except the history and adopt the name of a new incarnation."""
        self.name = name
        self._incarnation_start_ms = self._clock.now_ms()
        self.start_unix_ms = int(time.time() * 1000)
        self._highest_token = 0
        # End of the lease, which all runs share.
        self._lease_until_ms = 0.0
        self._runs: dict[str, _Run] = {}
        # Ended runs that no owner has acknowledged, as rows of the response of `extend_lease`.
        self._ended_runs: list[list[Any]] = []
        self._last_ended_number = 0
        # Highest attempt of each task that was stopped or has ended; starts up to it are rejected.
        self._highest_ended_attempts: dict[str, int] = {}

    async def end_incarnation(self, _: HttpRequest) -> HttpResponse:
        """Kill all runs at once, as the maintenance of a VM does, and start a new incarnation."""
        for run in list(self._runs.values()):
            self._end_run(run, "killed")
        # Ended runs that no owner has acknowledged are lost with the incarnation.
        for run_record in self.history:
            run_record.setdefault("lost", not run_record["observed"])
        self.is_up = False
        self._start_incarnation(f"i-{secrets.token_hex(5)}")
        return HttpResponse.from_message({})

    def _now_ms(self) -> float:
        return self._clock.now_ms() - self._incarnation_start_ms

    def _is_addressed(self, request: HttpRequest) -> bool:
        """Return whether a request addresses the current incarnation."""
        expected_name = request.header(b"expect-instance")
        return self.is_up and expected_name in ("", self.name)

    def require_incarnation(self, handler: Handler) -> Handler:
        """Wrap a handler so that it rejects requests to another incarnation with status 421."""

        async def handle_if_addressed(request: HttpRequest) -> HttpResponse:
            return (
                await handler(request) if self._is_addressed(request) else self._build_response(421)
            )

        return handle_if_addressed

    def _build_response(self, status: int = 200, **fields: Any) -> HttpResponse:
        fields = {"clock_ms": int(self._now_ms()), "born": self.start_unix_ms, **fields}
        return HttpResponse.from_message(fields, status)

    def _accept_token(self, body: dict[str, Any]) -> bool:
        """Record the fencing token of a request; return False if a higher one was recorded."""
        token = body.get("fencing_token", 0)
        if token < self._highest_token:
            return False
        self._highest_token = token
        return True

    async def start_run(self, request: HttpRequest) -> HttpResponse:
        """Start a run unless its fencing token, attempt or lease is outdated."""
        body = orjson.loads(request.body)
        if not self._accept_token(body):
            return self._build_response(409, reason="fence")
        task, attempt, now_ms = body["task"], body["attempt"], self._now_ms()
        current_run = self._runs.get(task)
        if current_run is not None and current_run.attempt == attempt:
            return self._build_response()
        if attempt <= self._highest_ended_attempts.get(task, 0):
            return self._build_response(409, reason="old")
        if body["deadline_ms"] <= now_ms:
            return self._build_response(409, reason="late")
        self._lease_until_ms = max(self._lease_until_ms, body["deadline_ms"])
        match = _RUN_MS_PATTERN.search(body["spec"])
        duration_ms = float(match.group(1)) if match else 100.0
        self._runs[task] = _Run(task, attempt, now_ms, now_ms + duration_ms, "fail" in body["spec"])
        return self._build_response()

    async def stop_run(self, request: HttpRequest) -> HttpResponse:
        """Stop a run, and reject later starts of the same or an older attempt."""
        body = orjson.loads(request.body)
        if not self._accept_token(body):
            return self._build_response(409, reason="fence")
        task, attempt = body["task"], body["attempt"]
        self._highest_ended_attempts[task] = max(attempt, self._highest_ended_attempts.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.attempt <= attempt:
            self._end_run(run, "stopped")
        return self._build_response()

    async def accept_pace(self, request: HttpRequest) -> HttpResponse:
        """Accept a pace without effect, because the tasks of the stand-in are timers."""
        accepted = self._accept_token(orjson.loads(request.body))
        return self._build_response() if accepted else self._build_response(409, reason="fence")

    async def extend_lease(self, request: HttpRequest) -> HttpResponse:
        """Extend the lease of all runs, and return the running and the ended runs.

        If all ended runs are acknowledged, waits up to ``wait_ms`` for a run to end.
        """
        body = orjson.loads(request.body)
        if not self._accept_token(body):
            return self._build_response(409, reason="fence")
        observed = body.get("observed", 0)
        self._ended_runs = [ended_run for ended_run in self._ended_runs if ended_run[0] > observed]
        for run_record in self.history:
            run_record["observed"] = run_record["observed"] or run_record["number"] <= observed
        self._lease_until_ms = max(self._lease_until_ms, body.get("deadline_ms", 0))
        if not self._ended_runs and body.get("wait_ms"):
            with anyio.move_on_after(body["wait_ms"] / 1000):
                await self._run_ended.wait()
        now_ms = self._now_ms()
        running = [
            [run.task, run.attempt, "", int(100 * self._compute_progress_share(run, now_ms)), 0]
            for run in self._runs.values()
        ]
        return self._build_response(running=running, ended=self._ended_runs[:500])

    def _compute_progress_share(self, run: _Run, now_ms: float) -> float:
        return min(0.99, (now_ms - run.start_ms) / max(1.0, run.end_ms - run.start_ms))

    async def read_history(self, _: HttpRequest) -> HttpResponse:
        """Return the ended and the current runs."""
        current_runs = [
            {
                "task": run.task,
                "attempt": run.attempt,
                "begin_ms": self._incarnation_start_ms + run.start_ms,
            }
            for run in self._runs.values()
        ]
        return HttpResponse.from_message({"ended": self.history, "present": current_runs})

    def _end_run(self, run: _Run, outcome: str) -> None:
        del self._runs[run.task]
        self._highest_ended_attempts[run.task] = max(
            run.attempt, self._highest_ended_attempts.get(run.task, 0)
        )
        self._last_ended_number += 1
        self._ended_runs.append([self._last_ended_number, run.task, run.attempt, outcome, ""])
        incarnation_start_ms = self._incarnation_start_ms
        self.history.append(
            {
                "task": run.task,
                "attempt": run.attempt,
                "how": outcome,
                "begin_ms": incarnation_start_ms + run.start_ms,
                "end_ms": incarnation_start_ms + self._now_ms(),
                "number": self._last_ended_number,
                "observed": False,
            }
        )
        self._run_ended.set()
        self._run_ended = anyio.Event()

    async def run(self) -> None:
        """End runs whose time is over or whose lease has expired, until cancelled."""
        while True:
            await anyio.sleep(_TICK_MS / 1000)
            now_ms = self._now_ms()
            for run in list(self._runs.values()):
                if now_ms >= self._lease_until_ms:
                    self._end_run(run, "lapsed")
                elif now_ms >= run.end_ms:
                    self._end_run(run, "failed" if run.fails else "done")

    async def _report_to_platform(self, platform: HttptoolsConnection, vm: str, port: int) -> None:
        body = orjson.dumps({"id": vm, "runner": self.name, "port": port})
        reported = await platform.exchange("POST", "/worker", body=body, timeout_ms=5_000)
        if not isinstance(reported, Success):
            print(
                f"registration with the VM service failed: {reported}", file=sys.stderr, flush=True
            )

    async def register(self, store: StoreClient, platform: HttptoolsConnection, port: int) -> None:
        """Refresh the registry entry of the runner periodically until cancelled.

        After an incarnation ends, its entry is removed, and the next incarnation is registered once
        the maintenance of the VM is over.
        """
        sequence, registered_name = 0, ""
        vm = f"m-{port}"
        while True:
            if not self.is_up:
                await store.commit(expect={}, remove=[f"servers/{registered_name}"])
                await anyio.sleep(MAINTENANCE_MS / 1000)
                self.is_up = True
            if registered_name != self.name:
                registered_name = self.name
                await self._report_to_platform(platform, vm, port)
            sequence += 1
            registry_entry = {
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
                "born": self.start_unix_ms,
            }
            key = f"servers/{self.name}"
            result = await store.commit(expect={}, puts=[Write(key, orjson.dumps(registry_entry))])
            if not isinstance(result, Success):
                print(f"registry entry not written: {result}", file=sys.stderr, flush=True)
            await anyio.sleep(_HEARTBEAT_MS / 1000)


async def serve(store_port: int, count: int) -> None:
    """Serve `count` runners until cancelled, and print their ports."""
    clock = MonotonicClock()
    store = StoreClient(host="127.0.0.1", port=store_port, clock=clock, timeout_ms=1_000.0)
    ports = []
    async with anyio.create_task_group() as group:
        for _ in range(count):
            runner = Runner(name=f"i-{secrets.token_hex(5)}")
            routes = {
                "POST /coltsfootpier/run-start": runner.require_incarnation(runner.start_run),
                "POST /coltsfootpier/run-stop": runner.require_incarnation(runner.stop_run),
                "POST /coltsfootpier/pace": runner.require_incarnation(runner.accept_pace),
                "POST /coltsfootpier/hold": runner.require_incarnation(runner.extend_lease),
                "POST /end": runner.end_incarnation,
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
    options = flags.FLAGS
    anyio.run(serve, options.store, options.count, backend_options={"use_uvloop": True})
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("store", 0, "TCP port of the store on the loopback address.")
    flags.DEFINE_integer("count", 1, "Number of runners.")
    sys.exit(app.run(_run))
