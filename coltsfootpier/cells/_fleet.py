"""Runners of a cell and what is present on each."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from coltsfootpier.cells._messages import RunId, RunnerEntry
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Run, Runner, RunState, StepRun, Task
from coltsfootpier.exceptions import InvariantError

Event = Callable[..., None]


class DoubleRunError(InvariantError):
    """A task would run twice at the same time."""


class CapacityError(InvariantError):
    """A runner would hold more than its declared capacity."""


class Fleet:
    """Owner of the runners of a cell and of the runs on them.

    Parameters
    ----------
    settings : CellSettings
        Limits.
    log : callable
        Takes an event's name and fields.
    """

    def __init__(self, *, settings: CellSettings, log: Event) -> None:
        self._settings = settings
        self._log = log
        self.runners: dict[str, Runner] = {}
        # Runners that an earlier owner used and that have not answered this owner yet.
        self.inherited: set[str] = set()

    def inherit(self, entries: Iterable[RunnerEntry], now_ms: float) -> None:
        """Add the runners that an earlier owner may have used."""
        lease_ms = self._settings.run_lease_ms * (1 + 2 * self._settings.clock_drift)
        for entry in entries:
            runner = Runner(entry=entry, listed=False, recorded=True)
            runner.lease_expiry_ms = runner.inherited_lapse_ms = now_ms + lease_ms
            self.runners[entry.id] = runner
            self.inherited.add(entry.id)

    def set_listed(self, entries: Iterable[RunnerEntry], now_ms: float) -> list[Run]:
        """Take the registry as it was read last; returns runs that are gone."""
        listed = {entry.id: entry for entry in entries}
        gone: list[Run] = []
        for runner_id, entry in listed.items():
            runner = self.runners.get(runner_id)
            if runner is None:
                runner = self.runners[runner_id] = Runner(entry=entry)
                self._log("runner joined", runner=runner_id, rack=entry.rack)
            if runner.started_unix_ms and entry.started_unix_ms > runner.started_unix_ms:
                gone += self.restart(runner, entry.started_unix_ms)
            if entry.draining and not runner.entry.draining:
                self._log("runner leaves", runner=runner_id, left_ms=entry.remaining_ms)
            runner.entry = entry
            runner.listed = True
        for runner_id, runner in list(self.runners.items()):
            if runner_id in listed:
                continue
            if runner.listed:
                self._log("runner left the registry", runner=runner_id, runs=len(runner.runs))
            runner.listed = False
            lapsed = runner.ended or now_ms > runner.lease_expiry_ms
            if not runner.runs and lapsed and runner_id not in self.inherited:
                del self.runners[runner_id]
        return gone

    def restart(self, runner: Runner, started_unix_ms: int) -> list[Run]:
        """Note that a runner has started again, with nothing; returns the runs that are gone."""
        self._log("runner restarted", runner=runner.entry.id, runs=len(runner.runs))
        runner.started_unix_ms = started_unix_ms
        runner.applied_end = 0
        runner.pending_ends.clear()
        runner.adopted = False
        return self.release(runner)

    def end(self, runner: Runner) -> list[Run]:
        """Note that the life of a runner is over; returns the runs that are gone."""
        runner.ended = True
        self.inherited.discard(runner.entry.id)
        return self.release(runner)

    def release(self, runner: Runner) -> list[Run]:
        """Remove all runs of a runner and return them."""
        runs = list(runner.runs.values())
        for run in runs:
            self.remove_run(run)
        return runs

    def add_run(self, runner: Runner, step: StepRun, run_id: RunId, now_ms: float) -> Run:
        """Add a run that is ordered or was found.

        Raises
        ------
        DoubleRunError
            If the task is present already and its step isn't speculative.
        """
        index = run_id.key.index
        task = step.tasks.setdefault(index, Task())
        if task.runs and not step.spec.speculative:
            raise DoubleRunError(f"{run_id} on {runner.entry.id} beside {task.runs[0].id}")
        run = Run(
            id=run_id,
            step_run=step,
            runner_id=runner.entry.id,
            state=RunState.STARTING,
            ordered_ms=now_ms,
            moved_ms=now_ms,
            slowed_ms=now_ms,
        )
        task.attempt = max(task.attempt, run_id.attempt)
        task.runs.append(run)
        runner.runs[run_id] = run
        runner.reserve(step.spec)
        step.spread[runner.entry.id] = step.spread.get(runner.entry.id, 0) + 1
        if index in step.waiting:
            step.waiting.remove(index)
        step.job.started = True
        return run

    def remove_run(self, run: Run) -> None:
        """Remove a run that has ended, or that never begins."""
        runner = self.runners[run.runner_id]
        if runner.runs.pop(run.id, None) is None:
            return
        runner.reserve(run.step, -1)
        run.step_run.spread[run.runner_id] -= 1
        run.task.runs.remove(run)

    def find_run(self, runner_id: str, run_id: RunId) -> Run | None:
        """Return a run that is present on a runner."""
        runner = self.runners.get(runner_id)
        return runner.runs.get(run_id) if runner is not None else None

    def assert_capacity(self, runner: Runner) -> None:
        """Check that a runner holds no more than its declared capacity.

        Raises
        ------
        CapacityError
            If it holds more.
        """
        entry = runner.entry
        if (
            runner.hard_cpu > entry.cpu_milli
            or runner.memory_mb > entry.memory_mb
            or runner.gpus > entry.gpus
        ):
            raise CapacityError(
                f"{entry.id}: {runner.hard_cpu} of {entry.cpu_milli} thousandths of a core, "
                f"{runner.memory_mb} of {entry.memory_mb} MB, {runner.gpus} of {entry.gpus} GPUs"
            )

    def set_lease_expiry(self, runner_id: str, lease_expiry_ms: float) -> None:
        """Note the local time from which nothing of this owner's runs on a runner any more."""
        runner = self.runners.get(runner_id)
        if runner is not None:
            runner.lease_expiry_ms = max(runner.inherited_lapse_ms, lease_expiry_ms)

    def mark_recorded(self, runner_ids: Iterable[str]) -> None:
        """Note which runners the store's list names."""
        for runner_id in runner_ids:
            runner = self.runners.get(runner_id)
            if runner is not None:
                runner.recorded = True

    def last_durable_end(self, runner_id: str) -> int:
        """Return the number up to which a runner may forget its ends."""
        runner = self.runners[runner_id]
        while runner.pending_ends:
            number, job, version = runner.pending_ends[0]
            if job.durable_version < version:
                return number - 1
            runner.pending_ends.popleft()
        return runner.applied_end

    def has_pending_ends(self, runner_id: str) -> bool:
        """Return whether ends of a runner wait for a durable record."""
        self.last_durable_end(runner_id)
        return bool(self.runners[runner_id].pending_ends)
