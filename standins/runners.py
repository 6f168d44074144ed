"""Stand-in for the users' runners: runs tasks as timers under leases and fencing tokens.

A task's payload is ``run_ms=N``, or ``run_ms=N fail`` for a task that fails when its time is over.
The runners register in the store of `standins.platform`. Requests outside of ``/coltsfootpier/``
control the stand-in itself:

* ``GET /history`` returns each run as a row for `standins.histories.parse_records`.
* ``POST /end`` ends the incarnation of the runner; a new one with another id starts on the same VM
  after `standins.vms.MAINTENANCE_MS`.
* ``POST /restart`` with ``down_ms``, ``keep_id`` and ``hidden_ms`` crashes the runner, which starts
  again under its id or another one, and can't reach the store for a time.
* ``POST /crash`` ends the incarnation for good and returns the history.
* ``POST /faults`` with ``late_share``, ``late_range_ms`` and ``late_calls`` (such as ``hold``)
  leaves that share of these calls without a response, and carries them out after a random time. If
  ``late_range_ms`` is null, they wait for ``POST /release``; ``GET /held`` returns how many do. The
  next incarnation carries out a call that is due while the runner is down.
"""

from __future__ import annotations

import asyncio
import random
import re
import secrets
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import attrs
import orjson
from absl import app, flags
from returns.result import Success
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from coltsfootpier.clock import Clock, MonotonicClock
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
# Heartbeats without a report after which the platform removes an entry of the registry.
_MAX_MISSED_HEARTBEATS = 3
_TICK_MS = 10.0
# Time without a tick that shows that the process was frozen.
_STALL_MS = 200.0
_CPU_MILLI = 8_000
_MEMORY_MB = 16_000
# Time in which a call may arrive late.
_MAX_LATE_MS = 12_000.0
# Rates of the runners' clocks, of which the slowest is the platform's bound.
_CLOCK_RATES = (0.98, 1.0)
# Time after which a call without a response is given up; every caller's timeout is shorter.
_UNANSWERED_MS = 20_000.0
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
_RUN_MS_PATTERN = re.compile(r"run_ms=(\d+)")


@attrs.define
class _Run:
    """Run of a task, with times on the clock of the machine."""

    task: str
    attempt: int
    token: int
    begin_ms: float
    end_ms: float
    fails: bool
    # Time at which a stop has ended the run.
    stop_ms: float = float("inf")


