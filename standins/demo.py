"""Demo: daemons and workers in three availability zones, with faults and checked responses."""

from __future__ import annotations

import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

import anyio
import attrs

from standins.cluster import Cluster, call, wait_for

_DECLARATION_PATH = Path(__file__).parent.parent / "examples" / "demo.ini"
_ZONES = ("zone-a", "zone-b", "zone-c")
_CALLER_COUNT = 8
_REQUESTS_PER_CALLER = 100
_REQUEST_KINDS = (("sign", "count"), ("sign", "guidance"), ("ingest", "reading"))


@attrs.define
class Tally:
    """Results that the callers observed.

    Attributes
    ----------
    outcomes : Counter
        Number of responses by outcome.
    wrong_count : int
        Number of responses whose content doesn't belong to the request.
    incomplete_count : int
        Number of requests that received no complete response.
    latencies_ms : list of float
        Latencies of the requests that were done.
    non_idempotent : list of (str, str)
        Identifier and outcome of each request whose kind isn't idempotent.
    """

    outcomes: Counter = attrs.field(factory=Counter)
    wrong_count: int = 0
    incomplete_count: int = 0
    latencies_ms: list[float] = attrs.field(factory=list)
    non_idempotent: list[tuple[str, str]] = attrs.field(factory=list)


async def _run_caller(cluster: Cluster, index: int, tally: Tally, seed: int) -> None:
    rng = random.Random(f"{seed}/{index}")
    for number in range(_REQUESTS_PER_CALLER):
        service, kind = rng.choice(_REQUEST_KINDS)
        request_id = f"caller-{index}-{number}"
        body = f"{request_id}:{rng.random()}".encode()
        request_start_s = time.monotonic()
        response = await call(
            rng.choice(cluster.balancer.ready).ports["callers"],
            "POST",
            f"/services/{service}/{kind}",
            body=body,
            headers={"X-Request-Id": request_id, "Idempotency-Key": request_id},
        )
        elapsed_ms = (time.monotonic() - request_start_s) * 1000
        if response is None:
            tally.incomplete_count += 1
            continue
        outcome = response.headers.get("x-outcome", "none")
        if outcome == "done":
            tally.latencies_ms.append(elapsed_ms)
            echoed = response.json()
            if echoed["id"] != request_id or echoed["body"] != body.decode():
                tally.wrong_count += 1
        else:
            outcome = f"{outcome}: {response.json().get('error', '')}"
        tally.outcomes[outcome] += 1
        if kind != "guidance":
            tally.non_idempotent.append((request_id, outcome))
        await anyio.sleep(rng.uniform(0.0, 0.03))


async def _count_runs(cluster: Cluster) -> Counter:
    """Return how often each request ran on the workers that are still running."""
    runs: Counter = Counter()
    for worker in cluster.workers.values():
        if worker.handle.poll() is None:
            response = await call(worker.ports["api"], "GET", "/runs")
            runs.update(response.json()["requests"])
    return runs


def _compute_percentile(values: list[float], share: float) -> float:
    sorted_values = sorted(values)
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


async def _start_processes(cluster: Cluster) -> None:
    cluster.start_platform()
    async with anyio.create_task_group() as group:
        for index in range(6):
            group.start_soon(cluster.start_worker, f"worker-{index}", _ZONES[index % 3])
    await cluster.start_daemons({f"entry-{index}": zone for index, zone in enumerate(_ZONES)})
    await cluster.wait_ready()


def _apply_declaration(cluster: Cluster, path: Path) -> None:
    operators_port = cluster.daemons["entry-0"].ports["operators"]
    result = cluster.run_tool("apply", str(path), f"--daemon=127.0.0.1:{operators_port}")
    print((result.stdout + result.stderr).strip())
    if result.returncode:
        raise RuntimeError(f"apply ended with exit code {result.returncode}")


