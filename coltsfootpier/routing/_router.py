"""State machine with which one daemon grants slots of runners to requests."""

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
    BorrowPlan,
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

# Time after a request's deadline at which a slot that was never released is freed.
_LOST_GRANT_TIMEOUT_MS = 5_000.0
# Maximum number of pending slot requests to one peer per service, however many requests are
# waiting.
_MAX_PENDING_BORROWS = 8
# Time before a slot is requested again from a peer that declined, unless the peer's heartbeat
# reports free slots.
_DECLINED_RETRY_DELAY_MS = 200.0
# Additional round-trip time assumed for runners in other availability zones.
_ZONE_DELAY_MS = 8.0


class SlotOverrunError(InvariantError):
    """Raised when a runner has more outstanding grants than slots."""


class TicketSettledError(InvariantError):
    """Raised when the state of a settled ticket would change again."""


@attrs.frozen
class _IssuedGrant:
    ticket: Ticket
    expires_ms: float


@attrs.define(kw_only=True)
class _RunnerSlots:
    runner: Runner
    # Number of slots that this daemon owns, and its unreleased grants by token.
    owned: int = 0
    grants: dict[int, _IssuedGrant] = attrs.field(factory=dict)


@attrs.define
class _Peer:
    # Reported free slots, pending slot requests and time of the last declined one, by service.
    free: dict[str, int] = attrs.field(factory=dict)
    pending_borrows: Counter[str] = attrs.field(factory=Counter)
    declined_at_ms: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class _ServiceState:
    queue: WaitingQueue
    context: QueueContext
    runners: list[str] = attrs.field(factory=list)
    busy: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    # Number of owned slots by member, this daemon included.
    member_slots: Counter[str] = attrs.field(factory=Counter)


