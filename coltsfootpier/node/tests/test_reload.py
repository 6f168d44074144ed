"""Settings files that change while a daemon runs."""

import tempfile
import unittest
from pathlib import Path

from coltsfootpier.node._main import SettingsWatch
from coltsfootpier.node._reload import merge_settings
from coltsfootpier.node.tests.builders import build_settings, build_settings_text


class MergeTest(unittest.TestCase):
    """What takes effect at once and what needs a restart."""

    def test_bounds(self):
        """Guards against bounds that hold only after a restart."""
        found = build_settings(max_run_lease_ms=6_000.0, stop_grace_ms=400.0)
        reload = merge_settings(build_settings(), found)
        self.assertEqual(reload.settings, found)
        self.assertEqual(reload.applied, ("max_run_lease_ms", "stop_grace_ms"))

    def test_addresses(self):
        """Guards against a daemon that tells others an address that it doesn't listen on."""
        found = build_settings(peer_port=99, cores=2.0)
        reload = merge_settings(build_settings(), found)
        self.assertEqual(reload.settings, build_settings(cores=2.0))
        self.assertEqual(reload.ignored, ("peer_port",))


class WatchTest(unittest.TestCase):
    """A file that is written while it is watched."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.toml"
        self.path.write_text(build_settings_text())
        self.found = []
        self.watch = SettingsWatch(path=self.path, on_change=self.found.append)

    def test_change(self):
        """Guards against a change without a signal that is never seen, or seen twice."""
        self.watch.look()
        self.assertEqual(self.found, [])
        self.path.write_text(build_settings_text(hold_max_ms=6_000))
        self.watch.look()
        self.watch.look()
        self.assertEqual([settings.max_run_lease_ms for settings in self.found], [6_000.0])

    def test_file_that_cannot_be_read(self):
        """Guards against a daemon that ends because its settings were being written."""
        for text in ("", "not toml ["):
            with self.subTest(text=text):
                self.path.write_text(text)
                self.watch.look()
                self.assertEqual(self.found, [])
        self.path.unlink()
        self.watch.look()
        self.path.write_text(build_settings_text(hold_max_ms=7_000))
        self.watch.look()
        self.assertEqual(len(self.found), 1)


if __name__ == "__main__":
    unittest.main()
