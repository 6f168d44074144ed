"""Owners of a cell, their runners and injected faults on a virtual clock.

The owners are the real ones. An earlier owner may live on beside its successor, and reach runners
that the successor doesn't reach.
"""

from __future__ import annotations

import contextlib
import random
import types
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from unittest import mock

import anyio
import attrs
import eliot
from returns.result import Success

from coltsfootpier.cells import CellSettings, get_bounds
from coltsfootpier.jobs import JobSpec, Queue, StepSpec
from coltsfootpier.journal import OwnerInfo, decode_head
from coltsfootpier.node import Configuration, Route, _timing
from coltsfootpier.node import _owner as owner_module
from coltsfootpier.node._control import ControlState
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._owner import Owner, limit_cell_settings
from coltsfootpier.node.keys import CONTROL_PREFIX, HEAD_KEY, OWNER_KEY
from coltsfootpier.node.tests.builders import build_settings
from coltsfootpier.platform import Write
from coltsfootpier.transport import encode
from soak._loop import Host, HostClock, VirtualLoop, discard_loop, get_current_host_name
from soak._run_evacuations import ZONES, EvacuationInjector
from soak._run_model import (
    EARLIER_MARK,
    Link,
    RunnerNetwork,
    SimulatedRunner,
    SimulatedStore,
    SimulatedStoreClient,
    SpeculativeRules,
    TaskHistory,
    registry_key,
)
from soak._run_series import RecutInjector

_UNIX_OFFSET_S = 1_700_000_000.0
# Bound of a runner's clock error by the platform, and the usual one of an owner's clock.
_RUNNER_SLOWNESS = 0.02
_OWNER_CLOCK_ERROR = 0.001
_HEARTBEAT_S = 1.5
_ENTRY_EXPIRY_S = 3 * _HEARTBEAT_S
_QUEUE = Queue(name="batch", service="web", max_attempts=3, stretch=2.0, objective_ms=1_000_000.0)
# Fields of log lines that are part of the history.
_LOGGED_FIELDS = ("run", "runner", "runs", "reason", "outcome", "cause", "deadline_ms", "proof")
# Kinds of injected series of faults.
RANDOM, RECUT, MIXED = "random", "recut", "mixed"
COPIES, EVACUATION, SCHEDULED = "copies", "evacuation", "scheduled"
SERIES = (RANDOM, RECUT, MIXED, COPIES, EVACUATION, SCHEDULED)
# Runs of a task of a speculative step that may exist at once.
_MAX_RUNS = 2
# Shares of the runs of speculative tasks that are slow and that fail, and duration of a slow one
# relative to the others.
_SLOW_SHARE, _FAILED_SHARE, _SLOW_FACTOR = 0.25, 0.15, 7.0
# Usual durations of speculative tasks.
_SPECULATIVE_MS = (300.0, 800.0, 2_000.0)
_CONFIGURATION = Configuration(
    version=1, routes=(Route(host="a.example", prefix="/p/", timeout_ms=3_000.0, queue=_QUEUE),)
)


@attrs.define(eq=False)
class SimulatedOwner:
    """One ownership of the cell."""

    host: Host
    owner: Owner
    store: SimulatedStoreClient
    clock: HostClock
    lease: int
    control: ControlState | None = None
    is_ended: bool = False


