"""Streams for bodies that are too large to buffer."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import anyio

from coltsfootpier.exceptions import ColtsfootpierError
from coltsfootpier.transport._errors import CallError, Unanswered

# Maximum number of chunks queued for a slow reader; a chunk has at most 64 KB, the read size of
# httpcore.
_MAX_QUEUED_CHUNKS = 4


class BodyTruncatedError(ColtsfootpierError):
    """A streamed body ended before it was complete."""

    def __init__(self, error: CallError) -> None:
        super().__init__(error.reason)
        self.error = error


class BodyStream:
    """The rest of a large response body, filled by the task that owns the connection.

    Iteration raises `BodyTruncatedError` when the body ends before it is complete, so that a
    truncated body is never mistaken for a complete one.
    """

    def __init__(self) -> None:
        self._send, self._receive = anyio.create_memory_object_stream[bytes](_MAX_QUEUED_CHUNKS)
        self._error: CallError | None = Unanswered("the response was truncated")

    async def put(self, chunk: bytes) -> None:
        """Queue a chunk for the reader; blocks while the queue is full.

        Raises
        ------
        anyio.BrokenResourceError
            If the reader has closed the stream.
        """
        await self._send.send(chunk)

    def finish(self, error: CallError | None) -> None:
        """End the body; it is complete if `error` is None."""
        self._error = error
        self._send.close()

    def close(self) -> None:
        """Stop reading; the next `put` raises."""
        self._receive.close()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._receive:
            yield chunk
        if self._error is not None:
            raise BodyTruncatedError(self._error)


class UploadError(ColtsfootpierError):
    """A streamed request body ended before it was complete."""


class Upload:
    """A request body that is forwarded while it is received; it can be iterated once.

    Parameters
    ----------
    first : bytes
        Bytes that have been read already.
    read : callable
        Returns the next chunk, or None at the end; raises `UploadError` if the body is truncated.
    length : int, optional
        Declared length in bytes.

    Attributes
    ----------
    started : bool
        Whether iteration has begun. From then on the request can't be resent, because the bytes
        that were read are not retained.
    """

    def __init__(self, *, first: bytes, read: Callable[[], object], length: int | None) -> None:
        self.length = length
        self.started = False
        self._first = first
        self._read = read

    async def __aiter__(self) -> AsyncIterator[bytes]:
        self.started = True
        yield self._first
        while (chunk := await self._read()) is not None:
            yield chunk
