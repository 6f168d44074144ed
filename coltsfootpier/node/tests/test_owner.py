"""Tests of an owner: unknown jobs, log lines, and runners that know a later owner."""

import unittest
from unittest import mock

import anyio
from returns.result import Failure, Success

from coltsfootpier.cells import CellSettings, RunnerEntry, get_bounds
from coltsfootpier.cells.tests.builders import build_entry, build_job
from coltsfootpier.clock import VirtualClock
from coltsfootpier.journal import Head
from coltsfootpier.node import _timing
from coltsfootpier.node._committer import FleetList
from coltsfootpier.node._owner import Owner
from coltsfootpier.node._records import encode_fleet
from coltsfootpier.node._responses import NOT_OWNER, ResponseStatus
from coltsfootpier.node.keys import FLEET_KEY, HEAD_KEY
from coltsfootpier.node.tests.builders import (
    MemoryStore,
    build_owner,
    build_queue,
    build_submission,
)
from coltsfootpier.platform import StoreUnavailable
from coltsfootpier.transport import decode, encode

# Much longer than needed; a test ends as soon as its condition holds.
TIMEOUT_MS = 20_000.0
# Time that passes in each check of a fence.
CHECK_MS = 600.0


class OwnerTestCase(unittest.TestCase):
    """An owner of generation 1 that isn't running."""

    def setUp(self):
        self.clock = VirtualClock()
        self.store = MemoryStore()
        self.owner = build_owner(self.clock, self.store)
        self.owner.is_ready = True

    async def run_beside_verifier(self, test):
        """Return the result of a test that runs beside the reads of the head, while time passes."""
        result = None
        async with anyio.create_task_group() as group:
            self.owner._group = group
            group.start_soon(self.owner._verifier.run)
            group.start_soon(self._advance_clock)
            result = await test()
            group.cancel_scope.cancel()
        return result

    async def _advance_clock(self):
        while True:
            self.clock.advance(1.0)
            await anyio.sleep(0.001)


class UnknownJobTest(OwnerTestCase):
    """Responses for an unknown job, with and without a proof that no later owner exists."""

    JOB = "5c0e7a21d94b36f8"

    def _query(self, *, timeout_ms=20.0):
        async def query():
            return (
                await self.owner.cancel(self.JOB, timeout_ms),
                await self.owner.read_state(self.JOB),
            )

        with mock.patch.multiple(_timing, HEAD_CONFIRM_TIMEOUT_MS=timeout_ms):
            return anyio.run(self.run_beside_verifier, query)

    def test_owner_with_proof_reports_missing_job(self):
        """Guards against callers that never get a 410 response for a job that doesn't exist."""
        self.store.put(HEAD_KEY, encode(Head(generation=1, holder="me", sequence=9)))
        for response in self._query(timeout_ms=TIMEOUT_MS):
            self.assertIs(response.status, ResponseStatus.MISSING)

    def test_frozen_owner_does_not_report_missing_job(self):
        """Guards against a 410 response for a job that the next owner has accepted.

        This occurred with soak seed 227, when an owner was frozen longer than its lease.
        """
        self.clock.advance(_timing.OWNER_LEASE_MS + 1.0)
        for response in self._query():
            self.assertEqual(response, NOT_OWNER)

    def test_job_whose_record_cannot_be_decoded(self):
        """Guards against a 410 response for an accepted job, and against running it again."""
        self.owner._unreadable_jobs = frozenset({"5c0e7a21d94b36f8"})

        async def submit():
            queue = build_queue("short")
            return await self.owner.submit("5c0e7a21d94b36f8", queue, build_job(), 100.0)

        for response in (*self._query(), anyio.run(submit)):
            self.assertIs(response.status, ResponseStatus.UNKNOWN)
        self.assertEqual(self.owner.cell.jobs.jobs, {})

    def test_replaced_owner_with_fresh_proof_does_not_report_missing_job(self):
        """Guards against the same by an owner whose key was removed, as in soak seeds 105, 106."""
        self.store.put(HEAD_KEY, encode(Head(generation=2, holder="other")))
        self.owner.cell.record_confirmation(self.clock.now_ms())
        for response in self._query():
            self.assertEqual(response, NOT_OWNER)
        self.assertTrue(self.owner._is_stopped)

    def test_job_that_becomes_durable_before_the_response(self):
        """Guards against a 410 response for a job whose submission was confirmed meanwhile."""
        submission = build_submission(job_id=self.JOB, spec=build_job())

        self.owner.cell.set_runners([build_entry("a")], 0.0)

        async def query():
            accepted = self.owner.cell.submit(
                self.JOB, submission.queue, submission.spec, now_ms=self.clock.now_ms(), unix_ms=0.0
            )

            async def confirm(*, timeout_ms):
                self.owner.cell.jobs.mark_durable(accepted.job, accepted.version)
                return True

            self.owner._verifier.confirm = confirm
            return await self.owner.read_state(self.JOB)

        self.assertIs(anyio.run(query).status, ResponseStatus.KNOWN)


