"""Simulation of request routing on a virtual clock.

Seven daemons, each with a real `Router`, send requests to simulated runners and borrow slots from
each other. A variant replaces the policy, the assignment of runners to daemons, or the queue.
"""

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
_RUNNER_AVAILABILITY_ZONES = ("a", "b", "c")
# Availability zone of each of the seven daemons.
_DAEMON_AVAILABILITY_ZONES = "aaabbcc"
_RUNNER_COUNT = 24
_SLOTS_PER_RUNNER = 8
_SAME_ZONE_DELAY_MS = 0.25
# Time that a daemon takes to process a message from another daemon.
_PEER_CALL_PROCESSING_MS = 0.5
_HEARTBEAT_PERIOD_MS = 1_000.0
# Time after which the daemons learn that other daemons are lost.
_FAILURE_DETECTION_MS = 3_000.0
# Longest time that a request for a slot waits in the queue of a peer.
_BORROW_TIMEOUT_MS = 500.0
_WARM_UP_MS = 2_000.0
# Length of the intervals by which completed requests are counted.
INTERVAL_MS = 500.0
# Extra service time, as a share, of a request that occupies the last free slot of its runner; with
# fewer slots in use it is proportionally smaller.
_FULL_LOAD_DELAY_SHARE = 0.3
# Factor on the service time of runners with noisy neighbours, the share of runners that have them,
# and the period after which these are drawn anew.
_NOISY_SLOWDOWN_FACTOR = 1.8
_NOISY_RUNNER_SHARE = 0.2
_NOISE_REDRAW_PERIOD_MS = 2_000.0


@attrs.frozen(kw_only=True)
class Deployment:
    """One service of a deployment that section 1 of the design page describes.

    Parameters
    ----------
    declaration_file : str
        Name of the declaration in the examples folder.
    service : str
        Service in that declaration.
    cross_zone_delay_ms : float
        One-way network delay between availability zones.
    client_delay_ms : float
        One-way network delay between a caller and a daemon.
    service_ms : float
        Mean service time without slowdown.
    deadline_ms : float
        Time from the arrival of a request to its deadline.
    request_mix : dict of str to float
        Share of each request kind in the load.
    least_urgent, most_urgent : str
        Request kinds that a flood can consist of.
    """

    declaration_file: str
    service: str
    cross_zone_delay_ms: float
    client_delay_ms: float
    service_ms: float
    deadline_ms: float
    request_mix: dict[str, float]
    least_urgent: str
    most_urgent: str

    @property
    def capacity_per_ms(self) -> float:
        """Requests per ms that all runners complete at full load, with both kinds of slowdown."""
        slowdown = (1 + _FULL_LOAD_DELAY_SHARE) * (
            1 + _NOISY_RUNNER_SHARE * (_NOISY_SLOWDOWN_FACTOR - 1)
        )
        return _RUNNER_COUNT * _SLOTS_PER_RUNNER / (self.service_ms * slowdown)


DEPLOYMENTS = {
    "riga": Deployment(
        declaration_file="riga.ini",
        service="sign",
        cross_zone_delay_ms=4.0,
        client_delay_ms=3.0,
        service_ms=60.0,
        deadline_ms=500.0,
        request_mix={"count": 0.6, "guidance": 0.3, "report": 0.1},
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
        request_mix={"plume": 0.3, "tile": 0.7},
        least_urgent="tile",
        most_urgent="plume",
    ),
}


@attrs.frozen(kw_only=True)
class Scenario:
    """Load of a simulation, and the flood or faults that start after the warm-up.

    Parameters
    ----------
    load_share : float
        Load as a share of the capacity.
    flooded_kind : str
        Attribute of `Deployment` that names the request kind which arrives ten times as often;
        empty for none.
    flood_duration_ms : float
        Duration of the flood.
    lost_zone : str
        Availability zone whose daemons and runners stop responding; empty for none.
    loses_entry_vm : bool
        Whether the first daemon stops responding.
    failing_runner_count : int
        Number of runners that fail each request.
    """

    load_share: float = 0.5
    flooded_kind: str = ""
    flood_duration_ms: float = float("inf")
    lost_zone: str = ""
    loses_entry_vm: bool = False
    failing_runner_count: int = 0


