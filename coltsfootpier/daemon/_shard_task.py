"""The task that owns a shard: its record, its workers' connections and its messages."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.daemon._writer import write_record
from coltsfootpier.logs import log_event
from coltsfootpier.ownership import OwnershipState
from coltsfootpier.peers import PublishedRunners
from coltsfootpier.placement import (
    ExchangeReply,
    ExchangeRequest,
    ShardState,
    StaleExchange,
)
from coltsfootpier.platform import PlatformClient, Vm
from coltsfootpier.records import RecordEpochError
from coltsfootpier.routing import Runner
from coltsfootpier.settings import Settings
from coltsfootpier.transport import Mailbox, MalformedMessageError, is_address
from coltsfootpier.workers import WorkerClient

_INBOX = 64
# Longest wait for the first report of each worker after a take-over.
_FIRST_REPORTS_MS = 3_000.0
# Wait before a record that can't be read is read again.
_MALFORMED_RETRY_MS = 1_000.0


class ShardTask:
    """Owner of one shard.

    Parameters
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    ownership : OwnershipState
        Tells before each send whether the daemon still owns the shard.
    platform : PlatformClient
        The store.
    clock : Clock
        Time source.
    settings : Settings
        Periods and bounds.
    connect_worker : callable
        Returns the client for a worker's address.
    list_vms : callable
        Returns the newest list of VMs.
    is_retired : callable
        Tells whether the previous owner surely renews nothing any more.
    on_change : callable
        Called whenever the published runners changed.
    """

    def __init__(
        self,
        *,
        shard: str,
        epoch: int,
        ownership: OwnershipState,
        platform: PlatformClient,
        clock: Clock,
        settings: Settings,
        connect_worker: Callable[[str], WorkerClient],
        list_vms: Callable[[], tuple[Vm, ...]],
        is_retired: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.inbox: Mailbox[ExchangeRequest] = Mailbox(max_messages=_INBOX)
        self.published: PublishedRunners | None = None
        periods = settings.periods
        self.state = ShardState(
            shard=shard,
            epoch=epoch,
            writer=ownership.member,
            clock=clock,
            worker_lease_ms=periods["worker_lease_ms"],
            hold_over_ms=periods["hold_over_ms"],
        )
        self._ownership = ownership
        self._session = ownership.session
        self._platform = platform
        self._clock = clock
        self._periods = periods
        self._connect_worker = connect_worker
        self._list_vms = list_vms
        self._is_retired = is_retired
        self._on_change = on_change
        self._lost = False
        self._written = anyio.Event()
        self._changed = anyio.Event()
        self._loops: dict[str, tuple[str, anyio.CancelScope]] = {}
        self._began_ms = clock.now_ms()

    @property
    def may_act(self) -> bool:
        """Whether starts, stops and writes are allowed now."""
        return not self._lost and self._ownership.may_act(f"shard/{self.shard}", self.epoch)

    async def run(self) -> None:
        """Take the shard over, then act as its owner until cancelled or superseded."""
        if not await self._take_over():
            return
        log_event("shard taken over", shard=self.shard, epoch=self.epoch)
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_loop)
            group.start_soon(self._exchange_loop, group)
            while not self._lost:
                self._tick(group)
                await anyio.sleep(self._periods["worker_sync_ms"] / 1000)
            group.cancel_scope.cancel()
        log_event("shard lost", shard=self.shard, epoch=self.epoch)

    async def flush(self, *, timeout_ms: float) -> None:
        """Wait until every change is durable, before ownership is handed over."""
        with anyio.move_on_after(timeout_ms / 1000):
            while not self._lost and not self.state.record.settled:
                await self._written.wait()

    async def _take_over(self) -> bool:
        record = self.state.record
        while self.may_act:
            read = await self._platform.list(record.prefix)
            if isinstance(read, Success):
                try:
                    self.state.load(*read.unwrap().items)
                except RecordEpochError:
                    # Expected only when the ownership lapsed while the read was on its way.
                    if self.may_act:
                        raise
                    return False
                except MalformedMessageError as error:
                    log_event("record refused", key=record.key, reason=str(error))
                    await anyio.sleep(_MALFORMED_RETRY_MS / 1000)
                    continue
                write = record.begin_write()
                if write is None or not await write_record(self._platform, record, write):
                    return False
                if record.fenced:
                    return True
            await anyio.sleep(self._periods["record_ms"] / 1000)
        return False

    def _tick(self, group: TaskGroup) -> None:
        if self._is_retired():
            self.state.retire_previous_owner()
        vms = self._list_vms()
        mine = [vm for vm in vms if vm.role == "worker" and vm.rack == self.shard]
        self.state.observe_vms(mine)
        if self.may_act:
            self.state.check_leases()
            self.state.place()
        self._publish()
        self._changed.set()
        # A VM that is replaced under the same name has another address.
        addresses = {
            name: view.vm.address
            for name, view in self.state.workers.items()
            if is_address(view.vm.address)
        }
        for name, (address, scope) in list(self._loops.items()):
            if addresses.get(name) != address:
                scope.cancel()
                del self._loops[name]
        for name, address in addresses.items():
            if name not in self._loops:
                scope = anyio.CancelScope()
                self._loops[name] = (address, scope)
                group.start_soon(self._worker_loop, name, address, scope)

    async def _worker_loop(self, name: str, address: str, scope: anyio.CancelScope) -> None:
        period_ms = self._periods["worker_sync_ms"]
        client = self._connect_worker(address)
        with scope:
            async with anyio.create_task_group() as group:
                group.start_soon(client.run)
                while True:
                    await self._sync_worker(name, client)
                    await self._wait_for_work(name, period_ms)

    async def _sync_worker(self, name: str, client: WorkerClient) -> None:
        # A later session of this daemon counts as the end of what earlier ones renewed.
        held_over = (
            self._ownership.lapsed_ms > self._periods["hold_over_ms"]
            or self._ownership.session != self._session
        )
        request = self.state.plan_sync(name, may_start=self.may_act, may_renew_batch=not held_over)
        result = await client.sync(request)
        if isinstance(result, Failure):
            log_event("worker silent", worker=name, error=type(result.failure()).__name__)
            return
        if result.unwrap().worker != name:
            # The address has passed to another VM, and the list of VMs lags.
            log_event("report of another worker", worker=name, found=result.unwrap().worker)
            return
        if name in self.state.workers:
            self.state.observe_reply(name, result.unwrap())
            self._publish()
            self._changed.set()

    async def _wait_for_work(self, name: str, period_ms: float) -> None:
        # New placements are started as soon as they are durable and not only at the next
        # period; a short pause lets several of them share an exchange.
        with anyio.move_on_after(period_ms / 1000):
            while True:
                await self._written.wait()
                await anyio.sleep(self._periods["record_ms"] / 1000)
                if self.state.has_unstarted(name):
                    return

    async def _write_loop(self) -> None:
        record = self.state.record
        while True:
            if not record.dirty:
                await self._changed.wait()
                self._changed = anyio.Event()
                continue
            if self.may_act:
                self.state.check_capacity()
                write = record.begin_write()
                if write is not None and not await write_record(self._platform, record, write):
                    self._lost = True
                written, self._written = self._written, anyio.Event()
                written.set()
                if self._lost:
                    return
            await anyio.sleep(self._periods["record_ms"] / 1000)

    async def _exchange_loop(self, group: TaskGroup) -> None:
        async for envelope in self.inbox:
            result: Result[ExchangeReply, StaleExchange]
            if not self.may_act:
                envelope.respond(Failure(StaleExchange("not the owner now")))
                continue
            stale = self.state.receive(envelope.message)
            if stale is not None:
                envelope.respond(Failure(stale))
                continue
            self._changed.set()
            while not self.state.record.settled and not self._lost:
                await self._written.wait()
            if self._lost:
                result = Failure(StaleExchange("ownership was lost"))
            else:
                result = Success(self.state.report(full=envelope.message.full))
            envelope.respond(result)

    def _publish(self) -> None:
        # Until the workers have reported, the runners that the previous owner published are
        # better than an empty list.
        waited_ms = self._clock.now_ms() - self._began_ms
        if waited_ms < _FIRST_REPORTS_MS and not self.state.has_all_reports():
            return
        runners: list[Runner] = []
        for entry in self.state.record.durable.values():
            view = self.state.workers.get(entry.worker)
            report = view.reports.get((entry.task, entry.attempt)) if view else None
            if entry.spec.kind != "service" or report is None or not report.address:
                continue
            if report.state != "running" or not is_address(report.address):
                continue
            leaving = entry.state != "placed" or view.vm.state != "live"
            runners.append(
                Runner(
                    id=f"{entry.task}#{entry.attempt}",
                    service=entry.spec.declared,
                    address=report.address,
                    availability_zone=view.vm.availability_zone,
                    worker=entry.worker,
                    slots=entry.spec.slots,
                    connections=entry.spec.connections,
                    leaving=leaving,
                )
            )
        published = PublishedRunners(
            shard=self.shard,
            epoch=self.epoch,
            runners=tuple(sorted(runners, key=lambda runner: runner.id)),
        )
        if published != self.published:
            self.published = published
            self._on_change()
