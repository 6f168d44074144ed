"""Estimated memory of jobs, which bounds how many are accepted.

Each owner loads all jobs of the store, so the bound has to hold for the smallest entry VM that may
become the next owner, and not only for the one that accepts a job.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from coltsfootpier.cells._state import Job
from coltsfootpier.jobs import JobSpec

# Memory of the smallest entry VM that the system is made for, in MB.
_SMALLEST_VM_MB = 200
_BYTES_PER_MB = 1024 * 1024
# Parts of the memory that are left to connections at least, and to what isn't estimated.
_CONNECTIONS_DIVISOR = 32
_RESERVE_DIVISOR = 8
# Memory of an owner without jobs: of the process, and for each runner with its runs.
_PROCESS_BYTES = 45 * _BYTES_PER_MB
_RUNNER_BYTES = 40_000
# Largest and smallest part of the memory that jobs may take.
_LARGEST_DIVISOR = 4
_SMALLEST_DIVISOR = 16
# Part of the bound for jobs with a schedule, which may wait for days before they run. The rest is
# left to jobs that end soon.
_SCHEDULED_DIVISOR = 2
# Memory in bytes of a job and its record without what depends on its specification, of a closed job
# until its state expires, of a step in a specification, of a step of an occurrence that has begun,
# and of each of its tasks. Runs aren't included: the capacity of the runners bounds them.
_JOB_BYTES = 1_600
_CLOSED_JOB_BYTES = 1_200
_STEP_SPEC_BYTES = 500
_STEP_BYTES = 1_300
_TASK_BYTES = 550
_REFERENCE_BYTES = 8


class JobMemory:
    """Estimated memory of the jobs of a cell, and its bound.

    Jobs share the memory of a process with the runners of the cell and with connections. Inherited
    jobs count and are never rejected.

    Parameters
    ----------
    memory_mb : int
        Memory of this entry VM in MB.
    count_runners : callable
        Returns the number of runners of the cell.

    Attributes
    ----------
    used_bytes, scheduled_bytes : int
        Memory in bytes of all jobs, and of the open ones with a schedule.
    """

    def __init__(self, memory_mb: int, count_runners: Callable[[], int]) -> None:
        self._vm_bytes = min(memory_mb, _SMALLEST_VM_MB) * _BYTES_PER_MB
        self._count_runners = count_runners
        self.used_bytes = self.scheduled_bytes = 0

    @property
    def max_bytes(self) -> int:
        """Bound on the memory of all jobs in bytes."""
        vm_bytes = self._vm_bytes
        kept = vm_bytes // _RESERVE_DIVISOR + vm_bytes // _CONNECTIONS_DIVISOR
        free = vm_bytes - kept - _PROCESS_BYTES - _RUNNER_BYTES * self._count_runners()
        return max(vm_bytes // _SMALLEST_DIVISOR, min(vm_bytes // _LARGEST_DIVISOR, free))

    @property
    def max_scheduled_bytes(self) -> int:
        """Bound on the memory of the open jobs with a schedule in bytes."""
        return self.max_bytes // _SCHEDULED_DIVISOR

    def has_room_for(self, spec: JobSpec) -> bool:
        """Return whether a new job fits in."""
        added = _estimate_idle_bytes(spec) + _estimate_occurrence_bytes(spec)
        if self.used_bytes + added > self.max_bytes:
            return False
        return not spec.occurrences or self.scheduled_bytes + added <= self.max_scheduled_bytes

    def has_room_for_occurrence(self, job: Job) -> bool:
        """Return whether a scheduled job with an occurrence may begin a further one."""
        added = _estimate_occurrence_bytes(job.record.spec)
        return self.scheduled_bytes + added <= self.max_scheduled_bytes

    def count(self, job: Job) -> None:
        """Count a job that is new, was closed, or has begun or ended an occurrence."""
        spec = job.record.spec
        if spec is None:
            self._replace(job, _CLOSED_JOB_BYTES, 0)
            return
        # What one occurrence takes is kept for each job, so that it can always run.
        occurrence_count = max(1, len(job.occurrences))
        size = _estimate_idle_bytes(spec) + occurrence_count * _estimate_occurrence_bytes(spec)
        self._replace(job, size, size if spec.occurrences else 0)

    def remove(self, job: Job) -> None:
        """Stop counting a job."""
        self._replace(job, 0, 0)

    def _replace(self, job: Job, used_bytes: int, scheduled_bytes: int) -> None:
        self.used_bytes += used_bytes - job.used_bytes
        self.scheduled_bytes += scheduled_bytes - job.scheduled_bytes
        job.used_bytes, job.scheduled_bytes = used_bytes, scheduled_bytes


def _estimate_idle_bytes(spec: JobSpec) -> int:
    """Return the memory in bytes of an open job of which no occurrence has begun."""
    size = _JOB_BYTES + sys.getsizeof(spec.payload) + spec.task_count // 8
    for step in spec.steps:
        size += _STEP_SPEC_BYTES + _REFERENCE_BYTES * len(step.after)
        size += sum(map(sys.getsizeof, (step.image, step.required_label, step.rack_affinity)))
    return size


def _estimate_occurrence_bytes(spec: JobSpec) -> int:
    """Return the memory in bytes of an occurrence that has begun."""
    return _STEP_BYTES * len(spec.steps) + _TASK_BYTES * spec.occurrence_task_count
