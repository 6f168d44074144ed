"""Start of the stand-ins of the review's cases, and calls to them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from standins import nodes as node_stand_ins
from standins.cluster import call
from standins.nodes import Nodes


def start_store(nodes: Nodes) -> None:
    """Start the store without runners."""
    handle = nodes._spawn("standins.platform", log=Path(nodes._folder.name) / "store.log")
    nodes.store_port = int(handle.stdout.readline().split(b"=")[1])


def start_kind_runners(nodes: Nodes, kinds: list[str], **options: Any) -> list[int]:
    """Start a process with a runner of each kind, and return the ports of the runners."""
    return _start_runners(nodes, "review.kinds", kinds=",".join(kinds), **options)


def start_lasting_runners(nodes: Nodes, services: list[str]) -> list[int]:
    """Start a process with a runner of each service, and return the ports of the runners."""
    return _start_runners(nodes, "review.lasting", services=",".join(services))


def _start_runners(nodes: Nodes, module: str, **options: Any) -> list[int]:
    handle = nodes._spawn(
        module,
        f"--store={nodes.store_port}",
        *(f"--{name}={value}" for name, value in options.items()),
        log=Path(nodes._folder.name) / "runners.log",
    )
    ports = [int(port) for port in handle.stdout.readline().decode().strip()[6:].split(",")]
    nodes.runner_ports += ports
    return ports


async def call_runner(port: int, method: str, target: str, body: Any = None) -> Any:
    """Send a call that controls a stand-in, and return its response."""
    data = b"" if body is None else orjson.dumps(body)
    response = await call(port, method, target, body=data, timeout_ms=5_000)
    if response is None or response.status != 200:
        raise ConnectionError(f"{method} {target} at the runner's port {port}: {response}")
    return response


def set_bounds(**bounds: float) -> None:
    """Change bounds in the settings of the daemons that are started from now on."""
    lines = node_stand_ins._SETTINGS.splitlines()
    for name, value in bounds.items():
        lines = [f"{name} = {value}" if line.startswith(f"{name} =") else line for line in lines]
    node_stand_ins._SETTINGS = "\n".join(lines) + "\n"
