"""Order in which ready steps get runners."""

from __future__ import annotations

import math

from coltsfootpier.cells._state import StepRun

# Best-effort tasks go last: they use only the capacity that the others leave.
_BEST_EFFORT_CLASS = 2
_SHORT_CLASS = 1
_LONG_RUNNING_CLASS = 0


# Part of a job's worth that doesn't depend on its size.
_FIXED_WORTH = 0.3


def rank_step(
    step: StepRun, *, lateness: int, remaining: float, size: float
) -> tuple[int, int, float]:
    """Return the sort key of a step that waits for runners; the smallest goes first.

    Long-running tasks go first, because their users have no service until they run. Jobs that
    can still meet their objective go before jobs that can't, so that a flood doesn't make all
    jobs late, and jobs that are no longer of use to their callers go last. Within each group the
    job with the least remaining work for its worth goes first: it takes the least from the
    others, and started jobs are finished before more are started.

    Parameters
    ----------
    step : StepRun
        The step.
    lateness : int
        0 while the job can meet its objective, 1 while it is of some use, 2 after that.
    remaining : float
        Remaining work of the job, as a share of the queue's mean job; work that can run on few
        runners counts for as much capacity as it keeps from the others.
    size : float
        Whole work of the job, as a share of the queue's mean job.
    """
    if step.spec.long_running:
        # Blocked steps go first: other runs are moved to free capacity for them.
        if step.blocked_ms < math.inf:
            return _LONG_RUNNING_CLASS, 0, step.blocked_ms
        return _LONG_RUNNING_CLASS, 1, step.job.arrived_ms
    kind = _BEST_EFFORT_CLASS if step.spec.fills else _SHORT_CLASS
    worth = _FIXED_WORTH + (1.0 - _FIXED_WORTH) * size
    return kind, lateness, remaining / worth
