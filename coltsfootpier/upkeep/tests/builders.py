"""Builders of test data for upkeep, and worker VMs that are simulated."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from coltsfootpier.upkeep import (
    UpkeepOrder,
    UpkeepOutcome,
    UpkeepPlanner,
    UpkeepRecord,
    UpkeepSettings,
    VmState,
    Wave,
    WorkerVm,
)

UNIX_MS = 1_700_000_000_000.0
UPKEEP_MS = 2_000.0


def build_wave(*vms: str, **changes: Any) -> Wave:
    """Build a wave that takes one VM down after the other."""
    values = {"number": 1, "vms": vms, "duration_ms": 60_000.0, "max_down": 1}
    return Wave(**{**values, **changes})


@attrs.define
class FakeCordons:
    """Owner of runners without any runs."""

    busy: set[str] = attrs.field(factory=set)
    unendable: set[str] = attrs.field(factory=set)
    unusable: set[str] = attrs.field(factory=set)
    uses: dict[str, float] = attrs.field(factory=dict)
    cordoned: set[str] = attrs.field(factory=set)
    ending: set[str] = attrs.field(factory=set)
    ended: list[str] = attrs.field(factory=list)

    def cordon(self, runner_id: str) -> None:
        """Give a runner nothing new."""
        self.cordoned.add(runner_id)

    def uncordon(self, runner_id: str) -> None:
        """Use a runner again."""
        self.cordoned.discard(runner_id)

    def measure_use(self, runner_id: str) -> float | None:
        """Return what an end would cost."""
        return None if runner_id in self.unusable else self.uses.get(runner_id, 0.0)

    def is_idle(self, runner_id: str) -> bool:
        """Return whether nothing is worth waiting for."""
        return runner_id not in self.busy

    def can_end(self, runner_id: str) -> bool:
        """Return whether all runs may end."""
        return runner_id not in self.unendable

    def begin_end(self, runner_id: str) -> None:
        """Count runs as ending."""
        self.ending.add(runner_id)

    def cancel_end(self, runner_id: str) -> None:
        """Count runs as at work."""
        self.ending.discard(runner_id)

    def note_ended(self, runner_id: str) -> None:
        """Note that everything has ended."""
        self.ended.append(runner_id)


class Answer(enum.Enum):
    """How the simulated platform treats an order."""

    PROMPT = "prompt"
    # Carried out, and not answered.
    LOST = "lost"
    # Not answered, and carried out later.
    LATE = "late"


@attrs.define
class SimulatedVm:
    """A worker VM; its runner gets a new identifier with each life."""

    id: str
    life: int = 1
    up_ms: float = 0.0
    upkeeps: int = 0

    @property
    def runner_id(self) -> str:
        """Runner of the present life."""
        return f"{self.id}-{self.life}"


class SimulatedVms:
    """Worker VMs, a planner and the orders between them, on a virtual clock.

    Parameters
    ----------
    names : tuple of str
        Identifiers of the VMs.
    record : UpkeepRecord
        What an earlier owner has recorded.
    """

    def __init__(self, *names: str, record: UpkeepRecord | None = None) -> None:
        self.now_ms = 1_000.0
        self.vms = {name: SimulatedVm(name) for name in names}
        self.waves: list[Wave] = []
        self.answers: list[Answer] = []
        self.late: list[tuple[float, UpkeepOrder]] = []
        self.most_down = 0
        self.orders: list[UpkeepOrder] = []
        self.events: list[str] = []
        self.restart(record or UpkeepRecord())

    def restart(self, record: UpkeepRecord) -> None:
        """Let another owner take over."""
        self.cordons = FakeCordons()
        self.planner = UpkeepPlanner(
            settings=UpkeepSettings(upkeep_ms=UPKEEP_MS),
            cordons=self.cordons,
            record=record,
            log=lambda event, /, **fields: self.events.append(event),
        )

    def list_vms(self) -> list[WorkerVm]:
        """Return the VMs as the platform lists them."""
        return [
            (
                WorkerVm(id=vm.id, state=VmState.UP, runner_id=vm.runner_id)
                if vm.up_ms <= self.now_ms
                else WorkerVm(id=vm.id, state=VmState.UPKEEP)
            )
            for vm in self.vms.values()
        ]

    def carry_out(self, order: UpkeepOrder) -> UpkeepOutcome:
        """Take a VM down."""
        vm = self.vms[order.vm_id]
        if vm.upkeeps:
            return UpkeepOutcome.BEGUN
        if vm.up_ms > self.now_ms:
            return UpkeepOutcome.BUSY
        vm.upkeeps += 1
        vm.life += 1
        vm.up_ms = self.now_ms + UPKEEP_MS
        down = sum(other.up_ms > self.now_ms for other in self.vms.values())
        self.most_down = max(self.most_down, down)
        return UpkeepOutcome.BEGUN

    def step(self, duration_ms: float = 100.0) -> None:
        """Pass time, list the VMs, plan, and carry the orders out."""
        self.now_ms += duration_ms
        for due in [due for due in self.late if due[0] <= self.now_ms]:
            self.late.remove(due)
            self.carry_out(due[1])
        self.planner.set_waves(self.waves, now_ms=self.now_ms, unix_ms=UNIX_MS + self.now_ms)
        self.planner.take_vms(self.list_vms(), asked_ms=self.now_ms)
        for order in self.planner.plan(self.now_ms):
            self.orders.append(order)
            answer = self.answers.pop(0) if self.answers else Answer.PROMPT
            if answer is Answer.LATE:
                self.late.append((self.now_ms + 3_000.0, order))
                outcome = UpkeepOutcome.UNKNOWN
            else:
                outcome = self.carry_out(order)
            if answer is Answer.LOST:
                outcome = UpkeepOutcome.UNKNOWN
            self.planner.answered(order, outcome, self.now_ms)

    def run(self, duration_ms: float) -> None:
        """Step for some time."""
        for _ in range(int(duration_ms / 100.0)):
            self.step()

    @property
    def upkeeps(self) -> list[int]:
        """Number of upkeeps of each VM."""
        return [vm.upkeeps for vm in self.vms.values()]
