"""Tests of the stand-in runners, which are called over HTTP as an owner does."""

import random
import unittest

import anyio
import orjson

from coltsfootpier.clock import VirtualClock
from coltsfootpier.transport import HttpRequest
from standins.cluster import call
from standins.histories import find_repeated_runs, parse_records
from standins.nodes import Nodes
from standins.runners import Runner
from tests.clusters import run_async

TASK = "5c0e7a21d94b36f8.0.0.0"
# Longest time in which a run of a test ends or a runner starts again.
TIMEOUT_S = 10


class RunnersTestCase(unittest.TestCase):
    """A store and two runners without any daemon."""

    def setUp(self):
        self.nodes = Nodes()
        self.addCleanup(self.nodes.close)
        self.nodes.start_platform(runners=2)
        self.first, self.second = self.nodes.runner_ports

    async def call(self, port, command, timeout_ms=2_000, **fields):
        """Send a command of an owner; return its status and body, or None without a response."""
        body = orjson.dumps({"fencing_token": 1, **fields})
        response = await call(
            port, "POST", f"/coltsfootpier/{command}", body=body, timeout_ms=timeout_ms
        )
        return None if response is None else (response.status, response.json())

    async def start(self, port, attempt, run_ms=60_000, lease_ms=4_000, **fields):
        """Start a run of the task with a lease; return the status of the response."""
        _, report = await self.call(port, "hold", **fields)
        deadline_ms = report["clock_ms"] + lease_ms
        fields = {"task": TASK, "attempt": attempt, "spec": f"run_ms={run_ms}", **fields}
        status, _ = await self.call(port, "run-start", deadline_ms=deadline_ms, **fields)
        return status

    async def wait_for_ends(self, port, count=1):
        """Return the rows of ended runs once a runner lists a number of them."""
        with anyio.fail_after(TIMEOUT_S):
            while True:
                _, report = await self.call(port, "hold", wait_ms=200)
                if len(report["ended"]) >= count:
                    return report["ended"]

    async def find_reasons(self):
        """Return the reasons of all repeated runs in the histories."""
        return [pair.reason for pair in find_repeated_runs(await self.nodes.read_history())]


class RepeatedRunsTest(RunnersTestCase):
    """Seeded faults that the rule must find in the histories of running processes."""

    def test_two_starts_overlap(self):
        """Guards against a check that can't fail: two starts on two runners."""

        async def test():
            self.assertEqual(await self.start(self.first, 1), 200)
            self.assertEqual(await self.find_reasons(), [])
            self.assertEqual(await self.start(self.second, 2), 200)
            self.assertEqual(await self.find_reasons(), ["overlap"])

        run_async(test)

    def test_higher_attempt_on_same_runner_overlaps(self):
        """Guards against a stand-in that replaces a run by a later attempt without an end."""

        async def test():
            for attempt in (1, 2):
                self.assertEqual(await self.start(self.first, attempt), 200)
            self.assertEqual(await self.find_reasons(), ["overlap"])

        run_async(test)

    def test_run_after_acknowledged_end(self):
        """Guards against a check that misses a start after an end that was acknowledged."""

        async def test():
            await self.start(self.first, 1, run_ms=20)
            number = (await self.wait_for_ends(self.first))[0][0]
            await self.call(self.first, "hold", observed=number)
            await self.start(self.second, 2)
            self.assertEqual(await self.find_reasons(), ["after done"])
            await self.nodes.restart_runner(self.first, keep_id=True, down_ms=0.0)
            self.assertEqual(await self.find_reasons(), ["after done"])

        run_async(test)

    def test_end_is_excused_after_lapse_or_crash(self):
        """Guards against a false violation after an end that no owner could rely on."""

        async def test():
            await self.start(self.first, 1, run_ms=20, lease_ms=100)
            await anyio.sleep(0.3)
            await self.call(self.first, "hold", observed=1)
            await self.start(self.second, 2, run_ms=20)
            await self.wait_for_ends(self.second)
            await self.nodes.restart_runner(self.second, keep_id=True, down_ms=0.0)
            await self.start(self.first, 3)
            self.assertEqual(await self.find_reasons(), [])

        run_async(test)


