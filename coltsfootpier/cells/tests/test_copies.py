"""Tests of copies of the tasks of speculative steps."""

from __future__ import annotations

import unittest
from typing import Any

from benchmarks.copies import simulate
from coltsfootpier.cells import EndKind, RunId, StartOutcome, StartRun
from coltsfootpier.cells._progress import Progress
from coltsfootpier.cells.tests.builders import (
    SimulatedCell,
    build_entry,
    build_job,
    build_queue,
    build_step,
)
from coltsfootpier.jobs import JobState, Queue, TaskKey

_JOB = "0a"
_COUNT = 4
_TASK_MS = 750.0
# The step's objective is 1,405 ms: 1.5 times its duration and 280 ms.
_QUEUE_VALUES = {"stretch": 1.5, "objective_ms": 280.0, "max_attempts": 2}
_SLOW_KEY = TaskKey(0, 0, 0)


class CopyTestCase(unittest.TestCase):
    """A job of four tasks on five runners, of which task 0 is seven times as slow."""

    def setUp(self) -> None:
        self._build_cell()

    def _build_cell(self, **changes: Any) -> None:
        entries = tuple(
            build_entry(name, cpu_milli=2_000, rack=f"r{number % 2}")
            for number, name in enumerate("abcde")
        )
        self.cell = SimulatedCell(entries=entries, **changes)
        self.cell.join()

    def _submit(self, queue: Queue | None = None, **changes: Any) -> None:
        values = {"count": _COUNT, "estimate_ms": _TASK_MS, "speculative": True, **changes}
        queue = queue or build_queue(**_QUEUE_VALUES)
        self.cell.submit(_JOB, build_job(build_step(**values)), queue)
        self.cell.plan()
        self.started_ms = self.cell.now_ms

    def _list_runs(self, key: TaskKey = _SLOW_KEY) -> list[tuple[str, RunId]]:
        return self.cell.find(_JOB, key)

    def _advance(self, until_ms: float, *, slow: tuple[int, ...] = (0,)) -> None:
        """Advance to a time after the start; the runs of the slow tasks' first attempt are slow."""
        cell = self.cell
        while cell.now_ms < self.started_ms + until_ms:
            cell.now_ms += 50.0
            for name, run in cell.find(_JOB):
                is_slow = run.key.index in slow and run.attempt == 1
                duration_ms = _TASK_MS * (7.0 if is_slow else 1.0)
                start_ms = self.started_ms if run.attempt == 1 else self.copied_ms
                percent = 100.0 * (cell.now_ms - start_ms) / duration_ms
                cell.runners[name].percents[run] = percent
                if percent >= 100.0:
                    cell.runners[name].end(run)
            cell.report()
            before = len(cell.commands)
            cell.plan()
            if any(isinstance(command, StartRun) for command in cell.commands[before:]):
                self.copied_ms = cell.now_ms
            cell.store()

    @property
    def _state(self) -> JobState:
        return self.cell.cell.jobs.jobs[_JOB].record.state

    def _count_events(self, name: str) -> int:
        return self.cell.list_event_names().count(name)


