"""Quarantine in services of a few runners, and of runners whose tasks last."""

import unittest

from coltsfootpier.cells import EndKind
from coltsfootpier.cells.tests.builders import (
    SimulatedCell,
    build_entry,
    build_job,
    build_queue,
    build_step,
)

SMALL = build_queue(name="small", service="small")


class QuarantineTestCase(unittest.TestCase):
    """A cell with a service of eight runners and one of two."""

    labels = {}

    def setUp(self):
        names = [(f"w{number}", "web") for number in range(8)] + [("s0", "small"), ("s1", "small")]
        entries = tuple(
            build_entry(name, service=service, labels=self.labels.get(name, ("kind", "r1")))
            for name, service in names
        )
        self.harness = SimulatedCell(entries=entries)
        self.harness.cell.set_queues({"small": SMALL, "batch": build_queue()})
        self.harness.join()

    def _submit(self, count, queue=SMALL, **changes):
        for number in range(count):
            job = build_job(build_step(long_running=True, **changes))
            self.harness.submit(f"{queue.name}{number}", job, queue)

    def _fail_all(self, *names):
        for name in names:
            for run in list(self.harness.runners[name].running):
                self.harness.runners[name].end(run, EndKind.FAILED)
        self.harness.report()

    def _list_quarantined(self):
        now_ms = self.harness.now_ms
        return [
            name
            for name, runner in self.harness.cell.fleet.runners.items()
            if runner.quarantined_until_ms > now_ms
        ]

    def _work(self, duration_ms):
        """Let all runs be at work for a time."""
        for runner in self.harness.runners.values():
            runner.percents.update(dict.fromkeys(runner.running, 100.0))
        self.harness.advance(duration_ms)


class SmallServiceTest(QuarantineTestCase):
    """Failures on all runners of a service that has a few of the cell's runners."""

    def test_one_runner_of_a_service_stays_in_use(self):
        """Guards against tasks that wait as a share of the cell is a whole service (review/3)."""
        self._submit(6)
        self.harness.plan()
        self._fail_all("s0", "s1")
        self.assertEqual(len(self._list_quarantined()), 1)
        self.harness.plan()
        self.assertEqual(len(self.harness.list_running()), 4)

    def test_only_runner_of_a_service_stays_in_use(self):
        """Guards against a service without any runner because single tasks fail."""
        del self.harness.runners["s1"]
        self.harness.list_runners()
        self.harness.advance(3_000)
        self._submit(4)
        self.harness.plan()
        self._fail_all("s0")
        self.assertEqual(self._list_quarantined(), [])

    def test_failures_in_another_service_leave_room(self):
        """Guards against a faulty runner in use since another service has used up the share."""
        for number in range(24):
            self.harness.submit(f"b{number}", build_job(build_step()))
        self.harness.plan()
        self._fail_all("w0", "w1", "w2", "w3")
        self.assertEqual(len(self._list_quarantined()), 2)
        self._submit(6)
        self.harness.plan()
        self._fail_all("s0")
        self.assertIn("s0", self._list_quarantined())

    def test_runner_on_probation_fails_again(self):
        """Guards against a faulty runner of two that counts against its own share."""
        self._submit(6)
        self.harness.plan()
        self._fail_all("s0")
        self.assertEqual(self._list_quarantined(), ["s0"])
        self.harness.advance(3_100)
        self.assertEqual(self._list_quarantined(), [])
        self.harness.submit("batch-of-small", build_job(build_step(cpu_milli=2_000)), SMALL)
        self.harness.plan()
        self._fail_all("s0")
        self.assertEqual(self._list_quarantined(), ["s0"])


class LabelTest(QuarantineTestCase):
    """A step that only some runners of a large service can serve."""

    labels = {"w0": ("gpu", "r1"), "w1": ("gpu", "r2")}

    def test_one_runner_with_a_required_label_stays_in_use(self):
        """Guards against tasks that wait since all runners of one kind are quarantined."""
        self._submit(6, build_queue(), required_label="gpu")
        self.harness.plan()
        self._fail_all("w0", "w1")
        self.assertEqual(len(self._list_quarantined()), 1)


class LastingTaskTest(QuarantineTestCase):
    """Tasks that last, never end as done, and fail now and then."""

    def test_failures_after_work_do_not_add_up(self):
        """Guards against a sound runner in quarantine since rare failures are never forgotten."""
        self._submit(6)
        for _ in range(4):
            self.harness.plan()
            self._work(self.harness.settings.long_run_success_ms + 200)
            self._fail_all("s0", "s1")
            self.assertEqual(self._list_quarantined(), [])

    def test_failures_at_once_lead_to_quarantine(self):
        """Guards against a faulty runner that keeps its long-running tasks for good."""
        self._submit(3)
        self.harness.plan()
        for name in ("s0", "s1"):
            self._fail_all(name)
            self.harness.plan()
            self._fail_all(name)
        self.assertEqual(len(self._list_quarantined()), 1)

    def test_work_ends_the_probation(self):
        """Guards against a runner that stays on probation for good beside tasks that last."""
        self._submit(6)
        self.harness.plan()
        self._fail_all("s0")
        runner = self.harness.cell.fleet.runners["s0"]
        self.assertTrue(runner.on_probation)
        self.harness.advance(3_100)
        for _ in range(2):
            self._fail_all("s1")
            self.harness.plan()
        self._work(self.harness.settings.long_run_success_ms + 200)
        self.assertTrue(self.harness.runners["s0"].running)
        self.assertFalse(runner.on_probation)
        self.assertEqual(runner.quarantine_ms, 0.0)


if __name__ == "__main__":
    unittest.main()
