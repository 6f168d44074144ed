"""Soak runs of fixed seeds, and the exact replay of a seed."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from concurrent.futures import ProcessPoolExecutor

from soak._run import Report, run_seed

# Seed, virtual minutes, workers, daemons (0: chosen by seed) and kinds of faults (empty: all);
# docs/proofs.md lists the mutation that each run detects.
RUNS: tuple[tuple[int, float, int, int, tuple[str, ...]], ...] = (
    (0, 4.0, 8, 0, ()),
    (1, 4.0, 8, 0, ()),
    (5, 4.0, 8, 0, ()),
    (11, 4.0, 8, 0, ()),
    (1, 5.0, 8, 3, ("owner lost and worker cut",)),
    (6, 5.0, 8, 3, ("daemon restarts in outage",)),
    (2, 5.0, 24, 0, ("store silent", "store slow", "lost answers")),
)


# Number of seeds that run at the same time.
_PROCESS_COUNT = 2


def _run_seed(
    seed: int, minutes: float, workers: int, daemons: int, kinds: tuple[str, ...]
) -> Report:
    return run_seed(seed, minutes=minutes, daemons=daemons, workers=workers, kinds=kinds)


class SoakTest(unittest.TestCase):
    """Runs of the whole deployment on a virtual clock with injected faults."""

    def test_fixed_seeds_violate_no_invariant(self) -> None:
        """Guards against the defects of the daemons that these seeds have revealed.

        docs/proofs.md describes them.
        """
        with ProcessPoolExecutor(_PROCESS_COUNT) as pool:
            reports = list(pool.map(_run_seed, *zip(*RUNS, strict=True)))
        for (seed, *_, kinds), report in zip(RUNS, reports, strict=True):
            with self.subTest(seed=seed, kinds=kinds):
                self.assertEqual(report.violation, "", "\n".join(report.events[-60:]))


class ReplayTest(unittest.TestCase):
    """Runs of one seed, which must be equal."""

    def test_seed_replays_exactly(self) -> None:
        """Guards against a violation that can't be reproduced from its seed.

        This happens when a run depends on anything but its seed, such as real time.
        """
        first, second = (run_seed(9, minutes=2.5, workers=4, daemons=3) for _ in range(2))
        self.assertEqual(first.events, second.events)
        self.assertEqual(first.callbacks, second.callbacks)

    def test_seed_replays_exactly_in_another_process(self) -> None:
        """Guards against a run that depends on the order of a set, which hashes of texts decide."""
        program = (
            "import os\n"
            "from coltsfootpier.logs import log_event\n"
            "from soak._run import run_seed\n"
            # Another test of the process may have logged something.
            "log_event('earlier', hash_seed=os.environ['PYTHONHASHSEED'])\n"
            "report = run_seed(20, minutes=2.0, workers=1, daemons=5)\n"
            "print(report.callbacks, *report.events, sep='\\n')"
        )
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", program],
                stdout=subprocess.PIPE,
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
            )
            for hash_seed in ("0", "1")
        ]
        first, second = [process.communicate()[0].splitlines() for process in processes]
        self.assertGreater(len(first), 20)
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
