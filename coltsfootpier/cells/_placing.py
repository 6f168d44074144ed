"""Choice of a runner for a task.

The load that it answers: long-running tasks that serve hold most of the declared capacity but
use about half of it, short urgent tasks need free declared capacity at once, and batch tasks that
fill share what the others leave unused. Too many filling tasks on one runner slow one another
and the tasks that serve beside them.
"""

from __future__ import annotations

from collections.abc import Iterable

from coltsfootpier.cells._interference import PressureTable, list_serving
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner, StepRun, Task

# Weight of unused capacity against utilisation that is taken from a serving task.
_UNUSED_WEIGHT = 0.1


def is_usable(runner: Runner, now_ms: float, settings: CellSettings) -> bool:
    """Return whether a runner may get anything new.

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
        runner.listed
        and runner.adopted
        and runner.recorded
        and not runner.entry.draining
        and not runner.full
        and not runner.cordoned
        and not runner.ended
        and now_ms - runner.contact_ms < settings.contact_fresh_ms
        and (runner.aside_until_ms <= now_ms)
        and not (runner.is_probed and runner.probe in runner.runs)
    )


def is_eligible(runner: Runner, step: StepRun) -> bool:
    """Return whether a step's label and its limit for one runner allow one more run there."""
    spec = step.spec
    if spec.required_label and spec.required_label not in runner.entry.labels:
        return False
    return not spec.max_per_runner or step.spread.get(runner.entry.id, 0) < spec.max_per_runner


def choose_runner(
    runners: Iterable[Runner],
    step: StepRun,
    task: Task | None,
    table: PressureTable,
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
        The step that the task belongs to.
    task : Task, optional
        The task, if it was started before; runners where it failed come last.
    table : PressureTable
        What is known of the effect of filling tasks on serving ones.
    settings : CellSettings
        Limits and weights.
    rack : str
        The only rack allowed; empty for all.

    Returns
    -------
    Runner or None
        None when no runner has room.
    """
    best: Runner | None = None
    best_rank: tuple[int, float] | None = None
    for runner in runners:
        if rack and runner.entry.rack != rack:
            continue
        if not _is_allowed(runner, step, table, settings):
            continue
        rank = _rank(runner, step, task, table)
        if best_rank is None or rank > best_rank:
            best, best_rank = runner, rank
    return best


def _is_allowed(
    runner: Runner, step: StepRun, table: PressureTable, settings: CellSettings
) -> bool:
    spec = step.spec
    if not runner.fits(spec) or not is_eligible(runner, step):
        return False
    if spec.fills:
        if runner.unused_cpu < spec.cpu_milli * settings.fill_fit:
            return False
        return table.has_headroom(runner, spec)
    return True


def _rank(
    runner: Runner, step: StepRun, task: Task | None, table: PressureTable
) -> tuple[int, float]:
    spec = step.spec
    preference = 0
    if spec.rack_affinity and runner.entry.rack == spec.rack_affinity:
        preference += 2
    if task is not None and runner.entry.id in task.avoided:
        preference -= 4
    if task is not None and runner.entry.id == task.preferred:
        preference += 4
    if runner.is_probed and spec.long_running:
        preference -= 8
    free = runner.unused_cpu
    if spec.latency_target_ms:
        # Serving tasks of one image share runners and fill them up, so that each filling image
        # finds runners where it harms nobody, and some runners serve nothing.
        preference += _rate_company({run.step.image for run in list_serving(runner)}, spec.image)
        free = -(runner.entry.cpu_milli - runner.hard_cpu)
    elif spec.fills:
        # The least harm first; the most unused capacity decides between equals.
        free = _UNUSED_WEIGHT * free - runner.entry.cpu_milli * table.cost(runner, spec)
    else:
        # Equal shares of free declared capacity keep room for wide steps on every runner.
        free = 0.5 * free + (runner.entry.cpu_milli - runner.hard_cpu)
    return preference, free / max(1, runner.entry.cpu_milli)


def _rate_company(images: set[str], image: str) -> int:
    """Return how well a serving image goes with those that a runner serves already.

    Runners that serve one image are kept so, and those that are mixed take the rest.
    """
    if images == {image}:
        return 2
    if image in images:
        return 1
    if not images:
        return 0
    return -1 if len(images) > 1 else -2
