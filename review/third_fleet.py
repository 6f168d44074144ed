"""Stand-in for the runners on worker VMs, and for the service that lists and maintains these VMs.

A task whose spec is ``lasting`` runs until it is stopped and is at work `STARTUP_MS` after its
start; any other takes the time that its spec ``run_ms=N`` names. The runners guard their capacity.
Maintenance ends all tasks of a VM at once. The VM doesn't respond for `MAINTENANCE_MS`; after that
a runner with a new id is up on it at the same address.

The port of the service also takes ``POST /delay`` with ``ms``, the time that each of its answers
takes from then on, ``POST /crash`` with ``machine`` and the arguments of `Machine.crash`, and ``GET
/events``, which returns what the runners started and ended.
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

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.platform import StoreClient, Write
from coltsfootpier.transport import Application, HttpRequest, HttpResponse, Server

MAINTENANCE_MS = 2_000.0
STARTUP_MS = 500.0
STOP_MS = 100.0
HEARTBEAT_MS = 1_500.0
CPU_MILLI, MEMORY_MB = 16_000, 64_000
_MAX_LEASE_MS = 10_000.0
_TICK_MS = 10.0
# A call that gets no answer is left open for longer than any timeout of a daemon.
_SILENCE_S = 20.0
_PERIOD_S = 0.05
_RUN_MS = re.compile(r"run_ms=(\d+)")
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
_clock = MonotonicClock()


@attrs.define
class _Run:
    task: str
    attempt: int
    began_ms: float
    end_ms: float
    checkpoint: str = ""
    stop_ms: float = float("inf")

    @property
    def percent(self) -> int:
        """Progress; a lasting task is at work at 100."""
        now_ms = _clock.now_ms()
        if self.end_ms == float("inf"):
            return int(min(100.0, 100.0 * (now_ms - self.began_ms) / STARTUP_MS))
        return int(min(99.0, 100.0 * (now_ms - self.began_ms) / (self.end_ms - self.began_ms)))


def _choose_id() -> str:
    return f"i-{secrets.token_hex(5)}"


class Machine:
    """A worker VM with the runner that is up on it.

    Parameters
    ----------
    name : str
        Name of the VM.
    rack : str
        Its rack.
    events : list of dict
        Receives each start and end of a run and each maintenance.
    """

    def __init__(self, name: str, rack: str, events: list[dict[str, Any]]) -> None:
        self.name, self.rack = name, rack
        self.events = events
        self.port = 0
        self.state = "up"
        self.waves: set[int] = set()
        self.cpu_milli = CPU_MILLI
        # Arguments of `crash` for the next start of a lasting task; that start gets no answer.
        self.crash_at_start: dict[str, Any] | None = None
        self._up_ms = 0.0
        self._answers_from_ms = 0.0
        self.runner = ""
        self._begin_incarnation(_choose_id())

    def _begin_incarnation(self, runner: str) -> None:
        self.runner = runner
        self.born = int(time.time() * 1000)
        self._began_ms = _clock.now_ms()
        self._token = 0
        self._lease_ms = 0.0
        self.runs: dict[tuple[str, int], _Run] = {}
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._barred: dict[str, int] = {}
        self._changed = anyio.Event()

    # Maintenance

    def maintain(self, wave: int) -> None:
        """Take the VM down for maintenance."""
        self._apply_ends()
        self._add_event("upkeep", wave=wave)
        for run in list(self.runs.values()):
            self._add_event("end", task=run.task, attempt=run.attempt, how="upkeep")
        self.runs.clear()
        self.waves.add(wave)
        self.state, self._up_ms = "upkeep", _clock.now_ms() + MAINTENANCE_MS

    def crash(self, down_ms: float, cpu_milli: int, slow_ms: float) -> None:
        """Crash the runner, which starts again under its id, with another capacity.

        It answers calls only `slow_ms` after its start.
        """
        self._apply_ends()
        self._add_event("crash")
        for run in list(self.runs.values()):
            self._add_event("end", task=run.task, attempt=run.attempt, how="crash")
        self.runs.clear()
        self.state, self._up_ms = "down", _clock.now_ms() + down_ms
        self._answers_from_ms = self._up_ms + slow_ms
        self.cpu_milli = cpu_milli

    def _add_event(self, kind: str, **fields: Any) -> None:
        event = {"ms": _clock.now_ms(), "event": kind, "machine": self.name, "runner": self.runner}
        self.events.append({**event, **fields})

    async def run(self, store: StoreClient) -> None:
        """End what is due, and register the runner in the store, until cancelled."""
        entry, written_ms = "", float("-inf")
        while True:
            now_ms = _clock.now_ms()
            if self.state == "upkeep" and now_ms >= self._up_ms:
                self._begin_incarnation(_choose_id())
                self.state = "up"
            if self.state == "down" and now_ms >= self._up_ms:
                # The runner starts again under its id.
                self._begin_incarnation(self.runner)
                self._add_event("up", cpu=self.cpu_milli)
                self.state = "up"
            if self.state == "up":
                self._apply_ends()
            if entry and (self.state == "upkeep" or entry != self.runner):
                await store.commit(expect={}, remove=[f"servers/{entry}"])
                entry = ""
            if self.state == "up" and (not entry or now_ms - written_ms >= HEARTBEAT_MS):
                entry, written_ms = self.runner, now_ms
                await self._register(store)
            await anyio.sleep(_TICK_MS / 1000)

    async def _register(self, store: StoreClient) -> None:
        value = {
            "service": "web",
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu_milli, "mem_mb": MEMORY_MB, "gpu": 0},
            "labels": ["a", self.rack],
            "seq": int((_clock.now_ms() - self._began_ms) / HEARTBEAT_MS) + 1,
            "born": self.born,
        }
        key = f"servers/{self.runner}"
        await store.commit(expect={}, puts=[Write(key, orjson.dumps(value))])

    # Runs

    def _apply_ends(self) -> None:
        now_ms = _clock.now_ms()
        for run in list(self.runs.values()):
            ends = ((self._lease_ms, "lapsed"), (run.stop_ms, "stopped"), (run.end_ms, "done"))
            end_ms, how = min(ends)
            if end_ms <= now_ms:
                del self.runs[run.task, run.attempt]
                self._bar(run.task, run.attempt)
                self._end_count += 1
                self._ended.append([self._end_count, run.task, run.attempt, how, run.checkpoint])
                self._add_event("end", task=run.task, attempt=run.attempt, how=how)
                self._changed.set()
                self._changed = anyio.Event()

    def _bar(self, task: str, attempt: int) -> None:
        self._barred[task] = max(attempt, self._barred.get(task, 0))

    def handle(self, handler: Callable[[dict[str, Any]], Awaitable[HttpResponse]]) -> Handler:
        """Wrap a handler: a VM that is down is silent, and another runner's calls get 421."""

        async def handle_request(request: HttpRequest) -> HttpResponse:
            runner, born = self.runner, self.born
            if self.state == "up":
                await anyio.sleep(max(0.0, self._answers_from_ms - _clock.now_ms()) / 1000)
            if self.state == "up" and request.header(b"expect-instance") not in ("", runner):
                return self._answer(421)
            response = None
            if self.state == "up":
                self._apply_ends()
                body = orjson.loads(request.body)
                if body.get("fencing_token", 0) < self._token:
                    return self._answer(409, reason="fence")
                self._token = body.get("fencing_token", 0)
                response = await handler(body)
            if response is None or self.born != born or self.state != "up":
                await anyio.sleep(_SILENCE_S)
            return response or self._answer(503)

        return handle_request

    def _read_clock_ms(self) -> float:
        return _clock.now_ms() - self._began_ms

    def _answer(self, status: int = 200, **fields: Any) -> HttpResponse:
        value = {"clock_ms": int(self._read_clock_ms()), "born": self.born, **fields}
        return HttpResponse.from_message(value, status)

    def _extend(self, deadline_ms: float) -> None:
        lease_ms = _clock.now_ms() + min(deadline_ms - self._read_clock_ms(), _MAX_LEASE_MS)
        self._lease_ms = max(self._lease_ms, lease_ms)

    async def start(self, body: dict[str, Any]) -> HttpResponse:
        """Start a run."""
        task, attempt, spec = body["task"], body["attempt"], body["spec"]
        if spec == "lasting" and self.crash_at_start is not None:
            arguments, self.crash_at_start = self.crash_at_start, None
            self.crash(**arguments)
            return self._answer(503)
        self._extend(body["deadline_ms"])
        if (task, attempt) in self.runs:
            return self._answer()
        if attempt <= self._barred.get(task, 0):
            return self._answer(409, reason="old")
        if body["deadline_ms"] <= self._read_clock_ms():
            return self._answer(409, reason="late")
        now_ms = _clock.now_ms()
        match = _RUN_MS.search(spec)
        end_ms = now_ms + float(match.group(1)) if match else float("inf")
        self.runs[task, attempt] = _Run(task, attempt, now_ms, end_ms)
        self._add_event("start", task=task, attempt=attempt)
        return self._answer()

    async def stop(self, body: dict[str, Any]) -> HttpResponse:
        """Stop a run, or bar its start."""
        task, attempt = body["task"], body["attempt"]
        self._bar(task, attempt)
        for run in self.runs.values():
            if run.task == task and run.attempt <= attempt:
                run.stop_ms = min(run.stop_ms, _clock.now_ms() + STOP_MS)
        return self._answer()

    async def pace(self, _: dict[str, Any]) -> HttpResponse:
        """Accept a pace; the tasks are timers."""
        return self._answer()

    async def hold(self, body: dict[str, Any]) -> HttpResponse:
        """Extend the lease and list the runs, after a wait for an end."""
        observed = body.get("observed", 0)
        self._ended = [row for row in self._ended if row[0] > observed]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        if not self._ended and body.get("wait_ms"):
            with anyio.move_on_after(body["wait_ms"] / 1000):
                await self._changed.wait()
        running = [
            [run.task, run.attempt, run.checkpoint, run.percent, 0] for run in self.runs.values()
        ]
        return self._answer(running=running, ended=self._ended[:500])

    def list_at_work(self) -> list[str]:
        """Return the tasks that are at work."""
        self._apply_ends()
        return [run.task for run in self.runs.values() if run.percent >= 100]

    async def serve(self, group: anyio.abc.TaskGroup, store: StoreClient) -> None:
        """Start the server of the VM and its other tasks."""
        names = {"run-start": self.start, "run-stop": self.stop, "pace": self.pace}
        names["hold"] = self.hold
        routes = {
            f"POST /coltsfootpier/{name}": self.handle(handler) for name, handler in names.items()
        }
        server = Server(
            app=Application(routes=routes, max_body_bytes=100_000), host="127.0.0.1", port=0
        )
        self.port = await group.start(server.run)
        group.start_soon(self.run, store)


