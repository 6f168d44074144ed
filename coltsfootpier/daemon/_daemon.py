"""Daemon of one entry VM: servers, tasks of owned partitions and connections to peers."""

from __future__ import annotations

import secrets
import socket
from collections import Counter
from collections.abc import Callable

import anyio
import attrs
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.backend_servers import RunnerPool
from coltsfootpier.burn import BurnReport, RequestStats, StatsSnapshot, build_report
from coltsfootpier.callers import CallerApplication
from coltsfootpier.clock import Clock, MonotonicClock
from coltsfootpier.configuration import Revision
from coltsfootpier.daemon._control import (
    Control,
    spawn,
)
from coltsfootpier.daemon._dispatch_task import DispatchTask
from coltsfootpier.daemon._metrics import render_metrics
from coltsfootpier.daemon._permits import PermitService
from coltsfootpier.daemon._replies import (
    build_apply_reply,
    build_dispatch_status,
    list_entry_vms,
)
from coltsfootpier.daemon._shard_task import ShardTask
from coltsfootpier.daemon._slots import SlotBroker
from coltsfootpier.declaration import PRIORITIES
from coltsfootpier.logs import log_event
from coltsfootpier.operators import (
    ApplyReply,
    ApplyRequest,
    StatusReply,
    build_operator_application,
)
from coltsfootpier.ownership import DISPATCH_PARTITION
from coltsfootpier.peers import (
    BorrowSlot,
    Heartbeat,
    LentSlot,
    MemberList,
    PeerClient,
    ReturnSlot,
    RunnerTable,
    build_peer_application,
)
from coltsfootpier.permits import (
    AcquirePermit,
    CopyPermits,
    CopyReply,
    PermitReply,
    PulledPermits,
    PullPermits,
    SettlePermit,
    SettleReply,
)
from coltsfootpier.placement import ExchangeReply, ExchangeRequest, StaleExchange
from coltsfootpier.platform import PlatformClient
from coltsfootpier.routing import Router, Share
from coltsfootpier.settings import Settings
from coltsfootpier.transport import (
    AsgiApp,
    BadReply,
    ConnectionGroup,
    ConnectionLimits,
    ProcessBudget,
    Server,
    build_protocol,
    is_address,
    read_max_files,
    split_address,
)
from coltsfootpier.workers import WorkerClient

_EXCHANGE_TIMEOUT_MS = 2_500.0
_CONNECTION_LIMITS = ConnectionLimits()
# The port may use the descriptors of the process divided by this number.
_CALLERS_DIVISOR = 2
_PEERS_DIVISOR = 8
_OPERATORS_DIVISOR = 16
_POLL_MS = 50.0
# Maximum time for which a stopping daemon waits until the new owners of its key groups have pulled
# the permit records.
_SUCCESSOR_TIMEOUT_MS = 3_000.0
# Time without a response from the store after which a daemon without reachable peers reports itself
# as not ready, so that the load balancer sends it no requests.
_ISOLATION_TIMEOUT_MS = 10_000.0
# Time without a response from the store after which the daemon polls the seeds.
_SEED_FALLBACK_DELAY_MS = 1_000.0


@attrs.define(kw_only=True)
class _Peer:
    """Connection to a peer, and the versions of its data that this daemon received last."""

    client: PeerClient
    scope: anyio.CancelScope
    revision: int = 0
    runners_version: int = -1


