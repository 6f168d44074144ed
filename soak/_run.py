"""Soak run of one seed."""

from __future__ import annotations

import random
import time
from collections import Counter

import anyio
import attrs
import eliot

from soak._cluster import Cluster
from soak._faults import Injector
from soak._loop import VirtualLoop, discard_loop

_CHECK_PERIOD_S = 0.25
_OPERATOR_COUNT = 2
# Limit for each daemon; docs/proofs.md lists measured values.
MAX_STORE_CALLS_PER_SECOND = 100


@attrs.frozen(kw_only=True)
class Report:
    """Result of one soak run.

    Parameters
    ----------
    violation : str
        First violation of an invariant; empty if there was none.
    events : tuple of str
        Last events of the run, up to the violation if there was one.
    fault_counts, event_counts : dict of str to int
        Number of injected faults and of other events by kind.
    callbacks : int
        Number of callbacks that the event loop ran.
    wall_s : float
        Duration of the run in real time in s.
    calls_at_rest, calls_under_load : float
        Mean store calls of one daemon per second, in the last 20 s and while faults are injected.
    calls_highest : int
        Highest number of store calls of one daemon in a second.
    """

    seed: int
    violation: str
    events: tuple[str, ...]
    fault_counts: dict[str, int]
    event_counts: dict[str, int]
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
        discard_loop(loop)


def discard_buffered_logs() -> None:
    """Discard what was logged so far, which the first destination in a process would get."""

    def ignore(_: dict) -> None:
        pass

    eliot.add_destinations(ignore)
    eliot.remove_destination(ignore)


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
    # After the faults the deployment has 30 % of the run, at least 110 s, to recover.
    faults_end_s = end_s - max(110.0, 0.3 * end_s)

    def trace_log_message(message: dict) -> None:
        fields = {
            key: value
            for key, value in message.items()
            if key not in ("message_type", "task_uuid", "task_level", "timestamp")
        }
        cluster.trace(f"log: {message.get('message_type')}", **fields)

    discard_buffered_logs()
    eliot.add_destinations(trace_log_message)
    try:
        drivers = [cluster.run_operator(faults_end_s) for _ in range(_OPERATOR_COUNT)]
        drivers.append(injector.run(faults_end_s))
        tasks = [loop.start(None, driver) for driver in drivers]
        while loop.true_s < end_s and cluster.checker.violation is None:
            await anyio.sleep(_CHECK_PERIOD_S)
            cluster.checker.check_daemons()
        for task in tasks:
            # After a driver (operator or injector) has failed, the rest of the run would have no
            # changes or no faults.
            if task.done() and task.exception() is not None:
                cluster.checker.record_violation("driver", repr(task.exception()))
        if cluster.checker.violation is None:
            cluster.checker.check_final_state()
            cluster.checker.check_store_calls(MAX_STORE_CALLS_PER_SECOND)
    finally:
        eliot.remove_destination(trace_log_message)
    violation = cluster.checker.violation
    calls: Counter[int] = Counter()
    highest_calls = 0
    for process in cluster.all_processes:
        calls.update(process.platform.calls_by_second)
        highest_calls = max(highest_calls, *process.platform.calls_by_second.values(), 0)
    daemon_seconds = len(cluster.processes) * faults_end_s
    rest_calls = [calls[second] for second in range(int(end_s) - 20, int(end_s))]
    return Report(
        seed=seed,
        violation=str(violation or ""),
        events=tuple(cluster.events),
        fault_counts=dict(injector.fault_counts),
        event_counts=dict(cluster.checker.event_counts),
        callbacks=loop.callback_count,
        wall_s=time.perf_counter() - started_s,
        calls_at_rest=sum(rest_calls) / len(rest_calls) / max(1, len(cluster.list_live_daemons())),
        calls_under_load=sum(calls[second] for second in range(int(faults_end_s))) / daemon_seconds,
        calls_highest=highest_calls,
    )
