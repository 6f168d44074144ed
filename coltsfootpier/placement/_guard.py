"""Protection of services from interference: neighbours are throttled first, then evicted."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Sequence

import attrs

from coltsfootpier.placement._slowdown import SlowdownTable
from coltsfootpier.placement._views import Placement, WorkerView
from coltsfootpier.workers import Command, TaskReport

# Task name and attempt number.
Key = tuple[str, int]

# Slowdown above which batch neighbours are throttled: the p99 latency of a service must stay
# within 1.5 times its normal value.
_MAX_SLOWDOWN = 1.5
# Throttling is relaxed only while the slowdown is well below the limit.
_RELAX_SLOWDOWN = 1.2
# Throttling halves the CPU share of a batch task down to this minimum. A task is evicted only if
# all batch tasks on the worker are at the minimum.
_MIN_CPU_SHARE = 0.25
# Time until a command takes effect on the worker and shows in measurements: one exchange period
# plus one measurement period.
_SETTLE_MS = 2_000.0
# Time without interference before throttling is relaxed by one step. It doubles, up to the maximum,
# whenever interference returns soon after a relaxation.
_INITIAL_HOLD_MS = 20_000.0
_MAX_HOLD_MS = 320_000.0
# Time after an eviction during which no task of the same job is placed on the worker.
_PLACEMENT_BLOCK_MS = 120_000.0
_MAX_HISTORY_LENGTH = 64
# Number of times each throttle command is sent, because an exchange with a worker may be lost.
_THROTTLE_SEND_COUNT = 3


@attrs.frozen(kw_only=True)
class Neighbour:
    """Running task on a worker, with the data needed to assess interference.

    Parameters
    ----------
    declared : str
        Name of the service or job of the task.
    slowdown : float
        Run time relative to running alone on the worker.
    measured_at_ms : float
        Time of the slowdown measurement, on the worker's clock.
    """

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
class _WorkerState:
    """Measurements and throttling state of one worker.

    Parameters
    ----------
    ignore_until_ms : float
        Time, on the worker's clock; measurements taken before it neither start nor relax
        throttling.
    recovered_since_ms : float or None
        Time since which the slowdown has been low enough to relax throttling; None if it isn't,
        or if throttling has just been relaxed.
    hold_ms : float
        Time without interference that is required before the next relaxation.
    last_relaxed_ms : float
        Time at which throttling was last relaxed.
    latest_measurement_ms : dict
        Time of the latest measurement of each attempt, on the worker's clock.
    history : deque
        Times, on the worker's clock, at which the set of running tasks or their CPU shares
        changed, each with the sum of the CPU shares by service or job from then on.
    """

    ignore_until_ms: float = float("-inf")
    recovered_since_ms: float | None = None
    hold_ms: float = _INITIAL_HOLD_MS
    last_relaxed_ms: float = float("-inf")
    latest_measurement_ms: dict[Key, float] = attrs.field(factory=dict)
    history: deque[tuple[float, dict[str, float]]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_HISTORY_LENGTH)
    )


class ColocationGuard:
    """Estimator of slowdowns in a shard that also protects the shard's services.

    Parameters
    ----------
    slowdowns : SlowdownTable
        Slowdown estimates to update; shared with the placement policy.
    protect_services : bool, default=True
        Whether batch neighbours of a slowed down service are throttled and evicted.

    Attributes
    ----------
    shares : dict
        CPU share of each attempt that has been throttled; all others have a share of 1.

    Notes
    -----
    Measurements are ordered by the time at which the worker took them. After a command, those
    taken before it took effect are ignored, so that one measurement can't cause two commands.
    """

    def __init__(self, *, slowdowns: SlowdownTable, protect_services: bool = True) -> None:
        self.shares: dict[Key, float] = {}
        self._slowdowns = slowdowns
        self._protects_services = protect_services
        self._workers: dict[str, _WorkerState] = {}
        # Keys are a worker and the job whose tasks must not be placed there.
        self._blocked_until_ms: dict[tuple[str, str], float] = {}
        # Share last sent for each attempt, and how many more times it will be sent.
        self._sent_shares: dict[Key, tuple[float, int]] = {}

    def remove_worker(self, worker: str) -> None:
        """Discard the state of a worker that is gone or has restarted."""
        self._workers.pop(worker, None)

    def is_blocked(self, worker: str, declared: str, now_ms: float) -> bool:
        """Return whether a task of a job was evicted from a worker recently."""
        until_ms = self._blocked_until_ms.get((worker, declared))
        if until_ms is not None and now_ms >= until_ms:
            del self._blocked_until_ms[worker, declared]
            return False
        return until_ms is not None

    def record_start(self, key: Key) -> None:
        """Record that this owner starts an attempt, which therefore runs unthrottled."""
        self._sent_shares.setdefault(key, (1.0, 0))

    def remove_attempt(self, key: Key) -> None:
        """Discard the state of an attempt that has ended."""
        self._sent_shares.pop(key, None)
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
            last_sent_share, sends_left = self._sent_shares.get(key, (1.0, _THROTTLE_SEND_COUNT))
            if last_sent_share != share:
                sends_left = _THROTTLE_SEND_COUNT
            if share == 1.0 and not sends_left:
                continue
            self._sent_shares[key] = (share, max(sends_left - 1, 0))
            yield Command(
                kind="throttle", task=entry.task, attempt=entry.attempt, epoch=epoch, share=share
            )

    def observe(
        self, worker: str, worker_now_ms: float, now_ms: float, tasks: Sequence[Neighbour]
    ) -> Eviction | None:
        """Apply a worker's report: update the estimates and adjust the CPU shares.

        Parameters
        ----------
        worker : str
            Name of the worker.
        worker_now_ms : float
            Time of the report, on the worker's clock.
        now_ms : float
            Present time, on the owner's clock.
        tasks : sequence of Neighbour
            All running tasks on the worker.

        Returns
        -------
        Eviction or None
            Task to evict if a service is slowed down and no batch task can be throttled further.
        """
        state = self._workers.setdefault(worker, _WorkerState())
        keys = {task.key for task in tasks}
        for key in state.latest_measurement_ms.keys() - keys:
            del state.latest_measurement_ms[key]
            self.shares.pop(key, None)
        newly_measured = [task for task in tasks if self._register_measurement(state, task)]
        self._update_slowdowns(state, newly_measured)
        self._record_neighbour_weights(state, worker_now_ms, tasks)
        if not self._protects_services:
            return None
        services = [
            task
            for task in newly_measured
            if task.is_service and task.measured_at_ms >= state.ignore_until_ms
        ]
        if not services:
            return None
        slowest = max(services, key=lambda task: task.slowdown)
        batch_tasks = [task for task in tasks if not task.is_service]
        if slowest.slowdown > _MAX_SLOWDOWN and batch_tasks:
            state.recovered_since_ms = None
            state.ignore_until_ms = worker_now_ms + _SETTLE_MS
            return self._throttle_or_evict(state, worker, now_ms, slowest, batch_tasks)
        if slowest.slowdown < _RELAX_SLOWDOWN:
            self._relax_throttling(state, now_ms, worker_now_ms, batch_tasks)
        else:
            state.recovered_since_ms = None
        return None

    def _register_measurement(self, state: _WorkerState, task: Neighbour) -> bool:
        last_measured_ms = state.latest_measurement_ms.get(task.key, float("-inf"))
        state.latest_measurement_ms[task.key] = max(last_measured_ms, task.measured_at_ms)
        return task.measured_at_ms > last_measured_ms

    def _update_slowdowns(self, state: _WorkerState, newly_measured: Sequence[Neighbour]) -> None:
        # A delayed measurement is attributed to the neighbours that ran when it was taken.
        for task in newly_measured:
            weights = next(
                (
                    weights
                    for at_ms, weights in reversed(state.history)
                    if at_ms <= task.measured_at_ms
                ),
                None,
            )
            if weights is None or task.declared not in weights:
                continue
            # The weights include the measured task itself.
            others = dict(weights)
            others[task.declared] -= 1.0
            others = {name: weight for name, weight in others.items() if weight > 1e-6}
            self._slowdowns.observe(task.declared, others, task.slowdown)

    def _record_neighbour_weights(
        self, state: _WorkerState, worker_now_ms: float, tasks: Sequence[Neighbour]
    ) -> None:
        weights: Counter[str] = Counter()
        for task in tasks:
            weights[task.declared] += self.shares.get(task.key, 1.0)
        if not state.history or state.history[-1][1] != weights:
            state.history.append((worker_now_ms, weights))

    def _throttle_or_evict(
        self,
        state: _WorkerState,
        worker: str,
        now_ms: float,
        service: Neighbour,
        batch_tasks: Sequence[Neighbour],
    ) -> Eviction | None:
        def rank_interference(task: Neighbour) -> tuple[float, float, Key]:
            mean, deviation = self._slowdowns.estimate(service.declared, task.declared)
            return (mean + deviation) * self.shares.get(task.key, 1.0), task.cores, task.key

        if now_ms - state.last_relaxed_ms < state.hold_ms * 2:
            # The last relaxation was too early. A longer hold time avoids repeated throttling
            # and relaxing when the interference comes in waves.
            state.hold_ms = min(2 * state.hold_ms, _MAX_HOLD_MS)
        throttleable = [
            task for task in batch_tasks if self.shares.get(task.key, 1.0) > _MIN_CPU_SHARE
        ]
        if throttleable:
            target = max(throttleable, key=rank_interference)
            share = self.shares.get(target.key, 1.0) / 2
            self.shares[target.key] = max(share, _MIN_CPU_SHARE)
            return None
        victim = max(batch_tasks, key=rank_interference)
        self._blocked_until_ms = {
            pair: until_ms for pair, until_ms in self._blocked_until_ms.items() if until_ms > now_ms
        }
        self._blocked_until_ms[worker, victim.declared] = now_ms + _PLACEMENT_BLOCK_MS
        return Eviction(key=victim.key, reason=f"slows service {service.declared} down")

    def _relax_throttling(
        self,
        state: _WorkerState,
        now_ms: float,
        worker_now_ms: float,
        batch_tasks: Sequence[Neighbour],
    ) -> None:
        if state.recovered_since_ms is None:
            state.recovered_since_ms = now_ms
        throttled = [task for task in batch_tasks if self.shares.get(task.key, 1.0) < 1.0]
        if not throttled or now_ms - state.recovered_since_ms < state.hold_ms:
            return
        task = min(throttled, key=lambda item: (self.shares[item.key], item.key))
        self.shares[task.key] = min(2 * self.shares[task.key], 1.0)
        state.recovered_since_ms = None
        state.last_relaxed_ms = now_ms
        state.ignore_until_ms = worker_now_ms + _SETTLE_MS
