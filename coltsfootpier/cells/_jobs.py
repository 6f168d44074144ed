"""Jobs of a cell: their steps, the ready ones, and changes that aren't durable yet."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from itertools import islice

from coltsfootpier.cells._durability import DirtyJobs
from coltsfootpier.cells._job_memory import JobMemory
from coltsfootpier.cells._messages import RunId
from coltsfootpier.cells._schedule import OccurrenceSchedule
from coltsfootpier.cells._state import Job, Occurrence, Run, StepRun
from coltsfootpier.jobs import JobRecord, JobState, Queue, TaskKey, TaskSet

LogCallback = Callable[..., None]

# Attempts of a job whose queue is unknown: an earlier release wrote its record, and the queue was
# removed before this release added its values.
_DEFAULT_ATTEMPTS = 3


class JobTable:
    """Table of all jobs of a cell.

    Parameters
    ----------
    log : callable
        Callback that logs one event with its fields.
    counters : Counter
        Counts of decisions.
    observe : callable
        Callback that adds a latency in ms to the histogram with the given name.
    max_due_tasks : int
        Number of tasks of due occurrences from which later ones wait, see `OccurrenceSchedule`.
    memory : JobMemory
        Counts the memory of the jobs.
    """

    def __init__(
        self,
        *,
        log: LogCallback,
        counters: Counter[str],
        observe: Callable[[str, float], None],
        max_due_tasks: int,
        memory: JobMemory,
    ) -> None:
        self._log = log
        self._observe = observe
        self._counters = counters
        self.jobs: dict[str, Job] = {}
        self._queues: dict[str, Queue] = {}
        self._queues_version = 0
        # Steps that may have tasks to start.
        self.ready: dict[tuple[str, int, int], StepRun] = {}
        # Jobs that an earlier owner accepted; it may have started their tasks.
        self.inherited: set[str] = set()
        self.memory = memory
        self._schedule = OccurrenceSchedule(max_due_tasks=max_due_tasks, memory=memory)
        self._dirty = DirtyJobs()
        # Jobs in a final state, oldest first, and the local time at which each was known to end.
        self._ended: deque[tuple[float, Job]] = deque()

    def set_queues(self, queues: Mapping[str, Queue], *, version: int = 0) -> None:
        """Apply the queues of a version of the configuration to the open jobs."""
        self._queues = dict(queues)
        self._queues_version = version
        for job in self.jobs.values():
            self._update_queue(job)

    def _update_queue(self, job: Job) -> None:
        """Apply the configuration in force to an open job.

        A job keeps its queue if the configuration doesn't name it any more, or is older than the
        one that an earlier owner has applied.
        """
        record = job.record
        queue = self._queues.get(record.queue)
        if queue is None or not job.is_open or self._queues_version < record.queue_version:
            return
        job.queue = queue
        if record.queue_values != queue:
            record.service = queue.service
            record.queue_values, record.queue_version = queue, self._queues_version
            self.mark_dirty(job)

    def add(
        self, record: JobRecord, now_ms: float, *, durable: bool, queue: Queue | None = None
    ) -> Job:
        """Add a job with the progress in its record.

        Parameters
        ----------
        record : JobRecord
            Record of the job.
        now_ms : float
            Local time.
        durable : bool
            Whether the record is in the store.
        queue : Queue, optional
            Queue of a new job; that of an inherited one is in its record.
        """
        if queue is not None:
            record.queue_values, record.queue_version = queue, self._queues_version
        job = Job(
            record=record,
            queue=record.queue_values or self._build_unknown_queue(record),
            arrived_ms=now_ms,
        )
        if durable:
            job.version = job.durable_version = 1
        self.jobs[record.id] = job
        self._update_queue(job)
        if job.is_open and record.spec is not None:
            self._add_tasks(job, now_ms)
        if not job.is_open:
            self._ended.append((now_ms, job))
        self.memory.count(job)
        return job

    def _build_unknown_queue(self, record: JobRecord) -> Queue:
        """Return the queue of a record that doesn't hold its values."""
        is_needed = not record.state.is_final and record.queue not in self._queues
        if is_needed:
            self._log("queue of job unknown", job=record.id, queue=record.queue)
        return Queue(name=record.queue, service=record.service, max_attempts=_DEFAULT_ATTEMPTS)

    def _add_tasks(self, job: Job, now_ms: float) -> None:
        """Add what is left to run of a new or inherited job."""
        record = job.record
        if not isinstance(record.done, TaskSet):
            record.done = TaskSet(record.spec, record.done)
        job.started = bool(record.done)
        job.open_task_count = record.spec.task_count - len(record.done)
        if record.spec.occurrences:
            self._schedule.add(job)
        else:
            self._begin_occurrence(job, 0, now_ms)

    def _provide_occurrence(self, job: Job, number: int) -> Occurrence | None:
        """Return the state of an occurrence, which is created if needed; None if it is done."""
        occurrence = job.occurrences.get(number)
        if occurrence is None:
            occurrence = self._build_occurrence(job, number)
            if occurrence.is_done:
                return None
            job.occurrences[number] = occurrence
            self.memory.count(job)
        return occurrence

    def _build_occurrence(self, job: Job, number: int) -> Occurrence:
        occurrence = Occurrence(number=number)
        done = job.record.done
        for step_number, spec in enumerate(job.record.spec.steps):
            step = StepRun(job=job, occurrence=occurrence, number=step_number, spec=spec)
            step.waiting.extend(
                index for index in range(spec.count) if step.build_key(index) not in done
            )
            step.done_count = spec.count - len(step.waiting)
            occurrence.steps.append(step)
        return occurrence

    def _begin_occurrence(self, job: Job, number: int, now_ms: float) -> None:
        """Let the tasks of an occurrence start unless it is done."""
        occurrence = self._provide_occurrence(job, number)
        if occurrence is None:
            return
        occurrence.is_due = True
        for step in occurrence.steps:
            self._mark_step_ready(step, now_ms)

    def _mark_step_ready(self, step: StepRun, now_ms: float) -> None:
        """Mark a step as ready for placement if all steps before it are done."""
        occurrence = step.occurrence
        if (
            not occurrence.is_due
            or step.is_done
            or step.ready_ms <= now_ms
            or not all(occurrence.steps[number].is_done for number in step.spec.after)
        ):
            return
        step.ready_ms = now_ms
        self.ready[step.id] = step

    def begin_due_occurrences(self, now_ms: float, unix_ms: float) -> None:
        """Mark the first steps of due occurrences as ready for placement.

        Parameters
        ----------
        now_ms, unix_ms : float
            Local time and Unix time.
        """
        for job, number in self._schedule.iter_due(unix_ms):
            self._begin_occurrence(job, number, now_ms)

    def find_step(self, run_id: RunId) -> StepRun | None:
        """Return the step that a run belongs to; None when the job or the task is unknown.

        A runner may report a run of an occurrence that isn't due here: an earlier owner's clock was
        fast, or it had begun more of the occurrences that are due.
        """
        job = self.jobs.get(run_id.job_id)
        if job is None:
            return None
        number, step_number, _ = run_id.key
        if job.is_open and job.has_occurrence(number):
            self._provide_occurrence(job, number)
        step = job.find_step(number, step_number)
        return step if step is not None and run_id.key.index < step.spec.count else None

    def find_step_by_id(self, step_id: tuple[str, int, int]) -> StepRun | None:
        """Return a step by its identifier; None when its job is unknown."""
        job = self.jobs.get(step_id[0])
        return job.find_step(*step_id[1:]) if job is not None else None

    def measure_long_running_cpu(self, service: str) -> int:
        """Return the CPU demand of a service's open long-running jobs, in thousandths of a core."""
        return sum(
            job.record.spec.long_running_cpu
            for job in self.jobs.values()
            if job.is_open and job.record.spec is not None and job.queue.service == service
        )

    def measure_long_running_memory_mb(self, service: str) -> int:
        """Return the memory demand of a service's open long-running jobs, in MB."""
        return sum(
            job.record.spec.long_running_memory_mb
            for job in self.jobs.values()
            if job.is_open and job.record.spec is not None and job.queue.service == service
        )

    def withdraw(self, job_id: str) -> None:
        """Remove a job whose record is known not to have been written."""
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self._dirty.remove(job_id)
            self._drop_steps(job)
            self.memory.remove(job)

    def close(self, job: Job, state: JobState, reason: str, now_ms: float) -> list[Run]:
        """Set the final state of a job and return the runs to stop."""
        job.record.state = state
        self._ended.append((now_ms, job))
        self.mark_dirty(job)
        self._counters[state.value] += 1
        duration_ms = now_ms - job.arrived_ms
        self._observe(f"{state.value}_ms", duration_ms)
        self._log(
            "job ended",
            job=job.record.id,
            queue=job.queue.name,
            state=state.value,
            reason=reason,
            duration_ms=duration_ms,
            inherited=job.record.id in self.inherited,
        )
        runs = [run for step in job.iter_steps() for run in step.list_runs()]
        self._drop_steps(job)
        job.record.spec = None
        job.record.done = set()
        job.record.failures = {}
        job.record.queue_values = None
        self.memory.count(job)
        return runs

    def _drop_steps(self, job: Job) -> None:
        for step in job.iter_steps():
            step.waiting.clear()
            self.ready.pop(step.id, None)
        job.occurrences.clear()
        self._schedule.remove(job)
        self.inherited.discard(job.record.id)

    def finish_task(self, step: StepRun, key: TaskKey, now_ms: float) -> list[Run]:
        """Mark a task as done and return the runs that are no longer needed."""
        job = step.job
        unneeded: list[Run] = []
        # One completed run of a gang completes all of its tasks.
        for index in range(step.spec.count) if step.spec.gang else (key.index,):
            if step.build_key(index) in job.record.done:
                continue
            job.record.done.add(step.build_key(index))
            step.done_count += 1
            job.open_task_count -= 1
            if index in step.waiting:
                step.waiting.remove(index)
            if index in step.tasks and not step.spec.gang:
                unneeded += step.tasks[index].runs
        job.started = True
        self.mark_dirty(job)
        step.occurrence.totals = None
        if step.is_done:
            self.ready.pop(step.id, None)
            for other in step.occurrence.steps:
                if step.number in other.spec.after:
                    self._mark_step_ready(other, now_ms)
            if not job.open_task_count:
                unneeded += self.close(job, JobState.COMPLETED, "all tasks are done", now_ms)
            elif step.occurrence.is_done:
                self._end_occurrence(job, step.occurrence)
        return unneeded

    def _end_occurrence(self, job: Job, occurrence: Occurrence) -> None:
        """Drop the state of an occurrence whose tasks are done while its job goes on."""
        del job.occurrences[occurrence.number]
        self.memory.count(job)
        # Late reports of its failed runs find no step, so that they aren't counted again.
        failures = job.record.failures
        for key in [key for key in failures if key.occurrence == occurrence.number]:
            del failures[key]

    def count_failure(self, step: StepRun, key: TaskKey, attempt: int) -> int:
        """Count a failed run of a task and return the number of its failures."""
        # The members of a gang fail together, which counts as one failure.
        counted = step.build_key(0) if step.spec.gang else key
        attempts = step.job.record.failures.setdefault(counted, set())
        attempts.add(attempt)
        self.mark_dirty(step.job)
        return len(attempts)

    def requeue(self, run_id: RunId) -> None:
        """Queue the task of an ended run again if the task isn't done."""
        step = self.find_step(run_id)
        if step is None or not step.job.is_open:
            return
        index = run_id.key.index
        if run_id.key in step.job.record.done or step.has_runs(index) or index in step.waiting:
            return
        step.waiting.appendleft(index)
        if step.occurrence.is_due:
            self.ready[step.id] = step

    def count_pending(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue for which no task has started."""
        return sum(
            job.is_open and not job.started and job.durable_version > 0
            for job in self.jobs.values()
            if job.record.queue == queue
        )

    # Expiry

    def list_expired(self, now_ms: float, *, kept_ms: float, limit: int) -> list[str]:
        """Return the identifiers of the oldest ended jobs whose retention time has passed.

        Parameters
        ----------
        now_ms : float
            Local time.
        kept_ms : float
            Time for which the state of an ended job is kept.
        limit : int
            Maximum number of jobs to return.
        """
        expired = []
        for ended_ms, job in islice(self._ended, limit):
            if now_ms - ended_ms < kept_ms or job.durable_version < job.version:
                break
            expired.append(job.record.id)
        return expired

    def remove_expired(self, job_ids: Iterable[str]) -> None:
        """Remove ended jobs whose records were removed from the store."""
        removed = set(job_ids)
        while self._ended and self._ended[0][1].record.id in removed:
            _, job = self._ended.popleft()
            if self.jobs.pop(job.record.id, None) is job:
                self.memory.remove(job)

    # Durability

    def mark_dirty(self, job: Job) -> None:
        """Mark the record of a job as changed."""
        job.version += 1
        self._dirty.add(job)

    def list_dirty(self, limit: int) -> list[tuple[Job, int]]:
        """Return jobs with changes that aren't durable, and the version to write for each."""
        return [(job, job.version) for job in self._dirty.select(limit)]

    def list_unsaved(self) -> list[Job]:
        """Return jobs that have no durable record yet."""
        return self._dirty.list_unsaved()

    @property
    def dirty_count(self) -> int:
        """Number of jobs with changes that aren't durable."""
        return len(self._dirty)

    def mark_durable(self, job: Job, version: int) -> None:
        """Mark the record of a job as durable up to a version."""
        job.durable_version = max(job.durable_version, version)
        self._dirty.remove(job.record.id)
        if job.durable_version < job.version:
            # Behind the others, which would never be written while this one goes on changing.
            self._dirty.add(job)
