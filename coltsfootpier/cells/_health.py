"""Quarantine of runners on which runs fail or stall.

A runner may respond to health checks and report requests while every run on it fails. Failed runs
count against the attempts of a job, so such a runner is quarantined after failures of several jobs
and then gets one run at a time until one succeeds.
"""

from __future__ import annotations

from collections.abc import Iterable

from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner


def record_success(runner: Runner) -> None:
    """Clear the recorded failures and the probation of a runner."""
    runner.failed_job_ids.clear()
    runner.on_probation = False
    runner.quarantine_ms = 0.0


def record_failure(runner: Runner, job_id: str) -> None:
    """Record a failed run; several of one job count once, because the job may be at fault."""
    if job_id not in runner.failed_job_ids:
        runner.failed_job_ids.append(job_id)


def quarantine_runner(
    runner: Runner, runners: Iterable[Runner], now_ms: float, settings: CellSettings
) -> bool:
    """Quarantine a runner unless too many are already; return whether it was quarantined.

    Parameters
    ----------
    runner : Runner
        The runner on which runs failed or stalled.
    runners : iterable of Runner
        All runners of the cell.
    now_ms : float
        Local time.
    settings : CellSettings
        Limits.
    """
    registered = [other for other in runners if other.is_registered]
    quarantined = sum(
        other.quarantined_until_ms > now_ms or other.on_probation for other in registered
    )
    if quarantined + 1 > max(1.0, settings.aside_share * len(registered)):
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
