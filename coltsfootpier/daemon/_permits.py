"""Permits in one daemon: owned key groups, copies for peers, and requests of its callers."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Collection

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.callers import Claim, Permit, Recorded
from coltsfootpier.clock import Clock
from coltsfootpier.daemon._control import Control
from coltsfootpier.logs import log_event
from coltsfootpier.ownership import key_group, rank_by_rendezvous
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

_RETRY_MS = 50.0
# A permit is asked for again for at most this share of the time that the request has left.
_ACQUIRE_SHARE = 0.5
_ACQUIRE_TIMEOUT_MS = 2_000.0
# Outcomes go to a peer with the next grant of the group, or after this time. Those that a dead
# owner had not sent are unknown to the next one. With 100 ms, most requests needed a message
# of their own for the outcome.
_FLUSH_MS = 1_000.0
_PULL_RETRY_MS = 500.0
# An outcome that couldn't be delivered is tried again in the background for this long, which
# covers a change of the owner. After that the key stays undecided for the window.
_SETTLE_RETRY_MS = 15_000.0
_SETTLE_TRY_MS = 200.0
_MAX_BACKGROUND = 1_000
_DENIALS = {
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
    """Grants, copies and asks for permits.

    Parameters
    ----------
    settings : Settings
        Windows and bounds.
    clock : Clock
        Time source.
    control : Control
        Members and owners.
    get_peer : callable
        Returns the client of a member, or None.
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
        self.verdicts: dict[Verdict, int] = dict.fromkeys(Verdict, 0)
        self._addresses: dict[str, str] = {}
        self._background = 0
        self._group: TaskGroup | None = None

    async def run(self) -> None:
        """Pass outcomes to peers until cancelled."""
        async with anyio.create_task_group() as self._group:
            while True:
                await anyio.sleep(_FLUSH_MS / 1000)
                for table in self.manager.list_unsent():
                    await self._copy(table, ())

    def reconcile(self) -> None:
        """Take changes of members and owners."""
        if self._group is None:
            return
        listed = self._control.listed
        for table in self.manager.reconcile(
            listed, listed_ms=self._control.listed_ms, is_retired=self._is_retired
        ):
            self._group.start_soon(self._take_over, table)
        for id_, member in listed.items():
            self._addresses[process_of(id_)] = member.peers_address
        for process in self._addresses.keys() - self.manager.known_processes.ages().keys():
            del self._addresses[process]

    def _is_retired(self, process: str) -> bool:
        # Asked about processes without a listed member, so that any session of them will do.
        return self._control.is_retired(f"{process}.0")

    async def wait_for_successors(self, *, timeout_ms: float) -> None:
        """Wait until the new owners of the handed over groups have pulled the records."""
        owned = self._control.ownership.table.partitions
        groups = {
            group: table.epoch
            for group, table in self.manager.tables.items()
            if owned[group].epoch > table.epoch
        }
        copies = self.manager.copies
        with anyio.move_on_after(timeout_ms / 1000):
            while any(copies.pulled_epoch(group) <= epoch for group, epoch in groups.items()):
                await anyio.sleep(_RETRY_MS / 1000)

    # Requests of this daemon's callers

    async def acquire(self, claim: Claim) -> Permit | Recorded | Rejected:
        """Ask the owner of the key for a permit; asks again while there is no owner."""
        token = secrets.token_hex(8)
        group = key_group(claim.key)
        began_ms = self._clock.now_ms()
        end_ms = began_ms + (claim.deadline_ms - began_ms) * _ACQUIRE_SHARE
        verdict = Verdict.NOT_OWNER
        may_be_recorded = False
        while (left_ms := end_ms - self._clock.now_ms()) > 0:
            request = AcquirePermit(
                group=group,
                kind=claim.kind,
                key=claim.key,
                token=token,
                fingerprint=claim.fingerprint,
                hold_ms=claim.deadline_ms - self._clock.now_ms() + claim.max_run_ms,
            )
            result = await self._ask_owner(request, min(left_ms, _ACQUIRE_TIMEOUT_MS))
            if isinstance(result, Success):
                reply = result.unwrap()
                verdict = reply.verdict
                if verdict is Verdict.GRANTED:
                    return Permit(claim=claim, token=token)
                if verdict is Verdict.KNOWN:
                    return Recorded(outcome=reply.outcome, status=reply.status)
                if verdict is Verdict.INCOMPLETE and claim.kind is KeyKind.IDEMPOTENCY:
                    return Recorded(outcome=Outcome.UNKNOWN)
                if verdict not in (Verdict.NOT_OWNER, Verdict.NO_COPY):
                    break
            elif not isinstance(result.failure(), NotSent):
                may_be_recorded = True
            await anyio.sleep(_RETRY_MS / 1000)
        if may_be_recorded:
            self._settle_later(Permit(claim=claim, token=token), Outcome.REFUSED, 0)
        return Rejected(reason=_DENIALS[verdict][0], detail=_DENIALS[verdict][1])

    async def settle(self, permit: Permit, outcome: Outcome, status: int) -> None:
        """Tell the owner what became of a request."""
        if outcome is Outcome.UNKNOWN:
            return
        with anyio.move_on_after(_SETTLE_TRY_MS / 1000):
            if await self._try_settle(permit, outcome, status):
                return
        self._settle_later(permit, outcome, status)

    def _settle_later(self, permit: Permit, outcome: Outcome, status: int) -> None:
        if self._background >= _MAX_BACKGROUND:
            log_event("outcome of a permit dropped", reason="too many wait")
            return
        self._background += 1
        self._group.start_soon(self._keep_settling, permit, outcome, status)

    async def _keep_settling(self, permit: Permit, outcome: Outcome, status: int) -> None:
        try:
            with anyio.move_on_after(_SETTLE_RETRY_MS / 1000):
                while not await self._try_settle(permit, outcome, status):
                    await anyio.sleep(4 * _RETRY_MS / 1000)
        finally:
            self._background -= 1

    async def _try_settle(self, permit: Permit, outcome: Outcome, status: int) -> bool:
        group = key_group(permit.claim.key)
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
        peer = self._find_peer(self._control.ownership.owner_of(group))
        if peer is None:
            return False
        result = await peer.settle_permit(message)
        return isinstance(result, Success) and result.unwrap().accepted

    async def _ask_owner(
        self, request: AcquirePermit, timeout_ms: float
    ) -> Result[PermitReply, CallError]:
        if request.group in self.manager.tables:
            return Success(await self.on_acquire_permit(request))
        peer = self._find_peer(self._control.ownership.owner_of(request.group))
        if peer is None:
            return Failure(NotSent("the owner is not known"))
        return await peer.acquire_permit(request, timeout_ms=timeout_ms)

    # Messages of peers

    async def on_acquire_permit(self, request: AcquirePermit) -> PermitReply:
        """Decide on a permit if this daemon owns the key group."""
        was_only_member = self.manager.is_only_member
        reply = self.manager.decide(request)
        if isinstance(reply, CopyRequired):
            table, record = self.manager.tables[request.group], reply.record
            copied = await self._copy(table, (record,))
            reply = self.manager.decide_after_copy(
                table, record, copied=copied, was_only_member=was_only_member
            )
        self.verdicts[reply.verdict] += 1
        return reply

    async def on_copy_permits(self, request: CopyPermits) -> CopyReply:
        """Keep copies of records for the owner of a key group."""
        return self.manager.receive_copies(request)

    async def on_settle_permit(self, request: SettlePermit) -> SettleReply:
        """Take the outcome of a request."""
        return self.manager.settle(request)

    async def on_pull_permits(self, request: PullPermits) -> PulledPermits:
        """Take the epoch of a new owner and return the copies of its group."""
        return self.manager.handle_pull(request)

    # Copies

    async def _copy(self, table: PermitTable, records: tuple[PermitRecord, ...]) -> bool:
        message = self.manager.build_copy_message(table, records)
        for member in self._rank_holders(table.group):
            peer = self._get_peer(member)
            if peer is None:
                continue
            result = await peer.copy_permits(message, timeout_ms=self._copy_timeout_ms)
            if isinstance(result, Success):
                reply = result.unwrap()
                if reply.accepted:
                    return True
                self.manager.copies.announce(table.group, reply.epoch)
                if table.is_superseded:
                    return False
        # An outcome that no peer took is not sent again: without it the key is undecided for a
        # new owner, which is safe.
        return False

    def _rank_holders(self, group: str) -> list[str]:
        # Only members that the store has listed count: a new owner asks these for copies.
        # Another zone comes first, so that a zone's failure leaves one holder.
        members = self._control.members
        own = self._control.member
        candidates = [
            id_
            for id_ in rank_by_rendezvous(group, members.reachable())
            if id_ in self._control.listed and process_of(id_) != self.manager.process
        ]
        zones = {id_: members.members[id_].availability_zone for id_ in candidates}
        return sorted(candidates, key=lambda id_: zones[id_] == own.availability_zone)

    def _find_peer(self, owner: str) -> PeerClient | None:
        # After a lost lease the owner is a member under a new identifier.
        peer = self._get_peer(owner)
        if peer is not None or not owner:
            return peer
        for id_ in self._control.members.members:
            if process_of(id_) == process_of(owner):
                return self._get_peer(id_)
        return None

    # Take-over

    async def _take_over(self, table: PermitTable) -> None:
        while not table.is_superseded:
            table.history.record_coverage(self.manager.covered_ms())
            # Members that have left the list may be gone and keep the pull waiting, so that they
            # are asked only after the group is ready.
            listed = {process_of(id_) for id_ in self._control.listed}
            missing = table.history.missing_processes()
            await self._pull_all(table, missing if table.ready else missing & listed)
            is_complete = table.check_history()
            if not table.ready:
                table.ready = True
                log_event(
                    "key group taken over",
                    group=table.group,
                    epoch=table.epoch,
                    complete=is_complete,
                )
            if is_complete and not table.history.missing_processes():
                return
            await anyio.sleep(_PULL_RETRY_MS / 1000)

    async def _pull_all(self, table: PermitTable, processes: Collection[str]) -> None:
        async with anyio.create_task_group() as group:
            for process in sorted(processes):
                group.start_soon(self._pull, table, process)

    async def _pull(self, table: PermitTable, process: str) -> None:
        address = self._addresses.get(process)
        if address is None:
            return
        request = PullPermits(group=table.group, epoch=table.epoch)
        listed = [id_ for id_ in self._control.listed if process_of(id_) == process]
        client = self._get_peer(listed[0]) if listed else None
        if client is not None:
            result = await client.pull_permits(request)
        else:
            # A daemon that lost its lease has left the list but may still hold copies.
            client = self._connect_peer(address)
            async with anyio.create_task_group() as group:
                group.start_soon(client.run)
                result = await client.pull_permits(request)
                group.cancel_scope.cancel()
        if isinstance(result, Failure):
            return
        self.manager.merge_pulled_copies(table, result.unwrap())
