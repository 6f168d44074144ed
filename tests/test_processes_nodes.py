"""Daemons on the stand-ins of the users' platform, as processes."""

import re
import secrets
import signal
import sys
import unittest
from collections import Counter
from unittest import mock

import anyio
import orjson

from standins.cluster import wait_for
from standins.nodes import HOST, PREFIX, Nodes
from tests.clusters import run_async

ROUTE = {
    "name": "r-1",
    "host": HOST,
    "prefix": PREFIX,
    "timeout_ms": 3_000,
    "slo_ms": 2_000,
    "priority": 0,
    "service": "web",
    "max_attempts": 2,
    "stretch": 3.0,
}
# Time for what takes a second or two on a free machine.
WIDE_S = 40


def build_body(run_ms=200, count=2, steps=1, text=""):
    """Build the body of a job whose steps follow each other."""
    step = {"count": count, "cpu": 500, "mem_mb": 100, "estimate_ms": run_ms}
    return {
        "spec": f"run_ms={run_ms} {text}",
        "steps": [{**step, "after": [number - 1]} if number else step for number in range(steps)],
    }


class NodesTestCase(unittest.TestCase):
    """A store, three runners and three daemons for each test."""

    def setUp(self):
        self.nodes = Nodes()
        self.addCleanup(self.nodes.close)
        run_async(self._start)

    async def _start(self):
        self.nodes.start_platform(runners=3)
        await self.nodes.put_configuration(1, [ROUTE])
        for number in range(3):
            self.nodes.start_node(f"n{number}")
        await self.nodes.wait_ready()

    async def submit(self, node, body):
        """Hand a job in as callers do: again at another daemon after an unclear answer."""
        job_id = secrets.token_hex(8)
        order = [node, *(name for name in self.nodes.nodes if name != node)]
        for name in order * 10:
            answer = await self.nodes.request(name, "POST", job_id, body)
            if answer is not None and answer.status == 200:
                return job_id
            await anyio.sleep(0.2)
        raise AssertionError(f"job not accepted\n{self.nodes.read_logs()}")

    async def read_state(self, node, job_id):
        """Return the state of a job, or the status of the answer."""
        answer = await self.nodes.request(node, "GET", job_id)
        if answer is None:
            return "no answer"
        return answer.json()["state"] if answer.status == 200 else answer.status

    async def wait_state(self, node, job_id, state):
        """Wait until a daemon shows a state of a job."""

        async def is_shown():
            return await self.read_state(node, job_id) == state

        try:
            await wait_for(is_shown, timeout_s=WIDE_S)
        except TimeoutError:
            shown = await self.read_state(node, job_id)
            self.fail(f"{job_id} is {shown}, not {state}\n{self.nodes.read_logs()}")

    def find_owner(self):
        """Return the name of the daemon that became the owner last."""
        begun = {}
        for node in self.nodes.nodes.values():
            for line in node.log.read_text().splitlines():
                if 'event="ownership begins"' in line:
                    generation = int(re.search(r"generation=(\d+)", line).group(1))
                    begun[generation] = node.name
        return begun[max(begun)]

    async def assert_single_runs(self, job_ids):
        """Check that no task ran twice at once, nor again after it was done."""
        runs = [run for run in await self.nodes.read_history() if run["task"][:16] in job_ids]
        done = Counter(run["task"] for run in runs if run["how"] == "done")
        self.assertEqual([task for task, count in done.items() if count > 1], [])
        by_task = {}
        for run in sorted(runs, key=lambda run: run["begin_ms"]):
            last = by_task.get(run["task"])
            if last is not None:
                self.assertGreaterEqual(run["begin_ms"], last["end_ms"], (last, run))
            by_task[run["task"]] = run


class PathTest(NodesTestCase):
    """The whole path, and what callers see of it."""

    def test_jobs_from_any_daemon(self):
        """Guards against a job that only the daemon that took it knows."""

        async def test():
            first = await self.submit("n0", build_body(steps=2))
            second = await self.submit("n1", build_body(text="fail"))
            await self.wait_state("n2", first, "completed")
            await self.wait_state("n0", second, "failed")
            self.assertEqual(await self.read_state("n1", secrets.token_hex(8)), 410)
            lasting = await self.submit("n2", build_body(run_ms=60_000))
            await self.wait_state("n0", lasting, "running")
            answer = await self.nodes.request("n1", "DELETE", lasting)
            self.assertEqual(answer.status, 200)
            self.assertEqual(await self.read_state("n2", lasting), "cancelled")
            pending = await self.nodes.request("n0", "GET", "")
            self.assertEqual(pending.json(), {"pending": 0})
            await self.assert_single_runs({first, second, lasting})
            await self._check_tool(first)

        run_async(test)

    async def _check_tool(self, job_id):
        """Guards against an operators' tool that can't read what the daemons keep."""
        address = f"--store=127.0.0.1:{self.nodes.store_port}"
        shown = await self._run_tool("store", address)
        self.assertEqual(shown["jobs"]["r-1 completed"], 1)
        self.assertEqual(shown["owner"]["holder"].split("-")[0], self.find_owner())
        self.assertEqual((await self._run_tool("store", job_id, address))["state"], "completed")

    async def _run_tool(self, *arguments):
        command = [sys.executable, "-m", "coltsfootpier.cli", *arguments, "--json"]
        result = await anyio.run_process(command, check=True)
        return orjson.loads(result.stdout)

    def test_configuration_takes_effect_everywhere(self):
        """Guards against a daemon that goes on with dropped routes."""

        async def test():
            await self.nodes.put_configuration(2, [{**ROUTE, "prefix": "/other/"}])
            for node in self.nodes.nodes:

                async def is_gone(node=node):
                    answer = await self.nodes.request(node, "GET", "")
                    return answer is not None and answer.status == 404

                await wait_for(is_gone, timeout_s=WIDE_S)

        run_async(test)


