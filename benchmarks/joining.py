"""Time until a new owner of a cell has heard of all runners, with stand-ins for them and the store.

The owner is the real one. One other process stands in for the store and for all runners, behind a
link of limited speed that all calls share. The figures of one run: time until all runners have
responded and may get runs, processor time, and calls and bytes by kind of call.
"""

from __future__ import annotations

import asyncio
import base64
import cProfile
import io
import pstats
import resource
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from statistics import quantiles
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import httptools
import orjson
from absl import app, flags

from coltsfootpier import logs
from coltsfootpier.cells import CellSettings, RunnerEntry
from coltsfootpier.cells._placement import is_usable
from coltsfootpier.clock import MonotonicClock
from coltsfootpier.jobs import JobRecord, JobSpec, StepSpec, encode_record
from coltsfootpier.journal import Head, OwnerInfo
from coltsfootpier.node import Configuration, _timing
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._owner import Owner
from coltsfootpier.node._records import encode_fleet
from coltsfootpier.node.keys import FLEET_KEY, HEAD_KEY, job_key
from coltsfootpier.node.tests.builders import build_settings
from coltsfootpier.platform import REGISTRY_PREFIX, StoreClient
from coltsfootpier.transport import encode

_PAGE_SIZE = 500
_MAX_HISTORY_LENGTH = 10_000
_HEARTBEAT_MS = 1_500.0
# One-way delay between two availability zones.
_DELAY_MS = 2.0
_TASKS_PER_JOB = 14
_SAMPLE_MS = 20.0
_PAYLOAD = "x" * 300


class Link:
    """Link that carries one message at a time in each direction.

    Parameters
    ----------
    megabits_per_s : float
        Speed; 0 for a link without limit.
    """

    def __init__(self, megabits_per_s: float) -> None:
        self._bytes_per_s = megabits_per_s * 125_000
        self._free_s: dict[str, float] = {}

    def pass_message(self, direction: str, size: int, deliver: Callable[[], None]) -> None:
        """Call `deliver` once a message of `size` bytes has passed the link."""
        loop = asyncio.get_running_loop()
        begin_s = max(loop.time(), self._free_s.get(direction, 0.0))
        end_s = begin_s + (size / self._bytes_per_s if self._bytes_per_s else 0.0)
        self._free_s[direction] = end_s
        loop.call_at(end_s + _DELAY_MS / 1000, deliver)


