"""Tests of eviction, failing workers, leaving workers and start limits."""

from __future__ import annotations

import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.placement import AttemptKey
from tests.builders import (
    build_assignment,
    build_exchange_request,
    build_service_spec,
    build_shard,
    build_spec,
    build_sync_reply,
    build_task_report,
    build_vm,
    commit,
    list_commands,
)


class RecoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.shard = build_shard(self.clock)
        self.sequence = 0

    def _exchange(self, **changes) -> None:
        self.sequence += 1
        self.assertIsNone(
            self.shard.apply_request(build_exchange_request(self.sequence, **changes))
        )
        commit(self.shard.record)

    def _add_workers(self, *names: str) -> None:
        self.shard.observe_vms([build_vm(name) for name in ("w1", *names)])
        for name in names:
            self.shard.observe_reply(name, build_sync_reply(name, now_ms=self.clock.now_ms()))

    def _list_sync_commands(self, worker: str = "w1") -> list[tuple[str, str, int]]:
        return list_commands(self.shard.plan_sync(worker, may_start=True, may_renew_batch=True))

    def _fail_tasks(self, worker: str, *tasks: str) -> None:
        for task in tasks:
            spec = build_spec(task, cores=1.0)
            others = [name for name in self.shard.workers if name != worker]
            assignment = build_assignment(spec, avoid=tuple(others))
            self._exchange(assign=(assignment,))
            ended = build_task_report(task, state="ended", outcome="failed")
            self.shard.observe_reply(worker, build_sync_reply(worker, (ended,)))
            commit(self.shard.record)

    def test_capacity_freed_by_an_eviction_goes_to_the_evicting_task(self) -> None:
        """Guards against a less urgent task that takes the capacity freed for an urgent one.

        The victims stop one after the other, and each frees enough for the less urgent task.
        """
        for index in range(4):
            self._exchange(assign=(build_assignment(build_spec(f"job/load/{index}")),))
        urgent = build_spec("job/urgent/0", cores=8.0, priority=3)
        victims = tuple(AttemptKey(f"job/load/{index}", 1) for index in range(2))
        self._exchange(
            assign=(
                build_assignment(urgent, worker="w1"),
                build_assignment(build_spec("job/late/0")),
            ),
            revoke=victims,
        )
        for index in range(2):
            ended = build_task_report(f"job/load/{index}", state="ended", outcome="stopped")
            self.shard.observe_reply("w1", build_sync_reply(tasks=(ended,)))
            commit(self.shard.record)
        self.assertEqual(self.shard.record.durable["job/urgent/0"].state, "placed")
        self.assertEqual(self.shard.record.durable["job/late/0"].state, "accepted")

    def test_starts_are_limited_for_each_worker(self) -> None:
        """Guards against a recovery that overloads a worker with starts.

        Urgent attempts start first, and repeated commands don't count against the limit.
        """
        specs = [build_spec(f"job/load/{index}", cores=1.0) for index in range(4)]
        urgent = build_spec("job/urgent/0", cores=1.0, priority=3)
        self._exchange(assign=tuple(build_assignment(spec) for spec in (*specs, urgent)))
        expected = [("start", "job/urgent/0", 1), ("start", "job/load/0", 1)]
        self.assertEqual(self._list_sync_commands(), expected)
        self.assertEqual(self._list_sync_commands(), expected)
        self.clock.advance(1_000.0)
        self.assertEqual(len(self._list_sync_commands()), 2)

    def test_worker_that_fails_all_tasks_is_quarantined_and_probed(self) -> None:
        """Guards against a broken worker that keeps receiving tasks and fails all of them."""
        self._add_workers("w2", "w3")
        self._fail_tasks("w2", "job/a/0", "job/b/0", "job/c/0")
        self.assertTrue(self.shard.health.is_quarantined("w2"))
        capacity = {item.worker: item for item in self.shard.list_capacities()}
        self.assertEqual((capacity["w2"].set_aside, capacity["w2"].free_cores), (True, 0.0))
        self.clock.advance(10_000.0)
        self._add_workers("w2", "w3")
        probe = build_assignment(build_spec("job/probe/0", cores=1.0))
        self._exchange(assign=(probe,))
        self.assertEqual(self.shard.record.durable["job/probe/0"].worker, "w2")
        done = build_task_report("job/probe/0", state="ended", outcome="done")
        self.shard.observe_reply("w2", build_sync_reply("w2", (done,)))
        self.assertFalse(self.shard.health.is_quarantined("w2"))

    def test_running_tasks_do_not_prevent_quarantine(self) -> None:
        """Guards against a worker that stays in use although all new tasks fail on it.

        A task that started before the failures keeps running there.
        """
        self._add_workers("w2", "w3")
        earlier = build_task_report("job/old/0")
        assignment = build_assignment(build_spec("job/old/0", cores=1.0), avoid=("w1", "w3"))
        self._exchange(assign=(assignment,))
        for index in range(5):
            self.clock.advance(20_000.0)
            self.shard.observe_reply("w2", build_sync_reply("w2", (earlier,)))
            task = f"job/j{index}/0"
            avoid = ("w1", "w3")
            spec = build_spec(task, cores=1.0)
            self._exchange(assign=(build_assignment(spec, avoid=avoid),))
            ended = build_task_report(task, state="ended", outcome="failed")
            self.shard.observe_reply("w2", build_sync_reply("w2", (earlier, ended)))
            commit(self.shard.record)
        self.assertTrue(self.shard.health.is_quarantined("w2"))

    def test_new_owner_resets_throttling_of_the_previous_owner(self) -> None:
        """Guards against a task that stays throttled after a change of the shard owner."""
        self._exchange(assign=(build_assignment(build_spec()),))
        self.shard.observe_reply("w1", build_sync_reply(tasks=(build_task_report("job/load/0"),)))
        expected = [("renew", "job/load/0", 1), ("throttle", "job/load/0", 1)]
        self.assertEqual(self._list_sync_commands(), expected)
        for _ in range(2):
            self._list_sync_commands()
        self.assertEqual(self._list_sync_commands(), expected[:1])

    def test_quarantine_is_limited_to_a_share_of_the_workers(self) -> None:
        """Guards against quarantining all workers of a shard because of a scheduler fault."""
        self._add_workers("w2", "w3")
        self._fail_tasks("w2", "job/a/0", "job/b/0", "job/c/0")
        self._fail_tasks("w3", "job/d/0", "job/e/0", "job/f/0")
        self.assertFalse(self.shard.health.is_quarantined("w3"))

    def test_faulty_job_does_not_quarantine_workers(self) -> None:
        """Guards against quarantining good workers because of a job whose tasks all fail."""
        self._add_workers("w2", "w3")
        for index in range(3):
            for worker in ("w1", "w2", "w3"):
                self._fail_tasks(worker, f"job/broken/{worker}{index}")
        quarantined = [
            name for name in self.shard.workers if self.shard.health.is_quarantined(name)
        ]
        self.assertEqual(quarantined, [])

    def test_runner_on_a_leaving_worker_is_replaced_while_it_stops(self) -> None:
        """Guards against a service without enough runners while old ones finish requests."""
        self._exchange(assign=(build_assignment(build_service_spec()),))
        running = build_task_report("service/web/0")
        self.shard.observe_reply("w1", build_sync_reply(tasks=(running,)))
        self.shard.observe_vms([build_vm(state="leaving")])
        commit(self.shard.record)
        self.assertEqual(self._list_sync_commands(), [("stop", "service/web/0", 1)])
        released = self.shard.build_exchange_reply(full=False).released
        self.assertEqual([item.task for item in released], ["service/web/0"])
        self.assertTrue(self.shard.record.durable["service/web/0"].is_charged)

    def test_task_that_exceeds_its_declared_size_is_charged_as_measured(self) -> None:
        """Guards against placing more work on a VM than fits into its memory."""
        self._exchange(assign=(build_assignment(build_spec()),))
        report = build_task_report("job/load/0", cores=4.0, memory_mb=59_500)
        self.shard.observe_reply("w1", build_sync_reply(tasks=(report,)))
        self._exchange(assign=(build_assignment(build_spec("job/next/0")),))
        self.assertEqual(self.shard.record.durable["job/next/0"].state, "accepted")
        self.assertEqual(
            self.shard.build_exchange_reply(full=True).measured, {"load": (4.0, 59_500)}
        )

    def test_silent_worker_receives_no_new_tasks(self) -> None:
        """Guards against urgent work that is stuck on a dead worker until its lease expires."""
        self._add_workers("w2")
        self.clock.advance(4_500.0)
        self.shard.observe_reply("w2", build_sync_reply("w2", now_ms=self.clock.now_ms()))
        for index in range(3):
            self._exchange(assign=(build_assignment(build_spec(f"job/load/{index}")),))
        workers = {entry.worker for entry in self.shard.record.durable.values()}
        self.assertEqual(workers, {"w2"})

    def test_small_runners_are_packed_together(self) -> None:
        """Guards against small runners that fragment the free capacity for batch tasks."""
        self._add_workers("w2", "w3")
        specs = [build_service_spec(f"service/web/{index}", cores=1.0) for index in range(4)]
        self._exchange(assign=tuple(build_assignment(spec) for spec in specs))
        workers = {entry.worker for entry in self.shard.record.durable.values()}
        self.assertEqual(len(workers), 1)


if __name__ == "__main__":
    unittest.main()
