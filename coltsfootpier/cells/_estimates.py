"""What jobs are expected to need, and how much work is ahead of a new one."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from coltsfootpier.cells._admission import Backlog, Waits
from coltsfootpier.cells._capacity import REFRESH_MS, FillCapacity
from coltsfootpier.cells._durations import DurationModel
from coltsfootpier.cells._interference import PressureTable
from coltsfootpier.cells._learned import Learned
from coltsfootpier.cells._ordering import rank_step
from coltsfootpier.cells._state import Job, Runner, StepRun
from coltsfootpier.jobs import JobSpec, Queue, StepSpec

# Share of the work offered that is kept with each new job: the last 50 count most.
_OFFERED_KEPT = 0.98
# Work below which an image is forgotten: a task of one core that takes a millisecond.
_LEAST_OFFERED = 1_000.0
# Room in thousandths of a core below which the room of an image isn't any scarcer.
_LEAST_ROOM_CPU = 4_000.0
# Weight of a new job in the mean work of its queue.
_MEAN_WORK_RATE = 0.05


@attrs.define
class _FillQueue:
    """Filling work of one service by image, and how long it takes.

    Parameters
    ----------
    capacity : FillCapacity
        What each image finds.
    in_time, all : dict of str to float
        Work of jobs that can be in time, and of all jobs.
    added : dict of str to float
        Work that was accepted since.
    wait_in_time, wait_all : dict of str to float
        Time that the work takes, in ms.
    """

    capacity: FillCapacity
    in_time: dict[str, float] = attrs.field(factory=dict)
    all: dict[str, float] = attrs.field(factory=dict)
    added: dict[str, float] = attrs.field(factory=dict)
    wait_in_time: dict[str, float] = attrs.field(factory=dict)
    wait_all: dict[str, float] = attrs.field(factory=dict)


class Estimates:
    """Learned durations and sizes of the jobs of each queue.

    Parameters
    ----------
    pressure : PressureTable
        What is known of the effect of filling tasks on serving ones.
    useful : float
        Multiple of its objective up to which a job's end is of use to its caller.
    """

    def __init__(self, pressure: PressureTable, *, useful: float) -> None:
        self._pressure = pressure
        self._useful = useful
        self._fill_queues: dict[str, _FillQueue] = {}
        self._measured_ms = float("-inf")
        self._durations: dict[str, DurationModel] = {}
        self._mean_work: dict[str, float] = {}
        # Work that was handed in of late for each filling image.
        self._offered: dict[str, float] = {}

    def learn_duration(self, step: StepRun, real_ms: float) -> None:
        """Take the duration of a run that is done."""
        self._find_durations(step.job.queue.name).learn(real_ms, step.spec.estimate_ms)
        step.ended_count += 1
        step.ended_ms += real_ms

    def _find_durations(self, queue: str) -> DurationModel:
        return self._durations.setdefault(queue, DurationModel())

    def task_ms(self, queue: str, spec: StepSpec) -> float:
        """Return the expected duration of a task of a step."""
        return self._find_durations(queue).predict(spec.estimate_ms)

    def run_ms(self, step: StepRun) -> float:
        """Return the expected duration of a task of a step of which some may have ended."""
        expected = self.task_ms(step.job.queue.name, step.spec)
        return (expected + step.ended_ms) / (1 + step.ended_count)

    def learn_size(self, queue: str, spec: JobSpec) -> None:
        """Take the declared work of a job that was handed in."""
        work = self.measure_work(queue, spec)
        self._offer(queue, spec)
        mean = self._mean_work.setdefault(queue, work)
        self._mean_work[queue] = mean + _MEAN_WORK_RATE * (work - mean)

    def critical_path_ms(self, queue: str, steps: Iterable[StepSpec]) -> float:
        """Return the expected time of steps that run one after the other."""
        return sum(self.task_ms(queue, step) for step in steps)

    def measure_work(self, queue: str, spec: JobSpec) -> float:
        """Return the expected work of one occurrence, in thousandths of a core times ms."""
        return sum(self._measure_step(queue, step) for step in spec.steps)

    def _measure_step(self, queue: str, step: StepSpec) -> float:
        return step.count * step.cpu_milli * self.task_ms(queue, step)

    def _add_fill_steps(self, queue: str, spec: JobSpec, work: dict[str, float]) -> None:
        """Add the filling work of a job to the work of its images."""
        for step in spec.steps:
            if step.fills:
                added = self._measure_step(queue, step)
                work[step.image] = work.get(step.image, 0.0) + added

    def slack_ms(self, step: StepRun, now_ms: float) -> float:
        """Return the time until a job's objective, less what its chain still needs."""
        job = step.job
        if step.spec.long_running or job.record.spec is None:
            return 0.0
        left_ms = sum(
            self.run_ms(other) for other in job.steps_of(step.occurrence) if not other.is_done
        )
        return job.arrived_ms + self._objective_ms(step) - now_ms - left_ms

    def lateness(self, step: StepRun, now_ms: float) -> int:
        """Return 0 for a job that can be in time, 1 for a late one, 2 for one of no more use."""
        slack_ms = self.slack_ms(step, now_ms)
        if slack_ms >= 0:
            return 0
        objective_ms = self._objective_ms(step)
        return 1 if slack_ms >= -(self._useful - 1.0) * objective_ms else 2

    def _objective_ms(self, step: StepRun) -> float:
        queue = step.job.queue
        whole_ms = sum(self.run_ms(other) for other in step.job.steps_of(step.occurrence))
        return queue.stretch * whole_ms + queue.objective_ms

    def rank(self, step: StepRun, now_ms: float) -> tuple[int, int, float]:
        """Return the sort key of a step that waits for runners."""
        job = step.job
        mean = self._mean_work.get(job.queue.name, 0.0) or 1.0
        left = sum(
            (other.spec.count - other.done_count) * other.spec.cpu_milli * self.run_ms(other)
            for other in job.steps_of(step.occurrence)
        )
        if step.spec.fills:
            left /= self._find_fill_queue(job.queue.service).capacity.share(step.spec.image)
        return rank_step(
            step,
            lateness=self.lateness(step, now_ms),
            left=left / mean,
            size=self.measure_work(job.queue.name, job.record.spec) / mean,
        )

    # What the next owner takes over

    def export(self) -> Learned:
        """Return what was learned so far."""
        pressures, idle_tails = self._pressure.export()
        return Learned(
            pressures=pressures,
            idle_tails=idle_tails,
            durations={queue: model.export() for queue, model in self._durations.items()},
            mean_work=dict(self._mean_work),
            offered=dict(self._offered),
        )

    def restore(self, learned: Learned) -> None:
        """Take over what an earlier owner has learned."""
        self._pressure.restore(learned.pressures, learned.idle_tails)
        for queue, sums in learned.durations.items():
            model = DurationModel.restore(sums)
            if model is not None:
                self._durations[queue] = model
        self._mean_work.update(learned.mean_work)
        self._offered.update(learned.offered)

    # Filling jobs

    def _find_fill_queue(self, service: str) -> _FillQueue:
        found = self._fill_queues.get(service)
        if found is None:
            found = self._fill_queues[service] = _FillQueue(FillCapacity(self._pressure))
        return found

    def measure_fill(self, jobs: Iterable[Job], runners: Iterable[Runner], now_ms: float) -> None:
        """Measure what filling images find and how long their jobs wait.

        Parameters
        ----------
        jobs : iterable of Job
            All jobs of the cell.
        runners : iterable of Runner
            All runners of the cell.
        now_ms : float
            Local time; within `REFRESH_MS` of the last measurement nothing is done.
        """
        if now_ms - self._measured_ms < REFRESH_MS:
            return
        self._measured_ms = now_ms
        by_service: dict[str, list[Runner]] = {}
        for runner in runners:
            if runner.listed and not runner.entry.draining:
                by_service.setdefault(runner.entry.service, []).append(runner)
        for queue in self._fill_queues.values():
            queue.in_time, queue.all, queue.added = {}, {}, {}
        for job in jobs:
            if job.is_open:
                self._add_fill_work(job, now_ms)
        for service, queue in self._fill_queues.items():
            queue.capacity.measure(by_service.get(service, ()), queue.all)
            queue.wait_in_time = queue.capacity.drain(queue.in_time)
            queue.wait_all = queue.capacity.drain(queue.all)

    def _add_fill_work(self, job: Job, now_ms: float) -> None:
        queue = None
        for step in job.steps.values():
            spec = step.spec
            if not spec.fills or spec.long_running or step.is_done:
                continue
            queue = queue or self._find_fill_queue(job.queue.service)
            left = self._measure_left(step)
            queue.all[spec.image] = queue.all.get(spec.image, 0.0) + left
            if self.slack_ms(step, now_ms) >= 0:
                queue.in_time[spec.image] = queue.in_time.get(spec.image, 0.0) + left

    def _measure_left(self, step: StepRun) -> float:
        """Return the work that a step still needs, in thousandths of a core times ms."""
        left = step.spec.count - step.done_count
        # A task that runs is half done on average.
        left -= 0.5 * max(0, left - len(step.waiting))
        return left * step.spec.cpu_milli * self.run_ms(step)

    def _offer(self, queue: str, spec: JobSpec) -> None:
        """Count the filling work of a job that was handed in, whether it is taken or not."""
        self._offered = {
            image: work * _OFFERED_KEPT
            for image, work in self._offered.items()
            if work >= _LEAST_OFFERED
        }
        self._add_fill_steps(queue, spec, self._offered)

    def measure_prices(self, service: str) -> dict[str, float]:
        """Return how scarce the room of each filling image is; the mean over images is 1."""
        capacity = self._find_fill_queue(service).capacity
        scarce = {
            image: work / max(_LEAST_ROOM_CPU, capacity.total(image))
            for image, work in self._offered.items()
        }
        mean = sum(scarce.values()) / len(scarce) if scarce else 0.0
        return {image: value / mean for image, value in scarce.items()} if mean > 0 else {}

    def wait_fill(self, queue: Queue, spec: JobSpec) -> Waits:
        """Return how long a new filling job would wait, in ms.

        Parameters
        ----------
        queue : Queue
            Queue of the job.
        spec : JobSpec
            The job.
        """
        found = self._find_fill_queue(queue.service)
        in_time = behind_all = 0.0
        for step in spec.steps:
            if step.fills:
                total = found.capacity.total(step.image)
                added = found.added.get(step.image, 0.0)
                added_ms = added / total if total > 0 else 0.0
                in_time = max(in_time, found.wait_in_time.get(step.image, 0.0) + added_ms)
                behind_all = max(behind_all, found.wait_all.get(step.image, 0.0) + added_ms)
        return Waits(in_time_ms=in_time, all_ms=behind_all)

    def add_fill(self, queue: Queue, spec: JobSpec) -> None:
        """Count a filling job that was accepted since the last measurement."""
        self._add_fill_steps(queue.name, spec, self._find_fill_queue(queue.service).added)

    def wait_short(
        self, jobs: Iterable[Job], runners: Iterable[Runner], *, service: str, now_ms: float
    ) -> Waits:
        """Return how long a new job of a service that doesn't fill would wait.

        Parameters
        ----------
        jobs : iterable of Job
            All jobs of the cell.
        runners : iterable of Runner
            All runners of the cell.
        service : str
            Service of the new job.
        now_ms : float
            Local time.
        """
        in_time = behind_all = 0.0
        for job in jobs:
            if not job.is_open or job.queue.service != service:
                continue
            for step in job.steps.values():
                if not (step.spec.fills or step.spec.long_running or step.is_done):
                    work = self._measure_left(step)
                    behind_all += work
                    if self.slack_ms(step, now_ms) >= 0:
                        in_time += work
        capacity = 0.0
        for runner in runners:
            if runner.listed and not runner.entry.draining and runner.entry.service == service:
                capacity += max(0.0, _free_cpu(runner))
        return Waits(
            in_time_ms=Backlog(work=in_time, capacity=capacity).queueing_delay_ms,
            all_ms=Backlog(work=behind_all, capacity=capacity).queueing_delay_ms,
        )


def _free_cpu(runner: Runner) -> float:
    """Return what is left beside the long-running tasks on a runner."""
    lasting = sum(run.step.cpu_milli for run in runner.runs.values() if run.step.long_running)
    return runner.entry.cpu_milli - lasting
