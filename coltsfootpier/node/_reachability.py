"""Reachability of the owner of the cell from a daemon.

Two failures make the owner unreachable. In a network partition a third of the entry VMs may be
separated from the others for 12 s and still reach callers and the store. Each of them would reject
all jobs, which other daemons could accept; so it reports that it isn't ready, and the load balancer
sends callers elsewhere. An owner that is frozen during an outage of the store keeps its lease, and
each request that is forwarded to it would wait until its deadline; so new jobs are rejected at
once.
"""

from __future__ import annotations

from coltsfootpier.clock import Clock

# Time without a response of a known owner after which the daemon isn't ready. An owner that was
# killed is replaced within 1,300 ms (the time to live of its lease); a shorter time would take all
# daemons out of rotation at each change of owner.
UNREACHABLE_AFTER_MS = 2_000.0
# Time without a response, from the first failure on, after which new jobs aren't sent to the owner.
# The first failure itself takes 1,000 ms or more, so in total this is longer than a change of
# owner.
UNRESPONSIVE_AFTER_MS = 500.0


class OwnerReachability:
    """Record of whether the owner responds to requests.

    Parameters
    ----------
    clock : Clock
        Time source.

    Examples
    --------
    >>> from coltsfootpier.clock import VirtualClock
    >>> clock = VirtualClock()
    >>> reachability = OwnerReachability(clock=clock)
    >>> reachability.record(responded=False)
    >>> clock.advance(UNREACHABLE_AFTER_MS)
    >>> reachability.is_unreachable
    False
    >>> reachability.record(responded=False)
    >>> reachability.is_unreachable
    True
    >>> reachability.record(responded=True)
    >>> reachability.is_unreachable
    False
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._failing_since_ms: float | None = None
        self.is_unreachable = False

    def record(self, *, responded: bool) -> None:
        """Record whether the owner has responded to a request."""
        now_ms = self._clock.now_ms()
        if responded:
            self._failing_since_ms = None
            self.is_unreachable = False
        elif self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        else:
            self.is_unreachable = now_ms - self._failing_since_ms >= UNREACHABLE_AFTER_MS

    @property
    def is_unresponsive(self) -> bool:
        """Whether a request to the owner is likely to get no response."""
        since_ms = self._failing_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms >= UNRESPONSIVE_AFTER_MS

    def reset(self) -> None:
        """Discard recorded failures, because another daemon owns the cell now."""
        self._failing_since_ms = None
        self.is_unreachable = False
