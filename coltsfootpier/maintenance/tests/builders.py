"""Test data builders for maintenance, and a simulation of worker VMs."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from coltsfootpier.maintenance import (
    MaintenanceCommand,
    MaintenanceOutcome,
    MaintenancePlanner,
    MaintenanceRecord,
    MaintenanceSettings,
    VmState,
    Wave,
    WorkerVm,
)

UNIX_MS = 1_700_000_000_000.0
MAINTENANCE_MS = 2_000.0


def build_wave(*vms: str, **changes: Any) -> Wave:
    """Build a wave that takes its VMs down one at a time."""
    values = {"number": 1, "vms": vms, "duration_ms": 60_000.0, "max_down": 1}
    return Wave(**{**values, **changes})


@attrs.define
class FakeCordons:
    """Test double of `RunnerCordons`, which has no runs and records the calls.

    Parameters
    ----------
    busy : set of str
        Runners that aren't idle.
    protected : set of str
        Runners whose runs may not be ended at once.
    unusable : set of str
        Runners that can't be used, so that their VMs are not chosen.
    ending_costs : dict of str to float
        Cost of ending the runs on a runner; 0 for all others.
    """

    busy: set[str] = attrs.field(factory=set)
    protected: set[str] = attrs.field(factory=set)
    unusable: set[str] = attrs.field(factory=set)
    ending_costs: dict[str, float] = attrs.field(factory=dict)
    cordoned: set[str] = attrs.field(factory=set)
    ending: set[str] = attrs.field(factory=set)
    ended: list[str] = attrs.field(factory=list)

    def cordon(self, runner_id: str) -> None:
        """Stop placing tasks on a runner."""
        self.cordoned.add(runner_id)

    def uncordon(self, runner_id: str) -> None:
        """Allow tasks to be placed on a runner again."""
        self.cordoned.discard(runner_id)

    def measure_ending_cost(self, runner_id: str) -> float | None:
        """Return the configured cost of ending all runs; None if the runner is unusable."""
        return None if runner_id in self.unusable else self.ending_costs.get(runner_id, 0.0)

    def is_idle(self, runner_id: str) -> bool:
        """Return whether the runner isn't configured as busy."""
        return runner_id not in self.busy

    def can_end_runs(self, runner_id: str) -> bool:
        """Return whether all runs may be ended at once."""
        return runner_id not in self.protected

    def mark_ending(self, runner_id: str) -> None:
        """Mark the runs on a runner as about to end."""
        self.ending.add(runner_id)

    def unmark_ending(self, runner_id: str) -> None:
        """Revoke the mark of `mark_ending`."""
        self.ending.discard(runner_id)

    def record_ended(self, runner_id: str) -> None:
        """Record that all runs on a runner have ended."""
        self.ended.append(runner_id)


class Response(enum.Enum):
    """How the simulated platform handles a command."""

    PROMPT = "prompt"
    # The command is executed at once, and its response is lost.
    LOST = "lost"
    # The command is executed later, and its response is lost.
    LATE = "late"


@attrs.define
class SimulatedVm:
    """A worker VM whose runner gets a new identifier with each incarnation.

    Parameters
    ----------
    up_ms : float
        Time from which the VM is up; until then it is under maintenance.
    """

    id: str
    incarnation: int = 1
    up_ms: float = 0.0
    maintenance_count: int = 0

    @property
    def runner_id(self) -> str:
        """Identifier of the current incarnation's runner."""
        return f"{self.id}-{self.incarnation}"


class SimulatedVms:
    """Simulation of worker VMs that execute the commands of a planner, with virtual time.

    Parameters
    ----------
    names : tuple of str
        Identifiers of the VMs.
    record : MaintenanceRecord
        Progress recorded by an earlier owner.
    """

    def __init__(self, *names: str, record: MaintenanceRecord | None = None) -> None:
        self.now_ms = 1_000.0
        self.vms = {name: SimulatedVm(name) for name in names}
        self.waves: list[Wave] = []
        self.responses: list[Response] = []
        self.delayed: list[tuple[float, MaintenanceCommand]] = []
        self.peak_down = 0
        self.commands: list[MaintenanceCommand] = []
        self.events: list[str] = []
        self.change_owner(record or MaintenanceRecord())

    def change_owner(self, record: MaintenanceRecord) -> None:
        """Replace the planner by that of the next owner."""
        self.cordons = FakeCordons()
        settings = MaintenanceSettings(maintenance_ms=MAINTENANCE_MS)
        self.takeover_delay_ms = settings.takeover_delay_ms
        self.planner = MaintenancePlanner(
            settings=settings,
            cordons=self.cordons,
            record=record,
            log=lambda event, /, **fields: self.events.append(event),
        )

    def list_vms(self) -> list[WorkerVm]:
        """Return the VMs in the form of the platform's listing."""
        return [
            (
                WorkerVm(id=vm.id, state=VmState.UP, runner_id=vm.runner_id)
                if vm.up_ms <= self.now_ms
                else WorkerVm(id=vm.id, state=VmState.UPKEEP)
            )
            for vm in self.vms.values()
        ]

    def execute(self, command: MaintenanceCommand) -> MaintenanceOutcome:
        """Start the maintenance of a VM, as the platform does."""
        vm = self.vms[command.vm_id]
        if vm.maintenance_count:
            return MaintenanceOutcome.BEGUN
        if vm.up_ms > self.now_ms:
            return MaintenanceOutcome.BUSY
        vm.maintenance_count += 1
        vm.incarnation += 1
        vm.up_ms = self.now_ms + MAINTENANCE_MS
        down = sum(other.up_ms > self.now_ms for other in self.vms.values())
        self.peak_down = max(self.peak_down, down)
        return MaintenanceOutcome.BEGUN

    def step(self, duration_ms: float = 100.0) -> None:
        """Advance the time, list the VMs, plan, and execute the commands that are due."""
        self.now_ms += duration_ms
        for due in [due for due in self.delayed if due[0] <= self.now_ms]:
            self.delayed.remove(due)
            self.execute(due[1])
        self.planner.set_waves(self.waves, now_ms=self.now_ms, unix_ms=UNIX_MS + self.now_ms)
        self.planner.update_vms(self.list_vms(), requested_ms=self.now_ms)
        for command in self.planner.plan(self.now_ms):
            self.commands.append(command)
            response = self.responses.pop(0) if self.responses else Response.PROMPT
            if response is Response.LATE:
                self.delayed.append((self.now_ms + 3_000.0, command))
                outcome = MaintenanceOutcome.UNKNOWN
            else:
                outcome = self.execute(command)
            if response is Response.LOST:
                outcome = MaintenanceOutcome.UNKNOWN
            self.planner.apply_outcome(command, outcome, self.now_ms)

    def run(self, duration_ms: float) -> None:
        """Simulate a time span in steps of 100 ms."""
        for _ in range(int(duration_ms / 100.0)):
            self.step()

    @property
    def maintenance_counts(self) -> list[int]:
        """Number of times that each VM had maintenance."""
        return [vm.maintenance_count for vm in self.vms.values()]
