"""Bad input to real processes: typed errors, nothing lost, no traceback."""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import anyio
import orjson

from standins.cluster import call, wait_for
from tests.clusters import DECLARATION_TEXT, ClusterTestCase, run_async

_HEAD = (
    "POST /services/web/write HTTP/1.1\r\nhost: x\r\nidempotency-key: k\r\n"
    "x-deadline-ms: 1500\r\ncontent-length: 100\r\n\r\n"
)


async def _send_raw(port: int, data: bytes, *, close: bool) -> bytes:
    """Send bytes, end or hold the connection, and return what comes back."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(data)
        if close:
            await stream.send_eof()
        with anyio.move_on_after(10):
            try:
                while True:
                    received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
    return received


class BadInputTest(ClusterTestCase):
    async def _call(self, target: str, **options) -> tuple[int, str, str]:
        port = self.cluster.daemons["entry-0"].ports["callers"]
        answer = await call(port, "POST", target, **options)
        self.assertIsNotNone(answer)
        problem = answer.json().get("error", "")
        return answer.status, answer.headers.get("x-outcome", ""), problem

    async def _check_serving(self) -> None:
        async def served() -> bool:
            return (await self._call("/services/web/read"))[:2] == (200, "done")

        await wait_for(served, timeout_s=20)
        self.assert_unharmed("entry-0")

    def test_requests_of_callers(self) -> None:
        """Guards against untyped outcomes and tracebacks for mistakes of callers."""

        async def test() -> None:
            for target, options, expected in (
                ("/services/none/read", {}, (404, "refused", "unknown_service")),
                ("/nothing", {}, (404, "refused", "unknown_service")),
                (
                    "/services/web/read",
                    {"headers": {"X-Deadline-Ms": "nan"}},
                    (400, "refused", "bad_request"),
                ),
                (
                    "/services/web/read",
                    {"headers": {"X-Deadline-Ms": "soon"}},
                    (400, "refused", "bad_request"),
                ),
                (
                    "/services/web/read",
                    {"body": b"x" * 1_100_000},
                    (413, "refused", "body_too_large"),
                ),
            ):
                with self.subTest(target=target, options=str(options)[:60]):
                    self.assertEqual(await self._call(target, **options), expected)
            await self._check_serving()

        run_async(test)

    def test_path_is_passed_on_as_it_was_sent(self) -> None:
        """Guards against a decoded path, which HTTP refuses or which means something else."""

        async def test() -> None:
            port = self.cluster.daemons["entry-0"].ports["callers"]
            answer = await call(port, "POST", "/services/web/read/a%20b%3Fc?d=%26")
            self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(answer.json()["path"], "/read/a b?c")

        run_async(test)

    def test_body_that_ends_early_or_stalls(self) -> None:
        """Guards against a request that is held open for ever by a body that never ends."""

        async def test() -> None:
            port = self.cluster.daemons["entry-0"].ports["callers"]
            await _send_raw(port, _HEAD.encode() + b"x" * 10, close=True)
            answer = await _send_raw(port, _HEAD.encode() + b"x" * 10, close=False)
            self.assertIn(b" 408 ", answer.split(b"\r\n")[0])
            self.assertIn(b"x-outcome: refused", answer)

            async def nothing_in_flight() -> bool:
                return await self.read_gauge("entry-0", "in_flight_requests") == 0

            await wait_for(nothing_in_flight, timeout_s=10)
            await self._check_serving()

        run_async(test)

    def test_rubbish_from_peers(self) -> None:
        """Guards against a daemon that ends because a peer sends what no peer may send."""

        async def test() -> None:
            port = self.cluster.daemons["entry-0"].ports["peers"]
            member = {"id": "x.1.1", "name": "x", "availability_zone": "z", "peers_address": "?"}
            for name, body, status in (
                ("heartbeat", b"\x00rubbish", 400),
                ("heartbeat", b"[]", 400),
                ("heartbeat", orjson.dumps({"member": member, "revision": 0}), 200),
                ("revision", b'{"revision": 1e400}', 400),
                ("exchange", b"{}", 400),
                ("nothing", b"{}", 404),
            ):
                with self.subTest(name=name, body=body):
                    answer = await call(port, "POST", f"/peer/v1/{name}", body=body)
                    self.assertEqual(answer.status, status)
            await anyio.sleep(1.5)
            await self._check_serving()

        run_async(test)

    def test_rubbish_from_the_platform(self) -> None:
        """Guards against a daemon that ends, or loses its state, over a platform's rubbish."""

        async def test() -> None:
            await self.cluster.set_faults(self.cluster.platform, rubbish=True)
            await anyio.sleep(2)
            await self._check_serving()
            await self.cluster.set_faults(self.cluster.platform)
            await self.put_in_force(DECLARATION_TEXT.format(runners=2))
            await self._check_serving()

        run_async(test)

    def test_texts_of_operators(self) -> None:
        """Guards against a traceback, or an unknown outcome, for a text that is refused."""

        async def test() -> None:
            operators = self.cluster.daemons["entry-0"].ports["operators"]
            port = f"--daemon=127.0.0.1:{operators}"
            folder = self.cluster.folder
            (folder / "typo.ini").write_text("[service web]\nrunnners = 3\n")
            (folder / "binary.ini").write_bytes(b"\xff\xfe\x00")
            large = "".join(f"# {'x' * 1_000}\n" for _ in range(1_100))
            (folder / "large.ini").write_text(DECLARATION_TEXT.format(runners=2) + large)
            for arguments, code in (
                (("apply", str(folder / "typo.ini"), port), 3),
                (("apply", str(folder / "binary.ini"), port), 3),
                (("apply", str(folder / "large.ini"), port), 3),
                (("apply", str(folder / "absent.ini"), port), 1),
                (("status", "--daemon=nonsense"), 2),
                (("status", "--daemon=127.0.0.1:99999"), 2),
                (("status", "--daemon=127.0.0.1:1"), 1),
                (("status", "--timeout=soon"), 2),
                (("status", "--nonsense"), 2),
                (("nonsense",), 2),
                (("status", f"--daemon=127.0.0.1:{self.cluster.platform.ports['api']}"), 1),
            ):
                with self.subTest(arguments=arguments):
                    result = self.cluster.run_tool(*arguments)
                    self.assertEqual(result.returncode, code, result.stderr)
                    self.assertTrue(result.stderr.strip())
                    self.assertNotIn("Traceback", result.stderr)
            body = orjson.dumps({"text": "[nonsense", "base": 0, "token": "t"})
            answer = await call(operators, "POST", "/v1/apply", body=body)
            self.assertEqual((answer.status, answer.json()["outcome"]), (422, "invalid"))
            await self._check_serving()

        run_async(test)


