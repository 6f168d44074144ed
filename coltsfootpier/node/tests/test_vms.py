"""Listings of worker VMs, and orders: recorded before they are sent, sent by the owner only."""

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
from coltsfootpier.node.keys import UPKEEP_KEY
from coltsfootpier.transport import Unanswered, decode

PAUSE_MS = 3_000.0
STEP_MS = 500.0


class FakeVms:
    """Worker VMs that go down and come back at the next listing but one."""

    def __init__(self):
        self.states = {"m-1": [VmState.UP]}
        self.orders = []
        self.failures = 0
        self.outcome = MaintenanceOutcome.BEGUN
        self.on_order = lambda order: None

    async def list_vms(self, *, timeout_ms):
        """List the VMs, or fail as often as asked for."""
        if self.failures:
            self.failures -= 1
            return Failure(Unanswered("lost"))
        listed = []
        for name, states in self.states.items():
            listed.append(WorkerVm(id=name, state=states[0], runner_id=f"i-{name}"))
            if len(states) > 1:
                states.pop(0)
        return Success(tuple(listed))

    async def start_maintenance(self, order, *, timeout_ms):
        """Take a VM down."""
        self.on_order(order)
        self.orders.append(order)
        if self.outcome is MaintenanceOutcome.BEGUN:
            self.states[order.vm_id] = [VmState.UPKEEP, VmState.UP]
        return self.outcome


class FakeRecords:
    """Records that are written after some waits."""

    def __init__(self):
        self.values = {}
        self.written = {}

    def put_record(self, key, value):
        """Take a record."""
        self.values[key] = value

    def is_written(self, key):
        """Return whether the last value was written."""
        return self.written.get(key) == self.values.get(key)

    async def wait_commit(self, timeout_ms):
        """Write everything."""
        self.written = dict(self.values)


class FakeLives:
    """Runners of which some may have ended."""

    def __init__(self):
        self.suspects = False
        self.listings = []

    def has_suspects(self, now_ms):
        """Return whether a listing is wanted."""
        return self.suspects

    def take_listing(self, living, *, requested_ms):
        """Keep a listing."""
        self.listings.append(living)
        return False


class VmTaskTest(unittest.TestCase):
    """The task beside an owner."""

    def setUp(self):
        self.clock = VirtualClock()
        self.begin_ms = self.clock.now_ms()
        self.vms = FakeVms()
        self.cordons = FakeCordons()
        self.lives = FakeLives()
        self.records = FakeRecords()
        self.waves = [build_wave("m-1")]
        self.may_order = True
        self.fenced = []

    def _run(self, rounds, record=None):
        left = [rounds]
        scopes = []

        def get_waves():
            left[0] -= 1
            if left[0] < 0:
                scopes[0].cancel()
            self.clock.advance(STEP_MS)
            return self.waves

        task = VmTask(
            calls=self.vms,
            cordons=self.cordons,
            lives=self.lives,
            records=self.records,
            record=record or MaintenanceRecord(),
            clock=self.clock,
            upkeep_ms=2_000.0,
            pause_ms=PAUSE_MS,
            get_waves=get_waves,
            may_order=lambda: self.may_order,
            on_change=lambda: None,
            on_fenced=self.fenced.append,
        )

        async def run():
            with anyio.CancelScope() as scope:
                scopes.append(scope)
                await task.run()

        # The virtual clock moves with each round, so the task needn't sleep between them.
        with mock.patch.multiple(_timing, VM_LIST_PERIOD_MS=0.0, VM_LIST_SOON_MS=0.0):
            anyio.run(run)

    def _read_record(self):
        return decode(self.records.values[UPKEEP_KEY], MaintenanceRecord).waves[0]

    def test_wave(self):
        """Guards against a wave that operators aren't told to be complete."""
        self._run(20)
        self.assertEqual(len(self.vms.orders), 1)
        self.assertEqual(self._read_record().begun, ("m-1",))
        self.assertEqual(self.records.values["status/wave/1"], b'{"state":"completed"}')

    def test_status_while_it_runs(self):
        """Guards against a wave that is shown as complete before its last order."""
        self.cordons.protected = {"i-m-1"}
        self._run(20)
        self.assertEqual(self.records.values["status/wave/1"], b'{"state":"running"}')

    def test_recorded_before_it_is_sent(self):
        """Guards against an order that is carried out late, unknown to the next owner."""
        seen = []
        self.vms.on_order = lambda order: seen.append(
            decode(self.records.written[UPKEEP_KEY], MaintenanceRecord).waves[0].ordered
        )
        self._run(20)
        self.assertEqual(seen, [("m-1",)])

    def test_pause_after_a_change_of_owner(self):
        """Guards against two owners that give orders about one VM in turn."""
        times = {}
        self.vms.states["m-2"] = [VmState.UP]
        self.vms.on_order = lambda order: times.setdefault(
            order.vm_id, self.clock.now_ms() - self.begin_ms
        )
        self.waves = [build_wave("m-1", "m-2", max_down=2)]
        wave = WaveRecord(number=1, began_unix_ms=0.0, ordered=("m-1",))
        self._run(20, MaintenanceRecord((wave,)))
        self.assertGreaterEqual(times["m-1"], PAUSE_MS + _timing.VM_TIMEOUT_MS)
        # No earlier owner has given orders about it.
        self.assertLess(times["m-2"], PAUSE_MS)

    def test_no_order_without_the_lease(self):
        """Guards against an order of a daemon that may have a successor."""
        self.may_order = False
        self._run(20)
        self.assertEqual(self.vms.orders, [])
        self.assertEqual(self._read_record().begun, ())

    def test_fenced(self):
        """Guards against an owner that goes on after a later one has given orders."""
        self.vms.outcome = MaintenanceOutcome.FENCED
        self._run(12)
        self.assertEqual(self.fenced[0], "m-1")

    def test_listing_that_fails(self):
        """Guards against a task that ends, or a wave that is complete, for want of a listing."""
        self.vms.failures = 4
        self._run(24)
        self.assertEqual(self._read_record().begun, ("m-1",))

    def test_listing_for_runners_that_may_have_ended(self):
        """Guards against work that waits for a runner that is known to be gone."""
        self.waves = []
        self.lives.suspects = True
        self.vms.states = {"m-1": [VmState.UP], "m-2": [VmState.DOWN], "m-3": [VmState.UPKEEP]}
        self._run(4)
        self.assertEqual(self.lives.listings[0], {"i-m-1"})
        self.vms.failures = 100
        self.lives.listings.clear()
        self._run(4)
        self.assertEqual(self.lives.listings, [])

    def test_nothing_is_called_without_a_wave(self):
        """Guards against calls that are paid for while there is nothing to do."""
        self.waves = []
        self.vms.list_vms = None
        self._run(20)
        self.assertEqual(self.records.values, {})


if __name__ == "__main__":
    unittest.main()
