"""Request-response messages to a task that owns state."""

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
    """A message and its pending response."""

    message: _M
    _responded: anyio.Event = attrs.field(factory=anyio.Event)
    _response: object = None

    def respond(self, value: object) -> None:
        """Set the response; later calls have no effect."""
        if not self._responded.is_set():
            self._response = value
            self._responded.set()


class Mailbox(Generic[_M]):
    """Bounded message queue of a task.

    Parameters
    ----------
    max_messages : int
        Maximum number of queued messages.
    """

    def __init__(self, *, max_messages: int) -> None:
        self._send, self._receive = anyio.create_memory_object_stream[Envelope[_M]](max_messages)

    async def request(
        self, message: _M, *, timeout_ms: float
    ) -> Result[object, NotSent | Unanswered]:
        """Send a message and wait for the response.

        Parameters
        ----------
        message : object
            Message for the task that reads the mailbox.
        timeout_ms : float
            Timeout in ms.

        Returns
        -------
        Result
            The response, `NotSent` if the queue is full, or `Unanswered` after the timeout.
        """
        envelope = Envelope(message)
        try:
            self._send.send_nowait(envelope)
        except anyio.WouldBlock:
            return Failure(NotSent("inbox full"))
        with anyio.move_on_after(timeout_ms / 1000):
            await envelope._responded.wait()
        if envelope._responded.is_set():
            return Success(envelope._response)
        return Failure(Unanswered("no answer from the task"))

    async def __aiter__(self) -> AsyncIterator[Envelope[_M]]:
        async for envelope in self._receive:
            yield envelope