async def _inject_faults(cluster: Cluster) -> None:
    await anyio.sleep(1.0)
    print("stopping entry-2 gracefully")
    cluster.daemons["entry-2"].signal(signal.SIGTERM)
    await anyio.sleep(1.0)
    print("killing worker-5")
    cluster.workers["worker-5"].signal(signal.SIGKILL)
    await cluster.update_vm(name="worker-5", state="gone")


async def _are_jobs_done(cluster: Cluster) -> bool:
    status = await cluster.read_status("entry-0")
    jobs = [task for task in status.get("tasks", ()) if task["task"].startswith("job/")]
    return bool(jobs) and all(task["state"] == "done" for task in jobs)


async def run(*, seed: int = 1) -> int:
    """Run the demo and return the exit code; the seed determines the requests of the callers."""
    start_s = time.monotonic()
    cluster = Cluster(zones=_ZONES)
    tally = Tally()
    try:
        await _start_processes(cluster)
        print(f"started 1 platform, 6 workers, 3 daemons in {time.monotonic() - start_s:.1f} s")
        _apply_declaration(cluster, _DECLARATION_PATH)
        waited_s = await wait_for(lambda: _are_runners_running(cluster, 9), timeout_s=30)
        print(f"all 9 runners are running after {waited_s:.1f} s")
        async with anyio.create_task_group() as balancer_group:
            balancer_group.start_soon(cluster.balancer.run)
            async with anyio.create_task_group() as group:
                for index in range(_CALLER_COUNT):
                    group.start_soon(_run_caller, cluster, index, tally, seed)
                group.start_soon(_inject_faults, cluster)
            balancer_group.cancel_scope.cancel()
        waited_s = await wait_for(lambda: _are_runners_running(cluster, 9), timeout_s=40)
        print(f"all 9 runners are running again after {waited_s:.1f} s")
        await wait_for(lambda: _are_jobs_done(cluster), timeout_s=60)
        changed_path = Path(cluster.folder / "changed.ini")
        changed_path.write_text(_DECLARATION_PATH.read_text().replace("runners = 6", "runners = 8"))
        _apply_declaration(cluster, changed_path)
        await wait_for(lambda: _are_runners_running(cluster, 11), timeout_s=30)
        return await _print_report(cluster, tally, start_s)
    finally:
        cluster.stop()


async def _are_runners_running(cluster: Cluster, count: int) -> bool:
    return await cluster.count_running("entry-0", "service/") == count


async def _print_report(cluster: Cluster, tally: Tally, start_s: float) -> int:
    runs = await _count_runs(cluster)
    duplicated = [name for name, _ in tally.non_idempotent if runs[name] > 1]
    ran_rejected = [
        name
        for name, outcome in tally.non_idempotent
        if outcome.startswith("refused") and runs[name]
    ]
    status = await cluster.read_status("entry-0")
    done_count = sum(
        task["state"] == "done" and task["task"].startswith("job/") for task in status["tasks"]
    )
    further_attempts = sum(max(0, task["attempt"] - 1) for task in status["tasks"])
    print(
        f"answers: {tally.outcomes['done']} done, {tally.wrong_count} wrong, "
        f"{tally.incomplete_count} broken"
    )
    for outcome, count in sorted(tally.outcomes.items()):
        if outcome != "done":
            print(f"  {outcome}: {count}")
    print(
        f"latency: p50 {_compute_percentile(tally.latencies_ms, 0.5):.1f} ms, "
        f"p99 {_compute_percentile(tally.latencies_ms, 0.99):.1f} ms"
    )
    print(f"non-idempotent requests that ran twice: {len(duplicated)}")
    print(f"requests refused as not run that did run: {len(ran_rejected)}")
    print(f"job tasks done: {done_count}, further attempts of tasks: {further_attempts}")
    operators_port = cluster.daemons["entry-0"].ports["operators"]
    print(cluster.run_tool("report", "burn", f"--daemon=127.0.0.1:{operators_port}").stdout.strip())
    print(f"took {time.monotonic() - start_s:.1f} s")
    failed = (
        tally.wrong_count
        or tally.incomplete_count
        or duplicated
        or ran_rejected
        or tally.outcomes["done"] < 500
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(anyio.run(run))
