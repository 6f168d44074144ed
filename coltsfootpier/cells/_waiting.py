"""Waiting time of tasks by the priority of their job and by what they wait for."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable

from coltsfootpier.cells._placement import is_eligible
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner, StepRun

# Time between two samples of the waiting tasks.
_SAMPLE_PERIOD_MS = 250.0
# Longest time that one sample stands for; a plan may be that late after an outage.
_MAX_SAMPLE_MS = 1_000.0
# Largest priority that is counted by itself, which bounds the number of counters.
_MAX_PRIORITY = 9
# Number of pairs of a demand and a runner that one sample examines, which takes a few ms. Of a
# larger fleet each sample examines a part.
_MAX_PAIRS = 8_000


class WaitCause(enum.Enum):
    """What a waiting task lacks."""

    NO_CPU = "no_cpu"
    NO_MEMORY = "no_memory"
    NO_HEADROOM = "no_headroom"
    OTHER = "other"


class WaitingTimes:
    """Counts the time that tasks wait for a runner.

    Parameters
    ----------
    settings : CellSettings
        Limits of placement.
    counters : Counter
        Counters of the cell; gets ``waiting_ms_p<priority>_<cause>``.
    """

    def __init__(self, settings: CellSettings, counters: Counter[str]) -> None:
        self._settings = settings
        self._counters = counters
        self._sampled_ms = float("-inf")
        # Position of the first runner of the part that is examined next.
        self._offset = 0

    def is_due(self, now_ms: float) -> bool:
        """Return whether the next sample is due."""
        return now_ms - self._sampled_ms >= _SAMPLE_PERIOD_MS

    def sample(
        self, steps: Iterable[StepRun], usable: dict[str, list[Runner]], now_ms: float
    ) -> None:
        """Count the time since the previous sample for each task that waits now.

        Parameters
        ----------
        steps : iterable of StepRun
            Steps that may have waiting tasks.
        usable : dict of str to list of Runner
            Runners of each service that may get new runs.
        now_ms : float
            Local time.
        """
        span_ms = min(_MAX_SAMPLE_MS, now_ms - self._sampled_ms)
        is_first = self._sampled_ms == float("-inf")
        self._sampled_ms = now_ms
        if is_first:
            return
        waiting: dict[tuple[object, ...], list[tuple[StepRun, float]]] = {}
        for step in steps:
            waited_ms = min(span_ms, now_ms - step.ready_ms)
            if step.waiting and waited_ms > 0:
                waiting.setdefault(_build_demand_key(step), []).append((step, waited_ms))
        for same_demand in waiting.values():
            first = same_demand[0][0]
            runners = usable.get(first.job.queue.service, [])
            stride = max(1, len(runners) * len(waiting) // _MAX_PAIRS)
            self._offset = (self._offset + 1) % stride
            cause = find_cause(first, runners[self._offset :: stride], self._settings)
            for step, waited_ms in same_demand:
                priority = min(_MAX_PRIORITY, step.job.queue.priority)
                name = f"waiting_ms_p{priority}_{cause.value}"
                self._counters[name] += round(waited_ms * len(step.waiting))


def _build_demand_key(step: StepRun) -> tuple[object, ...]:
    """Return a key that is equal for steps that fit on the same runners."""
    spec = step.spec
    return (
        step.job.queue.service,
        spec.fills,
        spec.cpu_milli,
        spec.memory_mb,
        spec.gpus,
        spec.required_label,
        step.id if spec.max_per_runner else None,
    )


def find_cause(step: StepRun, runners: Iterable[Runner], settings: CellSettings) -> WaitCause:
    """Return what one more run of a step lacks on the runners that come closest to fitting it.

    A runner that has CPU and no memory comes closer than one that has neither; a lack of headroom
    beside serving tasks is named if a runner has both.
    """
    spec = step.spec
    cause = WaitCause.OTHER
    for runner in runners:
        if not is_eligible(runner, step) or runner.gpus + spec.gpus > runner.entry.gpus:
            continue
        if spec.fills:
            has_cpu = runner.unused_cpu >= spec.cpu_milli * settings.fill_fit
        else:
            has_cpu = runner.guaranteed_cpu + spec.cpu_milli <= runner.entry.cpu_milli
        has_memory = runner.memory_mb + spec.memory_mb <= runner.entry.memory_mb
        if has_cpu and has_memory:
            return WaitCause.NO_HEADROOM if spec.fills else WaitCause.OTHER
        if has_cpu:
            cause = WaitCause.NO_MEMORY
        elif cause is WaitCause.OTHER:
            cause = WaitCause.NO_CPU
    return cause
