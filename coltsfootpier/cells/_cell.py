"""The decisions of a cell: its jobs, its runners, and what runs where."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from coltsfootpier.cells._admission import Rejected, judge_job
from coltsfootpier.cells._cordons import Cordons
from coltsfootpier.cells._estimates import Estimates
from coltsfootpier.cells._fleet import Event, Fleet
from coltsfootpier.cells._gauges import measure_gauges
from coltsfootpier.cells._health import is_suspect, record_failure, record_success, set_aside
from coltsfootpier.cells._interference import PressureTable
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells._learned import Learned
from coltsfootpier.cells._lives import LifeTracker
from coltsfootpier.cells._messages import (
    AdviceRequest,
    CellCommand,
    EndedRow,
    EndKind,
    RunId,
    RunnerEntry,
    RunnerReport,
    RunningRow,
    StartOutcome,
    StopRun,
)
from coltsfootpier.cells._pacing import adjust_pace
from coltsfootpier.cells._planning import Planner
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Job, Run, Runner, RunState, StepRun, Task
from coltsfootpier.jobs import JobRecord, JobSpec, JobState, Queue


@attrs.frozen
class Accepted:
    """A job that is taken once its record is durable."""

    job: Job
    version: int


class Cell:
    """State machine that owns jobs and the runners that run them.

    Parameters
    ----------
    settings : CellSettings
        Limits and weights.
    generation : int
        Number of this ownership, from 1; later owners have higher ones.
    log : callable
        Takes an event's name and fields; called for each decision.
    observe : callable, optional
        Takes the name of a histogram and a latency in ms.
    """

    def __init__(
        self,
        *,
        settings: CellSettings,
        generation: int,
        log: Event,
        observe: Callable[[str, float], None] = lambda name, value_ms: None,
    ) -> None:
        self._settings = settings
        self._log = log
        self.generation = generation
        self.counters: Counter[str] = Counter()
        self.jobs = JobTable(log=log, counters=self.counters, observe=observe)
        self.fleet = Fleet(settings=settings, log=log)
        self._pressure = PressureTable(settings)
        self._estimates = Estimates(self._pressure, useful=settings.admit_late)
        self._planner = Planner(
            settings=settings,
            generation=generation,
            jobs=self.jobs,
            fleet=self.fleet,
            estimates=self._estimates,
            pressure=self._pressure,
            log=log,
            observe=observe,
        )
        self.incarnations = LifeTracker(
            settings=settings, fleet=self.fleet, jobs=self.jobs, log=log
        )
        self.cordons = Cordons(fleet=self.fleet, jobs=self.jobs, log=log)
        self._orders: list[CellCommand] = []
        self._checked_ms = float("-inf")

    # Jobs

    def load(
        self,
        records: Iterable[JobRecord],
        fleet: Iterable[RunnerEntry],
        *,
        now_ms: float,
        unix_ms: float,
    ) -> None:
        """Take over what an earlier owner has recorded.

        Parameters
        ----------
        records : iterable of JobRecord
            All records of jobs.
        fleet : iterable of RunnerEntry
            Runners that earlier owners may have used. Nothing of an inherited job starts before
            each of them has answered or all that it runs has lapsed.
        now_ms, unix_ms : float
            Local time, and time since 1970.
        """
        self.fleet.inherit(fleet, now_ms)
        for record in records:
            job = self.jobs.add(record, now_ms, durable=True)
            # Its objective runs from its acceptance, whoever owns it.
            job.arrived_ms = now_ms - max(0.0, unix_ms - record.accepted_unix_ms)
            if job.is_open:
                self.jobs.inherited.add(record.id)

    def export_learned(self) -> Learned:
        """Return what the next owner should know of images and queues."""
        return self._estimates.export()

    def restore_learned(self, learned: Learned) -> None:
        """Take over what an earlier owner has learned of images and queues."""
        self._estimates.restore(learned)

    def set_queues(self, queues: Mapping[str, Queue]) -> None:
        """Take the queues of the configuration in force."""
        self.jobs.set_queues(queues)

    def submit(
        self, job_id: str, queue: Queue, spec: JobSpec, *, now_ms: float, unix_ms: float
    ) -> Accepted | Rejected:
        """Take a job, or refuse it for good; a known identifier is the same job.

        Parameters
        ----------
        job_id : str
            Identifier that the caller chose.
        queue : Queue
            Where it belongs.
        spec : JobSpec
            What to run; checked with `find_job_fault` before.
        now_ms, unix_ms : float
            Local time, and time since 1970.
        """
        known = self.jobs.jobs.get(job_id)
        if known is not None:
            return Accepted(known, known.version)
        self._estimates.learn_size(queue.name, spec)
        refusal = self._judge(queue, spec, now_ms)
        if refusal is not None:
            self.counters[f"refused_{refusal.reason}"] += 1
            return refusal
        record = JobRecord(
            id=job_id,
            queue=queue.name,
            service=queue.service,
            accepted_unix_ms=unix_ms,
            spec=spec,
        )
        job = self.jobs.add(record, now_ms, durable=False, queue=queue)
        self.jobs.touch(job)
        self.counters["accepted"] += 1
        return Accepted(job, job.version)

    def _judge(self, queue: Queue, spec: JobSpec, now_ms: float) -> Rejected | None:
        settings = self._settings
        tasks = sum(step.count for step in spec.steps) * spec.runs
        waiting = sum(len(step.waiting) for step in self.jobs.ready.values())
        if waiting + tasks > settings.max_open_tasks:
            return Rejected("tasks", settings.tasks_retry_ms)
        if any(step.long_running for step in spec.steps) or spec.occurrences:
            return None
        critical_path_ms = self._estimates.critical_path_ms(queue.name, spec.steps)
        objective_ms = queue.stretch * critical_path_ms + queue.objective_ms
        if not any(step.fills for step in spec.steps):
            waits = self._estimates.wait_short(
                self.jobs.jobs.values(),
                self.fleet.runners.values(),
                service=queue.service,
                now_ms=now_ms,
            )
        else:
            self._measure_fill(now_ms)
            waits = self._estimates.wait_fill(queue, spec)
        refusal = judge_job(
            waits,
            critical_path_ms=critical_path_ms,
            objective_ms=objective_ms,
            useful=settings.admit_late,
        )
        if refusal is None:
            self._estimates.add_fill(queue, spec)
        return refusal

    def _measure_fill(self, now_ms: float) -> None:
        self._estimates.measure_fill(self.jobs.jobs.values(), self.fleet.runners.values(), now_ms)

    def cancel(self, job_id: str, now_ms: float) -> Job | None:
        """Cancel a job and stop its tasks; None when it isn't known."""
        job = self.jobs.jobs.get(job_id)
        if job is not None and job.is_open:
            self._close(job, JobState.CANCELLED, "cancelled by the caller", now_ms)
        return job

    def _close(self, job: Job, state: JobState, reason: str, now_ms: float) -> None:
        for run in self.jobs.close(job, state, reason, now_ms):
            self._stop(run, reason, now_ms)

    # Runners

    def set_runners(self, entries: Iterable[RunnerEntry], now_ms: float) -> None:
        """Take the registry as it was read last."""
        for run in self.fleet.set_listed(entries, now_ms):
            self.jobs.requeue(run.id)
        for runner in self.fleet.runners.values():
            if runner.entry.draining:
                self._evacuate(runner, now_ms)

    def _evacuate(self, runner: Runner, now_ms: float) -> None:
        """Move what would be cut when a draining runner leaves."""
        for run in runner.runs.values():
            if run.step.long_running and run.state is RunState.RUNNING:
                self._stop(run, "runner leaves", now_ms)

    def apply_report(self, runner_id: str, report: RunnerReport, now_ms: float) -> None:
        """Take both lists of a runner."""
        runner = self.fleet.runners.get(runner_id)
        if runner is None or report.started_unix_ms < runner.started_unix_ms:
            return
        if runner.started_unix_ms and report.started_unix_ms > runner.started_unix_ms:
            for run in self.fleet.restart(runner, report.started_unix_ms):
                self.jobs.requeue(run.id)
        runner.started_unix_ms = report.started_unix_ms
        if not runner.adopted:
            self._log("runner answers", runner=runner_id, runs=len(report.running))
        runner.contact_ms = report.received_ms
        runner.full = runner.ended = False
        for row in sorted(report.ended, key=lambda row: row.number):
            if row.number > runner.applied_end:
                runner.applied_end = row.number
                self._apply_end(runner, row, now_ms)
        for row in report.running:
            self._take_row(runner, row, now_ms)
        present = {row.run for row in report.running}
        for run in list(runner.runs.values()):
            missing = run.confirmed_ms < report.sent_ms or run.barred_ms < report.sent_ms
            if run.id not in present and missing:
                self.fleet.remove_run(run)
                self.jobs.requeue(run.id)
        runner.adopted = True
        self.fleet.inherited.discard(runner_id)
        if self._pressure.observe(runner, now_ms):
            self._orders.extend(
                adjust_pace(
                    runner,
                    self._pressure,
                    lambda step: self._estimates.rank(step, now_ms),
                    now_ms=now_ms,
                    harm_stop_ms=self._settings.harm_stop_ms,
                )
            )

    def _take_row(self, runner: Runner, row: RunningRow, now_ms: float) -> None:
        run = runner.runs.get(row.run) or self._adopt(runner, row, now_ms)
        if run is None:
            return
        if run.state in (RunState.STARTING, RunState.UNSURE):
            run.state = RunState.RUNNING
        if run.confirmed_ms == float("inf"):
            run.confirmed_ms = run.moved_ms = now_ms
        if row.percent != run.percent or run.pace == 0:
            run.moved_ms = now_ms
        run.percent = row.percent
        run.measured = row.measured
        if row.checkpoint:
            run.task.checkpoint = row.checkpoint

    def _adopt(self, runner: Runner, row: RunningRow, now_ms: float) -> Run | None:
        """Take over a run that isn't known, or stop it when nobody wants it."""
        step = self.jobs.find_step(row.run)
        wanted = (
            step is not None
            and step.job.is_open
            and row.run.key not in step.job.record.done
            and (step.spec.speculative or not step.has_runs(row.run.key.index))
        )
        if not wanted:
            self._orders.append(
                StopRun(runner_id=runner.entry.id, run=row.run, reason="not wanted")
            )
            return None
        self._log("run adopted", run=str(row.run), runner=runner.entry.id)
        run = self.fleet.add_run(runner, step, row.run, now_ms)
        run.adopted = True
        return run

    def _apply_end(self, runner: Runner, row: EndedRow, now_ms: float) -> None:
        run = runner.runs.get(row.run)
        if run is not None:
            self.fleet.remove_run(run)
        self.counters[f"ended_{row.how.value}"] += 1
        step = self.jobs.find_step(row.run)
        if step is None or not step.job.is_open:
            return
        job = step.job
        if row.checkpoint:
            step.tasks.setdefault(row.run.key.index, Task()).checkpoint = row.checkpoint
        if row.how is EndKind.DONE:
            record_success(runner)
            # The begin of a run that was adopted isn't known.
            if run is not None and not run.adopted and step.spec.estimate_ms:
                self._estimates.learn_duration(step, now_ms - run.ordered_ms)
            for unneeded in self.jobs.finish_task(step, row.run.key, now_ms):
                self._stop(unneeded, "no longer needed", now_ms)
            runner.pending_ends.append((row.number, job, job.version))
        elif row.how is EndKind.FAILED:
            self._fail_run(runner, step, row, now_ms)
            runner.pending_ends.append((row.number, job, job.version))
        if run is not None:
            self.jobs.requeue(run.id)

    def _fail_run(self, runner: Runner, step: StepRun, row: EndedRow, now_ms: float) -> None:
        job = step.job
        step.tasks.setdefault(row.run.key.index, Task()).avoided.add(runner.entry.id)
        record_failure(runner, job.record.id)
        if is_suspect(runner, self._settings):
            self._set_aside(runner, now_ms, "failures")
        if step.spec.long_running:
            return
        failures = self.jobs.count_failure(step, row.run.key, row.run.attempt)
        self._log("run failed", run=str(row.run), runner=runner.entry.id, failures=failures)
        if failures >= job.queue.max_attempts:
            self._close(job, JobState.FAILED, "attempts used up", now_ms)

    def _set_aside(self, runner: Runner, now_ms: float, reason: str) -> None:
        if set_aside(runner, self.fleet.runners.values(), now_ms, self._settings):
            self._log("runner set aside", runner=runner.entry.id, reason=reason)

    def _stop(self, run: Run, reason: str, now_ms: float) -> None:
        if run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            self._order_stop(run, now_ms)
            self._log("stop run", run=str(run.id), runner=run.runner_id, reason=reason)

    def _order_stop(self, run: Run, now_ms: float) -> None:
        run.stop_sent_ms = now_ms
        self._orders.append(StopRun(runner_id=run.runner_id, run=run.id, reason="stopping"))

    # Answers to orders

    def handle_start_response(
        self, runner_id: str, run_id: RunId, outcome: StartOutcome, now_ms: float
    ) -> None:
        """Take the answer to an order to start."""
        self.counters[f"start_{outcome.value}"] += 1
        run = self.fleet.find_run(runner_id, run_id)
        if run is None:
            return
        runner = self.fleet.runners[runner_id]
        if outcome is StartOutcome.STARTED:
            if run.state in (RunState.STARTING, RunState.UNSURE):
                run.state = RunState.RUNNING
            run.confirmed_ms = min(run.confirmed_ms, now_ms)
            run.moved_ms = now_ms
            return
        if outcome is StartOutcome.UNKNOWN:
            if run.state is RunState.STARTING:
                run.state = RunState.UNSURE
            return
        if outcome is StartOutcome.TICKET:
            run.step_run.tickets.pop(runner_id, None)
        if outcome in (StartOutcome.ROOM, StartOutcome.REFUSED):
            runner.full = True
        if outcome is StartOutcome.REFUSED:
            record_failure(runner, run_id.job_id)
            run.task.avoided.add(runner_id)
        self._log("start refused", run=str(run_id), runner=runner_id, reason=outcome.value)
        self.fleet.remove_run(run)
        self.jobs.requeue(run_id)

    def apply_advice(
        self, question: AdviceRequest, tickets: Mapping[str, str], valid_ms: float, now_ms: float
    ) -> None:
        """Take the answer of the service that approves runners.

        Parameters
        ----------
        question : AskAdvice
            What was asked.
        tickets : Mapping of str to str
            Ticket of each approved runner; the others may not run the step, which stays so.
        valid_ms : float
            Time for which the tickets hold, from before the question was asked.
        now_ms : float
            Local time before the question was asked.
        """
        self._planner.apply_advice(question, tickets, valid_ms, now_ms)

    def handle_stop_response(self, runner_id: str, run_id: RunId, now_ms: float) -> None:
        """Note that a runner has stopped or barred a run."""
        run = self.fleet.find_run(runner_id, run_id)
        if run is not None:
            run.barred_ms = min(run.barred_ms, now_ms)

    def handle_pace_failure(self, runner_id: str, run_id: RunId) -> None:
        """Note that the pace of a run is not known, so that it is ordered again."""
        run = self.fleet.find_run(runner_id, run_id)
        if run is not None:
            run.pace = -1

    # Planning

    def plan(self, now_ms: float, unix_ms: float) -> list[CellCommand]:
        """Return the orders that are due now.

        Parameters
        ----------
        now_ms, unix_ms : float
            Local time, and time since 1970.
        """
        self.jobs.open_timed(unix_ms)
        is_check_due = now_ms - self._checked_ms >= self._settings.check_period_ms
        if is_check_due:
            self._checked_ms = now_ms
            for runner in self.fleet.runners.values():
                self._check_runner(runner, now_ms)
        self._measure_fill(now_ms)
        self._planner.begin(now_ms)
        self._orders.extend(self._planner.place(now_ms))
        if is_check_due:
            self._move_runs(now_ms)
        orders, self._orders = self._orders, []
        return orders

    def _move_runs(self, now_ms: float) -> None:
        # Each choice sees the runs that the one before has stopped.
        for choose, reason in (
            (self._choose_evacuated, "makes way for the upkeep of its VM"),
            (self._planner.choose_moved, "moved away from serving tasks"),
            (self._planner.choose_displaced, "makes room for a long-running task"),
            (self._planner.choose_regrouped, "moves to other serving tasks"),
        ):
            run = choose(now_ms)
            if run is not None:
                self._stop(run, reason, now_ms)

    def _choose_evacuated(self, now_ms: float) -> Run | None:
        return self.cordons.choose_evacuated(
            self._planner.finds_other, now_ms, period_ms=self._settings.make_room_period_ms
        )

    def _check_runner(self, runner: Runner, now_ms: float) -> None:
        settings = self._settings
        if now_ms > runner.lease_expiry_ms:
            if runner.runs:
                self._log("runs lapsed", runner=runner.entry.id, runs=len(runner.runs))
            for run in self.fleet.release(runner):
                self.jobs.requeue(run.id)
            self.fleet.inherited.discard(runner.entry.id)
        stalled: list[Run] = []
        for run in runner.runs.values():
            if run.state is RunState.UNSURE and now_ms - run.ordered_ms > settings.unsure_stop_ms:
                self._stop(run, "start without an answer", now_ms)
            if run.state is RunState.STOPPING:
                if now_ms - run.stop_sent_ms >= settings.stop_retry_ms:
                    self._order_stop(run, now_ms)
            elif self._is_stalled(runner, run, now_ms):
                stalled.append(run)
        for run in stalled:
            run.task.avoided.add(runner.entry.id)
            self._stop(run, "no progress", now_ms)
        if len(stalled) >= settings.suspect_stalls:
            self._set_aside(runner, now_ms, "stalled runs")

    def _is_stalled(self, runner: Runner, run: Run, now_ms: float) -> bool:
        settings = self._settings
        if run.state is not RunState.RUNNING or run.percent >= 100 or run.pace < 100:
            return False
        if now_ms - runner.contact_ms > settings.contact_fresh_ms:
            return False
        limit_ms = settings.startup_ms if run.step.long_running else settings.stall_ms
        return now_ms - run.moved_ms > limit_ms

    def summarise(self) -> dict[str, int]:
        """Return gauges for logs and metrics."""
        return measure_gauges(self.jobs, self.fleet)
