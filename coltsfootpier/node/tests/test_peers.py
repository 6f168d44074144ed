"""Questions to an owner that is replaced while it doesn't answer."""

import unittest

import anyio
from returns.result import Success

from coltsfootpier.journal import OwnerInfo
from coltsfootpier.node._answers import Answer, AnswerStatus
from coltsfootpier.node._peers import ReadJob, ask_while_owner

OLD = OwnerInfo(holder="old", address="127.0.0.1:1", generation=1)
NEW = OwnerInfo(holder="new", address="127.0.0.1:2", generation=2)
KNOWN = Answer(status=AnswerStatus.KNOWN)


class FakeWatch:
    """Owner that is changed by a test."""

    def __init__(self):
        self.owner = OLD
        self._changed = anyio.Event()

    def change(self, owner):
        self.owner = owner
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait_change(self, timeout_ms):
        await self._changed.wait()


class FakePeer:
    """Answers when a test lets it."""

    def __init__(self):
        self.release = anyio.Event()
        self.cancelled = False

    async def ask(self, question, *, timeout_ms):
        try:
            await self.release.wait()
        except anyio.get_cancelled_exc_class():
            self.cancelled = True
            raise
        return Success(KNOWN)


class AskWhileOwnerTest(unittest.TestCase):
    """One question each, without a network."""

    def _ask(self, *steps):
        peer, results = FakePeer(), []

        async def play():
            watch = FakeWatch()
            async with anyio.create_task_group() as group:

                async def ask():
                    results.append(
                        await ask_while_owner(
                            peer, ReadJob(job_id="a"), info=OLD, watch=watch, timeout_ms=9e9
                        )
                    )

                group.start_soon(ask)
                for step in steps:
                    await anyio.wait_all_tasks_blocked()
                    self.assertEqual(results, [])
                    step(peer, watch)

        anyio.run(play)
        self.peer = peer
        return results[0]

    def test_later_owner_ends_the_wait(self):
        """Guards against callers that wait for a cut-off owner until their deadlines."""
        result = self._ask(lambda peer, watch: watch.change(NEW))
        self.assertEqual(result.failure().reason, "another daemon owns the cell")
        self.assertTrue(self.peer.cancelled)

    def test_answer_while_nobody_owns_the_cell(self):
        """Guards against answers that are dropped when a lease ends in an outage."""
        result = self._ask(
            lambda peer, watch: watch.change(None), lambda peer, watch: peer.release.set()
        )
        self.assertEqual(result.unwrap(), KNOWN)

    def test_change_that_leaves_the_owner(self):
        """Guards against questions that are given up at each new configuration."""
        result = self._ask(
            lambda peer, watch: watch.change(OLD), lambda peer, watch: peer.release.set()
        )
        self.assertEqual(result.unwrap(), KNOWN)