@attrs.frozen(kw_only=True)
class Interfaces:
    """Clients of the platform, peers and workers; randomised simulations replace them.

    Parameters
    ----------
    platform : PlatformClient
        Client of the store and of the list of VMs.
    connect_peer, connect_worker : callable
        Return the client for an ``IP:PORT``.
    incarnation : str
        Identifier of this start of the daemon, unique among all daemons.
    """

    platform: PlatformClient
    connect_peer: Callable[[str], PeerClient]
    connect_worker: Callable[[str], WorkerClient]
    incarnation: str

    @classmethod
    def over_tcp(cls, *, settings: Settings, clock: Clock) -> Interfaces:
        """Return clients that use TCP connections."""
        host, port = settings.platform["address"]
        # A call times out after two sync periods without a response from the worker.
        worker_timeout_ms = 2 * settings.periods["worker_sync_ms"]

        def connect_worker(address: str) -> WorkerClient:
            worker_host, worker_port = split_address(address)
            return WorkerClient(
                host=worker_host,
                port=worker_port,
                clock=clock,
                timeout_ms=worker_timeout_ms,
            )

        return cls(
            platform=PlatformClient(
                host=host, port=port, clock=clock, timeout_ms=settings.platform["timeout_ms"]
            ),
            connect_peer=lambda address: PeerClient(address=address, clock=clock),
            connect_worker=connect_worker,
            incarnation=secrets.token_hex(4),
        )


