"""Processor time, memory and record sizes of the decision logic, by size of the deployment.

The logic runs in this process, without daemons, HTTP and a store.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

from benchmarks._linear_fit import LinearFit
from coltsfootpier.burn import RequestStats
from coltsfootpier.clock import VirtualClock
from coltsfootpier.declaration import expand, parse
from coltsfootpier.dispatch import Dispatcher, Ledger
from coltsfootpier.placement import Assignment, ExchangeRequest, ShardState
from coltsfootpier.platform import Vm
from coltsfootpier.records import VersionedRecord
from coltsfootpier.routing import Outcome, Router, Runner, Ticket
from coltsfootpier.transport import decode, encode
from coltsfootpier.workers import SyncReply, TaskReport

_WORKERS_PER_SHARD = 8
_SERVICE_TASKS_PER_WORKER = 7
_BATCH_TASKS_PER_WORKER = 13
_WORKER_LEASE_MS = 20_000.0
_HOLD_OVER_MS = 1_800_000.0


def measure_cpu_ms(call: Callable[[], object], *, repeats: int = 20) -> float:
    """Return the processor time of one call in ms: the lowest mean of three series of calls."""
    lowest_ms = float("inf")
    for _ in range(3):
        started_ns = time.process_time_ns()
        for _ in range(repeats):
            call()
        lowest_ms = min(lowest_ms, (time.process_time_ns() - started_ns) / repeats / 1e6)
    return lowest_ms


def measure_memory_mb(build: Callable[[], object]) -> float:
    """Return the memory in MB that the object built by `build` occupies."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size_bytes / 1e6


