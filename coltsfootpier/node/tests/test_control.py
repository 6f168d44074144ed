"""Waves of upkeep as a daemon sees them in the store."""

import unittest

import orjson

from coltsfootpier.node._control import Control
from coltsfootpier.platform import Item


class WaveTest(unittest.TestCase):
    """Waves that operators write, change and withdraw."""

    def setUp(self):
        self.control = Control(store=None)

    def _apply(self, number, value):
        self.control._apply(Item(f"op/wave/{number}", value, 5, 5))

    def test_wave(self):
        """Guards against a wave that is overlooked, or that stays after it was withdrawn."""
        body = {"wave": 2, "machines": ["m"], "duration_s": 1, "max_count": 1}
        self._apply(2, orjson.dumps(body))
        self.assertEqual([wave.number for wave in self.control.waves.values()], [2])
        self._apply(2, None)
        self.assertEqual(self.control.waves, {})

    def test_unreadable_wave(self):
        """Guards against a daemon that ends because of a wave that can't be read."""
        self._apply(2, b"{")
        self.assertEqual(self.control.waves, {})


if __name__ == "__main__":
    unittest.main()
