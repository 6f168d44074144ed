"""Tests of worker VM listings, and of commands that are recorded before the owner sends them."""

import unittest
from unittest import mock

import anyio
from returns.result import Failure, Success

from coltsfootpier.clock import VirtualClock
from coltsfootpier.maintenance import (
    MaintenanceOutcome,
    MaintenanceRecord,
    VmState,
    WaveRecord,
    WorkerVm,
)
from coltsfootpier.maintenance.tests.builders import FakeCordons, build_wave
from coltsfootpier.node import _timing
from coltsfootpier.node._vms import VmTask
from coltsfootpier.node.keys import MAINTENANCE_KEY
from coltsfootpier.transport import Unanswered, decode

PAUSE_MS = 3_000.0
LATE_CALL_MS = 12_000.0
STEP_MS = 500.0
EMPTY_RECORD = MaintenanceRecord()


class FakeVms:
    """VM service whose VMs are in maintenance for one listing and up at the next."""

    def __init__(self):
        self.states = {"m-1": [VmState.UP]}
        self.commands = []
        self.failures = 0
        self.outcome = MaintenanceOutcome.BEGUN
        self.on_command = lambda command: None

    async def list_vms(self, *, timeout_ms):
        """List the VMs, or fail while `failures` is positive."""
        if self.failures:
            self.failures -= 1
            return Failure(Unanswered("lost"))
        listed = []
        for name, states in self.states.items():
            listed.append(WorkerVm(id=name, state=states[0], runner_id=f"i-{name}"))
            if len(states) > 1:
                states.pop(0)
        return Success(tuple(listed))

    async def start_maintenance(self, command, *, timeout_ms):
        """Record the command and take the VM down."""
        self.on_command(command)
        self.commands.append(command)
        if self.outcome is MaintenanceOutcome.BEGUN:
            self.states[command.vm_id] = [VmState.UPKEEP, VmState.UP]
        return self.outcome


class FakeRecords:
    """Records that become durable only when a commit is awaited."""

    def __init__(self):
        self.values = {}
        self.written = {}

    def put_record(self, key, value):
        """Store a record that isn't durable yet."""
        self.values[key] = value

    def is_written(self, key):
        """Return whether the latest value was written."""
        return self.written.get(key) == self.values.get(key)

    async def wait_commit(self, timeout_ms):
        """Write all records."""
        self.written = dict(self.values)


class FakeLiveness:
    """Tracker that records listings."""

    def __init__(self):
        self.suspects = False
        self.listings = []

    def has_suspects(self, now_ms):
        """Return whether a listing is needed."""
        return self.suspects

    def apply_listing(self, live, *, requested_ms, runner_by_vm):
        """Record a listing."""
        self.listings.append(live)
        self.runner_by_vm = runner_by_vm
        return False


