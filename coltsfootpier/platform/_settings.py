"""Reader of the settings file (TOML) that the platform writes for each process."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from coltsfootpier.node import NodeSettings
from coltsfootpier.platform._fields import (
    MAX_TIME_MS,
    InvalidFieldError,
    describe,
    read_int,
    read_list,
    read_number,
    read_object,
    read_text,
    require_int,
)
from coltsfootpier.transport import MAX_PORT, is_address, split_address

SETTINGS_VARIABLE = "COLTSFOOTPIER_CONFIG"
# Memory limit of the smallest entry VMs, for settings files without the limit.
DEFAULT_MEMORY_MB = 200
_MAX_TIME_S = MAX_TIME_MS / 1_000


def read_node_settings(path: Path) -> Result[NodeSettings, str]:
    """Read the settings of this process.

    Returns
    -------
    Result of NodeSettings or str
        A failure names the file, the key and the invalid value.
    """
    try:
        return Success(_decode_settings(tomllib.loads(path.read_text())))
    # Deep nesting and very long numbers raise other errors of the parser than `TOMLDecodeError`.
    except (InvalidFieldError, OSError, RecursionError, ValueError) as error:
        return Failure(f"{path}: {error}")


def _decode_settings(settings: dict[str, Any]) -> NodeSettings:
    bounds = read_object(settings, "bounds")
    limits = read_object(settings, "limits")
    listen = read_object(settings, "listen")
    platform = read_object(settings, "platform")
    vm_service = read_object(settings, "cloud_api", {})
    # The ports of this range are reserved for this system on every entry VM.
    ports = read_list(settings, "internal_ports")
    if not ports:
        raise InvalidFieldError("internal_ports is empty")
    peer_port = require_int("internal_ports", ports[0], 1, MAX_PORT - 1)
    return NodeSettings(
        name=read_text(settings, "node_name"),
        availability_zone=read_text(settings, "zone"),
        ip=read_text(settings, "ip"),
        callers=_read_address(listen, "front"),
        readiness=_read_address(listen, "ready"),
        peer_port=peer_port,
        metrics_port=peer_port + 1,
        store=_read_address(platform, "address"),
        advice=_read_address(settings, "advice") if settings.get("advice") else None,
        vm_service=_read_address(vm_service, "address") if vm_service.get("address") else None,
        min_lease_ms=read_number(platform, "ttl_min_ms"),
        cores=read_number(limits, "cpu_share") * read_number(limits, "cores", default=1),
        memory_mb=read_int(limits, "memory_mb", low=1, default=DEFAULT_MEMORY_MB),
        max_files=read_int(limits, "max_fds"),
        max_run_lease_ms=read_number(bounds, "hold_max_ms"),
        stop_grace_ms=read_number(bounds, "stop_grace_ms"),
        exit_grace_ms=1_000.0 * read_number(bounds, "grace_s", high=_MAX_TIME_S),
        restore_ms=read_number(bounds, "restore_ms", default=0),
        status_kept_ms=1_000.0 * read_number(bounds, "status_s", high=_MAX_TIME_S),
        upkeep_ms=1_000.0 * read_number(bounds, "maintenance_s", high=_MAX_TIME_S, default=0),
        order_pause_ms=read_number(bounds, "lease_ms", default=0),
    )


def _read_address(fields: dict[str, Any], name: str) -> tuple[str, int]:
    text = read_text(fields, name)
    if not is_address(text):
        raise InvalidFieldError(f"{name} is {describe(text)}, allowed: HOST:PORT")
    return split_address(text)
