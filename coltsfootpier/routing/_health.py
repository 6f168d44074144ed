"""Health of runners as observed by one daemon: response times, rejections and failures."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.routing._messages import AttemptResult, Feedback

# Weight of the newest sample in the exponential moving averages, which therefore cover about the
# last twenty samples.
_SMOOTHING_FACTOR = 0.05
# Bounds of one slowness sample, so that a single outlier neither starves a runner nor attracts
# all requests to it.
_SLOWNESS_BOUNDS = (0.25, 4.0)
# Half-life of the decay of the measured slowness towards 1. Without the decay, a slow runner
# might receive no more requests and never be measured again.
_SLOWNESS_HALF_LIFE_MS = 5_000.0
# Consecutive failures of distinct requests after which a runner is ejected.
_MIN_EJECTION_FAILURES = 5
# Time for which a runner is blocked before it is probed; doubles with each further failure, up to
# the maximum.
_INITIAL_PROBE_DELAY_MS = 1_000.0
_MAX_PROBE_DELAY_MS = 30_000.0
# Maximum time for which a probe blocks a runner if the probe's feedback is lost.
_PROBE_TIMEOUT_MS = 10_000.0


@attrs.define
class _RunnerRecord:
    # Response time relative to the average of the request kind.
    slowness: float = 1.0
    measured_at_ms: float = 0.0
    rejection_rate: float = 0.0
    failed_requests: set[str] = attrs.field(factory=set)
    is_ejected: bool = False
    blocked_until_ms: float = 0.0
    probe_delay_ms: float = _INITIAL_PROBE_DELAY_MS


class RunnerHealth:
    """Response time estimates and ejections of runners, based on request feedback.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _RunnerRecord] = defaultdict(_RunnerRecord)
        self._kind_response_ms: dict[tuple[str, str], float] = {}
        self._service_response_ms: dict[str, float] = {}
        self._peer_ejected: dict[str, frozenset[str]] = {}

    def retain_runners(self, runner_ids: Collection[str]) -> None:
        """Remove the records of runners that aren't in `runner_ids`."""
        for id_ in self._records.keys() - set(runner_ids):
            del self._records[id_]

    def observe_peer_ejections(self, peer: str, ejected: Collection[str]) -> None:
        """Replace the set of runners that a peer has ejected."""
        self._peer_ejected[peer] = frozenset(ejected)

    def retain_peers(self, members: Collection[str]) -> None:
        """Remove the ejections reported by daemons that are not members."""
        self._peer_ejected = {
            peer: ids for peer, ids in self._peer_ejected.items() if peer in members
        }

    def record_result(
        self, service: str, kind: str, runner_id: str, feedback: Feedback, runners: Collection[str]
    ) -> None:
        """Update the record of a runner with the result of one attempt.

        Parameters
        ----------
        service, kind : str
            Service and request kind.
        runner_id : str
            Runner that the request was sent to.
        feedback : Feedback
            Result of the attempt.
        runners : collection of str
            All runners of the service; at most a third of them is ejected.
        """
        record = self._records[runner_id]
        rejected = feedback.result is AttemptResult.REFUSED
        record.rejection_rate += _SMOOTHING_FACTOR * (rejected - record.rejection_rate)
        if rejected:
            return
        now_ms = self._clock.now_ms()
        if feedback.result is AttemptResult.ANSWERED:
            record.failed_requests.clear()
            record.is_ejected = False
            record.blocked_until_ms = 0.0
            record.probe_delay_ms = _INITIAL_PROBE_DELAY_MS
            self._update_estimates(service, kind, record, feedback.elapsed_ms)
            return
        if feedback.result is AttemptResult.UNREACHABLE or record.is_ejected:
            # The runner accepts no connection, or a probe of an ejected runner failed.
            self._block(record, now_ms)
            return
        record.failed_requests.add(feedback.request_id)
        if len(record.failed_requests) >= _MIN_EJECTION_FAILURES and self._may_eject(
            runner_id, runners
        ):
            record.is_ejected = True
            self._block(record, now_ms)

    def is_usable(self, runner_id: str) -> bool:
        """Return whether a request may be sent to a runner now."""
        record = self._records.get(runner_id)
        return record is None or record.blocked_until_ms <= self._clock.now_ms()

    def record_request_sent(self, runner_id: str) -> None:
        """Record that a request is sent to a runner.

        If the runner was blocked, the request is a probe, and the runner is blocked for further
        requests until the feedback arrives or the probe times out.
        """
        record = self._records.get(runner_id)
        if record is not None and record.blocked_until_ms > 0.0:
            record.blocked_until_ms = self._clock.now_ms() + _PROBE_TIMEOUT_MS

    def list_ejected(self) -> tuple[str, ...]:
        """Return the runners that this daemon has ejected."""
        return tuple(sorted(id_ for id_, record in self._records.items() if record.is_ejected))

    def limit_ejections(self, runners: Collection[str]) -> None:
        """Revert this daemon's ejections if the daemons together have ejected too many runners.

        Daemons may eject different runners before they receive each other's ejections. If these
        are more than a third of the service's runners, every daemon keeps only the ejections of
        the same third: those with the lowest identifiers among the ejected ones.

        Parameters
        ----------
        runners : collection of str
            All runners of the service.
        """
        kept = sorted(self._list_all_ejected(runners))[: len(runners) // 3]
        for id_ in runners:
            record = self._records.get(id_)
            if record is not None and record.is_ejected and id_ not in kept:
                self._records[id_] = _RunnerRecord()

    def slowness(self, runner_id: str) -> float:
        """Return the response time of a runner relative to the average of the request kinds.

        The result is 1 if nothing has been measured, and decays towards 1 since the last
        measurement.
        """
        record = self._records.get(runner_id)
        if record is None:
            return 1.0
        age_ms = self._clock.now_ms() - record.measured_at_ms
        return 1.0 + (record.slowness - 1.0) * 0.5 ** (age_ms / _SLOWNESS_HALF_LIFE_MS)

    def rejection_rate(self, runner_id: str) -> float:
        """Return the fraction of recent requests that a runner rejected before starting them."""
        record = self._records.get(runner_id)
        return record.rejection_rate if record is not None else 0.0

    def response_ms(self, service: str, kind: str = "") -> float:
        """Return the average response time of a request kind in milliseconds.

        If the kind has not been measured, the result is the average of its service, or 0 if that
        has not been measured either.
        """
        return self._kind_response_ms.get((service, kind)) or self._service_response_ms.get(
            service, 0.0
        )

    def _update_estimates(
        self, service: str, kind: str, record: _RunnerRecord, elapsed_ms: float
    ) -> None:
        average_ms = self._kind_response_ms.get((service, kind), elapsed_ms)
        ratio = elapsed_ms / max(average_ms, 0.1)
        low, high = _SLOWNESS_BOUNDS
        record.slowness += _SMOOTHING_FACTOR * (min(high, max(low, ratio)) - record.slowness)
        record.measured_at_ms = self._clock.now_ms()
        self._kind_response_ms[service, kind] = average_ms + _SMOOTHING_FACTOR * (
            elapsed_ms - average_ms
        )
        service_average_ms = self._service_response_ms.get(service, elapsed_ms)
        self._service_response_ms[service] = service_average_ms + _SMOOTHING_FACTOR * (
            elapsed_ms - service_average_ms
        )

    def _list_all_ejected(self, runners: Collection[str]) -> set[str]:
        all_ejected = set(self.list_ejected()).union(*self._peer_ejected.values())
        return all_ejected & set(runners)

    def _may_eject(self, runner_id: str, runners: Collection[str]) -> bool:
        return len(self._list_all_ejected(runners) | {runner_id}) <= len(runners) // 3

    @staticmethod
    def _block(record: _RunnerRecord, now_ms: float) -> None:
        record.blocked_until_ms = now_ms + record.probe_delay_ms
        record.probe_delay_ms = min(2 * record.probe_delay_ms, _MAX_PROBE_DELAY_MS)
