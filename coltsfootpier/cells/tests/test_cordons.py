"""Runners whose VM goes down for its upkeep, and the limits of long-running steps."""

import unittest

from coltsfootpier.cells import StartRun, StopRun
from coltsfootpier.cells.tests.builders import SimulatedCell, build_entry, build_job, build_step


def build_service(**changes):
    """Build a job of long-running tasks, one on each runner."""
    values = {"long_running": True, "max_per_runner": 1, "estimate_ms": 0.0}
    return build_job(build_step(**{**values, **changes}))


class CordonTest(unittest.TestCase):
    """What a cordoned runner gets, keeps and loses."""

    def setUp(self):
        self.world = SimulatedCell(("a", "b", "c"))
        self.world.join()
        self.cordons = self.world.cell.cordons

    def _start(self, job_id, spec):
        self.world.submit(job_id, spec)
        self.world.advance(1_000)
        for runner in self.world.runners.values():
            for run in runner.running:
                runner.percents[run] = 100.0
        self.world.advance(1_000)

    def _count(self, kind, runner_id):
        return sum(
            isinstance(order, kind) and order.runner_id == runner_id for order in self.world.orders
        )

    def test_nothing_new(self):
        """Guards against work that is started on a runner just before its VM goes down."""
        self.cordons.cordon("a")
        self._start("j", build_job(build_step(count=6)))
        self.assertEqual(self._count(StartRun, "a"), 0)
        self.cordons.uncordon("a")
        self._start("k", build_job(build_step(count=12)))
        self.assertGreater(self._count(StartRun, "a"), 0)

    def test_limit_of_a_step(self):
        """Guards against more tasks of a step away than it allows."""
        self._start("j", build_service(count=3, may_miss=1))
        self.assertTrue(self.cordons.can_end_runs("a"))
        self.cordons.mark_ending("a")
        self.assertFalse(self.cordons.can_end_runs("b"))
        self.cordons.unmark_ending("a")
        self.assertTrue(self.cordons.can_end_runs("b"))

    def test_tasks_that_are_not_at_work_count_as_away(self):
        """Guards against an end beside a task that is still starting."""
        self._start("j", build_service(count=3, may_miss=1))
        (run,) = self.world.runners["b"].running
        self.world.runners["b"].percents[run] = 50.0
        self.world.advance(500)
        self.assertFalse(self.cordons.can_end_runs("a"))
        # A runner without a task at work may always end.
        self.assertTrue(self.cordons.can_end_runs("b"))

    def test_step_without_a_limit(self):
        """Guards against a wave that waits for steps that name no limit."""
        self._start("j", build_service(count=3))
        self.cordons.mark_ending("a")
        self.assertTrue(self.cordons.can_end_runs("b"))

    def test_tasks_beyond_the_limit_move_away(self):
        """Guards against a VM that can never go down because it holds two tasks of a step."""
        self.world = SimulatedCell(entries=(build_entry("a"), build_entry("b", cpu_milli=1_000)))
        self.world.join()
        self.cordons = self.world.cell.cordons
        self._start("j", build_service(count=2, may_miss=1, max_per_runner=0, cpu_milli=2_000))
        self.assertFalse(self.cordons.can_end_runs("a"))
        self.cordons.cordon("a")
        self.world.advance(1_000)
        self.assertEqual(self._count(StopRun, "a"), 0)
        self.world.runners["c"] = type(self.world.runners["a"])(build_entry("c"))
        self.world.join()
        self.world.advance(1_000)
        self.assertEqual(self._count(StopRun, "a"), 1)
        self.assertEqual(len(self.world.runners["a"].running), 1)

    def test_runs_end_with_their_vm(self):
        """Guards against tasks that wait for the lapse of a runner that is known to be off."""
        self._start("j", build_service(count=3))
        self.cordons.cordon("a")
        self.world.runners["a"].reachable = False
        self.cordons.record_ended("a")
        self.assertFalse(self.world.cell.fleet.runners["a"].runs)
        self.assertEqual(len(self.world.cell.jobs.ready), 1)

    def test_runner_that_is_not_used(self):
        """Guards against an upkeep of a runner whose runs aren't known yet, or that leaves."""
        self.assertEqual(self.cordons.measure_ending_cost("a"), 0.0)
        self.assertIsNone(self.cordons.measure_ending_cost("unknown"))
        self.world.cell.fleet.runners["b"].adopted = False
        self.assertIsNone(self.cordons.measure_ending_cost("b"))


if __name__ == "__main__":
    unittest.main()
