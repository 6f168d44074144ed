"""Routing on a virtual clock: the real `Router` of seven daemons with small fakes around it."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from pathlib import Path

import attrs

from coltsfootpier.clock import VirtualClock
from coltsfootpier.declaration import PRIORITIES, RequestKind, parse
from coltsfootpier.routing import (
    AttemptResult,
    BalancedAssignment,
    FairQueue,
    Feedback,
    FifoQueue,
    FirstFitPolicy,
    Grant,
    LeastOutstandingPolicy,
    MeasuredDelayPolicy,
    NearestFirstPolicy,
    Queued,
    RandomPolicy,
    Rejected,
    RendezvousAssignment,
    Router,
    Runner,
    Settlement,
    Share,
    Ticket,
    TicketState,
    compute_attempt_timeout,
)

_EXAMPLES = Path(__file__).parent.parent / "examples"
_ZONES = ("a", "b", "c")
_DAEMON_ZONES = "aaabbcc"
_RUNNERS = 24
_SLOTS = 8
_NEAR_MS = 0.25
# Handling of one message between daemons.
_CALL_MS = 0.5
_HEARTBEAT_MS = 1_000.0
_SUSPECT_MS = 3_000.0
# Longest wait of a borrowing request at a peer.
_BORROW_MS = 500.0
_WARM_MS = 2_000.0
STEP_MS = 500.0
# Slowdown of a runner by its own load and by its noisy neighbours.
_LOAD_SLOWDOWN = 0.3
_NOISY_SLOWDOWN = 1.8
_NOISY_PART = 0.2
_NOISY_MS = 2_000.0


@attrs.frozen(kw_only=True)
class Deployment:
    """One deployment of section 1 of the design page; times in milliseconds."""

    text: str
    service: str
    zone_ms: float
    client_ms: float
    service_ms: float
    deadline_ms: float
    mix: dict[str, float]
    least_urgent: str
    most_urgent: str

    @property
    def capacity_per_ms(self) -> float:
        """Requests that all runners complete, with the slowdowns of full load."""
        slowdown = (1 + _LOAD_SLOWDOWN) * (1 + _NOISY_PART * (_NOISY_SLOWDOWN - 1))
        return _RUNNERS * _SLOTS / (self.service_ms * slowdown)


DEPLOYMENTS = {
    "riga": Deployment(
        text="riga.ini",
        service="sign",
        zone_ms=4.0,
        client_ms=3.0,
        service_ms=60.0,
        deadline_ms=500.0,
        mix={"count": 0.6, "guidance": 0.3, "report": 0.1},
        least_urgent="report",
        most_urgent="count",
    ),
    "waitaha": Deployment(
        text="waitaha.ini",
        service="smoke-map",
        zone_ms=3.0,
        client_ms=3.0,
        service_ms=150.0,
        deadline_ms=1_000.0,
        mix={"plume": 0.3, "tile": 0.7},
        least_urgent="tile",
        most_urgent="plume",
    ),
}


@attrs.frozen(kw_only=True)
class Scenario:
    """Load as a part of the capacity, and what happens after the warm-up."""

    load: float = 0.5
    flood: str = ""
    flood_ms: float = float("inf")
    lost_zone: str = ""
    lost_entry: bool = False
    failing: int = 0


SCENARIOS = {
    "normal": Scenario(),
    "load 90 %": Scenario(load=0.9),
    "flood least": Scenario(flood="least_urgent"),
    "flood most": Scenario(flood="most_urgent"),
    "zone lost": Scenario(lost_zone="c"),
    "2 failing": Scenario(failing=2),
    "entry lost": Scenario(load=0.8, lost_entry=True),
    "short flood": Scenario(flood="most_urgent", flood_ms=2_000.0),
}
# The last one is for the section on lending only.
TABLE_SCENARIOS = tuple(SCENARIOS)[:-1]

_Variant = Callable[[int], dict[str, object]]
VARIANTS: dict[str, _Variant] = {
    "hash+fifo": lambda _: {
        "policy": NearestFirstPolicy(),
        "assignment": RendezvousAssignment(),
        "make_queue": FifoQueue,
    },
    "hash+fair": lambda _: {"assignment": RendezvousAssignment()},
    "balanced+fifo": lambda _: {"make_queue": FifoQueue},
    "random": lambda seed: {"policy": RandomPolicy(seed=seed)},
    "least outst.": lambda _: {"policy": LeastOutstandingPolicy()},
    "first fit": lambda _: {"policy": FirstFitPolicy()},
    "chosen": lambda _: {
        "policy": MeasuredDelayPolicy(),
        "assignment": BalancedAssignment(),
        "make_queue": FairQueue,
    },
}


@attrs.define
class Tally:
    """What the callers saw after the warm-up, by request kind."""

    offered: Counter = attrs.field(factory=Counter)
    done: Counter = attrs.field(factory=Counter)
    refused: Counter = attrs.field(factory=Counter)
    latencies_ms: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    # Requests done by time since the warm-up, in steps of `STEP_MS`.
    steps: Counter = attrs.field(factory=Counter)
    borrows: int = 0
    retries: int = 0


@attrs.define(eq=False)
class _Backend:
    runner: Runner
    busy: int = 0
    failing: bool = False
    lost: bool = False
    noisy: bool = False


@attrs.define(eq=False)
class _Request:
    id: str
    kind: RequestKind
    arrived_ms: float
    work_ms: float
    excluded: set[str] = attrs.field(factory=set)
    offers: int = 0
    may_have_run: bool = False


@attrs.define(eq=False)
class _Daemon:
    id: str
    zone: str
    router: Router
    waiting: dict[Ticket, Callable[[Grant | Rejected], None]] = attrs.field(factory=dict)
    lost: bool = False


class Simulation:
    """One run of one variant, scenario and seed."""

    def __init__(
        self, deployment: Deployment, scenario: Scenario, variant: _Variant, seed: int
    ) -> None:
        self._deployment = deployment
        self._scenario = scenario
        self._random = random.Random(f"{seed}")
        self._clock = VirtualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.tally = Tally()
        text = (_EXAMPLES / deployment.text).read_text()
        self._kinds = {
            kind: request
            for (service, kind), request in parse(text).unwrap().requests.items()
            if service == deployment.service
        }
        shares = {
            (deployment.service, name): Share(
                weight=kind.weight,
                guaranteed=kind.guaranteed_share,
                priority=PRIORITIES[kind.priority],
            )
            for name, kind in self._kinds.items()
        }
        self._backends = {}
        for index in range(_RUNNERS):
            runner = Runner(
                id=f"service/{deployment.service}/{index}#1",
                service=deployment.service,
                address="",
                availability_zone=_ZONES[index % len(_ZONES)],
                worker=f"w{index}",
                slots=_SLOTS,
                connections=64,
            )
            self._backends[runner.id] = _Backend(runner)
        self._daemons = [
            _Daemon(
                id=f"m{index}-{seed}",
                zone=zone,
                router=Router(
                    clock=self._clock, availability_zone=zone, queue_length=256, **variant(seed)
                ),
            )
            for index, zone in enumerate(_DAEMON_ZONES)
        ]
        for daemon in self._daemons:
            daemon.router.observe_shares(shares)
            daemon.router.observe_members(daemon.id, self._members())
            daemon.router.observe_runners(
                "r1", 1, [backend.runner for backend in self._backends.values()]
            )
        self._by_id = {daemon.id: daemon for daemon in self._daemons}

    def run(self, duration_ms: float) -> Tally:
        """Run the warm-up and then `duration_ms` of the scenario."""
        end_ms = _WARM_MS + duration_ms
        for kind in self._kinds:
            if self._deployment.mix.get(kind):
                self._arrive(kind, end_ms)
        for index, daemon in enumerate(self._daemons):
            self._at(_HEARTBEAT_MS * (index + 1) / 7, lambda daemon=daemon: self._beat(daemon))
        self._change_noise()
        self._at(_WARM_MS, self._disturb)
        while self._events and self._events[0][0] <= end_ms + self._deployment.deadline_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self._clock.advance(at_ms - self._clock.now_ms())
            action()
        return self.tally

    # Events

    def _at(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._clock.now_ms() + delay_ms, next(self._order), action))

    def _arrive(self, kind: str, end_ms: float) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= end_ms:
            return
        deployment, scenario = self._deployment, self._scenario
        rate = scenario.load * deployment.capacity_per_ms * deployment.mix[kind]
        in_flood = _WARM_MS <= now_ms < _WARM_MS + scenario.flood_ms
        if scenario.flood and kind == getattr(deployment, scenario.flood) and in_flood:
            rate *= 10
        self._at(self._random.expovariate(rate), lambda: self._arrive(kind, end_ms))
        if now_ms == 0.0:
            return
        request = _Request(
            id=str(next(self._order)),
            kind=self._kinds[kind],
            arrived_ms=now_ms,
            work_ms=deployment.service_ms * self._random.lognormvariate(-0.125, 0.5),
        )
        if now_ms >= _WARM_MS:
            self.tally.offered[kind] += 1
        daemon = self._random.choice([one for one in self._daemons if not one.lost])
        daemon.router.retries.record_request(deployment.service)
        self._offer(daemon, request)

    def _change_noise(self) -> None:
        for backend in self._backends.values():
            backend.noisy = self._random.random() < _NOISY_PART
        self._at(_NOISY_MS, self._change_noise)

    def _disturb(self) -> None:
        scenario = self._scenario
        for backend in self._random.sample(list(self._backends.values()), scenario.failing):
            backend.failing = True
        for backend in self._backends.values():
            backend.lost = backend.runner.availability_zone == scenario.lost_zone
        for daemon in self._daemons:
            daemon.lost = daemon.zone == scenario.lost_zone
        if scenario.lost_entry:
            self._daemons[0].lost = True
        self._at(_SUSPECT_MS, self._observe_members)

    def _members(self) -> dict[str, str]:
        return {daemon.id: daemon.zone for daemon in self._daemons if not daemon.lost}

    def _observe_members(self) -> None:
        for daemon in self._daemons:
            daemon.router.observe_members(daemon.id, self._members())

    def _beat(self, daemon: _Daemon) -> None:
        if daemon.lost:
            return
        self._at(_HEARTBEAT_MS, lambda: self._beat(daemon))
        free, ejected = daemon.router.free_slots(), daemon.router.health.ejected()
        for peer in self._daemons:
            if peer is not daemon and not peer.lost:
                self._at(
                    self._delay(daemon.zone, peer.zone) + _CALL_MS,
                    lambda peer=peer: peer.router.observe_peer(daemon.id, free, ejected),
                )
        self._settle(daemon, daemon.router.expire())
        self._borrow(daemon)

    def _delay(self, one: str, other: str) -> float:
        return _NEAR_MS if one == other else self._deployment.zone_ms

    # A daemon's side of a request

    def _offer(self, daemon: _Daemon, request: _Request) -> None:
        request.offers += 1
        ticket = Ticket(
            service=self._deployment.service,
            kind=request.kind.name,
            deadline_ms=request.arrived_ms + self._deployment.deadline_ms,
            arrived_ms=request.arrived_ms,
            excluded=request.excluded,
        )
        self._acquire(daemon, ticket, lambda got: self._proceed(daemon, request, got))
        self._borrow(daemon)

    def _acquire(
        self,
        daemon: _Daemon,
        ticket: Ticket,
        then: Callable[[Grant | Rejected], None],
        wait_ms: float = float("inf"),
    ) -> None:
        decision = daemon.router.acquire(ticket)
        if not isinstance(decision, Queued):
            then(decision)
            return
        daemon.waiting[ticket] = then
        wait_ms = min(wait_ms, ticket.deadline_ms - self._clock.now_ms())
        self._at(wait_ms, lambda: self._time_out(daemon, ticket))

    def _time_out(self, daemon: _Daemon, ticket: Ticket) -> None:
        if ticket.state is TicketState.WAITING:
            daemon.router.withdraw(ticket)
            daemon.waiting.pop(ticket)(Rejected(reason="deadline"))

    def _settle(self, daemon: _Daemon, settled: list[Settlement]) -> None:
        for one in settled:
            daemon.waiting.pop(one.ticket)(one.decision)

    def _proceed(self, daemon: _Daemon, request: _Request, got: Grant | Rejected) -> None:
        if isinstance(got, Rejected):
            self._end(request, "unknown" if request.may_have_run else "refused")
            return
        self._send(daemon, request, got)

    def _send(self, daemon: _Daemon, request: _Request, grant: Grant) -> None:
        backend = self._backends[grant.runner.id]
        delay_ms = self._delay(daemon.zone, grant.runner.availability_zone)
        sent_ms = self._clock.now_ms()
        open_ = [True]

        def finish(result: AttemptResult) -> None:
            if not open_[0] or daemon.lost:
                return
            open_[0] = False
            elapsed_ms = self._clock.now_ms() - sent_ms
            feedback = Feedback(result=result, elapsed_ms=elapsed_ms, request_id=request.id)
            self._release(daemon, grant, feedback)
            self._conclude(daemon, request, grant, result)

        left_ms = request.arrived_ms + self._deployment.deadline_ms - sent_ms
        timeout_ms = left_ms
        if request.kind.idempotent:
            health = daemon.router.health
            response_ms = health.response_ms(self._deployment.service, request.kind.name)
            timeout_ms = compute_attempt_timeout(left_ms, response_ms)
        self._at(timeout_ms, lambda: finish(AttemptResult.OVERDUE))

        def answer(result: AttemptResult) -> None:
            self._at(delay_ms, lambda: finish(result))

        def arrive() -> None:
            if backend.lost:
                return
            if backend.busy >= _SLOTS:
                answer(AttemptResult.REFUSED)
                return
            backend.busy += 1
            slowdown = 1 + _LOAD_SLOWDOWN * backend.busy / _SLOTS
            slowdown *= _NOISY_SLOWDOWN if backend.noisy else 1.0
            work_ms = 2.0 if backend.failing else request.work_ms * slowdown

            def work_done() -> None:
                backend.busy -= 1
                failed = backend.failing
                answer(AttemptResult.FAILED if failed else AttemptResult.ANSWERED)

            self._at(work_ms, work_done)

        self._at(delay_ms, arrive)

    def _conclude(
        self,
        daemon: _Daemon,
        request: _Request,
        grant: Grant,
        result: AttemptResult,
    ) -> None:
        if result is AttemptResult.ANSWERED:
            self._end(request, "done")
            return
        request.excluded = {*request.excluded, grant.runner.id}
        if result is not AttemptResult.REFUSED:
            request.may_have_run = True
            if not request.kind.idempotent:
                self._end(request, "unknown")
                return
        if request.offers < 3 and daemon.router.retries.spend(self._deployment.service):
            self.tally.retries += 1
            self._offer(daemon, request)
        else:
            self._end(request, "unknown" if request.may_have_run else "refused")

    def _end(self, request: _Request, outcome: str) -> None:
        if request.arrived_ms < _WARM_MS:
            return
        kind = request.kind.name
        latency_ms = self._clock.now_ms() - request.arrived_ms + 2 * self._deployment.client_ms
        if outcome == "refused":
            self.tally.refused[kind] += 1
        elif outcome == "done" and latency_ms <= self._deployment.deadline_ms:
            self.tally.done[kind] += 1
            self.tally.steps[kind, int((self._clock.now_ms() - _WARM_MS) // STEP_MS)] += 1
            self.tally.latencies_ms[kind].append(latency_ms)

    # Slots between daemons

    def _release(self, daemon: _Daemon, grant: Grant, feedback: Feedback) -> None:
        owner = self._by_id[grant.owner]

        def release() -> None:
            if not owner.lost:
                self._settle(owner, owner.router.release(grant.runner.id, grant.token, feedback))
                self._borrow(owner)

        if owner is daemon:
            release()
        else:
            self._at(self._delay(daemon.zone, owner.zone) + _CALL_MS, release)

    def _borrow(self, daemon: _Daemon) -> None:
        for borrow in daemon.router.plan_borrows(self._deployment.service):
            self.tally.borrows += 1
            self._ask(daemon, self._by_id[borrow.peer], borrow.ticket)

    def _ask(self, daemon: _Daemon, peer: _Daemon, waiting: Ticket) -> None:
        service = self._deployment.service
        delay_ms = self._delay(daemon.zone, peer.zone) + _CALL_MS

        def reply(got: Grant | Rejected) -> None:
            free = peer.router.free_slots()[service]
            grant = got if isinstance(got, Grant) else None
            self._at(delay_ms, lambda: take(grant, free))

        def take(grant: Grant | None, free: int) -> None:
            settlement = daemon.router.settle_borrow(peer.id, service, grant, free)
            if settlement is not None:
                self._settle(daemon, [settlement])
            elif grant is not None:
                self._release(daemon, grant, Feedback())
            self._borrow(daemon)

        def ask() -> None:
            if peer.lost:
                return
            now_ms = self._clock.now_ms()
            ticket = Ticket(
                service=service,
                kind=waiting.kind,
                deadline_ms=waiting.deadline_ms,
                arrived_ms=now_ms,
                excluded=waiting.excluded,
                borrower=daemon.id,
            )
            self._acquire(peer, ticket, reply, wait_ms=_BORROW_MS)

        # A peer that is gone doesn't answer within the time-out of a call between daemons.
        if peer.lost:
            self._at(1_000.0, lambda: take(None, 0))
        else:
            self._at(delay_ms, ask)


def run_one(deployment: str, scenario: str, variant: str, seed: int, duration_ms: float) -> Tally:
    """Run one combination."""
    simulation = Simulation(DEPLOYMENTS[deployment], SCENARIOS[scenario], VARIANTS[variant], seed)
    tally = simulation.run(duration_ms)
    tally.latencies_ms = dict(tally.latencies_ms)
    return tally
