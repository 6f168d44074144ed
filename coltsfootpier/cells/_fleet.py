"""Bookkeeping of runners and runs, with checks for invariants."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from coltsfootpier.cells._lease_expiry import (
    compute_inherited_lease_ms,
    compute_lease_ms,
    compute_longest_lease_ms,
    compute_unconfirmed_lease_ms,
)
from coltsfootpier.cells._messages import RunId, RunnerEntry, RunnerReport
from coltsfootpier.cells._ownership import OwnershipProof
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import EndProof, Run, Runner, RunState, StepRun, Task
from coltsfootpier.cells._unanswered_starts import UnansweredStarts
from coltsfootpier.exceptions import InvariantError
from coltsfootpier.journal import ActionBounds

LogCallback = Callable[..., None]


class DoubleRunError(InvariantError):
    """A task would run twice at the same time."""


class CapacityError(InvariantError):
    """The runs on a runner would exceed its declared capacity."""


class Fleet:
    """Runners of a cell and the runs on each of them.

    Parameters
    ----------
    settings : CellSettings
        Limits.
    generation : int
        Number of the ownership, for logs.
    log : callable
        Callback that logs one event with its fields.
    """

    def __init__(self, *, settings: CellSettings, generation: int, log: LogCallback) -> None:
        self._settings = settings
        self.generation = generation
        # Highest fencing token that this owner may use.
        self._token = generation
        self._log = log
        self.runners: dict[str, Runner] = {}
        # Runners that an earlier owner used and that have not responded to this owner yet.
        self.inherited: set[str] = set()
        self._inherited_count = 0
        # Runners that have responded to this owner, but have more ended runs of an earlier owner
        # than they list at a time.
        self._partly_read: set[str] = set()
        # Local time and Unix time at which the fleet record was loaded.
        self._loaded_ms = float("-inf")
        self._loaded_unix_ms = float("inf")
        # Runners whose leases the earlier owner may extend for as long as it may act at all.
        self._unbounded: set[str] = set()
        # Whether the fleet record lists all runners that earlier owners may use.
        self.is_complete = True
        self._unlisted_expiry_ms = float("-inf")
        self._earlier_bounds: ActionBounds | None = None
        # Until when no end is acknowledged, as an earlier owner may act on a proof of ownership.
        self._earlier_acts_until_ms = float("-inf")
        # Until when a late call may extend leases on each runner that was removed.
        self._removed_expiry_ms: dict[str, float] = {}
        # Availability zones whose runners get no new runs, also those that register later.
        self.evacuated_zones: frozenset[str] = frozenset()
        # Whether the registry was read, so that the capacity of the cell is known.
        self.is_listed = False
        self.proof = OwnershipProof(settings=settings, runners=self.runners)
        self.unanswered_starts = UnansweredStarts(settings=settings, runners=self.runners, log=log)

    def add_inherited(
        self,
        entries: Iterable[RunnerEntry],
        now_ms: float,
        *,
        unix_ms: float,
        bounds: ActionBounds | None = None,
        is_complete: bool = True,
        long_leases: Mapping[str, float] | None = None,
    ) -> None:
        """Add the runners that an earlier owner may have used, after the claim of the cell.

        The earlier owner may extend leases until half of them have accepted this owner, see
        `bound_inherited_leases`, or until the longest time for which it acts without the store.

        Parameters
        ----------
        entries : iterable of RunnerEntry
            Runners in the fleet record.
        now_ms, unix_ms : float
            Local time and Unix time.
        bounds : ActionBounds, optional
            Bounds of all earlier owners, if they are known.
        is_complete : bool, default=True
            Whether these are all of them. Otherwise, no half of them proves anything.
        long_leases : Mapping of str to float, optional
            Times in ms from now for which runners may hold a longer lease than usual, see
            `list_long_leases`.
        """
        self.is_complete = is_complete
        self._earlier_bounds = bounds
        self._unlisted_expiry_ms = now_ms + compute_unconfirmed_lease_ms(bounds, self._settings)
        if self.generation > 1:
            # Lists of ends must not grow for as long as most runners are gone.
            self._earlier_acts_until_ms = now_ms + self._settings.late_call_ms
        for entry in entries:
            runner = Runner(entry=entry, is_registered=False, recorded=True, token=self._token)
            runner.earlier_lease_expiry_ms = self._unlisted_expiry_ms
            if long_leases and entry.id in long_leases:
                runner.long_lease_ms = long_leases[entry.id]
                runner.long_lease_expiry_ms = now_ms + runner.long_lease_ms
            self.runners[entry.id] = runner
            self.inherited.add(entry.id)
            self._unbounded.add(entry.id)
        self._loaded_ms, self._loaded_unix_ms = now_ms, unix_ms
        self._inherited_count = len(self.inherited)

    @property
    def may_have_unknown_runs(self) -> bool:
        """Whether an earlier owner may have runs of inherited jobs that this owner doesn't know.

        They may go on, or have ended.
        """
        return bool(self.inherited or self._partly_read) or not self.is_complete

    def has_unknown_runs(self, runner_id: str) -> bool:
        """Return whether a runner may have unknown runs of an earlier owner."""
        return runner_id in self.inherited or runner_id in self._partly_read

    def settle_runner(self, runner_id: str) -> None:
        """Record that no run of an earlier owner on a runner is unknown any more."""
        self.inherited.discard(runner_id)
        self._partly_read.discard(runner_id)

    def record_report(self, runner: Runner, report: RunnerReport) -> None:
        """Record which runs of earlier owners are unknown after a report of a runner."""
        runner_id = runner.entry.id
        if report.is_complete != runner.lists_all_ends:
            runner.lists_all_ends = report.is_complete
            self._log(
                "runner lists all ended runs" if report.is_complete else "list of ended runs cut",
                runner=runner_id,
                last_end=runner.applied_end,
                runs=len(runner.runs),
                generation=self.generation,
            )
        if report.is_complete:
            self._partly_read.discard(runner_id)
        elif not runner.adopted and self.generation > 1:
            self._partly_read.add(runner_id)
        self.inherited.discard(runner_id)

    def mark_complete(self, cause: str) -> None:
        """Record that every runner that earlier owners may use is known to this owner."""
        self.is_complete = True
        self._log("fleet record completed", cause=cause, generation=self.generation)

    @property
    def is_half_settled(self) -> bool:
        """Whether half of the inherited runners have accepted this owner, or have ended."""
        return 2 * len(self.inherited) <= self._inherited_count

    def bound_inherited_leases(self, now_ms: float) -> None:
        """Set the expiry of inherited leases once half of the inherited runners are settled.

        A settled runner has accepted this owner, or its runs have ended. From then on the earlier
        owner can't prove its ownership again, so it stops extending leases.
        """
        if not self.is_complete and self.proof.covers_expiry(self._unlisted_expiry_ms):
            self.mark_complete("leases expired")
        if self.is_complete and self.is_half_settled:
            acting_ms = compute_lease_ms(self._settings.proof_validity_ms, self._settings)
            self._earlier_acts_until_ms = min(self._earlier_acts_until_ms, now_ms + acting_ms)
        bounded = self._unbounded & self.inherited
        if not self.is_complete or not bounded or not self.is_half_settled:
            return
        lease_ms = compute_inherited_lease_ms(self._earlier_bounds, self._settings)
        for runner_id in bounded:
            self.runners[runner_id].earlier_lease_expiry_ms = now_ms + lease_ms
        self._unbounded -= bounded
        self._log(
            "waiting for inherited leases",
            runners=len(bounded),
            long_leases=sum(
                self.runners[runner_id].long_lease_expiry_ms > now_ms + lease_ms
                for runner_id in bounded
            ),
            generation=self.generation,
            clock_ms=now_ms,
            lease_expiry_ms=now_ms + lease_ms,
        )

    def bound_leases_on_first_report(self, runner: Runner, report: RunnerReport) -> None:
        """Bound the leases on an incarnation that rejects all earlier calls from now on.

        An earlier owner may have called a runner that left the fleet record since.
        """
        if runner.adopted:
            return
        if runner.token_since_ms > float("-inf"):
            runner.earlier_lease_expiry_ms = float("-inf")
            self.set_long_lease(runner, report.received_ms)
            self._log(
                "runner rejects earlier calls",
                runner=runner.entry.id,
                born=report.started_unix_ms,
                token=runner.token,
                generation=self.generation,
                lease_expiry_ms=runner.long_lease_expiry_ms,
            )
            return
        if self.generation == 1:
            return
        if runner.entry.id in self._unbounded:
            self._unbounded.discard(runner.entry.id)
            runner.earlier_lease_expiry_ms = report.received_ms + compute_lease_ms(
                self._settings.run_lease_ms, self._settings
            )
        if self._is_young(report):
            self.set_long_lease(runner, report.received_ms)
        else:
            runner.long_lease_expiry_ms = float("-inf")

    def set_long_lease(self, runner: Runner, now_ms: float) -> None:
        """Record that a runner may have been given the longest lease until now."""
        runner.long_lease_ms = compute_longest_lease_ms(self._settings)
        runner.long_lease_expiry_ms = now_ms + runner.long_lease_ms

    def _is_young(self, report: RunnerReport) -> bool:
        """Return whether a late call of an earlier owner may have given an incarnation a lease.

        A deadline on the clock of the incarnation before may lie far ahead, which gives the longest
        lease. The runner's clock starts anew with each incarnation; its wall clock may be set back.
        """
        settings = self._settings
        span_ms = settings.late_call_ms + settings.max_run_lease_ms
        oldest_unix_ms = self._loaded_unix_ms - span_ms - settings.unix_clock_error_ms
        return report.clock_ms < span_ms or report.started_unix_ms > oldest_unix_ms

    def update_listed(self, entries: Iterable[RunnerEntry], now_ms: float) -> None:
        """Apply the latest list of registered runners.

        An entry proves no restart, as others may write entries too; a report of the runner does.
        """
        self.is_listed = True
        listed = {entry.id: entry for entry in entries}
        for runner_id, entry in listed.items():
            runner = self.runners.get(runner_id)
            if runner is None:
                runner = self.runners[runner_id] = Runner(entry=entry, token=self._token)
                if runner_id in self._removed_expiry_ms:
                    runner.earlier_lease_expiry_ms = self._removed_expiry_ms[runner_id]
                    self._require_token(runner)
                self._log("runner joined", runner=runner_id, rack=entry.rack)
            if entry.draining and not runner.entry.draining:
                self._log("runner is draining", runner=runner_id, remaining_ms=entry.remaining_ms)
            if runner_id in self.inherited:
                self._compare_incarnations(runner, entry)
            if entry != runner.entry or runner.cold_until_ms == float("-inf"):
                # The time counts from the entry, which the runner renews every 1.5 s.
                runner.cold_until_ms = now_ms + entry.cold_left_ms
            runner.entry = entry
            runner.evacuated = entry.availability_zone in self.evacuated_zones
            runner.is_registered = True
        for runner_id, runner in list(self.runners.items()):
            if runner_id in listed:
                continue
            if runner.is_registered:
                self._log("runner left the registry", runner=runner_id, runs=len(runner.runs))
            runner.is_registered = False
            expired = runner.ended or self.has_expired_leases(runner)
            # A runner that registers again must reject late starts of its earlier incarnation.
            may_start_late = self.unanswered_starts.has_runner(runner_id)
            if (
                not runner.runs
                and expired
                and not may_start_late
                and not self.has_unknown_runs(runner_id)
            ):
                del self.runners[runner_id]
                self._unbounded.discard(runner_id)
                self._retain_late_expiry(runner, now_ms)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Set the availability zones whose runners get no new runs."""
        self.evacuated_zones = zones
        for runner in self.runners.values():
            runner.evacuated = runner.entry.availability_zone in zones

    def _compare_incarnations(self, runner: Runner, entry: RunnerEntry) -> None:
        """Assume the longest lease if a runner may have restarted unknown to the earlier owner.

        That owner may have started runs there with deadlines on the clock of the incarnation in the
        record. An entry proves nothing, but a lease that is too long does no harm.
        """
        known_ms, started_ms = runner.entry.started_unix_ms, entry.started_unix_ms
        if not known_ms or not started_ms or known_ms == started_ms:
            return
        settings = self._settings
        runner.long_lease_ms = settings.late_call_ms + compute_longest_lease_ms(settings)
        runner.long_lease_expiry_ms = self._loaded_ms + runner.long_lease_ms
        self._log(
            "inherited runner may have restarted",
            runner=runner.entry.id,
            born=started_ms,
            earlier_born=known_ms,
            generation=self.generation,
            lease_expiry_ms=runner.long_lease_expiry_ms,
        )

    def _retain_late_expiry(self, removed: Runner, now_ms: float) -> None:
        """Retain until when a late call may extend leases on a removed runner.

        It may register again after a restart and take a deadline on its earlier clock.
        """
        settings = self._settings
        # The last call with a deadline was sent before the leases that it extended expired.
        expiry_ms = (
            removed.lease_expiry_ms + settings.late_call_ms + compute_longest_lease_ms(settings)
        )
        removed_id = removed.entry.id
        self._removed_expiry_ms[removed_id] = max(
            expiry_ms, self._removed_expiry_ms.get(removed_id, float("-inf"))
        )
        for runner_id in [
            key for key, end_ms in self._removed_expiry_ms.items() if end_ms < now_ms
        ]:
            del self._removed_expiry_ms[runner_id]

    def suspect_restart(self, runner: Runner) -> None:
        """Record that a runner's clock has started anew, before a report shows the restart.

        A run that it has started since may hold the longest lease.
        """
        self._log(
            "runner's clock started anew",
            runner=runner.entry.id,
            runs=len(runner.runs),
            born=runner.started_unix_ms,
            generation=self.generation,
        )
        self._discard_acceptance(runner)

    def _discard_acceptance(self, runner: Runner) -> None:
        """Record that a runner has accepted no token since its restart."""
        runner.adopted = False
        runner.first_accepted_ms, runner.accepted_ms = float("inf"), float("-inf")
        self._require_token(runner)

    def apply_restart(self, runner: Runner, started_unix_ms: int, proof: EndProof) -> list[Run]:
        """Apply a restart and return the runs that were lost with the earlier incarnation.

        A run that no report has listed stays, since its start command may have been executed by the
        new incarnation, or may still be. A stop that the earlier incarnation confirmed is void, so
        starts without a response have to be rejected again.
        """
        self._log(
            "runner restarted",
            runner=runner.entry.id,
            runs=len(runner.runs),
            born=started_unix_ms,
            earlier_born=runner.started_unix_ms,
            proof=proof.value,
            generation=self.generation,
        )
        lost = [run for run in runner.runs.values() if run.listed]
        # The lines of the lost runs name the incarnation on which they ran.
        for run in lost:
            self.remove_run(run, proof)
        for run in runner.runs.values():
            run.stop_confirmed_ms = float("inf")
        self.unanswered_starts.apply_restart(runner.entry.id)
        runner.started_unix_ms = started_unix_ms
        runner.applied_end = 0
        runner.pending_ends.clear()
        self._discard_acceptance(runner)
        # The next incarnation lists none of the earlier ends.
        self._partly_read.discard(runner.entry.id)
        return lost

    def _require_token(self, runner: Runner) -> None:
        """Use a higher token for a runner that may carry out calls to an earlier incarnation."""
        settings = self._settings
        runner.long_lease_expiry_ms = runner.token_since_ms = float("inf")
        runner.long_lease_ms = compute_longest_lease_ms(settings)
        if runner.runs or self.unanswered_starts.has_runner(runner.entry.id):
            # It may have runs before it rejects late calls. Any other run starts after a proof by
            # the store that is later than that, so a later owner's load comes after it, too.
            runner.long_lease_ms += settings.late_call_ms

    @property
    def needs_token(self) -> bool:
        """Whether a runner needs a higher token than this owner may use."""
        return any(
            runner.awaits_token and runner.token == self._token for runner in self.runners.values()
        )

    def set_token(self, token: int, now_ms: float) -> None:
        """Use a token, which a later owner's exceeds, for the runners that need a higher one."""
        self._token = token
        self.assign_tokens(now_ms)

    def assign_tokens(self, now_ms: float) -> None:
        """Use the highest token for the runners that need a higher one than their own."""
        for runner in self.runners.values():
            if runner.awaits_token and runner.token < self._token:
                runner.token, runner.token_since_ms = self._token, now_ms

    def list_long_leases(self, now_ms: float) -> dict[str, float]:
        """Return the runners that may hold a longer lease than those that this owner extends.

        Returns
        -------
        dict of str to float
            For each of them, the time in ms for which an owner that claims the cell from now on and
            doesn't reach it has to count the lease from its load.
        """
        return {
            runner_id: runner.long_lease_ms
            for runner_id, runner in self.runners.items()
            if runner.long_lease_expiry_ms > now_ms
        }

    def mark_long_leases_recorded(
        self, recorded: Mapping[str, float], *unsettled: Mapping[str, float]
    ) -> None:
        """Mark the long leases that a later owner finds in the store, see `list_long_leases`.

        Parameters
        ----------
        recorded : Mapping of str to float
            Those in the durable fleet record.
        *unsettled : Mapping of str to float
            Those in each later record that may be durable already.
        """
        for runner_id, runner in self.runners.items():
            runner.long_lease_recorded = all(
                leases.get(runner_id, 0.0) >= runner.long_lease_ms
                for leases in (recorded, *unsettled)
            )

    def mark_ended(
        self, runner: Runner, proof: EndProof, shown_ms: float = float("inf")
    ) -> list[Run]:
        """Mark a runner's incarnation as ended and return the runs that were lost.

        Parameters
        ----------
        runner : Runner
            The runner.
        proof : EndProof
            What shows the end.
        shown_ms : float, optional
            Local time at which it had ended at the latest. A run whose start is in flight, or was
            confirmed later, stays, since a later incarnation may have executed it.
        """
        runner.ended = True
        self.settle_runner(runner.entry.id)
        lost = [
            run
            for run in runner.runs.values()
            if run.confirmed_ms < shown_ms
            or (run.confirmed_ms == float("inf") and run.state is not RunState.STARTING)
        ]
        for run in lost:
            self.remove_run(run, proof)
        return lost

    def remove_runs(self, runner: Runner, proof: EndProof) -> list[Run]:
        """Remove all runs of a runner and return them."""
        runs = list(runner.runs.values())
        for run in runs:
            self.remove_run(run, proof)
        return runs

    def add_run(self, runner: Runner, step: StepRun, run_id: RunId, now_ms: float) -> Run:
        """Add a run that was commanded or was found on its runner.

        Raises
        ------
        DoubleRunError
            If the task already has a run, or two runs if its step is speculative.
        """
        index = run_id.key.index
        task = step.tasks.setdefault(index, Task())
        if len(task.runs) >= step.run_limit:
            raise DoubleRunError(
                f"{run_id} on {runner.entry.id} would run beside {task.runs[0].id}"
            )
        run = Run(
            id=run_id,
            step_run=step,
            runner_id=runner.entry.id,
            state=RunState.STARTING,
            start_sent_ms=now_ms,
            last_progress_ms=now_ms,
            last_unslowed_ms=now_ms,
            is_resumed=bool(task.checkpoint),
        )
        task.attempt = max(task.attempt, run_id.attempt)
        task.runs.append(run)
        runner.runs[run_id] = run
        step.job.run_count += 1
        runner.reserve(step.spec)
        step.runs_per_runner[runner.entry.id] = step.runs_per_runner.get(runner.entry.id, 0) + 1
        if index in step.waiting:
            step.waiting.remove(index)
        return run

    def remove_run(self, run: Run, proof: EndProof, outcome: str = "") -> None:
        """Remove a run that has ended or will never start.

        Parameters
        ----------
        run : Run
            The run.
        proof : EndProof
            What shows that it has ended or never starts.
        outcome : str, default=""
            Outcome of the run or of its start command, for the log; empty when unknown.
        """
        runner = self.runners[run.runner_id]
        if runner.runs.pop(run.id, None) is None:
            return
        run.step_run.job.run_count -= 1
        runner.reserve(run.step, -1)
        run.step_run.runs_per_runner[run.runner_id] -= 1
        run.task.runs.remove(run)
        self._log(
            "task freed",
            run=str(run.id),
            runner=run.runner_id,
            born=runner.started_unix_ms,
            generation=self.generation,
            proof=proof.value,
            outcome=outcome or "unknown",
            state=run.state.value,
            lease_expiry_ms=runner.lease_expiry_ms,
        )

    def find_run(self, runner_id: str, run_id: RunId) -> Run | None:
        """Return a run that is present on a runner."""
        runner = self.runners.get(runner_id)
        return runner.runs.get(run_id) if runner is not None else None

    def assert_capacity(self, runner: Runner) -> None:
        """Check that the runs on a runner don't exceed its declared capacity.

        Raises
        ------
        CapacityError
            If they exceed it.
        """
        entry = runner.entry
        if (
            runner.guaranteed_cpu > entry.cpu_milli
            or runner.memory_mb > entry.memory_mb
            or runner.gpus > entry.gpus
        ):
            raise CapacityError(
                f"{entry.id}: {runner.guaranteed_cpu} of {entry.cpu_milli} thousandths of a core, "
                f"{runner.memory_mb} of {entry.memory_mb} MB, {runner.gpus} of {entry.gpus} GPUs"
            )

    def set_lease_expiry(self, runner_id: str, lease_expiry_ms: float) -> None:
        """Set the local time by which the leases that calls to a runner extended expire."""
        runner = self.runners.get(runner_id)
        if runner is not None:
            runner.call_lease_expiry_ms = lease_expiry_ms

    def record_deadline(self, runner_id: str, deadline_ms: float, sent_ms: float) -> None:
        """Record the deadline that a report request gives to a runner, for logs."""
        runner = self.runners.get(runner_id)
        if runner is not None:
            runner.deadline_ms = deadline_ms
            runner.deadline_sent_ms = sent_ms

    def retain_lease_expiry(self, runner_id: str) -> None:
        """Retain a runner's lease expiry when another task takes over the calls to it."""
        runner = self.runners.get(runner_id)
        if runner is not None:
            runner.earlier_lease_expiry_ms = runner.lease_expiry_ms

    def has_expired_leases(self, runner: Runner) -> bool:
        """Return whether the leases of all runs on a runner are known to have expired."""
        return self.proof.covers_expiry(runner.lease_expiry_ms)

    def mark_recorded(self, recorded: Collection[str], *unsettled: Collection[str]) -> None:
        """Mark runners as contained in the fleet record in the store.

        Parameters
        ----------
        recorded : collection of str
            Runners in the durable record.
        *unsettled : collection of str
            Runners in each later record that may be durable already.
        """
        self.proof.set_recorded(recorded, *unsettled)
        for runner_id in recorded:
            runner = self.runners.get(runner_id)
            # A successor that reads a record without the runner wouldn't contact it.
            if runner is not None and all(runner_id in listed for listed in unsettled):
                runner.recorded = True

    def get_last_durable_end(self, runner_id: str) -> int:
        """Return the number of a runner's last ended run up to which all ends may be acknowledged.

        Their records are durable then, and no incarnation may carry out another start of the task.
        """
        runner = self.runners[runner_id]
        while runner.pending_ends:
            number, run_id, job, version = runner.pending_ends[0]
            if job.durable_version < version or self.unanswered_starts.has_task(run_id):
                return number - 1
            runner.pending_ends.popleft()
        return runner.applied_end

    def may_acknowledge_ends(self, now_ms: float) -> bool:
        """Return whether ends that are durable may be acknowledged.

        While an earlier owner acts, it may start the task of such an end again once the runner is
        gone. An end that is never acknowledged then counts as lost with its runner.
        """
        return now_ms >= self._earlier_acts_until_ms

    def has_pending_ends(self, runner_id: str) -> bool:
        """Return whether ended runs of a runner can't be acknowledged yet."""
        self.get_last_durable_end(runner_id)
        return bool(self.runners[runner_id].pending_ends)

    def has_unrecorded_ends(self, runner_id: str) -> bool:
        """Return whether ended runs of a runner await a durable record."""
        return any(
            job.durable_version < version
            for _, _, job, version in self.runners[runner_id].pending_ends
        )
