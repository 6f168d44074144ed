"""Sizes of present and temporarily absent workers, and whether a task fits on any of them."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from coltsfootpier.declaration import TaskSpec
from coltsfootpier.dispatch._link import ShardLink
from coltsfootpier.placement import ExchangeReply, fits

Size = tuple[float, int, int]

# Time for all shards to report before a job is rejected because it fits on no worker.
_REJECT_AFTER_MS = 10_000.0
# Time for which a worker size counts as available after it was last seen, and within which a
# shard without workers is expected back: regions can lose contact for up to an hour.
_MAX_ABSENCE_MS = 3_600_000.0


@attrs.frozen
class Assessment:
    """Reason why a task fits on no worker now, and whether this is final."""

    reason: str
    is_final: bool = False


class KnownSizes:
    """Worker sizes with the time at which each was last reported."""

    def __init__(self, *, now_ms: float) -> None:
        self._started_ms = now_ms
        self._size_seen_ms: dict[Size, float] = {}
        self._shard_seen_ms: dict[str, float] = {}

    @property
    def largest(self) -> Size:
        """Largest known size; cores are compared first."""
        return max(self._size_seen_ms, default=(0.0, 0, 0))

    def observe_reply(self, reply: ExchangeReply, now_ms: float) -> None:
        """Record the sizes of the workers that a shard reported."""
        for size in {worker.size for worker in reply.workers}:
            self._size_seen_ms[size] = now_ms
        if reply.workers:
            self._shard_seen_ms[reply.shard] = now_ms

    def assess(self, spec: TaskSpec, links: Mapping[str, ShardLink], now_ms: float) -> Assessment:
        """Assess whether a task that fits on no worker now can ever run.

        A larger worker may belong to a shard that is temporarily unreachable, so the result is
        final only if every shard has reported workers or has had none for an hour.
        """
        known_sizes = [
            size
            for size, seen_ms in self._size_seen_ms.items()
            if now_ms - seen_ms < _MAX_ABSENCE_MS
        ]
        if any(fits(spec.size, size) for size in known_sizes):
            return Assessment("no free worker is large enough now")
        reason = f"fits no worker: needs {spec.size}"
        absent_shards = sorted(
            shard
            for shard, link in links.items()
            if not link.workers
            and now_ms - self._shard_seen_ms.get(shard, self._started_ms) < _MAX_ABSENCE_MS
        )
        if absent_shards:
            return Assessment(f"{reason}; no workers known in {', '.join(absent_shards)}")
        has_waited = now_ms - self._started_ms >= _REJECT_AFTER_MS
        all_synced = all(link.is_synced for link in links.values())
        return Assessment(reason, is_final=bool(known_sizes) and has_waited and all_synced)
