"""Membership, partition ownership and configuration of one daemon."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping

import anyio
import attrs
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.configuration import Revision, RevisionState, extend_history, has_taken_effect
from coltsfootpier.exceptions import Problem
from coltsfootpier.logs import log_event
from coltsfootpier.membership import Member, MemberTable, VmTable
from coltsfootpier.ownership import OwnershipState, OwnerTable, list_partitions, parse_vm_name
from coltsfootpier.platform import (
    Conflict,
    Item,
    LeaseLost,
    PlatformClient,
    PlatformError,
    StoreUnavailable,
    StoreUnknown,
    Vm,
)
from coltsfootpier.settings import Settings
from coltsfootpier.transport import MalformedMessageError, decode, encode, unstructure

_CONTROL_PREFIX = "control/"
_CONFIG_KEY = "control/config"
_OWNERS_KEY = "control/owners"
_MEMBERS_PREFIX = "control/members/"
# A watch without a response for this time is restarted. Meanwhile, changes of members and of the
# revision arrive with the heartbeats of peers.
_WATCH_TIMEOUT_MS = 5_000
_VM_LIST_PERIOD_MS = 1_000.0
# Maximum delay between attempts while the store is unavailable. The delay is random, below a bound
# that doubles, so that daemons don't all retry at the same time.
_BACKOFF_MAX_MS = 2_000.0
_BACKOFF_INITIAL_MS = 100.0
# After a store outage that outlasts the leases, each daemon rejoins within the maximum back-off
# plus the duration of one call. The first daemon to rejoin must not claim partitions that the
# others still own, so a daemon claims none for this time after it has rejoined.
_REJOIN_CLAIM_DELAY_MS = 3_500.0
# Delay after a watch without changes, which avoids a busy loop if the store responds at once.
_EMPTY_WATCH_DELAY_MS = 50.0
# Maximum size of a value in the store.
_MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class ApplyConflict:
    """Another change was applied first; `revision` is the revision in force."""

    revision: int


@attrs.frozen
class ApplyUnavailable:
    """The change was not written, for `reason`."""

    reason: str


@attrs.frozen
class ApplyUnknown:
    """The outcome of the write is unknown; `token` identifies the change."""

    token: str


ApplyError = ApplyConflict | ApplyUnavailable | ApplyUnknown


class Backoff:
    """Exponential back-off with random delays."""

    def __init__(self) -> None:
        self._delay_bound_ms = _BACKOFF_INITIAL_MS

    def reset(self) -> None:
        """Reset the bound to its initial value, after a successful attempt."""
        self._delay_bound_ms = _BACKOFF_INITIAL_MS

    async def sleep(self) -> None:
        """Sleep for a random time below the bound, then double the bound."""
        await anyio.sleep(random.uniform(0.3, 1.0) * self._delay_bound_ms / 1000)
        self._delay_bound_ms = min(2 * self._delay_bound_ms, _BACKOFF_MAX_MS)


class Control:
    """Membership, partition ownership and configuration of one daemon.

    Parameters
    ----------
    settings : Settings
        Addresses, periods and limits.
    platform : PlatformClient
        Client of the store and of the list of VMs.
    clock : Clock
        Time source.
    on_change : callable
        Callback that runs after each change of members, owners, revision or VMs.
    on_suspend : callable
        Callback that cancels the tasks of the partitions that are about to be handed over.
    incarnation : str
        Identifier of this start of the daemon, unique among all daemons; part of the member
        identifier.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        platform: PlatformClient,
        clock: Clock,
        on_change: Callable[[], None],
        on_suspend: Callable[[set[str]], Awaitable[None]],
        incarnation: str,
    ) -> None:
        periods = settings.periods
        self.ownership = OwnershipState(clock=clock, ttl_ms=periods["member_lease_ms"])
        self.members = MemberTable(clock=clock, heartbeat_ms=periods["heartbeat_ms"])
        self.revisions = RevisionState()
        self._vm_table = VmTable(clock=clock)
        # Members that announced a planned stop; they are assigned no partitions.
        self.draining: set[str] = set()
        self.last_store_response_ms = float("-inf")
        # Time at which the newest listing or watch that succeeded was requested.
        self.listed_ms = float("-inf")
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._on_change = on_change
        self._on_suspend = on_suspend
        self._incarnation = incarnation
        self._session_count = 0
        self._lease = ""
        self._live_members: dict[str, Member] = {}
        self._config_version = 0
        self._leaving = False
        self._claim_after_ms = float("-inf")
        self.ownership.member = self._build_member_id()

    # State of the daemon

    @property
    def member(self) -> Member:
        """Member entry of this daemon."""
        listen = self._settings.listen
        return Member(
            id=self.ownership.member,
            name=self._settings.daemon["name"],
            availability_zone=self._settings.daemon["availability_zone"],
            peers_address=_format_address(listen["peers"]),
            operators_address=_format_address(listen["operators"]),
        )

    @property
    def vms(self) -> tuple[Vm, ...]:
        """VMs that the platform lists, and VMs that it no longer lists."""
        return self._vm_table.vms

    @property
    def store_response_age_ms(self) -> float:
        """Milliseconds since the last response of the store; infinite if there was none."""
        return self._clock.now_ms() - self.last_store_response_ms

    @property
    def known_revision(self) -> int:
        """Newest known revision; -1 until the store or a peer has reported one."""
        return self.revisions.revision.revision if self.revisions.is_known else -1

    @property
    def shards(self) -> list[str]:
        """Names of the shards, which are the racks that contain workers."""
        return sorted({vm.rack for vm in self.vms if vm.role == "worker" and vm.rack})

    @property
    def listed_members(self) -> Mapping[str, Member]:
        """Members by identifier, as last listed by the store."""
        return self._live_members

    def are_previous_owners_retired(self, partition: str) -> bool:
        """Return whether no previous owner can still renew leases of a partition's batch tasks."""
        ownership = self.ownership.table.partitions.get(partition)
        return ownership is None or all(map(self.is_retired, ownership.suspects))

    def is_retired(self, member: str) -> bool:
        """Return whether a member's VM is gone or runs a later incarnation or session."""
        name = parse_vm_name(member)
        gone = any(vm.name == name and vm.state == "gone" for vm in self.vms)
        return gone or any(
            live.name == name and live.id != member for live in self._live_members.values()
        )

    # Tasks

    async def run(self) -> None:
        """Renew the member lease, watch the store and list the VMs until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._lease_loop)
            group.start_soon(self._watch_loop)
            group.start_soon(self._vm_list_loop)

    def observe_revision(self, revision: Revision) -> bool:
        """Apply a durable revision from the store or a peer; return whether it is new."""
        changed = self.revisions.observe(revision)
        if changed:
            log_event("configuration applied", revision=revision.revision)
            self._on_change()
        return changed

    async def apply(
        self, text: str, *, base: int, token: str, source: str
    ) -> Result[Revision, object]:
        """Validate a change of the configuration and write it to the store.

        Parameters
        ----------
        text : str
            New declaration.
        base : int
            Revision that the operator's change is based on.
        token : str
            Unique identifier of the change.
        source : str
            File name used in error messages.

        Returns
        -------
        Result of Revision, or of a tuple of Problem or an ApplyError
        """
        proposed = self.revisions.propose(text, base=base, token=token, source=source)
        if isinstance(proposed, Failure):
            return proposed
        size = len(encode(unstructure(proposed.unwrap())))
        if size > _MAX_VALUE_BYTES:
            return Failure((_build_size_problem(source, size),))
        try:
            return await self._write_revision(proposed.unwrap(), base=base)
        except MalformedMessageError as error:
            return Failure(ApplyUnavailable(f"{_CONFIG_KEY} in the store can't be read: {error}"))

    async def _write_revision(self, change: Revision, *, base: int) -> Result[Revision, object]:
        current = await self._platform.get(_CONFIG_KEY)
        if isinstance(current, Failure):
            return Failure(ApplyUnavailable(_describe_error(current.failure())))
        item = current.unwrap()
        stored = _read_revision(item)
        # A retried request may find that its change is already in force. The read above may have
        # been served before that write took effect, so the known revision is checked too.
        for candidate in (stored, self.revisions.revision):
            if candidate.includes(change.token):
                return Success(candidate)
        revision = extend_history(change, stored)
        newest = max(stored.revision, self.revisions.revision.revision)
        if newest != base:
            return Failure(ApplyConflict(newest))
        written = await self._platform.put(
            _CONFIG_KEY, unstructure(revision), expected_version=item.version
        )
        if isinstance(written, Success):
            return Success(revision)
        try:
            return await self._resolve_write(revision, written.failure())
        except MalformedMessageError:
            return Failure(ApplyUnknown(revision.token))

    async def _resolve_write(self, revision: Revision, error: object) -> Result[Revision, object]:
        if isinstance(error, Conflict):
            stored = _read_revision(error.current)
            # An earlier copy of the same write may have taken effect.
            if has_taken_effect(revision, stored):
                return Success(revision)
            return Failure(ApplyConflict(stored.revision))
        if not isinstance(error, StoreUnknown):
            return Failure(ApplyUnavailable(_describe_error(error)))
        backoff = Backoff()
        for _ in range(8):
            await backoff.sleep()
            read = await self._platform.get(_CONFIG_KEY)
            if isinstance(read, Success):
                stored = _read_revision(read.unwrap())
                outcome = has_taken_effect(revision, stored)
                if outcome is not None:
                    return Success(revision) if outcome else Failure(ApplyConflict(stored.revision))
        # The write may still be in flight, so the absence of the token is not conclusive.
        return Failure(ApplyUnknown(revision.token))

    async def hand_over(
        self, *, before_leaving: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        """Hand over all partitions and revoke the member lease, for a planned stop.

        Parameters
        ----------
        before_leaving : callable, optional
            Callback that is awaited after the partitions are handed over and before the lease is
            revoked.
        """
        self._leaving = True
        for _ in range(5):
            live = [
                member_id
                for member_id in self.members.list_reachable()
                if member_id in self._live_members and member_id not in self.draining
            ]
            table = self.ownership.plan_handover(live, leave=True)
            if table is None or not self.ownership.is_valid:
                break
            if await self._hand_over_partitions(table):
                break
            await anyio.sleep(_BACKOFF_INITIAL_MS / 1000)
        if before_leaving is not None:
            await before_leaving()
        if self._lease:
            await self._platform.revoke_lease(self._lease)

    # Lease

    def _build_member_id(self) -> str:
        name = self._settings.daemon["name"]
        return f"{name}.{self._incarnation}.{self._session_count}"

    async def _lease_loop(self) -> None:
        backoff = Backoff()
        while True:
            succeeded = await (self._renew() if self._lease else self._join())
            if succeeded:
                backoff.reset()
                await anyio.sleep(self._settings.periods["member_renew_ms"] / 1000)
            else:
                await backoff.sleep()

    async def _join(self) -> bool:
        if self._leaving:
            return True
        ttl_ms = self._settings.periods["member_lease_ms"]
        sent_ms = self._clock.now_ms()
        granted = await self._platform.grant_lease(ttl_ms=ttl_ms)
        if isinstance(granted, Failure):
            return False
        if self._session_count:
            self._claim_after_ms = self._clock.now_ms() + _REJOIN_CLAIM_DELAY_MS
        self._session_count += 1
        self.ownership.start_session()
        member_id = self._build_member_id()
        member = attrs.evolve(self.member, id=member_id)
        written = await self._platform.put(
            _MEMBERS_PREFIX + member_id,
            unstructure(member),
            expected_version=0,
            lease=granted.unwrap(),
        )
        if isinstance(written, Failure):
            # The key may have been written. Its lease is not renewed, so the key expires.
            return False
        self._lease = granted.unwrap()
        self.ownership.join(member_id, sent_ms=sent_ms)
        log_event("member joined", member=member_id)
        self._on_change()
        return True

    async def _renew(self) -> bool:
        sent_ms = self._clock.now_ms()
        renewed = await self._platform.renew_lease(self._lease)
        if isinstance(renewed, Success):
            self.ownership.record_renewal(sent_ms=sent_ms)
            self.last_store_response_ms = self._clock.now_ms()
            await self._claim_partitions()
            return True
        if isinstance(renewed.failure(), LeaseLost):
            log_event("lease lost", member=self.ownership.member)
            self.ownership.invalidate_lease()
            self._lease = ""
            self._on_change()
        return False

    # Watch

    async def _watch_loop(self) -> None:
        backoff = Backoff()
        # Revision up to which changes were observed; -1 requires a new listing.
        observed_revision = -1
        while True:
            sent_ms = self._clock.now_ms()
            if observed_revision < 0:
                listing = await self._platform.list(_CONTROL_PREFIX)
                if isinstance(listing, Failure):
                    await backoff.sleep()
                    continue
                observed_revision = listing.unwrap().revision
                self._live_members.clear()
                self.listed_ms = sent_ms
                self._observe_items(listing.unwrap().items)
                self.revisions.is_known = True
                self.last_store_response_ms = self._clock.now_ms()
            watched = await self._platform.watch(
                _CONTROL_PREFIX, after=observed_revision, wait_ms=_WATCH_TIMEOUT_MS
            )
            if isinstance(watched, Failure):
                await backoff.sleep()
                continue
            backoff.reset()
            self.last_store_response_ms = self._clock.now_ms()
            self.listed_ms = sent_ms
            change = watched.unwrap()
            observed_revision = -1 if change.is_history_lost else change.revision
            if change.items:
                self._observe_items(change.items)
                await self._claim_partitions()
            else:
                await anyio.sleep(_EMPTY_WATCH_DELAY_MS / 1000)

    def _observe_items(self, items: tuple[Item, ...]) -> None:
        for item in items:
            try:
                self._observe_item(item)
            except MalformedMessageError as error:
                log_event("cannot decode store value", key=item.key, reason=str(error))
        self.members.observe_listing(self._live_members)
        self.draining &= self._live_members.keys()
        self._on_change()

    def _observe_item(self, item: Item) -> None:
        if item.key == _CONFIG_KEY and item.value is not None:
            self.observe_revision(_read_revision(item))
        elif item.key == _OWNERS_KEY and item.value is not None:
            self.ownership.observe(decode(item.value, OwnerTable), item.version)
        elif item.key.startswith(_MEMBERS_PREFIX):
            member_id = item.key.removeprefix(_MEMBERS_PREFIX)
            if item.value is None:
                self._live_members.pop(member_id, None)
            else:
                self._live_members[member_id] = decode(item.value, Member)

    # Claims

    async def _claim_partitions(self) -> None:
        """Claim partitions without a live owner, or hand over those beyond the fair share."""
        # Members and owners are read from one ordered watch. An owner that is not among the
        # members had therefore already lost its lease at the observed version of the table.
        if self._leaving or not self.ownership.is_valid or not self.shards:
            return
        if self._clock.now_ms() < self._claim_after_ms:
            return
        # A rack that is no longer listed keeps its partition, because its record may contain
        # tasks that must be released.
        known_partitions = self.ownership.table.partitions
        shards = {
            name.removeprefix("shard/") for name in known_partitions if name.startswith("shard/")
        }
        partitions = list_partitions(shards.union(self.shards))
        suspects = {
            member
            for ownership in self.ownership.table.partitions.values()
            for member in (*ownership.suspects, ownership.member)
        }
        table = self.ownership.plan_claims(
            partitions,
            self._live_members.keys(),
            retired={member for member in suspects if self.is_retired(member)},
        )
        if table is not None:
            await self._write_owners(table)
            return
        staying = [member_id for member_id in self._live_members if member_id not in self.draining]
        table = self.ownership.plan_handover(staying, leave=False, partitions=partitions)
        if table is not None:
            await self._hand_over_partitions(table)

    async def _hand_over_partitions(self, table: OwnerTable) -> bool:
        # Partitions are suspended before the write: a start command that this daemon sends after
        # the next owner has taken over could start a task that the new owner has already ended.
        # They stay suspended whatever the outcome of the write, because the response may be lost
        # after the write took effect. Partitions that this daemon still owns are claimed again.
        moved = {
            name
            for name in self.ownership.list_assigned_epochs()
            if name not in table.partitions_of(self.member.id)
        }
        for name in moved:
            self.ownership.end_epoch(name, self.ownership.epoch_of(name))
        await self._on_suspend(moved)
        return await self._write_owners(table)

    async def _write_owners(self, table: OwnerTable) -> bool:
        written = await self._platform.put(
            _OWNERS_KEY, unstructure(table), expected_version=self.ownership.table_version
        )
        if isinstance(written, Success):
            self.ownership.observe(table, written.unwrap().version)
            self._on_change()
            return True
        # The table that a conflict returns is not applied: it may be newer than the observed
        # members, and a member that joined in between would then be considered dead. The watch
        # delivers both in order. If a response was lost, it also shows whether the write took
        # effect.
        return False

    # List of VMs

    async def _vm_list_loop(self) -> None:
        while True:
            listed = await self._platform.list_vms()
            if isinstance(listed, Success) and self._vm_table.observe(listed.unwrap()):
                self._on_change()
                await self._claim_partitions()
            await anyio.sleep(_VM_LIST_PERIOD_MS / 1000)


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _build_size_problem(source: str, size: int) -> Problem:
    return Problem(
        source=source,
        section="",
        key="",
        found=f"{size} bytes",
        allowed=f"at most {_MAX_VALUE_BYTES} bytes, which the store holds",
    )


def _incarnation(member_id: str) -> str:
    return member_id.rsplit(".", 2)[-2] if member_id.count(".") >= 2 else member_id


def _describe_error(error: PlatformError) -> str:
    if isinstance(error, StoreUnavailable | StoreUnknown):
        return error.reason
    return type(error).__name__


def _read_revision(item: Item) -> Revision:
    return decode(item.value, Revision) if item.value is not None else Revision()


def spawn(group: TaskGroup, task: Callable, *args: object) -> anyio.CancelScope:
    """Start a task in a cancel scope of its own and return the scope."""
    scope = anyio.CancelScope()

    async def run() -> None:
        with scope:
            await task(*args)

    group.start_soon(run)
    return scope
