"""Routing of callers' requests to runners that have a free slot."""

from coltsfootpier.routing._assignment import (
    BalancedAssignment,
    RendezvousAssignment,
    SlotAssignment,
)
from coltsfootpier.routing._health import RunnerHealth
from coltsfootpier.routing._messages import (
    AttemptResult,
    BorrowPlan,
    Feedback,
    Grant,
    Outcome,
    Queued,
    Rejected,
    RejectionReason,
    Runner,
    Settlement,
    Share,
    Ticket,
    TicketState,
)
from coltsfootpier.routing._policies import (
    Candidate,
    FirstFitPolicy,
    LeastOutstandingPolicy,
    MeasuredDelayPolicy,
    NearestFirstPolicy,
    RandomPolicy,
    RunnerPolicy,
)
from coltsfootpier.routing._queues import FairQueue, FifoQueue, QueueContext, SlotUse, WaitingQueue
from coltsfootpier.routing._retries import RetryBudget, compute_attempt_timeout
from coltsfootpier.routing._router import Router, SlotOverrunError, TicketSettledError

__all__ = [
    "AttemptResult",
    "BalancedAssignment",
    "BorrowPlan",
    "Candidate",
    "FairQueue",
    "Feedback",
    "FifoQueue",
    "FirstFitPolicy",
    "Grant",
    "LeastOutstandingPolicy",
    "MeasuredDelayPolicy",
    "NearestFirstPolicy",
    "Outcome",
    "QueueContext",
    "Queued",
    "RandomPolicy",
    "Rejected",
    "RejectionReason",
    "RendezvousAssignment",
    "RetryBudget",
    "Router",
    "Runner",
    "RunnerHealth",
    "RunnerPolicy",
    "Settlement",
    "Share",
    "SlotAssignment",
    "SlotOverrunError",
    "SlotUse",
    "Ticket",
    "TicketSettledError",
    "TicketState",
    "WaitingQueue",
    "compute_attempt_timeout",
]
