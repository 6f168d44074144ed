"""Tests of configuration revisions."""

from __future__ import annotations

import unittest

from coltsfootpier.configuration import Revision, RevisionState, extend_history, has_taken_effect
from tests.builders import DECLARATION_TEXT


class RevisionStateTest(unittest.TestCase):
    """Revision in force in one daemon, and the outcome of a write whose response was lost."""

    def test_lower_revision_never_comes_into_force(self) -> None:
        """Guards against reverting to an older configuration."""
        state = RevisionState()
        self.assertTrue(state.observe(Revision(3, "c", DECLARATION_TEXT)))
        self.assertFalse(state.observe(Revision(2, "b", "")))
        self.assertEqual(state.revision.revision, 3)

    def test_unparsable_text_leaves_state_unchanged(self) -> None:
        """Guards against dropping all services on a text written by a newer release."""
        state = RevisionState()
        state.observe(Revision(1, "a", DECLARATION_TEXT))
        self.assertFalse(state.observe(Revision(2, "b", "[unknown x]")))
        self.assertIn("web", state.declaration.services)

    def test_change_is_found_after_later_changes(self) -> None:
        """Guards against reporting a conflict for a change that took effect.

        Its response was lost, and another change has been written since.
        """
        stored = Revision(1, "first", DECLARATION_TEXT)
        mine = extend_history(Revision(2, "mine", DECLARATION_TEXT), stored)
        self.assertIsNone(has_taken_effect(mine, stored))
        self.assertTrue(
            has_taken_effect(mine, extend_history(Revision(3, "other", DECLARATION_TEXT), mine))
        )
        self.assertIs(
            has_taken_effect(mine, extend_history(Revision(2, "other", DECLARATION_TEXT), stored)),
            False,
        )


if __name__ == "__main__":
    unittest.main()
