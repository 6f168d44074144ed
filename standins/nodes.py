"""Stand-ins for the users' platform and the daemons that run on it, as processes."""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import attrs
import orjson
from returns.result import Success

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.journal import decode_owner
from coltsfootpier.node.keys import OWNER_KEY
from coltsfootpier.platform import (
    CONFIG_KEY,
    REGISTRY_PREFIX,
    SETTINGS_VARIABLE,
    WAVES_PREFIX,
    StoreClient,
    Write,
    encode_wave_status,
)
from coltsfootpier.transport import HttptoolsConnection
from standins.cluster import ClientResponse, call, wait_for
from standins.daemon import LINKS_VARIABLE
from standins.histories import RunRecord, parse_records
from standins.ports import PortReservations

# Host and path prefix of the requests that `Nodes.request` sends.
HOST = "a.example"
PREFIX = "/p/"
# Reads of a history, and the time between two; a restart resets connections that open meanwhile.
_HISTORY_ATTEMPTS = 3
_HISTORY_PAUSE_S = 0.05
# Range of the delay of calls that runners carry out late, in ms.
_LATE_RANGE_MS = (2_000.0, 12_000.0)
_RUNNER_CALLS = ("run-start", "run-stop", "pace", "hold")
_DAEMON_MODULES = ("coltsfootpier.node", "standins.daemon")
_ROOT = Path(__file__).resolve().parent.parent
_SETTINGS = """
node_name = "{name}"
role = "daemon"
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internal_ports = [{peer}, {last}]
serves = ["front"]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
hold_max_ms = {max_lease}
stop_grace_ms = {stop_grace}
grace_s = 6
restore_ms = 600
status_s = 120
maintenance_s = 1
lease_ms = 1000
[platform]
address = "127.0.0.1:{store}"
ttl_min_ms = 1000
[cloud_api]
address = "127.0.0.1:{vms}"
"""


