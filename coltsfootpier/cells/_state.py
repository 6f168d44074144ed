"""In-memory state of jobs, runs and runners."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterator

import attrs

from coltsfootpier.cells._messages import RunId, RunnerEntry
from coltsfootpier.cells._progress import Progress
from coltsfootpier.jobs import JobRecord, JobState, Queue, StepSpec, TaskKey

# Runs of one task of a speculative step that may exist at once.
MAX_SPECULATIVE_RUNS = 2
# Number of completed runs of a step whose durations are kept.
_KEPT_DURATIONS = 100


class RunState(enum.Enum):
    """State of a run as known to the cell."""

    # The start command was sent and has no response yet.
    STARTING = "starting"
    # The start command got no response, so the run may still start later.
    UNSURE = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


class EndProof(enum.Enum):
    """What shows that a run has ended or never starts, so that its task may start elsewhere."""

    END_LISTED = "end_listed"
    ABSENT_FROM_REPORT = "absent_from_report"
    RESTART_IN_REPORT = "restart_in_report"
    # Two listings of worker VMs don't name the runner.
    RUNNER_UNLISTED = "runner_unlisted"
    # The maintenance of the runner's VM has begun.
    VM_IN_MAINTENANCE = "vm_in_maintenance"
    LEASE_EXPIRED = "lease_expired"
    START_REJECTED = "start_rejected"


@attrs.define(kw_only=True, eq=False)
class Run:
    """One run of a task on a runner, from the start command until the runner lists its end.

    Parameters
    ----------
    confirmed_ms : float
        Since when the run is known to be present; infinite before.
    last_progress_ms : float
        Local time of the last report in which `percent` changed or the run was paused; initially
        the start of the run.
    stop_confirmed_ms : float
        When the runner confirmed a stop command for the run; infinite before. A report that was
        requested later and doesn't list the run proves that the run never starts.
    measured : float
        Last measurement in a report, see `RunningRow`.
    pace : int
        Commanded speed in percent; -1 while it is unknown.
    """

    id: RunId
    step_run: StepRun
    runner_id: str
    state: RunState
    start_sent_ms: float
    # Whether it was started by an earlier owner and found in a runner's report by this one.
    adopted: bool = False
    # Whether it goes on from a checkpoint, so that its duration is shorter than that of others.
    is_resumed: bool = False
    confirmed_ms: float = float("inf")
    # Whether a report has listed it, which a response to its start doesn't replace: the response
    # doesn't tell the incarnations of a runner apart.
    listed: bool = False
    stop_confirmed_ms: float = float("inf")
    stop_sent_ms: float = float("-inf")
    # When the first stop command was sent; infinite before.
    stopping_since_ms: float = float("inf")
    # Since when a long-running run is at work, and whether that has counted as a success.
    at_work_since_ms: float = float("inf")
    is_proven: bool = False
    # Number of times that its start command was sent once more.
    retry_count: int = 0
    percent: float = 0.0
    # Its speed, once a report or a start without a checkpoint gives a first sample.
    progress: Progress | None = None
    last_progress_ms: float = 0.0
    measured: float = 0.0
    pace: int = 100
    # Since when a serving task's tail latency has been over its target; infinite while it isn't.
    over_target_since_ms: float = float("inf")
    # Estimated utilisation of a serving task by its own users.
    load: float = 0.5
    # When the run last worked at more than half of its speed, and when a move of it was last
    # attempted.
    last_unslowed_ms: float = 0.0
    move_attempted_ms: float = float("-inf")
    # When a report last showed a new checkpoint.
    checkpoint_ms: float = float("-inf")
    # Whether it is stopped for a task of a more urgent queue.
    preempted: bool = False
    # Whether it was started beside serving tasks without enough headroom, because its job had no
    # run for too long.
    is_aged: bool = False

    @property
    def step(self) -> StepSpec:
        """Specification of the run's step."""
        return self.step_run.spec

    @property
    def task(self) -> Task:
        """Task of the run."""
        return self.step_run.tasks[self.id.key.index]