SCENARIOS = {
    "normal": Scenario(),
    "load 90 %": Scenario(load_share=0.9),
    "flood least": Scenario(flooded_kind="least_urgent"),
    "flood most": Scenario(flooded_kind="most_urgent"),
    "zone lost": Scenario(lost_zone="c"),
    "2 failing": Scenario(failing_runner_count=2),
    "entry lost": Scenario(load_share=0.8, loses_entry_vm=True),
    "short flood": Scenario(flooded_kind="most_urgent", flood_duration_ms=2_000.0),
}
# The last scenario is only used by the lending section.
TABLE_SCENARIOS = tuple(SCENARIOS)[:-1]

# Returns the keyword arguments of `Router` for a seed.
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
    """Outcomes of the requests that arrive after the warm-up; counters are by request kind.

    Parameters
    ----------
    offered, completed, rejected : Counter
        Requests that arrived, that were completed before their deadline, and that were rejected
        before a runner may have processed them.
    latencies_ms : dict of str to list of float
        Latencies of the completed requests, as callers see them.
    completed_by_interval : Counter
        Completed requests by kind and by number of the interval of `INTERVAL_MS` in which they
        ended.
    borrow_count : int
        Number of requests for a slot that daemons sent to peers.
    retry_count : int
        Number of retries.
    """

    offered: Counter = attrs.field(factory=Counter)
    completed: Counter = attrs.field(factory=Counter)
    rejected: Counter = attrs.field(factory=Counter)
    latencies_ms: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    completed_by_interval: Counter = attrs.field(factory=Counter)
    borrow_count: int = 0
    retry_count: int = 0


