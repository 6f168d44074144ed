"""Load and free capacity of workers, as seen by policies and by the dispatcher."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfootpier.placement._messages import WorkerCapacity
from coltsfootpier.placement._policies import Size, WorkerLoad, subtract
from coltsfootpier.placement._usage import UsageTable, sum_sizes
from coltsfootpier.placement._views import Placement, WorkerView
from coltsfootpier.platform import Vm


def build_load(
    name: str, view: WorkerView, charged: Sequence[Placement], usage: UsageTable
) -> WorkerLoad:
    """Build the load of a worker; tasks that exceed their declared size count as measured."""
    charged_size = sum_sizes(
        usage.compute_charge(entry.spec, view.reports.get((entry.task, entry.attempt)))
        for entry in charged
    )
    return WorkerLoad(
        name=name,
        size=view.size,
        free=subtract(view.size, charged_size),
        declared=tuple(entry.spec.declared for entry in charged),
        services=frozenset(
            entry.spec.declared for entry in charged if entry.spec.kind == "service"
        ),
    )


def build_capacity(
    load: WorkerLoad, vm: Vm, *, reserved: Size, quarantined: bool, probe_due: bool
) -> WorkerCapacity:
    """Build the capacity of a worker that is reported to the dispatcher.

    Parameters
    ----------
    reserved : tuple of (float, int, int)
        Capacity reserved for tasks for which others are being evicted.
    quarantined : bool
        Whether the worker is quarantined and has no free capacity unless a probe is due.
    probe_due : bool
        Whether a quarantined worker may receive a task as a probe.
    """
    free = subtract(load.free, reserved)
    if quarantined and not probe_due:
        free = (0.0, 0, 0)
    return WorkerCapacity(
        worker=load.name,
        availability_zone=vm.availability_zone,
        rack=vm.rack,
        cores=load.size[0],
        memory_mb=load.size[1],
        accelerators=load.size[2],
        free_cores=free[0],
        free_memory_mb=free[1],
        free_accelerators=free[2],
        set_aside=quarantined,
    )
