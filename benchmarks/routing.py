"""Simulation of routing on a virtual clock: seven real `Router` objects and fake runners."""

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
_AVAILABILITY_ZONES = ("a", "b", "c")
_DAEMON_AVAILABILITY_ZONES = "aaabbcc"
_RUNNERS = 24
_SLOTS = 8
_SAME_ZONE_DELAY_MS = 0.25
# Processing time of one message between daemons.
_PEER_CALL_MS = 0.5
_HEARTBEAT_PERIOD_MS = 1_000.0
_FAILURE_DETECTION_MS = 3_000.0
# Timeout of a borrow request in the queue of a peer.
_BORROW_TIMEOUT_MS = 500.0
_WARM_UP_MS = 2_000.0
STEP_MS = 500.0
# Slowdown of a runner by its own load and by noisy neighbours.
_LOAD_SLOWDOWN = 0.3
_NOISY_SLOWDOWN = 1.8
_NOISY_SHARE = 0.2
_NOISE_PERIOD_MS = 2_000.0


@attrs.frozen(kw_only=True)
class Deployment:
    """Deployment of section 1 of the design page; times are in milliseconds."""

    declaration_file: str
    service: str
    cross_zone_delay_ms: float
    client_delay_ms: float
    service_ms: float
    deadline_ms: float
    mix: dict[str, float]
    least_urgent: str
    most_urgent: str

    @property
    def capacity_per_ms(self) -> float:
        """Requests per ms that all runners complete at full load, including the slowdowns."""
        slowdown = (1 + _LOAD_SLOWDOWN) * (1 + _NOISY_SHARE * (_NOISY_SLOWDOWN - 1))
        return _RUNNERS * _SLOTS / (self.service_ms * slowdown)


DEPLOYMENTS = {
    "riga": Deployment(
        declaration_file="riga.ini",
        service="sign",
        cross_zone_delay_ms=4.0,
        client_delay_ms=3.0,
        service_ms=60.0,
        deadline_ms=500.0,
        mix={"count": 0.6, "guidance": 0.3, "report": 0.1},
        least_urgent="report",
        most_urgent="count",
    ),
    "waitaha": Deployment(
        declaration_file="waitaha.ini",
        service="smoke-map",
        cross_zone_delay_ms=3.0,
        client_delay_ms=3.0,
        service_ms=150.0,
        deadline_ms=1_000.0,
        mix={"plume": 0.3, "tile": 0.7},
        least_urgent="tile",
        most_urgent="plume",
    ),
}


@attrs.frozen(kw_only=True)
class Scenario:
    """Load as a share of the capacity, and faults and floods that start after the warm-up."""

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
# The last scenario is only used by the lending section.
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
    """Outcomes of the requests after the warm-up, by request kind."""

    offered: Counter = attrs.field(factory=Counter)
    done: Counter = attrs.field(factory=Counter)
    refused: Counter = attrs.field(factory=Counter)
    latencies_ms: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    # Completed requests by time since the warm-up, in steps of `STEP_MS`.
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
    attempts: int = 0
    may_have_run: bool = False


@attrs.define(eq=False)
class _Daemon:
    id: str
    availability_zone: str
    router: Router
    waiting: dict[Ticket, Callable[[Grant | Rejected], None]] = attrs.field(factory=dict)
    lost: bool = False