class RunSimulation:
    """Cell with simulated runners, whose owners follow one another.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop.
    seed : int
        Determines the whole run.
    runner_count : int
        Number of runners.
    claims_automatically : bool, default=True
        Whether a successor claims the cell as soon as it has no owner.
    runner_rate : float, optional
        Rate of the runners' clocks; chosen by seed if not given.
    cell_settings : CellSettings, optional
        Settings of all owners.
    lists_vms : bool, default=True
        Whether there are listings of the worker VMs.
    has_zones : bool, default=False
        Whether the runners are in several zones and the owners watch the requests of operators. The
        other runs do without, so that their seeds give the same events as before.

    Attributes
    ----------
    owners : list of SimulatedOwner
        All owners so far; the last one is the latest.
    """

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        seed: int,
        runner_count: int,
        claims_automatically: bool = True,
        runner_rate: float | None = None,
        cell_settings: CellSettings | None = None,
        lists_vms: bool = True,
        has_zones: bool = False,
    ) -> None:
        self.loop = loop
        self._cell_settings = cell_settings or CellSettings()
        self._lists_vms = lists_vms
        self._has_zones = has_zones
        self.rng = random.Random(f"{seed}/model")
        clock_rng = random.Random(f"{seed}/clocks")
        self._copy_rng = random.Random(f"{seed}/copies")
        self.history = TaskHistory(loop)
        self.store = SimulatedStore(loop)
        self.owners: list[SimulatedOwner] = []
        self._durations_ms: dict[str, float] = {}
        self._claims_automatically = claims_automatically
        # Addresses of the runners that the next successor doesn't reach, and for how long.
        self.cut_from_successor: tuple[tuple[str, ...], float] = ((), 0.0)
        # Until which true time no later owner reaches an address.
        self._cut_until_s: dict[str, float] = {}
        self.runners = [
            SimulatedRunner(
                loop=loop,
                rng=self.rng,
                clock_rng=clock_rng,
                history=self.history,
                address=f"127.0.0.1:{number}",
                zone=ZONES[number % len(ZONES)] if has_zones else ZONES[0],
                rate=runner_rate or 1.0 - self.rng.choice((0.0, 0.5, 1.0)) * _RUNNER_SLOWNESS,
                get_duration_ms=self._get_duration_ms,
                get_outcome=self._get_outcome,
            )
            for number in range(1, runner_count + 1)
        ]
        self.network = RunnerNetwork(loop=loop, rng=self.rng, runners=self.runners)

    def _get_duration_ms(self, task: str) -> float:
        duration_ms = self._durations_ms[task.partition(".")[0]]
        if self.history.is_speculative(task) and self._copy_rng.random() < _SLOW_SHARE:
            return _SLOW_FACTOR * duration_ms
        return duration_ms

    def _get_outcome(self, task: str) -> str:
        is_failing = self.history.is_speculative(task) and self._copy_rng.random() < _FAILED_SHARE
        return "failed" if is_failing else "done"

    async def start(self) -> None:
        """Start the registry and the first owner."""
        for runner in self.runners:
            self.loop.start(None, self._report_to_registry(runner))
        self.claim()
        if self._claims_automatically:
            self.loop.start(None, self._claim_when_unowned())

    @property
    def current(self) -> SimulatedOwner:
        """Latest owner."""
        return self.owners[-1]

    async def _report_to_registry(self, runner: SimulatedRunner) -> None:
        registered: dict[str, float] = {}
        entries: dict[str, bytes] = {}
        while True:
            if not self.store.is_down:
                if runner.is_up:
                    registered[runner.id] = self.loop.true_s
                    entry = runner.build_entry()
                    key = registry_key(runner.id)
                    if entries.get(runner.id) != entry or key not in self.store.items:
                        entries[runner.id] = entry
                        self.store.put(key, entry)
                for runner_id, time_s in list(registered.items()):
                    if self.loop.true_s - time_s > _ENTRY_EXPIRY_S:
                        del registered[runner_id]
                        self.store.remove(registry_key(runner_id))
            await anyio.sleep(self.rng.uniform(0.1, _HEARTBEAT_S))

    # Owners

    async def _claim_when_unowned(self) -> None:
        while True:
            await anyio.sleep(0.01)
            if not self.store.is_down and self.store.read(OWNER_KEY).value is None:
                await anyio.sleep(self.rng.uniform(0.02, 0.08))
                if not self.store.is_down and self.store.read(OWNER_KEY).value is None:
                    self.claim()

    def claim(self) -> SimulatedOwner:
        """Start a successor that has just claimed the cell."""
        item = self.store.read(HEAD_KEY)
        number = len(self.owners) + 1
        host = Host(
            f"owner{number}",
            rate=1.0 + self.rng.uniform(-_OWNER_CLOCK_ERROR, _OWNER_CLOCK_ERROR),
            origin_s=self.rng.uniform(0.0, 1_000.0),
        )
        head = decode_head(item.value).claim(
            host.name, get_bounds(limit_cell_settings(self._cell_settings, build_settings()))
        )
        info = OwnerInfo(holder=host.name, address="127.0.0.1:1", generation=head.generation)
        lease = self.store.grant(_timing.OWNER_LEASE_MS)
        revision = self.store.change(
            {OWNER_KEY: 0, HEAD_KEY: item.version},
            [Write(HEAD_KEY, encode(head)), Write(OWNER_KEY, encode(info), lease)],
            (),
        )
        if not isinstance(revision, Success):
            raise AssertionError(f"claim failed: {revision}")
        client = SimulatedStoreClient(store=self.store, loop=self.loop, rng=self.rng)
        clock = HostClock(loop=self.loop, host=host)
        control = ControlState(store=client) if self._has_zones else None
        addresses, duration_s = self.cut_from_successor
        for address in addresses:
            self.network.get_link(host.name, address).is_cut = True
            self.loop.call_after(duration_s, lambda a=address: self._reconnect(host.name, a))
        self.cut_from_successor = ((), 0.0)
        for address, end_s in self._cut_until_s.items():
            if end_s > self.loop.true_s:
                self.set_links([host.name], [address], end_s - self.loop.true_s, is_cut=True)

        def create_owner() -> Owner:
            return Owner(
                settings=build_settings(),
                cell_settings=self._cell_settings,
                store=client,
                clock=clock,
                head=head,
                revision=revision.unwrap(),
                info=info,
                lease=lease,
                confirmed_ms=clock.now_ms(),
                metrics=Metrics(),
                get_evacuated_zones=lambda: control.evacuated_zones if control else frozenset(),
                connect=self.network.connect(host),
            )

        context = host.make_context()
        owner = SimulatedOwner(host, context.run(create_owner), client, clock, lease, control)
        self.owners.append(owner)
        self.history.add("owner claims", owner=host.name, cut_from=",".join(addresses))
        if control is not None:
            # A daemon claims the cell only once its control state is synchronised.
            context.run(control.apply_listing, self.store.list(CONTROL_PREFIX))
        self.loop.start(host, self._run_owner(owner))
        if self._lists_vms:
            self.loop.start(host, self._list_vms(owner))
        return owner

    def cut_from_later_owners(self, addresses: Iterable[str], duration_s: float) -> None:
        """Cut runners off from all owners that claim the cell within some time, until its end."""
        for address in addresses:
            end_s = self.loop.true_s + duration_s
            self._cut_until_s[address] = max(end_s, self._cut_until_s.get(address, 0.0))

    def _reconnect(self, host: str, address: str) -> None:
        self.network.get_link(host, address).is_cut = False

    async def _run_owner(self, owner: SimulatedOwner) -> None:
        watch = self.loop.start(owner.host, owner.control.run()) if owner.control else None
        try:
            await owner.owner.run(_CONFIGURATION)
        except Exception as error:
            self.history.violations.append(f"{owner.host.name} ended by {error!r}")
        owner.is_ended = True
        if watch is not None:
            watch.cancel()
        self.history.add("owner ends", owner=owner.host.name)

    async def _list_vms(self, owner: SimulatedOwner) -> None:
        incarnations = owner.owner.cell.incarnations
        while not owner.is_ended:
            requested_ms = owner.clock.now_ms()
            has_suspects = incarnations.has_suspects(requested_ms)
            if has_suspects:
                await anyio.sleep(self.rng.uniform(0.002, 0.04))
                live = {runner.id for runner in self.runners if runner.is_up}
                runner_by_vm = {
                    f"vm{number}": runner.id if runner.is_up else ""
                    for number, runner in enumerate(self.runners)
                }
                await anyio.sleep(self.rng.uniform(0.002, 0.04))
                if not owner.is_ended:
                    incarnations.apply_listing(
                        live, requested_ms=requested_ms, runner_by_vm=runner_by_vm
                    )
            await anyio.sleep(0.1 if has_suspects else 0.5)

    def find_response_ms(self, sender: str, after_ms: float) -> float:
        """Return the true time at which an owner got a response of the store to a later call.

        Parameters
        ----------
        sender : str
            Sender of a call to a runner, which begins with the name of the owner's host.
        after_ms : float
            True time after which the store carried out the call.

        Returns
        -------
        float
            Infinite if the owner has got none.
        """
        name = sender.partition(EARLIER_MARK)[0]
        owner = next(owner for owner in self.owners if owner.host.name == name)
        times = (at_s for done_s, at_s in owner.store.responses if done_s * 1000 >= after_ms)
        return 1000 * next(times, float("inf"))

    def revoke_ownership(self) -> None:
        """Remove the owner's key from the store, without a sign to the owner."""
        self.store.remove(OWNER_KEY)
        self.history.add("owner's key removed", owner=self.current.host.name)

    # Runners

    def set_links(
        self,
        hosts: Iterable[str],
        addresses: Iterable[str],
        duration_s: float = float("inf"),
        **changes: object,
    ) -> None:
        """Change the paths from owners to runners for some time."""
        hosts, addresses = tuple(hosts), tuple(addresses)
        self.history.add("links", hosts=hosts, addresses=addresses, s=duration_s, **changes)
        links = [self.network.get_link(host, address) for host in hosts for address in addresses]
        _assign(links, changes)
        if duration_s < float("inf"):
            defaults = {name: getattr(Link(), name) for name in changes}
            self.loop.call_after(duration_s, lambda: _assign(links, defaults))

    def restart_runner(
        self, runner: SimulatedRunner, down_s: float, *, runner_id: str = "", address: str = ""
    ) -> None:
        """Crash a runner, which starts again under its identifier or another one."""
        if not runner.is_up:
            return
        runner.crash()

        def restart() -> None:
            runner.address = address or runner.address
            runner.reset(runner_id or runner.id)

        self.loop.call_after(down_s, restart)

    def change_address(self, runner: SimulatedRunner, address: str) -> None:
        """Move a running incarnation to another address."""
        runner.address = address
        self.history.add("address changed", runner=runner.label, address=address)
        if runner.is_up and not self.store.is_down:
            self.register(runner)

    def register(self, runner: SimulatedRunner) -> None:
        """Write the registry entry of a runner."""
        self.store.put(registry_key(runner.id), runner.build_entry())

    # Jobs

    async def submit(
        self,
        job_id: str,
        *,
        duration_ms: float,
        count: int = 1,
        speculative: bool = False,
        schedule: Mapping[str, float] | None = None,
    ) -> None:
        """Hand a job of equal tasks to the latest owner.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        duration_ms : float
            Duration of its tasks; infinite for a long-running job.
        count : int, default=1
            Number of tasks of each step.
        speculative : bool, default=False
            Whether copies of its tasks may run.
        schedule : Mapping of str to float, optional
            Fields of the schedule of a job, which then has two steps.
        """
        self._durations_ms[job_id] = duration_ms
        if speculative:
            self.history.speculative[job_id] = SpeculativeRules(
                max_runs=_MAX_RUNS, max_attempts=_QUEUE.max_attempts
            )
        step = StepSpec(
            count=count,
            cpu_milli=1_000,
            memory_mb=100,
            estimate_ms=min(duration_ms, 10_000.0),
            long_running=duration_ms == float("inf"),
            speculative=speculative,
        )
        owner = self.current
        if owner.host.dead:
            return
        steps = (step, attrs.evolve(step, after=(0,))) if schedule else (step,)
        spec = JobSpec(payload="p", steps=steps, **(schedule or {}))
        submission = owner.owner.submit(job_id, _QUEUE, spec, 2_000.0)
        self.loop.start(owner.host, submission)

    def patch_time(self) -> mock._patch:
        """Return a patch by which owners read Unix time from the virtual clock."""
        source = types.SimpleNamespace(time=lambda: _UNIX_OFFSET_S + self.loop.true_s)
        return mock.patch.object(owner_module, "time", source)


