"""Waves of upkeep, worker VMs, and orders that take one down."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen(kw_only=True)
class Wave:
    """An operator's request that some worker VMs have their upkeep.

    Parameters
    ----------
    number : int
        Identifies the wave.
    vms : tuple of str
        Identifiers of the worker VMs.
    duration_ms : float
        Time in which all of them should have had it.
    max_down : int
        VMs of the wave that may be down for their upkeep at once.
    """

    number: int
    vms: tuple[str, ...]
    duration_ms: float
    max_down: int


class VmState(enum.Enum):
    """State of a worker VM."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@attrs.frozen(kw_only=True)
class WorkerVm:
    """A worker VM as the platform lists it.

    Parameters
    ----------
    id : str
        Identifies the VM over all lives of its runner.
    state : VmState
        Its state.
    runner_id : str
        Runner that lives on it now; empty when there is none.
    """

    id: str
    state: VmState
    runner_id: str = ""


@attrs.frozen(kw_only=True)
class UpkeepOrder:
    """Order that ends everything on a worker VM and begins its upkeep."""

    wave: int
    vm_id: str


class UpkeepOutcome(enum.Enum):
    """What became of an order."""

    # The upkeep has begun, now or earlier.
    BEGUN = "begun"
    # The VM isn't up, or it leaves; nothing was done by this order.
    BUSY = "busy"
    # A later owner has given orders about the VM.
    FENCED = "fenced"
    # The VM isn't part of the wave, or doesn't exist.
    FOREIGN = "foreign"
    # The order was refused or never sent.
    REFUSED = "refused"
    # The order may have been carried out, or may be later.
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class WaveRecord:
    """Progress of a wave that outlives an owner.

    Parameters
    ----------
    number : int
        Number of the wave.
    began_unix_ms : float
        When it was first seen, since 1970.
    ordered : tuple of str
        VMs whose order may be under way; recorded before the order is sent.
    begun : tuple of str
        VMs whose upkeep has begun.
    completed : bool
        Whether the operators were told that it is complete.
    """

    number: int
    began_unix_ms: float
    ordered: tuple[str, ...] = ()
    begun: tuple[str, ...] = ()
    completed: bool = False


@attrs.frozen
class UpkeepRecord:
    """Progress of all waves that the operators keep."""

    waves: tuple[WaveRecord, ...] = ()
