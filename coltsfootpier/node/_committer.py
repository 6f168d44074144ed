"""Commits the changes of a cell to the store, one at a time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.cells import Cell, Job
from coltsfootpier.clock import Clock
from coltsfootpier.jobs import encode_record
from coltsfootpier.journal import ActionBounds, Head, OwnerInfo, decode_head, was_applied
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.node._change_sender import ChangeSender
from coltsfootpier.node.keys import FLEET_KEY, HEAD_KEY, LEARNED_KEY, OWNER_KEY, job_key
from coltsfootpier.platform import (
    MAX_ENTRIES,
    ConditionFailed,
    Item,
    LeaseLost,
    PlatformError,
    StoreClient,
    StoreUnavailable,
    StoreUnknown,
    Write,
)
from coltsfootpier.transport import MalformedMessageError, encode

# Maximum number of records of ended jobs that one change removes.
_MAX_REMOVED_JOBS = 4
# Maximum number of single records (see `Committer.put_record`) that one change writes.
_MAX_SINGLE_RECORDS = 4
# Size of the job records of a change from which it holds no further one. A record of 20,000 done
# tasks has 210 KB; twenty of them in one change would keep the event loop from renewing the lease,
# and the slowest link (5 Mbit/s) busy for several seconds.
_MAX_JOB_RECORDS_BYTES = 250_000
# Entries of a change other than job records and single records: the expected and the new head, the
# expected and the new owner's key, the fleet, the learned state, and removals.
_RESERVED_ENTRIES = 6 + _MAX_REMOVED_JOBS


@attrs.frozen(eq=False)
class FleetList:
    """Contents of a fleet record.

    Parameters
    ----------
    runner_ids : frozenset of str
        Runners that may have runs.
    long_leases : Mapping of str to float
        For those that may hold a longer lease than usual, the time in ms for which a later owner
        counts it from its load.
    """

    runner_ids: frozenset[str] = frozenset()
    long_leases: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen
class OwnershipLost:
    """Outcome of a commit that shows that another daemon owns the cell."""

    head: Head


class Committer:
    """Writer of a cell's dirty records, guarded by the head record.

    Parameters
    ----------
    store : StoreClient
        The store.
    clock : Clock
        Time source.
    head : Head
        Head that the claim of the cell wrote.
    revision : int
        Store revision of the head.
    owner : OwnerInfo
        Value of the owner's key.
    on_confirmed : callable
        Called with the local time before the first attempt of each change that took effect. No
        later owner existed then, as the change expected this owner's head.
    retention_ms : float
        Retention time of the record of an ended job, in ms.
    on_head : callable, optional
        Called with the head of each change before it is first sent.
    on_token_raised : callable, optional
        Called with the owner's highest fencing token once a higher one is durable.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        clock: Clock,
        head: Head,
        revision: int,
        owner: OwnerInfo,
        on_confirmed: Callable[[float], None],
        retention_ms: float,
        on_head: Callable[[Head], None] = lambda _: None,
        on_token_raised: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._retention_ms = retention_ms
        self._on_confirmed = on_confirmed
        self._on_head = on_head
        self._on_token_raised = on_token_raised
        self._store = store
        self._clock = clock
        self._head = head
        self._revision = revision
        self._owner = owner
        self._fleet: tuple[bytes, FleetList] | None = None
        # Contents of the durable fleet record.
        self.recorded_fleet = FleetList()
        # Those of the records that were put since, in order; a successor may read any of them.
        self._unsettled_fleets: list[FleetList] = []
        # Whether a higher fencing token is needed, and the highest one that is durable.
        self._is_token_needed = False
        self._token = head.generation
        # Bounds to write with the next change; None to keep those in the head.
        self.bounds: ActionBounds | None = None
        # Lease under which the owner's key is to be written again; 0 if none.
        self._lease_to_bind = 0
        self._learned: bytes | None = None
        # Single records that aren't durable yet, by key.
        self._single_records: dict[str, bytes] = {}
        # Jobs of abandoned changes that aren't durable yet; a late attempt may still write them.
        self._maybe_written: set[str] = set()
        self._sender = ChangeSender(clock=clock, on_outcome=self._record_outcome)
        self._wake = anyio.Event()
        self._committed = anyio.Event()
        # Local time at which the change in flight was first sent; None between changes.
        self.pending_since_ms: float | None = None
        self.is_store_responding = True
        # Local time at which the last attempt of any change ended.
        self._last_outcome_ms = float("-inf")
        self.commit_count = 0

    def notify(self) -> None:
        """Wake the committer because there is something to write."""
        self._wake.set()

    def put_fleet(self, value: bytes, contents: FleetList) -> None:
        """Write an encoded fleet record, which has these contents, with the next change."""
        self._fleet = (value, contents)
        self._unsettled_fleets.append(contents)
        self.notify()

    @property
    def unsettled_fleets(self) -> tuple[FleetList, ...]:
        """Contents of each fleet record that may be durable already."""
        return tuple(self._unsettled_fleets)

    def raise_token(self) -> None:
        """Reserve a higher fencing token with the next change."""
        self._is_token_needed = True
        self.notify()

    def put_learned(self, value: bytes) -> None:
        """Write the learned state with the next change; it doesn't trigger a change by itself."""
        self._learned = value

    def put_record(self, key: str, value: bytes) -> None:
        """Write a single record with the next change.

        Single records are written as given; they hold the progress and status of maintenance waves.
        """
        self._single_records[key] = value
        self.notify()

    def is_written(self, key: str) -> bool:
        """Return whether the latest value of a single record is durable."""
        return key not in self._single_records

    def rebind_owner(self, lease: int) -> None:
        """Write the owner's key again under a new lease with the next change."""
        self._lease_to_bind = lease
        self.notify()

    async def wait_commit(self, timeout_ms: float) -> None:
        """Wait until a change is committed or abandoned, at most `timeout_ms`."""
        committed = self._committed
        with anyio.move_on_after(timeout_ms / 1000):
            await committed.wait()

    async def run(self, cell: Cell) -> OwnershipLost:
        """Commit changes until another daemon owns the cell."""
        while True:
            if not (
                cell.jobs.dirty_count
                or self._fleet
                or self._lease_to_bind
                or self._single_records
                or self._is_token_needed
            ):
                await self._wake.wait()
            self._wake = anyio.Event()
            ownership_lost = await self._commit(cell)
            if ownership_lost is not None:
                return ownership_lost
            self._notify_waiters()

    async def _commit(self, cell: Cell) -> OwnershipLost | None:
        """Commit one change; return None unless it shows that another daemon owns the cell."""
        single_records = dict(list(self._single_records.items())[:_MAX_SINGLE_RECORDS])
        batch, job_puts = _encode_jobs(
            cell.jobs.list_dirty(MAX_ENTRIES - _RESERVED_ENTRIES - len(single_records))
        )
        fleet, lease, learned = self._fleet, self._lease_to_bind, self._learned
        if not (batch or fleet or lease or single_records or self._is_token_needed):
            return None
        # Records of ended jobs are removed along with other changes, as the removal isn't urgent.
        expired = cell.jobs.list_expired(
            self._clock.now_ms(), kept_ms=self._retention_ms, limit=_MAX_REMOVED_JOBS
        )
        next_head = self._head.next(self.bounds, raises_token=self._is_token_needed)
        self._on_head(next_head)
        puts = [Write(HEAD_KEY, encode(next_head)), *job_puts]
        puts += [Write(key, value) for key, value in single_records.items()]
        expect = {HEAD_KEY: self._revision}
        if fleet:
            puts.append(Write(FLEET_KEY, fleet[0]))
        if learned:
            puts.append(Write(LEARNED_KEY, learned))
        if lease:
            puts.append(Write(OWNER_KEY, encode(self._owner), lease))
            expect[OWNER_KEY] = 0
        removed = [job_key(job_id) for job_id in expired]
        self.pending_since_ms = sent_ms = self._clock.now_ms()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._withdraw_unsent_when_stuck, cell, batch)
                result = await self._sender.send_until_resolved(
                    lambda: self._store.commit(expect=expect, puts=puts, remove=removed),
                    transfer_ms=_timing.compute_transfer_ms(
                        sum(len(put.value) for put in puts) * 4 // 3
                    ),
                )
                group.cancel_scope.cancel()
        finally:
            self.pending_since_ms = None
        if isinstance(result, Success):
            self._revision = result.unwrap()
        else:
            error = result.failure()
            if isinstance(error, StoreUnavailable):
                self._withdraw([job for job, _ in batch], cell, error)
                await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
                return None
            resolution = None
            if not isinstance(error, LeaseLost):
                resolution = self._resolve_conflict(error, next_head)
            if isinstance(resolution, OwnershipLost):
                return resolution
            if resolution is None:
                # The new lease has ended, or the owner's key still exists. An earlier attempt may
                # still take effect, so the sequence number of this head isn't reused.
                self._lease_to_bind = 0
                self._head = next_head
                self._maybe_written.update(job.record.id for job, _ in batch)
                return None
            self._revision = resolution
        self._head = next_head
        self._on_confirmed(sent_ms)
        self.commit_count += 1
        if next_head.generation > self._token:
            self._token = next_head.generation
            self._is_token_needed = False
            self._on_token_raised(self._token)
        if fleet is not None:
            self.recorded_fleet = fleet[1]
            # A later change has replaced the earlier lists for good.
            while self._unsettled_fleets.pop(0) is not fleet[1]:
                pass
            if self._fleet is fleet:
                self._fleet = None
        if self._learned is learned:
            self._learned = None
        for key, value in single_records.items():
            if self._single_records.get(key) is value:
                del self._single_records[key]
        if lease and self._lease_to_bind == lease:
            self._lease_to_bind = 0
        for job, version in batch:
            cell.jobs.mark_durable(job, version)
            self._maybe_written.discard(job.record.id)
        cell.jobs.remove_expired(expired)
        return None

    def _record_outcome(self, result: Result[int, PlatformError], duration_ms: float) -> None:
        error = result.failure() if isinstance(result, Failure) else None
        self._last_outcome_ms = self._clock.now_ms()
        if not isinstance(error, StoreUnknown):
            self.is_store_responding = not isinstance(error, StoreUnavailable)
        # An attempt that lost its connection at once or reached the time limit shows that the store
        # doesn't respond. One that failed in between may be due to a single lost packet; `is_stuck`
        # also considers how long the change has been in flight.
        elif duration_ms < _timing.COMMIT_RETRY_MS or duration_ms >= _timing.STORE_TIMEOUT_MS:
            self.is_store_responding = False

    @property
    def is_stuck(self) -> bool:
        """Whether a new job is unlikely to become durable soon."""
        now_ms = self._clock.now_ms()
        if self.pending_since_ms is not None:
            is_late = now_ms - self.pending_since_ms > _timing.STORE_TIMEOUT_MS
            return is_late or not self.is_store_responding
        # No change is in flight that would show when the store recovers, so after a while the next
        # job is accepted as a probe.
        return (
            not self.is_store_responding
            and now_ms - self._last_outcome_ms < _timing.STORE_TIMEOUT_MS
        )

    async def _withdraw_unsent_when_stuck(self, cell: Cell, batch: list[tuple[Job, int]]) -> None:
        """Withdraw new jobs that wait behind a stuck change and were never sent to the store."""
        sent = {job.record.id for job, _ in batch}
        while True:
            await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
            if self.is_stuck:
                unsent = [job for job in cell.jobs.list_unsaved() if job.record.id not in sent]
                if self._withdraw(unsent, cell, "waiting behind a stuck change"):
                    self._notify_waiters()

    def _withdraw(self, jobs: Iterable[Job], cell: Cell, detail: PlatformError | str) -> bool:
        """Withdraw jobs that can't have been written; return whether there were any."""
        new = [
            job
            for job in jobs
            if job.durable_version == 0 and job.record.id not in self._maybe_written
        ]
        for job in new:
            log_event("job rejected", job=job.record.id, reason="store", detail=str(detail))
            cell.jobs.withdraw(job.record.id)
        return bool(new)

    def _notify_waiters(self) -> None:
        committed, self._committed = self._committed, anyio.Event()
        committed.set()

    def _resolve_conflict(
        self, error: ConditionFailed, next_head: Head
    ) -> int | OwnershipLost | None:
        """Return the revision of the change if an earlier attempt applied it.

        Return None if the head is unchanged, so that another condition of the change failed, and
        `OwnershipLost` if another daemon wrote the head.
        """
        items = {item.key: item for item in error.items}
        item = items.get(HEAD_KEY, Item(HEAD_KEY))
        try:
            found_head = decode_head(item.value)
        except MalformedMessageError as malformed:
            log_event("cannot decode head record", reason=str(malformed))
            return OwnershipLost(self._head)
        if was_applied(next_head, found_head):
            return item.version
        if item.version == self._revision:
            return None
        log_event(
            "ownership lost",
            generation=self._head.generation,
            found_generation=found_head.generation,
            found_holder=found_head.holder,
        )
        return OwnershipLost(found_head)


def _encode_jobs(jobs: list[tuple[Job, int]]) -> tuple[list[tuple[Job, int]], list[Write]]:
    """Return those of the jobs that fit into one change, at least the first, and their writes."""
    puts: list[Write] = []
    size = 0
    for job, _ in jobs:
        value = encode_record(job.record)
        size += len(value)
        if puts and size > _MAX_JOB_RECORDS_BYTES:
            break
        puts.append(Write(job_key(job.record.id), value))
    return jobs[: len(puts)], puts
