"""Loading of the records that an owner leaves to the next one; encoding of the list of runners."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.cells import LearnedState, RunnerEntry
from coltsfootpier.jobs import JobRecord, decode_record
from coltsfootpier.logs import log_event
from coltsfootpier.maintenance import MaintenanceRecord
from coltsfootpier.node.keys import FLEET_KEY, JOBS_PREFIX, LEARNED_KEY, MAINTENANCE_KEY
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
    """List of the runners that may have runs; a runner must be in it before a run starts there."""

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
    maintenance : MaintenanceRecord
        Progress of the maintenance waves.
    """

    jobs: list[JobRecord]
    fleet: tuple[RunnerEntry, ...]
    learned: LearnedState
    maintenance: MaintenanceRecord


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
    maintenance = await _load_one(store, MAINTENANCE_KEY, MaintenanceRecord)
    if isinstance(maintenance, Failure):
        return maintenance
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
    return Success(OwnerRecords(records, entries, learned.unwrap(), maintenance.unwrap()))


async def _load_one(
    store: StoreClient, key: str, record_type: type[_T]
) -> Result[_T, PlatformError]:
    """Load one record; a missing or malformed one is treated as empty."""
    item = await store.get(key)
    if isinstance(item, Failure):
        return item
    value = item.unwrap().value
    if value is None:
        return Success(record_type())
    try:
        return Success(decode(value, record_type))
    except MalformedMessageError as error:
        log_event("cannot decode record", key=key, reason=str(error))
        return Success(record_type())
