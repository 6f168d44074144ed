"""Task that owns a shard: its record, its worker connections and its exchanges."""

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

_INBOX_CAPACITY = 64
# Maximum time to wait for the first report of each worker after a takeover.
_FIRST_REPORT_TIMEOUT_MS = 3_000.0
# Delay before a record that can't be decoded is read again.
_DECODE_RETRY_DELAY_MS = 1_000.0


class ShardTask:
    """Task that manages one shard while the daemon owns it.

    Parameters
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    ownership : OwnershipState
        Determines, before each command and write, whether the daemon still owns the shard.
    platform : PlatformClient
        Client of the store.
    clock : Clock
        Time source.
    settings : Settings
        Periods and limits.
    connect_worker : callable
        Returns a client for the address of a worker.
    list_vms : callable
        Returns the latest list of VMs.
    are_previous_owners_retired : callable
        Returns whether it is certain that no previous owner can still renew task leases.
    on_change : callable
        Callback that runs after each change of the published runners.
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
        are_previous_owners_retired: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.inbox: Mailbox[ExchangeRequest] = Mailbox(max_messages=_INBOX_CAPACITY)
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
        self._are_previous_owners_retired = are_previous_owners_retired
        self._on_change = on_change
        self._ownership_lost = False
        self._write_done = anyio.Event()
        self._state_changed = anyio.Event()
        self._worker_loops: dict[str, tuple[str, anyio.CancelScope]] = {}
        self._start_ms = clock.now_ms()

    @property
    def may_act(self) -> bool:
        """Whether the task may currently send start and stop commands and write to the store."""
        return not self._ownership_lost and self._ownership.may_act(
            f"shard/{self.shard}", self.epoch
        )

    async def run(self) -> None:
        """Take over the shard, then manage it until cancelled or until ownership is lost."""
        if not await self._take_over():
            return
        log_event("shard taken over", shard=self.shard, epoch=self.epoch)
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_loop)
            group.start_soon(self._exchange_loop, group)
            while not self._ownership_lost:
                self._reconcile(group)
                await anyio.sleep(self._periods["worker_sync_ms"] / 1000)
            group.cancel_scope.cancel()
        log_event("shard ownership lost", shard=self.shard, epoch=self.epoch)

    async def flush(self, *, timeout_ms: float) -> None:
        """Wait up to `timeout_ms` until all changes are durable, before a handover."""
        with anyio.move_on_after(timeout_ms / 1000):
            while not self._ownership_lost and not self.state.record.is_settled:
                await self._write_done.wait()

    async def _take_over(self) -> bool:
        record = self.state.record
        while self.may_act:
            read = await self._platform.list(record.prefix)
            if isinstance(read, Success):
                try:
                    self.state.load(*read.unwrap().items)
                except RecordEpochError:
                    # Expected only if the ownership expired while the read was in flight.
                    if self.may_act:
                        raise
                    return False
                except MalformedMessageError as error:
                    log_event("cannot decode record", key=record.key, reason=str(error))
                    await anyio.sleep(_DECODE_RETRY_DELAY_MS / 1000)
                    continue
                write = record.start_write()
                if write is None or not await write_record(self._platform, record, write):
                    return False
                if record.is_fenced:
                    return True
            await anyio.sleep(self._periods["record_ms"] / 1000)
        return False

    def _reconcile(self, group: TaskGroup) -> None:
        if self._are_previous_owners_retired():
            self.state.retire_previous_owner()
        vms = self._list_vms()
        shard_vms = [vm for vm in vms if vm.role == "worker" and vm.rack == self.shard]
        self.state.observe_vms(shard_vms)
        if self.may_act:
            self.state.expire_leases()
            self.state.place()
        self._publish_runners()
        self._state_changed.set()
        # A replacement VM with the same name has a different address.
        addresses = {
            name: view.vm.address
            for name, view in self.state.workers.items()
            if is_address(view.vm.address)
        }
        for name, (address, scope) in list(self._worker_loops.items()):
            if addresses.get(name) != address:
                scope.cancel()
                del self._worker_loops[name]
        for name, address in addresses.items():
            if name not in self._worker_loops:
                scope = anyio.CancelScope()
                self._worker_loops[name] = (address, scope)
                group.start_soon(self._worker_loop, name, address, scope)

    async def _worker_loop(self, name: str, address: str, scope: anyio.CancelScope) -> None:
        period_ms = self._periods["worker_sync_ms"]
        client = self._connect_worker(address)
        with scope:
            async with anyio.create_task_group() as group:
                group.start_soon(client.run)
                while True:
                    await self._sync_worker(name, client)
                    await self._wait_for_next_sync(name, period_ms)

    async def _sync_worker(self, name: str, client: WorkerClient) -> None:
        # Batch tasks are renewed only in the session in which this task took over the shard, and
        # until the hold-over after an expired lease has passed. Other daemons infer from a later
        # session of this daemon that its earlier sessions no longer renew batch tasks.
        hold_over_ended = (
            self._ownership.since_expiry_ms > self._periods["hold_over_ms"]
            or self._ownership.session != self._session
        )
        request = self.state.plan_sync(
            name, may_start=self.may_act, may_renew_batch=not hold_over_ended
        )
        result = await client.sync(request)
        if isinstance(result, Failure):
            log_event("worker did not respond", worker=name, error=type(result.failure()).__name__)
            return
        if result.unwrap().worker != name:
            # The address was reassigned to another VM, and the list of VMs is not yet up to date.
            log_event(
                "report from a different worker",
                worker=name,
                reported_worker=result.unwrap().worker,
            )
            return
        if name in self.state.workers:
            self.state.observe_reply(name, result.unwrap())
            self._publish_runners()
            self._state_changed.set()

    async def _wait_for_next_sync(self, name: str, period_ms: float) -> None:
        # New placements are started as soon as they are durable instead of at the next period. A
        # short delay combines several of them into one request.
        with anyio.move_on_after(period_ms / 1000):
            while True:
                await self._write_done.wait()
                await anyio.sleep(self._periods["record_ms"] / 1000)
                if self.state.has_pending_commands(name):
                    return

    async def _write_loop(self) -> None:
        record = self.state.record
        while True:
            if not record.is_dirty:
                await self._state_changed.wait()
                self._state_changed = anyio.Event()
                continue
            if self.may_act:
                self.state.check_capacity()
                write = record.start_write()
                if write is not None and not await write_record(self._platform, record, write):
                    self._ownership_lost = True
                write_done, self._write_done = self._write_done, anyio.Event()
                write_done.set()
                if self._ownership_lost:
                    return
            await anyio.sleep(self._periods["record_ms"] / 1000)

    async def _exchange_loop(self, group: TaskGroup) -> None:
        async for envelope in self.inbox:
            result: Result[ExchangeReply, StaleExchange]
            if not self.may_act:
                envelope.respond(Failure(StaleExchange("not the owner now")))
                continue
            stale = self.state.apply_request(envelope.message)
            if stale is not None:
                envelope.respond(Failure(stale))
                continue
            self._state_changed.set()
            while not self.state.record.is_settled and not self._ownership_lost:
                await self._write_done.wait()
            if self._ownership_lost:
                result = Failure(StaleExchange("ownership was lost"))
            else:
                result = Success(self.state.build_exchange_reply(full=envelope.message.full))
            envelope.respond(result)

    def _publish_runners(self) -> None:
        # Until all workers have reported or the time limit has passed, nothing is published, so
        # that routers keep the runners of the previous owner instead of an incomplete list.
        elapsed_ms = self._clock.now_ms() - self._start_ms
        if elapsed_ms < _FIRST_REPORT_TIMEOUT_MS and not self.state.has_all_reports():
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
