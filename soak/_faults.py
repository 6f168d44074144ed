"""Random faults that are injected during a soak run."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import anyio
import attrs

from soak._cluster import Cluster, DaemonProcess
from soak._network import LinkQuality

# Ends a fault that was injected.
Undo = Callable[[], None]


def _do_nothing() -> None:
    pass


class Injector:
    """Injector of random faults; the seed determines whether one, two or three may be concurrent.

    Parameters
    ----------
    cluster : Cluster
        Deployment in which faults are injected.
    seed : int
        Determines the kinds, times and targets of faults.
    kinds : tuple of str, optional
        Kinds of faults to inject; all if empty.
    """

    def __init__(self, *, cluster: Cluster, seed: int, kinds: tuple[str, ...] = ()) -> None:
        self.fault_counts: Counter[str] = Counter()
        self._cluster = cluster
        self._rng = random.Random(f"{seed}/faults")
        self._injectors: dict[str, Callable[[float], Undo]] = {
            "cut daemon-store": self._cut_random_daemon_from_store,
            "cut daemon-daemon": self._cut_random_daemon_from_daemon,
            "cut daemon-worker": self._cut_random_daemon_from_worker,
            "cut one way": self._cut_random_link_one_way,
            "cut all of a daemon": self._cut_random_daemon_from_all,
            "freeze daemon": self._freeze_random_daemon,
            "freeze at send": self._freeze_random_daemon_at_send,
            "kill daemon": self._kill_random_daemon,
            "stop daemon": self._stop_random_daemon,
            "replace daemon": self._replace_random_daemon,
            "restart worker": self._restart_random_worker,
            "replace worker": self._replace_random_worker,
            "worker leaves": self._set_random_worker_leaving,
            "starts fail": self._fail_starts_on_random_worker,
            "store outage": self._stop_store,
            "store silent": self._silence_store,
            "daemon restarts in outage": self._restart_daemon_in_outage,
            "store slow": self._delay_store,
            "lost answers": self._lose_responses,
            "cancellations": self._request_cancellations,
            "bad links": self._degrade_links,
            "owner lost and worker cut": self._lose_owner_and_cut_worker,
            "worker mute then cut": self._lose_replies_then_commands,
            "owner cut from store": self._cut_owner_from_store,
            "owner freezes at send": self._freeze_owner_at_send,
        }
        # Each value applies to a third of the seeds.
        self._max_concurrent = 1 + seed % 3
        names = list(self._injectors)
        kind_subset = self._rng.sample(names, self._rng.randint(1, 4))
        self._enabled_kinds = kind_subset if self._rng.random() < 0.4 else names
        if kinds:
            self._enabled_kinds = [name for name in names if name in kinds]

    async def run(self, until_s: float) -> None:
        """Inject faults until a true time; the last ones are undone a few seconds later at most."""
        loop = self._cluster.loop
        await anyio.sleep(self._rng.uniform(5.0, 20.0))
        while loop.true_s < until_s:
            undo_functions: list[Undo] = []
            duration_s = self._rng.choice((1.0, 5.0, 12.0, 25.0, 70.0)) * self._rng.uniform(
                0.5, 1.5
            )
            duration_s = max(0.5, min(duration_s, until_s - loop.true_s))
            for _ in range(self._rng.randint(1, self._max_concurrent)):
                kind = self._rng.choice(self._enabled_kinds)
                self.fault_counts[kind] += 1
                self._cluster.trace(f"FAULT {kind}", duration_s=f"{duration_s:.1f}")
                undo_functions.append(self._injectors[kind](duration_s))
                if self._rng.random() < 0.5:
                    await anyio.sleep(self._rng.uniform(0.0, 2.0))
            await anyio.sleep(duration_s)
            for undo_fault in undo_functions:
                undo_fault()
            self._cluster.trace("faults undone")
            await anyio.sleep(self._rng.choice((0.5, 3.0, 15.0)) * self._rng.uniform(0.2, 1.5))

    # Links

    def _cut_random_daemon_from_store(self, _: float) -> Undo:
        return self._cut_link(self._choose_daemon().host.name, "store")

    def _cut_random_daemon_from_daemon(self, _: float) -> Undo:
        return self._cut_link(self._choose_daemon().host.name, self._choose_daemon().host.name)

    def _cut_random_daemon_from_worker(self, _: float) -> Undo:
        return self._cut_link(self._choose_daemon().host.name, self._choose_worker())

    def _cut_random_link_one_way(self, _: float) -> Undo:
        pair = [self._choose_daemon().host.name, self._choose_worker()]
        self._rng.shuffle(pair)
        return self._cut_link(*pair, both=False)

    def _cut_random_daemon_from_all(self, _: float) -> Undo:
        name = self._choose_daemon().host.name
        others = ["store", *self._cluster.workers]
        others += [process.host.name for process in self._cluster.processes.values()]
        undo_functions = [self._cut_link(name, other) for other in others if other != name]
        return lambda: [undo_fault() for undo_fault in undo_functions] and None

    def _cut_link(self, left: str, right: str, *, both: bool = True) -> Undo:
        pairs = [(left, right), (right, left)] if both else [(left, right)]
        self._cluster.trace("cut", left=left, right=right, both=both)
        for pair in pairs:
            self._cluster.network.change_cut_count(*pair, 1)

        def undo() -> None:
            for pair in pairs:
                self._cluster.network.change_cut_count(*pair, -1)

        return undo

    def _degrade_links(self, _: float) -> Undo:
        network, previous_quality = self._cluster.network, self._cluster.network.link_quality
        network.link_quality = LinkQuality(
            delay_s=self._rng.choice((0.004, 0.05, 0.3)),
            loss=self._rng.uniform(0.0, 0.25),
            duplication=self._rng.uniform(0.0, 0.5),
        )
        return lambda: (
            setattr(network, "link_quality", LinkQuality())
            if previous_quality is not None
            else None
        )

    # Faults of shard owners

    def _lose_owner_and_cut_worker(self, duration_s: float) -> Undo:
        # The next owner can't ask the worker for the attempts that the previous owner started.
        process, worker = self._choose_shard_owner_and_worker()
        others = [item for item in self._cluster.list_live_daemons() if item is not process]
        undo_functions = [self._cut_link(other.host.name, worker) for other in others]
        inject_fault = self._rng.choice(
            (self._cut_daemon_from_store, self._freeze_daemon, self._stop_daemon)
        )
        undo_functions.append(inject_fault(process, duration_s))
        return lambda: [undo_fault() for undo_fault in undo_functions] and None

    def _lose_replies_then_commands(self, duration_s: float) -> Undo:
        # The worker's replies are lost first, so the shard owner extrapolates the worker's clock.
        # Then commands are lost too, and the last lease must expire.
        worker = self._choose_worker()
        names = [process.host.name for process in self._cluster.processes.values()]
        undo_functions = [self._cut_link(worker, name, both=False) for name in names]
        undo_command_cuts: list[Undo] = []

        def cut_commands() -> None:
            undo_command_cuts.extend(self._cut_link(name, worker, both=False) for name in names)

        self._cluster.loop.call_after(max(duration_s - 30.0, 0.5 * duration_s), cut_commands)
        return (
            lambda: [undo_fault() for undo_fault in (*undo_functions, *undo_command_cuts)] and None
        )

    def _cut_owner_from_store(self, duration_s: float) -> Undo:
        return self._cut_daemon_from_store(self._choose_shard_owner_and_worker()[0], duration_s)

    def _freeze_owner_at_send(self, duration_s: float) -> Undo:
        process = self._choose_shard_owner_and_worker()[0]
        self._cluster.trace("freezes at next send", daemon=process.host.name)
        process.host.freeze_at_send_s = min(duration_s, 45.0)
        return _do_nothing

    def _cut_daemon_from_store(self, process: DaemonProcess, _: float) -> Undo:
        return self._cut_link(process.host.name, "store")

    def _choose_shard_owner_and_worker(self) -> tuple[DaemonProcess, str]:
        """Return the owner of a random worker's shard and the worker.

        While the shard has no owner, the first item is a random daemon.
        """
        worker = self._choose_worker()
        partition = f"shard/{self._cluster.worker_vms[worker].rack}"
        for process in self._cluster.list_live_daemons():
            ownership = process.daemon.control.ownership
            if ownership.may_act(partition, ownership.epoch_of(partition)):
                return process, worker
        return self._choose_daemon(), worker

    # Daemons

    def _freeze_random_daemon(self, duration_s: float) -> Undo:
        return self._freeze_daemon(self._choose_daemon(), duration_s)

    def _freeze_daemon(self, process: DaemonProcess, duration_s: float) -> Undo:
        self._cluster.trace("frozen", daemon=process.host.name)
        self._cluster.loop.freeze(process.host, min(duration_s, 45.0))
        return _do_nothing

    def _freeze_random_daemon_at_send(self, duration_s: float) -> Undo:
        process = self._choose_daemon()
        self._cluster.trace("freezes at next send", daemon=process.host.name)
        process.host.freeze_at_send_s = min(duration_s, 45.0)
        return _do_nothing

    def _kill_random_daemon(self, _: float) -> Undo:
        process = self._choose_daemon()
        if len(self._cluster.list_live_daemons()) < 2:
            return _do_nothing
        self._cluster.trace("killed", daemon=process.host.name)
        self._cluster.kill_daemon(process.index)
        return lambda: self._restart_daemon(process)

    def _stop_random_daemon(self, duration_s: float) -> Undo:
        return self._stop_daemon(self._choose_daemon(), duration_s)

    def _stop_daemon(self, process: DaemonProcess, _: float) -> Undo:
        if len(self._cluster.list_live_daemons()) < 2:
            return _do_nothing
        self._cluster.trace("stopped", daemon=process.host.name)
        self._cluster.stop_daemon(process.index)
        return lambda: self._restart_daemon(process)

    def _restart_daemon(self, process: DaemonProcess) -> None:
        # Another fault may have restarted or replaced the daemon already, and a VM runs only one.
        process.host.dead = True
        if self._cluster.processes.get(process.index) is process:
            self._cluster.start_daemon(process.index)

    def _replace_random_daemon(self, _: float) -> Undo:
        process = self._choose_daemon()
        if len(self._cluster.list_live_daemons()) < 2:
            return _do_nothing
        self._cluster.trace("replaced", daemon=process.host.name)
        self._cluster.kill_daemon(process.index)
        self._cluster.mark_vm_gone(process)
        return self._cluster.start_new_daemon

    # Workers

    def _restart_random_worker(self, _: float) -> Undo:
        name = self._choose_worker()
        self._cluster.trace("worker killed", worker=name)
        self._cluster.kill_worker(name)
        return lambda: self._restart_dead_worker(name)

    def _replace_random_worker(self, _: float) -> Undo:
        name = self._choose_worker()
        self._cluster.trace("worker replaced", worker=name)
        self._cluster.kill_worker(name)
        return lambda: self._replace_dead_worker(name)

    def _restart_dead_worker(self, name: str) -> None:
        if name in self._cluster.worker_vms and self._cluster.workers[name].process_host.dead:
            self._cluster.start_worker(self._cluster.worker_vms[name])

    def _replace_dead_worker(self, name: str) -> None:
        if name in self._cluster.worker_vms:
            self._cluster.replace_worker(name)

    def _set_random_worker_leaving(self, _: float) -> Undo:
        name = self._choose_worker()
        vm = self._cluster.worker_vms[name]
        self._cluster.trace("worker leaves", worker=name)
        self._cluster.store.update_vm(attrs.evolve(vm, state="leaving"))

        def undo() -> None:
            if name in self._cluster.worker_vms:
                self._cluster.kill_worker(name)
                self._cluster.replace_worker(name)

        return undo

    def _fail_starts_on_random_worker(self, _: float) -> Undo:
        worker = self._cluster.workers[self._choose_worker()]
        worker.faults.fail_starts = True
        return lambda: setattr(worker.faults, "fail_starts", False)

    # Store

    def _stop_store(self, _: float) -> Undo:
        self._cluster.store.outage = True
        return lambda: setattr(self._cluster.store, "outage", False)

    def _restart_daemon_in_outage(self, duration_s: float) -> Undo:
        undo = self._stop_store(duration_s)
        restart = self._kill_random_daemon(duration_s)
        self._cluster.loop.call_after(min(2.0, duration_s / 2), restart)
        return undo

    def _silence_store(self, _: float) -> Undo:
        self._cluster.store.silent = True
        return lambda: setattr(self._cluster.store, "silent", False)

    def _delay_store(self, _: float) -> Undo:
        self._cluster.store.slow_s = self._rng.choice((0.1, 0.6, 1.5))
        return lambda: setattr(self._cluster.store, "slow_s", 0.0)

    def _lose_responses(self, _: float) -> Undo:
        self._cluster.store.lose_answers = self._rng.randint(1, 40)
        return lambda: setattr(self._cluster.store, "lose_answers", 0)

    def _request_cancellations(self, _: float) -> Undo:
        self._cluster.pending_cancellations += self._rng.randint(1, 3)
        return _do_nothing

    # Targets

    def _choose_daemon(self) -> DaemonProcess:
        return self._rng.choice(self._cluster.list_live_daemons())

    def _choose_worker(self) -> str:
        """Return a random worker that was not killed and is listed as live."""
        worker_names = [
            name
            for name, worker in self._cluster.workers.items()
            if not worker.process_host.dead and self._cluster.is_listed_as_live(name)
        ]
        return self._rng.choice(worker_names)
