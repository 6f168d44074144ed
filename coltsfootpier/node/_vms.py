"""The task that follows worker VMs while its daemon owns the cell."""

from __future__ import annotations

import time
from collections.abc import Callable, Container, Iterable
from typing import Protocol

import anyio
from returns.result import Failure, Result

from coltsfootpier.clock import Clock
from coltsfootpier.logs import log_event
from coltsfootpier.maintenance import (
    MaintenanceCommand,
    MaintenanceOutcome,
    MaintenancePlanner,
    MaintenanceRecord,
    MaintenanceSettings,
    RunnerCordons,
    VmState,
    Wave,
    WorkerVm,
)
from coltsfootpier.node import _timing
from coltsfootpier.node.keys import UPKEEP_KEY
from coltsfootpier.platform import encode_wave_status
from coltsfootpier.transport import CallError, encode


class VmCalls(Protocol):
    """Calls about worker VMs; `coltsfootpier.platform.VmClient` is one."""

    async def list_vms(self, *, timeout_ms: float) -> Result[tuple[WorkerVm, ...], CallError]:
        """List all worker VMs."""
        ...

    async def start_maintenance(
        self, order: MaintenanceCommand, *, timeout_ms: float
    ) -> MaintenanceOutcome:
        """Order the upkeep of a VM."""
        ...


class RecordWriter(Protocol):
    """Where progress is written; `Committer` is one."""

    def put_record(self, key: str, value: bytes) -> None:
        """Write a record with the next change."""
        ...

    def is_written(self, key: str) -> bool:
        """Return whether the last value of a record is durable."""
        ...

    async def wait_commit(self, timeout_ms: float) -> None:
        """Wait until a change has been settled, at most `timeout_ms`."""
        ...


class Lives(Protocol):
    """Where it is known which runners live; `LifeTracker` of a cell is one."""

    def has_suspects(self, now_ms: float) -> bool:
        """Return whether a listing may tell that a runner with work has ended."""
        ...

    def take_listing(self, living: Container[str], *, requested_ms: float) -> bool:
        """Take the runners that live; returns whether one has ended."""
        ...


class VmTask:
    """Lists worker VMs while a wave of upkeep isn't complete or a runner may have ended.

    It sends the orders of the upkeep's planner.

    Parameters
    ----------
    calls : VmCalls
        Calls about worker VMs.
    cordons : RunnerCordons
        Owner of the runners.
    lives : Lives
        Where it is known which runners live.
    records : RecordWriter
        Where progress is written.
    record : UpkeepRecord
        What earlier owners have recorded.
    clock : Clock
        Time source.
    upkeep_ms : float
        Time that an upkeep takes.
    pause_ms : float
        Least time between orders of two owners for one VM.
    get_waves : callable
        Returns the waves that the operators ask for.
    may_order : callable
        Returns whether this daemon surely owns the cell still.
    on_change : callable
        Called when runners were cordoned, released or ended.
    on_fenced : callable
        Called when a later owner has given orders about a VM.
    """

    def __init__(
        self,
        *,
        calls: VmCalls,
        cordons: RunnerCordons,
        lives: Lives,
        records: RecordWriter,
        record: MaintenanceRecord,
        clock: Clock,
        upkeep_ms: float,
        pause_ms: float,
        get_waves: Callable[[], Iterable[Wave]],
        may_order: Callable[[], bool],
        on_change: Callable[[], None],
        on_fenced: Callable[[str], None],
    ) -> None:
        self._calls = calls
        self._lives = lives
        self._records = records
        self._clock = clock
        self._get_waves = get_waves
        self._may_order = may_order
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._planner = MaintenancePlanner(
            settings=MaintenanceSettings(
                upkeep_ms=upkeep_ms, takeover_delay_ms=pause_ms + _timing.VM_TIMEOUT_MS
            ),
            cordons=cordons,
            record=record,
            log=log_event,
        )
        self._written = record
        # What the operators were told of each wave.
        self._told: dict[int, bool] = {}
        self._reachable = True

    async def run(self) -> None:
        """Work on waves until cancelled."""
        while True:
            self._planner.set_waves(
                self._get_waves(), now_ms=self._clock.now_ms(), unix_ms=time.time() * 1000
            )
            self._write()
            suspects = self._lives.has_suspects(self._clock.now_ms())
            ordered = (suspects or self._planner.is_active) and await self._step()
            rest_ms = _timing.VM_LIST_PERIOD_MS
            if ordered or suspects:
                rest_ms = _timing.VM_LIST_SOON_MS
            await anyio.sleep(rest_ms / 1000)

    async def _step(self) -> bool:
        """List the VMs and send what is due; returns whether an order was sent."""
        requested_ms = self._clock.now_ms()
        listed = await self._calls.list_vms(timeout_ms=_timing.VM_TIMEOUT_MS)
        if isinstance(listed, Failure):
            if self._reachable:
                log_event("worker listing lost", reason=repr(listed.failure()))
            self._reachable = False
            return False
        if not self._reachable:
            log_event("worker listing regained")
        self._reachable = True
        vms = listed.unwrap()
        living = {vm.runner_id for vm in vms if vm.state is VmState.UP}
        if self._lives.take_listing(living, requested_ms=requested_ms):
            self._on_change()
        if not self._planner.is_active:
            return False
        self._planner.update_vms(vms, requested_ms=requested_ms)
        orders = self._planner.plan(self._clock.now_ms())
        self._write()
        self._on_change()
        if not orders:
            return False
        # Recorded first, so that a later owner counts an order that is carried out late.
        while not self._records.is_written(UPKEEP_KEY):
            await self._records.wait_commit(_timing.STORE_TIMEOUT_MS)
        async with anyio.create_task_group() as group:
            for order in orders:
                group.start_soon(self._send, order)
        self._write()
        self._on_change()
        return True

    async def _send(self, order: MaintenanceCommand) -> None:
        outcome = MaintenanceOutcome.REFUSED
        if self._may_order():
            outcome = await self._calls.start_maintenance(order, timeout_ms=_timing.VM_TIMEOUT_MS)
        self._planner.handle_outcome(order, outcome, self._clock.now_ms())
        if outcome is MaintenanceOutcome.FENCED:
            self._on_fenced(order.vm_id)

    def _write(self) -> None:
        record = self._planner.export()
        if record != self._written:
            self._written = record
            self._records.put_record(UPKEEP_KEY, encode(record))
        for number, completed in self._planner.list_states().items():
            if self._told.get(number) != completed:
                self._told[number] = completed
                self._records.put_record(*encode_wave_status(number, completed=completed))
