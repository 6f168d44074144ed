"""Read-only subcommands that print records of the platform's store."""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.cells import RunnerEntry
from coltsfootpier.cli._exit_codes import ExitCode
from coltsfootpier.clock import MonotonicClock
from coltsfootpier.jobs import JobRecord, decode_record
from coltsfootpier.journal import OwnerInfo, decode_owner
from coltsfootpier.maintenance import MaintenanceRecord, WaveRecord
from coltsfootpier.node import keys
from coltsfootpier.platform import (
    CONFIG_KEY,
    EVACUATIONS_PREFIX,
    REGISTRY_PREFIX,
    StoreClient,
    decode_configuration,
    decode_evacuated_zone,
    decode_runner_entry,
)
from coltsfootpier.transport import MalformedMessageError, decode, encode, split_address


@attrs.frozen(kw_only=True)
class Overview:
    """Summary of the whole system, read from the store.

    Parameters
    ----------
    owner : OwnerInfo or None
        Daemon that owns the cell; None without one.
    configuration_version : int
        Version of the configuration; 0 without a valid one.
    jobs : dict of str to int
        Number of jobs by queue and state.
    runners : dict of str to int
        Number of runners that are ready and draining.
    upkeep : dict of str to str
        Progress of each maintenance wave, by its number.
    evacuations : dict of str to str
        Number of runners in each availability zone whose evacuation is requested.
    unreadable : int
        Number of job records, runner entries and evacuations that can't be decoded.
    """

    owner: OwnerInfo | None
    configuration_version: int
    jobs: dict[str, int]
    runners: dict[str, int]
    upkeep: dict[str, str]
    evacuations: dict[str, str]
    unreadable: int


async def read_overview(store: StoreClient) -> Result[Overview, str]:
    """Read owner, configuration version, waves, evacuations, and counts of jobs and runners."""
    owner = await store.get(keys.OWNER_KEY)
    config = await store.get(CONFIG_KEY)
    job_items = await store.list_all(keys.JOBS_PREFIX)
    runner_items = await store.list_all(REGISTRY_PREFIX)
    maintenance = await store.get(keys.MAINTENANCE_KEY)
    evacuation_items = await store.list_all(EVACUATIONS_PREFIX)
    for name, result in (
        ("the owner", owner),
        ("the configuration", config),
        ("the jobs", job_items),
        ("the runners", runner_items),
        ("the maintenance waves", maintenance),
        ("the evacuations", evacuation_items),
    ):
        if isinstance(result, Failure):
            return Failure(f"{name} could not be read: {result.failure()}")
    decoded = [decode_record(item.value) for item in job_items.unwrap()]
    records: list[JobRecord] = [
        parsed.unwrap() for parsed in decoded if isinstance(parsed, Success)
    ]
    entries = [decode_runner_entry(item) for item in runner_items.unwrap()]
    runners: list[RunnerEntry] = [
        parsed.unwrap() for parsed in entries if isinstance(parsed, Success)
    ]
    requested = [decode_evacuated_zone(item.key) for item in evacuation_items.unwrap()]
    zones = [parsed.unwrap() for parsed in requested if isinstance(parsed, Success)]
    version = 0
    if config.unwrap().value is not None:
        configuration = decode_configuration(config.unwrap().value)
        version = configuration.unwrap().version if isinstance(configuration, Success) else 0
    try:
        waves = _decode_waves(maintenance.unwrap().value)
    except MalformedMessageError as error:
        return Failure(f"the maintenance waves could not be read: {error}")
    states = Counter(f"{record.queue} {record.state.value}" for record in records)
    return Success(
        Overview(
            owner=decode_owner(owner.unwrap().value),
            configuration_version=version,
            jobs=dict(sorted(states.items())),
            runners=dict(Counter("draining" if runner.draining else "ready" for runner in runners)),
            upkeep={str(wave.number): _describe_wave(wave) for wave in waves},
            evacuations={zone: _describe_evacuation(zone, runners) for zone in sorted(zones)},
            unreadable=sum(
                isinstance(parsed, Failure) for parsed in [*decoded, *entries, *requested]
            ),
        )
    )


def _decode_waves(value: bytes | None) -> tuple[WaveRecord, ...]:
    return () if value is None else decode(value, MaintenanceRecord).waves


def _describe_wave(wave: WaveRecord) -> str:
    state = "complete" if wave.completed else "running"
    return f"{state}, begun {len(wave.begun)}, under way {len(wave.ordered)}"


def _describe_evacuation(zone: str, runners: list[RunnerEntry]) -> str:
    count = sum(runner.availability_zone == zone for runner in runners)
    return f"in force, runners {count}" if count else "unknown zone, no effect"


async def read_job(store: StoreClient, job_id: str) -> Result[dict[str, Any], str]:
    """Read the record of one job."""
    item = await store.get(keys.job_key(job_id))
    if isinstance(item, Failure):
        return Failure(f"the job could not be read: {item.failure()}")
    if item.unwrap().value is None:
        return Failure(f"no job {job_id} is in the store")
    decoded = decode_record(item.unwrap().value)
    if isinstance(decoded, Failure):
        return Failure(str(decoded.failure()))
    record = decoded.unwrap()
    steps = record.spec.steps if record.spec is not None else ()
    done = Counter((key.occurrence, key.step) for key in record.done)
    return Success(
        {
            "id": record.id,
            "queue": record.queue,
            "service": record.service,
            # The store doesn't record whether a task has started; only runners know that.
            "state": record.state.value if record.state.is_final else "open",
            "accepted_unix_ms": record.accepted_unix_ms,
            "steps": [
                {"step": number, "tasks": step.count, "done": done.get((0, number), 0)}
                for number, step in enumerate(steps)
            ],
            "failed_attempts": {
                ".".join(map(str, key)): sorted(attempts)
                for key, attempts in record.failures.items()
            },
        }
    )


async def show(address: str, arguments: list[str], *, as_json: bool, timeout_ms: float) -> ExitCode:
    """Print the overview of the store or the record of one job.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    arguments : list of str
        Identifier of a job; empty for the overview.
    as_json : bool
        Whether to print JSON.
    timeout_ms : float
        Timeout of each call to the store.
    """
    host, port = split_address(address)
    store = StoreClient(host=host, port=port, clock=MonotonicClock(), timeout_ms=timeout_ms)
    result = await (read_job(store, arguments[0]) if arguments else read_overview(store))
    store.close()
    if isinstance(result, Failure):
        print(f"coltsfootpier: {result.failure()}", file=sys.stderr)
        return ExitCode.FAILURE
    content = result.unwrap()
    if as_json:
        print(encode(content).decode())
        return ExitCode.SUCCESS
    fields = content if isinstance(content, dict) else attrs.asdict(content)
    for name, value in fields.items():
        print(f"{name:24} {value}")
    return ExitCode.SUCCESS
