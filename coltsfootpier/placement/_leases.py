"""Expiry of the leases that workers hold on their tasks."""

from __future__ import annotations

from coltsfootpier.clock import MAX_CLOCK_DRIFT_RATIO
from coltsfootpier.placement._views import Placement, WorkerView


class LeaseTracker:
    """Upper bounds on the expiry of the leases that this owner and the previous one have granted.

    All times are on this owner's clock.

    Parameters
    ----------
    worker_lease_ms : float
        Duration of the lease of a task on its worker, in milliseconds.
    hold_over_ms : float
        How long a previous owner that can't reach the store may keep renewing leases, in
        milliseconds.
    now_ms : float
        Time at which this owner starts.
    """

    def __init__(self, *, worker_lease_ms: float, hold_over_ms: float, now_ms: float) -> None:
        self._worker_lease_ms = worker_lease_ms
        self._hold_over_ms = hold_over_ms
        self._takeover_ms = now_ms
        self._previous_owner_expiry_ms = float("-inf")

    def record_takeover(self, now_ms: float) -> None:
        """Record that this owner has read the shard record from the store."""
        self._takeover_ms = now_ms
        # A previous owner that can't reach the store may keep renewing until its hold-over
        # ends, and can't be queried for the expiry of the leases that it granted.
        max_remaining_ms = (self._hold_over_ms + self._worker_lease_ms) * (
            1 + MAX_CLOCK_DRIFT_RATIO
        )
        self._previous_owner_expiry_ms = now_ms + max_remaining_ms

    def retire_previous_owner(self, now_ms: float) -> None:
        """Record that the previous owner can no longer renew any lease."""
        self._previous_owner_expiry_ms = min(
            self._previous_owner_expiry_ms, self.compute_grant_expiry_ms(now_ms)
        )

    def compute_grant_expiry_ms(self, now_ms: float) -> float:
        """Return the time by which a lease granted now has expired on any worker.

        The lease is extended by the assumed clock drift, because a worker's clock may run
        slower than the owner's.
        """
        return now_ms + self._worker_lease_ms * (1 + MAX_CLOCK_DRIFT_RATIO)

    def compute_expiry_ms(self, view: WorkerView | None) -> float:
        """Return the time by which all leases on a worker have expired.

        Parameters
        ----------
        view : WorkerView or None
            State of the worker; None if it isn't in the VM list.
        """
        # A newly placed attempt has no lease yet, but the worker may still start it until the
        # start command expires. The lease is therefore counted from the last contact.
        if view is None:
            return max(self._previous_owner_expiry_ms, self._takeover_ms + self._worker_lease_ms)
        contact_ms = max(view.received_ms, self._takeover_ms)
        return max(
            self._previous_owner_expiry_ms,
            view.lease_end_ms,
            self.compute_grant_expiry_ms(contact_ms),
        )

    def should_orphan(self, entry: Placement, view: WorkerView | None, now_ms: float) -> bool:
        """Return whether an attempt is a runner on a silent worker and should become orphaned.

        An orphaned runner is replaced although it may still run. An extra runner of a service is
        harmless, so the replacement doesn't wait until the previous owner can no longer renew
        leases.
        """
        if entry.spec.kind != "service" or entry.state == "orphaned":
            return False
        last_contact_ms = max(view.received_ms if view else self._takeover_ms, self._takeover_ms)
        return now_ms - last_contact_ms >= self._worker_lease_ms
