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
    """Compare-and-swap in memory."""

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


def _take_over(store: _Store, epoch: int) -> VersionedRecord[_Entry]:
    record = VersionedRecord(key="k", kind=_Entry, epoch=epoch, writer=f"m{epoch}")
    record.load(*store.items.values())
    _carry_out(store, record)
    return record


def _carry_out(store: _Store, record: VersionedRecord[_Entry], *, lost: bool = False) -> bool:
    write = record.begin_write()
    if write is None:
        return True
    done = store.put(write)
    if done and not lost:
        record.confirm(store.get(write.key).version)
        return True
    return record.resolve(store.get(write.key))


class VersionedRecordTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = _Store()
        self.record = _take_over(self.store, 1)

    def test_lost_answer_of_a_write_that_took_effect_is_recognised(self) -> None:
        """Guards against writing, and acting, twice after a lost answer."""
        self.record.put("a", _Entry(1))
        self.assertTrue(_carry_out(self.store, self.record, lost=True))
        self.assertEqual(self.record.durable, {"a": _Entry(1)})
        self.assertTrue(self.record.settled)

    def test_lost_answer_of_a_write_without_effect_is_tried_again(self) -> None:
        """Guards against treating a change as durable that the store never took."""
        self.record.put("a", _Entry(1))
        write = self.record.begin_write()
        self.assertTrue(self.record.resolve(self.store.get(write.key)))
        self.assertEqual(self.record.durable, {})
        self.assertTrue(_carry_out(self.store, self.record))
        self.assertEqual(self.record.durable, {"a": _Entry(1)})

    def test_write_that_was_given_up_may_still_arrive(self) -> None:
        """Guards against an owner that takes its own late write for another owner's."""
        self.record.put("a", _Entry(1))
        late = self.record.begin_write()
        self.assertTrue(self.record.resolve(self.store.get(late.key)))
        self.record.put("b", _Entry(2))
        self.assertTrue(self.store.put(late))
        self.assertTrue(_carry_out(self.store, self.record))
        self.assertTrue(_carry_out(self.store, self.record))
        self.assertEqual(_take_over(self.store, 2).durable, {"a": _Entry(1), "b": _Entry(2)})

    def test_write_of_another_owner_ends_the_ownership(self) -> None:
        """Guards against an owner that goes on after it was superseded."""
        _take_over(self.store, 2)
        self.record.put("a", _Entry(1))
        self.assertFalse(_carry_out(self.store, self.record))
        self.assertEqual(self.record.durable, {})

    def test_base_of_a_previous_owner_that_arrives_late_changes_nothing(self) -> None:
        """Guards against a late base that adds or removes changes of the next owner."""
        for value in range(200):
            self.record.put("a", _Entry(value))
            late = self.record.begin_write()
            if late.key.endswith("/base"):
                break
            self.assertTrue(self.store.put(late))
            self.record.confirm(self.store.get(late.key).version)
        self.assertTrue(late.key.endswith("/base"))
        taker = _take_over(self.store, 2)
        taker.put("a", _Entry(100))
        _carry_out(self.store, taker)
        self.store.put(late)
        for value in range(301, 600):
            taker.put("a", _Entry(value))
            while not taker.settled:
                self.assertTrue(_carry_out(self.store, taker))
        self.assertEqual(_take_over(self.store, 3).durable, {"a": _Entry(599)})

    def test_higher_epoch_in_the_store_is_refused(self) -> None:
        """Guards against a stale owner that overwrites its successor."""
        _take_over(self.store, 2)
        with self.assertRaises(RecordEpochError):
            _take_over(self.store, 1)

    def test_missing_journal_value_is_noticed(self) -> None:
        """Guards against acting on a record with a hole."""
        for value in range(3):
            self.record.put("a", _Entry(value))
            _carry_out(self.store, self.record)
        del self.store.items["k/journal/2"]
        with self.assertRaises(RecordGapError):
            _take_over(self.store, 2)

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
        """Guards against changes that are lost or revived by journal, base or lost answers."""
        store = _Store()
        record = _take_over(store, 1)
        for name, value, fate in steps:
            if value:
                record.put(name, _Entry(value))
            else:
                record.drop(name)
            if fate == "refused":
                if record.begin_write() is not None:
                    record.abandon()
            else:
                self.assertTrue(_carry_out(store, record, lost=fate == "lost"))
        self.assertEqual(_take_over(store, 2).durable, record.durable)

    def test_listener_and_amended_entries_follow_the_durable_copy(self) -> None:
        """Guards against an index that misses a change, or an amended entry that is lost."""
        rng = random.Random(1)
        record = VersionedRecord(key="k", kind=_Entry, epoch=1, writer="m1")
        index: dict[str, _Entry] = {}
        items: dict[str, Item] = {}

        def follow(names, before, after) -> None:
            for name in names:
                self.assertEqual(index.pop(name, None), before.get(name))
                if name in after:
                    index[name] = after[name]

        record.listener = follow
        record.load()
        for _ in range(600):
            name = rng.choice("abcdef")
            change = rng.choice((record.put, record.put_deferred, record.drop))
            change(name, *(() if change == record.drop else (_Entry(rng.randrange(9)),)))
            write = record.begin_write()
            if write is not None and rng.random() < 0.2:
                record.abandon()
            elif write is not None:
                items[write.key] = Item(write.key, write.value, write.expected_version + 1)
                record.confirm(write.expected_version + 1)
            self.assertEqual(index, record.durable)
            entries = replay_record("k", items.values())[1]
            self.assertEqual(entries, unstructure(record.durable))
            if record.settled and not record._changed:
                self.assertEqual(record.durable, record.working)


if __name__ == "__main__":
    unittest.main()
