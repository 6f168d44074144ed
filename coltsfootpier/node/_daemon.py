"""Daemon of an entry VM: runs its servers, claims the cell and forwards requests to the owner."""

from __future__ import annotations

import random
import secrets

import anyio
from returns.result import Failure

from coltsfootpier.cells import CellSettings, get_bounds
from coltsfootpier.clock import MonotonicClock
from coltsfootpier.journal import Head, OwnerInfo, decode_head
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.node._callers import CallerApplication
from coltsfootpier.node._control import ControlState
from coltsfootpier.node._election import choose_claim_delay, choose_lease_ttl
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._owner import Owner, limit_cell_settings
from coltsfootpier.node._peers import (
    CancelJob,
    JobRequest,
    PeerClient,
    ReadQueue,
    SubmitJob,
    build_peer_application,
    pass_to_owner,
    request_while_owner,
)
from coltsfootpier.node._reachability import OwnerReachability
from coltsfootpier.node._reload import merge_settings
from coltsfootpier.node._responses import NOT_OWNER, Response, ResponseStatus, build_rejection
from coltsfootpier.node._settings import CallerLimits, NodeSettings
from coltsfootpier.node.keys import HEAD_KEY, OWNER_KEY
from coltsfootpier.platform import StoreClient, Write
from coltsfootpier.transport import (
    Application,
    BindError,
    ConnectionGroup,
    ConnectionLimits,
    HttpRequest,
    HttpResponse,
    MalformedMessageError,
    NotSent,
    ProcessBudget,
    Server,
    bind,
    build_protocol,
    encode,
)

# Readiness and metrics requests have no body.
_MAX_PROBE_BYTES = 1_024
# Limits at the ports of other daemons, of the readiness check and of the metrics.
_INTERNAL_LIMITS = ConnectionLimits()
# The port may use the descriptors of the process divided by this number. Only callers are outside
# the operators' control; the others share what is left with the connections to runners.
_CALLERS_DIVISOR = 4
# 300 daemons with 8 connections each fit at the owner on a large entry VM (8,192 descriptors).
_PEERS_DIVISOR = 2
_PROBES_DIVISOR = 64
# Part of the descriptors that the kernel accepts at the port of other daemons before the process
# does: all of them connect at once after a change of the owner.
_PEERS_BACKLOG_DIVISOR = 4
_METRICS_TYPE = b"text/plain; version=0.0.4"


def _get_internal_limits() -> ConnectionLimits:
    return _INTERNAL_LIMITS


