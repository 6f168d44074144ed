"""Tests of connection limits with slow, idle and oversized requests."""

import unittest

import anyio

from coltsfootpier.transport import (
    Application,
    ConnectionLimits,
    HttpResponse,
    Server,
    build_protocol,
)

# Far more than a test needs; each ends as soon as the connection is closed or responds.
TEST_TIMEOUT_S = 20
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"


async def respond(request):
    """Respond with the length of the body."""
    return HttpResponse.from_message({"bytes": len(request.body)})


class LimitsTest(unittest.TestCase):
    """Which connections are closed, and by which limit."""

    def _run_client(self, client, **overrides):
        values = {
            "max_header_bytes": 500,
            "header_timeout_ms": 60_000.0,
            "idle_timeout_ms": 60_000.0,
        }
        limits = ConnectionLimits(**{**values, **overrides})
        closed = []

        async def run():
            app = Application(routes={"POST /": respond, "GET /": respond}, max_body_bytes=10_000)
            protocol = build_protocol(lambda: limits, closed.append)
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

        self._run_client(client, idle_timeout_ms=50.0)


if __name__ == "__main__":
    unittest.main()
