"""Simulated network between hosts: delay, loss, duplication, reordering and cut links."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.transport import NotSent, Unanswered
from soak._loop import Host, VirtualLoop


@attrs.define
class LinkQuality:
    """Quality of all links.

    Parameters
    ----------
    delay_s : float
        Mean one-way delay. Each message has its own random delay, so messages are reordered.
    loss, duplication : float
        Share of messages that are lost, and share of calls that are delivered twice.
    """

    delay_s: float = 0.004
    loss: float = 0.0
    duplication: float = 0.0


class Network:
    """Network that transmits calls from one host to another.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop that provides the virtual time.
    rng : random.Random
        Source of all random choices.
    """

    def __init__(self, *, loop: VirtualLoop, rng: random.Random) -> None:
        self.link_quality = LinkQuality()
        self.cut_counts: dict[tuple[str, str], int] = {}
        self.on_error: Callable[[str, BaseException], None] = lambda *_: None
        self._loop = loop
        self._rng = rng

    def change_cut_count(self, source: str, target: str, change: int) -> None:
        """Add (1) or remove (-1) a cut of the link from `source` to `target`.

        Several faults may cut the same link; it works again once all of them are undone.
        """
        self.cut_counts[source, target] = self.cut_counts.get((source, target), 0) + change

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether messages from `source` to `target` are dropped."""
        return self.cut_counts.get((source, target), 0) > 0

    async def call(
        self,
        source: Host,
        find_target: Callable[[], Host | None],
        handler: Callable[[], Awaitable[Any]],
        *,
        timeout_ms: float,
    ) -> Result[Any, NotSent | Unanswered]:
        """Run a handler on another host and wait for its response.

        Parameters
        ----------
        source : Host
            Host that makes the call.
        find_target : callable
            Returns the host to call, or None if there is none.
        handler : callable
            Async function that runs on the target and returns the response.
        timeout_ms : float
            Longest time to wait for the response in ms.

        Returns
        -------
        Result
            The response, `NotSent` if the handler can't have run, or `Unanswered` if it may have.
        """
        target = find_target()
        if target is None or (target.dead and self._rng.random() < 0.5):
            await anyio.sleep(0.001)
            return Failure(NotSent("connection refused"))
        response_future = self._loop.create_future()
        with anyio.move_on_after(timeout_ms / 1000):
            # The message is delayed in the sender before it is transmitted. A sender that is
            # frozen here later sends a message that it decided on before the freeze.
            await anyio.sleep(self._rng.uniform(0.0, 0.002))
            if source.freeze_at_send_s:
                duration_s, source.freeze_at_send_s = source.freeze_at_send_s, 0.0
                self._loop.freeze(source, duration_s)
                # The call resumes here after the freeze.
                await anyio.sleep(0)
                await anyio.sleep(0)
            if self.is_cut(source.name, target.name) and self._rng.random() < 0.5:
                await anyio.sleep(timeout_ms / 1000)
                return Failure(NotSent("no connection"))
            copy_count = 2 if self._rng.random() < self.link_quality.duplication else 1
            for copy in range(copy_count):
                self._transmit(
                    source.name,
                    target.name,
                    lambda: self._run_on_target(source, target, handler, response_future),
                    extra_delay_s=copy * self._rng.uniform(0.0, 8.0),
                )
            return Success(await response_future)
        return Failure(Unanswered("overdue"))

    def _transmit(
        self, source: str, target: str, deliver: Callable[[], object], *, extra_delay_s: float = 0.0
    ) -> None:
        if self._rng.random() < self.link_quality.loss:
            return
        delay_s = extra_delay_s + self.link_quality.delay_s * self._rng.uniform(0.3, 1.7)
        if self._rng.random() < 0.01:
            # Simulates the retransmission of a packet.
            delay_s += self._rng.uniform(0.2, 1.5)

        def arrive() -> None:
            if not self.is_cut(source, target):
                deliver()

        self._loop.call_after(delay_s, arrive)

    def _run_on_target(
        self, source: Host, target: Host, handler: Callable, response_future: Any
    ) -> None:
        async def run_handler_and_respond() -> None:
            try:
                value = await handler()
            except Exception as error:
                self.on_error(target.name, error)
                return
            self._transmit(target.name, source.name, lambda: set_response(value))

        def set_response(value: object) -> None:
            if not response_future.done():
                response_future.set_result(value)

        if not target.dead:
            self._loop.start(target, run_handler_and_respond())
