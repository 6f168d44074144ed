"""Loads, durations and capacities that are estimated from reports, under changing loads."""

import math
import random
import unittest

from coltsfootpier.cells import Accepted, LearnedInterference, LearnedState, Rejected
from coltsfootpier.cells._capacity import BestEffortCapacity
from coltsfootpier.cells._durations import DurationModel
from coltsfootpier.cells._interference import InterferenceTable
from coltsfootpier.cells._loads import LoadFilter
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner
from coltsfootpier.cells.tests.builders import build_entry, build_job, build_queue
from coltsfootpier.cells.tests.test_colocation import (
    INTERFERENCE,
    LOAD,
    build_best_effort,
    build_harness,
    build_serving,
)
from coltsfootpier.transport import decode, encode


class SwingTest(unittest.TestCase):
    """Predictions of a load that swings by half of its mean within ten seconds."""

    def _measure_error(self, load_filter):
        generator = random.Random(1)
        phase = generator.uniform(0, 2 * math.pi)

        def load(now_ms):
            return 0.48 * (1 + 0.5 * math.sin(2 * math.pi * now_ms / 9_500 + phase))

        errors = []
        for number in range(1, 160):
            now_ms = 125.0 * number
            # A report covers the last 500 ms.
            load_filter.observe(
                load(now_ms - 250) + generator.gauss(0, 0.02), 0.0004, now_ms=now_ms
            )
            if now_ms > 5_000:
                highest = max(load(now_ms + ahead) for ahead in range(0, 601, 100))
                errors.append(load_filter.predict_upper(now_ms) - highest)
        return math.sqrt(sum(error**2 for error in errors) / len(errors))

    def test_prediction_follows_the_swing(self):
        """Guards against serving tasks that go over their targets whenever their load rises.

        An estimate without a trend is off by 0.1, twice the headroom that the limit leaves.
        """
        self.assertLess(self._measure_error(LoadFilter(0.0)), 0.05)

    def test_trend_decays_without_reports(self):
        """Guards against a trend that is extrapolated through an outage."""
        load_filter = LoadFilter(0.0)
        for number in range(1, 9):
            load_filter.observe(0.2 + 0.05 * number, 0.0004, now_ms=500.0 * number)
        self.assertLess(
            abs(load_filter.predict_upper(60_000.0) - load_filter.predict_upper(9_000.0)), 0.01
        )


class DurationTest(unittest.TestCase):
    """Durations predicted from declarations that are off by a factor of 2.5 either way."""

    def test_declarations_are_weighted_by_their_accuracy(self):
        """Guards against ordering jobs by the errors in their declared durations."""
        generator = random.Random(1)
        model = DurationModel()
        errors, declared_errors = [], []
        for _ in range(400):
            real = 2_200 * generator.lognormvariate(0, 0.47)
            declared = real * generator.lognormvariate(0, 0.9)
            errors.append(abs(math.log(model.predict(declared) / real)))
            declared_errors.append(abs(math.log(declared / real)))
            model.update(real, declared)
        self.assertLess(sum(errors[100:]), 0.7 * sum(declared_errors[100:]))

    def test_accurate_declarations_are_used(self):
        """Guards against predicting the mean for every duration."""
        model = DurationModel()
        for number in range(200):
            declared = 100.0 * (1 + number % 50)
            model.update(1.1 * declared, declared)
        self.assertAlmostEqual(model.predict(400.0) / 440.0, 1.0, delta=0.1)


class CapacityTest(unittest.TestCase):
    """Capacity for best-effort images beside serving tasks."""

    def _build_capacity(self, free_cpus):
        """Build a capacity from the CPU that images find on each runner."""
        table = InterferenceTable(CellSettings())
        capacity = BestEffortCapacity(table)
        runners = [Runner(entry=build_entry(f"r{number}")) for number in range(len(free_cpus))]
        table.list_headrooms = lambda runner: {"runner": int(runner.entry.id[1:])}
        table.limit_cpu = lambda headrooms, image, cpu: free_cpus[headrooms["runner"]].get(
            image, 0.0
        )
        capacity.measure(runners, {"a", "b"})
        return capacity

    def test_images_on_separate_runners_do_not_delay_each_other(self):
        """Guards against rejecting jobs whose runners are free because other runners are busy."""
        capacity = self._build_capacity([{"a": 1_000.0}, {"b": 2_000.0}])
        delays = capacity.estimate_delays({"a": 10_000.0, "b": 2_000.0})
        self.assertEqual(delays, {"a": 10.0, "b": 1.0})

    def test_image_with_a_choice_uses_free_runners(self):
        """Guards against counting the same CPU for two images."""
        capacity = self._build_capacity([{"a": 1_000.0, "b": 1_000.0}, {"b": 1_000.0}])
        delays = capacity.estimate_delays({"a": 10_000.0, "b": 5_000.0})
        self.assertEqual(delays, {"a": 10.0, "b": 5.0})
        delays = capacity.estimate_delays({"a": 10_000.0, "b": 20_000.0})
        self.assertEqual(delays, {"a": 10.0, "b": 15.0})

    def test_image_without_capacity_has_infinite_delay(self):
        """Guards against a division by zero, and against accepting jobs that can't run."""
        capacity = self._build_capacity([{"b": 1_000.0}])
        self.assertEqual(capacity.estimate_delays({"a": 1.0}), {"a": math.inf})


