"""Log lines from which the runs of a task and the proofs of their ends can be rebuilt."""

import unittest

from coltsfootpier.cells import EndKind, StartOutcome
from coltsfootpier.cells.tests.builders import SimulatedCell, build_entry, build_job, build_step
from coltsfootpier.jobs import TaskKey


class FreedTaskTest(unittest.TestCase):
    """The line about a task whose run has ended or never starts."""

    def setUp(self):
        self.harness = SimulatedCell(generation=3)
        self.harness.join()

    def _start(self):
        self.harness.submit("j", build_job(build_step(long_running=True)))
        self.harness.plan()
        ((self.name, self.run_id),) = self.harness.find("j")
        self.runner = self.harness.runners[self.name]
        self.known_runner = self.harness.cell.fleet.runners[self.name]

    def _restart(self):
        # Only a run that the earlier incarnation has listed ends with it.
        self.harness.report()
        self.runner.running.clear()
        self.runner.last_end = 0
        self.runner.entry = build_entry(self.name, started_unix_ms=2)

    def _list_lines(self, name):
        return [fields for event, fields in self.harness.events if event == name]

    def _assert_freed(self, proof, **fields):
        (freed,) = self._list_lines("task freed")
        expected = {
            "run": str(self.run_id),
            "runner": self.name,
            "born": 1,
            "generation": 3,
            "proof": proof,
            **fields,
        }
        self.assertEqual({name: freed[name] for name in expected}, expected)
        return freed

    def test_listed_end(self):
        """Guards against an ended run without its outcome and assumed lease expiry in the log."""
        self._start()
        self.runner.end(self.run_id, EndKind.LAPSED)
        self.harness.report()
        freed = self._assert_freed("end_listed", outcome="lapsed", state="running")
        self.assertEqual(freed["lease_expiry_ms"], self.known_runner.lease_expiry_ms)

    def test_absence_from_a_report(self):
        """Guards against a task freed by a report that lacks its run, without a trace of that."""
        self._start()
        self.harness.now_ms += 10
        self.runner.running.clear()
        self.harness.report()
        self._assert_freed("absent_from_report")

    def test_restart_in_a_report(self):
        """Guards against a line that names the incarnation after the one that had the run."""
        self._start()
        self._restart()
        self.harness.report()
        self._assert_freed("restart_in_report")
        (restart,) = self._list_lines("runner restarted")
        self.assertEqual((restart["earlier_born"], restart["born"]), (1, 2))

    def test_runner_missing_from_listings(self):
        """Guards against a task freed by listings of VMs without a trace of that."""
        self._start()
        self.harness.now_ms += 700
        for _ in range(2):
            self.harness.now_ms += 10
            self.harness.renew()
            self.harness.cell.incarnations.apply_listing((), requested_ms=self.harness.now_ms)
        self._assert_freed("runner_unlisted")

    def test_maintenance(self):
        """Guards against tasks freed by the maintenance of a VM that look like a crash."""
        self._start()
        self.harness.cell.cordons.record_ended(self.name)
        self._assert_freed("vm_in_maintenance")

    def test_lease_expiry(self):
        """Guards against an expired lease without the deadline and expiry that it was based on."""
        self._start()
        self.runner.reachable = False
        fleet = self.harness.cell.fleet
        fleet.record_deadline(self.name, 77_000.0, self.harness.now_ms)
        lease_expiry_ms = self.known_runner.lease_expiry_ms
        self.harness.now_ms += 5_000
        self.harness.plan()
        self._assert_freed("lease_expired", lease_expiry_ms=lease_expiry_ms)
        (expired,) = self._list_lines("run leases expired")
        self.assertEqual(expired["deadline_ms"], 77_000.0)
        self.assertEqual(expired["deadline_age_ms"], 5_000.0)
        self.assertEqual(expired["expired_ms"], self.harness.now_ms - lease_expiry_ms)

    def test_rejected_start(self):
        """Guards against a rejected start that looks like a run that has ended."""
        self.harness.outcomes = {"a": StartOutcome.LATE, "b": StartOutcome.LATE}
        self.harness.submit("j")
        (command,) = self.harness.plan()
        self.name, self.run_id = command.runner_id, command.run
        self._assert_freed("start_rejected", outcome="late", state="starting")

    def test_unneeded_run(self):
        """Guards against a run beside that of another runner that no line shows, or each report."""
        self._start()
        other = {"a": "b", "b": "a"}[self.name]
        self.harness.runners[other].running[self.run_id] = ""
        self.harness.report()
        self.harness.report()
        self.assertEqual(
            self._list_lines("unneeded run listed"),
            [{"run": str(self.run_id), "runner": other, "born": 1, "generation": 3}],
        )

    def test_unknown_end(self):
        """Guards against the end of a run that was freed before, without a trace of that."""
        self._start()
        self.harness.now_ms += 10
        self.runner.running.clear()
        self.harness.report()
        self.runner.running[self.run_id] = ""
        self.runner.end(self.run_id, EndKind.STOPPED)
        self.harness.report()
        (ended,) = self._list_lines("unknown run ended")
        self.assertEqual((ended["run"], ended["outcome"]), (str(self.run_id), "stopped"))


class InheritedRunnerTest(unittest.TestCase):
    """Lines of an owner that waits for the runners of an earlier one."""

    def test_inherited_leases_expire(self):
        """Guards against tasks freed by the leases of an earlier owner without a trace of that."""
        harness = SimulatedCell(("a", "b"), generation=2)
        entries = [build_entry("a"), build_entry("b")]
        harness.cell.load([], entries, now_ms=harness.now_ms, unix_ms=harness.unix_ms)
        harness.runners["a"].reachable = False
        harness.advance(100)
        lease_expiry_ms = harness.cell.fleet.runners["a"].lease_expiry_ms
        harness.advance(8_000)
        expired = [
            (fields["runner"], fields["inherited"], fields["lease_expiry_ms"])
            for event, fields in harness.events
            if event == "run leases expired"
        ]
        self.assertEqual(expired, [("a", True, lease_expiry_ms)])

    def test_inherited_runner_has_ended(self):
        """Guards against an ended runner whose line doesn't name the owner that relies on it."""
        for event in ("runner ended", "runs ended with their VM"):
            harness = SimulatedCell(("a",), generation=2)
            harness.cell.load(
                [], [build_entry("a")], now_ms=harness.now_ms, unix_ms=harness.unix_ms
            )
            if event == "runner ended":
                for requested_ms in (2_000.0, 2_500.0):
                    harness.cell.record_confirmation(requested_ms)
                    harness.cell.incarnations.apply_listing((), requested_ms=requested_ms)
            else:
                harness.cell.cordons.record_ended("a")
            self.assertIn(
                (event, {"runner": "a", "runs": 0, "born": 0, "generation": 2}), harness.events
            )

    def test_adopted_run(self):
        """Guards against an adopted run without its incarnation and the owner that adopted it."""
        harness = SimulatedCell(("a",))
        harness.join()
        harness.submit("j")
        harness.plan()
        ((_, run_id),) = harness.find("j", TaskKey(0, 0, 0))
        later = SimulatedCell(("a",), generation=2)
        later.runners = harness.runners
        later.cell.load(
            [job.record for job in harness.cell.jobs.jobs.values()],
            [build_entry("a")],
            now_ms=later.now_ms,
            unix_ms=later.unix_ms,
        )
        later.join()
        self.assertIn(
            ("run adopted", {"run": str(run_id), "runner": "a", "born": 1, "generation": 2}),
            later.events,
        )


if __name__ == "__main__":
    unittest.main()
