"""Order in which the occurrences of scheduled jobs begin.

An occurrence that isn't due is a number and a due time, so that a plan costs what is due. Thousands
of occurrences may be due at once, for example after an outage. They begin as earlier ones end, so
that a plan stays short.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterator

from coltsfootpier.cells._job_memory import JobMemory
from coltsfootpier.cells._state import Job


class OccurrenceSchedule:
    """Open jobs with a schedule, and which of their occurrences begin next.

    The most urgent queue goes first, then the earliest due time. Each job may always have one
    occurrence, so that it doesn't wait for others that fit on no runner.

    Parameters
    ----------
    max_due_tasks : int
        Number of tasks of the occurrences that have begun from which a job with one of them begins
        no further one. Those of less urgent queues don't count.
    memory : JobMemory
        Memory of all jobs, which has to have room for a further one as well.
    """

    def __init__(self, *, max_due_tasks: int, memory: JobMemory) -> None:
        self._max_due_tasks = max_due_tasks
        self._memory = memory
        self._jobs: dict[str, Job] = {}
        # No occurrence that hasn't begun is due before that time.
        self._next_due_unix_ms = float("inf")

    def add(self, job: Job) -> None:
        """Add an open job."""
        self._jobs[job.record.id] = job
        self._next_due_unix_ms = min(self._next_due_unix_ms, job.next_due_unix_ms)

    def remove(self, job: Job) -> None:
        """Remove a job that is closed or withdrawn."""
        self._jobs.pop(job.record.id, None)

    def iter_due(self, unix_ms: float) -> Iterator[tuple[Job, int]]:
        """Iterate over the jobs and numbers of the occurrences that begin now.

        The caller adds each one to its job before it asks for the next one.
        """
        if unix_ms < self._next_due_unix_ms:
            return
        open_tasks: Counter[int] = Counter()
        due: list[tuple[int, float, int, Job]] = []
        for order, job in enumerate(self._jobs.values()):
            priority = job.queue.priority
            open_tasks[priority] += job.count_due_tasks()
            if job.next_due_unix_ms <= unix_ms:
                due.append((priority, job.next_due_unix_ms, order, job))
        heapq.heapify(due)
        while due:
            priority, _, order, job = heapq.heappop(due)
            ahead = sum(count for other, count in open_tasks.items() if other <= priority)
            has_room = ahead < self._max_due_tasks and self._memory.has_room_for_occurrence(job)
            if job.occurrences and not has_room:
                continue
            spec = job.record.spec
            number = spec.find_occurrence(job.next_occurrence)
            job.next_occurrence += 1
            yield job, number
            if number in job.occurrences:
                open_tasks[priority] += spec.occurrence_task_count
            if job.next_due_unix_ms <= unix_ms:
                heapq.heappush(due, (priority, job.next_due_unix_ms, order, job))
        self._next_due_unix_ms = min(
            (job.next_due_unix_ms for job in self._jobs.values()), default=float("inf")
        )
