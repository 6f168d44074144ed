"""Exit codes of the command-line tool."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes, on which scripts of operators rely."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNKNOWN = 5
    TIMEOUT = 6