class StopLogTest(unittest.TestCase):
    """The line of an owner that stops because another one owns the cell."""

    def test_time_since_the_last_deadline(self):
        """Guards against an owner that extends leases after its successor began, untraced."""
        clock = VirtualClock(start_ms=1_000.0)
        owner = build_owner(clock)
        entries = [RunnerEntry(id=name, service="web", address="127.0.0.1:1") for name in "ab"]
        owner.cell.set_runners(entries, clock.now_ms())
        for name in "ab":
            clock.advance(100.0)
            owner.cell.fleet.record_deadline(name, 77_000.0, clock.now_ms())
        clock.advance(30.0)
        with mock.patch("coltsfootpier.node._owner.log_event") as log:
            owner._stop("fenced")
        log.assert_called_with(
            "owner stopping",
            generation=1,
            cause="fenced",
            deadline_age_ms=30.0,
            plan_max_ms=0.0,
            turn_max_ms=0.0,
            proof="store",
            proof_age_ms=1_230.0,
        )


class TurnTest(OwnerTestCase):
    """The longest turn of the event loop in the gauges of an owner."""

    def test_long_turn_shows(self):
        """Guards against an owner that hangs outside its plans, which no metric would tell."""

        async def block() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.owner._watch_turns)
                await anyio.wait_all_tasks_blocked()
                self.clock.advance(_timing.TURN_CHECK_PERIOD_MS + 700.0)
                with anyio.fail_after(TIMEOUT_MS / 1000):
                    while self.owner.read_gauges()["turn_max_ms"] != 700:
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        anyio.run(block)
        self.assertEqual(self.owner.read_gauges()["plan_max_ms"], 0)


class FenceTest(OwnerTestCase):
    """Runners that reject the owner's token because they know a later one."""

    def _fence(self, *, is_store_down=False, accepting=(), timeout_ms=TIMEOUT_MS):
        """Return whether the owner stops when a runner claims to know a later owner."""
        self.checks = []
        confirm = self.owner._verifier.confirm

        async def record_check(*, timeout_ms):
            self.checks.append(self.clock.now_ms())
            self.clock.advance(CHECK_MS)
            for name in accepting:
                self.owner.cell.fleet.runners[name].accepted_ms = self.clock.now_ms()
            return await confirm(timeout_ms=timeout_ms)

        async def probe(key, *, timeout_ms):
            if is_store_down:
                return Failure(StoreUnavailable("down"))
            return Success(self.store.read(key))

        self.owner._verifier.confirm = record_check
        self.store.probe = probe

        async def run():
            for _ in range(5):
                self.owner._on_fenced("i-1")
                await anyio.sleep(0)
            with anyio.fail_after(TIMEOUT_MS / 1000):
                while self.owner._is_checking_fence and len(self.checks) < 5:
                    await anyio.sleep(0.001)

        with mock.patch.multiple(_timing, STORE_READ_TIMEOUT_MS=timeout_ms):
            anyio.run(self.run_beside_verifier, run)
        return self.owner._is_stopped

    def test_later_owner_in_the_store(self):
        """Guards against an owner that goes on beside its successor."""
        self.store.put(HEAD_KEY, encode(Head(generation=2, holder="other")))
        self.assertTrue(self._fence())

    def test_no_later_owner_in_the_store(self):
        """Guards against a cell without an owner because of one odd entry of the registry."""
        self.store.put(HEAD_KEY, encode(Head(generation=1, holder="me", sequence=9)))
        self.assertFalse(self._fence())
        # One check for several rejections within a second.
        self.assertEqual(len(self.checks), 1)

    def test_unreadable_store(self):
        """Guards against an owner that goes on although it can't exclude a successor."""
        self.store.put(HEAD_KEY, encode(Head(generation=1, holder="me")))
        self._lose_proof()
        self.assertTrue(self._fence(is_store_down=True, timeout_ms=5.0))

    def test_malformed_head(self):
        """Guards against an owner that goes on although it can't exclude a successor."""
        self.store.put(HEAD_KEY, b"[")
        self._lose_proof()
        self.assertTrue(self._fence(timeout_ms=5.0))

    def test_odd_server_while_the_store_is_down(self):
        """Guards against one odd server that ends an owner which most runners still accept."""
        self._add_runners("abc")
        self.assertFalse(self._fence(is_store_down=True, accepting="ab", timeout_ms=5.0))
        self.assertEqual(len(self.checks), 5)

    def test_fence_by_most_runners_while_the_store_is_down(self):
        """Guards against an owner that goes on because its proof was valid at the first check."""
        self._add_runners("abc")
        self.assertTrue(self._fence(is_store_down=True, accepting="a", timeout_ms=5.0))
        self.assertGreater(len(self.checks), 1)

    def _add_runners(self, names):
        self.owner.cell.set_runners([build_entry(name) for name in names], 0.0)
        self.owner.cell.fleet.mark_recorded(names)
        for name in names:
            self.owner.cell.fleet.runners[name].first_accepted_ms = -1.0

    def _lose_proof(self):
        self.clock.advance(self.owner.cell.settings.proof_validity_ms + 1.0)


