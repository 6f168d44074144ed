"""Owner of the cell: the tasks that a daemon runs while it owns the cell."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import anyio
import anyio.lowlevel
import attrs
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.cells import (
    Accepted,
    AdviceRequest,
    Cell,
    CellCommand,
    CellSettings,
    Rejected,
    RunnerEntry,
    get_bounds,
)
from coltsfootpier.clock import Clock
from coltsfootpier.jobs import JobSpec, JobState, Queue, decode_record
from coltsfootpier.journal import Head, OwnerInfo
from coltsfootpier.logs import log_event
from coltsfootpier.maintenance import MaintenanceRecord, Wave
from coltsfootpier.node import _timing
from coltsfootpier.node._committer import Committer, FleetList, OwnershipLost
from coltsfootpier.node._election import choose_lease_ttl
from coltsfootpier.node._lease import LeaseRenewer
from coltsfootpier.node._metrics import Metrics
from coltsfootpier.node._records import OwnerRecords, encode_fleet, load_records
from coltsfootpier.node._registry import RegistryMerger, RegistryReader
from coltsfootpier.node._responses import NOT_OWNER, Response, ResponseStatus, build_rejection
from coltsfootpier.node._runner_task import REPORT_CAUSES, RunnerTask
from coltsfootpier.node._settings import Configuration, NodeSettings
from coltsfootpier.node._unanswered_starts import UnansweredStartWriter, load_unanswered_starts
from coltsfootpier.node._verifier import OwnershipVerifier
from coltsfootpier.node._vms import VmTask
from coltsfootpier.node.keys import UNANSWERED_KEY, job_key
from coltsfootpier.platform import (
    REGISTRY_PREFIX,
    AdviceClient,
    PlatformError,
    RunnerClient,
    StoreClient,
    VmClient,
)
from coltsfootpier.transport import encode, is_address

_T = TypeVar("_T")

# Upper bound of the run lease as a fraction of the longest lease that the platform allows.
_MAX_RUN_LEASE_FRACTION = 0.6
# Its tasks may have run, so it can neither be accepted again nor reported as missing.
_UNREADABLE_JOB = Response(status=ResponseStatus.UNKNOWN, reason="unreadable record")


def limit_cell_settings(cell_settings: CellSettings, settings: NodeSettings) -> CellSettings:
    """Return the settings of the cell within the limits of the platform and of this VM."""
    longest_ms = settings.max_run_lease_ms
    return attrs.evolve(
        cell_settings,
        run_lease_ms=min(cell_settings.run_lease_ms, _MAX_RUN_LEASE_FRACTION * longest_ms),
        max_run_lease_ms=longest_ms,
        memory_mb=settings.memory_mb,
    )


class Owner:
    """Owner of a cell, which runs its planner, its runner tasks and the writer of its records.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the daemon.
    cell_settings : CellSettings
        Settings of the scheduling decisions.
    store : StoreClient
        The store.
    clock : Clock
        Time source.
    head, revision : Head, int
        Head that the claim of the cell wrote, and its store revision.
    info : OwnerInfo
        Value of the owner's key.
    lease : int
        Identifier of the lease of the owner's key.
    confirmed_ms : float
        Local time before the claim read the head that it replaced.
    metrics : Metrics
        Counters and histograms of the daemon.
    get_waves : callable, optional
        Returns the maintenance waves that operators have requested.
    get_evacuated_zones : callable, optional
        Returns the availability zones that operators have requested to evacuate.
    connect : callable, optional
        Creates the client of a runner, with the parameters of `RunnerClient`.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        cell_settings: CellSettings,
        store: StoreClient,
        clock: Clock,
        head: Head,
        revision: int,
        info: OwnerInfo,
        lease: int,
        confirmed_ms: float,
        metrics: Metrics,
        get_waves: Callable[[], Iterable[Wave]] = tuple,
        get_evacuated_zones: Callable[[], frozenset[str]] = frozenset,
        connect: Callable[..., RunnerClient] = RunnerClient,
    ) -> None:
        self._settings = settings
        self._connect = connect
        self._get_waves = get_waves
        self._get_evacuated_zones = get_evacuated_zones
        self._metrics = metrics
        self._cell_settings = cell_settings
        self._head = head
        self._store = store
        self._clock = clock
        self.info = info
        self.cell = Cell(
            settings=limit_cell_settings(cell_settings, settings),
            generation=head.generation,
            log=log_event,
            observe=metrics.observe,
        )
        # The claim took effect later than that.
        self.cell.record_confirmation(confirmed_ms)
        self._verifier = OwnershipVerifier(
            store=store,
            clock=clock,
            head=head,
            confirmed_ms=confirmed_ms,
            on_confirmed=self.cell.record_confirmation,
            on_replaced=self._on_replaced,
        )
        self._committer = Committer(
            store=store,
            clock=clock,
            head=head,
            revision=revision,
            owner=info,
            on_confirmed=self._verifier.record_confirmation,
            retention_ms=settings.status_kept_ms,
            on_head=self._verifier.record_head,
            on_token_raised=self._apply_token,
        )
        self._unanswered_writer = UnansweredStartWriter(
            starts=self.cell.fleet.unanswered_starts, records=self._committer, clock=clock
        )
        self._lease_renewer = LeaseRenewer(
            store=store,
            lease=lease,
            ttl_ms=choose_lease_ttl(settings),
            on_granted=self._committer.rebind_owner,
        )
        self._advice_client = None
        if settings.advice is not None:
            host, port = settings.advice
            self._advice_client = AdviceClient(host=host, port=port, clock=clock)
        self._runner_tasks: dict[str, RunnerTask] = {}
        # Requests for reports by the tasks that have ended, by cause.
        self._ended_report_counts: Counter[str] = Counter()
        # Runners whose first request for a report has not ended yet.
        self._uncontacted: set[str] = set()
        # Local time at which the claim of each runner or VM to know a later owner was checked.
        self._fence_checked_ms: dict[str, float] = {}
        self._is_checking_fence = False
        # Longest plan, and longest time for which the event loop ran no other task, in ms.
        self._longest_plan_ms = self._longest_turn_ms = 0.0
        # Local time since which the ownership isn't proven; None while it is.
        self._unproven_since_ms: float | None = None
        self._fleet_entries: dict[str, RunnerEntry] = {}
        # Whether the fleet record that this owner read or wrote last lists all runners in use, and
        # the long leases in it.
        self._is_record_complete = True
        self._long_leases: dict[str, float] = {}
        # Whether it is to be written again, and the local time from which it may be.
        self._is_fleet_changed = False
        self._next_fleet_ms = float("-inf")
        # Whether runners were added to it while the earlier owner may need none of them.
        self._has_added_early = False
        self._loaded_ms = float("inf")
        # Jobs that may have run, but whose records can't be decoded.
        self._unreadable_jobs: frozenset[str] = frozenset()
        self._wake = anyio.Event()
        self._group: TaskGroup | None = None
        self._registry_reader = RegistryReader(log=log_event)
        self._registry_merger = RegistryMerger()
        self.is_ready = False
        self._is_resigning = False
        self._is_stopped = False

    async def run(self, configuration: Configuration) -> None:
        """Schedule the cell until another daemon owns it, or until `resign`."""
        self.cell.set_queues(configuration.queues, version=configuration.version)
        async with anyio.create_task_group() as group:
            self._group = group
            # While the store is slow, loading takes longer than the lease lasts.
            group.start_soon(self._lease_renewer.run)
            loaded = await self._load()
            if loaded is not None:
                await self._schedule(loaded, group)
            group.cancel_scope.cancel()

    async def _schedule(self, loaded: OwnerRecords, group: TaskGroup) -> None:
        """Schedule the cell with the loaded records until the ownership ends."""
        try:
            group.start_soon(self._poll_registry)
            group.start_soon(self._verifier.run)
            group.start_soon(self._run_planner)
            group.start_soon(self._log_summaries)
            group.start_soon(self._watch_turns)
            group.start_soon(self._save_learned)
            group.start_soon(self._unanswered_writer.run)
            if self._settings.vm_service is not None:
                group.start_soon(self._run_vm_task, loaded.maintenance)
            self.is_ready = True
            self._stop(await self._committer.run(self.cell))
        finally:
            self.is_ready = False
            log_event("ownership ended", generation=self.cell.generation)

    async def _load(self) -> OwnerRecords | None:
        """Load the records of earlier owners; return None if they can't be read."""
        loaded = await self._read_until_loaded(load_records)
        if loaded is None:
            return None
        unanswered = await self._read_until_loaded(load_unanswered_starts)
        if unanswered is None:
            return None
        now_ms = self._clock.now_ms()
        self.cell.restore_learned(loaded.learned)
        self.cell.load(
            loaded.jobs,
            loaded.fleet,
            now_ms=now_ms,
            unix_ms=time.time() * 1000,
            bounds=self._head.bounds,
            is_fleet_complete=loaded.is_fleet_complete,
            long_leases=loaded.long_leases,
            unanswered=unanswered,
        )
        self._loaded_ms = now_ms
        self._unreadable_jobs = loaded.unreadable_jobs
        self._is_record_complete = loaded.is_fleet_complete
        self._fleet_entries = {entry.id: entry for entry in loaded.fleet}
        self._long_leases = loaded.long_leases
        self._committer.recorded_fleet = FleetList(
            frozenset(self._fleet_entries), loaded.long_leases
        )
        log_event(
            "ownership begins",
            generation=self.cell.generation,
            jobs=len(loaded.jobs),
            runners=len(loaded.fleet),
            fleet_complete=loaded.is_fleet_complete,
            long_leases=len(loaded.long_leases),
            unreadable_jobs=len(loaded.unreadable_jobs),
            learned_pairs=len(loaded.learned.pressures),
            unanswered_starts=len(unanswered),
            clock_ms=now_ms,
        )
        return loaded

    def _stop(self, cause: OwnershipLost | str) -> None:
        # Several causes may coincide, for example several runners that report a later owner.
        if self._is_stopped:
            return
        self._is_stopped = True
        last_sent_ms = max(
            (runner.deadline_sent_ms for runner in self.cell.fleet.runners.values()),
            default=float("-inf"),
        )
        now_ms = self._clock.now_ms()
        log_event(
            "owner stopping",
            generation=self.cell.generation,
            cause=str(cause),
            deadline_age_ms=now_ms - last_sent_ms,
            plan_max_ms=self._longest_plan_ms,
            turn_max_ms=self._longest_turn_ms,
            **self._describe_proof(now_ms),
        )
        if self._group is not None:
            self._group.cancel_scope.cancel()

    async def _read_until_loaded(
        self, load: Callable[[StoreClient], Awaitable[Result[_T, PlatformError]]]
    ) -> _T | None:
        """Return what `load` reads; None if the store doesn't respond for too long."""
        deadline_ms = self._clock.now_ms() + _timing.OWNER_LEASE_MS
        while self._clock.now_ms() < deadline_ms:
            result = await load(self._store)
            if isinstance(result, Success):
                return result.unwrap()
            log_event("cannot load records", reason=repr(result.failure()))
            await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
        return None

    async def resign(self) -> None:
        """Release the cell immediately: commit pending changes, then end the lease."""
        self._is_resigning = True
        # The calls that are in flight are cancelled.
        self._unanswered_writer.write(pending_ms=0.0)
        self._fence_earlier_incarnations(self._clock.now_ms())
        if self._is_fleet_changed:
            self._write_fleet(self._clock.now_ms())
        deadline_ms = self._clock.now_ms() + _timing.STORE_TIMEOUT_MS
        while self._has_unwritten_changes and self._clock.now_ms() < deadline_ms:
            await self._committer.wait_commit(_timing.STORE_BACKOFF_MS)
        self._stop("resigned")
        await self._store.revoke_lease(self._lease_renewer.lease)

    @property
    def _has_unwritten_changes(self) -> bool:
        return (
            bool(self.cell.jobs.dirty_count)
            or bool(self._committer.unsettled_fleets)
            or not self._committer.is_written(UNANSWERED_KEY)
        )

    # Requests about jobs

    async def submit(self, job_id: str, queue: Queue, spec: JobSpec, left_ms: float) -> Response:
        """Accept a job and wait until its record is durable.

        Parameters
        ----------
        job_id : str
            Identifier that the caller chose.
        queue : Queue
            Queue as configured at the daemon that sent the request.
        spec : JobSpec
            Specification of the job.
        left_ms : float
            Remaining time in ms until the caller's deadline.
        """
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + left_ms
        if not self.is_ready or self._is_resigning:
            return NOT_OWNER
        if job_id in self._unreadable_jobs:
            return _UNREADABLE_JOB
        if job_id not in self.cell.jobs.jobs and self._committer.is_stuck:
            log_event("job rejected", job=job_id, reason="store")
            return build_rejection("store")
        result = self.cell.submit(
            job_id, queue, spec, now_ms=self._clock.now_ms(), unix_ms=time.time() * 1000
        )
        if isinstance(result, Rejected):
            log_event(
                "job rejected",
                job=job_id,
                queue=queue.name,
                reason=result.reason,
                retry_after_ms=result.retry_after_ms,
                queueing_delay_ms=result.queueing_delay_ms,
                critical_path_ms=result.critical_path_ms,
                objective_ms=result.objective_ms,
                estimate=result.estimate,
                priority=queue.priority,
                generation=self.cell.generation,
                **(attrs.asdict(result.capacity) if result.capacity else {}),
            )
            return build_rejection(result.reason, result.retry_after_ms)
        outcome = await self._wait_durable(result, deadline_ms)
        if outcome is ResponseStatus.ACCEPTED:
            durable_ms = self._clock.now_ms() - started_ms
            self._metrics.observe("durable_ms", durable_ms)
            log_event(
                "job accepted",
                job=job_id,
                queue=queue.name,
                tasks=spec.task_count,
                durable_ms=durable_ms,
                generation=self.cell.generation,
            )
            self._wake_planner()
        return (
            build_rejection("store")
            if outcome is ResponseStatus.REFUSED
            else Response(status=outcome)
        )

    async def _wait_durable(self, accepted: Accepted, deadline_ms: float) -> ResponseStatus:
        job = accepted.job
        self._committer.notify()
        while job.durable_version < accepted.version:
            if self.cell.jobs.jobs.get(job.record.id) is not job:
                return ResponseStatus.REFUSED
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0 or not self.is_ready:
                return ResponseStatus.UNKNOWN
            await self._committer.wait_commit(min(left_ms, _timing.STORE_TIMEOUT_MS))
        return ResponseStatus.ACCEPTED

    async def cancel(self, job_id: str, left_ms: float) -> Response:
        """Cancel a job and wait until the cancellation is durable.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        left_ms : float
            Remaining time in ms until the caller's deadline.
        """
        if not self.is_ready:
            return NOT_OWNER
        if job_id in self._unreadable_jobs:
            return _UNREADABLE_JOB
        deadline_ms = self._clock.now_ms() + left_ms
        job = self.cell.cancel(job_id, self._clock.now_ms())
        if job is None:
            # Only an owner that precedes any later one when it responds knows that there is no job.
            if not await self._verifier.confirm(
                timeout_ms=min(left_ms, _timing.HEAD_CONFIRM_TIMEOUT_MS)
            ):
                return NOT_OWNER
            job = self.cell.cancel(job_id, self._clock.now_ms())
            if job is None:
                return Response(status=ResponseStatus.MISSING)
        self._wake_planner()
        outcome = await self._wait_durable(Accepted(job, job.version), deadline_ms)
        log_event("job cancelled", job=job_id, outcome=outcome.value)
        is_durable = outcome is ResponseStatus.ACCEPTED
        return Response(status=ResponseStatus.KNOWN if is_durable else ResponseStatus.UNKNOWN)

    async def read_state(self, job_id: str) -> Response:
        """Return the state of a job."""
        if not self.is_ready:
            return NOT_OWNER
        if job_id in self._unreadable_jobs:
            return _UNREADABLE_JOB
        if self._clock.now_ms() - self._verifier.confirmed_ms >= _timing.OWNER_LEASE_MS:
            # A later owner may have ended the job, which then has a final state in the store. If
            # the store doesn't respond, the state in memory is the best available.
            final_state = await self._read_final_state(job_id)
            if final_state is not None:
                return Response(status=ResponseStatus.KNOWN, state=final_state)
        # A later owner may have accepted a job that is unknown here before the request arrived.
        if self._get_visible_state(job_id) is None and not await self._verifier.confirm(
            timeout_ms=_timing.HEAD_CONFIRM_TIMEOUT_MS
        ):
            return NOT_OWNER
        state = self._get_visible_state(job_id)
        if state is None:
            return Response(status=ResponseStatus.MISSING)
        return Response(status=ResponseStatus.KNOWN, state=state)

    def _get_visible_state(self, job_id: str) -> JobState | None:
        job = self.cell.jobs.jobs.get(job_id)
        return None if job is None or job.durable_version == 0 else job.visible_state

    async def _read_final_state(self, job_id: str) -> JobState | None:
        """Return the final state of a job in the store; None if it has none or can't be read."""
        item = await self._store.get(job_key(job_id), timeout_ms=_timing.STORE_READ_TIMEOUT_MS)
        if isinstance(item, Failure):
            log_event(
                "cannot read job state from store; using state in memory",
                job=job_id,
                reason=repr(item.failure()),
            )
            return None
        if item.unwrap().value is None:
            return None
        record = decode_record(item.unwrap().value)
        if isinstance(record, Failure) or not record.unwrap().state.is_final:
            return None
        return record.unwrap().state

    def read_pending(self, queue: str) -> Response:
        """Return the number of jobs of a queue without any started task."""
        if not self.is_ready:
            return NOT_OWNER
        return Response(status=ResponseStatus.KNOWN, pending=self.cell.jobs.count_pending(queue))

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the queues of a newer configuration."""
        self.cell.set_queues(configuration.queues, version=configuration.version)
        self._wake_planner()

    # Tasks

    def _wake_planner(self) -> None:
        """Wake the planner, and the committer if the cell has unwritten changes."""
        self._wake.set()
        if self.cell.jobs.dirty_count:
            self._committer.notify()

    def _on_fenced(self, target: str) -> None:
        now_ms = self._clock.now_ms()
        checked_ms = self._fence_checked_ms.get(target, float("-inf"))
        if (
            self._is_resigning
            or self._is_checking_fence
            or now_ms - checked_ms < _timing.FENCE_CHECK_PERIOD_MS
        ):
            return
        is_first = target not in self._fence_checked_ms
        self._fence_checked_ms[target] = now_ms
        self._is_checking_fence = True
        self._group.start_soon(self._check_fence, target, is_first)

    async def _check_fence(self, target: str, is_first: bool) -> None:
        """Stop unless the ownership stays proven until the store shows that no later owner exists.

        A server at the address of an odd registry entry may respond as if it knew one, and the
        store may be down. A later owner relies on nothing as long as the proof is valid.
        """
        try:
            while not await self._verifier.confirm(timeout_ms=_timing.STORE_READ_TIMEOUT_MS):
                now_ms = self._clock.now_ms()
                if self._is_stopped or not self.cell.is_ownership_proven(now_ms):
                    log_event("fenced by a later owner", at=target)
                    self._stop("fenced")
                    return
                if is_first:
                    is_first = False
                    log_event(
                        "later owner can't be checked", at=target, **self._describe_proof(now_ms)
                    )
        finally:
            self._is_checking_fence = False
        if is_first:
            log_event("later owner not confirmed by the store", at=target)

    def _on_replaced(self, head: Head) -> None:
        log_event(
            "ownership lost",
            generation=self.cell.generation,
            found_generation=head.generation,
            found_holder=head.holder,
        )
        self._stop("later head")

    def record_latest_generation(self, generation: int) -> None:
        """Stop if a later owner exists."""
        if generation > self.cell.generation:
            self._stop("replaced")

    async def _run_planner(self) -> None:
        while True:
            self._wake = anyio.Event()
            started_ms = self._clock.now_ms()
            if self._is_fleet_changed:
                self._put_fleet(started_ms)
            self._fence_earlier_incarnations(started_ms)
            self.cell.fleet.mark_recorded(
                self._committer.recorded_fleet.runner_ids,
                *(other.runner_ids for other in self._committer.unsettled_fleets),
            )
            # A start after the last record of unanswered starts would be unknown to the successor.
            if not self._is_resigning:
                self.cell.set_evacuated_zones(self._get_evacuated_zones())
                for command in self.cell.plan(started_ms, time.time() * 1000):
                    self._execute(command)
            if self.cell.jobs.dirty_count:
                self._committer.notify()
            self._track_proof()
            duration_ms = self._clock.now_ms() - started_ms
            self._metrics.observe("plan_ms", duration_ms)
            self._longest_plan_ms = max(self._longest_plan_ms, duration_ms)
            pause_ms = max(_timing.MIN_PLAN_PERIOD_MS, _timing.PLAN_PAUSE_FACTOR * duration_ms)
            await anyio.sleep(pause_ms / 1000)
            with anyio.move_on_after(_timing.MAX_PLAN_WAIT_MS / 1000):
                await self._wake.wait()

    def _fence_earlier_incarnations(self, now_ms: float) -> None:
        """Have a higher token reserved for restarted runners, and their leases recorded."""
        fleet, committer = self.cell.fleet, self._committer
        long_leases = self._list_long_leases(now_ms)
        if not long_leases:
            return
        fleet.assign_tokens(now_ms)
        if fleet.needs_token:
            committer.raise_token()
        if any(
            self._long_leases.get(runner_id, 0.0) < lease_ms
            for runner_id, lease_ms in long_leases.items()
        ):
            self._put_fleet(now_ms)
        fleet.mark_long_leases_recorded(
            committer.recorded_fleet.long_leases,
            *(other.long_leases for other in committer.unsettled_fleets),
        )

    def _list_long_leases(self, now_ms: float) -> dict[str, float]:
        """Return the long leases on the runners of the fleet record."""
        return {
            runner_id: lease_ms
            for runner_id, lease_ms in self.cell.fleet.list_long_leases(now_ms).items()
            if runner_id in self._fleet_entries
        }

    def _apply_token(self, token: int) -> None:
        self.cell.fleet.set_token(token, self._clock.now_ms())
        log_event("fencing token raised", token=token, generation=self.cell.generation)

    def _update_fleet_entries(self) -> bool:
        """Update the known incarnations of recorded runners; return whether one has changed."""
        runners = self.cell.fleet.runners
        changed = {
            runner_id: attrs.evolve(entry, started_unix_ms=runners[runner_id].started_unix_ms)
            for runner_id, entry in self._fleet_entries.items()
            if runner_id in runners
            and runners[runner_id].started_unix_ms not in (0, entry.started_unix_ms)
        }
        self._fleet_entries.update(changed)
        return bool(changed)

    def _put_fleet(self, now_ms: float) -> None:
        """Write the fleet record, at once or after the pause that follows a long record.

        While many runners join or respond, it changes with each plan.
        """
        self._is_fleet_changed = True
        if now_ms >= self._next_fleet_ms:
            self._write_fleet(now_ms)

    def _write_fleet(self, now_ms: float) -> None:
        """Write the fleet record with the present incarnations and long leases."""
        self._is_fleet_changed = False
        self._update_fleet_entries()
        self._long_leases = self._list_long_leases(now_ms)
        value = encode_fleet(
            self._fleet_entries.values(),
            is_complete=self._is_record_complete,
            long_leases=self._long_leases,
        )
        self._next_fleet_ms = now_ms + _timing.compute_transfer_ms(len(value))
        self._committer.put_fleet(
            value, FleetList(frozenset(self._fleet_entries), self._long_leases)
        )

    def _describe_proof(self, now_ms: float) -> dict[str, object]:
        """Return log fields about the latest proof of ownership."""
        kind, proven_ms = self.cell.fleet.proof.find_latest()
        return {"proof": kind, "proof_age_ms": now_ms - proven_ms}

    def _track_proof(self) -> None:
        """Log when the ownership is no longer proven, and when it is again."""
        now_ms = self._clock.now_ms()
        is_proven = self.cell.is_ownership_proven(now_ms)
        if is_proven == (self._unproven_since_ms is None):
            return
        fields = {"generation": self.cell.generation, **self._describe_proof(now_ms)}
        if is_proven:
            log_event(
                "ownership proven again", unproven_ms=now_ms - self._unproven_since_ms, **fields
            )
            self._unproven_since_ms = None
        else:
            log_event("ownership not proven", **fields)
            self._unproven_since_ms = now_ms

    def _execute(self, command: CellCommand) -> None:
        if isinstance(command, AdviceRequest):
            if self._advice_client is not None:
                self._group.start_soon(self._request_advice, command)
            return
        task = self._runner_tasks.get(command.runner_id)
        if task is not None:
            task.execute(command)

    async def _request_advice(self, request: AdviceRequest) -> None:
        requested_ms = self._clock.now_ms()
        result = await self._advice_client.request_tickets(
            request, timeout_ms=_timing.ADVICE_TIMEOUT_MS
        )
        if isinstance(result, Failure):
            log_event(
                "advice request failed", job=request.step_id[0], reason=repr(result.failure())
            )
            return
        tickets, valid_ms = result.unwrap()
        self.cell.apply_advice(request, tickets, valid_ms, requested_ms)
        self._wake_planner()

    async def _poll_registry(self) -> None:
        while True:
            result = await self._store.list_all(REGISTRY_PREFIX)
            now_ms = self._clock.now_ms()
            if isinstance(result, Success):
                entries = self._registry_reader.decode(result.unwrap())
                self._apply_registry(entries, now_ms)
            else:
                self._registry_merger.record_failure()
            await anyio.sleep(_timing.REGISTRY_PERIOD_MS / 1000)

    def _apply_registry(self, entries: list[RunnerEntry], now_ms: float) -> None:
        registered = [
            runner.entry for runner in self.cell.fleet.runners.values() if runner.is_registered
        ]
        entries = self._registry_merger.merge(entries, registered, now_ms)
        self.cell.set_runners(entries, now_ms)
        # A longer list would give the next owner a majority that the earlier owner doesn't need. If
        # half of the runners may be gone, the list is marked, so that nobody relies on half of it.
        fleet = self.cell.fleet
        is_late = now_ms - self._loaded_ms >= _timing.SETTLING_TIMEOUT_MS
        new = [
            entry
            for entry in entries
            if entry.id not in self._fleet_entries and (fleet.is_half_settled or is_late)
        ]
        self._has_added_early |= bool(new) and not fleet.is_half_settled
        removed = [runner_id for runner_id in self._fleet_entries if runner_id not in fleet.runners]
        is_complete = fleet.is_complete and (fleet.is_half_settled or not self._has_added_early)
        is_changed = (
            is_complete != self._is_record_complete
            or self._list_long_leases(now_ms) != self._long_leases
            or self._update_fleet_entries()
        )
        if new or removed or is_changed:
            self._is_record_complete = is_complete
            self._fleet_entries.update((entry.id, entry) for entry in new)
            for runner_id in removed:
                del self._fleet_entries[runner_id]
            self._put_fleet(now_ms)
        self._declare_bounds()
        self._update_runner_tasks()
        self._wake_planner()

    def _declare_bounds(self) -> None:
        """Write this owner's bounds with the next change once no earlier owner acts any more."""
        if self._committer.bounds is None and not self.cell.fleet.may_have_unknown_runs:
            self._committer.bounds = get_bounds(self.cell.settings)

    def _update_runner_tasks(self) -> None:
        for runner_id, task in list(self._runner_tasks.items()):
            runner = self.cell.fleet.runners.get(runner_id)
            if runner is None or runner.entry.address != task.address:
                self.cell.fleet.retain_lease_expiry(runner_id)
                task.scope.cancel()
                self._ended_report_counts.update(task.report_counts)
                self._uncontacted.discard(runner_id)
                del self._runner_tasks[runner_id]
        new: list[RunnerTask] = []
        for runner_id, runner in self.cell.fleet.runners.items():
            # A runner of an odd fleet record keeps its lease, but can't be called.
            if runner_id not in self._runner_tasks and is_address(runner.entry.address):
                task = self._runner_tasks[runner_id] = RunnerTask(
                    entry=runner.entry,
                    cell=self.cell,
                    settings=self.cell.settings,
                    commits=self._committer,
                    clock=self._clock,
                    on_change=self._wake_planner,
                    on_fenced=self._on_fenced,
                    on_contacted=self._uncontacted.discard,
                    is_contacting=self._is_contacting_many,
                    connect=self._connect,
                )
                new.append(task)
                self._uncontacted.add(runner_id)
        if new:
            self._group.start_soon(self._start_runner_tasks, new)

    def _is_contacting_many(self) -> bool:
        """Return whether so many runners wait for their first contact that it takes a while."""
        return len(self._uncontacted) > _timing.MAX_CONTACT_BATCH

    async def _start_runner_tasks(self, tasks: list[RunnerTask]) -> None:
        """Start the tasks of new runners, a few in each iteration of the event loop.

        Each opens a connection and sends a request at once. With 1,500 of them in one iteration,
        the calls to the store wait for seconds.
        """
        left_in_batch = _timing.MIN_CONTACT_BATCH
        for task in tasks:
            if left_in_batch == 0:
                paused_ms = self._clock.now_ms()
                await anyio.lowlevel.checkpoint()
                # While reports of other runners take long, new ones get a part of that time.
                iteration_ms = self._clock.now_ms() - paused_ms
                left_in_batch = min(
                    _timing.MAX_CONTACT_BATCH,
                    max(_timing.MIN_CONTACT_BATCH, int(iteration_ms / _timing.CONTACT_PAUSE_MS)),
                )
            left_in_batch -= 1
            if self._runner_tasks.get(task.id) is task:
                self._group.start_soon(task.run)

    async def _save_learned(self) -> None:
        while True:
            await anyio.sleep(_timing.LEARNED_PERIOD_MS / 1000)
            self._committer.put_learned(encode(self.cell.export_learned()))

    async def _run_vm_task(self, record: MaintenanceRecord | None) -> None:
        settings = self._settings
        host, port = settings.vm_service
        client = VmClient(
            host=host,
            port=port,
            clock=self._clock,
            holder=settings.name,
            token=self.cell.generation,
        )
        task = VmTask(
            client=client,
            cordons=self.cell.cordons,
            liveness=self.cell.incarnations,
            records=self._committer,
            record=record,
            clock=self._clock,
            maintenance_ms=settings.upkeep_ms,
            command_pause_ms=settings.order_pause_ms,
            late_call_ms=self._cell_settings.late_call_ms,
            get_waves=self._get_waves,
            may_send_commands=self._may_send_vm_command,
            on_change=self._wake_planner,
            on_fenced=self._on_fenced,
        )
        try:
            await task.run()
        finally:
            client.close()

    async def _may_send_vm_command(self) -> bool:
        limit_ms = _timing.VM_PROOF_AGE_MS
        is_confirmed = await self._verifier.confirm(timeout_ms=limit_ms)
        # The process may have been frozen meanwhile.
        return is_confirmed and self._clock.now_ms() - self._verifier.confirmed_ms < limit_ms

    def read_gauges(self) -> dict[str, float]:
        """Return the current values of the cell for metrics and logs."""
        return {
            **self.cell.summarise(),
            "generation": self.cell.generation,
            "plan_max_ms": round(self._longest_plan_ms),
            "turn_max_ms": round(self._longest_turn_ms),
            "commits": self._committer.commit_count,
            "head_reads": self._verifier.read_count,
            "is_ownership_proven": int(self._unproven_since_ms is None),
            "store_proof_age_ms": self._clock.now_ms() - self._verifier.confirmed_ms,
            **self._count_reports(),
        }

    def _count_reports(self) -> dict[str, int]:
        """Return the number of requests for reports, and how many of them had which cause."""
        counts = self._ended_report_counts.copy()
        for task in self._runner_tasks.values():
            counts.update(task.report_counts)
        causes = {f"reports_{cause}": counts[cause] for cause in REPORT_CAUSES}
        return {"reports": counts.total(), **causes}

    async def _watch_turns(self) -> None:
        """Measure how much later than asked for a pause ends, whatever task keeps the loop busy."""
        pause_ms = _timing.TURN_CHECK_PERIOD_MS
        while True:
            started_ms = self._clock.now_ms()
            await anyio.sleep(pause_ms / 1000)
            turn_ms = self._clock.now_ms() - started_ms - pause_ms
            self._longest_turn_ms = max(self._longest_turn_ms, turn_ms)

    async def _log_summaries(self) -> None:
        while True:
            await anyio.sleep(_timing.SUMMARY_PERIOD_MS / 1000)
            log_event("cell summary", **self.read_gauges(), store_calls=self._store.counts.calls)
