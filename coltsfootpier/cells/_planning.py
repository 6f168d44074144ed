"""Which task starts where, and which filling runs move."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from coltsfootpier.cells._estimates import Estimates
from coltsfootpier.cells._fleet import Event, Fleet
from coltsfootpier.cells._interference import PressureTable
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells._messages import AdviceRequest, RunId, StartRun
from coltsfootpier.cells._placing import choose_runner, is_eligible, is_usable
from coltsfootpier.cells._regrouping import Regrouper
from coltsfootpier.cells._search import RunnerSearch
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Run, Runner, RunState, StepRun, Task

# Attempts that one owner may use for a task. An owner numbers from its own base, so that it never
# repeats a number that an earlier owner used without having recorded it.
ATTEMPTS_PER_OWNER = 10_000
# Pace in percent up to which a filling run counts as slowed and may be moved.
_SLOWED_PERCENT = 50


class Planner:
    """Places tasks that are ready on runners that are usable.

    Parameters
    ----------
    settings : CellSettings
        Limits and weights.
    generation : int
        Number of this ownership.
    jobs : JobTable
        Jobs.
    fleet : Fleet
        Runners.
    estimates : Estimates
        What jobs are expected to need.
    pressure : PressureTable
        Effect of filling tasks on serving ones.
    log : callable
        Takes an event's name and fields.
    observe : callable
        Takes the name of a histogram and a latency in ms.
    """

    def __init__(
        self,
        *,
        settings: CellSettings,
        generation: int,
        jobs: JobTable,
        fleet: Fleet,
        estimates: Estimates,
        pressure: PressureTable,
        log: Event,
        observe: Callable[[str, float], None],
    ) -> None:
        self._log = log
        self._observe = observe
        self._settings = settings
        self._generation = generation
        self._jobs = jobs
        self._fleet = fleet
        self._estimates = estimates
        self._pressure = pressure
        self._search = RunnerSearch(pressure, settings)
        self._regrouper = Regrouper(pressure, settings)
        self._regrouped_ms = float("-inf")

    def begin(self, now_ms: float) -> None:
        """Begin a plan with the runners that are usable now."""
        usable: dict[str, list[Runner]] = {}
        for runner in self._fleet.runners.values():
            if is_usable(runner, now_ms, self._settings):
                usable.setdefault(runner.entry.service, []).append(runner)
        self._search.begin(usable)

    def place(self, now_ms: float) -> list[StartRun | AdviceRequest]:
        """Start what has room; returns the orders."""
        steps = [
            step
            for step in self._jobs.ready.values()
            if step.waiting
            and step.job.durable_version > 0
            and not (self._fleet.inherited and step.job.record.id in self._jobs.inherited)
        ]
        steps.sort(key=lambda step: self._estimates.rank(step, now_ms))
        orders: list[StartRun | AdviceRequest] = []
        for step in steps:
            service = self._service_of(step)
            runners = self._search.list_usable(service)
            if not runners:
                continue
            if step.job.queue.needs_advice:
                question = self._find_question(step, runners, now_ms)
                if question is not None:
                    orders.append(question)
                runners = self._list_approved(step, runners, now_ms)
            if step.spec.gang:
                orders += self._place_gang(step, runners, now_ms)
                continue
            while step.waiting:
                index = step.waiting[0]
                task = step.tasks.get(index)
                if step.job.queue.needs_advice:
                    runner = self._choose(runners, step, task)
                else:
                    runner = self._search.find(step, service, task)
                if runner is None:
                    step.blocked_ms = min(step.blocked_ms, now_ms)
                    break
                orders.append(self._start(runner, step, index, now_ms))
            else:
                step.blocked_ms = float("inf")
        return orders

    def choose_moved(self, now_ms: float) -> Run | None:
        """Return a slowed filling run for which another runner has room without harm.

        One is returned for each plan, so that each sees the room that the one before takes.
        """
        settings = self._settings
        tried = 0
        for runner in self._fleet.runners.values():
            for run in runner.runs.values():
                if not run.step.fills or run.state is not RunState.RUNNING:
                    continue
                if run.pace > _SLOWED_PERCENT:
                    run.slowed_ms = now_ms
                    continue
                if (
                    now_ms - run.slowed_ms < settings.move_after_ms
                    or now_ms - run.move_tried_ms < settings.move_retry_ms
                    or not run.step.checkpointed
                ):
                    continue
                if tried >= settings.moves_tried:
                    return None
                tried += 1
                run.move_tried_ms = now_ms
                if self.finds_other(run, runner):
                    return run
        return None

    def choose_displaced(self, now_ms: float) -> Run | None:
        """Return a long-running run whose move makes room for one that finds no runner.

        A step that allows few tasks on one runner needs many runners with a little room each;
        runners that are packed leave it a few with much.
        """
        settings = self._settings
        for step in self._jobs.ready.values():
            if (
                not step.waiting
                or not step.spec.long_running
                or now_ms - step.blocked_ms < settings.make_room_after_ms
                or now_ms - step.displaced_ms < settings.make_room_period_ms
            ):
                continue
            step.displaced_ms = now_ms
            return self._find_displaced(step, self._search.list_usable(self._service_of(step)))
        return None

    def choose_regrouped(self, now_ms: float) -> Run | None:
        """Return a serving run whose move makes room for filling tasks.

        Nothing moves while a long-running task waits, since it would take the room.
        """
        if now_ms - self._regrouped_ms < self._settings.regroup_period_ms:
            return None
        self._regrouped_ms = now_ms
        if any(step.waiting and step.spec.long_running for step in self._jobs.ready.values()):
            return None
        for service in self._search.list_services():
            prices = self._estimates.measure_prices(service)
            chosen = self._regrouper.choose(self._search.list_usable(service), prices)
            if chosen is not None:
                chosen.run.task.preferred = chosen.target.entry.id
                self._log(
                    "serving run regrouped",
                    run=str(chosen.run.id),
                    runner=chosen.run.runner_id,
                    target=chosen.target.entry.id,
                    gain_cpu=chosen.gain,
                )
                return chosen.run
        return None

    def _find_displaced(self, step: StepRun, runners: list[Runner]) -> Run | None:
        spec = step.spec
        for runner in runners:
            if not is_eligible(runner, step):
                continue
            missing_cpu = spec.cpu_milli - (runner.entry.cpu_milli - runner.hard_cpu)
            missing_mb = spec.memory_mb - (runner.entry.memory_mb - runner.memory_mb)
            for run in runner.runs.values():
                if (
                    run.state is RunState.RUNNING
                    and run.step.long_running
                    # A step that names a limit is not disturbed for another one.
                    and not run.step.may_miss
                    and run.step_run is not step
                    and run.step.cpu_milli >= missing_cpu
                    and run.step.memory_mb >= missing_mb
                    and self.finds_other(run, runner)
                ):
                    return run
        return None

    def finds_other(self, run: Run, runner: Runner) -> bool:
        """Return whether another runner than its own has room for a run."""
        service = runner.entry.service
        found = self._search.find(run.step_run, service)
        if found is not runner:
            return found is not None
        others = [other for other in self._search.list_usable(service) if other is not runner]
        return self._choose(others, run.step_run, None) is not None

    def _service_of(self, step: StepRun) -> str:
        return self._jobs.queues.get(step.job.record.queue, step.job.queue).service

    def _list_approved(self, step: StepRun, runners: list[Runner], now_ms: float) -> list[Runner]:
        return [runner for runner in runners if step.find_ticket(runner.entry.id, now_ms)]

    def _find_question(
        self, step: StepRun, runners: list[Runner], now_ms: float
    ) -> AdviceRequest | None:
        """Return the question for runners that may have room and aren't known to be refused."""
        if now_ms - step.asked_ms < self._settings.advice_retry_ms:
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
        step.asked_ms = now_ms
        limit = self._settings.advice_runners
        return AdviceRequest(step_id=step.id, runner_ids=tuple(unknown[:limit]))

    def apply_advice(
        self, question: AdviceRequest, tickets: Mapping[str, str], valid_ms: float, now_ms: float
    ) -> None:
        """Take the answer to a question; see `Cell.take_advice`."""
        step = self._jobs.find_step_by_id(question.step_id)
        if step is None:
            return
        step.asked_ms = float("-inf")
        for runner_id in question.runner_ids:
            if runner_id in tickets:
                step.tickets[runner_id] = (tickets[runner_id], now_ms + valid_ms)
            else:
                step.unapproved.add(runner_id)
        self._log(
            "advice taken",
            job=question.step_id[0],
            step=question.step_id[2],
            asked=len(question.runner_ids),
            approved=len(tickets),
        )

    def _choose(
        self, runners: list[Runner], step: StepRun, task: Task | None, *, rack: str = ""
    ) -> Runner | None:
        return choose_runner(runners, step, task, self._pressure, self._settings, rack=rack)

    def _place_gang(self, step: StepRun, runners: list[Runner], now_ms: float) -> list[StartRun]:
        """Start all members at once, in one rack if that is asked for, or none."""
        if len(step.waiting) < step.spec.count:
            return []
        racks = {runner.entry.rack for runner in runners} if step.spec.same_rack else {""}
        for rack in sorted(racks, key=lambda rack: (rack != step.spec.rack_affinity, rack)):
            chosen = self._choose_members(step, runners, rack)
            if len(chosen) == len(step.waiting):
                attempt = 1 + max((task.attempt for task in step.tasks.values()), default=0)
                return [
                    self._start(runner, step, index, now_ms, attempt=attempt)
                    for index, runner in zip(list(step.waiting), chosen, strict=True)
                ]
        return []

    def _choose_members(self, step: StepRun, runners: list[Runner], rack: str) -> list[Runner]:
        chosen: list[Runner] = []
        for index in step.waiting:
            runner = self._choose(runners, step, step.tasks.get(index), rack=rack)
            if runner is None:
                break
            # Reserved at once, so that the next member sees what is left.
            runner.reserve(step.spec)
            step.spread[runner.entry.id] = step.spread.get(runner.entry.id, 0) + 1
            chosen.append(runner)
        for runner in chosen:
            runner.reserve(step.spec, -1)
            step.spread[runner.entry.id] -= 1
        return chosen

    def _note_begin(self, runner: Runner, step: StepRun, now_ms: float) -> None:
        waited_ms = now_ms - step.ready_ms
        step.tasks_started = True
        self._observe("step_wait_ms", waited_ms)
        self._log(
            "step begins",
            job=step.job.record.id,
            step=step.number,
            occurrence=step.occurrence,
            tasks=step.spec.count,
            runner=runner.entry.id,
            waited_ms=waited_ms,
            slack_ms=self._estimates.slack_ms(step, now_ms),
        )

    def _start(
        self, runner: Runner, step: StepRun, index: int, now_ms: float, *, attempt: int = 0
    ) -> StartRun:
        task = step.tasks.setdefault(index, Task())
        if not step.tasks_started:
            self._note_begin(runner, step, now_ms)
        base = (self._generation - 1) * ATTEMPTS_PER_OWNER
        attempt = max(attempt, task.attempt + 1, base + 1)
        run_id = RunId(step.job.record.id, step.key(index), attempt)
        self._fleet.add_run(runner, step, run_id, now_ms)
        task.preferred = ""
        # A long-running task tells too late whether its runner is sound.
        if not step.spec.long_running:
            runner.probe = run_id
        self._fleet.assert_capacity(runner)
        return StartRun(
            runner_id=runner.entry.id,
            run=run_id,
            payload=step.job.record.spec.payload,
            checkpoint=step.find_checkpoint(task),
            ticket=step.find_ticket(runner.entry.id, now_ms),
        )
