"""Placement of waiting tasks and selection of runs to move."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping

from coltsfootpier.cells._copies import Copies, Straggler
from coltsfootpier.cells._estimates import Estimates
from coltsfootpier.cells._fleet import Fleet, LogCallback
from coltsfootpier.cells._interference import InterferenceTable
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells._messages import AdviceRequest, RunId, StartRun
from coltsfootpier.cells._overload import (
    CapacityUse,
    Preemptor,
    choose_aged_start,
    has_free_capacity,
    is_aged,
    measure_use,
    yields_to_urgent,
)
from coltsfootpier.cells._placement import choose_runner, is_eligible, is_usable
from coltsfootpier.cells._progress import Progress
from coltsfootpier.cells._regrouping import Regrouper
from coltsfootpier.cells._search import RunnerRanking, RunnerSearch
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Run, Runner, RunState, StepRun, Task

# Attempt numbers reserved for one owner of a task. Each owner starts from a base of its own, so
# that it never reuses a number that an earlier owner used without recording it.
ATTEMPTS_PER_OWNER = 10_000
# Pace in percent up to which a best-effort run counts as slowed and may be moved.
_SLOWED_PERCENT = 50


class Planner:
    """Places ready tasks on usable runners.

    Parameters
    ----------
    settings : CellSettings
        Limits and weights.
    generation : int
        Number of this ownership.
    jobs : JobTable
        Jobs of the cell.
    fleet : Fleet
        Runners of the cell.
    estimates : Estimates
        Expected durations and work of jobs.
    interference : InterferenceTable
        Estimated interference of best-effort images with serving images.
    copies : Copies
        Decides which tasks get a copy.
    counters : Counter
        Counts of decisions.
    log : callable
        Callback that logs one event with its fields.
    observe : callable
        Callback that adds a latency in ms to the histogram with the given name.
    """

    def __init__(
        self,
        *,
        settings: CellSettings,
        generation: int,
        jobs: JobTable,
        fleet: Fleet,
        estimates: Estimates,
        interference: InterferenceTable,
        copies: Copies,
        counters: Counter[str],
        log: LogCallback,
        observe: Callable[[str, float], None],
    ) -> None:
        self._log = log
        self._counters = counters
        self._observe = observe
        self._settings = settings
        self._generation = generation
        self._jobs = jobs
        self._fleet = fleet
        self._estimates = estimates
        self._interference = interference
        self._copies = copies
        self._search = RunnerSearch(interference, settings)
        self._regrouper = Regrouper(interference, settings)
        self._last_regroup_ms = float("-inf")
        self._preemptor = Preemptor(settings, estimates.measure_lateness)
        # Steps with tasks that fitted on no runner in the last plan, in the order of their ranks.
        self._blocked: list[StepRun] = []
        # Runners of each service that may get new runs in this plan.
        self.usable_runners: dict[str, list[Runner]] = {}

    def collect_usable_runners(self, now_ms: float) -> None:
        """Determine the runners that may get new runs in the next plan."""
        usable: dict[str, list[Runner]] = {}
        for runner in self._fleet.runners.values():
            runner.cold = now_ms < runner.cold_until_ms
            if is_usable(runner, now_ms, self._settings) and self._fleet.proof.covers_incarnation(
                runner
            ):
                usable.setdefault(runner.entry.service, []).append(runner)
        self.usable_runners = usable
        self._search.start_plan(usable)

    def place_tasks(self, now_ms: float) -> list[StartRun | AdviceRequest]:
        """Place the waiting tasks that fit on a runner and return the commands."""
        steps = [
            step for step in self._jobs.ready.values() if step.waiting and self._may_start(step)
        ]
        for step in steps:
            step.waiting_since_ms = min(step.waiting_since_ms, now_ms)
            if not step.job.run_count:
                step.job.idle_since_ms = min(step.job.idle_since_ms, now_ms)
        settings = self._settings
        steps.sort(
            key=lambda step: self._estimates.rank(
                step, now_ms, yields=yields_to_urgent(step, now_ms, settings)
            )
        )
        commands: list[StartRun | AdviceRequest] = []
        self._blocked = []
        # Aged jobs get their one run before other best-effort tasks take the capacity.
        first_best_effort = next(
            (
                number
                for number, step in enumerate(steps)
                if step.spec.fills and not step.spec.long_running
            ),
            len(steps),
        )
        for number, step in enumerate(steps):
            if number == first_best_effort:
                commands += self._place_aged(steps[number:], now_ms)
            service = step.job.queue.service
            runners = self._search.list_usable(service)
            if not runners:
                continue
            if step.job.queue.needs_advice:
                request = self._build_advice_request(step, runners, now_ms)
                if request is not None:
                    commands.append(request)
                runners = self._list_approved(step, runners, now_ms)
            held = self._fleet.unanswered_starts.find_held(step, now_ms)
            if step.spec.gang:
                commands += self._place_gang(step, runners, held, now_ms)
                continue
            commands += self._place_held(step, runners, held, now_ms)
            # The tasks that are still held must not keep others waiting.
            passed_over = [index for index in held if index in step.waiting]
            for index in passed_over:
                step.waiting.remove(index)
            ranking: RunnerRanking | None = None
            while step.waiting:
                index = step.waiting[0]
                task = step.tasks.get(index)
                if step.job.queue.needs_advice:
                    runner = self._choose_runner(runners, step, task)
                elif task is not None and task.has_preferences:
                    runner = self._search.find_runner(step, service, task)
                else:
                    ranking = ranking or self._search.rank_runners(step, service)
                    runner = self._search.choose_ranked(ranking, step, service)
                if runner is None:
                    step.blocked_ms = min(step.blocked_ms, now_ms)
                    self._blocked.append(step)
                    break
                commands.append(self._start_run(runner, step, index, now_ms))
            else:
                step.blocked_ms = step.waiting_since_ms = float("inf")
            step.waiting.extendleft(reversed(passed_over))
        return commands

    def _may_start(self, step: StepRun) -> bool:
        """Return whether the job of a step is durable and no unknown run of it may exist."""
        return step.job.durable_version > 0 and not (
            self._fleet.may_have_unknown_runs and step.job.record.id in self._jobs.inherited
        )

    def place_copies(self, now_ms: float) -> list[StartRun]:
        """Start copies of slow runs on capacity that no waiting task needs.

        Called after `place_tasks`, so that the tasks that still wait fit on no runner.
        """
        ready = list(self._jobs.ready.values())
        stragglers = self._copies.find_stragglers(filter(self._may_start, ready), now_ms)
        commands = []
        reserves: dict[tuple[str, bool], _WaitingReserve] = {}
        for straggler in stragglers:
            step = straggler.step
            if not self._copies.has_budget(step, step.job.queue.service):
                continue
            key = step.job.queue.service, step.spec.fills
            if key not in reserves:
                reserves[key] = _WaitingReserve(ready, *key)
            runner = self._choose_copy_runner(straggler, reserves[key], now_ms)
            if runner is None:
                continue
            command = self._start_run(runner, step, straggler.index, now_ms)
            self._copies.record_start(runner.runs[command.run], straggler, now_ms)
            commands.append(command)
        return commands

    def _choose_copy_runner(
        self, straggler: Straggler, reserve: _WaitingReserve, now_ms: float
    ) -> Runner | None:
        """Return a runner for a copy: on another VM, preferably in another rack."""
        step = straggler.step
        task = step.tasks[straggler.index]
        runners = self._search.list_usable(step.job.queue.service)
        if step.job.queue.needs_advice:
            runners = self._list_approved(step, runners, now_ms)
        occupied = {run.runner_id for run in task.runs} | task.avoided_runners
        runners = [
            runner
            for runner in runners
            if runner.entry.id not in occupied
            and not runner.on_probation
            and not runner.is_slow
            and not reserve.needs(runner)
        ]
        rack = self._fleet.runners[straggler.run.runner_id].entry.rack
        # Away from the rack of its input data a task is slow.
        has_affinity = bool(step.spec.rack_affinity)
        elsewhere = [runner for runner in runners if has_affinity or runner.entry.rack != rack]
        return self._choose_runner(elsewhere, step, task) or self._choose_runner(
            runners, step, task
        )

    def _place_aged(self, steps: list[StepRun], now_ms: float) -> list[StartRun]:
        """Start one task of each best-effort job that had no run for too long."""
        commands = []
        uses: dict[str, CapacityUse] = {}
        for step in steps:
            if not step.waiting or not is_aged(step, now_ms, self._settings):
                continue
            service = step.job.queue.service
            if service not in uses:
                uses[service] = measure_use(self._search.list_usable(service))
            use = uses[service]
            if not (use.is_half_unused or use.is_half_undeclared):
                continue
            held = self._fleet.unanswered_starts.find_held(step, now_ms)
            index = next((index for index in step.waiting if index not in held), None)
            if index is None:
                continue
            runners = self._search.list_usable(step.job.queue.service)
            if step.job.queue.needs_advice:
                runners = self._list_approved(step, runners, now_ms)
            has_unused = use.is_half_unused and has_free_capacity(step, runners)
            if not has_unused and not (
                use.is_half_undeclared and has_free_capacity(step, runners, memory_only=True)
            ):
                continue
            chosen = choose_aged_start(
                runners,
                step,
                step.tasks.get(index),
                self._interference,
                self._settings,
                shares_cpu=not has_unused,
            )
            if chosen is None:
                continue
            runner, percent = chosen
            if not has_unused:
                # Other best-effort tasks, which go first, use the CPU.
                percent = self._settings.pace_levels[-1]
            idle_ms = now_ms - max(step.ready_ms, step.job.idle_since_ms)
            command = self._start_run(runner, step, index, now_ms)
            run = runner.runs[command.run]
            run.is_aged, run.pace = True, percent
            runner.invalidate_headroom()
            self._counters["aged_starts"] += 1
            self._log(
                "aged job started",
                run=str(run.id),
                runner=runner.entry.id,
                percent=percent,
                idle_ms=idle_ms,
            )
            commands.append(command)
        return commands

    def choose_preempted_runs(self, now_ms: float) -> list[Run]:
        """Return best-effort runs to stop for more urgent tasks that fit on no runner."""
        chosen = self._preemptor.choose(self._iter_blocked(now_ms), now_ms)
        self._preemptor.forget_runners(self._fleet.runners)
        for preemption in chosen:
            run = preemption.run
            self._counters["preempted_runs"] += 1
            self._log(
                "run preempted",
                run=str(run.id),
                runner=run.runner_id,
                job=preemption.step.job.record.id,
                lost_work=preemption.lost_work,
            )
        return [preemption.run for preemption in chosen]

    def _iter_blocked(self, now_ms: float) -> Iterator[tuple[StepRun, list[int], list[Runner]]]:
        """Iterate over the steps that may preempt, their blocked tasks and possible runners."""
        for step in self._blocked:
            if step.waiting and self._may_preempt(step, now_ms):
                held = self._fleet.unanswered_starts.find_held(step, now_ms)
                runners = self._search.list_usable(step.job.queue.service)
                if step.job.queue.needs_advice:
                    runners = self._list_approved(step, runners, now_ms)
                yield step, [index for index in step.waiting if index not in held], runners

    def _may_preempt(self, step: StepRun, now_ms: float) -> bool:
        if step.spec.fills or step.spec.gang:
            return False
        blocked_ms = now_ms - step.blocked_ms
        return not step.spec.long_running or blocked_ms >= self._settings.make_room_after_ms

    def _place_held(
        self, step: StepRun, runners: list[Runner], held: Mapping[int, str], now_ms: float
    ) -> list[StartRun]:
        """Start the held tasks whose runner rejects their late starts and has capacity."""
        commands = []
        for index in held:
            allowed = self._list_allowed(step, index, runners, held)
            runner = self._choose_runner(allowed, step, step.tasks.get(index))
            if runner is not None:
                command = self._start_run(runner, step, index, now_ms)
                self._fleet.unanswered_starts.record_resumption(command.run, now_ms)
                commands.append(command)
        return commands

    def _list_allowed(
        self, step: StepRun, index: int, runners: list[Runner], held: Mapping[int, str]
    ) -> list[Runner]:
        """Return the runners on which a task may start in view of its unanswered starts."""
        if index not in held:
            return runners
        return [
            runner
            for runner in runners
            if runner.entry.id == held[index]
            and not self._has_failed_on(step, index, runner)
            and self._fleet.unanswered_starts.is_rejected(step, index, runner)
        ]

    def _has_failed_on(self, step: StepRun, index: int, runner: Runner) -> bool:
        task = step.tasks.get(index)
        return task is not None and runner.entry.id in task.avoided_runners

    def choose_slowed_run(self, now_ms: float) -> Run | None:
        """Return a slowed best-effort run that fits beside the serving tasks of another runner.

        Each call returns only one run, so that each move takes the previous one into account.
        """
        settings = self._settings
        attempts = 0
        for runner in self._fleet.runners.values():
            for run in runner.runs.values():
                if not run.step.fills or run.state is not RunState.RUNNING:
                    continue
                if run.pace > _SLOWED_PERCENT:
                    run.last_unslowed_ms = now_ms
                    continue
                if (
                    now_ms - run.last_unslowed_ms < settings.move_after_ms
                    or now_ms - run.move_attempted_ms < settings.move_retry_ms
                    or not run.step.checkpointed
                ):
                    continue
                if attempts >= settings.moves_tried:
                    return None
                attempts += 1
                run.move_attempted_ms = now_ms
                if self.has_alternative(run, runner):
                    return run
        return None

    def choose_displaced_run(self, now_ms: float) -> Run | None:
        """Return a long-running run whose move frees capacity for one that fits on no runner.

        Placement packs tasks, which leaves the free capacity on a few runners, while a step with a
        limit per runner needs a little on many runners.
        """
        settings = self._settings
        for step in self._jobs.ready.values():
            if (
                not step.waiting
                or not step.spec.long_running
                or now_ms - step.blocked_ms < settings.make_room_after_ms
                or now_ms - step.last_move_ms < settings.make_room_period_ms
            ):
                continue
            step.last_move_ms = now_ms
            return self._find_displaceable_run(
                step, self._search.list_usable(step.job.queue.service)
            )
        return None

    def choose_regrouped_run(self, now_ms: float) -> Run | None:
        """Return a serving run whose move frees capacity for best-effort tasks.

        Nothing moves while a long-running task waits, since that task would take the capacity.
        """
        if now_ms - self._last_regroup_ms < self._settings.regroup_period_ms:
            return None
        self._last_regroup_ms = now_ms
        if any(step.waiting and step.spec.long_running for step in self._jobs.ready.values()):
            return None
        for service in self._search.list_services():
            scarcity = self._estimates.measure_scarcity(service)
            chosen = self._regrouper.choose(self._search.list_usable(service), scarcity)
            if chosen is not None:
                chosen.run.task.preferred_runner = chosen.target.entry.id
                self._log(
                    "serving run regrouped",
                    run=str(chosen.run.id),
                    runner=chosen.run.runner_id,
                    target=chosen.target.entry.id,
                    gain_cpu=chosen.gain,
                )
                return chosen.run
        return None

    def _find_displaceable_run(self, step: StepRun, runners: list[Runner]) -> Run | None:
        spec = step.spec
        for runner in runners:
            if not is_eligible(runner, step):
                continue
            missing_cpu = spec.cpu_milli - (runner.entry.cpu_milli - runner.guaranteed_cpu)
            missing_mb = spec.memory_mb - (runner.entry.memory_mb - runner.memory_mb)
            for run in runner.runs.values():
                if (
                    run.state is RunState.RUNNING
                    and run.step.long_running
                    # A step with a limit on unavailable tasks isn't disturbed for another step.
                    and not run.step.may_miss
                    and run.step_run is not step
                    and run.step.cpu_milli >= missing_cpu
                    and run.step.memory_mb >= missing_mb
                    and self.has_alternative(run, runner)
                ):
                    return run
        return None

    def has_alternative(self, run: Run, runner: Runner) -> bool:
        """Return whether a run fits on a runner other than its own."""
        return self.find_alternative(run, runner) is not None

    def find_alternative(self, run: Run, runner: Runner) -> Runner | None:
        """Return the best runner other than its own on which a run fits; None if there is none."""
        service = runner.entry.service
        found = self._search.find_runner(run.step_run, service)
        if found is not runner:
            return found
        others = [other for other in self._search.list_usable(service) if other is not runner]
        return self._choose_runner(others, run.step_run, None)

    def _list_approved(self, step: StepRun, runners: list[Runner], now_ms: float) -> list[Runner]:
        return [runner for runner in runners if step.find_ticket(runner.entry.id, now_ms)]

    def _build_advice_request(
        self, step: StepRun, runners: list[Runner], now_ms: float
    ) -> AdviceRequest | None:
        """Return an advice request for the fitting runners for which no valid advice is known.

        Return None if there are none, or while an earlier request may still get a response.
        """
        if now_ms - step.advice_requested_ms < self._settings.advice_retry_ms:
            return None
        unknown = [
            runner.entry.id
            for runner in runners
            if runner.entry.id not in step.unapproved
            and not step.find_ticket(runner.entry.id, now_ms)
            and runner.fits(step.spec)
        ]
        if not unknown:
            return None
        step.advice_requested_ms = now_ms
        limit = self._settings.advice_runners
        return AdviceRequest(step_id=step.id, runner_ids=tuple(unknown[:limit]))

    def apply_advice(
        self, request: AdviceRequest, tickets: Mapping[str, str], valid_ms: float, now_ms: float
    ) -> None:
        """Apply the response to a request; see `Cell.apply_advice`."""
        step = self._jobs.find_step_by_id(request.step_id)
        if step is None:
            return
        step.advice_requested_ms = float("-inf")
        for runner_id in request.runner_ids:
            if runner_id in tickets:
                step.tickets[runner_id] = (tickets[runner_id], now_ms + valid_ms)
        step.unapproved = step.unapproved.union(
            runner_id for runner_id in request.runner_ids if runner_id not in tickets
        )
        self._log(
            "advice received",
            job=request.step_id[0],
            step=request.step_id[2],
            requested=len(request.runner_ids),
            approved=len(tickets),
        )

    def _choose_runner(
        self, runners: list[Runner], step: StepRun, task: Task | None, *, rack: str = ""
    ) -> Runner | None:
        return choose_runner(runners, step, task, self._interference, self._settings, rack=rack)

    def _place_gang(
        self, step: StepRun, runners: list[Runner], held: Mapping[int, str], now_ms: float
    ) -> list[StartRun]:
        """Start all members of a gang at once, in one rack if that is required, or none of them."""
        if len(step.waiting) < step.spec.count:
            return []
        racks = {runner.entry.rack for runner in runners} if step.spec.same_rack else {""}
        for rack in sorted(racks, key=lambda rack: (rack != step.spec.rack_affinity, rack)):
            chosen = self._choose_members(step, runners, held, rack)
            if len(chosen) == len(step.waiting):
                attempt = 1 + max((task.attempt for task in step.tasks.values()), default=0)
                commands = [
                    self._start_run(chosen[index], step, index, now_ms, attempt=attempt)
                    for index in list(step.waiting)
                ]
                for command in commands:
                    self._fleet.unanswered_starts.record_resumption(command.run, now_ms)
                return commands
        return []

    def _choose_members(
        self, step: StepRun, runners: list[Runner], held: Mapping[int, str], rack: str
    ) -> dict[int, Runner]:
        """Return the runner of each member by index, as far as runners were found."""
        chosen: dict[int, Runner] = {}
        # Members that may start on one runner only choose first.
        for index in sorted(step.waiting, key=lambda index: index not in held):
            allowed = self._list_allowed(step, index, runners, held)
            runner = self._choose_runner(allowed, step, step.tasks.get(index), rack=rack)
            if runner is None:
                break
            # Reserve at once, so that the next member sees the remaining capacity.
            runner.reserve(step.spec)
            step.runs_per_runner[runner.entry.id] = step.runs_per_runner.get(runner.entry.id, 0) + 1
            chosen[index] = runner
        for runner in chosen.values():
            runner.reserve(step.spec, -1)
            step.runs_per_runner[runner.entry.id] -= 1
        return chosen

    def _record_step_start(self, runner: Runner, step: StepRun, now_ms: float) -> None:
        queueing_delay_ms = now_ms - step.ready_ms
        step.tasks_started = True
        self._observe("step_wait_ms", queueing_delay_ms)
        self._log(
            "step started",
            job=step.job.record.id,
            step=step.number,
            occurrence=step.occurrence.number,
            tasks=step.spec.count,
            runner=runner.entry.id,
            queueing_delay_ms=queueing_delay_ms,
            slack_ms=self._estimates.estimate_slack_ms(step, now_ms),
        )

    def _start_run(
        self, runner: Runner, step: StepRun, index: int, now_ms: float, *, attempt: int = 0
    ) -> StartRun:
        task = step.tasks.setdefault(index, Task())
        if not step.tasks_started:
            self._record_step_start(runner, step, now_ms)
        base = (self._generation - 1) * ATTEMPTS_PER_OWNER
        attempt = max(attempt, task.attempt + 1, base + 1)
        run_id = RunId(step.job.record.id, step.build_key(index), attempt)
        run = self._fleet.add_run(runner, step, run_id, now_ms)
        if not step.find_checkpoint(task):
            run.progress = Progress(now_ms, 0.0)
        task.preferred_runner = ""
        # A long-running task shows too late whether its runner is healthy.
        if not step.spec.long_running:
            runner.probe_run = run_id
        self._fleet.assert_capacity(runner)
        return self._build_start(runner, step, run_id, now_ms)

    def _build_start(self, runner: Runner, step: StepRun, run_id: RunId, now_ms: float) -> StartRun:
        self._fleet.unanswered_starts.record(run_id, runner, now_ms)
        return StartRun(
            runner_id=runner.entry.id,
            run=run_id,
            payload=step.job.record.spec.payload,
            checkpoint=step.find_checkpoint(step.tasks[run_id.key.index]),
            ticket=step.find_ticket(runner.entry.id, now_ms),
        )

    def may_retry_start(self, run: Run, now_ms: float) -> bool:
        """Return whether the start command of a run may be sent once more.

        It goes only to the incarnation that the first one was sent to: a later one may have other
        labels and less capacity.
        """
        runner = self._fleet.runners[run.runner_id]
        start = self._fleet.unanswered_starts.find(run.id)
        return (
            start is not None
            and start.started_unix_ms == runner.started_unix_ms
            and start.address == runner.entry.address
            and not runner.entry.draining
            and not runner.evacuated
            # Another run of the task may have failed since.
            and not run.step_run.has_used_up(run.id.key.index)
            and run.retry_count < self._settings.max_start_retries
            and (
                not run.step_run.job.queue.needs_advice
                or bool(run.step_run.find_ticket(run.runner_id, now_ms))
            )
        )

    def retry_start(self, run: Run, now_ms: float) -> StartRun:
        """Return the start command of a run once more."""
        run.retry_count += 1
        # When it starts is unknown.
        run.progress = None
        run.start_sent_ms = now_ms
        run.state = RunState.STARTING
        self._log(
            "start command repeated", run=str(run.id), runner=run.runner_id, retries=run.retry_count
        )
        runner = self._fleet.runners[run.runner_id]
        return self._build_start(runner, run.step_run, run.id, now_ms)


class _WaitingReserve:
    """Runners that a waiting task fits on once the short runs there have ended.

    They are determined once in each search for copies: hundreds of steps may wait, and each
    straggler would compare all of them with all runners.

    Parameters
    ----------
    ready : iterable of StepRun
        Steps that may have waiting tasks.
    service : str
        Service of the copies.
    fills : bool
        Whether the copies are best-effort tasks. Best-effort tasks use only what others leave, so
        they keep no other copy waiting.
    """

    def __init__(self, ready: Iterable[StepRun], service: str, fills: bool) -> None:
        # One step for each demand; steps with limits of their own count by themselves.
        self._steps = list(
            {
                (
                    step.spec.cpu_milli,
                    step.spec.memory_mb,
                    step.spec.required_label,
                    step.id if step.spec.max_per_runner else None,
                ): step
                for step in ready
                if step.waiting
                and step.job.queue.service == service
                and (fills or not step.spec.fills)
            }.values()
        )
        self._known: dict[str, bool] = {}

    def needs(self, runner: Runner) -> bool:
        """Return whether a waiting task may soon run on a runner."""
        found = self._known.get(runner.entry.id)
        if found is None:
            found = self._known[runner.entry.id] = self._check(runner)
        return found

    def _check(self, runner: Runner) -> bool:
        short = [run.step for run in runner.runs.values() if not run.step.long_running]
        free_cpu = runner.entry.cpu_milli - runner.guaranteed_cpu
        free_cpu += sum(other.cpu_milli for other in short if not other.fills)
        free_mb = runner.entry.memory_mb - runner.memory_mb
        free_mb += sum(other.memory_mb for other in short)
        return any(
            step.spec.cpu_milli <= free_cpu
            and step.spec.memory_mb <= free_mb
            and is_eligible(runner, step)
            for step in self._steps
        )
