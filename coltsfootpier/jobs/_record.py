"""Record of a job in the store."""

from __future__ import annotations

from collections.abc import MutableSet

import attrs
import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.exceptions import ColtsfootpierError
from coltsfootpier.jobs._model import JobSpec, JobState, Queue, TaskKey, find_job_error
from coltsfootpier.jobs._task_set import TaskSet
from coltsfootpier.transport import MalformedMessageError, decode, unstructure


class RecordError(ColtsfootpierError):
    """A record in the store can't be decoded."""


@attrs.define(kw_only=True)
class JobRecord:
    """Durable state of a job, which outlives its owner.

    Parameters
    ----------
    id : str
        Identifier that the caller chose.
    queue : str
        Name of the queue.
    service : str
        Service of the queue.
    accepted_unix_ms : float
        Unix time in ms at which the job was accepted.
    state : JobState
        A final state, or `JobState.QUEUED` for any other: whether a task has started is known only
        to the owner and the runners.
    spec : JobSpec, optional
        None once the state is final, which keeps records of ended jobs small.
    done : MutableSet of TaskKey
        Tasks that have completed.
    failures : dict of TaskKey to set of int
        Numbers of the failed attempts of each task. A runner reports an ended run until it is
        acknowledged, so a later owner may see it again; the numbers keep it from being counted
        twice.
    queue_values : Queue, optional
        The queue in the newest configuration that named it, since a successor may find it removed.
        None in a record of an earlier release, and once the state is final.
    queue_version : int
        Version of that configuration, or of an earlier one with the same values.
    """

    id: str
    queue: str
    service: str
    accepted_unix_ms: float
    state: JobState = JobState.QUEUED
    spec: JobSpec | None = None
    done: MutableSet[TaskKey] = attrs.field(factory=set)
    failures: dict[TaskKey, set[int]] = attrs.field(factory=dict)
    queue_values: Queue | None = None
    queue_version: int = 0


def encode_record(record: JobRecord) -> bytes:
    """Encode a record for the store.

    Examples
    --------
    >>> record = JobRecord(id="a", queue="q", service="s", accepted_unix_ms=1.0)
    >>> decode_record(encode_record(record)).unwrap() == record
    True
    """
    value: dict[str, object] = {
        "id": record.id,
        "queue": record.queue,
        "service": record.service,
        "accepted": record.accepted_unix_ms,
        "state": record.state.value,
    }
    if record.spec is not None:
        value["spec"] = unstructure(record.spec)
        value["done"] = (
            record.done.list_rows()
            if isinstance(record.done, TaskSet)
            else sorted(map(tuple, record.done))
        )
        value["failures"] = [[*key, sorted(attempts)] for key, attempts in record.failures.items()]
        if record.queue_values is not None:
            value["queue_values"] = _encode_queue(record.queue_values, record.queue_version)
    return orjson.dumps(value)


def decode_record(body: bytes) -> Result[JobRecord, RecordError]:
    """Decode a record from the store; return a `RecordError` if it is malformed."""
    try:
        value = orjson.loads(body)
        spec = None if value.get("spec") is None else _decode_spec(value["spec"])
        done = map(_decode_key, value.get("done", ()))
        queue, version = _decode_queue(value)
        return Success(
            JobRecord(
                id=decode(value["id"], str),
                queue=decode(value["queue"], str),
                service=decode(value["service"], str),
                accepted_unix_ms=decode(value["accepted"], float),
                state=JobState(value["state"]),
                spec=spec,
                done=set(done) if spec is None else TaskSet(spec, done),
                failures={
                    _decode_key(key): decode(attempts, set[int])
                    for *key, attempts in value.get("failures", ())
                },
                queue_values=queue,
                queue_version=version,
            )
        )
    except (
        MalformedMessageError,
        AttributeError,
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        return Failure(RecordError(f"malformed job record: {error!r}"))


def _decode_spec(value: object) -> JobSpec:
    """Decode a specification, whose numbers size what an owner allocates."""
    spec = decode(value, JobSpec)
    error = find_job_error(spec)
    if error:
        raise ValueError(error)
    return spec


def _decode_key(value: list[object]) -> TaskKey:
    # Without the generic decoder, since a record may have 20,000 keys.
    occurrence, step, index = value
    if type(occurrence) is not int or type(step) is not int or type(index) is not int:
        raise ValueError(f"task key {value!r}, allowed: three whole numbers")
    return TaskKey(occurrence, step, index)


def _encode_queue(queue: Queue, version: int) -> list[object]:
    """Encode what a record doesn't hold elsewhere, as a row without names to keep records small."""
    return [
        version,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.objective_ms,
        int(queue.needs_advice),
    ]


def _decode_queue(value: dict[str, object]) -> tuple[Queue | None, int]:
    """Return the queue in a record and its version; None for a record of an earlier release."""
    row = value.get("queue_values")
    if row is None:
        return None, 0
    version, priority, max_attempts, stretch, objective_ms, needs_advice = decode(
        row, tuple[int, int, int, float, float, int]
    )
    queue = Queue(
        name=decode(value["queue"], str),
        service=decode(value["service"], str),
        priority=priority,
        max_attempts=max_attempts,
        stretch=stretch,
        objective_ms=objective_ms,
        needs_advice=bool(needs_advice),
    )
    return queue, version
