"""Tests of the delay before a daemon claims a cell."""

import unittest

from coltsfootpier.node._election import choose_claim_delay


class ClaimDelayTest(unittest.TestCase):
    """Delays for the entry VM sizes of current and larger deployments."""

    def test_large_vms_claim_first(self):
        """Guards against a small VM that becomes the owner, is overloaded and delays all callers.

        A claim reaches the other daemons through the store, in up to about 20 ms between
        availability zones.
        """
        for small in (0.516, 0.297):
            with self.subTest(small=small):
                last_large = choose_claim_delay(2.15, 1.0)
                self.assertGreater(choose_claim_delay(small, 0.0), last_large + 20.0)

    def test_equal_vms_are_spread(self):
        """Guards against claims of all daemons at the same time."""
        self.assertNotEqual(choose_claim_delay(0.43, 0.1), choose_claim_delay(0.43, 0.9))

    def test_delay_is_short(self):
        """Guards against a delay that is long in comparison to the owner's lease of 1,300 ms."""
        self.assertLess(choose_claim_delay(0.297, 1.0), 200.0)


if __name__ == "__main__":
    unittest.main()
