"""HTTP client of runners, with a limited number of connections to each of them."""

from __future__ import annotations

import anyio
import attrs
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.routing import Runner
from coltsfootpier.transport import BodyStream, CallError, Channel, Upload, split_address

# Maximum idle time of a connection that is reused for requests that must not run twice. A
# connection that was idle for longer may no longer work, and the request can't be sent again.
_MAX_IDLE_MS = 500.0
# Maximum idle time of a connection that is reused for idempotent requests, which can be sent again.
_MAX_IDLE_RETRYABLE_MS = 5_000.0
# Size of the largest body that is kept in memory as a whole. Larger bodies are streamed, so that a
# request uses at most this much memory in each direction, apart from the buffers of its
# connections.
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
    body : bytes
        The whole body, or the first part of a large one.
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
    """Rejection of a request that the runner has not started.

    Parameters
    ----------
    reason : str
        Start of the response's body.
    leaving : bool
        Whether the runner reported that it is shutting down.
    """

    reason: str
    leaving: bool = False


class RunnerPool:
    """Pool of connections to all runners.

    Parameters
    ----------
    clock : Clock
        Time source.
    entry_vms : int
        Maximum number of entry VMs. Each entry VM uses an equal part of the connections that a
        runner accepts.
    max_body_bytes : int
        Maximum size of an accepted response body in bytes.
    """

    def __init__(self, *, clock: Clock, entry_vms: int, max_body_bytes: int) -> None:
        self._clock = clock
        self._entry_vms = entry_vms
        self._max_body_bytes = max_body_bytes
        self._channels: dict[str, Channel] = {}
        self._task_group: TaskGroup | None = None

    async def run(self) -> None:
        """Manage the connections until cancelled."""
        async with anyio.create_task_group() as self._task_group:
            await anyio.sleep_forever()

    def retain(self, runners: list[Runner]) -> None:
        """Close the connections to all runners that aren't in `runners`.

        They are closed once the pending responses are received.
        """
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
            Whether the request may be sent again if there is no response, which allows a
            connection that was idle for longer.

        Returns
        -------
        Result of RunnerResponse, CallError or NotStarted
            `Failure` with `NotStarted` if the runner has rejected the request, or with `CallError`
            if there is no valid response.
        """
        result = await self._get_channel(runner).call(
            method,
            target,
            headers=headers,
            body=body,
            timeout_ms=timeout_ms,
            max_idle_ms=_MAX_IDLE_RETRYABLE_MS if retryable else _MAX_IDLE_MS,
            stream_threshold_bytes=MAX_BUFFERED_BODY_BYTES,
        )
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        leaving = reply.header(b"x-leaving") == b"1"
        if reply.status == 503 and reply.header(b"x-not-started") == b"1":
            if reply.rest is not None:
                reply.rest.close()
            return Failure(NotStarted(reply.body.decode("utf-8", "replace")[:200], leaving))
        end_to_end_headers = tuple(
            header for header in reply.headers if header[0] not in _HOP_BY_HOP_HEADERS
        )
        content_length = reply.header(b"content-length")
        length = int(content_length) if content_length else None
        return Success(
            RunnerResponse(
                reply.status, end_to_end_headers, reply.body, leaving, reply.rest, length
            )
        )

    def _get_channel(self, runner: Runner) -> Channel:
        if runner.id not in self._channels:
            host, port = split_address(runner.address)
            channel = Channel(
                host=host,
                port=port,
                clock=self._clock,
                connections=max(1, min(runner.slots, runner.connections // self._entry_vms)),
                max_body_bytes=self._max_body_bytes,
            )
            self._channels[runner.id] = channel
            self._task_group.start_soon(channel.run)
        return self._channels[runner.id]
