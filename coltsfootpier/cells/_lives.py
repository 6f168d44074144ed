"""Runners whose life the platform lists as over.

The load that it answers: a tenth of the runners crash at once, or a new owner takes over while some
of those that earlier owners used are gone. What ran there has to wait until it has surely lapsed,
4 s after the last contact, and after a change of owner so does every job of before. The platform's
listing of worker VMs names the runner that lives on each; a runner that it no longer names runs
nothing, while one that is only cut off is still named.
"""

from __future__ import annotations

from collections.abc import Container

from coltsfootpier.cells._fleet import Event, Fleet
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner


class LifeTracker:
    """Takes listings of the runners that live and releases what was on the others.

    Parameters
    ----------
    settings : CellSettings
        Limits.
    fleet : Fleet
        Runners.
    jobs : JobTable
        Jobs.
    log : callable
        Takes an event's name and fields.
    """

    def __init__(self, *, settings: CellSettings, fleet: Fleet, jobs: JobTable, log: Event) -> None:
        self._settings = settings
        self._fleet = fleet
        self._jobs = jobs
        self._log = log

    def has_suspects(self, now_ms: float) -> bool:
        """Return whether a listing may tell that a runner with work has ended."""
        return any(
            (runner.runs or runner_id in self._fleet.inherited)
            and now_ms - runner.contact_ms > self._settings.suspect_after_ms
            for runner_id, runner in self._fleet.runners.items()
        )

    def take_listing(self, living: Container[str], *, requested_ms: float) -> bool:
        """Take a complete listing.

        Parameters
        ----------
        living : container of str
            Runners that live on a worker VM which is up.
        asked_ms : float
            Local time before the listing was asked for.

        Returns
        -------
        bool
            Whether a runner has ended.
        """
        ended = False
        for runner_id, runner in self._fleet.runners.items():
            if runner.ended:
                continue
            is_silent = requested_ms - runner.contact_ms > self._settings.suspect_after_ms
            if runner_id in living or not is_silent:
                runner.missing_ms = float("inf")
            elif runner.missing_ms < requested_ms:
                # Pages of a listing are not a snapshot, so one that doesn't name it isn't enough.
                self._end(runner)
                ended = True
            else:
                runner.missing_ms = requested_ms
        return ended

    def _end(self, runner: Runner) -> None:
        runs = end_runner(runner, fleet=self._fleet, jobs=self._jobs)
        self._log("runner ended", runner=runner.entry.id, runs=runs)


def end_runner(runner: Runner, *, fleet: Fleet, jobs: JobTable) -> int:
    """Release what was on a runner whose life is over; returns the number of its runs."""
    runs = fleet.end(runner)
    for run in runs:
        jobs.requeue(run.id)
    return len(runs)
