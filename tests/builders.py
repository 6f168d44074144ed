"""Builders of test data: complete objects with sensible values, changed by keyword."""

from __future__ import annotations

from typing import Any

import attrs

from coltsfootpier.clock import VirtualClock
from coltsfootpier.declaration import Declaration, TaskSpec, parse
from coltsfootpier.placement import Assignment, ExchangeRequest, ShardState
from coltsfootpier.platform import Vm
from coltsfootpier.records import VersionedRecord
from coltsfootpier.routing import Runner, Ticket
from coltsfootpier.workers import SyncReply, SyncRequest, TaskReport

DECLARATION_TEXT = """
[team a]
cores = 64
memory_mb = 64000

[service web]
team = a
runners = 2
cores = 2
memory_mb = 1000
latency_ms = 100

[request web/read]
idempotent = yes

[job load]
team = a
cores = 1
memory_mb = 500
run_time_s = 10

[job report]
team = a
cores = 1
memory_mb = 500
run_time_s = 10
depends_on = load
"""


def build_declaration(text: str = DECLARATION_TEXT) -> Declaration:
    """Parse a text that must be valid."""
    return parse(text).unwrap()


def build_spec(name: str = "job/load/0", **changes: Any) -> TaskSpec:
    """Build the specification of a batch task."""
    spec = TaskSpec(
        name=name,
        kind="batch",
        declared=name.split("/")[1],
        team="a",
        cores=4.0,
        memory_mb=1_000,
        run_time_ms=10_000.0,
        checkpointing=True,
        digest="d1",
    )
    return attrs.evolve(spec, **changes)


def build_service_spec(name: str = "service/web/0", **changes: Any) -> TaskSpec:
    """Build the specification of a runner."""
    return build_spec(name, **{"kind": "service", "slots": 8, "connections": 64, **changes})


def build_vm(name: str = "w1", **changes: Any) -> Vm:
    """Build an entry of the list of VMs."""
    vm = Vm(name=name, state="live", availability_zone="z1", rack="r1", address="127.0.0.1:1")
    return attrs.evolve(vm, **changes)


def build_sync_reply(
    worker: str = "w1", tasks: tuple[TaskReport, ...] = (), **changes: Any
) -> SyncReply:
    """Build a worker's report: 16 cores, 60 GB."""
    reply = SyncReply(
        worker=worker, incarnation="i1", now_ms=0.0, cores=16.0, memory_mb=60_000, tasks=tasks
    )
    return attrs.evolve(reply, **changes)


def build_task_report(task: str, attempt: int = 1, **changes: Any) -> TaskReport:
    """Build a worker's report on a running attempt."""
    return attrs.evolve(TaskReport(task=task, attempt=attempt, state="running"), **changes)


def build_shard(clock: VirtualClock, **changes: Any) -> ShardState:
    """Build a shard owner with a fenced empty record and one worker that has reported."""
    options = {
        "shard": "r1",
        "epoch": 1,
        "writer": "m1",
        "clock": clock,
        "worker_lease_ms": 20_000.0,
        "hold_over_ms": 1_800_000.0,
        **changes,
    }
    shard = ShardState(**options)
    shard.load()
    shard.retire_previous_owner()
    commit(shard.record)
    shard.observe_vms([build_vm()])
    shard.observe_reply("w1", build_sync_reply(now_ms=clock.now_ms()))
    return shard


def commit(record: VersionedRecord, version: int | None = None) -> None:
    """Carry out the next write of a record, as a store that is up would."""
    write = record.begin_write()
    if write is not None:
        record.confirm(version or write.expected_version + 1)


def build_assignment(spec: TaskSpec, attempt: int = 1, **changes: Any) -> Assignment:
    """Build an assignment of one attempt."""
    return attrs.evolve(Assignment(task=spec.name, attempt=attempt, spec=spec), **changes)


def build_exchange_request(sequence: int, **changes: Any) -> ExchangeRequest:
    """Build a step of the exchange with shard r1 at epoch 1."""
    request = ExchangeRequest(shard="r1", shard_epoch=1, dispatch_epoch=1, sequence=sequence)
    return attrs.evolve(request, **changes)


def list_commands(request: SyncRequest) -> list[tuple[str, str, int]]:
    """Return kind, task and attempt of each command."""
    return [(command.kind, command.task, command.attempt) for command in request.commands]


def build_runner(id_: str = "service/web/0#1", **changes: Any) -> Runner:
    """Build a runner of service web."""
    runner = Runner(
        id=id_,
        service="web",
        address="127.0.0.1:1",
        availability_zone="z1",
        worker="w1",
        slots=2,
        connections=64,
    )
    return attrs.evolve(runner, **changes)


def build_ticket(clock: VirtualClock, **changes: Any) -> Ticket:
    """Build a request that has a second."""
    now_ms = clock.now_ms()
    return Ticket(
        **{"service": "web", "deadline_ms": now_ms + 1_000.0, "arrived_ms": now_ms, **changes}
    )
