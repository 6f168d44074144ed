"""Verification that no later owner of the cell exists, by reads of the head record.

A claim always replaces the head record, whatever has happened to the earlier owner's key. So no
later owner existed when a read was sent that shows the owner's own head, or when a change was first
sent that expected it and took effect. A renewal of the lease proves nothing, since the platform may
remove the owner's key while its lease goes on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import anyio
import attrs
from returns.result import Failure, Result

from coltsfootpier.clock import Clock
from coltsfootpier.journal import Head, decode_head
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.node.keys import HEAD_KEY
from coltsfootpier.platform import Item, PlatformError
from coltsfootpier.transport import MalformedMessageError

# Maximum number of concurrent reads: as many as are sent until the first reaches its time limit.
# `StoreClient` has a connection for each.
_MAX_IN_FLIGHT = 1 + int(_timing.STORE_TIMEOUT_MS / _timing.HEAD_READ_PERIOD_MS)


@attrs.frozen
class OwnHead:
    """The head record is the owner's own, so no later owner existed when the read was sent."""


@attrs.frozen
class LaterHead:
    """Another daemon has written the head record."""

    head: Head


@attrs.frozen
class UnclearHead:
    """The response shows neither the owner's head nor that of a later owner."""

    reason: str


def examine_head(
    item: Item, *, generation: int, holder: str, raised_generation: int = 0
) -> OwnHead | LaterHead | UnclearHead:
    """Return what a read of the head record shows to an owner.

    Parameters
    ----------
    item : Item
        Item that was read.
    generation, holder : int, str
        Generation that the owner's claim wrote, and the owner's holder.
    raised_generation : int, default=0
        Highest generation to which the owner has raised its head since; 0 for none.

    Examples
    --------
    >>> value = b'{"generation": 3, "holder": "a", "sequence": 9}'
    >>> examine_head(Item(HEAD_KEY, value, 7, 7), generation=3, holder="a")
    OwnHead()
    >>> examine_head(Item(HEAD_KEY, value, 7, 7), generation=2, holder="b").head.holder
    'a'
    """
    if item.key != HEAD_KEY:
        return UnclearHead(f"the response is for key {item.key!r}")
    try:
        head = decode_head(item.value)
    except MalformedMessageError as error:
        return UnclearHead(str(error))
    if head.generation < generation:
        return UnclearHead(f"generation {head.generation} is earlier than {generation}")
    if head.holder != holder or head.generation > max(generation, raised_generation):
        return LaterHead(head)
    return OwnHead()


class HeadReadSchedule:
    """Decides when the head record is read next.

    A read is due once nothing has confirmed the ownership for a period, whether or not earlier
    reads got a response, since a lost one may block the next for longer than a proof is valid. A
    demand is served by the next read after it; one read serves all demands before it, and the next
    one waits until it has ended or the period has passed.

    Parameters
    ----------
    confirmed_ms : float
        Local time at which no later owner existed.

    Examples
    --------
    >>> schedule = HeadReadSchedule(confirmed_ms=1_000.0)
    >>> schedule.compute_due_ms()
    1200.0
    >>> schedule.record_demand(1_050.0)
    >>> schedule.compute_due_ms() <= 1_050.0
    True
    """

    def __init__(self, *, confirmed_ms: float) -> None:
        self.confirmed_ms = confirmed_ms
        self._demanded_ms = float("-inf")
        self._last_sent_ms = float("-inf")
        self._in_flight = 0

    def record_confirmation(self, sent_ms: float) -> None:
        """Record that no later owner existed at a local time."""
        self.confirmed_ms = max(self.confirmed_ms, sent_ms)

    def record_demand(self, now_ms: float) -> None:
        """Record that a confirmation is needed that is sent after a local time."""
        self._demanded_ms = max(self._demanded_ms, now_ms)

    def record_sent(self, now_ms: float) -> None:
        """Record that a read is about to be sent."""
        self._last_sent_ms = now_ms
        self._in_flight += 1

    def record_end(self) -> None:
        """Record that a read got a response or reached its time limit."""
        self._in_flight -= 1

    def compute_due_ms(self) -> float:
        """Return the local time at which the next read is due; infinite while too many are sent."""
        if self._in_flight >= _MAX_IN_FLIGHT:
            return float("inf")
        if self._demanded_ms < max(self._last_sent_ms, self.confirmed_ms):
            return max(self._last_sent_ms, self.confirmed_ms) + _timing.HEAD_READ_PERIOD_MS
        pause_ms = _timing.HEAD_READ_PERIOD_MS if self._in_flight else _timing.HEAD_READ_PAUSE_MS
        return self._last_sent_ms + pause_ms