class Peer:
    """Store and runners.

    Parameters
    ----------
    options : dict
        Numbers of runners and of runs on each, age of the runners in ms, speed of the link, and
        whether an earlier owner has left a fleet record and jobs.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        self.link = Link(options["link"])
        self.counts: Counter[str] = Counter()
        self.sizes: Counter[str] = Counter()
        self._started_ms = time.monotonic() * 1000
        self._age_ms = options["age_ms"]
        self._born = int(time.time() * 1000 - self._age_ms)
        self._values: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[int, str]] = []
        self._revision = 1
        self._ids = [f"i-{number * 7919:010x}" for number in range(options["runners"])]
        self._runs: dict[str, list[list[Any]]] = {runner_id: [] for runner_id in self._ids}
        self._join_ms = {
            runner_id: options["join_ms"] * number / len(self._ids)
            for number, runner_id in enumerate(self._ids)
        }
        head = Head(generation=2 if options["takeover"] else 1, holder="me")
        self._write(HEAD_KEY, encode(head))
        if options["takeover"]:
            self._leave_records(options["runs"])

    def _leave_records(self, runs_per_runner: int) -> None:
        entries = [
            RunnerEntry(
                id=runner_id, service="web", address="127.0.0.1:65535", started_unix_ms=self._born
            )
            for runner_id in self._ids
        ]
        self._fleet_entries = entries
        step = StepSpec(
            count=_TASKS_PER_JOB,
            cpu_milli=500,
            memory_mb=100,
            estimate_ms=10_000.0,
            long_running=True,
        )
        total = runs_per_runner * len(self._ids) // _TASKS_PER_JOB
        for number in range(total):
            job_id = f"{number:016x}"
            record = JobRecord(
                id=job_id,
                queue="short",
                service="web",
                accepted_unix_ms=time.time() * 1000 - 10_000,
                spec=JobSpec(payload=_PAYLOAD, steps=(step,)),
            )
            self._write(job_key(job_id), encode_record(record))
            for index in range(_TASKS_PER_JOB):
                runner_id = self._ids[(number * _TASKS_PER_JOB + index) % len(self._ids)]
                self._runs[runner_id].append([f"{job_id}.0.0.{index}", 1, "", 100, 0])

    def listen_on(self, port: int) -> None:
        """Write the entries of the runners, whose address is known now."""
        self.port = port
        if hasattr(self, "_fleet_entries"):
            value = encode_fleet(self._fleet_entries).replace(b":65535", b":%d" % port)
            self._write(FLEET_KEY, value)

    async def run(self) -> None:
        """Write registry entries, each once in a period, until cancelled."""
        sequence, position = 1, 0
        due: list[str] = list(self._ids)
        while True:
            now_ms = time.monotonic() * 1000 - self._started_ms
            until = int(len(due) * (now_ms % _HEARTBEAT_MS) / _HEARTBEAT_MS)
            if until < position:
                for runner_id in due[position:]:
                    self._write_entry(runner_id, sequence)
                position, sequence = 0, sequence + 1
            for runner_id in due[position:until]:
                self._write_entry(runner_id, sequence)
            position = until
            await asyncio.sleep(0.01)

    def register_all(self) -> None:
        """Write the entries of all runners that have joined."""
        for runner_id in self._ids:
            self._write_entry(runner_id, 0)

    def _write_entry(self, runner_id: str, sequence: int) -> None:
        if time.monotonic() * 1000 - self._started_ms < self._join_ms[runner_id]:
            return
        entry = {
            "service": "web",
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 32_000, "mem_mb": 125_000, "gpu": 0},
            "labels": ["a", f"r{hash(runner_id) % 100}"],
            "seq": sequence,
            "born": self._born,
        }
        self._write(REGISTRY_PREFIX + runner_id, orjson.dumps(entry))

    def _write(self, key: str, value: bytes) -> None:
        self._revision += 1
        self._values[key] = (self._revision, value)
        self._history.append((self._revision, key))
        if len(self._history) > 2 * _MAX_HISTORY_LENGTH:
            del self._history[:-_MAX_HISTORY_LENGTH]

    def _describe(self, key: str) -> dict[str, Any]:
        revision, value = self._values.get(key, (0, b""))
        return {
            "key": key,
            "value": base64.b64encode(value).decode() if revision else None,
            "revision": revision,
            "store_revision": self._revision,
        }

    def handle(
        self, method: str, target: str, headers: dict[bytes, bytes], body: bytes
    ) -> tuple[float, int, dict[str, Any], str]:
        """Carry out a call; return the delay in s, the status, the response and the kind."""
        parts = urlsplit(target)
        operation = parts.path.split("/")[2]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if operation in ("hold", "run-start", "run-stop", "pace"):
            return self._handle_runner(operation, headers, orjson.loads(body))
        if operation == "kv-key":
            item = self._describe(query["key"])
            return 0.0, 200 if item["revision"] else 404, item, operation
        if operation == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(key for key in self._values if key.startswith(prefix) and key > after)
            page = [self._describe(key) for key in keys[:_PAGE_SIZE]]
            response = {
                "items": page,
                "has_more": len(keys) > _PAGE_SIZE,
                "store_revision": self._revision,
            }
            return 0.0, 200, response, f"{operation} {prefix}"
        if operation == "kv-watch":
            after = int(query["after"])
            if after < self._history[0][0] - 1:
                return 0.0, 410, {}, operation
            keys = {
                key
                for revision, key in self._history
                if revision > after and key.startswith(query["prefix"])
            }
            response = {
                "events": [self._describe(key) for key in sorted(keys)],
                "store_revision": self._revision,
            }
            return (0.0 if keys else float(query["wait_ms"]) / 1000), 200, response, operation
        if operation == "kv-txn":
            return self._handle_transaction(orjson.loads(body))
        if operation == "kv-keep":
            return 0.0, 200, {"ttl_ms": 1_300}, operation
        return 0.0, 200, {}, operation

    def _handle_transaction(self, change: dict[str, Any]) -> tuple[float, int, dict[str, Any], str]:
        keys = {put["key"] for put in change["puts"]}
        kind = "kv-txn fleet" if FLEET_KEY in keys else "kv-txn"
        current = [self._describe(row["key"]) for row in change["expect"]]
        if [item["revision"] for item in current] != [row["revision"] for row in change["expect"]]:
            return 0.0, 412, {"items": current}, kind
        for put in change["puts"]:
            self._write(put["key"], base64.b64decode(put["value"]))
        for put in change["puts"]:
            self._values[put["key"]] = (self._revision, self._values[put["key"]][1])
        return 0.0, 200, {"revision": self._revision}, kind

    def _handle_runner(
        self, operation: str, headers: dict[bytes, bytes], body: dict[str, Any]
    ) -> tuple[float, int, dict[str, Any], str]:
        runner_id = headers[b"expect-instance"].decode()
        clock_ms = int(time.monotonic() * 1000 - self._started_ms + self._age_ms)
        response = {"clock_ms": clock_ms, "born": self._born}
        if operation != "hold":
            return 0.0, 200, response, operation
        response |= {"running": self._runs[runner_id], "ended": []}
        wait_ms = body.get("wait_ms", 0)
        response["clock_ms"] += wait_ms
        return wait_ms / 1000, 200, response, "hold, waiting" if wait_ms else "hold"


class PeerProtocol(asyncio.Protocol):
    """One connection to the store or to a runner."""

    def __init__(self, peer: Peer) -> None:
        self._peer = peer
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self._target, self._body, self._headers, self._size = b"", b"", {}, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._peer.counts["connections"] += 1

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        peer, size = self._peer, self._size
        call = (
            self._parser.get_method().decode(),
            self._target.decode(),
            self._headers,
            self._body,
        )
        self._reset()

        def carry_out() -> None:
            delay_s, status, response, kind = peer.handle(*call)
            content = orjson.dumps(response)
            head = f"HTTP/1.1 {status} OK\r\ncontent-length: {len(content)}\r\n\r\n"
            message = head.encode() + content
            peer.counts[kind] += 1
            peer.sizes[kind] += size + len(message)
            asyncio.get_running_loop().call_later(delay_s, self._respond, message)

        peer.link.pass_message("in", size, carry_out)

    def _respond(self, message: bytes) -> None:
        # In parts, as the link delivers them.
        for start in range(0, len(message), 65_536):
            part = message[start : start + 65_536]
            self._peer.link.pass_message("out", len(part), lambda p=part: self._write(p))

    def _write(self, part: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(part)


async def serve_peer(options: dict[str, Any]) -> None:
    """Serve the store and the runners until standard input ends; then print the counts."""
    peer = Peer(options)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: PeerProtocol(peer), "127.0.0.1", 0, backlog=4 * options["runners"]
    )
    peer.listen_on(server.sockets[0].getsockname()[1])
    if not options["join_ms"]:
        peer.register_all()
    writer = asyncio.create_task(peer.run())
    print(peer.port, flush=True)
    await anyio.to_thread.run_sync(sys.stdin.read)
    writer.cancel()
    peer.counts["processor ms"] = int(time.process_time() * 1000)
    print(orjson.dumps({"counts": peer.counts, "sizes": peer.sizes}).decode(), flush=True)


class Observer:
    """Samples how many runners the owner knows, has heard of, and may use."""

    def __init__(self, owner: Owner, clock: MonotonicClock, options: dict[str, Any]) -> None:
        self._owner, self._clock, self._options = owner, clock, options
        self._began_ms = clock.now_ms()
        self._began_cpu_s = time.process_time()
        self._settings = CellSettings()
        # Elapsed time and processor time in ms when each state was reached.
        self.reached: dict[str, tuple[int, int]] = {}
        # Times in ms by which the event loop was late.
        self.lags_ms: list[float] = []

    async def run(self) -> None:
        """Sample until all runners may be used and a time has passed."""
        count = self._options["runners"]
        end_ms = float("inf")
        while True:
            now_ms = self._clock.now_ms()
            fleet = self._owner.cell.fleet
            runners = fleet.runners.values()
            values = {
                "known": len(runners),
                "contacted": sum(runner.contact_ms > float("-inf") for runner in runners),
                "adopted": sum(runner.adopted for runner in runners),
                "usable": sum(
                    is_usable(runner, now_ms, self._settings)
                    and fleet.proof.covers_incarnation(runner)
                    for runner in runners
                ),
            }
            for name, value in values.items():
                for share in (0.5, 0.95, 1.0):
                    if value >= share * count:
                        cpu_ms = 1000 * (time.process_time() - self._began_cpu_s)
                        self.reached.setdefault(
                            f"{name} {share:.0%}", (round(now_ms - self._began_ms), round(cpu_ms))
                        )
            if "usable 100%" in self.reached and end_ms == float("inf"):
                end_ms = now_ms + self._options["after_ms"]
            if now_ms > min(end_ms, self._began_ms + self._options["limit_ms"]):
                return
            await anyio.sleep(_SAMPLE_MS / 1000)
            self.lags_ms.append(self._clock.now_ms() - now_ms - _SAMPLE_MS)


async def run_owner(port: int, options: dict[str, Any]) -> dict[str, Any]:
    """Run an owner against the stand-ins and return the figures."""
    clock = MonotonicClock()
    store = StoreClient(
        host="127.0.0.1", port=port, clock=clock, timeout_ms=_timing.STORE_TIMEOUT_MS
    )
    head = Head(generation=2 if options["takeover"] else 1, holder="me")
    item = (await store.get(HEAD_KEY)).unwrap()
    info = OwnerInfo(holder="me", address="127.0.0.1:1", generation=head.generation)
    owner = Owner(
        settings=build_settings(),
        cell_settings=CellSettings(),
        store=store,
        clock=clock,
        head=head,
        revision=item.version,
        info=info,
        lease=1,
        confirmed_ms=clock.now_ms(),
        metrics=Metrics(),
    )
    observer = Observer(owner, clock, options)
    cpu_s = time.process_time()
    async with anyio.create_task_group() as group:
        group.start_soon(owner.run, Configuration(version=1, routes=()))
        await observer.run()
        cpu_s = time.process_time() - cpu_s
        result = {
            "reached, ms and processor ms": observer.reached,
            "cpu_s": round(cpu_s, 2),
            "lag_ms": [round(value) for value in quantiles(observer.lags_ms, n=20)[9::9]],
            "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
            "reports": int(owner.read_gauges()["reports"]),
            "commits": int(owner.read_gauges()["commits"]),
        }
        group.cancel_scope.cancel()
    return result


def _run(_: list[str]) -> int:
    values = flags.FLAGS
    options = {
        "runners": values.runners,
        "runs": values.runs,
        "link": values.link,
        "takeover": values.takeover,
        "age_ms": values.age_ms,
        "join_ms": values.join_ms,
        "after_ms": values.after_ms,
        "limit_ms": values.limit_ms,
    }
    if values.role == "peer":
        anyio.run(serve_peer, options, backend_options={"use_uvloop": True})
        return 0
    arguments = [f"--{name}={value}" for name, value in options.items()]
    peer = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.joining", "--role=peer", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    port = int(peer.stdout.readline())
    profile = cProfile.Profile(time.process_time) if values.profile else None
    # Lines are formatted in any case, as their cost is part of an owner's.
    logs.configure(stream=sys.stderr if values.logs else io.StringIO())
    if profile:
        profile.enable()
    result = anyio.run(run_owner, port, options, backend_options={"use_uvloop": True})
    if profile:
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(40)
        pstats.Stats(profile).sort_stats("cumtime").print_stats(50)
    output, _ = peer.communicate("")
    traffic = orjson.loads(output)
    print(result)
    for kind, count in sorted(traffic["counts"].items()):
        print(f"{kind:24} {count:7} calls {traffic['sizes'].get(kind, 0) / 1000:9.1f} kB")
    return 0


if __name__ == "__main__":
    flags.DEFINE_string("role", "owner", "Process to run: owner or peer.")
    flags.DEFINE_integer("runners", 1_500, "Number of runners.")
    flags.DEFINE_integer("runs", 0, "Runs on each runner when the owner takes over.")
    flags.DEFINE_float("link", 100.0, "Speed of the owner's link in Mbit/s; 0 for no limit.")
    flags.DEFINE_boolean("takeover", True, "Whether an earlier owner has left records.")
    flags.DEFINE_float("age_ms", 60_000.0, "Age of the runners in ms.")
    flags.DEFINE_float("join_ms", 0.0, "Time in ms within which the runners register.")
    flags.DEFINE_float("after_ms", 2_000.0, "Time in ms to go on once all runners may be used.")
    flags.DEFINE_float("limit_ms", 30_000.0, "Time in ms after which a run ends in any case.")
    flags.DEFINE_boolean("profile", False, "Whether to print a profile of the owner.")
    flags.DEFINE_boolean("logs", False, "Whether to print the owner's log.")
    sys.exit(app.run(_run))
