"""Protection of services from interference: neighbours are throttled first, then evicted."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Sequence

import attrs

from coltsfootpier.placement._slowdown import SlowdownTable
from coltsfootpier.placement._views import Placement, WorkerView
from coltsfootpier.workers import Command, TaskReport

Key = tuple[str, int]

# Slowdown above which batch neighbours are throttled: the p99 latency of a service must stay
# within 1.5 times its normal value.
_MAX_SLOWDOWN = 1.5
# Throttling is relaxed only while the slowdown is well below the limit.
_RELAX_SLOWDOWN = 1.2
_MIN_SHARE = 0.25
# Time until a command takes effect on the worker and shows in measurements: one exchange period
# plus one measurement period.
_SETTLE_MS = 2_000.0
_INITIAL_HOLD_MS = 20_000.0
_MAX_HOLD_MS = 320_000.0
# Time during which a service or job that was evicted from a worker isn't placed there again.
_PLACEMENT_BLOCK_MS = 120_000.0
_MAX_HISTORY = 64
# Number of times a throttle command is sent, since an exchange with a worker may be lost.
_THROTTLE_SENDS = 3


@attrs.frozen(kw_only=True)
class Neighbour:
    """Running task on a worker, with the data needed to assess interference."""

    key: Key
    declared: str
    is_service: bool
    cores: float
    slowdown: float = 1.0
    measured_at_ms: float = float("-inf")


def build_neighbour(entry: Placement, report: TaskReport) -> Neighbour:
    """Build the `Neighbour` of an attempt from its record entry and its report."""
    return Neighbour(
        key=(entry.task, entry.attempt),
        declared=entry.spec.declared,
        is_service=entry.spec.kind == "service",
        cores=entry.spec.cores,
        slowdown=report.slowdown,
        measured_at_ms=report.measured_at_ms,
    )


@attrs.frozen(kw_only=True)
class Eviction:
    """Batch task that must stop because it slows down a service."""

    key: Key
    reason: str


@attrs.define
class _WorkerGuard:
    ignore_until_ms: float = float("-inf")
    recovered_since_ms: float | None = None
    hold_ms: float = _INITIAL_HOLD_MS
    last_relaxed_ms: float = float("-inf")
    measured_ms: dict[Key, float] = attrs.field(factory=dict)
    history: deque[tuple[float, dict[str, float]]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_HISTORY)
    )


class ColocationGuard:
    """Estimator of slowdowns in a shard that also protects the shard's services.

    Parameters
    ----------
    slowdowns : SlowdownTable
        Slowdown estimates to update; shared with the placement policy.
    protect_services : bool, default=True
        Whether batch neighbours are throttled and evicted.

    Notes
    -----
    Measurements are ordered by the time at which the worker took them. After a command, those
    taken before it took effect are ignored, so that one measurement can't cause two commands.
    """

    def __init__(self, *, slowdowns: SlowdownTable, protect_services: bool = True) -> None:
        self.shares: dict[Key, float] = {}
        self._slowdowns = slowdowns
        self._protects_services = protect_services
        self._workers: dict[str, _WorkerGuard] = {}
        self._blocked: dict[tuple[str, str], float] = {}
        # Share last sent for each attempt, and how many more times it will be sent.
        self._sent: dict[Key, tuple[float, int]] = {}

    def forget(self, worker: str) -> None:
        """Discard the state of a worker that is gone or has restarted."""
        self._workers.pop(worker, None)

    def is_blocked(self, worker: str, declared: str, now_ms: float) -> bool:
        """Return whether a service or job was evicted from a worker recently."""
        until_ms = self._blocked.get((worker, declared))
        if until_ms is not None and now_ms >= until_ms:
            del self._blocked[worker, declared]
            return False
        return until_ms is not None

    def record_start(self, key: Key) -> None:
        """Record that this owner starts an attempt, which therefore runs unthrottled."""
        self._sent.setdefault(key, (1.0, 0))

    def remove_attempt(self, key: Key) -> None:
        """Discard the state of an attempt that has ended."""
        self._sent.pop(key, None)
        self.shares.pop(key, None)

    def plan_throttles(
        self, entries: Iterable[Placement], view: WorkerView, epoch: int
    ) -> Iterable[Command]:
        """Yield the throttle commands that apply the current shares on a worker.

        Attempts that this owner didn't start may have been throttled by the previous owner.
        They are reset to their full share unless this owner throttles them itself.
        """
        for entry in entries:
            key = (entry.task, entry.attempt)
            report = view.reports.get(key)
            if entry.spec.kind != "batch" or report is None or report.state != "running":
                continue
            share = self.shares.get(key, 1.0)
            last_sent_share, sends_left = self._sent.get(key, (1.0, _THROTTLE_SENDS))
            if last_sent_share != share:
                sends_left = _THROTTLE_SENDS
            if share == 1.0 and not sends_left:
                continue
            self._sent[key] = (share, max(sends_left - 1, 0))
            yield Command(
                kind="throttle", task=entry.task, attempt=entry.attempt, epoch=epoch, share=share
            )

    def observe(
        self, worker: str, worker_now_ms: float, now_ms: float, tasks: Sequence[Neighbour]
    ) -> Eviction | None:
        """Process the running tasks that a worker reported and return a task to evict, if any."""
        state = self._workers.setdefault(worker, _WorkerGuard())
        keys = {task.key for task in tasks}
        for key in state.measured_ms.keys() - keys:
            del state.measured_ms[key]
            self.shares.pop(key, None)
        fresh = [task for task in tasks if self._register_measurement(state, task)]
        self._update_slowdowns(state, fresh)
        self._record_kind_weights(state, worker_now_ms, tasks)
        if not self._protects_services:
            return None
        services = [
            task
            for task in fresh
            if task.is_service and task.measured_at_ms >= state.ignore_until_ms
        ]
        if not services:
            return None
        worst = max(services, key=lambda task: task.slowdown)
        batch = [task for task in tasks if not task.is_service]
        if worst.slowdown > _MAX_SLOWDOWN and batch:
            state.recovered_since_ms = None
            state.ignore_until_ms = worker_now_ms + _SETTLE_MS
            return self._throttle_or_evict(state, worker, now_ms, worst, batch)
        if worst.slowdown < _RELAX_SLOWDOWN:
            self._relax_throttling(state, now_ms, worker_now_ms, batch)
        else:
            state.recovered_since_ms = None
        return None

    def _register_measurement(self, state: _WorkerGuard, task: Neighbour) -> bool:
        last_measured_ms = state.measured_ms.get(task.key, float("-inf"))
        state.measured_ms[task.key] = max(last_measured_ms, task.measured_at_ms)
        return task.measured_at_ms > last_measured_ms

    def _update_slowdowns(self, state: _WorkerGuard, fresh: Sequence[Neighbour]) -> None:
        # A delayed measurement is attributed to the neighbours that ran when it was taken.
        for task in fresh:
            kind_weights = next(
                (
                    kind_weights
                    for at_ms, kind_weights in reversed(state.history)
                    if at_ms <= task.measured_at_ms
                ),
                None,
            )
            if kind_weights is None or task.declared not in kind_weights:
                continue
            others = dict(kind_weights)
            others[task.declared] -= 1.0
            others = {name: count for name, count in others.items() if count > 1e-6}
            self._slowdowns.observe(task.declared, others, task.slowdown)

    def _record_kind_weights(
        self, state: _WorkerGuard, worker_now_ms: float, tasks: Sequence[Neighbour]
    ) -> None:
        kind_weights: Counter[str] = Counter()
        for task in tasks:
            kind_weights[task.declared] += self.shares.get(task.key, 1.0)
        if not state.history or state.history[-1][1] != kind_weights:
            state.history.append((worker_now_ms, kind_weights))

    def _throttle_or_evict(
        self,
        state: _WorkerGuard,
        worker: str,
        now_ms: float,
        service: Neighbour,
        batch: Sequence[Neighbour],
    ) -> Eviction | None:
        def rank_interference(task: Neighbour) -> tuple[float, float, Key]:
            mean, deviation = self._slowdowns.estimate(service.declared, task.declared)
            return (mean + deviation) * self.shares.get(task.key, 1.0), task.cores, task.key

        if now_ms - state.last_relaxed_ms < state.hold_ms * 2:
            # The last relaxation was too early. A longer hold time avoids repeated throttling
            # and relaxing when the interference comes in waves.
            state.hold_ms = min(2 * state.hold_ms, _MAX_HOLD_MS)
        throttleable = [task for task in batch if self.shares.get(task.key, 1.0) > _MIN_SHARE]
        if throttleable:
            worst = max(throttleable, key=rank_interference)
            share = self.shares.get(worst.key, 1.0) / 2
            self.shares[worst.key] = max(share, _MIN_SHARE)
            return None
        worst = max(batch, key=rank_interference)
        self._blocked = {pair: end for pair, end in self._blocked.items() if end > now_ms}
        self._blocked[worker, worst.declared] = now_ms + _PLACEMENT_BLOCK_MS
        return Eviction(key=worst.key, reason=f"slows service {service.declared} down")

    def _relax_throttling(
        self,
        state: _WorkerGuard,
        now_ms: float,
        worker_now_ms: float,
        batch: Sequence[Neighbour],
    ) -> None:
        if state.recovered_since_ms is None:
            state.recovered_since_ms = now_ms
        throttled = [task for task in batch if self.shares.get(task.key, 1.0) < 1.0]
        if not throttled or now_ms - state.recovered_since_ms < state.hold_ms:
            return
        task = min(throttled, key=lambda item: (self.shares[item.key], item.key))
        self.shares[task.key] = min(2 * self.shares[task.key], 1.0)
        state.recovered_since_ms = None
        state.last_relaxed_ms = now_ms
        state.ignore_until_ms = worker_now_ms + _SETTLE_MS
