"""Permit records and messages.

Times in messages are durations, because the clocks of different daemons can't be compared.
"""

from __future__ import annotations

import enum

import attrs

from coltsfootpier.routing import Outcome


class KeyKind(enum.Enum):
    """Kind of guarantee that a key gives."""

    IDEMPOTENCY = "idempotency"
    EXCLUSIVE = "exclusive"


class RecordState(enum.Enum):
    """State of a key in the history."""

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
        Kind, service and the caller's key.
    token : str
        Identifies the request that holds the key.
    fingerprint : str
        Digest of that request; a different request with the same key is rejected.
    epoch, serial : int
        Version of the record in the history of the group; the highest pair wins.
    held_ms : float
        Time until which the request may run. In a table it is a time on the daemon's clock,
        in a message the remaining time.
    expires_ms : float
        Time until which the record is kept, in the same form.
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
        """Return the record with both times moved by `offset_ms`."""
        return attrs.evolve(
            self, held_ms=self.held_ms + offset_ms, expires_ms=self.expires_ms + offset_ms
        )


@attrs.frozen(kw_only=True)
class AcquirePermit:
    """Request for a permit to the owner of a key group; may be retried with the same token.

    Parameters
    ----------
    hold_ms : float
        Time for which the request may run: the time left to its deadline plus its maximum run
        time.
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
    """Report of a request's outcome to the owner; ``REFUSED`` means that it was not run."""

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
    """Announcement of a new owner's epoch, and request for all copies of the group."""

    group: str
    epoch: int


@attrs.frozen(kw_only=True)
class PulledPermits:
    """Response to `PullPermits`.

    Parameters
    ----------
    process : str
        Responding daemon.
    accepted : bool
        False if the daemon has seen a higher epoch.
    owned_epoch : int
        Epoch at which the daemon last owned the group with a complete history, or 0.
    covered_ms : float
        Length of the most recent period in which the daemon knows every member and no daemon
        granted a permit without a copy.
    seen : dict of str to float
        Daemons that it has seen, with the milliseconds since each was last seen.
    """

    process: str
    accepted: bool
    records: tuple[PermitRecord, ...] = ()
    owned_epoch: int = 0
    covered_ms: float = 0.0
    seen: dict[str, float] = attrs.field(factory=dict)
