"""State machine of the dispatcher."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Mapping

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.declaration import Declaration, Job, TaskSpec, expand
from coltsfootpier.dispatch._eviction import Evictor
from coltsfootpier.dispatch._failures import Failures
from coltsfootpier.dispatch._ledger import FINAL_STATES, Entry, Ledger
from coltsfootpier.dispatch._link import Promise, ShardLink
from coltsfootpier.dispatch._schedule import Schedule
from coltsfootpier.dispatch._shares import QueueKey, Shares, TaskQueue
from coltsfootpier.dispatch._sizes import KnownSizes
from coltsfootpier.placement import (
    Assignment,
    AttemptKey,
    ExchangeReply,
    ExchangeRequest,
    Release,
)

# Tasks assigned in one step; bounds the size of a message and of a write.
_ASSIGN_PER_STEP = 200
# Tasks for which others are evicted in one step.
_EVICTIONS_PER_STEP = 16
# Time-dependent decisions are looked at this often when nothing changed.
_RETRY_MS = 1_000.0


class Dispatcher:
    """Decides which shard runs which task.

    Parameters
    ----------
    clock : Clock
        Time source.
    ledger : Ledger
        The tasks; owned by this dispatcher.
    evicts : bool, default=True
        Whether urgent tasks, runners and teams below their share may evict batch tasks;
        without it they wait for room.
    """

    def __init__(self, *, clock: Clock, ledger: Ledger, allow_eviction: bool = True) -> None:
        self.ledger = ledger
        self.links: dict[str, ShardLink] = {}
        self._clock = clock
        self._declaration = Declaration.empty()
        self._specs: dict[str, TaskSpec] = {}
        self._revision = -1
        self._shares = Shares()
        self._queue = TaskQueue()
        self._evictor = Evictor(ledger=ledger, shares=self._shares) if allow_eviction else None
        self._schedule = Schedule(clock=clock, ledger=ledger)
        self._spread: dict[str, Counter[str]] = defaultdict(Counter)
        self._stale: dict[str, dict[str, None]] = defaultdict(dict)
        self._satisfied: dict[str, bool] = {}
        self._waiting_changes = -1
        self._assign_stamp: tuple[int, int] = (-1, -1)
        self._assign_retry_ms = float("-inf")
        self._sizes = KnownSizes(now_ms=clock.now_ms())
        self._measured: dict[str, tuple[float, int]] = {}
        self._failures = Failures(self.links)
        ledger.listener = self._observe_entry

    # Inputs

    def observe_shards(self, epochs: Mapping[str, int]) -> None:
        """Take the shards that exist, with the epochs of their owners."""
        for shard, epoch in epochs.items():
            self.links.setdefault(shard, ShardLink(shard=shard)).observe_epoch(epoch)

    def observe_declaration(self, revision: int, declaration: Declaration) -> None:
        """Bring the ledger in line with a configuration revision.

        A revision below the one that the ledger was brought in line with is ignored, so that
        a dispatcher that has not seen the newest text cancels nothing.
        """
        if revision < self.ledger.revision or revision <= self._revision:
            return
        self._revision = revision
        self._declaration = declaration
        self._specs = expand(declaration)
        self._reindex()
        for task, entry in self.ledger.entries():
            if task not in self._specs:
                self._withdraw(task, entry)
        for task, spec in self._specs.items():
            entry = self.ledger.get(task)
            if entry is None:
                self.ledger.put(task, Entry(state="waiting"))
            elif entry.state == "cancelled" and spec.kind == "service":
                self.ledger.put(task, Entry(state="waiting", attempt=entry.attempt))
        self._schedule.reset(declaration)
        self.ledger.raise_revision(revision)

    def observe_reply(self, reply: ExchangeReply) -> None:
        """Take a shard's answer: record releases and prepare their acknowledgement."""
        link = self.links.get(reply.shard)
        request = link.pending if link is not None else None
        if link is None or not link.accept_reply(reply, self._clock.now_ms()):
            return
        self._sizes.observe_reply(reply, self._clock.now_ms())
        self._measured.update(reply.measured)
        self._shares.observe_fleet(sum(known.cores for known in self.links.values()))
        for release in reply.released:
            self._apply_release(link, release)
        # An attempt that was revoked before it was ever sent is unknown to the shard, which
        # therefore has nothing to release.
        released = {(item.task, item.attempt) for item in reply.released}
        for key in request.revoke:
            held = link.states.get(key.task)
            if (held is None or held.attempt != key.attempt) and (
                key.task,
                key.attempt,
            ) not in released:
                release = Release(task=key.task, attempt=key.attempt, outcome="stopped")
                self._apply_release(link, release)

    # Steps

    def step(self) -> None:
        """Make the decisions that are due in the working copy of the ledger."""
        if not self.ledger.fenced:
            return
        self._schedule.step()
        self._resolve_dependencies()
        self._roll_changed_services()
        self._assign_pending()

    def next_request(self, shard: str, *, regular: bool) -> ExchangeRequest | None:
        """Return the step of the exchange to send to a shard, from the durable ledger.

        Parameters
        ----------
        shard : str
            Name of the shard.
        regular : bool
            Whether a step is wanted also when there is nothing to tell the shard.

        Returns
        -------
        ExchangeRequest or None
            None when no step is due.
        """
        link = self.links[shard]
        assigned = self.ledger.list_durable(shard)
        changed = self.ledger.take_changed(shard)
        link.unsettled |= changed if link.is_listed else assigned.keys()
        link.is_listed = True
        assign: list[Assignment] = []
        revoke: list[AttemptKey] = []
        for task in sorted(link.unsettled):
            entry, held = assigned.get(task), link.states.get(task)
            spec = self._specs.get(task)
            if entry is not None and entry.revoking:
                revoke.append(AttemptKey(task, entry.attempt))
            elif entry is None or (held is not None and held.attempt == entry.attempt):
                link.unsettled.discard(task)
            elif spec is not None and len(assign) < _ASSIGN_PER_STEP:
                assign.append(self._build_assignment(link, task, entry, spec))
        # A release is acknowledged only once its consequence is durable in the ledger.
        for key in list(link.acknowledge):
            if not self._is_release_durable(key):
                link.acknowledge.pop(key)
        if not regular and not link.has_work(tuple(assign), tuple(revoke)):
            return None
        return link.next_request(
            dispatch_epoch=self.ledger.epoch, assign=tuple(assign), revoke=tuple(revoke)
        )

    def running(self, declared: str) -> int:
        """Return how many tasks of a service or job are running."""
        return sum(link.running[declared] for link in self.links.values())

    # Indexes

    def _reindex(self) -> None:
        self._shares.reset(self._declaration.teams)
        self._queue.clear()
        self._spread.clear()
        self._stale.clear()
        self._satisfied.clear()
        for task, entry in self.ledger.entries():
            self._observe_entry(task, None, entry)

    def _observe_entry(self, task: str, before: Entry | None, after: Entry | None) -> None:
        spec = self._specs.get(task)
        if spec is None:
            return
        if before is not None and before.state == "assigned":
            self._shares.add(spec, -1)
            if before.revoking:
                self._shares.leave(spec, -1)
            self._spread[spec.declared][before.shard] -= 1
            self._stale[spec.declared].pop(task, None)
        if before is not None and before.state == "pending":
            self._queue.remove(task)
            self._shares.queue(spec, -1)
        if after is not None and after.state == "assigned":
            self._shares.add(spec)
            if after.revoking:
                self._shares.leave(spec)
            self._spread[spec.declared][after.shard] += 1
            if spec.kind == "service" and after.digest != spec.digest:
                self._stale[spec.declared][task] = None
        if after is not None and after.state == "pending":
            key = QueueKey(
                team=spec.team,
                kind=spec.kind,
                declared=spec.declared,
                priority=spec.priority,
                size=spec.size,
                resumed=after.attempt > 0,
                avoid=self._failures.list_avoided(spec, after),
            )
            self._queue.add(task, key, self._clock.now_ms())
            self._shares.queue(spec)

    # Decisions

    def _withdraw(self, task: str, entry: Entry) -> None:
        if entry.state == "assigned":
            self.ledger.put(task, attrs.evolve(entry, revoking=True, reason="removed"))
        elif task.startswith("service/") and not entry.attempt:
            self.ledger.drop(task)
        elif entry.state not in FINAL_STATES:
            # The entry of a removed runner stays: its attempt numbers must not begin again
            # while a shard may still hold a release of an earlier one.
            self.ledger.put(task, attrs.evolve(entry, state="cancelled", reason="removed"))

    def _apply_release(self, link: ShardLink, release: Release) -> None:
        key = AttemptKey(release.task, release.attempt)
        link.acknowledge[key] = None
        link.withdraw(release.task, release.attempt)
        entry = self.ledger.get(release.task)
        if (
            entry is None
            or entry.state != "assigned"
            or entry.attempt != release.attempt
            or entry.shard != link.shard
        ):
            return
        spec = self._specs.get(release.task)
        checkpoint = release.checkpoint or entry.checkpoint
        if release.outcome == "done":
            self._failures.observe_done(release.worker)
        if spec is None:
            done = release.outcome == "done" and not release.task.startswith("service/")
            state = "done" if done else "cancelled"
            ended = attrs.evolve(
                entry, state=state, shard="", revoking=False, checkpoint="", reason="removed"
            )
            self.ledger.put(release.task, ended)
        elif release.outcome == "done" and spec.kind == "batch":
            done = attrs.evolve(
                entry,
                state="done",
                shard="",
                checkpoint="",
                reason="",
                revoking=False,
                failed_workers=(),
            )
            self.ledger.put(release.task, done)
        elif release.outcome == "failed" and spec.kind == "batch":
            self._apply_failure(release, entry, spec)
        else:
            reason = entry.reason if entry.revoking else ""
            self.ledger.put(
                release.task,
                attrs.evolve(
                    entry,
                    state="pending",
                    shard="",
                    checkpoint=checkpoint,
                    revoking=False,
                    reason=reason or release.reason or release.outcome,
                ),
            )

    def _apply_failure(self, release: Release, entry: Entry, spec: TaskSpec) -> None:
        workers = tuple(sorted({*entry.failed_workers, release.worker}))
        self._failures.observe_failure(release.worker, spec.declared)
        failed = self._failures.is_at_fault(spec.declared, workers)
        self.ledger.put(
            release.task,
            attrs.evolve(
                entry,
                state="failed" if failed else "pending",
                shard="",
                revoking=False,
                reason=f"failed on {', '.join(workers)}: {release.reason}",
                failed_workers=workers,
            ),
        )

    def _build_assignment(
        self, link: ShardLink, task: str, entry: Entry, spec: TaskSpec
    ) -> Assignment:
        promise = link.promises.get(task)
        avoid = self._failures.list_avoided(spec, entry)
        if promise is None or promise.attempt != entry.attempt:
            worker = link.find_worker(spec.size, avoid) or ""
            promise = Promise(entry.attempt, worker, spec.size)
            link.promise(task, promise)
        return Assignment(
            task=task,
            attempt=entry.attempt,
            spec=spec,
            checkpoint=entry.checkpoint,
            avoid=avoid,
            worker=promise.worker if promise.evicting else "",
        )

    def _is_release_durable(self, key: AttemptKey) -> bool:
        entry = self.ledger.get_durable(key.task)
        working = self.ledger.get(key.task)
        if working is not None and working.state == "assigned" and working.attempt == key.attempt:
            return False
        return entry is None or entry.state != "assigned" or entry.attempt != key.attempt

    def _resolve_dependencies(self) -> None:
        waiting = self.ledger.list_tasks("waiting")
        if not waiting:
            return
        satisfied = {name: self._is_satisfied(name) for name in self._satisfied}
        if satisfied == self._satisfied and self._waiting_changes == self.ledger.changes:
            return
        self._satisfied = {}
        for task in list(waiting):
            spec = self._specs.get(task)
            if spec is None:
                continue
            missing = [name for name in spec.depends_on if not self._check_satisfied(name)]
            broken = next((name for name in missing if self._is_broken(name)), "")
            entry = self.ledger.get(task)
            if broken and spec.kind == "batch":
                reason = f"depends on {broken}, which was refused or failed"
                self.ledger.put(task, attrs.evolve(entry, state="failed", reason=reason))
            elif not missing:
                self.ledger.put(task, attrs.evolve(entry, state="pending", reason=""))
            else:
                self.ledger.explain(task, f"waits for {missing[0]}")
        self._waiting_changes = self.ledger.changes

    def _check_satisfied(self, name: str) -> bool:
        if name not in self._satisfied:
            self._satisfied[name] = self._is_satisfied(name)
        return self._satisfied[name]

    def _is_broken(self, name: str) -> bool:
        # A job that waits for one of these would wait for ever.
        job = self._declaration.jobs.get(name)
        if job is None or not self.ledger.count_broken(name):
            return False
        return any(entry.state in ("refused", "failed") for entry in self._list_entries(job))

    def _is_satisfied(self, name: str) -> bool:
        job = self._declaration.jobs.get(name)
        if job is not None:
            # The count includes tasks that were removed when the job shrank.
            if self.ledger.count_done(name) < job.tasks:
                return False
            return all(entry.state == "done" for entry in self._list_entries(job))
        return self.running(name) > 0

    def _list_entries(self, job: Job) -> list[Entry]:
        names = (f"job/{job.name}/{index}" for index in range(job.tasks))
        return [entry for name in names if (entry := self.ledger.get(name)) is not None]

    def _roll_changed_services(self) -> None:
        # A changed service is restarted one runner at a time, so that the others answer.
        for declared, tasks in self._stale.items():
            if not tasks:
                continue
            count = self._declaration.services[declared].runners
            entries = [self.ledger.get(f"service/{declared}/{index}") for index in range(count)]
            if all(entry and entry.state == "assigned" and not entry.revoking for entry in entries):
                task = min(tasks)
                entry = self.ledger.get(task)
                self.ledger.put(task, attrs.evolve(entry, revoking=True, reason="changed"))

    def _assign_pending(self) -> None:
        now_ms = self._clock.now_ms()
        stamp = (self.ledger.changes, sum(link.changes for link in self.links.values()))
        if not self._queue:
            return
        if stamp == self._assign_stamp and now_ms < self._assign_retry_ms:
            return
        self._shares.divide()
        heap = [(self._rank(key), index, key) for index, key in enumerate(self._queue.list_keys())]
        heapq.heapify(heap)
        assigned = evictions = 0
        while heap and assigned < _ASSIGN_PER_STEP:
            _, index, key = heapq.heappop(heap)
            head = self._queue.peek(key)
            if head is None:
                continue
            task, since_ms = head
            spec, entry = self._specs[task], self.ledger.get(task)
            if not self._shares.is_within_quota(spec):
                self.ledger.explain(task, f"quota of team {spec.team}")
                continue
            needed = self._expect(spec)
            chosen = self._choose_shard(needed, key.avoid)
            evicting = False
            if chosen is None and evictions < _EVICTIONS_PER_STEP:
                chosen = self._evict_for(needed, key, now_ms - since_ms)
                evicting = chosen is not None
                evictions += evicting
            if chosen is None:
                if self._handle_no_room(spec, entry):
                    heapq.heappush(heap, (self._rank(key), index, key))
                continue
            shard, worker = chosen
            promise = Promise(entry.attempt + 1, worker, needed.size, evicting)
            self.links[shard].promise(task, promise)
            assigned += 1
            self.ledger.put(
                task,
                attrs.evolve(
                    entry,
                    state="assigned",
                    attempt=entry.attempt + 1,
                    shard=shard,
                    reason="",
                    digest=spec.digest,
                ),
            )
            # The team's usage has changed, and with it the rank of its other tasks.
            heapq.heappush(heap, (self._rank(key), index, key))
        self._assign_stamp = (
            self.ledger.changes,
            sum(link.changes for link in self.links.values()),
        )
        # A step that reached its bound goes on with the next one.
        full = assigned >= _ASSIGN_PER_STEP or evictions >= _EVICTIONS_PER_STEP
        self._assign_retry_ms = now_ms if full else now_ms + _RETRY_MS

    def _expect(self, spec: TaskSpec) -> TaskSpec:
        # Tasks may use more than was declared; the shard owners report what they learned.
        measured = self._measured.get(spec.declared)
        if measured is None:
            return spec
        largest = self._sizes.largest
        return attrs.evolve(
            spec,
            cores=max(spec.cores, min(measured[0], largest[0])),
            memory_mb=max(spec.memory_mb, min(measured[1], largest[1])),
        )

    def _rank(self, key: QueueKey) -> tuple[bool, int, bool, float, float, str]:
        # A team below its guaranteed share goes first, so that urgency gives order but never
        # takes another team's minimum. Jobs of a team that are equally urgent take turns by
        # the time for which their tasks have waited.
        head = self._queue.peek(key)
        return (
            not self._shares.is_below(key.team),
            -key.priority,
            not key.resumed,
            self._shares.weigh(key.team),
            head[1] if head else 0.0,
            key.declared,
        )

    def _choose_shard(self, spec: TaskSpec, avoid: tuple[str, ...]) -> tuple[str, str] | None:
        for shard in self._rank_shards(spec):
            worker = self.links[shard].find_worker(spec.size, avoid)
            if worker is not None:
                return shard, worker
        return None

    def _rank_shards(self, spec: TaskSpec) -> list[str]:
        # Runners are spread over zones first and racks second; batch tasks go where there is
        # most room.
        shards = [shard for shard, link in self.links.items() if link.synced]
        if spec.kind != "service":
            return sorted(shards, key=lambda shard: (-self.links[shard].free_cores, shard))
        spread = self._spread[spec.declared]
        zones: Counter[str] = Counter()
        for shard, count in spread.items():
            if shard in self.links:
                zones[self.links[shard].availability_zone] += count

        def rank(shard: str) -> tuple[int, int, float, str]:
            link = self.links[shard]
            return zones[link.availability_zone], spread[shard], -link.free_cores, shard

        return sorted(shards, key=rank)

    def _evict_for(self, spec: TaskSpec, key: QueueKey, waited_ms: float) -> tuple[str, str] | None:
        if self._evictor is None:
            return None
        eviction = self._evictor.make_room(
            spec,
            [self.links[shard] for shard in self._rank_shards(spec)],
            specs=self._specs,
            avoid=key.avoid,
            waited_ms=waited_ms,
            now_ms=self._clock.now_ms(),
        )
        return (eviction.shard, eviction.worker) if eviction else None

    def _handle_no_room(self, spec: TaskSpec, entry: Entry) -> bool:
        """Say why a task waits, or refuse it; return whether it was refused."""
        verdict = self._sizes.judge(spec, self.links, self._clock.now_ms())
        if not verdict.is_final or spec.kind != "batch":
            self.ledger.explain(spec.name, verdict.reason)
            return False
        self.ledger.put(spec.name, attrs.evolve(entry, state="refused", reason=verdict.reason))
        return True
