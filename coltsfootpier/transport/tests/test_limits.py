"""Tests of connection limits with slow, idle and oversized requests."""

import asyncio
import contextlib
import gc
import socket
import struct
import unittest
from unittest import mock

import anyio
from anyio.abc import SocketAttribute
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from coltsfootpier.transport import (
    Application,
    ConnectionLimits,
    HttpResponse,
    ProcessBudget,
    Server,
    _limits,
    _turns,
    build_protocol,
)
from coltsfootpier.transport._budget import MAX_UNREAD_BYTES
from coltsfootpier.transport._limits import LimitedProtocol

# Far more than a test needs; each ends as soon as the connection is closed or responds.
TEST_TIMEOUT_S = 20
# More than the socket buffers of both sides hold.
LARGE_BYTES = 20_000_000
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"


async def respond(request):
    """Respond with the length of the body."""
    return HttpResponse.from_message({"bytes": len(request.body)})


async def respond_large(_):
    """Respond with more than the kernel buffers for a client that doesn't read."""
    return HttpResponse(body=b"x" * LARGE_BYTES)


async def respond_slowly(request):
    """Respond after a time that is longer than the header timeout of the tests."""
    await anyio.sleep(0.3)
    return await respond(request)


def find_objects(kind):
    """Return the objects of a class that are still referenced."""
    gc.collect()
    return [found for found in gc.get_objects() if isinstance(found, kind)]


class PieceCounter:
    """Counts the pieces that each call of the protocol parses."""

    def __init__(self):
        self.calls = []

    def __enter__(self):
        parse_received = LimitedProtocol._parse_received
        parse_piece = LimitedProtocol._parse_piece

        def count_call(protocol, *arguments, **keywords):
            self.calls.append(0)
            parse_received(protocol, *arguments, **keywords)

        def count_piece(protocol, piece):
            self.calls[-1] += 1
            parse_piece(protocol, piece)

        self._patch = mock.patch.multiple(
            LimitedProtocol, _parse_received=count_call, _parse_piece=count_piece
        )
        self._patch.start()
        return self

    def __exit__(self, *_):
        self._patch.stop()


