"""Processor time of the dispatcher and of a shard owner at several sizes.

All declared tasks are running. In an idle second nothing changes; in a busy second some tasks end
and the same number of tasks start. Encoding to JSON and HTTP are not included.
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

# Numbers of tasks, teams and workers: a current deployment, two sizes in between, the target size.
SIZES = ((100, 4, 24), (1_000, 10, 80), (5_000, 30, 250), (13_100, 67, 650))
_WORKERS_PER_SHARD = 8
# Task starts in a busy second at the target size.
STARTS_PER_S = 53


def commit_pending_write(record: VersionedRecord) -> None:
    """Commit the pending write of a record, as an available store would."""
    write = record.start_write()
    if write is not None:
        record.confirm(write.expected_version + 1)


def build_declaration(tasks: int, teams: int) -> Declaration:
    """Build a declaration of teams with one service and four jobs each.

    About 36 % of the tasks are runners of the services.
    """
    tasks_per_team = tasks // teams
    runners = tasks_per_team * 36 // 100
    resources = {"cores": 0.5, "memory_mb": 500, "accelerators": 0}
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
            **resources,
        )
        for job_index in range(4):
            name = f"j{index}-{job_index}"
            declaration.jobs[name] = Job(
                name=name,
                team=team,
                tasks=(tasks_per_team - runners) // 4,
                run_time_ms=60_000.0,
                priority="normal",
                checkpointing=True,
                every_ms=0.0,
                depends_on=(),
                **resources,
            )
    return declaration


class DispatcherSimulation:
    """Dispatcher whose tasks are all running, and simulated shards.

    There are no shard owners: the replies of the shards are generated from the assignments.
    """

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
        """Advance the clock by 1 s, run a dispatcher step and exchange with each shard."""
        self.clock.advance(1_000.0)
        self.dispatcher.step()
        for record in self.dispatcher.ledger.records:
            commit_pending_write(record)
        for shard in self._workers:
            self.exchange_with_shard(shard)

    def exchange_with_shard(self, shard: str, *, full: bool = True) -> None:
        """Start the tasks of the next request to a shard, and pass its reply to the dispatcher."""
        request = self.dispatcher.build_next_request(shard, regular=True)
        attempts = self._attempts[shard]
        worker_names = self._workers[shard]
        for item in request.assign:
            worker = worker_names[len(attempts) % len(worker_names)]
            attempts[item.task] = AttemptState(
                task=item.task, attempt=item.attempt, state="running", worker=worker
            )
        self.dispatcher.observe_reply(self.build_reply(shard, request.sequence, full=full))

    def build_reply(self, shard: str, sequence: int, *, full: bool = True) -> ExchangeReply:
        """Build the reply of a shard; workers have 16 cores, and tasks use half a core."""
        attempts = self._attempts[shard]
        free_cores = 16.0 - 0.5 * len(attempts) / _WORKERS_PER_SHARD
        workers = tuple(
            WorkerCapacity(
                worker=name,
                availability_zone="z1",
                rack=shard,
                cores=16.0,
                memory_mb=60_000,
                accelerators=0,
                free_cores=free_cores,
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
        """Simulate one second in which about `count` tasks end and as many start.

        The second consists of four periods of 250 ms, with a dispatcher step in each. A quarter of
        `count`, rounded down, ends in each period.
        """
        shards = list(self._workers)
        for _ in range(4):
            self.clock.advance(250.0)
            ended: dict[str, list[AttemptState]] = {}
            for _ in range(count // 4):
                shard = self._rng.choice(shards)
                task = self._rng.choice(list(self._attempts[shard]))
                ended.setdefault(shard, []).append(self._attempts[shard].pop(task))
            for shard, states in ended.items():
                request = self.dispatcher.build_next_request(shard, regular=True)
                reply = self.build_reply(shard, request.sequence, full=False)
                gone_tasks = tuple(state.task for state in states)
                released = tuple(
                    Release(task=state.task, attempt=state.attempt, outcome="stopped")
                    for state in states
                )
                self.dispatcher.observe_reply(
                    attrs.evolve(reply, released=released, gone=gone_tasks)
                )
            self.dispatcher.step()
            for record in self.dispatcher.ledger.records:
                commit_pending_write(record)
            for shard in shards:
                request = self.dispatcher.build_next_request(shard, regular=False)
                if request is not None:
                    self._start_assigned_tasks(shard, request)

    def _start_assigned_tasks(self, shard: str, request: ExchangeRequest) -> None:
        """Report the tasks that a request assigns to a shard as running."""
        worker_names = self._workers[shard]
        started = tuple(
            AttemptState(
                task=item.task,
                attempt=item.attempt,
                state="running",
                worker=worker_names[len(self._attempts[shard]) % len(worker_names)],
            )
            for item in request.assign
        )
        self._attempts[shard].update((state.task, state) for state in started)
        reply = self.build_reply(shard, request.sequence, full=False)
        self.dispatcher.observe_reply(attrs.evolve(reply, states=started))

    def poll_shards(self) -> None:
        """Ask the dispatcher for a request to each shard while no regular request is due."""
        for shard in self._workers:
            self.dispatcher.build_next_request(shard, regular=False)

    def exchange_unchanged(self) -> None:
        """Exchange with each shard; the replies contain no changes."""
        for shard in self._workers:
            self.exchange_with_shard(shard, full=False)


def build_shard(tasks: int) -> ShardState:
    """Build the owner of a shard whose 8 workers run `tasks` tasks."""
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
    worker_names = [f"w{index}" for index in range(_WORKERS_PER_SHARD)]
    for index in range(tasks):
        task = f"job/load{index % 10}/{index}"
        spec = {"name": task, "kind": "batch", "declared": f"load{index % 10}", "team": "a"}
        entries[task] = {
            "task": task,
            "attempt": 1,
            "state": "placed",
            "worker": worker_names[index % len(worker_names)],
            "incarnation": "i1",
            "spec": {**spec, "cores": 0.5, "memory_mb": 500},
        }
    shard.load(Item(f"{shard.record.key}/base", {"header": {}, "entries": entries}, 1))
    commit_pending_write(shard.record)
    shard.observe_vms(
        Vm(name=name, state="live", availability_zone="z1", rack="r1", address="127.0.0.1:1")
        for name in worker_names
    )
    for name in worker_names:
        shard.observe_reply(name, build_worker_reply(shard, name))
    return shard


def build_worker_reply(shard: ShardState, worker: str) -> SyncReply:
    """Build the sync reply of a worker that runs all tasks placed on it."""
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


def measure_cpu_ms(call: Callable[[], object], *, repeats: int) -> float:
    """Return the processor time of one call in ms: the lowest mean of three series of calls."""
    series = []
    for _ in range(3):
        started_s = time.process_time()
        for _ in range(repeats):
            call()
        series.append((time.process_time() - started_s) * 1000 / repeats)
    return min(series)


@attrs.frozen
class Costs:
    """Processor time at one size, in milliseconds.

    Parameters
    ----------
    tasks, workers : int
        Size of the deployment.
    step_ms : float
        One dispatcher step.
    poll_ms : float
        Asking the dispatcher for a request to each shard.
    exchanges_ms : float
        The dispatcher's part of an exchange without changes with each shard.
    busy_second_ms : float
        The dispatcher's part of a second in which about `STARTS_PER_S` tasks end and as many start.
    plan_sync_ms, observe_reply_ms : float
        Building the request to one worker, and processing its reply, by a shard owner.
    """

    tasks: int
    workers: int
    step_ms: float
    poll_ms: float
    exchanges_ms: float
    busy_second_ms: float
    plan_sync_ms: float
    observe_reply_ms: float

    @property
    def idle_second_ms(self) -> float:
        """Processor time of the dispatcher in ms for a second without changes.

        It consists of four steps and one exchange with each shard.
        """
        return 4 * (self.step_ms + self.poll_ms) + self.exchanges_ms


def measure(tasks: int, teams: int, workers: int) -> Costs:
    """Measure the costs of the dispatcher and of one shard owner at one size."""
    simulation = DispatcherSimulation(tasks, teams, workers)
    shard = build_shard(tasks * _WORKERS_PER_SHARD // workers)
    reply = build_worker_reply(shard, "w0")
    return Costs(
        tasks=tasks,
        workers=workers,
        step_ms=measure_cpu_ms(simulation.dispatcher.step, repeats=5),
        poll_ms=measure_cpu_ms(simulation.poll_shards, repeats=3),
        exchanges_ms=measure_cpu_ms(simulation.exchange_unchanged, repeats=3),
        busy_second_ms=measure_cpu_ms(lambda: simulation.replace_tasks(STARTS_PER_S), repeats=5),
        plan_sync_ms=measure_cpu_ms(
            lambda: shard.plan_sync("w0", may_start=True, may_renew_batch=True), repeats=200
        ),
        observe_reply_ms=measure_cpu_ms(lambda: shard.observe_reply("w0", reply), repeats=200),
    )


def main() -> int:
    """Print the table of costs and return the exit code."""
    print("| tasks | workers | step | next_request, all shards | exchange, all shards |", end="")
    print(f" idle second | second with {STARTS_PER_S} starts |", end="")
    print(" plan_sync, a worker | observe_reply, a worker |")
    print("|" + "---|" * 9)
    for size in SIZES:
        costs = measure(*size)
        costs_ms = (
            costs.step_ms,
            costs.poll_ms,
            costs.exchanges_ms,
            costs.idle_second_ms,
            costs.busy_second_ms,
        )
        shard_columns = " | ".join(f"{value:.2f}" for value in costs_ms)
        worker_columns = f"{costs.plan_sync_ms:.3f} | {costs.observe_reply_ms:.3f}"
        print(
            f"| {costs.tasks} | {costs.workers} | {shard_columns} | {worker_columns} |", flush=True
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
