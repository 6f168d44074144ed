"""Quarantine of runners on which runs fail or stall.

A runner may respond to health checks and report requests while every run on it fails. Failed runs
count against the attempts of a job, so such a runner is quarantined after failures of several jobs
and then gets one run at a time until one succeeds.

Long-running tasks may fail at any time, and none ends as done. One that has been at work for a
while shows that its runner is sound, and its failure says nothing against it.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Run, Runner

# Progress of a long-running run that is at work.
_AT_WORK_PERCENT = 100.0


def record_success(runner: Runner) -> None:
    """Clear the recorded failures and the probation of a runner."""
    runner.failed_job_ids.clear()
    runner.on_probation = False
    runner.quarantine_ms = 0.0


def record_failure(runner: Runner, job_id: str) -> None:
    """Record a failed run; several of one job count once, because the job may be at fault."""
    if job_id not in runner.failed_job_ids:
        runner.failed_job_ids.append(job_id)


def record_work(runner: Runner, run: Run, now_ms: float, settings: CellSettings) -> None:
    """Count a long-running run as a success of its runner once it has been at work for a while."""
    if run.percent < _AT_WORK_PERCENT:
        run.at_work_since_ms = float("inf")
        return
    run.at_work_since_ms = min(run.at_work_since_ms, now_ms)
    if not run.is_proven and now_ms - run.at_work_since_ms >= settings.long_run_success_ms:
        run.is_proven = True
        record_success(runner)


def quarantine_runner(
    runner: Runner,
    peer_groups: Iterable[Collection[Runner]],
    now_ms: float,
    settings: CellSettings,
) -> bool:
    """Quarantine a runner unless too many are already; return whether it was quarantined.

    Parameters
    ----------
    runner : Runner
        The runner on which runs failed or stalled.
    peer_groups : iterable of collection of Runner
        Sets of registered runners with this one, each of which is all that some step can use.
    now_ms : float
        Local time.
    settings : CellSettings
        Limits.
    """
    for peers in peer_groups:
        quarantined = sum(
            other.quarantined_until_ms > now_ms or other.on_probation
            for other in peers
            if other is not runner
        )
        limit = min(len(peers) - 1, max(1.0, settings.aside_share * len(peers)))
        if quarantined + 1 > limit:
            return False
    runner.quarantine_ms = min(
        settings.aside_max_ms, max(settings.aside_ms, 2 * runner.quarantine_ms)
    )
    runner.quarantined_until_ms = now_ms + runner.quarantine_ms
    runner.on_probation = True
    runner.probe_run = None
    runner.failed_job_ids.clear()
    return True


def is_suspect(runner: Runner, settings: CellSettings) -> bool:
    """Return whether runs of several jobs failed in a row; on probation, one failure suffices."""
    needed = 1 if runner.on_probation else settings.suspect_failures
    return len(runner.failed_job_ids) >= needed
