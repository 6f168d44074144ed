"""Sending a change to the store until it is settled.

The load that it answers: a store that loses the answers to a third of the changes, carries some of
them out seconds later, or answers in 600 ms instead of 4. All jobs wait behind one change.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from returns.result import Failure, Result

from coltsfootpier.clock import Clock
from coltsfootpier.node import _timing
from coltsfootpier.platform import PlatformError, StoreUnavailable, StoreUnknown

# Tries of one change under way at once. At a period of 150 ms the first has reached its time limit
# of 1,000 ms when the last is sent.
MAX_TRIES = 6

Outcome = Result[int, PlatformError]


class RepeatTimer:
    """Time after which a change without an answer is sent once more.

    A slow store would get each change several times, so the time follows what its answers take.

    Examples
    --------
    >>> timer = RepeatTimer()
    >>> timer.period_ms
    150.0
    >>> timer.note_answer(300.0)
    >>> timer.period_ms
    450.0
    """

    def __init__(self) -> None:
        self.period_ms = _timing.COMMIT_REPEAT_MS

    def note_answer(self, took_ms: float) -> None:
        """Note how long an answer took."""
        wanted_ms = _timing.COMMIT_REPEAT_FACTOR * took_ms
        self.period_ms = min(_timing.STORE_TIMEOUT_MS, max(_timing.COMMIT_REPEAT_MS, wanted_ms))


class ChangeSender:
    """Sends one change after the other, each several times if it gets no answer.

    A further try doesn't wait for the ones before: they all expect the same head, so at most one
    takes effect.

    Parameters
    ----------
    clock : Clock
        Time source.
    on_outcome : callable
        Takes the outcome of each try and how long it took in ms.
    """

    def __init__(self, *, clock: Clock, on_outcome: Callable[[Outcome, float], None]) -> None:
        self._clock = clock
        self._on_outcome = on_outcome
        self._timer = RepeatTimer()

    async def settle(self, send: Callable[[], Awaitable[Outcome]]) -> Outcome:
        """Send a change until its outcome is known.

        Parameters
        ----------
        send : callable
            Makes one try.

        Returns
        -------
        Result of int or PlatformError
            `StoreUnavailable` only if no try can have taken or can yet take effect.
        """
        outcomes, inbox = anyio.create_memory_object_stream[tuple[Outcome, float]](MAX_TRIES)
        under_way = 0
        is_unsure = False

        async def make_try() -> None:
            sent_ms = self._clock.now_ms()
            outcome = await send()
            await outcomes.send((outcome, self._clock.now_ms() - sent_ms))

        with outcomes, inbox:
            async with anyio.create_task_group() as group:
                while True:
                    if under_way < MAX_TRIES:
                        group.start_soon(make_try)
                        under_way += 1
                    with anyio.move_on_after(self._timer.period_ms / 1000) as period:
                        outcome, took_ms = await inbox.receive()
                    if period.cancelled_caught:
                        continue
                    under_way -= 1
                    self._note(outcome, took_ms)
                    error = outcome.failure() if isinstance(outcome, Failure) else None
                    is_unsure = is_unsure or isinstance(error, StoreUnknown)
                    is_refused = isinstance(error, StoreUnavailable)
                    if not isinstance(error, StoreUnknown | StoreUnavailable) or (
                        is_refused and not is_unsure and not under_way
                    ):
                        group.cancel_scope.cancel()
                        return outcome
                    await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)

    def _note(self, outcome: Outcome, took_ms: float) -> None:
        if not isinstance(outcome, Failure) or not isinstance(outcome.failure(), StoreUnknown):
            self._timer.note_answer(took_ms)
        self._on_outcome(outcome, took_ms)
