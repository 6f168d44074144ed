"""Bodies of callers' requests about jobs and queues, and of the responses to them."""

from __future__ import annotations

import re
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.jobs import JobSpec, JobState, StepSpec, find_job_error
from coltsfootpier.platform._fields import (
    MAX_INTEGER,
    MAX_TIME_MS,
    InvalidFieldError,
    describe,
    read_list,
    require_object,
)

# Request header with the time in ms within which the caller needs the response.
DEADLINE_HEADER = b"deadline-ms"
_JOB_ID = re.compile(r"[0-9a-f]{16}")


def is_job_id(text: str) -> bool:
    """Return whether a string has the form of a job identifier: 16 hexadecimal digits."""
    return _JOB_ID.fullmatch(text) is not None


def decode_job(body: bytes) -> Result[JobSpec, str]:
    """Decode the body of a request that submits a job.

    Returns
    -------
    Result of JobSpec or str
        A failure describes the first error in the body.
    """
    try:
        fields = orjson.loads(body)
    except ValueError:
        return Failure("the body isn't JSON")
    if not isinstance(fields, dict):
        return Failure("the body isn't an object")
    try:
        spec = JobSpec(
            payload=_get_str(fields, "spec"),
            steps=tuple(map(_decode_step, read_list(fields, "steps"))),
            occurrences=_get_int(fields, "repeat_count"),
            first_due_unix_ms=_get_float(fields, "start_at_ms"),
            interval_ms=_get_float(fields, "interval_ms"),
        )
    except InvalidFieldError as error:
        return Failure(str(error))
    job_error = find_job_error(spec)
    return Failure(job_error) if job_error else Success(spec)


def _decode_step(value: Any) -> StepSpec:
    fields = require_object("a step", value)
    return StepSpec(
        count=_get_int(fields, "count"),
        cpu_milli=_get_int(fields, "cpu"),
        memory_mb=_get_int(fields, "mem_mb"),
        gpus=_get_int(fields, "gpu"),
        estimate_ms=_get_float(fields, "estimate_ms"),
        after=tuple(
            sorted({_require_int("after", number) for number in read_list(fields, "after", [])})
        ),
        checkpointed=_get_bool(fields, "checkpointed"),
        gang=_get_bool(fields, "gang"),
        same_rack=_get_bool(fields, "same_rack"),
        required_label=_get_str(fields, "required_label"),
        # The rack that holds the data of the step.
        rack_affinity=_get_str(fields, "affinity"),
        max_per_runner=_get_int(fields, "max_per_server"),
        speculative=_get_bool(fields, "speculative"),
        long_running=_get_bool(fields, "long_running"),
        image=_get_str(fields, "image"),
        latency_target_ms=_get_float(fields, "target_ms"),
        fills=_get_bool(fields, "fills"),
        may_miss=_get_int(fields, "may_miss"),
    )


def _require_int(name: str, value: Any) -> int:
    if type(value) is not int or abs(value) > MAX_INTEGER:
        raise InvalidFieldError(f"{name} is {describe(value)}, allowed: a whole number")
    return value


def _get_int(fields: dict[str, Any], name: str) -> int:
    return _require_int(name, fields.get(name, 0))


def _get_float(fields: dict[str, Any], name: str) -> float:
    value = fields.get(name, 0.0)
    if type(value) not in (int, float) or not abs(value) <= MAX_TIME_MS:
        raise InvalidFieldError(f"{name} is {describe(value)}, allowed: a number")
    return float(value)


def _get_bool(fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise InvalidFieldError(f"{name} is {describe(value)}, allowed: true or false")
    return value


def _get_str(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name, "")
    if not isinstance(value, str):
        raise InvalidFieldError(f"{name} is {describe(value)}, allowed: a text")
    return value


def encode_state(state: JobState) -> bytes:
    """Encode the response with the state of a job."""
    return orjson.dumps({"state": state.value})


def encode_pending(count: int) -> bytes:
    """Encode the response with the number of a queue's accepted jobs without a started task."""
    return orjson.dumps({"pending": count})
