"""Embedded uvicorn server and a small ASGI application with limits on body size."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio
import attrs
import uvicorn
from anyio.abc import TaskStatus
from returns.result import Failure, Result, Success

from coltsfootpier.transport._budget import MAX_BACKLOG_CONNECTIONS
from coltsfootpier.transport._codec import encode
from coltsfootpier.transport._connection import Headers
from coltsfootpier.transport._errors import BindError, MalformedMessageError
from coltsfootpier.transport._limits import LimitedProtocol
from coltsfootpier.transport._stream import BodyStream, Upload, UploadError

Scope = dict[str, Any]
# Bodies that take longer are rejected, so that a stalled sender can't block a server.
_BODY_TIMEOUT_MS = 10_000.0
# Longest part of a path that a response repeats.
MAX_ECHO_CHARACTERS = 256
AsgiApp = Callable[[Scope, Callable, Callable], Awaitable[None]]


@attrs.frozen
class HttpRequest:
    """A request with its complete body.

    Parameters
    ----------
    method, path, query : str
        Request line.
    headers : sequence of (bytes, bytes)
        Names in lower case.
    body : bytes
        The complete body.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> str:
        """Return the value of the first header called `name` (lower case), or an empty string."""
        return next((value.decode("latin-1") for key, value in self.headers if key == name), "")


@attrs.frozen
class HttpResponse:
    """A response with its complete body."""

    status: int = 200
    body: bytes = b""
    headers: Headers = ()
    content_type: bytes = b"application/json"

    @classmethod
    def from_message(cls, message: object, status: int = 200) -> HttpResponse:
        """Build a JSON response from an attrs object or a JSON value."""
        return cls(status=status, body=encode(message))

    @classmethod
    def problem(cls, status: int, kind: str, reason: str) -> HttpResponse:
        """Build the JSON response for a typed error."""
        return cls.from_message({"error": kind, "reason": reason}, status)


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class BodyError(Exception):
    """The body of a request was rejected; `response` is the response to its sender."""

    def __init__(self, status: int, kind: str, reason: str) -> None:
        super().__init__(reason)
        # After a timeout the connection is closed. After a body that is too large it stays open
        # and the rest is discarded, because closing it while the sender still writes would reset
        # it and lose this response.
        close_headers = ((b"connection", b"close"),) if status == 408 else ()
        self.response = attrs.evolve(
            HttpResponse.problem(status, kind, reason), headers=close_headers
        )


async def read_body(
    scope: Scope, receive: Callable, *, max_body_bytes: int, timeout_ms: float = _BODY_TIMEOUT_MS
) -> bytes:
    """Read the body of a request.

    Parameters
    ----------
    scope : dict
        ASGI scope.
    receive : callable
        ASGI receive function.
    max_body_bytes : int
        Maximum size of an accepted body in bytes.
    timeout_ms : float
        Timeout of the complete body in ms.

    Returns
    -------
    bytes
        The complete body.

    Raises
    ------
    BodyError
        If the body is too large, ends before its declared length, or takes too long.
    """
    declared_length = next(
        (value for key, value in scope["headers"] if key == b"content-length"), b""
    )
    if declared_length and int(declared_length) > max_body_bytes:
        raise BodyError(413, "body_too_large", f"at most {max_body_bytes} bytes are allowed")
    with anyio.move_on_after(max(0.0, timeout_ms) / 1000):
        return await _receive_body(receive, max_body_bytes)
    raise BodyError(408, "body_overdue", f"the body did not arrive within {timeout_ms:.0f} ms")


async def _receive_body(receive: Callable, max_body_bytes: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise BodyError(400, "body_truncated", "the connection closed before the body ended")
        chunks.append(message.get("body", b""))
        size += len(chunks[-1])
        if size > max_body_bytes:
            raise BodyError(413, "body_too_large", f"at most {max_body_bytes} bytes are allowed")
        if not message.get("more_body", False):
            return b"".join(chunks)


async def read_upload(
    scope: Scope,
    receive: Callable,
    *,
    max_body_bytes: int,
    max_buffered_bytes: int,
    timeout_ms: float,
) -> bytes | Upload:
    """Read a small request body completely; return a larger one as an upload.

    Parameters
    ----------
    scope, receive
        As in `read_body`.
    max_body_bytes : int
        Maximum size of an accepted body in bytes.
    max_buffered_bytes : int
        Maximum size in bytes of a body that is buffered completely.
    timeout_ms : float
        Timeout in ms of the complete body, or of its first `max_buffered_bytes` bytes.

    Returns
    -------
    bytes or Upload

    Raises
    ------
    BodyError
        As in `read_body`.
    """
    declared_length = next(
        (value for key, value in scope["headers"] if key == b"content-length"), b""
    )
    if (
        not declared_length
        or int(declared_length) <= max_buffered_bytes
        or int(declared_length) > max_body_bytes
    ):
        return await read_body(scope, receive, max_body_bytes=max_body_bytes, timeout_ms=timeout_ms)

    async def read_chunk() -> bytes | None:
        nonlocal has_more
        if not has_more:
            return None
        message = await receive()
        if message["type"] == "http.disconnect":
            raise UploadError("the connection closed before the body ended")
        has_more = message.get("more_body", False)
        return message.get("body", b"")

    has_more = True
    first = bytearray()
    with anyio.move_on_after(max(0.0, timeout_ms) / 1000) as cancel_scope:
        while has_more and len(first) < max_buffered_bytes:
            try:
                first += await read_chunk() or b""
            except UploadError as error:
                raise BodyError(400, "body_truncated", str(error)) from error
    if cancel_scope.cancelled_caught:
        raise BodyError(408, "body_overdue", f"the body did not begin within {timeout_ms:.0f} ms")
    return Upload(first=bytes(first), read=read_chunk, length=int(declared_length))


async def send_response(send: Callable, response: HttpResponse) -> None:
    """Send a complete response over ASGI."""
    headers = [
        (b"content-type", response.content_type),
        (b"content-length", str(len(response.body)).encode()),
        *response.headers,
    ]
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})


