"""Builders of runs in the histories of runners."""

from __future__ import annotations

from typing import Any

JOB_ID = "5c0e7a21d94b36f8"


def build_run(attempt: int, **changes: Any) -> dict[str, Any]:
    """Build an ended run of one task; attempt N starts at N s and takes 500 ms."""
    begin_ms = 1_000.0 * attempt
    values = {
        "task": f"{JOB_ID}.0.0.0",
        "attempt": attempt,
        "how": "done",
        "begin_ms": begin_ms,
        "end_ms": begin_ms + 500.0,
    }
    return {**values, **changes}


def build_current_run(attempt: int, **changes: Any) -> dict[str, Any]:
    """Build a run that has not ended."""
    return build_run(attempt, how="", end_ms=None, **changes)
