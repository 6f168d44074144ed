"""Simulation of urgent jobs with slow runs and slow runners on a virtual clock.

Some runs of urgent tasks take seven times as long as the others, and in each period some runners
work at a fifth of their speed. Both are figures that the users specify. A runner reports 500 ms
after its last report, when a run ends, or when the cell asks for an earlier report.

``python -m benchmarks.copies [--seeds=N] [--seconds=N] [--runners=N] [--load=X]
[--slow_runs=X] [--slow_runners=X] [--speculative=BOOL]``
"""

from __future__ import annotations

import random
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

import attrs
from absl import app, flags

from benchmarks import colocation
from coltsfootpier.cells import CellSettings, RunId
from coltsfootpier.jobs import JobSpec, StepSpec

# Duration of a slow run relative to the others, and speed of a slow runner.
_SLOW_RUN_FACTOR, _SLOW_RUNNER_SPEED = 7.0, 0.2
# Duration of a phase in which a runner is slow, and time between the starts of two phases.
_SLOW_PHASE_MS, _SLOW_PERIOD_MS = 6_500.0, 10_000.0
_URGENT_TASKS, _URGENT_CPU_MILLI, _URGENT_MEMORY_MB = 10, 1_000, 2_200
_URGENT_TASK_MS = (700.0, 800.0)
# Error of the declared duration of an urgent task, as a standard deviation of its logarithm.
_ESTIMATE_ERROR = 0.3
_SECOND_STEP_SHARE = 0.6
_REPORT_WAIT_MS = 500


@attrs.define
class CopyOutcome:
    """Results of one simulation, printed under the names of the fields.

    Parameters
    ----------
    urgent, batch, total : float
        Earned share of the value of the offered jobs, by kind and in total.
    on_time : float
        Share of the accepted urgent jobs that met their objective.
    refused : float
        Share of the urgent and batch jobs that were never accepted.
    copies, copies_won : float
        Number of copies started, and of copies that ended first.
    copy_cores : float
        Mean number of cores used by copies.
    reports : float
        Number of reports per runner and second.
    """

    urgent: float
    batch: float
    total: float
    on_time: float
    refused: float
    copies: float
    copies_won: float
    copy_cores: float
    reports: float


class CopySimulation(colocation.Simulation):
    """One seeded simulation with slow runs and slow runners.

    Parameters
    ----------
    slow_runs : float
        Share of the runs of urgent tasks that are slow.
    slow_runners : float
        Share of the runners that are slow in each phase.
    speculative : bool
        Whether urgent steps are declared so.
    **options
        See `benchmarks.colocation.Simulation`.
    """

    def __init__(
        self, *, slow_runs: float, slow_runners: float, speculative: bool, **options: object
    ) -> None:
        super().__init__(**options)
        # Apart from the arrivals, so that the same jobs arrive whatever is started.
        self._slow_rng = random.Random(f"{options['seed']}/slow")
        self._slow_runs = slow_runs
        self._slow_runners = slow_runners
        self._speculative = speculative
        self._next_phase_ms = _SLOW_PERIOD_MS
        self._report_count = 0

    def _build_spec(self, kind: str) -> tuple[JobSpec, list[list[float]]]:
        if kind != "urgent":
            return super()._build_spec(kind)
        rng = self._rng
        steps, durations_ms = [], []
        for number in range(1 + (rng.random() < _SECOND_STEP_SHARE)):
            task_ms = rng.uniform(*_URGENT_TASK_MS)
            steps.append(
                StepSpec(
                    count=_URGENT_TASKS,
                    cpu_milli=_URGENT_CPU_MILLI,
                    memory_mb=_URGENT_MEMORY_MB,
                    estimate_ms=task_ms * rng.lognormvariate(0.0, _ESTIMATE_ERROR),
                    after=(number - 1,) if number else (),
                    speculative=self._speculative,
                )
            )
            durations_ms.append([task_ms * rng.uniform(0.95, 1.05) for _ in range(_URGENT_TASKS)])
        return JobSpec(payload="", steps=tuple(steps)), durations_ms

    def _choose_duration_ms(self, run_id: RunId, duration_ms: float) -> float:
        step = self.cell.jobs.find_step(run_id)
        is_urgent = not (step.spec.fills or step.spec.long_running)
        is_slow = is_urgent and self._slow_rng.random() < self._slow_runs
        return duration_ms * _SLOW_RUN_FACTOR if is_slow else duration_ms

    def _advance_runner(self, runner: object) -> None:
        if self.now_ms >= self._next_phase_ms:
            self._next_phase_ms += _SLOW_PERIOD_MS
            count = round(self._slow_runners * len(self._runners))
            for other in self._slow_rng.sample(list(self._runners.values()), count):
                other.speed, other.slow_until_ms = _SLOW_RUNNER_SPEED, self.now_ms + _SLOW_PHASE_MS
        if runner.speed < 1.0 and self.now_ms >= runner.slow_until_ms:
            runner.speed = 1.0
        super()._advance_runner(runner)

    def _send_report(self, runner: object) -> None:
        super()._send_report(runner)
        self._report_count += 1
        choose_wait_ms = getattr(self.cell, "choose_report_wait_ms", None)
        if choose_wait_ms is not None:
            wait_ms = choose_wait_ms(runner.entry.id, self.now_ms, _REPORT_WAIT_MS)
            runner.next_report_ms = min(runner.next_report_ms, self.now_ms + wait_ms)

    def measure_copies(self, elapsed_ms: float) -> CopyOutcome:
        """Return the results of the whole simulation."""
        outcome = self.measure()
        accepted = [job for job in self._submissions if job.kind == "urgent" and job.is_accepted]
        on_time = sum(job.ended_ms - job.submitted_ms <= job.objective_ms for job in accepted)
        counters = self.cell.counters
        return CopyOutcome(
            urgent=outcome.urgent,
            batch=outcome.batch,
            total=outcome.total,
            on_time=on_time / max(1, len(accepted)),
            refused=outcome.refused,
            copies=counters["copies_started"],
            copies_won=counters["copies_won"],
            copy_cores=counters["copy_core_ms"] / elapsed_ms,
            reports=self._report_count / len(self._runners) / elapsed_ms * 1000,
        )


