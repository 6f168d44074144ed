"""When leases that workers hold have surely ended."""

from __future__ import annotations

from coltsfootpier.clock import MAX_CLOCK_DRIFT_RATIO
from coltsfootpier.placement._views import Placement, WorkerView


class Leases:
    """Ends of the leases that this owner and the previous one may have granted.

    Parameters
    ----------
    worker_lease_ms : float
        Lease of a task on its worker.
    hold_over_ms : float
        How long a previous owner that can't reach the store may go on renewing.
    now_ms : float
        Time of the start.
    """

    def __init__(self, *, worker_lease_ms: float, hold_over_ms: float, now_ms: float) -> None:
        self._worker_lease_ms = worker_lease_ms
        self._hold_over_ms = hold_over_ms
        self._took_over_ms = now_ms
        self._previous_end_ms = float("-inf")

    def take_over(self, now_ms: float) -> None:
        """Note that the record was read from the store."""
        self._took_over_ms = now_ms
        # A previous owner that can't reach the store may renew until its hold-over is used
        # up, and can't be asked for the end of what it granted.
        longest_ms = (self._hold_over_ms + self._worker_lease_ms) * (1 + MAX_CLOCK_DRIFT_RATIO)
        self._previous_end_ms = now_ms + longest_ms

    def retire_previous_owner(self, now_ms: float) -> None:
        """Note that the previous owner surely renews nothing any more."""
        self._previous_end_ms = min(self._previous_end_ms, self.grant_end_ms(now_ms))

    def grant_end_ms(self, now_ms: float) -> float:
        """Return when a lease that is granted now has surely ended.

        A worker's clock may run slower than ours by the assumed drift.
        """
        return now_ms + self._worker_lease_ms * (1 + MAX_CLOCK_DRIFT_RATIO)

    def end_ms(self, view: WorkerView | None) -> float:
        """Return when all leases on a worker have surely ended."""
        # An attempt that was just placed has no lease yet; it may be started until the start
        # command expires, so the earliest end counts from the last contact.
        if view is None:
            return max(self._previous_end_ms, self._took_over_ms + self._worker_lease_ms)
        contact_ms = max(view.received_ms, self._took_over_ms)
        return max(self._previous_end_ms, view.lease_end_ms, self.grant_end_ms(contact_ms))

    def is_orphan(self, entry: Placement, view: WorkerView | None, now_ms: float) -> bool:
        """Whether a runner on a silent worker is to be replaced.

        A further runner of a service does no harm, so its replacement need not wait until a
        previous owner has surely stopped renewing.
        """
        if entry.spec.kind != "service" or entry.state == "orphaned":
            return False
        heard_ms = max(view.received_ms if view else self._took_over_ms, self._took_over_ms)
        return now_ms - heard_ms >= self._worker_lease_ms
