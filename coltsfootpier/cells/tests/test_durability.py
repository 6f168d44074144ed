"""Order in which changed jobs are written while they change faster than they can be."""

import unittest

from coltsfootpier.cells import Accepted
from coltsfootpier.cells._durability import DirtyJobs
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells.tests.builders import (
    SimulatedCell,
    build_job,
    build_queue,
    build_step,
)
from coltsfootpier.jobs import JobState

LIMIT = 20
BUSY_COUNT = 60


class OrderTest(unittest.TestCase):
    """Sixty jobs, each of which changes again while a change of the store is in flight."""

    def setUp(self):
        self.harness = SimulatedCell()
        self.harness.join()
        self.jobs: JobTable = self.harness.cell.jobs
        for number in range(BUSY_COUNT):
            self._submit(f"busy{number}", count=40)
        self.harness.is_durable = False
        self._change_all()

    def _submit(self, name, count=1):
        # A long objective, so that no job is rejected because of the others.
        queue = build_queue(objective_ms=1e9)
        result = self.harness.submit(name, build_job(build_step(count=count)), queue)
        self.assertIsInstance(result, Accepted)

    def _change_all(self):
        for job in list(self.jobs.jobs.values()):
            if job.record.id.startswith("busy") and job.is_open:
                self.jobs.mark_dirty(job)

    def _write(self):
        """Write one batch, while all busy jobs change; return the identifiers written."""
        batch = self.jobs.list_dirty(LIMIT)
        self._change_all()
        for job, version in batch:
            self.jobs.mark_durable(job, version)
        return [job.record.id for job, _ in batch]

    def test_new_job_is_written_at_once(self):
        """Guards against callers that wait for the progress of other jobs to be written.

        On dss-vieta-large scale-1 half of the new jobs waited for over 311 ms, and a tenth of them
        for over 1.7 s.
        """
        self._write()
        self._submit("new")
        self.assertIn("new", self._write())
        self.assertFalse(self.jobs.list_unsaved())

    def test_final_state_is_written_before_progress(self):
        """Guards against a completed job that is shown as running while others make progress."""
        job = self.jobs.jobs[f"busy{BUSY_COUNT - 1}"]
        self.jobs.close(job, JobState.COMPLETED, "all tasks are done", self.harness.now_ms)
        self.assertIn(job.record.id, self._write())

    def test_jobs_that_go_on_changing_take_turns(self):
        """Guards against jobs that are never written because the first ones go on changing."""
        written = {name for _ in range(BUSY_COUNT // LIMIT) for name in self._write()}
        self.assertEqual(len(written), BUSY_COUNT)

    def test_flood_of_new_jobs_leaves_a_part_to_progress(self):
        """Guards against runners whose lists of ends grow while new jobs arrive."""
        for number in range(2 * LIMIT):
            self._submit(f"new{number}")
        written = self._write()
        self.assertEqual(sum(name.startswith("busy") for name in written), LIMIT // 4)
        self.assertEqual(len(written), LIMIT)

    def test_withdrawn_job_is_not_written(self):
        """Guards against a job that is written after its caller was told that it never runs."""
        self._submit("new")
        self.jobs.withdraw("new")
        self.assertNotIn("new", self._write())
        self.assertEqual(self.jobs.dirty_count, BUSY_COUNT)

    def test_empty(self):
        """Guards against a change without contents."""
        self.assertEqual(DirtyJobs().select(LIMIT), [])
        self.assertEqual(len(DirtyJobs()), 0)


if __name__ == "__main__":
    unittest.main()
