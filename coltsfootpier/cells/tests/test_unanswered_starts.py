"""Tasks whose start has no response, which their runner may still carry out."""

import unittest

from coltsfootpier.cells import EndKind, RunId, RunnerReport, StartOutcome, StartRun
from coltsfootpier.cells._lease_expiry import compute_longest_lease_ms
from coltsfootpier.cells.tests.builders import SimulatedCell, build_entry, build_job, build_step
from coltsfootpier.jobs import TaskKey


class UnansweredStartTestCase(unittest.TestCase):
    """Two runners, one of which crashes and starts again under its identifier."""

    # Number of times that a start is sent once more.
    retries = 0

    def setUp(self):
        self.harness = SimulatedCell(("a", "b"), max_start_retries=self.retries)
        self.harness.join()
        self.late_call_ms = self.harness.settings.late_call_ms

    @property
    def _starts(self):
        return self.harness.cell.fleet.unanswered_starts

    def _submit(self, *steps, runner="a"):
        """Submit a job whose first starts reach one runner only and get no response."""
        harness = self.harness
        for name in harness.runners:
            harness.cell.fleet.runners[name].full = name != runner
        harness.outcomes[runner] = StartOutcome.UNKNOWN
        harness.submit("j", build_job(*steps))
        harness.plan()
        self.assertEqual(harness.find("j"), [])
        harness.outcomes.clear()
        for name in harness.runners:
            harness.cell.fleet.runners[name].full = False

    def _crash(self, name="a"):
        harness = self.harness
        harness.runners[name].reachable = False
        harness.runners[name].running.clear()
        harness.advance(800)
        self._list_others(name)
        self.assertEqual(harness.cell.fleet.runners[name].runs, {})

    def _list_others(self, name="a"):
        """Apply two listings that don't name a runner."""
        harness = self.harness
        for _ in range(2):
            harness.cell.incarnations.apply_listing(
                harness.runners.keys() - {name}, requested_ms=harness.now_ms
            )
            harness.advance(100)

    def _restart(self, name="a"):
        runner = self.harness.runners[name]
        runner.entry = build_entry(name, started_unix_ms=runner.entry.started_unix_ms + 1)
        runner.rejected.clear()
        runner.reachable = True
        self.harness.list_runners()

    def _get_last_event(self, name):
        return [fields for event, fields in self.harness.events if event == name][-1]


