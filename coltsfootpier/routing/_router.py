"""State machine of the router in one daemon."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.exceptions import InvariantError
from coltsfootpier.routing._assignment import BalancedAssignment, SlotAssignment
from coltsfootpier.routing._health import RunnerHealth
from coltsfootpier.routing._messages import (
    AttemptResult,
    Borrow,
    Feedback,
    Grant,
    Queued,
    Rejected,
    RejectionReason,
    Runner,
    Settlement,
    Share,
    Ticket,
    TicketState,
)
from coltsfootpier.routing._policies import Candidate, MeasuredDelayPolicy, RunnerPolicy
from coltsfootpier.routing._queues import FairQueue, QueueContext, SlotUse, WaitingQueue
from coltsfootpier.routing._retries import RetryBudget

# A slot is free again this long after the deadline of its request if it was never given back.
_LOST_GRANT_MS = 5_000.0
# Requests for a slot that may wait at one peer at once, however many requests wait here.
_MAX_BORROWS = 8
# A peer that declined is not asked again sooner, unless a heartbeat reports free slots.
_DECLINED_MS = 200.0
# Added round-trip time assumed for runners of other availability zones until it is measured.
_ZONE_DELAY_MS = 8.0


class SlotOverrunError(InvariantError):
    """More grants than slots are out for a runner."""


class TicketSettledError(InvariantError):
    """A ticket that is settled would be settled again."""


@attrs.frozen
class _Held:
    ticket: Ticket
    expires_ms: float


@attrs.define(kw_only=True)
class _Slots:
    runner: Runner
    owned: int = 0
    grants: dict[int, _Held] = attrs.field(factory=dict)


@attrs.define
class _Peer:
    free: dict[str, int] = attrs.field(factory=dict)
    borrows: Counter[str] = attrs.field(factory=Counter)
    declined_ms: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class _Service:
    queue: WaitingQueue
    context: QueueContext
    runners: list[str] = attrs.field(factory=list)
    busy: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    peer_slots: Counter[str] = attrs.field(factory=Counter)


class Router:
    """Grants slots of runners to requests.

    Parameters
    ----------
    clock : Clock
        Time source.
    availability_zone : str
        Zone of this daemon; its runners are preferred.
    queue_length : int
        Requests of a service that may wait.
    policy : RunnerPolicy, optional
        Choice among runners with a free slot.
    assignment : SlotAssignment, optional
        Division of the slots among the daemons.
    make_queue : callable, optional
        Returns the queue of a service.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        availability_zone: str,
        queue_length: int,
        policy: RunnerPolicy | None = None,
        assignment: SlotAssignment | None = None,
        make_queue: Callable[[QueueContext], WaitingQueue] = FairQueue,
    ) -> None:
        self._clock = clock
        self._zone = availability_zone
        self._queue_length = queue_length
        self._policy = policy or MeasuredDelayPolicy()
        self._assignment = assignment or BalancedAssignment()
        self._make_queue = make_queue
        self._member = ""
        self._members: dict[str, str] = {}
        self._tables: dict[str, tuple[int, tuple[Runner, ...]]] = {}
        self._slots: dict[str, _Slots] = {}
        self._services: dict[str, _Service] = {}
        self._shares: dict[str, dict[str, Share]] = {}
        self._leaving: set[str] = set()
        self._peers: dict[str, _Peer] = defaultdict(_Peer)
        self._tokens = 0
        self._lingering: list[tuple[float, str, int]] = []
        self.health = RunnerHealth(clock=clock)
        self.retries = RetryBudget()

    # Inputs

    def observe_members(self, member: str, members: Mapping[str, str]) -> None:
        """Take this daemon's identifier, and all reachable ones with their zones."""
        known = {**members, member: self._zone}
        if (member, known) == (self._member, self._members):
            return
        gone = self._members.keys() - known.keys()
        self._member, self._members = member, known
        for peer in gone:
            self._peers.pop(peer, None)
            self._reclaim_loans(peer)
        self.health.retain_peers(known)
        self._assign()

    def observe_runners(self, shard: str, epoch: int, runners: Iterable[Runner]) -> None:
        """Take the runners of a shard; those of a lower epoch are ignored."""
        known_epoch, known = self._tables.get(shard, (-1, ()))
        found = tuple(runners)
        if epoch < known_epoch or (epoch, found) == (known_epoch, known):
            return
        self._tables[shard] = (epoch, found)
        self._rebuild()

    def observe_shares(self, shares: Mapping[tuple[str, str], Share]) -> None:
        """Take the shares of the declared request kinds by service and kind."""
        self._shares = defaultdict(dict)
        for (service, kind), share in shares.items():
            self._shares[service][kind] = share
        for name, service in self._services.items():
            service.context.shares = self._shares.get(name, {})

    def observe_peer(self, peer: str, free: Mapping[str, int], ejected: Iterable[str] = ()) -> None:
        """Take a peer's free slots of each service and the runners that it has ejected."""
        self._peers[peer].free = dict(free)
        self.health.observe_peer(peer, tuple(ejected))
        for service in self._services.values():
            self.health.limit_ejections(service.runners)

    def mark_leaving(self, runner_id: str) -> None:
        """Give a runner no new request for as long as it is known: it said that it leaves."""
        if runner_id in self._slots:
            self._leaving.add(runner_id)

    # Decisions

    def acquire(self, ticket: Ticket) -> Grant | Queued | Rejected:
        """Decide on a request of this daemon, or of a peer that wants to borrow.

        Parameters
        ----------
        ticket : Ticket
            The request; new.

        Returns
        -------
        Grant, Queued or Refused
            After `Queued`, `plan_borrows` names the peers to ask.
        """
        if ticket.deadline_ms <= self._clock.now_ms():
            return self._refuse(ticket, RejectionReason.DEADLINE)
        service = self._services.get(ticket.service)
        if service is None or not service.runners:
            return self._refuse(ticket, RejectionReason.NO_RUNNER, ticket.service)
        self._free_lingering()
        # A slot is only free while none of the waiting requests may use it.
        grant = self._grant(ticket)
        if grant is not None:
            return grant
        reason = service.queue.admit(ticket, self._use(service))
        if reason is not None:
            return self._refuse(ticket, reason)
        self._move(ticket, TicketState.WAITING)
        return Queued()

    def release(
        self, runner_id: str, token: int, feedback: Feedback = Feedback()  # noqa: B008
    ) -> list[Settlement]:
        """Take a slot back and return the waiting requests that are settled by it.

        Parameters
        ----------
        runner_id, token : str, int
            From the grant; a token that is no longer known is ignored.
        feedback : Feedback
            What the attempt says about the runner.
        """
        slots = self._slots.get(runner_id)
        if slots is None:
            return []
        if feedback.leaving:
            self.mark_leaving(runner_id)
        held = slots.grants.get(token)
        if held is None:
            return []
        if feedback.result is AttemptResult.OVERDUE:
            self._linger(slots, token)
        else:
            self._free(slots, token)
        service = self._services[slots.runner.service]
        if feedback.result is not AttemptResult.NONE:
            self.health.observe(
                slots.runner.service, held.ticket.kind, runner_id, feedback, service.runners
            )
        return self._serve(slots.runner.service)

    def plan_borrows(self, name: str) -> list[Borrow]:
        """Return the peers to ask now for slots of a service; each is asked once.

        A peer is asked for as many slots as it has reported free. A daemon without usable slots
        of its own asks one more peer, which queues the request fairly with its own ones.
        """
        service = self._services.get(name)
        if service is None:
            return []
        planned: list[Borrow] = []
        queue_lengths = [ticket for ticket in service.queue.queue_lengths() if not ticket.borrower]
        wanted = len(service.queue) - sum(peer.borrows[name] for peer in self._peers.values())
        while queue_lengths and wanted > len(planned):
            peer = self._choose_lender(name, service)
            if peer is None:
                break
            self._peers[peer].borrows[name] += 1
            planned.append(
                Borrow(peer=peer, ticket=queue_lengths[len(planned) % len(queue_lengths)])
            )
        return planned

    def settle_borrow(
        self, peer: str, service: str, grant: Grant | None, free: int | None = None
    ) -> Settlement | None:
        """Take the answer to a `Borrow`.

        Parameters
        ----------
        peer, service : str, str
            Who was asked for what.
        grant : Grant or None
            The slot; None when the peer declined or didn't answer.
        free : int, optional
            Free slots that the peer has left.

        Returns
        -------
        Settlement or None
            The waiting request that gets the slot; without one the grant has to be returned.
        """
        known = self._peers.get(peer)
        if known is not None:
            known.borrows[service] = max(0, known.borrows[service] - 1)
            known.free[service] = free or 0
            if grant is None:
                # Its free slots may be of runners that the waiting request must not use.
                known.free[service] = 0
                known.declined_ms[service] = self._clock.now_ms()
        state = self._services.get(service)
        if grant is None or state is None:
            return None

        def can_serve(ticket: Ticket) -> bool:
            return not ticket.borrower and grant.runner.id not in ticket.excluded

        ticket = state.queue.take(self._use(state), can_serve)
        if ticket is None:
            return None
        self._move(ticket, TicketState.GRANTED)
        return Settlement(ticket=ticket, decision=grant)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request that waits no longer."""
        if ticket.state is TicketState.WAITING:
            self._move(ticket, TicketState.WITHDRAWN)
            self._services[ticket.service].queue.remove(ticket)

    def expire(self) -> list[Settlement]:
        """Return waiting requests that now get a slot or can't meet their deadline."""
        now_ms = self._clock.now_ms()
        self._free_lingering()
        for slots in self._slots.values():
            for token, held in list(slots.grants.items()):
                if held.expires_ms <= now_ms:
                    self._free(slots, token)
        settled: list[Settlement] = []
        for name, service in self._services.items():
            settled += self._refuse_late(service, thorough=True)
            settled += self._serve(name)
        return settled

    def free_slots(self) -> dict[str, int]:
        """Return the number of own free slots for each service, for peers."""
        return {
            name: sum(max(0, self._free_of(self._slots[id_])) for id_ in service.runners)
            for name, service in self._services.items()
            if service.runners
        }

    def owned_slots(self, service: str) -> int:
        """Return the number of slots of a service that this daemon owns."""
        known = self._services.get(service)
        return sum(self._slots[id_].owned for id_ in known.runners) if known else 0

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of waiting requests for each service."""
        return {name: len(service.queue) for name, service in self._services.items()}

    def runners(self) -> list[Runner]:
        """Return all known runners."""
        return [slots.runner for slots in self._slots.values()]

    # Slots

    def _rebuild(self) -> None:
        found = {runner.id: runner for _, runners in self._tables.values() for runner in runners}
        for id_ in self._slots.keys() - found.keys():
            slots = self._slots.pop(id_)
            for token in list(slots.grants):
                self._free(slots, token)
        for service in self._services.values():
            service.runners = []
        for id_, runner in found.items():
            slots = self._slots.setdefault(id_, _Slots(runner=runner))
            slots.runner = runner
            self._service(runner.service).runners.append(id_)
        self._leaving &= found.keys()
        self.health.retain(found)
        self._assign()

    def _service(self, name: str) -> _Service:
        if name not in self._services:
            context = QueueContext(
                length=self._queue_length,
                now_ms=self._clock.now_ms,
                response_ms=lambda kind: self.health.response_ms(name, kind),
                shares=self._shares.get(name, {}),
            )
            self._services[name] = _Service(queue=self._make_queue(context), context=context)
        return self._services[name]

    def _assign(self) -> None:
        for service in self._services.values():
            runners = [self._slots[id_].runner for id_ in service.runners]
            table = self._assignment.assign(runners, self._members)
            service.peer_slots = Counter()
            for id_ in service.runners:
                owned = table.get(id_, {})
                self._slots[id_].owned = owned.get(self._member, 0)
                service.peer_slots.update(owned)

    def _reclaim_loans(self, peer: str) -> None:
        # The peer can't give them back; a request that still runs is the runner's to refuse.
        for slots in self._slots.values():
            for token, held in list(slots.grants.items()):
                if held.ticket.borrower == peer:
                    self._free(slots, token)

    def _is_usable(self, slots: _Slots) -> bool:
        runner = slots.runner
        if runner.leaving or runner.id in self._leaving:
            return False
        return self.health.may_use(runner.id)

    def _free_of(self, slots: _Slots) -> int:
        free = slots.owned - len(slots.grants)
        return free if free > 0 and self._is_usable(slots) else 0

    def _use(self, service: _Service) -> SlotUse:
        slots = (self._slots[id_] for id_ in service.runners)
        usable = sum(one.owned for one in slots if one.owned and self._is_usable(one))
        return SlotUse(slots=usable, busy=service.busy)

    def _free(self, slots: _Slots, token: int) -> None:
        held = slots.grants.pop(token)
        busy = self._services[slots.runner.service].busy
        key = (held.ticket.team, held.ticket.kind)
        busy[key] -= 1
        if not busy[key]:
            del busy[key]

    def _linger(self, slots: _Slots, token: int) -> None:
        # The runner works on the request until its deadline; a further request would be refused.
        ticket = slots.grants[token].ticket
        until_ms = max(ticket.deadline_ms, self._clock.now_ms())
        until_ms += self.health.response_ms(ticket.service, ticket.kind)
        heapq.heappush(self._lingering, (until_ms, slots.runner.id, token))

    def _free_lingering(self) -> None:
        now_ms = self._clock.now_ms()
        while self._lingering and self._lingering[0][0] <= now_ms:
            _, runner_id, token = heapq.heappop(self._lingering)
            slots = self._slots.get(runner_id)
            if slots is not None and token in slots.grants:
                self._free(slots, token)

    def _grant(self, ticket: Ticket) -> Grant | None:
        service = self._services[ticket.service]
        candidates = [
            self._describe(slots, ticket)
            for slots in (self._slots[id_] for id_ in service.runners)
            if slots.owned and slots.runner.id not in ticket.excluded and self._free_of(slots) > 0
        ]
        if not candidates:
            return None
        runner = self._policy.choose(candidates).runner
        slots = self._slots[runner.id]
        self._move(ticket, TicketState.GRANTED)
        self._tokens += 1
        slots.grants[self._tokens] = _Held(ticket, ticket.deadline_ms + _LOST_GRANT_MS)
        service.busy[ticket.team, ticket.kind] += 1
        if len(slots.grants) > runner.slots:
            raise SlotOverrunError(
                f"runner {runner.id}: {len(slots.grants)} grants, {runner.slots} slots"
            )
        self.health.begin_probe(runner.id)
        return Grant(runner=runner, owner=self._member, token=self._tokens, kind=ticket.kind)

    def _describe(self, slots: _Slots, ticket: Ticket) -> Candidate:
        runner = slots.runner
        is_near = runner.availability_zone == self._zone
        return Candidate(
            runner=runner,
            outstanding=len(slots.grants),
            slots=slots.owned,
            slowness=self.health.slowness(runner.id),
            response_ms=self.health.response_ms(ticket.service, ticket.kind),
            is_near=is_near,
            zone_delay_ms=0.0 if is_near else _ZONE_DELAY_MS,
            refusal_rate=self.health.refusal_rate(runner.id),
        )

    def _choose_lender(self, name: str, service: _Service) -> str | None:
        def spare(peer: str) -> int:
            return self._peers[peer].free.get(name, 0) - self._peers[peer].borrows[name]

        peers = [peer for peer in self._members if peer != self._member]
        known = [peer for peer in peers if self._peers[peer].borrows[name] < _MAX_BORROWS]
        best = max(known, key=spare, default=None)
        if best is not None and spare(best) > 0:
            return best
        if self._use(service).slots:
            return None
        owners = [
            peer
            for peer in known
            if service.peer_slots[peer] > 0
            and not self._peers[peer].borrows[name]
            and self._since_declined(peer, name) >= _DECLINED_MS
        ]
        return max(owners, key=lambda peer: service.peer_slots[peer], default=None)

    def _since_declined(self, peer: str, name: str) -> float:
        return self._clock.now_ms() - self._peers[peer].declined_ms.get(name, float("-inf"))

    # Waiting requests

    def _serve(self, name: str) -> list[Settlement]:
        service = self._services[name]
        settled: list[Settlement] = []
        while len(service.queue):
            free = {id_ for id_ in service.runners if self._free_of(self._slots[id_]) > 0}
            if not free:
                break
            settled += self._refuse_late(service)
            ticket = service.queue.take(
                self._use(service), lambda ticket, free=free: not free <= ticket.excluded
            )
            grant = self._grant(ticket) if ticket is not None else None
            if ticket is None or grant is None:
                break
            settled.append(Settlement(ticket=ticket, decision=grant))
        return settled

    def _refuse_late(self, service: _Service, *, thorough: bool = False) -> list[Settlement]:
        return [
            Settlement(ticket=ticket, decision=self._refuse(ticket, RejectionReason.DEADLINE))
            for ticket in service.queue.drop_late(thorough=thorough)
        ]

    def _refuse(self, ticket: Ticket, reason: RejectionReason, detail: str = "") -> Rejected:
        self._move(ticket, TicketState.REFUSED)
        return Rejected(reason=reason, detail=detail)

    @staticmethod
    def _move(ticket: Ticket, state: TicketState) -> None:
        if ticket.state not in (TicketState.NEW, TicketState.WAITING):
            raise TicketSettledError(f"ticket is {ticket.state.value}, would be {state.value}")
        ticket.state = state
