"""Bounds in the head record, on which successors rely."""

import unittest

from coltsfootpier.journal import ActionBounds, Head, decode_head
from coltsfootpier.transport import encode

SHORT = ActionBounds(unconfirmed_ms=1_000.0, lease_ms=100.0)
LONG = ActionBounds(unconfirmed_ms=9_000.0, lease_ms=200.0)


class BoundsTest(unittest.TestCase):
    """Bounds of owners that follow one another."""

    def test_earlier_release_declares_no_bounds(self):
        """Guards against a successor that relies on bounds which no owner keeps."""
        for value in (b'{"generation":3,"holder":"a"}', encode(Head(generation=3, holder="a"))):
            claimed = decode_head(value).claim("b", SHORT)
            self.assertIsNone(claimed.bounds)
            self.assertIsNone(claimed.next().claim("c", SHORT).bounds)

    def test_first_owner_has_no_earlier_one(self):
        """Guards against bounds that are never known."""
        claimed = decode_head(None).claim("a", SHORT)
        self.assertEqual(decode_head(encode(claimed)), claimed)
        self.assertEqual(claimed.next().bounds, SHORT)

    def test_longest_bounds_hold_until_earlier_owners_have_stopped(self):
        """Guards against a count by the settings of one release while another one acts."""
        claimed = decode_head(None).claim("a", LONG).claim("b", SHORT)
        self.assertEqual(claimed.bounds, LONG)
        self.assertEqual(claimed.claim("c", SHORT).bounds, LONG)
        self.assertEqual(claimed.next(SHORT).claim("c", SHORT).bounds, SHORT)


if __name__ == "__main__":
    unittest.main()
