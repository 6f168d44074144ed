"""Queue of an accepted job after changes of the configuration and of the owner."""

import unittest

import orjson

from coltsfootpier.cells import EndKind
from coltsfootpier.cells.tests.builders import SimulatedCell, build_job, build_queue, build_step
from coltsfootpier.jobs import JobState, decode_record, encode_record

# Versions of the configuration.
FIRST, SECOND, THIRD = 3, 5, 8


class QueueTestCase(unittest.TestCase):
    """A cell with one job, whose owner is replaced."""

    def setUp(self):
        self.harness = SimulatedCell(("a",))
        self.generation = 1

    def _configure(self, version, *queues):
        queues_by_name = {queue.name: queue for queue in queues}
        self.harness.cell.set_queues(queues_by_name, version=version)
        self.harness.store()

    def _submit(self, queue):
        """Submit a job on a queue of the first configuration."""
        self._configure(FIRST, queue)
        self.harness.join()
        self.harness.submit("j", queue=queue)

    def _take_over(self, version, *queues, edit=lambda record: None):
        """Replace the owner by one that reads the records with a configuration in force."""
        earlier = self.harness
        self.generation += 1
        self.harness = SimulatedCell(("a",), generation=self.generation)
        self.harness.runners = earlier.runners
        self.harness.now_ms = earlier.now_ms
        self._configure(version, *queues)
        values = [
            orjson.loads(encode_record(job.record)) for job in earlier.cell.jobs.jobs.values()
        ]
        for value in values:
            edit(value)
        self.harness.cell.load(
            [decode_record(orjson.dumps(value)).unwrap() for value in values],
            [runner.entry for runner in earlier.runners.values()],
            now_ms=self.harness.now_ms,
            unix_ms=self.harness.unix_ms,
        )
        self.harness.join()
        self.harness.store()

    @property
    def _job(self):
        return self.harness.cell.jobs.jobs["j"]

    def _fail_until_closed(self):
        """Return the number of runs that fail until the job is closed."""
        for count in range(10):
            if not self._job.is_open:
                return count
            self.harness.advance(200)
            self.harness.finish("j", EndKind.FAILED)
        return None


class RemovedQueueTest(QueueTestCase):
    """A queue that is removed from the configuration while its job is open."""

    def test_removed_queue_keeps_its_attempts_after_a_change_of_owner(self):
        """Guards against a job that fails early, or runs too often, with made-up attempts."""
        for max_attempts in (1, 4):
            with self.subTest(max_attempts=max_attempts):
                self.setUp()
                self._submit(build_queue(max_attempts=max_attempts))
                self._configure(SECOND)
                self._take_over(SECOND)
                self.assertEqual(self._fail_until_closed(), max_attempts)
                self.assertIs(self._job.record.state, JobState.FAILED)

    def test_all_values_of_a_removed_queue_outlive_its_owner(self):
        """Guards against a job that loses priority, objective or policy with its owner."""
        queue = build_queue(
            priority=2,
            max_attempts=7,
            stretch=1.5,
            objective_ms=2_500.0,
            needs_advice=True,
        )
        self._submit(queue)
        self._take_over(SECOND)
        self.assertEqual(self._job.queue, queue)

    def test_queue_that_is_removed_while_there_is_no_owner(self):
        """Guards against made-up values for a queue that no owner has seen removed."""
        queue = build_queue(max_attempts=4)
        self._submit(queue)
        self._take_over(SECOND)
        self.assertEqual(self._job.queue, queue)

    def test_second_change_of_owner(self):
        """Guards against a successor whose records lack what it has loaded itself."""
        queue = build_queue(max_attempts=4)
        self._submit(queue)
        self._take_over(SECOND)
        self.harness.advance(200)
        self.harness.finish("j", EndKind.FAILED)
        self._take_over(THIRD)
        self.assertEqual(self._job.queue, queue)
        self.assertEqual(self._fail_until_closed(), 3)

    def test_record_of_an_ended_job_has_no_queue_values(self):
        """Guards against records of ended jobs that grow for as long as they are kept."""
        self._submit(build_queue())
        open_record = orjson.loads(encode_record(self._job.record))
        self.harness.cell.cancel("j", self.harness.now_ms)
        closed_record = orjson.loads(encode_record(self._job.record))
        self.assertIn("queue_values", open_record)
        self.assertNotIn("queue_values", closed_record)


