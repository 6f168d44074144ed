"""Demand of short jobs for declared capacity, and the part of it to keep free for them.

Long-running tasks hold their declared CPU for minutes. Without a limit they take all of it before
the first short job arrives, and an urgent task of a second then waits until one of them ends.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from coltsfootpier.cells._learned import LearnedDemand
from coltsfootpier.cells._state import Runner

# Time constant in ms with which earlier submissions are forgotten.
_DECAY_MS = 30_000.0
# Demand assumed before any job is seen, as shares of the capacity: mean and standard deviation.
_PRIOR_MEAN_SHARE, _PRIOR_DEVIATION_SHARE = 0.05, 0.03
# Weight of the assumed demand up to which the demand counts as learned, about 20 s after the first
# job was seen.
_LEARNED_PRIOR_WEIGHT = 0.5
# Weight of a new step in the mean CPU demand of a task.
_TASK_CPU_RATE = 0.05
# Maximum number of priorities that are stored for the next owner; bounds the size of the record.
_MAX_EXPORTED_PRIORITIES = 16


@attrs.define
class _Load:
    """Decaying sums over the submitted steps of one priority.

    Parameters
    ----------
    work : float
        CPU demand times duration, in thousandths of a core times ms.
    squares : float
        Square of the CPU demand times duration.
    """

    work: float = 0.0
    squares: float = 0.0


class ShortJobDemand:
    """Demand of the short jobs of one service for declared capacity.

    The tasks of a step run at the same time, so the CPU in use is that of a queue with unlimited
    servers and arrivals in batches: its mean is the arrival rate times the mean work of a step,
    its variance the arrival rate times the mean of the squared CPU demand times the duration.

    Examples
    --------
    >>> demand = ShortJobDemand()
    >>> round(demand.compute_reserve_cpu(100_000.0, 0, 0.0, deviations=2.0))
    11000
    """

    def __init__(self) -> None:
        self._loads: dict[int, _Load] = {}
        self._prior_weight = 1.0
        self._updated_ms = math.inf
        self._task_cpu = self._task_memory = 0.0

    @property
    def task_memory_mb(self) -> float:
        """Mean memory demand of a task in MB; 0 until a step is recorded."""
        return self._task_memory

    @property
    def task_cpu(self) -> float:
        """Mean CPU demand of a task in thousandths of a core; 0 until a step is recorded."""
        return self._task_cpu

    def is_learned(self, now_ms: float) -> bool:
        """Return whether most of the demand comes from submitted jobs and not from the assumption.

        Parameters
        ----------
        now_ms : float
            Local time.
        """
        self._decay(now_ms)
        return self._prior_weight <= _LEARNED_PRIOR_WEIGHT

    def export(self) -> LearnedDemand:
        """Return the demand for the next owner of the cell."""
        loads = list(self._loads.items())[:_MAX_EXPORTED_PRIORITIES]
        return LearnedDemand(
            prior_weight=round(self._prior_weight, 6),
            task_cpu=round(self._task_cpu, 1),
            task_memory_mb=round(self._task_memory, 1),
            loads={
                str(priority): (round(load.work, 1), round(load.squares, 1))
                for priority, load in loads
            },
        )

    def restore(self, learned: LearnedDemand) -> None:
        """Restore the demand of an earlier owner; values that aren't valid are ignored."""
        loads = {}
        for name, sums in learned.loads.items():
            if not name.isdecimal() or len(sums) != 2 or not all(map(_is_amount, sums)):
                return
            loads[int(name)] = _Load(*sums)
        values = (learned.prior_weight, learned.task_cpu, learned.task_memory_mb)
        if not all(map(_is_amount, values)):
            return
        self._loads = loads
        self._prior_weight = min(1.0, learned.prior_weight)
        self._task_cpu, self._task_memory = learned.task_cpu, learned.task_memory_mb

    def record_submission(self, now_ms: float) -> None:
        """Count the time until a submitted job of any kind as observed."""
        self._decay(now_ms)

    def record_step(
        self,
        *,
        priority: int,
        cpu_milli: int,
        count: int,
        task_ms: float,
        now_ms: float,
        memory_mb: int = 0,
    ) -> None:
        """Add a step of a submitted short job.

        Parameters
        ----------
        priority : int
            Priority of the job's queue.
        cpu_milli : int
            CPU demand of a task in thousandths of a core.
        count : int
            Number of tasks.
        task_ms : float
            Expected duration of a task.
        now_ms : float
            Local time.
        memory_mb : int
            Memory demand of a task in MB.
        """
        self._decay(now_ms)
        step_cpu = float(cpu_milli * count)
        load = self._loads.setdefault(priority, _Load())
        load.work += step_cpu * task_ms
        load.squares += step_cpu * step_cpu * task_ms
        rate = _TASK_CPU_RATE if self._task_cpu else 1.0
        self._task_cpu += rate * (cpu_milli - self._task_cpu)
        self._task_memory += rate * (memory_mb - self._task_memory)

    def _decay(self, now_ms: float) -> None:
        factor = math.exp(-max(0.0, now_ms - self._updated_ms) / _DECAY_MS)
        self._updated_ms = now_ms
        self._prior_weight *= factor
        for load in self._loads.values():
            load.work *= factor
            load.squares *= factor

    def compute_reserve_cpu(
        self, capacity_cpu: float, priority: int, now_ms: float, *, deviations: float
    ) -> float:
        """Return the CPU to keep free for short jobs, in thousandths of a core.

        Parameters
        ----------
        capacity_cpu : float
            CPU capacity of the service in thousandths of a core.
        priority : int
            Priority of the job that would take the capacity; jobs of later queues don't count.
        now_ms : float
            Local time.
        deviations : float
            Standard deviations of the CPU in use that are kept free beside its mean.
        """
        self._decay(now_ms)
        loads = [load for known, load in self._loads.items() if known <= priority]
        mean = self._prior_weight * _PRIOR_MEAN_SHARE * capacity_cpu
        mean += sum(load.work for load in loads) / _DECAY_MS
        variance = self._prior_weight * (_PRIOR_DEVIATION_SHARE * capacity_cpu) ** 2
        variance += sum(load.squares for load in loads) / _DECAY_MS
        return mean + deviations * math.sqrt(variance)


def _is_amount(value: float) -> bool:
    return math.isfinite(value) and value >= 0


def measure_free_pieces(
    runners: Iterable[Runner], task_cpu: float, task_memory_mb: float = 0.0
) -> float:
    """Return the CPU beside long-running tasks in pieces of a task, in thousandths of a core.

    Memory limits the number of pieces, too.

    Parameters
    ----------
    runners : iterable of Runner
        Runners of the service that may get new runs.
    task_cpu : float
        Size of a piece in thousandths of a core; 0 for all free CPU.
    task_memory_mb : float
        Memory of a piece in MB; 0 if memory doesn't count.
    """
    free_cpu = 0.0
    for runner in runners:
        left = runner.entry.cpu_milli - runner.long_running_cpu
        if task_cpu < 1:
            free_cpu += left
            continue
        pieces = left // task_cpu
        if task_memory_mb >= 1:
            left_mb = runner.entry.memory_mb - runner.long_running_memory_mb
            pieces = min(pieces, left_mb // task_memory_mb)
        free_cpu += pieces * task_cpu
    return free_cpu
