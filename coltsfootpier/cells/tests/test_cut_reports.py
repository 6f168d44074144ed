"""Reports that list a part of the ended runs, since a runner lists a limited number at a time."""

import unittest

from coltsfootpier.cells import EndKind, StartOutcome
from coltsfootpier.cells.tests.builders import SimulatedCell, build_entry, build_job, build_step
from coltsfootpier.jobs import JobState

# Ended runs that a runner of these tests lists at a time.
END_LIMIT = 5
TASKS = 24


class CutReportTestCase(unittest.TestCase):
    """Runners with 24 ended runs of one job, which they list five at a time."""

    def setUp(self):
        self.harness = self._build_cell(generation=1)
        self.harness.join()
        self.harness.submit("j", build_job(build_step(count=TASKS)))
        self.starts = {}

    def _build_cell(self, generation):
        entries = (build_entry("a", cpu_milli=20_000), build_entry("b", cpu_milli=20_000))
        harness = SimulatedCell(entries=entries, generation=generation, max_start_retries=0)
        for runner in harness.runners.values():
            runner.end_limit = END_LIMIT
        return harness

    def _advance(self, duration_ms):
        """Advance the clock and count the starts of each task of the job."""
        first = len(self.harness.commands)
        self.harness.advance(duration_ms)
        for command in self.harness.commands[first:]:
            if hasattr(command, "payload") and command.run.job_id == "j":
                self.starts[command.run.key] = self.starts.get(command.run.key, 0) + 1

    def _end_all(self):
        """End all runs while no record can be written."""
        self.harness.is_durable = False
        for name, run in self.harness.list_running():
            self.harness.runners[name].end(run, EndKind.DONE)

    def _start_and_end_all(self):
        self._advance(300)
        self.assertEqual(len(self.harness.list_running()), TASKS)
        self._end_all()

    def _take_over(self):
        earlier = self.harness
        self.harness = self._build_cell(generation=2)
        self.harness.runners = earlier.runners
        self.harness.now_ms = earlier.now_ms
        self.harness.cell.load(
            [job.record for job in earlier.cell.jobs.jobs.values()],
            [runner.entry for runner in earlier.runners.values()],
            now_ms=self.harness.now_ms,
            unix_ms=self.harness.unix_ms,
        )

    def _list_repeated(self):
        return [key for key, count in self.starts.items() if count > 1]

    @property
    def _job(self):
        return self.harness.cell.jobs.jobs["j"]


