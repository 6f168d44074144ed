"""Process tests of invalid input: typed errors, no lost state and no traceback."""

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

_REQUEST_HEAD = (
    "POST /services/web/write HTTP/1.1\r\nhost: x\r\nidempotency-key: k\r\n"
    "x-deadline-ms: 1500\r\ncontent-length: 100\r\n\r\n"
)


async def _send_raw(port: int, data: bytes, *, close: bool) -> bytes:
    """Send bytes and return what is received until the peer closes or 10 s have passed.

    With `close`, the sending side of the connection is closed after the bytes.
    """
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


class InvalidInputTest(ClusterTestCase):
    """Invalid input of callers, peers, the platform and operators."""

    async def _send_request(self, target: str, **options) -> tuple[int, str, str]:
        """Return the status, the outcome and the error code of the response."""
        port = self.cluster.daemons["entry-0"].ports["callers"]
        response = await call(port, "POST", target, **options)
        self.assertIsNotNone(response)
        error = response.json().get("error", "")
        return response.status, response.headers.get("x-outcome", ""), error

    async def _check_serving(self) -> None:
        """Check that the daemon still serves requests and has logged no traceback."""

        async def is_served() -> bool:
            return (await self._send_request("/services/web/read"))[:2] == (200, "done")

        await wait_for(is_served, timeout_s=20)
        self.assert_healthy("entry-0")

    def test_invalid_requests_of_callers(self) -> None:
        """Guards against untyped outcomes and tracebacks for invalid requests of callers."""

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
                    self.assertEqual(await self._send_request(target, **options), expected)
            await self._check_serving()

        run_async(test)

    def test_path_is_forwarded_unchanged(self) -> None:
        """Guards against forwarding a decoded path, which may be invalid or mean another path."""

        async def test() -> None:
            port = self.cluster.daemons["entry-0"].ports["callers"]
            response = await call(port, "POST", "/services/web/read/a%20b%3Fc?d=%26")
            self.assertEqual(response.status, 200, response.body)
            self.assertEqual(response.json()["path"], "/read/a b?c")

        run_async(test)

    def test_incomplete_and_stalled_bodies(self) -> None:
        """Guards against a request that stays open indefinitely because its body never ends."""

        async def test() -> None:
            port = self.cluster.daemons["entry-0"].ports["callers"]
            await _send_raw(port, _REQUEST_HEAD.encode() + b"x" * 10, close=True)
            response = await _send_raw(port, _REQUEST_HEAD.encode() + b"x" * 10, close=False)
            self.assertIn(b" 408 ", response.split(b"\r\n")[0])
            self.assertIn(b"x-outcome: refused", response)

            async def has_no_requests_in_flight() -> bool:
                return await self.read_metric("entry-0", "in_flight_requests") == 0

            await wait_for(has_no_requests_in_flight, timeout_s=10)
            await self._check_serving()

        run_async(test)

    def test_malformed_messages_of_peers(self) -> None:
        """Guards against a daemon that exits on malformed or unexpected messages of a peer."""

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
                    response = await call(port, "POST", f"/peer/v1/{name}", body=body)
                    self.assertEqual(response.status, status)
            await anyio.sleep(1.5)
            await self._check_serving()

        run_async(test)

    def test_malformed_responses_of_platform(self) -> None:
        """Guards against a daemon that exits or loses state on malformed platform responses."""

        async def test() -> None:
            await self.cluster.set_faults(self.cluster.platform, rubbish=True)
            await anyio.sleep(2)
            await self._check_serving()
            await self.cluster.set_faults(self.cluster.platform)
            await self.apply_declaration(DECLARATION_TEXT.format(runners=2))
            await self._check_serving()

        run_async(test)

    def test_invalid_operator_input(self) -> None:
        """Guards against a traceback, a wrong exit code or an untyped outcome for bad input."""

        async def test() -> None:
            operators_port = self.cluster.daemons["entry-0"].ports["operators"]
            daemon_flag = f"--daemon=127.0.0.1:{operators_port}"
            folder = self.cluster.folder
            (folder / "typo.ini").write_text("[service web]\nrunnners = 3\n")
            (folder / "binary.ini").write_bytes(b"\xff\xfe\x00")
            large = "".join(f"# {'x' * 1_000}\n" for _ in range(1_100))
            (folder / "large.ini").write_text(DECLARATION_TEXT.format(runners=2) + large)
            for arguments, exit_code in (
                (("apply", str(folder / "typo.ini"), daemon_flag), 3),
                (("apply", str(folder / "binary.ini"), daemon_flag), 3),
                (("apply", str(folder / "large.ini"), daemon_flag), 3),
                (("apply", str(folder / "absent.ini"), daemon_flag), 1),
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
                    self.assertEqual(result.returncode, exit_code, result.stderr)
                    self.assertTrue(result.stderr.strip())
                    self.assertNotIn("Traceback", result.stderr)
            body = orjson.dumps({"text": "[nonsense", "base": 0, "token": "t"})
            response = await call(operators_port, "POST", "/v1/apply", body=body)
            self.assertEqual((response.status, response.json()["outcome"]), (422, "invalid"))
            await self._check_serving()

        run_async(test)


class DaemonStartTest(unittest.TestCase):
    """Starts of a daemon that must fail."""

    def test_invalid_settings_and_arguments(self) -> None:
        """Guards against a traceback or a wrong exit code for invalid settings or arguments."""
        occupied_socket = socket.socket()
        self.addCleanup(occupied_socket.close)
        occupied_socket.bind(("127.0.0.1", 0))
        occupied_socket.listen()
        settings_text = (
            "[daemon]\nname = a\navailability_zone = z\n[platform]\naddress = 127.0.0.1:1\n"
            "[listen]\ncallers = {callers}\npeers = 127.0.0.1:0\noperators = 127.0.0.1:0\n"
        )
        valid_content = settings_text.format(callers="127.0.0.1:0").encode()
        for content, arguments, exit_code in (
            (valid_content + b"[periods]\nheartbeat = 3\n", (), 3),
            (valid_content + b"[peers]\nseeds = entry-1\n", (), 3),
            (settings_text.format(callers="localhost:http").encode(), (), 3),
            (settings_text.format(callers="256.0.0.1:0").encode(), (), 3),
            (b"\xff\xfe", (), 3),
            (b"name = a\n", (), 3),
            (
                settings_text.format(
                    callers=f"127.0.0.1:{occupied_socket.getsockname()[1]}"
                ).encode(),
                (),
                1,
            ),
            (valid_content, ("--nonsense",), 2),
        ):
            with self.subTest(content=content[-40:], arguments=arguments):
                result = self._run_daemon(content, arguments)
                self.assertEqual(result.returncode, exit_code, result.stderr)
                self.assertTrue(result.stderr.strip())
                self.assertNotIn("Traceback", result.stderr)

    @staticmethod
    def _run_daemon(content: bytes, arguments: tuple[str, ...]) -> subprocess.CompletedProcess:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.ini"
            path.write_bytes(content)
            command = [sys.executable, "-m", "coltsfootpier.daemon", f"--settings={path}"]
            return subprocess.run(
                [*command, *arguments], capture_output=True, text=True, timeout=30, check=False
            )
