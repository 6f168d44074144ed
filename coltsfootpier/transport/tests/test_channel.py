"""Tests of `Channel` against servers that misbehave."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream
from returns.result import Failure, Success

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.transport import BadReply, BodyTruncatedError, Channel, NotSent, Unanswered
from standins.relay import Relay

_OK = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"


class _RawServer:
    """Server that sends the bytes that `respond` returns for the target of each request."""

    def __init__(self, respond, *, close: bool = False) -> None:
        self.respond = respond
        self.close = close
        self.targets: list[str] = []
        self.port = 0

    async def run(self, *, task_status) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            while True:
                try:
                    received = await stream.receive()
                    target = received.split(b" ")[1].decode()
                    self.targets.append(target)
                    await stream.send(await self.respond(target))
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if self.close:
                    return


@asynccontextmanager
async def _open_channel(
    respond, *, close: bool = False, connections: int = 1, relayed: bool = False
):
    server = _RawServer(respond, close=close)
    async with anyio.create_task_group() as group:
        await group.start(server.run)
        relay = Relay(port=server.port) if relayed else None
        channel = Channel(
            host="127.0.0.1",
            port=relay.port if relay else server.port,
            clock=MonotonicClock(),
            connections=connections,
        )
        group.start_soon(channel.run)
        await anyio.wait_all_tasks_blocked()
        yield server, channel, relay
        group.cancel_scope.cancel()
    if relay:
        relay.close()


async def _echo(target: str) -> bytes:
    return _OK % (len(target), target.encode())


def _run(test) -> None:
    anyio.run(test, backend_options={"use_uvloop": True})


async def _call_each(channel: Channel, targets: list[str]) -> AsyncIterator[object]:
    for target in targets:
        yield target, await channel.call("GET", target, timeout_ms=5_000)


class TruncatedResponseTest(unittest.TestCase):
    def test_truncated_responses_are_failures(self) -> None:
        """Guards against a truncated response that is accepted as complete."""

        async def with_length(_: str) -> bytes:
            return b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf"

        async def without_length(_: str) -> bytes:
            return b"HTTP/1.1 200 OK\r\n\r\nhalf"

        async def chunked(_: str) -> bytes:
            return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"

        async def test() -> None:
            for respond, kind in (
                (with_length, Unanswered),
                (without_length, BadReply),
                (chunked, Unanswered),
            ):
                async with _open_channel(respond, close=True) as (_, channel, _relay):
                    result = await channel.call("GET", "/", timeout_ms=5_000)
                    self.assertIsInstance(result, Failure)
                    self.assertIsInstance(result.failure(), kind)

        _run(test)

    def test_invalid_http_is_a_typed_error(self) -> None:
        """Guards against an exception when the peer sends bytes that aren't HTTP."""

        async def invalid_http(_: str) -> bytes:
            return b"\x00\xffrubbish\r\n\r\n"

        async def test() -> None:
            async with _open_channel(invalid_http, close=True) as (_, channel, _relay):
                result = await channel.call("GET", "/", timeout_ms=5_000)
                self.assertIsInstance(result.failure(), Unanswered)

        _run(test)

    def test_invalid_request_is_not_sent(self) -> None:
        """Guards against an unknown outcome for a request of which no byte was sent."""

        async def test() -> None:
            async with _open_channel(_echo) as (server, channel, _):
                result = await channel.call("GET", "/", headers=((b"x a", b"a"),), timeout_ms=5_000)
                self.assertIsInstance(result.failure(), NotSent)
                self.assertEqual(server.targets, [])

        _run(test)


