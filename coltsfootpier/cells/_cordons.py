"""Runners that get nothing new because their VM is about to go down for its upkeep.

The load that it answers: an upkeep ends everything on a VM at once, while long-running steps allow
only some of their tasks to be away at the same time. Tasks of such steps are moved away one by one
as far as that is needed and others have room; everything else runs until the end.
"""

from __future__ import annotations

from collections.abc import Callable

from coltsfootpier.cells._fleet import Event, Fleet
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells._lives import end_runner
from coltsfootpier.cells._state import Run, Runner, RunState, StepRun


class Cordons:
    """Owner of the cordons of a cell's runners; see `coltsfootpier.upkeep.RunnerCordons`.

    Parameters
    ----------
    fleet : Fleet
        Runners.
    jobs : JobTable
        Jobs.
    log : callable
        Takes an event's name and fields.
    """

    def __init__(self, *, fleet: Fleet, jobs: JobTable, log: Event) -> None:
        self._fleet = fleet
        self._jobs = jobs
        self._log = log

    def cordon(self, runner_id: str) -> None:
        """Give a runner nothing new."""
        runner = self._fleet.runners.get(runner_id)
        if runner is not None:
            runner.cordoned = True

    def uncordon(self, runner_id: str) -> None:
        """Use a runner again."""
        runner = self._fleet.runners.get(runner_id)
        if runner is not None:
            runner.cordoned = False

    def measure_ending_cost(self, runner_id: str) -> float | None:
        """Return the processors in thousandths of what would end; None if it can't be used now."""
        runner = self._fleet.runners.get(runner_id)
        if runner is None or not runner.listed or not runner.adopted or runner.entry.draining:
            return None
        return float(runner.hard_cpu + runner.fill_cpu)

    def is_idle(self, runner_id: str) -> bool:
        """Return whether only long-running tasks are on a runner, which never end by themselves."""
        runner = self._fleet.runners.get(runner_id)
        return runner is None or all(run.step.long_running for run in runner.runs.values())

    def can_end_runs(self, runner_id: str) -> bool:
        """Return whether all runs on a runner may end at once."""
        runner = self._fleet.runners.get(runner_id)
        return runner is None or not self._list_limited(runner)

    def mark_ending(self, runner_id: str) -> None:
        """Count the runs on a runner as ending."""
        runner = self._fleet.runners.get(runner_id)
        if runner is not None:
            runner.ending = True

    def unmark_ending(self, runner_id: str) -> None:
        """Count the runs on a runner as at work again."""
        runner = self._fleet.runners.get(runner_id)
        if runner is not None:
            runner.ending = False

    def record_ended(self, runner_id: str) -> None:
        """Note that everything on a runner has ended with its VM."""
        runner = self._fleet.runners.get(runner_id)
        if runner is None:
            return
        runs = end_runner(runner, fleet=self._fleet, jobs=self._jobs)
        self._log("runs ended with their VM", runner=runner_id, runs=runs)

    def choose_evacuated(
        self, finds_other: Callable[[Run, Runner], bool], now_ms: float, *, period_ms: float
    ) -> Run | None:
        """Return a run whose move brings a cordoned runner closer to its end.

        Parameters
        ----------
        finds_other : callable
            Returns whether another runner than its own has room for a run.
        now_ms : float
            Local time.
        period_ms : float
            Time between two moves of one step; a moved task has started elsewhere by then.
        """
        for runner in self._fleet.runners.values():
            if not runner.cordoned or runner.ending:
                continue
            for step in self._list_limited(runner):
                if now_ms - step.displaced_ms < period_ms or self._count_away(step) + 1 > (
                    step.spec.may_miss
                ):
                    continue
                for run in runner.runs.values():
                    if run.step_run is step and _is_at_work(run) and finds_other(run, runner):
                        step.displaced_ms = now_ms
                        return run
        return None

    def _list_limited(self, runner: Runner) -> list[StepRun]:
        """Return the steps of which more tasks than allowed would be away without a runner."""
        steps = {run.step_run.id: run.step_run for run in runner.runs.values() if _is_at_work(run)}
        return [
            step
            for step in steps.values()
            if step.spec.long_running
            and step.spec.may_miss
            and self._count_away(step, without=runner) > step.spec.may_miss
        ]

    def _count_away(self, step: StepRun, *, without: Runner | None = None) -> int:
        """Return how many tasks of a step are not at work, or would not be without a runner."""
        runners = self._fleet.runners
        at_work = sum(
            _is_at_work(run)
            and runners[run.runner_id] is not without
            and not runners[run.runner_id].ending
            for run in step.list_runs()
        )
        return step.spec.count - at_work


def _is_at_work(run: Run) -> bool:
    return run.state is RunState.RUNNING and run.percent >= 100
