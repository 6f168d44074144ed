"""Budget of repeated offers of requests."""

from __future__ import annotations

from collections import defaultdict

_RATIO = 0.1
# Time kept for a repeat, in average answer times.
_REPEAT_ANSWERS = 2.0
# Repeats saved up from quiet times; bounds the burst after a fault.
_MAX_SAVED = 20.0


def compute_attempt_timeout(left_ms: float, response_ms: float) -> float:
    """Return the time allowed for an attempt after which the request may be repeated.

    Parameters
    ----------
    left_ms : float
        Time left to the deadline.
    answer_ms : float
        Average answer time; 0 when not measured.

    Returns
    -------
    float
        At least half of the time left; more when a repeat needs less than the other half.

    Examples
    --------
    >>> limit_attempt(1000.0, 100.0), limit_attempt(1000.0, 400.0), limit_attempt(1000.0, 0.0)
    (800.0, 500.0, 500.0)
    """
    if response_ms <= 0:
        return left_ms / 2
    return max(left_ms / 2, left_ms - _REPEAT_ANSWERS * response_ms)


class RetryBudget:
    """Allows repeats up to a tenth of each service's requests.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> budget.spend("web")
    False
    >>> for _ in range(10):
    ...     budget.record_request("web")
    >>> budget.spend("web")
    True
    >>> budget.spend("web")
    False
    """

    def __init__(self) -> None:
        self._saved: dict[str, float] = defaultdict(float)

    def record_request(self, service: str) -> None:
        """Count a new request of a caller."""
        self._saved[service] = min(_MAX_SAVED, self._saved[service] + _RATIO)

    def spend(self, service: str) -> bool:
        """Take one repeat out of the budget; return whether there was one."""
        # Ten additions of 0.1 sum to slightly less than one.
        if self._saved[service] < 1 - 1e-9:
            return False
        self._saved[service] -= 1
        return True