@attrs.define(kw_only=True, eq=False)
class Task:
    """A task that was started at least once."""

    attempt: int = 0
    checkpoint: str = ""
    runs: list[Run] = attrs.field(factory=list)
    # Runner on which a stopped task should start again; empty for none.
    preferred_runner: str = ""
    # Runners where a run of this task failed or stalled.
    avoided_runners: set[str] = attrs.field(factory=set)
    # Number of its runs that were stopped for a task of a more urgent queue.
    preempted_count: int = 0

    @property
    def has_preferences(self) -> bool:
        """Whether it ranks runners differently than the other tasks of its step."""
        return bool(self.preferred_runner or self.avoided_runners)


@attrs.frozen(kw_only=True)
class OccurrenceTotals:
    """Sums over the steps of an occurrence, with the expected durations of their tasks.

    Parameters
    ----------
    whole_ms, remaining_ms : float
        Time in ms of all steps, and of those that aren't done, if they run one after another.
    work, remaining_work : float
        Work of all tasks by the declared durations, and of those that aren't done, in thousandths
        of a core times ms.
    """

    whole_ms: float
    remaining_ms: float
    work: float
    remaining_work: float


@attrs.define(kw_only=True, eq=False)
class Occurrence:
    """One run of all steps of a job.

    Parameters
    ----------
    number : int
        Its number, from 0; 0 for a job without a schedule.
    steps : list of StepRun
        Its steps, in the order of the specification.
    is_due : bool
        Whether its tasks may start. One that a runner reports before that isn't due yet.
    totals : OccurrenceTotals, optional
        Sums over its steps; None after one of its tasks is done.
    totals_version : int
        Version of the expected durations that `totals` are computed with.
    """

    number: int
    steps: list[StepRun] = attrs.field(factory=list)
    is_due: bool = False
    totals: OccurrenceTotals | None = None
    totals_version: int = 0

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return all(step.is_done for step in self.steps)


@attrs.define(kw_only=True, eq=False)
class StepRun:
    """One step of one occurrence of a job."""

    job: Job
    occurrence: Occurrence
    number: int
    spec: StepSpec
    # Indices of tasks that wait for a runner.
    waiting: deque[int] = attrs.field(factory=deque)
    tasks: dict[int, Task] = attrs.field(factory=dict)
    done_count: int = 0
    # Number of completed runs and the sum of their durations.
    completed_count: int = 0
    completed_ms: float = 0.0
    # Durations of its latest completed runs in ms. An empty deque would take 760 bytes.
    durations_ms: deque[float] | None = None
    # Their usual duration, with that of the present runs, and when it was measured.
    peer_ms: float | None = None
    peers_measured_ms: float = float("-inf")
    # Number of copies that were started or adopted.
    copy_count: int = 0
    tasks_started: bool = False
    ready_ms: float = float("inf")
    # For a queue that needs advice: ticket and local expiry time for each approved runner, the
    # runners that were not approved, and when advice was last requested.
    tickets: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    unapproved: frozenset[str] = frozenset()
    advice_requested_ms: float = float("-inf")
    # Since when no runner has fitted a waiting task; infinite while no task is blocked.
    blocked_ms: float = float("inf")
    # Since when a plan has found waiting tasks; infinite while there are none.
    waiting_since_ms: float = float("inf")
    # When a move was last attempted, of one of its tasks or to free capacity for one.
    last_move_ms: float = float("-inf")
    # Number of runs on each runner, for the limit per runner.
    runs_per_runner: dict[str, int] = attrs.field(factory=dict)

    @property
    def id(self) -> tuple[str, int, int]:
        """Unique identifier of the step."""
        return self.job.record.id, self.occurrence.number, self.number

    def record_duration(self, duration_ms: float) -> None:
        """Add the duration of a completed run in ms to the latest ones."""
        if self.durations_ms is None:
            self.durations_ms = deque(maxlen=_KEPT_DURATIONS)
        self.durations_ms.append(duration_ms)

    def find_ticket(self, runner_id: str, now_ms: float) -> str:
        """Return the ticket for a runner that is valid at a local time; empty for none."""
        ticket, until_ms = self.tickets.get(runner_id, ("", 0.0))
        return ticket if until_ms > now_ms else ""

    def count_runs(self, index: int) -> int:
        """Return the number of runs of the task with an index."""
        task = self.tasks.get(index)
        return 0 if task is None else len(task.runs)

    def has_runs(self, index: int) -> bool:
        """Return whether the task with an index has a run."""
        return self.count_runs(index) > 0

    def has_used_up(self, index: int) -> bool:
        """Return whether a task has failed as often as it may."""
        counted = self.build_key(0 if self.spec.gang else index)
        failures = self.job.record.failures.get(counted, ())
        return len(failures) >= self.job.queue.max_attempts

    def list_runs(self) -> list[Run]:
        """Return all current runs of the step."""
        return [run for task in self.tasks.values() for run in task.runs]

    def find_checkpoint(self, task: Task) -> str:
        """Return the checkpoint to resume from; any member's checkpoint is valid for its gang."""
        if not self.spec.gang:
            return task.checkpoint
        return next((other.checkpoint for other in self.tasks.values() if other.checkpoint), "")

    def build_key(self, index: int) -> TaskKey:
        """Return the key of the task with an index."""
        return TaskKey(self.occurrence.number, self.number, index)

    @property
    def run_limit(self) -> int:
        """Number of runs of one task that may exist at once."""
        return MAX_SPECULATIVE_RUNS if self.spec.speculative else 1

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == self.spec.count


