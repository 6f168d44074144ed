"""Moves of serving tasks that free capacity for best-effort tasks, on mixed runners."""

import unittest

from coltsfootpier.cells import Accepted, StartOutcome, StopRun
from coltsfootpier.cells._regrouping import Regrouper
from coltsfootpier.cells.tests.builders import build_job
from coltsfootpier.cells.tests.test_colocation import (
    build_best_effort,
    build_harness,
    build_serving,
)

# The best-effort image harms one serving image and not the other.
INTERFERENCE = {("calm", "batch"): 0.0, ("touchy", "batch"): 4.0}


class RegroupTest(unittest.TestCase):
    """Two runners that both serve both images."""

    def setUp(self):
        self.harness = build_harness(2)
        self.harness.report = lambda *names: None
        self.cell = self.harness.cell
        self.table = self.cell._interference
        self.table.estimate = lambda serving, best_effort: INTERFERENCE[serving, best_effort]
        for number in range(2):
            for image in ("calm", "touchy"):
                self._start_task(f"r{number}", image)

    def _start_task(self, runner_id, image, **changes):
        """Place one serving task of an image on a runner."""
        name = f"{runner_id}-{image}"
        step = build_serving(image=image, **changes)
        job = self.harness.submit(name, build_job(step)).job
        runner = self.cell.fleet.runners[runner_id]
        command = self.cell._planner._start_run(runner, job.find_step(0, 0), 0, self.harness.now_ms)
        run = runner.runs[command.run]
        run.load = 0.5
        self.harness.runners[runner_id].running[command.run] = ""
        self.cell.handle_start_response(
            runner_id, command.run, StartOutcome.STARTED, self.harness.now_ms
        )
        run.percent = 100.0

    def _choose(self, scarcity=None):
        runners = list(self.cell.fleet.runners.values())
        regrouper = Regrouper(self.table, self.harness.settings)
        return regrouper.choose(runners, {"batch": 1.0} if scarcity is None else scarcity)

    def test_mixed_runners_are_regrouped(self):
        """Guards against mixed runners that all lack capacity for a best-effort image."""
        chosen = self._choose()
        self.assertEqual(chosen.run.step.image, "touchy")
        self.assertNotEqual(chosen.run.runner_id, chosen.target.entry.id)
        # The image gets all CPU that the calm tasks leave unused: 14 of 16 cores instead of 1.3.
        self.assertGreater(chosen.gain, 10_000)

    def test_moved_task_starts_on_the_chosen_runner(self):
        """Guards against a moved task that starts on its old runner again."""
        self.cell._estimates.measure_scarcity = lambda service: {"batch": 1.0}
        commands = self.harness.plan()
        stopped = [command for command in commands if isinstance(command, StopRun)]
        self.assertEqual(len(stopped), 1)
        moved = next(run for run in _list_runs(self.cell) if run.id == stopped[0].run)
        target = moved.task.preferred_runner
        del self.harness.report
        self.harness.advance(300)
        self.assertEqual([name for name, _ in self.harness.find(moved.id.job_id)], [target])

    def test_nothing_moves_without_demand(self):
        """Guards against interrupting a service for batch jobs that nobody submits."""
        self.assertIsNone(self._choose({}))

    def test_nothing_moves_to_full_runners(self):
        """Guards against stopping a task although its target has no free capacity."""
        for runner in self.cell.fleet.runners.values():
            runner.reserve(build_best_effort("batch", fills=False, cpu_milli=6_000))
        self.assertIsNone(self._choose())

    def test_nothing_moves_while_a_long_running_task_waits(self):
        """Guards against a waiting task that takes the capacity that a stopped task needs."""
        self.cell._estimates.measure_scarcity = lambda service: {"batch": 1.0}
        # It fits on neither runner, as each has 8 cores free, but the service has 16 in all.
        large = build_job(build_serving(image="calm", cpu_milli=12_000))
        self.assertIsInstance(self.harness.submit("large", large), Accepted)
        self.assertFalse(
            [command for command in self.harness.plan() if isinstance(command, StopRun)]
        )


class UnavailabilityLimitTest(RegroupTest):
    """The same runners with tasks whose callers limit how many may be unavailable."""

    def _start_task(self, runner_id, image, **changes):
        super()._start_task(runner_id, image, may_miss=1, **changes)

    def test_mixed_runners_are_regrouped(self):
        """Guards against breaking the limit on unavailable tasks."""
        self.assertIsNone(self._choose())

    def test_moved_task_starts_on_the_chosen_runner(self):
        """Guards against a stop in a plan although no move was chosen."""
        self.cell._estimates.measure_scarcity = lambda service: {"batch": 1.0}
        self.assertFalse(
            [command for command in self.harness.plan() if isinstance(command, StopRun)]
        )


def _list_runs(cell):
    return [run for runner in cell.fleet.runners.values() for run in runner.runs.values()]
