"""Typed failures of one HTTP exchange."""

from __future__ import annotations

import attrs

from coltsfootpier.exceptions import ColtsfootpierError


@attrs.frozen
class NotSent:
    """No byte of the request was sent.

    Parameters
    ----------
    unreachable : bool
        Whether no connection could be established; otherwise the timeout or a queue limit of this
        process prevented the request, or the request was invalid.
    """

    reason: str
    unreachable: bool = False


@attrs.frozen
class Unanswered:
    """The request may have taken effect, but no complete response arrived."""

    reason: str


@attrs.frozen
class BadReply:
    """A response arrived that violates the protocol or a size limit."""

    reason: str
    status: int = 0


# The response did not arrive within the timeout.
OVERDUE = Unanswered("overdue")

CallError = NotSent | Unanswered | BadReply


@attrs.frozen
class BindError:
    """A listening socket could not be bound to an address."""

    address: str
    reason: str


class MalformedMessageError(ColtsfootpierError):
    """A message isn't JSON, or a field of its type is missing or invalid."""
