"""Bodies of callers' requests: submitted jobs, and the responses about them."""

from __future__ import annotations

import math
import re
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.jobs import JobSpec, JobState, StepSpec, find_job_error

DEADLINE_HEADER = b"deadline-ms"
_JOB_ID = re.compile(r"^[0-9a-f]{16}$")


def is_job_id(text: str) -> bool:
    """Return whether a string has the form of a job identifier: 16 hexadecimal digits."""
    return _JOB_ID.match(text) is not None


def decode_job(body: bytes) -> Result[JobSpec, str]:
    """Decode the body of a request that submits a job.

    Returns
    -------
    Result of JobSpec or str
        A failure describes the first error in the body.
    """
    try:
        value = orjson.loads(body)
    except ValueError:
        return Failure("the body isn't JSON")
    try:
        spec = JobSpec(
            payload=_get_str(value, "spec"),
            steps=tuple(_decode_step(step) for step in value["steps"]),
            occurrences=_get_int(value, "repeat_count"),
            first_due_unix_ms=_get_float(value, "start_at_ms"),
            interval_ms=_get_float(value, "interval_ms"),
        )
    except KeyError as error:
        return Failure(f"{error.args[0]} is missing")
    except (AttributeError, TypeError, ValueError) as error:
        return Failure(str(error))
    fault = find_job_error(spec)
    return Failure(fault) if fault else Success(spec)


def _decode_step(value: dict[str, Any]) -> StepSpec:
    return StepSpec(
        count=_get_int(value, "count"),
        cpu_milli=_get_int(value, "cpu"),
        memory_mb=_get_int(value, "mem_mb"),
        gpus=_get_int(value, "gpu"),
        estimate_ms=_get_float(value, "estimate_ms"),
        after=tuple(_check_int("after", number) for number in value.get("after", ())),
        checkpointed=_get_bool(value, "checkpointed"),
        gang=_get_bool(value, "gang"),
        same_rack=_get_bool(value, "same_rack"),
        required_label=_get_str(value, "required_label"),
        # The rack that holds the data of the step.
        rack_affinity=_get_str(value, "affinity"),
        max_per_runner=_get_int(value, "max_per_server"),
        speculative=_get_bool(value, "speculative"),
        long_running=_get_bool(value, "long_running"),
        image=_get_str(value, "image"),
        latency_target_ms=_get_float(value, "target_ms"),
        fills=_get_bool(value, "fills"),
        may_miss=_get_int(value, "may_miss"),
    )


def _check_int(name: str, found: Any) -> int:
    if isinstance(found, bool) or not isinstance(found, int):
        raise TypeError(f"{name} is {found!r}, allowed: a whole number")
    return found


def _get_int(value: dict[str, Any], name: str) -> int:
    return _check_int(name, value.get(name, 0))


def _get_float(value: dict[str, Any], name: str) -> float:
    found = value.get(name, 0.0)
    if isinstance(found, bool) or not isinstance(found, int | float) or not math.isfinite(found):
        raise TypeError(f"{name} is {found!r}, allowed: a number")
    return float(found)


def _get_bool(value: dict[str, Any], name: str) -> bool:
    found = value.get(name, False)
    if not isinstance(found, bool):
        raise TypeError(f"{name} is {found!r}, allowed: true or false")
    return found


def _get_str(value: dict[str, Any], name: str) -> str:
    found = value.get(name, "")
    if not isinstance(found, str):
        raise TypeError(f"{name} is {found!r}, allowed: a text")
    return found


def encode_state(state: JobState) -> bytes:
    """Encode the response about one job."""
    return orjson.dumps({"state": state.value})


def encode_pending(count: int) -> bytes:
    """Encode the response about a queue: number of accepted jobs without a started task."""
    return orjson.dumps({"pending": count})