class FloodOfOneImageTest(unittest.TestCase):
    """A flood of jobs of an image with little capacity, beside jobs of an image with much."""

    def test_admission_uses_the_capacity_of_each_image(self):
        """Guards against jobs that are rejected because of the backlog of another image.

        Jobs of the image with little capacity must be rejected, those of the other one accepted.
        """
        harness = build_harness(4)
        harness.submit("s", build_job(build_serving(count=16)))
        harness.advance(1_000)
        for image, interference in (("heavy", 4.0), ("light", 0.0)):
            self.assertEqual(INTERFERENCE["web", image], interference)
            harness.submit(
                f"{image}-known", build_job(build_best_effort(image, estimate_ms=9_000.0))
            )
        harness.advance(6_000)
        # (1 - LOAD) of 64 cores are unused; the heavy image may use 4 of them, the light one all.
        self.assertEqual(LOAD, 0.5)
        queue = build_queue(stretch=2.0, objective_ms=1_000.0)
        results = {"heavy": [], "light": []}
        for number in range(24):
            for image, results_of_image in results.items():
                step = build_best_effort(image, count=8, estimate_ms=1_000.0)
                results_of_image.append(harness.submit(f"{image}{number}", build_job(step), queue))
        accepted = {
            image: sum(isinstance(result, Accepted) for result in results_of_image)
            for image, results_of_image in results.items()
        }
        # Each job has 16 core-seconds. In three objectives of 3 s the heavy image completes two or
        # three of them and the light one, with 28 cores, at least twelve.
        self.assertLessEqual(accepted["heavy"], 5)
        self.assertGreaterEqual(accepted["light"], 12)
        self.assertTrue(all(isinstance(result, Rejected) for result in results["heavy"][-10:]))


class TakeoverTest(unittest.TestCase):
    """A new owner that restores the learned state of the previous one."""

    def test_next_owner_restores_interference_and_durations(self):
        """Guards against slowed batch work and wrong durations after each change of owner."""
        harness = build_harness(2)
        harness.submit("s", build_job(build_serving(count=4)))
        harness.advance(1_000)
        for image in ("heavy", "light"):
            harness.submit(image, build_job(build_best_effort(image, estimate_ms=9_000.0)))
        harness.advance(6_000)
        for name, run in harness.find("light"):
            harness.runners[name].end(run)
        harness.report()
        learned = decode(encode(harness.cell.export_learned()), LearnedState)
        later = build_harness(2).cell
        later.restore_learned(learned)
        for image in ("heavy", "light"):
            self.assertAlmostEqual(
                later._interference.estimate("web", image),
                harness.cell._interference.estimate("web", image),
                delta=0.01,
            )
        spec = build_best_effort("light", estimate_ms=9_000.0)
        self.assertLess(later._estimates.estimate_task_ms("batch", spec), 8_500.0)

    def test_invalid_sums_are_ignored(self):
        """Guards against an owner that fails at each takeover because of one bad record."""
        cell = build_harness(2).cell
        for sums in ((), (1.0,), (0.0,) * 5, (1.0, 2.0, math.nan, 3.0, 4.0)):
            cell.restore_learned(LearnedState(durations={"batch": sums}))
            spec = build_best_effort("light", estimate_ms=700.0)
            self.assertEqual(cell._estimates.estimate_task_ms("batch", spec), 700.0)

    def test_implausible_values_are_clipped(self):
        """Guards against a wrong record that stops all batch work."""
        table = InterferenceTable(CellSettings())
        bad = LearnedInterference(serving="a", filling="b", mean=1e9, variance=-1.0)
        table.restore([bad], {})
        self.assertLessEqual(table.estimate("a", "b"), 9.0)
