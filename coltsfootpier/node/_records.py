"""Loading of the records that an owner leaves to the next one; encoding of the list of runners."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TypeVar

import anyio.lowlevel
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.cells import LearnedState, RunnerEntry
from coltsfootpier.jobs import JobRecord, RecordError, decode_record
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
    # See `encode_fleet`; earlier releases neither write nor keep these fields.
    long_lease_ms: float = 0.0
    started_unix_ms: int = 0


@attrs.frozen
class _Fleet:
    """List of the runners that may have runs; a runner must be in it before a run starts there.

    It is incomplete while an owner that could not decode an earlier list waits for the runners that
    may be missing.
    """

    runners: tuple[_FleetMember, ...] = ()
    is_complete: bool = True


def encode_fleet(
    entries: Iterable[RunnerEntry],
    *,
    is_complete: bool = True,
    long_leases: Mapping[str, float] | None = None,
) -> bytes:
    """Encode the list of runners for the store.

    Parameters
    ----------
    entries : iterable of RunnerEntry
        The runners, with the start of the incarnation that is known of each.
    is_complete : bool, default=True
        Whether these are all runners that may have runs.
    long_leases : Mapping of str to float, optional
        For runners that may hold a longer lease than usual, the time in ms for which a later owner
        that doesn't reach them counts it from its load.
    """
    long_leases = long_leases or {}
    members = (
        _FleetMember(
            entry.id,
            entry.service,
            entry.address,
            long_leases.get(entry.id, 0.0),
            entry.started_unix_ms,
        )
        for entry in entries
    )
    return encode(_Fleet(tuple(members), is_complete))


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
    maintenance : MaintenanceRecord, optional
        Progress of the maintenance waves; None if it can't be decoded.
    is_fleet_complete : bool
        Whether `fleet` lists all runners that earlier owners may use.
    unreadable_jobs : frozenset of str
        Identifiers of the jobs whose records can't be decoded.
    long_leases : dict of str to float
        For runners of `fleet` that may hold a longer lease than usual, the time in ms for which it
        counts from the load.
    """

    jobs: list[JobRecord]
    fleet: tuple[RunnerEntry, ...]
    learned: LearnedState
    maintenance: MaintenanceRecord | None
    is_fleet_complete: bool = True
    unreadable_jobs: frozenset[str] = frozenset()
    long_leases: dict[str, float] = attrs.field(factory=dict)


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
    records: list[JobRecord] = []
    unreadable_jobs: set[str] = set()
    for item in items.unwrap():
        # The lease has to be renewed meanwhile: a record may list 20,000 done tasks.
        await anyio.lowlevel.checkpoint()
        decoded = decode_record(item.value)
        if isinstance(decoded, Failure):
            log_event("cannot decode record", key=item.key, reason=str(decoded.failure()))
            unreadable_jobs.add(item.key.removeprefix(JOBS_PREFIX))
            continue
        records.append(decoded.unwrap())
    known_fleet = fleet.unwrap().value_or(_Fleet(is_complete=False))
    entries = tuple(
        RunnerEntry(
            id=member.id,
            service=member.service,
            address=member.address,
            started_unix_ms=member.started_unix_ms,
        )
        for member in known_fleet.runners
    )
    return Success(
        OwnerRecords(
            jobs=records,
            fleet=entries,
            # Learned values only improve estimates.
            learned=learned.unwrap().value_or(LearnedState()),
            maintenance=maintenance.unwrap().value_or(None),
            is_fleet_complete=known_fleet.is_complete,
            unreadable_jobs=frozenset(unreadable_jobs),
            long_leases={
                member.id: member.long_lease_ms
                for member in known_fleet.runners
                if member.long_lease_ms > 0
            },
        )
    )


async def _load_one(
    store: StoreClient, key: str, record_type: type[_T]
) -> Result[Result[_T, RecordError], PlatformError]:
    """Load one record; a missing one has never been written and is empty."""
    item = await store.get(key)
    if isinstance(item, Failure):
        return item
    value = item.unwrap().value
    if value is None:
        return Success(Success(record_type()))
    try:
        return Success(Success(decode(value, record_type)))
    except MalformedMessageError as error:
        log_event("cannot decode record", key=key, reason=str(error))
        return Success(Failure(RecordError(f"{key}: {error}")))
