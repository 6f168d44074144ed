"""Scheduling of the worker VMs of a maintenance wave.

A wave typically covers a third of the worker VMs, all of them in use, and allows 20 to 60 s for
their maintenance. Maintenance ends all runs on its VM at once, only a few VMs may be down at the
same time, and long-running steps tolerate only a few unavailable tasks.

A command whose response was lost may still take effect later. Its VM therefore counts as down until
a later response or a listing shows the outcome. The command is recorded before it is sent, so that
the next owner counts the VM as down too. The platform asks for a pause between the commands of two
owners for one VM, whichever waves they belong to.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from coltsfootpier.maintenance._messages import (
    MaintenanceCommand,
    MaintenanceOutcome,
    MaintenanceRecord,
    VmState,
    Wave,
    WaveRecord,
    WorkerVm,
)
from coltsfootpier.maintenance._settings import MaintenanceSettings


class RunnerCordons(Protocol):
    """Operations on runners that the planner needs from the owner of the cell."""

    def cordon(self, runner_id: str) -> None:
        """Stop placing tasks on a runner."""
        ...

    def uncordon(self, runner_id: str) -> None:
        """Allow tasks to be placed on a runner again."""
        ...

    def measure_ending_cost(self, runner_id: str) -> float | None:
        """Return the cost of ending all runs on a runner; None if the runner can't be used now.

        Only the order of the costs matters: VMs with a low cost are taken down first.
        """
        ...

    def is_idle(self, runner_id: str) -> bool:
        """Return whether a runner has no run worth waiting for; long-running runs never end."""
        ...

    def can_end_runs(self, runner_id: str) -> bool:
        """Return whether all runs on a runner may be ended at once."""
        ...

    def mark_ending(self, runner_id: str) -> None:
        """Mark the runs on a runner as about to end."""
        ...

    def unmark_ending(self, runner_id: str) -> None:
        """Revoke the mark of `mark_ending`."""
        ...

    def record_ended(self, runner_id: str) -> None:
        """Record that all runs on a runner have ended."""
        ...


class _Phase(enum.Enum):
    """Phase of a VM that is being taken down."""

    # The runner receives no new tasks; the VM waits until the runner is idle.
    CORDONED = "cordoned"
    # The command is due, in flight, or without a response.
    ORDERED = "ordered"
    # The maintenance has started.
    DOWN = "down"


@attrs.define(kw_only=True)
class _Progress:
    """Progress of a VM that is being taken down.

    Parameters
    ----------
    phase_start_ms : float
        Start of the current phase.
    is_outcome_unknown : bool
        Whether a command without a response may have taken effect or may still do so.
    due_ms : float
        Time at which the command is to be sent; infinite while it is in flight.
    is_end_recorded : bool
        Whether `RunnerCordons.record_ended` was called for the runner.
    """

    runner_id: str
    phase: _Phase
    phase_start_ms: float
    is_outcome_unknown: bool = False
    due_ms: float = 0.0
    is_end_recorded: bool = False


@attrs.define(kw_only=True)
class _WaveState:
    """State of one wave.

    Parameters
    ----------
    deadline_ms : float
        Local time at which the maintenance of all VMs should have ended.
    begun : set of str
        VMs whose maintenance has started.
    excluded : set of str
        VMs that get no maintenance, because the platform doesn't count them as part of the wave.
    retry_at_ms : dict of str to float
        Local time until which a VM isn't chosen again after its command was rejected.
    active : dict of str to _Progress
        VMs that are cordoned, have a command, or are down.
    """

    wave: Wave
    began_unix_ms: float
    deadline_ms: float
    begun: set[str] = attrs.field(factory=set)
    excluded: set[str] = attrs.field(factory=set)
    retry_at_ms: dict[str, float] = attrs.field(factory=dict)
    active: dict[str, _Progress] = attrs.field(factory=dict)
    completed: bool = False


class MaintenancePlanner:
    """State machine of all maintenance waves.

    Parameters
    ----------
    settings : MaintenanceSettings
        Durations.
    cordons : RunnerCordons
        Operations on runners.
    record : MaintenanceRecord
        Progress recorded by earlier owners.
    log : callable
        Callback that logs one event with its fields.
    """

    def __init__(
        self,
        *,
        settings: MaintenanceSettings,
        cordons: RunnerCordons,
        record: MaintenanceRecord,
        log: Callable[..., None],
    ) -> None:
        self._settings = settings
        self._cordons = cordons
        self._log = log
        self._earlier_records = {wave.number: wave for wave in record.waves}
        # VMs to which an earlier owner may have sent a command, and until when they get none.
        self._earlier_vm_ids = frozenset(
            vm_id for wave in record.waves for vm_id in (*wave.ordered, *wave.begun)
        )
        self._earlier_vms_held_until_ms: float | None = None
        self._waves: dict[int, _WaveState] = {}
        # VMs of the last listing, and identifiers of the VMs of the last two listings.
        self._vms: dict[str, WorkerVm] = {}
        self._recently_listed_ids: set[str] = set()

    @property
    def is_active(self) -> bool:
        """Whether a wave is incomplete, or a VM hasn't returned from maintenance."""
        return any(not state.completed or state.active for state in self._waves.values())

    def set_waves(self, waves: Iterable[Wave], *, now_ms: float, unix_ms: float) -> None:
        """Replace the set of waves requested by the operators.

        Parameters
        ----------
        waves : iterable of Wave
            All waves that are requested now.
        now_ms, unix_ms : float
            Local time and Unix time.
        """
        if self._earlier_vms_held_until_ms is None:
            self._earlier_vms_held_until_ms = now_ms + self._settings.takeover_delay_ms
        requested = {wave.number: wave for wave in waves}
        for number in set(self._waves) - set(requested):
            self._withdraw(self._waves.pop(number))
        for number, wave in sorted(requested.items()):
            state = self._waves.get(number)
            if state is None:
                self._waves[number] = self._add_wave(wave, now_ms, unix_ms)
            elif state.wave != wave:
                state.wave = wave
                state.completed = False

    def _add_wave(self, wave: Wave, now_ms: float, unix_ms: float) -> _WaveState:
        record = self._earlier_records.get(wave.number)
        began_unix_ms = record.began_unix_ms if record is not None else unix_ms
        state = _WaveState(
            wave=wave,
            began_unix_ms=began_unix_ms,
            deadline_ms=now_ms + wave.duration_ms - (unix_ms - began_unix_ms),
        )
        if record is not None:
            state.begun.update(record.begun)
            state.completed = record.completed
            for vm_id in record.ordered:
                # Every command is recorded before it is sent, so the previous owner can have sent
                # commands only to these VMs.
                state.active[vm_id] = _Progress(
                    runner_id="",
                    phase=_Phase.ORDERED,
                    phase_start_ms=now_ms,
                    is_outcome_unknown=True,
                    due_ms=self._earlier_vms_held_until_ms,
                )
        self._log(
            "maintenance wave opened",
            wave=wave.number,
            vms=len(wave.vms),
            max_down=wave.max_down,
            begun=len(state.begun),
            remaining_ms=state.deadline_ms - now_ms,
        )
        return state

    def _withdraw(self, state: _WaveState) -> None:
        """Release the VMs of a wave that the operators have withdrawn."""
        self._log("maintenance wave withdrawn", wave=state.wave.number)
        for progress in state.active.values():
            self._release(progress)

    def update_vms(self, vms: Iterable[WorkerVm], *, requested_ms: float) -> None:
        """Apply a complete listing of the worker VMs.

        Parameters
        ----------
        vms : iterable of WorkerVm
            All worker VMs.
        requested_ms : float
            Local time just before the listing was requested.
        """
        previous = set(self._vms)
        self._vms = {vm.id: vm for vm in vms}
        # The pages of a listing are not one snapshot, so a single listing may miss a VM.
        self._recently_listed_ids = previous | set(self._vms)
        for state in self._waves.values():
            for vm_id, progress in list(state.active.items()):
                # An earlier listing may show the state before the current phase.
                if requested_ms >= progress.phase_start_ms:
                    self._reconcile(state, vm_id, progress, requested_ms)

    def _reconcile(
        self, state: _WaveState, vm_id: str, progress: _Progress, requested_ms: float
    ) -> None:
        """Update the progress of a VM from its listed state."""
        vm = self._vms.get(vm_id)
        if vm is None:
            if vm_id not in self._recently_listed_ids:
                self._log("worker VM no longer listed", wave=state.wave.number, worker=vm_id)
                self._remove_active(state, vm_id, progress)
            return
        if progress.phase is _Phase.CORDONED:
            if vm.state is not VmState.UP or vm.runner_id != progress.runner_id:
                self._remove_active(state, vm_id, progress)
            return
        if progress.phase is _Phase.ORDERED:
            if vm.state is VmState.UPKEEP:
                # The command has taken effect, although its response was lost or is late.
                self._mark_started(state, vm_id, progress, requested_ms)
            elif vm.runner_id != progress.runner_id and progress.due_ms < math.inf:
                # The VM has another runner now, and no command is in flight.
                self._release(progress)
                progress.runner_id = vm.runner_id
        if progress.phase is not _Phase.DOWN:
            return
        if vm.state is VmState.UPKEEP and not progress.is_end_recorded:
            progress.is_end_recorded = True
            self._cordons.record_ended(progress.runner_id)
        elif vm.state is VmState.UP:
            self._log(
                "worker VM up after maintenance",
                wave=state.wave.number,
                worker=vm_id,
                runner=vm.runner_id,
            )
            self._remove_active(state, vm_id, progress)

    def plan(self, now_ms: float) -> list[MaintenanceCommand]:
        """Cordon the next VMs and return the commands that are due.

        The result of `export` must be recorded before a command is sent, because the command may
        take effect after its sender has stopped.
        """
        commands: list[MaintenanceCommand] = []
        if not self._vms:
            return commands
        for state in self._waves.values():
            if state.completed:
                continue
            self._cordon_next_vms(state, now_ms)
            for vm_id, progress in state.active.items():
                if progress.phase is _Phase.CORDONED and self._may_go_down(state, progress, now_ms):
                    progress.phase, progress.phase_start_ms = _Phase.ORDERED, now_ms
                    progress.due_ms = now_ms
                is_due = progress.phase is _Phase.ORDERED and progress.due_ms <= now_ms
                if is_due and self._try_mark_ending(vm_id, progress):
                    progress.due_ms = math.inf
                    commands.append(MaintenanceCommand(wave=state.wave.number, vm_id=vm_id))
            self._complete_if_done(state)
        return commands

    def _try_mark_ending(self, vm_id: str, progress: _Progress) -> bool:
        """Mark the runs on a VM as ending if they may end now; return whether they may."""
        vm = self._vms.get(vm_id)
        if vm is None or vm.state is not VmState.UP or vm.runner_id != progress.runner_id:
            return False
        if not self._cordons.can_end_runs(progress.runner_id):
            return False
        self._cordons.cordon(progress.runner_id)
        self._cordons.mark_ending(progress.runner_id)
        return True

    def _cordon_next_vms(self, state: _WaveState, now_ms: float) -> None:
        """Cordon as many VMs as may go down next, those with the lowest cost first."""
        down = self._count_vms_down(state)
        cordoned = sum(progress.phase is _Phase.CORDONED for progress in state.active.values())
        available = state.wave.max_down - down - cordoned
        if available <= 0:
            return
        in_other_waves = {
            vm_id for other in self._waves.values() if other is not state for vm_id in other.active
        }
        candidates: list[tuple[float, str]] = []
        for vm_id in self._list_pending_vms(state):
            vm = self._vms.get(vm_id)
            if (
                vm is None
                or vm.state is not VmState.UP
                or vm_id in state.active
                or vm_id in in_other_waves
                or self._is_held(vm_id, now_ms)
                or state.retry_at_ms.get(vm_id, now_ms) > now_ms
            ):
                continue
            # A VM of a pool that is switched off has no runner.
            cost = self._cordons.measure_ending_cost(vm.runner_id) if vm.runner_id else 0.0
            if cost is not None:
                candidates.append((cost, vm_id))
        for _, vm_id in sorted(candidates)[:available]:
            runner_id = self._vms[vm_id].runner_id
            self._cordons.cordon(runner_id)
            state.active[vm_id] = _Progress(
                runner_id=runner_id, phase=_Phase.CORDONED, phase_start_ms=now_ms
            )
            self._log("worker VM cordoned", wave=state.wave.number, worker=vm_id, runner=runner_id)

    def _is_held(self, vm_id: str, now_ms: float) -> bool:
        """Return whether the latest command for a VM may be too recent and by an earlier owner."""
        return vm_id in self._earlier_vm_ids and now_ms < self._earlier_vms_held_until_ms

    def _list_pending_vms(self, state: _WaveState) -> list[str]:
        done = state.begun | state.excluded
        return [vm_id for vm_id in state.wave.vms if vm_id not in done]

    def _count_vms_down(self, state: _WaveState) -> int:
        down = {
            vm_id
            for vm_id, progress in state.active.items()
            if progress.phase is not _Phase.CORDONED
        }
        # VMs that an earlier owner took down aren't active, but are listed as under maintenance.
        down |= {
            vm_id
            for vm_id in state.wave.vms
            if vm_id in self._vms and self._vms[vm_id].state is VmState.UPKEEP
        }
        return len(down)

    def _may_go_down(self, state: _WaveState, progress: _Progress, now_ms: float) -> bool:
        """Return whether a cordoned VM may go down.

        Its runs may end, and it is idle or has waited long enough.
        """
        if not self._cordons.can_end_runs(progress.runner_id):
            return False
        waited_ms = now_ms - progress.phase_start_ms
        return self._cordons.is_idle(progress.runner_id) or waited_ms >= self._compute_max_wait_ms(
            state, now_ms
        )

    def _compute_max_wait_ms(self, state: _WaveState, now_ms: float) -> float:
        """Return how long a cordoned VM may wait to become idle, in ms.

        The remaining time of the wave is divided among the remaining rounds, each of which takes
        down `max_down` VMs and needs time for their maintenance.
        """
        settings = self._settings
        remaining_rounds = math.ceil(len(self._list_pending_vms(state)) / state.wave.max_down)
        spare_ms = (state.deadline_ms - now_ms) / max(1, remaining_rounds)
        spare_ms -= settings.maintenance_ms + settings.round_margin_ms
        return min(settings.idle_wait_ms, max(0.0, spare_ms))

    def _complete_if_done(self, state: _WaveState) -> None:
        """Mark a wave as complete if no listed VM still needs a command or a response."""
        pending = [
            vm_id for vm_id in self._list_pending_vms(state) if vm_id in self._recently_listed_ids
        ]
        if not pending and not any(
            progress.phase is _Phase.ORDERED for progress in state.active.values()
        ):
            state.completed = True
            self._log("maintenance wave complete", wave=state.wave.number, begun=len(state.begun))

    def apply_outcome(
        self, command: MaintenanceCommand, outcome: MaintenanceOutcome, now_ms: float
    ) -> None:
        """Update the progress of a VM after a command, and schedule a retry if it needs one."""
        state = self._waves.get(command.wave)
        progress = state.active.get(command.vm_id) if state is not None else None
        if state is None or progress is None or progress.phase is not _Phase.ORDERED:
            return
        self._log(
            "maintenance command outcome",
            wave=command.wave,
            worker=command.vm_id,
            outcome=outcome.value,
        )
        if outcome is MaintenanceOutcome.BEGUN:
            self._mark_started(state, command.vm_id, progress, now_ms)
        elif outcome is MaintenanceOutcome.UNKNOWN:
            progress.is_outcome_unknown = True
            progress.due_ms = now_ms + self._settings.resend_delay_ms
        elif outcome is MaintenanceOutcome.FOREIGN:
            state.excluded.add(command.vm_id)
            self._remove_active(state, command.vm_id, progress)
        elif progress.is_outcome_unknown:
            # An earlier command may still take effect, so the VM still counts as down.
            progress.due_ms = now_ms + self._settings.busy_retry_delay_ms
        else:
            state.retry_at_ms[command.vm_id] = now_ms + self._settings.busy_retry_delay_ms
            self._remove_active(state, command.vm_id, progress)

    def _mark_started(
        self, state: _WaveState, vm_id: str, progress: _Progress, now_ms: float
    ) -> None:
        state.begun.add(vm_id)
        progress.phase, progress.phase_start_ms = _Phase.DOWN, now_ms

    def _remove_active(self, state: _WaveState, vm_id: str, progress: _Progress) -> None:
        """Stop taking down a VM, or finish it, and allow new tasks on its runner."""
        del state.active[vm_id]
        self._release(progress)

    def _release(self, progress: _Progress) -> None:
        self._cordons.unmark_ending(progress.runner_id)
        self._cordons.uncordon(progress.runner_id)

    # State handed to the next owner

    def export(self) -> MaintenanceRecord:
        """Return the progress that the next owner needs."""
        return MaintenanceRecord(
            tuple(
                WaveRecord(
                    number=number,
                    began_unix_ms=state.began_unix_ms,
                    ordered=tuple(
                        sorted(
                            vm_id
                            for vm_id, progress in state.active.items()
                            if progress.phase is _Phase.ORDERED
                        )
                    ),
                    begun=tuple(sorted(state.begun)),
                    completed=state.completed,
                )
                for number, state in sorted(self._waves.items())
            )
        )

    def get_completion_by_wave(self) -> dict[int, bool]:
        """Return whether each wave is complete, by number."""
        return {number: state.completed for number, state in self._waves.items()}