class Router:
    """Router that grants slots of runners to requests.

    Each daemon grants only the slots that it owns, and borrows slots from its peers for requests
    that would have to wait.

    Parameters
    ----------
    clock : Clock
        Time source.
    availability_zone : str
        Availability zone of this daemon; runners in it are preferred.
    queue_length : int
        Maximum number of waiting requests of a service.
    policy : RunnerPolicy, default=MeasuredDelayPolicy()
        Policy that chooses among the runners with a free slot.
    assignment : SlotAssignment, default=BalancedAssignment()
        Assignment of slots to daemons.
    make_queue : callable, default=FairQueue
        Creates the queue of a service.
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
        self._availability_zone = availability_zone
        self._queue_length = queue_length
        self._policy = policy or MeasuredDelayPolicy()
        self._assignment = assignment or BalancedAssignment()
        self._make_queue = make_queue
        self._member = ""
        self._members: dict[str, str] = {}
        self._runner_tables: dict[str, tuple[int, tuple[Runner, ...]]] = {}
        self._slots: dict[str, _RunnerSlots] = {}
        self._services: dict[str, _ServiceState] = {}
        self._shares: dict[str, dict[str, Share]] = {}
        self._leaving_runners: set[str] = set()
        self._peers: dict[str, _Peer] = defaultdict(_Peer)
        self._last_token = 0
        self._overdue_grants: list[tuple[float, str, int]] = []
        self.health = RunnerHealth(clock=clock)
        self.retries = RetryBudget()

    # Observed state

    def observe_members(self, member: str, members: Mapping[str, str]) -> None:
        """Update this daemon's identifier and the reachable members.

        Parameters
        ----------
        member : str
            Identifier of this daemon.
        members : mapping of str to str
            Availability zone of each reachable member.
        """
        known = {**members, member: self._availability_zone}
        if (member, known) == (self._member, self._members):
            return
        gone = self._members.keys() - known.keys()
        self._member, self._members = member, known
        for peer in gone:
            self._peers.pop(peer, None)
            self._reclaim_loans(peer)
        self.health.retain_peers(known)
        self._assign_slots()

    def observe_runners(self, shard: str, epoch: int, runners: Iterable[Runner]) -> None:
        """Replace the runners of a shard, unless a table of a higher epoch is known."""
        known_epoch, known = self._runner_tables.get(shard, (-1, ()))
        found = tuple(runners)
        if epoch < known_epoch or (epoch, found) == (known_epoch, known):
            return
        self._runner_tables[shard] = (epoch, found)
        self._rebuild_runners()

    def observe_shares(self, shares: Mapping[tuple[str, str], Share]) -> None:
        """Replace the shares of the declared request kinds, by service and kind."""
        self._shares = defaultdict(dict)
        for (service, kind), share in shares.items():
            self._shares[service][kind] = share
        for name, service in self._services.items():
            service.context.shares = self._shares.get(name, {})

    def observe_peer(self, peer: str, free: Mapping[str, int], ejected: Iterable[str] = ()) -> None:
        """Update a peer's free slots by service and the runners that it has ejected."""
        self._peers[peer].free = dict(free)
        self.health.observe_peer_ejections(peer, tuple(ejected))
        for service in self._services.values():
            self.health.limit_ejections(service.runners)

    def mark_leaving(self, runner_id: str) -> None:
        """Stop granting slots of a runner that has reported that it is shutting down.

        The mark stays until no shard's table contains the runner any more.
        """
        if runner_id in self._slots:
            self._leaving_runners.add(runner_id)

    # Decisions

    def acquire(self, ticket: Ticket) -> Grant | Queued | Rejected:
        """Decide on a slot request of this daemon, or of a peer that borrows a slot.

        Parameters
        ----------
        ticket : Ticket
            Ticket in state ``NEW``.

        Returns
        -------
        Grant, Queued or Rejected
            After `Queued`, `plan_borrows` returns the peers to request slots from.
        """
        if ticket.deadline_ms <= self._clock.now_ms():
            return self._reject(ticket, RejectionReason.DEADLINE)
        service = self._services.get(ticket.service)
        if service is None or not service.runners:
            return self._reject(ticket, RejectionReason.NO_RUNNER, ticket.service)
        self._free_overdue_slots()
        # This doesn't overtake the queue: a slot is free only if no waiting request can use it.
        grant = self._try_grant(ticket)
        if grant is not None:
            return grant
        reason = service.queue.admit(ticket, self._compute_slot_use(service))
        if reason is not None:
            return self._reject(ticket, reason)
        self._change_state(ticket, TicketState.WAITING)
        return Queued()

    def release(
        self, runner_id: str, token: int, feedback: Feedback = Feedback()  # noqa: B008
    ) -> list[Settlement]:
        """Release a slot, and grant the free slots to waiting requests.

        Parameters
        ----------
        runner_id, token : str, int
            Runner and token of the grant; an unknown token is ignored.
        feedback : Feedback
            Result of the attempt.

        Returns
        -------
        list of Settlement
            The waiting requests that now get a slot or can no longer meet their deadline.
        """
        slots = self._slots.get(runner_id)
        if slots is None:
            return []
        if feedback.leaving:
            self.mark_leaving(runner_id)
        issued = slots.grants.get(token)
        if issued is None:
            return []
        if feedback.result is AttemptResult.OVERDUE:
            self._hold_overdue_slot(slots, token)
        else:
            self._free_slot(slots, token)
        service = self._services[slots.runner.service]
        if feedback.result is not AttemptResult.NONE:
            self.health.record_result(
                slots.runner.service, issued.ticket.kind, runner_id, feedback, service.runners
            )
        return self._grant_waiting(slots.runner.service)

    def plan_borrows(self, name: str) -> list[BorrowPlan]:
        """Return the slot requests of a service to send to peers now; each is returned once.

        At most as many slots are requested from a peer as it has reported free. A daemon without
        usable slots of its own also sends requests to owners that reported no free slot, at most
        one at a time to each of them. The owner queues such a request in fair sharing with its
        own requests.
        """
        service = self._services.get(name)
        if service is None:
            return []
        planned: list[BorrowPlan] = []
        own_tickets = [
            ticket for ticket in service.queue.list_next_tickets() if not ticket.borrower
        ]
        missing_slots = len(service.queue) - sum(
            peer.pending_borrows[name] for peer in self._peers.values()
        )
        while own_tickets and missing_slots > len(planned):
            peer = self._choose_lender(name, service)
            if peer is None:
                break
            self._peers[peer].pending_borrows[name] += 1
            planned.append(
                BorrowPlan(peer=peer, ticket=own_tickets[len(planned) % len(own_tickets)])
            )
        return planned

    def settle_borrow(
        self, peer: str, service: str, grant: Grant | None, free: int | None = None
    ) -> Settlement | None:
        """Apply a peer's response to a slot request that `plan_borrows` returned.

        Parameters
        ----------
        peer, service : str, str
            Peer that received the request, and service of the slot.
        grant : Grant or None
            Grant for the slot; None if the peer declined or didn't respond.
        free : int, optional
            Number of free slots of the service that the peer has left.

        Returns
        -------
        Settlement or None
            The waiting request that gets the slot. If it is None and there is a grant, the
            calling code must return the grant to the peer.
        """
        known = self._peers.get(peer)
        if known is not None:
            known.pending_borrows[service] = max(0, known.pending_borrows[service] - 1)
            known.free[service] = free or 0
            if grant is None:
                # The remaining free slots may belong to runners that the waiting request excludes.
                known.free[service] = 0
                known.declined_at_ms[service] = self._clock.now_ms()
        state = self._services.get(service)
        if grant is None or state is None:
            return None

        def can_serve(ticket: Ticket) -> bool:
            return not ticket.borrower and grant.runner.id not in ticket.excluded

        ticket = state.queue.pop_next(self._compute_slot_use(state), can_serve)
        if ticket is None:
            return None
        self._change_state(ticket, TicketState.GRANTED)
        return Settlement(ticket=ticket, decision=grant)

    def withdraw(self, ticket: Ticket) -> None:
        """Withdraw a ticket from the queue if it is still waiting."""
        if ticket.state is TicketState.WAITING:
            self._change_state(ticket, TicketState.WITHDRAWN)
            self._services[ticket.service].queue.remove(ticket)

    def expire(self) -> list[Settlement]:
        """Free the slots of expired grants, and grant the free slots to waiting requests.

        Returns
        -------
        list of Settlement
            The waiting requests that now get a slot or can no longer meet their deadline.
        """
        now_ms = self._clock.now_ms()
        self._free_overdue_slots()
        for slots in self._slots.values():
            for token, issued in list(slots.grants.items()):
                if issued.expires_ms <= now_ms:
                    self._free_slot(slots, token)
        settled: list[Settlement] = []
        for name, service in self._services.items():
            settled += self._reject_late(service, check_all=True)
            settled += self._grant_waiting(name)
        return settled

    def count_free_slots(self) -> dict[str, int]:
        """Return the number of free slots that this daemon owns, by service."""
        return {
            name: sum(max(0, self._count_free(self._slots[id_])) for id_ in service.runners)
            for name, service in self._services.items()
            if service.runners
        }

    def count_owned_slots(self, service: str) -> int:
        """Return the number of slots of a service that this daemon owns."""
        state = self._services.get(service)
        return sum(self._slots[id_].owned for id_ in state.runners) if state else 0

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return {name: len(service.queue) for name, service in self._services.items()}

    def runners(self) -> list[Runner]:
        """Return all known runners."""
        return [slots.runner for slots in self._slots.values()]

    # Slots

    def _rebuild_runners(self) -> None:
        found = {
            runner.id: runner for _, runners in self._runner_tables.values() for runner in runners
        }
        for id_ in self._slots.keys() - found.keys():
            slots = self._slots.pop(id_)
            for token in list(slots.grants):
                self._free_slot(slots, token)
        for service in self._services.values():
            service.runners = []
        for id_, runner in found.items():
            slots = self._slots.setdefault(id_, _RunnerSlots(runner=runner))
            slots.runner = runner
            self._get_service(runner.service).runners.append(id_)
        self._leaving_runners &= found.keys()
        self.health.retain_runners(found)
        self._assign_slots()

    def _get_service(self, name: str) -> _ServiceState:
        if name not in self._services:
            context = QueueContext(
                max_length=self._queue_length,
                now_ms=self._clock.now_ms,
                response_ms=lambda kind: self.health.response_ms(name, kind),
                shares=self._shares.get(name, {}),
            )
            self._services[name] = _ServiceState(queue=self._make_queue(context), context=context)
        return self._services[name]

    def _assign_slots(self) -> None:
        for service in self._services.values():
            runners = [self._slots[id_].runner for id_ in service.runners]
            table = self._assignment.assign(runners, self._members)
            service.member_slots = Counter()
            for id_ in service.runners:
                owned = table.get(id_, {})
                self._slots[id_].owned = owned.get(self._member, 0)
                service.member_slots.update(owned)

    def _reclaim_loans(self, peer: str) -> None:
        # A peer that is gone can't release the slots that it borrowed. If one of its requests is
        # still running, the runner itself rejects requests beyond its slots.
        for slots in self._slots.values():
            for token, issued in list(slots.grants.items()):
                if issued.ticket.borrower == peer:
                    self._free_slot(slots, token)

    def _is_usable(self, slots: _RunnerSlots) -> bool:
        runner = slots.runner
        if runner.leaving or runner.id in self._leaving_runners:
            return False
        return self.health.is_usable(runner.id)

    def _count_free(self, slots: _RunnerSlots) -> int:
        free = slots.owned - len(slots.grants)
        return free if free > 0 and self._is_usable(slots) else 0

    def _compute_slot_use(self, service: _ServiceState) -> SlotUse:
        slots = (self._slots[id_] for id_ in service.runners)
        usable = sum(item.owned for item in slots if item.owned and self._is_usable(item))
        return SlotUse(slots=usable, busy=service.busy)

    def _free_slot(self, slots: _RunnerSlots, token: int) -> None:
        issued = slots.grants.pop(token)
        busy = self._services[slots.runner.service].busy
        key = (issued.ticket.team, issued.ticket.kind)
        busy[key] -= 1
        if not busy[key]:
            del busy[key]

    def _hold_overdue_slot(self, slots: _RunnerSlots, token: int) -> None:
        # The runner may work on the request until its deadline, and would reject another request in
        # the meantime.
        ticket = slots.grants[token].ticket
        until_ms = max(ticket.deadline_ms, self._clock.now_ms())
        until_ms += self.health.response_ms(ticket.service, ticket.kind)
        heapq.heappush(self._overdue_grants, (until_ms, slots.runner.id, token))

    def _free_overdue_slots(self) -> None:
        now_ms = self._clock.now_ms()
        while self._overdue_grants and self._overdue_grants[0][0] <= now_ms:
            _, runner_id, token = heapq.heappop(self._overdue_grants)
            slots = self._slots.get(runner_id)
            if slots is not None and token in slots.grants:
                self._free_slot(slots, token)

    def _try_grant(self, ticket: Ticket) -> Grant | None:
        service = self._services[ticket.service]
        candidates = [
            self._build_candidate(slots, ticket)
            for slots in (self._slots[id_] for id_ in service.runners)
            if slots.owned
            and slots.runner.id not in ticket.excluded
            and self._count_free(slots) > 0
        ]
        if not candidates:
            return None
        runner = self._policy.choose(candidates).runner
        slots = self._slots[runner.id]
        self._change_state(ticket, TicketState.GRANTED)
        self._last_token += 1
        slots.grants[self._last_token] = _IssuedGrant(
            ticket, ticket.deadline_ms + _LOST_GRANT_TIMEOUT_MS
        )
        service.busy[ticket.team, ticket.kind] += 1
        if len(slots.grants) > runner.slots:
            raise SlotOverrunError(
                f"runner {runner.id} has {len(slots.grants)} grants but only {runner.slots} slots"
            )
        self.health.record_request_sent(runner.id)
        return Grant(runner=runner, owner=self._member, token=self._last_token, kind=ticket.kind)

    def _build_candidate(self, slots: _RunnerSlots, ticket: Ticket) -> Candidate:
        runner = slots.runner
        is_near = runner.availability_zone == self._availability_zone
        return Candidate(
            runner=runner,
            outstanding=len(slots.grants),
            slots=slots.owned,
            slowness=self.health.slowness(runner.id),
            response_ms=self.health.response_ms(ticket.service, ticket.kind),
            is_near=is_near,
            zone_delay_ms=0.0 if is_near else _ZONE_DELAY_MS,
            rejection_rate=self.health.rejection_rate(runner.id),
        )

    def _choose_lender(self, name: str, service: _ServiceState) -> str | None:
        def count_spare(peer: str) -> int:
            return self._peers[peer].free.get(name, 0) - self._peers[peer].pending_borrows[name]

        peers = [peer for peer in self._members if peer != self._member]
        available_peers = [
            peer for peer in peers if self._peers[peer].pending_borrows[name] < _MAX_PENDING_BORROWS
        ]
        best = max(available_peers, key=count_spare, default=None)
        if best is not None and count_spare(best) > 0:
            return best
        if self._compute_slot_use(service).slots:
            return None
        owners = [
            peer
            for peer in available_peers
            if service.member_slots[peer] > 0
            and not self._peers[peer].pending_borrows[name]
            and self._ms_since_declined(peer, name) >= _DECLINED_RETRY_DELAY_MS
        ]
        return max(owners, key=lambda peer: service.member_slots[peer], default=None)

    def _ms_since_declined(self, peer: str, name: str) -> float:
        return self._clock.now_ms() - self._peers[peer].declined_at_ms.get(name, float("-inf"))

    # Waiting requests

    def _grant_waiting(self, name: str) -> list[Settlement]:
        service = self._services[name]
        settled: list[Settlement] = []
        while len(service.queue):
            free = {id_ for id_ in service.runners if self._count_free(self._slots[id_]) > 0}
            if not free:
                break
            settled += self._reject_late(service)
            ticket = service.queue.pop_next(
                self._compute_slot_use(service),
                lambda ticket, free=free: not free <= ticket.excluded,
            )
            grant = self._try_grant(ticket) if ticket is not None else None
            if ticket is None or grant is None:
                break
            settled.append(Settlement(ticket=ticket, decision=grant))
        return settled

    def _reject_late(self, service: _ServiceState, *, check_all: bool = False) -> list[Settlement]:
        return [
            Settlement(ticket=ticket, decision=self._reject(ticket, RejectionReason.DEADLINE))
            for ticket in service.queue.drop_late(check_all=check_all)
        ]

    def _reject(self, ticket: Ticket, reason: RejectionReason, detail: str = "") -> Rejected:
        self._change_state(ticket, TicketState.REFUSED)
        return Rejected(reason=reason, detail=detail)

    @staticmethod
    def _change_state(ticket: Ticket, state: TicketState) -> None:
        if ticket.state not in (TicketState.NEW, TicketState.WAITING):
            raise TicketSettledError(
                f"ticket in state {ticket.state.value} can't change to {state.value}"
            )
        ticket.state = state
