"""Simulation of a cell with more work than capacity, on a virtual clock.

Extends `benchmarks.colocation` by memory demands, bursts, runners that are slow or crash, tasks
that take seven times as long as declared, and long-running jobs that come and go. Sizes, rates,
objectives and values are those of ``docs/load-and-limits.md``; the interference of images is that
of `benchmarks.colocation`.

``python -m benchmarks.overload [--seeds=N] [--seconds=N] [--runners=N] [--load=X]``
"""

from __future__ import annotations

import math
import statistics
import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import attrs
from absl import app, flags

from benchmarks import colocation
from coltsfootpier.cells import CellSettings, RunnerReport, StartOutcome, StartRun
from coltsfootpier.jobs import JobSpec, JobState, Queue, StepSpec

_QUEUES = {
    "urgent": Queue(
        name="urgent", service="web", priority=0, max_attempts=2, stretch=1.5, objective_ms=280.0
    ),
    "batch": Queue(
        name="batch", service="web", priority=2, max_attempts=3, stretch=2.0, objective_ms=1_000.0
    ),
    "lasting": Queue(
        name="lasting", service="web", priority=0, max_attempts=3, stretch=2.2, objective_ms=2_500.0
    ),
}
_FLEET_SIZE = 176
# Share of the tasks that take seven times as long as the others of their step.
_STRAGGLER_SHARE, _STRAGGLER_FACTOR = 0.03, 7.0
# A long-running job lasts 70 s on average and at most three times that.
_LASTING_MEAN_MS, _LASTING_MAX_MS = 70_000.0, 210_000.0
# Demand varies by up to half within 15 s; every 12 s a burst of one kind of job takes 4 s.
_SWING, _SWING_PERIOD_MS = 0.35, 15_000.0
_BURST_FACTOR, _BURST_MS, _BURST_PERIOD_MS = 2.3, 4_000.0, 12_000.0
# A sixth of the runners is slow or down for 6.5 s, in turns.
_FAULT_SHARE, _FAULT_MS, _FAULT_PERIOD_MS = 1 / 6, 6_500.0, 16_000.0
_SLOW_SPEED = 0.2


@attrs.define
class KindOutcome:
    """Results of one kind of job, printed under the names of the fields.

    Parameters
    ----------
    value : float
        Earned share of the value of the offered jobs.
    on_time, late, rejected, unfinished : float
        Shares of the offered jobs. An unfinished job was accepted and had no result of value.
    start_p95_ms : float
        Time from the first submission to the first start of an accepted job, 95th percentile.
    retries_accepted : float
        Share of the submissions after a rejection that were accepted.
    """

    value: float
    on_time: float
    late: float
    rejected: float
    unfinished: float
    start_p95_ms: float
    retries_accepted: float


