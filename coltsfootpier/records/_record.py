"""Record with a working copy, which its owner changes, and a durable copy.

In the store a record consists of a base value with all entries and a ring of journal values, each
with the changed entries of one write. The cost of a write is proportional to the number of changed
entries, and the base is rewritten once the journal has about as many entries as the record.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

import attrs

from coltsfootpier.exceptions import InvariantError
from coltsfootpier.platform import Item
from coltsfootpier.transport import MalformedMessageError, decode, unstructure

_E = TypeVar("_E")

# Called after a write with the names of the changed entries, their previous durable values, and all
# durable entries.
Listener = Callable[[set[str], dict[str, Any], dict[str, Any]], None]

# Number of journal values of a record. A new owner reads all of them with one call.
JOURNAL_SLOTS = 256
# Number of writes after which the base is rewritten, before the ring overwrites a journal value
# that the base doesn't include.
_MAX_WRITES_SINCE_BASE = JOURNAL_SLOTS - 8
# Minimum number of journal entries before the base is rewritten. Records with few entries would
# otherwise rewrite it with nearly every change.
_MIN_JOURNAL_ENTRIES = 64


class RecordEpochError(InvariantError):
    """The record in the store has a higher epoch than its owner."""


class RecordGapError(InvariantError):
    """A journal value is missing between the base and the latest write."""


@attrs.frozen
class RecordHeader:
    """Fields of a store value other than its entries.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that wrote the value.
    token : str
        Unique name of the write; shows after a lost response whether it took effect.
    fence : int
        Additional number that never decreases: the dispatcher's epoch in a shard record, the
        configuration's revision in a ledger bucket.
    number : int
        Sequence number of the write; a base includes all writes up to its number.
    """

    epoch: int = 0
    token: str = ""
    fence: int = 0
    number: int = 0


@attrs.frozen
class Write:
    """Conditional write to send to the store."""

    key: str
    value: dict[str, Any]
    expected_version: int
    token: str


@attrs.frozen
class _InFlight(Generic[_E]):
    """Write in flight, with its header and the changed entries by name; None if removed."""

    write: Write
    header: RecordHeader
    changes: dict[str, _E | None]
    is_base: bool = False


class VersionedRecord(Generic[_E]):
    """Entries by name, which are changed in a working copy and take effect only when durable.

    Parameters
    ----------
    key : str
        Prefix of the record's keys in the store.
    kind : type
        attrs class of the entries.
    epoch : int
        Epoch of the owner.
    writer : str
        Unique name of the owner's incarnation, used in tokens of writes.
    """

    def __init__(self, *, key: str, kind: type[_E], epoch: int, writer: str) -> None:
        self.key = key
        self.epoch = epoch
        self.working: dict[str, _E] = {}
        self.durable: dict[str, _E] = {}
        self.fence = 0
        # Whether this owner has written a journal value, so that previous owners can't change the
        # entries any more.
        self.is_fenced = False
        # Incremented whenever the durable entries change.
        self.durable_version = 0
        self.listener: Listener | None = None
        self._kind = kind
        self._writer = writer
        self._write_count = 0
        self._number = 0
        self._base_number = 0
        self._journal_entry_count = 0
        self._versions: dict[str, int] = {}
        self._changed: set[str] = set()
        self._dirty = False
        self._in_flight: _InFlight[_E] | None = None
        self._abandoned: dict[str, _InFlight[_E]] = {}

    @property
    def prefix(self) -> str:
        """Prefix under which all values of the record are listed."""
        return f"{self.key}/"

    @property
    def is_dirty(self) -> bool:
        """Whether there are changes that require a write and aren't part of one yet."""
        return self._dirty

    @property
    def is_settled(self) -> bool:
        """Whether every change is durable."""
        return self.is_fenced and not self._dirty and self._in_flight is None

    def load(self, *items: Item) -> None:
        """Load the values in the store for a new owner, who must write the record once before use.

        Parameters
        ----------
        *items : Item
            All items under `prefix`, in any order.

        Raises
        ------
        RecordEpochError
            If a value was written by an owner with a higher epoch.
        RecordGapError
            If a journal value is missing.
        """
        self._versions = {item.key: item.version for item in items}
        header, entries = replay_record(self.key, items)
        if header.epoch > self.epoch:
            raise RecordEpochError(f"{self.key}: epoch {header.epoch} above {self.epoch}")
        self.working = {name: decode(entry, self._kind) for name, entry in entries.items()}
        self.durable = dict(self.working)
        self.durable_version += 1
        self.fence = header.fence
        self._number = header.number
        base_item = next((item for item in items if item.key == f"{self.key}/base"), None)
        self._base_number = _read_header(base_item).number if base_item else 0
        self._journal_entry_count = header.number - self._base_number
        # The next journal value, with the new epoch, occupies the key that a write of the previous
        # owner still in flight would use, so that write fails.
        self._dirty = True

    def put(self, name: str, entry: _E) -> None:
        """Add or replace an entry in the working copy."""
        if self.working.get(name) != entry:
            self.put_deferred(name, entry)
            self._dirty = True

    def put_deferred(self, name: str, entry: _E) -> None:
        """Add or replace an entry by a change that doesn't trigger a write by itself."""
        self.working[name] = entry
        self._changed.add(name)

    def drop(self, name: str) -> None:
        """Remove an entry from the working copy."""
        if self.working.pop(name, None) is not None:
            self._changed.add(name)
            self._dirty = True

    def raise_fence(self, fence: int) -> None:
        """Raise the fence; lower values are ignored."""
        if fence > self.fence:
            self.fence = fence
            self._dirty = True

    def start_write(self) -> Write | None:
        """Start the next write; return None while one is in flight or if nothing changed."""
        if self._in_flight is not None or not self._dirty:
            return None
        self._write_count += 1
        token = f"{self._writer}/{self._write_count}"
        is_base = self.is_fenced and self._is_base_due()
        self._in_flight = self._build_base(token) if is_base else self._build_delta(token)
        return self._in_flight.write

    def confirm(self, version: int) -> None:
        """Apply the write in flight, which took effect and gave its key the version `version`."""
        written, self._in_flight = self._in_flight, None
        if written is None:
            return
        self._abandoned.clear()
        self._versions[written.write.key] = version
        if written.is_base:
            self._base_number = written.header.number
            self._journal_entry_count = 0
            return
        self._number = written.header.number
        self._journal_entry_count += max(1, len(written.changes))
        previous = {name: self.durable.get(name) for name in written.changes}
        for name, entry in written.changes.items():
            if entry is None:
                self.durable.pop(name, None)
            else:
                self.durable[name] = entry
        self.is_fenced = True
        self.durable_version += 1
        if self.listener is not None:
            self.listener(set(written.changes), previous, self.durable)

    def abandon(self) -> None:
        """Abandon the write in flight, which has had no effect; its changes are written again."""
        abandoned, self._in_flight = self._in_flight, None
        if abandoned is not None:
            # It may still take effect, so a later conflict with it doesn't show another owner.
            self._abandoned[abandoned.write.token] = abandoned
            self._changed |= abandoned.changes.keys()
        self._dirty = True

    def resolve(self, item: Item) -> bool:
        """Determine from a read of its key whether a write that failed or timed out took effect.

        Parameters
        ----------
        item : Item
            Item of the write's key, read after the write failed or timed out.

        Returns
        -------
        bool
            False if another owner has written, so that this owner must stop acting.
        """
        if self._in_flight is None:
            return item.version == self._versions.get(item.key, 0)
        in_flight = self._in_flight
        if item.version == in_flight.write.expected_version:
            self.abandon()
            return True
        header = _read_header(item)
        if header.token == in_flight.write.token:
            self.confirm(item.version)
            return True
        if header.token in self._abandoned:
            earlier = self._abandoned[header.token]
            self.abandon()
            self._in_flight = earlier
            self.confirm(item.version)
            return True
        if in_flight.is_base and header.epoch <= self.epoch and header.number < self._number:
            # A base of a previous owner that arrived late. It contains nothing beyond the journal,
            # and the next base replaces it.
            self._versions[item.key] = item.version
            self.abandon()
            return True
        return False

    def _is_base_due(self) -> bool:
        is_journal_long = self._journal_entry_count > max(_MIN_JOURNAL_ENTRIES, len(self.durable))
        return is_journal_long or self._number - self._base_number >= _MAX_WRITES_SINCE_BASE

    def _build_base(self, token: str) -> _InFlight[_E]:
        # The base contains the durable copy only. If it also had changes that aren't durable, one
        # that arrives after the next owner's first journal value would add changes that the next
        # owner never read.
        header = RecordHeader(self.epoch, token, self.fence, self._number)
        value = {"header": unstructure(header), "entries": unstructure(self.durable)}
        return _InFlight(self._build_write("base", value, token), header, {}, is_base=True)

    def _build_delta(self, token: str) -> _InFlight[_E]:
        header = RecordHeader(self.epoch, token, self.fence, self._number + 1)
        changes = {name: self.working.get(name) for name in sorted(self._changed)}
        puts = {name: entry for name, entry in changes.items() if entry is not None}
        drops = [name for name, entry in changes.items() if entry is None]
        value = {"header": unstructure(header), "put": unstructure(puts), "drop": drops}
        self._changed.clear()
        self._dirty = False
        return _InFlight(
            self._build_write(_journal_name(header.number), value, token), header, changes
        )

    def _build_write(self, name: str, value: dict[str, Any], token: str) -> Write:
        key = f"{self.key}/{name}"
        return Write(key, value, self._versions.get(key, 0), token)


