"""Tests of eviction, failing workers, leaving workers and limits of starts."""

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
        self.assertIsNone(self.shard.receive(build_exchange_request(self.sequence, **changes)))
        commit(self.shard.record)

    def _add_workers(self, *names: str) -> None:
        self.shard.observe_vms([build_vm(name) for name in ("w1", *names)])
        for name in names:
            self.shard.observe_reply(name, build_sync_reply(name, now_ms=self.clock.now_ms()))

    def _sync(self, worker: str = "w1") -> list[tuple[str, str, int]]:
        return list_commands(self.shard.plan_sync(worker, may_start=True, may_renew_batch=True))

    def _fail(self, worker: str, *tasks: str) -> None:
        for task in tasks:
            spec = build_spec(task, cores=1.0)
            others = [name for name in self.shard.workers if name != worker]
            assignment = build_assignment(spec, avoid=tuple(others))
            self._exchange(assign=(assignment,))
            ended = build_task_report(task, state="ended", outcome="failed")
            self.shard.observe_reply(worker, build_sync_reply(worker, (ended,)))
            commit(self.shard.record)

    def test_room_of_an_eviction_goes_to_the_task_that_it_is_for(self) -> None:
        """Guards against a less urgent task that takes the room while the last victim stops."""
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
        """Guards against a recovery that overloads a worker with starts; urgent ones first."""
        specs = [build_spec(f"job/load/{index}", cores=1.0) for index in range(4)]
        urgent = build_spec("job/urgent/0", cores=1.0, priority=3)
        self._exchange(assign=tuple(build_assignment(spec) for spec in (*specs, urgent)))
        expected = [("start", "job/urgent/0", 1), ("start", "job/load/0", 1)]
        self.assertEqual(self._sync(), expected)
        self.assertEqual(self._sync(), expected)
        self.clock.advance(1_000.0)
        self.assertEqual(len(self._sync()), 2)

    def test_worker_that_fails_everything_is_set_aside_and_probed(self) -> None:
        """Guards against a black hole that swallows one task after the other."""
        self._add_workers("w2", "w3")
        self._fail("w2", "job/a/0", "job/b/0", "job/c/0")
        self.assertTrue(self.shard.health.is_set_aside("w2"))
        capacity = {item.worker: item for item in self.shard.capacities()}
        self.assertEqual((capacity["w2"].set_aside, capacity["w2"].free_cores), (True, 0.0))
        self.clock.advance(10_000.0)
        self._add_workers("w2", "w3")
        probe = build_assignment(build_spec("job/probe/0", cores=1.0))
        self._exchange(assign=(probe,))
        self.assertEqual(self.shard.record.durable["job/probe/0"].worker, "w2")
        done = build_task_report("job/probe/0", state="ended", outcome="done")
        self.shard.observe_reply("w2", build_sync_reply("w2", (done,)))
        self.assertFalse(self.shard.health.is_set_aside("w2"))

    def test_old_tasks_do_not_speak_for_a_worker_that_fails_new_ones(self) -> None:
        """Guards against a broken worker that stays in use because of what runs there."""
        self._add_workers("w2", "w3")
        old = build_task_report("job/old/0")
        assignment = build_assignment(build_spec("job/old/0", cores=1.0), avoid=("w1", "w3"))
        self._exchange(assign=(assignment,))
        for index in range(5):
            self.clock.advance(20_000.0)
            self.shard.observe_reply("w2", build_sync_reply("w2", (old,)))
            task = f"job/j{index}/0"
            avoid = ("w1", "w3")
            spec = build_spec(task, cores=1.0)
            self._exchange(assign=(build_assignment(spec, avoid=avoid),))
            ended = build_task_report(task, state="ended", outcome="failed")
            self.shard.observe_reply("w2", build_sync_reply("w2", (old, ended)))
            commit(self.shard.record)
        self.assertTrue(self.shard.health.is_set_aside("w2"))

    def test_new_owner_takes_back_unknown_throttling(self) -> None:
        """Guards against a task that stays throttled after its shard changed hands."""
        self._exchange(assign=(build_assignment(build_spec()),))
        self.shard.observe_reply("w1", build_sync_reply(tasks=(build_task_report("job/load/0"),)))
        expected = [("renew", "job/load/0", 1), ("throttle", "job/load/0", 1)]
        self.assertEqual(self._sync(), expected)
        for _ in range(2):
            self._sync()
        self.assertEqual(self._sync(), expected[:1])

    def test_only_a_share_of_a_shard_is_set_aside(self) -> None:
        """Guards against a fault of ours that empties a whole shard."""
        self._add_workers("w2", "w3")
        self._fail("w2", "job/a/0", "job/b/0", "job/c/0")
        self._fail("w3", "job/d/0", "job/e/0", "job/f/0")
        self.assertFalse(self.shard.health.is_set_aside("w3"))

    def test_faulty_job_does_not_set_workers_aside(self) -> None:
        """Guards against good workers that a job with many broken tasks takes out."""
        self._add_workers("w2", "w3")
        for index in range(3):
            for worker in ("w1", "w2", "w3"):
                self._fail(worker, f"job/broken/{worker}{index}")
        aside = [name for name in self.shard.workers if self.shard.health.is_set_aside(name)]
        self.assertEqual(aside, [])

    def test_runner_on_a_leaving_worker_is_replaced_while_it_stops(self) -> None:
        """Guards against a service that lacks runners while the old ones finish requests."""
        self._exchange(assign=(build_assignment(build_service_spec()),))
        running = build_task_report("service/web/0")
        self.shard.observe_reply("w1", build_sync_reply(tasks=(running,)))
        self.shard.observe_vms([build_vm(state="leaving")])
        commit(self.shard.record)
        self.assertEqual(self._sync(), [("stop", "service/web/0", 1)])
        released = self.shard.report(full=False).released
        self.assertEqual([item.task for item in released], ["service/web/0"])
        self.assertTrue(self.shard.record.durable["service/web/0"].charged)

    def test_task_that_uses_more_than_declared_is_charged_with_its_use(self) -> None:
        """Guards against a VM that gets more work than its memory can hold."""
        self._exchange(assign=(build_assignment(build_spec()),))
        report = build_task_report("job/load/0", cores=4.0, memory_mb=59_500)
        self.shard.observe_reply("w1", build_sync_reply(tasks=(report,)))
        self._exchange(assign=(build_assignment(build_spec("job/next/0")),))
        self.assertEqual(self.shard.record.durable["job/next/0"].state, "accepted")
        self.assertEqual(self.shard.report(full=True).measured, {"load": (4.0, 59_500)})

    def test_silent_worker_gets_nothing_new(self) -> None:
        """Guards against urgent work that waits on a dead worker for the end of its lease."""
        self._add_workers("w2")
        self.clock.advance(4_500.0)
        self.shard.observe_reply("w2", build_sync_reply("w2", now_ms=self.clock.now_ms()))
        for index in range(3):
            self._exchange(assign=(build_assignment(build_spec(f"job/load/{index}")),))
        workers = {entry.worker for entry in self.shard.record.durable.values()}
        self.assertEqual(workers, {"w2"})

    def test_small_runners_stay_together(self) -> None:
        """Guards against small runners that split the room for batch tasks on many workers."""
        self._add_workers("w2", "w3")
        specs = [build_service_spec(f"service/web/{index}", cores=1.0) for index in range(4)]
        self._exchange(assign=tuple(build_assignment(spec) for spec in specs))
        workers = {entry.worker for entry in self.shard.record.durable.values()}
        self.assertEqual(len(workers), 1)


if __name__ == "__main__":
    unittest.main()
