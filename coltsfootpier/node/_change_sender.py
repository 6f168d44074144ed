"""Sender that repeats a change to the store until its outcome is known.

Changes are sent one at a time, so all new jobs wait behind the change in flight. The sender limits
that wait while the store loses the responses to a third of the changes, applies some of them
seconds later, or responds in 600 ms instead of 4 ms.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from returns.result import Failure, Result

from coltsfootpier.clock import Clock
from coltsfootpier.node import _timing
from coltsfootpier.platform import PlatformError, StoreUnavailable, StoreUnknown

# Maximum number of concurrent attempts of one change. At a period of 150 ms the first reaches its
# time limit of 1,000 ms about when a seventh would be sent.
MAX_ATTEMPTS = 6

Outcome = Result[int, PlatformError]


class RetryTimer:
    """Period after which a change without a response is sent again.

    The period follows the response time of the store, since a slow store would otherwise get each
    change several times.

    Examples
    --------
    >>> timer = RetryTimer()
    >>> timer.period_ms
    150.0
    >>> timer.record_response(300.0)
    >>> timer.period_ms
    450.0
    """

    def __init__(self) -> None:
        self.period_ms = _timing.COMMIT_RETRY_MS

    def record_response(self, duration_ms: float) -> None:
        """Update the period from the duration of an attempt that got a response."""
        period_ms = _timing.COMMIT_RETRY_FACTOR * duration_ms
        self.period_ms = min(_timing.STORE_TIMEOUT_MS, max(_timing.COMMIT_RETRY_MS, period_ms))


class ChangeSender:
    """Sender of changes to the store, one at a time, with repeated attempts.

    An attempt doesn't wait for the outcome of earlier ones: all expect the same head, so at most
    one takes effect.

    Parameters
    ----------
    clock : Clock
        Time source.
    on_outcome : callable
        Called with the outcome of each attempt and its duration in ms.
    """

    def __init__(self, *, clock: Clock, on_outcome: Callable[[Outcome, float], None]) -> None:
        self._clock = clock
        self._on_outcome = on_outcome
        self._timer = RetryTimer()

    async def send_until_resolved(
        self, send: Callable[[], Awaitable[Outcome]], *, transfer_ms: float = 0.0
    ) -> Outcome:
        """Send a change until its outcome is known.

        Parameters
        ----------
        send : callable
            Makes one attempt and returns its outcome.
        transfer_ms : float, default=0
            Time in ms that the change may take on its way, by which it is sent again later.

        Returns
        -------
        Result of int or PlatformError
            Outcome of the change. It is `StoreUnavailable` only if no attempt has taken effect or
            may still do so.
        """
        send_stream, receive_stream = anyio.create_memory_object_stream[tuple[Outcome, float]](
            MAX_ATTEMPTS
        )
        in_flight = 0
        maybe_applied = False

        async def make_attempt() -> None:
            sent_ms = self._clock.now_ms()
            outcome = await send()
            await send_stream.send((outcome, self._clock.now_ms() - sent_ms))

        with send_stream, receive_stream:
            async with anyio.create_task_group() as group:
                while True:
                    if in_flight < MAX_ATTEMPTS:
                        group.start_soon(make_attempt)
                        in_flight += 1
                    with anyio.move_on_after(
                        (self._timer.period_ms + transfer_ms) / 1000
                    ) as wait_scope:
                        outcome, duration_ms = await receive_stream.receive()
                    if wait_scope.cancelled_caught:
                        continue
                    in_flight -= 1
                    self._record_outcome(outcome, max(0.0, duration_ms - transfer_ms))
                    error = outcome.failure() if isinstance(outcome, Failure) else None
                    maybe_applied = maybe_applied or isinstance(error, StoreUnknown)
                    is_unavailable = isinstance(error, StoreUnavailable)
                    if not isinstance(error, StoreUnknown | StoreUnavailable) or (
                        is_unavailable and not maybe_applied and not in_flight
                    ):
                        group.cancel_scope.cancel()
                        return outcome
                    await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)

    def _record_outcome(self, outcome: Outcome, duration_ms: float) -> None:
        if not isinstance(outcome, Failure) or not isinstance(outcome.failure(), StoreUnknown):
            self._timer.record_response(duration_ms)
        self._on_outcome(outcome, duration_ms)
