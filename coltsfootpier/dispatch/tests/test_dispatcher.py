"""Tests of the dispatcher with one shard owner."""

from __future__ import annotations

import unittest

import attrs

from coltsfootpier.clock import VirtualClock
from coltsfootpier.dispatch import Dispatcher, Ledger
from coltsfootpier.placement import ShardState
from tests.builders import (
    build_declaration,
    build_shard,
    build_sync_reply,
    build_task_report,
    commit,
)


class DispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.shard = build_shard(self.clock)
        self.dispatcher = self._build_dispatcher(epoch=1)

    def _build_dispatcher(self, epoch: int) -> Dispatcher:
        ledger = Ledger(epoch=epoch, writer=f"m{epoch}", record_count=2)
        ledger.load(())
        dispatcher = Dispatcher(clock=self.clock, ledger=ledger)
        dispatcher.observe_shards({"r1": 1})
        dispatcher.observe_declaration(1, build_declaration())
        return dispatcher

    def _commit(self) -> None:
        for record in self.dispatcher.ledger.records:
            commit(record)

    def _run_round(self) -> None:
        self.dispatcher.step()
        self._commit()
        request = self.dispatcher.build_next_request("r1", regular=True)
        self.assertIsNone(self.shard.apply_request(request))
        commit(self.shard.record)
        self.dispatcher.observe_reply(self.shard.build_exchange_reply(full=request.full))

    def _end_attempt(
        self, shard: ShardState, task: str, attempt: int = 1, outcome: str = "done"
    ) -> None:
        report = build_task_report(task, attempt, state="ended", outcome=outcome, checkpoint="7")
        shard.observe_reply("w1", build_sync_reply(tasks=(report,)))
        commit(shard.record)

    def test_dependent_job_waits_for_its_dependency(self) -> None:
        """Guards against starting a job before the job that it depends on is done."""
        for _ in range(4):
            self._run_round()
        self.assertEqual(self.dispatcher.ledger.get("job/report/0").state, "waiting")
        self._end_attempt(self.shard, "job/load/0")
        for _ in range(3):
            self._run_round()
        self.assertEqual(self.dispatcher.ledger.get("job/load/0").state, "done")
        self.assertEqual(self.dispatcher.ledger.get("job/report/0").state, "assigned")

    def test_dependent_of_a_failed_job_fails_with_a_reason(self) -> None:
        """Guards against a job that waits indefinitely for a dependency that can't complete."""
        for _ in range(4):
            self._run_round()
        entry = self.dispatcher.ledger.get("job/load/0")
        self.dispatcher.ledger.put("job/load/0", attrs.evolve(entry, state="failed"))
        self.dispatcher.step()
        entry = self.dispatcher.ledger.get("job/report/0")
        self.assertEqual(entry.state, "failed")
        self.assertIn("load", entry.reason)

    def test_evicted_task_resumes_once_from_its_checkpoint(self) -> None:
        """Guards against evicted tasks that are lost, resumed twice or restarted from scratch."""
        for _ in range(4):
            self._run_round()
        self._end_attempt(self.shard, "job/load/0", outcome="stopped")
        for _ in range(4):
            self._run_round()
        entry = self.dispatcher.ledger.get("job/load/0")
        self.assertEqual((entry.state, entry.attempt), ("assigned", 2))
        placement = self.shard.record.durable["job/load/0"]
        self.assertEqual((placement.attempt, placement.checkpoint), (2, "7"))

    def test_release_is_not_acknowledged_before_it_is_durable(self) -> None:
        """Guards against losing a task if the dispatcher crashes after an acknowledgement."""
        for _ in range(4):
            self._run_round()
        self._end_attempt(self.shard, "job/load/0", outcome="stopped")
        request = self.dispatcher.build_next_request("r1", regular=True)
        self.shard.apply_request(request)
        self.dispatcher.observe_reply(self.shard.build_exchange_reply(full=False))
        request = self.dispatcher.build_next_request("r1", regular=True)
        self.assertEqual(request.acknowledge, ())

    def test_removed_job_is_cancelled(self) -> None:
        """Guards against removed jobs that keep running."""
        for _ in range(4):
            self._run_round()
        text = "[team a]\ncores = 64\nmemory_mb = 64000\n"
        self.dispatcher.observe_declaration(2, build_declaration(text))
        for _ in range(3):
            self._run_round()
        self.assertEqual(self.shard.record.durable["job/load/0"].state, "stopping")
        self._end_attempt(self.shard, "job/load/0", outcome="stopped")
        for _ in range(3):
            self._run_round()
        self.assertEqual(self.dispatcher.ledger.get("job/load/0").state, "cancelled")

    def test_redeclared_runner_continues_its_attempt_numbers(self) -> None:
        """Guards against a stale release that ends a new attempt with the same number."""
        for _ in range(4):
            self._run_round()
        text = "[team a]\ncores = 64\nmemory_mb = 64000\n"
        self.dispatcher.observe_declaration(2, build_declaration(text))
        for _ in range(3):
            self._run_round()
        self._end_attempt(self.shard, "service/web/0", outcome="stopped")
        for _ in range(3):
            self._run_round()
        self.assertEqual(self.dispatcher.ledger.get("service/web/0").state, "cancelled")
        self.dispatcher.observe_declaration(3, build_declaration())
        for _ in range(3):
            self._run_round()
        entry = self.dispatcher.ledger.get("service/web/0")
        self.assertEqual((entry.state, entry.attempt), ("assigned", 2))

    def test_job_removed_before_its_assignment_is_sent_is_cancelled(self) -> None:
        """Guards against an attempt that stays assigned after its job was removed.

        The shard has never received the attempt, so it can't release it.
        """
        self._run_round()
        self.dispatcher.step()
        self._commit()
        self.assertEqual(self.dispatcher.ledger.get("job/load/0").state, "assigned")
        self.assertNotIn("job/load/0", self.shard.record.working)
        text = "[team a]\ncores = 64\nmemory_mb = 64000\n"
        self.dispatcher.observe_declaration(2, build_declaration(text))
        for _ in range(2):
            self._run_round()
        self.assertEqual(self.dispatcher.ledger.get("job/load/0").state, "cancelled")


if __name__ == "__main__":
    unittest.main()
