"""Failure history that distinguishes faulty jobs from faulty workers."""

from __future__ import annotations

from collections.abc import Mapping

from coltsfootpier.declaration import TaskSpec
from coltsfootpier.dispatch._ledger import Entry
from coltsfootpier.dispatch._link import ShardLink
from coltsfootpier.placement import fits

# A task that fails on this many distinct workers is considered faulty. Failures on workers that are
# quarantined or on which other jobs fail too don't count.
_MIN_CREDIBLE_FAILURES = 3
# A task that fails on this many distinct workers is considered faulty in any case.
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
        self._failed_jobs_by_worker: dict[str, set[str]] = {}

    def observe_success(self, worker: str) -> None:
        """Record that a task completed on a worker."""
        self._failed_jobs_by_worker.pop(worker, None)

    def observe_failure(self, worker: str, declared: str) -> None:
        """Record that a task failed on a worker."""
        self._failed_jobs_by_worker.setdefault(worker, set()).add(declared)

    def is_faulty(self, declared: str, workers: tuple[str, ...]) -> bool:
        """Return whether a task of a job is considered faulty because it failed on `workers`."""
        credible = sum(self._is_credible(worker, declared) for worker in workers)
        return credible >= _MIN_CREDIBLE_FAILURES or len(workers) >= _MAX_FAILURES

    def list_avoided(self, spec: TaskSpec, entry: Entry) -> tuple[str, ...]:
        """Return the workers on which a task failed and must not be retried.

        If no other worker is large enough, the task may run again where it failed.
        """
        if not entry.failed_workers:
            return ()
        has_other_worker = any(
            fits(spec.size, worker.size) and name not in entry.failed_workers
            for link in self._links.values()
            for name, worker in link.workers.items()
        )
        return entry.failed_workers if has_other_worker else ()

    def _is_credible(self, worker: str, declared: str) -> bool:
        # A failure on a worker on which other jobs fail too is no evidence against this job.
        is_quarantined = any(
            link.workers[worker].set_aside
            for link in self._links.values()
            if worker in link.workers
        )
        return not is_quarantined and not self._failed_jobs_by_worker.get(worker, set()) - {
            declared
        }
