"""Restarted runners that calls to their earlier incarnation may have given the longest lease."""

import unittest

from coltsfootpier.cells import RunnerReport
from coltsfootpier.cells._lease_expiry import compute_longest_lease_ms
from coltsfootpier.cells.tests.builders import SimulatedCell, build_entry

NAMES = ("a", "b", "c")


class RestartTest(unittest.TestCase):
    """When a restarted runner gets runs, and what the next owner knows of it."""

    def setUp(self):
        self.harness = SimulatedCell(NAMES)
        self.harness.join()
        self.fleet = self.harness.cell.fleet
        self.runner = self.fleet.runners["a"]
        settings = self.harness.settings
        self.longest_ms = compute_longest_lease_ms(settings)

    def _restart(self, name="a"):
        entry = self.harness.runners[name].entry
        self.harness.runners[name].entry = build_entry(
            name, started_unix_ms=entry.started_unix_ms + 1
        )
        self.harness.now_ms += 100.0
        self.harness.report(name)

    def _use_token(self):
        """Reserve a token and apply the first report that was requested with it."""
        self.harness.last_token += 1
        self.fleet.set_token(self.harness.last_token, self.harness.now_ms)
        self.harness.now_ms += 10.0
        self.harness.report("a")

    def _list_used(self):
        self.harness.now_ms += 10.0
        self.harness.renew()
        for runner in self.fleet.runners.values():
            runner.full = runner is not self.runner
        self.harness.submit(f"j{self.harness.now_ms}")
        commands = self.harness.cell.plan(self.harness.now_ms, self.harness.unix_ms)
        return {command.runner_id for command in commands}

    def test_runner_gets_no_run_while_it_may_carry_out_calls_to_its_earlier_incarnation(self):
        """Guards against a run that a late deadline or acknowledgement reaches."""
        self._restart()
        self.fleet.mark_long_leases_recorded({"a": float("inf")})
        self.assertTrue(self.fleet.needs_token)
        self.assertEqual(self._list_used(), set())
        self._use_token()
        self.assertFalse(self.fleet.needs_token)
        self.assertEqual(self._list_used(), {"a"})

    def test_response_to_a_request_with_the_lower_token_fences_nothing(self):
        """Guards against a runner that counts as fenced since the response came late enough."""
        self._restart()
        sent_ms = self.harness.now_ms
        self.harness.now_ms += 10.0
        self.fleet.set_token(2, self.harness.now_ms)
        report = RunnerReport(
            clock_ms=1e6,
            started_unix_ms=2,
            running=(),
            ended=(),
            sent_ms=sent_ms,
            received_ms=self.harness.now_ms + 10.0,
        )
        self.harness.cell.apply_report("a", report, self.harness.now_ms + 10.0)
        self.assertFalse(self.runner.adopted)
        self.assertEqual(self.runner.accepted_ms, float("-inf"))
        self.assertEqual(self.runner.first_accepted_ms, float("inf"))

    def test_runner_gets_no_run_before_the_next_owner_would_count_the_longest_lease(self):
        """Guards against a lease of which only the present owner knows."""
        self._restart()
        self._use_token()
        leases = self.fleet.list_long_leases(self.harness.now_ms)
        self.assertEqual(leases, {"a": self.longest_ms})
        for recorded in (({},), (leases, {}), ({}, leases), ({"a": self.longest_ms - 1},)):
            self.fleet.mark_long_leases_recorded(*recorded)
            self.assertEqual(self._list_used(), set())
        self.fleet.mark_long_leases_recorded(leases, leases)
        self.assertEqual(self._list_used(), {"a"})

    def test_long_lease_ends(self):
        """Guards against changes of owner that wait for runners which restarted long ago."""
        self._restart()
        self._use_token()
        self.harness.now_ms += self.longest_ms
        self.assertEqual(self.fleet.list_long_leases(self.harness.now_ms), {})
        self.harness.report()
        self.assertEqual(self._list_used(), {"a"})

    def test_one_token_serves_all_runners_that_restarted_before_it(self):
        """Guards against a change of the store for each runner of a rack that restarts."""
        for name in ("a", "b"):
            self._restart(name)
        self._use_token()
        self.assertFalse(self.fleet.needs_token)
        self._restart()
        self.assertTrue(self.fleet.needs_token)

    def test_removed_runner_keeps_its_long_lease(self):
        """Guards against a run on a runner that was removed while its lease was unknown."""
        self._restart()
        self._use_token()
        expiry_ms = self.runner.lease_expiry_ms
        entries = [runner.entry for runner in self.harness.runners.values()]
        self.fleet.set_lease_expiry("a", float("-inf"))
        self.runner.ended = True
        self.harness.cell.set_runners(entries[1:], self.harness.now_ms)
        self.assertNotIn("a", self.fleet.runners)
        self.harness.cell.set_runners(entries, self.harness.now_ms)
        self.assertGreater(self.fleet.runners["a"].lease_expiry_ms, expiry_ms)

    def test_runner_that_registers_again_needs_a_higher_token(self):
        """Guards against a restart that no report shows, as the runner was removed meanwhile."""
        self.harness.report()
        entries = [runner.entry for runner in self.harness.runners.values()]
        self.harness.cell.set_runners(entries[1:], self.harness.now_ms)
        self.harness.now_ms += 5_000.0
        self.harness.renew()
        self.harness.cell.set_runners(entries[1:], self.harness.now_ms)
        self.assertNotIn("a", self.fleet.runners)
        self.harness.cell.set_runners(entries, self.harness.now_ms)
        self.assertTrue(self.fleet.needs_token)

    def _build_successor(self, long_leases):
        """Build the next owner, which reaches all runners but the first."""
        self.harness.submit("j")
        records = [job.record for job in self.harness.cell.jobs.jobs.values()]
        entries = [runner.entry for runner in self.harness.runners.values()]
        successor = SimulatedCell(NAMES, generation=self.harness.last_token + 1)
        successor.runners["a"].reachable = False
        successor.cell.load(
            records,
            entries,
            now_ms=successor.now_ms,
            unix_ms=successor.unix_ms,
            long_leases=long_leases,
        )
        successor.join()
        return successor

    def test_next_owner_waits_for_the_recorded_long_lease(self):
        """Guards against a second run beside one whose lease a late deadline has extended."""
        for long_leases, wait_ms in (({}, 6_000.0), ({"a": self.longest_ms}, self.longest_ms)):
            with self.subTest(long_leases=long_leases):
                successor = self._build_successor(long_leases)
                successor.advance(wait_ms - 1_000)
                self.assertEqual(successor.find("j"), [])
                successor.advance(1_300)
                self.assertEqual(len(successor.find("j")), 1)

    def test_next_owner_finds_that_a_runner_restarted_unknown_to_the_owner_before(self):
        """Guards against a run on the clock of an earlier incarnation that no owner has noticed."""
        successor = self._build_successor({})
        restarted = build_entry("a", started_unix_ms=2)
        others = [successor.runners[name].entry for name in NAMES[1:]]
        successor.cell.set_runners([restarted, *others], successor.now_ms)
        longest_ms = successor.settings.late_call_ms + self.longest_ms
        leases = successor.cell.fleet.list_long_leases(successor.now_ms)
        self.assertEqual(leases, {"a": longest_ms})
        successor.advance(longest_ms - 300)
        self.assertEqual(successor.find("j"), [])
        successor.advance(600)
        self.assertEqual(len(successor.find("j")), 1)

    def test_next_owner_passes_a_long_lease_on(self):
        """Guards against the owner after the next one, which the record no longer tells."""
        successor = self._build_successor({"a": self.longest_ms})
        leases = successor.cell.fleet.list_long_leases(successor.now_ms)
        self.assertEqual(leases, {"a": self.longest_ms})

    def test_run_that_only_a_response_has_shown_may_be_extended_until_late_calls_end(self):
        """Guards against a run on an incarnation that its owner never fenced."""
        for runner in self.fleet.runners.values():
            runner.full = runner is not self.runner
        self.harness.submit("j")
        self.harness.plan()
        self.assertEqual(len(self.runner.runs), 1)
        self._restart()
        leases = self.fleet.list_long_leases(self.harness.now_ms)
        self.assertEqual(leases, {"a": self.harness.settings.late_call_ms + self.longest_ms})


if __name__ == "__main__":
    unittest.main()
