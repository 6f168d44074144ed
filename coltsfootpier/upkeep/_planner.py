"""Which worker VM of a wave goes down when.

The load that it answers: operators ask for the upkeep of a third of the worker VMs within 20 to
60 s while all of them are in use. An upkeep ends everything on its VM at once, at most a few VMs
may be down together, and long-running steps allow few of their tasks to be away.

An order without an answer may be carried out later. Its VM counts as down until an answer or a
listing settles it. It is recorded before the order is sent, so that a later owner counts it too.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from coltsfootpier.upkeep._messages import (
    UpkeepOrder,
    UpkeepOutcome,
    UpkeepRecord,
    VmState,
    Wave,
    WaveRecord,
    WorkerVm,
)
from coltsfootpier.upkeep._settings import UpkeepSettings


class RunnerCordons(Protocol):
    """What upkeep asks of the owner of the runners."""

    def cordon(self, runner_id: str) -> None:
        """Give a runner nothing new."""
        ...

    def uncordon(self, runner_id: str) -> None:
        """Use a runner again."""
        ...

    def measure_use(self, runner_id: str) -> float | None:
        """Return what an end of all runs on a runner would cost; None if it can't be used now."""
        ...

    def is_idle(self, runner_id: str) -> bool:
        """Return whether no run on a runner is worth waiting for."""
        ...

    def can_end(self, runner_id: str) -> bool:
        """Return whether all runs on a runner may end at once."""
        ...

    def begin_end(self, runner_id: str) -> None:
        """Count the runs on a runner as ending."""
        ...

    def cancel_end(self, runner_id: str) -> None:
        """Count the runs on a runner as at work again."""
        ...

    def note_ended(self, runner_id: str) -> None:
        """Note that everything on a runner has ended."""
        ...


class _Phase(enum.Enum):
    # Gets nothing new and waits until it is idle.
    CORDONED = "cordoned"
    # An order is to be sent, under way, or without an answer.
    ORDERED = "ordered"
    # The upkeep has begun.
    DOWN = "down"


@attrs.define(kw_only=True)
class _Progress:
    """A VM that is being taken down.

    Parameters
    ----------
    since_ms : float
        When its phase began.
    is_unsure : bool
        Whether an order may have been or may yet be carried out without an answer.
    due_ms : float
        When the order is to be sent; infinite while it is under way.
    """

    runner_id: str
    phase: _Phase
    since_ms: float
    is_unsure: bool = False
    due_ms: float = 0.0
    is_ended: bool = False


@attrs.define(kw_only=True)
class _WaveState:
    wave: Wave
    began_unix_ms: float
    due_ms: float
    begun: set[str] = attrs.field(factory=set)
    excluded: set[str] = attrs.field(factory=set)
    # VMs that were busy, and when they are tried again.
    retry_ms: dict[str, float] = attrs.field(factory=dict)
    active: dict[str, _Progress] = attrs.field(factory=dict)
    completed: bool = False


