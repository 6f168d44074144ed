"""By when everything on a runner has certainly lapsed."""

from __future__ import annotations

from coltsfootpier.cells._settings import CellSettings

# Allowance for the time between reading the clock and sending, in ms.
_SEND_SLACK_MS = 50.0


class LeaseExpiryTracker:
    """Latest local time at which a deadline that a runner may have taken ends.

    A call counts from before it is sent until it is known that the runner did not take it, so a
    runner that can't be reached lapses although it is asked again and again.

    Parameters
    ----------
    settings : CellSettings
        Bound of the clocks' drift.

    Examples
    --------
    >>> tracker = LapseTracker(CellSettings(clock_drift=0.0))
    >>> call = tracker.begin(now_ms=0.0, duration_ms=100.0)
    >>> tracker.lapse_ms
    150.0
    >>> tracker.settle(call, taken=False)
    >>> tracker.lapse_ms
    -inf
    """

    def __init__(self, settings: CellSettings) -> None:
        # The runner's clock may be slow, and so may the estimate of its time.
        self._margin = 1.0 + 3.0 * settings.clock_drift
        self._taken_ms = float("-inf")
        self._calls: dict[int, float] = {}
        self._last_call = 0

    @property
    def lease_expiry_ms(self) -> float:
        """Local time from which nothing runs there any more."""
        return max(self._taken_ms, *self._calls.values(), float("-inf"))

    def begin(self, *, now_ms: float, duration_ms: float) -> int:
        """Note a call that is about to be sent; returns its number for `settle`.

        Parameters
        ----------
        now_ms : float
            Local time.
        duration_ms : float
            Time on the runner's clock for which the call extends what runs.
        """
        self._last_call += 1
        self._calls[self._last_call] = now_ms + duration_ms * self._margin + _SEND_SLACK_MS
        return self._last_call

    def settle(self, call: int, *, taken: bool) -> None:
        """Note whether the runner may have taken a call."""
        lease_expiry_ms = self._calls.pop(call)
        if taken:
            self._taken_ms = max(self._taken_ms, lease_expiry_ms)
