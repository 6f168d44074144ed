"""State machine of the dispatcher."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Mapping

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.declaration import Declaration, Job, TaskSpec, expand
from coltsfootpier.dispatch._eviction import Evictor
from coltsfootpier.dispatch._failures import FailureTable
from coltsfootpier.dispatch._ledger import FINAL_STATES, Entry, Ledger
from coltsfootpier.dispatch._link import Reservation, ShardLink
from coltsfootpier.dispatch._schedule import PeriodicJobScheduler
from coltsfootpier.dispatch._shares import QueueKey, TaskQueue, TeamShares
from coltsfootpier.dispatch._sizes import KnownSizes
from coltsfootpier.placement import (
    Assignment,
    AttemptKey,
    ExchangeReply,
    ExchangeRequest,
    Release,
)

# Maximum number of tasks assigned in one step, which bounds the size of messages and writes.
_MAX_ASSIGNMENTS_PER_STEP = 200
# Maximum number of tasks in one step for which others are evicted.
_MAX_EVICTIONS_PER_STEP = 16
# Interval at which time-dependent decisions are re-evaluated if nothing else has changed.
_RETRY_MS = 1_000.0


class Dispatcher:
    """State machine that assigns tasks to shards.

    Parameters
    ----------
    clock : Clock
        Time source.
    ledger : Ledger
        Ledger of all tasks, owned by this dispatcher.
    allow_eviction : bool, default=True
        Whether urgent tasks, runners and teams below their guaranteed share may evict batch
        tasks; if false, they wait for free capacity.
    """

    def __init__(self, *, clock: Clock, ledger: Ledger, allow_eviction: bool = True) -> None:
        self.ledger = ledger
        self.links: dict[str, ShardLink] = {}
        self._clock = clock
        self._declaration = Declaration.empty()
        self._specs: dict[str, TaskSpec] = {}
        self._revision = -1
        self._shares = TeamShares()
        self._queue = TaskQueue()
        self._evictor = Evictor(ledger=ledger, shares=self._shares) if allow_eviction else None
        self._job_scheduler = PeriodicJobScheduler(clock=clock, ledger=ledger)
        self._assigned_by_shard: dict[str, Counter[str]] = defaultdict(Counter)
        # Runners, by service, whose attempt was assigned with an earlier specification.
        self._outdated_runners: dict[str, dict[str, None]] = defaultdict(dict)
        # Result of the last check of each service or job that waiting tasks depend on.
        self._is_satisfied_by_name: dict[str, bool] = {}
        # Change count of the ledger when dependencies were last resolved, and change counts of the
        # ledger and of all links when tasks were last assigned. They show whether anything has
        # changed since.
        self._resolved_change_count = -1
        self._assigned_change_counts: tuple[int, int] = (-1, -1)
        self._assign_retry_ms = float("-inf")
        self._known_sizes = KnownSizes(now_ms=clock.now_ms())
        self._measured_sizes: dict[str, tuple[float, int]] = {}
        self._failures = FailureTable(self.links)
        ledger.listener = self._update_indexes

    # Inputs

    def observe_shards(self, epochs: Mapping[str, int]) -> None:
        """Update the set of shards and the epochs of their owners."""
        for shard, epoch in epochs.items():
            self.links.setdefault(shard, ShardLink(shard=shard)).set_epoch(epoch)

    def observe_declaration(self, revision: int, declaration: Declaration) -> None:
        """Add and cancel tasks in the ledger according to a configuration revision.

        Revisions older than the one that the ledger already reflects are ignored, so that a
        dispatcher with an outdated declaration can't cancel tasks.
        """
        if revision < self.ledger.revision or revision <= self._revision:
            return
        self._revision = revision
        self._declaration = declaration
        self._specs = expand(declaration)
        self._rebuild_indexes()
        for task, entry in self.ledger.iter_entries():
            if task not in self._specs:
                self._cancel_removed_task(task, entry)
        for task, spec in self._specs.items():
            entry = self.ledger.get(task)
            if entry is None:
                self.ledger.put(task, Entry(state="waiting"))
            elif entry.state == "cancelled" and spec.kind == "service":
                self.ledger.put(task, Entry(state="waiting", attempt=entry.attempt))
        self._job_scheduler.set_declaration(declaration)
        self.ledger.raise_revision(revision)

    def observe_reply(self, reply: ExchangeReply) -> None:
        """Apply a shard's reply: record its releases and queue their acknowledgements."""
        link = self.links.get(reply.shard)
        request = link.pending_request if link is not None else None
        if link is None or not link.apply_reply(reply, self._clock.now_ms()):
            return
        self._known_sizes.observe_reply(reply, self._clock.now_ms())
        self._measured_sizes.update(reply.measured)
        self._shares.set_fleet_cores(
            sum(known_link.total_cores for known_link in self.links.values())
        )
        for release in reply.released:
            self._apply_release(link, release)
        # A shard can't release an attempt that was revoked before it was sent, so the release is
        # applied here.
        released = {(item.task, item.attempt) for item in reply.released}
        for key in request.revoke:
            shard_state = link.states.get(key.task)
            if (shard_state is None or shard_state.attempt != key.attempt) and (
                key.task,
                key.attempt,
            ) not in released:
                release = Release(task=key.task, attempt=key.attempt, outcome="stopped")
                self._apply_release(link, release)

    # Steps

    def step(self) -> None:
        """Make all decisions that are due and apply them to the working copy of the ledger."""
        if not self.ledger.is_fenced:
            return
        self._job_scheduler.create_due_runs()
        self._resolve_dependencies()
        self._restart_changed_services()
        self._assign_pending()

    def build_next_request(self, shard: str, *, regular: bool) -> ExchangeRequest | None:
        """Build the next request to a shard from the durable copy of the ledger.

        Parameters
        ----------
        shard : str
            Name of the shard.
        regular : bool
            Whether to send a request even if there is nothing new for the shard.

        Returns
        -------
        ExchangeRequest or None
            None if no request is due.
        """
        link = self.links[shard]
        assigned = self.ledger.list_durably_assigned(shard)
        changed = self.ledger.pop_changed(shard)
        link.unreconciled |= changed if link.is_unreconciled_complete else assigned.keys()
        link.is_unreconciled_complete = True
        assign: list[Assignment] = []
        revoke: list[AttemptKey] = []
        for task in sorted(link.unreconciled):
            entry, shard_state = assigned.get(task), link.states.get(task)
            spec = self._specs.get(task)
            if entry is not None and entry.revoking:
                revoke.append(AttemptKey(task, entry.attempt))
            elif entry is None or (
                shard_state is not None and shard_state.attempt == entry.attempt
            ):
                link.unreconciled.discard(task)
            elif spec is not None and len(assign) < _MAX_ASSIGNMENTS_PER_STEP:
                assign.append(self._build_assignment(link, task, entry, spec))
        # A release is acknowledged only once the ledger has stored its result durably.
        for key in list(link.releases_to_acknowledge):
            if not self._is_release_durable(key):
                link.releases_to_acknowledge.pop(key)
        if not regular and not link.is_request_due(tuple(assign), tuple(revoke)):
            return None
        return link.prepare_request(
            dispatch_epoch=self.ledger.epoch, assign=tuple(assign), revoke=tuple(revoke)
        )

    def count_running(self, declared: str) -> int:
        """Return the number of running tasks of a service or job."""
        return sum(link.running_counts[declared] for link in self.links.values())

    # Indexes

    def _rebuild_indexes(self) -> None:
        self._shares.reset(self._declaration.teams)
        self._queue.clear()
        self._assigned_by_shard.clear()
        self._outdated_runners.clear()
        self._is_satisfied_by_name.clear()
        for task, entry in self.ledger.iter_entries():
            self._update_indexes(task, None, entry)

    def _update_indexes(self, task: str, before: Entry | None, after: Entry | None) -> None:
        spec = self._specs.get(task)
        if spec is None:
            return
        if before is not None and before.state == "assigned":
            self._shares.charge(spec, -1)
            if before.revoking:
                self._shares.mark_stopping(spec, -1)
            self._assigned_by_shard[spec.declared][before.shard] -= 1
            self._outdated_runners[spec.declared].pop(task, None)
        if before is not None and before.state == "pending":
            self._queue.remove(task)
            self._shares.add_demand(spec, -1)
        if after is not None and after.state == "assigned":
            self._shares.charge(spec)
            if after.revoking:
                self._shares.mark_stopping(spec)
            self._assigned_by_shard[spec.declared][after.shard] += 1
            if spec.kind == "service" and after.digest != spec.digest:
                self._outdated_runners[spec.declared][task] = None
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
            self._shares.add_demand(spec)

    # Decisions

    def _cancel_removed_task(self, task: str, entry: Entry) -> None:
        if entry.state == "assigned":
            self.ledger.put(task, attrs.evolve(entry, revoking=True, reason="removed"))
        elif task.startswith("service/") and not entry.attempt:
            self.ledger.drop(task)
        elif entry.state not in FINAL_STATES:
            # The entry of a removed runner is kept, because its attempt numbers must not restart
            # while a shard may still hold a release of an earlier attempt.
            self.ledger.put(task, attrs.evolve(entry, state="cancelled", reason="removed"))

    def _apply_release(self, link: ShardLink, release: Release) -> None:
        key = AttemptKey(release.task, release.attempt)
        link.releases_to_acknowledge[key] = None
        link.cancel_reservation(release.task, release.attempt)
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
            self._failures.observe_success(release.worker)
        if spec is None:
            is_done = release.outcome == "done" and not release.task.startswith("service/")
            state = "done" if is_done else "cancelled"
            ended_entry = attrs.evolve(
                entry, state=state, shard="", revoking=False, checkpoint="", reason="removed"
            )
            self.ledger.put(release.task, ended_entry)
        elif release.outcome == "done" and spec.kind == "batch":
            done_entry = attrs.evolve(
                entry,
                state="done",
                shard="",
                checkpoint="",
                reason="",
                revoking=False,
                failed_workers=(),
            )
            self.ledger.put(release.task, done_entry)
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
        is_faulty = self._failures.is_faulty(spec.declared, workers)
        self.ledger.put(
            release.task,
            attrs.evolve(
                entry,
                state="failed" if is_faulty else "pending",
                shard="",
                revoking=False,
                reason=f"failed on {', '.join(workers)}: {release.reason}",
                failed_workers=workers,
            ),
        )

    def _build_assignment(
        self, link: ShardLink, task: str, entry: Entry, spec: TaskSpec
    ) -> Assignment:
        reservation = link.reservations.get(task)
        avoid = self._failures.list_avoided(spec, entry)
        if reservation is None or reservation.attempt != entry.attempt:
            # The reservation is lost when the dispatcher or the shard's owner changes. The shard
            # has been chosen already, so capacity is reserved again if a worker has enough.
            worker = link.find_worker(spec.size, avoid) or ""
            reservation = Reservation(entry.attempt, worker, spec.size)
            link.reserve(task, reservation)
        return Assignment(
            task=task,
            attempt=entry.attempt,
            spec=spec,
            checkpoint=entry.checkpoint,
            avoid=avoid,
            worker=reservation.worker if reservation.is_evicting else "",
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
        satisfied = {name: self._is_satisfied(name) for name in self._is_satisfied_by_name}
        if (
            satisfied == self._is_satisfied_by_name
            and self._resolved_change_count == self.ledger.change_count
        ):
            return
        self._is_satisfied_by_name = {}
        for task in list(waiting):
            spec = self._specs.get(task)
            if spec is None:
                continue
            missing = [name for name in spec.depends_on if not self._is_satisfied_cached(name)]
            unsatisfiable = next((name for name in missing if self._is_unsatisfiable(name)), "")
            entry = self.ledger.get(task)
            if unsatisfiable and spec.kind == "batch":
                reason = f"depends on {unsatisfiable}, which was refused or failed"
                self.ledger.put(task, attrs.evolve(entry, state="failed", reason=reason))
            elif not missing:
                self.ledger.put(task, attrs.evolve(entry, state="pending", reason=""))
            else:
                self.ledger.set_reason(task, f"waits for {missing[0]}")
        self._resolved_change_count = self.ledger.change_count

    def _is_satisfied_cached(self, name: str) -> bool:
        if name not in self._is_satisfied_by_name:
            self._is_satisfied_by_name[name] = self._is_satisfied(name)
        return self._is_satisfied_by_name[name]

    def _is_unsatisfiable(self, name: str) -> bool:
        # A dependency with a rejected or failed task can never be satisfied.
        job = self._declaration.jobs.get(name)
        if job is None or not self.ledger.count_unsuccessful(name):
            return False
        return any(entry.state in ("refused", "failed") for entry in self._list_job_entries(job))

    def _is_satisfied(self, name: str) -> bool:
        job = self._declaration.jobs.get(name)
        if job is not None:
            # The count includes tasks that were removed when the job was scaled down, so it is
            # necessary but not sufficient.
            if self.ledger.count_done(name) < job.tasks:
                return False
            return all(entry.state == "done" for entry in self._list_job_entries(job))
        return self.count_running(name) > 0

    def _list_job_entries(self, job: Job) -> list[Entry]:
        names = (f"job/{job.name}/{index}" for index in range(job.tasks))
        return [entry for name in names if (entry := self.ledger.get(name)) is not None]

    def _restart_changed_services(self) -> None:
        # The runners of a changed service are restarted one at a time, so that the others can
        # serve requests.
        for declared, tasks in self._outdated_runners.items():
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
        change_counts = (
            self.ledger.change_count,
            sum(link.change_count for link in self.links.values()),
        )
        if not self._queue:
            return
        if change_counts == self._assigned_change_counts and now_ms < self._assign_retry_ms:
            return
        self._shares.compute_guarantees()
        heap = [
            (self._rank_group(key), index, key) for index, key in enumerate(self._queue.list_keys())
        ]
        heapq.heapify(heap)
        assigned = evictions = 0
        while heap and assigned < _MAX_ASSIGNMENTS_PER_STEP:
            _, index, key = heapq.heappop(heap)
            oldest = self._queue.peek_oldest(key)
            if oldest is None:
                continue
            task, pending_since_ms = oldest
            spec, entry = self._specs[task], self.ledger.get(task)
            if not self._shares.is_within_quota(spec):
                self.ledger.set_reason(task, f"quota of team {spec.team}")
                continue
            sized_spec = self._apply_measured_size(spec)
            chosen = self._choose_shard(sized_spec, key.avoid)
            is_evicting = False
            if chosen is None and evictions < _MAX_EVICTIONS_PER_STEP:
                chosen = self._evict_for(sized_spec, key, now_ms - pending_since_ms)
                is_evicting = chosen is not None
                evictions += is_evicting
            if chosen is None:
                if self._reject_or_record_reason(spec, entry):
                    heapq.heappush(heap, (self._rank_group(key), index, key))
                continue
            shard, worker = chosen
            reservation = Reservation(entry.attempt + 1, worker, sized_spec.size, is_evicting)
            self.links[shard].reserve(task, reservation)
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
            # The team's usage has changed, so its remaining tasks are ranked again.
            heapq.heappush(heap, (self._rank_group(key), index, key))
        self._assigned_change_counts = (
            self.ledger.change_count,
            sum(link.change_count for link in self.links.values()),
        )
        # If a limit was reached, the next step continues without delay.
        reached_limit = (
            assigned >= _MAX_ASSIGNMENTS_PER_STEP or evictions >= _MAX_EVICTIONS_PER_STEP
        )
        self._assign_retry_ms = now_ms if reached_limit else now_ms + _RETRY_MS

    def _apply_measured_size(self, spec: TaskSpec) -> TaskSpec:
        # Tasks may use more than they declare. The usage that shard owners report then determines
        # the required capacity, up to the size of the largest worker.
        measured = self._measured_sizes.get(spec.declared)
        if measured is None:
            return spec
        largest = self._known_sizes.largest
        return attrs.evolve(
            spec,
            cores=max(spec.cores, min(measured[0], largest[0])),
            memory_mb=max(spec.memory_mb, min(measured[1], largest[1])),
        )

    def _rank_group(self, key: QueueKey) -> tuple[bool, int, bool, float, float, str]:
        # Sort key of the group of pending tasks with this key; the lowest comes first. Teams below
        # their guaranteed share come first, so that priorities can't deprive another team of its
        # guarantee. Among jobs of a team with equal priority, the one whose task has waited longest
        # comes first.
        oldest = self._queue.peek_oldest(key)
        return (
            not self._shares.is_below_guarantee(key.team),
            -key.priority,
            not key.resumed,
            self._shares.compute_relative_usage(key.team),
            oldest[1] if oldest else 0.0,
            key.declared,
        )

    def _choose_shard(self, spec: TaskSpec, avoid: tuple[str, ...]) -> tuple[str, str] | None:
        for shard in self._rank_shards(spec):
            worker = self.links[shard].find_worker(spec.size, avoid)
            if worker is not None:
                return shard, worker
        return None

    def _rank_shards(self, spec: TaskSpec) -> list[str]:
        # Runners are spread over availability zones first and racks second. Batch tasks go to
        # the shard with the most free cores.
        shards = [shard for shard, link in self.links.items() if link.is_synced]
        if spec.kind != "service":
            return sorted(shards, key=lambda shard: (-self.links[shard].total_free_cores, shard))
        assigned_by_shard = self._assigned_by_shard[spec.declared]
        zones: Counter[str] = Counter()
        for shard, count in assigned_by_shard.items():
            if shard in self.links:
                zones[self.links[shard].availability_zone] += count

        def rank(shard: str) -> tuple[int, int, float, str]:
            link = self.links[shard]
            return (
                zones[link.availability_zone],
                assigned_by_shard[shard],
                -link.total_free_cores,
                shard,
            )

        return sorted(shards, key=rank)

    def _evict_for(self, spec: TaskSpec, key: QueueKey, waited_ms: float) -> tuple[str, str] | None:
        if self._evictor is None:
            return None
        plan = self._evictor.evict_for(
            spec,
            [self.links[shard] for shard in self._rank_shards(spec)],
            specs=self._specs,
            avoid=key.avoid,
            waited_ms=waited_ms,
            now_ms=self._clock.now_ms(),
        )
        return (plan.shard, plan.worker) if plan else None

    def _reject_or_record_reason(self, spec: TaskSpec, entry: Entry) -> bool:
        """Reject a task that can never run, otherwise record why it waits.

        Returns
        -------
        bool
            Whether the task was rejected.
        """
        assessment = self._known_sizes.assess(spec, self.links, self._clock.now_ms())
        if not assessment.is_final or spec.kind != "batch":
            self.ledger.set_reason(spec.name, assessment.reason)
            return False
        self.ledger.put(spec.name, attrs.evolve(entry, state="refused", reason=assessment.reason))
        return True
