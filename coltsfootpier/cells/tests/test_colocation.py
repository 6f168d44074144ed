"""Best-effort tasks beside serving tasks: placement, pace and learned interference under load."""

import unittest

from coltsfootpier.cells._interference import InterferenceTable
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells.tests.builders import (
    SimulatedCell,
    build_entry,
    build_job,
    build_queue,
    build_step,
)

# Tail latency of an idle serving task in ms; its target is six times as high.
IDLE_TAIL_MS = 10.0
LOAD = 0.5
INTERFERENCE = {("web", "heavy"): 4.0, ("web", "light"): 0.0}


def build_serving(**changes):
    """Build a step of serving tasks."""
    values = {
        "cpu_milli": 4_000,
        "long_running": True,
        "image": "web",
        "latency_target_ms": 6 * IDLE_TAIL_MS,
    }
    return build_step(**{**values, **changes})


def build_best_effort(image, **changes):
    """Build a step of best-effort tasks of an image."""
    values = {"cpu_milli": 2_000, "fills": True, "image": image, "checkpointed": True}
    return build_step(**{**values, **changes})


class ColocationHarness(SimulatedCell):
    """Simulated runners that report tail latencies raised by best-effort tasks."""

    def report(self, *names):
        for name, runner in self.runners.items():
            known = self.cell.fleet.runners.get(name)
            if known is None:
                continue
            cpu = known.entry.cpu_milli
            present = [run for run in known.runs.values() if run.id in runner.running]
            best_effort_runs = [run for run in present if run.step.fills]
            for run in best_effort_runs:
                runner.measured[run.id] = run.step.cpu_milli * max(0, run.pace) / 100
                runner.percents[run.id] = runner.percents.get(run.id, 0.0) + 0.5
            for run in present:
                if run.step.latency_target_ms:
                    used = LOAD + sum(
                        INTERFERENCE[run.step.image, neighbour.step.image]
                        * (runner.measured.get(neighbour.id, 0.0) / cpu)
                        for neighbour in best_effort_runs
                    )
                    runner.percents[run.id] = 100.0
                    runner.measured[run.id] = IDLE_TAIL_MS / max(0.01, 1 - used)
        super().report(*names)

    def count_over_target(self):
        """Return the number of serving runs whose tail latency is over the target."""
        return sum(
            run.measured > run.step.latency_target_ms
            for runner in self.cell.fleet.runners.values()
            for run in runner.runs.values()
            if run.step.latency_target_ms
        )


def build_harness(count=4):
    """Build a cell with simulated runners of 16 cores each."""
    entries = tuple(
        build_entry(f"r{number}", cpu_milli=16_000, memory_mb=64_000) for number in range(count)
    )
    harness = ColocationHarness(entries=entries)
    harness.join()
    return harness


