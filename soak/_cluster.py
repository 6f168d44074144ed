"""Deployment on a virtual clock: daemons, workers, store and operators."""

from __future__ import annotations

import random
from collections import Counter, deque

import anyio
import attrs
from returns.result import Success

from coltsfootpier.configuration import Revision
from coltsfootpier.daemon import Daemon, Interfaces
from coltsfootpier.operators import ApplyRequest
from coltsfootpier.platform import Vm
from coltsfootpier.settings import Settings, parse_settings
from soak._fakes import (
    FakePeerClient,
    FakePlatformClient,
    FakeStore,
    FakeWorker,
    FakeWorkerClient,
)
from soak._invariants import Checker
from soak._loop import Host, HostClock, VirtualLoop
from soak._network import Network

_WORKERS_PER_RACK = 8
_ZONES = ("z1", "z2", "z3")
# Cores, memory in MB and accelerators.
_WORKER_SIZE = (16.0, 60_000, 1)
# Clock rates differ by at most 9 %, which is below the 10 % that the daemons allow for.
_CLOCK_RATES = (0.957, 1.043)
_MAX_EVENT_COUNT = 4_000

_SETTINGS = """
[daemon]
name = {name}
availability_zone = {zone}
[listen]
callers = 10.0.1.{index}:1
peers = 10.0.1.{index}:2
operators = 10.0.1.{index}:3
[platform]
address = 10.0.0.1:1
[peers]
seeds = {seeds}
[periods]
hold_over_ms = {hold_over_ms}
"""


@attrs.define(eq=False)
class DaemonProcess:
    """Process of one daemon on its entry VM.

    Parameters
    ----------
    index : int
        Number of the VM, from which its name and address are derived.
    host : Host
        Host of the process, which has its own clock.
    daemon : Daemon
        Daemon under test.
    platform : FakePlatformClient
        Client with which the daemon calls the store.
    started_s : float
        True time in s at which the process started.
    """

    index: int
    host: Host
    daemon: Daemon
    platform: FakePlatformClient
    started_s: float


@attrs.define
class DeclarationDraft:
    """Declaration that an operator edits.

    Parameters
    ----------
    jobs : dict of str to str
        Body of each job's section by the name of the job.
    runners : int
        Number of runners of the service.
    cores : int
        Cores of each runner.
    """

    jobs: dict[str, str] = attrs.field(factory=dict)
    runners: int = 24
    cores: int = 4

    def render(self) -> str:
        """Return the declaration as text."""
        return "\n".join(
            [
                "[team a]\ncores = 1000\nmemory_mb = 4000000\naccelerators = 100",
                f"[service web]\nteam = a\nrunners = {self.runners}\ncores = {self.cores}\n"
                "memory_mb = 4000\nlatency_ms = 100",
                *(f"[job {name}]\n{body}" for name, body in self.jobs.items()),
            ]
        )


