"""Scheduling of maintenance waves: which worker VM is taken down at what time; no I/O."""

from coltsfootpier.upkeep._messages import (
    UpkeepOrder,
    UpkeepOutcome,
    UpkeepRecord,
    VmState,
    Wave,
    WaveRecord,
    WorkerVm,
)
from coltsfootpier.upkeep._planner import RunnerCordons, UpkeepPlanner
from coltsfootpier.upkeep._settings import UpkeepSettings

__all__ = [
    "RunnerCordons",
    "UpkeepOrder",
    "UpkeepOutcome",
    "UpkeepPlanner",
    "UpkeepRecord",
    "UpkeepSettings",
    "VmState",
    "Wave",
    "WaveRecord",
    "WorkerVm",
]
