"""Counters of the requests of one daemon: outcomes, latencies and causes of missed objectives."""

from __future__ import annotations

import bisect
import enum
from array import array
from collections import Counter

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.exceptions import InvariantError
from coltsfootpier.routing import Outcome, RejectionReason

# Upper bounds of the buckets of the latency histogram, a factor of about 1.5 apart.
BOUNDS_MS = (1, 2, 3, 5, 7, 10, 15, 22, 33, 50, 75, 110, 165, 250, 375, 560, 840, 1260, 1890, 2835)

_MINUTE_MS = 60_000.0
# Six hours, the longest window of the report; the counters take 12 KB for each service.
_RING_MINUTES = 360
# Services beyond this number are counted together as `OTHER_SERVICES`, which bounds the memory.
_MAX_SERVICES = 1_000
OTHER_SERVICES = "(other)"

# Rejections for a fault of the caller spend no error budget.
_CALLER_FAULTS = frozenset(
    {RejectionReason.BAD_REQUEST.value, RejectionReason.UNKNOWN_SERVICE.value}
)
_NO_CAPACITY = frozenset({RejectionReason.NO_RUNNER.value, RejectionReason.RUNNER_REFUSED.value})


class InconsistentCountsError(InvariantError):
    """More requests missed the objective in one minute than were finished in it."""


class Cause(enum.Enum):
    """Cause of a request that spent error budget."""

    QUEUEING = "queueing"
    SLOW_RUNNER = "slow_runner"
    INTERFERENCE = "interference"
    REFUSED = "refused"
    NO_CAPACITY = "no_capacity"
    FAILED = "failed"
    UNKNOWN = "unknown"


_CAUSES = tuple(Cause)
_COUNTERS_PER_MINUTE = 1 + len(_CAUSES)


@attrs.frozen(kw_only=True)
class ServiceSeries:
    """Counts of one service by minute.

    Parameters
    ----------
    finished : tuple of int, shape (n_minutes,)
        Requests that count towards the objective, oldest minute first.
    bad : dict of str to tuple of int
        Requests that missed the objective, by cause, shape (n_minutes,) each.
    latencies : tuple of int, shape (n_buckets,)
        Requests by latency since the daemon started; upper bounds are in `BOUNDS_MS`, and the
        last bucket holds all higher latencies.
    """

    finished: tuple[int, ...]
    bad: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    latencies: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class StatsSnapshot:
    """Counts of all services of one daemon; the last minute is the current one."""

    services: dict[str, ServiceSeries] = attrs.field(factory=dict)


class _MinuteRing:
    """Counts of one service in a ring buffer of minutes, and its latency histogram.

    The ring buffer holds one counter of finished requests and one for each cause in every minute.
    Minutes are numbered on the daemon's monotonic clock.
    """

    def __init__(self, minute: int) -> None:
        self._newest_minute = minute
        self._counts = array("I", bytes(4 * _RING_MINUTES * _COUNTERS_PER_MINUTE))
        self.latencies = [0] * (len(BOUNDS_MS) + 1)

    def add_request(self, minute: int, cause: Cause | None) -> None:
        """Count a finished request; the cause is None if it met the objective."""
        self._advance(minute)
        offset = (minute % _RING_MINUTES) * _COUNTERS_PER_MINUTE
        self._counts[offset] += 1
        if cause is not None:
            self._counts[offset + 1 + _CAUSES.index(cause)] += 1

    def build_series(self, minute: int, n_minutes: int) -> ServiceSeries:
        """Return the counts of the last `n_minutes` minutes, of which `minute` is the newest."""
        self._advance(minute)
        offsets = [
            (index % _RING_MINUTES) * _COUNTERS_PER_MINUTE
            for index in range(minute - n_minutes + 1, minute + 1)
        ]
        finished = tuple(self._counts[offset] for offset in offsets)
        bad = {
            cause.value: tuple(self._counts[offset + 1 + index] for offset in offsets)
            for index, cause in enumerate(_CAUSES)
        }
        for count, *bad_counts in zip(finished, *bad.values(), strict=True):
            if sum(bad_counts) > count:
                raise InconsistentCountsError(
                    f"{sum(bad_counts)} bad requests exceed {count} finished requests"
                )
        return ServiceSeries(
            finished=finished,
            bad={cause: counts for cause, counts in bad.items() if any(counts)},
            latencies=tuple(self.latencies),
        )

    def _advance(self, minute: int) -> None:
        # Each new minute reuses the counters of the minute six hours before, which are reset here.
        for new_minute in range(
            self._newest_minute + 1, min(minute, self._newest_minute + _RING_MINUTES) + 1
        ):
            offset = (new_minute % _RING_MINUTES) * _COUNTERS_PER_MINUTE
            self._counts[offset : offset + _COUNTERS_PER_MINUTE] = array(
                "I", bytes(4 * _COUNTERS_PER_MINUTE)
            )
        self._newest_minute = max(self._newest_minute, minute)


