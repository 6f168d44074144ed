"""Connections to runners, limited in number for each runner."""

from __future__ import annotations

import anyio
import attrs
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.routing import Runner
from coltsfootpier.transport import BodyStream, CallError, Channel, Upload, split_address

# Maximum idle time of a connection for requests that must not run twice. A connection that was
# idle for longer may no longer work.
_MAX_IDLE_MS = 500.0
# Maximum idle time of a connection for idempotent requests, which can be sent again.
_MAX_IDLE_RETRYABLE_MS = 5_000.0
# Larger bodies are streamed, so that a request uses at most this much memory in each direction,
# apart from the buffers of its connections.
MAX_BUFFERED_BODY_BYTES = 262_144
# Headers that apply only to the connection to the runner, or that the daemon sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
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
    """Response of a runner.

    Parameters
    ----------
    leaving : bool
        Whether the runner reported that it is shutting down.
    rest : BodyStream, optional
        Remainder of a large body, which must be read or closed.
    length : int, optional
        Value of the response's ``content-length`` header.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    leaving: bool = False
    rest: BodyStream | None = None
    length: int | None = None


@attrs.frozen
class NotStarted:
    """Rejection of a request by the runner before it started the request."""

    reason: str
    leaving: bool = False


class RunnerPool:
    """Pool of connections to all runners.

    Parameters
    ----------
    clock : Clock
        Time source.
    entry_vms : int
        Maximum number of entry VMs. Each entry VM uses an equal part of a runner's connections.
    max_body : int
        Maximum size of an accepted response body in bytes.
    """

    def __init__(self, *, clock: Clock, entry_vms: int, max_body: int) -> None:
        self._clock = clock
        self._entry_vms = entry_vms
        self._max_body = max_body
        self._channels: dict[str, Channel] = {}
        self._task_group: TaskGroup | None = None

    async def run(self) -> None:
        """Manage the connections until cancelled."""
        async with anyio.create_task_group() as self._task_group:
            await anyio.sleep_forever()

    def retain(self, runners: list[Runner]) -> None:
        """Close the connections to all other runners once their pending responses are received."""
        known_ids = {runner.id for runner in runners}
        for id_ in self._channels.keys() - known_ids:
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
        """Send one request to a runner and wait for its response.

        If the body is larger than `MAX_BUFFERED_BODY_BYTES`, the remainder is returned as a
        stream.

        Parameters
        ----------
        runner : Runner
            Runner to send the request to; the calling code must hold a grant for it.
        method, target, headers, body : str, str, tuple, bytes or Upload
            The request.
        timeout_ms : float
            Timeout in milliseconds.
        retryable : bool
            Whether the request may be sent again if there is no response.

        Returns
        -------
        Result of RunnerResponse, or of CallError or NotStarted
        """
        sent = await self._channel(runner).call(
            method,
            target,
            headers=headers,
            body=body,
            timeout_ms=timeout_ms,
            max_idle_ms=_MAX_IDLE_RETRYABLE_MS if retryable else _MAX_IDLE_MS,
            stream_threshold_bytes=MAX_BUFFERED_BODY_BYTES,
        )
        if isinstance(sent, Failure):
            return sent
        reply = sent.unwrap()
        leaving = reply.header(b"x-leaving") == b"1"
        if reply.status == 503 and reply.header(b"x-not-started") == b"1":
            if reply.rest is not None:
                reply.rest.close()
            return Failure(NotStarted(reply.body.decode("utf-8", "replace")[:200], leaving))
        end_to_end_headers = tuple(
            pair for pair in reply.headers if pair[0] not in _HOP_BY_HOP_HEADERS
        )
        declared = reply.header(b"content-length")
        length = int(declared) if declared else None
        return Success(
            RunnerResponse(
                reply.status, end_to_end_headers, reply.body, leaving, reply.rest, length
            )
        )

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
            self._task_group.start_soon(channel.run)
        return self._channels[runner.id]
