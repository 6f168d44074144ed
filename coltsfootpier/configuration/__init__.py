"""Revisions of the declaration: acceptance and propagation; a daemon never goes back."""

from coltsfootpier.configuration._state import (
    Revision,
    RevisionState,
    extend_history,
    has_taken_effect,
)

__all__ = ["Revision", "RevisionState", "extend_history", "has_taken_effect"]
