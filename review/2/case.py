"""A route is removed while its jobs run, and then the owner of the cell is killed."""

from __future__ import annotations

import signal

import anyio

from review.frame import Case, group_by_task, main, make_route

_JOB_OF_FOUR, _JOB_OF_ONE = "bbbbbbbbbbbb0004", "bbbbbbbbbbbb0001"
_MAX_ATTEMPTS = {_JOB_OF_FOUR: 4, _JOB_OF_ONE: 1}
_STEP = {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 2_500}


async def _play(case: Case) -> None:
    nodes = case.nodes
    nodes.start_platform(runners=3)
    four = make_route("four", prefix="/p/four/", max_attempts=4)
    one = make_route("one", prefix="/p/one/", max_attempts=1)
    other = make_route("other", prefix="/p/other/")
    await case.put_configuration(1, [four, one, other])
    for name in ("n0", "n1", "n2"):
        nodes.start_node(name)
    await nodes.wait_ready()
    body = {"spec": "run_ms=2500 fail", "steps": [_STEP]}
    for path in (f"four/{_JOB_OF_FOUR}", f"one/{_JOB_OF_ONE}"):
        if not await case.submit("n0", path, body):
            raise RuntimeError("a job was not accepted")
    await anyio.sleep(0.5)
    await case.put_configuration(4, [other])
    await anyio.sleep(1.0)
    if case.has_trouble:
        owner = await nodes.read_owner()
        nodes.nodes[owner].signal(signal.SIGKILL)
        case.record(f"disruption: SIGKILL of {owner}, which owns the cell")
    # Four runs of 2.5 s, and the change of the owner.
    await anyio.sleep(20)
    await case.put_configuration(7, [four, one, other])
    await anyio.sleep(3)
    alive = next(name for name, node in nodes.nodes.items() if node.handle.poll() is None)
    state = await case.wait_state(alive, f"four/{_JOB_OF_FOUR}", 10)
    by_task = group_by_task(await nodes.read_history())
    for job, limit in _MAX_ATTEMPTS.items():
        rows = by_task.get(f"{job}.0.0.0", [])
        failed = [row for row in rows if row.how == "failed" and row.acknowledged_ms is not None]
        ends = sorted(row.end_ms for row in failed)
        late = [row for row in rows if len(ends) >= limit and row.begin_ms >= ends[limit - 1]]
        case.record(f"runners: {job}: {len(rows)} starts, {len(failed)} ends as failed, observed")
        if late:
            case.add_violation(
                "BUDGET",
                f"{job}: {len(late)} starts after {limit} of {limit} attempts have ended failed",
            )
        if job == _JOB_OF_FOUR and state == "failed" and len(failed) < limit:
            case.add_violation(
                "LOST",
                f"{job}: shown as failed after {len(failed)} of {limit} attempts have ended failed",
            )
    case.record_runs(row for rows in by_task.values() for row in rows)


main(__file__, _play)
