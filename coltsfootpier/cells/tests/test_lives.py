"""Runners whose life the platform lists as over."""

import unittest

from coltsfootpier.cells.tests.builders import SimulatedCell, build_job, build_step


class LifeTest(unittest.TestCase):
    """What starts elsewhere, and when."""

    def setUp(self):
        self.world = SimulatedCell(("a", "b"))
        self.world.join()
        self.world.submit("j", build_job(build_step(cpu_milli=3_000)))
        self.world.plan()
        ((self.name, self.run_id),) = self.world.find("j")
        self.other = {"a": "b", "b": "a"}[self.name]
        self.runner = self.world.runners[self.name]

    def _list(self, *living):
        ended = self.world.cell.incarnations.take_listing(living, requested_ms=self.world.now_ms)
        self.world.advance(100)
        return ended

    def _crash(self):
        self.runner.reachable = False
        self.world.advance(700)

    def test_crashed_runner(self):
        """Guards against tasks of a crashed runner that wait 4 s for their lapse."""
        self._crash()
        self.assertTrue(self.world.cell.incarnations.has_suspects(self.world.now_ms))
        self.assertFalse(self._list(self.other))
        self.assertTrue(self._list(self.other))
        self.assertEqual(len(self.world.runners[self.other].running), 1)

    def test_runner_that_is_cut_off(self):
        """Guards against a task that runs twice, since a runner that is cut off runs on."""
        self._crash()
        for _ in range(5):
            self.assertFalse(self._list(self.name, self.other))
        self.assertEqual(self.world.runners[self.other].running, {})

    def test_one_listing_is_not_enough(self):
        """Guards against a task that runs twice because a page of a listing missed its runner."""
        self._crash()
        self._list(self.other)
        self._list(self.name, self.other)
        self.assertFalse(self._list(self.other))
        self.assertEqual(self.world.runners[self.other].running, {})

    def test_listings_before_the_last_contact(self):
        """Guards against an old listing that counts against a runner that has answered since."""
        requested_ms = self.world.now_ms + 800
        self.world.now_ms += 1_000
        self.world.report()
        for later_ms in (0, 50):
            self.world.cell.incarnations.take_listing(set(), requested_ms=requested_ms + later_ms)
        self.assertEqual(self.world.find("j"), [(self.name, self.run_id)])
        self.assertFalse(self.world.cell.fleet.runners[self.name].ended)

    def test_runner_that_answers_after_all(self):
        """Guards against a run that goes on beside the one that replaced it."""
        self._crash()
        self._list(self.other)
        self._list(self.other)
        self.runner.reachable = True
        self.world.advance(300)
        self.assertEqual(self.runner.running, {})
        self.assertEqual(len(self.world.find("j")), 1)

    def test_runner_that_reports(self):
        """Guards against a new runner that is taken for ended because it isn't listed yet."""
        for _ in range(10):
            self.assertFalse(self._list())

    def test_nothing_new_on_an_ended_runner(self):
        """Guards against work that is ordered from a runner that is gone."""
        self._crash()
        self._list(self.other)
        self._list(self.other)
        # Its last report is still fresh enough for new work.
        self.assertLess(
            self.world.now_ms - self.world.cell.fleet.runners[self.name].contact_ms,
            self.world.settings.contact_fresh_ms,
        )
        self.world.submit("k", build_job(build_step(cpu_milli=3_000)))
        self.world.plan()
        self.assertEqual(self.world.cell.fleet.runners[self.name].runs, {})

    def test_no_suspect_without_work(self):
        """Guards against listings that are paid for while nothing waits for them."""
        self.world.finish("j")
        self._crash()
        self.assertFalse(self.world.cell.incarnations.has_suspects(self.world.now_ms))

    def test_next_owner_does_not_wait_for_a_gone_runner(self):
        """Guards against all jobs of before that wait 4 s because one runner is gone."""
        records = [job.record for job in self.world.cell.jobs.jobs.values()]
        entries = [runner.entry for runner in self.world.runners.values()]
        del self.world.runners[self.name]
        world = SimulatedCell((self.other,), generation=2)
        world.runners = self.world.runners
        world.cell.load(records, entries, now_ms=world.now_ms, unix_ms=world.unix_ms)
        world.join()
        world.advance(300)
        self.assertEqual(world.find("j"), [])
        for _ in range(2):
            world.cell.incarnations.take_listing({self.other}, requested_ms=world.now_ms)
            world.advance(100)
        self.assertEqual([name for name, _ in world.find("j")], [self.other])


if __name__ == "__main__":
    unittest.main()
