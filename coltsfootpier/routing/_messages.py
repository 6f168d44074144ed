"""Data of the router."""

from __future__ import annotations

import enum

import attrs


class Outcome(enum.Enum):
    """What became of a caller's request."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


class RejectionReason(enum.Enum):
    """Why a request was refused; it was not run."""

    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    NO_RUNNER = "no_runner"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    SHARE = "share"
    DRAINING = "draining"
    KEY_BUSY = "key_busy"
    NO_PERMIT = "no_permit"
    RUNNER_REFUSED = "runner_refused"


@attrs.frozen(kw_only=True)
class Runner:
    """One runner of a service.

    Parameters
    ----------
    id : str
        Task name and attempt.
    address : str
        ``IP:PORT``.
    slots, connections : int
        Requests and connections that it takes at once, over all entry VMs.
    leaving : bool
        Whether it must get no new request.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    worker: str
    slots: int
    connections: int
    leaving: bool = False


class TicketState(enum.Enum):
    """Where a ticket is on its way; it settles once."""

    NEW = "new"
    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


@attrs.define(eq=False, kw_only=True)
class Ticket:
    """One offer of a request to a runner, for which a slot is needed.

    Parameters
    ----------
    deadline_ms : float
        On the daemon's clock.
    excluded : set of str
        Runners that this request must not be sent to again.
    waited_ms : float
        Time spent waiting for slots.
    borrower : str
        Member that asks on behalf of its own request; empty for a request of this daemon.
    """

    service: str
    kind: str = ""
    team: str = ""
    deadline_ms: float
    arrived_ms: float
    excluded: set[str] = attrs.field(factory=set)
    waited_ms: float = 0.0
    borrower: str = ""
    state: TicketState = TicketState.NEW


class AttemptResult(enum.Enum):
    """What an attempt says about its runner."""

    ANSWERED = "answered"
    FAILED = "failed"
    # Refused before the start, for example because all slots are in use.
    REFUSED = "refused"
    # No answer in time: the runner may work on the request until the deadline.
    OVERDUE = "overdue"
    # No connection could be made.
    UNREACHABLE = "unreachable"
    # The attempt ended for reasons of this daemon or the caller.
    NONE = "none"


@attrs.frozen(kw_only=True)
class Feedback:
    """Result of one attempt, for the owner of the slot.

    Parameters
    ----------
    request_id : str
        Distinguishes requests; one request that fails everywhere ejects no runner.
    leaving : bool
        Whether the runner said that it leaves.
    """

    result: AttemptResult = AttemptResult.NONE
    elapsed_ms: float = 0.0
    request_id: str = ""
    leaving: bool = False


@attrs.frozen(kw_only=True)
class Share:
    """Share of a request kind in its service's slots, from the declared text.

    Parameters
    ----------
    weight : float
        Weight in the part that is not guaranteed to any kind.
    guaranteed : float
        Part of the slots that the kind gets in any case while it has requests.
    priority : int
        Higher is more urgent.
    """

    weight: float = 1.0
    guaranteed: float = 0.0
    priority: int = 1


@attrs.frozen(kw_only=True)
class Grant:
    """The right to send one request to a runner.

    Parameters
    ----------
    token : int
        Unique within the owner.
    owner : str
        Member that owns the slot.
    kind : str
        Request kind that the slot was granted for.
    """

    runner: Runner
    owner: str
    token: int
    kind: str = ""


@attrs.frozen(kw_only=True)
class Borrow:
    """Ask a peer for a slot on behalf of a waiting ticket."""

    peer: str
    ticket: Ticket


@attrs.frozen(kw_only=True)
class Queued:
    """Wait; a later release, loan or expiry settles the ticket."""


@attrs.frozen(kw_only=True)
class Rejected:
    """The request is not run."""

    reason: RejectionReason
    detail: str = ""


@attrs.frozen(kw_only=True)
class Settlement:
    """A ticket that waited, and what became of it."""

    ticket: Ticket
    decision: Grant | Rejected
