"""Choice of a runner for a task.

Long-running serving tasks hold most of the declared capacity but use about half of it. Short
urgent tasks need free declared capacity at once, and best-effort batch tasks share what the others
leave unused. Too many best-effort tasks on one runner slow one another and the serving tasks there.
"""

from __future__ import annotations

from collections.abc import Iterable

from coltsfootpier.cells._interference import InterferenceTable, list_serving
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner, StepRun, Task

# Weight of unused CPU relative to the utilisation that a best-effort task adds to serving tasks.
_UNUSED_CPU_WEIGHT = 0.1


# Preference below which a runner is the last choice: it is slow or cold.
LAST_CHOICE_PREFERENCE = -8


def may_get_new_runs(runner: Runner) -> bool:
    """Return whether a runner counts as capacity for new runs, which placement and admission share.

    It may still be full, unreachable or quarantined for the moment; see `is_usable`.
    """
    return (
        runner.is_registered
        and not runner.entry.draining
        and not runner.cordoned
        and not runner.evacuated
    )


def is_usable(runner: Runner, now_ms: float, settings: CellSettings) -> bool:
    """Return whether a runner may get new runs now.

    Parameters
    ----------
    runner : Runner
        The runner.
    now_ms : float
        Local time.
    settings : CellSettings
        Limits.
    """
    return (
        may_get_new_runs(runner)
        and runner.adopted
        and runner.recorded
        # A later owner that doesn't reach the runner must not count a shorter lease than it holds.
        and (runner.long_lease_recorded or runner.long_lease_expiry_ms <= now_ms)
        and not runner.full
        and not runner.ended
        and now_ms - runner.contact_ms < settings.contact_fresh_ms
        and (runner.quarantined_until_ms <= now_ms)
        and not (runner.on_probation and runner.probe_run in runner.runs)
    )


def is_eligible(runner: Runner, step: StepRun) -> bool:
    """Return whether a step's label and its limit per runner allow one more run on a runner."""
    spec = step.spec
    if spec.required_label and spec.required_label not in runner.entry.labels:
        return False
    return (
        not spec.max_per_runner
        or step.runs_per_runner.get(runner.entry.id, 0) < spec.max_per_runner
    )


def choose_runner(
    runners: Iterable[Runner],
    step: StepRun,
    task: Task | None,
    table: InterferenceTable,
    settings: CellSettings,
    *,
    rack: str = "",
) -> Runner | None:
    """Choose the runner for one more run of a step.

    Parameters
    ----------
    runners : iterable of Runner
        Usable runners of the service.
    step : StepRun
        The step of the task.
    task : Task, optional
        The task, if it was started before; runners where it failed come last.
    table : InterferenceTable
        Estimated interference of best-effort images with serving images.
    settings : CellSettings
        Limits and weights.
    rack : str
        The only rack allowed; empty for all.

    Returns
    -------
    Runner or None
        None when the run fits on no runner.
    """
    best: Runner | None = None
    best_rank: tuple[int, float] | None = None
    for runner in runners:
        if rack and runner.entry.rack != rack:
            continue
        rank = rank_runner(runner, step, task, table, settings)
        if rank is not None and (best_rank is None or rank > best_rank):
            best, best_rank = runner, rank
    return best


def rank_runner(
    runner: Runner,
    step: StepRun,
    task: Task | None,
    table: InterferenceTable,
    settings: CellSettings,
) -> tuple[int, float] | None:
    """Return the sort key of a runner for one more run of a step; the largest is chosen.

    Return None if the run doesn't fit. The parameters are those of `choose_runner`.
    """
    if not _can_run(runner, step, table, settings):
        return None
    return _rank_fitting_runner(runner, step, task, table)


def _can_run(
    runner: Runner, step: StepRun, table: InterferenceTable, settings: CellSettings
) -> bool:
    spec = step.spec
    if not runner.fits(spec) or not is_eligible(runner, step):
        return False
    if spec.fills:
        if runner.harmed or runner.unused_cpu < spec.cpu_milli * settings.fill_fit:
            return False
        return table.has_headroom(runner, spec)
    return True


def _rank_fitting_runner(
    runner: Runner, step: StepRun, task: Task | None, table: InterferenceTable
) -> tuple[int, float]:
    """Return the sort key of a runner that fits; the largest is chosen.

    Preferences decide first; the score of the free capacity or interference breaks ties.
    """
    spec = step.spec
    preference = 0
    if spec.rack_affinity and runner.entry.rack == spec.rack_affinity:
        preference += 2
    if task is not None and runner.entry.id in task.avoided_runners:
        preference -= 4
    if task is not None and runner.entry.id == task.preferred_runner:
        preference += 4
    if runner.cold and not (spec.long_running or spec.fills):
        # An urgent task has no time to wait for a slow start, so it takes such a runner only if it
        # fits nowhere else.
        preference += 2 * LAST_CHOICE_PREFERENCE
    # A long-running task shows too late whether a runner on probation is healthy.
    if runner.on_probation and spec.long_running:
        preference -= 8
    # A short task with an objective of about a second is late on a slow runner.
    if runner.is_slow and not (spec.fills or spec.long_running):
        preference += 2 * LAST_CHOICE_PREFERENCE
    score = runner.unused_cpu
    if spec.latency_target_ms:
        # Serving tasks of one image are packed onto shared runners, so that each best-effort
        # image finds runners where it does no harm, and some runners have no serving tasks.
        preference += _score_images({run.step.image for run in list_serving(runner)}, spec.image)
        score = -(runner.entry.cpu_milli - runner.guaranteed_cpu)
    elif spec.fills:
        # Prefer the least interference, and with a small weight the most unused capacity.
        score = _UNUSED_CPU_WEIGHT * score - runner.entry.cpu_milli * table.estimate_cost(
            runner, spec
        )
    else:
        # Spread free declared capacity evenly, so that steps with many tasks fit.
        score = 0.5 * score + (runner.entry.cpu_milli - runner.guaranteed_cpu)
    return preference, score / max(1, runner.entry.cpu_milli)


def _score_images(images: set[str], image: str) -> int:
    """Return the preference of a serving image for a runner with the given serving images.

    Runners with a single serving image should keep only that one, so other images prefer runners
    that are already mixed.
    """
    if images == {image}:
        return 2
    if image in images:
        return 1
    if not images:
        return 0
    return -1 if len(images) > 1 else -2
