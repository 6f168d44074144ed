"""Case 13: the memory that jobs with many occurrences take before they are due."""

from __future__ import annotations

import time
from pathlib import Path

import anyio
from third_world import FINISH_S, World, build_job, has_trouble, run_script

# A pipeline of 5 short steps, to run once a minute from an hour from now on.
STEP_COUNT = 5
OCCURRENCES, USUAL_OCCURRENCES = 1_000, 4
INTERVAL_MS, FIRST_DUE_MS = 60_000, 3_600_000
# At most that many such jobs, one after the other.
JOB_COUNT = 40
FIRST_JOB = 0xC0DE
# `memory_mb` of the site file. The script does what the platform does to a process beyond it.
MEMORY_MB = 300
RESTART_S = 0.5
# The traffic ends after that many of them.
MAX_KILLS = 9
# RULES.md, Fault: so many ends of a process on so many machines.
FAULT_ENDS, FAULT_MACHINES = 3, 2
# So many of the accepted jobs are asked for at the end.
ASKED_COUNT = 3
CHECK_S = 0.1


def build_scheduled_job() -> dict:
    """Return the body of a job with a schedule."""
    step = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 200}
    steps = [
        {**step, **({"after": [number - 1]} if number else {})} for number in range(STEP_COUNT)
    ]
    return build_job(
        steps,
        repeat_count=OCCURRENCES if has_trouble() else USUAL_OCCURRENCES,
        start_at_ms=int(time.time() * 1000) + FIRST_DUE_MS,
        interval_ms=INTERVAL_MS,
    )


async def guard_memory(world: World, kills: dict[str, int], most_mb: dict[str, float]) -> None:
    """Kill each daemon that exceeds `memory_mb`, and start it again, until cancelled."""
    while True:
        for name in list(world.nodes.nodes):
            used_mb = world.read_memory_mb(name)
            most_mb[name] = max(most_mb.get(name, 0.0), round(used_mb))
            if used_mb > MEMORY_MB:
                world.record.add(f"{name} has {used_mb:.0f} MB of memory, more than {MEMORY_MB}")
                world.kill_daemon(name)
                kills[name] = kills.get(name, 0) + 1
                await anyio.sleep(RESTART_S)
                world.start_daemon(name)
        await anyio.sleep(CHECK_S)


async def check(world: World) -> bool:
    """Return whether daemons exceed their memory as often as the rule says."""
    await world.start(runners=4, daemons=3)
    nodes = list(world.nodes.nodes)
    kills: dict[str, int] = {}
    most_mb: dict[str, float] = {}
    accepted = []
    async with anyio.create_task_group() as group:
        group.start_soon(guard_memory, world, kills, most_mb)
        body = build_job(
            [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 6_000}], run_ms=6_000
        )
        ordinary = f"{0x100:016x}"
        if await world.submit_with_retries(nodes[0], ordinary, body) == 200:
            accepted.append(ordinary)
        for number in range(JOB_COUNT):
            if sum(kills.values()) >= MAX_KILLS:
                break
            job = f"{FIRST_JOB + number:016x}"
            if await world.submit_with_retries(nodes[0], job, build_scheduled_job()) == 200:
                accepted.append(job)
            await anyio.sleep(0.3)
        world.record.add(f"end of the traffic; jobs are asked for after {FINISH_S:.0f} s")
        await anyio.sleep(FINISH_S)
        unanswered = []
        for job in accepted[:ASKED_COUNT]:
            states = [await world.read(node, job) for node in nodes]
            # A state is an answer; a status such as 503 isn't.
            if not any(state.isalpha() for state in states):
                unanswered.append(job)
        group.cancel_scope.cancel()
    world.find_ended_processes()
    world.record.add(f"most memory in MB: {dict(sorted(most_mb.items()))}")
    world.record.add(f"kills of daemons that exceeded {MEMORY_MB} MB: {kills or 'none'}")
    world.record.add(
        f"{ASKED_COUNT} jobs were asked for; without an answer: {unanswered or 'none'}"
    )
    return sum(count >= FAULT_ENDS for count in kills.values()) >= FAULT_MACHINES


if __name__ == "__main__":
    run_script(check, Path(__file__).resolve())
