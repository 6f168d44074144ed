"""State machine of a cell: its jobs, its runners and the runs placed on them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from coltsfootpier.cells._admission import (
    MAX_RETRY_AFTER_MS,
    Rejected,
    check_admission,
    check_long_running_admission,
)
from coltsfootpier.cells._copies import Copies
from coltsfootpier.cells._cordons import Cordons
from coltsfootpier.cells._estimates import Estimates
from coltsfootpier.cells._evacuation import Evacuations
from coltsfootpier.cells._fleet import Fleet, LogCallback
from coltsfootpier.cells._gauges import measure_gauges
from coltsfootpier.cells._health import (
    is_suspect,
    quarantine_runner,
    record_failure,
    record_success,
    record_work,
)
from coltsfootpier.cells._incarnations import IncarnationTracker
from coltsfootpier.cells._interference import InterferenceTable
from coltsfootpier.cells._job_memory import JobMemory
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells._learned import LearnedState
from coltsfootpier.cells._messages import (
    AdviceRequest,
    CellCommand,
    EndedRow,
    EndKind,
    PaceRun,
    RunId,
    RunnerEntry,
    RunnerReport,
    RunningRow,
    StartOutcome,
    StopRun,
)
from coltsfootpier.cells._pacing import adjust_paces
from coltsfootpier.cells._planning import Planner
from coltsfootpier.cells._progress import Progress
from coltsfootpier.cells._rejections import RejectedJobs
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._speeds import RunnerSpeeds
from coltsfootpier.cells._state import EndProof, Job, Run, Runner, RunState, StepRun, Task
from coltsfootpier.cells._unanswered_starts import InheritedStart
from coltsfootpier.cells._waiting import WaitingTimes
from coltsfootpier.jobs import JobRecord, JobSpec, JobState, Queue
from coltsfootpier.journal import ActionBounds


@attrs.frozen
class Accepted:
    """An accepted job; the caller gets the response once `version` of its record is durable."""

    job: Job
    version: int


class Cell:
    """State machine that owns jobs and the runners that execute them.

    Parameters
    ----------
    settings : CellSettings
        Limits and weights.
    generation : int
        Number of this ownership, from 1; each later owner has a higher one.
    log : callable
        Callback that logs one event with its fields; called for each decision.
    observe : callable, optional
        Callback that adds a latency in ms to the histogram with the given name.
    """

    def __init__(
        self,
        *,
        settings: CellSettings,
        generation: int,
        log: LogCallback,
        observe: Callable[[str, float], None] = lambda name, value_ms: None,
    ) -> None:
        self.settings = self._settings = settings
        self._log = log
        self.generation = generation
        self.counters: Counter[str] = Counter()
        self.fleet = Fleet(settings=settings, generation=generation, log=log)
        self.jobs = JobTable(
            log=log,
            counters=self.counters,
            observe=observe,
            max_due_tasks=settings.max_due_tasks,
            memory=JobMemory(settings.memory_mb, lambda: len(self.fleet.runners)),
        )
        self._interference = InterferenceTable(settings)
        self._estimates = Estimates(self._interference, lateness_factor=settings.admit_late)
        self._speeds = RunnerSpeeds(settings=settings, log=log, counters=self.counters)
        self._copies = Copies(
            settings=settings,
            estimates=self._estimates,
            runners=self.fleet.runners,
            count_open_starts=self.fleet.unanswered_starts.count_without_run,
            log=log,
            counters=self.counters,
        )
        self._planner = Planner(
            settings=settings,
            generation=generation,
            jobs=self.jobs,
            fleet=self.fleet,
            estimates=self._estimates,
            interference=self._interference,
            copies=self._copies,
            counters=self.counters,
            log=log,
            observe=observe,
        )
        self.incarnations = IncarnationTracker(
            settings=settings, fleet=self.fleet, jobs=self.jobs, log=log
        )
        self.cordons = Cordons(fleet=self.fleet, jobs=self.jobs, log=log)
        self.evacuations = Evacuations(
            settings=settings,
            fleet=self.fleet,
            jobs=self.jobs,
            estimates=self._estimates,
            log=log,
        )
        self._rejected_jobs = RejectedJobs()
        self._waiting_times = WaitingTimes(settings, self.counters)
        self._commands: list[CellCommand] = []
        self._last_check_ms = float("-inf")

    # Jobs

    def load(
        self,
        records: Iterable[JobRecord],
        fleet: Iterable[RunnerEntry],
        *,
        now_ms: float,
        unix_ms: float,
        bounds: ActionBounds | None = None,
        is_fleet_complete: bool = True,
        long_leases: Mapping[str, float] | None = None,
        unanswered: Iterable[InheritedStart] = (),
    ) -> None:
        """Load the jobs and runners recorded by earlier owners.

        Parameters
        ----------
        records : iterable of JobRecord
            Records of all jobs.
        fleet : iterable of RunnerEntry
            Runners that earlier owners may have used. No task of an inherited job starts before
            each of them has responded or the leases of all its runs have expired.
        now_ms, unix_ms : float
            Local time and Unix time.
        bounds : ActionBounds, optional
            Bounds of all earlier owners, if they are known.
        is_fleet_complete : bool, default=True
            Whether `fleet` is known to list all of these runners.
        long_leases : Mapping of str to float, optional
            Times for which runners of `fleet` may hold a longer lease than usual.
        unanswered : iterable of InheritedStart, optional
            Starts without a response that the earlier owner has recorded.
        """
        self.fleet.add_inherited(
            fleet,
            now_ms,
            unix_ms=unix_ms,
            bounds=bounds,
            is_complete=is_fleet_complete,
            long_leases=long_leases,
        )
        self.fleet.unanswered_starts.inherit(unanswered, now_ms)
        for record in records:
            job = self.jobs.add(record, now_ms, durable=True)
            # The objective counts from the acceptance, whichever owner accepted the job.
            job.arrived_ms = now_ms - max(0.0, unix_ms - record.accepted_unix_ms)
            if job.is_open:
                self.jobs.inherited.add(record.id)

    def export_learned(self) -> LearnedState:
        """Return the learned state of images and queues, for the next owner."""
        return self._estimates.export()

    def restore_learned(self, learned: LearnedState) -> None:
        """Restore the learned state of images and queues from an earlier owner."""
        self._estimates.restore(learned)

    def set_queues(self, queues: Mapping[str, Queue], *, version: int = 0) -> None:
        """Apply the queues of a version of the configuration."""
        self.jobs.set_queues(queues, version=version)

    def submit(
        self, job_id: str, queue: Queue, spec: JobSpec, *, now_ms: float, unix_ms: float
    ) -> Accepted | Rejected:
        """Accept a job permanently or reject it; a known identifier returns the existing job.

        Parameters
        ----------
        job_id : str
            Identifier that the caller chose.
        queue : Queue
            Queue of the job.
        spec : JobSpec
            What to run; already validated with `find_job_error`.
        now_ms, unix_ms : float
            Local time and Unix time.
        """
        known = self.jobs.jobs.get(job_id)
        if known is not None:
            return Accepted(known, known.version)
        if not self._rejected_jobs.is_repeated(job_id, now_ms):
            self._estimates.record_submission(queue, spec, now_ms)
        rejection = self._check_admission(job_id, queue, spec, now_ms)
        if rejection is not None:
            self.counters[f"refused_{rejection.reason}"] += 1
            self.counters[f"refused_{rejection.reason}_p{min(9, queue.priority)}"] += 1
            self._rejected_jobs.record(
                job_id,
                self._estimates.measure_demand(queue, spec),
                # Without capacity in sight the caller keeps no place before others.
                rejection.retry_after_ms if rejection.is_expected else float("-inf"),
                now_ms=now_ms,
            )
            return rejection
        self._rejected_jobs.settle(job_id)
        record = JobRecord(
            id=job_id,
            queue=queue.name,
            service=queue.service,
            accepted_unix_ms=unix_ms,
            spec=spec,
        )
        job = self.jobs.add(record, now_ms, durable=False, queue=queue)
        self.jobs.mark_dirty(job)
        self.counters["accepted"] += 1
        return Accepted(job, job.version)

    def _check_admission(
        self, job_id: str, queue: Queue, spec: JobSpec, now_ms: float
    ) -> Rejected | None:
        settings = self._settings
        tasks = spec.task_count
        waiting = sum(len(step.waiting) for step in self.jobs.ready.values())
        if waiting + tasks > settings.max_open_tasks:
            return Rejected("tasks", settings.tasks_retry_ms)
        if not self.jobs.memory.has_room_for(spec):
            is_scheduled = spec.occurrences > 0
            return Rejected(
                "memory",
                settings.scheduled_retry_ms if is_scheduled else settings.memory_retry_ms,
            )
        # A new owner that doesn't know its runners yet has no reason to reject a job.
        if spec.occurrences or not self.fleet.is_listed:
            return None
        if self.evacuations.excludes(queue, spec):
            # Only the operators know when the zone is available again.
            return Rejected("capacity", MAX_RETRY_AFTER_MS)
        if any(step.long_running for step in spec.steps):
            return self._check_long_running_admission(queue, spec, now_ms)
        critical_path_ms = self._estimates.estimate_critical_path_ms(queue.name, spec.steps)
        objective_ms = queue.stretch * critical_path_ms + queue.objective_ms
        due = self._rejected_jobs.sum_due(
            job_id, service=queue.service, priority=queue.priority, now_ms=now_ms
        )
        if not any(step.fills for step in spec.steps):
            delays = self._estimates.estimate_short_delays(
                self.jobs.jobs.values(),
                self.fleet.runners.values(),
                queue=queue,
                spec=spec,
                due=due,
                now_ms=now_ms,
            )
        else:
            self._measure_best_effort(now_ms)
            delays = self._estimates.estimate_best_effort_delays(queue, spec, due)
        rejection = check_admission(
            delays,
            critical_path_ms=critical_path_ms,
            objective_ms=objective_ms,
            lateness_factor=settings.admit_late,
            is_expected=self._rejected_jobs.is_expected(job_id, now_ms),
        )
        if rejection is not None and self._estimates.fits_now(
            queue,
            spec,
            self._planner.usable_runners.get(queue.service, ()),
            self.jobs.ready.values(),
        ):
            rejection = None
        if rejection is None:
            self._estimates.record_acceptance(queue, spec)
        return rejection

    def _check_long_running_admission(
        self, queue: Queue, spec: JobSpec, now_ms: float
    ) -> Rejected | None:
        settings = self._settings
        held_cpu = self.jobs.measure_long_running_cpu(queue.service)
        capacity = self._estimates.measure_long_running_capacity(
            queue,
            self.fleet.runners.values(),
            held_cpu=held_cpu,
            held_mb=self.jobs.measure_long_running_memory_mb(queue.service),
            now_ms=now_ms,
            deviations=settings.reserve_deviations,
        )
        return check_long_running_admission(
            capacity,
            self._estimates.convert_to_pieces(
                queue.service, spec.long_running_cpu, spec.long_running_memory_mb
            ),
            retry_ms=settings.long_running_retry_ms,
        )

    def _measure_best_effort(self, now_ms: float) -> None:
        self._estimates.measure_best_effort(
            self.jobs.jobs.values(), self.fleet.runners.values(), now_ms
        )

    def cancel(self, job_id: str, now_ms: float) -> Job | None:
        """Cancel a job and stop its tasks; return None for an unknown job."""
        job = self.jobs.jobs.get(job_id)
        if job is not None and job.is_open:
            self._close_job(job, JobState.CANCELLED, "cancelled by the caller", now_ms)
        return job

    def _close_job(self, job: Job, state: JobState, reason: str, now_ms: float) -> None:
        for run in self.jobs.close(job, state, reason, now_ms):
            self._stop_run(run, reason, now_ms)

    # Runners

    def set_runners(self, entries: Iterable[RunnerEntry], now_ms: float) -> None:
        """Apply the latest list of registered runners."""
        if not self.fleet.is_listed:
            self._estimates.expire_measurement()
        self.fleet.update_listed(entries, now_ms)
        for runner in self.fleet.runners.values():
            if runner.entry.draining:
                self._evacuate_runner(runner, now_ms)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Apply the availability zones whose evacuation operators request, before each plan."""
        if self.evacuations.set_zones(zones):
            # The capacity has changed since the last measurement.
            self._estimates.expire_measurement()

    def _evacuate_runner(self, runner: Runner, now_ms: float) -> None:
        """Stop the long-running tasks of a draining runner so that they move before it leaves."""
        for run in runner.runs.values():
            if run.step.long_running and run.state is RunState.RUNNING:
                self._stop_run(run, "runner is draining", now_ms)

    def apply_report(self, runner_id: str, report: RunnerReport, now_ms: float) -> None:
        """Apply a runner's report of its present and ended runs."""
        runner = self.fleet.runners.get(runner_id)
        if runner is None:
            return
        if runner.started_unix_ms and report.started_unix_ms != runner.started_unix_ms:
            # The wall clock of a VM may be set back, so the times of start don't tell which
            # incarnation is the later one. The order of request and latest report does.
            if not report.started_unix_ms or report.sent_ms < runner.contact_ms:
                return
            for run in self.fleet.apply_restart(
                runner, report.started_unix_ms, EndProof.RESTART_IN_REPORT
            ):
                self.jobs.requeue(run.id)
        runner.started_unix_ms = report.started_unix_ms
        # Calls to an earlier incarnation may be carried out until a request with the runner's token
        # has been answered.
        rejects_earlier_calls = report.sent_ms > runner.token_since_ms
        if rejects_earlier_calls and not runner.adopted:
            self._estimates.expire_measurement()
            self._log(
                "runner responded",
                runner=runner_id,
                runs=len(report.running),
                born=report.started_unix_ms,
                generation=self.generation,
            )
        runner.contact_ms = report.received_ms
        if rejects_earlier_calls:
            runner.accepted_ms = max(runner.accepted_ms, report.sent_ms)
            runner.first_accepted_ms = min(runner.first_accepted_ms, report.received_ms)
        runner.full = runner.ended = False
        for row in sorted(report.ended, key=lambda row: row.number):
            if row.number > runner.applied_end:
                self._apply_end(runner, row, now_ms)
                # An end that could not be applied is never acknowledged to its runner.
                runner.applied_end = row.number
        present = {row.run for row in report.running}
        # A listed run may take the place of one that is gone.
        if report.is_complete:
            self._remove_absent_runs(runner, present, report.sent_ms)
        for row in report.running:
            self._apply_running_row(runner, row, now_ms)
        if rejects_earlier_calls:
            self.fleet.bound_leases_on_first_report(runner, report)
            if report.running and runner.lease_expiry_ms <= report.received_ms:
                # The listed runs show that their leases were extended later than assumed.
                self.fleet.set_long_lease(runner, report.received_ms)
        self.fleet.unanswered_starts.apply_report(runner_id, report, present, now_ms)
        runner.unneeded_runs &= present
        self.fleet.record_report(runner, report)
        runner.adopted = rejects_earlier_calls
        self._speeds.observe(runner, now_ms)
        if self._interference.observe(runner, now_ms):
            self._commands.extend(
                adjust_paces(
                    runner,
                    self._interference,
                    lambda step: self._estimates.rank(step, now_ms),
                    now_ms=now_ms,
                    harm_stop_ms=self._settings.harm_stop_ms,
                )
            )

    def _remove_absent_runs(self, runner: Runner, present: set[RunId], sent_ms: float) -> None:
        """Remove the runs that a report should list and doesn't.

        It lists all ended runs, and was requested after a run was confirmed present, or after its
        start was ruled out.
        """
        for run in list(runner.runs.values()):
            should_be_listed = run.confirmed_ms < sent_ms or run.stop_confirmed_ms < sent_ms
            if run.id not in present and should_be_listed:
                self.fleet.remove_run(run, EndProof.ABSENT_FROM_REPORT)
                self.jobs.requeue(run.id)

    def _apply_running_row(self, runner: Runner, row: RunningRow, now_ms: float) -> None:
        run = runner.runs.get(row.run) or self._adopt_run(runner, row, now_ms)
        if run is None:
            return
        if run.state in (RunState.STARTING, RunState.UNSURE):
            run.state = RunState.RUNNING
        run.listed = True
        run.step_run.job.started = True
        run.step_run.job.idle_since_ms = float("inf")
        if run.confirmed_ms == float("inf"):
            run.confirmed_ms = run.last_progress_ms = now_ms
        if row.percent != run.percent or run.pace == 0:
            run.last_progress_ms = now_ms
        run.percent = row.percent
        self._record_progress(run, now_ms)
        run.measured = row.measured
        if run.step.long_running:
            record_work(runner, run, now_ms, self._settings)
        if row.checkpoint:
            if row.checkpoint != run.task.checkpoint:
                run.checkpoint_ms = now_ms
            run.task.checkpoint = row.checkpoint

    def _record_progress(self, run: Run, now_ms: float) -> None:
        if run.step.long_running:
            return
        if run.progress is None:
            run.progress = Progress(now_ms, run.percent)
        else:
            run.progress.add(now_ms, run.percent)

    def _adopt_run(self, runner: Runner, row: RunningRow, now_ms: float) -> Run | None:
        """Adopt an unknown run, or stop it when its task doesn't need it."""
        step = self.jobs.find_step(row.run)
        needed = (
            step is not None
            and step.job.is_open
            and row.run.key not in step.job.record.done
            and step.count_runs(row.run.key.index) < step.run_limit
        )
        if not needed:
            if row.run not in runner.unneeded_runs:
                runner.unneeded_runs.add(row.run)
                self._log("unneeded run listed", **self._describe_row(runner, row))
            self._commands.append(
                StopRun(runner_id=runner.entry.id, run=row.run, reason="run is not needed")
            )
            return None
        self._log("run adopted", **self._describe_row(runner, row))
        run = self.fleet.add_run(runner, step, row.run, now_ms)
        run.adopted = True
        self._copies.record_adoption(run, now_ms)
        return run

    def _describe_row(self, runner: Runner, row: RunningRow | EndedRow) -> dict[str, object]:
        """Return log fields about a run in a report."""
        return {
            "run": str(row.run),
            "runner": runner.entry.id,
            "born": runner.started_unix_ms,
            "generation": self.generation,
        }

    def _apply_end(self, runner: Runner, row: EndedRow, now_ms: float) -> None:
        run = runner.runs.get(row.run)
        if run is not None:
            self.fleet.remove_run(run, EndProof.END_LISTED, row.outcome.value)
        else:
            # A run of an earlier owner, or one whose task was freed before.
            self._log(
                "unknown run ended", **self._describe_row(runner, row), outcome=row.outcome.value
            )
        self.counters[f"ended_{row.outcome.value}"] += 1
        step = self.jobs.find_step(row.run)
        if step is None or not step.job.is_open:
            self._retain_end_of_closed_job(runner, row)
            return
        job = step.job
        job.started = True
        if row.checkpoint:
            step.tasks.setdefault(row.run.key.index, Task()).checkpoint = row.checkpoint
        if row.outcome is EndKind.DONE:
            record_success(runner)
            # The start time of an adopted run is unknown.
            if run is not None and not run.adopted and step.spec.estimate_ms:
                self._estimates.record_duration(step, now_ms - run.start_sent_ms)
            if run is not None:
                if run.progress is not None:
                    run.progress.add(now_ms, 100.0)
                    self._speeds.observe_run(runner, run, now_ms)
                if not (run.adopted or run.is_resumed) and run.pace == 100:
                    step.record_duration(now_ms - run.start_sent_ms)
                if row.run.key not in job.record.done:
                    self._copies.record_win(run, now_ms)
            for unneeded in self.jobs.finish_task(step, row.run.key, now_ms):
                self._stop_run(unneeded, "no longer needed", now_ms)
            runner.pending_ends.append((row.number, row.run, job, job.version))
        elif row.outcome is EndKind.FAILED:
            self._apply_failed_run(runner, step, row, run, now_ms)
            runner.pending_ends.append((row.number, row.run, job, job.version))
        if run is not None:
            self.jobs.requeue(run.id)

    def _retain_end_of_closed_job(self, runner: Runner, row: EndedRow) -> None:
        """Leave an end unacknowledged until the final state of its job is durable.

        Until then the next owner may find the job open, and would start the task again.
        """
        job = self.jobs.jobs.get(row.run.job_id)
        if job is not None and row.outcome in (EndKind.DONE, EndKind.FAILED):
            runner.pending_ends.append((row.number, row.run, job, job.version))

    def _apply_failed_run(
        self, runner: Runner, step: StepRun, row: EndedRow, run: Run | None, now_ms: float
    ) -> None:
        job = step.job
        step.tasks.setdefault(row.run.key.index, Task()).avoided_runners.add(runner.entry.id)
        if run is None or not run.is_proven:
            record_failure(runner, job.record.id)
            if is_suspect(runner, self._settings):
                self._quarantine_runner(runner, now_ms, "failures")
        if step.spec.long_running:
            return
        failures = self.jobs.count_failure(step, row.run.key, row.run.attempt)
        self._log("run failed", run=str(row.run), runner=runner.entry.id, failures=failures)
        # The copy of a failed run may still end `done`.
        is_copied = step.spec.speculative and step.has_runs(row.run.key.index)
        if failures >= job.queue.max_attempts and not is_copied:
            self._close_job(job, JobState.FAILED, "attempts used up", now_ms)

    def _quarantine_runner(self, runner: Runner, now_ms: float, reason: str) -> None:
        if quarantine_runner(runner, self._list_peer_groups(runner), now_ms, self._settings):
            self._log("runner quarantined", runner=runner.entry.id, reason=reason)

    def _list_peer_groups(self, runner: Runner) -> list[list[Runner]]:
        """Return the sets of runners with this one to which open steps are limited."""
        service = runner.entry.service
        peers = [
            other
            for other in self.fleet.runners.values()
            if other.is_registered and other.entry.service == service and not other.evacuated
        ]
        required_labels = {
            step.required_label
            for job in self.jobs.jobs.values()
            if job.is_open and job.record.spec is not None and job.queue.service == service
            for step in job.record.spec.steps
        }
        return [peers] + [
            [other for other in peers if label in other.entry.labels]
            for label in required_labels.intersection(runner.entry.labels)
        ]

    def _stop_run(self, run: Run, reason: str, now_ms: float) -> None:
        if run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            run.stopping_since_ms = now_ms
            self._queue_stop(run, now_ms)
            self._log("stopping run", run=str(run.id), runner=run.runner_id, reason=reason)

    def _queue_stop(self, run: Run, now_ms: float) -> None:
        run.stop_sent_ms = now_ms
        self._commands.append(StopRun(runner_id=run.runner_id, run=run.id, reason="stopping"))

    # Responses to commands

    def handle_start_response(
        self, runner_id: str, run_id: RunId, outcome: StartOutcome, now_ms: float
    ) -> None:
        """Apply the outcome of a start command to its run."""
        self.counters[f"start_{outcome.value}"] += 1
        self.fleet.unanswered_starts.settle(
            run_id, now_ms, answered=outcome is not StartOutcome.UNKNOWN
        )
        run = self.fleet.find_run(runner_id, run_id)
        if run is None:
            return
        runner = self.fleet.runners[runner_id]
        if outcome is StartOutcome.STARTED:
            if run.state in (RunState.STARTING, RunState.UNSURE):
                run.state = RunState.RUNNING
            run.confirmed_ms = min(run.confirmed_ms, now_ms)
            run.last_progress_ms = now_ms
            run.step_run.job.started = True
            run.step_run.job.idle_since_ms = float("inf")
            if run.is_aged and 0 <= run.pace < 100:
                self._commands.append(PaceRun(runner_id=runner_id, run=run_id, percent=run.pace))
            return
        if outcome is StartOutcome.UNKNOWN:
            if run.state is RunState.STARTING:
                run.state = RunState.UNSURE
            if run.is_aged:
                # It may run at full pace; the next report leads to a command.
                run.pace = -1
            return
        if self.fleet.unanswered_starts.find(run_id) is not None:
            # An earlier call of the same start may still be carried out.
            self._log(
                "start retry rejected", run=str(run_id), runner=runner_id, reason=outcome.value
            )
            if run.state is RunState.STARTING:
                run.state = RunState.UNSURE
            return
        if outcome is StartOutcome.TICKET:
            run.step_run.tickets.pop(runner_id, None)
        if outcome in (StartOutcome.ROOM, StartOutcome.REFUSED, StartOutcome.WITHHELD):
            runner.full = True
        if outcome is StartOutcome.REFUSED:
            record_failure(runner, run_id.job_id)
            run.task.avoided_runners.add(runner_id)
        self._log("start rejected", run=str(run_id), runner=runner_id, reason=outcome.value)
        self.fleet.remove_run(run, EndProof.START_REJECTED, outcome.value)
        self.jobs.requeue(run_id)

    def apply_advice(
        self, request: AdviceRequest, tickets: Mapping[str, str], valid_ms: float, now_ms: float
    ) -> None:
        """Apply the response of the service that approves runners to an advice request.

        Parameters
        ----------
        request : AdviceRequest
            The request that got this response.
        tickets : Mapping of str to str
            Ticket of each approved runner. The other runners of the request are never asked for
            the step again.
        valid_ms : float
            Validity of the tickets, counted from before the request was sent.
        now_ms : float
            Local time before the request was sent.
        """
        self._planner.apply_advice(request, tickets, valid_ms, now_ms)

    def handle_stop_response(
        self, runner_id: str, run_id: RunId, now_ms: float, *, sent_ms: float
    ) -> None:
        """Record that a runner stopped a run, or will reject its start from now on.

        Parameters
        ----------
        runner_id : str
            The runner.
        run_id : RunId
            The run.
        now_ms : float
            Local time.
        sent_ms : float
            Local time before the stop was sent. The response doesn't name the incarnation, so a
            stop that was sent before the first report of the present one proves nothing.
        """
        runner = self.fleet.runners.get(runner_id)
        if runner is None or sent_ms < runner.first_accepted_ms:
            return
        self.fleet.unanswered_starts.confirm_stop(run_id, now_ms)
        run = runner.runs.get(run_id)
        if run is not None:
            run.stop_confirmed_ms = min(run.stop_confirmed_ms, now_ms)

    def handle_replaced_runner(self, runner_id: str, address: str, now_ms: float) -> None:
        """Record that another runner responds at a runner's address and rejects late starts."""
        self.fleet.unanswered_starts.retire_address(runner_id, address, now_ms)

    def handle_pace_failure(self, runner_id: str, run_id: RunId) -> None:
        """Mark the pace of a run as unknown, so that it is commanded again."""
        run = self.fleet.find_run(runner_id, run_id)
        if run is not None:
            run.pace = -1

    # Planning

    def record_confirmation(self, sent_ms: float) -> None:
        """Record that the store showed that no later owner existed at a local time."""
        self.fleet.proof.record_confirmation(sent_ms)

    def is_ownership_proven(self, now_ms: float) -> bool:
        """Return whether leases may be extended and runs started; see `OwnershipProof`."""
        return self.fleet.proof.is_valid(now_ms)

    def compute_extension_ms(self, now_ms: float) -> float:
        """Return the time by which leases may be extended while the ownership is proven."""
        settings = self._settings
        late_ms = max(0.0, self.fleet.proof.measure_age_ms(now_ms) - settings.lease_slack_ms)
        return settings.run_lease_ms - late_ms

    def plan(self, now_ms: float, unix_ms: float) -> list[CellCommand]:
        """Return the commands that are due now.

        Parameters
        ----------
        now_ms, unix_ms : float
            Local time and Unix time.
        """
        self.jobs.begin_due_occurrences(now_ms, unix_ms)
        is_check_due = now_ms - self._last_check_ms >= self._settings.check_period_ms
        if is_check_due:
            self._last_check_ms = now_ms
            self.fleet.bound_inherited_leases(now_ms)
            self.fleet.unanswered_starts.remove_expired(now_ms)
            for runner in self.fleet.runners.values():
                self._enforce_time_limits(runner, now_ms)
                self._speeds.expire(runner, now_ms)
        self._measure_best_effort(now_ms)
        self._close_exhausted_jobs(now_ms)
        self.evacuations.release_places(now_ms)
        if self.is_ownership_proven(now_ms):
            self._planner.collect_usable_runners(now_ms)
            self._commands.extend(self._planner.place_tasks(now_ms))
            for run in self._planner.choose_preempted_runs(now_ms):
                self._stop_run(run, "preempted by an urgent task", now_ms)
            if self._waiting_times.is_due(now_ms):
                self._waiting_times.sample(
                    self.jobs.ready.values(), self._planner.usable_runners, now_ms
                )
            if is_check_due:
                self._move_runs(now_ms)
                self._commands.extend(self._planner.place_copies(now_ms))
        if is_check_due:
            self._copies.settle(now_ms)
        commands, self._commands = self._commands, []
        return commands

    def _close_exhausted_jobs(self, now_ms: float) -> None:
        """Close the jobs with a waiting task whose last run ended after its attempts were used up.

        That run was beside the one that failed last, and neither ended `done` nor failed. An
        earlier owner's run may still go on while its runners aren't settled.
        """
        for step in list(self.jobs.ready.values()):
            if not (step.spec.speculative and step.waiting and step.job.record.failures):
                continue
            if self.fleet.may_have_unknown_runs and step.job.record.id in self.jobs.inherited:
                continue
            if any(step.has_used_up(index) for index in step.waiting):
                self._close_job(step.job, JobState.FAILED, "attempts used up", now_ms)

    def choose_report_wait_ms(self, runner_id: str, now_ms: float, longest_ms: float) -> float:
        """Return how long a report request to a runner may wait, in ms.

        Parameters
        ----------
        runner_id : str
            The runner.
        now_ms : float
            Local time.
        longest_ms : float
            Time without a reason to shorten it, in ms.
        """
        runner = self.fleet.runners.get(runner_id)
        if runner is None:
            return longest_ms
        return self._copies.choose_report_wait_ms(runner, now_ms, longest_ms)

    def _move_runs(self, now_ms: float) -> None:
        # Each selection must see the runs that the previous one stopped.
        for choose, reason in (
            (self._choose_evacuated_run, "moved off a runner before maintenance of its VM"),
            (self._choose_run_in_evacuated_zone, "moved out of an evacuated zone"),
            (self._planner.choose_slowed_run, "moved away from serving tasks"),
            (self._planner.choose_displaced_run, "moved to free capacity for a long-running task"),
            (self._planner.choose_regrouped_run, "regrouped with other serving tasks"),
        ):
            run = choose(now_ms)
            if run is not None:
                self._stop_run(run, reason, now_ms)

    def _choose_evacuated_run(self, now_ms: float) -> Run | None:
        return self.cordons.choose_evacuated_run(
            self._planner.has_alternative, now_ms, period_ms=self._settings.make_room_period_ms
        )

    def _choose_run_in_evacuated_zone(self, now_ms: float) -> Run | None:
        run = self.evacuations.choose_run(self._planner.find_alternative, now_ms)
        if run is not None:
            self.counters["evacuated_runs_moved"] += 1
        return run

    def _enforce_time_limits(self, runner: Runner, now_ms: float) -> None:
        settings = self._settings
        if self.fleet.has_expired_leases(runner):
            inherited = self.fleet.has_unknown_runs(runner.entry.id)
            if runner.runs or inherited:
                self._log(
                    "run leases expired",
                    runner=runner.entry.id,
                    runs=len(runner.runs),
                    inherited=inherited,
                    born=runner.started_unix_ms,
                    generation=self.generation,
                    deadline_ms=runner.deadline_ms,
                    deadline_age_ms=now_ms - runner.deadline_sent_ms,
                    lease_expiry_ms=runner.lease_expiry_ms,
                    expired_ms=now_ms - runner.lease_expiry_ms,
                )
            for run in self.fleet.remove_runs(runner, EndProof.LEASE_EXPIRED):
                self.jobs.requeue(run.id)
            self.fleet.settle_runner(runner.entry.id)
        self._reject_late_starts(runner, now_ms)
        stalled: list[Run] = []
        for run in runner.runs.values():
            if (
                run.state is RunState.UNSURE
                and now_ms - run.start_sent_ms > settings.start_retry_ms
            ):
                self._retry_start(runner, run, now_ms)
            if run.state is RunState.STOPPING:
                if now_ms - run.stop_sent_ms >= settings.stop_retry_ms:
                    self._queue_stop(run, now_ms)
            elif self._is_stalled(runner, run, now_ms):
                stalled.append(run)
        for run in stalled:
            run.task.avoided_runners.add(runner.entry.id)
            self._stop_run(run, "no progress", now_ms)
        if len(stalled) >= settings.suspect_stalls:
            self._quarantine_runner(runner, now_ms, "stalled runs")

    def _retry_start(self, runner: Runner, run: Run, now_ms: float) -> None:
        """Send an unanswered start command once more, or stop its run."""
        if not self._planner.may_retry_start(run, now_ms):
            self._stop_run(run, "no response to start command", now_ms)
            return
        is_silent = now_ms - runner.contact_ms > self._settings.suspect_after_ms
        if not is_silent and self.is_ownership_proven(now_ms):
            self._commands.append(self._planner.retry_start(run, now_ms))

    def _reject_late_starts(self, runner: Runner, now_ms: float) -> None:
        if now_ms - runner.late_starts_stopped_ms < self._settings.stop_retry_ms:
            return
        for run_id in self.fleet.unanswered_starts.list_unrejected(runner):
            runner.late_starts_stopped_ms = now_ms
            self._commands.append(
                StopRun(runner_id=runner.entry.id, run=run_id, reason="start without a response")
            )

    def _is_stalled(self, runner: Runner, run: Run, now_ms: float) -> bool:
        settings = self._settings
        if run.state is not RunState.RUNNING or run.percent >= 100 or run.pace < 100:
            return False
        if now_ms - runner.contact_ms > settings.contact_fresh_ms:
            return False
        limit_ms = settings.startup_ms if run.step.long_running else settings.stall_ms
        return now_ms - run.last_progress_ms > limit_ms

    def summarise(self) -> dict[str, int]:
        """Return the gauge values by name, for logs and metrics."""
        return measure_gauges(self.jobs, self.fleet)
