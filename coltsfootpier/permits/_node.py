"""Everything that one daemon decides about permits."""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.ownership import OwnershipState
from coltsfootpier.permits._copies import CopyTable
from coltsfootpier.permits._history import Coverage, History, ProcessLog, process_of
from coltsfootpier.permits._messages import (
    AcquirePermit,
    CopyPermits,
    CopyReply,
    PermitRecord,
    PermitReply,
    PulledPermits,
    PullPermits,
    SettlePermit,
    SettleReply,
    Verdict,
)
from coltsfootpier.permits._table import CopyFirst, PermitTable

_PREFIX = "keys/"
# Looking for expired records in full tables takes about 10 ms.
_EXPIRE_MS = 10_000.0


class PermitNode:
    """Owned key groups and copies of one daemon.

    Parameters
    ----------
    clock : Clock
        Time source.
    ownership : OwnershipState
        Owners of the key groups, and the daemon's own validity.
    window_ms : float
        How long a key is remembered.
    hold_over_ms : float
        How long the daemon goes on granting after its lease has lapsed.
    capacity : int
        Most records of one key group.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ownership: OwnershipState,
        window_ms: float,
        hold_over_ms: float,
        capacity: int,
    ) -> None:
        self._clock = clock
        self.ownership = ownership
        self._window_ms = window_ms
        self._hold_over_ms = hold_over_ms
        self._listed: frozenset[str] = frozenset()
        self._listed_ms = float("-inf")
        self._expired_ms = clock.now_ms()
        self._unsent: dict[str, dict[str, PermitRecord]] = {}
        self.copies = CopyTable(clock=clock, capacity=capacity)
        self.tables: dict[str, PermitTable] = {}
        self.log = ProcessLog(clock=clock, window_ms=window_ms, hold_over_ms=hold_over_ms)
        self.coverage = Coverage(clock=clock)

    @property
    def process(self) -> str:
        """This daemon, the same over its leases."""
        return process_of(self.ownership.member)

    @property
    def is_alone(self) -> bool:
        """Whether the store says that there is no other daemon that could keep a copy.

        A daemon that is cut off from its peers, or from the store, does not count as alone.
        """
        is_only = self._listed == {self.ownership.member} and self.ownership.is_valid
        return is_only and self.coverage.is_current(self._listed_ms)

    def reconcile(
        self,
        listed: Collection[str],
        *,
        listed_ms: float,
        is_retired: Callable[[str], bool],
    ) -> list[PermitTable]:
        """Take the members and owners as they are now.

        Parameters
        ----------
        listed : collection of str
            Members that the store lists.
        listed_ms : float
            When the store was last asked for them.
        is_retired : callable
            Whether an earlier daemon surely runs no more.

        Returns
        -------
        list of PermitTable
            Groups that this daemon newly owns; their history is to be pulled.
        """
        ownership = self.ownership
        self._listed, self._listed_ms = frozenset(listed), listed_ms
        if ownership.member in self._listed:
            is_first = ownership.table_version == 0 and len(self._listed) == 1
            self.coverage.join(ownership.member, is_first=is_first)
        present = {process_of(id_) for id_ in self._listed}
        self.log.observe({*present, self.process})
        for process in self.log.ages().keys() - present:
            if is_retired(process):
                self.log.retire(process)
        for group, owner in ownership.table.partitions.items():
            if group.startswith(_PREFIX):
                self.copies.announce(group, owner.epoch)
        for group, table in list(self.tables.items()):
            if table.is_superseded:
                del self.tables[group]
                self._unsent.pop(group, None)
        if self._clock.now_ms() - self._expired_ms > _EXPIRE_MS:
            self._expired_ms = self._clock.now_ms()
            self.copies.expire()
            for table in self.tables.values():
                table.expire()
        return [
            self._start(group, epoch)
            for group, epoch in ownership.assigned().items()
            if group.startswith(_PREFIX)
            and group not in self.tables
            and ownership.may_act(group, epoch)
        ]

    # Owned groups

    def may_grant(self, table: PermitTable) -> bool:
        """Whether this daemon may grant as the owner of a group, given a copy.

        A lapsed lease does not end the right to grant: the copy that each grant needs is
        refused by peers that know of a new owner.
        """
        ownership = self.ownership
        has_ended = ownership.has_ended(table.group, table.epoch)
        return not has_ended and ownership.since_expiry_ms < self._hold_over_ms

    def decide(self, request: AcquirePermit) -> PermitReply | CopyFirst:
        """Decide on a request for a permit, or ask for a copy first."""
        table = self.tables.get(request.group)
        if table is None or not self.may_grant(table):
            return PermitReply(verdict=Verdict.NOT_OWNER)
        return table.acquire(request)

    def conclude(
        self, table: PermitTable, record: PermitRecord, *, copied: bool, was_alone: bool
    ) -> PermitReply:
        """Decide after the try to copy a record.

        Parameters
        ----------
        table : PermitTable
            The table that asked for the copy.
        record : PermitRecord
            The record.
        copied : bool
            Whether a peer has acknowledged the copy.
        was_alone : bool
            `is_alone` when the try began; it must still hold, because a daemon that joined
            meanwhile may become the next owner.
        """
        if not copied and was_alone and self.is_alone:
            self.coverage.record_uncopied_grant()
            copied = True
        if copied and self.may_grant(table):
            return table.confirm(record)
        return table.abandon(record)

    def settle(self, message: SettlePermit) -> SettleReply:
        """Take the outcome of a request."""
        table = self.tables.get(message.group)
        if table is None or not table.ready or table.is_superseded:
            return SettleReply(accepted=False)
        changed = table.settle(message)
        if changed is not None:
            self._unsent.setdefault(message.group, {})[changed.key] = changed
        return SettleReply(accepted=True)

    def record_pull(self, table: PermitTable, reply: PulledPermits) -> None:
        """Take the copies that a daemon returned to the owner of a group."""
        if not reply.accepted or not self.copies.merge(table.group, reply.records):
            return
        table.history.record_answer(reply)
        if self.ownership.is_valid:
            # The daemon has heard this one, so that from now on it is not alone.
            self.coverage.inherit(reply.covered_ms)

    # Copies

    def list_unsent(self) -> list[PermitTable]:
        """Return the tables with outcomes that no peer knows yet."""
        return [self.tables[group] for group, records in self._unsent.items() if records]

    def take_copies(self, table: PermitTable, records: tuple[PermitRecord, ...]) -> CopyPermits:
        """Return the message that copies records, along with outcomes that wait."""
        waiting = self._unsent.pop(table.group, {})
        for record in records:
            waiting.pop(record.key, None)
        now_ms = self._clock.now_ms()
        return CopyPermits(
            group=table.group,
            epoch=table.epoch,
            records=tuple(record.shift(-now_ms) for record in (*waiting.values(), *records)),
        )

    def receive_copies(self, message: CopyPermits) -> CopyReply:
        """Keep copies for the owner of a key group."""
        self.coverage.hear_peer()
        return self.copies.receive(message)

    def answer_pull(self, message: PullPermits) -> PulledPermits:
        """Take the epoch of a new owner and return the copies of its group."""
        self.coverage.hear_peer()
        pulled = self.copies.answer_pull(message, process=self.process)
        return attrs.evolve(pulled, covered_ms=self.covered_ms(), seen=self.log.ages())

    def covered_ms(self) -> float:
        """Return for how long this daemon knows all members.

        While its lease has lapsed this is 0: others may have ended the membership, and one of
        them may be alone by now.
        """
        return self.coverage.covered_ms() if self.ownership.is_valid else 0.0

    def _start(self, group: str, epoch: int) -> PermitTable:
        history = History(
            clock=self._clock,
            process=self.process,
            epoch=epoch,
            window_ms=self._window_ms,
            log=self.log,
            owned_epoch=self.copies.owned_epoch(group),
        )
        table = PermitTable(
            group=group,
            epoch=epoch,
            copies=self.copies,
            history=history,
            clock=self._clock,
            window_ms=self._window_ms,
        )
        self.tables[group] = table
        return table