class LimitsTest(unittest.TestCase):
    """Which connections are closed, and by which limit."""

    def _run_client(self, client, budget=None, **overrides):
        values = {
            "max_header_bytes": 500,
            "header_timeout_ms": 60_000.0,
            "idle_timeout_ms": 60_000.0,
        }
        limits = ConnectionLimits(**{**values, **overrides})
        closed = []

        async def run():
            routes = {
                "POST /": respond,
                "POST /slow": respond_slowly,
                "GET /": respond,
                "GET /large": respond_large,
            }
            app = Application(routes=routes, max_body_bytes=10_000)
            protocol = build_protocol(lambda: limits, closed.append, budget=budget)
            server = Server(app=app, host="127.0.0.1", port=0, protocol=protocol)
            async with anyio.create_task_group() as group:
                port = await group.start(server.run)
                with anyio.fail_after(TEST_TIMEOUT_S):
                    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                        await client(stream)
                server.stop()

        anyio.run(run)
        return closed

    async def _wait_for_close(self, stream):
        with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                await stream.receive()

    def test_silent_connection(self):
        """Guards against callers that hold file descriptors without sending anything."""
        self.assertEqual(self._run_client(self._wait_for_close, idle_timeout_ms=50.0), ["idle"])

    def test_slow_header(self):
        """Guards against a caller that sends a header slowly and never completes it."""

        async def client(stream):
            await stream.send(b"GET /a HT")
            await self._wait_for_close(stream)

        self.assertEqual(self._run_client(client, header_timeout_ms=50.0), ["header_timeout"])

    def test_long_header(self):
        """Guards against a header that exhausts the memory."""

        async def client(stream):
            await stream.send(b"GET /a HTTP/1.1\r\nX: " + b"x" * 600)
            await self._wait_for_close(stream)

        self.assertEqual(self._run_client(client), ["header_bytes"])

    def test_header_limit_excludes_body(self):
        """Guards against a long body that counts towards the header limit."""

        async def client(stream):
            await stream.send(REQUEST.replace(b"4", b"4000"))
            for _ in range(4):
                await stream.send(b"y" * 1_000)
            self.assertIn(b'{"bytes":4000}', await self._read_response(stream))
            # The count starts again with the first byte of the next header.
            await stream.send(REQUEST + b"abcd")
            self.assertIn(b'{"bytes":4}', await self._read_response(stream))

        self.assertEqual(self._run_client(client), [])

    async def _read_response(self, stream):
        response = b""
        while b"}" not in response:
            response += await stream.receive()
        return response

    def test_header_timeout_excludes_body(self):
        """Guards against a header timeout while the body is received."""

        async def client(stream):
            await stream.send(REQUEST)
            await anyio.sleep(0.2)
            await stream.send(b"abcd")
            self.assertIn(b'{"bytes":4}', await self._read_response(stream))

        self.assertEqual(self._run_client(client, header_timeout_ms=100.0), [])

    def test_idle_between_requests(self):
        """Guards against connections that stay open indefinitely after one request."""

        async def client(stream):
            await stream.send(REQUEST + b"abcd")
            await self._read_response(stream)
            await self._wait_for_close(stream)

        self.assertEqual(self._run_client(client, idle_timeout_ms=50.0), ["idle"])

    def test_header_after_end_of_body_is_limited(self):
        """Guards against header bytes that aren't counted because a body ended in the same read."""

        async def client(stream):
            for start in (REQUEST + b"abcd", CHUNKED + b"4\r\nabcd\r\n0\r\n\r\n"):
                await stream.send(start + b"GET /a HTTP/1.1\r\nX: " + b"x" * 470)
                await self._read_response(stream)
                await stream.send(b"x" * 20 + b"\r\n\r\n")
                await self._read_response(stream)
            await stream.send(REQUEST + b"abcdGET /a HTTP/1.1\r\nX: " + b"x" * 600)
            await self._wait_for_close(stream)

        self.assertEqual(self._run_client(client), ["header_bytes"])

    def test_header_after_end_of_body_is_timed(self):
        """Guards against a header without a timeout because a body ended in the same read."""

        async def client(stream):
            await stream.send(CHUNKED + b"4\r\nabcd\r\n0\r\n\r")
            await stream.send(b"\nGET /a HT")
            await self._wait_for_close(stream)

        self.assertEqual(self._run_client(client, header_timeout_ms=50.0), ["header_timeout"])

    def test_trailers_and_chunk_extensions(self):
        """Guards against trailers and chunk extensions without an end."""
        for endless in (b"0\r\n" + b"a: b\r\n" * 100, b"4;" + b"a=b;" * 150):
            for start in (CHUNKED, CHUNKED.replace(b"POST", b"PUT")):

                async def client(stream, sent=start + endless):
                    await stream.send(sent)
                    await self._wait_for_close(stream)

                with self.subTest(start=start, endless=endless[:6]):
                    self.assertEqual(self._run_client(client)[-1:], ["trailer_bytes"])

    def test_incomplete_trailer_is_counted(self):
        """Guards against many incomplete trailers whose memory isn't counted."""
        budget = ProcessBudget(max_buffered_bytes=100_000)

        async def client(stream):
            await stream.send(CHUNKED + b"0\r\n")
            await anyio.sleep(0.1)
            used_bytes = budget.buffered_bytes
            await stream.send(b"a: " + b"x" * 400)
            await anyio.sleep(0.1)
            self.assertGreaterEqual(budget.buffered_bytes, used_bytes + 400)

        self.assertEqual(self._run_client(client, budget=budget), [])

    def test_short_chunks_with_trailers(self):
        """Guards against a limit on trailers that counts the framing of chunks."""

        async def client(stream):
            body = b"1;a=b\r\nx\r\n" * 4_000 + b"0\r\na: b\r\n\r\n"
            await stream.send(CHUNKED + body + REQUEST + b"abcd")
            self.assertIn(b'{"bytes":4000}', await self._read_response(stream))

        self.assertEqual(self._run_client(client), [])

    def test_chunk_of_line_ends(self):
        """Guards against content that is split at line ends, which delays all other requests."""

        async def client(stream):
            await stream.send(CHUNKED + b"1f40\r\n" + b"\r\n" * 4_000 + b"\r\n0\r\n\r\n")
            self.assertIn(b'{"bytes":8000}', await self._read_response(stream))

        with PieceCounter() as counter:
            self.assertEqual(self._run_client(client), [])
        self.assertLess(sum(counter.calls), 12)

    def test_large_read_is_parsed_in_several_calls(self):
        """Guards against one connection that keeps the event loop from all others."""

        async def client(stream):
            await stream.send(CHUNKED + b"1\r\nx\r\n" * 9_000 + b"0\r\n\r\n" + REQUEST + b"abcd")
            received = b""
            while b'{"bytes":4}' not in received:
                received += await stream.receive()
            self.assertIn(b'{"bytes":9000}', received)

        with mock.patch.object(_limits, "_PIECE_BYTES", 100), PieceCounter() as counter:
            self.assertEqual(self._run_client(client), [])
        self.assertLessEqual(max(counter.calls), _limits._MAX_PIECES)
        self.assertGreater(sum(counter.calls), 500)

    def test_chunks_of_many_connections_take_turns(self):
        """Guards against a turn of the event loop that grows with the number of connections."""
        most_pieces = 0

        async def sample_pieces():
            nonlocal most_pieces
            parsed = sum(counter.calls)
            while True:
                await anyio.lowlevel.checkpoint()
                most_pieces = max(most_pieces, sum(counter.calls) - parsed)
                parsed = sum(counter.calls)

        async def client(stream):
            address = stream.extra(SocketAttribute.remote_address)
            async with contextlib.AsyncExitStack() as stack, anyio.create_task_group() as group:
                streams = [
                    await stack.enter_async_context(await anyio.connect_tcp(*address))
                    for _ in range(20)
                ]
                group.start_soon(sample_pieces)
                for other in streams:
                    await other.send(CHUNKED)
                for other in streams:
                    await other.send(b"1\r\nx\r\n" * 2_000 + b"0\r\n\r\n")
                for other in streams:
                    self.assertIn(b'{"bytes":2000}', await self._read_response(other))
                group.cancel_scope.cancel()

        with mock.patch.object(_limits, "_PIECE_BYTES", 100), PieceCounter() as counter:
            self.assertEqual(self._run_client(client), [])
        self.assertGreater(sum(counter.calls), 2_000)
        # Headers are parsed besides, once for each connection.
        self.assertLessEqual(most_pieces, _turns._MAX_PIECES + 20)

    def test_idle_connection_releases_its_request(self):
        """Guards against idle connections that hold memory which isn't counted."""
        header = b"".join(b"a%d: b\r\n" % number for number in range(30))

        async def client(stream):
            for start in (REQUEST, REQUEST.replace(b"POST", b"PUT")):
                await stream.send(start.replace(b"\r\n\r\n", b"\r\n" + header + b"\r\n") + b"abcd")
                await self._read_response(stream)
                await anyio.sleep(0.1)
                self.assertEqual(find_objects(RequestResponseCycle), [])
                held = [(p.url, p.headers, p.scope) for p in find_objects(LimitedProtocol)]
                self.assertEqual(held, [(b"", [], {})])

        self.assertEqual(self._run_client(client), [])

    def test_early_response_releases_the_body(self):
        """Guards against the body of a rejected request that is held while the rest arrives."""

        async def client(stream):
            rejected = REQUEST.replace(b"POST", b"PUT").replace(b"4", b"4000")
            await stream.send(rejected + b"x" * 3_000)
            await self._read_response(stream)
            await anyio.sleep(0.1)
            held = [(bytes(c.body), c.scope) for c in find_objects(RequestResponseCycle)]
            self.assertEqual(held, [(b"", {})])
            await stream.send(b"x" * 1_000)
            await anyio.sleep(0.1)
            self.assertEqual(find_objects(RequestResponseCycle), [])
            await stream.send(REQUEST + b"abcd")
            self.assertIn(b'{"bytes":4}', await self._read_response(stream))

        self.assertEqual(self._run_client(client), [])

    def test_reset_connection_is_released(self):
        """Guards against connections that the client has reset and a timer holds in memory."""

        async def client(stream):
            address = stream.extra(SocketAttribute.remote_address)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST + b"abcd")
            await reader.readuntil(b"}")
            no_linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, no_linger
            )
            writer.transport.abort()
            await anyio.sleep(0.2)
            self.assertEqual([p for p in find_objects(LimitedProtocol) if p.parser is None], [])

        self.assertEqual(self._run_client(client), [])

    def test_line_ends_after_a_body(self):
        """Guards against line ends that start a header timeout while the response is pending."""

        async def client(stream):
            slow = REQUEST.replace(b"/a", b"/slow") + b"abcd"
            await stream.send(slow + b"\r\n")
            self.assertIn(b'{"bytes":4}', await self._read_response(stream))
            await stream.send(b"\r\n" + slow)
            self.assertIn(b'{"bytes":4}', await self._read_response(stream))

        self.assertEqual(self._run_client(client, header_timeout_ms=50.0), [])

    def test_header_timeout_waits_for_the_response(self):
        """Guards against a slow header that closes the connection before an earlier response."""

        async def client(stream):
            await stream.send(REQUEST.replace(b"/a", b"/slow") + b"abcdGET /a HT")
            self.assertIn(b'{"bytes":4}', await self._read_response(stream))
            await self._wait_for_close(stream)

        self.assertEqual(self._run_client(client, header_timeout_ms=50.0), ["header_timeout"])

    def test_pipelined_requests_get_their_responses(self):
        """Guards against pipelined requests that are lost, mixed or cut while reading is slowed."""
        requests = [
            REQUEST.replace(b"4", str(size).encode()) + b"\r\n\r\n" * (size // 4)
            for size in range(0, 9_000, 36)
        ]

        async def client(stream):
            async with anyio.create_task_group() as group:
                group.start_soon(stream.send, b"".join(requests))
                received = b""
                while received.count(b"}") < len(requests):
                    received += await stream.receive()
            sizes = [int(part.split(b"}")[0]) for part in received.split(b'"bytes":')[1:]]
            self.assertEqual(sizes, list(range(0, 9_000, 36)))

        self.assertEqual(self._run_client(client), [])

    def test_unread_responses_time_out(self):
        """Guards against clients that keep a response in memory without reading it."""

        async def client(stream):
            await stream.send(b"GET /large HTTP/1.1\r\nConnection: close\r\n\r\n")
            await anyio.sleep(3)
            with self.assertRaises(
                (anyio.EndOfStream, anyio.BrokenResourceError, ConnectionResetError)
            ):
                received = 0
                while received < LARGE_BYTES:
                    received += len(await stream.receive())

        self.assertEqual(self._run_client(client, write_timeout_ms=50.0), ["write_timeout"])

    def test_body_that_continues_after_the_response(self):
        """Guards against a connection that stays open for a body that nothing waits for."""

        async def client(stream):
            await stream.send(REQUEST.replace(b"POST", b"PUT").replace(b"4", b"4000"))
            with self.assertRaises(anyio.BrokenResourceError):
                while True:
                    await anyio.sleep(0.02)
                    await stream.send(b"x")

        self.assertEqual(self._run_client(client, idle_timeout_ms=200.0)[:1], ["unread_body"])

    def test_path_counts_as_often_as_it_is_held(self):
        """Guards against long paths that take more memory than is counted for them."""
        budget = ProcessBudget(max_buffered_bytes=1_000_000)
        used_bytes = []

        async def client(stream):
            for size in (100, 400):
                path = b"/slow" + b"x" * size
                await stream.send(REQUEST.replace(b"/a", path) + b"ab")
                await anyio.sleep(0.1)
                used_bytes.append(budget.buffered_bytes)
                await stream.send(b"cd")
                self.assertIn(b'{"bytes":4}', await self._read_response(stream))

        self.assertEqual(self._run_client(client, budget=budget), [])
        self.assertGreaterEqual(used_bytes[1] - used_bytes[0], 3 * 300)

    def test_response_repeats_a_part_of_a_long_path(self):
        """Guards against responses that are as large as the paths of unread requests."""

        async def client(stream):
            await stream.send(REQUEST.replace(b"POST /a", b"PUT /" + b"x" * 400) + b"abcd")
            response = await self._read_response(stream)
            self.assertIn(b" 404 ", response)
            self.assertIn(b"x" * 200, response)
            self.assertNotIn(b"x" * 300, response)

        self.assertEqual(self._run_client(client), [])

    def test_connection_is_closed_when_the_process_buffers_too_much(self):
        """Guards against many bodies that are each within the limits."""
        # Each of the two connections counts with what the kernel may hold for it.
        budget = ProcessBudget(max_buffered_bytes=38_000 + 2 * MAX_UNREAD_BYTES)

        async def client(stream):
            await stream.send(REQUEST.replace(b"4", b"9999") + b"y" * 9_998)
            async with await anyio.connect_tcp(*stream.extra(SocketAttribute.remote_address)) as c2:
                await c2.send(REQUEST + b"ab")
                await self._wait_for_close(stream)
                await c2.send(b"cd")
                self.assertIn(b'{"bytes":4}', await self._read_response(c2))

        self.assertEqual(self._run_client(client, budget=budget), ["process_bytes"])
        self.assertEqual(budget.buffered_bytes, 0)


if __name__ == "__main__":
    unittest.main()
