"""Starts without a response, which a runner may still carry out.

The cell repeats such a start under the same number of the attempt while the incarnation lives to
which it was sent: a runner that has the run already confirms it. So at most one run comes of all
the calls, on this incarnation or on one that starts later under the same identifier.

An incarnation that was told to reject a late start rejects it, but a later one doesn't know that.
So the task may start again only on the same runner, and only while the present incarnation rejects
the late start. This holds until the start can't be carried out any more: its time has passed, its
only call has been carried out, another runner responds at the address that it was sent to, or the
runner's VM is gone or has another runner. Once its time has passed, a run that it has started on an
unreachable runner may go on for the longest lease.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from coltsfootpier.cells._lease_expiry import compute_longest_lease_ms
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
        Time for which it might still be carried out when it was recorded; negative if only its run
        may go on.
    is_repeated : bool
        Whether it was sent more than once.
    """

    run: RunId
    runner_id: str
    address: str
    left_ms: float
    is_repeated: bool = False


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
    is_inherited : bool
        Whether an earlier owner sent it; each incarnation that has responded rejects it then.
    is_repeated : bool
        Whether it was sent more than once. Once one call has been carried out, the others may still
        be by a later incarnation.
    """

    run: RunId
    runner_id: str
    address: str
    started_unix_ms: int
    open_ms: float
    is_settled: bool = False
    stop_confirmed_ms: float = float("inf")
    rejected_by: int | None = None
    is_inherited: bool = False
    is_repeated: bool = False

    def is_rejected(self, runner: Runner) -> bool:
        """Return whether the present incarnation of its runner rejects it."""
        if self.is_inherited:
            return runner.adopted
        return self.rejected_by == runner.started_unix_ms


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
        # Until when an earlier owner may send calls.
        self._earlier_acts_until_ms = float("-inf")
        self.held_count = 0

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def held_tasks(self) -> int:
        """Number of tasks that are held now."""
        return len(self._held)

    def record(self, run_id: RunId, runner: Runner, now_ms: float) -> None:
        """Record a start that is about to be sent, or sent once more to the same incarnation."""
        start = self._starts.pop(run_id, None)
        if start is not None:
            start.is_repeated, start.is_settled, start.open_ms = True, False, now_ms
            self._starts[run_id] = start
            return
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
        self._earlier_acts_until_ms = now_ms + self._settings.proof_validity_ms
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
                    is_repeated=start.is_repeated,
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
                is_repeated=start.is_repeated,
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
        if answered and not start.is_repeated:
            self._remove(start, now_ms, "answered")
            return
        start.is_settled = True
        if answered:
            # The call before had no response.
            return
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
        ended = {row.run for row in report.ended if row.run in starts}
        for start in list(starts.values()):
            if start.run in ended or start.run in present:
                if not start.is_repeated:
                    self._remove(start, now_ms, "carried out")
                elif start.run in ended:
                    # A runner rejects the calls of a run that has ended there.
                    start.rejected_by = report.started_unix_ms
            elif report.is_complete and start.stop_confirmed_ms < report.sent_ms:
                # The report was requested after the stop was confirmed and doesn't list the run.
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
        """Discard the starts that are no longer carried out and have no run that isn't known."""
        for start in list(self._starts.values()):
            if now_ms < start.open_ms + self._settings.late_call_ms:
                return
            if self._is_run_known(start) or now_ms >= self._compute_run_end_ms(start):
                self._remove(start, now_ms, "expired")

    def _is_run_known(self, start: UnansweredStart) -> bool:
        """Return whether a report or listings from after its last moment show what became of it."""
        expired_ms = start.open_ms + self._settings.late_call_ms
        runner = self._runners.get(start.runner_id)
        if runner is None:
            return False
        return runner.accepted_ms > expired_ms or runner.ended_ms > expired_ms

    def _compute_run_end_ms(self, start: UnansweredStart) -> float:
        """Return the local time by which the run of a start has ended on an unreachable runner.

        A later incarnation may carry out the start, and any other call without a response, at the
        last moment. A deadline on an earlier clock then gives the longest lease.
        """
        settings = self._settings
        last_call_ms = max(other.open_ms for other in self._by_runner[start.runner_id].values())
        if start.is_inherited:
            last_call_ms = max(last_call_ms, self._earlier_acts_until_ms)
        runner = self._runners.get(start.runner_id)
        if runner is not None:
            last_call_ms = max(last_call_ms, runner.deadline_sent_ms)
        return last_call_ms + settings.late_call_ms + compute_longest_lease_ms(settings)

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
        """Return whether a further start of a run's task may still be carried out."""
        tasks = self._by_step.get((run_id.job_id, *run_id.key[:2]), {})
        starts = tasks.get(run_id.key, {})
        return any(other != run_id or start.is_repeated for other, start in starts.items())

    def find(self, run_id: RunId) -> UnansweredStart | None:
        """Return a start that may still be carried out; None if it is none."""
        return self._starts.get(run_id)

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
        if not tasks:
            return {}
        held = {}
        for key, starts in tasks.items():
            if step.has_runs(key.index) or key in step.job.record.done:
                continue
            # Each of them may still be carried out, beside one run that is started now.
            if len(starts) < step.run_limit:
                continue
            held[key.index] = self._find_runner(starts.values())
            if (step.job.record.id, key) not in self._held:
                self._log_hold(step, key, list(starts.values())[-1], now_ms)
        return held

    def count_without_run(self, step: StepRun, index: int) -> int:
        """Return the number of a task's starts without a response that have no run in the fleet."""
        starts = self._by_step.get(step.id, {}).get(step.build_key(index), {})
        task = step.tasks.get(index)
        present = {run.id for run in task.runs} if task is not None else set()
        return sum(run_id not in present for run_id in starts)

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