class ChangedQueueTest(QueueTestCase):
    """A queue whose values the operators change while its job is open."""

    def setUp(self):
        super().setUp()
        self.earlier = build_queue(max_attempts=4)
        self.later = build_queue(max_attempts=2, service="db", priority=1)

    def test_latest_values_hold_for_accepted_jobs(self):
        """Guards against a successor that goes by other values than the owner before it."""
        self._submit(self.earlier)
        self._configure(SECOND, self.later)
        self.assertEqual(self._job.queue, self.later)
        self._take_over(SECOND, self.later)
        self.assertEqual(self._job.queue, self.later)

    def test_changed_values_of_a_queue_that_is_removed_later(self):
        """Guards against the values of the acceptance coming back with a change of owner."""
        self._submit(self.earlier)
        self._configure(SECOND, self.later)
        self._configure(THIRD)
        self._take_over(THIRD)
        self.assertEqual(self._job.queue, self.later)

    def test_queue_that_is_removed_and_added_with_other_values(self):
        """Guards against owners that differ in what holds after a queue is added again."""
        self._submit(self.earlier)
        self._configure(SECOND)
        self._take_over(SECOND)
        self.assertEqual(self._job.queue, self.earlier)
        self._configure(THIRD, self.later)
        self.assertEqual(self._job.queue, self.later)
        self._take_over(THIRD, self.later)
        self.assertEqual(self._job.queue, self.later)

    def test_owner_with_an_older_configuration(self):
        """Guards against a job that is failed by a configuration that is no longer in force."""
        outdated = build_queue(max_attempts=2)
        self._submit(outdated)
        self._configure(SECOND, self.earlier)
        self._take_over(FIRST, outdated)
        self.assertEqual(self._job.queue, self.earlier)
        self.assertEqual(self._fail_until_closed(), 4)

    def test_changes_without_effect_are_not_written(self):
        """Guards against a write of each open job with each version of the configuration."""
        self._submit(self.earlier)
        jobs = self.harness.cell.jobs
        jobs.set_queues({self.earlier.name: self.earlier}, version=SECOND)
        self.assertEqual(jobs.dirty_count, 0)
        jobs.set_queues({}, version=THIRD)
        self.assertEqual(jobs.dirty_count, 0)

    def test_tasks_start_on_the_service_of_the_latest_values(self):
        """Guards against a start on a service that the queue has left."""
        self._submit(self.earlier)
        self._configure(SECOND, self.later)
        self.harness.advance(500)
        self.assertEqual(self.harness.find("j"), [])


class EarlierReleaseTest(QueueTestCase):
    """Records that a release without the values of queues has written."""

    def test_values_of_the_configuration_are_added(self):
        """Guards against jobs of an earlier release that lose their queue one owner later."""
        queue = build_queue(max_attempts=4)
        self._submit(queue)
        self._take_over(SECOND, queue, edit=lambda record: record.pop("queue_values"))
        self._configure(THIRD)
        self._take_over(THIRD)
        self.assertEqual(self._job.queue, queue)

    def test_queue_that_is_unknown_until_the_configuration_names_it(self):
        """Guards against made-up values that are kept once the real ones are known."""
        queue = build_queue(max_attempts=1)
        self._submit(queue)
        self._take_over(SECOND, edit=lambda record: record.pop("queue_values"))
        self._configure(THIRD, queue)
        self.assertEqual(self._job.queue, queue)
        self._take_over(THIRD)
        self.assertEqual(self._job.queue, queue)

    def test_fields_that_an_earlier_release_reads(self):
        """Guards against a rolling restart in which the earlier release can't read a record."""
        self._submit(build_queue(name="night", service="web"))
        record = orjson.loads(encode_record(self._job.record))
        self.assertEqual((record["queue"], record["service"]), ("night", "web"))
        self.assertIsInstance(record["accepted"], float)
        self.assertEqual(record["state"], "queued")
        self.assertEqual(len(record["spec"]["steps"]), 1)


class SeveralJobsTest(QueueTestCase):
    """Jobs of one queue, of which some have ended."""

    def test_change_is_written_for_open_jobs_only(self):
        """Guards against a change of a queue that rewrites the records of ended jobs."""
        self._submit(build_queue())
        self.harness.submit("k", build_job(build_step(count=2)))
        self.harness.cell.cancel("k", self.harness.now_ms)
        self.harness.store()
        jobs = self.harness.cell.jobs
        jobs.set_queues({"batch": build_queue(max_attempts=9)}, version=SECOND)
        self.assertEqual([job.record.id for job, _ in jobs.list_dirty(10)], ["j"])


if __name__ == "__main__":
    unittest.main()
