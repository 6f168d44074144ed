"""Acceptance and propagation of declaration revisions; a daemon never reverts to an older one."""

from coltsfootpier.configuration._state import (
    Revision,
    RevisionState,
    extend_history,
    has_taken_effect,
)

__all__ = ["Revision", "RevisionState", "extend_history", "has_taken_effect"]