@attrs.define(eq=False)
class _Backend:
    runner: Runner
    busy_slots: int = 0
    is_failing: bool = False
    is_lost: bool = False
    is_noisy: bool = False


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
    callbacks: dict[Ticket, Callable[[Grant | Rejected], None]] = attrs.field(factory=dict)
    is_lost: bool = False


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
        for index in range(_RUNNER_COUNT):
            runner = Runner(
                id=f"service/{deployment.service}/{index}#1",
                service=deployment.service,
                address="",
                availability_zone=_RUNNER_AVAILABILITY_ZONES[
                    index % len(_RUNNER_AVAILABILITY_ZONES)
                ],
                worker=f"w{index}",
                slots=_SLOTS_PER_RUNNER,
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
            if self._deployment.request_mix.get(kind):
                self._generate_request(kind, end_ms)
        for index, daemon in enumerate(self._daemons):
            self._schedule(
                _HEARTBEAT_PERIOD_MS * (index + 1) / 7,
                lambda daemon=daemon: self._send_heartbeats(daemon),
            )
        self._redraw_noisy_runners()
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

    def _generate_request(self, kind: str, end_ms: float) -> None:
        """Start a request of a kind at a random daemon, and schedule the next one."""
        now_ms = self._clock.now_ms()
        if now_ms >= end_ms:
            return
        deployment, scenario = self._deployment, self._scenario
        rate_per_ms = (
            scenario.load_share * deployment.capacity_per_ms * deployment.request_mix[kind]
        )
        in_flood = _WARM_UP_MS <= now_ms < _WARM_UP_MS + scenario.flood_duration_ms
        if (
            scenario.flooded_kind
            and kind == getattr(deployment, scenario.flooded_kind)
            and in_flood
        ):
            rate_per_ms *= 10
        self._schedule(
            self._rng.expovariate(rate_per_ms), lambda: self._generate_request(kind, end_ms)
        )
        # The call at time 0 only draws the time of the first request.
        if now_ms == 0.0:
            return
        # The factor on the service time is log-normal with a mean of 1.
        request = _Request(
            id=str(next(self._sequence)),
            kind=self._kinds[kind],
            arrived_ms=now_ms,
            work_ms=deployment.service_ms * self._rng.lognormvariate(-0.125, 0.5),
        )
        if now_ms >= _WARM_UP_MS:
            self.tally.offered[kind] += 1
        daemon = self._rng.choice(
            [candidate for candidate in self._daemons if not candidate.is_lost]
        )
        daemon.router.retries.record_request(deployment.service)
        self._start_attempt(daemon, request)

    def _redraw_noisy_runners(self) -> None:
        """Draw the runners that have noisy neighbours during the next period."""
        for backend in self._backends.values():
            backend.is_noisy = self._rng.random() < _NOISY_RUNNER_SHARE
        self._schedule(_NOISE_REDRAW_PERIOD_MS, self._redraw_noisy_runners)

    def _inject_faults(self) -> None:
        """Apply the faults of the scenario; daemons learn of lost daemons later."""
        scenario = self._scenario
        for backend in self._rng.sample(
            list(self._backends.values()), scenario.failing_runner_count
        ):
            backend.is_failing = True
        for backend in self._backends.values():
            backend.is_lost = backend.runner.availability_zone == scenario.lost_zone
        for daemon in self._daemons:
            daemon.is_lost = daemon.availability_zone == scenario.lost_zone
        if scenario.loses_entry_vm:
            self._daemons[0].is_lost = True
        self._schedule(_FAILURE_DETECTION_MS, self._observe_members)

    def _list_members(self) -> dict[str, str]:
        return {
            daemon.id: daemon.availability_zone for daemon in self._daemons if not daemon.is_lost
        }

    def _observe_members(self) -> None:
        """Report the daemons that are not lost to all routers."""
        for daemon in self._daemons:
            daemon.router.observe_members(daemon.id, self._list_members())

    def _send_heartbeats(self, daemon: _Daemon) -> None:
        """Send free slots and ejected runners to the peers, and settle expired requests."""
        if daemon.is_lost:
            return
        self._schedule(_HEARTBEAT_PERIOD_MS, lambda: self._send_heartbeats(daemon))
        free_slots, ejected = daemon.router.count_free_slots(), daemon.router.health.list_ejected()
        for peer in self._daemons:
            if peer is not daemon and not peer.is_lost:
                self._schedule(
                    self._get_delay_ms(daemon.availability_zone, peer.availability_zone)
                    + _PEER_CALL_PROCESSING_MS,
                    lambda peer=peer: peer.router.observe_peer(daemon.id, free_slots, ejected),
                )
        self._resume_settled(daemon, daemon.router.expire())
        self._start_borrows(daemon)

    def _get_delay_ms(self, source_zone: str, target_zone: str) -> float:
        return (
            _SAME_ZONE_DELAY_MS
            if source_zone == target_zone
            else self._deployment.cross_zone_delay_ms
        )

    # Requests of callers

    def _start_attempt(self, daemon: _Daemon, request: _Request) -> None:
        """Request a slot for the next attempt of a request."""
        request.attempts += 1
        ticket = Ticket(
            service=self._deployment.service,
            kind=request.kind.name,
            deadline_ms=request.arrived_ms + self._deployment.deadline_ms,
            arrived_ms=request.arrived_ms,
            excluded=request.excluded,
        )
        self._acquire_slot(
            daemon, ticket, lambda decision: self._apply_decision(daemon, request, decision)
        )
        self._start_borrows(daemon)

    def _acquire_slot(
        self,
        daemon: _Daemon,
        ticket: Ticket,
        callback: Callable[[Grant | Rejected], None],
        wait_ms: float = float("inf"),
    ) -> None:
        """Request a slot and call `callback` with the decision, at once or after a wait."""
        decision = daemon.router.acquire(ticket)
        if not isinstance(decision, Queued):
            callback(decision)
            return
        daemon.callbacks[ticket] = callback
        wait_ms = min(wait_ms, ticket.deadline_ms - self._clock.now_ms())
        self._schedule(wait_ms, lambda: self._expire_ticket(daemon, ticket))

    def _expire_ticket(self, daemon: _Daemon, ticket: Ticket) -> None:
        if ticket.state is TicketState.WAITING:
            daemon.router.withdraw(ticket)
            daemon.callbacks.pop(ticket)(Rejected(reason="deadline"))

    def _resume_settled(self, daemon: _Daemon, settled: list[Settlement]) -> None:
        """Call the callbacks of tickets that were waiting in the daemon's queue."""
        for settlement in settled:
            daemon.callbacks.pop(settlement.ticket)(settlement.decision)

    def _apply_decision(
        self, daemon: _Daemon, request: _Request, decision: Grant | Rejected
    ) -> None:
        """Send the request if a slot was granted; otherwise record how it ended."""
        if isinstance(decision, Rejected):
            self._record_outcome(request, "unknown" if request.may_have_run else "refused")
            return
        self._send_request(daemon, request, decision)

    def _send_request(self, daemon: _Daemon, request: _Request, grant: Grant) -> None:
        """Send a request to a runner; its response or a timeout ends the attempt."""
        backend = self._backends[grant.runner.id]
        delay_ms = self._get_delay_ms(daemon.availability_zone, grant.runner.availability_zone)
        sent_ms = self._clock.now_ms()
        is_pending = [True]

        def finish_attempt(result: AttemptResult) -> None:
            if not is_pending[0] or daemon.is_lost:
                return
            is_pending[0] = False
            elapsed_ms = self._clock.now_ms() - sent_ms
            feedback = Feedback(result=result, elapsed_ms=elapsed_ms, request_id=request.id)
            self._release_slot(daemon, grant, feedback)
            self._complete_or_retry(daemon, request, grant, result)

        remaining_ms = request.arrived_ms + self._deployment.deadline_ms - sent_ms
        timeout_ms = remaining_ms
        if request.kind.idempotent:
            health = daemon.router.health
            response_ms = health.response_ms(self._deployment.service, request.kind.name)
            timeout_ms = compute_attempt_timeout(remaining_ms, response_ms)
        self._schedule(timeout_ms, lambda: finish_attempt(AttemptResult.OVERDUE))

        def respond(result: AttemptResult) -> None:
            self._schedule(delay_ms, lambda: finish_attempt(result))

        def start_processing() -> None:
            if backend.is_lost:
                return
            if backend.busy_slots >= _SLOTS_PER_RUNNER:
                respond(AttemptResult.REFUSED)
                return
            backend.busy_slots += 1
            slowdown = 1 + _FULL_LOAD_DELAY_SHARE * backend.busy_slots / _SLOTS_PER_RUNNER
            slowdown *= _NOISY_SLOWDOWN_FACTOR if backend.is_noisy else 1.0
            work_ms = 2.0 if backend.is_failing else request.work_ms * slowdown

            def finish_processing() -> None:
                backend.busy_slots -= 1
                is_failed = backend.is_failing
                respond(AttemptResult.FAILED if is_failed else AttemptResult.ANSWERED)

            self._schedule(work_ms, finish_processing)

        self._schedule(delay_ms, start_processing)

    def _complete_or_retry(
        self,
        daemon: _Daemon,
        request: _Request,
        grant: Grant,
        result: AttemptResult,
    ) -> None:
        """Record the outcome of a request after an attempt, or retry the request."""
        if result is AttemptResult.ANSWERED:
            self._record_outcome(request, "done")
            return
        request.excluded = {*request.excluded, grant.runner.id}
        if result is not AttemptResult.REFUSED:
            request.may_have_run = True
            if not request.kind.idempotent:
                self._record_outcome(request, "unknown")
                return
        if request.attempts < 3 and daemon.router.retries.try_spend(self._deployment.service):
            self.tally.retry_count += 1
            self._start_attempt(daemon, request)
        else:
            self._record_outcome(request, "unknown" if request.may_have_run else "refused")

    def _record_outcome(self, request: _Request, outcome: str) -> None:
        """Count a request with the outcome ``done`` or ``refused``.

        Requests with the outcome ``unknown`` and late responses count only as offered.
        """
        if request.arrived_ms < _WARM_UP_MS:
            return
        kind = request.kind.name
        latency_ms = (
            self._clock.now_ms() - request.arrived_ms + 2 * self._deployment.client_delay_ms
        )
        if outcome == "refused":
            self.tally.rejected[kind] += 1
        elif outcome == "done" and latency_ms <= self._deployment.deadline_ms:
            self.tally.completed[kind] += 1
            self.tally.completed_by_interval[
                kind, int((self._clock.now_ms() - _WARM_UP_MS) // INTERVAL_MS)
            ] += 1
            self.tally.latencies_ms[kind].append(latency_ms)

    # Slots that daemons lend each other

    def _release_slot(self, daemon: _Daemon, grant: Grant, feedback: Feedback) -> None:
        """Return a slot to the daemon that owns it, after the delay of the message."""
        owner = self._daemons_by_id[grant.owner]

        def release_at_owner() -> None:
            if not owner.is_lost:
                self._resume_settled(
                    owner, owner.router.release(grant.runner.id, grant.token, feedback)
                )
                self._start_borrows(owner)

        if owner is daemon:
            release_at_owner()
        else:
            self._schedule(
                self._get_delay_ms(daemon.availability_zone, owner.availability_zone)
                + _PEER_CALL_PROCESSING_MS,
                release_at_owner,
            )

    def _start_borrows(self, daemon: _Daemon) -> None:
        """Request slots from peers for the waiting tickets that the router selects."""
        for borrow in daemon.router.plan_borrows(self._deployment.service):
            self.tally.borrow_count += 1
            self._request_slot(daemon, self._daemons_by_id[borrow.peer], borrow.ticket)

    def _request_slot(self, daemon: _Daemon, peer: _Daemon, waiting_ticket: Ticket) -> None:
        """Request a slot from a peer for a ticket that waits at the daemon."""
        service = self._deployment.service
        delay_ms = (
            self._get_delay_ms(daemon.availability_zone, peer.availability_zone)
            + _PEER_CALL_PROCESSING_MS
        )

        def respond(decision: Grant | Rejected) -> None:
            free_slots = peer.router.count_free_slots()[service]
            grant = decision if isinstance(decision, Grant) else None
            self._schedule(delay_ms, lambda: apply_response(grant, free_slots))

        def apply_response(grant: Grant | None, free_slots: int) -> None:
            settlement = daemon.router.settle_borrow(peer.id, service, grant, free_slots)
            if settlement is not None:
                self._resume_settled(daemon, [settlement])
            elif grant is not None:
                self._release_slot(daemon, grant, Feedback())
            self._start_borrows(daemon)

        def acquire_at_peer() -> None:
            if peer.is_lost:
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
            self._acquire_slot(peer, ticket, respond, wait_ms=_BORROW_TIMEOUT_MS)

        # A call to a lost peer fails after the timeout of calls between daemons.
        if peer.is_lost:
            self._schedule(1_000.0, lambda: apply_response(None, 0))
        else:
            self._schedule(delay_ms, acquire_at_peer)


def run_case(deployment: str, scenario: str, variant: str, seed: int, duration_ms: float) -> Tally:
    """Simulate one combination and return its tally."""
    simulation = Simulation(DEPLOYMENTS[deployment], SCENARIOS[scenario], VARIANTS[variant], seed)
    tally = simulation.run(duration_ms)
    tally.latencies_ms = dict(tally.latencies_ms)
    return tally