class VmTaskTest(unittest.TestCase):
    """Task that lists and maintains worker VMs, on a virtual clock."""

    def setUp(self):
        self.clock = VirtualClock()
        self.start_ms = self.clock.now_ms()
        self.vms = FakeVms()
        self.cordons = FakeCordons()
        self.liveness = FakeLiveness()
        self.records = FakeRecords()
        self.waves = [build_wave("m-1")]
        self.may_send_commands = True
        self.fenced = []

    async def _may_send(self):
        return self.may_send_commands

    def _run(self, rounds, record=EMPTY_RECORD):
        remaining_rounds = [rounds]
        scopes = []

        def get_waves():
            remaining_rounds[0] -= 1
            if remaining_rounds[0] < 0:
                scopes[0].cancel()
            self.clock.advance(STEP_MS)
            return self.waves

        task = VmTask(
            client=self.vms,
            cordons=self.cordons,
            liveness=self.liveness,
            records=self.records,
            record=record,
            clock=self.clock,
            maintenance_ms=2_000.0,
            command_pause_ms=PAUSE_MS,
            late_call_ms=LATE_CALL_MS,
            get_waves=get_waves,
            may_send_commands=self._may_send,
            on_change=lambda: None,
            on_fenced=self.fenced.append,
        )

        async def run():
            with anyio.CancelScope() as scope:
                scopes.append(scope)
                await task.run()

        # The virtual clock advances with each round, so the task needn't sleep between rounds.
        with mock.patch.multiple(_timing, VM_LIST_PERIOD_MS=0.0, VM_LIST_SHORT_PERIOD_MS=0.0):
            anyio.run(run)

    def _read_record(self):
        return decode(self.records.values[MAINTENANCE_KEY], MaintenanceRecord).waves[0]

    def test_unreadable_record(self):
        """Guards against more VMs down than allowed, by commands of this and an earlier owner."""
        due_ms = self.start_ms + PAUSE_MS + LATE_CALL_MS
        sent_ms = []
        self.vms.on_command = lambda command: sent_ms.append(self.clock.now_ms())
        self._run(int((due_ms - self.start_ms) / STEP_MS) - 2, record=None)
        # A later owner that reads a readable record would not wait.
        self.assertEqual((sent_ms, self.records.values), ([], {}))
        self._run(60, record=None)
        self.assertGreaterEqual(sent_ms[0], due_ms)

    def test_wave_is_completed(self):
        """Guards against a complete wave that isn't reported to operators as complete."""
        self._run(20)
        self.assertEqual(len(self.vms.commands), 1)
        self.assertEqual(self._read_record().begun, ("m-1",))
        self.assertEqual(self.records.values["status/wave/1"], b'{"state":"completed"}')

    def test_status_is_running_until_complete(self):
        """Guards against a wave that is reported as complete before its last command."""
        self.cordons.protected = {"i-m-1"}
        self._run(20)
        self.assertEqual(self.records.values["status/wave/1"], b'{"state":"running"}')

    def test_command_is_recorded_before_it_is_sent(self):
        """Guards against a command that takes effect late and is unknown to the next owner."""
        seen = []
        self.vms.on_command = lambda command: seen.append(
            decode(self.records.written[MAINTENANCE_KEY], MaintenanceRecord).waves[0].ordered
        )
        self._run(20)
        self.assertEqual(seen, [("m-1",)])

    def test_pause_after_a_change_of_owner(self):
        """Guards against two owners that send commands for one VM shortly after each other."""
        times = {}
        self.vms.states["m-2"] = [VmState.UP]
        self.vms.on_command = lambda command: times.setdefault(
            command.vm_id, self.clock.now_ms() - self.start_ms
        )
        self.waves = [build_wave("m-1", "m-2", max_down=2)]
        wave = WaveRecord(number=1, began_unix_ms=0.0, ordered=("m-1",))
        self._run(20, MaintenanceRecord((wave,)))
        delay_ms = PAUSE_MS + _timing.VM_TIMEOUT_MS + _timing.VM_PROOF_AGE_MS
        self.assertGreaterEqual(times["m-1"], delay_ms)
        # No earlier owner has sent a command for this VM.
        self.assertLess(times["m-2"], PAUSE_MS)

    def test_no_command_without_a_proof_of_ownership(self):
        """Guards against a command of a daemon that may no longer own the cell."""
        self.may_send_commands = False
        self._run(20)
        self.assertEqual(self.vms.commands, [])
        self.assertEqual(self._read_record().begun, ())

    def test_fenced_command_is_reported(self):
        """Guards against an owner that continues after a later one has sent commands."""
        self.vms.outcome = MaintenanceOutcome.FENCED
        self._run(12)
        self.assertEqual(self.fenced[0], "m-1")

    def test_failed_listing_is_retried(self):
        """Guards against a failed listing that ends the task or completes the wave."""
        self.vms.failures = 4
        self._run(24)
        self.assertEqual(self._read_record().begun, ("m-1",))

    def test_suspected_runners_cause_a_listing(self):
        """Guards against work that keeps waiting for a runner that a listing shows as ended."""
        self.waves = []
        self.liveness.suspects = True
        self.vms.states = {"m-1": [VmState.UP], "m-2": [VmState.DOWN], "m-3": [VmState.UPKEEP]}
        self._run(4)
        self.assertEqual(self.liveness.listings[0], {"i-m-1"})
        self.assertEqual(self.liveness.runner_by_vm, {"m-1": "i-m-1", "m-2": "", "m-3": ""})
        self.vms.failures = 100
        self.liveness.listings.clear()
        self._run(4)
        self.assertEqual(self.liveness.listings, [])

    def test_no_calls_without_a_wave(self):
        """Guards against charged calls to the VM service while there is nothing to do."""
        self.waves = []
        self.vms.list_vms = None
        self._run(20)
        self.assertEqual(self.records.values, {})


if __name__ == "__main__":
    unittest.main()
