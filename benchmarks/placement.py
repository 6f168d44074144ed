"""Comparison of placement policies under the same seeds, loads and faults.

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

from benchmarks.fleet import TICK_MS, Fleet, build_interference
from coltsfootpier.declaration import Declaration, parse
from coltsfootpier.placement import FirstFit, PlacementPolicy, SpreadFit

_FLEET_CORES = 24 * 16
_URGENT_EVERY_S = 10
_RUN_TIME_S = 40


@attrs.frozen(kw_only=True)
class Policy:
    """Placement policy with or without eviction.

    Parameters
    ----------
    build : callable, optional
        Builds the placement policy of a shard owner; None selects the default policy.
    may_evict : bool
        Whether batch tasks may be evicted and throttled.
    """

    name: str
    build: Callable[[], PlacementPolicy] | None = None
    may_evict: bool = True


POLICIES = (
    Policy(name="first fit", build=FirstFit, may_evict=False),
    Policy(name="spread fit", build=SpreadFit, may_evict=False),
    Policy(name="chosen"),
)


@attrs.frozen(kw_only=True)
class Deployment:
    """Services of a deployment (name, runners and cores per runner) and size of its batch tasks."""

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
    load : float
        Offered batch load relative to the cores that the services leave free.
    flood : str
        Priority of a flood at ten times the batch rate by a separate team; empty for none.
    """

    name: str
    load: float = 0.6
    waves: bool = False
    flood: str = ""
    zone_lost: bool = False
    black_holes: bool = False


DEPLOYMENTS = (
    Deployment(name="Riga", services=(("sign", 24, 4),), batch_cores=2),
    Deployment(
        name="Waitaha", services=(("smoke-map", 24, 4), ("sensor-ingest", 12, 1)), batch_cores=4
    ),
)
SCENARIOS = (
    Scenario(name="normal load"),
    Scenario(name="90 % load", load=0.9),
    Scenario(name="noisy waves", load=0.8, waves=True),
    Scenario(name="flood, low", flood="low"),
    Scenario(name="flood, urgent", flood="urgent"),
    Scenario(name="zone lost", load=0.9, zone_lost=True),
    Scenario(name="two black holes", black_holes=True),
)


@attrs.frozen(kw_only=True)
class Outcome:
    """Results of one simulation; work is in core seconds, times are in seconds."""

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
    deployment: Deployment, scenario: Scenario, elapsed_s: float, kinds: tuple[str, ...]
) -> Declaration:
    """Build the declaration at a time of the simulation; arriving work adds tasks to the jobs."""
    lines = []
    for team, weight in (("services", 2), ("reports", 1), ("surge", 1)):
        lines += [f"[team {team}]", f"weight = {weight}", "cores = 400", "memory_mb = 2000000"]
    for name, runners, cores in deployment.services:
        lines += [f"[service {name}]", "team = services", f"runners = {runners}"]
        lines += [f"cores = {cores}", "memory_mb = 2000", "latency_ms = 100", "priority = high"]
    rate = deployment.free_cores * scenario.load / (deployment.batch_cores * _RUN_TIME_S)
    # The work of one run time arrives at the start, so that the load is steady from then on.
    arrived = rate * (elapsed_s + _RUN_TIME_S)
    jobs = [(kind, "reports", "normal", arrived / len(kinds)) for kind in kinds]
    jobs.append(("urgent", "reports", "urgent", elapsed_s / _URGENT_EVERY_S))
    if scenario.flood and elapsed_s > 60:
        jobs.append(("flood", "surge", scenario.flood, 10 * rate * (elapsed_s - 60)))
    for name, team, priority, count in jobs:
        if int(count):
            lines += [f"[job {name}]", f"team = {team}", f"tasks = {int(count)}"]
            lines += [f"cores = {deployment.batch_cores}", "memory_mb = 2000"]
            lines += [f"run_time_s = {_RUN_TIME_S}", f"priority = {priority}"]
            lines += ["checkpointing = " + ("no" if name == "plain" else "yes")]
    return parse("\n".join(lines)).unwrap()