class HeadStore(Protocol):
    """Read of the store; `coltsfootpier.platform.StoreClient` implements it."""

    async def probe(self, key: str, *, timeout_ms: float) -> Result[Item, PlatformError]:
        """Read the current value of one key, independently of other calls."""
        ...


class OwnershipVerifier:
    """Confirms while a daemon owns the cell that no later owner exists.

    Parameters
    ----------
    store : HeadStore
        The store.
    clock : Clock
        Time source.
    head : Head
        Head that the claim of the cell wrote.
    confirmed_ms : float
        Local time before the claim.
    on_confirmed : callable
        Called with each local time at which no later owner existed.
    on_replaced : callable
        Called with the head of a later owner.
    """

    def __init__(
        self,
        *,
        store: HeadStore,
        clock: Clock,
        head: Head,
        confirmed_ms: float,
        on_confirmed: Callable[[float], None],
        on_replaced: Callable[[Head], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._head = head
        self._raised_generation = 0
        self._on_confirmed = on_confirmed
        self._on_replaced = on_replaced
        self._schedule = HeadReadSchedule(confirmed_ms=confirmed_ms)
        self._wake = anyio.Event()
        # Set at the next confirmation or at the end, and then replaced by a new event.
        self._changed = anyio.Event()
        self._is_ended = False
        self._unclear_reason = ""
        self.read_count = 0

    @property
    def confirmed_ms(self) -> float:
        """Latest local time at which no later owner existed."""
        return self._schedule.confirmed_ms

    def record_confirmation(self, sent_ms: float) -> None:
        """Record that no later owner existed at a local time, as a read or a change has shown."""
        self._schedule.record_confirmation(sent_ms)
        self._on_confirmed(sent_ms)
        self._notify()

    def record_head(self, head: Head) -> None:
        """Record that the owner is about to write a head, which may have a higher generation."""
        self._raised_generation = max(self._raised_generation, head.generation)

    async def run(self) -> None:
        """Read the head record whenever a read is due, until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                while True:
                    self._wake = anyio.Event()
                    now_ms = self._clock.now_ms()
                    due_ms = self._schedule.compute_due_ms()
                    if due_ms <= now_ms:
                        self._schedule.record_sent(now_ms)
                        group.start_soon(self._read, now_ms)
                        continue
                    with anyio.move_on_after((due_ms - now_ms) / 1000):
                        await self._wake.wait()
        finally:
            self._end()

    async def confirm(self, *, timeout_ms: float) -> bool:
        """Return whether no later owner existed at some time after this call.

        Parameters
        ----------
        timeout_ms : float
            Time after which the answer is no.
        """
        requested_ms = self._clock.now_ms()
        self._schedule.record_demand(requested_ms)
        self._wake.set()
        with anyio.move_on_after(timeout_ms / 1000):
            while self.confirmed_ms <= requested_ms and not self._is_ended:
                await self._changed.wait()
        # After a freeze, a response may be handled although the time limit has passed.
        is_late = self._clock.now_ms() - requested_ms > timeout_ms
        return self.confirmed_ms > requested_ms and not is_late

    async def _read(self, sent_ms: float) -> None:
        self.read_count += 1
        try:
            result = await self._store.probe(HEAD_KEY, timeout_ms=_timing.STORE_TIMEOUT_MS)
        finally:
            self._schedule.record_end()
            self._wake.set()
        if isinstance(result, Failure):
            return
        own = self._head
        finding = examine_head(
            result.unwrap(),
            generation=own.generation,
            holder=own.holder,
            raised_generation=self._raised_generation,
        )
        if isinstance(finding, LaterHead):
            self._end()
            self._on_replaced(finding.head)
            return
        # An odd value proves nothing, and doesn't show that another daemon owns the cell either.
        reason = finding.reason if isinstance(finding, UnclearHead) else ""
        if reason and reason != self._unclear_reason:
            log_event("head record unclear", generation=own.generation, reason=reason)
        self._unclear_reason = reason
        if isinstance(finding, OwnHead):
            self.record_confirmation(sent_ms)

    def _end(self) -> None:
        self._is_ended = True
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