class SettingsTest(unittest.TestCase):
    def test_mistakes_in_settings(self) -> None:
        """Guards against a traceback for a mistake in the settings or the arguments."""
        taken = socket.socket()
        self.addCleanup(taken.close)
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        settings = (
            "[daemon]\nname = a\navailability_zone = z\n[platform]\naddress = 127.0.0.1:1\n"
            "[listen]\ncallers = {callers}\npeers = 127.0.0.1:0\noperators = 127.0.0.1:0\n"
        )
        good = settings.format(callers="127.0.0.1:0").encode()
        for content, arguments, code in (
            (good + b"[periods]\nheartbeat = 3\n", (), 3),
            (good + b"[peers]\nseeds = entry-1\n", (), 3),
            (settings.format(callers="localhost:http").encode(), (), 3),
            (settings.format(callers="256.0.0.1:0").encode(), (), 3),
            (b"\xff\xfe", (), 3),
            (b"name = a\n", (), 3),
            (settings.format(callers=f"127.0.0.1:{taken.getsockname()[1]}").encode(), (), 1),
            (good, ("--nonsense",), 2),
        ):
            with self.subTest(content=content[-40:], arguments=arguments):
                result = self._start(content, arguments)
                self.assertEqual(result.returncode, code, result.stderr)
                self.assertTrue(result.stderr.strip())
                self.assertNotIn("Traceback", result.stderr)

    @staticmethod
    def _start(content: bytes, arguments: tuple[str, ...]) -> subprocess.CompletedProcess:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.ini"
            path.write_bytes(content)
            command = [sys.executable, "-m", "coltsfootpier.daemon", f"--settings={path}"]
            return subprocess.run(
                [*command, *arguments], capture_output=True, text=True, timeout=30, check=False
            )
