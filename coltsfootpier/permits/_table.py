"""State machine of the owner of one key group."""

from __future__ import annotations

import attrs

from coltsfootpier.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from coltsfootpier.exceptions import InvariantError
from coltsfootpier.permits._copies import CopyTable
from coltsfootpier.permits._history import History
from coltsfootpier.permits._messages import (
    AcquirePermit,
    KeyKind,
    PermitRecord,
    PermitReply,
    RecordState,
    SettlePermit,
    Verdict,
)
from coltsfootpier.routing import Outcome


class DoubleGrantError(InvariantError):
    """Raised when a key is granted to a second request while the first one holds it."""


@attrs.frozen
class CopyRequired:
    """Record that a peer must acknowledge before `PermitTable.confirm` grants the permit."""

    record: PermitRecord


class PermitTable:
    """Table with which the owner of one key group grants permits for its keys.

    Parameters
    ----------
    group : str
        Partition name of the group.
    epoch : int
        Epoch of the ownership.
    copies : CopyTable
        Records of this daemon; those of previous owners are merged into it.
    history : History
        Tracks whether the records are complete.
    clock : Clock
        Time source.
    window_ms : float
        Retention time of keys in milliseconds.

    Attributes
    ----------
    is_ready : bool
        Whether the owner has attempted to pull the records of previous owners. Before that, the
        table decides on no request.
    """

    def __init__(
        self,
        *,
        group: str,
        epoch: int,
        copies: CopyTable,
        history: History,
        clock: Clock,
        window_ms: float,
    ) -> None:
        self.group = group
        self.epoch = epoch
        self.history = history
        self.is_ready = False
        self._copies = copies
        self._clock = clock
        self._window_ms = window_ms
        self._serial = 0
        # Whether the request is a retry, by token of the requests whose copy is pending.
        self._pending_is_retry: dict[str, bool] = {}
        # Token and end of the current grant of each key.
        self._granted: dict[str, tuple[str, float]] = {}
        copies.observe_epoch(group, epoch)

    @property
    def is_superseded(self) -> bool:
        """Whether this daemon knows of an owner with a higher epoch."""
        return self._copies.epoch_of(self.group) > self.epoch

    def acquire(self, request: AcquirePermit) -> PermitReply | CopyRequired:
        """Decide on a request for a permit.

        Returns
        -------
        PermitReply or CopyRequired
            After `CopyRequired`, `confirm` or `abandon` must be called to decide the request.
        """
        if self.is_superseded or not self.is_ready:
            return PermitReply(verdict=Verdict.NOT_OWNER)
        hold_ms = request.hold_ms * (1 + MAX_CLOCK_DRIFT_RATIO)
        if hold_ms > self._window_ms:
            # The history of a later owner covers only one window, so it might miss this request.
            return PermitReply(verdict=Verdict.TOO_LONG)
        record = self._copies.get(self.group, request.key)
        if record is not None and record.state is not RecordState.FREE:
            reply = self._decide_from_record(request, record)
            if reply is not None:
                return reply
        if not self.update_completeness():
            # The key may have been granted even if its record is free, because the record of a
            # later grant may be missing from the history.
            return PermitReply(verdict=Verdict.INCOMPLETE)
        previous = record if record is not None and record.token == request.token else None
        return self._store_pending_record(request, hold_ms, previous)

    def update_completeness(self) -> bool:
        """Return whether the history is complete, and if so, record that for the next owner."""
        is_complete = self.history.is_complete
        if is_complete and not self.is_superseded:
            self._copies.mark_complete(self.group, self.epoch)
        return is_complete

    def confirm(self, record: PermitRecord) -> PermitReply:
        """Grant the permit of a record that a peer has acknowledged.

        Raises
        ------
        DoubleGrantError
            If another request holds the key.
        """
        self._pending_is_retry.pop(record.token, None)
        if self.is_superseded or self._copies.get(self.group, record.key) != record:
            return PermitReply(verdict=Verdict.NOT_OWNER)
        now_ms = self._clock.now_ms()
        token, until_ms = self._granted.get(record.key, ("", 0.0))
        if token not in ("", record.token) and until_ms > now_ms:
            raise DoubleGrantError(f"{record.key}: granted to {token} and to {record.token}")
        is_exclusive = record.kind is KeyKind.EXCLUSIVE
        until_ms = record.held_ms if is_exclusive else record.expires_ms
        self._granted[record.key] = (record.token, until_ms)
        return PermitReply(verdict=Verdict.GRANTED)

    def abandon(self, record: PermitRecord) -> PermitReply:
        """Reject the request of a record that no peer has acknowledged, and free its key.

        The record of a retried request stays as it is, because an earlier attempt may have been
        granted by this owner or a previous one.
        """
        is_retry = self._pending_is_retry.pop(record.token, True)
        if self.is_superseded:
            return PermitReply(verdict=Verdict.NOT_OWNER)
        if not is_retry and self._copies.get(self.group, record.key) == record:
            self._update_record(record, state=RecordState.FREE)
        return PermitReply(verdict=Verdict.NO_COPY)

    def settle(self, message: SettlePermit) -> PermitRecord | None:
        """Record the outcome of a request.

        Returns
        -------
        PermitRecord or None
            The changed record, of which a peer needs a copy; None if nothing has changed.
        """
        record = self._copies.get(self.group, message.key)
        if self.is_superseded or record is None or record.token != message.token:
            return None
        if record.state is not RecordState.UNDECIDED or message.outcome is Outcome.UNKNOWN:
            return None
        is_exclusive = record.kind is KeyKind.EXCLUSIVE
        if is_exclusive or message.outcome is Outcome.REFUSED:
            self._granted.pop(record.key, None)
            return self._update_record(record, state=RecordState.FREE)
        expires_ms = self._clock.now_ms() + self._window_ms
        if record.key in self._granted:
            self._granted[record.key] = (record.token, expires_ms)
        return self._update_record(
            record,
            state=RecordState.SETTLED,
            outcome=message.outcome,
            status=message.status,
            expires_ms=expires_ms,
        )

    def remove_expired(self) -> None:
        """Remove the expired grants."""
        now_ms = self._clock.now_ms()
        self._granted = {key: item for key, item in self._granted.items() if item[1] > now_ms}

    def _decide_from_record(
        self, request: AcquirePermit, record: PermitRecord
    ) -> PermitReply | None:
        if record.token == request.token and record.state is RecordState.UNDECIDED:
            # The response to an earlier attempt was lost, so the requesting daemon has not run the
            # request. It may run once a peer has acknowledged a copy. While the copy of an earlier
            # attempt is pending, no second one is started.
            if record.token in self._pending_is_retry:
                return PermitReply(verdict=Verdict.NO_COPY)
            return None
        if record.kind is KeyKind.EXCLUSIVE:
            has_ended = record.held_ms <= self._clock.now_ms()
            return None if has_ended else PermitReply(verdict=Verdict.BUSY)
        if record.fingerprint != request.fingerprint:
            return PermitReply(verdict=Verdict.MISMATCH)
        return PermitReply(verdict=Verdict.KNOWN, outcome=record.outcome, status=record.status)

    def _store_pending_record(
        self, request: AcquirePermit, hold_ms: float, previous: PermitRecord | None
    ) -> PermitReply | CopyRequired:
        now_ms = self._clock.now_ms()
        # An earlier attempt may have been granted, so its hold time must not get shorter.
        held_ms = max(now_ms + hold_ms, previous.held_ms if previous else 0.0)
        self._serial += 1
        record = PermitRecord(
            kind=request.kind,
            key=request.key,
            token=request.token,
            fingerprint=request.fingerprint,
            epoch=self.epoch,
            serial=self._serial,
            held_ms=held_ms,
            expires_ms=now_ms + self._window_ms,
        )
        if not self._copies.store(self.group, record):
            return PermitReply(verdict=Verdict.FULL)
        is_retry = previous is not None and previous.state is RecordState.UNDECIDED
        self._pending_is_retry[record.token] = is_retry
        return CopyRequired(record)

    def _update_record(self, record: PermitRecord, **changes: object) -> PermitRecord:
        self._serial += 1
        changed = attrs.evolve(record, epoch=self.epoch, serial=self._serial, **changes)
        self._copies.store(self.group, changed)
        return changed
