"""Learned state of images and queues, stored for the next owner of the cell.

Owners are stopped, killed and replaced several times a day. An owner that starts from prior
estimates slows harmless batch tasks, overloads serving tasks and trusts declared durations until
reports have corrected the estimates, which takes 10 to 20 s.
"""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class LearnedInterference:
    """Interference of a best-effort image with a serving image, and its variance."""

    serving: str
    filling: str
    mean: float
    variance: float


@attrs.frozen(kw_only=True)
class LearnedDemand:
    """Demand of the short jobs of a service.

    Parameters
    ----------
    prior_weight : float
        Weight of the demand that is assumed before any job is seen.
    task_cpu, task_memory_mb : float
        Mean demand of a task in thousandths of a core and in MB.
    loads : dict of str to tuple of float
        For each priority, the decaying sums of work and squares.
    """

    prior_weight: float
    task_cpu: float = 0.0
    task_memory_mb: float = 0.0
    loads: dict[str, tuple[float, ...]] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class LearnedState:
    """Learned state for the next owner, at most a few seconds old.

    Parameters
    ----------
    pressures : tuple of LearnedInterference
        Interference of pairs of images.
    idle_tails : dict of str to float
        Lowest tail latency of each serving image as a share of its target.
    durations : dict of str to tuple of float
        State of the `DurationModel` of each queue.
    mean_work : dict of str to float
        Mean work of a job of each queue, in thousandths of a core times ms.
    offered : dict of str to float
        Decaying sum of the work submitted for each best-effort image, in the same unit.
    short_demand : dict of str to LearnedDemand
        Demand of the short jobs of each service. Earlier releases ignore it.
    """

    pressures: tuple[LearnedInterference, ...] = ()
    idle_tails: dict[str, float] = attrs.field(factory=dict)
    durations: dict[str, tuple[float, ...]] = attrs.field(factory=dict)
    mean_work: dict[str, float] = attrs.field(factory=dict)
    offered: dict[str, float] = attrs.field(factory=dict)
    short_demand: dict[str, LearnedDemand] = attrs.field(factory=dict)
