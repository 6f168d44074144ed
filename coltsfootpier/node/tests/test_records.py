"""Records that a new owner loads, also ones that can't be decoded."""

import unittest
from unittest import mock

import anyio
import anyio.lowlevel
from returns.result import Success

from coltsfootpier.cells.tests.builders import build_entry, build_job, build_step
from coltsfootpier.jobs import JobRecord, TaskSet, encode_record
from coltsfootpier.node._records import encode_fleet, load_records
from coltsfootpier.node.keys import FLEET_KEY, MAINTENANCE_KEY, job_key
from coltsfootpier.node.tests.builders import MemoryStore

JOB = "5c0e7a21d94b36f8"


class LoadTest(unittest.TestCase):
    """Records in a store."""

    def setUp(self):
        self.store = MemoryStore()
        self.store.list_all = self._list_all

    async def _list_all(self, prefix):
        items = self.store.items.items()
        return Success([item for key, item in items if key.startswith(prefix)])

    def _load(self):
        with mock.patch("coltsfootpier.node._records.log_event") as self.log:
            return anyio.run(load_records, self.store).unwrap()

    def test_other_tasks_run_between_records(self):
        """Guards against a new owner that can't renew its lease while it decodes large records."""
        spec = build_job(*[build_step()] * 20, occurrences=1_000)
        for number in range(5):
            job_id = f"{number:016x}"
            record = JobRecord(
                id=job_id,
                queue="q",
                service="s",
                accepted_unix_ms=0.0,
                spec=spec,
                done=TaskSet(spec),
            )
            self.store.put(job_key(job_id), encode_record(record))
        turns = []

        async def load():
            async with anyio.create_task_group() as group:
                group.start_soon(count_turns)
                loaded = await load_records(self.store)
                group.cancel_scope.cancel()
            return loaded.unwrap()

        async def count_turns():
            while True:
                turns.append(None)
                await anyio.lowlevel.checkpoint()

        self.assertEqual(len(anyio.run(load).jobs), 5)
        self.assertGreaterEqual(len(turns), 5)

    def test_unreadable_list_of_runners_is_not_empty(self):
        """Guards against an owner that waits for no runner and starts every task a second time."""
        self.store.put(FLEET_KEY, b'{"runners":7}')
        loaded = self._load()
        self.assertEqual((loaded.fleet, loaded.is_fleet_complete), ((), False))
        self.log.assert_called_once_with("cannot decode record", key=FLEET_KEY, reason=mock.ANY)

    def test_incomplete_list_of_runners(self):
        """Guards against a second owner that takes an incomplete list for a complete one."""
        for is_complete in (False, True):
            value = encode_fleet([build_entry("a")], is_complete=is_complete)
            self.store.put(FLEET_KEY, value)
            loaded = self._load()
            self.assertEqual([entry.id for entry in loaded.fleet], ["a"])
            self.assertEqual(loaded.is_fleet_complete, is_complete)

    def test_long_leases_of_runners(self):
        """Guards against a next owner that counts a shorter lease than a runner may hold."""
        entries = [build_entry("a"), build_entry("b")]
        self.store.put(FLEET_KEY, encode_fleet(entries, long_leases={"b": 10_650.0, "c": 1.0}))
        self.assertEqual(self._load().long_leases, {"b": 10_650.0})

    def test_incarnations_of_runners(self):
        """Guards against a next owner that can't tell that a runner has restarted since."""
        self.store.put(FLEET_KEY, encode_fleet([build_entry("a", started_unix_ms=7)]))
        (entry,) = self._load().fleet
        self.assertEqual(entry.started_unix_ms, 7)

    def test_list_of_runners_that_was_never_written(self):
        """Guards against a first owner that waits for runners of owners that never were."""
        self.assertTrue(self._load().is_fleet_complete)

    def test_unreadable_progress_of_maintenance(self):
        """Guards against commands beside those that an earlier owner has in flight."""
        self.assertEqual(self._load().maintenance.waves, ())
        self.store.put(MAINTENANCE_KEY, b"[")
        self.assertIsNone(self._load().maintenance)

    def test_unreadable_job(self):
        """Guards against a job that is reported as missing, or accepted and run again."""
        self.store.put(job_key(JOB), b"{}")
        loaded = self._load()
        self.assertEqual((loaded.jobs, loaded.unreadable_jobs), ([], {JOB}))


if __name__ == "__main__":
    unittest.main()
