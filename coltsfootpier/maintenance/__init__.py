"""Scheduling of maintenance waves: which worker VM is taken down at what time; no I/O."""

from coltsfootpier.maintenance._messages import (
    MaintenanceCommand,
    MaintenanceOutcome,
    MaintenanceRecord,
    VmState,
    Wave,
    WaveRecord,
    WorkerVm,
)
from coltsfootpier.maintenance._planner import MaintenancePlanner, RunnerCordons
from coltsfootpier.maintenance._settings import MaintenanceSettings

__all__ = [
    "MaintenanceCommand",
    "MaintenanceOutcome",
    "MaintenancePlanner",
    "MaintenanceRecord",
    "MaintenanceSettings",
    "RunnerCordons",
    "VmState",
    "Wave",
    "WaveRecord",
    "WorkerVm",
]
