"""Builders of permit messages, and several daemons on a virtual clock with faults."""

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
    """Build the outcome of a request."""
    return SettlePermit(
        group=request.group,
        kind=request.kind,
        key=request.key,
        token=request.token,
        outcome=outcome,
        status=200,
    )


def build_node(clock: VirtualClock, member: str, **changes: Any) -> PermitManager:
    """Build the permits of a daemon that has just joined."""
    ownership = OwnershipState(clock=clock, ttl_ms=LEASE_MS)
    ownership.join(member, sent_ms=clock.now_ms())
    options = {"window_ms": WINDOW_MS, "hold_over_ms": HOLD_OVER_MS, "capacity": 64, **changes}
    return PermitManager(clock=clock, ownership=ownership, **options)


@attrs.define(eq=False)
class Daemon:
    """A simulated daemon."""

    name: str
    node: PermitManager
    listed: frozenset[str] = frozenset()
    listed_ms: float = float("-inf")
    renewed_ms: float = float("-inf")
    taking_over: list[PermitTable] = attrs.field(factory=list)

    @property
    def id(self) -> str:
        """Member identifier."""
        return self.node.ownership.member


@attrs.define(eq=False)
class Request:
    """A caller's request at one entry VM."""

    entry: Daemon
    message: AcquirePermit
    sent_ms: float
    tries: int = 0
    granted: bool = False
    end_ms: float = 0.0
    outcome: Outcome = Outcome.DONE