class PaceTest(unittest.TestCase):
    """Pace of best-effort tasks that do or don't interfere with serving tasks."""

    def test_harmful_best_effort_tasks_are_slowed(self):
        """Guards against a serving task that stays over its target beside best-effort tasks."""
        harness = build_harness(1)
        harness.submit("s", build_job(build_serving()))
        harness.advance(1_000)
        harness.submit("f", build_job(build_best_effort("heavy", count=4, estimate_ms=20_000.0)))
        over = 0
        for _ in range(40):
            harness.advance(100)
            over += harness.count_over_target() > 0
        self.assertLess(over, 15)
        self.assertEqual(harness.count_over_target(), 0)

    def test_harm_ends_although_it_is_attributed_to_no_image(self):
        """Guards against a target that is missed for 4 s because the estimates are wrong."""
        harness = build_harness(1)
        harness.cell._interference.estimate = lambda serving, best_effort: 0.0
        harness.submit("s", build_job(build_serving()))
        harness.advance(1_000)
        harness.submit("f", build_job(build_best_effort("heavy", count=4, estimate_ms=20_000.0)))
        over_ms = longest_ms = 0
        for _ in range(80):
            harness.advance(100)
            over_ms = over_ms + 100 if harness.count_over_target() else 0
            longest_ms = max(longest_ms, over_ms)
        self.assertLess(longest_ms, 3_000)

    def test_harm_ends_although_new_best_effort_tasks_keep_coming(self):
        """Guards against new tasks at full speed in place of those that were paused.

        A new task works until the next report of its runner, half a second later.
        """
        harness = build_harness(1)
        harness.cell._interference.estimate = lambda serving, best_effort: 0.0
        harness.submit("s", build_job(build_serving()))
        harness.advance(1_000)
        over_ms = longest_ms = 0
        started_ms = {}
        for number in range(100):
            if number % 3 == 0:
                step = build_best_effort("heavy", estimate_ms=500.0)
                harness.submit(f"f{number}", build_job(step))
            harness.now_ms += 100
            for name, run in harness.list_running():
                if (
                    run.job_id != "s"
                    and harness.now_ms - started_ms.setdefault(run, harness.now_ms) >= 800
                ):
                    harness.runners[name].end(run)
            if number % 5 == 0:
                harness.report()
            harness.plan()
            harness.store()
            over_ms = over_ms + 100 if harness.count_over_target() else 0
            longest_ms = max(longest_ms, over_ms)
        self.assertLess(longest_ms, 4_000)

    def test_harm_ends_although_reports_are_imprecise(self):
        """Guards against a target that is missed for 4 s while every other report is just below it.

        Seen once in a load run (HARM on dss-vieta, mix 158084069494, see docs/measurements.md); a
        rerun of that mix alone didn't reproduce it.
        """
        harness = build_harness(1)
        harness.cell._interference.estimate = lambda serving, best_effort: 0.0
        harness.submit("s", build_job(build_serving()))
        harness.advance(1_000)
        harness.submit("f", build_job(build_best_effort("heavy", count=2, estimate_ms=20_000.0)))
        harness.advance(100)
        run = next(iter(harness.cell.fleet.runners["r0"].runs.values()))
        self.assertTrue(run.step.latency_target_ms)
        stopped = False
        for number in range(60):
            harness.now_ms += 50
            run.measured = run.step.latency_target_ms * (1.03 if number % 20 < 10 else 0.98)
            harness.cell._interference._track_overrun(run, harness.now_ms)
            stopped = (
                stopped
                or harness.now_ms - run.over_target_since_ms >= harness.settings.harm_stop_ms
            )
        self.assertTrue(stopped)
        run.measured = 0.5 * run.step.latency_target_ms
        harness.cell._interference._track_overrun(run, harness.now_ms)
        self.assertEqual(run.over_target_since_ms, float("inf"))

    def test_harmless_best_effort_tasks_keep_their_speed(self):
        """Guards against slowing all images because of one."""
        harness = build_harness(1)
        harness.submit("s", build_job(build_serving()))
        harness.advance(1_000)
        harness.submit("f", build_job(build_best_effort("light", count=4, estimate_ms=20_000.0)))
        harness.advance(5_000)
        runs = harness.cell.fleet.runners["r0"].runs.values()
        self.assertEqual([run.pace for run in runs if run.step.fills], [100] * 4)

    def test_slowed_tasks_move_to_runners_without_serving_tasks(self):
        """Guards against batch work that stays slowed while other runners are free."""
        harness = build_harness(2)
        harness.submit("s", build_job(build_serving(count=1)))
        harness.advance(1_000)
        serving = harness.find("s")[0][0]
        free = next(name for name in harness.runners if name != serving)
        harness.runners[free].reachable = False
        harness.advance(2_000)
        harness.submit("f", build_job(build_best_effort("heavy", count=2, estimate_ms=20_000.0)))
        harness.advance(2_000)
        harness.runners[free].reachable = True
        harness.advance(4_000)
        self.assertEqual({name for name, _ in harness.find("f")}, {free})

    def test_serving_tasks_of_one_image_share_runners(self):
        """Guards against one runner per task, which leaves no runner for harmful images."""
        harness = build_harness(4)
        harness.submit("s", build_job(build_serving(count=4)))
        harness.advance(200)
        self.assertEqual(len({name for name, _ in harness.find("s")}), 1)

    def test_flood_of_best_effort_tasks_does_not_harm_the_service(self):
        """Guards against a flood of batch tasks that harms serving tasks or is never completed."""
        harness = build_harness(4)
        harness.submit("s", build_job(build_serving(count=4)))
        harness.advance(1_000)
        for number in range(12):
            image = "heavy" if number % 2 else "light"
            step = build_best_effort(image, count=6, estimate_ms=1_000.0)
            harness.submit(f"f{number}", build_job(step), build_queue(objective_ms=60_000.0))
        over = 0
        for _ in range(150):
            harness.advance(100)
            over += harness.count_over_target() > 0
            for name, run in harness.list_running():
                if run.job_id != "s" and harness.runners[name].percents.get(run, 0) >= 6:
                    harness.runners[name].end(run)
        self.assertLess(over, 20)
        ended = harness.cell.counters["ended_done"]
        self.assertEqual(ended, 72)


class InterferenceTest(unittest.TestCase):
    """Estimated interference of pairs of images, known and unknown."""

    def test_interfering_pairs_are_identified(self):
        """Guards against placement by prior estimates after reports have shown the pairs."""
        harness = build_harness(1)
        harness.submit("s", build_job(build_serving()))
        harness.advance(1_000)
        harness.submit("h", build_job(build_best_effort("heavy", estimate_ms=20_000.0)))
        harness.advance(3_000)
        harness.cell.cancel("h", harness.now_ms)
        harness.advance(500)
        harness.submit("l", build_job(build_best_effort("light", estimate_ms=20_000.0)))
        harness.advance(5_000)
        table = harness.cell._interference
        self.assertGreater(table.estimate("web", "heavy"), 2.0)
        self.assertLess(table.estimate("web", "light"), 0.8)

    def test_unknown_pair_has_a_cautious_estimate(self):
        """Guards against a step of many tasks of an unknown image that overloads a runner."""
        table = InterferenceTable(CellSettings())
        self.assertGreater(table.estimate("web", "new"), 1.0)


class FreeCapacityTest(unittest.TestCase):
    """Free capacity for long-running tasks."""

    def test_task_is_moved_to_defragment_capacity(self):
        """Guards against free capacity that stays split over runners and fits no large task."""
        harness = SimulatedCell()
        harness.join()
        small = build_step(long_running=True, cpu_milli=1_500)
        for name in ("s0", "s1"):
            harness.submit(name, build_job(small))
        harness.plan()
        self.assertEqual({name for name, _ in harness.find("s0") + harness.find("s1")}, {"a", "b"})
        harness.submit("large", build_job(build_step(long_running=True, cpu_milli=3_000)))
        harness.advance(900)
        self.assertEqual(harness.find("large"), [])
        harness.advance(2_000)
        for name in ("s0", "s1", "large"):
            self.assertEqual(len(harness.find(name)), 1)


if __name__ == "__main__":
    unittest.main()
