"""Tests of jobs with a schedule: when their occurrences begin, and what they cost before."""

from __future__ import annotations

import tracemalloc
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import attrs

from coltsfootpier.cells import RunId
from coltsfootpier.cells._estimates import Estimates
from coltsfootpier.cells.tests.builders import (
    UNIX_OFFSET_MS,
    SimulatedCell,
    build_job,
    build_queue,
    build_step,
)
from coltsfootpier.jobs import (
    JobRecord,
    JobSpec,
    JobState,
    StepSpec,
    TaskKey,
    decode_record,
    encode_record,
)

# An owner with 200 MB of memory, the smallest entry VM, has an eighth of it for 40 such jobs.
MAX_JOB_BYTES = 200 * 1024 * 1024 // 8 // 40
HOUR_MS = 3_600_000.0
MINUTE_MS = 60_000.0


def build_chain(length: int, **changes: Any) -> list[StepSpec]:
    """Build steps of one task that run one after another."""
    return [
        build_step(after=(number - 1,) if number else (), **changes) for number in range(length)
    ]


def build_scheduled_job(
    steps: list[StepSpec],
    cell: SimulatedCell,
    *,
    occurrences: int,
    due_in_ms: float,
    interval_ms: float = MINUTE_MS,
) -> JobSpec:
    """Build a job whose first occurrence is due some time after the present."""
    return build_job(
        *steps,
        occurrences=occurrences,
        first_due_unix_ms=cell.unix_ms + due_in_ms,
        interval_ms=interval_ms,
    )


def measure_memory(action: Callable[[], Any]) -> int:
    """Return the memory in bytes that an action has allocated and not released."""
    tracemalloc.start()
    try:
        action()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


class PlanCostTest(unittest.TestCase):
    """Estimated durations that plans and submissions compute, as a measure of their time."""

    def setUp(self) -> None:
        """Start a cell with one runner."""
        self.harness = SimulatedCell(("a",))
        self.harness.join()

    def _count_estimates(self, action: Any) -> int:
        with mock.patch.object(
            Estimates, "estimate_run_ms", autospec=True, side_effect=Estimates.estimate_run_ms
        ) as estimate:
            action()
        return estimate.call_count

    def test_occurrences_to_come_cost_a_plan_nothing(self):
        """Guards against an owner that hangs over steps of occurrences due in an hour (review/12).

        Each measurement of the best-effort work went over all of them, once for each of them.
        """
        steps = build_chain(20, fills=True, image="r")
        spec = build_scheduled_job(steps, self.harness, occurrences=50, due_in_ms=HOUR_MS)
        self.harness.submit("j", spec)
        self.harness.now_ms += 1_000

        self.assertLessEqual(self._count_estimates(self.harness.plan), len(steps))

    def test_occurrences_to_come_cost_a_submission_nothing(self):
        """Guards against the same in the work ahead of a new job, for steps that don't fill."""
        steps = build_chain(64)
        spec = build_scheduled_job(steps, self.harness, occurrences=20, due_in_ms=HOUR_MS)
        self.harness.submit("j", spec)

        def submit() -> None:
            self.harness.submit("k")

        self.assertLessEqual(self._count_estimates(submit), len(steps))

    def test_steps_of_due_occurrences_are_estimated_once_a_plan(self):
        """Guards against a plan that goes over an occurrence once for each of its steps."""
        # Steps that wait beside each other, each of them ranked.
        steps = [build_step(fills=True, image="r", cpu_milli=8_000)] * 40
        spec = build_scheduled_job(steps, self.harness, occurrences=10, due_in_ms=0, interval_ms=1)
        self.harness.submit("j", spec)
        self.harness.advance(1_000)

        self.harness.now_ms += 1_000
        # Once in the sums of each occurrence, once as the remaining work of the step.
        self.assertLessEqual(self._count_estimates(self.harness.plan), 2 * 10 * len(steps))

    def test_many_due_occurrences_begin_as_others_end(self):
        """Guards against plans that take longer the more occurrences are due at once."""
        harness = SimulatedCell(("a",), max_due_tasks=40)
        harness.join()
        steps = build_chain(5, cpu_milli=100)
        for job in ("i", "j", "k"):
            spec = build_scheduled_job(
                steps, harness, occurrences=100, due_in_ms=-HOUR_MS, interval_ms=1
            )
            harness.submit(job, spec)
        for _ in range(200):
            harness.advance(100)
            due = [len(job.occurrences) for job in harness.cell.jobs.jobs.values()]
            self.assertLessEqual(sum(due), 40 / 5 + 3)
            for job in ("i", "j", "k"):
                harness.finish(job)
        states = [job.record.state for job in harness.cell.jobs.jobs.values()]
        while any(not state.is_final for state in states):
            harness.advance(100)
            for job in ("i", "j", "k"):
                harness.finish(job)
            states = [job.record.state for job in harness.cell.jobs.jobs.values()]
        self.assertEqual(set(states), {JobState.COMPLETED})


