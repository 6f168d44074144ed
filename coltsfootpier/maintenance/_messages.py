"""Maintenance waves, worker VMs, and the command that starts the maintenance of one VM."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen(kw_only=True)
class Wave:
    """An operator's request for the maintenance of a set of worker VMs.

    Parameters
    ----------
    number : int
        Identifier of the wave.
    vms : tuple of str
        Identifiers of the worker VMs.
    duration_ms : float
        Time from the request until the maintenance of all these VMs should have ended.
    max_down : int
        Maximum number of VMs of the wave that are down for maintenance at the same time.
    """

    number: int
    vms: tuple[str, ...]
    duration_ms: float
    max_down: int


class VmState(enum.Enum):
    """State of a worker VM as listed by the platform.

    A maintenance command has an effect only on a VM that is ``UP``.
    """

    UP = "up"
    MOVING = "moving"
    # Under maintenance; all runs on the VM have ended.
    UPKEEP = "upkeep"
    DOWN = "down"


@attrs.frozen(kw_only=True)
class WorkerVm:
    """A worker VM as listed by the platform.

    Parameters
    ----------
    id : str
        Identifier of the VM; it stays the same over all incarnations of its runner.
    state : VmState
        State of the VM.
    runner_id : str
        Runner that currently runs on the VM; empty when there is none.
    """

    id: str
    state: VmState
    runner_id: str = ""


@attrs.frozen(kw_only=True)
class MaintenanceCommand:
    """Command that ends all runs on a worker VM at once and starts its maintenance.

    Parameters
    ----------
    wave : int
        Number of the wave that the VM is part of.
    vm_id : str
        Identifier of the VM.
    """

    wave: int
    vm_id: str


class MaintenanceOutcome(enum.Enum):
    """Outcome of a maintenance command."""

    # The maintenance was started by this command or by an earlier one.
    BEGUN = "begun"
    # The VM isn't up, or it is shutting down; the command had no effect.
    BUSY = "busy"
    # The platform rejected the command because a later owner has sent commands for the VM.
    FENCED = "fenced"
    # The VM isn't part of the wave, or doesn't exist.
    FOREIGN = "foreign"
    # The command was rejected or never sent.
    REFUSED = "refused"
    # The command may have taken effect, or may still take effect.
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class WaveRecord:
    """Progress of a wave, stored for the next owner.

    Parameters
    ----------
    number : int
        Number of the wave.
    began_unix_ms : float
        Unix time at which the wave was first seen.
    ordered : tuple of str
        VMs whose command is due or may be in flight; recorded before the command is sent.
    begun : tuple of str
        VMs whose maintenance has started.
    completed : bool
        Whether the wave is complete, as reported to the operators.
    """

    number: int
    began_unix_ms: float
    ordered: tuple[str, ...] = ()
    begun: tuple[str, ...] = ()
    completed: bool = False


@attrs.frozen
class MaintenanceRecord:
    """Progress of all waves that the operators currently request."""

    waves: tuple[WaveRecord, ...] = ()
