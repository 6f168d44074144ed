"""Log lines about start commands and leases, from the task that communicates with a runner."""

import unittest
from unittest import mock

import anyio
from returns.result import Failure, Success

from coltsfootpier.cells import (
    Cell,
    CellSettings,
    RunId,
    RunnerEntry,
    RunnerReport,
    StartOutcome,
    StartRun,
)
from coltsfootpier.clock import VirtualClock
from coltsfootpier.jobs import TaskKey
from coltsfootpier.node import _timing
from coltsfootpier.node._runner_task import RunnerTask
from coltsfootpier.transport import NotSent

RUN = RunId("j", TaskKey(0, 0, 0), 20_001)
# Difference between the runner's clock and the local one.
CLOCK_OFFSET_MS = 70_000.0


class RunnerLogTest(unittest.IsolatedAsyncioTestCase):
    """A runner whose responses are set by the test."""

    async def asyncSetUp(self):
        self.clock = VirtualClock(start_ms=1_000.0)
        self.settings = CellSettings()
        self.cell = Cell(settings=self.settings, generation=3, log=lambda event, /, **fields: None)
        entry = RunnerEntry(id="a", service="web", address="127.0.0.1:1", started_unix_ms=5)
        self.cell.set_runners([entry], self.clock.now_ms())
        self.client = mock.Mock()
        self.events = []
        patch = mock.patch(
            "coltsfootpier.node._runner_task.log_event",
            lambda event, /, **fields: self.events.append((event, fields)),
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.task = RunnerTask(
            entry=entry,
            cell=self.cell,
            settings=self.settings,
            commits=mock.AsyncMock(),
            clock=self.clock,
            on_change=lambda: None,
            on_fenced=lambda _: None,
            connect=lambda **_: self.client,
        )
        self.cell.record_confirmation(self.clock.now_ms())

    async def _report(self, started_unix_ms=5):
        now_ms = self.clock.now_ms()
        report = RunnerReport(
            clock_ms=now_ms + CLOCK_OFFSET_MS,
            started_unix_ms=started_unix_ms,
            running=(),
            ended=(),
            sent_ms=now_ms,
            received_ms=now_ms,
        )
        self.client.poll_report = mock.AsyncMock(return_value=Success(report))
        await self.task._poll_report()

    async def _start(self):
        command = StartRun(runner_id="a", run=RUN, payload="p", checkpoint="")
        await self.task._send_start(command)
        ((event, fields),) = self.events
        self.assertEqual(event, "start command outcome")
        return fields

    async def test_start(self):
        """Guards against a start without the deadline that was sent and the sample behind it."""
        await self._report()
        self.clock.advance(40.0)
        self.client.start = mock.AsyncMock(return_value=(StartOutcome.STARTED, None))
        fields = await self._start()
        sent_ms = self.clock.now_ms()
        estimated_ms = sent_ms + CLOCK_OFFSET_MS - 40.0 * self.settings.clock_drift
        self.assertEqual(
            {name: value for name, value in fields.items() if name != "lease_expiry_ms"},
            {
                "run": "j.0.0.0#20001",
                "runner": "a",
                "born": 5,
                "generation": 3,
                "deadline_ms": int(estimated_ms + self.settings.start_valid_ms),
                "sample_age_ms": 40.0,
                "sample_born": 5,
                "sent_ms": sent_ms,
                "outcome": "started",
            },
        )
        sent_deadline_ms = self.client.start.await_args.kwargs["deadline_ms"]
        self.assertEqual(int(sent_deadline_ms), fields["deadline_ms"])
        self.assertGreater(fields["lease_expiry_ms"], sent_ms + self.settings.start_valid_ms)

    async def test_no_start_on_the_clock_of_an_earlier_incarnation(self):
        """Guards against a start whose deadline lies far ahead on a clock that started anew."""
        await self._report()
        # A restart cuts the connection, so that the call in flight fails.
        self.client.poll_report = mock.AsyncMock(return_value=Failure(NotSent("refused")))
        with mock.patch.object(_timing, "REPORT_BACKOFF_MS", 0.0):
            await self.task._poll_report()
        self.client.start = mock.AsyncMock(return_value=(StartOutcome.UNKNOWN, None))
        command = StartRun(runner_id="a", run=RUN, payload="p", checkpoint="")
        await self.task._send_start(command)
        self.client.start.assert_not_awaited()
        await self._report(started_unix_ms=6)
        self.cell.fleet.set_token(4, self.clock.now_ms())
        self.clock.advance(1.0)
        await self._report(started_unix_ms=6)
        self.events.clear()
        fields = await self._start()
        self.assertEqual((fields["sample_born"], fields["born"]), (6, 6))

    async def test_cancelled_start(self):
        """Guards against a start in flight at a change of owner or address that no line shows."""
        await self._report()

        async def start(*_, **__):
            await anyio.sleep_forever()

        self.client.start = start
        with anyio.move_on_after(0.01):
            command = StartRun(runner_id="a", run=RUN, payload="p", checkpoint="")
            await self.task._send_start(command)
        ((_, fields),) = self.events
        self.assertEqual((fields["run"], fields["outcome"]), ("j.0.0.0#20001", "cancelled"))

    async def test_unreachable_runner(self):
        """Guards against an unreachable runner without the last deadline and its assumed expiry."""
        await self._report()
        await self._report()
        sent_ms = self.clock.now_ms()
        self.clock.advance(30.0)
        estimated_ms = sent_ms + CLOCK_OFFSET_MS + 30.0 * (1 - self.settings.clock_drift)
        self.client.poll_report = mock.AsyncMock(return_value=Failure(NotSent("refused")))
        with mock.patch.object(_timing, "REPORT_BACKOFF_MS", 0.0):
            await self.task._poll_report()
        ((event, fields),) = self.events
        self.assertEqual(event, "runner unreachable")
        self.assertEqual(fields["deadline_age_ms"], 0.0)
        self.assertEqual(
            fields["deadline_ms"],
            estimated_ms + self.settings.run_lease_ms,
        )
        self.assertGreater(fields["lease_expiry_ms"], sent_ms + self.settings.run_lease_ms)
        self.assertLess(fields["lease_expiry_ms"], sent_ms + 1.1 * self.settings.run_lease_ms)


if __name__ == "__main__":
    unittest.main()
