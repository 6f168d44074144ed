"""State machine of the configuration in one daemon."""

from __future__ import annotations

import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.declaration import Declaration, parse
from coltsfootpier.exceptions import InvariantError, Problem

# Number of earlier tokens stored with a revision. At 1,200 changes a day they cover more than an
# hour, while the outcome of an operator's change is known within seconds.
_MAX_EARLIER_TOKENS = 64


class RevisionContentError(InvariantError):
    """Two revisions with different tokens have the same number."""


@attrs.frozen
class Revision:
    """Value of the store key ``control/config``.

    Parameters
    ----------
    revision : int
        Increases by one with each accepted change; 0 before the first.
    token : str
        Identifier chosen by the writer; shows after a lost response whether its write took
        effect.
    text : str
        Text of the declaration.
    earlier : tuple of str
        Tokens of the previous revisions, newest first. A writer whose response was lost finds its
        token here when others have written since.
    """

    revision: int = 0
    token: str = ""
    text: str = ""
    earlier: tuple[str, ...] = ()

    def includes(self, token: str) -> bool:
        """Return whether the write with a token took effect, in this or an earlier revision."""
        return token == self.token or token in self.earlier


class RevisionState:
    """Newest revision that a daemon has seen and applies.

    Examples
    --------
    >>> state = RevisionState()
    >>> state.observe(Revision(1, "t", ""))
    True
    >>> state.observe(Revision(0, "", ""))
    False
    """

    def __init__(self) -> None:
        self.revision = Revision()
        self.declaration = Declaration.empty()
        # Whether any revision is known: the store was read or a peer has sent a revision, even if
        # it is revision 0.
        self.is_known = False

    def observe(self, revision: Revision) -> bool:
        """Apply a revision from the store or a peer if it is newer.

        A revision lower than the newest one seen is ignored, even if it comes from the store.

        Parameters
        ----------
        revision : Revision
            Revision that is durable in the store.

        Returns
        -------
        bool
            Whether this call put the revision into force.

        Raises
        ------
        RevisionContentError
            If a revision with the same number but another token is in force.
        """
        self.is_known = True
        if revision.revision == self.revision.revision and revision.token != self.revision.token:
            raise RevisionContentError(
                f"revision {revision.revision} has token {revision.token!r}, but was seen with "
                f"token {self.revision.token!r}"
            )
        if revision.revision <= self.revision.revision:
            return False
        parsed = parse(revision.text, source=f"revision {revision.revision}")
        if isinstance(parsed, Failure):
            # Only valid texts are written, so this text was written by a newer release and
            # contains keys unknown to this one. The previous revision stays in force.
            return False
        self.revision = revision
        self.declaration = parsed.unwrap()
        return True

    def propose(
        self, text: str, *, base: int, token: str, source: str
    ) -> Result[Revision, tuple[Problem, ...]]:
        """Parse the text of a change, and return the revision to write or the errors in the text.

        Parameters
        ----------
        text : str
            New text of the declaration.
        base : int
            Revision that the change is based on; the proposed revision is the next one.
        token : str
            Identifier of the change.
        source : str
            Name of the text in error messages.
        """
        parsed = parse(text, source=source)
        if isinstance(parsed, Failure):
            return parsed
        return Success(Revision(base + 1, token, text))


def extend_history(proposed: Revision, stored: Revision) -> Revision:
    """Return a proposed revision with the token history of the stored one that it replaces."""
    earlier = (stored.token, *stored.earlier)[:_MAX_EARLIER_TOKENS] if stored.revision else ()
    return attrs.evolve(proposed, earlier=earlier)


def has_taken_effect(proposed: Revision, stored: Revision) -> bool | None:
    """Return whether the write of a proposed revision took effect, given the stored value.

    Returns
    -------
    bool or None
        None when the write has not taken effect but still may, because it may be in flight.

    Examples
    --------
    >>> mine = Revision(2, "mine", "")
    >>> has_taken_effect(mine, Revision(3, "other", "", ("mine", "first")))
    True
    >>> has_taken_effect(mine, Revision(2, "other", "", ("first",)))
    False
    >>> has_taken_effect(mine, Revision(1, "first", ""))
    """
    if stored.includes(proposed.token):
        return True
    return False if stored.revision >= proposed.revision else None
