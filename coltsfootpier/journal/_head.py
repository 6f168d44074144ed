"""Head record of a cell, which is a condition of every change and is replaced by it.

A change whose response was lost may take effect seconds later. Since each change expects the head
at the revision of the previous change, at most one of its attempts takes effect, and none does once
a later change or a later owner has written the head.
"""

from __future__ import annotations

import attrs

from coltsfootpier.transport import MalformedMessageError, decode, is_address


@attrs.frozen(kw_only=True)
class ActionBounds:
    """Bounds on how long an owner acts without a successor's knowledge, on which these rely.

    Parameters
    ----------
    unconfirmed_ms : float
        Longest time for which it acts after the last confirmation of the store.
    lease_ms : float
        Longest time after a proof of its ownership until the leases end that it extends with it.
    """

    unconfirmed_ms: float
    lease_ms: float

    def combine(self, other: ActionBounds) -> ActionBounds:
        """Return the bounds that hold for two owners."""
        return ActionBounds(
            unconfirmed_ms=max(self.unconfirmed_ms, other.unconfirmed_ms),
            lease_ms=max(self.lease_ms, other.lease_ms),
        )


@attrs.frozen(kw_only=True)
class Head:
    """Value of the head record.

    Parameters
    ----------
    generation : int
        Number of the ownership, from 1, and highest fencing token that its owner uses. Each claim
        increments it, and so does the owner before it uses a higher token; the numbers of
        ownerships have gaps then. Runners reject commands with a lower token than the highest that
        they have seen.
    holder : str
        Incarnation of the daemon that wrote the head.
    sequence : int
        Number of the change within the ownership.
    bounds : ActionBounds, optional
        Bounds that hold for the holder and for all earlier owners that may still act; None if they
        aren't known, for example because an earlier release wrote the head.
    """

    generation: int
    holder: str
    sequence: int = 0
    bounds: ActionBounds | None = None

    def next(self, bounds: ActionBounds | None = None, *, raises_token: bool = False) -> Head:
        """Return the head of the next change, with new bounds if given.

        Parameters
        ----------
        bounds : ActionBounds, optional
            Bounds of the owner, if they change.
        raises_token : bool, default=False
            Whether the change reserves a higher fencing token for the owner.

        Examples
        --------
        >>> Head(generation=3, holder="a", sequence=9).next(raises_token=True)
        Head(generation=4, holder='a', sequence=10, bounds=None)
        """
        return attrs.evolve(
            self,
            generation=self.generation + raises_token,
            sequence=self.sequence + 1,
            bounds=bounds or self.bounds,
        )

    def claim(self, holder: str, bounds: ActionBounds | None = None) -> Head:
        """Return the head that claims the cell for a new owner.

        Parameters
        ----------
        holder : str
            Incarnation of the daemon.
        bounds : ActionBounds, optional
            Bounds of the new owner.

        Examples
        --------
        >>> Head(generation=3, holder="a", sequence=9).claim("b")
        Head(generation=4, holder='b', sequence=0, bounds=None)
        """
        if bounds is not None and self.generation:
            bounds = bounds.combine(self.bounds) if self.bounds is not None else None
        return Head(generation=self.generation + 1, holder=holder, bounds=bounds)


@attrs.frozen(kw_only=True)
class OwnerInfo:
    """Value of the owner's key, which exists until its lease expires.

    Parameters
    ----------
    holder : str
        Incarnation of the daemon.
    address : str
        ``IP:PORT`` for requests of other daemons.
    generation : int
        Number of the ownership.
    """

    holder: str
    address: str
    generation: int


NO_HEAD = Head(generation=0, holder="")


def decode_head(value: bytes | None) -> Head:
    """Decode the head record; a missing one is generation 0.

    Raises
    ------
    MalformedMessageError
        If the value isn't a head record. The cell must not be claimed then, because every runner
        would reject a lower generation than one in use.
    """
    return NO_HEAD if value is None else decode(value, Head)


def decode_owner(value: bytes | None) -> OwnerInfo | None:
    """Decode the owner's key; None if the cell has no owner or the value is malformed."""
    if value is None:
        return None
    try:
        owner = decode(value, OwnerInfo)
    except MalformedMessageError:
        return None
    return owner if is_address(owner.address) else None


def was_applied(change: Head, found: Head) -> bool:
    """Return whether a change whose condition failed was applied by an earlier attempt.

    Examples
    --------
    >>> change = Head(generation=2, holder="a", sequence=7)
    >>> was_applied(change, change), was_applied(change, change.claim("b"))
    (True, False)
    """
    return change == found
