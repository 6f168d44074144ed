"""Cordoned runners: they get no new runs because maintenance of their VM is about to start.

Maintenance ends all runs on a VM at once, while long-running steps allow only some of their tasks
to be unavailable at the same time. The tasks of such steps are moved away one by one as far as
necessary, when they fit on other runners; all other runs continue until the maintenance starts.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from coltsfootpier.cells._fleet import Fleet, LogCallback
from coltsfootpier.cells._incarnations import end_incarnation
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells._state import EndProof, Run, Runner, RunState, StepRun


class Cordons:
    """Cordons of a cell's runners; implements `coltsfootpier.maintenance.RunnerCordons`.

    Parameters
    ----------
    fleet : Fleet
        Runners of the cell.
    jobs : JobTable
        Jobs of the cell.
    log : callable
        Callback that logs one event with its fields.
    """

    def __init__(self, *, fleet: Fleet, jobs: JobTable, log: LogCallback) -> None:
        self._fleet = fleet
        self._jobs = jobs
        self._log = log

    def cordon(self, runner_id: str) -> None:
        """Stop placing new runs on a runner."""
        runner = self._fleet.runners.get(runner_id)
        if runner is not None:
            runner.cordoned = True

    def uncordon(self, runner_id: str) -> None:
        """Allow new runs on a runner again."""
        runner = self._fleet.runners.get(runner_id)
        if runner is not None:
            runner.cordoned = False

    def measure_ending_cost(self, runner_id: str) -> float | None:
        """Return the cost of ending a runner's runs; None if the runner can't be used now.

        The cost is the CPU that the runs request, in thousandths of a core.
        """
        runner = self._fleet.runners.get(runner_id)
        if (
            runner is None
            or not runner.is_registered
            or not runner.adopted
            or runner.entry.draining
        ):
            return None
        return float(runner.guaranteed_cpu + runner.best_effort_cpu)

    def is_idle(self, runner_id: str) -> bool:
        """Return whether all tasks on a runner are long-running; these never end on their own."""
        runner = self._fleet.runners.get(runner_id)
        return runner is None or all(run.step.long_running for run in runner.runs.values())

    def can_end_runs(self, runner_id: str) -> bool:
        """Return whether all runs on a runner may end at once without breaking a step's limit."""
        runner = self._fleet.runners.get(runner_id)
        return runner is None or not self._list_blocking_steps(runner)

    def mark_ending(self, runner_id: str) -> None:
        """Count the runs on a runner as unavailable from now on."""
        runner = self._fleet.runners.get(runner_id)
        if runner is not None:
            runner.shutting_down = True

    def unmark_ending(self, runner_id: str) -> None:
        """Count the runs on a runner as available again."""
        runner = self._fleet.runners.get(runner_id)
        if runner is not None:
            runner.shutting_down = False

    def record_ended(self, runner_id: str) -> None:
        """Record that all runs on a runner have ended with its VM."""
        runner = self._fleet.runners.get(runner_id)
        if runner is None:
            return
        runs = end_incarnation(
            runner, EndProof.VM_IN_MAINTENANCE, fleet=self._fleet, jobs=self._jobs
        )
        self._log(
            "runs ended with their VM",
            runner=runner_id,
            runs=runs,
            born=runner.started_unix_ms,
            generation=self._fleet.generation,
        )

    def choose_evacuated_run(
        self, has_alternative: Callable[[Run, Runner], bool], now_ms: float, *, period_ms: float
    ) -> Run | None:
        """Return a run that blocks the maintenance of a cordoned runner and may move off it now.

        Parameters
        ----------
        has_alternative : callable
            Returns whether a run fits on a runner other than its own.
        now_ms : float
            Local time.
        period_ms : float
            Time between two moves of one step; a moved task has started elsewhere by then.
        """
        for runner in self._fleet.runners.values():
            if not runner.cordoned or runner.shutting_down:
                continue
            for step in self._list_blocking_steps(runner):
                unavailable = count_unavailable(step, self._fleet.runners)
                if now_ms - step.last_move_ms < period_ms or unavailable + 1 > step.spec.may_miss:
                    continue
                for run in runner.runs.values():
                    if run.step_run is step and is_ready(run) and has_alternative(run, runner):
                        step.last_move_ms = now_ms
                        return run
        return None

    def _list_blocking_steps(self, runner: Runner) -> list[StepRun]:
        """Return the steps that would exceed their limit on unavailable tasks without a runner."""
        steps = {run.step_run.id: run.step_run for run in runner.runs.values() if is_ready(run)}
        return [
            step
            for step in steps.values()
            if step.spec.long_running
            and step.spec.may_miss
            and count_unavailable(step, self._fleet.runners, without=runner) > step.spec.may_miss
        ]


def count_unavailable(
    step: StepRun, runners: Mapping[str, Runner], *, without: Runner | None = None
) -> int:
    """Return how many tasks of a step are unavailable, or would be without a runner."""
    ready = sum(
        is_ready(run)
        and runners[run.runner_id] is not without
        and not runners[run.runner_id].shutting_down
        for run in step.list_runs()
    )
    return step.spec.count - ready


def is_ready(run: Run) -> bool:
    """Return whether the task of a run is available."""
    return run.state is RunState.RUNNING and run.percent >= 100
