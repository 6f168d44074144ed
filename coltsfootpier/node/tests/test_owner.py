"""Answers of an owner about jobs that it doesn't know."""

import unittest

import anyio

from coltsfootpier.cells import CellSettings
from coltsfootpier.clock import VirtualClock
from coltsfootpier.journal import Head, OwnerInfo
from coltsfootpier.node import _timing
from coltsfootpier.node._answers import NO_OWNER, AnswerStatus
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._owner import Owner
from coltsfootpier.node.tests.builders import MemoryStore, build_settings


class UnknownJobTest(unittest.TestCase):
    """An owner that may have a successor without knowing it."""

    def setUp(self):
        self.clock = VirtualClock()
        self.owner = Owner(
            settings=build_settings(),
            cell_settings=CellSettings(),
            store=MemoryStore(),
            clock=self.clock,
            head=Head(generation=1, holder="me"),
            revision=1,
            info=OwnerInfo(holder="me", address="127.0.0.1:1", generation=1),
            lease=7,
            metrics=Metrics(),
        )
        self.owner.is_ready = True

    def _ask(self):
        async def ask():
            return await self.owner.cancel("5c0e7a21d94b36f8", 100.0), await self.owner.read_state(
                "5c0e7a21d94b36f8"
            )

        return anyio.run(ask)

    def test_owner_knows_that_there_is_no_such_job(self):
        """Guards against callers that never learn that a job doesn't exist."""
        for answer in self._ask():
            self.assertIs(answer.status, AnswerStatus.MISSING)

    def test_owner_that_was_frozen_denies_nothing(self):
        """Guards against 410 for a job that the next owner has accepted (soak seed 227)."""
        self.clock.advance(_timing.OWNER_LEASE_MS + 1.0)
        for answer in self._ask():
            self.assertEqual(answer, NO_OWNER)
