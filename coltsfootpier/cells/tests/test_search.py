"""Search for runners while a queue finds no free capacity."""

import random
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from coltsfootpier.cells._interference import InterferenceTable
from coltsfootpier.cells._placement import choose_runner
from coltsfootpier.cells._search import RANKED_AT_ONCE, RunnerSearch
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner
from coltsfootpier.cells.tests.builders import (
    SimulatedCell,
    build_entry,
    build_job,
    build_queue,
    build_step,
)

RUNNER_COUNT = 40
SIZE_COUNT = 50


def build_overloaded():
    """Build a cell whose runners are full while tasks of many sizes wait."""
    entries = tuple(build_entry(f"r{number}") for number in range(RUNNER_COUNT))
    harness = SimulatedCell(entries=entries)
    harness.join()
    harness.submit("full", build_job(build_step(count=RUNNER_COUNT, cpu_milli=3_500)))
    harness.plan()
    for number in range(SIZE_COUNT):
        step = build_step(count=2, cpu_milli=1_000 + number, memory_mb=100 + SIZE_COUNT - number)
        harness.submit(f"wait{number}", build_job(step))
    harness.plan()
    return harness


class OverloadTest(unittest.TestCase):
    """Tasks of many sizes that wait for runners that are full."""

    def test_plan_without_changes_examines_no_runner(self):
        """Guards against an owner whose CPU is used up by a queue that can't progress.

        In a load run (dss-vieta-grown) with 1,200 waiting tasks, reports fell from 850 to 250 a
        second and changes from 64 to 10, and callers got no responses.
        """
        harness = build_overloaded()
        search = harness.cell._planner._search
        before = search.examined
        harness.plan()
        self.assertEqual(search.examined - before, 0)

    def test_only_changed_runners_are_examined(self):
        """Guards against waiting tasks that miss the capacity freed by an ended run."""
        harness = build_overloaded()
        search = harness.cell._planner._search
        name, run = harness.find("full")[7]
        harness.runners[name].end(run)
        before = search.examined
        harness.report(name)
        harness.plan()
        started = [other for runner, other in harness.list_running() if runner == name]
        self.assertEqual(len(started), 3)
        self.assertLess(search.examined - before, RUNNER_COUNT + SIZE_COUNT)


