"""Clock protocol with a monotonic and a virtual implementation."""

from __future__ import annotations

import time
from typing import Protocol

# Assumed maximum relative difference between the clock rates of two VMs. Durations that one VM
# grants and another VM measures are shortened or extended by this ratio.
MAX_CLOCK_DRIFT_RATIO = 0.1


class Clock(Protocol):
    """Source of monotonic time.

    Values from different processes are not comparable.
    """

    def now_ms(self) -> float:
        """Return the time in milliseconds since an arbitrary fixed point."""
        ...


# The time while a VM is suspended counts, since leases expire meanwhile. Only Linux has this clock.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class MonotonicClock:
    """Monotonic clock of the operating system, which also counts while the VM is suspended.

    Examples
    --------
    >>> clock = MonotonicClock()
    >>> clock.now_ms() <= clock.now_ms()
    True
    """

    def now_ms(self) -> float:
        """Return the time in milliseconds since an arbitrary fixed point."""
        return time.clock_gettime_ns(_CLOCK_ID) / 1e6


class VirtualClock:
    """Clock that only moves when it is advanced, for tests and randomised simulations.

    Parameters
    ----------
    start_ms : float, default=0.0
        Time in milliseconds at which the clock starts.

    Examples
    --------
    >>> clock = VirtualClock()
    >>> clock.advance(5.0)
    >>> clock.now_ms()
    5.0
    """

    def __init__(self, *, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the current virtual time in milliseconds."""
        return self._now_ms

    def advance(self, duration_ms: float) -> None:
        """Advance the clock.

        Parameters
        ----------
        duration_ms : float
            Time to advance in milliseconds; must not be negative.

        Raises
        ------
        ValueError
            If `duration_ms` is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"duration_ms must not be negative, got {duration_ms}")
        self._now_ms += duration_ms