class UnansweredStartTest(UnansweredStartTestCase):
    """Where and when a task starts again whose start isn't sent once more."""

    def test_unlisted_runner_may_restart_and_carry_out_the_start(self):
        """Guards against a task that starts elsewhere before its late start is ruled out."""
        self._submit()
        self._crash()
        self.harness.advance(self.late_call_ms - 800)
        self.assertEqual(self.harness.find("j"), [])
        self._list_others()
        self.assertEqual([name for name, _ in self.harness.find("j")], ["b"])
        self.assertEqual(self._get_last_event("held task released")["reason"], "expired")
        self.assertEqual(len(self._starts), 0)

    def test_unreachable_runner_carries_out_the_start_at_the_last_moment(self):
        """Guards against a second run beside one with the longest lease on the next incarnation."""
        self._submit()
        self.harness.runners["a"].reachable = False
        settings = self.harness.settings
        longest_ms = compute_longest_lease_ms(settings)
        self.harness.advance(self.late_call_ms + longest_ms - 100)
        self.assertEqual(self.harness.find("j"), [])
        self.harness.advance(300)
        self.assertEqual([name for name, _ in self.harness.find("j")], ["b"])

    def test_later_deadline_extends_the_run_of_the_start(self):
        """Guards against a wait that counts from the start, which a later call may outlast."""
        self._submit()
        self.harness.runners["a"].reachable = False
        self.harness.advance(2_000)
        self.harness.cell.fleet.record_deadline("a", 0.0, self.harness.now_ms)
        settings = self.harness.settings
        longest_ms = compute_longest_lease_ms(settings)
        self.harness.advance(self.late_call_ms + longest_ms - 100)
        self.assertEqual(self.harness.find("j"), [])
        self.assertEqual(len(self._starts), 1)
        self.harness.advance(300)
        ((name, run),) = self.harness.find("j")
        self.assertEqual((name, run.attempt), ("b", 2))

    def test_later_start_at_the_runner_extends_the_run_of_the_start(self):
        """Guards against a wait that a late start of another task outlasts."""
        self._submit()
        self.harness.runners["a"].reachable = False
        self.harness.advance(2_000)
        runner = self.harness.cell.fleet.runners["a"]
        self._starts.record(RunId("k", TaskKey(0, 0, 0), 1), runner, self.harness.now_ms)
        settings = self.harness.settings
        longest_ms = compute_longest_lease_ms(settings)
        self.harness.advance(self.late_call_ms + longest_ms - 100)
        self.assertEqual(len(self._starts), 2)
        self.harness.advance(300)
        self.assertEqual(len(self._starts), 0)

    def test_report_that_was_requested_before_the_last_moment_of_the_start(self):
        """Guards against a response that a start overtakes, which shows nothing of its run."""
        self._submit()
        self.harness.runners["a"].reachable = False
        self.harness.cell.fleet.runners["a"].cordoned = True
        (start,) = self._starts._by_runner["a"].values()
        self.harness.advance(self.late_call_ms - 100)
        expired_ms = start.open_ms + self.late_call_ms
        report = RunnerReport(
            clock_ms=1e6,
            started_unix_ms=1,
            running=(),
            ended=(),
            sent_ms=expired_ms - 1,
            received_ms=expired_ms + 100,
        )
        self.harness.now_ms = expired_ms + 100
        self.harness.cell.apply_report("a", report, self.harness.now_ms)
        self._starts.remove_expired(self.harness.now_ms)
        self.assertEqual(len(self._starts), 1)

    def test_listing_from_before_the_last_moment_of_the_start(self):
        """Guards against a start between two listings, of which one missed the runner."""
        self._submit()
        self._crash()
        (start,) = self._starts._by_runner["a"].values()
        expired_ms = start.open_ms + self.late_call_ms
        for requested_ms, count in (
            (expired_ms - 50, 1),
            (expired_ms + 50, 1),
            (expired_ms + 150, 0),
        ):
            self.harness.now_ms = requested_ms
            self.harness.renew()
            self.harness.cell.incarnations.apply_listing(("b",), requested_ms=requested_ms)
            self._starts.remove_expired(requested_ms)
            self.assertEqual(len(self._starts), count)

    def test_restarted_runner_may_carry_out_the_start_of_a_freed_run(self):
        """Guards against a next owner that doesn't count late calls to such a runner."""
        self._submit()
        self._crash()
        self._restart()
        self.harness.report("a")
        leases = self.harness.cell.fleet.list_long_leases(self.harness.now_ms)
        self.assertGreater(leases["a"], self.late_call_ms)

    def test_expired_lease_does_not_rule_out_the_start(self):
        """Guards against a late start on a runner that restarts after its leases have expired."""
        self._submit()
        self.harness.runners["a"].reachable = False
        self.harness.advance(7_000)
        self.assertEqual(self.harness.cell.fleet.runners["a"].runs, {})
        self.assertEqual(self.harness.find("j"), [])

    def test_runner_that_rejects_the_start_gets_the_task_again(self):
        """Guards against a task that waits 12 s although its runner rejects the late start."""
        self._submit()
        self.harness.advance(900)
        ((name, run),) = self.harness.find("j")
        self.assertEqual((name, run.attempt), ("a", 2))

    def test_runner_that_rejects_the_start_has_no_capacity(self):
        """Guards against a second run of a task that moved before its runner restarted.

        The next incarnation doesn't know that it has to reject the start (review/4).
        """
        self._submit()
        self.harness.cell.fleet.runners["a"].cordoned = True
        self.harness.advance(self.late_call_ms - 1_000)
        self.assertEqual(self.harness.find("j"), [])
        self.harness.cell.fleet.runners["a"].cordoned = False
        self.harness.advance(100)
        self.assertEqual([name for name, _ in self.harness.find("j")], ["a"])

    def test_runner_that_rejects_the_start_ends(self):
        """Guards against a task that moves as its runner, which may restart, stops responding."""
        self._submit()
        self.harness.cell.fleet.runners["a"].cordoned = True
        self.harness.advance(900)
        self._crash()
        self.harness.advance(self.late_call_ms - 2_500)
        self.assertEqual(self.harness.find("j"), [])

    def test_task_fails_on_the_runner_that_rejects_its_start(self):
        """Guards against a faulty runner that gets a task until its attempts are used up.

        The task doesn't start elsewhere either while the late start may be carried out by the next
        incarnation of the runner.
        """
        self._submit()
        self.harness.advance(900)
        self.harness.finish("j", EndKind.FAILED)
        self.harness.advance(self.late_call_ms - 1_200)
        self.assertEqual(self.harness.find("j"), [])
        self.harness.advance(400)
        self.assertEqual([name for name, _ in self.harness.find("j")], ["b"])

    def test_restarted_runner_rejects_the_start_before_it_gets_the_task(self):
        """Guards against a start beside a late one on an incarnation that wasn't told to reject."""
        self._submit()
        self._crash()
        self._restart()
        self.harness.report()
        self.harness.plan()
        self.assertEqual(self.harness.find("j"), [])
        self.harness.advance(700)
        ((name, run),) = self.harness.find("j")
        self.assertEqual((name, run.attempt), ("a", 2))
        self.assertEqual(len(self.harness.runners["a"].rejected), 1)

    def test_stop_confirmed_by_an_earlier_incarnation(self):
        """Guards against a response that overtakes the report of a restart."""
        self._submit()
        run_id = next(iter(self.harness.cell.fleet.runners["a"].runs))
        sent_ms = self.harness.now_ms
        self.harness.now_ms += 10
        self._restart()
        self.harness.report()
        self.harness.cell.handle_stop_response("a", run_id, self.harness.now_ms, sent_ms=sent_ms)
        self.harness.now_ms += 10
        self.harness.report()
        self.assertIn(run_id, self.harness.cell.fleet.runners["a"].runs)

    def test_start_that_was_carried_out_holds_no_task(self):
        """Guards against a wait for a start that a report has listed."""
        self._submit()
        run_id = next(iter(self.harness.cell.fleet.runners["a"].runs))
        self.harness.runners["a"].running[run_id] = ""
        self.harness.report()
        self._crash()
        self.assertEqual([name for name, _ in self.harness.find("j")], ["b"])

    def test_replaced_runner_holds_no_task(self):
        """Guards against a wait for a runner whose address rejects calls to it."""
        self._submit()
        self._crash()
        self.harness.cell.handle_replaced_runner("a", "127.0.0.1:2", self.harness.now_ms)
        self.harness.advance(100)
        self.assertEqual(self.harness.find("j"), [])
        self.harness.cell.handle_replaced_runner("a", "127.0.0.1:1", self.harness.now_ms)
        self.harness.advance(100)
        self.assertEqual([name for name, _ in self.harness.find("j")], ["b"])

    def _list_vms(self, vms, times=1):
        for _ in range(times):
            self.harness.cell.incarnations.apply_listing(
                {runner for runner in vms.values() if runner},
                requested_ms=self.harness.now_ms,
                runner_by_vm=vms,
            )
            self.harness.advance(100)

    def test_vm_that_is_gone_or_has_another_runner_holds_no_task(self):
        """Guards against a wait of 12 s for a runner that can't restart under its identifier."""
        for vms, times in (({"vm-b": "b"}, 2), ({"vm-a": "c", "vm-b": "b"}, 1)):
            with self.subTest(vms=vms):
                self.setUp()
                self._list_vms({"vm-a": "a", "vm-b": "b"})
                self._submit()
                self._crash()
                suspects = self.harness.cell.incarnations.has_suspects(self.harness.now_ms)
                self.assertTrue(suspects)
                self._list_vms(vms, times)
                self.assertEqual([name for name, _ in self.harness.find("j")], ["b"])

    def test_vm_that_is_down_or_unknown_holds_the_task(self):
        """Guards against a task that starts elsewhere while its runner may restart."""
        for known, vms in (
            ({"vm-a": "a", "vm-b": "b"}, {"vm-a": "", "vm-b": "b"}),
            ({"vm-b": "b"}, {"vm-b": "b"}),
        ):
            with self.subTest(known=known):
                self.setUp()
                self._list_vms(known)
                self._submit()
                self._crash()
                self._list_vms(vms, 5)
                self.assertEqual(self.harness.find("j"), [])

    def test_one_listing_without_a_vm_retires_no_runner(self):
        """Guards against a late start on a runner whose VM one page of a listing missed."""
        self._list_vms({"vm-a": "a", "vm-b": "b"})
        self._submit()
        self._crash()
        for vms in ({"vm-b": "b"}, {"vm-a": "", "vm-b": "b"}, {"vm-b": "b"}):
            self._list_vms(vms)
        self.assertEqual(self.harness.find("j"), [])

    def test_held_task_blocks_no_other_task(self):
        """Guards against a step whose tasks all wait for the held one."""
        self._submit(build_step(count=3, cpu_milli=3_000))
        self._crash()
        self.harness.advance(500)
        ((name, run),) = self.harness.find("j")
        self.assertEqual((name, run.key.index), ("b", 1))
        self.assertEqual(list(self.harness.cell.jobs.ready["j", 0, 0].waiting), [0, 2])
        gauges = self.harness.cell.summarise()
        self.assertEqual((gauges["waiting_held"], gauges["held"]), (1, 1))

    def test_held_member_holds_its_gang(self):
        """Guards against a gang that starts beside a late member."""
        self._submit(build_step(count=2, cpu_milli=2_000, gang=True))
        self._crash()
        self.harness.advance(500)
        self.assertEqual(self.harness.find("j"), [])
        self._restart()
        self.harness.advance(700)
        found = self.harness.find("j")
        self.assertEqual([name for name, _ in found], ["a", "a"])
        self.assertEqual({run.attempt for _, run in found}, {2})

    def test_speculative_task_may_run_twice(self):
        """Guards against a wait that no rule requires."""
        self._submit(build_step(speculative=True))
        self._crash()
        self.assertEqual([name for name, _ in self.harness.find("j")], ["b"])

    def test_runner_that_left_the_registry_is_still_known(self):
        """Guards against a task that moves because its runner's entry has expired."""
        self._submit()
        self._crash()
        entries = [self.harness.runners["b"].entry]
        self.harness.cell.set_runners(entries, self.harness.now_ms)
        self.harness.advance(1_000)
        self.assertEqual(self.harness.find("j"), [])
        self.harness.advance(self.late_call_ms)
        self._list_others()
        self.harness.cell.set_runners(entries, self.harness.now_ms)
        self.assertNotIn("a", self.harness.cell.fleet.runners)

    def test_end_is_not_acknowledged_while_the_start_may_be_carried_out(self):
        """Guards against a late start after an acknowledged end, once the runner has restarted."""
        self._submit()
        self.harness.advance(900)
        self.harness.finish("j")
        self.harness.advance(100)
        fleet = self.harness.cell.fleet
        self.assertEqual(fleet.get_last_durable_end("a"), 0)
        self.harness.advance(self.late_call_ms)
        self.assertEqual(fleet.get_last_durable_end("a"), 1)

    def test_successor_knows_the_start(self):
        """Guards against a successor that starts the task elsewhere."""
        self._submit()
        self.harness.advance(200)
        starts = self._starts.export(self.harness.now_ms, pending_ms=0.0, limit=10)
        records = [job.record for job in self.harness.cell.jobs.jobs.values()]
        entries = [runner.entry for runner in self.harness.runners.values()]
        for is_listed in (False, True):
            with self.subTest(is_listed=is_listed):
                self.harness = SimulatedCell(("a", "b"), generation=2)
                self.harness.cell.load(
                    records,
                    entries,
                    now_ms=self.harness.now_ms,
                    unix_ms=self.harness.unix_ms,
                    unanswered=starts,
                )
                self.harness.runners["a"].reachable = is_listed
                self.harness.join()
                self.harness.advance(300)
                if not is_listed:
                    self._crash()
                    self.harness.advance(300)
                    self.assertEqual(self.harness.find("j"), [])
                    self.harness.advance(self.late_call_ms)
                    self.assertEqual(self.harness.find("j"), [])
                    self._list_others()
                ((name, run),) = self.harness.find("j")
                self.assertEqual((name, run.attempt), ("a" if is_listed else "b", 10_001))

    def test_recorded_time_counts_from_the_start(self):
        """Guards against a wait that begins anew with each owner."""
        self._submit()
        self.harness.now_ms += 5_000
        (start,) = self._starts.export(self.harness.now_ms, pending_ms=0.0, limit=10)
        self.assertEqual(start.left_ms, self.late_call_ms - 5_000)
        successor = SimulatedCell(("a", "b"), generation=2)
        successor.cell.fleet.unanswered_starts.inherit([start], successor.now_ms)
        successor.join()
        successor.advance(start.left_ms)
        self.assertEqual(len(successor.cell.fleet.unanswered_starts), 1)
        successor.advance(100)
        self.assertEqual(len(successor.cell.fleet.unanswered_starts), 0)

    def test_successor_waits_for_the_run_of_an_expired_start(self):
        """Guards against a start that the next owner forgets although its run may go on."""
        self._submit()
        self.harness.runners["a"].reachable = False
        self.harness.advance(self.late_call_ms + 1_000)
        (start,) = self._starts.export(self.harness.now_ms, pending_ms=0.0, limit=10)
        successor = SimulatedCell(("a", "b"), generation=2)
        successor.cell.fleet.unanswered_starts.inherit([start], successor.now_ms)
        successor.runners["a"].reachable = False
        successor.join()
        settings = successor.settings
        run_ms = settings.late_call_ms + compute_longest_lease_ms(settings)
        successor.advance(run_ms)
        self.assertEqual(len(successor.cell.fleet.unanswered_starts), 1)
        successor.advance(settings.proof_validity_ms + 100)
        self.assertEqual(len(successor.cell.fleet.unanswered_starts), 0)

    def test_cancelled_job_leaves_no_held_task(self):
        """Guards against a table that grows with cancelled jobs."""
        self._submit()
        self._crash()
        self.assertEqual(self._starts.held_tasks, 1)
        self.harness.cell.cancel("j", self.harness.now_ms)
        self.harness.advance(self.late_call_ms)
        self._list_others()
        self.assertEqual((len(self._starts), self._starts.held_tasks), (0, 0))

    def test_answered_starts_leave_no_entries(self):
        """Guards against a table that grows with each start."""
        self.harness.submit("j", build_job(build_step(count=4)))
        self.harness.plan()
        self.assertEqual(len(self.harness.find("j")), 4)
        self.assertEqual(len(self._starts), 0)


