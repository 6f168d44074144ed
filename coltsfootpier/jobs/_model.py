"""Data model of jobs, steps and queues."""

from __future__ import annotations

import enum
from typing import NamedTuple

import attrs

# Limits of one job. They keep the record of a job well below the store's maximum value size (1 MB)
# and prevent one job from exhausting the memory of an entry VM.
MAX_STEPS = 64
MAX_TASKS_PER_STEP = 5_000
MAX_TASKS = 20_000
MAX_OCCURRENCES = 1_000
MAX_PAYLOAD_BYTES = 4_000


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class TaskKey(NamedTuple):
    """Identifier of a task within its job: numbers of the occurrence, step and task."""

    occurrence: int
    step: int
    index: int


@attrs.frozen(kw_only=True)
class StepSpec:
    """Step of a job, which consists of identical tasks.

    Parameters
    ----------
    count : int
        Number of tasks.
    cpu_milli : int
        CPU demand of one task in thousandths of a core.
    memory_mb : int
        Memory demand of one task in MB.
    gpus : int
        Number of accelerators of one task.
    estimate_ms : float
        Declared duration of one task in ms, often wrong by half or more.
    after : tuple of int
        Indices of earlier steps whose tasks must all have completed before this step starts.
    checkpointed : bool
        Whether tasks save their progress.
    gang : bool
        Whether the tasks make progress only while all of them run.
    same_rack : bool
        Whether the tasks are slow when they are spread over several racks.
    required_label : str
        Label that a runner must have; empty for none.
    rack_affinity : str
        Rack with the input data; tasks are slow on other racks. Empty for none.
    max_per_runner : int
        Maximum number of tasks of one occurrence of the step on one runner; 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel.
    long_running : bool
        Whether tasks run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of one image behave alike.
    latency_target_ms : float
        Target for the tail latency of a serving task, in ms; 0 for tasks that don't serve requests.
    fills : bool
        Whether the tasks are best-effort tasks, which use only capacity that others leave unused.
    may_miss : int
        Maximum number of tasks of a long-running step that the system may stop at the same time;
        0 for no limit.
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
    """Job as submitted by a caller.

    Parameters
    ----------
    payload : str
        Opaque text passed to each task.
    steps : tuple of StepSpec
        At least one step.
    occurrences : int
        Number of times that the steps run; 0 for a job without a schedule, which runs once.
    first_due_unix_ms : float
        Unix time in ms at which the first occurrence is due.
    interval_ms : float
        Time between occurrences in ms.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_unix_ms: float = 0.0
    interval_ms: float = 0.0

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps run, at least 1."""
        return max(1, self.occurrences)

    @property
    def long_running_cpu(self) -> int:
        """CPU demand of the long-running tasks in thousandths of a core."""
        return sum(step.count * step.cpu_milli for step in self.steps if step.long_running)

    @property
    def long_running_memory_mb(self) -> int:
        """Memory demand of the long-running tasks in MB."""
        return sum(step.count * step.memory_mb for step in self.steps if step.long_running)

    @property
    def occurrence_task_count(self) -> int:
        """Number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def task_count(self) -> int:
        """Number of tasks of all occurrences."""
        return self.occurrence_count * self.occurrence_task_count

    def find_occurrence(self, position: int) -> int:
        """Return the number of the occurrence at a position in the order of their due times.

        A negative interval makes the last one due first.
        """
        return position if self.interval_ms >= 0 else self.occurrence_count - 1 - position

    def compute_due_unix_ms(self, occurrence: int) -> float:
        """Return the Unix time in ms before which an occurrence must not start."""
        if not self.occurrences:
            return 0.0
        return self.first_due_unix_ms + occurrence * self.interval_ms


@attrs.frozen(kw_only=True)
class Queue:
    """Queue of jobs with its service and objectives, from the configuration.

    Parameters
    ----------
    name : str
        Name of the queue.
    service : str
        Service whose runners run the tasks.
    priority : int
        Priority of the queue's jobs; 0 is the most urgent.
    max_attempts : int
        Number of failed attempts of one task after which its job fails.
    stretch : float
        Part of the objective that is a multiple of the job's critical path.
    objective_ms : float
        Constant part of the objective, in ms.
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
    """Return why a job is invalid, or an empty string if it is valid.

    Parameters
    ----------
    spec : JobSpec
        Submitted job.

    Examples
    --------
    >>> find_job_error(JobSpec(payload="", steps=(StepSpec(count=0),)))
    'step 0: count 0, allowed: 1 to 5000'
    >>> find_job_error(JobSpec(payload="", steps=(StepSpec(count=1, after=(0,)),)))
    'step 0: after 0, allowed: earlier steps'
    """
    if len(spec.payload.encode("utf-8", "replace")) > MAX_PAYLOAD_BYTES:
        return f"payload over {MAX_PAYLOAD_BYTES} bytes"
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        return f"{len(spec.steps)} steps, allowed: 1 to {MAX_STEPS}"
    if not 0 <= spec.occurrences <= MAX_OCCURRENCES:
        return f"{spec.occurrences} occurrences, allowed: 0 to {MAX_OCCURRENCES}"
    for number, step in enumerate(spec.steps):
        error = _find_step_error(number, step)
        if error:
            return f"step {number}: {error}"
    tasks = spec.task_count
    return f"{tasks} tasks, allowed: 1 to {MAX_TASKS}" if tasks > MAX_TASKS else ""


def _find_step_error(number: int, step: StepSpec) -> str:
    if not 1 <= step.count <= MAX_TASKS_PER_STEP:
        return f"count {step.count}, allowed: 1 to {MAX_TASKS_PER_STEP}"
    for earlier in step.after:
        if not 0 <= earlier < number:
            return f"after {earlier}, allowed: earlier steps"
    for name in ("cpu_milli", "memory_mb", "gpus", "estimate_ms", "max_per_runner", "may_miss"):
        if getattr(step, name) < 0:
            return f"{name} {getattr(step, name)}, allowed: 0 or more"
    return ""
