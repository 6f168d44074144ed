"""Sets of the tasks of one job."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, MutableSet
from itertools import accumulate

from coltsfootpier.jobs._model import JobSpec, TaskKey


class TaskSet(MutableSet[TaskKey]):
    """Set of tasks of a job that takes one bit for each task of the job.

    A set of keys takes about 150 bytes for each task in it, which is 3 MB for the largest job.

    Parameters
    ----------
    spec : JobSpec
        Specification of the job. Keys that name no task of it are left out.
    keys : iterable of TaskKey, optional
        Tasks in the set.

    Examples
    --------
    >>> from coltsfootpier.jobs import StepSpec
    >>> spec = JobSpec(payload="", steps=(StepSpec(count=2), StepSpec(count=3)), occurrences=2)
    >>> tasks = TaskSet(spec, [TaskKey(1, 0, 1), TaskKey(0, 1, 2), TaskKey(5, 0, 0)])
    >>> list(tasks)
    [TaskKey(occurrence=0, step=1, index=2), TaskKey(occurrence=1, step=0, index=1)]
    >>> TaskKey(1, 0, 1) in tasks, TaskKey(1, 0, 0) in tasks
    (True, False)
    """

    __slots__ = ("_bits", "_count", "_counts", "_occurrences", "_offsets", "_stride")

    def __init__(self, spec: JobSpec, keys: Iterable[TaskKey] = ()) -> None:
        self._counts = tuple(step.count for step in spec.steps)
        # Position of the first task of each step within an occurrence.
        self._offsets = tuple(accumulate(self._counts, initial=0))
        self._stride = self._offsets[-1]
        self._occurrences = spec.occurrence_count
        self._bits = bytearray((self._stride * self._occurrences + 7) // 8)
        self._count = 0
        for key in keys:
            self.add(key)

    def _find_position(self, key: TaskKey) -> int:
        """Return the number of a task in the order of the keys; -1 if it isn't one of the job."""
        occurrence, step, index = key
        if (
            0 <= occurrence < self._occurrences
            and 0 <= step < len(self._counts)
            and 0 <= index < self._counts[step]
        ):
            return occurrence * self._stride + self._offsets[step] + index
        return -1

    def __contains__(self, key: object) -> bool:
        position = self._find_position(key)
        return position >= 0 and bool(self._bits[position >> 3] & 1 << (position & 7))

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[TaskKey]:
        """Iterate over the tasks in the order of their keys."""
        return (TaskKey(*row) for row in self.list_rows())

    def list_rows(self) -> list[tuple[int, int, int]]:
        """Return the tasks in the order of their keys, as plain tuples."""
        bits = self._bits
        tasks = [(step, index) for step, count in enumerate(self._counts) for index in range(count)]
        return [
            (occurrence, *task)
            for occurrence in range(self._occurrences)
            for position, task in enumerate(tasks, occurrence * self._stride)
            if bits[position >> 3] & 1 << (position & 7)
        ]

    def add(self, key: TaskKey) -> None:
        """Add a task of the job."""
        position = self._find_position(key)
        if position >= 0 and key not in self:
            self._bits[position >> 3] |= 1 << (position & 7)
            self._count += 1

    def discard(self, key: TaskKey) -> None:
        """Remove a task if it is in the set."""
        if key in self:
            position = self._find_position(key)
            self._bits[position >> 3] &= ~(1 << (position & 7))
            self._count -= 1

    @classmethod
    def _from_iterable(cls, keys: Iterable[TaskKey]) -> set[TaskKey]:
        # Results of the operators of `collections.abc.Set` belong to no job.
        return set(keys)
