"""Admission control: which submitted jobs are accepted.

Batch jobs arrive in bursts of 3 to 6 s at 1.3 to 2.6 times the usual rate, while the runners are
70 or 85 % utilised in normal operation. An accepted job can't be rejected later, and a late result
is worth a seventh of a result in time. An immediate rejection lets the caller retry when the
backlog has drained, and lets the accepted jobs end in time.
"""

from __future__ import annotations

import attrs

# Minimum and maximum retry delay given to a caller. With a shorter one the caller would retry
# before the next reports; with a longer one its own deadline (about 3 s) would pass.
MIN_RETRY_AFTER_MS = 300.0
MAX_RETRY_AFTER_MS = 3_000.0


@attrs.frozen(kw_only=True)
class Backlog:
    """Work ahead of a new job and the capacity for it.

    Parameters
    ----------
    work : float
        CPU time that accepted jobs still need, in thousandths of a core times ms.
    capacity : float
        CPU capacity that is expected to be available for it, in thousandths of a core.
    """

    work: float
    capacity: float

    @property
    def queueing_delay_ms(self) -> float:
        """Time in ms until the work ahead is done; infinite without capacity."""
        return self.work / self.capacity if self.capacity > 0 else float("inf")


@attrs.frozen(kw_only=True)
class QueueingDelays:
    """Expected queueing delays of a new job: the time until the work ahead of it is done, in ms.

    Parameters
    ----------
    in_time_ms : float
        Delay behind the jobs that can still meet their objectives, which go first.
    all_ms : float
        Delay behind all jobs; this is the delay of a job that will be late.
    estimate : str
        What the work ahead waits for: ``cpu``, ``memory``, or ``image`` for the headroom that
        serving tasks leave to its best-effort image.
    """

    in_time_ms: float
    all_ms: float
    estimate: str = ""


@attrs.frozen(kw_only=True)
class LongRunningCapacity:
    """Declared capacity of a service for long-running tasks, in thousandths of a core.

    Parameters
    ----------
    held_cpu : float
        CPU demand of the accepted long-running jobs.
    free_cpu : float
        CPU beside them that short tasks can use.
    reserve_cpu : float
        CPU to keep free for short jobs.
    """

    held_cpu: float
    free_cpu: float
    reserve_cpu: float


@attrs.frozen
class Rejected:
    """A job that was not accepted and will never run.

    Parameters
    ----------
    reason : str
        ``unknown_queue``, ``backlog``, ``capacity``, ``tasks``, ``memory``, ``store`` or
        ``starting``.
    retry_after_ms : float
        Time after which a retry may succeed.
    queueing_delay_ms, critical_path_ms : float
        Expected queueing delay and critical path behind the decision, or 0.
    capacity : LongRunningCapacity, optional
        Capacity behind the decision on a long-running job.
    estimate : str
        Which estimate decided: ``cpu``, ``memory`` or ``image``; empty for others.
    objective_ms : float
        Time in which the job should end, or 0.
    is_expected : bool
        Whether a retry after `retry_after_ms` is expected to be accepted.
    """

    reason: str
    retry_after_ms: float
    queueing_delay_ms: float = 0.0
    critical_path_ms: float = 0.0
    capacity: LongRunningCapacity | None = None
    estimate: str = ""
    objective_ms: float = 0.0
    is_expected: bool = False


def check_admission(
    delays: QueueingDelays,
    *,
    critical_path_ms: float,
    objective_ms: float,
    lateness_factor: float,
    is_expected: bool = False,
) -> Rejected | None:
    """Return a rejection if a job isn't expected to end while its result is of use.

    A job that can meet its objective waits for the others that can; one that can't waits for all.

    Parameters
    ----------
    delays : QueueingDelays
        Time until the work ahead of the job is done.
    critical_path_ms : float
        Expected critical path of the job without queueing.
    objective_ms : float
        Time in which the job should end.
    lateness_factor : float
        Multiple of the objective up to which a late job is accepted.
    is_expected : bool
        Whether the caller returns after the retry delay that it was given. It isn't sent away again
        for less than the shortest delay, since the estimates aren't that exact.

    Examples
    --------
    >>> free = QueueingDelays(in_time_ms=1_000.0, all_ms=9_000.0)
    >>> check_admission(
    ...     free, critical_path_ms=500.0, objective_ms=2_000.0, lateness_factor=1.0
    ... ) is None
    True
    >>> full = QueueingDelays(in_time_ms=2_000.0, all_ms=9_000.0)
    >>> check_admission(
    ...     full, critical_path_ms=500.0, objective_ms=2_000.0, lateness_factor=1.0
    ... )  # doctest: +NORMALIZE_WHITESPACE
    Rejected(reason='backlog', retry_after_ms=500.0, queueing_delay_ms=2000.0,
             critical_path_ms=500.0, capacity=None, estimate='', objective_ms=2000.0,
             is_expected=True)
    """
    excess_ms = delays.in_time_ms + critical_path_ms - objective_ms
    late_excess_ms = delays.all_ms + critical_path_ms - lateness_factor * objective_ms
    # With a short queue, accept a job even if its critical path alone exceeds its objective;
    # otherwise it would never be accepted.
    if excess_ms <= 0 or delays.in_time_ms < MIN_RETRY_AFTER_MS:
        return None
    if late_excess_ms <= 0:
        return None
    # Once the work ahead is shorter by either excess, a retry is accepted.
    wait_ms = min(excess_ms, late_excess_ms)
    if is_expected and wait_ms <= MIN_RETRY_AFTER_MS:
        return None
    return Rejected(
        "backlog",
        min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)),
        queueing_delay_ms=delays.in_time_ms,
        critical_path_ms=critical_path_ms,
        estimate=delays.estimate,
        objective_ms=objective_ms,
        is_expected=wait_ms <= MAX_RETRY_AFTER_MS,
    )


def check_long_running_admission(
    capacity: LongRunningCapacity, cpu: float, *, retry_ms: float
) -> Rejected | None:
    """Return a rejection if a long-running job would take capacity that short jobs need.

    Its tasks can't give the capacity back before it is cancelled. The first such job of a service
    is always accepted; otherwise one that is larger than the service would never be.

    Parameters
    ----------
    capacity : LongRunningCapacity
        Capacity of the service.
    cpu : float
        CPU demand of the job's long-running tasks in thousandths of a core.
    retry_ms : float
        Retry delay.

    Examples
    --------
    >>> capacity = LongRunningCapacity(held_cpu=70.0, free_cpu=30.0, reserve_cpu=15.0)
    >>> check_long_running_admission(capacity, 15.0, retry_ms=1_000.0) is None
    True
    >>> check_long_running_admission(capacity, 16.0, retry_ms=1_000.0).reason
    'capacity'
    """
    if capacity.held_cpu <= 0 or capacity.free_cpu - cpu >= capacity.reserve_cpu:
        return None
    return Rejected("capacity", retry_ms, capacity=capacity)