def _assign(links: Iterable[Link], values: dict[str, object]) -> None:
    for link in links:
        for name, value in values.items():
            setattr(link, name, value)


class FaultInjector:
    """Injects random series of faults.

    Parameters
    ----------
    simulation : RunSimulation
        The cell.
    seed : int
        Determines the series.
    """

    def __init__(self, *, simulation: RunSimulation, seed: int) -> None:
        self._simulation = simulation
        self._rng = random.Random(f"{seed}/faults")
        self.fault_counts: Counter[str] = Counter()
        self._last_id = 100
        self._faults = {
            "links": self._change_links,
            "restart": self._restart,
            "restart behind cut": self._restart_behind_cut,
            "owner frozen": self._freeze_owner,
            "owner killed": self._kill_owner,
            "owner cut from store": self._cut_owner_from_store,
            "ownership revoked": self._revoke,
            "owner resigns": self._resign,
            "store down": self._stop_store,
            "responses lost before cut": self._lose_responses_before_cut,
            "runner unhealthy": self._make_unhealthy,
            "address changed": self._change_address,
        }
        self._weights = [4, 2, 2, 2, 1, 2, 2, 1, 1, 1, 1, 1]

    async def run(self, end_s: float) -> None:
        """Inject faults until a true time."""
        rng, simulation = self._rng, self._simulation
        while simulation.loop.true_s < end_s:
            await anyio.sleep(rng.uniform(0.1, 2.5))
            kind = rng.choices(list(self._faults), self._weights)[0]
            self.fault_counts[kind] += 1
            simulation.history.add("fault", kind=kind)
            self._faults[kind]()

    def _choose_duration_s(self) -> float:
        return 0.3 * 100.0 ** self._rng.random()

    def _choose_runners(self) -> list[SimulatedRunner]:
        runners = self._simulation.runners
        return self._rng.sample(runners, self._rng.randint(1, len(runners)))

    def _choose_hosts(self) -> list[str]:
        names = [owner.host.name for owner in self._simulation.owners[-3:]]
        return self._rng.choice((names, names[-1:], names[:-1] or names))

    def _change_links(self) -> None:
        rng = self._rng
        changes = rng.choice(
            (
                {"is_cut": True},
                {"loses_responses": True},
                {"loss": rng.uniform(0.1, 0.6)},
                {"late": rng.uniform(0.1, 1.0)},
                {"delay_ms": rng.uniform(50.0, 800.0)},
            )
        )
        addresses = [runner.address for runner in self._choose_runners()]
        self._simulation.set_links(
            self._choose_hosts(), addresses, self._choose_duration_s(), **changes
        )

    def _restart(self) -> None:
        rng, simulation = self._rng, self._simulation
        runner = rng.choice(simulation.runners)
        self._last_id += 1
        kind = rng.random()
        simulation.restart_runner(
            runner,
            rng.uniform(0.02, 3.0),
            runner_id=f"w{self._last_id}" if kind < 0.3 else "",
            address=f"127.0.0.1:{self._last_id}" if kind > 0.9 else "",
        )

    def _restart_behind_cut(self) -> None:
        rng, simulation = self._rng, self._simulation
        runner = rng.choice(simulation.runners)
        late = rng.choice(({"is_cut": True}, {"late": 1.0}, {"loses_responses": True}))
        hosts = [owner.host.name for owner in simulation.owners[-3:]]
        simulation.set_links(hosts, [runner.address], rng.uniform(0.5, 8.0), **late)
        simulation.loop.call_after(
            rng.uniform(0.0, 2.0), lambda: simulation.restart_runner(runner, rng.uniform(0.02, 2.0))
        )

    def _lose_responses_before_cut(self) -> None:
        simulation, duration_s = self._simulation, self._choose_duration_s()
        hosts, runner = self._choose_hosts(), self._rng.choice(simulation.runners)
        simulation.set_links(hosts, [runner.address], duration_s, loses_responses=True)
        cut_s = self._rng.uniform(4.0, 8.0)
        simulation.loop.call_after(
            duration_s, lambda: simulation.set_links(hosts, [runner.address], cut_s, is_cut=True)
        )

    def _make_unhealthy(self) -> None:
        runner = self._rng.choice(self._simulation.runners)
        runner.is_unhealthy = True
        self._simulation.history.add("runner unhealthy", runner=runner.label)
        self._simulation.loop.call_after(
            self._choose_duration_s(), lambda: setattr(runner, "is_unhealthy", False)
        )

    def _change_address(self) -> None:
        self._last_id += 1
        runner = self._rng.choice(self._simulation.runners)
        self._simulation.change_address(runner, f"127.0.0.1:{self._last_id}")

    def _cut_from_successor(self) -> None:
        if self._rng.random() < 0.6:
            addresses = tuple(runner.address for runner in self._choose_runners())
            self._simulation.cut_from_successor = (addresses, self._choose_duration_s())

    def _freeze_owner(self) -> None:
        owner = self._rng.choice(self._simulation.owners[-2:])
        self._cut_from_successor()
        self._simulation.history.add("owner frozen", owner=owner.host.name)
        self._simulation.loop.freeze(owner.host, self._rng.uniform(0.2, 6.0))

    def _kill_owner(self) -> None:
        self._cut_from_successor()
        self._simulation.current.host.dead = True
        self._simulation.history.add("owner killed", owner=self._simulation.current.host.name)

    def _cut_owner_from_store(self) -> None:
        client = self._simulation.current.store
        self._cut_from_successor()
        name = self._rng.choice(("is_cut", "loses_responses"))
        setattr(client, name, True)
        self._simulation.loop.call_after(
            self._choose_duration_s(), lambda: setattr(client, name, False)
        )

    def _revoke(self) -> None:
        self._cut_from_successor()
        if self._rng.random() < 0.5:
            self._cut_owner_from_store()
        self._simulation.revoke_ownership()

    def _resign(self) -> None:
        owner = self._simulation.current
        if not owner.host.dead:
            self._simulation.loop.start(owner.host, owner.owner.resign())

    def _stop_store(self) -> None:
        store = self._simulation.store
        store.is_down = True
        self._simulation.loop.call_after(
            self._rng.uniform(0.3, 8.0), lambda: setattr(store, "is_down", False)
        )


