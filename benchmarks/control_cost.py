"""Processor time of the dispatcher and a shard owner at several sizes.

All declared tasks are running. Nothing changes in an idle second; in a busy second some tasks end
and the same number start. JSON and HTTP are not included.
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable

import attrs

from coltsfootpier.clock import VirtualClock
from coltsfootpier.declaration import Declaration, Job, Service, Team
from coltsfootpier.dispatch import Dispatcher, Ledger
from coltsfootpier.placement import (
    AttemptState,
    ExchangeReply,
    ExchangeRequest,
    Release,
    ShardState,
    WorkerCapacity,
)
from coltsfootpier.platform import Item, Vm
from coltsfootpier.records import VersionedRecord
from coltsfootpier.workers import SyncReply, TaskReport

# Tasks, teams and workers: a current deployment, two intermediate sizes, and the target size.
SIZES = ((100, 4, 24), (1_000, 10, 80), (5_000, 30, 250), (13_100, 67, 650))
_WORKERS_PER_SHARD = 8
# Task starts in a busy second at the target size.
STARTS = 53


def commit(record: VersionedRecord) -> None:
    """Commit the pending write of a record, as an available store would."""
    write = record.start_write()
    if write is not None:
        record.confirm(write.expected_version + 1)


def build_declaration(tasks: int, teams: int) -> Declaration:
    """Build teams with one service and four jobs each; about 36 % of the tasks are runners."""
    tasks_per_team = tasks // teams
    runners = tasks_per_team * 36 // 100
    size = {"cores": 0.5, "memory_mb": 500, "accelerators": 0}
    declaration = Declaration.empty()
    for index in range(teams):
        team = f"t{index}"
        quota = {"cores": 1e6, "memory_mb": 10**9, "accelerators": 0}
        declaration.teams[team] = Team(name=team, weight=1.0, **quota)
        declaration.services[f"s{index}"] = Service(
            name=f"s{index}",
            team=team,
            runners=runners,
            slots=8,
            connections=64,
            latency_ms=100.0,
            objective=0.99,
            priority="high",
            depends_on=(),
            **size,
        )
        for part_index in range(4):
            name = f"j{index}-{part_index}"
            declaration.jobs[name] = Job(
                name=name,
                team=team,
                tasks=(tasks_per_team - runners) // 4,
                run_time_ms=60_000.0,
                priority="normal",
                checkpointing=True,
                every_ms=0.0,
                depends_on=(),
                **size,
            )
    return declaration


class Fleet:
    """Dispatcher whose tasks are all running; shard owners are replaced by generated replies."""

    def __init__(self, tasks: int, teams: int, workers: int) -> None:
        self.clock = VirtualClock()
        ledger = Ledger(epoch=1, writer="m1")
        ledger.load(())
        self.dispatcher = Dispatcher(clock=self.clock, ledger=ledger)
        self._workers = {
            f"r{index}": [f"w{index}-{item}" for item in range(_WORKERS_PER_SHARD)]
            for index in range(workers // _WORKERS_PER_SHARD)
        }
        self._rng = random.Random(1)
        self.dispatcher.observe_shards(dict.fromkeys(self._workers, 1))
        self._attempts: dict[str, dict[str, AttemptState]] = {shard: {} for shard in self._workers}
        self.dispatcher.observe_declaration(1, build_declaration(tasks, teams))
        for _ in range(200):
            self.run_round()
            if (
                len([1 for attempts in self._attempts.values() for _ in attempts])
                >= tasks * 95 // 100
            ):
                break

    def run_round(self) -> None:
        """Advance the clock by one period and exchange with each shard."""
        self.clock.advance(1_000.0)
        self.dispatcher.step()
        for record in self.dispatcher.ledger.records:
            commit(record)
        for shard in self._workers:
            self.exchange(shard)

    def exchange(self, shard: str, *, full: bool = True) -> None:
        """Apply the next request to a shard and pass its reply to the dispatcher."""
        request = self.dispatcher.next_request(shard, regular=True)
        attempts = self._attempts[shard]
        names = self._workers[shard]
        for item in request.assign:
            worker = names[len(attempts) % len(names)]
            attempts[item.task] = AttemptState(
                task=item.task, attempt=item.attempt, state="running", worker=worker
            )
        self.dispatcher.observe_reply(self.build_reply(shard, request.sequence, full=full))

    def build_reply(self, shard: str, sequence: int, *, full: bool = True) -> ExchangeReply:
        """Build a shard's reply: workers of 16 cores with tasks of half a core."""
        attempts = self._attempts[shard]
        free = 16.0 - 0.5 * len(attempts) / _WORKERS_PER_SHARD
        workers = tuple(
            WorkerCapacity(
                worker=name,
                availability_zone="z1",
                rack=shard,
                cores=16.0,
                memory_mb=60_000,
                accelerators=0,
                free_cores=free,
                free_memory_mb=60_000 - 500 * len(attempts) // _WORKERS_PER_SHARD,
                free_accelerators=0,
            )
            for name in self._workers[shard]
        )
        return ExchangeReply(
            shard=shard,
            shard_epoch=1,
            sequence=sequence,
            states=tuple(attempts.values()) if full else (),
            workers=workers if full else (),
            full=full,
        )

    def replace_tasks(self, count: int) -> None:
        """Simulate a second, in four steps, in which `count` tasks end and as many start."""
        shards = list(self._workers)
        for _ in range(4):
            self.clock.advance(250.0)
            ended: dict[str, list[AttemptState]] = {}
            for _ in range(count // 4):
                shard = self._rng.choice(shards)
                task = self._rng.choice(list(self._attempts[shard]))
                ended.setdefault(shard, []).append(self._attempts[shard].pop(task))
            for shard, states in ended.items():
                request = self.dispatcher.next_request(shard, regular=True)
                reply = self.build_reply(shard, request.sequence, full=False)
                gone = tuple(state.task for state in states)
                released = tuple(
                    Release(task=state.task, attempt=state.attempt, outcome="stopped")
                    for state in states
                )
                self.dispatcher.observe_reply(attrs.evolve(reply, released=released, gone=gone))
            self.dispatcher.step()
            for record in self.dispatcher.ledger.records:
                commit(record)
            for shard in shards:
                request = self.dispatcher.next_request(shard, regular=False)
                if request is not None:
                    self._start_assigned(shard, request)

    def _start_assigned(self, shard: str, request: ExchangeRequest) -> None:
        names = self._workers[shard]
        started = tuple(
            AttemptState(
                task=item.task,
                attempt=item.attempt,
                state="running",
                worker=names[len(self._attempts[shard]) % len(names)],
            )
            for item in request.assign
        )
        self._attempts[shard].update((state.task, state) for state in started)
        reply = self.build_reply(shard, request.sequence, full=False)
        self.dispatcher.observe_reply(attrs.evolve(reply, states=started))

    def poll(self) -> None:
        """Query the next request for each shard while no regular request is due."""
        for shard in self._workers:
            self.dispatcher.next_request(shard, regular=False)

    def exchange_unchanged(self) -> None:
        """Process a regular reply without changes from each shard."""
        for shard in self._workers:
            self.exchange(shard, full=False)


def build_shard(tasks: int) -> ShardState:
    """Build the owner of a shard with 8 workers that run `tasks` tasks."""
    clock = VirtualClock()
    shard = ShardState(
        shard="r1",
        epoch=1,
        writer="m1",
        clock=clock,
        worker_lease_ms=20_000.0,
        hold_over_ms=1_800_000.0,
    )
    entries = {}
    names = [f"w{index}" for index in range(_WORKERS_PER_SHARD)]
    for index in range(tasks):
        task = f"job/load{index % 10}/{index}"
        spec = {"name": task, "kind": "batch", "declared": f"load{index % 10}", "team": "a"}
        entries[task] = {
            "task": task,
            "attempt": 1,
            "state": "placed",
            "worker": names[index % len(names)],
            "incarnation": "i1",
            "spec": {**spec, "cores": 0.5, "memory_mb": 500},
        }
    shard.load(Item(f"{shard.record.key}/base", {"header": {}, "entries": entries}, 1))
    commit(shard.record)
    shard.observe_vms(
        Vm(name=name, state="live", availability_zone="z1", rack="r1", address="127.0.0.1:1")
        for name in names
    )
    for name in names:
        shard.observe_reply(name, build_worker_reply(shard, name))
    return shard


def build_worker_reply(shard: ShardState, worker: str) -> SyncReply:
    """Build the reply of a worker that runs all tasks placed on it."""
    return SyncReply(
        worker=worker,
        incarnation="i1",
        now_ms=0.0,
        cores=16.0,
        memory_mb=60_000,
        tasks=tuple(
            TaskReport(task=entry.task, attempt=entry.attempt, state="running", slowdown=1.1)
            for entry in shard.record.durable.values()
            if entry.worker == worker
        ),
    )


def measure_ms(call: Callable[[], object], *, repeats: int) -> float:
    """Return the mean processor time of a call in ms, the lowest of three series."""
    series = []
    for _ in range(3):
        started_s = time.process_time()
        for _ in range(repeats):
            call()
        series.append((time.process_time() - started_s) * 1000 / repeats)
    return min(series)


@attrs.frozen
class Cost:
    """Processor time in ms at one size; `step` to `busy_second` cover all shards."""

    tasks: int
    workers: int
    step: float
    poll: float
    exchanges: float
    busy_second: float
    plan_sync: float
    observe_reply: float

    @property
    def idle_second(self) -> float:
        """Processor time of the dispatcher in ms for a second in which nothing changes."""
        return 4 * (self.step + self.poll) + self.exchanges


def measure(tasks: int, teams: int, workers: int) -> Cost:
    """Measure the costs at one size."""
    fleet = Fleet(tasks, teams, workers)
    shard = build_shard(tasks * _WORKERS_PER_SHARD // workers)
    reply = build_worker_reply(shard, "w0")
    return Cost(
        tasks=tasks,
        workers=workers,
        step=measure_ms(fleet.dispatcher.step, repeats=5),
        poll=measure_ms(fleet.poll, repeats=3),
        exchanges=measure_ms(fleet.exchange_unchanged, repeats=3),
        busy_second=measure_ms(lambda: fleet.replace_tasks(STARTS), repeats=5),
        plan_sync=measure_ms(
            lambda: shard.plan_sync("w0", may_start=True, may_renew_batch=True), repeats=200
        ),
        observe_reply=measure_ms(lambda: shard.observe_reply("w0", reply), repeats=200),
    )


def main() -> int:
    """Print the table of costs and return the exit code."""
    print("| tasks | workers | step | next_request, all shards | exchange, all shards |", end="")
    print(f" idle second | second with {STARTS} starts |", end="")
    print(" plan_sync, a worker | observe_reply, a worker |")
    print("|" + "---|" * 9)
    for size in SIZES:
        cost = measure(*size)
        values = (cost.step, cost.poll, cost.exchanges, cost.idle_second, cost.busy_second)
        cells = " | ".join(f"{value:.2f}" for value in values)
        worker = f"{cost.plan_sync:.3f} | {cost.observe_reply:.3f}"
        print(f"| {cost.tasks} | {cost.workers} | {cells} | {worker} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
