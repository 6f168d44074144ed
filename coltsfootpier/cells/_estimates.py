"""Expected durations and work of jobs, and the queueing delay of a new one."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from coltsfootpier.cells._admission import Backlog, LongRunningCapacity, QueueingDelays
from coltsfootpier.cells._capacity import BestEffortCapacity, compute_refresh_ms
from coltsfootpier.cells._demand import ShortJobDemand, measure_free_pieces
from coltsfootpier.cells._durations import DurationModel
from coltsfootpier.cells._interference import InterferenceTable
from coltsfootpier.cells._learned import LearnedState
from coltsfootpier.cells._ordering import Rank, rank_step
from coltsfootpier.cells._overload import Lateness
from coltsfootpier.cells._placement import may_get_new_runs
from coltsfootpier.cells._rejections import Demand
from coltsfootpier.cells._state import (
    Job,
    Occurrence,
    OccurrenceTotals,
    Run,
    Runner,
    StepRun,
)
from coltsfootpier.jobs import JobSpec, Queue, StepSpec

# Decay factor of the submitted work per new job; the last 50 jobs count most.
_SUBMITTED_DECAY = 0.98
# Work below which an image is dropped, in thousandths of a core times ms: 1 ms on one core.
_MIN_SUBMITTED_WORK = 1_000.0
# Lower bound of an image's capacity in thousandths of a core when its scarcity is computed.
_MIN_CAPACITY_CPU = 4_000.0
# Number of open jobs from which their work isn't added up again for each submission, and time for
# which the sum is reused with so many. With 400 jobs it takes several ms.
_SHORT_BACKLOG_JOBS = 100
_SHORT_REFRESH_MS = 25.0
# Weight of a new job in the mean work of its queue.
_MEAN_WORK_RATE = 0.05
# Progress that is assumed at most of a task that isn't known to have ended.
_MAX_PROGRESS = 0.9
# Maximum number of services whose demand is stored for the next owner; each takes about 150 bytes
# of the 20 KB of the record.
_MAX_EXPORTED_SERVICES = 16


@attrs.define
class _BestEffortBacklog:
    """Best-effort work of one service by image, and the time until it is done.

    Parameters
    ----------
    capacity : BestEffortCapacity
        Capacity available to each image.
    in_time_work, all_work : dict of str to float
        Work of jobs that can meet their objective, and of all jobs, in thousandths of a core times
        ms.
    added_work : dict of str to float
        Work accepted since the last measurement, in the same unit.
    in_time_delay_ms, all_delay_ms : dict of str to float
        Time in ms until `in_time_work` and `all_work` are done.
    in_time_memory, all_memory : float
        Memory times duration of the same jobs, in MB times ms.
    in_time_memory_ms, all_memory_ms : float
        Time in ms until the memory that other runs leave has held these.
    """

    capacity: BestEffortCapacity
    in_time_work: dict[str, float] = attrs.field(factory=dict)
    all_work: dict[str, float] = attrs.field(factory=dict)
    added_work: dict[str, float] = attrs.field(factory=dict)
    in_time_delay_ms: dict[str, float] = attrs.field(factory=dict)
    all_delay_ms: dict[str, float] = attrs.field(factory=dict)
    in_time_memory: float = 0.0
    all_memory: float = 0.0
    in_time_memory_ms: float = 0.0
    all_memory_ms: float = 0.0


@attrs.define
class _ShortBacklog:
    """Work of the accepted jobs of one service that go before a new one.

    Parameters
    ----------
    in_time_work, all_work : float
        Work of jobs that can meet their objective, and of all jobs, in thousandths of a core times
        ms.
    in_time_memory, all_memory : float
        The same in MB times ms.
    valid_until_ms : float
        Local time until which it is reused.
    """

    in_time_work: float = 0.0
    all_work: float = 0.0
    in_time_memory: float = 0.0
    all_memory: float = 0.0
    valid_until_ms: float = float("-inf")


class Estimates:
    """Estimated durations, work and queueing delays of the jobs of each queue.

    Parameters
    ----------
    interference : InterferenceTable
        Estimated interference of best-effort images with serving images.
    lateness_factor : float
        Multiple of the objective up to which the result of a late job is of use to its caller.
    """

    def __init__(self, interference: InterferenceTable, *, lateness_factor: float) -> None:
        self._interference = interference
        self._lateness_factor = lateness_factor
        self._backlogs: dict[str, _BestEffortBacklog] = {}
        self._measured_ms = float("-inf")
        self._refresh_ms = compute_refresh_ms(0)
        self._duration_models: dict[str, DurationModel] = {}
        # Incremented with each change of an expected duration.
        self._durations_version = 1
        self._mean_work: dict[str, float] = {}
        # Decaying sum of the work submitted for each best-effort image.
        self._submitted_work: dict[str, float] = {}
        # Work ahead of a new job by service and priority.
        self._short_backlogs: dict[tuple[str, int], _ShortBacklog] = {}
        self._short_demands: dict[str, ShortJobDemand] = {}

    def record_duration(self, step: StepRun, real_ms: float) -> None:
        """Update the duration model with a completed run."""
        self._get_duration_model(step.job.queue.name).update(real_ms, step.spec.estimate_ms)
        self._durations_version += 1
        step.completed_count += 1
        step.completed_ms += real_ms

    def _get_duration_model(self, queue: str) -> DurationModel:
        return self._duration_models.setdefault(queue, DurationModel())

    def estimate_task_ms(self, queue: str, spec: StepSpec) -> float:
        """Return the expected duration in ms of a task of a step."""
        return self._get_duration_model(queue).predict(spec.estimate_ms)

    def estimate_run_ms(self, step: StepRun) -> float:
        """Return the expected duration in ms of a step's tasks, given those that have ended."""
        expected = self.estimate_task_ms(step.job.queue.name, step.spec)
        return (expected + step.completed_ms) / (1 + step.completed_count)

    def record_submission(self, queue: Queue, spec: JobSpec, now_ms: float) -> None:
        """Update the statistics of a queue with the declared work of a submitted job.

        A submission that repeats a rejected one isn't recorded again.
        """
        work = self.estimate_work(queue.name, spec)
        self._record_submitted_work(queue.name, spec)
        self._record_short_demand(queue, spec, now_ms)
        mean = self._mean_work.setdefault(queue.name, work)
        self._mean_work[queue.name] = mean + _MEAN_WORK_RATE * (work - mean)

    def _record_short_demand(self, queue: Queue, spec: JobSpec, now_ms: float) -> None:
        demand = self._get_short_demand(queue.service)
        demand.record_submission(now_ms)
        for step in spec.steps:
            if not (step.long_running or step.fills):
                demand.record_step(
                    priority=queue.priority,
                    cpu_milli=step.cpu_milli,
                    count=step.count,
                    memory_mb=step.memory_mb,
                    task_ms=self.estimate_task_ms(queue.name, step),
                    now_ms=now_ms,
                )

    def _get_short_demand(self, service: str) -> ShortJobDemand:
        return self._short_demands.setdefault(service, ShortJobDemand())

    def has_learned_short_demand(self, service: str, now_ms: float) -> bool:
        """Return whether the demand of a service's short jobs is known from submitted jobs."""
        return self._get_short_demand(service).is_learned(now_ms)

    def estimate_critical_path_ms(self, queue: str, steps: Iterable[StepSpec]) -> float:
        """Return the expected time in ms of steps that run one after another."""
        return sum(self.estimate_task_ms(queue, step) for step in steps)

    def estimate_work(self, queue: str, spec: JobSpec) -> float:
        """Return the expected work of one occurrence, in thousandths of a core times ms."""
        return sum(self._estimate_step_work(queue, step) for step in spec.steps)

    def _estimate_step_work(self, queue: str, step: StepSpec) -> float:
        return step.count * step.cpu_milli * self.estimate_task_ms(queue, step)

    def _add_best_effort_work(self, queue: str, spec: JobSpec, work: dict[str, float]) -> None:
        """Add the best-effort work of a job to the work of its images."""
        for step in spec.steps:
            if step.fills:
                added = self._estimate_step_work(queue, step)
                work[step.image] = work.get(step.image, 0.0) + added

    def _measure_totals(self, occurrence: Occurrence) -> OccurrenceTotals:
        """Return the sums over the steps of an occurrence.

        A plan needs them for each of its waiting steps, so they are kept until a task is done.
        """
        if occurrence.totals is None or occurrence.totals_version != self._durations_version:
            occurrence.totals = self._add_up(occurrence)
            occurrence.totals_version = self._durations_version
        return occurrence.totals

    def _add_up(self, occurrence: Occurrence) -> OccurrenceTotals:
        whole_ms = remaining_ms = work = remaining_work = 0.0
        for step in occurrence.steps:
            run_ms = self.estimate_run_ms(step)
            whole_ms += run_ms
            work += self._estimate_step_work(step.job.queue.name, step.spec)
            if not step.is_done:
                remaining_ms += run_ms
                remaining_work += (step.spec.count - step.done_count) * step.spec.cpu_milli * run_ms
        return OccurrenceTotals(
            whole_ms=whole_ms, remaining_ms=remaining_ms, work=work, remaining_work=remaining_work
        )

    def estimate_slack_ms(self, step: StepRun, now_ms: float) -> float:
        """Return the time in ms until a job's objective, less the remaining time of its steps."""
        job = step.job
        if step.spec.long_running or job.record.spec is None:
            return 0.0
        remaining_ms = self._measure_totals(step.occurrence).remaining_ms
        return job.arrived_ms + self._compute_objective_ms(step) - now_ms - remaining_ms

    def estimate_step_limits(self, step: StepRun) -> tuple[float, float]:
        """Return until when a step must end so that its job is on time, and of any use.

        Both are local times in ms.
        """
        later_ms = sum(
            self.estimate_run_ms(other)
            for other in step.occurrence.steps
            if not other.is_done and other is not step
        )
        objective_ms = self._compute_objective_ms(step)
        start_ms = step.job.arrived_ms - later_ms
        return start_ms + objective_ms, start_ms + self._lateness_factor * objective_ms

    def classify_lateness(self, step: StepRun, now_ms: float) -> int:
        """Return 0 if a job can meet its objective, 1 if it is late, 2 if it is of no more use."""
        return self._classify_slack(step, self.estimate_slack_ms(step, now_ms))

    def measure_lateness(self, step: StepRun, now_ms: float) -> Lateness:
        """Return the slack of a step's job and its class."""
        slack_ms = self.estimate_slack_ms(step, now_ms)
        return Lateness(slack_ms, self._classify_slack(step, slack_ms))

    def _classify_slack(self, step: StepRun, slack_ms: float) -> int:
        if slack_ms >= 0:
            return 0
        objective_ms = self._compute_objective_ms(step)
        return 1 if slack_ms >= -(self._lateness_factor - 1.0) * objective_ms else 2

    def _compute_objective_ms(self, step: StepRun) -> float:
        queue = step.job.queue
        whole_ms = self._measure_totals(step.occurrence).whole_ms
        return queue.stretch * whole_ms + queue.objective_ms

    def rank(self, step: StepRun, now_ms: float, *, yields: bool = False) -> Rank:
        """Return the sort key of a step that waits for runners."""
        job = step.job
        mean = self._mean_work.get(job.queue.name, 0.0) or 1.0
        totals = self._measure_totals(step.occurrence)
        remaining = totals.remaining_work
        if step.spec.fills:
            remaining /= self._get_backlog(job.queue.service).capacity.estimate_share(
                step.spec.image
            )
        return rank_step(
            step,
            lateness=self.classify_lateness(step, now_ms),
            remaining=remaining / mean,
            size=totals.work / mean,
            yields=yields,
        )

    # State for the next owner

    def export(self) -> LearnedState:
        """Return the learned state."""
        pressures, idle_tails = self._interference.export()
        return LearnedState(
            pressures=pressures,
            idle_tails=idle_tails,
            durations={queue: model.export() for queue, model in self._duration_models.items()},
            mean_work=dict(self._mean_work),
            offered=dict(self._submitted_work),
            short_demand={
                service: demand.export()
                for service, demand in list(self._short_demands.items())[:_MAX_EXPORTED_SERVICES]
            },
        )

    def restore(self, learned: LearnedState) -> None:
        """Restore the learned state of an earlier owner."""
        self._interference.restore(learned.pressures, learned.idle_tails)
        for queue, sums in learned.durations.items():
            model = DurationModel.restore(sums)
            if model is not None:
                self._duration_models[queue] = model
        self._durations_version += 1
        self._mean_work.update(learned.mean_work)
        self._submitted_work.update(learned.offered)
        for service, demand in learned.short_demand.items():
            self._get_short_demand(service).restore(demand)

    # Best-effort jobs

    def _get_backlog(self, service: str) -> _BestEffortBacklog:
        found = self._backlogs.get(service)
        if found is None:
            found = self._backlogs[service] = _BestEffortBacklog(
                BestEffortCapacity(self._interference)
            )
        return found

    def measure_best_effort(
        self, jobs: Iterable[Job], runners: Iterable[Runner], now_ms: float
    ) -> None:
        """Update the capacity for best-effort images and the queueing delay of their jobs.

        Parameters
        ----------
        jobs : iterable of Job
            All jobs of the cell.
        runners : iterable of Runner
            All runners of the cell.
        now_ms : float
            Local time; a measurement too soon after the last one is skipped, see
            `compute_refresh_ms`.
        """
        if now_ms - self._measured_ms < self._refresh_ms:
            return
        self._measured_ms = now_ms
        runners_by_service: dict[str, list[Runner]] = {}
        for runner in runners:
            if may_get_new_runs(runner):
                runners_by_service.setdefault(runner.entry.service, []).append(runner)
        self._refresh_ms = compute_refresh_ms(sum(map(len, runners_by_service.values())))
        for backlog in self._backlogs.values():
            backlog.in_time_work, backlog.all_work, backlog.added_work = {}, {}, {}
            backlog.in_time_memory = backlog.all_memory = 0.0
        for job in jobs:
            if job.is_open:
                self._add_remaining_work(job, now_ms)
        for service, backlog in self._backlogs.items():
            backlog.capacity.measure(runners_by_service.get(service, ()), backlog.all_work)
            backlog.in_time_delay_ms = backlog.capacity.estimate_delays(backlog.in_time_work)
            backlog.all_delay_ms = backlog.capacity.estimate_delays(backlog.all_work)
            memory_mb = sum(
                runner.entry.memory_mb - runner.memory_mb + runner.best_effort_memory_mb
                for runner in runners_by_service.get(service, ())
            )
            backlog.in_time_memory_ms = Backlog(
                work=backlog.in_time_memory, capacity=memory_mb
            ).queueing_delay_ms
            backlog.all_memory_ms = Backlog(
                work=backlog.all_memory, capacity=memory_mb
            ).queueing_delay_ms

    def expire_measurement(self) -> None:
        """Measure the best-effort capacity anew the next time, as more of it is known by now."""
        self._measured_ms = float("-inf")

    def _add_remaining_work(self, job: Job, now_ms: float) -> None:
        backlog = None
        for step in job.iter_steps():
            spec = step.spec
            if not spec.fills or spec.long_running or step.is_done:
                continue
            backlog = backlog or self._get_backlog(job.queue.service)
            remaining = self._estimate_remaining_work(step, now_ms)
            backlog.all_work[spec.image] = backlog.all_work.get(spec.image, 0.0) + remaining
            memory = remaining * spec.memory_mb / max(1, spec.cpu_milli)
            backlog.all_memory += memory
            if self.estimate_slack_ms(step, now_ms) >= 0:
                backlog.in_time_memory += memory
                backlog.in_time_work[spec.image] = (
                    backlog.in_time_work.get(spec.image, 0.0) + remaining
                )

    def _estimate_remaining_work(self, step: StepRun, now_ms: float) -> float:
        """Return the remaining work of a step, in thousandths of a core times ms.

        The tasks of a step start together, so their progress counts: an average of a half would be
        off by half of a task's duration for all of the capacity, in either direction.
        """
        run_ms = self.estimate_run_ms(step)
        remaining = float(step.spec.count - step.done_count)
        if remaining > len(step.waiting):
            for run in step.list_runs():
                remaining -= _estimate_progress(run, run_ms, now_ms)
        return max(0.0, remaining) * step.spec.cpu_milli * run_ms

    def _record_submitted_work(self, queue: str, spec: JobSpec) -> None:
        """Count the best-effort work of a submitted job, whether it is accepted or not."""
        self._submitted_work = {
            image: work * _SUBMITTED_DECAY
            for image, work in self._submitted_work.items()
            if work >= _MIN_SUBMITTED_WORK
        }
        self._add_best_effort_work(queue, spec, self._submitted_work)

    def measure_scarcity(self, service: str) -> dict[str, float]:
        """Return how scarce the capacity of each best-effort image is; the mean is 1."""
        capacity = self._get_backlog(service).capacity
        ratios = {
            image: work / max(_MIN_CAPACITY_CPU, capacity.estimate_total_cpu(image))
            for image, work in self._submitted_work.items()
        }
        mean = sum(ratios.values()) / len(ratios) if ratios else 0.0
        return {image: value / mean for image, value in ratios.items()} if mean > 0 else {}

    def estimate_best_effort_delays(
        self, queue: Queue, spec: JobSpec, due: Demand
    ) -> QueueingDelays:
        """Return the queueing delay of a new best-effort job, in ms.

        Parameters
        ----------
        queue : Queue
            Queue of the job.
        spec : JobSpec
            The job.
        due : Demand
            Work of rejected jobs that are due to return before it.
        """
        backlog = self._get_backlog(queue.service)
        in_time_ms = all_ms = 0.0
        for step in spec.steps:
            if step.fills:
                total = backlog.capacity.estimate_total_cpu(step.image)
                added = backlog.added_work.get(step.image, 0.0)
                added += due.best_effort.get(step.image, 0.0)
                added_ms = added / total if total > 0 else 0.0
                in_time_ms = max(
                    in_time_ms, backlog.in_time_delay_ms.get(step.image, 0.0) + added_ms
                )
                all_ms = max(all_ms, backlog.all_delay_ms.get(step.image, 0.0) + added_ms)
        by_image = QueueingDelays(in_time_ms=in_time_ms, all_ms=all_ms, estimate="image")
        by_memory = QueueingDelays(
            in_time_ms=backlog.in_time_memory_ms, all_ms=backlog.all_memory_ms, estimate="memory"
        )
        return max(by_image, by_memory, key=lambda delays: (delays.in_time_ms, delays.all_ms))

    def record_acceptance(self, queue: Queue, spec: JobSpec) -> None:
        """Count a job that was accepted since the last measurement."""
        self._add_best_effort_work(queue.name, spec, self._get_backlog(queue.service).added_work)
        self._add_short_work(queue, spec)

    def estimate_short_delays(
        self,
        jobs: Iterable[Job],
        runners: Iterable[Runner],
        *,
        queue: Queue,
        spec: JobSpec,
        due: Demand,
        now_ms: float,
    ) -> QueueingDelays:
        """Return the queueing delay in ms of a new job without best-effort steps.

        Jobs of later queues don't count: the new job goes before their waiting tasks, and their
        best-effort runs are stopped for it.

        Parameters
        ----------
        jobs : iterable of Job
            All jobs of the cell.
        runners : iterable of Runner
            All runners of the cell.
        queue : Queue
            Queue of the new job.
        spec : JobSpec
            The new job.
        due : Demand
            Work of rejected jobs that are due to return before it.
        now_ms : float
            Local time.
        """
        ahead = self._measure_short_backlog(jobs, queue, now_ms)
        in_time_work, all_work = due.work + ahead.in_time_work, due.work + ahead.all_work
        in_time_memory = due.memory_work + ahead.in_time_memory
        all_memory = due.memory_work + ahead.all_memory
        usable = [
            runner
            for runner in runners
            if may_get_new_runs(runner) and runner.entry.service == queue.service
        ]
        # Only whole tasks of the job's largest step fit beside the long-running ones.
        task_cpu = max(step.cpu_milli for step in spec.steps)
        task_mb = max(step.memory_mb for step in spec.steps)
        cpu = memory_mb = 0.0
        for runner in usable:
            free_cpu = _measure_available_cpu(runner)
            free_mb = runner.entry.memory_mb - runner.long_running_memory_mb
            if free_cpu >= task_cpu and free_mb >= task_mb:
                cpu += free_cpu
                memory_mb += free_mb
        by_cpu = QueueingDelays(
            in_time_ms=Backlog(work=in_time_work, capacity=cpu).queueing_delay_ms,
            all_ms=Backlog(work=all_work, capacity=cpu).queueing_delay_ms,
            estimate="cpu",
        )
        if not any(step.memory_mb for step in spec.steps):
            return by_cpu
        by_memory = QueueingDelays(
            in_time_ms=Backlog(work=in_time_memory, capacity=memory_mb).queueing_delay_ms,
            all_ms=Backlog(work=all_memory, capacity=memory_mb).queueing_delay_ms,
            estimate="memory",
        )
        return max(by_cpu, by_memory, key=lambda delays: (delays.in_time_ms, delays.all_ms))

    def _measure_short_backlog(
        self, jobs: Iterable[Job], queue: Queue, now_ms: float
    ) -> _ShortBacklog:
        """Return the work ahead of a new job of a queue; of many jobs, as of a moment ago."""
        key = queue.service, queue.priority
        known = self._short_backlogs.get(key)
        if known is not None and now_ms < known.valid_until_ms:
            return known
        found = self._short_backlogs[key] = _ShortBacklog()
        count = 0
        for job in jobs:
            if (
                not job.is_open
                or job.queue.service != queue.service
                or job.queue.priority > queue.priority
            ):
                continue
            count += 1
            for step in job.iter_steps():
                if not (step.spec.fills or step.spec.long_running or step.is_done):
                    work = self._estimate_remaining_work(step, now_ms)
                    memory = work * step.spec.memory_mb / max(1, step.spec.cpu_milli)
                    found.all_work += work
                    found.all_memory += memory
                    if self.estimate_slack_ms(step, now_ms) >= 0:
                        found.in_time_work += work
                        found.in_time_memory += memory
        if count > _SHORT_BACKLOG_JOBS:
            found.valid_until_ms = now_ms + _SHORT_REFRESH_MS * count / _SHORT_BACKLOG_JOBS
        return found

    def _add_short_work(self, queue: Queue, spec: JobSpec) -> None:
        """Add an accepted job to the backlogs that are reused."""
        demand = self.measure_demand(queue, spec)
        for (service, priority), backlog in self._short_backlogs.items():
            if service == queue.service and queue.priority <= priority:
                backlog.in_time_work += demand.work
                backlog.all_work += demand.work
                backlog.in_time_memory += demand.memory_work
                backlog.all_memory += demand.memory_work

    def measure_demand(self, queue: Queue, spec: JobSpec) -> Demand:
        """Return the work of a job for which its caller will return."""
        best_effort: dict[str, float] = {}
        self._add_best_effort_work(queue.name, spec, best_effort)
        work = memory_work = 0.0
        for step in spec.steps:
            if not (step.fills or step.long_running):
                step_work = self._estimate_step_work(queue.name, step)
                work += step_work
                memory_work += step_work * step.memory_mb / max(1, step.cpu_milli)
        return Demand(
            service=queue.service,
            priority=queue.priority,
            work=work,
            memory_work=memory_work,
            best_effort=best_effort,
        )

    def fits_now(
        self, queue: Queue, spec: JobSpec, runners: Iterable[Runner], steps: Iterable[StepRun]
    ) -> bool:
        """Return whether all first tasks of a new job without long-running steps can start now.

        Such a job isn't rejected, whatever the work ahead of it: that work waits for other
        capacity.

        Parameters
        ----------
        queue : Queue
            Queue of the new job.
        spec : JobSpec
            The new job.
        runners : iterable of Runner
            Runners of the service that may get new runs.
        steps : iterable of StepRun
            Steps with waiting tasks. Those that fitted on no runner don't take the capacity.
        """
        wanted = sum(step.count for step in spec.steps if not step.after)
        wanted += sum(
            len(step.waiting)
            for step in steps
            if step.blocked_ms == float("inf")
            and step.job.queue.service == queue.service
            and step.job.queue.priority <= queue.priority
        )
        largest = StepSpec(
            count=1,
            cpu_milli=max(step.cpu_milli for step in spec.steps),
            memory_mb=max(step.memory_mb for step in spec.steps),
            gpus=max(step.gpus for step in spec.steps),
            fills=any(step.fills for step in spec.steps),
            image=next((step.image for step in spec.steps if step.fills), ""),
        )
        for runner in runners:
            wanted -= self._count_fitting(runner, largest)
            if wanted <= 0:
                return True
        return False

    def _count_fitting(self, runner: Runner, spec: StepSpec) -> int:
        """Return the number of tasks that fit on a runner now."""
        if not runner.fits(spec) or (spec.fills and runner.harmed):
            return 0
        entry = runner.entry
        free_cpu = runner.unused_cpu if spec.fills else entry.cpu_milli - runner.guaranteed_cpu
        if spec.fills:
            free_cpu = min(free_cpu, self._interference.measure_free_cpu(runner, spec.image))
        counts = [
            free // wanted
            for free, wanted in (
                (free_cpu, spec.cpu_milli),
                (entry.memory_mb - runner.memory_mb, spec.memory_mb),
                (entry.gpus - runner.gpus, spec.gpus),
            )
            if wanted > 0
        ]
        return max(0, int(min(counts))) if counts else 0

    def measure_long_running_capacity(
        self,
        queue: Queue,
        runners: Iterable[Runner],
        *,
        held_cpu: float,
        held_mb: float,
        now_ms: float,
        deviations: float,
    ) -> LongRunningCapacity:
        """Return the capacity of a queue's service for its long-running jobs.

        Parameters
        ----------
        queue : Queue
            Queue of the new job.
        runners : iterable of Runner
            All runners of the cell.
        held_cpu : float
            CPU demand of the accepted long-running jobs of the service, in thousandths of a core.
        held_mb : float
            Their memory demand in MB.
        now_ms : float
            Local time.
        deviations : float
            Standard deviations of the CPU demand of short jobs that are kept free.
        """
        demand = self._get_short_demand(queue.service)
        usable = [
            runner
            for runner in runners
            if may_get_new_runs(runner) and runner.entry.service == queue.service
        ]
        capacity_cpu = sum(runner.entry.cpu_milli for runner in usable)
        placed_cpu = sum(runner.long_running_cpu for runner in usable)
        waiting_cpu = max(0.0, held_cpu - placed_cpu)
        waiting_mb = max(0.0, held_mb - sum(runner.long_running_memory_mb for runner in usable))
        waiting_cpu = self.convert_to_pieces(queue.service, waiting_cpu, waiting_mb)
        return LongRunningCapacity(
            held_cpu=held_cpu,
            free_cpu=measure_free_pieces(usable, demand.task_cpu, demand.task_memory_mb)
            - waiting_cpu,
            reserve_cpu=demand.compute_reserve_cpu(
                capacity_cpu, queue.priority, now_ms, deviations=deviations
            ),
        )

    def convert_to_pieces(self, service: str, cpu: float, memory_mb: float) -> float:
        """Return the CPU of the short tasks that don't fit beside a demand, in thousandths.

        Parameters
        ----------
        service : str
            Service of the tasks.
        cpu : float
            Demand in thousandths of a core.
        memory_mb : float
            Demand in MB.
        """
        demand = self._get_short_demand(service)
        if demand.task_memory_mb < 1:
            return cpu
        return max(cpu, memory_mb * demand.task_cpu / demand.task_memory_mb)


def _estimate_progress(run: Run, run_ms: float, now_ms: float) -> float:
    """Return the part of a run that is done, from 0 to 1.

    Best-effort runs are slowed by a factor that changes, and are half done on average.
    """
    if run.step.fills:
        return 0.5
    return min(_MAX_PROGRESS, (now_ms - run.start_sent_ms) / max(1.0, run_ms))


def _measure_available_cpu(runner: Runner) -> float:
    """Return the CPU in thousandths of a core that long-running tasks leave on a runner."""
    return runner.entry.cpu_milli - runner.long_running_cpu
