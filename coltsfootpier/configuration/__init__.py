"""Revisions of the declaration: acceptance and propagation; a daemon never goes back."""

from coltsfootpier.configuration._state import Revision, RevisionState, follow, settle

__all__ = ["Revision", "RevisionState", "follow", "settle"]
