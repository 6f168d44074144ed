"""Simulation of serving, urgent and best-effort jobs of a cell on a virtual clock.

Best-effort tasks share the processor time that the other tasks on their runner leave unused. They
interfere with serving tasks, to a degree that depends on the pair of images. The load of a serving
task oscillates. Runners report every half second, with means of their samples since the previous
report. Callers retry a rejected job after ``Retry-After``, up to four times.

Kinds, sizes, rates and values of jobs are those that the users specify. The interference, the
oscillation and the errors of estimates are assumptions that are consistent with runner reports.

``python -m benchmarks.colocation [--seeds=N] [--seconds=N] [--runners=N] [--load=X]``
"""

from __future__ import annotations

import math
import random
import statistics
import sys
from collections.abc import Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor

import attrs
from absl import app, flags

from coltsfootpier.cells import (
    Accepted,
    Cell,
    CellSettings,
    EndedRow,
    EndKind,
    PaceRun,
    Rejected,
    RunId,
    RunnerEntry,
    RunnerReport,
    RunningRow,
    StartOutcome,
    StartRun,
    StopRun,
)
from coltsfootpier.jobs import JobSpec, JobState, Queue, StepSpec

# Length of a simulation tick.
_TICK_MS = 50.0
_REPORT_PERIOD_MS = 500.0
# Time after its start from which a long-running task serves callers.
_STARTUP_TIME_MS = 500.0
_UNIX_OFFSET_MS = 1_700_000_000_000.0
# Tail latency of a serving task without load, and latency target of all serving tasks.
_IDLE_TAIL_LATENCY_MS = 4.0
_LATENCY_TARGET_MS = 24.0
# Mean utilisation of a serving task, amplitude of its oscillation relative to the mean, and period.
_MEAN_LOAD_SHARE, _LOAD_AMPLITUDE_SHARE, _LOAD_PERIOD_MS = 0.48, 0.5, 9_500.0
_SERVING_IMAGE_COUNT, _BEST_EFFORT_IMAGE_COUNT = 5, 9
# Share of image pairs with high interference, and the ranges of high and low interference: the
# utilisation that a best-effort image adds to a serving image, per share of the processors.
_HIGH_INTERFERENCE_SHARE, _HIGH_INTERFERENCE, _LOW_INTERFERENCE = 0.55, (1.3, 5.0), (0.0, 0.3)
_MAX_RETRIES = 4
# Weight of time over the latency target that best-effort tasks on the runner cause; other time over
# the target has a weight of 1.
_INTERFERENCE_PENALTY_FACTOR = 4.0
# A job that misses its objective but ends within three times the objective earns 0.15 of its value.
_LATE_LIMIT_FACTOR, _LATE_VALUE_SHARE = 3.0, 0.15
# Value that a long-running job of mean size (six tasks) earns every 2 s while all its tasks run; if
# only some of them run, it earns their share of it.
_LONG_RUNNING_VALUE = 0.413

_QUEUES = {
    "urgent": Queue(name="urgent", service="web", max_attempts=3, stretch=1.5, objective_ms=300.0),
    "batch": Queue(name="batch", service="web", max_attempts=4, stretch=2.0, objective_ms=1_000.0),
    "lasting": Queue(
        name="lasting", service="web", max_attempts=4, stretch=2.2, objective_ms=2_500.0
    ),
}
# Arrival rate of each kind of job for 24 runners, and value of a job of mean size.
_JOBS_PER_S = {"urgent": 2.65, "batch": 2.4, "lasting": 0.1}
_MEAN_VALUES = {"urgent": 0.36, "batch": 2.0}


