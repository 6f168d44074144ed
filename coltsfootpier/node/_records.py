"""Loading of all records that outlive an owner, and encoding of the list of runners."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.cells import LearnedState, RunnerEntry
from coltsfootpier.jobs import JobRecord, decode_record
from coltsfootpier.logs import log_event
from coltsfootpier.maintenance import MaintenanceRecord
from coltsfootpier.node.keys import FLEET_KEY, JOBS_PREFIX, LEARNED_KEY, UPKEEP_KEY
from coltsfootpier.platform import PlatformError, StoreClient
from coltsfootpier.transport import MalformedMessageError, decode, encode

_T = TypeVar("_T")


@attrs.frozen
class _FleetMember:
    id: str
    service: str
    address: str


@attrs.frozen
class _Fleet:
    """Runners that may have runs; must be durable before a run starts on any of them."""

    runners: tuple[_FleetMember, ...] = ()


def encode_fleet(entries: Iterable[RunnerEntry]) -> bytes:
    """Encode the list of runners for the store."""
    members = (_FleetMember(entry.id, entry.service, entry.address) for entry in entries)
    return encode(_Fleet(tuple(members)))


@attrs.frozen
class OwnerRecords:
    """Records that a new owner loads.

    Parameters
    ----------
    jobs : list of JobRecord
        Records of all jobs.
    fleet : tuple of RunnerEntry
        Runners on which earlier owners may have started runs.
    learned : LearnedState
        Learned state of images and queues, as the last owner stored it.
    upkeep : MaintenanceRecord
        Progress of the maintenance waves.
    """

    jobs: list[JobRecord]
    fleet: tuple[RunnerEntry, ...]
    learned: LearnedState
    upkeep: MaintenanceRecord


async def load_records(store: StoreClient) -> Result[OwnerRecords, PlatformError]:
    """Load the records of earlier owners."""
    items = await store.list_all(JOBS_PREFIX)
    if isinstance(items, Failure):
        return items
    fleet = await _load_one(store, FLEET_KEY, _Fleet)
    if isinstance(fleet, Failure):
        return fleet
    learned = await _load_one(store, LEARNED_KEY, LearnedState)
    if isinstance(learned, Failure):
        return learned
    upkeep = await _load_one(store, UPKEEP_KEY, MaintenanceRecord)
    if isinstance(upkeep, Failure):
        return upkeep
    records = []
    for item in items.unwrap():
        decoded = decode_record(item.value)
        if isinstance(decoded, Failure):
            log_event("cannot decode record", key=item.key, reason=str(decoded.failure()))
            continue
        records.append(decoded.unwrap())
    entries = tuple(
        RunnerEntry(id=member.id, service=member.service, address=member.address)
        for member in fleet.unwrap().runners
    )
    return Success(OwnerRecords(records, entries, learned.unwrap(), upkeep.unwrap()))


async def _load_one(store: StoreClient, key: str, kind: type[_T]) -> Result[_T, PlatformError]:
    """Load one record; a missing or malformed one is treated as empty."""
    item = await store.get(key)
    if isinstance(item, Failure):
        return item
    value = item.unwrap().value
    if value is None:
        return Success(kind())
    try:
        return Success(decode(value, kind))
    except MalformedMessageError as error:
        log_event("cannot decode record", key=key, reason=str(error))
        return Success(kind())
