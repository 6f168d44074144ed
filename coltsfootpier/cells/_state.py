"""What a cell holds in memory about jobs, runs and runners."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterator

import attrs

from coltsfootpier.cells._messages import RunId, RunnerEntry
from coltsfootpier.jobs import JobRecord, JobState, Queue, StepSpec, TaskKey


class RunState(enum.Enum):
    """What is known of a run."""

    # The order was sent and not answered yet.
    STARTING = "starting"
    # The order got no answer, so the run may begin later.
    UNSURE = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(kw_only=True, eq=False)
class Run:
    """One run of a task on a runner, from the order to start until its end is listed.

    Parameters
    ----------
    confirmed_ms : float
        Since when the run is known to be present; infinite before.
    moved_ms : float
        When `percent` changed last.
    barred_ms : float
        When the runner answered an order to stop it; infinite before. A report that was asked
        for later and doesn't list the run proves that it never begins.
    """

    id: RunId
    step_run: StepRun
    runner_id: str
    state: RunState
    ordered_ms: float
    # Whether it was found on its runner, ordered by an earlier owner.
    adopted: bool = False
    confirmed_ms: float = float("inf")
    barred_ms: float = float("inf")
    stop_sent_ms: float = float("-inf")
    percent: float = 0.0
    moved_ms: float = 0.0
    measured: float = 0.0
    pace: int = 100
    # Since when the tail of a serving task has been over its target; infinite while it isn't.
    over_since_ms: float = float("inf")
    # Estimated utilisation of a serving task by its own users.
    load: float = 0.5
    # Last time at which it was not slowed to half its speed or less, and at which it was tried to
    # move it.
    slowed_ms: float = 0.0
    move_tried_ms: float = float("-inf")

    @property
    def step(self) -> StepSpec:
        """What the run's step asks for."""
        return self.step_run.spec

    @property
    def task(self) -> Task:
        """The task that it runs."""
        return self.step_run.tasks[self.id.key.index]


@attrs.define(kw_only=True, eq=False)
class Task:
    """A task that was started at least once."""

    attempt: int = 0
    checkpoint: str = ""
    runs: list[Run] = attrs.field(factory=list)
    # Runner that it was stopped for to start on; empty for none.
    preferred: str = ""
    # Runners where a run of this task failed or stalled.
    avoided: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True, eq=False)
class StepRun:
    """One step of one occurrence of a job."""

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    # Indices of tasks that wait for a runner.
    waiting: deque[int] = attrs.field(factory=deque)
    tasks: dict[int, Task] = attrs.field(factory=dict)
    done_count: int = 0
    # Runs that ended as done and the sum of their durations.
    ended_count: int = 0
    ended_ms: float = 0.0
    tasks_started: bool = False
    ready_ms: float = float("inf")
    # For a queue that needs advice: ticket and local time of its end for each approved runner, the
    # runners that were refused, and when the question was asked last.
    tickets: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    unapproved: set[str] = attrs.field(factory=set)
    asked_ms: float = float("-inf")
    # Since when a waiting task has found no runner; infinite while none waits for one.
    blocked_ms: float = float("inf")
    # When it was last tried to make room for one of its tasks.
    displaced_ms: float = float("-inf")
    # Runs on each runner, for the limit of one runner.
    spread: dict[str, int] = attrs.field(factory=dict)

    @property
    def id(self) -> tuple[str, int, int]:
        """Identifies the step among all steps."""
        return self.job.record.id, self.occurrence, self.number

    def find_ticket(self, runner_id: str, now_ms: float) -> str:
        """Return the ticket for a runner that holds at a local time; empty for none."""
        ticket, until_ms = self.tickets.get(runner_id, ("", 0.0))
        return ticket if until_ms > now_ms else ""

    def has_runs(self, index: int) -> bool:
        """Return whether a run of the task with an index is present."""
        task = self.tasks.get(index)
        return task is not None and bool(task.runs)

    def list_runs(self) -> list[Run]:
        """Return all runs of the step that are present."""
        return [run for task in self.tasks.values() for run in task.runs]

    def find_checkpoint(self, task: Task) -> str:
        """Return where a run of a task resumes; any member's value is valid for a gang."""
        if not self.spec.gang:
            return task.checkpoint
        return next((other.checkpoint for other in self.tasks.values() if other.checkpoint), "")

    def key(self, index: int) -> TaskKey:
        """Return the key of the task with an index."""
        return TaskKey(self.occurrence, self.number, index)

    @property
    def is_done(self) -> bool:
        """Whether all tasks have ended as done."""
        return self.done_count == self.spec.count


