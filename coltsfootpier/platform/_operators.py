"""What operators write into the store, and what they read there."""

from __future__ import annotations

from typing import Any

import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.jobs import Queue
from coltsfootpier.node import CallerLimits, Configuration, Route
from coltsfootpier.upkeep import Wave

CONFIG_KEY = "op/config"
WAVES_PREFIX = "op/wave/"
_WAVE_STATUS_PREFIX = "status/wave/"


def decode_configuration(body: bytes) -> Result[Configuration, str]:
    """Decode the newest configuration.

    Returns
    -------
    Result of Configuration or str
        A failure says what could not be read; the configuration before stays in force then.
    """
    try:
        value = orjson.loads(body)
        return Success(
            Configuration(
                version=int(value["version"]),
                routes=tuple(_decode_route(route) for route in value["routes"]),
                limits=_decode_limits(value.get("limits", {})),
            )
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Failure(f"not a configuration: {error!r}")


def _decode_limits(value: dict[str, Any]) -> CallerLimits:
    """Return the limits that a configuration names; the others have their defaults."""
    kinds = {
        "max_header_bytes": int,
        "max_body_bytes": int,
        "header_timeout_ms": float,
        "idle_timeout_ms": float,
    }
    return CallerLimits(
        **{name: kind(value[name]) for name, kind in kinds.items() if name in value}
    )


def _decode_route(value: dict[str, Any]) -> Route:
    return Route(
        host=value["host"].lower(),
        prefix=value["prefix"],
        timeout_ms=float(value.get("timeout_ms", 3_000.0)),
        queue=Queue(
            name=value["name"],
            service=value["service"],
            priority=int(value.get("priority", 0)),
            max_attempts=max(1, int(value.get("max_attempts", 1))),
            stretch=float(value.get("stretch", 1.0)),
            # The objective of the route is the constant part of a job's objective.
            objective_ms=float(value.get("slo_ms", 0.0)),
            needs_advice=bool(value.get("advice")),
        ),
    )


def decode_wave(body: bytes) -> Result[Wave, str]:
    """Decode a request for the upkeep of worker VMs.

    Returns
    -------
    Result of Wave or str
        A failure says what could not be read.
    """
    try:
        value = orjson.loads(body)
        vms = value["machines"]
        if not isinstance(vms, list) or not all(isinstance(vm, str) for vm in vms):
            return Failure(f"not a list of VMs: {vms!r}")
        return Success(
            Wave(
                number=int(value["wave"]),
                vms=tuple(vms),
                duration_ms=1_000.0 * float(value["duration_s"]),
                # At least one VM has to be down for the wave to be possible at all.
                max_down=max(1, int(value["max_count"])),
            )
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Failure(f"not a wave of upkeep: {error!r}")


def encode_wave_status(number: int, *, completed: bool) -> tuple[str, bytes]:
    """Return the key and the value that tell operators how a wave stands."""
    state = "completed" if completed else "running"
    return f"{_WAVE_STATUS_PREFIX}{number}", orjson.dumps({"state": state})
