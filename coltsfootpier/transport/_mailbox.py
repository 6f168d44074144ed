"""Messages to a task that owns state, with an answer for each."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Generic, TypeVar

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.transport._errors import NotSent, Unanswered

_M = TypeVar("_M")


@attrs.define(eq=False)
class Envelope(Generic[_M]):
    """A message with the place for its answer."""

    message: _M
    _answered: anyio.Event = attrs.field(factory=anyio.Event)
    _answer: object = None

    def respond(self, value: object) -> None:
        """Give the answer; only the first one counts."""
        if not self._answered.is_set():
            self._answer = value
            self._answered.set()


class Mailbox(Generic[_M]):
    """Bounded inbox of a task.

    Parameters
    ----------
    bound : int
        Messages that may wait.
    """

    def __init__(self, *, max_messages: int) -> None:
        self._send, self._receive = anyio.create_memory_object_stream[Envelope[_M]](max_messages)

    async def request(
        self, message: _M, *, timeout_ms: float
    ) -> Result[object, NotSent | Unanswered]:
        """Send a message and wait for the answer.

        Parameters
        ----------
        message : object
            The message.
        timeout_ms : float
            Time allowed.

        Returns
        -------
        Result
            The answer, `NotSent` when the inbox is full, or `Unanswered`.
        """
        envelope = Envelope(message)
        try:
            self._send.send_nowait(envelope)
        except anyio.WouldBlock:
            return Failure(NotSent("inbox full"))
        with anyio.move_on_after(timeout_ms / 1000):
            await envelope._answered.wait()
        if envelope._answered.is_set():
            return Success(envelope._answer)
        return Failure(Unanswered("no answer from the task"))

    async def __aiter__(self) -> AsyncIterator[Envelope[_M]]:
        async for envelope in self._receive:
            yield envelope
