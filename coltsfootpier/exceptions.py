"""Base exception types, and the type of problems in input.

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
    """One problem in input that people write.

    Parameters
    ----------
    source : str
        File name, or the name of the input.
    section : str
        Section of the input; empty if the problem concerns the input as a whole.
    key : str
        Key within the section; empty if the problem concerns the section.
    found : str
        Value that was found.
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
        where = f"{self.source}: [{self.section}]" if self.section else f"{self.source}:"
        key = f" {self.key}:" if self.key else ""
        return f"{where}{key} found {self.found!r}, allowed: {self.allowed}"


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
