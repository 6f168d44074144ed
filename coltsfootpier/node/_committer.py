"""Writes the changes of a cell to the store, one change after the other."""

from __future__ import annotations

from collections.abc import Iterable

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.cells import Cell, Job
from coltsfootpier.clock import Clock
from coltsfootpier.jobs import encode_record
from coltsfootpier.journal import Head, OwnerInfo, decode_head, was_applied
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.node._tries import ChangeSender
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

# Records of ended jobs that one change removes at most.
_MAX_REMOVED = 4
# Single records that one change writes at most.
_MAX_RECORDS = 4
# Entries that a change needs beside the records of jobs: the expected and the new head, the
# expected and the new owner's key, the fleet, what was learned, and removals.
_RESERVED_ENTRIES = 6 + _MAX_REMOVED


@attrs.frozen
class Deposed:
    """Another daemon owns the cell."""

    head: Head


class Committer:
    """Owns the head of a cell's records and writes what is dirty.

    Parameters
    ----------
    store : StoreClient
        The store.
    clock : Clock
        Time source.
    head : Head
        Head as it was claimed.
    revision : int
        Its revision.
    owner : OwnerInfo
        Value of the owner's key.
    kept_ms : float
        Time for which the record of an ended job is kept.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        clock: Clock,
        head: Head,
        revision: int,
        owner: OwnerInfo,
        kept_ms: float,
    ) -> None:
        self._kept_ms = kept_ms
        self._store = store
        self._clock = clock
        self._head = head
        self._revision = revision
        self._owner = owner
        self._fleet: tuple[bytes, frozenset[str]] | None = None
        # Runners in the list of the store.
        self.recorded_fleet: frozenset[str] = frozenset()
        self._lease_to_bind = 0
        self._learned: bytes | None = None
        # Single records that wait to be written, by key.
        self._records: dict[str, bytes] = {}
        self._sender = ChangeSender(clock=clock, on_outcome=self._note_outcome)
        self._wake = anyio.Event()
        self._committed = anyio.Event()
        # When the change that is being written was first sent; None between changes.
        self.pending_since_ms: float | None = None
        self.store_answers = True
        # When the last try ended.
        self._answered_ms = float("-inf")
        self.commit_count = 0

    def notify(self) -> None:
        """Say that there is something to write."""
        self._wake.set()

    def put_fleet(self, value: bytes, runner_ids: frozenset[str]) -> None:
        """Write the list of runners with the next change."""
        self._fleet = (value, runner_ids)
        self.notify()

    def put_learned(self, value: bytes) -> None:
        """Write what was learned along with the next change; it is not worth one of its own."""
        self._learned = value

    def put_record(self, key: str, value: bytes) -> None:
        """Write a single record with the next change."""
        self._records[key] = value
        self.notify()

    def is_written(self, key: str) -> bool:
        """Return whether the last value of a single record is durable."""
        return key not in self._records

    def rebind_owner(self, lease: int) -> None:
        """Write the owner's key again under a new lease with the next change."""
        self._lease_to_bind = lease
        self.notify()

    async def wait_commit(self, timeout_ms: float) -> None:
        """Wait until a change has been settled, at most `timeout_ms`."""
        committed = self._committed
        with anyio.move_on_after(timeout_ms / 1000):
            await committed.wait()

    async def run(self, cell: Cell) -> Deposed:
        """Write changes until another daemon owns the cell."""
        while True:
            if not (cell.jobs.dirty_count or self._fleet or self._lease_to_bind or self._records):
                await self._wake.wait()
            self._wake = anyio.Event()
            deposed = await self._commit(cell)
            if deposed is not None:
                return deposed
            self._announce()

    async def _commit(self, cell: Cell) -> Deposed | None:
        records = dict(list(self._records.items())[:_MAX_RECORDS])
        batch = cell.jobs.list_dirty(MAX_ENTRIES - _RESERVED_ENTRIES - len(records))
        fleet, lease, learned = self._fleet, self._lease_to_bind, self._learned
        if not (batch or fleet or lease or records):
            return None
        # Removed along with other changes; records of ended jobs are in nobody's way.
        expired = cell.jobs.list_expired(
            self._clock.now_ms(), kept_ms=self._kept_ms, limit=_MAX_REMOVED
        )
        change = self._head.next()
        puts = [Write(HEAD_KEY, encode(change))]
        puts += [Write(job_key(job.record.id), encode_record(job.record)) for job, _ in batch]
        puts += [Write(key, value) for key, value in records.items()]
        expect = {HEAD_KEY: self._revision}
        if fleet:
            puts.append(Write(FLEET_KEY, fleet[0]))
        if learned:
            puts.append(Write(LEARNED_KEY, learned))
        if lease:
            puts.append(Write(OWNER_KEY, encode(self._owner), lease))
            expect[OWNER_KEY] = 0
        removed = [job_key(job_id) for job_id in expired]
        self.pending_since_ms = self._clock.now_ms()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_unsent, cell, batch)
                result = await self._sender.settle(
                    lambda: self._store.commit(expect=expect, puts=puts, remove=removed)
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
            found = None
            if not isinstance(error, LeaseLost):
                found = self._check_condition(error, change)
            if isinstance(found, Deposed):
                return found
            if found is None:
                # The new lease has ended, or the owner's key still exists. An earlier try may yet
                # be carried out, so no other change gets its number.
                self._lease_to_bind = 0
                self._head = change
                return None
            self._revision = found
        self._head = change
        self.commit_count += 1
        if fleet is not None:
            self.recorded_fleet = fleet[1]
            if self._fleet is fleet:
                self._fleet = None
        if self._learned is learned:
            self._learned = None
        for key, value in records.items():
            if self._records.get(key) is value:
                del self._records[key]
        if lease and self._lease_to_bind == lease:
            self._lease_to_bind = 0
        for job, version in batch:
            cell.jobs.mark_durable(job, version)
        cell.jobs.forget(expired)
        return None

    def _note_outcome(self, result: Result[int, PlatformError], took_ms: float) -> None:
        error = result.failure() if isinstance(result, Failure) else None
        self._answered_ms = self._clock.now_ms()
        if not isinstance(error, StoreUnknown):
            self.store_answers = not isinstance(error, StoreUnavailable)
        # Silence for a moment says nothing about the store yet; how long the change has been under
        # way does.
        elif took_ms < _timing.COMMIT_REPEAT_MS or took_ms >= _timing.STORE_TIMEOUT_MS:
            self.store_answers = False

    @property
    def is_stuck(self) -> bool:
        """Whether a new job can't be expected to become durable soon."""
        now_ms = self._clock.now_ms()
        if self.pending_since_ms is not None:
            is_late = now_ms - self.pending_since_ms > _timing.STORE_TIMEOUT_MS
            return is_late or not self.store_answers
        # Nothing is under way that would show when the store is back, so the next job is let in.
        return not self.store_answers and now_ms - self._answered_ms < _timing.STORE_TIMEOUT_MS

    async def _watch_unsent(self, cell: Cell, batch: list[tuple[Job, int]]) -> None:
        """Give up new jobs that wait behind a change that is stuck; they were never sent."""
        sent = {job.record.id for job, _ in batch}
        while True:
            await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
            if self.is_stuck:
                unsent = [job for job in cell.jobs.list_unsaved() if job.record.id not in sent]
                if self._withdraw(unsent, cell, "behind a change that is stuck"):
                    self._announce()

    def _withdraw(self, jobs: Iterable[Job], cell: Cell, detail: PlatformError | str) -> bool:
        """Give up jobs that were never written."""
        new = [job for job in jobs if job.durable_version == 0]
        for job in new:
            log_event("job refused", job=job.record.id, reason="store", detail=str(detail))
            cell.jobs.withdraw(job.record.id)
        return bool(new)

    def _announce(self) -> None:
        committed, self._committed = self._committed, anyio.Event()
        committed.set()

    def _check_condition(self, error: ConditionFailed, change: Head) -> int | Deposed | None:
        """Return the revision of the change if an earlier try applied it.

        None means that the head is unchanged and another condition failed.
        """
        items = {item.key: item for item in error.items}
        item = items.get(HEAD_KEY, Item(HEAD_KEY))
        try:
            found = decode_head(item.value)
        except MalformedMessageError as malformed:
            log_event("head unreadable", reason=str(malformed))
            return Deposed(self._head)
        if was_applied(change, found):
            return item.version
        if item.version == self._revision:
            return None
        log_event(
            "ownership lost",
            generation=self._head.generation,
            found_generation=found.generation,
            found_holder=found.holder,
        )
        return Deposed(found)
