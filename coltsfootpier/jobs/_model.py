"""Jobs, steps and queues in the project's own terms."""

from __future__ import annotations

import enum
from typing import NamedTuple

import attrs

# Bounds of one job. They keep the record of a job well below the store's largest value (1 MB)
# and one job from taking the memory of an entry VM.
MAX_STEPS = 64
MAX_TASKS_PER_STEP = 5_000
MAX_TASKS = 20_000
MAX_OCCURRENCES = 1_000
MAX_PAYLOAD_BYTES = 4_000


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job never changes its state again."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class TaskKey(NamedTuple):
    """Place of a task within its job: occurrence, step and index in the step."""

    occurrence: int
    step: int
    index: int


@attrs.frozen(kw_only=True)
class StepSpec:
    """One step of a job: tasks that are alike.

    Parameters
    ----------
    count : int
        Number of tasks.
    cpu_milli : int
        Processor demand of one task in thousandths of a core.
    memory_mb : int
        Memory of one task.
    gpus : int
        Accelerators of one task.
    estimate_ms : float
        Declared duration of one task; often wrong by half or more.
    after : tuple of int
        Earlier steps whose tasks must all be done before.
    checkpointed : bool
        Whether tasks save their progress.
    gang : bool
        Whether the tasks work only while all of them are present.
    same_rack : bool
        Whether the tasks are slow when they are spread over racks.
    required_label : str
        Label that the runner must have; empty for none.
    rack_affinity : str
        Rack where the data is; tasks are slow elsewhere. Empty for none.
    max_per_runner : int
        Most tasks of one occurrence of the step on one runner; 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel.
    long_running : bool
        Whether tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    latency_target_ms : float
        Limit for the tail latency of what the task serves; 0 for none.
    fills : bool
        Whether the tasks use only capacity that others leave unused.
    may_miss : int
        Tasks of a long-running step that the system may take away at the same time.
    """

    count: int
    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    checkpointed: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    rack_affinity: str = ""
    max_per_runner: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0


@attrs.frozen(kw_only=True)
class JobSpec:
    """What a caller hands in.

    Parameters
    ----------
    payload : str
        Opaque text that is passed to each task.
    steps : tuple of StepSpec
        At least one step.
    occurrences : int
        Number of times that the steps run; 0 for a job without a schedule, which runs once.
    first_due_unix_ms : float
        Time at which the first occurrence is due, since 1970.
    interval_ms : float
        Time between occurrences.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_unix_ms: float = 0.0
    interval_ms: float = 0.0

    @property
    def runs(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.occurrences)

    def due_unix_ms(self, occurrence: int) -> float:
        """Return the time since 1970 before which an occurrence must not start."""
        if not self.occurrences:
            return 0.0
        return self.first_due_unix_ms + occurrence * self.interval_ms


@attrs.frozen(kw_only=True)
class Queue:
    """A kind of job with its service and objectives, from the configuration.

    Parameters
    ----------
    name : str
        Name of the queue.
    service : str
        Service whose runners run the tasks.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Failed runs of one task after which its job has failed.
    stretch : float
        Objective as a multiple of the job's longest chain of work.
    objective_ms : float
        Constant part of the objective.
    needs_advice : bool
        Whether the queue's policy has to approve the runners of each step.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: float = 0.0
    needs_advice: bool = False


def find_job_error(spec: JobSpec) -> str:
    """Return why a job can't be taken, or an empty text.

    Parameters
    ----------
    spec : JobSpec
        What a caller handed in.

    Examples
    --------
    >>> find_job_fault(JobSpec(payload="", steps=(StepSpec(count=0),)))
    'step 0: count 0, allowed: 1 to 5000'
    >>> find_job_fault(JobSpec(payload="", steps=(StepSpec(count=1, after=(0,)),)))
    'step 0: after 0, allowed: earlier steps'
    """
    if len(spec.payload.encode("utf-8", "replace")) > MAX_PAYLOAD_BYTES:
        return f"payload over {MAX_PAYLOAD_BYTES} bytes"
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        return f"{len(spec.steps)} steps, allowed: 1 to {MAX_STEPS}"
    if not 0 <= spec.occurrences <= MAX_OCCURRENCES:
        return f"{spec.occurrences} occurrences, allowed: 0 to {MAX_OCCURRENCES}"
    for number, step in enumerate(spec.steps):
        fault = _find_step_fault(number, step)
        if fault:
            return f"step {number}: {fault}"
    tasks = sum(step.count for step in spec.steps) * spec.runs
    return f"{tasks} tasks, allowed: 1 to {MAX_TASKS}" if tasks > MAX_TASKS else ""


def _find_step_fault(number: int, step: StepSpec) -> str:
    if not 1 <= step.count <= MAX_TASKS_PER_STEP:
        return f"count {step.count}, allowed: 1 to {MAX_TASKS_PER_STEP}"
    for earlier in step.after:
        if not 0 <= earlier < number:
            return f"after {earlier}, allowed: earlier steps"
    for name in ("cpu_milli", "memory_mb", "gpus", "estimate_ms", "max_per_runner", "may_miss"):
        if getattr(step, name) < 0:
            return f"{name} {getattr(step, name)}, allowed: 0 or more"
    return ""
