"""Permits in one daemon: owned key groups, copies for peers, and requests of callers."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Collection

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.callers import Claim, Permit, RecordedOutcome
from coltsfootpier.clock import Clock
from coltsfootpier.daemon._control import Control
from coltsfootpier.logs import log_event
from coltsfootpier.ownership import compute_key_group, rank_by_rendezvous
from coltsfootpier.peers import PeerClient
from coltsfootpier.permits import (
    AcquirePermit,
    CopyPermits,
    CopyReply,
    CopyRequired,
    KeyKind,
    PermitManager,
    PermitRecord,
    PermitReply,
    PermitTable,
    PulledPermits,
    PullPermits,
    SettlePermit,
    SettleReply,
    Verdict,
    process_of,
)
from coltsfootpier.routing import Outcome, Rejected, RejectionReason
from coltsfootpier.settings import Settings
from coltsfootpier.transport import CallError, NotSent

_RETRY_DELAY_MS = 50.0
# Maximum share of the time to the request's deadline that is spent on acquiring a permit.
_MAX_ACQUIRE_SHARE = 0.5
_ACQUIRE_TIMEOUT_MS = 2_000.0
# Outcomes are sent to a peer with the next grant of the group, or after this time at the latest.
# The next owner doesn't know outcomes that a failed owner had not sent. With 100 ms, most requests
# needed a separate message for their outcome.
_FLUSH_PERIOD_MS = 1_000.0
_PULL_RETRY_DELAY_MS = 500.0
# An outcome that could not be delivered is retried in the background for this time, which covers a
# change of the owner. After that, the key stays undecided for the rest of the window.
_SETTLE_RETRY_LIMIT_MS = 15_000.0
_SETTLE_ATTEMPT_TIMEOUT_MS = 200.0
_MAX_BACKGROUND_SETTLEMENTS = 1_000
_REJECTIONS = {
    Verdict.BUSY: (RejectionReason.KEY_BUSY, "the exclusive key is in use"),
    Verdict.MISMATCH: (RejectionReason.BAD_REQUEST, "the key belongs to a different request"),
    Verdict.TOO_LONG: (
        RejectionReason.BAD_REQUEST,
        "deadline and maximum run time exceed the time for which keys are remembered",
    ),
    Verdict.FULL: (RejectionReason.NO_PERMIT, "the table of keys is full"),
    Verdict.NO_COPY: (RejectionReason.NO_PERMIT, "no peer keeps a copy"),
    Verdict.NOT_OWNER: (RejectionReason.NO_PERMIT, "the key group has no owner now"),
    Verdict.INCOMPLETE: (RejectionReason.NO_PERMIT, "the history of the key is incomplete"),
}


class PermitService:
    """Grants, replicates and acquires permits.

    Parameters
    ----------
    settings : Settings
        Windows, timeouts and limits.
    clock : Clock
        Time source.
    control : Control
        Members and owners.
    get_peer : callable
        Returns the client of a member, or None if there is none.
    connect_peer : callable
        Returns a new client for an ``IP:PORT``.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        control: Control,
        get_peer: Callable[[str], PeerClient | None],
        connect_peer: Callable[[str], PeerClient],
    ) -> None:
        options = settings.permits
        self._copy_timeout_ms = options["copy_timeout_ms"]
        self._clock = clock
        self._control = control
        self._get_peer = get_peer
        self._connect_peer = connect_peer
        self.manager = PermitManager(
            clock=clock,
            ownership=control.ownership,
            window_ms=options["window_ms"],
            hold_over_ms=options["hold_over_ms"],
            capacity=options["group_records"],
        )
        self.verdict_counts: dict[Verdict, int] = dict.fromkeys(Verdict, 0)
        self._addresses: dict[str, str] = {}
        self._background_settlements = 0
        self._group: TaskGroup | None = None

    async def run(self) -> None:
        """Send outcomes to the peers that store copies, periodically, until cancelled."""
        async with anyio.create_task_group() as self._group:
            while True:
                await anyio.sleep(_FLUSH_PERIOD_MS / 1000)
                for table in self.manager.list_tables_to_copy():
                    await self._send_copies(table, ())

    def reconcile(self) -> None:
        """Apply changes of members and owners."""
        if self._group is None:
            return
        listed = self._control.listed_members
        for table in self.manager.reconcile(
            listed, listed_ms=self._control.listed_ms, is_retired=self._is_retired
        ):
            self._group.start_soon(self._take_over, table)
        for member_id, member in listed.items():
            self._addresses[process_of(member_id)] = member.peers_address
        for process in self._addresses.keys() - self.manager.known_processes.list_ages().keys():
            del self._addresses[process]

    def _is_retired(self, process: str) -> bool:
        # Called only for processes without a listed member, so the session number, 0 here, does
        # not matter.
        return self._control.is_retired(f"{process}.0")

    async def wait_for_successors(self, *, timeout_ms: float) -> None:
        """Wait until the new owners of handed-over key groups have pulled the records."""
        partitions = self._control.ownership.table.partitions
        groups = {
            group: table.epoch
            for group, table in self.manager.tables.items()
            if partitions[group].epoch > table.epoch
        }
        copies = self.manager.copies
        with anyio.move_on_after(timeout_ms / 1000):
            while any(copies.pulled_epoch(group) <= epoch for group, epoch in groups.items()):
                await anyio.sleep(_RETRY_DELAY_MS / 1000)

    # Requests of this daemon's callers

    async def acquire(self, claim: Claim) -> Permit | RecordedOutcome | Rejected:
        """Request a permit from the owner of the key; retry while no owner responds."""
        token = secrets.token_hex(8)
        group = compute_key_group(claim.key)
        start_ms = self._clock.now_ms()
        end_ms = start_ms + (claim.deadline_ms - start_ms) * _MAX_ACQUIRE_SHARE
        verdict = Verdict.NOT_OWNER
        may_be_recorded = False
        while (remaining_ms := end_ms - self._clock.now_ms()) > 0:
            request = AcquirePermit(
                group=group,
                kind=claim.kind,
                key=claim.key,
                token=token,
                fingerprint=claim.fingerprint,
                hold_ms=claim.deadline_ms - self._clock.now_ms() + claim.max_run_ms,
            )
            result = await self._request_permit(request, min(remaining_ms, _ACQUIRE_TIMEOUT_MS))
            if isinstance(result, Success):
                reply = result.unwrap()
                verdict = reply.verdict
                if verdict is Verdict.GRANTED:
                    return Permit(claim=claim, token=token)
                if verdict is Verdict.KNOWN:
                    return RecordedOutcome(outcome=reply.outcome, status=reply.status)
                if verdict is Verdict.INCOMPLETE and claim.kind is KeyKind.IDEMPOTENCY:
                    return RecordedOutcome(outcome=Outcome.UNKNOWN)
                if verdict not in (Verdict.NOT_OWNER, Verdict.NO_COPY):
                    break
            elif not isinstance(result.failure(), NotSent):
                may_be_recorded = True
            await anyio.sleep(_RETRY_DELAY_MS / 1000)
        if may_be_recorded:
            # The owner may have granted the permit although no response arrived. `REFUSED` frees
            # the record, so that the key does not stay undecided.
            self._settle_in_background(Permit(claim=claim, token=token), Outcome.REFUSED, 0)
        return Rejected(reason=_REJECTIONS[verdict][0], detail=_REJECTIONS[verdict][1])

    async def settle(self, permit: Permit, outcome: Outcome, status: int) -> None:
        """Send the outcome of a request to the owner of its key."""
        if outcome is Outcome.UNKNOWN:
            return
        with anyio.move_on_after(_SETTLE_ATTEMPT_TIMEOUT_MS / 1000):
            if await self._try_settle(permit, outcome, status):
                return
        self._settle_in_background(permit, outcome, status)

    def _settle_in_background(self, permit: Permit, outcome: Outcome, status: int) -> None:
        if self._background_settlements >= _MAX_BACKGROUND_SETTLEMENTS:
            log_event(
                "outcome of a permit dropped", reason="too many outcomes are waiting for delivery"
            )
            return
        self._background_settlements += 1
        self._group.start_soon(self._retry_settle, permit, outcome, status)

    async def _retry_settle(self, permit: Permit, outcome: Outcome, status: int) -> None:
        try:
            with anyio.move_on_after(_SETTLE_RETRY_LIMIT_MS / 1000):
                while not await self._try_settle(permit, outcome, status):
                    await anyio.sleep(4 * _RETRY_DELAY_MS / 1000)
        finally:
            self._background_settlements -= 1

    async def _try_settle(self, permit: Permit, outcome: Outcome, status: int) -> bool:
        group = compute_key_group(permit.claim.key)
        message = SettlePermit(
            group=group,
            kind=permit.claim.kind,
            key=permit.claim.key,
            token=permit.token,
            outcome=outcome,
            status=status,
        )
        if group in self.manager.tables:
            reply = await self.on_settle_permit(message)
            return reply.accepted
        peer = self._get_owner_client(self._control.ownership.owner_of(group))
        if peer is None:
            return False
        result = await peer.settle_permit(message)
        return isinstance(result, Success) and result.unwrap().accepted

    async def _request_permit(
        self, request: AcquirePermit, timeout_ms: float
    ) -> Result[PermitReply, CallError]:
        if request.group in self.manager.tables:
            return Success(await self.on_acquire_permit(request))
        peer = self._get_owner_client(self._control.ownership.owner_of(request.group))
        if peer is None:
            return Failure(NotSent("the owner is not known"))
        return await peer.acquire_permit(request, timeout_ms=timeout_ms)

    # Messages of peers

    async def on_acquire_permit(self, request: AcquirePermit) -> PermitReply:
        """Decide on a permit request if this daemon owns the key group."""
        was_only_member = self.manager.is_only_member
        reply = self.manager.decide(request)
        if isinstance(reply, CopyRequired):
            table, record = self.manager.tables[request.group], reply.record
            copied = await self._send_copies(table, (record,))
            reply = self.manager.decide_after_copy(
                table, record, copied=copied, was_only_member=was_only_member
            )
        self.verdict_counts[reply.verdict] += 1
        return reply

    async def on_copy_permits(self, request: CopyPermits) -> CopyReply:
        """Store copies of permit records for the owner of a key group."""
        return self.manager.receive_copies(request)

    async def on_settle_permit(self, request: SettlePermit) -> SettleReply:
        """Record the outcome of a request."""
        return self.manager.settle(request)

    async def on_pull_permits(self, request: PullPermits) -> PulledPermits:
        """Record the epoch of the new owner of a key group and return the copies of its records."""
        return self.manager.handle_pull(request)

    # Copies

    async def _send_copies(self, table: PermitTable, records: tuple[PermitRecord, ...]) -> bool:
        message = self.manager.build_copy_message(table, records)
        for member in self._rank_copy_holders(table.group):
            peer = self._get_peer(member)
            if peer is None:
                continue
            result = await peer.copy_permits(message, timeout_ms=self._copy_timeout_ms)
            if isinstance(result, Success):
                reply = result.unwrap()
                if reply.accepted:
                    return True
                self.manager.copies.observe_epoch(table.group, reply.epoch)
                if table.is_superseded:
                    return False
        # An outcome that no peer accepted is not sent again. A new owner that does not receive it
        # treats the key as undecided, which is safe.
        return False

    def _rank_copy_holders(self, group: str) -> list[str]:
        # Only members that the store lists are candidates, because a new owner requests copies
        # from these. Members in another availability zone are preferred, so that one holder
        # survives the failure of an availability zone.
        members = self._control.members
        own = self._control.member
        candidates = [
            member_id
            for member_id in rank_by_rendezvous(group, members.list_reachable())
            if member_id in self._control.listed_members
            and process_of(member_id) != self.manager.process
        ]
        availability_zones = {
            member_id: members.members[member_id].availability_zone for member_id in candidates
        }
        return sorted(
            candidates, key=lambda member_id: availability_zones[member_id] == own.availability_zone
        )

    def _get_owner_client(self, owner: str) -> PeerClient | None:
        # An owner that has lost its lease rejoins as a member with a new identifier.
        peer = self._get_peer(owner)
        if peer is not None or not owner:
            return peer
        for member_id in self._control.members.members:
            if process_of(member_id) == process_of(owner):
                return self._get_peer(member_id)
        return None

    # Takeover

    async def _take_over(self, table: PermitTable) -> None:
        while not table.is_superseded:
            table.history.record_coverage(self.manager.covered_ms())
            # Members that are no longer listed may be gone, and a pull from them would wait for the
            # timeout. They are queried only after the group is ready.
            listed = {process_of(member_id) for member_id in self._control.listed_members}
            missing = table.history.missing_processes()
            await self._pull_all_copies(table, missing if table.is_ready else missing & listed)
            is_complete = table.update_completeness()
            if not table.is_ready:
                table.is_ready = True
                log_event(
                    "key group taken over",
                    group=table.group,
                    epoch=table.epoch,
                    complete=is_complete,
                )
            if is_complete and not table.history.missing_processes():
                return
            await anyio.sleep(_PULL_RETRY_DELAY_MS / 1000)

    async def _pull_all_copies(self, table: PermitTable, processes: Collection[str]) -> None:
        async with anyio.create_task_group() as group:
            for process in sorted(processes):
                group.start_soon(self._pull_copies, table, process)

    async def _pull_copies(self, table: PermitTable, process: str) -> None:
        address = self._addresses.get(process)
        if address is None:
            return
        request = PullPermits(group=table.group, epoch=table.epoch)
        listed = [
            member_id
            for member_id in self._control.listed_members
            if process_of(member_id) == process
        ]
        client = self._get_peer(listed[0]) if listed else None
        if client is not None:
            result = await client.pull_permits(request)
        else:
            # A daemon that lost its lease is no longer listed, but it may still hold copies.
            client = self._connect_peer(address)
            async with anyio.create_task_group() as group:
                group.start_soon(client.run)
                result = await client.pull_permits(request)
                group.cancel_scope.cancel()
        if isinstance(result, Failure):
            return
        self.manager.merge_pulled_copies(table, result.unwrap())