def replay_record(
    key: str, items: Iterable[Item]
) -> tuple[RecordHeader, dict[str, dict[str, Any]]]:
    """Replay a record from its store values; return its latest header and its entries.

    Parameters
    ----------
    key : str
        Key of the record.
    items : iterable of Item
        All items under the record's prefix, in any order.

    Returns
    -------
    header : RecordHeader
        Header of the latest write.
    entries : dict
        Entries by name as plain JSON values.

    Raises
    ------
    RecordGapError
        If a journal value is missing.
    """
    header, entries = RecordHeader(), {}
    deltas: list[tuple[RecordHeader, dict[str, Any]]] = []
    for item in items:
        if item.value is None:
            continue
        if item.key == f"{key}/base":
            header, entries = _read_header(item), dict(item.value["entries"])
        else:
            deltas.append((_read_header(item), item.value))
    base_number = header.number
    for delta, value in sorted(deltas, key=lambda pair: pair[0].number):
        if delta.number <= base_number:
            continue
        if delta.number != header.number + 1:
            raise RecordGapError(f"{key}: write {delta.number} after {header.number}")
        header = delta
        entries.update(value["put"])
        for name in value["drop"]:
            entries.pop(name, None)
    return header, entries


def _journal_name(number: int) -> str:
    return f"journal/{number % JOURNAL_SLOTS}"


def _read_header(item: Item) -> RecordHeader:
    value = item.value or {}
    if not isinstance(value, dict):
        raise MalformedMessageError(f"{item.key}: not a record")
    return decode(value.get("header", {}), RecordHeader)
