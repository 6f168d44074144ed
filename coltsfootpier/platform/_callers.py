"""Bodies of callers' requests: jobs that are handed in, and the answers about them."""

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
    """Return whether a text has the form of a job's identifier: 16 hexadecimal digits."""
    return _JOB_ID.match(text) is not None


def decode_job(body: bytes) -> Result[JobSpec, str]:
    """Decode the body of a request that hands a job in.

    Returns
    -------
    Result of JobSpec or str
        A failure says what is wrong with the body.
    """
    try:
        value = orjson.loads(body)
    except ValueError:
        return Failure("the body isn't JSON")
    try:
        spec = JobSpec(
            payload=_text(value, "spec"),
            steps=tuple(_decode_step(step) for step in value["steps"]),
            occurrences=_whole(value, "repeat_count"),
            first_due_unix_ms=_number(value, "start_at_ms"),
            interval_ms=_number(value, "interval_ms"),
        )
    except KeyError as error:
        return Failure(f"{error.args[0]} is missing")
    except (AttributeError, TypeError, ValueError) as error:
        return Failure(str(error))
    fault = find_job_error(spec)
    return Failure(fault) if fault else Success(spec)


def _decode_step(value: dict[str, Any]) -> StepSpec:
    return StepSpec(
        count=_whole(value, "count"),
        cpu_milli=_whole(value, "cpu"),
        memory_mb=_whole(value, "mem_mb"),
        gpus=_whole(value, "gpu"),
        estimate_ms=_number(value, "estimate_ms"),
        after=tuple(_check_whole("after", number) for number in value.get("after", ())),
        checkpointed=_flag(value, "checkpointed"),
        gang=_flag(value, "gang"),
        same_rack=_flag(value, "same_rack"),
        required_label=_text(value, "required_label"),
        # The rack where the data is.
        rack_affinity=_text(value, "affinity"),
        max_per_runner=_whole(value, "max_per_server"),
        speculative=_flag(value, "speculative"),
        long_running=_flag(value, "long_running"),
        image=_text(value, "image"),
        latency_target_ms=_number(value, "target_ms"),
        fills=_flag(value, "fills"),
        may_miss=_whole(value, "may_miss"),
    )


def _check_whole(name: str, found: Any) -> int:
    if isinstance(found, bool) or not isinstance(found, int):
        raise TypeError(f"{name} is {found!r}, allowed: a whole number")
    return found


def _whole(value: dict[str, Any], name: str) -> int:
    return _check_whole(name, value.get(name, 0))


def _number(value: dict[str, Any], name: str) -> float:
    found = value.get(name, 0.0)
    if isinstance(found, bool) or not isinstance(found, int | float) or not math.isfinite(found):
        raise TypeError(f"{name} is {found!r}, allowed: a number")
    return float(found)


def _flag(value: dict[str, Any], name: str) -> bool:
    found = value.get(name, False)
    if not isinstance(found, bool):
        raise TypeError(f"{name} is {found!r}, allowed: true or false")
    return found


def _text(value: dict[str, Any], name: str) -> str:
    found = value.get(name, "")
    if not isinstance(found, str):
        raise TypeError(f"{name} is {found!r}, allowed: a text")
    return found


def encode_state(state: JobState) -> bytes:
    """Encode the answer about one job."""
    return orjson.dumps({"state": state.value})


def encode_pending(count: int) -> bytes:
    """Encode the answer about a queue: accepted jobs for which no task has started."""
    return orjson.dumps({"pending": count})