@attrs.define(kw_only=True, eq=False)
class Job:
    """An accepted job with the progress of its tasks.

    Parameters
    ----------
    version, durable_version : int
        Number of the last change, and of the last change that the store has acknowledged.
    occurrences : dict of int to Occurrence
        Occurrences that have begun and aren't done, and those with reported runs, by number.
    next_occurrence : int
        Position in the order of their due times of the first occurrence that hasn't begun.
    open_task_count : int
        Number of tasks that aren't done.
    used_bytes, scheduled_bytes : int
        Memory in bytes that `JobMemory` counts for the job.
    """

    record: JobRecord
    queue: Queue
    arrived_ms: float
    version: int = 0
    durable_version: int = 0
    occurrences: dict[int, Occurrence] = attrs.field(factory=dict)
    next_occurrence: int = 0
    open_task_count: int = 0
    used_bytes: int = 0
    scheduled_bytes: int = 0
    # Whether a start was carried out; the response or a report shows it.
    started: bool = False
    # Number of its runs, and the local time of the first plan that found none; infinite before.
    run_count: int = 0
    idle_since_ms: float = float("inf")

    def iter_steps(self) -> Iterator[StepRun]:
        """Iterate over the steps of `occurrences`."""
        return (step for occurrence in self.occurrences.values() for step in occurrence.steps)

    def find_step(self, occurrence: int, number: int) -> StepRun | None:
        """Return a step of `occurrences`; None if there is none."""
        found = self.occurrences.get(occurrence)
        if found is None or not 0 <= number < len(found.steps):
            return None
        return found.steps[number]

    def has_occurrence(self, number: int) -> bool:
        """Return whether an open job has an occurrence with a number."""
        return self.record.spec is not None and 0 <= number < self.record.spec.occurrence_count

    def count_due_tasks(self) -> int:
        """Return the number of tasks of `occurrences`."""
        if not self.occurrences:
            return 0
        return len(self.occurrences) * self.record.spec.occurrence_task_count

    @property
    def next_due_unix_ms(self) -> float:
        """Unix time in ms at which the next occurrence is due; infinite after the last one."""
        spec = self.record.spec
        if spec is None or self.next_occurrence >= spec.occurrence_count:
            return float("inf")
        return spec.compute_due_unix_ms(spec.find_occurrence(self.next_occurrence))

    @property
    def is_open(self) -> bool:
        """Whether tasks may still be started."""
        return not self.record.state.is_final

    @property
    def visible_state(self) -> JobState:
        """State to report to callers: a final state only once it is durable."""
        if self.record.state.is_final and self.durable_version >= self.version:
            return self.record.state
        return JobState.RUNNING if self.started else JobState.QUEUED


