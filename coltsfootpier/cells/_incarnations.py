"""Detection of runners whose incarnation has ended, from the platform's listings of worker VMs.

When a tenth of the runners crash at once, or runners of earlier owners are gone when a new owner
takes over, their tasks have to wait until the leases of their runs have expired, 4 s after the last
contact; after a change of owner, so do all jobs accepted before it. The platform's listing
of worker VMs names the incarnation of the runner on each. A runner that it no longer names runs
nothing, while one that is only partitioned is still named.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from coltsfootpier.cells._fleet import Fleet, LogCallback
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import EndProof, Runner


class IncarnationTracker:
    """Applies listings of live runners and releases the runs of runners that have ended.

    Parameters
    ----------
    settings : CellSettings
        Limits.
    fleet : Fleet
        Runners of the cell.
    jobs : JobTable
        Jobs of the cell.
    log : callable
        Callback that logs one event with its fields.
    """

    def __init__(
        self, *, settings: CellSettings, fleet: Fleet, jobs: JobTable, log: LogCallback
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._jobs = jobs
        self._log = log
        # Worker VM of each runner that a listing has named, and the VMs that the last one lacked.
        self._vm_by_runner: dict[str, str] = {}
        self._missing_vms: frozenset[str] = frozenset()
        self._vms_listed_ms = float("-inf")
        # Whether the last listing named only runners that had accepted this owner.
        self._has_accepted_all = False

    def has_suspects(self, now_ms: float) -> bool:
        """Return whether a listing may show that a runner with work has ended.

        A listing also names the runners that a fleet record which can't be decoded may have listed,
        and the VM of each runner, which has to be known before the VM is gone.
        """
        fleet, settings = self._fleet, self._settings
        if not fleet.is_complete or self._is_vm_unknown(now_ms):
            return True
        return any(
            (
                runner.runs
                or fleet.has_unknown_runs(runner_id)
                or fleet.unanswered_starts.has_runner(runner_id)
            )
            and now_ms - runner.contact_ms > settings.suspect_after_ms
            for runner_id, runner in fleet.runners.items()
        )

    def _is_vm_unknown(self, now_ms: float) -> bool:
        """Return whether it is time to ask for the VMs of runners that no listing has named yet."""
        return now_ms - self._vms_listed_ms > self._settings.vm_retry_ms and any(
            runner.adopted and runner_id not in self._vm_by_runner
            for runner_id, runner in self._fleet.runners.items()
        )

    def apply_listing(
        self,
        live: Collection[str],
        *,
        requested_ms: float,
        runner_by_vm: Mapping[str, str] | None = None,
    ) -> bool:
        """Apply a complete listing.

        Parameters
        ----------
        live : collection of str
            Runners that are live on a worker VM that is up.
        requested_ms : float
            Local time before the listing was requested.
        runner_by_vm : Mapping of str to str, optional
            Runner that each listed VM names; empty for one that names none.

        Returns
        -------
        bool
            Whether a runner has ended.
        """
        self._check_completeness(live)
        if runner_by_vm is not None:
            self._retire_runners(runner_by_vm, requested_ms)
        ended = False
        for runner_id, runner in self._fleet.runners.items():
            is_unresponsive = requested_ms - runner.contact_ms > self._settings.suspect_after_ms
            if runner_id in live or not is_unresponsive:
                runner.unlisted_since_ms = float("inf")
            elif runner.unlisted_since_ms == float("inf"):
                runner.unlisted_since_ms = runner.last_unlisted_ms = requested_ms
            elif runner.unlisted_since_ms < requested_ms and self._fleet.proof.covers_end(
                runner.unlisted_since_ms
            ):
                # The pages of a listing are not one snapshot, so one listing may miss a runner.
                runner.ended_ms, runner.last_unlisted_ms = runner.last_unlisted_ms, requested_ms
                if runner.runs or not runner.ended:
                    self._end_runner(runner, requested_ms)
                    ended = True
        return ended

    def _retire_runners(self, runner_by_vm: Mapping[str, str], requested_ms: float) -> None:
        """Release the tasks that wait for a runner whose identifier isn't used any more.

        A runner is one life of its VM. It doesn't start again once its VM names another runner, or
        is gone. One listing may miss a VM, as its pages are not one snapshot.
        """
        self._vms_listed_ms = requested_ms
        self._vm_by_runner |= {runner_id: vm for vm, runner_id in runner_by_vm.items() if runner_id}
        starts = self._fleet.unanswered_starts
        for runner_id in starts.list_runners():
            vm = self._vm_by_runner.get(runner_id)
            if vm is None:
                continue
            is_replaced = runner_by_vm.get(vm, "") not in ("", runner_id)
            if is_replaced or (vm in self._missing_vms and vm not in runner_by_vm):
                starts.retire_runner(runner_id, requested_ms)
        known_vms = frozenset(self._vm_by_runner.values())
        self._missing_vms = known_vms - runner_by_vm.keys()
        self._vm_by_runner = {
            runner_id: vm
            for runner_id, vm in self._vm_by_runner.items()
            if runner_id in self._fleet.runners
        }

    def _check_completeness(self, live: Collection[str]) -> None:
        """Complete the fleet record once all live runners have rejected the earlier owners.

        A listing that names nothing shows no runner at all.
        """
        if self._fleet.is_complete:
            return
        runners = self._fleet.runners
        has_accepted_all = bool(live) and all(
            runner_id in runners and runners[runner_id].adopted for runner_id in live
        )
        if has_accepted_all and self._has_accepted_all:
            self._fleet.mark_complete("all listed runners responded")
        self._has_accepted_all = has_accepted_all

    def _end_runner(self, runner: Runner, requested_ms: float) -> None:
        runs = end_incarnation(
            runner,
            EndProof.RUNNER_UNLISTED,
            shown_ms=requested_ms,
            fleet=self._fleet,
            jobs=self._jobs,
        )
        self._log(
            "runner ended",
            runner=runner.entry.id,
            runs=runs,
            born=runner.started_unix_ms,
            generation=self._fleet.generation,
        )


def end_incarnation(
    runner: Runner,
    proof: EndProof,
    *,
    fleet: Fleet,
    jobs: JobTable,
    shown_ms: float = float("inf"),
) -> int:
    """End a runner's incarnation, queue its tasks again and return the number of its runs.

    `shown_ms` is the local time at which it had ended at the latest.
    """
    runs = fleet.mark_ended(runner, proof, shown_ms)
    for run in runs:
        jobs.requeue(run.id)
    return len(runs)
