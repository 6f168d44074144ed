"""Counters of requests, their latencies and what spent the error budget, in one daemon."""

from __future__ import annotations

import bisect
import enum
from array import array
from collections import Counter

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.exceptions import InvariantError
from coltsfootpier.routing import Outcome, RejectionReason

# Upper bounds of the latency buckets in milliseconds, a factor of about 1.5 apart.
BOUNDS_MS = (1, 2, 3, 5, 7, 10, 15, 22, 33, 50, 75, 110, 165, 250, 375, 560, 840, 1260, 1890, 2835)

SLOT_MS = 60_000.0
# Six hours, the longest window of the report; 12 KB for each service.
SLOTS = 360
# Services that are counted; further ones are counted together, which bounds the memory.
_MAX_SERVICES = 1_000
OTHER = "(other)"

# The caller is at fault, so these spend no error budget.
_CALLER_FAULTS = frozenset(
    {RejectionReason.BAD_REQUEST.value, RejectionReason.UNKNOWN_SERVICE.value}
)
_NO_CAPACITY = frozenset({RejectionReason.NO_RUNNER.value, RejectionReason.RUNNER_REFUSED.value})


class CounterOverflowError(InvariantError):
    """More bad than finished requests were counted in a slot."""


class Cause(enum.Enum):
    """What spent a part of the error budget."""

    QUEUEING = "queueing"
    SLOW_RUNNER = "slow_runner"
    INTERFERENCE = "interference"
    REFUSED = "refused"
    NO_CAPACITY = "no_capacity"
    FAILED = "failed"
    UNKNOWN = "unknown"


_CAUSES = tuple(Cause)
_WIDTH = 1 + len(_CAUSES)


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
        Requests since the start by latency, bounds in `BOUNDS_MS` and one bucket above.
    """

    finished: tuple[int, ...]
    bad: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    latencies: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class StatsSnapshot:
    """Series of all services of one daemon; the last minute is the current one."""

    services: dict[str, ServiceSeries] = attrs.field(factory=dict)


class _Ring:
    """Counts of one service in a ring of minutes."""

    def __init__(self, slot: int) -> None:
        self._newest = slot
        self._counts = array("I", bytes(4 * SLOTS * _WIDTH))
        self.latencies = [0] * (len(BOUNDS_MS) + 1)

    def add(self, slot: int, cause: Cause | None) -> None:
        self._advance(slot)
        offset = (slot % SLOTS) * _WIDTH
        self._counts[offset] += 1
        if cause is not None:
            self._counts[offset + 1 + _CAUSES.index(cause)] += 1

    def series(self, slot: int, minutes: int) -> ServiceSeries:
        self._advance(slot)
        offsets = [(index % SLOTS) * _WIDTH for index in range(slot - minutes + 1, slot + 1)]
        finished = tuple(self._counts[offset] for offset in offsets)
        bad = {
            cause.value: tuple(self._counts[offset + 1 + index] for offset in offsets)
            for index, cause in enumerate(_CAUSES)
        }
        for count, *causes in zip(finished, *bad.values(), strict=True):
            if sum(causes) > count:
                raise CounterOverflowError(f"{sum(causes)} bad of {count} finished requests")
        return ServiceSeries(
            finished=finished,
            bad={cause: counts for cause, counts in bad.items() if any(counts)},
            latencies=tuple(self.latencies),
        )

    def _advance(self, slot: int) -> None:
        for stale in range(self._newest + 1, min(slot, self._newest + SLOTS) + 1):
            offset = (stale % SLOTS) * _WIDTH
            self._counts[offset : offset + _WIDTH] = array("I", bytes(4 * _WIDTH))
        self._newest = max(self._newest, slot)


class RequestStats:
    """Outcomes and latencies by service.

    The counters are plain integers: a metrics call on the request path costs more than the
    decision itself, so metrics are computed from here when they are scraped.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        self._clock = clock
        self._rings: dict[str, _Ring] = {}

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
            What became of the request.
        reason : str
            Reason of a refusal.
        latency_ms : float
            Time from arrival to answer.
        waited_ms : float
            Part of it that was spent waiting for a slot.
        objective_ms : float
            Latency objective of the service.
        slowdown : float, default=1.0
            Slowdown that was last reported for the runner.
        """
        if service not in self._rings and len(self._rings) >= _MAX_SERVICES:
            service = OTHER
        self.outcomes[service, outcome.value, reason] += 1
        if reason in _CALLER_FAULTS:
            return
        slot = self._slot()
        ring = self._rings.setdefault(service, _Ring(slot))
        ring.latencies[bisect.bisect_left(BOUNDS_MS, latency_ms)] += 1
        late = latency_ms > objective_ms
        ring.add(slot, _find_cause(outcome, reason, late, latency_ms, waited_ms, slowdown))

    def latencies(self) -> dict[str, list[int]]:
        """Return the latency histogram of each service since the start."""
        return {service: ring.latencies for service, ring in self._rings.items()}

    def snapshot(self, *, minutes: int = SLOTS) -> StatsSnapshot:
        """Return the newest minutes of all services."""
        slot = self._slot()
        return StatsSnapshot(
            services={service: ring.series(slot, minutes) for service, ring in self._rings.items()}
        )

    def _slot(self) -> int:
        return int(self._clock.now_ms() // SLOT_MS)


def _find_cause(
    outcome: Outcome,
    reason: str,
    late: bool,
    latency_ms: float,
    waited_ms: float,
    slowdown: float,
) -> Cause | None:
    if outcome is Outcome.REFUSED:
        return Cause.NO_CAPACITY if reason in _NO_CAPACITY else Cause.REFUSED
    if outcome is Outcome.FAILED:
        return Cause.FAILED
    if outcome is Outcome.UNKNOWN:
        return Cause.UNKNOWN
    if not late:
        return None
    if waited_ms > latency_ms / 2:
        return Cause.QUEUEING
    # Below a fifth the slowdown explains too little of a missed objective.
    return Cause.INTERFERENCE if slowdown > 1.2 else Cause.SLOW_RUNNER
