"""Queues of waiting requests of one service: admission and scheduling order."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from coltsfootpier.routing._messages import RejectionReason, Share, Ticket

# Lower bound of a kind's share, as a fraction of the slots, so that a kind without a guaranteed
# share still makes progress when the guarantees of the other kinds add up to all slots.
_MIN_SHARE = 0.001
# Number of requests that every kind may queue, however small its share, so that short bursts
# aren't rejected.
_MIN_QUEUE_LENGTH = 8
# A queue whose oldest request has waited for more than this fraction of its time to the
# deadline is overloaded; it serves the newest requests first.
_OVERLOAD_WAIT_FRACTION = 0.5
# Fraction of its share below which a kind is served in order of priority. If priority counted up to
# the whole share, an overloaded urgent kind would take the last slot each time and keep the other
# kinds below their shares.
_PRIORITY_SHARE_FRACTION = 0.5
# Time constant of the moving average of a kind's slot use, which is compared with its share.
# Without averaging, a kind with a share of one or two slots would have to wait in every short
# burst.
_AVERAGING_TIME_MS = 300.0


@attrs.define
class SlotUse:
    """Use of the slots of a service that a daemon owns.

    Parameters
    ----------
    slots : int
        Number of usable slots.
    busy : Counter
        Slots in use by team and request kind.
    """

    slots: int = 0
    busy: Counter[tuple[str, str]] = attrs.field(factory=Counter)

    def count_busy(self, kind: str) -> int:
        """Return the number of slots that the requests of a kind use, over all teams."""
        return sum(count for (_, used_kind), count in self.busy.items() if used_kind == kind)


class WaitingQueue(Protocol):
    """Queue of waiting requests of one service."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        ...

    def admit(self, ticket: Ticket, use: SlotUse) -> RejectionReason | None:
        """Add a request and return None, or return the reason for rejecting it."""
        ...

    def pop_next(self, use: SlotUse, can_serve: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the request that gets the next free slot, or return None.

        Parameters
        ----------
        use : SlotUse
            Current use of the daemon's slots.
        can_serve : callable
            Returns whether one of the free slots can serve a request.
        """
        ...

    def drop_late(self, *, check_all: bool = False) -> list[Ticket]:
        """Remove and return the requests that can no longer meet their deadline.

        Parameters
        ----------
        check_all : bool, default=False
            Whether to check all requests; otherwise only the oldest ones are checked.
        """
        ...

    def remove(self, ticket: Ticket) -> None:
        """Remove a request if it is there."""
        ...

    def list_next_tickets(self) -> list[Ticket]:
        """Return the waiting requests to serve next, one of each kind that the queue separates."""
        ...


@attrs.define(kw_only=True)
class QueueContext:
    """Limits and measurements that a queue uses.

    Parameters
    ----------
    max_length : int
        Maximum number of waiting requests.
    now_ms : callable
        Returns the current time in milliseconds.
    response_ms : callable
        Returns the measured response time of a request kind in milliseconds.
    shares : mapping of str to Share
        Shares of the declared request kinds.
    """

    max_length: int
    now_ms: Callable[[], float]
    response_ms: Callable[[str], float]
    shares: Mapping[str, Share] = attrs.field(factory=dict)


class FifoQueue:
    """First-in, first-out queue that drops requests at their deadline (baseline).

    Parameters
    ----------
    context : QueueContext
        Limits and measurements.
    """

    def __init__(self, context: QueueContext) -> None:
        self._context = context
        self._tickets: list[Ticket] = []

    def __len__(self) -> int:
        return len(self._tickets)

    def admit(self, ticket: Ticket, use: SlotUse) -> RejectionReason | None:
        """Add a request unless the queue is full."""
        if len(self._tickets) >= self._context.max_length:
            return RejectionReason.QUEUE_FULL
        self._tickets.append(ticket)
        return None

    def pop_next(self, use: SlotUse, can_serve: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the oldest request."""
        if not self._tickets or not can_serve(self._tickets[0]):
            return None
        return self._tickets.pop(0)

    def drop_late(self, *, check_all: bool = False) -> list[Ticket]:
        """Remove and return the requests whose deadline has passed."""
        now_ms = self._context.now_ms()
        late = [ticket for ticket in self._tickets if ticket.deadline_ms <= now_ms]
        if late:
            self._tickets = [ticket for ticket in self._tickets if ticket.deadline_ms > now_ms]
        return late

    def remove(self, ticket: Ticket) -> None:
        """Remove a request if it is there."""
        if ticket in self._tickets:
            self._tickets.remove(ticket)

    def list_next_tickets(self) -> list[Ticket]:
        """Return the oldest request."""
        return self._tickets[:1]


class FairQueue:
    """Weighted fair queue over request kinds, and over the teams of each kind (default).

    The share of a kind is its guaranteed fraction of the slots plus a part of the unguaranteed
    fraction in proportion to its weight. Kinds that use less than half of their share are served
    first, in order of priority. The others follow, those that use the smallest fraction of their
    share first. Slots that a kind doesn't need are used by other kinds, and the kind gets them
    back as the requests of the others end.

    Parameters
    ----------
    context : QueueContext
        Limits and measurements.
    """

    def __init__(self, context: QueueContext) -> None:
        self._context = context
        self._queues: dict[tuple[str, str], deque[Ticket]] = defaultdict(deque)
        self._size = 0
        # Time of the last update and average slot use, by kind.
        self._average_use: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return self._size

    def admit(self, ticket: Ticket, use: SlotUse) -> RejectionReason | None:
        """Add a request unless the queue is full or too long to meet the request's deadline."""
        queue = self._queues[ticket.team, ticket.kind]
        response_ms = self._context.response_ms(ticket.kind)
        left_ms = ticket.deadline_ms - self._context.now_ms()
        slots = self._count_available_slots(ticket.kind, use)
        if left_ms < response_ms + (len(queue) + 1) * response_ms / slots:
            return RejectionReason.DEADLINE
        share = self._compute_share(ticket.kind)
        if len(queue) >= max(_MIN_QUEUE_LENGTH, share * self._context.max_length):
            return RejectionReason.QUEUE_FULL
        if self._size >= self._context.max_length + _MIN_QUEUE_LENGTH:
            return RejectionReason.QUEUE_FULL
        queue.append(ticket)
        self._size += 1
        return None

    def pop_next(self, use: SlotUse, can_serve: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the request that gets the next free slot."""
        for queue in self._order_queues(use):
            index = self._find_first_servable(queue, can_serve)
            if index is not None:
                ticket = queue[index]
                del queue[index]
                self._size -= 1
                return ticket
        return None

    def drop_late(self, *, check_all: bool = False) -> list[Ticket]:
        """Remove and return the requests that can no longer meet their deadline."""
        late: list[Ticket] = []
        for (_, kind), queue in self._queues.items():
            response_ms = self._context.response_ms(kind)
            while queue and self._is_late(queue[0], response_ms):
                late.append(queue.popleft())
            if check_all:
                found = [ticket for ticket in queue if self._is_late(ticket, response_ms)]
                for ticket in found:
                    queue.remove(ticket)
                late += found
        self._size -= len(late)
        return late

    def remove(self, ticket: Ticket) -> None:
        """Remove a request if it is there."""
        queue = self._queues.get((ticket.team, ticket.kind))
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self._size -= 1

    def list_next_tickets(self) -> list[Ticket]:
        """Return the request to serve next of each team and kind."""
        return [
            queue[-1] if self._is_overloaded(queue) else queue[0]
            for queue in self._list_non_empty_queues()
        ]

    def _list_non_empty_queues(self) -> list[deque[Ticket]]:
        return [queue for queue in self._queues.values() if queue]

    def _order_queues(self, use: SlotUse) -> list[deque[Ticket]]:
        keys = [key for key, queue in self._queues.items() if queue]
        if len(keys) == 1:
            return [self._queues[keys[0]]]
        kinds = {kind for _, kind in keys}
        ranks = {kind: self._compute_rank(kind, use) for kind in kinds}
        keys.sort(key=lambda key: (ranks[key[1]], use.busy[key]))
        return [self._queues[key] for key in keys]

    def _compute_rank(self, kind: str, use: SlotUse) -> tuple[bool, int, float]:
        busy = self._smooth_use(kind, use.count_busy(kind))
        used_fraction = busy / (self._compute_share(kind) * max(1, use.slots))
        if used_fraction >= _PRIORITY_SHARE_FRACTION:
            return True, 0, used_fraction
        return False, -self._context.shares.get(kind, Share()).priority, used_fraction

    def _smooth_use(self, kind: str, busy: int) -> float:
        now_ms = self._context.now_ms()
        previous_ms, average = self._average_use.get(kind, (now_ms, float(busy)))
        average += (busy - average) * (1 - math.exp((previous_ms - now_ms) / _AVERAGING_TIME_MS))
        self._average_use[kind] = (now_ms, average)
        # The average may be at most one slot below the current use, and never above it.
        return min(busy, max(average, busy - 1.0))

    def _compute_share(self, kind: str) -> float:
        shares = self._context.shares
        share = shares.get(kind, Share())
        weights = sum(declared.weight for declared in shares.values())
        if kind not in shares:
            weights += share.weight
        unguaranteed = 1.0 - sum(declared.guaranteed for declared in shares.values())
        return max(_MIN_SHARE, share.guaranteed + unguaranteed * share.weight / weights)

    def _count_available_slots(self, kind: str, use: SlotUse) -> float:
        """Return how many slots a kind can use while the other kinds have their current load."""
        waiting = Counter[str]()
        for (_, other), queue in self._queues.items():
            waiting[other] += len(queue)
        others = {other for _, other in use.busy} | set(waiting)
        used_by_others = sum(
            min(self._compute_share(other) * use.slots, use.count_busy(other) + waiting[other])
            for other in others - {kind}
        )
        return max(1.0, use.slots - used_by_others)

    def _find_first_servable(
        self, queue: deque[Ticket], can_serve: Callable[[Ticket], bool]
    ) -> int | None:
        indices = range(len(queue))
        if self._is_overloaded(queue):
            indices = range(len(queue) - 1, -1, -1)
        response_ms = self._context.response_ms(queue[0].kind)
        return next(
            (
                index
                for index in indices
                if can_serve(queue[index]) and not self._is_late(queue[index], response_ms)
            ),
            None,
        )

    def _is_overloaded(self, queue: deque[Ticket]) -> bool:
        oldest = queue[0]
        waited_ms = self._context.now_ms() - oldest.arrived_ms
        return waited_ms > _OVERLOAD_WAIT_FRACTION * (oldest.deadline_ms - oldest.arrived_ms)

    def _is_late(self, ticket: Ticket, response_ms: float) -> bool:
        return ticket.deadline_ms <= self._context.now_ms() + response_ms
