"""Measurements for docs/CAPACITY.md.

``make capacity`` prints the measured costs at several sizes, with a line fitted to each cost.
"""

from __future__ import annotations

import sys
import time

import anyio
from absl import app, flags

from benchmarks import _daemons, _logic
from benchmarks._linear_fit import format_fits

_FLAGS = flags.FLAGS


def _run(_: list[str]) -> int:
    started_s = time.monotonic()
    fits = [
        *_logic.measure_shard((5, 20, 40, 160)),
        *_logic.measure_router((24, 300, 1_200, 4_700)),
        *_logic.measure_declaration((24, 96, 300, 650)),
        *_logic.measure_request_stats((1, 20, 100, 200)),
        *_logic.measure_dispatcher((24, 96, 296, 648), 67),
    ]
    if _FLAGS.processes:
        fits += anyio.run(_daemons.measure_peers, (1, 2, 4, 7))
        fits += anyio.run(_daemons.measure_workers, (8, 24, 48, 96))
    print(format_fits(fits))
    print(f"took {time.monotonic() - started_s:.0f} s")
    return 0


if __name__ == "__main__":
    flags.DEFINE_bool("processes", True, "Also measure real daemon processes.")
    sys.exit(app.run(_run))