def build_declaration_text(*, workers: int, teams: int) -> str:
    """Return a declaration with as many tasks per worker as at the target size."""
    sections = [f"[team t{team}]\ncores = 100000\nmemory_mb = 100000000\n" for team in range(teams)]
    for index in range(max(teams, workers // 4)):
        team = f"t{index % teams}"
        service_count = max(teams, workers // 4)
        runners = workers * _SERVICE_TASKS_PER_WORKER // service_count
        tasks = workers * _BATCH_TASKS_PER_WORKER // service_count
        sections.append(
            f"[service s{index}]\nteam = {team}\nrunners = {runners}\ncores = 0.5\n"
            f"memory_mb = 500\nlatency_ms = 100\n"
        )
        sections.append(
            f"[job j{index}]\nteam = {team}\ntasks = {tasks}\ncores = 0.5\nmemory_mb = 500\n"
            f"run_time_s = 86400\n"
        )
    return "\n".join(sections)


def _commit_write(record: VersionedRecord) -> None:
    """Commit the pending write of a record, as an available store would."""
    write = record.start_write()
    if write is not None:
        record.confirm(write.expected_version + 1)


def _build_shard(clock: VirtualClock, name: str, workers: int) -> ShardState:
    shard = ShardState(
        shard=name,
        epoch=1,
        writer="m1",
        clock=clock,
        worker_lease_ms=_WORKER_LEASE_MS,
        hold_over_ms=_HOLD_OVER_MS,
    )
    shard.load()
    _commit_write(shard.record)
    vms = [
        Vm(name=f"{name}-{index}", state="live", availability_zone="z1", rack=name, address="h:1")
        for index in range(workers)
    ]
    shard.observe_vms(vms)
    for vm in vms:
        shard.observe_reply(vm.name, _build_sync_reply(vm.name, ()))
    return shard


def _build_sync_reply(worker: str, tasks: tuple[TaskReport, ...]) -> SyncReply:
    return SyncReply(
        worker=worker, incarnation="i1", now_ms=0.0, cores=16.0, memory_mb=60_000, tasks=tasks
    )


class ControlPlane:
    """Dispatcher and shard owners that exchange directly; all declared tasks are running.

    Parameters
    ----------
    workers, teams : int
        Number of workers and of teams.
    """

    def __init__(self, *, workers: int, teams: int) -> None:
        self.clock = VirtualClock()
        self.declaration = parse(build_declaration_text(workers=workers, teams=teams)).unwrap()
        self.shards = {
            f"r{index}": _build_shard(self.clock, f"r{index}", _WORKERS_PER_SHARD)
            for index in range(workers // _WORKERS_PER_SHARD)
        }
        ledger = Ledger(epoch=1, writer="m1")
        ledger.load(())
        self.dispatcher = Dispatcher(clock=self.clock, ledger=ledger)
        self.dispatcher.observe_shards(dict.fromkeys(self.shards, 1))
        self.dispatcher.observe_declaration(1, self.declaration)
        self.task_count = len(expand(self.declaration))
        for _ in range(200):
            self._run_round()
            self.clock.advance(250.0)
            if self._count_assigned() == self.task_count:
                break
        for _ in range(2):
            self._run_round()

    def _count_assigned(self) -> int:
        return sum(entry.state == "assigned" for _, entry in self.dispatcher.ledger.iter_entries())

    def _run_round(self) -> None:
        """Run a dispatcher step and an exchange with each shard, which places and starts tasks."""
        self.dispatcher.step()
        for record in self.dispatcher.ledger.records:
            _commit_write(record)
        for name, shard in self.shards.items():
            request = self.dispatcher.build_next_request(name, regular=True)
            if request is None:
                continue
            shard.apply_request(request)
            for _ in range(3):
                _commit_write(shard.record)
                shard.place()
            for worker in shard.workers:
                shard.observe_reply(worker, self._build_all_running_reply(shard, worker))
            self.dispatcher.observe_reply(shard.build_exchange_reply(full=request.full))

    def _build_all_running_reply(self, shard: ShardState, worker: str) -> SyncReply:
        reports = tuple(
            TaskReport(
                task=entry.task,
                attempt=entry.attempt,
                state="running",
                checkpoint="100",
                address="127.0.0.1:1",
                cores=0.5,
                memory_mb=500,
            )
            for entry in shard.record.durable.values()
            if entry.worker == worker
        )
        return _build_sync_reply(worker, reports)


def measure_dispatcher(sizes: tuple[int, ...], teams: int) -> list[LinearFit]:
    """Measure a dispatcher step, an exchange with one shard and the ledger, by number of tasks.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of workers.
    teams : int
        Largest number of teams.
    """
    step_points, exchange_points, bucket_points, memory_points = [], [], [], []
    for workers in sizes:
        control_plane = ControlPlane(workers=workers, teams=min(teams, workers))
        dispatcher = control_plane.dispatcher
        step_points.append((control_plane.task_count, measure_cpu_ms(dispatcher.step, repeats=3)))
        shard = control_plane.shards["r0"]

        def exchange_with_shard(
            shard: ShardState = shard, dispatcher: Dispatcher = dispatcher
        ) -> None:
            request = dispatcher.build_next_request("r0", regular=True)
            shard.apply_request(decode(encode(request), ExchangeRequest))
            reply = encode(shard.build_exchange_reply(full=False))
            dispatcher.observe_reply(decode(reply, type(shard.build_exchange_reply(full=False))))

        exchange_points.append(
            (control_plane.task_count, measure_cpu_ms(exchange_with_shard, repeats=3))
        )
        record = max(dispatcher.ledger.records, key=lambda item: len(item.working))
        task = next(iter(record.working))
        record.put(task, record.working[task].__class__(state="pending", attempt=9))
        bucket_points.append(
            (control_plane.task_count, len(encode(record.start_write().value)) / 1000)
        )
        memory_points.append(
            (control_plane.task_count, measure_memory_mb(lambda d=dispatcher: _copy_ledger(d)))
        )
    return [
        LinearFit(name="dispatcher: one step", unit="ms", per="task", points=tuple(step_points)),
        LinearFit(
            name="dispatcher and shard: one exchange, both sides",
            unit="ms",
            per="task in all",
            points=tuple(exchange_points),
        ),
        LinearFit(
            name="ledger: one bucket of 8", unit="KB", per="task", points=tuple(bucket_points)
        ),
        LinearFit(name="ledger: memory", unit="MB", per="task", points=tuple(memory_points)),
    ]


def _copy_ledger(dispatcher: Dispatcher) -> list:
    """Return a copy of all ledger entries, whose memory is measured in place of the ledger's."""
    return [decode(encode(entry), type(entry)) for _, entry in dispatcher.ledger.iter_entries()]


def measure_shard(sizes: tuple[int, ...]) -> list[LinearFit]:
    """Measure an exchange with a worker and the record of its shard, by number of tasks."""
    sync_points, record_points, write_points = [], [], []
    for task_count in sizes:
        clock = VirtualClock()
        shard = _build_shard(clock, "r0", 1)
        declaration = parse(build_declaration_text(workers=4, teams=1)).unwrap()
        spec = expand(declaration)["service/s0/0"]
        specs = [
            spec.__class__(
                name=f"service/s0/{index}",
                kind="service",
                declared="s0",
                team="t0",
                cores=0.1,
                memory_mb=100,
                digest=spec.digest,
            )
            for index in range(task_count)
        ]
        assign = tuple(
            Assignment(task=task_spec.name, attempt=1, spec=task_spec) for task_spec in specs
        )
        shard.apply_request(
            ExchangeRequest(shard="r0", shard_epoch=1, dispatch_epoch=1, sequence=1, assign=assign)
        )
        write = shard.record.start_write()
        record_points.append((task_count, len(encode(write.value)) / 1000))
        shard.record.confirm(2)
        reports = tuple(
            TaskReport(task=task_spec.name, attempt=1, state="running", cores=0.1, memory_mb=100)
            for task_spec in specs
        )
        reply = encode(_build_sync_reply("r0-0", reports))

        def sync_worker(shard: ShardState = shard, reply: bytes = reply) -> None:
            encode(shard.plan_sync("r0-0", may_start=True, may_renew_batch=True))
            shard.observe_reply("r0-0", decode(reply, SyncReply))

        sync_points.append((task_count, measure_cpu_ms(sync_worker)))

        def write_record(shard: ShardState = shard, task: str = specs[0].name) -> None:
            entry = shard.record.working[task]
            shard.record.drop(task)
            shard.record.put(task, entry)
            write = shard.record.start_write()
            encode(write.value)
            shard.record.confirm(write.expected_version + 1)

        write_points.append((task_count, measure_cpu_ms(write_record)))
    return [
        LinearFit(
            name="shard: one worker exchange, logic and codec",
            unit="ms",
            per="task on the worker",
            points=tuple(sync_points),
        ),
        LinearFit(name="shard: record", unit="KB", per="task", points=tuple(record_points)),
        LinearFit(
            name="shard: one record write", unit="ms", per="task", points=tuple(write_points)
        ),
    ]


def measure_router(sizes: tuple[int, ...]) -> list[LinearFit]:
    """Measure a routing decision and the routing table, by number of runners (24 per service)."""
    decision_points, table_points = [], []
    for runner_count in sizes:
        clock = VirtualClock()

        def build_router(runner_count: int = runner_count, clock: VirtualClock = clock) -> Router:
            router = Router(clock=clock, availability_zone="z1", queue_length=256)
            zones = {f"m{index}": f"z{index}" for index in range(7)}
            router.observe_members("m0", zones)
            runners = [
                Runner(
                    id=f"service/s{index // 24}/{index % 24}#1",
                    service=f"s{index // 24}",
                    address="127.0.0.1:1",
                    availability_zone=f"z{index % 7}",
                    worker=f"w{index}",
                    slots=8,
                    connections=64,
                )
                for index in range(runner_count)
            ]
            router.observe_runners("r0", 1, runners)
            return router

        router = build_router()

        def route_request(router: Router = router, clock: VirtualClock = clock) -> None:
            now_ms = clock.now_ms()
            ticket = Ticket(service="s0", deadline_ms=now_ms + 1000, arrived_ms=now_ms)
            decision = router.acquire(ticket)
            if hasattr(decision, "token"):
                router.release(decision.runner.id, decision.token)

        decision_points.append((runner_count, measure_cpu_ms(route_request, repeats=200)))
        table_points.append((runner_count, measure_memory_mb(build_router)))
    return [
        LinearFit(
            name="router: one decision", unit="ms", per="runner", points=tuple(decision_points)
        ),
        LinearFit(name="router: table", unit="MB", per="runner", points=tuple(table_points)),
    ]


def measure_declaration(sizes: tuple[int, ...]) -> list[LinearFit]:
    """Measure the size of a declaration and its parsing and expansion, by number of workers."""
    size_points, time_points = [], []
    for workers in sizes:
        text = build_declaration_text(workers=workers, teams=min(67, workers))
        size_points.append((workers, len(text) / 1000))
        time_points.append(
            (workers, measure_cpu_ms(lambda t=text: expand(parse(t).unwrap()), repeats=1))
        )
    return [
        LinearFit(name="configuration: text", unit="KB", per="worker", points=tuple(size_points)),
        LinearFit(
            name="configuration: parse and expand",
            unit="ms",
            per="worker",
            points=tuple(time_points),
        ),
    ]


def measure_request_stats(sizes: tuple[int, ...]) -> list[LinearFit]:
    """Measure the memory and a snapshot of the request statistics, by number of services."""
    memory_points, snapshot_points = [], []
    for service_count in sizes:

        def build_stats(service_count: int = service_count) -> RequestStats:
            stats = RequestStats(clock=VirtualClock())
            for index in range(service_count):
                stats.record(
                    f"s{index}",
                    Outcome.DONE,
                    "",
                    latency_ms=5.0,
                    waited_ms=0.0,
                    objective_ms=100.0,
                )
            return stats

        memory_points.append((service_count, measure_memory_mb(build_stats)))
        stats = build_stats()
        snapshot_points.append(
            (service_count, measure_cpu_ms(lambda s=stats: encode(s.snapshot()), repeats=1))
        )
    return [
        LinearFit(name="burn: counters", unit="MB", per="service", points=tuple(memory_points)),
        LinearFit(
            name="burn: one snapshot", unit="ms", per="service", points=tuple(snapshot_points)
        ),
    ]
