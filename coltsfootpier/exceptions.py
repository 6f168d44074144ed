"""Base exception types, and the description of a problem in input.

Failures that calling code is expected to handle are returned as values inside
``returns.result.Failure``. Exceptions are reserved for broken invariants and for input with
which the process can't continue.
"""

from __future__ import annotations

import attrs


class ColtsfootpierError(Exception):
    """Base class of all exceptions that the project raises."""


class InvariantError(ColtsfootpierError):
    """Base class of exceptions for broken invariants.

    A broken invariant is a bug. The daemon logs it with the values involved and stops, so that
    it doesn't act on inconsistent state.
    """


@attrs.frozen(kw_only=True)
class Problem:
    """One problem in input that people write, such as settings or a declaration.

    Parameters
    ----------
    source : str
        File name, or a name for input that isn't from a file.
    section : str
        Section of the input; empty if the problem concerns the input as a whole.
    key : str
        Key within the section; empty if the problem concerns the section as a whole.
    found : str
        Value that was found; empty if a required key is missing.
    allowed : str
        Description of what is allowed instead.

    Examples
    --------
    >>> print(Problem(source="a.ini", section="job x", key="cores", found="-1", allowed="> 0"))
    a.ini: [job x] cores: found '-1', allowed: > 0
    """

    source: str
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        location = f"{self.source}: [{self.section}]" if self.section else f"{self.source}:"
        key_label = f" {self.key}:" if self.key else ""
        return f"{location}{key_label} found {self.found!r}, allowed: {self.allowed}"


class InputError(ColtsfootpierError):
    """Rejected input, with every problem that was found in it.

    Parameters
    ----------
    problems : tuple of Problem
        At least one problem.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems
