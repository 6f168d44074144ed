"""Process tests of runners that restart under their identifiers shortly before a takeover."""

import secrets
import signal
import unittest

import anyio

from standins.cluster import call, wait_for
from standins.histories import find_repeated_runs
from standins.nodes import Nodes
from tests.clusters import run_async
from tests.test_processes_nodes import ROUTE

TIMEOUT_S = 30
RUNNER_COUNT = 4
# Tasks that fit on a runner at the same time.
RUNNER_SLOTS = 4
TASK_COUNT = RUNNER_COUNT * RUNNER_SLOTS
DAEMONS = ("n0", "n1", "n2")
# Time by which the clock of a runner is ahead of the one of its next incarnation, in ms.
CLOCK_LEAD_MS = 10_000
# Time between a restart and a late call, in which the owner doesn't notice the restart, in s.
EARLY_RELEASE_S = 0.4
# Time between the late calls of two runners, whose leases go on from the last call before the cut.
RELEASE_PAUSE_S = 0.8
# Time for which the runners are cut off after the takeover, in s.
CUT_S = 8.0


class LateDeadlineTest(unittest.TestCase):
    """Bounds of the deployment whl-smokemap, four runners and three daemons."""

    def setUp(self):
        self.nodes = Nodes(max_lease_ms=6_000, stop_grace_ms=400)
        self.addCleanup(self.nodes.close)
        run_async(self._start)

    async def _start(self):
        self.nodes.start_platform(runners=RUNNER_COUNT)
        await self.nodes.put_configuration(1, [ROUTE])
        for name in DAEMONS:
            self.nodes.start_node(name, faulty_links=True)
        await self.nodes.wait_ready()

    async def _fill_runners(self):
        """Fill all runners with long tasks; return the ports of two of them."""

        async def are_ahead():
            reports = [
                await call(port, "POST", "/coltsfootpier/hold", body=b"{}")
                for port in self.nodes.runner_ports
            ]
            return all(report.json()["clock_ms"] >= CLOCK_LEAD_MS for report in reports)

        await wait_for(are_ahead, timeout_s=TIMEOUT_S)
        step = {"count": TASK_COUNT, "cpu": 2_000, "mem_mb": 100, "estimate_ms": 60_000}
        body = {"spec": "run_ms=60000", "steps": [step]}
        job_id = secrets.token_hex(8)

        async def is_accepted():
            response = await self.nodes.request("n0", "POST", job_id, body)
            return response is not None and response.status == 200

        async def are_full():
            return len(await self.nodes.read_history()) == TASK_COUNT

        await wait_for(is_accepted, timeout_s=TIMEOUT_S)
        await wait_for(are_full, timeout_s=TIMEOUT_S)
        return self.nodes.runner_ports[:2]

    async def _hold_back_reports(self, ports):
        """Hold back at least one report request to each of some runners."""
        for port in ports:
            await self.nodes.set_runner_faults(
                port, late_share=1.0, late_range_ms=None, late_calls=("hold",)
            )

        async def are_held_back():
            return all([await self.nodes.count_held_calls(port) for port in ports])

        await wait_for(are_held_back, timeout_s=TIMEOUT_S)
        for port in ports:
            await self.nodes.set_runner_faults(port)

    async def _restart_runners(self, ports, *, release_s=None):
        """Restart runners, and wait until tasks run on them again.

        If `release_s` is given, the calls that were held back are carried out after that time.
        """
        entries = await self.nodes.read_entries()
        born = max(entry["born"] for entry in entries.values())
        for port in ports:
            await self.nodes.restart_runner(port, keep_id=True, down_ms=200.0)
        if release_s is not None:
            await anyio.sleep(release_s)
            await self._release_calls(ports)

        async def have_runs():
            records = await self.nodes.read_history()
            runs = [record for record in records if record.born > born and record.end_ms is None]
            return len(runs) >= RUNNER_SLOTS * len(ports)

        await wait_for(have_runs, timeout_s=TIMEOUT_S)

    async def _release_calls(self, ports, pause_s=0.0):
        for port in ports:
            await self.nodes.release_calls(port)
            await anyio.sleep(pause_s)

    async def _replace_owner(self, ports, signal_number):
        """End the owner and cut runners off; return once another daemon is the owner."""
        owner = await self.nodes.read_owner()
        for name in DAEMONS:
            self.nodes.set_links(name, dict.fromkeys(ports, "cut"))
        self.nodes.nodes[owner].signal(signal_number)

        async def has_successor():
            return any(
                "ownership begins" in node.log.read_text()
                for name, node in self.nodes.nodes.items()
                if name != owner
            )

        await wait_for(has_successor, timeout_s=TIMEOUT_S)

    async def _assert_no_repeats(self):
        """Check the histories after the time of the cut, and that each task runs in the end.

        Two more runners join, which have room for the tasks of those that are cut off.
        """
        self.nodes.start_runners(2)
        await anyio.sleep(CUT_S)
        repeated = find_repeated_runs(await self.nodes.read_history())
        self.assertEqual([str(pair) for pair in repeated], [], self.nodes.read_logs())
        for name in DAEMONS:
            self.nodes.set_links(name, {})

        async def have_runs():
            records = await self.nodes.read_history()
            return len({record.task for record in records if record.end_ms is None}) == TASK_COUNT

        await wait_for(have_runs, timeout_s=TIMEOUT_S)

    def test_deadline_of_earlier_incarnation_arrives_after_takeover(self):
        """Guards against a run that outlives the lease that the successor counts for it."""

        async def test():
            ports = await self._fill_runners()
            await self._hold_back_reports(ports)
            await self._restart_runners(ports)
            await self._replace_owner(ports, signal.SIGKILL)
            await self._release_calls(ports, RELEASE_PAUSE_S)
            await self._assert_no_repeats()

        run_async(test)

    def test_deadline_of_earlier_incarnation_arrives_before_first_report(self):
        """Guards against a longest lease that only the owner before the takeover knows of."""

        async def test():
            ports = await self._fill_runners()
            await self._hold_back_reports(ports)
            await self._restart_runners(ports, release_s=EARLY_RELEASE_S)
            await self._replace_owner(ports, signal.SIGTERM)
            await self._assert_no_repeats()

        run_async(test)


if __name__ == "__main__":
    unittest.main()
