"""Small deployment on loopback addresses for the scripts of the second review.

The daemons run with the command of the deploy file. The store and the runners are the stand-ins of
the project, as separate processes.
"""

from __future__ import annotations

import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import anyio
import attrs
import orjson

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.platform import CONFIG_KEY, SETTINGS_VARIABLE, StoreClient, Write
from coltsfootpier.transport import HttptoolsConnection
from standins.histories import RunRecord

ROOT = Path(__file__).resolve().parent.parent
HOST = "nony24.example"
PREFIX = "/lohu930/"
ROUTE = {
    "name": "r-1",
    "host": HOST,
    "prefix": PREFIX,
    "type": "non_idempotent",
    "timeout_ms": 3_000,
    "slo_ms": 60_000,
    "priority": 0,
    "service": "web",
    "max_attempts": 3,
    "stretch": 3.0,
}
# Values of the smallest deployment, but for addresses and ports.
_SETTINGS = """
node_name = "{name}"
role = "daemon"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internal_ports = [{peer}, {metrics}]
seeds = []
bootstrap = true
heartbeat_ms = 1500
control_mode = "call"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
hold_max_ms = 10000
stop_grace_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
status_s = 120
restore_ms = 600
maintenance_s = 2
lease_ms = 3000
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
ttl_min_ms = 1000
[cloud_api]
address = "127.0.0.1:{vms}"
rate_per_s = 60.0
"""


@attrs.define(kw_only=True)
class Daemon:
    """A daemon process and its ports."""

    name: str
    ports: tuple[int, int, int, int]
    handle: subprocess.Popen

    @property
    def front(self) -> int:
        """Port for clients."""
        return self.ports[0]


@attrs.frozen
class Answer:
    """A complete answer to a call."""

    status: int
    body: bytes


def describe_run(run: RunRecord) -> str:
    """Describe a run of a task, with times in ms on the clock of the machine."""
    end = "goes on" if run.end_ms is None else f"{run.how} at {run.end_ms:.0f}"
    noted = "" if run.acknowledged_ms is None else f", observed at {run.acknowledged_ms:.0f}"
    lapsed = ", lease lapsed before" if run.lapsed else ""
    return (
        f"{run.task} #{run.attempt} token {run.token} on {run.runner} born {run.born}"
        f" from {run.begin_ms:.0f}, {end}{noted}{lapsed}"
    )


class Recorder:
    """Writer of `record.txt`; times are in seconds since its creation."""

    def __init__(self, path: Path) -> None:
        self._stream = path.open("w")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._stream.write(f"{time.monotonic() - self._start_s:9.3f} {text}\n")
        self._stream.flush()


def reserve_ports() -> tuple[int, int, int, int]:
    """Return four free ports, of which the last two are adjacent."""
    while True:
        with socket.socket() as first, socket.socket() as second, socket.socket() as peer:
            for probe in (first, second, peer):
                probe.bind(("127.0.0.1", 0))
            port = peer.getsockname()[1]
            with socket.socket() as metrics:
                try:
                    metrics.bind(("127.0.0.1", port + 1))
                except OSError:
                    continue
            return first.getsockname()[1], second.getsockname()[1], port, port + 1


async def call(
    port: int,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    timeout_ms: float = 3_000.0,
) -> Answer | None:
    """Make one call on a new connection; return None without a complete answer."""
    connection = HttptoolsConnection(host="127.0.0.1", port=port)
    try:
        result = await connection.exchange(
            method, target, headers=headers, body=body, timeout_ms=timeout_ms
        )
    finally:
        connection.close()
    reply = result.value_or(None)
    return None if reply is None else Answer(reply.status, reply.body)


