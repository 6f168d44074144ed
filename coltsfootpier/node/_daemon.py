"""Wiring of the daemon of an entry VM."""

from __future__ import annotations

import random
import secrets

import anyio
from returns.result import Failure

from coltsfootpier.cells import CellSettings
from coltsfootpier.clock import MonotonicClock
from coltsfootpier.journal import Head, OwnerInfo, decode_head
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.node._answers import NO_OWNER, Answer, AnswerStatus, refuse
from coltsfootpier.node._callers import CallerApplication
from coltsfootpier.node._control import Control
from coltsfootpier.node._election import choose_claim_delay, choose_lease_ttl
from coltsfootpier.node._messages import CallerLimits, NodeSettings
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._owner import Owner
from coltsfootpier.node._peers import (
    CancelJob,
    PeerClient,
    Question,
    ReadQueue,
    SubmitJob,
    ask_owner,
    ask_while_owner,
    build_peer_application,
)
from coltsfootpier.node._reach import OwnerReach
from coltsfootpier.node._reload import merge_settings
from coltsfootpier.node.keys import HEAD_KEY, OWNER_KEY
from coltsfootpier.platform import StoreClient, Write
from coltsfootpier.transport import (
    Application,
    BindError,
    ConnectionLimits,
    HttpRequest,
    HttpResponse,
    MalformedMessageError,
    NotSent,
    Server,
    bind,
    build_protocol,
    encode,
)

# A probe has no body.
_MAX_PROBE_BYTES = 1_024
_METRICS_TYPE = b"text/plain; version=0.0.4"


