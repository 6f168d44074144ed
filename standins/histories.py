"""Rule that no task runs twice, judged from the histories of runners."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class RunRecord:
    """A run as its runner saw it, with times on the clock of the machine.

    Parameters
    ----------
    task : str
        Name of the task.
    attempt : int
        Number of the start.
    runner : str
        Identifier of the runner.
    born : int
        Unix time in ms at which the runner's incarnation started.
    token : int
        Fencing token of the start command.
    begin_ms : float
        Start time.
    end_ms : float, optional
        End time, also of a run that ended with its runner; None while the run goes on, which
        includes the time that a stop takes.
    how : str
        Kind of the end in the platform's words, or ``killed`` with its runner; empty without an
        end.
    acknowledged_ms : float, optional
        Time at which an owner acknowledged the end.
    lapsed : bool
        Whether the lease of the runner expired between the end and its acknowledgement.
    lost : bool
        Whether the incarnation of the runner ended before the end was acknowledged.
    """

    task: str
    attempt: int
    runner: str = ""
    born: int = 0
    token: int = 0
    begin_ms: float
    end_ms: float | None = None
    how: str = ""
    acknowledged_ms: float | None = None
    lapsed: bool = False
    lost: bool = False

    @property
    def is_completion(self) -> bool:
        """Whether the run was done, and its end was acknowledged or still can be."""
        return self.how == "done" and not self.lapsed and not self.lost


@attrs.frozen
class RepeatedRun:
    """Two runs of a task of which the second should not have started.

    Parameters
    ----------
    reason : str
        ``overlap`` or ``after done``.
    earlier, later : RunRecord
        The runs, by their start times.
    """

    reason: str
    earlier: RunRecord
    later: RunRecord

    def __str__(self) -> str:
        runs = (_describe_run(run, self.earlier.begin_ms) for run in (self.earlier, self.later))
        return f"{self.later.task}: {self.reason}: " + "; ".join(runs)


def _describe_run(run: RunRecord, zero_ms: float) -> str:
    """Describe a run for a report, with times since the start of the earlier run."""
    text = f"#{run.attempt} of generation {run.token} on {run.runner} born {run.born}"
    text += f", from {run.begin_ms - zero_ms:.1f} ms"
    if run.end_ms is not None:
        text += f" to {run.end_ms - zero_ms:.1f} ms, {run.how}"
    if run.acknowledged_ms is not None:
        text += f", acknowledged at {run.acknowledged_ms - zero_ms:.1f} ms"
    return text + ", lapsed" * run.lapsed + ", lost" * run.lost


def parse_records(rows: Iterable[dict[str, Any]]) -> list[RunRecord]:
    """Return the records of the rows of a runner's ``GET /history``."""
    names = {field.name for field in attrs.fields(RunRecord)}
    return [
        RunRecord(**{name: value for name, value in row.items() if name in names}) for row in rows
    ]


def find_repeated_runs(records: Iterable[RunRecord]) -> list[RepeatedRun]:
    """Return all pairs of runs that break the rule that no task runs twice.

    Two runs of one task must not overlap, and none may start after another one was done. An end as
    done doesn't count if it was lost with the runner's incarnation, or if the runner's lease
    expired before the end was acknowledged.

    Parameters
    ----------
    records : iterable of RunRecord
        Ended and current runs of all runners.

    Examples
    --------
    >>> first = RunRecord(task="a", attempt=1, begin_ms=0.0)
    >>> second = RunRecord(task="a", attempt=2, begin_ms=5.0, end_ms=9.0, how="stopped")
    >>> [pair.reason for pair in find_repeated_runs([second, first])]
    ['overlap']
    >>> find_repeated_runs([attrs.evolve(first, end_ms=5.0, how="lapsed"), second])
    []
    """
    repeated = []
    for earlier, later in _list_pairs(records):
        if earlier.end_ms is None or later.begin_ms < earlier.end_ms:
            repeated.append(RepeatedRun("overlap", earlier, later))
        elif earlier.is_completion:
            repeated.append(RepeatedRun("after done", earlier, later))
    return repeated


def find_excused_runs(records: Iterable[RunRecord]) -> list[RepeatedRun]:
    """Return the pairs whose later run is allowed because the end of the earlier one was lost."""
    return [
        RepeatedRun("after a lost end", earlier, later)
        for earlier, later in _list_pairs(records)
        if earlier.how == "done"
        and not earlier.is_completion
        and earlier.end_ms is not None
        and later.begin_ms >= earlier.end_ms
    ]


def _list_pairs(records: Iterable[RunRecord]) -> list[tuple[RunRecord, RunRecord]]:
    """Return all pairs of runs of the same task, the one that started first in front."""
    by_task: dict[str, list[RunRecord]] = defaultdict(list)
    for record in sorted(records, key=lambda record: record.begin_ms):
        by_task[record.task].append(record)
    return [
        (earlier, later)
        for runs in by_task.values()
        for number, later in enumerate(runs)
        for earlier in runs[:number]
    ]
