"""Connections that are slow, silent, or send too much."""

import unittest

import anyio

from coltsfootpier.transport import (
    Application,
    ConnectionLimits,
    HttpResponse,
    Server,
    build_protocol,
)

# Far more than the test needs; it ends as soon as the connection is closed or answered.
LIMIT_S = 20
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"


async def answer(request):
    """Answer with the length of the body."""
    return HttpResponse.of({"bytes": len(request.body)})


class LimitsTest(unittest.TestCase):
    """What is closed, and for which bound."""

    def _play(self, talk, **changes):
        values = {
            "max_header_bytes": 500,
            "header_timeout_ms": 60_000.0,
            "idle_timeout_ms": 60_000.0,
        }
        limits = ConnectionLimits(**{**values, **changes})
        closed = []

        async def run():
            app = Application(routes={"POST /": answer, "GET /": answer}, max_body=10_000)
            protocol = build_protocol(lambda: limits, closed.append)
            server = Server(app=app, host="127.0.0.1", port=0, protocol=protocol)
            async with anyio.create_task_group() as group:
                port = await group.start(server.run)
                with anyio.fail_after(LIMIT_S):
                    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                        await talk(stream)
                server.stop()

        anyio.run(run)
        return closed

    async def _read_end(self, stream):
        with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                await stream.receive()

    def test_silent_connection(self):
        """Guards against descriptors that are held by callers who send nothing."""
        self.assertEqual(self._play(self._read_end, idle_timeout_ms=50.0), ["idle"])

    def test_slow_header(self):
        """Guards against a caller who sends a header byte by byte and never ends it."""

        async def talk(stream):
            await stream.send(b"GET /a HT")
            await self._read_end(stream)

        self.assertEqual(self._play(talk, header_timeout_ms=50.0), ["header_timeout"])

    def test_long_header(self):
        """Guards against a header that takes all memory."""

        async def talk(stream):
            await stream.send(b"GET /a HTTP/1.1\r\nX: " + b"x" * 600)
            await self._read_end(stream)

        self.assertEqual(self._play(talk), ["header_bytes"])

    def test_long_body(self):
        """Guards against a body that counts as a header."""

        async def talk(stream):
            await stream.send(REQUEST.replace(b"4", b"4000"))
            for _ in range(4):
                await stream.send(b"y" * 1_000)
            self.assertIn(b'{"bytes":4000}', await self._read_answer(stream))
            # The next header counts from its own first byte.
            await stream.send(REQUEST + b"abcd")
            self.assertIn(b'{"bytes":4}', await self._read_answer(stream))

        self.assertEqual(self._play(talk), [])

    async def _read_answer(self, stream):
        found = b""
        while b"}" not in found:
            found += await stream.receive()
        return found

    def test_slow_body_is_no_slow_header(self):
        """Guards against a request that is cut although its header came in time."""

        async def talk(stream):
            await stream.send(REQUEST)
            await anyio.sleep(0.2)
            await stream.send(b"abcd")
            self.assertIn(b'{"bytes":4}', await self._read_answer(stream))

        self.assertEqual(self._play(talk, header_timeout_ms=100.0), [])

    def test_idle_between_requests(self):
        """Guards against connections that stay open for ever after one request."""

        async def talk(stream):
            await stream.send(REQUEST + b"abcd")
            await self._read_answer(stream)
            await self._read_end(stream)

        self._play(talk, idle_timeout_ms=50.0)


if __name__ == "__main__":
    unittest.main()
