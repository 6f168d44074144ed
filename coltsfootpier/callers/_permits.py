"""Permits for the idempotency key and the exclusive key of a request."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from typing import Protocol

import anyio
import attrs

from coltsfootpier.declaration import RequestKind
from coltsfootpier.permits import KeyKind
from coltsfootpier.routing import Outcome, Rejected, RejectionReason

_MAX_KEY_CHARACTERS = 256


@attrs.frozen(kw_only=True)
class Claim:
    """A key for which a request needs a permit before it may run.

    Parameters
    ----------
    kind : KeyKind
        Guarantee that the key gives.
    key : str
        Kind, service and the caller's key; an idempotency key also has the kind of the request.
    fingerprint : str
        Digest of the request; empty for an exclusive key, under which requests may differ.
    deadline_ms : float
        Deadline of the request on the daemon's clock.
    max_run_ms : float
        Maximum time that a runner takes to process the request.
    """

    kind: KeyKind
    key: str
    fingerprint: str
    deadline_ms: float
    max_run_ms: float


@attrs.frozen(kw_only=True)
class Permit:
    """Permission to run the request of a claim once; `token` identifies the request."""

    claim: Claim
    token: str


@attrs.frozen(kw_only=True)
class RecordedOutcome:
    """Outcome of an earlier request with the same key that ran or may have run.

    The new request is not run.

    Parameters
    ----------
    status : int
        HTTP status of the earlier response; 0 when unknown.
    """

    outcome: Outcome
    status: int = 0


class Permits(Protocol):
    """Source of permits for the keys of requests."""

    async def acquire(self, claim: Claim) -> Permit | RecordedOutcome | Rejected:
        """Request a permit and wait for it, at most until the deadline of the claim."""
        ...

    async def settle(self, permit: Permit, outcome: Outcome, status: int) -> None:
        """Record the outcome and the HTTP status of the request; ``REFUSED`` frees the key."""
        ...


def list_claims(
    kind: RequestKind,
    *,
    declared: bool,
    headers: Mapping[bytes, bytes],
    content: Sequence[bytes],
    deadline_ms: float,
) -> list[Claim] | Rejected:
    """Return the claims for the keys of a request.

    Parameters
    ----------
    kind : RequestKind
        Kind of the request.
    declared : bool
        Whether the kind is part of the declaration. A request of an undeclared kind may omit its
        key: it is sent once, and a retry by its caller counts as a new request.
    headers : Mapping of bytes to bytes
        Headers of the request, with names in lower case.
    content : sequence of bytes
        Parts that identify the request in its fingerprint: method, target and body.
    deadline_ms : float
        Deadline of the request on the daemon's clock.

    Returns
    -------
    list of Claim or Rejected
        The claim of the idempotency key comes first, so that a retry gets its recorded outcome
        even while the exclusive key is in use.
    """
    key_requirements = (
        (KeyKind.IDEMPOTENCY, b"idempotency-key", not kind.idempotent, kind.name),
        (KeyKind.EXCLUSIVE, b"x-exclusive-key", kind.exclusive, ""),
    )
    claims: list[Claim] = []
    for key_kind, header, is_needed, scope in key_requirements:
        if not is_needed:
            continue
        key = headers.get(header, b"").decode("latin-1")
        if not key and not declared:
            continue
        if not key or len(key) > _MAX_KEY_CHARACTERS:
            detail = f"{header.decode()} is required, with at most {_MAX_KEY_CHARACTERS} characters"
            return Rejected(reason=RejectionReason.BAD_REQUEST, detail=detail)
        is_exclusive = key_kind is KeyKind.EXCLUSIVE
        claim = Claim(
            kind=key_kind,
            # All kinds of a service share its exclusive keys.
            key=f"{key_kind.value}/{kind.service}/{scope}/{key}",
            fingerprint="" if is_exclusive else _compute_digest(content),
            deadline_ms=deadline_ms,
            max_run_ms=kind.max_run_ms,
        )
        claims.append(claim)
    return claims


def _compute_digest(content: Sequence[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=8)
    for part in content:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


async def acquire_permits(
    permits: Permits, claims: Sequence[Claim]
) -> list[Permit] | RecordedOutcome | Rejected:
    """Acquire the permits for all claims of a request, or for none of them.

    Parameters
    ----------
    permits : Permits
        Source of the permits.
    claims : sequence of Claim
        Claims returned by `list_claims`.

    Returns
    -------
    list of Permit, RecordedOutcome or Rejected
        One permit for each claim. Otherwise the first result that isn't a permit; the permits
        acquired before it are settled, so that their keys are free again.
    """
    acquired: list[Permit] = []
    for claim in claims:
        result = await permits.acquire(claim)
        if not isinstance(result, Permit):
            await settle_permits(permits, acquired, Outcome.REFUSED, 0)
            return result
        acquired.append(result)
    return acquired


async def settle_permits(
    permits: Permits, acquired: Sequence[Permit], outcome: Outcome, status: int
) -> None:
    """Record the outcome of a request for all its permits."""
    with anyio.CancelScope(shield=True):
        for permit in reversed(acquired):
            await permits.settle(permit, outcome, status)