@attrs.define
class _TaskRun:
    """Run of a task on a simulated runner.

    Parameters
    ----------
    duration_ms : float
        Run time with all the processor time that the task requests; infinite for long-running ones.
    progress_ms : float
        Part of `duration_ms` that is done.
    pace : int
        Percentage of the requested processor time that a best-effort task may use.
    age_ms : float
        Time since the start.
    sample_sum, sample_count : float, int
        Sum and number of the samples since the last report: the processor use of a best-effort run
        in thousandths of a core, or the tail latency of a serving run in milliseconds.
    """

    run_id: RunId
    spec: StepSpec
    duration_ms: float
    progress_ms: float = 0.0
    pace: int = 100
    age_ms: float = 0.0
    sample_sum: float = 0.0
    sample_count: int = 0

    @property
    def checkpoint(self) -> str:
        """Saved progress; urgent tasks save none, so that a copy starts from the beginning."""
        return f"{self.progress_ms}" if self.spec.fills or self.spec.long_running else ""


@attrs.define
class _SimulatedRunner:
    entry: RunnerEntry
    task_runs: dict[RunId, _TaskRun] = attrs.field(factory=dict)
    ended: list[EndedRow] = attrs.field(factory=list)
    last_end_number: int = 0
    next_report_ms: float = 0.0
    has_unreported_end: bool = False
    # Share of its speed at which its tasks make progress, and until when; see `benchmarks.copies`.
    speed: float = 1.0
    slow_until_ms: float = 0.0


@attrs.define
class _Submission:
    """Job as its caller sees it; times are in ms on the virtual clock.

    Parameters
    ----------
    kind : str
        ``urgent``, ``batch`` or ``lasting`` (a long-running job).
    objective_ms : float
        Time from the submission within which the job must be completed to earn its full value.
    attempts : int
        Number of times that the caller submitted the job.
    next_attempt_ms : float
        Time of the next submission; infinite if there is none.
    ended_ms : float
        Time of completion; infinite until then.
    """

    id: str
    kind: str
    spec: JobSpec
    submitted_ms: float
    objective_ms: float
    value: float
    attempts: int = 0
    next_attempt_ms: float = 0.0
    is_accepted: bool = False
    ended_ms: float = math.inf


@attrs.define
class Outcome:
    """Results of one simulation, printed under the names of the fields.

    Parameters
    ----------
    batch, urgent, lasting, total : float
        Earned share of the value of the offered jobs, by kind and in total. ``lasting`` is the
        kind of long-running jobs.
    refused : float
        Share of the batch and urgent jobs that were never accepted.
    over_share : float
        Share of the samples of serving tasks with a tail latency over the target.
    fill_cores : float
        Mean number of cores that best-effort tasks used.
    """

    batch: float = 0.0
    urgent: float = 0.0
    lasting: float = 0.0
    total: float = 0.0
    refused: float = 0.0
    over_share: float = 0.0
    fill_cores: float = 0.0


