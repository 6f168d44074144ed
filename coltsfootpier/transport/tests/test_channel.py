"""Tests of connections against sockets that misbehave."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream
from returns.result import Failure, Success

from coltsfootpier.clock import MonotonicClock
from coltsfootpier.transport import BadReply, BodyCutError, Channel, NotSent, Unanswered
from standins.relay import Relay

_OK = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"


class _RawServer:
    """Answers each request with the bytes that `answer` returns for its target."""

    def __init__(self, answer, *, close: bool = False) -> None:
        self.answer = answer
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
                    await stream.send(await self.answer(target))
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if self.close:
                    return


@asynccontextmanager
async def _serving(answer, *, close: bool = False, connections: int = 1, relayed: bool = False):
    server = _RawServer(answer, close=close)
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


async def _bodies(channel: Channel, targets: list[str]) -> AsyncIterator[object]:
    for target in targets:
        yield target, await channel.call("GET", target, timeout_ms=5_000)


class CutAnswerTest(unittest.TestCase):
    def test_cut_answers_are_never_complete(self) -> None:
        """Guards against a truncated answer that looks complete."""

        async def with_length(_: str) -> bytes:
            return b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf"

        async def without_length(_: str) -> bytes:
            return b"HTTP/1.1 200 OK\r\n\r\nhalf"

        async def chunked(_: str) -> bytes:
            return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"

        async def test() -> None:
            for answer, kind in (
                (with_length, Unanswered),
                (without_length, BadReply),
                (chunked, Unanswered),
            ):
                async with _serving(answer, close=True) as (_, channel, _relay):
                    result = await channel.call("GET", "/", timeout_ms=5_000)
                    self.assertIsInstance(result, Failure)
                    self.assertIsInstance(result.failure(), kind)

        _run(test)

    def test_rubbish_is_a_typed_error(self) -> None:
        """Guards against an exception from a peer that doesn't speak HTTP."""

        async def rubbish(_: str) -> bytes:
            return b"\x00\xffrubbish\r\n\r\n"

        async def test() -> None:
            async with _serving(rubbish, close=True) as (_, channel, _relay):
                result = await channel.call("GET", "/", timeout_ms=5_000)
                self.assertIsInstance(result.failure(), Unanswered)

        _run(test)

    def test_request_that_http_does_not_allow_is_not_sent(self) -> None:
        """Guards against the outcome unknown for a request of which no byte was sent."""

        async def test() -> None:
            async with _serving(_echo) as (server, channel, _):
                result = await channel.call("GET", "/", headers=((b"x a", b"a"),), timeout_ms=5_000)
                self.assertIsInstance(result.failure(), NotSent)
                self.assertEqual(server.targets, [])

        _run(test)


class LateAnswerTest(unittest.TestCase):
    def test_late_answer_reaches_no_other_call(self) -> None:
        """Guards against an overdue answer taken for the answer to the next request."""

        async def answer(target: str) -> bytes:
            if target == "/late":
                await anyio.sleep(0.3)
            return await _echo(target)

        async def test() -> None:
            async with _serving(answer) as (_, channel, _relay):
                late = await channel.call("GET", "/late", timeout_ms=100)
                self.assertIsInstance(late.failure(), Unanswered)
                async for target, result in _bodies(channel, ["/a", "/b"]):
                    self.assertEqual(result.unwrap().body, target.encode())
                    await anyio.sleep(0.2)

        _run(test)

    def test_call_reported_as_not_sent_is_not_sent_later(self) -> None:
        """Guards against a queued call that is sent after its caller gave it up."""

        async def answer(target: str) -> bytes:
            if target == "/slow":
                await anyio.sleep(0.5)
            return await _echo(target)

        async def test() -> None:
            async with _serving(answer) as (server, channel, _), anyio.create_task_group() as group:

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
    def test_one_call_at_most_pays_for_connections_that_fell_silent_together(self) -> None:
        """Guards against one overdue call for each connection of a silent path."""

        async def answer(target: str) -> bytes:
            if target == "/warm":
                await anyio.sleep(0.2)
            return await _echo(target)

        async def test() -> None:
            async with _serving(answer, connections=4, relayed=True) as (_, channel, relay):

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
        """Guards against the outcome unknown after a server closed an idle connection."""

        async def test() -> None:
            async with _serving(_echo, close=True) as (_, channel, _relay):
                async for target, result in _bodies(channel, ["/a", "/b", "/c"]):
                    self.assertEqual(result.unwrap().body, target.encode())
                    await anyio.sleep(0.1)

        _run(test)

    def test_low_rates_use_one_connection(self) -> None:
        """Guards against a low rate spread over all connections, so that none stays fresh."""

        async def test() -> None:
            async with _serving(_echo, connections=4, relayed=True) as (_, channel, relay):
                for _ in range(12):
                    await channel.call("GET", "/", timeout_ms=5_000)
                self.assertEqual(relay.accepted, 1)

        _run(test)


class LargeAnswerTest(unittest.TestCase):
    def test_large_answer_is_streamed_whole_or_visibly_cut(self) -> None:
        """Guards against a cut answer that looks complete, and against one held whole."""
        body = b"0123456789" * 100_000

        async def whole(_: str) -> bytes:
            return _OK % (len(body), body)

        async def cut(_: str) -> bytes:
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
            async with _serving(whole) as (_, channel, _relay):
                for _ in range(3):
                    self.assertEqual(await read(channel), body)
            async with _serving(cut, close=True) as (_, channel, _relay):
                with self.assertRaises(BodyCutError):
                    await read(channel)

        _run(test)

    def test_reader_that_gives_up_frees_the_connection(self) -> None:
        """Guards against a connection that waits for a reader that has gone."""
        body = b"x" * 4_000_000

        async def answer(target: str) -> bytes:
            return _OK % (len(body), body) if target == "/large" else await _echo(target)

        async def test() -> None:
            async with _serving(answer) as (_, channel, _relay):
                large = await channel.call(
                    "GET", "/large", timeout_ms=5_000, stream_threshold_bytes=1_000
                )
                large.unwrap().rest.close()
                small = await channel.call("GET", "/small", timeout_ms=5_000)
                self.assertEqual(small.unwrap().body, b"/small")

        _run(test)
