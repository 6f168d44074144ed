"""Order in which ready steps get runners."""

from __future__ import annotations

import math

from coltsfootpier.cells._state import StepRun

# Best-effort tasks go last: they use only the capacity that the others leave.
_BEST_EFFORT_CLASS = 2
_SHORT_CLASS = 1
_LONG_RUNNING_CLASS = 0
# Part of a job's value that doesn't depend on its size.
_FIXED_VALUE = 0.3


# Class, whether the job is of no more use, priority, lateness, and cost.
Rank = tuple[int, int, int, int, float]


def rank_step(
    step: StepRun, *, lateness: int, remaining: float, size: float, yields: bool = False
) -> Rank:
    """Return the sort key of a step that waits for runners; the smallest goes first.

    Long-running tasks go first, because their users have no service until they run. Then the
    priority of the queue decides. Jobs that can still meet their objective go before jobs that
    can't, so that a burst of jobs doesn't make all of them late, and jobs that are no longer of use
    to their callers go last, whatever their priority. Within each group the job with the least
    remaining work relative to its value goes first: it delays the others least, and started jobs
    are finished before more are started.

    Parameters
    ----------
    step : StepRun
        The step.
    lateness : int
        0 while the job can meet its objective, 1 while it is of some use, 2 after that.
    remaining : float
        Remaining work of the job, as a share of the queue's mean job; best-effort work is
        divided by the share of the unused CPU that its image can use.
    size : float
        Whole work of the job, as a share of the queue's mean job.
    yields : bool
        Whether a long-running step goes after the urgent steps of its priority.
    """
    priority = step.job.queue.priority
    if step.spec.long_running:
        if yields:
            return _SHORT_CLASS, 0, priority, 2, step.waiting_since_ms
        # Blocked steps go first: other runs are moved to free capacity for them.
        if step.blocked_ms < math.inf:
            return _LONG_RUNNING_CLASS, 0, 0, 0, step.blocked_ms
        return _LONG_RUNNING_CLASS, 1, 0, 0, step.job.arrived_ms
    step_class = _BEST_EFFORT_CLASS if step.spec.fills else _SHORT_CLASS
    value = _FIXED_VALUE + (1.0 - _FIXED_VALUE) * size
    return step_class, int(lateness > 1), priority, lateness, remaining / value