class Simulation:
    """Simulation of one deployment, scenario, variant and seed."""

    def __init__(
        self, deployment: Deployment, scenario: Scenario, variant: _Variant, seed: int
    ) -> None:
        self._deployment = deployment
        self._scenario = scenario
        self._rng = random.Random(f"{seed}")
        self._clock = VirtualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.tally = Tally()
        text = (_EXAMPLES / deployment.declaration_file).read_text()
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
                availability_zone=_AVAILABILITY_ZONES[index % len(_AVAILABILITY_ZONES)],
                worker=f"w{index}",
                slots=_SLOTS,
                connections=64,
            )
            self._backends[runner.id] = _Backend(runner)
        self._daemons = [
            _Daemon(
                id=f"m{index}-{seed}",
                availability_zone=availability_zone,
                router=Router(
                    clock=self._clock,
                    availability_zone=availability_zone,
                    queue_length=256,
                    **variant(seed),
                ),
            )
            for index, availability_zone in enumerate(_DAEMON_AVAILABILITY_ZONES)
        ]
        for daemon in self._daemons:
            daemon.router.observe_shares(shares)
            daemon.router.observe_members(daemon.id, self._list_members())
            daemon.router.observe_runners(
                "r1", 1, [backend.runner for backend in self._backends.values()]
            )
        self._daemons_by_id = {daemon.id: daemon for daemon in self._daemons}

    def run(self, duration_ms: float) -> Tally:
        """Run the warm-up and then `duration_ms` of the scenario."""
        end_ms = _WARM_UP_MS + duration_ms
        for kind in self._kinds:
            if self._deployment.mix.get(kind):
                self._handle_arrival(kind, end_ms)
        for index, daemon in enumerate(self._daemons):
            self._schedule(
                _HEARTBEAT_PERIOD_MS * (index + 1) / 7,
                lambda daemon=daemon: self._send_heartbeats(daemon),
            )
        self._change_noise()
        self._schedule(_WARM_UP_MS, self._inject_faults)
        while self._events and self._events[0][0] <= end_ms + self._deployment.deadline_ms:
            event_ms, _, action = heapq.heappop(self._events)
            self._clock.advance(event_ms - self._clock.now_ms())
            action()
        return self.tally

    # Events

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self._clock.now_ms() + delay_ms, next(self._sequence), action)
        )

    def _handle_arrival(self, kind: str, end_ms: float) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= end_ms:
            return
        deployment, scenario = self._deployment, self._scenario
        rate = scenario.load * deployment.capacity_per_ms * deployment.mix[kind]
        in_flood = _WARM_UP_MS <= now_ms < _WARM_UP_MS + scenario.flood_ms
        if scenario.flood and kind == getattr(deployment, scenario.flood) and in_flood:
            rate *= 10
        self._schedule(self._rng.expovariate(rate), lambda: self._handle_arrival(kind, end_ms))
        if now_ms == 0.0:
            return
        request = _Request(
            id=str(next(self._sequence)),
            kind=self._kinds[kind],
            arrived_ms=now_ms,
            work_ms=deployment.service_ms * self._rng.lognormvariate(-0.125, 0.5),
        )
        if now_ms >= _WARM_UP_MS:
            self.tally.offered[kind] += 1
        daemon = self._rng.choice([item for item in self._daemons if not item.lost])
        daemon.router.retries.record_request(deployment.service)
        self._route(daemon, request)

    def _change_noise(self) -> None:
        for backend in self._backends.values():
            backend.noisy = self._rng.random() < _NOISY_SHARE
        self._schedule(_NOISE_PERIOD_MS, self._change_noise)

    def _inject_faults(self) -> None:
        scenario = self._scenario
        for backend in self._rng.sample(list(self._backends.values()), scenario.failing):
            backend.failing = True
        for backend in self._backends.values():
            backend.lost = backend.runner.availability_zone == scenario.lost_zone
        for daemon in self._daemons:
            daemon.lost = daemon.availability_zone == scenario.lost_zone
        if scenario.lost_entry:
            self._daemons[0].lost = True
        self._schedule(_FAILURE_DETECTION_MS, self._observe_members)

    def _list_members(self) -> dict[str, str]:
        return {daemon.id: daemon.availability_zone for daemon in self._daemons if not daemon.lost}

    def _observe_members(self) -> None:
        for daemon in self._daemons:
            daemon.router.observe_members(daemon.id, self._list_members())

    def _send_heartbeats(self, daemon: _Daemon) -> None:
        if daemon.lost:
            return
        self._schedule(_HEARTBEAT_PERIOD_MS, lambda: self._send_heartbeats(daemon))
        free, ejected = daemon.router.free_slots(), daemon.router.health.ejected()
        for peer in self._daemons:
            if peer is not daemon and not peer.lost:
                self._schedule(
                    self._get_delay_ms(daemon.availability_zone, peer.availability_zone)
                    + _PEER_CALL_MS,
                    lambda peer=peer: peer.router.observe_peer(daemon.id, free, ejected),
                )
        self._resume_settled(daemon, daemon.router.expire())
        self._start_borrows(daemon)

    def _get_delay_ms(self, source_zone: str, target_zone: str) -> float:
        return (
            _SAME_ZONE_DELAY_MS
            if source_zone == target_zone
            else self._deployment.cross_zone_delay_ms
        )

    # Request handling by a daemon

    def _route(self, daemon: _Daemon, request: _Request) -> None:
        request.attempts += 1
        ticket = Ticket(
            service=self._deployment.service,
            kind=request.kind.name,
            deadline_ms=request.arrived_ms + self._deployment.deadline_ms,
            arrived_ms=request.arrived_ms,
            excluded=request.excluded,
        )
        self._acquire(
            daemon, ticket, lambda decision: self._handle_decision(daemon, request, decision)
        )
        self._start_borrows(daemon)

    def _acquire(
        self,
        daemon: _Daemon,
        ticket: Ticket,
        callback: Callable[[Grant | Rejected], None],
        wait_ms: float = float("inf"),
    ) -> None:
        decision = daemon.router.acquire(ticket)
        if not isinstance(decision, Queued):
            callback(decision)
            return
        daemon.waiting[ticket] = callback
        wait_ms = min(wait_ms, ticket.deadline_ms - self._clock.now_ms())
        self._schedule(wait_ms, lambda: self._expire_ticket(daemon, ticket))

    def _expire_ticket(self, daemon: _Daemon, ticket: Ticket) -> None:
        if ticket.state is TicketState.WAITING:
            daemon.router.withdraw(ticket)
            daemon.waiting.pop(ticket)(Rejected(reason="deadline"))

    def _resume_settled(self, daemon: _Daemon, settled: list[Settlement]) -> None:
        for settlement in settled:
            daemon.waiting.pop(settlement.ticket)(settlement.decision)

    def _handle_decision(
        self, daemon: _Daemon, request: _Request, decision: Grant | Rejected
    ) -> None:
        if isinstance(decision, Rejected):
            self._record_outcome(request, "unknown" if request.may_have_run else "refused")
            return
        self._send(daemon, request, decision)

    def _send(self, daemon: _Daemon, request: _Request, grant: Grant) -> None:
        backend = self._backends[grant.runner.id]
        delay_ms = self._get_delay_ms(daemon.availability_zone, grant.runner.availability_zone)
        sent_ms = self._clock.now_ms()
        is_pending = [True]

        def finish(result: AttemptResult) -> None:
            if not is_pending[0] or daemon.lost:
                return
            is_pending[0] = False
            elapsed_ms = self._clock.now_ms() - sent_ms
            feedback = Feedback(result=result, elapsed_ms=elapsed_ms, request_id=request.id)
            self._release(daemon, grant, feedback)
            self._handle_result(daemon, request, grant, result)

        remaining_ms = request.arrived_ms + self._deployment.deadline_ms - sent_ms
        timeout_ms = remaining_ms
        if request.kind.idempotent:
            health = daemon.router.health
            response_ms = health.response_ms(self._deployment.service, request.kind.name)
            timeout_ms = compute_attempt_timeout(remaining_ms, response_ms)
        self._schedule(timeout_ms, lambda: finish(AttemptResult.OVERDUE))

        def respond(result: AttemptResult) -> None:
            self._schedule(delay_ms, lambda: finish(result))

        def start_work() -> None:
            if backend.lost:
                return
            if backend.busy >= _SLOTS:
                respond(AttemptResult.REFUSED)
                return
            backend.busy += 1
            slowdown = 1 + _LOAD_SLOWDOWN * backend.busy / _SLOTS
            slowdown *= _NOISY_SLOWDOWN if backend.noisy else 1.0
            work_ms = 2.0 if backend.failing else request.work_ms * slowdown

            def complete() -> None:
                backend.busy -= 1
                failed = backend.failing
                respond(AttemptResult.FAILED if failed else AttemptResult.ANSWERED)

            self._schedule(work_ms, complete)

        self._schedule(delay_ms, start_work)

    def _handle_result(
        self,
        daemon: _Daemon,
        request: _Request,
        grant: Grant,
        result: AttemptResult,
    ) -> None:
        if result is AttemptResult.ANSWERED:
            self._record_outcome(request, "done")
            return
        request.excluded = {*request.excluded, grant.runner.id}
        if result is not AttemptResult.REFUSED:
            request.may_have_run = True
            if not request.kind.idempotent:
                self._record_outcome(request, "unknown")
                return
        if request.attempts < 3 and daemon.router.retries.spend(self._deployment.service):
            self.tally.retries += 1
            self._route(daemon, request)
        else:
            self._record_outcome(request, "unknown" if request.may_have_run else "refused")

    def _record_outcome(self, request: _Request, outcome: str) -> None:
        if request.arrived_ms < _WARM_UP_MS:
            return
        kind = request.kind.name
        latency_ms = (
            self._clock.now_ms() - request.arrived_ms + 2 * self._deployment.client_delay_ms
        )
        if outcome == "refused":
            self.tally.refused[kind] += 1
        elif outcome == "done" and latency_ms <= self._deployment.deadline_ms:
            self.tally.done[kind] += 1
            self.tally.steps[kind, int((self._clock.now_ms() - _WARM_UP_MS) // STEP_MS)] += 1
            self.tally.latencies_ms[kind].append(latency_ms)

    # Slots between daemons

    def _release(self, daemon: _Daemon, grant: Grant, feedback: Feedback) -> None:
        owner = self._daemons_by_id[grant.owner]

        def release() -> None:
            if not owner.lost:
                self._resume_settled(
                    owner, owner.router.release(grant.runner.id, grant.token, feedback)
                )
                self._start_borrows(owner)

        if owner is daemon:
            release()
        else:
            self._schedule(
                self._get_delay_ms(daemon.availability_zone, owner.availability_zone)
                + _PEER_CALL_MS,
                release,
            )

    def _start_borrows(self, daemon: _Daemon) -> None:
        for borrow in daemon.router.plan_borrows(self._deployment.service):
            self.tally.borrows += 1
            self._request_slot(daemon, self._daemons_by_id[borrow.peer], borrow.ticket)

    def _request_slot(self, daemon: _Daemon, peer: _Daemon, waiting_ticket: Ticket) -> None:
        service = self._deployment.service
        delay_ms = (
            self._get_delay_ms(daemon.availability_zone, peer.availability_zone) + _PEER_CALL_MS
        )

        def respond(decision: Grant | Rejected) -> None:
            free = peer.router.free_slots()[service]
            grant = decision if isinstance(decision, Grant) else None
            self._schedule(delay_ms, lambda: apply_response(grant, free))

        def apply_response(grant: Grant | None, free: int) -> None:
            settlement = daemon.router.settle_borrow(peer.id, service, grant, free)
            if settlement is not None:
                self._resume_settled(daemon, [settlement])
            elif grant is not None:
                self._release(daemon, grant, Feedback())
            self._start_borrows(daemon)

        def handle_request() -> None:
            if peer.lost:
                return
            now_ms = self._clock.now_ms()
            ticket = Ticket(
                service=service,
                kind=waiting_ticket.kind,
                deadline_ms=waiting_ticket.deadline_ms,
                arrived_ms=now_ms,
                excluded=waiting_ticket.excluded,
                borrower=daemon.id,
            )
            self._acquire(peer, ticket, respond, wait_ms=_BORROW_TIMEOUT_MS)

        # A call to a lost peer fails after the timeout of calls between daemons.
        if peer.lost:
            self._schedule(1_000.0, lambda: apply_response(None, 0))
        else:
            self._schedule(delay_ms, handle_request)


def run_case(deployment: str, scenario: str, variant: str, seed: int, duration_ms: float) -> Tally:
    """Simulate one combination and return its tally."""
    simulation = Simulation(DEPLOYMENTS[deployment], SCENARIOS[scenario], VARIANTS[variant], seed)
    tally = simulation.run(duration_ms)
    tally.latencies_ms = dict(tally.latencies_ms)
    return tally
