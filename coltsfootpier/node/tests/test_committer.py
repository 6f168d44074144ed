"""Changes whose outcome isn't known, and owners that were replaced."""

import unittest
from unittest import mock

import anyio
from returns.result import Failure, Success

from coltsfootpier.cells.tests.builders import SimulatedCell
from coltsfootpier.clock import VirtualClock
from coltsfootpier.journal import Head, decode_head
from coltsfootpier.node import _timing
from coltsfootpier.node._committer import Deposed
from coltsfootpier.node._tries import MAX_TRIES
from coltsfootpier.node.keys import HEAD_KEY, LEARNED_KEY, job_key
from coltsfootpier.node.tests.builders import MemoryStore, build_committer
from coltsfootpier.platform import LeaseLost, StoreUnavailable, StoreUnknown
from coltsfootpier.transport import encode


class CommitterTest(unittest.TestCase):
    """What the store's answers mean for jobs and for the ownership."""

    def setUp(self):
        self.store = MemoryStore()
        self.committer = build_committer(self.store)
        self.world = SimulatedCell()
        self.world.is_durable = False
        self.world.join()

    def _commit(self):
        return anyio.run(self.committer._commit, self.world.cell)

    def test_job_is_durable_after_a_commit(self):
        """Guards against an accepted job that isn't in the store."""
        job = self.world.submit("j").job
        self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)
        self.assertIsNotNone(self.store.read(job_key("j")).value)

    def test_learned_state_is_written_along(self):
        """Guards against a call of the store for nothing else, and against a value that is lost."""
        self.committer.put_learned(b"{}")
        self._commit()
        self.assertEqual(self.store.commits, [])
        self.world.submit("i")
        self._commit()
        self.assertEqual(self.store.read(LEARNED_KEY).value, b"{}")
        self.world.submit("j")
        self._commit()
        written = [write.key for write in self.store.commits[-1]["puts"]]
        self.assertNotIn(LEARNED_KEY, written)

    def test_single_record(self):
        """Guards against a record that counts as durable before it is, or that waits for a job."""
        self.committer.put_record("k", b"1")
        self.assertFalse(self.committer.is_written("k"))
        self.store.faults = [StoreUnknown("lost")]
        self.assertIsNone(self._commit())
        self.assertTrue(self.committer.is_written("k"))
        self.assertEqual(self.store.read("k").value, b"1")

    def test_single_records_beside_many_jobs(self):
        """Guards against a change with more entries than the store takes."""
        for number in range(40):
            self.world.submit(f"j{number}")
        for number in range(6):
            self.committer.put_record(f"k{number}", b"1")
        for _ in range(3):
            self._commit()
        for commit in self.store.commits:
            self.assertLessEqual(len(commit["expect"]) + len(commit["puts"]), 32)
        self.assertTrue(all(self.committer.is_written(f"k{number}") for number in range(6)))

    def test_ended_jobs_are_forgotten_after_their_time(self):
        """Guards against a store and a memory that grow with each job for ever."""
        self.committer._clock = clock = VirtualClock()
        self.world.now_ms = clock.now_ms()
        self.world.submit("old")
        self._commit()
        self.world.cell.cancel("old", clock.now_ms())
        self._commit()
        clock.advance(119_000)
        self.world.submit("a")
        self._commit()
        self.assertIn("old", self.world.cell.jobs.jobs)
        clock.advance(2_000)
        self.world.submit("b")
        self._commit()
        self.assertNotIn("old", self.world.cell.jobs.jobs)
        self.assertIsNone(self.store.read(job_key("old")).value)
        self.assertIsNotNone(self.store.read(job_key("a")).value)

    def test_ended_job_is_kept_while_its_removal_is_unknown(self):
        """Guards against a job that is answered as unknown while its record may be there."""
        self.committer._clock = clock = VirtualClock()
        self.world.submit("old")
        self._commit()
        self.world.cell.cancel("old", clock.now_ms())
        self._commit()
        clock.advance(121_000)
        self.store.faults = [StoreUnavailable("busy")]
        self.world.submit("refused")
        self._commit()
        self.assertIn("old", self.world.cell.jobs.jobs)

    def test_refused_call_withdraws_new_jobs(self):
        """Guards against a caller who is told 503 while the job is kept and runs."""
        self.store.faults = [StoreUnavailable("busy")]
        self.world.submit("j")
        self._commit()
        self.assertNotIn("j", self.world.cell.jobs.jobs)
        self._commit()
        self.assertIsNone(self.store.read(job_key("j")).value)

    def test_lost_answer_is_resolved(self):
        """Guards against a job that is reported as undecided although its record was written."""
        self.store.faults = [StoreUnknown("lost")]
        job = self.world.submit("j").job
        self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)
        self.assertEqual(len(self.store.commits), 2)

    def test_silent_try_does_not_hold_up_the_next(self):
        """Guards against jobs that wait for the time limit of each answer that is lost."""
        self.store.silent = 2
        job = self.world.submit("j").job
        with mock.patch.object(_timing, "COMMIT_REPEAT_MS", 10.0):
            self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)
        self.assertGreaterEqual(len(self.store.commits), 3)

    def test_tries_under_way_are_bounded(self):
        """Guards against a silent store that gets more tries of a change with each moment."""
        self.store.silent = 100
        self.committer._sender._timer.period_ms = 10.0
        self.world.submit("j")

        async def commit():
            with anyio.move_on_after(0.5):
                await self.committer._commit(self.world.cell)

        anyio.run(commit)
        self.assertEqual(len(self.store.commits), MAX_TRIES)

    def test_jobs_behind_a_change_that_is_stuck(self):
        """Guards against callers who are held to their deadlines for jobs that were never sent."""
        self.world.submit("j")
        self.store.faults = [StoreUnknown("lost")] + [StoreUnavailable("down")] * 1_000

        async def commit():
            with anyio.move_on_after(10):
                async with anyio.create_task_group() as group:
                    group.start_soon(self.committer._commit, self.world.cell)
                    while not self.store.commits:
                        await anyio.sleep(0)
                    self.world.submit("k")
                    while "k" in self.world.cell.jobs.jobs:
                        await anyio.sleep(0.01)
                    group.cancel_scope.cancel()

        anyio.run(commit)
        # The record of the first one may have been written.
        self.assertIn("j", self.world.cell.jobs.jobs)
        self.assertNotIn("k", self.world.cell.jobs.jobs)

    def test_refused_try_beside_a_silent_one(self):
        """Guards against a refusal of a job while a try may yet be carried out."""
        self.store.silent = 1
        self.store.faults = [StoreUnavailable("busy")] * 3
        job = self.world.submit("j").job
        with mock.patch.object(_timing, "COMMIT_REPEAT_MS", 10.0):
            self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)

    def test_silence_for_a_moment_refuses_nobody(self):
        """Guards against callers who are told that the store is away after one lost packet."""
        self.committer._note_outcome(Failure(StoreUnknown("overdue")), 150.0)
        self.assertTrue(self.committer.store_answers)
        self.committer._note_outcome(Failure(StoreUnknown("reset")), 2.0)
        self.assertFalse(self.committer.store_answers)
        self.committer._note_outcome(Success(1), 5.0)
        self.assertTrue(self.committer.store_answers)
        self.committer._note_outcome(Failure(StoreUnavailable("busy")), 5.0)
        self.assertFalse(self.committer.store_answers)

    def test_job_is_not_withdrawn_after_a_lost_answer(self):
        """Guards against a refusal of a job whose record may have been written."""
        self.store.faults = [StoreUnknown("lost"), StoreUnavailable("busy")]
        job = self.world.submit("j").job
        self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)

    def test_repeat_expects_the_same_head(self):
        """Guards against a late first try that overwrites a later change."""
        self.store.faults = [StoreUnknown("lost")]
        self.store.lose_answer = False
        self.world.submit("j")
        self._commit()
        expects = [commit["expect"] for commit in self.store.commits]
        self.assertEqual(expects[0], expects[1])
        before = self.store.read(HEAD_KEY).version
        late = self.store.commits[0]
        anyio.run(lambda: self.store.commit(expect=late["expect"], puts=late["puts"]))
        self.assertEqual(self.store.read(HEAD_KEY).version, before)

    def test_idle_cell_takes_jobs_again_after_a_refusal(self):
        """Guards against a cell without work that refuses all jobs after one failed change."""
        self.committer._clock = clock = VirtualClock()
        self.store.faults = [StoreUnavailable("busy")]
        self.world.submit("j")
        self._commit()
        self.assertTrue(self.committer.is_stuck)
        clock.advance(1_000)
        self.assertFalse(self.committer.is_stuck)

    def test_change_that_was_given_up_keeps_its_number(self):
        """Guards against a late try that is taken for a later change with other jobs."""
        self.store.faults = [StoreUnknown("late"), LeaseLost("9")]
        self.store.lose_answer = False
        self.world.submit("j")
        self.committer.rebind_owner(9)
        self._commit()
        late = self.store.commits[0]
        anyio.run(lambda: self.store.commit(expect=late["expect"], puts=late["puts"]))
        second = self.world.submit("k").job
        self.assertIsInstance(self._commit(), Deposed)
        self.assertEqual(second.durable_version, 0)
        self.assertIsNone(self.store.read(job_key("k")).value)

    def test_replaced_owner_writes_nothing(self):
        """Guards against an owner that goes on after another one has claimed the cell."""
        claimed = Head(generation=4, holder="other")
        self.store.put(HEAD_KEY, encode(claimed))
        self.world.submit("j")
        result = self._commit()
        self.assertIsInstance(result, Deposed)
        self.assertIsNone(self.store.read(job_key("j")).value)
        self.assertEqual(decode_head(self.store.read(HEAD_KEY).value), claimed)

    def test_many_jobs_go_in_parts(self):
        """Guards against a change with more entries than the store takes."""
        for number in range(60):
            self.world.submit(f"j{number}")
        self._commit()
        self.assertLessEqual(len(self.store.commits[0]["puts"]) + 1, 32)
        self._commit()
        self._commit()
        self.assertEqual(self.world.cell.jobs.dirty_count, 0)


if __name__ == "__main__":
    unittest.main()