class Runner:
    """A runner that starts a new incarnation after a crash or the maintenance of its VM.

    Parameters
    ----------
    name : str
        Name of the first incarnation.
    rng : random.Random
        Chooses the rate of the clock, the durations of stops and the calls that are late.
    clock : Clock
        Clock of the machine.
    max_lease_ms : float, default=10_000
        Longest lease that a deadline gives, on the runner's clock.
    stop_grace_ms : float, default=200
        Longest time that a stop takes.

    Attributes
    ----------
    history : list of dict
        Ended runs of all incarnations, in the format of ``GET /history``.
    is_up : bool
        False while its VM is in maintenance, and after a crash.
    """

    def __init__(
        self,
        *,
        name: str,
        rng: random.Random,
        clock: Clock,
        max_lease_ms: float = 10_000.0,
        stop_grace_ms: float = 200.0,
    ) -> None:
        self._clock = clock
        self._max_lease_ms, self._stop_grace_ms = max_lease_ms, stop_grace_ms
        self._rng = rng
        self._clock_rate = rng.choice(_CLOCK_RATES)
        self.history: list[dict[str, Any]] = []
        self._run_ended = anyio.Event()
        self._next_name = ""
        self._restart_ms = float("inf")
        # Time until which the runner can't reach the store.
        self._hidden_until_ms = float("-inf")
        # Whether the platform knows that the runner is down.
        self._is_crashed = False
        self._late_share, self._late_calls = 0.0, ()
        # Range of the delay of late calls; None if they wait for `_released`.
        self._late_range_ms: tuple[float, float] | None = None
        self._released = anyio.Event()
        self._held_count = 0
        # Transports of the open connections.
        self.connections: set[asyncio.Transport] = set()
        # Those of a crashed incarnation, to be reset.
        self._crashed_connections: set[asyncio.Transport] = set()
        self.is_up = True
        self._start_incarnation(name)

    def _start_incarnation(self, name: str) -> None:
        """Reset all state except the history and adopt the name of a new incarnation."""
        self.name = name
        self._incarnation_start_ms = self._clock.now_ms()
        # Two incarnations never start in the same millisecond.
        self.start_unix_ms = max(int(time.time() * 1000), getattr(self, "start_unix_ms", 0) + 1)
        self._highest_token = 0
        # End of the lease, which all runs share, on the clock of the machine.
        self._lease_until_ms = 0.0
        self._runs: dict[tuple[str, int], _Run] = {}
        # Ended runs that no owner has acknowledged, as rows of the response of `extend_lease`.
        self._ended_runs: list[list[Any]] = []
        self._last_ended_number = 0
        # Index in the history of the first run of the incarnation.
        self._first_record = len(self.history)
        # Highest attempt of each task that was stopped or has ended; starts up to it are rejected.
        self._highest_ended_attempts: dict[str, int] = {}

    def _end_incarnation(self, *, next_name: str, down_ms: float) -> None:
        """Kill all runs at once; the next incarnation starts after a time."""
        now_ms = self._clock.now_ms()
        self._apply_due_ends()
        for run in list(self._runs.values()):
            self._end_run(run, "killed", now_ms)
        # Ended runs that no owner has acknowledged are lost with the incarnation.
        for record in self.history[self._first_record :]:
            record["lost"] = record["acknowledged_ms"] is None
        self.is_up = False
        self._next_name, self._restart_ms = next_name, now_ms + down_ms
        # Reset by the next tick, after the response to the call that ends the incarnation.
        self._crashed_connections |= self.connections

    async def maintain(self, _: HttpRequest) -> HttpResponse:
        """End the incarnation as the maintenance of its VM does."""
        if self.is_up:
            self._end_incarnation(next_name=_choose_name(), down_ms=MAINTENANCE_MS)
        return HttpResponse.from_message({})

    async def restart(self, request: HttpRequest) -> HttpResponse:
        """Crash, and start again under the same id or another one."""
        body = orjson.loads(request.body)
        if self.is_up:
            self._is_crashed = True
            name = self.name if body["keep_id"] else _choose_name()
            self._end_incarnation(next_name=name, down_ms=body["down_ms"])
            self._hidden_until_ms = self._clock.now_ms() + body["hidden_ms"]
        return HttpResponse.from_message({})

    async def crash(self, request: HttpRequest) -> HttpResponse:
        """End the incarnation for good and return the history."""
        if self.is_up:
            self._end_incarnation(next_name="", down_ms=float("inf"))
        self._restart_ms = float("inf")
        return await self.read_history(request)

    async def set_faults(self, request: HttpRequest) -> HttpResponse:
        """Replace the injected faults."""
        body = orjson.loads(request.body)
        self._late_share, self._late_range_ms = body["late_share"], body["late_range_ms"]
        self._late_calls = tuple(body["late_calls"])
        return HttpResponse.from_message({})

    async def count_held(self, _: HttpRequest) -> HttpResponse:
        """Return the number of late calls that wait for `release`."""
        return HttpResponse.from_message({"count": self._held_count})

    async def release(self, _: HttpRequest) -> HttpResponse:
        """Carry out the late calls that have no time of their own."""
        self._released.set()
        self._released = anyio.Event()
        return HttpResponse.from_message({})

    def _read_clock_ms(self) -> float:
        """Return the time on the runner's clock, which starts with the incarnation."""
        return (self._clock.now_ms() - self._incarnation_start_ms) * self._clock_rate

    def handle_call(self, handler: Handler) -> Handler:
        """Wrap a handler of owners' calls, so that they fail as on the users' platform.

        Calls to another incarnation get status 421, and calls to a crashed runner get no response.
        """

        async def handle(request: HttpRequest) -> HttpResponse:
            is_late = (
                request.path.endswith(self._late_calls) and self._rng.random() < self._late_share
            )
            if is_late:
                await self._delay_call()
            start_unix_ms = self.start_unix_ms
            response = None
            if self.is_up:
                self._apply_due_ends()
                is_addressed = request.header(b"expect-instance") in ("", self.name)
                response = await handler(request) if is_addressed else self._build_response(421)
            elif not self._is_crashed:
                return self._build_response(421)
            if is_late or not self.is_up or start_unix_ms != self.start_unix_ms:
                await anyio.sleep(_UNANSWERED_MS / 1000)
            return response or self._build_response(503)

        return handle

    async def _delay_call(self) -> None:
        """Wait until a late call is due and the runner is up, or until it is lost."""
        with anyio.move_on_after(_MAX_LATE_MS / 1000):
            if self._late_range_ms is None:
                self._held_count += 1
                try:
                    await self._released.wait()
                finally:
                    self._held_count -= 1
            else:
                await anyio.sleep(self._rng.uniform(*self._late_range_ms) / 1000)
            while not self.is_up:
                await anyio.sleep(_TICK_MS / 1000)

    def _build_response(self, status: int = 200, **fields: Any) -> HttpResponse:
        fields = {"clock_ms": int(self._read_clock_ms()), "born": self.start_unix_ms, **fields}
        return HttpResponse.from_message(fields, status)

    def _accept_token(self, body: dict[str, Any]) -> bool:
        """Record the fencing token of a request; return False if a higher one was recorded."""
        token = body.get("fencing_token", 0)
        if token < self._highest_token:
            return False
        self._highest_token = token
        return True

    def _extend_lease_until(self, deadline_ms: float) -> None:
        """Extend the lease to a time on the runner's clock, by the longest lease at most."""
        duration_ms = (
            min(deadline_ms - self._read_clock_ms(), self._max_lease_ms) / self._clock_rate
        )
        self._lease_until_ms = max(self._lease_until_ms, self._clock.now_ms() + duration_ms)

    async def start_run(self, request: HttpRequest) -> HttpResponse:
        """Start a run unless its fencing token, attempt or lease is outdated."""
        body = orjson.loads(request.body)
        if not self._accept_token(body):
            return self._build_response(409, reason="fence")
        task, attempt = body["task"], body["attempt"]
        self._extend_lease_until(body["deadline_ms"])
        if (task, attempt) in self._runs:
            return self._build_response()
        if attempt <= self._highest_ended_attempts.get(task, 0):
            return self._build_response(409, reason="old")
        if body["deadline_ms"] <= self._read_clock_ms():
            return self._build_response(409, reason="late")
        match = _RUN_MS_PATTERN.search(body["spec"])
        duration_ms = float(match.group(1)) if match else 100.0
        now_ms = self._clock.now_ms()
        self._runs[task, attempt] = _Run(
            task=task,
            attempt=attempt,
            token=body.get("fencing_token", 0),
            begin_ms=now_ms,
            end_ms=now_ms + duration_ms,
            fails="fail" in body["spec"],
        )
        return self._build_response()

    async def stop_run(self, request: HttpRequest) -> HttpResponse:
        """Stop a run, and reject later starts of the same or an older attempt."""
        body = orjson.loads(request.body)
        if not self._accept_token(body):
            return self._build_response(409, reason="fence")
        task, attempt = body["task"], body["attempt"]
        self._highest_ended_attempts[task] = max(attempt, self._highest_ended_attempts.get(task, 0))
        for run in self._runs.values():
            if run.task == task and run.attempt <= attempt:
                stop_ms = self._clock.now_ms() + self._rng.uniform(0.0, self._stop_grace_ms)
                run.stop_ms = min(run.stop_ms, stop_ms)
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
        self._acknowledge(body.get("observed", 0))
        if "deadline_ms" in body:
            self._extend_lease_until(body["deadline_ms"])
        if not self._ended_runs and body.get("wait_ms"):
            with anyio.move_on_after(body["wait_ms"] / 1000):
                await self._run_ended.wait()
        now_ms = self._clock.now_ms()
        running = [
            [run.task, run.attempt, "", int(100 * self._compute_progress_share(run, now_ms)), 0]
            for run in self._runs.values()
        ]
        return self._build_response(running=running, ended=self._ended_runs[:500])

    def _acknowledge(self, observed: int) -> None:
        self._ended_runs = [ended_run for ended_run in self._ended_runs if ended_run[0] > observed]
        for record in self.history[self._first_record :]:
            if record["number"] <= observed and record["acknowledged_ms"] is None:
                record["acknowledged_ms"] = self._clock.now_ms()

    def _compute_progress_share(self, run: _Run, now_ms: float) -> float:
        return min(0.99, (now_ms - run.begin_ms) / max(1.0, run.end_ms - run.begin_ms))

    async def read_history(self, _: HttpRequest) -> HttpResponse:
        """Return the ended and the current runs."""
        self._apply_due_ends()
        present = [self._describe_run(run) for run in self._runs.values()]
        return HttpResponse.from_message({"runs": self.history + present})

    def _describe_run(self, run: _Run) -> dict[str, Any]:
        return {
            "task": run.task,
            "attempt": run.attempt,
            "runner": self.name,
            "born": self.start_unix_ms,
            "token": run.token,
            "begin_ms": run.begin_ms,
        }

    def _end_run(self, run: _Run, how: str, end_ms: float) -> None:
        del self._runs[run.task, run.attempt]
        self._highest_ended_attempts[run.task] = max(
            run.attempt, self._highest_ended_attempts.get(run.task, 0)
        )
        self._last_ended_number += 1
        self._ended_runs.append([self._last_ended_number, run.task, run.attempt, how, ""])
        self.history.append(
            {
                **self._describe_run(run),
                "how": how,
                "end_ms": end_ms,
                "number": self._last_ended_number,
                "acknowledged_ms": None,
                "lapsed": False,
                "lost": False,
            }
        )
        self._run_ended.set()
        self._run_ended = anyio.Event()

    def _apply_due_ends(self) -> None:
        """End the runs whose time is over or whose lease has expired, each at its exact time.

        The process may be frozen or slow, so the next check can be later than the end.
        """
        now_ms = self._clock.now_ms()
        if not self.is_up:
            return
        ends = []
        for run in self._runs.values():
            own_end = (run.end_ms, "failed" if run.fails else "done")
            ends.append(
                (*min((self._lease_until_ms, "lapsed"), (run.stop_ms, "stopped"), own_end), run)
            )
        for end_ms, how, run in sorted(ends, key=lambda end: end[0]):
            if end_ms <= now_ms:
                self._end_run(run, how, end_ms)
        if now_ms >= self._lease_until_ms:
            for record in self.history[self._first_record :]:
                record["lapsed"] = record["lapsed"] or record["acknowledged_ms"] is None

    async def run(self) -> None:
        """End runs that are due, and start the next incarnation, until cancelled."""
        checked_ms = self._clock.now_ms()
        while True:
            await anyio.sleep(_TICK_MS / 1000)
            self._apply_due_ends()
            if self._clock.now_ms() - checked_ms > _STALL_MS:
                # The process was frozen. Calls that arrived meanwhile were sent to a crashed runner
                # and are read before it starts again.
                self._restart_ms = max(self._restart_ms, self._clock.now_ms() + _STALL_MS)
            checked_ms = self._clock.now_ms()
            while self._crashed_connections:
                self._crashed_connections.pop().abort()
            if not self.is_up and self._clock.now_ms() >= self._restart_ms:
                self._restart_ms = float("inf")
                self._start_incarnation(self._next_name)
                self.is_up, self._is_crashed = True, False

    async def _report_to_platform(
        self, platform: HttptoolsConnection, vm: str, name: str, port: int
    ) -> None:
        body = orjson.dumps({"id": vm, "runner": name, "port": port})
        reported = await platform.exchange("POST", "/worker", body=body, timeout_ms=5_000)
        if not isinstance(reported, Success):
            print(
                f"registration with the VM service failed: {reported}", file=sys.stderr, flush=True
            )

    async def register(self, store: StoreClient, platform: HttptoolsConnection, port: int) -> None:
        """Refresh the registry entry of the runner periodically until cancelled.

        The entry of a runner whose VM is in maintenance is removed at once, and the one of a runner
        that crashed or can't reach the store after some missed heartbeats. The platform knows
        which runner is up on the VM in any case.
        """
        vm, reported = f"m-{port}", None
        sequence, entry_name, entry_born, written_ms = 0, "", 0, float("-inf")
        while True:
            now_ms = self._clock.now_ms()
            if self.is_up and reported != (self.name, self.start_unix_ms):
                reported = (self.name, self.start_unix_ms)
                await self._report_to_platform(platform, vm, self.name, port)
            elif self._is_crashed and reported is not None:
                reported = None
                await self._report_to_platform(platform, vm, "", port)
            silence_ms = now_ms - written_ms
            can_write = self.is_up and now_ms >= self._hidden_until_ms
            is_replaced = can_write and entry_name != self.name
            is_in_maintenance = not self.is_up and not self._is_crashed
            is_overdue = silence_ms >= _MAX_MISSED_HEARTBEATS * _HEARTBEAT_MS
            if entry_name and (is_replaced or is_in_maintenance or (is_overdue and not can_write)):
                await store.commit(expect={}, remove=[f"servers/{entry_name}"])
                entry_name = ""
            if can_write and (
                entry_born != self.start_unix_ms or not entry_name or silence_ms >= _HEARTBEAT_MS
            ):
                sequence = sequence + 1 if entry_born == self.start_unix_ms else 1
                entry_name, entry_born, written_ms = self.name, self.start_unix_ms, now_ms
                await self._write_entry(store, port, sequence)
            await anyio.sleep(_TICK_MS / 1000)

    async def _write_entry(self, store: StoreClient, port: int, sequence: int) -> None:
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


