"""Soak run of one seed."""

from __future__ import annotations

import gc
import random
import time
import warnings
from collections import Counter

import anyio
import attrs
import eliot

from soak._cluster import Cluster
from soak._faults import Injector
from soak._loop import VirtualLoop

_CHECK_PERIOD_S = 0.25
_OPERATORS = 2
# Maximum number of store calls of one daemon in a second; see docs/proofs.md for measured values.
STORE_CALLS_BOUND = 100


@attrs.frozen(kw_only=True)
class Report:
    """Result of one soak run.

    Parameters
    ----------
    violation : str
        First violation of an invariant; empty if there was none.
    events : tuple of str
        Last events of the run, up to the violation if there was one.
    """

    seed: int
    violation: str
    events: tuple[str, ...]
    faults: dict[str, int]
    counts: dict[str, int]
    callbacks: int
    wall_s: float
    calls_at_rest: float
    calls_under_load: float
    calls_highest: int


def run_seed(
    seed: int,
    *,
    minutes: float = 10.0,
    daemons: int = 0,
    workers: int = 24,
    kinds: tuple[str, ...] = (),
) -> Report:
    """Run one seed and check the invariants.

    Parameters
    ----------
    seed : int
        Determines the whole run.
    minutes : float, default=10.0
        Duration of the run in virtual minutes.
    daemons : int, default=0
        Number of daemons; 0 chooses 3 to 7 by seed.
    workers : int, default=24
        Number of workers.
    kinds : tuple of str, optional
        Kinds of faults to inject; all if empty.

    Returns
    -------
    Report
    """
    started_s = time.perf_counter()
    random.seed(seed)
    loop = VirtualLoop()
    daemons = daemons or random.Random(f"{seed}/size").randint(3, 7)
    try:
        return loop.run_until_complete(
            _run(loop, seed, minutes, daemons, workers, kinds, started_s)
        )
    finally:
        _discard_loop(loop)


async def _run(
    loop: VirtualLoop,
    seed: int,
    minutes: float,
    daemons: int,
    workers: int,
    kinds: tuple[str, ...],
    started_s: float,
) -> Report:
    cluster = Cluster(loop=loop, seed=seed, daemons=daemons, workers=workers)
    injector = Injector(cluster=cluster, seed=seed, kinds=kinds)
    end_s = minutes * 60
    faults_end_s = end_s - max(110.0, 0.3 * end_s)

    def trace(message: dict) -> None:
        fields = {
            key: value
            for key, value in message.items()
            if key not in ("message_type", "task_uuid", "task_level", "timestamp")
        }
        cluster.trace(f"log: {message.get('message_type')}", **fields)

    eliot.add_destinations(trace)
    try:
        drivers = [cluster.run_operator(faults_end_s) for _ in range(_OPERATORS)]
        drivers.append(injector.run(faults_end_s))
        tasks = [loop.start(None, driver) for driver in drivers]
        while loop.true_s < end_s and cluster.checker.violation is None:
            await anyio.sleep(_CHECK_PERIOD_S)
            cluster.checker.check_daemons()
        for task in tasks:
            # A failed driver leaves the rest of the run without faults or changes.
            if task.done() and task.exception() is not None:
                cluster.checker.record_violation("driver", repr(task.exception()))
        if cluster.checker.violation is None:
            cluster.checker.check_end()
            cluster.checker.check_store_calls(STORE_CALLS_BOUND)
    finally:
        eliot.remove_destination(trace)
    violation = cluster.checker.violation
    calls: Counter[int] = Counter()
    highest = 0
    for process in cluster.all_processes:
        calls.update(process.platform.calls_by_second)
        highest = max(highest, *process.platform.calls_by_second.values(), 0)
    live_seconds = len(cluster.processes) * faults_end_s
    rest_calls = [calls[second] for second in range(int(end_s) - 20, int(end_s))]
    return Report(
        seed=seed,
        violation=str(violation or ""),
        events=tuple(cluster.events),
        faults=dict(injector.counts),
        counts=dict(cluster.checker.counts),
        callbacks=loop.callback_count,
        wall_s=time.perf_counter() - started_s,
        calls_at_rest=sum(rest_calls) / len(rest_calls) / max(1, len(cluster.list_live_daemons())),
        calls_under_load=sum(calls[second] for second in range(int(faults_end_s))) / live_seconds,
        calls_highest=highest,
    )


def _discard_loop(loop: VirtualLoop) -> None:
    # Drops the pending tasks of killed daemons without resuming them and without warnings.
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", ResourceWarning)
        for task in loop.started_tasks:
            task._log_destroy_pending = False
        loop.started_tasks.clear()
        loop.close()
        gc.collect()
