"""Tests of the bound on the memory of accepted jobs."""

from __future__ import annotations

import tracemalloc
import unittest
from typing import Any

import attrs

from coltsfootpier.cells import Accepted, Rejected
from coltsfootpier.cells._job_memory import JobMemory
from coltsfootpier.cells.tests.builders import SimulatedCell, build_job, build_step
from coltsfootpier.jobs import JobSpec, JobState, decode_record, encode_record

HOUR_MS = 3_600_000.0
MB = 1024 * 1024


def build_distinct_job(number: int, *, steps: int, **changes: Any) -> JobSpec:
    """Build a job that shares no object with others, as one that was received."""
    return build_job(
        *(build_step(image=f"image-{number}-{step}") for step in range(steps)), **changes
    )


class BoundTest(unittest.TestCase):
    """Bound by the memory of the VM and the number of runners."""

    def test_shares_add_up(self):
        """Guards against shares of jobs, runners and connections that exceed the VM together."""
        for memory_mb in (160, 200, 300, 552):
            for runners in (0, 24, 176, 900, 1_900):
                with self.subTest(memory_mb=memory_mb, runners=runners):
                    bound = JobMemory(memory_mb, lambda runners=runners: runners).max_bytes
                    others = 45 * MB + runners * 40_000 + memory_mb * MB // 32
                    self.assertLessEqual(bound + others, memory_mb * MB * 7 / 8)

    def test_bound_holds_for_the_smallest_vm(self):
        """Guards against jobs that a large owner accepts and the next one can't load."""
        small, large = (JobMemory(memory_mb, lambda: 24).max_bytes for memory_mb in (200, 552))
        self.assertEqual(small, large)

    def test_largest_scheduled_job_fits(self):
        """Guards against a valid job that can never be accepted."""
        steps = [build_step(count=5_000)] * 4 + [build_step()] * 60
        for runners in (24, 900, 1_900):
            spec = build_job(*steps, occurrences=1)
            self.assertTrue(JobMemory(200, lambda runners=runners: runners).has_room_for(spec))


class AdmissionTest(unittest.TestCase):
    """Jobs that are rejected for the memory of others."""

    def setUp(self) -> None:
        """Start a cell on a small VM."""
        self.harness = SimulatedCell(("a",), memory_mb=64)
        self.harness.join()
        self.memory = self.harness.cell.jobs.memory

    def _submit_many(self, prefix: str, **changes: Any) -> list[Accepted | Rejected]:
        """Submit jobs until one is rejected."""
        results = []
        while not results or isinstance(results[-1], Accepted):
            number = len(results)
            spec = build_distinct_job(number, steps=8, **changes)
            results.append(self.harness.submit(f"{prefix}{number}", spec))
        return results

    def _submit_scheduled(self) -> list[Accepted | Rejected]:
        due_ms = self.harness.unix_ms + HOUR_MS
        return self._submit_many("s", occurrences=1, first_due_unix_ms=due_ms)

    def test_jobs_that_wait_leave_room_for_others(self):
        """Guards against scheduled jobs without a bound, or that shut out all other jobs."""
        *accepted, rejected = self._submit_scheduled()
        self.assertGreater(len(accepted), 10)
        self.assertEqual((rejected.reason, rejected.retry_after_ms), ("memory", 3_000.0))
        self.assertFalse(rejected.is_expected)
        self.assertLessEqual(self.memory.used_bytes, self.memory.max_bytes)
        self.assertIsInstance(self.harness.submit("j"), Accepted)

    def test_cancelled_jobs_make_room(self):
        """Guards against a bound that counts jobs which have ended."""
        *accepted, _ = self._submit_scheduled()
        for result in accepted[:2]:
            self.harness.cell.cancel(result.job.record.id, self.harness.now_ms)
        self.harness.store()
        self.assertIsInstance(self._submit_scheduled()[0], Accepted)

    def test_count_is_exact(self):
        """Guards against a count that drifts, so that jobs are rejected for memory that is free."""
        due_ms = self.harness.unix_ms
        spec = build_job(build_step(), occurrences=3, first_due_unix_ms=due_ms, interval_ms=500.0)
        self.harness.submit("j", spec)
        self.harness.submit("k")
        for _ in range(30):
            self.harness.advance(100)
            self.harness.finish("j")
            self.harness.finish("k")
        jobs = self.harness.cell.jobs
        self.assertIs(jobs.jobs["j"].record.state, JobState.COMPLETED)
        self.assertEqual(self.memory.scheduled_bytes, 0)
        expired = jobs.list_expired(self.harness.now_ms + HOUR_MS, kept_ms=0, limit=10)
        jobs.remove_expired(expired)
        self.assertEqual((jobs.jobs, self.memory.used_bytes), ({}, 0))

    def test_due_occurrences_wait_for_memory(self):
        """Guards against due occurrences that together exceed the memory."""
        due_ms = self.harness.unix_ms
        steps = [build_step(count=30, cpu_milli=100)] * 4
        for name in ("i", "j"):
            spec = build_job(*steps, occurrences=100, first_due_unix_ms=due_ms, interval_ms=1.0)
            self.assertIsInstance(self.harness.submit(name, spec), Accepted)
        self.harness.advance(500)
        self.assertTrue(all(job.occurrences for job in self.harness.cell.jobs.jobs.values()))
        self.assertLessEqual(self.memory.scheduled_bytes, self.memory.max_scheduled_bytes)

    def test_estimate_covers_memory(self):
        """Guards against an estimate below the memory of accepted jobs, here and once loaded."""
        for changes in ({}, {"occurrences": 9, "first_due_unix_ms": HOUR_MS + 2e12}):
            with self.subTest(changes=changes):
                harness = SimulatedCell(())
                later = SimulatedCell((), generation=2)
                tracemalloc.start()
                for number in range(100):
                    spec = build_distinct_job(number, steps=5, **changes)
                    spec = attrs.evolve(spec, payload="x" * 1_000 + str(number))
                    harness.submit(f"j{number}", spec)
                accepted_bytes = tracemalloc.get_traced_memory()[0]
                tracemalloc.stop()
                self.assertLessEqual(accepted_bytes, harness.cell.jobs.memory.used_bytes)
                bodies = [encode_record(job.record) for job in harness.cell.jobs.jobs.values()]
                tracemalloc.start()
                records = [decode_record(body).unwrap() for body in bodies]
                later.cell.load(records, [], now_ms=later.now_ms, unix_ms=later.unix_ms)
                loaded_bytes = tracemalloc.get_traced_memory()[0]
                tracemalloc.stop()
                self.assertLessEqual(loaded_bytes, later.cell.jobs.memory.used_bytes)
                self.assertEqual(
                    later.cell.jobs.memory.used_bytes, harness.cell.jobs.memory.used_bytes
                )