@attrs.frozen(kw_only=True)
class RunReport:
    """Result of one seed.

    Parameters
    ----------
    violations : tuple of str
        Violations of rule TWICE as the runners saw them.
    events : tuple of str
        History of the first task that violated it, with the faults.
    start_count : int
        Number of runs that the runners started.
    owner_count : int
        Number of owners.
    copy_count : int
        Number of copies that the owners started.
    fault_counts : dict of str to int
        Number of injected faults by kind.
    """

    seed: int
    violations: tuple[str, ...]
    events: tuple[str, ...]
    start_count: int
    owner_count: int
    copy_count: int
    fault_counts: dict[str, int]


async def _run(loop: VirtualLoop, seed: int, duration_s: float, series: str) -> RunReport:
    rng = random.Random(f"{seed}/jobs")
    # In some runs, an outage of the store is longer than an owner acts without it.
    limit_rng = random.Random(f"{seed}/limit")
    max_unconfirmed_ms = limit_rng.choice((CellSettings().max_unconfirmed_ms,) * 3 + (4_000.0,))
    # Bounds that are seldom reached, so that copies meet many faults.
    copy_settings = {"copy_share": 1.0, "copy_step_share": 3.0} if series == COPIES else {}
    simulation = RunSimulation(
        loop=loop,
        seed=seed,
        runner_count=rng.randint(3, 6),
        cell_settings=CellSettings(max_unconfirmed_ms=max_unconfirmed_ms, **copy_settings),
        lists_vms=limit_rng.random() < 0.75,
        has_zones=series == EVACUATION,
    )
    injectors: list[FaultInjector | RecutInjector | EvacuationInjector] = []
    if series in (RANDOM, MIXED, COPIES, EVACUATION, SCHEDULED):
        injectors.append(FaultInjector(simulation=simulation, seed=seed))
    if series in (RECUT, MIXED):
        injectors.append(RecutInjector(simulation=simulation, seed=seed))
    if series == EVACUATION:
        injectors.append(EvacuationInjector(simulation=simulation, seed=seed))
    with simulation.patch_time(), record_logs(simulation):
        await simulation.start()
        await anyio.sleep(1.0)
        for injector in injectors:
            loop.start(None, injector.run(duration_s - 5.0))
        number = 0
        while loop.true_s < duration_s and not simulation.history.violations:
            number += 1
            duration_ms = rng.choice((200.0, 1_000.0, 5_000.0, 20_000.0))
            speculative = series == COPIES and number > 2
            if number <= 2:
                duration_ms = float("inf")
            elif speculative:
                duration_ms = rng.choice(_SPECULATIVE_MS)
            has_schedule = series == SCHEDULED and number > 2
            await simulation.submit(
                f"{number:016x}",
                duration_ms=duration_ms,
                count=rng.randint(1, 3),
                speculative=speculative,
                schedule=_draw_schedule(rng, loop.true_s) if has_schedule else None,
            )
            await anyio.sleep(rng.uniform(0.2, 4.0))
    history = simulation.history
    return RunReport(
        seed=seed,
        violations=tuple(history.violations),
        events=tuple(history.format_events(history.first_violated_task)),
        start_count=history.start_count,
        owner_count=len(simulation.owners),
        copy_count=sum(owner.owner.cell.counters["copies_started"] for owner in simulation.owners),
        fault_counts=dict(sum((item.fault_counts for item in injectors), Counter())),
    )


