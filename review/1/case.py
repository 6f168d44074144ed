"""More ends on one runner than one report lists, because the store is down for a while."""

from __future__ import annotations

import anyio

from review.frame import Case, group_by_task, main, make_route
from standins.histories import RunRecord

_JOB = "aaaaaaaaaaaa0001"
_TASKS = 3_000
# Site dss-vieta: `platform_down`, `for_s` 5.4 at most.
_OUTAGE_S = 5.0


async def _play(case: Case) -> None:
    nodes = case.nodes
    nodes.start_platform(runners=2)
    await case.put_configuration(1, [make_route()])
    for name in ("n0", "n1", "n2"):
        nodes.start_node(name)
    await nodes.wait_ready()
    step = {"count": _TASKS, "cpu": 200, "mem_mb": 20, "estimate_ms": 250}
    if not await case.submit("n0", _JOB, {"spec": "run_ms=250", "steps": [step]}):
        raise RuntimeError("the job was not accepted")
    await anyio.sleep(2)
    if case.has_trouble:
        await nodes.set_store_faults(outage=True)
        case.record("disruption begins: the store answers all calls with 503")
        await anyio.sleep(_OUTAGE_S)
        await nodes.set_store_faults()
        case.record("disruption ends: the store answers again")
    await case.wait_state("n1", _JOB, 60)
    await anyio.sleep(2)
    records = await nodes.read_history()
    _check_repeats(case, records)
    case.record_runs(records)


def _check_repeats(case: Case, records: list[RunRecord]) -> None:
    """Check that nothing starts after a run ended `done` whose end was taken note of."""
    tasks = starts = 0
    for task, rows in group_by_task(records).items():
        done = [
            row
            for row in rows
            if row.how == "done" and row.acknowledged_ms is not None and not row.lapsed
        ]
        first = min(done, key=lambda row: row.end_ms, default=None)
        later = [row for row in rows if first is not None and row.begin_ms >= first.end_ms]
        if not later:
            continue
        tasks, starts = tasks + 1, starts + len(later)
        if tasks <= 10:
            case.add_violation(
                "TWICE",
                f"{task}: attempt {first.attempt} ended done on {first.runner} and was observed,"
                f" then {len(later)} starts, the first {later[0].begin_ms - first.end_ms:.0f} ms"
                f" after that end on {later[0].runner}",
            )
    case.record(f"runners: {starts} starts of {tasks} tasks after an end as done, taken note of")


main(__file__, _play)