class RequestStats:
    """Outcomes and latencies of the requests of one daemon, by service.

    The counters are plain integers, from which metrics are computed when they are scraped: a
    call of the metrics library on the request path costs more than the routing decision itself.

    Parameters
    ----------
    clock : Clock
        Time source.

    Attributes
    ----------
    outcomes : Counter of tuple of str
        Requests since the daemon started, by service, outcome and reason.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        self._clock = clock
        self._rings: dict[str, _MinuteRing] = {}

    def record(
        self,
        service: str,
        outcome: Outcome,
        reason: str,
        *,
        latency_ms: float,
        waited_ms: float,
        objective_ms: float,
        slowdown: float = 1.0,
    ) -> None:
        """Count one finished request.

        Parameters
        ----------
        service : str
            Name of the declared service.
        outcome : Outcome
            How the request ended.
        reason : str
            Reason of the outcome, such as the value of a `RejectionReason`; may be empty.
        latency_ms : float
            Time from arrival to response.
        waited_ms : float
            Part of the latency that was spent waiting for a slot.
        objective_ms : float
            Latency objective of the service.
        slowdown : float, default=1.0
            Last reported run time of the runner relative to running alone on its worker.
        """
        if service not in self._rings and len(self._rings) >= _MAX_SERVICES:
            service = OTHER_SERVICES
        self.outcomes[service, outcome.value, reason] += 1
        if reason in _CALLER_FAULTS:
            return
        minute = self._compute_minute()
        ring = self._rings.setdefault(service, _MinuteRing(minute))
        ring.latencies[bisect.bisect_left(BOUNDS_MS, latency_ms)] += 1
        is_late = latency_ms > objective_ms
        ring.add_request(
            minute, _classify_cause(outcome, reason, is_late, latency_ms, waited_ms, slowdown)
        )

    def get_latency_histograms(self) -> dict[str, list[int]]:
        """Return the latency histogram of each service since the daemon started.

        Each histogram has one count for each bound of `BOUNDS_MS`, and one for higher latencies.
        """
        return {service: ring.latencies for service, ring in self._rings.items()}

    def snapshot(self, *, minutes: int = _RING_MINUTES) -> StatsSnapshot:
        """Return the counts of all services in the last `minutes` minutes."""
        minute = self._compute_minute()
        return StatsSnapshot(
            services={
                service: ring.build_series(minute, minutes) for service, ring in self._rings.items()
            }
        )

    def _compute_minute(self) -> int:
        return int(self._clock.now_ms() // _MINUTE_MS)


def _classify_cause(
    outcome: Outcome,
    reason: str,
    is_late: bool,
    latency_ms: float,
    waited_ms: float,
    slowdown: float,
) -> Cause | None:
    """Return why a request spent error budget, or None if it met the objective."""
    if outcome is Outcome.REFUSED:
        return Cause.NO_CAPACITY if reason in _NO_CAPACITY else Cause.REFUSED
    if outcome is Outcome.FAILED:
        return Cause.FAILED
    if outcome is Outcome.UNKNOWN:
        return Cause.UNKNOWN
    if not is_late:
        return None
    if waited_ms > latency_ms / 2:
        return Cause.QUEUEING
    # A slowdown of less than 20 % explains too little of a missed objective.
    return Cause.INTERFERENCE if slowdown > 1.2 else Cause.SLOW_RUNNER