class SuccessionTest(OwnerTestCase):
    """What an owner does as long as an earlier or once a later one may act."""

    def test_no_new_runner_is_recorded_before_half_of_the_inherited_ones_respond(self):
        """Guards against a next owner with a majority among runners that the first never used."""
        inherited = [build_entry(name) for name in "abcd"]
        self.owner.cell.load([], inherited, now_ms=0.0, unix_ms=0.0)
        self.owner._fleet_entries = {entry.id: entry for entry in inherited}
        entries = [*inherited, build_entry("e")]

        async def list_recorded():
            async with anyio.create_task_group() as group:
                self.owner._group = group
                self.owner._apply_registry(entries, 0.0)
                group.cancel_scope.cancel()
            return set(self.owner._fleet_entries)

        self.assertEqual(anyio.run(list_recorded), set("abcd"))
        self.owner.cell.fleet.inherited -= set("ab")
        self.assertEqual(anyio.run(list_recorded), set("abcde"))

    def _restart_runner(self):
        """Let a recorded runner restart; return it."""
        self.owner.cell.set_runners([build_entry("a")], 0.0)
        self.owner._fleet_entries = {"a": build_entry("a")}
        runner = self.owner.cell.fleet.runners["a"]
        self.owner.cell.fleet.suspect_restart(runner)
        return runner

    def test_token_is_used_once_the_head_with_it_is_durable(self):
        """Guards against a token that the next owner uses, too."""
        runner = self._restart_runner()
        self.owner._fence_earlier_incarnations(10.0)
        self.assertEqual((runner.token, runner.awaits_token), (1, True))
        self.owner._committer._on_token_raised(2)
        self.assertEqual((runner.token, runner.awaits_token), (2, False))

    def test_token_that_was_raised_before_a_restart_is_used_for_it(self):
        """Guards against a runner that waits for a token for good."""
        self.owner._committer._on_token_raised(2)
        runner = self._restart_runner()
        runner.token = 1
        self.owner._fence_earlier_incarnations(10.0)
        self.assertEqual((runner.token, runner.awaits_token), (2, False))

    def test_long_lease_counts_as_recorded_once_every_record_in_flight_has_it(self):
        """Guards against a run whose long lease the next owner may not find in the record."""
        runner = self._restart_runner()
        committer = self.owner._committer
        self.owner._fence_earlier_incarnations(10.0)
        self.assertFalse(runner.long_lease_recorded)
        committer.recorded_fleet = committer.unsettled_fleets[-1]
        self.owner._fence_earlier_incarnations(20.0)
        self.assertTrue(runner.long_lease_recorded)
        committer.put_fleet(b"", FleetList(frozenset("a")))
        self.owner._fence_earlier_incarnations(30.0)
        self.assertFalse(runner.long_lease_recorded)

    def test_loaded_long_leases_count_as_recorded(self):
        """Guards against inherited runners that stay unused until the record is written again."""
        self.store.put(FLEET_KEY, encode_fleet([build_entry("a")], long_leases={"a": 10_650.0}))
        self.store.list_all = mock.AsyncMock(return_value=Success([]))
        anyio.run(self.owner._load)
        self.assertEqual(self.owner._committer.recorded_fleet.long_leases, {"a": 10_650.0})

    def test_new_runners_are_used_although_most_recorded_ones_are_gone(self):
        """Guards against new runners that stay unused for 30 minutes after a change of owner."""
        inherited = [build_entry(name) for name in "abcd"]
        self.owner.cell.load([], inherited, now_ms=0.0, unix_ms=0.0)
        self.owner._fleet_entries = {entry.id: entry for entry in inherited}
        self.owner._loaded_ms = 0.0
        written = []

        async def apply(now_ms):
            async with anyio.create_task_group() as group:
                self.owner._group = group
                self.owner._apply_registry([build_entry("e")], now_ms)
                group.cancel_scope.cancel()
            record = self.owner._committer._fleet
            is_complete = record and decode(record[0], dict).get("is_complete", True)
            written.append((is_complete, set(self.owner._fleet_entries)))

        anyio.run(apply, _timing.SETTLING_TIMEOUT_MS - 1.0)
        anyio.run(apply, _timing.SETTLING_TIMEOUT_MS)
        self.owner.cell.fleet.inherited -= set("ab")
        anyio.run(apply, _timing.SETTLING_TIMEOUT_MS + 1.0)
        # Until half of the recorded ones are settled, a next owner may not count from half of them.
        expected = [(None, set("abcd")), (False, set("abcde")), (True, set("abcde"))]
        self.assertEqual(written, expected)

    def test_bounds_are_declared_once_earlier_owners_have_stopped(self):
        """Guards against a next owner that relies on this one while an earlier one still acts."""
        self.owner.cell.load([], [build_entry("a")], now_ms=0.0, unix_ms=0.0)
        self.owner._declare_bounds()
        self.assertIsNone(self.owner._committer.bounds)
        self.owner.cell.fleet.inherited.clear()
        self.owner._declare_bounds()
        self.assertEqual(self.owner._committer.bounds, get_bounds(CellSettings()))

    def test_later_owner_in_the_watch_stops_the_owner(self):
        """Guards against an owner that goes on until a runner rejects it."""
        self.owner.record_latest_generation(1)
        self.assertFalse(self.owner._is_stopped)
        self.owner.record_latest_generation(2)
        self.assertTrue(self.owner._is_stopped)