class Daemon:
    """Serves callers, and owns the cell while no other daemon does.

    Parameters
    ----------
    settings : NodeSettings
        Settings from the platform.
    cell_settings : CellSettings
        Settings of the decisions.
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
        self._control = Control(store=self._store)
        self._metrics = Metrics()
        self._callers = CallerApplication(
            clock=self._clock,
            asker=self,
            get_configuration=lambda: self._control.configuration,
            metrics=self._metrics,
        )
        self._owner: Owner | None = None
        self._peer: PeerClient | None = None
        self._reach = OwnerReach(clock=self._clock)
        self._stopping = anyio.Event()
        # By when every request has its answer; finite once the daemon stops.
        self._answers_due_ms = float("inf")
        self._servers: list[Server] = []

    async def run(self) -> BindError | None:
        """Serve until `stop` and the drain after it; returns why it could not begin."""
        settings = self._settings
        log_event("start", incarnation=self._incarnation, zone=settings.availability_zone)
        readiness = Application(routes={"GET /": self._answer_readiness}, max_body=_MAX_PROBE_BYTES)
        metrics = Application(routes={"GET /metrics": self._render}, max_body=_MAX_PROBE_BYTES)
        peers = build_peer_application(get_owner=lambda: self._owner)
        limited = build_protocol(self._get_limits, self._note_closed)
        for app, (host, port), protocol in (
            (self._callers, settings.callers, limited),
            (readiness, settings.readiness, None),
            (peers, (settings.ip, settings.peer_port), None),
            (metrics, (settings.ip, settings.metrics_port), None),
        ):
            listener = bind(host, port)
            if isinstance(listener, Failure):
                error = listener.failure()
                log_event("address not available", address=error.address, reason=error.reason)
                return error
            self._servers.append(
                Server(app=app, host=host, port=port, listener=listener.unwrap(), protocol=protocol)
            )
        async with anyio.create_task_group() as group:
            for server in self._servers:
                await group.start(server.run)
            group.start_soon(self._control.run)
            group.start_soon(self._contend)
            group.start_soon(self._apply_configurations)
            group.start_soon(self._look_for_owner)
            await self._stopping.wait()
            await self._drain()
            group.cancel_scope.cancel()
        log_event("stop", incarnation=self._incarnation)
        return None

    def _get_limits(self) -> ConnectionLimits:
        configuration = self._control.configuration
        return configuration.limits if configuration is not None else CallerLimits()

    def _note_closed(self, bound: str) -> None:
        self._metrics.count(f"connections_closed_{bound}")
        log_event("connection closed", bound=bound)

    def stop(self) -> None:
        """Begin to drain."""
        self._stopping.set()

    def reload(self, found: NodeSettings) -> None:
        """Take settings as the file has them now.

        An owner keeps its bounds until it gives the cell up: runs that it has extended rely on
        them.
        """
        reload = merge_settings(self._settings, found)
        self._settings = reload.settings
        log_event(
            "reload",
            applied=",".join(reload.applied),
            needs_restart=",".join(reload.ignored),
        )

    async def _drain(self) -> None:
        log_event("drain", owner=self._owner is not None)
        end_ms = self._clock.now_ms() + self._settings.exit_grace_ms - _timing.EXIT_RESERVE_MS
        # A request that is cut off by the end of the process would be answered with 500, which
        # doesn't tell its caller whether it was carried out.
        self._answers_due_ms = end_ms - _timing.ANSWER_RESERVE_MS
        self._callers.draining = True
        if self._owner is not None:
            await self._owner.resign()
        await anyio.sleep(_timing.DRAIN_MS / 1000)
        while self._callers.in_flight and self._clock.now_ms() < end_ms:
            await anyio.sleep(_timing.PLAN_MIN_MS / 1000)

    async def _answer_readiness(self, _: HttpRequest) -> HttpResponse:
        ready = (
            self._control.configuration is not None
            and not self._callers.draining
            and not self._reach.is_lost
        )
        return HttpResponse.of({"ready": ready}, 200 if ready else 503)

    async def _render(self, _: HttpRequest) -> HttpResponse:
        configuration, owner, counts = self._control.configuration, self._owner, self._store.counts
        gauges = {
            "configuration_version": configuration.version if configuration is not None else 0,
            "requests_in_flight": self._callers.in_flight,
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
                    self._owner.take_configuration(configuration)
            await self._control.wait_change(_timing.STORE_TIMEOUT_MS)

    # Ownership

    async def _contend(self) -> None:
        """Claim the cell whenever nobody owns it."""
        while not self._stopping.is_set():
            control = self._control
            owner = control.owner
            if not control.synchronised or control.configuration is None:
                await control.wait_change(_timing.STORE_TIMEOUT_MS)
            elif owner is None:
                await control.wait_change(choose_claim_delay(self._settings.cores, random.random()))
                if control.owner is None:
                    await self._claim(0)
            elif owner.address == self._peer_address and owner.holder != self._incarnation:
                # An earlier incarnation of this daemon, which can't run any more.
                await self._claim(control.owner_revision)
            else:
                await control.wait_change(_timing.STORE_TIMEOUT_MS)

    @property
    def _peer_address(self) -> str:
        return f"{self._settings.ip}:{self._settings.peer_port}"

    async def _claim(self, owner_revision: int) -> None:
        """Claim the cell if its owner's key is unchanged, and own it until it is lost."""
        head_item = await self._store.get(HEAD_KEY)
        if isinstance(head_item, Failure):
            await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
            return
        item = head_item.unwrap()
        try:
            head: Head = decode_head(item.value).claim(self._incarnation)
        except MalformedMessageError as error:
            log_event("head unreadable", reason=str(error))
            await anyio.sleep(_timing.STORE_TIMEOUT_MS / 1000)
            return
        granted = await self._store.grant_lease(ttl_ms=choose_lease_ttl(self._settings))
        if isinstance(granted, Failure):
            await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
            return
        lease = granted.unwrap().id
        info = OwnerInfo(
            holder=self._incarnation, address=self._peer_address, generation=head.generation
        )
        result = await self._store.commit(
            expect={OWNER_KEY: owner_revision, HEAD_KEY: item.version},
            puts=[Write(HEAD_KEY, encode(head)), Write(OWNER_KEY, encode(info), lease)],
        )
        if isinstance(result, Failure):
            log_event("claim failed", generation=head.generation, reason=repr(result.failure()))
            # An unknown claim shows in the owner's key; its lease ends by itself if it came late.
            await self._control.wait_change(_timing.STORE_BACKOFF_MS)
            if self._control.owner == info:
                await self._own(head, self._control.owner_revision, info, lease)
            return
        self._control.note_owner(info, result.unwrap())
        await self._own(head, result.unwrap(), info, lease)

    async def _own(self, head: Head, revision: int, info: OwnerInfo, lease: int) -> None:
        self._owner = Owner(
            settings=self._settings,
            cell_settings=self._cell_settings,
            store=self._store,
            clock=self._clock,
            head=head,
            revision=revision,
            info=info,
            lease=lease,
            metrics=self._metrics,
            get_waves=lambda: list(self._control.waves.values()),
        )
        self._metrics.count("ownerships")
        try:
            await self._owner.run(self._control.configuration)
        finally:
            self._owner = None

    # Questions to the owner

    async def ask(self, question: Question, due_ms: float) -> Answer:
        """Put a question to the owner, wherever it is; see `Asker`."""
        began_ms = self._clock.now_ms()
        sent = False
        while True:
            left_ms = min(due_ms, self._answers_due_ms) - self._clock.now_ms()
            if left_ms <= 0:
                # A job that no owner was asked to take has not been accepted.
                if sent or not isinstance(question, SubmitJob):
                    return Answer(status=AnswerStatus.UNKNOWN, reason="deadline")
                return refuse("deadline")
            if not sent and isinstance(question, SubmitJob) and self._is_owner_silent():
                return refuse("owner_silent")
            waited_ms = self._clock.now_ms() - began_ms
            if not sent and waited_ms > _timing.OWNER_WAIT_MS and isinstance(question, SubmitJob):
                return refuse("no_owner")
            answer, reached = await self._ask_once(question, left_ms)
            sent = sent or reached
            if answer is not None and answer.status is not AnswerStatus.UNKNOWN:
                return answer
            await self._control.wait_change(min(left_ms, 5 * _timing.PLAN_MIN_MS))

    async def _ask_once(self, question: Question, left_ms: float) -> tuple[Answer | None, bool]:
        """Ask once; returns the answer, and whether a job may have been taken."""
        if self._owner is not None and self._owner.is_ready:
            self._reach.reset()
            return await ask_owner(self._owner, question), True
        info = self._control.owner
        if info is None or info.holder == self._incarnation:
            return None, False
        if self._peer is None or self._peer.address != info.address:
            if self._peer is not None:
                self._peer.close()
            self._reach.reset()
            self._peer = PeerClient(address=info.address, clock=self._clock)
        waits = isinstance(question, SubmitJob | CancelJob)
        timeout_ms = min(left_ms, _timing.PEER_TIMEOUT_MS * (2 if waits else 1))
        result = await ask_while_owner(
            self._peer, question, info=info, watch=self._control, timeout_ms=timeout_ms
        )
        self._note_reach(answered=not isinstance(result, Failure))
        if isinstance(result, Failure):
            return None, not isinstance(result.failure(), NotSent)
        answer = result.unwrap()
        return answer, answer != NO_OWNER

    def _is_owner_silent(self) -> bool:
        info = self._control.owner
        return (
            self._owner is None
            and info is not None
            and self._peer is not None
            and self._peer.address == info.address
            and self._reach.is_silent
        )

    def _note_reach(self, *, answered: bool) -> None:
        was_lost = self._reach.is_lost
        self._reach.note(answered=answered)
        if self._reach.is_lost != was_lost:
            log_event(
                "owner out of reach" if self._reach.is_lost else "owner reached",
                address=self._peer.address if self._peer is not None else "",
            )

    async def _look_for_owner(self) -> None:
        """Ask the owner from time to time while it doesn't answer, since no callers do."""
        while True:
            await anyio.sleep(_timing.LOOK_PERIOD_MS / 1000)
            if self._reach.is_silent:
                await self._ask_once(ReadQueue(queue=""), _timing.LOOK_PERIOD_MS)