class Daemon:
    """Daemon that serves callers, and claims the cell when no other daemon owns it.

    Parameters
    ----------
    settings : NodeSettings
        Settings from the platform.
    cell_settings : CellSettings
        Settings of the scheduling decisions.
    """

    def __init__(self, *, settings: NodeSettings, cell_settings: CellSettings) -> None:
        self._settings = settings
        self._cell_settings = cell_settings
        self._clock = MonotonicClock()
        self._incarnation = f"{settings.name}-{secrets.token_hex(4)}"
        host, port = settings.store
        self._store = StoreClient(
            host=host, port=port, clock=self._clock, timeout_ms=_timing.STORE_TIMEOUT_MS
        )
        self._control = ControlState(store=self._store)
        self._metrics = Metrics()
        self._callers = CallerApplication(
            clock=self._clock,
            owner_client=self,
            get_configuration=lambda: self._control.configuration,
            metrics=self._metrics,
        )
        self._owner: Owner | None = None
        # Client of the daemon that owned the cell when a request was last sent to another VM.
        self._peer_client: PeerClient | None = None
        self._reachability = OwnerReachability(clock=self._clock)
        self._stopping = anyio.Event()
        # Local time by which every request must have its response; finite once the daemon drains.
        self._responses_due_ms = float("inf")
        self._servers: list[Server] = []
        self._budget = ProcessBudget.from_memory(settings.memory_mb)

    async def run(self) -> BindError | None:
        """Serve until the drain that `stop` starts has ended; return an error if a bind fails."""
        settings = self._settings
        log_event(
            "daemon started",
            incarnation=self._incarnation,
            availability_zone=settings.availability_zone,
        )
        readiness = Application(
            routes={"GET /": self._report_readiness}, max_body_bytes=_MAX_PROBE_BYTES
        )
        metrics = Application(
            routes={"GET /metrics": self._render_metrics}, max_body_bytes=_MAX_PROBE_BYTES
        )
        peers = build_peer_application(get_owner=lambda: self._owner)
        limits = {"max_files": settings.max_files, "memory_mb": settings.memory_mb}
        peer_connections = ConnectionGroup.from_limits(
            **limits, divisor=_PEERS_DIVISOR, backlog_divisor=_PEERS_BACKLOG_DIVISOR
        )
        caller_connections, readiness_connections, metrics_connections = (
            ConnectionGroup.from_limits(**limits, divisor=divisor)
            for divisor in (_CALLERS_DIVISOR, _PROBES_DIVISOR, _PROBES_DIVISOR)
        )
        peer_address = settings.ip, settings.peer_port
        metrics_address = settings.ip, settings.metrics_port
        for app, (host, port), get_limits, connections in (
            (self._callers, settings.callers, self._get_limits, caller_connections),
            (readiness, settings.readiness, _get_internal_limits, readiness_connections),
            (peers, peer_address, _get_internal_limits, peer_connections),
            (metrics, metrics_address, _get_internal_limits, metrics_connections),
        ):
            protocol = build_protocol(
                get_limits,
                self._record_closed_connection,
                budget=self._budget,
                group=connections,
                on_slowed=self._record_slowed_connection,
            )
            listener = bind(host, port)
            if isinstance(listener, Failure):
                error = listener.failure()
                log_event("address not available", address=error.address, reason=error.reason)
                return error
            self._servers.append(
                Server(
                    app=app,
                    host=host,
                    port=port,
                    listener=listener.unwrap(),
                    protocol=protocol,
                    backlog=connections.backlog,
                    max_unread_bytes=connections.max_unread_bytes,
                )
            )
        async with anyio.create_task_group() as group:
            for server in self._servers:
                await group.start(server.run)
            group.start_soon(self._control.run)
            group.start_soon(self._claim_when_unowned)
            group.start_soon(self._apply_configurations)
            group.start_soon(self._stop_replaced_owner)
            group.start_soon(self._probe_unresponsive_owner)
            await self._stopping.wait()
            await self._drain()
            group.cancel_scope.cancel()
        log_event("daemon stopped", incarnation=self._incarnation)
        return None

    def _get_limits(self) -> ConnectionLimits:
        configuration = self._control.configuration
        return configuration.limits if configuration is not None else CallerLimits()

    def _record_closed_connection(self, bound: str) -> None:
        self._metrics.count(f"connections_closed_{bound}")
        log_event("connection closed", bound=bound)

    def _record_slowed_connection(self, bound: str) -> None:
        self._metrics.count(f"connections_slowed_{bound}")
        log_event("connection slowed", bound=bound)

    def stop(self) -> None:
        """Start the drain, after which `run` returns."""
        self._stopping.set()

    def reload(self, new_settings: NodeSettings) -> None:
        """Apply settings that were read from the changed settings file.

        A running owner keeps the previous bounds until it resigns, because the leases of runs
        that it has extended depend on them.
        """
        reload = merge_settings(self._settings, new_settings)
        self._settings = reload.settings
        log_event(
            "settings reloaded",
            applied=",".join(reload.applied),
            needs_restart=",".join(reload.ignored),
        )

    async def _drain(self) -> None:
        log_event("drain started", owner=self._owner is not None)
        end_ms = self._clock.now_ms() + self._settings.exit_grace_ms - _timing.EXIT_RESERVE_MS
        # Requests get their response before the process exits. One that the exit interrupts would
        # get a 500 response, which doesn't tell its caller whether the request took effect.
        self._responses_due_ms = end_ms - _timing.RESPONSE_RESERVE_MS
        self._callers.is_draining = True
        if self._owner is not None:
            await self._owner.resign()
        await anyio.sleep(_timing.DRAIN_MS / 1000)
        # From here on no request arrives that the exit could interrupt.
        for server in self._servers:
            server.stop()
        with anyio.move_on_after((end_ms - self._clock.now_ms()) / 1000):
            for server in self._servers:
                await server.ended.wait()

    async def _report_readiness(self, _: HttpRequest) -> HttpResponse:
        ready = (
            self._control.configuration is not None
            and not self._callers.is_draining
            and not self._reachability.is_unreachable
        )
        return HttpResponse.from_message({"ready": ready}, 200 if ready else 503)

    async def _render_metrics(self, _: HttpRequest) -> HttpResponse:
        configuration, owner, counts = self._control.configuration, self._owner, self._store.counts
        gauges = {
            "configuration_version": configuration.version if configuration is not None else 0,
            "requests_in_flight": self._callers.in_flight,
            "connection_bytes": self._budget.buffered_bytes,
            "connection_bytes_bound": self._budget.bound_bytes,
            "owns_cell": int(owner is not None),
            "store_calls": counts.calls,
            "store_calls_refused": counts.unavailable,
            "store_calls_unanswered": counts.unknown,
        }
        if owner is None:
            return HttpResponse(body=self._metrics.render(gauges), content_type=_METRICS_TYPE)
        gauges |= owner.read_gauges()
        body = self._metrics.render(gauges, owner.cell.counters)
        return HttpResponse(body=body, content_type=_METRICS_TYPE)

    async def _apply_configurations(self) -> None:
        version = 0
        while True:
            configuration = self._control.configuration
            if configuration is not None and configuration.version != version:
                version = configuration.version
                if self._owner is not None:
                    self._owner.apply_configuration(configuration)
            await self._control.wait_change(_timing.STORE_TIMEOUT_MS)

    # Ownership

    async def _claim_when_unowned(self) -> None:
        """Claim the cell whenever it has no owner, and own it until the ownership ends."""
        while not self._stopping.is_set():
            control = self._control
            owner = control.owner
            if not control.is_synchronised or control.configuration is None:
                await control.wait_change(_timing.STORE_TIMEOUT_MS)
            elif owner is None:
                await control.wait_change(choose_claim_delay(self._settings.cores, random.random()))
                if control.owner is None:
                    await self._claim(0)
            elif owner.address == self._own_peer_address and owner.holder != self._incarnation:
                # The owner is an earlier incarnation of this daemon, which no longer runs.
                await self._claim(control.owner_revision)
            else:
                await control.wait_change(_timing.STORE_TIMEOUT_MS)

    async def _stop_replaced_owner(self) -> None:
        """Stop the owner in this process as soon as the watch names a later one."""
        while True:
            info = self._control.owner
            if self._owner is not None and info is not None:
                self._owner.record_latest_generation(info.generation)
            await self._control.wait_change(_timing.STORE_TIMEOUT_MS)

    @property
    def _own_peer_address(self) -> str:
        return f"{self._settings.ip}:{self._settings.peer_port}"

    async def _claim(self, owner_revision: int) -> None:
        """Claim the cell if its owner's key is unchanged; on success run it as its owner."""
        # The settings may be reloaded meanwhile, and the head tells successors what holds.
        settings = self._settings
        # An earlier attempt to claim may take effect at any time after the head was read.
        confirmed_ms = self._clock.now_ms()
        head_item = await self._store.get(HEAD_KEY)
        if isinstance(head_item, Failure):
            await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
            return
        item = head_item.unwrap()
        try:
            head: Head = decode_head(item.value).claim(
                self._incarnation, get_bounds(limit_cell_settings(self._cell_settings, settings))
            )
        except MalformedMessageError as error:
            log_event("cannot decode head record", reason=str(error))
            await anyio.sleep(_timing.STORE_TIMEOUT_MS / 1000)
            return
        granted = await self._store.grant_lease(ttl_ms=choose_lease_ttl(settings))
        if isinstance(granted, Failure):
            await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
            return
        lease = granted.unwrap().id
        info = OwnerInfo(
            holder=self._incarnation, address=self._own_peer_address, generation=head.generation
        )
        result = await self._store.commit(
            expect={OWNER_KEY: owner_revision, HEAD_KEY: item.version},
            puts=[Write(HEAD_KEY, encode(head)), Write(OWNER_KEY, encode(info), lease)],
        )
        if isinstance(result, Failure):
            log_event("claim failed", generation=head.generation, reason=repr(result.failure()))
            # The claim may have taken effect although the commit failed; the watch then shows this
            # daemon in the owner's key. A claim that takes effect later ends when its lease
            # expires.
            await self._control.wait_change(_timing.STORE_BACKOFF_MS)
            if self._control.owner == info:
                await self._run_owner(
                    settings,
                    head,
                    self._control.owner_revision,
                    info,
                    lease=lease,
                    confirmed_ms=confirmed_ms,
                )
            return
        self._control.update_owner(info, result.unwrap())
        await self._run_owner(
            settings, head, result.unwrap(), info, lease=lease, confirmed_ms=confirmed_ms
        )

    async def _run_owner(
        self,
        settings: NodeSettings,
        head: Head,
        revision: int,
        info: OwnerInfo,
        *,
        lease: int,
        confirmed_ms: float,
    ) -> None:
        self._owner = Owner(
            settings=settings,
            cell_settings=self._cell_settings,
            store=self._store,
            clock=self._clock,
            head=head,
            revision=revision,
            info=info,
            lease=lease,
            confirmed_ms=confirmed_ms,
            metrics=self._metrics,
            get_waves=lambda: list(self._control.waves.values()),
            get_evacuated_zones=lambda: self._control.evacuated_zones,
        )
        self._metrics.count("ownerships")
        try:
            await self._owner.run(self._control.configuration)
        finally:
            self._owner = None

    # Requests to the owner

    async def send_request(self, request: JobRequest, deadline_ms: float) -> Response:
        """Send a request to the owner, in this process or on another VM; see `OwnerClient`."""
        started_ms = self._clock.now_ms()
        maybe_sent = False
        # Latest ownership that an attempt without a response was sent to; 0 if none.
        unanswered_generation = 0
        while True:
            left_ms = min(deadline_ms, self._responses_due_ms) - self._clock.now_ms()
            if left_ms <= 0:
                # A job that was never sent to an owner can't have been accepted.
                if maybe_sent or not isinstance(request, SubmitJob):
                    return Response(status=ResponseStatus.UNKNOWN, reason="deadline")
                return build_rejection("deadline")
            if not maybe_sent and isinstance(request, SubmitJob) and self._is_owner_unresponsive():
                return build_rejection("owner_silent")
            waited_ms = self._clock.now_ms() - started_ms
            if (
                not maybe_sent
                and waited_ms > _timing.OWNER_WAIT_TIMEOUT_MS
                and isinstance(request, SubmitJob)
            ):
                return build_rejection("no_owner")
            response, generation = await self._send_once(request, left_ms)
            if response is not None and response.status is not ResponseStatus.UNKNOWN:
                is_rejected = response.status is ResponseStatus.REFUSED
                if is_rejected and generation <= unanswered_generation:
                    # The earlier attempt may still arrive, and the owner may then accept the job.
                    return Response(status=ResponseStatus.UNKNOWN, reason="unanswered")
                return response
            maybe_sent = maybe_sent or generation > 0
            if response is None:
                unanswered_generation = max(unanswered_generation, generation)
            await self._control.wait_change(min(left_ms, 5 * _timing.MIN_PLAN_PERIOD_MS))

    async def _send_once(self, request: JobRequest, left_ms: float) -> tuple[Response | None, int]:
        """Send a request once.

        Returns
        -------
        Response, optional
            The response, if there was one.
        int
            Ownership that may have processed the request; 0 if none.
        """
        owner = self._owner
        if owner is not None and owner.is_ready:
            self._reachability.reset()
            return await pass_to_owner(owner, request), owner.info.generation
        info = self._control.owner
        if info is None or info.holder == self._incarnation:
            return None, 0
        if self._peer_client is None or self._peer_client.address != info.address:
            if self._peer_client is not None:
                self._peer_client.close()
            self._reachability.reset()
            self._peer_client = PeerClient(address=info.address, clock=self._clock)
        is_change = isinstance(request, SubmitJob | CancelJob)
        timeout_ms = min(left_ms, _timing.PEER_TIMEOUT_MS * (2 if is_change else 1))
        result = await request_while_owner(
            self._peer_client, request, info=info, watch=self._control, timeout_ms=timeout_ms
        )
        self._record_reachability(responded=not isinstance(result, Failure))
        if isinstance(result, Failure):
            return None, 0 if isinstance(result.failure(), NotSent) else info.generation
        response = result.unwrap()
        return response, 0 if response == NOT_OWNER else info.generation

    def _is_owner_unresponsive(self) -> bool:
        info = self._control.owner
        return (
            self._owner is None
            and info is not None
            and self._peer_client is not None
            and self._peer_client.address == info.address
            and self._reachability.is_unresponsive
        )

    def _record_reachability(self, *, responded: bool) -> None:
        was_unreachable = self._reachability.is_unreachable
        self._reachability.record(responded=responded)
        if self._reachability.is_unreachable != was_unreachable:
            log_event(
                (
                    "owner unreachable"
                    if self._reachability.is_unreachable
                    else "owner reachable again"
                ),
                address=self._peer_client.address if self._peer_client is not None else "",
            )

    async def _probe_unresponsive_owner(self) -> None:
        """Probe an unresponsive owner periodically, since new jobs aren't sent to it meanwhile."""
        while True:
            await anyio.sleep(_timing.PROBE_PERIOD_MS / 1000)
            if self._reachability.is_unresponsive:
                await self._send_once(ReadQueue(queue=""), _timing.PROBE_PERIOD_MS)