class UpkeepPlanner:
    """State machine of all waves.

    Parameters
    ----------
    settings : UpkeepSettings
        Times.
    cordons : RunnerCordons
        Owner of the runners.
    record : UpkeepRecord
        What earlier owners have recorded.
    log : callable
        Takes an event's name and fields.
    """

    def __init__(
        self,
        *,
        settings: UpkeepSettings,
        cordons: RunnerCordons,
        record: UpkeepRecord,
        log: Callable[..., None],
    ) -> None:
        self._settings = settings
        self._cordons = cordons
        self._log = log
        self._recorded = {wave.number: wave for wave in record.waves}
        self._waves: dict[int, _WaveState] = {}
        # VMs of the last listing, and identifiers of the last two.
        self._vms: dict[str, WorkerVm] = {}
        self._kept: set[str] = set()

    @property
    def is_active(self) -> bool:
        """Whether a wave isn't complete, or a VM isn't back from its upkeep."""
        return any(not state.completed or state.active for state in self._waves.values())

    def set_waves(self, waves: Iterable[Wave], *, now_ms: float, unix_ms: float) -> None:
        """Take the waves that the operators ask for now.

        Parameters
        ----------
        waves : iterable of Wave
            All of them.
        now_ms, unix_ms : float
            Local time, and time since 1970.
        """
        wanted = {wave.number: wave for wave in waves}
        for number in set(self._waves) - set(wanted):
            self._drop(self._waves.pop(number))
        for number, wave in sorted(wanted.items()):
            state = self._waves.get(number)
            if state is None:
                self._waves[number] = self._open(wave, now_ms, unix_ms)
            elif state.wave != wave:
                state.wave = wave
                state.completed = False

    def _open(self, wave: Wave, now_ms: float, unix_ms: float) -> _WaveState:
        record = self._recorded.get(wave.number)
        began_unix_ms = record.began_unix_ms if record is not None else unix_ms
        state = _WaveState(
            wave=wave,
            began_unix_ms=began_unix_ms,
            due_ms=now_ms + wave.duration_ms - (unix_ms - began_unix_ms),
        )
        if record is not None:
            state.begun.update(record.begun)
            state.completed = record.completed
            for vm_id in record.ordered:
                # Only these can have an order of the owner before: each is recorded first.
                state.active[vm_id] = _Progress(
                    runner_id="",
                    phase=_Phase.ORDERED,
                    since_ms=now_ms,
                    is_unsure=True,
                    due_ms=now_ms + self._settings.takeover_ms,
                )
        self._log(
            "upkeep wave",
            wave=wave.number,
            vms=len(wave.vms),
            max_down=wave.max_down,
            begun=len(state.begun),
            left_ms=state.due_ms - now_ms,
        )
        return state

    def _drop(self, state: _WaveState) -> None:
        """Forget a wave that was withdrawn; VMs that were only cordoned are used again."""
        self._log("upkeep wave withdrawn", wave=state.wave.number)
        for progress in state.active.values():
            self._release(progress)

    def take_vms(self, vms: Iterable[WorkerVm], *, asked_ms: float) -> None:
        """Take a complete listing of the worker VMs.

        Parameters
        ----------
        vms : iterable of WorkerVm
            All of them.
        asked_ms : float
            Local time before the listing was asked for.
        """
        previous = set(self._vms)
        self._vms = {vm.id: vm for vm in vms}
        # Pages of a listing are not a snapshot, so one listing may miss a VM.
        self._kept = previous | set(self._vms)
        for state in self._waves.values():
            for vm_id, progress in list(state.active.items()):
                if asked_ms >= progress.since_ms:
                    self._follow(state, vm_id, progress, asked_ms)

    def _follow(self, state: _WaveState, vm_id: str, progress: _Progress, asked_ms: float) -> None:
        """Compare what was ordered with the state of the VM."""
        vm = self._vms.get(vm_id)
        if vm is None:
            if vm_id not in self._kept:
                self._log("worker gone", wave=state.wave.number, worker=vm_id)
                self._remove_active(state, vm_id, progress)
            return
        if progress.phase is _Phase.CORDONED:
            if vm.state is not VmState.UP or vm.runner_id != progress.runner_id:
                self._remove_active(state, vm_id, progress)
            return
        if progress.phase is _Phase.ORDERED:
            if vm.state is VmState.UPKEEP:
                # An order without an answer was carried out.
                self._note_begun(state, vm_id, progress, asked_ms)
            elif vm.runner_id != progress.runner_id and progress.due_ms < math.inf:
                self._release(progress)
                progress.runner_id = vm.runner_id
        if progress.phase is not _Phase.DOWN:
            return
        if vm.state is VmState.UPKEEP and not progress.is_ended:
            progress.is_ended = True
            self._cordons.note_ended(progress.runner_id)
        elif vm.state is VmState.UP:
            self._log("worker back", wave=state.wave.number, worker=vm_id, runner=vm.runner_id)
            self._remove_active(state, vm_id, progress)

    def plan(self, now_ms: float) -> list[UpkeepOrder]:
        """Cordon the next VMs and return the orders that are due.

        An order may be sent only once `export` was recorded, since the order may be carried out
        after its sender is gone.
        """
        orders: list[UpkeepOrder] = []
        if not self._vms:
            return orders
        for state in self._waves.values():
            if state.completed:
                continue
            self._cordon_next(state, now_ms)
            for vm_id, progress in state.active.items():
                if progress.phase is _Phase.CORDONED and self._is_due(state, progress, now_ms):
                    progress.phase, progress.since_ms = _Phase.ORDERED, now_ms
                    progress.due_ms = now_ms
                is_due = progress.phase is _Phase.ORDERED and progress.due_ms <= now_ms
                if is_due and self._may_send(vm_id, progress):
                    progress.due_ms = math.inf
                    orders.append(UpkeepOrder(wave=state.wave.number, vm_id=vm_id))
            self._check_complete(state)
        return orders

    def _may_send(self, vm_id: str, progress: _Progress) -> bool:
        """Return whether an order may end what runs on the VM now; counts it as ending then."""
        vm = self._vms.get(vm_id)
        if vm is None or vm.state is not VmState.UP or vm.runner_id != progress.runner_id:
            return False
        if not self._cordons.can_end(progress.runner_id):
            return False
        self._cordons.cordon(progress.runner_id)
        self._cordons.begin_end(progress.runner_id)
        return True

    def _cordon_next(self, state: _WaveState, now_ms: float) -> None:
        down = self._count_down(state)
        cordoned = sum(progress.phase is _Phase.CORDONED for progress in state.active.values())
        free = state.wave.max_down - down - cordoned
        if free <= 0:
            return
        elsewhere = {
            vm_id for other in self._waves.values() if other is not state for vm_id in other.active
        }
        candidates: list[tuple[float, str]] = []
        for vm_id in self._list_left(state):
            vm = self._vms.get(vm_id)
            if (
                vm is None
                or vm.state is not VmState.UP
                or vm_id in state.active
                or vm_id in elsewhere
                or state.retry_ms.get(vm_id, now_ms) > now_ms
            ):
                continue
            # A VM of a pool that is off has no runner.
            use = self._cordons.measure_use(vm.runner_id) if vm.runner_id else 0.0
            if use is not None:
                candidates.append((use, vm_id))
        for _, vm_id in sorted(candidates)[:free]:
            runner_id = self._vms[vm_id].runner_id
            self._cordons.cordon(runner_id)
            state.active[vm_id] = _Progress(
                runner_id=runner_id, phase=_Phase.CORDONED, since_ms=now_ms
            )
            self._log("worker cordoned", wave=state.wave.number, worker=vm_id, runner=runner_id)

    def _list_left(self, state: _WaveState) -> list[str]:
        done = state.begun | state.excluded
        return [vm_id for vm_id in state.wave.vms if vm_id not in done]

    def _count_down(self, state: _WaveState) -> int:
        down = {
            vm_id
            for vm_id, progress in state.active.items()
            if progress.phase is not _Phase.CORDONED
        }
        # VMs that an earlier owner took down.
        down |= {
            vm_id
            for vm_id in state.wave.vms
            if vm_id in self._vms and self._vms[vm_id].state is VmState.UPKEEP
        }
        return len(down)

    def _is_due(self, state: _WaveState, progress: _Progress, now_ms: float) -> bool:
        """Return whether a cordoned VM is idle or can't wait any longer, and its runs may end."""
        if not self._cordons.can_end(progress.runner_id):
            return False
        waited_ms = now_ms - progress.since_ms
        return self._cordons.is_idle(progress.runner_id) or waited_ms >= self._measure_wait(
            state, now_ms
        )

    def _measure_wait(self, state: _WaveState, now_ms: float) -> float:
        """Return how long a VM may wait for its runs so that the wave ends in time, in ms."""
        settings = self._settings
        rounds = math.ceil(len(self._list_left(state)) / state.wave.max_down)
        spare_ms = (state.due_ms - now_ms) / max(1, rounds)
        spare_ms -= settings.upkeep_ms + settings.round_margin_ms
        return min(settings.idle_wait_ms, max(0.0, spare_ms))

    def _check_complete(self, state: _WaveState) -> None:
        left = [vm_id for vm_id in self._list_left(state) if vm_id in self._kept]
        if not left and not any(
            progress.phase is _Phase.ORDERED for progress in state.active.values()
        ):
            state.completed = True
            self._log("upkeep wave complete", wave=state.wave.number, begun=len(state.begun))

    def answered(self, order: UpkeepOrder, outcome: UpkeepOutcome, now_ms: float) -> None:
        """Take the answer to an order."""
        state = self._waves.get(order.wave)
        progress = state.active.get(order.vm_id) if state is not None else None
        if state is None or progress is None or progress.phase is not _Phase.ORDERED:
            return
        self._log("upkeep ordered", wave=order.wave, worker=order.vm_id, outcome=outcome.value)
        if outcome is UpkeepOutcome.BEGUN:
            self._note_begun(state, order.vm_id, progress, now_ms)
        elif outcome is UpkeepOutcome.UNKNOWN:
            progress.is_unsure = True
            progress.due_ms = now_ms + self._settings.repeat_ms
        elif outcome is UpkeepOutcome.FOREIGN:
            state.excluded.add(order.vm_id)
            self._remove_active(state, order.vm_id, progress)
        elif progress.is_unsure:
            # An earlier order may still be carried out, so the VM goes on counting as down.
            progress.due_ms = now_ms + self._settings.busy_ms
        else:
            state.retry_ms[order.vm_id] = now_ms + self._settings.busy_ms
            self._remove_active(state, order.vm_id, progress)

    def _note_begun(
        self, state: _WaveState, vm_id: str, progress: _Progress, now_ms: float
    ) -> None:
        state.begun.add(vm_id)
        progress.phase, progress.since_ms = _Phase.DOWN, now_ms

    def _remove_active(self, state: _WaveState, vm_id: str, progress: _Progress) -> None:
        del state.active[vm_id]
        self._release(progress)

    def _release(self, progress: _Progress) -> None:
        self._cordons.cancel_end(progress.runner_id)
        self._cordons.uncordon(progress.runner_id)

    # What outlives this owner

    def export(self) -> UpkeepRecord:
        """Return what the next owner has to know."""
        return UpkeepRecord(
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

    def list_states(self) -> dict[int, bool]:
        """Return for each wave whether it is complete."""
        return {number: state.completed for number, state in self._waves.items()}