def _choose_name() -> str:
    return f"i-{secrets.token_hex(5)}"


def _build_protocol(runner: Runner) -> type[HttpToolsProtocol]:
    """Build the protocol class of a runner, whose connections end with its incarnation.

    Otherwise a new incarnation would receive what was sent to an earlier one and not read by it.
    """

    class IncarnationProtocol(HttpToolsProtocol):
        def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
            self._born = runner.start_unix_ms
            runner.connections.add(transport)
            super().connection_made(transport)

        def connection_lost(self, exc: Exception | None) -> None:
            runner.connections.discard(self.transport)
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            if self._born == runner.start_unix_ms:
                super().data_received(data)
            else:
                self.transport.abort()

    return IncarnationProtocol


async def serve(
    store_port: int, count: int, seed: int, *, max_lease_ms: float, stop_grace_ms: float
) -> None:
    """Serve `count` runners until cancelled, and print their ports."""
    clock = MonotonicClock()
    store = StoreClient(host="127.0.0.1", port=store_port, clock=clock, timeout_ms=1_000.0)
    ports = []
    async with anyio.create_task_group() as group:
        for number in range(count):
            runner = Runner(
                name=_choose_name(),
                rng=random.Random(f"{seed}/{number}"),
                clock=clock,
                max_lease_ms=max_lease_ms,
                stop_grace_ms=stop_grace_ms,
            )
            routes = {
                "POST /coltsfootpier/run-start": runner.handle_call(runner.start_run),
                "POST /coltsfootpier/run-stop": runner.handle_call(runner.stop_run),
                "POST /coltsfootpier/pace": runner.handle_call(runner.accept_pace),
                "POST /coltsfootpier/hold": runner.handle_call(runner.extend_lease),
                "POST /end": runner.maintain,
                "POST /restart": runner.restart,
                "POST /crash": runner.crash,
                "POST /faults": runner.set_faults,
                "GET /held": runner.count_held,
                "POST /release": runner.release,
                "GET /history": runner.read_history,
            }
            server = Server(
                app=Application(routes=routes, max_body_bytes=100_000),
                host="127.0.0.1",
                port=0,
                protocol=_build_protocol(runner),  # type: ignore[arg-type]
            )
            port = await group.start(server.run)
            ports.append(port)
            group.start_soon(runner.run)
            platform = HttptoolsConnection(host="127.0.0.1", port=store_port)
            group.start_soon(runner.register, store, platform, port)
        print("ports=" + ",".join(map(str, ports)), flush=True)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    serve_runners = partial(
        serve, max_lease_ms=options.max_lease_ms, stop_grace_ms=options.stop_grace_ms
    )
    anyio.run(
        serve_runners,
        options.store,
        options.count,
        options.seed,
        backend_options={"use_uvloop": True},
    )
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("store", 0, "TCP port of the store on the loopback address.")
    flags.DEFINE_integer("count", 1, "Number of runners.")
    flags.DEFINE_integer("seed", 0, "Seed of the runners' own random choices.")
    flags.DEFINE_float("max_lease_ms", 10_000.0, "Longest lease that a deadline gives, in ms.")
    flags.DEFINE_float("stop_grace_ms", 200.0, "Longest time that a stop takes, in ms.")
    sys.exit(app.run(_run))
