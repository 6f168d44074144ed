"""Whether a job is taken or refused at the door.

The load that it answers: batch jobs arrive at 1.3 to 2.6 times the usual rate for 3 to 6 s, while
the runners are busy to 70 or 85 % on a calm day. An accepted job can't be given back, and one
that ends late is worth a seventh. Refusing at once lets the caller come back when the backlog
has drained, and keeps the jobs that are accepted in time.
"""

from __future__ import annotations

import attrs

# Shortest and longest time that a caller is told to wait, in ms. Below the first the caller would
# come back before the next reports; above the second its own deadline (about 3 s) would pass.
MIN_RETRY_AFTER_MS = 300.0
MAX_RETRY_AFTER_MS = 3_000.0


@attrs.frozen(kw_only=True)
class Backlog:
    """Work ahead of a new job on the capacity that it needs.

    Parameters
    ----------
    work : float
        Processor time that accepted jobs still need, in thousandths of a core times ms.
    capacity : float
        Processor capacity that is expected to work on it, in thousandths of a core.
    """

    work: float
    capacity: float

    @property
    def queueing_delay_ms(self) -> float:
        """Time until the work ahead is done."""
        return self.work / self.capacity if self.capacity > 0 else float("inf")


@attrs.frozen(kw_only=True)
class Waits:
    """Expected time until the work ahead of a new job is done, in ms.

    Parameters
    ----------
    in_time_ms : float
        Behind the jobs that can still be in time, which go first.
    all_ms : float
        Behind all jobs; what a job that will be late waits for.
    """

    in_time_ms: float
    all_ms: float


@attrs.frozen
class Rejected:
    """A job that was not taken and will never run.

    Parameters
    ----------
    reason : str
        ``unknown_queue``, ``backlog``, ``tasks``, ``store`` or ``starting``.
    retry_after_ms : float
        Time after which the job has a chance.
    wait_ms, chain_ms : float
        Expected wait and time of the longest chain that decided, or 0.
    """

    reason: str
    retry_after_ms: float
    queueing_delay_ms: float = 0.0
    critical_path_ms: float = 0.0


def judge_job(
    waits: Waits, *, critical_path_ms: float, objective_ms: float, useful: float
) -> Rejected | None:
    """Return a refusal if a job can't be expected to end while that is of use.

    A job that can be in time waits for the others that can; one that can't waits for all.

    Parameters
    ----------
    waits : Waits
        Time until the work ahead of the job is done.
    chain_ms : float
        Expected time of the job's longest chain without waiting.
    objective_ms : float
        Time in which the job should end.
    useful : float
        Multiple of the objective up to which a late job is taken.

    Examples
    --------
    >>> free = Waits(in_time_ms=1_000.0, all_ms=9_000.0)
    >>> judge_job(free, chain_ms=500.0, objective_ms=2_000.0, useful=1.0) is None
    True
    >>> full = Waits(in_time_ms=2_000.0, all_ms=9_000.0)
    >>> judge_job(full, chain_ms=500.0, objective_ms=2_000.0, useful=1.0)
    Rejected(reason='backlog', retry_after_ms=500.0, wait_ms=2000.0, chain_ms=500.0)
    """
    excess_ms = waits.in_time_ms + critical_path_ms - objective_ms
    # A job whose chain alone is longer than its objective would never be taken.
    if excess_ms <= 0 or waits.in_time_ms < MIN_RETRY_AFTER_MS:
        return None
    if waits.all_ms + critical_path_ms <= useful * objective_ms:
        return None
    return Rejected(
        "backlog",
        min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, excess_ms)),
        queueing_delay_ms=waits.in_time_ms,
        critical_path_ms=critical_path_ms,
    )