class DecisionTest(CopyTestCase):
    """When and where copies start."""

    def test_copy_of_a_slow_run_starts_in_time(self):
        """Guards against a job that is late because one of its runs is slow."""
        self._submit()
        self._advance(500.0)
        first, copy = self._list_runs()
        racks = [self.cell.runners[name].entry.rack for name, _ in (first, copy)]
        self.assertNotEqual(*racks)
        self.assertGreater(copy[1].attempt, first[1].attempt)
        self._advance(1_400.0)
        self.assertIs(self._state, JobState.COMPLETED)
        self.assertEqual(self.cell.list_running(), [])
        self.assertEqual(self._count_events("copy won"), 1)
        self.assertGreater(self.cell.cell.counters["copy_core_ms"], 700)

    def test_ordinary_runs_get_no_copy(self):
        """Guards against copies of usual runs, and of steps that aren't speculative."""
        for speculative, slow in ((True, ()), (False, (0,))):
            self._build_cell()
            self._submit(speculative=speculative)
            self._advance(700.0, slow=slow)
            self.assertEqual(self._count_events("copy started"), 0)

    def test_copy_takes_no_capacity_that_a_waiting_task_needs(self):
        """Guards against a copy that keeps another job waiting."""
        self._submit()
        self.cell.submit("0b", build_job(build_step(count=7)))
        self.cell.plan()
        self._advance(600.0)
        self.assertEqual(len(self._list_runs()), 1)

    def test_copies_of_a_step_and_of_all_tasks_are_bounded(self):
        """Guards against copies that double the load when most runs are slow."""
        self._submit()
        self._advance(600.0, slow=(0, 1))
        self.assertEqual(self._count_events("copy started"), 1)
        self._build_cell(copy_step_share=1.0, copy_share=0.3)
        self._submit()
        self._advance(600.0, slow=(0, 1))
        self.assertEqual(self._count_events("copy started"), 1)

    def test_no_copy_when_the_result_is_of_no_more_use(self):
        """Guards against copies that end after three times the objective."""
        self._submit(queue=build_queue(stretch=0.3, objective_ms=0.0))
        self._advance(600.0)
        self.assertEqual(self._count_events("copy started"), 0)

    def test_copy_avoids_runners_where_the_task_failed(self):
        """Guards against a copy on a runner that has failed the task."""
        self._submit()
        task = self.cell.cell.jobs.jobs[_JOB].find_step(0, 0).tasks[0]
        first = self._list_runs()[0][0]
        task.avoided_runners |= set("abcde") - {first, "e" if first != "e" else "a"}
        self._advance(600.0)
        self.assertEqual(self._list_runs()[1][0], "e" if first != "e" else "a")

    def test_run_on_a_silent_runner_gets_a_copy(self):
        """Guards against a job that waits for the lease of a runner without connection."""
        self._submit()
        self.cell.runners[self._list_runs()[0][0]].reachable = False
        self._advance(1_300.0)
        self.assertEqual(self._count_events("copy started"), 1)

    def test_pause_of_the_owner_gives_no_copies(self):
        """Guards against copies of usual runs because the owner has read no report for a while."""
        self._submit()
        for runner in self.cell.runners.values():
            runner.reachable = False
        self._advance(700.0, slow=())
        self.assertEqual(self._count_events("copy started"), 0)

    def test_falling_percent_does_no_harm(self):
        """Guards against an error in the owner when a runner reports less than before."""
        progress = Progress(0.0, 50.0)
        progress.add(300.0, 49.0)
        progress.add(600.0, 0.0)
        self.assertGreater(progress.estimate_duration_ms(), 600.0)
        self.assertGreater(progress.estimate_end_ms(), 600.0)

    def test_report_is_requested_in_time(self):
        """Guards against a straggler that is seen only half a second after its start or later."""
        choose = self.cell.cell.choose_report_wait_ms
        self.assertEqual(choose("a", self.cell.now_ms, 500.0), 500.0)
        self._submit()
        name = self._list_runs()[0][0]
        self.assertEqual(choose(name, self.started_ms + 20.0, 500.0), 230.0)
        self.assertEqual(choose(name, self.started_ms + 300.0, 500.0), 500.0)


