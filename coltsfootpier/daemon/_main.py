"""Command-line interface of ``coltsfootpierd``."""

from __future__ import annotations

import signal
import socket
import sys
from pathlib import Path

import anyio
from absl import app, flags
from returns.result import Failure

from coltsfootpier import logs
from coltsfootpier.daemon._daemon import Daemon
from coltsfootpier.settings import Settings, format_settings, parse_settings
from coltsfootpier.transport import bind

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_INVALID = 3

_FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "Path of the settings file (INI).")
flags.DEFINE_bool("check", False, "Check the settings, print the effective ones and exit.")


async def _serve(settings: Settings, listeners: dict[str, socket.socket]) -> None:
    daemon = Daemon(settings=settings, listeners=listeners)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, daemon)
        await daemon.run()
        group.cancel_scope.cancel()


async def _stop_on_signal(daemon: Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            daemon.stop()


def _run(_: list[str]) -> int:
    if not _FLAGS.settings:
        print("coltsfootpierd: --settings FILE is required", file=sys.stderr)
        return EXIT_USAGE
    path = Path(_FLAGS.settings)
    try:
        content = path.read_text()
    except OSError as error:
        print(f"coltsfootpierd: {path}: {error.strerror}", file=sys.stderr)
        return EXIT_INVALID
    except UnicodeDecodeError:
        print(f"coltsfootpierd: {path}: not UTF-8 text", file=sys.stderr)
        return EXIT_INVALID
    read = parse_settings(str(path), content)
    if isinstance(read, Failure):
        for problem in read.failure():
            print(problem, file=sys.stderr)
        return EXIT_INVALID
    settings = read.unwrap()
    if _FLAGS.check:
        print(format_settings(settings), end="")
        return 0
    listeners: dict[str, socket.socket] = {}
    for endpoint, (host, port) in settings.listen.items():
        bound = bind(host, port)
        if isinstance(bound, Failure):
            error = bound.failure()
            print(
                f"coltsfootpierd: [listen] {endpoint}: {error.address}: {error.reason}",
                file=sys.stderr,
            )
            return EXIT_FAILURE
        listeners[endpoint] = bound.unwrap()
    logs.configure(identity={"daemon": settings.daemon["name"]})
    anyio.run(_serve, settings, listeners, backend_options={"use_uvloop": True})
    return 0


def _parse_flags(arguments: list[str]) -> list[str]:
    try:
        return _FLAGS(arguments)
    except flags.Error as error:
        print(f"coltsfootpierd: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def main() -> None:
    """Run the daemon with the flags of the command line."""
    app.run(_run, flags_parser=_parse_flags)
