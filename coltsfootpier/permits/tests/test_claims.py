"""Tests of the keys that the callers' side claims for a request."""

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


def _list(kind: RequestKind = KIND, **changes: object) -> list[Claim] | Rejected:
    options = {"declared": True, "headers": KEYS, "content": (b"POST", b"/write", b"x")}
    return list_claims(kind, **{**options, "deadline_ms": 5_000.0, **changes})


class ListClaimsTest(unittest.TestCase):
    def test_missing_or_oversized_key_is_a_bad_request(self) -> None:
        """Guards against a repeat by the caller that can't be recognised."""
        exclusive = attrs.evolve(KIND, idempotent=True, exclusive=True)
        for kind, name in ((KIND, b"idempotency-key"), (exclusive, b"x-exclusive-key")):
            for headers in ({}, {name: b"k" * 257}):
                claims = _list(kind, headers=headers)
                self.assertIsInstance(claims, Rejected)
                self.assertIs(claims.reason, RejectionReason.BAD_REQUEST)

    def test_undeclared_kind_may_come_without_a_key(self) -> None:
        """Guards against refusing requests that nobody declared as non-idempotent."""
        self.assertEqual(_list(declared=False, headers={}), [])
        self.assertEqual(len(_list(declared=False)), 1)

    def test_idempotency_key_comes_first(self) -> None:
        """Guards against a repeat that is told "busy" in place of its recorded outcome."""
        claims = _list(attrs.evolve(KIND, exclusive=True))
        self.assertEqual([claim.kind for claim in claims], [KeyKind.IDEMPOTENCY, KeyKind.EXCLUSIVE])
        self.assertNotEqual(claims[0].key, claims[1].key)

    def test_exclusive_key_is_shared_by_the_kinds_of_a_service(self) -> None:
        """Guards against two kinds that work on the same thing at once."""
        one = attrs.evolve(KIND, idempotent=True, exclusive=True)
        keys = {_list(kind)[0].key for kind in (one, attrs.evolve(one, name="other"))}
        self.assertEqual(len(keys), 1)

    def test_fingerprint_tells_requests_apart(self) -> None:
        """Guards against one request's outcome as the answer to another."""
        prints = {
            _list(content=content)[0].fingerprint
            for content in ((b"POST", b"/a", b"b"), (b"POST", b"/ab", b""), (b"PUT", b"/a", b"b"))
        }
        self.assertEqual(len(prints), 3)


if __name__ == "__main__":
    unittest.main()