class Simulation:
    """One seeded simulation.

    Parameters
    ----------
    seed : int
        Determines the interference of image pairs, and the arrival, size and duration of the jobs.
    runners : int
        Number of runners.
    job_rate_factor : float
        Factor on the default job rates.
    settings : CellSettings
        Limits and weights of the scheduling decisions.
    """

    queues: Mapping[str, Queue] = _QUEUES
    # Arrival rate of each kind of job for 24 runners, and value of a job of mean size.
    jobs_per_s: Mapping[str, float] = _JOBS_PER_S
    mean_values: Mapping[str, float] = _MEAN_VALUES
    # Size of two thirds of the runners; the others are 1.5 times as large.
    runner_cpu_milli, runner_memory_mb = 16_000, 64_000
    # Mean requested processor time of a job in us, to which its value is relative.
    mean_cpu_time_us: Mapping[str, float] = {"batch": 55e6, "urgent": 8.5e6}

    def __init__(
        self, *, seed: int, runners: int = 24, job_rate_factor: float = 1.0, settings: CellSettings
    ) -> None:
        self._rng = random.Random(seed)
        self._job_rate_factor = job_rate_factor * runners / 24
        self.now_ms = 1_000.0
        self.cell = Cell(settings=settings, generation=1, log=lambda event, /, **fields: None)
        self._settings = settings
        rng = self._rng
        self.interference = {
            (f"s{serving}", f"f{best_effort}"): rng.uniform(
                *(
                    _HIGH_INTERFERENCE
                    if rng.random() < _HIGH_INTERFERENCE_SHARE
                    else _LOW_INTERFERENCE
                )
            )
            for serving in range(_SERVING_IMAGE_COUNT)
            for best_effort in range(_BEST_EFFORT_IMAGE_COUNT)
        }
        self._phases: dict[str, float] = {}
        self._runners = {}
        for number in range(runners):
            size_factor = 1.0 if number % 3 else 1.5
            entry = RunnerEntry(
                id=f"r{number}",
                service="web",
                address="127.0.0.1:1",
                cpu_milli=round(self.runner_cpu_milli * size_factor),
                memory_mb=round(self.runner_memory_mb * size_factor),
                rack=f"rack{number // 8}",
                started_unix_ms=1,
            )
            self._runners[entry.id] = _SimulatedRunner(
                entry, next_report_ms=rng.uniform(0, _REPORT_PERIOD_MS)
            )
        self._submissions: list[_Submission] = []
        self._open_submissions: dict[str, _Submission] = {}
        self._durations_ms: dict[tuple[str, int], list[float]] = {}
        self._long_running_offered = self._long_running_earned = 0.0
        self._samples_over_target = self._serving_samples = 0
        self._best_effort_cores_sum = 0.0
        self._best_effort_samples = 0

    # Jobs

    def _build_spec(self, kind: str) -> tuple[JobSpec, list[list[float]]]:
        """Return a random job specification, and the duration of each task in ms by step."""
        rng = self._rng
        image = f"f{_choose_image(rng, _BEST_EFFORT_IMAGE_COUNT)}"
        steps, durations_ms = [], []
        if kind == "lasting":
            step = StepSpec(
                count=max(1, round(rng.gauss(6, 2.4))),
                cpu_milli=max(500, round(rng.gauss(3_200, 800), -1)),
                memory_mb=6_400,
                long_running=True,
                image=f"s{_choose_image(rng, _SERVING_IMAGE_COUNT)}",
                latency_target_ms=_LATENCY_TARGET_MS,
                max_per_runner=rng.choice((0, 0, 0, 1, 2)),
            )
            return JobSpec(payload="", steps=(step,)), []
        is_best_effort = kind == "batch"
        checkpointed = rng.random() < 0.85
        cpu_milli = rng.gauss(1_800, 540) if is_best_effort else rng.gauss(1_100, 450)
        cpu_milli = max(200, round(cpu_milli))
        mean_ms, estimate_error, mean_count = (
            (2_500.0, 0.9, 8.0) if is_best_effort else (800.0, 0.5, 6.0)
        )
        for number in range(1 + (rng.random() < (0.8 if is_best_effort else 0.5))):
            actual_ms = mean_ms * rng.lognormvariate(-0.11, 0.47)
            count = max(1, min(32, round(mean_count * rng.lognormvariate(-0.18, 0.6))))
            steps.append(
                StepSpec(
                    count=count,
                    cpu_milli=cpu_milli,
                    memory_mb=3_200 if is_best_effort else 2_200,
                    estimate_ms=actual_ms * rng.lognormvariate(0.0, estimate_error),
                    after=(number - 1,) if number else (),
                    fills=is_best_effort,
                    checkpointed=is_best_effort and checkpointed,
                    image=image if is_best_effort else "",
                )
            )
            durations_ms.append([actual_ms * rng.uniform(0.85, 1.15) for _ in range(count)])
        return JobSpec(payload="", steps=tuple(steps)), durations_ms

    def _submit_new_job(self, kind: str) -> None:
        spec, durations_ms = self._build_spec(kind)
        job_id = f"{len(self._submissions):016x}"
        for number, task_durations_ms in enumerate(durations_ms):
            self._durations_ms[job_id, number] = task_durations_ms
        critical_path_ms = sum(max(task_durations_ms) for task_durations_ms in durations_ms)
        cpu_time_us = sum(
            step.cpu_milli * sum(task_durations_ms)
            for step, task_durations_ms in zip(spec.steps, durations_ms, strict=False)
        )
        # The value grows with the requested processor time, up to four times the mean value.
        mean_cpu_time_us = self.mean_cpu_time_us.get(kind, 1.0)
        self._submissions.append(
            _Submission(
                job_id,
                kind,
                spec,
                self.now_ms,
                self._compute_objective_ms(kind, critical_path_ms, durations_ms),
                self.mean_values.get(kind, 0.0)
                * min(4.0, 0.3 + 0.7 * cpu_time_us / mean_cpu_time_us),
                next_attempt_ms=self.now_ms,
            )
        )
        self._submit_job(self._submissions[-1])

    def _compute_objective_ms(
        self, kind: str, critical_path_ms: float, durations_ms: list[list[float]]
    ) -> float:
        """Return the time in ms in which a job has to end for its full value."""
        queue = self.queues[kind]
        return queue.stretch * critical_path_ms + queue.objective_ms

    def _submit_job(self, submission: _Submission) -> None:
        """Submit a job to the cell; a rejected job gets a time for its next attempt."""
        submission.attempts += 1
        result = self.cell.submit(
            submission.id,
            self.queues[submission.kind],
            submission.spec,
            now_ms=self.now_ms,
            unix_ms=_UNIX_OFFSET_MS + self.now_ms,
        )
        if isinstance(result, Accepted):
            submission.is_accepted = True
            submission.next_attempt_ms = math.inf
            self._open_submissions[submission.id] = submission
        elif isinstance(result, Rejected):
            wait_ms = math.ceil(result.retry_after_ms / 1000) * 1000.0
            submission.next_attempt_ms = (
                self.now_ms + wait_ms if submission.attempts <= _MAX_RETRIES else math.inf
            )

    # Runners

    def _compute_load(self, job_id: str) -> float:
        """Return the utilisation of each task of a serving job at this time."""
        phase = self._phases.setdefault(job_id, self._rng.uniform(0, 2 * math.pi))
        return _MEAN_LOAD_SHARE * (
            1
            + _LOAD_AMPLITUDE_SHARE * math.sin(2 * math.pi * self.now_ms / _LOAD_PERIOD_MS + phase)
        )

    def _advance_runner(self, runner: _SimulatedRunner) -> None:
        """Advance all tasks of a runner by one tick and take a sample of each."""
        cpu_milli = runner.entry.cpu_milli
        serving = [
            task_run for task_run in runner.task_runs.values() if task_run.spec.latency_target_ms
        ]
        best_effort = [task_run for task_run in runner.task_runs.values() if task_run.spec.fills]
        loads = {
            task_run.run_id: self._compute_load(task_run.run_id.job_id) for task_run in serving
        }
        used_cpu_milli = sum(
            task_run.spec.cpu_milli * loads[task_run.run_id] for task_run in serving
        )
        used_cpu_milli += sum(
            task_run.spec.cpu_milli
            for task_run in runner.task_runs.values()
            if not task_run.spec.fills and not task_run.spec.long_running
        )
        demanded_cpu_milli = sum(
            task_run.spec.cpu_milli * task_run.pace / 100 for task_run in best_effort
        )
        granted_share = (
            min(1.0, max(0.0, cpu_milli - used_cpu_milli) / demanded_cpu_milli)
            if demanded_cpu_milli
            else 0.0
        )
        for task_run in best_effort:
            progress_rate = granted_share * task_run.pace / 100
            task_run.progress_ms += runner.speed * progress_rate * _TICK_MS
            task_run.sample_sum += task_run.spec.cpu_milli * progress_rate
            task_run.sample_count += 1
            self._best_effort_cores_sum += task_run.spec.cpu_milli * progress_rate / 1000
        for task_run in serving:
            added_utilisation = sum(
                self.interference[task_run.spec.image, best_effort_run.spec.image]
                * (
                    best_effort_run.spec.cpu_milli
                    * granted_share
                    * best_effort_run.pace
                    / 100
                    / cpu_milli
                )
                for best_effort_run in best_effort
            )
            utilisation = min(0.97, loads[task_run.run_id] + added_utilisation)
            tail_latency_ms = _IDLE_TAIL_LATENCY_MS / (1 - utilisation)
            task_run.sample_sum += tail_latency_ms
            task_run.sample_count += 1
            if task_run.age_ms >= _STARTUP_TIME_MS:
                undisturbed_tail_latency_ms = _IDLE_TAIL_LATENCY_MS / (1 - loads[task_run.run_id])
                self._serving_samples += 1
                self._long_running_earned += 1
                if tail_latency_ms > _LATENCY_TARGET_MS:
                    self._samples_over_target += 1
                    self._long_running_earned -= (
                        1.0
                        if undisturbed_tail_latency_ms > _LATENCY_TARGET_MS
                        else _INTERFERENCE_PENALTY_FACTOR
                    )
        for task_run in list(runner.task_runs.values()):
            task_run.age_ms += _TICK_MS
            if not task_run.spec.fills and not task_run.spec.long_running:
                task_run.progress_ms += runner.speed * _TICK_MS
            if not task_run.spec.long_running and task_run.progress_ms >= task_run.duration_ms:
                self._end_run(runner, task_run.run_id, EndKind.DONE)

    def _end_run(self, runner: _SimulatedRunner, run_id: RunId, end_kind: EndKind) -> None:
        task_run = runner.task_runs.pop(run_id)
        runner.last_end_number += 1
        runner.ended.append(EndedRow(runner.last_end_number, run_id, end_kind, task_run.checkpoint))
        runner.has_unreported_end = True

    def _send_report(self, runner: _SimulatedRunner) -> None:
        """Report the state of a runner to the cell; the report also renews the lease."""
        runner_id = runner.entry.id
        acknowledged_end = self.cell.fleet.get_last_durable_end(runner_id)
        runner.ended = [row for row in runner.ended if row.number > acknowledged_end]
        self.cell.fleet.set_lease_expiry(runner_id, self.now_ms + self._settings.run_lease_ms)
        is_report_due = self.now_ms >= runner.next_report_ms
        if is_report_due:
            runner.next_report_ms += _REPORT_PERIOD_MS
        running_rows = []
        for task_run in runner.task_runs.values():
            percent = min(99.0, 100 * task_run.progress_ms / task_run.duration_ms)
            if task_run.spec.long_running:
                percent = 100.0 if task_run.age_ms >= _STARTUP_TIME_MS else 0.0
            measured = task_run.sample_sum / task_run.sample_count if task_run.sample_count else 0.0
            running_rows.append(
                RunningRow(task_run.run_id, task_run.checkpoint, percent, float(round(measured)))
            )
        runner.has_unreported_end = False
        self.cell.apply_report(
            runner_id,
            RunnerReport(
                clock_ms=self.now_ms,
                started_unix_ms=1,
                running=tuple(running_rows),
                ended=tuple(runner.ended),
                sent_ms=self.now_ms,
                received_ms=self.now_ms,
            ),
            self.now_ms,
        )
        if is_report_due:
            # The next report covers the time since this one.
            for task_run in runner.task_runs.values():
                task_run.sample_sum, task_run.sample_count = 0.0, 0

    def _choose_duration_ms(self, run_id: RunId, duration_ms: float) -> float:
        """Return the duration of one run of a task in ms; runs of a task may differ."""
        return duration_ms

    def _execute_commands(self) -> None:
        """Execute the commands of the cell on the runners at once."""
        self.cell.record_confirmation(self.now_ms)
        for command in self.cell.plan(self.now_ms, _UNIX_OFFSET_MS + self.now_ms):
            runner = self._runners[command.runner_id]
            if isinstance(command, StartRun):
                step = self.cell.jobs.find_step(command.run)
                durations_ms = self._durations_ms.get((command.run.job_id, command.run.key.step))
                duration_ms = durations_ms[command.run.key.index] if durations_ms else math.inf
                duration_ms = self._choose_duration_ms(command.run, duration_ms)
                task_run = _TaskRun(command.run, step.spec, duration_ms)
                task_run.progress_ms = float(command.checkpoint or 0.0)
                runner.task_runs[command.run] = task_run
                self.cell.handle_start_response(
                    command.runner_id, command.run, StartOutcome.STARTED, self.now_ms
                )
            elif isinstance(command, StopRun):
                if command.run in runner.task_runs:
                    self._end_run(runner, command.run, EndKind.STOPPED)
                self.cell.handle_stop_response(
                    command.runner_id, command.run, self.now_ms, sent_ms=self.now_ms
                )
            elif isinstance(command, PaceRun) and command.run in runner.task_runs:
                runner.task_runs[command.run].pace = command.percent

    # Simulation

    def _generate_arrivals(self, batch_rate_factor: float) -> Iterator[str]:
        """Yield the kind of each job that arrives in this tick."""
        for kind, rate in self.jobs_per_s.items():
            rate_factor = batch_rate_factor if kind == "batch" else 1.0
            if self._rng.random() < rate * self._job_rate_factor * rate_factor * _TICK_MS / 1000:
                yield kind

    def advance(
        self, duration_ms: float, *, batch_rate_factor: float = 1.0, with_arrivals: bool = True
    ) -> None:
        """Advance the simulation by a period.

        Parameters
        ----------
        duration_ms : float
            Length of the period.
        batch_rate_factor : float
            Factor on the arrival rate of batch jobs.
        with_arrivals : bool
            Whether new jobs arrive.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _TICK_MS
            for kind in self._generate_arrivals(batch_rate_factor) if with_arrivals else ():
                self._submit_new_job(kind)
            # Only the newest 400 jobs are retried, which bounds the search.
            for submission in self._submissions[-400:]:
                if submission.next_attempt_ms <= self.now_ms:
                    self._submit_job(submission)
            for runner in self._runners.values():
                self._advance_runner(runner)
            self._best_effort_samples += 1
            for runner in self._runners.values():
                if runner.has_unreported_end or self.now_ms >= runner.next_report_ms:
                    self._send_report(runner)
            self._execute_commands()
            for job_id, version in self.cell.jobs.list_dirty(1_000):
                self.cell.jobs.mark_durable(job_id, version)
            self._record_completions()

    def _record_completions(self) -> None:
        """Record completed jobs, and the value that long-running jobs could have earned."""
        for job_id, submission in list(self._open_submissions.items()):
            job = self.cell.jobs.jobs[job_id]
            if job.record.state is JobState.COMPLETED:
                submission.ended_ms = self.now_ms
                del self._open_submissions[job_id]
        long_running_submissions = [
            submission
            for submission in self._submissions
            if submission.kind == "lasting" and submission.is_accepted
        ]
        self._long_running_offered += sum(
            submission.spec.steps[0].count for submission in long_running_submissions
        )

    def start(self) -> None:
        """Register the runners, start long-running jobs and reset the results.

        The long-running jobs request 85 % of all processors. They start before all other jobs.
        """
        entries = [runner.entry for runner in self._runners.values()]
        self.cell.set_runners(entries, self.now_ms)
        self.cell.fleet.mark_recorded(self._runners)
        for runner in self._runners.values():
            runner.next_report_ms += self.now_ms
            self._send_report(runner)
        declared_cpu_milli = 0
        total_cpu_milli = sum(entry.cpu_milli for entry in entries)
        while declared_cpu_milli < 0.85 * total_cpu_milli:
            self._submit_new_job("lasting")
            step = self._submissions[-1].spec.steps[0]
            declared_cpu_milli += step.count * step.cpu_milli
        self.advance(3_000, with_arrivals=False)
        self._samples_over_target = self._serving_samples = 0
        self._long_running_offered = self._long_running_earned = self._best_effort_cores_sum = 0.0
        self._best_effort_samples = 0

    def measure(self) -> Outcome:
        """Return the results since `start` was called."""
        offered = dict.fromkeys(self.mean_values, 1e-9)
        earned = dict.fromkeys(self.mean_values, 0.0)
        refused_count = 0
        submissions = [
            submission for submission in self._submissions if submission.kind in self.mean_values
        ]
        for submission in submissions:
            offered[submission.kind] += submission.value
            elapsed_ms = submission.ended_ms - submission.submitted_ms
            if elapsed_ms <= submission.objective_ms:
                earned[submission.kind] += submission.value
            elif elapsed_ms <= _LATE_LIMIT_FACTOR * submission.objective_ms:
                earned[submission.kind] += submission.value * _LATE_VALUE_SHARE
            refused_count += not submission.is_accepted
        # Converts the value of six tasks in 2 s to that of one task in one tick.
        value_per_sample = _LONG_RUNNING_VALUE / 6.0 * _TICK_MS / 2_000
        long_running_offered = self._long_running_offered * value_per_sample
        long_running_earned = max(0.0, self._long_running_earned * value_per_sample)
        total_offered = sum(offered.values()) + long_running_offered
        return Outcome(
            batch=earned["batch"] / offered["batch"],
            urgent=earned["urgent"] / offered["urgent"],
            lasting=long_running_earned / max(1e-9, long_running_offered),
            total=(sum(earned.values()) + long_running_earned) / max(1e-9, total_offered),
            refused=refused_count / max(1, len(submissions)),
            over_share=self._samples_over_target / max(1, self._serving_samples),
            fill_cores=self._best_effort_cores_sum / max(1, self._best_effort_samples),
        )


def _choose_image(rng: random.Random, count: int) -> int:
    """Choose an image at random; lower numbers are more likely."""
    return rng.choices(range(count), [1 / (1 + number) for number in range(count)])[0]


def simulate(
    seed: int,
    *,
    seconds: float,
    runners: int,
    job_rate_factor: float,
    settings: CellSettings | None = None,
) -> Outcome:
    """Simulate one seed, including a burst of batch jobs.

    After 20 % of the time, batch jobs arrive 2.4 times as often for 15 % of the time. The
    simulation continues for 20 s after the last arrival, so that accepted jobs can end.

    Parameters
    ----------
    seed : int
        Seed of the simulation.
    seconds : float
        Time in which jobs arrive, on the virtual clock.
    runners : int
        Number of runners.
    job_rate_factor : float
        Factor on the default job rates.
    settings : CellSettings, optional
        Settings of the cell; None selects the defaults.
    """
    simulation = Simulation(
        seed=seed,
        runners=runners,
        job_rate_factor=job_rate_factor,
        settings=settings or CellSettings(),
    )
    simulation.start()
    simulation.advance(seconds * 200)
    simulation.advance(seconds * 150, batch_rate_factor=2.4)
    simulation.advance(seconds * 650)
    simulation.advance(20_000, with_arrivals=False)
    return simulation.measure()


def _simulate_case(arguments: tuple[int, float, int, float]) -> Outcome:
    seed, seconds, runners, job_rate_factor = arguments
    return simulate(seed, seconds=seconds, runners=runners, job_rate_factor=job_rate_factor)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    print(f"{'load':>5} " + " ".join(f"{field.name:>11}" for field in attrs.fields(Outcome)))
    with ProcessPoolExecutor(options.processes) as pool:
        for load in (float(value) for value in options.load):
            cases = [
                (seed, options.seconds, options.runners, load)
                for seed in range(1, options.seeds + 1)
            ]
            rows = [attrs.astuple(outcome) for outcome in pool.map(_simulate_case, cases)]
            means = [statistics.fmean(column) for column in zip(*rows, strict=True)]
            print(f"{load:5.2f} " + " ".join(f"{value:11.3f}" for value in means))
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 6, "Number of seeds, from 1.")
    flags.DEFINE_float("seconds", 40.0, "Virtual time in which jobs arrive, in s.")
    flags.DEFINE_integer("runners", 24, "Number of runners.")
    flags.DEFINE_list("load", ["0.7", "1.0"], "Factors on the default job rates.")
    flags.DEFINE_integer("processes", 2, "Number of processes; each uses a full core.")
    sys.exit(app.run(_run))