def _draw_schedule(rng: random.Random, now_s: float) -> dict[str, float]:
    """Return a schedule of which some occurrences may be due already, or at the same time."""
    return {
        "occurrences": rng.randint(1, 6),
        "first_due_unix_ms": 1000 * (_UNIX_OFFSET_S + now_s + rng.uniform(-2.0, 4.0)),
        "interval_ms": rng.choice((1.0, 500.0, 3_000.0)),
    }


@contextlib.contextmanager
def record_logs(simulation: RunSimulation) -> Iterator[None]:
    """Add the log lines of the owners about runs and runners to the history."""

    def record(message: dict) -> None:
        host_name = get_current_host_name()
        fields = {name: message[name] for name in _LOGGED_FIELDS if name in message}
        if "run" in fields:
            fields["task"], _, fields["attempt"] = fields.pop("run").partition("#")
        # Eliot passes messages from before to its first destination, outside of any host.
        if fields and host_name:
            simulation.history.add(f"{host_name}: {message['message_type']}", **fields)

    eliot.add_destinations(record)
    try:
        yield
    finally:
        eliot.remove_destination(record)


def run_seed(seed: int, *, duration_s: float = 60.0, series: str = RANDOM) -> RunReport:
    """Run one seed until its end or the first violation.

    Parameters
    ----------
    seed : int
        Determines the whole run.
    duration_s : float, default=60.0
        Duration of the run in virtual seconds.
    series : str, default="random"
        Kind of the injected faults: "random", "recut" (restarts followed by a change of owner and a
        cut), "mixed" (both), "copies" (independent ones, and speculative jobs with slow and failing
        runs), "evacuation" (independent ones, and evacuations of zones) or "scheduled" (independent
        ones, and jobs with a schedule).

    Returns
    -------
    RunReport
    """
    random.seed(seed)
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(_run(loop, seed, duration_s, series))
    finally:
        discard_loop(loop)
