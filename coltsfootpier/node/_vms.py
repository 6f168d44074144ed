"""Task that tracks and maintains worker VMs while its daemon owns the cell."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
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
from coltsfootpier.node.keys import MAINTENANCE_KEY
from coltsfootpier.platform import encode_wave_status
from coltsfootpier.transport import CallError, encode


class VmServiceClient(Protocol):
    """Client of the VM service; `coltsfootpier.platform.VmClient` implements it."""

    async def list_vms(self, *, timeout_ms: float) -> Result[tuple[WorkerVm, ...], CallError]:
        """List all worker VMs."""
        ...

    async def start_maintenance(
        self, command: MaintenanceCommand, *, timeout_ms: float
    ) -> MaintenanceOutcome:
        """Send the command that starts the maintenance of a VM."""
        ...


class RecordWriter(Protocol):
    """Writer of progress records; `Committer` implements it."""

    def put_record(self, key: str, value: bytes) -> None:
        """Write a record with the next change."""
        ...

    def is_written(self, key: str) -> bool:
        """Return whether the latest value of a record is durable."""
        ...

    async def wait_commit(self, timeout_ms: float) -> None:
        """Wait until a change is committed or abandoned, at most `timeout_ms`."""
        ...


class RunnerLiveness(Protocol):
    """Tracker of live runners; `coltsfootpier.cells.IncarnationTracker` implements it."""

    def has_suspects(self, now_ms: float) -> bool:
        """Return whether a listing may show that a runner with work has ended."""
        ...

    def apply_listing(
        self, live: Collection[str], *, requested_ms: float, runner_by_vm: Mapping[str, str]
    ) -> bool:
        """Apply a listing of the live runners and of all VMs; return whether a runner has ended."""
        ...


class VmTask:
    """Task that lists worker VMs and sends the commands of the maintenance planner.

    It lists the VMs while a maintenance wave isn't complete or a runner may have ended.

    Parameters
    ----------
    client : VmServiceClient
        Client of the VM service.
    cordons : RunnerCordons
        Interface to cordon and release the runners of VMs.
    liveness : RunnerLiveness
        Tracker of live runners.
    records : RecordWriter
        Writer of progress records.
    record : MaintenanceRecord, optional
        Progress that earlier owners have recorded; None if it can't be decoded. Waves wait then
        until no earlier command can arrive.
    clock : Clock
        Time source.
    maintenance_ms : float
        Time in ms that the maintenance of a VM takes.
    command_pause_ms : float
        Minimum time in ms between the commands of two owners for one VM.
    late_call_ms : float
        Time after which a call without a response is no longer carried out.
    get_waves : callable
        Returns the waves that operators have requested.
    may_send_commands : callable
        Awaited before each command; returns whether this daemon still owned the cell meanwhile.
    on_change : callable
        Called when runners may have been cordoned or released, or have ended.
    on_fenced : callable
        Called with the identifier of a VM when the VM service rejects a command for it, because a
        later owner has sent one.
    """

    def __init__(
        self,
        *,
        client: VmServiceClient,
        cordons: RunnerCordons,
        liveness: RunnerLiveness,
        records: RecordWriter,
        record: MaintenanceRecord | None,
        clock: Clock,
        maintenance_ms: float,
        command_pause_ms: float,
        late_call_ms: float,
        get_waves: Callable[[], Iterable[Wave]],
        may_send_commands: Callable[[], Awaitable[bool]],
        on_change: Callable[[], None],
        on_fenced: Callable[[str], None],
    ) -> None:
        self._client = client
        self._liveness = liveness
        self._records = records
        self._clock = clock
        self._get_waves = get_waves
        self._may_send_commands = may_send_commands
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._waves_due_ms = float("-inf")
        if record is None:
            record = MaintenanceRecord()
            self._waves_due_ms = clock.now_ms() + command_pause_ms + late_call_ms
        self._planner = MaintenancePlanner(
            settings=MaintenanceSettings(
                maintenance_ms=maintenance_ms,
                takeover_delay_ms=(
                    command_pause_ms + _timing.VM_TIMEOUT_MS + _timing.VM_PROOF_AGE_MS
                ),
            ),
            cordons=cordons,
            record=record,
            log=log_event,
        )
        self._last_record = record
        # Whether each wave is complete, by number, as last published to operators.
        self._published: dict[int, bool] = {}
        self._is_service_reachable = True

    async def run(self) -> None:
        """Carry out waves and look for ended runners until cancelled."""
        while True:
            waves, now_ms = self._get_waves(), self._clock.now_ms()
            if now_ms < self._waves_due_ms:
                waves = ()
            self._planner.set_waves(waves, now_ms=now_ms, unix_ms=time.time() * 1000)
            self._write_progress()
            has_suspects = self._liveness.has_suspects(self._clock.now_ms())
            sent = (has_suspects or self._planner.is_active) and await self._list_and_send()
            sleep_ms = _timing.VM_LIST_PERIOD_MS
            if sent or has_suspects:
                sleep_ms = _timing.VM_LIST_SHORT_PERIOD_MS
            await anyio.sleep(sleep_ms / 1000)

    async def _list_and_send(self) -> bool:
        """List the VMs and send the commands that are due; return whether any was sent."""
        requested_ms = self._clock.now_ms()
        listed = await self._client.list_vms(timeout_ms=_timing.VM_TIMEOUT_MS)
        if isinstance(listed, Failure):
            if self._is_service_reachable:
                log_event("worker VM listing failed", reason=repr(listed.failure()))
            self._is_service_reachable = False
            return False
        if not self._is_service_reachable:
            log_event("worker VM listing succeeded again")
        self._is_service_reachable = True
        vms = listed.unwrap()
        live = {vm.runner_id for vm in vms if vm.state is VmState.UP and vm.runner_id}
        runner_by_vm = {vm.id: vm.runner_id if vm.state is VmState.UP else "" for vm in vms}
        if self._liveness.apply_listing(live, requested_ms=requested_ms, runner_by_vm=runner_by_vm):
            self._on_change()
        if not self._planner.is_active:
            return False
        self._planner.update_vms(vms, requested_ms=requested_ms)
        commands = self._planner.plan(self._clock.now_ms())
        self._write_progress()
        self._on_change()
        if not commands:
            return False
        # Commands are recorded before they are sent, so that a later owner accounts for one that
        # takes effect late.
        while not self._records.is_written(MAINTENANCE_KEY):
            await self._records.wait_commit(_timing.STORE_TIMEOUT_MS)
        async with anyio.create_task_group() as group:
            for command in commands:
                group.start_soon(self._send_command, command)
        self._write_progress()
        self._on_change()
        return True

    async def _send_command(self, command: MaintenanceCommand) -> None:
        outcome = MaintenanceOutcome.REFUSED
        if await self._may_send_commands():
            outcome = await self._client.start_maintenance(
                command, timeout_ms=_timing.VM_TIMEOUT_MS
            )
        self._planner.apply_outcome(command, outcome, self._clock.now_ms())
        if outcome is MaintenanceOutcome.FENCED:
            self._on_fenced(command.vm_id)

    def _write_progress(self) -> None:
        """Write the maintenance record and the status of waves where they have changed."""
        record = self._planner.export()
        if record != self._last_record:
            self._last_record = record
            self._records.put_record(MAINTENANCE_KEY, encode(record))
        for number, completed in self._planner.get_completion_by_wave().items():
            if self._published.get(number) != completed:
                self._published[number] = completed
                self._records.put_record(*encode_wave_status(number, completed=completed))
