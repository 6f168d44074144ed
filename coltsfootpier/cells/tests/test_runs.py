"""Starts, ends and recovery of runs: what must never run twice, and what must run again."""

import unittest

from coltsfootpier.cells import AdviceRequest, EndKind, RunId, StartOutcome, StartRun, StopRun
from coltsfootpier.cells.tests.builders import (
    SimulatedCell,
    build_entry,
    build_job,
    build_queue,
    build_step,
)
from coltsfootpier.jobs import JobState, TaskKey


class StepTest(unittest.TestCase):
    """Order of the steps of a job."""

    def test_later_step_waits_for_all_tasks(self):
        """Guards against a step that starts while a task before it still runs."""
        world = SimulatedCell()
        world.join()
        world.submit("j", build_job(build_step(count=2), build_step(after=(0,))))
        world.plan()
        name, run = world.find("j")[0]
        world.runners[name].end(run)
        world.advance(300)
        self.assertEqual({run.key.step for _, run in world.find("j")}, {0})
        world.finish("j")
        world.advance(200)
        self.assertEqual({run.key.step for _, run in world.find("j")}, {1})

    def test_job_is_shown_as_completed_only_once_durable(self):
        """Guards against a caller who is told of an end that a crash would undo."""
        world = SimulatedCell()
        world.join()
        job = world.submit("j").job
        world.plan()
        world.is_durable = False
        world.finish("j")
        self.assertEqual(job.visible_state, JobState.RUNNING)
        world.store()
        self.assertEqual(job.visible_state, JobState.COMPLETED)

    def test_nothing_starts_before_the_job_is_durable(self):
        """Guards against a run of a job that a crash would forget."""
        world = SimulatedCell()
        world.join()
        world.is_durable = False
        world.submit("j")
        self.assertEqual(world.plan(), [])

    def test_occurrences_start_when_due(self):
        """Guards against an occurrence that starts before its time."""
        world = SimulatedCell()
        world.join()
        due_ms = world.unix_ms + 1_000
        spec = build_job(occurrences=2, first_due_unix_ms=due_ms, interval_ms=1_000)
        world.submit("j", spec)
        world.advance(900)
        self.assertEqual(world.find("j"), [])
        world.advance(200)
        self.assertEqual([run.key.occurrence for _, run in world.find("j")], [0])
        world.advance(1_000)
        self.assertEqual({run.key.occurrence for _, run in world.find("j")}, {0, 1})

    def test_gang_starts_whole_or_not_at_all(self):
        """Guards against members that wait alone for room that others hold."""
        world = SimulatedCell()
        world.join()
        world.submit("big", build_job(build_step(count=9, gang=True)))
        self.assertEqual(world.plan(), [])
        world.submit("fits", build_job(build_step(count=8, gang=True)))
        world.plan()
        self.assertEqual(len(world.find("fits")), 8)
        self.assertEqual({run.attempt for _, run in world.find("fits")}, {1})

    def test_gang_in_one_rack(self):
        """Guards against members of a gang that are spread over racks."""
        entries = tuple(
            build_entry(name, rack=rack, labels=("kind", rack))
            for name, rack in (("a", "r1"), ("b", "r2"), ("c", "r2"))
        )
        world = SimulatedCell(entries=entries)
        world.join()
        world.submit("j", build_job(build_step(count=6, gang=True, same_rack=True)))
        world.plan()
        self.assertEqual({name for name, _ in world.find("j")}, {"b", "c"})