class Simulation:
    """Daemons with a store, message loss, delay, partitions, deaths and changes of owners.

    Parameters
    ----------
    seed : int
        Chooses everything that happens.
    """

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.clock = VirtualClock()
        self.table, self.version = OwnerTable(), 0
        self.leases: dict[str, float] = {}
        self.daemons: list[Daemon] = []
        self.cut: set[frozenset[str]] = set()
        self.requests: list[Request] = []
        self.deciding: list[tuple[Request, Daemon, PermitTable, CopyRequired, bool]] = []
        self.late: list[Callable[[], object]] = []
        self.runs: dict[str, list[tuple[float, float]]] = {}
        self.doubled: list[str] = []
        self.counts: Counter[str] = Counter()
        self._serial = 0
        # With two daemons, one of them is often the only member.
        self.names = [f"n{index}" for index in range(2 + seed % 3)]
        for name in self.names:
            self._boot(name)

    def run(self, steps: int) -> None:
        """Make random steps, then report double runs in `doubled`."""
        for _ in range(steps):
            self.clock.advance(self.chance.choice((5.0, 50.0, 400.0)))
            for daemon in list(self.daemons):
                self._visit_store(daemon)
            action = self.chance.random()
            if action < 0.04:
                self._disturb()
            elif action < 0.35:
                self._request()
            for item in self._pick(self.deciding, 0.6):
                self._copy(*item)
            for request in self._pick(self.requests, 0.6):
                self._advance(request)
            for call in self._pick(self.late, 0.1):
                call()
            for daemon in self.daemons:
                for table in list(daemon.taking_over):
                    if self.chance.random() < 0.5:
                        self._take_over(daemon, table)

    def _pick(self, items: list, share: float) -> list:
        picked = [item for item in items if self.chance.random() < share]
        items[:] = [item for item in items if item not in picked]
        return picked

    def _boot(self, name: str) -> None:
        self._serial += 1
        node = build_node(self.clock, f"{name}.{self._serial}.1")
        self.daemons.append(Daemon(name, node))
        self.leases[node.ownership.member] = self.clock.now_ms() + LEASE_MS

    def _disturb(self) -> None:
        kind = self.chance.choice(("kill", "restart", "cut", "cut", "heal", "hand over"))
        self.counts[kind] += 1
        names = [daemon.name for daemon in self.daemons]
        if kind == "kill" and len(names) > 1:
            self.daemons.remove(self.chance.choice(self.daemons))
        elif kind == "restart":
            missing = sorted(set(self.names) - set(names))
            if missing:
                self._boot(missing[0])
        elif kind == "cut":
            self.cut.add(frozenset((self.chance.choice(names), self.chance.choice((*names, "s")))))
        elif kind == "heal":
            self.cut.clear()
        elif kind == "hand over":
            daemon = self.chance.choice(self.daemons)
            live = [id_ for id_ in daemon.listed if self._is_live(id_)]
            self._write(daemon, daemon.node.ownership.plan_handover(live, leave=True))

    # Store

    def _is_live(self, id_: str) -> bool:
        return self.leases.get(id_, 0.0) > self.clock.now_ms()

    def _write(self, daemon: Daemon, table: OwnerTable | None) -> None:
        if table is not None and daemon.node.ownership.table_version == self.version:
            self.table, self.version = table, self.version + 1

    def _visit_store(self, daemon: Daemon) -> None:
        node, ownership, now_ms = daemon.node, daemon.node.ownership, self.clock.now_ms()
        if frozenset((daemon.name, "s")) not in self.cut:
            if now_ms - daemon.renewed_ms > LEASE_MS / 3:
                daemon.renewed_ms = now_ms
                if not self._is_live(daemon.id):
                    prefix, _, session = daemon.id.rpartition(".")
                    ownership.join(f"{prefix}.{int(session) + 1}", sent_ms=now_ms)
                self.leases[daemon.id] = now_ms + LEASE_MS
                ownership.record_renewal(sent_ms=now_ms)
            if self.chance.random() < 0.5:
                daemon.listed_ms = now_ms
                daemon.listed = frozenset(id_ for id_ in self.leases if self._is_live(id_))
                ownership.observe(self.table, self.version)
                if ownership.is_valid:
                    self._write(daemon, ownership.plan_claims(GROUPS, daemon.listed))
                    ownership.observe(self.table, self.version)
        names = {id_.split(".")[0] for id_ in daemon.listed}
        daemon.taking_over += node.reconcile(
            daemon.listed,
            listed_ms=daemon.listed_ms,
            is_retired=lambda process: process.split(".")[0] in names,
        )

    # Messages

    def _send(self, source: Daemon, process: str, call: Callable[[Daemon], Any]) -> Any:
        target = next((item for item in self.daemons if process_of(item.id) == process), None)
        if target is None or frozenset((source.name, target.name)) in self.cut:
            return None
        if target is source:
            return call(target)
        fate = self.chance.random()
        if fate < 0.05:
            return None
        if fate < 0.12:
            self.late.append(lambda: call(target) if target in self.daemons else None)
            return None
        reply = call(target)
        return None if fate < 0.18 else reply

    def _take_over(self, daemon: Daemon, table: PermitTable) -> None:
        node = daemon.node
        if table.is_superseded:
            daemon.taking_over.remove(table)
            return
        pull = PullPermits(group=table.group, epoch=table.epoch)
        table.history.record_coverage(node.covered_ms())
        for process in sorted(table.history.missing_processes()):
            reply = self._send(daemon, process, lambda to: to.node.handle_pull(pull))
            if reply is not None:
                node.merge_pulled_copies(table, reply)
        table.ready = True
        if table.check_history() and not table.history.missing_processes():
            daemon.taking_over.remove(table)

    def _copy(
        self, request: Request, owner: Daemon, table: PermitTable, first: CopyRequired, alone: bool
    ) -> None:
        if owner not in self.daemons:
            return
        message = owner.node.build_copy_message(table, (first.record,))
        copied = False
        others = sorted(process_of(id_) for id_ in owner.listed if id_ != owner.id)
        for process in self.chance.sample(others, len(others)):
            reply = self._send(owner, process, lambda to: to.node.receive_copies(message))
            if reply is not None and not reply.accepted:
                owner.node.copies.announce(table.group, reply.epoch)
            if reply is not None and reply.accepted:
                copied = True
                break
        reply = owner.node.decide_after_copy(
            table, first.record, copied=copied, was_only_member=alone
        )
        if request.entry is owner or self.chance.random() < 0.9:
            self._answer(request, reply)

    # Requests

    def _request(self) -> None:
        entry = self.chance.choice(self.daemons)
        group = self.chance.choice(GROUPS)
        kind = self.chance.choice(tuple(KeyKind))
        key = f"{kind.value}/{group}/{self.chance.randrange(3)}"
        self._serial += 1
        message = build_acquire(key, f"t{self._serial}", group=group, kind=kind)
        self.requests.append(Request(entry, message, self.clock.now_ms()))

    def _ask(self, request: Request, call: Callable[[Daemon], Any]) -> Any:
        owner = request.entry.node.ownership.owner_of(request.message.group)
        return self._send(request.entry, process_of(owner), call)

    def _advance(self, request: Request) -> None:
        now_ms = self.clock.now_ms()
        if request.entry not in self.daemons:
            return
        if request.granted:
            settle = build_settle(request.message, request.outcome)
            if now_ms >= request.end_ms and self.chance.random() < 0.8:
                if self._ask(request, lambda to: to.node.settle(settle)) is not None:
                    return
                request.tries += 1
            if request.tries < 6:
                self.requests.append(request)
            return
        left_ms = request.sent_ms + DEADLINE_MS - now_ms
        if left_ms <= 0 or request.tries >= 4:
            self._ask(
                request, lambda to: to.node.settle(build_settle(request.message, Outcome.REFUSED))
            )
            return
        request.tries += 1
        message = attrs.evolve(request.message, hold_ms=left_ms + MAX_RUN_MS)
        reply = self._ask(request, lambda to: self._decide(request, to, message))
        if reply is None or reply.verdict in (Verdict.NOT_OWNER, Verdict.NO_COPY):
            self.requests.append(request)
        else:
            self._answer(request, reply)

    def _decide(
        self, request: Request, owner: Daemon, message: AcquirePermit
    ) -> PermitReply | None:
        alone = owner.node.is_only_member
        decision = owner.node.decide(message)
        if isinstance(decision, PermitReply):
            return decision
        table = owner.node.tables[message.group]
        self.deciding.append((request, owner, table, decision, alone))
        return None

    def _answer(self, request: Request, reply: PermitReply) -> None:
        self.counts[reply.verdict.value] += 1
        now_ms = self.clock.now_ms()
        is_late = now_ms >= request.sent_ms + DEADLINE_MS or request not in self.requests
        if reply.verdict is not Verdict.GRANTED or is_late or request.granted:
            return
        if request.entry not in self.daemons:
            return
        request.granted, request.tries, request.end_ms = True, 0, now_ms
        if self.chance.random() < 0.2:
            request.outcome = Outcome.REFUSED
            return
        self.counts["run"] += 1
        request.end_ms += self.chance.uniform(0.0, MAX_RUN_MS)
        self._check(request, now_ms)

    def _check(self, request: Request, now_ms: float) -> None:
        key = request.message.key
        runs = self.runs.setdefault(key, [])
        for sent_ms, end_ms in runs:
            is_exclusive = request.message.kind is KeyKind.EXCLUSIVE
            is_double = now_ms < end_ms if is_exclusive else now_ms - sent_ms < WINDOW_MS
            if is_double:
                self.doubled.append(f"{key} at {now_ms:.0f} ms")
        runs.append((request.sent_ms, request.end_ms))
