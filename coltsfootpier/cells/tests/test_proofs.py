"""Proofs that free a task, applied to runs that they don't cover."""

import unittest

from coltsfootpier.cells import RunnerReport, RunningRow, StartOutcome, StartRun
from coltsfootpier.cells.tests.builders import SimulatedCell, build_entry


class ProofTest(unittest.TestCase):
    """Reports of a runner after which a task must not start again yet."""

    def setUp(self):
        self.harness = SimulatedCell(max_start_retries=0)
        self.harness.join()
        self.harness.submit("j")

    def _report(self, runner_id, *, started_unix_ms=1, clock_ms=None, sent_ms=None, running=()):
        harness = self.harness
        report = RunnerReport(
            clock_ms=harness.unix_ms - started_unix_ms if clock_ms is None else clock_ms,
            started_unix_ms=started_unix_ms,
            running=tuple(RunningRow(run, "", 0.0) for run in running),
            ended=(),
            sent_ms=harness.now_ms if sent_ms is None else sent_ms,
            received_ms=harness.now_ms,
        )
        harness.cell.apply_report(runner_id, report, harness.now_ms)

    def _list_starts(self):
        commands = self.harness.cell.plan(self.harness.now_ms, self.harness.unix_ms)
        return [command for command in commands if isinstance(command, StartRun)]

    def test_report_of_restarted_runner_frees_run_that_was_started_after_its_request(self):
        """Guards against two runs when a start overtakes the report that shows the restart."""
        sent_ms = self.harness.now_ms
        self.harness.now_ms += 10.0
        self.harness.plan()
        (runner_id, _), *_ = self.harness.find("j")
        self.harness.now_ms += 10.0
        self._report(runner_id, started_unix_ms=2, sent_ms=sent_ms)
        self.harness.report(*(name for name in self.harness.runners if name != runner_id))
        self.assertEqual(self._list_starts(), [])

    def test_runner_whose_clock_was_set_back_is_heard_after_its_restart(self):
        """Guards against ignoring a runner for good because its time of start is earlier."""
        self.harness.plan()
        (runner_id, run), *_ = self.harness.find("j")
        for started_unix_ms, running in ((5, (run,)), (3, ())):
            self.harness.now_ms += 10.0
            self._report(runner_id, started_unix_ms=started_unix_ms, running=running)
        runner = self.harness.cell.fleet.runners[runner_id]
        self.assertEqual((runner.started_unix_ms, len(runner.runs)), (3, 0))

    def test_report_requested_before_the_latest_one_proves_no_restart(self):
        """Guards against two runs when a late report of an earlier incarnation counts as newer."""
        self.harness.plan()
        (runner_id, run), *_ = self.harness.find("j")
        sent_ms = self.harness.now_ms
        self.harness.now_ms += 10.0
        self._report(runner_id, started_unix_ms=5, running=(run,))
        for started_unix_ms in (3, 7, 0):
            self._report(runner_id, started_unix_ms=started_unix_ms, sent_ms=sent_ms)
            runner = self.harness.cell.fleet.runners[runner_id]
            self.assertEqual((runner.started_unix_ms, list(runner.runs)), (5, [run]))

    def test_listed_run_is_freed_by_an_inherited_expiry_that_has_passed(self):
        """Guards against two runs when an earlier owner extended a lease later than assumed."""
        self.harness.plan()
        (runner_id, run), *_ = self.harness.find("j")
        job = self.harness.cell.jobs.jobs["j"].record
        entries = [runner.entry for runner in self.harness.runners.values()]
        self.harness = successor = SimulatedCell(generation=2)
        successor.cell.load([job], entries, now_ms=successor.now_ms, unix_ms=successor.unix_ms)
        successor.list_runners()
        successor.cell.fleet.mark_recorded(successor.runners)
        self._report(next(name for name in successor.runners if name != runner_id))
        successor.renew()
        successor.cell.plan(successor.now_ms, successor.unix_ms)
        self.assertLess(successor.cell.fleet.runners[runner_id].lease_expiry_ms, float("inf"))
        successor.now_ms = successor.cell.fleet.runners[runner_id].lease_expiry_ms + 100.0
        successor.renew()
        for name in successor.runners:
            self._report(name, running=(run,) if name == runner_id else ())
        successor.now_ms += 10.0
        successor.renew()
        self.assertEqual(self._list_starts(), [])

    def _lose_restarted_runner_after_takeover(self, *, set_back_ms):
        """Return a runner that restarted 3 s before the takeover and is lost now, and its run."""
        self.harness = SimulatedCell()
        self.harness.join()
        self.harness.submit("j")
        self.harness.plan()
        ((runner_id, run),) = self.harness.find("j")
        job = self.harness.cell.jobs.jobs["j"].record
        entries = [runner.entry for runner in self.harness.runners.values()]
        self.harness = successor = SimulatedCell(generation=2)
        successor.cell.load([job], entries, now_ms=successor.now_ms, unix_ms=successor.unix_ms)
        successor.list_runners()
        successor.cell.fleet.mark_recorded(successor.runners)
        started_unix_ms = int(successor.unix_ms) - 3_000 - set_back_ms
        for name in successor.runners:
            running = (run,) if name == runner_id else ()
            self._report(name, started_unix_ms=started_unix_ms, clock_ms=3_000.0, running=running)
        successor.runners[runner_id].reachable = False
        return runner_id, run

    def test_earlier_owner_extended_a_lease_by_a_deadline_on_an_earlier_clock(self):
        """Guards against two runs when a restarted runner took a late deadline."""
        for set_back_ms in (0, 600_000):
            with self.subTest(set_back_ms=set_back_ms):
                runner_id, run = self._lose_restarted_runner_after_takeover(set_back_ms=set_back_ms)
                successor = self.harness
                successor.advance(successor.settings.max_run_lease_ms)
                self.assertIn(run, successor.cell.fleet.runners[runner_id].runs)
                successor.advance(1_000)
                self.assertEqual(successor.cell.fleet.runners[runner_id].runs, {})

    def test_registry_entry_alone_frees_nothing(self):
        """Guards against two runs when another writer gives an entry a later time of start."""
        harness = self.harness
        harness.plan()
        ((name, run),) = harness.find("j")
        harness.report()
        entries = [build_entry(other, started_unix_ms=2) for other in harness.runners]
        harness.cell.set_runners(entries, harness.now_ms)
        harness.advance(500)
        self.assertEqual(harness.find("j"), [(name, run)])
        self.assertFalse(harness.cell.fleet.runners[name].ended)

    def test_listing_frees_run_whose_start_is_still_in_flight(self):
        """Guards against two runs when the runner restarts before its start command arrives.

        The task is free once the listing covers the start and no incarnation can carry it out.
        """
        harness = self.harness
        (command,) = self._list_starts()
        harness.runners[command.runner_id].reachable = False
        harness.advance(800)
        for _ in range(2):
            harness.now_ms += 10
            harness.renew()
            harness.cell.incarnations.apply_listing(
                harness.runners.keys() - {command.runner_id}, requested_ms=harness.now_ms
            )
        self.assertEqual(self._list_starts(), [])
        harness.cell.handle_start_response(
            command.runner_id, command.run, StartOutcome.UNKNOWN, harness.now_ms
        )
        harness.now_ms += 10
        harness.renew()
        harness.cell.incarnations.apply_listing(
            harness.runners.keys() - {command.runner_id}, requested_ms=harness.now_ms
        )
        self.assertEqual(harness.cell.fleet.runners[command.runner_id].runs, {})
        self.assertEqual(self._list_starts(), [])
        harness.now_ms += harness.settings.late_call_ms + 1
        harness.report()
        harness.renew()
        self.assertEqual(self._list_starts(), [])
        for _ in range(2):
            harness.cell.incarnations.apply_listing(
                harness.runners.keys() - {command.runner_id}, requested_ms=harness.now_ms
            )
            harness.now_ms += harness.settings.check_period_ms
        harness.report()
        harness.renew()
        self.assertEqual(len(self._list_starts()), 1)

    def test_start_before_a_restart_is_rejected(self):
        """Guards against two runs when a start arrives after its runner has restarted."""
        harness = self.harness
        (command,) = self._list_starts()
        harness.cell.handle_start_response(
            command.runner_id, command.run, StartOutcome.UNKNOWN, harness.now_ms
        )
        harness.advance(1_000)
        self.assertIn(command.run, harness.runners[command.runner_id].rejected)
        harness.runners[command.runner_id].rejected.clear()
        harness.runners[command.runner_id].entry = build_entry(command.runner_id, started_unix_ms=2)
        harness.advance(200)
        self.assertIn(command.run, harness.runners[command.runner_id].rejected)

    def test_runner_missing_in_a_record_gets_no_run(self):
        """Guards against a successor that doesn't know of a runner that has a run."""
        fleet = self.harness.cell.fleet
        for runner in fleet.runners.values():
            runner.recorded = False
        fleet.mark_recorded(self.harness.runners, ())
        self.assertEqual(self._list_starts(), [])


if __name__ == "__main__":
    unittest.main()