@attrs.define(kw_only=True, eq=False)
class Runner:
    """A runner with its runs.

    Parameters
    ----------
    is_registered : bool
        Whether its entry is in the registry, or may have expired because of an outage.
    adopted : bool
        Whether its incarnation has responded to `token`, so that no call of an earlier owner or to
        an earlier incarnation can take effect any more.
    token : int
        Fencing token of the calls to it. Each incarnation gets a higher one than those before.
    token_since_ms : float
        Local time since which `token` is used; infinite while a higher one is needed.
    long_lease_expiry_ms : float
        Local time until which it may hold a lease that is longer than those that this owner extends
        by its calls. Infinite while a restarted incarnation hasn't responded to its token, since a
        call to an earlier one may still give it the longest lease.
    long_lease_ms : float
        Time from its load for which a later owner that doesn't reach the runner has to count that
        lease.
    long_lease_recorded : bool
        Whether a later owner does so.
    deadline_ms, deadline_sent_ms : float
        Deadline of the last report request to it, on its clock, and local time before it was sent;
        for logs.
    applied_end : int
        Number of the last ended run in its reports that was applied.
    lists_all_ends : bool
        Whether its last report listed all ended runs that aren't acknowledged.
    """

    entry: RunnerEntry
    is_registered: bool = True
    adopted: bool = False
    token: int = 0
    token_since_ms: float = float("-inf")
    long_lease_expiry_ms: float = float("-inf")
    long_lease_ms: float = 0.0
    long_lease_recorded: bool = False
    # Whether it is in the fleet record in the store, so that a later owner contacts it.
    recorded: bool = False
    started_unix_ms: int = 0
    contact_ms: float = float("-inf")
    # When the first report of this incarnation arrived, and when the request of the latest one was
    # sent.
    first_accepted_ms: float = float("inf")
    accepted_ms: float = float("-inf")
    # Expiry of the leases that calls of this owner may have extended.
    call_lease_expiry_ms: float = float("-inf")
    # Expiry of the leases that an earlier owner, or calls to an earlier address or incarnation, may
    # have extended.
    earlier_lease_expiry_ms: float = float("-inf")
    deadline_ms: float = float("-inf")
    deadline_sent_ms: float = float("-inf")
    applied_end: int = 0
    lists_all_ends: bool = True
    # Ended runs that aren't acknowledged yet: number, run, job, version of the job.
    pending_ends: deque[tuple[int, RunId, Job, int]] = attrs.field(factory=deque)
    runs: dict[RunId, Run] = attrs.field(factory=dict)
    # Runs in its last report that no task needs; each is logged once.
    unneeded_runs: set[RunId] = attrs.field(factory=set)
    # When the runner was last told to reject late starts.
    late_starts_stopped_ms: float = float("-inf")
    guaranteed_cpu: int = 0
    serving_cpu: int = 0
    long_running_cpu: int = 0
    long_running_memory_mb: int = 0
    best_effort_cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    # Whether its incarnation is known to have ended, and when the first of the consecutive
    # platform listings without it was requested; infinite while it is listed.
    ended: bool = False
    unlisted_since_ms: float = float("inf")
    # When the last platform listing without it was requested, and the one before that if it is
    # without it, too: two in a row show that it wasn't live at that time.
    last_unlisted_ms: float = float("-inf")
    ended_ms: float = float("-inf")
    # Whether it gets no new runs before maintenance of its VM, and whether the maintenance was
    # requested, so that its runs may end at any moment.
    cordoned: bool = False
    shutting_down: bool = False
    # Whether its availability zone is evacuated, so that it gets no new runs.
    evacuated: bool = False
    # Until when it is slow because it has just started, and whether it is in the present plan.
    cold_until_ms: float = float("-inf")
    cold: bool = False
    # Set when a start is withheld, or rejected for lack of capacity or as `REFUSED`; no run is
    # placed before the next report.
    full: bool = False
    # Tail latencies of the serving runs in the last measurement, and when it was taken.
    measured_tails: tuple[float, ...] = ()
    measured_ms: float = float("-inf")
    # Whether a serving task has been over its target for so long that it gets no best-effort run.
    harmed: bool = False
    failed_job_ids: list[str] = attrs.field(factory=list)
    quarantined_until_ms: float = float("-inf")
    quarantine_ms: float = 0.0
    # Whether it gets one run at a time until one succeeds, and the last such run.
    on_probation: bool = False
    probe_run: RunId | None = None
    # Whether it works at a fraction of its peers' speed, since when, the slow runs since the last
    # one at the usual speed, and when the latest of them was observed.
    is_slow: bool = False
    slow_since_ms: float = float("-inf")
    slow_runs: set[RunId] = attrs.field(factory=set)
    last_slow_ms: float = float("-inf")
    # Cached headroom (utilisation left) of the serving tasks of each image, unused CPU, and
    # whether capacity is being freed; None after a change.
    headroom: dict[str, float] | None = None
    _unused_cpu: float | None = None
    _is_making_room: bool | None = None
    # Incremented with each change that affects whether one more run fits.
    version: int = 0

    @property
    def lease_expiry_ms(self) -> float:
        """Local time by which the leases of all its runs have expired unless they are extended.

        While `long_lease_expiry_ms` is infinite, `call_lease_expiry_ms` includes the longest lease.
        """
        long_ms = self.long_lease_expiry_ms
        return max(
            self.call_lease_expiry_ms,
            self.earlier_lease_expiry_ms,
            long_ms if long_ms < float("inf") else float("-inf"),
        )

    @property
    def awaits_token(self) -> bool:
        """Whether it gets no deadline, acknowledgement or start before a higher token is used."""
        return self.token_since_ms == float("inf")

    @property
    def is_making_room(self) -> bool:
        """Whether runs are being stopped for an urgent task, which needs their capacity."""
        if self._is_making_room is None:
            self._is_making_room = any(run.preempted for run in self.runs.values())
        return self._is_making_room

    @property
    def best_effort_memory_mb(self) -> int:
        """Memory demand of its best-effort runs in MB."""
        return sum(run.step.memory_mb for run in self.runs.values() if run.step.fills)

    def invalidate_headroom(self) -> None:
        """Invalidate cached values after a change of loads, paces or runs."""
        self.version += 1
        self.headroom = None
        self._unused_cpu = None
        self._is_making_room = None

    def reserve(self, step: StepSpec, sign: int = 1) -> None:
        """Add (sign 1) or remove (sign -1) the resources of one run."""
        if step.fills:
            self.best_effort_cpu += sign * step.cpu_milli
        else:
            self.guaranteed_cpu += sign * step.cpu_milli
            if step.latency_target_ms:
                self.serving_cpu += sign * step.cpu_milli
        if step.long_running:
            self.long_running_cpu += sign * step.cpu_milli
            self.long_running_memory_mb += sign * step.memory_mb
        self.invalidate_headroom()
        self.memory_mb += sign * step.memory_mb
        self.gpus += sign * step.gpus

    def fits(self, step: StepSpec) -> bool:
        """Return whether the declared resources of one more run are free."""
        if step.fills and self.is_making_room:
            return False
        entry = self.entry
        return (
            self.memory_mb + step.memory_mb <= entry.memory_mb
            and self.gpus + step.gpus <= entry.gpus
            and (step.fills or self.guaranteed_cpu + step.cpu_milli <= entry.cpu_milli)
        )

    @property
    def unused_cpu(self) -> float:
        """CPU capacity in thousandths of a core available to one more best-effort task."""
        if self._unused_cpu is None:
            self._unused_cpu = self._measure_unused_cpu()
        return self._unused_cpu

    def _measure_unused_cpu(self) -> float:
        used = float(self.guaranteed_cpu - self.serving_cpu)
        for run in self.runs.values():
            if run.step.latency_target_ms:
                used += run.step.cpu_milli * run.load
            elif run.step.fills:
                used += run.step.cpu_milli * max(0, run.pace) / 100
        return self.entry.cpu_milli - used
