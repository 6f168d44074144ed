"""Tests of formatting and parsing log lines."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from coltsfootpier.logs import format_event, parse_line


class KeyValueTest(unittest.TestCase):
    @given(st.dictionaries(st.from_regex(r"[a-z_]{1,8}", fullmatch=True), st.text()))
    def test_formatted_text_values_can_be_parsed(self, fields: dict[str, str]) -> None:
        """Guards against lines broken by values with quotes, spaces or line ends."""
        line = format_event(fields)
        self.assertNotIn("\n", line)
        self.assertEqual(parse_line(line), fields)


if __name__ == "__main__":
    unittest.main()
