"""Process tests of jobs that wait for their due time in large numbers."""

from __future__ import annotations

import secrets
import time
import unittest
from collections import Counter
from functools import partial
from typing import Any

import anyio

from standins.cluster import wait_for
from standins.nodes import Nodes
from tests.clusters import run_async
from tests.flooding import MemorySampler
from tests.test_processes_nodes import ROUTE, build_job_body

# Memory in the settings of the daemon; a process without jobs takes 45 MB of it.
_MEMORY_MB = 96
_CLIENTS = 8
_HOUR_MS = 3_600_000
# Generous limit; no result depends on the time that anything takes.
_TIMEOUT_S = 40


def _build_scheduled_body(*, steps: int, occurrences: int, text: str = "") -> dict[str, Any]:
    """Build the body of a job whose first occurrence is due in an hour."""
    return {
        **build_job_body(count=1, steps=steps, text=text),
        "repeat_count": occurrences,
        "start_at_ms": int(time.time() * 1000) + _HOUR_MS,
        "interval_ms": 60_000,
    }


class WaitingJobsTest(unittest.TestCase):
    """One daemon, which owns the cell and is killed and started again."""

    runs_alone = True

    def setUp(self) -> None:
        """Prepare the stand-ins."""
        self.nodes = Nodes(memory_mb=_MEMORY_MB)
        self.addCleanup(self.nodes.close)

    def test_many_occurrences(self) -> None:
        """Guards against an owner that exceeds its memory over occurrences to come (review/13)."""
        body = _build_scheduled_body(steps=5, occurrences=1_000)
        run_async(partial(self._check, body, 20, {200}))

    def test_many_jobs(self) -> None:
        """Guards against jobs that are small one by one and together exceed the memory."""
        body = _build_scheduled_body(steps=64, occurrences=1, text="x" * 3_900)
        run_async(partial(self._check, body, 2_000, {200, 429}))

    async def _check(self, body: dict[str, Any], count: int, expected: set[int]) -> None:
        """Submit a job many times, and check the owner and two later ones.

        Parameters
        ----------
        body : dict
            Body of the job.
        count : int
            Number of submissions.
        expected : set of int
            Statuses of the responses; there has to be one of each at least.
        """
        self.nodes.start_platform(runners=1)
        await self.nodes.put_configuration(1, [ROUTE])
        ports = None
        statuses: Counter[int] = Counter()
        for number in range(3):
            node = self.nodes.start_node("n0", ports=ports)
            ports = node.list_ports()
            with MemorySampler(node.handle.pid, ports) as sampler:
                await self.nodes.wait_ready()
                await self._check_ordinary_job()
                if not number:
                    statuses = await self._submit_many(body, count)
                    await self._check_ordinary_job()
                    self.assertEqual(set(statuses), expected)
            print(f"{self.id()}: owner {number}, {sampler.peak_mb:.0f} MB, {statuses}", flush=True)
            self.assertIsNone(node.handle.poll(), "the process has ended")
            self.assertLess(sampler.peak_mb, _MEMORY_MB)
            node.handle.kill()
            node.handle.wait(timeout=_TIMEOUT_S)

    async def _submit_many(self, body: dict[str, Any], count: int) -> Counter[int]:
        """Submit jobs from several clients at once and count the statuses."""
        statuses: Counter[int] = Counter()
        names = iter([secrets.token_hex(8) for _ in range(count)])

        async def submit() -> None:
            for name in names:
                response = await self.nodes.request(
                    "n0", "POST", name, body, timeout_ms=_TIMEOUT_S * 1_000
                )
                statuses[0 if response is None else response.status] += 1

        async with anyio.create_task_group() as group:
            for _ in range(_CLIENTS):
                group.start_soon(submit)
        return statuses

    async def _check_ordinary_job(self) -> None:
        """Check that a job without a schedule is accepted and completed."""
        name = secrets.token_hex(8)

        async def is_accepted() -> bool:
            response = await self.nodes.request("n0", "POST", name, build_job_body(count=1))
            return response is not None and response.status == 200

        async def is_completed() -> bool:
            response = await self.nodes.request("n0", "GET", name)
            return response is not None and response.json().get("state") == "completed"

        await wait_for(is_accepted, timeout_s=_TIMEOUT_S)
        await wait_for(is_completed, timeout_s=_TIMEOUT_S)