class FailureTest(CopyTestCase):
    """Rules that hold when runs, starts, owners and runners fail."""

    def _start_copy(self) -> tuple[tuple[str, RunId], tuple[str, RunId]]:
        self._submit()
        self._advance(500.0)
        first, copy = self._list_runs()
        return first, copy

    def _end(self, found: tuple[str, RunId], outcome: EndKind) -> None:
        name, run = found
        self.cell.runners[name].end(run, outcome)
        self.cell.report()
        self.cell.store()

    def test_job_fails_only_after_the_last_run(self):
        """Guards against a job that is failed while a copy of its task goes on."""
        first, copy = self._start_copy()
        self.cell.cell.jobs.count_failure(self.cell.cell.jobs.find_step(copy[1]), _SLOW_KEY, 9)
        self._end(first, EndKind.FAILED)
        self._advance(700.0)
        self.assertEqual(self._list_runs(), [copy])
        self._advance(1_400.0)
        self.assertIs(self._state, JobState.COMPLETED)

    def test_failures_of_both_runs_use_up_two_attempts(self):
        """Guards against a failed copy that isn't counted."""
        first, copy = self._start_copy()
        self._end(copy, EndKind.FAILED)
        self.assertFalse(self._state.is_final)
        self._end(first, EndKind.FAILED)
        self.assertIs(self._state, JobState.FAILED)

    def test_task_isnt_started_after_its_attempts_are_used_up(self):
        """Guards against a start after `max_attempts` failures when the other run is lost."""
        first, copy = self._start_copy()
        step = self.cell.cell.jobs.find_step(copy[1])
        self.cell.cell.jobs.count_failure(step, _SLOW_KEY, 9)
        self._end(copy, EndKind.FAILED)
        self.assertFalse(self._state.is_final)
        starts = self.cell.cell.counters["start_started"]
        self._end(first, EndKind.LAPSED)
        self.cell.plan()
        self.assertIs(self._state, JobState.FAILED)
        self.assertEqual(self.cell.cell.counters["start_started"], starts)

    def test_start_of_a_copy_isnt_repeated_after_the_attempts_are_used_up(self):
        """Guards against a start after `max_attempts` failures when a copy's has no response."""
        self._submit(build_queue(**{**_QUEUE_VALUES, "max_attempts": 1}))
        self.cell.outcomes = dict.fromkeys(self.cell.runners, StartOutcome.UNKNOWN)
        self._advance(500.0)
        self.assertEqual(self._count_events("copy started"), 1)
        self._end(self._list_runs()[0], EndKind.FAILED)
        before = len(self.cell.commands)
        self._advance(2_500.0)
        later = self.cell.commands[before:]
        starts = [command for command in later if isinstance(command, StartRun)]
        self.assertEqual([command for command in starts if command.run.key == _SLOW_KEY], [])

    def test_unanswered_start_counts_as_a_run(self):
        """Guards against a third run of a task when a start without a response is carried out."""
        self._submit()
        self.cell.outcomes = dict.fromkeys(self.cell.runners, StartOutcome.UNKNOWN)
        self._advance(600.0)
        starts = [command for command in self.cell.commands if isinstance(command, StartRun)]
        attempts = {command.run for command in starts if command.run.key == _SLOW_KEY}
        self.assertEqual(len(attempts), 2)

    def test_next_owner_adopts_both_runs_and_stops_a_third(self):
        """Guards against a change of owner after which a task has more runs than allowed."""
        first, copy = self._start_copy()
        records = [job.record for job in self.cell.cell.jobs.jobs.values()]
        successor = SimulatedCell(
            entries=tuple(runner.entry for runner in self.cell.runners.values()), generation=2
        )
        successor.runners = self.cell.runners
        third = RunId(_JOB, _SLOW_KEY, 9)
        free = next(name for name in "abcde" if name not in (first[0], copy[0]))
        self.cell.runners[free].running[third] = ""
        successor.cell.load(
            records,
            [runner.entry for runner in self.cell.runners.values()],
            now_ms=successor.now_ms,
            unix_ms=successor.unix_ms,
        )
        successor.join()
        successor.advance(600.0)
        self.assertEqual(len(successor.find(_JOB, _SLOW_KEY)), 2)
        self.assertEqual(successor.list_event_names().count("copy started"), 0)


class SimulationTest(unittest.TestCase):
    """Urgent jobs with slow runs on a virtual clock."""

    def test_copies_prevent_most_late_jobs(self):
        """Guards against late jobs when 3 in 100 runs take seven times as long.

        Copies have to save most of the jobs that are late without them, at little expense.
        """
        options = {"seconds": 8.0, "runners": 24, "load": 0.5}
        late = dict.fromkeys((True, False), 0.0)
        for seed in (1, 2, 3):
            for speculative in late:
                outcome = simulate(seed, speculative=speculative, **options)
                late[speculative] += 1.0 - outcome.on_time
        self.assertLess(late[True], 0.4 * late[False])


if __name__ == "__main__":
    unittest.main()