class Daemon:
    """Daemon of one entry VM.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    listeners : dict of str to socket, optional
        Bound sockets for ``callers``, ``peers`` and ``operators``. Required by `run`.
    clock : Clock, optional
        Time source.
    interfaces : Interfaces, optional
        Clients of the platform, peers and workers; TCP connections by default.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        listeners: dict[str, socket.socket] | None = None,
        clock: Clock | None = None,
        interfaces: Interfaces | None = None,
    ) -> None:
        if listeners is not None:
            # With port 0 in the settings the operating system selects a free port, which is known
            # only from the bound socket.
            listen = {endpoint: bound.getsockname()[:2] for endpoint, bound in listeners.items()}
            settings = attrs.evolve(settings, listen=listen)
        self._listeners = listeners or {}
        self._settings = settings
        self._clock = clock or MonotonicClock()
        self._interfaces = interfaces or Interfaces.over_tcp(settings=settings, clock=self._clock)
        self._platform = self._interfaces.platform
        self._budget = ProcessBudget.from_memory(settings.bounds["memory_mb"])
        # Number of connections by what a limit did to them, and by the limit.
        self._limit_counts: Counter[tuple[str, str]] = Counter()
        self._changed = anyio.Event()
        self.control = Control(
            settings=settings,
            platform=self._platform,
            clock=self._clock,
            on_change=self._notify_change,
            on_suspend=self._suspend_partitions,
            incarnation=self._interfaces.incarnation,
        )
        bounds = settings.bounds
        self.router = Router(
            clock=self._clock,
            availability_zone=settings.daemon["availability_zone"],
            queue_length=bounds["queue_length"],
        )
        self.stats = RequestStats(clock=self._clock)
        self._slots = SlotBroker(router=self.router, clock=self._clock, get_peer=self._get_peer)
        self._pool = RunnerPool(
            clock=self._clock,
            entry_vms=bounds["entry_vms"],
            max_body_bytes=bounds["answer_body_bytes"],
        )
        self.permits = PermitService(
            settings=settings,
            clock=self._clock,
            control=self.control,
            get_peer=self._get_peer,
            connect_peer=self._interfaces.connect_peer,
        )
        self._callers = CallerApplication(
            clock=self._clock,
            slots=self._slots,
            permits=self.permits,
            pool=self._pool,
            stats=self.stats,
            get_declaration=lambda: self.control.revisions.declaration,
            max_body_bytes=bounds["request_body_bytes"],
            default_deadline_ms=bounds["default_deadline_ms"],
        )
        self._peers: dict[str, _Peer] = {}
        self._shards: dict[tuple[str, int], tuple[ShardTask, anyio.CancelScope]] = {}
        self._dispatch: tuple[DispatchTask, anyio.CancelScope] | None = None
        self._runners_version = 0
        self._draining = False
        self._stopping = anyio.Event()

    # Life cycle

    async def run(self) -> None:
        """Serve requests until `stop` is called, then drain."""
        listen = self._settings.listen
        caller_server = self._build_server(
            self._callers, "callers", _CALLERS_DIVISOR, self._settings.bounds["caller_connections"]
        )
        peer_server = self._build_server(build_peer_application(self), "peers", _PEERS_DIVISOR)
        operator_server = self._build_server(
            build_operator_application(self), "operators", _OPERATORS_DIVISOR
        )
        async with anyio.create_task_group() as group:
            for server in (operator_server, peer_server, caller_server):
                await group.start(server.run)
            group.start_soon(self._pool.run)
            group.start_soon(self.run_scheduling)
            group.start_soon(self._slots.run)
            log_event("started", **{endpoint: port for endpoint, (_, port) in listen.items()})
            await self._stopping.wait()
            await self._drain(caller_server)
            peer_server.stop()
            operator_server.stop()
            group.cancel_scope.cancel()
        log_event("daemon stopped")

    def _build_server(
        self, app: AsgiApp, endpoint: str, divisor: int, max_connections: int | None = None
    ) -> Server:
        """Build the server of a port that may use the descriptors divided by `divisor`."""
        host, port = self._settings.listen[endpoint]
        connections = ConnectionGroup.from_limits(
            max_files=read_max_files(),
            memory_mb=self._settings.bounds["memory_mb"],
            divisor=divisor,
            max_connections=max_connections,
        )
        protocol = build_protocol(
            lambda: _CONNECTION_LIMITS,
            lambda bound: self._record_limit("connection closed", bound),
            budget=self._budget,
            group=connections,
            on_slowed=lambda bound: self._record_limit("connection slowed", bound),
        )
        return Server(
            app=app,
            host=host,
            port=port,
            listener=self._listeners.get(endpoint),
            protocol=protocol,
            backlog=connections.backlog,
            max_unread_bytes=connections.max_unread_bytes,
        )

    def _record_limit(self, event: str, bound: str) -> None:
        self._limit_counts[(event.rpartition(" ")[2], bound)] += 1
        log_event(event, bound=bound)

    async def run_scheduling(self) -> None:
        """Run membership, ownership and the owned partitions until cancelled.

        Requires no server, so that simulations can call the message handlers directly.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.control.run)
            group.start_soon(self.permits.run)
            group.start_soon(self._reconcile_loop, group)
            group.start_soon(self._expire_loop)
            group.start_soon(self._run_seed_clients)

    def stop(self) -> None:
        """Request a graceful stop."""
        self._stopping.set()

    async def _drain(self, caller_server: Server) -> None:
        self._draining = True
        self._callers.is_draining = True
        log_event("drain started", in_flight=self._callers.in_flight)
        await anyio.sleep(self._settings.periods["drain_delay_ms"] / 1000)
        caller_server.stop()
        # The server ends once all responses have left the socket buffers. If a caller reads
        # slowly, this is later than the end of the last request.
        with anyio.move_on_after(self._settings.periods["drain_limit_ms"] / 1000):
            await caller_server.ended.wait()
        if not caller_server.ended.is_set():
            log_event("drain limit reached", in_flight=self._callers.in_flight)
        await self.control.hand_over(before_leaving=self._wait_for_successors)

    async def _wait_for_successors(self) -> None:
        await self.permits.wait_for_successors(timeout_ms=_SUCCESSOR_TIMEOUT_MS)

    def _notify_change(self) -> None:
        self._changed.set()

    # Partitions

    async def _reconcile_loop(self, group: TaskGroup) -> None:
        while True:
            self._reconcile(group)
            with anyio.move_on_after(self._settings.periods["heartbeat_ms"] / 1000):
                await self._changed.wait()
            self._changed = anyio.Event()

    def _reconcile(self, group: TaskGroup) -> None:
        ownership = self.control.ownership
        self._slots.member = ownership.member
        self.control.members.remove_suspects()
        self._reconcile_peers(group)
        members = self.control.members
        availability_zones = {
            member_id: members.members[member_id].availability_zone
            for member_id in members.list_reachable()
        }
        self.router.observe_members(ownership.member, availability_zones)
        self._update_shares()
        self.permits.reconcile()
        for (shard, epoch), (_, scope) in list(self._shards.items()):
            # A shard whose ownership expired without a new owner continues to renew the leases of
            # its tasks.
            if ownership.epoch_of(f"shard/{shard}") != epoch:
                scope.cancel()
                del self._shards[shard, epoch]
        for partition, epoch in ownership.list_assigned_epochs().items():
            shard = partition.removeprefix("shard/")
            if not ownership.may_act(partition, epoch):
                continue
            if partition.startswith("shard/") and (shard, epoch) not in self._shards:
                self._start_shard(group, shard, epoch)
            if partition == DISPATCH_PARTITION:
                self._start_dispatch(group, epoch)
        if self._dispatch is not None:
            task, scope = self._dispatch
            if ownership.epoch_of(DISPATCH_PARTITION) != task.epoch:
                scope.cancel()
                self._dispatch = None
        self._observe_own_runners()

    def _update_shares(self) -> None:
        # The declaration is held in memory, so the shares apply during a store outage as well.
        requests = self.control.revisions.declaration.requests
        self.router.observe_shares(
            {
                key: Share(
                    weight=kind.weight,
                    guaranteed=kind.guaranteed_share,
                    priority=PRIORITIES[kind.priority],
                )
                for key, kind in requests.items()
            }
        )

    def _start_shard(self, group: TaskGroup, shard: str, epoch: int) -> None:
        task = ShardTask(
            shard=shard,
            epoch=epoch,
            ownership=self.control.ownership,
            platform=self._platform,
            clock=self._clock,
            settings=self._settings,
            connect_worker=self._interfaces.connect_worker,
            list_vms=lambda: self.control.vms,
            are_previous_owners_retired=lambda: self.control.are_previous_owners_retired(
                f"shard/{shard}"
            ),
            on_change=self._on_runners_changed,
        )

        async def run() -> None:
            await task.run()
            self._shards.pop((shard, epoch), None)
            self.control.ownership.end_epoch(f"shard/{shard}", epoch)

        self._shards[shard, epoch] = (task, spawn(group, run))

    def _start_dispatch(self, group: TaskGroup, epoch: int) -> None:
        if self._dispatch is not None and self._dispatch[0].epoch == epoch:
            return
        task = DispatchTask(
            epoch=epoch,
            ownership=self.control.ownership,
            revisions=self.control.revisions,
            platform=self._platform,
            clock=self._clock,
            settings=self._settings,
            send_exchange=self._send_exchange,
        )

        async def run() -> None:
            await task.run()
            if self._dispatch is not None and self._dispatch[0] is task:
                self._dispatch = None
            self.control.ownership.end_epoch(DISPATCH_PARTITION, epoch)

        if self._dispatch is not None:
            self._dispatch[1].cancel()
        self._dispatch = (task, spawn(group, run))

    async def _suspend_partitions(self, partitions: set[str]) -> None:
        for (shard, epoch), (_, scope) in list(self._shards.items()):
            if f"shard/{shard}" in partitions:
                scope.cancel()
                self._shards.pop((shard, epoch), None)
        if DISPATCH_PARTITION in partitions and self._dispatch is not None:
            self._dispatch[1].cancel()
            self._dispatch = None

    async def _send_exchange(self, shard: str, request: ExchangeRequest) -> Result:
        ownership = self.control.ownership
        owner = ownership.owner_of(f"shard/{shard}")
        if owner == ownership.member:
            return await self.on_exchange(request)
        peer = self._get_peer(owner)
        if peer is None:
            return Failure(BadReply(f"owner {owner} is unknown"))
        return await peer.exchange(request)

    # Peers

    def _get_peer(self, member: str) -> PeerClient | None:
        peer = self._peers.get(member)
        return peer.client if peer else None

    def _reconcile_peers(self, group: TaskGroup) -> None:
        own = self.control.ownership.member
        peer_members = {
            member_id: member
            for member_id, member in self.control.members.members.items()
            if member_id != own
        }
        for member_id in sorted(self._peers.keys() - peer_members.keys()):
            self._peers.pop(member_id).scope.cancel()
        for member_id, member in peer_members.items():
            is_new = member_id not in self._peers and member.name != self._settings.daemon["name"]
            if is_new and is_address(member.peers_address):
                client = self._interfaces.connect_peer(member.peers_address)
                scope = spawn(group, self._peer_loop, member_id, client)
                self._peers[member_id] = _Peer(client=client, scope=scope)

    async def _peer_loop(self, member_id: str, client: PeerClient) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(client.run)
            while True:
                result = await client.send_heartbeat(self._build_heartbeat())
                if isinstance(result, Success):
                    await self._observe_heartbeat(member_id, client, result.unwrap())
                await anyio.sleep(self._settings.periods["heartbeat_ms"] / 1000)

    def _build_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            member=self.control.member,
            revision=self.control.known_revision,
            runners_version=self._runners_version,
            free={} if self._draining else self.router.count_free_slots(),
            draining=self._draining,
            ejected=self.router.health.list_ejected(),
        )

    async def _observe_heartbeat(
        self, member_id: str, client: PeerClient, heartbeat: Heartbeat
    ) -> None:
        self.control.members.record_heartbeat(member_id)
        if heartbeat.draining:
            self.control.draining.add(member_id)
            self.control.members.mark_leaving(heartbeat.member.id)
        self.router.observe_peer(member_id, heartbeat.free, heartbeat.ejected)
        self._slots.borrow_for_waiting()
        peer = self._peers.get(member_id)
        if peer is None:
            return
        peer.revision = heartbeat.revision
        await self._pull_revision(heartbeat, client)
        if heartbeat.runners_version != peer.runners_version:
            table = await client.pull_runners()
            if isinstance(table, Success):
                peer.runners_version = table.unwrap().version
                for published in table.unwrap().shards:
                    self._observe_published_runners(
                        published.shard, published.epoch, published.runners
                    )

    async def _pull_revision(self, heartbeat: Heartbeat, client: PeerClient) -> None:
        if heartbeat.revision > self.control.known_revision:
            pulled = await client.pull_revision()
            if isinstance(pulled, Success):
                self.control.observe_revision(pulled.unwrap())

    # Seeds

    async def _run_seed_clients(self) -> None:
        """Poll the seeds for members and the revision while the store does not respond."""
        async with anyio.create_task_group() as group:
            for address in self._settings.peers["seeds"]:
                group.start_soon(self._poll_seed, address)

    async def _poll_seed(self, address: str) -> None:
        client = self._interfaces.connect_peer(address)
        async with anyio.create_task_group() as group:
            group.start_soon(client.run)
            while True:
                if self.control.store_response_age_ms > _SEED_FALLBACK_DELAY_MS:
                    await self._update_from_seed(client)
                await anyio.sleep(self._settings.periods["heartbeat_ms"] / 1000)

    async def _update_from_seed(self, client: PeerClient) -> None:
        result = await client.send_heartbeat(self._build_heartbeat())
        if not isinstance(result, Success):
            return
        heartbeat = result.unwrap()
        if heartbeat.member.id == self.control.member.id:
            return
        self.control.members.observe_member(heartbeat.member)
        # The peers of the seed are added as well, so that one reachable seed is sufficient.
        listed = await client.pull_members()
        if isinstance(listed, Success):
            for member in listed.unwrap().members:
                if member.name != self.control.member.name:
                    self.control.members.observe_member(member)
        await self._pull_revision(heartbeat, client)
        self._notify_change()

    def _observe_published_runners(self, shard: str, epoch: int, runners: tuple) -> None:
        self.router.observe_runners(shard, epoch, runners)
        self._pool.retain(self.router.runners())
        self._slots.expire()

    def _on_runners_changed(self) -> None:
        self._runners_version += 1
        self._observe_own_runners()

    def _observe_own_runners(self) -> None:
        for task, _ in self._shards.values():
            published = task.published
            if published is not None:
                self._observe_published_runners(published.shard, published.epoch, published.runners)

    async def _expire_loop(self) -> None:
        while True:
            await anyio.sleep(self._settings.periods["heartbeat_ms"] / 1000)
            self._slots.expire()

    # Messages of peers

    async def on_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Record the heartbeat of a peer; the response is the heartbeat of this daemon."""
        member = heartbeat.member
        if heartbeat.draining:
            self.control.draining.add(member.id)
            self.control.members.mark_leaving(member.id)
        if member.name != self.control.member.name:
            # A member that can't reach the store is known only from its heartbeats.
            if self.control.members.observe_member(member):
                log_event("member discovered by heartbeat", member=member.id)
                self._notify_change()
            if member.id in self.control.members.members:
                self.router.observe_peer(member.id, heartbeat.free, heartbeat.ejected)
                self._slots.borrow_for_waiting()
        return self._build_heartbeat()

    async def on_pull_members(self) -> MemberList:
        """Return the reachable members, including this daemon."""
        members = self.control.members
        reachable = tuple(members.members[member_id] for member_id in members.list_reachable())
        return MemberList(members=tuple(dict.fromkeys((*reachable, self.control.member))))

    async def on_revision(self, revision: Revision) -> Revision:
        """Apply a durable revision and return the revision in force."""
        self.control.observe_revision(revision)
        return self.control.revisions.revision

    async def on_pull_revision(self) -> Revision:
        """Return the revision in force."""
        return self.control.revisions.revision

    async def on_pull_runners(self) -> RunnerTable:
        """Return the published runners of all shards that this daemon owns."""
        return RunnerTable(
            version=self._runners_version,
            shards=tuple(
                task.published for task, _ in self._shards.values() if task.published is not None
            ),
        )

    async def on_exchange(self, request: ExchangeRequest) -> Result[ExchangeReply, object]:
        """Forward an exchange request of the dispatcher to the task that owns the shard."""
        owned_shard = self._shards.get((request.shard, request.shard_epoch))
        if owned_shard is None:
            return Failure(StaleExchange("not the owner"))
        result = await owned_shard[0].inbox.request(request, timeout_ms=_EXCHANGE_TIMEOUT_MS)
        return result.unwrap() if isinstance(result, Success) else result

    async def on_borrow(self, request: BorrowSlot) -> LentSlot:
        """Lend a slot to a peer; if none is free, queue the request for a limited time."""
        return await self._slots.lend(request)

    async def on_return(self, request: ReturnSlot) -> LentSlot:
        """Free a lent slot that a peer returns."""
        self._slots.free_returned_slot(request)
        return LentSlot()

    async def on_acquire_permit(self, request: AcquirePermit) -> PermitReply:
        """Decide on a permit request if this daemon owns the key group."""
        return await self.permits.on_acquire_permit(request)

    async def on_copy_permits(self, request: CopyPermits) -> CopyReply:
        """Store copies of permit records for the owner of a key group."""
        return await self.permits.on_copy_permits(request)

    async def on_settle_permit(self, request: SettlePermit) -> SettleReply:
        """Record the outcome of a request."""
        return await self.permits.on_settle_permit(request)

    async def on_pull_permits(self, request: PullPermits) -> PulledPermits:
        """Record the epoch of the new owner of a key group and return the copies of its records."""
        return await self.permits.on_pull_permits(request)

    async def on_dispatch_status(self) -> StatusReply:
        """Return the state of all tasks if this daemon owns the dispatcher."""
        revision = self.control.revisions.revision.revision
        if self._dispatch is None:
            return StatusReply(revision=revision, complete=False)
        return build_dispatch_status(self._dispatch[0].dispatcher, revision)

    # Operators

    async def on_apply(self, request: ApplyRequest) -> ApplyReply:
        """Apply a change of the configuration and push it to all peers."""
        result = await self.control.apply(
            request.text, base=request.base, token=request.token, source=request.source
        )
        if isinstance(result, Success):
            revision = result.unwrap()
            self.control.observe_revision(revision)
            async with anyio.create_task_group() as group:
                for peer in self._peers.values():
                    group.start_soon(self._push_revision, peer, revision)
        return build_apply_reply(result)

    @staticmethod
    async def _push_revision(peer: _Peer, revision: Revision) -> None:
        # The first attempt may fail on a connection that broke unnoticed, so a second one follows.
        for _ in range(2):
            pushed = await peer.client.push_revision(revision)
            if isinstance(pushed, Success):
                peer.revision = pushed.unwrap().revision
                return

    async def on_status(self) -> StatusReply:
        """Return the state of the whole system."""
        control = self.control
        revision = control.revisions.revision.revision
        entry_vms = list_entry_vms(
            control.member,
            revision,
            control.members,
            {member_id: peer.revision for member_id, peer in self._peers.items()},
        )
        status = await self._read_dispatch_status()
        return attrs.evolve(status, revision=revision, entry_vms=entry_vms)

    async def _read_dispatch_status(self) -> StatusReply:
        if self._dispatch is not None:
            return await self.on_dispatch_status()
        peer = self._get_peer(self.control.ownership.owner_of(DISPATCH_PARTITION))
        if peer is not None:
            result = await peer.read_status()
            if isinstance(result, Success):
                return result.unwrap()
        return StatusReply(revision=0, complete=False)

    async def on_pull_stats(self) -> StatsSnapshot:
        """Return the request counters of this daemon."""
        return self.stats.snapshot()

    async def on_burn(self) -> BurnReport:
        """Return the burn report, merged over all entry VMs."""
        snapshots = {self.control.member.name: self.stats.snapshot()}
        missing: list[str] = []

        async def pull(member_id: str, peer: _Peer) -> None:
            member = self.control.members.members.get(member_id)
            name = member.name if member else member_id
            pulled = await peer.client.pull_stats()
            if isinstance(pulled, Success):
                snapshots[name] = pulled.unwrap()
            else:
                missing.append(name)

        async with anyio.create_task_group() as group:
            for member_id, peer in self._peers.items():
                group.start_soon(pull, member_id, peer)
        return build_report(
            declaration=self.control.revisions.declaration, snapshots=snapshots, missing=missing
        )

    def get_unready_reason(self) -> str:
        """Return the reason why the daemon accepts no requests; empty if it is ready."""
        if self._draining:
            return "draining"
        if not self.control.revisions.is_known:
            seeds = self._settings.peers["seeds"]
            seed_state = "no seed has answered" if seeds else "no seeds are set"
            return f"no configuration: the store has not answered and {seed_state}"
        own = self.control.ownership.member
        peer_ids = [
            member_id for member_id in self.control.members.list_reachable() if member_id != own
        ]
        if self.control.store_response_age_ms > _ISOLATION_TIMEOUT_MS and not peer_ids:
            return "isolated: neither the store nor a peer answers"
        if self.control.store_response_age_ms == float("inf"):
            missing = [
                member_id
                for member_id in peer_ids
                if member_id not in self._peers or self._peers[member_id].runners_version < 0
            ]
            if missing:
                return "no runner table yet from " + ", ".join(sorted(missing))
        return ""

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return render_metrics(
            stats=self.stats,
            gauges={
                "in_flight_requests": self._callers.in_flight,
                "owned_shards": len(self._shards),
                "owns_dispatcher": int(self._dispatch is not None),
                "lease_valid": int(self.control.ownership.is_valid),
                "configuration_revision": self.control.revisions.revision.revision,
                "reachable_peers": len(self.control.members.list_reachable()),
                "known_runners": len(self.router.runners()),
                "store_calls": self._platform.call_count,
                "owned_key_groups": len(self.permits.manager.tables),
                "permit_records": len(self.permits.manager.copies),
                "connection_bytes": self._budget.buffered_bytes,
                "connection_bytes_bound": self._budget.bound_bytes,
                **{
                    f"connections_{action}_{bound}": count
                    for (action, bound), count in self._limit_counts.items()
                },
                **{
                    f"permits_{verdict.value}": count
                    for verdict, count in self.permits.verdict_counts.items()
                },
            },
        )
