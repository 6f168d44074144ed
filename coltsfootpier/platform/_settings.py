"""Reader of the settings file (TOML) that the platform writes for each process."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from coltsfootpier.node import NodeSettings
from coltsfootpier.transport import split_address

SETTINGS_VARIABLE = "COLTSFOOTPIER_CONFIG"


def read_node_settings(path: Path) -> Result[NodeSettings, str]:
    """Read the settings of this process.

    Returns
    -------
    Result of NodeSettings or str
        A failure names the file, the key and the invalid value.
    """
    try:
        settings = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure(f"{path}: {error}")
    try:
        return Success(_decode_settings(settings))
    except KeyError as error:
        return Failure(f"{path}: {error.args[0]} is missing")
    except (AttributeError, IndexError, TypeError, ValueError) as error:
        return Failure(f"{path}: {error}")


def _decode_settings(settings: dict[str, Any]) -> NodeSettings:
    bounds, limits, listen = settings["bounds"], settings["limits"], settings["listen"]
    vm_service = settings.get("cloud_api", {})
    return NodeSettings(
        name=settings["node_name"],
        availability_zone=settings["zone"],
        ip=settings["ip"],
        callers=split_address(listen["front"]),
        readiness=split_address(listen["ready"]),
        # The ports of this range are reserved for this system on every entry VM.
        peer_port=int(settings["internal_ports"][0]),
        metrics_port=int(settings["internal_ports"][0]) + 1,
        store=split_address(settings["platform"]["address"]),
        advice=split_address(settings["advice"]) if settings.get("advice") else None,
        vm_service=split_address(vm_service["address"]) if vm_service.get("address") else None,
        min_lease_ms=float(settings["platform"]["ttl_min_ms"]),
        cores=float(limits["cpu_share"]) * float(limits.get("cores", 1)),
        max_files=int(limits["max_fds"]),
        max_run_lease_ms=float(bounds["hold_max_ms"]),
        stop_grace_ms=float(bounds["stop_grace_ms"]),
        exit_grace_ms=1_000.0 * float(bounds["grace_s"]),
        restore_ms=float(bounds.get("restore_ms", 0.0)),
        status_kept_ms=1_000.0 * float(bounds["status_s"]),
        upkeep_ms=1_000.0 * float(bounds.get("maintenance_s", 0.0)),
        order_pause_ms=float(bounds.get("lease_ms", 0.0)),
    )
