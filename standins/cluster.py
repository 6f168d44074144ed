"""Cluster of stand-ins and daemons as processes, for the demo and for tests."""

from __future__ import annotations

import base64
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import attrs
import orjson

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.logs import parse_line
from coltsfootpier.transport import Connection

_MAX_BODY_BYTES = 64_000_000
_START_TIMEOUT_S = 20.0
_LISTENERS = ("callers", "peers", "operators")


@attrs.define(kw_only=True)
class Process:
    """A process of the cluster.

    Parameters
    ----------
    ports : dict of str to int
        Ports by listener; ``api`` is the only listener of a stand-in.
    log : Path, optional
        Log file of a daemon.
    """

    name: str
    handle: subprocess.Popen
    ports: dict[str, int]
    log: Path | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.handle.poll() is None:
            self.handle.send_signal(number)


@attrs.frozen(kw_only=True)
class ClientResponse:
    """An HTTP response as a caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Parse the body as JSON."""
        return orjson.loads(self.body)


async def call(
    port: int,
    method: str,
    target: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_ms: float = 10_000,
) -> ClientResponse | None:
    """Make one HTTP call on a new connection; return None if no complete response arrived."""
    clock = MonotonicClock()
    connection = Connection(
        host="127.0.0.1", port=port, clock=clock, max_body_bytes=_MAX_BODY_BYTES
    )
    encoded_headers = [(name.encode(), value.encode()) for name, value in (headers or {}).items()]
    try:
        result = await connection.exchange(
            method=method.encode(),
            target=target.encode(),
            headers=encoded_headers,
            body=body or b"",
            timeout_ms=timeout_ms,
            max_idle_ms=0.0,
        )
    finally:
        await connection.close()
    response = result.value_or(None)
    if response is None:
        return None
    decoded_headers = {name.decode(): value.decode("latin-1") for name, value in response.headers}
    return ClientResponse(status=response.status, headers=decoded_headers, body=response.body)


class Balancer:
    """Stand-in for the platform's load balancer, which checks the readiness of each daemon.

    Parameters
    ----------
    cluster : Cluster
        Cluster whose daemons are checked.
    period_ms : float, default=200
        Time between checks in ms.

    Attributes
    ----------
    ready : list of Process
        Daemons that were ready at the latest check.
    """

    def __init__(self, *, cluster: Cluster, period_ms: float = 200) -> None:
        self._cluster = cluster
        self._period_ms = period_ms
        self.ready: list[Process] = []

    async def run(self) -> None:
        """Check all daemons periodically until cancelled."""
        while True:
            await self.check()
            await anyio.sleep(self._period_ms / 1000)

    async def check(self) -> None:
        """Check the readiness of each running daemon once."""
        running = [
            daemon for daemon in self._cluster.daemons.values() if daemon.handle.poll() is None
        ]
        self.ready = [daemon for daemon in running if await is_ready(daemon)]


async def read_store(port: int, key: str) -> Any:
    """Return the JSON value of a key in the stand-in store."""
    response = await call(port, "GET", f"/coltsfootpier/kv-key?key={key}")
    return orjson.loads(base64.b64decode(response.json()["value"]))


