"""Definitions of the daemon's settings with their units and bounds."""

from __future__ import annotations

from typing import Any

import attrs
from returns.result import Failure, Result, Success

from coltsfootpier import _ini
from coltsfootpier.exceptions import Problem
from coltsfootpier.node import CallerLimits
from coltsfootpier.platform import DEFAULT_MEMORY_MB
from coltsfootpier.transport import MAX_UNREAD_BYTES, ConnectionLimits, compute_budget_bytes

SECTIONS: dict[str, tuple[_ini.Key, ...]] = {
    "daemon": (
        _ini.text("name", description="Name of the entry VM, unique in the region."),
        _ini.text("availability_zone", description="Availability zone of the entry VM."),
        _ini.text("region", default="default", description="Region of the entry VM."),
    ),
    "listen": (
        _ini.address("callers", description="Address for requests of callers."),
        _ini.address("peers", description="Address for the other daemons."),
        _ini.address("operators", description="Address for operators, health and metrics."),
    ),
    "peers": (
        _ini.addresses(
            "seeds",
            default=(),
            description="Peers' addresses (IP:PORT) to ask when the platform can't be reached.",
        ),
    ),
    "platform": (
        _ini.address("address", description="Address of the platform's key-value service."),
        _ini.number(
            "timeout_ms",
            minimum=50,
            maximum=10_000,
            default=1_000,
            unit="ms",
            description="Time allowed for one call of the platform.",
        ),
    ),
    "periods": (
        _ini.number(
            "member_lease_ms",
            minimum=1_000,
            maximum=60_000,
            default=6_000,
            unit="ms",
            description="Time to live of the daemon's lease; bounds how long partitions of a "
            "dead daemon have no owner.",
        ),
        _ini.number(
            "member_renew_ms",
            minimum=200,
            maximum=20_000,
            default=2_000,
            unit="ms",
            description="Time between renewals of the daemon's lease.",
        ),
        _ini.number(
            "heartbeat_ms",
            minimum=100,
            maximum=10_000,
            default=1_000,
            unit="ms",
            description="Time between heartbeats to each peer.",
        ),
        _ini.number(
            "worker_sync_ms",
            minimum=100,
            maximum=10_000,
            default=1_000,
            unit="ms",
            description="Time between exchanges with each worker.",
        ),
        _ini.number(
            "worker_lease_ms",
            minimum=2_000,
            maximum=600_000,
            default=20_000,
            unit="ms",
            description="Lease of a task on its worker.",
        ),
        _ini.number(
            "hold_over_ms",
            minimum=0,
            maximum=86_400_000,
            default=1_800_000,
            unit="ms",
            description="How long batch and exclusive tasks are renewed while the store can't "
            "be reached.",
        ),
        _ini.number(
            "dispatch_ms",
            minimum=50,
            maximum=5_000,
            default=250,
            unit="ms",
            description="Time between decisions of the dispatcher.",
        ),
        _ini.number(
            "record_ms",
            minimum=10,
            maximum=2_000,
            default=100,
            unit="ms",
            description="Changes of a shard record within this time share one write.",
        ),
        _ini.number(
            "drain_delay_ms",
            minimum=0,
            maximum=120_000,
            default=1_000,
            unit="ms",
            description="Time between not ready and closing the callers' address on a stop.",
        ),
        _ini.number(
            "drain_limit_ms",
            minimum=0,
            maximum=600_000,
            default=60_000,
            unit="ms",
            description="Longest wait for requests in flight on a stop, answers that callers "
            "read slowly included.",
        ),
    ),
    "bounds": (
        _ini.number(
            "request_body_bytes",
            minimum=1_024,
            maximum=100_000_000,
            default=1_000_000,
            unit="bytes",
            description="Largest body of a caller's request.",
        ),
        _ini.number(
            "answer_body_bytes",
            minimum=1_024,
            maximum=100_000_000,
            default=8_000_000,
            unit="bytes",
            description="Largest body of a runner's answer.",
        ),
        _ini.number(
            "caller_connections",
            minimum=1,
            maximum=100_000,
            default=2_000,
            unit="connections",
            description="Open connections of callers, and at most half of the process's file "
            "descriptors.",
        ),
        _ini.number(
            "memory_mb",
            minimum=50,
            maximum=1_000_000,
            default=200,
            unit="MB",
            description="Memory of the process. A quarter of it, or less if less is free, bounds "
            "what all connections of clients use, and must hold two bodies of request_body_bytes.",
        ),
        _ini.number(
            "queue_length",
            minimum=0,
            maximum=100_000,
            default=256,
            unit="requests",
            description="Requests of one service that may wait for a slot.",
        ),
        _ini.number(
            "entry_vms",
            minimum=1,
            maximum=200,
            default=7,
            unit="VMs",
            description="Most entry VMs at once; divides the connections of a runner.",
        ),
        _ini.number(
            "default_deadline_ms",
            minimum=10,
            maximum=600_000,
            default=5_000,
            unit="ms",
            description="Deadline of a request that names none.",
        ),
    ),
    "permits": (
        _ini.number(
            "window_ms",
            minimum=1_000,
            maximum=86_400_000,
            default=600_000,
            unit="ms",
            description="How long a key is remembered; a request with a key must end within it.",
        ),
        _ini.number(
            "hold_over_ms",
            minimum=0,
            maximum=604_800_000,
            default=21_600_000,
            unit="ms",
            description="How long a daemon without a valid lease goes on granting permits, and "
            "how long a lost daemon is assumed to do so.",
        ),
        _ini.number(
            "group_records",
            minimum=16,
            maximum=8_192,
            default=8_192,
            unit="records",
            description="Most records of one of the 16 key groups; further keys are refused.",
        ),
        _ini.number(
            "copy_timeout_ms",
            minimum=10,
            maximum=10_000,
            default=500,
            unit="ms",
            description="Time allowed for a peer to acknowledge a copy before the next is asked.",
        ),
    ),
}


