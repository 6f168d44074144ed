"""Record of starts without a response for the next owner."""

import unittest
from unittest import mock

import anyio

from coltsfootpier.cells import StartOutcome
from coltsfootpier.cells.tests.builders import SimulatedCell, build_entry
from coltsfootpier.clock import VirtualClock
from coltsfootpier.node import _timing
from coltsfootpier.node._unanswered_starts import UnansweredStartWriter, load_unanswered_starts
from coltsfootpier.node.keys import UNANSWERED_KEY
from coltsfootpier.node.tests.builders import MemoryStore, build_owner


class UnansweredStartRecordTest(unittest.TestCase):
    """When the record is written, and what the next owner reads."""

    def setUp(self):
        self.harness = SimulatedCell(("a",))
        self.harness.join()
        self.harness.outcomes["a"] = StartOutcome.UNKNOWN
        self.store = MemoryStore()
        self.records = mock.Mock()
        self.records.put_record.side_effect = self.store.put
        self.clock = VirtualClock(start_ms=self.harness.now_ms)
        self.writer = UnansweredStartWriter(
            starts=self.harness.cell.fleet.unanswered_starts,
            records=self.records,
            clock=self.clock,
        )

    def _write(self):
        self.writer.write(pending_ms=_timing.UNANSWERED_PENDING_MS)

    def _load(self):
        async def load():
            return (await load_unanswered_starts(self.store)).unwrap()

        return anyio.run(load)

    def test_next_owner_reads_the_starts(self):
        """Guards against a successor that doesn't know a start which may be carried out late."""
        self.assertEqual(self._load(), ())
        self.harness.submit("j")
        self.harness.plan()
        (run_id,) = self.harness.cell.fleet.runners["a"].runs
        self._write()
        (start,) = self._load()
        self.assertEqual((start.run, start.runner_id), (run_id, "a"))
        self.assertEqual(start.left_ms, self.harness.settings.late_call_ms)

    def test_next_owner_reads_that_a_start_was_repeated(self):
        """Guards against a successor that takes one call of a start for the only one.

        The record lists the start already when it is sent once more.
        """
        self.harness.submit("j")
        self.harness.plan()
        self._write()
        self.assertFalse(self._load()[0].is_repeated)
        self.harness.advance(600)
        self._write()
        (start,) = self._load()
        self.assertTrue(start.is_repeated)

    def test_calm_owner_writes_nothing(self):
        """Guards against calls of the store while all starts get responses."""
        self.harness.outcomes.clear()
        self.harness.submit("j")
        self.harness.plan()
        for _ in range(20):
            self.clock.advance(_timing.UNANSWERED_PERIOD_MS)
            self._write()
        self.records.put_record.assert_not_called()

    def test_settled_starts_leave_the_record(self):
        """Guards against a task that a later owner holds for a start of long ago."""
        self.harness.submit("j")
        self.harness.plan()
        self._write()
        self.clock.advance(self.harness.settings.late_call_ms + 1)
        self.harness.now_ms = self.clock.now_ms()
        self.harness.report()
        self.harness.cell.fleet.unanswered_starts.remove_expired(self.clock.now_ms())
        self._write()
        self.assertEqual(self._load(), ())
        self.assertEqual(self.records.put_record.call_count, 2)

    def test_malformed_record(self):
        """Guards against daemons that end one after another at an odd record."""
        for value in (b"[", b'{"starts":[{}]}', b'{"starts":7}'):
            self.store.put(UNANSWERED_KEY, value)
            self.assertEqual(self._load(), ())

    def test_owner_that_resigns_records_calls_in_flight(self):
        """Guards against a start that the owner cancels as it resigns."""
        owner = build_owner(self.clock, self.store)
        owner._store = mock.Mock(revoke_lease=mock.AsyncMock())
        starts = owner.cell.fleet.unanswered_starts
        runner = self.harness.cell.fleet.runners["a"]
        self.harness.submit("j")
        self.harness.plan()
        (run_id,) = runner.runs
        starts.record(run_id, runner, self.clock.now_ms())
        with mock.patch.object(owner._committer, "put_record") as put_record:
            anyio.run(owner.resign)
        self.assertEqual(put_record.call_args.args[0], UNANSWERED_KEY)

    def test_owner_that_resigns_records_long_leases(self):
        """Guards against a lease that is lost with an owner that is stopped in order."""
        owner = build_owner(self.clock, self.store)
        owner._store = mock.Mock(revoke_lease=mock.AsyncMock())
        owner.cell.set_runners([build_entry("a")], self.clock.now_ms())
        owner._fleet_entries = {"a": build_entry("a")}
        owner.cell.fleet.suspect_restart(owner.cell.fleet.runners["a"])
        with mock.patch.object(owner._committer, "put_fleet") as put_fleet:
            anyio.run(owner.resign)
        self.assertEqual(list(put_fleet.call_args.args[1].long_leases), ["a"])

    def test_owner_that_resigns_starts_nothing(self):
        """Guards against a start after the last record, which the successor doesn't know."""
        owner = build_owner(self.clock, self.store)
        owner._is_resigning = True
        owner.cell.plan = mock.Mock(return_value=[])

        async def plan_once():
            with anyio.move_on_after(0.01):
                await owner._run_planner()

        anyio.run(plan_once)
        owner.cell.plan.assert_not_called()


if __name__ == "__main__":
    unittest.main()
