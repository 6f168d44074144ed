"""Capacity that long-running jobs leave free for short ones."""

import unittest

from coltsfootpier.cells import Accepted
from coltsfootpier.cells._demand import ShortJobDemand
from coltsfootpier.cells.tests.builders import (
    SimulatedCell,
    build_entry,
    build_job,
    build_queue,
    build_step,
)

CORE = 1_000
TASK_MS = 1_000.0
URGENT_QUEUE = build_queue(name="urgent", stretch=1.5, objective_ms=300.0)
SERVING_QUEUE = build_queue(name="serving", stretch=2.2, objective_ms=2_500.0)


class DemandTest(unittest.TestCase):
    """Estimate of the CPU that short jobs use at the same time."""

    def _record(self, demand, *, count, cpu_milli, period_ms, end_ms, priority=0):
        for number in range(int(end_ms / period_ms)):
            demand.record_step(
                priority=priority,
                cpu_milli=cpu_milli,
                count=count,
                task_ms=TASK_MS,
                now_ms=number * period_ms,
            )

    def test_reserve_is_the_mean_and_two_deviations(self):
        """Guards against a reserve for the mean only, which every second burst exceeds."""
        demand = ShortJobDemand()
        # Twice a second, ten tasks of one core for a second: 20 cores on average, and a standard
        # deviation of the square root of 2 * 10 * 10.
        self._record(demand, count=10, cpu_milli=CORE, period_ms=500, end_ms=200_000)
        reserve = demand.compute_reserve_cpu(1_000_000.0, 0, 200_000.0, deviations=2.0)
        self.assertAlmostEqual(reserve / CORE, 20 + 2 * 14.1, delta=2.0)

    def test_prior_is_forgotten_without_short_jobs(self):
        """Guards against capacity that stays unused where no short jobs are submitted."""
        demand = ShortJobDemand()
        demand.record_submission(0.0)
        self.assertGreater(demand.compute_reserve_cpu(100.0, 0, 0.0, deviations=2.0), 10.0)
        self.assertLess(demand.compute_reserve_cpu(100.0, 0, 180_000.0, deviations=2.0), 0.5)

    def test_jobs_of_later_queues_are_not_counted(self):
        """Guards against a reserve for batch jobs that long-running jobs go before."""
        demand = ShortJobDemand()
        self._record(demand, count=10, cpu_milli=CORE, period_ms=500, end_ms=200_000, priority=2)
        self.assertLess(demand.compute_reserve_cpu(1.0, 0, 200_000.0, deviations=2.0), 1.0)
        self.assertGreater(demand.compute_reserve_cpu(1.0, 2, 200_000.0, deviations=2.0), 20 * CORE)


