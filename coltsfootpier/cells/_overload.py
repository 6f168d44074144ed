"""Decisions while the capacity doesn't suffice for all accepted work.

Each decision names the load condition that it responds to:

* An urgent task fits on no runner because best-effort runs hold memory: `Preemptor` stops those
  whose stop costs their callers least.
* An accepted job had no run for `CellSettings.aged_start_ms`: `choose_aged_start` names the runner
  where one of its tasks interferes least.
* A restarted long-running task competes with urgent tasks: `yields_to_urgent` delays it for a
  bounded time.
"""

from __future__ import annotations

import heapq
import operator
from collections.abc import Callable, Collection, Iterable

import attrs

from coltsfootpier.cells._interference import InterferenceTable
from coltsfootpier.cells._placement import is_eligible
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Run, Runner, RunState, StepRun, Task

# Time in ms that a task takes to resume from a checkpoint, lost with each stop.
_RESUME_MS = 600.0
# Maximum number of steps that one plan examines for preemption; bounds its time. They have more
# tasks than `preemptions_per_plan`.
_MAX_STEPS = 32


@attrs.frozen
class Lateness:
    """Time left to a job.

    Parameters
    ----------
    slack_ms : float
        Time until the objective, less the expected time to the end of the job.
    late_class : int
        0 while the job can meet its objective, 1 while its result is of some use, 2 after that.
    """

    slack_ms: float
    late_class: int


@attrs.frozen
class _Loss:
    """What the stop of some runs costs; a smaller one is better.

    The fields are compared in their order: runs without checkpoints, lost work in thousandths of a
    core times ms, and the slack of the job with the least, negated.
    """

    unsaved: int = 0
    work: float = 0.0
    urgency: float = float("-inf")

    def add(self, other: _Loss) -> _Loss:
        """Return the loss of both."""
        return _Loss(
            self.unsaved + other.unsaved,
            self.work + other.work,
            max(self.urgency, other.urgency),
        )

    def as_key(self) -> tuple[int, float, float]:
        """Return the sort key."""
        return self.unsaved, self.work, self.urgency


@attrs.frozen
class Preemption:
    """A run to stop, the step whose task needs its capacity, and the work that the stop loses."""

    run: Run
    step: StepRun
    lost_work: float


@attrs.define
class _Claim:
    """Capacity that is being freed on a runner for one task."""

    step: StepRun
    index: int
    runner: Runner
    until_ms: float


def yields_to_urgent(step: StepRun, now_ms: float, settings: CellSettings) -> bool:
    """Return whether a long-running step goes after the urgent tasks of its priority.

    Load condition: some of its tasks have run before and wait again, for less than
    `long_running_yield_ms`. An urgent task of less than a second can use the capacity meanwhile.
    """
    return (
        step.spec.long_running
        and step.tasks_started
        and now_ms - step.waiting_since_ms < settings.long_running_yield_ms
        # Capacity is kept for a run that was stopped to move.
        and not any(
            step.tasks[index].preferred_runner for index in step.waiting if index in step.tasks
        )
    )


def is_aged(step: StepRun, now_ms: float, settings: CellSettings) -> bool:
    """Return whether a best-effort step's job had no run for longer than the bound.

    Load condition: a task is due to start, no runner leaves its serving tasks enough headroom for
    it, or other jobs always go first.
    """
    return (
        step.spec.fills
        and not step.spec.gang
        and step.job.run_count == 0
        and now_ms - max(step.ready_ms, step.job.idle_since_ms) >= settings.aged_start_ms
    )


@attrs.frozen
class CapacityUse:
    """How much of a service's CPU is in use.

    A start beside serving tasks without headroom costs their users, and in a backlog it takes
    capacity from jobs that go first. It is owed to a job that waits too long only while less than
    half of the capacity is in use.

    Parameters
    ----------
    is_half_unused : bool
        Whether less than half is in use, best-effort tasks included.
    is_half_undeclared : bool
        Whether tasks that aren't best-effort declare less than half.
    """

    is_half_unused: bool
    is_half_undeclared: bool


def measure_use(runners: Iterable[Runner]) -> CapacityUse:
    """Return how much of the CPU of a service's runners is in use."""
    unused_cpu = 0.0
    cpu_milli = guaranteed_cpu = 0
    for runner in runners:
        unused_cpu += max(0.0, runner.unused_cpu)
        cpu_milli += runner.entry.cpu_milli
        guaranteed_cpu += runner.guaranteed_cpu
    return CapacityUse(
        is_half_unused=2 * unused_cpu > cpu_milli,
        is_half_undeclared=2 * guaranteed_cpu < cpu_milli,
    )


