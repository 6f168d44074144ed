"""Commands for a worker, derived from the durable record and the worker's report."""

from __future__ import annotations

from collections.abc import Iterable

from coltsfootpier.placement._views import Placement, WorkerView
from coltsfootpier.workers import Command


def choose_command_kind(entry: Placement, view: WorkerView, may_start: bool) -> str:
    """Return the kind of command to send for an attempt, or an empty string for none."""
    running = (entry.task, entry.attempt) in view.reports
    if entry.state in ("stopping", "orphaned"):
        return "stop" if may_start else ""
    if running:
        return "renew"
    return "start" if may_start else ""


def plan_cleanup(
    held_entries: Iterable[Placement], view: WorkerView, epoch: int
) -> Iterable[Command]:
    """Yield commands that stop or forget reported attempts without a charged record entry."""
    known = {(entry.task, entry.attempt) for entry in held_entries if entry.charged}
    for (task, attempt), report in view.reports.items():
        if (task, attempt) not in known:
            kind = "forget" if report.state == "ended" else "stop"
            yield Command(kind=kind, task=task, attempt=attempt, epoch=epoch)
