"""Permits for idempotency keys and exclusive keys, with epoch-fenced copies on peers."""

from coltsfootpier.permits._copies import CopyTable
from coltsfootpier.permits._history import Coverage, History, ProcessLog, process_of
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
from coltsfootpier.permits._node import PermitNode
from coltsfootpier.permits._table import CopyFirst, DoubleGrantError, PermitTable

__all__ = [
    "AcquirePermit",
    "CopyFirst",
    "CopyPermits",
    "CopyReply",
    "CopyTable",
    "Coverage",
    "DoubleGrantError",
    "History",
    "KeyKind",
    "PermitNode",
    "PermitRecord",
    "PermitReply",
    "PermitTable",
    "ProcessLog",
    "PullPermits",
    "PulledPermits",
    "RecordState",
    "SettlePermit",
    "SettleReply",
    "Verdict",
    "process_of",
]
