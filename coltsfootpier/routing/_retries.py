"""Retry budget and attempt timeouts of requests."""

from __future__ import annotations

from collections import defaultdict

_RETRIES_PER_REQUEST = 0.1
# Time reserved for a retry, as a multiple of the average response time.
_RETRY_RESERVE_RESPONSES = 2.0
# Maximum number of unspent retries of a service; bounds the burst of retries after a fault.
_MAX_SAVED_RETRIES = 20.0


def compute_attempt_timeout(left_ms: float, response_ms: float) -> float:
    """Return the timeout of an attempt after which the request may be retried.

    Parameters
    ----------
    left_ms : float
        Time left to the deadline in milliseconds.
    response_ms : float
        Average response time in milliseconds; 0 if not measured.

    Returns
    -------
    float
        Timeout in milliseconds: at least half of the time left, and more if a retry needs less
        than the other half.

    Examples
    --------
    >>> compute_attempt_timeout(1000.0, 100.0), compute_attempt_timeout(1000.0, 400.0)
    (800.0, 500.0)
    >>> compute_attempt_timeout(1000.0, 0.0)
    500.0
    """
    if response_ms <= 0:
        return left_ms / 2
    return max(left_ms / 2, left_ms - _RETRY_RESERVE_RESPONSES * response_ms)


class RetryBudget:
    """Budget that limits the retries of each service to a tenth of its requests.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> budget.try_spend("web")
    False
    >>> for _ in range(10):
    ...     budget.record_request("web")
    >>> budget.try_spend("web")
    True
    >>> budget.try_spend("web")
    False
    """

    def __init__(self) -> None:
        self._saved_retries: dict[str, float] = defaultdict(float)

    def record_request(self, service: str) -> None:
        """Add the retry allowance of one new request to the budget."""
        self._saved_retries[service] = min(
            _MAX_SAVED_RETRIES, self._saved_retries[service] + _RETRIES_PER_REQUEST
        )

    def try_spend(self, service: str) -> bool:
        """Spend one retry and return true, or return false if the budget is exhausted."""
        # Allows for rounding: ten additions of 0.1 sum to slightly less than one.
        if self._saved_retries[service] < 1 - 1e-9:
            return False
        self._saved_retries[service] -= 1
        return True
