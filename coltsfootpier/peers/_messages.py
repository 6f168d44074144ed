"""Messages between daemons."""

from __future__ import annotations

import attrs

from coltsfootpier.membership import Member
from coltsfootpier.routing import Feedback, Runner


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Periodic message to each peer; the response is the heartbeat of the peer.

    Parameters
    ----------
    member : Member
        Sender of the message.
    revision : int
        Configuration revision in force at the sender; -1 while it has none.
    runners_version : int
        Version of the runners that the sender publishes; differs after each change.
    free : dict of str to int
        Free slots of the sender by service.
    draining : bool
        Whether the sender is about to stop.
    ejected : tuple of str
        Runners that the sender has ejected.
    """

    member: Member
    revision: int
    runners_version: int = 0
    free: dict[str, int] = attrs.field(factory=dict)
    draining: bool = False
    ejected: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class PublishedRunners:
    """Runners of one shard, published by its owner."""

    shard: str
    epoch: int
    runners: tuple[Runner, ...] = ()


@attrs.frozen(kw_only=True)
class RunnerTable:
    """Runners of all shards that a daemon owns.

    Parameters
    ----------
    version : int
        Differs after each change of the runners.
    """

    version: int = 0
    shards: tuple[PublishedRunners, ...] = ()


@attrs.frozen(kw_only=True)
class MemberList:
    """Members that are reachable from a daemon, including itself."""

    members: tuple[Member, ...]


@attrs.frozen(kw_only=True)
class BorrowSlot:
    """Request for one slot of a service, sent to the member that owns the slots.

    Parameters
    ----------
    borrower : str
        Member that requests the slot.
    kind, team : str
        Request kind and team whose shares the slot is charged to.
    left_ms : float
        Time until the deadline of the request, in milliseconds.
    wait_ms : float
        Maximum time for which the owner may queue the request, in milliseconds.
    excluded : tuple of str
        Runners that the request must not be sent to again.
    """

    service: str
    borrower: str
    kind: str
    team: str
    left_ms: float
    wait_ms: float
    excluded: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class LentSlot:
    """Response to `BorrowSlot`; without a runner, no slot is lent.

    Parameters
    ----------
    token : int
        Identifies the grant when the slot is returned.
    free : int
        Remaining free slots of the service at the owner.
    """

    runner: Runner | None = None
    token: int = 0
    free: int = 0


@attrs.frozen(kw_only=True)
class ReturnSlot:
    """Return of a borrowed slot, with the attempt's feedback on the runner."""

    runner: str
    token: int
    feedback: Feedback = attrs.field(factory=Feedback)
