"""Fakes for the interfaces of a daemon: platform, peers and workers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.peers import PeerClient
from coltsfootpier.platform import (
    Conflict,
    Item,
    LeaseLost,
    Listing,
    PlatformClient,
    StoreUnavailable,
    StoreUnknown,
    Vm,
    WatchResult,
)
from coltsfootpier.transport import BadReply, NotSent
from coltsfootpier.workers import Command, SyncRequest, WorkerClient
from soak._loop import Host, HostClock, VirtualLoop
from soak._network import Network
from standins.platform import Store
from standins.worker import Worker

_STORE_TIMEOUT_MS = 1_000.0
_PEER_TIMEOUT_MS = 1_000.0
_EXCHANGE_TIMEOUT_MS = 3_000.0
_WORKER_TIMEOUT_MS = 2_000.0


class FakeStore(Store):
    """Store of the stand-in for the platform, with faults, a list of VMs and a hook for writes.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop that provides the virtual time.
    host : Host
        Host whose clock determines the expiry of leases.
    vms_lag_s : float
        Delay after which changes of VMs appear in the list.

    Attributes
    ----------
    outage : bool
        Whether calls are rejected.
    silent : bool
        Whether calls get no response.
    slow_s : float
        Delay of each call in s.
    lose_answers : int
        Number of further writes that take effect without a response.
    vms : dict of str to Vm
        List of VMs by name.
    on_put : callable
        Called with key and value after each write of a key.
    """

    def __init__(self, *, loop: VirtualLoop, host: Host, vms_lag_s: float) -> None:
        super().__init__(clock=HostClock(loop=loop, host=host))
        self.host = host
        self.outage = False
        self.silent = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.vms: dict[str, Vm] = {}
        self.on_put: Callable[[str, Any], None] = lambda *_: None
        self._loop = loop
        self._vms_lag_s = vms_lag_s

    def put(self, key: str, value: Any, expected: int, lease: str) -> bool:
        """Expire leases, write a key like the base class, and call `on_put` after a write."""
        self.expire_leases()
        succeeded = super().put(key, value, expected, lease)
        if succeeded:
            self.on_put(key, value)
        return succeeded

    def renew(self, lease: str) -> bool:
        """Renew a lease unless it has expired."""
        self.expire_leases()
        return super().renew(lease)

    async def wait_for_change(self, duration_s: float) -> None:
        """Wait for a change of a key, for at most `duration_s` seconds."""
        with anyio.move_on_after(duration_s):
            await self.changed.wait()

    def update_vm(self, vm: Vm) -> None:
        """Update a VM in the list of VMs after the configured lag."""

        def update_list() -> None:
            self.vms[vm.name] = vm

        self._loop.call_after(self._vms_lag_s, update_list)


class FakePlatformClient(PlatformClient):
    """Platform client of one daemon, which calls the fake store over the simulated network.

    Parameters
    ----------
    store : FakeStore
        Store to call.
    network : Network
        Network that transmits the calls.
    loop : VirtualLoop
        Event loop that provides the virtual time.
    host : Host
        Host of the calling daemon.

    Attributes
    ----------
    calls_by_second : Counter of int
        Number of store calls in each second of true time.
    """

    def __init__(
        self, *, store: FakeStore, network: Network, loop: VirtualLoop, host: Host
    ) -> None:
        self._call_count = 0
        self.calls_by_second: Counter[int] = Counter()
        self._store = store
        self._network = network
        self._loop = loop
        self._host = host

    @property
    def call_count(self) -> int:
        """Number of store calls so far."""
        return self._call_count

    async def get(self, key: str) -> Result[Item, Any]:
        """Read one key."""
        return await self._call_store(lambda: Success(Item(**self._store.get(key))))

    async def put(self, key: str, value: Any, *, expected_version: int, lease: str = "") -> Result:
        """Write one key if its current version is `expected_version`."""

        def write() -> Result:
            succeeded = self._store.put(key, value, expected_version, lease)
            item = Item(**self._store.get(key))
            return Success(item) if succeeded else Failure(Conflict(item))

        return await self._call_store(write, is_write=True)

    async def delete(self, key: str, *, expected_version: int) -> Result:
        """Delete one key if its current version is `expected_version`."""

        def write() -> Result:
            succeeded = self._store.delete(key, expected_version)
            item = Item(**self._store.get(key))
            return Success(item) if succeeded else Failure(Conflict(item))

        return await self._call_store(write, is_write=True)

    async def list(self, prefix: str) -> Result[Listing, Any]:
        """Read all keys under a prefix."""

        def read() -> Result:
            items = tuple(Item(**item) for item in self._store.list(prefix))
            return Success(Listing(items, self._store.revision))

        return await self._call_store(read)

    async def watch(self, prefix: str, *, after: int, wait_ms: int) -> Result[WatchResult, Any]:
        """Wait for changes under a prefix."""

        async def wait() -> Result:
            end_s = self._loop.true_s + wait_ms / 1000
            while True:
                revision = self._store.revision
                changes = self._store.list_changes(prefix, after)
                if changes is None:
                    return Success(WatchResult((), revision, True))
                remaining_s = end_s - self._loop.true_s
                if changes or remaining_s <= 0:
                    return Success(WatchResult(tuple(Item(**item) for item in changes), revision))
                await self._store.wait_for_change(remaining_s)

        return await self._call_store(wait, timeout_ms=wait_ms + _STORE_TIMEOUT_MS)

    async def grant_lease(self, *, ttl_ms: float) -> Result[str, Any]:
        """Obtain a lease."""
        return await self._call_store(lambda: Success(self._store.grant(ttl_ms)), is_write=True)

    async def renew_lease(self, lease: str) -> Result[str, Any]:
        """Renew a lease."""
        return await self._call_store(
            lambda: Success(lease) if self._store.renew(lease) else Failure(LeaseLost(lease)),
            is_write=True,
        )

    async def revoke_lease(self, lease: str) -> Result[str, Any]:
        """Revoke a lease."""
        return await self._call_store(
            lambda: Success(lease) if self._store.revoke(lease) else Failure(LeaseLost(lease)),
            is_write=True,
        )

    async def list_vms(self) -> Result[tuple[Vm, ...], Any]:
        """Read the list of VMs."""
        return await self._call_store(lambda: Success(tuple(self._store.vms.values())))

    async def _call_store(
        self,
        operation: Callable[[], Any],
        *,
        is_write: bool = False,
        timeout_ms: float = _STORE_TIMEOUT_MS,
    ) -> Result[Any, Any]:
        self._call_count += 1
        self.calls_by_second[int(self._loop.true_s)] += 1
        store = self._store

        async def run_operation() -> Result:
            if store.silent:
                await anyio.sleep_forever()
            if store.outage:
                return Failure(StoreUnavailable("outage"))
            if store.slow_s:
                await anyio.sleep(store.slow_s)
            result = operation()
            if not isinstance(result, Result):
                result = await result
            if store.outage or store.silent or (is_write and store.lose_answers > 0):
                # The operation took effect; only its response is lost.
                store.lose_answers -= is_write
                await anyio.sleep_forever()
            return result

        call_result = await self._network.call(
            self._host, lambda: store.host, run_operation, timeout_ms=timeout_ms
        )
        if isinstance(call_result, Success):
            return call_result.unwrap()
        error = call_result.failure()
        if isinstance(error, NotSent):
            return Failure(StoreUnavailable(error.reason))
        return Failure(StoreUnknown(error.reason))


class FakePeerClient(PeerClient):
    """Peer client of one daemon, which calls another daemon over the simulated network.

    Parameters
    ----------
    network : Network
        Network that transmits the calls.
    host : Host
        Host of the calling daemon.
    find_process : callable
        Returns the daemon process that currently listens on the address, or None.
    """

    def __init__(self, *, network: Network, host: Host, find_process: Callable[[], Any]) -> None:
        self._network = network
        self._host = host
        self._find_process = find_process

    async def run(self) -> None:
        """Return at once, because there are no connections to run."""

    async def send_heartbeat(self, heartbeat: Any) -> Result:
        """Send a heartbeat."""
        return await self._call_peer(lambda daemon: daemon.on_heartbeat(heartbeat))

    async def push_revision(self, revision: Any) -> Result:
        """Send a durable revision."""
        return await self._call_peer(lambda daemon: daemon.on_revision(revision))

    async def pull_revision(self) -> Result:
        """Read the peer's revision."""
        return await self._call_peer(lambda daemon: daemon.on_pull_revision())

    async def pull_members(self) -> Result:
        """Read the peer's list of members."""
        return await self._call_peer(lambda daemon: daemon.on_pull_members())

    async def pull_runners(self) -> Result:
        """Read the runners that the peer publishes."""
        return await self._call_peer(lambda daemon: daemon.on_pull_runners())

    async def exchange(self, request: Any) -> Result:
        """Send one exchange request to a shard owner."""
        call_result = await self._call_peer(
            lambda daemon: daemon.on_exchange(request), timeout_ms=_EXCHANGE_TIMEOUT_MS
        )
        if isinstance(call_result, Failure):
            return call_result
        result = call_result.unwrap()
        if isinstance(result, Failure):
            return Failure(BadReply(str(result.failure()), 409))
        return result

    async def acquire_permit(self, request: Any, *, timeout_ms: float) -> Result:
        """Request a permit from the owner of a key group."""
        return await self._call_peer(
            lambda daemon: daemon.on_acquire_permit(request), timeout_ms=timeout_ms
        )

    async def copy_permits(self, request: Any, *, timeout_ms: float) -> Result:
        """Request that the peer store copies of records."""
        return await self._call_peer(
            lambda daemon: daemon.on_copy_permits(request), timeout_ms=timeout_ms
        )

    async def settle_permit(self, request: Any) -> Result:
        """Report the outcome of a request to the owner of its key group."""
        return await self._call_peer(lambda daemon: daemon.on_settle_permit(request))

    async def pull_permits(self, request: Any) -> Result:
        """Announce the ownership of a key group and read the peer's copies."""
        return await self._call_peer(lambda daemon: daemon.on_pull_permits(request))

    async def _call_peer(
        self, operation: Callable[[Any], Awaitable], *, timeout_ms: float = _PEER_TIMEOUT_MS
    ) -> Result:
        process = self._find_process()
        if process is None:
            return Failure(NotSent("no such address"))
        return await self._network.call(
            self._host,
            lambda: process.host,
            lambda: operation(process.daemon),
            timeout_ms=timeout_ms,
        )