def simulate(
    seed: int,
    *,
    seconds: float = 40.0,
    runners: int = 24,
    load: float = 1.0,
    slow_runs: float = 0.03,
    slow_runners: float = 0.0,
    speculative: bool = True,
) -> CopyOutcome:
    """Simulate one seed.

    Parameters
    ----------
    seed : int
        Seed of the simulation.
    seconds : float
        Time in which jobs arrive, on the virtual clock.
    runners : int
        Number of runners.
    load : float
        Factor on the default job rates.
    slow_runs, slow_runners, speculative
        See `CopySimulation`.
    """
    simulation = CopySimulation(
        seed=seed,
        runners=runners,
        job_rate_factor=load,
        settings=CellSettings(),
        slow_runs=slow_runs,
        slow_runners=slow_runners,
        speculative=speculative,
    )
    simulation.start()
    simulation.advance(seconds * 1000)
    simulation.advance(20_000, with_arrivals=False)
    return simulation.measure_copies((seconds + 20.0) * 1000)


def _simulate_case(options: dict[str, object]) -> CopyOutcome:
    return simulate(**options)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    print(f"{'load':>5} " + " ".join(f"{field.name:>10}" for field in attrs.fields(CopyOutcome)))
    with ProcessPoolExecutor(options.processes) as pool:
        for load in (float(value) for value in options.load):
            cases = [
                {
                    "seed": seed,
                    "seconds": options.seconds,
                    "runners": options.runners,
                    "load": load,
                    "slow_runs": options.slow_runs,
                    "slow_runners": options.slow_runners,
                    "speculative": options.speculative,
                }
                for seed in range(1, options.seeds + 1)
            ]
            rows = [attrs.astuple(outcome) for outcome in pool.map(_simulate_case, cases)]
            means = [statistics.fmean(column) for column in zip(*rows, strict=True)]
            print(f"{load:5.2f} " + " ".join(f"{value:10.3f}" for value in means), flush=True)
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 6, "Number of seeds, from 1.")
    flags.DEFINE_float("seconds", 40.0, "Virtual time in which jobs arrive, in s.")
    flags.DEFINE_integer("runners", 24, "Number of runners.")
    flags.DEFINE_list("load", ["0.7", "1.0"], "Factors on the default job rates.")
    flags.DEFINE_float("slow_runs", 0.03, "Share of the runs of urgent tasks that are slow.")
    flags.DEFINE_float("slow_runners", 0.0, "Share of the runners that are slow in each phase.")
    flags.DEFINE_bool("speculative", True, "Whether urgent steps are declared speculative.")
    flags.DEFINE_integer("processes", 2, "Number of processes; each uses a full core.")
    sys.exit(app.run(_run))
