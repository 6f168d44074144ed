"""The task that owns membership, ownership and the configuration of a daemon."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping

import anyio
import attrs
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.configuration import Revision, RevisionState, follow, settle
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

_PREFIX = "control/"
_CONFIG = "control/config"
_OWNERS = "control/owners"
_MEMBERS = "control/members/"
# A watch that stays silent for longer is started anew; peers bridge the gap.
_WATCH_WAIT_MS = 5_000
_VMS_PERIOD_MS = 1_000.0
# Longest wait between tries while the store is down. The wait is drawn at random below a
# doubling bound, so that daemons don't return to the store all at once.
_BACKOFF_MAX_MS = 2_000.0
_BACKOFF_START_MS = 100.0
# After an outage of the store that was longer than the leases, each daemon comes back within
# the longest back-off and a call. The first one must not claim what the others still hold.
_REJOIN_WAIT_MS = 3_500.0
# Pause after a watch that showed nothing, in case the store answers it without waiting.
_EMPTY_WATCH_MS = 50.0
# Largest value that the store holds.
_MAX_VALUE = 1_000_000


@attrs.frozen
class ApplyConflict:
    """Another change won; `revision` is the one in force."""

    revision: int


@attrs.frozen
class ApplyUnavailable:
    """The change was not written."""

    reason: str


@attrs.frozen
class ApplyUnknown:
    """It could not be found out whether the change was written."""

    token: str


ApplyError = ApplyConflict | ApplyUnavailable | ApplyUnknown


class Backoff:
    """Random waits below a doubling bound."""

    def __init__(self) -> None:
        self._bound_ms = _BACKOFF_START_MS

    def reset(self) -> None:
        """Start again with the shortest bound after a success."""
        self._bound_ms = _BACKOFF_START_MS

    async def sleep(self) -> None:
        """Wait once and double the bound."""
        await anyio.sleep(random.uniform(0.3, 1.0) * self._bound_ms / 1000)
        self._bound_ms = min(2 * self._bound_ms, _BACKOFF_MAX_MS)


class Control:
    """Membership, ownership and configuration.

    Parameters
    ----------
    settings : Settings
        Addresses, periods and bounds.
    platform : PlatformClient
        The store and the list of VMs.
    clock : Clock
        Time source.
    on_change : callable
        Called after each change of members, owners, revision or VMs.
    on_suspend : callable
        Ends the tasks of partitions that are about to be handed over.
    incarnation : str
        Unique among all starts of daemons; part of the member identifier.
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
        # Members that said that they are about to stop; they take no partitions.
        self.draining: set[str] = set()
        self.store_heard_ms = float("-inf")
        self.listed_ms = float("-inf")
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._on_change = on_change
        self._on_suspend = on_suspend
        self._incarnation = incarnation
        self._sessions = 0
        self._lease = ""
        self._live: dict[str, Member] = {}
        self._config_version = 0
        self._leaving = False
        self._claim_after_ms = float("-inf")
        self.ownership.member = self._member_id()

    # What the daemon says about itself

    @property
    def member(self) -> Member:
        """This daemon as a member."""
        listen = self._settings.listen
        return Member(
            id=self.ownership.member,
            name=self._settings.daemon["name"],
            availability_zone=self._settings.daemon["availability_zone"],
            peers_address=_join(listen["peers"]),
            operators_address=_join(listen["operators"]),
        )

    @property
    def vms(self) -> tuple[Vm, ...]:
        """The platform's list of VMs, with those that have left it."""
        return self._vm_table.vms

    @property
    def store_silence_ms(self) -> float:
        """Milliseconds since the store last answered; infinite when it never did."""
        return self._clock.now_ms() - self.store_heard_ms

    @property
    def known_revision(self) -> int:
        """Newest revision known; -1 while neither the store nor a peer has named one."""
        return self.revisions.revision.revision if self.revisions.known else -1

    @property
    def shards(self) -> list[str]:
        """Names of the shards: the racks of the workers."""
        return sorted({vm.rack for vm in self.vms if vm.role == "worker" and vm.rack})

    @property
    def listed(self) -> Mapping[str, Member]:
        """Members by identifier, as the store last listed them."""
        return self._live

    def is_previous_retired(self, partition: str) -> bool:
        """Whether no earlier owner of a partition can go on renewing its batch tasks."""
        ownership = self.ownership.table.partitions.get(partition)
        return ownership is None or all(map(self.is_retired, ownership.suspects))

    def is_retired(self, member: str) -> bool:
        """Whether a member's VM is gone, or runs a later incarnation or session."""
        name = parse_vm_name(member)
        gone = any(vm.name == name and vm.state == "gone" for vm in self.vms)
        return gone or any(live.name == name and live.id != member for live in self._live.values())

    # Tasks

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._lease_loop)
            group.start_soon(self._watch_loop)
            group.start_soon(self._vms_loop)

    def observe_revision(self, revision: Revision) -> bool:
        """Take a durable revision from the store or a peer; return whether it is new."""
        changed = self.revisions.observe(revision)
        if changed:
            log_event("configuration in force", revision=revision.revision)
            self._on_change()
        return changed

    async def apply(
        self, text: str, *, base: int, token: str, source: str
    ) -> Result[Revision, object]:
        """Accept a change of the configuration.

        Parameters
        ----------
        text : str
            The new text.
        base : int
            The revision that the operator's change is based on.
        token : str
            Names the change.
        source : str
            File name for error messages.

        Returns
        -------
        Result of Revision, or of a tuple of Problem or an ApplyError
        """
        proposed = self.revisions.propose(text, base=base, token=token, source=source)
        if isinstance(proposed, Failure):
            return proposed
        size = len(encode(unstructure(proposed.unwrap())))
        if size > _MAX_VALUE:
            return Failure((_describe_size(source, size),))
        try:
            return await self._write_revision(proposed.unwrap(), base=base)
        except MalformedMessageError as error:
            return Failure(ApplyUnavailable(f"{_CONFIG} in the store can't be read: {error}"))

    async def _write_revision(self, change: Revision, *, base: int) -> Result[Revision, object]:
        current = await self._platform.get(_CONFIG)
        if isinstance(current, Failure):
            return Failure(ApplyUnavailable(_describe(current.failure())))
        item = current.unwrap()
        stored = _read_revision(item)
        # A repeated request may find its own change in force already, and the read that it
        # sent before that write took effect.
        for known in (stored, self.revisions.revision):
            if known.includes(change.token):
                return Success(known)
        revision = follow(change, stored)
        newest = max(stored.revision, self.revisions.revision.revision)
        if newest != base:
            return Failure(ApplyConflict(newest))
        written = await self._platform.put(
            _CONFIG, unstructure(revision), expected_version=item.version
        )
        if isinstance(written, Success):
            return Success(revision)
        try:
            return await self._settle_apply(revision, written.failure())
        except MalformedMessageError:
            return Failure(ApplyUnknown(revision.token))

    async def _settle_apply(self, revision: Revision, error: object) -> Result[Revision, object]:
        if isinstance(error, Conflict):
            stored = _read_revision(error.current)
            # A copy of the write that arrived before may have taken effect.
            if settle(revision, stored):
                return Success(revision)
            return Failure(ApplyConflict(stored.revision))
        if not isinstance(error, StoreUnknown):
            return Failure(ApplyUnavailable(_describe(error)))
        backoff = Backoff()
        for _ in range(8):
            await backoff.sleep()
            read = await self._platform.get(_CONFIG)
            if isinstance(read, Success):
                stored = _read_revision(read.unwrap())
                outcome = settle(revision, stored)
                if outcome is not None:
                    return Success(revision) if outcome else Failure(ApplyConflict(stored.revision))
        # The write may still be on its way, so a missing token proves nothing.
        return Failure(ApplyUnknown(revision.token))

    async def hand_over(
        self, *, before_leaving: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        """Give all partitions away and end the membership, for a planned stop.

        Parameters
        ----------
        before_leaving : callable, optional
            Called once the partitions are given away and the membership still lasts.
        """
        self._leaving = True
        for _ in range(5):
            live = [
                id_
                for id_ in self.members.reachable()
                if id_ in self._live and id_ not in self.draining
            ]
            table = self.ownership.plan_handover(live, leave=True)
            if table is None or not self.ownership.is_valid:
                break
            if await self._give_away(table):
                break
            await anyio.sleep(_BACKOFF_START_MS / 1000)
        if before_leaving is not None:
            await before_leaving()
        if self._lease:
            await self._platform.revoke_lease(self._lease)

    # Lease

    def _member_id(self) -> str:
        name = self._settings.daemon["name"]
        return f"{name}.{self._incarnation}.{self._sessions}"

    async def _lease_loop(self) -> None:
        backoff = Backoff()
        while True:
            done = await (self._renew() if self._lease else self._join())
            if done:
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
        if self._sessions:
            self._claim_after_ms = self._clock.now_ms() + _REJOIN_WAIT_MS
        self._sessions += 1
        self.ownership.start_session()
        member_id = self._member_id()
        member = attrs.evolve(self.member, id=member_id)
        written = await self._platform.put(
            _MEMBERS + member_id,
            unstructure(member),
            expected_version=0,
            lease=granted.unwrap(),
        )
        if isinstance(written, Failure):
            # The key may exist under a lease that nobody renews; it ends by itself.
            return False
        self._lease = granted.unwrap()
        self.ownership.join(member_id, sent_ms=sent_ms)
        log_event("joined", member=member_id)
        self._on_change()
        return True

    async def _renew(self) -> bool:
        sent_ms = self._clock.now_ms()
        renewed = await self._platform.renew_lease(self._lease)
        if isinstance(renewed, Success):
            self.ownership.record_renewal(sent_ms=sent_ms)
            self.store_heard_ms = self._clock.now_ms()
            await self._claim()
            return True
        if isinstance(renewed.failure(), LeaseLost):
            log_event("lease lost", member=self.ownership.member)
            self.ownership.lose_lease()
            self._lease = ""
            self._on_change()
        return False

    # Watch

    async def _watch_loop(self) -> None:
        backoff = Backoff()
        after = -1
        while True:
            sent_ms = self._clock.now_ms()
            if after < 0:
                listing = await self._platform.list(_PREFIX)
                if isinstance(listing, Failure):
                    await backoff.sleep()
                    continue
                after = listing.unwrap().revision
                self._live.clear()
                self.listed_ms = sent_ms
                self._observe_items(listing.unwrap().items)
                self.revisions.known = True
                self.store_heard_ms = self._clock.now_ms()
            watched = await self._platform.watch(_PREFIX, after=after, wait_ms=_WATCH_WAIT_MS)
            if isinstance(watched, Failure):
                await backoff.sleep()
                continue
            backoff.reset()
            self.store_heard_ms = self._clock.now_ms()
            self.listed_ms = sent_ms
            change = watched.unwrap()
            after = -1 if change.reset else change.revision
            if change.items:
                self._observe_items(change.items)
                await self._claim()
            else:
                await anyio.sleep(_EMPTY_WATCH_MS / 1000)

    def _observe_items(self, items: tuple[Item, ...]) -> None:
        for item in items:
            try:
                self._observe_item(item)
            except MalformedMessageError as error:
                log_event("store value refused", key=item.key, reason=str(error))
        self.members.observe_listing(self._live)
        self.draining &= self._live.keys()
        self._on_change()

    def _observe_item(self, item: Item) -> None:
        if item.key == _CONFIG and item.value is not None:
            self.observe_revision(_read_revision(item))
        elif item.key == _OWNERS and item.value is not None:
            self.ownership.observe(decode(item.value, OwnerTable), item.version)
        elif item.key.startswith(_MEMBERS):
            id_ = item.key.removeprefix(_MEMBERS)
            if item.value is None:
                self._live.pop(id_, None)
            else:
                self._live[id_] = decode(item.value, Member)

    # Claims

    async def _claim(self) -> None:
        # Members and owners come from one ordered watch, so an owner that is missing among
        # the members had lost its lease when the table was as it is seen here.
        if self._leaving or not self.ownership.is_valid or not self.shards:
            return
        if self._clock.now_ms() < self._claim_after_ms:
            return
        # A rack that is no longer listed keeps its partition: its record may hold tasks that
        # have to be released.
        known = self.ownership.table.partitions
        shards = {name.removeprefix("shard/") for name in known if name.startswith("shard/")}
        partitions = list_partitions(shards.union(self.shards))
        suspects = {
            member
            for ownership in self.ownership.table.partitions.values()
            for member in (*ownership.suspects, ownership.member)
        }
        table = self.ownership.plan_claims(
            partitions,
            self._live.keys(),
            retired={member for member in suspects if self.is_retired(member)},
        )
        if table is not None:
            await self._write_owners(table)
            return
        staying = [id_ for id_ in self._live if id_ not in self.draining]
        table = self.ownership.plan_handover(staying, leave=False, partitions=partitions)
        if table is not None:
            await self._give_away(table)

    async def _give_away(self, table: OwnerTable) -> bool:
        # The partitions stop acting first: a start that this daemon sends after the next
        # owner has taken over could run what that owner has already ended. They stay stopped
        # whatever becomes of the write, whose answer may be lost after it took effect; what
        # is still this daemon's then is claimed anew.
        moved = {
            name
            for name in self.ownership.assigned()
            if name not in table.partitions_of(self.member.id)
        }
        for name in moved:
            self.ownership.end_epoch(name, self.ownership.epoch_of(name))
        await self._on_suspend(moved)
        return await self._write_owners(table)

    async def _write_owners(self, table: OwnerTable) -> bool:
        written = await self._platform.put(
            _OWNERS, unstructure(table), expected_version=self.ownership.table_version
        )
        if isinstance(written, Success):
            self.ownership.observe(table, written.unwrap().version)
            self._on_change()
            return True
        # The table of a conflict is not taken: it may be newer than the members as seen here,
        # and then a member that joined in between would look dead. The watch brings both in
        # order, and shows after a lost answer whether the write took effect.
        return False

    # List of VMs

    async def _vms_loop(self) -> None:
        while True:
            listed = await self._platform.list_vms()
            if isinstance(listed, Success) and self._vm_table.observe(listed.unwrap()):
                self._on_change()
                await self._claim()
            await anyio.sleep(_VMS_PERIOD_MS / 1000)


def _join(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _describe_size(source: str, size: int) -> Problem:
    return Problem(
        source=source,
        section="",
        key="",
        found=f"{size} bytes",
        allowed=f"at most {_MAX_VALUE} bytes, which the store holds",
    )


def _incarnation(member_id: str) -> str:
    return member_id.rsplit(".", 2)[-2] if member_id.count(".") >= 2 else member_id


def _describe(error: PlatformError) -> str:
    if isinstance(error, StoreUnavailable | StoreUnknown):
        return error.reason
    return type(error).__name__


def _read_revision(item: Item) -> Revision:
    return decode(item.value, Revision) if item.value is not None else Revision()


def spawn(group: TaskGroup, task: Callable, *args: object) -> anyio.CancelScope:
    """Start a task that can be cancelled on its own."""
    scope = anyio.CancelScope()

    async def run() -> None:
        with scope:
            await task(*args)

    group.start_soon(run)
    return scope
