"""Refusals at the door and the order of what waits, under more work than there is room for."""

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
    """What callers get in a flood."""

    def _flood(self, **changes):
        world = SimulatedCell(("a",), **changes)
        world.join()
        queue = build_queue(stretch=1.5, objective_ms=300.0)
        spec = build_job(build_step(count=8, estimate_ms=1_000.0))
        return [world.submit(f"j{number}", spec, queue) for number in range(40)]

    def test_jobs_that_can_not_end_in_time_are_refused_at_once(self):
        """Guards against accepting a backlog of which the last jobs help nobody."""
        results = self._flood()
        accepted = sum(isinstance(result, Accepted) for result in results)
        # 8 core-seconds each on 4 cores: 2 s a job; three objectives of 1.8 s hold two to four.
        self.assertTrue(2 <= accepted <= 5, accepted)
        self.assertIsInstance(results[-1], Rejected)

    def test_retry_after_follows_the_backlog(self):
        """Guards against callers that all come back while the backlog is as long as before."""
        refused = [result for result in self._flood() if isinstance(result, Rejected)]
        self.assertTrue(all(300 <= result.retry_after_ms <= 3_000 for result in refused))

    def test_refused_job_may_come_again(self):
        """Guards against a refusal that outlasts its reason."""
        world = SimulatedCell(("a",))
        world.join()
        queue = build_queue(stretch=1.5, objective_ms=300.0)
        spec = build_job(build_step(count=8, estimate_ms=1_000.0))
        number = 0
        while isinstance(world.submit(f"j{number}", spec, queue), Accepted):
            number += 1
        for earlier in range(number):
            world.cell.cancel(f"j{earlier}", world.now_ms)
        self.assertIsInstance(world.submit(f"j{number}", spec, queue), Accepted)

    def test_late_jobs_do_not_turn_away_those_that_can_be_in_time(self):
        """Guards against refusals because of jobs that go behind the refused one."""
        world = SimulatedCell(("a",))
        world.join()
        queue = build_queue(stretch=1.5, objective_ms=300.0)
        late = build_job(build_step(count=8, estimate_ms=1_000.0))
        for number in range(3):
            world.submit(f"late{number}", late, queue)
        # All three are beyond their objectives of 1.8 s, and none has run.
        world.now_ms += 3_000
        spec = build_job(build_step(count=4, estimate_ms=1_000.0))
        self.assertIsInstance(world.submit("new", spec, queue), Accepted)

    def test_bound_of_tasks(self):
        """Guards against a job that takes the memory of the entry VM."""
        world = SimulatedCell(("a",), max_open_tasks=10)
        world.join()
        result = world.submit("j", build_job(build_step(count=11)))
        self.assertEqual(result.reason, "tasks")

    def test_known_identifier_is_the_same_job(self):
        """Guards against a repeated request that runs the job twice or is refused."""
        world = SimulatedCell()
        world.join()
        first = world.submit("j")
        self.assertIs(world.submit("j").job, first.job)
        world.plan()
        self.assertEqual(len(world.find("j")), 1)


class OrderTest(unittest.TestCase):
    """Which step goes first."""

    def setUp(self):
        world = SimulatedCell()
        world.join()
        job = world.submit("j", build_job(build_step(), build_step(fills=True))).job
        self.short, self.fill = job.steps.values()

    def test_urgent_work_goes_before_filling(self):
        """Guards against batch work that delays short urgent tasks."""
        urgent = rank_step(self.short, lateness=1, left=9.0, size=9.0)
        self.assertLess(urgent, rank_step(self.fill, lateness=0, left=0.1, size=1.0))

    def test_late_jobs_go_after_those_that_can_be_in_time(self):
        """Guards against a flood in which every job is a little late."""
        late = rank_step(self.fill, lateness=1, left=0.1, size=1.0)
        self.assertLess(rank_step(self.fill, lateness=0, left=3.0, size=3.0), late)

    def test_begun_jobs_are_finished_first(self):
        """Guards against many jobs that are all half done."""
        begun = rank_step(self.fill, lateness=0, left=0.5, size=1.0)
        self.assertLess(begun, rank_step(self.fill, lateness=0, left=1.0, size=1.0))

    def test_large_jobs_are_not_starved(self):
        """Guards against an order by size alone, which never serves the largest tenth."""
        small = rank_step(self.fill, lateness=0, left=0.3, size=0.3)
        large_begun = rank_step(self.fill, lateness=0, left=1.0, size=4.0)
        self.assertLess(large_begun, small)


class LapseTest(unittest.TestCase):
    """When the lease of an unreachable runner has certainly ended."""

    def test_calls_that_were_never_sent_extend_nothing(self):
        """Guards against a runner that is down and never lapses, because it is asked again."""
        tracker = LeaseExpiryTracker(CellSettings())
        tracker.settle(tracker.record_call(now_ms=0.0, duration_ms=1_000.0), applied=True)
        lease_expiry_ms = tracker.lease_expiry_ms
        for now_ms in range(100, 5_000, 100):
            call = tracker.record_call(now_ms=float(now_ms), duration_ms=1_000.0)
            self.assertGreaterEqual(tracker.lease_expiry_ms, now_ms + 1_000.0)
            tracker.settle(call, applied=False)
        self.assertEqual(tracker.lease_expiry_ms, lease_expiry_ms)

    def test_call_under_way_counts(self):
        """Guards against a task started elsewhere while an extension is on its way."""
        tracker = LeaseExpiryTracker(CellSettings())
        tracker.record_call(now_ms=500.0, duration_ms=1_000.0)
        self.assertGreater(tracker.lease_expiry_ms, 1_500.0)


if __name__ == "__main__":
    unittest.main()