class GaugeTest(unittest.TestCase):
    """What operators see of occurrences."""

    def test_due_and_later_tasks(self):
        """Guards against work that isn't due and shows in no metric."""
        harness = SimulatedCell(("a",))
        harness.join()
        steps = [build_step(count=3), build_step(after=(0,))]
        spec = build_scheduled_job(steps, harness, occurrences=10, due_in_ms=0)
        harness.submit("j", spec)
        harness.submit("k", build_job(build_step(count=2)))
        harness.plan()
        gauges = harness.cell.summarise()
        self.assertEqual(
            [gauges[name] for name in ("steps_due", "tasks_due", "tasks_later")], [3, 6, 36]
        )
        self.assertEqual(gauges["job_bytes"], harness.cell.jobs.memory.used_bytes)
        self.assertLess(gauges["job_bytes_scheduled"], gauges["job_bytes"])
        self.assertLess(gauges["job_bytes"], gauges["job_bytes_max"])


class MemoryTest(unittest.TestCase):
    """Memory of jobs with many occurrences."""

    def setUp(self) -> None:
        """Start a cell with one runner."""
        self.harness = SimulatedCell(("a",))
        self.harness.join()

    def test_occurrences_to_come_take_no_memory(self):
        """Guards against owners that run out of memory over occurrences not due (review/13)."""
        spec = build_scheduled_job(
            build_chain(5), self.harness, occurrences=1_000, due_in_ms=HOUR_MS
        )

        def submit() -> None:
            for number in range(4):
                self.harness.submit(f"j{number}", spec)

        self.assertLess(measure_memory(submit), 4 * MAX_JOB_BYTES)

    def test_many_due_occurrences_take_bounded_memory(self):
        """Guards against the same when all of them are due at once."""
        spec = build_scheduled_job(
            build_chain(5), self.harness, occurrences=1_000, due_in_ms=0, interval_ms=1
        )

        def submit() -> None:
            for number in range(40):
                self.harness.submit(f"j{number}", spec)
            self.harness.advance(1_000)

        self.assertLess(measure_memory(submit), 40 * MAX_JOB_BYTES)

    def test_loaded_job_takes_little_memory_for_done_tasks(self):
        """Guards against a later owner that holds a key for each task that is done."""
        spec = build_scheduled_job(build_chain(20), self.harness, occurrences=1_000, due_in_ms=0)
        record = JobRecord(
            id="j",
            queue="batch",
            service="web",
            accepted_unix_ms=0.0,
            spec=spec,
            done={TaskKey(number, step, 0) for number in range(999) for step in range(20)},
        )
        body = encode_record(record)
        later = SimulatedCell(("a",), generation=2)

        def load() -> None:
            decoded = decode_record(body).unwrap()
            later.cell.load([decoded], [], now_ms=later.now_ms, unix_ms=later.unix_ms)

        self.assertLess(measure_memory(load), MAX_JOB_BYTES)
        self.assertEqual(encode_record(later.cell.jobs.jobs["j"].record), body)


