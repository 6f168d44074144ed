"""Tests of decoding runners' reports."""

import unittest

import orjson

from coltsfootpier.cells import EndKind, RunId
from coltsfootpier.jobs import TaskKey
from coltsfootpier.platform._fields import InvalidFieldError
from coltsfootpier.platform._runners import _decode_report
from tests.entries import build_nested_text, build_report

RUNNING_ROW = ["5c0e.0.1.17", 2, "00b1", 41, 7]
ENDED_ROW = [58, "5c0e.0.1.9", 1, "done", ""]


def decode(**changes):
    return _decode_report(orjson.loads(build_report(**changes)), 1.0, 2.0)


def replace_field(row, number, text):
    """Return the JSON text of a list with a row, one of whose fields is a JSON text."""
    fields = [orjson.dumps(field) for field in row]
    fields[number] = text
    return b"[[" + b",".join(fields) + b"]]"


class ReportTest(unittest.TestCase):
    """Reports with rows, clocks and times of start."""

    def test_fields(self):
        """Guards against reading a field of a row as another one."""
        report = decode(running=[RUNNING_ROW], ended=[ENDED_ROW])
        row, end = report.running[0], report.ended[0]
        self.assertEqual(row.run, RunId("5c0e", TaskKey(0, 1, 17), 2))
        self.assertEqual((row.checkpoint, row.percent, row.measured), ("00b1", 41, 7))
        self.assertEqual((end.number, end.run.key.index, end.outcome), (58, 9, EndKind.DONE))
        self.assertEqual(decode(running=[RUNNING_ROW[:4]]).running[0].measured, 0.0)
        self.assertEqual(decode(running=[[*RUNNING_ROW[:4], None]]).running[0].measured, 0.0)

    def test_list_of_ends_may_be_cut(self):
        """Guards against taking a run that a full list of ends leaves out for lost."""
        rows = [[number, *ENDED_ROW[1:]] for number in range(1, 501)]
        self.assertTrue(decode(ended=rows[:499]).is_complete)
        self.assertFalse(decode(ended=rows).is_complete)

    def assert_refused(self, **changes):
        """Check that a report is refused with a reason of bounded length."""
        with self.assertRaises(InvalidFieldError) as caught:
            decode(**changes)
        self.assertLess(len(str(caught.exception)), 300)

    def test_odd_fields_are_refused(self):
        """Guards against a value that ends the task of its runner, or that no record can hold."""
        odd = [b"{}", b"true", b"-1", b"1e300", b"18446744073709551616", b"[1]"]
        odd += [build_nested_text(depth) for depth in (2, 900, 1_000)]
        for text in odd:
            for name in ("clock_ms", "born"):
                with self.subTest(name=name, text=text[:30]):
                    self.assert_refused(**{name: text})
            for number in range(len(RUNNING_ROW)):
                with self.subTest(running=number, text=text[:30]):
                    self.assert_refused(running=replace_field(RUNNING_ROW, number, text))
            for number in range(len(ENDED_ROW)):
                with self.subTest(ended=number, text=text[:30]):
                    self.assert_refused(ended=replace_field(ENDED_ROW, number, text))
        for row in (b"{}", b"[3]", b"[[]]", b"[null]", b'["abcd"]', b"null", b'"a"'):
            with self.subTest(row=row):
                self.assert_refused(running=row)
                self.assert_refused(ended=row)

    def test_odd_task_names_are_refused(self):
        """Guards against a run of a task that its job doesn't have."""
        names = ["", "a", "a.0.0", "a.0.0.-1", "a.0.0.+1", "a.0.0. 1", "a.0.0.1_0", "a.0.0.1.2"]
        names += ["a.0.0." + "9" * 20, "a.0.0.\u0661", "a.0.0.1\n", "\u00fc.0.0.1", "a" * 10**6]
        for name in names:
            with self.subTest(name=name[:30]):
                self.assert_refused(running=[[name, *RUNNING_ROW[1:]]])
                self.assert_refused(ended=[[1, name, *ENDED_ROW[2:]]])

    def test_long_checkpoints_are_refused(self):
        """Guards against a checkpoint that is larger than a start command."""
        self.assert_refused(running=[[*RUNNING_ROW[:2], "c" * 1_000_000, *RUNNING_ROW[3:]]])


if __name__ == "__main__":
    unittest.main()
