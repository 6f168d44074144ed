"""Decisions about jobs and runners: admission, ordering, placement, pacing, health, recovery."""

from coltsfootpier.cells._admission import Backlog, Rejected, check_admission
from coltsfootpier.cells._cell import Accepted, Cell
from coltsfootpier.cells._fleet import CapacityError, DoubleRunError
from coltsfootpier.cells._learned import Learned, LearnedInterference
from coltsfootpier.cells._lease_expiry import LapseTracker
from coltsfootpier.cells._messages import (
    AskAdvice,
    EndedRow,
    EndKind,
    Order,
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
from coltsfootpier.cells._state import Job

__all__ = [
    "Accepted",
    "AskAdvice",
    "Backlog",
    "CapacityError",
    "Cell",
    "CellSettings",
    "DoubleRunError",
    "EndKind",
    "EndedRow",
    "Job",
    "LapseTracker",
    "Learned",
    "LearnedInterference",
    "Order",
    "PaceRun",
    "Rejected",
    "RunId",
    "RunnerEntry",
    "RunnerReport",
    "RunningRow",
    "StartOutcome",
    "StartRun",
    "StopRun",
    "check_admission",
]
