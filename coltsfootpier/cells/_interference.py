"""Interference of best-effort tasks with the serving tasks beside them, learned from reports.

About half of the pairs of images hardly affect each other; in the other pairs the best-effort image
pushes the tail latency far over its target with a tenth of a runner's CPU. Which pairs do is not
declared, and a serving task's own load changes its tail latency by a factor of four within ten
seconds.

The tail latency is modelled as ``idle tail / (1 - utilisation)``. The utilisation is the load of
the step's users plus, for each best-effort image, its interference times the share of the runner's
CPU that it uses. The tasks of a step share its users, so they are assumed to have the same load.
Loads and interferences are estimated jointly by a Kalman filter with independent variances: a load
has a trend, an interference is constant.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from coltsfootpier.cells._learned import LearnedInterference
from coltsfootpier.cells._loads import LoadFilter
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Run, Runner
from coltsfootpier.jobs import StepSpec

# Tail latency of an idle serving task as a share of its target, until a lower one is observed.
_IDLE_TAIL_SHARE = 1.0 / 6.0
# Variance of the utilisation in one report, apart from rounding: the tasks of a step differ by
# about 0.02.
_REPORT_VARIANCE = 0.0004
# Variance of a rounding error in ms squared; tail latencies are reported in whole ms.
_ROUNDING_VARIANCE_MS = 1.0 / 12.0
# Load of a step before its first report.
_LOAD_PRIOR = 0.5
# Mean and variance of the interference of a pair that was not observed together: it covers pairs
# without effect (0) and strong ones (up to 5).
_INTERFERENCE_PRIOR = (1.5, 2.0)
_MAX_INTERFERENCE = 8.0
# Minimum variance of an interference. The tail latencies and CPU shares of one report may cover
# different moments, so no number of reports makes an estimate certain.
_MIN_INTERFERENCE_VARIANCE = 0.01
# Utilisation above which the tail latency only shows that a task is saturated, not by how much.
_SATURATED_UTILISATION = 0.95
# Time after which a report with unchanged values counts as a new measurement; each measurement
# covers the last 500 ms.
_REPORT_PERIOD_MS = 450.0
# Interference above which a best-effort task prefers a runner without serving tasks: between the
# interference of pairs without effect (up to 0.3) and of the others (from 1.3).
_IDLE_RUNNER_INTERFERENCE = 0.6
# Reported tail latency as a share of the target from which a serving run counts as over it, and
# below which it no longer does: reports are off by about 5 %.
_OVER_TARGET_RATIO = 0.97
_BELOW_TARGET_RATIO = 0.9
# Utilisation that a best-effort run may always add: a serving task whose own load is near its limit
# gains nothing from stopping a run that hardly affects it.
_NEGLIGIBLE_UTILISATION = 0.025
# Share of a runner's CPU that one best-effort task typically requests.
_TYPICAL_CPU_SHARE = 0.1
# Maximum number of pairs, and of load filters, in memory; the oldest are dropped first.
_MAX_PAIRS = 4_096
# Maximum number of pairs stored for the next owner; 5 serving and 9 best-effort images make 45. At
# 60 bytes per pair the record has at most 20 KB, which costs the store one more round trip.
_MAX_EXPORTED_PAIRS = 320


@attrs.define
class _Estimate:
    mean: float
    variance: float


class InterferenceTable:
    """Interference of best-effort images with serving images, and the loads of serving tasks.

    Parameters
    ----------
    settings : CellSettings
        Limits.
    """

    def __init__(self, settings: CellSettings) -> None:
        self._settings = settings
        self._pairs: dict[tuple[str, str], _Estimate] = {}
        self._load_filters: dict[tuple[str, int, int], LoadFilter] = {}
        # Local time of the newest report.
        self._newest_report_ms = float("-inf")
        # Lowest tail latency of each serving image as a share of its target.
        self._idle_tails: dict[str, float] = {}

    def estimate(self, serving: str, best_effort: str) -> float:
        """Return a cautious estimate of a best-effort image's interference with a serving image."""
        found = self._pairs.get((serving, best_effort))
        mean, variance = (found.mean, found.variance) if found else _INTERFERENCE_PRIOR
        return mean + self._settings.pressure_caution * math.sqrt(variance)

    def observe(self, runner: Runner, now_ms: float) -> bool:
        """Update the estimates from a runner's report; return whether it was a new measurement."""
        self._newest_report_ms = now_ms
        serving = list_serving(runner)
        measured = tuple(run.measured for run in serving)
        unchanged = measured == runner.measured_tails
        if unchanged and now_ms - runner.measured_ms < _REPORT_PERIOD_MS:
            return False
        runner.measured_tails = measured
        runner.measured_ms = now_ms
        cpu_shares = measure_cpu_shares(runner)
        for run in serving:
            self._track_overrun(run, now_ms)
            if run.percent >= 100 and run.measured > 0:
                self._update_estimates(run, cpu_shares, now_ms)
        runner.invalidate_headroom()
        return True

    @staticmethod
    def _track_overrun(run: Run, now_ms: float) -> None:
        """Track since when a serving run may be over its target.

        Reports are imprecise, so one with a tail latency slightly below the target doesn't end
        the period.
        """
        tail_share = run.measured / run.step.latency_target_ms
        if tail_share >= _OVER_TARGET_RATIO:
            run.over_target_since_ms = min(run.over_target_since_ms, now_ms)
        elif tail_share < _BELOW_TARGET_RATIO:
            run.over_target_since_ms = math.inf

    def _update_estimates(self, run: Run, cpu_shares: dict[str, float], now_ms: float) -> None:
        image = run.step.image
        tail_share = run.measured / run.step.latency_target_ms
        idle_share = self._idle_tails[image] = min(
            tail_share, self._idle_tails.get(image, _IDLE_TAIL_SHARE)
        )
        utilisation = min(_SATURATED_UTILISATION, 1.0 - idle_share / tail_share)
        key = run.step_run.id
        load_filter = self._load_filters.get(key)
        if load_filter is None:
            load_filter = self._load_filters[key] = LoadFilter(now_ms)
            while len(self._load_filters) > _MAX_PAIRS:
                del self._load_filters[next(iter(self._load_filters))]
        load_filter.advance(now_ms)
        pairs = {name: self._get_pair(image, name) for name in cpu_shares}
        predicted = load_filter.mean + sum(
            pairs[name].mean * cpu_share for name, cpu_share in cpu_shares.items()
        )
        error = utilisation - predicted
        if utilisation >= _SATURATED_UTILISATION and error < 0:
            run.load = self.predict_load(run)
            return
        # Change of the utilisation per ms of tail latency.
        slope = (1.0 - utilisation) / run.measured
        total_variance = (
            load_filter.variance
            + sum(
                pairs[name].variance * cpu_share * cpu_share
                for name, cpu_share in cpu_shares.items()
            )
            + _REPORT_VARIANCE
            + slope * slope * _ROUNDING_VARIANCE_MS
        )
        load_filter.correct(error, total_variance)
        for name, cpu_share in cpu_shares.items():
            pair = pairs[name]
            gain = pair.variance * cpu_share / total_variance
            pair.mean = min(_MAX_INTERFERENCE, max(0.0, pair.mean + gain * error))
            pair.variance = max(
                _MIN_INTERFERENCE_VARIANCE, pair.variance * (1.0 - gain * cpu_share)
            )
        run.load = self.predict_load(run)

    def export(self) -> tuple[tuple[LearnedInterference, ...], dict[str, float]]:
        """Return the most recently added pairs and the idle tail latencies."""
        pairs = list(self._pairs.items())[-_MAX_EXPORTED_PAIRS:]
        learned_pairs = tuple(
            LearnedInterference(
                serving=serving,
                filling=best_effort,
                mean=round(found.mean, 3),
                variance=round(found.variance, 4),
            )
            for (serving, best_effort), found in pairs
        )
        idle = list(self._idle_tails.items())[-_MAX_EXPORTED_PAIRS:]
        return learned_pairs, {image: round(share, 4) for image, share in idle}

    def restore(
        self, learned_pairs: Iterable[LearnedInterference], idle: Mapping[str, float]
    ) -> None:
        """Restore the pairs and idle tail latencies from an earlier owner."""
        for pair in learned_pairs:
            self._pairs[pair.serving, pair.filling] = _Estimate(
                min(_MAX_INTERFERENCE, max(0.0, pair.mean)),
                max(_MIN_INTERFERENCE_VARIANCE, pair.variance),
            )
        self._idle_tails.update(idle)

    def predict_load(self, run: Run) -> float:
        """Return the highest expected utilisation of a serving run by its own users."""
        found = self._load_filters.get(run.step_run.id)
        return found.predict_upper(self._newest_report_ms) if found is not None else _LOAD_PRIOR

    def _get_pair(self, serving: str, best_effort: str) -> _Estimate:
        key = (serving, best_effort)
        if key not in self._pairs:
            self._pairs[key] = _Estimate(*_INTERFERENCE_PRIOR)
            while len(self._pairs) > _MAX_PAIRS:
                del self._pairs[next(iter(self._pairs))]
        return self._pairs[key]

    def has_headroom(self, runner: Runner, spec: StepSpec) -> bool:
        """Return whether every serving task stays below its limit with one more best-effort task.

        Parameters
        ----------
        runner : Runner
            The runner.
        spec : StepSpec
            Specification of a best-effort task that is added at full speed.
        """
        cpu_share = spec.cpu_milli / max(1, runner.entry.cpu_milli)
        headrooms = self._get_headrooms(runner)
        return all(
            _is_harmless(headroom, self.estimate(image, spec.image) * cpu_share, 0.0)
            for image, headroom in headrooms.items()
        )

    def measure_spare(self, runner: Runner, spec: StepSpec, percent: int) -> float:
        """Return the utilisation left to the tightest serving task beside one more task.

        Parameters
        ----------
        runner : Runner
            The runner.
        spec : StepSpec
            Specification of the added best-effort task.
        percent : int
            Its pace.

        Returns
        -------
        float
            Negative if the serving task would exceed its limit; 1 without serving tasks.
        """
        cpu_share = spec.cpu_milli * percent / 100 / max(1, runner.entry.cpu_milli)
        return min(
            (
                headroom - self.estimate(image, spec.image) * cpu_share
                for image, headroom in self._get_headrooms(runner).items()
            ),
            default=1.0,
        )

    def estimate_cost(self, runner: Runner, spec: StepSpec) -> float:
        """Return the utilisation that one more task adds to the serving task it affects most.

        A runner without serving tasks has a cost too, so that it is reserved for images that
        interfere with the serving tasks everywhere else.
        """
        cpu_share = spec.cpu_milli / max(1, runner.entry.cpu_milli)
        images = self._get_headrooms(runner)
        if not images:
            return _IDLE_RUNNER_INTERFERENCE * cpu_share
        return max(self.estimate(image, spec.image) for image in images) * cpu_share

    def _get_headrooms(self, runner: Runner) -> dict[str, float]:
        """Return the headroom of the serving tasks of each image on a runner."""
        if runner.headroom is None:
            cpu_shares = sum_requested_shares(runner, {})
            runner.headroom = min_per_image(
                (run.step.image, self._measure_headroom(run, cpu_shares))
                for run in list_serving(runner)
            )
        return runner.headroom

    def list_headrooms(self, runner: Runner) -> dict[str, float]:
        """Return the headroom of each serving image on a runner without best-effort tasks."""
        return min_per_image(
            (run.step.image, self._measure_headroom(run, {})) for run in list_serving(runner)
        )

    def measure_free_cpu(self, runner: Runner, image: str) -> float:
        """Return the CPU that further best-effort tasks of an image may use, beside the others."""
        return self.limit_cpu(self._get_headrooms(runner), image, runner.entry.cpu_milli)

    def limit_cpu(self, headrooms: Mapping[str, float], image: str, cpu_milli: int) -> float:
        """Return the CPU that best-effort tasks of one image may use on a runner.

        Parameters
        ----------
        headrooms : Mapping of str to float
            Headroom of each serving image, from `list_headrooms`.
        image : str
            Image of the best-effort tasks.
        cpu_milli : int
            CPU of the runner in thousandths of a core.

        Returns
        -------
        float
            Thousandths of a core; infinite when the image hardly affects the serving tasks there.
        """
        limit = math.inf
        for serving, headroom in headrooms.items():
            interference = self.estimate(serving, image)
            if interference * _TYPICAL_CPU_SHARE > _NEGLIGIBLE_UTILISATION:
                limit = min(limit, max(0.0, headroom) / interference * cpu_milli)
        return limit

    def _measure_headroom(self, run: Run, cpu_shares: dict[str, float]) -> float:
        """Return the utilisation left to a serving run beside best-effort images."""
        added_utilisation = sum(
            self.estimate(run.step.image, name) * cpu_share
            for name, cpu_share in cpu_shares.items()
        )
        return self._settings.utilisation_limit - self.predict_load(run) - added_utilisation

    def choose_paces(self, runner: Runner, best_effort: list[Run]) -> dict[Run, int]:
        """Return the highest pace in percent of each best-effort run that meets all targets.

        Parameters
        ----------
        runner : Runner
            The runner.
        best_effort : list of Run
            Best-effort runs in the order in which they get the remaining headroom.
        """
        settings = self._settings
        cpu = max(1, runner.entry.cpu_milli)
        others = sum_requested_shares(runner, dict.fromkeys(best_effort, 0))
        headrooms = [
            [run.step.image, self._measure_headroom(run, others)] for run in list_serving(runner)
        ]
        paces: dict[Run, int] = {}
        for run in best_effort:
            # A run that was started because its job had none goes on at the lowest pace.
            paces[run] = settings.pace_levels[-1] if run.is_aged else 0
            # A pace rises only if headroom remains, so that it doesn't change with each report.
            for level in settings.pace_levels:
                spare = settings.pace_hysteresis if level > run.pace else 0.0
                cpu_share = run.step.cpu_milli * level / 100 / cpu
                if all(
                    _is_harmless(headroom, self.estimate(image, run.step.image) * cpu_share, spare)
                    for image, headroom in headrooms
                ):
                    paces[run] = level
                    break
            cpu_share = run.step.cpu_milli * paces[run] / 100 / cpu
            for entry in headrooms:
                entry[1] -= self.estimate(entry[0], run.step.image) * cpu_share
        return paces


