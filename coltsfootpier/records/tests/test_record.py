"""Tests of records written by compare-and-swap."""

from __future__ import annotations

import random
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from coltsfootpier.platform import Item
from coltsfootpier.records import (
    RecordEpochError,
    RecordGapError,
    VersionedRecord,
    Write,
    replay_record,
)
from coltsfootpier.transport import unstructure


@attrs.frozen
class _Entry:
    value: int


class _Store:
    """In-memory store with compare-and-swap."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self._version = 0

    def get(self, key: str) -> Item:
        return self.items.get(key, Item(key))

    def put(self, write: Write) -> bool:
        if self.get(write.key).version != write.expected_version:
            return False
        self._version += 1
        self.items[write.key] = Item(write.key, write.value, self._version)
        return True


def _load_as_new_owner(store: _Store, epoch: int) -> VersionedRecord[_Entry]:
    record = VersionedRecord(key="k", kind=_Entry, epoch=epoch, writer=f"m{epoch}")
    record.load(*store.items.values())
    _execute_write(store, record)
    return record


def _execute_write(
    store: _Store, record: VersionedRecord[_Entry], *, response_lost: bool = False
) -> bool:
    write = record.start_write()
    if write is None:
        return True
    applied = store.put(write)
    if applied and not response_lost:
        record.confirm(store.get(write.key).version)
        return True
    return record.resolve(store.get(write.key))


class VersionedRecordTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = _Store()
        self.record = _load_as_new_owner(self.store, 1)

    def test_applied_write_with_lost_response_is_confirmed(self) -> None:
        """Guards against writing and acting twice after a lost response."""
        self.record.put("a", _Entry(1))
        self.assertTrue(_execute_write(self.store, self.record, response_lost=True))
        self.assertEqual(self.record.durable, {"a": _Entry(1)})
        self.assertTrue(self.record.is_settled)

    def test_write_without_effect_is_retried(self) -> None:
        """Guards against treating a change as durable that the store never applied."""
        self.record.put("a", _Entry(1))
        write = self.record.start_write()
        self.assertTrue(self.record.resolve(self.store.get(write.key)))
        self.assertEqual(self.record.durable, {})
        self.assertTrue(_execute_write(self.store, self.record))
        self.assertEqual(self.record.durable, {"a": _Entry(1)})

    def test_abandoned_write_may_still_arrive(self) -> None:
        """Guards against an owner that mistakes its own late write for another owner's."""
        self.record.put("a", _Entry(1))
        late = self.record.start_write()
        self.assertTrue(self.record.resolve(self.store.get(late.key)))
        self.record.put("b", _Entry(2))
        self.assertTrue(self.store.put(late))
        self.assertTrue(_execute_write(self.store, self.record))
        self.assertTrue(_execute_write(self.store, self.record))
        self.assertEqual(
            _load_as_new_owner(self.store, 2).durable, {"a": _Entry(1), "b": _Entry(2)}
        )

    def test_write_of_another_owner_is_a_conflict(self) -> None:
        """Guards against an owner that keeps acting after another owner has replaced it."""
        _load_as_new_owner(self.store, 2)
        self.record.put("a", _Entry(1))
        self.assertFalse(_execute_write(self.store, self.record))
        self.assertEqual(self.record.durable, {})

    def test_late_base_of_a_previous_owner_has_no_effect(self) -> None:
        """Guards against a late base of a previous owner that alters entries of the next one."""
        for value in range(200):
            self.record.put("a", _Entry(value))
            late = self.record.start_write()
            if late.key.endswith("/base"):
                break
            self.assertTrue(self.store.put(late))
            self.record.confirm(self.store.get(late.key).version)
        self.assertTrue(late.key.endswith("/base"))
        new_owner = _load_as_new_owner(self.store, 2)
        new_owner.put("a", _Entry(100))
        _execute_write(self.store, new_owner)
        self.store.put(late)
        for value in range(301, 600):
            new_owner.put("a", _Entry(value))
            while not new_owner.is_settled:
                self.assertTrue(_execute_write(self.store, new_owner))
        self.assertEqual(_load_as_new_owner(self.store, 3).durable, {"a": _Entry(599)})

    def test_higher_epoch_in_the_store_is_rejected(self) -> None:
        """Guards against a stale owner that overwrites its successor."""
        _load_as_new_owner(self.store, 2)
        with self.assertRaises(RecordEpochError):
            _load_as_new_owner(self.store, 1)

    def test_missing_journal_value_is_detected(self) -> None:
        """Guards against an owner that acts on entries from an incomplete journal."""
        for value in range(3):
            self.record.put("a", _Entry(value))
            _execute_write(self.store, self.record)
        del self.store.items["k/journal/2"]
        with self.assertRaises(RecordGapError):
            _load_as_new_owner(self.store, 2)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abcde"),
                st.integers(0, 3),
                st.sampled_from(["done", "lost", "refused"]),
            ),
            max_size=400,
        )
    )
    def test_next_owner_reads_what_was_durable(self, steps: list[tuple[str, int, str]]) -> None:
        """Guards against changes that are lost, or reappear, when a new owner replays the record.

        Writes are applied, applied with a lost response, or abandoned, in journal and base values.
        """
        store = _Store()
        record = _load_as_new_owner(store, 1)
        for name, value, outcome in steps:
            if value:
                record.put(name, _Entry(value))
            else:
                record.drop(name)
            if outcome == "refused":
                if record.start_write() is not None:
                    record.abandon()
            else:
                self.assertTrue(_execute_write(store, record, response_lost=outcome == "lost"))
        self.assertEqual(_load_as_new_owner(store, 2).durable, record.durable)

    def test_listener_and_deferred_entries_follow_the_durable_copy(self) -> None:
        """Guards against an index that misses a change, and against a lost deferred entry."""
        rng = random.Random(1)
        record = VersionedRecord(key="k", kind=_Entry, epoch=1, writer="m1")
        index: dict[str, _Entry] = {}
        items: dict[str, Item] = {}

        def update_index(names, before, after) -> None:
            for name in names:
                self.assertEqual(index.pop(name, None), before.get(name))
                if name in after:
                    index[name] = after[name]

        record.listener = update_index
        record.load()
        for _ in range(600):
            name = rng.choice("abcdef")
            change = rng.choice((record.put, record.put_deferred, record.drop))
            change(name, *(() if change == record.drop else (_Entry(rng.randrange(9)),)))
            write = record.start_write()
            if write is not None and rng.random() < 0.2:
                record.abandon()
            elif write is not None:
                items[write.key] = Item(write.key, write.value, write.expected_version + 1)
                record.confirm(write.expected_version + 1)
            self.assertEqual(index, record.durable)
            entries = replay_record("k", items.values())[1]
            self.assertEqual(entries, unstructure(record.durable))
            if record.is_settled and not record._changed:
                self.assertEqual(record.durable, record.working)


if __name__ == "__main__":
    unittest.main()
