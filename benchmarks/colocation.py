"""Load on a cell: serving, urgent and filling jobs on simulated runners, on a virtual clock.

Runners behave as the users describe them: tasks that fill share what the others leave unused and
disturb the tasks that serve, by amounts that differ by pair of images; the users of a serving
step swing; a report covers the last half second. Kinds of jobs, their sizes, rates and worth are
those of the users' sheets; pressures, swings and errors of estimates are assumptions, chosen from
what reports showed. Callers come back after ``Retry-After`` up to four times.

``python -m benchmarks.colocation [--seeds=N] [--seconds=N] [--runners=N] [--load=X]``
"""

from __future__ import annotations

import math
import random
import statistics
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import attrs
from absl import app, flags

from coltsfootpier.cells import (
    Accepted,
    Cell,
    CellSettings,
    EndedRow,
    EndKind,
    PaceRun,
    Rejected,
    RunId,
    RunnerEntry,
    RunnerReport,
    RunningRow,
    StartOutcome,
    StartRun,
    StopRun,
)
from coltsfootpier.jobs import JobSpec, JobState, Queue, StepSpec

_STEP_MS = 50.0
_REPORT_MS = 500.0
_STARTUP_MS = 500.0
_UNIX_MS = 1_700_000_000_000.0
# Tail of an idle serving task and its target, in ms.
_IDLE_MS = 4.0
_TARGET_MS = 24.0
# Mean load of a serving step, its swing as a share of the mean, and the period.
_LOAD, _SWING, _PERIOD_MS = 0.48, 0.5, 9_500.0
_SERVING_IMAGES, _FILLING_IMAGES = 5, 9
# Share of pairs of images that affect each other, and the ranges of their pressures.
_HEAVY_SHARE, _HEAVY, _LIGHT = 0.55, (1.3, 5.0), (0.0, 0.3)
_RETRIES = 4
# Weight of time over the target where what fills beside it is the cause.
_HARM_WEIGHT = 4.0
# A job that ends within three times its objective still has 0.15 of its worth.
_LATE_SHARE, _LATE_WORTH = 3.0, 0.15
_LASTING_WORTH = 0.413

_QUEUES = {
    "urgent": Queue(name="urgent", service="web", max_attempts=3, stretch=1.5, objective_ms=300.0),
    "batch": Queue(name="batch", service="web", max_attempts=4, stretch=2.0, objective_ms=1_000.0),
    "lasting": Queue(
        name="lasting", service="web", max_attempts=4, stretch=2.2, objective_ms=2_500.0
    ),
}
# Jobs a second for 24 runners, and worth of a mean job.
_RATES = {"urgent": 2.65, "batch": 2.4, "lasting": 0.1}
_WORTH = {"urgent": 0.36, "batch": 2.0}


@attrs.define
class _Work:
    """A run on a runner, with the sum of what it used, or of its tails, since the last report."""

    run: RunId
    spec: StepSpec
    length_ms: float
    done_ms: float = 0.0
    pace: int = 100
    age_ms: float = 0.0
    used_sum: float = 0.0
    used_count: int = 0


@attrs.define
class _Machine:
    entry: RunnerEntry
    works: dict[RunId, _Work] = attrs.field(factory=dict)
    ended: list[EndedRow] = attrs.field(factory=list)
    last_end: int = 0
    report_ms: float = 0.0
    has_news: bool = False


@attrs.define
class _Call:
    """One job as its caller sees it."""

    id: str
    kind: str
    spec: JobSpec
    first_ms: float
    objective_ms: float
    worth: float
    tries: int = 0
    due_ms: float = 0.0
    accepted: bool = False
    ended_ms: float = math.inf


@attrs.define
class Outcome:
    """What one play showed; shares are of the worth that was owed."""

    batch: float = 0.0
    urgent: float = 0.0
    lasting: float = 0.0
    total: float = 0.0
    refused: float = 0.0
    over_share: float = 0.0
    fill_cores: float = 0.0