class OverloadSimulation(colocation.Simulation):
    """One seeded simulation with bursts and runners that are slow or down."""

    queues = _QUEUES
    jobs_per_s = {
        kind: rate * 24 / _FLEET_SIZE
        for kind, rate in (("urgent", 6.5), ("batch", 7.0), ("lasting", 0.3))
    }
    mean_values = {"urgent": 0.35, "batch": 1.7}
    runner_cpu_milli, runner_memory_mb = 28_000, 107_000
    mean_cpu_time_us = {"urgent": 1.6 * 10 * 3_900 * 750, "batch": 2 * 20 * 3_500 * 2_200}

    def __init__(
        self, *, with_faults: bool = True, straggler_share: float = _STRAGGLER_SHARE, **options
    ) -> None:
        super().__init__(**options)
        self._with_faults, self._straggler_share = with_faults, straggler_share
        self._down_until_ms: dict[str, float] = {}
        self._slow_until_ms: dict[str, float] = {}
        self._next_fault_ms = _FAULT_PERIOD_MS / 2
        self._cancel_ms: dict[str, float] = {}
        self._first_start_ms: dict[str, float] = {}
        self._retries, self._accepted_retries = Counter(), Counter()
        self._token = 1

    def _build_spec(self, kind: str) -> tuple[JobSpec, list[list[float]]]:
        rng = self._rng
        if kind == "lasting":
            step = StepSpec(
                count=max(1, round(rng.gauss(14, 4))),
                cpu_milli=max(1_000, round(rng.gauss(6_400, 1_200), -1)),
                memory_mb=13_000,
                long_running=True,
                may_miss=2,
                image=f"s{colocation._choose_image(rng, colocation._SERVING_IMAGE_COUNT)}",
                latency_target_ms=colocation._LATENCY_TARGET_MS,
            )
            return JobSpec(payload="", steps=(step,)), []
        is_batch = kind == "batch"
        image = f"f{colocation._choose_image(rng, colocation._BEST_EFFORT_IMAGE_COUNT)}"
        checkpointed = is_batch and rng.random() < 0.85
        cpu_milli = round(rng.gauss(3_500, 500) if is_batch else rng.gauss(3_900, 500))
        steps, durations_ms = [], []
        for number in range(2 if is_batch or rng.random() < 0.6 else 1):
            mean_ms = (2_200.0 if is_batch else 750.0) * rng.lognormvariate(-0.03, 0.25)
            count = max(1, round((20 if is_batch else 10) * rng.lognormvariate(-0.06, 0.35)))
            steps.append(
                StepSpec(
                    count=count,
                    cpu_milli=max(500, cpu_milli),
                    memory_mb=6_400 if is_batch else 7_400,
                    estimate_ms=mean_ms * rng.lognormvariate(0.0, 0.2),
                    after=(number - 1,) if number else (),
                    fills=is_batch,
                    checkpointed=checkpointed,
                    image=image if is_batch else "",
                )
            )
            durations_ms.append(
                [
                    mean_ms
                    * rng.uniform(0.9, 1.1)
                    * (_STRAGGLER_FACTOR if rng.random() < self._straggler_share else 1.0)
                    for _ in range(count)
                ]
            )
        return JobSpec(payload="", steps=tuple(steps)), durations_ms

    def _compute_objective_ms(
        self, kind: str, critical_path_ms: float, durations_ms: list[list[float]]
    ) -> float:
        """Return the objective on healthy runners, for which a typical task of a step counts."""
        queue = self.queues[kind]
        return (
            queue.stretch * sum(statistics.median(step) for step in durations_ms)
            + queue.objective_ms
        )

    def _submit_job(self, submission) -> None:
        is_retry = submission.attempts > 0
        super()._submit_job(submission)
        if is_retry:
            self._retries[submission.kind] += 1
            self._accepted_retries[submission.kind] += submission.is_accepted
        if submission.is_accepted and submission.kind == "lasting":
            left_ms = min(_LASTING_MAX_MS, self._rng.expovariate(1 / _LASTING_MEAN_MS))
            self._cancel_ms[submission.id] = self.now_ms + max(3_000.0, left_ms)

    def _generate_arrivals(self, batch_rate_factor: float) -> Iterator[str]:
        phase = self.now_ms % _BURST_PERIOD_MS
        bursting = ("urgent", "batch")[int(self.now_ms // _BURST_PERIOD_MS) % 2]
        swing = 1 + _SWING * math.sin(2 * math.pi * self.now_ms / _SWING_PERIOD_MS)
        for kind, rate in self.jobs_per_s.items():
            factor = swing if kind != "lasting" else 1.0
            if kind == bursting and phase < _BURST_MS:
                factor *= _BURST_FACTOR
            expected = rate * self._job_rate_factor * factor * colocation._TICK_MS / 1000
            while expected > 0:
                if self._rng.random() < min(1.0, expected):
                    yield kind
                expected -= 1.0

    # Runners

    def _is_down(self, runner) -> bool:
        return self.now_ms < self._down_until_ms.get(runner.entry.id, 0.0)

    def _start_faults(self) -> None:
        if not self._with_faults or self.now_ms < self._next_fault_ms:
            return
        self._next_fault_ms += _FAULT_PERIOD_MS
        names = self._rng.sample(sorted(self._runners), round(len(self._runners) * _FAULT_SHARE))
        until_ms = self.now_ms + _FAULT_MS
        if self._rng.random() < 0.5:
            self._slow_until_ms.update(dict.fromkeys(names, until_ms))
            return
        self._down_until_ms.update(dict.fromkeys(names, until_ms))
        for name in names:
            runner = self._runners[name]
            runner.task_runs.clear()
            runner.ended.clear()
            runner.has_unreported_end = False
            runner.last_end_number = 0
            started_unix_ms = runner.entry.started_unix_ms + 1
            runner.entry = attrs.evolve(runner.entry, started_unix_ms=started_unix_ms)
            runner.next_report_ms = until_ms

    def _advance_runner(self, runner) -> None:
        if self._is_down(runner):
            return
        is_slow = self.now_ms < self._slow_until_ms.get(runner.entry.id, 0.0)
        before = {run_id: run.progress_ms for run_id, run in runner.task_runs.items()}
        super()._advance_runner(runner)
        if is_slow:
            for run_id, run in runner.task_runs.items():
                run.progress_ms = before[run_id] + _SLOW_SPEED * (run.progress_ms - before[run_id])

    def _send_report(self, runner) -> None:
        if self._is_down(runner):
            return
        started_unix_ms = runner.entry.started_unix_ms
        original = RunnerReport

        def build_report(**fields):
            return original(**{**fields, "started_unix_ms": started_unix_ms})

        colocation.RunnerReport = build_report
        try:
            super()._send_report(runner)
        finally:
            colocation.RunnerReport = original

    def _execute_commands(self) -> None:
        self._start_faults()
        for job_id, end_ms in list(self._cancel_ms.items()):
            if self.now_ms >= end_ms:
                self.cell.cancel(job_id, self.now_ms)
                del self._cancel_ms[job_id]
        fleet = self.cell.fleet
        if fleet.needs_token:
            self._token += 1
            fleet.set_token(self._token, self.now_ms)
        fleet.mark_long_leases_recorded(fleet.list_long_leases(self.now_ms))
        plan = self.cell.plan

        def plan_reachable(now_ms: float, unix_ms: float):
            """Drop the commands to runners that are down; starts there have no response."""
            commands = []
            for command in plan(now_ms, unix_ms):
                if not self._is_down(self._runners[command.runner_id]):
                    commands.append(command)
                    if isinstance(command, StartRun):
                        self._first_start_ms.setdefault(command.run.job_id, now_ms)
                elif isinstance(command, StartRun):
                    self.cell.handle_start_response(
                        command.runner_id, command.run, StartOutcome.UNKNOWN, now_ms
                    )
            return commands

        self.cell.plan = plan_reachable
        try:
            super()._execute_commands()
        finally:
            del self.cell.plan

    def _record_completions(self) -> None:
        for job_id in list(self._open_submissions):
            state = self.cell.jobs.jobs[job_id].record.state
            if state in (JobState.CANCELLED, JobState.FAILED):
                del self._open_submissions[job_id]
        for submission in self._submissions:
            if submission.id in self._open_submissions and submission.kind == "lasting":
                self._long_running_offered += submission.spec.steps[0].count
        offered = self._long_running_offered
        super()._record_completions()
        # The base class counts long-running jobs as if they never ended.
        self._long_running_offered = offered

    def start(self) -> None:
        """Register the runners and start the long-running jobs of a usual moment."""
        entries = [runner.entry for runner in self._runners.values()]
        self.cell.set_runners(entries, self.now_ms)
        self.cell.fleet.mark_recorded(self._runners)
        for runner in self._runners.values():
            runner.next_report_ms += self.now_ms
            self._send_report(runner)
        rate_per_s = self.jobs_per_s["lasting"] * self._job_rate_factor
        for _ in range(round(rate_per_s * _LASTING_MEAN_MS / 1000)):
            self._submit_new_job("lasting")
        self.advance(3_000, with_arrivals=False)
        self._samples_over_target = self._serving_samples = 0
        self._long_running_offered = self._long_running_earned = self._best_effort_cores_sum = 0.0
        self._best_effort_samples = 0

    def measure_kind(self, kind: str) -> KindOutcome:
        """Return the results of one kind of short job."""
        jobs = [job for job in self._submissions if job.kind == kind]
        offered = sum(job.value for job in jobs)
        on_time = late = 0
        earned = 0.0
        starts_ms = []
        for job in jobs:
            elapsed_ms = job.ended_ms - job.submitted_ms
            if elapsed_ms <= job.objective_ms:
                on_time += 1
                earned += job.value
            elif elapsed_ms <= colocation._LATE_LIMIT_FACTOR * job.objective_ms:
                late += 1
                earned += colocation._LATE_VALUE_SHARE * job.value
            if job.is_accepted:
                starts_ms.append(self._first_start_ms.get(job.id, self.now_ms) - job.submitted_ms)
        count = max(1, len(jobs))
        rejected = sum(not job.is_accepted for job in jobs)
        starts_ms.sort()
        return KindOutcome(
            value=earned / max(1e-9, offered),
            on_time=on_time / count,
            late=late / count,
            rejected=rejected / count,
            unfinished=1 - (on_time + late + rejected) / count,
            start_p95_ms=starts_ms[int(0.95 * (len(starts_ms) - 1))] if starts_ms else 0.0,
            retries_accepted=self._accepted_retries[kind] / max(1, self._retries[kind]),
        )


def simulate(
    seed: int,
    *,
    seconds: float,
    runners: int,
    job_rate_factor: float,
    with_faults: bool = True,
    straggler_share: float = _STRAGGLER_SHARE,
    settings: CellSettings | None = None,
) -> OverloadSimulation:
    """Simulate one seed; the simulation continues for 20 s after the last arrival."""
    simulation = OverloadSimulation(
        seed=seed,
        runners=runners,
        job_rate_factor=job_rate_factor,
        with_faults=with_faults,
        straggler_share=straggler_share,
        settings=settings or CellSettings(),
    )
    simulation.start()
    simulation.advance(seconds * 1_000)
    simulation.advance(20_000, with_arrivals=False)
    return simulation


def _simulate_case(arguments: tuple[int, float, int, float, bool, float]):
    seed, seconds, runners, load, with_faults, straggler_share = arguments
    simulation = simulate(
        seed,
        seconds=seconds,
        runners=runners,
        job_rate_factor=load,
        with_faults=with_faults,
        straggler_share=straggler_share,
    )
    kinds = {kind: simulation.measure_kind(kind) for kind in ("urgent", "batch")}
    return kinds, simulation.measure(), simulation.cell.counters


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    names = [field.name for field in attrs.fields(KindOutcome)]
    print(f"{'load':>5} {'kind':>7} " + " ".join(f"{name:>16}" for name in names))
    with ProcessPoolExecutor(options.processes) as pool:
        for load in (float(value) for value in options.load):
            cases = [
                (
                    seed,
                    options.seconds,
                    options.runners,
                    load,
                    options.faults,
                    options.stragglers,
                )
                for seed in range(1, options.seeds + 1)
            ]
            results = list(pool.map(_simulate_case, cases))
            for kind in ("urgent", "batch"):
                rows = [attrs.astuple(kinds[kind]) for kinds, _, _ in results]
                means = [statistics.fmean(column) for column in zip(*rows, strict=True)]
                print(f"{load:5.2f} {kind:>7} " + " ".join(f"{mean:16.3f}" for mean in means))
            for name in ("lasting", "total", "over_share"):
                mean = statistics.fmean(getattr(outcome, name) for _, outcome, _ in results)
                print(f"      {name} {mean:.3f}")
            counters: Counter[str] = sum((counters for *_, counters in results), Counter())
            for name, value in sorted(counters.items()):
                if name.startswith(("waiting_ms", "refused", "preempt", "aged")):
                    print(f"      {name} {value / len(results):.0f}")
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 4, "Number of seeds, from 1.")
    flags.DEFINE_float("seconds", 40.0, "Virtual time in which jobs arrive, in s.")
    flags.DEFINE_integer("runners", 30, "Number of runners.")
    flags.DEFINE_list("load", ["1.0", "1.5", "2.0"], "Factors on the specified job rates.")
    flags.DEFINE_bool("faults", True, "Whether runners are slow or down at times.")
    flags.DEFINE_float("stragglers", _STRAGGLER_SHARE, "Share of tasks that take 7 times as long.")
    flags.DEFINE_integer("processes", 2, "Number of processes; each uses a full core.")
    sys.exit(app.run(_run))
