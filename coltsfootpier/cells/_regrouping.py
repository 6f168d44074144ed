"""Moves of serving tasks that increase the capacity for best-effort tasks.

Serving tasks hold most of the declared CPU of every runner, come and go one by one, and end up
mixed. A best-effort image can run beside one serving image in about half of the cases, and beside
three hardly ever, so mixed runners leave half of their CPU unused while batch jobs wait. A move
costs a serving task its startup, but the capacity that it frees lasts.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

import attrs

from coltsfootpier.cells._interference import InterferenceTable, list_serving, min_per_image
from coltsfootpier.cells._placement import is_eligible
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Run, Runner, RunState


@attrs.frozen
class Regrouping:
    """A serving run, the runner that it should move to, and the capacity that this frees.

    Parameters
    ----------
    gain : float
        Additional capacity for best-effort images in thousandths of a core, weighted by the
        scarcity of each image's capacity.
    """

    run: Run
    target: Runner
    gain: float


class Regrouper:
    """Chooses moves of serving runs.

    Parameters
    ----------
    table : InterferenceTable
        Estimated interference of best-effort images with serving images.
    settings : CellSettings
        Limits and weights.
    """

    def __init__(self, table: InterferenceTable, settings: CellSettings) -> None:
        self._table = table
        self._settings = settings
        # With a fixed seed, the same events give the same choices and simulations are reproducible.
        self._random = random.Random(0)

    def choose(self, runners: Iterable[Runner], scarcity: Mapping[str, float]) -> Regrouping | None:
        """Return the best move of a serving run off a mixed runner, or None if none gains enough.

        The mixed runner is chosen at random, and the targets too if there are many.

        Parameters
        ----------
        runners : iterable of Runner
            Runners of one service that may get new runs.
        scarcity : Mapping of str to float
            Scarcity of the capacity of each best-effort image.
        """
        runners = list(runners)
        mixed = [runner for runner in runners if len(self._list_images(runner)) > 1]
        if not mixed or not scarcity:
            return None
        source = self._random.choice(mixed)
        targets = [runner for runner in runners if runner is not source]
        if len(targets) > self._settings.regroup_targets:
            targets = self._random.sample(targets, self._settings.regroup_targets)
        source_before = self._measure_weighted_cpu(source, scarcity)
        targets_before = {
            target: self._measure_weighted_cpu(target, scarcity) for target in targets
        }
        best: Regrouping | None = None
        for run in list_serving(source):
            if not self._may_move(run):
                continue
            source_change = (
                self._measure_weighted_cpu(source, scarcity, without=run) - source_before
            )
            for target in targets:
                if not target.fits(run.step) or not is_eligible(target, run.step_run):
                    continue
                target_change = (
                    self._measure_weighted_cpu(target, scarcity, added=run) - targets_before[target]
                )
                gain = source_change + target_change
                if gain > (best.gain if best else self._settings.regroup_gain_cpu):
                    best = Regrouping(run, target, gain)
        return best

    def _may_move(self, run: Run) -> bool:
        # Steps that limit how many of their tasks may be unavailable are not disturbed.
        return run.state is RunState.RUNNING and run.percent >= 100 and not run.step.may_miss

    def _list_images(self, runner: Runner) -> set[str]:
        return {run.step.image for run in list_serving(runner)}

    def _measure_weighted_cpu(
        self,
        runner: Runner,
        scarcity: Mapping[str, float],
        *,
        without: Run | None = None,
        added: Run | None = None,
    ) -> float:
        """Return the capacity for best-effort images on a runner, weighted by their scarcity."""
        cpu = runner.entry.cpu_milli
        runs = [run for run in list_serving(runner) if run is not without]
        if added is not None:
            runs.append(added)
        unused = float(cpu - (runner.guaranteed_cpu - runner.serving_cpu))
        for run in runs:
            unused -= run.step.cpu_milli * run.load
        unused = max(0.0, unused)
        limit = self._settings.utilisation_limit
        headrooms = min_per_image((run.step.image, limit - run.load) for run in runs)
        return sum(
            weight * min(unused, self._table.limit_cpu(headrooms, image, cpu))
            for image, weight in scarcity.items()
        )
