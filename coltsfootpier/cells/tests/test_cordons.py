"""Cordoned runners whose VM goes down for maintenance, and the limits of long-running steps."""

import unittest

from coltsfootpier.cells import StartRun, StopRun
from coltsfootpier.cells.tests.builders import SimulatedCell, build_entry, build_job, build_step


def build_service(**changes):
    """Build a job of long-running tasks, one on each runner."""
    values = {"long_running": True, "max_per_runner": 1, "estimate_ms": 0.0}
    return build_job(build_step(**{**values, **changes}))


class CordonTest(unittest.TestCase):
    """Runs that are placed on, stay on and move away from a cordoned runner."""

    def setUp(self):
        self.harness = SimulatedCell(("a", "b", "c"))
        self.harness.join()
        self.cordons = self.harness.cell.cordons

    def _start_job(self, job_id, spec):
        self.harness.submit(job_id, spec)
        self.harness.advance(1_000)
        for runner in self.harness.runners.values():
            for run in runner.running:
                runner.percents[run] = 100.0
        self.harness.advance(1_000)

    def _count(self, kind, runner_id):
        return sum(
            isinstance(command, kind) and command.runner_id == runner_id
            for command in self.harness.commands
        )

    def test_cordoned_runner_gets_no_new_runs(self):
        """Guards against runs that start on a runner just before its VM goes down."""
        self.cordons.cordon("a")
        self._start_job("j", build_job(build_step(count=6)))
        self.assertEqual(self._count(StartRun, "a"), 0)
        self.cordons.uncordon("a")
        self._start_job("k", build_job(build_step(count=12)))
        self.assertGreater(self._count(StartRun, "a"), 0)

    def test_limit_on_unavailable_tasks(self):
        """Guards against more unavailable tasks of a step than it allows."""
        self._start_job("j", build_service(count=3, may_miss=1))
        self.assertTrue(self.cordons.can_end_runs("a"))
        self.cordons.mark_ending("a")
        self.assertFalse(self.cordons.can_end_runs("b"))
        self.cordons.unmark_ending("a")
        self.assertTrue(self.cordons.can_end_runs("b"))

    def test_tasks_that_are_not_ready_count_as_unavailable(self):
        """Guards against ending a task while another task of the step is still starting."""
        self._start_job("j", build_service(count=3, may_miss=1))
        (run,) = self.harness.runners["b"].running
        self.harness.runners["b"].percents[run] = 50.0
        self.harness.advance(500)
        self.assertFalse(self.cordons.can_end_runs("a"))
        # A runner without a ready task may end at any time.
        self.assertTrue(self.cordons.can_end_runs("b"))

    def test_step_without_a_limit(self):
        """Guards against a maintenance wave that waits for steps that set no limit."""
        self._start_job("j", build_service(count=3))
        self.cordons.mark_ending("a")
        self.assertTrue(self.cordons.can_end_runs("b"))

    def test_tasks_beyond_the_limit_move_away(self):
        """Guards against a VM that can never go down because it holds two tasks of a step."""
        self.harness = SimulatedCell(entries=(build_entry("a"), build_entry("b", cpu_milli=1_000)))
        self.harness.join()
        self.cordons = self.harness.cell.cordons
        self._start_job("j", build_service(count=2, may_miss=1, max_per_runner=0, cpu_milli=2_000))
        self.assertFalse(self.cordons.can_end_runs("a"))
        self.cordons.cordon("a")
        self.harness.advance(1_000)
        self.assertEqual(self._count(StopRun, "a"), 0)
        self.harness.runners["c"] = type(self.harness.runners["a"])(build_entry("c"))
        self.harness.join()
        self.harness.advance(1_000)
        self.assertEqual(self._count(StopRun, "a"), 1)
        self.assertEqual(len(self.harness.runners["a"].running), 1)

    def test_runs_end_with_their_vm(self):
        """Guards against tasks that wait for the lease expiry of a runner known to be off."""
        self._start_job("j", build_service(count=3))
        self.cordons.cordon("a")
        self.harness.runners["a"].reachable = False
        self.cordons.record_ended("a")
        self.assertFalse(self.harness.cell.fleet.runners["a"].runs)
        self.assertEqual(len(self.harness.cell.jobs.ready), 1)

    def test_unusable_runner(self):
        """Guards against maintenance of a runner that is unknown or has not reported yet."""
        self.assertEqual(self.cordons.measure_ending_cost("a"), 0.0)
        self.assertIsNone(self.cordons.measure_ending_cost("unknown"))
        self.harness.cell.fleet.runners["b"].adopted = False
        self.assertIsNone(self.cordons.measure_ending_cost("b"))


if __name__ == "__main__":
    unittest.main()
