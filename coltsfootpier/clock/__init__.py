"""Monotonic time in milliseconds."""

from coltsfootpier.clock._clock import MAX_CLOCK_DRIFT_RATIO, Clock, MonotonicClock, VirtualClock

__all__ = ["MAX_CLOCK_DRIFT_RATIO", "Clock", "MonotonicClock", "VirtualClock"]