class World:
    """One seeded play.

    Parameters
    ----------
    seed : int
        Chooses pairs of images, jobs and times.
    runners : int
        Number of runners.
    load : float
        Multiple of the usual rates.
    settings : CellSettings
        Limits and weights of the decisions.
    """

    def __init__(
        self, *, seed: int, runners: int = 24, load: float = 1.0, settings: CellSettings
    ) -> None:
        self._random = random.Random(seed)
        self._load = load * runners / 24
        self.now_ms = 1_000.0
        self.cell = Cell(settings=settings, generation=1, log=lambda event, /, **fields: None)
        self._settings = settings
        choose = self._random
        self.pressures = {
            (f"s{serving}", f"f{filling}"): choose.uniform(
                *(_HEAVY if choose.random() < _HEAVY_SHARE else _LIGHT)
            )
            for serving in range(_SERVING_IMAGES)
            for filling in range(_FILLING_IMAGES)
        }
        self._phases: dict[str, float] = {}
        self._machines = {}
        for number in range(runners):
            size = 1.0 if number % 3 else 1.5
            entry = RunnerEntry(
                id=f"r{number}",
                service="web",
                address="127.0.0.1:1",
                cpu_milli=round(16_000 * size),
                memory_mb=round(64_000 * size),
                rack=f"rack{number // 8}",
                started_unix_ms=1,
            )
            self._machines[entry.id] = _Machine(entry, report_ms=choose.uniform(0, _REPORT_MS))
        self._calls: list[_Call] = []
        self._open: dict[str, _Call] = {}
        self._lengths: dict[tuple[str, int], list[float]] = {}
        self._lasting_owed = self._lasting_earned = 0.0
        self._over = self._served = 0
        self._fill_sum = 0.0
        self._fill_count = 0

    # Jobs

    def _build_spec(self, kind: str) -> tuple[JobSpec, list[list[float]]]:
        choose = self._random
        image = f"f{_choose_image(choose, _FILLING_IMAGES)}"
        steps, lengths = [], []
        if kind == "lasting":
            step = StepSpec(
                count=max(1, round(choose.gauss(6, 2.4))),
                cpu_milli=max(500, round(choose.gauss(3_200, 800), -1)),
                memory_mb=6_400,
                long_running=True,
                image=f"s{_choose_image(choose, _SERVING_IMAGES)}",
                latency_target_ms=_TARGET_MS,
                max_per_runner=choose.choice((0, 0, 0, 1, 2)),
            )
            return JobSpec(payload="", steps=(step,)), []
        fills = kind == "batch"
        checkpointed = choose.random() < 0.85
        cpu = choose.gauss(1_800, 540) if fills else choose.gauss(1_100, 450)
        cpu = max(200, round(cpu))
        mean_ms, off, width = (2_500.0, 0.9, 8.0) if fills else (800.0, 0.5, 6.0)
        for number in range(1 + (choose.random() < (0.8 if fills else 0.5))):
            real_ms = mean_ms * choose.lognormvariate(-0.11, 0.47)
            count = max(1, min(32, round(width * choose.lognormvariate(-0.18, 0.6))))
            steps.append(
                StepSpec(
                    count=count,
                    cpu_milli=cpu,
                    memory_mb=3_200 if fills else 2_200,
                    estimate_ms=real_ms * choose.lognormvariate(0.0, off),
                    after=(number - 1,) if number else (),
                    fills=fills,
                    checkpointed=fills and checkpointed,
                    image=image if fills else "",
                )
            )
            lengths.append([real_ms * choose.uniform(0.85, 1.15) for _ in range(count)])
        return JobSpec(payload="", steps=tuple(steps)), lengths

    def _call(self, kind: str) -> None:
        spec, lengths = self._build_spec(kind)
        job_id = f"{len(self._calls):016x}"
        for number, values in enumerate(lengths):
            self._lengths[job_id, number] = values
        chain_ms = sum(max(values) for values in lengths)
        work = sum(
            step.cpu_milli * sum(values) for step, values in zip(spec.steps, lengths, strict=False)
        )
        mean = 55e6 if kind == "batch" else 8.5e6
        queue = _QUEUES[kind]
        self._calls.append(
            _Call(
                job_id,
                kind,
                spec,
                self.now_ms,
                queue.stretch * chain_ms + queue.objective_ms,
                _WORTH.get(kind, 0.0) * min(4.0, 0.3 + 0.7 * work / mean),
                due_ms=self.now_ms,
            )
        )
        self._submit(self._calls[-1])

    def _submit(self, call: _Call) -> None:
        call.tries += 1
        result = self.cell.submit(
            call.id,
            _QUEUES[call.kind],
            call.spec,
            now_ms=self.now_ms,
            unix_ms=_UNIX_MS + self.now_ms,
        )
        if isinstance(result, Accepted):
            call.accepted = True
            call.due_ms = math.inf
            self._open[call.id] = call
        elif isinstance(result, Rejected):
            wait_ms = math.ceil(result.retry_after_ms / 1000) * 1000.0
            call.due_ms = self.now_ms + wait_ms if call.tries <= _RETRIES else math.inf

    # Runners

    def _load_of(self, job_id: str) -> float:
        phase = self._phases.setdefault(job_id, self._random.uniform(0, 2 * math.pi))
        return _LOAD * (1 + _SWING * math.sin(2 * math.pi * self.now_ms / _PERIOD_MS + phase))

    def _run_machine(self, machine: _Machine) -> None:
        cpu = machine.entry.cpu_milli
        serving = [work for work in machine.works.values() if work.spec.latency_target_ms]
        fills = [work for work in machine.works.values() if work.spec.fills]
        loads = {work.run: self._load_of(work.run.job_id) for work in serving}
        used = sum(work.spec.cpu_milli * loads[work.run] for work in serving)
        used += sum(
            work.spec.cpu_milli
            for work in machine.works.values()
            if not work.spec.fills and not work.spec.long_running
        )
        asked = sum(work.spec.cpu_milli * work.pace / 100 for work in fills)
        share = min(1.0, max(0.0, cpu - used) / asked) if asked else 0.0
        for work in fills:
            rate = share * work.pace / 100
            work.done_ms += rate * _STEP_MS
            work.used_sum += work.spec.cpu_milli * rate
            work.used_count += 1
            self._fill_sum += work.spec.cpu_milli * rate / 1000
        for work in serving:
            pressed = sum(
                self.pressures[work.spec.image, fill.spec.image]
                * (fill.spec.cpu_milli * share * fill.pace / 100 / cpu)
                for fill in fills
            )
            utilisation = min(0.97, loads[work.run] + pressed)
            tail = _IDLE_MS / (1 - utilisation)
            work.used_sum += tail
            work.used_count += 1
            if work.age_ms >= _STARTUP_MS:
                alone = _IDLE_MS / (1 - loads[work.run])
                self._served += 1
                self._lasting_earned += 1
                if tail > _TARGET_MS:
                    self._over += 1
                    self._lasting_earned -= 1.0 if alone > _TARGET_MS else _HARM_WEIGHT
        for work in list(machine.works.values()):
            work.age_ms += _STEP_MS
            if not work.spec.fills and not work.spec.long_running:
                work.done_ms += _STEP_MS
            if not work.spec.long_running and work.done_ms >= work.length_ms:
                self._end(machine, work.run, EndKind.DONE)

    def _end(self, machine: _Machine, run: RunId, how: EndKind) -> None:
        work = machine.works.pop(run)
        machine.last_end += 1
        machine.ended.append(EndedRow(machine.last_end, run, how, f"{work.done_ms}"))
        machine.has_news = True

    def _report(self, machine: _Machine) -> None:
        name = machine.entry.id
        observed = self.cell.fleet.last_durable_end(name)
        machine.ended = [row for row in machine.ended if row.number > observed]
        self.cell.fleet.set_lease_expiry(name, self.now_ms + self._settings.run_lease_ms)
        due = self.now_ms >= machine.report_ms
        if due:
            machine.report_ms += _REPORT_MS
        rows = []
        for work in machine.works.values():
            percent = min(99.0, 100 * work.done_ms / work.length_ms)
            if work.spec.long_running:
                percent = 100.0 if work.age_ms >= _STARTUP_MS else 0.0
            measured = work.used_sum / work.used_count if work.used_count else 0.0
            rows.append(RunningRow(work.run, f"{work.done_ms}", percent, float(round(measured))))
        machine.has_news = False
        self.cell.apply_report(
            name,
            RunnerReport(
                clock_ms=self.now_ms,
                started_unix_ms=1,
                running=tuple(rows),
                ended=tuple(machine.ended),
                sent_ms=self.now_ms,
                received_ms=self.now_ms,
            ),
            self.now_ms,
        )
        if due:
            # The next report covers the time from now on.
            for work in machine.works.values():
                work.used_sum, work.used_count = 0.0, 0

    def _carry_out(self) -> None:
        for order in self.cell.plan(self.now_ms, _UNIX_MS + self.now_ms):
            machine = self._machines[order.runner_id]
            if isinstance(order, StartRun):
                step = self.cell.jobs.find_step(order.run)
                lengths = self._lengths.get((order.run.job_id, order.run.key.step))
                length_ms = lengths[order.run.key.index] if lengths else math.inf
                work = _Work(order.run, step.spec, length_ms)
                work.done_ms = float(order.checkpoint or 0.0)
                machine.works[order.run] = work
                self.cell.handle_start_response(
                    order.runner_id, order.run, StartOutcome.STARTED, self.now_ms
                )
            elif isinstance(order, StopRun):
                if order.run in machine.works:
                    self._end(machine, order.run, EndKind.STOPPED)
                self.cell.handle_stop_response(order.runner_id, order.run, self.now_ms)
            elif isinstance(order, PaceRun) and order.run in machine.works:
                machine.works[order.run].pace = order.percent

    # Play

    def _arrivals(self, burst: float) -> Iterator[str]:
        for kind, rate in _RATES.items():
            many = burst if kind == "batch" else 1.0
            if self._random.random() < rate * self._load * many * _STEP_MS / 1000:
                yield kind

    def advance(self, duration_ms: float, *, burst: float = 1.0, calls: bool = True) -> None:
        """Play for a time.

        Parameters
        ----------
        duration_ms : float
            How long.
        burst : float
            Multiple of the rate of batch jobs.
        calls : bool
            Whether new jobs come.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _STEP_MS
            for kind in self._arrivals(burst) if calls else ():
                self._call(kind)
            for call in self._calls[-400:]:
                if call.due_ms <= self.now_ms:
                    self._submit(call)
            for machine in self._machines.values():
                self._run_machine(machine)
            self._fill_count += 1
            for machine in self._machines.values():
                if machine.has_news or self.now_ms >= machine.report_ms:
                    self._report(machine)
            self._carry_out()
            for job, version in self.cell.jobs.list_dirty(1_000):
                self.cell.jobs.mark_durable(job, version)
            self._note_ends()

    def _note_ends(self) -> None:
        for job_id, call in list(self._open.items()):
            job = self.cell.jobs.jobs[job_id]
            if job.record.state is JobState.COMPLETED:
                call.ended_ms = self.now_ms
                del self._open[job_id]
        lasting = [call for call in self._calls if call.kind == "lasting" and call.accepted]
        self._lasting_owed += sum(call.spec.steps[0].count for call in lasting)

    def begin(self) -> None:
        """List the runners and start the lasting jobs that are there before the others."""
        entries = [machine.entry for machine in self._machines.values()]
        self.cell.set_runners(entries, self.now_ms)
        self.cell.fleet.mark_recorded(self._machines)
        for machine in self._machines.values():
            machine.report_ms += self.now_ms
            self._report(machine)
        declared = 0
        capacity = sum(entry.cpu_milli for entry in entries)
        while declared < 0.85 * capacity:
            self._call("lasting")
            step = self._calls[-1].spec.steps[0]
            declared += step.count * step.cpu_milli
        self.advance(3_000, calls=False)
        self._over = self._served = 0
        self._lasting_owed = self._lasting_earned = self._fill_sum = 0.0
        self._fill_count = 0

    def measure(self) -> Outcome:
        """Return what the play showed so far."""
        owed = dict.fromkeys(_WORTH, 1e-9)
        earned = dict.fromkeys(_WORTH, 0.0)
        refused = 0
        calls = [call for call in self._calls if call.kind in _WORTH]
        for call in calls:
            owed[call.kind] += call.worth
            took_ms = call.ended_ms - call.first_ms
            if took_ms <= call.objective_ms:
                earned[call.kind] += call.worth
            elif took_ms <= _LATE_SHARE * call.objective_ms:
                earned[call.kind] += call.worth * _LATE_WORTH
            refused += not call.accepted
        # Each two seconds a lasting job earns the share of its tasks at work.
        to_worth = _LASTING_WORTH / 6.0 * _STEP_MS / 2_000
        lasting_owed = self._lasting_owed * to_worth
        lasting_earned = max(0.0, self._lasting_earned * to_worth)
        total_owed = sum(owed.values()) + lasting_owed
        return Outcome(
            batch=earned["batch"] / owed["batch"],
            urgent=earned["urgent"] / owed["urgent"],
            lasting=lasting_earned / max(1e-9, lasting_owed),
            total=(sum(earned.values()) + lasting_earned) / max(1e-9, total_owed),
            refused=refused / max(1, len(calls)),
            over_share=self._over / max(1, self._served),
            fill_cores=self._fill_sum / max(1, self._fill_count),
        )


def _choose_image(choose: random.Random, count: int) -> int:
    """Choose an image; the first ones are the most popular."""
    return choose.choices(range(count), [1 / (1 + number) for number in range(count)])[0]


def play(
    seed: int, *, seconds: float, runners: int, load: float, settings: CellSettings | None = None
) -> Outcome:
    """Play one seed with a burst of batch jobs in it."""
    world = World(seed=seed, runners=runners, load=load, settings=settings or CellSettings())
    world.begin()
    world.advance(seconds * 200)
    world.advance(seconds * 150, burst=2.4)
    world.advance(seconds * 650)
    world.advance(20_000, calls=False)
    return world.measure()


def _play_one(arguments: tuple[int, float, int, float]) -> Outcome:
    seed, seconds, runners, load = arguments
    return play(seed, seconds=seconds, runners=runners, load=load)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    print(f"{'load':>5} " + " ".join(f"{field.name:>11}" for field in attrs.fields(Outcome)))
    with ProcessPoolExecutor(options.processes) as pool:
        for load in (float(value) for value in options.load):
            cases = [
                (seed, options.seconds, options.runners, load)
                for seed in range(1, options.seeds + 1)
            ]
            rows = [attrs.astuple(outcome) for outcome in pool.map(_play_one, cases)]
            means = [statistics.fmean(column) for column in zip(*rows, strict=True)]
            print(f"{load:5.2f} " + " ".join(f"{value:11.3f}" for value in means))
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 6, "Number of seeds, from 1.")
    flags.DEFINE_float("seconds", 40.0, "Time in which jobs come.")
    flags.DEFINE_integer("runners", 24, "Number of runners.")
    flags.DEFINE_list("load", ["0.7", "1.0"], "Multiples of the usual rates.")
    flags.DEFINE_integer("processes", 2, "Processes; each takes a core.")
    sys.exit(app.run(_run))