class LongRunningAdmissionTest(unittest.TestCase):
    """Long-running jobs that ask for more than all capacity, and the urgent jobs beside them."""

    def setUp(self):
        entries = tuple(
            build_entry(f"r{number:02}", cpu_milli=16 * CORE, memory_mb=64_000)
            for number in range(20)
        )
        self.harness = SimulatedCell(entries=entries)
        self.harness.join()
        self.next_number = 0

    def _submit_serving(self, *, count=6, cpu_milli=3 * CORE):
        """Submit a long-running job; return its result."""
        self.next_number += 1
        step = build_step(count=count, cpu_milli=cpu_milli, long_running=True)
        return self.harness.submit(f"s{self.next_number}", build_job(step), SERVING_QUEUE)

    def _submit_until_rejected(self):
        """Submit long-running jobs, more than fit if necessary, until one is rejected."""
        results = []
        while len(results) < 20 and (not results or isinstance(results[-1], Accepted)):
            results.append(self._submit_serving())
            self.harness.advance(100)
        self.assertFalse(isinstance(results[-1], Accepted), "none of 20 jobs was rejected")

    def _play_urgent_jobs(self, *, job_count):
        """Submit two jobs of eight tasks a second; return the time to the end of each in ms."""
        spec = build_job(build_step(count=8, cpu_milli=2 * CORE, estimate_ms=TASK_MS))
        submitted_ms, started_ms, times_ms = {}, {}, {}
        for tick in range(5 * job_count + 30):
            if tick % 5 == 0 and len(submitted_ms) < job_count:
                name = f"u{tick}"
                submitted_ms[name] = self.harness.now_ms
                self.assertIsInstance(self.harness.submit(name, spec, URGENT_QUEUE), Accepted)
            self.harness.advance(100)
            now_ms = self.harness.now_ms
            for runner_id, run in self.harness.list_running():
                is_urgent = run.job_id in submitted_ms
                if is_urgent and now_ms - started_ms.setdefault(run, now_ms) >= TASK_MS:
                    self.harness.runners[runner_id].end(run)
            for name in submitted_ms:
                if not self.harness.cell.jobs.jobs[name].is_open:
                    times_ms.setdefault(name, now_ms - submitted_ms[name])
        return [times_ms.get(name, float("inf")) for name in submitted_ms]

    def test_urgent_jobs_end_in_time_beside_long_running_ones(self):
        """Guards against long-running jobs that hold all capacity when urgent jobs arrive."""
        results = []
        for _ in range(20):
            results.append(self._submit_serving())
            self.harness.advance(100)
        times_ms = self._play_urgent_jobs(job_count=40)
        objective_ms = URGENT_QUEUE.stretch * TASK_MS + URGENT_QUEUE.objective_ms
        self.assertLessEqual(max(times_ms), objective_ms)
        # 320 cores in jobs of 18 fit 17 jobs; with a reserve of 11 % it is 15.
        self.assertEqual(sum(isinstance(result, Accepted) for result in results), 15)
        self.assertEqual(results[-1].reason, "capacity")

    def test_rejected_caller_returns_once_another_job_is_cancelled(self):
        """Guards against a rejection that persists after its cause is gone."""
        self._submit_until_rejected()
        self.harness.cell.cancel("s1", self.harness.now_ms)
        self.harness.advance(1_000)
        self.assertIsInstance(self._submit_serving(), Accepted)

    def test_long_running_jobs_take_all_capacity_where_no_short_ones_come(self):
        """Guards against capacity that is kept for jobs that nobody submits."""
        self._submit_until_rejected()
        self.harness.advance(180_000, step_ms=1_000)
        self.assertIsInstance(self._submit_serving(), Accepted)

    def test_first_job_is_accepted_whatever_its_size(self):
        """Guards against a job that is rejected for good since it is larger than the rest."""
        self.assertIsInstance(self._submit_serving(count=100), Accepted)
        self.assertEqual(self._submit_serving().reason, "capacity")

    def test_jobs_accepted_by_the_earlier_owner_are_counted(self):
        """Guards against a new owner that takes runners whose runs it doesn't know for free."""
        self._submit_until_rejected()
        records = [job.record for job in self.harness.cell.jobs.jobs.values()]
        successor = SimulatedCell(
            entries=tuple(runner.entry for runner in self.harness.runners.values()), generation=2
        )
        successor.cell.load(
            records,
            [runner.entry for runner in successor.runners.values()],
            now_ms=successor.now_ms,
            unix_ms=successor.unix_ms,
        )
        successor.list_runners()
        self.assertEqual(
            successor.submit(
                "new", build_job(build_step(count=6, cpu_milli=3 * CORE, long_running=True))
            ).reason,
            "capacity",
        )

    def test_free_capacity_in_pieces_smaller_than_a_task_does_not_count(self):
        """Guards against a reserve in which no urgent task fits on any runner."""
        spec = build_job(build_step(count=2, cpu_milli=8 * CORE, estimate_ms=TASK_MS))
        self.harness.submit("urgent", spec, URGENT_QUEUE)
        self.harness.finish("urgent")
        # One task of 12 cores on each runner leaves 80 cores in pieces of 4.
        step = build_step(count=20, cpu_milli=12 * CORE, long_running=True)
        self.harness.submit("wide", build_job(step), SERVING_QUEUE)
        self.harness.advance(500)
        self.assertEqual(self._submit_serving(count=1, cpu_milli=CORE).reason, "capacity")


if __name__ == "__main__":
    unittest.main()
