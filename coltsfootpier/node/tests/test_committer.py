"""Tests of commits: unknown outcomes, unavailable stores and replaced owners."""

import unittest
from unittest import mock

import anyio
from returns.result import Failure, Success

from coltsfootpier.cells.tests.builders import SimulatedCell, build_job, build_step
from coltsfootpier.clock import VirtualClock
from coltsfootpier.jobs import TaskKey
from coltsfootpier.journal import Head, decode_head
from coltsfootpier.node import _timing
from coltsfootpier.node._change_sender import MAX_ATTEMPTS, ChangeSender
from coltsfootpier.node._committer import OwnershipLost
from coltsfootpier.node.keys import HEAD_KEY, LEARNED_KEY, job_key
from coltsfootpier.node.tests.builders import MemoryStore, build_committer
from coltsfootpier.platform import LeaseLost, StoreUnavailable, StoreUnknown
from coltsfootpier.transport import encode


class CommitterTest(unittest.TestCase):
    """Effects of store responses on jobs and on the ownership."""

    def setUp(self):
        self.store = MemoryStore()
        self.confirmed = []
        self.committer = build_committer(self.store, self.confirmed.append)
        self.simulated = SimulatedCell()
        self.simulated.is_durable = False
        self.simulated.join()

    def _commit(self):
        return anyio.run(self.committer._commit, self.simulated.cell)

    def test_change_proves_the_ownership_from_before_its_first_attempt(self):
        """Guards against a proof that covers a successor which claimed after a late attempt."""
        clock = self.committer._clock
        change = self.store.commit

        async def commit(**change_arguments):
            result = await change(**change_arguments)
            clock.advance(700.0)
            return result

        self.store.commit = commit
        for faults in ([], [StoreUnknown("lost")]):
            sent_ms = clock.now_ms()
            self.store.faults = faults
            self.simulated.submit(f"j{sent_ms}")
            self._commit()
            self.assertEqual(self.confirmed, [sent_ms])
            self.confirmed.clear()

    def test_failed_change_proves_nothing(self):
        """Guards against a proof by a change that a later owner has prevented."""
        self.store.put(HEAD_KEY, encode(Head(generation=4, holder="other")))
        self.simulated.submit("j")
        self.assertIsInstance(self._commit(), OwnershipLost)
        self.store.faults = [StoreUnavailable("busy")]
        self._commit()
        self.assertEqual(self.confirmed, [])

    def test_job_is_durable_after_a_commit(self):
        """Guards against an accepted job that isn't in the store."""
        job = self.simulated.submit("j").job
        self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)
        self.assertIsNotNone(self.store.read(job_key("j")).value)

    def test_large_records_share_no_change(self):
        """Guards against a change whose records keep the event loop from renewing the lease."""
        spec = build_job(*[build_step()] * 20, occurrences=1_000)
        for name in ("i", "j", "k"):
            job = self.simulated.submit(name, spec).job
            for number in range(900):
                for step in range(20):
                    job.record.done.add(TaskKey(number, step, 0))
        self.simulated.submit("small")
        sizes = []
        for _ in range(4):
            before = self.simulated.cell.jobs.dirty_count
            self._commit()
            sizes.append(before - self.simulated.cell.jobs.dirty_count)
        self.assertEqual(sizes, [1, 1, 2, 0])

    def test_learned_state_is_written_with_next_change(self):
        """Guards against a store call for learned state alone, and against its loss."""
        self.committer.put_learned(b"{}")
        self._commit()
        self.assertEqual(self.store.commits, [])
        self.simulated.submit("i")
        self._commit()
        self.assertEqual(self.store.read(LEARNED_KEY).value, b"{}")
        self.simulated.submit("j")
        self._commit()
        written = [write.key for write in self.store.commits[-1]["puts"]]
        self.assertNotIn(LEARNED_KEY, written)

    def test_single_record_is_written_after_unknown_outcome(self):
        """Guards against a record reported as durable too early, or written only with a job."""
        self.committer.put_record("k", b"1")
        self.assertFalse(self.committer.is_written("k"))
        self.store.faults = [StoreUnknown("lost")]
        self.assertIsNone(self._commit())
        self.assertTrue(self.committer.is_written("k"))
        self.assertEqual(self.store.read("k").value, b"1")

    def test_single_records_beside_many_jobs(self):
        """Guards against a change with more entries than the store accepts."""
        for number in range(40):
            self.simulated.submit(f"j{number}")
        for number in range(6):
            self.committer.put_record(f"k{number}", b"1")
        for _ in range(3):
            self._commit()
        for commit in self.store.commits:
            self.assertLessEqual(len(commit["expect"]) + len(commit["puts"]), 32)
        self.assertTrue(all(self.committer.is_written(f"k{number}") for number in range(6)))

    def test_ended_jobs_are_removed_after_retention(self):
        """Guards against unbounded growth of store and memory with the number of jobs."""
        self.committer._clock = clock = VirtualClock()
        self.simulated.now_ms = clock.now_ms()
        self.simulated.submit("old")
        self._commit()
        self.simulated.cell.cancel("old", clock.now_ms())
        self._commit()
        clock.advance(119_000)
        self.simulated.submit("a")
        self._commit()
        self.assertIn("old", self.simulated.cell.jobs.jobs)
        clock.advance(2_000)
        self.simulated.submit("b")
        self._commit()
        self.assertNotIn("old", self.simulated.cell.jobs.jobs)
        self.assertIsNone(self.store.read(job_key("old")).value)
        self.assertIsNotNone(self.store.read(job_key("a")).value)

    def test_ended_job_is_kept_when_removal_fails(self):
        """Guards against a job that is reported as missing while its record may still exist."""
        self.committer._clock = clock = VirtualClock()
        self.simulated.submit("old")
        self._commit()
        self.simulated.cell.cancel("old", clock.now_ms())
        self._commit()
        clock.advance(121_000)
        self.store.faults = [StoreUnavailable("busy")]
        self.simulated.submit("refused")
        self._commit()
        self.assertIn("old", self.simulated.cell.jobs.jobs)

    def test_unavailable_store_withdraws_new_jobs(self):
        """Guards against a caller that gets a 503 response while the job is kept and runs."""
        self.store.faults = [StoreUnavailable("busy")]
        self.simulated.submit("j")
        self._commit()
        self.assertNotIn("j", self.simulated.cell.jobs.jobs)
        self._commit()
        self.assertIsNone(self.store.read(job_key("j")).value)

    def test_lost_response_is_resolved(self):
        """Guards against a job reported as undecided although its record was written."""
        self.store.faults = [StoreUnknown("lost")]
        job = self.simulated.submit("j").job
        self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)
        self.assertEqual(len(self.store.commits), 2)

    def test_unanswered_attempt_does_not_delay_the_next(self):
        """Guards against jobs that wait for the time limit of each lost response."""
        self.store.unanswered_count = 2
        job = self.simulated.submit("j").job
        with mock.patch.object(_timing, "COMMIT_RETRY_MS", 10.0):
            self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)
        self.assertGreaterEqual(len(self.store.commits), 3)

    def test_concurrent_attempts_are_bounded(self):
        """Guards against an unbounded number of attempts while the store doesn't respond."""
        self.store.unanswered_count = 100
        self.committer._sender._timer.period_ms = 10.0
        self.simulated.submit("j")

        async def commit():
            with anyio.move_on_after(0.5):
                await self.committer._commit(self.simulated.cell)

        anyio.run(commit)
        self.assertEqual(len(self.store.commits), MAX_ATTEMPTS)

    def test_jobs_behind_a_stuck_change_are_withdrawn(self):
        """Guards against callers that wait until their deadlines for jobs that were never sent."""
        self.simulated.submit("j")
        self.store.faults = [StoreUnknown("lost")] + [StoreUnavailable("down")] * 1_000

        async def commit():
            with anyio.move_on_after(10):
                async with anyio.create_task_group() as group:
                    group.start_soon(self.committer._commit, self.simulated.cell)
                    while not self.store.commits:
                        await anyio.sleep(0)
                    self.simulated.submit("k")
                    while "k" in self.simulated.cell.jobs.jobs:
                        await anyio.sleep(0.01)
                    group.cancel_scope.cancel()

        anyio.run(commit)
        # The record of the first job may have been written, so that job isn't withdrawn.
        self.assertIn("j", self.simulated.cell.jobs.jobs)
        self.assertNotIn("k", self.simulated.cell.jobs.jobs)

    def test_unavailable_attempt_beside_an_unanswered_one(self):
        """Guards against rejecting a job while an attempt may still take effect."""
        self.store.unanswered_count = 1
        self.store.faults = [StoreUnavailable("busy")] * 3
        job = self.simulated.submit("j").job
        with mock.patch.object(_timing, "COMMIT_RETRY_MS", 10.0):
            self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)

    def test_one_lost_response_does_not_mark_store_down(self):
        """Guards against rejecting jobs because of an unavailable store after one lost packet."""
        self.committer._record_outcome(Failure(StoreUnknown("overdue")), 150.0)
        self.assertTrue(self.committer.is_store_responding)
        self.committer._record_outcome(Failure(StoreUnknown("reset")), 2.0)
        self.assertFalse(self.committer.is_store_responding)
        self.committer._record_outcome(Success(1), 5.0)
        self.assertTrue(self.committer.is_store_responding)
        self.committer._record_outcome(Failure(StoreUnavailable("busy")), 5.0)
        self.assertFalse(self.committer.is_store_responding)

    def test_job_is_not_withdrawn_after_a_lost_response(self):
        """Guards against rejecting a job whose record may have been written."""
        self.store.faults = [StoreUnknown("lost"), StoreUnavailable("busy")]
        job = self.simulated.submit("j").job
        self.assertIsNone(self._commit())
        self.assertEqual(job.durable_version, job.version)

    def test_retry_expects_the_same_head(self):
        """Guards against a late first attempt that overwrites a later change."""
        self.store.faults = [StoreUnknown("lost")]
        self.store.apply_unknown = False
        self.simulated.submit("j")
        self._commit()
        expects = [commit["expect"] for commit in self.store.commits]
        self.assertEqual(expects[0], expects[1])
        before = self.store.read(HEAD_KEY).version
        late = self.store.commits[0]
        anyio.run(lambda: self.store.commit(expect=late["expect"], puts=late["puts"]))
        self.assertEqual(self.store.read(HEAD_KEY).version, before)

    def test_idle_cell_accepts_jobs_again_after_failed_change(self):
        """Guards against an idle cell that rejects all jobs after one failed change."""
        self.committer._clock = clock = VirtualClock()
        self.store.faults = [StoreUnavailable("busy")]
        self.simulated.submit("j")
        self._commit()
        self.assertTrue(self.committer.is_stuck)
        clock.advance(1_000)
        self.assertFalse(self.committer.is_stuck)

    def test_number_of_abandoned_change_is_not_reused(self):
        """Guards against a late attempt that is mistaken for a later change with other jobs."""
        self.store.faults = [StoreUnknown("late"), LeaseLost("9")]
        self.store.apply_unknown = False
        self.simulated.submit("j")
        self.committer.rebind_owner(9)
        self._commit()
        late = self.store.commits[0]
        anyio.run(lambda: self.store.commit(expect=late["expect"], puts=late["puts"]))
        second = self.simulated.submit("k").job
        self.assertIsInstance(self._commit(), OwnershipLost)
        self.assertEqual(second.durable_version, 0)
        self.assertIsNone(self.store.read(job_key("k")).value)

    def test_job_of_an_abandoned_change_is_not_withdrawn(self):
        """Guards against a 503 response for a job that a late attempt makes durable."""
        self.store.faults = [StoreUnknown("late"), LeaseLost("9"), StoreUnavailable("busy")]
        self.store.apply_unknown = False
        self.simulated.submit("j")
        self.committer.rebind_owner(9)
        self._commit()
        self._commit()
        late = self.store.commits[0]
        anyio.run(lambda: self.store.commit(expect=late["expect"], puts=late["puts"]))
        self.assertIsNotNone(self.store.read(job_key("j")).value)
        self.assertIn("j", self.simulated.cell.jobs.jobs)

    def test_token_is_raised_once_the_head_with_it_is_durable(self):
        """Guards against a token that the next owner uses, too."""
        tokens = []
        self.committer._on_token_raised = tokens.append
        self.committer.raise_token()
        self.store.faults = [StoreUnavailable("busy")]
        self._commit()
        self.assertEqual(tokens, [])
        self._commit()
        self.assertEqual(tokens, [4])
        head = decode_head(self.store.read(HEAD_KEY).value)
        self.assertEqual(head.claim("other").generation, 5)
        self._commit()
        self.assertEqual(tokens, [4])

    def test_token_of_an_abandoned_change_is_not_used(self):
        """Guards against a token above the head, which the next owner would use, too."""
        tokens = []
        self.committer._on_token_raised = tokens.append
        self.committer.raise_token()
        self.committer.rebind_owner(9)
        self.store.faults = [LeaseLost("9")]
        self._commit()
        self.assertEqual(tokens, [])
        self._commit()
        self.assertEqual(tokens, [decode_head(self.store.read(HEAD_KEY).value).generation])

    def test_replaced_owner_writes_nothing(self):
        """Guards against an owner that keeps writing after another one has claimed the cell."""
        claimed = Head(generation=4, holder="other")
        self.store.put(HEAD_KEY, encode(claimed))
        self.simulated.submit("j")
        result = self._commit()
        self.assertIsInstance(result, OwnershipLost)
        self.assertIsNone(self.store.read(job_key("j")).value)
        self.assertEqual(decode_head(self.store.read(HEAD_KEY).value), claimed)

    def test_many_jobs_are_split_into_several_changes(self):
        """Guards against a change with more entries than the store accepts."""
        for number in range(60):
            self.simulated.submit(f"j{number}")
        self._commit()
        self.assertLessEqual(len(self.store.commits[0]["puts"]) + 1, 32)
        self._commit()
        self._commit()
        self.assertEqual(self.simulated.cell.jobs.dirty_count, 0)


class ChangeSenderTest(unittest.TestCase):
    """Attempts of one change."""

    def _count_attempts(self, **arguments):
        attempts = []

        async def send():
            attempts.append(None)
            await anyio.sleep_forever()

        async def run():
            sender = ChangeSender(clock=VirtualClock(), on_outcome=lambda *_: None)
            with anyio.move_on_after(0.5):
                await sender.send_until_resolved(send, **arguments)

        anyio.run(run)
        return len(attempts)

    def test_long_change_is_sent_again_later(self):
        """Guards against copies of a long change that keep one another from arriving.

        A fleet record of 1,500 runners takes 0.4 s on a link of 5 Mbit/s.
        """
        self.assertGreater(self._count_attempts(), 2)
        transfer_ms = _timing.compute_transfer_ms(260_000)
        self.assertEqual(self._count_attempts(transfer_ms=transfer_ms), 1)

    def test_short_change_is_sent_again_as_before(self):
        """Guards against jobs that wait longer for a change whose response was lost."""
        self.assertEqual(_timing.compute_transfer_ms(_timing.FREE_CHANGE_BYTES), 0.0)


if __name__ == "__main__":
    unittest.main()