class EndTest(unittest.TestCase):
    """What the end of a run means for its task."""

    def test_end_is_observed_only_once_durable(self):
        """Guards against an end that the runner forgets and the store doesn't know."""
        world = SimulatedCell(("a",))
        world.join()
        world.submit("j", build_job(build_step(count=2)))
        world.plan()
        world.is_durable = False
        _, run = world.find("j")[0]
        world.runners["a"].end(run)
        world.report()
        self.assertEqual(world.cell.fleet.last_durable_end("a"), 0)
        world.store()
        self.assertEqual(world.cell.fleet.last_durable_end("a"), 1)

    def test_failed_runs_are_counted(self):
        """Guards against a task that is started after its attempts are used up."""
        world = SimulatedCell(("a", "b", "c", "d", "e"))
        world.join()
        job = world.submit("j", queue=build_queue(max_attempts=2)).job
        for _ in range(3):
            world.plan()
            world.finish("j", EndKind.FAILED)
            world.advance(100)
        starts = [order for order in world.orders if isinstance(order, StartRun)]
        self.assertEqual(len(starts), 2)
        self.assertEqual(job.visible_state, JobState.FAILED)

    def test_failed_task_avoids_its_runner(self):
        """Guards against attempts that are all spent on a runner that fails everything."""
        world = SimulatedCell(("a", "b", "c"))
        world.join()
        world.submit("j")
        world.plan()
        first = world.find("j")[0][0]
        world.finish("j", EndKind.FAILED)
        world.plan()
        self.assertNotEqual(world.find("j")[0][0], first)

    def test_stopped_task_resumes_from_its_checkpoint(self):
        """Guards against saved work that is done again."""
        world = SimulatedCell(("a",))
        world.join()
        world.submit("j", build_job(build_step(checkpointed=True)))
        world.plan()
        _, run = world.find("j")[0]
        world.runners["a"].end(run, EndKind.LAPSED, "saved")
        world.report()
        orders = world.plan()
        self.assertEqual(orders[0].checkpoint, "saved")
        self.assertEqual(orders[0].run.attempt, 2)

    def test_long_running_task_runs_again_however_it_ends(self):
        """Guards against a service task that stays away after its attempts."""
        world = SimulatedCell()
        world.join()
        world.submit("j", build_job(build_step(long_running=True)))
        for _ in range(6):
            world.plan()
            world.finish("j", EndKind.FAILED)
            world.advance(8_000, 500)
        self.assertEqual(len(world.find("j")), 1)

    def test_cancelled_job_is_stopped_and_stays_so(self):
        """Guards against tasks that run on, or start again, after the job was cancelled."""
        world = SimulatedCell()
        world.join()
        world.submit("j", build_job(build_step(count=3)))
        world.plan()
        job = world.cell.cancel("j", world.now_ms)
        world.advance(1_000)
        self.assertEqual(world.find("j"), [])
        self.assertEqual(job.visible_state, JobState.CANCELLED)


class UnknownTest(unittest.TestCase):
    """Orders without an answer, and runners that can't be reached."""

    def test_unanswered_start_is_barred_before_the_task_starts_elsewhere(self):
        """Guards against a late start beside a second run of the task."""
        world = SimulatedCell()
        world.join()
        world.outcomes = {"a": StartOutcome.UNKNOWN, "b": StartOutcome.UNKNOWN}
        world.submit("j")
        first = world.plan()[0]
        world.outcomes = {}
        world.advance(300)
        self.assertEqual(world.find("j"), [])
        world.advance(600)
        self.assertIn(first.run, world.runners[first.runner_id].barred)
        self.assertEqual([run.attempt for _, run in world.find("j")], [2])

    def test_start_that_shows_up_is_kept(self):
        """Guards against stopping a run whose start only lost its answer."""
        world = SimulatedCell(("a",))
        world.join()
        world.outcomes = {"a": StartOutcome.UNKNOWN}
        world.submit("j")
        order = world.plan()[0]
        world.runners["a"].running[order.run] = ""
        world.advance(1_000)
        self.assertEqual([run for _, run in world.find("j")], [order.run])

    def test_task_of_unreachable_runner_waits_for_its_lease(self):
        """Guards against a second run while a runner that is cut off may run on."""
        world = SimulatedCell()
        world.join()
        world.submit("j", build_job(build_step(long_running=True)))
        world.plan()
        name, _ = world.find("j")[0]
        world.runners[name].reachable = False
        lease_expiry_ms = world.cell.fleet.runners[name].lease_expiry_ms
        while world.now_ms < lease_expiry_ms:
            self.assertEqual(len(world.find("j")), 1)
            world.advance(100)
        world.advance(200)
        self.assertEqual(len(world.find("j")), 2)

    def test_restarted_runner_frees_its_tasks_at_once(self):
        """Guards against waiting for the lease of a runner that runs nothing any more."""
        world = SimulatedCell()
        world.join()
        world.submit("j", build_job(build_step(long_running=True)))
        world.plan()
        name, _ = world.find("j")[0]
        runner = world.runners[name]
        runner.running.clear()
        runner.last_end = 0
        runner.entry = build_entry(name, started_unix_ms=2)
        world.advance(200)
        self.assertEqual(len(world.find("j")), 1)

    def test_run_that_nobody_wants_is_stopped(self):
        """Guards against an order that a runner carried out after its job had ended."""
        world = SimulatedCell(("a",))
        world.join()
        stray = RunId("gone", TaskKey(0, 0, 0), 1)
        world.runners["a"].running[stray] = ""
        world.report()
        orders = world.plan()
        self.assertEqual([type(order) for order in orders], [StopRun])
        self.assertEqual(orders[0].run, stray)


