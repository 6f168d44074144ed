"""Permit records and messages.

Messages contain remaining or elapsed times in milliseconds instead of points in time, because the
clocks of different daemons can't be compared.
"""

from __future__ import annotations

import enum

import attrs

from coltsfootpier.routing import Outcome


class KeyKind(enum.Enum):
    """Kind of guarantee that a key gives.

    With ``IDEMPOTENCY``, a request with the key runs at most once within the window. With
    ``EXCLUSIVE``, at most one request with the key runs at a time.
    """

    IDEMPOTENCY = "idempotency"
    EXCLUSIVE = "exclusive"


class RecordState(enum.Enum):
    """State of a key in the history.

    With ``UNDECIDED``, the request with the key may have been granted and its outcome isn't known.
    With ``SETTLED``, the outcome is recorded. With ``FREE``, no request holds the key.
    """

    UNDECIDED = "undecided"
    SETTLED = "settled"
    FREE = "free"


class Verdict(enum.Enum):
    """Decision of a key group's owner on a request for a permit.

    Only ``GRANTED`` allows the request to run. With ``KNOWN`` and ``INCOMPLETE``, a request
    with this key has run, or may have run, before. With all others, the request has certainly
    not run.
    """

    GRANTED = "granted"
    KNOWN = "known"
    INCOMPLETE = "incomplete"
    BUSY = "busy"
    MISMATCH = "mismatch"
    TOO_LONG = "too_long"
    FULL = "full"
    NO_COPY = "no_copy"
    NOT_OWNER = "not_owner"


@attrs.frozen(kw_only=True)
class PermitRecord:
    """Record of a key in the history of its group.

    Parameters
    ----------
    key : str
        Kind of the key, service, request kind (empty for an exclusive key) and the caller's key,
        separated by slashes.
    token : str
        Identifier of the request that holds the key.
    fingerprint : str
        Digest of that request; a different request with the same key is rejected.
    outcome, status : Outcome, int
        Outcome of the request and status of its response; set only with ``SETTLED``.
    epoch, serial : int
        Epoch of the owner that wrote the record, and number of the change within that epoch. Of
        two records of a key, the one with the higher pair is the later one.
    held_ms, expires_ms : float
        Time until which the request may run, and time until which the record is kept. In a table
        these are times on the daemon's clock, in a message the remaining milliseconds.
    """

    kind: KeyKind
    key: str
    token: str
    fingerprint: str = ""
    state: RecordState = RecordState.UNDECIDED
    outcome: Outcome = Outcome.UNKNOWN
    status: int = 0
    epoch: int
    serial: int
    held_ms: float
    expires_ms: float

    def shift(self, offset_ms: float) -> PermitRecord:
        """Return the record with `offset_ms` added to both times."""
        return attrs.evolve(
            self, held_ms=self.held_ms + offset_ms, expires_ms=self.expires_ms + offset_ms
        )


@attrs.frozen(kw_only=True)
class AcquirePermit:
    """Request to the owner of a key group for a permit; may be retried with the same token.

    Parameters
    ----------
    hold_ms : float
        Longest time in milliseconds until the request has ended: the time left to its deadline
        plus its maximum run time.
    """

    group: str
    kind: KeyKind
    key: str
    token: str
    fingerprint: str = ""
    hold_ms: float


@attrs.frozen(kw_only=True)
class PermitReply:
    """Response to `AcquirePermit`; outcome and status are set only with ``KNOWN``."""

    verdict: Verdict
    outcome: Outcome = Outcome.UNKNOWN
    status: int = 0


@attrs.frozen(kw_only=True)
class SettlePermit:
    """Report of a request's outcome to the owner; with ``REFUSED``, the request was not run."""

    group: str
    kind: KeyKind
    key: str
    token: str
    outcome: Outcome
    status: int = 0


@attrs.frozen(kw_only=True)
class SettleReply:
    """Response to `SettlePermit`; `accepted` is false if the daemon doesn't own the group."""

    accepted: bool


@attrs.frozen(kw_only=True)
class CopyPermits:
    """Request to a peer to store copies of records."""

    group: str
    epoch: int
    records: tuple[PermitRecord, ...]


@attrs.frozen(kw_only=True)
class CopyReply:
    """Response to `CopyPermits`.

    Parameters
    ----------
    accepted : bool
        Whether all records are stored.
    epoch : int
        Highest epoch that the peer has seen for the group.
    """

    accepted: bool
    epoch: int


@attrs.frozen(kw_only=True)
class PullPermits:
    """Request of a group's new owner for all copies; it also announces the owner's epoch."""

    group: str
    epoch: int


@attrs.frozen(kw_only=True)
class PulledPermits:
    """Response to `PullPermits`.

    Parameters
    ----------
    process : str
        Identifier of the responding daemon, as returned by `process_of`.
    accepted : bool
        False if the daemon has seen a higher epoch.
    owned_epoch : int
        Epoch at which the daemon last owned the group with a complete history, or 0.
    covered_ms : float
        Length in milliseconds of the period up to now in which the daemon has known all members
        and no daemon has granted a permit without a copy.
    seen : dict of str to float
        Daemons that it has seen, with the milliseconds since each was last seen.
    """

    process: str
    accepted: bool
    records: tuple[PermitRecord, ...] = ()
    owned_epoch: int = 0
    covered_ms: float = 0.0
    seen: dict[str, float] = attrs.field(factory=dict)
