"""Starts without a response, which a runner may still carry out.

An incarnation that was told to reject a late start rejects it, but one that starts later under the
same identifier doesn't know that. So the task may start again only on the same runner, and only
while the present incarnation rejects the late start. This holds until the start can't be carried
out any more: its time has passed, it has been carried out, another runner responds at the address
that it was sent to, or the runner's VM is gone or has another runner.

A runner that responds and rejects the late start rarely ends within the next seconds. So a task for
which it has no capacity, or that failed there, may start elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from coltsfootpier.cells._messages import RunId, RunnerReport
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner, StepRun
from coltsfootpier.jobs import TaskKey


@attrs.frozen(kw_only=True)
class InheritedStart:
    """A start without a response that an earlier owner has recorded.

    Parameters
    ----------
    run : RunId
        The run to start.
    runner_id, address : str
        Runner to which it was sent, and its address.
    left_ms : float
        Time for which it might still be carried out when it was recorded.
    """

    run: RunId
    runner_id: str
    address: str
    left_ms: float


@attrs.define(kw_only=True, eq=False)
class UnansweredStart:
    """A start that was sent and has no response yet, or never gets one.

    Parameters
    ----------
    run : RunId
        The run to start.
    runner_id, address : str
        Runner to which it was sent, and its address.
    started_unix_ms : int
        Incarnation of the runner that was known when it was sent.
    open_ms : float
        Local time of the last event after which it may still be carried out: it was planned, or its
        call ended without a response.
    is_settled : bool
        Whether its call has ended.
    stop_confirmed_ms : float
        When the runner confirmed a stop for it; infinite before.
    rejected_by : int or None
        Incarnation that is known to reject it.
    rejected_ms : float
        Since when that is known.
    is_inherited : bool
        Whether an earlier owner sent it; each incarnation that has responded rejects it then.
    """

    run: RunId
    runner_id: str
    address: str
    started_unix_ms: int
    open_ms: float
    is_settled: bool = False
    stop_confirmed_ms: float = float("inf")
    rejected_by: int | None = None
    rejected_ms: float = float("inf")
    is_inherited: bool = False

    def is_rejected(self, runner: Runner) -> bool:
        """Return whether the present incarnation of its runner rejects it."""
        return self.find_rejected_ms(runner) < float("inf")

    def find_rejected_ms(self, runner: Runner) -> float:
        """Return since when the present incarnation of its runner rejects it."""
        if self.is_inherited:
            return runner.first_accepted_ms if runner.adopted else float("inf")
        if self.rejected_by != runner.started_unix_ms:
            return float("inf")
        return self.rejected_ms


@attrs.define(kw_only=True, eq=False)
class _HeldTask:
    since_ms: float
    runner_id: str


class UnansweredStarts:
    """Table of starts without a response and of the tasks that wait for them.

    Parameters
    ----------
    settings : CellSettings
        Time after which a late start is no longer carried out.
    runners : dict of str to Runner
        Runners of the cell by identifier, shared with the fleet.
    log : callable
        Callback that logs one event with its fields.

    Attributes
    ----------
    held_count : int
        Number of times that a task was held.
    """

    def __init__(
        self, *, settings: CellSettings, runners: Mapping[str, Runner], log: Callable[..., None]
    ) -> None:
        self._settings = settings
        self._runners = runners
        self._log = log
        # In the order of `open_ms`.
        self._starts: dict[RunId, UnansweredStart] = {}
        self._by_runner: dict[str, dict[RunId, UnansweredStart]] = {}
        # By step and task.
        self._by_step: dict[tuple, dict[TaskKey, dict[RunId, UnansweredStart]]] = {}
        self._held: dict[tuple[str, TaskKey], _HeldTask] = {}
        self.held_count = 0

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def held_tasks(self) -> int:
        """Number of tasks that are held now."""
        return len(self._held)

    def record(self, run_id: RunId, runner: Runner, now_ms: float) -> None:
        """Record a start that is about to be sent."""
        self._add(
            UnansweredStart(
                run=run_id,
                runner_id=runner.entry.id,
                address=runner.entry.address,
                started_unix_ms=runner.started_unix_ms,
                open_ms=now_ms,
            )
        )

    def inherit(self, starts: Iterable[InheritedStart], now_ms: float) -> None:
        """Add the starts that an earlier owner has recorded, before any other."""
        for start in sorted(starts, key=lambda start: start.left_ms):
            left_ms = min(start.left_ms, self._settings.late_call_ms)
            self._add(
                UnansweredStart(
                    run=start.run,
                    runner_id=start.runner_id,
                    address=start.address,
                    started_unix_ms=0,
                    open_ms=now_ms - self._settings.late_call_ms + left_ms,
                    is_settled=True,
                    is_inherited=True,
                )
            )

    def export(self, now_ms: float, *, pending_ms: float, limit: int) -> tuple[InheritedStart, ...]:
        """Return the latest starts without a response, for the next owner.

        Parameters
        ----------
        now_ms : float
            Local time.
        pending_ms : float
            Time from which a start whose call hasn't ended is returned.
        limit : int
            Maximum number of starts to return.
        """
        starts = [
            start
            for start in self._starts.values()
            if start.is_settled or now_ms - start.open_ms >= pending_ms
        ]
        return tuple(
            InheritedStart(
                run=start.run,
                runner_id=start.runner_id,
                address=start.address,
                left_ms=self._compute_left_ms(start, now_ms),
            )
            for start in starts[-limit:]
        )

    def _compute_left_ms(self, start: UnansweredStart, now_ms: float) -> float:
        return start.open_ms + self._settings.late_call_ms - now_ms

    def _add(self, start: UnansweredStart) -> None:
        run_id = start.run
        self._starts[run_id] = start
        self._by_runner.setdefault(start.runner_id, {})[run_id] = start
        tasks = self._by_step.setdefault((run_id.job_id, *run_id.key[:2]), {})
        tasks.setdefault(run_id.key, {})[run_id] = start

    def settle(self, run_id: RunId, now_ms: float, *, answered: bool) -> None:
        """Record that the call of a start has ended, with or without a response."""
        start = self._starts.get(run_id)
        if start is None:
            return
        if answered:
            self._remove(start, now_ms, "answered")
            return
        start.is_settled = True
        start.open_ms = now_ms
        self._starts[run_id] = self._starts.pop(run_id)

    def confirm_stop(self, run_id: RunId, now_ms: float) -> None:
        """Record that the runner has confirmed a stop."""
        start = self._starts.get(run_id)
        if start is not None:
            start.stop_confirmed_ms = min(start.stop_confirmed_ms, now_ms)

    def apply_restart(self, runner_id: str) -> None:
        """Discard the stops that an earlier incarnation has confirmed."""
        for start in self._by_runner.get(runner_id, {}).values():
            start.stop_confirmed_ms = float("inf")

    def apply_report(
        self, runner_id: str, report: RunnerReport, present: Collection[RunId], now_ms: float
    ) -> None:
        """Apply a report: which starts were carried out, and which ones are rejected from now on.

        Parameters
        ----------
        runner_id : str
            The runner.
        report : RunnerReport
            Its report.
        present : collection of RunId
            Runs that the report lists as present.
        now_ms : float
            Local time.
        """
        starts = self._by_runner.get(runner_id)
        if not starts:
            return
        carried_out = [run_id for run_id in starts if run_id in present]
        carried_out += [row.run for row in report.ended if row.run in starts]
        for run_id in carried_out:
            if run_id in starts:
                self._remove(starts[run_id], now_ms, "carried out")
        if not report.is_complete:
            return
        for start in starts.values():
            # The report was requested after the stop was confirmed and doesn't list the run.
            if start.stop_confirmed_ms < report.sent_ms:
                if not start.is_rejected(self._runners[runner_id]):
                    start.rejected_ms = now_ms
                start.rejected_by = report.started_unix_ms

    def list_runners(self) -> list[str]:
        """Return the runners that may still carry out a start without a response."""
        return list(self._by_runner)

    def retire_runner(self, runner_id: str, now_ms: float) -> None:
        """Discard the starts of a runner whose identifier isn't used any more."""
        for start in list(self._by_runner.get(runner_id, {}).values()):
            if start.is_settled:
                self._remove(start, now_ms, "runner replaced")

    def retire_address(self, runner_id: str, address: str, now_ms: float) -> None:
        """Discard the starts of a runner at an address where another runner responds."""
        for start in list(self._by_runner.get(runner_id, {}).values()):
            if start.address == address:
                self._remove(start, now_ms, "runner replaced")

    def remove_expired(self, now_ms: float) -> None:
        """Discard the starts that are no longer carried out."""
        oldest_ms = now_ms - self._settings.late_call_ms
        while self._starts:
            start = next(iter(self._starts.values()))
            if start.open_ms > oldest_ms:
                return
            self._remove(start, now_ms, "expired")

    def _remove(self, start: UnansweredStart, now_ms: float, reason: str) -> None:
        run_id = start.run
        del self._starts[run_id]
        _remove_nested(self._by_runner, start.runner_id, run_id)
        step_id = (run_id.job_id, *run_id.key[:2])
        tasks = self._by_step[step_id]
        _remove_nested(tasks, run_id.key, run_id)
        if not tasks:
            del self._by_step[step_id]
        if run_id.key not in tasks:
            self._log_release(run_id, now_ms, reason)

    def _log_release(self, run_id: RunId, now_ms: float, reason: str) -> None:
        held = self._held.pop((run_id.job_id, run_id.key), None)
        if held is not None:
            self._log(
                "held task released",
                run=str(run_id),
                runner=held.runner_id,
                reason=reason,
                held_ms=now_ms - held.since_ms,
            )

    def has_runner(self, runner_id: str) -> bool:
        """Return whether a runner may still carry out a start without a response."""
        return runner_id in self._by_runner

    def has_task(self, run_id: RunId) -> bool:
        """Return whether another start of a run's task may still be carried out."""
        tasks = self._by_step.get((run_id.job_id, *run_id.key[:2]), {})
        return any(other != run_id for other in tasks.get(run_id.key, ()))

    def list_unrejected(self, runner: Runner) -> list[RunId]:
        """Return the runs whose late start the runner's present incarnation must be told to reject.

        Runs that are present are stopped by the cell itself.
        """
        return [
            run_id
            for run_id, start in self._by_runner.get(runner.entry.id, {}).items()
            if start.is_settled
            and not start.is_rejected(runner)
            and start.open_ms < runner.contact_ms
            and (run_id not in runner.runs or start.started_unix_ms != runner.started_unix_ms)
        ]

    def find_held(self, step: StepRun, now_ms: float) -> dict[int, str]:
        """Return the waiting tasks of a step that may start on one runner only.

        Parameters
        ----------
        step : StepRun
            The step.
        now_ms : float
            Local time.

        Returns
        -------
        dict of int to str
            For the index of each such task, the runner on which it may start; empty if it is none.
        """
        tasks = self._by_step.get(step.id)
        if not tasks or step.spec.speculative:
            return {}
        held = {}
        for key, starts in tasks.items():
            if step.has_runs(key.index) or key in step.job.record.done:
                continue
            if all(self._may_move(step, start, now_ms) for start in starts.values()):
                self._log_release(list(starts)[-1], now_ms, "rejected")
                continue
            held[key.index] = self._find_runner(starts.values())
            if (step.job.record.id, key) not in self._held:
                self._log_hold(step, key, list(starts.values())[-1], now_ms)
        return held

    def _may_move(self, step: StepRun, start: UnansweredStart, now_ms: float) -> bool:
        """Return whether a start doesn't keep its task on a runner that rejects it."""
        settings = self._settings
        runner = self._runners.get(start.runner_id)
        if runner is None or runner.ended:
            return False
        if now_ms - runner.contact_ms > settings.suspect_after_ms:
            return False
        task = step.tasks.get(start.run.key.index)
        if task is not None and start.runner_id in task.avoided_runners:
            return start.is_rejected(runner)
        return now_ms - start.find_rejected_ms(runner) >= settings.rejected_hold_ms

    def _find_runner(self, starts: Iterable[UnansweredStart]) -> str:
        runner_ids = {start.runner_id for start in starts}
        return runner_ids.pop() if len(runner_ids) == 1 else ""

    def _log_hold(self, step: StepRun, key: TaskKey, start: UnansweredStart, now_ms: float) -> None:
        self.held_count += 1
        self._held[step.job.record.id, key] = _HeldTask(since_ms=now_ms, runner_id=start.runner_id)
        self._log(
            "task held for a start without a response",
            run=str(start.run),
            runner=start.runner_id,
            born=start.started_unix_ms,
            left_ms=self._compute_left_ms(start, now_ms),
            inherited=start.is_inherited,
        )

    def is_rejected(self, step: StepRun, index: int, runner: Runner) -> bool:
        """Return whether a runner's present incarnation rejects the late starts of a task."""
        starts = self._by_step[step.id][step.build_key(index)].values()
        return all(start.is_rejected(runner) for start in starts)

    def record_resumption(self, run_id: RunId, now_ms: float) -> None:
        """Record that a task, if it is held, starts again on the runner of its unanswered start."""
        self._log_release(run_id, now_ms, "same runner")


def _remove_nested(table: dict, key: object, run_id: RunId) -> None:
    del table[key][run_id]
    if not table[key]:
        del table[key]
