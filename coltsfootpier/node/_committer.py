"""Writes the changes of a cell to the store, one change after the other."""

from __future__ import annotations

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.cells import Cell
from coltsfootpier.clock import Clock
from coltsfootpier.jobs import encode_record
from coltsfootpier.journal import Head, OwnerInfo, decode_head, was_applied
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
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


class RepeatTimer:
    """Time after which a change without an answer is sent again.

    A repeat is harmless, since every try expects the same head, and a lost answer holds up all
    jobs that wait behind the change. A slow store would get each change several times, so the
    time follows what its answers take.

    Examples
    --------
    >>> timer = RepeatTimer()
    >>> timer.timeout_ms
    150.0
    >>> timer.note_silence()
    >>> timer.timeout_ms
    300.0
    >>> timer.note_answer(5.0)
    >>> timer.timeout_ms
    150.0
    """

    def __init__(self) -> None:
        self.timeout_ms = _timing.COMMIT_REPEAT_MS

    def note_silence(self) -> None:
        """Note that a try got no answer in time."""
        self.timeout_ms = min(_timing.STORE_TIMEOUT_MS, 2 * self.timeout_ms)

    def note_answer(self, took_ms: float) -> None:
        """Note how long an answer took."""
        wanted_ms = _timing.COMMIT_REPEAT_FACTOR * took_ms
        self.timeout_ms = min(_timing.STORE_TIMEOUT_MS, max(_timing.COMMIT_REPEAT_MS, wanted_ms))


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
        self._repeat = RepeatTimer()
        self._wake = anyio.Event()
        self._committed = anyio.Event()
        # When the change that is being written was first sent; None between changes.
        self.pending_since_ms: float | None = None
        self.store_answers = True
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
            committed, self._committed = self._committed, anyio.Event()
            committed.set()

    async def _commit(self, cell: Cell) -> Deposed | None:
        records = dict(list(self._records.items())[:_MAX_RECORDS])
        batch = cell.jobs.take_dirty(MAX_ENTRIES - _RESERVED_ENTRIES - len(records))
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
        unknown_before = False
        self.pending_since_ms = self._clock.now_ms()
        try:
            while True:
                sent_ms = self._clock.now_ms()
                result = await self._store.commit(
                    expect=expect,
                    puts=puts,
                    remove=[job_key(job_id) for job_id in expired],
                    timeout_ms=self._repeat.timeout_ms,
                )
                self._note_outcome(result, self._clock.now_ms() - sent_ms)
                if isinstance(result, Success):
                    self._revision = result.unwrap()
                    break
                error = result.failure()
                if isinstance(error, ConditionFailed):
                    found = self._check_condition(error, change)
                    if isinstance(found, Deposed):
                        return found
                    if found is None:
                        # The owner's key still exists, so nothing was written.
                        self._lease_to_bind = 0
                        return None
                    self._revision = found
                    break
                if isinstance(error, LeaseLost):
                    self._lease_to_bind = 0
                    return None
                if isinstance(error, StoreUnavailable) and not unknown_before:
                    if self._withdraw_new(cell, batch, error):
                        return None
                else:
                    unknown_before = True
                await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
        finally:
            self.pending_since_ms = None
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
        if not isinstance(error, StoreUnknown):
            self._repeat.note_answer(took_ms)
            self.store_answers = not isinstance(error, StoreUnavailable)
            return
        # Silence shorter than the usual time limit says nothing about the store yet; how long the
        # change has been under way does.
        if took_ms < self._repeat.timeout_ms or took_ms >= _timing.STORE_TIMEOUT_MS:
            self.store_answers = False
        self._repeat.note_silence()

    def _withdraw_new(self, cell: Cell, batch: list, error: PlatformError) -> bool:
        """Give up jobs that were never written, since the store has done nothing."""
        new = [job for job, _ in batch if job.durable_version == 0]
        for job in new:
            log_event("job refused", job=job.record.id, reason="store", detail=repr(error))
            cell.jobs.withdraw(job.record.id)
        return bool(new)

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
