"""Store entries that operators write (configuration, waves, evacuations) or read (wave status)."""

from __future__ import annotations

from typing import Any

import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.jobs import Queue
from coltsfootpier.maintenance import Wave
from coltsfootpier.node import CallerLimits, Configuration, Route
from coltsfootpier.platform._fields import (
    MAX_TIME_MS,
    InvalidFieldError,
    read_int,
    read_list,
    read_number,
    read_object,
    read_text,
    require_object,
    require_text,
)

CONFIG_KEY = "op/config"
WAVES_PREFIX = "op/wave/"
EVACUATIONS_PREFIX = "op/evacuate/"
_WAVE_STATUS_PREFIX = "status/wave/"
_MAX_PREFIX_BYTES = 2_048
_MAX_WAVE_S = MAX_TIME_MS / 1_000


def decode_configuration(body: bytes) -> Result[Configuration, str]:
    """Decode the configuration.

    Returns
    -------
    Result of Configuration or str
        A failure describes what could not be decoded; the previous configuration then stays in
        force.
    """
    try:
        fields = require_object("the configuration", orjson.loads(body))
        return Success(
            Configuration(
                version=read_int(fields, "version"),
                routes=tuple(map(_decode_route, read_list(fields, "routes"))),
                limits=_decode_limits(read_object(fields, "limits", {})),
            )
        )
    except (InvalidFieldError, ValueError) as error:
        return Failure(f"not a configuration: {error}")


def _decode_limits(fields: dict[str, Any]) -> CallerLimits:
    """Return the limits set by a configuration; limits that it omits have their defaults."""
    readers = {
        "max_header_bytes": read_int,
        "max_body_bytes": read_int,
        "header_timeout_ms": read_number,
        "idle_timeout_ms": read_number,
    }
    return CallerLimits(
        **{name: read(fields, name) for name, read in readers.items() if name in fields}
    )


def _decode_route(value: Any) -> Route:
    fields = require_object("a route", value)
    return Route(
        host=read_text(fields, "host").lower(),
        prefix=read_text(fields, "prefix", max_bytes=_MAX_PREFIX_BYTES),
        timeout_ms=read_number(fields, "timeout_ms", default=3_000),
        queue=Queue(
            name=read_text(fields, "name"),
            service=read_text(fields, "service"),
            priority=read_int(fields, "priority", default=0),
            max_attempts=max(1, read_int(fields, "max_attempts", default=1)),
            stretch=read_number(fields, "stretch", default=1),
            # The route's objective is the constant part of the objective of each of its jobs.
            objective_ms=read_number(fields, "slo_ms", default=0),
            needs_advice=bool(fields.get("advice")),
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
        fields = require_object("the wave", orjson.loads(body))
        return Success(
            Wave(
                number=read_int(fields, "wave"),
                vms=tuple(require_text("a VM", vm) for vm in read_list(fields, "machines")),
                duration_ms=1_000.0 * read_number(fields, "duration_s", high=_MAX_WAVE_S),
                # A limit of 0 would block the wave forever.
                max_down=max(1, read_int(fields, "max_count")),
            )
        )
    except (InvalidFieldError, ValueError) as error:
        return Failure(f"not a maintenance wave: {error}")


def decode_evacuated_zone(key: str) -> Result[str, str]:
    """Decode the availability zone that a key under `EVACUATIONS_PREFIX` requests to evacuate.

    The key is the request; its value isn't interpreted.

    Returns
    -------
    Result of str or str
        A failure describes why the key names no zone.

    Examples
    --------
    >>> decode_evacuated_zone("op/evacuate/zone-a").unwrap()
    'zone-a'
    """
    zone = key.removeprefix(EVACUATIONS_PREFIX)
    if not zone:
        return Failure("not an evacuation: the zone is empty")
    try:
        return Success(require_text("the zone", zone))
    except InvalidFieldError as error:
        return Failure(f"not an evacuation: {error}")


def encode_wave_status(number: int, *, completed: bool) -> tuple[str, bytes]:
    """Return the key and the value that report the state of a wave to operators."""
    state = "completed" if completed else "running"
    return f"{_WAVE_STATUS_PREFIX}{number}", orjson.dumps({"state": state})
