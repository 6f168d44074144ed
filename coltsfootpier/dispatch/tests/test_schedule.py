"""Tests of periodic jobs."""

from __future__ import annotations

import unittest

import attrs

from coltsfootpier.clock import VirtualClock
from coltsfootpier.dispatch import Dispatcher, Ledger
from coltsfootpier.platform import Item
from coltsfootpier.records import replay_record
from tests.builders import build_declaration

DECLARATION_TEXT = """
[team a]
cores = 64
memory_mb = 64000

[job sweep]
team = a
tasks = 6
cores = 1
memory_mb = 100
run_time_s = 10
every_s = 600
"""


class ScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.items: dict[str, Item] = {}
        self.dispatcher = self._build_dispatcher(epoch=1, items={})

    def _build_dispatcher(self, *, epoch: int, items: dict[str, Item]) -> Dispatcher:
        ledger = Ledger(epoch=epoch, writer=f"m{epoch}", record_count=4)
        ledger.load(items.values())
        dispatcher = Dispatcher(clock=self.clock, ledger=ledger)
        dispatcher.observe_declaration(1, build_declaration(DECLARATION_TEXT))
        return dispatcher

    def _write_records(self, dispatcher: Dispatcher, *, only: int | None = None) -> dict[str, Item]:
        """Perform the writes of all records or of one, and return the content of the store."""
        for index, record in enumerate(dispatcher.ledger.records):
            write = record.start_write()
            if write is not None and only in (None, index):
                self.items[write.key] = Item(write.key, write.value, write.expected_version + 1)
                record.confirm(write.expected_version + 1)
        return dict(self.items)

    def _advance_seconds(self, seconds: float) -> None:
        for _ in range(int(seconds)):
            self.clock.advance(1_000.0)
            self.dispatcher.step()
            self._write_records(self.dispatcher)

    def _complete_tasks(self) -> None:
        for task, entry in self.dispatcher.ledger.iter_entries():
            self.dispatcher.ledger.put(task, attrs.evolve(entry, state="done"))

    def _list_runs(self) -> list[int]:
        return sorted(entry.run for _, entry in self.dispatcher.ledger.iter_entries())

    def test_next_run_is_created_when_due(self) -> None:
        """Guards against a periodic job that runs only once or too early."""
        self._advance_seconds(5)
        self._complete_tasks()
        self._advance_seconds(590)
        self.assertEqual(self._list_runs(), [1] * 6)
        self._advance_seconds(10)
        self.assertEqual(self._list_runs(), [2] * 6)

    def test_runs_do_not_overlap_and_skipped_runs_are_counted(self) -> None:
        """Guards against overlapping runs and against skipped due times that aren't counted."""
        self._advance_seconds(1_500)
        self.assertEqual(self._list_runs(), [1] * 6)
        self._complete_tasks()
        self._advance_seconds(2)
        self.assertEqual(self._list_runs(), [2] * 6)
        self.assertEqual(self.dispatcher.ledger.get("job/sweep/0").skipped, 1)

    def test_change_of_dispatcher_delays_by_one_step_at_most(self) -> None:
        """Guards against a change of dispatcher that delays the next run by a whole period."""
        self._advance_seconds(5)
        self._complete_tasks()
        self._advance_seconds(500)
        items = self._write_records(self.dispatcher)
        self.clock = VirtualClock(start_ms=7.0)
        self.dispatcher = self._build_dispatcher(epoch=2, items=items)
        self._write_records(self.dispatcher)
        self._advance_seconds(90)
        self.assertEqual(self._list_runs(), [1] * 6)
        self._advance_seconds(50)
        self.assertEqual(self._list_runs(), [2] * 6)

    def test_partially_written_run_is_completed(self) -> None:
        """Guards against a run that is created twice or in part.

        The dispatcher crashes after it has written only one of the four records.
        """
        for record_index in range(4):
            with self.subTest(record_index=record_index):
                self.setUp()
                self._advance_seconds(5)
                self._complete_tasks()
                self._advance_seconds(590)
                self.clock.advance(20_000.0)
                self.dispatcher.step()
                items = self._write_records(self.dispatcher, only=record_index)
                runs = set()
                for record in self.dispatcher.ledger.records:
                    record_items = [
                        item for key, item in items.items() if key.startswith(record.prefix)
                    ]
                    entries = replay_record(record.key, record_items)[1]
                    runs |= {entry.get("run", 1) for entry in entries.values()}
                self.dispatcher = self._build_dispatcher(epoch=2, items=items)
                self._write_records(self.dispatcher)
                self._advance_seconds(3)
                self.assertEqual(self._list_runs(), [max(runs, default=1)] * 6)
                self.assertEqual(
                    {entry.attempt for _, entry in self.dispatcher.ledger.iter_entries()}, {0}
                )


if __name__ == "__main__":
    unittest.main()
