"""Command line of the property test: no task has two runs at once, evacuated zones get no run."""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from absl import app, flags

from soak._run_simulation import RANDOM, SERIES, RunReport, run_seed
from soak._seeds import parse_seeds

_FLAGS = flags.FLAGS
flags.DEFINE_string("seeds", "0:20", "Seeds to run: FIRST:END, or a comma-separated list.")
flags.DEFINE_float("seconds", 60.0, "Virtual seconds of each run.", lower_bound=10.0)
flags.DEFINE_integer(
    "processes", 1, "Number of seeds to run in parallel.", lower_bound=1, upper_bound=4
)
flags.DEFINE_enum(
    "series",
    RANDOM,
    SERIES,
    "Injected faults: independent ones; restarts followed by a change of owner and a cut; both; "
    "independent ones and speculative jobs; independent ones and evacuations of availability "
    "zones; or independent ones and jobs with a schedule.",
)
flags.DEFINE_integer("events", 120, "Number of events to print on a violation.", lower_bound=0)


def _print_report(report: RunReport) -> None:
    print(
        f"seed={report.seed} starts={report.start_count} owners={report.owner_count} "
        f"copies={report.copy_count} "
        f"faults={sum(report.fault_counts.values())} "
        f"violation={report.violations[0] if report.violations else 'none'}",
        flush=True,
    )
    if report.violations and _FLAGS.events:
        print("\n".join(report.events[-_FLAGS.events :]), flush=True)


def _run(_: list[str]) -> int:
    started_s = time.perf_counter()
    fault_counts: Counter[str] = Counter()
    totals: Counter[str] = Counter()
    failed_seeds: list[int] = []
    with ProcessPoolExecutor(_FLAGS.processes) as pool:
        run = partial(run_seed, duration_s=_FLAGS.seconds, series=_FLAGS.series)
        for report in pool.map(run, parse_seeds(_FLAGS.seeds)):
            _print_report(report)
            fault_counts.update(report.fault_counts)
            totals.update(
                runs=1,
                starts=report.start_count,
                owners=report.owner_count,
                copies=report.copy_count,
            )
            if report.violations:
                failed_seeds.append(report.seed)
    print(f"faults by kind: {dict(sorted(fault_counts.items()))}")
    print(f"totals: {dict(totals)}")
    print(f"failed={failed_seeds} wall_s={time.perf_counter() - started_s:.1f}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(app.run(_run))
