"""Seeded soak runs of the daemons on the users' platform: real processes with injected faults.

Callers continuously submit, query and cancel jobs while overlapping series of faults affect the
daemons, the runners, the store and the paths to it. The following guarantees are checked from the
responses to callers and the histories of runners:

* an accepted job is never unknown (410), never leaves a final state, and ends;
* a job whose submission was rejected each time never runs;
* no task runs twice at the same time, nor again after it was done, unless its end was lost with its
  runner, or the runner's lease expired, before any owner had acknowledged it
  (`standins.histories`);
* a job fails only if its tasks fail;
* no more VMs of a maintenance wave are down at the same time than it allows, none is down twice for
  one wave, and a wave that is shown as completed has included each of its VMs.

``python -m soak.nodes --seeds 1:6 --seconds 20`` runs seeds 1 to 5. The fault ``runners_recut``
occurs only if it is named, as in ``--only runners_recut --seconds 45 --max_lease_ms 6000``.
"""

from __future__ import annotations

import contextlib
import random
import secrets
import signal
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import attrs
from absl import app, flags

from standins.histories import find_excused_runs, find_repeated_runs
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
# Time within which all jobs must end after the faults: a lease of 4 s, the longest job of 12 s, and
# the jobs queued during an outage, on a host that is busy with other programs.
_SETTLE_S = 60.0
_NODE_COUNT = 3
_RUNNER_PROCESS_COUNT = 2
# Number of fault series that run concurrently.
_FAULT_SERIES_COUNT = 3
# Time after which all calls that runners carry out late have been carried out, in s.
_LATE_CALLS_S = 12.5
# Duration of a run from which on it includes long tasks.
_LONG_RUN_S = 8.0
# Faults of the paths from daemons to a runner.
_PATH_FAULTS = ("cut", "cut", "one_way", "lossy", "refuse")
# Duration of the tasks that run while runners restart and are cut off, in ms, and of the cut, in s.
_LONG_TASK_MS = 12_000
_RECUT_S = 8.0


@attrs.define
class _Job:
    """Job that was submitted.

    Parameters
    ----------
    tasks_fail : bool
        Whether its tasks end as failed.
    is_accepted : bool
        Whether a submission was accepted.
    may_be_accepted : bool
        Whether some submission may have been accepted without a response that says so.
    cancel_requested : bool
        Whether its cancellation was requested.
    final_state : str
        Final state that a query returned; empty until then.
    """

    id: str
    tasks_fail: bool
    is_accepted: bool = False
    may_be_accepted: bool = False
    cancel_requested: bool = False
    final_state: str = ""


@attrs.define
class Report:
    """Results of one seed."""

    seed: int
    job_count: int = 0
    accepted_count: int = 0
    faults: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)
    # Tasks that ran again because their ends were lost, or not acknowledged under the lease.
    lost_completions: list[str] = attrs.field(factory=list)
    logs: str = ""


