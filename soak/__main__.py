"""Command line of the soak test on a virtual clock."""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from absl import app, flags

from soak._run import Report, run_seed
from soak._seeds import parse_seeds

_FLAGS = flags.FLAGS
flags.DEFINE_string("seeds", "0:10", "Seeds to run: FIRST:END, or a comma-separated list.")
flags.DEFINE_float("minutes", 10.0, "Virtual minutes of each run.", lower_bound=4.0)
flags.DEFINE_integer("daemons", 0, "Number of daemons; 0 draws 3 to 7.", lower_bound=0)
flags.DEFINE_integer("workers", 24, "Number of workers.", lower_bound=1)
flags.DEFINE_integer(
    "processes", 1, "Number of seeds to run in parallel.", lower_bound=1, upper_bound=4
)
flags.DEFINE_integer("events", 60, "Number of events to print on a violation.", lower_bound=0)
flags.DEFINE_list("kinds", [], "Inject only these kinds of faults.")
flags.DEFINE_string("grep", "", "Print only events that contain this text.")


def _print_report(report: Report) -> None:
    fault_count = sum(report.fault_counts.values())
    print(
        f"seed={report.seed} faults={fault_count} callbacks={report.callbacks} "
        f"wall_s={report.wall_s:.1f} calls_at_rest={report.calls_at_rest:.2f} "
        f"calls_under_load={report.calls_under_load:.2f} calls_highest={report.calls_highest} "
        f"violation={report.violation or 'none'}",
        flush=True,
    )
    if report.violation:
        matching_events = [event for event in report.events if _FLAGS.grep in event]
        print("\n".join(matching_events[-_FLAGS.events :]) if _FLAGS.events else "", flush=True)


def _run(_: list[str]) -> int:
    run = partial(
        run_seed,
        minutes=_FLAGS.minutes,
        daemons=_FLAGS.daemons,
        workers=_FLAGS.workers,
        kinds=tuple(_FLAGS.kinds),
    )
    started_s = time.perf_counter()
    fault_counts: Counter[str] = Counter()
    event_counts: Counter[str] = Counter()
    failed_seeds: list[int] = []
    run_count = 0
    with ProcessPoolExecutor(_FLAGS.processes) as pool:
        for report in pool.map(run, parse_seeds(_FLAGS.seeds)):
            _print_report(report)
            run_count += 1
            fault_counts.update(report.fault_counts)
            event_counts.update(report.event_counts)
            if report.violation:
                failed_seeds.append(report.seed)
    print(f"faults by kind: {dict(sorted(fault_counts.items()))}")
    print(f"events by kind: {dict(sorted(event_counts.items()))}")
    print(f"runs={run_count} broken={failed_seeds} wall_s={time.perf_counter() - started_s:.1f}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(app.run(_run))
