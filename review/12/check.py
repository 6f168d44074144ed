"""Case 12: the first job with many occurrences stops all daemons."""

from __future__ import annotations

import time
from pathlib import Path

import anyio
from third_world import FINISH_S, World, build_job, has_trouble, run_script

# A pipeline of short best-effort steps, to run once a minute from an hour from now on.
STEP_COUNT = 20
OCCURRENCES, USUAL_OCCURRENCES = 1_000, 4
INTERVAL_MS, FIRST_DUE_MS = 60_000, 3_600_000
SCHEDULED_JOB = f"{0xC0DE:016x}"
# A daemon that answers nothing for that long hangs; the load balancer leaves it out after 2 s.
HANG_S = 10.0
ORDINARY = {"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 200}


def build_scheduled_job() -> dict:
    """Return the body of the job with the schedule."""
    step = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 200, "fills": True, "image": "r"}
    steps = [
        {**step, **({"after": [number - 1]} if number else {})} for number in range(STEP_COUNT)
    ]
    return build_job(
        steps,
        repeat_count=OCCURRENCES if has_trouble() else USUAL_OCCURRENCES,
        start_at_ms=int(time.time() * 1000) + FIRST_DUE_MS,
        interval_ms=INTERVAL_MS,
    )


async def check(world: World) -> bool:
    """Return whether accepted jobs get no answer after `finish_s`, or a daemon hangs."""
    await world.start(runners=4, daemons=3)
    nodes = list(world.nodes.nodes)
    accepted = []
    silences_s: dict[str, float] = {}
    async with anyio.create_task_group() as group:
        group.start_soon(world.watch_readiness, silences_s)
        for number, run_ms in enumerate((200, 200, 6_000)):
            job = f"{0x100 + number:016x}"
            if await world.submit(nodes[number], job, build_job([ORDINARY], run_ms=run_ms)) == 200:
                accepted.append(job)
        await anyio.sleep(1)
        if await world.submit_with_retries(nodes[0], SCHEDULED_JOB, build_scheduled_job()) == 200:
            accepted.append(SCHEDULED_JOB)
        world.record.add(f"end of the traffic; jobs are asked for after {FINISH_S:.0f} s")
        await anyio.sleep(FINISH_S)
        unanswered = []
        for job in accepted:
            states = [await world.read(node, job) for node in nodes]
            # A state is an answer; a status such as 503 isn't.
            if not any(state.isalpha() for state in states):
                unanswered.append(job)
        group.cancel_scope.cancel()
    world.find_ended_processes()
    longest = {name: round(silence_s, 1) for name, silence_s in sorted(silences_s.items())}
    world.record.add(f"accepted jobs without an answer at any daemon: {unanswered or 'none'}")
    world.record.add(f"longest time in s without an answer to the readiness check: {longest}")
    return bool(unanswered) or max(longest.values()) >= HANG_S


if __name__ == "__main__":
    run_script(check, Path(__file__).resolve())
