"""A record with a working copy and the copy that is known to be durable.

In the store a record is a base value with all entries and a ring of journal values, each with
the entries of one write. A write costs in proportion to what changed, and the base is written
anew once the journal holds about as many entries as the record.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

import attrs

from coltsfootpier.exceptions import InvariantError
from coltsfootpier.platform import Item
from coltsfootpier.transport import MalformedMessageError, decode, unstructure

_E = TypeVar("_E")

# Called with the names that a write changed, their durable entries before it, and all durable
# entries after it.
Listener = Callable[[set[str], dict[str, Any], dict[str, Any]], None]

# Journal values of a record. A take-over reads all of them with one call.
JOURNAL_SLOTS = 256
# The base is written anew before the ring would overwrite a value that it doesn't include.
_MAX_JOURNAL = JOURNAL_SLOTS - 8
# Records with few entries would otherwise write their base with nearly each change.
_MIN_JOURNAL_ENTRIES = 64


class RecordEpochError(InvariantError):
    """A record in the store has a higher epoch than its owner."""


class RecordGapError(InvariantError):
    """A journal value is missing between the base and the newest one."""


@attrs.frozen
class RecordHeader:
    """Fields of a store value beside its entries.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that wrote the value.
    token : str
        Names the write; tells after a lost answer whether it took effect.
    fence : int
        Further number that never decreases: the dispatcher's epoch in a shard record, the
        configuration's revision in a ledger bucket.
    number : int
        Number of the write; a base includes all writes up to its number.
    """

    epoch: int = 0
    token: str = ""
    fence: int = 0
    number: int = 0


@attrs.frozen
class Write:
    """A conditional write to carry out."""

    key: str
    value: dict[str, Any]
    expected_version: int
    token: str


@attrs.frozen
class _InFlight(Generic[_E]):
    """A write that was begun: changed entries (None: removed), and the header."""

    write: Write
    header: RecordHeader
    changes: dict[str, _E | None]
    is_base: bool = False


class VersionedRecord(Generic[_E]):
    """Entries by name, changed in the working copy and acted upon only when durable.

    Parameters
    ----------
    key : str
        Prefix of the record's keys in the store.
    kind : type
        attrs class of an entry.
    epoch : int
        Epoch of the owner.
    writer : str
        Unique name of the owner's incarnation, used in write tokens.
    """

    def __init__(self, *, key: str, kind: type[_E], epoch: int, writer: str) -> None:
        self.key = key
        self.epoch = epoch
        self.working: dict[str, _E] = {}
        self.durable: dict[str, _E] = {}
        self.fence = 0
        self.fenced = False
        # Changes whenever the durable entries do.
        self.durable_version = 0
        self.listener: Listener | None = None
        self._kind = kind
        self._writer = writer
        self._writes = 0
        self._number = 0
        self._base_number = 0
        self._journal_entries = 0
        self._versions: dict[str, int] = {}
        self._changed: set[str] = set()
        self._dirty = False
        self._in_flight: _InFlight[_E] | None = None
        self._given_up: dict[str, _InFlight[_E]] = {}

    @property
    def prefix(self) -> str:
        """Prefix under which all values of the record are listed."""
        return f"{self.key}/"

    @property
    def dirty(self) -> bool:
        """Whether changes wait for a write that has not begun."""
        return self._dirty

    @property
    def settled(self) -> bool:
        """Whether every change is durable."""
        return self.fenced and not self._dirty and self._in_flight is None

    def load(self, *items: Item) -> None:
        """Take the values found at a take-over; the record must be written once before use.

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
        base = next((item for item in items if item.key == f"{self.key}/base"), None)
        self._base_number = _read_header(base).number if base else 0
        self._journal_entries = header.number - self._base_number
        # The next journal value with the new epoch takes the place at which a write of the
        # previous owner that is still on its way would have to go, so that one fails.
        self._dirty = True

    def put(self, name: str, entry: _E) -> None:
        """Add or replace an entry in the working copy."""
        if self.working.get(name) != entry:
            self.put_deferred(name, entry)
            self._dirty = True

    def put_deferred(self, name: str, entry: _E) -> None:
        """Replace an entry by one whose change may wait for the next write."""
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

    def begin_write(self) -> Write | None:
        """Return the next write, or None while one is in flight or nothing changed."""
        if self._in_flight is not None or not self._dirty:
            return None
        self._writes += 1
        token = f"{self._writer}/{self._writes}"
        is_base = self.fenced and self._is_base_due()
        self._in_flight = self._build_base(token) if is_base else self._build_delta(token)
        return self._in_flight.write

    def confirm(self, version: int) -> None:
        """Note that the write in flight took effect as `version`."""
        done, self._in_flight = self._in_flight, None
        if done is None:
            return
        self._given_up.clear()
        self._versions[done.write.key] = version
        if done.is_base:
            self._base_number = done.header.number
            self._journal_entries = 0
            return
        self._number = done.header.number
        self._journal_entries += max(1, len(done.changes))
        before = {name: self.durable.get(name) for name in done.changes}
        for name, entry in done.changes.items():
            if entry is None:
                self.durable.pop(name, None)
            else:
                self.durable[name] = entry
        self.fenced = True
        self.durable_version += 1
        if self.listener is not None:
            self.listener(set(done.changes), before, self.durable)

    def abandon(self) -> None:
        """Note that the write in flight has not taken effect; it is tried again."""
        given_up, self._in_flight = self._in_flight, None
        if given_up is not None:
            # It may still be on its way; a later conflict with it is no other owner's write.
            self._given_up[given_up.write.token] = given_up
            self._changed |= given_up.changes.keys()
        self._dirty = True

    def resolve(self, item: Item) -> bool:
        """Settle a write whose answer was lost, or that met a conflict, from a later read.

        Parameters
        ----------
        item : Item
            The value of the write's key as read after the write was given up.

        Returns
        -------
        bool
            False when another owner has written, so that this owner must stop acting.
        """
        if self._in_flight is None:
            return item.version == self._versions.get(item.key, 0)
        done = self._in_flight
        if item.version == done.write.expected_version:
            self.abandon()
            return True
        header = _read_header(item)
        if header.token == done.write.token:
            self.confirm(item.version)
            return True
        if header.token in self._given_up:
            earlier = self._given_up[header.token]
            self.abandon()
            self._in_flight = earlier
            self.confirm(item.version)
            return True
        if done.is_base and header.epoch <= self.epoch and header.number < self._number:
            # A previous owner's base that was still on its way; it holds no more than the
            # journal does, and the next base replaces it.
            self._versions[item.key] = item.version
            self.abandon()
            return True
        return False

    def _is_base_due(self) -> bool:
        entries = self._journal_entries > max(_MIN_JOURNAL_ENTRIES, len(self.durable))
        return entries or self._number - self._base_number >= _MAX_JOURNAL

    def _build_base(self, token: str) -> _InFlight[_E]:
        # Holds the durable copy only. With further changes in it, a base that arrives after
        # the next owner's first journal value would add a history that this owner never read.
        header = RecordHeader(self.epoch, token, self.fence, self._number)
        value = {"header": unstructure(header), "entries": unstructure(self.durable)}
        return _InFlight(self._write("base", value, token), header, {}, is_base=True)

    def _build_delta(self, token: str) -> _InFlight[_E]:
        header = RecordHeader(self.epoch, token, self.fence, self._number + 1)
        changes = {name: self.working.get(name) for name in sorted(self._changed)}
        puts = {name: entry for name, entry in changes.items() if entry is not None}
        drops = [name for name, entry in changes.items() if entry is None]
        value = {"header": unstructure(header), "put": unstructure(puts), "drop": drops}
        self._changed.clear()
        self._dirty = False
        return _InFlight(self._write(_slot(header.number), value, token), header, changes)

    def _write(self, name: str, value: dict[str, Any], token: str) -> Write:
        key = f"{self.key}/{name}"
        return Write(key, value, self._versions.get(key, 0), token)


def replay_record(
    key: str, items: Iterable[Item]
) -> tuple[RecordHeader, dict[str, dict[str, Any]]]:
    """Return the newest header and the entries of a record from its store values.

    Parameters
    ----------
    key : str
        Key of the record.
    items : iterable of Item
        All items under the record's prefix, in any order.

    Returns
    -------
    header : RecordHeader
        Header of the newest write.
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
    base = header.number
    for delta, value in sorted(deltas, key=lambda pair: pair[0].number):
        if delta.number <= base:
            continue
        if delta.number != header.number + 1:
            raise RecordGapError(f"{key}: write {delta.number} after {header.number}")
        header = delta
        entries.update(value["put"])
        for name in value["drop"]:
            entries.pop(name, None)
    return header, entries


def _slot(number: int) -> str:
    return f"journal/{number % JOURNAL_SLOTS}"


def _read_header(item: Item) -> RecordHeader:
    value = item.value or {}
    if not isinstance(value, dict):
        raise MalformedMessageError(f"{item.key}: not a record")
    return decode(value.get("header", {}), RecordHeader)
