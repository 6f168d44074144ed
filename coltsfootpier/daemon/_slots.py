"""Slot allocation for requests: executes the decisions of the router."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Success

from coltsfootpier.clock import Clock
from coltsfootpier.peers import BorrowSlot, LentSlot, PeerClient, ReturnSlot
from coltsfootpier.routing import (
    BorrowPlan,
    Feedback,
    Grant,
    Queued,
    Rejected,
    RejectionReason,
    Router,
    Settlement,
    Ticket,
    compute_attempt_timeout,
)

# Maximum time for which a request for a borrowed slot waits in the queue of a peer.
_MAX_BORROW_WAIT_MS = 500.0


class SlotBroker:
    """Grants owned and borrowed slots to the requests of this daemon.

    A request for which no slot is free is queued while slots are requested from peers. It
    receives the first slot that becomes available, owned or borrowed.

    Parameters
    ----------
    router : Router
        Decides which request gets a slot and from which peers slots are borrowed.
    clock : Clock
        Time source.
    get_peer : callable
        Returns the client of a member, or None if there is none.
    """

    def __init__(
        self, *, router: Router, clock: Clock, get_peer: Callable[[str], PeerClient | None]
    ) -> None:
        self._router = router
        self._clock = clock
        self._get_peer = get_peer
        self._waiting: dict[Ticket, tuple[anyio.Event, list[Grant | Rejected]]] = {}
        self._group: TaskGroup | None = None
        # Each new lease gives the daemon a new identifier. Grants under earlier identifiers still
        # belong to this daemon.
        self._own_member_ids: set[str] = set()
        self._member = ""

    @property
    def member(self) -> str:
        """Member identifier of this daemon under its newest lease."""
        return self._member

    @member.setter
    def member(self, member: str) -> None:
        self._member = member
        self._own_member_ids.add(member)

    async def run(self) -> None:
        """Run the calls to peers until cancelled."""
        async with anyio.create_task_group() as self._group:
            await anyio.sleep_forever()

    async def acquire(self, ticket: Ticket) -> Grant | Rejected:
        """Wait for a slot, at most until the ticket's deadline."""
        return await self._acquire(ticket, ticket.deadline_ms - self._clock.now_ms())

    async def _acquire(self, ticket: Ticket, wait_ms: float) -> Grant | Rejected:
        decision = self._router.acquire(ticket)
        if not isinstance(decision, Queued):
            return decision
        event = anyio.Event()
        decisions: list[Grant | Rejected] = []
        self._waiting[ticket] = (event, decisions)
        if not ticket.borrower:
            self._borrow_for(ticket.service)
        try:
            with anyio.move_on_after(wait_ms / 1000):
                await event.wait()
        except BaseException:
            # The request was cancelled while it was queued.
            for grant in decisions:
                if isinstance(grant, Grant):
                    self._return_slot(grant, Feedback())
            raise
        finally:
            self._waiting.pop(ticket, None)
            self._router.withdraw(ticket)
        return decisions[0] if decisions else Rejected(reason=RejectionReason.DEADLINE)

    async def release(self, grant: Grant, feedback: Feedback) -> None:
        """Return a slot to its owner, with the attempt's feedback on the runner."""
        self._return_slot(grant, feedback)

    def record_request(self, service: str) -> None:
        """Count a new request towards the retry budget."""
        self._router.retries.record_request(service)

    def try_spend_retry(self, service: str, kind: str, deadline_ms: float) -> bool:
        """Spend one retry of the retry budget if there is time for it before the deadline."""
        response_ms = self._router.health.response_ms(service, kind)
        if deadline_ms <= self._clock.now_ms() + response_ms:
            return False
        return self._router.retries.try_spend(service)

    def compute_attempt_timeout(self, service: str, kind: str, left_ms: float) -> float:
        """Return the timeout in ms of an attempt that can be retried."""
        return compute_attempt_timeout(left_ms, self._router.health.response_ms(service, kind))

    async def lend(self, request: BorrowSlot) -> LentSlot:
        """Lend a slot to a peer, or queue its request fairly with the requests of this daemon."""
        now_ms = self._clock.now_ms()
        ticket = Ticket(
            service=request.service,
            kind=request.kind,
            team=request.team,
            deadline_ms=now_ms + request.left_ms,
            arrived_ms=now_ms,
            excluded=set(request.excluded),
            borrower=request.borrower,
        )
        decision = await self._acquire(
            ticket, min(request.left_ms, request.wait_ms, _MAX_BORROW_WAIT_MS)
        )
        free = self._router.count_free_slots().get(request.service, 0)
        if isinstance(decision, Grant):
            return LentSlot(runner=decision.runner, token=decision.token, free=free)
        return LentSlot(free=free)

    def free_returned_slot(self, request: ReturnSlot) -> None:
        """Free a slot that a peer had borrowed and returns."""
        self._apply_settlements(
            self._router.release(request.runner, request.token, request.feedback)
        )

    def expire(self) -> None:
        """Free the slots of expired grants, and settle the waiting requests that this affects.

        Also called after the published runners have changed.
        """
        self._apply_settlements(self._router.expire())

    def borrow_for_waiting(self) -> None:
        """Request slots from peers with free slots, for all services with waiting requests."""
        for service, count in self._router.queue_lengths().items():
            if count:
                self._borrow_for(service)

    def _borrow_for(self, service: str) -> None:
        for borrow in self._router.plan_borrows(service):
            self._group.start_soon(self._borrow, borrow)

    async def _borrow(self, borrow: BorrowPlan) -> None:
        service = borrow.ticket.service
        peer = self._get_peer(borrow.peer)
        lent: LentSlot | None = None
        if peer is not None:
            left_ms = borrow.ticket.deadline_ms - self._clock.now_ms()
            result = await peer.borrow_slot(
                BorrowSlot(
                    service=service,
                    borrower=self.member,
                    kind=borrow.ticket.kind,
                    team=borrow.ticket.team,
                    left_ms=left_ms,
                    wait_ms=_MAX_BORROW_WAIT_MS,
                    excluded=tuple(borrow.ticket.excluded),
                )
            )
            lent = result.unwrap() if isinstance(result, Success) else None
        grant = None
        if lent is not None and lent.runner is not None:
            grant = Grant(
                runner=lent.runner, owner=borrow.peer, token=lent.token, kind=borrow.ticket.kind
            )
        free = lent.free if lent is not None else 0
        settlement = self._router.settle_borrow(borrow.peer, service, grant, free)
        if settlement is not None:
            self._apply_settlements([settlement])
        elif grant is not None:
            self._return_slot(grant, Feedback())
        self._borrow_for(service)

    def _return_slot(self, grant: Grant, feedback: Feedback) -> None:
        if grant.owner in self._own_member_ids:
            self._apply_settlements(self._router.release(grant.runner.id, grant.token, feedback))
            return
        if feedback.leaving:
            self._router.mark_leaving(grant.runner.id)
        self._group.start_soon(self._send_return, grant, feedback)

    async def _send_return(self, grant: Grant, feedback: Feedback) -> None:
        # Two attempts are made. If both fail, the slot is freed when the loan expires at its owner.
        message = ReturnSlot(runner=grant.runner.id, token=grant.token, feedback=feedback)
        for _ in range(2):
            peer = self._get_peer(grant.owner)
            if peer is None or not isinstance(await peer.return_slot(message), Failure):
                return

    def _apply_settlements(self, settlements: list[Settlement]) -> None:
        for settlement in settlements:
            waiting = self._waiting.get(settlement.ticket)
            if waiting is None:
                if isinstance(settlement.decision, Grant):
                    self._return_slot(settlement.decision, Feedback())
                continue
            waiting[1].append(settlement.decision)
            waiting[0].set()