class OccurrenceOrderTest(unittest.TestCase):
    """Which occurrences begin, and when."""

    def setUp(self) -> None:
        """Start a cell with two runners."""
        self.harness = SimulatedCell(max_due_tasks=2)
        self.harness.join()

    def _list_started(self, job: str) -> list[int]:
        return sorted(run.key.occurrence for _, run in self.harness.find(job))

    def test_urgent_queue_begins_first(self):
        """Guards against an urgent job whose occurrences wait for those of a less urgent one."""
        spec = build_scheduled_job(
            build_chain(1), self.harness, occurrences=4, due_in_ms=100, interval_ms=1
        )
        self.harness.submit("late", spec, build_queue(name="late", priority=5))
        self.harness.submit("urgent", spec, build_queue(name="urgent", priority=0))
        self.harness.advance(200)
        self.assertEqual(self._list_started("urgent"), [0, 1])
        self.assertEqual(self._list_started("late"), [0])

    def test_each_job_has_an_occurrence(self):
        """Guards against a due job that waits for occurrences of another that fit on no runner."""
        blocked = build_scheduled_job(
            build_chain(1, required_label="none"), self.harness, occurrences=9, due_in_ms=100
        )
        blocked = attrs.evolve(blocked, interval_ms=1.0)
        self.harness.submit("blocked", blocked)
        self.harness.advance(200)
        spec = build_scheduled_job(build_chain(1), self.harness, occurrences=2, due_in_ms=100)
        self.harness.submit("j", spec)
        self.harness.advance(200)
        self.assertEqual(self._list_started("j"), [0])

    def test_negative_interval(self):
        """Guards against occurrences that wait for a later one with a smaller number."""
        spec = build_scheduled_job(
            build_chain(1), self.harness, occurrences=3, due_in_ms=100, interval_ms=-10_000
        )
        # The occurrences are due at 100, -9,900 and -19,900 ms from now.
        self.harness.submit("j", spec)
        self.harness.plan()
        self.assertEqual(self._list_started("j"), [1, 2])

    def test_cancelled_job_begins_no_occurrence(self):
        """Guards against an occurrence of a cancelled job that is started when it is due."""
        spec = build_scheduled_job(build_chain(1), self.harness, occurrences=2, due_in_ms=100)
        self.harness.submit("j", spec)
        self.harness.cell.cancel("j", self.harness.now_ms)
        self.harness.advance(500)
        self.assertEqual(self._list_started("j"), [])


class SuccessorTest(unittest.TestCase):
    """Occurrences that a later owner finds in records and reports."""

    def _load(self, done: set[TaskKey], spec: JobSpec, *running: RunId) -> SimulatedCell:
        harness = SimulatedCell(("a",), generation=2)
        record = JobRecord(
            id="j",
            queue="batch",
            service="web",
            accepted_unix_ms=harness.unix_ms,
            spec=spec,
            done=done,
            queue_values=build_queue(),
        )
        harness.cell.load(
            [record],
            [runner.entry for runner in harness.runners.values()],
            now_ms=harness.now_ms,
            unix_ms=harness.unix_ms,
        )
        harness.runners["a"].running.update((run, "") for run in running)
        harness.join()
        return harness

    def _build_spec(self, *, due_in_ms: float) -> JobSpec:
        return build_job(
            *build_chain(2),
            occurrences=3,
            first_due_unix_ms=UNIX_OFFSET_MS + due_in_ms,
            interval_ms=1.0,
        )

    def test_done_tasks_do_not_start_again(self):
        """Guards against a later owner that starts the tasks of completed occurrences again."""
        done = {TaskKey(0, 0, 0), TaskKey(0, 1, 0), TaskKey(1, 0, 0)}
        harness = self._load(done, self._build_spec(due_in_ms=0))
        harness.advance(500)
        self.assertEqual(
            {run.key for _, run in harness.find("j")}, {TaskKey(1, 1, 0), TaskKey(2, 0, 0)}
        )
        harness.finish("j")
        harness.advance(200)
        harness.finish("j")
        self.assertIs(harness.cell.jobs.jobs["j"].record.state, JobState.COMPLETED)

    def test_reported_run_is_adopted_before_its_occurrence_is_due(self):
        """Guards against a stop of the run that an owner with a fast clock has started."""
        run = RunId("j", TaskKey(1, 0, 0), 1)
        harness = self._load(set(), self._build_spec(due_in_ms=60_000), run)
        harness.advance(1_000)
        self.assertEqual(harness.find("j"), [("a", run)])
        # Its next step waits for the due time, and so does the task if the run ends.
        harness.finish("j")
        harness.advance(1_000)
        self.assertEqual(harness.find("j"), [])
        harness.now_ms += 60_000
        harness.advance(500)
        self.assertEqual(
            {run.key for _, run in harness.find("j")},
            {TaskKey(0, 0, 0), TaskKey(1, 1, 0), TaskKey(2, 0, 0)},
        )
