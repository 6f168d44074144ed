"""Responses of the owner to requests about jobs."""

from __future__ import annotations

import enum

import attrs

from coltsfootpier.jobs import JobState
from coltsfootpier.node import _timing


class ResponseStatus(enum.Enum):
    """Outcome of a request about a job."""

    # The submitted job was accepted or rejected.
    ACCEPTED = "accepted"
    REFUSED = "refused"
    # The job or queue was read, or the cancellation is durable.
    KNOWN = "known"
    # There is no such job.
    MISSING = "missing"
    # No owner could be reached, or it isn't known whether the request took effect.
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Response:
    """Response of the owner to a request about a job.

    Parameters
    ----------
    status : ResponseStatus
        Outcome of the request.
    reason : str
        Why the job was rejected.
    retry_after_ms : float
        Time in ms after which a rejected job may be submitted again.
    state : JobState
        State of the job, if it is known.
    pending : int
        Number of jobs of a queue without any started task.
    """

    status: ResponseStatus
    reason: str = ""
    retry_after_ms: float = 0.0
    state: JobState = JobState.QUEUED
    pending: int = 0


# The daemon that received the request doesn't own the cell and has not processed the request.
NOT_OWNER = Response(status=ResponseStatus.UNKNOWN, reason="no owner")


def build_rejection(
    reason: str, retry_after_ms: float = _timing.DEFAULT_RETRY_AFTER_MS
) -> Response:
    """Build the response to a submission that is rejected for `reason`."""
    return Response(status=ResponseStatus.REFUSED, reason=reason, retry_after_ms=retry_after_ms)
