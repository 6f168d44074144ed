"""Moves of serving tasks that make room for filling ones, under runners that end up mixed."""

import unittest

from coltsfootpier.cells import StartOutcome, StopRun
from coltsfootpier.cells._regrouping import Regrouper
from coltsfootpier.cells.tests.builders import build_job
from coltsfootpier.cells.tests.test_colocation import build_filling, build_serving, build_world

# The filling image harms one serving image and not the other.
PRESSURES = {("calm", "batch"): 0.0, ("touchy", "batch"): 4.0}


class RegroupTest(unittest.TestCase):
    """Two runners that both serve both images."""

    def setUp(self):
        self.world = build_world(2)
        self.world.report = lambda *names: None
        self.cell = self.world.cell
        self.table = self.cell._pressure
        self.table.estimate = lambda serving, filling: PRESSURES[serving, filling]
        for number in range(2):
            for image in ("calm", "touchy"):
                self._start(f"r{number}", image)

    def _start(self, runner_id, image, **changes):
        """Place one serving task of an image on a runner."""
        name = f"{runner_id}-{image}"
        step = build_serving(image=image, **changes)
        job = self.world.submit(name, build_job(step)).job
        runner = self.cell.fleet.runners[runner_id]
        order = self.cell._planner._start(runner, job.steps[0, 0], 0, self.world.now_ms)
        run = runner.runs[order.run]
        run.load = 0.5
        self.world.runners[runner_id].running[order.run] = ""
        self.cell.handle_start_response(
            runner_id, order.run, StartOutcome.STARTED, self.world.now_ms
        )
        run.percent = 100.0

    def _choose(self, prices=None):
        runners = list(self.cell.fleet.runners.values())
        regrouper = Regrouper(self.table, self.world.settings)
        return regrouper.choose(runners, {"batch": 1.0} if prices is None else prices)

    def test_mixed_runners_are_sorted(self):
        """Guards against runners of which none has room for a filling image."""
        chosen = self._choose()
        self.assertEqual(chosen.run.step.image, "touchy")
        self.assertNotEqual(chosen.run.runner_id, chosen.target.entry.id)
        # The image finds all that the calm tasks leave unused: 14 of 16 cores in place of 1.3.
        self.assertGreater(chosen.gain, 10_000)

    def test_moved_task_starts_on_the_chosen_runner(self):
        """Guards against a move that ends where it began."""
        self.cell._estimates.measure_prices = lambda service: {"batch": 1.0}
        orders = self.world.plan()
        stopped = [order for order in orders if isinstance(order, StopRun)]
        self.assertEqual(len(stopped), 1)
        moved = next(run for run in _list_runs(self.cell) if run.id == stopped[0].run)
        target = moved.task.preferred
        del self.world.report
        self.world.advance(300)
        self.assertEqual([name for name, _ in self.world.find(moved.id.job_id)], [target])

    def test_nothing_moves_without_a_demand(self):
        """Guards against service that is interrupted for batch jobs that nobody hands in."""
        self.assertIsNone(self._choose({}))

    def test_full_runners_stay_as_they_are(self):
        """Guards against a task that is stopped although its target has no room."""
        for runner in self.cell.fleet.runners.values():
            runner.reserve(build_filling("batch", fills=False, cpu_milli=6_000))
        self.assertIsNone(self._choose())

    def test_nothing_moves_while_a_long_running_task_waits(self):
        """Guards against a waiting task that takes the room of a task that was stopped."""
        self.cell._estimates.measure_prices = lambda service: {"batch": 1.0}
        self.world.submit("large", build_job(build_serving(image="calm", cpu_milli=15_000)))
        self.assertFalse([order for order in self.world.plan() if isinstance(order, StopRun)])


class PromisedTest(RegroupTest):
    """The same runners with tasks whose callers named how many may be away."""

    def _start(self, runner_id, image, **changes):
        super()._start(runner_id, image, may_miss=1, **changes)

    def test_mixed_runners_are_sorted(self):
        """Guards against a promise on the tasks that may be away."""
        self.assertIsNone(self._choose())

    def test_moved_task_starts_on_the_chosen_runner(self):
        """Guards against a stop in a plan although no move was chosen."""
        self.cell._estimates.measure_prices = lambda service: {"batch": 1.0}
        self.assertFalse([order for order in self.world.plan() if isinstance(order, StopRun)])


def _list_runs(cell):
    return [run for runner in cell.fleet.runners.values() for run in runner.runs.values()]
