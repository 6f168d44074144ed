"""Store values that operators write (configuration, waves) or read (status of waves)."""

from __future__ import annotations

from typing import Any

import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.jobs import Queue
from coltsfootpier.maintenance import Wave
from coltsfootpier.node import CallerLimits, Configuration, Route

CONFIG_KEY = "op/config"
WAVES_PREFIX = "op/wave/"
_WAVE_STATUS_PREFIX = "status/wave/"


def decode_configuration(body: bytes) -> Result[Configuration, str]:
    """Decode the configuration.

    Returns
    -------
    Result of Configuration or str
        A failure describes what could not be decoded; the previous configuration then stays in
        force.
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
    """Return the limits set by a configuration; limits that it omits have their defaults."""
    types = {
        "max_header_bytes": int,
        "max_body_bytes": int,
        "header_timeout_ms": float,
        "idle_timeout_ms": float,
    }
    return CallerLimits(
        **{name: field_type(value[name]) for name, field_type in types.items() if name in value}
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
            # The route's objective is the constant part of the objective of each of its jobs.
            objective_ms=float(value.get("slo_ms", 0.0)),
            needs_advice=bool(value.get("advice")),
        ),
    )


def decode_wave(body: bytes) -> Result[Wave, str]:
    """Decode an operator's request for a maintenance wave.

    Returns
    -------
    Result of Wave or str
        A failure describes what could not be decoded.
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
                # A limit of 0 would block the wave forever.
                max_down=max(1, int(value["max_count"])),
            )
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Failure(f"not a maintenance wave: {error!r}")


def encode_wave_status(number: int, *, completed: bool) -> tuple[str, bytes]:
    """Return the key and the value that report the state of a wave to operators."""
    state = "completed" if completed else "running"
    return f"{_WAVE_STATUS_PREFIX}{number}", orjson.dumps({"state": state})
