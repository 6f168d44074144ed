"""Seeds given on a command line."""

from __future__ import annotations


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a range ``FIRST:END``, END excluded, or of a comma-separated list.

    Examples
    --------
    >>> parse_seeds("3:6"), parse_seeds("4,9")
    ([3, 4, 5], [4, 9])
    """
    first, colon, end = text.partition(":")
    if colon:
        return list(range(int(first), int(end)))
    return [int(seed) for seed in text.split(",")]
