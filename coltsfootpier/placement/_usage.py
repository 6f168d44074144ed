"""Measured CPU and memory usage of services and jobs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from coltsfootpier.declaration import TaskSpec
from coltsfootpier.placement._policies import Size
from coltsfootpier.workers import TaskReport

# Smoothing factor for usage that falls. Usage that rises is applied at once.
_DECAY_RATE = 0.02
# Number of services and jobs tracked; the least recently measured one is dropped first.
_MAX_NAMES = 1_024
# Usage up to this multiple of the declared size is treated as measurement noise.
_TOLERANCE_RATIO = 1.05


def sum_sizes(sizes: Iterable[Size]) -> Size:
    """Add up sizes in each dimension."""
    cores, memory_mb, accelerators = 0.0, 0, 0
    for size in sizes:
        cores += size[0]
        memory_mb += size[1]
        accelerators += size[2]
    return cores, memory_mb, accelerators


class UsageTable:
    """Measured usage by the name of the service or job.

    Only usage above the declared size is tracked. Tasks that use less are still charged with
    their declared size, because requirement R1 (no worker is overcommitted) is checked against
    declared sizes.
    """

    def __init__(self) -> None:
        self._usage_by_declared: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def observe(self, spec: TaskSpec, report: TaskReport) -> None:
        """Record the usage of one task.

        Services and jobs that have stayed within their declared size are not stored.
        """
        previous = self._usage_by_declared.get(spec.declared)
        cores, memory_mb = report.cores, report.memory_mb
        if previous is None:
            if (
                cores <= spec.cores * _TOLERANCE_RATIO
                and memory_mb <= spec.memory_mb * _TOLERANCE_RATIO
            ):
                return
            previous = (0.0, 0.0)
        self._usage_by_declared[spec.declared] = (
            _smooth_usage(previous[0], cores),
            _smooth_usage(previous[1], memory_mb),
        )
        self._usage_by_declared.move_to_end(spec.declared)
        while len(self._usage_by_declared) > _MAX_NAMES:
            self._usage_by_declared.popitem(last=False)

    def predict_size(self, spec: TaskSpec, limit: Size) -> Size:
        """Return the larger of a task's declared size and the measured usage of its service or job.

        Parameters
        ----------
        limit : tuple of (float, int, int)
            Size of the worker, which caps the measured usage. Without the cap, a task of a service
            or job that has used more than a whole worker would fit nowhere.
        """
        cores, memory_mb = self._usage_by_declared.get(spec.declared, (0.0, 0.0))
        if (
            cores <= spec.cores * _TOLERANCE_RATIO
            and memory_mb <= spec.memory_mb * _TOLERANCE_RATIO
        ):
            return spec.size
        return (
            max(spec.cores, min(cores, limit[0])),
            max(spec.memory_mb, min(int(memory_mb), limit[1])),
            spec.accelerators,
        )

    def compute_charge(self, spec: TaskSpec, report: TaskReport | None) -> Size:
        """Return the size to charge for a task: the larger of its declared and reported size."""
        if report is None or report.state != "running":
            return spec.size
        return (
            max(spec.cores, report.cores),
            max(spec.memory_mb, int(report.memory_mb)),
            spec.accelerators,
        )

    def list_excess_usage(self) -> dict[str, tuple[float, int]]:
        """Return the cores and memory in MB of services and jobs that exceeded their size."""
        return {
            name: (round(usage[0], 1), int(usage[1]))
            for name, usage in self._usage_by_declared.items()
        }


def _smooth_usage(previous: float, measured: float) -> float:
    return measured if measured >= previous else previous + _DECAY_RATE * (measured - previous)
