"""Tests of decoding records of jobs with odd fields."""

import unittest

import orjson
from returns.result import Failure

from coltsfootpier.jobs import (
    JobRecord,
    JobSpec,
    Queue,
    StepSpec,
    TaskKey,
    decode_record,
    encode_record,
)
from tests.entries import build_nested_text


class OddRecordTest(unittest.TestCase):
    """Records that a new owner loads."""

    def test_round_trip(self):
        """Guards against losing the progress of a job in its record."""
        record = JobRecord(
            id="a",
            queue="q",
            service="s",
            accepted_unix_ms=1.5,
            spec=JobSpec(payload="p", steps=(StepSpec(count=3, cpu_milli=2**64 - 1),)),
            done={TaskKey(0, 0, 2)},
            failures={TaskKey(0, 0, 1): {10_001, 20_001}},
            queue_values=Queue(
                name="q",
                service="s",
                priority=3,
                max_attempts=4,
                stretch=1.5,
                objective_ms=250.5,
                needs_advice=True,
            ),
            queue_version=12,
        )
        self.assertEqual(decode_record(encode_record(record)).unwrap(), record)

    def test_odd_fields(self):
        """Guards against a record at which each next owner ends."""
        record = {
            "id": "a",
            "queue": "q",
            "service": "s",
            "accepted": 1,
            "state": "queued",
            "spec": {"payload": "", "steps": [{"count": 1}]},
            "done": [],
            "failures": [],
            "queue_values": [12, 3, 4, 1.5, 250.5, 1],
        }
        self.assertNotIsInstance(decode_record(orjson.dumps(record)), Failure)
        for steps in ([{"count": 2**50}], [{"count": 1, "after": [3]}], [{"count": -1}], []):
            odd = {**record, "spec": {"payload": "", "steps": steps}}
            self.assertIsInstance(decode_record(orjson.dumps(odd)), Failure)
        for text in (b"[1]", b"[[1]]", b'["a"]', b"7e300", build_nested_text(1_000)):
            for name in record:
                if name == "accepted" and text == b"7e300":
                    continue
                body = orjson.dumps({**record, name: None}).replace(b"null", text)
                with self.subTest(name=name, text=text[:20]):
                    self.assertIsInstance(decode_record(body), Failure)


if __name__ == "__main__":
    unittest.main()
