"""Tests of the assignment of slots to daemons."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from coltsfootpier.routing import BalancedAssignment
from tests.builders import build_runner


class BalancedAssignmentTest(unittest.TestCase):
    @given(st.lists(st.integers(1, 9), max_size=30), st.integers(1, 9))
    def test_every_slot_has_one_owner_and_shares_are_even(
        self, slots: list[int], members: int
    ) -> None:
        """Guards against slots without an owner, and against members with too few or too many."""
        runners = [
            build_runner(f"r{index}", slots=count, availability_zone=f"z{index % 3}")
            for index, count in enumerate(slots)
        ]
        zones = {f"m{index}": f"z{index % 3}" for index in range(members)}
        table = BalancedAssignment().assign(runners, zones)
        owned: Counter[str] = Counter(dict.fromkeys(zones, 0))
        for runner in runners:
            self.assertEqual(sum(table[runner.id].values()), runner.slots)
            owned.update(table[runner.id])
        self.assertLessEqual(max(owned.values()) - min(owned.values()), 1)

    def test_own_zone_is_preferred(self) -> None:
        """Guards against members that own remote slots while their own zone has enough slots."""
        runners = [build_runner(f"r{zone}", availability_zone=zone) for zone in "abc"]
        table = BalancedAssignment().assign(runners, {"m1": "c", "m2": "a", "m3": "b"})
        self.assertEqual(table, {"ra": {"m2": 2}, "rb": {"m3": 2}, "rc": {"m1": 2}})


if __name__ == "__main__":
    unittest.main()
