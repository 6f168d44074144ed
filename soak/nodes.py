"""Seeded soak of the daemons on the users' platform, as real processes with faults from outside.

Callers hand jobs in, ask and cancel without pause while daemons, runners, the store and the paths
to it suffer faults in series that overlap. Promises are checked from what callers and runners see:

* an accepted job is never unknown (410), never goes back from a final state, and ends;
* a job that was refused each time never runs;
* no task runs twice at once, nor again after it was done, unless that end was lost with its runner
  before any owner had acknowledged it;
* a job fails only if its tasks fail;
* no more VMs of a wave of upkeep are down at once than it allows, none twice for one wave, and a
  wave that is shown as completed has reached each of its VMs.

``python -m soak.nodes --seeds 1:6 --seconds 20`` plays seeds 1 to 5.
"""

from __future__ import annotations

import random
import secrets
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
from absl import app, flags

from standins.nodes import HOST, PREFIX, Nodes
from standins.relay import Relay

_ROUTE = {
    "name": "r-1",
    "host": HOST,
    "prefix": PREFIX,
    "timeout_ms": 3_000,
    "slo_ms": 60_000,
    "priority": 0,
    "service": "web",
    "max_attempts": 2,
    "stretch": 3.0,
}
# Time in which all jobs have to end once the faults are over: a lease of 4 s, the longest job of
# 3 s, and the queue that an outage leaves, on a machine that is busy with other things.
_SETTLE_S = 60.0
_NODES = 3
_RUNNERS = 2
# Series of faults that overlap.
_SERIES = 2


@attrs.define
class _Job:
    id: str
    fails: bool
    accepted: bool = False
    undecided: bool = False
    cancelled: bool = False
    final: str = ""


@attrs.define
class Report:
    """What one seed showed."""

    seed: int
    jobs: int = 0
    accepted: int = 0
    faults: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)
    # Tasks that ran again because their ends were lost with their runners.
    lost_ends: list[str] = attrs.field(factory=list)
    logs: str = ""


