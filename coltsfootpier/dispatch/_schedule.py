"""Creation of the numbered runs of periodic jobs."""

from __future__ import annotations

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.declaration import Declaration, Job
from coltsfootpier.dispatch._ledger import FINAL_STATES, Entry, Ledger

# The elapsed time since the creation of a run is recorded this many times per period, but with at
# least the minimum time between two records. A change of dispatcher delays a run by at most the
# time between two records plus the duration of the change.
_PROGRESS_STEPS_PER_PERIOD = 16
_MIN_PROGRESS_STEP_MS = 30_000.0
# Time between checks for due runs.
_CHECK_PERIOD_MS = 1_000.0


class PeriodicJobScheduler:
    """Scheduler that creates each run of a periodic job once, after the previous run has ended.

    The clocks of two dispatchers can't be compared, so the ledger stores no points in time. It
    stores the run number of each task and, with the first task of a job, the elapsed part of
    the period. A new dispatcher continues from there: a run may be late, but is never created
    twice. Due times that pass while a run is still in progress are counted as skipped.

    Parameters
    ----------
    clock : Clock
        Time source.
    ledger : Ledger
        Ledger of all tasks.
    """

    def __init__(self, *, clock: Clock, ledger: Ledger) -> None:
        self._clock = clock
        self._ledger = ledger
        self._jobs: dict[str, Job] = {}
        # Run number, recorded elapsed time and local time at which they were read, by job.
        self._baselines: dict[str, tuple[int, float, float]] = {}
        self._last_check_ms = float("-inf")

    def set_declaration(self, declaration: Declaration) -> None:
        """Set the periodic jobs to those of a declaration and complete partially written runs."""
        self._jobs = {name: job for name, job in declaration.jobs.items() if job.every_ms > 0}
        self._baselines = {
            name: baseline for name, baseline in self._baselines.items() if name in self._jobs
        }
        for job in self._jobs.values():
            self._complete_partial_run(job)

    def create_due_runs(self) -> None:
        """Create the runs that are due, and record the elapsed time of the others."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_check_ms < _CHECK_PERIOD_MS:
            return
        self._last_check_ms = now_ms
        for job in self._jobs.values():
            self._advance_job(job, now_ms)

    def _advance_job(self, job: Job, now_ms: float) -> None:
        first = self._ledger.get(_build_task_name(job, 0))
        if first is None:
            return
        baseline = self._baselines.get(job.name)
        if baseline is None or baseline[0] != first.run:
            baseline = self._baselines[job.name] = (first.run, first.elapsed_ms, now_ms)
        elapsed_ms = baseline[1] + now_ms - baseline[2]
        if elapsed_ms >= job.every_ms and self._has_ended(job):
            due_count = int(elapsed_ms // job.every_ms)
            self._create_run(job, first, elapsed_ms - due_count * job.every_ms, due_count - 1)
        elif elapsed_ms - first.elapsed_ms >= max(
            job.every_ms / _PROGRESS_STEPS_PER_PERIOD, _MIN_PROGRESS_STEP_MS
        ):
            self._ledger.put(_build_task_name(job, 0), attrs.evolve(first, elapsed_ms=elapsed_ms))

    def _has_ended(self, job: Job) -> bool:
        entries = (self._ledger.get(_build_task_name(job, index)) for index in range(job.tasks))
        return all(entry is not None and entry.state in FINAL_STATES for entry in entries)

    def _create_run(self, job: Job, first: Entry, elapsed_ms: float, skipped: int) -> None:
        run = first.run + 1
        for index in range(job.tasks):
            entry = self._ledger.get(_build_task_name(job, index))
            self._ledger.put(_build_task_name(job, index), _build_run_entry(entry, run))
        entry = self._ledger.get(_build_task_name(job, 0))
        total_skipped = first.skipped + skipped
        self._ledger.put(
            _build_task_name(job, 0),
            attrs.evolve(entry, elapsed_ms=elapsed_ms, skipped=total_skipped),
        )

    def _complete_partial_run(self, job: Job) -> None:
        # The tasks of a run are spread over records that are written one by one, so a crash can
        # leave a run partially written. It can be completed, because all tasks of the previous
        # run had ended before it was created.
        entries = {
            index: self._ledger.get(_build_task_name(job, index)) for index in range(job.tasks)
        }
        run = max((entry.run for entry in entries.values() if entry), default=1)
        for index, entry in entries.items():
            if entry is None or entry.run == run:
                continue
            if entry.state in FINAL_STATES or entry.attempt == 0:
                skipped = entry.skipped if index == 0 else 0
                self._ledger.put(
                    _build_task_name(job, index),
                    attrs.evolve(_build_run_entry(entry, run), skipped=skipped),
                )


def _build_task_name(job: Job, index: int) -> str:
    return f"job/{job.name}/{index}"


def _build_run_entry(entry: Entry, run: int) -> Entry:
    # Attempt numbers continue across runs, so that a delayed message of an earlier run can't be
    # mistaken for one of this run.
    return Entry(state="waiting", attempt=entry.attempt, run=run)
