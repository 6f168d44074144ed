"""What a daemon has measured of each runner: answer times, refusals and failures."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.routing._messages import AttemptResult, Feedback

# Weight of the newest sample; about the last twenty answers count.
_SMOOTHING = 0.05
# One extreme answer must neither starve a runner nor draw all requests to it.
_SLOWNESS_BOUNDS = (0.25, 4.0)
# Measured slowness halves towards 1 in this time, so a slow runner is tried again.
_SLOWNESS_HALF_LIFE_MS = 5_000.0
# Failures of distinct requests in a row, without an answer in between, that eject a runner.
_EJECT_FAILURES = 5
_PROBE_AFTER_MS = 1_000.0
_MAX_PROBE_AFTER_MS = 30_000.0
# A probe whose feedback got lost doesn't keep a runner out for ever.
_PROBE_TIMEOUT_MS = 10_000.0


@attrs.define
class _Record:
    slowness: float = 1.0
    measured_ms: float = 0.0
    refusal_rate: float = 0.0
    failed_requests: set[str] = attrs.field(factory=set)
    ejected: bool = False
    blocked_until_ms: float = 0.0
    backoff_ms: float = _PROBE_AFTER_MS


class RunnerHealth:
    """Estimates and ejections of the runners, from the feedback of requests.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = defaultdict(_Record)
        self._kind_ms: dict[tuple[str, str], float] = {}
        self._service_ms: dict[str, float] = {}
        self._peer_ejected: dict[str, frozenset[str]] = {}

    def retain(self, runner_ids: Collection[str]) -> None:
        """Forget runners that are gone."""
        for id_ in self._records.keys() - set(runner_ids):
            del self._records[id_]

    def observe_peer(self, peer: str, ejected: Collection[str]) -> None:
        """Take the runners that a peer has ejected."""
        self._peer_ejected[peer] = frozenset(ejected)

    def retain_peers(self, members: Collection[str]) -> None:
        """Forget the ejections of peers that are gone."""
        self._peer_ejected = {
            peer: ids for peer, ids in self._peer_ejected.items() if peer in members
        }

    def observe(
        self, service: str, kind: str, runner_id: str, feedback: Feedback, runners: Collection[str]
    ) -> None:
        """Take the result of one attempt.

        Parameters
        ----------
        service, kind : str
            What was requested.
        runner_id : str
            Where it was sent.
        feedback : Feedback
            The result.
        runners : collection of str
            All runners of the service, of which at most a third is ejected.
        """
        record = self._records[runner_id]
        refused = feedback.result is AttemptResult.REFUSED
        record.refusal_rate += _SMOOTHING * (refused - record.refusal_rate)
        if refused:
            return
        now_ms = self._clock.now_ms()
        if feedback.result is AttemptResult.ANSWERED:
            record.failed_requests.clear()
            record.ejected = False
            record.blocked_until_ms = 0.0
            record.backoff_ms = _PROBE_AFTER_MS
            self._measure(service, kind, record, feedback.elapsed_ms)
            return
        if feedback.result is AttemptResult.UNREACHABLE or record.ejected:
            # Nothing listens there, or the probe failed.
            self._block(record, now_ms)
            return
        record.failed_requests.add(feedback.request_id)
        if len(record.failed_requests) >= _EJECT_FAILURES and self._may_eject(runner_id, runners):
            record.ejected = True
            self._block(record, now_ms)

    def may_use(self, runner_id: str) -> bool:
        """Whether a request may be sent to a runner now."""
        record = self._records.get(runner_id)
        return record is None or record.blocked_until_ms <= self._clock.now_ms()

    def begin_probe(self, runner_id: str) -> None:
        """Note that a request is sent; an ejected runner gets no other one meanwhile."""
        record = self._records.get(runner_id)
        if record is not None and record.blocked_until_ms > 0.0:
            record.blocked_until_ms = self._clock.now_ms() + _PROBE_TIMEOUT_MS

    def ejected(self) -> tuple[str, ...]:
        """Return the runners that this daemon has ejected."""
        return tuple(sorted(id_ for id_, record in self._records.items() if record.ejected))

    def limit_ejections(self, runners: Collection[str]) -> None:
        """Take runners back where all daemons together have ejected more than a third.

        Daemons that eject at the same time don't know of each other yet. Each keeps the same
        third, the first ones in the order of identifiers.
        """
        kept = sorted(self._all_ejected(runners))[: len(runners) // 3]
        for id_ in runners:
            record = self._records.get(id_)
            if record is not None and record.ejected and id_ not in kept:
                self._records[id_] = _Record()

    def slowness(self, runner_id: str) -> float:
        """Return the answer time of a runner relative to the average of the request kinds."""
        record = self._records.get(runner_id)
        if record is None:
            return 1.0
        age_ms = self._clock.now_ms() - record.measured_ms
        return 1.0 + (record.slowness - 1.0) * 0.5 ** (age_ms / _SLOWNESS_HALF_LIFE_MS)

    def refusal_rate(self, runner_id: str) -> float:
        """Return the share of recent requests that a runner refused before the start."""
        record = self._records.get(runner_id)
        return record.refusal_rate if record is not None else 0.0

    def response_ms(self, service: str, kind: str = "") -> float:
        """Return the average answer time of a request kind, or of its service; 0 if unknown."""
        return self._kind_ms.get((service, kind)) or self._service_ms.get(service, 0.0)

    def _measure(self, service: str, kind: str, record: _Record, elapsed_ms: float) -> None:
        average_ms = self._kind_ms.get((service, kind), elapsed_ms)
        ratio = elapsed_ms / max(average_ms, 0.1)
        low, high = _SLOWNESS_BOUNDS
        record.slowness += _SMOOTHING * (min(high, max(low, ratio)) - record.slowness)
        record.measured_ms = self._clock.now_ms()
        self._kind_ms[service, kind] = average_ms + _SMOOTHING * (elapsed_ms - average_ms)
        known_ms = self._service_ms.get(service, elapsed_ms)
        self._service_ms[service] = known_ms + _SMOOTHING * (elapsed_ms - known_ms)

    def _all_ejected(self, runners: Collection[str]) -> set[str]:
        known = set(self.ejected()).union(*self._peer_ejected.values())
        return known & set(runners)

    def _may_eject(self, runner_id: str, runners: Collection[str]) -> bool:
        return len(self._all_ejected(runners) | {runner_id}) <= len(runners) // 3

    @staticmethod
    def _block(record: _Record, now_ms: float) -> None:
        record.blocked_until_ms = now_ms + record.backoff_ms
        record.backoff_ms = min(2 * record.backoff_ms, _MAX_PROBE_AFTER_MS)