def has_free_capacity(
    step: StepRun, runners: Iterable[Runner], *, memory_only: bool = False
) -> bool:
    """Return whether capacity for twice the waiting demand of a step's job is free.

    Parameters
    ----------
    step : StepRun
        The step.
    runners : iterable of Runner
        Usable runners of the service.
    memory_only : bool
        Whether the CPU that other best-effort tasks use counts as free.
    """
    demands = [
        (len(other.waiting), other.spec)
        for other in step.occurrence.steps
        if other.waiting and other.ready_ms < float("inf")
    ]
    wanted_cpu = 0 if memory_only else 2 * sum(count * spec.cpu_milli for count, spec in demands)
    wanted_mb = 2 * sum(count * spec.memory_mb for count, spec in demands)
    for runner in runners:
        wanted_cpu -= max(0.0, runner.unused_cpu)
        wanted_mb -= max(0, runner.entry.memory_mb - runner.memory_mb)
        if wanted_cpu <= 0 and wanted_mb <= 0:
            return True
    return False


def choose_aged_start(
    runners: Iterable[Runner],
    step: StepRun,
    task: Task | None,
    table: InterferenceTable,
    settings: CellSettings,
    *,
    shares_cpu: bool = False,
) -> tuple[Runner, int] | None:
    """Return the runner where a best-effort task interferes least, and the pace to start at.

    Runners whose serving tasks are over their targets are left out, so that the task can't be the
    cause of a longer excess.

    Parameters
    ----------
    runners : iterable of Runner
        Usable runners of the service.
    step : StepRun
        The step.
    task : Task, optional
        The task, if it was started before; runners where it failed come last.
    table : InterferenceTable
        Estimated interference of best-effort images with serving images.
    settings : CellSettings
        Limits and weights.
    shares_cpu : bool
        Whether the task may take a part of the CPU that other best-effort tasks use.

    Returns
    -------
    tuple of Runner and int, or None
        None when its declared resources are free on no runner.
    """
    best: tuple[tuple[bool, float, float], Runner] | None = None
    lowest = settings.pace_levels[-1]
    for runner in runners:
        if runner.harmed or not runner.fits(step.spec) or not is_eligible(runner, step):
            continue
        needed_cpu = step.spec.cpu_milli * lowest / 100
        if runner.unused_cpu < needed_cpu and not shares_cpu:
            continue
        has_failed = task is not None and runner.entry.id in task.avoided_runners
        spare = table.measure_spare(runner, step.spec, lowest)
        key = (not has_failed, spare, runner.unused_cpu)
        if best is None or key > best[0]:
            best = key, runner
    if best is None:
        return None
    runner = best[1]
    for level in settings.pace_levels:
        if table.measure_spare(runner, step.spec, level) >= 0 and (
            runner.unused_cpu >= step.spec.cpu_milli * level / 100
        ):
            return runner, level
    return runner, lowest


@attrs.frozen
class _Victim:
    """A run that may be stopped, what that loses, and whether its job can be on time."""

    run: Run
    loss: _Loss
    is_on_time: bool


@attrs.define
class _RunnerView:
    """Capacity of a runner for urgent tasks, as of one version of it.

    Parameters
    ----------
    free : tuple of int
        CPU in thousandths of a core, memory in MB and GPUs that are free or are being freed.
    stopping_since_ms : float
        When the first of the present stops was commanded; infinite without any.
    victims : dict of int to list of _Victim
        Runs that tasks of a priority may stop, best first.
    """

    version: int
    free: tuple[int, int, int]
    stopping_since_ms: float
    victims: dict[int, list[_Victim]] = attrs.field(factory=dict)