class TakeoverTest(unittest.TestCase):
    """A new owner of the cell."""

    def _take_over(self, world, **changes):
        records = [job.record for job in world.cell.jobs.jobs.values()]
        later = SimulatedCell(tuple(world.runners), generation=2, **changes)
        later.runners = world.runners
        later.now_ms = world.now_ms
        entries = [runner.entry for runner in world.runners.values()]
        later.cell.load(records, entries, now_ms=later.now_ms, unix_ms=later.unix_ms)
        return later

    def test_runs_are_adopted(self):
        """Guards against work that is thrown away when the owner changes."""
        world = SimulatedCell()
        world.join()
        world.submit("j", build_job(build_step(count=3)))
        world.plan()
        before = world.find("j")
        later = self._take_over(world)
        later.join()
        later.plan()
        self.assertEqual(sorted(later.find("j"), key=str), sorted(before, key=str))

    def test_nothing_old_starts_before_every_runner_has_answered(self):
        """Guards against a second run of a task that runs behind a cut."""
        world = SimulatedCell()
        world.join()
        world.submit("j")
        world.plan()
        name, _ = world.find("j")[0]
        world.runners[name].reachable = False
        later = self._take_over(world)
        later.join()
        later.advance(later.settings.run_lease_ms - 200)
        self.assertEqual(len(later.find("j")), 1)
        later.advance(600)
        self.assertEqual(len(later.find("j")), 2)

    def test_new_jobs_start_while_old_ones_wait(self):
        """Guards against a runner that is gone holding up everything."""
        world = SimulatedCell(("a", "b", "c"))
        world.join()
        world.submit("old")
        world.plan()
        world.runners[world.find("old")[0][0]].reachable = False
        later = self._take_over(world)
        later.join()
        later.submit("new")
        later.plan()
        self.assertEqual(len(later.find("new")), 1)

    def test_objective_runs_from_the_acceptance(self):
        """Guards against an owner for whom old jobs are as fresh as new ones."""
        world = SimulatedCell()
        world.join()
        world.submit("j")
        world.now_ms += 5_000
        later = self._take_over(world)
        self.assertEqual(later.cell.jobs.jobs["j"].arrived_ms, later.now_ms - 5_000)

    def test_adopted_runs_teach_no_durations(self):
        """Guards against refusals after a takeover, because jobs look a tenth as long."""
        world = SimulatedCell()
        world.join()
        world.submit("j", build_job(build_step(count=4)))
        world.plan()
        world.advance(400)
        later = self._take_over(world)
        later.join()
        later.now_ms += 50
        later.finish("j")
        self.assertEqual(later.cell._estimates.task_ms("batch", build_step()), 500.0)

    def test_failed_end_counts_once_over_owners(self):
        """Guards against a job shown as failed because two owners counted the same end."""
        world = SimulatedCell(("a",))
        world.join()
        job = world.submit("j", queue=build_queue(max_attempts=2)).job
        world.plan()
        _, run = world.find("j")[0]
        world.runners["a"].end(run, EndKind.FAILED)
        world.report()
        world.store()
        later = self._take_over(world)
        later.cell.set_queues({"batch": build_queue(max_attempts=2)})
        later.cell.jobs.jobs["j"].queue = build_queue(max_attempts=2)
        later.join()
        self.assertEqual(job.record.failures, {TaskKey(0, 0, 0): {1}})
        self.assertTrue(later.cell.jobs.jobs["j"].is_open)

    def test_attempts_never_repeat(self):
        """Guards against a number that the earlier owner used without having recorded it."""
        world = SimulatedCell(("a",))
        world.join()
        world.submit("j")
        world.plan()
        _, run = world.find("j")[0]
        world.runners["a"].end(run, EndKind.LAPSED)
        world.runners["a"].ended.clear()
        later = self._take_over(world)
        later.join()
        later.plan()
        self.assertGreater(later.find("j")[0][1].attempt, 10_000)


