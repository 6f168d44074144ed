"""Runners whose incarnation has ended according to the platform's listings."""

import unittest

from coltsfootpier.cells.tests.builders import SimulatedCell, build_job, build_step


class IncarnationTest(unittest.TestCase):
    """Which tasks start elsewhere, and when."""

    def setUp(self):
        self.harness = SimulatedCell(("a", "b"))
        self.harness.join()
        self.harness.submit("j", build_job(build_step(cpu_milli=3_000)))
        self.harness.plan()
        ((self.name, self.run_id),) = self.harness.find("j")
        self.other = {"a": "b", "b": "a"}[self.name]
        self.runner = self.harness.runners[self.name]

    def _apply_listing(self, *living):
        ended = self.harness.cell.incarnations.apply_listing(
            living, requested_ms=self.harness.now_ms
        )
        self.harness.advance(100)
        return ended

    def _crash(self):
        self.runner.reachable = False
        self.harness.advance(700)

    def test_crashed_runner(self):
        """Guards against tasks of a crashed runner that wait 4 s for their lease expiry."""
        self._crash()
        self.assertTrue(self.harness.cell.incarnations.has_suspects(self.harness.now_ms))
        self.assertFalse(self._apply_listing(self.other))
        self.assertTrue(self._apply_listing(self.other))
        self.assertEqual(len(self.harness.runners[self.other].running), 1)

    def test_owner_without_a_proof_after_the_end_frees_nothing(self):
        """Guards against a start by a replaced owner whose successor has started the task, too."""
        self._crash()
        self.harness.is_store_up = False
        for _ in range(3):
            self.assertFalse(self._apply_listing(self.other))
        self.assertEqual(self.harness.runners[self.other].running, {})
        self.harness.is_store_up = True
        self.harness.advance(100)
        self.assertTrue(self._apply_listing(self.other))
        self.assertEqual(len(self.harness.runners[self.other].running), 1)

    def test_partitioned_runner(self):
        """Guards against a task that runs twice, since a partitioned runner keeps running."""
        self._crash()
        for _ in range(5):
            self.assertFalse(self._apply_listing(self.name, self.other))
        self.assertEqual(self.harness.runners[self.other].running, {})

    def test_one_listing_is_not_enough(self):
        """Guards against a task that runs twice because a page of a listing missed its runner."""
        self._crash()
        self._apply_listing(self.other)
        self._apply_listing(self.name, self.other)
        self.assertFalse(self._apply_listing(self.other))
        self.assertEqual(self.harness.runners[self.other].running, {})

    def test_listings_before_the_last_contact_are_ignored(self):
        """Guards against an old listing that counts against a runner that responded since."""
        requested_ms = self.harness.now_ms + 800
        self.harness.now_ms += 1_000
        self.harness.report()
        for later_ms in (0, 50):
            self.harness.cell.incarnations.apply_listing(
                set(), requested_ms=requested_ms + later_ms
            )
        self.assertEqual(self.harness.find("j"), [(self.name, self.run_id)])
        self.assertFalse(self.harness.cell.fleet.runners[self.name].ended)

    def test_runner_that_responds_again(self):
        """Guards against a run that continues beside the one that replaced it."""
        self._crash()
        self._apply_listing(self.other)
        self._apply_listing(self.other)
        self.runner.reachable = True
        self.harness.advance(300)
        self.assertEqual(self.runner.running, {})
        self.assertEqual(len(self.harness.find("j")), 1)

    def test_reporting_runner_is_not_ended(self):
        """Guards against a new runner that counts as ended because it isn't listed yet."""
        for _ in range(10):
            self.assertFalse(self._apply_listing())

    def test_ended_runner_gets_no_new_runs(self):
        """Guards against start commands for a runner that is gone."""
        self._crash()
        self._apply_listing(self.other)
        self._apply_listing(self.other)
        # Its last report is still recent enough for new runs.
        self.assertLess(
            self.harness.now_ms - self.harness.cell.fleet.runners[self.name].contact_ms,
            self.harness.settings.contact_fresh_ms,
        )
        self.harness.submit("k", build_job(build_step(cpu_milli=3_000)))
        self.harness.plan()
        self.assertEqual(self.harness.cell.fleet.runners[self.name].runs, {})

    def test_no_suspect_without_work(self):
        """Guards against requesting costly listings while no task waits for them."""
        self.harness.cell.incarnations.apply_listing(
            {"a", "b"},
            requested_ms=self.harness.now_ms,
            runner_by_vm={"vm-a": "a", "vm-b": "b"},
        )
        self.harness.finish("j")
        self._crash()
        self.assertFalse(self.harness.cell.incarnations.has_suspects(self.harness.now_ms))

    def test_vms_of_new_runners_are_listed_at_intervals(self):
        """Guards against a listing every 100 ms because one runner is on no listed VM."""
        incarnations = self.harness.cell.incarnations
        self.assertTrue(incarnations.has_suspects(self.harness.now_ms))
        incarnations.apply_listing(
            {"a"}, requested_ms=self.harness.now_ms, runner_by_vm={"vm-a": "a"}
        )
        self.assertFalse(incarnations.has_suspects(self.harness.now_ms))
        self.harness.advance(self.harness.settings.vm_retry_ms + 100)
        self.assertTrue(incarnations.has_suspects(self.harness.now_ms))

    def test_next_owner_does_not_wait_for_a_gone_runner(self):
        """Guards against inherited jobs that all wait 4 s because one runner is gone."""
        records = [job.record for job in self.harness.cell.jobs.jobs.values()]
        entries = [runner.entry for runner in self.harness.runners.values()]
        del self.harness.runners[self.name]
        harness = SimulatedCell((self.other,), generation=2)
        harness.runners = self.harness.runners
        harness.cell.load(records, entries, now_ms=harness.now_ms, unix_ms=harness.unix_ms)
        harness.join()
        harness.advance(300)
        self.assertEqual(harness.find("j"), [])
        for _ in range(2):
            harness.cell.incarnations.apply_listing({self.other}, requested_ms=harness.now_ms)
            harness.advance(100)
        self.assertEqual([name for name, _ in harness.find("j")], [self.other])


if __name__ == "__main__":
    unittest.main()
