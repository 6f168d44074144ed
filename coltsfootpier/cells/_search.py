"""Search for runners that remembers which demands fitted on none, and ranks them once a step.

In a large fleet, a thousand tasks of a hundred sizes wait for 176 runners, and a few runners change
every 20 ms. Checking each size on each runner in each plan uses more than one core. A demand that
fitted on no runner before only needs to be checked on the runners that have changed since.

The tasks of a step have the same demand, and a start changes one runner only. Ranking 270 runners
anew for each task costs the owner 0.6 ms a task.

With 1,500 runners and a hundred steps a second, ranking all runners once a step takes more than one
core. A step is therefore ranked on a part of them first; the others follow when it fits on none of
these. The best of 256 runners is hardly worse than the best of all.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence

from coltsfootpier.cells._interference import InterferenceTable
from coltsfootpier.cells._placement import (
    LAST_CHOICE_PREFERENCE,
    choose_runner,
    rank_runner,
)
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner, StepRun, Task
from coltsfootpier.jobs import StepSpec

_DemandKey = tuple[object, ...]
_Size = tuple[int, int, int]

# Number of runners on which a step is ranked before more of them are examined.
RANKED_AT_ONCE = 256


class RunnerRanking:
    """Runners that fit a step's tasks, best first, while runs of the step are started on them.

    Parameters
    ----------
    runners : sequence of Runner
        Runners to choose from; later ones are ranked when the step fits on none of the first.
    step : StepRun
        The step.
    table : InterferenceTable
        Estimated interference of best-effort images with serving images.
    settings : CellSettings
        Limits and weights.
    """

    def __init__(
        self,
        runners: Sequence[Runner],
        step: StepRun,
        table: InterferenceTable,
        settings: CellSettings,
    ) -> None:
        self._step = step
        self._table = table
        self._settings = settings
        self._examined = 0
        # Negative rank, position among the runners, and version of the runner when it was ranked.
        self._heap: list[tuple[int, float, int, int]] = []
        self._runners = runners
        self._ranked_count = 0

    def _push(self, position: int) -> None:
        runner = self._runners[position]
        self._examined += 1
        rank = rank_runner(runner, self._step, None, self._table, self._settings)
        if rank is not None:
            heapq.heappush(self._heap, (-rank[0], -rank[1], position, runner.version))

    def take_examined(self) -> int:
        """Return the number of runners ranked since the last call, with repetitions."""
        examined, self._examined = self._examined, 0
        return examined

    def choose(self) -> Runner | None:
        """Return the best runner, or None when the step's tasks fit on none.

        A runner that has changed since it was ranked is ranked anew. A start must not improve the
        rank of another runner.
        """
        while True:
            # A runner that is the last choice is used only if the step fits on none of the others.
            if not self._heap or self._heap[0][0] > -LAST_CHOICE_PREFERENCE:
                if self._rank_more():
                    continue
                if not self._heap:
                    return None
            *_, position, version = self._heap[0]
            if self._runners[position].version == version:
                return self._runners[position]
            heapq.heappop(self._heap)
            self._push(position)

    def _rank_more(self) -> bool:
        """Rank the next part of the runners; return whether there was one."""
        first = self._ranked_count
        self._ranked_count = min(first + RANKED_AT_ONCE, len(self._runners))
        for position in range(first, self._ranked_count):
            self._push(position)
        return self._ranked_count > first


class RunnerSearch:
    """Finds runners for tasks over successive plans.

    Parameters
    ----------
    table : InterferenceTable
        Estimated interference of best-effort images with serving images.
    settings : CellSettings
        Limits and weights.

    Attributes
    ----------
    examined : int
        Number of examined pairs of a demand and a runner; the cost of the search.
    """

    def __init__(self, table: InterferenceTable, settings: CellSettings) -> None:
        self._table = table
        self._settings = settings
        self._usable: Mapping[str, list[Runner]] = {}
        self._changed: dict[str, list[Runner]] = {}
        self._versions: dict[str, int] = {}
        # Sizes that fitted on no runner, in the previous plan and in this one.
        self._failed_before: dict[_DemandKey, list[_Size]] = {}
        self._failed: dict[_DemandKey, list[_Size]] = {}
        # Position of the runner with which the ranking of the last step began.
        self._first_ranked = 0
        self.examined = 0

    def start_plan(self, usable: Mapping[str, list[Runner]]) -> None:
        """Start a plan and find the runners that changed since the previous one.

        Parameters
        ----------
        usable : Mapping of str to list of Runner
            Runners of each service that may get new runs.
        """
        self._usable = usable
        before, self._versions = self._versions, {}
        self._changed = {}
        for service, runners in usable.items():
            changed = self._changed[service] = []
            for runner in runners:
                self._versions[runner.entry.id] = runner.version
                if before.get(runner.entry.id) != runner.version:
                    changed.append(runner)
        self._failed_before, self._failed = self._failed, {}

    def list_services(self) -> list[str]:
        """Return the services that have runners."""
        return list(self._usable)

    def list_usable(self, service: str) -> list[Runner]:
        """Return the runners of a service that may get new runs."""
        return self._usable.get(service, [])

    def find_runner(self, step: StepRun, service: str, task: Task | None = None) -> Runner | None:
        """Return the runner for one more run of a step, or None when it fits on none.

        Parameters
        ----------
        step : StepRun
            The step.
        service : str
            Service whose runners run it.
        task : Task, optional
            The task, if it was started before.
        """
        runners = self._list_candidates(step, service)
        self.examined += len(runners)
        found = choose_runner(runners, step, task, self._table, self._settings)
        if found is None:
            self._record_failure(step, service)
        return found

    def rank_runners(self, step: StepRun, service: str) -> RunnerRanking:
        """Return the runners for a step's tasks that have no preferences of their own.

        Parameters
        ----------
        step : StepRun
            The step.
        service : str
            Service whose runners run it.
        """
        runners = self._list_candidates(step, service)
        if len(runners) > RANKED_AT_ONCE:
            runners = self._order_candidates(runners, step.spec.rack_affinity)
        return RunnerRanking(runners, step, self._table, self._settings)

    def _order_candidates(self, runners: list[Runner], rack: str) -> list[Runner]:
        """Return runners in the order in which they are ranked.

        Those in the preferred rack come first. Each step begins with other runners than the one
        before, so that the tasks spread over all of them.
        """
        self._first_ranked = (self._first_ranked + RANKED_AT_ONCE) % len(runners)
        ordered = runners[self._first_ranked :] + runners[: self._first_ranked]
        if rack:
            ordered.sort(key=lambda runner: runner.entry.rack != rack)
        return ordered

    def choose_ranked(self, ranking: RunnerRanking, step: StepRun, service: str) -> Runner | None:
        """Return the best runner of a ranking, or None when the run fits on none.

        Parameters
        ----------
        ranking : RunnerRanking
            Result of `rank_runners` for the step in this plan.
        step : StepRun
            The step.
        service : str
            Service whose runners run it.
        """
        found = ranking.choose()
        self.examined += ranking.take_examined()
        if found is None:
            self._record_failure(step, service)
        return found

    def _list_candidates(self, step: StepRun, service: str) -> list[Runner]:
        """Return the runners on which a run of a step may fit, as far as earlier searches show."""
        key, size = _build_key(step, service), _get_size(step.spec)
        if _has_failed(self._failed.get(key), size):
            return []
        if _has_failed(self._failed_before.get(key), size):
            return self._changed.get(service, [])
        return self._usable.get(service, [])

    def _record_failure(self, step: StepRun, service: str) -> None:
        failed = self._failed.setdefault(_build_key(step, service), [])
        size = _get_size(step.spec)
        if not _has_failed(failed, size):
            failed.append(size)


def _get_size(spec: StepSpec) -> _Size:
    return spec.cpu_milli, spec.memory_mb, spec.gpus


def _build_key(step: StepRun, service: str) -> _DemandKey:
    """Return a key; of two demands with equal keys, the smaller fits wherever the larger does."""
    spec: StepSpec = step.spec
    limited = bool(spec.required_label or spec.max_per_runner)
    image = spec.image if spec.fills else ""
    return service, spec.fills, image, step.id if limited else None


def _has_failed(failed: list[_Size] | None, size: _Size) -> bool:
    """Return whether a demand that is not larger than `size` in any resource has failed."""
    return failed is not None and any(
        all(small <= wanted for small, wanted in zip(other, size, strict=True)) for other in failed
    )
