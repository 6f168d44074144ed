"""Submissions that were rejected a short time ago and will probably come again.

A caller repeats a rejected submission up to four times. Counted each time, it would look like five
jobs to the estimates of demand. A Retry-After is accurate only if the capacity that it names isn't
given away to later submissions in the meantime, so the work of the jobs that are due to return
counts as work ahead of new ones.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

# Time for which a rejected submission is remembered: the time constant of the demand.
_REMEMBERED_MS = 30_000.0
# Time after its Retry-After in which a caller is expected; callers read it in whole seconds.
_GRACE_MS = 500.0
# Maximum number of remembered submissions; bounds memory and the time of a sum under a flood.
_MAX_REMEMBERED = 512


@attrs.frozen(kw_only=True)
class Demand:
    """Work of a job that competes for one kind of capacity.

    Parameters
    ----------
    service : str
        Service of the job.
    priority : int
        Priority of its queue.
    work : float
        CPU time of its short tasks without best-effort ones, in thousandths of a core times ms.
    memory_work : float
        Their memory times duration, in MB times ms.
    best_effort : Mapping of str to float
        CPU time of its best-effort tasks by image, in thousandths of a core times ms.
    """

    service: str
    priority: int
    work: float = 0.0
    memory_work: float = 0.0
    best_effort: Mapping[str, float] = attrs.field(factory=dict)


@attrs.define
class _Rejection:
    demand: Demand
    rejected_ms: float
    due_ms: float


class RejectedJobs:
    """Rejected submissions, by the identifier of the job.

    Examples
    --------
    >>> jobs = RejectedJobs()
    >>> jobs.record("a", Demand(service="web", priority=0, work=5.0), 600.0, now_ms=0.0)
    >>> jobs.sum_due("b", service="web", priority=0, now_ms=100.0).work
    5.0
    >>> jobs.sum_due("a", service="web", priority=0, now_ms=100.0).work
    0.0
    >>> jobs.is_repeated("a", now_ms=900.0), jobs.is_repeated("b", now_ms=900.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._rejections: dict[str, _Rejection] = {}

    def is_repeated(self, job_id: str, now_ms: float) -> bool:
        """Return whether a submission repeats a rejected one."""
        found = self._rejections.get(job_id)
        return found is not None and now_ms - found.rejected_ms < _REMEMBERED_MS

    def is_expected(self, job_id: str, now_ms: float) -> bool:
        """Return whether the caller of a rejected job returns when capacity was kept for it."""
        found = self._rejections.get(job_id)
        return found is not None and abs(now_ms - found.due_ms) <= _GRACE_MS

    def record(self, job_id: str, demand: Demand, retry_after_ms: float, *, now_ms: float) -> None:
        """Remember a rejected submission.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        demand : Demand
            Work of the job.
        retry_after_ms : float
            Retry delay that its caller was given; negative infinity if no capacity is kept for it,
            because none is expected within the longest delay.
        now_ms : float
            Local time.
        """
        # A caller reads whole seconds.
        due_ms = retry_after_ms
        if math.isfinite(retry_after_ms):
            due_ms = now_ms + math.ceil(retry_after_ms / 1000) * 1000.0
        # A submission that is rejected once more keeps its place before later ones.
        self._rejections[job_id] = _Rejection(demand, now_ms, due_ms)
        while len(self._rejections) > _MAX_REMEMBERED:
            del self._rejections[next(iter(self._rejections))]

    def settle(self, job_id: str) -> None:
        """Forget a submission that was accepted."""
        self._rejections.pop(job_id, None)

    def sum_due(self, job_id: str, *, service: str, priority: int, now_ms: float) -> Demand:
        """Return the work of the callers that are due to return and go before a submission.

        These are the callers of the same or a more urgent priority; for a submission that was
        rejected before, only those that were rejected earlier.
        """
        work = memory_work = 0.0
        best_effort: dict[str, float] = {}
        for known_id, rejection in list(self._rejections.items()):
            if known_id == job_id:
                break
            demand = rejection.demand
            if now_ms - rejection.rejected_ms >= _REMEMBERED_MS:
                del self._rejections[known_id]
            elif (
                now_ms <= rejection.due_ms + _GRACE_MS
                and demand.service == service
                and demand.priority <= priority
            ):
                work += demand.work
                memory_work += demand.memory_work
                for image, image_work in demand.best_effort.items():
                    best_effort[image] = best_effort.get(image, 0.0) + image_work
        return Demand(
            service=service,
            priority=priority,
            work=work,
            memory_work=memory_work,
            best_effort=best_effort,
        )
