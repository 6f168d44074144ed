"""Tests of eviction, guaranteed shares, rejections and failures with several shards."""

from __future__ import annotations

import random
import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.dispatch import Dispatcher, Ledger
from coltsfootpier.dispatch._eviction import Candidate, choose_victims
from tests.builders import (
    build_declaration,
    build_shard,
    build_spec,
    build_sync_reply,
    build_task_report,
    build_vm,
    commit,
)

TEAM_TEXT = "[team {name}]\ncores = 64\nmemory_mb = 64000\n"
JOB_TEXT = (
    "[job {name}]\nteam = {team}\ntasks = {tasks}\ncores = {cores}\nmemory_mb = 100\n{more}\n"
)


def _build_team_text(name: str) -> str:
    return TEAM_TEXT.format(name=name)


def _build_job_text(
    name: str, *, tasks: int = 1, cores: float = 4, team: str = "a", more: str = ""
) -> str:
    more += "\nrun_time_s = 10"
    return JOB_TEXT.format(name=name, team=team, tasks=tasks, cores=cores, more=more)


class DispatcherPolicyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.shards = {}
        for shard, worker in (("r1", "w1"), ("r2", "w2")):
            state = build_shard(self.clock, shard=shard)
            state.observe_vms([build_vm("w1", state="gone"), build_vm(worker, rack=shard)])
            state.observe_reply(worker, build_sync_reply(worker))
            self.shards[shard] = state
        ledger = Ledger(epoch=1, writer="m1", record_count=2)
        ledger.load(())
        self.dispatcher = Dispatcher(clock=self.clock, ledger=ledger)
        self.dispatcher.observe_shards({"r1": 1, "r2": 1})
        self.writes = 0
        self.failing_workers: set[str] = set()
        self.done_tasks: set[str] = set()

    def _observe_declaration(self, revision: int, text: str) -> None:
        self.dispatcher.observe_declaration(revision, build_declaration(text))

    def _report_tasks(self, shard: str) -> None:
        state = self.shards[shard]
        for worker, view in state.workers.items():
            reports = []
            for entry in state.record.durable.values():
                if entry.worker != worker or entry.state not in ("placed", "stopping"):
                    continue
                outcome = "stopped" if entry.state == "stopping" else ""
                outcome = "failed" if worker in self.failing_workers else outcome
                outcome = "done" if entry.task in self.done_tasks else outcome
                state_name = "ended" if outcome else "running"
                reports.append(
                    build_task_report(entry.task, entry.attempt, state=state_name, outcome=outcome)
                )
            if view.vm.state == "live":
                reply = build_sync_reply(worker, tuple(reports), now_ms=self.clock.now_ms())
                state.observe_reply(worker, reply)

    def _run_rounds(self, count: int = 1) -> None:
        for _ in range(count):
            self.clock.advance(250.0)
            self.dispatcher.step()
            for record in self.dispatcher.ledger.records:
                self.writes += record.is_dirty
                commit(record)
            for shard, state in self.shards.items():
                request = self.dispatcher.build_next_request(shard, regular=True)
                self.assertIsNone(state.apply_request(request))
                state.place()
                state.check_capacity()
                commit(state.record)
                self._report_tasks(shard)
                state.place()
                commit(state.record)
                self.dispatcher.observe_reply(state.build_exchange_reply(full=True))

    def _list_states(self, job: str) -> list[str]:
        entries = self.dispatcher.ledger.iter_entries()
        return [entry.state for task, entry in entries if task.startswith(f"job/{job}/")]

    def _count_running(self, job: str) -> int:
        return self.dispatcher.count_running(job)

    def test_urgent_task_starts_on_a_full_fleet(self) -> None:
        """Guards against an urgent task that waits for batch tasks to end."""
        text = _build_team_text("a") + _build_job_text("load", tasks=8)
        self._observe_declaration(1, text)
        self._run_rounds(6)
        self.assertEqual(self._count_running("load"), 8)
        self._observe_declaration(2, text + _build_job_text("alarm", more="priority = urgent"))
        submitted_ms = self.clock.now_ms()
        while not self._count_running("alarm"):
            self._run_rounds()
            self.assertLess(self.clock.now_ms() - submitted_ms, 8_300.0)
        self._run_rounds(4)
        self.assertEqual(self._count_running("load"), 7)
        attempts = [
            entry.attempt
            for task, entry in self.dispatcher.ledger.iter_entries()
            if task.startswith("job/load/")
        ]
        self.assertEqual(sorted(attempts), [1] * 8)

    def test_urgent_tasks_do_not_take_another_team_below_its_share(self) -> None:
        """Guards against a flood of urgent tasks that starves another team."""
        text = (
            _build_team_text("a")
            + _build_team_text("b")
            + _build_job_text("load", tasks=8, team="b")
        )
        self._observe_declaration(1, text)
        self._run_rounds(6)
        self._observe_declaration(
            2, text + _build_job_text("flood", tasks=80, more="priority = urgent")
        )
        self._run_rounds(30)
        self.assertEqual((self._count_running("load"), self._count_running("flood")), (4, 4))

    def test_team_reclaims_lent_capacity(self) -> None:
        """Guards against a team that waits for the long jobs of another team to end."""
        text = _build_team_text("a") + _build_team_text("b") + _build_job_text("flood", tasks=80)
        self._observe_declaration(1, text)
        self._run_rounds(6)
        self.assertEqual(self._count_running("flood"), 8)
        self._observe_declaration(
            2, text + _build_job_text("small", tasks=4, team="b", more="priority = low")
        )
        self._run_rounds(30)
        self.assertEqual((self._count_running("small"), self._count_running("flood")), (4, 4))

    def test_queueing_delay_is_bounded_by_the_guaranteed_share(self) -> None:
        """Guards against a team that starves while another submits a flood of urgent tasks."""
        text = (
            _build_team_text("a")
            + _build_team_text("b")
            + _build_job_text("flood", tasks=200, more="priority = urgent")
        )
        self._observe_declaration(1, text)
        self._run_rounds(8)
        self._observe_declaration(
            2, text + _build_job_text("small", tasks=12, team="b", more="priority = low")
        )
        submitted_ms = self.clock.now_ms()
        started_ms: dict[str, float] = {}
        for _ in range(120):
            self._run_rounds()
            now_ms = self.clock.now_ms()
            for state in self.shards.values():
                for entry in state.record.durable.values():
                    if entry.state == "placed":
                        started_ms.setdefault(entry.task, now_ms)
            # Each task runs for 5 s.
            self.done_tasks = {
                task for task, at_ms in started_ms.items() if now_ms - at_ms >= 5_000
            }
        queueing_delays = [
            at_ms - submitted_ms
            for task, at_ms in started_ms.items()
            if task.startswith("job/small/")
        ]
        self.assertEqual(len(queueing_delays), 12)
        # The share is 4 of 8 tasks at a time, so the last of 12 tasks waits for two rounds of
        # 5 s, plus the delay before lent capacity is reclaimed and two exchanges for each of the
        # three rounds.
        self.assertLess(max(queueing_delays), 2 * 5_000 + 5_000 + 3 * 1_000)

    def test_states_are_complete_despite_lost_replies(self) -> None:
        """Guards against a dispatcher that keeps outdated states after a reply is lost."""
        rng = random.Random(1)
        jobs = "".join(_build_job_text(f"j{index}", tasks=3, cores=1) for index in range(6))
        self._observe_declaration(1, _build_team_text("a") + jobs)
        self._run_rounds(2)
        self.done_tasks = {f"job/j{index}/0" for index in range(6)}
        for _ in range(60):
            self.clock.advance(250.0)
            self.dispatcher.step()
            for record in self.dispatcher.ledger.records:
                commit(record)
            for shard, state in self.shards.items():
                self._report_tasks(shard)
                commit(state.record)
                request = self.dispatcher.build_next_request(shard, regular=True)
                state.apply_request(request)
                commit(state.record)
                reply = state.build_exchange_reply(full=request.full)
                if rng.random() < 0.5:
                    continue
                self.dispatcher.observe_reply(reply)
                link = self.dispatcher.links[shard]
                held = {item.task: item for item in state.list_attempt_states()}
                self.assertEqual(link.states, held)
                running = sum(item.state == "running" for item in held.values())
                self.assertEqual(sum(link.running_counts.values()), running)
                workers = {item.worker: item for item in state.list_capacities()}
                self.assertEqual(link.workers, workers)

    def test_broken_worker_does_not_fail_good_jobs(self) -> None:
        """Guards against marking good jobs as failed because of a broken worker."""
        self.failing_workers = {"w1"}
        text = _build_team_text("a") + "".join(
            _build_job_text(f"j{index}", cores=2) for index in range(8)
        )
        self._observe_declaration(1, text)
        self._run_rounds(60)
        states = [entry.state for _, entry in self.dispatcher.ledger.iter_entries()]
        self.assertEqual(states, ["assigned"] * 8)
        self.assertEqual(sum(self._count_running(f"j{index}") for index in range(8)), 8)

    def test_job_is_not_rejected_while_a_shard_has_no_workers(self) -> None:
        """Guards against rejecting a job while the shard with large workers is unreachable."""
        self.shards["r2"].observe_vms([build_vm("w2", rack="r2", state="gone")])
        self._observe_declaration(1, _build_team_text("a") + _build_job_text("large", cores=32))
        self._run_rounds(100)
        self.assertEqual(self._list_states("large"), ["pending"])
        reply = build_sync_reply("w2", cores=32.0)
        self.shards["r2"].observe_vms([build_vm("w2", rack="r2")])
        self.shards["r2"].observe_reply("w2", reply)
        self.dispatcher.observe_reply(self.shards["r2"].build_exchange_reply(full=True))
        self._report_tasks = lambda shard: None
        self._run_rounds(8)
        self.assertEqual(self._list_states("large"), ["assigned"])

    def test_job_that_fits_no_worker_is_rejected(self) -> None:
        """Guards against a job that waits indefinitely for a worker of sufficient size.

        The reason must name the required size.
        """
        self._observe_declaration(
            1, _build_team_text("a") + _build_job_text("large", tasks=3, cores=32)
        )
        self._run_rounds(60)
        self.assertEqual(self._list_states("large"), ["refused"] * 3)
        self.assertIn("32.0", self.dispatcher.ledger.get("job/large/0").reason)

    def test_mass_cancellation_writes_each_record_only_a_few_times(self) -> None:
        """Guards against a number of store writes that grows with the cancelled jobs."""
        text = _build_team_text("a") + "".join(
            _build_job_text(f"j{index}", tasks=50) for index in range(20)
        )
        self._observe_declaration(1, text)
        self._run_rounds(10)
        self.writes = 0
        self._observe_declaration(2, _build_team_text("a"))
        self._run_rounds(10)
        states = [entry.state for _, entry in self.dispatcher.ledger.iter_entries()]
        self.assertEqual(states, ["cancelled"] * 1_000)
        self.assertLessEqual(self.writes, 6)

    def test_capacity_is_reserved_until_reported(self) -> None:
        """Guards against assignments beyond a shard's capacity before it reports earlier ones."""
        self._observe_declaration(1, _build_team_text("a") + _build_job_text("load", tasks=20))
        self._run_rounds()
        for _ in range(4):
            self.dispatcher.step()
            for record in self.dispatcher.ledger.records:
                commit(record)
        self.assertEqual(self._list_states("load").count("assigned"), 8)

    def test_fewest_and_cheapest_tasks_are_evicted(self) -> None:
        """Guards against evictions that lose more work than necessary."""
        names = {"job/a/0": (2.0, 5.0), "job/b/0": (4.0, 9.0), "job/c/0": (4.0, 3.0)}
        candidates = [
            Candidate(spec=build_spec(name, cores=cores), lost_core_ms=lost_core_ms)
            for name, (cores, lost_core_ms) in names.items()
        ]
        chosen = choose_victims((4.0, 10, 0), (0.0, 60_000, 0), candidates)
        self.assertEqual([item.spec.name for item in chosen], ["job/c/0"])
        chosen = choose_victims((6.0, 10, 0), (0.0, 60_000, 0), candidates)
        self.assertEqual(sum(item.spec.cores for item in chosen) >= 6.0, True)
        self.assertEqual(len(chosen), 2)
        self.assertIsNone(choose_victims((16.0, 10, 0), (0.0, 60_000, 0), candidates))


if __name__ == "__main__":
    unittest.main()