class Cluster:
    """Stand-ins and daemons on loopback addresses.

    Parameters
    ----------
    zones : sequence of str
        Availability zones; each has one rack of workers.
    settings : dict, optional
        Additional settings of the daemons by section.
    """

    def __init__(
        self, *, zones: tuple[str, ...], settings: dict[str, dict[str, Any]] | None = None
    ) -> None:
        self.zones = zones
        self.platform: Process | None = None
        self.workers: dict[str, Process] = {}
        self.daemons: dict[str, Process] = {}
        self._settings = settings or {}
        self.folder = Path(tempfile.mkdtemp(prefix="coltsfootpier-"))
        self.balancer = Balancer(cluster=self)
        self._handles: list[subprocess.Popen] = []

    def start_platform(self) -> None:
        """Start the stand-in for the platform."""
        handle = self._spawn("platform", ["-m", "standins.platform"])
        self.platform = Process(name="platform", handle=handle, ports={"api": _read_port(handle)})

    async def start_worker(
        self,
        name: str,
        zone: str,
        *,
        rack: str = "",
        options: tuple[str, ...] = (),
        open_relay: Callable[[int], int] | None = None,
    ) -> Process:
        """Start a worker and add it to the list of VMs.

        `open_relay` opens a relay to the worker's port and returns the port of the relay, which the
        list of VMs then holds instead of the worker's.
        """
        handle = self._spawn(name, ["-m", "standins.worker", f"--name={name}", *options])
        port = await anyio.to_thread.run_sync(_read_port, handle)
        self.workers[name] = Process(name=name, handle=handle, ports={"api": port})
        await self.update_vm(
            name=name,
            state="live",
            role="worker",
            availability_zone=zone,
            rack=rack or f"rack-{zone}",
            address=f"127.0.0.1:{open_relay(port) if open_relay else port}",
        )
        return self.workers[name]

    async def update_vm(self, **vm: str) -> None:
        """Add or update a VM in the platform's list of VMs, which shows the change after a delay.

        Only the given fields are changed.
        """
        await call(self.platform.ports["api"], "POST", "/vms", body=orjson.dumps(vm))

    def start_daemon(
        self, name: str, zone: str, *, seeds: tuple[str, ...] = (), platform_port: int = 0
    ) -> Process:
        """Start a daemon on free ports; `wait_ready` waits until it accepts requests.

        `platform_port` is the port of a relay to the platform; 0 connects to it directly.
        """
        platform_port = platform_port or self.platform.ports["api"]
        sections = {
            "daemon": {"name": name, "availability_zone": zone},
            "listen": dict.fromkeys(_LISTENERS, "127.0.0.1:0"),
            "platform": {"address": f"127.0.0.1:{platform_port}"},
        }
        if seeds:
            sections["peers"] = {"seeds": ", ".join(seeds)}
        for section, values in self._settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines += [f"[{section}]", *(f"{key} = {value}" for key, value in values.items())]
        path = self.folder / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n")
        log = self.folder / f"{name}.log"
        log_offset = log.stat().st_size if log.exists() else 0
        handle = self._spawn(name, ["-m", "coltsfootpier.daemon", f"--settings={path}"])
        ports = _read_bound_ports(handle, log, log_offset)
        self.daemons[name] = Process(name=name, handle=handle, ports=ports, log=log)
        return self.daemons[name]

    async def start_daemons(self, zones: dict[str, str]) -> None:
        """Start several daemons concurrently; `zones` maps each name to its availability zone."""
        async with anyio.create_task_group() as group:
            for name, zone in zones.items():
                group.start_soon(anyio.to_thread.run_sync, self.start_daemon, name, zone)

    async def wait_ready(self, *, timeout_s: float = _START_TIMEOUT_S) -> None:
        """Wait until each daemon is ready, for at most `timeout_s` seconds per daemon."""
        for daemon in self.daemons.values():
            await wait_for(lambda d=daemon: is_ready(d), timeout_s=timeout_s)
        await self.balancer.check()

    async def read_status(self, daemon: str) -> dict[str, Any]:
        """Return the status of a daemon, or an empty dict if it doesn't respond."""
        response = await call(self.daemons[daemon].ports["operators"], "GET", "/v1/status")
        return response.json() if response is not None and response.status == 200 else {}

    async def count_running(self, daemon: str, prefix: str) -> int:
        """Count the running tasks whose name starts with `prefix`, as shown by a daemon."""
        status = await self.read_status(daemon)
        return sum(
            task["state"] == "running" and task["task"].startswith(prefix)
            for task in status.get("tasks", ())
        )

    async def set_faults(self, process: Process, **faults: Any) -> None:
        """Replace the injected faults of a stand-in; no arguments clear them."""
        await call(process.ports["api"], "POST", "/faults", body=orjson.dumps(faults))

    def run_tool(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the command-line tool and return its output and exit code."""
        command = [sys.executable, "-m", "coltsfootpier.cli", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    def stop(self) -> None:
        """Stop all processes that this object started; kill those that still run after 3 s."""
        for handle in self._handles:
            if handle.poll() is None:
                handle.send_signal(signal.SIGCONT)
                handle.terminate()
        deadline_s = time.monotonic() + 3
        for handle in self._handles:
            try:
                handle.wait(max(0.05, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                handle.kill()
                handle.wait()
            if handle.stdout is not None:
                handle.stdout.close()

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen:
        log = (self.folder / f"{name}.log").open("a")
        handle = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        log.close()
        self._handles.append(handle)
        return handle


async def is_ready(daemon: Process) -> bool:
    """Return whether a daemon accepts requests."""
    response = await call(daemon.ports["operators"], "GET", "/readyz", timeout_ms=1_000)
    return response is not None and response.status == 200


def _read_port(handle: subprocess.Popen) -> int:
    line = handle.stdout.readline()
    if not line.startswith("port="):
        raise ConnectionError(f"the process did not start: {line!r}")
    return int(line.removeprefix("port="))


def _read_bound_ports(handle: subprocess.Popen, log: Path, offset: int) -> dict[str, int]:
    # Daemons bind free ports themselves and log them, so that two daemons can't collide.
    deadline_s = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < deadline_s and handle.poll() is None:
        with log.open() as lines:
            lines.seek(offset)
            for line in lines:
                fields = parse_line(line) if line.endswith("\n") else {}
                if fields.get("event") == "started":
                    return {listener: int(fields[listener]) for listener in _LISTENERS}
        time.sleep(0.02)
    raise ConnectionError(f"the daemon did not start: {log.read_text()[offset:][-500:]}")


async def wait_for(condition: Any, *, timeout_s: float) -> float:
    """Wait until an async condition holds.

    Parameters
    ----------
    condition : callable
        Async function that returns whether the condition holds.
    timeout_s : float
        Longest time to wait in s.

    Returns
    -------
    float
        Time that it took in s.

    Raises
    ------
    TimeoutError
        If the condition doesn't hold within `timeout_s`.
    """
    start_s = time.monotonic()
    while not await condition():
        if time.monotonic() - start_s > timeout_s:
            raise TimeoutError(f"condition not met within {timeout_s} s")
        await anyio.sleep(0.05)
    return time.monotonic() - start_s
