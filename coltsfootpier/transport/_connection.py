"""HTTP client connection that carries one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio
import attrs
import httpcore
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.transport._errors import OVERDUE, BadReply, CallError, NotSent, Unanswered
from coltsfootpier.transport._stream import BodyStream, Upload, UploadError

# Time for the rest of a streamed response; limits how long a slow reader holds a connection.
_STREAM_TIMEOUT_MS = 60_000.0
Headers = Sequence[tuple[bytes, bytes]]


@attrs.frozen
class Reply:
    """A complete HTTP response, or the start of a streamed one.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : sequence of (bytes, bytes)
        Header names in lower case.
    body : bytes
        The body, checked against its declared length; its first part if `rest` is given.
    rest : BodyStream, optional
        Stream of the rest of a large body.
    """

    status: int
    headers: Headers
    body: bytes
    rest: BodyStream | None = None

    def header(self, name: bytes, default: bytes = b"") -> bytes:
        """Return the value of the first header called `name` (lower case)."""
        return next((value for key, value in self.headers if key == name), default)


class Connection:
    """An HTTP/1.1 connection owned by one task.

    The connection is closed after an exchange that timed out, failed or was truncated, so that
    a late response can't be mistaken for the response to a later request.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    clock : Clock
        Time source.
    max_body_bytes : int
        Maximum size of an accepted response body in bytes.
    """

    def __init__(self, *, host: str, port: int, clock: Clock, max_body_bytes: int) -> None:
        self._origin = httpcore.Origin(b"http", host.encode(), port)
        self._host_header = f"{host}:{port}".encode()
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._connection: httpcore.AsyncHTTPConnection | None = None
        self._last_response_ms = float("-inf")
        self._stream: BodyStream | None = None

    @property
    def is_open(self) -> bool:
        """Whether an exchange has succeeded on the connection and it is still usable."""
        connection = self._connection
        # `has_expired` reports a readable socket: the peer has closed the idle connection or sent
        # a response without a request.
        return connection is not None and connection.is_idle() and not connection.has_expired()

    def idle_ms(self) -> float:
        """Return the time in ms since the last complete response on this connection."""
        return self._clock.now_ms() - self._last_response_ms

    async def close(self) -> None:
        """Close the connection; a later exchange opens a new one."""
        connection, self._connection = self._connection, None
        if connection is not None:
            with anyio.move_on_after(1, shield=True):
                await connection.aclose()

    async def exchange(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: Headers = (),
        body: bytes | Upload = b"",
        timeout_ms: float,
        max_idle_ms: float,
        stream_threshold_bytes: int | None = None,
        on_large_response: Callable[[Reply], None] | None = None,
    ) -> Result[Reply, CallError]:
        """Send one request and wait for the complete response.

        Parameters
        ----------
        method, target : bytes
            Request line.
        headers : sequence of (bytes, bytes)
            Additional headers; ``Host`` and ``Content-Length`` are added.
        body : bytes or Upload
            Request body.
        timeout_ms : float
            Timeout of the exchange in ms, including connection set-up.
        max_idle_ms : float
            An open connection whose last response is older than this (ms) is replaced first,
            because an idle connection may have stopped delivering data.
        stream_threshold_bytes : int, optional
            If the body of the response is larger than this (bytes), its first part is passed to
            `on_large_response` with the rest as a stream, which must be read. `timeout_ms` then
            limits the time to the first part, and a separate timeout of 60 s the rest.
        on_large_response : callable, optional
            Called with the first part of a large response.

        Returns
        -------
        Result of Reply or CallError
        """
        if timeout_ms <= 0:
            return Failure(NotSent("no time left"))
        if self._connection is not None and (not self.is_open or self.idle_ms() > max_idle_ms):
            await self.close()
        request = httpcore.Request(
            method,
            httpcore.URL(
                scheme=b"http", host=self._origin.host, port=self._origin.port, target=target
            ),
            headers=[
                (b"host", self._host_header),
                *headers,
                _build_length_header(body),
            ],
            content=body,
        )
        result: Result[Reply, CallError] = Failure(OVERDUE)
        try:
            with anyio.move_on_after(timeout_ms / 1000) as scope:

                def start_stream(reply: Reply) -> None:
                    scope.deadline = anyio.current_time() + _STREAM_TIMEOUT_MS / 1000
                    on_large_response(reply)

                result = await self._send_request(request, stream_threshold_bytes, start_stream)
        finally:
            if self._stream is not None:
                self._stream.finish(result.failure() if isinstance(result, Failure) else None)
                self._stream = None
            if not isinstance(result, Success):
                await self.close()
        return result

    async def _send_request(
        self,
        request: httpcore.Request,
        stream_threshold_bytes: int | None,
        start_stream: Callable[[Reply], None],
    ) -> Result[Reply, CallError]:
        if self._connection is None:
            self._connection = httpcore.AsyncHTTPConnection(self._origin, keepalive_expiry=None)
        try:
            response = await self._connection.handle_async_request(request)
            return await self._read_response(response, stream_threshold_bytes, start_stream)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            reason = f"can't connect to {self._host_header.decode()}: {error}"
            return Failure(NotSent(reason, unreachable=True))
        except (httpcore.LocalProtocolError, httpcore.ConnectionNotAvailable) as error:
            # The request line or a header violates HTTP; detected before any byte is sent.
            return Failure(NotSent(f"not a valid request: {error}"))
        except UploadError as error:
            return Failure(Unanswered(f"request body: {error}"))
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            return Failure(Unanswered(repr(error)))

    async def _read_response(
        self,
        response: httpcore.Response,
        stream_threshold_bytes: int | None,
        start_stream: Callable[[Reply], None],
    ) -> Result[Reply, CallError]:
        headers = tuple((name.lower(), value) for name, value in response.headers)
        if not _is_body_delimited(response.status, headers):
            # Such a body ends when the connection is closed, so a truncated response would look
            # complete.
            return Failure(BadReply("answer without a length", response.status))
        declared_length = next(
            (value for name, value in headers if name == b"content-length"), b"0"
        )
        if int(declared_length) > self._max_body_bytes:
            return Failure(BadReply(f"body over {self._max_body_bytes} bytes", response.status))
        chunks: list[bytes] = []
        size = 0
        async for chunk in response.aiter_stream():
            size += len(chunk)
            if size > self._max_body_bytes:
                return Failure(BadReply(f"body over {self._max_body_bytes} bytes", response.status))
            if self._stream is not None:
                try:
                    await self._stream.put(chunk)
                except anyio.BrokenResourceError:
                    return Failure(Unanswered("the reader of the response has closed the stream"))
                continue
            chunks.append(chunk)
            if stream_threshold_bytes is not None and size > stream_threshold_bytes:
                self._stream = BodyStream()
                start_stream(Reply(response.status, headers, b"".join(chunks), self._stream))
                chunks.clear()
        await response.aclose()
        self._last_response_ms = self._clock.now_ms()
        return Success(Reply(response.status, headers, b"".join(chunks)))


def _build_length_header(body: bytes | Upload) -> tuple[bytes, bytes]:
    length = body.length if isinstance(body, Upload) else len(body)
    if length is None:
        return b"transfer-encoding", b"chunked"
    return b"content-length", str(length).encode()


def _is_body_delimited(status: int, headers: Headers) -> bool:
    if status in (204, 304):
        return True
    return any(
        name == b"content-length"
        or (name == b"transfer-encoding" and value.lower().endswith(b"chunked"))
        for name, value in headers
    )
