"""Permit decisions of one daemon, over all its key groups."""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.ownership import OwnershipState
from coltsfootpier.permits._copies import CopyTable
from coltsfootpier.permits._history import Coverage, History, ProcessTable, process_of
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
from coltsfootpier.permits._table import CopyRequired, PermitTable

_KEY_GROUP_PREFIX = "keys/"
# Minimum time between removals of expired records. A scan of full tables takes about 10 ms.
_EXPIRY_PERIOD_MS = 10_000.0


class PermitManager:
    """Manager of the key groups that a daemon owns, and of the copies that it stores for others.

    Parameters
    ----------
    clock : Clock
        Time source.
    ownership : OwnershipState
        Owners of the key groups, and the state of the daemon's own lease.
    window_ms : float
        Retention time of keys in milliseconds.
    hold_over_ms : float
        Time in milliseconds for which the daemon continues to grant permits after its lease has
        expired.
    capacity : int
        Maximum number of records of one key group.
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
        self._last_expiry_ms = clock.now_ms()
        self._unsent_records: dict[str, dict[str, PermitRecord]] = {}
        self.copies = CopyTable(clock=clock, capacity=capacity)
        self.tables: dict[str, PermitTable] = {}
        self.known_processes = ProcessTable(
            clock=clock, window_ms=window_ms, hold_over_ms=hold_over_ms
        )
        self.coverage = Coverage(clock=clock)

    @property
    def process(self) -> str:
        """Identifier of this daemon, which stays the same over its leases."""
        return process_of(self.ownership.member)

    @property
    def is_only_member(self) -> bool:
        """Whether the store lists no other daemon that could store a copy.

        This is false for a daemon that is partitioned from its peers or from the store.
        """
        is_only_listed = self._listed == {self.ownership.member} and self.ownership.is_valid
        return is_only_listed and self.coverage.is_current(self._listed_ms)

    def reconcile(
        self,
        listed: Collection[str],
        *,
        listed_ms: float,
        is_retired: Callable[[str], bool],
    ) -> list[PermitTable]:
        """Apply the current members and owners of key groups.

        Parameters
        ----------
        listed : collection of str
            Members that the store lists.
        listed_ms : float
            Time at which the store was last queried for them, on the daemon's clock.
        is_retired : callable
            Returns whether a daemon that is no longer a member has certainly stopped running.

        Returns
        -------
        list of PermitTable
            Tables of the groups that this daemon newly owns; their history must be pulled.
        """
        ownership = self.ownership
        self._listed, self._listed_ms = frozenset(listed), listed_ms
        if ownership.member in self._listed:
            is_first = ownership.table_version == 0 and len(self._listed) == 1
            self.coverage.start(ownership.member, is_first=is_first)
        present = {process_of(id_) for id_ in self._listed}
        self.known_processes.observe({*present, self.process})
        for process in self.known_processes.list_ages().keys() - present:
            if is_retired(process):
                self.known_processes.retire(process)
        for group, owner in ownership.table.partitions.items():
            if group.startswith(_KEY_GROUP_PREFIX):
                self.copies.observe_epoch(group, owner.epoch)
        for group, table in list(self.tables.items()):
            if table.is_superseded:
                del self.tables[group]
                self._unsent_records.pop(group, None)
        if self._clock.now_ms() - self._last_expiry_ms > _EXPIRY_PERIOD_MS:
            self._last_expiry_ms = self._clock.now_ms()
            self.copies.remove_expired()
            for table in self.tables.values():
                table.remove_expired()
        return [
            self._create_table(group, epoch)
            for group, epoch in ownership.list_assigned_epochs().items()
            if group.startswith(_KEY_GROUP_PREFIX)
            and group not in self.tables
            and ownership.may_act(group, epoch)
        ]

    # Owned groups

    def may_grant(self, table: PermitTable) -> bool:
        """Return whether this daemon may grant a permit of a group after its record is copied.

        It may do so for the hold-over time after its lease has expired. This is safe because
        every grant needs a copy, which peers that know of a new owner reject.
        """
        ownership = self.ownership
        has_ended = ownership.has_ended(table.group, table.epoch)
        return not has_ended and ownership.since_expiry_ms < self._hold_over_ms

    def decide(self, request: AcquirePermit) -> PermitReply | CopyRequired:
        """Decide on a request for a permit, or return the record that must be copied first."""
        table = self.tables.get(request.group)
        if table is None or not self.may_grant(table):
            return PermitReply(verdict=Verdict.NOT_OWNER)
        return table.acquire(request)

    def decide_after_copy(
        self, table: PermitTable, record: PermitRecord, *, copied: bool, was_only_member: bool
    ) -> PermitReply:
        """Grant or reject a request after the attempt to copy its record to a peer.

        Parameters
        ----------
        table : PermitTable
            Table that returned `CopyRequired`.
        record : PermitRecord
            Record that was to be copied.
        copied : bool
            Whether a peer has acknowledged the copy.
        was_only_member : bool
            Value of `is_only_member` when the attempt started. The property must also hold now,
            because a daemon that has joined since then may become the next owner.
        """
        if not copied and was_only_member and self.is_only_member:
            self.coverage.record_uncopied_grant()
            copied = True
        if copied and self.may_grant(table):
            return table.confirm(record)
        return table.abandon(record)

    def settle(self, message: SettlePermit) -> SettleReply:
        """Record the outcome of a request, and keep the changed record to send it to a peer."""
        table = self.tables.get(message.group)
        if table is None or not table.is_ready or table.is_superseded:
            return SettleReply(accepted=False)
        changed = table.settle(message)
        if changed is not None:
            self._unsent_records.setdefault(message.group, {})[changed.key] = changed
        return SettleReply(accepted=True)

    def merge_pulled_copies(self, table: PermitTable, reply: PulledPermits) -> None:
        """Merge the copies that a daemon has returned for a newly owned group.

        If the daemon has seen a higher epoch, or if the group is too full to store all copies,
        the daemon doesn't count as having responded.
        """
        if not reply.accepted or not self.copies.merge(table.group, reply.records):
            return
        table.history.record_response(reply)
        if self.ownership.is_valid:
            # The peer has received this daemon's request, so it no longer considers itself
            # the only member.
            self.coverage.extend(reply.covered_ms)

    # Copies

    def list_tables_to_copy(self) -> list[PermitTable]:
        """Return the tables with outcomes that haven't been sent to a peer yet."""
        return [self.tables[group] for group, records in self._unsent_records.items() if records]

    def build_copy_message(
        self, table: PermitTable, records: tuple[PermitRecord, ...]
    ) -> CopyPermits:
        """Return the message that copies records and the table's unsent outcomes.

        The outcomes then no longer count as unsent.
        """
        unsent = self._unsent_records.pop(table.group, {})
        for record in records:
            unsent.pop(record.key, None)
        now_ms = self._clock.now_ms()
        return CopyPermits(
            group=table.group,
            epoch=table.epoch,
            records=tuple(record.shift(-now_ms) for record in (*unsent.values(), *records)),
        )

    def receive_copies(self, message: CopyPermits) -> CopyReply:
        """Store copies for the owner of a key group."""
        self.coverage.record_peer_message()
        return self.copies.receive_copies(message)

    def handle_pull(self, message: PullPermits) -> PulledPermits:
        """Record the epoch of a new owner and return the copies of its group."""
        self.coverage.record_peer_message()
        reply = self.copies.handle_pull(message, process=self.process)
        return attrs.evolve(
            reply, covered_ms=self.covered_ms(), seen=self.known_processes.list_ages()
        )

    def covered_ms(self) -> float:
        """Return the length in milliseconds of the period that `Coverage` describes.

        The result is 0 while the lease of this daemon has expired: another daemon may be the only
        member by now and grant permits without a copy.
        """
        return self.coverage.covered_ms() if self.ownership.is_valid else 0.0

    def _create_table(self, group: str, epoch: int) -> PermitTable:
        history = History(
            clock=self._clock,
            process=self.process,
            epoch=epoch,
            window_ms=self._window_ms,
            known_processes=self.known_processes,
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
