"""Selection of batch tasks to evict in favour of a task that must not wait."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from coltsfootpier.declaration import PRIORITIES, TaskSpec
from coltsfootpier.dispatch._ledger import Ledger
from coltsfootpier.dispatch._link import ShardLink
from coltsfootpier.dispatch._shares import TeamShares
from coltsfootpier.placement import fits

Size = tuple[float, int, int]

# Number of shards that are compared with each other. Later shards are examined only if no eviction
# in the earlier ones frees enough capacity, which bounds the cost of a decision.
_SHARDS_PER_GROUP = 8
# Time for which a task must wait before its team reclaims lent capacity by eviction; lent
# capacity often becomes free without one.
_RECLAIM_DELAY_MS = 5_000.0
_URGENT = PRIORITIES["urgent"]


@attrs.frozen(kw_only=True)
class Candidate:
    """Running batch task that may be evicted.

    Parameters
    ----------
    lost_core_ms : float
        Work that the eviction would lose, in core-milliseconds.
    """

    spec: TaskSpec
    lost_core_ms: float


@attrs.frozen(kw_only=True)
class EvictionPlan:
    """Worker on which a task fits once others have ended, and the tasks to evict from it.

    Parameters
    ----------
    victims : tuple of TaskSpec
        Tasks to evict; empty if the tasks that are already stopping free enough capacity.
    lost_core_ms : float
        Work that the evictions lose, in core-milliseconds.
    """

    shard: str
    worker: str
    victims: tuple[TaskSpec, ...]
    lost_core_ms: float

    @property
    def cost(self) -> tuple[int, float]:
        """Sort key of plans: fewest victims first, then least lost work."""
        return len(self.victims), self.lost_core_ms


def choose_victims(
    size: Size, free: Size, candidates: Sequence[Candidate]
) -> list[Candidate] | None:
    """Choose tasks on one worker whose eviction frees enough capacity.

    If a single task is enough, the one that loses the least work is chosen. Otherwise a heuristic
    chooses few tasks; they aren't guaranteed to be the fewest.

    Parameters
    ----------
    size : tuple of (float, int, int)
        Required cores, memory in MB and accelerators.
    free : tuple of (float, int, int)
        Free capacity once stopping tasks have ended; may be negative.
    candidates : sequence of Candidate
        Tasks on the worker that may be evicted.

    Returns
    -------
    list of Candidate or None
        None if evicting all candidates doesn't free enough capacity.

    Examples
    --------
    >>> choose_victims((1.0, 1, 0), (2.0, 10, 0), [])
    []
    """
    if fits(size, free):
        return []
    single_candidates = [item for item in candidates if fits(size, _add_freed(free, [item]))]
    if single_candidates:
        return [min(single_candidates, key=lambda item: (item.lost_core_ms, item.spec.name))]
    chosen: list[Candidate] = []
    # Choosing large tasks first keeps the number of victims low. A second pass removes those
    # that are no longer needed.
    for item in sorted(candidates, key=lambda item: (-item.spec.cores, item.lost_core_ms)):
        chosen.append(item)
        if fits(size, _add_freed(free, chosen)):
            break
    else:
        return None
    for item in sorted(chosen, key=lambda item: -item.lost_core_ms):
        rest = [other for other in chosen if other is not item]
        if fits(size, _add_freed(free, rest)):
            chosen = rest
    return chosen


def plan_eviction(
    spec: TaskSpec,
    links: Iterable[ShardLink],
    *,
    avoid: Sequence[str],
    list_candidates: Callable[[ShardLink, str], tuple[Size, list[Candidate]]],
) -> EvictionPlan | None:
    """Choose the worker on which evictions for a task cost least.

    Parameters
    ----------
    spec : TaskSpec
        Task that needs capacity.
    links : iterable of ShardLink
        Shards to examine; their number bounds the cost.
    avoid : sequence of str
        Workers to exclude.
    list_candidates : callable
        Callback that returns, for a shard and a worker, the capacity that stopping tasks will
        free and the tasks that may be evicted.

    Returns
    -------
    EvictionPlan or None
        None if no worker would have enough free capacity.
    """
    cheapest: EvictionPlan | None = None
    for link in links:
        for name, worker in link.workers.items():
            if worker.set_aside or name in avoid or not fits(spec.size, worker.size):
                continue
            stopping_size, candidates = list_candidates(link, name)
            free_now = link.free_by_worker[name]
            free = tuple(
                amount + stopping_amount
                for amount, stopping_amount in zip(free_now, stopping_size, strict=True)
            )
            chosen = choose_victims(spec.size, free, candidates)
            if chosen is None:
                continue
            plan = EvictionPlan(
                shard=link.shard,
                worker=name,
                victims=tuple(item.spec for item in chosen),
                lost_core_ms=sum(item.lost_core_ms for item in chosen),
            )
            if cheapest is None or plan.cost < cheapest.cost:
                cheapest = plan
    return cheapest


class Evictor:
    """Policy that decides which tasks may evict others, and which tasks are evicted.

    Parameters
    ----------
    ledger : Ledger
        Ledger of all tasks, in which evicted attempts are marked for revocation.
    shares : TeamShares
        Guaranteed shares of the teams.
    """

    def __init__(self, *, ledger: Ledger, shares: TeamShares) -> None:
        self._ledger = ledger
        self._shares = shares

    def evict_for(
        self,
        spec: TaskSpec,
        links: Sequence[ShardLink],
        *,
        specs: Mapping[str, TaskSpec],
        avoid: Sequence[str],
        waited_ms: float,
        now_ms: float,
    ) -> EvictionPlan | None:
        """Revoke the cheapest attempts that free enough capacity for a task, if it may evict any.

        Runners and urgent tasks may evict at once. Other tasks may do so after a delay if their
        team stays within its guaranteed share.

        Parameters
        ----------
        spec : TaskSpec
            Task that no worker has enough free capacity for.
        links : sequence of ShardLink
            Shards in order of preference.
        specs : mapping of str to TaskSpec
            Specifications by task name.
        avoid : sequence of str
            Workers to exclude.
        waited_ms : float
            Time for which the task has been pending, in milliseconds.
        now_ms : float
            Time of the decision.

        Returns
        -------
        EvictionPlan or None
            None if the task has to wait for free capacity.
        """
        below_guarantee = self._shares.stays_within_guarantee_with(spec)
        may_evict_now = spec.kind == "service" or spec.priority >= _URGENT
        if not may_evict_now and not (below_guarantee and waited_ms >= _RECLAIM_DELAY_MS):
            return None

        def list_candidates(link: ShardLink, worker: str) -> tuple[Size, list[Candidate]]:
            return self._list_candidates(spec, below_guarantee, specs, link, worker, now_ms)

        plan: EvictionPlan | None = None
        for start in range(0, len(links), _SHARDS_PER_GROUP):
            plan = plan_eviction(
                spec,
                links[start : start + _SHARDS_PER_GROUP],
                avoid=avoid,
                list_candidates=list_candidates,
            )
            if plan is not None:
                break
        if plan is None:
            return None
        for victim in plan.victims:
            entry = self._ledger.get(victim.name)
            reason = f"evicted for {spec.name}"
            self._ledger.put(victim.name, attrs.evolve(entry, revoking=True, reason=reason))
        return plan

    def _list_candidates(
        self,
        spec: TaskSpec,
        below_guarantee: bool,
        specs: Mapping[str, TaskSpec],
        link: ShardLink,
        worker: str,
        now_ms: float,
    ) -> tuple[Size, list[Candidate]]:
        stopping_size = [0.0, 0, 0]
        candidates: list[Candidate] = []
        for state in link.list_attempts(worker):
            entry = self._ledger.get(state.task)
            victim = specs.get(state.task)
            if victim is None or entry is None or entry.attempt != state.attempt:
                continue
            if state.state == "accepted":
                continue
            if entry.state != "assigned" or entry.revoking or state.state in ("stopping", "ended"):
                for index, amount in enumerate(victim.size):
                    stopping_size[index] += amount
            elif self._may_evict(spec, below_guarantee, victim):
                unsaved_core_ms = link.compute_unsaved_ms(state, now_ms) * victim.cores
                candidates.append(Candidate(spec=victim, lost_core_ms=unsaved_core_ms))
        return (stopping_size[0], stopping_size[1], stopping_size[2]), candidates

    def _may_evict(self, spec: TaskSpec, below_guarantee: bool, victim: TaskSpec) -> bool:
        if victim.kind != "batch":
            return False
        if spec.kind == "service" and victim.priority <= spec.priority:
            return True
        if victim.team == spec.team:
            return victim.priority < spec.priority
        # Evictions never take another team below its guaranteed share. A team below its own
        # share reclaims lent capacity regardless of the victim's priority.
        if victim.priority < spec.priority or below_guarantee:
            return self._shares.keeps_guarantee_without(victim)
        return False


def _add_freed(free: Size, candidates: Iterable[Candidate]) -> Size:
    cores, memory_mb, accelerators = free
    for item in candidates:
        cores += item.spec.cores
        memory_mb += item.spec.memory_mb
        accelerators += item.spec.accelerators
    return cores, memory_mb, accelerators