class RunnerTest(RunnersTestCase):
    """Rules of the platform that the stand-in must have."""

    def test_stopping_run_goes_on_until_its_end(self):
        """Guards against a stop that ends a run before the runner lists the end."""

        async def test():
            await self.start(self.first, 1)
            await self.call(self.first, "run-stop", task=TASK, attempt=1)
            await self.wait_for_ends(self.first)
            (record,) = await self.nodes.read_history()
            self.assertEqual(record.how, "stopped")
            self.assertEqual(await self.start(self.first, 1), 409)

        run_async(test)

    def test_restart_under_same_id_forgets(self):
        """Guards against an incarnation that keeps the clock, stops, ends or tokens of the last."""

        async def test():
            await self.start(self.first, 5, run_ms=20, fencing_token=9)
            await anyio.sleep(1.0)
            _, before = await self.call(self.first, "hold", fencing_token=9)
            await self.nodes.restart_runner(self.first, keep_id=True, down_ms=100.0)
            self.assertIsNone(await self.call(self.first, "hold", timeout_ms=50))
            await anyio.sleep(0.2)
            _, after = await self.call(self.first, "hold")
            self.assertGreater(after["born"], before["born"])
            self.assertLess(after["clock_ms"], before["clock_ms"])
            self.assertEqual(after["ended"], [])
            self.assertEqual(await self.start(self.first, 1), 200)
            names = {record.runner for record in await self.nodes.read_history()}
            self.assertEqual(len(names), 1)
            await self.nodes.restart_runner(self.first, keep_id=False, down_ms=0.0)
            await anyio.sleep(0.1)
            await self.start(self.first, 2)
            names = {record.runner for record in await self.nodes.read_history()}
            self.assertEqual(len(names), 2)

        run_async(test)

    def test_late_call_is_carried_out(self):
        """Guards against a late command that is dropped instead of carried out later."""

        async def test():
            _, report = await self.call(self.first, "hold")
            await self.nodes.set_runner_faults(
                self.first, late_share=1.0, late_range_ms=(900.0, 901.0)
            )
            fields = {"task": TASK, "attempt": 1, "spec": "run_ms=60000"}
            deadline_ms = report["clock_ms"] + 60_000
            response = await self.call(
                self.first, "run-start", timeout_ms=500, deadline_ms=deadline_ms, **fields
            )
            self.assertIsNone(response)
            self.assertEqual(await self.nodes.read_history(), [])
            with anyio.fail_after(TIMEOUT_S):
                while not await self.nodes.read_history():
                    await anyio.sleep(0.1)

        run_async(test)

    def test_call_held_back_over_a_restart(self):
        """Guards against a late call that the next incarnation never carries out."""

        async def test():
            _, report = await self.call(self.first, "hold")
            await self.nodes.set_runner_faults(self.first, late_share=1.0, late_range_ms=None)
            deadline_ms = report["clock_ms"] + 60_000
            fields = {"task": TASK, "attempt": 1, "spec": "run_ms=60000"}
            response = await self.call(
                self.first, "run-start", timeout_ms=500, deadline_ms=deadline_ms, **fields
            )
            self.assertIsNone(response)
            await self.nodes.set_runner_faults(self.first)
            await self.nodes.restart_runner(self.first, keep_id=True, down_ms=1_000.0)
            self.assertEqual(await self.nodes.count_held_calls(self.first), 1)
            await self.nodes.release_calls(self.first)
            self.assertEqual(await self.nodes.read_history(), [])
            with anyio.fail_after(TIMEOUT_S):
                while not await self.nodes.read_history():
                    await anyio.sleep(0.1)
            (record,) = await self.nodes.read_history()
            self.assertGreater(record.born, report["born"])

        run_async(test)


