"""Ledger with the state of each task, stored in several records."""

from __future__ import annotations

import zlib
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator

import attrs

from coltsfootpier.platform import Item
from coltsfootpier.records import VersionedRecord, Write

_UNSUCCESSFUL_STATES = frozenset({"refused", "failed"})
FINAL_STATES = frozenset({"done", "cancelled", "refused", "failed"})


@attrs.frozen(kw_only=True)
class Entry:
    """State of one task.

    Parameters
    ----------
    state : str
        ``waiting``, ``pending``, ``assigned`` or a final state: ``done``, ``cancelled``,
        ``refused`` or ``failed``.
    attempt : int
        Number of the newest attempt; 0 before the first.
    shard : str
        Shard to which the attempt is assigned; empty if it isn't.
    checkpoint : str
        Newest checkpoint, from which the next attempt resumes; empty if there is none.
    reason : str
        Why the task is in its state, as shown to operators.
    revoking : bool
        Whether the attempt must be stopped.
    failed_workers : tuple of str
        Distinct workers on which attempts of the task failed.
    digest : str
        Digest of the specification with which the attempt was assigned.
    run : int
        Run number of a periodic job; attempt numbers continue across runs.
    elapsed_ms : float
        Recorded time since the creation of the run, in milliseconds; stored only with the first
        task of a periodic job.
    skipped : int
        Number of due times of a periodic job that passed while a run was in progress; stored
        only with the first task.
    """

    state: str
    attempt: int = 0
    shard: str = ""
    checkpoint: str = ""
    reason: str = ""
    revoking: bool = False
    failed_workers: tuple[str, ...] = ()
    digest: str = ""
    run: int = 1
    elapsed_ms: float = 0.0
    skipped: int = 0


# Called after a change of a working entry with the task, its previous entry and its new entry.
EntryListener = Callable[[str, Entry | None, Entry | None], None]


class Ledger:
    """Entries by task name, distributed over a fixed number of records.

    Parameters
    ----------
    epoch : int
        Epoch of the dispatcher.
    writer : str
        Member identifier of this daemon.
    record_count : int, default=8
        Number of records; a change is written only to the record that holds the task.

    Attributes
    ----------
    change_count : int
        Number of changes of working entries so far.
    listener : callable or None
        Function that is called after each such change.
    """

    def __init__(self, *, epoch: int, writer: str, record_count: int = 8) -> None:
        self.epoch = epoch
        self.records: list[VersionedRecord[Entry]] = [
            VersionedRecord(
                key=f"records/ledger/{index}",
                kind=Entry,
                epoch=epoch,
                writer=f"{writer}/ledger/{index}",
            )
            for index in range(record_count)
        ]
        self.change_count = 0
        self.listener: EntryListener | None = None
        self._tasks_by_state: dict[str, dict[str, None]] = defaultdict(dict)
        self._done_counts: Counter[str] = Counter()
        self._unsuccessful_counts: Counter[str] = Counter()
        self._durable_by_shard: dict[str, dict[str, Entry]] = defaultdict(dict)
        self._changed_by_shard: dict[str, set[str]] = defaultdict(set)
        for record in self.records:
            record.listener = self._update_durable_indexes

    @property
    def is_fenced(self) -> bool:
        """Whether every record has been written with this owner's epoch."""
        return all(record.is_fenced for record in self.records)

    @property
    def revision(self) -> int:
        """Highest configuration revision that has been applied."""
        return max(record.fence for record in self.records)

    def load(self, items: Iterable[Item]) -> None:
        """Load the records from the items found in the store."""
        found = list(items)
        for record in self.records:
            record.load(*(item for item in found if item.key.startswith(record.prefix)))
        self._tasks_by_state.clear()
        self._done_counts.clear()
        self._unsuccessful_counts.clear()
        self._durable_by_shard.clear()
        for record in self.records:
            self._update_durable_indexes(set(record.durable), {}, record.durable)
        for task, entry in self.iter_entries():
            self._update_indexes(task, None, entry)

    def get(self, task: str) -> Entry | None:
        """Return the working entry of a task."""
        return self._get_record(task).working.get(task)

    def get_durable(self, task: str) -> Entry | None:
        """Return the durable entry of a task."""
        return self._get_record(task).durable.get(task)

    def put(self, task: str, entry: Entry) -> None:
        """Set the working entry of a task."""
        record = self._get_record(task)
        before = record.working.get(task)
        record.put(task, entry)
        if before != entry:
            self._update_indexes(task, before, entry)

    def set_reason(self, task: str, reason: str) -> None:
        """Set the reason that is shown to operators; this alone doesn't trigger a write."""
        record = self._get_record(task)
        entry = record.working[task]
        if entry.reason != reason:
            record.put_deferred(task, attrs.evolve(entry, reason=reason))

    def drop(self, task: str) -> None:
        """Remove the working entry of a task."""
        record = self._get_record(task)
        before = record.working.get(task)
        record.drop(task)
        if before is not None:
            self._update_indexes(task, before, None)

    def list_tasks(self, state: str) -> dict[str, None]:
        """Return the tasks in a state, ordered by the time at which they entered it."""
        return self._tasks_by_state[state]

    def count_done(self, declared: str) -> int:
        """Return the number of completed tasks of a job."""
        return self._done_counts[declared]

    def count_unsuccessful(self, declared: str) -> int:
        """Return the number of rejected or failed tasks of a job."""
        return self._unsuccessful_counts[declared]

    def list_durably_assigned(self, shard: str) -> dict[str, Entry]:
        """Return the entries that are durably assigned to a shard, by task."""
        return self._durable_by_shard[shard]

    def pop_changed(self, shard: str) -> set[str]:
        """Return and clear the tasks whose durable assignment to a shard has changed."""
        return self._changed_by_shard.pop(shard, set())

    def raise_revision(self, revision: int) -> None:
        """Record that a configuration revision has been applied."""
        for record in self.records:
            record.raise_fence(revision)

    def iter_entries(self) -> Iterator[tuple[str, Entry]]:
        """Yield all working entries."""
        for record in self.records:
            yield from list(record.working.items())

    def prepare_writes(self) -> list[tuple[VersionedRecord[Entry], Write]]:
        """Return the conditional writes of all records that have unwritten changes."""
        writes = ((record, record.start_write()) for record in self.records)
        return [(record, write) for record, write in writes if write is not None]

    def _update_indexes(self, task: str, before: Entry | None, after: Entry | None) -> None:
        self.change_count += 1
        old = before.state if before else ""
        new = after.state if after else ""
        if old != new:
            self._tasks_by_state[old].pop(task, None)
            if new:
                self._tasks_by_state[new][task] = None
            declared = task.split("/")[1] if "/" in task else task
            self._done_counts[declared] += (new == "done") - (old == "done")
            self._unsuccessful_counts[declared] += (new in _UNSUCCESSFUL_STATES) - (
                old in _UNSUCCESSFUL_STATES
            )
        if self.listener is not None:
            self.listener(task, before, after)

    def _update_durable_indexes(
        self, names: set[str], before: dict[str, Entry], after: dict[str, Entry]
    ) -> None:
        for task in names:
            old, new = before.get(task), after.get(task)
            if old is not None and old.state == "assigned":
                self._durable_by_shard[old.shard].pop(task, None)
                self._changed_by_shard[old.shard].add(task)
            if new is not None and new.state == "assigned":
                self._durable_by_shard[new.shard][task] = new
                self._changed_by_shard[new.shard].add(task)

    def _get_record(self, task: str) -> VersionedRecord[Entry]:
        return self.records[zlib.crc32(task.encode()) % len(self.records)]