@attrs.define(kw_only=True, eq=False)
class Job:
    """An accepted job with the progress of its tasks.

    Parameters
    ----------
    version, durable_version : int
        Number of the last change, and of the last one that the store has acknowledged.
    """

    record: JobRecord
    queue: Queue
    arrived_ms: float
    version: int = 0
    durable_version: int = 0
    steps: dict[tuple[int, int], StepRun] = attrs.field(factory=dict)
    started: bool = False

    def steps_of(self, occurrence: int) -> Iterator[StepRun]:
        """Iterate over the steps of one occurrence."""
        return (step for step in self.steps.values() if step.occurrence == occurrence)

    @property
    def is_open(self) -> bool:
        """Whether tasks may still be started."""
        return not self.record.state.is_final

    @property
    def visible_state(self) -> JobState:
        """State that callers may be told: a final one only once it is durable."""
        if self.record.state.is_final and self.durable_version >= self.version:
            return self.record.state
        return JobState.RUNNING if self.started else JobState.QUEUED


@attrs.define(kw_only=True, eq=False)
class Runner:
    """A runner with what is present on it.

    Parameters
    ----------
    adopted : bool
        Whether it has answered with this owner's token, so that no order of an earlier owner
        can take effect any more and its lists are complete.
    lapse_ms : float
        Local time by which everything that runs there has lapsed if it isn't extended.
    applied_end : int
        Number up to which its ends have been taken into account.
    """

    entry: RunnerEntry
    listed: bool = True
    adopted: bool = False
    # Whether the store's list of runners names it, so that a later owner asks it.
    recorded: bool = False
    started_unix_ms: int = 0
    contact_ms: float = float("-inf")
    lease_expiry_ms: float = float("-inf")
    # The same for what an earlier owner may have extended.
    inherited_lapse_ms: float = float("-inf")
    applied_end: int = 0
    # Ends that wait for a durable record: number, job, version of the job.
    pending_ends: deque[tuple[int, Job, int]] = attrs.field(factory=deque)
    runs: dict[RunId, Run] = attrs.field(factory=dict)
    hard_cpu: int = 0
    serving_cpu: int = 0
    fill_cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    # Whether its life is known to be over, and when the first of the listings in a row that don't
    # name it was asked for.
    ended: bool = False
    missing_ms: float = float("inf")
    # Whether it gets nothing new before the upkeep of its VM, and whether that was ordered, so that
    # what runs there may end at any moment.
    cordoned: bool = False
    ending: bool = False
    # After a refusal for want of room nothing is placed before the next report.
    full: bool = False
    # Tails of the serving runs in the last measurement, and when it was taken.
    measured_tails: tuple[float, ...] = ()
    measured_ms: float = float("-inf")
    failures_in_row: list[str] = attrs.field(factory=list)
    aside_until_ms: float = float("-inf")
    aside_ms: float = 0.0
    # Whether it gets one run at a time until one succeeds, and the last such run.
    is_probed: bool = False
    probe: RunId | None = None
    # Utilisation that is left to the serving tasks of each image, and processors that are left;
    # None after a change.
    room: dict[str, float] | None = None
    _unused_cpu: float | None = None
    # Number of changes of what one more run would find.
    version: int = 0

    def forget_room(self) -> None:
        """Note that loads, paces or runs have changed."""
        self.version += 1
        self.room = None
        self._unused_cpu = None

    def reserve(self, step: StepSpec, sign: int = 1) -> None:
        """Add (1) or remove (-1) the resources of one run."""
        if step.fills:
            self.fill_cpu += sign * step.cpu_milli
        else:
            self.hard_cpu += sign * step.cpu_milli
            if step.latency_target_ms:
                self.serving_cpu += sign * step.cpu_milli
        self.forget_room()
        self.memory_mb += sign * step.memory_mb
        self.gpus += sign * step.gpus

    def fits(self, step: StepSpec) -> bool:
        """Whether the declared resources of one more run are free."""
        entry = self.entry
        return (
            self.memory_mb + step.memory_mb <= entry.memory_mb
            and self.gpus + step.gpus <= entry.gpus
            and (step.fills or self.hard_cpu + step.cpu_milli <= entry.cpu_milli)
        )

    @property
    def unused_cpu(self) -> float:
        """Processor capacity in thousandths that one more filling task would find."""
        if self._unused_cpu is None:
            self._unused_cpu = self._measure_unused()
        return self._unused_cpu

    def _measure_unused(self) -> float:
        used = float(self.hard_cpu - self.serving_cpu)
        for run in self.runs.values():
            if run.step.latency_target_ms:
                used += run.step.cpu_milli * run.load
            elif run.step.fills:
                used += run.step.cpu_milli * max(0, run.pace) / 100
        return self.entry.cpu_milli - used