@attrs.frozen
class Settings:
    """Validated settings with one dictionary per section.

    Parameters
    ----------
    daemon, listen, peers, platform, periods, bounds, permits : dict
        Converted values by key name; ``SECTIONS`` defines the keys and their units.
    """

    daemon: dict[str, Any]
    listen: dict[str, Any]
    peers: dict[str, Any]
    platform: dict[str, Any]
    periods: dict[str, Any]
    bounds: dict[str, Any]
    permits: dict[str, Any]


def parse_settings(source: str, content: str) -> Result[Settings, tuple[Problem, ...]]:
    """Parse and validate the settings of a daemon.

    Parameters
    ----------
    source : str
        File name used in error messages.
    content : str
        INI text.

    Returns
    -------
    Result of Settings or tuple of Problem
        The settings with defaults filled in, or every problem that was found.
    """
    parsed = _ini.parse_sections(source, content)
    if isinstance(parsed, Failure):
        return parsed
    sections = parsed.unwrap()
    problems = [
        Problem(
            source=source, section=name, key="", found=name, allowed=_ini.suggest(name, SECTIONS)
        )
        for name in sections
        if name not in SECTIONS
    ]
    values: dict[str, dict[str, Any]] = {}
    for name, keys in SECTIONS.items():
        values[name], section_problems = _ini.convert_section(
            source, name, sections.get(name, {}), keys
        )
        problems += section_problems
    if not problems:
        problems += _check_lease_periods(source, values["periods"])
        problems += _check_memory(source, values["bounds"])
    return Failure(tuple(problems)) if problems else Success(Settings(**values))


def _check_lease_periods(source: str, periods: dict[str, Any]) -> list[Problem]:
    # A lease must outlast two lost renewals, so that a single slow call doesn't lose it.
    key_pairs = (("member_lease_ms", "member_renew_ms"), ("worker_lease_ms", "worker_sync_ms"))
    return [
        Problem(
            source=source,
            section="periods",
            key=lease_key,
            found=str(periods[lease_key]),
            allowed=f"at least three times {period_key} ({periods[period_key]})",
        )
        for lease_key, period_key in key_pairs
        if periods[lease_key] < 3 * periods[period_key]
    ]


def _check_memory(source: str, bounds: dict[str, Any]) -> list[Problem]:
    # A body that is received, and a second one, must not make its connection exceed the bound.
    largest = compute_budget_bytes(bounds["memory_mb"]) // 2
    if bounds["request_body_bytes"] <= largest:
        return []
    return [
        Problem(
            source=source,
            section="bounds",
            key="request_body_bytes",
            found=str(bounds["request_body_bytes"]),
            allowed=f"at most {largest}, an eighth of memory_mb ({bounds['memory_mb']})",
        )
    ]


def format_settings(settings: Settings) -> str:
    """Format the settings as INI text, with the description and bounds of each key."""
    lines: list[str] = []
    for name, keys in SECTIONS.items():
        lines.append(f"[{name}]")
        values = getattr(settings, name)
        for key in keys:
            value = values[key.name]
            lines += [
                f"# {key.description} Allowed: {key.allowed}.",
                f"{key.name} = {_format_value(value)}",
            ]
        lines.append("")
    return "\n".join(lines)


