"""Tests of parsing, validation and comparison of declarations."""

from __future__ import annotations

import unittest

from coltsfootpier.declaration import diff_declarations, expand, parse
from tests.builders import DECLARATION_TEXT, build_declaration


class ParseTest(unittest.TestCase):
    def test_all_problems_are_reported_at_once(self) -> None:
        """Guards against reporting only the first of several errors in a declaration."""
        text = DECLARATION_TEXT.replace("runners = 2", "runers = 2").replace(
            "cores = 1", "cores = x"
        )
        problems = parse(text, source="t.ini").failure()
        found = {(problem.section, problem.key) for problem in problems}
        self.assertIn(("service web", "runers"), found)
        self.assertIn(("job load", "cores"), found)
        self.assertIn("did you mean 'runners'?", [problem.allowed for problem in problems])

    def test_cycles_unknown_names_and_exceeded_quotas_are_rejected(self) -> None:
        """Guards against accepted declarations that can never be satisfied."""
        text = DECLARATION_TEXT.replace("runners = 2", "runners = 60\ndepends_on = report, nobody")
        text = text.replace("run_time_s = 10\n", "run_time_s = 10\ndepends_on = web\n", 1)
        keys = [problem.key for problem in parse(text).failure()]
        self.assertEqual(keys.count("depends_on"), 2)
        self.assertIn("cores", keys)

    def test_more_runners_add_tasks_and_keep_digests(self) -> None:
        """Guards against restarts of all runners when only their number changes."""
        old = build_declaration()
        new = build_declaration(DECLARATION_TEXT.replace("runners = 2", "runners = 3"))
        self.assertEqual(expand(old)["service/web/0"].digest, expand(new)["service/web/0"].digest)
        self.assertEqual(len(expand(new)) - len(expand(old)), 1)
        self.assertEqual(diff_declarations(old, new), ["~ [service web] runners: 2 -> 3"])


if __name__ == "__main__":
    unittest.main()
