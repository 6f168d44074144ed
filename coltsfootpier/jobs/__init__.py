"""Jobs that callers submit, which consist of steps of tasks, and the stored record of each job."""

from coltsfootpier.jobs._model import (
    JobSpec,
    JobState,
    Queue,
    StepSpec,
    TaskKey,
    find_job_error,
)
from coltsfootpier.jobs._record import JobRecord, RecordError, decode_record, encode_record
from coltsfootpier.jobs._task_set import TaskSet

__all__ = [
    "JobRecord",
    "JobSpec",
    "JobState",
    "Queue",
    "RecordError",
    "StepSpec",
    "TaskKey",
    "TaskSet",
    "decode_record",
    "encode_record",
    "find_job_error",
]