def format_settings_page() -> str:
    """Format the reference page ``docs/settings.md`` from the definitions."""
    lines = [
        "# Settings",
        "",
        "Generated from the definitions by `python -m coltsfootpier.settings`; a test compares.",
    ]
    for name, keys in SECTIONS.items():
        lines += ["", f"## [{name}]", "", "| key | default | allowed | unit | meaning |"]
        lines.append("|---|---|---|---|---|")
        for key in keys:
            default = "required" if key.required else _format_value(key.default) or "empty"
            unit = key.unit or "-"
            lines.append(
                f"| `{key.name}` | {default} | {key.allowed} | {unit} | {key.description} |"
            )
    lines += ["", *_format_connection_limits(), "", *_format_node_limits()]
    return "\n".join(lines) + "\n"


def _format_connection_limits() -> list[str]:
    defaults = ConnectionLimits()
    return [
        "## Limits of each connection",
        "",
        "They apply at every port of `coltsfootpierd` and `coltsfootpier.node` and have no key, "
        "except where the last section names one. `connections_closed_LIMIT` counts the "
        "connections that a limit closes, `connections_slowed_LIMIT` those that it slows down.",
        "",
        "| limit | value | unit | effect |",
        "|---|---|---|---|",
        f"| `header_bytes` | {defaults.max_header_bytes} | bytes | A longer header closes the "
        "connection. |",
        f"| `trailer_bytes` | {defaults.max_header_bytes} | bytes | Longer trailers and chunk "
        "extensions of one request close the connection. |",
        f"| `header_timeout` | {defaults.header_timeout_ms:.0f} | ms | A header that takes longer "
        "closes the connection. |",
        f"| `idle` | {defaults.idle_timeout_ms:.0f} | ms | A connection without a request for this "
        "time is closed. |",
        f"| `unread_body` | {defaults.idle_timeout_ms:.0f} | ms | A body that continues for this "
        "time after the response closes the connection. |",
        f"| `write_timeout` | {defaults.write_timeout_ms:.0f} | ms | A client that reads nothing "
        "of a waiting response for this time is disconnected. |",
        "| `pipelined` | 1 | requests | Nothing more is parsed or read while this number of "
        "requests waits behind the one that is processed. |",
        "| `unread` | an eighth of the memory for all connections that a port may have, 4,096 to "
        f"{MAX_UNREAD_BYTES:,} each | bytes | The kernel receives no more for a connection until "
        "the process reads; the client waits. |",
        "| `process_bytes` | a quarter of the memory, or what is free of seven eighths | bytes | "
        "If all connections together use more, also in the kernel, those that use most are "
        "closed; below 64 KB each, those whose clients send ahead or don't read. |",
        "| `connections` | a part of the descriptors, and as many as fit into `process_bytes` | "
        "connections | A new connection takes the place of the one that has waited for its client "
        "for longest. |",
    ]


def _format_node_limits() -> list[str]:
    limits = CallerLimits()
    return [
        "## Limits of coltsfootpier.node",
        "",
        "The platform's settings file and the `limits` of the store key `op/config` set them.",
        "",
        "| key | default | unit | meaning |",
        "|---|---|---|---|",
        f"| `memory_mb` in `[limits]` | {DEFAULT_MEMORY_MB} | MB | Memory of the process. A "
        "quarter of it, or less if less is free, bounds what all connections of clients use, also "
        "in the kernel. Jobs may take at most a quarter of it, or of the 200 MB of the smallest "
        "entry VM, and those with a schedule half of that; further ones are rejected (`memory`). "
        "Needs a restart. |",
        "| `max_fds` in `[limits]` | required | descriptors | File descriptors of the process. A "
        "quarter of them bounds the connections of callers, a half those of other daemons, and a "
        "64th each those of the readiness check and of the metrics. Needs a restart. |",
        f"| `max_header_bytes` | {limits.max_header_bytes} | bytes | `header_bytes` and "
        "`trailer_bytes` at the callers' port. |",
        f"| `max_body_bytes` | {limits.max_body_bytes} | bytes | Largest body of a caller's "
        "request. |",
        f"| `header_timeout_ms` | {limits.header_timeout_ms:.0f} | ms | `header_timeout` at the "
        "callers' port. |",
        f"| `idle_timeout_ms` | {limits.idle_timeout_ms:.0f} | ms | `idle` and `unread_body` at "
        "the callers' port. |",
    ]


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        is_address = len(value) == 2 and isinstance(value[1], int)
        return f"{value[0]}:{value[1]}" if is_address else ", ".join(value)
    return str(value)
