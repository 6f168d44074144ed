"""State machine of the shard owner."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import attrs

from coltsfootpier.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from coltsfootpier.declaration import PRIORITIES
from coltsfootpier.placement._capacity import build_capacity, build_load
from coltsfootpier.placement._commands import choose_command_kind, plan_cleanup
from coltsfootpier.placement._guard import ColocationGuard, build_neighbour
from coltsfootpier.placement._health import HealthTable
from coltsfootpier.placement._leases import LeaseTracker
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
from coltsfootpier.placement._reply_delta import ReplyDeltaEncoder
from coltsfootpier.placement._slowdown import SlowdownTable
from coltsfootpier.placement._usage import UsageTable, sum_sizes
from coltsfootpier.placement._views import OvercommitError, Placement, StaleExchange, WorkerView
from coltsfootpier.platform import Item, Vm
from coltsfootpier.records import VersionedRecord
from coltsfootpier.workers import Command, SyncReply, SyncRequest, TaskReport

# Validity of a start command; the worker rejects a command that arrives later.
_START_EXPIRY_MS = 5_000.0
# Start rate per worker, so that the recovery of many tasks doesn't overload it.
_MAX_STARTS_PER_S = 2
# An attempt that fits on no worker is released to the dispatcher after this time.
_PLACEMENT_TIMEOUT_MS = 2_000.0
# The same while tasks are being evicted for the attempt; leaves time for another attempt within
# the 8.3 s in which urgent tasks must start.
_EVICTION_TIMEOUT_MS = 4_000.0
# An attempt that has run for this long counts as a success for its worker.
_SUCCESS_AFTER_MS = 10_000.0
# A worker that hasn't reported for this fraction of its lease receives no new attempts. The
# fraction is small because an attempt placed on a dead worker is stuck until the lease expires;
# with the default periods it amounts to four exchanges.
_SILENT_LEASE_FRACTION = 0.2
_URGENT = PRIORITIES["urgent"]


class ShardState:
    """Placement, leases and recovery of the tasks of one shard.

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
        Duration of the lease of a task on its worker, in milliseconds.
    hold_over_ms : float
        How long a previous owner that can't reach the store may keep renewing leases, in
        milliseconds.
    policy : PlacementPolicy, optional
        Policy that chooses workers; `ColocationFit` by default.
    protect_services : bool, default=True
        Whether batch tasks are throttled and evicted when they slow down services.

    Notes
    -----
    Starts and other commands are derived only from the durable copy of the record.
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
        protect_services: bool = True,
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
        self._reply_encoder = ReplyDeltaEncoder()
        self._policy = policy or ColocationFit(self.slowdowns)
        self._guard = ColocationGuard(slowdowns=self.slowdowns, protect_services=protect_services)
        # Attempt number, and worker on which others are evicted for the attempt, by task.
        self._reserved: dict[str, tuple[int, str]] = {}
        self._last_sequence = 0
        self._accepted_ms: dict[str, float] = {}
        # Durable entries by worker, with the version of the durable copy that they belong to.
        self._durable_by_worker: tuple[int, dict[str, list[Placement]]] = (-1, {})
        self._leases = LeaseTracker(
            worker_lease_ms=worker_lease_ms, hold_over_ms=hold_over_ms, now_ms=clock.now_ms()
        )

    # Inputs

    def load(self, *items: Item) -> None:
        """Load the record from the items found in the store."""
        self.record.load(*items)
        self._leases.record_takeover(self._clock.now_ms())

    def retire_previous_owner(self) -> None:
        """Record that the previous owner can no longer renew any lease."""
        self._leases.retire_previous_owner(self._clock.now_ms())

    def observe_vms(self, vms: Iterable[Vm]) -> None:
        """Apply the state of the shard's VMs, as listed by the platform."""
        vms_by_name = {vm.name: vm for vm in vms}
        for name, vm in vms_by_name.items():
            if name in self.workers:
                self.workers[name].vm = vm
            elif vm.state != "gone":
                self.workers[name] = WorkerView(vm=vm)
            if vm.state == "gone":
                self._release_attempts_on(name, "lost", "the platform reports the VM gone")
                self._forget_worker(name)
                self.workers.pop(name, None)
            elif vm.state == "leaving":
                self._stop_attempts_on(name)

    def observe_reply(self, worker: str, reply: SyncReply) -> None:
        """Apply a worker's report to its view and to the entries of its attempts."""
        view = self.workers.get(worker)
        if view is None:
            return
        now_ms = self._clock.now_ms()
        if view.incarnation and view.incarnation != reply.incarnation:
            self._forget_worker(worker)
        view.apply_reply(reply, now_ms)
        for entry in list(self.record.working.values()):
            if entry.worker != worker or not entry.is_charged:
                continue
            task_report = view.reports.get((entry.task, entry.attempt))
            if entry.incarnation != reply.incarnation:
                self._release_attempt(entry, "lost", "the worker restarted")
            elif task_report is not None and task_report.state == "ended":
                self._release_reported(entry, task_report)
            elif task_report is not None and task_report.checkpoint:
                # A new checkpoint alone doesn't trigger a write; it is stored with the next write.
                name = self._get_entry_name(entry)
                self.record.put_deferred(
                    name, attrs.evolve(entry, checkpoint=task_report.checkpoint)
                )
        self._record_successes(worker, view, now_ms)
        self._protect_services(worker, view, now_ms)
        if self._reserved:
            self.place()

    def apply_request(self, request: ExchangeRequest) -> StaleExchange | None:
        """Apply a request of the dispatcher to the working copy of the record.

        Returns
        -------
        StaleExchange or None
            Reason for a rejection; None if the request was applied, now or earlier.
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
        self._reply_encoder.confirm_last_reply()
        for key in request.acknowledge:
            self._acknowledge_release(key.task, key.attempt)
        for key in request.revoke:
            self._revoke_attempt(key.task, key.attempt)
        for assignment in request.assign:
            self._accept_assignment(assignment)
        self.place()
        return None

    def place(self) -> None:
        """Place the accepted attempts in the working copy; release those that time out."""
        accepted = [entry for entry in self.record.working.values() if entry.state == "accepted"]
        if not accepted:
            self._reserved.clear()
            return
        accepted.sort(key=lambda entry: (-entry.spec.priority, entry.task))
        loads = {load.name: load for load in self._build_loads()}
        for entry in accepted:
            worker = self._choose_worker(entry, loads)
            if worker is None:
                self._subtract_reserved_capacity(entry, loads)
                self._release_if_timed_out(entry)
                continue
            self._reserved.pop(entry.task, None)
            load = loads[worker]
            loads[worker] = attrs.evolve(
                load,
                free=subtract(load.free, self.usage.predict_size(entry.spec, load.size)),
                declared=(*load.declared, entry.spec.declared),
                services=load.services
                | ({entry.spec.declared} if entry.spec.kind == "service" else set()),
            )
            if self.health.is_quarantined(worker):
                self.health.start_probe(worker, entry.task, entry.attempt)
                del loads[worker]
            incarnation = self.workers[worker].incarnation
            self._update_entry(entry, state="placed", worker=worker, incarnation=incarnation)

    def _choose_worker(self, entry: Placement, loads: dict[str, WorkerLoad]) -> str | None:
        now_ms = self._clock.now_ms()
        spec = entry.spec
        usable: list[WorkerLoad] = []
        # Quarantined workers are probed only with batch tasks that are neither urgent nor have
        # failed elsewhere.
        may_probe = spec.kind == "batch" and spec.priority < _URGENT and not entry.avoid
        for name, load in loads.items():
            if name in entry.avoid or self._guard.is_blocked(name, spec.declared, now_ms):
                continue
            if not fits(self.usage.predict_size(spec, load.size), load.free):
                continue
            if self.health.is_quarantined(name):
                if may_probe and self.health.is_probe_due(name, now_ms):
                    return name
                continue
            usable.append(load)
        reserved = self._reserved.get(entry.task)
        if reserved and any(load.name == reserved[1] for load in usable):
            return reserved[1]
        return self._policy.choose(spec, usable)

    def _subtract_reserved_capacity(self, entry: Placement, loads: dict[str, WorkerLoad]) -> None:
        # Capacity that evictions free for this attempt must not go to one with lower priority.
        reserved = self._reserved.get(entry.task)
        if reserved and reserved[1] in loads:
            load = loads[reserved[1]]
            loads[load.name] = attrs.evolve(load, free=subtract(load.free, entry.spec.size))

    def expire_leases(self) -> None:
        """Release attempts whose leases have expired, and orphan runners on silent workers."""
        now_ms = self._clock.now_ms()
        for entry in list(self.record.working.values()):
            if not entry.is_charged:
                continue
            view = self.workers.get(entry.worker)
            if now_ms >= self._leases.compute_expiry_ms(view):
                self._release_attempt(entry, "lost", "the lease on the worker ended")
            elif self._leases.should_orphan(entry, view, now_ms):
                self._update_entry(
                    entry, state="orphaned", outcome="lost", reason="no report of the worker"
                )

    # Outputs

    def check_capacity(self) -> None:
        """Check that the attempts charged to each worker fit into its size.

        Raises
        ------
        OvercommitError
            If a worker is overcommitted; the message names the worker and the sizes.
        """
        for name, view in self.workers.items():
            used = self._sum_charged_sizes(name)
            if view.received_ms > float("-inf") and not fits(used, view.size):
                raise OvercommitError(
                    f"worker {name} is overcommitted: charged {used}, size {view.size}"
                )

    def plan_sync(self, worker: str, *, may_start: bool, may_renew_batch: bool) -> SyncRequest:
        """Build the commands for a worker and record the lease that they grant.

        Parameters
        ----------
        worker : str
            Name of the worker.
        may_start : bool
            Whether this daemon certainly owns the shard now.
        may_renew_batch : bool
            Whether leases of batch tasks may still be renewed; false once this daemon's hold-over
            has ended.

        Returns
        -------
        SyncRequest
            Without an incarnation or commands if the worker hasn't reported to this owner yet.
        """
        view = self.workers[worker]
        now_ms = self._clock.now_ms()
        if view.received_ms == float("-inf"):
            return SyncRequest(incarnation="")
        # The worker's clock may run slower than the owner's. Overestimating it would grant a
        # lease that outlasts the expiry computed below if replies have been lost for a long time.
        worker_now_ms = view.worker_now_ms + (now_ms - view.received_ms) * (
            1 - MAX_CLOCK_DRIFT_RATIO
        )
        lease_until_ms = worker_now_ms + self._worker_lease_ms
        commands: list[Command] = []
        # The most urgent attempts come first, because the rate of starts is limited.
        durable = sorted(
            self._list_durable_entries(worker), key=lambda entry: (-entry.spec.priority, entry.task)
        )
        for entry in durable:
            if not entry.is_charged:
                continue
            if entry.incarnation != view.incarnation:
                continue
            kind = choose_command_kind(entry, view, may_start)
            if kind == "start":
                key = (entry.task, entry.attempt)
                if not view.admit_start(key, now_ms, _MAX_STARTS_PER_S):
                    continue
                self._guard.record_start(key)
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
            # An attempt that only one of the copies places on the worker must not be cleaned up
            # either.
            entries = (*self._list_working_entries(worker), *durable)
            commands += plan_cleanup(entries, view, self.record.epoch)
        # The reply may be lost after the commands have taken effect, so the lease is recorded
        # before they are sent.
        granted_expiry_ms = self._leases.compute_grant_expiry_ms(now_ms)
        if any(command.kind in ("start", "renew") for command in commands):
            view.lease_end_ms = granted_expiry_ms
        return SyncRequest(incarnation=view.incarnation, commands=tuple(commands))

    def has_all_reports(self) -> bool:
        """Return whether every live worker has reported to this owner."""
        live_workers = [view for view in self.workers.values() if view.vm.state == "live"]
        return bool(live_workers) and all(view.received_ms > float("-inf") for view in live_workers)

    def has_pending_commands(self, worker: str) -> bool:
        """Return whether a worker still has to start or stop attempts of the durable record."""
        view = self.workers.get(worker)
        if view is None:
            return False
        return any(
            (entry.state == "placed" and (entry.task, entry.attempt) not in view.reports)
            or entry.state == "stopping"
            for entry in self._list_durable_entries(worker)
        )

    def build_exchange_reply(self, *, full: bool) -> ExchangeReply:
        """Build the reply to the dispatcher from the durable copy of the record."""
        # An orphaned entry under the name TASK#ATTEMPT has been acknowledged already, or a later
        # attempt has replaced it.
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
            measured=self.usage.list_excess_usage(),
        )
        return self._reply_encoder.build_reply(
            reply, self.list_attempt_states(), self.list_capacities()
        )

    def list_attempt_states(self) -> Iterable[AttemptState]:
        """Yield the state of each attempt that is neither released nor orphaned."""
        for entry in self.record.durable.values():
            if entry.state in ("released", "orphaned"):
                continue
            state = entry.state
            view = self.workers.get(entry.worker)
            task_report = view.reports.get((entry.task, entry.attempt)) if view else None
            if state == "placed" and task_report is not None:
                state = task_report.state
            unsaved_ms = 0.0
            if view is not None and entry.spec.kind == "batch":
                key = (entry.task, entry.attempt)
                unsaved_ms = round(view.compute_unsaved_ms(key, self._clock.now_ms()))
            yield AttemptState(
                task=entry.task,
                attempt=entry.attempt,
                state=state,
                worker=entry.worker,
                unsaved_ms=unsaved_ms,
            )

    def list_capacities(self) -> Iterable[WorkerCapacity]:
        """Yield the total and free capacity of each worker that may receive tasks."""
        now_ms = self._clock.now_ms()
        reserved_sizes: dict[str, list[Size]] = defaultdict(list)
        for task, (_, worker) in self._reserved.items():
            entry = self.record.working.get(task)
            if entry is not None and entry.state == "accepted":
                reserved_sizes[worker].append(entry.spec.size)
        for load in self._build_loads():
            yield build_capacity(
                load,
                self.workers[load.name].vm,
                reserved=sum_sizes(reserved_sizes[load.name]),
                is_quarantined=self.health.is_quarantined(load.name),
                is_probe_due=self.health.is_probe_due(load.name, now_ms),
            )

    # State transitions

    def _accept_assignment(self, assignment: Assignment) -> None:
        task, attempt = assignment.task, assignment.attempt
        earlier = self.record.working.get(task)
        if earlier is not None and earlier.attempt >= attempt:
            return
        if earlier is not None and earlier.is_charged:
            # The earlier attempt is orphaned; its entry moves to another name, so that it stays
            # charged to its worker.
            self.record.put(f"{task}#{earlier.attempt}", earlier)
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

    def _acknowledge_release(self, task: str, attempt: int) -> None:
        entry = self.record.working.get(task)
        if entry is None or entry.attempt != attempt:
            return
        if entry.state in ("released", "orphaned"):
            self.record.drop(task)
            self._accepted_ms.pop(task, None)
            self._reserved.pop(task, None)
        if entry.state == "orphaned":
            # The release is acknowledged, but the attempt stays charged to its worker.
            self.record.put(f"{task}#{attempt}", entry)

    def _revoke_attempt(self, task: str, attempt: int) -> None:
        entry = self.record.working.get(task)
        if entry is None or entry.attempt != attempt:
            return
        if entry.state == "accepted":
            self._update_entry(entry, state="released", outcome="stopped", reason="revoked")
        elif entry.state == "placed":
            self._update_entry(entry, state="stopping", reason="revoked")

    def _stop_attempts_on(self, worker: str) -> None:
        # An extra runner of a service is harmless, so replacements start at once and don't wait
        # until the old runners have finished their requests.
        for entry in list(self.record.working.values()):
            if entry.worker == worker and entry.state == "placed":
                state = "orphaned" if entry.spec.kind == "service" else "stopping"
                self._update_entry(entry, state=state, reason="the VM is leaving")

    def _forget_worker(self, worker: str) -> None:
        self.health.remove_worker(worker)
        self._guard.remove_worker(worker)

    def _record_successes(self, worker: str, view: WorkerView, now_ms: float) -> None:
        for key in view.mark_successes(now_ms, _SUCCESS_AFTER_MS):
            self.health.observe_success(worker, key, key[0].split("/")[1])

    def _protect_services(self, worker: str, view: WorkerView, now_ms: float) -> None:
        running: dict[tuple[str, int], Placement] = {}
        for entry in self._list_working_entries(worker):
            key = (entry.task, entry.attempt)
            task_report = view.reports.get(key)
            if task_report is not None and task_report.state == "running" and entry.is_charged:
                running[key] = entry
                self.usage.observe(entry.spec, task_report)
        tasks = [build_neighbour(entry, view.reports[key]) for key, entry in running.items()]
        eviction = self._guard.observe(worker, view.worker_now_ms, now_ms, tasks)
        if eviction is not None and running[eviction.key].state == "placed":
            self._update_entry(running[eviction.key], state="stopping", reason=eviction.reason)

    def _release_attempts_on(self, worker: str, outcome: str, reason: str) -> None:
        for entry in list(self.record.working.values()):
            if entry.worker == worker and entry.is_charged:
                self._release_attempt(entry, outcome, reason)

    def _release_reported(self, entry: Placement, task_report: TaskReport) -> None:
        outcome = (
            "stopped" if task_report.outcome in ("stopped", "expired") else task_report.outcome
        )
        if outcome == "refused":
            outcome = "no_capacity"
        checkpoint = task_report.checkpoint or entry.checkpoint
        self._release_attempt(
            attrs.evolve(entry, checkpoint=checkpoint), outcome, task_report.reason
        )

    def _release_attempt(self, entry: Placement, outcome: str, reason: str) -> None:
        self._guard.remove_attempt((entry.task, entry.attempt))
        self._record_outcome(entry, outcome)
        name = self._get_entry_name(entry)
        if entry.state == "orphaned" and name != entry.task:
            self.record.drop(name)
            return
        self.record.put(
            name,
            attrs.evolve(entry, state="released", outcome=outcome, reason=entry.reason or reason),
        )

    def _record_outcome(self, entry: Placement, outcome: str) -> None:
        now_ms = self._clock.now_ms()
        declared = entry.spec.declared
        if outcome == "done":
            key = (entry.task, entry.attempt)
            self.health.observe_success(entry.worker, key, declared)
        elif outcome == "failed":
            live_worker_count = sum(view.vm.state == "live" for view in self.workers.values())
            self.health.observe_failure(
                entry.worker,
                entry.task,
                declared,
                now_ms=now_ms,
                live_worker_count=live_worker_count,
            )
        else:
            self.health.end_inconclusive_probe(entry.worker, entry.task, entry.attempt, now_ms)

    def _update_entry(self, entry: Placement, **changes: object) -> None:
        self.record.put(self._get_entry_name(entry), attrs.evolve(entry, **changes))

    def _get_entry_name(self, entry: Placement) -> str:
        # TASK#ATTEMPT for an orphaned entry that was moved, otherwise the task.
        orphan_name = f"{entry.task}#{entry.attempt}"
        return orphan_name if orphan_name in self.record.working else entry.task

    def _release_if_timed_out(self, entry: Placement) -> None:
        waited_ms = self._clock.now_ms() - self._accepted_ms.setdefault(
            entry.task, self._clock.now_ms()
        )
        limit_ms = _EVICTION_TIMEOUT_MS if entry.task in self._reserved else _PLACEMENT_TIMEOUT_MS
        if waited_ms >= limit_ms:
            self._reserved.pop(entry.task, None)
            self._update_entry(
                entry,
                state="released",
                outcome="no_capacity",
                reason="no room on a worker",
            )

    def _list_durable_entries(self, worker: str) -> list[Placement]:
        if self._durable_by_worker[0] != self.record.durable_version:
            entries_by_worker: dict[str, list[Placement]] = defaultdict(list)
            for entry in self.record.durable.values():
                entries_by_worker[entry.worker].append(entry)
            self._durable_by_worker = (self.record.durable_version, entries_by_worker)
        return self._durable_by_worker[1].get(worker, [])

    def _list_working_entries(self, worker: str) -> list[Placement]:
        return [entry for entry in self.record.working.values() if entry.worker == worker]

    def _sum_charged_sizes(self, worker: str) -> Size:
        return sum_sizes(
            entry.spec.size for entry in self._list_working_entries(worker) if entry.is_charged
        )

    def _build_loads(self) -> Iterable[WorkerLoad]:
        entries_by_worker: dict[str, list[Placement]] = defaultdict(list)
        for entry in self.record.working.values():
            if entry.is_charged:
                entries_by_worker[entry.worker].append(entry)
        now_ms = self._clock.now_ms()
        for name, view in self.workers.items():
            is_silent = now_ms - view.received_ms > self._worker_lease_ms * _SILENT_LEASE_FRACTION
            if view.vm.state == "live" and not is_silent:
                yield build_load(name, view, entries_by_worker[name], self.usage)