@attrs.define
class _FakeRunner:
    """Runner that serves no requests and only has a port."""

    port: int


class FakeWorker(Worker):
    """Stand-in for a worker without sockets, which reports starts and ends of attempts to a hook.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop that provides the virtual time.
    host : Host
        Host of the worker process.
    size : tuple of (float, int, int)
        Cores, memory in MB and accelerators.
    incarnation : str
        Incarnation, unique among all starts of a worker on this VM.
    on_event : callable
        Called at the start and the end of each attempt, with ``started`` or the outcome, this
        worker and the command.
    """

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        host: Host,
        size: tuple[float, int, int],
        incarnation: str,
        on_event: Callable[[str, FakeWorker, Command], None],
    ) -> None:
        clock = HostClock(loop=loop, host=host)
        super().__init__(
            name=host.name,
            host="10.0.0.1",
            clock=clock,
            cores=size[0],
            memory_mb=size[1],
            accelerators=size[2],
        )
        self.process_host = host
        self.size = size
        self.incarnation = incarnation
        self._loop = loop
        self._on_event = on_event
        self._last_port = 1_000
        self._advanced_to_ms = clock.now_ms()

    def list_running(self) -> list[Command]:
        """Return the commands of the attempts that are actually running."""
        if self.process_host.dead:
            return []
        return [item.command for item in self._attempts.values() if item.state == "running"]

    def advance(self) -> None:
        """Advance the progress of running attempts to the current time and end expired ones."""
        now_ms = self._clock.now_ms()
        self._advance(now_ms - self._advanced_to_ms)
        self._advanced_to_ms = now_ms

    async def sync(self, request: SyncRequest) -> Any:
        """Execute commands and return the state of the worker at the current time."""
        self.advance()
        reply = await super().sync(request)
        self._schedule_lease_expiry()
        return reply

    def _schedule_lease_expiry(self) -> None:
        # Attempts end exactly at the end of their leases, also between two sync requests, so that
        # the safety margin of the shard owner is tested.
        now_ms = self._clock.now_ms()
        lease_ends_ms = [
            item.lease_until_ms for item in self._attempts.values() if item.state == "running"
        ]
        if lease_ends_ms:
            delay_s = max(0.0, min(lease_ends_ms) - now_ms) / 1000 / self.process_host.rate
            self._loop.call_after(min(delay_s, 60.0), self._apply_lease_expiry)

    def _apply_lease_expiry(self) -> None:
        if not self.process_host.dead:
            self.advance()

    async def _start_attempt(self, key: tuple[str, int], command: Command) -> None:
        started_before = self.started[command.task]
        await super()._start_attempt(key, command)
        if self.started[command.task] > started_before:
            self._on_event("started", self, command)

    def _end_attempt(self, attempt: Any, outcome: str, reason: str) -> None:
        if attempt.state != "ended":
            super()._end_attempt(attempt, outcome, reason)
            self._on_event(outcome, self, attempt.command)

    async def _open_runner(self, slots: int) -> Any:
        self._last_port += 1
        return _FakeRunner(self._last_port)

    def _close_runner(self, runner: Any) -> None:
        pass


class FakeWorkerClient(WorkerClient):
    """Worker client of one daemon, which calls a fake worker over the simulated network.

    Parameters
    ----------
    network : Network
        Network that transmits the calls.
    host : Host
        Host of the calling daemon.
    find_worker : callable
        Returns the worker that currently listens on the address, or None.
    """

    def __init__(
        self, *, network: Network, host: Host, find_worker: Callable[[], FakeWorker | None]
    ) -> None:
        self._network = network
        self._host = host
        self._find_worker = find_worker

    async def run(self) -> None:
        """Return at once, because there are no connections to run."""

    async def sync(self, request: SyncRequest) -> Result:
        """Send commands and read the worker's state."""
        worker = self._find_worker()
        if worker is None:
            return Failure(NotSent("no such address"))
        return await self._network.call(
            self._host,
            lambda: worker.process_host,
            lambda: worker.sync(request),
            timeout_ms=_WORKER_TIMEOUT_MS,
        )