class FencingTest(unittest.TestCase):
    """Fencing tokens, of which each incarnation keeps the highest that it has seen."""

    def setUp(self):
        self.clock = VirtualClock(start_ms=1e6)
        self.runner = Runner(
            name="i-1", rng=random.Random(1), clock=self.clock, max_lease_ms=6_000.0
        )

    async def call(self, handler, token, **fields):
        """Call a handler as an owner does; return the status and the body."""
        body = orjson.dumps({"fencing_token": token, **fields})
        response = await handler(HttpRequest("POST", "/", "", (), body))
        return response.status, orjson.loads(response.body)

    async def start(self, token, attempt=1, deadline_ms=4_000.0, run_ms=60_000):
        """Start a run of the task; return the status."""
        fields = {"task": TASK, "attempt": attempt, "spec": f"run_ms={run_ms}"}
        return (await self.call(self.runner.start_run, token, deadline_ms=deadline_ms, **fields))[0]

    async def restart(self):
        """Start the next incarnation under the same identifier."""
        await self.call(self.runner.restart, 0, keep_id=True, down_ms=0.0, hidden_ms=0.0)
        with anyio.move_on_after(0.1):
            await self.runner.run()

    async def read_runs(self):
        """Return the records of all runs."""
        _, body = await self.call(self.runner.read_history, 0)
        return parse_records(body["runs"])

    def test_lower_token_has_no_effect(self):
        """Guards against a call with a lower token that extends, acknowledges, starts or stops."""

        async def test():
            await self.start(7, run_ms=10)
            self.clock.advance(20.0)
            self.assertEqual([run.how for run in await self.read_runs()], ["done"])
            self.assertEqual(await self.start(7, attempt=2), 200)
            run = {"task": TASK, "attempt": 2}
            calls = (
                (self.runner.extend_lease, {"observed": 1, "deadline_ms": 1e6}),
                (self.runner.start_run, {**run, "attempt": 3, "spec": "", "deadline_ms": 1e6}),
                (self.runner.stop_run, run),
                (self.runner.accept_pace, {**run, "percent": 0}),
            )
            for handler, fields in calls:
                for token in (0, 6):
                    status, body = await self.call(handler, token, **fields)
                    self.assertEqual((status, body["reason"]), (409, "fence"))
            _, report = await self.call(self.runner.extend_lease, 7)
            self.assertEqual([row[1] for row in report["running"]], [2])
            self.assertEqual(len(report["ended"]), 1)
            self.clock.advance(4_200.0)
            self.assertEqual([run.how for run in await self.read_runs()], ["done", "lapsed"])

        anyio.run(test)

    def test_late_deadline_gives_a_restarted_runner_the_longest_lease(self):
        """Guards against a stand-in whose late calls can't extend leases beyond their length."""

        async def test():
            self.clock.advance(20_000.0)
            self.assertEqual(await self.start(7, deadline_ms=24_000.0), 200)
            await self.restart()
            self.assertEqual(await self.start(7, attempt=2), 200)
            self.clock.advance(1_000.0)
            fields = {"observed": 0, "deadline_ms": 24_000.0}
            self.assertEqual((await self.call(self.runner.extend_lease, 7, **fields))[0], 200)
            self.clock.advance(5_900.0)
            self.assertEqual([run.how for run in await self.read_runs()], ["killed", ""])
            self.clock.advance(300.0)
            self.assertEqual([run.how for run in await self.read_runs()], ["killed", "lapsed"])

        anyio.run(test)

    def test_higher_token_of_restarted_runner_rejects_late_calls(self):
        """Guards against an incarnation that forgets the first token that it has accepted."""

        async def test():
            self.clock.advance(20_000.0)
            await self.start(7)
            await self.restart()
            fields = {"observed": 0, "deadline_ms": 24_000.0}
            self.assertEqual((await self.call(self.runner.extend_lease, 6, **fields))[0], 200)
            self.assertEqual(await self.start(8, attempt=2), 200)
            status, body = await self.call(self.runner.extend_lease, 7, **fields)
            self.assertEqual((status, body["reason"]), (409, "fence"))

        anyio.run(test)


class LeaseTest(unittest.TestCase):
    """Leases on the clock of a runner, which starts with its incarnation."""

    def setUp(self):
        self.clock = VirtualClock(start_ms=1e6)
        self.runner = Runner(name="i-1", rng=random.Random(1), clock=self.clock)

    async def start(self, attempt, deadline_ms):
        """Start a run of the task; return the response."""
        fields = {"task": TASK, "attempt": attempt, "spec": "run_ms=60000"}
        body = orjson.dumps({**fields, "deadline_ms": deadline_ms})
        return await self.runner.start_run(HttpRequest("POST", "/", "", (), body))

    async def read_ends(self):
        """Return the kinds and end times of all runs."""
        response = await self.runner.read_history(HttpRequest("GET", "/", "", (), b""))
        records = parse_records(orjson.loads(response.body)["runs"])
        return [(record.how, record.end_ms) for record in records]

    def test_lease_is_shortened_to_maximum(self):
        """Guards against a deadline of an earlier incarnation that keeps a run for over 10 s."""

        async def test():
            for deadline_ms in (1e9, 10.0):
                await self.start(1, deadline_ms)
            self.clock.advance(9_999.0)
            self.assertEqual(await self.read_ends(), [("", None)])
            # The slowest clock needs 2% longer.
            self.clock.advance(300.0)
            ((how, end_ms),) = await self.read_ends()
            self.assertEqual(how, "lapsed")
            self.assertGreaterEqual(end_ms, 1_010_000.0)

        run_async(test)

    def test_rejected_start_extends_the_lease(self):
        """Guards against a lease that ends although a start without effect has extended it."""

        async def test():
            await self.start(2, 2_000.0)
            body = orjson.dumps({"task": "other", "attempt": 3})
            await self.runner.stop_run(HttpRequest("POST", "/", "", (), body))
            fields = {"task": "other", "attempt": 3, "spec": "", "deadline_ms": 8_000.0}
            request = HttpRequest("POST", "/", "", (), orjson.dumps(fields))
            self.assertEqual((await self.runner.start_run(request)).status, 409)
            self.clock.advance(7_900.0)
            self.assertEqual(await self.read_ends(), [("", None)])

        run_async(test)

    def test_end_is_recorded_at_its_time(self):
        """Guards against a false overlap when a slow process notices an end late."""

        async def test():
            await self.start(1, 3_000.0)
            self.clock.advance(50_000.0)
            ((how, end_ms),) = await self.read_ends()
            self.assertEqual(how, "lapsed")
            self.assertLess(end_ms, 1_003_100.0)

        run_async(test)


if __name__ == "__main__":
    unittest.main()