class ManyRunnersTest(OwnerTestCase):
    """First contacts of an owner with many runners."""

    def _contact(self, *registries):
        """Return whether the owner is contacting many runners after each reading."""
        states = []

        async def apply():
            async with anyio.create_task_group() as group:
                self.owner._group = group
                for names in registries:
                    self.owner._apply_registry([build_entry(name) for name in names], 0.0)
                    states.append(self.owner._is_contacting_many())
                group.cancel_scope.cancel()

        anyio.run(apply)
        return states

    def test_reports_are_less_frequent_until_all_runners_were_contacted(self):
        """Guards against reports that keep an owner from runners whose leases end."""
        names = [f"r{number}" for number in range(_timing.MAX_CONTACT_BATCH + 1)]
        # A runner that leaves before it responds isn't waited for.
        self.assertEqual(self._contact(names, names[1:]), [True, False])

    def test_reports_stay_as_frequent_while_few_runners_join(self):
        """Guards against late measurements whenever a runner joins."""
        self.assertEqual(self._contact([f"r{number}" for number in range(20)]), [False])

    def _count_fleet_records(self, runner_count):
        """Let runners restart, each before a plan 10 ms after the last; return the records."""
        entries = [build_entry(f"runner-{number:04}") for number in range(runner_count)]
        self.owner.cell.set_runners(entries, 0.0)
        self.owner._fleet_entries = {entry.id: entry for entry in entries}
        with mock.patch.object(self.owner._committer, "put_fleet") as put_fleet:
            for number, runner in enumerate(list(self.owner.cell.fleet.runners.values())[:100]):
                self.owner.cell.fleet.suspect_restart(runner)
                if self.owner._is_fleet_changed:
                    self.owner._put_fleet(10.0 * number)
                self.owner._fence_earlier_incarnations(10.0 * number)
            counts = [len(call.args[1].long_leases) for call in put_fleet.call_args_list]
            if self.owner._is_fleet_changed:
                self.owner._put_fleet(2_000.0)
        return counts, len(put_fleet.call_args.args[1].long_leases)

    def test_long_fleet_record_is_written_with_pauses(self):
        """Guards against 200 KB for each of 1,500 runners that responds to a new owner."""
        counts, last = self._count_fleet_records(1_500)
        self.assertLessEqual(len(counts), 5)
        # The first is written at once, the last one names all.
        self.assertEqual((counts[0], last), (1, 100))

    def test_short_fleet_record_is_written_at_once(self):
        """Guards against runners of small deployments that wait to be used."""
        counts, last = self._count_fleet_records(100)
        self.assertEqual(counts, list(range(1, 101)))

    def test_fleet_record_is_written_before_the_owner_resigns(self):
        """Guards against a successor that doesn't know a long lease."""
        self._count_fleet_records(1_500)
        runner = self.owner.cell.fleet.runners["runner-1499"]
        self.owner._next_fleet_ms = float("inf")
        self.owner.cell.fleet.suspect_restart(runner)
        self.store.revoke_lease = mock.AsyncMock()
        with (
            mock.patch.object(self.owner._committer, "put_fleet") as put_fleet,
            mock.patch.object(Owner, "_has_unwritten_changes", False),
        ):
            anyio.run(self.owner.resign)
        self.assertIn("runner-1499", put_fleet.call_args.args[1].long_leases)

    def test_runners_are_contacted_in_batches(self):
        """Guards against calls to the store that wait until all new runners have been called."""
        started = []

        class FakeTask:
            def __init__(self, number):
                self.id = f"r{number}"

            async def run(self):
                started.append(self.id)

        tasks = [FakeTask(number) for number in range(200)]
        self.owner._runner_tasks = {task.id: task for task in tasks}
        del self.owner._runner_tasks["r199"]

        async def run():
            counts = []
            async with anyio.create_task_group() as group:
                self.owner._group = group
                group.start_soon(self.owner._start_runner_tasks, tasks)
                while len(started) < 199:
                    await anyio.sleep(0)
                    counts.append(len(started))
            return counts

        counts = [0, *anyio.run(run)]
        steps = [after - before for before, after in zip(counts, counts[1:], strict=False)]
        self.assertLessEqual(max(steps), _timing.MAX_CONTACT_BATCH)
        self.assertNotIn("r199", started)