class VmService:
    """The service that lists the worker VMs and takes them down for maintenance.

    Parameters
    ----------
    machines : dict of str to Machine
        VMs by name.
    page_size : int
        Number of VMs of a page.
    """

    def __init__(self, machines: dict[str, Machine], page_size: int) -> None:
        self._machines = machines
        self._page_size = page_size
        self._delay_ms = 10.0

    async def set_delay(self, request: HttpRequest) -> HttpResponse:
        """Set how long each answer takes."""
        self._delay_ms = orjson.loads(request.body)["ms"]
        return HttpResponse.from_message({})

    async def list_page(self, request: HttpRequest) -> HttpResponse:
        """Return the VMs of a page as they are when the request arrives."""
        query = dict(part.split("=", 1) for part in request.query.split("&") if "=" in part)
        after = query.get("page_token", "")
        names = sorted(name for name in self._machines if name > after)
        rows = []
        for name in names[: self._page_size]:
            machine = self._machines[name]
            row = {"machine": name, "pool": "p", "state": machine.state, "zone": "zone-a"}
            row |= {"labels": ["a", machine.rack]}
            row |= {"capacity": {"cpu": machine.cpu_milli, "mem_mb": MEMORY_MB, "gpu": 0}}
            rows.append({**row, "id": machine.runner if machine.state == "up" else None})
        has_next = len(names) > self._page_size
        token = names[self._page_size - 1] if has_next else None
        await anyio.sleep(self._delay_ms / 1000)
        return HttpResponse.from_message({"machines": rows, "next_token": token})

    async def maintain(self, request: HttpRequest) -> HttpResponse:
        """Take a VM down as soon as the request arrives, once for each wave."""
        body = orjson.loads(request.body)
        machine = self._machines.get(body["machine"])
        status, reason = 200, {}
        if machine is None:
            status = 400
        elif body["wave"] not in machine.waves and machine.state != "up":
            status, reason = 409, {"reason": "busy"}
        elif body["wave"] not in machine.waves:
            machine.maintain(body["wave"])
        await anyio.sleep(self._delay_ms / 1000)
        return HttpResponse.from_message(reason, status)

    async def crash(self, request: HttpRequest) -> HttpResponse:
        """Have the runner on a VM crash as the next start of a lasting task arrives."""
        body = orjson.loads(request.body)
        self._machines[body.pop("machine")].crash_at_start = body
        return HttpResponse.from_message({})

    async def list_events(self, _: HttpRequest) -> HttpResponse:
        """Return all events and what is at work now."""
        machines = self._machines.values()
        at_work = {machine.name: machine.list_at_work() for machine in machines}
        events = next(iter(machines)).events
        return HttpResponse.from_message({"events": events, "at_work": at_work})


