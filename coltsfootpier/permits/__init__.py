"""Permits for idempotency keys and exclusive keys, with epoch-fenced copies on peers."""

from coltsfootpier.permits._copies import CopyTable
from coltsfootpier.permits._history import Coverage, History, ProcessTable, process_of
from coltsfootpier.permits._manager import PermitManager
from coltsfootpier.permits._messages import (
    AcquirePermit,
    CopyPermits,
    CopyReply,
    KeyKind,
    PermitRecord,
    PermitReply,
    PulledPermits,
    PullPermits,
    RecordState,
    SettlePermit,
    SettleReply,
    Verdict,
)
from coltsfootpier.permits._table import CopyRequired, DoubleGrantError, PermitTable

__all__ = [
    "AcquirePermit",
    "CopyPermits",
    "CopyReply",
    "CopyRequired",
    "CopyTable",
    "Coverage",
    "DoubleGrantError",
    "History",
    "KeyKind",
    "PermitManager",
    "PermitRecord",
    "PermitReply",
    "PermitTable",
    "ProcessTable",
    "PullPermits",
    "PulledPermits",
    "RecordState",
    "SettlePermit",
    "SettleReply",
    "Verdict",
    "process_of",
]
