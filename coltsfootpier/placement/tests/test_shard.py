"""Tests of the shard owner's state machine."""

from __future__ import annotations

import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.placement import AttemptKey, ShardState
from coltsfootpier.platform import Item
from tests.builders import (
    build_assignment,
    build_exchange_request,
    build_service_spec,
    build_shard,
    build_spec,
    build_sync_reply,
    build_task_report,
    commit,
    list_commands,
)


def _list_sync_commands(shard: ShardState, **options: bool) -> list[tuple[str, str, int]]:
    return list_commands(
        shard.plan_sync("w1", **{"may_start": True, "may_renew_batch": True, **options})
    )


class ShardStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.shard = build_shard(self.clock)
        self.spec = build_spec()

    def _assign(self, spec=None, sequence: int = 1, attempt: int = 1) -> None:
        assignment = build_assignment(spec or self.spec, attempt)
        self.shard.apply_request(build_exchange_request(sequence, assign=(assignment,)))

    def test_nothing_starts_before_the_record_is_durable(self) -> None:
        """Guards against starting an attempt that a failed write of the record would lose."""
        self._assign()
        self.assertEqual(_list_sync_commands(self.shard), [])
        commit(self.shard.record)
        self.assertEqual(_list_sync_commands(self.shard), [("start", "job/load/0", 1)])

    def test_owner_with_expired_ownership_renews_but_does_not_start(self) -> None:
        """Guards against two owners that start the same attempt during a store outage."""
        self._assign()
        commit(self.shard.record)
        self.assertEqual(_list_sync_commands(self.shard, may_start=False), [])
        self.shard.observe_reply("w1", build_sync_reply(tasks=(build_task_report("job/load/0"),)))
        self.assertEqual(
            _list_sync_commands(self.shard, may_start=False), [("renew", "job/load/0", 1)]
        )
        self.assertEqual(
            _list_sync_commands(self.shard, may_start=False, may_renew_batch=False), []
        )

    def test_duplicate_exchange_does_not_place_again(self) -> None:
        """Guards against a delayed copy of an earlier request that restarts an ended attempt."""
        self._assign()
        commit(self.shard.record)
        ended = build_task_report("job/load/0", state="ended", outcome="done")
        self.shard.observe_reply("w1", build_sync_reply(tasks=(ended,)))
        commit(self.shard.record)
        key = AttemptKey("job/load/0", 1)
        self.shard.apply_request(build_exchange_request(2, acknowledge=(key,)))
        self.assertIsNotNone(
            self.shard.apply_request(
                build_exchange_request(1, assign=(build_assignment(self.spec),))
            )
        )
        self.assertEqual(self.shard.record.working, {})

    def test_worker_is_not_overcommitted(self) -> None:
        """Guards against overcommitting a worker: five tasks of 4 cores don't fit on 16 cores."""
        specs = [build_spec(f"job/load/{index}") for index in range(5)]
        assign = tuple(build_assignment(spec) for spec in specs)
        self.shard.apply_request(build_exchange_request(1, assign=assign))
        states = [entry.state for entry in self.shard.record.working.values()]
        self.assertEqual(states.count("placed"), 4)
        self.shard.check_capacity()

    def test_silent_worker_keeps_its_tasks_until_the_lease_expires(self) -> None:
        """Guards against a second attempt while the first may still run.

        The lease of 20 s is extended by the assumed clock drift.
        """
        self._assign()
        commit(self.shard.record)
        _list_sync_commands(self.shard)
        self.clock.advance(20_000.0)
        self.shard.expire_leases()
        self.assertEqual(self.shard.record.working["job/load/0"].state, "placed")
        self.clock.advance(2_100.0)
        self.shard.expire_leases()
        self.assertEqual(self.shard.record.working["job/load/0"].state, "released")

    def test_lease_on_a_slow_worker_clock_does_not_outlast_its_computed_expiry(self) -> None:
        """Guards against a second attempt while the first still holds a lease.

        Replies are lost for 60 s, and the worker's clock runs slower than the owner's.
        """
        self._assign()
        commit(self.shard.record)
        running = (build_task_report("job/load/0"),)
        self.shard.observe_reply("w1", build_sync_reply(now_ms=0.0, tasks=running))
        self.clock.advance(60_000.0)
        request = self.shard.plan_sync("w1", may_start=True, may_renew_batch=True)
        worker_expiry_ms = request.commands[0].lease_until_ms
        worker_now_ms = 60_000.0 / 1.09
        owner_expiry_ms = 22_000.0
        self.assertLessEqual((worker_expiry_ms - worker_now_ms) * 1.09, owner_expiry_ms)

    def test_new_owner_waits_for_the_hold_over_of_the_previous_owner(self) -> None:
        """Guards against a second attempt while a partitioned owner still renews the first."""
        self._assign()
        commit(self.shard.record)
        stored_record = {
            "header": {"epoch": 1, "token": "t"},
            "entries": {
                "job/load/0": {
                    "task": "job/load/0",
                    "attempt": 1,
                    "state": "placed",
                    "worker": "w1",
                    "incarnation": "i1",
                    "spec": {
                        "name": "job/load/0",
                        "kind": "batch",
                        "declared": "load",
                        "team": "a",
                        "cores": 4.0,
                        "memory_mb": 1000,
                    },
                }
            },
        }
        new_owner = ShardState(
            shard="r1",
            epoch=2,
            writer="m2",
            clock=self.clock,
            worker_lease_ms=20_000.0,
            hold_over_ms=1_800_000.0,
        )
        new_owner.load(Item(f"{new_owner.record.key}/base", stored_record, 7))
        self.clock.advance(1_800_000.0)
        new_owner.expire_leases()
        self.assertEqual(new_owner.record.working["job/load/0"].state, "placed")
        new_owner.retire_previous_owner()
        self.clock.advance(22_100.0)
        new_owner.expire_leases()
        self.assertEqual(new_owner.record.working["job/load/0"].state, "released")

    def test_runner_of_a_silent_worker_is_replaced_but_stays_charged(self) -> None:
        """Guards against overcommitting a worker on which an orphaned runner still runs."""
        spec = build_service_spec()
        self._assign(spec)
        commit(self.shard.record)
        _list_sync_commands(self.shard)
        self.clock.advance(20_500.0)
        self.shard.expire_leases()
        entry = self.shard.record.working["service/web/0"]
        self.assertEqual((entry.state, entry.is_charged), ("orphaned", True))


if __name__ == "__main__":
    unittest.main()
