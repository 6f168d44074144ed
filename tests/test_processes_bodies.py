"""Process tests of large bodies: complete or visibly truncated, with bounded memory."""

from __future__ import annotations

import unittest
from pathlib import Path

import anyio

from standins.cluster import call
from tests.clusters import ClusterTestCase, run_async

_BODY_BYTES = 6_000_000
_SLOW_READERS = 12


class LargeBodyTest(ClusterTestCase):
    """Bodies of several megabytes, and bodies that end early."""

    settings = {"bounds": {"request_body_bytes": 8_000_000}}

    async def _set_faults(self, **faults) -> None:
        for worker in self.cluster.workers.values():
            await self.cluster.set_faults(worker, **faults)

    def _get_callers_port(self) -> int:
        return self.cluster.daemons["entry-0"].ports["callers"]

    def _read_peak_memory_mb(self) -> float:
        """Return the peak resident memory of the daemon since it started."""
        status = Path(f"/proc/{self.cluster.daemons['entry-0'].handle.pid}/status")
        if not status.exists():
            raise unittest.SkipTest("peak memory is only available from /proc")
        line = next(line for line in status.read_text().splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    async def _read_slowly(self, request_id: str) -> bytes:
        """Send a request, read its response only after 2 s, and return the received body."""
        head = f"POST /services/web/read HTTP/1.1\r\nhost: x\r\nx-request-id: {request_id}\r\n"
        received = []
        async with await anyio.connect_tcp("127.0.0.1", self._get_callers_port()) as stream:
            await stream.send(f"{head}connection: close\r\ncontent-length: 0\r\n\r\n".encode())
            await anyio.sleep(2)
            try:
                while True:
                    received.append(await stream.receive(262_144))
            except anyio.EndOfStream:
                pass
        return b"".join(received).partition(b"\r\n\r\n")[2]

    def test_large_bodies_reach_slow_readers_with_bounded_memory(self) -> None:
        """Guards against responses to slow readers that are buffered whole, mixed or truncated."""

        async def test() -> None:
            await self._set_faults(answer_bytes=_BODY_BYTES)
            bodies: dict[str, bytes] = {}

            async def read(request_id: str) -> None:
                bodies[request_id] = await self._read_slowly(request_id)

            before_mb = self._read_peak_memory_mb()
            async with anyio.create_task_group() as group:
                for index in range(_SLOW_READERS):
                    group.start_soon(read, f"reader-{index:03}")
            growth_mb = self._read_peak_memory_mb() - before_mb
            print(
                f"peak memory grew by {growth_mb:.0f} MB for {_SLOW_READERS} slow readers of 6 MB"
            )
            # The stand-in runner sends chunks that repeat the request's identifier, which shows
            # parts of other responses.
            for request_id, body in bodies.items():
                self.assertEqual(len(body), _BODY_BYTES)
                pattern = f"{request_id};".encode()
                chunk = pattern * (65_536 // len(pattern))
                self.assertTrue((chunk * (_BODY_BYTES // len(chunk) + 1)).startswith(body))
            self.assertLess(growth_mb, _SLOW_READERS * _BODY_BYTES / 1e6)
            await self._set_faults()
            self.assert_healthy("entry-0")

        run_async(test)

    def test_incomplete_response_is_reported(self) -> None:
        """Guards against truncated runner responses that callers mistake for complete ones."""

        async def test() -> None:
            for cut_after in (100_000, 2_000_000):
                await self._set_faults(answer_bytes=_BODY_BYTES, cut_after=cut_after)
                response = await call(self._get_callers_port(), "POST", "/services/web/read")
                if response is not None:
                    self.assertEqual(response.headers["x-outcome"], "unknown")
            await self._set_faults()
            response = await call(self._get_callers_port(), "POST", "/services/web/read")
            self.assertEqual(response.headers["x-outcome"], "done")
            self.assert_healthy("entry-0")

        run_async(test)

    def test_large_request_arrives_complete(self) -> None:
        """Guards against request bodies that are altered or truncated on the way to the runner."""

        async def test() -> None:
            body = b"".join(b"%07d;" % index for index in range(250_000))
            response = await call(self._get_callers_port(), "POST", "/services/web/read", body=body)
            self.assertEqual(response.headers["x-outcome"], "done")
            self.assertEqual(response.json()["body"].encode(), body)

        run_async(test)

    def test_large_request_that_is_truncated_does_not_run(self) -> None:
        """Guards against a runner that processes the received part of a truncated request."""

        async def test() -> None:
            head = (
                "POST /services/web/read HTTP/1.1\r\nhost: x\r\nx-request-id: cut\r\n"
                "idempotency-key: cut\r\ncontent-length: 2000000\r\n\r\n"
            )
            async with await anyio.connect_tcp("127.0.0.1", self._get_callers_port()) as stream:
                await stream.send(head.encode() + b"x" * 1_000_000)
                await anyio.sleep(0.5)
            await anyio.sleep(0.5)
            for worker in self.cluster.workers.values():
                runs = (await call(worker.ports["api"], "GET", "/runs")).json()
                self.assertEqual(runs["requests"].get("cut", 0), 0)
            response = await call(self._get_callers_port(), "POST", "/services/web/read")
            self.assertEqual(response.headers["x-outcome"], "done")
            self.assert_healthy("entry-0")

        run_async(test)
