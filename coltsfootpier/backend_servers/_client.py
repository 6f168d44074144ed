"""Connections to runners, bounded for each runner."""

from __future__ import annotations

import anyio
import attrs
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.routing import Runner
from coltsfootpier.transport import BodyStream, CallError, Channel, Upload, split_address

# A connection that was idle for longer may have gone silent; requests that must not run
# twice don't try it.
_FRESH_MS = 500.0
# Idempotent requests can be sent again, so they may use connections that idled for longer.
_REUSE_MS = 5_000.0
# Larger bodies are streamed through, so that a request holds no more memory than this in each
# direction, buffers of the connections aside.
MAX_BUFFERED_BODY_BYTES = 262_144
# Headers that hold for the connection to the runner only, or that the daemon sets itself.
_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"date",
        b"keep-alive",
        b"server",
        b"transfer-encoding",
        b"x-outcome",
        b"x-request-id",
    }
)


@attrs.frozen
class RunnerResponse:
    """A runner's whole answer.

    Parameters
    ----------
    leaving : bool
        Whether the runner said that it leaves.
    rest : BodyStream, optional
        The rest of a large body, which must be read or closed.
    length : int, optional
        Declared length of a body with a rest.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    leaving: bool = False
    rest: BodyStream | None = None
    length: int | None = None


@attrs.frozen
class NotStarted:
    """The runner refused the request before it started it."""

    reason: str
    leaving: bool = False


class RunnerPool:
    """Connections to all runners.

    Parameters
    ----------
    clock : Clock
        Time source.
    entry_vms : int
        Most entry VMs at once; each takes its part of a runner's connections.
    max_body : int
        Largest accepted answer body in bytes.
    """

    def __init__(self, *, clock: Clock, entry_vms: int, max_body: int) -> None:
        self._clock = clock
        self._entry_vms = entry_vms
        self._max_body = max_body
        self._channels: dict[str, Channel] = {}
        self._group: TaskGroup | None = None

    async def run(self) -> None:
        """Own the connections until cancelled."""
        async with anyio.create_task_group() as self._group:
            await anyio.sleep_forever()

    def retain(self, runners: list[Runner]) -> None:
        """Close the connections of runners that are not in the list, after their answers."""
        known = {runner.id for runner in runners}
        for id_ in self._channels.keys() - known:
            self._channels.pop(id_).close()

    async def send(
        self,
        runner: Runner,
        *,
        method: str,
        target: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes | Upload,
        timeout_ms: float,
        retryable: bool,
    ) -> Result[RunnerResponse, CallError | NotStarted]:
        """Send one request to a runner and wait for its whole answer.

        Parameters
        ----------
        runner : Runner
            Where to send it; the caller holds a grant for it.
        method, target, headers, body : str, str, tuple, bytes or Upload
            The request.
        timeout_ms : float
            Time allowed.
        repeatable : bool
            Whether the request may be sent again if it gets no answer.

        Returns
        -------
        Result of Answer, or of CallError or NotStarted
        """
        sent = await self._channel(runner).call(
            method,
            target,
            headers=headers,
            body=body,
            timeout_ms=timeout_ms,
            max_idle_ms=_REUSE_MS if retryable else _FRESH_MS,
            stream_over=MAX_BUFFERED_BODY_BYTES,
        )
        if isinstance(sent, Failure):
            return sent
        reply = sent.unwrap()
        leaving = reply.header(b"x-leaving") == b"1"
        if reply.status == 503 and reply.header(b"x-not-started") == b"1":
            if reply.rest is not None:
                reply.rest.close()
            return Failure(NotStarted(reply.body.decode("utf-8", "replace")[:200], leaving))
        kept = tuple(pair for pair in reply.headers if pair[0] not in _HOP_HEADERS)
        declared = reply.header(b"content-length")
        length = int(declared) if declared else None
        return Success(RunnerResponse(reply.status, kept, reply.body, leaving, reply.rest, length))

    def _channel(self, runner: Runner) -> Channel:
        if runner.id not in self._channels:
            host, port = split_address(runner.address)
            channel = Channel(
                host=host,
                port=port,
                clock=self._clock,
                connections=max(1, min(runner.slots, runner.connections // self._entry_vms)),
                max_body=self._max_body,
            )
            self._channels[runner.id] = channel
            self._group.start_soon(channel.run)
        return self._channels[runner.id]
