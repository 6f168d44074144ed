"""The ledger: state of each task, spread over several values of the store."""

from __future__ import annotations

import zlib
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator

import attrs

from coltsfootpier.platform import Item
from coltsfootpier.records import VersionedRecord, Write

_BROKEN_STATES = frozenset({"refused", "failed"})
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
        Where the attempt is assigned.
    revoking : bool
        Whether the attempt shall be stopped.
    failed_workers : tuple of str
        Distinct workers on which attempts failed.
    digest : str
        Digest of the specification that the attempt was assigned with.
    run : int
        Number of the run of a scheduled job; the attempts of all runs are numbered through.
    elapsed_ms : float
        Time since the creation of the run that is known to have passed; kept with the first
        task of a scheduled job only.
    skipped : int
        Due times of a scheduled job that passed while a run went on; kept as above.
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


Listener = Callable[[str, Entry | None, Entry | None], None]


class Ledger:
    """Entries by task name in a fixed number of records.

    Parameters
    ----------
    epoch : int
        Epoch of the dispatcher.
    writer : str
        Member identifier of this daemon.
    buckets : int, default=8
        Number of store values; a change writes only its own bucket.
    """

    def __init__(self, *, epoch: int, writer: str, buckets: int = 8) -> None:
        self.epoch = epoch
        self.records: list[VersionedRecord[Entry]] = [
            VersionedRecord(
                key=f"records/ledger/{index}",
                kind=Entry,
                epoch=epoch,
                writer=f"{writer}/ledger/{index}",
            )
            for index in range(buckets)
        ]
        self.changes = 0
        self.listener: Listener | None = None
        self._by_state: dict[str, dict[str, None]] = defaultdict(dict)
        self._done: Counter[str] = Counter()
        self._broken: Counter[str] = Counter()
        self._by_shard: dict[str, dict[str, Entry]] = defaultdict(dict)
        self._changed_by_shard: dict[str, set[str]] = defaultdict(set)
        for record in self.records:
            record.listener = self._take_durable

    @property
    def fenced(self) -> bool:
        """Whether each bucket was written with this owner's epoch."""
        return all(record.fenced for record in self.records)

    @property
    def revision(self) -> int:
        """Highest configuration revision that was applied."""
        return max(record.fence for record in self.records)

    def load(self, items: Iterable[Item]) -> None:
        """Take the buckets as found in the store."""
        found = list(items)
        for record in self.records:
            record.load(*(item for item in found if item.key.startswith(record.prefix)))
        self._by_state.clear()
        self._done.clear()
        self._broken.clear()
        self._by_shard.clear()
        for record in self.records:
            self._take_durable(set(record.durable), {}, record.durable)
        for task, entry in self.entries():
            self._index(task, None, entry)

    def get(self, task: str) -> Entry | None:
        """Return the working entry of a task."""
        return self._record(task).working.get(task)

    def get_durable(self, task: str) -> Entry | None:
        """Return the durable entry of a task."""
        return self._record(task).durable.get(task)

    def put(self, task: str, entry: Entry) -> None:
        """Change the working entry of a task."""
        record = self._record(task)
        before = record.working.get(task)
        record.put(task, entry)
        if before != entry:
            self._index(task, before, entry)

    def explain(self, task: str, reason: str) -> None:
        """Set the reason that operators are shown; it alone is not worth a write."""
        record = self._record(task)
        entry = record.working[task]
        if entry.reason != reason:
            record.put_deferred(task, attrs.evolve(entry, reason=reason))

    def drop(self, task: str) -> None:
        """Remove the working entry of a task."""
        record = self._record(task)
        before = record.working.get(task)
        record.drop(task)
        if before is not None:
            self._index(task, before, None)

    def list_tasks(self, state: str) -> dict[str, None]:
        """Return the tasks in a state, in the order in which they entered it."""
        return self._by_state[state]

    def count_done(self, declared: str) -> int:
        """Return how many tasks of a job are done."""
        return self._done[declared]

    def count_broken(self, declared: str) -> int:
        """Return how many tasks of a job were refused or have failed."""
        return self._broken[declared]

    def list_durable(self, shard: str) -> dict[str, Entry]:
        """Return the attempts that are durably assigned to a shard."""
        return self._by_shard[shard]

    def take_changed(self, shard: str) -> set[str]:
        """Return the tasks whose durable assignment to a shard changed since the last call."""
        return self._changed_by_shard.pop(shard, set())

    def raise_revision(self, revision: int) -> None:
        """Note that a configuration revision was applied."""
        for record in self.records:
            record.raise_fence(revision)

    def entries(self) -> Iterator[tuple[str, Entry]]:
        """Yield all working entries."""
        for record in self.records:
            yield from list(record.working.items())

    def begin_writes(self) -> list[tuple[VersionedRecord[Entry], Write]]:
        """Return the conditional writes that are due."""
        writes = ((record, record.begin_write()) for record in self.records)
        return [(record, write) for record, write in writes if write is not None]

    def _index(self, task: str, before: Entry | None, after: Entry | None) -> None:
        self.changes += 1
        old = before.state if before else ""
        new = after.state if after else ""
        if old != new:
            self._by_state[old].pop(task, None)
            if new:
                self._by_state[new][task] = None
            declared = task.split("/")[1] if "/" in task else task
            self._done[declared] += (new == "done") - (old == "done")
            self._broken[declared] += (new in _BROKEN_STATES) - (old in _BROKEN_STATES)
        if self.listener is not None:
            self.listener(task, before, after)

    def _take_durable(
        self, names: set[str], before: dict[str, Entry], after: dict[str, Entry]
    ) -> None:
        for task in names:
            old, new = before.get(task), after.get(task)
            if old is not None and old.state == "assigned":
                self._by_shard[old.shard].pop(task, None)
                self._changed_by_shard[old.shard].add(task)
            if new is not None and new.state == "assigned":
                self._by_shard[new.shard][task] = new
                self._changed_by_shard[new.shard].add(task)

    def _record(self, task: str) -> VersionedRecord[Entry]:
        return self.records[zlib.crc32(task.encode()) % len(self.records)]
