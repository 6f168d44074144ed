"""Process tests of the rule that no task runs twice, under faults that single out some paths."""

import re
import secrets
import unittest

import anyio

from standins.cluster import wait_for
from standins.histories import find_repeated_runs
from standins.nodes import Nodes
from tests.clusters import run_async
from tests.test_processes_nodes import ROUTE, build_job_body

TIMEOUT_S = 40
# Time after which the leases of an unreachable runner have expired and its tasks run elsewhere.
LEASE_EXPIRY_S = 6.0


class RepeatsTestCase(unittest.TestCase):
    """A store, one runner and two daemons for each test."""

    def setUp(self):
        self.nodes = Nodes()
        self.addCleanup(self.nodes.close)
        run_async(self._start)

    async def _start(self):
        self.nodes.start_platform(runners=1)
        await self.nodes.put_configuration(1, [ROUTE])
        for name in ("n0", "n1"):
            self.nodes.start_node(name, faulty_links=True)
        await self.nodes.wait_ready()
        await self.wait_for_log('event="runner joined"')

    async def wait_for_log(self, pattern, count=1):
        """Wait until the logs of the daemons contain a number of matches of a pattern."""

        async def has_lines():
            logs = "".join(node.log.read_text() for node in self.nodes.nodes.values())
            return len(re.findall(pattern, logs)) >= count

        await wait_for(has_lines, timeout_s=TIMEOUT_S)

    async def submit(self, node, run_ms):
        """Submit a job with one task."""
        job_id = secrets.token_hex(8)
        body = build_job_body(run_ms=run_ms, count=1)

        async def is_accepted():
            response = await self.nodes.request(node, "POST", job_id, body)
            return response is not None and response.status == 200

        await wait_for(is_accepted, timeout_s=TIMEOUT_S)
        return job_id

    async def count_runs(self):
        """Return the number of runs so far."""
        return len(await self.nodes.read_history())

    async def assert_no_repeats(self):
        """Check the histories of all runners."""
        repeated = find_repeated_runs(await self.nodes.read_history())
        self.assertEqual([str(pair) for pair in repeated], [], self.nodes.read_logs())


class StaleOwnerTest(RepeatsTestCase):
    """An owner that loses the store and alone reaches some runners."""

    def _check(self, fault, remove_key):
        async def test():
            owner = await self.nodes.read_owner()
            other = "n1" if owner == "n0" else "n0"
            (first,) = self.nodes.runner_ports
            await self.submit(owner, run_ms=30_000)
            await wait_for(self.count_runs, timeout_s=TIMEOUT_S)
            self.nodes.start_runners(1)
            second = self.nodes.runner_ports[-1]
            await self.wait_for_log('event="runner responded"', count=2)
            self.nodes.set_links(other, {second: "cut"})
            store = {self.nodes.store_port: fault} if fault else {}
            self.nodes.set_links(owner, {first: "cut", **store})
            if remove_key:
                await self.nodes.remove_owner_key()
            await self.wait_for_log(f'event="ownership begins" vm={other}')
            await anyio.sleep(LEASE_EXPIRY_S)
            await self.assert_no_repeats()

        run_async(test)

    def test_owner_without_store_starts_nothing_again(self):
        """Guards against an owner that frees tasks of runners that only its successor reaches."""
        self._check("cut", remove_key=False)

    def test_owner_refused_by_store_starts_nothing_again(self):
        """Guards against the same when the store refuses the owner and removes its key at once."""
        self._check("refuse", remove_key=True)

    def test_owner_without_key_starts_nothing_again(self):
        """Guards against an owner whose key is gone although its renewals succeed."""
        self._check("", remove_key=True)


class MutedOwnerTest(RepeatsTestCase):
    """An owner whose key is removed while its renewals succeed and its watch shows nothing."""

    def test_accepted_job_is_not_reported_as_missing(self):
        """Guards against 410 responses for jobs that the successor has accepted."""

        async def test():
            owner = await self.nodes.read_owner()
            self.nodes.set_links(owner, {self.nodes.runner_ports[0]: "cut"})
            await self.nodes.set_store_faults(mute_watches=True)
            await self.nodes.remove_owner_key()
            self.nodes.start_node("n2", faulty_links=True)
            await self.wait_for_log('event="ownership begins" vm=n2')
            job_id = await self.submit("n2", run_ms=10_000)
            for method in ("GET", "DELETE"):
                response = await self.nodes.request(owner, method, job_id, timeout_ms=1_500)
                status = response.status if response is not None else None
                self.assertNotEqual(status, 410, self.nodes.read_logs())
            await self.wait_for_log(f'event="owner stopping" vm={owner}')

        run_async(test)


class RebornRunnerTest(RepeatsTestCase):
    """A runner that starts again under its id while calls to the earlier incarnation are late."""

    async def _submit_with_late_start(self, run_ms):
        """Submit a job whose start the runner carries out after the next restart."""
        (port,) = self.nodes.runner_ports
        await self.nodes.set_runner_faults(
            port, late_share=1.0, late_range_ms=(900.0, 1_000.0), late_calls=("run-start",)
        )
        job_id = await self.submit(await self.nodes.read_owner(), run_ms)
        await self.wait_for_log(f'event="step started" .*job={job_id}')
        await anyio.sleep(0.02)
        await self.nodes.set_runner_faults(port)
        return port

    async def _wait_for_runs(self, count):
        async def has_runs():
            return await self.count_runs() >= count

        await wait_for(has_runs, timeout_s=TIMEOUT_S)

    def test_late_start_on_restarted_runner(self):
        """Guards against a restart that frees a task whose start is still in flight."""

        async def test():
            port = await self._submit_with_late_start(run_ms=10_000)
            await self.nodes.restart_runner(port, keep_id=True, down_ms=0.0)
            await self.wait_for_log('event="runner restarted"')
            await self._wait_for_runs(1)
            await anyio.sleep(2.0)
            await self.assert_no_repeats()

        run_async(test)

    def test_ends_of_restarted_runner_are_not_acknowledged_unseen(self):
        """Guards against an acknowledgement by numbers of ends of the earlier incarnation."""

        async def test():
            owner = await self.nodes.read_owner()
            for _ in range(5):
                await self.submit(owner, run_ms=20)
            await self.wait_for_log('event="job ended"', count=5)
            await anyio.sleep(1.0)
            port = await self._submit_with_late_start(run_ms=50)
            self.nodes.set_links(owner, {port: "cut"})
            await self.nodes.restart_runner(port, keep_id=True, down_ms=0.0, hidden_ms=4_000.0)
            await self._wait_for_runs(6)
            await anyio.sleep(0.2)
            self.nodes.set_links(owner, {})
            await self.wait_for_log('event="job ended"', count=6)
            await self.assert_no_repeats()

        run_async(test)


if __name__ == "__main__":
    unittest.main()
