"""Waiting for slots: the router's decisions carried out for requests."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Success

from coltsfootpier.clock import Clock
from coltsfootpier.peers import BorrowSlot, LentSlot, PeerClient, ReturnSlot
from coltsfootpier.routing import (
    Borrow,
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

# Longest wait of a borrowing request in the queue of a peer.
_BORROW_MS = 500.0


class SlotBroker:
    """Grants slots to requests of this daemon, own ones or borrowed ones.

    A request that has to wait is queued here, while slots are asked for at peers; whichever
    slot comes first serves it.

    Parameters
    ----------
    router : Router
        The decisions.
    clock : Clock
        Time source.
    get_peer : callable
        Returns the client of a member, or None.
    """

    def __init__(
        self, *, router: Router, clock: Clock, get_peer: Callable[[str], PeerClient | None]
    ) -> None:
        self._router = router
        self._clock = clock
        self._get_peer = get_peer
        self._waiting: dict[Ticket, tuple[anyio.Event, list[Grant | Rejected]]] = {}
        self._group: TaskGroup | None = None
        # A new lease of the daemon gives it a new identifier; its earlier grants stay its own.
        self._own_ids: set[str] = set()
        self._member = ""

    @property
    def member(self) -> str:
        """Identifier of this daemon."""
        return self._member

    @member.setter
    def member(self, member: str) -> None:
        self._member = member
        self._own_ids.add(member)

    async def run(self) -> None:
        """Own the calls to peers until cancelled."""
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
        settled: list[Grant | Rejected] = []
        self._waiting[ticket] = (event, settled)
        if not ticket.borrower:
            self._borrow_for(ticket.service)
        try:
            with anyio.move_on_after(wait_ms / 1000):
                await event.wait()
        except BaseException:
            # The caller went away while the request waited.
            for grant in settled:
                if isinstance(grant, Grant):
                    self._give_back(grant, Feedback())
            raise
        finally:
            self._waiting.pop(ticket, None)
            self._router.withdraw(ticket)
        return settled[0] if settled else Rejected(reason=RejectionReason.DEADLINE)

    async def release(self, grant: Grant, feedback: Feedback) -> None:
        """Give a slot back to its owner, with what the attempt says about the runner."""
        self._give_back(grant, feedback)

    def record_request(self, service: str) -> None:
        """Count a new request towards the retry budget."""
        self._router.retries.record_request(service)

    def may_repeat(self, service: str, kind: str, deadline_ms: float) -> bool:
        """Take a repeat out of the retry budget if the deadline allows one."""
        response_ms = self._router.health.response_ms(service, kind)
        if deadline_ms <= self._clock.now_ms() + response_ms:
            return False
        return self._router.retries.spend(service)

    def compute_attempt_timeout(self, service: str, kind: str, left_ms: float) -> float:
        """Return the time allowed for an attempt that may be repeated."""
        return compute_attempt_timeout(left_ms, self._router.health.response_ms(service, kind))

    async def lend(self, request: BorrowSlot) -> LentSlot:
        """Queue a peer's request for a slot fairly with the own ones."""
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
        decision = await self._acquire(ticket, min(request.left_ms, request.wait_ms, _BORROW_MS))
        free = self._router.free_slots().get(request.service, 0)
        if isinstance(decision, Grant):
            return LentSlot(runner=decision.runner, token=decision.token, free=free)
        return LentSlot(free=free)

    def take_back(self, request: ReturnSlot) -> None:
        """Take back a slot that a peer borrowed."""
        self._settle(self._router.release(request.runner, request.token, request.feedback))

    def expire(self) -> None:
        """Serve waiting requests after changes of runners or lapsed loans."""
        self._settle(self._router.expire())

    def borrow_waiting(self) -> None:
        """Ask peers that have reported free slots, for all services with waiting requests."""
        for service, count in self._router.queue_lengths().items():
            if count:
                self._borrow_for(service)

    def _borrow_for(self, service: str) -> None:
        for borrow in self._router.plan_borrows(service):
            self._group.start_soon(self._borrow, borrow)

    async def _borrow(self, borrow: Borrow) -> None:
        service = borrow.ticket.service
        peer = self._get_peer(borrow.peer)
        lent: LentSlot | None = None
        if peer is not None:
            left_ms = borrow.ticket.deadline_ms - self._clock.now_ms()
            answer = await peer.borrow_slot(
                BorrowSlot(
                    service=service,
                    borrower=self.member,
                    kind=borrow.ticket.kind,
                    team=borrow.ticket.team,
                    left_ms=left_ms,
                    wait_ms=_BORROW_MS,
                    excluded=tuple(borrow.ticket.excluded),
                )
            )
            lent = answer.unwrap() if isinstance(answer, Success) else None
        grant = None
        if lent is not None and lent.runner is not None:
            grant = Grant(
                runner=lent.runner, owner=borrow.peer, token=lent.token, kind=borrow.ticket.kind
            )
        free = lent.free if lent is not None else 0
        settlement = self._router.settle_borrow(borrow.peer, service, grant, free)
        if settlement is not None:
            self._settle([settlement])
        elif grant is not None:
            self._give_back(grant, Feedback())
        self._borrow_for(service)

    def _give_back(self, grant: Grant, feedback: Feedback) -> None:
        if grant.owner in self._own_ids:
            self._settle(self._router.release(grant.runner.id, grant.token, feedback))
            return
        if feedback.leaving:
            self._router.mark_leaving(grant.runner.id)
        self._group.start_soon(self._return, grant, feedback)

    async def _return(self, grant: Grant, feedback: Feedback) -> None:
        # Tried twice; after that the owner frees the slot by itself.
        message = ReturnSlot(runner=grant.runner.id, token=grant.token, feedback=feedback)
        for _ in range(2):
            peer = self._get_peer(grant.owner)
            if peer is None or not isinstance(await peer.return_slot(message), Failure):
                return

    def _settle(self, settled: list[Settlement]) -> None:
        for one in settled:
            waiting = self._waiting.get(one.ticket)
            if waiting is None:
                if isinstance(one.decision, Grant):
                    self._give_back(one.decision, Feedback())
                continue
            waiting[1].append(one.decision)
            waiting[0].set()
