"""Quarantine of workers that fail every task, and the probes that end it."""

from __future__ import annotations

from collections import OrderedDict

import attrs

# Number of distinct tasks that must fail in a row on a worker before it is quarantined.
_QUARANTINE_FAILURES = 3
# A job that has failed on this many workers without a success is considered faulty itself, and
# its failures no longer count against workers.
_FAULTY_JOB_WORKERS = 3
# Maximum fraction of a shard's live workers that may be quarantined at once, so that a scheduler
# fault that looks like broken workers can't empty the shard. In a shard with at least two live
# workers, one may always be quarantined.
_MAX_QUARANTINED_SHARE = 1 / 3
# Time from the quarantine to the first probe. It doubles, up to the maximum, with each failure
# during the quarantine.
_INITIAL_PROBE_DELAY_MS = 10_000.0
_MAX_PROBE_DELAY_MS = 300_000.0
# Number of services and jobs whose failures are tracked; the one whose last failure is oldest is
# dropped first.
_MAX_JOBS = 512


@attrs.define
class _WorkerHealth:
    """Failures of one worker since its last success.

    Parameters
    ----------
    failed_tasks : dict
        Distinct tasks that have failed, as keys.
    probe_at_ms : float
        Time at which the next probe is due.
    probe_delay_ms : float
        Time between the last failure and the next probe.
    probe : tuple of (str, int) or None
        Task and attempt of the probe that was placed and has not ended.
    """

    failed_tasks: dict[str, None] = attrs.field(factory=dict)
    is_quarantined: bool = False
    probe_at_ms: float = 0.0
    probe_delay_ms: float = _INITIAL_PROBE_DELAY_MS
    probe: tuple[str, int] | None = None


class HealthTable:
    """Failure history of the workers of one shard.

    It is kept in memory only: a new shard owner starts with an empty table.
    """

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerHealth] = {}
        self._failed_workers_by_job: OrderedDict[str, set[str]] = OrderedDict()

    def remove_worker(self, worker: str) -> None:
        """Discard the history of a worker that is gone or has restarted."""
        self._workers.pop(worker, None)

    def is_quarantined(self, worker: str) -> bool:
        """Return whether a worker is quarantined and receives only probes."""
        health = self._workers.get(worker)
        return health is not None and health.is_quarantined

    def is_probe_due(self, worker: str, now_ms: float) -> bool:
        """Return whether a quarantined worker may receive one task as a probe now."""
        health = self._workers.get(worker)
        return (
            health is not None
            and health.is_quarantined
            and health.probe is None
            and now_ms >= health.probe_at_ms
        )

    def start_probe(self, worker: str, task: str, attempt: int) -> None:
        """Record that an attempt was placed on a quarantined worker as a probe."""
        self._workers[worker].probe = (task, attempt)

    def end_inconclusive_probe(self, worker: str, task: str, attempt: int, now_ms: float) -> None:
        """Record that an attempt ended in a way that says nothing about its worker.

        If the attempt was the worker's probe, another probe is due at once.
        """
        health = self._workers.get(worker)
        if health is not None and health.probe == (task, attempt):
            health.probe = None
            health.probe_at_ms = now_ms

    def observe_success(self, worker: str, key: tuple[str, int], declared: str) -> None:
        """Record an attempt that completed or has run for long enough to count as a success.

        Only the success of its probe ends a worker's quarantine, because attempts that started
        earlier don't show that new ones can start.
        """
        self._failed_workers_by_job.pop(declared, None)
        health = self._workers.get(worker)
        if health is not None and (not health.is_quarantined or health.probe == key):
            del self._workers[worker]

    def observe_failure(
        self, worker: str, task: str, declared: str, *, now_ms: float, live_worker_count: int
    ) -> bool:
        """Record a failed task and return whether it caused the worker to be quarantined.

        Parameters
        ----------
        live_worker_count : int
            Number of live workers in the shard.
        """
        health = self._workers.setdefault(worker, _WorkerHealth())
        if health.is_quarantined:
            health.probe = None
            health.probe_delay_ms = min(2 * health.probe_delay_ms, _MAX_PROBE_DELAY_MS)
            health.probe_at_ms = now_ms + health.probe_delay_ms
            return False
        failed_workers = self._failed_workers_by_job.setdefault(declared, set())
        failed_workers.add(worker)
        self._failed_workers_by_job.move_to_end(declared)
        while len(self._failed_workers_by_job) > _MAX_JOBS:
            self._failed_workers_by_job.popitem(last=False)
        if len(failed_workers) >= _FAULTY_JOB_WORKERS:
            return False
        health.failed_tasks[task] = None
        quarantined_count = sum(other.is_quarantined for other in self._workers.values())
        if (
            len(health.failed_tasks) < _QUARANTINE_FAILURES
            or quarantined_count + 1 > max(1, int(live_worker_count * _MAX_QUARANTINED_SHARE))
            or live_worker_count < 2
        ):
            return False
        health.is_quarantined = True
        health.probe_at_ms = now_ms + health.probe_delay_ms
        return True