async def _watch_work(machines: dict[str, Machine], events: list[dict[str, Any]]) -> None:
    """Add an event whenever a task begins to be at work."""
    known: set[tuple[str, str]] = set()
    while True:
        for machine in machines.values():
            for run in machine.runs.values():
                key = (run.task, f"{machine.runner}#{run.attempt}")
                if run.percent >= 100 and key not in known:
                    known.add(key)
                    event = {"ms": _clock.now_ms(), "event": "at work", "machine": machine.name}
                    events.append({**event, "task": run.task, "attempt": run.attempt})
        await anyio.sleep(_PERIOD_S / 5)


async def serve(store_port: int, count: int, page_size: int, rack_size: int) -> None:
    """Serve the VMs until cancelled, and print the port of their service."""
    store = StoreClient(host="127.0.0.1", port=store_port, clock=_clock, timeout_ms=1_000.0)
    events: list[dict[str, Any]] = []
    machines = {
        name: Machine(name, f"r{number // rack_size}", events)
        for number in range(count)
        for name in [f"m-{number:02d}"]
    }
    service = VmService(machines, page_size)
    async with anyio.create_task_group() as group:
        for machine in machines.values():
            await machine.serve(group, store)
        group.start_soon(_watch_work, machines, events)
        routes = {
            "GET /coltsfootpier/machines": service.list_page,
            "POST /coltsfootpier/machine-upkeep": service.maintain,
            "POST /delay": service.set_delay,
            "POST /crash": service.crash,
            "GET /events": service.list_events,
        }
        application = Application(routes=routes, max_body_bytes=10_000)
        port = await group.start(Server(app=application, host="127.0.0.1", port=0).run)
        print(f"port={port}", flush=True)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    anyio.run(
        serve,
        options.store,
        options.count,
        options.page_size,
        options.rack_size,
        backend_options={"use_uvloop": True},
    )
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("store", 0, "TCP port of the store on the loopback address.")
    flags.DEFINE_integer("count", 1, "Number of worker VMs.")
    flags.DEFINE_integer("page_size", 2, "Number of VMs of a page of the listing.")
    flags.DEFINE_integer("rack_size", 8, "Number of VMs of a rack.")
    sys.exit(app.run(_run))
