"""State machine of a shard owner."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import attrs

from coltsfootpier.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from coltsfootpier.declaration import PRIORITIES
from coltsfootpier.placement._capacity import build_capacity, build_load
from coltsfootpier.placement._commands import choose_command, plan_cleanup
from coltsfootpier.placement._digest import ReplyDigest
from coltsfootpier.placement._guard import ColocationGuard, build_neighbour
from coltsfootpier.placement._health import HealthTable
from coltsfootpier.placement._leases import Leases
from coltsfootpier.placement._messages import (
    Assignment,
    AttemptState,
    ExchangeReply,
    ExchangeRequest,
    Release,
    WorkerCapacity,
)
from coltsfootpier.placement._policies import (
    ColocationFit,
    PlacementPolicy,
    Size,
    WorkerLoad,
    fits,
    subtract,
)
from coltsfootpier.placement._slowdown import SlowdownTable
from coltsfootpier.placement._usage import UsageTable, sum_sizes
from coltsfootpier.placement._views import OvercommitError, Placement, StaleExchange, WorkerView
from coltsfootpier.platform import Item, Vm
from coltsfootpier.records import VersionedRecord
from coltsfootpier.workers import Command, SyncReply, SyncRequest, TaskReport

# A start command that reaches the worker later than this is refused by it.
_START_EXPIRY_MS = 5_000.0
# Recovery of many tasks must not overload a worker with starts.
_STARTS_PER_S = 2
# An attempt without room on any worker goes back to the dispatcher after this time.
_UNPLACED_MS = 2_000.0
# The same while tasks are being evicted for it; leaves time for another try within 8.3 s.
_EVICTING_MS = 4_000.0
# A task that has run for this long speaks for its worker.
_HEALTHY_MS = 10_000.0
# A worker gets nothing new after a silence of this share of its lease. An attempt that is
# placed on a worker that died waits there until the lease has ended, so the share is small;
# at the default periods it is four exchanges.
_SILENT_SHARE = 0.2
_URGENT = PRIORITIES["urgent"]


class ShardState:
    """Placements, leases and recovery of one shard.

    Parameters
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of this owner.
    writer : str
        Member identifier of this daemon.
    clock : Clock
        Time source.
    worker_lease_ms : float
        Lease of a task on its worker.
    hold_over_ms : float
        How long a previous owner that can't reach the store may go on renewing.
    policy : PlacementPolicy, optional
        Chooses workers; `ColocationFit` by default.
    reacts : bool, default=True
        Whether batch tasks are throttled and evicted when they slow services down.

    Notes
    -----
    The owner acts only upon the durable copy of its record.
    """

    def __init__(
        self,
        *,
        shard: str,
        epoch: int,
        writer: str,
        clock: Clock,
        worker_lease_ms: float,
        hold_over_ms: float,
        policy: PlacementPolicy | None = None,
        reacts: bool = True,
    ) -> None:
        self.shard = shard
        self.record: VersionedRecord[Placement] = VersionedRecord(
            key=f"records/shard/{shard}", kind=Placement, epoch=epoch, writer=writer
        )
        self.workers: dict[str, WorkerView] = {}
        self._clock = clock
        self._worker_lease_ms = worker_lease_ms
        self.slowdowns = SlowdownTable()
        self.health = HealthTable()
        self.usage = UsageTable()
        self._digest = ReplyDigest()
        self._policy = policy or ColocationFit(self.slowdowns)
        self._guard = ColocationGuard(slowdowns=self.slowdowns, reacts=reacts)
        self._reserved: dict[str, tuple[int, str]] = {}
        self._last_sequence = 0
        self._accepted_ms: dict[str, float] = {}
        self._grouped: tuple[int, dict[str, list[Placement]]] = (-1, {})
        self._leases = Leases(
            worker_lease_ms=worker_lease_ms, hold_over_ms=hold_over_ms, now_ms=clock.now_ms()
        )

    # Inputs

    def load(self, *items: Item) -> None:
        """Take the record as found in the store."""
        self.record.load(*items)
        self._leases.take_over(self._clock.now_ms())

    def retire_previous_owner(self) -> None:
        """Note that the previous owner surely renews nothing any more."""
        self._leases.retire_previous_owner(self._clock.now_ms())

    def observe_vms(self, vms: Iterable[Vm]) -> None:
        """Take the shard's part of the list of VMs."""
        found = {vm.name: vm for vm in vms}
        for name, vm in found.items():
            if name in self.workers:
                self.workers[name].vm = vm
            elif vm.state != "gone":
                self.workers[name] = WorkerView(vm=vm)
            if vm.state == "gone":
                self._release_all(name, "lost", "the platform reports the VM gone")
                self._forget_worker(name)
                self.workers.pop(name, None)
            elif vm.state == "leaving":
                self._leave(name)

    def observe_reply(self, worker: str, reply: SyncReply) -> None:
        """Take the state that a worker reported."""
        view = self.workers.get(worker)
        if view is None:
            return
        now_ms = self._clock.now_ms()
        if view.incarnation and view.incarnation != reply.incarnation:
            self._forget_worker(worker)
        view.take_reply(reply, now_ms)
        for entry in list(self.record.working.values()):
            if entry.worker != worker or not entry.charged:
                continue
            report = view.reports.get((entry.task, entry.attempt))
            if entry.incarnation != reply.incarnation:
                self._release(entry, "lost", "the worker restarted")
            elif report is not None and report.state == "ended":
                self._release_reported(entry, report)
            elif report is not None and report.checkpoint:
                # Checkpoints are kept in the record lazily: they ride along with the next write.
                name = self._name_of(entry)
                self.record.amend(name, attrs.evolve(entry, checkpoint=report.checkpoint))
        self._judge_health(worker, view, now_ms)
        self._protect_services(worker, view, now_ms)
        if self._reserved:
            self.place()

    def receive(self, request: ExchangeRequest) -> StaleExchange | None:
        """Apply one step of the exchange with the dispatcher to the working copy.

        Returns
        -------
        StaleExchange or None
            Why the step was refused; None when it is applied, now or before.
        """
        if request.shard_epoch != self.record.epoch:
            return StaleExchange(f"shard epoch {request.shard_epoch}, now {self.record.epoch}")
        if request.dispatch_epoch < self.record.fence:
            return StaleExchange(
                f"dispatch epoch {request.dispatch_epoch}, now {self.record.fence}"
            )
        if request.dispatch_epoch > self.record.fence:
            self.record.raise_fence(request.dispatch_epoch)
            self._last_sequence = 0
        if request.sequence < self._last_sequence:
            return StaleExchange(f"sequence {request.sequence}, now {self._last_sequence}")
        if request.sequence == self._last_sequence:
            return None
        self._last_sequence = request.sequence
        self._digest.advance()
        for key in request.acknowledge:
            self._acknowledge(key.task, key.attempt)
        for key in request.revoke:
            self._revoke(key.task, key.attempt)
        for assignment in request.assign:
            self._accept(assignment)
        self.place()
        return None

    def place(self) -> None:
        """Choose workers for accepted attempts in the working copy."""
        waiting = [entry for entry in self.record.working.values() if entry.state == "accepted"]
        if not waiting:
            self._reserved.clear()
            return
        waiting.sort(key=lambda entry: (-entry.spec.priority, entry.task))
        loads = {load.name: load for load in self._loads()}
        for entry in waiting:
            worker = self._choose_worker(entry, loads)
            if worker is None:
                self._hold_room(entry, loads)
                self._give_back(entry)
                continue
            self._reserved.pop(entry.task, None)
            load = loads[worker]
            loads[worker] = attrs.evolve(
                load,
                free=subtract(load.free, self.usage.expect(entry.spec, load.size)),
                declared=(*load.declared, entry.spec.declared),
                services=load.services
                | ({entry.spec.declared} if entry.spec.kind == "service" else set()),
            )
            if self.health.is_set_aside(worker):
                self.health.begin_probe(worker, entry.task, entry.attempt)
                del loads[worker]
            incarnation = self.workers[worker].incarnation
            self._put(entry, state="placed", worker=worker, incarnation=incarnation)

    def _choose_worker(self, entry: Placement, loads: dict[str, WorkerLoad]) -> str | None:
        now_ms = self._clock.now_ms()
        spec = entry.spec
        usable: list[WorkerLoad] = []
        # Only ordinary batch tasks are risked on a worker that failed the last ones.
        may_probe = spec.kind == "batch" and spec.priority < _URGENT and not entry.avoid
        for name, load in loads.items():
            if name in entry.avoid or self._guard.is_blocked(name, spec.declared, now_ms):
                continue
            if not fits(self.usage.expect(spec, load.size), load.free):
                continue
            if self.health.is_set_aside(name):
                if may_probe and self.health.is_probe_due(name, now_ms):
                    return name
                continue
            usable.append(load)
        reserved = self._reserved.get(entry.task)
        if reserved and any(load.name == reserved[1] for load in usable):
            return reserved[1]
        return self._policy.choose(spec, usable)

    def _hold_room(self, entry: Placement, loads: dict[str, WorkerLoad]) -> None:
        # Room that an eviction makes must not go to a task that comes later in the order.
        reserved = self._reserved.get(entry.task)
        if reserved and reserved[1] in loads:
            load = loads[reserved[1]]
            loads[load.name] = attrs.evolve(load, free=subtract(load.free, entry.spec.size))

    def check_leases(self) -> None:
        """Release attempts on workers whose leases have surely ended."""
        now_ms = self._clock.now_ms()
        for entry in list(self.record.working.values()):
            if not entry.charged:
                continue
            view = self.workers.get(entry.worker)
            if now_ms >= self._leases.end_ms(view):
                self._release(entry, "lost", "the lease on the worker ended")
            elif self._leases.is_orphan(entry, view, now_ms):
                self._put(entry, state="orphaned", outcome="lost", reason="no report of the worker")

    # Outputs

    def check_capacity(self) -> None:
        """Assert that no worker is given more than it holds.

        Raises
        ------
        OvercommitError
            With the worker and the sizes involved.
        """
        for name, view in self.workers.items():
            used = self._used(name)
            if view.received_ms > float("-inf") and not fits(used, view.size):
                raise OvercommitError(f"worker {name}: charged {used}, size {view.size}")

    def plan_sync(self, worker: str, *, may_start: bool, may_renew_batch: bool) -> SyncRequest:
        """Return the commands for a worker and note the lease that they grant.

        Parameters
        ----------
        worker : str
            Name of the worker.
        may_start : bool
            Whether this daemon surely owns the shard now.
        may_renew_batch : bool
            Whether batch tasks may still be renewed (hold-over not used up).
        """
        view = self.workers[worker]
        now_ms = self._clock.now_ms()
        if view.received_ms == float("-inf"):
            return SyncRequest(incarnation="")
        # The worker's clock may be slower than ours. A time ahead of it would grant a lease
        # that ends later than counted below, when the worker's answers have long been lost.
        worker_now_ms = view.worker_now_ms + (now_ms - view.received_ms) * (
            1 - MAX_CLOCK_DRIFT_RATIO
        )
        lease_until_ms = worker_now_ms + self._worker_lease_ms
        commands: list[Command] = []
        # The most urgent come first where starts are limited.
        durable = sorted(
            self._list_durable(worker), key=lambda entry: (-entry.spec.priority, entry.task)
        )
        for entry in durable:
            if not entry.charged:
                continue
            if entry.incarnation != view.incarnation:
                continue
            kind = choose_command(entry, view, may_start)
            if kind == "start":
                key = (entry.task, entry.attempt)
                if not view.admit_start(key, now_ms, _STARTS_PER_S):
                    continue
                self._guard.note_start(key)
            if kind == "renew" and entry.spec.kind == "batch" and not may_renew_batch:
                continue
            if kind:
                commands.append(
                    Command(
                        kind=kind,
                        task=entry.task,
                        attempt=entry.attempt,
                        epoch=self.record.epoch,
                        expires_at_ms=worker_now_ms + _START_EXPIRY_MS,
                        lease_until_ms=lease_until_ms,
                        spec=entry.spec if kind == "start" else None,
                        checkpoint=entry.checkpoint if kind == "start" else "",
                    )
                )
        if may_start:
            commands += self._guard.plan_throttles(durable, view, self.record.epoch)
            # Both copies count: an attempt may be placed on the worker only in one of them.
            held = (*self._list_working(worker), *durable)
            commands += plan_cleanup(held, view, self.record.epoch)
        # The reply may be lost after the commands took effect, so the lease counts from here.
        end_ms = self._leases.grant_end_ms(now_ms)
        if any(command.kind in ("start", "renew") for command in commands):
            view.lease_end_ms = end_ms
        return SyncRequest(incarnation=view.incarnation, commands=tuple(commands))

    def has_all_reports(self) -> bool:
        """Whether each live worker has reported to this owner."""
        live = [view for view in self.workers.values() if view.vm.state == "live"]
        return bool(live) and all(view.received_ms > float("-inf") for view in live)

    def has_unstarted(self, worker: str) -> bool:
        """Whether the durable record has commands for a worker that it has not carried out."""
        view = self.workers.get(worker)
        if view is None:
            return False
        return any(
            (entry.state == "placed" and (entry.task, entry.attempt) not in view.reports)
            or entry.state == "stopping"
            for entry in self._list_durable(worker)
        )

    def report(self, *, full: bool) -> ExchangeReply:
        """Return the answer for the dispatcher from the durable copy."""
        released = tuple(
            Release(
                task=entry.task,
                attempt=entry.attempt,
                outcome=entry.outcome,
                reason=entry.reason,
                checkpoint=entry.checkpoint,
                worker=entry.worker,
            )
            for name, entry in self.record.durable.items()
            if entry.state in ("released", "orphaned") and name == entry.task
        )
        reply = ExchangeReply(
            shard=self.shard,
            shard_epoch=self.record.epoch,
            sequence=self._last_sequence,
            released=released,
            full=full,
            measured=self.usage.list_excess(),
        )
        return self._digest.shorten(reply, self.attempt_states(), self.capacities())

    def attempt_states(self) -> Iterable[AttemptState]:
        """Yield the state of each attempt that is not released."""
        for entry in self.record.durable.values():
            if entry.state in ("released", "orphaned"):
                continue
            state = entry.state
            view = self.workers.get(entry.worker)
            report = view.reports.get((entry.task, entry.attempt)) if view else None
            if state == "placed" and report is not None:
                state = report.state
            unsaved_ms = 0.0
            if view is not None and entry.spec.kind == "batch":
                key = (entry.task, entry.attempt)
                unsaved_ms = round(view.measure_unsaved_ms(key, self._clock.now_ms()))
            yield AttemptState(
                task=entry.task,
                attempt=entry.attempt,
                state=state,
                worker=entry.worker,
                unsaved_ms=unsaved_ms,
            )

    def capacities(self) -> Iterable[WorkerCapacity]:
        """Yield size and free room of each worker that may take tasks."""
        now_ms = self._clock.now_ms()
        held: dict[str, list[Size]] = defaultdict(list)
        for task, (_, worker) in self._reserved.items():
            entry = self.record.working.get(task)
            if entry is not None and entry.state == "accepted":
                held[worker].append(entry.spec.size)
        for load in self._loads():
            yield build_capacity(
                load,
                self.workers[load.name].vm,
                held=sum_sizes(held[load.name]),
                set_aside=self.health.is_set_aside(load.name),
                probe_due=self.health.is_probe_due(load.name, now_ms),
            )

    # Steps

    def _accept(self, assignment: Assignment) -> None:
        task, attempt = assignment.task, assignment.attempt
        known = self.record.working.get(task)
        if known is not None and known.attempt >= attempt:
            return
        if known is not None and known.charged:
            # The earlier attempt is an orphan; its entry keeps its charge under another name.
            self.record.put(f"{task}#{known.attempt}", known)
        self._accepted_ms[task] = self._clock.now_ms()
        if assignment.worker:
            self._reserved[task] = (attempt, assignment.worker)
        entry = Placement(
            task=task,
            attempt=attempt,
            spec=assignment.spec,
            checkpoint=assignment.checkpoint,
            avoid=assignment.avoid,
        )
        self.record.put(task, entry)

    def _acknowledge(self, task: str, attempt: int) -> None:
        entry = self.record.working.get(task)
        if entry is None or entry.attempt != attempt:
            return
        if entry.state in ("released", "orphaned"):
            self.record.drop(task)
            self._accepted_ms.pop(task, None)
            self._reserved.pop(task, None)
        if entry.state == "orphaned":
            # Nothing is left to report, but the attempt still counts against its worker.
            self.record.put(f"{task}#{attempt}", entry)

    def _revoke(self, task: str, attempt: int) -> None:
        entry = self.record.working.get(task)
        if entry is None or entry.attempt != attempt:
            return
        if entry.state == "accepted":
            self._put(entry, state="released", outcome="stopped", reason="revoked")
        elif entry.state == "placed":
            self._put(entry, state="stopping", reason="revoked")

    def _leave(self, worker: str) -> None:
        # A further runner of a service does no harm, so the replacement of each is started
        # at once and not only when the runner has finished its requests.
        for entry in list(self.record.working.values()):
            if entry.worker == worker and entry.state == "placed":
                state = "orphaned" if entry.spec.kind == "service" else "stopping"
                self._put(entry, state=state, reason="the VM is leaving")

    def _forget_worker(self, worker: str) -> None:
        self.health.forget(worker)
        self._guard.forget(worker)

    def _judge_health(self, worker: str, view: WorkerView, now_ms: float) -> None:
        for key in view.take_proven(now_ms, _HEALTHY_MS):
            self.health.observe_success(worker, key, key[0].split("/")[1])

    def _protect_services(self, worker: str, view: WorkerView, now_ms: float) -> None:
        running: dict[tuple[str, int], Placement] = {}
        for entry in self._list_working(worker):
            key = (entry.task, entry.attempt)
            report = view.reports.get(key)
            if report is not None and report.state == "running" and entry.charged:
                running[key] = entry
                self.usage.observe(entry.spec, report)
        tasks = [build_neighbour(entry, view.reports[key]) for key, entry in running.items()]
        eviction = self._guard.observe(worker, view.worker_now_ms, now_ms, tasks)
        if eviction is not None and running[eviction.key].state == "placed":
            self._put(running[eviction.key], state="stopping", reason=eviction.reason)

    def _release_all(self, worker: str, outcome: str, reason: str) -> None:
        for entry in list(self.record.working.values()):
            if entry.worker == worker and entry.charged:
                self._release(entry, outcome, reason)

    def _release_reported(self, entry: Placement, report: TaskReport) -> None:
        outcome = "stopped" if report.outcome in ("stopped", "expired") else report.outcome
        if outcome == "refused":
            outcome = "no_capacity"
        checkpoint = report.checkpoint or entry.checkpoint
        self._release(attrs.evolve(entry, checkpoint=checkpoint), outcome, report.reason)

    def _release(self, entry: Placement, outcome: str, reason: str) -> None:
        self._guard.drop((entry.task, entry.attempt))
        self._note_outcome(entry, outcome)
        name = self._name_of(entry)
        if entry.state == "orphaned" and name != entry.task:
            self.record.drop(name)
            return
        self.record.put(
            name,
            attrs.evolve(entry, state="released", outcome=outcome, reason=entry.reason or reason),
        )

    def _note_outcome(self, entry: Placement, outcome: str) -> None:
        now_ms = self._clock.now_ms()
        declared = entry.spec.declared
        if outcome == "done":
            key = (entry.task, entry.attempt)
            self.health.observe_success(entry.worker, key, declared)
        elif outcome == "failed":
            live = sum(view.vm.state == "live" for view in self.workers.values())
            self.health.observe_failure(
                entry.worker, entry.task, declared, now_ms=now_ms, live=live
            )
        else:
            self.health.end_probe(entry.worker, entry.task, entry.attempt, now_ms)

    def _put(self, entry: Placement, **changes: object) -> None:
        self.record.put(self._name_of(entry), attrs.evolve(entry, **changes))

    def _name_of(self, entry: Placement) -> str:
        orphan = f"{entry.task}#{entry.attempt}"
        return orphan if orphan in self.record.working else entry.task

    def _give_back(self, entry: Placement) -> None:
        waited_ms = self._clock.now_ms() - self._accepted_ms.setdefault(
            entry.task, self._clock.now_ms()
        )
        limit_ms = _EVICTING_MS if entry.task in self._reserved else _UNPLACED_MS
        if waited_ms >= limit_ms:
            self._reserved.pop(entry.task, None)
            self._put(entry, state="released", outcome="no_capacity", reason="no room on a worker")

    def _list_durable(self, worker: str) -> list[Placement]:
        if self._grouped[0] != self.record.durable_version:
            groups: dict[str, list[Placement]] = defaultdict(list)
            for entry in self.record.durable.values():
                groups[entry.worker].append(entry)
            self._grouped = (self.record.durable_version, groups)
        return self._grouped[1].get(worker, [])

    def _list_working(self, worker: str) -> list[Placement]:
        return [entry for entry in self.record.working.values() if entry.worker == worker]

    def _used(self, worker: str) -> Size:
        return sum_sizes(entry.spec.size for entry in self._list_working(worker) if entry.charged)

    def _loads(self) -> Iterable[WorkerLoad]:
        groups: dict[str, list[Placement]] = defaultdict(list)
        for entry in self.record.working.values():
            if entry.charged:
                groups[entry.worker].append(entry)
        now_ms = self._clock.now_ms()
        for name, view in self.workers.items():
            silent = now_ms - view.received_ms > self._worker_lease_ms * _SILENT_SHARE
            if view.vm.state == "live" and not silent:
                yield build_load(name, view, groups[name], self.usage)