class LateResponseTest(unittest.TestCase):
    def test_late_response_reaches_no_other_call(self) -> None:
        """Guards against an overdue response that is returned for the next request."""

        async def respond(target: str) -> bytes:
            if target == "/late":
                await anyio.sleep(0.3)
            return await _echo(target)

        async def test() -> None:
            async with _open_channel(respond) as (_, channel, _relay):
                late = await channel.call("GET", "/late", timeout_ms=100)
                self.assertIsInstance(late.failure(), Unanswered)
                async for target, result in _call_each(channel, ["/a", "/b"]):
                    self.assertEqual(result.unwrap().body, target.encode())
                    await anyio.sleep(0.2)

        _run(test)

    def test_call_reported_as_not_sent_is_not_sent_later(self) -> None:
        """Guards against a queued call that is sent after the calling task cancelled it."""

        async def respond(target: str) -> bytes:
            if target == "/slow":
                await anyio.sleep(0.5)
            return await _echo(target)

        async def test() -> None:
            async with (
                _open_channel(respond) as (server, channel, _),
                anyio.create_task_group() as group,
            ):

                async def call_slow() -> None:
                    await channel.call("GET", "/slow", timeout_ms=5_000)

                group.start_soon(call_slow)
                await anyio.sleep(0.1)
                with anyio.move_on_after(0.1):
                    await channel.call("GET", "/given-up", timeout_ms=5_000)
                last = await channel.call("GET", "/last", timeout_ms=5_000)
                self.assertIsInstance(last, Success)
                self.assertEqual(server.targets, ["/slow", "/last"])

        _run(test)


class SilentConnectionTest(unittest.TestCase):
    def test_connections_silenced_together_cost_one_overdue_call(self) -> None:
        """Guards against one overdue call per connection after a network path goes silent."""

        async def respond(target: str) -> bytes:
            if target == "/warm":
                await anyio.sleep(0.2)
            return await _echo(target)

        async def test() -> None:
            async with _open_channel(respond, connections=4, relayed=True) as (_, channel, relay):

                async def warm() -> None:
                    self.assertIsInstance(
                        await channel.call("GET", "/warm", timeout_ms=5_000), Success
                    )

                async with anyio.create_task_group() as group:
                    for _ in range(4):
                        group.start_soon(warm)
                self.assertEqual(relay.accepted, 4)
                relay.silence()
                results = [await channel.call("GET", "/", timeout_ms=300) for _ in range(8)]
                overdue = sum(isinstance(result, Failure) for result in results)
                self.assertEqual(overdue, 1)

        _run(test)

    def test_connection_closed_by_the_server_is_replaced_before_use(self) -> None:
        """Guards against an unknown outcome after the server has closed an idle connection."""

        async def test() -> None:
            async with _open_channel(_echo, close=True) as (_, channel, _relay):
                async for target, result in _call_each(channel, ["/a", "/b", "/c"]):
                    self.assertEqual(result.unwrap().body, target.encode())
                    await anyio.sleep(0.1)

        _run(test)

    def test_sequential_calls_use_one_connection(self) -> None:
        """Guards against a low call rate spread over all connections, so that none stays fresh."""

        async def test() -> None:
            async with _open_channel(_echo, connections=4, relayed=True) as (_, channel, relay):
                for _ in range(12):
                    await channel.call("GET", "/", timeout_ms=5_000)
                self.assertEqual(relay.accepted, 1)

        _run(test)


class LargeResponseTest(unittest.TestCase):
    def test_large_response_is_streamed_and_truncation_detected(self) -> None:
        """Guards against a large response that is fully buffered, or accepted when truncated."""
        body = b"0123456789" * 100_000

        async def complete(_: str) -> bytes:
            return _OK % (len(body), body)

        async def truncated(_: str) -> bytes:
            return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body[:600_000])

        async def read(channel: Channel) -> bytes:
            result = await channel.call(
                "GET", "/", timeout_ms=5_000, stream_threshold_bytes=100_000
            )
            reply = result.unwrap()
            self.assertLess(len(reply.body), 200_000)
            received = reply.body
            async for chunk in reply.rest:
                received += chunk
            return received

        async def test() -> None:
            async with _open_channel(complete) as (_, channel, _relay):
                for _ in range(3):
                    self.assertEqual(await read(channel), body)
            async with _open_channel(truncated, close=True) as (_, channel, _relay):
                with self.assertRaises(BodyTruncatedError):
                    await read(channel)

        _run(test)

    def test_closed_reader_frees_the_connection(self) -> None:
        """Guards against a connection that blocks on a reader that has closed its stream."""
        body = b"x" * 4_000_000

        async def respond(target: str) -> bytes:
            return _OK % (len(body), body) if target == "/large" else await _echo(target)

        async def test() -> None:
            async with _open_channel(respond) as (_, channel, _relay):
                large = await channel.call(
                    "GET", "/large", timeout_ms=5_000, stream_threshold_bytes=1_000
                )
                large.unwrap().rest.close()
                small = await channel.call("GET", "/small", timeout_ms=5_000)
                self.assertEqual(small.unwrap().body, b"/small")

        _run(test)
