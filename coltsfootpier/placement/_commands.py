"""Commands for a worker, derived from the durable record and the worker's report."""

from __future__ import annotations

from collections.abc import Iterable

from coltsfootpier.placement._views import Placement, WorkerView
from coltsfootpier.workers import Command


def choose_command_kind(entry: Placement, view: WorkerView, may_start: bool) -> str:
    """Return the kind of command to send for an attempt, or an empty string for none.

    Without `may_start` the only kind is ``renew``: this daemon may no longer own the shard, and
    another owner may have decided differently about starts and stops.
    """
    is_reported = (entry.task, entry.attempt) in view.reports
    if entry.state in ("stopping", "orphaned"):
        return "stop" if may_start else ""
    if is_reported:
        return "renew"
    return "start" if may_start else ""


def plan_cleanup(
    held_entries: Iterable[Placement], view: WorkerView, epoch: int
) -> Iterable[Command]:
    """Yield a command for each reported attempt that no charged record entry covers.

    Running attempts are stopped. Ended ones are forgotten, so that the worker no longer reports
    them.
    """
    known = {(entry.task, entry.attempt) for entry in held_entries if entry.is_charged}
    for (task, attempt), report in view.reports.items():
        if (task, attempt) not in known:
            kind = "forget" if report.state == "ended" else "stop"
            yield Command(kind=kind, task=task, attempt=attempt, epoch=epoch)
