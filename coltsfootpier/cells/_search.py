"""Search for runners that remembers which demands fitted on none.

In a large fleet, a thousand tasks of a hundred sizes wait for 176 runners, and a few runners change
every 20 ms. Checking each size on each runner in each plan uses more than one core. A demand that
fitted on no runner before only needs to be checked on the runners that have changed since.
"""

from __future__ import annotations

from collections.abc import Mapping

from coltsfootpier.cells._interference import InterferenceTable
from coltsfootpier.cells._placement import choose_runner
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner, StepRun, Task
from coltsfootpier.jobs import StepSpec

_DemandKey = tuple[object, ...]
_Size = tuple[int, int, int]


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
        spec = step.spec
        key = _build_key(step, service)
        size = (spec.cpu_milli, spec.memory_mb, spec.gpus)
        if _has_failed(self._failed.get(key), size):
            return None
        runners = self._usable.get(service, [])
        if _has_failed(self._failed_before.get(key), size):
            runners = self._changed.get(service, [])
        self.examined += len(runners)
        found = choose_runner(runners, step, task, self._table, self._settings)
        if found is None:
            self._failed.setdefault(key, []).append(size)
        return found


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