class LargeFleetTest(unittest.TestCase):
    """Steps on a fleet of more runners than are ranked at once."""

    def setUp(self):
        count = 3 * RANKED_AT_ONCE
        entries = tuple(
            build_entry(f"r{number}", rack=f"rack{number // 8}") for number in range(count)
        )
        self.harness = SimulatedCell(entries=entries)
        self.harness.join()

    def test_step_is_not_ranked_on_all_runners(self):
        """Guards against an owner whose CPU is used up by ranking runners.

        With 1,500 runners the owner was too busy to prove its ownership in time.
        """
        search = self.harness.cell._planner._search
        before = search.examined
        self.harness.submit("j", build_job(build_step(count=4)))
        self.harness.plan()
        self.assertEqual(len(self.harness.find("j")), 4)
        self.assertLess(search.examined - before, RANKED_AT_ONCE + 8)

    def test_successive_steps_spread_over_the_fleet(self):
        """Guards against a first part of the fleet that gets all tasks."""
        for number in range(6):
            self.harness.submit(f"j{number}", build_job(build_step(count=1, cpu_milli=100)))
        self.harness.plan()
        names = {self.harness.find(f"j{number}")[0][0] for number in range(6)}
        self.assertEqual(len({int(name[1:]) // RANKED_AT_ONCE for name in names}), 3)

    def test_task_is_placed_on_the_only_runner_with_capacity(self):
        """Guards against a task that waits because the part that is ranked first is full."""
        count = 3 * RANKED_AT_ONCE
        self.harness.submit("full", build_job(build_step(count=count - 1, cpu_milli=4_000)))
        self.harness.plan()
        self.harness.submit("last", build_job(build_step(count=1, cpu_milli=4_000)))
        self.harness.plan()
        self.assertEqual(len(self.harness.find("full")), count - 1)
        self.assertEqual(len(self.harness.find("last")), 1)

    def test_last_choice_is_used_last(self):
        """Guards against urgent tasks on slow runners that are ranked before sound ones."""
        runners = list(self.harness.cell.fleet.runners.values())
        for runner in runners[RANKED_AT_ONCE : 2 * RANKED_AT_ONCE]:
            runner.is_slow = True
        for number in range(3):
            self.harness.submit(f"j{number}", build_job(build_step(count=10)))
        self.harness.plan()
        for number in range(3):
            names = [name for name, _ in self.harness.find(f"j{number}")]
            self.assertEqual(len(names), 10)
            self.assertFalse(any(self.harness.cell.fleet.runners[name].is_slow for name in names))

    def test_rack_of_the_data_is_ranked_first(self):
        """Guards against tasks that run far from their data although its rack has capacity."""
        for number in range(4):
            step = build_step(count=2, cpu_milli=100, rack_affinity="rack70")
            self.harness.submit(f"j{number}", build_job(step))
        self.harness.plan()
        for number in range(4):
            for name, _ in self.harness.find(f"j{number}"):
                self.assertEqual(int(name[1:]) // 8, 70)


class WideStepTest(unittest.TestCase):
    """Steps of many tasks on a large fleet."""

    def test_tasks_of_a_step_share_one_ranking(self):
        """Guards against an owner that ranks all runners for each task of a wide step.

        On dss-vieta-large 553 tasks start a second, and each one was compared on 270 runners.
        """
        entries = tuple(build_entry(f"r{number}") for number in range(RUNNER_COUNT))
        harness = SimulatedCell(entries=entries)
        harness.join()
        harness.submit("wide", build_job(build_step(count=2 * RUNNER_COUNT)))
        search = harness.cell._planner._search
        before = search.examined
        harness.plan()
        self.assertEqual(len(harness.find("wide")), 2 * RUNNER_COUNT)
        self.assertLessEqual(search.examined - before, 3 * RUNNER_COUNT)


class EqualityTest(unittest.TestCase):
    """The search, which remembers failed demands, compared with a full search."""

    @given(st.integers(0, 10_000))
    def test_finds_the_same_as_a_full_search(self, seed):
        """Guards against free capacity that is overlooked because a demand failed before."""
        generator = random.Random(seed)
        settings = CellSettings()
        table = InterferenceTable(settings)
        search = RunnerSearch(table, settings)
        runners = [
            Runner(entry=build_entry(f"r{number}", cpu_milli=generator.choice((2_000, 4_000))))
            for number in range(6)
        ]
        harness = SimulatedCell()
        harness.join()
        steps = []
        for number in range(12):
            spec = build_step(
                cpu_milli=generator.choice((500, 1_500, 2_500)),
                memory_mb=generator.choice((100, 3_000)),
                fills=generator.random() < 0.4,
                image=generator.choice("ab"),
                max_per_runner=generator.choice((0, 0, 1)),
            )
            job = harness.submit(f"j{number}", build_job(spec), build_queue()).job
            steps.append(job.find_step(0, 0))
        reserved = []
        for _ in range(30):
            usable = [runner for runner in runners if generator.random() < 0.8]
            search.start_plan({"web": usable})
            for step in generator.sample(steps, 6):
                found = search.find_runner(step, "web")
                expected = choose_runner(usable, step, None, table, settings)
                self.assertIs(found, expected)
                if found is not None and generator.random() < 0.5:
                    found.reserve(step.spec)
                    step.runs_per_runner[found.entry.id] = (
                        step.runs_per_runner.get(found.entry.id, 0) + 1
                    )
                    reserved.append((found, step))
            for runner, step in reserved[:]:
                if generator.random() < 0.2:
                    runner.reserve(step.spec, -1)
                    step.runs_per_runner[runner.entry.id] -= 1
                    reserved.remove((runner, step))

    @given(st.integers(0, 10_000))
    def test_ranking_chooses_the_same_as_a_full_search(self, seed):
        """Guards against a ranking that is out of date after a start on one of its runners."""
        generator = random.Random(seed)
        settings = CellSettings()
        table = InterferenceTable(settings)
        search = RunnerSearch(table, settings)
        harness = SimulatedCell()
        harness.join()
        serving = build_step(
            cpu_milli=500,
            long_running=True,
            image="web",
            latency_target_ms=generator.choice((0, 60)),
        )
        spec = build_step(
            count=40,
            cpu_milli=generator.choice((300, 700)),
            fills=generator.random() < 0.5,
            image="batch",
            max_per_runner=generator.choice((0, 3)),
        )
        step = harness.submit("wide", build_job(spec)).job.find_step(0, 0)
        fleet = harness.cell.fleet
        runners = list(fleet.runners.values())
        others = harness.submit("web", build_job(attrs.evolve(serving, count=4))).job.find_step(
            0, 0
        )
        for index in range(4):
            runner = generator.choice(runners)
            run = harness.cell._planner._start_run(runner, others, index, 0.0).run
            runner.runs[run].load = generator.random()
        search.start_plan({"web": runners})
        ranking = search.rank_runners(step, "web")
        for index in range(40):
            found = search.choose_ranked(ranking, step, "web")
            self.assertIs(found, choose_runner(runners, step, None, table, settings))
            if found is None:
                break
            harness.cell._planner._start_run(found, step, index, 0.0)
            if generator.random() < 0.2:
                # A task with preferences of its own starts on a runner that isn't the best.
                other = generator.choice(runners)
                if other.fits(spec):
                    other.reserve(spec)
