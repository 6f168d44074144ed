"""Tests of the claims that callers' requests make on keys."""

from __future__ import annotations

import unittest

import attrs

from coltsfootpier.callers._permits import Claim, list_claims
from coltsfootpier.declaration import RequestKind
from coltsfootpier.permits import KeyKind
from coltsfootpier.routing import Rejected, RejectionReason

KIND = RequestKind(
    service="web",
    name="write",
    idempotent=False,
    exclusive=False,
    max_run_ms=1_000.0,
    weight=1.0,
    guaranteed_share=0.0,
    priority="normal",
)
KEYS = {b"idempotency-key": b"k", b"x-exclusive-key": b"k"}


def _list_claims(kind: RequestKind = KIND, **changes: object) -> list[Claim] | Rejected:
    options = {"declared": True, "headers": KEYS, "content": (b"POST", b"/write", b"x")}
    return list_claims(kind, **{**options, "deadline_ms": 5_000.0, **changes})


class ListClaimsTest(unittest.TestCase):
    def test_missing_or_oversized_key_is_a_bad_request(self) -> None:
        """Guards against requests whose repetition by the caller the daemon can't detect."""
        exclusive = attrs.evolve(KIND, idempotent=True, exclusive=True)
        for kind, name in ((KIND, b"idempotency-key"), (exclusive, b"x-exclusive-key")):
            for headers in ({}, {name: b"k" * 257}):
                claims = _list_claims(kind, headers=headers)
                self.assertIsInstance(claims, Rejected)
                self.assertIs(claims.reason, RejectionReason.BAD_REQUEST)

    def test_undeclared_kind_needs_no_key(self) -> None:
        """Guards against rejecting requests that aren't declared as non-idempotent."""
        self.assertEqual(_list_claims(declared=False, headers={}), [])
        self.assertEqual(len(_list_claims(declared=False)), 1)

    def test_idempotency_key_comes_first(self) -> None:
        """Guards against a repeated request that gets "busy" instead of its recorded outcome."""
        claims = _list_claims(attrs.evolve(KIND, exclusive=True))
        self.assertEqual([claim.kind for claim in claims], [KeyKind.IDEMPOTENCY, KeyKind.EXCLUSIVE])
        self.assertNotEqual(claims[0].key, claims[1].key)

    def test_exclusive_key_spans_the_kinds_of_a_service(self) -> None:
        """Guards against concurrent requests of two kinds with the same exclusive key."""
        first_kind = attrs.evolve(KIND, idempotent=True, exclusive=True)
        keys = {
            _list_claims(kind)[0].key
            for kind in (first_kind, attrs.evolve(first_kind, name="other"))
        }
        self.assertEqual(len(keys), 1)

    def test_fingerprint_distinguishes_requests(self) -> None:
        """Guards against returning one request's outcome for a different request."""
        fingerprints = {
            _list_claims(content=content)[0].fingerprint
            for content in ((b"POST", b"/a", b"b"), (b"POST", b"/ab", b""), (b"PUT", b"/a", b"b"))
        }
        self.assertEqual(len(fingerprints), 3)


if __name__ == "__main__":
    unittest.main()
