"""Admission control, order of waiting steps and lease expiry."""

import unittest

from coltsfootpier.cells import Accepted, LeaseExpiryTracker, Rejected
from coltsfootpier.cells._ordering import rank_step
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells.tests.builders import (
    SimulatedCell,
    build_job,
    build_queue,
    build_step,
)


class AdmissionTest(unittest.TestCase):
    """Admission while the submitted work exceeds the capacity."""

    def _submit_flood(self, **changes):
        harness = SimulatedCell(("a",), **changes)
        harness.join()
        queue = build_queue(stretch=1.5, objective_ms=300.0)
        spec = build_job(build_step(count=8, estimate_ms=1_000.0))
        return [harness.submit(f"j{number}", spec, queue) for number in range(40)]

    def test_job_that_cannot_end_in_time_is_rejected_at_once(self):
        """Guards against accepting a backlog whose last jobs end too late to be of use."""
        results = self._submit_flood()
        accepted = sum(isinstance(result, Accepted) for result in results)
        # A job of 8 core-seconds takes 2 s on 4 cores; three objectives of 1.8 s fit two to four.
        self.assertTrue(2 <= accepted <= 5, accepted)
        self.assertIsInstance(results[-1], Rejected)

    def test_retry_after_follows_the_backlog(self):
        """Guards against callers that all retry while the backlog is as long as before."""
        rejected = [result for result in self._submit_flood() if isinstance(result, Rejected)]
        self.assertTrue(all(300 <= result.retry_after_ms <= 3_000 for result in rejected))

    def test_rejected_job_may_be_resubmitted(self):
        """Guards against a rejection that persists after its cause is gone."""
        harness = SimulatedCell(("a",))
        harness.join()
        queue = build_queue(stretch=1.5, objective_ms=300.0)
        spec = build_job(build_step(count=8, estimate_ms=1_000.0))
        number = 0
        while isinstance(harness.submit(f"j{number}", spec, queue), Accepted):
            number += 1
        for earlier in range(number):
            harness.cell.cancel(f"j{earlier}", harness.now_ms)
        self.assertIsInstance(harness.submit(f"j{number}", spec, queue), Accepted)

    def test_late_jobs_do_not_cause_rejection_of_jobs_in_time(self):
        """Guards against rejections caused by jobs that would run after the rejected one."""
        harness = SimulatedCell(("a",))
        harness.join()
        queue = build_queue(stretch=1.5, objective_ms=300.0)
        late = build_job(build_step(count=8, estimate_ms=1_000.0))
        for number in range(3):
            harness.submit(f"late{number}", late, queue)
        # All three are beyond their objectives of 1.8 s, and none has run.
        harness.now_ms += 3_000
        spec = build_job(build_step(count=4, estimate_ms=1_000.0))
        self.assertIsInstance(harness.submit("new", spec, queue), Accepted)

    def test_new_owner_accepts_what_the_earlier_one_would_have_accepted(self):
        """Guards against callers that are sent away for 3 s because an owner has just begun."""
        for step in (build_step(count=8), build_step(count=8, fills=True, image="i")):
            first = SimulatedCell()
            first.join()
            for number in range(2):
                first.submit(f"old{number}", build_job(step))
            harness = SimulatedCell(generation=2)
            harness.cell.load(
                [job.record for job in first.cell.jobs.jobs.values()],
                [runner.entry for runner in harness.runners.values()],
                now_ms=harness.now_ms,
                unix_ms=harness.unix_ms,
            )
            steps = (harness.plan, harness.list_runners, harness.plan, harness.join, harness.plan)
            for number, act in enumerate(steps):
                act()
                new = build_step(fills=step.fills, image=step.image)
                result = harness.submit(f"new{number}", build_job(new))
                with self.subTest(act=act.__name__, fills=step.fills):
                    self.assertIsInstance(result, Accepted)
                harness.now_ms += 10

    def test_limit_on_open_tasks(self):
        """Guards against a job that uses up the memory of the entry VM."""
        harness = SimulatedCell(("a",), max_open_tasks=10)
        harness.join()
        result = harness.submit("j", build_job(build_step(count=11)))
        self.assertEqual(result.reason, "tasks")

    def test_known_identifier_is_the_same_job(self):
        """Guards against a repeated request that runs the job twice or is rejected."""
        harness = SimulatedCell()
        harness.join()
        first = harness.submit("j")
        self.assertIs(harness.submit("j").job, first.job)
        harness.plan()
        self.assertEqual(len(harness.find("j")), 1)


class OrderTest(unittest.TestCase):
    """Sort keys of waiting steps."""

    def setUp(self):
        harness = SimulatedCell()
        harness.join()
        job = harness.submit("j", build_job(build_step(), build_step(fills=True))).job
        self.short, self.best_effort = job.iter_steps()

    def test_urgent_work_goes_before_best_effort(self):
        """Guards against batch work that delays short urgent tasks."""
        urgent = rank_step(self.short, lateness=1, remaining=9.0, size=9.0)
        self.assertLess(urgent, rank_step(self.best_effort, lateness=0, remaining=0.1, size=1.0))

    def test_late_jobs_go_after_jobs_in_time(self):
        """Guards against an overload in which every job ends slightly late."""
        late = rank_step(self.best_effort, lateness=1, remaining=0.1, size=1.0)
        self.assertLess(rank_step(self.best_effort, lateness=0, remaining=3.0, size=3.0), late)

    def test_started_jobs_are_finished_first(self):
        """Guards against starting many jobs and finishing none."""
        started = rank_step(self.best_effort, lateness=0, remaining=0.5, size=1.0)
        self.assertLess(started, rank_step(self.best_effort, lateness=0, remaining=1.0, size=1.0))

    def test_large_jobs_are_not_starved(self):
        """Guards against ordering by size alone, which never serves the largest tenth."""
        small = rank_step(self.best_effort, lateness=0, remaining=0.3, size=0.3)
        large_started = rank_step(self.best_effort, lateness=0, remaining=1.0, size=4.0)
        self.assertLess(large_started, small)


class LeaseExpiryTest(unittest.TestCase):
    """Lease expiry of an unreachable runner."""

    def test_unapplied_calls_extend_nothing(self):
        """Guards against a runner that is down and never expires, because calls are repeated."""
        tracker = LeaseExpiryTracker(CellSettings())
        tracker.settle_call(tracker.record_call(now_ms=0.0, duration_ms=1_000.0), applied=True)
        lease_expiry_ms = tracker.lease_expiry_ms
        for now_ms in range(100, 5_000, 100):
            call = tracker.record_call(now_ms=float(now_ms), duration_ms=1_000.0)
            self.assertGreaterEqual(tracker.lease_expiry_ms, now_ms + 1_000.0)
            tracker.settle_call(call, applied=False)
        self.assertEqual(tracker.lease_expiry_ms, lease_expiry_ms)

    def test_call_in_transit_counts(self):
        """Guards against a task that starts elsewhere while a lease extension is in transit."""
        tracker = LeaseExpiryTracker(CellSettings())
        tracker.record_call(now_ms=500.0, duration_ms=1_000.0)
        self.assertGreater(tracker.lease_expiry_ms, 1_500.0)


if __name__ == "__main__":
    unittest.main()
