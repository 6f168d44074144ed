"""Decisions about jobs and runners: admission, order, placement, pace, health and recovery."""

from coltsfootpier.cells._admission import Backlog, Rejected, judge_job
from coltsfootpier.cells._cell import Accepted, Cell
from coltsfootpier.cells._fleet import CapacityError, DoubleRunError
from coltsfootpier.cells._lapses import LeaseExpiryTracker
from coltsfootpier.cells._learned import Learned, LearnedPressure
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
    "LearnedPressure",
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
    "judge_job",
]
