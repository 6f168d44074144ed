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
    """A key was granted to a second request while it belonged to the first."""


@attrs.frozen
class CopyFirst:
    """The record must be acknowledged by a peer before `PermitTable.confirm` grants it."""

    record: PermitRecord


class PermitTable:
    """Grants permits for the keys of one group.

    Parameters
    ----------
    group : str
        Partition name of the group.
    epoch : int
        Epoch of the ownership.
    copies : CopyTable
        Records of this daemon; those of the previous owners are merged into it.
    history : History
        Whether the records are complete.
    clock : Clock
        Time source.
    window_ms : float
        How long a key is remembered.
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
        self.ready = False
        self._copies = copies
        self._clock = clock
        self._window_ms = window_ms
        self._serial = 0
        self._pending: dict[str, bool] = {}
        self._granted: dict[str, tuple[str, float]] = {}
        copies.announce(group, epoch)

    @property
    def is_superseded(self) -> bool:
        """Whether an owner with a higher epoch is known."""
        return self._copies.epoch_of(self.group) > self.epoch

    def acquire(self, request: AcquirePermit) -> PermitReply | CopyFirst:
        """Decide on a request for a permit.

        Parameters
        ----------
        request : AcquirePermit
            The request.

        Returns
        -------
        PermitReply or CopyFirst
            With `CopyFirst` the request is decided by `confirm` or `abandon`.
        """
        if self.is_superseded or not self.ready:
            return PermitReply(verdict=Verdict.NOT_OWNER)
        hold_ms = request.hold_ms * (1 + MAX_CLOCK_DRIFT_RATIO)
        if hold_ms > self._window_ms:
            # The history of a new owner reaches back for one window only.
            return PermitReply(verdict=Verdict.TOO_LONG)
        record = self._copies.find(self.group, request.key)
        if record is not None and record.state is not RecordState.FREE:
            known = self._answer_known(request, record)
            if known is not None:
                return known
        if not self.check_history():
            # The key may have been granted, even if a record says that it was free again: a
            # later grant may be among what is missing.
            return PermitReply(verdict=Verdict.INCOMPLETE)
        known = record if record is not None and record.token == request.token else None
        return self._record(request, hold_ms, known)

    def check_history(self) -> bool:
        """Return whether the history is complete, and note it for the next owner."""
        is_complete = self.history.is_complete
        if is_complete and not self.is_superseded:
            self._copies.mark_complete(self.group, self.epoch)
        return is_complete

    def confirm(self, record: PermitRecord) -> PermitReply:
        """Grant a record that a peer has acknowledged.

        Raises
        ------
        DoubleGrantError
            If the key belongs to another request.
        """
        self._pending.pop(record.token, None)
        if self.is_superseded or self._copies.find(self.group, record.key) != record:
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
        """Free the key of a record that no peer has acknowledged; it was not granted.

        The record of a repeated request stays: an earlier try may have been granted, by this
        owner or the previous one.
        """
        is_repeat = self._pending.pop(record.token, True)
        if self.is_superseded:
            return PermitReply(verdict=Verdict.NOT_OWNER)
        if not is_repeat and self._copies.find(self.group, record.key) == record:
            self._replace(record, state=RecordState.FREE)
        return PermitReply(verdict=Verdict.NO_COPY)

    def settle(self, message: SettlePermit) -> PermitRecord | None:
        """Take the outcome of a request; return the changed record for the peers, if any."""
        record = self._copies.find(self.group, message.key)
        if self.is_superseded or record is None or record.token != message.token:
            return None
        if record.state is not RecordState.UNDECIDED or message.outcome is Outcome.UNKNOWN:
            return None
        is_exclusive = record.kind is KeyKind.EXCLUSIVE
        if is_exclusive or message.outcome is Outcome.REFUSED:
            self._granted.pop(record.key, None)
            return self._replace(record, state=RecordState.FREE)
        expires_ms = self._clock.now_ms() + self._window_ms
        if record.key in self._granted:
            self._granted[record.key] = (record.token, expires_ms)
        return self._replace(
            record,
            state=RecordState.SETTLED,
            outcome=message.outcome,
            status=message.status,
            expires_ms=expires_ms,
        )

    def expire(self) -> None:
        """Forget the grants whose time has passed."""
        now_ms = self._clock.now_ms()
        self._granted = {key: item for key, item in self._granted.items() if item[1] > now_ms}

    def _answer_known(self, request: AcquirePermit, record: PermitRecord) -> PermitReply | None:
        if record.token == request.token and record.state is RecordState.UNDECIDED:
            # The answer to an earlier try was lost. The daemon that asks has not run the
            # request, and only the copy decides whether it may.
            if record.token in self._pending:
                return PermitReply(verdict=Verdict.NO_COPY)
            return None
        if record.kind is KeyKind.EXCLUSIVE:
            is_over = record.held_ms <= self._clock.now_ms()
            return None if is_over else PermitReply(verdict=Verdict.BUSY)
        if record.fingerprint != request.fingerprint:
            return PermitReply(verdict=Verdict.MISMATCH)
        return PermitReply(verdict=Verdict.KNOWN, outcome=record.outcome, status=record.status)

    def _record(
        self, request: AcquirePermit, hold_ms: float, known: PermitRecord | None
    ) -> PermitReply | CopyFirst:
        now_ms = self._clock.now_ms()
        # An earlier try may have been granted, so its time must not get shorter.
        held_ms = max(now_ms + hold_ms, known.held_ms if known else 0.0)
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
        is_repeat = known is not None and known.state is RecordState.UNDECIDED
        self._pending[record.token] = is_repeat
        return CopyFirst(record)

    def _replace(self, record: PermitRecord, **changes: object) -> PermitRecord:
        self._serial += 1
        changed = attrs.evolve(record, epoch=self.epoch, serial=self._serial, **changes)
        self._copies.store(self.group, changed)
        return changed
