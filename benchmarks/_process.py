"""Processor time and memory of the processes that a benchmark starts."""

from __future__ import annotations

import os
from pathlib import Path

import anyio
import attrs

_CLOCK_TICK_MS = 1000 / os.sysconf("SC_CLK_TCK")
_KB_PER_MB = 1024


@attrs.frozen
class Usage:
    """Resource use of a process over a time window.

    Parameters
    ----------
    cpu_ms_per_s : float
        User and system time, in milliseconds of processor time per second of the window.
    memory_mb : float
        Resident memory at the end of the window, in MB.
    """

    cpu_ms_per_s: float
    memory_mb: float


def read_cpu_ms(pid: int) -> float:
    """Return the user and system time of a process in milliseconds (resolution 10 ms)."""
    # The command name can contain spaces and parentheses, so the fields after it are counted from
    # its closing parenthesis: `utime` and `stime` are at positions 11 and 12.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _CLOCK_TICK_MS


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0


async def measure_usage(pid: int, *, window_s: float) -> Usage:
    """Measure the resource use of a process over the next `window_s` seconds."""
    cpu_before_ms = read_cpu_ms(pid)
    await anyio.sleep(window_s)
    return Usage((read_cpu_ms(pid) - cpu_before_ms) / window_s, read_memory_mb(pid))