class Preemptor:
    """Selects best-effort runs to stop for urgent tasks that fit on no runner.

    Under overload hundreds of steps find no runner in each plan of 20 ms, beside thousands of
    best-effort runs. What is derived from the runs of a runner is therefore kept until it changes,
    at most until its next report, and a demand isn't examined after a smaller one has failed.

    Parameters
    ----------
    settings : CellSettings
        Limits.
    measure_lateness : callable
        Returns the `Lateness` of a step's job at a local time.
    """

    def __init__(
        self, settings: CellSettings, measure_lateness: Callable[[StepRun, float], Lateness]
    ) -> None:
        self._settings = settings
        self._measure_lateness = measure_lateness
        self._claims: dict[tuple[tuple[str, int, int], int], _Claim] = {}
        # Capacity that the claims hold on each runner.
        self._held: dict[str, tuple[int, int, int]] = {}
        self._views: dict[str, _RunnerView] = {}
        # Lateness of the steps that were examined in this plan.
        self._lateness: dict[tuple[str, int, int], Lateness] = {}

    def choose(
        self,
        steps: Iterable[tuple[StepRun, list[int], list[Runner]]],
        now_ms: float,
    ) -> list[Preemption]:
        """Return the runs to stop now.

        Load condition: a task of a more urgent queue fits on no runner, and would fit without
        best-effort runs of less urgent queues.

        Parameters
        ----------
        steps : iterable of tuple of StepRun, list of int and list of Runner
            Steps with tasks that fit on no runner, in the order of their ranks; the indices of
            these tasks; and the runners on which they may start.
        now_ms : float
            Local time.
        """
        self._drop_claims(now_ms)
        self._lateness.clear()
        chosen: list[Preemption] = []
        failed: list[tuple[tuple[object, ...], tuple[int, int, int]]] = []
        examined = 0
        for step, indices, runners in steps:
            if len(chosen) >= self._settings.preemptions_per_plan or examined >= _MAX_STEPS:
                break
            wanted = [index for index in indices if (step.id, index) not in self._claims]
            if not wanted:
                continue
            examined += 1
            lateness = self._get_lateness(step, now_ms)
            if lateness.late_class > 1:
                continue
            is_on_time = step.spec.long_running or lateness.slack_ms >= self._settings.stop_wait_ms
            key, size = _build_key(step, is_on_time), _get_size(step)
            if any(
                key == failed_key and all(map(operator.le, failed_size, size))
                for failed_key, failed_size in failed
            ):
                continue
            found = self._choose_for_step(step, wanted, runners, is_on_time, now_ms)
            chosen += found
            if any((step.id, index) not in self._claims for index in wanted):
                failed.append((key, size))
        return chosen

    def _get_lateness(self, step: StepRun, now_ms: float) -> Lateness:
        found = self._lateness.get(step.id)
        if found is None:
            found = self._lateness[step.id] = self._measure_lateness(step, now_ms)
        return found

    def _drop_claims(self, now_ms: float) -> None:
        self._claims = {
            key: claim
            for key, claim in self._claims.items()
            if claim.until_ms > now_ms and claim.index in claim.step.waiting
        }
        self._held = {}
        for claim in self._claims.values():
            self._hold(claim)

    def _hold(self, claim: _Claim) -> None:
        name = claim.runner.entry.id
        held = self._held.get(name, (0, 0, 0))
        self._held[name] = tuple(map(operator.add, held, _get_size(claim.step)))

    def _choose_for_step(
        self,
        step: StepRun,
        wanted: list[int],
        runners: list[Runner],
        is_on_time: bool,
        now_ms: float,
    ) -> list[Preemption]:
        heap: list[tuple[tuple[int, float, float], int, list[_Victim]]] = []

        def push(position: int) -> None:
            victims = self._find_victims(runners[position], step, is_on_time, now_ms)
            if victims is not None:
                loss = _Loss()
                for victim in victims:
                    loss = loss.add(victim.loss)
                heapq.heappush(heap, (loss.as_key(), position, victims))

        for position in range(len(runners)):
            push(position)
        chosen: list[Preemption] = []
        for index in wanted:
            if not heap or len(chosen) >= self._settings.preemptions_per_plan:
                break
            _, position, victims = heapq.heappop(heap)
            runner = runners[position]
            until_ms = now_ms + self._settings.preempt_claim_ms
            claim = self._claims[step.id, index] = _Claim(step, index, runner, until_ms)
            self._hold(claim)
            for victim in victims:
                victim.run.preempted = True
                victim.run.task.preempted_count += 1
                chosen.append(Preemption(victim.run, step, victim.loss.work))
            if victims:
                runner.invalidate_headroom()
            push(position)
        return chosen

    def _find_victims(
        self, runner: Runner, step: StepRun, is_on_time: bool, now_ms: float
    ) -> list[_Victim] | None:
        """Return the runs whose stop makes a runner fit one more task; None if none do."""
        view = self._get_view(runner, now_ms)
        held = self._held.get(runner.entry.id, (0, 0, 0))
        missing_cpu, missing_mb, missing_gpus = (
            size + held_part - free
            for size, held_part, free in zip(_get_size(step), held, view.free, strict=True)
        )
        # Best-effort runs hold no declared CPU. A runner that didn't carry out a stop in time may
        # not respond.
        if (
            missing_cpu > 0
            or now_ms - view.stopping_since_ms >= self._settings.preempt_claim_ms
            or not self._may_start_on(runner, step)
        ):
            return None
        victims: list[_Victim] = []
        for victim in self._list_victims(view, runner, step.job.queue.priority, now_ms):
            if missing_mb <= 0 and missing_gpus <= 0:
                break
            spec = victim.run.step
            is_useful = (missing_mb > 0 and spec.memory_mb) or (missing_gpus > 0 and spec.gpus)
            # A job that can be on time isn't stopped for one that can't.
            if is_useful and (is_on_time or not victim.is_on_time):
                victims.append(victim)
                missing_mb -= spec.memory_mb
                missing_gpus -= spec.gpus
        if missing_mb > 0 or missing_gpus > 0:
            return None
        # A later, larger victim may have made an earlier one unnecessary.
        for victim in list(victims):
            spec = victim.run.step
            if missing_mb + spec.memory_mb <= 0 and missing_gpus + spec.gpus <= 0:
                victims.remove(victim)
                missing_mb += spec.memory_mb
                missing_gpus += spec.gpus
        return victims

    def _may_start_on(self, runner: Runner, step: StepRun) -> bool:
        """Return whether label and limit per runner allow a run, with those that are claimed."""
        if not is_eligible(runner, step):
            return False
        limit = step.spec.max_per_runner
        if not limit:
            return True
        claimed = sum(
            claim.step is step and claim.runner is runner for claim in self._claims.values()
        )
        return step.runs_per_runner.get(runner.entry.id, 0) + claimed < limit

    def _get_view(self, runner: Runner, now_ms: float) -> _RunnerView:
        name, entry = runner.entry.id, runner.entry
        view = self._views.get(name)
        if view is not None and view.version == runner.version:
            return view
        cpu = runner.guaranteed_cpu
        memory_mb, gpus = runner.memory_mb, runner.gpus
        stopping_since_ms = float("inf")
        for run in runner.runs.values():
            if run.state is RunState.STOPPING or run.preempted:
                # It holds its capacity only for a moment, unless its runner doesn't respond.
                cpu -= 0 if run.step.fills else run.step.cpu_milli
                memory_mb -= run.step.memory_mb
                gpus -= run.step.gpus
                # A run that was chosen in this plan is stopped after it.
                stopping_since_ms = min(stopping_since_ms, run.stopping_since_ms, now_ms)
        free = (entry.cpu_milli - cpu, entry.memory_mb - memory_mb, entry.gpus - gpus)
        view = self._views[name] = _RunnerView(runner.version, free, stopping_since_ms)
        return view

    def _list_victims(
        self, view: _RunnerView, runner: Runner, priority: int, now_ms: float
    ) -> list[_Victim]:
        found = view.victims.get(priority)
        if found is None:
            found = view.victims[priority] = [
                self._measure_victim(run, now_ms)
                for run in runner.runs.values()
                if self._may_preempt(run, priority)
            ]
            found.sort(key=lambda victim: victim.loss.as_key())
        return found

    def _may_preempt(self, run: Run, priority: int) -> bool:
        return (
            run.step.fills
            and not run.step.gang
            and not run.step.long_running
            and not run.preempted
            and run.state is RunState.RUNNING
            and run.step_run.job.queue.priority > priority
            and run.task.preempted_count < self._settings.max_preemptions
        )

    def _measure_victim(self, run: Run, now_ms: float) -> _Victim:
        since_ms = run.start_sent_ms
        if run.step.checkpointed:
            since_ms = max(since_ms, run.checkpoint_ms) - _RESUME_MS
        lateness = self._get_lateness(run.step_run, now_ms)
        loss = _Loss(
            unsaved=0 if run.step.checkpointed else 1,
            work=run.step.cpu_milli * max(0, run.pace) / 100 * (now_ms - since_ms),
            urgency=-lateness.slack_ms,
        )
        return _Victim(run, loss, lateness.late_class == 0)

    def forget_runners(self, known: Collection[str]) -> None:
        """Drop what is kept about runners that aren't known any more."""
        if len(self._views) > len(known):
            self._views = {name: view for name, view in self._views.items() if name in known}


def _get_size(step: StepRun) -> tuple[int, int, int]:
    return step.spec.cpu_milli, step.spec.memory_mb, step.spec.gpus


def _build_key(step: StepRun, is_on_time: bool) -> tuple[object, ...]:
    """Return a key; of two demands with equal keys, the smaller fits wherever the larger does."""
    spec, queue = step.spec, step.job.queue
    is_limited = spec.required_label or spec.max_per_runner or queue.needs_advice
    return queue.service, queue.priority, is_on_time, step.id if is_limited else None