async def send_large_response(
    send: Callable, response: HttpResponse, rest: BodyStream, length: int | None
) -> None:
    """Send the first part of a response, then stream the rest as it arrives.

    Parameters
    ----------
    send : callable
        ASGI send function.
    response : HttpResponse
        Status, headers and the first part of the body.
    rest : BodyStream
        Rest of the body.
    length : int, optional
        Length of the complete body in bytes; without it, the body is sent in chunks.

    Raises
    ------
    BodyTruncatedError
        If the body is truncated. The response is left incomplete, so that the connection is
        closed.
    """
    headers = [(b"content-type", response.content_type), *response.headers]
    if length is not None:
        headers.append((b"content-length", str(length).encode()))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body, "more_body": True})
    async for chunk in rest:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


class Application:
    """ASGI application that maps path prefixes to handlers; the longest prefix wins.

    Parameters
    ----------
    routes : dict of str to Handler
        Keys are ``"METHOD /prefix"``.
    max_body_bytes : int
        Maximum size of an accepted request body in bytes.
    """

    def __init__(self, *, routes: dict[str, Handler], max_body_bytes: int) -> None:
        self._routes = sorted(
            ((*key.split(" ", 1), handler) for key, handler in routes.items()),
            key=lambda route: -len(route[1]),
        )
        self._max_body_bytes = max_body_bytes

    async def __call__(self, scope: Scope, receive: Callable, send: Callable) -> None:
        if scope["type"] != "http":
            return
        await send_response(send, await self._respond(scope, receive))

    def _find_handler(self, method: str, path: str) -> Handler | None:
        for route_method, prefix, handler in self._routes:
            if method == route_method and path.startswith(prefix):
                return handler
        return None

    async def _respond(self, scope: Scope, receive: Callable) -> HttpResponse:
        method, path = scope["method"], scope["path"]
        handler = self._find_handler(method, path)
        if handler is None:
            return HttpResponse.problem(
                404, "unknown_path", f"{method} {path[:MAX_ECHO_CHARACTERS]}"
            )
        try:
            body = await read_body(scope, receive, max_body_bytes=self._max_body_bytes)
            query = scope.get("query_string", b"").decode("latin-1")
            return await handler(HttpRequest(method, path, query, scope["headers"], body))
        except BodyError as error:
            return error.response
        except MalformedMessageError as error:
            return HttpResponse.problem(400, "malformed_message", str(error))


def bind(host: str, port: int) -> Result[socket.socket, BindError]:
    """Open a listening TCP socket, so that an unusable address is detected at startup.

    Another process may listen on the address between the two system calls. The event loop would
    discard that error of `listen`, so the socket listens already when it is handed over.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port; 0 selects a free one.

    Returns
    -------
    Result of socket or BindError
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(MAX_BACKLOG_CONNECTIONS)
    except OSError as error:
        listener.close()
        return Failure(BindError(f"{host}:{port}", error.strerror or str(error)))
    return Success(listener)


class _EmbeddedServer(uvicorn.Server):
    """uvicorn server without signal handlers; the process decides when it stops."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Server:
    """An HTTP server on one address.

    Parameters
    ----------
    app : ASGI application
        Application that handles the requests.
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one.
    listener : socket, optional
        Socket from `bind` that is used instead of `host` and `port`.
    protocol : type of LimitedProtocol, optional
        Protocol class with connection limits, from `build_protocol`. A server that clients can
        reach needs one.
    backlog : int
        Connections that the kernel holds until the server accepts them.
    max_unread_bytes : int, optional
        Received bytes that the kernel holds for each connection of `listener` until the server
        reads them; the default of the system if omitted.
    """

    def __init__(
        self,
        *,
        app: AsgiApp,
        host: str,
        port: int,
        listener: socket.socket | None = None,
        protocol: type[LimitedProtocol] | None = None,
        backlog: int = MAX_BACKLOG_CONNECTIONS,
        max_unread_bytes: int | None = None,
    ) -> None:
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            http=protocol or "httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="warning",
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=75,
            backlog=backlog,
        )
        self._server = _EmbeddedServer(config)
        self._listener = listener
        if listener is not None and max_unread_bytes is not None:
            # Accepted connections inherit it. The kernel doubles the value.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, max_unread_bytes // 2)
        self.port = port
        self.ended = anyio.Event()

    async def run(self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until `stop`, and report the port once the socket listens.

        Requests in flight are finished before this returns.
        """
        listeners = None if self._listener is None else [self._listener]
        async with anyio.create_task_group() as group:
            group.start_soon(self._server.serve, listeners)
            while not self._server.started:
                await anyio.sleep(0.005)
            self.port = self._server.servers[0].sockets[0].getsockname()[1]
            task_status.started(self.port)
        self.ended.set()

    def stop(self) -> None:
        """Close the listening socket; `run` returns once requests in flight are finished."""
        self._server.should_exit = True
