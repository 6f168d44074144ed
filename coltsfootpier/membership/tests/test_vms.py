"""Tests of the table of VMs."""

from __future__ import annotations

import unittest

from coltsfootpier.clock import VirtualClock
from coltsfootpier.membership import VmTable
from tests.builders import build_vm


class VmTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.table = VmTable(clock=self.clock)
        self.vms = [build_vm(f"w{index}") for index in range(4)]
        self.table.observe(self.vms)

    def _states(self) -> dict[str, str]:
        return {vm.name: vm.state for vm in self.table.vms}

    def test_vm_missing_from_the_list_is_gone_after_a_delay(self) -> None:
        """Guards against tasks that wait for hours for a VM that no longer exists."""
        self.table.observe(self.vms[1:])
        self.assertEqual(self._states()["w0"], "live")
        self.clock.advance(30_000.0)
        self.assertTrue(self.table.observe(self.vms[1:]))
        self.assertEqual(self._states()["w0"], "gone")

    def test_short_absence_is_reset(self) -> None:
        """Guards against marking a VM as gone after two short gaps in a lagging list.

        Its tasks would be started a second time.
        """
        self.table.observe(self.vms[1:])
        self.clock.advance(20_000.0)
        self.table.observe(self.vms)
        self.table.observe(self.vms[1:])
        self.clock.advance(20_000.0)
        self.table.observe(self.vms[1:])
        self.assertEqual(self._states()["w0"], "live")

    def test_list_that_lost_most_vms_is_ignored(self) -> None:
        """Guards against starting all tasks a second time when the list is empty by mistake."""
        self.table.observe([])
        self.clock.advance(60_000.0)
        self.table.observe([])
        self.assertEqual(set(self._states().values()), {"live"})


if __name__ == "__main__":
    unittest.main()