class NodesSoak:
    """Soak run of one seed.

    Parameters
    ----------
    seed : int
        Determines faults, jobs and times; the timing of the processes remains random.
    duration_s : float
        Time during which faults are injected.
    only : tuple of str
        Names of the faults to inject; all if empty.
    log_path : str
        Folder for the logs and histories of a failed seed; empty to discard them.
    max_lease_ms : int, default=10_000
        Longest lease that a deadline gives on a runner.
    """

    def __init__(
        self,
        *,
        seed: int,
        duration_s: float,
        only: tuple[str, ...] = (),
        log_path: str = "",
        max_lease_ms: int = 10_000,
    ) -> None:
        self._only, self._log_path = only, log_path
        self._rng = random.Random(seed)
        # Faults have separate generators, so that they don't depend on the timing of the callers.
        self._fault_rngs = [
            random.Random(f"{seed}/{number}") for number in range(_FAULT_SERIES_COUNT)
        ]
        self._duration_s = duration_s
        self._nodes = Nodes(max_lease_ms=max_lease_ms)
        self._relays: dict[str, Relay] = {}
        # Processes that host runners, with the ports of these runners.
        self._runner_processes: list[tuple[Any, list[int]]] = []
        self._jobs: list[_Job] = []
        # Daemons that a fault currently affects; no other fault may choose them.
        self._faulted_nodes: set[str] = set()
        # Faults of paths by daemon and target port, for each active fault.
        self._broken_links: list[dict[str, dict[int, str]]] = []
        # Whether runners that have restarted are about to be cut off, or are.
        self._is_recutting = False
        # Time at which runners stopped delaying calls.
        self._late_calls_end_s = float("-inf")
        # VMs of each maintenance wave.
        self._waves: dict[int, list[str]] = {}
        self.report = Report(seed)

    async def run(self) -> Report:
        """Run the seed and return the report."""
        try:
            await self._start_processes()
            end_s = time.monotonic() + self._duration_s
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(self._submit_jobs, end_s)
                group.start_soon(self._poll_jobs, end_s)
                for rng in self._fault_rngs:
                    group.start_soon(self._inject_faults, end_s, rng)
            await self._clear_faults()
            await self._wait_for_jobs()
            await anyio.sleep(max(0.0, self._late_calls_end_s + _LATE_CALLS_S - time.monotonic()))
            await self._check_runs()
            await self._check_maintenance()
        except TimeoutError as error:
            # Some daemons did not become ready, at the start or after the faults.
            self._add_violation(f"not ready: {error}")
        except ConnectionError as error:
            self._add_violation(f"no history: {error}")
        finally:
            if self.report.violations:
                self.report.logs = self._nodes.read_logs()
                if self._log_path:
                    self._nodes.save_logs(Path(self._log_path) / f"seed-{self.report.seed}")
            self._nodes.close()
            for relay in self._relays.values():
                relay.close()
        self.report.job_count = len(self._jobs)
        self.report.accepted_count = sum(job.is_accepted for job in self._jobs)
        return self.report

    async def _start_processes(self) -> None:
        self._nodes.start_platform(runners=1)
        for _ in range(_RUNNER_PROCESS_COUNT):
            self._start_runner_process()
        await self._nodes.put_configuration(1, [_ROUTE])
        for number in range(_NODE_COUNT):
            self._start_node(f"n{number}")
        await self._nodes.wait_ready()

    def _start_node(self, name: str) -> None:
        if name not in self._relays:
            self._relays[name] = Relay(port=self._nodes.store_port)
        self._nodes.start_node(name, store_port=self._relays[name].port, faulty_links=True)

    def _start_runner_process(self) -> None:
        known_ports = set(self._nodes.runner_ports)
        handle = self._nodes.start_runners(2)
        ports = [port for port in self._nodes.runner_ports if port not in known_ports]
        self._runner_processes.append((handle, ports))

    def _add_violation(self, text: str) -> None:
        if len(self.report.violations) < 20:
            self.report.violations.append(text)

    def add_accepted_job(self, job_id: str) -> None:
        """Register an accepted job; used by tests of the checks."""
        self._jobs.append(_Job(job_id, tasks_fail=False, is_accepted=True))

    # Callers

    async def _submit_jobs(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await self._submit_job()
            await anyio.sleep(self._rng.uniform(0.05, 0.4))

    async def _submit_job(self) -> None:
        rng = self._rng
        job = _Job(secrets.token_hex(8), tasks_fail=rng.random() < 0.1)
        self._jobs.append(job)
        # The longest tasks outlast a lease; a short run has no time for them.
        longest_ms = 6_000 if self._duration_s >= _LONG_RUN_S else 1_500
        run_ms = rng.choice((50, 200, 600, 1_500, longest_ms))
        step = {"count": rng.randint(1, 4), "cpu": 500, "mem_mb": 100, "estimate_ms": run_ms}
        body = {
            "spec": f"run_ms={run_ms}" + (" fail" if job.tasks_fail else ""),
            "steps": [step, {**step, "after": [0]}][: rng.randint(1, 2)],
        }
        for _ in range(4):
            response = await self._request("POST", job.id, body)
            if response is not None and response.status == 200:
                job.is_accepted = True
                break
            if response is None or response.status not in (429, 503):
                job.may_be_accepted = True
            await anyio.sleep(0.3)
        if job.is_accepted and rng.random() < 0.1:
            # Set before the call, since the state may be read before the response arrives.
            job.cancel_requested = True
            response = await self._request("DELETE", job.id)
            if response is not None and response.status == 410:
                self._add_violation(
                    f"{job.id}: accepted, but its cancellation was answered with 410"
                )

    async def _poll_jobs(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            accepted_jobs = [job for job in self._jobs if job.is_accepted]
            if accepted_jobs:
                await self._check_job_state(self._rng.choice(accepted_jobs[-60:]))
            await anyio.sleep(0.05)

    async def _check_job_state(self, job: _Job) -> None:
        """Query an accepted job and check that its state is allowed and no final state changes."""
        response = await self._request("GET", job.id)
        if response is None or response.status == 503:
            return
        if response.status != 200:
            self._add_violation(
                f"{job.id}: accepted, but its query was answered with {response.status}"
            )
            return
        state = response.json()["state"]
        if job.final_state and state != job.final_state:
            self._add_violation(f"{job.id}: {state} after {job.final_state}")
        if state == "failed" and not job.tasks_fail:
            self._add_violation(f"{job.id}: failed although its tasks don't fail")
        if state == "cancelled" and not job.cancel_requested:
            self._add_violation(f"{job.id}: cancelled without a request")
        if state in ("completed", "failed", "cancelled"):
            job.final_state = state

    async def _request(self, method: str, name: str, body: Any = None) -> Any:
        node = self._rng.choice(sorted(self._nodes.nodes))
        return await self._nodes.request(node, method, name, body, timeout_ms=2_500)

    # Faults

    async def _inject_faults(self, end_s: float, rng: random.Random) -> None:
        faults: dict[str, Callable[[random.Random], Awaitable[None]]] = {
            "node_kill": self._kill_node,
            "node_stop": self._stop_node,
            "node_pause": self._pause_node,
            "runners_kill": self._kill_runner_process,
            "runners_pause": self._pause_runner_process,
            "store_outage": lambda rng: self._inject_store_fault(rng, outage=True),
            "store_silent": lambda rng: self._inject_store_fault(rng, silent=True),
            "store_slow": lambda rng: self._inject_store_fault(rng, delay_ms=300.0),
            "store_lost": lambda rng: self._inject_store_fault(rng, lose_answers=5),
            "path_silent": self._silence_path,
            "wave": self._start_wave,
            "runner_restart": self._restart_runner,
            "runner_reborn_behind_cut": self._restart_runner_behind_cut,
            "runners_cut": self._cut_runners,
            "late_calls": self._delay_calls,
            "owner_key_removed": self._remove_owner_key,
            "owner_freeze": self._freeze_owner,
            "owner_split": self._split_from_owner,
        }
        names = sorted(self._only or faults)
        # Not among the others, since seeds would choose other faults then.
        faults["runners_recut"] = self._recut_runners
        while time.monotonic() < end_s:
            await anyio.sleep(rng.uniform(0.2, 1.5))
            name = rng.choice(names)
            self.report.faults[name] += 1
            await faults[name](rng)

    def _choose_node(self, rng: random.Random) -> str | None:
        """Return a random daemon without a fault, or None if fewer than two are left."""
        healthy_nodes = sorted(set(self._nodes.nodes) - self._faulted_nodes)
        return rng.choice(healthy_nodes) if len(healthy_nodes) > 1 else None

    async def _restart_node(
        self, rng: random.Random, signal_number: signal.Signals, downtime_s: float
    ) -> None:
        name = self._choose_node(rng)
        if name is None:
            return
        self._faulted_nodes.add(name)
        node = self._nodes.nodes[name]
        node.signal(signal_number)
        await anyio.to_thread.run_sync(lambda: node.handle.wait(timeout=20))
        await anyio.sleep(downtime_s)
        self._start_node(name)
        self._faulted_nodes.discard(name)

    async def _kill_node(self, rng: random.Random) -> None:
        await self._restart_node(rng, signal.SIGKILL, rng.uniform(0.0, 2.0))

    async def _stop_node(self, rng: random.Random) -> None:
        await self._restart_node(rng, signal.SIGTERM, 0.0)

    async def _pause_node(self, rng: random.Random) -> None:
        name = self._choose_node(rng)
        if name is None:
            return
        self._faulted_nodes.add(name)
        self._nodes.nodes[name].signal(signal.SIGSTOP)
        await anyio.sleep(rng.uniform(0.5, 4.0))
        self._nodes.nodes[name].signal(signal.SIGCONT)
        self._faulted_nodes.discard(name)

    async def _kill_runner_process(self, rng: random.Random) -> None:
        if len(self._runner_processes) < 2:
            return
        handle, ports = self._runner_processes.pop(rng.randrange(len(self._runner_processes)))
        await self._nodes.kill_runners(handle, ports)
        await anyio.sleep(rng.uniform(0.0, 1.0))
        self._start_runner_process()

    async def _pause_runner_process(self, rng: random.Random) -> None:
        handle, _ = rng.choice(self._runner_processes)
        if handle.poll() is None:
            handle.send_signal(signal.SIGSTOP)
            await anyio.sleep(rng.uniform(0.3, 2.0))
            handle.send_signal(signal.SIGCONT)

    async def _inject_store_fault(self, rng: random.Random, **faults: Any) -> None:
        await self._nodes.set_store_faults(**faults)
        await anyio.sleep(rng.uniform(0.5, 4.0))
        await self._nodes.set_store_faults()

    async def _silence_path(self, rng: random.Random) -> None:
        name = rng.choice(sorted(self._relays))
        self._relays[name].silence()
        await anyio.sleep(rng.uniform(0.0, 1.0))

    async def _start_wave(self, rng: random.Random) -> None:
        vms = self._nodes.list_vms()
        number = len(self._waves) + 1
        self._waves[number] = rng.sample(vms, min(len(vms), 3))
        # Retries while the store is unavailable.
        while not await self._nodes.put_wave(number, self._waves[number]):
            await anyio.sleep(0.3)

    # Faults of runners, of paths to them, and of the owner

    @contextlib.asynccontextmanager
    async def _break_links(self, links: dict[str, dict[int, str]]) -> AsyncIterator[None]:
        """Let paths from daemons to ports fail, beside those that other faults break."""
        self._broken_links.append(links)
        self._apply_links()
        try:
            yield
        finally:
            self._broken_links.remove(links)
            self._apply_links()

    def _apply_links(self) -> None:
        for name in self._nodes.nodes:
            faults: dict[int, str] = {}
            for links in self._broken_links:
                faults |= links.get(name, {})
            self._nodes.set_links(name, faults)

    def _choose_runners(self, rng: random.Random, max_count: int) -> list[int]:
        """Return the ports of random runners."""
        ports = self._nodes.runner_ports
        return rng.sample(ports, rng.randint(1, min(max_count, len(ports))))

    def _choose_senders(self, rng: random.Random) -> list[str]:
        """Return all daemons, or some of them."""
        names = sorted(self._nodes.nodes)
        return names if rng.random() < 0.4 else rng.sample(names, rng.randint(1, len(names) - 1))

    async def _restart_runner(self, rng: random.Random, hidden_s: float = 0.0) -> None:
        port = rng.choice(self._nodes.runner_ports)
        keep_id, down_ms = rng.random() < 0.7, rng.uniform(0.0, 1_500.0)
        await self._nodes.restart_runner(
            port, keep_id=keep_id, down_ms=down_ms, hidden_ms=hidden_s * 1000
        )

    async def _restart_runner_behind_cut(self, rng: random.Random) -> None:
        """Crash a runner that some daemons, and at times the store, can't be reached from."""
        (port,) = self._choose_runners(rng, 1)
        before_s, after_s = rng.uniform(0.0, 2.0), rng.uniform(0.2, 5.0)
        keep_id, down_ms = rng.random() < 0.7, rng.uniform(0.0, 1_000.0)
        links = {name: {port: rng.choice(_PATH_FAULTS)} for name in self._choose_senders(rng)}
        async with self._break_links(links):
            await anyio.sleep(before_s)
            await self._nodes.restart_runner(
                port,
                keep_id=keep_id,
                down_ms=down_ms,
                hidden_ms=after_s * 1000 * rng.choice((0.0, 1.0, 1.3)),
            )
            await anyio.sleep(after_s)

    async def _recut_runners(self, rng: random.Random) -> None:
        """Restart runners under their ids, replace the owner and cut the runners off.

        Report requests from before the restart are carried out until the end of the cut.
        """
        if self._is_recutting:
            # At most one at a time, since more than half of the runners could be cut off otherwise.
            self.report.faults["runners_recut"] -= 1
            return
        self._is_recutting = True
        try:
            await self._recut_chosen_runners(rng, self._choose_runners(rng, 2))
        finally:
            self._is_recutting = False

    async def _recut_chosen_runners(self, rng: random.Random, ports: list[int]) -> None:
        await self._submit_long_job(rng)
        await anyio.sleep(rng.uniform(0.5, 1.5))
        for port in ports:
            await self._nodes.set_runner_faults(
                port, late_share=1.0, late_range_ms=(500.0, 6_000.0), late_calls=("hold",)
            )
        await anyio.sleep(rng.uniform(0.3, 0.8))
        for port in ports:
            await self._nodes.set_runner_faults(port)
            await self._nodes.restart_runner(port, keep_id=True, down_ms=rng.uniform(0.0, 600.0))
        self._late_calls_end_s = time.monotonic()
        await anyio.sleep(rng.uniform(1.0, 2.5))
        async with self._affect_owner() as owner:
            if not owner:
                return
            cut = dict.fromkeys(ports, "cut")
            async with self._break_links(dict.fromkeys(self._nodes.nodes, cut)):
                node = self._nodes.nodes[owner]
                node.signal(rng.choice((signal.SIGKILL, signal.SIGKILL, signal.SIGTERM)))
                await anyio.to_thread.run_sync(lambda: node.handle.wait(timeout=20))
                await anyio.sleep(rng.uniform(0.0, 3.0))
                self._start_node(owner)
                await anyio.sleep(_RECUT_S)

    async def _submit_long_job(self, rng: random.Random) -> None:
        """Submit a job that takes much of the capacity of the runners, if it is accepted."""
        job = _Job(secrets.token_hex(8), tasks_fail=False, may_be_accepted=True)
        self._jobs.append(job)
        step = {"count": 12, "cpu": 2_000, "mem_mb": 100, "estimate_ms": _LONG_TASK_MS}
        body = {"spec": f"run_ms={_LONG_TASK_MS}", "steps": [step]}
        response = await self._nodes.request(
            rng.choice(sorted(self._nodes.nodes)), "POST", job.id, body, timeout_ms=2_500
        )
        job.is_accepted = response is not None and response.status == 200

    async def _cut_runners(self, rng: random.Random) -> None:
        ports = self._choose_runners(rng, 4)
        links = {
            name: {port: rng.choice(_PATH_FAULTS) for port in ports}
            for name in self._choose_senders(rng)
        }
        async with self._break_links(links):
            await anyio.sleep(rng.uniform(0.5, 7.0))

    async def _delay_calls(self, rng: random.Random) -> None:
        ports = self._choose_runners(rng, 4)
        calls = rng.choice(
            (("run-start", "run-stop"), ("hold",), ("run-start", "run-stop", "hold"))
        )
        share = rng.choice((0.1, 0.5))
        for port in ports:
            await self._nodes.set_runner_faults(port, late_share=share, late_calls=calls)
        await anyio.sleep(rng.uniform(0.5, 4.0))
        for port in set(ports) & set(self._nodes.runner_ports):
            await self._nodes.set_runner_faults(port)
        self._late_calls_end_s = time.monotonic()

    async def _remove_owner_key(self, _: random.Random) -> None:
        await self._nodes.remove_owner_key()

    async def _freeze_owner(self, rng: random.Random) -> None:
        async with self._affect_owner() as owner:
            if owner:
                await self._freeze_at_renewal(owner, rng.uniform(1.0, 5.0))

    @contextlib.asynccontextmanager
    async def _affect_owner(self) -> AsyncIterator[str]:
        """Reserve the owner for a fault; yields an empty name if it isn't free."""
        owner = await self._nodes.read_owner()
        if not owner or owner in self._faulted_nodes:
            yield ""
            return
        self._faulted_nodes.add(owner)
        try:
            yield owner
        finally:
            self._faulted_nodes.discard(owner)

    async def _freeze_at_renewal(self, name: str, duration_s: float) -> None:
        """Freeze the owner while the response to the renewal of its lease is on its way."""
        if await self._nodes.wait_renewal(timeout_ms=1_000):
            node = self._nodes.nodes[name]
            node.signal(signal.SIGSTOP)
            await anyio.sleep(duration_s)
            node.signal(signal.SIGCONT)

    async def _split_from_owner(self, rng: random.Random) -> None:
        """Let the owner lose the store while it alone reaches some runners.

        It reaches none or few of the others, so it doesn't learn from them that there is a later
        owner.
        """
        ports = self._nodes.runner_ports
        kept = set(self._choose_runners(rng, len(ports)))
        shared = {port for port in ports if rng.random() < rng.choice((0.0, 0.0, 0.3))}
        how = rng.choice(("removed", "cut", "refuse", "freeze"))
        lead_s, lag_s = rng.uniform(0.0, 1.5), rng.uniform(3.0, 9.0)
        async with self._affect_owner() as owner:
            if not owner:
                return
            others = [name for name in self._nodes.nodes if name != owner]
            links = {name: dict.fromkeys(kept - shared, "cut") for name in others}
            links[owner] = dict.fromkeys(set(ports) - kept - shared, "cut")
            if rng.random() < 0.5:
                links[owner] |= {self._nodes.nodes[name].metrics - 1: "cut" for name in others}
            async with self._break_links(links):
                await anyio.sleep(lead_s)
                if how == "freeze":
                    await self._freeze_at_renewal(owner, rng.uniform(1.0, 4.0))
                    await anyio.sleep(lag_s)
                    return
                store = {self._relays[owner].port: how} if how != "removed" else {}
                async with self._break_links({owner: store}):
                    if how == "removed" or rng.random() < 0.5:
                        await self._nodes.remove_owner_key()
                    await anyio.sleep(lag_s)

    # Final checks

    async def _clear_faults(self) -> None:
        await self._nodes.set_store_faults()
        for port in self._nodes.runner_ports:
            await self._nodes.set_runner_faults(port)
        for name, node in list(self._nodes.nodes.items()):
            node.signal(signal.SIGCONT)
            if node.handle.poll() is not None:
                self._start_node(name)
        for handle, _ in self._runner_processes:
            handle.send_signal(signal.SIGCONT)
        await self._nodes.wait_ready()

    async def _wait_for_jobs(self) -> None:
        end_s = time.monotonic() + _SETTLE_S
        open_jobs = [job for job in self._jobs if job.is_accepted and not job.final_state]
        while open_jobs and time.monotonic() < end_s:
            for job in open_jobs:
                await self._check_job_state(job)
            open_jobs = [job for job in open_jobs if not job.final_state]
        for job in open_jobs:
            self._add_violation(
                f"{job.id}: accepted, but not ended {_SETTLE_S:.0f} s after the faults"
            )

    async def _check_maintenance(self) -> None:
        maintenance_rows = sorted(
            await self._nodes.read_maintenance_runs(), key=lambda row: row["begin_ms"]
        )
        for number, vms in self._waves.items():
            rows = [row for row in maintenance_rows if row["wave"] == number]
            for earlier, later in zip(rows, rows[1:], strict=False):
                if later["begin_ms"] < earlier.get("end_ms", float("-inf")):
                    self._add_violation(f"wave {number}: {earlier} and {later} overlap")
            maintained_vms = [row["machine"] for row in rows]
            if len(set(maintained_vms)) < len(maintained_vms):
                self._add_violation(f"wave {number}: repeated for one VM: {maintained_vms}")
            completed = await self._nodes.read_wave_status(number) == "completed"
            if completed and set(maintained_vms) != set(vms):
                self._add_violation(
                    f"wave {number}: completed, but included only {maintained_vms} of {vms}"
                )

    async def _check_runs(self) -> None:
        records = await self._nodes.read_history()
        jobs = {job.id: job for job in self._jobs}
        for task in sorted({record.task for record in records}):
            job = jobs.get(task.split(".")[0])
            if job is None or not (job.is_accepted or job.may_be_accepted):
                self._add_violation(f"{task}: ran, but its job was never accepted")
        for repeated in find_repeated_runs(records):
            self._add_violation(str(repeated))
        self.report.lost_completions += map(str, find_excused_runs(records))


def run_seed(
    seed: int,
    seconds: float,
    only: tuple[str, ...] = (),
    log_path: str = "",
    max_lease_ms: int = 10_000,
) -> Report:
    """Run one seed and return its report; see `NodesSoak`."""
    soak = NodesSoak(
        seed=seed,
        duration_s=seconds,
        only=only,
        log_path=log_path,
        max_lease_ms=max_lease_ms,
    )
    return anyio.run(soak.run, backend_options={"use_uvloop": True})


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    first, end = (int(part) for part in options.seeds.split(":"))
    failed_seed_count = 0
    for seed in range(first, end):
        report = run_seed(
            seed, options.seconds, tuple(options.only), options.log_path, options.max_lease_ms
        )
        failed_seed_count += bool(report.violations)
        faults = " ".join(f"{name}={count}" for name, count in sorted(report.faults.items()))
        verdict = "FAILED" if report.violations else "ok"
        print(
            f"seed {seed}: {verdict}, {report.accepted_count} of {report.job_count} jobs, {faults}",
            flush=True,
        )
        for lost in report.lost_completions:
            print(f"  allowed: {lost}")
        for violation in report.violations:
            print(f"  {violation}")
        if report.violations and options.logs:
            print(report.logs)
    return 1 if failed_seed_count else 0


if __name__ == "__main__":
    flags.DEFINE_string("seeds", "1:6", "First seed and the one after the last.")
    flags.DEFINE_float("seconds", 20.0, "Time with faults for each seed, in s.")
    flags.DEFINE_bool("logs", False, "Print the last log lines of a failed seed.")
    flags.DEFINE_list("only", [], "Names of the faults to inject; all if empty.")
    flags.DEFINE_integer("max_lease_ms", 10_000, "Longest lease on a runner, in ms.")
    flags.DEFINE_string("log_path", "", "Folder for the logs and histories of failed seeds.")
    sys.exit(app.run(_run))
