"""Operators' interface: messages, server side, and client for the command-line tool."""

from coltsfootpier.operators._client import OperatorClient, OperatorError
from coltsfootpier.operators._messages import (
    ApplyReply,
    ApplyRequest,
    EntryVmStatus,
    StatusReply,
    TaskStatus,
    WorkerStatus,
)
from coltsfootpier.operators._server import OperatorHandlers, build_operator_application

__all__ = [
    "ApplyReply",
    "ApplyRequest",
    "EntryVmStatus",
    "OperatorClient",
    "OperatorError",
    "OperatorHandlers",
    "StatusReply",
    "TaskStatus",
    "WorkerStatus",
    "build_operator_application",
]
