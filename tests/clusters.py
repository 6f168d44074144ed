"""Base class of tests that use a cluster of processes: the platform, workers and daemons."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar

import anyio

from standins.cluster import Cluster, call, wait_for

DECLARATION_TEXT = """
[team a]
cores = 64
memory_mb = 64000

[service web]
team = a
runners = {runners}
cores = 2
memory_mb = 1000
latency_ms = 100

[request web/read]
idempotent = yes

[request web/write]
idempotent = no
"""

JOB_SECTION = """
[job {name}]
team = a
cores = 1
memory_mb = 500
run_time_s = {run_time_s}
tasks = {count}
checkpointing = yes
"""


def run_async(test: Callable[[], Awaitable[None]]) -> None:
    """Run an async test function to completion."""
    anyio.run(test, backend_options={"use_uvloop": True})


class ClusterTestCase(unittest.TestCase):
    """Base class that starts one cluster for all tests of a class.

    If a daemon doesn't start, the error shows the end of its log.

    Attributes
    ----------
    cluster : Cluster
        The running processes.
    availability_zones : tuple of str
        Availability zones; workers and daemons are distributed over them in turn.
    daemons, workers : int
        Number of daemons, named ``entry-0`` and up, and of workers, named ``worker-0`` and up.
    runners : int
        Number of runners of service web; nothing is declared if it is 0.
    settings : dict
        Settings of the daemons that differ from the defaults, by section.
    """

    cluster: ClassVar[Cluster]
    availability_zones: ClassVar[tuple[str, ...]] = ("zone-a",)
    daemons: ClassVar[int] = 1
    workers: ClassVar[int] = 1
    runners: ClassVar[int] = 2
    settings: ClassVar[dict[str, dict[str, Any]]] = {}

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = Cluster(zones=cls.availability_zones, settings=cls.settings)
        try:
            run_async(cls._start)
        except BaseException:
            cls.tearDownClass()
            raise

    @classmethod
    async def _start(cls) -> None:
        cluster = cls.cluster
        cluster.start_platform()
        availability_zones = [
            cls.availability_zones[index % len(cls.availability_zones)] for index in range(10)
        ]
        async with anyio.create_task_group() as group:
            for index in range(cls.workers):
                group.start_soon(cluster.start_worker, f"worker-{index}", availability_zones[index])
        await cluster.start_daemons(
            {f"entry-{n}": availability_zones[n] for n in range(cls.daemons)}
        )
        await cluster.wait_ready()
        if cls.runners:
            await cls.apply_declaration(DECLARATION_TEXT.format(runners=cls.runners))
            await cls.wait_for_runners(cls.runners)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.cluster.stop()

    @classmethod
    async def apply_declaration(cls, text: str, daemon: str = "entry-0") -> None:
        """Apply a declaration on top of the revision in force; fail if it isn't accepted."""
        operators = cls.cluster.daemons[daemon].ports["operators"]
        path = cls.cluster.folder / "applied.ini"
        path.write_text(text)
        result = await anyio.to_thread.run_sync(
            cls.cluster.run_tool, "apply", str(path), f"--daemon=127.0.0.1:{operators}", "--json"
        )
        if result.returncode:
            raise AssertionError(f"apply: {result.returncode}: {result.stdout}{result.stderr}")

    @classmethod
    async def wait_for_runners(cls, count: int, daemon: str = "entry-0") -> None:
        """Wait until a daemon routes requests to exactly `count` runners."""

        async def has_count() -> bool:
            return await cls.read_metric(daemon, "known_runners") == count

        await wait_for(has_count, timeout_s=20)

    @classmethod
    async def read_metric(cls, daemon: str, name: str) -> float:
        """Return the value of a metric; -1 if it is missing or the daemon doesn't respond."""
        response = await call(cls.cluster.daemons[daemon].ports["operators"], "GET", "/metrics")
        if response is None:
            return -1.0
        for line in response.body.decode().splitlines():
            if line.startswith(f"coltsfootpier_{name}"):
                return float(line.split()[-1])
        return -1.0

    def read_log(self, daemon: str) -> str:
        """Return the log of a daemon."""
        return self.cluster.daemons[daemon].log.read_text()

    def assert_healthy(self, daemon: str) -> None:
        """Check that a daemon still runs and has logged no traceback."""
        self.assertIsNone(self.cluster.daemons[daemon].handle.poll())
        self.assertNotIn("Traceback", self.read_log(daemon))
