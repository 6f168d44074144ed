"""Failure history that tells faulty jobs from faulty workers."""

from __future__ import annotations

from collections.abc import Mapping

from coltsfootpier.declaration import TaskSpec
from coltsfootpier.dispatch._ledger import Entry
from coltsfootpier.dispatch._link import ShardLink
from coltsfootpier.placement import fits

# A job that fails on this many distinct credible workers is considered faulty.
_MIN_CREDIBLE_FAILURES = 3
# Failures on workers that also fail other jobs don't count, but a job that fails on this many
# distinct workers is considered faulty in any case.
_MAX_FAILURES = 10


class FailureTable:
    """Jobs that have failed on each worker since its last success.

    Parameters
    ----------
    links : mapping of str to ShardLink
        Shards, which report the workers that they have quarantined.
    """

    def __init__(self, links: Mapping[str, ShardLink]) -> None:
        self._links = links
        self._failed_jobs: dict[str, set[str]] = {}

    def observe_success(self, worker: str) -> None:
        """Record that a task completed on a worker."""
        self._failed_jobs.pop(worker, None)

    def observe_failure(self, worker: str, declared: str) -> None:
        """Record that a task failed on a worker."""
        self._failed_jobs.setdefault(worker, set()).add(declared)

    def is_at_fault(self, declared: str, workers: tuple[str, ...]) -> bool:
        """Return whether a task that failed on `workers` is considered faulty."""
        credible = sum(self._is_credible(worker, declared) for worker in workers)
        return credible >= _MIN_CREDIBLE_FAILURES or len(workers) >= _MAX_FAILURES

    def list_avoided(self, spec: TaskSpec, entry: Entry) -> tuple[str, ...]:
        """Return the workers on which a task must not be retried.

        If no other worker is large enough, the task may run again where it failed.
        """
        if not entry.failed_workers:
            return ()
        has_other = any(
            fits(spec.size, worker.size) and name not in entry.failed_workers
            for link in self._links.values()
            for name, worker in link.workers.items()
        )
        return entry.failed_workers if has_other else ()

    def _is_credible(self, worker: str, declared: str) -> bool:
        # A failure on a worker that also fails other jobs is no evidence against this job.
        quarantined = any(
            link.workers[worker].set_aside
            for link in self._links.values()
            if worker in link.workers
        )
        return not quarantined and not self._failed_jobs.get(worker, set()) - {declared}