@attrs.define(kw_only=True)
class Node:
    """A daemon process and its ports.

    Parameters
    ----------
    front : int
        Port for callers.
    ready : int
        Port of the readiness check.
    metrics : int
        Port of the metrics; the port for other daemons precedes it.
    """

    name: str
    handle: subprocess.Popen
    front: int
    ready: int
    metrics: int
    log: Path

    def list_ports(self) -> list[int]:
        """Return the ports of the daemon."""
        return [self.front, self.ready, self.metrics - 1, self.metrics]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon if it is still running."""
        if self.handle.poll() is None:
            self.handle.send_signal(number)


class Nodes:
    """A store, runners and daemons on the loopback address.

    Parameters
    ----------
    max_lease_ms : int, default=10_000
        Longest lease that a deadline gives on a runner.
    stop_grace_ms : int, default=200
        Longest time that a stop takes on a runner.
    memory_mb, max_fds : int
        Limits of memory and file descriptors in the daemons' settings.

    Attributes
    ----------
    nodes : dict of str to Node
        Daemons by name.
    runner_ports : list of int
        Ports of the runners whose process wasn't killed.
    past_runs : list of dict
        Rows of the histories of killed runners.
    """

    def __init__(
        self,
        *,
        max_lease_ms: int = 10_000,
        stop_grace_ms: int = 200,
        memory_mb: int = 300,
        max_fds: int = 4_100,
    ) -> None:
        self._max_lease_ms, self._stop_grace_ms = max_lease_ms, stop_grace_ms
        self._memory_mb, self._max_fds = memory_mb, max_fds
        self._folder = tempfile.TemporaryDirectory(prefix="coltsfootpier-")
        self._handles: list[subprocess.Popen] = []
        self._reservations = PortReservations()
        self.nodes: dict[str, Node] = {}
        self.runner_ports: list[int] = []
        self.past_runs: list[dict[str, Any]] = []
        # Rows of the histories that were read last.
        self._last_rows: list[dict[str, Any]] = []
        self.store_port = 0
        self._clock = MonotonicClock()

    def _spawn(self, module: str, *arguments: str, log: Path, **variables: str) -> subprocess.Popen:
        with log.open("ab") as stream:
            handle = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=_ROOT,
                stdout=stream if module in _DAEMON_MODULES else subprocess.PIPE,
                stderr=stream,
                env={**os.environ, **variables},
            )
        self._handles.append(handle)
        return handle

    def start_platform(self, runners: int) -> None:
        """Start the store and a number of runners."""
        folder = Path(self._folder.name)
        handle = self._spawn("standins.platform", log=folder / "store.log")
        self.store_port = int(handle.stdout.readline().split(b"=")[1])
        self.start_runners(runners)

    def start_runners(self, count: int) -> subprocess.Popen:
        """Start a process that hosts runners, and return it."""
        log = Path(self._folder.name) / "runners.log"
        handle = self._spawn(
            "standins.runners",
            f"--store={self.store_port}",
            f"--count={count}",
            f"--seed={len(self._handles)}",
            f"--max_lease_ms={self._max_lease_ms}",
            f"--stop_grace_ms={self._stop_grace_ms}",
            log=log,
        )
        ports = handle.stdout.readline().decode().strip().split("=")[1]
        self.runner_ports += [int(port) for port in ports.split(",")]
        return handle

    def start_node(
        self,
        name: str,
        *,
        store_port: int = 0,
        faulty_links: bool = False,
        ports: list[int] | None = None,
    ) -> Node:
        """Start a daemon.

        Parameters
        ----------
        name : str
            Name of its VM.
        store_port : int, default=0
            Port of a relay to the store; 0 for the store itself.
        faulty_links : bool, default=False
            Whether `set_links` may be used.
        ports : list of int, optional
            Ports in the order of `Node.list_ports`; free ones are reserved by default.
        """
        front, ready, peer, metrics = ports or self._reservations.reserve(4)
        folder = Path(self._folder.name)
        settings = folder / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=name,
                front=front,
                ready=ready,
                peer=peer,
                last=metrics,
                store=store_port or self.store_port,
                vms=self.store_port,
                max_lease=self._max_lease_ms,
                stop_grace=self._stop_grace_ms,
                memory_mb=self._memory_mb,
                max_fds=self._max_fds,
            )
        )
        log = folder / f"{name}.log"
        handle = self._spawn(
            "standins.daemon" if faulty_links else "coltsfootpier.node",
            log=log,
            **{SETTINGS_VARIABLE: str(settings), LINKS_VARIABLE: str(self._get_links_path(name))},
        )
        node = Node(name=name, handle=handle, front=front, ready=ready, metrics=metrics, log=log)
        self.nodes[name] = node
        return node

    def _get_links_path(self, name: str) -> Path:
        return Path(self._folder.name) / f"{name}.links.json"

    def set_links(self, name: str, faults: dict[int, str]) -> None:
        """Replace the faults of a daemon's paths to other ports; see `standins.daemon`."""
        path = self._get_links_path(name)
        # A rename, so that the daemon never reads a part of the file.
        draft = path.with_suffix(".draft")
        draft.write_bytes(orjson.dumps({str(port): fault for port, fault in faults.items()}))
        draft.rename(path)

    @contextlib.contextmanager
    def _open_store(self) -> Iterator[StoreClient]:
        store = StoreClient(
            host="127.0.0.1", port=self.store_port, clock=self._clock, timeout_ms=5_000.0
        )
        try:
            yield store
        finally:
            store.close()

    async def put_configuration(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write the operators' configuration."""
        value = orjson.dumps({"version": version, "routes": routes, "services": []})
        with self._open_store() as store:
            (await store.commit(expect={}, puts=[Write(CONFIG_KEY, value)])).unwrap()

    async def put_entry(self, runner_id: str, value: bytes) -> None:
        """Write an entry of the registry, as another writer than the runners would."""
        await self.put_value(f"{REGISTRY_PREFIX}{runner_id}", value)

    async def read_entries(self) -> dict[str, dict[str, Any]]:
        """Return the entries of the registry by the identifiers of the runners."""
        with self._open_store() as store:
            items = (await store.list_all(REGISTRY_PREFIX)).unwrap()
        return {item.key.removeprefix(REGISTRY_PREFIX): orjson.loads(item.value) for item in items}

    async def put_value(self, key: str, value: bytes) -> None:
        """Write a value to the store as it is given."""
        with self._open_store() as store:
            (await store.commit(expect={}, puts=[Write(key, value)])).unwrap()

    async def remove_value(self, key: str) -> None:
        """Remove a key from the store."""
        with self._open_store() as store:
            (await store.commit(expect={}, remove=[key])).unwrap()

    async def put_wave(self, number: int, vms: list[str], **changes: Any) -> bool:
        """Request maintenance of worker VMs; return whether the store confirmed the write."""
        wave = {"wave": number, "machines": vms, "duration_s": 20, "max_count": 1, **changes}
        write = Write(f"{WAVES_PREFIX}{number}", orjson.dumps(wave))
        with self._open_store() as store:
            return isinstance(await store.commit(expect={}, puts=[write]), Success)

    async def read_wave_status(self, number: int) -> str:
        """Return the state of a wave as stored for operators; empty if none is stored."""
        key, _ = encode_wave_status(number, completed=True)
        with self._open_store() as store:
            item = (await store.get(key)).unwrap()
        return orjson.loads(item.value)["state"] if item.value is not None else ""

    async def read_maintenance_runs(self) -> list[dict[str, Any]]:
        """Return each maintenance run of a worker VM with its start and end times."""
        response = await call(self.store_port, "GET", "/upkeeps", timeout_ms=2_000)
        return response.json()

    def list_vms(self) -> list[str]:
        """Return the worker VMs of all runners."""
        return [f"m-{port}" for port in self.runner_ports]

    async def wait_ready(self) -> None:
        """Wait until every daemon reports that it is ready.

        Raises
        ------
        TimeoutError
            If a daemon isn't ready in time; the message holds the ends of all daemon logs.
        """
        for node in self.nodes.values():
            try:
                await wait_for(lambda node=node: self._is_ready(node), timeout_s=20)
            except TimeoutError as error:
                exit_code = node.handle.poll()
                raise TimeoutError(
                    f"{node.name} isn't ready (exit code {exit_code}): {error}\n{self.read_logs()}"
                ) from error

    async def _is_ready(self, node: Node) -> bool:
        response = await call(node.ready, "GET", "/coltsfootpier/ready", timeout_ms=1_000)
        return response is not None and response.status == 200

    async def request(
        self, node: str, method: str, name: str, body: Any = None, timeout_ms: float = 3_000
    ) -> ClientResponse | None:
        """Send one request as a caller; return None if no complete response arrived."""
        connection = HttptoolsConnection(host="127.0.0.1", port=self.nodes[node].front)
        result = await connection.exchange(
            method,
            PREFIX + name,
            headers=(("Host", HOST), ("Deadline-Ms", str(int(timeout_ms)))),
            body=orjson.dumps(body) if body is not None else b"",
            timeout_ms=timeout_ms,
        )
        connection.close()
        if not isinstance(result, Success):
            return None
        response = result.unwrap()
        headers = {name.decode(): value.decode("latin-1") for name, value in response.headers}
        return ClientResponse(status=response.status, headers=headers, body=response.body)

    async def set_store_faults(self, **faults: Any) -> None:
        """Replace the injected faults of the store; no arguments clear them."""
        body = orjson.dumps(faults)
        await call(self.store_port, "POST", "/faults", body=body, timeout_ms=2_000)

    async def read_owner(self) -> str:
        """Return the name of the daemon that the owner's key names; empty if there is none."""
        with self._open_store() as store:
            item = await store.get(OWNER_KEY)
        owner = decode_owner(item.unwrap().value) if isinstance(item, Success) else None
        return owner.holder.rsplit("-", 1)[0] if owner is not None else ""

    async def remove_owner_key(self) -> None:
        """Remove the owner's key without ending its lease, whose renewals go on to succeed."""
        body = orjson.dumps({"keys": [OWNER_KEY]})
        await call(self.store_port, "POST", "/remove", body=body, timeout_ms=2_000)

    async def wait_renewal(self, timeout_ms: float) -> bool:
        """Wait until the store has renewed a lease and is about to send the response."""
        response = await call(self.store_port, "GET", "/renewal", timeout_ms=timeout_ms)
        return response is not None and response.status == 200

    async def read_history(self) -> list[RunRecord]:
        """Return the ended and the current runs of all runners, including killed ones.

        Raises
        ------
        ConnectionError
            If a runner doesn't respond.
        """
        rows = list(self.past_runs)
        for port in self.runner_ports:
            rows += await self._read_runs(port, "GET", "/history")
        self._last_rows = rows
        return parse_records(rows)

    async def _read_runs(self, port: int, method: str, target: str) -> list[dict[str, Any]]:
        for _ in range(_HISTORY_ATTEMPTS):
            response = await call(port, method, target, timeout_ms=5_000)
            if response is not None:
                return response.json()["runs"]
            await anyio.sleep(_HISTORY_PAUSE_S)
        raise ConnectionError(f"the runner at port {port} doesn't respond")

    async def restart_runner(
        self, port: int, *, keep_id: bool, down_ms: float, hidden_ms: float = 0.0
    ) -> None:
        """Crash a runner, which starts again at its address under its id or another one.

        Parameters
        ----------
        port : int
            Port of the runner.
        keep_id : bool
            Whether the next incarnation has the same id.
        down_ms : float
            Time until the next incarnation starts.
        hidden_ms : float
            Time for which the runner can't reach the store.
        """
        body = orjson.dumps({"keep_id": keep_id, "down_ms": down_ms, "hidden_ms": hidden_ms})
        await call(port, "POST", "/restart", body=body, timeout_ms=5_000)

    async def set_runner_faults(
        self,
        port: int,
        *,
        late_share: float = 0.0,
        late_range_ms: tuple[float, float] | None = _LATE_RANGE_MS,
        late_calls: tuple[str, ...] = _RUNNER_CALLS,
    ) -> None:
        """Set the share of some calls that a runner carries out late and without a response.

        Without a range, they are carried out after `release_calls`.
        """
        body = orjson.dumps(
            {"late_share": late_share, "late_range_ms": late_range_ms, "late_calls": late_calls}
        )
        await call(port, "POST", "/faults", body=body, timeout_ms=5_000)

    async def count_held_calls(self, port: int) -> int:
        """Return the number of late calls of a runner that wait for `release_calls`."""
        response = await call(port, "GET", "/held", timeout_ms=5_000)
        return response.json()["count"] if response is not None else 0

    async def release_calls(self, port: int) -> None:
        """Let a runner carry out the late calls that wait for it."""
        await call(port, "POST", "/release", timeout_ms=5_000)

    async def kill_runners(self, handle: subprocess.Popen, ports: list[int]) -> None:
        """Kill a process that hosts runners; their runs end before their histories are read."""
        # A frozen process can't return the histories.
        handle.send_signal(signal.SIGCONT)
        for port in ports:
            self.runner_ports.remove(port)
            self.past_runs += await self._read_runs(port, "POST", "/crash")
        handle.kill()
        for port in ports:
            body = orjson.dumps({"id": f"m-{port}", "runner": ""})
            await call(self.store_port, "POST", "/worker", body=body, timeout_ms=2_000)

    def read_logs(self) -> str:
        """Return the last 2,000 characters of each daemon's log."""
        return "\n".join(
            f"{node.name}:\n{node.log.read_text()[-2_000:]}" for node in self.nodes.values()
        )

    def save_logs(self, path: Path) -> None:
        """Copy the logs of all processes, and the rows of the last histories read, to a folder."""
        path.mkdir(parents=True, exist_ok=True)
        for log in Path(self._folder.name).glob("*.log"):
            shutil.copy(log, path)
        rows = sorted(self._last_rows, key=lambda row: (row["task"], row["begin_ms"]))
        (path / "histories.jsonl").write_bytes(b"".join(orjson.dumps(row) + b"\n" for row in rows))

    def close(self) -> None:
        """Kill all processes that this object started, and delete their files."""
        for handle in self._handles:
            if handle.poll() is None:
                handle.kill()
        for handle in self._handles:
            handle.wait(timeout=10)
            if handle.stdout is not None:
                handle.stdout.close()
        self._reservations.close()
        self._folder.cleanup()
