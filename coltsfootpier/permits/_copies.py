"""Permit records that a daemon stores as the owner of a group or as copies for other owners."""

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
    """Raised when a record has a higher epoch than the highest one observed for its group."""


@attrs.define
class _GroupState:
    epoch: int = 0
    owned_epoch: int = 0
    pulled_epoch: int = 0
    records: dict[str, PermitRecord] = attrs.field(factory=dict)


class CopyTable:
    """Table of all records that a daemon stores, by key group, fenced by epochs.

    Records are never evicted before they expire, so that an owner can rely on every acknowledged
    copy. A full table rejects further copies instead.

    Parameters
    ----------
    clock : Clock
        Time source.
    capacity : int
        Maximum number of records of one key group.
    """

    def __init__(self, *, clock: Clock, capacity: int) -> None:
        self._clock = clock
        self._capacity = capacity
        self._groups: dict[str, _GroupState] = {}

    def __len__(self) -> int:
        return sum(len(group.records) for group in self._groups.values())

    def epoch_of(self, group: str) -> int:
        """Return the highest epoch observed for a group."""
        return self._get_group(group).epoch

    def pulled_epoch(self, group: str) -> int:
        """Return the highest epoch of an owner that has pulled this daemon's copies of a group."""
        return self._get_group(group).pulled_epoch

    def observe_epoch(self, group: str, epoch: int) -> None:
        """Record that a group has an owner with this epoch."""
        state = self._get_group(group)
        state.epoch = max(state.epoch, epoch)

    def owned_epoch(self, group: str) -> int:
        """Return the epoch at which this daemon last owned a group with a complete history."""
        return self._get_group(group).owned_epoch

    def mark_complete(self, group: str, epoch: int) -> None:
        """Record that this daemon owns a group at an epoch with a complete history."""
        self._get_group(group).owned_epoch = epoch

    def get(self, group: str, key: str) -> PermitRecord | None:
        """Return the record of a key, unless it has expired."""
        record = self._get_group(group).records.get(key)
        if record is None or record.expires_ms <= self._clock.now_ms():
            return None
        return record

    def store(self, group: str, record: PermitRecord) -> bool:
        """Store a record unless a later one is known, and return false if the group is full.

        Raises
        ------
        EpochOrderError
            If the record's epoch is higher than the highest one observed for the group.
        """
        state = self._get_group(group)
        if record.epoch > state.epoch:
            raise EpochOrderError(
                f"{group}: record has epoch {record.epoch}, above the announced epoch {state.epoch}"
            )
        known = state.records.get(record.key)
        if known is None:
            if len(state.records) >= self._capacity:
                self._remove_expired(state)
            if len(state.records) >= self._capacity:
                return False
        elif (known.epoch, known.serial) >= (record.epoch, record.serial):
            return True
        state.records[record.key] = record
        return True

    def receive_copies(self, message: CopyPermits) -> CopyReply:
        """Store copies for an owner, unless an owner with a higher epoch is known."""
        state = self._get_group(message.group)
        if message.epoch < state.epoch:
            return CopyReply(accepted=False, epoch=state.epoch)
        state.epoch = message.epoch
        return CopyReply(accepted=self.merge(message.group, message.records), epoch=state.epoch)

    def merge(self, group: str, records: Iterable[PermitRecord]) -> bool:
        """Store the records of a message, and return false if the group is too full for some."""
        now_ms = self._clock.now_ms()
        are_stored = [self.store(group, record.shift(now_ms)) for record in records]
        return all(are_stored)

    def handle_pull(self, message: PullPermits, *, process: str) -> PulledPermits:
        """Record the epoch of a new owner and return the copies of its group."""
        state = self._get_group(message.group)
        if message.epoch < state.epoch:
            return PulledPermits(process=process, accepted=False)
        state.epoch = state.pulled_epoch = message.epoch
        self._remove_expired(state)
        now_ms = self._clock.now_ms()
        return PulledPermits(
            process=process,
            accepted=True,
            records=tuple(record.shift(-now_ms) for record in state.records.values()),
            owned_epoch=state.owned_epoch,
        )

    def remove_expired(self) -> None:
        """Remove the expired records."""
        for state in self._groups.values():
            self._remove_expired(state)

    def _get_group(self, group: str) -> _GroupState:
        return self._groups.setdefault(group, _GroupState())

    def _remove_expired(self, state: _GroupState) -> None:
        now_ms = self._clock.now_ms()
        for key in [key for key, record in state.records.items() if record.expires_ms <= now_ms]:
            del state.records[key]
