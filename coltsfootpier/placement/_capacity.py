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
    """Build the load of a worker, as seen by placement policies.

    Parameters
    ----------
    charged : sequence of Placement
        Entries that count against the worker's capacity. Each is charged with its declared size,
        or while it runs with its reported cores or memory where these are larger.
    """
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
    load: WorkerLoad, vm: Vm, *, reserved: Size, is_quarantined: bool, is_probe_due: bool
) -> WorkerCapacity:
    """Build the capacity of a worker that is reported to the dispatcher.

    Parameters
    ----------
    reserved : tuple of (float, int, int)
        Cores, memory in MB and accelerators reserved for accepted attempts for which other tasks
        are being evicted.
    is_quarantined : bool
        Whether the worker is quarantined; it then has no free capacity unless a probe is due.
    is_probe_due : bool
        Whether a quarantined worker may receive a task as a probe.
    """
    free = subtract(load.free, reserved)
    if is_quarantined and not is_probe_due:
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
        set_aside=is_quarantined,
    )
