"""What the owner answers to questions about jobs."""

from __future__ import annotations

import enum

import attrs

from coltsfootpier.jobs import JobState
from coltsfootpier.node import _timing


class AnswerStatus(enum.Enum):
    """What became of a question about a job."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    KNOWN = "known"
    MISSING = "missing"
    # Not decided, or nobody could be asked.
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Answer:
    """What the owner says of a job.

    Parameters
    ----------
    status : AnswerStatus
        What became of the question.
    reason : str
        Why it was refused.
    retry_after_ms : float
        When a refused job has a chance.
    state : JobState
        State of a known job.
    pending : int
        Jobs of a queue for which no task has started.
    """

    status: AnswerStatus
    reason: str = ""
    retry_after_ms: float = 0.0
    state: JobState = JobState.QUEUED
    pending: int = 0


# The daemon that was asked doesn't own the cell, so it has done nothing.
NO_OWNER = Answer(status=AnswerStatus.UNKNOWN, reason="no owner")


def refuse(reason: str, retry_after_ms: float = _timing.RETRY_SOON_MS) -> Answer:
    """Build the answer for a job that is not taken."""
    return Answer(status=AnswerStatus.REFUSED, reason=reason, retry_after_ms=retry_after_ms)
