"""Table of the VMs that the platform lists or has listed."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.platform import Vm

# Time for which a VM must be missing from the platform's list before it counts as gone. The list
# lags and may be temporarily incomplete.
_GONE_AFTER_MS = 30_000.0
# Maximum number of gone VMs that are kept, because a daemon that becomes a shard owner later needs
# them; the oldest ones are removed first. With 160 VMs replaced per day, this covers three days.
_MAX_GONE_VMS = 500


class VmTable:
    """Table of the listed VMs, and of those that are gone.

    Parameters
    ----------
    clock : Clock
        Time source.

    Notes
    -----
    If more than half of the VMs that are not gone are missing from the platform's list, the list
    is assumed to be faulty and none of them is marked as gone, because the tasks of a VM that is
    marked as gone by mistake would be started a second time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.vms: tuple[Vm, ...] = ()
        self._clock = clock
        self._known: dict[str, Vm] = {}
        self._absent_since_ms: dict[str, float] = {}

    def observe(self, listed: Iterable[Vm]) -> bool:
        """Update the table with the platform's list, and return whether the table changed."""
        found = {vm.name: vm for vm in listed}
        present = [vm for vm in self._known.values() if vm.state != "gone"]
        absent = [vm for vm in present if vm.name not in found]
        now_ms = self._clock.now_ms()
        self._absent_since_ms = {
            vm.name: self._absent_since_ms.get(vm.name, now_ms) for vm in absent
        }
        if len(absent) * 2 <= len(present):
            for vm in absent:
                if now_ms - self._absent_since_ms[vm.name] >= _GONE_AFTER_MS:
                    self._known.pop(vm.name)
                    self._known[vm.name] = attrs.evolve(vm, state="gone")
        self._known.update(found)
        gone = [name for name, vm in self._known.items() if vm.state == "gone"]
        for name in gone[:-_MAX_GONE_VMS]:
            del self._known[name]
        before, self.vms = self.vms, tuple(self._known.values())
        return self.vms != before
