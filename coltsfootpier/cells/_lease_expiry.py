"""Time by which the leases of all runs on a runner are guaranteed to have expired."""

from __future__ import annotations

from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.journal import ActionBounds

# Allowance for the time between reading the clock and sending.
_SEND_ALLOWANCE_MS = 50.0


def compute_lease_ms(duration_ms: float, settings: CellSettings) -> float:
    """Return the longest local time that a lease takes on a runner's clock.

    Parameters
    ----------
    duration_ms : float
        Time on the runner's clock.
    settings : CellSettings
        Bound of the clock drift; the result covers a runner's clock that runs slow and an error in
        the estimate of its time.
    """
    return duration_ms * (1.0 + 3.0 * settings.clock_drift) + _SEND_ALLOWANCE_MS


def compute_longest_lease_ms(settings: CellSettings) -> float:
    """Return the longest local time of a lease, which a deadline on an earlier clock gives."""
    return compute_lease_ms(settings.max_run_lease_ms, settings)


def get_bounds(settings: CellSettings) -> ActionBounds:
    """Return the bounds of an owner with these settings."""
    return ActionBounds(
        unconfirmed_ms=settings.max_unconfirmed_ms,
        lease_ms=max(
            settings.run_lease_ms + settings.lease_slack_ms,
            # The lease of a start that no report request extends.
            settings.proof_validity_ms + settings.start_valid_ms,
        ),
    )


def compute_inherited_lease_ms(bounds: ActionBounds | None, settings: CellSettings) -> float:
    """Return the longest local time that leases last after an earlier owner's last proof."""
    if bounds is None:
        return compute_lease_ms(settings.proof_validity_ms + settings.run_lease_ms, settings)
    return compute_lease_ms(bounds.lease_ms, settings)


def compute_unconfirmed_lease_ms(bounds: ActionBounds | None, settings: CellSettings) -> float:
    """Return the longest local time that leases last after the store has confirmed an owner last.

    The last call of the owner may arrive late, at a runner that has restarted and takes the
    deadline for one that lies far ahead. Without known bounds, the time is infinite.
    """
    if bounds is None:
        return float("inf")
    return compute_lease_ms(
        bounds.unconfirmed_ms + settings.late_call_ms + settings.max_run_lease_ms, settings
    )


class LeaseExpiryTracker:
    """Tracks when the last lease that a runner may have extended expires, in local time.

    A call counts as applied from before it is sent until it is known that the runner did not apply
    it. Calls that are known to have failed don't count, so the leases of an unreachable runner
    expire although calls to it are repeated.

    Parameters
    ----------
    settings : CellSettings
        Bound of the clock drift.

    Examples
    --------
    >>> tracker = LeaseExpiryTracker(CellSettings(clock_drift=0.0))
    >>> call = tracker.record_call(now_ms=0.0, duration_ms=100.0)
    >>> tracker.lease_expiry_ms
    150.0
    >>> tracker.settle_call(call, applied=False)
    >>> tracker.lease_expiry_ms
    -inf
    """

    def __init__(self, settings: CellSettings) -> None:
        self._settings = settings
        self._applied_expiry_ms = float("-inf")
        # Expiry of the leases that each unsettled call extends.
        self._calls: dict[int, float] = {}
        self._last_call_number = 0
        # When the latest call without a response was settled.
        self._unanswered_ms = float("-inf")

    @property
    def lease_expiry_ms(self) -> float:
        """Local time from which no run continues on the runner."""
        return max(self._applied_expiry_ms, *self._calls.values(), float("-inf"))

    def record_call(self, *, now_ms: float, duration_ms: float) -> int:
        """Record a call that is about to be sent; return its number for `settle_call`.

        Parameters
        ----------
        now_ms : float
            Local time.
        duration_ms : float
            Time on the runner's clock by which the call extends the leases of its runs.
        """
        self._last_call_number += 1
        self._calls[self._last_call_number] = now_ms + compute_lease_ms(duration_ms, self._settings)
        return self._last_call_number

    def settle_call(
        self, call_number: int, *, applied: bool, unanswered_ms: float | None = None
    ) -> None:
        """Record whether the runner may have applied the call with a number from `record_call`.

        Parameters
        ----------
        call_number : int
            Number of the call.
        applied : bool
            Whether the runner may have applied it.
        unanswered_ms : float, optional
            Local time, if the call may have been sent and has no response.
        """
        lease_expiry_ms = self._calls.pop(call_number)
        if applied:
            self._applied_expiry_ms = max(self._applied_expiry_ms, lease_expiry_ms)
        if unanswered_ms is not None:
            self._unanswered_ms = unanswered_ms

    def record_restart(self, now_ms: float) -> None:
        """Record that the runner has started again, so that its clock has started anew.

        A deadline computed on the earlier clock may lie far ahead on the new one, which makes the
        lease as long as the platform allows. A call without a response may arrive after the
        restart.

        Parameters
        ----------
        now_ms : float
            Local time.
        """
        settings = self._settings
        arrival_ms = now_ms + (settings.late_call_ms if self._has_unanswered_calls(now_ms) else 0.0)
        self._applied_expiry_ms = max(
            self._applied_expiry_ms,
            arrival_ms + compute_longest_lease_ms(settings),
        )

    def discard_earlier_calls(self) -> None:
        """Discard all calls that have ended, because the runner rejects late ones from now on.

        The caller bounds the leases that they have extended.
        """
        self._applied_expiry_ms = self._unanswered_ms = float("-inf")

    def _has_unanswered_calls(self, now_ms: float) -> bool:
        return bool(self._calls) or now_ms - self._unanswered_ms < self._settings.late_call_ms