class RetryTest(UnansweredStartTestCase):
    """Starts that are sent once more to the incarnation that may carry out the first call."""

    retries = 3

    def _fail_retries(self, outcome):
        """Let all further starts fail with an outcome, and wait until each was sent."""
        self.harness.outcomes = dict.fromkeys(("a", "b"), outcome)
        self.harness.advance(2_500)

    def test_task_starts_again_under_the_same_attempt(self):
        """Guards against two late starts of a task that the next incarnation carries out both."""
        self._submit()
        self.harness.cell.fleet.runners["a"].cordoned = True
        self.harness.advance(600)
        ((name, run),) = self.harness.find("j")
        self.assertEqual((name, run.attempt), ("a", 1))
        self.assertEqual(self.harness.runners["a"].rejected, set())

    def test_run_keeps_its_capacity_until_it_has_started(self):
        """Guards against a task that waits 12 s for a runner which others have filled meanwhile."""
        self._submit(build_step(cpu_milli=4_000))
        self.harness.submit("k", build_job(build_step(count=2, cpu_milli=4_000)))
        self.harness.advance(700)
        self.assertEqual([name for name, _ in self.harness.find("j")], ["a"])
        self.assertEqual([name for name, _ in self.harness.find("k")], ["b"])

    def test_rejected_retry_frees_no_task(self):
        """Guards against a start elsewhere because of a response that says nothing of the first."""
        for outcome in (StartOutcome.ROOM, StartOutcome.REFUSED, StartOutcome.LATE):
            with self.subTest(outcome=outcome):
                self.setUp()
                self._submit()
                self.harness.outcomes["a"] = outcome
                self.harness.advance(1_000)
                self.assertEqual(self.harness.find("j"), [])
                self.harness.outcomes.clear()
                self.harness.advance(600)
                self.assertEqual([name for name, _ in self.harness.find("j")], ["a"])

    def test_run_is_stopped_after_the_last_retry(self):
        """Guards against a run that occupies capacity for as long as its runner rejects it."""
        self._submit()
        self._fail_retries(StartOutcome.REFUSED)
        (late,) = self.harness.runners["a"].rejected
        self.assertEqual(late.attempt, 1)
        starts = [name for name, fields in self.harness.events if name == "start command repeated"]
        self.assertEqual(len(starts), self.retries)

    def test_no_retry_to_a_silent_runner(self):
        """Guards against calls that pile up at a runner which doesn't respond."""
        self._submit()
        self.harness.runners["a"].reachable = False
        self.harness.advance(3_000)
        self.assertLessEqual(self.harness.list_event_names().count("start command repeated"), 1)
        self.harness.runners["a"].reachable = True
        self.harness.advance(700)
        self.assertEqual([run.attempt for _, run in self.harness.find("j")], [1])

    def test_no_retry_to_another_incarnation(self):
        """Guards against a start on a runner that came back with other labels or less capacity."""
        self._submit()
        self._restart()
        self.harness.advance(300)
        self.assertEqual(self.harness.list_event_names().count("start command repeated"), 0)
        self.harness.advance(900)
        ((_, run),) = self.harness.find("j")
        self.assertEqual(run.attempt, 2)

    def test_no_retry_while_a_later_owner_may_exist(self):
        """Guards against a paused owner that sends a start with a proof that has run out."""
        self._submit()
        self.harness.is_store_up = False
        for name in ("a", "b"):
            self.harness.cell.fleet.runners[name].recorded = False
        self.harness.now_ms += self.harness.settings.proof_validity_ms + 1
        for command in self.harness.cell.plan(self.harness.now_ms, self.harness.unix_ms):
            self.assertNotIsInstance(command, StartRun)

    def test_started_run_is_held_once_its_runner_has_crashed(self):
        """Guards against a second run when the first call arrives after a restart.

        The retry was carried out, so the first call may still be.
        """
        self._submit()
        self.harness.advance(700)
        self.assertEqual(len(self.harness.find("j")), 1)
        self._crash()
        self.harness.advance(5_000)
        self.assertEqual(self.harness.find("j"), [])
        self.harness.advance(self.late_call_ms)
        self.assertEqual(self.harness.find("j"), [])
        self._list_others()
        self.assertEqual([name for name, _ in self.harness.find("j")], ["b"])

    def test_end_of_a_repeated_start_is_acknowledged_later(self):
        """Guards against a start after an acknowledged end, by a call before the last one."""
        self._submit()
        self.harness.advance(700)
        self.harness.finish("j")
        self.harness.advance(100)
        fleet = self.harness.cell.fleet
        self.assertEqual(fleet.get_last_durable_end("a"), 0)
        self.harness.advance(self.late_call_ms)
        self.assertEqual(fleet.get_last_durable_end("a"), 1)

    def test_failed_run_of_a_repeated_start_moves_once_no_call_is_left(self):
        """Guards against a second run, and against a faulty runner that gets the task again."""
        self._submit()
        self.harness.advance(700)
        self.harness.finish("j", EndKind.FAILED)
        self.harness.advance(self.late_call_ms - 2_000)
        self.assertEqual(self.harness.find("j"), [])
        self.harness.advance(2_000)
        self.assertEqual([name for name, _ in self.harness.find("j")], ["b"])

    def test_successor_knows_that_the_start_was_repeated(self):
        """Guards against a successor that takes the listed run for the only call."""
        self._submit()
        self.harness.advance(700)
        (start,) = self._starts.export(self.harness.now_ms, pending_ms=0.0, limit=10)
        self.assertTrue(start.is_repeated)
        successor = SimulatedCell(("a", "b"), generation=2)
        successor.runners = self.harness.runners
        successor.now_ms = self.harness.now_ms
        successor.cell.load(
            [job.record for job in self.harness.cell.jobs.jobs.values()],
            [runner.entry for runner in self.harness.runners.values()],
            now_ms=successor.now_ms,
            unix_ms=successor.unix_ms,
            unanswered=[start],
        )
        self.harness = successor
        successor.join()
        self.assertEqual(len(successor.find("j")), 1)
        self._crash()
        successor.advance(3_000)
        self.assertEqual(successor.find("j"), [])

    def test_cancelled_job_ends_its_run(self):
        """Guards against a run that a retry starts after its job was cancelled."""
        self._submit()
        self.harness.cell.cancel("j", self.harness.now_ms)
        self.harness.advance(2_000)
        self.assertEqual(self.harness.find("j"), [])
        self.assertEqual(self.harness.cell.fleet.runners["a"].runs, {})


if __name__ == "__main__":
    unittest.main()
