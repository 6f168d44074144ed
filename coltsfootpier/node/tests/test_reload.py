"""Tests of the reload of settings while a daemon runs."""

import tempfile
import unittest
from pathlib import Path

from coltsfootpier.node._main import SettingsWatch
from coltsfootpier.node._reload import merge_settings
from coltsfootpier.node.tests.builders import build_settings, build_settings_text


class MergeTest(unittest.TestCase):
    """Settings that take effect at once, and settings that need a restart."""

    def test_changed_bounds_are_applied(self):
        """Guards against bounds that take effect only after a restart."""
        new_settings = build_settings(max_run_lease_ms=6_000.0, stop_grace_ms=400.0)
        reload = merge_settings(build_settings(), new_settings)
        self.assertEqual(reload.settings, new_settings)
        self.assertEqual(reload.applied, ("max_run_lease_ms", "stop_grace_ms"))

    def test_changed_address_needs_restart(self):
        """Guards against a daemon that publishes an address on which it doesn't listen."""
        new_settings = build_settings(peer_port=99, cores=2.0)
        reload = merge_settings(build_settings(), new_settings)
        self.assertEqual(reload.settings, build_settings(cores=2.0))
        self.assertEqual(reload.ignored, ("peer_port",))


class WatchTest(unittest.TestCase):
    """Changes of a watched file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.toml"
        self.path.write_text(build_settings_text())
        self.reloaded = []
        self.watch = SettingsWatch(path=self.path, on_change=self.reloaded.append)

    def test_changed_file_is_reloaded_once(self):
        """Guards against a change that is missed without a signal, or applied twice."""
        self.watch.check_file()
        self.assertEqual(self.reloaded, [])
        self.path.write_text(build_settings_text(hold_max_ms=6_000))
        self.watch.check_file()
        self.watch.check_file()
        self.assertEqual([settings.max_run_lease_ms for settings in self.reloaded], [6_000.0])

    def test_unreadable_file_keeps_settings(self):
        """Guards against a daemon that crashes when it reads a partly written settings file."""
        for text in ("", "not toml ["):
            with self.subTest(text=text):
                self.path.write_text(text)
                self.watch.check_file()
                self.assertEqual(self.reloaded, [])
        self.path.unlink()
        self.watch.check_file()
        self.path.write_text(build_settings_text(hold_max_ms=7_000))
        self.watch.check_file()
        self.assertEqual(len(self.reloaded), 1)


if __name__ == "__main__":
    unittest.main()