def run_once(
    deployment: Deployment,
    scenario: Scenario,
    policy: Policy,
    *,
    seed: int,
    minutes: float,
) -> Outcome:
    """Simulate one scenario under one policy."""
    rng = random.Random(seed)
    kinds = ("noisy", "plain", "quiet") if scenario.waves else ("heavy", "plain", "quiet")
    true_slowdowns: dict[tuple[str, str], float] = {}
    all_kinds = [name for name, _, _ in deployment.services] + [*kinds, "urgent", "flood"]
    for kind in all_kinds:
        for neighbour in all_kinds:
            true_slowdowns[kind, neighbour] = rng.uniform(0.0, 0.04)
        true_slowdowns[kind, kinds[0]] = rng.uniform(0.1, 0.25)
    fleets: list[Fleet] = []
    fleet = Fleet(
        seed=seed,
        build_policy=policy.build,
        may_evict=policy.may_evict,
        interference=build_interference(true_slowdowns, fleets),
    )
    fleets.append(fleet)
    accepted_ms: dict[str, float] = {}
    faulty_workers = rng.sample(sorted(fleet.workers), 2)
    ticks = int(minutes * 60_000 / TICK_MS)
    for tick in range(ticks):
        elapsed_s = tick * TICK_MS / 1000
        if elapsed_s % 5 == 0:
            declaration = build_declaration(deployment, scenario, elapsed_s, kinds)
            fleet.declare(declaration)
            if "urgent" in declaration.jobs:
                for index in range(declaration.jobs["urgent"].tasks):
                    accepted_ms.setdefault(f"job/urgent/{index}", fleet.clock.now_ms())
        if elapsed_s == 60 and scenario.black_holes:
            for name in faulty_workers:
                fleet.workers[name].crash()
                fleet.workers[name].is_disconnected = False
                fleet.workers[name].fails_starts = True
        if elapsed_s == 90 and scenario.zone_lost:
            fleet.crash_zone("r2")
        fleet.run_tick()
    return summarise(fleet, deployment, accepted_ms)


def summarise(fleet: Fleet, deployment: Deployment, accepted_ms: dict[str, float]) -> Outcome:
    """Compute the results of one simulation.

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
    queueing_delays_s = [
        (totals.started_ms.get(task, now_ms) - task_accepted_ms) / 1000
        for task, task_accepted_ms in accepted_ms.items()
        if task in totals.started_ms or now_ms - task_accepted_ms > 8_300
    ]
    expected = sum(count for _, count, _ in deployment.services)
    runners_after_start = totals.runners[int(30_000 / TICK_MS) :]
    slowdowns = sorted(totals.slowdowns[len(totals.slowdowns) // 10 :])
    failed_tasks = fleet.dispatcher.ledger.list_tasks("failed")
    return Outcome(
        finished=sum(totals.finished.values()),
        kept=sum(work for kind, work in totals.finished.items() if kind != "flood"),
        evictions=totals.evictions,
        wasted=totals.wasted,
        urgent_median=statistics.median(queueing_delays_s),
        urgent_longest=max(queueing_delays_s),
        urgent_late=sum(delay_s > 8.3 for delay_s in queueing_delays_s),
        slowdown=statistics.fmean(slowdowns),
        slowdown_p99=slowdowns[int(len(slowdowns) * 0.99)],
        runner_gap=sum(expected - count for count in runners_after_start) * TICK_MS / 1000,
        failed=len(failed_tasks),
    )


def format_values(outcomes: list[Outcome]) -> str:
    """Return the mean of each value and, where seeds differ, half of its range."""
    cells = []
    for field in attrs.fields(Outcome):
        values = [getattr(outcome, field.name) for outcome in outcomes]
        digits = 2 if field.name.startswith("slowdown") else 1 if "urgent" in field.name else 0
        half_range = (max(values) - min(values)) / 2
        spread = f" ±{half_range:.{digits}f}" if round(half_range, digits) else ""
        cells.append(f"{statistics.fmean(values):.{digits}f}{spread}")
    return " | ".join(cells)


def main(arguments: list[str] | None = None) -> int:
    """Print the table of policies and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--minutes", type=float, default=3.0)
    parser.add_argument("--scenario", default="", help="part of a scenario's name")
    parser.add_argument("--policy", default="", help="part of a policy's name")
    options = parser.parse_args(arguments)
    names = [field.name.replace("_", " ") for field in attrs.fields(Outcome)]
    print(f"seeds 1 to {options.seeds}, {options.minutes:g} virtual minutes each")
    print("| deployment | scenario | policy | " + " | ".join(names) + " |")
    print("|" + "---|" * (len(names) + 3))
    cells = [
        (deployment, scenario, policy)
        for deployment in DEPLOYMENTS
        for scenario in SCENARIOS
        for policy in POLICIES
        if options.scenario in scenario.name and options.policy in policy.name
    ]
    with ProcessPoolExecutor(max_workers=2) as pool:
        futures = [
            [
                pool.submit(run_once, *cell, seed=seed, minutes=options.minutes)
                for seed in range(1, options.seeds + 1)
            ]
            for cell in cells
        ]
        for (deployment, scenario, policy), runs in zip(cells, futures, strict=True):
            values = format_values([run.result() for run in runs])
            row = f"| {deployment.name} | {scenario.name} | {policy.name} | {values} |"
            print(row, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
