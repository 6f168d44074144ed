"""Tests of slowdown estimates and of the protection of services."""

from __future__ import annotations

import unittest

from coltsfootpier.placement import SlowdownTable
from coltsfootpier.placement._guard import ColocationGuard, Neighbour


class ColocationGuardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.guard = ColocationGuard(slowdowns=SlowdownTable())

    def _observe(self, at_ms: float, slowdown: float, measured_at_ms: float):
        return self.guard.observe(
            "w1",
            at_ms,
            at_ms,
            [
                Neighbour(
                    key=("service/web/0", 1),
                    declared="web",
                    is_service=True,
                    cores=4.0,
                    slowdown=slowdown,
                    measured_at_ms=measured_at_ms,
                ),
                Neighbour(key=("job/load/0", 1), declared="load", is_service=False, cores=4.0),
            ],
        )

    def _get_share(self) -> float:
        return self.guard.shares.get(("job/load/0", 1), 1.0)

    def test_measurements_before_throttling_takes_effect_are_ignored(self) -> None:
        """Guards against an eviction caused by measurements from before the throttling."""
        self._observe(10_000.0, 2.0, 7_000.0)
        self.assertEqual(self._get_share(), 0.5)
        self._observe(11_000.0, 2.0, 7_000.0)
        self._observe(12_000.0, 2.0, 9_000.0)
        self._observe(14_000.0, 2.0, 11_900.0)
        self.assertEqual(self._get_share(), 0.5)

    def test_neighbour_is_throttled_before_it_is_evicted(self) -> None:
        """Guards against evictions where throttling suffices, and against missing evictions."""
        evictions = [self._observe(at, 2.0, at - 100.0) for at in (5_000.0, 10_000.0, 15_000.0)]
        self.assertEqual(evictions[:2], [None, None])
        self.assertEqual(evictions[2].key, ("job/load/0", 1))
        self.assertTrue(self.guard.is_blocked("w1", "load", 16_000.0))

    def test_recurring_interference_extends_the_hold_time(self) -> None:
        """Guards against throttling that toggles with every wave of interference.

        The service is slowed down for the first 10 s of each minute.
        """
        changes = 0
        share = 1.0
        for second in range(600):
            now_ms = 1_000.0 * second
            self._observe(now_ms, 1.8 if second % 60 < 10 else 1.0, now_ms - 100.0)
            changes += self._get_share() != share
            share = self._get_share()
        self.assertLess(changes, 20)

    def test_measurement_is_attributed_to_neighbours_at_its_time(self) -> None:
        """Guards against attributing a slowdown to a task that started after the measurement."""
        table = SlowdownTable()
        guard = ColocationGuard(slowdowns=table)
        web = {"key": ("service/web/0", 1), "declared": "web", "is_service": True, "cores": 1.0}
        late = Neighbour(key=("job/late/0", 1), declared="late", is_service=False, cores=1.0)
        guard.observe("w1", 0.0, 0.0, [Neighbour(**web)])
        slow = Neighbour(**web, slowdown=3.0, measured_at_ms=4_000.0)
        guard.observe("w1", 5_000.0, 5_000.0, [slow, late])
        guard.observe("w1", 6_000.0, 6_000.0, [slow, late])
        self.assertEqual(table.estimate("web", "late"), SlowdownTable().estimate("web", "late"))

    def test_table_is_bounded(self) -> None:
        """Guards against memory use that grows with the number of pairs ever measured."""
        table = SlowdownTable(max_pairs=10)
        for index in range(100):
            table.observe("web", {f"job{index}": 1.0}, 1.5)
        self.assertEqual(len(table), 10)


if __name__ == "__main__":
    unittest.main()
