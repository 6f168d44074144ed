"""Builders of permit messages, and a simulation of several daemons with injected faults."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from coltsfootpier.clock import VirtualClock
from coltsfootpier.ownership import OwnershipState, OwnerTable
from coltsfootpier.permits import (
    AcquirePermit,
    CopyRequired,
    KeyKind,
    PermitManager,
    PermitReply,
    PermitTable,
    PullPermits,
    SettlePermit,
    Verdict,
    process_of,
)
from coltsfootpier.routing import Outcome

WINDOW_MS = 40_000.0
HOLD_OVER_MS = 60_000.0
DEADLINE_MS = 3_000.0
MAX_RUN_MS = 5_000.0
LEASE_MS = 6_000.0
GROUPS = ("keys/0", "keys/1")


def build_acquire(key: str = "k", token: str = "t1", **changes: Any) -> AcquirePermit:
    """Build a request for a permit in group keys/0."""
    request = AcquirePermit(
        group="keys/0",
        kind=KeyKind.IDEMPOTENCY,
        key=key,
        token=token,
        hold_ms=DEADLINE_MS + MAX_RUN_MS,
    )
    return attrs.evolve(request, **changes)


def build_settle(request: AcquirePermit, outcome: Outcome) -> SettlePermit:
    """Build the message that reports the outcome of a request."""
    return SettlePermit(
        group=request.group,
        kind=request.kind,
        key=request.key,
        token=request.token,
        outcome=outcome,
        status=200,
    )


def build_manager(clock: VirtualClock, member: str, **changes: Any) -> PermitManager:
    """Build the permit manager of a daemon that has just joined."""
    ownership = OwnershipState(clock=clock, ttl_ms=LEASE_MS)
    ownership.join(member, sent_ms=clock.now_ms())
    options = {"window_ms": WINDOW_MS, "hold_over_ms": HOLD_OVER_MS, "capacity": 64, **changes}
    return PermitManager(clock=clock, ownership=ownership, **options)


@attrs.define(eq=False)
class Daemon:
    """Simulated daemon.

    Parameters
    ----------
    listed : frozenset of str
        Members as the daemon last read them from the store.
    listed_ms, renewed_ms : float
        Times of that read and of the last renewal of its lease, on the virtual clock.
    pulling : list of PermitTable
        Owned tables whose history is still being pulled.
    """

    name: str
    manager: PermitManager
    listed: frozenset[str] = frozenset()
    listed_ms: float = float("-inf")
    renewed_ms: float = float("-inf")
    pulling: list[PermitTable] = attrs.field(factory=list)

    @property
    def id(self) -> str:
        """Member identifier."""
        return self.manager.ownership.member


@attrs.define(eq=False)
class Request:
    """Caller's request at one entry VM.

    Parameters
    ----------
    entry : Daemon
        Daemon that received the request from the caller.
    message : AcquirePermit
        Request for the permit that the caller's request needs.
    sent_ms : float
        Time at which the caller sent the request.
    attempts : int
        Number of attempts to acquire the permit, or to settle it once it is granted.
    granted : bool
        Whether the permit has been granted.
    end_ms, outcome : float, Outcome
        Time at which the run ends, and its outcome; set when the permit is granted.
    """

    entry: Daemon
    message: AcquirePermit
    sent_ms: float
    attempts: int = 0
    granted: bool = False
    end_ms: float = 0.0
    outcome: Outcome = Outcome.DONE


class Simulation:
    """Simulation of daemons and a store on a virtual clock.

    Messages are lost and delayed, daemons are partitioned, killed and restarted, and key groups
    change their owners.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.table, self.version = OwnerTable(), 0
        self.leases: dict[str, float] = {}
        self.daemons: list[Daemon] = []
        # Pairs of daemon names that can't reach each other; "s" denotes the store.
        self.partitioned: set[frozenset[str]] = set()
        self.requests: list[Request] = []
        self.pending_copies: list[tuple[Request, Daemon, PermitTable, CopyRequired, bool]] = []
        self.delayed_calls: list[Callable[[], object]] = []
        self.runs: dict[str, list[tuple[float, float]]] = {}
        self.double_runs: list[str] = []
        self.counts: Counter[str] = Counter()
        self._serial = 0
        # Some seeds simulate only two daemons, of which one is often the only member.
        self.names = [f"n{index}" for index in range(2 + seed % 3)]
        for name in self.names:
            self._start_daemon(name)

    def run(self, steps: int) -> None:
        """Simulate random steps; runs that violate a guarantee are added to `double_runs`."""
        for _ in range(steps):
            self.clock.advance(self.rng.choice((5.0, 50.0, 400.0)))
            for daemon in list(self.daemons):
                self._sync_with_store(daemon)
            action = self.rng.random()
            if action < 0.04:
                self._inject_fault()
            elif action < 0.35:
                self._create_request()
            for item in self._pop_random(self.pending_copies, 0.6):
                self._copy_record(*item)
            for request in self._pop_random(self.requests, 0.6):
                self._advance_request(request)
            for call in self._pop_random(self.delayed_calls, 0.1):
                call()
            for daemon in self.daemons:
                for table in list(daemon.pulling):
                    if self.rng.random() < 0.5:
                        self._pull_history(daemon, table)

    def _pop_random(self, items: list, probability: float) -> list:
        picked = [item for item in items if self.rng.random() < probability]
        items[:] = [item for item in items if item not in picked]
        return picked

    def _start_daemon(self, name: str) -> None:
        self._serial += 1
        manager = build_manager(self.clock, f"{name}.{self._serial}.1")
        self.daemons.append(Daemon(name, manager))
        self.leases[manager.ownership.member] = self.clock.now_ms() + LEASE_MS

    def _inject_fault(self) -> None:
        kind = self.rng.choice(("kill", "restart", "partition", "partition", "heal", "hand over"))
        self.counts[kind] += 1
        names = [daemon.name for daemon in self.daemons]
        if kind == "kill" and len(names) > 1:
            self.daemons.remove(self.rng.choice(self.daemons))
        elif kind == "restart":
            missing = sorted(set(self.names) - set(names))
            if missing:
                self._start_daemon(missing[0])
        elif kind == "partition":
            self.partitioned.add(
                frozenset((self.rng.choice(names), self.rng.choice((*names, "s"))))
            )
        elif kind == "heal":
            self.partitioned.clear()
        elif kind == "hand over":
            daemon = self.rng.choice(self.daemons)
            live = [id_ for id_ in daemon.listed if self._is_live(id_)]
            self._write_owner_table(
                daemon, daemon.manager.ownership.plan_handover(live, leave=True)
            )

    # Store

    def _is_live(self, id_: str) -> bool:
        return self.leases.get(id_, 0.0) > self.clock.now_ms()

    def _write_owner_table(self, daemon: Daemon, table: OwnerTable | None) -> None:
        if table is not None and daemon.manager.ownership.table_version == self.version:
            self.table, self.version = table, self.version + 1

    def _sync_with_store(self, daemon: Daemon) -> None:
        manager, ownership, now_ms = daemon.manager, daemon.manager.ownership, self.clock.now_ms()
        if frozenset((daemon.name, "s")) not in self.partitioned:
            if now_ms - daemon.renewed_ms > LEASE_MS / 3:
                daemon.renewed_ms = now_ms
                if not self._is_live(daemon.id):
                    prefix, _, session = daemon.id.rpartition(".")
                    ownership.join(f"{prefix}.{int(session) + 1}", sent_ms=now_ms)
                self.leases[daemon.id] = now_ms + LEASE_MS
                ownership.record_renewal(sent_ms=now_ms)
            if self.rng.random() < 0.5:
                daemon.listed_ms = now_ms
                daemon.listed = frozenset(id_ for id_ in self.leases if self._is_live(id_))
                ownership.observe(self.table, self.version)
                if ownership.is_valid:
                    self._write_owner_table(daemon, ownership.plan_claims(GROUPS, daemon.listed))
                    ownership.observe(self.table, self.version)
        names = {id_.split(".")[0] for id_ in daemon.listed}
        daemon.pulling += manager.reconcile(
            daemon.listed,
            listed_ms=daemon.listed_ms,
            is_retired=lambda process: process.split(".")[0] in names,
        )

    # Messages

    def _call_daemon(self, source: Daemon, process: str, call: Callable[[Daemon], Any]) -> Any:
        target = next((item for item in self.daemons if process_of(item.id) == process), None)
        if target is None or frozenset((source.name, target.name)) in self.partitioned:
            return None
        if target is source:
            return call(target)
        draw = self.rng.random()
        if draw < 0.05:
            return None
        if draw < 0.12:
            self.delayed_calls.append(lambda: call(target) if target in self.daemons else None)
            return None
        reply = call(target)
        return None if draw < 0.18 else reply

    def _pull_history(self, daemon: Daemon, table: PermitTable) -> None:
        manager = daemon.manager
        if table.is_superseded:
            daemon.pulling.remove(table)
            return
        pull = PullPermits(group=table.group, epoch=table.epoch)
        table.history.record_coverage(manager.covered_ms())
        for process in sorted(table.history.missing_processes()):
            reply = self._call_daemon(daemon, process, lambda to: to.manager.handle_pull(pull))
            if reply is not None:
                manager.merge_pulled_copies(table, reply)
        table.is_ready = True
        if table.update_completeness() and not table.history.missing_processes():
            daemon.pulling.remove(table)

    def _copy_record(
        self,
        request: Request,
        owner: Daemon,
        table: PermitTable,
        decision: CopyRequired,
        was_only_member: bool,
    ) -> None:
        if owner not in self.daemons:
            return
        message = owner.manager.build_copy_message(table, (decision.record,))
        copied = False
        others = sorted(process_of(id_) for id_ in owner.listed if id_ != owner.id)
        for process in self.rng.sample(others, len(others)):
            reply = self._call_daemon(owner, process, lambda to: to.manager.receive_copies(message))
            if reply is not None and not reply.accepted:
                owner.manager.copies.observe_epoch(table.group, reply.epoch)
            if reply is not None and reply.accepted:
                copied = True
                break
        reply = owner.manager.decide_after_copy(
            table, decision.record, copied=copied, was_only_member=was_only_member
        )
        if request.entry is owner or self.rng.random() < 0.9:
            self._handle_reply(request, reply)

    # Requests

    def _create_request(self) -> None:
        entry = self.rng.choice(self.daemons)
        group = self.rng.choice(GROUPS)
        kind = self.rng.choice(tuple(KeyKind))
        key = f"{kind.value}/{group}/{self.rng.randrange(3)}"
        self._serial += 1
        message = build_acquire(key, f"t{self._serial}", group=group, kind=kind)
        self.requests.append(Request(entry, message, self.clock.now_ms()))

    def _call_owner(self, request: Request, call: Callable[[Daemon], Any]) -> Any:
        owner = request.entry.manager.ownership.owner_of(request.message.group)
        return self._call_daemon(request.entry, process_of(owner), call)

    def _advance_request(self, request: Request) -> None:
        now_ms = self.clock.now_ms()
        if request.entry not in self.daemons:
            return
        if request.granted:
            settle = build_settle(request.message, request.outcome)
            if now_ms >= request.end_ms and self.rng.random() < 0.8:
                if self._call_owner(request, lambda to: to.manager.settle(settle)) is not None:
                    return
                request.attempts += 1
            if request.attempts < 6:
                self.requests.append(request)
            return
        left_ms = request.sent_ms + DEADLINE_MS - now_ms
        if left_ms <= 0 or request.attempts >= 4:
            self._call_owner(
                request,
                lambda to: to.manager.settle(build_settle(request.message, Outcome.REFUSED)),
            )
            return
        request.attempts += 1
        message = attrs.evolve(request.message, hold_ms=left_ms + MAX_RUN_MS)
        reply = self._call_owner(request, lambda to: self._decide(request, to, message))
        if reply is None or reply.verdict in (Verdict.NOT_OWNER, Verdict.NO_COPY):
            self.requests.append(request)
        else:
            self._handle_reply(request, reply)

    def _decide(
        self, request: Request, owner: Daemon, message: AcquirePermit
    ) -> PermitReply | None:
        was_only_member = owner.manager.is_only_member
        decision = owner.manager.decide(message)
        if isinstance(decision, PermitReply):
            return decision
        table = owner.manager.tables[message.group]
        self.pending_copies.append((request, owner, table, decision, was_only_member))
        return None

    def _handle_reply(self, request: Request, reply: PermitReply) -> None:
        self.counts[reply.verdict.value] += 1
        now_ms = self.clock.now_ms()
        is_late = now_ms >= request.sent_ms + DEADLINE_MS or request not in self.requests
        if reply.verdict is not Verdict.GRANTED or is_late or request.granted:
            return
        if request.entry not in self.daemons:
            return
        request.granted, request.attempts, request.end_ms = True, 0, now_ms
        if self.rng.random() < 0.2:
            request.outcome = Outcome.REFUSED
            return
        self.counts["run"] += 1
        request.end_ms += self.rng.uniform(0.0, MAX_RUN_MS)
        self._check_run(request, now_ms)

    def _check_run(self, request: Request, now_ms: float) -> None:
        key = request.message.key
        runs = self.runs.setdefault(key, [])
        for sent_ms, end_ms in runs:
            is_exclusive = request.message.kind is KeyKind.EXCLUSIVE
            is_double = now_ms < end_ms if is_exclusive else now_ms - sent_ms < WINDOW_MS
            if is_double:
                self.double_runs.append(f"{key} at {now_ms:.0f} ms")
        runs.append((request.sent_ms, request.end_ms))
