"""Decisions about jobs and runners: admission, ordering, placement, pacing, health, recovery."""

from coltsfootpier.cells._admission import Backlog, Rejected, check_admission
from coltsfootpier.cells._cell import Accepted, Cell
from coltsfootpier.cells._fleet import CapacityError, DoubleRunError
from coltsfootpier.cells._learned import LearnedDemand, LearnedInterference, LearnedState
from coltsfootpier.cells._lease_expiry import LeaseExpiryTracker, get_bounds
from coltsfootpier.cells._messages import (
    AdviceRequest,
    CellCommand,
    EndedRow,
    EndKind,
    PaceRun,
    RunId,
    RunnerEntry,
    RunnerReport,
    RunningRow,
    StartOutcome,
    StartRun,
    StopRun,
)
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Job, Runner
from coltsfootpier.cells._unanswered_starts import InheritedStart, UnansweredStarts

__all__ = [
    "Accepted",
    "AdviceRequest",
    "Backlog",
    "CapacityError",
    "Cell",
    "CellCommand",
    "CellSettings",
    "DoubleRunError",
    "EndKind",
    "EndedRow",
    "InheritedStart",
    "Job",
    "LearnedDemand",
    "LearnedInterference",
    "LearnedState",
    "LeaseExpiryTracker",
    "PaceRun",
    "Rejected",
    "RunId",
    "Runner",
    "RunnerEntry",
    "RunnerReport",
    "RunningRow",
    "StartOutcome",
    "StartRun",
    "StopRun",
    "UnansweredStarts",
    "check_admission",
    "get_bounds",
]
