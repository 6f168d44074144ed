"""Records that a daemon holds, as owner of a group or as copies for other owners."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.exceptions import InvariantError
from coltsfootpier.permits._messages import (
    CopyPermits,
    CopyReply,
    PermitRecord,
    PulledPermits,
    PullPermits,
)


class EpochOrderError(InvariantError):
    """A record of a higher epoch than the highest announced one was stored."""


@attrs.define
class _Group:
    epoch: int = 0
    owned_epoch: int = 0
    pulled_epoch: int = 0
    records: dict[str, PermitRecord] = attrs.field(factory=dict)


class CopyTable:
    """All records in one daemon by key group, fenced by epochs.

    Records are never evicted before they expire. A full table refuses further copies, so
    that an owner can rely on every copy that was acknowledged.

    Parameters
    ----------
    clock : Clock
        Time source.
    capacity : int
        Most records of one key group.
    """

    def __init__(self, *, clock: Clock, capacity: int) -> None:
        self._clock = clock
        self._capacity = capacity
        self._groups: dict[str, _Group] = {}

    def __len__(self) -> int:
        return sum(len(group.records) for group in self._groups.values())

    def epoch_of(self, group: str) -> int:
        """Return the highest epoch seen for a group."""
        return self._group(group).epoch

    def pulled_epoch(self, group: str) -> int:
        """Return the highest epoch of an owner that has pulled the group."""
        return self._group(group).pulled_epoch

    def announce(self, group: str, epoch: int) -> None:
        """Note that an owner with this epoch exists."""
        held = self._group(group)
        held.epoch = max(held.epoch, epoch)

    def owned_epoch(self, group: str) -> int:
        """Return the epoch at which this daemon last owned the group with all its history."""
        return self._group(group).owned_epoch

    def mark_complete(self, group: str, epoch: int) -> None:
        """Note that this daemon owns the group at an epoch with a complete history."""
        self._group(group).owned_epoch = epoch

    def find(self, group: str, key: str) -> PermitRecord | None:
        """Return the record of a key, unless it has expired."""
        record = self._group(group).records.get(key)
        if record is None or record.expires_ms <= self._clock.now_ms():
            return None
        return record

    def store(self, group: str, record: PermitRecord) -> bool:
        """Keep a record unless a later one is known; return false when the group is full."""
        held = self._group(group)
        if record.epoch > held.epoch:
            raise EpochOrderError(f"{group}: record of epoch {record.epoch} above {held.epoch}")
        known = held.records.get(record.key)
        if known is None:
            if len(held.records) >= self._capacity:
                self._expire(held)
            if len(held.records) >= self._capacity:
                return False
        elif (known.epoch, known.serial) >= (record.epoch, record.serial):
            return True
        held.records[record.key] = record
        return True

    def receive(self, message: CopyPermits) -> CopyReply:
        """Keep copies for an owner, unless its epoch is outdated."""
        held = self._group(message.group)
        if message.epoch < held.epoch:
            return CopyReply(accepted=False, epoch=held.epoch)
        held.epoch = message.epoch
        return CopyReply(accepted=self.merge(message.group, message.records), epoch=held.epoch)

    def merge(self, group: str, records: Iterable[PermitRecord]) -> bool:
        """Keep records from a message; return whether there was room for all of them."""
        now_ms = self._clock.now_ms()
        kept = [self.store(group, record.shift(now_ms)) for record in records]
        return all(kept)

    def handle_pull(self, message: PullPermits, *, process: str) -> PulledPermits:
        """Take the announcement of a new owner and return the copies of its group."""
        held = self._group(message.group)
        if message.epoch < held.epoch:
            return PulledPermits(process=process, accepted=False)
        held.epoch = held.pulled_epoch = message.epoch
        self._expire(held)
        now_ms = self._clock.now_ms()
        return PulledPermits(
            process=process,
            accepted=True,
            records=tuple(record.shift(-now_ms) for record in held.records.values()),
            owned_epoch=held.owned_epoch,
        )

    def expire(self) -> None:
        """Drop the records that have expired."""
        for held in self._groups.values():
            self._expire(held)

    def _group(self, group: str) -> _Group:
        return self._groups.setdefault(group, _Group())

    def _expire(self, held: _Group) -> None:
        now_ms = self._clock.now_ms()
        for key in [key for key, item in held.records.items() if item.expires_ms <= now_ms]:
            del held.records[key]
