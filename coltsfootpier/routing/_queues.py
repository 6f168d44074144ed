"""Waiting requests of one service: admission and order."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from coltsfootpier.routing._messages import RejectionReason, Share, Ticket

# A kind that the text guarantees nothing and leaves no remainder still makes progress.
_MIN_SHARE = 0.001
# Even a small share may queue a few requests, so that short bursts aren't refused.
_MIN_QUEUE = 8
# When the oldest request has used this part of its time in the queue, newer ones go first.
_OVERLOAD_PART = 0.5
# Part of its share up to which urgency decides. If it decided up to the whole share, an urgent
# kind in a flood would take the last slot each time and keep the others below their shares.
_URGENCY_PART = 0.5
# Shares are compared with the use averaged over this time. A share of one or two slots would
# otherwise have to wait in each short burst.
_AVERAGE_MS = 300.0


@attrs.define
class SlotUse:
    """Slots of a service that a daemon owns, as its queue sees them.

    Parameters
    ----------
    slots : int
        Usable slots.
    busy : Counter
        Slots in use by team and request kind.
    """

    slots: int = 0
    busy: Counter[tuple[str, str]] = attrs.field(factory=Counter)

    def busy_of(self, kind: str) -> int:
        """Return the slots in use by all teams of a request kind."""
        return sum(count for (_, known), count in self.busy.items() if known == kind)


class WaitingQueue(Protocol):
    """Waiting requests of one service."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        ...

    def admit(self, ticket: Ticket, use: SlotUse) -> RejectionReason | None:
        """Add a request, or return why it is refused."""
        ...

    def take(self, use: SlotUse, can_serve: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the request that gets the next free slot."""
        ...

    def drop_late(self, *, thorough: bool = False) -> list[Ticket]:
        """Remove and return the requests that can't meet their deadline any more.

        Parameters
        ----------
        thorough : bool, default=False
            Whether to look at all of them, or only at the oldest ones.
        """
        ...

    def remove(self, ticket: Ticket) -> None:
        """Remove a request if it is there."""
        ...

    def waiting(self) -> list[Ticket]:
        """Return one waiting request of each kind, the one to serve first."""
        ...


@attrs.define(kw_only=True)
class QueueContext:
    """What a queue needs to know.

    Parameters
    ----------
    length : int
        Requests that may wait.
    now_ms : callable
        Returns the time.
    answer_ms : callable
        Returns the measured answer time of a request kind.
    shares : mapping of str to Share
        Declared request kinds.
    """

    length: int
    now_ms: Callable[[], float]
    response_ms: Callable[[str], float]
    shares: Mapping[str, Share] = attrs.field(factory=dict)


class FifoQueue:
    """First in, first out up to the deadline (baseline).

    Parameters
    ----------
    context : QueueContext
        Bounds and measurements.
    """

    def __init__(self, context: QueueContext) -> None:
        self._context = context
        self._tickets: list[Ticket] = []

    def __len__(self) -> int:
        return len(self._tickets)

    def admit(self, ticket: Ticket, use: SlotUse) -> RejectionReason | None:
        """Add a request while there is room."""
        if len(self._tickets) >= self._context.length:
            return RejectionReason.QUEUE_FULL
        self._tickets.append(ticket)
        return None

    def take(self, use: SlotUse, can_serve: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the oldest request."""
        if not self._tickets or not can_serve(self._tickets[0]):
            return None
        return self._tickets.pop(0)

    def drop_late(self, *, thorough: bool = False) -> list[Ticket]:
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

    def waiting(self) -> list[Ticket]:
        """Return the oldest request."""
        return self._tickets[:1]


class FairQueue:
    """Weighted fair sharing of the slots between request kinds, and between teams of a kind.

    Each kind has a share: what the text guarantees it, and its weight's part of the rest. Kinds
    with less than half of their share go first, the more urgent before the less urgent; then the
    kind that has the smallest part of its share. Slots that a kind doesn't need are used by the
    others, and go back to it as requests end.

    Parameters
    ----------
    context : QueueContext
        Bounds and measurements.
    """

    def __init__(self, context: QueueContext) -> None:
        self._context = context
        self._lines: dict[tuple[str, str], deque[Ticket]] = defaultdict(deque)
        self._size = 0
        self._averages: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return self._size

    def admit(self, ticket: Ticket, use: SlotUse) -> RejectionReason | None:
        """Add a request if its kind's queue is short enough for its deadline."""
        line = self._lines[ticket.team, ticket.kind]
        response_ms = self._context.response_ms(ticket.kind)
        left_ms = ticket.deadline_ms - self._context.now_ms()
        slots = self._available_slots(ticket.kind, use)
        if left_ms < response_ms + (len(line) + 1) * response_ms / slots:
            return RejectionReason.DEADLINE
        share = self._share(ticket.kind)
        if len(line) >= max(_MIN_QUEUE, share * self._context.length):
            return RejectionReason.QUEUE_FULL
        if self._size >= self._context.length + _MIN_QUEUE:
            return RejectionReason.QUEUE_FULL
        line.append(ticket)
        self._size += 1
        return None

    def take(self, use: SlotUse, can_serve: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the request that gets the next free slot."""
        for line in self._order(use):
            index = self._first_servable(line, can_serve)
            if index is not None:
                ticket = line[index]
                del line[index]
                self._size -= 1
                return ticket
        return None

    def drop_late(self, *, thorough: bool = False) -> list[Ticket]:
        """Remove and return the requests that can't meet their deadline any more."""
        late: list[Ticket] = []
        for (_, kind), line in self._lines.items():
            response_ms = self._context.response_ms(kind)
            while line and self._is_late(line[0], response_ms):
                late.append(line.popleft())
            if thorough:
                found = [ticket for ticket in line if self._is_late(ticket, response_ms)]
                for ticket in found:
                    line.remove(ticket)
                late += found
        self._size -= len(late)
        return late

    def remove(self, ticket: Ticket) -> None:
        """Remove a request if it is there."""
        line = self._lines.get((ticket.team, ticket.kind))
        if line is not None and ticket in line:
            line.remove(ticket)
            self._size -= 1

    def waiting(self) -> list[Ticket]:
        """Return one waiting request of each kind and team, the one to serve first."""
        return [line[-1] if self._is_overloaded(line) else line[0] for line in self._full_lines()]

    def _full_lines(self) -> list[deque[Ticket]]:
        return [line for line in self._lines.values() if line]

    def _order(self, use: SlotUse) -> list[deque[Ticket]]:
        keys = [key for key, line in self._lines.items() if line]
        if len(keys) == 1:
            return [self._lines[keys[0]]]
        kinds = {kind for _, kind in keys}
        ranks = {kind: self._rank(kind, use) for kind in kinds}
        keys.sort(key=lambda key: (ranks[key[1]], use.busy[key]))
        return [self._lines[key] for key in keys]

    def _rank(self, kind: str, use: SlotUse) -> tuple[bool, int, float]:
        busy = self._average(kind, use.busy_of(kind))
        filled = busy / (self._share(kind) * max(1, use.slots))
        if filled >= _URGENCY_PART:
            return True, 0, filled
        return False, -self._context.shares.get(kind, Share()).priority, filled

    def _average(self, kind: str, busy: int) -> float:
        now_ms = self._context.now_ms()
        then_ms, average = self._averages.get(kind, (now_ms, float(busy)))
        average += (busy - average) * (1 - math.exp((then_ms - now_ms) / _AVERAGE_MS))
        self._averages[kind] = (now_ms, average)
        return min(busy, max(average, busy - 1.0))

    def _share(self, kind: str) -> float:
        shares = self._context.shares
        share = shares.get(kind, Share())
        weights = sum(known.weight for known in shares.values())
        if kind not in shares:
            weights += share.weight
        rest = 1.0 - sum(known.guaranteed for known in shares.values())
        return max(_MIN_SHARE, share.guaranteed + rest * share.weight / weights)

    def _available_slots(self, kind: str, use: SlotUse) -> float:
        """Return the slots that a kind can count on while the others keep their present load."""
        waiting = Counter[str]()
        for (_, known), line in self._lines.items():
            waiting[known] += len(line)
        others = {known for _, known in use.busy} | set(waiting)
        taken = sum(
            min(self._share(known) * use.slots, use.busy_of(known) + waiting[known])
            for known in others - {kind}
        )
        return max(1.0, use.slots - taken)

    def _first_servable(
        self, line: deque[Ticket], can_serve: Callable[[Ticket], bool]
    ) -> int | None:
        indices = range(len(line))
        if self._is_overloaded(line):
            indices = range(len(line) - 1, -1, -1)
        response_ms = self._context.response_ms(line[0].kind)
        return next(
            (
                index
                for index in indices
                if can_serve(line[index]) and not self._is_late(line[index], response_ms)
            ),
            None,
        )

    def _is_overloaded(self, line: deque[Ticket]) -> bool:
        oldest = line[0]
        waited_ms = self._context.now_ms() - oldest.arrived_ms
        return waited_ms > _OVERLOAD_PART * (oldest.deadline_ms - oldest.arrived_ms)

    def _is_late(self, ticket: Ticket, response_ms: float) -> bool:
        return ticket.deadline_ms <= self._context.now_ms() + response_ms
