"""Permits for the keys of a request, as the callers' side uses them."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from typing import Protocol

import anyio
import attrs

from coltsfootpier.declaration import RequestKind
from coltsfootpier.permits import KeyKind
from coltsfootpier.routing import Outcome, Rejected, RejectionReason

_MAX_KEY = 256


@attrs.frozen(kw_only=True)
class Claim:
    """A key that a request needs before it may run.

    Parameters
    ----------
    fingerprint : str
        Digest of the request.
    deadline_ms : float
        Deadline of the request on the daemon's clock.
    max_run_ms : float
        Longest time for which a runner works on the request.
    """

    kind: KeyKind
    key: str
    fingerprint: str
    deadline_ms: float
    max_run_ms: float


@attrs.frozen(kw_only=True)
class Permit:
    """The right to run the request of a claim once."""

    claim: Claim
    token: str


@attrs.frozen(kw_only=True)
class Recorded:
    """An earlier request with the same key ran or may have run; this one is not run."""

    outcome: Outcome
    status: int = 0


class Permits(Protocol):
    """Where a request obtains the right to use its keys."""

    async def acquire(self, claim: Claim) -> Permit | Recorded | Rejected:
        """Ask for a permit, at most until the claim's deadline."""
        ...

    async def settle(self, permit: Permit, outcome: Outcome, status: int) -> None:
        """Record what became of the request; ``REFUSED`` frees the key."""
        ...


def list_claims(
    kind: RequestKind,
    *,
    declared: bool,
    headers: Mapping[bytes, bytes],
    content: Sequence[bytes],
    deadline_ms: float,
) -> list[Claim] | Rejected:
    """Return the keys that a request must claim.

    Parameters
    ----------
    kind : RequestKind
        Kind of the request.
    declared : bool
        Whether the kind is in the declared text. A request of another kind may come without
        a key: it is sent once, and a repeat by its caller counts as a new request.
    headers : Mapping of bytes to bytes
        Names in lower case.
    content : sequence of bytes
        What makes the request differ from another: method, target and body.
    deadline_ms : float
        On the daemon's clock.

    Returns
    -------
    list of Claim or Refused
        The idempotency key comes first, so that a repeat gets its recorded outcome even while
        the exclusive key is in use.
    """
    needed = (
        (KeyKind.IDEMPOTENCY, b"idempotency-key", not kind.idempotent, kind.name),
        (KeyKind.EXCLUSIVE, b"x-exclusive-key", kind.exclusive, ""),
    )
    claims: list[Claim] = []
    for key_kind, header, is_needed, scope in needed:
        if not is_needed:
            continue
        key = headers.get(header, b"").decode("latin-1")
        if not key and not declared:
            continue
        if not key or len(key) > _MAX_KEY:
            detail = f"{header.decode()} is required, with at most {_MAX_KEY} characters"
            return Rejected(reason=RejectionReason.BAD_REQUEST, detail=detail)
        is_exclusive = key_kind is KeyKind.EXCLUSIVE
        claim = Claim(
            kind=key_kind,
            # Exclusive keys are shared by the kinds of a service.
            key=f"{key_kind.value}/{kind.service}/{scope}/{key}",
            fingerprint="" if is_exclusive else _digest(content),
            deadline_ms=deadline_ms,
            max_run_ms=kind.max_run_ms,
        )
        claims.append(claim)
    return claims


def _digest(content: Sequence[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=8)
    for part in content:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


async def acquire_permits(
    permits: Permits, claims: Sequence[Claim]
) -> list[Permit] | Recorded | Rejected:
    """Acquire the permits for all claims of a request, or none.

    Parameters
    ----------
    permits : Permits
        Where to ask.
    claims : sequence of Claim
        From `list_claims`.

    Returns
    -------
    list of Permit, Recorded or Refused
    """
    held: list[Permit] = []
    for claim in claims:
        result = await permits.acquire(claim)
        if not isinstance(result, Permit):
            await settle_permits(permits, held, Outcome.REFUSED, 0)
            return result
        held.append(result)
    return held


async def settle_permits(
    permits: Permits, held: Sequence[Permit], outcome: Outcome, status: int
) -> None:
    """Record the outcome of a request for all its permits."""
    with anyio.CancelScope(shield=True):
        for permit in reversed(held):
            await permits.settle(permit, outcome, status)
