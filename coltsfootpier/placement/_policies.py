"""Policies that choose a worker for a task."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

import attrs

from coltsfootpier.declaration import TaskSpec
from coltsfootpier.placement._slowdown import SlowdownTable

# Cores, memory in MB and accelerators.
Size = tuple[float, int, int]

# Sums of fractional cores such as 0.1 carry floating-point rounding errors.
_ROUNDING_TOLERANCE = 1e-6


def subtract(left: Size, right: Size) -> Size:
    """Subtract `right` from `left` in each dimension."""
    return left[0] - right[0], left[1] - right[1], left[2] - right[2]


def fits(size: Size, free: Size) -> bool:
    """Return whether a task of `size` fits into the free capacity `free`."""
    return (
        size[0] <= free[0] + _ROUNDING_TOLERANCE
        and size[1] <= free[1]
        and size[2] <= free[2] + _ROUNDING_TOLERANCE
    )


@attrs.frozen(kw_only=True)
class WorkerLoad:
    """Load of a worker, as seen by placement policies.

    Parameters
    ----------
    name : str
        Name of the worker.
    size, free : tuple of (float, int, int)
        Total and free capacity: cores, memory in MB and accelerators.
    declared : tuple of str
        Name of the service or job of each task on the worker.
    services : frozenset of str
        Subset of `declared` that are services.
    """

    name: str
    size: Size
    free: Size
    declared: tuple[str, ...] = ()
    services: frozenset[str] = frozenset()


class PlacementPolicy(Protocol):
    """Interface of policies that choose a worker for a task."""

    def choose(self, spec: TaskSpec, workers: Sequence[WorkerLoad]) -> str | None:
        """Return the name of a worker with enough free capacity for the task, or None."""
        ...


class FirstFit:
    """Policy that chooses the first worker with enough free capacity.

    It serves as the baseline for comparisons.
    """

    def choose(self, spec: TaskSpec, workers: Sequence[WorkerLoad]) -> str | None:
        """Return the name of a worker with enough free capacity for the task, or None."""
        return next((load.name for load in workers if fits(spec.size, load.free)), None)


class SpreadFit:
    """Policy that spreads the tasks of each service or job over workers.

    Runners of a service on the same worker fail together, so workers with fewer runners of the
    service are preferred. Ties go to the worker with the most free cores, because interference
    grows with load.
    """

    def choose(self, spec: TaskSpec, workers: Sequence[WorkerLoad]) -> str | None:
        """Return the name of a worker with enough free capacity for the task, or None."""
        candidates = [load for load in workers if fits(spec.size, load.free)]
        if not candidates:
            return None

        def rank(load: WorkerLoad) -> tuple[float, ...]:
            # Accelerators are scarce, so tasks that don't need them avoid workers that have any.
            free_accelerators = load.free[2] if spec.accelerators == 0 else 0
            return (
                load.declared.count(spec.declared),
                free_accelerators,
                -load.free[0],
                -load.free[1],
            )

        return min(candidates, key=rank).name


# Weight of a service's slowdown relative to that of a batch task.
_SERVICE_WEIGHT = 4.0
# Weight of a worker's load for batch tasks: interference grows with load, even between services and
# jobs that have not been measured together.
_LOAD_WEIGHT = 0.2
# Weight of the interference that a runner must expect from batch tasks that will later fill the
# free capacity of its worker.
_EXPOSURE_WEIGHT = 6.0
# Preferred maximum number of runners of one service on one worker, which limits how many are
# lost together with the worker.
_MAX_RUNNERS_PER_SERVICE = 4


class ColocationFit:
    """Policy that chooses the worker with the least expected interference.

    The expected interference is the slowdown that the task causes to its neighbours plus the
    slowdown that they cause to it. For services the standard deviation of the estimate is
    added, so that neighbours without measurements are avoided. Runners are packed together up
    to a bound, because batch tasks use the capacity that they leave free. The dispatcher
    spreads runners over racks and availability zones.

    Parameters
    ----------
    slowdowns : SlowdownTable
        Slowdown estimates for pairs of services and jobs.
    """

    def __init__(self, slowdowns: SlowdownTable) -> None:
        self._slowdowns = slowdowns

    def choose(self, spec: TaskSpec, workers: Sequence[WorkerLoad]) -> str | None:
        """Return the name of a worker with enough free capacity for the task, or None."""
        candidates = [load for load in workers if fits(spec.size, load.free)]
        if not candidates:
            return None
        is_service = spec.kind == "service"

        def rank(load: WorkerLoad) -> tuple[float, ...]:
            is_at_runner_limit = (
                is_service and load.declared.count(spec.declared) >= _MAX_RUNNERS_PER_SERVICE
            )
            free_accelerators = load.free[2] if spec.accelerators == 0 else 0
            used_share = 1.0 - load.free[0] / load.size[0] if load.size[0] else 0.0
            interference = self._predict_interference(spec.declared, is_service, load)
            if is_service:
                interference += _EXPOSURE_WEIGHT * (1.0 - used_share)
            else:
                interference += _LOAD_WEIGHT * used_share
            return is_at_runner_limit, free_accelerators, interference, -load.free[0], -load.free[1]

        return min(candidates, key=rank).name

    def _predict_interference(self, declared: str, is_service: bool, load: WorkerLoad) -> float:
        interference = 0.0
        for other, count in Counter(load.declared).items():
            # Runners rarely slow each other down, and spreading small ones over many workers
            # fragments the free capacity for batch tasks. They are therefore packed together
            # until measurements exist for the pair.
            if (
                is_service
                and other in load.services
                and not self._is_pair_measured(declared, other)
            ):
                continue
            added = self._estimate_weighted_slowdown(declared, is_service, other)
            added += self._estimate_weighted_slowdown(other, other in load.services, declared)
            interference += count * added
        return interference

    def _is_pair_measured(self, declared: str, other: str) -> bool:
        return self._slowdowns.has_measurements(
            declared, other
        ) or self._slowdowns.has_measurements(other, declared)

    def _estimate_weighted_slowdown(self, declared: str, is_service: bool, neighbour: str) -> float:
        mean, deviation = self._slowdowns.estimate(declared, neighbour)
        return _SERVICE_WEIGHT * (mean + deviation) if is_service else mean
