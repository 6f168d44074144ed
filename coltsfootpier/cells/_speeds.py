"""Which runners work at a fraction of their peers' speed.

Up to a sixth of the runners work at a fifth of their speed for some seconds. They respond and fail
nothing, but urgent tasks that start there are late. One slow run says little, since 3 in 100 are
slow on any runner; several in a row on one runner do.

Best-effort runs are slowed by pacing and by one another, so only their speed in the usual range
counts: it shows that a runner isn't slow.
"""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Callable

from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Run, Runner, RunState, StepRun

LogCallback = Callable[..., None]

# Number of a step's runs that show how long a run usually takes.
_MIN_PEERS = 3
# Time between two measurements of that; a step may have thousands of runs.
_REFRESH_MS = 50.0


class RunnerSpeeds:
    """Compares the speed of runs with that of their peers on other runners.

    Parameters
    ----------
    settings : CellSettings
        Limits.
    log : callable
        Callback that logs one event with its fields.
    counters : Counter
        Counts of decisions.
    """

    def __init__(self, *, settings: CellSettings, log: LogCallback, counters: Counter[str]) -> None:
        self._settings = settings
        self._log = log
        self._counters = counters

    def observe(self, runner: Runner, now_ms: float) -> None:
        """Apply the progress of the runs in a runner's newest report.

        Parameters
        ----------
        runner : Runner
            The runner.
        now_ms : float
            Local time.
        """
        for run in runner.runs.values():
            if run.state is RunState.RUNNING and not run.step.long_running and run.pace == 100:
                self.observe_run(runner, run, now_ms)

    def observe_run(self, runner: Runner, run: Run, now_ms: float) -> None:
        """Apply the present speed of a run that goes on or has just ended `done`."""
        speed = _measure_speed(run, now_ms)
        if speed is None:
            return
        settings = self._settings
        if speed >= settings.fast_speed:
            runner.slow_runs.clear()
            if runner.is_slow:
                self._mark_fast(runner, "a run at the usual speed", now_ms)
        elif speed < settings.slow_speed and not run.step.fills:
            if len(runner.slow_runs) < settings.slow_run_count:
                runner.slow_runs.add(run.id)
            runner.last_slow_ms = now_ms
            if not runner.is_slow and len(runner.slow_runs) >= settings.slow_run_count:
                self._mark_slow(runner, speed, now_ms)

    def expire(self, runner: Runner, now_ms: float) -> None:
        """Forget slow runs that have had no successor for some time."""
        if runner.slow_runs and now_ms - runner.last_slow_ms >= self._settings.slow_expiry_ms:
            runner.slow_runs.clear()
            if runner.is_slow:
                self._mark_fast(runner, "no slow run lately", now_ms)

    def _mark_slow(self, runner: Runner, speed: float, now_ms: float) -> None:
        runner.is_slow, runner.slow_since_ms = True, now_ms
        # Its rank changes, for searches that remember it.
        runner.version += 1
        self._counters["runners_slow"] += 1
        self._log(
            "runner slow",
            runner=runner.entry.id,
            speed=round(speed, 3),
            runs=len(runner.slow_runs),
        )

    def _mark_fast(self, runner: Runner, reason: str, now_ms: float) -> None:
        runner.is_slow = False
        runner.version += 1
        self._counters["runners_fast_again"] += 1
        self._log(
            "runner fast again",
            runner=runner.entry.id,
            reason=reason,
            slow_ms=now_ms - runner.slow_since_ms,
        )


def _measure_speed(run: Run, now_ms: float) -> float | None:
    """Return the speed of a run relative to its peers; None while either is unknown."""
    duration_ms = None if run.progress is None else run.progress.estimate_duration_ms()
    peer_ms = measure_peer_ms(run.step_run, now_ms) if duration_ms is not None else None
    return None if peer_ms is None else peer_ms / duration_ms


def measure_peer_ms(step: StepRun, now_ms: float) -> float | None:
    """Return the usual duration in ms of a step's runs; None while too few runs show it.

    It is the median of the runs that have ended or whose speed is known, so half of them may be
    slow.

    Parameters
    ----------
    step : StepRun
        The step.
    now_ms : float
        Local time; a measurement is used for `_REFRESH_MS`.
    """
    if now_ms - step.peers_measured_ms >= _REFRESH_MS:
        known = list(step.durations_ms or ())
        for run in step.list_runs():
            duration_ms = None if run.progress is None else run.progress.estimate_duration_ms()
            if duration_ms is not None and run.pace == 100:
                known.append(duration_ms)
        step.peers_measured_ms = now_ms
        step.peer_ms = statistics.median_low(known) if len(known) >= _MIN_PEERS else None
    return step.peer_ms
