"""Comparison of routing and placement policies; each section prints a table.

``python -m benchmarks.bench [SECTION ...] [--seeds=N] [--duration_ms=N] [--variants=a,b]``
"""

from __future__ import annotations

import itertools
import statistics
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from absl import app, flags

from benchmarks import placement, routing

# Each process uses a full core; two leave the remaining cores to other programs on the host.
_PROCESS_COUNT = 2
_DEFAULT_VARIANTS = ("hash+fifo", "random", "least outst.", "first fit", "chosen")


def _compute_percentile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else float("nan")


def _format_mean(values: list[float], digits: int) -> str:
    """Return the mean over the seeds and half of their range."""
    spread = (max(values) - min(values)) / 2
    return f"{statistics.fmean(values):.{digits}f}±{spread:.{digits}f}"


def _format_request_kinds(tallies: list[routing.Tally], kinds: list[str]) -> str:
    """Return the completed share of the offered requests and the p99 in ms for each kind."""
    columns = []
    for kind in kinds:
        done_shares = [tally.completed[kind] / max(1, tally.offered[kind]) for tally in tallies]
        p99_ms = [_compute_percentile(tally.latencies_ms.get(kind, []), 0.99) for tally in tallies]
        columns.append(
            f"{kind} {100 * statistics.fmean(done_shares):.1f}% p99 {statistics.fmean(p99_ms):.0f}"
        )
    return "; ".join(columns)


def run_routing(options: flags.FlagValues) -> None:
    """Print latency, throughput and rejections of the routing variants."""
    duration_ms = float(options.duration_ms)
    seeds = range(1, options.seeds + 1)
    print(
        f"routing: seeds 1 to {options.seeds}, {duration_ms / 1000:g} s each, ms, mean±half range"
    )
    cases = list(itertools.product(options.deployments, options.scenarios, options.variants))
    runs = [(*case, seed, duration_ms) for case in cases for seed in seeds]
    with ProcessPoolExecutor(_PROCESS_COUNT) as pool:
        results = pool.map(routing.run_case, *zip(*runs, strict=True))
        label_columns = f"{'deployment':10} {'scenario':11} {'variant':13}"
        print(
            f"{label_columns} {'p50':>9} {'p99':>9} {'p99.9':>9} {'done/s':>9} {'refused %':>9} "
            f"{'retry %':>8} {'borrow %':>8}  kinds: done of offered, p99"
        )
        for deployment, scenario, variant in cases:
            tallies = [next(results) for _ in seeds]
            latencies = [sum(tally.latencies_ms.values(), []) for tally in tallies]
            offered = [tally.offered.total() for tally in tallies]
            completed_per_s = [tally.completed.total() / duration_ms * 1000 for tally in tallies]
            columns = [
                *(
                    _format_mean([_compute_percentile(values, quantile) for values in latencies], 0)
                    for quantile in (0.5, 0.99, 0.999)
                ),
                _format_mean(completed_per_s, 0),
                _format_mean(
                    _compute_percentages([tally.rejected.total() for tally in tallies], offered), 1
                ),
                _format_mean(
                    _compute_percentages([tally.retry_count for tally in tallies], offered), 1
                ),
                _format_mean(
                    _compute_percentages([tally.borrow_count for tally in tallies], offered), 1
                ),
            ]
            row = " ".join(f"{column:>9}" for column in columns)
            kinds = _format_request_kinds(
                tallies, list(routing.DEPLOYMENTS[deployment].request_mix)
            )
            print(f"{deployment:10} {scenario:11} {variant:13} {row}  {kinds}", flush=True)


def run_lending(options: flags.FlagValues) -> None:
    """Print the throughput of each request kind over time, during and after a flood.

    A flood of the most urgent kind lasts 2 s. The table shows how fast it is lent the unused
    guaranteed shares of the other kinds, and how fast these get them back.
    """
    duration_ms = 4_000.0
    print(f"lending: flood from 0 to 2 s, seeds 1 to {options.seeds}, chosen, done/s by time (s)")
    intervals = range(int(duration_ms / routing.INTERVAL_MS))
    print(
        f"{'':22}"
        + "".join(f"{interval * routing.INTERVAL_MS / 1000:>7.1f}" for interval in intervals)
    )
    for deployment in options.deployments:
        tallies = [
            routing.run_case(deployment, "short flood", "chosen", seed, duration_ms)
            for seed in range(1, options.seeds + 1)
        ]
        for kind in routing.DEPLOYMENTS[deployment].request_mix:
            rates = [
                statistics.fmean(tally.completed_by_interval[kind, interval] for tally in tallies)
                * (1_000 / routing.INTERVAL_MS)
                for interval in intervals
            ]
            print(f"{deployment:10} {kind:11}" + "".join(f"{rate:>7.0f}" for rate in rates))


def _compute_percentages(counts: list[int], totals: list[int]) -> list[float]:
    return [100 * count / max(1, total) for count, total in zip(counts, totals, strict=True)]


def run_placement(options: flags.FlagValues) -> None:
    """Print the results of the placement policies in each scenario."""
    placement.main([f"--seeds={options.seeds}"])


SECTIONS: dict[str, Callable[[flags.FlagValues], None]] = {
    "routing": run_routing,
    "lending": run_lending,
    "placement": run_placement,
}


def _run(arguments: list[str]) -> int:
    options = flags.FLAGS
    for name in arguments[1:] or list(SECTIONS):
        if name not in SECTIONS:
            print(f"unknown section {name}; sections: {', '.join(SECTIONS)}", file=sys.stderr)
            return 2
        started_s = time.monotonic()
        SECTIONS[name](options)
        print(f"{name} took {time.monotonic() - started_s:.0f} s")
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 3, "Seeds for each combination.", lower_bound=1)
    flags.DEFINE_integer(
        "duration_ms", 4_000, "Virtual time after the warm-up, in ms.", lower_bound=100
    )
    flags.DEFINE_list("deployments", list(routing.DEPLOYMENTS), "Deployments to simulate.")
    flags.DEFINE_list("scenarios", list(routing.TABLE_SCENARIOS), "Scenarios to simulate.")
    flags.DEFINE_list("variants", list(_DEFAULT_VARIANTS), "Routing variants to compare.")
    sys.exit(app.run(_run))
