"""Command line of the daemon of an entry VM."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import anyio
import attrs
from absl import app, flags
from returns.result import Failure

from coltsfootpier import logs
from coltsfootpier.cells import CellSettings
from coltsfootpier.clock import MonotonicClock
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.node._daemon import Daemon
from coltsfootpier.node._settings import NodeSettings
from coltsfootpier.platform import SETTINGS_VARIABLE, read_node_settings

EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_ADDRESS = 4


async def _serve(settings: NodeSettings, path: Path) -> int:
    daemon = Daemon(settings=settings, cell_settings=CellSettings())
    watch = SettingsWatch(path=path, on_change=daemon.reload)
    async with anyio.create_task_group() as group:
        group.start_soon(_handle_signals, daemon, watch)
        group.start_soon(watch.run)
        error = await daemon.run()
        group.cancel_scope.cancel()
    return 0 if error is None else EXIT_ADDRESS


async def _handle_signals(daemon: Daemon, watch: SettingsWatch) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for received_signal in signals:
            if received_signal == signal.SIGHUP:
                watch.check_file()
            else:
                daemon.stop()


class SettingsWatch:
    """Watcher that reloads the settings file when it changes, with or without a signal.

    Parameters
    ----------
    path : Path
        The settings file.
    on_change : callable
        Called with the new settings when the file has changed and can be read.
    """

    def __init__(self, *, path: Path, on_change: Callable[[NodeSettings], None]) -> None:
        self._path = path
        self._on_change = on_change
        self._content = self._read_content()

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            await anyio.sleep(_timing.SETTINGS_PERIOD_MS / 1000)
            self.check_file()

    def check_file(self) -> None:
        """Reload the file if it has changed; if it can't be read, the previous settings stay."""
        content = self._read_content()
        if content is None or content == self._content:
            return
        self._content = content
        read = read_node_settings(self._path)
        if isinstance(read, Failure):
            log_event("cannot read settings", reason=read.failure())
            return
        self._on_change(read.unwrap())

    def _read_content(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError as error:
            log_event("cannot read settings", reason=str(error))
            return None


def _run(_: list[str]) -> int:
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"coltsfootpier.node: {SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return EXIT_USAGE
    read = read_node_settings(Path(path))
    if isinstance(read, Failure):
        print(f"coltsfootpier.node: {read.failure()}", file=sys.stderr)
        return EXIT_INVALID
    settings = read.unwrap()
    if flags.FLAGS.check:
        for group, origin in ((settings, path), (CellSettings(), "default")):
            for name, value in attrs.asdict(group).items():
                print(f"{name} = {value!r}  # {origin}")
        return 0
    writer = logs.BoundedWriter(descriptor=sys.stdout.fileno(), clock=MonotonicClock())
    logs.configure(writer=writer, identity={"vm": settings.name})
    return anyio.run(_serve, settings, Path(path), backend_options={"use_uvloop": True})


def main() -> None:
    """Run the daemon."""
    # Defined here and not at import time, because `coltsfootpier.daemon` defines a flag of the same
    # name.
    flags.DEFINE_bool("check", False, "Check the settings, print the effective ones and exit.")
    app.run(_run)
