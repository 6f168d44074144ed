"""Frame of a review case: record, time limit, exit code, and rules judged from run histories."""

from __future__ import annotations

import os
import signal
import sys
import time
import traceback
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

import anyio
import orjson

from coltsfootpier.platform import CONFIG_KEY
from standins.histories import RunRecord
from standins.nodes import HOST, Nodes

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# The whole case, with start and end of its processes.
_TIME_LIMIT_S = 105.0


class Case:
    """One run of a case.

    Parameters
    ----------
    folder : Path
        Folder of the case, in which `record.txt` is written.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption is played; ``TROUBLE=0`` leaves it out.
    """

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.nodes = Nodes()
        self._path = folder / "record.txt"
        self._path.write_text("")
        self._start_s = time.monotonic()
        self.violations: list[str] = []

    def record(self, text: str) -> None:
        """Append a line with the time since the start of the case."""
        line = f"{time.monotonic() - self._start_s:8.3f} {text}"
        with self._path.open("a") as stream:
            stream.write(line + "\n")
        print(line, flush=True)

    def add_violation(self, rule: str, text: str) -> None:
        """Record a broken rule."""
        self.violations.append(text)
        self.record(f"BROKEN {rule}: {text}")

    async def put_configuration(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write the operators' configuration."""
        services = [{"name": "web", "admission_check": False}]
        value = {"version": version, "routes": routes, "services": services, "limits": {}}
        await self.nodes.put_value(CONFIG_KEY, orjson.dumps(value))
        names = [route["name"] for route in routes]
        self.record(f"operator: op/config version {version} acknowledged, routes {names}")

    async def request(
        self, node: str, method: str, name: str, body: Any = None, *, show: bool = True
    ) -> Any:
        """Send a caller's request and record it with its response."""
        response = await self.nodes.request(node, method, name, body)
        status = "no response" if response is None else response.status
        if show:
            text = "" if response is None else response.body.decode(errors="replace")[:120]
            self.record(f"caller: {method} {name} at {node} -> {status} {text}")
        return response

    async def submit(self, node: str, job_id: str, body: dict[str, Any]) -> bool:
        """Submit a job as a caller that tries again, and return whether it was accepted."""
        for _ in range(10):
            response = await self.request(node, "POST", job_id, body)
            if response is not None and response.status == 200:
                return True
            await anyio.sleep(0.5)
        return False

    async def wait_state(self, node: str, job_id: str, timeout_s: float) -> str:
        """Wait for a final state of a job; return the last state that was shown."""
        end_s, state = time.monotonic() + timeout_s, ""
        while time.monotonic() < end_s:
            response = await self.nodes.request(node, "GET", job_id)
            if response is not None and response.status == 200:
                state = response.json()["state"]
                if state in ("completed", "failed", "cancelled"):
                    break
            await anyio.sleep(0.2)
        self.record(f"caller: GET {job_id} at {node} -> state {state!r}")
        return state

    def record_runs(self, records: Iterable[RunRecord], limit: int = 400) -> None:
        """Append the runs that the runners saw, at most `limit` of them."""
        rows = sorted(records, key=lambda row: (row.task, row.begin_ms))
        self.record(f"runners: {len(rows)} runs, of which {min(len(rows), limit)} follow")
        zero_ms = min((row.begin_ms for row in rows), default=0.0)
        lines = []
        for row in rows[:limit]:
            end = "-" if row.end_ms is None else f"{row.end_ms - zero_ms:.0f}"
            how = row.how or "running"
            noted = "-" if row.acknowledged_ms is None else f"{row.acknowledged_ms - zero_ms:.0f}"
            lines.append(
                f"         {row.task} attempt {row.attempt} token {row.token} on {row.runner}"
                f" born {row.born}: {row.begin_ms - zero_ms:.0f} to {end} ms, {how},"
                f" observed at {noted}{', lease lapsed' * row.lapsed}{', lost' * row.lost}\n"
            )
        with self._path.open("a") as stream:
            stream.writelines(lines)


def group_by_task(records: Iterable[RunRecord]) -> dict[str, list[RunRecord]]:
    """Return the runs of each task in the order of their starts."""
    by_task: dict[str, list[RunRecord]] = defaultdict(list)
    for row in sorted(records, key=lambda row: row.begin_ms):
        by_task[row.task].append(row)
    return by_task


def make_route(name: str = "r-1", **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration that `Nodes.request` reaches."""
    route = {
        "name": name,
        "host": HOST,
        "prefix": "/p/",
        "timeout_ms": 3_000,
        "slo_ms": 60_000,
        "priority": 0,
        "service": "web",
        "max_attempts": 4,
        "stretch": 3.0,
    }
    return {**route, **changes}


def main(file: str, play: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case and exit with its result.

    `play` records violations; it raises an error if the case couldn't run.
    """
    case = Case(Path(file).resolve().parent)
    # Ends the processes also when the case itself is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    code = EXIT_NOT_RUN

    async def run() -> None:
        with anyio.fail_after(_TIME_LIMIT_S):
            await play(case)

    try:
        case.record(f"case starts, trouble {'on' if case.has_trouble else 'off'}")
        anyio.run(run)
        code = EXIT_BROKEN if case.violations else EXIT_HELD
    except Exception:
        case.record("the case couldn't run\n" + traceback.format_exc()[-1_500:])
    finally:
        if logs := os.environ.get("REVIEW_LOGS"):
            case.nodes.save_logs(Path(logs))
        case.nodes.close()
        words = {EXIT_HELD: "the rule held", EXIT_BROKEN: "the rule was broken"}
        case.record(f"case ends: {words.get(code, 'not run')}, {len(case.violations)} violations")
    sys.exit(code)
