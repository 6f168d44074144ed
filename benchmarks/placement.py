"""Comparison of placement policies under the same seeds, load and faults.

Run with ``python -m benchmarks.placement``; ``--seeds`` and ``--minutes`` set its duration.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import attrs

from benchmarks.fleet import TICK_MS, Fleet, build_interference_function
from coltsfootpier.declaration import Declaration, parse
from coltsfootpier.placement import FirstFit, PlacementPolicy, SpreadFit

_FLEET_CORES = 24 * 16
_URGENT_PERIOD_S = 10
_BATCH_RUN_TIME_S = 40


@attrs.frozen(kw_only=True)
class Policy:
    """Placement policy with or without eviction.

    Parameters
    ----------
    build_policy : callable, optional
        Returns the placement policy of a shard owner; None selects the default policy.
    may_evict : bool
        Whether batch tasks may be evicted and throttled.
    """

    name: str
    build_policy: Callable[[], PlacementPolicy] | None = None
    may_evict: bool = True


POLICIES = (
    Policy(name="first fit", build_policy=FirstFit, may_evict=False),
    Policy(name="spread fit", build_policy=SpreadFit, may_evict=False),
    Policy(name="chosen"),
)


@attrs.frozen(kw_only=True)
class Deployment:
    """Services and size of the batch tasks of a deployment.

    Parameters
    ----------
    services : tuple of (str, int, int)
        Name, number of runners and cores of each runner of each service.
    batch_cores : int
        Cores of a batch task.
    """

    name: str
    services: tuple[tuple[str, int, int], ...]
    batch_cores: int

    @property
    def free_cores(self) -> int:
        """Cores that the services leave free."""
        return _FLEET_CORES - sum(count * cores for _, count, cores in self.services)


@attrs.frozen(kw_only=True)
class Scenario:
    """Load and faults of a simulation.

    Parameters
    ----------
    batch_load_share : float
        Offered batch load as a share of the cores that the services leave free.
    has_noisy_waves : bool
        Whether the interference of one batch job triples in the first half of each minute.
    flood_priority : str
        Priority of a flood, in which a separate team submits tasks at ten times the rate of all
        batch tasks from 60 s on; empty for none.
    loses_zone : bool
        Whether all workers of an availability zone crash at 90 s.
    has_failing_workers : bool
        Whether two workers crash at 60 s, respond again and then fail each start at once. Such
        black holes seem to have free capacity and attract further tasks.
    """

    name: str
    batch_load_share: float = 0.6
    has_noisy_waves: bool = False
    flood_priority: str = ""
    loses_zone: bool = False
    has_failing_workers: bool = False


DEPLOYMENTS = (
    Deployment(name="Riga", services=(("sign", 24, 4),), batch_cores=2),
    Deployment(
        name="Waitaha", services=(("smoke-map", 24, 4), ("sensor-ingest", 12, 1)), batch_cores=4
    ),
)
SCENARIOS = (
    Scenario(name="normal load"),
    Scenario(name="90 % load", batch_load_share=0.9),
    Scenario(name="noisy waves", batch_load_share=0.8, has_noisy_waves=True),
    Scenario(name="flood, low", flood_priority="low"),
    Scenario(name="flood, urgent", flood_priority="urgent"),
    Scenario(name="zone lost", batch_load_share=0.9, loses_zone=True),
    Scenario(name="two black holes", has_failing_workers=True),
)


@attrs.frozen(kw_only=True)
class Outcome:
    """Results of one simulation, printed under the names of the fields.

    Parameters
    ----------
    finished, kept, wasted : float
        Work in core seconds: of all finished batch tasks, of those outside the flood, and work that
        was lost by evictions and failures.
    evictions : float
        Number of running batch tasks that were stopped.
    urgent_median, urgent_longest : float
        Queueing delay of urgent tasks in seconds.
    urgent_late : float
        Number of urgent tasks with a queueing delay above 8.3 s, the target of the design page.
    slowdown, slowdown_p99 : float
        Mean and 99th percentile of the slowdown of service tasks, as a factor.
    runner_gap : float
        Number of missing runners, summed over the time in seconds.
    failed : float
        Number of tasks in state ``failed`` at the end.
    """

    finished: float
    kept: float
    evictions: float
    wasted: float
    urgent_median: float
    urgent_longest: float
    urgent_late: float
    slowdown: float
    slowdown_p99: float
    runner_gap: float
    failed: float


def build_declaration(
    deployment: Deployment, scenario: Scenario, elapsed_s: float, batch_jobs: tuple[str, ...]
) -> Declaration:
    """Build the declaration for a time of the simulation.

    Each arriving task increases the number of tasks of its job: one of `batch_jobs`, ``urgent`` or
    ``flood``.
    """
    lines = []
    for team, weight in (("services", 2), ("reports", 1), ("surge", 1)):
        lines += [f"[team {team}]", f"weight = {weight}", "cores = 400", "memory_mb = 2000000"]
    for name, runners, cores in deployment.services:
        lines += [f"[service {name}]", "team = services", f"runners = {runners}"]
        lines += [f"cores = {cores}", "memory_mb = 2000", "latency_ms = 100", "priority = high"]
    tasks_per_s = (
        deployment.free_cores
        * scenario.batch_load_share
        / (deployment.batch_cores * _BATCH_RUN_TIME_S)
    )
    # The tasks of one run time arrive at the start, so that the load is steady from then on.
    arrived_tasks = tasks_per_s * (elapsed_s + _BATCH_RUN_TIME_S)
    jobs = [(job, "reports", "normal", arrived_tasks / len(batch_jobs)) for job in batch_jobs]
    jobs.append(("urgent", "reports", "urgent", elapsed_s / _URGENT_PERIOD_S))
    if scenario.flood_priority and elapsed_s > 60:
        jobs.append(
            ("flood", "surge", scenario.flood_priority, 10 * tasks_per_s * (elapsed_s - 60))
        )
    for name, team, priority, count in jobs:
        if int(count):
            lines += [f"[job {name}]", f"team = {team}", f"tasks = {int(count)}"]
            lines += [f"cores = {deployment.batch_cores}", "memory_mb = 2000"]
            lines += [f"run_time_s = {_BATCH_RUN_TIME_S}", f"priority = {priority}"]
            lines += ["checkpointing = " + ("no" if name == "plain" else "yes")]
    return parse("\n".join(lines)).unwrap()


def simulate_scenario(
    deployment: Deployment,
    scenario: Scenario,
    policy: Policy,
    *,
    seed: int,
    minutes: float,
) -> Outcome:
    """Simulate one scenario under one policy and return its results."""
    rng = random.Random(seed)
    batch_jobs = (
        ("noisy", "plain", "quiet") if scenario.has_noisy_waves else ("heavy", "plain", "quiet")
    )
    true_interference: dict[tuple[str, str], float] = {}
    all_jobs = [name for name, _, _ in deployment.services] + [*batch_jobs, "urgent", "flood"]
    # The first batch job interferes with all jobs and services much more than the others do.
    for job in all_jobs:
        for neighbour in all_jobs:
            true_interference[job, neighbour] = rng.uniform(0.0, 0.04)
        true_interference[job, batch_jobs[0]] = rng.uniform(0.1, 0.25)
    fleets: list[Fleet] = []
    fleet = Fleet(
        seed=seed,
        build_policy=policy.build_policy,
        may_evict=policy.may_evict,
        compute_interference=build_interference_function(true_interference, fleets),
    )
    fleets.append(fleet)
    accepted_ms: dict[str, float] = {}
    faulty_workers = rng.sample(sorted(fleet.workers), 2)
    ticks = int(minutes * 60_000 / TICK_MS)
    for tick in range(ticks):
        elapsed_s = tick * TICK_MS / 1000
        if elapsed_s % 5 == 0:
            declaration = build_declaration(deployment, scenario, elapsed_s, batch_jobs)
            fleet.apply_declaration(declaration)
            if "urgent" in declaration.jobs:
                for index in range(declaration.jobs["urgent"].tasks):
                    accepted_ms.setdefault(f"job/urgent/{index}", fleet.clock.now_ms())
        if elapsed_s == 60 and scenario.has_failing_workers:
            for name in faulty_workers:
                fleet.workers[name].crash()
                fleet.workers[name].is_disconnected = False
                fleet.workers[name].fails_starts = True
        if elapsed_s == 90 and scenario.loses_zone:
            fleet.crash_rack("r2")
        fleet.run_tick()
    return summarise_results(fleet, deployment, accepted_ms)


def summarise_results(
    fleet: Fleet, deployment: Deployment, accepted_ms: dict[str, float]
) -> Outcome:
    """Compute the results of one simulation.

    Parameters
    ----------
    fleet : Fleet
        Fleet at the end of the simulation.
    deployment : Deployment
        Simulated deployment.
    accepted_ms : dict of str to float
        Time at which each urgent task was accepted.

    Raises
    ------
    AssertionError
        If a worker was overcommitted, or a batch task ran twice at the same time.
    """
    totals = fleet.totals
    if totals.overcommits or totals.duplicate_runs:
        raise AssertionError(
            f"{totals.overcommits} overcommits, {totals.duplicate_runs} duplicate runs"
        )
    now_ms = fleet.clock.now_ms()
    # Skips tasks that have not started but were accepted within 8.3 s before the end, since they
    # can still start in time.
    queueing_delays_s = [
        (totals.started_ms.get(task, now_ms) - task_accepted_ms) / 1000
        for task, task_accepted_ms in accepted_ms.items()
        if task in totals.started_ms or now_ms - task_accepted_ms > 8_300
    ]
    expected_runners = sum(count for _, count, _ in deployment.services)
    # Skips the start of the simulation: 30 s for missing runners, a tenth of the samples for the
    # slowdown.
    runners_after_start = totals.runner_counts[int(30_000 / TICK_MS) :]
    slowdowns = sorted(totals.service_slowdowns[len(totals.service_slowdowns) // 10 :])
    failed_tasks = fleet.dispatcher.ledger.list_tasks("failed")
    return Outcome(
        finished=sum(totals.finished_core_s.values()),
        kept=sum(
            work_core_s for job, work_core_s in totals.finished_core_s.items() if job != "flood"
        ),
        evictions=totals.evictions,
        wasted=totals.wasted_core_s,
        urgent_median=statistics.median(queueing_delays_s),
        urgent_longest=max(queueing_delays_s),
        urgent_late=sum(delay_s > 8.3 for delay_s in queueing_delays_s),
        slowdown=statistics.fmean(slowdowns),
        slowdown_p99=slowdowns[int(len(slowdowns) * 0.99)],
        runner_gap=sum(expected_runners - count for count in runners_after_start) * TICK_MS / 1000,
        failed=len(failed_tasks),
    )


def format_outcomes(outcomes: list[Outcome]) -> str:
    """Return the mean of each value and, where it differs between seeds, half of its range."""
    columns = []
    for field in attrs.fields(Outcome):
        values = [getattr(outcome, field.name) for outcome in outcomes]
        digits = 2 if field.name.startswith("slowdown") else 1 if "urgent" in field.name else 0
        half_range = (max(values) - min(values)) / 2
        spread = f" ±{half_range:.{digits}f}" if round(half_range, digits) else ""
        columns.append(f"{statistics.fmean(values):.{digits}f}{spread}")
    return " | ".join(columns)


def main(arguments: list[str] | None = None) -> int:
    """Print the results of all policies in each scenario and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--minutes", type=float, default=3.0)
    parser.add_argument("--scenario", default="", help="part of a scenario's name")
    parser.add_argument("--policy", default="", help="part of a policy's name")
    options = parser.parse_args(arguments)
    column_names = [field.name.replace("_", " ") for field in attrs.fields(Outcome)]
    print(f"seeds 1 to {options.seeds}, {options.minutes:g} virtual minutes each")
    print("| deployment | scenario | policy | " + " | ".join(column_names) + " |")
    print("|" + "---|" * (len(column_names) + 3))
    cases = [
        (deployment, scenario, policy)
        for deployment in DEPLOYMENTS
        for scenario in SCENARIOS
        for policy in POLICIES
        if options.scenario in scenario.name and options.policy in policy.name
    ]
    with ProcessPoolExecutor(max_workers=2) as pool:
        futures = [
            [
                pool.submit(simulate_scenario, *case, seed=seed, minutes=options.minutes)
                for seed in range(1, options.seeds + 1)
            ]
            for case in cases
        ]
        for (deployment, scenario, policy), runs in zip(cases, futures, strict=True):
            values = format_outcomes([run.result() for run in runs])
            row = f"| {deployment.name} | {scenario.name} | {policy.name} | {values} |"
            print(row, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