class NodesSoak:
    """One seeded run.

    Parameters
    ----------
    seed : int
        Chooses faults, jobs and times; processes add chance of their own.
    duration_s : float
        Time with faults.
    """

    def __init__(self, *, seed: int, duration_s: float) -> None:
        self._random = random.Random(seed)
        # Faults have a series of their own, which doesn't depend on the callers' pace.
        self._chance = [random.Random(f"{seed}/{number}") for number in range(_SERIES)]
        self._duration_s = duration_s
        self._nodes = Nodes()
        self._relays: dict[str, Relay] = {}
        self._runners: list[tuple[Any, list[int]]] = []
        self._jobs: list[_Job] = []
        self._stopped: set[str] = set()
        # VMs of each wave of upkeep.
        self._waves: dict[int, list[str]] = {}
        self.report = Report(seed)

    async def run(self) -> Report:
        """Play the seed and return what it showed."""
        try:
            await self._start()
            end = time.monotonic() + self._duration_s
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(self._call_until, end)
                group.start_soon(self._ask_until, end)
                for chance in self._chance:
                    group.start_soon(self._break_until, end, chance)
            await self._heal()
            await self._settle()
            await self._check_runs()
            await self._check_upkeeps()
        except TimeoutError as error:
            # Daemons that don't get ready, at the start or after the faults.
            self._violate(f"not ready: {error}")
        finally:
            if self.report.violations:
                self.report.logs = self._nodes.read_logs()
            self._nodes.close()
            for relay in self._relays.values():
                relay.close()
        self.report.jobs = len(self._jobs)
        self.report.accepted = sum(job.accepted for job in self._jobs)
        return self.report

    async def _start(self) -> None:
        self._nodes.start_platform(runners=1)
        for _ in range(_RUNNERS):
            self._start_runners()
        await self._nodes.put_configuration(1, [_ROUTE])
        for number in range(_NODES):
            self._start_node(f"n{number}")
        await self._nodes.wait_ready()

    def _start_node(self, name: str) -> None:
        if name not in self._relays:
            self._relays[name] = Relay(port=self._nodes.store_port)
        self._nodes.start_node(name, store_port=self._relays[name].port)

    def _start_runners(self) -> None:
        before = set(self._nodes.runner_ports)
        handle = self._nodes.start_runners(2)
        ports = [port for port in self._nodes.runner_ports if port not in before]
        self._runners.append((handle, ports))

    def _violate(self, text: str) -> None:
        if len(self.report.violations) < 20:
            self.report.violations.append(text)

    def add_accepted(self, job_id: str) -> None:
        """Count a job as accepted, for tests of the checks."""
        self._jobs.append(_Job(job_id, fails=False, accepted=True))

    # Callers

    async def _call_until(self, end: float) -> None:
        while time.monotonic() < end:
            await self._submit()
            await anyio.sleep(self._random.uniform(0.05, 0.4))

    async def _submit(self) -> None:
        choose = self._random
        job = _Job(secrets.token_hex(8), fails=choose.random() < 0.1)
        self._jobs.append(job)
        run_ms = choose.choice((50, 200, 600, 1_500))
        step = {"count": choose.randint(1, 4), "cpu": 500, "mem_mb": 100, "estimate_ms": run_ms}
        body = {
            "spec": f"run_ms={run_ms}" + (" fail" if job.fails else ""),
            "steps": [step, {**step, "after": [0]}][: choose.randint(1, 2)],
        }
        for _ in range(4):
            answer = await self._request("POST", job.id, body)
            if answer is not None and answer.status == 200:
                job.accepted = True
                break
            if answer is None or answer.status not in (429, 503):
                job.undecided = True
            await anyio.sleep(0.3)
        if job.accepted and choose.random() < 0.1:
            # Set before the call, since the state may be read before its answer.
            job.cancelled = True
            answer = await self._request("DELETE", job.id)
            if answer is not None and answer.status == 410:
                self._violate(f"{job.id}: accepted, and its cancellation answered 410")

    async def _ask_until(self, end: float) -> None:
        while time.monotonic() < end:
            accepted = [job for job in self._jobs if job.accepted]
            if accepted:
                await self._check_state(self._random.choice(accepted[-60:]))
            await anyio.sleep(0.05)

    async def _check_state(self, job: _Job) -> None:
        answer = await self._request("GET", job.id)
        if answer is None or answer.status == 503:
            return
        if answer.status != 200:
            self._violate(f"{job.id}: accepted, and asked for: {answer.status}")
            return
        state = answer.json()["state"]
        if job.final and state != job.final:
            self._violate(f"{job.id}: {state} after {job.final}")
        if state == "failed" and not job.fails:
            self._violate(f"{job.id}: failed without cause")
        if state == "cancelled" and not job.cancelled:
            self._violate(f"{job.id}: cancelled without cause")
        if state in ("completed", "failed", "cancelled"):
            job.final = state

    async def _request(self, method: str, name: str, body: Any = None) -> Any:
        node = self._random.choice(sorted(self._nodes.nodes))
        return await self._nodes.request(node, method, name, body, timeout_ms=2_500)

    # Faults

    async def _break_until(self, end: float, chance: random.Random) -> None:
        faults: dict[str, Callable[[random.Random], Awaitable[None]]] = {
            "node_kill": self._kill_node,
            "node_stop": self._stop_node,
            "node_pause": self._pause_node,
            "runners_kill": self._kill_runners,
            "runners_pause": self._pause_runners,
            "store_outage": lambda chance: self._fault_store(chance, outage=True),
            "store_silent": lambda chance: self._fault_store(chance, silent=True),
            "store_slow": lambda chance: self._fault_store(chance, delay_ms=300.0),
            "store_lost": lambda chance: self._fault_store(chance, lose_answers=5),
            "path_silent": self._silence_path,
            "wave": self._ask_upkeep,
        }
        while time.monotonic() < end:
            await anyio.sleep(chance.uniform(0.2, 1.5))
            name = chance.choice(sorted(faults))
            self.report.faults[name] += 1
            await faults[name](chance)

    def _choose_node(self, chance: random.Random) -> str | None:
        sound = sorted(set(self._nodes.nodes) - self._stopped)
        return chance.choice(sound) if len(sound) > 1 else None

    async def _end_node(self, chance: random.Random, number: signal.Signals, wait_s: float) -> None:
        name = self._choose_node(chance)
        if name is None:
            return
        self._stopped.add(name)
        node = self._nodes.nodes[name]
        node.signal(number)
        await anyio.to_thread.run_sync(lambda: node.handle.wait(timeout=20))
        await anyio.sleep(wait_s)
        self._start_node(name)
        self._stopped.discard(name)

    async def _kill_node(self, chance: random.Random) -> None:
        await self._end_node(chance, signal.SIGKILL, chance.uniform(0.0, 2.0))

    async def _stop_node(self, chance: random.Random) -> None:
        await self._end_node(chance, signal.SIGTERM, 0.0)

    async def _pause_node(self, chance: random.Random) -> None:
        name = self._choose_node(chance)
        if name is None:
            return
        self._stopped.add(name)
        self._nodes.nodes[name].signal(signal.SIGSTOP)
        await anyio.sleep(chance.uniform(0.5, 4.0))
        self._nodes.nodes[name].signal(signal.SIGCONT)
        self._stopped.discard(name)

    async def _kill_runners(self, chance: random.Random) -> None:
        if len(self._runners) < 2:
            return
        handle, ports = self._runners.pop(chance.randrange(len(self._runners)))
        await self._nodes.kill_runners(handle, ports)
        await anyio.sleep(chance.uniform(0.0, 1.0))
        self._start_runners()

    async def _pause_runners(self, chance: random.Random) -> None:
        handle, _ = chance.choice(self._runners)
        if handle.poll() is None:
            handle.send_signal(signal.SIGSTOP)
            await anyio.sleep(chance.uniform(0.3, 2.0))
            handle.send_signal(signal.SIGCONT)

    async def _fault_store(self, chance: random.Random, **faults: Any) -> None:
        await self._nodes.set_store_faults(**faults)
        await anyio.sleep(chance.uniform(0.5, 4.0))
        await self._nodes.set_store_faults()

    async def _silence_path(self, chance: random.Random) -> None:
        name = chance.choice(sorted(self._relays))
        self._relays[name].silence()
        await anyio.sleep(chance.uniform(0.0, 1.0))

    async def _ask_upkeep(self, chance: random.Random) -> None:
        vms = self._nodes.list_vms()
        number = len(self._waves) + 1
        self._waves[number] = chance.sample(vms, min(len(vms), 3))
        # The store may be away; the wave is asked for once it is back.
        while not await self._nodes.put_wave(number, self._waves[number]):
            await anyio.sleep(0.3)

    # End

    async def _heal(self) -> None:
        await self._nodes.set_store_faults()
        for name, node in list(self._nodes.nodes.items()):
            node.signal(signal.SIGCONT)
            if node.handle.poll() is not None:
                self._start_node(name)
        for handle, _ in self._runners:
            handle.send_signal(signal.SIGCONT)
        await self._nodes.wait_ready()

    async def _settle(self) -> None:
        end = time.monotonic() + _SETTLE_S
        open_jobs = [job for job in self._jobs if job.accepted and not job.final]
        while open_jobs and time.monotonic() < end:
            for job in open_jobs:
                await self._check_state(job)
            open_jobs = [job for job in open_jobs if not job.final]
        for job in open_jobs:
            self._violate(f"{job.id}: accepted, and not ended {_SETTLE_S:.0f} s after the faults")

    async def _check_upkeeps(self) -> None:
        upkeeps = sorted(await self._nodes.read_maintenance_runs(), key=lambda row: row["begin_ms"])
        for number, vms in self._waves.items():
            rows = [row for row in upkeeps if row["wave"] == number]
            for earlier, later in zip(rows, rows[1:], strict=False):
                if later["begin_ms"] < earlier.get("end_ms", float("-inf")):
                    self._violate(f"wave {number}: {earlier} and {later} at once")
            taken = [row["machine"] for row in rows]
            if len(set(taken)) < len(taken):
                self._violate(f"wave {number}: twice for one VM: {taken}")
            completed = await self._nodes.read_wave_status(number) == "completed"
            if completed and set(taken) != set(vms):
                self._violate(f"wave {number}: completed, and only {taken} of {vms}")

    async def _check_runs(self) -> None:
        runs = sorted(await self._nodes.read_history(), key=lambda run: run["begin_ms"])
        jobs = {job.id: job for job in self._jobs}
        done: dict[str, dict[str, Any]] = {}
        last: dict[str, dict[str, Any]] = {}
        for run in runs:
            task = run["task"]
            job = jobs.get(task.split(".")[0])
            if job is None or not (job.accepted or job.undecided):
                self._violate(f"{task}: ran, and its job was refused each time")
            before = last.get(task)
            if before is not None and run["begin_ms"] < before["end_ms"]:
                self._violate(f"{task}: attempts {before['attempt']} and {run['attempt']} at once")
            # An end that was lost with its runner before an owner acknowledged it counts for
            # nothing, so its task has to run again.
            if task in done and done[task].get("lost"):
                self.report.lost_ends.append(f"{done[task]} then {run}")
            elif task in done:
                self._violate(f"{task}: attempt {run['attempt']} after it was done: {done[task]}")
            if run["how"] == "done":
                done[task] = run
            last[task] = run


def play(seed: int, seconds: float) -> Report:
    """Play one seed."""
    soak = NodesSoak(seed=seed, duration_s=seconds)
    return anyio.run(soak.run, backend_options={"use_uvloop": True})


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    first, last = (int(part) for part in options.seeds.split(":"))
    failed = 0
    for seed in range(first, last):
        report = play(seed, options.seconds)
        failed += bool(report.violations)
        faults = " ".join(f"{name}={count}" for name, count in sorted(report.faults.items()))
        verdict = "FAILED" if report.violations else "ok"
        print(f"seed {seed}: {verdict}, {report.accepted} of {report.jobs} jobs, {faults}")
        for lost in report.lost_ends:
            print(f"  lost with its runner: {lost}")
        for violation in report.violations:
            print(f"  {violation}")
        if report.violations and options.logs:
            print(report.logs)
    return 1 if failed else 0


if __name__ == "__main__":
    flags.DEFINE_string("seeds", "1:6", "First seed and the one after the last.")
    flags.DEFINE_float("seconds", 20.0, "Time with faults for each seed.")
    flags.DEFINE_bool("logs", False, "Print the ends of the logs of a seed that failed.")
    sys.exit(app.run(_run))
