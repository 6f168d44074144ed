"""Data types of the router."""

from __future__ import annotations

import enum

import attrs


class Outcome(enum.Enum):
    """Outcome of a caller's request.

    With ``REFUSED``, the request was not run. With ``UNKNOWN``, it may have run.
    """

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


class RejectionReason(enum.Enum):
    """Reason for rejecting a request; a rejected request has not been run."""

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
        Task name and attempt number, for example ``service/web/0#1``.
    address : str
        ``IP:PORT``.
    slots, connections : int
        Maximum number of concurrent requests and of connections, over all entry VMs.
    leaving : bool
        Whether the runner is shutting down and must receive no new request.
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
    """State of a ticket, which is settled exactly once: granted, rejected or withdrawn."""

    NEW = "new"
    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


@attrs.define(eq=False, kw_only=True)
class Ticket:
    """Request for a slot, for one attempt of a caller's request.

    Parameters
    ----------
    deadline_ms, arrived_ms : float
        Deadline and arrival time on the daemon's clock.
    excluded : set of str
        Runners that this request must not be sent to again.
    waited_ms : float
        Time spent waiting for slots in milliseconds.
    borrower : str
        Peer that borrows the slot for a request of its own; empty for a request of this daemon.
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
    """What the result of an attempt says about the runner."""

    ANSWERED = "answered"
    FAILED = "failed"
    # Rejected before the start, for example because all slots are in use.
    REFUSED = "refused"
    # No response in time; the runner may work on the request until its deadline.
    OVERDUE = "overdue"
    # The connection could not be established.
    UNREACHABLE = "unreachable"
    # The attempt ended for a reason on the side of this daemon or of the caller.
    NONE = "none"


@attrs.frozen(kw_only=True)
class Feedback:
    """Result of one attempt, reported to the owner of the slot.

    Parameters
    ----------
    elapsed_ms : float
        Duration of the attempt in milliseconds; used only with ``ANSWERED``.
    request_id : str
        Identifier of the request. Repeated failures of one request count once, so that a request
        that fails on every runner ejects none.
    leaving : bool
        Whether the runner reported that it is shutting down.
    """

    result: AttemptResult = AttemptResult.NONE
    elapsed_ms: float = 0.0
    request_id: str = ""
    leaving: bool = False


@attrs.frozen(kw_only=True)
class Share:
    """Declared share of a service's slots for one request kind.

    Parameters
    ----------
    weight : float
        Weight in the division of the slots that are not guaranteed to any kind.
    guaranteed : float
        Fraction of the slots that is guaranteed to the kind while it has requests.
    priority : int
        Higher is more urgent.
    """

    weight: float = 1.0
    guaranteed: float = 0.0
    priority: int = 1


@attrs.frozen(kw_only=True)
class Grant:
    """Permission to send one request to a runner.

    Parameters
    ----------
    owner : str
        Member that owns the slot.
    token : int
        Identifier of the grant, unique within the owner.
    kind : str
        Request kind that the slot was granted for.
    """

    runner: Runner
    owner: str
    token: int
    kind: str = ""


@attrs.frozen(kw_only=True)
class BorrowPlan:
    """Instruction to request a slot from a peer on behalf of a waiting ticket."""

    peer: str
    ticket: Ticket


@attrs.frozen(kw_only=True)
class Queued:
    """Decision to queue a ticket until it gets a slot, is rejected or is withdrawn."""


@attrs.frozen(kw_only=True)
class Rejected:
    """Decision not to run a request."""

    reason: RejectionReason
    detail: str = ""


@attrs.frozen(kw_only=True)
class Settlement:
    """Decision on a ticket that was queued."""

    ticket: Ticket
    decision: Grant | Rejected
