"""Builders of test data: complete objects with defaults that keywords override."""

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
    """Parse a declaration that must be valid."""
    return parse(text).unwrap()


def build_spec(name: str = "job/load/0", **overrides: Any) -> TaskSpec:
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
    return attrs.evolve(spec, **overrides)


def build_service_spec(name: str = "service/web/0", **overrides: Any) -> TaskSpec:
    """Build the specification of a runner."""
    return build_spec(name, **{"kind": "service", "slots": 8, "connections": 64, **overrides})


def build_vm(name: str = "w1", **overrides: Any) -> Vm:
    """Build a live worker VM as listed by the platform."""
    vm = Vm(name=name, state="live", availability_zone="z1", rack="r1", address="127.0.0.1:1")
    return attrs.evolve(vm, **overrides)


def build_sync_reply(
    worker: str = "w1", tasks: tuple[TaskReport, ...] = (), **overrides: Any
) -> SyncReply:
    """Build the sync reply of a worker with 16 cores and 60 GB of memory."""
    reply = SyncReply(
        worker=worker, incarnation="i1", now_ms=0.0, cores=16.0, memory_mb=60_000, tasks=tasks
    )
    return attrs.evolve(reply, **overrides)


def build_task_report(task: str, attempt: int = 1, **overrides: Any) -> TaskReport:
    """Build the report of a worker on a running attempt."""
    return attrs.evolve(TaskReport(task=task, attempt=attempt, state="running"), **overrides)


def build_shard(clock: VirtualClock, **overrides: Any) -> ShardState:
    """Build the state of a shard owner with an empty fenced record and one reporting worker."""
    options = {
        "shard": "r1",
        "epoch": 1,
        "writer": "m1",
        "clock": clock,
        "worker_lease_ms": 20_000.0,
        "hold_over_ms": 1_800_000.0,
        **overrides,
    }
    shard = ShardState(**options)
    shard.load()
    shard.retire_previous_owner()
    commit(shard.record)
    shard.observe_vms([build_vm()])
    shard.observe_reply("w1", build_sync_reply(now_ms=clock.now_ms()))
    return shard


def commit(record: VersionedRecord, version: int | None = None) -> None:
    """Confirm the next write of a record, as an available store would."""
    write = record.start_write()
    if write is not None:
        record.confirm(version or write.expected_version + 1)


def build_assignment(spec: TaskSpec, attempt: int = 1, **overrides: Any) -> Assignment:
    """Build the assignment of one attempt."""
    return attrs.evolve(Assignment(task=spec.name, attempt=attempt, spec=spec), **overrides)


def build_exchange_request(sequence: int, **overrides: Any) -> ExchangeRequest:
    """Build an exchange request to shard r1 at epoch 1."""
    request = ExchangeRequest(shard="r1", shard_epoch=1, dispatch_epoch=1, sequence=sequence)
    return attrs.evolve(request, **overrides)


def list_commands(request: SyncRequest) -> list[tuple[str, str, int]]:
    """Return the kind, task and attempt of each command."""
    return [(command.kind, command.task, command.attempt) for command in request.commands]


def build_runner(runner_id: str = "service/web/0#1", **overrides: Any) -> Runner:
    """Build a runner of service web."""
    runner = Runner(
        id=runner_id,
        service="web",
        address="127.0.0.1:1",
        availability_zone="z1",
        worker="w1",
        slots=2,
        connections=64,
    )
    return attrs.evolve(runner, **overrides)


def build_ticket(clock: VirtualClock, **overrides: Any) -> Ticket:
    """Build the ticket of a request that arrives now and has a deadline in one second."""
    now_ms = clock.now_ms()
    return Ticket(
        **{"service": "web", "deadline_ms": now_ms + 1_000.0, "arrived_ms": now_ms, **overrides}
    )
