"""Daemons, runners and a store on the loopback address, and the record of what a script saw."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import orjson

from coltsfootpier.platform import SETTINGS_VARIABLE
from standins.cluster import call
from standins.nodes import Node, Nodes
from standins.ports import PortReservations

# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# `finish_s` and the deadline of a request in the site files of the small deployments.
FINISH_S = 14.0
DEADLINE_MS = 3_000.0
# Repetitions of a request by a client in the site files.
RETRIES = 4
ROUTE = {
    "name": "report",
    "host": "a.example",
    "prefix": "/p/",
    "service": "web",
    "timeout_ms": 3_000,
    "priority": 2,
    "max_attempts": 3,
    "stretch": 2,
    "slo_ms": 1_000,
}
# Settings of a daemon with the bounds of the site file dss-vieta.
_SETTINGS = """
node_name = "{name}"
role = "daemon"
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internal_ports = [{peer}, {metrics}]
serves = ["front"]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4100
[bounds]
hold_max_ms = 10000
stop_grace_ms = 200
grace_s = 6
restore_ms = 600
status_s = 120
maintenance_s = 2
lease_ms = 3000
[platform]
address = "127.0.0.1:{store}"
ttl_min_ms = 1000
[cloud_api]
address = "127.0.0.1:{cloud}"
"""
_ROOT = Path(__file__).resolve().parent.parent


class ScriptError(Exception):
    """The case could not run, for example because a process did not start."""


def has_trouble() -> bool:
    """Return whether the script runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Text file with one line for each thing that was sent, answered or seen.

    Parameters
    ----------
    path : Path
        File to overwrite.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began_s = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the time since the beginning."""
        self._lines.append(f"{time.monotonic() - self._began_s:8.3f} s  {text}")
        print(self._lines[-1], flush=True)
        self._path.write_text("\n".join(self._lines) + "\n")


class World:
    """A small deployment whose daemons are separate processes.

    Parameters
    ----------
    record : Record
        Receives what is sent and answered.
    nodes : Nodes
        The project's stand-ins, and the requests to daemons.
    """

    def __init__(self, record: Record, nodes: Nodes) -> None:
        self.record = record
        self.nodes = nodes
        self.cloud_port = 0
        self._handles: list[subprocess.Popen] = []
        self._folder = tempfile.TemporaryDirectory(prefix="third-")
        self._reservations = PortReservations()

    async def start(self, *, runners: int, daemons: int, runner_processes: int = 1) -> None:
        """Start the project's stand-ins and daemons, and wait until a job is completed.

        Parameters
        ----------
        runners : int
            Number of runners of each process that hosts runners.
        daemons, runner_processes : int
            Number of daemons, and of processes that host runners.
        """
        self.nodes.start_platform(runners)
        for _ in range(runner_processes - 1):
            self.nodes.start_runners(runners)
        self.cloud_port = self.nodes.store_port
        for number in range(daemons):
            self.start_daemon(f"front-{number}")
        await self._begin_service()

    async def start_with_fleet(
        self, *, machines: int, daemons: int, page_size: int = 8, rack_size: int = 8
    ) -> None:
        """Start the project's store, the VMs of `third_fleet` and daemons; see `start`."""
        self.nodes.store_port = self._start_stand_in("standins.platform")
        self.cloud_port = self._start_stand_in(
            "third_fleet",
            f"--store={self.nodes.store_port}",
            f"--count={machines}",
            f"--page_size={page_size}",
            f"--rack_size={rack_size}",
        )
        for number in range(daemons):
            self.start_daemon(f"front-{number}")
        await self._begin_service()

    def _start_stand_in(self, module: str, *arguments: str) -> int:
        """Start a stand-in and return the port that it prints."""
        with (Path(self._folder.name) / f"{module}.log").open("ab") as log:
            handle = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=_ROOT,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self._handles.append(handle)
        line = handle.stdout.readline()
        if not line.startswith(b"port="):
            raise ScriptError(f"{module} did not start")
        return int(line.split(b"=")[1])

    def start_daemon(self, name: str, *, memory_mb: int = 300) -> None:
        """Start a daemon with the command of the deploy file, or start it again."""
        known = self.nodes.nodes.get(name)
        ports = known.list_ports() if known is not None else self._reservations.reserve(4)
        front, ready, peer, metrics = ports
        settings = Path(self._folder.name) / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=name,
                front=front,
                ready=ready,
                peer=peer,
                metrics=metrics,
                store=self.nodes.store_port,
                cloud=self.cloud_port,
                memory_mb=memory_mb,
            )
        )
        log = Path(self._folder.name) / f"{name}.log"
        with log.open("ab") as stream:
            handle = subprocess.Popen(
                ["python3", "-m", "coltsfootpier.node"],
                cwd=_ROOT,
                stdout=stream,
                stderr=stream,
                env={**os.environ, SETTINGS_VARIABLE: str(settings)},
            )
        self._handles.append(handle)
        self.nodes.nodes[name] = Node(
            name=name, handle=handle, front=front, ready=ready, metrics=metrics, log=log
        )

    def kill_daemon(self, name: str) -> None:
        """Kill a daemon as a loss of power does."""
        handle = self.nodes.nodes[name].handle
        handle.send_signal(signal.SIGKILL)
        handle.wait(timeout=10)
        self.record.add(f"{name} is killed")

    def close(self) -> None:
        """Kill all processes that this object started, and delete their files."""
        for handle in self._handles:
            if handle.poll() is None:
                handle.kill()
            handle.wait(timeout=10)
            if handle.stdout is not None:
                handle.stdout.close()
        self._reservations.close()
        self._folder.cleanup()

    async def _begin_service(self) -> None:
        """Configure the daemons and wait until a job is completed."""
        await self.nodes.put_configuration(1, [ROUTE])
        try:
            await self.nodes.wait_ready()
        except TimeoutError as error:
            raise ScriptError(f"a daemon isn't ready: {error}") from error
        body = build_job([{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 100}])
        for number in range(40):
            name = f"{number:016x}"
            if await self.submit("front-0", name, body) == 200:
                break
            await anyio.sleep(0.25)
        with anyio.move_on_after(10):
            while await self.read("front-0", name) != "completed":
                await anyio.sleep(0.25)
            self.record.add(f"{len(self.nodes.nodes)} daemons are in service")
            return
        raise ScriptError("the first job wasn't completed")

    async def submit(self, node: str, job: str, body: dict[str, Any]) -> int:
        """Submit a job and return the status; 0 if there was no answer."""
        response = await self.nodes.request(node, "POST", job, body, timeout_ms=DEADLINE_MS)
        status = response.status if response is not None else 0
        size = len(orjson.dumps(body))
        self.record.add(f"POST {job} ({size} bytes) at {node}: {status or 'no answer'}")
        return status

    async def submit_with_retries(self, node: str, job: str, body: dict[str, Any]) -> int:
        """Submit a job, and again at the next daemons while there is no answer or a 504.

        A client repeats a request up to four times in the site files.
        """
        names = list(self.nodes.nodes)
        first = names.index(node)
        for attempt in range(1 + RETRIES):
            status = await self.submit(names[(first + attempt) % len(names)], job, body)
            if status not in (0, 502, 504):
                break
        return status

    async def watch_readiness(self, longest_s: dict[str, float]) -> None:
        """Ask each daemon whether it is ready, until cancelled, and keep its longest silence.

        Any answer ends a silence; one second is allowed for it.
        """
        async with anyio.create_task_group() as group:
            for name in self.nodes.nodes:
                group.start_soon(self._watch_one, name, longest_s)

    async def _watch_one(self, name: str, longest_s: dict[str, float]) -> None:
        answered_s = time.monotonic()
        while True:
            port = self.nodes.nodes[name].ready
            response = await call(port, "GET", "/coltsfootpier/ready", timeout_ms=1_000)
            now_s = time.monotonic()
            longest_s[name] = max(longest_s.get(name, 0.0), now_s - answered_s)
            if response is not None:
                answered_s = now_s
            await anyio.sleep(0.25)

    async def read(self, node: str, job: str) -> str:
        """Return the state of a job; a status if it isn't 200, and empty without an answer."""
        response = await self.nodes.request(node, "GET", job, timeout_ms=DEADLINE_MS)
        state = ""
        if response is not None:
            state = response.json()["state"] if response.status == 200 else str(response.status)
        self.record.add(f"GET {job} at {node}: {state or 'no answer'}")
        return state

    def find_ended_processes(self) -> list[str]:
        """Return the daemons that have ended by themselves."""
        ended = [name for name, node in self.nodes.nodes.items() if node.handle.poll() is not None]
        for name in ended:
            node = self.nodes.nodes[name]
            self.record.add(f"{name} has ended with code {node.handle.returncode}")
            for line in node.log.read_text().splitlines()[-3:]:
                self.record.add(f"    {line[:200]}")
        return ended

    def read_memory_mb(self, node: str) -> float:
        """Return the resident memory of a daemon in MB; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.nodes.nodes[node].handle.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS")]
        return int(sizes[0]) / 1024 if sizes else 0.0


def build_job(steps: list[dict[str, Any]], *, run_ms: int = 100, **fields: Any) -> dict[str, Any]:
    """Return the body of a job whose tasks take `run_ms` on the stand-in of a runner."""
    return {"spec": f"run_ms={run_ms}", "steps": steps, **fields}


def run_script(script: Callable[[World], Awaitable[bool]], path: Path) -> None:
    """Run a script, which returns whether the rule was broken, and exit with its code.

    Parameters
    ----------
    script : callable
        The script.
    path : Path
        The script's own file; the record is written beside it.
    """
    record = Record(path.parent / "record.txt")
    record.add(f"TROUBLE={int(has_trouble())}")

    async def run() -> bool:
        nodes = Nodes()
        world = World(record, nodes)
        try:
            with anyio.fail_after(110):
                return await script(world)
        finally:
            world.close()
            nodes.close()

    try:
        is_broken = anyio.run(run)
    except Exception as error:
        # Without its folder, not even the record can be written.
        with contextlib.suppress(OSError):
            record.add(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.add("the rule was BROKEN" if is_broken else "the rule held")
    sys.exit(BROKEN if is_broken else HELD)