class AdviceTest(unittest.TestCase):
    """Queues whose policy names the runners of each step."""

    def test_only_approved_runners_are_used(self):
        """Guards against starts that are refused for want of a ticket, again and again."""
        world = SimulatedCell(("a", "b", "c"))
        world.join()
        world.submit("j", build_job(build_step(count=3)), build_queue(needs_advice=True))
        question = world.cell.plan(world.now_ms, world.unix_ms)[0]
        self.assertIsInstance(question, AdviceRequest)
        self.assertEqual(set(question.runner_ids), {"a", "b", "c"})
        self.assertEqual(world.cell.plan(world.now_ms, world.unix_ms), [])
        world.cell.apply_advice(question, {"b": "ticket"}, 3_000.0, world.now_ms)
        orders = world.plan()
        self.assertEqual({order.runner_id for order in orders}, {"b"})
        self.assertEqual({order.ticket for order in orders}, {"ticket"})

    def test_expired_ticket_is_asked_for_again(self):
        """Guards against a step that waits for ever with old tickets."""
        world = SimulatedCell(("a",))
        world.join()
        queue = build_queue(needs_advice=True)
        world.submit("j", build_job(build_step(long_running=True)), queue)
        question = world.cell.plan(world.now_ms, world.unix_ms)[0]
        world.cell.apply_advice(question, {"a": "t1"}, 100.0, world.now_ms)
        world.now_ms += 200
        world.report()
        question = world.cell.plan(world.now_ms, world.unix_ms)[0]
        self.assertIsInstance(question, AdviceRequest)


class HealthTest(unittest.TestCase):
    """Runners that fail or stall what they run."""

    def test_runner_that_fails_all_is_set_aside_and_probed(self):
        """Guards against a healthy-looking runner that fails every job."""
        world = SimulatedCell(("a", "b", "c"))
        world.join()
        for number in range(12):
            world.submit(f"j{number}", build_job(build_step(cpu_milli=2_000)))
        for _ in range(10):
            world.plan()
            for run in list(world.runners["a"].running):
                world.runners["a"].end(run, EndKind.FAILED)
            for name in ("b", "c"):
                for run in list(world.runners[name].running):
                    world.runners[name].end(run)
            world.advance(100)
        self.assertIn("runner set aside", world.names_of_events())
        failed = [run for name, run in world.events if name == "run failed"]
        self.assertLessEqual(len(failed), 4)

    def test_probe_is_given_beside_a_long_running_task(self):
        """Guards against a runner that stays aside for ever because a service task is on it."""
        world = SimulatedCell(("a",), entries=(build_entry("a"), build_entry("b")))
        world.join()
        world.submit("s", build_job(build_step(long_running=True)))
        world.plan()
        runner = world.cell.fleet.runners[world.find("s")[0][0]]
        runner.is_probed = True
        world.runners = {runner.entry.id: world.runners[runner.entry.id]}
        world.list_runners()
        world.submit("j")
        world.plan()
        self.assertEqual(len(world.find("j")), 1)

    def test_stalled_run_starts_elsewhere(self):
        """Guards against a job that waits for a task that stands still."""
        world = SimulatedCell()
        world.join()
        world.submit("j")
        world.plan()
        first = world.find("j")[0][0]
        world.advance(2_200)
        self.assertEqual([name != first for name, _ in world.find("j")], [True])


if __name__ == "__main__":
    unittest.main()
