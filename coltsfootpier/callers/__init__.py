"""Request handling for callers: ASGI application and permits."""

from coltsfootpier.callers._application import CallerApplication, Slots
from coltsfootpier.callers._permits import Claim, Permit, Permits, RecordedOutcome

__all__ = ["CallerApplication", "Claim", "Permit", "Permits", "RecordedOutcome", "Slots"]
