"""Entries of a shard record, and the owner's in-memory view of workers."""

from __future__ import annotations

import attrs

from coltsfootpier.declaration import TaskSpec
from coltsfootpier.exceptions import InvariantError
from coltsfootpier.placement._policies import Size
from coltsfootpier.platform import Vm
from coltsfootpier.workers import SyncReply, TaskReport


class OvercommitError(InvariantError):
    """Error raised when the tasks charged to a worker exceed its capacity."""


@attrs.frozen
class StaleExchange:
    """Rejection of an exchange request with a wrong epoch or an old sequence number."""

    reason: str


@attrs.frozen(kw_only=True)
class Placement:
    """Shard record entry for one attempt of a task.

    Parameters
    ----------
    state : str
        ``accepted`` (no worker yet), ``placed``, ``stopping``, ``orphaned`` (reported as
        released, but still charged to its worker) or ``released``.
    worker, incarnation : str
        Worker, and its incarnation, on which the attempt was placed; empty before placement.
    avoid : tuple of str
        Workers on which the task has failed.
    """

    task: str
    attempt: int
    spec: TaskSpec
    state: str = "accepted"
    worker: str = ""
    incarnation: str = ""
    outcome: str = ""
    reason: str = ""
    checkpoint: str = ""
    avoid: tuple[str, ...] = ()

    @property
    def is_charged(self) -> bool:
        """Whether the attempt counts against its worker's capacity."""
        return self.state in ("placed", "stopping", "orphaned")


@attrs.frozen
class Progress:
    """Time at which an attempt was first seen running, and its newest checkpoint.

    Parameters
    ----------
    first_seen_ms : float
        Time at which the attempt was first reported as running.
    last_saved_ms : float
        Time at which the newest checkpoint was first reported; `first_seen_ms` before that.
    is_counted_as_success : bool
        Whether the attempt has already counted as a success for its worker.
    """

    first_seen_ms: float
    checkpoint: str
    last_saved_ms: float
    is_counted_as_success: bool = False


@attrs.define(kw_only=True)
class WorkerView:
    """State of a worker as last reported to the shard owner; not part of the record.

    Parameters
    ----------
    lease_end_ms : float
        Time, on the owner's clock, by which every lease that this owner may have granted has
        expired.
    worker_now_ms : float
        Time of the last report, on the worker's clock.
    received_ms : float
        Time at which the last report was received, on the owner's clock; minus infinity before the
        first.
    reports : dict
        Attempts in the last report, by task and attempt number.
    progress : dict
        `Progress` of each running attempt.
    recent_starts_ms : dict
        Time at which each start command of the last second was first sent.
    """

    vm: Vm
    lease_end_ms: float = float("-inf")
    incarnation: str = ""
    size: Size = (0.0, 0, 0)
    worker_now_ms: float = 0.0
    received_ms: float = float("-inf")
    reports: dict[tuple[str, int], TaskReport] = attrs.field(factory=dict)
    progress: dict[tuple[str, int], Progress] = attrs.field(factory=dict)
    recent_starts_ms: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def apply_reply(self, reply: SyncReply, now_ms: float) -> None:
        """Update the view with a report of the worker."""
        self.incarnation = reply.incarnation
        self.size = (reply.cores, reply.memory_mb, reply.accelerators)
        self.worker_now_ms = reply.now_ms
        self.received_ms = now_ms
        self.reports = {(report.task, report.attempt): report for report in reply.tasks}
        progress: dict[tuple[str, int], Progress] = {}
        for key, report in self.reports.items():
            attempt_progress = self.progress.get(key)
            if report.state != "running":
                continue
            if attempt_progress is None:
                attempt_progress = Progress(now_ms, report.checkpoint, now_ms)
            elif attempt_progress.checkpoint != report.checkpoint:
                attempt_progress = attrs.evolve(
                    attempt_progress, checkpoint=report.checkpoint, last_saved_ms=now_ms
                )
            progress[key] = attempt_progress
        self.progress = progress

    def mark_successes(self, now_ms: float, after_ms: float) -> list[tuple[str, int]]:
        """Mark and return the attempts that have run for `after_ms` since they were first seen."""
        new_successes = [
            key
            for key, progress in self.progress.items()
            if not progress.is_counted_as_success and now_ms - progress.first_seen_ms >= after_ms
        ]
        for key in new_successes:
            self.progress[key] = attrs.evolve(self.progress[key], is_counted_as_success=True)
        return new_successes

    def compute_unsaved_ms(self, key: tuple[str, int], now_ms: float) -> float:
        """Return the run time, in milliseconds, since the attempt's start or newest checkpoint."""
        progress = self.progress.get(key)
        return now_ms - progress.last_saved_ms if progress else 0.0

    def admit_start(self, key: tuple[str, int], now_ms: float, limit: int) -> bool:
        """Return whether a start command may be sent, and count it if it is new.

        At most `limit` new commands are admitted per second; repeated ones don't count.
        """
        self.recent_starts_ms = {
            started_key: sent_ms
            for started_key, sent_ms in self.recent_starts_ms.items()
            if now_ms - sent_ms < 1_000.0
        }
        if key in self.recent_starts_ms:
            return True
        if len(self.recent_starts_ms) >= limit:
            return False
        self.recent_starts_ms[key] = now_ms
        return True
