"""Task that runs the dispatcher: its ledger and its exchanges with shard owners."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from returns.result import Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.configuration import RevisionState
from coltsfootpier.daemon._writer import write_record
from coltsfootpier.dispatch import Dispatcher, Ledger
from coltsfootpier.logs import log_event
from coltsfootpier.ownership import DISPATCH_PARTITION, OwnershipState
from coltsfootpier.placement import ExchangeReply, ExchangeRequest
from coltsfootpier.platform import PlatformClient
from coltsfootpier.records import RecordEpochError, VersionedRecord, Write
from coltsfootpier.settings import Settings
from coltsfootpier.transport import MalformedMessageError

# Time between exchanges with a shard for which the dispatcher has no changes.
_EXCHANGE_PERIOD_MS = 1_000.0
# Delay before a ledger that can't be decoded is read again.
_DECODE_RETRY_DELAY_MS = 1_000.0

SendExchange = Callable[[str, ExchangeRequest], Awaitable[Result[ExchangeReply, object]]]


class DispatchTask:
    """Task that runs the dispatcher while the daemon owns it.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership.
    ownership : OwnershipState
        Owners of all shards, and the state of the daemon's own lease.
    revisions : RevisionState
        Configuration in force.
    platform : PlatformClient
        Client of the store.
    clock : Clock
        Time source.
    settings : Settings
        Periods and limits.
    send_exchange : callable
        Callback that sends one exchange request to the owner of a shard.
    """

    def __init__(
        self,
        *,
        epoch: int,
        ownership: OwnershipState,
        revisions: RevisionState,
        platform: PlatformClient,
        clock: Clock,
        settings: Settings,
        send_exchange: SendExchange,
    ) -> None:
        self.epoch = epoch
        ledger = Ledger(epoch=epoch, writer=ownership.member)
        self.dispatcher = Dispatcher(clock=clock, ledger=ledger)
        self._ownership = ownership
        self._revisions = revisions
        self._platform = platform
        self._clock = clock
        self._period_ms = settings.periods["dispatch_ms"]
        self._send_exchange = send_exchange
        self._ownership_lost = False
        self._shards: set[str] = set()

    @property
    def may_act(self) -> bool:
        """Whether the task may currently make decisions and write to the store."""
        return not self._ownership_lost and self._ownership.may_act(DISPATCH_PARTITION, self.epoch)

    async def run(self) -> None:
        """Take over the ledger, then dispatch until cancelled or until ownership is lost."""
        if not await self._take_over():
            return
        log_event("dispatcher taken over", epoch=self.epoch)
        async with anyio.create_task_group() as group:
            while not self._ownership_lost:
                if self.may_act:
                    await self._make_decisions(group)
                await anyio.sleep(self._period_ms / 1000)
            group.cancel_scope.cancel()
        log_event("dispatcher ownership lost", epoch=self.epoch)

    async def flush(self, *, timeout_ms: float) -> None:
        """Wait up to `timeout_ms` until all changes are durable, before a handover."""
        with anyio.move_on_after(timeout_ms / 1000):
            while not all(record.is_settled for record in self.dispatcher.ledger.records):
                await anyio.sleep(self._period_ms / 1000)

    async def _take_over(self) -> bool:
        ledger = self.dispatcher.ledger
        while self.may_act:
            listing = await self._platform.list("records/ledger/")
            if isinstance(listing, Success):
                try:
                    ledger.load(listing.unwrap().items)
                except RecordEpochError:
                    # Expected only if the ownership expired while the read was in flight.
                    if self.may_act:
                        raise
                    return False
                except MalformedMessageError as error:
                    log_event("cannot decode ledger", reason=str(error))
                    await anyio.sleep(_DECODE_RETRY_DELAY_MS / 1000)
                    continue
                await self._write_all()
                if self._ownership_lost:
                    return False
                if ledger.is_fenced:
                    return True
            await anyio.sleep(self._period_ms / 1000)
        return False

    async def _make_decisions(self, group: TaskGroup) -> None:
        partitions = self._ownership.table.partitions
        epochs = {
            name.removeprefix("shard/"): ownership.epoch
            for name, ownership in partitions.items()
            if name.startswith("shard/")
        }
        self.dispatcher.observe_shards(epochs)
        revisions = self._revisions
        self.dispatcher.observe_declaration(revisions.revision.revision, revisions.declaration)
        self.dispatcher.step()
        await self._write_all()
        for shard in sorted(epochs.keys() - self._shards):
            self._shards.add(shard)
            group.start_soon(self._shard_loop, shard)

    async def _write_all(self) -> None:
        async with anyio.create_task_group() as group:
            for record, write in self.dispatcher.ledger.prepare_writes():
                group.start_soon(self._write, record, write)

    async def _write(self, record: VersionedRecord, write: Write) -> None:
        if not await write_record(self._platform, record, write):
            self._ownership_lost = True

    async def _shard_loop(self, shard: str) -> None:
        last_exchange_ms = self._clock.now_ms()
        while True:
            await anyio.sleep(self._period_ms / 1000)
            if not self.may_act:
                continue
            is_due = self._clock.now_ms() - last_exchange_ms >= _EXCHANGE_PERIOD_MS
            request = self.dispatcher.build_next_request(shard, regular=is_due)
            if request is None:
                continue
            last_exchange_ms = self._clock.now_ms()
            result = await self._send_exchange(shard, request)
            if isinstance(result, Success):
                self.dispatcher.observe_reply(result.unwrap())
