"""Tests of decoding registry entries, task names, configurations and settings."""

import tempfile
import unittest
from pathlib import Path

import orjson
from returns.result import Failure

from coltsfootpier.jobs import TaskKey
from coltsfootpier.platform import (
    Item,
    decode_configuration,
    decode_runner_entry,
    read_node_settings,
)
from coltsfootpier.platform._runners import format_task, parse_task

ENTRY = {
    "service": "web",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "seq": 4,
    "born": 1700000000000,
}


def build_item(**changes):
    return Item("servers/i-1", orjson.dumps({**ENTRY, **changes}), 5, 5)


class EntryTest(unittest.TestCase):
    """Entries of the registry."""

    def test_fields(self):
        """Guards against reading the rack or the start time from the wrong field."""
        entry = decode_runner_entry(build_item())
        self.assertEqual((entry.id, entry.rack, entry.cpu_milli), ("i-1", "r1-3", 16000))
        self.assertEqual(entry.started_unix_ms, 1700000000000)
        self.assertFalse(entry.draining)

    def test_draining(self):
        """Guards against placing new tasks on a draining runner."""
        entry = decode_runner_entry(build_item(state="draining", remaining_ms=1500))
        self.assertTrue(entry.draining)
        self.assertEqual(entry.remaining_ms, 1500)

    def test_malformed_entries_are_ignored(self):
        """Guards against a malformed entry that crashes the daemon or is used as a runner."""
        malformed = [
            {"state": "odd"},
            {"state": None},
            {"address": "nowhere"},
            {"address": 7},
            {"capacity": None},
            {"capacity": {"cpu": "many", "mem_mb": 1}},
            {"labels": 3},
            {"service": ["web"]},
            {"born": "today"},
        ]
        for changes in malformed:
            with self.subTest(changes=changes):
                self.assertIsNone(decode_runner_entry(build_item(**changes)))
        for value in (b"\xff\x00", b"[]", b"", b"null", None):
            with self.subTest(value=value):
                self.assertIsNone(decode_runner_entry(Item("servers/i-1", value, 5, 5)))


class TaskNameTest(unittest.TestCase):
    """Names of tasks in the platform's format."""

    def test_round_trip(self):
        """Guards against attributing a run to another task."""
        key = TaskKey(2, 1, 17)
        self.assertEqual(parse_task(format_task("5c0e", key)), ("5c0e", key))


class ConfigurationTest(unittest.TestCase):
    """The operators' configuration."""

    def test_malformed_configuration_is_a_failure(self):
        """Guards against a malformed value that removes all routes."""
        for body in (b"", b"{}", b"[]", b'{"version":1,"routes":[{}]}', b'{"version":"x"}'):
            with self.subTest(body=body):
                self.assertIsInstance(decode_configuration(body), Failure)

    def test_fields(self):
        """Guards against reading the objective from the timeout."""
        body = orjson.dumps(
            {
                "version": 7,
                "routes": [
                    {
                        "name": "r",
                        "host": "A.example",
                        "prefix": "/p/",
                        "type": "non_idempotent",
                        "timeout_ms": 3000,
                        "slo_ms": 300,
                        "priority": 2,
                        "service": "web",
                        "max_attempts": 4,
                        "stretch": 1.5,
                    }
                ],
            }
        )
        configuration = decode_configuration(body).unwrap()
        queue = configuration.queues["r"]
        self.assertEqual((queue.objective_ms, queue.stretch, queue.max_attempts), (300, 1.5, 4))
        route = configuration.find_route("a.EXAMPLE:80", "/p/x")
        self.assertEqual(route.timeout_ms, 3000)


class SettingsTest(unittest.TestCase):
    """Reader of the settings file that the platform writes."""

    def test_missing_and_malformed_settings(self):
        """Guards against a daemon that starts with incomplete settings."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            self.assertIsInstance(read_node_settings(path), Failure)
            path.write_text("node_name = 3 [")
            self.assertIsInstance(read_node_settings(path), Failure)
            path.write_text('node_name = "a"\n')
            self.assertIn("missing", read_node_settings(path).failure())


if __name__ == "__main__":
    unittest.main()
