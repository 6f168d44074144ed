"""Speed of best-effort tasks beside serving tasks.

How much one task slows another depends on the pair and changes within seconds, and the tail latency
of a serving task is reported half a second late.
"""

from __future__ import annotations

from collections.abc import Callable

from coltsfootpier.cells._interference import InterferenceTable, list_serving
from coltsfootpier.cells._messages import PaceRun
from coltsfootpier.cells._ordering import Rank
from coltsfootpier.cells._state import Runner, RunState, StepRun


def adjust_paces(
    runner: Runner,
    table: InterferenceTable,
    rank: Callable[[StepRun], Rank],
    *,
    now_ms: float,
    harm_stop_ms: float,
) -> list[PaceRun]:
    """Choose the pace of each best-effort run on a runner after a new measurement.

    The runs of the jobs that rank first get the highest pace that keeps every serving task below
    its limit; the others get what remains, so that a burst of jobs doesn't slow all of them.

    Parameters
    ----------
    runner : Runner
        The runner, after its newest report was applied.
    table : InterferenceTable
        Estimated interference of best-effort images with serving images.
    rank : callable
        Returns the sort key of a step; the smallest goes first.
    now_ms : float
        Local time.
    harm_stop_ms : float
        Time over its target after which a serving task pauses all best-effort runs beside it,
        whatever their estimated interference, and its runner gets no new ones.

    Returns
    -------
    list of PaceRun
        Commands for the runs whose pace changes.
    """
    over_ms = max((now_ms - run.over_target_since_ms for run in list_serving(runner)), default=0.0)
    runner.harmed = over_ms >= harm_stop_ms
    best_effort = [
        run for run in runner.runs.values() if run.step.fills and run.state is RunState.RUNNING
    ]
    if not best_effort:
        return []
    best_effort.sort(key=lambda run: rank(run.step_run))
    if runner.harmed:
        paces = dict.fromkeys(best_effort, 0)
    else:
        paces = table.choose_paces(runner, best_effort)
    runner.invalidate_headroom()
    commands = []
    for run, percent in paces.items():
        if run.pace != percent:
            run.pace = percent
            commands.append(PaceRun(runner_id=runner.entry.id, run=run.id, percent=percent))
    return commands