class OutageTest(CutReportTestCase):
    """Ends that can't be acknowledged, because the store is down."""

    def test_unlisted_ends_are_not_lost_runs(self):
        """Guards against done tasks that start again because a report is too short for them."""
        self._start_and_end_all()
        self._advance(5_000)
        self.assertEqual(self._list_repeated(), [])
        self.assertEqual(self.harness.list_running(), [])

    def test_backlog_is_acknowledged_page_by_page(self):
        """Guards against ends that are skipped, or counted twice, once the store is back."""
        self._start_and_end_all()
        self._advance(1_000)
        self.assertEqual(self.harness.cell.counters["ended_done"], 2 * END_LIMIT)
        self.harness.is_durable = True
        self._advance(1_000)
        self.assertEqual(self.harness.cell.counters["ended_done"], TASKS)
        self.assertIs(self._job.record.state, JobState.COMPLETED)
        self.assertEqual(set(self.starts.values()), {1})
        self.assertTrue(all(not runner.ended for runner in self.harness.runners.values()))
        self.assertTrue(all(not runner.runs for runner in self.harness.cell.fleet.runners.values()))

    def test_runs_behind_the_list_keep_their_capacity(self):
        """Guards against starts beyond the capacity of a runner whose ends aren't all known."""
        self._start_and_end_all()
        self._advance(500)
        runners = self.harness.cell.fleet.runners.values()
        self.assertEqual(sum(len(runner.runs) for runner in runners), TASKS - 2 * END_LIMIT)
        self.assertEqual(
            sum(runner.guaranteed_cpu for runner in runners), 1_000 * (TASKS - 2 * END_LIMIT)
        )

    def test_cut_list_is_logged_once(self):
        """Guards against tasks that stand still without a line that says why."""
        self._start_and_end_all()
        self._advance(1_000)
        self.harness.is_durable = True
        self._advance(1_000)
        names = self.harness.list_event_names()
        self.assertEqual(names.count("list of ended runs cut"), 2)
        self.assertEqual(names.count("runner lists all ended runs"), 2)

    def test_expired_leases_free_the_tasks(self):
        """Guards against tasks that wait for good for ends on a runner that is gone."""
        self._start_and_end_all()
        self._advance(500)
        for runner in self.harness.runners.values():
            runner.reachable = False
        self.harness.is_durable = True
        self._advance(self.harness.settings.run_lease_ms + 1_000)
        freed = TASKS - 2 * END_LIMIT
        self.assertEqual(sum(len(step.waiting) for step in self._job.iter_steps()), freed)

    def test_rejection_of_a_late_start_is_not_shown_by_a_cut_list(self):
        """Guards against a second run after a late start that ran and ended unseen.

        The runner confirms the stop in either case: it has ended the run, or will reject it.
        """
        self._start_and_end_all()
        self.harness.outcomes = dict.fromkeys(("a", "b"), StartOutcome.UNKNOWN)
        self.harness.cell.submit(
            "k",
            self._job.queue,
            build_job(),
            now_ms=self.harness.now_ms,
            unix_ms=self.harness.unix_ms,
        )
        self.harness.store()
        self.harness.advance(300)
        ((_, late),) = [
            (command.runner_id, command.run)
            for command in self.harness.commands
            if hasattr(command, "payload") and command.run.job_id == "k"
        ]
        starts = self.harness.cell.fleet.unanswered_starts
        self.harness.advance(2_000)
        self.assertIn(late, {start.run for start in starts.export(0.0, pending_ms=0.0, limit=9)})
        self.assertEqual(
            [
                command.run
                for command in self.harness.commands
                if hasattr(command, "payload") and command.run.job_id == "k"
            ],
            [late],
        )


class SuccessorTest(CutReportTestCase):
    """A new owner whose runners have more ended runs than they list at a time."""

    def setUp(self):
        super().setUp()
        self._start_and_end_all()
        self._take_over()

    def test_inherited_tasks_wait_for_the_last_page(self):
        """Guards against done tasks that the next owner starts again before it knows their ends."""
        self.harness.is_durable = False
        self.harness.join()
        self._advance(1_000)
        self.assertEqual(self._list_repeated(), [])
        self.harness.is_durable = True
        self._advance(4_000)
        self.assertEqual(self._list_repeated(), [])
        self.assertIs(self._job.record.state, JobState.COMPLETED)
        self.assertEqual(self.harness.cell.counters["ended_done"], TASKS)

    def test_ends_are_acknowledged_while_tasks_wait(self):
        """Guards against a list that stays cut because the runner doesn't count as settled."""
        self.harness.join()
        self._advance(200)
        self.assertTrue(self.harness.cell.fleet.is_half_settled)
        self.assertTrue(self.harness.cell.fleet.may_have_unknown_runs)

    def test_new_jobs_start_while_ends_are_read(self):
        """Guards against one long list of ends that blocks new jobs."""
        self.harness.join()
        self.harness.submit("k")
        self.harness.plan()
        self.assertEqual(len(self.harness.find("k")), 1)

    def test_runner_that_ends_before_its_last_page_frees_the_tasks(self):
        """Guards against inherited jobs that wait for good for the ends on a crashed runner."""
        self.harness.is_durable = False
        self.harness.join()
        fleet = self.harness.cell.fleet
        self.assertTrue(fleet.may_have_unknown_runs)
        for name, runner in self.harness.runners.items():
            runner.entry = build_entry(name, cpu_milli=20_000, started_unix_ms=2)
            runner.ended = []
        self._advance(200)
        self.assertFalse(fleet.may_have_unknown_runs)
        self.assertTrue(self.harness.list_running())


if __name__ == "__main__":
    unittest.main()