class AddressTest(unittest.TestCase):
    """A daemon whose address is taken."""

    def test_taken_address(self):
        """Guards against a daemon that ends without a word about the address that it needs."""
        nodes = Nodes()
        self.addCleanup(nodes.close)
        nodes.start_platform(runners=1)
        first = nodes.start_node("n0")

        async def test():
            await nodes.put_configuration(1, [ROUTE])
            await nodes.wait_ready()
            with mock.patch("standins.nodes._reserve_ports", return_value=first.list_ports()):
                second = nodes.start_node("n1")
            code = await anyio.to_thread.run_sync(lambda: second.handle.wait(timeout=WIDE_S))
            self.assertEqual(code, 4)
            self.assertIn('event="address not available"', second.log.read_text())

        run_async(test)


class DrainTest(unittest.TestCase):
    """A daemon that stops while requests wait."""

    def test_waiting_requests_are_answered(self):
        """Guards against 500 for requests that the end of the process cuts off (soak seed 547)."""
        nodes = Nodes()
        self.addCleanup(nodes.close)
        nodes.start_platform(runners=1)
        node = nodes.start_node("n0")

        async def test():
            # Their own deadlines are long after the end of the process.
            await nodes.put_configuration(1, [{**ROUTE, "timeout_ms": 20_000}])
            await nodes.wait_ready()
            await nodes.set_store_faults(silent=True)
            statuses = []

            async def ask(method, body=None):
                answer = await nodes.request(
                    "n0", method, secrets.token_hex(8), body, timeout_ms=20_000
                )
                statuses.append(answer.status if answer is not None else None)

            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(ask, "GET")
                    group.start_soon(ask, "POST", build_body())
                await anyio.sleep(0.5)
                node.signal(signal.SIGTERM)
            self.assertEqual(len(statuses), 6)
            self.assertLessEqual(set(statuses), {503, 504}, node.log.read_text()[-2_000:])

        run_async(test)


class UpkeepTest(NodesTestCase):
    """Worker VMs that go down for their upkeep while jobs run."""

    def test_wave(self):
        """Guards against a VM without its upkeep, two down at once, and tasks lost with them."""

        async def test():
            jobs = [await self.submit("n0", build_body(run_ms=900, count=4)) for _ in range(3)]
            vms = self.nodes.list_vms()
            await self.nodes.put_wave(1, vms)
            owner = self.find_owner()
            self.nodes.nodes[owner].signal(signal.SIGTERM)
            others = [name for name in self.nodes.nodes if name != owner]
            jobs.append(await self.submit(others[0], build_body(run_ms=900, count=4)))

            async def is_complete():
                return await self.nodes.read_wave_status(1) == "completed"

            await wait_for(is_complete, timeout_s=WIDE_S)
            for job_id in jobs:
                await self.wait_state(others[1], job_id, "completed")
            upkeeps = await self.nodes.read_maintenance_runs()
            self.assertEqual(sorted(row["machine"] for row in upkeeps), sorted(vms))
            upkeeps.sort(key=lambda row: row["begin_ms"])
            for earlier, later in zip(upkeeps, upkeeps[1:], strict=False):
                self.assertGreaterEqual(later["begin_ms"], earlier["end_ms"])

        run_async(test)


class OwnerTest(NodesTestCase):
    """The owner of the cell stops, dies or stands still."""

    def _play(self, number):
        async def test():
            jobs = [await self.submit("n0", build_body(run_ms=1_500, steps=2)) for _ in range(4)]
            owner = self.find_owner()
            self.nodes.nodes[owner].signal(number)
            others = [name for name in self.nodes.nodes if name != owner]
            jobs.append(await self.submit(others[0], build_body()))
            for job_id in jobs:
                await self.wait_state(others[1], job_id, "completed")
            if number is signal.SIGSTOP:
                self.nodes.nodes[owner].signal(signal.SIGCONT)
                jobs.append(await self.submit(others[0], build_body(run_ms=500)))
                await self.wait_state(owner, jobs[-1], "completed")
            await self.assert_single_runs(set(jobs))

        run_async(test)

    def test_killed(self):
        """Guards against jobs that are lost, or run twice, when the owner dies."""
        self._play(signal.SIGKILL)

    def test_stopped(self):
        """Guards against a planned stop that leaves the cell without an owner."""
        self._play(signal.SIGTERM)

    def test_paused(self):
        """Guards against an owner that wakes up and acts beside its successor."""
        self._play(signal.SIGSTOP)

    def test_all_killed(self):
        """Guards against accepted jobs that only the processes knew."""

        async def test():
            jobs = [await self.submit("n0", build_body(run_ms=700, steps=2)) for _ in range(3)]
            for node in self.nodes.nodes.values():
                node.signal(signal.SIGKILL)
            for name in list(self.nodes.nodes):
                self.nodes.start_node(name)
            await self.nodes.wait_ready()
            for job_id in jobs:
                await self.wait_state("n1", job_id, "completed")
            await self.assert_single_runs(set(jobs))

        run_async(test)


if __name__ == "__main__":
    unittest.main()