class VmCommandTest(OwnerTestCase):
    """Commands for worker VMs, which a later owner may send as well."""

    def _is_sent(self, *, frozen_ms):
        verifier = self.owner._verifier

        async def confirm(*, timeout_ms):
            self.clock.advance(1.0)
            verifier.record_confirmation(self.clock.now_ms())
            self.clock.advance(frozen_ms)
            return True

        verifier.confirm = confirm
        return anyio.run(self.owner._may_send_vm_command)

    def test_no_command_after_a_freeze(self):
        """Guards against commands of two owners for one VM within the platform's pause."""
        self.assertTrue(self._is_sent(frozen_ms=0.0))
        self.assertFalse(self._is_sent(frozen_ms=_timing.VM_PROOF_AGE_MS))


class FleetRecordTest(OwnerTestCase):
    """Runners of the fleet record that earlier owners have written."""

    def test_list_is_incomplete_until_earlier_owners_can_use_no_other_runner(self):
        """Guards against a next owner that waits only for the runners that this one has found."""
        self.owner.cell.load([], (), now_ms=0.0, unix_ms=0.0, is_fleet_complete=False)
        self.owner._is_record_complete = False
        written = []

        async def apply():
            async with anyio.create_task_group() as group:
                self.owner._group = group
                self.owner._apply_registry([build_entry("a")], 0.0)
                group.cancel_scope.cancel()
            written.append(decode(self.owner._committer._fleet[0], dict))

        anyio.run(apply)
        self.owner.cell.fleet.mark_complete("test")
        anyio.run(apply)
        self.assertEqual([record.get("is_complete", True) for record in written], [False, True])

    def test_runner_whose_address_cannot_be_called(self):
        """Guards against daemons that end one after another at an odd fleet record."""
        addresses = ("nowhere", "127.0.0.1:x", "127.0.0.1:99999", "", "127.0.0.1:7")
        entries = [
            RunnerEntry(id=f"i-{number}", service="web", address=address)
            for number, address in enumerate(addresses)
        ]
        self.owner.cell.load([], entries, now_ms=0.0, unix_ms=0.0)

        async def run():
            async with anyio.create_task_group() as group:
                self.owner._group = group
                self.owner._update_runner_tasks()
                group.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(list(self.owner._runner_tasks), ["i-4"])
        # Their runs may go on until their leases have expired.
        self.assertEqual(len(self.owner.cell.fleet.inherited), len(entries))
