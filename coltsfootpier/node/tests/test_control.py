"""Tests of maintenance waves that a daemon reads from the store."""

import unittest

import orjson

from coltsfootpier.node._control import ControlState
from coltsfootpier.platform import Item


class WaveTest(unittest.TestCase):
    """Waves that operators write and withdraw."""

    def setUp(self):
        self.control = ControlState(store=None)

    def _apply(self, number, value):
        self.control._apply_item(Item(f"op/wave/{number}", value, 5, 5))

    def test_wave_is_added_and_removed(self):
        """Guards against a wave that is missed, or that is kept after its withdrawal."""
        body = {"wave": 2, "machines": ["m"], "duration_s": 1, "max_count": 1}
        self._apply(2, orjson.dumps(body))
        self.assertEqual([wave.number for wave in self.control.waves.values()], [2])
        self._apply(2, None)
        self.assertEqual(self.control.waves, {})

    def test_malformed_wave_is_ignored(self):
        """Guards against a daemon that crashes on a malformed wave."""
        self._apply(2, b"{")
        self.assertEqual(self.control.waves, {})


if __name__ == "__main__":
    unittest.main()
