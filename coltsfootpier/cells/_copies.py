"""Which tasks of `speculative` steps get a second run (a copy), and when.

Three in a hundred runs take seven times as long as the others, for no reason that their declaration
shows. A step of ten tasks waits for such a run in one case of four, and its job is then late or of
no more use. A run on a runner that has become slow, has no connection or doesn't respond to the
start is as late. A copy that starts in time ends before it, and frees the capacity of the run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from coltsfootpier.cells._estimates import Estimates
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._speeds import measure_peer_ms
from coltsfootpier.cells._state import Run, Runner, RunState, StepRun, Task

LogCallback = Callable[..., None]

# Share of silent runners from which their silence says nothing of the runs there: the owner was
# paused, or is cut off.
_MAX_SILENT_SHARE = 0.34


@attrs.frozen(kw_only=True)
class Straggler:
    """A task whose run is expected to end so late that a copy is of use.

    Parameters
    ----------
    step : StepRun
        Its step.
    index : int
        Number of the task in its step.
    run : Run
        Its run.
    saved_ms : float
        Time by which a copy that starts now is expected to end earlier than the run.
    is_saving : bool
        Whether the job is expected to meet a limit with the copy that it misses without.
    """

    step: StepRun
    index: int
    run: Run
    saved_ms: float
    is_saving: bool


@attrs.define
class _OpenCopy:
    run: Run
    started_ms: float
    has_won: bool = False


class Copies:
    """Decides which tasks get a copy, within the bounds for a step and for all tasks.

    Parameters
    ----------
    settings : CellSettings
        Limits.
    estimates : Estimates
        Expected durations.
    runners : Mapping of str to Runner
        Runners of the cell by identifier, shared with the fleet.
    count_open_starts : callable
        Returns the number of a task's starts without a response that have no run in the fleet; each
        may still be carried out.
    log : callable
        Callback that logs one event with its fields.
    counters : Counter
        Counts of decisions.
    """

    def __init__(
        self,
        *,
        settings: CellSettings,
        estimates: Estimates,
        runners: Mapping[str, Runner],
        count_open_starts: Callable[[StepRun, int], int],
        log: LogCallback,
        counters: Counter[str],
    ) -> None:
        self._settings = settings
        self._estimates = estimates
        self._runners = runners
        self._count_open_starts = count_open_starts
        self._log = log
        self._counters = counters
        self._open: dict[object, _OpenCopy] = {}
        # Runners without a report for so long that their runs may get copies.
        self._silent: set[str] = set()

    # Decisions

    def find_stragglers(self, steps: Iterable[StepRun], now_ms: float) -> list[Straggler]:
        """Return the tasks for which a copy is of use, the most useful first.

        Parameters
        ----------
        steps : iterable of StepRun
            Steps whose tasks may be started.
        now_ms : float
            Local time.
        """
        self._find_silent(now_ms)
        found = []
        for step in steps:
            if _may_have_copies(step) and step.copy_count < self._compute_step_limit(step):
                found += self._find_in_step(step, now_ms)
        found.sort(key=lambda straggler: (not straggler.is_saving, -straggler.saved_ms))
        return found

    def _find_silent(self, now_ms: float) -> None:
        runners = [runner for runner in self._runners.values() if runner.is_registered]
        limit_ms = self._settings.suspect_after_ms
        silent = {runner.entry.id for runner in runners if now_ms - runner.contact_ms > limit_ms}
        # One is always possible.
        is_usual = len(silent) <= max(1.0, _MAX_SILENT_SHARE * len(runners))
        self._silent = silent if is_usual else set()

    def _find_in_step(self, step: StepRun, now_ms: float) -> list[Straggler]:
        single = [
            (index, task)
            for index, task in step.tasks.items()
            if len(task.runs) == 1 and self._may_have_copy(step, index, task)
        ]
        if not single:
            return []
        peer_ms, is_known = self._estimate_peer_ms(step, now_ms)
        copy_end_ms = now_ms + self._settings.copy_start_ms + peer_ms
        objective_ms, useless_ms = self._estimates.estimate_step_limits(step)
        if copy_end_ms > useless_ms:
            return []
        found = []
        for index, task in single:
            run = task.runs[0]
            end_ms = self._estimate_end_ms(run, peer_ms, is_known=is_known, now_ms=now_ms)
            saved_ms = end_ms - copy_end_ms
            if saved_ms < self._settings.copy_gain_share * peer_ms:
                continue
            is_saving = copy_end_ms <= objective_ms < end_ms or useless_ms < end_ms
            # Both runs use capacity until the copy ends, which is then less than the run alone
            # would use.
            is_cheaper = end_ms - now_ms >= 2.0 * (copy_end_ms - now_ms)
            if is_saving or is_cheaper:
                found.append(
                    Straggler(
                        step=step, index=index, run=run, saved_ms=saved_ms, is_saving=is_saving
                    )
                )
        return found

    def _may_have_copy(self, step: StepRun, index: int, task: Task) -> bool:
        # A start without a response may still be carried out, so it counts as a run.
        return (
            step.build_key(index) not in step.job.record.done
            and not step.has_used_up(index)
            and len(task.runs) + self._count_open_starts(step, index) < step.run_limit
        )

    def _estimate_end_ms(self, run: Run, peer_ms: float, *, is_known: bool, now_ms: float) -> float:
        """Return when a run is expected to end, or the present time if nothing is conspicuous."""
        settings = self._settings
        if run.state is RunState.STOPPING:
            # It ends without a result.
            return float("inf")
        elapsed_ms = now_ms - run.start_sent_ms
        if run.state in (RunState.STARTING, RunState.UNSURE):
            if elapsed_ms < settings.copy_unanswered_ms and not run.retry_count:
                return now_ms
            return now_ms + peer_ms + max(elapsed_ms, settings.start_retry_ms)
        if run.runner_id in self._silent:
            # Its end would show only with the next report, or not before its lease has expired.
            return now_ms + settings.run_lease_ms
        if run.pace < 100:
            # Slowed on purpose; a copy would be as well.
            return now_ms
        factor = settings.copy_outlier_factor if is_known else settings.copy_undeclared_factor
        duration_ms = None if run.progress is None else run.progress.estimate_duration_ms()
        if duration_ms is not None and duration_ms >= factor * peer_ms:
            return max(now_ms, run.progress.estimate_end_ms())
        since_ms = run.start_sent_ms if not run.adopted else run.confirmed_ms
        if duration_ms is None and now_ms - since_ms >= factor * peer_ms:
            # Nothing is known of it, so it is expected to take as long again.
            return now_ms + (now_ms - since_ms)
        return now_ms

    def _estimate_peer_ms(self, step: StepRun, now_ms: float) -> tuple[float, bool]:
        """Return the usual duration in ms of a step's runs, and whether several runs show it."""
        peer_ms = measure_peer_ms(step, now_ms)
        if peer_ms is not None:
            return peer_ms, True
        return self._estimates.estimate_run_ms(step), False

    # Bounds

    def _compute_step_limit(self, step: StepRun) -> int:
        return max(1, round(self._settings.copy_step_share * step.spec.count))

    def has_budget(self, step: StepRun, service: str) -> bool:
        """Return whether the bounds allow one more copy of a step and of a service's runs."""
        if step.copy_count >= self._compute_step_limit(step):
            return False
        run_count = sum(
            len(runner.runs) for runner in self._runners.values() if runner.entry.service == service
        )
        copy_count = sum(
            copy.run.step_run.job.queue.service == service for copy in self._open.values()
        )
        return copy_count < max(1, int(self._settings.copy_share * run_count))

    # Progress of copies

    def record_start(self, run: Run, straggler: Straggler, now_ms: float) -> None:
        """Record a copy that is about to be started."""
        self._track(run, now_ms)
        self._counters["copies_started"] += 1
        self._log(
            "copy started",
            run=str(run.id),
            runner=run.runner_id,
            beside=str(straggler.run.id),
            beside_runner=straggler.run.runner_id,
            elapsed_ms=now_ms - straggler.run.start_sent_ms,
            percent=straggler.run.percent,
            saved_ms=straggler.saved_ms,
            reason="late" if straggler.is_saving else "slower than its peers",
        )

    def record_adoption(self, run: Run, now_ms: float) -> None:
        """Record an adopted run as a copy if its task has another one."""
        if len(run.task.runs) > 1:
            self._track(run, now_ms)

    def _track(self, run: Run, now_ms: float) -> None:
        run.step_run.copy_count += 1
        self._open[run.id] = _OpenCopy(run, now_ms)

    def record_win(self, run: Run, now_ms: float) -> None:
        """Record that a run was the first of its task to end `done`."""
        copy = self._open.get(run.id)
        if copy is not None:
            copy.has_won = True
            self._counters["copies_won"] += 1
            self._log(
                "copy won",
                run=str(run.id),
                runner=run.runner_id,
                duration_ms=now_ms - copy.started_ms,
            )

    def settle(self, now_ms: float) -> None:
        """Count the time of the copies that have ended since the last call."""
        for run_id, copy in list(self._open.items()):
            run = copy.run
            runner = self._runners.get(run.runner_id)
            if runner is not None and run_id in runner.runs:
                continue
            del self._open[run_id]
            core_ms = run.step.cpu_milli / 1000.0 * (now_ms - copy.started_ms)
            self._counters["copy_core_ms"] += round(core_ms)
            if copy.has_won:
                continue
            is_stopped = run.state is RunState.STOPPING
            self._counters["copies_stopped" if is_stopped else "copies_lost"] += 1
            self._log(
                "copy stopped" if is_stopped else "copy lost",
                run=str(run_id),
                runner=run.runner_id,
                core_ms=core_ms,
            )

    # Reports

    def choose_report_wait_ms(self, runner: Runner, now_ms: float, longest_ms: float) -> float:
        """Return how long the next report of a runner may take, so that it shows a straggler.

        Parameters
        ----------
        runner : Runner
            The runner.
        now_ms : float
            Local time.
        longest_ms : float
            Time without a reason to shorten it, in ms.
        """
        settings = self._settings
        due_ms = now_ms + longest_ms
        for run in runner.runs.values():
            if run.step.speculative and not run.step.long_running and not run.adopted:
                first_ms = run.start_sent_ms + settings.copy_inspect_ms
                if first_ms > now_ms:
                    due_ms = min(due_ms, first_ms)
        return max(min(settings.copy_report_ms, longest_ms), due_ms - now_ms)


def _may_have_copies(step: StepRun) -> bool:
    spec = step.spec
    return spec.speculative and not (spec.gang or spec.long_running) and bool(step.tasks)
