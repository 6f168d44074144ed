"""Simulated workers on a virtual clock, which the real dispatcher and shard owners schedule."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Mapping

import attrs

from benchmarks.control_cost import commit_pending_write
from coltsfootpier.clock import VirtualClock
from coltsfootpier.declaration import Declaration
from coltsfootpier.dispatch import Dispatcher, Ledger
from coltsfootpier.placement import PlacementPolicy, ShardState
from coltsfootpier.platform import Vm
from coltsfootpier.workers import Command, SyncReply, TaskReport

TICK_MS = 500.0
_SYNC_PERIOD_MS = 1_000.0
# Age of the slowdown measurements that workers report.
_MEASUREMENT_LAG_MS = 3_000.0
_CHECKPOINT_PERIOD_MS = 30_000.0
# Time for which the platform still lists a worker that stopped responding.
_VM_LIST_LAG_MS = 10_000.0


@attrs.define
class Attempt:
    """Attempt of a task on a simulated worker.

    Parameters
    ----------
    command : Command
        Command that started the attempt.
    run_time_ms : float
        Actual run time at full speed.
    lease_until_ms : float
        Lease expiry.
    progress_ms, checkpointed_ms : float
        Part of the run time that is done, and the part of it that the last checkpoint contains.
    cpu_share : float
        Share of its cores that the task may use; below 1 while it is throttled.
    measured_slowdowns : deque of (float, float)
        Time in ms and slowdown of each recent measurement.
    """

    command: Command
    run_time_ms: float
    lease_until_ms: float
    progress_ms: float = 0.0
    checkpointed_ms: float = 0.0
    cpu_share: float = 1.0
    state: str = "running"
    outcome: str = ""
    measured_slowdowns: deque[tuple[float, float]] = attrs.field(
        factory=lambda: deque([(0.0, 1.0)])
    )


@attrs.define
class Totals:
    """Totals of one simulation.

    Parameters
    ----------
    finished_core_s : Counter
        Work of the finished batch tasks in core seconds, by job.
    wasted_core_s : float
        Work of batch tasks that was lost because it was not checkpointed, in core seconds.
    evictions : int
        Number of running batch tasks that were stopped.
    started_ms : dict of str to float
        First start of each task.
    service_slowdowns : list of float
        Slowdown of each running service task at each tick.
    runner_counts : list of int
        Number of running service tasks at each tick.
    overcommits : int
        Number of starts for which the worker did not have enough cores.
    duplicate_runs : int
        Number of ticks, over all batch tasks, at which a task was running twice.
    """

    finished_core_s: Counter[str] = attrs.field(factory=Counter)
    wasted_core_s: float = 0.0
    evictions: int = 0
    started_ms: dict[str, float] = attrs.field(factory=dict)
    service_slowdowns: list[float] = attrs.field(factory=list)
    runner_counts: list[int] = attrs.field(factory=list)
    overcommits: int = 0
    duplicate_runs: int = 0


class FakeWorker:
    """Worker that simulates the progress and the slowdown of its tasks, and measures it with delay.

    Parameters
    ----------
    compute_interference : callable
        Takes two names of jobs or services. Returns the slowdown that a task of the second causes
        to a task of the first, as a share of its run time.
    """

    def __init__(
        self,
        vm: Vm,
        *,
        clock: VirtualClock,
        rng: random.Random,
        compute_interference: Callable[[str, str], float],
        totals: Totals,
        cores: float = 16.0,
        memory_mb: int = 60_000,
    ) -> None:
        self.vm = vm
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.is_disconnected = False
        self.fails_starts = False
        self._capacity = (cores, memory_mb)
        self._clock = clock
        self._rng = rng
        self._compute_interference = compute_interference
        self._totals = totals

    def sync(self, commands: tuple[Command, ...]) -> SyncReply:
        """Execute commands and return the state of all attempts."""
        now_ms = self._clock.now_ms()
        for command in commands:
            self._execute(command, now_ms)
        return SyncReply(
            worker=self.vm.name,
            incarnation=f"{self.vm.name}/1",
            now_ms=now_ms,
            cores=self._capacity[0],
            memory_mb=self._capacity[1],
            tasks=tuple(self._build_report(key, attempt) for key, attempt in self.attempts.items()),
        )

    def advance(self) -> None:
        """Advance all running tasks by one tick."""
        now_ms = self._clock.now_ms()
        running = [attempt for attempt in self.attempts.values() if attempt.state == "running"]
        for attempt in running:
            spec = attempt.command.spec
            excess_slowdown = sum(
                self._compute_interference(spec.declared, other.command.spec.declared)
                * other.cpu_share
                for other in running
                if other is not attempt
            )
            slowdown = 1.0 + excess_slowdown
            attempt.measured_slowdowns.append((now_ms, slowdown * self._rng.uniform(0.95, 1.05)))
            while (
                len(attempt.measured_slowdowns) > 1
                and attempt.measured_slowdowns[1][0] <= now_ms - _MEASUREMENT_LAG_MS
            ):
                attempt.measured_slowdowns.popleft()
            if now_ms >= attempt.lease_until_ms:
                self._end_attempt(attempt, "expired")
            elif spec.kind == "service":
                self._totals.service_slowdowns.append(slowdown)
            else:
                attempt.progress_ms += TICK_MS * attempt.cpu_share / slowdown
                if (
                    spec.checkpointing
                    and attempt.progress_ms - attempt.checkpointed_ms >= _CHECKPOINT_PERIOD_MS
                ):
                    attempt.checkpointed_ms = attempt.progress_ms
                if attempt.progress_ms >= attempt.run_time_ms:
                    self._end_attempt(attempt, "done")

    def crash(self) -> None:
        """Lose all running attempts and stop responding."""
        for attempt in self.attempts.values():
            if attempt.state == "running":
                self._end_attempt(attempt, "lost")
        self.is_disconnected = True

    def _execute(self, command: Command, now_ms: float) -> None:
        key = (command.task, command.attempt)
        attempt = self.attempts.get(key)
        if command.kind == "start" and attempt is None and now_ms < command.expires_at_ms:
            self._start_attempt(key, command, now_ms)
        elif attempt is None:
            return
        elif command.kind == "renew":
            attempt.lease_until_ms = max(attempt.lease_until_ms, command.lease_until_ms)
        elif command.kind == "throttle":
            attempt.cpu_share = command.share
        elif command.kind == "stop" and attempt.state == "running":
            self._totals.evictions += attempt.command.spec.kind == "batch"
            self._end_attempt(attempt, "stopped")
        elif command.kind == "forget" and attempt.state == "ended":
            del self.attempts[key]

    def _start_attempt(self, key: tuple[str, int], command: Command, now_ms: float) -> None:
        spec = command.spec
        # The actual run time is between half and twice the declared one.
        run_time_factor = 2.0 ** random.Random(f"{command.task}").uniform(-1.0, 1.0)
        checkpointed_ms = float(command.checkpoint or 0.0)
        attempt = Attempt(
            command,
            spec.run_time_ms * run_time_factor,
            command.lease_until_ms,
            checkpointed_ms,
            checkpointed_ms,
        )
        self.attempts[key] = attempt
        if self.fails_starts:
            self._end_attempt(attempt, "failed")
            return
        self._totals.started_ms.setdefault(command.task, now_ms)
        used_cores = sum(
            other.command.spec.cores for other in self.attempts.values() if other.state == "running"
        )
        self._totals.overcommits += used_cores > self._capacity[0] + 1e-6

    def _end_attempt(self, attempt: Attempt, outcome: str) -> None:
        spec = attempt.command.spec
        attempt.state, attempt.outcome = "ended", outcome
        if spec.kind == "service" or outcome == "failed":
            return
        if outcome == "done":
            self._totals.finished_core_s[spec.declared] += attempt.run_time_ms * spec.cores / 1000
        else:
            unsaved_ms = attempt.progress_ms - attempt.checkpointed_ms
            self._totals.wasted_core_s += unsaved_ms * spec.cores / 1000

    def _build_report(self, key: tuple[str, int], attempt: Attempt) -> TaskReport:
        spec = attempt.command.spec
        measured_at_ms, slowdown = attempt.measured_slowdowns[0]
        return TaskReport(
            task=key[0],
            attempt=key[1],
            state=attempt.state,
            outcome=attempt.outcome,
            checkpoint=(
                f"{attempt.checkpointed_ms:.0f}"
                if spec.checkpointing and attempt.checkpointed_ms
                else ""
            ),
            address="127.0.0.1:1" if spec.kind == "service" else "",
            cores=spec.cores,
            memory_mb=spec.memory_mb,
            slowdown=slowdown,
            measured_at_ms=measured_at_ms,
        )


class Fleet:
    """Dispatcher, three shard owners and their simulated workers.

    Each shard is a rack of 8 workers, which are all workers of an availability zone.

    Parameters
    ----------
    build_policy : callable
        Returns the placement policy of a shard owner; None selects the default policy.
    may_evict : bool
        Whether batch tasks may be evicted and throttled.
    compute_interference : callable
        Interference between tasks, as for `FakeWorker`.
    """

    def __init__(
        self,
        *,
        seed: int,
        build_policy: Callable[[], PlacementPolicy] | None,
        may_evict: bool,
        compute_interference: Callable[[str, str], float],
    ) -> None:
        self.clock = VirtualClock()
        self.totals = Totals()
        rng = random.Random(seed)
        ledger = Ledger(epoch=1, writer="m1")
        ledger.load(())
        self.dispatcher = Dispatcher(clock=self.clock, ledger=ledger, allow_eviction=may_evict)
        self.workers: dict[str, FakeWorker] = {}
        self.shards: dict[str, ShardState] = {}
        self._gone_from_ms: dict[str, float] = {}
        self._revision = 0
        self.store_writes = 0
        for number in range(3):
            shard = f"r{number}"
            self.shards[shard] = ShardState(
                shard=shard,
                epoch=1,
                writer="m1",
                clock=self.clock,
                worker_lease_ms=20_000.0,
                hold_over_ms=1_800_000.0,
                policy=build_policy() if build_policy else None,
                protect_services=may_evict,
            )
            self.shards[shard].load()
            self.shards[shard].retire_previous_owner()
            for index in range(8):
                vm = Vm(
                    name=f"w{number}{index}",
                    state="live",
                    availability_zone=f"z{number}",
                    rack=shard,
                    address="127.0.0.1:1",
                )
                self.workers[vm.name] = FakeWorker(
                    vm,
                    clock=self.clock,
                    rng=rng,
                    compute_interference=compute_interference,
                    totals=self.totals,
                )
        self.dispatcher.observe_shards(dict.fromkeys(self.shards, 1))

    def apply_declaration(self, declaration: Declaration) -> None:
        """Apply a declaration as a new revision."""
        self._revision += 1
        self.dispatcher.observe_declaration(self._revision, declaration)

    def crash_rack(self, rack: str) -> None:
        """Crash all workers of a rack; the platform removes them from its list after a delay."""
        for worker in self.workers.values():
            if worker.vm.rack == rack:
                worker.crash()
                self._gone_from_ms[worker.vm.name] = self.clock.now_ms() + _VM_LIST_LAG_MS

    def run_tick(self) -> None:
        """Advance workers, shard owners and the dispatcher by one tick."""
        self.clock.advance(TICK_MS)
        now_ms = self.clock.now_ms()
        for worker in self.workers.values():
            if not worker.is_disconnected:
                worker.advance()
        self._count_runners()
        is_sync_tick = now_ms % _SYNC_PERIOD_MS < TICK_MS
        for name, shard in self.shards.items():
            if is_sync_tick:
                shard.observe_vms(self._list_vms(name, now_ms))
                shard.expire_leases()
                shard.place()
            for worker in list(shard.workers):
                if is_sync_tick or shard.has_pending_commands(worker):
                    request = shard.plan_sync(worker, may_start=True, may_renew_batch=True)
                    if not self.workers[worker].is_disconnected:
                        reply = self.workers[worker].sync(request.commands)
                        shard.observe_reply(worker, reply)
            shard.check_capacity()
            self._commit_record(shard.record)
        self.dispatcher.step()
        for record in self.dispatcher.ledger.records:
            self._commit_record(record)
        for name, shard in self.shards.items():
            request = self.dispatcher.build_next_request(name, regular=is_sync_tick)
            if request is None or shard.apply_request(request) is not None:
                continue
            self._commit_record(shard.record)
            self.dispatcher.observe_reply(shard.build_exchange_reply(full=request.full))

    def _commit_record(self, record: object) -> None:
        """Commit the pending write of a record and count it."""
        self.store_writes += record.is_dirty
        commit_pending_write(record)

    def _count_runners(self) -> None:
        """Count the running service tasks, and the batch tasks that are running twice."""
        running: set[str] = set()
        for worker in self.workers.values():
            if worker.is_disconnected:
                continue
            for (task, _), attempt in worker.attempts.items():
                if attempt.state != "running":
                    continue
                if task in running and attempt.command.spec.kind == "batch":
                    self.totals.duplicate_runs += 1
                running.add(task)
        self.totals.runner_counts.append(sum(task.startswith("service/") for task in running))

    def _list_vms(self, shard: str, now_ms: float) -> list[Vm]:
        return [
            (
                attrs.evolve(worker.vm, state="gone")
                if now_ms >= self._gone_from_ms.get(name, float("inf"))
                else worker.vm
            )
            for name, worker in self.workers.items()
            if worker.vm.rack == shard
        ]


def build_interference_function(
    true_interference: Mapping[tuple[str, str], float], fleets: list[Fleet]
) -> Callable:
    """Return the interference function of a simulation.

    The interference that job ``noisy`` causes triples during the first half of each minute.

    Parameters
    ----------
    true_interference : mapping of (str, str) to float
        Interference by the names of the affected and of the interfering job or service; 0.02 for
        pairs that are not listed.
    fleets : list of Fleet
        Contains the fleet whose clock applies. It is empty while that fleet is built, because the
        fleet takes the function as an argument.

    Returns
    -------
    callable
        Function as for `FakeWorker`.
    """

    def compute_interference(affected: str, neighbour: str) -> float:
        interference = true_interference.get((affected, neighbour), 0.02)
        if neighbour == "noisy" and fleets and fleets[0].clock.now_ms() % 60_000.0 < 30_000.0:
            return 3 * interference
        return interference

    return compute_interference
