"""Reaction to services that their neighbours slow down: throttle first, then evict."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Sequence

import attrs

from coltsfootpier.placement._slowdown import SlowdownTable
from coltsfootpier.placement._views import Placement, WorkerView
from coltsfootpier.workers import Command, TaskReport

Key = tuple[str, int]

# A service's p99 is to stay within 1.5 times its normal value.
_LIMIT = 1.5
# Throttling is taken back only well below the limit.
_CALM = 1.2
_LEAST_SHARE = 0.25
# Time on the worker until a command is in force and shows in measurements: one exchange
# period and one measurement.
_SETTLE_MS = 2_000.0
_HOLD_MS = 20_000.0
_LONGEST_HOLD_MS = 320_000.0
# A kind that was evicted from a worker isn't placed there again within this time.
_BLOCK_MS = 120_000.0
_HISTORY = 64
# A throttle command is repeated, since an exchange with a worker may be lost.
_REPEATS = 3


@attrs.frozen(kw_only=True)
class Neighbour:
    """A task on a worker, as far as interference is concerned."""

    key: Key
    declared: str
    is_service: bool
    cores: float
    slowdown: float = 1.0
    measured_at_ms: float = float("-inf")


def build_neighbour(entry: Placement, report: TaskReport) -> Neighbour:
    """Return what a report says about interference."""
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
    """A batch task to stop because it slows a service down."""

    key: Key
    reason: str


@attrs.define
class _WorkerGuard:
    ignore_until_ms: float = float("-inf")
    calm_since_ms: float | None = None
    hold_ms: float = _HOLD_MS
    relaxed_ms: float = float("-inf")
    measured_ms: dict[Key, float] = attrs.field(factory=dict)
    history: deque[tuple[float, dict[str, float]]] = attrs.field(
        factory=lambda: deque(maxlen=_HISTORY)
    )


class ColocationGuard:
    """Learns from the reports of a shard's workers and protects its services.

    Parameters
    ----------
    slowdowns : SlowdownTable
        What is learned; shared with the placement policy.
    reacts : bool, default=True
        Whether batch neighbours are throttled and evicted.

    Notes
    -----
    Measurements are judged by the time at which they were taken on the worker. After a
    reaction those from before it took effect are ignored, so that no measurement causes two.
    """

    def __init__(self, *, slowdowns: SlowdownTable, protect_services: bool = True) -> None:
        self.shares: dict[Key, float] = {}
        self._slowdowns = slowdowns
        self._reacts = protect_services
        self._workers: dict[str, _WorkerGuard] = {}
        self._blocked: dict[tuple[str, str], float] = {}
        # Share that was sent last for each attempt, and how often it is still repeated.
        self._sent: dict[Key, tuple[float, int]] = {}

    def forget(self, worker: str) -> None:
        """Drop the state of a worker that is gone or was restarted."""
        self._workers.pop(worker, None)

    def is_blocked(self, worker: str, declared: str, now_ms: float) -> bool:
        """Whether a kind was evicted from a worker a short time ago."""
        until_ms = self._blocked.get((worker, declared))
        if until_ms is not None and now_ms >= until_ms:
            del self._blocked[worker, declared]
            return False
        return until_ms is not None

    def note_start(self, key: Key) -> None:
        """Note that this owner starts an attempt, which then isn't throttled."""
        self._sent.setdefault(key, (1.0, 0))

    def drop(self, key: Key) -> None:
        """Forget an attempt that has ended."""
        self._sent.pop(key, None)
        self.shares.pop(key, None)

    def plan_throttles(
        self, entries: Iterable[Placement], view: WorkerView, epoch: int
    ) -> Iterable[Command]:
        """Yield the commands that bring the throttling on a worker in line.

        The previous owner may have throttled the attempts that this one didn't start; these
        get their full share until there is a reason against it.
        """
        for entry in entries:
            key = (entry.task, entry.attempt)
            report = view.reports.get(key)
            if entry.spec.kind != "batch" or report is None or report.state != "running":
                continue
            share = self.shares.get(key, 1.0)
            known, left = self._sent.get(key, (1.0, _REPEATS))
            if known != share:
                left = _REPEATS
            if share == 1.0 and not left:
                continue
            self._sent[key] = (share, max(left - 1, 0))
            yield Command(
                kind="throttle", task=entry.task, attempt=entry.attempt, epoch=epoch, share=share
            )

    def observe(
        self, worker: str, worker_now_ms: float, now_ms: float, tasks: Sequence[Neighbour]
    ) -> Eviction | None:
        """Take the running tasks that a worker reported; return a task to evict, if any."""
        state = self._workers.setdefault(worker, _WorkerGuard())
        keys = {task.key for task in tasks}
        for key in state.measured_ms.keys() - keys:
            del state.measured_ms[key]
            self.shares.pop(key, None)
        fresh = [task for task in tasks if self._is_fresh(state, task)]
        self._learn(state, fresh)
        self._remember(state, worker_now_ms, tasks)
        if not self._reacts:
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
        if worst.slowdown > _LIMIT and batch:
            state.calm_since_ms = None
            state.ignore_until_ms = worker_now_ms + _SETTLE_MS
            return self._react(state, worker, now_ms, worst, batch)
        if worst.slowdown < _CALM:
            self._relax(state, now_ms, worker_now_ms, batch)
        else:
            state.calm_since_ms = None
        return None

    def _is_fresh(self, state: _WorkerGuard, task: Neighbour) -> bool:
        known_ms = state.measured_ms.get(task.key, float("-inf"))
        state.measured_ms[task.key] = max(known_ms, task.measured_at_ms)
        return task.measured_at_ms > known_ms

    def _learn(self, state: _WorkerGuard, fresh: Sequence[Neighbour]) -> None:
        # A late measurement is set against the neighbours that were there at its time.
        for task in fresh:
            mix = next(
                (mix for at_ms, mix in reversed(state.history) if at_ms <= task.measured_at_ms),
                None,
            )
            if mix is None or task.declared not in mix:
                continue
            others = dict(mix)
            others[task.declared] -= 1.0
            others = {name: count for name, count in others.items() if count > 1e-6}
            self._slowdowns.observe(task.declared, others, task.slowdown)

    def _remember(
        self, state: _WorkerGuard, worker_now_ms: float, tasks: Sequence[Neighbour]
    ) -> None:
        mix: Counter[str] = Counter()
        for task in tasks:
            mix[task.declared] += self.shares.get(task.key, 1.0)
        if not state.history or state.history[-1][1] != mix:
            state.history.append((worker_now_ms, mix))

    def _react(
        self,
        state: _WorkerGuard,
        worker: str,
        now_ms: float,
        service: Neighbour,
        batch: Sequence[Neighbour],
    ) -> Eviction | None:
        def harm(task: Neighbour) -> tuple[float, float, Key]:
            mean, deviation = self._slowdowns.estimate(service.declared, task.declared)
            return (mean + deviation) * self.shares.get(task.key, 1.0), task.cores, task.key

        if now_ms - state.relaxed_ms < state.hold_ms * 2:
            # The last relaxation was premature; waves of noisy work would repeat it.
            state.hold_ms = min(2 * state.hold_ms, _LONGEST_HOLD_MS)
        full = [task for task in batch if self.shares.get(task.key, 1.0) > _LEAST_SHARE]
        if full:
            worst = max(full, key=harm)
            share = self.shares.get(worst.key, 1.0) / 2
            self.shares[worst.key] = max(share, _LEAST_SHARE)
            return None
        worst = max(batch, key=harm)
        self._blocked = {pair: end for pair, end in self._blocked.items() if end > now_ms}
        self._blocked[worker, worst.declared] = now_ms + _BLOCK_MS
        return Eviction(key=worst.key, reason=f"slows service {service.declared} down")

    def _relax(
        self,
        state: _WorkerGuard,
        now_ms: float,
        worker_now_ms: float,
        batch: Sequence[Neighbour],
    ) -> None:
        if state.calm_since_ms is None:
            state.calm_since_ms = now_ms
        throttled = [task for task in batch if self.shares.get(task.key, 1.0) < 1.0]
        if not throttled or now_ms - state.calm_since_ms < state.hold_ms:
            return
        task = min(throttled, key=lambda item: (self.shares[item.key], item.key))
        self.shares[task.key] = min(2 * self.shares[task.key], 1.0)
        state.calm_since_ms = None
        state.relaxed_ms = now_ms
        state.ignore_until_ms = worker_now_ms + _SETTLE_MS
