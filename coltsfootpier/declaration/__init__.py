"""Declarations: teams, services, request kinds and batch jobs that operators want to run."""

from coltsfootpier.declaration._expand import TaskSpec, diff_declarations, expand
from coltsfootpier.declaration._model import (
    PRIORITIES,
    Declaration,
    Job,
    RequestKind,
    Service,
    Team,
)
from coltsfootpier.declaration._parse import parse

__all__ = [
    "PRIORITIES",
    "Declaration",
    "Job",
    "RequestKind",
    "Service",
    "TaskSpec",
    "Team",
    "diff_declarations",
    "expand",
    "parse",
]