def _is_harmless(headroom: float, added_utilisation: float, spare: float) -> bool:
    """Return whether a serving run still meets its target with an added best-effort run.

    Parameters
    ----------
    headroom : float
        Utilisation left to the serving run.
    added_utilisation : float
        Utilisation that the best-effort run adds.
    spare : float
        Utilisation that must remain afterwards.
    """
    return added_utilisation <= _NEGLIGIBLE_UTILISATION or headroom - added_utilisation >= spare


def sum_requested_shares(runner: Runner, paces: dict[Run, int]) -> dict[str, float]:
    """Return the share of a runner's CPU that each best-effort image requests.

    Parameters
    ----------
    runner : Runner
        The runner.
    paces : dict of Run to int
        Paces in percent that replace those in force.
    """
    cpu = max(1, runner.entry.cpu_milli)
    cpu_shares: dict[str, float] = {}
    for run in runner.runs.values():
        if run.step.fills:
            pace = max(0, paces.get(run, run.pace))
            image = run.step.image
            cpu_shares[image] = cpu_shares.get(image, 0.0) + run.step.cpu_milli * pace / 100 / cpu
    return cpu_shares


def min_per_image(values: Iterable[tuple[str, float]]) -> dict[str, float]:
    """Return the minimum value of each image."""
    minimums: dict[str, float] = {}
    for image, value in values:
        minimums[image] = min(value, minimums.get(image, math.inf))
    return minimums


def list_serving(runner: Runner) -> list[Run]:
    """Return the runs on a runner that have a latency target."""
    return [run for run in runner.runs.values() if run.step.latency_target_ms]


def measure_cpu_shares(runner: Runner) -> dict[str, float]:
    """Return the share of the runner's CPU that each best-effort image uses."""
    cpu_shares: dict[str, float] = {}
    cpu = max(1, runner.entry.cpu_milli)
    for run in runner.runs.values():
        if run.step.fills and run.measured > 0:
            cpu_shares[run.step.image] = cpu_shares.get(run.step.image, 0.0) + run.measured / cpu
    return cpu_shares