class Cluster:
    """A store, runners and daemons; use it as a context manager, which ends all processes.

    Parameters
    ----------
    record : Recorder
        Gets the calls of clients and the events of processes.
    """

    def __init__(self, record: Recorder) -> None:
        self.record = record
        self.daemons: dict[str, Daemon] = {}
        self.runner_ports: list[int] = []
        self.store_port = 0
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._handles: list[subprocess.Popen] = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = shlex.split(deploy["roles"]["daemon"]["run"])

    def __enter__(self) -> Cluster:
        return self

    def __exit__(self, *_: object) -> None:
        for handle in self._handles:
            if handle.poll() is None:
                handle.send_signal(signal.SIGCONT)
                handle.kill()
        for handle in self._handles:
            handle.wait(timeout=10)
            if handle.stdout is not None:
                handle.stdout.close()
        self._folder.cleanup()

    def _spawn(self, command: list[str], log: str, *, piped: bool, **env: str) -> subprocess.Popen:
        path = f"{ROOT / 'target/deps'}{os.pathsep}{ROOT}"
        with (Path(self._folder.name) / log).open("ab") as stream:
            handle = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=subprocess.PIPE if piped else stream,
                stderr=stream,
                env={**os.environ, "PYTHONPATH": path, **env},
            )
        self._handles.append(handle)
        return handle

    def start_stand_in(self, module: str, *arguments: str) -> list[int]:
        """Start a stand-in, which prints its ports, and return them."""
        command = [sys.executable, "-m", module, *arguments]
        handle = self._spawn(command, f"{module}.log", piped=True)
        line = handle.stdout.readline().decode().strip()
        return [int(port) for port in line.split("=")[1].split(",")]

    def start_platform(self) -> None:
        """Start the store and the service that lists worker VMs."""
        (self.store_port,) = self.start_stand_in("standins.platform")

    def start_daemon(self, name: str) -> Daemon:
        """Start a daemon with the command of the deploy file, at the ports that it had before."""
        ports = self.daemons[name].ports if name in self.daemons else reserve_ports()
        front, ready, peer, metrics = ports
        settings = Path(self._folder.name) / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=name,
                front=front,
                ready=ready,
                peer=peer,
                metrics=metrics,
                store=self.store_port,
                vms=self.store_port,
            )
        )
        variables = {SETTINGS_VARIABLE: str(settings)}
        handle = self._spawn(list(self._command), f"{name}.log", piped=False, **variables)
        self.daemons[name] = Daemon(name=name, ports=ports, handle=handle)
        self.record.write(f"started {name}")
        return self.daemons[name]

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until all daemons are ready; return whether they are."""
        end_s = time.monotonic() + timeout_s
        for daemon in self.daemons.values():
            while True:
                answer = await call(daemon.ports[1], "GET", "/coltsfootpier/ready")
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > end_s:
                    return False
                await anyio.sleep(0.1)
        return True

    async def put_value(self, key: str, value: object) -> None:
        """Write a value to the store as the operator does."""
        store = StoreClient(
            host="127.0.0.1", port=self.store_port, clock=MonotonicClock(), timeout_ms=5_000.0
        )
        (await store.commit(expect={}, puts=[Write(key, orjson.dumps(value))])).unwrap()
        store.close()

    async def put_configuration(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write the operator's configuration."""
        await self.put_value(CONFIG_KEY, {"version": version, "routes": routes, "services": []})

    async def request(
        self, name: str, method: str, job_id: str, body: object = None
    ) -> Answer | None:
        """Send a client's request to a daemon and record it with its answer."""
        encoded = b"" if body is None else orjson.dumps(body)
        self.record.write(f"{method} {job_id} to {name} {encoded.decode()}")
        answer = await call(
            self.daemons[name].front,
            method,
            PREFIX + job_id,
            headers=(("Host", HOST), ("Deadline-Ms", "3000")),
            body=encoded,
        )
        text = "no answer" if answer is None else f"{answer.status} {answer.body.decode()}"
        self.record.write(f"{method} {job_id} at {name}: {text}")
        return answer

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (Path(self._folder.name) / f"{name}.log").read_text()
