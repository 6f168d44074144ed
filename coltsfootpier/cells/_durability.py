"""Order in which changed jobs are written to the store.

A change holds about twenty jobs, and each end of a task changes one. In a burst of jobs with tens
of tasks, a hundred jobs change faster than they are written, while callers wait for the record of
their new job or for the final state of an old one.
"""

from __future__ import annotations

from itertools import chain, islice

from coltsfootpier.cells._state import Job

# Part of each change that is left to the progress of jobs while callers wait for other records, so
# that runners can forget their ended runs.
_PROGRESS_SHARE = 0.25


class DirtyJobs:
    """Jobs with changes that aren't durable.

    Jobs that callers wait for go first: new ones, then those in a final state. Within each group
    the one that has waited longest goes first.
    """

    def __init__(self) -> None:
        self._unsaved: dict[str, Job] = {}
        self._final: dict[str, Job] = {}
        self._progressed: dict[str, Job] = {}

    def __len__(self) -> int:
        return len(self._unsaved) + len(self._final) + len(self._progressed)

    def add(self, job: Job) -> None:
        """Add a job after a change; one that waits already keeps its place in its group."""
        if job.durable_version == 0:
            group = self._unsaved
        elif job.is_open:
            group = self._progressed
        else:
            group = self._final
        if job.record.id not in group:
            self.remove(job.record.id)
            group[job.record.id] = job

    def remove(self, job_id: str) -> None:
        """Remove a job that was written or withdrawn."""
        for group in (self._unsaved, self._final, self._progressed):
            group.pop(job_id, None)

    def select(self, limit: int) -> list[Job]:
        """Return the jobs to write next, at most `limit`."""
        reserved = min(len(self._progressed), int(_PROGRESS_SHARE * limit))
        selected = list(
            islice(chain(self._unsaved.values(), self._final.values()), limit - reserved)
        )
        selected += islice(self._progressed.values(), limit - len(selected))
        return selected

    def list_unsaved(self) -> list[Job]:
        """Return the jobs that have no durable record yet."""
        return list(self._unsaved.values())