class Cluster:
    """Deployment of one soak run.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop that provides the virtual time.
    seed : int
        Seed of all random choices.
    daemons, workers : int
        Number of daemons and of workers.

    Attributes
    ----------
    events : deque of str
        Latest events, which are reported with a violation.
    processes : dict of int to DaemonProcess
        Latest process on each entry VM that isn't gone, by number of the VM.
    all_processes : list of DaemonProcess
        All processes that were started, including those that were killed or replaced.
    pending_cancellations : int
        Number of further changes in which operators remove jobs instead of adding some.
    """

    def __init__(self, *, loop: VirtualLoop, seed: int, daemons: int, workers: int) -> None:
        self.loop = loop
        self.rng = random.Random(f"{seed}/cluster")
        self.events: deque[str] = deque(maxlen=_MAX_EVENT_COUNT)
        self.network = Network(loop=loop, rng=random.Random(f"{seed}/network"))
        self.network.on_error = lambda where, error: self.checker.record_violation(
            "assertion", f"{where}: {error!r}"
        )
        self.checker = Checker(self)
        self.store = FakeStore(
            loop=loop, host=self._build_host("store"), vms_lag_s=self.rng.uniform(0.5, 3.0)
        )
        self.store.on_put = self.checker.on_put
        self.processes: dict[int, DaemonProcess] = {}
        self.all_processes: list[DaemonProcess] = []
        self.workers: dict[str, FakeWorker] = {}
        self.worker_vms: dict[str, Vm] = {}
        self.hold_over_ms = self.rng.choice((15_000, 30_000))
        self.operator_rng = random.Random(f"{seed}/operators")
        self.pending_cancellations = 0
        # The numbers of runners and the rate of changes are defined for 24 workers.
        self._load_scale = workers / 24
        self._operator_host = Host("operator")
        self._incarnations: Counter[str] = Counter()
        self._change_count = 0
        self._initial_daemon_count = daemons
        for index in range(1, daemons + 1):
            self.start_daemon(index)
        for index in range(workers):
            name = f"w{index}"
            rack = index // _WORKERS_PER_RACK
            vm = Vm(
                name=name,
                state="live",
                availability_zone=_ZONES[rack % 3],
                rack=f"r{rack}",
                address=f"{name}:1",
            )
            self.start_worker(vm)

    def trace(self, event: str, **fields: object) -> None:
        """Record an event for the report of a violation."""
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        self.events.append(f"{self.loop.true_s:10.3f} {event} {details}")

    # Daemons

    def start_daemon(self, index: int) -> None:
        """Start a daemon on an entry VM; an earlier daemon on it must have been killed."""
        name = f"d{index}"
        host = self._build_host(name)
        clock = HostClock(loop=self.loop, host=host)
        platform = FakePlatformClient(
            store=self.store, network=self.network, loop=self.loop, host=host
        )
        interfaces = Interfaces(
            platform=platform,
            connect_peer=lambda address: FakePeerClient(
                network=self.network, host=host, find_process=lambda: self._find_process(address)
            ),
            connect_worker=lambda address: FakeWorkerClient(
                network=self.network,
                host=host,
                find_worker=lambda: self.workers.get(address.partition(":")[0]),
            ),
            incarnation=self._build_incarnation(name),
        )
        daemon = Daemon(settings=self._build_settings(index), clock=clock, interfaces=interfaces)
        process = DaemonProcess(index, host, daemon, platform, self.loop.true_s)
        self.processes[index] = process
        self.all_processes.append(process)
        self.store.update_vm(Vm(name=name, state="live", role="entry"))
        self.loop.start(host, self._run_daemon(process))

    async def _run_daemon(self, process: DaemonProcess) -> None:
        try:
            await process.daemon.run_scheduling()
        except BaseExceptionGroup as error:
            self.checker.record_violation(
                "assertion", f"{process.host.name}: {_describe_first_error(error)}"
            )
        except Exception as error:
            self.checker.record_violation("assertion", f"{process.host.name}: {error!r}")

    def kill_daemon(self, index: int) -> None:
        """Kill a daemon without any cleanup."""
        self.processes[index].host.dead = True

    def stop_daemon(self, index: int) -> None:
        """Stop a daemon once it has handed over its partitions, after 20 s at the latest."""
        process = self.processes[index]
        hand_over_task = self.loop.start(process.host, process.daemon.control.hand_over())
        self.loop.call_after(20.0, hand_over_task.cancel)
        hand_over_task.add_done_callback(lambda _: setattr(process.host, "dead", True))

    def mark_vm_gone(self, process: DaemonProcess) -> None:
        """Mark the VM of a daemon as gone in the list of VMs."""
        del self.processes[process.index]
        self.store.update_vm(Vm(name=process.host.name, state="gone", role="entry"))

    def start_new_daemon(self) -> None:
        """Start a daemon on a new entry VM."""
        self.start_daemon(max(process.index for process in self.all_processes) + 1)

    def can_pull_revision(self, process: DaemonProcess) -> bool:
        """Return whether a daemon should be able to pull a revision from a seed address.

        Requires that links work, that no daemon is frozen, and that another live daemon at a seed
        address has a revision.
        """
        if self.network.link_quality.loss or any(
            count > 0 for count in self.network.cut_counts.values()
        ):
            return False
        live_processes = self.list_live_daemons()
        if any(item.host.frozen for item in live_processes):
            return False
        seed_processes = [
            item
            for item in live_processes
            if item is not process and item.index <= self._initial_daemon_count
        ]
        return any(item.daemon.control.revisions.revision.revision for item in seed_processes)

    def list_live_daemons(self) -> list[DaemonProcess]:
        """Return the processes of the daemons that are neither killed nor stopped."""
        return [process for process in self.processes.values() if not process.host.dead]

    def _find_process(self, address: str) -> DaemonProcess | None:
        return self.processes.get(int(address.partition(":")[0].rpartition(".")[2]))

    def _build_settings(self, index: int) -> Settings:
        text = _SETTINGS.format(
            name=f"d{index}",
            index=index,
            zone=_ZONES[index % 3],
            hold_over_ms=self.hold_over_ms,
            seeds=", ".join(
                f"10.0.1.{seed}:2" for seed in range(1, self._initial_daemon_count + 1)
            ),
        )
        return parse_settings("soak", text).unwrap()

    # Workers

    def start_worker(self, vm: Vm) -> None:
        """Start a worker on a VM; an earlier worker on it must have been killed."""
        host = self._build_host(vm.name)
        self.workers[vm.name] = FakeWorker(
            loop=self.loop,
            host=host,
            size=_WORKER_SIZE,
            incarnation=self._build_incarnation(vm.name),
            on_event=self.checker.on_worker_event,
        )
        self.worker_vms[vm.name] = vm
        self.store.update_vm(vm)

    def kill_worker(self, name: str) -> None:
        """Kill a worker and all tasks that run on it."""
        self.workers[name].process_host.dead = True

    def replace_worker(self, name: str) -> None:
        """Mark the VM of a dead worker as gone and start a worker on a new VM in the same rack."""
        vm = self.worker_vms.pop(name)
        self.store.update_vm(attrs.evolve(vm, state="gone"))
        new_name = f"w{len(self.workers)}"
        self.start_worker(attrs.evolve(vm, name=new_name, state="live", address=f"{new_name}:1"))

    def is_listed_as_live(self, name: str) -> bool:
        """Return whether the list of VMs shows a worker as live."""
        vm = self.store.vms.get(name)
        return vm is not None and vm.state == "live"

    def list_live_workers(self) -> list[FakeWorker]:
        """Return the workers that were not killed."""
        return [worker for worker in self.workers.values() if not worker.process_host.dead]

    # Operators

    async def run_operator(self, until_s: float) -> None:
        """Submit changes of the declaration until a true time, as one of several operators."""
        rng = self.operator_rng
        while self.loop.true_s < until_s:
            await self._submit_change()
            await anyio.sleep(rng.uniform(2.0, 15.0) / self._load_scale)

    async def _submit_change(self) -> None:
        rng = self.operator_rng
        processes = self.list_live_daemons()
        if not processes:
            return
        process = rng.choice(processes)
        pulled = await self._call_daemon(process, lambda: process.daemon.on_pull_revision())
        if not isinstance(pulled, Success):
            return
        base: Revision = pulled.unwrap()
        self._change_count += 1
        token = f"t{self._change_count}"
        draft = _parse_draft(base.text)
        if not base.text:
            draft.runners = round(24 * self._load_scale)
        self._edit_draft(draft)
        request = ApplyRequest(text=draft.render(), base=base.revision, token=token, source="soak")
        self.trace(
            "operator submits change", token=token, base=base.revision, daemon=process.host.name
        )
        reply = await self._call_daemon(
            process, lambda: process.daemon.on_apply(request), timeout_ms=20_000.0
        )
        if isinstance(reply, Success):
            result = reply.unwrap()
            self.trace("operator receives outcome", token=token, outcome=result.outcome)
            self.checker.on_apply(token, result.outcome, result.revision)

    async def _call_daemon(self, process: DaemonProcess, handler, timeout_ms: float = 2_000.0):
        return await self.network.call(
            self._operator_host, lambda: process.host, handler, timeout_ms=timeout_ms
        )

    def _edit_draft(self, draft: DeclarationDraft) -> None:
        rng = self.operator_rng
        if self.pending_cancellations > 0:
            self.pending_cancellations -= 1
            for name in list(draft.jobs)[-rng.randint(3, 12) :]:
                _remove_job(draft, name)
            return
        if rng.random() < 0.15:
            draft.runners = round(rng.randint(16, 28) * self._load_scale)
        if rng.random() < 0.05:
            draft.cores = rng.choice((3, 4, 5))
        for _ in range(rng.randint(1, 2)):
            # A job with 40 cores per task fits on no worker, so it must be refused.
            cores = rng.choice((1, 1, 2, 4, 8, 40))
            lines = [
                "team = a",
                f"tasks = {rng.randint(1, 6)}",
                f"cores = {cores}",
                f"memory_mb = {rng.choice((500, 4_000, 20_000))}",
                f"run_time_s = {rng.choice((2, 10, 30, 60))}",
                f"checkpointing = {rng.choice(('yes', 'no'))}",
                f"priority = {rng.choice(('low', 'normal', 'urgent'))}",
            ]
            if rng.random() < 0.1:
                lines.append("accelerators = 1")
            if draft.jobs and rng.random() < 0.2:
                lines.append(f"depends_on = {rng.choice(list(draft.jobs))}")
            draft.jobs[f"j{self._change_count}-{len(draft.jobs)}"] = "\n".join(lines)

    # Helpers

    def _build_host(self, name: str) -> Host:
        rate = self.rng.choice((self.rng.uniform(*_CLOCK_RATES), *_CLOCK_RATES))
        return Host(name, rate=rate, origin_s=self.rng.uniform(0.0, 1e5))

    def _build_incarnation(self, name: str) -> str:
        self._incarnations[name] += 1
        return f"i{self._incarnations[name]}"


def _describe_first_error(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return repr(error)


def _parse_draft(text: str) -> DeclarationDraft:
    draft = DeclarationDraft()
    for section in text.split("\n["):
        head, _, body = section.partition("]\n")
        kind, _, name = head.strip("[").partition(" ")
        if kind == "job":
            draft.jobs[name] = body
        elif kind == "service":
            values = dict(line.split(" = ") for line in body.split("\n"))
            draft.runners, draft.cores = int(values["runners"]), int(values["cores"])
    return draft


def _remove_job(draft: DeclarationDraft, name: str) -> None:
    """Remove a job and all jobs that depend on it."""
    if draft.jobs.pop(name, None) is None:
        return
    for other, body in list(draft.jobs.items()):
        if f"depends_on = {name}" in body.split("\n"):
            _remove_job(draft, other)
